#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "support-jobs-fixture.h"
#include "support-unit.h"

#define WORKERS 2
#define JOB_C_PATH "/forms/00000000000000cc"
#define LATE_MS 2000
/* With so little CPU an owner calls no worker itself. */
#define RELAYED_CPU_MILLI 1
#define RELAYED_SETTLE_MS 2200

#define ONE_TASK                                               \
	"{\"specification\":\"text\",\"steps\":[{\"count\":1," \
	"\"cpu\":1000,\"memory-request-mb\":100,\"estimated-ms\":100}]}"

static const struct worker_faults no_faults;
static const struct worker_faults all_late = { .late_percent = 100,
					       .late_ms = LATE_MS };
static const struct worker_faults all_refused = { .refuse_percent = 100 };

static void set_up(struct jobs_fixture *f, uint32_t task_ms)
{
	memset(f, 0, sizeof(*f));
	f->entry_count = 2;
	f->start_interval_ms = 400;
	f->task_ms = task_ms;
	jobs_fixture_start(f);
	jobs_fixture_set_queue_host(f);
}

static void set_faults(struct jobs_fixture *f, const struct worker_faults *to)
{
	for (int i = 0; i < WORKERS; i++)
		jobs_platform_set_worker_faults(f->platform, i, to);
}

static void submit(struct jobs_fixture *f, const char *path, const char *body)
{
	CU_ASSERT_EQUAL_FATAL(jobs_fixture_request(f, 0, "POST", path, body),
			      200);
}

/* Waits for the first order to start a task and returns its worker. */
static int wait_for_start_order(struct jobs_fixture *f)
{
	for (int t = 0; t < 200; t++) {
		for (int i = 0; i < WORKERS; i++)
			if (jobs_platform_start_orders(f->platform, i))
				return i;
		jobs_fixture_run(f, 10);
	}
	CU_FAIL_FATAL("no start was ordered");
	return 0;
}

static bool wait_for_refusal(struct jobs_fixture *f, int worker, uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += 10) {
		if (jobs_platform_refused(f->platform, worker))
			return true;
		jobs_fixture_run(f, 10);
	}
	return false;
}

static void tear_down(struct jobs_fixture *f)
{
	CU_ASSERT_EQUAL(jobs_platform_starts_while_draining(f->platform), 0);
	CU_ASSERT_EQUAL(jobs_platform_unreported_ends(f->platform), 0);
	jobs_fixture_tear_down(f);
}

static void check_refused_repetition(const struct worker_faults *refusal)
{
	struct jobs_fixture f;
	int worker;

	set_up(&f, 4000);
	set_faults(&f, &all_late);
	submit(&f, JOB_A_PATH, ONE_TASK);
	worker = wait_for_start_order(&f);
	set_faults(&f, &no_faults);
	jobs_platform_set_worker_faults(f.platform, worker, refusal);
	CU_ASSERT(wait_for_refusal(&f, worker, 1000));
	jobs_fixture_run(&f, 500);
	set_faults(&f, &no_faults);
	/* A second run would begin while the late order still waits. */
	jobs_fixture_run(&f, LATE_MS + 500);
	CU_ASSERT_EQUAL(jobs_platform_late_orders(f.platform, worker), 0);
	CU_ASSERT_EQUAL(jobs_platform_duplicate_runs(f.platform), 0);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 8000));
	tear_down(&f);
}

/*
 * Guards against a second run of a task whose first start had no answer and is
 * carried out after its repetition was refused with 429 or 503.
 */
static void test_repetition_refused(void)
{
	check_refused_repetition(&all_refused);
}

/* The same for a worker that refuses the repetition for want of room. */
static void test_repetition_without_room(void)
{
	struct worker_faults no_room = { .no_room_percent = 100 };

	check_refused_repetition(&no_room);
}

/*
 * Guards against a refused stop that counts as carried out: the late start of a
 * cancelled job would run.
 */
static void test_stop_refused(void)
{
	struct worker_faults refused_stops = { .refuse_percent = 100,
					       .stops_only = true };
	struct jobs_fixture f;
	int worker;

	set_up(&f, 4000);
	set_faults(&f, &all_late);
	submit(&f, JOB_A_PATH, ONE_TASK);
	worker = wait_for_start_order(&f);
	set_faults(&f, &refused_stops);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 1, "DELETE", JOB_A_PATH, NULL),
			200);
	CU_ASSERT(wait_for_refusal(&f, worker, 1500));
	set_faults(&f, &no_faults);
	jobs_fixture_run(&f, LATE_MS + 300);
	CU_ASSERT_EQUAL(jobs_platform_late_orders(f.platform, worker), 0);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 0);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 0);
	tear_down(&f);
}

