#include <stdlib.h>

#include "histogram.h"
#include "rng.h"
#include "support-unit.h"

#define VALUE_COUNT 5000

static int compare_u64(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* Guards against quantiles outside the error bound given in histogram.h. */
static void test_error_bound(void)
{
	static const double qs[] = { 0.0, 0.01, 0.5, 0.9, 0.95, 0.99, 1.0 };
	static uint64_t values[VALUE_COUNT];
	static struct histogram h;
	struct rng r = { .state = 3 };
	int out_of_bound = 0;

	for (int i = 0; i < VALUE_COUNT; i++) {
		values[i] = rng_next(&r) >> (28 + rng_below(&r, 36));
		histogram_add(&h, values[i]);
	}
	qsort(values, VALUE_COUNT, sizeof(values[0]), compare_u64);
	for (size_t i = 0; i < sizeof(qs) / sizeof(qs[0]); i++) {
		double rank = qs[i] * VALUE_COUNT;
		int at = (int)rank - ((double)(int)rank >= rank);
		uint64_t exact = values[at < 0 ? 0 : at];
		uint64_t got = histogram_quantile(&h, qs[i]);

		out_of_bound += got < exact || got > exact + exact / 32;
	}
	CU_ASSERT_EQUAL(out_of_bound, 0);
}

/* Guards against out-of-bounds bucket indexes at the extreme values. */
static void test_extremes(void)
{
	struct histogram h = { 0 };

	CU_ASSERT_EQUAL(histogram_quantile(&h, 0.5), 0);
	histogram_add(&h, 0);
	CU_ASSERT_EQUAL(histogram_quantile(&h, 1.0), 0);
	histogram_add(&h, UINT64_MAX);
	histogram_add(&h, HISTOGRAM_VALUE_MAX);
	CU_ASSERT_EQUAL(histogram_quantile(&h, 1.0), HISTOGRAM_VALUE_MAX);
	CU_ASSERT_EQUAL(h.total, 3);
}

/* Guards against a total that differs from the sum of the decayed counts. */
static void test_decay_keeps_the_total(void)
{
	struct histogram h = { 0 };

	for (int i = 0; i < 101; i++)
		histogram_add(&h, 1000);
	histogram_add(&h, 5);
	histogram_decay(&h);
	CU_ASSERT_EQUAL(h.total, 50);
	CU_ASSERT(histogram_quantile(&h, 0.0) >= 1000);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "error bound", test_error_bound },
		{ "extremes", test_extremes },
		{ "decay keeps the total", test_decay_keeps_the_total },
	};

	return RUN_SUITE("histogram", tests);
}
