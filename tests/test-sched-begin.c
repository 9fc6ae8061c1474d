#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "support-sched.h"
#include "support-unit.h"

/*
 * Memory of jobs with more tasks than can run. The owner's VM has 160 MB at the
 * least: 32 MB of it are for clients, 40 MB for workers and messages.
 */

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)
#define MB (1000u * 1000u)
#define MEMORY_MAX (88u * MB)
#define TASKS_WIDE 4096u

static uint64_t allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (uint64_t)info.uordblks + info.hblkhd;
}

/* Runs the model and returns the memory that was added at the most. */
static uint64_t run_and_measure(struct model *m, uint32_t ms, uint64_t before)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < ms; i += 100) {
		uint64_t now;

		job_model_run(m, 100);
		now = allocated();
		if (now > before && now - before > most)
			most = now - before;
	}
	return most;
}

static void check_faults(const struct model *m)
{
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	CU_ASSERT_EQUAL(m->faults.restarts_after_done, 0);
	CU_ASSERT_EQUAL(m->faults.unstored_starts, 0);
	CU_ASSERT_EQUAL(m->faults.early_starts, 0);
}

static struct model_job *add_wide(struct model *m)
{
	return job_model_add_job(m, "batch", 1, TASKS_WIDE, CORES(1), 100,
				 1000);
}

static struct model_job *add_small(struct model *m)
{
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 2, CORES(1), 100, 500);

	job_model_submit(m, j);
	return j;
}

/* A job of 4,000 occurrences of 300 tasks, all of them due. */
static struct model_job *add_overdue(struct model *m)
{
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 300, CORES(1), 100, 1000);

	j->spec.repetitions = 4000;
	j->spec.first_wall_ms = m->wall_ms - 4000 * 60000ull;
	j->spec.interval_ms = 60000;
	return j;
}

/*
 * Guards against an owner, and each of its successors, that exceeds its memory
 * as all due occurrences of a job are begun at once; the jobs of others would
 * not run any more.
 */
static void test_due_occurrences(void)
{
	struct model *m = job_model_create(6, CORES(32), GB(125));
	uint64_t before = allocated(), most;
	struct model_job *small;

	job_model_run(m, 100);
	job_model_submit(m, add_overdue(m));
	small = add_small(m);
	most = run_and_measure(m, 5000, before);
	CU_ASSERT_EQUAL(job_model_state(m, small), SCHED_JOB_COMPLETED);
	CU_ASSERT(m->starts > 192 * 3);
	job_model_fail_over(m);
	small = add_small(m);
	before = allocated();
	most += run_and_measure(m, 5000, before);
	CU_ASSERT_EQUAL(job_model_state(m, small), SCHED_JOB_COMPLETED);
	CU_ASSERT(m->starts > 192 * 7);
	printf("most=%llu MB ", (unsigned long long)most / MB);
	CU_ASSERT(most <= MEMORY_MAX);
	check_faults(m);
	job_model_free(m);
}

/* The same for many jobs with many tasks. */
static void test_wide_jobs(void)
{
	struct model *m = job_model_create(6, CORES(32), GB(125));
	uint64_t before = allocated(), most;
	struct model_job *small;

	job_model_run(m, 100);
	for (int i = 0; i < 300; i++)
		job_model_submit(m, add_wide(m));
	small = add_small(m);
	most = run_and_measure(m, 12000, before);
	printf("most=%llu MB ", (unsigned long long)most / MB);
	CU_ASSERT(most <= MEMORY_MAX);
	CU_ASSERT(m->starts > 192 * 9);
	CU_ASSERT_EQUAL(job_model_state(m, small), SCHED_JOB_COMPLETED);
	job_model_fail_over(m);
	most = run_and_measure(m, 12000, before);
	CU_ASSERT(most <= MEMORY_MAX);
	/* They are past their objective, a new job is not. */
	small = add_small(m);
	job_model_run(m, 3000);
	CU_ASSERT_EQUAL(job_model_state(m, small), SCHED_JOB_COMPLETED);
	check_faults(m);
	job_model_free(m);
}

/*
 * Guards against jobs that keep others out of the memory for tasks: their own
 * fit on no worker.
 */
