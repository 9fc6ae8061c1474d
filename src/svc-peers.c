#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "log.h"
#include "message.h"
#include "svc-loop.h"
#include "svc-peers.h"

/* Room for the entry VMs of the two-year size, twice, and the seeds. */
#define LINKS_MAX 96
#define ZAP_DOMAIN "waxwing"
#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define ZAP_FRAMES 7
#define CURVE_KEY_BYTES 32
#define ENVELOPE_BYTES 128
/* Larger messages close the connection; between both they are counted. */
#define RECEIVE_MAX_BYTES (4u * PEER_MESSAGE_MAX_BYTES)
#define SEND_QUEUE_MESSAGES 256
#define RECEIVE_QUEUE_MESSAGES 1000
/* Messages handled before the loop turns to its other sources. */
#define BATCH_MESSAGES 200
/* A cut connection is noticed within this time and its queue dropped. */
#define PING_INTERVAL_MS 1000
#define PING_TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 2000
#define REFUSED_LOG_INTERVAL_US 10000000u
/* An address that no peer has named in this time is given up. */
#define UNNAMED_MAX_US 60000000u
#define SWEEP_INTERVAL_US 10000000u
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 2000

/* A connection to one peer; it only sends. */
struct link {
	void *socket; /* NULL: free entry */
	char id[PEER_ID_BYTES];
	struct settings_address address;
	uint64_t opened_us;
	bool seed;
};

struct handler {
	peer_fn *fn;
	void *arg;
};

struct peers {
	struct service service;
	const struct settings *s;
	struct loop *loop;
	void *router;
	void *zap;
	uint8_t public_key[CURVE_KEY_BYTES];
	struct link links[LINKS_MAX];
	struct handler handlers[PEER_MESSAGE_TYPES];
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

struct start_call {
	struct peers *p;
	struct error *err;
	int ret;
};

static int peers_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void peers_destroy(struct service *svc);
static void open_sockets(void *arg);
static int open_zap(struct peers *p, struct error *err);
static int open_router(struct peers *p, struct error *err);
static void *open_dealer(struct peers *p, const struct settings_address *a);
static void set_int(void *socket, int option, int value);
static void format_endpoint(const struct settings_address *a, char *out,
			    size_t size);
static bool same_address(const struct settings_address *a,
			 const struct settings_address *b);
static struct link *find_address(struct peers *p,
				 const struct settings_address *a);
static struct link *find_id(struct peers *p, const char *id);
static void log_refused(struct peers *p, zmq_msg_t *address);
static void sweep(void *arg);
static void on_zap(void *arg);
static int receive_frames(void *socket, zmq_msg_t *frames, int max);
static void close_frames(zmq_msg_t *frames, int count);
static bool zap_allows(const struct peers *p, zmq_msg_t *frames, int count);
static void zap_reply(struct peers *p, zmq_msg_t *frames, bool allow);
static void on_message(void *arg);
static void receive(struct peers *p, zmq_msg_t *payload);
static void pack(struct peers *p, enum peer_message_type type, const void *body,
		 size_t len, struct message_writer *w);
static int send_packed(struct peers *p, struct link *l,
		       const struct message_writer *w);

static const struct service_ops peers_ops = {
	.name = "peers",
	.start = peers_start,
	.destroy = peers_destroy,
};

struct service *peers_create(const struct settings *s)
{
	struct peers *p = xcalloc(1, sizeof(*p));

