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
 *	svc-peers.c sends and receives messages; svc-peers-link.c manages the
 *	connections to peers; svc-peers-zap.c authenticates their CURVE keys.
 */

/* Twice the entry VMs of the two-year capacity target, plus the seeds. */
#define PEER_LINKS_MAX 96
#define PEER_ZAP_DOMAIN "waxwing"
#define PEER_KEY_BYTES 32
/* A dead connection is closed and its queue dropped after the timeout. */
#define PEER_PING_INTERVAL_MS 1000
#define PEER_PING_TIMEOUT_MS 3000

/* An outgoing connection to one peer; receives only PEER_IDENTIFY replies. */
struct peer_link {
	void *socket;		/* NULL: free entry */
	char id[PEER_ID_BYTES]; /* empty: not known yet */
	struct settings_address address;
	uint64_t opened_us;
	uint64_t id_requested_us; /* time of the last PEER_IDENTIFY sent */
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
	struct counter *refused; /* connections refused by the ZAP handler */
};

void peers_set_int(void *socket, int option, int value);
void peers_format_endpoint(const struct settings_address *a, char *out,
			   size_t size);

/*
 * Receives one message and stores at most max of its frames. Returns the number
 * of frames received, those dropped included, or 0 if no message is waiting.
 */
int peers_receive_frames(void *socket, zmq_msg_t *frames, int max);
void peers_close_frames(zmq_msg_t *frames, int count);

/* Packs a message into w; the caller frees it with message_writer_free(). */
void peers_pack(struct peers *p, enum peer_message_type type, const void *body,
		size_t len, struct message_writer *w);

/* Returns 0, or -1 when the queue is full or the peer not connected. */
int peers_send_packed(struct peers *p, struct peer_link *l,
		      const struct message_writer *w);

/* Must be called before any socket with CURVE is bound. */
int peers_open_zap(struct peers *p, struct error *err);

/* Connects to the seeds and starts the timers that maintain the links. */
void peers_open_links(struct peers *p);

/* Returns the link to the peer of that id, or NULL. */
struct peer_link *peers_find_link(struct peers *p, const char *id);

#endif
