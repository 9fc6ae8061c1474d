#include <stdio.h>
#include <string.h>

#include "support-oplog.h"
#include "support-unit.h"

#define ACTIONS_MAX 64

static struct model m;
static struct claims_action actions[ACTIONS_MAX];
static char action_bodies[ACTIONS_MAX][64];
static uint32_t action_count;
static uint64_t wall_s = 1000000;

static void record_action(struct model *model, int node,
			  const struct claims_action *a)
{
	(void)model;
	(void)node;
	if (action_count == ACTIONS_MAX)
		return;
	actions[action_count] = *a;
	snprintf(action_bodies[action_count++], sizeof(action_bodies[0]),
		 "%.*s", (int)a->len, a->body ? (const char *)a->body : "");
}

static void setup(void)
{
	model_init(&m, 1);
	m.on_claims = record_action;
	action_count = 0;
	model_event(&m, 0, OPLOG_LEASE_GAINED);
	model_run_until_idle(&m);
}

static void teardown(void)
{
	CU_ASSERT_STRING_EQUAL(m.failure, "");
	model_free(&m);
}

static struct claim_key make_key(uint64_t k, uint64_t nonce)
{
	return (struct claim_key){
		.hash = { k, k * 3 },
		.body_hash = 5,
		.nonce = nonce,
	};
}

static void send_claim(int node, struct claim_key k, const char *entry_vm)
{
	struct claims_event e = {
		.type = CLAIMS_CLAIM,
		.key = k,
		.entry_vm = entry_vm,
		.deadline_us = m.now_us + 1000000,
		.wall_s = wall_s,
	};

	model_claims_event(&m, node, &e);
}

static void send_result(int node, struct claim_key k, const char *entry_vm,
			enum claim_outcome outcome, const char *body,
			size_t len)
{
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = k,
		.entry_vm = entry_vm,
		.outcome = outcome,
		.status = outcome == CLAIM_DONE ? 201 : 0,
		.body = body,
		.len = len,
		.wall_s = wall_s,
	};

	model_claims_event(&m, node, &e);
	m.now_us += OPLOG_DEFER_MAX_US;
	model_event(&m, node, OPLOG_TICK);
}

static void tick(int node)
{
	struct claims_event e = { .type = CLAIMS_TICK, .wall_s = wall_s };

	model_claims_event(&m, node, &e);
}

/* Checks that there is exactly one new action, and discards it. */
static void expect_action(enum claims_action_type type, enum claim_code code,
			  uint64_t nonce)
{
	CU_ASSERT_EQUAL(action_count, 1);
	CU_ASSERT_EQUAL(actions[0].type, type);
	CU_ASSERT_EQUAL(actions[0].code, code);
	CU_ASSERT_EQUAL(actions[0].key.nonce, nonce);
	action_count = 0;
}

static void obtain_claim(uint64_t k, uint64_t nonce)
{
	send_claim(0, make_key(k, nonce), "e1");
	model_run_until_idle(&m);
	expect_action(CLAIMS_REPLY, CLAIM_GRANTED, nonce);
}

