#include <stdio.h>
#include <string.h>

#include "oplog-internal.h"

/* Limits the number of reads in a load: each epoch takes one. */
#define EPOCHS_SINCE_SNAPSHOT_MAX 8u
#define LARGE_STATE_RECORDS_FACTOR 4u

static void send_part(struct oplog *log);
static void send_manifest(struct oplog *log);
static void read_manifest(struct oplog *log);
static void schedule_retry(struct oplog *log, uint64_t now);
static void on_manifest_read(struct oplog *log, uint64_t now,
			     const struct oplog_event *e);
static void delete_next(struct oplog *log);

/*
 * A snapshot is due after snapshot_max_records records or snapshot_max_bytes
 * bytes of log. If the state is larger than that, it is due after as many bytes
 * of log as the state has, so that snapshots write no more than the log does.
 * The number of records stays limited, because a load reads one key for each.
 */
bool oplog_snapshot_due(const struct oplog *log)
{
	uint64_t records = log->snapshot_max_records;
	uint64_t bytes = log->snapshot_max_bytes;

	if (log->state_bytes > bytes) {
		bytes = log->state_bytes;
		records *= LARGE_STATE_RECORDS_FACTOR;
	}
	return log->snap_phase == SNAP_NONE &&
	       (log->records_since_snapshot + 1 >= records ||
		log->bytes_since_snapshot >= bytes ||
		log->epochs_since_snapshot >= EPOCHS_SINCE_SNAPSHOT_MAX);
}

/* Collects the clients' state, including the record that ends the epoch. */
void oplog_snapshot_take(struct oplog *log)
{
	struct oplog_snapshot *s = &log->snap;
	struct buffer part = BUFFER_INIT;

	buffer_free(&s->state);
	memset(s, 0, sizeof(*s));
	oplog_pack_array(&s->state, 2u * log->client_count);
	for (uint32_t i = 0; i < log->client_count; i++) {
		struct oplog_client *c = log->clients[i];

		buffer_reset(&part);
		c->ops->snapshot(c, &part);
		oplog_pack_entry(&s->state, (int)c->ops->type, part.data,
				 part.len);
	}
	buffer_free(&part);
	snprintf(s->writer, sizeof(s->writer), "%s", log->writer);
	s->nonce = rng_next(&log->rng);
	s->epoch = log->inflight.next_epoch;
	s->length = s->state.len;
	log->state_bytes = s->length;
	s->hash = oplog_hash(s->state.data, s->state.len);
	if (s->length > OPLOG_SNAPSHOT_PART_BYTES)
		s->parts = (s->length + OPLOG_SNAPSHOT_PART_BYTES - 1) /
			   OPLOG_SNAPSHOT_PART_BYTES;
	log->snap_phase = SNAP_TAKEN;
	log->snap_next_part = 0;
	log->snap_backoff_us = OPLOG_BACKOFF_MIN_US;
}

/* Writes the snapshot, once the last record that it includes is durable. */
void oplog_snapshot_write(struct oplog *log)
{
	log->epochs_since_snapshot = 0;
	log->records_since_snapshot = 0;
	log->bytes_since_snapshot = 0;
	if (log->snap.parts)
		send_part(log);
	else
		send_manifest(log);
}

static void send_part(struct oplog *log)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_WRITE_PART);
	size_t start = log->snap_next_part * OPLOG_SNAPSHOT_PART_BYTES;
	size_t left = log->snap.state.len - start;

	log->snap_phase = SNAP_PART;
	log->snap_call_id = a->id;
	a->epoch = log->snap.epoch;
	a->seq = log->snap_next_part;
	a->data = log->snap.state.data + start;
	a->len = left < OPLOG_SNAPSHOT_PART_BYTES ? left
						  : OPLOG_SNAPSHOT_PART_BYTES;
}

static void send_manifest(struct oplog *log)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_WRITE_SNAPSHOT);

	log->snap_phase = SNAP_MANIFEST;
	log->snap_call_id = a->id;
	log->snap.oldest_epoch = log->oldest_epoch;
	buffer_reset(&log->snap_manifest);
	oplog_pack_snapshot(&log->snap_manifest, &log->snap);
	a->epoch = log->snap.epoch;
	a->modify_index = log->snap_modify_index;
	a->data = log->snap_manifest.data;
	a->len = log->snap_manifest.len;
}

