#include <stdio.h>
#include <string.h>

#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

#define WORKERS 48u
#define SERVICES 4u
#define SERVICE_TASKS 48u
#define WAVES 6u
#define WAVE_INTERVAL_MS 7000u
/*
 * The platform expects a task of a service back 6 s after its last run, and
 * allows 3 s more with room for it.
 */
#define ABSENCE_MAX_MS 9000u
/*
 * It allows two more starts of a task after three workers have crashed under
 * it.
 */
#define CRASHES_ALLOWED 5u
/* It asks for finite jobs this long after the end of the traffic. */
#define FINISH_MS 14000u

struct wave_case {
	uint32_t spread_ms; /* from the first crash to the last */
	uint32_t percent;   /* of the workers crash */
	bool fail_over;	    /* the owner is lost just before the first crash */
	bool renamed;	    /* crashed workers are back under another id */
};

struct waves {
	struct model *m;
	const struct wave_case *c;
	struct rng rng;
};

static void add_services(struct model *m)
{
	for (uint32_t i = 0; i < SERVICES; i++) {
		struct model_job *j = job_model_add_job(
			m, "urgent", 1, SERVICE_TASKS, CORES(1), GB(1), 100);

		j->spec.steps[0].long_running = true;
		j->work_ms[0] = -1;
		job_model_submit(m, j);
	}
}

/*
 * Renames workers that start again in the next step: calls to the address of
 * the former incarnation are answered by another one then.
 */
static void rename_starting(struct waves *w)
{
	struct model *m = w->m;

	for (uint32_t i = 0; i < m->worker_count; i++) {
		struct model_worker *worker = &m->workers[i];

		if (!worker->restarts_us ||
		    m->now_us + MODEL_STEP_MS * 1000u < worker->restarts_us)
			continue;
		if (worker->handle != SCHED_NONE)
			sched_worker_dead(m->s, worker->handle, m->now_us);
		snprintf(worker->id, sizeof(worker->id), "w%u-%llu", i,
			 (unsigned long long)m->wall_ms);
	}
}

/* Runs the model, with traffic of finite jobs or without. */
static void run(struct waves *w, uint32_t ms, bool traffic)
{
	for (uint32_t t = 0; t < ms; t += MODEL_STEP_MS) {
		if (traffic && t % 250 == 0)
			job_model_submit(w->m,
					 job_model_add_job(w->m, "batch", 1, 6,
							   CORES(1), GB(1),
							   500 + t % 2500));
		if (w->c->renamed)
			rename_starting(w);
		job_model_run(w->m, MODEL_STEP_MS);
	}
}

static void crash_workers(struct waves *w)
{
	uint32_t n = WORKERS * w->c->percent / 100, order[WORKERS] = { 0 };

	for (uint32_t i = 0; i < WORKERS; i++) {
		uint32_t k = rng_below(&w->rng, i + 1);

		order[i] = order[k];
		order[k] = i;
	}
	for (uint32_t i = 0; i < n; i++) {
		job_model_crash_worker(w->m, &w->m->workers[order[i]]);
		run(w, w->c->spread_ms / n, true);
	}
}

static uint32_t service_tasks_running(const struct model *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->worker_count; i++)
		for (uint32_t k = 0; k < m->workers[i].run_count; k++)
			n += m->workers[i].runs[k].long_running;
	return n;
}

static bool has_run(const struct model *m, const struct model_job *j)
{
	for (uint32_t i = 0; i < m->worker_count; i++)
		for (uint32_t k = 0; k < m->workers[i].run_count; k++)
			if (!strncmp(m->workers[i].runs[k].task, j->spec.id,
				     strlen(j->spec.id)))
				return true;
	return false;
}

