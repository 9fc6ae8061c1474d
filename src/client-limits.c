#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <linux/sockios.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "buffer.h"
#include "client-limits.h"
#include "clock.h"
#include "counter.h"
#include "log.h"

#define HEADERS_MAX_BYTES (16 * 1024)
/* Input that is read while a response is pending: the next requests. */
#define PENDING_INPUT_BYTES (64u * 1024u)
/*
 * What a header line or a chunk costs besides its bytes: lines of five bytes
 * take 20 times as much memory in libevent. A line is removed in two parts.
 */
#define PART_BYTES 64u
/*
 * Of each socket; the kernel doubles it. Without a limit it grows to 6 MB for a
 * client whose requests are not read. At 10 Mbit/s a window of 64 KiB suffices
 * for 50 ms of delay.
 */
#define SOCKET_BUFFER_BYTES (64 * 1024)
/* Sockets of connections that the server has freed are closed after it. */
#define SCAN_US 50000u
/* Scans between two samples of the buffers of the sockets. */
#define SCANS_PER_LOOK 5u
#define LOG_INTERVAL_US 1000000u
/* Descriptors for files, and the share of the others that clients get. */
#define FILE_DESCRIPTORS 200u

enum reason { REASON_CONNECTIONS, REASON_MEMORY, REASONS };

static const char *const listener_names[] = { "front", "readiness", "peers",
					      "metrics", "relays" };
static const char *const reason_names[] = { "connections", "memory" };

struct listener {
	struct client_limits *limits;
	uint32_t count;
	uint32_t max;
	size_t input_max_bytes; /* of each connection */
	evbuffer_cb_func on_input;
	void *on_input_arg;
	struct counter *closed[REASONS];
};

struct client {
	struct listener *listener;
	struct bufferevent *bev; /* NULL: of another protocol */
	void (*close_fn)(void *arg);
	void *close_arg;
	uint32_t index;
	size_t buffered;   /* in its buffers */
	size_t taken;	   /* removed from them for the request */
	size_t in_socket;  /* when it was last looked at */
	uint64_t since_us; /* idle, or in its present request, since */
	bool serving;	   /* a handler has the request */
	bool responding;   /* the response is not written yet */
};

struct client_limits {
	struct event *enforce;
	struct event *scan;
	struct listener listeners[CLIENT_LISTENERS];
	struct client **clients;
	uint32_t count;
	uint32_t capacity;
	size_t held;
	size_t memory_max;
	size_t connection_max;
	uint64_t logged_us;
	uint32_t unlogged;
	uint32_t scans;
	struct counter *held_gauge;
	struct counter *count_gauge;
};

/* ---- accounting ---- */

static size_t held_by(const struct client *c)
{
	return c->buffered + c->taken + c->in_socket;
}

static void set_held(struct client *c, size_t before)
{
	struct client_limits *l = c->listener->limits;

	l->held = l->held - before + held_by(c);
	/* Runs before the next connection is read, see its priority. */
	if (l->held > l->memory_max)
		event_active(l->enforce, EV_TIMEOUT, 0);
}

void client_limits_on_buffer(struct evbuffer *buffer,
			     const struct evbuffer_cb_info *info, void *arg)
{
	struct client *c = arg;
	size_t before = held_by(c);

	(void)buffer;
	c->buffered = c->buffered + info->n_added - info->n_deleted;
	set_held(c, before);
}

/*
 * libevent does not report that a server has freed a connection. Its
 * bufferevent, which is kept by a reference, has no callbacks then.
 */
static bool was_freed(const struct client *c)
{
	bufferevent_data_cb readcb, writecb;
	bufferevent_event_cb eventcb;
	void *arg;

	if (!c->bev)
		return false;
	bufferevent_getcb(c->bev, &readcb, &writecb, &eventcb, &arg);
	return !eventcb;
}

