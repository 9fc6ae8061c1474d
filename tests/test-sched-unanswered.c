#include <string.h>

#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/* Fates of the orders of a test, by their number among orders of a type. */
struct script {
	struct model_fate starts[8];
	struct model_fate stops[8];
	struct model_fate throttles[8];
	uint32_t start_count;
	uint32_t stop_count;
	uint32_t throttle_count;
	uint32_t starts_at_draining;
	uint32_t first_worker; /* handle of the worker of the first start */
};

static bool is_draining(const struct model *m, uint32_t handle)
{
	for (uint32_t i = 0; i < m->worker_count; i++)
		if (m->workers[i].handle == handle)
			return m->workers[i].draining;
	return false;
}

static struct model_fate scripted(struct model *m, const struct sched_order *o)
{
	struct script *script = m->fate_arg;

	if (o->type == SCHED_START) {
		script->starts_at_draining += is_draining(m, o->worker);
		if (!script->start_count)
			script->first_worker = o->worker;
		return script->starts[script->start_count++ % 8];
	}
	if (o->type == SCHED_THROTTLE)
		return script->throttles[script->throttle_count++ % 8];
	return script->stops[script->stop_count++ % 8];
}

static struct model *create_model(uint32_t workers, struct script *script)
{
	struct model *m = job_model_create(workers, CORES(16), GB(64));

	m->fate = scripted;
	m->fate_arg = script;
	m->stop_ms = 200;
	job_model_run(m, 100);
	return m;
}

static struct model_job *submit_task(struct model *m, double work_ms)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(2), work_ms);

	job_model_submit(m, j);
	return j;
}

static void expect_no_faults(const struct model *m)
{
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	CU_ASSERT_EQUAL(m->faults.restarts_after_done, 0);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	CU_ASSERT_EQUAL(m->faults.unstored_starts, 0);
}

static void check_refused_repetition(enum sched_result refusal)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LATE, .late_ms = 2500 },
			    { .outcome = MODEL_REFUSED, .result = refusal } },
	};
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 4000);

	job_model_run(m, 12000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	CU_ASSERT_EQUAL(job_model_running(m), 0);
	expect_no_faults(m);
	job_model_free(m);
}

/*
 * Guards against a second run of a task whose first start had no answer and was
 * carried out after its repetition had been refused.
 */
static void test_refused_repetition_leaves_first_copy(void)
{
	check_refused_repetition(SCHED_UNHEALTHY);
	check_refused_repetition(SCHED_NO_CAPACITY);
	check_refused_repetition(SCHED_LEASE_EXPIRED);
	check_refused_repetition(SCHED_INVALID);
}

/* Guards against a wait for copies that do not exist. */
static void test_refused_first_copy_is_placed_at_once(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_REFUSED,
			      .result = SCHED_UNHEALTHY } },
	};
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 300);

	job_model_run(m, 600);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	CU_ASSERT_EQUAL(script.stop_count, 0);
	expect_no_faults(m);
	job_model_free(m);
}

/*
 * Guards against a stop that counts as carried out although the worker refused
 * it: the run that it is for begins later.
 */
static void test_refused_stop_is_repeated(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LATE, .late_ms = 2500 },
			    { .outcome = MODEL_REFUSED,
			      .result = SCHED_UNHEALTHY } },
		.stops = { { .outcome = MODEL_REFUSED,
			     .result = SCHED_UNHEALTHY },
			   { .outcome = MODEL_REFUSED,
			     .result = SCHED_INVALID } },
	};
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 4000);

	job_model_run(m, 12000);
	CU_ASSERT(script.stop_count >= 3);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	expect_no_faults(m);
	job_model_free(m);
}

/* Guards against a cancelled job of which a late start runs on. */
static void test_cancelled_job_has_no_late_run(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LATE, .late_ms = 2500 } },
		.stops = { { .outcome = MODEL_REFUSED,
			     .result = SCHED_UNHEALTHY } },
	};
	struct model *m = create_model(1, &script);
	struct model_job *j = submit_task(m, 20000);

	job_model_run(m, 100);
	sched_cancel(m->s, j->spec.id, m->now_us, m->wall_ms);
	job_model_run(m, 3000);
	CU_ASSERT_EQUAL(job_model_running(m), 0);
	CU_ASSERT_EQUAL(m->starts, 0);
	job_model_free(m);
}

/*
 * Guards against a start that is repeated at a worker that drains: it would
 * begin after the worker has told the platform that it leaves.
 */
static void test_start_is_not_repeated_at_draining_worker(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LOST }, { MODEL_LOST } },
	};
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 300);

	job_model_run(m, 200);
	CU_ASSERT_EQUAL(script.start_count, 1);
	for (uint32_t i = 0; i < 2; i++)
		m->workers[i].draining = i == script.first_worker;
	job_model_run(m, 2500);
	CU_ASSERT_EQUAL(script.starts_at_draining, 0);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	expect_no_faults(m);
	job_model_free(m);
}

