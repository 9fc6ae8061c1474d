#include <string.h>

#include "support-unit.h"
#include "support-workers.h"

#define SECOND_US 1000000u
#define START_US (100u * SECOND_US)

static struct sim_workers workers;
static struct sim_worker *worker;
static struct buffer out;

static void setup(void)
{
	json_t *vms = json_pack("[{s:s,s:s,s:s,s:i,s:i}]", "id", "w", "role",
				"worker", "address", "a", "cpu_milli", 4000,
				"memory_mb", 1000);

	sim_init(&workers, 2 * SECOND_US, 1);
	sim_update_workers(&workers, vms, "a");
	worker = sim_find_worker(&workers, "w");
	sim_step(&workers, START_US);
	json_decref(vms);
}

static void teardown(void)
{
	sim_free(&workers);
	buffer_free(&out);
}

static int start_task(const char *task, uint64_t fence, int attempt,
		      const char *spec)
{
	json_t *body = json_pack("{s:i,s:i,s:i,s:i,s:s}", "attempt", attempt,
				 "cpu_milli", 1000, "memory_mb", 400,
				 "lease_ms", 10000, "spec", spec);
	int status =
		sim_start(&workers, worker, task, fence, body, START_US, &out);

	json_decref(body);
	buffer_reset(&out);
	return status;
}

/* A former owner must not start, stop or renew tasks. */
static void test_fencing(void)
{
	setup();
	CU_ASSERT_EQUAL(start_task("t", 7, 1, ""), 201);
	CU_ASSERT_EQUAL(start_task("u", 6, 1, ""), 409);
	CU_ASSERT_EQUAL(sim_stop(&workers, worker, "t", 6, -1, &out), 409);
	CU_ASSERT_EQUAL(sim_list_tasks(&workers, worker, 8, &out), 200);
	CU_ASSERT_EQUAL(sim_renew(&workers, worker, 7, NULL, START_US, &out),
			409);
	CU_ASSERT_EQUAL(sim_stop(&workers, worker, "t", 8, -1, &out), 200);
	teardown();
}

/* An attempt must not run twice if a start is retried after a lost answer. */
static void test_attempt_runs_once(void)
{
	setup();
	CU_ASSERT_EQUAL(start_task("t", 1, 1, "run_ms=1000"), 201);
	CU_ASSERT_EQUAL(start_task("t", 1, 1, "run_ms=1000"), 200);
	CU_ASSERT_EQUAL(start_task("t", 1, 2, "run_ms=1000"), 409);
	sim_step(&workers, START_US + 2 * SECOND_US);
	CU_ASSERT_EQUAL(worker->tasks->state, SIM_DONE);
	CU_ASSERT_EQUAL(start_task("t", 1, 1, "run_ms=1000"), 409);
	CU_ASSERT_EQUAL(start_task("t", 1, 2, "run_ms=1000"), 201);
	CU_ASSERT_EQUAL(sim_stop(&workers, worker, "x", 1, 4, &out), 404);
	CU_ASSERT_EQUAL(start_task("x", 1, 4, ""), 409);
	teardown();
}

/* A done task must not be reported absent when a stop's answer is lost. */
static void test_done_stays_listed(void)
{
	setup();
	start_task("t", 1, 1, "run_ms=1000");
	sim_step(&workers, START_US + 2 * SECOND_US);
	CU_ASSERT_EQUAL(sim_stop(&workers, worker, "t", 1, -1, &out), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "\"state\":\"done\""));
	buffer_reset(&out);
	sim_list_tasks(&workers, worker, 1, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "\"state\":\"done\""));
	teardown();
}

/* A task must expire when its lease is not renewed. */
static void test_lease_expiry(void)
{
	json_t *body = json_pack("{s:i,s:[s,s]}", "lease_ms", 10000, "tasks",
				 "t", "other");

	setup();
	start_task("t", 1, 1, "run_ms=60000");
	sim_step(&workers, START_US + 9 * SECOND_US);
	sim_renew(&workers, worker, 1, body, START_US + 9 * SECOND_US, &out);
	CU_ASSERT_STRING_EQUAL(out.data, "{\"missing\":[\"other\"]}");
	sim_step(&workers, START_US + 18 * SECOND_US);
	CU_ASSERT_EQUAL(worker->tasks->state, SIM_RUNNING);
	sim_step(&workers, START_US + 19 * SECOND_US);
	CU_ASSERT_EQUAL(worker->tasks->state, SIM_EXPIRED);
	json_decref(body);
	teardown();
}

/* A task must be slowed by others on its worker, and only by them. */
static void test_interference(void)
{
	double alone, shared;

	setup();
	start_task("s", 1, 1, "service=1 kind=cache cpu=1000 mem=100");
	sim_step(&workers, START_US + SECOND_US);
	alone = worker->tasks->slowdown;
	start_task("b", 1, 1, "kind=stream cpu=2000 mem=100");
	sim_step(&workers, START_US + 2 * SECOND_US);
	shared = worker->tasks->next->slowdown;
	CU_ASSERT_DOUBLE_EQUAL(alone, 1, 0.0001);
	CU_ASSERT(shared > 1.3);
	teardown();
}

/* Usage must not be published before the configured lag has passed. */
static void test_report_lag(void)
{
	setup();
	start_task("t", 1, 1, "run_ms=60000");
	sim_step(&workers, START_US + SECOND_US);
	sim_usage(&workers, START_US + 2 * SECOND_US, &out);
	CU_ASSERT_PTR_NULL(strstr(out.data, "\"t\""));
	buffer_reset(&out);
	sim_usage(&workers, START_US + 3 * SECOND_US, &out);
	CU_ASSERT_PTR_NOT_NULL(strstr(out.data, "\"t\""));
	teardown();
}

static const struct unit_test tests[] = {
	{ "fencing tokens", test_fencing },
	{ "each attempt runs once", test_attempt_runs_once },
	{ "a done task stays listed", test_done_stays_listed },
	{ "task leases", test_lease_expiry },
	{ "interference", test_interference },
	{ "usage report lag", test_report_lag },
};

int main(void)
{
	return RUN_SUITE("fake-workers", tests);
}
