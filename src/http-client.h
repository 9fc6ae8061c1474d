#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "error.h"

/*
 * NAME
 *	http-client - blocking HTTP client with pooled connections
 *
 * DESCRIPTION
 *	http_call() sends one request to an address and reads the whole
 *	response. Connections are kept alive and reused; the pool holds at most
 *	max_idle idle ones per address. A call that fails on a reused
 *	connection is not retried here: only the caller knows whether the
 *	request may be repeated. All functions are thread-safe.
 *
 *	An idle connection that the server has closed is detected before it is
 *	reused. This check, and the timeout while a body is read, need the
 *	socket of the connection. CivetWeb does not expose it, so http-socket.h
 *	looks it up among the descriptors of the process. The timeout does not
 *	interrupt a connect attempt, which CivetWeb aborts after 10 s.
 *
 * ERRORS
 *	Layer ERROR_LAYER_HTTP. The code tells how far the call got:
 *	HTTP_NOT_SENT	no byte of the request was sent, e.g. connect failed
 *	HTTP_MAYBE_SENT	bytes may have been sent; the request may take effect
 *	HTTP_TRUNCATED	the response is shorter than its Content-Length
 *	HTTP_TIMEOUT	no whole response before the timeout; bytes were sent
 *	HTTP_TOO_LARGE	the response exceeds max_response_bytes
 */

enum http_error {
	HTTP_NOT_SENT = 1,
	HTTP_MAYBE_SENT,
	HTTP_TRUNCATED,
	HTTP_TIMEOUT,
	HTTP_TOO_LARGE,
};

struct http_client;

struct http_request {
	const char *method;
	const char *path;    /* with the query string */
	const char *headers; /* "Name: value\r\n" lines, or NULL */
	const void *body;
	size_t body_len;
	uint64_t timeout_us; /* for the whole call */
	size_t max_response_bytes;
	/*
	 * If not NULL, called when the connection is open, immediately before
	 * the first byte is written; -1 fails the call with HTTP_NOT_SENT.
	 */
	int (*before_send)(void *arg);
	void *before_send_arg;
	/*
	 * Limit of the open connections to the address, idle ones included;
	 * a call that would exceed it fails with HTTP_NOT_SENT. 0: no limit.
	 */
	uint32_t max_connections;
	struct http_cancel *cancel; /* zero-initialised, or NULL */
};

/* Lets another thread cancel a call; protected by the client's lock. */
struct http_cancel {
	bool cancelled;
	struct http_active_call *call;
};

#define HTTP_HEADERS_MAX 16

struct http_response {
	int status;
	struct buffer body;
	uint32_t header_count;
	struct {
		char name[48];
		char value[208];
	} headers[HTTP_HEADERS_MAX];
};

struct http_client *http_client_create(uint32_t max_idle);
void http_client_destroy(struct http_client *c);

/* Returns 0 with the whole response, or -1 with err set. */
int http_call(struct http_client *c, const char *host, uint16_t port,
	      const struct http_request *req, struct http_response *response,
	      struct error *err);

/*
 * Cancels a call. It fails with HTTP_NOT_SENT if no byte was sent yet, else
 * with HTTP_MAYBE_SENT or HTTP_TRUNCATED. The token must outlive the call.
 */
void http_cancel(struct http_client *c, struct http_cancel *token);

/* Returns the value of a header, or NULL. Names are case-insensitive. */
const char *http_response_header(const struct http_response *response,
				 const char *name);
void http_response_free(struct http_response *response);

#endif
