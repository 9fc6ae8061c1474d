#include <string.h>

#include "place.h"
#include "support-place.h"
#include "support-unit.h"

static struct shard s;
static struct place_action a;

/* A shard with two workers of 4 cores and 8 GB, whose reads are answered. */
static void set_up(enum settings_placement policy)
{
	shard_init(&s, policy);
	shard_add_worker(&s, "w1", 4000, 8192);
	shard_add_worker(&s, "w2", 4000, 8192);
	shard_respond_to_reads(&s);
}

/* Creates z.p with one task and starts it; a holds the start action. */
static void start_task(void)
{
	shard_create_placement(&s, "z.p", 1, 1000, 1024);
	shard_tick(&s, 20000);
	shard_commit(&s, 100);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_START, &a));
	shard_respond(&s, PLACE_START_RESULT, &a, PLACE_RESULT_OK);
}

/* Guards against a start call sent before its log entry is durable. */
static void test_start_after_durable_entry(void)
{
	set_up(PLACEMENT_FIRST_FIT);
	shard_create_placement(&s, "z.p", 1, 1000, 1024);
	shard_tick(&s, 20000);
	CU_ASSERT_FALSE(shard_next_action(&s, PLACE_START, &a));
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_STARTING);
	shard_commit(&s, 100);
	CU_ASSERT_TRUE(shard_next_action(&s, PLACE_START, &a));
	CU_ASSERT_STRING_EQUAL(a.task, "z.p.0");
	CU_ASSERT_STRING_EQUAL(a.worker, "w1");
	CU_ASSERT_EQUAL(a.attempt, 1);
	shard_free(&s);
}

/* Guards against placement on a worker whose tasks were not read yet. */
static void test_no_start_before_worker_read(void)
{
	shard_init(&s, PLACEMENT_FIRST_FIT);
	shard_add_worker(&s, "w1", 4000, 8192);
	shard_create_placement(&s, "z.p", 1, 1000, 1024);
	shard_tick(&s, 20000);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_PENDING);
	shard_respond_to_reads(&s);
	shard_tick(&s, 20000);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_STARTING);
	shard_free(&s);
}

/* Guards against a second start while the first may still be executed. */
static void test_unanswered_start_not_repeated(void)
{
	set_up(PLACEMENT_FIRST_FIT);
	shard_create_placement(&s, "z.p", 1, 1000, 1024);
	shard_tick(&s, 20000);
	shard_commit(&s, 100);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_START, &a));
	shard_respond(&s, PLACE_START_RESULT, &a, PLACE_RESULT_UNKNOWN);
	for (int i = 0; i < 40; i++) {
		shard_tick(&s, 100000);
		shard_respond_to_reads(&s);
		CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_STARTING);
	}
	a.type = PLACE_READ_TASKS;
	for (int i = 0; i < 40 && a.type != PLACE_START; i++) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		while (place_next_action(s.place, &a) &&
		       a.type == PLACE_READ_TASKS)
			shard_respond(&s, PLACE_READ_TASKS_RESULT, &a,
				      PLACE_RESULT_OK);
	}
	CU_ASSERT_EQUAL(a.type, PLACE_START);
	CU_ASSERT_EQUAL(a.attempt, 2);
	shard_free(&s);
}

/* Guards against a new owner that starts a running task again. */
static void test_new_owner_adopts_running_task(void)
{
	struct place_event e = { .type = PLACE_TASK_REPORT,
				 .id = "z.p.0",
				 .worker = "w1",
				 .attempt = 1,
				 .state = TASK_RUNNING,
				 .from_read = true };

	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_commit(&s, 100);
	shard_replace_owner(&s, true);
	shard_add_worker(&s, "w1", 4000, 8192);
	shard_add_worker(&s, "w2", 4000, 8192);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_READ_TASKS, &a));
	CU_ASSERT_STRING_EQUAL(a.worker, "w1");
	shard_step(&s, &e);
	shard_respond(&s, PLACE_READ_TASKS_RESULT, &a, PLACE_RESULT_OK);
	shard_respond_to_reads(&s);
	shard_tick(&s, 100000);
	shard_commit(&s, 100);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_RUNNING);
	CU_ASSERT_FALSE(shard_next_action(&s, PLACE_START, &a));
	shard_free(&s);
}

