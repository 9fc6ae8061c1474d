#include <b64/cencode.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "support-memory-store.h"

#define KEYS_MAX 8192
#define SESSIONS_MAX 64
#define ID_BYTES 40

struct key {
	char *name; /* NULL: free */
	struct buffer value;
	uint64_t modify_index;
	char session[ID_BYTES];
};

struct session {
	char id[ID_BYTES];
	uint64_t ttl_us;
	uint64_t expires_us;
};

struct kv_server {
	struct mg_context *context;
	uint16_t port;
	pthread_mutex_t lock;
	struct key keys[KEYS_MAX];
	struct session sessions[SESSIONS_MAX];
	uint64_t index;
	uint64_t session_count;
	uint64_t calls;
	char *vms;
	bool down;
	bool stopping;
	enum kv_fault fault;
	char fault_match[64];
	uint32_t fault_count;
	int fault_status;
};

static int handle_request(struct mg_connection *conn, void *arg);

/* ---- keys and sessions; callers hold the lock ---- */

static struct key *find_key(struct kv_server *s, const char *name)
{
	for (int i = 0; i < KEYS_MAX; i++)
		if (s->keys[i].name && !strcmp(s->keys[i].name, name))
			return &s->keys[i];
	return NULL;
}

static void remove_key(struct kv_server *s, struct key *k)
{
	free(k->name);
	buffer_free(&k->value);
	memset(k, 0, sizeof(*k));
	s->index++;
}

static struct key *set_key(struct kv_server *s, const char *name,
			   const struct buffer *value)
{
	struct key *k = find_key(s, name);

	for (int i = 0; i < KEYS_MAX && !k; i++)
		if (!s->keys[i].name)
			k = &s->keys[i];
	if (!k)
		abort();
	if (!k->name)
		k->name = xstrdup(name);
	buffer_reset(&k->value);
	buffer_append(&k->value, value->data, value->len);
	k->modify_index = ++s->index;
	return k;
}

static struct session *find_session(struct kv_server *s, const char *id)
{
	for (int i = 0; id[0] && i < SESSIONS_MAX; i++)
		if (!strcmp(s->sessions[i].id, id))
			return &s->sessions[i];
	return NULL;
}

static void destroy_session(struct kv_server *s, struct session *session)
{
	for (int i = 0; i < KEYS_MAX; i++)
		if (s->keys[i].name && !strcmp(s->keys[i].session, session->id))
			remove_key(s, &s->keys[i]);
	session->id[0] = '\0';
}

static void expire_sessions(struct kv_server *s)
{
	uint64_t now = clock_now_us();

	for (int i = 0; i < SESSIONS_MAX; i++)
		if (s->sessions[i].id[0] && now > s->sessions[i].expires_us)
			destroy_session(s, &s->sessions[i]);
}

/* ---- replies ---- */

static void append_base64(struct buffer *out, const struct buffer *value)
{
	base64_encodestate state;
	char *text = xcalloc(value->len / 3 + 2, 5);
	int n, total;

	base64_init_encodestate(&state);
	total = base64_encode_block(value->data ? value->data : "",
				    (int)value->len, text, &state);
	total += base64_encode_blockend(text + total, &state);
	n = 0;
	for (int i = 0; i < total; i++)
		if (text[i] != '\n')
			text[n++] = text[i];
	buffer_append(out, text, (size_t)n);
	free(text);
}

/* Appends the matching keys as JSON; returns their number. */
static int list_keys(struct kv_server *s, const char *name, bool recurse,
		     struct buffer *out)
{
	int n = 0;

	for (int i = 0; i < KEYS_MAX; i++) {
		struct key *k = &s->keys[i];
		size_t len = recurse ? strlen(name) : 4096;

		if (!k->name || strncmp(k->name, name, len) != 0)
			continue;
		buffer_printf(out,
			      "%s{\"Key\":\"%s\",\"ModifyIndex\":%llu,"
			      "\"CreateIndex\":1,",
			      n++ ? "," : "[", k->name,
			      (unsigned long long)k->modify_index);
		if (k->session[0])
			buffer_printf(out, "\"Session\":\"%s\",", k->session);
		buffer_append_str(out, "\"Value\":\"");
		append_base64(out, &k->value);
		buffer_append_str(out, "\"}");
	}
	if (n)
		buffer_append_str(out, "]");
	return n;
}

static void query_param(const char *text, const char *name, char *out,
			size_t size)
{
	if (!text || mg_get_var(text, strlen(text), name, out, size) < 0)
		out[0] = '\0';
}

static int get_key(struct kv_server *s, const char *name, const char *q,
		   struct buffer *out)
{
	char index[24], wait[24], recurse[8];
	uint64_t until;