	p->service.ops = &peers_ops;
	p->s = s;
	zmq_z85_decode(p->public_key, s->peers.curve_public);
	p->sent = counter_get(COUNTER, "waxwing_peer_sent_total", NULL);
	p->received = counter_get(COUNTER, "waxwing_peer_received_total", NULL);
	p->sent_bytes =
		counter_get(COUNTER, "waxwing_peer_sent_bytes_total", NULL);
	p->received_bytes =
		counter_get(COUNTER, "waxwing_peer_received_bytes_total", NULL);
	p->dropped = counter_get(COUNTER, "waxwing_peer_dropped_total", NULL);
	p->malformed =
		counter_get(COUNTER, "waxwing_peer_malformed_total", NULL);
	p->oversized =
		counter_get(COUNTER, "waxwing_peer_oversized_total", NULL);
	p->refused = counter_get(COUNTER, "waxwing_peer_refused_total", NULL);
	return &p->service;
}

struct peers *peers_find(struct kernel *k)
{
	return (struct peers *)kernel_find(k, "peers");
}

static void set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void format_endpoint(const struct settings_address *a, char *out,
			    size_t size)
{
	if (strchr(a->host, ':'))
		snprintf(out, size, "tcp://[%s]:%u", a->host, a->port);
	else
		snprintf(out, size, "tcp://%s:%u", a->host, a->port);
}

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

/* The ZAP handler must be bound before any socket with CURVE is. */
static int open_zap(struct peers *p, struct error *err)
{
	p->zap = zmq_socket(loop_context(p->loop), ZMQ_REP);
	if (!p->zap)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_SOCKET,
				 "cannot make the ZAP socket: %s",
				 zmq_strerror(zmq_errno()));
	set_int(p->zap, ZMQ_LINGER, 0);
	if (zmq_bind(p->zap, ZAP_ADDRESS) < 0)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_BIND,
				 "cannot bind %s: %s", ZAP_ADDRESS,
				 zmq_strerror(zmq_errno()));
	loop_on_socket(p->loop, p->zap, on_zap, p);
	return 0;
}

static int open_router(struct peers *p, struct error *err)
{
	int64_t max_bytes = RECEIVE_MAX_BYTES;
	char endpoint[96];

	p->router = zmq_socket(loop_context(p->loop), ZMQ_ROUTER);
	if (!p->router)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_SOCKET,
				 "cannot make the listening socket: %s",
				 zmq_strerror(zmq_errno()));
	set_int(p->router, ZMQ_LINGER, 0);
	set_int(p->router, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	set_int(p->router, ZMQ_CURVE_SERVER, 1);
	set_int(p->router, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS);
	set_int(p->router, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS);
	zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &max_bytes,
		       sizeof(max_bytes));
	zmq_setsockopt(p->router, ZMQ_CURVE_SECRETKEY, p->s->peers.curve_secret,
		       strlen(p->s->peers.curve_secret) + 1);
	zmq_setsockopt(p->router, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN,
		       strlen(ZAP_DOMAIN));
	format_endpoint(&p->s->peers.listen, endpoint, sizeof(endpoint));
	if (zmq_bind(p->router, endpoint) < 0)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_BIND,
				 "cannot listen on %s: %s", endpoint,
				 zmq_strerror(zmq_errno()));
	loop_on_socket(p->loop, p->router, on_message, p);
	return 0;
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
	set_int(socket, ZMQ_LINGER, 0);
	set_int(socket, ZMQ_IMMEDIATE, 1);
	set_int(socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES);
	set_int(socket, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS);
	set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS);
	set_int(socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
	set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, s->peers.curve_public,
		       strlen(s->peers.curve_public) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, s->peers.curve_public,
		       strlen(s->peers.curve_public) + 1);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, s->peers.curve_secret,
		       strlen(s->peers.curve_secret) + 1);
	format_endpoint(a, endpoint, sizeof(endpoint));
	if (zmq_connect(socket, endpoint) < 0) {
		zmq_close(socket);
		return NULL;
	}
	return socket;
}

static void open_sockets(void *arg)
{
	struct start_call *c = arg;
	struct peers *p = c->p;

	c->ret = -1;
	if (open_zap(p, c->err) < 0 || open_router(p, c->err) < 0)
		return;
	for (uint32_t i = 0; i < p->s->peers.seed_count; i++) {
		struct link *l;

		peers_connect(p, &p->s->peers.seeds[i]);
		l = find_address(p, &p->s->peers.seeds[i]);
		if (l)
			l->seed = true;
	}
	loop_every(p->loop, SWEEP_INTERVAL_US, sweep, p);
	c->ret = 0;
}

static int peers_start(struct service *svc, struct kernel *k, struct error *err)
{
	struct peers *p = (struct peers *)svc;
	struct start_call c = { .p = p, .err = err };

	p->loop = loop_find(k);
	loop_call(p->loop, open_sockets, &c);
	return c.ret;
}

/* The control thread has ended by now, so the sockets may be closed here. */
static void peers_destroy(struct service *svc)
{
	struct peers *p = (struct peers *)svc;

	for (int i = 0; i < LINKS_MAX; i++)
		if (p->links[i].socket)
			zmq_close(p->links[i].socket);
	if (p->router)
		zmq_close(p->router);
	if (p->zap)
		zmq_close(p->zap);
	free(p);
}

