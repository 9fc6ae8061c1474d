#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oplog-internal.h"

/* Interval at which an idle owner reads whether the log was sealed. */
#define IDLE_VERIFY_INTERVAL_US 60000000u
/* The same without the lease, when another process may have taken over. */
#define NO_LEASE_VERIFY_INTERVAL_US 3000000u

static void advance(struct oplog *log, uint64_t now);

struct oplog *oplog_create(const char *writer, uint64_t seed)
{
	struct oplog *log = xcalloc(1, sizeof(*log));

	snprintf(log->writer, sizeof(log->writer), "%s", writer);
	log->rng.state = seed;
	log->backoff_us = OPLOG_BACKOFF_MIN_US;
	log->snapshot_max_records = OPLOG_SNAPSHOT_RECORDS;
	log->snapshot_max_bytes = OPLOG_SNAPSHOT_BYTES;
	return log;
}

void oplog_clear_record(struct oplog *log)
{
	buffer_free(&log->inflight.data);
	free(log->inflight.tokens.items);
	memset(&log->inflight, 0, sizeof(log->inflight));
}

void oplog_clear_pending(struct oplog *log)
{
	buffer_reset(&log->pending);
	log->pending_count = 0;
	log->pending_tokens.count = 0;
	log->pending_flush = false;
	log->pending_since_us = 0;
}

void oplog_destroy(struct oplog *log)
{
	if (!log)
		return;
	oplog_clear_record(log);
	buffer_free(&log->pending);
	free(log->pending_tokens.items);
	buffer_free(&log->snap.state);
	buffer_free(&log->snap_manifest);
	free(log);
}

int oplog_add_client(struct oplog *log, struct oplog_client *client)
{
	if (log->client_count == OPLOG_CLIENTS_MAX)
		return -1;
	log->clients[log->client_count++] = client;
	return 0;
}

void oplog_set_append_interval(struct oplog *log, uint64_t interval_us)
{
	log->append_interval_us = interval_us;
}

void oplog_set_snapshot_limits(struct oplog *log, uint32_t records,
			       uint64_t bytes)
{
	log->snapshot_max_records = records;
	log->snapshot_max_bytes = bytes;
}

bool oplog_is_owner(const struct oplog *log)
{
	return log->state == OPLOG_OWNER;
}

uint64_t oplog_epoch(const struct oplog *log)
{
	return log->fencing_epoch;
}

uint64_t oplog_last_unsealed_us(const struct oplog *log)
{
	return log->state == OPLOG_OWNER ? log->verified_us : 0;
}

enum oplog_state oplog_get_state(const struct oplog *log)
{
	return log->state;
}

const struct oplog_counts *oplog_get_counts(const struct oplog *log)
{
	return &log->counts;
}

struct oplog_action *oplog_push_action(struct oplog *log,
				       enum oplog_action_type type)
{
	uint32_t tail =
		(log->action_head + log->action_count) % OPLOG_ACTIONS_MAX;
	struct oplog_action *a = &log->actions[tail];

	/* At most one call of each kind is in flight, so the queue suffices. */
	if (log->action_count == OPLOG_ACTIONS_MAX)
		abort();
	log->action_count++;
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->id = ++log->last_id;
	return a;
}

bool oplog_next_action(struct oplog *log, struct oplog_action *out)
{
	if (!log->action_count)
		return false;
	*out = log->actions[log->action_head];
	log->action_head = (log->action_head + 1) % OPLOG_ACTIONS_MAX;
	log->action_count--;
	return true;
}

/* ---- entries ---- */

static void add_token(struct token_list *l, struct oplog_client *client,
		      uint64_t token)
{
	if (l->count == l->capacity) {
		l->capacity = l->capacity ? 2 * l->capacity : 16;
		l->items = xrealloc(l->items, l->capacity * sizeof(*l->items));
	}
	l->items[l->count++] = (struct token){ client, token };
}

static struct oplog_client *find_client(struct oplog *log, int type)
{
	for (uint32_t i = 0; i < log->client_count; i++)
		if ((int)log->clients[i]->ops->type == type)
			return log->clients[i];
	return NULL;
}

