#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: services request most of a worker's CPU and use half of it;
 * best-effort batch tasks use the rest. Most pairs of images do not interfere;
 * some multiply the tail latency of the service. Batch tasks that keep a
 * service above its target must be throttled or migrated within seconds, while
 * those beside insensitive services should run at full speed.
 */

/* Reports cover the last 0.5 s; an action must show in one before the next. */
#define ACTION_INTERVAL_US 700000u
#define OBSERVE_INTERVAL_US 500000u
/* After this time a report shows whether an ordered limit is in effect. */
#define LIMIT_CHECK_US 1000000u
/* Time above the target after which all batch tasks on a worker are halted. */
#define HALT_AFTER_US 1400000u
/*
 * Tail latency in percent of the target above which batch tasks are limited.
 * Reported values are imprecise.
 */
#define TARGET_EXCEEDED_PERCENT 100u
/* Tail latency in percent of the target below which batch tasks resume. */
#define TARGET_SAFE_PERCENT 80u
/*
 * Between the two, batch work is allowed after this time. It doubles, up to the
 * maximum, each time that the target is exceeded soon after that.
 */
#define NEAR_TARGET_WAIT_MS 3000u
#define NEAR_TARGET_WAIT_MAX_MS 24000u
#define NEAR_TARGET_RELAPSE_US 10000000u
/* Expected tail latency is kept below this ratio of the target ... */
#define TAIL_LIMIT_RATIO 0.9f
/* ... for a service with this multiple of its mean load. */
#define LOAD_MARGIN_RATIO 1.15f
/* Lowest CPU limit above 0; below it a task is migrated or halted instead. */
#define THROTTLED_CPU_PERCENT 30u
/* A task with more progress and no checkpoints is halted, not migrated. */
#define MIGRATE_PROGRESS_MAX_PERCENT 60u
/* Slope below which a task that cannot be migrated runs throttled. */
#define THROTTLED_SLOPE_MAX 8
#define LOADS_MAX 64
/* How long a worker may delay a report while no task ends. */
#define REPORT_WAIT_MS 2000u
#define REPORT_WAIT_SHARED_MS 1000u
#define REPORT_WAIT_NEAR_TARGET_MS 400u
#define REPORT_WAIT_PROBATION_MS 400u
#define REPORT_WAIT_GIVEN_UP_MS 100u

static bool is_service(const struct job_step *step)
{
	return step->long_running && step->target_ms;
}

/* A task with an unknown limit may run at full speed. */
static uint32_t effective_cpu_percent(const struct sched_task *t)
{
	return t->cpu_percent == CPU_PERCENT_UNKNOWN ? 100 : t->cpu_percent;
}

/* CPU shares of the batch tasks: measured, or by demand and limit. */
static size_t batch_loads(struct sched *s, const struct sched_worker *w,
			  struct pair_load loads[LOADS_MAX], bool measured)
{
	size_t n = 0;

	for (uint32_t i = w->first_task; i != SCHED_NONE && n < LOADS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];
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
			(float)cpu / ((float)w->capacity.cpu_milli + 1);
		n++;
	}
	return n;
}

/* Whether batch tasks and their limits are unchanged for a report period. */
static bool is_steady(const struct sched *s, const struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];

		if (sched_task_step(s, t)->best_effort &&
		    s->now_us < t->state_since_us + OBSERVE_INTERVAL_US)
			return false;
	}
	return s->now_us >= w->throttled_us + OBSERVE_INTERVAL_US;
}

/* The headrooms are computed again on each observation of this worker. */
static void observe_interference(struct sched *s, struct sched_worker *w)
{
	struct pair_load loads[LOADS_MAX];
	size_t n;

	if (s->now_us < w->observed_us + OBSERVE_INTERVAL_US ||
	    !is_steady(s, w))
		return;
	w->observed_us = s->now_us;
	w->headrooms_valid = false;
	n = batch_loads(s, w, loads, true);
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);

		if (is_service(step) && t->state == TASK_RUNNING && t->metric &&
		    s->now_us >= t->state_since_us + OBSERVE_INTERVAL_US)
			pair_model_observe(&s->pairs, step->image_handle,
					   (float)t->metric,
					   (float)step->target_ms, loads, n);
	}
}

/* Slowdown that a service tolerates in total. */
static float slowdown_tolerance(struct sched *s, const struct job_step *step)
{
	float baseline = pair_model_baseline(&s->pairs, step->image_handle,
					     (float)step->target_ms);

	return TAIL_LIMIT_RATIO * (float)step->target_ms /
		       (baseline * LOAD_MARGIN_RATIO + 0.1f) -
	       1;
}

/* Computes the further slowdown that each service image tolerates. */
static void compute_headrooms(struct sched *s, struct sched_worker *w)
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

