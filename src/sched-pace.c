#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: services that are given most of a worker's processors use half
 * of them, and batch tasks fill the rest. Most pairs of images do not disturb
 * each other; some multiply the service's tail latency. A service that stays
 * above its target because of batch work has to be relieved within seconds,
 * while batch work beside insensitive services should run at full speed.
 */

/* Reports tell of the last half second: a step waits for its effect. */
#define ACT_INTERVAL_US 700000u
#define OBSERVE_INTERVAL_US 500000u
/* After that long above the target, all batch work on the worker halts. */
#define HALT_AFTER_US 1400000u
/* Reports are rough: from this part of its target on a service is relieved. */
#define OVER_PERCENT 100u
/* Below this part of its target a service is out of danger. */
#define CALM_PERCENT 80u
/* Expected tails are kept below this part of the target ... */
#define LIMIT 0.9f
/* ... for a service whose load is that much above its mean. */
#define LOAD_MARGIN 1.15f
/* A task that is expected to get less than that is moved instead of paced. */
#define PACE_MIN 30u
/* More than that of its work is not thrown away to move it. */
#define MOVE_PERCENT_MAX 60u
/* A pair below that slope is let work slowly where it cannot be moved. */
#define BEARABLE_SLOPE 8
#define LOADS_MAX 64
/* How long a worker may keep a report back while nothing ends there. */
#define LOOK_WAIT_MS 2000u
#define LOOK_SHARED_MS 1000u
#define LOOK_OVER_MS 400u

static bool is_service(const struct job_step *step)
{
	return step->lasts && step->target_ms;
}

/* A task whose pace is not known may work at full speed. */
static uint32_t pace_of(const struct task *t)
{
	return t->pace == PACE_UNKNOWN ? 100 : t->pace;
}

/* Loads of the batch tasks at work, as they are measured or declared. */
static size_t batch_loads(struct sched *s, const struct worker *w,
			  struct pair_load loads[LOADS_MAX], bool measured)
{
	size_t n = 0;

	for (uint32_t i = w->first_task; i != SCHED_NONE && n < LOADS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);
		uint32_t cpu =
			measured ? t->figure
				 : step->need.cpu_milli * pace_of(t) / 100;

		if (!step->fills || !cpu ||
		    (measured && t->state != TASK_RUNNING))
			continue;
		loads[n].image = step->image_handle;
		loads[n].part = (float)cpu / (float)(w->capacity.cpu_milli + 1);
		n++;
	}
	return n;
}

/* Whether the worker's tasks have been the same for the time of a report. */
static bool settled(const struct sched *s, const struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];

		if (sched_step_of(s, t)->fills &&
		    s->now_us < t->since_us + OBSERVE_INTERVAL_US)
			return false;
	}
	return s->now_us >= w->changed_us + OBSERVE_INTERVAL_US;
}

static void observe(struct sched *s, struct worker *w)
{
	struct pair_load loads[LOADS_MAX];
	size_t n;

	if (s->now_us < w->observed_us + OBSERVE_INTERVAL_US || !settled(s, w))
		return;
	w->observed_us = s->now_us;
	n = batch_loads(s, w, loads, true);
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);

		if (is_service(step) && t->state == TASK_RUNNING && t->figure &&
		    s->now_us >= t->since_us + OBSERVE_INTERVAL_US)
			pair_model_observe(&s->pairs, step->image_handle,
					   (float)t->figure,
					   (float)step->target_ms, loads, n);
	}
}

/* Room for slowdown of a service before its limit, without any batch work. */
static float tolerance(struct sched *s, const struct job_step *step)
{
	float alone = pair_model_alone(&s->pairs, step->image_handle,
				       (float)step->target_ms);

	return LIMIT * (float)step->target_ms / (alone * LOAD_MARGIN + 0.1f) -
	       1;
}

/* Finds what slowdown each service image of a worker can still bear. */
static void find_rooms(struct sched *s, struct worker *w)
{
	struct pair_load loads[LOADS_MAX];
	size_t n = batch_loads(s, w, loads, false);

	w->room_count = 0;
	w->rooms_known = true;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct job_step *step = sched_step_of(s, &s->tasks[i]);
		float left;
		uint32_t k = 0;

		if (!is_service(step))
			continue;
		left = tolerance(s, step);
		for (size_t m = 0; m < n; m++)
			left -= pair_model_slowdown(
				&s->pairs, step->image_handle, &loads[m]);
		while (k < w->room_count &&
		       w->rooms[k].image != step->image_handle)
			k++;
		if (k == SERVICE_IMAGES_MAX)
			k--;
		else if (k == w->room_count)
			w->rooms[w->room_count++].left = left;
		w->rooms[k].image = step->image_handle;
		if (left < w->rooms[k].left)
			w->rooms[k].left = left;
	}
}

float sched_pace_headroom(struct sched *s, struct worker *w,
			  const struct job_step *step)
{
	struct pair_load load = {
		.image = step->image_handle,
		.part = (float)step->need.cpu_milli /
			(float)(w->capacity.cpu_milli + 1),
	};
	float least = 1;

	if (!w->rooms_known)
		find_rooms(s, w);
	for (uint32_t i = 0; i < w->room_count; i++) {
		float left = w->rooms[i].left -
			     pair_model_slowdown(&s->pairs, w->rooms[i].image,
						 &load);

		if (left < least)
			least = left;
	}
	return least;
}

