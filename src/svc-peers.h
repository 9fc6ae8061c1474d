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
 *	consists of a type, the sender's id, a sequence number and an opaque
 *	body, which is one msgpack value or empty. A message whose body
 *	declares more elements than it has bytes is dropped before it reaches
 *	a handler. Delivery is at most once and may fail silently; a caller
 *	that needs an answer sends again. All functions and handlers run on
 *	the control thread.
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
	PEER_IDENTIFY, /* requests a peer's id, and its reply */
	PEER_MESSAGE_TYPES,
};

/* Errors of layer ERROR_LAYER_PEERS. */
enum peers_error { PEERS_SOCKET = 1, PEERS_BIND };

struct peers;

typedef void peer_fn(void *arg, const char *sender, const void *body,
		     size_t len);

struct service *peers_create(const struct settings *s);
struct peers *peers_find(struct kernel *k);

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg);

/*
 * Connects to an address. The peer's id is learnt from its heartbeat or from a
 * reply to PEER_IDENTIFY.
 */
void peers_connect(struct peers *p, const struct settings_address *address);

/* Connects to the address, if needed, and assigns it to the peer of that id. */
void peers_set_address(struct peers *p, const char *id,
		       const struct settings_address *address);

/* Closes the connection to an address, unless it is a seed. */
void peers_disconnect(struct peers *p, const struct settings_address *address);

/*
 * Returns 0 if the message was queued; -1 if it is too large, no peer of that
 * id is known or connected, or the queue is full.
 */
int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len);

/* Sends to every connected address. */
void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len);

#endif
