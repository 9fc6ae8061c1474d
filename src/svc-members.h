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
 *	A member is live while its last heartbeat is less than two lease times
 *	old. members_seat() returns this process's seat, its position in the
 *	split of the zone's targets (docs/design.md 5.5, seats.h). Functions
 *	run on the control thread unless marked otherwise.
 *
 *	After the process was paused longer than the lease (CLOCK_BOOTTIME),
 *	members_seat() returns revision 0 until the store or a peer of the zone
 *	has confirmed that the split is unchanged.
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
	uint32_t count; /* positions, empty ones included */
	/*
	 * Position in the last confirmed split, until a new one is confirmed:
	 * a slot may be used only if this seat owns it in both.
	 */
	uint32_t previous_index; /* previous_count: none */
	uint32_t previous_count; /* 0 once the split is confirmed */
};

struct members;

struct service *members_create(const struct settings *s);
struct members *members_find(struct kernel *k);

/* Copies at most max members, this process first. Returns their number. */
uint32_t members_list(struct members *m, struct member *out, uint32_t max);

/* Returns NULL if the id is unknown. Valid until the next control event. */
const struct member *members_get(struct members *m, const char *id);

/* Copies this process's seat. Any thread. */
void members_seat(struct members *m, struct seat *out);

/*
 * Finds the owner of a shard: the process with the highest epoch among this one
 * and the live members. Without an owner, id is "" and epoch 0.
 */
void members_shard_owner(struct members *m, const char *shard, char id[64],
			 uint64_t *epoch);

/* Calls fn on the control thread after each change of the seat. */
void members_add_seat_listener(struct members *m, void (*fn)(void *arg),
			       void *arg);

/*
 * Returns whether this process is the zone's store reader: it holds the lowest
 * live seat among those that reach the store, or the lowest live one if none
 * does. While no seat is live, every process is a store reader.
 */
bool members_is_store_reader(struct members *m);

/* Returns the number of entry VMs of the zone that hold a seat. */
uint32_t members_count_seats(struct members *m);

/* Returns whether a drain has released the seat. Any thread. */
bool members_seat_released(struct members *m);

/* Returns whether any other member is live. */
bool members_have_peers(struct members *m);
#endif
