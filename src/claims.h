#ifndef CLAIMS_H
#define CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "oplog.h"
#include "svc-owner.h"

/*
 * NAME
 *	claims - claims on the idempotency keys of one shard
 *
 * DESCRIPTION
 *	A deterministic state machine without I/O and a client of the shard's
 *	log. A claim is granted once its log entry is durable, and granted again
 *	only after a release by the same entry VM and nonce. Other requests for
 *	a claimed key get the stored response, wait for the request in progress,
 *	or get CLAIM_UNKNOWN. Replies and acknowledgements are queued as actions
 *	only after the change that they report is durable. See docs/design.md
 *	5.2.
 *
 *	A claim expires CLAIMS_RETENTION_S after its last change. When memory
 *	use reaches memory_max, the oldest stored responses are evicted, so that
 *	their duplicates get CLAIM_UNKNOWN; if that does not suffice, new claims
 *	are refused. A claim itself is never evicted.
 *
 * UNITS
 *	Times are in microseconds of CLOCK_BOOTTIME. wall_s is in seconds since
 *	1970; the log stores it because CLOCK_BOOTTIME differs between owners.
 */

#define CLAIMS_RETENTION_S (24u * 3600u)
#define CLAIMS_MEMORY_MAX_BYTES (16u * 1024u * 1024u)
#define CLAIMS_WAITERS_MAX 4096u
/*
 * Longer than the 30 s limit on request deadlines: a result is unlikely after
 * this time, so duplicates no longer wait for it.
 */
#define CLAIMS_RESULT_TIMEOUT_US 35000000u
#define CLAIMS_ENTRY_VM_BYTES 64

enum claims_event_type {
	CLAIMS_CLAIM,  /* an entry VM requests a claim; may be repeated */
	CLAIMS_RESULT, /* an entry VM reports the outcome of its request */
	CLAIMS_TICK,   /* handles deadlines of waiters and expiry */
};

struct claims_event {
	enum claims_event_type type;
	struct claim_key key;
	const char *entry_vm; /* id of the entry VM */
	uint64_t deadline_us; /* CLAIMS_CLAIM: latest time of the reply */
	enum claim_outcome outcome;
	int status;
	const void *body; /* of the response to store */
	size_t len;
	uint64_t wall_s;
};

enum claims_action_type {
	CLAIMS_REPLY, /* to CLAIMS_CLAIM */
	CLAIMS_ACK,   /* to CLAIMS_RESULT: durable, or without effect */
};

struct claims_action {
	enum claims_action_type type;
	enum claim_code code;
	struct claim_key key;
	char entry_vm[CLAIMS_ENTRY_VM_BYTES];
	int status;
	const void *body; /* valid until the next claims_next_action() */
	size_t len;
};

struct claims;

struct claims *claims_create(struct oplog *log, size_t memory_max);
/* Returns the client to pass to oplog_add_client(). */
struct oplog_client *claims_client(struct claims *c);
void claims_destroy(struct claims *c);

void claims_step(struct claims *c, uint64_t now_us,
		 const struct claims_event *e);

/* Removes the next action from the queue; false if the queue is empty. */
bool claims_next_action(struct claims *c, struct claims_action *out);

uint32_t claims_count(const struct claims *c);
size_t claims_memory(const struct claims *c);

#endif
