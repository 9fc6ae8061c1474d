#include "stop-pace.h"

/* Late stops are not sent at the highest pace at once. */
#define LEFT_MIN_US 100000u

uint32_t stop_pace(uint32_t stops, uint64_t round_trip_us, uint64_t waited_us,
		   uint32_t max)
{
	uint64_t left_us = waited_us + LEFT_MIN_US < STOP_PACE_TARGET_US
				   ? STOP_PACE_TARGET_US - waited_us
				   : LEFT_MIN_US;
	uint64_t wanted = (stops * round_trip_us + left_us - 1) / left_us;

	if (wanted < 1)
		return 1;
	return wanted < max ? (uint32_t)wanted : max;
}
