#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "latency.h"
#include "log.h"
#include "sched-internal.h"
#include "sched-lost.h"

/*
 * A service that was stopped for urgent tasks leaves them its room for this
 * long. The platform expects it back after 6 s if there is room elsewhere.
 */
#define PREEMPTED_DELAY_MS 3000u
/* It then runs for at least this long, so that others are stopped in turn. */
#define PREEMPTED_MIN_RUN_US 6000000u
/* Delay before a retry, on another worker if possible, after two failures. */
#define RETRY_DELAY_MS 50u

static const char *const end_reason_names[] = { "done",	  "failed", "stopped",
						"lapsed", "broken", "alone" };

static const char *const result_names[] = { "ok",	 "no-capacity",
					    "stale-run", "lease-expired",
					    "unhealthy", "invalid",
					    "not-sent",	 "unknown" };

static uint32_t task_index(const struct sched *s, const struct sched_task *t)
{
	return (uint32_t)(t - s->tasks);
}

bool sched_task_on_worker(const struct sched_task *t)
{
	return t->worker != SCHED_NONE;
}

bool sched_task_is_new_service(const struct sched *s,
			       const struct sched_task *t)
{
	return !t->run && sched_task_step(s, t)->long_running;
}

/*
 * Whether it is a task of a service that has run, does not run and is to. One
 * that was never placed may be larger than any worker.
 */
static bool is_absent_service(const struct sched *s, const struct sched_task *t)
{
	return (t->state == TASK_WAITING ||
		(t->state == TASK_STOPPING && t->preempted)) &&
	       t->run && sched_task_step(s, t)->long_running;
}

/* The run number may have changed since the task was counted. */
static void count_absence(struct sched *s, struct sched_task *t)
{
	bool absent = is_absent_service(s, t);

	s->absent_services += (uint32_t)absent - t->counted_absent;
	t->counted_absent = absent;
}

void sched_task_set_state(struct sched *s, struct sched_task *t,
			  enum task_state state)
{
	struct job *j = &s->jobs[t->job];
	bool waited = t->state == TASK_WAITING, waits = state == TASK_WAITING;
	struct occurrence *o;

	t->state = (uint8_t)state;
	if (t->preempted && state != TASK_STOPPING && !waits) {
		sched_preemption_over(s, t);
		t->stoppable_us = s->now_us + PREEMPTED_MIN_RUN_US;
	}
	count_absence(s, t);
	if (waited == waits)
		return;
	o = sched_find_occurrence(j, t->occurrence);
	if (waits) {
		o->waiting[t->step]++;
		j->waiting++;
	} else {
		o->waiting[t->step]--;
		o->touched = true;
		j->waiting--;
	}
}

static void set_state(struct sched *s, struct sched_task *t,
		      enum task_state state)
{
	sched_task_set_state(s, t, state);
	t->state_since_us = s->now_us;
}

void sched_task_name(const struct sched *s, const struct sched_task *t,
		     char out[SCHED_TASK_NAME_BYTES])
{
	snprintf(out, SCHED_TASK_NAME_BYTES, "%s.%u.%u.%u",
		 s->jobs[t->job].spec.id, t->occurrence, t->step, t->index);
}

/* Reads a dot and a decimal number, and advances *p. */
static bool parse_number(const char **p, uint32_t *out)
{
	const char *c = *p;
	uint64_t n = 0;

	if (*c++ != '.' || *c < '0' || *c > '9')
		return false;
	for (; *c >= '0' && *c <= '9' && n <= UINT32_MAX; c++)
		n = n * 10 + (uint32_t)(*c - '0');
	*p = c;
	*out = (uint32_t)n;
	return n <= UINT32_MAX;
}

struct sched_task *sched_task_find(struct sched *s, const char *name)
{
	char id[JOB_ID_BYTES] = "";
	const char *p = name + JOB_ID_CHARS;
	uint32_t number, step, index, n;
	struct occurrence *o;
	struct job *j;

	if (strnlen(name, JOB_ID_CHARS) < JOB_ID_CHARS)
		return NULL;
	memcpy(id, name, JOB_ID_CHARS);
	if (!parse_number(&p, &number) || !parse_number(&p, &step) ||
	    !parse_number(&p, &index) || *p)
		return NULL;
	j = sched_job_find(s, id);
	if (!j || step >= j->spec.step_count ||
	    index >= j->spec.steps[step].count)
		return NULL;
	o = sched_find_occurrence(j, number);
	if (!o)
		return NULL;
	n = o->first_task + index;
	for (uint32_t i = 0; i < step; i++)
		n += j->spec.steps[i].count;
	return &s->tasks[n];
}

