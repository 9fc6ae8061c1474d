#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "buffer.h"
#include "log.h"
#include "peers-internal.h"

#define MESSAGE_HEADER_MAX_BYTES 128
/*
 * ZeroMQ closes the connection on a larger message. One that is only above
 * PEER_MESSAGE_MAX_BYTES is counted and dropped.
 */
#define RECEIVE_MAX_BYTES (4u * PEER_MESSAGE_MAX_BYTES)
#define RECEIVE_QUEUE_MESSAGES 1000
/* Messages handled before control returns to the event loop. */
#define RECEIVE_BATCH_MESSAGES 200

struct start_call {
	struct peers *p;
	struct error *err;
	int ret;
};

static int peers_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void peers_destroy(struct service *svc);
static void open_sockets(void *arg);
static int open_router(struct peers *p, struct error *err);
static void on_message(void *arg);
static void handle_message(struct peers *p, zmq_msg_t *from,
			   zmq_msg_t *payload);
static void send_id_reply(struct peers *p, zmq_msg_t *from);

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

void peers_set_int(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

void peers_format_endpoint(const struct settings_address *a, char *out,
			   size_t size)
{
	if (strchr(a->host, ':'))
		snprintf(out, size, "tcp://[%s]:%u", a->host, a->port);
	else
		snprintf(out, size, "tcp://%s:%u", a->host, a->port);
}

static int open_router(struct peers *p, struct error *err)
{
	int64_t max_bytes = RECEIVE_MAX_BYTES;
	char endpoint[96];

	p->router = zmq_socket(loop_zmq_context(p->loop), ZMQ_ROUTER);
	if (!p->router)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_SOCKET,
				 "cannot create the listening socket: %s",
				 zmq_strerror(zmq_errno()));
	peers_set_int(p->router, ZMQ_LINGER, 0);
	peers_set_int(p->router, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
	peers_set_int(p->router, ZMQ_CURVE_SERVER, 1);
	peers_set_int(p->router, ZMQ_HEARTBEAT_IVL, PEER_PING_INTERVAL_MS);
	peers_set_int(p->router, ZMQ_HEARTBEAT_TIMEOUT, PEER_PING_TIMEOUT_MS);
	zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &max_bytes,
		       sizeof(max_bytes));
	zmq_setsockopt(p->router, ZMQ_CURVE_SECRETKEY, p->s->peers.curve_secret,
		       strlen(p->s->peers.curve_secret) + 1);
	zmq_setsockopt(p->router, ZMQ_ZAP_DOMAIN, PEER_ZAP_DOMAIN,
		       strlen(PEER_ZAP_DOMAIN));
	peers_format_endpoint(&p->s->peers.listen, endpoint, sizeof(endpoint));
	if (zmq_bind(p->router, endpoint) < 0)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_BIND,
				 "cannot listen on %s: %s", endpoint,
				 zmq_strerror(zmq_errno()));
	loop_add_socket_handler(p->loop, p->router, on_message, p);
	return 0;
}

static void open_sockets(void *arg)
{
	struct start_call *c = arg;
	struct peers *p = c->p;

	c->ret = -1;
	if (peers_open_zap(p, c->err) < 0 || open_router(p, c->err) < 0)
		return;
	peers_open_links(p);
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

/* Closes the sockets of the control thread, which has ended by now. */
static void peers_destroy(struct service *svc)
{
	struct peers *p = (struct peers *)svc;

	for (int i = 0; i < PEER_LINKS_MAX; i++)
		if (p->links[i].socket)
			zmq_close(p->links[i].socket);
	if (p->router)
		zmq_close(p->router);
	if (p->zap)
		zmq_close(p->zap);
	free(p);
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	p->handlers[type] = (struct peer_handler){ fn, arg };
}

int peers_receive_frames(void *socket, zmq_msg_t *frames, int max)
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

void peers_close_frames(zmq_msg_t *frames, int count)
{
	for (int i = 0; i < count; i++)
		zmq_msg_close(&frames[i]);
}

/* Sends this process's id on the connection that requested it. */
static void send_id_reply(struct peers *p, zmq_msg_t *from)
{
	struct message_writer w;

	peers_pack(p, PEER_IDENTIFY, "", 0, &w);
	if (zmq_msg_send(from, p->router, ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0)
		zmq_send(p->router, w.buffer.data, w.buffer.size, ZMQ_DONTWAIT);
	message_writer_free(&w);
}

/* Checks one message and passes it to the handler of its type. */
static void handle_message(struct peers *p, zmq_msg_t *from, zmq_msg_t *payload)
{
	char sender[PEER_ID_BYTES];
	size_t size = zmq_msg_size(payload), len;
	struct message_reader r;
	const struct peer_handler *h;
	const void *body;
	uint64_t type;

	if (size > PEER_MESSAGE_MAX_BYTES + MESSAGE_HEADER_MAX_BYTES) {
		counter_add(p->oversized, 1);
		return;
	}
	message_reader_init(&r, zmq_msg_data(payload), size);
	type = message_get_uint(&r);
	message_get_str(&r, sender, sizeof(sender));
	message_get_uint(&r);
	body = message_get_bin(&r, &len);
	if (r.malformed || !type || type >= PEER_MESSAGE_TYPES || !sender[0] ||
	    len > PEER_MESSAGE_MAX_BYTES ||
	    (len && !message_is_well_formed(body, len))) {
		counter_add(p->malformed, 1);
		log_event(LOG_DEBUG, "peer-malformed", "bytes=%zu", size);
		goto out;
	}
	counter_add(p->received, 1);
	counter_add(p->received_bytes, (long long)size);
	if (type == PEER_IDENTIFY)
		send_id_reply(p, from);
	h = &p->handlers[type];
	if (h->fn && strcmp(sender, p->s->node.id))
		h->fn(h->arg, sender, body, len);
out:
	message_reader_free(&r);
}

static void on_message(void *arg)
{
	struct peers *p = arg;

	for (int i = 0; i < RECEIVE_BATCH_MESSAGES; i++) {
		zmq_msg_t frames[2];
		int count = peers_receive_frames(p->router, frames, 2);

		if (!count)
			return;
		if (count == 2)
			handle_message(p, &frames[0], &frames[1]);
		else
			counter_add(p->malformed, 1);
		peers_close_frames(frames, count < 2 ? count : 2);
	}
}

void peers_pack(struct peers *p, enum peer_message_type type, const void *body,
		size_t len, struct message_writer *w)
{
	message_writer_init(w, 4);
	message_put_uint(w, type);
	message_put_str(w, p->s->node.id);
	message_put_uint(w, ++p->sequence);
	message_put_bin(w, body, len);
}

int peers_send_packed(struct peers *p, struct peer_link *l,
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
	struct peer_link *l = peers_find_link(p, id);
	struct message_writer w;
	int ret;

	if (!l || !*id)
		return -1;
	if (len > PEER_MESSAGE_MAX_BYTES) {
		counter_add(p->oversized, 1);
		return -1;
	}
	peers_pack(p, type, body, len, &w);
	ret = peers_send_packed(p, l, &w);
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
	peers_pack(p, type, body, len, &w);
	for (int i = 0; i < PEER_LINKS_MAX; i++)
		if (p->links[i].socket)
			peers_send_packed(p, &p->links[i], &w);
	message_writer_free(&w);
}