/* Guards against a task resumed before its lease has certainly expired. */
static void test_unreachable_worker_keeps_task(void)
{
	uint64_t free_us;

	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_commit(&s, 100);
	shard_replace_owner(&s, false);
	free_us = s.now_us + SHARD_OUTAGE_HORIZON_US + 10000000u + 5000000u;
	shard_add_worker(&s, "w1", 4000, 8192);
	shard_add_worker(&s, "w2", 4000, 8192);
	while (shard_next_action(&s, PLACE_READ_TASKS, &a))
		shard_respond(&s, PLACE_READ_TASKS_RESULT, &a,
			      strcmp(a.worker, "w2") ? PLACE_RESULT_UNKNOWN
						     : PLACE_RESULT_OK);
	while (s.now_us < free_us) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		while (place_next_action(s.place, &a)) {
			CU_ASSERT_NOT_EQUAL(a.type, PLACE_START);
			if (a.type == PLACE_READ_TASKS)
				shard_respond(&s, PLACE_READ_TASKS_RESULT, &a,
					      PLACE_RESULT_UNKNOWN);
		}
	}
	/* Three more reads must fail before the task is started elsewhere. */
	a.type = PLACE_READ_TASKS;
	for (int i = 0; i < 40 && a.type != PLACE_START; i++) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		while (place_next_action(s.place, &a) && a.type != PLACE_START)
			if (a.type == PLACE_READ_TASKS)
				shard_respond(&s, PLACE_READ_TASKS_RESULT, &a,
					      PLACE_RESULT_UNKNOWN);
	}
	CU_ASSERT_EQUAL(a.type, PLACE_START);
	CU_ASSERT_STRING_EQUAL(a.worker, "w2");
	CU_ASSERT_EQUAL(a.attempt, 2);
	shard_free(&s);
}

/* Guards against a new owner that ignores a longer horizon in the log. */
static void test_horizon_of_previous_owner(void)
{
	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_commit(&s, 100);
	s.options.outage_horizon_us = 1000000u;
	shard_replace_owner(&s, true);
	CU_ASSERT_EQUAL(place_outage_horizon_us(s.place), 1000000u);
	for (int i = 0; i < 200; i++) {
		shard_tick(&s, 100000);
		s.owner->last_append_us = s.now_us;
	}
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_STOPPING);
	shard_free(&s);
	/* A longer horizon must be durable before it takes effect. */
	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_commit(&s, 100);
	s.options.outage_horizon_us = 2 * SHARD_OUTAGE_HORIZON_US;
	shard_replace_owner(&s, true);
	shard_tick(&s, 100000);
	CU_ASSERT_EQUAL(place_outage_horizon_us(s.place),
			SHARD_OUTAGE_HORIZON_US);
	shard_commit(&s, 100);
	CU_ASSERT_EQUAL(place_outage_horizon_us(s.place),
			2 * SHARD_OUTAGE_HORIZON_US);
	shard_free(&s);
}

/* Guards against a cancelled task that is resumed after its stop. */
static void test_cancelled_task_is_stopped(void)
{
	struct place_event e = { .type = PLACE_CANCEL,
				 .id = "z.p",
				 .request = 7 };

	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_commit(&s, 100);
	shard_step(&s, &e);
	CU_ASSERT_FALSE(shard_next_action(&s, PLACE_REPLY, &a));
	shard_commit(&s, 100);
	CU_ASSERT_TRUE(shard_next_action(&s, PLACE_REPLY, &a));
	CU_ASSERT_EQUAL(a.request, 7);
	shard_tick(&s, 100000);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_STOP, &a));
	shard_respond(&s, PLACE_STOP_RESULT, &a, PLACE_RESULT_OK);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_CANCELLED);
	shard_free(&s);
}

