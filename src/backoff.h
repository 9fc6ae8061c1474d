#ifndef BACKOFF_H
#define BACKOFF_H

#include <stdint.h>

#include "rng.h"

/*
 * NAME
 *	backoff - pauses between repeated calls that fail
 *
 * DESCRIPTION
 *	backoff_next() doubles *pause_us within the two bounds and returns a
 *	time between half of it and all of it, so that many callers do not
 *	repeat at once. A pause of 0 starts anew. Microseconds.
 */
static inline uint64_t backoff_next(struct rng *r, uint64_t *delay_us,
				    uint64_t min_us, uint64_t max_us)
{
	uint64_t delay = *delay_us * 2;

	if (delay < min_us)
		delay = min_us;
	if (delay > max_us)
		delay = max_us;
	*delay_us = delay;
	return delay / 2 + rng_below(r, (uint32_t)delay / 2);
}

#endif
