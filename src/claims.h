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
 *	claims - decision core: claims on idempotency keys of one shard
 *
 * DESCRIPTION
 *	A client of the shard's log. A claim is granted when its entry is
 *	durable, and granted again only after a release by the same entry VM
 *	and nonce. Everything else about a key is answered from its state: the
 *	stored answer, a wait for the request in progress, or unknown. Answers
 *	to the outside are actions and leave only after the change that they
 *	report is durable. See docs/design.md 5.2.
 *
 *	A claim is dropped CLAIMS_RETENTION_S after its last change. When
 *memory_max is reached, the oldest stored answers go first (their duplicates
 *end as unknown); when that does not suffice, new claims are refused. A claim
 *	itself is never dropped early.
 *
 * UNITS
 *	Times in microseconds of CLOCK_BOOTTIME; wall_s, which the log keeps
 *	because owners do not share a boot, in seconds since 1970.
 */

#define CLAIMS_RETENTION_S (24u * 3600u)
#define CLAIMS_MEMORY_MAX_BYTES (16u * 1024u * 1024u)
#define CLAIMS_WAITERS_MAX 4096u
/*
 * No request lives longer than its deadline of 30 s. A claim granted before
 * that will hardly get a result, so its duplicates do not wait for one.
 */
#define CLAIMS_RESULT_TIMEOUT_US 35000000u
#define CLAIMS_ENTRY_VM_BYTES 64

enum claims_event_type {
	CLAIMS_CLAIM,  /* an entry VM asks for a claim, perhaps again */
	CLAIMS_RESULT, /* an entry VM reports how its request ended */
	CLAIMS_TICK,   /* deadlines of waiting claims, expiry */
};

struct claims_event {
	enum claims_event_type type;
	struct claim_key key;
	const char *entry_vm; /* id of the entry VM */
	uint64_t deadline_us; /* CLAIMS_CLAIM: answer before this time */
	enum claim_outcome outcome;
	int status;
	const void *body; /* of the answer to store */
	size_t len;
	uint64_t wall_s;
};

enum claims_action_type {
	CLAIMS_REPLY, /* to CLAIMS_CLAIM */
	CLAIMS_ACK,   /* to CLAIMS_RESULT: it is durable or of no effect */
};

struct claims_action {
	enum claims_action_type type;
	enum claim_code code;
	struct claim_key key;
	char entry_vm[CLAIMS_ENTRY_VM_BYTES];
	int status;
	const void *body; /* valid until the next call of the core */
	size_t len;
};

struct claims;

/* The claims are the client to pass to oplog_add_client(). */
struct claims *claims_create(struct oplog *log, size_t memory_max);
struct oplog_client *claims_client(struct claims *c);
void claims_destroy(struct claims *c);

void claims_step(struct claims *c, uint64_t now_us,
		 const struct claims_event *e);

/* Fills the next action and returns true, or false when there is none. */
bool claims_next_action(struct claims *c, struct claims_action *out);

uint32_t claims_count(const struct claims *c);
size_t claims_memory(const struct claims *c);

#endif
