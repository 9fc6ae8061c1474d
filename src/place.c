#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

#define SWEEP_INTERVAL_US 100000u
/* Ended placements remain visible to operators for this time. */
#define ENDED_RETENTION_US (30 * 60 * 1000000ull)
#define DELETE_CHECKS_PER_SWEEP 16

static void client_reset(void *client);
static int client_restore(void *client, const void *data, size_t len);
static int client_replay(void *client, const void *data, size_t len);
static void client_snapshot(void *client, struct buffer *out);
static void client_owned(void *client, uint64_t epoch, uint64_t now_us);
static void client_committed(void *client, uint64_t token, uint64_t now_us);
static void create_placement(struct place *p, const struct place_event *e);
static void change_placement(struct place *p, const struct place_event *e);
static void cancel_placement(struct place *p, const struct place_event *e);
static void reply(struct place *p, uint64_t request, enum place_refusal r);
static void tick(struct place *p, const struct place_event *e);

static const struct oplog_client_ops client_ops = {
	.name = "place",
	.type = OPLOG_ENTRY_TASK,
	.reset = client_reset,
	.restore = client_restore,
	.replay = client_replay,
	.snapshot = client_snapshot,
	.owned = client_owned,
	.committed = client_committed,
};

/* Sent to operators' tools as the field "reason"; the texts must not change. */
static const char *const reason_texts[REASON_COUNT] = {
	[REASON_NONE] = "",
	[REASON_CANCELLED] = "cancelled by an operator",
	[REASON_NO_ROOM] = "the worker had no room",
	[REASON_START_FAILED] = "the worker failed to start it",
	[REASON_NOT_SENT] = "the start did not leave",
	[REASON_ANSWER_LOST] = "the answer to the start was lost",
	[REASON_STALE] = "the worker refused the start as stale",
	[REASON_WORKER_GONE] = "the worker is gone",
	[REASON_WORKER_LEAVING] = "the worker is leaving",
	[REASON_UNREACHABLE] = "the worker did not answer",
	[REASON_LEASE_EXPIRED] = "its lease ended",
	[REASON_MISSING] = "the worker did not have it any more",
	[REASON_INTERFERENCE] = "it slowed a service",
	[REASON_MEMORY_PRESSURE] = "the worker ran short of memory",
	[REASON_PREEMPTED] = "it made room for urgent work",
	[REASON_MAX_RUN] = "it ran longer than max_run_ms",
	[REASON_TASK_FAILED] = "it failed",
	[REASON_TOO_MUCH_CPU] = "no worker has this much CPU",
	[REASON_TOO_MUCH_MEMORY] = "no worker has this much memory",
	[REASON_TOO_MANY_ACCELERATORS] = "no worker has these accelerators",
	[REASON_TOO_LARGE_COMBINED] =
		"no one worker has this CPU, memory and accelerators",
	[REASON_OVER_QUOTA] = "it alone exceeds the team's quota",
};

static const char *const state_names[] = {
	[TASK_PENDING] = "pending",	  [TASK_STARTING] = "starting",
	[TASK_RUNNING] = "running",	  [TASK_STOPPING] = "stopping",
	[TASK_EVICTED] = "evicted",	  [TASK_DONE] = "done",
	[TASK_FAILED] = "failed",	  [TASK_CANCELLED] = "cancelled",
	[TASK_IMPOSSIBLE] = "impossible",
};

const char *task_state_name(enum task_state s)
{
	return state_names[s];
}

const char *reason_text(enum place_reason r)
{
	return reason_texts[r];
}

bool task_is_active(const struct place_task *t)
{
	return t->state >= TASK_STARTING && t->state <= TASK_STOPPING;
}

bool task_is_pending(const struct place_task *t)
{
	return t->state == TASK_PENDING || t->state == TASK_EVICTED;
}

bool task_is_final(const struct place_task *t)
{
	return t->state == TASK_DONE || t->state == TASK_FAILED ||
	       t->state == TASK_CANCELLED;
}

