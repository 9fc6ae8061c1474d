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
#define ACTION_INTERVAL_US 700000u
#define OBSERVE_INTERVAL_US 500000u
/* After that long above the target, all batch work on the worker halts. */
#define HALT_AFTER_US 1400000u
/* Reports are rough: from this part of its target on a service is relieved. */
#define TARGET_EXCEEDED_PERCENT 100u
/* Below this part of its target a service is out of danger. */
#define TARGET_SAFE_PERCENT 80u
/* Expected tails are kept below this part of the target ... */
#define TAIL_LIMIT_RATIO 0.9f
/* ... for a service whose load is that much above its mean. */
#define LOAD_MARGIN_RATIO 1.15f
/* A task that is expected to get less than that is moved instead of paced. */
#define THROTTLED_CPU_PERCENT 30u
/* More than that of its work is not thrown away to move it. */
#define MIGRATE_PROGRESS_MAX_PERCENT 60u
/* A pair below that slope is let work slowly where it cannot be moved. */
#define THROTTLED_SLOPE_MAX 8
#define LOADS_MAX 64
/* How long a worker may keep a report back while nothing ends there. */
#define REPORT_WAIT_MS 2000u
#define REPORT_WAIT_SHARED_MS 1000u
#define REPORT_WAIT_NEAR_TARGET_MS 400u

static bool is_service(const struct job_step *step)
{
	return step->long_running && step->target_ms;
}

/* A task whose pace is not known may work at full speed. */
static uint32_t effective_cpu_percent(const struct task *t)
{
	return t->cpu_percent == CPU_PERCENT_UNKNOWN ? 100 : t->cpu_percent;
}

/* Loads of the batch tasks at work, as they are measured or declared. */
static size_t batch_loads(struct sched *s, const struct worker *w,
			  struct pair_load loads[LOADS_MAX], bool measured)
{
	size_t n = 0;

	for (uint32_t i = w->first_task; i != SCHED_NONE && n < LOADS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		uint32_t cpu = measured
				       ? t->metric
				       : step->demand.cpu_milli *
						 effective_cpu_percent(t) / 100;

		if (!step->best_effort || !cpu ||
		    (measured && t->state != TASK_RUNNING))
			continue;
		loads[n].image = step->image_handle;
		loads[n].cpu_share =
			(float)cpu / (float)(w->capacity.cpu_milli + 1);
		n++;
	}
	return n;
}

/* Whether the worker's tasks have been the same for the time of a report. */
static bool is_steady(const struct sched *s, const struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];

		if (sched_task_step(s, t)->best_effort &&
		    s->now_us < t->since_us + OBSERVE_INTERVAL_US)
			return false;
	}
	return s->now_us >= w->throttled_us + OBSERVE_INTERVAL_US;
}

static void observe_interference(struct sched *s, struct worker *w)
{
	struct pair_load loads[LOADS_MAX];
	size_t n;

	if (s->now_us < w->observed_us + OBSERVE_INTERVAL_US ||
	    !is_steady(s, w))
		return;
	w->observed_us = s->now_us;
	n = batch_loads(s, w, loads, true);
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);

		if (is_service(step) && t->state == TASK_RUNNING && t->metric &&
		    s->now_us >= t->since_us + OBSERVE_INTERVAL_US)
			pair_model_observe(&s->pairs, step->image_handle,
					   (float)t->metric,
					   (float)step->target_ms, loads, n);
	}
}

/* Room for slowdown of a service before its limit, without any batch work. */
static float slowdown_tolerance(struct sched *s, const struct job_step *step)
{
	float alone = pair_model_baseline(&s->pairs, step->image_handle,
					  (float)step->target_ms);

	return TAIL_LIMIT_RATIO * (float)step->target_ms /
		       (alone * LOAD_MARGIN_RATIO + 0.1f) -
	       1;
}

