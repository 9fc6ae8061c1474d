#ifndef SVC_OWNER_INTERNAL_H
#define SVC_OWNER_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "claims.h"
#include "counter.h"
#include "rng.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-store.h"
#include "svc-targets.h"

/*
 * NAME
 *	svc-owner-internal - state shared by svc-owner.c (leases),
 *	svc-owner-shards.c (the list of shards), svc-owner-log.c (store calls
 *	of the oplog) and svc-owner-claims.c (claim requests and messages)
 *
 * DESCRIPTION
 *	All state is accessed on the control thread only.
 */

#define OWNER_SHARDS_MAX 16u
#define OWNER_STORE_KEY_BYTES 256
#define OWNER_HASH_BUCKETS 256u

struct shard {
	struct owner *owner;
	char name[64];
	struct oplog *oplog;
	struct claims *claims;
	bool claims_here; /* keys hash to this shard */
	bool lease_valid; /* as last reported to the oplog */
	char session[64]; /* session that acquired the owner key, or "" */
	bool acquiring;	  /* store_acquire() in flight */
	char acquire_session[64];  /* session of the acquire in flight */
	uint64_t lease_changed_us; /* last acquired or released here */
	char holder[64];	   /* of the owner key, as last read, or "" */
	uint64_t free_since_us;	   /* 0: held, or not known yet */
	uint64_t acquire_not_before_us;
	/* The shard's zone has had a live entry VM since; 0: it has none. */
	uint64_t home_zone_live_since_us;
	uint64_t failback_delay_us;
	struct counter *owned;
	struct counter *claim_count;
	struct counter *claim_bytes;
	struct counter *records;
	struct counter *entries;
	struct counter *recovered_appends;
};

/* A pending claim_begin(); lives on the stack of the calling thread. */
struct claim_request {
	struct owner *owner;
	struct claim_key key;
	uint64_t deadline_us;
	struct claim_reply *reply;
	uint64_t started_us;
	uint64_t next_send_us;
	bool sent; /* an owner may have received the claim */
	bool done;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct claim_request *next;
};

/*
 * A granted claim whose request is still running, or whose outcome the owner
 * has not acknowledged yet.
 */
struct claim_report {
	struct owner *owner;
	struct claim_key key;
	bool ended;
	enum claim_outcome outcome;
	int status;
	struct buffer body;
	uint64_t next_send_us;
	uint32_t send_count;
	struct claim_report *next;
};

struct owner {
	struct service service;
	char id[64];
	char availability_zone[64];
	char prefix[96]; /* of store keys: "waxwing/DEPLOYMENT/" */
	uint64_t lease_us;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	struct members *members;
	struct targets *targets;		/* may be NULL */
	struct member member_list[MEMBERS_MAX]; /* used by update_shards() */
	struct rng rng;
	atomic_bool draining;
	atomic_bool stopped;

	struct shard shards[OWNER_SHARDS_MAX];
	uint32_t shard_count;
	/* Keys hash to the first claim_shard_count shards, sorted by name. */
	uint32_t claim_shard_count;
	bool reading_shard_list;
	uint64_t next_shard_list_read_us;
	char *new_shard_list; /* JSON to store when the store has no list */

	bool watch_pending;
	uint64_t watch_index;
	uint64_t next_watch_us;
	uint64_t last_tick_us;
	uint64_t next_shard_update_us;

	struct {
		owner_client_fn *create;
		void *arg;
	} clients[OPLOG_CLIENTS_MAX];
	uint32_t client_count;

	struct claim_request *requests[OWNER_HASH_BUCKETS]; /* by nonce */
	struct claim_report *reports[OWNER_HASH_BUCKETS];   /* by nonce */
	uint64_t *due_nonces; /* requests and reports due in this tick */
	uint32_t due_count;
	uint32_t due_capacity;
	uint32_t unacked_reports;
	size_t report_bytes;

	struct counter *shards_gained;
	struct counter *shards_lost;
	struct counter *load_failures;
	struct counter *replies[CLAIM_UNAVAILABLE + 1];
	struct counter *late_grants;
	struct counter *dropped_messages;
};

/* svc-owner-log.c: runs the oplog's pending actions, then the claims' ones. */
void owner_run_actions(struct shard *sh);
void owner_oplog_event(struct shard *sh, enum oplog_event_type type);

/* svc-owner-shards.c */
void owner_shards_tick(struct owner *o, uint64_t now_us);
void owner_shards_add_zones(struct owner *o);
void owner_shard_add_client(struct shard *sh, uint32_t i);
void owner_shard_update_metrics(struct shard *sh);
struct shard *owner_find_shard(struct owner *o, const char *name);

/* svc-owner.c */
void owner_release_lease(struct shard *sh, uint64_t retry_delay_us);

/* svc-owner-claims.c */
void owner_claims_start(struct owner *o);
void owner_claims_tick(struct owner *o, uint64_t now_us);
void owner_claims_run_actions(struct shard *sh);

#endif
