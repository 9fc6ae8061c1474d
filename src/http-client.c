#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>

#include "clock.h"
#include "http-client.h"
#include "http-socket.h"

#define POOL_BUCKETS 256
#define READ_CHUNK_BYTES 16384
#define SINGLE_WRITE_MAX_BYTES 16384
/* Idle connections are closed before servers usually close them. */
#define IDLE_TIMEOUT_US 20000000u

struct connection {
	struct http_socket socket;
	struct connection *next;
	uint64_t idle_since_us;
	bool reused;
};

/* Connections to one address. Freed only when the client is destroyed. */
struct pool {
	char host[48];
	uint16_t port;
	uint32_t open_count; /* idle, in use or being opened */
	uint32_t idle_count;
	struct connection *idle;
	struct pool *next;
};

/* A call in progress; its socket is shut down at the deadline. */
struct http_active_call {
	int fd;
	uint64_t deadline_us;
	bool expired;
	struct http_active_call *next;
	struct http_active_call *previous;
};

struct http_client {
	uint32_t max_idle;
	pthread_mutex_t lock;
	struct pool *pools[POOL_BUCKETS];
	struct http_active_call *active_calls;
	uint64_t next_deadline_us;
	pthread_cond_t timeout_cond;
	pthread_t timeout_thread;
	bool stopping;
};

static void *run_timeout_thread(void *arg);
static struct connection *acquire_connection(struct http_client *c,
					     struct pool *p,
					     const struct http_request *req,
					     uint64_t deadline_us);
static void release_connection(struct http_client *c, struct pool *p,
			       struct connection *conn, bool keep_alive);
static int send_and_receive(struct connection *conn,
			    const struct http_request *req,
			    const struct pool *p, uint64_t deadline_us,
			    struct http_response *response, bool *keep_alive,
			    struct error *err);

struct http_client *http_client_create(uint32_t max_idle)
{
	struct http_client *c = xcalloc(1, sizeof(*c));
	pthread_condattr_t attr;

	mg_init_library(0);
	c->max_idle = max_idle;
	c->next_deadline_us = UINT64_MAX;
	pthread_mutex_init(&c->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&c->timeout_cond, &attr);
	pthread_condattr_destroy(&attr);
	if (pthread_create(&c->timeout_thread, NULL, run_timeout_thread, c)) {
		free(c);
		return NULL;
	}
	return c;
}

static void close_connections(struct connection *conn)
{
	while (conn) {
		struct connection *next = conn->next;

		http_socket_close(&conn->socket);
		free(conn);
		conn = next;
	}
}

void http_client_destroy(struct http_client *c)
{
	if (!c)
		return;
	pthread_mutex_lock(&c->lock);
	c->stopping = true;
	pthread_cond_signal(&c->timeout_cond);
	pthread_mutex_unlock(&c->lock);
	pthread_join(c->timeout_thread, NULL);
	for (int i = 0; i < POOL_BUCKETS; i++) {
		while (c->pools[i]) {
			struct pool *p = c->pools[i];

			c->pools[i] = p->next;
			close_connections(p->idle);
			free(p);
		}
	}
	pthread_cond_destroy(&c->timeout_cond);
	pthread_mutex_destroy(&c->lock);
	free(c);
	mg_exit_library();
}

/* Shuts down the sockets of overdue calls; returns the next deadline. */
static uint64_t shut_down_expired_calls(struct http_client *c, uint64_t now_us)
{
	uint64_t next_us = UINT64_MAX;

	for (struct http_active_call *call = c->active_calls; call;
	     call = call->next) {
		if (call->expired)
			continue;
		if (call->deadline_us <= now_us) {
			call->expired = true;
			shutdown(call->fd, SHUT_RDWR);
		} else if (call->deadline_us < next_us) {
			next_us = call->deadline_us;
		}
	}
	return next_us;
}

