#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "support-place-model.h"

struct place_model pm;

static const char *const action_names[] = {
	[PLACE_START] = "start",	   [PLACE_STOP] = "stop",
	[PLACE_CHECKPOINT] = "checkpoint", [PLACE_THROTTLE] = "throttle",
	[PLACE_RENEW] = "renew",	   [PLACE_READ_TASKS] = "read",
};

void place_model_fail(const char *fmt, ...)
{
	va_list ap;

	if (pm.failure[0])
		return;
	pm.failure_format = fmt;
	va_start(ap, fmt);
	vsnprintf(pm.failure, sizeof(pm.failure), fmt, ap);
	va_end(ap);
}

struct model_worker *place_model_find_worker(const char *id)
{
	for (int i = 0; i < WORKER_COUNT; i++)
		if (!strcmp(pm.workers[i].id, id))
			return &pm.workers[i];
	return NULL;
}

struct task_run *place_model_find_run(struct model_worker *w, const char *id)
{
	for (int i = 0; i < w->run_count; i++)
		if (!strcmp(w->runs[i].id, id))
			return &w->runs[i];
	return NULL;
}

/* Checks the invariants that hold between any two steps. */
void place_model_check_invariants(void)
{
	for (int i = 0; i < WORKER_COUNT; i++) {
		struct model_worker *w = &pm.workers[i];
		int32_t cpu = 0, memory = 0;

		for (int r = 0; w->alive && r < w->run_count; r++) {
			struct task_run *run = &w->runs[r];

			if (run->state != TASK_RUNNING)
				continue;
			cpu += run->cpu_milli;
			memory += run->memory_mb;
			for (int j = i + 1; j < WORKER_COUNT; j++) {
				struct task_run *other =
					pm.workers[j].alive
						? place_model_find_run(
							  &pm.workers[j],
							  run->id)
						: NULL;

				if (other && other->state == TASK_RUNNING)
					place_model_fail("%s runs on %s and %s",
							 run->id, w->id,
							 pm.workers[j].id);
			}
		}
		if (cpu > WORKER_CPU_MILLI || memory > WORKER_MEMORY_MB)
			place_model_fail("%s runs %d milli-CPU and %d MB",
					 w->id, cpu, memory);
	}
}

/* Records a start; the attempt numbers of a task must increase. */
static void record_start(const char *id, uint32_t attempt)
{
	struct last_attempt *s = NULL;

	for (int i = 0; i < pm.last_attempt_count && !s; i++)
		if (!strcmp(pm.last_attempts[i].id, id))
			s = &pm.last_attempts[i];
	if (!s && pm.last_attempt_count < LAST_ATTEMPTS_MAX) {
		s = &pm.last_attempts[pm.last_attempt_count++];
		snprintf(s->id, sizeof(s->id), "%s", id);
		s->attempt = 0;
	}
	if (!s)
		return;
	if (attempt <= s->attempt)
		place_model_fail("%s started attempt %u after %u", id, attempt,
				 s->attempt);
	s->attempt = attempt;
	for (int i = 0; i < WORKER_COUNT; i++) {
		struct task_run *run = place_model_find_run(&pm.workers[i], id);

		if (run && run->state == TASK_DONE && pm.workers[i].alive &&
		    !pm.workers[i].was_unreachable)
			place_model_fail(
				"%s is done on %s and was started again", id,
				pm.workers[i].id);
	}
}

/* ---- workers ---- */

