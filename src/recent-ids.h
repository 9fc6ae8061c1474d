#ifndef RECENT_IDS_H
#define RECENT_IDS_H

#include <stdbool.h>
#include <stdint.h>

#include "job-spec.h"

/*
 * NAME
 *	recent-ids - bounded set of job ids that are forgotten after some time
 *
 * DESCRIPTION
 *	Holds the last RECENT_IDS_MAX ids; a further one replaces the oldest. A
 *	zeroed struct is empty. No input or output.
 *
 * UNITS
 *	now_us: CLOCK_BOOTTIME in microseconds.
 */

#define RECENT_IDS_MAX 512u

struct recent_ids {
	struct {
		char id[JOB_ID_BYTES];
		uint64_t until_us;
	} entries[RECENT_IDS_MAX];
	uint32_t next;
};

/* An id that is there already is kept until the later time. */
void recent_ids_add(struct recent_ids *r, const char *id, uint64_t until_us);
bool recent_ids_contains(const struct recent_ids *r, const char *id,
			 uint64_t now_us);

#endif
