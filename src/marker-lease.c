#include <string.h>

#include "marker-lease.h"

#define RETENTION_MIN_US 30000000u
#define RETENTION_MAX_US 480000000u

void marker_lease_init(struct marker_lease *l, uint64_t retention_us)
{
	memset(l, 0, sizeof(*l));
	if (retention_us < RETENTION_MIN_US)
		retention_us = RETENTION_MIN_US;
	if (retention_us > RETENTION_MAX_US)
		retention_us = RETENTION_MAX_US;
	l->ttl_ms = (uint32_t)(retention_us / 1000 * MARKER_LEASE_PARTS /
			       (MARKER_LEASE_PARTS - 1));
}

void marker_lease_granted(struct marker_lease *l, uint64_t id, uint32_t ttl_ms,
			  uint64_t sent_us)
{
	l->id = id;
	l->used = 0;
	/* The lease runs from the arrival of the call, which is later. */
	l->add_until_us = sent_us + (ttl_ms ? ttl_ms : l->ttl_ms) * 1000ull /
					    MARKER_LEASE_PARTS;
}

void marker_lease_ended(struct marker_lease *l, uint64_t id)
{
	if (l->id == id)
		l->id = 0;
}

enum marker_check marker_lease_add(struct marker_lease *l, uint64_t now_us,
				   uint64_t *retry_after_us)
{
	*retry_after_us = 0;
	if (!l->id || now_us >= l->add_until_us)
		return MARKER_NEEDS_LEASE;
	if (l->used >= MARKERS_PER_LEASE) {
		*retry_after_us = l->add_until_us - now_us;
		return MARKER_LIMIT;
	}
	l->used++;
	return MARKER_OK;
}
