#include "rng.h"
#include "share.h"
#include "support-unit.h"

/* Guards against a slot that two seats use, or none. */
static void test_each_slot_has_one_owner(void)
{
	struct rng r = { .state = 1 };
	uint32_t wrong = 0;

	for (int i = 0; i < 2000; i++) {
		uint64_t hash = rng_next(&r);
		uint32_t seats = 1 + rng_below(&r, 9);
		uint32_t owners = 0;

		for (uint32_t seat = 0; seat < seats; seat++) {
			struct share_split s = { .index = seat,
						 .count = seats };

			owners += share_owns(&s, hash, i % 64);
		}
		wrong += owners != 1;
	}
	CU_ASSERT_EQUAL(wrong, 0);
}

/*
 * Guards against two seats that use one slot while one has applied a new
 * split and the other still uses the split before.
 */
static void test_unconfirmed_growth_overlaps_nobody(void)
{
	struct rng r = { .state = 2 };
	uint32_t shared = 0;

	for (int i = 0; i < 2000; i++) {
		uint64_t hash = rng_next(&r);
		uint32_t before = 1 + rng_below(&r, 6);
		uint32_t after = 1 + rng_below(&r, 6);
		struct share_split fresh = {
			.index = rng_below(&r, after),
			.count = after,
			.previous_index = rng_below(&r, before),
			.previous_count = before,
		};

		for (uint32_t seat = 0; seat < before; seat++) {
			struct share_split old = { .index = seat,
						   .count = before };

			if (seat == fresh.previous_index)
				continue;
			for (uint32_t k = 0; k < 8; k++)
				shared += share_owns(&fresh, hash, k) &&
					  share_owns(&old, hash, k);
		}
	}
	CU_ASSERT_EQUAL(shared, 0);
}

/* Guards against an uneven split: 8 slots over 3 seats are 3, 3 and 2. */
static void test_counts(void)
{
	struct share_split s = { .count = 3 };
	uint32_t counts[3];

	for (s.index = 0; s.index < 3; s.index++)
		counts[s.index] = share_count(&s, 7, 8);
	CU_ASSERT_EQUAL(counts[0] + counts[1] + counts[2], 8);
	for (int i = 0; i < 3; i++)
		CU_ASSERT(counts[i] == 2 || counts[i] == 3);
	s.count = 0;
	CU_ASSERT_EQUAL(share_count(&s, 7, 8), 0);
	s.index = 3;
	s.count = 2;
	CU_ASSERT_EQUAL(share_count(&s, 7, 8), 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "each slot has one owner", test_each_slot_has_one_owner },
		{ "unconfirmed growth overlaps nobody",
		  test_unconfirmed_growth_overlaps_nobody },
		{ "counts", test_counts },
	};

	return RUN_SUITE("share", tests);
}
