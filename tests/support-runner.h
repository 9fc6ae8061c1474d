#ifndef SUPPORT_RUNNER_H
#define SUPPORT_RUNNER_H

#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

/*
 * NAME
 *	support-runner - simulated runners on a libevent loop
 *
 * DESCRIPTION
 *	Each runner listens on its own port and answers POST /run and GET
 *	/status as in docs/design.md 3.2. The request body sets what a run
 *	does, as a key=value list: key (journalled), work_us (default 20000)
 *	and answer_bytes. The answer is "key=K request=ID runner=R ", padded
 *	with dots to answer_bytes, and " end".
 *
 *	A request beyond RUNNER_SLOTS or on a connection beyond
 *	RUNNER_CONNECTIONS_MAX is journalled as "over" and refused with 503
 *	and X-Not-Run. A run whose caller disconnects continues and occupies
 *	its slot until its work is done, except that a hung run ends at once.
 *
 *	POST /v1/fault of the control port takes {"runner":ID or "*"} and:
 *
 *	slow		service time multiplier
 *	error_rate	probability of an immediate 500
 *	drop		probability that the connection closes after the work,
 *			without an answer
 *	truncate	probability that the second half of the answer's body
 *			is not sent
 *	wrong_id	probability of an answer with another request's id
 *	hang		runs start but do not finish until it is cleared
 *	draining	reported by /status and journalled; requests still run
 *	down		connections are refused and running work is lost
 *	reset		true: clear all of the above first
 *
 *	GET /v1/stats returns the counters of each runner.
 */

#define RUNNER_SLOTS 8
#define RUNNER_CONNECTIONS_MAX 64

struct runner_set;

struct runner_set *runner_set_create(struct event_base *base, uint64_t seed);
void runner_set_free(struct runner_set *s);

/*
 * Listens on count consecutive ports, starting at the one in listen. Ids are
 * the prefix and a number from 0. Returns 0, or -1 after printing an error to
 * standard error.
 */
int runner_set_listen(struct runner_set *s, const char *listen, unsigned count,
		      const char *prefix);

/* Handles control requests; a wire_control_fn for a struct runner_set. */
json_t *runner_set_control(void *set, const char *path, const json_t *body);

#endif