	query_param(q, "index", index, sizeof(index));
	query_param(q, "wait", wait, sizeof(wait));
	query_param(q, "recurse", recurse, sizeof(recurse));
	until = clock_now_us() + strtoull(wait, NULL, 10) *
					 (strstr(wait, "ms") ? 1000 : 1000000);
	while (index[0] && s->index <= strtoull(index, NULL, 10) &&
	       clock_now_us() < until && !s->stopping) {
		pthread_mutex_unlock(&s->lock);
		clock_sleep_us(2000);
		pthread_mutex_lock(&s->lock);
		expire_sessions(s);
	}
	return list_keys(s, name, recurse[0], out) ? 200 : 404;
}

static bool put_key(struct kv_server *s, const char *name, const char *q,
		    const struct buffer *body)
{
	char cas[24], acquire[ID_BYTES], release[ID_BYTES];
	struct key *k = find_key(s, name);
	uint64_t expected_index;

	query_param(q, "cas", cas, sizeof(cas));
	query_param(q, "acquire", acquire, sizeof(acquire));
	query_param(q, "release", release, sizeof(release));
	expected_index = strtoull(cas, NULL, 10);
	if (cas[0] && (k ? k->modify_index : 0) != expected_index)
		return false;
	if (acquire[0] &&
	    (!find_session(s, acquire) ||
	     (k && k->session[0] && strcmp(k->session, acquire) != 0)))
		return false;
	if (release[0] && (!k || strcmp(k->session, release) != 0))
		return false;
	k = set_key(s, name, body);
	if (!cas[0])
		snprintf(k->session, sizeof(k->session), "%s", acquire);
	return true;
}

static int delete_key(struct kv_server *s, const char *name, const char *q)
{
	size_t len = strlen(name);
	bool recurse = q && strstr(q, "recurse");

	for (int i = 0; i < KEYS_MAX; i++)
		if (s->keys[i].name &&
		    !strncmp(s->keys[i].name, name, recurse ? len : 4096))
			remove_key(s, &s->keys[i]);
	return 200;
}

static int session_call(struct kv_server *s, const char *path,
			const struct buffer *body, struct buffer *out)
{
	const char *id = strrchr(path, '/') + 1;
	struct session *session = find_session(s, id);
	json_t *root;

	if (!strcmp(id, "create")) {
		int i = 0;

		while (i < SESSIONS_MAX - 1 && s->sessions[i].id[0])
			i++;
		session = &s->sessions[i];
		root = json_loadb(body->data, body->len, 0, NULL);
		session->ttl_us =
			1000000u * (uint64_t)atoi(json_string_value(
					   json_object_get(root, "TTL")));
		json_decref(root);
		snprintf(session->id, sizeof(session->id), "session-%llu",
			 (unsigned long long)++s->session_count);
		buffer_printf(out, "{\"ID\":\"%s\"}", session->id);
	}
	if (!session)
		return 404;
	session->expires_us = clock_now_us() + session->ttl_us;
	if (strstr(path, "/destroy/"))
		destroy_session(s, session);
	return 200;
}

/* Executes the call; returns the status and appends the body. */
static int execute(struct kv_server *s, const struct mg_request_info *ri,
		   const struct buffer *body, struct buffer *out)
{
	const char *path = ri->local_uri;

	expire_sessions(s);
	if (!strncmp(path, "/v1/session/", 12))
		return session_call(s, path, body, out);
	if (!strcmp(path, "/v1/vms")) {
		buffer_append_str(out, s->vms ? s->vms : "[]");
		return 200;
	}
	if (strncmp(path, "/v1/kv/", 7) != 0) {
		buffer_append(out, body->data, body->len);
		return 200;
	}
	if (!strcmp(ri->request_method, "GET"))
		return get_key(s, path + 7, ri->query_string, out);
	if (!strcmp(ri->request_method, "DELETE"))
		return delete_key(s, path + 7, ri->query_string);
	buffer_append_str(out, put_key(s, path + 7, ri->query_string, body)
				       ? "true"
				       : "false");
	return 200;
}

/* Returns the fault for this call and counts it down. */
static enum kv_fault next_fault(struct kv_server *s,
				const struct mg_request_info *ri)
{
	char text[512];

	snprintf(text, sizeof(text), "%s %s?%s", ri->request_method,
		 ri->local_uri, ri->query_string ? ri->query_string : "");
	if (!s->fault_count || !strstr(text, s->fault_match))
		return KV_FAULT_NONE;
	s->fault_count--;
	return s->fault;
}

