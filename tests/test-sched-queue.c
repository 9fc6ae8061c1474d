#include <string.h>

#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

static void drop_batch_queue(struct model *m, bool dropped)
{
	m->batch_dropped = dropped;
	job_model_policy(m);
}

/* Records of earlier versions contain no policy. */
static struct model_job *add_job_without_policy(struct model *m, uint32_t steps,
						double work_ms)
{
	struct model_job *j = job_model_add_job(m, "batch", steps, 1, CORES(1),
						GB(1), work_ms);

	memset(&j->spec.policy, 0, sizeof(j->spec.policy));
	return j;
}

static void end_check(struct model *m)
{
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	CU_ASSERT_EQUAL(m->faults.unstored_starts, 0);
	CU_ASSERT_EQUAL(m->faults.restarts_after_done, 0);
	job_model_free(m);
}

/*
 * Guards against accepted jobs whose next step never starts, because a
 * successor does not know the policy of a queue that was removed.
 */
static void test_steps_go_on_after_fail_over(void)
{
	struct model *m = job_model_create(3, CORES(8), GB(32));
	struct model_job *j =
		job_model_add_job(m, "batch", 2, 2, CORES(1), GB(1), 3000);

	job_model_run(m, 100);
	job_model_submit(m, j);
	job_model_run(m, 500);
	drop_batch_queue(m, true);
	job_model_run(m, 500);
	job_model_fail_over(m);
	job_model_run(m, 8000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	end_check(m);
}

/* Guards against a job of a removed queue that is given up too early. */
static void test_attempts_go_on_after_fail_over(void)
{
	struct model *m = job_model_create(3, CORES(8), GB(32));
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 1, CORES(1), GB(1), 1000);

	job_model_run(m, 100);
	job_model_submit(m, j);
	job_model_run(m, 500);
	drop_batch_queue(m, true);
	for (uint32_t i = 0; i < 3; i++)
		m->workers[i].failing = true;
	job_model_fail_over(m);
	job_model_run(m, 10000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
	CU_ASSERT_EQUAL(m->starts, 3);
	end_check(m);
}

/*
 * Guards against a job that never starts because its entry VM has accepted it
 * shortly before it received the configuration without the queue.
 */
static void test_queue_removed_before_job_is_received(void)
{
	struct model *m = job_model_create(3, CORES(8), GB(32));
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 2, CORES(1), GB(1), 500);

	job_model_run(m, 100);
	drop_batch_queue(m, true);
	job_model_submit(m, j);
	job_model_run(m, 3000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	end_check(m);
}

/* Guards against a job that is given up while its policy is not known. */
static void test_job_without_policy_waits_for_queue(void)
{
	struct model *m = job_model_create(3, CORES(8), GB(32));
	struct model_job *j = add_job_without_policy(m, 1, 1000);

	job_model_run(m, 100);
	job_model_submit(m, j);
	job_model_run(m, 500);
	drop_batch_queue(m, true);
	for (uint32_t i = 0; i < 3; i++)
		m->workers[i].failing = true;
	job_model_fail_over(m);
	job_model_run(m, 8000);
	CU_ASSERT_EQUAL(m->starts, 1);
	CU_ASSERT(job_model_state(m, j) < SCHED_JOB_COMPLETED);
	for (uint32_t i = 0; i < 3; i++)
		m->workers[i].failing = false;
	drop_batch_queue(m, false);
	job_model_run(m, 8000);
	CU_ASSERT_EQUAL(m->starts, 2);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	end_check(m);
}

/*
 * Guards against a fourth start where the third failure was counted while the
 * limit was not known, before and after a change of the owner.
 */
static void check_attempts_counted_without_policy(bool fail_over)
{
	struct model *m = job_model_create(3, CORES(8), GB(32));
	struct model_job *j = add_job_without_policy(m, 1, 1000);

	job_model_run(m, 100);
	for (uint32_t i = 0; i < 3; i++)
		m->workers[i].failing = true;
	job_model_submit(m, j);
	for (int i = 0; i < 1000 && m->starts < 3; i++)
		job_model_run(m, MODEL_STEP_MS);
	CU_ASSERT_EQUAL_FATAL(m->starts, 3);
	drop_batch_queue(m, true);
	job_model_fail_over(m);
	job_model_run(m, 2000);
	CU_ASSERT(job_model_state(m, j) < SCHED_JOB_COMPLETED);
	if (fail_over) {
		m->batch_dropped = false;
		job_model_fail_over(m);
	} else {
		drop_batch_queue(m, false);
	}
	job_model_run(m, 3000);
	CU_ASSERT_EQUAL(m->starts, 3);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
	end_check(m);
}

static void test_attempts_counted_without_policy(void)
{
	check_attempts_counted_without_policy(false);
	check_attempts_counted_without_policy(true);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "steps go on after fail-over",
		  test_steps_go_on_after_fail_over },
		{ "attempts go on after fail-over",
		  test_attempts_go_on_after_fail_over },
		{ "queue removed before job is received",
		  test_queue_removed_before_job_is_received },
		{ "job without policy waits for queue",
		  test_job_without_policy_waits_for_queue },
		{ "attempts counted without policy",
		  test_attempts_counted_without_policy },
	};

	return RUN_SUITE("sched-queue", tests);
}