bool task_cancel_requested(const struct place_task *t)
{
	return t->placement->cancelled ||
	       t->number >= t->placement->desired_count;
}

void task_id(const struct place_task *t, char out[PLACE_NAME_BYTES + 12])
{
	snprintf(out, PLACE_NAME_BYTES + 12, "%s.%u", t->placement->id,
		 t->number);
}

struct place *place_create(const struct place_options *o)
{
	struct place *p = xcalloc(1, sizeof(*p));

	p->client.ops = &client_ops;
	p->options = *o;
	if (!p->options.report_lag_us)
		p->options.report_lag_us = 2000000u;
	p->rng.state = o->seed;
	return p;
}

void place_destroy(struct place *p)
{
	if (!p)
		return;
	place_clear(p);
	free(p->slots);
	free(p->workers);
	free(p->teams);
	free(p->kinds);
	free(p->actions);
	free(p->waiters);
	free(p);
}

void place_set_policy(struct place *p, enum settings_placement policy)
{
	p->options.policy = policy;
}

struct oplog_client *place_oplog_client(struct place *p)
{
	return &p->client;
}

static void client_reset(void *client)
{
	struct place *p = client;

	p->owner = false;
	place_clear(p);
}

static int client_restore(void *client, const void *data, size_t len)
{
	return place_replay(client, data, len);
}

static int client_replay(void *client, const void *data, size_t len)
{
	return place_replay(client, data, len);
}

static void client_snapshot(void *client, struct buffer *out)
{
	place_write_snapshot(client, out);
}

/*
 * Takes over the shard. A start by the previous owner may still reach its
 * worker, and its last renewal may have been sent up to the outage horizon
 * after the log was sealed.
 */
static void client_owned(void *client, uint64_t epoch, uint64_t now_us)
{
	struct place *p = client;
	uint64_t own_us = p->options.outage_horizon_us;
	uint64_t logged_us = p->logged_horizon_us;
	uint64_t longest_us = own_us > logged_us ? own_us : logged_us;
	uint64_t end = now_us + longest_us + PLACE_TASK_LEASE_US +
		       PLACE_LATE_DELIVERY_US;

	p->horizon_us = logged_us && logged_us < own_us ? logged_us : own_us;
	p->horizon_appended = false;
	p->owner = true;
	p->discovery_complete = false;
	p->epoch = epoch;
	p->now_us = now_us;
	p->owned_us = now_us;
	p->last_append_us = now_us;
	p->last_heartbeat_us = now_us;
	p->evictions = 0;
	p->decisions = 0;
	for (uint32_t i = 0; i < p->worker_count; i++) {
		struct place_worker *w = p->workers[i];

		w->last_answer_us = now_us;
		worker_restart_quarantine(p, w);
		for (struct place_task *t = w->tasks.first; t; t = t->next) {
			t->start_sent = true;
			t->start_resolved_us = now_us;
			t->lease_end_us = end;
			t->state_since_us = now_us;
			t->throttle_unknown = true;
		}
		worker_reindex(p, w);
	}
	p->dirty = true;
}

static void client_committed(void *client, uint64_t token, uint64_t now_us)
{
	struct place *p = client;

	if (now_us > p->now_us)
		p->now_us = now_us;
	while (p->waiter_count && p->waiters[p->waiter_head].token <= token) {
		struct commit_waiter w = p->waiters[p->waiter_head];

		p->waiter_head = (p->waiter_head + 1) % p->waiter_capacity;
		p->waiter_count--;
		if (w.type == WAIT_START)
			task_start_committed(p, &w);
		else if (w.type == WAIT_HORIZON)
			p->horizon_us = p->options.outage_horizon_us;
		else
			reply(p, w.request, PLACE_ACCEPTED);
	}
}

