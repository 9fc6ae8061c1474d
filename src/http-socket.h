#ifndef HTTP_SOCKET_H
#define HTTP_SOCKET_H

#include <civetweb.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	http-socket - CivetWeb client connections with their descriptors
 *
 * DESCRIPTION
 *	CivetWeb's client API does not expose the socket of a connection.
 *	http_socket_open() therefore serialises the connects to an address: the
 *	new socket is the only one connected to the address that has not been
 *	identified yet. Sockets are identified by SO_COOKIE, since descriptor
 *	numbers are reused.
 *
 * ERRORS
 *	fd is -1 if the socket could not be identified. The connection works
 *	but must not be reused, since a close by the server would go unnoticed.
 */

struct http_socket {
	struct mg_connection *mg;
	int fd;
	uint64_t cookie;
	struct http_socket *next_identified;
};

/*
 * Returns 0, or -1 if the connect failed or if deadline_us passed while another
 * thread was connecting to the address.
 */
int http_socket_open(struct http_socket *s, const char *host, uint16_t port,
		     uint64_t deadline_us);
void http_socket_close(struct http_socket *s);

/* Returns whether the connection is open and has no unread bytes. */
bool http_socket_is_idle(const struct http_socket *s);

#endif
