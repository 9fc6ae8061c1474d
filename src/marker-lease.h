#ifndef MARKER_LEASE_H
#define MARKER_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	marker-lease - lease of the store to which an entry VM attaches markers
 *
 * DESCRIPTION
 *	A marker is a key that has to last for a retention time and must then
 *	be removed, even if its writer has exited. So it is attached to a lease
 *	that is never renewed. One lease serves all markers that are stored in
 *	the first part of its term; those that come later need a new one. This
 *	module decides which lease a marker gets; it has no input or output.
 *
 *	A lease takes up to MARKERS_PER_LEASE markers, and MARKER_LEASE_PARTS
 *	leases at most are alive at once, which bounds the markers of one VM in
 *	the store.
 *
 * ERRORS
 *	MARKER_NEEDS_LEASE	a lease is to be granted first
 *	MARKER_LIMIT		the lease is full; a later marker may be stored
 *				after retry_after_us
 *
 * UNITS
 *	now_us, sent_us: CLOCK_BOOTTIME in microseconds. TTLs in milliseconds.
 */

#define MARKERS_PER_LEASE 1000u
/* Markers are added during one of these parts of a lease's term. */
#define MARKER_LEASE_PARTS 5u

enum marker_check { MARKER_OK, MARKER_NEEDS_LEASE, MARKER_LIMIT };

struct marker_lease {
	uint64_t id;	       /* 0: none */
	uint64_t add_until_us; /* no marker is added from then on */
	uint32_t used;
	uint32_t ttl_ms; /* to be requested */
};

/*
 * Markers last for retention_us at least, but no shorter than 30 s and no
 * longer than 8 minutes: the store's leases are limited to ten.
 */
void marker_lease_init(struct marker_lease *l, uint64_t retention_us);

/* A lease that was requested at sent_us has been granted; ttl_ms 0: as asked.
 */
void marker_lease_granted(struct marker_lease *l, uint64_t id, uint32_t ttl_ms,
			  uint64_t sent_us);
/* The store has no such lease any more. */
void marker_lease_ended(struct marker_lease *l, uint64_t id);

/* Counts a marker if it returns MARKER_OK. */
enum marker_check marker_lease_add(struct marker_lease *l, uint64_t now_us,
				   uint64_t *retry_after_us);

#endif
