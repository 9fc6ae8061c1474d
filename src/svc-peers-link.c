#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "peers-internal.h"

#define SEND_QUEUE_MESSAGES 256
#define CONNECT_TIMEOUT_MS 2000
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 2000
#define ID_REFRESH_INTERVAL_US 200000u
#define ID_REQUEST_INTERVAL_US 1000000u
/* A connection whose peer id stays unknown is closed after this time. */
#define UNIDENTIFIED_MAX_US 60000000u
#define CLOSE_UNIDENTIFIED_INTERVAL_US 10000000u

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b);
static void *open_dealer(struct peers *p, const struct settings_address *a);
static struct peer_link *find_link_by_address(struct peers *p,
					      const struct settings_address *a);
static void set_link_id(struct peers *p, struct peer_link *l, const char *id);
static void request_id(struct peers *p, struct peer_link *l, uint64_t now);
static void receive_id_replies(struct peers *p, struct peer_link *l);
static void refresh_ids(void *arg);
static void close_unidentified(void *arg);

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

/*
 * Opens a connection. With ZMQ_IMMEDIATE, sending to a peer that is not
 * connected fails instead of queueing the message, so that a peer doesn't
 * receive a burst of outdated messages when it reconnects.
 */
static void *open_dealer(struct peers *p, const struct settings_address *a)
{
	const struct settings *s = p->s;
	void *socket = zmq_socket(loop_zmq_context(p->loop), ZMQ_DEALER);
	char endpoint[96];

	if (!socket)
		return NULL;
	peers_set_int(socket, ZMQ_LINGER, 0);
	peers_set_int(socket, ZMQ_IMMEDIATE, 1);
	peers_set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	peers_set_int(socket, ZMQ_HEARTBEAT_IVL, PEER_PING_INTERVAL_MS);
	peers_set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, PEER_PING_TIMEOUT_MS);
	peers_set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	peers_set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
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

static struct peer_link *find_link_by_address(struct peers *p,
					      const struct settings_address *a)
{
	for (int i = 0; i < PEER_LINKS_MAX; i++)
		if (p->links[i].socket && same_address(&p->links[i].address, a))
			return &p->links[i];
	return NULL;
}

struct peer_link *peers_find_link(struct peers *p, const char *id)
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
	    find_link_by_address(p, address))
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

/* Sets the peer id of a link and clears it on any other link. */
static void set_link_id(struct peers *p, struct peer_link *l, const char *id)
{
	struct peer_link *old = peers_find_link(p, id);

	if (old == l)
		return;
	if (old) { /* the peer has a new address */
		old->id[0] = '\0';
		old->opened_us = clock_now_us();
	}
	snprintf(l->id, sizeof(l->id), "%s", id);
	log_event(LOG_INFO, "peer-named", "peer=%s address=%s:%u", id,
		  l->address.host, l->address.port);
}

void peers_set_address(struct peers *p, const char *id,
		       const struct settings_address *address)
{
	struct peer_link *l;

	peers_connect(p, address);
	l = find_link_by_address(p, address);
	if (l)
		set_link_id(p, l, id);
}

/*
 * Requests the id of the peer at the other end. Behind address translation this
 * is the only way to learn it, since the link's address differs from the one in
 * the peer's heartbeat.
 */
static void request_id(struct peers *p, struct peer_link *l, uint64_t now)
{
	struct message_writer w;

	l->id_requested_us = now;
	peers_pack(p, PEER_IDENTIFY, "", 0, &w);
	zmq_send(l->socket, w.buffer.data, w.buffer.size, ZMQ_DONTWAIT);
	message_writer_free(&w);
}

/* Receives the replies to request_id(). */
static void receive_id_replies(struct peers *p, struct peer_link *l)
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
		if (!r.malformed && type == PEER_IDENTIFY && id[0] &&
		    strcmp(id, p->s->node.id))
			set_link_id(p, l, id);
		message_reader_free(&r);
		zmq_msg_close(&frame);
	}
}

/* Requests ids that are unknown or may be outdated, and receives replies. */
static void refresh_ids(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_us();
	bool always = p->s->peers.discovery == DISCOVERY_SEEDS;

	for (int i = 0; i < PEER_LINKS_MAX; i++) {
		struct peer_link *l = &p->links[i];

		if (!l->socket)
			continue;
		receive_id_replies(p, l);
		if ((always || !l->id[0]) &&
		    now - l->id_requested_us >= ID_REQUEST_INTERVAL_US)
			request_id(p, l, now);
	}
}

/* Closes connections whose peer id has stayed unknown, except to seeds. */
static void close_unidentified(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_us();

	for (int i = 0; i < PEER_LINKS_MAX; i++) {
		struct peer_link *l = &p->links[i];

		if (!l->socket || l->seed || l->id[0] ||
		    now - l->opened_us < UNIDENTIFIED_MAX_US)
			continue;
		log_event(LOG_DEBUG, "peer-given-up", "address=%s:%u",
			  l->address.host, l->address.port);
		zmq_close(l->socket);
		memset(l, 0, sizeof(*l));
	}
}

void peers_disconnect(struct peers *p, const struct settings_address *address)
{
	struct peer_link *l = find_link_by_address(p, address);

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
		l = find_link_by_address(p, &p->s->peers.seeds[i]);
		if (l)
			l->seed = true;
	}
	loop_add_timer(p->loop, ID_REFRESH_INTERVAL_US, refresh_ids, p);
	loop_add_timer(p->loop, CLOSE_UNIDENTIFIED_INTERVAL_US,
		       close_unidentified, p);
}
