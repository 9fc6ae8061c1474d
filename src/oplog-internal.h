#ifndef OPLOG_INTERNAL_H
#define OPLOG_INTERNAL_H

#include "oplog-codec.h"
#include "oplog.h"
#include "rng.h"

/*
 * NAME
 *	oplog-internal - state shared by oplog.c, oplog-append.c, oplog-load.c
 *	and oplog-snapshot.c
 */

#define OPLOG_ACTIONS_MAX 16u
#define OPLOG_BACKOFF_MIN_US 100000u
#define OPLOG_BACKOFF_MAX_US 2000000u

/* The call in flight that moves the log on; there is one at a time. */
enum op_phase {
	OP_IDLE,
	OP_LOAD_SNAPSHOT,
	OP_LOAD_PARTS,
	OP_LOAD_EPOCH,
	OP_APPEND,
	OP_READ_BACK,
	OP_CHECK_SNAPSHOT,
};

enum snapshot_phase {
	SNAP_NONE,
	SNAP_TAKEN, /* stands for the record in flight */
	SNAP_PART,
	SNAP_MANIFEST,
	SNAP_READ_BACK,
};

struct token {
	struct oplog_client *client;
	uint64_t token;
};

struct token_list {
	struct token *items;
	uint32_t count;
	uint32_t capacity;
};

/* The record whose append is not yet settled. */
struct inflight_record {
	bool present;
	bool seq_taken; /* the number was taken at some time */
	uint64_t nonce;
	uint64_t next_epoch;
	uint64_t seq_chosen_us; /* when its number was chosen */
	struct buffer data;
	struct token_list tokens;
};

struct oplog {
	enum oplog_state state;
	char writer[OPLOG_WRITER_BYTES];
	struct rng rng;
	struct oplog_client *clients[OPLOG_CLIENTS_MAX];
	uint32_t client_count;
	bool lease_held;
	bool draining;
	bool handing_over; /* draining ends with the release */
	uint64_t lease_gained_us;
	uint64_t interval_us;
	uint32_t snapshot_max_records;
	uint64_t snapshot_max_bytes;
	uint64_t last_id;

	/* Position: seq is the last record of epoch that exists. */
	uint64_t epoch;
	uint64_t seq;
	uint64_t fencing_epoch; /* epoch of the take-over; stays the same later
				 */
	uint64_t verified_us;
	uint64_t replayed;
	uint32_t epochs_since_snapshot; /* epochs after the snapshot */

	enum op_phase phase;
	bool retry_pending; /* repeats phase at retry_us */
	uint64_t call_id;
	uint64_t issued_us;
	uint64_t retry_us;
	uint64_t backoff_us;
	bool record_found; /* OP_CHECK_SNAPSHOT: the read-back found our record
			    */
	struct inflight_record rec;
	uint64_t last_verify_us;

	struct buffer pending; /* packed entries */
	uint32_t pending_count;
	struct token_list pending_tokens;
	bool pending_flush;
	uint64_t pending_since_us; /* 0: at the next step */
	uint64_t appended_us;	   /* when the last append was sent */

	uint64_t records_since_snapshot; /* since the snapshot */
	uint64_t bytes_since_snapshot;
	uint64_t state_bytes; /* of the last snapshot */

	enum snapshot_phase snap_phase;
	bool snap_retry_pending;
	uint64_t snap_call_id;
	uint64_t snap_retry_us;
	uint64_t snap_backoff_us;
	uint64_t snap_part;
	uint64_t snap_modify_index; /* modify index of the key */
	struct oplog_snapshot snap; /* the one being written or loaded */
	struct buffer snap_manifest;

	uint64_t snap_durable_epoch; /* every epoch below it can be deleted */
	uint64_t snap_durable_us;
	uint64_t oldest_epoch;
	uint64_t delete_call_id; /* 0: none in flight */
	uint64_t delete_retry_us;

	struct oplog_action actions[OPLOG_ACTIONS_MAX];
	uint32_t action_head;
	uint32_t action_count;
	struct oplog_counts counts;
};

/* Adds an action with a new id; the caller fills the rest. */
struct oplog_action *oplog_push_action(struct oplog *log,
				       enum oplog_action_type type);

/* Starts the phase's call. */
void oplog_issue_call(struct oplog *log, uint64_t now_us, enum op_phase phase);

/* Repeats the phase's call after a jittered time. */
void oplog_schedule_retry(struct oplog *log, uint64_t now_us);

/* Returns the time of a repetition and doubles *backoff_us. */
uint64_t oplog_next_retry_us(struct oplog *log, uint64_t now_us,
			     uint64_t *backoff_us);

/* Ends ownership or load; loads again while the lease is held. */
void oplog_step_down(struct oplog *log, uint64_t now_us, const char *reason);

/* oplog-load.c */
void oplog_load_start(struct oplog *log, uint64_t now_us);
void oplog_load_snapshot(struct oplog *log, uint64_t now_us,
			 const struct oplog_event *e);
void oplog_load_parts(struct oplog *log, uint64_t now_us,
		      const struct oplog_event *e);
void oplog_load_epoch(struct oplog *log, uint64_t now_us,
		      const struct oplog_event *e);

/* oplog-snapshot.c */
void oplog_snapshot_take(struct oplog *log);
bool oplog_snapshot_due(const struct oplog *log);
void oplog_snapshot_write(struct oplog *log);
void oplog_snapshot_event(struct oplog *log, uint64_t now_us,
			  const struct oplog_event *e);
void oplog_snapshot_tick(struct oplog *log, uint64_t now_us);

/* oplog.c: the record in flight, and the entries that wait. */
void oplog_clear_record(struct oplog *log);
void oplog_clear_pending(struct oplog *log);

/* oplog-append.c: creates the seal at the end of a load. */
void oplog_seal(struct oplog *log, uint64_t now_us);

/* Moves the entries that wait into one record and sends it. */
void oplog_append_pending(struct oplog *log, uint64_t now_us);

/* Sends the record under its number, unless that must be verified first. */
void oplog_append_send(struct oplog *log, uint64_t now_us);

/* Reads the next number: is it free, ours or another's? */
void oplog_verify_unsealed(struct oplog *log, uint64_t now_us);

/* Answers to OP_APPEND, OP_READ_BACK and OP_CHECK_SNAPSHOT. */
void oplog_append_done(struct oplog *log, uint64_t now_us,
		       const struct oplog_event *e);
void oplog_record_read(struct oplog *log, uint64_t now_us,
		       const struct oplog_event *e);
void oplog_snapshot_check(struct oplog *log, uint64_t now_us,
			  const struct oplog_event *e);

#endif