void sched_task_checkpoint(struct sched *s, struct sched_task *t,
			   const char *value)
{
	if (!*value)
		return;
	/* A truncated checkpoint is unusable; keep the previous one. */
	if (strlen(value) >= sizeof(t->checkpoint)) {
		log_event(LOG_WARNING, "checkpoint-too-long",
			  "job=%s step=%u index=%u bytes=%zu",
			  s->jobs[t->job].spec.id, t->step, t->index,
			  strlen(value));
		return;
	}
	strcpy(t->checkpoint, value);
}

/* Adds a task's demand to its worker's usage; sign -1 subtracts it. */
static void account_resources(struct sched *s, const struct sched_task *t,
			      int sign)
{
	struct sched_worker *w = &s->workers[t->worker];
	const struct job_step *step = sched_task_step(s, t);
	int cpu = sign * (int)step->demand.cpu_milli;

	w->headrooms_valid = false;
	w->used.memory_mb += (uint32_t)(sign * (int)step->demand.memory_mb);
	w->used.accelerators +=
		(uint32_t)(sign * (int)step->demand.accelerators);
	if (step->best_effort) {
		w->best_effort_milli += (uint32_t)cpu;
	} else {
		w->used.cpu_milli += (uint32_t)cpu;
		if (step->long_running) {
			w->service_milli += (uint32_t)cpu;
			w->service_tasks += (uint32_t)sign;
		}
	}
	sched_update_room(s, t->worker);
}

void sched_task_place(struct sched *s, struct sched_task *t, uint32_t worker)
{
	struct sched_worker *w = &s->workers[worker];
	uint32_t index = task_index(s, t);

	t->worker = worker;
	t->run++;
	t->incarnation = sched_incarnation_tag(w->started_wall_ms);
	t->confirmed = false;
	t->leaving = false;
	t->unanswered = 0;
	t->listed_in = 0;
	t->cpu_percent = 100;
	t->throttle_unanswered = false;
	t->progress_percent = 0;
	t->prev_on_worker = SCHED_NONE;
	t->next_on_worker = w->first_task;
	if (w->first_task != SCHED_NONE)
		s->tasks[w->first_task].prev_on_worker = index;
	w->first_task = index;
	account_resources(s, t, 1);
	if (sched_needs_probation(t))
		sched_begin_probation(s, t);
	set_state(s, t, TASK_PLACED);
	sched_mark_dirty(s, &s->jobs[t->job]);
}

void sched_task_release(struct sched *s, struct sched_task *t)
{
	if (t->worker == SCHED_NONE)
		return;
	sched_end_probation(s, t);
	account_resources(s, t, -1);
	if (t->prev_on_worker != SCHED_NONE)
		s->tasks[t->prev_on_worker].next_on_worker = t->next_on_worker;
	else
		s->workers[t->worker].first_task = t->next_on_worker;
	if (t->next_on_worker != SCHED_NONE)
		s->tasks[t->next_on_worker].prev_on_worker = t->prev_on_worker;
	t->worker = SCHED_NONE;
	t->next_on_worker = SCHED_NONE;
	t->prev_on_worker = SCHED_NONE;
	s->placement_due = true;
}

/* A start that did not become a run does not end the task's absence. */
static void begin_absence(const struct sched *s, struct sched_task *t)
{
	const struct sched_worker *w = &s->workers[t->worker];

	if (t->state != TASK_RUNNING && t->state != TASK_UNCONFIRMED &&
	    (t->state != TASK_STOPPING || t->stopped_at_start))
		return;
	t->absent_since_us = w->responsive ? s->now_us : w->heard_us;
	if (t->absent_since_us < s->created_us)
		t->absent_since_us = s->created_us;
}

void sched_task_requeue(struct sched *s, struct sched_task *t,
			uint32_t delay_ms)
{
	struct job *j = &s->jobs[t->job];

	if (t->worker != SCHED_NONE)
		begin_absence(s, t);
	sched_task_release(s, t);
	set_state(s, t,
		  j->state < SCHED_JOB_COMPLETED ? TASK_WAITING : TASK_DROPPED);
	if (t->retry_us < s->now_us + delay_ms * 1000u)
		t->retry_us = s->now_us + delay_ms * 1000u;
	sched_mark_dirty(s, j);
	s->placement_due = true;
}

