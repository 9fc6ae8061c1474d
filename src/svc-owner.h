#ifndef SVC_OWNER_H
#define SVC_OWNER_H

#include <stdint.h>

#include "buffer.h"
#include "kernel.h"
#include "oplog.h"
#include "settings.h"

/*
 * NAME
 *	owner - service "owner": shards that this process owns, and claims
 *
 * DESCRIPTION
 *	claim_begin() asks the owner of the key's shard, here or at a peer, and
 *	blocks until the answer or the deadline; request threads call it before
 *	a non-idempotent request may be sent. claim_finish() reports how the
 *	request ended; it is repeated in the background until acknowledged.
 *	Any thread but the control thread may call both.
 */

struct owner;

enum claim_code {
	CLAIM_GRANTED,
	CLAIM_REPLAY,	   /* ended as done; answer holds the stored answer */
	CLAIM_UNKNOWN,	   /* it may have run, or still runs at the deadline */
	CLAIM_KEY_REUSED,  /* the key was used with another body */
	CLAIM_UNAVAILABLE, /* no durable claim; the request must not run */
};

struct claim_key {
	uint64_t hash[2]; /* 128 bits of user, kind and idempotency key */
	uint64_t body_hash;
	uint64_t nonce; /* chosen by the entry VM, one per request */
};

struct claim_reply {
	enum claim_code code;
	int status;	    /* of the replayed answer */
	struct buffer body; /* of the replayed answer */
};

enum claim_outcome { CLAIM_DONE, CLAIM_NOT_RUN, CLAIM_MAY_HAVE_RUN };

#define CLAIM_RESPONSE_MAX_BYTES (16u * 1024u)

struct service *owner_create(const struct settings *s);
struct owner *owner_find(struct kernel *k);

void claim_begin(struct owner *o, const struct claim_key *key,
		 uint64_t deadline_us, struct claim_reply *out);

/* An answer above CLAIM_RESPONSE_MAX_BYTES is not kept; a duplicate of such a
 * request ends as unknown. */
void claim_finish(struct owner *o, const struct claim_key *key,
		  enum claim_outcome outcome, int status, const void *body,
		  size_t len);

/*
 * Adds a client to the log of every shard that this process follows or owns.
 * create() is called on the control thread, once per shard when the shard
 * becomes known, and returns a client that lives as long as the shard's log.
 * Control thread only, in the start() function of the caller's service.
 */
typedef struct oplog_client *owner_client_fn(void *arg, const char *shard,
					     struct oplog *log);
void owner_add_client(struct owner *o, owner_client_fn *create, void *arg);

/* Id of the shard's owner as last heard, or "" when none is known. */
void owner_of_shard(struct owner *o, const char *shard, char id[64]);

/* Fills names (64 bytes each) and epochs of owned shards; returns the count. */
uint32_t owner_list_shards(struct owner *o, char names[][64], uint64_t *epochs,
			   uint32_t max);

#endif
