#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <b64/cencode.h>

#include "clock.h"
#include "support-journal.h"
#include "support-store.h"

#define VALUE_MAX_BYTES (1u << 20)
#define WATCH_DEFAULT_WAIT_US (10u * 1000000u)
#define WATCH_RECHECK_US 50000u
#define KEY_SIZE 512

static void handle_get(struct fake_store *s, const char *key,
		       struct httpd_call *call);
static void handle_put(struct fake_store *s, const char *key,
		       struct httpd_call *call);
static void handle_delete(struct fake_store *s, const char *key,
			  struct httpd_call *call);
static void handle_session(struct fake_store *s, const char *rest,
			   struct httpd_call *call);
static void create_session(struct fake_store *s, struct httpd_call *call);
static void handle_vms(struct fake_store *s, struct httpd_call *call);
static bool wait_for_change(struct fake_store *s, const char *key, bool recurse,
			    struct httpd_call *call);
static void format_entries(const struct kv_table *kv, const char *key,
			   bool recurse, struct httpd_call *call);
static void format_entry(const struct kv_entry *e, struct buffer *out);
static void append_base64(struct buffer *out, const char *data, size_t len);
static uint64_t parse_duration(const char *text, uint64_t default_us);
static void journal_expired_session(void *arg, const char *id);
static void wake_watches(struct fake_store *s);
static enum call_kind classify_call(const struct httpd_call *call);
static void dispatch(struct fake_store *s, struct httpd_call *call);

void fake_store_init(struct fake_store *s, const char *vms_path,
		     uint64_t list_lag_us, uint64_t seed)
{
	pthread_condattr_t attr;

	pthread_mutex_init(&s->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&s->changed, &attr);
	kv_init(&s->kv);
	vms_init(&s->vms, vms_path, list_lag_us);
	vms_poll(&s->vms, clock_now_us());
	fault_init(&s->fault, seed);
	calls_init(&s->calls);
}

void fake_store_free(struct fake_store *s)
{
	kv_free(&s->kv);
	vms_free(&s->vms);
}

static void wake_watches(struct fake_store *s)
{
	pthread_cond_broadcast(&s->changed);
}

/* Parses "3s", "250ms" or "2m" to microseconds. */
static uint64_t parse_duration(const char *text, uint64_t default_us)
{
	char *end;
	double n = strtod(text, &end);

	if (end == text || n < 0)
		return default_us;
	if (!strcmp(end, "ms"))
		return (uint64_t)(n * 1000);
	if (!strcmp(end, "m"))
		return (uint64_t)(n * 60000000);
	return (uint64_t)(n * 1000000);
}

static void append_base64(struct buffer *out, const char *data, size_t len)
{
	base64_encodestate state;
	char *text = xcalloc(1, len * 2 + 8);
	int n;

	base64_init_encodestate(&state);
	n = base64_encode_block(data, (int)len, text, &state);
	n += base64_encode_blockend(text + n, &state);
	/* libb64 wraps lines, but a JSON string cannot contain newlines. */
	for (int i = 0; i < n; i++)
		if (text[i] != '\n')
			buffer_append(out, text + i, 1);
	free(text);
}

static void format_entry(const struct kv_entry *e, struct buffer *out)
{
	buffer_printf(out,
		      "{\"LockIndex\":%llu,\"Key\":\"%s\",\"Flags\":0,"
		      "\"Value\":",
		      (unsigned long long)e->lock_index, e->key);
	if (e->value_len) {
		buffer_append_str(out, "\"");
		append_base64(out, e->value, e->value_len);
		buffer_append_str(out, "\"");
	} else {
		buffer_append_str(out, "null");
	}
	if (e->session[0])
		buffer_printf(out, ",\"Session\":\"%s\"", e->session);
	buffer_printf(out, ",\"CreateIndex\":%llu,\"ModifyIndex\":%llu}",
		      (unsigned long long)e->create_index,
		      (unsigned long long)e->modify_index);
}

/* Formats the response to a read; without entries its status is 404. */
static void format_entries(const struct kv_table *kv, const char *key,
			   bool recurse, struct httpd_call *call)
{
	uint64_t index = kv_index_of(kv, key, recurse);
	const struct kv_entry *exact = recurse ? NULL : kv_find(kv, key);
	size_t len = strlen(key);
	bool any = exact != NULL;

	buffer_append_str(&call->response_body, "[");
	if (exact)
		format_entry(exact, &call->response_body);
	for (size_t i = kv_lower_bound(kv, key); recurse && i < kv->count;
	     i++) {
		const struct kv_entry *e = kv->entries[i];

		if (strncmp(e->key, key, len))
			break;
		if (e->deleted)
			continue;
		if (any)
			buffer_append_str(&call->response_body, ",");
		format_entry(e, &call->response_body);
		any = true;
	}
	buffer_append_str(&call->response_body, "]");
	/* For a key that never existed, Consul returns the table's index. */
	snprintf(call->headers, sizeof(call->headers),
		 "X-Consul-Index: %llu\r\n",
		 (unsigned long long)(index ? index : kv->index));
	call->status = any ? 200 : 404;
	if (!any)
		buffer_reset(&call->response_body);
}

