#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "http-client.h"
#include "platform.h"

/*
 * The subset of the Consul KV v1 HTTP API listed in docs/design.md 3.3, and the
 * platform's own API for the VM list and the workers.
 */

#define CALL_TIMEOUT_US 5000000u
/* A renewal that takes longer than the lease comes too late to keep it. */
#define RENEW_TIMEOUT_US 3000000u
/* A value has up to 1 MB, and the log of an epoch is read in one response. */
#define RESPONSE_MAX_BYTES (64u * 1024u * 1024u)
#define IDLE_CONNECTIONS_MAX 16u
#define PATH_SIZE 512

struct consul {
	struct platform platform;
	struct settings_address address;
	struct http_client *http;
};

static int consul_get(struct platform *p, const char *key, bool recurse,
		      uint64_t index, uint64_t wait_us, struct kv_result *out,
		      struct error *err);
static int consul_put_cas(struct platform *p, const char *key,
			  const void *value, size_t len, uint64_t modify_index,
			  bool *applied, struct error *err);
static int consul_acquire(struct platform *p, const char *key,
			  const void *value, size_t len, const char *session,
			  bool *applied, struct error *err);
static int consul_release(struct platform *p, const char *key,
			  const char *session, struct error *err);
static int consul_del(struct platform *p, const char *key, bool recurse,
		      struct error *err);
static int consul_session_create(struct platform *p, uint64_t ttl_us,
				 char session[64], struct error *err);
static int consul_session_renew(struct platform *p, const char *session,
				struct error *err);
static int consul_session_destroy(struct platform *p, const char *session,
				  struct error *err);
static int consul_list_vms(struct platform *p, struct vm_list *out,
			   struct error *err);
static int consul_worker_call(struct platform *p,
			      const struct settings_address *address,
			      const char *method, const char *path,
			      const char *body, uint64_t timeout_us,
			      int *status, struct buffer *response,
			      struct error *err);
static void consul_destroy(struct platform *p);
static int consul_call(struct consul *c, const char *method, const char *path,
		       const void *body, size_t len, uint64_t timeout_us,
		       struct http_response *ans, struct error *err);
static int wrap_read_error(struct error *err, const char *what);
static int wrap_write_error(struct error *err, const char *what);
static int check_read_status(int status, const char *what, struct error *err);
static int check_write_status(int status, const char *what, struct error *err);
static int put_bool(struct consul *c, const char *path, const void *value,
		    size_t len, bool *applied, struct error *err);

static const struct platform_ops consul_ops = {
	.name = "consul",
	.get = consul_get,
	.put_cas = consul_put_cas,
	.acquire = consul_acquire,
	.release = consul_release,
	.del = consul_del,
	.session_create = consul_session_create,
	.session_renew = consul_session_renew,
	.session_destroy = consul_session_destroy,
	.list_vms = consul_list_vms,
	.worker_call = consul_worker_call,
	.destroy = consul_destroy,
};

struct platform *platform_consul_create(const struct settings_address *addr)
{
	struct consul *c = xcalloc(1, sizeof(*c));

	c->platform.ops = &consul_ops;
	c->address = *addr;
	c->http = http_client_create(IDLE_CONNECTIONS_MAX);
	return &c->platform;
}

static void consul_destroy(struct platform *p)
{
	struct consul *c = (struct consul *)p;

	http_client_destroy(c->http);
	free(c);
}

static int consul_call(struct consul *c, const char *method, const char *path,
		       const void *body, size_t len, uint64_t timeout_us,
		       struct http_response *ans, struct error *err)
{
	struct http_request req = {
		.method = method,
		.path = path,
		.body = body,
		.body_len = len,
		.timeout_us = timeout_us,
		.max_response_bytes = RESPONSE_MAX_BYTES,
	};

	memset(ans, 0, sizeof(*ans));
	return http_call(c->http, c->address.host, c->address.port, &req, ans,
			 err);
}

/* Converts an HTTP client error on a read, which has no side effects. */
static int wrap_read_error(struct error *err, const char *what)
{
	int code = PLATFORM_UNREACHABLE;

	if (err->code == HTTP_TRUNCATED || err->code == HTTP_TOO_LARGE)
		code = PLATFORM_MALFORMED;
	return error_wrap(err, ERROR_LAYER_PLATFORM, code, "%s", what);
}

/* As wrap_read_error(); a write may take effect once a byte was sent. */
static int wrap_write_error(struct error *err, const char *what)
{
	int code = PLATFORM_OUTCOME_UNKNOWN;

	if (err->code == HTTP_NOT_SENT)
		code = PLATFORM_UNREACHABLE;
	return error_wrap(err, ERROR_LAYER_PLATFORM, code, "%s", what);
}