/* What is removed from the input is part of a request until its response. */
static void on_input(struct evbuffer *input,
		     const struct evbuffer_cb_info *info, void *arg)
{
	struct client *c = arg;
	struct listener *at = c->listener;
	size_t before = held_by(c);

	/* The socket is open until the next scan, but nobody reads the input.
	 */
	if (was_freed(c))
		bufferevent_disable(c->bev, EV_READ);
	else if (at->on_input)
		at->on_input(input, info, at->on_input_arg);
	if (info->n_added && !c->buffered && !c->taken && !c->serving &&
	    !c->responding)
		c->since_us = clock_now_us();
	c->buffered = c->buffered + info->n_added - info->n_deleted;
	if (info->n_deleted)
		c->taken += info->n_deleted + PART_BYTES;
	set_held(c, before);
}

static void set_input_max(struct client *c, size_t bytes)
{
	bufferevent_setwatermark(c->bev, EV_READ, 0, bytes);
}

static void on_output(struct evbuffer *output,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct client *c = arg;
	size_t before = held_by(c);

	c->buffered = c->buffered + info->n_added - info->n_deleted;
	if (info->n_added && c->serving) {
		c->serving = false;
		c->responding = true;
	}
	if (info->n_deleted && c->responding && !evbuffer_get_length(output)) {
		c->responding = false;
		c->taken = 0;
		c->since_us = clock_now_us();
		set_input_max(c, c->listener->input_max_bytes);
	}
	set_held(c, before);
}

/* ---- clients ---- */

static struct client *add_client(struct listener *at)
{
	struct client_limits *l = at->limits;
	struct client *c = xcalloc(1, sizeof(*c));

	if (l->count == l->capacity) {
		l->capacity = l->capacity ? l->capacity * 2 : 64;
		l->clients =
			xrealloc(l->clients, l->capacity * sizeof(*l->clients));
	}
	c->listener = at;
	c->index = l->count;
	c->since_us = clock_now_us();
	l->clients[l->count++] = c;
	at->count++;
	return c;
}

void client_limits_close_late(struct client *c)
{
	if (c)
		c->serving = true;
}

/*
 * Closes the socket now. libevent would do so from the event loop, after an
 * accept callback that may take 128 connections and so close as many.
 */
static void free_bufferevent(struct bufferevent *bev)
{
	evutil_socket_t fd = bufferevent_getfd(bev);

	bufferevent_setfd(bev, -1);
	if (fd >= 0)
		evutil_closesocket(fd);
	bufferevent_decref(bev);
}

void client_limits_remove(struct client *c)
{
	struct client_limits *l;

	if (!c)
		return;
	l = c->listener->limits;
	l->held -= held_by(c);
	c->listener->count--;
	l->clients[c->index] = l->clients[--l->count];
	l->clients[c->index]->index = c->index;
	if (c->bev)
		free_bufferevent(c->bev);
	free(c);
}

static void remove_freed(struct client_limits *l)
{
	for (uint32_t i = l->count; i-- > 0;)
		if (was_freed(l->clients[i]))
			client_limits_remove(l->clients[i]);
}

/* ---- what is closed ---- */

static void log_closed(struct client_limits *l, const struct client *c,
		       enum reason why)
{
	uint64_t now = clock_now_us();

	l->unlogged++;
	counter_add(c->listener->closed[why], 1);
	if (l->logged_us && now < l->logged_us + LOG_INTERVAL_US)
		return;
	log_event(LOG_WARNING, "clients-limited",
		  "listener=%s why=%s closed=%u connections=%u held_kb=%zu",
		  listener_names[c->listener - l->listeners], reason_names[why],
		  l->unlogged, l->count, l->held / 1024);
	l->logged_us = now;
	l->unlogged = 0;
}

static void close_client(struct client *c, enum reason why)
{
	struct client_limits *l = c->listener->limits;

	log_closed(l, c, why);
	if (!c->bev) {
		c->close_fn(c->close_arg);
		return;
	}
	/* The server does what it does when a client fails. */
	bufferevent_trigger_event(c->bev, BEV_EVENT_READING | BEV_EVENT_ERROR,
				  0);
	client_limits_remove(c);
}

static bool goes_first(const struct client *a, const struct client *b)
{
	if (a->serving != b->serving)
		return b->serving;
	return a->since_us < b->since_us;
}

/* The connection of a listener that is closed first, or NULL. */
static struct client *find_first(const struct listener *at)
{
	const struct client_limits *l = at->limits;
	struct client *first = NULL;

