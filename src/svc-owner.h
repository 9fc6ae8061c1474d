#ifndef SVC_OWNER_H
#define SVC_OWNER_H

#include <stdint.h>

#include "buffer.h"
#include "kernel.h"
#include "oplog.h"
#include "settings.h"

/*
 * NAME
 *	owner - service "owner": shard ownership and claims on idempotency keys
 *
 * DESCRIPTION
 *	claim_begin() sends a claim to the owner of the key's shard, in this
 *	process or at a peer, and blocks until the reply or the deadline.
 *	Request threads call it before they send a non-idempotent request to a
 *	target. claim_finish() reports the outcome of the request; the report
 *	is resent in the background until the owner acknowledges it. Both may
 *	be called on any thread except the control thread.
 */

struct owner;

enum claim_code {
	CLAIM_GRANTED,
	CLAIM_REPLAY,	   /* already done; the stored response is returned */
	CLAIM_UNKNOWN,	   /* may have run, or still running at the deadline */
	CLAIM_KEY_REUSED,  /* the key was used with a different body */
	CLAIM_UNAVAILABLE, /* no durable claim; the request must not run */
};

struct claim_key {
	uint64_t hash[2]; /* 128-bit hash of user, kind and idempotency key */
	uint64_t body_hash;
	uint64_t nonce; /* chosen by the entry VM, unique to the request */
};

struct claim_reply {
	enum claim_code code;
	int status;	    /* CLAIM_REPLAY: of the stored response */
	struct buffer body; /* CLAIM_REPLAY: of the stored response */
};

enum claim_outcome { CLAIM_DONE, CLAIM_NOT_RUN, CLAIM_MAY_HAVE_RUN };

#define CLAIM_RESPONSE_MAX_BYTES (16u * 1024u)

struct service *owner_create(const struct settings *s);
struct owner *owner_find(struct kernel *k);

void claim_begin(struct owner *o, const struct claim_key *key,
		 uint64_t deadline_us, struct claim_reply *out);

/*
 * A response larger than CLAIM_RESPONSE_MAX_BYTES is not stored; a duplicate of
 * such a request ends as unknown.
 */
void claim_finish(struct owner *o, const struct claim_key *key,
		  enum claim_outcome outcome, int status, const void *body,
		  size_t len);

/*
 * Adds a client to the oplog of every shard, whether or not this process owns
 * the shard. create() is called on the control thread, once per shard when the
 * shard becomes known, and returns a client that must live as long as the
 * shard's oplog, or NULL for no client. Control thread only, from the start()
 * function of the caller's service.
 */
typedef struct oplog_client *owner_client_fn(void *arg, const char *shard,
					     struct oplog *log);
void owner_add_client(struct owner *o, owner_client_fn *create, void *arg);

/* Sets id to the last known owner of the shard, or to "" if none is known. */
void owner_of_shard(struct owner *o, const char *shard, char id[64]);

/* Lists the names and epochs of the shards owned here; returns their number. */
uint32_t owner_list_shards(struct owner *o, char names[][64], uint64_t *epochs,
			   uint32_t max);

#endif
