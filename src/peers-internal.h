#ifndef PEERS_INTERNAL_H
#define PEERS_INTERNAL_H

#include <zmq.h>

#include "counter.h"
#include "message.h"
#include "svc-loop.h"
#include "svc-peers.h"

/*
 * NAME
 *	peers-internal - state that the files of the peers service share
 *
 * DESCRIPTION
 *	svc-peers.c receives and sends; svc-peers-link.c keeps the connections
 *	to peers; svc-peers-zap.c admits the deployment's key.
 */

/* Room for the entry VMs of the two-year size, twice, and the seeds. */
#define PEER_LINKS_MAX 96
#define PEER_ZAP_DOMAIN "waxwing"
#define PEER_KEY_BYTES 32
/* A cut connection is noticed within this time and its queue dropped. */
#define PEER_PING_INTERVAL_MS 1000
#define PEER_PING_TIMEOUT_MS 3000

/* A connection to one peer. It receives only what PEER_IDENTIFY asks for. */
struct peer_link {
	void *socket; /* NULL: free entry */
	char id[PEER_ID_BYTES];
	struct settings_address address;
	uint64_t opened_us;
	uint64_t id_requested_us; /* when its peer was last asked for its id */
	bool seed;
};

struct peer_handler {
	peer_fn *fn;
	void *arg;
};

struct peers {
	struct service service;
	const struct settings *s;
	struct loop *loop;
	void *router;
	void *zap;
	uint8_t public_key[PEER_KEY_BYTES];
	struct peer_link links[PEER_LINKS_MAX];
	struct peer_handler handlers[PEER_MESSAGE_TYPES];
	uint64_t sequence;
	uint64_t refused_logged_us;
	struct counter *sent;
	struct counter *received;
	struct counter *sent_bytes;
	struct counter *received_bytes;
	struct counter *dropped; /* queue full or not connected */
	struct counter *malformed;
	struct counter *oversized;
	struct counter *refused; /* by the ZAP handler */
};

void peers_set_int(void *socket, int option, int value);
void peers_format_endpoint(const struct settings_address *a, char *out,
			   size_t size);

/* Receives one message; frames above max are dropped. Returns all frames. */
int peers_receive_frames(void *socket, zmq_msg_t *frames, int max);
void peers_close_frames(zmq_msg_t *frames, int count);

/* Packs a message; free w with message_writer_free(). */
void peers_pack(struct peers *p, enum peer_message_type type, const void *body,
		size_t len, struct message_writer *w);
int peers_send_packed(struct peers *p, struct peer_link *l,
		      const struct message_writer *w);

/* The ZAP handler must be open before any socket with CURVE is bound. */
int peers_open_zap(struct peers *p, struct error *err);

/* Opens the links to the seeds and keeps the links from then on. */
void peers_open_links(struct peers *p);
struct peer_link *peers_find_link(struct peers *p, const char *id);

#endif