	for (uint32_t i = 0; i < l->count; i++)
		if (l->clients[i]->listener == at &&
		    (!first || goes_first(l->clients[i], first)))
			first = l->clients[i];
	return first;
}

/* Makes room for one more connection. */
static void limit_connections(struct listener *at)
{
	struct client *first;

	if (at->count < at->max)
		return;
	remove_freed(at->limits);
	while (at->count >= at->max && (first = find_first(at)))
		close_client(first, REASON_CONNECTIONS);
}

/*
 * The connection that is closed first for memory: of those with a substantial
 * part, the one whose request is the oldest. The largest one may be an ordinary
 * caller's upload among many connections that hold a little less each. Those
 * with less than a quarter of the mean hold at most a quarter of the limit
 * together.
 */
static struct client *find_holder(const struct client_limits *l)
{
	size_t least = l->memory_max / l->count / 4;
	struct client *first = NULL;

	for (uint32_t i = 0; i < l->count; i++)
		if (held_by(l->clients[i]) > least &&
		    (!first || goes_first(l->clients[i], first)))
			first = l->clients[i];
	return first;
}

static void limit_memory(struct client_limits *l)
{
	struct client *first;

	if (l->held > l->memory_max)
		remove_freed(l);
	while (l->held > l->memory_max && (first = find_holder(l)))
		close_client(first, REASON_MEMORY);
}

static void on_enforce(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	limit_memory(arg);
}

/* Bytes that the kernel holds for a connection. */
static size_t bytes_in_socket(int fd)
{
	int unread = 0, unsent = 0;

	if (fd < 0)
		return 0;
	ioctl(fd, FIONREAD, &unread);
	ioctl(fd, SIOCOUTQ, &unsent);
	return (size_t)unread + (size_t)unsent;
}

static void on_scan(evutil_socket_t fd, short what, void *arg)
{
	struct client_limits *l = arg;

	(void)fd;
	(void)what;
	remove_freed(l);
	if (++l->scans % SCANS_PER_LOOK)
		return;
	for (uint32_t i = 0; i < l->count; i++) {
		struct client *c = l->clients[i];
		size_t before = held_by(c);

		if (!c->bev)
			continue;
		c->in_socket = bytes_in_socket(bufferevent_getfd(c->bev));
		set_held(c, before);
	}
	counter_set(l->held_gauge, (long long)l->held);
	counter_set(l->count_gauge, l->count);
}

/* ---- servers ---- */

static struct bufferevent *create_bufferevent(struct event_base *base,
					      void *arg)
{
	struct listener *at = arg;
	/* The server leaves it to the last reference to close the socket. */
	struct bufferevent *bev =
		bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
	struct client *c;

	if (!bev)
		return NULL;
	limit_connections(at);
	c = add_client(at);
	c->bev = bev;
	bufferevent_incref(bev);
	set_input_max(c, at->input_max_bytes);
	evbuffer_add_cb(bufferevent_get_input(bev), on_input, c);
	evbuffer_add_cb(bufferevent_get_output(bev), on_output, c);
	return bev;
}

void client_limits_attach(struct client_limits *l, enum client_listener at,
			  struct evhttp *http, size_t body_max_bytes,
			  evbuffer_cb_func input_fn, void *arg)
{
	struct listener *r = &l->listeners[at];
	size_t body_max = l->connection_max - 2 * HEADERS_MAX_BYTES;

	if (body_max > body_max_bytes)
		body_max = body_max_bytes;
	r->on_input = input_fn;
	r->on_input_arg = arg;
	/* libevent takes a body from the buffer when it is complete. */
	r->input_max_bytes = body_max + 2 * HEADERS_MAX_BYTES;
	evhttp_set_max_headers_size(http, HEADERS_MAX_BYTES);
	evhttp_set_max_body_size(http, (ev_ssize_t)body_max);
	evhttp_set_bevcb(http, create_bufferevent, r);
}