/*
 * Guards against a start that is repeated at a worker whose entry has said for
 * longer than 2 s that it drains.
 */
static void test_worker_drains_with_start_under_way(void)
{
	struct worker_faults lost = { .lost_percent = 100 };
	struct jobs_fixture f;
	uint32_t ordered;
	int worker;

	set_up(&f, 300);
	set_faults(&f, &lost);
	submit(&f, JOB_A_PATH, ONE_TASK);
	worker = wait_for_start_order(&f);
	jobs_platform_set_worker_faults(f.platform, !worker, &no_faults);
	CU_ASSERT(jobs_platform_drain_worker(f.platform, worker, 5000));
	/* A change of an entry is read within 0.2 s, an order takes 0.3 s. */
	jobs_fixture_run(&f, 1000);
	ordered = jobs_platform_start_orders(f.platform, worker);
	jobs_fixture_run(&f, 1200);
	set_faults(&f, &no_faults);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 4000));
	CU_ASSERT_EQUAL(jobs_platform_start_orders(f.platform, worker),
			ordered);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	tear_down(&f);
}

/* Tasks that run on a worker that leaves are run again elsewhere, once. */
static void test_worker_leaves(void)
{
	struct jobs_fixture f;
	int worker;

	set_up(&f, 3000);
	submit(&f, JOB_A_PATH, ONE_TASK);
	worker = wait_for_start_order(&f);
	CU_ASSERT(jobs_platform_drain_worker(f.platform, worker, 2000));
	jobs_platform_restart_worker(f.platform, worker, true);
	jobs_fixture_run(&f, 2200);
	CU_ASSERT(jobs_platform_worker_ready(f.platform, worker));
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 8000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	tear_down(&f);
}

static void check_restart(bool new_id, uint32_t down_ms)
{
	struct jobs_fixture f;
	int worker;

	set_up(&f, 700);
	set_faults(&f, &all_late);
	submit(&f, JOB_A_PATH, JOB_BODY);
	worker = wait_for_start_order(&f);
	set_faults(&f, &no_faults);
	CU_ASSERT(jobs_platform_crash_worker(f.platform, worker));
	if (down_ms)
		jobs_fixture_run(&f, down_ms);
	jobs_platform_restart_worker(f.platform, worker, new_id);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 12000));
	if (jobs_platform_duplicate_runs(f.platform))
		printf("duplicate runs: new_id=%d down_ms=%u\n", new_id,
		       down_ms);
	tear_down(&f);
}

/*
 * Guards against a start that the new incarnation of a worker carries out after
 * its task was placed elsewhere because of the restart.
 */
static void test_worker_restarts_with_orders_in_flight(void)
{
	static const uint32_t down_ms[] = { 0, 15, 400 };

	for (size_t i = 0; i < sizeof(down_ms) / sizeof(*down_ms); i++)
		check_restart(false, down_ms[i]);
}

/*
 * Guards against ends of a new incarnation that are acknowledged unseen, with
 * the number of the last end of the former one: their tasks would run again.
 * The store is away, so that an end waits and the worker is not polled.
 */
static void test_restart_keeps_new_ends(void)
{
	struct worker_faults lost = { .lost_percent = 100 };
	struct jobs_fixture f;
	int worker;

	set_up(&f, 150);
	CU_ASSERT(jobs_platform_drain_worker(f.platform, 1, 60000));
	jobs_fixture_run(&f, 300);
	submit(&f, JOB_A_PATH, JOB_BODY);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 4000));
	worker = wait_for_start_order(&f);
	CU_ASSERT_EQUAL(worker, 0);
	submit(&f, JOB_B_PATH, ONE_TASK);
	for (int i = 0; i < 100 && !jobs_platform_running_tasks(f.platform);
	     i++)
		jobs_fixture_run(&f, 5);
	jobs_platform_set_worker_faults(f.platform, worker, &lost);
	submit(&f, JOB_C_PATH, ONE_TASK);
	jobs_fixture_run(&f, 50);
	jobs_platform_faults(f.platform)->unresponsive = true;
	while (jobs_platform_running_tasks(f.platform))
		jobs_fixture_run(&f, 5);
	jobs_fixture_run(&f, 30);
	jobs_platform_set_worker_faults(f.platform, worker, &no_faults);
	CU_ASSERT(jobs_platform_crash_worker(f.platform, worker));
	jobs_platform_restart_worker(f.platform, worker, false);
	jobs_fixture_run(&f, 800);
	jobs_platform_faults(f.platform)->unresponsive = false;
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_B_PATH, 8000));
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_C_PATH, 8000));
	tear_down(&f);
}

