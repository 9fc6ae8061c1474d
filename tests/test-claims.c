#include <stdio.h>
#include <string.h>

#include "support-oplog.h"
#include "support-unit.h"

#define SEEN_MAX 64

static struct model m;
static struct claims_action seen[SEEN_MAX];
static char bodies[SEEN_MAX][64];
static uint32_t seen_count;
static uint64_t wall_s = 1000000;

static void note(struct model *model, int node, const struct claims_action *a)
{
	(void)model;
	(void)node;
	if (seen_count == SEEN_MAX)
		return;
	seen[seen_count] = *a;
	snprintf(bodies[seen_count++], sizeof(bodies[0]), "%.*s", (int)a->len,
		 a->body ? (const char *)a->body : "");
}

static void begin(void)
{
	model_init(&m, 1);
	m.on_claims = note;
	seen_count = 0;
	model_event(&m, 0, OPLOG_LEASE_GAINED);
	model_settle(&m);
}

static void end(void)
{
	CU_ASSERT_STRING_EQUAL(m.failure, "");
	model_free(&m);
}

static struct claim_key key(uint64_t k, uint64_t nonce)
{
	return (struct claim_key){
		.hash = { k, k * 3 },
		.body_hash = 5,
		.nonce = nonce,
	};
}

static void ask(int node, struct claim_key k, const char *entry)
{
	struct claims_event e = {
		.type = CLAIMS_CLAIM,
		.key = k,
		.entry = entry,
		.deadline_us = m.now_us + 1000000,
		.wall_s = wall_s,
	};

	model_claims(&m, node, &e);
}

static void tell(int node, struct claim_key k, const char *entry,
		 enum claim_outcome outcome, const char *body, size_t len)
{
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = k,
		.entry = entry,
		.outcome = outcome,
		.status = outcome == CLAIM_DONE ? 201 : 0,
		.body = body,
		.len = len,
		.wall_s = wall_s,
	};

	model_claims(&m, node, &e);
	m.now_us += OPLOG_LATER_US;
	model_event(&m, node, OPLOG_TICK);
}

static void tick(int node)
{
	struct claims_event e = { .type = CLAIMS_TICK, .wall_s = wall_s };

	model_claims(&m, node, &e);
}

/* Checks the only new answer and forgets it. */
static void expect(enum claims_action_type type, enum claim_code code,
		   uint64_t nonce)
{
	CU_ASSERT_EQUAL(seen_count, 1);
	CU_ASSERT_EQUAL(seen[0].type, type);
	CU_ASSERT_EQUAL(seen[0].code, code);
	CU_ASSERT_EQUAL(seen[0].key.nonce, nonce);
	seen_count = 0;
}

static void grant(uint64_t k, uint64_t nonce)
{
	ask(0, key(k, nonce), "e1");
	model_settle(&m);
	expect(CLAIMS_REPLY, CLAIM_GRANTED, nonce);
}

