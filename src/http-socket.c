#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "clock.h"
#include "http-socket.h"

/* A connect in progress; at most one per address. */
struct pending_connect {
	const char *host;
	uint16_t port;
	struct pending_connect *next;
};

static int begin_connect(struct pending_connect *pending, uint64_t deadline_us);
static void end_connect(struct pending_connect *pending);
static void identify_socket(struct http_socket *s, const char *host,
			    uint16_t port);

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t connect_done_cond = PTHREAD_COND_INITIALIZER;
static struct pending_connect *pending_connects;
static struct http_socket *identified_sockets;

int http_socket_open(struct http_socket *s, const char *host, uint16_t port,
		     uint64_t deadline_us)
{
	struct pending_connect pending = { .host = host, .port = port };
	char mg_error[128];

	s->fd = -1;
	if (begin_connect(&pending, deadline_us) < 0)
		return -1;
	s->mg = mg_connect_client(host, port, 0, mg_error, sizeof(mg_error));
	if (s->mg)
		identify_socket(s, host, port);
	end_connect(&pending);
	if (!s->mg)
		return -1;
	if (s->fd >= 0) {
		int one = 1;

		setsockopt(s->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	}
	return 0;
}

void http_socket_close(struct http_socket *s)
{
	struct http_socket **at;

	mg_close_connection(s->mg);
	if (s->fd < 0)
		return;
	/*
	 * The entry must outlive the socket: a thread that connects to the
	 * same address would take an open socket without entry for its own.
	 */
	pthread_mutex_lock(&lock);
	for (at = &identified_sockets; *at; at = &(*at)->next_identified) {
		if (*at == s) {
			*at = s->next_identified;
			break;
		}
	}
	pthread_mutex_unlock(&lock);
}

bool http_socket_is_idle(const struct http_socket *s)
{
	char byte;

	if (s->fd < 0)
		return false;
	return recv(s->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Returns whether a thread is connecting to the same address. */
static bool connect_in_progress(const struct pending_connect *pending)
{
	const struct pending_connect *at;

	for (at = pending_connects; at; at = at->next)
		if (at->port == pending->port &&
		    !strcmp(at->host, pending->host))
			return true;
	return false;
}

/* Waits for other connects to the address; returns -1 at the deadline. */
static int begin_connect(struct pending_connect *pending, uint64_t deadline_us)
{
	int result = 0;

	pthread_mutex_lock(&lock);
	while (connect_in_progress(pending) && !result) {
		uint64_t now = clock_now_us();
		struct timespec ts;

		if (now >= deadline_us) {
			result = -1;
			break;
		}
		clock_gettime(CLOCK_REALTIME, &ts);
		now = (uint64_t)ts.tv_nsec / 1000u + (deadline_us - now);
		ts.tv_sec += (time_t)(now / 1000000u);
		ts.tv_nsec = (long)(now % 1000000u) * 1000;
		pthread_cond_timedwait(&connect_done_cond, &lock, &ts);
	}
	if (!result) {
		pending->next = pending_connects;
		pending_connects = pending;
	}
	pthread_mutex_unlock(&lock);
	return result;
}

static void end_connect(struct pending_connect *pending)
{
	struct pending_connect **at = &pending_connects;

	pthread_mutex_lock(&lock);
	while (*at != pending)
		at = &(*at)->next;
	*at = pending->next;
	pthread_cond_broadcast(&connect_done_cond);
	pthread_mutex_unlock(&lock);
}

static bool is_connected_to(int fd, const char *host, uint16_t port)
{
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);
	char peer_host[INET6_ADDRSTRLEN] = "";
	uint16_t peer_port = 0;

	if (getpeername(fd, (struct sockaddr *)&peer, &len) < 0)
		return false;
	if (peer.ss_family == AF_INET) {
		struct sockaddr_in *in = (struct sockaddr_in *)&peer;

		peer_port = ntohs(in->sin_port);
		inet_ntop(AF_INET, &in->sin_addr, peer_host, sizeof(peer_host));
	} else if (peer.ss_family == AF_INET6) {
		struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&peer;

		peer_port = ntohs(in6->sin6_port);
		inet_ntop(AF_INET6, &in6->sin6_addr, peer_host,
			  sizeof(peer_host));
	}
	return peer_port == port && !strcmp(peer_host, host);
}

/* Returns whether the socket is assigned to a connection already. */
static bool is_identified(uint64_t cookie)
{
	const struct http_socket *at;

	for (at = identified_sockets; at; at = at->next_identified)
		if (at->cookie == cookie)
			return true;
	return false;
}

/* Sets fd and cookie of a new connection; fd is -1 if ambiguous. */
static void identify_socket(struct http_socket *s, const char *host,
			    uint16_t port)
{
	DIR *dir = opendir("/proc/self/fd");
	struct dirent *entry;
	int candidates = 0;

	if (!dir)
		return;
	pthread_mutex_lock(&lock);
	while ((entry = readdir(dir))) {
		int fd = atoi(entry->d_name);
		uint64_t cookie = 0;
		socklen_t len = sizeof(cookie);

		if (entry->d_name[0] == '.' ||
		    !is_connected_to(fd, host, port) ||
		    getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &len) < 0 ||
		    is_identified(cookie))
			continue;
		candidates++;
		s->fd = fd;
		s->cookie = cookie;
	}
	if (candidates == 1) {
		s->next_identified = identified_sockets;
		identified_sockets = s;
	} else {
		s->fd = -1;
	}
	pthread_mutex_unlock(&lock);
	closedir(dir);
}
