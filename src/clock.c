#include <errno.h>
#include <time.h>

#include "clock.h"

static uint64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000u + (uint64_t)ts.tv_nsec / 1000u;
}

uint64_t clock_now_us(void)
{
	return read_clock(CLOCK_BOOTTIME);
}

uint64_t clock_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}

void clock_sleep_us(uint64_t us)
{
	struct timespec ts = {
		.tv_sec = (time_t)(us / 1000000u),
		.tv_nsec = (long)(us % 1000000u) * 1000,
	};

	while (nanosleep(&ts, &ts) < 0 && errno == EINTR)
		;
}
