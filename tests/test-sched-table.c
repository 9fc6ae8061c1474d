#include <stdlib.h>

#include "rng.h"
#include "sched-internal.h"
#include "support-unit.h"

#define BLOCKS 200
#define TABLE_MAX 163840u

static const struct sched_ops ops;
static const struct sched_settings settings = { .lease_max_ms = 6000 };

/*
 * Guards against free ranges that are never joined, so that the table grows
 * with each change of the sizes, and against ranges that overlap.
 */
static void test_random_blocks(void)
{
	struct sched *s = sched_create(&ops, NULL, &settings, 0);
	struct rng r = { .state = 1 };
	struct task_block blocks[BLOCKS] = { { 0 } };

	for (int i = 0; i < 50000; i++) {
		struct task_block *b = &blocks[rng_below(&r, BLOCKS)];

		if (b->count) {
			for (uint32_t k = 0; k < b->count; k++)
				if (s->tasks[b->first + k].run != b->first + 1)
					CU_FAIL_FATAL("the ranges overlap");
			sched_table_remove(s, b->first, b->count);
			b->count = 0;
			continue;
		}
		b->count = 1 + rng_below(&r, 1 + rng_below(&r, 400));
		b->first = sched_table_add(s, b->count);
		for (uint32_t k = 0; k < b->count; k++) {
			CU_ASSERT_FALSE_FATAL(s->tasks[b->first + k].run);
			s->tasks[b->first + k].run = b->first + 1;
		}
	}
	CU_ASSERT(s->task_count <= BLOCKS * 400);
	for (int i = 0; i < BLOCKS; i++)
		if (blocks[i].count)
			sched_table_remove(s, blocks[i].first, blocks[i].count);
	CU_ASSERT_EQUAL(s->task_count, 0);
	CU_ASSERT_EQUAL(s->free_block_count, 0);
	sched_destroy(s);
}

/* Guards against a table that grows beyond its size while ranges are free. */
static void test_room(void)
{
	struct sched *s = sched_create(&ops, NULL, &settings, 0);
	uint32_t first = sched_table_add(s, 4096);

	sched_table_add(s, TABLE_MAX - 4096);
	CU_ASSERT_FALSE(sched_table_has_room(s, 1));
	sched_table_remove(s, first, 4096);
	CU_ASSERT_TRUE(sched_table_has_room(s, 4096));
	CU_ASSERT_FALSE(sched_table_has_room(s, 4097));
	CU_ASSERT_EQUAL(sched_table_add(s, 4096), first);
	CU_ASSERT_EQUAL(s->task_capacity, TABLE_MAX);
	sched_destroy(s);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "random blocks", test_random_blocks },
		{ "room", test_room },
	};

	return RUN_SUITE("sched-table", tests);
}
