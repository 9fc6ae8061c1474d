#ifndef COMMIT_LIMIT_H
#define COMMIT_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	commit-limit - finds the record that makes the store reject transactions
 *
 * DESCRIPTION
 *	A transaction that the store rejects for good is not repeated: the next
 *	one has half of its records. If one record alone is rejected, a
 *	transaction without records follows. If that is stored, the record is
 *	at fault; if not, the store rejects everything, and none is. After each
 *	success the next transaction may have twice as many records. No input or
 *	output.
 */

#define COMMIT_LIMIT_NAME_BYTES 64

struct commit_limit {
	uint32_t full;	  /* records of a transaction at most */
	uint32_t records; /* of the next one; 0: it is stored without any */
	char suspect[COMMIT_LIMIT_NAME_BYTES]; /* "": none */
};

void commit_limit_init(struct commit_limit *l, uint32_t full);

/* A transaction with these records was rejected; name: of the first, or NULL.
 */
void commit_limit_rejected(struct commit_limit *l, uint32_t records,
			   const char *name);

/*
 * A transaction with these records was stored. Returns true if a record is at
 * fault, and copies its name.
 */
bool commit_limit_stored(struct commit_limit *l, uint32_t records,
			 char name[COMMIT_LIMIT_NAME_BYTES]);

#endif
