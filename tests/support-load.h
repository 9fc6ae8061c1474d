#ifndef SUPPORT_LOAD_H
#define SUPPORT_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>

#include "rng.h"

/*
 * NAME
 *	support-load - open-loop requests to the entry VMs
 *
 * DESCRIPTION
 *	Each kind of request in the mix has Poisson arrivals from its own
 *	random generator, so that adding a kind does not change the arrivals
 *	of the others. A request goes to a random entry VM over a persistent
 *	connection. Like a load balancer, the generator avoids an entry VM
 *	that gave no answer or is draining for LOAD_AVOID_US, as long as
 *	another is available. With retries, a request that is not "done" and
 *	got a 5xx status or no answer is sent again with the same key after
 *	retry_ms, through another entry VM.
 *
 *	A request counts as "done" if the entry VM reports that outcome. Its
 *	answer is bad if it has status 200 and its body is truncated or names
 *	another request's key. A request without an answer counts as "unknown".
 *
 * UNITS
 *	Rates per second; times in the unit of the name.
 */

#define LOAD_ENTRIES_MAX 32
#define LOAD_MIX_MAX 32
#define LOAD_AVOID_US 2000000u
#define LOAD_IDLE_CONNECTIONS_MAX 64 /* for each entry VM */

enum load_outcome { LOAD_DONE, LOAD_NOT_RUN, LOAD_UNKNOWN, LOAD_OUTCOMES };

struct load_samples {
	uint32_t *us;
	size_t count, capacity;
};

struct load_mix {
	char user[64], team[64], kind[64], urgency[16];
	double rate;
	uint32_t deadline_ms;
	uint32_t work_us;
	uint32_t work_spread; /* percent; work is uniform within +- this */
	uint32_t body_bytes, answer_bytes;
	uint32_t retries, retry_ms;
	uint32_t duplicate_percent; /* sent to two entry VMs */
	double start_s, stop_s;	    /* stop_s 0: end of the run */
	bool idempotent;
	struct rng rng;
	struct event *timer;
	struct load *load;
	uint64_t due_us;
	uint64_t sent, answered, bad_answers, retried, late_answers;
	uint64_t outcomes[LOAD_OUTCOMES];
	struct load_samples latency;  /* of outcome "done" */
	struct load_samples refusals; /* of outcome "not-run" */
};

struct load_entry {
	char host[64];
	uint16_t port;
	struct load_connection *idle;
	uint64_t avoid_until_us;
	unsigned idle_count;
};

struct load {
	struct event_base *base;
	struct load_entry entries[LOAD_ENTRIES_MAX];
	unsigned entry_count;
	struct load_mix mix[LOAD_MIX_MAX];
	unsigned mix_count;
	uint64_t seed, begin_us, end_us;
	uint64_t last_request_number, in_flight;
	char key_prefix[64];
	bool sending;
};

struct load *load_create(uint64_t seed, const char *key_prefix);
void load_free(struct load *l);

/* Return 0, or -1 after printing an error to standard error. */
int load_add_entry(struct load *l, const char *address);
int load_add_mix(struct load *l, const char *text);
int load_read_mix(struct load *l, const char *path);
const char *load_mix_keys(void);

/* Sends for the given time, then waits for outstanding answers. */
void load_run(struct load *l, double seconds);
void load_print(const struct load *l, bool json);

#endif
