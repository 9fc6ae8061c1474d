#include <string.h>

#include "oplog-codec.h"
#include "support-oplog.h"
#include "support-unit.h"

static struct model m;

/* Makes the node the owner, with every call answered. */
static void own(int node)
{
	model_event(&m, node, OPLOG_LEASE_GAINED);
	model_settle(&m);
}

static struct model_call *call_of(enum oplog_action_type type)
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

static void later(uint64_t us)
{
	m.now_us += us;
}

static void begin(uint64_t seed)
{
	model_init(&m, seed);
}

static void end(void)
{
	CU_ASSERT_STRING_EQUAL(m.failure, "");
	if (m.failure[0])
		printf("%s\n", m.failure);
	model_free(&m);
}

/* Guards against entries lost in a take-over and a deposed owner's commit. */
static void test_take_over(void)
{
	begin(1);
	own(0);
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[0].log), 2);
	model_append(&m, 0);
	model_append(&m, 0);
	model_settle(&m);
	CU_ASSERT_EQUAL(m.committed, 2);
	own(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[1].log), 3);
	CU_ASSERT(model_append(&m, 0));
	model_settle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 2);
	end();
}

/* Guards against an append repeated, or given up, after a lost answer. */
static void test_lost_answers(void)
{
	struct model_call *c;

	begin(2);
	own(0);
	model_append(&m, 0);
	c = call_of(OPLOG_APPEND);
	model_effect(&m, c);
	model_answer(&m, c, OPLOG_UNKNOWN);
	model_forget(c);
	CU_ASSERT_EQUAL(m.committed, 0);
	model_settle(&m);
	CU_ASSERT_EQUAL(m.committed, 1);
	model_append(&m, 0);
	c = call_of(OPLOG_APPEND);
	model_answer(&m, c, OPLOG_UNKNOWN);
	model_forget(c);
	model_settle(&m);
	CU_ASSERT_EQUAL(m.committed, 2);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->lost_answers, 2);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->recognised, 1);
	own(1);
	end();
}

/* Guards against one write of the store for each entry. */
static void test_group_commit(void)
{
	uint64_t before;

	begin(3);
	own(0);
	before = m.writes;
	for (int i = 0; i < 100; i++)
		model_append(&m, 0);
	model_settle(&m);
	CU_ASSERT_EQUAL(m.committed, 100);
	CU_ASSERT_EQUAL(m.writes - before, 2);
	end();
}

/* Guards against a result that is written alone, or never. */
static void test_later_entries(void)
{
	uint32_t n = 7;
	uint64_t before;

	begin(4);
	own(0);
	before = m.writes;
	oplog_append_later(m.nodes[0].log, ENTRY_TASK, &n, sizeof(n), n);
	model_event(&m, 0, OPLOG_TICK);
	CU_ASSERT_EQUAL(m.writes - before, 0);
	later(OPLOG_LATER_US);
	model_event(&m, 0, OPLOG_TICK);
	CU_ASSERT_EQUAL(m.writes - before, 1);
	model_settle(&m);
	end();
}

/* Guards against a seal that overlooks the old owner's last append. */
static void test_seal_meets_append(void)
{
	struct model_call *c;

	begin(5);
	own(0);
	model_event(&m, 1, OPLOG_LEASE_GAINED);
	for (int i = 0; i < 3; i++) {
		c = call_of(i ? OPLOG_READ_EPOCH : OPLOG_READ_SNAPSHOT);
		model_effect(&m, c);
		model_answer(&m, c, c->result);
		model_forget(c);
	}
	CU_ASSERT_EQUAL(oplog_get_state(m.nodes[1].log), OPLOG_SEALING);
	model_append(&m, 0);
	for (int i = 0; i < MODEL_CALLS; i++)
		if (m.calls[i].used && m.calls[i].node == 0)
			model_effect(&m, &m.calls[i]);
	model_settle(&m);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.committed, 1);
	end();
}

/* Lets node 1 take over, write a snapshot and delete node 0's epoch. */
static void depose_and_delete(void)
{
	m.snapshot_records = 2;
	model_restart(&m, 1);
	own(1);
	for (int i = 0; i < 4; i++) {
		model_append(&m, 1);
		model_settle(&m);
	}
	CU_ASSERT(oplog_get_counts(m.nodes[1].log)->snapshots >= 1);
	later(OPLOG_DELETE_AFTER_US);
	model_event(&m, 1, OPLOG_TICK);
	model_settle(&m);
	for (int i = 0; i < 4; i++) {
		model_event(&m, 1, OPLOG_TICK);
		model_settle(&m);
	}
	CU_ASSERT_PTR_NULL(model_find(&m, 2, 1, false));
}

/* Guards against a commit in an epoch that was sealed and deleted. */
static void test_append_to_deleted_epoch(void)
{
	begin(6);
	own(0);
	depose_and_delete();
	CU_ASSERT(is_owner(0));
	model_append(&m, 0);
	model_settle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 4);
	end();
}

