#ifndef OPLOG_H
#define OPLOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	oplog - decision core of a shard's log: ownership, group commit, replay
 *
 * DESCRIPTION
 *	No input or output: the driver (svc-owner.c) passes events with the
 *	time to oplog_step() and executes the actions that oplog_next_action()
 *	returns. Clients (claims, place) append entries and learn when they
 *	are durable; on a take-over their state is reset, restored from the
 *	snapshot and replayed entry by entry. See docs/design.md 5.1.
 *
 *	A record is one value of the store: the writer, a nonce, any number of
 *	entries and, when it ends its epoch, the epoch that follows. A record
 *	that ends an epoch without entries is the seal of a take-over. An owner
 *	ends its own epoch when it takes a snapshot, so that a load reads only
 *	what the snapshot does not cover and whole epochs can be deleted.
 *
 *	Appends of a deposed owner fail because the number is taken. That holds
 *	only while its epoch exists, and an epoch is deleted no sooner than
 *	OPLOG_DELETE_DELAY_US after a snapshot covers it. So a number is chosen
 *	at most OPLOG_VERIFY_MAX_AGE_US after a time at which the log was known
 *not to be sealed, and counts at once only when it is acknowledged within
 *	OPLOG_APPEND_TIMEOUT_US. After that the record and then the snapshot are
 *	read: a snapshot that does not cover the epoch proves that the epoch
 *	still existed when the record was read.
 *
 * ERRORS
 *	A record or snapshot that is cut short, or of a version that this
 *	program does not know, ends the load with OPLOG_LOAD_FAILED; the shard
 *	stays without owner and nothing is written.
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
/* Entries that wait for the append in flight; a record stays below 1 MB. */
#define OPLOG_PENDING_MAX_BYTES (512u * 1024u)
#define OPLOG_SNAPSHOT_PART_BYTES (512u * 1024u)
/* Longest time that an entry of oplog_append_deferred() waits for company. */
#define OPLOG_DEFER_MAX_US 500000u

enum oplog_state {
	OPLOG_FOLLOWER, /* not the owner */
	OPLOG_LOADING,	/* lease held; reading snapshot and log */
	OPLOG_SEALING,	/* creating the seal record */
	OPLOG_OWNER,
};

enum oplog_entry_type { OPLOG_ENTRY_CLAIM = 1, OPLOG_ENTRY_TASK = 2 };
#define OPLOG_CLIENTS_MAX 4

struct oplog;

struct oplog_client_ops {
	const char *name;
	enum oplog_entry_type type;
	/* Drops all state: ownership was lost or a load begins. */
	void (*reset)(void *client);
	/* Restores the state from this client's part of a snapshot. */
	int (*restore)(void *client, const void *data, size_t len);
	/* Applies one entry of the log. */
	int (*replay)(void *client, const void *data, size_t len);
	/* Writes the state into a snapshot part. */
	void (*snapshot)(void *client, struct buffer *out);
	/* The replay is complete; this process owns the shard under epoch. */
	void (*owned)(void *client, uint64_t epoch, uint64_t now_us);
	/* The entry that was appended with this token is durable. */
	void (*committed)(void *client, uint64_t token, uint64_t now_us);
};

struct oplog_client {
	const struct oplog_client_ops *ops;
	/* state of the client follows */
};

/*
 * Appends an entry. Only in state OPLOG_OWNER and while there is room for
 * entries that wait; -1 otherwise. The client applies the change to its own
 * state when it appends, because a snapshot is taken between two appends and
 * stands for all entries before it, but lets nobody outside see the change
 * before committed().
 */
int oplog_append(struct oplog *log, enum oplog_entry_type type,
		 const void *data, size_t len, uint64_t token);

/*
 * As oplog_append(), for an entry that nobody waits for: it is written with
 * the next other entry, or after OPLOG_DEFER_MAX_US.
 */
int oplog_append_deferred(struct oplog *log, enum oplog_entry_type type,
			  const void *data, size_t len, uint64_t token);

bool oplog_is_owner(const struct oplog *log);
uint64_t oplog_epoch(const struct oplog *log);