static void read_body(struct mg_connection *conn, struct buffer *body)
{
	char chunk[16384];
	int n;

	buffer_append(body, "", 0);
	while ((n = mg_read(conn, chunk, sizeof(chunk))) > 0)
		buffer_append(body, chunk, (size_t)n);
}

static int handle_request(struct mg_connection *conn, void *arg)
{
	struct kv_server *s = arg;
	const struct mg_request_info *ri = mg_get_request_info(conn);
	struct buffer body = BUFFER_INIT, out = BUFFER_INIT;
	struct buffer head = BUFFER_INIT;
	enum kv_fault fault;
	uint64_t index;
	size_t len;
	int status;

	read_body(conn, &body);
	buffer_append(&out, "", 0);
	pthread_mutex_lock(&s->lock);
	s->calls++;
	fault = s->down ? KV_FAULT_DROP_REPLY : next_fault(s, ri);
	status = s->fault_status;
	if (!s->down && fault != KV_FAULT_STATUS)
		status = execute(s, ri, &body, &out);
	index = s->index;
	pthread_mutex_unlock(&s->lock);
	len = out.len;
	if (fault == KV_FAULT_TRUNCATED_JSON)
		len = out.len /= 2;
	if (fault == KV_FAULT_SHORT_BODY)
		out.len /= 2;
	if (fault != KV_FAULT_DROP_REPLY) {
		/* A single write, since two would add a 40 ms delayed ACK. */
		buffer_printf(&head,
			      "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n"
			      "X-Consul-Index: %llu\r\nConnection: %s\r\n\r\n",
			      status, len, (unsigned long long)index,
			      len == out.len ? "keep-alive" : "close");
		buffer_append(&head, out.data, out.len);
		mg_write(conn, head.data, head.len);
		buffer_free(&head);
	}
	if (fault == KV_FAULT_DROP_REPLY || fault == KV_FAULT_SHORT_BODY)
		mg_disable_connection_keep_alive(conn);
	buffer_free(&body);
	buffer_free(&out);
	return status ? status : 500;
}

struct kv_server *kv_start(void)
{
	const char *options[] = {
		"listening_ports",
		"127.0.0.1:0",
		"num_threads",
		"48",
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		"20000",
		NULL,
	};
	struct kv_server *s = xcalloc(1, sizeof(*s));
	struct mg_server_port port;

	mg_init_library(0);
	pthread_mutex_init(&s->lock, NULL);
	s->index = 1;
	s->context = mg_start(NULL, NULL, options);
	if (!s->context || mg_get_server_ports(s->context, 1, &port) != 1)
		abort();
	s->port = (uint16_t)port.port;
	mg_set_request_handler(s->context, "/v1/", handle_request, s);
	return s;
}

void kv_stop(struct kv_server *s)
{
	pthread_mutex_lock(&s->lock);
	s->stopping = true;
	pthread_mutex_unlock(&s->lock);
	mg_stop(s->context);
	for (int i = 0; i < KEYS_MAX; i++)
		if (s->keys[i].name)
			remove_key(s, &s->keys[i]);
	pthread_mutex_destroy(&s->lock);
	free(s->vms);
	free(s);
	mg_exit_library();
}

uint16_t kv_port(const struct kv_server *s)
{
	return s->port;
}

void kv_set_fault(struct kv_server *s, enum kv_fault fault, const char *match,
		  uint32_t count, int status)
{
	pthread_mutex_lock(&s->lock);
	s->fault = fault;
	snprintf(s->fault_match, sizeof(s->fault_match), "%s", match);
	s->fault_count = count;
	s->fault_status = status;
	pthread_mutex_unlock(&s->lock);
}

void kv_set_down(struct kv_server *s, bool down)
{
	pthread_mutex_lock(&s->lock);
	s->down = down;
	pthread_mutex_unlock(&s->lock);
}

void kv_set_vms(struct kv_server *s, const char *json)
{
	pthread_mutex_lock(&s->lock);
	free(s->vms);
	s->vms = xstrdup(json);
	pthread_mutex_unlock(&s->lock);
}

uint64_t kv_call_count(struct kv_server *s)
{
	uint64_t n;

	pthread_mutex_lock(&s->lock);
	n = s->calls;
	pthread_mutex_unlock(&s->lock);
	return n;
}

bool kv_get_value(struct kv_server *s, const char *key, char *value,
		  size_t size)
{
	struct key *k;

	pthread_mutex_lock(&s->lock);
	k = find_key(s, key);
	if (k)
		snprintf(value, size, "%.*s", (int)k->value.len,
			 k->value.data ? k->value.data : "");
	pthread_mutex_unlock(&s->lock);
	return k != NULL;
}