static void test_jobs_that_fit_nowhere(void)
{
	struct model *m = job_model_create(12, CORES(32), GB(125));
	struct model_job *jobs[3];

	job_model_run(m, 100);
	for (int i = 0; i < 20; i++) {
		struct model_job *j = add_wide(m);

		strcpy(j->spec.steps[0].label, "none");
		job_model_submit(m, j);
	}
	for (int i = 0; i < 300; i++) {
		struct model_job *j = job_model_add_job(m, "urgent", 1, 500,
							CORES(1), 100, 1000);

		strcpy(j->spec.steps[0].label, "none");
		job_model_submit(m, j);
	}
	for (int i = 0; i < 3; i++) {
		jobs[i] = job_model_add_job(m, "batch", 1, i ? 1000 : 100,
					    CORES(1), 100, 500);
		job_model_submit(m, jobs[i]);
	}
	job_model_run(m, 10000);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(job_model_state(m, jobs[i]),
				SCHED_JOB_COMPLETED);
	check_faults(m);
	job_model_free(m);
}

/* Guards against jobs that ended early and keep the memory of their tasks. */
static void test_cancelled_jobs(void)
{
	struct model *m = job_model_create(6, CORES(32), GB(125));
	struct model_job *last;
	struct sched_stats st;

	job_model_run(m, 100);
	for (int i = 0; i < 40; i++) {
		struct model_job *j = add_wide(m);

		job_model_submit(m, j);
		job_model_run(m, 50);
		sched_cancel(m->s, j->spec.id, m->now_us, m->wall_ms);
	}
	job_model_run(m, 2000);
	sched_stats(m->s, &st);
	CU_ASSERT_EQUAL(st.tasks_held, 0);
	CU_ASSERT(st.jobs_bytes < 40 * 1000);
	last = job_model_add_job(m, "batch", 1, 2000, CORES(1), 100, 100);
	job_model_submit(m, last);
	job_model_run(m, 4000);
	CU_ASSERT_EQUAL(job_model_state(m, last), SCHED_JOB_COMPLETED);
	check_faults(m);
	job_model_free(m);
}

/*
 * Guards against the loss of occurrences that were parked, or listed in a
 * record before any of their tasks ran, through changes of owner.
 */
static void test_occurrences_complete(void)
{
	struct model *m = job_model_create(24, CORES(32), GB(125));
	struct model_job *jobs[2];

	job_model_run(m, 100);
	for (int i = 0; i < 2; i++) {
		jobs[i] = job_model_add_job(m, "batch", 2, i ? 300 : 3,
					    CORES(1), 100, 100);
		jobs[i]->spec.repetitions = i ? 40 : 60;
		jobs[i]->spec.first_wall_ms = m->wall_ms - 60 * 60000ull;
		jobs[i]->spec.interval_ms = 60000;
		job_model_submit(m, jobs[i]);
	}
	for (int i = 0; i < 8; i++) {
		job_model_run(m, 1000);
		job_model_fail_over(m);
	}
	job_model_run(m, 30000);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(job_model_state(m, jobs[i]),
				SCHED_JOB_COMPLETED);
	CU_ASSERT(m->starts >= 40 * 600 + 60 * 6);
	check_faults(m);
	job_model_free(m);
}

/*
 * Guards against a bound that jobs of an ordinary deployment reach after
 * crashes of its workers: pending jobs do not run, whatever room there is.
 */
static void test_many_open_jobs(void)
{
	struct model *m = job_model_create(20, CORES(32), GB(125));
	struct sched_stats st;

	job_model_run(m, 100);
	for (int i = 0; i < 1900; i++)
		job_model_submit(m, job_model_add_job(m, "batch", 2, 20,
						      CORES(1), 100, 5000));
	job_model_run(m, 100);
	sched_stats(m->s, &st);
	CU_ASSERT_EQUAL(st.jobs_pending, 0);
	CU_ASSERT_EQUAL(st.tasks_held, 1900 * 40);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "due occurrences", test_due_occurrences },
		{ "wide jobs", test_wide_jobs },
		{ "jobs that fit nowhere", test_jobs_that_fit_nowhere },
		{ "cancelled jobs", test_cancelled_jobs },
		{ "occurrences complete", test_occurrences_complete },
		{ "many open jobs", test_many_open_jobs },
	};

	log_set_level(LOG_ERROR);
	return RUN_SUITE("sched-begin", tests);
}
