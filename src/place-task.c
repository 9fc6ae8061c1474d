#include <stdio.h>
#include <string.h>

#include "place-internal.h"

#define STOP_RETRY_US 2000000u
#define TASK_FAILURES_MAX 5
#define READ_INTERVAL_US 1000000u
/* After this many failed reads, the worker is considered unresponsive. */
#define EXPIRED_READS_MAX 3
#define STABLE_RUN_US 10000000u

static void handle_started(struct place *p, struct place_task *t,
			   const struct place_event *e);
static void handle_stopped(struct place *p, struct place_task *t,
			   const struct place_event *e);
static void handle_checkpointed(struct place *p, struct place_task *t,
				const struct place_event *e);
static void handle_report(struct place *p, struct place_task *t,
			  const struct place_event *e);
static void fail_attempt(struct place *p, struct place_task *t,
			 enum place_reason reason);
static void tick_expired(struct place *p, struct place_task *t);
static void tick_starting(struct place *p, struct place_task *t);
static void tick_running(struct place *p, struct place_task *t);
static void tick_stopping(struct place *p, struct place_task *t);

/* Appends an action for a task on its worker. */
static struct place_action *add_task_action(struct place *p,
					    enum place_action_type type,
					    const struct place_task *t)
{
	struct place_action *a = place_add_action(p, type);

	task_id(t, a->task);
	snprintf(a->worker, sizeof(a->worker), "%s", t->worker->id);
	a->attempt = t->attempt;
	a->reason = reason_text((enum place_reason)t->reason);
	return a;
}

static void add_stop(struct place *p, struct place_task *t)
{
	t->last_call_us = p->now_us;
	t->checkpointing = false;
	add_task_action(p, PLACE_STOP, t);
}

/* Assigns the next attempt to a worker. It starts when the entry is durable. */
bool task_assign(struct place *p, struct place_task *t, struct place_worker *w,
		 const int32_t need[RES_COUNT],
		 struct place_worker *passed_over, const char *reason)
{
	struct change c = { .type = CHANGE_START };
	struct commit_waiter wait = { .type = WAIT_START };
	struct kind *k = &p->kinds[t->placement->kind];

	c.slot = t->placement->slot;
	c.number = t->number;
	c.attempt = t->attempt + 1;
	c.worker = w->id;
	for (int r = 0; r < RES_COUNT; r++)
		c.reserved[r] = (uint32_t)need[r];
	usage_requested(p, t->placement, need, c.requested);
	if (!w->tasks.first)
		w->last_answer_us = p->now_us;
	wait.token = place_commit(p, &c);
	if (!wait.token)
		return false;
	wait.slot = c.slot;
	wait.number = c.number;
	wait.attempt = c.attempt;
	wait.passed_over = passed_over;
	wait.reason = reason;
	wait.appended_us = p->now_us;
	place_await_commit(p, &wait);
	p->decisions++;
	if (!k->first_start_us)
		k->first_start_us = p->now_us;
	return true;
}

/* Logs and applies a state change of a task. */
void task_set_state(struct place *p, struct place_task *t,
		    enum task_state state, enum place_reason reason,
		    const char *checkpoint)
{
	struct change c = { .type = CHANGE_TASK,
			    .slot = t->placement->slot,
			    .number = t->number,
			    .attempt = t->attempt,
			    .state = state,
			    .reason = reason,
			    .checkpoint = checkpoint };

	place_commit(p, &c);
}