static int add_entry(struct oplog *log, enum oplog_entry_type type,
		     const void *data, size_t len, uint64_t token)
{
	struct oplog_client *client = find_client(log, (int)type);

	if (log->state != OPLOG_OWNER || log->draining || !client ||
	    log->pending.len + len > OPLOG_PENDING_MAX_BYTES)
		return -1;
	oplog_pack_entry(&log->pending, (int)type, data, len);
	add_token(&log->pending_tokens, client, token);
	log->pending_count++;
	return 0;
}

int oplog_append(struct oplog *log, enum oplog_entry_type type,
		 const void *data, size_t len, uint64_t token)
{
	if (add_entry(log, type, data, len, token) < 0)
		return -1;
	log->pending_flush = true;
	return 0;
}

int oplog_append_deferred(struct oplog *log, enum oplog_entry_type type,
			  const void *data, size_t len, uint64_t token)
{
	return add_entry(log, type, data, len, token);
}

/* ---- store calls ---- */

void oplog_issue_call(struct oplog *log, uint64_t now, enum op_phase phase)
{
	static const enum oplog_action_type types[] = {
		[OP_LOAD_SNAPSHOT] = OPLOG_READ_SNAPSHOT,
		[OP_LOAD_PARTS] = OPLOG_READ_PARTS,
		[OP_LOAD_EPOCH] = OPLOG_READ_EPOCH,
		[OP_APPEND] = OPLOG_APPEND,
		[OP_READ_BACK] = OPLOG_READ_RECORD,
		[OP_CHECK_SNAPSHOT] = OPLOG_READ_SNAPSHOT,
	};
	struct oplog_action *a = oplog_push_action(log, types[phase]);

	log->phase = phase;
	log->retry_pending = false;
	log->call_id = a->id;
	log->issued_us = now;
	a->epoch = phase == OP_LOAD_PARTS ? log->snap.epoch : log->epoch;
	a->seq = log->seq + 1;
	if (phase == OP_APPEND) {
		a->data = log->inflight.data.data;
		a->len = log->inflight.data.len;
	}
}

uint64_t oplog_next_retry_us(struct oplog *log, uint64_t now,
			     uint64_t *backoff_us)
{
	uint64_t base = *backoff_us ? *backoff_us : OPLOG_BACKOFF_MIN_US;

	*backoff_us = 2 * base;
	if (*backoff_us > OPLOG_BACKOFF_MAX_US)
		*backoff_us = OPLOG_BACKOFF_MAX_US;
	return now + base / 2 + rng_below(&log->rng, (uint32_t)base);
}

void oplog_schedule_retry(struct oplog *log, uint64_t now)
{
	log->retry_pending = true;
	log->call_id = 0;
	log->retry_us = oplog_next_retry_us(log, now, &log->backoff_us);
}

/* Discards the state of the log and of its clients. */
static void become_follower(struct oplog *log)
{
	log->state = OPLOG_FOLLOWER;
	log->phase = OP_IDLE;
	log->retry_pending = false;
	log->call_id = 0;
	log->snap_phase = SNAP_NONE;
	log->snap_retry_pending = false;
	log->snap_call_id = 0;
	log->delete_call_id = 0;
	log->snap_durable_epoch = 0;
	log->fencing_epoch = 0;
	log->verified_us = 0;
	oplog_clear_record(log);
	oplog_clear_pending(log);
	for (uint32_t i = 0; i < log->client_count; i++)
		log->clients[i]->ops->reset(log->clients[i]);
}

void oplog_step_down(struct oplog *log, uint64_t now, const char *reason)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_STEPPED_DOWN);

	a->epoch = log->fencing_epoch;
	snprintf(a->text, sizeof(a->text), "%s", reason);
	become_follower(log);
	if (log->handing_over)
		log->draining = false;
	if (!log->lease_held || log->draining)
		return;
	/* The delay keeps two processes from sealing each other in a loop. */
	log->state = OPLOG_LOADING;
	log->phase = OP_LOAD_SNAPSHOT;
	oplog_schedule_retry(log, now);
}

/* ---- events ---- */

/* True if the queued entries should be written now. */
static bool ready_to_append(struct oplog *log, uint64_t now)
{
	if (!log->pending_count)
		return false;
	if (!log->pending_since_us)
		log->pending_since_us = now;
	if (log->draining)
		return true;
	if (log->last_append_us &&
	    now - log->last_append_us < log->append_interval_us)
		return false;
	return log->pending_flush ||
	       now - log->pending_since_us >= OPLOG_DEFER_MAX_US;
}

