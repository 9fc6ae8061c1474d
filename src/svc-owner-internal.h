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
#define OWNER_KEY_BYTES 256
#define OWNER_BUCKETS 256u

struct shard {
	struct owner *owner;
	char name[64];
	struct oplog *log;
	struct claims *claims;
	bool claims_here; /* keys hash to this shard */
	bool lease;	  /* as the log was told */
	char session[64]; /* the one that acquired the key, or "" */
	bool acquiring;
	char acquire_session[64]; /* of the acquisition in flight */
	uint64_t changed_us;	  /* when it was acquired or released here */
	char holder[64];	  /* of the key, as last seen; "" when free */
	uint64_t free_since_us;	  /* 0: held, or not known yet */
	uint64_t not_before_us;	  /* no attempt to acquire before this */
	uint64_t home_since_us;	  /* its zone has a live entry VM; 0: none */
	uint64_t home_wait_us;
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
	struct claim_answer *out;
	uint64_t began_us;
	uint64_t next_send_us;
	bool asked; /* an owner may have seen it */
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
	uint32_t sends;
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
	struct targets *targets;	 /* may be NULL */
	struct member list[MEMBERS_MAX]; /* scratch */
	struct rng rng;
	atomic_bool draining;
	atomic_bool stopped;

	struct shard shards[OWNER_SHARDS_MAX];
	uint32_t shard_count;
	uint32_t claim_shards; /* the first ones, sorted by name */
	bool reading_shards;
	uint64_t next_shards_us;
	char *new_shards; /* text to store when there is none */

	bool watching;
	uint64_t watch_index;
	uint64_t next_watch_us;
	uint64_t last_tick_us;
	uint64_t next_look_us;

	struct {
		owner_client_fn *create;
		void *arg;
	} clients[OPLOG_CLIENTS_MAX];
	uint32_t client_count;

	struct claim_request *requests[OWNER_BUCKETS]; /* by nonce */
	struct claim_report *reports[OWNER_BUCKETS];   /* by nonce */
	uint64_t *due; /* nonces that the current tick tends */
	uint32_t due_count;
	uint32_t due_capacity;
	uint32_t unacknowledged;
	size_t report_bytes;

	struct counter *gained;
	struct counter *lost;
	struct counter *load_failures;
	struct counter *replies[CLAIM_UNAVAILABLE + 1];
	struct counter *late_grants;
	struct counter *dropped_messages;
};

/* svc-owner-log.c: executes the log's actions, then the claims'. */
void owner_run(struct shard *sh);
void owner_log_event(struct shard *sh, enum oplog_event_type type);

/* svc-owner-shards.c: which shards there are */
void owner_shards_tick(struct owner *o, uint64_t now_us);
void owner_shards_new_zones(struct owner *o);
void owner_shard_client(struct shard *sh, uint32_t i);
void owner_shard_show(struct shard *sh);
struct shard *owner_find_shard(struct owner *o, const char *name);

/* svc-owner.c */
void owner_release(struct shard *sh, uint64_t wait_us);

/* svc-owner-claims.c */
void owner_claims_start(struct owner *o);
void owner_claims_tick(struct owner *o, uint64_t now_us);
void owner_claims_run(struct shard *sh);

#endif
