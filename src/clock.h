#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

/*
 * NAME
 *	clock - clocks for drivers; the decision core gets the time as an
 *	argument
 *
 * UNITS
 *	Microseconds. clock_now_us() reads CLOCK_BOOTTIME, which includes the
 *	time during which the VM was suspended. CLOCK_MONOTONIC excludes it, so
 *	a lease holder would take an expired lease for valid after a suspend.
 *	clock_wall_us() is the Unix time (UTC), to be used for planned stops
 *	and log lines only.
 */
uint64_t clock_now_us(void);
uint64_t clock_wall_us(void);
void clock_sleep_us(uint64_t us);

#endif
