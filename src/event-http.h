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
 *	time. The callback runs once for each call, from the event loop, and
 *	may start the next call or free the connection.
 *
 * ERRORS
 *	HTTP_NOT_SENT	no byte of the call left; it did not take effect
 *	HTTP_NO_RESPONSE	the call may have taken effect
 *
 * UNITS
 *	Timeouts in milliseconds, of silence on the connection.
 */

enum http_outcome { HTTP_RESPONDED, HTTP_NOT_SENT, HTTP_NO_RESPONSE };

struct http_response {
	enum http_outcome outcome;
	int status;
	const char *body; /* len bytes and a NUL; valid in the callback */
	size_t len;
	uint32_t retry_after_s; /* 0 when the answer names none */
};

typedef void http_response_fn(void *arg, const struct http_response *a);

struct http_header {
	const char *name;
	const char *value;
};

struct http_conn;

struct http_conn *http_conn_create(struct event_base *base, const char *host,
				   uint16_t port);
void http_conn_free(struct http_conn *c);

/* body may be NULL; headers end with a NULL name, or NULL for none. */
void http_conn_call(struct http_conn *c, const char *method, const char *uri,
		    const struct http_header *headers, const char *body,
		    size_t len, uint32_t timeout_ms, http_response_fn *fn,
		    void *arg);

#endif
