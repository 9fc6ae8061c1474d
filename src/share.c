#include <string.h>

#include "rng.h"
#include "share.h"

#define SEATS_MAX 64u

static uint32_t pick_donor(const uint32_t *load, uint32_t seats, struct rng *r);
static void add_seat(uint8_t *owner, uint32_t *load, uint32_t slots,
		     uint32_t seat, struct rng *r);
static void split_slots(uint64_t hash, uint32_t slots, uint32_t count,
			uint8_t *owner);

/* Returns a seat with the most slots; the random source breaks ties. */
static uint32_t pick_donor(const uint32_t *load, uint32_t seats, struct rng *r)
{
	uint32_t first = rng_below(r, seats), best = first;

	for (uint32_t i = 1; i < seats; i++) {
		uint32_t seat = (first + i) % seats;

		if (load[seat] > load[best])
			best = seat;
	}
	return best;
}

/* Moves slots of the seats before to a new last seat. */
static void add_seat(uint8_t *owner, uint32_t *load, uint32_t slots,
		     uint32_t seat, struct rng *r)
{
	uint32_t quota = slots / (seat + 1);

	/* On average over many targets each seat has the same number. */
	quota += rng_below(r, seat + 1) < slots % (seat + 1);
	while (load[seat] < quota) {
		uint32_t donor = pick_donor(load, seat, r);
		uint32_t k = slots - 1;

		while (owner[k] != donor)
			k--;
		owner[k] = (uint8_t)seat;
		load[donor]--;
		load[seat]++;
	}
}

/* Fills the owner of each slot; what a seat moves depends only on the hash. */
static void split_slots(uint64_t hash, uint32_t slots, uint32_t count,
			uint8_t *owner)
{
	uint32_t load[SEATS_MAX] = { slots };
	struct rng r = { .state = hash };

	memset(owner, 0, slots);
	for (uint32_t seat = 1; seat < count; seat++)
		add_seat(owner, load, slots, seat, &r);
}

/* Counts the slots up to a limit that the seat owns in all its splits. */
static uint32_t count_owned(const struct share_split *s, uint64_t hash,
			    uint32_t slots, uint32_t from, uint32_t to)
{
	uint8_t now[SHARE_SLOTS_MAX], before[SHARE_SLOTS_MAX];
	uint32_t n = 0;

	if (slots > SHARE_SLOTS_MAX)
		slots = SHARE_SLOTS_MAX;
	if (to > slots)
		to = slots;
	if (s->index >= s->count || s->count > SEATS_MAX ||
	    s->previous_count > SEATS_MAX)
		return 0;
	split_slots(hash, slots, s->count, now);
	if (s->previous_count)
		split_slots(hash, slots, s->previous_count, before);
	for (uint32_t k = from; k < to; k++)
		n += now[k] == s->index &&
		     (!s->previous_count || before[k] == s->previous_index);
	return n;
}

bool share_owns_slot(const struct share_split *s, uint64_t hash, uint32_t slots,
		     uint32_t slot)
{
	return count_owned(s, hash, slots, slot, slot + 1) > 0;
}

uint32_t share_count_slots(const struct share_split *s, uint64_t hash,
			   uint32_t slots)
{
	return count_owned(s, hash, slots, 0, slots);
}
