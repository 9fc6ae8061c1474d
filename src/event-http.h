#ifndef EVENT_HTTP_H
#define EVENT_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

/*
 * NAME
 *	event-http - HTTP/1.1 client connections on an event loop
 *
 * DESCRIPTION
 *	A connection is kept open between calls and carries one call at a
 *	time. The callback runs once for each call, from the event loop, unless
 *	the connection is freed first. It may start the next call or free the
 *	connection.
 *
 * ERRORS
 *	EVENT_HTTP_NOT_SENT	nothing was sent; the call took no effect
 *	EVENT_HTTP_NO_RESPONSE	the request was at least partly sent, but no
 *				response arrived; it may have taken effect
 *
 * UNITS
 *	Timeouts are in milliseconds without activity on the connection.
 */

enum event_http_outcome {
	EVENT_HTTP_RESPONDED,
	EVENT_HTTP_NOT_SENT,
	EVENT_HTTP_NO_RESPONSE
};

struct event_http_response {
	enum event_http_outcome outcome;
	int status;
	const char *body; /* NUL-terminated, valid during the callback */
	size_t len;
	uint32_t retry_after_s; /* 0 if the header is absent */
};

typedef void event_http_response_fn(void *arg,
				    const struct event_http_response *a);

struct http_header {
	const char *name;
	const char *value;
};

struct http_conn;

struct http_conn *http_conn_create(struct event_base *base, const char *host,
				   uint16_t port);
void http_conn_free(struct http_conn *c);

/*
 * Starts a call. body may be NULL for a request without a body; headers is
 * NULL or an array that ends with a NULL name.
 */
void http_conn_call(struct http_conn *c, const char *method, const char *uri,
		    const struct http_header *headers, const char *body,
		    size_t len, uint32_t timeout_ms, event_http_response_fn *fn,
		    void *arg);

#endif
