#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>

/*
 * NAME
 *	histogram - log-linear histogram of fixed size
 *
 * DESCRIPTION
 *	Each value below 32 has its own bucket; each power-of-two range above
 *	is divided into 32 buckets of equal width. A quantile is the highest
 *	value of its bucket: at most 1/32 (3.125%) above the exact one, never
 *	below it. Values above HISTOGRAM_VALUE_MAX count as HISTOGRAM_VALUE_MAX.
 *	Takes about 4 KB; zero-initialise before use. Not thread-safe.
 */

#define HISTOGRAM_SUB_BUCKET_BITS 5
#define HISTOGRAM_SUB_BUCKETS (1u << HISTOGRAM_SUB_BUCKET_BITS)
#define HISTOGRAM_VALUE_BITS 36
#define HISTOGRAM_VALUE_MAX ((1ull << HISTOGRAM_VALUE_BITS) - 1)
#define HISTOGRAM_BUCKETS                                         \
	((HISTOGRAM_VALUE_BITS - HISTOGRAM_SUB_BUCKET_BITS + 1) * \
	 HISTOGRAM_SUB_BUCKETS)

struct histogram {
	uint64_t total;
	uint32_t counts[HISTOGRAM_BUCKETS];
};

void histogram_add(struct histogram *h, uint64_t value);

/* Returns the q-quantile, with q from 0 to 1; 0 if the histogram is empty. */
uint64_t histogram_quantile(const struct histogram *h, double q);

/* Halves all counts, so that recent values weigh more than older ones. */
void histogram_decay(struct histogram *h);

#endif