/* Queues the follow-up of the log entry with the waiter's token. */
void place_await_commit(struct place *p, const struct commit_waiter *w)
{
	uint32_t n = p->waiter_capacity;

	if (p->waiter_count == n) {
		struct commit_waiter *ring =
			xcalloc(n ? 2 * n : 64, sizeof(*ring));

		for (uint32_t i = 0; i < n; i++)
			ring[i] = p->waiters[(p->waiter_head + i) % n];
		free(p->waiters);
		p->waiters = ring;
		p->waiter_head = 0;
		p->waiter_capacity = n ? 2 * n : 64;
	}
	n = (p->waiter_head + p->waiter_count++) % p->waiter_capacity;
	p->waiters[n] = *w;
}

/* Appends a zeroed action to the queue. */
struct place_action *place_add_action(struct place *p,
				      enum place_action_type type)
{
	uint32_t n = p->action_capacity;
	struct place_action *a;

	if (p->action_count == n) {
		struct place_action *ring =
			xcalloc(n ? 2 * n : 16, sizeof(*ring));

		for (uint32_t i = 0; i < n; i++)
			ring[i] = p->actions[(p->action_head + i) % n];
		free(p->actions);
		p->actions = ring;
		p->action_head = 0;
		p->action_capacity = n ? 2 * n : 16;
	}
	n = (p->action_head + p->action_count++) % p->action_capacity;
	a = &p->actions[n];
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->reason = "";
	return a;
}

bool place_next_action(struct place *p, struct place_action *out)
{
	if (!p->action_count)
		return false;
	*out = p->actions[p->action_head];
	p->action_head = (p->action_head + 1) % p->action_capacity;
	p->action_count--;
	return true;
}

void place_step(struct place *p, uint64_t now_us, const struct place_event *e)
{
	if (now_us > p->now_us)
		p->now_us = now_us;
	if (!p->owner) {
		if (e->request)
			reply(p, e->request, PLACE_REFUSED_NOT_OWNER);
		if (e->type == PLACE_SHEET)
			queue_set_sheet(p, e->sheet);
		return;
	}
	switch (e->type) {
	case PLACE_CREATE:
		create_placement(p, e);
		break;
	case PLACE_CHANGE:
		change_placement(p, e);
		break;
	case PLACE_CANCEL:
		cancel_placement(p, e);
		break;
	case PLACE_WORKER:
	case PLACE_WORKER_GONE:
	case PLACE_RENEW_RESULT:
	case PLACE_READ_TASKS_RESULT:
		worker_event(p, e);
		break;
	case PLACE_START_RESULT:
	case PLACE_STOP_RESULT:
	case PLACE_CHECKPOINT_RESULT:
	case PLACE_TASK_MISSING:
	case PLACE_TASK_REPORT:
		task_event(p, e);
		break;
	case PLACE_USAGE:
	case PLACE_WORKER_USAGE:
		usage_event(p, e);
		break;
	case PLACE_SHEET:
		queue_set_sheet(p, e->sheet);
		break;
	case PLACE_TICK:
		tick(p, e);
		break;
	}
}

static void reply(struct place *p, uint64_t request, enum place_refusal r)
{
	struct place_action *a;

	if (!request)
		return;
	a = place_add_action(p, PLACE_REPLY);
	a->request = request;
	a->refusal = r;
}

/* Commits an operator's change, and replies when it is durable. */
static void commit_request(struct place *p, const struct change *c,
			   uint64_t request)
{
	struct commit_waiter w = { .type = WAIT_REPLY, .request = request };

	w.token = place_commit(p, c);
	if (!w.token)
		reply(p, request, PLACE_REFUSED_NOT_OWNER);
	else if (request)
		place_await_commit(p, &w);
}

/* Limits sizes, so that no sheet or message grows the tables without bound. */
static bool spec_is_valid(const struct placement_spec *s)
{
	return s->id[0] && strlen(s->id) < PLACE_NAME_BYTES - 1 && s->count &&
	       s->count <= 100000 && s->urgency < URGENCY_COUNT &&
	       s->cpu_milli <= INT32_MAX / 16 &&
	       s->memory_mb <= INT32_MAX / 16 &&
	       s->accelerators <= INT32_MAX / 16;
}