void sched_task_order(struct sched *s, struct sched_task *t,
		      enum sched_order_type type)
{
	struct sched_order o = { .type = type,
				 .worker = t->worker,
				 .run = t->run,
				 .cpu_percent = t->cpu_percent,
				 .text = s->jobs[t->job].spec.text,
				 .checkpoint = t->checkpoint };

	sched_task_name(s, t, o.task);
	s->ops->order(s->arg, &o);
}

void sched_task_start(struct sched *s, struct sched_task *t)
{
	t->incarnation =
		sched_incarnation_tag(s->workers[t->worker].started_wall_ms);
	set_state(s, t, TASK_STARTING);
	t->start_sent = false;
	s->stats.starts++;
	sched_task_order(s, t, SCHED_START);
}

/* The end of one member completes all tasks of a gang. */
static void finish_gang(struct sched *s, struct job *j, struct occurrence *o,
			const struct sched_task *first)
{
	uint32_t n = job_spec_task_count(&j->spec);

	for (uint32_t i = 0; i < n; i++) {
		struct sched_task *t = &s->tasks[o->first_task + i];

		if (t->step != first->step || t->state == TASK_DONE)
			continue;
		sched_task_release(s, t);
		set_state(s, t, TASK_DONE);
		o->tasks_left[t->step]--;
	}
}

/* A failed run of a gang counts once, however many members fail. */
static uint32_t count_failure(struct sched *s, struct job *j,
			      const struct job_step *step, struct sched_task *t)
{
	struct occurrence *o = sched_find_occurrence(j, t->occurrence);
	uint32_t n = job_spec_task_count(&j->spec);

	if (!step->gang)
		return ++t->failures;
	if (t->failed_run == t->run)
		return t->failures;
	for (uint32_t i = 0; i < n; i++) {
		struct sched_task *m = &s->tasks[o->first_task + i];

		if (m->step != t->step)
			continue;
		m->failed_run = t->run;
		m->failures++;
	}
	return t->failures;
}

static void finish_task(struct sched *s, struct sched_task *t)
{
	struct job *j = &s->jobs[t->job];
	struct occurrence *o = sched_find_occurrence(j, t->occurrence);
	const struct job_step *step = sched_task_step(s, t);

	s->stats.ends_done++;
	sched_estimate_run(s, t);
	if (step->long_running && j->state < SCHED_JOB_COMPLETED) {
		sched_task_requeue(s, t, 0);
		return;
	}
	sched_task_release(s, t);
	sched_mark_dirty(s, j);
	set_state(s, t, TASK_DONE);
	o->tasks_left[t->step]--;
	if (step->gang)
		finish_gang(s, j, o, t);
	if (j->state >= SCHED_JOB_COMPLETED)
		return;
	if (!o->tasks_left[t->step]) {
		sched_estimate_step(s, j, t->step);
		log_event(LOG_INFO, "step-done",
			  "job=%s occurrence=%u step=%u age_ms=%llu",
			  j->spec.id, o->number, t->step,
			  (unsigned long long)sched_job_age_us(s, j) / 1000);
		sched_unblock(s, j, o);
	}
	sched_finish_occurrence(s, j, o);
}

void sched_task_ended(struct sched *s, struct sched_task *t,
		      enum sched_end reason, const char *checkpoint)
{
	struct job *j = &s->jobs[t->job];
	const struct job_step *step = sched_task_step(s, t);
	struct sched_worker *w =
		t->worker == SCHED_NONE ? NULL : &s->workers[t->worker];

	log_event(reason == SCHED_END_DONE ? LOG_DEBUG : LOG_INFO, "task-ended",
		  "job=%s step=%u index=%u run=%u worker=%s how=%s "
		  "failures=%u progress=%u checkpoint=%s",
		  j->spec.id, t->step, t->index, t->run,
		  w ? w->identity->id : "-", end_reason_names[reason],
		  t->failures, t->progress_percent,
		  *checkpoint ? checkpoint : "-");
	sched_task_checkpoint(s, t, checkpoint);
	if (w)
		sched_worker_record_end(s, w, t, reason);
	if (reason == SCHED_END_DONE) {
		finish_task(s, t);
		return;
	}
	if (reason == SCHED_END_FAILED) {
		s->stats.ends_failed++;
		t->last_failed_worker = t->worker;
		if (count_failure(s, j, step, t) >= j->queue.attempts_max &&
		    !step->long_running) {
			sched_task_requeue(s, t, 0);
			sched_end_job(s, j, SCHED_JOB_FAILED);
			return;
		}
		sched_task_requeue(s, t,
				   step->long_running || t->failures < 2
					   ? 0
					   : RETRY_DELAY_MS);
		return;
	}
	sched_task_requeue(s, t, t->preempted ? PREEMPTED_DELAY_MS : 0);
}

