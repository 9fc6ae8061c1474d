#ifndef SUPPORT_RUNNER_H
#define SUPPORT_RUNNER_H

#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

/*
 * NAME
 *	support-runner - runners of one process, on a libevent loop
 *
 * DESCRIPTION
 *	Each runner listens on its own port and answers POST /run and GET
 *	/status as in docs/design.md 3.2. What a run does is read from the
 *	body, a key=value list: key (journalled), work_us (default 20000) and
 *	answer_bytes. The answer is "key=K request=ID runner=R ", dots up to
 *	answer_bytes, and " end".
 *
 *	A request above RUNNER_SLOTS or on a connection above
 *	RUNNER_CONNECTIONS_MAX is journalled as "over" and refused with 503
 *	and X-Not-Run. When its caller leaves, a run goes on and keeps its
 *	slot until its work is done; only a run that hangs ends then.
 *
 *	POST /v1/fault of the control port takes {"runner":ID or "*"} and:
 *
 *	slow		factor of the service time
 *	error_rate	probability of an immediate 500
 *	drop		probability that the connection ends after the work,
 *			without an answer
 *	truncate	probability that the second half of the answer's body
 *			is not sent
 *	wrong_id	probability of an answer with another request's id
 *	hang		runs begin and do not end; clearing it ends them
 *	draining	said by /status and journalled; requests still run
 *	down		connections are refused, work is gone
 *	reset		true: clear all of the above first
 *
 *	GET /v1/stats lists what each runner saw.
 */

#define RUNNER_SLOTS 8
#define RUNNER_CONNECTIONS_MAX 64

struct runner_set;

struct runner_set *runner_set_create(struct event_base *base, uint64_t seed);
void runner_set_free(struct runner_set *s);

/*
 * Listens on count ports from that of listen on. Ids are the prefix and a
 * number from 0. Returns 0, or -1 after a line on standard error.
 */
int runner_set_listen(struct runner_set *s, const char *listen, unsigned count,
		      const char *prefix);

/* A wire_control_fn for a struct runner_set. */
json_t *runner_set_control(void *set, const char *path, const json_t *body);

#endif
