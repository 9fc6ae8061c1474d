#ifndef RELAY_ASSIGN_H
#define RELAY_ASSIGN_H

#include <stdbool.h>
#include <stdint.h>

#include "job-spec.h"

/*
 * NAME
 *	relay-assign - chooses the relay that carries the calls to a worker
 *
 * DESCRIPTION
 *	Load pattern: hundreds of workers on one owner. Each worker needs some
 *	calls per second, which would exhaust the owner's CPU while the other
 *	entry VMs idle. In each availability zone as few relays are active as
 *	the workers there need, largest first, so that the owner receives the
 *	responses of many workers with one wake-up. Workers are spread over the
 *	active relays of their zone by weighted rendezvous hashing: the loss of
 *	a relay moves only its own workers.
 *
 *	Without input or output; struct relay_candidate is the caller's table.
 */

#define RELAY_NONE UINT32_MAX
/* A worker takes about 0.7 thousandths of a core of its relay. */
#define RELAY_WORKERS_PER_CORE 250u
/* Active relays of a zone at least, so that the loss of one is absorbed. */
#define RELAY_ACTIVE_MIN 2u

struct relay_candidate {
	char vm[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	uint32_t cpu_milli;
	bool connected;
	bool active; /* set by relay_assign_activate() */
};

struct relay_zone_load {
	char zone[JOB_NAME_BYTES];
	uint32_t workers;
};

/* Number of workers that a VM with the given CPU can serve as a relay. */
uint32_t relay_capacity(uint32_t cpu_milli);

/* Sets active for each candidate. */
void relay_assign_activate(struct relay_candidate *list, uint32_t count,
			   const struct relay_zone_load *zones,
			   uint32_t zone_count);

/*
 * Index of the worker's relay of the given rank, 0 being the preferred one, or
 * RELAY_NONE if there are not as many active relays. Relays of the worker's
 * zone rank first.
 */
uint32_t relay_assign(const struct relay_candidate *list, uint32_t count,
		      const char *worker, const char *zone, uint32_t rank);

#endif