static bool verify_due(const struct oplog *log, uint64_t now)
{
	uint64_t last = log->last_verify_us > log->verified_us
				? log->last_verify_us
				: log->verified_us;

	return now - last >= (log->lease_held ? IDLE_VERIFY_INTERVAL_US
					      : NO_LEASE_VERIFY_INTERVAL_US);
}

static void release(struct oplog *log)
{
	oplog_push_action(log, OPLOG_RELEASED)->epoch = log->fencing_epoch;
	become_follower(log);
	if (log->handing_over)
		log->draining = false;
}

/* Starts whatever is due: a retry, an append, a check, the release. */
static void advance(struct oplog *log, uint64_t now)
{
	if (log->retry_pending && now >= log->retry_us) {
		log->retry_pending = false;
		if (log->phase == OP_APPEND)
			oplog_append_send(log, now);
		else if (log->phase == OP_READ_BACK)
			oplog_verify_unsealed(log, now);
		else if (log->phase == OP_LOAD_SNAPSHOT)
			oplog_load_start(log, now);
		else
			oplog_issue_call(log, now, log->phase);
	}
	if (log->state != OPLOG_OWNER)
		return;
	if (log->phase == OP_IDLE) {
		if (ready_to_append(log, now))
			oplog_append_pending(log, now);
		else if (verify_due(log, now))
			oplog_verify_unsealed(log, now);
		else if (log->draining && !log->pending_count)
			release(log);
	}
	if (log->state == OPLOG_OWNER)
		oplog_snapshot_tick(log, now);
}

static void on_lease_gained(struct oplog *log, uint64_t now)
{
	if (log->lease_held || log->draining)
		return;
	log->lease_held = true;
	log->lease_gained_us = now;
	log->backoff_us = OPLOG_BACKOFF_MIN_US;
	if (log->state == OPLOG_FOLLOWER)
		oplog_load_start(log, now);
}

/* An owner without lease remains owner until it finds the log sealed. */
static void on_lease_lost(struct oplog *log, uint64_t now)
{
	log->lease_held = false;
	if (log->state == OPLOG_LOADING || log->state == OPLOG_SEALING)
		oplog_step_down(log, now, "lease lost during the load");
}

static void begin_drain(struct oplog *log)
{
	log->draining = true;
	log->handing_over = false;
	if (log->state != OPLOG_OWNER)
		release(log);
}

static void begin_hand_over(struct oplog *log)
{
	if (log->state != OPLOG_OWNER || log->draining)
		return;
	log->draining = true;
	log->handing_over = true;
}

static void handle_reply(struct oplog *log, uint64_t now,
			 const struct oplog_event *e)
{
	static void (*const fns[])(struct oplog *, uint64_t,
				   const struct oplog_event *) = {
		[OP_LOAD_SNAPSHOT] = oplog_load_snapshot,
		[OP_LOAD_PARTS] = oplog_load_parts,
		[OP_LOAD_EPOCH] = oplog_load_epoch,
		[OP_APPEND] = oplog_append_done,
		[OP_READ_BACK] = oplog_record_read,
		[OP_CHECK_SNAPSHOT] = oplog_snapshot_check,
	};

	if (log->phase != OP_IDLE && e->id == log->call_id)
		fns[log->phase](log, now, e);
	else if (e->id == log->snap_call_id || e->id == log->delete_call_id)
		oplog_snapshot_event(log, now, e);
}

void oplog_step(struct oplog *log, uint64_t now_us, const struct oplog_event *e)
{
	switch (e->type) {
	case OPLOG_LEASE_GAINED:
		on_lease_gained(log, now_us);
		break;
	case OPLOG_LEASE_LOST:
		on_lease_lost(log, now_us);
		break;
	case OPLOG_DRAIN:
		begin_drain(log);
		break;
	case OPLOG_HAND_OVER:
		begin_hand_over(log);
		break;
	case OPLOG_RELOAD:
		if (log->state != OPLOG_FOLLOWER)
			oplog_step_down(log, now_us, "a client was added");
		break;
	case OPLOG_TICK:
		break;
	default:
		/* A reply to a call that was abandoned is ignored. */
		if (e->id)
			handle_reply(log, now_us, e);
		break;
	}
	advance(log, now_us);
}
