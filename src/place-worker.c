#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

#define QUARANTINE_FAILURES 3
#define QUARANTINE_US 60000000u
#define QUARANTINE_DOUBLINGS_MAX 4
/* Tolerates two failed renewals and a third of the next interval. */
#define UNREACHABLE_US 8000000u
#define READ_INTERVAL_US 1000000u
/* A task that runs for this long resets the worker's failure count. */
#define STABLE_RUN_US 10000000u

static void update_worker(struct place *p, const struct place_event *e);
static void renew_leases(struct place *p, struct place_worker *w);
static void stop_unreachable(struct place *p, struct place_worker *w);
static void tick_quarantine(struct place *p, struct place_worker *w);
static uint16_t rack_get_or_add(struct place *p, const char *name);

static int compare_workers(const void *a, const void *b)
{
	const struct place_worker *x = a, *y = b;

	return strcmp(x->id, y->id);
}

struct place_worker *worker_lookup(struct place *p, const char *id)
{
	struct place_worker key;
	struct place_worker **found;

	snprintf(key.id, sizeof(key.id), "%s", id);
	found = tfind(&key, &p->workers_by_id, compare_workers);
	return found ? *found : NULL;
}

/* Returns a worker, adding it if the log names it before the list of VMs. */
struct place_worker *worker_get_or_add(struct place *p, const char *id)
{
	struct place_worker *w = worker_lookup(p, id);

	if (w)
		return w;
	if (p->worker_count == p->worker_capacity) {
		p->worker_capacity =
			p->worker_capacity ? 2 * p->worker_capacity : 16;
		p->workers = xrealloc(p->workers,
				      p->worker_capacity * sizeof(*p->workers));
	}
	w = xcalloc(1, sizeof(*w));
	snprintf(w->id, sizeof(w->id), "%s", id);
	w->handle = p->worker_count;
	p->workers[p->worker_count++] = w;
	index_resize(&p->free_index, p->worker_count);
	index_resize(&p->reclaimable_index, p->worker_count);
	index_resize(&p->capacity_index, p->worker_count);
	tsearch(w, &p->workers_by_id, compare_workers);
	worker_reindex(p, w);
	return w;
}

bool worker_is_usable(const struct place *p, const struct place_worker *w)
{
	if (!p->owner || !w->listed || w->leaving || !w->synced)
		return false;
	return !w->quarantine_end_us || (w->on_trial && !w->trial_used);
}

/* Updates the worker in the three indices. */
void worker_reindex(struct place *p, struct place_worker *w)
{
	static const int32_t none[RES_COUNT] = { -1, -1, -1 };
	int32_t reclaimable[RES_COUNT];
	/* Concurrent starts could all fail before the first response. */
	bool usable = worker_is_usable(p, w) && !w->nominated_until_us &&
		      (w->quarantine_end_us ||
		       w->starting_tasks + w->failures < QUARANTINE_FAILURES);

	for (int r = 0; r < RES_COUNT; r++)
		reclaimable[r] = w->free[r] + w->reclaimable[r];
	index_set(&p->free_index, w->handle, usable ? w->free : none);
	index_set(&p->reclaimable_index, w->handle,
		  usable && !w->quarantine_end_us ? reclaimable : none);
	index_set(&p->capacity_index, w->handle,
		  w->listed ? w->capacity : none);
}

/* Adds (sign 1) or subtracts (sign -1) a task's reservation on a worker. */
static void account_task(struct place_worker *w, const struct place_task *t,
			 int sign)
{
	bool is_reclaimable = t->placement->yields && !t->placement->service &&
			      t->placement->urgency > URGENCY_URGENT;

	for (int r = 0; r < RES_COUNT; r++) {
		w->free[r] -= sign * t->reserved[r];
		if (is_reclaimable)
			w->reclaimable[r] += sign * t->reserved[r];
	}
}

void worker_add_task(struct place *p, struct place_worker *w,
		     struct place_task *t)
{
	t->worker = w;
	t->prev = w->tasks.last;
	t->next = NULL;
	if (t->prev)
		t->prev->next = t;
	else
		w->tasks.first = t;
	w->tasks.last = t;
	account_task(w, t, 1);
	w->starting_tasks += t->state == TASK_STARTING;
	if (w->quarantine_end_us)
		w->trial_used = true;
	worker_reindex(p, w);
}

void worker_remove_task(struct place *p, struct place_task *t)
{
	struct place_worker *w = t->worker;

	if (t->prev)
		t->prev->next = t->next;
	else
		w->tasks.first = t->next;
	if (t->next)
		t->next->prev = t->prev;
	else
		w->tasks.last = t->prev;
	t->prev = NULL;
	t->next = NULL;
	t->worker = NULL;
	account_task(w, t, -1);
	w->starting_tasks -= t->state == TASK_STARTING;
	worker_reindex(p, w);
	p->dirty = true;
}

