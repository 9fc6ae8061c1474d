#include "revision-history.h"

void revision_history_add(struct revision_history *h, uint64_t revision,
			  uint64_t now_us)
{
	uint32_t last = (h->count - 1) % REVISION_SAMPLES;
	uint32_t next = h->count % REVISION_SAMPLES;

	if (h->count && (revision <= h->samples[last].revision ||
			 now_us < h->samples[last].at_us + REVISION_SAMPLE_US))
		return;
	h->samples[next].at_us = now_us;
	h->samples[next].revision = revision;
	h->count++;
}

uint64_t revision_history_known(const struct revision_history *h,
				uint64_t at_us)
{
	uint64_t known = 0;

	for (uint32_t i = 0; i < REVISION_SAMPLES && i < h->count; i++)
		if (h->samples[i].at_us <= at_us &&
		    h->samples[i].revision > known)
			known = h->samples[i].revision;
	return known;
}