/* As above, for a task whose record is stored while its worker drains. */
static void test_stored_task_is_not_started_at_draining_worker(void)
{
	struct script script = { .starts = { { .outcome = MODEL_EXECUTED } } };
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 300);

	m->store_delay_ms = 1000;
	job_model_run(m, 200);
	CU_ASSERT_EQUAL(script.start_count, 0);
	m->workers[0].draining = true;
	job_model_run(m, 5000);
	CU_ASSERT_EQUAL(script.starts_at_draining, 0);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	m->workers[0].draining = false;
	m->workers[1].draining = true;
	j = submit_task(m, 300);
	job_model_run(m, 200);
	m->workers[0].draining = true;
	m->workers[1].draining = false;
	job_model_run(m, 5000);
	CU_ASSERT_EQUAL(script.starts_at_draining, 0);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/*
 * Guards against a start's answer that confirms the stop ordered after it: a
 * report from before the run began then seems to show that it is gone.
 */
static void test_answer_to_start_does_not_confirm_stop(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_SLOW, .late_ms = 100 } },
		.stops = { { MODEL_LOST }, { MODEL_LOST }, { MODEL_LOST } },
	};
	struct sched_report before_run = { .started_wall_ms = 1000 };
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 4000);
	struct model_worker *w;

	while (!script.start_count)
		job_model_run(m, MODEL_STEP_MS);
	w = &m->workers[script.first_worker];
	w->mute = true;
	w->draining = true;
	job_model_run(m, 50);
	before_run.requested_us = m->now_us;
	job_model_run(m, 100);
	CU_ASSERT_EQUAL(m->starts, 1);
	sched_report(m->s, w->handle, &before_run, m->now_us, m->wall_ms);
	w->mute = false;
	job_model_run(m, 12000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	expect_no_faults(m);
	job_model_free(m);
}

/*
 * A worker restarts and receives the start of a task before it is asked for its
 * first report. by_entry: its entry tells of the restart before that.
 */
static void check_start_at_new_incarnation(enum model_outcome outcome,
					   bool by_entry)
{
	struct script script = { .starts = { { .outcome = outcome } } };
	struct model *m = create_model(2, &script);
	struct model_job *j;

	for (uint32_t i = 0; i < 2; i++) {
		m->workers[i].mute = true;
		m->workers[i].entry_started_ms = m->workers[i].started_wall_ms;
		m->workers[i].started_wall_ms += 5000;
	}
	j = submit_task(m, 3000);
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(m->starts, 1);
	for (uint32_t i = 0; i < 2; i++) {
		m->workers[i].entry_started_ms *= !by_entry;
		m->workers[i].mute = by_entry;
	}
	job_model_run(m, 50);
	for (uint32_t i = 0; i < 2; i++) {
		m->workers[i].entry_started_ms = 0;
		m->workers[i].mute = false;
	}
	job_model_run(m, 8000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	expect_no_faults(m);
	job_model_free(m);
}

/*
 * Guards against a second run of a task that the new incarnation of its worker
 * runs already when the scheduler notices the restart.
 */
static void test_start_at_new_incarnation_is_kept(void)
{
	check_start_at_new_incarnation(MODEL_EXECUTED, false);
	check_start_at_new_incarnation(MODEL_EXECUTED, true);
	check_start_at_new_incarnation(MODEL_ANSWER_LOST, false);
	check_start_at_new_incarnation(MODEL_ANSWER_LOST, true);
}

/*
 * Guards against a start without an answer that the new incarnation executes
 * after its first report, when the task has been placed elsewhere.
 */
static void test_start_under_way_at_restart_is_given_up(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LATE, .late_ms = 1500 } },
	};
	struct model *m = create_model(2, &script);
	struct model_job *j = submit_task(m, 3000);

	while (!script.start_count)
		job_model_run(m, MODEL_STEP_MS);
	m->workers[script.first_worker].started_wall_ms += 5000;
	job_model_run(m, 10000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	expect_no_faults(m);
	job_model_free(m);
}

/* Guards against workers that refuse all stops and get one each round trip. */
static void test_refused_stops_are_paced(void)
{
	struct script script = {
		.starts = { { .outcome = MODEL_LATE, .late_ms = 60000 },
			    { .outcome = MODEL_REFUSED,
			      .result = SCHED_UNHEALTHY } },
	};
	struct model *m = create_model(2, &script);

	for (int i = 0; i < 8; i++)
		script.stops[i] =
			(struct model_fate){ .outcome = MODEL_REFUSED,
					     .result = SCHED_UNHEALTHY };
	submit_task(m, 300);
	job_model_run(m, 3000);
	CU_ASSERT(script.stop_count >= 5);
	CU_ASSERT(script.stop_count <= 40);
	expect_no_faults(m);
	job_model_free(m);
}