/* Finds what slowdown each service image of a worker can still bear. */
static void compute_headrooms(struct sched *s, struct worker *w)
{
	struct pair_load loads[LOADS_MAX];
	size_t n = batch_loads(s, w, loads, false);

	w->headroom_count = 0;
	w->headrooms_valid = true;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct job_step *step = sched_task_step(s, &s->tasks[i]);
		float left;
		uint32_t k = 0;

		if (!is_service(step))
			continue;
		left = slowdown_tolerance(s, step);
		for (size_t m = 0; m < n; m++)
			left -= pair_model_slowdown(
				&s->pairs, step->image_handle, &loads[m]);
		while (k < w->headroom_count &&
		       w->headrooms[k].image != step->image_handle)
			k++;
		if (k == SERVICE_IMAGES_MAX)
			k--;
		else if (k == w->headroom_count)
			w->headrooms[w->headroom_count++].slowdown_left = left;
		w->headrooms[k].image = step->image_handle;
		if (left < w->headrooms[k].slowdown_left)
			w->headrooms[k].slowdown_left = left;
	}
}

float sched_interference_headroom(struct sched *s, struct worker *w,
				  const struct job_step *step)
{
	struct pair_load load = {
		.image = step->image_handle,
		.cpu_share = (float)step->demand.cpu_milli /
			     (float)(w->capacity.cpu_milli + 1),
	};
	float least_headroom = 1;

	if (!w->headrooms_valid)
		compute_headrooms(s, w);
	for (uint32_t i = 0; i < w->headroom_count; i++) {
		float left = w->headrooms[i].slowdown_left -
			     pair_model_slowdown(&s->pairs,
						 w->headrooms[i].image, &load);

		if (left < least_headroom)
			least_headroom = left;
	}
	return least_headroom;
}

static void set_cpu_percent(struct sched *s, struct task *t, uint32_t percent)
{
	struct sched_order o = { .type = SCHED_THROTTLE,
				 .worker = t->worker,
				 .run = t->run,
				 .cpu_percent = percent,
				 .text = "",
				 .checkpoint = "" };

	if (t->cpu_percent == percent)
		return;
	t->cpu_percent = (uint8_t)percent;
	s->workers[t->worker].throttled_us = s->now_us;
	s->workers[t->worker].headrooms_valid = false;
	s->stats.throttles++;
	sched_task_name(s, t, o.task);
	s->ops->order(s->arg, &o);
}

/* The batch task that is expected to slow the service most. */
static struct task *most_disturbing_task(struct sched *s,
					 const struct worker *w,
					 const struct job_step *service,
					 float *slowdown)
{
	struct task *worst = NULL;

	*slowdown = -1;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		struct pair_load load = { .image = step->image_handle };
		float value;

		if (!step->best_effort || t->state != TASK_RUNNING ||
		    !t->cpu_percent)
			continue;
		load.cpu_share = (float)step->demand.cpu_milli *
				 (float)effective_cpu_percent(t) / 100.0f /
				 (float)(w->capacity.cpu_milli + 1);
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
static void migrate_or_halt(struct sched *s, struct task *t, float slowdown)
{
	const struct job_step *step = sched_task_step(s, t);

	log_event(LOG_INFO, "batch-relieved",
		  "job=%s step=%u index=%u worker=%s image=%s progress=%u "
		  "slowdown_percent=%d",
		  s->jobs[t->job].spec.id, t->step, t->index,
		  s->workers[t->worker].id, step->image, t->percent,
		  (int)(slowdown * 100));
	s->workers[t->worker].throttled_us = s->now_us;
	if (step->checkpoints || t->percent <= MIGRATE_PROGRESS_MAX_PERCENT)
		sched_task_stop(s, t);
	else
		set_cpu_percent(s, t, 0);
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
		const struct job_step *step = sched_task_step(s, t);
		uint32_t value;

		if (!is_service(step) || t->state != TASK_RUNNING)
			continue;
		value = (uint32_t)(t->metric * 100ull / step->target_ms);
		if (value <= *percent)
			continue;
		*percent = value;
		worst = step;
	}
	return worst;
}