static enum place_result execute_start(struct model_worker *w,
				       const struct place_action *a)
{
	struct task_run *run = place_model_find_run(w, a->task);

	if (run && run->state == TASK_RUNNING)
		return run->attempt == a->attempt ? PLACE_RESULT_OK
						  : PLACE_RESULT_STALE;
	if (w->fail_starts)
		return PLACE_RESULT_FAILED;
	if (!run) {
		if (w->run_count == WORKER_RUNS_MAX)
			return PLACE_RESULT_NO_CAPACITY;
		run = &w->runs[w->run_count++];
	}
	record_start(a->task, a->attempt);
	snprintf(run->id, sizeof(run->id), "%s", a->task);
	run->attempt = a->attempt;
	run->state = TASK_RUNNING;
	run->lease_end_us = pm.shard.now_us + PLACE_TASK_LEASE_US;
	run->cpu_milli = (int32_t)a->cpu_milli;
	run->memory_mb = (int32_t)a->memory_mb;
	return PLACE_RESULT_OK;
}

/* Executes a call on its worker and stores the result in the call. */
static void execute_call(struct place_model_call *c)
{
	struct model_worker *w = place_model_find_worker(c->action.worker);
	struct task_run *run = place_model_find_run(w, c->action.task);

	if (c->owner->epoch < w->fence) {
		c->result = PLACE_RESULT_STALE;
		return;
	}
	w->fence = c->owner->epoch;
	c->result = PLACE_RESULT_OK;
	switch (c->action.type) {
	case PLACE_START:
		c->result = execute_start(w, &c->action);
		break;
	case PLACE_STOP:
		if (run && run->state == TASK_RUNNING)
			*run = w->runs[--w->run_count];
		else
			c->result = PLACE_RESULT_ABSENT;
		break;
	case PLACE_READ_TASKS:
		memcpy(c->runs, w->runs, sizeof(c->runs));
		c->run_count = w->run_count;
		break;
	case PLACE_RENEW:
		for (int i = 0; i < c->run_count; i++) {
			run = place_model_find_run(w, c->runs[i].id);
			if (run && run->state == TASK_RUNNING)
				run->lease_end_us =
					pm.shard.now_us + PLACE_TASK_LEASE_US;
		}
		break;
	default:
		if (!run || run->state != TASK_RUNNING)
			c->result = PLACE_RESULT_ABSENT;
		break;
	}
}

/* ---- calls ---- */

void place_model_report(struct shard_owner *o, const char *worker,
			const struct task_run *run, bool read)
{
	struct place_event e = { .type = PLACE_TASK_REPORT,
				 .id = run->id,
				 .worker = worker,
				 .attempt = run->attempt,
				 .state = run->state,
				 .from_read = read };

	place_step(o->place, pm.shard.now_us, &e);
}

static void report_missing_tasks(struct place_model_call *c)
{
	struct model_worker *w = place_model_find_worker(c->action.worker);

	for (int i = 0; i < c->run_count; i++) {
		struct task_run *run = place_model_find_run(w, c->runs[i].id);
		struct place_event e = { .type = PLACE_TASK_MISSING,
					 .id = c->runs[i].id,
					 .worker = w->id };

		if (!run || run->state != TASK_RUNNING)
			place_step(c->owner->place, pm.shard.now_us, &e);
	}
}

void place_model_end_call(struct place_model_call *c, enum place_result result)
{
	static const enum place_event_type types[] = {
		[PLACE_START] = PLACE_START_RESULT,
		[PLACE_STOP] = PLACE_STOP_RESULT,
		[PLACE_CHECKPOINT] = PLACE_CHECKPOINT_RESULT,
		[PLACE_RENEW] = PLACE_RENEW_RESULT,
		[PLACE_READ_TASKS] = PLACE_READ_TASKS_RESULT,
	};
	struct place_event e = { .type = types[c->action.type],
				 .id = c->action.task,
				 .worker = c->action.worker,
				 .attempt = c->action.attempt,
				 .result = result,
				 .at_us = c->sent_us };

	if (pm.verbose)
		printf("%10.1f epoch=%u %s %s %s attempt=%u answer=%d\n",
		       (double)pm.shard.now_us / 1e6, (unsigned)c->owner->epoch,
		       action_names[c->action.type], c->action.worker,
		       c->action.task, c->action.attempt, result);
	if (c->state != CALL_ABANDONED)
		c->state = CALL_FREE;
	if (c->action.type == PLACE_THROTTLE)
		return;
	if (c->action.type == PLACE_READ_TASKS || c->action.type == PLACE_RENEW)
		e.id = c->action.worker;
	if (c->action.type == PLACE_READ_TASKS && result == PLACE_RESULT_OK)
		for (int i = 0; i < c->run_count; i++)
			place_model_report(c->owner, c->action.worker,
					   &c->runs[i], true);
	place_step(c->owner->place, pm.shard.now_us, &e);
	if (c->action.type == PLACE_RENEW && result == PLACE_RESULT_OK)
		report_missing_tasks(c);
	place_model_queue_actions(c->owner);
}

