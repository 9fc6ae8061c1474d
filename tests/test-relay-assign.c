#include <stdio.h>
#include <string.h>

#include "relay-assign.h"
#include "support-unit.h"

#define RELAYS 12
#define WORKERS 300

static const char *const zones[] = { "za", "zb", "zc" };

/* One large and three small relays in each of three zones. */
static void fill(struct relay_candidate list[RELAYS])
{
	memset(list, 0, RELAYS * sizeof(*list));
	for (int i = 0; i < RELAYS; i++) {
		snprintf(list[i].vm, sizeof(list[i].vm), "vm-%d", i);
		snprintf(list[i].zone, sizeof(list[i].zone), "%s",
			 zones[i % 3]);
		list[i].cpu_milli = i < 3 ? 500 : 120;
		list[i].connected = true;
	}
}

static void activate(struct relay_candidate list[RELAYS], uint32_t workers)
{
	struct relay_zone_load load[3] = { 0 };

	for (int i = 0; i < 3; i++) {
		snprintf(load[i].zone, sizeof(load[i].zone), "%s", zones[i]);
		load[i].workers = workers;
	}
	relay_assign_activate(list, RELAYS, load, 3);
}

static void worker_name(int i, char name[32])
{
	snprintf(name, 32, "worker-%d", i);
}

/* Guards against a wake-up of the owner for each response: few are active. */
static void test_few_large_relays_are_active(void)
{
	struct relay_candidate list[RELAYS];
	int active = 0, large = 0;

	fill(list);
	activate(list, 100);
	for (int i = 0; i < RELAYS; i++) {
		active += list[i].active;
		large += list[i].active && list[i].cpu_milli == 500;
	}
	CU_ASSERT_EQUAL(active, 6); /* two in each zone */
	CU_ASSERT_EQUAL(large, 3);
	activate(list, 200); /* 125 + 30 + 30 + 30 */
	active = 0;
	for (int i = 0; i < RELAYS; i++)
		active += list[i].active;
	CU_ASSERT_EQUAL(active, 12);
}

/* Guards against bytes between zones: the zone's own relays come first. */
static void test_own_zone_first(void)
{
	struct relay_candidate list[RELAYS];
	char name[32];

	fill(list);
	activate(list, 100);
	for (int i = 0; i < WORKERS; i++) {
		const char *zone = zones[i % 3];

		worker_name(i, name);
		for (uint32_t rank = 0; rank < 2; rank++) {
			uint32_t r =
				relay_assign(list, RELAYS, name, zone, rank);

			CU_ASSERT_FATAL(r != RELAY_NONE);
			CU_ASSERT_STRING_EQUAL(list[r].zone, zone);
		}
		CU_ASSERT(relay_assign(list, RELAYS, name, zone, 2) !=
			  RELAY_NONE);
		CU_ASSERT_EQUAL(relay_assign(list, RELAYS, name, zone, 6),
				RELAY_NONE);
	}
}

/* Guards against a lost relay that moves the workers of others. */
static void test_loss_moves_only_own_workers(void)
{
	struct relay_candidate list[RELAYS];
	uint32_t before[WORKERS], moved = 0, own = 0;
	char name[32];

	fill(list);
	activate(list, 200);
	for (int i = 0; i < WORKERS; i++) {
		worker_name(i, name);
		before[i] = relay_assign(list, RELAYS, name, "za", 0);
	}
	list[3].connected = false;
	for (int i = 0; i < WORKERS; i++) {
		uint32_t now;

		worker_name(i, name);
		now = relay_assign(list, RELAYS, name, "za", 0);
		CU_ASSERT(now != 3);
		own += before[i] == 3;
		moved += now != before[i];
	}
	CU_ASSERT(own > 0);
	CU_ASSERT_EQUAL(moved, own);
}

/* Guards against a small VM that gets the share of a large one. */
static void test_share_follows_cpu(void)
{
	struct relay_candidate list[RELAYS];
	uint32_t count[RELAYS] = { 0 };
	char name[32];

	fill(list);
	activate(list, 200);
	for (int i = 0; i < 3000; i++) {
		worker_name(i, name);
		count[relay_assign(list, RELAYS, name, "za", 0)]++;
	}
	/* 500 of 860 thousandths: 1744 of 3000. */
	CU_ASSERT(count[0] > 1600 && count[0] < 1900);
	CU_ASSERT(count[3] > 320 && count[3] < 520);
}

/* A zone without relays is served by those of other zones. */
static void test_zone_without_relays(void)
{
	struct relay_candidate list[RELAYS];

	fill(list);
	for (int i = 0; i < RELAYS; i++)
		if (!strcmp(list[i].zone, "zb"))
			list[i].connected = false;
	activate(list, 100);
	CU_ASSERT(relay_assign(list, RELAYS, "worker-1", "zb", 0) !=
		  RELAY_NONE);
	/* Also if no worker is in the relays' own zone. */
	for (int i = 0; i < RELAYS; i++)
		snprintf(list[i].zone, sizeof(list[i].zone), "other");
	activate(list, 100);
	CU_ASSERT(relay_assign(list, RELAYS, "worker-1", "zb", 0) !=
		  RELAY_NONE);
	for (int i = 0; i < RELAYS; i++)
		list[i].connected = false;
	activate(list, 100);
	CU_ASSERT_EQUAL(relay_assign(list, RELAYS, "worker-1", "zb", 0),
			RELAY_NONE);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "few large relays are active",
		  test_few_large_relays_are_active },
		{ "own zone first", test_own_zone_first },
		{ "loss moves only own workers",
		  test_loss_moves_only_own_workers },
		{ "share follows CPU", test_share_follows_cpu },
		{ "zone without relays", test_zone_without_relays },
	};

	return RUN_SUITE("relay-assign", tests);
}