/* Recomputes free and reclaimable resources after a placement changed. */
void worker_recompute_free(struct place *p, struct place_worker *w)
{
	memset(w->reclaimable, 0, sizeof(w->reclaimable));
	for (int r = 0; r < RES_COUNT; r++)
		w->free[r] = w->capacity[r];
	for (struct place_task *t = w->tasks.first; t; t = t->next)
		account_task(w, t, 1);
	worker_reindex(p, w);
}

void worker_set_reserved(struct place *p, struct place_task *t,
			 const int32_t reserved[RES_COUNT])
{
	account_task(t->worker, t, -1);
	memcpy(t->reserved, reserved, sizeof(t->reserved));
	account_task(t->worker, t, 1);
	worker_reindex(p, t->worker);
	p->dirty = true;
}

/* Quarantines the worker on the third consecutive failure or a failed trial. */
void worker_record_failure(struct place *p, struct place_worker *w)
{
	uint32_t doublings = w->quarantines;

	if (w->failures < UINT8_MAX)
		w->failures++;
	if (w->failures < QUARANTINE_FAILURES ||
	    (w->quarantine_end_us && !w->on_trial))
		return;
	if (doublings > QUARANTINE_DOUBLINGS_MAX)
		doublings = QUARANTINE_DOUBLINGS_MAX;
	if (w->quarantines < UINT8_MAX)
		w->quarantines++;
	w->on_trial = false;
	w->trial_used = false;
	w->quarantine_end_us =
		p->now_us + ((uint64_t)QUARANTINE_US << doublings);
	worker_reindex(p, w);
}

void worker_revoke_failure(struct place *p, struct place_worker *w)
{
	if (!w->failures)
		return;
	w->failures--;
	if (w->quarantine_end_us && !w->on_trial &&
	    w->failures < QUARANTINE_FAILURES) {
		w->quarantine_end_us = 0;
		w->quarantines--;
	}
	worker_reindex(p, w);
	p->dirty = true;
}

void worker_restart_quarantine(struct place *p, struct place_worker *w)
{
	if (w->quarantine_end_us)
		w->quarantine_end_us = p->now_us + QUARANTINE_US;
	w->on_trial = false;
	w->trial_used = false;
}

void worker_record_success(struct place *p, struct place_worker *w)
{
	w->failures = 0;
	w->quarantines = 0;
	w->quarantine_end_us = 0;
	w->on_trial = false;
	w->trial_used = false;
	worker_reindex(p, w);
	p->dirty = true;
}

/* Requests the worker's tasks, which also raises its fencing token. */
void worker_read(struct place *p, struct place_worker *w)
{
	struct place_action *a;

	if (w->read_pending)
		return;
	w->read_pending = true;
	w->last_read_us = p->now_us;
	a = place_add_action(p, PLACE_READ_TASKS);
	snprintf(a->worker, sizeof(a->worker), "%s", w->id);
}

void worker_event(struct place *p, const struct place_event *e)
{
	struct place_worker *w = worker_lookup(p, e->id);

	if (e->type == PLACE_WORKER) {
		update_worker(p, e);
		return;
	}
	if (!w)
		return;
	if (e->type == PLACE_WORKER_GONE) {
		if (w->gone_us)
			return;
		for (int r = 0; w->listed && r < RES_COUNT; r++)
			p->total_capacity[r] -= w->capacity[r];
		p->capacity_version++;
		w->listed = false;
		w->synced = false;
		w->gone_us = p->now_us;
	} else if (e->type == PLACE_RENEW_RESULT) {
		if (e->result == PLACE_RESULT_OK)
			w->last_answer_us = p->now_us;
		else
			w->synced = false;
	} else if (e->type == PLACE_READ_TASKS_RESULT) {
		w->read_pending = false;
		if (e->result == PLACE_RESULT_OK) {
			struct place_task *next;

			w->synced = true;
			w->fence_raised = true;
			w->last_answer_us = p->now_us;
			for (struct place_task *t = w->tasks.first; t;
			     t = next) {
				bool seen = t->seen_in_read;

				next = t->next;
				t->seen_in_read = false;
				if (!seen)
					task_handle_absence(p, t, e->at_us);
			}
		} else {
			w->failed_reads++;
			w->synced = false;
			for (struct place_task *t = w->tasks.first; t;
			     t = t->next)
				t->seen_in_read = false;
		}
	}
	worker_reindex(p, w);
	p->dirty = true;
}

