#ifndef SVC_WORKERS_H
#define SVC_WORKERS_H

#include <stdatomic.h>

#include "buffer.h"
#include "kernel.h"
#include "platform.h"
#include "settings.h"

/*
 * NAME
 *	workers - service "workers": calls on workers in I/O threads
 *
 * DESCRIPTION
 *	Calls of one lane (a worker, or an address for its usage) leave one
 *	after the other in the order of submission; lanes are independent.
 *	Immediately before a call leaves, its I/O thread checks that the call
 *	is not late and that the gate still shows the call's epoch with an
 *	append no older than the outage horizon; if not, the call does not
 *	leave. done() runs on the control thread.
 */

struct workers;

/* What a shard's calls depend on; written by the control thread. */
struct worker_gate {
	atomic_uint_least64_t epoch; /* 0: this process is not the owner */
	atomic_uint_least64_t last_append_us;
	atomic_uint_least64_t horizon_us;
};

struct worker_call;
typedef void worker_call_fn(struct worker_call *c);

struct worker_call {
	/* Filled by the caller. */
	char queue[64];
	struct settings_address address;
	const char *method; /* static */
	char path[320];	    /* below "/v1", with query */
	char *body;	    /* freed with the call, or NULL */
	uint64_t send_by_us;
	uint64_t timeout_us;
	const struct worker_gate *gate; /* NULL: the call may always leave */
	uint64_t epoch;
	worker_call_fn *done;
	void *arg;
	/* Filled before done(). */
	bool sent; /* false: the call did not take effect */
	int failed;
	struct error err;
	int status;
	struct buffer response;
	uint64_t sent_us; /* immediately before the call left */
	struct worker_call *next;
};

struct workers *workers_find(struct kernel *k);

/* Takes ownership of c, which is freed after done(). Control thread. */
void workers_submit(struct workers *w, struct worker_call *c);

/* Calls that are queued or have not answered. */
uint32_t workers_in_flight(struct workers *w);

#endif
