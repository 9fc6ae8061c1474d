#include <stdlib.h>
#include <string.h>

#include "oplog-internal.h"

static void commit(struct oplog *log, uint64_t now);
static void confirm_unsealed(struct oplog *log, uint64_t now, uint64_t read_us);
static void become_owner(struct oplog *log, uint64_t now);

static void build_record(struct oplog *log, uint64_t next_epoch,
			 const struct buffer *entries, uint32_t count)
{
	log->inflight.present = true;
	log->inflight.nonce = rng_next(&log->rng);
	log->inflight.next_epoch = next_epoch;
	buffer_reset(&log->inflight.data);
	oplog_pack_record(&log->inflight.data, log->writer, log->inflight.nonce,
			  next_epoch, entries, count);
}

void oplog_append_seal(struct oplog *log, uint64_t now)
{
	struct buffer none = BUFFER_INIT;

	buffer_append(&none, "", 0);
	log->state = OPLOG_SEALING;
	oplog_clear_record(log);
	build_record(log, log->epoch + 1, &none, 0);
	buffer_free(&none);
	log->inflight.seq_chosen_us = now;
	oplog_append_send(log, now);
}

/* Moves the queued entries into one record and sends it. */
void oplog_append_pending(struct oplog *log, uint64_t now)
{
	bool end_epoch = oplog_snapshot_due(log);
	struct token_list spare;

	oplog_clear_record(log);
	build_record(log, end_epoch ? log->epoch + 1 : 0, &log->pending,
		     log->pending_count);
	spare = log->inflight.tokens;
	log->inflight.tokens = log->pending_tokens;
	log->pending_tokens = spare;
	oplog_clear_pending(log);
	/* The clients' state now includes the entries up to this record. */
	if (end_epoch)
		oplog_snapshot_take(log);
	log->inflight.seq_chosen_us = now;
	log->last_append_us = now;
	oplog_append_send(log, now);
}

/*
 * Sends the record in flight, or first verifies the log if the record's
 * sequence number was chosen, or the log was verified, too long ago.
 */
void oplog_append_send(struct oplog *log, uint64_t now)
{
	if (now - log->inflight.seq_chosen_us > OPLOG_APPEND_TIMEOUT_US ||
	    now - log->verified_us > OPLOG_VERIFY_MAX_AGE_US) {
		if (log->state == OPLOG_SEALING)
			oplog_step_down(log, now,
					"load exceeded its time limit");
		else
			oplog_verify_unsealed(log, now);
		return;
	}
	oplog_issue_call(log, now, OP_APPEND);
}

/* Reads the next sequence number, to see whether and by whom it was taken. */
void oplog_verify_unsealed(struct oplog *log, uint64_t now)
{
	log->last_verify_us = now;
	oplog_issue_call(log, now, OP_READ_BACK);
}

void oplog_append_done(struct oplog *log, uint64_t now,
		       const struct oplog_event *e)
{
	switch (e->result) {
	case OPLOG_APPLIED:
		if (now - log->inflight.seq_chosen_us <=
		    OPLOG_APPEND_TIMEOUT_US)
			commit(log, now);
		else
			oplog_verify_unsealed(log, now);
		break;
	case OPLOG_CAS_FAILED:
		log->inflight.seq_taken = true;
		oplog_verify_unsealed(log, now);
		break;
	case OPLOG_UNKNOWN:
		log->counts.lost_replies++;
		oplog_verify_unsealed(log, now);
		break;
	case OPLOG_UNREACHABLE:
		oplog_schedule_retry(log, now);
		break;
	}
}

static bool is_own_record(struct oplog *log, const struct oplog_value *v)
{
	struct oplog_record r;
	const char *error;
	bool own;

	if (!log->inflight.present ||
	    oplog_unpack_record(v->data, v->len, &r, &error) < 0)
		return false;
	own = !strcmp(r.writer, log->writer) && r.nonce == log->inflight.nonce;
	oplog_record_free(&r);
	return own;
}

/*
 * True if the epoch cannot have been deleted before this reply. Then an absent
 * record means that the log is not sealed, and a record of this process belongs
 * to the log.
 */
static bool epoch_still_retained(const struct oplog *log, uint64_t now)
{
	return now - log->verified_us <=
	       OPLOG_VERIFY_MAX_AGE_US + OPLOG_APPEND_TIMEOUT_US;
}

/*
 * The sequence number holds another writer's record. An owner has been deposed
 * by it. For a seal it may be the last append of the previous owner, so the
 * epoch is read and replayed from there.
 */
