#ifndef RELAY_WIRE_H
#define RELAY_WIRE_H

#include "job-platform.h"
#include "message.h"

/*
 * NAME
 *	relay-wire - messages between the owner and its relays
 *
 * DESCRIPTION
 *	A message is a msgpack array that begins with its type. Elements after
 *	the known ones are ignored, so a later build may append elements.
 *	Texts contain their terminating NUL, so that decoded messages refer to
 *	the frame without copies.
 *
 * ERRORS
 *	Layer ERROR_LAYER_PEERS, code RELAY_WIRE_INVALID.
 *
 * UNITS
 *	deadline_us and clock_us: CLOCK_BOOTTIME of the relay in microseconds.
 */

/* Version 2 reads compressed blocks (frame-conn.h). */
#define RELAY_WIRE_VERSION 2
#define RELAY_WIRE_VERSION_BLOCKS 2
#define RELAY_WIRE_INVALID 1

enum relay_message_type {
	RELAY_HELLO = 1, /* relay to owner, first message */
	RELAY_PING,	 /* relay to owner */
	RELAY_WORKER,	 /* owner to relay: address of a worker */
	RELAY_POLL,	 /* owner to relay */
	RELAY_ORDER,	 /* owner to relay */
	RELAY_RESPONSE,	 /* relay to owner: to a poll or order */
};

/*
 * Identifies a call on a connection: worker handle, lane of the worker and a
 * sequence number, by which the owner recognises responses to earlier calls.
 */
struct relay_call {
	uint32_t worker;
	uint32_t lane; /* 0: polls; 1 to RELAY_ORDER_LANES: orders */
	uint32_t seq;
	/* The relay starts the call only before this time. */
	uint64_t deadline_us;
};

/* Relays of earlier versions refuse further lanes. */
#define RELAY_ORDER_LANES 2
#define RELAY_LANES (1 + RELAY_ORDER_LANES)

struct relay_hello {
	uint32_t version;
	const char *vm;
	const char *zone;
	uint32_t cpu_milli;
	uint64_t clock_us;
};

struct relay_worker {
	uint32_t worker;
	const char *id;
	const char *host;
	uint32_t port;
	const char *zone; /* "": unknown, the owner is of an earlier build */
};

struct relay_order {
	struct sched_order order;
	uint64_t fencing_token;
	uint64_t lease_until_ms;
};

struct relay_message {
	enum relay_message_type type;
	struct relay_call call; /* of polls, orders and responses */
	union {
		struct relay_hello hello;
		uint64_t clock_us; /* RELAY_PING */
		struct relay_worker worker;
		struct worker_poll poll;
		struct relay_order order;
		struct worker_response response;
	} u;
	/* Memory of a decoded message. */
	struct message_reader reader;
	struct sched_run *running;
	struct sched_run_end *ended;
};

/* Initialises w; free it with message_writer_free(). */
void relay_encode(const struct relay_message *m, struct message_writer *w);

/*
 * Decodes a message that refers to data; free it with relay_message_free().
 * Returns 0, or -1 with err set.
 */
int relay_decode(struct relay_message *m, const void *data, size_t len,
		 struct error *err);
void relay_message_free(struct relay_message *m);

#endif
