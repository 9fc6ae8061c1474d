#include <string.h>

#include "clock.h"
#include "log.h"
#include "peers-internal.h"

#define ZAP_ADDRESS "inproc://zeromq.zap.01"
#define ZAP_FRAMES 7
#define REFUSED_LOG_INTERVAL_US 10000000u

static bool zap_allows(const struct peers *p, zmq_msg_t *frames, int count);
static void zap_reply(struct peers *p, zmq_msg_t *frames, bool allow);
static void log_refused(struct peers *p, zmq_msg_t *address);
static void on_zap(void *arg);

int peers_open_zap(struct peers *p, struct error *err)
{
	p->zap = zmq_socket(loop_zmq_context(p->loop), ZMQ_REP);
	if (!p->zap)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_SOCKET,
				 "cannot create the ZAP socket: %s",
				 zmq_strerror(zmq_errno()));
	peers_set_int(p->zap, ZMQ_LINGER, 0);
	if (zmq_bind(p->zap, ZAP_ADDRESS) < 0)
		return error_set(err, ERROR_LAYER_PEERS, PEERS_BIND,
				 "cannot bind %s: %s", ZAP_ADDRESS,
				 zmq_strerror(zmq_errno()));
	loop_add_socket_handler(p->loop, p->zap, on_zap, p);
	return 0;
}

/*
 * Admits only the deployment's key. The frames are version, request id,
 * domain, address, identity, mechanism and key.
 */
static bool zap_allows(const struct peers *p, zmq_msg_t *frames, int count)
{
	return count == ZAP_FRAMES && zmq_msg_size(&frames[5]) == 5 &&
	       !memcmp(zmq_msg_data(&frames[5]), "CURVE", 5) &&
	       zmq_msg_size(&frames[6]) == PEER_KEY_BYTES &&
	       !memcmp(zmq_msg_data(&frames[6]), p->public_key, PEER_KEY_BYTES);
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

/* Rate-limited, because a peer with another key keeps reconnecting. */
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
	int count = peers_receive_frames(p->zap, frames, ZAP_FRAMES);
	int stored = count < ZAP_FRAMES ? count : ZAP_FRAMES;
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
	peers_close_frames(frames, stored);
}
