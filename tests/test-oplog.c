#include <string.h>

#include "oplog-codec.h"
#include "support-oplog.h"
#include "support-unit.h"

static struct model m;

/* Gives the node the lease and completes every call. */
static void make_owner(int node)
{
	model_event(&m, node, OPLOG_LEASE_GAINED);
	model_run_until_idle(&m);
}

static struct oplog_model_call *find_call(enum oplog_action_type type)
{
	for (int i = 0; i < MODEL_CALLS; i++)
		if (m.calls[i].used && m.calls[i].action.type == type)
			return &m.calls[i];
	CU_FAIL_FATAL("no such call in flight");
	return NULL;
}

static bool is_owner(int node)
{
	return oplog_is_owner(m.nodes[node].log);
}

static void advance_time(uint64_t us)
{
	m.now_us += us;
}

static void setup(uint64_t seed)
{
	model_init(&m, seed);
}

static void teardown(void)
{
	CU_ASSERT_STRING_EQUAL(m.failure, "");
	if (m.failure[0])
		printf("%s\n", m.failure);
	model_free(&m);
}

/* Guards against entries lost in a take-over and commits by a deposed owner. */
static void test_take_over(void)
{
	setup(1);
	make_owner(0);
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[0].log), 2);
	model_append(&m, 0);
	model_append(&m, 0);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(m.committed, 2);
	make_owner(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[1].log), 3);
	CU_ASSERT(model_append(&m, 0));
	model_run_until_idle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 2);
	teardown();
}

/* Guards against an append that is repeated or lost after a lost reply. */
static void test_lost_replies(void)
{
	struct oplog_model_call *c;

	setup(2);
	make_owner(0);
	model_append(&m, 0);
	c = find_call(OPLOG_APPEND);
	model_apply_call(&m, c);
	model_reply(&m, c, OPLOG_UNKNOWN);
	model_free_call(c);
	CU_ASSERT_EQUAL(m.committed, 0);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(m.committed, 1);
	model_append(&m, 0);
	c = find_call(OPLOG_APPEND);
	model_reply(&m, c, OPLOG_UNKNOWN);
	model_free_call(c);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(m.committed, 2);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->lost_replies, 2);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->recovered_appends, 1);
	make_owner(1);
	teardown();
}

/* Guards against a separate write to the store for each entry. */
static void test_group_commit(void)
{
	uint64_t before;

	setup(3);
	make_owner(0);
	before = m.writes;
	for (int i = 0; i < 100; i++)
		model_append(&m, 0);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(m.committed, 100);
	CU_ASSERT_EQUAL(m.writes - before, 2);
	teardown();
}

/* Guards against a deferred entry that is written at once, or never. */
static void test_deferred_entries(void)
{
	uint32_t n = 7;
	uint64_t before;

	setup(4);
	make_owner(0);
	before = m.writes;
	oplog_append_deferred(m.nodes[0].log, OPLOG_ENTRY_TASK, &n, sizeof(n),
			      n);
	model_event(&m, 0, OPLOG_TICK);
	CU_ASSERT_EQUAL(m.writes - before, 0);
	advance_time(OPLOG_DEFER_MAX_US);
	model_event(&m, 0, OPLOG_TICK);
	CU_ASSERT_EQUAL(m.writes - before, 1);
	model_run_until_idle(&m);
	teardown();
}

/*
 * Guards against a take-over that misses the last append of the old owner. It
 * occurs when that append takes the sequence number that the seal was sent for.
 */
static void test_seal_races_append(void)
{
	struct oplog_model_call *c;

	setup(5);
	make_owner(0);
	model_event(&m, 1, OPLOG_LEASE_GAINED);
	for (int i = 0; i < 3; i++) {
		c = find_call(i ? OPLOG_READ_EPOCH : OPLOG_READ_SNAPSHOT);
		model_apply_call(&m, c);
		model_reply(&m, c, c->result);
		model_free_call(c);
	}
	CU_ASSERT_EQUAL(oplog_get_state(m.nodes[1].log), OPLOG_SEALING);
	model_append(&m, 0);
	for (int i = 0; i < MODEL_CALLS; i++)
		if (m.calls[i].used && m.calls[i].node == 0)
			model_apply_call(&m, &m.calls[i]);
	model_run_until_idle(&m);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.committed, 1);
	teardown();
}

/* Makes node 1 take over, write a snapshot and delete node 0's epoch. */
static void depose_node_and_delete_epoch(void)
{
	m.snapshot_records = 2;
	model_restart(&m, 1);
	make_owner(1);
	for (int i = 0; i < 4; i++) {
		model_append(&m, 1);
		model_run_until_idle(&m);
	}
	CU_ASSERT(oplog_get_counts(m.nodes[1].log)->snapshots >= 1);
	advance_time(OPLOG_DELETE_DELAY_US);
	model_event(&m, 1, OPLOG_TICK);
	model_run_until_idle(&m);
	for (int i = 0; i < 4; i++) {
		model_event(&m, 1, OPLOG_TICK);
		model_run_until_idle(&m);
	}
	CU_ASSERT_PTR_NULL(model_find(&m, 2, 1, false));
}

/* Guards against a commit to an epoch that was sealed and deleted. */
static void test_append_to_deleted_epoch(void)
{
	setup(6);
	make_owner(0);
	depose_node_and_delete_epoch();
	CU_ASSERT(is_owner(0));
	model_append(&m, 0);
	model_run_until_idle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 4);
	teardown();
}

