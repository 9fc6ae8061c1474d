#ifndef OPLOG_H
#define OPLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	oplog - operation log of a shard: ownership, group commit and replay
 *
 * DESCRIPTION
 *	A deterministic state machine without I/O: the driver (svc-owner.c)
 *	passes events with the current time to oplog_step() and executes the
 *	actions that oplog_next_action() returns. Clients (claims, place)
 *	append entries and are told when these are durable; on a take-over
 *	their state is reset, restored from the snapshot and brought up to date
 *	by replaying the log. See docs/design.md 5.1.
 *
 *	A record is one value of the store: the writer, a nonce, any number of
 *	entries and, in the last record of an epoch, the next epoch. A last
 *	record without entries is a seal, written by a take-over. An owner ends
 *	its own epoch when it takes a snapshot, so that a load reads only
 *	records after the snapshot and old epochs can be deleted as a whole.
 *
 *	An append by a deposed owner fails because its sequence number is
 *	taken. That holds only while the epoch exists, and an epoch is deleted
 *	at the earliest OPLOG_DELETE_DELAY_US after a snapshot covers it. A
 *	sequence number is therefore chosen at most OPLOG_VERIFY_MAX_AGE_US
 *	after the log was last known not to be sealed, and an acknowledgement
 *	alone proves durability only within OPLOG_APPEND_TIMEOUT_US. Later, the
 *	record and then the snapshot are read back: a snapshot that does not
 *	cover the epoch proves that the epoch still existed when the record was
 *	read.
 *
 * ERRORS
 *	A truncated record or snapshot, or one of an unknown version, ends the
 *	load with OPLOG_LOAD_FAILED; the shard stays without an owner and
 *	nothing is written.
 *
 * UNITS
 *	Microseconds of CLOCK_BOOTTIME.
 */

#define OPLOG_FORMAT_VERSION 1
#define OPLOG_APPEND_TIMEOUT_US 30000000u
#define OPLOG_VERIFY_MAX_AGE_US 300000000u
#define OPLOG_DELETE_DELAY_US 600000000u
#define OPLOG_SNAPSHOT_RECORDS 4096u
#define OPLOG_SNAPSHOT_BYTES (1024u * 1024u)
/* Entries queued behind the append in flight; keeps a record below 1 MB. */
#define OPLOG_PENDING_MAX_BYTES (512u * 1024u)
#define OPLOG_SNAPSHOT_PART_BYTES (512u * 1024u)
/* Longest time that an entry of oplog_append_deferred() stays queued. */
#define OPLOG_DEFER_MAX_US 500000u

enum oplog_state {
	OPLOG_FOLLOWER, /* not the owner */
	OPLOG_LOADING,	/* lease held; reading snapshot and log */
	OPLOG_SEALING,	/* lease held; writing the seal record */
	OPLOG_OWNER,
};

enum oplog_entry_type { OPLOG_ENTRY_CLAIM = 1, OPLOG_ENTRY_TASK = 2 };
#define OPLOG_CLIENTS_MAX 4

struct oplog;

struct oplog_client_ops {
	const char *name;
	enum oplog_entry_type type;
	/* Discards all state: ownership was lost or a load starts. */
	void (*reset)(void *client);
	/* Restores the state from this client's part of a snapshot. */
	int (*restore)(void *client, const void *data, size_t len);
	/* Applies one entry of the log. */
	int (*replay)(void *client, const void *data, size_t len);
	/* Appends the state, in the form that restore() reads. */
	void (*snapshot)(void *client, struct buffer *out);
	/* The replay is complete; this process owns the shard in epoch. */
	void (*owned)(void *client, uint64_t epoch, uint64_t now_us);
	/* The entry appended with this token is durable. */
	void (*committed)(void *client, uint64_t token, uint64_t now_us);
};

struct oplog_client {
	const struct oplog_client_ops *ops;
	/* Embedded in the client's own struct, as its first member. */
};

/*
 * Queues an entry for the next record. Returns -1 if this process is not the
 * owner, is draining, or the queue is full. The client must change its own
 * state at the same time, because a snapshot may be taken right after the call
 * and must include the entry, but must not expose the change before
 * committed().
 */
int oplog_append(struct oplog *log, enum oplog_entry_type type,
		 const void *data, size_t len, uint64_t token);

/*
 * As oplog_append(), for an entry that no caller waits for: it is written with
 * the next entry of oplog_append(), or after OPLOG_DEFER_MAX_US.
 */
int oplog_append_deferred(struct oplog *log, enum oplog_entry_type type,
			  const void *data, size_t len, uint64_t token);

bool oplog_is_owner(const struct oplog *log);
uint64_t oplog_epoch(const struct oplog *log);

/*
 * Last time at which the log is known not to have been sealed: when the
 * sequence number of the last acknowledged append or seal was chosen, or when
 * the log was last read and found unsealed. 0 unless this process is the owner.
 * An idle owner reads the log once a minute.
 */
