#ifndef SUPPORT_HTTPD_H
#define SUPPORT_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <civetweb.h>

#include "buffer.h"

/*
 * NAME
 *	support-httpd - HTTP server of the simulated services, on CivetWeb
 *
 * DESCRIPTION
 *	httpd_start() listens on one address with the given number of threads
 *	and calls fn for every request that arrived whole. fn sets the response.
 *	If the status stays 0, the connection is closed without a response.
 *
 * ERRORS
 *	httpd_start() prints an error and returns NULL if it cannot listen.
 */

#define HTTPD_BODY_MAX_BYTES (4u << 20)

struct httpd_call {
	const char *method;
	const char *path;
	const char *query; /* without "?"; "" if there is none */
	struct buffer body;
	int status; /* of the response; 0: none */
	char headers[256];
	struct buffer response_body;
};

typedef void httpd_handler(void *arg, struct httpd_call *call);

struct httpd;

struct httpd *httpd_start(const char *listen, unsigned threads,
			  httpd_handler *fn, void *arg);
void httpd_stop(struct httpd *h);

/* Copies the value of a query parameter. Returns false if it is absent. */
bool httpd_query(const struct httpd_call *call, const char *name, char *value,
		 size_t size);
/* Returns a query parameter as a number, or default_value if absent. */
uint64_t httpd_query_u64(const struct httpd_call *call, const char *name,
			 uint64_t default_value);

/* Sets the response: status and formatted body. */
void httpd_respond(struct httpd_call *call, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
