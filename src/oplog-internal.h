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

/* Store call in flight for loads and appends; there is at most one. */
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
	SNAP_TAKEN, /* includes the record in flight, not yet durable */
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

/* The record whose append is not yet known to be durable. */
struct inflight_record {
	bool present;
	bool seq_taken; /* an append found the number in use */
	uint64_t nonce;
	uint64_t next_epoch;
	uint64_t seq_chosen_us; /* when its sequence number was chosen */
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
	bool handing_over; /* draining ends when the shard is released */
	uint64_t lease_gained_us;
	uint64_t append_interval_us;
	uint32_t snapshot_max_records;
	uint64_t snapshot_max_bytes;
	uint64_t last_id;

	/*
	 * Position in the log: seq is the last known record of epoch. A
	 * snapshot starts a new epoch but keeps fencing_epoch.
	 */
	uint64_t epoch;
	uint64_t seq;
	uint64_t fencing_epoch; /* epoch of the take-over; 0: not the owner */
	uint64_t verified_us;	/* last time at which the log was unsealed */
	uint64_t replayed;
	uint32_t epochs_since_snapshot;

	enum op_phase phase;
	bool retry_pending; /* phase's call is repeated at retry_us */
	uint64_t call_id;
	uint64_t issued_us;
	uint64_t retry_us;
	uint64_t backoff_us;
	bool record_found; /* OP_CHECK_SNAPSHOT: result of OP_READ_BACK */
	struct inflight_record inflight;
	uint64_t last_verify_us;

	struct buffer pending; /* packed entries */
	uint32_t pending_count;
	struct token_list pending_tokens;
	bool pending_flush;	   /* has an entry that must not be deferred */
	uint64_t pending_since_us; /* 0: set at the next step */
	uint64_t last_append_us;   /* when the last append was sent */

	uint64_t records_since_snapshot;
	uint64_t bytes_since_snapshot;
	uint64_t state_bytes; /* size of the last snapshot */

	enum snapshot_phase snap_phase;
	bool snap_retry_pending;
	uint64_t snap_call_id;
	uint64_t snap_retry_us;
	uint64_t snap_backoff_us;
	uint64_t snap_next_part;
	uint64_t snap_modify_index;  /* for the compare-and-swap */
	struct oplog_snapshot snap;  /* being written or loaded */
	struct buffer snap_manifest; /* value of the snapshot key */

	uint64_t snap_durable_epoch; /* epochs below it can be deleted */
	uint64_t snap_durable_us;
	uint64_t oldest_epoch;	 /* first epoch that is not yet deleted */
	uint64_t delete_call_id; /* 0: none in flight */
	uint64_t delete_retry_us;

	struct oplog_action actions[OPLOG_ACTIONS_MAX];
	uint32_t action_head;
	uint32_t action_count;
	struct oplog_counts counts;
};

/* Queues an action with a new id; the caller sets the other fields. */
struct oplog_action *oplog_push_action(struct oplog *log,
				       enum oplog_action_type type);

/* Enters the phase and queues its store call. */
void oplog_issue_call(struct oplog *log, uint64_t now_us, enum op_phase phase);

/* Schedules a repetition of the phase's call, with backoff and jitter. */
void oplog_schedule_retry(struct oplog *log, uint64_t now_us);

/* Returns the jittered time of the next retry and doubles *backoff_us. */
uint64_t oplog_next_retry_us(struct oplog *log, uint64_t now_us,
			     uint64_t *backoff_us);

/* Ends ownership or the load; loads again later if the lease is held. */
void oplog_step_down(struct oplog *log, uint64_t now_us, const char *reason);

/* oplog-load.c: starts a load; the others handle replies to OP_LOAD_*. */
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

/* oplog.c: discard the record in flight, and the queued entries. */
void oplog_clear_record(struct oplog *log);
void oplog_clear_pending(struct oplog *log);

/* oplog-append.c: writes the seal record that ends a load. */
void oplog_append_seal(struct oplog *log, uint64_t now_us);

/* Moves the queued entries into one record and sends it. */
void oplog_append_pending(struct oplog *log, uint64_t now_us);

/* Sends the record in flight, or first verifies the log if that is due. */
void oplog_append_send(struct oplog *log, uint64_t now_us);

/* Reads the next sequence number, to see whether and by whom it was taken. */
void oplog_verify_unsealed(struct oplog *log, uint64_t now_us);

/* Replies to OP_APPEND, OP_READ_BACK and OP_CHECK_SNAPSHOT. */
void oplog_append_done(struct oplog *log, uint64_t now_us,
		       const struct oplog_event *e);
void oplog_record_read(struct oplog *log, uint64_t now_us,
		       const struct oplog_event *e);
void oplog_snapshot_check(struct oplog *log, uint64_t now_us,
			  const struct oplog_event *e);

#endif