static struct link *find_address(struct peers *p,
				 const struct settings_address *a)
{
	for (int i = 0; i < LINKS_MAX; i++)
		if (p->links[i].socket && same_address(&p->links[i].address, a))
			return &p->links[i];
	return NULL;
}

static struct link *find_id(struct peers *p, const char *id)
{
	for (int i = 0; i < LINKS_MAX; i++)
		if (p->links[i].socket && !strcmp(p->links[i].id, id))
			return &p->links[i];
	return NULL;
}

void peers_connect(struct peers *p, const struct settings_address *address)
{
	struct link *l = NULL;

	if (same_address(address, &p->s->peers.listen) ||
	    find_address(p, address))
		return;
	for (int i = 0; i < LINKS_MAX && !l; i++)
		if (!p->links[i].socket)
			l = &p->links[i];
	if (!l) {
		log_event(LOG_WARNING, "peer-table-full", "limit=%d",
			  LINKS_MAX);
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

void peers_name(struct peers *p, const char *id,
		const struct settings_address *address)
{
	struct link *l = find_id(p, id);

	if (l && same_address(&l->address, address))
		return;
	if (l) { /* the peer moved to another address */
		l->id[0] = '\0';
		l->opened_us = clock_now_us();
	}
	peers_connect(p, address);
	l = find_address(p, address);
	if (!l)
		return;
	snprintf(l->id, sizeof(l->id), "%s", id);
	log_event(LOG_INFO, "peer-named", "peer=%s address=%s:%u", id,
		  address->host, address->port);
}

void peers_disconnect(struct peers *p, const struct settings_address *address)
{
	struct link *l = find_address(p, address);

	if (!l || l->seed)
		return;
	zmq_close(l->socket);
	memset(l, 0, sizeof(*l));
}

/* Closes connections to addresses at which no peer has been heard. */
static void sweep(void *arg)
{
	struct peers *p = arg;
	uint64_t now = clock_now_us();

	for (int i = 0; i < LINKS_MAX; i++) {
		struct link *l = &p->links[i];

		if (!l->socket || l->seed || l->id[0] ||
		    now - l->opened_us < UNNAMED_MAX_US)
			continue;
		log_event(LOG_DEBUG, "peer-given-up", "address=%s:%u",
			  l->address.host, l->address.port);
		zmq_close(l->socket);
		memset(l, 0, sizeof(*l));
	}
}

void peers_handle(struct peers *p, enum peer_message_type type, peer_fn *fn,
		  void *arg)
{
	p->handlers[type] = (struct handler){ fn, arg };
}

/* Receives one message of at most max frames; more frames are dropped. */
static int receive_frames(void *socket, zmq_msg_t *frames, int max)
{
	int count = 0;
	bool more = true;

	while (more) {
		zmq_msg_t frame;

		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(&frame);
			break;
		}
		more = zmq_msg_more(&frame);
		if (count < max) {
			zmq_msg_init(&frames[count]);
			zmq_msg_move(&frames[count], &frame);
		}
		zmq_msg_close(&frame);
		count++;
	}
	return count;
}

static void close_frames(zmq_msg_t *frames, int count)
{
	for (int i = 0; i < count; i++)
		zmq_msg_close(&frames[i]);
}

/*
 * Admits only the deployment's key. The frames are version, request id,
 * domain, address, identity, mechanism and key.
 */
static bool zap_allows(const struct peers *p, zmq_msg_t *frames, int count)
{
	return count == ZAP_FRAMES && zmq_msg_size(&frames[5]) == 5 &&
	       !memcmp(zmq_msg_data(&frames[5]), "CURVE", 5) &&
	       zmq_msg_size(&frames[6]) == CURVE_KEY_BYTES &&
	       !memcmp(zmq_msg_data(&frames[6]), p->public_key,
		       CURVE_KEY_BYTES);
}

static void zap_reply(struct peers *p, zmq_msg_t *frames, bool allow)
{
	const char *status = allow ? "200" : "400";
	const char *text = allow ? "OK" : "unknown key";

	zmq_send(p->zap, "1.0", 3, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_msg_send(&frames[1], p->zap, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(p->zap, status, 3, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(p->zap, text, strlen(text), ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(p->zap, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(p->zap, "", 0, ZMQ_DONTWAIT);
}

/* A stranger tries again and again; one line in a while is enough. */
static void log_refused(struct peers *p, zmq_msg_t *address)
{
	uint64_t now = clock_now_us();

	if (p->refused_logged_us &&
	    now - p->refused_logged_us < REFUSED_LOG_INTERVAL_US)
		return;
	p->refused_logged_us = now;
	log_event(LOG_WARNING, "peer-refused", "address=%.*s refused=%lld",
		  address ? (int)zmq_msg_size(address) : 0,
		  address ? (char *)zmq_msg_data(address) : "",
		  counter_value(p->refused));
}

static void on_zap(void *arg)
{
	struct peers *p = arg;
	zmq_msg_t frames[ZAP_FRAMES];
	int count = receive_frames(p->zap, frames, ZAP_FRAMES);
	int kept = count < ZAP_FRAMES ? count : ZAP_FRAMES;
	bool allow;

	if (count < 2)
		goto out;
	allow = zap_allows(p, frames, count);
	if (!allow) {
		counter_add(p->refused, 1);
		log_refused(p, count > 3 ? &frames[3] : NULL);
	}
	zap_reply(p, frames, allow);
out:
	close_frames(frames, kept);
}

/* Checks one message and passes it to the handler of its type. */
static void receive(struct peers *p, zmq_msg_t *payload)
{
	char sender[PEER_ID_BYTES];
	size_t size = zmq_msg_size(payload), len;
	struct message_reader r;
	const struct handler *h;
	const void *body;
	uint64_t type;

	if (size > PEER_MESSAGE_MAX_BYTES + ENVELOPE_BYTES) {
		counter_add(p->oversized, 1);
		return;
	}
	message_reader_init(&r, zmq_msg_data(payload), size);
	type = message_get_uint(&r);
	message_get_str(&r, sender, sizeof(sender));
	message_get_uint(&r);
	body = message_get_bin(&r, &len);
	if (r.bad || !type || type >= PEER_MESSAGE_TYPES || !sender[0] ||
	    len > PEER_MESSAGE_MAX_BYTES ||
	    (len && !message_is_sound(body, len))) {
		counter_add(p->malformed, 1);
		log_event(LOG_DEBUG, "peer-malformed", "bytes=%zu", size);
		goto out;
	}
	counter_add(p->received, 1);
	counter_add(p->received_bytes, (long long)size);
	h = &p->handlers[type];
	if (h->fn && strcmp(sender, p->s->node.id))
		h->fn(h->arg, sender, body, len);
out:
	message_reader_free(&r);
}

static void on_message(void *arg)
{
	struct peers *p = arg;

	for (int i = 0; i < BATCH_MESSAGES; i++) {
		zmq_msg_t frames[2];
		int count = receive_frames(p->router, frames, 2);

		if (!count)
			return;
		if (count == 2)
			receive(p, &frames[1]);
		else
			counter_add(p->malformed, 1);
		close_frames(frames, count < 2 ? count : 2);
	}
}

static void pack(struct peers *p, enum peer_message_type type, const void *body,
		 size_t len, struct message_writer *w)
{
	message_writer_init(w, 4);
	message_put_uint(w, type);
	message_put_str(w, p->s->node.id);
	message_put_uint(w, ++p->sequence);
	message_put_bin(w, body, len);
}

static int send_packed(struct peers *p, struct link *l,
		       const struct message_writer *w)
{
	if (zmq_send(l->socket, w->buffer.data, w->buffer.size, ZMQ_DONTWAIT) <
	    0) {
		counter_add(p->dropped, 1);
		return -1;
	}
	counter_add(p->sent, 1);
	counter_add(p->sent_bytes, (long long)w->buffer.size);
	return 0;
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	struct link *l = find_id(p, id);
	struct message_writer w;
	int ret;

	if (!l || !*id)
		return -1;
	if (len > PEER_MESSAGE_MAX_BYTES) {
		counter_add(p->oversized, 1);
		return -1;
	}
	pack(p, type, body, len, &w);
	ret = send_packed(p, l, &w);
	message_writer_free(&w);
	return ret;
}

void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len)
{
	struct message_writer w;

	if (len > PEER_MESSAGE_MAX_BYTES) {
		counter_add(p->oversized, 1);
		return;
	}
	pack(p, type, body, len, &w);
	for (int i = 0; i < LINKS_MAX; i++)
		if (p->links[i].socket)
			send_packed(p, &p->links[i], &w);
	message_writer_free(&w);
}
