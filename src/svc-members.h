#ifndef SVC_MEMBERS_H
#define SVC_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	members - service "members": live entry VMs and the zone's seats
 *
 * DESCRIPTION
 *	A member is live while its heartbeat is younger than two lease times.
 *	members_seat() gives this process's part of the split of the zone's
 *	targets (docs/design.md 5.5). Control thread only, but for
 *	members_seat(), which any thread may call.
 *
 *	members_seat() gives revision 0 from the moment when the process was
 *	paused longer than the lease (CLOCK_BOOTTIME) until the store or a
 *	peer of the zone has shown that the split is still the same.
 */

#define MEMBERS_MAX 64

struct member {
	char id[64];
	char availability_zone[64];
	struct settings_address peer_address;
	struct settings_address operator_address;
	uint64_t started_us; /* wall clock of the process start */
	uint64_t last_heartbeat_us;
	uint64_t config_revision;
	bool draining;
	bool store_reachable; /* it reached the store within two lease times */
	bool live;
};

struct seat {
	uint64_t revision; /* 0 until a seat is held */
	uint32_t index;
	uint32_t count; /* places, the empty ones included */
	/*
	 * Seats of the split before, until its requests have ended: a slot
	 * may be used only when it is this seat's in both splits.
	 */
	uint32_t previous_index; /* previous_count: no seat in it */
	uint32_t previous_count; /* 0 when the growth is confirmed */
};

struct members;

struct service *members_create(const struct settings *s);
struct members *members_find(struct kernel *k);

/* Copies at most max members, this process first; returns the number. */
uint32_t members_list(struct members *m, struct member *out, uint32_t max);
const struct member *members_get(struct members *m, const char *id);
void members_seat(struct members *m, struct seat *out);

/*
 * Owner of a shard with the highest epoch that a live member's heartbeat
 * named; id is "" and epoch 0 when there is none.
 */
void members_shard_owner(struct members *m, const char *shard, char id[64],
			 uint64_t *epoch);

/* Calls fn on the control thread after each change of the seat. */
void members_add_seat_listener(struct members *m, void (*fn)(void *arg),
			       void *arg);

/*
 * Tells whether this process is the zone's reader of the store: it holds the
 * lowest live seat among those that reach the store, or the lowest live one
 * when none does.
 */
bool members_is_store_reader(struct members *m);

/* Number of entry VMs of the zone that hold a seat. Control thread. */
uint32_t members_count_seats(struct members *m);

/* Tells whether a drain has given up the seat. Any thread. */
bool members_seat_released(struct members *m);

/* Tells whether another live member was heard. */
bool members_have_peers(struct members *m);
#endif
