#ifndef SUPPORT_OPLOG_H
#define SUPPORT_OPLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "claims.h"
#include "oplog.h"

/*
 * NAME
 *	support-oplog - model of the store's log keys and of nodes that use it
 *
 * DESCRIPTION
 *	The model keeps every record ever created, also deleted ones, so that a
 *	test can compare a node's state with the complete log. A node has a log
 *	with two clients: claims, and a probe whose entries are numbers and
 *	whose state is the sequence of these numbers. The store calls of a node
 *	are queued; the test decides when each one is applied and which result
 *	the node receives.
 */

#define MODEL_NODES 4
#define MODEL_CALLS 64

struct model_value {
	uint64_t epoch;
	uint64_t seq;
	bool exists; /* false: deleted */
	bool part;
	void *data;
	size_t len;
};

struct model_node;

struct oplog_model_call {
	bool used;
	bool applied;
	bool replied; /* the call can still be applied afterwards */
	int node;
	uint32_t incarnation; /* of the node that made the call */
	struct oplog_action action;
	void *data; /* copy of action.data */
	enum oplog_result result;
	/* Result of a read. */
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
	struct oplog_model_call calls[MODEL_CALLS];
	uint32_t next_number;
	uint64_t writes;
	uint64_t reads;
	uint32_t became_owner; /* number of completed take-overs */
	uint32_t load_failed;
	uint32_t stepped_down;
	uint32_t committed; /* probe entries reported durable */
	/* Called for each reply and acknowledgement of the claims. */
	void (*on_claims)(struct model *m, int node,
			  const struct claims_action *a);
	void *arg;
	char failure[256]; /* first broken invariant, or "" */
};

void model_init(struct model *m, uint64_t seed);
void model_free(struct model *m);
void model_fail(struct model *m, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* Restarts the node with empty state and a new writer id. */
void model_restart(struct model *m, int node);

/* Passes an event to the node and queues the resulting actions. */
void model_event(struct model *m, int node, enum oplog_event_type type);
void model_claims_event(struct model *m, int node,
			const struct claims_event *e);
void model_collect_actions(struct model *m, int node);

/* Applies the call to the store and records its result. */
void model_apply_call(struct model *m, struct oplog_model_call *c);

/* Passes the result to the node, unless it restarted after the call. */
void model_reply(struct model *m, struct oplog_model_call *c,
		 enum oplog_result result);
void model_free_call(struct oplog_model_call *c);

/* Applies and replies to all calls, and to those that result from them. */
void model_run_until_idle(struct model *m);

/*
 * Returns the probe's numbers in the complete log, up to the start of epoch
 * until or, if that is 0, to the end. The caller frees the array.
 */
uint32_t *model_log_numbers(struct model *m, uint64_t until, uint32_t *count);

/* Appends the next number on the node; false if the log refuses it. */
bool model_append(struct model *m, int node);

/* Overwrites the value of an existing record. */
void model_corrupt(struct model *m, uint64_t epoch, uint64_t seq,
		   const void *data, size_t len);
const struct model_value *model_find(struct model *m, uint64_t epoch,
				     uint64_t seq, bool part);

#endif