/*
 * Blocks until the key's index exceeds that of the request or the wait expires.
 * Called with the lock held, which is released while waiting. Returns false if
 * an injected outage began or fault_release() was called meanwhile.
 */
static bool wait_for_change(struct fake_store *s, const char *key, bool recurse,
			    struct httpd_call *call)
{
	uint64_t after = httpd_query_u64(call, "index", 0);
	unsigned generation = fault_generation(&s->fault);
	uint64_t wait_us = WATCH_DEFAULT_WAIT_US, end;
	struct timespec ts;
	char text[32];

	if (httpd_query(call, "wait", text, sizeof(text)))
		wait_us = parse_duration(text, wait_us);
	end = clock_now_us() + wait_us;
	while (after && kv_index_of(&s->kv, key, recurse) <= after &&
	       clock_now_us() < end) {
		clock_gettime(CLOCK_MONOTONIC, &ts);
		ts.tv_nsec += WATCH_RECHECK_US * 1000;
		if (ts.tv_nsec >= 1000000000) {
			ts.tv_sec++;
			ts.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&s->changed, &s->lock, &ts);
		if (fault_generation(&s->fault) != generation)
			return false;
	}
	return true;
}

static void handle_get(struct fake_store *s, const char *key,
		       struct httpd_call *call)
{
	char text[8];
	bool recurse = httpd_query(call, "recurse", text, sizeof(text));

	if (wait_for_change(s, key, recurse, call))
		format_entries(&s->kv, key, recurse, call);
}

static void handle_put(struct fake_store *s, const char *key,
		       struct httpd_call *call)
{
	const struct buffer *b = &call->body;
	char session[KV_SESSION_BYTES], text[32];
	enum kv_write_result verdict;
	uint64_t cas;

	if (b->len > VALUE_MAX_BYTES) {
		httpd_respond(call, 413, "Request body too large");
		return;
	}
	if (httpd_query(call, "acquire", session, sizeof(session))) {
		verdict = kv_acquire(&s->kv, key, b->data, b->len, session);
	} else if (httpd_query(call, "release", session, sizeof(session))) {
		verdict = kv_release(&s->kv, key, b->data, b->len, session);
	} else if (httpd_query(call, "cas", text, sizeof(text))) {
		cas = strtoull(text, NULL, 10);
		verdict = kv_put(&s->kv, key, b->data, b->len, &cas);
	} else {
		verdict = kv_put(&s->kv, key, b->data, b->len, NULL);
	}
	if (verdict == KV_INVALID_SESSION)
		httpd_respond(call, 500, "invalid session");
	else
		httpd_respond(call, 200,
			      verdict == KV_APPLIED ? "true" : "false");
	journal_event("kv-put", "{s:s,s:s,s:b,s:I}", "key", key, "query",
		      call->query, "applied", verdict == KV_APPLIED, "bytes",
		      (json_int_t)b->len);
	wake_watches(s);
}

static void handle_delete(struct fake_store *s, const char *key,
			  struct httpd_call *call)
{
	char text[32];
	bool recurse = httpd_query(call, "recurse", text, sizeof(text));
	bool has_cas = httpd_query(call, "cas", text, sizeof(text));
	uint64_t cas = has_cas ? strtoull(text, NULL, 10) : 0;
	enum kv_write_result verdict;

	verdict = kv_delete(&s->kv, key, has_cas ? &cas : NULL, recurse,
			    clock_now_us());
	httpd_respond(call, 200, verdict == KV_APPLIED ? "true" : "false");
	journal_event("kv-delete", "{s:s,s:s,s:b}", "key", key, "query",
		      call->query, "applied", verdict == KV_APPLIED);
	wake_watches(s);
}

static void create_session(struct fake_store *s, struct httpd_call *call)
{
	json_t *o = json_loadb(call->body.data ? call->body.data : "",
			       call->body.len, 0, NULL);
	const char *ttl = json_string_value(json_object_get(o, "TTL"));
	uint64_t ttl_us = ttl ? parse_duration(ttl, 0) : 0;
	char id[KV_SESSION_BYTES];

	if (!ttl_us) {
		httpd_respond(call, 400, "Request TTL is missing or invalid");
	} else {
		kv_session_create(&s->kv, ttl_us, clock_now_us(), id);
		httpd_respond(call, 200, "{\"ID\":\"%s\"}", id);
		journal_event("session-create", "{s:s,s:I}", "session", id,
			      "ttl_ms", (json_int_t)(ttl_us / 1000));
	}
	json_decref(o);
}

