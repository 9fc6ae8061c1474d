#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/util.h>

#include "buffer.h"
#include "support-wire.h"

struct wire_control {
	struct evhttp *http;
	wire_control_fn *fn;
	void *arg;
};

static bool header_value(const char *head, const char *name, char *value,
			 size_t size);
static void on_control(struct evhttp_request *req, void *arg);

struct event_base *wire_event_base(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

/* Copies the value of a header field from a NUL-terminated request head. */
static bool header_value(const char *head, const char *name, char *value,
			 size_t size)
{
	size_t len = strlen(name);

	for (const char *p = strstr(head, "\r\n"); p; p = strstr(p, "\r\n")) {
		p += 2;
		if (strncasecmp(p, name, len) || p[len] != ':')
			continue;
		p += len + 1;
		p += strspn(p, " ");
		snprintf(value, size, "%.*s", (int)strcspn(p, "\r\n"), p);
		return true;
	}
	value[0] = '\0';
	return false;
}

int wire_parse_request(struct evbuffer *in, struct wire_request *req)
{
	struct evbuffer_ptr end = evbuffer_search(in, "\r\n\r\n", 4, NULL);
	char head[WIRE_HEAD_MAX], text[32];
	size_t head_len, body_len;

	if (end.pos < 0)
		return evbuffer_get_length(in) > sizeof(head) - 4 ? -1 : 0;
	head_len = (size_t)end.pos + 4;
	if (head_len >= sizeof(head))
		return -1;
	evbuffer_copyout(in, head, head_len);
	head[head_len] = '\0';
	memset(req, 0, sizeof(*req));
	if (sscanf(head, "%15s %255[^? ]", req->method, req->path) != 2)
		return -1;
	header_value(head, "X-Request-Id", req->id, sizeof(req->id));
	header_value(head, "X-Kind", req->kind, sizeof(req->kind));
	header_value(head, "Connection", text, sizeof(text));
	req->close = !strcasecmp(text, "close");
	header_value(head, "Content-Length", text, sizeof(text));
	body_len = strtoul(text, NULL, 10);
	if (body_len > WIRE_BODY_MAX)
		return -1;
	if (evbuffer_get_length(in) < head_len + body_len)
		return 0;
	evbuffer_drain(in, head_len);
	req->body = xcalloc(1, body_len + 1);
	req->body_len = body_len;
	evbuffer_remove(in, req->body, body_len);
	return 1;
}

bool wire_find_value(const char *text, const char *name, char *value,
		     size_t size)
{
	size_t len = strlen(name);

	for (const char *p = strstr(text, name); p; p = strstr(p + 1, name)) {
		if (p != text && !strchr(" ,;\r\n&", p[-1]))
			continue;
		if (p[len] != '=')
			continue;
		p += len + 1;
		snprintf(value, size, "%.*s", (int)strcspn(p, " ,;\r\n&"), p);
		return true;
	}
	value[0] = '\0';
	return false;
}

int wire_parse_address(const char *text, struct sockaddr_storage *addr,
		       int *len)
{
	*len = sizeof(*addr);
	memset(addr, 0, sizeof(*addr));
	if (evutil_parse_sockaddr_port(text, (struct sockaddr *)addr, len) <
		    0 ||
	    !strrchr(text, ':')) {
		fprintf(stderr, "%s: address is not of the form IP:PORT\n",
			text);
		return -1;
	}
	return 0;
}

static void on_control(struct evhttp_request *req, void *arg)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct evbuffer *out = evbuffer_new();
	struct wire_control *c = arg;
	json_t *body = NULL, *answer;
	char *text = NULL;

	if (len)
		body = json_loadb((const char *)evbuffer_pullup(in, -1), len, 0,
				  NULL);
	answer = c->fn(c->arg,
		       evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req)),
		       json_is_object(body) ? body : NULL);
	if (answer)
		text = json_dumps(answer, JSON_COMPACT);
	evbuffer_add_printf(out, "%s\n", text ? text : "{}");
	evhttp_send_reply(req, answer ? 200 : 400,
			  answer ? "OK" : "Bad Request", out);
	evbuffer_free(out);
	free(text);
	json_decref(answer);
	json_decref(body);
}

struct wire_control *wire_control(struct event_base *base, const char *listen,
				  wire_control_fn *fn, void *arg)
{
	struct wire_control *c = xcalloc(1, sizeof(*c));
	struct sockaddr_storage addr;
	char host[64];
	int len;
	unsigned port;

	c->fn = fn;
	c->arg = arg;
	c->http = evhttp_new(base);
	if (wire_parse_address(listen, &addr, &len) < 0)
		goto fail;
	snprintf(host, sizeof(host), "%.*s",
		 (int)(strrchr(listen, ':') - listen), listen);
	port = (unsigned)strtoul(strrchr(listen, ':') + 1, NULL, 10);
	if (evhttp_bind_socket(c->http, host, (uint16_t)port) < 0) {
		fprintf(stderr, "%s: cannot listen\n", listen);
		goto fail;
	}
	evhttp_set_gencb(c->http, on_control, c);
	return c;
fail:
	wire_control_free(c);
	return NULL;
}

void wire_control_free(struct wire_control *c)
{
	if (!c)
		return;
	evhttp_free(c->http);
	free(c);
}
