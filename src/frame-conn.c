#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "counter.h"
#include "frame-conn.h"
#include "frame-deflate.h"

#define HEADER_BYTES 4u
/* In a header: the payload is a block of the peer's deflate stream. */
#define BLOCK_FLAG 0x80000000u
/* Sent data that stays unacknowledged for this long fails the connection. */
#define UNACKED_TIMEOUT_MS 2000u
#define READ_CHUNK_BYTES (256 * 1024)

struct frame_conn {
	const struct frame_conn_ops *ops;
	void *arg;
	struct event *readable;
	struct event *writable;
	struct event *failed; /* reports the failure from the event loop */
	struct evbuffer *in;
	struct evbuffer *out;
	struct evbuffer *plain; /* frames to compress at the next flush */
	struct evbuffer *inflated;
	struct frame_stream *deflate; /* NULL: frames are not compressed */
	struct frame_stream *inflate; /* NULL: no block was received */
	struct counter *sent_bytes;
	struct counter *received_bytes;
	evbuffer_cb_func watch_fn; /* of in and inflated, or NULL */
	void *watch_arg;
	const char *failure;
	int fd;
	bool connecting;
	bool unflushed;
	bool in_callback;
	bool free_pending;
};

static void fail(struct frame_conn *c, const char *reason)
{
	if (c->failure)
		return;
	c->failure = reason;
	event_del(c->readable);
	event_del(c->writable);
	event_active(c->failed, EV_TIMEOUT, 0);
}

static void destroy(struct frame_conn *c)
{
	event_free(c->readable);
	event_free(c->writable);
	event_free(c->failed);
	evbuffer_free(c->in);
	evbuffer_free(c->out);
	evbuffer_free(c->plain);
	evbuffer_free(c->inflated);
	frame_stream_free(c->deflate);
	frame_stream_free(c->inflate);
	close(c->fd);
	free(c);
}

static void on_failed(evutil_socket_t fd, short what, void *arg)
{
	struct frame_conn *c = arg;

	(void)fd;
	(void)what;
	c->ops->closed(c->arg, c->failure);
}

static void deliver_frames(struct frame_conn *c, struct evbuffer *in);

/* Passes on the frames of a block, which is in the first len bytes of in. */
static void deliver_block(struct frame_conn *c, struct evbuffer *in,
			  uint32_t len)
{
	struct evbuffer *block;

	if (in == c->inflated) {
		fail(c, "nested-block");
		return;
	}
	if (!c->inflate)
		c->inflate = frame_inflate_create();
	block = evbuffer_new();
	evbuffer_remove_buffer(in, block, len);
	if (!c->inflate || frame_inflate(c->inflate, block, c->inflated) < 0)
		fail(c, "malformed-block");
	else
		deliver_frames(c, c->inflated);
	evbuffer_free(block);
}

/* Passes on all complete frames. */
static void deliver_frames(struct frame_conn *c, struct evbuffer *in)
{
	uint32_t header, len;

	while (!c->free_pending && !c->failure &&
	       evbuffer_copyout(in, &header, HEADER_BYTES) == HEADER_BYTES) {
		header = ntohl(header);
		len = header & ~BLOCK_FLAG;
		if (len > (header & BLOCK_FLAG ? FRAME_QUEUE_MAX_BYTES
					       : FRAME_MAX_BYTES)) {
			fail(c, "frame-too-long");
			return;
		}
		if (evbuffer_get_length(in) < HEADER_BYTES + len)
			return;
		evbuffer_drain(in, HEADER_BYTES);
		if (header & BLOCK_FLAG) {
			deliver_block(c, in, len);
			continue;
		}
		c->ops->frame(c->arg, evbuffer_pullup(in, len), len);
		evbuffer_drain(in, len);
	}
}

static void on_readable(evutil_socket_t fd, short what, void *arg)
{
	struct frame_conn *c = arg;
	int n = evbuffer_read(c->in, fd, READ_CHUNK_BYTES);

	(void)what;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		fail(c, n ? "read-failed" : "closed-by-peer");
		return;
	}
	counter_add(c->received_bytes, n);
	c->in_callback = true;
	deliver_frames(c, c->in);
	c->in_callback = false;
	if (c->free_pending)
		destroy(c);
}

static void write_queued(struct frame_conn *c)
{
	if (c->connecting || c->failure || !evbuffer_get_length(c->out))
		return;
	if (evbuffer_write(c->out, c->fd) < 0 && errno != EAGAIN &&
	    errno != EINTR)
		fail(c, "write-failed");
	else if (evbuffer_get_length(c->out) > FRAME_QUEUE_MAX_BYTES)
		fail(c, "queue-full");
	else if (evbuffer_get_length(c->out))
		event_add(c->writable, NULL);
}

