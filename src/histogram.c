#include "histogram.h"

static uint32_t bucket_index(uint64_t value)
{
	uint32_t shift;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (uint32_t)value;
	shift = 63u - (uint32_t)__builtin_clzll(value) -
		HISTOGRAM_SUB_BUCKET_BITS;
	/* value >> shift always has its top bit set: subtract that bit. */
	return (shift + 1) * HISTOGRAM_SUB_BUCKETS +
	       ((uint32_t)(value >> shift) - HISTOGRAM_SUB_BUCKETS);
}

/* Returns the highest value that falls into the bucket. */
static uint64_t bucket_max_value(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket;
	shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
	return ((uint64_t)(HISTOGRAM_SUB_BUCKETS +
			   bucket % HISTOGRAM_SUB_BUCKETS + 1)
		<< shift) -
	       1;
}

void histogram_add(struct histogram *h, uint64_t value)
{
	if (value > HISTOGRAM_VALUE_MAX)
		value = HISTOGRAM_VALUE_MAX;
	h->counts[bucket_index(value)]++;
	h->total++;
}

uint64_t histogram_quantile(const struct histogram *h, double q)
{
	uint64_t rank = (uint64_t)(q * (double)h->total);
	uint64_t seen = 0;

	if (h->total == 0)
		return 0;
	/* Nearest-rank method: round q * total up, to at least 1. */
	if ((double)rank < q * (double)h->total || rank == 0)
		rank++;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += h->counts[i];
		if (seen >= rank)
			return bucket_max_value(i);
	}
	return HISTOGRAM_VALUE_MAX;
}

void histogram_decay(struct histogram *h)
{
	h->total = 0;
	for (uint32_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		h->counts[i] /= 2;
		h->total += h->counts[i];
	}
}