static void handle_session(struct fake_store *s, const char *rest,
			   struct httpd_call *call)
{
	if (strcmp(call->method, "PUT")) {
		httpd_respond(call, 405, "method not allowed");
	} else if (!strcmp(rest, "create")) {
		create_session(s, call);
	} else if (!strncmp(rest, "renew/", 6)) {
		if (kv_session_renew(&s->kv, rest + 6, clock_now_us()) < 0)
			httpd_respond(call, 404, "Session id '%s' not found",
				      rest + 6);
		else
			httpd_respond(call, 200, "[{\"ID\":\"%s\"}]", rest + 6);
	} else if (!strncmp(rest, "destroy/", 8)) {
		journal_event("session-destroy", "{s:s}", "session", rest + 8);
		kv_session_destroy(&s->kv, rest + 8, clock_now_us());
		httpd_respond(call, 200, "true");
		wake_watches(s);
	} else {
		httpd_respond(call, 404, "not found");
	}
}

static void handle_vms(struct fake_store *s, struct httpd_call *call)
{
	char *text = s->vms.published
			     ? json_dumps(s->vms.published, JSON_COMPACT)
			     : NULL;

	call->status = 200;
	buffer_append_str(&call->response_body, text ? text : "[]");
	free(text);
}

static void journal_expired_session(void *arg, const char *id)
{
	(void)arg;
	journal_event("session-expire", "{s:s}", "session", id);
}

bool fake_store_tick(struct fake_store *s)
{
	bool changed;

	pthread_mutex_lock(&s->lock);
	if (kv_expire(&s->kv, clock_now_us(), journal_expired_session, NULL))
		wake_watches(s);
	changed = vms_poll(&s->vms, clock_now_us());
	pthread_mutex_unlock(&s->lock);
	return changed;
}

static enum call_kind classify_call(const struct httpd_call *call)
{
	if (strcmp(call->method, "GET"))
		return CALL_WRITE;
	return httpd_query_u64(call, "index", 0) ? CALL_WATCH : CALL_READ;
}

bool handle_control_path(struct fault *f, struct call_counts *calls,
			 struct httpd_call *call)
{
	char text[8];
	json_t *o;

	if (!strcmp(call->path, "/v1/calls")) {
		call->status = 200;
		calls_print(calls,
			    httpd_query(call, "history", text, sizeof(text)),
			    &call->response_body);
		return true;
	}
	if (strcmp(call->path, "/v1/fault"))
		return false;
	o = json_loadb(call->body.data ? call->body.data : "", call->body.len,
		       0, NULL);
	if (!json_is_object(o)) {
		httpd_respond(call, 400, "{\"error\":\"not a JSON object\"}");
		return true;
	}
	if (fault_set(f, o)) {
		journal_event("fault", "{s:O}", "change", o);
		httpd_respond(call, 200, "{}");
	} else {
		httpd_respond(call, 400, "{\"error\":\"unknown field\"}");
	}
	json_decref(o);
	return true;
}

static void dispatch(struct fake_store *s, struct httpd_call *call)
{
	const char *path = call->path;
	char key[KEY_SIZE];

	if (!strncmp(path, "/v1/kv/", 7)) {
		mg_url_decode(path + 7, (int)strlen(path + 7), key, sizeof(key),
			      0);
		if (!strcmp(call->method, "GET"))
			handle_get(s, key, call);
		else if (!strcmp(call->method, "PUT"))
			handle_put(s, key, call);
		else if (!strcmp(call->method, "DELETE"))
			handle_delete(s, key, call);
		else
			httpd_respond(call, 405, "method not allowed");
	} else if (!strncmp(path, "/v1/session/", 12)) {
		handle_session(s, path + 12, call);
	} else if (!strcmp(path, "/v1/vms")) {
		handle_vms(s, call);
	} else {
		httpd_respond(call, 404, "not found");
	}
}

void fake_store_handle(void *store, struct httpd_call *call)
{
	struct fake_store *s = store;

	if (handle_control_path(&s->fault, &s->calls, call))
		return;
	calls_count(&s->calls, classify_call(call));
	if (!fault_enter(&s->fault, call))
		return;
	pthread_mutex_lock(&s->lock);
	/* Between two ticks, an expired session must not count as valid. */
	if (kv_expire(&s->kv, clock_now_us(), journal_expired_session, NULL))
		wake_watches(s);
	dispatch(s, call);
	pthread_mutex_unlock(&s->lock);
	fault_leave(&s->fault, call);
}
