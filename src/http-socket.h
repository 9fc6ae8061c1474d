#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <civetweb.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	http-socket - client connections of CivetWeb whose socket is known
 *
 * DESCRIPTION
 *	CivetWeb's client interface does not give the socket of a connection.
 *	http_socket_open() lets one thread at a time connect to an address;
 *	the socket is then the one that is connected to that address and not
 *	known yet. Sockets are told apart by SO_COOKIE, since descriptors are
 *	reused.
 *
 * ERRORS
 *	fd is -1 when the socket could not be told; the connection works but
 *	must not be kept, as its closing could not be noticed.
 */

struct http_socket {
	struct mg_connection *mg;
	int fd;
	uint64_t cookie;
	struct http_socket *next_identified;
};

/* Returns 0, or -1 when no connection was open before deadline_us. */
int http_socket_open(struct http_socket *s, const char *host, uint16_t port,
		     uint64_t deadline_us);
void http_socket_close(struct http_socket *s);

/* Whether an idle connection is still open and has no unread bytes. */
bool http_socket_is_idle(const struct http_socket *s);

#endif