static int check_read_status(int status, const char *what, struct error *err)
{
	if (status == 200)
		return 0;
	return error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_REFUSED,
			 "%s: status %d", what, status);
}

/* A 5xx may follow a write that took effect; a 4xx means it was rejected. */
static int check_write_status(int status, const char *what, struct error *err)
{
	if (status == 200)
		return 0;
	return error_set(err, ERROR_LAYER_PLATFORM,
			 status >= 500 ? PLATFORM_OUTCOME_UNKNOWN
				       : PLATFORM_REFUSED,
			 "%s: status %d", what, status);
}

/* Formats a duration in Consul syntax: "3s" for whole seconds, else "250ms". */
static const char *format_duration(char text[24], uint64_t us)
{
	if (us % 1000000u)
		snprintf(text, 24, "%" PRIu64 "ms", us / 1000);
	else
		snprintf(text, 24, "%" PRIu64 "s", us / 1000000u);
	return text;
}

/* Returns -1 if a required member is missing or has the wrong type. */
static int parse_pair(json_t *o, struct kv_pair *pair)
{
	json_t *value = json_object_get(o, "Value");
	const char *key = json_string_value(json_object_get(o, "Key"));
	const char *session = json_string_value(json_object_get(o, "Session"));
	json_t *index = json_object_get(o, "ModifyIndex");

	if (!key || !json_is_integer(index) ||
	    !(json_is_string(value) || json_is_null(value)))
		return -1;
	pair->key = xstrdup(key);
	pair->value = base64_decode(
		json_is_null(value) ? "" : json_string_value(value),
		json_string_length(value), &pair->value_len);
	pair->modify_index = (uint64_t)json_integer_value(index);
	snprintf(pair->session, sizeof(pair->session), "%s",
		 session ? session : "");
	return 0;
}

static int parse_pairs(const struct http_response *ans, struct kv_result *out,
		       struct error *err)
{
	json_error_t jerr;
	json_t *root = json_loadb(ans->body.data ? ans->body.data : "",
				  ans->body.len, 0, &jerr);
	int ret = -1;

	if (!json_is_array(root))
		goto done;
	out->pairs = xcalloc(json_array_size(root), sizeof(*out->pairs));
	for (size_t i = 0; i < json_array_size(root); i++) {
		if (parse_pair(json_array_get(root, i), &out->pairs[i]) < 0)
			goto done;
		out->count++;
	}
	ret = 0;
done:
	json_decref(root);
	if (ret < 0) {
		kv_result_free(out);
		error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_MALFORMED,
			  "get: response is not an array of key-value pairs");
	}
	return ret;
}

static int consul_get(struct platform *p, const char *key, bool recurse,
		      uint64_t index, uint64_t wait_us, struct kv_result *out,
		      struct error *err)
{
	struct consul *c = (struct consul *)p;
	struct http_response ans;
	const char *header;
	char path[PATH_SIZE];
	char watch[64] = "";
	char wait[24];
	uint64_t timeout = CALL_TIMEOUT_US;
	int ret;

	memset(out, 0, sizeof(*out));
	if (index) {
		snprintf(watch, sizeof(watch), "%sindex=%" PRIu64 "&wait=%s",
			 recurse ? "&" : "?", index,
			 format_duration(wait, wait_us));
		timeout += wait_us;
	}
	snprintf(path, sizeof(path), "/v1/kv/%s%s%s", key,
		 recurse ? "?recurse=true" : "", watch);
	ret = consul_call(c, "GET", path, NULL, 0, timeout, &ans, err);
	if (ret < 0) {
		wrap_read_error(err, "get");
		goto done;
	}
	header = http_response_header(&ans, "X-Consul-Index");
	out->index = header ? strtoull(header, NULL, 10) : 0;
	if (ans.status == 404)
		goto done;
	ret = check_read_status(ans.status, "get", err);
	if (!ret)
		ret = parse_pairs(&ans, out, err);
done:
	http_response_free(&ans);
	return ret;
}

/*
 * Sends a PUT whose response body is "true" or "false". After any other body
 * the outcome of the write is unknown.
 */
