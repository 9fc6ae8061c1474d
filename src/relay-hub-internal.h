#ifndef RELAY_HUB_INTERNAL_H
#define RELAY_HUB_INTERNAL_H

#include "counter.h"
#include "relay-assign.h"
#include "relay-wire.h"
#include "worker-path.h"

/*
 * NAME
 *	relay-hub-internal - relays and paths of an owner
 *
 * DESCRIPTION
 *	relay-hub.c: connections of relays, their loss, and which are active;
 *	worker-path.c: the calls to one worker.
 */

/* Connection of an entry VM that offers to relay calls. */
struct relay {
	struct relay_hub *hub;
	struct frame_conn *conn;
	struct client *client;	 /* NULL: without limits */
	uint32_t number;	 /* of the connection, never reused */
	bool introduced;	 /* hello received */
	uint64_t clock_us;	 /* the relay's clock ... */
	uint64_t clock_local_us; /* ... received at this time */
	uint64_t heard_us;	 /* last message, or first call after idle */
	uint32_t calls_in_flight;
	uint64_t suspect_until_us; /* not used until then; 0: usable */
};

struct path_call {
	worker_response_fn *fn; /* NULL: not in flight at a relay */
	void *arg;
	uint32_t seq;
	struct relay *relay; /* NULL: direct; valid while in flight */
	uint64_t overdue_us; /* given up at this time */
};

struct worker_path {
	struct relay_hub *hub;
	uint32_t worker;
	char id[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	struct settings_address address;
	struct worker_client *direct; /* NULL until used */
	struct path_call calls[1 + WORKER_ORDER_CONNECTIONS];
	struct relay *relay; /* NULL: direct; valid for the version below */
	uint64_t assignment_version;
	uint32_t announced_to; /* number of the relay that knows the address */
	uint32_t rank;	       /* of the relay; raised after a failed poll */
	uint64_t rank_changed_us;
};

struct relay_hub {
	struct job_node *node;
	struct evconnlistener *listener;
	struct event *flush; /* writes the queued messages of all relays */
	bool open;
	uint64_t opened_us;
	uint64_t last_tick_us;
	uint64_t next_overdue_scan_us;
	/* Parallel tables of the connections. */
	struct relay **relays;
	struct relay_candidate *candidates;
	uint32_t relay_count;
	uint32_t next_number;
	/* Number of the last call; unique, as paths are replaced. */
	uint32_t last_seq;
	uint64_t assignment_version; /* of the active relays */
	bool assignment_due;
	struct worker_path **paths; /* by worker */
	uint32_t path_count;	    /* size of the table */
	uint32_t worker_count;
	struct counter *calls;
	struct counter *lost;
	struct counter *overdue;
	struct counter *malformed;
	struct counter *connected;
};

/* ---- relay-hub.c ---- */
/* Whether there are more workers than the owner calls itself. */
bool relay_hub_needed(const struct relay_hub *h);
/* Chooses the active relays again if workers or relays have changed. */
void relay_hub_update(struct relay_hub *h);
/* Name of the relay's entry VM; "" before its hello. */
const char *relay_hub_vm(const struct relay *r);
/* Queues a message; it is written from the event loop. */
void relay_hub_send(struct relay *r, const struct relay_message *m);

/* ---- worker-path.c ---- */
/* Ends a call in flight at a relay. */
void worker_path_complete(struct worker_path *p, uint32_t lane,
			  const struct worker_response *a);

#endif
