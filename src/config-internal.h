#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

#include <stdatomic.h>
#include <urcu.h>

#include "counter.h"
#include "rng.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-peers.h"
#include "svc-store.h"

/*
 * NAME
 *	config-internal - state shared by svc-config.c and svc-config-apply.c
 *
 * DESCRIPTION
 *	svc-config.c receives revisions from the store and from peers;
 *	svc-config-apply.c writes new revisions to the store. All state is
 *	accessed on the control thread only, except current and revision.
 */

#define CONFIG_LISTENERS_MAX 8
#define CONFIG_RETRY_MIN_US 250000u

struct apply_op;

struct config_version {
	struct config config;
	struct rcu_head rcu;
};

struct config_listener {
	void (*fn)(void *arg);
	void *arg;
};

struct config_svc {
	struct service service;
	const struct settings *settings;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	struct members *members;
	struct config_version *current; /* RCU */
	_Atomic uint64_t revision;
	char *value; /* current value as stored, sent to peers */
	size_t value_len;
	struct config_version *candidate; /* highest revision during startup */
	char *candidate_value;
	size_t candidate_len;
	bool got_reply; /* from the store or a peer */
	bool started;	/* the startup wait is over */
	uint64_t start_us;
	uint64_t last_query_us;
	uint64_t index;		   /* of the last read, to watch from */
	uint64_t last_value_index; /* of the last value processed */
	uint64_t read_start_us;	   /* of the read in progress */
	bool reading;
	uint64_t next_read_us;
	uint64_t retry_us;
	struct rng rng;
	struct config_listener listeners[CONFIG_LISTENERS_MAX];
	uint32_t listener_count;
	struct apply_op *apply_ops; /* in progress */
	bool stopping;
	struct counter *revision_gauge;
	struct counter *applied;
	struct counter *conflicts;
	struct counter *unusable;
	struct counter *older;
	struct counter *recovered;
};

/*
 * Installs a stored value if its revision is higher than the current one.
 * During startup it only becomes the candidate, if its revision is the highest
 * so far. Returns whether the value could be parsed.
 */
bool config_install_if_newer(struct config_svc *c, const char *text, size_t len,
			     const char *from);

/* Retries the store reads of pending operations that are due. */
void config_apply_tick(struct config_svc *c, uint64_t now);

/* Completes all pending operations as CONFIG_UNAVAILABLE. */
void config_apply_stop(struct config_svc *c);

#endif
