#include <stdio.h>
#include <string.h>

#include "oplog-internal.h"

/* Long, because invalid data is unlikely to change by itself. */
#define DATA_FAULT_RETRY_DELAY_US 30000000u

static void fail_load(struct oplog *log, uint64_t now, uint64_t epoch,
		      uint64_t seq, const char *error);
static int apply_entry(void *arg, int type, const void *data, size_t len);
static int restore_client(void *arg, int type, const void *data, size_t len);
static bool restore_clients(struct oplog *log, uint64_t now);
static bool replay_record(struct oplog *log, uint64_t now,
			  const struct oplog_value *v, uint64_t *next_epoch);

/*
 * Reads the snapshot. The time limit of the load counts from here, because the
 * epochs that the snapshot does not cover exist for OPLOG_DELETE_DELAY_US.
 */
void oplog_load_start(struct oplog *log, uint64_t now)
{
	log->state = OPLOG_LOADING;
	log->verified_us = now;
	log->replayed = 0;
	log->epochs_since_snapshot = 0;
	log->records_since_snapshot = 0;
	log->bytes_since_snapshot = 0;
	for (uint32_t i = 0; i < log->client_count; i++)
		log->clients[i]->ops->reset(log->clients[i]);
	oplog_issue_call(log, now, OP_LOAD_SNAPSHOT);
}

/* Ends the load because of invalid data; the shard stays without an owner. */
static void fail_load(struct oplog *log, uint64_t now, uint64_t epoch,
		      uint64_t seq, const char *error)
{
	struct oplog_action *a;
	char text[128];

	snprintf(text, sizeof(text), "record %016llx/%016llx: %s",
		 (unsigned long long)epoch, (unsigned long long)seq, error);
	log->counts.load_failures++;
	oplog_step_down(log, now, text);
	if (log->state == OPLOG_LOADING)
		log->retry_us = now + DATA_FAULT_RETRY_DELAY_US;
	a = oplog_push_action(log, OPLOG_LOAD_FAILED);
	a->epoch = epoch;
	a->seq = seq;
	snprintf(a->text, sizeof(a->text), "%s", text);
}

static struct oplog_client *find_client(struct oplog *log, int type)
{
	for (uint32_t i = 0; i < log->client_count; i++)
		if ((int)log->clients[i]->ops->type == type)
			return log->clients[i];
	return NULL;
}

static int apply_entry(void *arg, int type, const void *data, size_t len)
{
	struct oplog_client *c = find_client(arg, type);

	return c ? c->ops->replay(c, data, len) : -1;
}

static int restore_client(void *arg, int type, const void *data, size_t len)
{
	struct oplog_client *c = find_client(arg, type);

	return c ? c->ops->restore(c, data, len) : -1;
}

/* Restores the clients from log->snap; false if the load has failed. */
static bool restore_clients(struct oplog *log, uint64_t now)
{
	const struct oplog_snapshot *s = &log->snap;
	const char *error = "snapshot: length or hash mismatch";

	if (s->state.len != s->length ||
	    oplog_hash(s->state.data, s->state.len) != s->hash ||
	    oplog_unpack_state(s->state.data, s->state.len, restore_client, log,
			       &error) < 0) {
		fail_load(log, now, s->epoch, s->seq, error);
		return false;
	}
	log->epoch = s->epoch;
	log->seq = s->seq;
	buffer_free(&log->snap.state);
	oplog_issue_call(log, now, OP_LOAD_EPOCH);
	return true;
}

void oplog_load_snapshot(struct oplog *log, uint64_t now,
			 const struct oplog_event *e)
{
	const char *error;

	if (e->result != OPLOG_APPLIED) {
		oplog_schedule_retry(log, now);
		return;
	}
	buffer_free(&log->snap.state);
	memset(&log->snap, 0, sizeof(log->snap));
	log->snap_modify_index = e->count ? e->modify_index : 0;
	log->oldest_epoch = 1;
	log->state_bytes = 0;
	log->epoch = 1;
	log->seq = 0;
	if (!e->count) {
		oplog_issue_call(log, now, OP_LOAD_EPOCH);
		return;
	}
	if (oplog_unpack_snapshot(e->values[0].data, e->values[0].len,
				  &log->snap, &error) < 0) {
		char text[64];

		snprintf(text, sizeof(text), "snapshot: %s", error);
		fail_load(log, now, 0, 0, text);
		return;
	}
	log->oldest_epoch = log->snap.oldest_epoch;
	log->state_bytes = log->snap.length;
	/* The snapshot is durable, so older epochs can be deleted later. */
	log->snap_durable_epoch = log->snap.epoch;
	log->snap_durable_us = now;
	if (log->snap.parts)
		oplog_issue_call(log, now, OP_LOAD_PARTS);
	else
		restore_clients(log, now);
}

void oplog_load_parts(struct oplog *log, uint64_t now,
		      const struct oplog_event *e)
{
	if (e->result != OPLOG_APPLIED) {
		oplog_schedule_retry(log, now);
		return;
	}
	buffer_reset(&log->snap.state);
	for (size_t i = 0; i < e->count && i < log->snap.parts; i++)
		if (e->values[i].seq == i)
			buffer_append(&log->snap.state, e->values[i].data,
				      e->values[i].len);
	restore_clients(log, now);
}

/* Replays one record; false if the load has failed. */
static bool replay_record(struct oplog *log, uint64_t now,
			  const struct oplog_value *v, uint64_t *next_epoch)
{
	struct oplog_record r;
	const char *error = "malformed";

	if (v->seq != log->seq + 1 || *next_epoch) {
		fail_load(log, now, log->epoch, v->seq,
			  *next_epoch ? "found after the end of its epoch"
				      : "out of sequence");
		return false;
	}
	if (oplog_unpack_record(v->data, v->len, &r, &error) < 0) {
		fail_load(log, now, log->epoch, v->seq, error);
		return false;
	}
	for (uint32_t i = 0; i < r.entry_count; i++) {
		const msgpack_object *o = &r.entries[2 * i];

		if (apply_entry(log, (int)o[0].via.u64, o[1].via.bin.ptr,
				o[1].via.bin.size) < 0) {
			fail_load(log, now, log->epoch, v->seq,
				  "entry of unknown type or format");
			oplog_record_free(&r);
			return false;
		}
	}
	*next_epoch = r.next_epoch;
	oplog_record_free(&r);
	log->seq++;
	log->replayed++;
	log->records_since_snapshot++;
	log->bytes_since_snapshot += v->len;
	return true;
}

/* Replays an epoch, then reads the next one or seals this one. */
void oplog_load_epoch(struct oplog *log, uint64_t now,
		      const struct oplog_event *e)
{
	uint64_t snapshot_seq = log->seq; /* last record in the snapshot */
	uint64_t next_epoch = 0;

	if (e->result != OPLOG_APPLIED) {
		oplog_schedule_retry(log, now);
		return;
	}
	for (size_t i = 0; i < e->count; i++)
		if (e->values[i].seq > snapshot_seq &&
		    !replay_record(log, now, &e->values[i], &next_epoch))
			return;
	if (!next_epoch) {
		oplog_append_seal(log, now);
		return;
	}
	if (next_epoch <= log->epoch) {
		fail_load(log, now, log->epoch, log->seq,
			  "next epoch is not greater than its own");
		return;
	}
	log->epoch = next_epoch;
	log->seq = 0;
	log->epochs_since_snapshot++;
	oplog_issue_call(log, now, OP_LOAD_EPOCH);
}
