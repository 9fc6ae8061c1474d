#ifndef STOP_PACE_H
#define STOP_PACE_H

#include <stdint.h>

/*
 * NAME
 *	stop-pace - how many stops are on their way to one worker at a time
 *
 * DESCRIPTION
 *	A connection carries one order for each round trip, so the stops of
 *	many tasks may take longer than a cancellation allows. stop_pace()
 *	returns the number of connections with which all queued ones are
 *	sent in the time that is left. Few stops, as on most days, need no
 *	second connection. No input or output.
 *
 * UNITS
 *	Microseconds.
 */

/* A stop is to be sent within this time; the platform allows 3 s or more. */
#define STOP_PACE_TARGET_US 1500000u

/*
 * stops: queued; round_trip_us: of orders to the worker, 0: unknown;
 * waited_us: since the first of them was queued. Returns 1 to max.
 */
uint32_t stop_pace(uint32_t stops, uint64_t round_trip_us, uint64_t waited_us,
		   uint32_t max);

#endif