/* Sends the start of a task after its log entry became durable. */
void task_start_committed(struct place *p, const struct commit_waiter *w)
{
	struct placement *pl = NULL;
	struct place_action *a;
	struct place_task *t;

	if (w->slot < p->slot_count)
		pl = p->slots[w->slot];
	if (!pl || w->number >= pl->count)
		return;
	t = &pl->tasks[w->number];
	if (!t->worker || t->attempt != w->attempt || t->start_sent)
		return;
	if (t->state != TASK_STARTING || !worker_is_usable(p, t->worker)) {
		/* The trial start of the quarantine may be this one. */
		if (t->state != TASK_STARTING || !t->worker->trial_used ||
		    !t->worker->listed || t->worker->leaving ||
		    !t->worker->synced) {
			t->start_dropped = true;
			t->reason = REASON_NOT_SENT;
			task_end_attempt(p, t, NULL);
			return;
		}
	}
	t->start_sent = true;
	t->lease_end_us = p->now_us + PLACE_CALL_MAX_US +
			  PLACE_LATE_DELIVERY_US + PLACE_TASK_LEASE_US;
	a = add_task_action(p, PLACE_START, t);
	a->reason = w->reason ? w->reason : "";
	a->cpu_milli = (uint32_t)t->requested[RES_CPU];
	a->memory_mb = (uint32_t)t->requested[RES_MEMORY];
	a->accelerators = (uint32_t)t->requested[RES_ACCELERATORS];
	snprintf(a->spec, sizeof(a->spec), "%s", pl->spec);
	if (t->checkpoint)
		snprintf(a->checkpoint, sizeof(a->checkpoint), "%s",
			 t->checkpoint);
	if (w->passed_over)
		snprintf(a->passed_over, sizeof(a->passed_over), "%s",
			 w->passed_over->id);
}

void task_stop(struct place *p, struct place_task *t, enum place_reason reason,
	       bool checkpoint_first)
{
	if (t->state != TASK_RUNNING && t->state != TASK_STARTING)
		return;
	task_set_state(p, t, TASK_STOPPING, reason, NULL);
	if (t->state != TASK_STOPPING ||
	    t->start_resolved_us == START_UNRESOLVED)
		return;
	if (!checkpoint_first) {
		add_stop(p, t);
		return;
	}
	t->last_call_us = p->now_us;
	t->checkpointing = true;
	add_task_action(p, PLACE_CHECKPOINT, t);
}

void task_end_attempt(struct place *p, struct place_task *t,
		      const char *checkpoint)
{
	enum place_reason reason = (enum place_reason)t->reason;
	bool has_run =
		t->has_run || t->checkpoint || (checkpoint && checkpoint[0]);

	if (task_cancel_requested(t)) {
		task_set_state(p, t, TASK_CANCELLED, REASON_CANCELLED,
			       checkpoint);
	} else if (t->state == TASK_STOPPING && reason == REASON_MAX_RUN) {
		task_set_state(p, t, TASK_FAILED, reason, checkpoint);
	} else {
		if (t->state != TASK_STARTING)
			p->evictions++;
		task_set_state(p, t, has_run ? TASK_EVICTED : TASK_PENDING,
			       reason, checkpoint);
	}
}

/* Requeues a failed attempt, up to TASK_FAILURES_MAX failures. */
static void fail_attempt(struct place *p, struct place_task *t,
			 enum place_reason reason)
{
	enum task_state next = t->has_run ? TASK_EVICTED : TASK_PENDING;

	if (t->failures + 1 >= TASK_FAILURES_MAX)
		next = TASK_FAILED;
	if (task_cancel_requested(t))
		next = TASK_CANCELLED;
	task_set_state(p, t, next, reason, NULL);
}

void task_event(struct place *p, const struct place_event *e)
{
	struct place_task *t = task_lookup(p, e->id);
	struct place_worker *w = worker_lookup(p, e->worker);

	if (e->type == PLACE_TASK_REPORT) {
		handle_report(p, t, e);
		return;
	}
	if (!t || !w || t->worker != w)
		return;
	if (e->type == PLACE_TASK_MISSING) {
		if (t->state == TASK_RUNNING)
			worker_read(p, w);
		return;
	}
	if (e->attempt != t->attempt || !t->start_sent)
		return;
	if (e->result == PLACE_RESULT_OK)
		w->last_answer_us = p->now_us;
	if (e->type == PLACE_START_RESULT)
		handle_started(p, t, e);
	else if (e->type == PLACE_STOP_RESULT)
		handle_stopped(p, t, e);
	else
		handle_checkpointed(p, t, e);
}

