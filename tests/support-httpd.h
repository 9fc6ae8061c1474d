#ifndef SUPPORT_HTTPD_H
#define SUPPORT_HTTPD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <civetweb.h>

#include "buffer.h"

/*
 * NAME
 *	support-httpd - HTTP side of the stand-ins, on CivetWeb
 *
 * DESCRIPTION
 *	httpd_start() serves one address with the given number of threads and
 *	calls fn for every request with its whole body. fn fills the answer.
 *	An answer with status 0 closes the connection without a byte.
 *
 * ERRORS
 *	httpd_start() returns NULL when the address cannot be used, after a
 *	line on standard error.
 */

#define HTTPD_BODY_MAX_BYTES (4u << 20)

struct httpd_call {
	const char *method;
	const char *path;
	const char *query; /* "" when there is none */
	struct buffer body;
	int status; /* answer */
	char headers[256];
	struct buffer response_body;
};

typedef void httpd_handler(void *arg, struct httpd_call *call);

struct httpd;

struct httpd *httpd_start(const char *listen, unsigned threads,
			  httpd_handler *fn, void *arg);
void httpd_stop(struct httpd *h);

/* Copies the query variable's value. Returns false when it is absent. */
bool httpd_query(const struct httpd_call *call, const char *name, char *value,
		 size_t size);
/* Returns the variable as a number, or the given value when absent. */
uint64_t httpd_query_u64(const struct httpd_call *call, const char *name,
			 uint64_t absent);

/* Sets the status and a formatted body. */
void httpd_respond(struct httpd_call *call, int status, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