/* Guards against a checkpoint lost when a task moves to another worker. */
static void test_leaving_worker_moves_task(void)
{
	struct place_event e = { .type = PLACE_WORKER,
				 .id = "w1",
				 .rack = "rack1",
				 .leaving = true,
				 .cpu_milli = 4000,
				 .memory_mb = 8192 };
	struct place_event done = { .type = PLACE_CHECKPOINT_RESULT,
				    .checkpoint = "c9" };

	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_step(&s, &e);
	shard_tick(&s, 100000);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_CHECKPOINT, &a));
	done.id = a.task;
	done.worker = a.worker;
	done.attempt = a.attempt;
	shard_step(&s, &done);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_STOP, &a));
	shard_respond(&s, PLACE_STOP_RESULT, &a, PLACE_RESULT_OK);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_EVICTED);
	shard_tick(&s, 100000);
	shard_commit(&s, 100);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_START, &a));
	CU_ASSERT_STRING_EQUAL(a.worker, "w2");
	CU_ASSERT_STRING_EQUAL(a.checkpoint, "c9");
	shard_free(&s);
}

/*
 * Guards against a checkpoint lost with the answer to a stop. If the next read
 * does not list the task, the stop is repeated to get the checkpoint, instead
 * of resuming the task from an older one.
 */
static void test_unanswered_stop_keeps_checkpoint(void)
{
	struct place_event leave = { .type = PLACE_WORKER,
				     .id = "w1",
				     .rack = "rack1",
				     .leaving = true,
				     .cpu_milli = 4000,
				     .memory_mb = 8192 };
	struct place_event done = { .type = PLACE_STOP_RESULT,
				    .result = PLACE_RESULT_OK,
				    .checkpoint = "c10" };

	set_up(PLACEMENT_FIRST_FIT);
	start_task();
	shard_step(&s, &leave);
	shard_tick(&s, 100000);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_CHECKPOINT, &a));
	shard_respond(&s, PLACE_CHECKPOINT_RESULT, &a, PLACE_RESULT_UNKNOWN);
	shard_tick(&s, 100000);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_STOP, &a));
	shard_respond(&s, PLACE_STOP_RESULT, &a, PLACE_RESULT_UNKNOWN);
	shard_respond(&s, PLACE_READ_TASKS_RESULT, &a, PLACE_RESULT_OK);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_STOP, &a));
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_STOPPING);
	done.id = a.task;
	done.worker = a.worker;
	done.attempt = a.attempt;
	done.at_us = s.now_us;
	shard_step(&s, &done);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_EVICTED);
	shard_tick(&s, 100000);
	shard_commit(&s, 100);
	CU_ASSERT_TRUE_FATAL(shard_next_action(&s, PLACE_START, &a));
	CU_ASSERT_STRING_EQUAL(a.checkpoint, "c10");
	shard_free(&s);
}

/* Guards against an impossible task that blocks others or has no reason. */
static void test_impossible_task_has_reason(void)
{
	struct place_task_view v;

	set_up(PLACEMENT_FIRST_FIT);
	for (int i = 0; i < 60; i++)
		shard_tick(&s, 100000);
	shard_create_placement(&s, "z.big", 1, 1000, 9000);
	start_task();
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.p.0"), TASK_RUNNING);
	CU_ASSERT_TRUE_FATAL(place_view_task(s.place, "z.big.0", &v));
	CU_ASSERT_EQUAL(v.state, TASK_IMPOSSIBLE);
	CU_ASSERT_STRING_EQUAL(v.reason, "no worker has this much memory");
	shard_add_worker(&s, "w3", 4000, 16384);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.big.0"), TASK_PENDING);
	shard_free(&s);
}

