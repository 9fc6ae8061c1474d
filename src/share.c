#include "share.h"

/* Whether the seat of that index owns the slot in a split of count seats. */
static bool owns(uint64_t hash, uint32_t slot, uint32_t index, uint32_t count)
{
	return (slot + hash % count) % count == index;
}

bool share_owns(const struct share_split *s, uint64_t hash, uint32_t slot)
{
	if (s->count == 0 || s->index >= s->count)
		return false;
	if (!owns(hash, slot, s->index, s->count))
		return false;
	return s->previous_count == 0 ||
	       owns(hash, slot, s->previous_index, s->previous_count);
}

uint32_t share_count(const struct share_split *s, uint64_t hash, uint32_t slots)
{
	uint32_t n = 0;

	for (uint32_t k = 0; k < slots; k++)
		n += share_owns(s, hash, k);
	return n;
}