float sched_interference_headroom(struct sched *s, struct sched_worker *w,
				  const struct job_step *step)
{
	struct pair_load load = {
		.image = step->image_handle,
		.cpu_share = (float)step->demand.cpu_milli /
			     ((float)w->capacity.cpu_milli + 1),
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

static void set_cpu_percent(struct sched *s, struct sched_task *t,
			    uint32_t percent)
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
	t->throttled_us = s->now_us;
	s->workers[t->worker].throttled_us = s->now_us;
	s->workers[t->worker].headrooms_valid = false;
	s->stats.throttles++;
	sched_task_name(s, t, o.task);
	s->ops->order(s->arg, &o);
}

/* By the reported CPU use, which is imprecise. */
static bool limit_is_in_effect(const struct sched_task *t,
			       const struct job_step *step)
{
	uint32_t limit = step->demand.cpu_milli * t->cpu_percent / 100;
	uint32_t tolerance = step->demand.cpu_milli / 10;

	return t->metric <= limit + tolerance &&
	       t->metric * 2 + tolerance >= limit;
}

/*
 * An unanswered order may be executed after a later one, and its limit then
 * stays. A repetition that was not needed has no effect.
 */
static void restore_limits(struct sched *s, const struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		uint32_t percent = t->cpu_percent;

		if (!t->throttle_unanswered || t->state != TASK_RUNNING ||
		    percent == CPU_PERCENT_UNKNOWN ||
		    s->now_us < t->throttled_us + LIMIT_CHECK_US ||
		    limit_is_in_effect(t, sched_task_step(s, t)))
			continue;
		t->cpu_percent = CPU_PERCENT_UNKNOWN;
		set_cpu_percent(s, t, percent);
	}
}

/* Returns the batch task with the highest expected slowdown of the service. */
static struct sched_task *most_disturbing_task(struct sched *s,
					       const struct sched_worker *w,
					       const struct job_step *service,
					       float *slowdown)
{
	struct sched_task *worst = NULL;

	*slowdown = -1;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		struct pair_load load = { .image = step->image_handle };
		float value;

		if (!step->best_effort || t->state != TASK_RUNNING ||
		    !t->cpu_percent)
			continue;
		load.cpu_share = (float)step->demand.cpu_milli *
				 (float)effective_cpu_percent(t) / 100.0f /
				 ((float)w->capacity.cpu_milli + 1);
		value = pair_model_slowdown(&s->pairs, service->image_handle,
					    &load);
		if (value > *slowdown) {
			*slowdown = value;
			worst = t;
		}
	}
	return worst;
}

/* Stops the task to be placed elsewhere, or halts it if that loses too much. */
static void migrate_or_halt(struct sched *s, struct sched_task *t,
			    float slowdown)
{
	const struct job_step *step = sched_task_step(s, t);

	log_event(LOG_INFO, "batch-relieved",
		  "job=%s step=%u index=%u worker=%s image=%s progress=%u "
		  "slowdown_percent=%d",
		  s->jobs[t->job].spec.id, t->step, t->index,
		  s->workers[t->worker].identity->id, step->image,
		  t->progress_percent, (int)(slowdown * 100));
	s->workers[t->worker].throttled_us = s->now_us;
	if (step->checkpoints ||
	    t->progress_percent <= MIGRATE_PROGRESS_MAX_PERCENT)
		sched_task_stop(s, t);
	else
		set_cpu_percent(s, t, 0);
}

/* Returns the service with the highest tail latency relative to its target. */
static const struct job_step *worst_service(const struct sched *s,
					    const struct sched_worker *w,
					    uint32_t *percent)
{
	const struct job_step *worst = NULL;

	*percent = 0;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];
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

static void halt_batch_tasks(struct sched *s, struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_task_step(s, &s->tasks[i])->best_effort &&
		    s->tasks[i].state == TASK_RUNNING)
			set_cpu_percent(s, &s->tasks[i], 0);
}

/* Without a service on the worker no batch task needs a limit. */
static void unthrottle_batch_tasks(struct sched *s, struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_task_step(s, &s->tasks[i])->best_effort &&
		    s->tasks[i].state == TASK_RUNNING)
			set_cpu_percent(s, &s->tasks[i], 100);
}

/* Resumes one limited task, or migrates it if it would still interfere. */
static void resume_one_task(struct sched *s, struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		float cpu_share = (float)step->demand.cpu_milli /
				  ((float)w->capacity.cpu_milli + 1);
		float headroom, slope_max;

		if (!step->best_effort || t->state != TASK_RUNNING ||
		    t->cpu_percent == 100)
			continue;
		if (t->cpu_percent == CPU_PERCENT_UNKNOWN) {
			set_cpu_percent(s, t, 100);
			continue;
		}
		/* Counts the task twice: as limited and in full. */
		headroom = sched_interference_headroom(s, w, step);
		slope_max = cpu_share * THROTTLED_SLOPE_MAX;
		if (headroom >= 0)
			set_cpu_percent(s, t, 100);
		else if (step->checkpoints ||
			 t->progress_percent <= MIGRATE_PROGRESS_MAX_PERCENT)
			migrate_or_halt(s, t, -headroom);
		else if (headroom > -slope_max)
			set_cpu_percent(s, t, THROTTLED_CPU_PERCENT);
		else
			continue;
		return;
	}
}