/* ---- late throttle orders ---- */

/* Slowdown of services by batch tasks, for a share of 1 of the CPU. */
static double slope_now;

static double slope(const char *service, const char *batch)
{
	(void)service;
	(void)batch;
	return slope_now;
}

static struct model_job *submit_service(struct model *m)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(4), GB(2), -1);

	j->spec.steps[0].long_running = true;
	j->spec.steps[0].target_ms = 100;
	strcpy(j->spec.steps[0].image, "service");
	job_model_submit(m, j);
	return j;
}

static struct model_job *submit_batch(struct model *m, double work_ms)
{
	struct model_job *j =
		job_model_add_job(m, "batch", 1, 1, CORES(8), GB(2), work_ms);

	j->spec.steps[0].best_effort = true;
	strcpy(j->spec.steps[0].image, "batch");
	job_model_submit(m, j);
	return j;
}

/* Guards against a task that a late order halts after it was resumed. */
static void test_task_halted_by_late_order_is_resumed(void)
{
	struct script script = {
		.throttles = { { .outcome = MODEL_LATE, .late_ms = 3000 } },
	};
	struct model *m = create_model(1, &script);
	struct model_job *service = submit_service(m), *batch;

	m->slope = slope;
	slope_now = 0;
	job_model_run(m, 200);
	batch = submit_batch(m, 20000);
	job_model_run(m, 14000);
	slope_now = 20;
	while (script.throttle_count < 2)
		job_model_run(m, MODEL_STEP_MS);
	job_model_run(m, 100);
	sched_cancel(m->s, service->spec.id, m->now_us, m->wall_ms);
	job_model_run(m, 10000);
	CU_ASSERT(script.throttle_count >= 3);
	CU_ASSERT_EQUAL(job_model_state(m, batch), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/*
 * Guards against a halted task that a late order resumes while a service above
 * its target runs beside it.
 */
static void test_task_resumed_by_late_order_is_halted(void)
{
	struct script script = {
		.throttles = { { .outcome = MODEL_EXECUTED },
			       { .outcome = MODEL_LATE, .late_ms = 5000 } },
	};
	struct model *m = create_model(1, &script);
	struct model_job *service = submit_service(m);

	m->slope = slope;
	slope_now = 0;
	job_model_run(m, 200);
	submit_batch(m, 40000);
	job_model_run(m, 30000);
	slope_now = 80;
	while (!script.throttle_count)
		job_model_run(m, MODEL_STEP_MS);
	job_model_run(m, 100);
	sched_cancel(m->s, service->spec.id, m->now_us, m->wall_ms);
	while (script.throttle_count < 3)
		job_model_run(m, MODEL_STEP_MS);
	submit_service(m);
	job_model_run(m, 12000);
	CU_ASSERT(script.throttle_count >= 4);
	CU_ASSERT_EQUAL(m->faults.target_violations, 0);
	job_model_free(m);
}

/* ---- crashes ---- */

/* Half of the starts are late, the repetitions refused, all stops lost. */
static struct model_fate late_and_refused(struct model *m,
					  const struct sched_order *o)
{
	struct script *script = m->fate_arg;

	if (o->type != SCHED_START)
		return (struct model_fate){ .outcome = MODEL_LOST };
	if (script->start_count++ % 2)
		return (struct model_fate){ .outcome = MODEL_REFUSED,
					    .result = SCHED_UNHEALTHY };
	return (struct model_fate){ .outcome = MODEL_LATE, .late_ms = 600 };
}

/* Crashed workers never return, and the platform no longer lists them. */
static void remove_crashed_workers(struct model *m)
{
	for (uint32_t i = 0; i < m->worker_count; i++) {
		if (!m->workers[i].restarts_us)
			continue;
		m->workers[i].restarts_us = UINT64_MAX;
		m->workers[i].entry_expired = true;
	}
}

/*
 * Guards against a task that crashes worker after worker, since its start had
 * been given up before it was carried out and crashed the worker.
 */
static void test_crashes_by_given_up_starts_are_counted(void)
{
	struct script script = { .start_count = 0 };
	struct model *m = create_model(16, &script);
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(2), 5000);

	m->fate = late_and_refused;
	j->crashes_workers = true;
	j->crash_after_ms = 50;
	job_model_submit(m, j);
	for (int i = 0; i < 1200; i++) {
		job_model_run(m, 100);
		remove_crashed_workers(m);
	}
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_FAILED);
	CU_ASSERT(j->crashes >= 2);
	CU_ASSERT(j->crashes <= 5);
	job_model_free(m);
}

/* ---- random orders ---- */

struct disorder {
	uint32_t late_percent;
	uint32_t lost_percent;
	uint32_t refused_percent; /* at the workers that refuse any */
	uint32_t refusing_workers;
};

