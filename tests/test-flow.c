#include <string.h>

#include "support-flow.h"
#include "support-unit.h"

#define SECOND_US 1000000u

static struct sheet_kind kinds[] = {
	{ .user = "u",
	  .name = "urgent",
	  .priority = URGENCY_URGENT,
	  .share_percent = 50 },
	{ .user = "u",
	  .name = "normal",
	  .priority = URGENCY_NORMAL,
	  .share_percent = 30 },
	{ .user = "u", .name = "bulk", .priority = URGENCY_DEFERRABLE },
	{ .user = "u", .name = "limited", .limit = 2 },
};
static struct sheet_team teams[] = {
	{ .user = "u", .name = "a", .share_percent = 50, .limit = 1 },
};
static struct sheet sheet = {
	.kinds = kinds, .kind_count = 4, .teams = teams, .team_count = 1
};
static const struct flow_options options = { .retry_budget_percent = 10,
					     .queue_limit = 4,
					     .seed = 1 };

static void open_fixture(struct flow_fixture *fx, uint32_t targets,
			 uint32_t slots)
{
	fixture_open(fx, &options);
	fixture_sheet(fx, &sheet);
	fixture_seat(fx, 0, 1);
	for (uint32_t i = 0; i < targets; i++)
		fixture_target(fx, i, slots);
}

/* Completes n requests, so that latencies are known and tokens are saved. */
static void warm_up(struct flow_fixture *fx, int n)
{
	for (int i = 0; i < n; i++) {
		const struct flow_action *a;
		struct flow_action sent;

		fixture_request(fx, 60000, 0, true, SECOND_US);
		a = fixture_find_action(fx, FLOW_SEND);
		if (!a)
			return;
		sent = *a;
		fx->now_us += 10000;
		fixture_result(fx, &sent, FLOW_OUTCOME_OK, 10000);
	}
	fixture_tick(fx, 200000);
}

static enum flow_reason refusal_reason(const struct flow_fixture *fx)
{
	const struct flow_action *a = fixture_find_action(fx, FLOW_REFUSE);

	return a ? a->reason : FLOW_REASON_NONE;
}

/* Guards against using more slots of a target than the seat owns. */
static void test_sends_stay_within_own_slots(void)
{
	struct flow_fixture fx;
	int sent = 0;

	open_fixture(&fx, 2, 8);
	fixture_seat(&fx, 1, 3);
	for (uint32_t i = 0; i < 9; i++) {
		fixture_request(&fx, i, 0, true, SECOND_US);
		sent += fixture_find_action(&fx, FLOW_SEND) != NULL;
	}
	/* With the hashes 0 and 7, seat 1 has 3 slots of each target. */
	CU_ASSERT_EQUAL(sent, 6);
	fixture_close(&fx);
}

/* Guards against confirming a smaller seat while requests exceed its share. */
static void test_shrunk_seat_reports_excess(void)
{
	struct flow_action sent[8];
	struct flow_totals t;
	struct flow_fixture fx;

	open_fixture(&fx, 1, 8);
	for (uint32_t i = 0; i < 8; i++) {
		fixture_request(&fx, i, 0, true, SECOND_US);
		sent[i] = *fixture_find_action(&fx, FLOW_SEND);
	}
	fixture_seat(&fx, 0, 2);
	for (uint32_t i = 0; i < 4; i++) {
		flow_totals(fx.flow, &t);
		CU_ASSERT_EQUAL(t.targets_over_share, 1);
		fixture_result(&fx, &sent[i], FLOW_OUTCOME_OK, 1000);
	}
	flow_totals(fx.flow, &t);
	CU_ASSERT_EQUAL(t.targets_over_share, 0);
	fixture_close(&fx);
}

/* Guards against sends by a process without a seat. */
static void test_no_seat_no_sends(void)
{
	struct flow_fixture fx;

	open_fixture(&fx, 2, 8);
	fixture_seat(&fx, 0, 0);
	fixture_request(&fx, 1, 0, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_NO_TARGET);
	fixture_close(&fx);
}

/* Guards against retrying or hedging a non-idempotent request. */
static void test_non_idempotent_sent_once(void)
{
	static const enum flow_outcome outcomes[] = { FLOW_OUTCOME_FAILED,
						      FLOW_OUTCOME_TIMEOUT,
						      FLOW_OUTCOME_LOST,
						      FLOW_OUTCOME_REFUSED };
	struct flow_fixture fx;

	open_fixture(&fx, 4, 8);
	warm_up(&fx, 100);
	for (uint32_t i = 0; i < 4; i++) {
		struct flow_action sent;

		fixture_request(&fx, i, 0, false, SECOND_US);
		sent = *fixture_find_action(&fx, FLOW_SEND);
		fixture_tick(&fx, 500000);
		CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
		fixture_result(&fx, &sent, outcomes[i], 1000);
		CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
		/* It counts as not run only if the runner reports that. */
		CU_ASSERT_EQUAL(fixture_find_action(&fx, FLOW_REFUSE) != NULL,
				outcomes[i] == FLOW_OUTCOME_REFUSED);
	}
	fixture_close(&fx);
}

