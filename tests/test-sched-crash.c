#include <stdio.h>
#include <string.h>

#include "sched-internal.h"
#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/*
 * The platform allows two more starts of a task after three workers have
 * crashed under it.
 */
#define CRASHES_ALLOWED 5u

/* Services on all workers, and a stream of urgent jobs. */
struct load {
	struct model *m;
	struct model_job *service;
	uint32_t first_urgent;
};

static void begin_load(struct load *l, uint32_t workers)
{
	l->m = job_model_create(workers, CORES(16), GB(64));
	job_model_run(l->m, 100);
	l->service = job_model_add_job(l->m, "urgent", 1, workers * 2, CORES(4),
				       GB(4), 100);
	l->service->spec.steps[0].long_running = true;
	l->service->work_ms[0] = -1;
	job_model_submit(l->m, l->service);
	job_model_run(l->m, 3000);
	l->first_urgent = l->m->job_count;
}

/* Adds urgent jobs to the load, every 250 ms. */
static void run_load(struct load *l, uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += 250) {
		job_model_submit(l->m, job_model_add_job(l->m, "urgent", 1, 3,
							 CORES(1), GB(1),
							 300 + t % 1700));
		job_model_run(l->m, 250);
	}
}

static struct model_job *add_crashing_job(struct load *l, double after_ms)
{
	struct model_job *j = job_model_add_job(l->m, "urgent", 1, 6, CORES(1),
						GB(1), after_ms + 600);

	j->crashes_workers = true;
	j->crash_index = 3;
	j->crash_after_ms = after_ms;
	job_model_submit(l->m, j);
	return j;
}

/* All jobs but the given one are done or running. */
static void expect_others_sound(struct load *l,
				const struct model_job *crashing)
{
	struct model *m = l->m;
	uint32_t failed = 0, open = 0, services = 0;

	job_model_run(m, 12000);
	for (uint32_t i = 0; i < m->job_count; i++) {
		const struct model_job *j = &m->jobs[i];

		if (j == crashing)
			continue;
		failed += job_model_state(m, j) == SCHED_JOB_FAILED;
		open += j != l->service && !j->completed_ms;
	}
	for (uint32_t i = 0; i < m->worker_count; i++)
		for (uint32_t k = 0; k < m->workers[i].run_count; k++)
			services += m->workers[i].runs[k].long_running;
	CU_ASSERT_EQUAL(failed, 0);
	CU_ASSERT_EQUAL(open, 0);
	CU_ASSERT_EQUAL(services, l->service->spec.steps[0].count);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
}

/*
 * Load pattern: a task crashes each worker 10 ms after its start. Guards
 * against a task that takes down worker after worker, and against sound tasks
 * that are given up because they ran beside it.
 */
static void test_task_that_crashes_workers_is_given_up(void)
{
	static const uint32_t sizes[] = { 2, 6, 24 };

	for (int i = 0; i < 3; i++) {
		struct model_job *j;
		struct load l;

		begin_load(&l, sizes[i]);
		run_load(&l, 1000);
		j = add_crashing_job(&l, 10);
		run_load(&l, 30000);
		CU_ASSERT_EQUAL(job_model_state(l.m, j), SCHED_JOB_FAILED);
		CU_ASSERT(j->crashes >= 2 && j->crashes <= CRASHES_ALLOWED);
		printf("%u workers: %u crashes\n", sizes[i], j->crashes);
		expect_others_sound(&l, j);
		job_model_free(l.m);
	}
}

/* The same with a task that runs for seconds before the crash. */
static void test_task_that_crashes_workers_late_is_given_up(void)
{
	struct model_job *j;
	struct load l;

	begin_load(&l, 12);
	run_load(&l, 1000);
	j = add_crashing_job(&l, 3000);
	run_load(&l, 60000);
	CU_ASSERT_EQUAL(job_model_state(l.m, j), SCHED_JOB_FAILED);
	CU_ASSERT(j->crashes >= 2 && j->crashes <= CRASHES_ALLOWED);
	printf("%u crashes\n", j->crashes);
	expect_others_sound(&l, j);
	job_model_free(l.m);
}