static int put_bool(struct consul *c, const char *path, const void *value,
		    size_t len, bool *applied, struct error *err)
{
	struct http_response ans;
	const char *text;
	int ret;

	*applied = false;
	ret = consul_call(c, "PUT", path, value, len, CALL_TIMEOUT_US, &ans,
			  err);
	if (ret < 0) {
		wrap_write_error(err, "put");
		goto done;
	}
	ret = check_write_status(ans.status, "put", err);
	if (ret < 0)
		goto done;
	text = ans.body.data ? ans.body.data : "";
	if (!strncmp(text, "true", 4))
		*applied = true;
	else if (strncmp(text, "false", 5) != 0)
		ret = error_set(err, ERROR_LAYER_PLATFORM,
				PLATFORM_OUTCOME_UNKNOWN,
				"put: response is neither true nor false");
done:
	http_response_free(&ans);
	return ret;
}

static int consul_put_cas(struct platform *p, const char *key,
			  const void *value, size_t len, uint64_t modify_index,
			  bool *applied, struct error *err)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%" PRIu64, key,
		 modify_index);
	return put_bool((struct consul *)p, path, value, len, applied, err);
}

static int consul_acquire(struct platform *p, const char *key,
			  const void *value, size_t len, const char *session,
			  bool *applied, struct error *err)
{
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/v1/kv/%s?acquire=%s", key, session);
	return put_bool((struct consul *)p, path, value, len, applied, err);
}

static int consul_release(struct platform *p, const char *key,
			  const char *session, struct error *err)
{
	char path[PATH_SIZE];
	bool applied;

	snprintf(path, sizeof(path), "/v1/kv/%s?release=%s", key, session);
	return put_bool((struct consul *)p, path, "", 0, &applied, err);
}

static int consul_del(struct platform *p, const char *key, bool recurse,
		      struct error *err)
{
	struct http_response ans;
	char path[PATH_SIZE];
	int ret;

	snprintf(path, sizeof(path), "/v1/kv/%s%s", key,
		 recurse ? "?recurse=true" : "");
	ret = consul_call((struct consul *)p, "DELETE", path, NULL, 0,
			  CALL_TIMEOUT_US, &ans, err);
	if (ret < 0)
		wrap_write_error(err, "delete");
	else if (ans.status != 404)
		ret = check_write_status(ans.status, "delete", err);
	http_response_free(&ans);
	return ret;
}

static int consul_session_create(struct platform *p, uint64_t ttl_us,
				 char session[64], struct error *err)
{
	struct http_response ans;
	char body[128];
	char ttl[24];
	json_t *root = NULL;
	const char *id;
	int ret;

	snprintf(body, sizeof(body),
		 "{\"TTL\":\"%s\",\"Behavior\":\"delete\","
		 "\"LockDelay\":\"0s\"}",
		 format_duration(ttl, ttl_us));
	ret = consul_call((struct consul *)p, "PUT", "/v1/session/create", body,
			  strlen(body), CALL_TIMEOUT_US, &ans, err);
	if (ret < 0) {
		wrap_write_error(err, "session create");
		goto done;
	}
	ret = check_write_status(ans.status, "session create", err);
	if (ret < 0)
		goto done;
	root = json_loadb(ans.body.data ? ans.body.data : "", ans.body.len, 0,
			  NULL);
	id = json_string_value(json_object_get(root, "ID"));
	if (id && id[0] && strlen(id) < 64)
		snprintf(session, 64, "%s", id);
	else
		ret = error_set(err, ERROR_LAYER_PLATFORM,
				PLATFORM_OUTCOME_UNKNOWN,
				"session create: no valid ID in response");
done:
	json_decref(root);
	http_response_free(&ans);
	return ret;
}

static int consul_session_renew(struct platform *p, const char *session,
				struct error *err)
{
	struct http_response ans;
	char path[PATH_SIZE];
	int ret;

	snprintf(path, sizeof(path), "/v1/session/renew/%s", session);
	ret = consul_call((struct consul *)p, "PUT", path, "", 0,
			  RENEW_TIMEOUT_US, &ans, err);
	if (ret < 0)
		wrap_write_error(err, "session renew");
	else
		ret = check_write_status(ans.status, "session renew", err);
	http_response_free(&ans);
	return ret;
}

static int consul_session_destroy(struct platform *p, const char *session,
				  struct error *err)
{
	struct http_response ans;
	char path[PATH_SIZE];
	int ret;

	snprintf(path, sizeof(path), "/v1/session/destroy/%s", session);
	ret = consul_call((struct consul *)p, "PUT", path, "", 0,
			  RENEW_TIMEOUT_US, &ans, err);
	if (ret < 0)
		wrap_write_error(err, "session destroy");
	else
		ret = check_write_status(ans.status, "session destroy", err);
	http_response_free(&ans);
	return ret;
}