/* Guards against failing a request that was never sent to its target. */
static void test_not_sent_is_retried_elsewhere(void)
{
	struct flow_fixture fx;
	struct flow_action sent;
	const struct flow_action *again;

	open_fixture(&fx, 2, 8);
	warm_up(&fx, 100);
	fixture_request(&fx, 1, 0, false, SECOND_US);
	sent = *fixture_find_action(&fx, FLOW_SEND);
	fixture_result(&fx, &sent, FLOW_OUTCOME_NOT_SENT, 0);
	again = fixture_find_action(&fx, FLOW_SEND);
	CU_ASSERT_PTR_NOT_NULL_FATAL(again);
	CU_ASSERT_NOT_EQUAL(again->target, sent.target);
	fixture_close(&fx);
}

/* Guards against retries beyond 10% of the requests sent. */
static void test_retry_budget(void)
{
	struct flow_fixture fx;
	struct flow_action sent;
	struct flow_totals t;

	open_fixture(&fx, 40, 8);
	warm_up(&fx, 30); /* earns 3 retries */
	for (uint32_t i = 0; i < 5; i++) {
		const struct flow_action *a;

		fixture_request(&fx, i, 0, true, SECOND_US);
		a = fixture_find_action(&fx, FLOW_SEND);
		while (a) {
			sent = *a;
			fixture_result(&fx, &sent, FLOW_OUTCOME_FAILED, 1000);
			a = fixture_find_action(&fx, FLOW_SEND);
		}
	}
	flow_totals(fx.flow, &t);
	CU_ASSERT_EQUAL(t.retries, 3);
	fixture_close(&fx);
}

/* Guards against hedges that are early, repeated or drop the response. */
static void test_hedge_after_p95(void)
{
	struct flow_fixture fx;
	struct flow_action first, second;

	open_fixture(&fx, 2, 8);
	warm_up(&fx, 100);
	fixture_request(&fx, 1, 0, true, SECOND_US);
	first = *fixture_find_action(&fx, FLOW_SEND);
	fixture_tick(&fx, 9000);
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_tick(&fx, 9000);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture_find_action(&fx, FLOW_SEND));
	second = *fixture_find_action(&fx, FLOW_SEND);
	CU_ASSERT(second.hedge);
	CU_ASSERT_NOT_EQUAL(second.target, first.target);
	fixture_tick(&fx, 50000);
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_result(&fx, &second, FLOW_OUTCOME_OK, 10000);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_FINISH));
	fixture_result(&fx, &first, FLOW_OUTCOME_OK, 90000);
	CU_ASSERT_EQUAL(fx.actions.count, 0);
	fixture_close(&fx);
}

/* Sends one request and ends its attempt. Returns false if it was not sent. */
static bool run_request(struct flow_fixture *fx, enum flow_outcome outcome)
{
	struct flow_action sent;

	fixture_request(fx, 1, 0, false, SECOND_US);
	if (!fixture_find_action(fx, FLOW_SEND))
		return false;
	sent = *fixture_find_action(fx, FLOW_SEND);
	fixture_result(fx, &sent, outcome, 1000);
	return true;
}

/* Guards against a breaker that never opens or closes without a success. */
static void test_breaker(void)
{
	struct flow_fixture fx;
	struct flow_target_info t;

	open_fixture(&fx, 1, 8);
	for (int i = 0; i < 3; i++)
		CU_ASSERT(run_request(&fx, FLOW_OUTCOME_FAILED));
	CU_ASSERT_FALSE(run_request(&fx, FLOW_OUTCOME_OK));
	fixture_probe(&fx, 0, 0, false); /* too early for a trial */
	CU_ASSERT_FALSE(run_request(&fx, FLOW_OUTCOME_OK));
	fixture_tick(&fx, 600000);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND_PROBE));
	fixture_probe(&fx, 0, 0, false);
	CU_ASSERT(run_request(&fx, FLOW_OUTCOME_FAILED)); /* the trial */
	CU_ASSERT_FALSE(run_request(&fx, FLOW_OUTCOME_OK));
	fixture_tick(&fx, 2000000);
	fixture_probe(&fx, 0, 0, false);
	fixture_request(&fx, 1, 0, false, SECOND_US);
	fixture_request(&fx, 2, 0, false, SECOND_US);
	CU_ASSERT_PTR_NULL(
		fixture_find_action(&fx, FLOW_SEND)); /* one trial only */
	flow_target_info(fx.flow, 0, &t);
	CU_ASSERT_EQUAL(t.outstanding, 1);
	CU_ASSERT_EQUAL(t.breaker, FLOW_BREAKER_HALF_OPEN);
	fixture_close(&fx);
}

