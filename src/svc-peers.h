#ifndef SVC_PEERS_H
#define SVC_PEERS_H

#include <stdint.h>

#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	peers - service "peers": messages between entry VMs
 *
 * DESCRIPTION
 *	One ROUTER socket bound to peers.listen and one DEALER per peer, with
 *	CURVE; a ZAP handler admits only the deployment's public key. A message
 *	is a type, the sender's id and an opaque body of its type, which is
 *	one msgpack value or empty. A body that announces more elements than
 *	it has bytes is dropped before a handler sees it.
 *	Delivery is at most once and may fail silently; who needs an answer
 *	repeats. All functions and handlers run on the control thread.
 */

#define PEER_ID_BYTES 64
#define PEER_MESSAGE_MAX_BYTES (1024u * 1024u)

enum peer_message_type {
	PEER_HEARTBEAT = 1,
	PEER_CONFIG_GET,
	PEER_CONFIG,
	PEER_CLAIM,
	PEER_CLAIM_REPLY,
	PEER_CLAIM_RESULT,
	PEER_CLAIM_RESULT_ACK,
	PEER_SEATS_APPLIED,
	PEER_PLACEMENT_OP,
	PEER_PLACEMENT_REPLY,
	PEER_TARGETS_GET,
	PEER_TARGETS,
	PEER_IDENTIFY, /* asks for the id at the other end of a connection */
	PEER_MESSAGE_TYPES,
};

/* Errors of layer ERROR_LAYER_PEERS. */
enum peers_error { PEERS_SOCKET = 1, PEERS_BIND };

struct peers;

typedef void peer_fn(void *arg, const char *sender, const void *body,
		     size_t len);

struct service *peers_create(const struct settings *s);
struct peers *peers_find(struct kernel *k);

/* Sets the handler of a message type. */
void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg);

/* Connects to an address; the id is learnt from the peer's heartbeat. */
void peers_connect(struct peers *p, const struct settings_address *address);

/* Tells that the peer of that id listens on the address, and connects. */
void peers_set_address(struct peers *p, const char *id,
		       const struct settings_address *address);

/* Closes the connection to an address, unless it is a seed. */
void peers_disconnect(struct peers *p, const struct settings_address *address);

/*
 * Returns 0 when queued, -1 when no peer of that id is known or connected, or
 * when its queue is full.
 */
int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len);

/* Sends to every connected address. */
void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len);

#endif
