#include <string.h>

#include "log.h"
#include "support-sched.h"
#include "support-unit.h"

/*
 * Workers that start again under their ids: entries, reports and changes of
 * owner in every order.
 */

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)
#define WORKERS 4
/* Two crashes under a task may fail its job, five losses do. */
#define RELEASES 6

/* What is learnt first of a worker's new incarnation. */
enum first { ENTRY_FIRST, REPORT_FIRST, NO_FORMER_ENTRY, FIRSTS };
/* When the owner changes during a release. */
enum owner_change { NO_CHANGE, BEFORE_RETURN, AFTER_ENTRY, CHANGES };

static struct model_worker *worker_of_run(struct model *m)
{
	for (uint32_t i = 0; i < m->worker_count; i++)
		if (m->workers[i].run_count)
			return &m->workers[i];
	return NULL;
}

static void leave(struct model *m, struct model_worker *w)
{
	job_model_crash_worker(m, w);
	w->restarts_us = 0;
	job_model_run(m, 2100);
}

static void come_back(struct model *m, struct model_worker *w)
{
	w->started_wall_ms = m->wall_ms;
	w->unresponsive = false;
	w->changed = true;
}

static void return_in_order(struct model *m, struct model_worker *w,
			    enum first first, enum owner_change change)
{
	uint64_t former = w->started_wall_ms;

	if (change == BEFORE_RETURN)
		job_model_fail_over(m);
	come_back(m, w);
	if (first == ENTRY_FIRST) {
		w->draining = false;
		w->mute = true;
	} else if (first == REPORT_FIRST) {
		w->entry_started_ms = former;
	} else {
		w->entry_expired = true;
	}
	job_model_run(m, 200);
	if (change == AFTER_ENTRY)
		job_model_fail_over(m);
	job_model_run(m, 200);
	w->mute = false;
	w->draining = false;
	w->entry_started_ms = 0;
	w->entry_expired = false;
	job_model_run(m, 300);
}

/*
 * Guards against a planned leave that counts as a crash of the worker, as its
 * next incarnation does not drain: the jobs that ran there are shown as failed.
 */
static void test_release_is_no_crash(void)
{
	for (int first = 0; first < FIRSTS; first++)
		for (int change = 0; change < CHANGES; change++) {
			struct model *m =
				job_model_create(WORKERS, CORES(8), GB(32));
			struct model_job *j = job_model_add_job(
				m, "batch", 1, 1, CORES(4), GB(1), 18000);

			job_model_run(m, 100);
			job_model_submit(m, j);
			for (int i = 0; i < RELEASES; i++) {
				struct model_worker *w;

				job_model_run(m, 200);
				w = worker_of_run(m);
				if (!w)
					break;
				w->draining = true;
				job_model_run(m, 500);
				leave(m, w);
				return_in_order(m, w, (enum first)first,
						(enum owner_change)change);
				CU_ASSERT_EQUAL(job_model_state(m, j),
						SCHED_JOB_RUNNING);
			}
			job_model_run(m, 28000);
			CU_ASSERT_EQUAL(job_model_state(m, j),
					SCHED_JOB_COMPLETED);
			CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
			CU_ASSERT_EQUAL(m->faults.restarts_after_done, 0);
			job_model_free(m);
		}
}

/* Guards against a drain that hides the crashes of the next incarnation. */
static void test_crash_after_release(void)
{
	struct model *m = job_model_create(WORKERS, CORES(8), GB(32));
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 1, CORES(4), GB(1), 18000);

	j->crashes_workers = true;
	j->crash_after_ms = 300;
	job_model_run(m, 100);
	for (uint32_t i = 0; i < m->worker_count; i++) {
		m->workers[i].draining = true;
		leave(m, &m->workers[i]);
		return_in_order(m, &m->workers[i], ENTRY_FIRST, NO_CHANGE);
	}
	job_model_submit(m, j);
	job_model_run(m, 60000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
	CU_ASSERT(j->crashes >= 2 && j->crashes <= 3);
	job_model_free(m);
}

/*
 * Guards against starts by the labels of an entry that a former incarnation has
 * written, and against stops of the runs of one that does not drain.
 */
static void test_nothing_by_former_entry(void)
{
	struct model *m = job_model_create(2, CORES(8), GB(32));
	struct model_worker *w = &m->workers[0];
	uint64_t former = w->started_wall_ms;
	uint32_t starts;
	struct model_job *j;

	job_model_run(m, 100);
	leave(m, w);
	come_back(m, w);
	w->entry_started_ms = former;
	job_model_run(m, 500);
	starts = w->starts;
	j = job_model_add_job(m, "batch", 1, 12, CORES(1), GB(1), 1000);
	strcpy(j->spec.steps[0].label, "a");
	job_model_submit(m, j);
	job_model_run(m, 2000);
	/* Its entry says "a", but is that of the former one. */
	CU_ASSERT_EQUAL(w->starts, starts);
	CU_ASSERT_EQUAL(m->workers[1].starts, 12);
	w->entry_started_ms = 0;
	job_model_run(m, 3000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/* The same for a task whose record is being stored as the report arrives. */
static void test_stored_while_restarting(void)
{
	struct model *m = job_model_create(1, CORES(8), GB(32));
	struct model_worker *w = &m->workers[0];
	uint64_t former = w->started_wall_ms;
	struct model_job *j;

	job_model_run(m, 100);
	m->store_delay_ms = 500;
	j = job_model_add_job(m, "batch", 1, 1, CORES(1), GB(1), 1000);
	job_model_submit(m, j);
	job_model_run(m, 100);
	job_model_crash_worker(m, w);
	w->restarts_us = 0;
	come_back(m, w);
	w->entry_started_ms = former;
	job_model_run(m, 1500);
	CU_ASSERT_EQUAL(w->starts, 0);
	w->entry_started_ms = 0;
	job_model_run(m, 4000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	CU_ASSERT_EQUAL(m->faults.unstored_starts, 0);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "release is no crash", test_release_is_no_crash },
		{ "crash after release", test_crash_after_release },
		{ "nothing by former entry", test_nothing_by_former_entry },
		{ "stored while restarting", test_stored_while_restarting },
	};

	log_set_level(LOG_ERROR);
	return RUN_SUITE("sched-incarnation", tests);
}
