#include <string.h>

#include "sched-internal.h"
#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define ESTIMATE_MS 250u
#define ACTUAL_MS 600u

/* Adds a job of two steps whose estimates are less than half of the truth. */
static struct model_job *add_job(struct model *m, const char *queue)
{
	struct model_job *j =
		job_model_add_job(m, queue, 2, 4, CORES(2), 1000, ACTUAL_MS);

	j->spec.steps[0].estimate_ms = ESTIMATE_MS;
	j->spec.steps[1].estimate_ms = ESTIMATE_MS;
	job_model_submit(m, j);
	return j;
}

static const struct job *find(const struct model *m, const struct model_job *j)
{
	return sched_job_find(m->s, j->spec.id);
}

static uint64_t objective_ms(const struct job *j)
{
	return j->deadline_wall_ms - j->spec.accepted_wall_ms;
}

static bool within(uint64_t value, uint64_t expected, uint32_t percent)
{
	return value * 100 >= expected * (100 - percent) &&
	       value * 100 <= expected * (100 + percent);
}

/*
 * Load pattern: estimates that are wrong by a factor. Guards against jobs that
 * count as late by their estimates and fall behind a backlog.
 */
static void test_ratio_is_learnt(void)
{
	struct model *m = job_model_create(8, CORES(16), 64000);
	struct model_job *first, *last;
	const struct job *j;
	uint64_t chain_ms = 2 * ACTUAL_MS;

	job_model_run(m, 100);
	first = add_job(m, "urgent");
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(sched_remaining_ms(m->s, find(m, first)),
			2 * ESTIMATE_MS);
	for (int i = 0; i < 60; i++) {
		add_job(m, "urgent");
		job_model_run(m, 200);
	}
	job_model_run(m, 2000);
	last = add_job(m, "urgent");
	job_model_run(m, 50);
	j = find(m, last);
	CU_ASSERT(within(sched_remaining_ms(m->s, j), chain_ms, 15));
	CU_ASSERT(
		within(objective_ms(j),
		       j->queue.target_latency_ms +
			       (uint64_t)(j->queue.stretch * (double)chain_ms),
		       15));
	job_model_run(m, ACTUAL_MS + 50);
	CU_ASSERT(
		within(sched_remaining_ms(m->s, find(m, last)), ACTUAL_MS, 15));
	job_model_free(m);
}

/* Guards against the ratio of one queue that changes another queue's. */
static void test_queues_are_independent(void)
{
	struct model *m = job_model_create(8, CORES(16), 64000);
	struct model_job *other;

	job_model_run(m, 100);
	for (int i = 0; i < 30; i++) {
		add_job(m, "urgent");
		job_model_run(m, 200);
	}
	other = add_job(m, "batch");
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(sched_remaining_ms(m->s, find(m, other)),
			2 * ESTIMATE_MS);
	job_model_free(m);
}

/* Guards against an estimate of 0, which says nothing about a ratio. */
static void test_missing_estimate(void)
{
	struct model *m = job_model_create(4, CORES(16), 64000);
	struct model_job *model_job, *last;

	job_model_run(m, 100);
	for (int i = 0; i < 10; i++) {
		model_job = job_model_add_job(m, "urgent", 1, 2, CORES(1), 100,
					      300);
		model_job->spec.steps[0].estimate_ms = 0;
		job_model_submit(m, model_job);
		job_model_run(m, 400);
	}
	last = add_job(m, "urgent");
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(sched_remaining_ms(m->s, find(m, last)),
			2 * ESTIMATE_MS);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "ratio is learnt", test_ratio_is_learnt },
		{ "queues are independent", test_queues_are_independent },
		{ "missing estimate", test_missing_estimate },
	};

	return RUN_SUITE("sched-estimate", tests);
}