/*
 * As the driver does, rejects a call that waited for more than 1 s, or whose
 * owner's last append is older than the outage horizon.
 */
void place_model_send_calls(void)
{
	for (int i = 0; i < pm.call_high_water; i++) {
		struct place_model_call *c = &pm.calls[i];
		bool first = c->state == CALL_QUEUED;

		for (int j = 0; first && j < pm.call_high_water; j++) {
			const struct place_model_call *d = &pm.calls[j];

			first = d->state == CALL_FREE ||
				d->state == CALL_ABANDONED ||
				d->owner != c->owner || d->order >= c->order ||
				strcmp(d->action.worker, c->action.worker);
		}
		if (!first)
			continue;
		c->sent_us = pm.shard.now_us;
		if (pm.shard.now_us - c->created_us > 1000000u ||
		    pm.shard.now_us - c->owner->last_append_us >
			    pm.shard.options.outage_horizon_us)
			place_model_end_call(c, PLACE_RESULT_NOT_SENT);
		else
			c->state = CALL_SENT;
	}
}

static void add_renewed_task(void *arg, const char *task)
{
	struct place_model_call *c = arg;

	if (c->run_count < WORKER_RUNS_MAX)
		snprintf(c->runs[c->run_count++].id, sizeof(c->runs[0].id),
			 "%s", task);
}

void place_model_queue_actions(struct shard_owner *o)
{
	struct place_action a;

	while (place_next_action(o->place, &a)) {
		struct place_model_call *c = NULL;

		if (a.type == PLACE_REPLY)
			continue;
		while (pm.call_high_water &&
		       pm.calls[pm.call_high_water - 1].state == CALL_FREE)
			pm.call_high_water--;
		for (int i = 0; i < CALLS_MAX && !c; i++)
			if (pm.calls[i].state == CALL_FREE)
				c = &pm.calls[i];
		if (c >= pm.calls + pm.call_high_water)
			pm.call_high_water = (int)(c - pm.calls) + 1;
		if (!c) {
			place_model_fail("more than %d calls in flight",
					 CALLS_MAX);
			return;
		}
		c->state = CALL_QUEUED;
		c->action = a;
		c->owner = o;
		c->order = ++pm.call_order;
		c->created_us = pm.shard.now_us;
		c->run_count = 0;
		if (a.type == PLACE_RENEW)
			place_for_each_renewed(o->place, a.worker,
					       add_renewed_task, c);
	}
	place_model_send_calls();
}

struct place_model_call *place_model_pick_call(uint32_t n, enum call_state a,
					       enum call_state b)
{
	struct place_model_call *list[CALLS_MAX];
	uint32_t count = 0;

	for (int i = 0; i < pm.call_high_water; i++)
		if (pm.calls[i].state == a || pm.calls[i].state == b)
			list[count++] = &pm.calls[i];
	return count ? list[n % count] : NULL;
}

void place_model_serve_call(struct place_model_call *c)
{
	struct model_worker *w =
		c ? place_model_find_worker(c->action.worker) : NULL;

	if (!c || !w || !w->alive || !w->reachable ||
	    (w->partitioned && c->owner == pm.shard.owner))
		return;
	execute_call(c);
	c->state = c->state == CALL_ABANDONED ? CALL_FREE : CALL_SERVED;
}