/* Guards against probes of hung runners that delay all other probes. */
static void test_silent_target_is_probed_less(void)
{
	struct flow_event e = { .type = FLOW_PROBE_RESULT };
	struct flow_fixture fx;
	int asked = 0;

	open_fixture(&fx, 1, 8);
	for (int i = 0; i < 6000; i++) {
		fixture_tick(&fx, 10000);
		if (!fixture_find_action(&fx, FLOW_SEND_PROBE))
			continue;
		asked++;
		fixture_post(&fx, &e);
	}
	/* One probe every 1.5 s would be 40 probes in this minute. */
	CU_ASSERT(asked >= 8 && asked <= 14);
	fixture_close(&fx);
}

/* Guards against sending requests to a draining runner. */
static void test_draining_target_gets_no_requests(void)
{
	struct flow_fixture fx;

	open_fixture(&fx, 1, 8);
	fixture_tick(&fx, 10000);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND_PROBE));
	fixture_probe(&fx, 0, 0, true);
	fixture_request(&fx, 1, 0, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_NO_TARGET);
	/* The next probe is due within the 3 s allowed to detect a drain. */
	fixture_tick(&fx, 1500000);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND_PROBE));
	fixture_close(&fx);
}

/*
 * Guards against exceeding the slots of a runner: a request past its deadline
 * still runs there and keeps its slot until its attempt ends.
 */
static void test_late_requests_keep_their_slot(void)
{
	struct flow_event e = { .type = FLOW_CANCEL };
	struct flow_action sent;
	struct flow_fixture fx;

	open_fixture(&fx, 1, 1);
	fixture_request(&fx, 0, 0, false, SECOND_US);
	sent = *fixture_find_action(&fx, FLOW_SEND);
	fx.now_us += SECOND_US;
	e.cancel.handle = 0;
	fixture_post(&fx, &e);
	CU_ASSERT_PTR_NOT_NULL_FATAL(fixture_find_action(&fx, FLOW_FINISH));
	CU_ASSERT_EQUAL(fixture_find_action(&fx, FLOW_FINISH)->outcome,
			FLOW_OUTCOME_TIMEOUT);
	fixture_request(&fx, 1, 0, true, 5 * SECOND_US);
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_result(&fx, &sent, FLOW_OUTCOME_OK, SECOND_US);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_close(&fx);
}

/*
 * Guards against exceeding the slots of a runner after its connection was lost:
 * the request may still run there or even arrive later.
 */
static void test_lost_requests_keep_their_slot(void)
{
	struct flow_fixture fx;
	struct flow_action sent;

	open_fixture(&fx, 1, 1);
	fixture_request(&fx, 0, 0, false, SECOND_US);
	sent = *fixture_find_action(&fx, FLOW_SEND);
	fixture_result(&fx, &sent, FLOW_OUTCOME_LOST, 0);
	fixture_request(&fx, 1, 0, true, 60 * SECOND_US);
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_tick(&fx, 500000);
	fixture_probe(&fx, 0, 0, false); /* it may not have arrived yet */
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_tick(&fx, 600000);
	fixture_probe(&fx, 0, 1, false);
	CU_ASSERT_PTR_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_tick(&fx, 600000);
	fixture_probe(&fx, 0, 0, false);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND));
	fixture_close(&fx);
}

/* Guards against overload that fills the queue of kinds below their share. */
static void test_full_queue_displaces_excess(void)
{
	struct flow_fixture fx;
	const struct flow_action *a;

	open_fixture(&fx, 1, 2);
	for (uint32_t i = 0; i < 4; i++) { /* 2 run, 2 of 4 entries are used */
		fixture_request(&fx, i, 2, true, SECOND_US);
		CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_NONE);
	}
	fixture_request(&fx, 4, 2, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_QUEUE_FULL);
	for (uint32_t i = 5; i < 7; i++) { /* use the reserved entries */
		fixture_request(&fx, i, 0, true, SECOND_US);
		CU_ASSERT_EQUAL(fx.actions.count, 0);
	}
	fixture_request(&fx, 7, 0, true, SECOND_US);
	a = fixture_find_action(&fx, FLOW_REFUSE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(a);
	CU_ASSERT_EQUAL(a->reason, FLOW_REASON_DISPLACED);
	CU_ASSERT_EQUAL(a->handle, 3); /* the newest one */
	fixture_close(&fx);
}

