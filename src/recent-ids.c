#include <stdio.h>
#include <string.h>

#include "recent-ids.h"

void recent_ids_add(struct recent_ids *r, const char *id, uint64_t until_us)
{
	uint32_t i = 0;

	while (i < RECENT_IDS_MAX && strcmp(r->entries[i].id, id) != 0)
		i++;
	if (i < RECENT_IDS_MAX) {
		if (until_us > r->entries[i].until_us)
			r->entries[i].until_us = until_us;
		return;
	}
	i = r->next++ % RECENT_IDS_MAX;
	snprintf(r->entries[i].id, sizeof(r->entries[i].id), "%s", id);
	r->entries[i].until_us = until_us;
}

bool recent_ids_contains(const struct recent_ids *r, const char *id,
			 uint64_t now_us)
{
	for (uint32_t i = 0; i < RECENT_IDS_MAX; i++)
		if (now_us < r->entries[i].until_us &&
		    !strcmp(r->entries[i].id, id))
			return true;
	return false;
}