/* Guards against crashes that a successor of the owner does not know of. */
static void test_crashes_are_counted_across_failover(void)
{
	struct model_job *j;
	uint32_t seen = 0;
	struct load l;

	begin_load(&l, 12);
	run_load(&l, 1000);
	j = add_crashing_job(&l, 10);
	for (int i = 0; i < 200; i++) {
		run_load(&l, 250);
		if (j->crashes == seen)
			continue;
		/* The owner is lost right after the worker. */
		seen = j->crashes;
		job_model_fail_over(l.m);
	}
	CU_ASSERT_EQUAL(job_model_state(l.m, j), SCHED_JOB_FAILED);
	CU_ASSERT(j->crashes >= 2 && j->crashes <= CRASHES_ALLOWED);
	printf("%u crashes\n", j->crashes);
	expect_others_sound(&l, j);
	job_model_free(l.m);
}

/*
 * Load pattern: workers crash by themselves, some of them again and again.
 * Guards against sound tasks that are given up for it.
 */
static void test_crashing_workers_fail_no_job(void)
{
	struct load l;

	begin_load(&l, 24);
	for (int i = 0; i < 80; i++) {
		struct model_worker *w = &l.m->workers[i % 3 * 5];

		if (!w->restarts_us)
			job_model_crash_worker(l.m, w);
		if (i == 40)
			for (int k = 8; k < 16; k++)
				job_model_crash_worker(l.m, &l.m->workers[k]);
		run_load(&l, 500);
	}
	expect_others_sound(&l, NULL);
	job_model_free(l.m);
}

static bool was_under_crashes(const struct model_job *j, uint32_t crashes)
{
	for (uint32_t i = 0; i < MODEL_RUNS_MAX; i++)
		if (j->crashes_under[i] >= crashes)
			return true;
	return false;
}

/*
 * Load pattern: many workers crash within a second, so that lost tasks are
 * started on workers that have crashed as well and never run there. Guards
 * against jobs that fail though no task was under two crashes.
 */
static void test_starts_that_never_ran_are_not_counted(void)
{
	for (uint32_t seed = 0; seed < 8; seed++) {
		uint32_t unfounded = 0;
		struct load l;

		begin_load(&l, 24);
		run_load(&l, 1000);
		for (uint32_t wave = 0; wave < 60; wave++) {
			for (uint32_t i = 0; i < 3; i++) {
				uint32_t n = (wave * 5 + i * 7 + seed * 3) % 24;

				if (!l.m->workers[n].restarts_us)
					job_model_crash_worker(
						l.m, &l.m->workers[n]);
			}
			run_load(&l, 250);
		}
		job_model_run(l.m, 8000);
		for (uint32_t i = 0; i < l.m->job_count; i++) {
			const struct model_job *j = &l.m->jobs[i];

			unfounded +=
				job_model_state(l.m, j) == SCHED_JOB_FAILED &&
				!was_under_crashes(j, 2);
		}
		CU_ASSERT_EQUAL(unfounded, 0);
		job_model_free(l.m);
	}
}

/* The worker that runs the only task of the job, or NULL. */
static struct model_worker *runner_of(struct model *m,
				      const struct model_job *j)
{
	for (uint32_t i = 0; i < m->worker_count; i++)
		for (uint32_t k = 0; k < m->workers[i].run_count; k++)
			if (!strncmp(m->workers[i].runs[k].task, j->spec.id,
				     strlen(j->spec.id)))
				return &m->workers[i];
	return NULL;
}

static struct model_job *submit_task(struct model *m, bool finite)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(2), 60000);

	j->spec.steps[0].long_running = !finite;
	if (!finite)
		j->work_ms[0] = -1;
	job_model_submit(m, j);
	return j;
}

/* The platform lists it no longer, and it hears nobody, but it runs. */
static void silence(struct model_worker *w)
{
	w->unresponsive = true;
	w->entry_expired = true;
}

static void end_silence(struct model_worker *w)
{
	w->unresponsive = false;
	w->entry_expired = false;
}