/* Thread that shuts down the sockets of calls at their deadlines. */
static void *run_timeout_thread(void *arg)
{
	struct http_client *c = arg;

	pthread_mutex_lock(&c->lock);
	while (!c->stopping) {
		uint64_t now = clock_now_us();
		struct timespec ts;

		c->next_deadline_us = shut_down_expired_calls(c, now);
		if (c->next_deadline_us == UINT64_MAX) {
			pthread_cond_wait(&c->timeout_cond, &c->lock);
			continue;
		}
		clock_gettime(CLOCK_MONOTONIC, &ts);
		now = (uint64_t)ts.tv_nsec / 1000u +
		      (c->next_deadline_us - now);
		ts.tv_sec += (time_t)(now / 1000000u);
		ts.tv_nsec = (long)(now % 1000000u) * 1000;
		pthread_cond_timedwait(&c->timeout_cond, &c->lock, &ts);
	}
	pthread_mutex_unlock(&c->lock);
	return NULL;
}

/*
 * Makes an open call subject to its timeout and to cancellation. Returns -1 if
 * it has been cancelled already.
 */
static int register_call(struct http_client *c, struct http_active_call *call,
			 struct http_cancel *cancel)
{
	int result = 0;

	pthread_mutex_lock(&c->lock);
	if (cancel && cancel->cancelled) {
		result = -1;
		goto out;
	}
	call->next = c->active_calls;
	if (call->next)
		call->next->previous = call;
	c->active_calls = call;
	if (cancel)
		cancel->call = call;
	if (call->fd >= 0 && call->deadline_us < c->next_deadline_us)
		pthread_cond_signal(&c->timeout_cond);
out:
	pthread_mutex_unlock(&c->lock);
	return result;
}

/* Returns whether the socket was shut down and must not be reused. */
static bool unregister_call(struct http_client *c,
			    struct http_active_call *call,
			    struct http_cancel *cancel)
{
	bool shut_down;

	pthread_mutex_lock(&c->lock);
	shut_down = call->expired || (cancel && cancel->cancelled);
	if (call->next)
		call->next->previous = call->previous;
	if (call->previous)
		call->previous->next = call->next;
	else
		c->active_calls = call->next;
	if (cancel)
		cancel->call = NULL;
	pthread_mutex_unlock(&c->lock);
	return shut_down;
}

void http_cancel(struct http_client *c, struct http_cancel *token)
{
	pthread_mutex_lock(&c->lock);
	token->cancelled = true;
	if (token->call && token->call->fd >= 0)
		shutdown(token->call->fd, SHUT_RDWR);
	pthread_mutex_unlock(&c->lock);
}

/* Returns the pool of an address; creates it on first use. */
static struct pool *find_pool(struct http_client *c, const char *host,
			      uint16_t port)
{
	uint32_t hash = port;
	struct pool *p;

	for (const char *s = host; *s; s++)
		hash = hash * 31u + (unsigned char)*s;
	hash %= POOL_BUCKETS;
	pthread_mutex_lock(&c->lock);
	for (p = c->pools[hash]; p; p = p->next)
		if (p->port == port && !strcmp(p->host, host))
			break;
	if (!p) {
		p = xcalloc(1, sizeof(*p));
		snprintf(p->host, sizeof(p->host), "%s", host);
		p->port = port;
		p->next = c->pools[hash];
		c->pools[hash] = p;
	}
	pthread_mutex_unlock(&c->lock);
	return p;
}

int http_call(struct http_client *c, const char *host, uint16_t port,
	      const struct http_request *req, struct http_response *response,
	      struct error *err)
{
	uint64_t deadline_us = clock_now_us() + req->timeout_us;
	struct pool *p = find_pool(c, host, port);
	struct http_active_call call = { .deadline_us = deadline_us };
	struct connection *conn;
	bool keep_alive = false;
	int result;

	memset(response, 0, sizeof(*response));
	conn = acquire_connection(c, p, req, deadline_us);
	if (!conn)
		return error_set(err, ERROR_LAYER_HTTP, HTTP_NOT_SENT,
				 "cannot connect to %s:%u", host, port);
	call.fd = conn->socket.fd;
	/* The timeout thread cannot end a call whose socket is unknown. */
	call.expired = call.fd < 0;
	if (register_call(c, &call, req->cancel) < 0) {
		release_connection(c, p, conn, true);
		return error_set(err, ERROR_LAYER_HTTP, HTTP_NOT_SENT,
				 "request to %s:%u cancelled", host, port);
	}
	if (clock_now_us() >= deadline_us ||
	    (req->before_send && req->before_send(req->before_send_arg) < 0)) {
		result = error_set(
			err, ERROR_LAYER_HTTP, HTTP_NOT_SENT,
			"request to %s:%u not sent: deadline passed or "
			"refused by the caller",
			host, port);
		keep_alive = true;
	} else {
		result = send_and_receive(conn, req, p, deadline_us, response,
					  &keep_alive, err);
	}
	if (unregister_call(c, &call, req->cancel))
		keep_alive = false;
	if (result < 0 && err->code != HTTP_NOT_SENT &&
	    err->code != HTTP_TOO_LARGE && clock_now_us() >= deadline_us)
		err->code = HTTP_TIMEOUT;
	release_connection(c, p, conn, keep_alive);
	if (result < 0)
		http_response_free(response);
	return result;
}

