#ifndef LATENCY_H
#define LATENCY_H

#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	latency - histograms of the times of jobs, served with the counters
 *
 * DESCRIPTION
 *	One histogram (histogram.h) for each entry of enum latency_kind. The
 *	exposition shows quantiles as a summary. Of one thread only.
 *
 * UNITS
 *	Microseconds in, seconds in the exposition.
 */

enum latency_kind {
	LATENCY_SUBMIT,	   /* a hand-in until it was answered */
	LATENCY_STATE,	   /* a question for a state or count */
	LATENCY_STORE,	   /* a call to the store, watches left out */
	LATENCY_ORDER,	   /* an order to a worker until its answer */
	LATENCY_FIRST_RUN, /* accepted until a task was started */
	LATENCY_JOB,	   /* accepted until its last task had ended */
	LATENCY_COUNT,
};

void latency_add(enum latency_kind of, uint64_t us);
void latency_expose(struct buffer *b);

#endif