/* Guards against repeated placement on a worker that fails all starts. */
static void test_quarantine_allows_one_trial(void)
{
	int starts = 0, trials = 0;

	set_up(PLACEMENT_FIRST_FIT);
	for (int i = 0; i < 10; i++) {
		char id[16] = "z.a";

		id[2] = (char)('a' + i);
		shard_create_placement(&s, id, 1, 2000, 1024);
	}
	for (int i = 0; i < 100; i++) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		while (shard_next_action(&s, PLACE_START, &a)) {
			bool bad = !strcmp(a.worker, "w1");

			starts += bad;
			shard_respond(&s, PLACE_START_RESULT, &a,
				      bad ? PLACE_RESULT_FAILED
					  : PLACE_RESULT_OK);
		}
	}
	/* Two tasks of 2 cores fit, so a fourth start may be in flight. */
	CU_ASSERT(starts >= 3 && starts <= 4);
	for (int i = 0; i < 700; i++) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		while (place_next_action(s.place, &a)) {
			if (a.type == PLACE_START) {
				trials += !strcmp(a.worker, "w1");
				shard_respond(&s, PLACE_START_RESULT, &a,
					      PLACE_RESULT_FAILED);
			} else if (a.type == PLACE_RENEW) {
				shard_respond(&s, PLACE_RENEW_RESULT, &a,
					      PLACE_RESULT_OK);
			}
		}
	}
	CU_ASSERT_EQUAL(trials, 1);
	shard_free(&s);
}

/* Guards against healthy workers quarantined because of failing tasks. */
static void test_failing_tasks_spare_workers(void)
{
	struct place_counts c;
	char id[16];

	shard_init(&s, PLACEMENT_FIRST_FIT);
	for (int i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "w%d", i);
		shard_add_worker(&s, id, 4000, 8192);
	}
	shard_respond_to_reads(&s);
	shard_create_placement(&s, "z.bad", 60, 1000, 100);
	for (int i = 0; i < 100; i++) {
		shard_tick(&s, 100000);
		shard_commit(&s, 1000);
		while (shard_next_action(&s, PLACE_START, &a))
			shard_respond(&s, PLACE_START_RESULT, &a,
				      PLACE_RESULT_FAILED);
	}
	place_get_counts(s.place, &c);
	CU_ASSERT_EQUAL(c.tasks[TASK_FAILED], 60);
	CU_ASSERT_EQUAL(c.quarantined, 0);
	shard_free(&s);
}

/* Guards against a worker filled above its capacity. */
static void test_capacity_not_exceeded(void)
{
	struct place_counts c;

	set_up(PLACEMENT_FIRST_FIT);
	shard_create_placement(&s, "z.p", 20, 1500, 1024);
	shard_tick(&s, 20000);
	place_get_counts(s.place, &c);
	CU_ASSERT_EQUAL(c.tasks[TASK_STARTING], 4);
	CU_ASSERT_EQUAL(c.tasks[TASK_PENDING], 16);
	shard_free(&s);
}

/* Reports the usage of a task, then the same usage of its worker. */
static void report_usage(const char *task, const char *worker, uint32_t attempt,
			 uint32_t cpu, uint32_t memory, uint32_t latency_us)
{
	struct place_event e = { .type = PLACE_USAGE,
				 .id = task,
				 .worker = worker,
				 .attempt = attempt,
				 .cpu_milli = cpu,
				 .memory_mb = memory,
				 .latency_p99_us = latency_us,
				 .at_us = ++s.now_us };

	shard_step(&s, &e);
	e.type = PLACE_WORKER_USAGE;
	e.id = worker;
	shard_step(&s, &e);
}