/*
 * Removes and returns the most recently used idle connection. Returns NULL if
 * there is none; if *may_open_new is set then, a new one is already counted.
 */
static struct connection *pop_idle(struct http_client *c, struct pool *p,
				   uint32_t max_connections, bool *may_open_new)
{
	struct connection *conn;

	pthread_mutex_lock(&c->lock);
	conn = p->idle;
	if (conn) {
		p->idle = conn->next;
		p->idle_count--;
	}
	*may_open_new = !max_connections || p->open_count < max_connections;
	if (!conn && *may_open_new)
		p->open_count++; /* reserved for the new connection */
	pthread_mutex_unlock(&c->lock);
	return conn;
}

static void close_connection(struct http_client *c, struct pool *p,
			     struct connection *conn)
{
	http_socket_close(&conn->socket);
	free(conn);
	pthread_mutex_lock(&c->lock);
	p->open_count--;
	pthread_mutex_unlock(&c->lock);
}

/* Returns an idle or a new connection, or NULL. */
static struct connection *acquire_connection(struct http_client *c,
					     struct pool *p,
					     const struct http_request *req,
					     uint64_t deadline_us)
{
	struct connection *conn;
	bool may_open_new;

	while ((conn = pop_idle(c, p, req->max_connections, &may_open_new))) {
		if (clock_now_us() - conn->idle_since_us < IDLE_TIMEOUT_US &&
		    http_socket_is_idle(&conn->socket)) {
			conn->reused = true;
			return conn;
		}
		close_connection(c, p, conn);
	}
	if (!may_open_new)
		return NULL;
	conn = xcalloc(1, sizeof(*conn));
	if (http_socket_open(&conn->socket, p->host, p->port, deadline_us) == 0)
		return conn;
	free(conn);
	pthread_mutex_lock(&c->lock);
	p->open_count--;
	pthread_mutex_unlock(&c->lock);
	return NULL;
}

/* Returns a connection to the pool, or closes it. */
static void release_connection(struct http_client *c, struct pool *p,
			       struct connection *conn, bool keep_alive)
{
	if (!keep_alive || conn->socket.fd < 0) {
		close_connection(c, p, conn);
		return;
	}
	conn->idle_since_us = clock_now_us();
	pthread_mutex_lock(&c->lock);
	keep_alive = p->idle_count < c->max_idle;
	if (keep_alive) {
		conn->next = p->idle;
		p->idle = conn;
		p->idle_count++;
	}
	pthread_mutex_unlock(&c->lock);
	if (!keep_alive)
		close_connection(c, p, conn);
}

/* Writes the request; a small body goes into the segment of the headers. */
static int write_request(struct connection *conn,
			 const struct http_request *req, const struct pool *p)
{
	struct buffer b = BUFFER_INIT;
	int result = -1;

	buffer_printf(&b, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", req->method,
		      req->path, p->host, p->port);
	buffer_printf(&b, "Content-Length: %zu\r\n%s\r\n", req->body_len,
		      req->headers ? req->headers : "");
	if (req->body_len && req->body_len <= SINGLE_WRITE_MAX_BYTES)
		buffer_append(&b, req->body, req->body_len);
	if (mg_write(conn->socket.mg, b.data, b.len) != (int)b.len)
		goto out;
	if (req->body_len > SINGLE_WRITE_MAX_BYTES &&
	    mg_write(conn->socket.mg, req->body, req->body_len) !=
		    (int)req->body_len)
		goto out;
	result = 0;
out:
	buffer_free(&b);
	return result;
}

