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
 *	time and executes the actions that oplog_next_action() returns.
 *	Clients (claims, place) append entries and learn when they are durable;
 *	on a take-over their state is reset, restored from the snapshot and
 *	replayed entry by entry. See docs/design.md 5.1.
 */

enum oplog_state {
	OPLOG_FOLLOWER, /* not the owner */
	OPLOG_LOADING,	/* lease held; reading snapshot and log */
	OPLOG_SEALING,	/* creating the seal record */
	OPLOG_OWNER,
};

enum oplog_entry_type { ENTRY_CLAIM = 1, ENTRY_TASK = 2 };
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
 * Appends an entry. Only in state OPLOG_OWNER; -1 otherwise. The client
 * applies the change to its own state when it appends or when committed()
 * is called, but lets nobody outside see it before committed().
 */
int oplog_append(struct oplog *log, enum oplog_entry_type type,
		 const void *data, size_t len, uint64_t token);

bool oplog_is_owner(const struct oplog *log);
uint64_t oplog_epoch(const struct oplog *log);

/* Time of the last acknowledged append or seal; 0 for never. */
uint64_t oplog_last_append_us(const struct oplog *log);

#endif
