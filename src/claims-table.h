#ifndef CLAIMS_TABLE_H
#define CLAIMS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	claims-table - claims by key hash and by age, in bounded memory
 *
 * DESCRIPTION
 *	Claims are small handles into one array. They are linked in a hash
 *	table and in a list ordered by last change. Only a change to
 *	CLAIM_STATE_DONE stores an answer and it moves the claim to the young
 *	end, so answers are dropped oldest first by a cursor in that list.
 *
 * RETURN VALUES
 *	A handle, or CLAIM_NONE.
 */

#define CLAIM_NONE UINT32_MAX

enum claim_state {
	CLAIM_STATE_FREE,
	CLAIM_STATE_IN_PROGRESS,
	CLAIM_STATE_DONE,
	CLAIM_STATE_MAY_HAVE_RUN,
	CLAIM_STATE_RELEASED, /* gone once its log entry is durable */
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
	uint32_t version;   /* of the last change appended to the log */
	uint32_t hash_next; /* next in the bucket, or next free */
	uint32_t older;
	uint32_t newer;
	uint32_t first_waiter; /* first request that waits for this claim */
	uint16_t status;       /* of the answer; 0 when none is kept */
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
	uint32_t response_cursor; /* no older claim has an answer */
	size_t response_bytes;
};

void claims_table_init(struct claims_table *t);
void claims_table_free(struct claims_table *t);
uint32_t claims_table_find(const struct claims_table *t,
			   const uint64_t hash[2]);

/* Adds a claim without state; the caller fills it. */
uint32_t claims_table_add(struct claims_table *t, const uint64_t hash[2]);
void claims_table_remove(struct claims_table *t, uint32_t i);

/* Moves the claim to the young end. */
void claims_table_touch(struct claims_table *t, uint32_t i, uint32_t changed_s);

/* Stores a copy of an answer, or none when data is NULL. */
void claims_table_set_response(struct claims_table *t, uint32_t i, int status,
			       const void *data, size_t len);

/* Drops the oldest answer; false when there is none. */
bool claims_table_evict_response(struct claims_table *t);

/* Bytes in use, or after one more claim when more is 1. */
size_t claims_table_memory(const struct claims_table *t, uint32_t extra_claims);

/* ---- claims-log.c: entries of the log ---- */

/* First element of an entry, [op, hash, hash, nonce, at, ...]. */
enum claim_op {
	CLAIM_OP_CLAIM = 1, /* ..., body hash, entry] */
	CLAIM_OP_DONE,	    /* ..., status, answer]; status 0: not kept */
	CLAIM_OP_RELEASE,
	CLAIM_OP_MAY_HAVE_RUN,
	CLAIM_OP_NOOP, /* a result that concerns no claim */
};

/* Appends the array's head of count elements and its first five. */
void claims_log_pack_header(struct buffer *b, enum claim_op op, size_t count,
			    const struct claim *cl);

/* Applies a sequence of entries; -1 when one has another form. */
int claims_log_apply(struct claims_table *t, const void *data, size_t len);

/* Appends entries that lead to the same state. */
void claims_log_snapshot(const struct claims_table *t, struct buffer *out);

#endif
