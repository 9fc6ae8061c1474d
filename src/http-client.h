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
 *	answer. Connections are kept and reused; the pool holds at most
 *	max_idle idle ones per address. A call that fails on a reused
 *	connection is not repeated here: the caller knows whether it may be.
 *	All functions may be called from any thread.
 *
 *	An idle connection that the server closed is recognised before it is
 *	written to. CivetWeb does not tell the socket of a client connection,
 *	which this check and the timeout while a body is read need; it is
 *	found among the process's descriptors (http-socket.h). The timeout
 *	does not end a connect attempt, which CivetWeb ends after 10 s.
 *
 * ERRORS
 *	Layer ERROR_LAYER_HTTP. The code tells how far the call came:
 *	HTTP_NOT_SENT	no byte of the request left (connect failed)
 *	HTTP_MAYBE_SENT	a byte may have left; the request may take effect
 *	HTTP_TRUNCATED	the answer was shorter than its Content-Length
 *	HTTP_TIMEOUT	no whole answer before the timeout; bytes have left
 *	HTTP_TOO_LARGE	the answer exceeds max_answer_bytes
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
	const char *path;    /* with query */
	const char *headers; /* "Name: value\r\n" lines, or NULL */
	const void *body;
	size_t body_len;
	uint64_t timeout_us; /* for the whole call */
	size_t max_response_bytes;
	/*
	 * When not NULL, called after the connection is open and immediately
	 * before the first byte is written; -1 ends the call with
	 * HTTP_NOT_SENT.
	 */
	int (*before_send)(void *arg);
	void *before_send_arg;
	/*
	 * Bound on the open connections to the address, idle ones included;
	 * a call that would need one more ends with HTTP_NOT_SENT. 0: none.
	 */
	uint32_t max_connections;
	struct http_cancel *cancel; /* zero-initialised, or NULL */
};

/* Lets another thread end a call; guarded by the client's lock. */
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

/* Returns 0 with a whole answer, or -1 with err set. */
int http_call(struct http_client *c, const char *host, uint16_t port,
	      const struct http_request *req, struct http_response *ans,
	      struct error *err);

/*
 * Ends a call early. When no byte left yet it ends with HTTP_NOT_SENT,
 * otherwise with HTTP_MAYBE_SENT or HTTP_TRUNCATED. The token must outlive the
 * call.
 */
void http_cancel(struct http_client *c, struct http_cancel *token);

/* Returns the header's value, or NULL. Names compare without case. */
const char *http_response_header(const struct http_response *ans,
				 const char *name);
void http_response_free(struct http_response *ans);

#endif
