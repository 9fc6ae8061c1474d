#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	share - split of a target's slots between the zone's entry VMs
 *
 * DESCRIPTION
 *	Slot k of a target belongs to the seat with index
 *	(k + hash of the target) mod seats (docs/design.md 5.5). While a growth
 *	is not confirmed, a seat uses a slot only when it owns the slot in the
 *	split before, too. Connections are split in the same way. Pure
 *	functions.
 */

struct share_split {
	uint32_t index;
	uint32_t count; /* 0: no seat, so no slots */
	uint32_t previous_index;
	uint32_t previous_count; /* 0: growth is confirmed */
};

bool share_owns(const struct share_split *s, uint64_t hash, uint32_t slot);

/* Number of a target's slots that the seat may use. */
uint32_t share_count(const struct share_split *s, uint64_t hash,
		     uint32_t slots);

#endif