static void halt_batch_tasks(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_task_step(s, &s->tasks[i])->best_effort &&
		    s->tasks[i].state == TASK_RUNNING)
			set_cpu_percent(s, &s->tasks[i], 0);
}

/* Without a service nothing holds batch work back. */
static void unthrottle_batch_tasks(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_task_step(s, &s->tasks[i])->best_effort &&
		    s->tasks[i].state == TASK_RUNNING)
			set_cpu_percent(s, &s->tasks[i], 100);
}

/* Lets one halted task at a time go on, or moves it where it may not. */
static void resume_one_task(struct sched *s, struct worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		float part = (float)step->demand.cpu_milli /
			     (float)(w->capacity.cpu_milli + 1);
		float headroom, slope_max;

		if (!step->best_effort || t->state != TASK_RUNNING ||
		    t->cpu_percent == 100)
			continue;
		if (t->cpu_percent == CPU_PERCENT_UNKNOWN) {
			set_cpu_percent(s, t, 100);
			continue;
		}
		/* The headroom counts the task at its pace, and once more. */
		headroom = sched_interference_headroom(s, w, step);
		slope_max = part * THROTTLED_SLOPE_MAX;
		if (headroom >= 0)
			set_cpu_percent(s, t, 100);
		else if (step->checkpoints ||
			 t->percent <= MIGRATE_PROGRESS_MAX_PERCENT)
			migrate_or_halt(s, t, -headroom);
		else if (headroom > -slope_max)
			set_cpu_percent(s, t, THROTTLED_CPU_PERCENT);
		else
			continue;
		return;
	}
}

uint32_t sched_report_wait_ms(const struct sched *s, uint32_t worker)
{
	const struct worker *w = &s->workers[worker];

	if (!w->service_milli || !w->best_effort_milli)
		return REPORT_WAIT_MS;
	return w->tail_percent > TARGET_SAFE_PERCENT
		       ? REPORT_WAIT_NEAR_TARGET_MS
		       : REPORT_WAIT_SHARED_MS;
}

void sched_control_interference(struct sched *s, uint32_t worker)
{
	struct worker *w = &s->workers[worker];
	const struct job_step *service;
	struct task *t;
	float slowdown;
	uint32_t tail;

	if (!w->service_milli) {
		w->over_target_since_us = 0;
		w->tail_percent = 0;
		unthrottle_batch_tasks(s, w);
		return;
	}
	observe_interference(s, w);
	w->headrooms_valid = false;
	service = worst_service(s, w, &tail);
	w->tail_percent = tail;
	if (tail <= TARGET_EXCEEDED_PERCENT) {
		if (tail < TARGET_SAFE_PERCENT)
			w->over_target_since_us = 0;
		if (tail < TARGET_SAFE_PERCENT &&
		    s->now_us >= w->acted_us + ACTION_INTERVAL_US) {
			w->acted_us = s->now_us;
			resume_one_task(s, w);
		}
		return;
	}
	if (!w->over_target_since_us)
		w->over_target_since_us = s->now_us;
	if (s->now_us >= w->over_target_since_us + HALT_AFTER_US) {
		halt_batch_tasks(s, w);
		return;
	}
	if (s->now_us < w->acted_us + ACTION_INTERVAL_US)
		return;
	t = most_disturbing_task(s, w, service, &slowdown);
	if (!t)
		return;
	w->acted_us = s->now_us;
	migrate_or_halt(s, t, slowdown);
}

void sched_pairs_encode(const struct sched *s, struct buffer *out)
{
	pair_model_encode(&s->pairs, out);
}

int sched_pairs_restore(struct sched *s, const void *data, size_t len)
{
	return pair_model_decode(&s->pairs, data, len);
}