static void handle_started(struct place *p, struct place_task *t,
			   const struct place_event *e)
{
	struct place_worker *w = t->worker;

	if (t->start_resolved_us != START_UNRESOLVED)
		return;
	t->start_resolved_us = p->now_us;
	switch (e->result) {
	case PLACE_RESULT_OK:
		if (t->state == TASK_STARTING)
			task_set_state(p, t, TASK_RUNNING, REASON_NONE, NULL);
		else
			add_stop(p, t);
		return;
	case PLACE_RESULT_UNKNOWN:
		/* It may still reach the worker; later reads will tell. */
		t->start_resolved_us = p->now_us + PLACE_LATE_DELIVERY_US;
		t->reason = REASON_ANSWER_LOST;
		break;
	case PLACE_RESULT_FAILED:
		fail_attempt(p, t, REASON_START_FAILED);
		return;
	case PLACE_RESULT_NO_CAPACITY:
		t->reason = REASON_NO_ROOM;
		task_end_attempt(p, t, NULL);
		break;
	case PLACE_RESULT_STALE:
	case PLACE_RESULT_ABSENT:
		t->reason = REASON_STALE;
		task_end_attempt(p, t, NULL);
		break;
	case PLACE_RESULT_NOT_SENT:
		t->reason = REASON_NOT_SENT;
		task_end_attempt(p, t, NULL);
		break;
	}
	/* No further starts on this worker until it has been read again. */
	w->synced = false;
	worker_reindex(p, w);
}

static void handle_stopped(struct place *p, struct place_task *t,
			   const struct place_event *e)
{
	if (t->state != TASK_STOPPING)
		return;
	if (e->result == PLACE_RESULT_OK)
		task_end_attempt(p, t, e->checkpoint);
	else if (e->result == PLACE_RESULT_ABSENT &&
		 e->at_us >= t->start_resolved_us)
		/* It may have ended by itself; a read returns its state. */
		worker_read(p, t->worker);
}

static void handle_checkpointed(struct place *p, struct place_task *t,
				const struct place_event *e)
{
	if (e->result == PLACE_RESULT_OK && e->checkpoint)
		task_set_state(p, t, (enum task_state)t->state,
			       (enum place_reason)t->reason, e->checkpoint);
	if (t->state == TASK_STOPPING && t->checkpointing)
		add_stop(p, t);
}

/* Handles a read, sent at sent_us, that did not list the task. */
void task_handle_absence(struct place *p, struct place_task *t,
			 uint64_t sent_us)
{
	if (!t->start_sent || t->start_resolved_us == START_UNRESOLVED ||
	    sent_us < t->start_resolved_us)
		return;
	/*
	 * The response to a stop may have been lost together with the last
	 * checkpoint. A worker returns the same checkpoint for a repeated stop.
	 */
	if (t->state == TASK_STOPPING && !t->stop_retried) {
		t->stop_retried = true;
		add_stop(p, t);
		return;
	}
	if (t->state == TASK_RUNNING)
		t->reason = REASON_MISSING;
	task_end_attempt(p, t, NULL);
}

/* Extends the lease end of a task that a read shows as running. */
static void extend_lease(struct place *p, struct place_task *t)
{
	uint64_t end_us = p->now_us + PLACE_TASK_LEASE_US;

	if (end_us > t->lease_end_us)
		t->lease_end_us = end_us;
	t->lease_expired = false;
}

/* Sends a stop, since a worker reports an ended task until it receives one. */
static void acknowledge_end(struct place *p, const struct place_task *t)
{
	struct place_action *a = add_task_action(p, PLACE_STOP, t);

	a->cleanup = true;
	a->reason = "done";
}