/* Copies status and headers; returns whether the connection is reusable. */
static bool copy_headers(const struct mg_response_info *info,
			 struct http_response *response)
{
	bool keep_alive = info->content_length >= 0;

	response->status = info->status_code;
	for (int i = 0; i < info->num_headers; i++) {
		const struct mg_header *h = &info->http_headers[i];

		if (!strcasecmp(h->name, "Connection") &&
		    !strcasecmp(h->value, "close"))
			keep_alive = false;
		if (response->header_count == HTTP_HEADERS_MAX)
			continue;
		snprintf(response->headers[response->header_count].name,
			 sizeof(response->headers[0].name), "%s", h->name);
		snprintf(response->headers[response->header_count].value,
			 sizeof(response->headers[0].value), "%s", h->value);
		response->header_count++;
	}
	return keep_alive;
}

/* Reads length bytes of body, or until end of file if length is negative. */
static int read_body(struct connection *conn, long long length, size_t limit,
		     struct http_response *response, struct error *err)
{
	char chunk[READ_CHUNK_BYTES];

	while (length < 0 || response->body.len < (size_t)length) {
		size_t chunk_len = sizeof(chunk);
		int n;

		if (length >= 0 &&
		    (size_t)length - response->body.len < chunk_len)
			chunk_len = (size_t)length - response->body.len;
		n = mg_read(conn->socket.mg, chunk, chunk_len);
		if (n == 0 && length < 0)
			return 0;
		if (n <= 0)
			return error_set(err, ERROR_LAYER_HTTP, HTTP_TRUNCATED,
					 "response truncated after %zu bytes",
					 response->body.len);
		buffer_append(&response->body, chunk, (size_t)n);
		if (response->body.len > limit)
			return error_set(err, ERROR_LAYER_HTTP, HTTP_TOO_LARGE,
					 "response exceeds %zu bytes", limit);
	}
	return 0;
}

static int send_and_receive(struct connection *conn,
			    const struct http_request *req,
			    const struct pool *p, uint64_t deadline_us,
			    struct http_response *response, bool *keep_alive,
			    struct error *err)
{
	const struct mg_response_info *info;
	char mg_error[128] = "";
	uint64_t now;
	int wait_ms;

	if (write_request(conn, req, p) < 0)
		return error_set(err, ERROR_LAYER_HTTP, HTTP_MAYBE_SENT,
				 "write to %s:%u failed", p->host, p->port);
	now = clock_now_us();
	if (now >= deadline_us)
		return error_set(err, ERROR_LAYER_HTTP, HTTP_TIMEOUT,
				 "request to %s:%u timed out", p->host,
				 p->port);
	wait_ms = (int)((deadline_us - now + 999u) / 1000u);
	if (mg_get_response(conn->socket.mg, mg_error, sizeof(mg_error),
			    wait_ms) < 0)
		return error_set(err, ERROR_LAYER_HTTP, HTTP_MAYBE_SENT,
				 "no response from %s:%u%s: %s", p->host,
				 p->port,
				 conn->reused ? " on a reused connection" : "",
				 mg_error);
	info = mg_get_response_info(conn->socket.mg);
	if (!info)
		return error_set(err, ERROR_LAYER_HTTP, HTTP_MAYBE_SENT,
				 "malformed response from %s:%u", p->host,
				 p->port);
	*keep_alive = copy_headers(info, response);
	if (info->content_length > (long long)req->max_response_bytes) {
		*keep_alive = false;
		return error_set(err, ERROR_LAYER_HTTP, HTTP_TOO_LARGE,
				 "response from %s:%u exceeds %zu bytes",
				 p->host, p->port, req->max_response_bytes);
	}
	if (read_body(conn, info->content_length, req->max_response_bytes,
		      response, err) < 0) {
		*keep_alive = false;
		return -1;
	}
	return 0;
}

const char *http_response_header(const struct http_response *response,
				 const char *name)
{
	for (uint32_t i = 0; i < response->header_count; i++)
		if (!strcasecmp(response->headers[i].name, name))
			return response->headers[i].value;
	return NULL;
}

void http_response_free(struct http_response *response)
{
	buffer_free(&response->body);
}