static void create_placement(struct place *p, const struct place_event *e)
{
	struct change c = { .type = CHANGE_CREATE, .spec = e->placement };
	enum place_refusal refusal = PLACE_ACCEPTED;

	if (!spec_is_valid(e->placement))
		refusal = PLACE_REFUSED_INVALID;
	else if (placement_lookup(p, e->placement->id))
		refusal = PLACE_REFUSED_EXISTS;
	if (refusal != PLACE_ACCEPTED) {
		reply(p, e->request, refusal);
		return;
	}
	c.slot = p->slot_count;
	if (p->free_slot_hint < p->slot_count && !p->slots[p->free_slot_hint])
		c.slot = p->free_slot_hint;
	commit_request(p, &c, e->request);
}

static void change_placement(struct place *p, const struct place_event *e)
{
	struct placement *pl = placement_lookup(p, e->placement->id);
	struct change c = { .type = CHANGE_UPDATE, .spec = e->placement };

	if (!pl || pl->cancelled) {
		reply(p, e->request, PLACE_REFUSED_UNKNOWN);
	} else if (!spec_is_valid(e->placement)) {
		reply(p, e->request, PLACE_REFUSED_INVALID);
	} else {
		c.slot = pl->slot;
		commit_request(p, &c, e->request);
	}
}

static void cancel_placement(struct place *p, const struct place_event *e)
{
	struct placement *pl = placement_lookup(p, e->id);
	struct change c = { .type = CHANGE_CANCEL };

	if (!pl) {
		reply(p, e->request, PLACE_REFUSED_UNKNOWN);
		return;
	}
	c.slot = pl->slot;
	commit_request(p, &c, e->request);
}

/* Deletes ended placements after their retention, a few slots at a time. */
static void delete_ended_placements(struct place *p)
{
	for (int i = 0; i < DELETE_CHECKS_PER_SWEEP && p->slot_count; i++) {
		struct change c = { .type = CHANGE_DELETE };
		struct placement *pl;

		p->delete_cursor = (p->delete_cursor + 1) % p->slot_count;
		pl = p->slots[p->delete_cursor];
		if (!pl) {
			p->free_slot_hint = p->delete_cursor;
		} else if (pl->final_tasks == pl->count &&
			   p->now_us - pl->ended_us > ENDED_RETENTION_US) {
			c.slot = pl->slot;
			place_commit(p, &c);
		}
	}
}

/* Logs the outage horizon when it is new, or as a heartbeat. */
static void log_horizon(struct place *p)
{
	uint64_t own_us = p->options.outage_horizon_us;
	struct change c = { .type = CHANGE_HORIZON,
			    .horizon_ms = (uint32_t)(own_us / 1000) };
	struct commit_waiter w = { .type = WAIT_HORIZON };

	w.token = place_commit(p, &c);
	if (!w.token)
		return;
	p->horizon_appended = true;
	place_await_commit(p, &w);
}

static void tick(struct place *p, const struct place_event *e)
{
	uint64_t quiet_us = p->horizon_us / 4;

	if (e->at_us > p->last_append_us)
		p->last_append_us = e->at_us;
	if (!p->horizon_appended &&
	    p->options.outage_horizon_us > p->logged_horizon_us)
		log_horizon(p);
	if (p->now_us - p->last_sweep_us >= SWEEP_INTERVAL_US) {
		p->last_sweep_us = p->now_us;
		for (uint32_t i = 0; i < p->worker_count; i++)
			worker_tick(p, p->workers[i]);
		delete_ended_placements(p);
	}
	/* Without appends, renewals would stop at the outage horizon. */
	if (p->now_us - p->last_append_us > quiet_us &&
	    p->now_us - p->last_heartbeat_us > quiet_us) {
		p->last_heartbeat_us = p->now_us;
		log_horizon(p);
	}
	/* Starts are only logged after the owner's outage horizon. */
	if (p->logged_horizon_us)
		queue_schedule(p);
}

uint64_t place_outage_horizon_us(const struct place *p)
{
	return p->horizon_us;
}
