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

			owners += share_owns_slot(&s, hash, 64, i % 64);
		}
		wrong += owners != 1;
	}
	CU_ASSERT_EQUAL(wrong, 0);
}

/*
 * Guards against two seats that use one slot while one has applied a new
 * split and the other still uses the split before.
 */
static void test_unconfirmed_growth_has_no_overlap(void)
{
	struct rng r = { .state = 2 };
	uint32_t shared = 0;

	for (int i = 0; i < 2000; i++) {
		uint64_t hash = rng_next(&r);
		uint32_t before = 1 + rng_below(&r, 6);
		uint32_t after = 1 + rng_below(&r, 6);
		struct share_split new_split = {
			.index = rng_below(&r, after),
			.count = after,
			.previous_index = rng_below(&r, before),
			.previous_count = before,
		};

		for (uint32_t seat = 0; seat < before; seat++) {
			struct share_split old_split = { .index = seat,
							 .count = before };

			if (seat == new_split.previous_index)
				continue;
			for (uint32_t k = 0; k < 8; k++)
				shared +=
					share_owns_slot(&new_split, hash, 8,
							k) &&
					share_owns_slot(&old_split, hash, 8, k);
		}
	}
	CU_ASSERT_EQUAL(shared, 0);
}

/* Guards against an uneven split: 8 slots over 3 seats are 3, 3 and 2. */
static void test_slots_split_evenly(void)
{
	struct share_split s = { .count = 3 };
	uint32_t counts[3];

	for (s.index = 0; s.index < 3; s.index++)
		counts[s.index] = share_count_slots(&s, 7, 8);
	CU_ASSERT_EQUAL(counts[0] + counts[1] + counts[2], 8);
	for (int i = 0; i < 3; i++)
		CU_ASSERT(counts[i] == 2 || counts[i] == 3);
	s.count = 0;
	CU_ASSERT_EQUAL(share_count_slots(&s, 7, 8), 0);
	s.index = 3;
	s.count = 2;
	CU_ASSERT_EQUAL(share_count_slots(&s, 7, 8), 0);
}

/*
 * Guards against a replacement that takes slots from seats that stay: the new
 * seat joins at the end, and until that is confirmed the others must keep all
 * but the slots that they give to it.
 */
static void test_growth_moves_only_slots_of_the_new_seat(void)
{
	struct rng r = { .state = 3 };
	uint32_t kept = 0, owned = 0;

	for (int i = 0; i < 300; i++) {
		uint64_t hash = rng_next(&r);

		for (uint32_t seat = 0; seat < 3; seat++) {
			struct share_split new_split = {
				.index = seat,
				.count = 4,
				.previous_index = seat,
				.previous_count = 3,
			};
			struct share_split old_split = { .index = seat,
							 .count = 3 };

			kept += share_count_slots(&new_split, hash, 8);
			owned += share_count_slots(&old_split, hash, 8);
		}
	}
	CU_ASSERT_EQUAL(owned, 300 * 8);
	CU_ASSERT_EQUAL(kept, 300 * 6);
}

/* Guards against seats that have fewer slots over all targets than others. */
static void test_sums_over_targets_are_even(void)
{
	struct rng r = { .state = 4 };
	uint32_t sums[3] = { 0 };

	for (int i = 0; i < 3000; i++) {
		uint64_t hash = rng_next(&r);

		for (uint32_t seat = 0; seat < 3; seat++) {
			struct share_split s = { .index = seat, .count = 3 };

			sums[seat] += share_count_slots(&s, hash, 8);
		}
	}
	for (int i = 0; i < 3; i++)
		CU_ASSERT(sums[i] > 7800 && sums[i] < 8200);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "each slot has one owner", test_each_slot_has_one_owner },
		{ "unconfirmed growth overlaps nobody",
		  test_unconfirmed_growth_has_no_overlap },
		{ "counts", test_slots_split_evenly },
		{ "growth moves only slots of the new seat",
		  test_growth_moves_only_slots_of_the_new_seat },
		{ "sums over targets are even",
		  test_sums_over_targets_are_even },
	};

	return RUN_SUITE("share", tests);
}