/* Guards against a grant or an acknowledgement that is not durable. */
static void test_answers_wait_for_the_log(void)
{
	begin();
	ask(0, key(1, 1), "e1");
	CU_ASSERT_EQUAL(seen_count, 0);
	model_settle(&m);
	expect(CLAIMS_REPLY, CLAIM_GRANTED, 1);
	tell(0, key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	CU_ASSERT_EQUAL(seen_count, 0);
	model_settle(&m);
	expect(CLAIMS_ACK, CLAIM_GRANTED, 1);
	end();
}

/* Guards against a second run, here and after a take-over. */
static void test_replay(void)
{
	begin();
	grant(1, 1);
	tell(0, key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_settle(&m);
	seen_count = 0;
	for (int node = 0; node < 2; node++) {
		if (node) {
			model_event(&m, node, OPLOG_LEASE_GAINED);
			model_settle(&m);
		}
		ask(node, key(1, 2), "e2");
		CU_ASSERT_EQUAL(seen[0].status, 201);
		CU_ASSERT_STRING_EQUAL(bodies[0], "ok");
		expect(CLAIMS_REPLY, CLAIM_REPLAY, 2);
	}
	end();
}

/* Guards against a key whose second body gets the first one's answer. */
static void test_key_reused(void)
{
	struct claim_key other = key(1, 2);

	begin();
	grant(1, 1);
	other.body_hash = 6;
	ask(0, other, "e2");
	expect(CLAIMS_REPLY, CLAIM_KEY_REUSED, 2);
	end();
}

/* Guards against a duplicate that is refused while the first still runs. */
static void test_in_progress_waits(void)
{
	begin();
	grant(1, 1);
	ask(0, key(1, 2), "e2");
	ask(0, key(1, 2), "e2");
	tick(0);
	CU_ASSERT_EQUAL(seen_count, 0);
	tell(0, key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_settle(&m);
	CU_ASSERT_EQUAL(seen_count, 2); /* acknowledgement and replay */
	seen_count = 0;
	grant(2, 3);
	ask(0, key(2, 4), "e2");
	m.now_us += 1000000;
	tick(0);
	expect(CLAIMS_REPLY, CLAIM_UNKNOWN, 4);
	end();
}

/* Guards against a release that frees a claim of another nonce or entry. */
static void test_release(void)
{
	begin();
	grant(1, 1);
	tell(0, key(1, 9), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_settle(&m);
	tell(0, key(1, 1), "e9", CLAIM_NOT_RUN, NULL, 0);
	model_settle(&m);
	CU_ASSERT_EQUAL(seen_count, 2); /* acknowledged, without effect */
	seen_count = 0;
	ask(0, key(1, 2), "e2");
	CU_ASSERT_EQUAL(seen_count, 0);
	tell(0, key(1, 1), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_settle(&m);
	/* The claim goes to the request that waits. */
	CU_ASSERT_EQUAL(seen_count, 2);
	CU_ASSERT_EQUAL(seen[1].code, CLAIM_GRANTED);
	CU_ASSERT_EQUAL(seen[1].key.nonce, 2);
	end();
}

/* Guards against a run after an end that nobody knows. */
static void test_may_have_run(void)
{
	begin();
	grant(1, 1);
	tell(0, key(1, 1), "e1", CLAIM_MAY_HAVE_RUN, NULL, 0);
	model_settle(&m);
	seen_count = 0;
	ask(0, key(1, 2), "e2");
	expect(CLAIMS_REPLY, CLAIM_UNKNOWN, 2);
	tell(0, key(1, 1), "e1", CLAIM_NOT_RUN, NULL, 0);
	model_settle(&m);
	seen_count = 0;
	ask(0, key(1, 3), "e2");
	expect(CLAIMS_REPLY, CLAIM_UNKNOWN, 3);
	end();
}

/* Guards against duplicates that wait for an entry VM that is gone. */
static void test_holder_gone(void)
{
	begin();
	grant(1, 1);
	m.now_us += CLAIMS_RESULT_MAX_US;
	ask(0, key(1, 2), "e2");
	expect(CLAIMS_REPLY, CLAIM_UNKNOWN, 2);
	end();
}

/*
 * Guards against an acknowledgement by an owner that was deposed before the
 * claim was granted; the result would be lost.
 */
static void test_deposed_owner_does_not_acknowledge(void)
{
	begin();
	model_event(&m, 1, OPLOG_LEASE_GAINED);
	model_settle(&m);
	ask(1, key(1, 1), "e1");
	model_settle(&m);
	expect(CLAIMS_REPLY, CLAIM_GRANTED, 1);
	CU_ASSERT(oplog_is_owner(m.nodes[0].log));
	tell(0, key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_settle(&m);
	CU_ASSERT_EQUAL(seen_count, 0);
	CU_ASSERT_FALSE(oplog_is_owner(m.nodes[0].log));
	end();
}

/* Guards against claims kept for ever, and against one dropped early. */
static void test_expiry(void)
{
	begin();
	grant(1, 1);
	tell(0, key(1, 1), "e1", CLAIM_DONE, "ok", 2);
	model_settle(&m);
	wall_s += CLAIMS_KEEP_S - 1;
	tick(0);
	CU_ASSERT_EQUAL(claims_count(m.nodes[0].claims), 1);
	wall_s += 1;
	tick(0);
	CU_ASSERT_EQUAL(claims_count(m.nodes[0].claims), 0);
	end();
}

/* Guards against memory without bound, and a claim dropped to make room. */
static void test_bounded_memory(void)
{
	static char body[CLAIM_RESPONSE_MAX_BYTES];
	struct claims *c;
	size_t limit = 256 * 1024;
	uint32_t granted = 0;

	begin();
	claims_destroy(m.nodes[0].claims);
	oplog_destroy(m.nodes[0].log);
	m.nodes[0].log = oplog_create("small", 1);
	c = claims_create(m.nodes[0].log, limit);
	m.nodes[0].claims = c;
	oplog_add_client(m.nodes[0].log, claims_client(c));
	model_event(&m, 0, OPLOG_LEASE_GAINED);
	model_settle(&m);
	memset(body, 'x', sizeof(body));
	for (uint64_t i = 1; i < 5000; i++) {
		seen_count = 0;
		ask(0, key(i, i), "e1");
		model_settle(&m);
		if (seen[0].code != CLAIM_GRANTED)
			break;
		granted++;
		tell(0, key(i, i), "e1", CLAIM_DONE, body, sizeof(body));
		model_settle(&m);
	}
	CU_ASSERT(granted > 1000 && granted < 4999);
	CU_ASSERT(claims_memory(c) <= limit + sizeof(body) + 100);
	CU_ASSERT_EQUAL(claims_count(c), granted);
	seen_count = 0;
	ask(0, key(1, 9999), "e1");
	expect(CLAIMS_REPLY, CLAIM_UNKNOWN, 9999);
	end();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "answers wait for the log", test_answers_wait_for_the_log },
		{ "replay", test_replay },
		{ "key reused", test_key_reused },
		{ "in progress waits", test_in_progress_waits },
		{ "release", test_release },
		{ "may have run", test_may_have_run },
		{ "holder gone", test_holder_gone },
		{ "deposed owner does not acknowledge",
		  test_deposed_owner_does_not_acknowledge },
		{ "expiry", test_expiry },
		{ "bounded memory", test_bounded_memory },
	};

	return RUN_SUITE("claims", tests);
}