/* Guards against a grant or an acknowledgement before its entry is durable. */
static void test_replies_wait_for_commit(void)
{
	setup();
	send_claim(0, make_key(1, 1), "e1");
	CU_ASSERT_EQUAL(action_count, 0);
	model_run_until_idle(&m);
	expect_action(CLAIMS_REPLY, CLAIM_GRANTED, 1);
	send_result(0, make_key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	CU_ASSERT_EQUAL(action_count, 0);
	model_run_until_idle(&m);
	expect_action(CLAIMS_ACK, CLAIM_GRANTED, 1);
	teardown();
}

/*
 * Guards against a duplicate that runs again instead of getting the stored
 * response, on the same owner and after a take-over.
 */
static void test_replay(void)
{
	setup();
	obtain_claim(1, 1);
	send_result(0, make_key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_run_until_idle(&m);
	action_count = 0;
	for (int node = 0; node < 2; node++) {
		if (node) {
			model_event(&m, node, OPLOG_LEASE_GAINED);
			model_run_until_idle(&m);
		}
		send_claim(node, make_key(1, 2), "e2");
		CU_ASSERT_EQUAL(actions[0].status, 201);
		CU_ASSERT_STRING_EQUAL(action_bodies[0], "ok");
		expect_action(CLAIMS_REPLY, CLAIM_REPLAY, 2);
	}
	teardown();
}

/* Guards against a reused key whose new body gets the response to the old. */
static void test_key_reused(void)
{
	struct claim_key other = make_key(1, 2);

	setup();
	obtain_claim(1, 1);
	other.body_hash = 6;
	send_claim(0, other, "e2");
	expect_action(CLAIMS_REPLY, CLAIM_KEY_REUSED, 2);
	teardown();
}

/*
 * Guards against a duplicate that is refused while the first request runs, and
 * against one that waits beyond its deadline.
 */
static void test_duplicate_waits(void)
{
	setup();
	obtain_claim(1, 1);
	send_claim(0, make_key(1, 2), "e2");
	send_claim(0, make_key(1, 2), "e2");
	tick(0);
	CU_ASSERT_EQUAL(action_count, 0);
	send_result(0, make_key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(action_count, 2); /* acknowledgement and replay */
	action_count = 0;
	obtain_claim(2, 3);
	send_claim(0, make_key(2, 4), "e2");
	m.now_us += 1000000;
	tick(0);
	expect_action(CLAIMS_REPLY, CLAIM_UNKNOWN, 4);
	teardown();
}

/* Guards against the release of a claim by another nonce or entry VM. */
static void test_release(void)
{
	setup();
	obtain_claim(1, 1);
	send_result(0, make_key(1, 9), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_run_until_idle(&m);
	send_result(0, make_key(1, 1), "e9", CLAIM_NOT_RUN, NULL, 0);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(action_count, 2); /* acknowledged, without effect */
	action_count = 0;
	send_claim(0, make_key(1, 2), "e2");
	CU_ASSERT_EQUAL(action_count, 0);
	send_result(0, make_key(1, 1), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_run_until_idle(&m);
	/* The claim is granted to the waiting request. */
	CU_ASSERT_EQUAL(action_count, 2);
	CU_ASSERT_EQUAL(actions[1].code, CLAIM_GRANTED);
	CU_ASSERT_EQUAL(actions[1].key.nonce, 2);
	teardown();
}

/* Guards against another run after a request with an unknown outcome. */
static void test_may_have_run(void)
{
	setup();
	obtain_claim(1, 1);
	send_result(0, make_key(1, 1), "e1", CLAIM_MAY_HAVE_RUN, NULL, 0);
	model_run_until_idle(&m);
	action_count = 0;
	send_claim(0, make_key(1, 2), "e2");
	expect_action(CLAIMS_REPLY, CLAIM_UNKNOWN, 2);
	send_result(0, make_key(1, 1), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_run_until_idle(&m);
	action_count = 0;
	send_claim(0, make_key(1, 3), "e2");
	expect_action(CLAIMS_REPLY, CLAIM_UNKNOWN, 3);
	teardown();
}

/* Guards against duplicates that wait for a result of a lost entry VM. */
static void test_holder_lost(void)
{
	setup();
	obtain_claim(1, 1);
	m.now_us += CLAIMS_RESULT_TIMEOUT_US;
	send_claim(0, make_key(1, 2), "e2");
	expect_action(CLAIMS_REPLY, CLAIM_UNKNOWN, 2);
	teardown();
}

/*
 * Guards against the loss of a result that a deposed owner acknowledges, when
 * the next owner has granted the claim.
 */
static void test_deposed_owner_does_not_acknowledge(void)
{
	setup();
	model_event(&m, 1, OPLOG_LEASE_GAINED);
	model_run_until_idle(&m);
	send_claim(1, make_key(1, 1), "e1");
	model_run_until_idle(&m);
	expect_action(CLAIMS_REPLY, CLAIM_GRANTED, 1);
	CU_ASSERT(oplog_is_owner(m.nodes[0].log));
	send_result(0, make_key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(action_count, 0);
	CU_ASSERT_FALSE(oplog_is_owner(m.nodes[0].log));
	teardown();
}

/* Guards against claims that never expire or expire early. */
static void test_expiry(void)
{
	setup();
	obtain_claim(1, 1);
	send_result(0, make_key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_run_until_idle(&m);
	wall_s += CLAIMS_RETENTION_S - 1;
	tick(0);
	CU_ASSERT_EQUAL(claims_count(m.nodes[0].claims), 1);
	wall_s += 1;
	tick(0);
	CU_ASSERT_EQUAL(claims_count(m.nodes[0].claims), 0);
	teardown();
}

/* Guards against unbounded memory, and against the eviction of a claim. */
static void test_bounded_memory(void)
{
	static char body[CLAIM_RESPONSE_MAX_BYTES];
	struct claims *c;
	size_t limit = 256 * 1024;
	uint32_t granted = 0;

	setup();
	claims_destroy(m.nodes[0].claims);
	oplog_destroy(m.nodes[0].log);
	m.nodes[0].log = oplog_create("small", 1);
	c = claims_create(m.nodes[0].log, limit);
	m.nodes[0].claims = c;
	oplog_add_client(m.nodes[0].log, claims_client(c));
	model_event(&m, 0, OPLOG_LEASE_GAINED);
	model_run_until_idle(&m);
	memset(body, 'x', sizeof(body));
	for (uint64_t i = 1; i < 5000; i++) {
		action_count = 0;
		send_claim(0, make_key(i, i), "e1");
		model_run_until_idle(&m);
		if (actions[0].code != CLAIM_GRANTED)
			break;
		granted++;
		send_result(0, make_key(i, i), "e1", CLAIM_DONE, body,
			    sizeof(body));
		model_run_until_idle(&m);
	}
	CU_ASSERT(granted > 1000 && granted < 4999);
	CU_ASSERT(claims_memory(c) <= limit + sizeof(body) + 100);
	CU_ASSERT_EQUAL(claims_count(c), granted);
	action_count = 0;
	send_claim(0, make_key(1, 9999), "e1");
	expect_action(CLAIMS_REPLY, CLAIM_UNKNOWN, 9999);
	teardown();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "replies wait for the commit", test_replies_wait_for_commit },
		{ "replay", test_replay },
		{ "key reused", test_key_reused },
		{ "duplicate waits", test_duplicate_waits },
		{ "release", test_release },
		{ "may have run", test_may_have_run },
		{ "holder lost", test_holder_lost },
		{ "deposed owner does not acknowledge",
		  test_deposed_owner_does_not_acknowledge },
		{ "expiry", test_expiry },
		{ "bounded memory", test_bounded_memory },
	};

	return RUN_SUITE("claims", tests);
}