/* Resumes one limited task with which the service stays below its target. */
static void resume_near_target(struct sched *s, struct sched_worker *w,
			       const struct job_step *service, uint32_t tail)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);
		struct pair_load load = {
			.image = step->image_handle,
			.cpu_share = (float)step->demand.cpu_milli /
				     ((float)w->capacity.cpu_milli + 1),
		};

		if (!step->best_effort || t->state != TASK_RUNNING ||
		    t->cpu_percent == 100)
			continue;
		if ((float)tail * (1 + pair_model_slowdown(
					       &s->pairs, service->image_handle,
					       &load)) >
		    TARGET_EXCEEDED_PERCENT)
			continue;
		set_cpu_percent(s, t, 100);
		return;
	}
}

/*
 * A service may stay close to its target for good. Batch work is then allowed
 * after a while, as long as that does not bring the service above its target.
 */
static void control_near_target(struct sched *s, struct sched_worker *w,
				const struct job_step *service, uint32_t tail)
{
	uint32_t wait_ms = w->near_target_wait_ms ? w->near_target_wait_ms
						  : NEAR_TARGET_WAIT_MS;

	if (!w->near_target_since_us)
		w->near_target_since_us = s->now_us;
	if (s->now_us < w->near_target_since_us + wait_ms * 1000ull)
		return;
	if (w->over_target_since_us) {
		w->over_target_since_us = 0;
		w->near_target_allowed_us = s->now_us;
		s->placement_due = true;
	}
	if (s->now_us < w->last_action_us + ACTION_INTERVAL_US)
		return;
	w->last_action_us = s->now_us;
	resume_near_target(s, w, service, tail);
}

static void begin_over_target(struct sched *s, struct sched_worker *w)
{
	uint32_t wait_ms = w->near_target_wait_ms ? w->near_target_wait_ms
						  : NEAR_TARGET_WAIT_MS;

	w->over_target_since_us = s->now_us;
	if (!w->near_target_allowed_us ||
	    s->now_us >= w->near_target_allowed_us + NEAR_TARGET_RELAPSE_US)
		return;
	w->near_target_wait_ms = wait_ms * 2 > NEAR_TARGET_WAIT_MAX_MS
					 ? NEAR_TARGET_WAIT_MAX_MS
					 : wait_ms * 2;
}

uint32_t sched_report_wait_ms(const struct sched *s, uint32_t worker)
{
	const struct sched_worker *w = &s->workers[worker];

	if (sched_worker_has_given_up_start(s, worker))
		return REPORT_WAIT_GIVEN_UP_MS;
	if (w->probations)
		return REPORT_WAIT_PROBATION_MS;
	if (!w->service_milli || !w->best_effort_milli)
		return REPORT_WAIT_MS;
	return w->tail_percent > TARGET_SAFE_PERCENT
		       ? REPORT_WAIT_NEAR_TARGET_MS
		       : REPORT_WAIT_SHARED_MS;
}

void sched_control_interference(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = &s->workers[worker];
	const struct job_step *service;
	struct sched_task *t;
	float slowdown;
	uint32_t tail;

	restore_limits(s, w);
	if (!w->service_milli) {
		w->over_target_since_us = 0;
		w->tail_percent = 0;
		unthrottle_batch_tasks(s, w);
		return;
	}
	observe_interference(s, w);
	service = worst_service(s, w, &tail);
	w->tail_percent = tail;
	if (tail < TARGET_SAFE_PERCENT) {
		w->over_target_since_us = 0;
		w->near_target_since_us = 0;
		w->near_target_wait_ms = 0;
		if (s->now_us >= w->last_action_us + ACTION_INTERVAL_US) {
			w->last_action_us = s->now_us;
			resume_one_task(s, w);
		}
		return;
	}
	if (tail <= TARGET_EXCEEDED_PERCENT) {
		control_near_target(s, w, service, tail);
		return;
	}
	w->near_target_since_us = 0;
	if (!w->over_target_since_us)
		begin_over_target(s, w);
	if (s->now_us >= w->over_target_since_us + HALT_AFTER_US) {
		halt_batch_tasks(s, w);
		return;
	}
	if (s->now_us < w->last_action_us + ACTION_INTERVAL_US)
		return;
	t = most_disturbing_task(s, w, service, &slowdown);
	if (!t)
		return;
	w->last_action_us = s->now_us;
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
