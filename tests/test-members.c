#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rng.h"
#include "seats.h"
#include "share.h"
#include "support-unit.h"

#define SEED 20261204u
#define RUNS 300
#define STEPS 4000
#define PROCESSES 5
#define TARGETS 2
#define SLOTS 8
/* Model time: longest read interval of a live process, and longest request. */
#define READ_INTERVAL_MAX 30
#define REQUEST_MAX 100
#define CONFIRM_WAIT (READ_INTERVAL_MAX + REQUEST_MAX)

/* A modelled process: the value it last read and its requests in flight. */
struct process {
	char name[SEAT_NAME_BYTES];
	bool alive;
	bool leaving;
	struct seats view;
	struct seats_handover progress;
	uint64_t read_at;
	uint64_t ends[TARGETS][SLOTS]; /* 0: no request */
};

struct model {
	struct rng rng;
	uint64_t now;
	int incarnations;
	struct seats stored;
	struct process processes[PROCESSES];
	int requests_started;
	int confirmations;
};

/* Fails if a seat may use new slots before their owner has released them. */
static void test_growth_only_when_confirmed(void)
{
	struct seats s = { 0 };
	struct seat seat;

	CU_ASSERT_EQUAL(seats_add(&s, "a/1"), 0);
	CU_ASSERT_TRUE(s.confirmed);
	CU_ASSERT_EQUAL(seats_add(&s, "b/1"), 0);
	CU_ASSERT_EQUAL(seats_add(&s, "b/1"), -1);
	CU_ASSERT_FALSE(s.confirmed);
	seats_get_seat(&s, "b/1", &seat);
	CU_ASSERT_EQUAL(seat.count, 2);
	CU_ASSERT_EQUAL(seat.previous_count, 1);
	CU_ASSERT_EQUAL(seat.previous_index, 1); /* had no seat */
	/* A second change keeps the last confirmed split. */
	CU_ASSERT_EQUAL(seats_add(&s, "c/1"), 0);
	seats_get_seat(&s, "a/1", &seat);
	CU_ASSERT_EQUAL(seat.revision, 3);
	CU_ASSERT_EQUAL(seat.previous_count, 1);
	s.confirmed = true;
	seats_get_seat(&s, "a/1", &seat);
	CU_ASSERT_EQUAL(seat.previous_count, 0);
	CU_ASSERT_EQUAL(seats_remove(&s, "b/1"), 0);
	seats_get_seat(&s, "b/1", &seat);
	CU_ASSERT_EQUAL(seat.revision, 0);
	CU_ASSERT_EQUAL(s.previous_count, 3);
}

/*
 * Fails if the slots of a removed seat count as free although the targets were
 * last idle within a lease time of the removal: a killed process could have
 * started a request after that.
 */
static void test_idle_targets_release_a_departed_seat(void)
{
	struct seats_handover p = { 0 };
	struct seats s = { 0 };

	seats_add(&s, "a/1");
	seats_add(&s, "b/1");
	s.confirmed = true;
	seats_remove(&s, "b/1");
	seats_handover_update(&p, &s, 1000);
	seats_handover_set_applied(&p, "a/1", s.revision);
	CU_ASSERT_FALSE(seats_handover_idle(&p, &s, 300, 0));
	CU_ASSERT_FALSE(seats_handover_idle(&p, &s, 300, 1299));
	CU_ASSERT_TRUE(seats_handover_idle(&p, &s, 300, 1300));
}

/* Fails if idle targets replace the reply of a seat that is still held. */
static void test_idle_targets_do_not_release_a_held_seat(void)
{
	struct seats_handover p = { 0 };
	struct seats s = { 0 };

	seats_add(&s, "a/1");
	seats_add(&s, "b/1");
	s.confirmed = true;
	seats_add(&s, "c/1");
	seats_handover_update(&p, &s, 1000);
	seats_handover_set_applied(&p, "a/1", s.revision);
	CU_ASSERT_FALSE(seats_handover_idle(&p, &s, 300, 5000));
}

/* Fails if replacing one entry VM moves slots between the others. */
static void test_others_keep_their_index(void)
{
	struct seats s = { 0 };
	struct seat before, after;

	seats_add(&s, "a/1");
	seats_add(&s, "b/1");
	seats_add(&s, "c/1");
	s.confirmed = true;
	seats_get_seat(&s, "c/1", &before);
	CU_ASSERT_EQUAL(seats_remove(&s, "a/1"), 0);
	CU_ASSERT_EQUAL(seats_count_held(&s), 2);
	CU_ASSERT_EQUAL(seats_add(&s, "a/2"), 0);
	seats_get_seat(&s, "c/1", &after);
	CU_ASSERT_EQUAL(after.index, before.index);
	CU_ASSERT_EQUAL(after.count, before.count);
	CU_ASSERT_EQUAL(after.previous_index, before.index);
	CU_ASSERT_EQUAL(after.previous_count, before.count);
	seats_get_seat(&s, "a/2", &after);
	CU_ASSERT_EQUAL(after.index, 0);
	CU_ASSERT_EQUAL(after.previous_index, 3); /* had no seat */
	CU_ASSERT_EQUAL(seats_compact(&s), -1);
	CU_ASSERT_EQUAL(seats_remove(&s, "b/1"), 0);
	CU_ASSERT_EQUAL(seats_compact(&s), 0);
	CU_ASSERT_EQUAL(s.count, 2);
	CU_ASSERT_EQUAL(seats_find(&s, "c/1"), 1);
}

