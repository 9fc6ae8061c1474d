#ifndef SUPPORT_OPLOG_H
#define SUPPORT_OPLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "claims.h"
#include "oplog.h"

/*
 * NAME
 *	support-oplog - model of the store's log keys, and would-be owners
 *
 * DESCRIPTION
 *	The model keeps every record ever created beside those that exist, so
 *	that a test can tell the log's true sequence after a deletion. A node
 *	has a log with two clients: claims, and a probe whose entries are
 *	numbers and whose state is the sequence of numbers. Calls of a node
 *	wait in a list; the test decides when each takes effect and what the
 *	node is told.
 */

#define MODEL_NODES 4
#define MODEL_CALLS 64

struct model_value {
	uint64_t epoch;
	uint64_t seq;
	bool exists;
	bool part;
	void *data;
	size_t len;
};

struct model_node;

struct model_call {
	bool used;
	bool applied;
	bool replied; /* the node was told; the effect can still come */
	int node;
	uint32_t incarnation; /* of the node */
	struct oplog_action action;
	void *data; /* copy of the action's */
	enum oplog_result result;
	/* What a read saw. */
	struct oplog_value *values;
	size_t count;
	uint64_t modify_index;
};

struct probe {
	struct oplog_client client;
	struct model_node *node;
	uint32_t *numbers;
	uint32_t count;
	uint32_t capacity;
};

struct model;

struct model_node {
	struct model *model;
	int index;
	uint32_t incarnation; /* counts restarts */
	struct oplog *log;
	struct claims *claims;
	struct probe probe;
	bool believes_lease;
};

struct model {
	struct model_value *values; /* records and parts, in creation order */
	uint32_t value_count;
	uint32_t value_capacity;
	void *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_index;
	uint64_t index;
	uint64_t now_us;
	uint64_t seed;
	uint32_t snapshot_records;
	struct model_node nodes[MODEL_NODES];
	struct model_call calls[MODEL_CALLS];
	uint32_t next_number;
	uint64_t writes;
	uint64_t reads;
	uint32_t became_owner; /* times a shard became owned */
	uint32_t load_failed;
	uint32_t stepped_down;
	uint32_t committed; /* probe entries reported durable */
	/* Called for each answer of the claims core. */
	void (*on_claims)(struct model *m, int node,
			  const struct claims_action *a);
	void *arg;
	char failure[256]; /* first broken invariant, or "" */
};

void model_init(struct model *m, uint64_t seed);
void model_free(struct model *m);
void model_fail(struct model *m, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Replaces the node by a new run of it. */
void model_restart(struct model *m, int node);

/* Passes an event and collects the actions that follow. */
void model_event(struct model *m, int node, enum oplog_event_type type);
void model_claims_event(struct model *m, int node,
			const struct claims_event *e);
void model_collect_actions(struct model *m, int node);

/* Lets the call take effect in the store. */
void model_apply_call(struct model *m, struct model_call *c);

/* Tells the node the result, of which it may have been a later run. */
void model_reply(struct model *m, struct model_call *c,
		 enum oplog_result result);
void model_free_call(struct model_call *c);

/* Effects and answers all calls, also those that follow. */
void model_run_until_idle(struct model *m);

/*
 * The log's true sequence of numbers before epoch until, or as far as it goes
 * when that is 0; the caller frees it.
 */
uint32_t *model_log_numbers(struct model *m, uint64_t until, uint32_t *count);

/* Appends the next number on the node; false when it is not the owner. */
bool model_append(struct model *m, int node);

/* Replaces the bytes of an existing record. */
void model_corrupt(struct model *m, uint64_t epoch, uint64_t seq,
		   const void *data, size_t len);
const struct model_value *model_find(struct model *m, uint64_t epoch,
				     uint64_t seq, bool part);

#endif