/* The same for an append that is sent in time but applied much later. */
static void test_late_append(void)
{
	struct oplog_model_call late;
	struct oplog_model_call *c;

	setup(7);
	make_owner(0);
	model_append(&m, 0);
	c = find_call(OPLOG_APPEND);
	late = *c;
	memset(c, 0, sizeof(*c));
	depose_node_and_delete_epoch();
	model_apply_call(&m, &late);
	CU_ASSERT_EQUAL(late.result, OPLOG_APPLIED);
	model_reply(&m, &late, late.result);
	model_run_until_idle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 4);
	model_free_call(&late);
	teardown();
}

/* Guards against an owner that steps down after a long store outage. */
static void test_outage(void)
{
	struct oplog_model_call *c;

	setup(8);
	make_owner(0);
	model_append(&m, 0);
	c = find_call(OPLOG_APPEND);
	model_apply_call(&m, c);
	model_reply(&m, c, OPLOG_UNKNOWN);
	model_free_call(c);
	for (int i = 0; i < 100; i++) {
		c = find_call(OPLOG_READ_RECORD);
		model_reply(&m, c, OPLOG_UNREACHABLE);
		model_free_call(c);
		advance_time(8000000);
		model_event(&m, 0, OPLOG_TICK);
	}
	model_run_until_idle(&m);
	CU_ASSERT(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 1);
	teardown();
}

/* Guards against data loss by a new owner that cannot read the whole log. */
static void check_faulty_record(const void *data, size_t len)
{
	uint32_t values;

	setup(9);
	make_owner(0);
	model_append(&m, 0);
	model_run_until_idle(&m);
	model_corrupt(&m, 2, 1, data, len);
	values = m.value_count;
	make_owner(1);
	CU_ASSERT_FALSE(is_owner(1));
	CU_ASSERT_EQUAL(m.load_failed, 1);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[1].log)->load_failures, 1);
	CU_ASSERT_EQUAL(m.value_count, values);
	teardown();
}

static void test_truncated_record(void)
{
	struct buffer b = BUFFER_INIT;
	struct buffer entries = BUFFER_INIT;

	oplog_pack_entry(&entries, OPLOG_ENTRY_TASK, "abcd", 4);
	oplog_pack_record(&b, "w", 1, 0, &entries, 1);
	for (size_t len = 0; len < b.len; len++)
		check_faulty_record(b.data, len);
	buffer_free(&b);
	buffer_free(&entries);
}

static void test_newer_record(void)
{
	struct buffer b = BUFFER_INIT;

	oplog_pack_array(&b, 4);
	oplog_pack_uint(&b, OPLOG_FORMAT_VERSION + 1);
	oplog_pack_str(&b, "w");
	oplog_pack_uint(&b, 1);
	oplog_pack_uint(&b, 0);
	check_faulty_record(b.data, b.len);
	buffer_free(&b);
}

/* Guards against a load that replays entries of the snapshot or skips some. */
static void test_snapshot(void)
{
	setup(10);
	m.snapshot_records = 50;
	model_restart(&m, 0);
	make_owner(0);
	for (int i = 0; i < 120; i++) {
		model_append(&m, 0);
		model_run_until_idle(&m);
	}
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->snapshots, 2);
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[0].log), 2);
	advance_time(OPLOG_DELETE_DELAY_US - 1);
	model_event(&m, 0, OPLOG_TICK);
	model_run_until_idle(&m);
	CU_ASSERT_PTR_NOT_NULL(model_find(&m, 2, 1, false));
	advance_time(1);
	model_event(&m, 0, OPLOG_TICK);
	model_run_until_idle(&m);
	model_event(&m, 0, OPLOG_TICK);
	model_run_until_idle(&m);
	CU_ASSERT_PTR_NULL(model_find(&m, 2, 1, false));
	make_owner(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, 120);
	teardown();
}

/* Guards against a state larger than one value that is truncated or refused. */
static void test_snapshot_in_parts(void)
{
	uint32_t numbers = 400000; /* 1.6 MB */

	setup(11);
	m.snapshot_records = 2;
	model_restart(&m, 0);
	make_owner(0);
	m.nodes[0].probe.numbers =
		xrealloc(m.nodes[0].probe.numbers, numbers * sizeof(uint32_t));
	m.nodes[0].probe.capacity = numbers;
	m.nodes[0].probe.count = numbers - 2;
	memset(m.nodes[0].probe.numbers, 0, numbers * sizeof(uint32_t));
	model_append(&m, 0);
	model_append(&m, 0);
	model_run_until_idle(&m);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->snapshots, 1);
	CU_ASSERT_PTR_NOT_NULL(model_find(&m, 3, 3, true));
	make_owner(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, numbers);
	/* The log of the model lacks the numbers that were set directly. */
	m.failure[0] = '\0';
	teardown();
}

/* Guards against a drain that loses entries or does not release the shard. */
static void test_drain(void)
{
	setup(12);
	make_owner(0);
	model_append(&m, 0);
	model_append(&m, 0);
	model_event(&m, 0, OPLOG_DRAIN);
	CU_ASSERT_FALSE(model_append(&m, 0));
	model_run_until_idle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 2);
	make_owner(1);
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, 2);
	teardown();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "take-over", test_take_over },
		{ "lost replies", test_lost_replies },
		{ "group commit", test_group_commit },
		{ "deferred entries", test_deferred_entries },
		{ "seal races append", test_seal_races_append },
		{ "append to a deleted epoch", test_append_to_deleted_epoch },
		{ "late append", test_late_append },
		{ "outage", test_outage },
		{ "truncated record", test_truncated_record },
		{ "newer record", test_newer_record },
		{ "snapshot", test_snapshot },
		{ "snapshot in parts", test_snapshot_in_parts },
		{ "drain", test_drain },
	};

	return RUN_SUITE("oplog", tests);
}
