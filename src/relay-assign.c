#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "relay-assign.h"

uint32_t relay_capacity(uint32_t cpu_milli)
{
	return cpu_milli * RELAY_WORKERS_PER_CORE / 1000u;
}

/* Largest inactive relay of a zone, or of all if NULL; then by name. */
static uint32_t largest_inactive(const struct relay_candidate *list,
				 uint32_t count, const char *zone)
{
	uint32_t best = RELAY_NONE;

	for (uint32_t i = 0; i < count; i++) {
		const struct relay_candidate *c = &list[i];

		if (!c->connected || c->active ||
		    (zone && strcmp(c->zone, zone)))
			continue;
		if (best == RELAY_NONE || c->cpu_milli > list[best].cpu_milli ||
		    (c->cpu_milli == list[best].cpu_milli &&
		     strcmp(c->vm, list[best].vm) < 0))
			best = i;
	}
	return best;
}

/* Activates relays for the workers; returns how many relays. */
static uint32_t activate(struct relay_candidate *list, uint32_t count,
			 const char *zone, uint32_t workers)
{
	uint32_t capacity = 0, active = 0;

	while (active < RELAY_ACTIVE_MIN || capacity < workers) {
		uint32_t i = largest_inactive(list, count, zone);

		if (i == RELAY_NONE)
			break;
		list[i].active = true;
		capacity += relay_capacity(list[i].cpu_milli);
		active++;
	}
	return active;
}

void relay_assign_activate(struct relay_candidate *list, uint32_t count,
			   const struct relay_zone_load *zones,
			   uint32_t zone_count)
{
	uint32_t elsewhere = 0; /* workers in zones without a relay */

	for (uint32_t i = 0; i < count; i++)
		list[i].active = false;
	for (uint32_t i = 0; i < zone_count; i++)
		if (!activate(list, count, zones[i].zone, zones[i].workers))
			elsewhere += zones[i].workers;
	if (elsewhere)
		activate(list, count, NULL, elsewhere);
}

/* Weighted rendezvous hashing: the relay with the highest score serves. */
static double score(const struct relay_candidate *c, const char *worker)
{
	uint64_t seed = XXH64(c->vm, strlen(c->vm), 0);
	uint64_t hash = XXH64(worker, strlen(worker), seed);
	double uniform = ((double)(hash >> 11) + 0.5) / (double)(1ull << 53);

	return -(double)c->cpu_milli / log(uniform);
}

struct rank_key {
	bool same_zone;
	double score;
};

static bool ranks_before(const struct rank_key *a, const struct rank_key *b)
{
	if (a->same_zone != b->same_zone)
		return a->same_zone;
	return a->score > b->score;
}

uint32_t relay_assign(const struct relay_candidate *list, uint32_t count,
		      const char *worker, const char *zone, uint32_t rank)
{
	struct rank_key bound = { true, INFINITY };
	uint32_t best;

	do {
		struct rank_key best_key = { false, -1 };

		best = RELAY_NONE;
		for (uint32_t i = 0; i < count; i++) {
			struct rank_key key = {
				.same_zone = !strcmp(list[i].zone, zone),
			};

			if (!list[i].connected || !list[i].active)
				continue;
			key.score = score(&list[i], worker);
			if (!ranks_before(&bound, &key) ||
			    !ranks_before(&key, &best_key))
				continue;
			best = i;
			best_key = key;
		}
		bound = best_key;
	} while (best != RELAY_NONE && rank--);
	return best;
}