/*
 * Fails if a split may be confirmed while a seat of the previous one has not
 * applied it and may still have requests.
 */
static void test_handover(void)
{
	struct seats s = { 0 };
	struct seats_handover p = { 0 };

	seats_add(&s, "a/1");
	seats_add(&s, "b/1");
	s.confirmed = true;
	seats_add(&s, "c/1");
	seats_handover_update(&p, &s, 1000);
	seats_handover_set_applied(&p, "a/1", s.revision);
	CU_ASSERT_FALSE(seats_handover_done(&p, &s, 33, 1010));
	seats_handover_set_applied(&p, "b/1", s.revision - 1);
	CU_ASSERT_FALSE(seats_handover_done(&p, &s, 33, 1010));
	CU_ASSERT_TRUE(seats_handover_done(&p, &s, 33, 1033));
	/* The next change restarts the wait for b, which still has a seat. */
	seats_remove(&s, "c/1");
	seats_handover_update(&p, &s, 1030);
	seats_handover_set_applied(&p, "a/1", s.revision);
	CU_ASSERT_FALSE(seats_handover_done(&p, &s, 33, 1040));
	/* Later changes don't restart the wait for a removed seat. */
	seats_remove(&s, "b/1");
	seats_handover_update(&p, &s, 1040);
	seats_remove(&s, "a/1");
	seats_handover_update(&p, &s, 1050);
	seats_handover_set_applied(&p, "a/1", s.revision);
	CU_ASSERT_TRUE(seats_handover_done(&p, &s, 33, 1073));
}

/* Fails if a value changes in a round trip or a truncated one is accepted. */
static void test_format_round_trip(void)
{
	struct seats s = { 0 }, again;
	struct error err;
	char *text;

	seats_add(&s, "a/1");
	s.confirmed = true;
	seats_add(&s, "b/2");
	text = seats_format(&s);
	CU_ASSERT_EQUAL(seats_parse(text, strlen(text), &again, &err), 0);
	CU_ASSERT_EQUAL(memcmp(&s, &again, sizeof(s)), 0);
	for (size_t n = 0; n < strlen(text); n++)
		if (seats_parse(text, n, &again, &err) == 0)
			CU_FAIL("a truncated value was accepted");
	free(text);
	CU_ASSERT_EQUAL(seats_parse("{\"format\":2}", 12, &again, &err), -1);
	CU_ASSERT_EQUAL(err.code, SEATS_NEWER_FORMAT);
}

static bool owns(const struct process *p, int target, uint32_t slot)
{
	struct seat seat;
	struct share_split split;

	seats_get_seat(&p->view, p->name, &seat);
	split = (struct share_split){ seat.index, seat.count,
				      seat.previous_index,
				      seat.previous_count };
	return seat.revision &&
	       share_owns_slot(&split, (uint64_t)target * 77, SLOTS, slot);
}

static bool requests_fit(const struct process *p, uint64_t now)
{
	for (int t = 0; t < TARGETS; t++)
		for (uint32_t k = 0; k < SLOTS; k++)
			if (p->ends[t][k] > now && !owns(p, t, k))
				return false;
	return true;
}

static void read_view(struct model *m, struct process *p)
{
	p->view = m->stored;
	p->read_at = m->now;
	seats_handover_update(&p->progress, &p->view, m->now);
}

/* Broadcasts that a process applied its revision; messages may be lost. */
static void send_applied(struct model *m, struct process *p)
{
	if (!requests_fit(p, m->now) || rng_below(&m->rng, 3) == 0)
		return;
	for (int i = 0; i < PROCESSES; i++)
		if (m->processes[i].alive && rng_below(&m->rng, 3))
			seats_handover_set_applied(&m->processes[i].progress,
						   p->name, p->view.revision);
}

/* Compare-and-swap by a process whose view may be outdated. */
static void write_seats(struct model *m, const struct process *p,
			const struct seats *next)
{
	if (memcmp(&m->stored, &p->view, sizeof(m->stored)))
		return;
	m->confirmations += next->confirmed && !m->stored.confirmed;
	m->stored = *next;
}

