#ifndef SVC_WORKERS_H
#define SVC_WORKERS_H

#include <stdatomic.h>

#include "buffer.h"
#include "kernel.h"
#include "platform.h"
#include "settings.h"

/*
 * NAME
 *	workers - service "workers": sends calls to workers from I/O threads
 *
 * DESCRIPTION
 *	Each worker has a queue of calls, and so has each address that is
 *	polled for usage. Calls of one queue are sent one at a time in the
 *	order of submission; queues are independent of each other. Immediately
 *	before sending a call, the I/O thread checks that send_by_us has not
 *	passed, that the gate still has the call's epoch, and that the last
 *	append is no older than the outage horizon. Otherwise the call is
 *	dropped. done() runs on the control thread in either case.
 */

struct workers;

/*
 * Ownership of a shard, as a condition for sending its calls. Written by the
 * control thread.
 */
struct worker_gate {
	atomic_uint_least64_t epoch; /* 0 when this process is not the owner */
	atomic_uint_least64_t last_append_us;
	atomic_uint_least64_t horizon_us;
};

struct worker_call;
typedef void worker_call_fn(struct worker_call *c);

struct worker_call {
	/* Set by the caller. */
	char queue[64];
	struct settings_address address;
	const char *method; /* string literal, not freed */
	char path[320];	    /* relative to "/v1", with query */
	char *body;	    /* freed with the call, or NULL */
	uint64_t send_by_us;
	uint64_t timeout_us;
	const struct worker_gate *gate; /* NULL: no ownership check */
	uint64_t epoch;
	worker_call_fn *done;
	void *arg;
	/* Set before done() runs. */
	bool sent; /* false: dropped, the call had no effect */
	int failed;
	struct error err;
	int status;
	struct buffer response;
	uint64_t sent_us; /* time of the check before sending */
	struct worker_call *next;
};

struct workers *workers_find(struct kernel *k);

/* Takes ownership of c and frees it after done(). Control thread only. */
void workers_submit(struct workers *w, struct worker_call *c);

/* Number of calls that are queued or waiting for a response. */
uint32_t workers_in_flight(struct workers *w);

#endif
