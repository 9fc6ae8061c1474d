#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "peers-internal.h"

#define SEND_QUEUE_MESSAGES 256
#define CONNECT_TIMEOUT_MS 2000
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000
#define NAME_INTERVAL_US 200000u
#define ASK_INTERVAL_US 1000000u
/* An address that no peer has named in this time is given up. */
#define UNNAMED_MAX_US 60000000u
#define SWEEP_INTERVAL_US 10000000u

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b);
static void *open_dealer(struct peers *p, const struct settings_address *a);
static struct peer_link *find_address(struct peers *p,
				      const struct settings_address *a);
static void name_link(struct peers *p, struct peer_link *l, const char *id);
static void ask_id(struct peers *p, struct peer_link *l, uint64_t now);
static void receive_ids(struct peers *p, struct peer_link *l);
static void keep_names(void *arg);
static void sweep(void *arg);

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

/*
 * Opens a connection. With ZMQ_IMMEDIATE a message for a peer that is not
 * connected is refused instead of kept, so that a peer that comes back is not
 * flooded with old ones.
 */
static void *open_dealer(struct peers *p, const struct settings_address *a)
{
	const struct settings *s = p->s;
	void *socket = zmq_socket(loop_context(p->loop), ZMQ_DEALER);
	char endpoint[96];

	if (!socket)
		return NULL;
	peers_set_int(socket, ZMQ_LINGER, 0);
	peers_set_int(socket, ZMQ_IMMEDIATE, 1);
	peers_set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	peers_set_int(socket, ZMQ_HEARTBEAT_IVL, PEER_PING_INTERVAL_MS);
	peers_set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, PEER_PING_TIMEOUT_MS);
	peers_set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	peers_set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	peers_set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, s->peers.curve_public,
		       strlen(s->peers.curve_public) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, s->peers.curve_public,
		       strlen(s->peers.curve_public) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, s->peers.curve_secret,
		       strlen(s->peers.curve_secret) + 1);
	peers_format_endpoint(a, endpoint, sizeof(endpoint));
	if (zmq_connect(socket, endpoint) < 0) {
		zmq_close(socket);
		return NULL;
	}
	return socket;
}

static struct peer_link *find_address(struct peers *p,
				      const struct settings_address *a)
{
	for (int i = 0; i < PEER_LINKS_MAX; i++)
		if (p->links[i].socket && same_address(&p->links[i].address, a))
			return &p->links[i];
	return NULL;
}

struct peer_link *peers_find_id(struct peers *p, const char *id)
{
	for (int i = 0; i < PEER_LINKS_MAX; i++)
		if (p->links[i].socket && !strcmp(p->links[i].id, id))
			return &p->links[i];
	return NULL;
}

void peers_connect(struct peers *p, const struct settings_address *address)
{
	struct peer_link *l = NULL;

	if (same_address(address, &p->s->peers.listen) ||
	    find_address(p, address))
		return;
	for (int i = 0; i < PEER_LINKS_MAX && !l; i++)
		if (!p->links[i].socket)
			l = &p->links[i];
	if (!l) {
		log_event(LOG_WARNING, "peer-table-full", "limit=%d",
			  PEER_LINKS_MAX);
		return;
	}
	memset(l, 0, sizeof(*l));
	l->address = *address;
	l->opened_us = clock_now_us();
	l->socket = open_dealer(p, address);
	if (!l->socket)
		log_event(LOG_WARNING, "peer-connect-failed",
			  "address=%s:%u error=\"%s\"", address->host,
			  address->port, zmq_strerror(zmq_errno()));
}

/* Gives a link its peer's id; no other link keeps that id. */
static void name_link(struct peers *p, struct peer_link *l, const char *id)
{
	struct peer_link *old = peers_find_id(p, id);

	if (old == l)
		return;
	if (old) { /* the peer moved to another address */
		old->id[0] = '\0';
		old->opened_us = clock_now_us();
	}
	snprintf(l->id, sizeof(l->id), "%s", id);
	log_event(LOG_INFO, "peer-named", "peer=%s address=%s:%u", id,
		  l->address.host, l->address.port);
}

void peers_name(struct peers *p, const char *id,
		const struct settings_address *address)
{
	struct peer_link *l;

	peers_connect(p, address);
	l = find_address(p, address);
	if (l)
		name_link(p, l, id);
}

/*
 * Asks for the id at the other end. Only this works when the address of the
 * link is not the one that the peer tells, as behind a translating proxy.
 */
static void ask_id(struct peers *p, struct peer_link *l, uint64_t now)
{
	struct message_writer w;

	l->asked_us = now;
	peers_pack(p, PEER_WHO, "", 0, &w);
	zmq_send(l->socket, w.buffer.data, w.buffer.size, ZMQ_DONTWAIT);
	message_writer_free(&w);
}

/* Takes the answers to ask_id(). */
static void receive_ids(struct peers *p, struct peer_link *l)
{
	zmq_msg_t frame;

	while (l->socket && peers_receive_frames(l->socket, &frame, 1) > 0) {
		struct message_reader r;
		char id[PEER_ID_BYTES];
		uint64_t type;

		message_reader_init(&r, zmq_msg_data(&frame),
				    zmq_msg_size(&frame));
		type = message_get_uint(&r);
		message_get_str(&r, id, sizeof(id));
		if (!r.malformed && type == PEER_WHO && id[0] &&
		    strcmp(id, p->s->node.id))
			name_link(p, l, id);
		message_reader_free(&r);
		zmq_msg_close(&frame);
	}
}

/* Asks for ids where they may be unknown or old, and takes the answers. */
static void keep_names(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_us();
	bool always = p->s->peers.discovery == DISCOVERY_SEEDS;

	for (int i = 0; i < PEER_LINKS_MAX; i++) {
		struct peer_link *l = &p->links[i];

		if (!l->socket)
			continue;
		receive_ids(p, l);
		if ((always || !l->id[0]) &&
		    now - l->asked_us >= ASK_INTERVAL_US)
			ask_id(p, l, now);
	}
}

/* Closes connections to addresses at which no peer has been heard. */
static void sweep(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_us();

	for (int i = 0; i < PEER_LINKS_MAX; i++) {
		struct peer_link *l = &p->links[i];

		if (!l->socket || l->seed || l->id[0] ||
		    now - l->opened_us < UNNAMED_MAX_US)
			continue;
		log_event(LOG_DEBUG, "peer-given-up", "address=%s:%u",
			  l->address.host, l->address.port);
		zmq_close(l->socket);
		memset(l, 0, sizeof(*l));
	}
}

void peers_disconnect(struct peers *p, const struct settings_address *address)
{
	struct peer_link *l = find_address(p, address);

	if (!l || l->seed)
		return;
	zmq_close(l->socket);
	memset(l, 0, sizeof(*l));
}

void peers_open_links(struct peers *p)
{
	for (uint32_t i = 0; i < p->s->peers.seed_count; i++) {
		struct peer_link *l;

		peers_connect(p, &p->s->peers.seeds[i]);
		l = find_address(p, &p->s->peers.seeds[i]);
		if (l)
			l->seed = true;
	}
	loop_every(p->loop, NAME_INTERVAL_US, keep_names, p);
	loop_every(p->loop, SWEEP_INTERVAL_US, sweep, p);
}