void client_limits_bind(int fd)
{
	int bytes = SOCKET_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

void client_limits_begin_request(struct client_limits *l,
				 struct evhttp_request *req)
{
	struct evhttp_connection *e = evhttp_request_get_connection(req);
	struct bufferevent *bev =
		e ? evhttp_connection_get_bufferevent(e) : NULL;
	struct client *c = NULL;

	for (uint32_t i = 0; bev && !c && i < l->count; i++)
		if (l->clients[i]->bev == bev)
			c = l->clients[i];
	if (!c)
		return;
	c->serving = true;
	if (c->listener->input_max_bytes > PENDING_INPUT_BYTES)
		set_input_max(c, PENDING_INPUT_BYTES);
}

struct client *client_limits_add(struct client_limits *l,
				 enum client_listener at,
				 void (*close_fn)(void *arg), void *arg)
{
	struct client *c;

	limit_connections(&l->listeners[at]);
	c = add_client(&l->listeners[at]);
	c->close_fn = close_fn;
	c->close_arg = arg;
	return c;
}

/* ---- limits ---- */

static uint32_t min_count(uint32_t a, uint32_t b)
{
	return a < b ? a : b;
}

/*
 * The descriptors that a listener may use, as a part of all. Each other entry
 * VM of a deployment, hundreds of them, has a connection to the owner's relays'
 * port and some to its peers' port. The rest, nearly half, is for the store,
 * peers and workers.
 */
static uint32_t descriptor_share(enum client_listener at, uint32_t descriptors)
{
	switch (at) {
	case CLIENTS_FRONT:
		return descriptors / 4;
	case CLIENTS_PEERS:
	case CLIENTS_RELAYS:
		return descriptors / 8;
	default:
		return descriptors / 32;
	}
}

static void set_connection_limits(struct client_limits *l,
				  const struct settings *s)
{
	struct rlimit limit = { 0 };
	uint32_t descriptors = UINT32_MAX;

	if (!getrlimit(RLIMIT_NOFILE, &limit) && limit.rlim_cur < UINT32_MAX)
		descriptors =
			limit.rlim_cur > 2 * FILE_DESCRIPTORS
				? (uint32_t)limit.rlim_cur - FILE_DESCRIPTORS
				: (uint32_t)limit.rlim_cur / 2;
	for (int i = 0; i < CLIENT_LISTENERS; i++) {
		uint32_t max = i == CLIENTS_FRONT
				       ? s->clients.connections
				       : s->clients.internal_connections;

		l->listeners[i].max =
			min_count(max, descriptor_share(i, descriptors));
		if (!l->listeners[i].max)
			l->listeners[i].max = 1;
	}
}

struct client_limits *client_limits_create(struct event_base *base,
					   const struct settings *s)
{
	static const struct timeval interval = { 0, SCAN_US };
	struct client_limits *l = xcalloc(1, sizeof(*l));
	char labels[64];

	l->memory_max = s->clients.memory_bytes;
	l->connection_max = s->clients.connection_memory_bytes;
	l->held_gauge = counter_get(GAUGE, "waxwing_client_bytes", NULL);
	l->count_gauge = counter_get(GAUGE, "waxwing_client_connections", NULL);
	for (int i = 0; i < CLIENT_LISTENERS; i++) {
		l->listeners[i].limits = l;
		for (int why = 0; why < REASONS; why++) {
			snprintf(labels, sizeof(labels),
				 "listener=\"%s\",why=\"%s\"",
				 listener_names[i], reason_names[why]);
			l->listeners[i].closed[why] = counter_get(
				COUNTER, "waxwing_clients_closed_total",
				labels);
		}
	}
	set_connection_limits(l, s);
	l->enforce = event_new(base, -1, 0, on_enforce, l);
	/* Runs between two reads, so that one read at most is above a limit. */
	event_priority_set(l->enforce, 0);
	l->scan = event_new(base, -1, EV_PERSIST, on_scan, l);
	event_add(l->scan, &interval);
	return l;
}

void client_limits_destroy(struct client_limits *l)
{
	if (!l)
		return;
	while (l->count)
		client_limits_remove(l->clients[l->count - 1]);
	counter_set(l->held_gauge, 0);
	counter_set(l->count_gauge, 0);
	event_free(l->enforce);
	event_free(l->scan);
	free(l->clients);
	free(l);
}