/* One process joins, leaves, removes dead ones, or confirms the value. */
static void change_seats(struct model *m, struct process *p)
{
	struct seats next = p->view;

	if (p->leaving && requests_fit(p, m->now))
		seats_remove(&next, p->name);
	else if (!p->leaving && seats_find(&next, p->name) < 0)
		seats_add(&next, p->name);
	for (uint32_t i = 0; i < next.count; i++) {
		bool alive = false;

		for (int j = 0; j < PROCESSES; j++)
			alive |= m->processes[j].alive &&
				 !strcmp(m->processes[j].name, next.names[i]);
		if (!alive && rng_below(&m->rng, 4) == 0)
			seats_remove(&next, next.names[i]);
	}
	if (next.revision == p->view.revision && next.confirmed &&
	    rng_below(&m->rng, 4) == 0)
		seats_compact(&next);
	if (next.revision == p->view.revision && !next.confirmed &&
	    seats_handover_done(&p->progress, &p->view, CONFIRM_WAIT, m->now)) {
		next.confirmed = true;
		next.previous_count = 0;
		memset(next.previous, 0, sizeof(next.previous));
	}
	if (memcmp(&next, &p->view, sizeof(next)))
		write_seats(m, p, &next);
}

/* Starts a request if the view allows it; -1 if the slot is already in use. */
static int start_request(struct model *m, struct process *p)
{
	int t = (int)rng_below(&m->rng, TARGETS);
	uint32_t k = rng_below(&m->rng, SLOTS);

	if (p->ends[t][k] > m->now || !owns(p, t, k))
		return 0;
	for (int i = 0; i < PROCESSES; i++)
		if (m->processes[i].ends[t][k] > m->now)
			return -1;
	p->ends[t][k] = m->now + 1 + rng_below(&m->rng, REQUEST_MAX - 1);
	m->requests_started++;
	return 0;
}

static void restart(struct model *m, struct process *p)
{
	memset(&p->view, 0, sizeof(p->view));
	memset(&p->progress, 0, sizeof(p->progress));
	seats_format_name(p->name, "e", (uint64_t)++m->incarnations);
	p->alive = true;
	p->leaving = false;
	p->read_at = m->now;
}

/* Requests of a dead process run on; it restarts only after they ended. */
static int step(struct model *m)
{
	struct process *p = &m->processes[rng_below(&m->rng, PROCESSES)];
	uint32_t roll = rng_below(&m->rng, 1000);

	m->now++;
	for (int i = 0; i < PROCESSES; i++)
		if (m->processes[i].alive &&
		    m->now - m->processes[i].read_at >= READ_INTERVAL_MAX - 1)
			read_view(m, &m->processes[i]);
	if (!p->alive) {
		bool busy = false;

		for (int t = 0; t < TARGETS; t++)
			for (int k = 0; k < SLOTS; k++)
				busy |= p->ends[t][k] > m->now;
		if (!busy && roll < 300)
			restart(m, p);
		return 0;
	}
	if (roll < 5)
		p->alive = false;
	else if (roll < 10)
		p->leaving = true;
	else if (roll < 200)
		read_view(m, p);
	else if (roll < 350)
		change_seats(m, p);
	else if (roll < 500)
		send_applied(m, p);
	else
		return start_request(m, p);
	if (p->leaving && seats_find(&m->stored, p->name) < 0 &&
	    requests_fit(p, m->now) && p->view.revision == m->stored.revision)
		p->alive = false;
	return 0;
}

/*
 * Fails if two entry VMs use one slot at the same time while seats are added
 * and removed, messages are lost and views are outdated.
 */
static void test_no_slot_is_used_twice(void)
{
	int collisions = 0, requests_started = 0, confirmations = 0;

	printf("seed %u ", SEED);
	for (int run = 0; run < RUNS; run++) {
		struct model m = { .rng = { SEED + (uint64_t)run }, .now = 1 };

		for (int i = 0; i < STEPS && !collisions; i++)
			collisions += step(&m) < 0;
		if (collisions) {
			printf("collision in run %d at %d\n", run, (int)m.now);
			break;
		}
		requests_started += m.requests_started;
		confirmations += m.confirmations;
	}
	CU_ASSERT_EQUAL(collisions, 0);
	/* A rule that permits no requests would have no collisions either. */
	printf("%d requests, %d confirmations ", requests_started,
	       confirmations);
	CU_ASSERT(requests_started > RUNS * 50);
	CU_ASSERT(confirmations > RUNS * 3);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "growth only when confirmed",
		  test_growth_only_when_confirmed },
		{ "others keep their index", test_others_keep_their_index },
		{ "handover", test_handover },
		{ "idle targets release a departed seat",
		  test_idle_targets_release_a_departed_seat },
		{ "idle targets do not release a held seat",
		  test_idle_targets_do_not_release_a_held_seat },
		{ "format round trip", test_format_round_trip },
		{ "no slot is used twice", test_no_slot_is_used_twice },
	};

	return RUN_SUITE("members", tests);
}