/*
 * Last time at which the log was certainly not sealed: when the number of the
 * last acknowledged append or seal was chosen, or when the log was last read
 * and found open; 0 for never. An idle owner reads once a minute.
 */
uint64_t oplog_last_unsealed_us(const struct oplog *log);

/* ---- the driver's side ---- */

enum oplog_event_type {
	OPLOG_LEASE_GAINED,
	OPLOG_LEASE_LOST,    /* lapsed, or not certain any more */
	OPLOG_DRAIN,	     /* accept no entry, write the rest, release */
	OPLOG_HAND_OVER,     /* an owner does the same, and may own again */
	OPLOG_RELOAD,	     /* a client was added after the first step */
	OPLOG_SNAPSHOT_READ, /* answer to OPLOG_READ_SNAPSHOT */
	OPLOG_PARTS_READ,    /* answer to OPLOG_READ_PARTS */
	OPLOG_EPOCH_READ,    /* answer to OPLOG_READ_EPOCH */
	OPLOG_RECORD_READ,   /* answer to OPLOG_READ_RECORD */
	OPLOG_APPEND_DONE,   /* answer to OPLOG_APPEND */
	OPLOG_PART_DONE,     /* answer to OPLOG_WRITE_PART */
	OPLOG_SNAPSHOT_DONE, /* answer to OPLOG_WRITE_SNAPSHOT */
	OPLOG_DELETE_DONE,   /* answer to OPLOG_DELETE_EPOCH */
	OPLOG_TICK,	     /* every 20 ms or so, and after appends */
};

enum oplog_result {
	OPLOG_APPLIED,	   /* also: read answered */
	OPLOG_CAS_FAILED,  /* the store's compare-and-swap said no */
	OPLOG_UNKNOWN,	   /* it may have taken effect */
	OPLOG_UNREACHABLE, /* it did not take effect */
};

struct oplog_value {
	uint64_t seq; /* of a record, or number of a part */
	const void *data;
	size_t len;
};

struct oplog_event {
	enum oplog_event_type type;
	uint64_t id; /* of the action that this answers */
	enum oplog_result result;
	/* Values read, in order of seq; none when the key is absent. */
	const struct oplog_value *values;
	size_t count;
	uint64_t modify_index; /* OPLOG_SNAPSHOT_READ */
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
	OPLOG_STEPPED_DOWN,   /* ownership or load ended; text says why */
	OPLOG_LOAD_FAILED,    /* a fault in the data; text says which */
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
	uint64_t records; /* OPLOG_BECAME_OWNER: replayed */
	uint64_t took_us; /* OPLOG_BECAME_OWNER: since the lease was gained */
	char text[160];
};

struct oplog_counts {
	uint64_t records; /* appended and acknowledged */
	uint64_t record_bytes;
	uint64_t entries;
	uint64_t lost_replies; /* appends whose answer was lost */
	uint64_t recognised;   /* of these, found to have taken effect */
	uint64_t snapshots;
	uint64_t load_failures;
};

/* writer is unique to this run of the process; copied, cut at 63 bytes. */
struct oplog *oplog_create(const char *writer, uint64_t seed);
void oplog_destroy(struct oplog *log);

/*
 * The log does not own the client. After the first step OPLOG_RELOAD has to
 * follow, so that the client learns its state. -1 when full.
 */
int oplog_add_client(struct oplog *log, struct oplog_client *client);

/* Least time between two appends: the shard's share of the write budget. */
void oplog_set_append_interval(struct oplog *log, uint64_t interval_us);

/* Takes a snapshot after that many records or bytes, for tests. */
void oplog_set_snapshot_limits(struct oplog *log, uint32_t records,
			       uint64_t bytes);

void oplog_step(struct oplog *log, uint64_t now_us,
		const struct oplog_event *e);

/* Fills the next action and returns true, or false when there is none. */
bool oplog_next_action(struct oplog *log, struct oplog_action *out);

enum oplog_state oplog_get_state(const struct oplog *log);
const struct oplog_counts *oplog_get_counts(const struct oplog *log);

#endif
