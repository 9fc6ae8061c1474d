#ifndef SUPPORT_WIRE_H
#define SUPPORT_WIRE_H

#include <stdbool.h>
#include <stddef.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>
#include <sys/socket.h>

/*
 * NAME
 *	support-wire - HTTP over libevent for the single-threaded stand-ins
 *
 * DESCRIPTION
 *	wire_parse_request() takes one whole request from the front of a
 *	buffer; the stand-in keeps the connection to itself, so that it can
 *	cut it anywhere. wire_control() serves a control port with evhttp.
 */

#define WIRE_HEAD_MAX 16384
#define WIRE_BODY_MAX (4u << 20)

struct wire_request {
	char method[16];
	char path[256]; /* without the query */
	char id[128];	/* X-Request-Id, or empty */
	char kind[64];	/* X-Kind, or empty */
	bool close;	/* Connection: close */
	char *body;	/* body_len bytes and a NUL; freed by the caller */
	size_t body_len;
};

/*
 * Returns an event base whose timers are exact to microseconds. By default
 * libevent rounds them up to whole milliseconds of a clock that moves every
 * 4 ms, which adds several milliseconds to each request's service time.
 */
struct event_base *wire_event_base(void);

/* Returns 1 with a request, 0 when more bytes are needed, -1 when bad. */
int wire_parse_request(struct evbuffer *in, struct wire_request *req);

/*
 * Copies the value of NAME=VALUE, ended by a space, comma, line end or such,
 * from the text. Returns false when it is absent.
 */
bool wire_find_value(const char *text, const char *name, char *value,
		     size_t size);

/* Splits "IP:PORT". Returns 0, or -1 after a line on standard error. */
int wire_parse_address(const char *text, struct sockaddr_storage *addr,
		       int *len);

/*
 * Serves a control port. fn gets the path and the body (NULL unless it is a
 * JSON object) and returns the answer, or NULL for
 * 400.
 */
typedef json_t *wire_control_fn(void *arg, const char *path,
				const json_t *body);

struct wire_control;

struct wire_control *wire_control(struct event_base *base, const char *listen,
				  wire_control_fn *fn, void *arg);
void wire_control_free(struct wire_control *c);

#endif
