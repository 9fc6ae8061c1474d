#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/*
 * NAME
 *	clock - time for drivers; the decision core is given the time
 *
 * UNITS
 *	Microseconds. clock_now_us() is CLOCK_BOOTTIME, which counts the time
 *	that the VM was suspended; CLOCK_MONOTONIC does not, and a holder that
 *	was suspended would take a lapsed lease for a valid one.
 *	clock_wall_us() is the time since 1970 (UTC), for planned stops and
 *	log lines only.
 */
uint64_t clock_now_us(void);
uint64_t clock_wall_us(void);
void clock_sleep_us(uint64_t us);

#endif