static void copy_string_member(char *out, size_t size, json_t *o,
			       const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	snprintf(out, size, "%s", text ? text : "");
}

static uint32_t uint32_member(json_t *o, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(o, name));

	return n < 0 || n > UINT32_MAX ? 0 : (uint32_t)n;
}

/* Parses "IP:PORT"; returns -1 on any other format. */
static int parse_address(const char *text, struct settings_address *a)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	char *end;
	unsigned long port;

	if (!colon || colon == text ||
	    (size_t)(colon - text) >= sizeof(a->host))
		return -1;
	port = strtoul(colon + 1, &end, 10);
	if (*end || !port || port > 65535)
		return -1;
	memcpy(a->host, text, (size_t)(colon - text));
	a->host[colon - text] = '\0';
	a->port = (uint16_t)port;
	return 0;
}

static int parse_role(const char *text, enum vm_role *role)
{
	static const char *const names[] = {
		[VM_RUNNER] = "runner",
		[VM_WORKER] = "worker",
		[VM_ENTRY] = "entry",
	};

	for (size_t i = 0; text && i < sizeof(names) / sizeof(names[0]); i++) {
		if (!strcmp(text, names[i])) {
			*role = (enum vm_role)i;
			return 0;
		}
	}
	return -1;
}

static int parse_vm(json_t *o, struct vm *v)
{
	const char *role = json_string_value(json_object_get(o, "role"));
	const char *addr = json_string_value(json_object_get(o, "address"));
	const char *state = json_string_value(json_object_get(o, "state"));

	if (parse_role(role, &v->role) < 0 ||
	    parse_address(addr, &v->address) < 0 || !state)
		return -1;
	copy_string_member(v->id, sizeof(v->id), o, "id");
	copy_string_member(v->availability_zone, sizeof(v->availability_zone),
			   o, "availability_zone");
	copy_string_member(v->rack, sizeof(v->rack), o, "rack");
	v->leaving = !strcmp(state, "leaving");
	v->slots = uint32_member(o, "slots");
	v->connections = uint32_member(o, "connections");
	v->cpu_milli = uint32_member(o, "cpu_milli");
	v->memory_mb = uint32_member(o, "memory_mb");
	v->accelerators = uint32_member(o, "accelerators");
	return v->id[0] ? 0 : -1;
}

static int consul_list_vms(struct platform *p, struct vm_list *out,
			   struct error *err)
{
	struct http_response ans;
	json_t *root = NULL;
	int ret;

	memset(out, 0, sizeof(*out));
	ret = consul_call((struct consul *)p, "GET", "/v1/vms", NULL, 0,
			  CALL_TIMEOUT_US, &ans, err);
	if (ret < 0) {
		wrap_read_error(err, "vms");
		goto done;
	}
	ret = check_read_status(ans.status, "vms", err);
	if (ret < 0)
		goto done;
	root = json_loadb(ans.body.data ? ans.body.data : "", ans.body.len, 0,
			  NULL);
	ret = json_is_array(root) ? 0 : -1;
	out->vms = xcalloc(json_array_size(root), sizeof(*out->vms));
	for (size_t i = 0; !ret && i < json_array_size(root); i++)
		ret = parse_vm(json_array_get(root, i),
			       &out->vms[out->count++]);
	if (ret < 0) {
		vm_list_free(out);
		error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_MALFORMED,
			  "vms: response is not an array of valid VMs");
	}
done:
	json_decref(root);
	http_response_free(&ans);
	return ret;
}

static int consul_worker_call(struct platform *p,
			      const struct settings_address *address,
			      const char *method, const char *path,
			      const char *body, uint64_t timeout_us,
			      int *status, struct buffer *response,
			      struct error *err)
{
	struct consul *c = (struct consul *)p;
	struct http_response ans = { 0 };
	struct http_request req = {
		.method = method,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = timeout_us,
		.max_response_bytes = RESPONSE_MAX_BYTES,
	};
	char full_path[PATH_SIZE];
	int ret;

	snprintf(full_path, sizeof(full_path), "/v1%s", path);
	req.path = full_path;
	ret = http_call(c->http, address->host, address->port, &req, &ans, err);
	if (ret < 0) {
		if (!strcmp(method, "GET"))
			wrap_read_error(err, path);
		else
			wrap_write_error(err, path);
	} else {
		*status = ans.status;
		buffer_append(response, ans.body.data, ans.body.len);
	}
	http_response_free(&ans);
	return ret;
}