/* The same for an append that left in time and took effect much later. */
static void test_late_append(void)
{
	struct model_call late;
	struct model_call *c;

	begin(7);
	own(0);
	model_append(&m, 0);
	c = call_of(OPLOG_APPEND);
	late = *c;
	memset(c, 0, sizeof(*c));
	depose_and_delete();
	model_effect(&m, &late);
	CU_ASSERT_EQUAL(late.result, OPLOG_APPLIED);
	model_answer(&m, &late, late.result);
	model_settle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 4);
	model_forget(&late);
	end();
}

/* Guards against an owner that gives up after a long outage of the store. */
static void test_outage(void)
{
	struct model_call *c;

	begin(8);
	own(0);
	model_append(&m, 0);
	c = call_of(OPLOG_APPEND);
	model_effect(&m, c);
	model_answer(&m, c, OPLOG_UNKNOWN);
	model_forget(c);
	for (int i = 0; i < 100; i++) {
		c = call_of(OPLOG_READ_RECORD);
		model_answer(&m, c, OPLOG_UNREACHABLE);
		model_forget(c);
		later(8000000);
		model_event(&m, 0, OPLOG_TICK);
	}
	model_settle(&m);
	CU_ASSERT(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 1);
	end();
}

/* Guards against data lost by an owner that cannot read all of the log. */
static void check_faulty_record(const void *data, size_t len)
{
	uint32_t values;

	begin(9);
	own(0);
	model_append(&m, 0);
	model_settle(&m);
	model_corrupt(&m, 2, 1, data, len);
	values = m.value_count;
	own(1);
	CU_ASSERT_FALSE(is_owner(1));
	CU_ASSERT_EQUAL(m.load_failed, 1);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[1].log)->load_failures, 1);
	CU_ASSERT_EQUAL(m.value_count, values);
	end();
}

static void test_truncated_record(void)
{
	struct buffer b = BUFFER_INIT;
	struct buffer entries = BUFFER_INIT;

	oplog_pack_entry(&entries, ENTRY_TASK, "abcd", 4);
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

/* Guards against a load that replays what the snapshot holds, or forgets. */
static void test_snapshot(void)
{
	begin(10);
	m.snapshot_records = 50;
	model_restart(&m, 0);
	own(0);
	for (int i = 0; i < 120; i++) {
		model_append(&m, 0);
		model_settle(&m);
	}
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->snapshots, 2);
	CU_ASSERT_EQUAL(oplog_epoch(m.nodes[0].log), 2);
	later(OPLOG_DELETE_AFTER_US - 1);
	model_event(&m, 0, OPLOG_TICK);
	model_settle(&m);
	CU_ASSERT_PTR_NOT_NULL(model_find(&m, 2, 1, false));
	later(1);
	model_event(&m, 0, OPLOG_TICK);
	model_settle(&m);
	model_event(&m, 0, OPLOG_TICK);
	model_settle(&m);
	CU_ASSERT_PTR_NULL(model_find(&m, 2, 1, false));
	own(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, 120);
	end();
}

/* Guards against a state above the size of a value that is cut or refused. */
static void test_snapshot_in_parts(void)
{
	uint32_t numbers = 400000; /* 1.6 MB */

	begin(11);
	m.snapshot_records = 2;
	model_restart(&m, 0);
	own(0);
	m.nodes[0].probe.numbers =
		xrealloc(m.nodes[0].probe.numbers, numbers * sizeof(uint32_t));
	m.nodes[0].probe.capacity = numbers;
	m.nodes[0].probe.count = numbers - 2;
	memset(m.nodes[0].probe.numbers, 0, numbers * sizeof(uint32_t));
	model_append(&m, 0);
	model_append(&m, 0);
	model_settle(&m);
	CU_ASSERT_EQUAL(oplog_get_counts(m.nodes[0].log)->snapshots, 1);
	CU_ASSERT_PTR_NOT_NULL(model_find(&m, 3, 3, true));
	own(1);
	CU_ASSERT(is_owner(1));
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, numbers);
	/* The truth of the log does not have the numbers set above. */
	m.failure[0] = '\0';
	end();
}

/* Guards against a drain that loses entries or keeps the shard. */
static void test_drain(void)
{
	begin(12);
	own(0);
	model_append(&m, 0);
	model_append(&m, 0);
	model_event(&m, 0, OPLOG_DRAIN);
	CU_ASSERT_FALSE(model_append(&m, 0));
	model_settle(&m);
	CU_ASSERT_FALSE(is_owner(0));
	CU_ASSERT_EQUAL(m.committed, 2);
	own(1);
	CU_ASSERT_EQUAL(m.nodes[1].probe.count, 2);
	end();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "take-over", test_take_over },
		{ "lost answers", test_lost_answers },
		{ "group commit", test_group_commit },
		{ "later entries", test_later_entries },
		{ "seal meets append", test_seal_meets_append },
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
