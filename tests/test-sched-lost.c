#include <stdio.h>
#include <string.h>

#include "sched-internal.h"
#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)
#define LAPSES 12u
#define WORKERS 40u

/* What happens to the other workers while one after another goes silent. */
struct disturbance {
	uint32_t fail_overs;  /* owners that are lost after each silence */
	uint32_t restarts;    /* of other workers, in all, ... */
	uint32_t after;	      /* ... once so many have gone silent */
	uint32_t new_workers; /* that join then */
};

static struct model_job *submit_service(struct model *m)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(2), 60000);

	j->spec.steps[0].long_running = true;
	j->work_ms[0] = -1;
	job_model_submit(m, j);
	return j;
}

static struct model_worker *runner(struct model *m)
{
	for (uint32_t i = 0; i < m->worker_count; i++)
		if (m->workers[i].run_count && !m->workers[i].unresponsive)
			return &m->workers[i];
	return NULL;
}

static struct model_worker *await_runner(struct model *m)
{
	for (uint32_t t = 0; t < 30000 && !runner(m); t += MODEL_STEP_MS)
		job_model_run(m, MODEL_STEP_MS);
	return runner(m);
}

/* Crashes sound workers that run nothing, the last ones first. */
static void restart_idle(struct model *m, uint32_t count)
{
	for (uint32_t i = m->worker_count; i-- > 0 && count;) {
		struct model_worker *w = &m->workers[i];

		if (w->run_count || w->unresponsive)
			continue;
		job_model_crash_worker(m, w);
		count--;
	}
}

static void add_workers(struct model *m, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct model_worker *w = &m->workers[m->worker_count++];

		snprintf(w->id, sizeof(w->id), "new%u", m->worker_count);
		w->capacity.cpu_milli = CORES(16);
		w->capacity.memory_mb = GB(64);
		w->started_wall_ms = m->wall_ms;
		w->speed = 1;
	}
}

static void run_disturbance(const struct disturbance *d)
{
	struct model *m = job_model_create(WORKERS, CORES(16), GB(64));
	struct model_job *j;
	uint32_t lapses;

	job_model_run(m, 100);
	j = submit_service(m);
	for (lapses = 0; lapses < LAPSES; lapses++) {
		struct model_worker *w = await_runner(m);

		if (!w)
			break;
		job_model_run(m, 30);
		w->unresponsive = true;
		w->entry_expired = true;
		if (lapses == d->after) {
			restart_idle(m, d->restarts);
			add_workers(m, d->new_workers);
		}
		for (uint32_t i = 0; i < d->fail_overs; i++) {
			job_model_run(m, 1500);
			job_model_fail_over(m);
		}
	}
	printf("fail-overs %u, restarts %u after %u, new %u: %u lapses\n",
	       d->fail_overs, d->restarts, d->after, d->new_workers, lapses);
	CU_ASSERT_EQUAL(lapses, LAPSES);
	job_model_run(m, 12000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_RUNNING);
	CU_ASSERT_PTR_NOT_NULL(runner(m));
	CU_ASSERT_EQUAL(j->crashes_under[0], 0);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/*
 * Load pattern: workers go silent one after another, each with the run of a
 * service, and owners change. Guards against a service that is shown as failed
 * because workers that never ran it have started meanwhile.
 */
static void test_starts_of_other_workers_fail_no_service(void)
{
	static const struct disturbance cases[] = {
		{ .restarts = 6, .after = 4 },
		{ .new_workers = 6, .after = 4 },
		{ .fail_overs = 1, .restarts = 1, .after = 4 },
		{ .fail_overs = 1, .restarts = 2, .after = 4 },
		{ .fail_overs = 2, .restarts = 1, .after = 4 },
		{ .fail_overs = 3, .restarts = 1, .after = 4 },
		{ .fail_overs = 1, .new_workers = 1, .after = 4 },
		{ .fail_overs = 1, .new_workers = 3, .after = 4 },
		{ .fail_overs = 2, .new_workers = 1, .after = 4 },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		run_disturbance(&cases[i]);
}

/* The worker's next incarnation answers a call that names the former one. */
static void restart_at_address(struct model *m, struct model_worker *w,
			       bool renamed)
{
	uint64_t next_us = m->now_us + MODEL_STEP_MS * 1000;
	uint32_t former = sched_find_worker(m->s, w->id);

	if (!w->restarts_us || next_us < w->restarts_us)
		return;
	sched_worker_dead(m->s, former, m->now_us);
	w->entry_expired = false;
	if (!renamed)
		return;
	sched_worker_unlisted(m->s, former, m->now_us);
	snprintf(w->id, sizeof(w->id), "again%u", former);
	w->started_wall_ms = m->wall_ms + MODEL_STEP_MS;
}

/* Silent workers crash in turn, 17 s after they were heard last. */
static void run_late_crashes(bool renamed)
{
	struct model *m = job_model_create(WORKERS, CORES(16), GB(64));
	uint64_t crash_us[LAPSES] = { 0 };
	struct model_worker *silent[LAPSES] = { NULL };
	struct model_job *j;
	uint32_t lapses = 0, crashed = 0;

	job_model_run(m, 100);
	j = submit_service(m);
	for (uint32_t t = 0; t < 150000 && lapses < LAPSES;
	     t += MODEL_STEP_MS) {
		struct model_worker *w = runner(m);

		if (w && w->runs[0].age_ms >= 30) {
			w->unresponsive = true;
			w->entry_expired = true;
			silent[lapses] = w;
			crash_us[lapses++] = m->now_us + 17000000;
		}
		if (crashed < lapses && m->now_us >= crash_us[crashed])
			job_model_crash_worker(m, silent[crashed++]);
		for (uint32_t i = 0; i < crashed; i++)
			restart_at_address(m, silent[i], renamed);
		job_model_run(m, MODEL_STEP_MS);
	}
	CU_ASSERT_EQUAL(lapses, LAPSES);
	CU_ASSERT(crashed >= 8);
	CU_ASSERT_EQUAL(j->crashes_under[0], 0);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_RUNNING);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/*
 * Load pattern: workers go silent with a run of a service and crash long after
 * its lease; their next incarnations, under the same id or another one, are
 * found at their addresses. Guards against a service that is shown as failed
 * though it ran under none of the crashes.
 */
static void test_crashes_after_lapses_fail_no_service(void)
{
	run_late_crashes(false);
	run_late_crashes(true);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "crashes after lapses fail no service",
		  test_crashes_after_lapses_fail_no_service },
		{ "starts of other workers fail no service",
		  test_starts_of_other_workers_fail_no_service },
	};

	return RUN_SUITE("sched-lost", tests);
}