/* Answers all calls with success; counts a type and keeps its last in a. */
static uint32_t answer_calls(enum place_action_type counted)
{
	static const enum place_event_type answers[] = {
		[PLACE_START] = PLACE_START_RESULT,
		[PLACE_STOP] = PLACE_STOP_RESULT,
		[PLACE_CHECKPOINT] = PLACE_CHECKPOINT_RESULT,
		[PLACE_RENEW] = PLACE_RENEW_RESULT,
	};
	struct place_action next;
	uint32_t count = 0;

	while (place_next_action(s.place, &next)) {
		if (next.type == counted) {
			a = next;
			count++;
		}
		if (next.type < PLACE_RENEW && next.type != PLACE_THROTTLE)
			shard_respond(&s, answers[next.type], &next,
				      PLACE_RESULT_OK);
		else if (next.type == PLACE_RENEW)
			shard_respond(&s, PLACE_RENEW_RESULT, &next,
				      PLACE_RESULT_OK);
	}
	return count;
}

static uint32_t run_for(uint64_t us, enum place_action_type counted)
{
	uint32_t count = 0;

	for (uint64_t t = 0; t < us; t += 100000) {
		shard_tick(&s, 100000);
		shard_commit(&s, 100);
		count += answer_calls(counted);
	}
	return count;
}

/* Guards against reservations that follow declared instead of used sizes. */
static void test_reservation_follows_usage(void)
{
	struct place_task_view v;
	char id[16] = "z.a";

	set_up(PLACEMENT_LEARNED);
	for (int i = 0; i < 6; i++) {
		char task[16] = "z.a.0";

		id[2] = task[2] = (char)('a' + i);
		shard_create_placement(&s, id, 1, 100, 100);
		run_for(300000, PLACE_START);
		CU_ASSERT_TRUE_FATAL(place_view_task(s.place, task, &v));
		CU_ASSERT_EQUAL_FATAL(v.state, TASK_RUNNING);
		/* A kind without samples reserves five times its memory. */
		if (!i)
			CU_ASSERT_EQUAL(v.memory_mb, 500);
		report_usage(task, v.worker, v.attempt, 100, 300, 0);
		report_usage(task, v.worker, v.attempt, 100, 300, 0);
	}
	shard_create_placement(&s, "z.next", 1, 100, 100);
	run_for(300000, PLACE_START);
	CU_ASSERT_TRUE_FATAL(place_view_task(s.place, "z.next.0", &v));
	CU_ASSERT(v.memory_mb >= 330 && v.memory_mb <= 360);
	shard_free(&s);
}

/* Creates a service with one replica and starts it. */
static void start_service(void)
{
	struct placement_spec spec = { .id = "z.front",
				       .user = "u",
				       .team = "t",
				       .kind = "front",
				       .service = true,
				       .urgency = URGENCY_URGENT,
				       .count = 1,
				       .cpu_milli = 1000,
				       .memory_mb = 100 };
	struct place_event e = { .type = PLACE_CREATE, .placement = &spec };

	shard_step(&s, &e);
	run_for(300000, PLACE_START);
}

/* Guards against an eviction or second throttle where one is enough. */
static void test_throttle_before_eviction(void)
{
	struct place_task_view v;

	shard_init(&s, PLACEMENT_LEARNED);
	shard_add_worker(&s, "w1", 16000, 8192);
	shard_respond_to_reads(&s);
	start_service();
	for (int i = 0; i < 30; i++)
		report_usage("z.front.0", "w1", 1, 500, 100, 10000);
	shard_create_placement(&s, "z.batch", 1, 1000, 100);
	run_for(300000, PLACE_START);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.batch.0"), TASK_RUNNING);
	report_usage("z.batch.0", "w1", 1, 1000, 100, 0);
	report_usage("z.front.0", "w1", 1, 500, 100, 20000);
	CU_ASSERT_EQUAL(run_for(200000, PLACE_THROTTLE), 1);
	CU_ASSERT_STRING_EQUAL(a.task, "z.batch.0");
	CU_ASSERT(a.percent < 100);
	/* Usage sampled before the throttle must not cause a second one. */
	for (int i = 0; i < 15; i++) {
		report_usage("z.front.0", "w1", 1, 500, 100, 20000);
		CU_ASSERT_EQUAL(run_for(100000, PLACE_THROTTLE), 0);
	}
	for (int i = 0; i < 30; i++) {
		report_usage("z.batch.0", "w1", 1, 200, 100, 0);
		report_usage("z.front.0", "w1", 1, 500, 100, 20000);
		run_for(1000000, PLACE_THROTTLE);
	}
	CU_ASSERT_TRUE_FATAL(place_view_task(s.place, "z.batch.0", &v));
	CU_ASSERT(v.attempt > 1 || v.state == TASK_EVICTED ||
		  v.state == TASK_PENDING);
	shard_free(&s);
}