static const enum sched_result refusals[] = { SCHED_UNHEALTHY, SCHED_UNHEALTHY,
					      SCHED_NO_CAPACITY };

static struct model_fate random_fate(struct model *m,
				     const struct sched_order *o)
{
	const struct disorder *d = m->fate_arg;
	uint32_t draw = rng_below(&m->rng, 100);

	if (draw < d->late_percent)
		return (struct model_fate){ .outcome = MODEL_LATE,
					    .late_ms = 2000 + rng_below(&m->rng,
									4000) };
	draw -= d->late_percent;
	if (draw < d->lost_percent)
		return (struct model_fate){
			.outcome = draw % 2 ? MODEL_LOST : MODEL_ANSWER_LOST
		};
	if (o->worker < d->refusing_workers &&
	    rng_below(&m->rng, 100) < d->refused_percent)
		return (struct model_fate){
			.outcome = MODEL_REFUSED,
			.result = o->type == SCHED_START
					  ? refusals[rng_below(&m->rng, 3)]
					  : SCHED_UNHEALTHY,
		};
	return (struct model_fate){ .outcome = MODEL_EXECUTED };
}

static void check_disorder(uint64_t seed, struct disorder *d)
{
	struct model *m = job_model_create(8, CORES(16), GB(64));
	uint32_t open = 0;

	m->rng.state = seed;
	m->fate = random_fate;
	m->fate_arg = d;
	m->stop_ms = 200;
	job_model_run(m, 100);
	for (int i = 0; i < 40; i++) {
		struct model_job *j = job_model_add_job(
			m, "urgent", 1 + i % 2, 4, CORES(2), GB(2),
			200 + rng_below(&m->rng, 2500));

		job_model_submit(m, j);
		job_model_run(m, 250);
		if (i % 7 == 3)
			sched_cancel(m->s, j->spec.id, m->now_us, m->wall_ms);
		if (i % 10 == 5)
			m->workers[i / 10].draining = true;
		if (i % 10 == 9)
			m->workers[i / 10].draining = false;
	}
	job_model_run(m, 30000);
	for (uint32_t i = 0; i < m->job_count; i++) {
		enum sched_job_state state = job_model_state(m, &m->jobs[i]);

		open += state != SCHED_JOB_COMPLETED &&
			state != SCHED_JOB_CANCELLED;
	}
	if (m->faults.duplicate_runs || m->faults.restarts_after_done || open)
		printf("seed=%llu late=%u refused=%u duplicates=%u again=%u "
		       "open=%u\n",
		       (unsigned long long)seed, d->late_percent,
		       d->refused_percent, m->faults.duplicate_runs,
		       m->faults.restarts_after_done, open);
	CU_ASSERT_EQUAL(open, 0);
	CU_ASSERT_EQUAL(job_model_running(m), 0);
	expect_no_faults(m);
	job_model_free(m);
}

/*
 * Load pattern: for seconds, half of the orders have no answer and are carried
 * out late, beside workers that refuse some. Guards against two runs of a task
 * and against tasks that are never placed again.
 */
static void test_late_orders_beside_refusing_workers(void)
{
	for (uint64_t seed = 1; seed <= 20; seed++) {
		struct disorder few = { 6, 2, 40, 1 };
		struct disorder many = { 50, 5, 50, 3 };

		check_disorder(seed, &few);
		check_disorder(seed, &many);
	}
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "refused repetition leaves first copy",
		  test_refused_repetition_leaves_first_copy },
		{ "refused first copy is placed at once",
		  test_refused_first_copy_is_placed_at_once },
		{ "refused stop is repeated", test_refused_stop_is_repeated },
		{ "cancelled job has no late run",
		  test_cancelled_job_has_no_late_run },
		{ "start is not repeated at draining worker",
		  test_start_is_not_repeated_at_draining_worker },
		{ "stored task is not started at draining worker",
		  test_stored_task_is_not_started_at_draining_worker },
		{ "answer to start does not confirm stop",
		  test_answer_to_start_does_not_confirm_stop },
		{ "start at new incarnation is kept",
		  test_start_at_new_incarnation_is_kept },
		{ "start under way at restart is given up",
		  test_start_under_way_at_restart_is_given_up },
		{ "refused stops are paced", test_refused_stops_are_paced },
		{ "task halted by late order is resumed",
		  test_task_halted_by_late_order_is_resumed },
		{ "task resumed by late order is halted",
		  test_task_resumed_by_late_order_is_halted },
		{ "crashes by given-up starts are counted",
		  test_crashes_by_given_up_starts_are_counted },
		{ "late orders beside refusing workers",
		  test_late_orders_beside_refusing_workers },
	};

	return RUN_SUITE("sched-unanswered", tests);
}
