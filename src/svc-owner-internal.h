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
 *	svc-owner-shards.c (the list of shards), svc-owner-log.c (the log's
 *	calls on the store) and svc-owner-claims.c (requests and messages)
 *
 * DESCRIPTION
 *	All of it belongs to the control thread.
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
	bool lease_valid; /* as the log was told */
	char session[64]; /* the one that acquired the key, or "" */
	bool acquiring;
	char acquire_session[64];  /* of the acquisition in flight */
	uint64_t lease_changed_us; /* when it was acquired or released here */
	char holder[64];	   /* of the key, as last seen; "" when free */
	uint64_t free_since_us;	   /* 0: held, or not known yet */
	uint64_t acquire_not_before_us; /* no attempt to acquire before this */
	uint64_t home_zone_live_since_us; /* its zone has a live entry VM; 0:
					     none */
	uint64_t failback_delay_us;
	struct counter *owned;
	struct counter *claim_count;
	struct counter *claim_bytes;
	struct counter *records;
	struct counter *entries;
	struct counter *recognised;
};

/* A request thread in claim_begin(); lives on its stack. */
struct claim_request {
	struct owner *owner;
	struct claim_key key;
	uint64_t deadline_us;
	struct claim_reply *reply;
	uint64_t started_us;
	uint64_t next_send_us;
	bool sent; /* an owner may have seen it */
	bool done;
	pthread_mutex_t lock;
	pthread_cond_t cond;
	struct claim_request *next;
};

/* A granted claim whose request has not ended, or whose end is not yet
 * acknowledged. */
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
	char prefix[96]; /* "waxwing/D/" */
	uint64_t lease_us;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	struct members *members;
	struct targets *targets;		/* may be NULL */
	struct member member_list[MEMBERS_MAX]; /* scratch */
	struct rng rng;
	atomic_bool draining;
	atomic_bool stopped;

	struct shard shards[OWNER_SHARDS_MAX];
	uint32_t shard_count;
	uint32_t claim_shard_count; /* the first ones, sorted by name */
	bool reading_shard_list;
	uint64_t next_shard_list_read_us;
	char *new_shard_list; /* text to store when there is none */

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
	uint64_t *due_nonces; /* nonces that the current tick tends */
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

/* svc-owner-log.c: executes the log's actions, then the claims'. */
void owner_run_actions(struct shard *sh);
void owner_oplog_event(struct shard *sh, enum oplog_event_type type);

/* svc-owner-shards.c: which shards there are */
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
