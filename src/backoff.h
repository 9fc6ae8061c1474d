#ifndef BACKOFF_H
#define BACKOFF_H

#include <stdint.h>

#include "rng.h"

/*
 * NAME
 *	backoff - exponential backoff with jitter for retries
 *
 * DESCRIPTION
 *	backoff_next() doubles *delay_us within [min_us, max_us] and returns
 *	a random delay between half of it and all of it, so that many callers
 *	do not retry at the same time. Set *delay_us to 0 to start over.
 *
 * UNITS
 *	Microseconds.
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
