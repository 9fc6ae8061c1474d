#include <search.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

#define SWEEP_US 100000u
/* Ended placements stay visible to operators for this time. */
#define KEEP_ENDED_US (30 * 60 * 1000000ull)
#define FORGET_PER_SWEEP 16

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

static const char *const reason_texts[REASON_COUNT] = {
	[REASON_NONE] = "",
	[REASON_OPERATOR] = "cancelled by an operator",
	[REASON_NO_ROOM] = "the worker had no room",
	[REASON_START_FAILED] = "the worker failed to start it",
	[REASON_NOT_SENT] = "the start did not leave",
	[REASON_ANSWER_LOST] = "the answer to the start was lost",
	[REASON_STALE] = "the worker refused the start as stale",
	[REASON_WORKER_GONE] = "the worker is gone",
	[REASON_WORKER_LEAVING] = "the worker is leaving",
	[REASON_UNREACHABLE] = "the worker did not answer",
	[REASON_EXPIRED] = "its lease ended",
	[REASON_MISSING] = "the worker did not have it any more",
	[REASON_PRESSURE] = "it slowed a service",
	[REASON_MEMORY] = "the worker ran short of memory",
	[REASON_PREEMPTED] = "it made room for urgent work",
	[REASON_MAX_RUN] = "it ran longer than max_run_ms",
	[REASON_TASK_FAILED] = "it failed",
	[REASON_TOO_MUCH_CPU] = "no worker has this much CPU",
	[REASON_TOO_MUCH_MEMORY] = "no worker has this much memory",
	[REASON_TOO_MANY_ACCELERATORS] = "no worker has these accelerators",
	[REASON_TOO_LARGE_TOGETHER] =
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

bool task_is_active(const struct task *t)
{
	return t->state >= TASK_STARTING && t->state <= TASK_STOPPING;
}

bool task_is_pending(const struct task *t)
{
	return t->state == TASK_PENDING || t->state == TASK_EVICTED;
}

bool task_is_final(const struct task *t)
{
	return t->state == TASK_DONE || t->state == TASK_FAILED ||
	       t->state == TASK_CANCELLED;
}

bool task_unwanted(const struct task *t)
{
	return t->placement->cancelled || t->number >= t->placement->wanted;
}

void task_id(const struct task *t, char out[PLACE_NAME_BYTES + 12])
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

struct oplog_client *place_client(struct place *p)
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
 * A start of the owner before may still reach its worker, and its last
 * renewal may have left up to the outage horizon after the seal.
 */
static void client_owned(void *client, uint64_t epoch, uint64_t now_us)
{
	struct place *p = client;
	uint64_t own_us = p->options.outage_horizon_us;
	uint64_t logged_us = p->logged_horizon_us;
	uint64_t longest_us = own_us > logged_us ? own_us : logged_us;
	uint64_t end =
		now_us + longest_us + PLACE_TASK_LEASE_US + PLACE_LATE_US;

	p->horizon_us = logged_us && logged_us < own_us ? logged_us : own_us;
	p->horizon_asked = false;
	p->owner = true;
	p->settled = false;
	p->epoch = epoch;
	p->now_us = now_us;
	p->owned_us = now_us;
	p->last_append_us = now_us;
	p->heartbeat_us = now_us;
	p->evictions = 0;
	p->decisions = 0;
	for (uint32_t i = 0; i < p->worker_count; i++) {
		struct worker *w = p->workers[i];

		w->answered_us = now_us;
		worker_restored(p, w);
		for (struct task *t = w->tasks.first; t; t = t->next) {
			t->sent = true;
			t->settled_us = now_us;
			t->lease_end_us = end;
			t->since_us = now_us;
			t->adopted = true;
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
		struct waiter w = p->waiters[p->waiter_head];

		p->waiter_head = (p->waiter_head + 1) % p->waiter_capacity;
		p->waiter_count--;
		if (w.type == WAIT_START)
			task_started_durable(p, &w);
		else if (w.type == WAIT_HORIZON)
			p->horizon_us = p->options.outage_horizon_us;
		else
			reply(p, w.request, PLACE_ACCEPTED);
	}
}

/* Queues what follows once the entry with the waiter's token is durable. */
void place_wait(struct place *p, const struct waiter *w)
{
	uint32_t n = p->waiter_capacity;

	if (p->waiter_count == n) {
		struct waiter *ring = xcalloc(n ? 2 * n : 64, sizeof(*ring));

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

/* Appends a cleared action. */
struct place_action *place_emit(struct place *p, enum place_action_type type)
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
		if (e->type == PLACE_POLICY)
			queue_policy(p, e->policy);
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
	case PLACE_RENEWED:
	case PLACE_READ_END:
		worker_event(p, e);
		break;
	case PLACE_STARTED:
	case PLACE_STOPPED:
	case PLACE_CHECKPOINTED:
	case PLACE_MISSING:
	case PLACE_REPORT:
		task_event(p, e);
		break;
	case PLACE_USAGE:
	case PLACE_WORKER_USAGE:
		usage_event(p, e);
		break;
	case PLACE_POLICY:
		queue_policy(p, e->policy);
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
	a = place_emit(p, PLACE_REPLY);
	a->request = request;
	a->refusal = r;
}

/* Commits an operator's change and replies once it is durable. */
static void commit_request(struct place *p, const struct change *c,
			   uint64_t request)
{
	struct waiter w = { .type = WAIT_REPLY, .request = request };

	w.token = place_commit(p, c);
	if (!w.token)
		reply(p, request, PLACE_REFUSED_NOT_OWNER);
	else if (request)
		place_wait(p, &w);
}

/* A sheet or message cannot make the tables grow without bound. */
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
	else if (place_find(p, e->placement->id))
		refusal = PLACE_REFUSED_EXISTS;
	if (refusal != PLACE_ACCEPTED) {
		reply(p, e->request, refusal);
		return;
	}
	c.slot = p->slot_count;
	if (p->free_slot < p->slot_count && !p->slots[p->free_slot])
		c.slot = p->free_slot;
	commit_request(p, &c, e->request);
}

static void change_placement(struct place *p, const struct place_event *e)
{
	struct placement *pl = place_find(p, e->placement->id);
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
	struct placement *pl = place_find(p, e->id);
	struct change c = { .type = CHANGE_CANCEL };

	if (!pl) {
		reply(p, e->request, PLACE_REFUSED_UNKNOWN);
		return;
	}
	c.slot = pl->slot;
	commit_request(p, &c, e->request);
}

/* Forgets some placements whose tasks ended long ago. */
static void forget_ended(struct place *p)
{
	for (int i = 0; i < FORGET_PER_SWEEP && p->slot_count; i++) {
		struct change c = { .type = CHANGE_FORGET };
		struct placement *pl;

		p->forget_slot = (p->forget_slot + 1) % p->slot_count;
		pl = p->slots[p->forget_slot];
		if (!pl) {
			p->free_slot = p->forget_slot;
		} else if (pl->ended == pl->count &&
			   p->now_us - pl->ended_us > KEEP_ENDED_US) {
			c.slot = pl->slot;
			place_commit(p, &c);
		}
	}
}

/* Logs the outage horizon, when it is new or for the sake of an append. */
static void log_horizon(struct place *p)
{
	uint64_t own_us = p->options.outage_horizon_us;
	struct change c = { .type = CHANGE_HORIZON,
			    .horizon_ms = (uint32_t)(own_us / 1000) };
	struct waiter w = { .type = WAIT_HORIZON };

	w.token = place_commit(p, &c);
	if (!w.token)
		return;
	p->horizon_asked = true;
	place_wait(p, &w);
}

static void tick(struct place *p, const struct place_event *e)
{
	uint64_t quiet_us = p->horizon_us / 4;

	if (e->at_us > p->last_append_us)
		p->last_append_us = e->at_us;
	if (!p->horizon_asked &&
	    p->options.outage_horizon_us > p->logged_horizon_us)
		log_horizon(p);
	if (p->now_us - p->sweep_us >= SWEEP_US) {
		p->sweep_us = p->now_us;
		for (uint32_t i = 0; i < p->worker_count; i++)
			worker_tick(p, p->workers[i]);
		forget_ended(p);
	}
	/* Without an append the renewals would end at the outage horizon. */
	if (p->now_us - p->last_append_us > quiet_us &&
	    p->now_us - p->heartbeat_us > quiet_us) {
		p->heartbeat_us = p->now_us;
		log_horizon(p);
	}
	/* A start follows the horizon of its owner in the log. */
	if (p->logged_horizon_us)
		queue_pass(p);
}

uint64_t place_horizon_us(const struct place *p)
{
	return p->horizon_us;
}
