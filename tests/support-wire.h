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
 *	support-wire - HTTP over libevent for the single-threaded fake services
 *
 * DESCRIPTION
 *	wire_parse_request() removes one complete request from the start
 *	of a buffer. The fake service manages the connection itself, so that it
 *	can close it at any point. wire_control() serves a control port with
 *	evhttp.
 */

#define WIRE_HEAD_MAX 16384
#define WIRE_BODY_MAX (4u << 20)

struct wire_request {
	char method[16];
	char path[256]; /* without the query */
	char id[128];	/* X-Request-Id, or empty */
	char kind[64];	/* X-Kind, or empty */
	bool close;	/* Connection: close */
	char *body;	/* body_len bytes and a NUL; the caller frees it */
	size_t body_len;
};

/*
 * Returns an event base with microsecond timers. By default libevent rounds
 * timers up to whole milliseconds of a clock with a 4 ms resolution, which adds
 * several milliseconds to the service time of each request.
 */
struct event_base *wire_event_base(void);

/* Returns 1 with a request, 0 if it is incomplete, -1 if it is malformed. */
int wire_parse_request(struct evbuffer *in, struct wire_request *req);

/*
 * Copies the value of NAME=VALUE from the text; a space, comma, semicolon,
 * ampersand or line end terminates it. Returns false if it is absent.
 */
bool wire_find_value(const char *text, const char *name, char *value,
		     size_t size);

/* Parses "IP:PORT". Returns 0, or -1 with a message on standard error. */
int wire_parse_address(const char *text, struct sockaddr_storage *addr,
		       int *len);

/*
 * Serves a control port. fn gets the path and the body (NULL unless it is a
 * JSON object) and returns the response, or NULL for status 400.
 */
typedef json_t *wire_control_fn(void *arg, const char *path,
				const json_t *body);

struct wire_control;

struct wire_control *wire_control(struct event_base *base, const char *listen,
				  wire_control_fn *fn, void *arg);
void wire_control_free(struct wire_control *c);

#endif