/* Handles a worker's report of an attempt, from a read or a usage sample. */
static void handle_report(struct place *p, struct place_task *t,
			  const struct place_event *e)
{
	struct place_action *a;

	if (!t || !t->worker || t->attempt != e->attempt ||
	    strcmp(t->worker->id, e->worker) != 0) {
		/*
		 * Stop an attempt that is not in the log. Usage reports are too
		 * old to show that it is still running; a read is not.
		 */
		if (!e->from_read || e->state != TASK_RUNNING)
			return;
		a = place_add_action(p, PLACE_STOP);
		snprintf(a->task, sizeof(a->task), "%s", e->id);
		snprintf(a->worker, sizeof(a->worker), "%s", e->worker);
		a->attempt = e->attempt;
		a->reason = "not in the log";
		return;
	}
	if (e->from_read) {
		t->seen_in_read = true;
		if (e->state == TASK_RUNNING)
			extend_lease(p, t);
	}
	switch (e->state) {
	case TASK_RUNNING:
		if (t->state == TASK_STARTING && t->start_sent) {
			if (t->start_resolved_us == START_UNRESOLVED ||
			    t->start_resolved_us > p->now_us)
				t->start_resolved_us = p->now_us;
			task_set_state(p, t, TASK_RUNNING, REASON_NONE, NULL);
		}
		break;
	case TASK_DONE:
		acknowledge_end(p, t);
		task_set_state(p, t, TASK_DONE, REASON_NONE, e->checkpoint);
		break;
	case TASK_FAILED:
		fail_attempt(p, t, REASON_TASK_FAILED);
		break;
	case TASK_EVICTED:
		if (t->state != TASK_STOPPING)
			t->reason = REASON_LEASE_EXPIRED;
		task_end_attempt(p, t, e->checkpoint);
		break;
	default:
		break;
	}
}

void task_tick(struct place *p, struct place_task *t)
{
	if (t->start_dropped)
		task_end_attempt(p, t, NULL);
	else if (t->start_sent && t->lease_end_us &&
		 p->now_us > t->lease_end_us &&
		 t->start_resolved_us != START_UNRESOLVED)
		tick_expired(p, t);
	else if (t->state == TASK_STOPPING)
		tick_stopping(p, t);
	else if (t->state == TASK_STARTING)
		tick_starting(p, t);
	else if (t->state == TASK_RUNNING)
		tick_running(p, t);
}

/*
 * The lease has certainly expired. The worker is read first, because the task
 * may be done. If the reads fail, the task is treated as evicted.
 */
static void tick_expired(struct place *p, struct place_task *t)
{
	struct place_worker *w = t->worker;

	/* Past the outage horizon, no calls are sent and no starts follow. */
	if (p->now_us - p->last_append_us > p->horizon_us) {
		t->lease_expired = false;
		return;
	}
	if (!t->lease_expired)
		t->reads_at_expiry = w->failed_reads;
	t->lease_expired = true;
	if (w->listed &&
	    w->failed_reads - t->reads_at_expiry < EXPIRED_READS_MAX) {
		if (p->now_us - w->last_read_us >= READ_INTERVAL_US)
			worker_read(p, w);
		return;
	}
	if (t->state != TASK_STOPPING)
		t->reason = REASON_LEASE_EXPIRED;
	task_end_attempt(p, t, NULL);
}

/* Reads the worker until it shows the result of an unanswered start. */
static void tick_starting(struct place *p, struct place_task *t)
{
	struct place_worker *w = t->worker;

	if (t->start_sent && t->start_resolved_us != START_UNRESOLVED &&
	    w->listed && p->now_us - w->last_read_us >= READ_INTERVAL_US)
		worker_read(p, w);
}

static void tick_running(struct place *p, struct place_task *t)
{
	uint64_t run_us = p->now_us - t->state_since_us;
	uint32_t max_ms = t->placement->max_run_ms;

	if (max_ms && run_us > (uint64_t)max_ms * 1000u)
		task_stop(p, t, REASON_MAX_RUN, false);
	else if (t->worker->leaving)
		task_stop(p, t, REASON_WORKER_LEAVING, true);
	else if (t->worker->failures && run_us > STABLE_RUN_US &&
		 !t->worker->quarantine_end_us)
		worker_record_success(p, t->worker);
}

/* Retries the stop until it is confirmed. */
static void tick_stopping(struct place *p, struct place_task *t)
{
	if (!t->start_sent || t->start_resolved_us == START_UNRESOLVED ||
	    !t->worker->listed)
		return;
	if (!t->last_call_us || p->now_us - t->last_call_us >= STOP_RETRY_US)
		add_stop(p, t);
}
