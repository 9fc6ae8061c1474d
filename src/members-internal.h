#ifndef MEMBERS_INTERNAL_H
#define MEMBERS_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "counter.h"
#include "rng.h"
#include "seats.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-store.h"

/*
 * NAME
 *	members-internal - state that the files of the members service share
 *
 * DESCRIPTION
 *	svc-members.c exchanges heartbeats and tracks which members are live;
 *	svc-members-store.c registers this process in the store and lists the
 *	registered members; svc-seats.c reads and changes the zone's seats.
 *	Fields are used by the control thread only, except those marked
 *	"any thread".
 */

#define MEMBER_SHARDS_MAX 32
#define SEAT_LISTENERS_MAX 8

struct owned_shard {
	char name[64];
	uint64_t epoch;
};

struct peer {
	struct member member;
	uint32_t shard_count;
	struct owned_shard shards[MEMBER_SHARDS_MAX];
};

struct seat_listener {
	void (*fn)(void *arg);
	void *arg;
};

struct members {
	struct service service;
	const struct settings *s;
	struct kernel *kernel;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	uint64_t started_us;	  /* wall clock; part of the seat's name */
	uint64_t started_boot_us; /* CLOCK_BOOTTIME */
	bool draining;
	struct member self;
	struct peer peer_table[MEMBERS_MAX];
	uint32_t peer_count;
	uint32_t store_clients;
	uint64_t heartbeats;
	uint64_t next_heartbeat_us;
	/* registration in the store, held by a session */
	char registered_session[64];
	char pending_session[64];
	bool registering;
	uint64_t next_register_us;
	/* registered ids, as last read from the store */
	char registered_ids[MEMBERS_MAX][64];
	uint32_t registered_count;
	uint64_t list_read_us;
	uint64_t list_tried_us;
	bool list_reading;
	/* seats of the zone */
	char seat_name[SEAT_NAME_BYTES];
	struct seats seats;
	struct seats written; /* value of the put in flight */
	struct seats_handover handover;
	uint64_t seats_modify_index; /* of the store's value; 0: no value */
	bool seats_loaded;	     /* read at least once */
	bool seats_reading;
	bool seats_writing;
	bool seats_stale; /* a peer has read a newer value */
	uint64_t seats_read_us;
	uint64_t seats_loaded_us;	/* time of the first read */
	uint64_t seats_changed_us;	/* when the revision last changed */
	uint64_t seats_announced_index; /* last index announced to peers */
	uint64_t seats_next_read_us;
	uint64_t seats_retry_delay_us; /* 0 unless the last read failed */
	struct rng rng;
	uint64_t next_applied_us;
	uint64_t applied_sent_us;
	struct seat_listener listeners[SEAT_LISTENERS_MAX];
	uint32_t listener_count;
	uint64_t resumed_us;	   /* end of the last process pause */
	uint64_t running_since_us; /* end of the last gap between ticks */
	bool revalidating;
	/* any thread */
	_Atomic uint64_t last_tick_us;
	atomic_bool seat_released;
	pthread_mutex_t lock; /* guards seat */
	struct seat seat;
	struct counter *live;
	struct counter *pauses;
	struct counter *malformed;
	struct counter *seat_count;
	struct counter *seat_revision;
	struct counter *seat_confirmed;
	struct counter *seat_changes;
	struct counter *seat_conflicts;
};

/* An address as text, "IP:PORT"; out has 64 bytes. */
void members_format_address(const struct settings_address *a, char out[64]);
bool members_parse_address(const char *text, struct settings_address *a);

/*
 * Connects to an address learnt from a peer or the store, if the discovery
 * setting allows it.
 */
void members_connect(struct members *m, const struct settings_address *a);

/* Registers this process if its present session holds no key yet. */
void members_register(struct members *m, uint64_t now);

/* Reads the list of registered members when it is due. */
void members_read_registered(struct members *m, uint64_t now);

/* Returns whether the id was registered when the list was last read. */
bool members_is_registered(struct members *m, const char *id);

/* Returns whether the present session holds this process's key. */
bool members_is_self_registered(struct members *m);

/* Returns whether the store answered within the last two lease times. */
bool members_store_reachable(struct members *m);

void seats_init(struct members *m);
void seats_tick(struct members *m, uint64_t now);

/*
 * Handles the index of the seats value that a peer of the zone reported. fresh
 * is false for a heartbeat that may have been queued during a process pause.
 */
void seats_on_peer_index(struct members *m, uint64_t index, bool fresh);

/* Withholds the seat until a read or a peer confirms the present value. */
void seats_revalidate(struct members *m);

/*
 * Returns whether the list of registered members must be read soon, because it
 * decides whether the holder of a seat that sends no heartbeats has departed.
 */
bool seats_need_registered(struct members *m);

#endif
