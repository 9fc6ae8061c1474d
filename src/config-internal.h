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
 *	config-internal - state that svc-config.c and svc-config-apply.c share
 *
 * DESCRIPTION
 *	svc-config.c learns revisions from the store and from peers;
 *	svc-config-apply.c stores new ones. All state belongs to the control
 *	thread but for current and revision.
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
	const struct settings *s;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	struct members *members;
	struct config_version *current; /* RCU */
	_Atomic uint64_t revision;
	char *value; /* as stored, passed on to peers */
	size_t value_len;
	struct config_version *
		candidate; /* highest revision heard before the start is over */
	char *candidate_value;
	size_t candidate_len;
	bool got_reply; /* the store or a peer answered */
	bool started;	/* the wait at the start is over */
	uint64_t start_us;
	uint64_t last_query_us;
	uint64_t index;		   /* of the last read, for the watch */
	uint64_t last_value_index; /* of the value that was offered last */
	uint64_t read_start_us;	   /* when the read in progress began */
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
 * Takes a stored value when its revision is above the one in force. Before the
 * wait at the start is over, the highest is kept aside. Returns whether the
 * value could be understood.
 */
bool config_install_if_newer(struct config_svc *c, const char *text, size_t len,
			     const char *from);

/* Repeats the reads of changes in progress that are due. */
void config_apply_tick(struct config_svc *c, uint64_t now);

/* Ends all changes in progress as unavailable. */
void config_apply_stop(struct config_svc *c);

#endif