/* Guards against kind and team limits that are not applied on arrival. */
static void test_limits(void)
{
	struct flow_fixture fx;
	struct flow_event e = { .type = FLOW_REQUEST };

	open_fixture(&fx, 1, 8);
	fixture_request(&fx, 0, 3, true, SECOND_US);
	fixture_request(&fx, 1, 3, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_NONE);
	fixture_request(&fx, 2, 3, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_KIND_LIMIT);
	e.request.kind = 0;
	e.request.team = 0;
	e.request.deadline_us = fx.now_us + SECOND_US;
	e.request.handle = 3;
	fixture_post(&fx, &e);
	CU_ASSERT_PTR_NOT_NULL(fixture_find_action(&fx, FLOW_SEND));
	e.request.handle = 4;
	fixture_post(&fx, &e);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_TEAM_LIMIT);
	fixture_close(&fx);
}

/* Guards against queueing a request that cannot meet its deadline. */
static void test_early_refusal(void)
{
	struct flow_fixture fx;

	open_fixture(&fx, 1, 1);
	warm_up(&fx, 30); /* 10 ms each */
	fixture_request(&fx, 0, 0, true, SECOND_US);
	fixture_request(&fx, 1, 0, true, SECOND_US);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_NONE);
	/* Two requests are ahead of it: about 30 ms. */
	fixture_request(&fx, 2, 0, true, 15000);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_DEADLINE);
	fixture_close(&fx);
}

/* Guards against borrowed slots that are not returned to their kind first. */
static void test_guaranteed_slots_are_returned(void)
{
	struct flow_fixture fx;
	struct flow_action sent[8];
	int urgent = 0;

	open_fixture(&fx, 1, 8);
	for (uint32_t i = 0; i < 8; i++) {
		fixture_request(&fx, i, 2, true, SECOND_US);
		sent[i] = *fixture_find_action(&fx, FLOW_SEND);
	}
	fixture_request(&fx, 8, 2, true, SECOND_US);
	fixture_request(&fx, 9, 2, true, SECOND_US);
	fixture_request(&fx, 10, 0, true, SECOND_US);
	fixture_request(&fx, 11, 0, true, SECOND_US);
	for (int i = 0; i < 2; i++) {
		fixture_result(&fx, &sent[i], FLOW_OUTCOME_OK, 1000);
		for (size_t k = 0; k < fx.actions.count; k++)
			urgent += fx.actions.items[k].type == FLOW_SEND &&
				  fx.actions.items[k].handle >= 10;
	}
	CU_ASSERT_EQUAL(urgent, 2);
	fixture_close(&fx);
}

/* Guards against losing requests or changing their kind with a new sheet. */
static void test_new_sheet_keeps_requests(void)
{
	struct sheet_kind fewer[] = { kinds[1], kinds[0] };
	struct sheet next = { .kinds = fewer, .kind_count = 2 };
	struct flow_kind_info k;
	struct flow_fixture fx;

	open_fixture(&fx, 1, 1);
	fixture_request(&fx, 0, 0, true, SECOND_US);
	fixture_request(&fx, 1, 0, true, SECOND_US);
	fixture_request(&fx, 2, 2, true, SECOND_US);
	fixture_sheet(&fx, &next);
	CU_ASSERT_EQUAL(fx.actions.count, 1);
	CU_ASSERT_EQUAL(refusal_reason(&fx), FLOW_REASON_UNKNOWN_KIND);
	CU_ASSERT_EQUAL(fx.actions.items[0].handle, 2);
	flow_kind_info(fx.flow, 1, &k);
	CU_ASSERT_STRING_EQUAL(k.name, "urgent");
	CU_ASSERT_EQUAL(k.queued, 1);
	CU_ASSERT_EQUAL(k.running, 1);
	fixture_close(&fx);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "sends stay within own slots",
		  test_sends_stay_within_own_slots },
		{ "shrunk seat reports excess",
		  test_shrunk_seat_reports_excess },
		{ "no seat, no sends", test_no_seat_no_sends },
		{ "non-idempotent sent once", test_non_idempotent_sent_once },
		{ "not sent is retried elsewhere",
		  test_not_sent_is_retried_elsewhere },
		{ "retry budget", test_retry_budget },
		{ "hedge after p95", test_hedge_after_p95 },
		{ "breaker", test_breaker },
		{ "silent target is probed less",
		  test_silent_target_is_probed_less },
		{ "draining target gets no requests",
		  test_draining_target_gets_no_requests },
		{ "late requests keep their slot",
		  test_late_requests_keep_their_slot },
		{ "lost requests keep their slot",
		  test_lost_requests_keep_their_slot },
		{ "full queue displaces excess",
		  test_full_queue_displaces_excess },
		{ "limits", test_limits },
		{ "early refusal", test_early_refusal },
		{ "guaranteed slots are returned",
		  test_guaranteed_slots_are_returned },
		{ "new sheet keeps requests", test_new_sheet_keeps_requests },
	};

	return RUN_SUITE("flow", tests);
}