uint64_t oplog_last_unsealed_us(const struct oplog *log);

/* ---- interface of the driver ---- */

enum oplog_event_type {
	OPLOG_LEASE_GAINED,
	OPLOG_LEASE_LOST,    /* expired, or no longer certain */
	OPLOG_DRAIN,	     /* refuse entries, write the rest, release */
	OPLOG_HAND_OVER,     /* as drain, if owner; may become owner again */
	OPLOG_RELOAD,	     /* a client was added after the first step */
	OPLOG_SNAPSHOT_READ, /* reply to OPLOG_READ_SNAPSHOT */
	OPLOG_PARTS_READ,    /* reply to OPLOG_READ_PARTS */
	OPLOG_EPOCH_READ,    /* reply to OPLOG_READ_EPOCH */
	OPLOG_RECORD_READ,   /* reply to OPLOG_READ_RECORD */
	OPLOG_APPEND_DONE,   /* reply to OPLOG_APPEND */
	OPLOG_PART_DONE,     /* reply to OPLOG_WRITE_PART */
	OPLOG_SNAPSHOT_DONE, /* reply to OPLOG_WRITE_SNAPSHOT */
	OPLOG_DELETE_DONE,   /* reply to OPLOG_DELETE_EPOCH */
	OPLOG_TICK,	     /* about every 20 ms, and after appends */
};

enum oplog_result {
	OPLOG_APPLIED,	   /* written, or read successfully */
	OPLOG_CAS_FAILED,  /* compare-and-swap failed in the store */
	OPLOG_UNKNOWN,	   /* the write may have been applied */
	OPLOG_UNREACHABLE, /* the write was not applied, or a read failed */
};

struct oplog_value {
	uint64_t seq; /* sequence number of a record or index of a part */
	const void *data;
	size_t len;
};

struct oplog_event {
	enum oplog_event_type type;
	uint64_t id; /* action that this is the reply to */
	enum oplog_result result;
	/* Values read, sorted by seq; none if the key does not exist. */
	const struct oplog_value *values;
	size_t count;
	uint64_t modify_index; /* for OPLOG_SNAPSHOT_READ */
};

enum oplog_action_type {
	OPLOG_READ_SNAPSHOT,
	OPLOG_READ_PARTS, /* all parts of the snapshot at epoch */
	OPLOG_READ_EPOCH, /* all records of epoch */
	OPLOG_READ_RECORD,
	OPLOG_APPEND,	      /* create epoch/seq only if absent */
	OPLOG_WRITE_PART,     /* create part seq of epoch only if absent */
	OPLOG_WRITE_SNAPSHOT, /* compare-and-swap with modify_index */
	OPLOG_DELETE_EPOCH,   /* records and snapshot parts of epoch */
	OPLOG_BECAME_OWNER,   /* the shard is owned under epoch */
	OPLOG_STEPPED_DOWN,   /* ownership or load ended; reason in text */
	OPLOG_LOAD_FAILED,    /* stored data is invalid; error in text */
	OPLOG_RELEASED,	      /* drained; the lease can be released */
};

struct oplog_action {
	enum oplog_action_type type;
	uint64_t id;
	uint64_t epoch;
	uint64_t seq;
	uint64_t modify_index;
	const void *data; /* valid until the next call of oplog_step() */
	size_t len;
	uint64_t records; /* OPLOG_BECAME_OWNER: number replayed */
	uint64_t took_us; /* OPLOG_BECAME_OWNER: since the lease was gained */
	char text[160];
};

struct oplog_counts {
	uint64_t records; /* appended and acknowledged */
	uint64_t record_bytes;
	uint64_t entries;
	uint64_t lost_replies;	    /* appends with an unknown result */
	uint64_t recovered_appends; /* appends committed after a read-back */
	uint64_t snapshots;
	uint64_t load_failures;
};

/* writer must be unique to this process instance; truncated to 63 bytes. */
struct oplog *oplog_create(const char *writer, uint64_t seed);
void oplog_destroy(struct oplog *log);

/*
 * Registers a client, which the caller keeps and frees. After the first
 * oplog_step() the caller must send OPLOG_RELOAD, so that the client's state is
 * loaded. Returns -1 if there are OPLOG_CLIENTS_MAX clients already.
 */
int oplog_add_client(struct oplog *log, struct oplog_client *client);

/* Sets the minimum time between appends, to stay within the write budget. */
void oplog_set_append_interval(struct oplog *log, uint64_t interval_us);

/* Sets after how many records or bytes a snapshot is taken; for tests. */
void oplog_set_snapshot_limits(struct oplog *log, uint32_t records,
			       uint64_t bytes);

void oplog_step(struct oplog *log, uint64_t now_us,
		const struct oplog_event *e);

/* Removes the next action from the queue; false if the queue is empty. */
bool oplog_next_action(struct oplog *log, struct oplog_action *out);

enum oplog_state oplog_get_state(const struct oplog *log);
const struct oplog_counts *oplog_get_counts(const struct oplog *log);

#endif