static void seq_taken_by_other(struct oplog *log, uint64_t now)
{
	if (log->state == OPLOG_OWNER) {
		oplog_step_down(log, now, "sealed by another owner");
		return;
	}
	oplog_clear_record(log);
	log->state = OPLOG_LOADING;
	oplog_issue_call(log, now, OP_LOAD_EPOCH);
}

void oplog_record_read(struct oplog *log, uint64_t now,
		       const struct oplog_event *e)
{
	uint64_t read_us = log->issued_us;

	if (e->result != OPLOG_APPLIED) {
		oplog_schedule_retry(log, now);
		return;
	}
	if (e->count && !is_own_record(log, &e->values[0])) {
		seq_taken_by_other(log, now);
		return;
	}
	if (!e->count && log->inflight.seq_taken) {
		oplog_step_down(log, now, "epoch deleted");
		return;
	}
	log->record_found = e->count > 0;
	if (!epoch_still_retained(log, now)) {
		oplog_issue_call(log, now, OP_CHECK_SNAPSHOT);
		/* The result is valid as of the time the record was read. */
		log->issued_us = read_us;
		return;
	}
	if (log->record_found)
		commit(log, now);
	else
		confirm_unsealed(log, now, read_us);
}

/* A snapshot that does not cover the epoch proves that the epoch exists. */
void oplog_snapshot_check(struct oplog *log, uint64_t now,
			  const struct oplog_event *e)
{
	struct oplog_snapshot s = { 0 };
	const char *error;
	uint64_t read_us = log->issued_us;

	if (e->result != OPLOG_APPLIED) {
		log->phase = OP_READ_BACK;
		oplog_schedule_retry(log, now);
		return;
	}
	if (e->count &&
	    (oplog_unpack_snapshot(e->values[0].data, e->values[0].len, &s,
				   &error) < 0 ||
	     s.epoch > log->epoch))
		oplog_step_down(log, now, "a later owner wrote a snapshot");
	else if (log->record_found)
		commit(log, now);
	else
		confirm_unsealed(log, now, read_us);
	buffer_free(&s.state);
}

/* At read_us the next sequence number was free and the log not sealed. */
static void confirm_unsealed(struct oplog *log, uint64_t now, uint64_t read_us)
{
	if (read_us > log->verified_us)
		log->verified_us = read_us;
	log->phase = OP_IDLE;
	if (!log->inflight.present)
		return;
	log->inflight.seq_chosen_us = now;
	oplog_append_send(log, now);
}

/* The record in flight is in the log, so its entries are durable. */
static void commit(struct oplog *log, uint64_t now)
{
	struct token_list done = log->inflight.tokens;
	uint64_t next_epoch = log->inflight.next_epoch;

	if (log->phase != OP_APPEND)
		log->counts.recovered_appends++;
	memset(&log->inflight.tokens, 0, sizeof(log->inflight.tokens));
	if (log->inflight.seq_chosen_us > log->verified_us)
		log->verified_us = log->inflight.seq_chosen_us;
	log->counts.records++;
	log->counts.record_bytes += log->inflight.data.len;
	log->counts.entries += done.count;
	log->records_since_snapshot++;
	log->bytes_since_snapshot += log->inflight.data.len;
	log->seq++;
	log->phase = OP_IDLE;
	log->backoff_us = OPLOG_BACKOFF_MIN_US;
	oplog_clear_record(log);
	if (next_epoch) {
		log->epoch = next_epoch;
		log->seq = 0;
		log->epochs_since_snapshot++;
	}
	if (log->state == OPLOG_SEALING)
		become_owner(log, now);
	else if (log->snap_phase == SNAP_TAKEN)
		oplog_snapshot_write(log);
	for (uint32_t i = 0; i < done.count; i++)
		done.items[i].client->ops->committed(done.items[i].client,
						     done.items[i].token, now);
	free(done.items);
}

static void become_owner(struct oplog *log, uint64_t now)
{
	struct oplog_action *a = oplog_push_action(log, OPLOG_BECAME_OWNER);

	log->state = OPLOG_OWNER;
	log->fencing_epoch = log->epoch;
	a->epoch = log->epoch;
	a->records = log->replayed;
	a->took_us = now - log->lease_gained_us;
	for (uint32_t i = 0; i < log->client_count; i++)
		log->clients[i]->ops->owned(log->clients[i], log->epoch, now);
}
