#include <stdio.h>
#include <string.h>

#include "job-deferred.h"
#include "rng.h"
#include "support-unit.h"

#define JOBS 3000

static const char *id_of(int job)
{
	static char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%016x", job);
	return id;
}

/* Guards against jobs that are read in another order than they came in. */
static void test_order(void)
{
	struct job_deferred d = { 0 };

	for (int i = 0; i < 5; i++)
		job_deferred_add(&d, id_of(i), i ? "a" : "b");
	job_deferred_add(&d, id_of(0), "a");
	CU_ASSERT_EQUAL(d.count, 5);
	CU_ASSERT_EQUAL(job_deferred_waiting(&d, "a"), 4);
	CU_ASSERT_STRING_EQUAL(job_deferred_queue(&d, id_of(0)), "b");
	CU_ASSERT_STRING_EQUAL(job_deferred_next(&d, false), id_of(0));
	job_deferred_set_taken(&d, id_of(0), true);
	CU_ASSERT_STRING_EQUAL(job_deferred_next(&d, false), id_of(1));
	CU_ASSERT_PTR_NULL(job_deferred_next(&d, true));
	CU_ASSERT_TRUE(job_deferred_set_due(&d, id_of(3)));
	CU_ASSERT_FALSE(job_deferred_set_due(&d, id_of(7)));
	CU_ASSERT_STRING_EQUAL(job_deferred_next(&d, true), id_of(3));
	CU_ASSERT_EQUAL(job_deferred_waiting(&d, "a"), 3);
	job_deferred_set_taken(&d, id_of(0), false);
	CU_ASSERT_STRING_EQUAL(job_deferred_next(&d, false), id_of(0));
	job_deferred_remove(&d, id_of(3));
	CU_ASSERT_EQUAL(d.due, 0);
	CU_ASSERT_PTR_NULL(job_deferred_next(&d, true));
	job_deferred_free(&d);
}

/* Guards against a table that loses or keeps jobs as it grows and shrinks. */
static void test_many(void)
{
	struct job_deferred d = { 0 };
	struct rng r = { .state = 1 };
	static bool present[JOBS];
	uint32_t count = 0;

	for (int i = 0; i < 200000; i++) {
		int job = (int)rng_below(&r, JOBS);
		bool add = rng_below(&r, 100000) > (uint32_t)i / 2;

		if (add == present[job])
			continue;
		if (add)
			job_deferred_add(&d, id_of(job), "a");
		else
			job_deferred_remove(&d, id_of(job));
		present[job] = add;
		count += add ? 1 : -1;
		if (d.count != count)
			break;
	}
	CU_ASSERT_EQUAL(d.count, count);
	for (int i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(job_deferred_contains(&d, id_of(i)),
				present[i]);
	while (job_deferred_next(&d, false)) {
		char id[JOB_ID_BYTES];

		strcpy(id, job_deferred_next(&d, false));
		job_deferred_remove(&d, id);
		count--;
	}
	CU_ASSERT_EQUAL(count, 0);
	CU_ASSERT_EQUAL(d.count, 0);
	job_deferred_free(&d);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "order", test_order },
		{ "many", test_many },
	};

	return RUN_SUITE("job-deferred", tests);
}