/* As above, with a new id at the same address. */
static void test_worker_comes_back_under_new_id(void)
{
	check_restart(true, 0);
	check_restart(true, 250);
}

/*
 * Load pattern: for 4 s, workers that are called through relays carry half of
 * the orders out late, and lose or refuse most others. Guards against tasks
 * that run twice or are forgotten.
 */
static void check_relayed_disorder(uint64_t seed)
{
	struct worker_faults disorder = { .late_percent = 50,
					  .lost_percent = 5,
					  .refuse_percent = 30,
					  .no_room_percent = 10 };
	struct jobs_fixture f;
	char path[64];

	memset(&f, 0, sizeof(f));
	f.entry_count = 3;
	f.task_ms = 2500;
	for (int i = 0; i < f.entry_count; i++) {
		f.cpu_milli[i] = RELAYED_CPU_MILLI;
		f.relays[i] = true;
	}
	jobs_fixture_start(&f);
	jobs_fixture_run(&f, RELAYED_SETTLE_MS);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_seed(f.platform, seed);
	set_faults(&f, &disorder);
	for (int i = 0; i < 8; i++) {
		snprintf(path, sizeof(path), "/forms/%016d", i);
		submit(&f, path, JOB_BODY);
		jobs_fixture_run(&f, 500);
	}
	set_faults(&f, &no_faults);
	for (int i = 0; i < 8; i++) {
		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT(jobs_fixture_wait_completed(&f, 0, path, 14000));
	}
	if (jobs_platform_duplicate_runs(f.platform))
		printf("duplicate runs: seed=%llu\n", (unsigned long long)seed);
	tear_down(&f);
}

static void test_orders_lost_through_relays(void)
{
	check_relayed_disorder(1);
}

/*
 * Guards against leases that are not renewed at a worker that answers, but
 * refuses each second poll: its task would be started again.
 */
static void test_refused_polls_keep_leases(void)
{
	struct worker_faults each_second = { .refuse_each_poll = 2 };
	struct jobs_fixture f;

	set_up(&f, 12000);
	set_faults(&f, &each_second);
	submit(&f, JOB_A_PATH, ONE_TASK);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 16000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	CU_ASSERT_EQUAL(jobs_platform_duplicate_runs(f.platform), 0);
	tear_down(&f);
}

/*
 * As above, of a worker that refuses all polls: its leases end, and its tasks
 * are placed elsewhere.
 */
static void test_worker_that_refuses_all_polls_is_given_up(void)
{
	struct worker_faults all = { .refuse_polls_percent = 100 };
	struct jobs_fixture f;
	int worker;

	set_up(&f, 1500);
	submit(&f, JOB_A_PATH, ONE_TASK);
	worker = wait_for_start_order(&f);
	jobs_platform_set_worker_faults(f.platform, worker, &all);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 18000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "repetition refused", test_repetition_refused },
		{ "repetition without room", test_repetition_without_room },
		{ "stop refused", test_stop_refused },
		{ "worker drains with start under way",
		  test_worker_drains_with_start_under_way },
		{ "refused polls keep leases", test_refused_polls_keep_leases },
		{ "worker that refuses all polls is given up",
		  test_worker_that_refuses_all_polls_is_given_up },
		{ "worker leaves", test_worker_leaves },
		{ "worker restarts with orders in flight",
		  test_worker_restarts_with_orders_in_flight },
		{ "restart keeps new ends", test_restart_keeps_new_ends },
		{ "worker comes back under new id",
		  test_worker_comes_back_under_new_id },
		{ "orders lost through relays",
		  test_orders_lost_through_relays },
	};

	return RUN_SUITE("jobs-orders", tests);
}