/* Guards against a team that takes all capacity while another waits. */
static void test_team_below_share_goes_first(void)
{
	struct placement_spec spec = { .id = "z.other",
				       .user = "u",
				       .team = "other",
				       .kind = "batch",
				       .urgency = URGENCY_NORMAL,
				       .count = 2,
				       .cpu_milli = 2000,
				       .memory_mb = 100 };
	struct place_event e = { .type = PLACE_CREATE, .placement = &spec };

	set_up(PLACEMENT_FIRST_FIT);
	shard_create_placement(&s, "z.many", 10, 2000, 100);
	shard_step(&s, &e);
	run_for(300000, PLACE_START);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.other.1"), TASK_RUNNING);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.many.1"), TASK_RUNNING);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.many.2"), TASK_PENDING);
	shard_free(&s);
}

/* Guards against a quota that is not enforced. */
static void test_quota_is_enforced(void)
{
	struct sheet_team team = { .user = "u",
				   .name = "t",
				   .cpu_milli = 1000 };
	struct sheet sheet = { .teams = &team, .team_count = 1 };
	struct place_event e = { .type = PLACE_SHEET, .sheet = &sheet };
	struct place_task_view v;

	set_up(PLACEMENT_FIRST_FIT);
	shard_step(&s, &e);
	for (int i = 0; i < 60; i++)
		shard_tick(&s, 100000);
	shard_create_placement(&s, "z.two", 2, 600, 100);
	shard_create_placement(&s, "z.big", 1, 1100, 100);
	run_for(300000, PLACE_START);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.two.0"), TASK_RUNNING);
	CU_ASSERT_EQUAL(shard_task_state(&s, "z.two.1"), TASK_PENDING);
	CU_ASSERT_TRUE_FATAL(place_view_task(s.place, "z.big.0", &v));
	CU_ASSERT_EQUAL(v.state, TASK_IMPOSSIBLE);
	CU_ASSERT_STRING_EQUAL(v.reason, "it alone exceeds the team's quota");
	shard_free(&s);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "start after durable entry", test_start_after_durable_entry },
		{ "no start before worker read",
		  test_no_start_before_worker_read },
		{ "unanswered start not repeated",
		  test_unanswered_start_not_repeated },
		{ "new owner adopts running task",
		  test_new_owner_adopts_running_task },
		{ "unreachable worker keeps task",
		  test_unreachable_worker_keeps_task },
		{ "horizon of previous owner", test_horizon_of_previous_owner },
		{ "cancelled task is stopped", test_cancelled_task_is_stopped },
		{ "leaving worker moves task", test_leaving_worker_moves_task },
		{ "unanswered stop keeps checkpoint",
		  test_unanswered_stop_keeps_checkpoint },
		{ "impossible task has reason",
		  test_impossible_task_has_reason },
		{ "quarantine allows one trial",
		  test_quarantine_allows_one_trial },
		{ "failing tasks spare workers",
		  test_failing_tasks_spare_workers },
		{ "capacity not exceeded", test_capacity_not_exceeded },
		{ "reservation follows usage", test_reservation_follows_usage },
		{ "throttle before eviction", test_throttle_before_eviction },
		{ "team below share goes first",
		  test_team_below_share_goes_first },
		{ "quota is enforced", test_quota_is_enforced },
	};

	return RUN_SUITE("place", tests);
}