static void run_waves(const struct wave_case *c, uint32_t seed)
{
	struct model *m = job_model_create(WORKERS, CORES(16), GB(64));
	struct waves w = { .m = m, .c = c, .rng = { .state = seed } };
	uint32_t services, failed = 0, without_run = 0;

	job_model_run(m, 100);
	add_services(m);
	run(&w, 5000, true);
	for (uint32_t i = 0; i < WAVES; i++) {
		run(&w, WAVE_INTERVAL_MS - c->spread_ms, true);
		if (c->fail_over)
			job_model_fail_over(m);
		crash_workers(&w);
	}
	run(&w, ABSENCE_MAX_MS, false);
	services = service_tasks_running(m);
	run(&w, FINISH_MS - ABSENCE_MAX_MS, false);
	for (uint32_t i = 0; i < m->job_count; i++) {
		const struct model_job *j = &m->jobs[i];

		failed += job_model_state(m, j) == SCHED_JOB_FAILED;
		without_run += !j->completed_ms && !has_run(m, j);
	}
	printf("spread %u ms, %u%%, fail-over %d, renamed %d, seed %u: %u of "
	       "%u service tasks run, %u jobs without a run, %u failed\n",
	       c->spread_ms, c->percent, c->fail_over, c->renamed, seed,
	       services, SERVICES * SERVICE_TASKS, without_run, failed);
	CU_ASSERT_EQUAL(services, SERVICES * SERVICE_TASKS);
	CU_ASSERT_EQUAL(without_run, 0);
	CU_ASSERT_EQUAL(failed, 0);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/*
 * Load pattern: most workers crash within 1.5 s, again and again, for a cause
 * of their own. Guards against sound tasks that are suspected of it and wait in
 * a long line for a worker that starts nothing else.
 */
static void test_mass_crashes_hold_up_no_task(void)
{
	static const struct wave_case cases[] = {
		{ .spread_ms = 1500, .percent = 100 },
		{ .spread_ms = 1500, .percent = 100, .fail_over = true },
		{ .spread_ms = 1500, .percent = 100, .renamed = true },
		{ .spread_ms = 1500,
		  .percent = 100,
		  .fail_over = true,
		  .renamed = true },
		{ .spread_ms = 500, .percent = 50, .fail_over = true },
		{ .spread_ms = 1500,
		  .percent = 60,
		  .fail_over = true,
		  .renamed = true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		for (uint32_t seed = 1; seed <= 3; seed++)
			run_waves(&cases[i], seed);
}

/*
 * Load pattern: the same, and a task crashes each worker that starts it. Guards
 * against its crashes being taken for those of others.
 */
static void test_task_that_crashes_workers_beside_is_given_up(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		const struct wave_case c = { .spread_ms = 1500,
					     .percent = seed % 3 ? 100 : 40,
					     .fail_over = seed % 2,
					     .renamed = seed % 4 < 2 };
		struct model *m = job_model_create(WORKERS, CORES(16), GB(64));
		struct waves w = { .m = m, .c = &c, .rng = { .state = seed } };
		struct model_job *j;

		job_model_run(m, 100);
		add_services(m);
		run(&w, 3000, true);
		j = job_model_add_job(m, "urgent", 1, 6, CORES(1), GB(1), 900);
		j->crashes_workers = true;
		j->crash_index = 3;
		j->crash_after_ms = seed * 40;
		job_model_submit(m, j);
		for (uint32_t i = 0; i < WAVES; i++) {
			if (c.fail_over)
				job_model_fail_over(m);
			crash_workers(&w);
			run(&w, WAVE_INTERVAL_MS - c.spread_ms, true);
		}
		printf("seed %u: %u crashes\n", seed, j->crashes);
		CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
		CU_ASSERT(j->crashes >= 2 && j->crashes <= CRASHES_ALLOWED);
		job_model_free(m);
	}
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "mass crashes hold up no task",
		  test_mass_crashes_hold_up_no_task },
		{ "task that crashes workers meanwhile is given up",
		  test_task_that_crashes_workers_beside_is_given_up },
	};

	return RUN_SUITE("sched-mass-crash", tests);
}
