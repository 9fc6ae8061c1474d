#ifndef FRAME_CONN_H
#define FRAME_CONN_H

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

/*
 * NAME
 *	frame-conn - connection that carries length-prefixed frames
 *
 * DESCRIPTION
 *	Frames are queued by frame_conn_send() and written by
 *	frame_conn_flush(), so that many frames take one system call. After a
 *	flush, what the socket did not accept is written as it drains.
 *
 *	When the connection fails, the closed callback runs once, from the
 *	event loop; after it, the connection must only be freed. Either
 *	callback may free the connection.
 *
 *	After frame_conn_compress(), the frames of each flush are sent as one
 *	block of a deflate stream that lasts as long as the connection, so what
 *	earlier frames contained takes few bytes. The peer must understand
 *	blocks; a connection always reads both forms.
 *
 * ERRORS
 *	A frame longer than FRAME_MAX_BYTES, and more than
 *	FRAME_QUEUE_MAX_BYTES of unsent data, fail the connection.
 */

#define FRAME_MAX_BYTES (1024u * 1024u)
/* A peer that does not read is disconnected rather than buffered for. */
#define FRAME_QUEUE_MAX_BYTES (8u * 1024u * 1024u)

struct frame_conn;

struct frame_conn_ops {
	/* data is valid during the call. */
	void (*frame)(void *arg, const void *data, size_t len);
	void (*closed)(void *arg, const char *reason);
};

/* Connects to an IPv4 address. Returns NULL if no socket can be created. */
struct frame_conn *frame_conn_connect(struct event_base *base, const char *host,
				      uint16_t port,
				      const struct frame_conn_ops *ops,
				      void *arg);
/* Takes ownership of the socket fd. */
struct frame_conn *frame_conn_accept(struct event_base *base, int fd,
				     const struct frame_conn_ops *ops,
				     void *arg);
void frame_conn_free(struct frame_conn *c);

void frame_conn_send(struct frame_conn *c, const void *data, size_t len);
void frame_conn_flush(struct frame_conn *c);
/* Compresses all frames that are sent from now on. */
void frame_conn_compress(struct frame_conn *c);
/* Whether the peer has sent a compressed block, and so understands them. */
bool frame_conn_peer_compresses(const struct frame_conn *c);
/*
 * fn is called for each change of what was received and not yet delivered,
 * until the connection is freed. To be called once at most.
 */
void frame_conn_watch_input(struct frame_conn *c, evbuffer_cb_func fn,
			    void *arg);
/* Whether frames were queued since the last flush. */
bool frame_conn_has_unflushed(const struct frame_conn *c);

#endif
