#ifndef REVISION_HISTORY_H
#define REVISION_HISTORY_H

#include <stdint.h>

/*
 * NAME
 *	revision-history - which revision of the store was known, and since when
 *
 * DESCRIPTION
 *	A key whose revision this process knew before it received a request was
 *	written before the request: a comparison that needs no clock of another
 *	machine. A zeroed struct is empty. No input or output.
 *
 *	Revisions are learnt some time apart; those that follow another within
 *	REVISION_SAMPLE_US are left out, so that a known one may be found to be
 *	unknown, but not the other way round.
 *
 * UNITS
 *	now_us, at_us: CLOCK_BOOTTIME in microseconds.
 */

#define REVISION_SAMPLES 16u
#define REVISION_SAMPLE_US 50000u

struct revision_history {
	struct {
		uint64_t at_us;
		uint64_t revision;
	} samples[REVISION_SAMPLES];
	uint32_t count; /* in total; the last ones are kept */
};

/* A key of this revision was seen. */
void revision_history_add(struct revision_history *h, uint64_t revision,
			  uint64_t now_us);
/*
 * The highest revision that was known at a time no longer ago than
 * REVISION_SAMPLES times REVISION_SAMPLE_US; 0: none.
 */
uint64_t revision_history_known(const struct revision_history *h,
				uint64_t at_us);

#endif