void place_model_abandon_call(struct place_model_call *c)
{
	c->ended_us = pm.shard.now_us;
	/* Without the result of a read, the owner misses completed tasks. */
	if (c->action.type == PLACE_READ_TASKS &&
	    place_model_find_worker(c->action.worker))
		place_model_find_worker(c->action.worker)->was_unreachable =
			true;
	c->state = c->state == CALL_SENT ? CALL_ABANDONED : CALL_SERVED;
	place_model_end_call(c, PLACE_RESULT_UNKNOWN);
}

/* ---- time ---- */

static void process_timeouts(void)
{
	for (int i = 0; i < WORKER_COUNT; i++)
		for (int r = 0; r < pm.workers[i].run_count; r++)
			if (pm.workers[i].runs[r].state == TASK_RUNNING &&
			    pm.workers[i].runs[r].lease_end_us <=
				    pm.shard.now_us)
				pm.workers[i].runs[r].state = TASK_EVICTED;
	for (int i = 0; i < pm.call_high_water; i++) {
		struct place_model_call *c = &pm.calls[i];

		if ((c->state == CALL_SENT || c->state == CALL_SERVED) &&
		    pm.shard.now_us - c->sent_us > 1500000u)
			place_model_abandon_call(c);
		else if (c->state == CALL_ABANDONED &&
			 pm.shard.now_us - c->ended_us >=
				 PLACE_LATE_DELIVERY_US)
			c->state = CALL_FREE;
	}
	place_model_send_calls();
}

void place_model_update_workers(struct shard_owner *o)
{
	for (int i = 0; i < WORKER_COUNT; i++) {
		struct model_worker *w = &pm.workers[i];
		struct place_event e = { .type = PLACE_WORKER,
					 .id = w->id,
					 .rack = "r",
					 .leaving = w->leaving,
					 .cpu_milli = WORKER_CPU_MILLI,
					 .memory_mb = WORKER_MEMORY_MB };

		if (!w->listed)
			e.type = PLACE_WORKER_GONE;
		place_step(o->place, pm.shard.now_us, &e);
	}
}

void place_model_tick_owner(struct shard_owner *o)
{
	struct place_event e = { .type = PLACE_TICK,
				 .at_us = o->last_append_us };

	place_model_update_workers(o);
	place_step(o->place, pm.shard.now_us, &e);
	place_model_queue_actions(o);
}

/* Executes and answers all calls of an owner. */
static void deliver_calls(struct shard_owner *o)
{
	for (int i = 0; i < pm.call_high_water; i++) {
		if (pm.calls[i].owner != o)
			continue;
		if (pm.calls[i].state == CALL_SENT)
			place_model_serve_call(&pm.calls[i]);
		if (pm.calls[i].state == CALL_SERVED)
			place_model_end_call(&pm.calls[i], pm.calls[i].result);
	}
}

void place_model_advance_time(uint64_t us, bool owner_runs)
{
	for (uint64_t t = 0; t < us; t += STEP_US) {
		pm.shard.now_us += STEP_US;
		process_timeouts();
		if (owner_runs)
			place_model_tick_owner(pm.shard.owner);
		if (pm.old_owner_active && pm.old_owners[0]) {
			place_model_tick_owner(pm.old_owners[0]);
			deliver_calls(pm.old_owners[0]);
		}
		pm.steps++;
	}
}

void place_model_run_for(uint64_t us)
{
	for (uint64_t t = 0; t < us; t += STEP_US) {
		place_model_advance_time(STEP_US, true);
		shard_commit(&pm.shard, SIZE_MAX);
		place_model_queue_actions(pm.shard.owner);
		deliver_calls(pm.shard.owner);
		place_model_check_invariants();
	}
}
