#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support-httpd.h"

struct httpd {
	struct mg_context *ctx;
	httpd_handler *handler;
	void *arg;
};

static int read_body(struct mg_connection *conn, struct buffer *body);
static void write_response(struct mg_connection *conn, struct httpd_call *call);
static int on_request(struct mg_connection *conn, void *arg);
static int ignore_log(const struct mg_connection *conn, const char *message);

static int ignore_log(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	(void)message;
	return 1;
}

/* Returns 0 with the whole body, or -1 if it is truncated or too large. */
static int read_body(struct mg_connection *conn, struct buffer *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	char chunk[16384];
	int n;

	while ((n = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		buffer_append(body, chunk, (size_t)n);
		if (body->len > HTTPD_BODY_MAX_BYTES)
			return -1;
	}
	if (info->content_length >= 0 &&
	    body->len != (size_t)info->content_length)
		return -1;
	return 0;
}

/* Sends headers and body in one write to avoid a delayed ACK in between. */
static void write_response(struct mg_connection *conn, struct httpd_call *call)
{
	struct buffer out = BUFFER_INIT;

	buffer_printf(&out, "HTTP/1.1 %d %s\r\n", call->status,
		      mg_get_response_code_text(conn, call->status));
	buffer_append_str(&out, "Content-Type: application/json\r\n");
	buffer_append_str(&out, call->headers);
	buffer_printf(&out, "Content-Length: %zu\r\n\r\n",
		      call->response_body.len);
	buffer_append(&out, call->response_body.data, call->response_body.len);
	mg_write(conn, out.data, out.len);
	buffer_free(&out);
}

static int on_request(struct mg_connection *conn, void *arg)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct httpd *h = arg;
	struct httpd_call call = {
		.method = info->request_method,
		.path = info->local_uri,
		.query = info->query_string ? info->query_string : "",
	};

	if (read_body(conn, &call.body) == 0)
		h->handler(h->arg, &call);
	if (call.status)
		write_response(conn, &call);
	else
		mg_close_connection(conn);
	buffer_free(&call.body);
	buffer_free(&call.response_body);
	return call.status ? call.status : 500;
}

struct httpd *httpd_start(const char *listen, unsigned threads,
			  httpd_handler *fn, void *arg)
{
	struct mg_callbacks callbacks = { .log_message = ignore_log };
	char count[16];
	const char *options[] = {
		"listening_ports",	 listen,  "num_threads", count,
		"enable_keep_alive",	 "yes",	  "tcp_nodelay", "1",
		"keep_alive_timeout_ms", "20000", "decode_url",	 "no",
		"listen_backlog",	 "1024",  NULL,
	};
	struct httpd *h = xcalloc(1, sizeof(*h));

	snprintf(count, sizeof(count), "%u", threads);
	h->handler = fn;
	h->arg = arg;
	h->ctx = mg_start(&callbacks, NULL, options);
	if (!h->ctx) {
		fprintf(stderr, "HTTP server: cannot listen on %s\n", listen);
		free(h);
		return NULL;
	}
	mg_set_request_handler(h->ctx, "/", on_request, h);
	return h;
}

void httpd_stop(struct httpd *h)
{
	if (!h)
		return;
	mg_stop(h->ctx);
	free(h);
}

bool httpd_query(const struct httpd_call *call, const char *name, char *value,
		 size_t size)
{
	return mg_get_var(call->query, strlen(call->query), name, value,
			  size) >= 0;
}

uint64_t httpd_query_u64(const struct httpd_call *call, const char *name,
			 uint64_t default_value)
{
	char text[32];

	if (!httpd_query(call, name, text, sizeof(text)))
		return default_value;
	return strtoull(text, NULL, 10);
}

void httpd_respond(struct httpd_call *call, int status, const char *fmt, ...)
{
	char text[1024];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	call->status = status;
	buffer_append_str(&call->response_body, text);
}