static void log_refused(const struct sched *s, const struct sched_task *t,
			const struct sched_order *o, enum sched_result result)
{
	if (result == SCHED_OK || result == SCHED_NOT_SENT ||
	    result == SCHED_OUTCOME_UNKNOWN)
		return;
	log_event(LOG_INFO, "order-refused",
		  "task=%s run=%u type=%d worker=%s result=%s unanswered=%u",
		  o->task, o->run, o->type, s->workers[t->worker].identity->id,
		  result_names[result], t->unanswered);
}

static void handle_start_result(struct sched *s, struct sched_task *t,
				enum sched_result result)
{
	struct sched_worker *w = &s->workers[t->worker];

	switch (result) {
	case SCHED_OK:
		if (t->state == TASK_STARTING)
			set_state(s, t, TASK_RUNNING);
		t->confirmed = true;
		if (!s->jobs[t->job].started &&
		    !s->jobs[t->job].spec.repetitions)
			latency_add(LATENCY_FIRST_RUN,
				    sched_job_age_us(s, &s->jobs[t->job]));
		s->jobs[t->job].started = true;
		if (s->jobs[t->job].state == SCHED_JOB_QUEUED)
			s->jobs[t->job].state = SCHED_JOB_RUNNING;
		break;
	case SCHED_NO_CAPACITY:
		w->full_until_us = s->now_us + 200000u;
		sched_start_refused(s, t, 0);
		break;
	case SCHED_LEASE_EXPIRED:
		sched_start_refused(s, t, 0);
		break;
	case SCHED_UNHEALTHY:
		w->quarantine_end_us = s->now_us + 1000000u;
		sched_start_refused(s, t, 0);
		break;
	case SCHED_INVALID:
		sched_start_refused(s, t, 2000);
		break;
	case SCHED_STALE_RUN:
		/* The run has ended; the next report has its end. */
		t->confirmed = true;
		set_state(s, t, TASK_RUNNING);
		break;
	case SCHED_NOT_SENT:
	case SCHED_OUTCOME_UNKNOWN:
		/* Safe to repeat: a run is started at most once. */
		if (t->state == TASK_STARTING)
			sched_task_order(s, t, SCHED_START);
		break;
	}
}

void sched_start_sent(struct sched *s, const struct sched_order *o)
{
	struct sched_task *t = sched_task_find(s, o->task);

	if (t && t->run == o->run && t->worker == o->worker)
		t->start_sent = true;
}

void sched_order_result(struct sched *s, const struct sched_order *o,
			enum sched_result result, uint64_t now_us)
{
	struct sched_task *t = sched_task_find(s, o->task);

	s->now_us = now_us;
	if (!t || t->run != o->run || t->worker != o->worker)
		return;
	log_refused(s, t, o, result);
	if (o->type == SCHED_START)
		t->start_sent = false;
	if (o->type == SCHED_START && result == SCHED_OUTCOME_UNKNOWN &&
	    t->unanswered < UINT8_MAX)
		t->unanswered++;
	if (o->type == SCHED_START && t->state == TASK_STARTING) {
		handle_start_result(s, t, result);
	} else if (o->type == SCHED_STOP && t->state == TASK_STOPPING) {
		sched_stop_result(s, t, result);
	} else if (o->type == SCHED_THROTTLE && result != SCHED_OK) {
		t->cpu_percent = CPU_PERCENT_UNKNOWN;
		if (result == SCHED_OUTCOME_UNKNOWN)
			t->throttle_unanswered = true;
	}
}

bool sched_order_wanted(struct sched *s, const struct sched_order *o)
{
	const struct sched_task *t = sched_task_find(s, o->task);

	if (o->type == SCHED_STOP)
		return true;
	if (!t || t->run != o->run || t->worker != o->worker)
		return false;
	if (o->type == SCHED_START && s->workers[o->worker].evacuated)
		return false;
	return o->type == SCHED_START ? t->state == TASK_STARTING
				      : t->state == TASK_RUNNING;
}
