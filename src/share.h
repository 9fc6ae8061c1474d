#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	share - split of a target's slots between the zone's entry VMs
 *
 * DESCRIPTION
 *	The split of n + 1 seats is that of n seats, with the slots of the last
 *	seat taken evenly from the others (docs/design.md 5.5). So a seat that
 *	is added or removed at the end moves no slot between the others. The
 *	numbers of slots of two seats differ by at most one, and the hash of
 *	the target decides who has one more. While a growth is not confirmed, a
 *	seat uses a slot only when it owns the slot in the split before, too.
 *	Connections are split in the same way. Pure functions.
 */

#define SHARE_SLOTS_MAX 256u /* of one target; more are not used */

struct share_split {
	uint32_t index;
	uint32_t count; /* 0: no seat, so no slots */
	uint32_t previous_index;
	uint32_t previous_count; /* 0: growth is confirmed */
};

/* Whether the seat may use that slot of a target with so many slots. */
bool share_owns_slot(const struct share_split *s, uint64_t hash, uint32_t slots,
		     uint32_t slot);

/* Number of a target's slots that the seat may use. */
uint32_t share_count_slots(const struct share_split *s, uint64_t hash,
			   uint32_t slots);

#endif
