#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	share - partition of a target's slots among the entry VMs of a zone
 *
 * DESCRIPTION
 *	Each entry VM holds one seat, and each slot of a target belongs to one
 *	seat. The split for n + 1 seats is the split for n seats with the slots
 *	of the new seat taken evenly from the others (docs/design.md 5.5), so
 *	adding or removing the last seat moves no slot between the others. Slot
 *	counts differ by at most one, and the hash of the target selects the
 *	seats that get the extra slots. Until a new split is confirmed, a seat
 *	uses only slots that it owns in both the new and the previous split.
 *	Connections are split in the same way. The functions have no state.
 */

#define SHARE_SLOTS_MAX 256u /* per target; further slots are not used */

struct share_split {
	uint32_t index;
	uint32_t count; /* 0: this process has no seat and no slots */
	uint32_t previous_index;
	uint32_t previous_count; /* 0: the split is confirmed */
};

/* Whether the seat may use the slot with this index, below slots. */
bool share_owns_slot(const struct share_split *s, uint64_t hash, uint32_t slots,
		     uint32_t slot);

/* Returns the number of the target's slots that the seat may use. */
uint32_t share_count_slots(const struct share_split *s, uint64_t hash,
			   uint32_t slots);

#endif