static void set_pace(struct sched *s, struct task *t, uint32_t percent)
{
	struct sched_order o = { .type = SCHED_PACE,
				 .worker = t->worker,
				 .run = t->run,
				 .percent = percent,
				 .text = "",
				 .checkpoint = "" };

	if (t->pace == percent)
		return;
	t->pace = (uint8_t)percent;
	s->workers[t->worker].changed_us = s->now_us;
	s->workers[t->worker].rooms_known = false;
	s->stats.paced++;
	sched_task_name(s, t, o.task);
	s->ops->order(s->arg, &o);
}

/* The batch task that is expected to slow the service most. */
static struct task *culprit(struct sched *s, const struct worker *w,
			    const struct job_step *service, float *slowdown)
{
	struct task *worst = NULL;

	*slowdown = -1;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);
		struct pair_load load = { .image = step->image_handle };
		float value;

		if (!step->fills || t->state != TASK_RUNNING || !t->pace)
			continue;
		load.part = (float)step->need.cpu_milli * (float)pace_of(t) /
			    100.0f / (float)(w->capacity.cpu_milli + 1);
		value = pair_model_slowdown(&s->pairs, service->image_handle,
					    &load);
		if (value > *slowdown) {
			*slowdown = value;
			worst = t;
		}
	}
	return worst;
}

/* Moves a task that disturbs, or stops its work where it has to stay. */
static void relieve(struct sched *s, struct task *t, float slowdown)
{
	const struct job_step *step = sched_step_of(s, t);

	log_event(LOG_INFO, "batch-relieved",
		  "job=%s step=%u index=%u worker=%s image=%s progress=%u "
		  "slowdown_percent=%d",
		  s->jobs[t->job].spec.id, t->step, t->index,
		  s->workers[t->worker].id, step->image, t->percent,
		  (int)(slowdown * 100));
	s->workers[t->worker].changed_us = s->now_us;
	if (step->checkpoints || t->percent <= MOVE_PERCENT_MAX)
		sched_task_stop(s, t);
	else
		set_pace(s, t, 0);
}

/* The service that is furthest above its target, in percent. */
static const struct job_step *
worst_service(const struct sched *s, const struct worker *w, uint32_t *percent)
{
	const struct job_step *worst = NULL;

	*percent = 0;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);
		uint32_t value;

		if (!is_service(step) || t->state != TASK_RUNNING)
			continue;
		value = (uint32_t)(t->figure * 100ull / step->target_ms);
		if (value <= *percent)
			continue;
		*percent = value;
		worst = step;
	}
	return worst;
}

static void halt(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_step_of(s, &s->tasks[i])->fills &&
		    s->tasks[i].state == TASK_RUNNING)
			set_pace(s, &s->tasks[i], 0);
}

/* Without a service nothing holds batch work back. */
static void release(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_step_of(s, &s->tasks[i])->fills &&
		    s->tasks[i].state == TASK_RUNNING)
			set_pace(s, &s->tasks[i], 100);
}

/* Lets one halted task at a time go on, or moves it where it may not. */
static void resume(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);
		float part = (float)step->need.cpu_milli /
			     (float)(w->capacity.cpu_milli + 1);
		float room, slope;

		if (!step->fills || t->state != TASK_RUNNING || t->pace == 100)
			continue;
		if (t->pace == PACE_UNKNOWN) {
			set_pace(s, t, 100);
			continue;
		}
		/* The headroom counts the task at its pace, and once more. */
		room = sched_pace_headroom(s, w, step);
		slope = part * BEARABLE_SLOPE;
		if (room >= 0)
			set_pace(s, t, 100);
		else if (step->checkpoints || t->percent <= MOVE_PERCENT_MAX)
			relieve(s, t, -room);
		else if (room > -slope)
			set_pace(s, t, PACE_MIN);
		else
			continue;
		return;
	}
}

uint32_t sched_look_wait_ms(const struct sched *s, uint32_t worker)
{
	const struct worker *w = &s->workers[worker];

	if (!w->serving_milli || !w->filling_milli)
		return LOOK_WAIT_MS;
	return w->tail_percent > CALM_PERCENT ? LOOK_OVER_MS : LOOK_SHARED_MS;
}

void sched_pace(struct sched *s, uint32_t worker)
{
	struct worker *w = &s->workers[worker];
	const struct job_step *service;
	struct task *t;
	float slowdown;
	uint32_t tail;

	if (!w->serving_milli) {
		w->over_us = 0;
		w->tail_percent = 0;
		release(s, w);
		return;
	}
	observe(s, w);
	w->rooms_known = false;
	service = worst_service(s, w, &tail);
	w->tail_percent = tail;
	if (tail <= OVER_PERCENT) {
		if (tail < CALM_PERCENT)
			w->over_us = 0;
		if (tail < CALM_PERCENT &&
		    s->now_us >= w->acted_us + ACT_INTERVAL_US) {
			w->acted_us = s->now_us;
			resume(s, w);
		}
		return;
	}
	if (!w->over_us)
		w->over_us = s->now_us;
	if (s->now_us >= w->over_us + HALT_AFTER_US) {
		halt(s, w);
		return;
	}
	if (s->now_us < w->acted_us + ACT_INTERVAL_US)
		return;
	t = culprit(s, w, service, &slowdown);
	if (!t)
		return;
	w->acted_us = s->now_us;
	relieve(s, t, slowdown);
}

void sched_pairs_encode(const struct sched *s, struct buffer *out)
{
	pair_model_encode(&s->pairs, out);
}

int sched_pairs_restore(struct sched *s, const void *data, size_t len)
{
	return pair_model_decode(&s->pairs, data, len);
}
