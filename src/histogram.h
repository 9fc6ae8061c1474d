#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stdint.h>

/*
 * NAME
 *	histogram - log-linear histogram of fixed memory
 *
 * DESCRIPTION
 *	Values below 32 have a bucket each; every later power of two is cut
 *	into 32 buckets of equal width. A quantile is the highest value of its
 *	bucket, so it is at most 1/32 (3.125%) above the exact one and never
 *	below it. Values above HISTOGRAM_VALUE_MAX count as HISTOGRAM_VALUE_MAX.
 *	About 4 KB; zero-initialise before use. Not safe for several threads.
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

/* Value that a part q (0 to 1) of the values do not exceed; 0 when empty. */
uint64_t histogram_quantile(const struct histogram *h, double q);

/* Halves all counts, so that older values lose weight. */
void histogram_decay(struct histogram *h);

#endif