/* Adds or updates a worker from the platform's list of VMs. */
static void update_worker(struct place *p, const struct place_event *e)
{
	struct place_worker *w = worker_get_or_add(p, e->id);
	int32_t capacity[RES_COUNT] = { (int32_t)e->cpu_milli,
					(int32_t)e->memory_mb,
					(int32_t)e->accelerators };
	bool has_grown = !w->listed;

	if (w->listed && w->leaving == e->leaving &&
	    !memcmp(w->capacity, capacity, sizeof(capacity)))
		return;
	if (!w->listed) {
		w->rack = rack_get_or_add(p, e->rack ? e->rack : "");
		w->last_answer_us = p->now_us;
	}
	for (int r = 0; r < RES_COUNT; r++) {
		p->total_capacity[r] +=
			capacity[r] - (w->listed ? w->capacity[r] : 0);
		has_grown |= capacity[r] > w->capacity[r];
		w->free[r] += capacity[r] - w->capacity[r];
		w->capacity[r] = capacity[r];
	}
	p->capacity_version++;
	w->listed = true;
	w->gone_us = 0;
	w->leaving = e->leaving;
	if (!w->synced)
		worker_read(p, w);
	worker_reindex(p, w);
	p->dirty = true;
	if (has_grown && p->impossible_count)
		queue_recheck_impossible(p);
}

static uint16_t rack_get_or_add(struct place *p, const char *name)
{
	for (uint32_t i = 0; i < p->rack_count; i++)
		if (!strcmp(p->racks[i], name))
			return (uint16_t)i;
	if (p->rack_count == PLACE_RACKS_MAX)
		return PLACE_RACKS_MAX - 1;
	snprintf(p->racks[p->rack_count], PLACE_NAME_BYTES, "%s", name);
	return (uint16_t)p->rack_count++;
}

void worker_tick(struct place *p, struct place_worker *w)
{
	struct place_task *next;

	if (w->listed && !w->synced &&
	    p->now_us - w->last_read_us >= READ_INTERVAL_US)
		worker_read(p, w);
	if (w->nominated_until_us && p->now_us > w->nominated_until_us) {
		w->nominated_until_us = 0;
		worker_reindex(p, w);
		p->dirty = true;
	}
	if (w->quarantine_end_us)
		tick_quarantine(p, w);
	if (!w->tasks.first)
		return;
	if (w->listed &&
	    p->now_us - w->last_renewal_us >= PLACE_RENEW_INTERVAL_US)
		renew_leases(p, w);
	if (p->now_us - w->last_answer_us > UNREACHABLE_US)
		stop_unreachable(p, w);
	for (struct place_task *t = w->tasks.first; t; t = next) {
		next = t->next;
		if (w->gone_us &&
		    t->lease_end_us > w->gone_us + PLACE_TASK_LEASE_US)
			t->lease_end_us = w->gone_us + PLACE_TASK_LEASE_US;
		task_tick(p, t);
	}
	if (!w->leaving)
		usage_relieve(p, w);
}

/* Renews the leases of the running tasks until the outage horizon. */
static void renew_leases(struct place *p, struct place_worker *w)
{
	bool has_running = false;
	struct place_action *a;

	if (p->now_us - p->last_append_us > p->horizon_us)
		return;
	for (struct place_task *t = w->tasks.first; t && !has_running;
	     t = t->next)
		has_running = t->state == TASK_RUNNING;
	if (!has_running) {
		/* Without renewals, a missing response is not a failure. */
		if (w->synced)
			w->last_answer_us = p->now_us;
		return;
	}
	w->last_renewal_us = p->now_us;
	a = place_add_action(p, PLACE_RENEW);
	snprintf(a->worker, sizeof(a->worker), "%s", w->id);
}

/* Stops renewing the leases of tasks whose worker does not respond. */
static void stop_unreachable(struct place *p, struct place_worker *w)
{
	enum place_reason reason =
		w->listed ? REASON_UNREACHABLE : REASON_WORKER_GONE;
	struct place_task *next;

	for (struct place_task *t = w->tasks.first; t; t = next) {
		next = t->next;
		if (t->state == TASK_RUNNING)
			task_set_state(p, t, TASK_STOPPING, reason, NULL);
	}
}

static void tick_quarantine(struct place *p, struct place_worker *w)
{
	bool running = w->tasks.first && w->tasks.first->state == TASK_RUNNING;

	if (!w->on_trial) {
		if (p->now_us < w->quarantine_end_us)
			return;
		w->on_trial = true;
		w->trial_used = false;
		worker_reindex(p, w);
		p->dirty = true;
	} else if (w->trial_used && !w->tasks.first) {
		/* The trial start had no result, e.g. it was cancelled. */
		w->trial_used = false;
		worker_reindex(p, w);
		p->dirty = true;
	} else if (w->trial_used && running &&
		   p->now_us - w->tasks.first->state_since_us > STABLE_RUN_US) {
		worker_record_success(p, w);
	}
}