static void on_writable(evutil_socket_t fd, short what, void *arg)
{
	struct frame_conn *c = arg;
	int error = 0;
	socklen_t len = sizeof(error);

	(void)what;
	if (c->connecting) {
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
		if (error) {
			fail(c, "connect-failed");
			return;
		}
		c->connecting = false;
		event_add(c->readable, NULL);
	}
	write_queued(c);
}

static struct frame_conn *create(struct event_base *base, int fd,
				 const struct frame_conn_ops *ops, void *arg)
{
	struct frame_conn *c = xcalloc(1, sizeof(*c));
	unsigned int ms = UNACKED_TIMEOUT_MS;
	int one = 1;

	c->ops = ops;
	c->arg = arg;
	c->fd = fd;
	c->sent_bytes = counter_get(COUNTER, COUNTER_RELAY_BYTES, COUNTER_SENT);
	c->received_bytes =
		counter_get(COUNTER, COUNTER_RELAY_BYTES, COUNTER_RECEIVED);
	c->in = evbuffer_new();
	c->out = evbuffer_new();
	c->plain = evbuffer_new();
	c->inflated = evbuffer_new();
	c->readable = event_new(base, fd, EV_READ | EV_PERSIST, on_readable, c);
	c->writable = event_new(base, fd, EV_WRITE, on_writable, c);
	c->failed = event_new(base, -1, 0, on_failed, c);
	evutil_make_socket_nonblocking(fd);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return c;
}

struct frame_conn *frame_conn_connect(struct event_base *base, const char *host,
				      uint16_t port,
				      const struct frame_conn_ops *ops,
				      void *arg)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	struct frame_conn *c;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	c = create(base, fd, ops, arg);
	c->connecting = true;
	if (inet_pton(AF_INET, host, &to.sin_addr) != 1 ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	     errno != EINPROGRESS))
		fail(c, "connect-failed");
	else
		event_add(c->writable, NULL);
	return c;
}

struct frame_conn *frame_conn_accept(struct event_base *base, int fd,
				     const struct frame_conn_ops *ops,
				     void *arg)
{
	struct frame_conn *c = create(base, fd, ops, arg);

	event_add(c->readable, NULL);
	return c;
}

void frame_conn_free(struct frame_conn *c)
{
	if (!c)
		return;
	c->free_pending = true;
	if (c->watch_fn) {
		evbuffer_remove_cb(c->in, c->watch_fn, c->watch_arg);
		evbuffer_remove_cb(c->inflated, c->watch_fn, c->watch_arg);
	}
	if (!c->in_callback)
		destroy(c);
}

void frame_conn_send(struct frame_conn *c, const void *data, size_t len)
{
	struct evbuffer *to = c->deflate ? c->plain : c->out;
	uint32_t header = htonl((uint32_t)len);

	if (c->failure)
		return;
	evbuffer_add(to, &header, sizeof(header));
	evbuffer_add(to, data, len);
	if (!c->deflate)
		counter_add(c->sent_bytes, (long long)(HEADER_BYTES + len));
	c->unflushed = true;
}

static void compress_queued(struct frame_conn *c)
{
	struct evbuffer *block = evbuffer_new();
	uint32_t header;
	size_t len;

	frame_deflate(c->deflate, c->plain, block);
	len = evbuffer_get_length(block);
	header = htonl((uint32_t)len | BLOCK_FLAG);
	evbuffer_add(c->out, &header, sizeof(header));
	evbuffer_add_buffer(c->out, block);
	counter_add(c->sent_bytes, (long long)(HEADER_BYTES + len));
	evbuffer_free(block);
}

void frame_conn_flush(struct frame_conn *c)
{
	c->unflushed = false;
	if (evbuffer_get_length(c->plain))
		compress_queued(c);
	write_queued(c);
}

void frame_conn_compress(struct frame_conn *c)
{
	if (!c->deflate)
		c->deflate = frame_deflate_create();
}

bool frame_conn_peer_compresses(const struct frame_conn *c)
{
	return c->inflate != NULL;
}

bool frame_conn_has_unflushed(const struct frame_conn *c)
{
	return c->unflushed;
}

void frame_conn_watch_input(struct frame_conn *c, evbuffer_cb_func fn,
			    void *arg)
{
	c->watch_fn = fn;
	c->watch_arg = arg;
	evbuffer_add_cb(c->in, fn, arg);
	evbuffer_add_cb(c->inflated, fn, arg);
}
