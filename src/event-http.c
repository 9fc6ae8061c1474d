#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "event-http.h"

#define RESPONSE_MAX_BYTES (8 * 1024 * 1024)
/*
 * Limit on the time that sent data stays unacknowledged, so that a dead peer
 * fails a long poll before the timeout of the poll does.
 */
#define UNACKED_TIMEOUT_MS 2000

struct http_conn {
	struct event_base *base;
	struct evhttp_connection *evcon;
	char host[48];
	char host_port[64];
	uint16_t port;
	bool connected;
	bool in_callback;
	bool free_pending; /* http_conn_free() was called */
	struct evhttp_request *req;
	event_http_response_fn *fn;
	void *arg;
	struct event *deferred; /* frees, or reports a failed start */
};

static void open_connection(struct http_conn *c);
static void close_connection(struct http_conn *c);
static void on_response(struct evhttp_request *req, void *arg);
static void on_close(struct evhttp_connection *evcon, void *arg);
static void on_deferred(evutil_socket_t fd, short what, void *arg);
static void complete_call(struct http_conn *c,
			  const struct event_http_response *response);

struct http_conn *http_conn_create(struct event_base *base, const char *host,
				   uint16_t port)
{
	struct http_conn *c = xcalloc(1, sizeof(*c));

	c->base = base;
	c->port = port;
	snprintf(c->host, sizeof(c->host), "%s", host);
	snprintf(c->host_port, sizeof(c->host_port), "%s:%u", host, port);
	c->deferred = event_new(base, -1, 0, on_deferred, c);
	return c;
}

static void open_connection(struct http_conn *c)
{
	c->evcon = evhttp_connection_base_new(c->base, NULL, c->host, c->port);
	evhttp_connection_set_max_body_size(c->evcon, RESPONSE_MAX_BYTES);
	evhttp_connection_set_closecb(c->evcon, on_close, c);
	c->connected = false;
}

static void close_connection(struct http_conn *c)
{
	struct evhttp_connection *evcon = c->evcon;

	c->evcon = NULL;
	c->connected = false;
	if (!evcon)
		return;
	evhttp_connection_set_closecb(evcon, NULL, NULL);
	evhttp_connection_free(evcon);
}

static void on_close(struct evhttp_connection *evcon, void *arg)
{
	struct http_conn *c = arg;

	(void)evcon;
	c->connected = false;
}

/*
 * Passes the response to the callback. If the callback frees the connection,
 * the free runs from the event loop.
 */
static void complete_call(struct http_conn *c,
			  const struct event_http_response *response)
{
	event_http_response_fn *fn = c->fn;

	c->req = NULL;
	c->fn = NULL;
	c->in_callback = true;
	if (fn)
		fn(c->arg, response);
	c->in_callback = false;
	if (c->free_pending && !c->req)
		event_active(c->deferred, EV_TIMEOUT, 0);
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct http_conn *c = arg;
	struct event_http_response response = {
		.outcome = EVENT_HTTP_NO_RESPONSE
	};
	struct evbuffer *input;
	const char *retry_after;
	char *body = NULL;

	if (!req || !evhttp_request_get_response_code(req)) {
		/* libevent passes the request back if it could not connect */
		if (req)
			response.outcome = EVENT_HTTP_NOT_SENT;
		c->connected = false;
		complete_call(c, &response);
		return;
	}
	response.outcome = EVENT_HTTP_RESPONDED;
	response.status = evhttp_request_get_response_code(req);
	input = evhttp_request_get_input_buffer(req);
	response.len = evbuffer_get_length(input);
	body = xcalloc(1, response.len + 1);
	evbuffer_copyout(input, body, response.len);
	response.body = body;
	retry_after = evhttp_find_header(evhttp_request_get_input_headers(req),
					 "Retry-After");
	if (retry_after)
		response.retry_after_s =
			(uint32_t)strtoul(retry_after, NULL, 10);
	complete_call(c, &response);
	free(body);
}

/*
 * Frees the connection, or reports a request that could not be started. Runs
 * from the event loop, since libevent does not allow a connection to be freed
 * in its own callbacks.
 */
static void on_deferred(evutil_socket_t fd, short what, void *arg)
{
	struct http_conn *c = arg;
	struct event_http_response response = { .outcome =
							EVENT_HTTP_NOT_SENT };

	(void)fd;
	(void)what;
	if (c->free_pending) {
		close_connection(c);
		event_free(c->deferred);
		free(c);
		return;
	}
	if (c->fn)
		complete_call(c, &response);
}

static void set_socket_options(struct http_conn *c)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(c->evcon);
	evutil_socket_t fd = bufferevent_getfd(bev);
	unsigned int ms = UNACKED_TIMEOUT_MS;
	int one = 1;

	if (fd < 0)
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static enum evhttp_cmd_type parse_method(const char *method)
{
	if (!strcmp(method, "POST"))
		return EVHTTP_REQ_POST;
	if (!strcmp(method, "DELETE"))
		return EVHTTP_REQ_DELETE;
	return EVHTTP_REQ_GET;
}

void http_conn_call(struct http_conn *c, const char *method, const char *uri,
		    const struct http_header *headers, const char *body,
		    size_t len, uint32_t timeout_ms, event_http_response_fn *fn,
		    void *arg)
{
	struct timeval tv = { .tv_sec = timeout_ms / 1000,
			      .tv_usec = (timeout_ms % 1000) * 1000 };
	struct evkeyvalq *out;

	c->fn = fn;
	c->arg = arg;
	if (!c->evcon)
		open_connection(c);
	evhttp_connection_set_timeout_tv(c->evcon, &tv);
	c->req = evhttp_request_new(on_response, c);
	out = evhttp_request_get_output_headers(c->req);
	evhttp_add_header(out, "Host", c->host_port);
	if (body)
		evhttp_add_header(out, "Content-Type", "application/json");
	for (; headers && headers->name; headers++)
		evhttp_add_header(out, headers->name, headers->value);
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(c->req), body,
			     len);
	if (evhttp_make_request(c->evcon, c->req, parse_method(method), uri) <
	    0) {
		c->req = NULL;
		event_active(c->deferred, EV_TIMEOUT, 0);
		return;
	}
	c->connected = true;
	set_socket_options(c);
}

void http_conn_free(struct http_conn *c)
{
	if (!c)
		return;
	c->fn = NULL;
	c->free_pending = true;
	event_active(c->deferred, EV_TIMEOUT, 0);
}
