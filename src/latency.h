#ifndef LATENCY_H
#define LATENCY_H

#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	latency - latency histograms of jobs, exposed with the counters
 *
 * DESCRIPTION
 *	One histogram (histogram.h) per enum latency_kind, exposed as a
 *	Prometheus summary with quantiles. Not thread-safe.
 *
 * UNITS
 *	latency_add() takes microseconds; the exposition is in seconds.
 */

enum latency_kind {
	LATENCY_SUBMIT,	   /* submit and cancel requests */
	LATENCY_STATE,	   /* state and count queries */
	LATENCY_STORE,	   /* store calls except watches */
	LATENCY_ORDER,	   /* from a command to a worker to its reply */
	LATENCY_FIRST_RUN, /* from job acceptance to its first task start */
	LATENCY_JOB,	   /* from job acceptance to its last task end */
	LATENCY_COUNT,
};

void latency_add(enum latency_kind of, uint64_t us);
void latency_expose(struct buffer *b);

#endif