/* Runs the model until the task runs anew, for at most 30 s. */
static struct model_worker *await_start(struct model *m,
					const struct model_job *j,
					const struct model_worker *former)
{
	for (uint32_t t = 0; t < 30000; t += MODEL_STEP_MS) {
		struct model_worker *w = runner_of(m, j);

		if (w && w != former)
			return w;
		job_model_run(m, MODEL_STEP_MS);
	}
	return NULL;
}

struct silence_case {
	uint32_t age_ms;  /* of the run, when its worker becomes silent */
	uint32_t back_ms; /* after that time it is heard again; 0: never */
	bool fail_over;	  /* the owner is lost 100 ms later */
	bool crashes;	  /* just before it is heard again */
	bool finite;	  /* a task of a minute instead of a service */
};

static void run_silences(const struct silence_case *c)
{
	struct model *m = job_model_create(20, CORES(16), GB(64));
	struct model_worker *w = NULL, *silent[20];
	uint64_t since_us[20];
	uint32_t n = 0, back = 0, lapses;
	struct model_job *j;

	job_model_run(m, 100);
	j = submit_task(m, c->finite);
	for (lapses = 0; lapses < 12; lapses++) {
		w = await_start(m, j, w);
		if (!w)
			break;
		job_model_run(m, c->age_ms);
		silence(w);
		silent[n] = w;
		since_us[n++] = m->now_us;
		if (c->fail_over) {
			job_model_run(m, 100);
			job_model_fail_over(m);
		}
		while (c->back_ms && back < n &&
		       m->now_us >= since_us[back] + c->back_ms * 1000ull) {
			if (c->crashes)
				job_model_crash_worker(m, silent[back]);
			end_silence(silent[back++]);
		}
	}
	CU_ASSERT_EQUAL(lapses, 12);
	job_model_run(m, 12000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_RUNNING);
	CU_ASSERT_PTR_NOT_NULL(runner_of(m, j));
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/*
 * Load pattern: each worker goes silent just after the start of a service, is
 * unlisted, and lives. Guards against a service that is shown as failed though
 * its runs have only lapsed.
 */
static void test_silent_workers_fail_no_service(void)
{
	static const struct silence_case cases[] = {
		{ .age_ms = 30 },
		{ .age_ms = 300 },
		{ .age_ms = 900 },
		{ .age_ms = 3000 },
		{ .age_ms = 30, .back_ms = 9000 },
		{ .age_ms = 300, .back_ms = 20000 },
		{ .age_ms = 30, .fail_over = true },
		{ .age_ms = 300, .fail_over = true, .back_ms = 9000 },
		{ .age_ms = 30, .back_ms = 17000, .crashes = true },
		{ .age_ms = 30, .finite = true },
		{ .age_ms = 300, .back_ms = 9000, .finite = true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		run_silences(&cases[i]);
}

/* Ends or begins silences and crashes of workers, as drawn. */
static void disturb(struct model *m, struct rng *r, uint64_t *heard_us)
{
	for (uint32_t i = 0; i < m->worker_count; i++) {
		struct model_worker *w = &m->workers[i];

		if (!heard_us[i] || m->now_us < heard_us[i])
			continue;
		heard_us[i] = 0;
		end_silence(w);
		if (rng_below(r, 4) == 0)
			job_model_crash_worker(m, w);
	}
	for (uint32_t n = rng_below(r, 3); n; n--) {
		uint32_t i = rng_below(r, m->worker_count);
		struct model_worker *w = &m->workers[i];

		if (heard_us[i] || w->restarts_us)
			continue;
		silence(w);
		heard_us[i] = m->now_us + (2000 + rng_below(r, 9000)) * 1000ull;
	}
}

/*
 * Load pattern: workers are silent for 2 to 11 s, some crash behind that,
 * owners change. Guards against jobs that fail though no task was under two
 * crashes.
 */
static void test_silence_and_crashes_fail_no_sound_job(void)
{
	for (uint32_t seed = 1; seed <= 8; seed++) {
		uint64_t heard_us[24] = { 0 };
		struct rng r = { .state = seed };
		uint32_t unfounded = 0;
		struct load l;

		begin_load(&l, 24);
		for (uint32_t t = 0; t < 240; t++) {
			disturb(l.m, &r, heard_us);
			run_load(&l, 250);
			if (seed % 2 && t % 20 == 0)
				job_model_fail_over(l.m);
		}
		for (uint32_t i = 0; i < l.m->job_count; i++) {
			const struct model_job *j = &l.m->jobs[i];

			unfounded +=
				job_model_state(l.m, j) == SCHED_JOB_FAILED &&
				!was_under_crashes(j, 2);
		}
		CU_ASSERT_EQUAL(unfounded, 0);
		CU_ASSERT_EQUAL(l.m->faults.duplicate_runs, 0);
		job_model_free(l.m);
	}
}

static struct model_fate lose_starts(struct model *m,
				     const struct sched_order *o)
{
	(void)m;
	return (struct model_fate){ .outcome = o->type == SCHED_START
						       ? MODEL_LOST
						       : MODEL_EXECUTED };
}

/*
 * Load pattern: owners are lost one after another, each before its start of a
 * service reaches the worker, which is sound. Guards against a service that is
 * shown as failed though no worker has crashed.
 */
static void test_starts_of_lost_owners_fail_no_service(void)
{
	struct model *m = job_model_create(20, CORES(16), GB(64));
	struct model_job *j;

	job_model_run(m, 100);
	m->fate = lose_starts;
	j = submit_task(m, false);
	for (int i = 0; i < 12; i++) {
		job_model_run(m, 200);
		job_model_fail_over(m);
	}
	m->fate = NULL;
	job_model_run(m, 9000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_RUNNING);
	CU_ASSERT_PTR_NOT_NULL(runner_of(m, j));
	job_model_free(m);
}

/*
 * Load pattern: a worker crashes under a service, which then runs on for longer
 * than a run that a crash has ended; later its owner changes. Guards against a
 * successor that counts the crashes that the service has outlived.
 */
static void test_outlived_crashes_are_not_inherited(void)
{
	struct model *m = job_model_create(20, CORES(16), GB(64));
	struct model_worker *w = NULL;
	struct model_job *j;
	uint32_t crashes;

	job_model_run(m, 100);
	j = submit_task(m, false);
	for (crashes = 0; crashes < 8; crashes++) {
		w = await_start(m, j, w);
		if (!w)
			break;
		job_model_run(m, 7000);
		job_model_fail_over(m);
		job_model_run(m, 200);
		job_model_crash_worker(m, w);
	}
	CU_ASSERT_EQUAL(crashes, 8);
	job_model_run(m, 9000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_RUNNING);
	CU_ASSERT_PTR_NOT_NULL(runner_of(m, j));
	job_model_free(m);
}

struct unseen_case {
	uint32_t back_ms; /* the crashed worker isn't heard for so long */
	bool unlisted;	  /* ... nor listed */
	bool fail_over;	  /* the owner is lost with each worker */
	bool renamed;	  /* crashed workers are back under another id */
	uint32_t silent;  /* so many other workers are silent meanwhile */
};

/*
 * Workers that start again in the next step do so under another id. Calls to
 * their address that name the former incarnation are refused; an owner that has
 * never read the former entry does not know the address.
 */
static void rename_restarting(struct model *m)
{
	uint64_t next_us = m->now_us + MODEL_STEP_MS * 1000;

	for (uint32_t i = 0; i < m->worker_count; i++) {
		struct model_worker *w = &m->workers[i];
		uint32_t former = sched_find_worker(m->s, w->id);

		if (!w->restarts_us || next_us < w->restarts_us ||
		    next_us < w->heard_again_us)
			continue;
		if (former != SCHED_NONE) {
			if (m->s->workers[former].announced_wall_ms)
				sched_worker_dead(m->s, former, m->now_us);
			sched_worker_unlisted(m->s, former, m->now_us);
		}
		w->started_wall_ms = m->wall_ms + MODEL_STEP_MS -
				     (next_us - w->restarts_us) / 1000;
		snprintf(w->id, sizeof(w->id), "w%u-%llu", i,
			 (unsigned long long)w->started_wall_ms);
		w->entry_expired = false;
	}
}

static void run_unseen_crashes(const struct unseen_case *c)
{
	struct model *m = job_model_create(24, CORES(16), GB(64));
	struct model_job *j;
	uint32_t seen = 0;

	m->unseen_ms = c->back_ms;
	job_model_run(m, 100);
	for (uint32_t i = 0; i < c->silent; i++)
		silence(&m->workers[i]);
	j = submit_task(m, false);
	j->crashes_workers = true;
	j->crash_index = 0;
	j->crash_after_ms = 10;
	for (uint32_t t = 0; t < 120000; t += MODEL_STEP_MS) {
		job_model_run(m, MODEL_STEP_MS);
		for (uint32_t i = c->silent; i < m->worker_count; i++)
			m->workers[i].entry_expired =
				c->unlisted && m->workers[i].restarts_us;
		if (c->renamed)
			rename_restarting(m);
		if (j->crashes == seen)
			continue;
		seen = j->crashes;
		if (c->fail_over)
			job_model_fail_over(m);
	}
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
	CU_ASSERT(j->crashes >= 2 && j->crashes <= CRASHES_ALLOWED);
	printf("back after %u ms, unlisted %d, fail-over %d, renamed %d: "
	       "%u crashes\n",
	       c->back_ms, c->unlisted, c->fail_over, c->renamed, j->crashes);
	job_model_free(m);
}

/*
 * Load pattern: a task crashes its workers behind a cut, so that their owner
 * only learns of it when they are back, and its leases are over before. Guards
 * against a task that goes on crashing workers.
 */
static void test_unseen_crashes_are_counted(void)
{
	static const struct unseen_case cases[] = {
		{ .back_ms = 3000, .unlisted = true },
		{ .back_ms = 8000 },
		{ .back_ms = 8000, .unlisted = true },
		{ .back_ms = 12000, .unlisted = true },
		{ .back_ms = 20000, .unlisted = true, .silent = 4 },
		{ .back_ms = 20000 },
		{ .back_ms = 3000, .unlisted = true, .fail_over = true },
		{ .back_ms = 3000, .fail_over = true, .silent = 4 },
		{ .back_ms = 8000, .fail_over = true },
		{ .back_ms = 8000, .unlisted = true, .renamed = true },
		{ .back_ms = 3000,
		  .unlisted = true,
		  .fail_over = true,
		  .renamed = true },
		{ .back_ms = 8000,
		  .unlisted = true,
		  .fail_over = true,
		  .renamed = true },
		{ .back_ms = 12000,
		  .unlisted = true,
		  .fail_over = true,
		  .renamed = true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++)
		run_unseen_crashes(&cases[i]);
}

/*
 * Guards against a gang that never starts again, because its members may not
 * start beside each other.
 */
static void test_gang_starts_again_after_crash(void)
{
	struct model *m = job_model_create(2, CORES(16), GB(64));
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 8, CORES(2), GB(2), 1500);

	j->spec.steps[0].gang = true;
	job_model_run(m, 100);
	job_model_submit(m, j);
	job_model_run(m, 100);
	CU_ASSERT_EQUAL(job_model_running(m), 8);
	job_model_crash_worker(m, &m->workers[0]);
	job_model_crash_worker(m, &m->workers[1]);
	job_model_run(m, 8000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "task that crashes workers is given up",
		  test_task_that_crashes_workers_is_given_up },
		{ "task that crashes workers late is given up",
		  test_task_that_crashes_workers_late_is_given_up },
		{ "crashes are counted across failover",
		  test_crashes_are_counted_across_failover },
		{ "starts that never ran are not counted",
		  test_starts_that_never_ran_are_not_counted },
		{ "silent workers fail no service",
		  test_silent_workers_fail_no_service },
		{ "silence and crashes fail no sound job",
		  test_silence_and_crashes_fail_no_sound_job },
		{ "starts of lost owners fail no service",
		  test_starts_of_lost_owners_fail_no_service },
		{ "outlived crashes are not inherited",
		  test_outlived_crashes_are_not_inherited },
		{ "unseen crashes are counted",
		  test_unseen_crashes_are_counted },
		{ "gang starts again after crash",
		  test_gang_starts_again_after_crash },
		{ "crashing workers fail no job",
		  test_crashing_workers_fail_no_job },
	};

	return RUN_SUITE("sched-crash", tests);
}
