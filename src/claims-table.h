#ifndef CLAIMS_TABLE_H
#define CLAIMS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	claims-table - claims indexed by key hash and ordered by age
 *
 * DESCRIPTION
 *	A claim is identified by its index in one array. Claims are linked in a
 *	hash table and in a list ordered by last change. A response is stored
 *	only on the change to CLAIM_STATE_DONE, which makes the claim the newest
 *	one, so a cursor in that list finds the oldest response to evict.
 *
 * RETURN VALUES
 *	The index of a claim, or CLAIM_NONE.
 */

#define CLAIM_NONE UINT32_MAX

enum claim_state {
	CLAIM_STATE_FREE,
	CLAIM_STATE_IN_PROGRESS,
	CLAIM_STATE_DONE,
	CLAIM_STATE_MAY_HAVE_RUN,
	CLAIM_STATE_RELEASED, /* removed once its log entry is durable */
};

struct claim {
	uint64_t hash[2];
	uint64_t body_hash;
	uint64_t nonce;
	uint64_t entry_vm_hash; /* hash of the entry VM's id */
	uint64_t granted_us;
	char *response;
	uint32_t response_len;
	uint32_t changed_s; /* wall clock of the last change */
	uint32_t version;   /* counts changes appended to the log */
	uint32_t hash_next; /* next in the bucket or the free list */
	uint32_t older;
	uint32_t newer;
	uint32_t first_waiter; /* list of requests for it, newest first */
	uint16_t status;       /* of the response; 0 if none is stored */
	uint8_t state;
	bool durable; /* the last change is durable */
};

struct claims_table {
	struct claim *claims;
	uint32_t capacity;
	uint32_t count;
	uint32_t free_head;
	uint32_t *buckets;
	uint32_t bucket_count;
	uint32_t oldest;
	uint32_t newest;
	uint32_t response_cursor; /* no older claim has a response */
	size_t response_bytes;
};

void claims_table_init(struct claims_table *t);
void claims_table_free(struct claims_table *t);
uint32_t claims_table_find(const struct claims_table *t,
			   const uint64_t hash[2]);

/* Adds a claim as the newest one; the caller sets its state. */
uint32_t claims_table_add(struct claims_table *t, const uint64_t hash[2]);
void claims_table_remove(struct claims_table *t, uint32_t i);

/* Makes the claim the newest one. */
void claims_table_touch(struct claims_table *t, uint32_t i, uint32_t changed_s);

/* Stores a copy of a response, or removes it if data is NULL. */
void claims_table_set_response(struct claims_table *t, uint32_t i, int status,
			       const void *data, size_t len);

/* Evicts the oldest response; false if there is none. */
bool claims_table_evict_response(struct claims_table *t);

/* Returns the bytes in use after adding extra_claims (0 or 1) claims. */
size_t claims_table_memory(const struct claims_table *t, uint32_t extra_claims);

/* ---- claims-log.c: entries of the log ---- */

/* First element of an entry, [op, hash, hash, nonce, changed_s, ...]. */
enum claim_op {
	CLAIM_OP_CLAIM = 1, /* ..., body hash, hash of entry VM] */
	CLAIM_OP_DONE,	    /* ..., status, response]; status 0: none */
	CLAIM_OP_RELEASE,
	CLAIM_OP_MAY_HAVE_RUN,
	CLAIM_OP_NOOP, /* for a result without a claim; changes nothing */
};

/* Appends the header of an array of count elements and the first five. */
void claims_log_pack_header(struct buffer *b, enum claim_op op, size_t count,
			    const struct claim *cl);

/* Applies a sequence of entries; -1 if one is malformed. */
int claims_log_apply(struct claims_table *t, const void *data, size_t len);

/* Appends a sequence of entries that recreates the table. */
void claims_log_snapshot(const struct claims_table *t, struct buffer *out);

#endif
