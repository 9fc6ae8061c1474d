#ifndef CLIENT_LIMITS_H
#define CLIENT_LIMITS_H

#include <event2/buffer.h>
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

/*
 * NAME
 *	client-limits - bounds what a process holds for its clients
 *
 * DESCRIPTION
 *	Counts the connections of each listener and the bytes that are held for
 *	them: read and not yet freed, unsent, and those in the sockets. Above a
 *	limit connections are closed: if there are too many, the one that has
 *	been idle or in its request for longest, requests that are being served
 *	last; if they hold too many bytes, the same of those that hold a
 *	substantial part.
 *
 *	A connection stops being read at the limit for each connection, and
 *	before that while its client does not read a response.
 *
 *	A connection that is closed looks to its server as if the client had
 *	closed it; the outcome of its request is unknown to the client, unless
 *	a response had been sent.
 */

enum client_listener {
	CLIENTS_FRONT,
	CLIENTS_READINESS,
	CLIENTS_PEERS,
	CLIENTS_METRICS,
	CLIENTS_RELAYS,
	CLIENT_LISTENERS,
};

struct client;
struct client_limits;

struct client_limits *client_limits_create(struct event_base *base,
					   const struct settings *s);
/* All servers and connections must have been freed. */
void client_limits_destroy(struct client_limits *l);

/*
 * Applies the limits to an HTTP server. body_max_bytes is the longest body that
 * it accepts. on_input, which may be NULL, is a callback of each connection's
 * input buffer.
 */
void client_limits_attach(struct client_limits *l, enum client_listener at,
			  struct evhttp *http, size_t body_max_bytes,
			  evbuffer_cb_func on_input, void *arg);
/* Bounds the buffers of the connections that a listening socket accepts. */
void client_limits_bind(int fd);
/* To be called first by the handler of a server's requests. */
void client_limits_begin_request(struct client_limits *l,
				 struct evhttp_request *req);

/*
 * Adds a connection of another protocol. close_fn closes it and removes the
 * client. May close others.
 */
struct client *client_limits_add(struct client_limits *l,
				 enum client_listener at,
				 void (*close_fn)(void *arg), void *arg);
/* Others are closed first for their number. client may be NULL. */
void client_limits_close_late(struct client *client);
/* client may be NULL. */
void client_limits_remove(struct client *client);
/* Callback of a buffer that counts for the client arg. */
void client_limits_on_buffer(struct evbuffer *buffer,
			     const struct evbuffer_cb_info *info, void *arg);

#endif