/*
 * The reply to a write has no modify index. Reading the key back also tells
 * whether a write with an unknown result was applied.
 */
static void read_manifest(struct oplog *log)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_READ_SNAPSHOT);

	log->snap_phase = SNAP_READ_BACK;
	log->snap_call_id = a->id;
}

static void schedule_retry(struct oplog *log, uint64_t now)
{
	log->snap_retry_pending = true;
	log->snap_call_id = 0;
	log->snap_retry_us =
		oplog_next_retry_us(log, now, &log->snap_backoff_us);
}

static void on_manifest_read(struct oplog *log, uint64_t now,
			     const struct oplog_event *e)
{
	struct oplog_snapshot s = { 0 };
	const char *error;
	bool own;

	if (e->result != OPLOG_APPLIED) {
		schedule_retry(log, now);
		return;
	}
	if (e->count &&
	    (oplog_unpack_snapshot(e->values[0].data, e->values[0].len, &s,
				   &error) < 0 ||
	     s.epoch > log->snap.epoch)) {
		buffer_free(&s.state);
		oplog_step_down(log, now, "a later owner wrote a snapshot");
		return;
	}
	own = e->count && !strcmp(s.writer, log->snap.writer) &&
	      s.nonce == log->snap.nonce;
	buffer_free(&s.state);
	log->snap_modify_index = e->count ? e->modify_index : 0;
	if (!own) {
		/* A previous owner's write came late, or this one was lost. */
		log->snap_phase = SNAP_MANIFEST;
		schedule_retry(log, now);
		return;
	}
	log->counts.snapshots++;
	log->snap_durable_epoch = log->snap.epoch;
	log->snap_durable_us = now;
	log->snap_phase = SNAP_NONE;
	log->snap_call_id = 0;
	buffer_free(&log->snap.state);
	buffer_free(&log->snap_manifest);
}

static void on_part_done(struct oplog *log, uint64_t now,
			 const struct oplog_event *e)
{
	/*
	 * No other process writes parts of this epoch, so a failed
	 * compare-and-swap means that this part was written before.
	 */
	if (e->result == OPLOG_UNKNOWN || e->result == OPLOG_UNREACHABLE) {
		schedule_retry(log, now);
		return;
	}
	log->snap_next_part++;
	if (log->snap_next_part < log->snap.parts)
		send_part(log);
	else
		send_manifest(log);
}

static void on_delete_done(struct oplog *log, uint64_t now,
			   const struct oplog_event *e)
{
	log->delete_call_id = 0;
	if (e->result == OPLOG_APPLIED)
		log->oldest_epoch++;
	else
		log->delete_retry_us = now + OPLOG_BACKOFF_MAX_US;
}

void oplog_snapshot_event(struct oplog *log, uint64_t now,
			  const struct oplog_event *e)
{
	if (e->id == log->delete_call_id) {
		on_delete_done(log, now, e);
		return;
	}
	switch (log->snap_phase) {
	case SNAP_PART:
		on_part_done(log, now, e);
		break;
	case SNAP_MANIFEST:
		if (e->result == OPLOG_UNREACHABLE)
			schedule_retry(log, now);
		else
			read_manifest(log);
		break;
	case SNAP_READ_BACK:
		on_manifest_read(log, now, e);
		break;
	default:
		break;
	}
}

static void delete_next(struct oplog *log)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_DELETE_EPOCH);

	log->delete_call_id = a->id;
	a->epoch = log->oldest_epoch;
}

void oplog_snapshot_tick(struct oplog *log, uint64_t now)
{
	if (log->snap_retry_pending && now >= log->snap_retry_us) {
		log->snap_retry_pending = false;
		if (log->snap_phase == SNAP_PART)
			send_part(log);
		else if (log->snap_phase == SNAP_MANIFEST)
			send_manifest(log);
		else
			read_manifest(log);
	}
	if (!log->delete_call_id &&
	    log->oldest_epoch < log->snap_durable_epoch &&
	    now >= log->snap_durable_us + OPLOG_DELETE_DELAY_US &&
	    now >= log->delete_retry_us)
		delete_next(log);
}
