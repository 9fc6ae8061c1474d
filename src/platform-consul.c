#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base64.h"
#include "http-client.h"
#include "platform.h"

/*
 * The published Consul KV v1 interface, in the subset of docs/design.md 3.3,
 * and the VM list and the workers' calls beside it.
 */

#define CALL_TIMEOUT_US 5000000u
/* A renewal that takes longer than a lease is of no use. */
#define RENEW_TIMEOUT_US 3000000u
/* Values have up to 1 MB; a log of one epoch is read in one answer. */
#define ANSWER_MAX_BYTES (64u * 1024u * 1024u)
#define MAX_IDLE 16u
#define PATH_BYTES 512

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
			      int *status, struct buffer *answer,
			      struct error *err);
static void consul_destroy(struct platform *p);
static int call_store(struct consul *c, const char *method, const char *path,
		      const void *body, size_t len, uint64_t timeout_us,
		      struct http_response *ans, struct error *err);
static int fail_read(struct error *err, const char *what);
static int fail_write(struct error *err, const char *what);
static int read_status(int status, const char *what, struct error *err);
static int write_status(int status, const char *what, struct error *err);
static int write_bool(struct consul *c, const char *path, const void *value,
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
	c->http = http_client_create(MAX_IDLE);
	return &c->platform;
}

static void consul_destroy(struct platform *p)
{
	struct consul *c = (struct consul *)p;

	http_client_destroy(c->http);
	free(c);
}

static int call_store(struct consul *c, const char *method, const char *path,
		      const void *body, size_t len, uint64_t timeout_us,
		      struct http_response *ans, struct error *err)
{
	struct http_request req = {
		.method = method,
		.path = path,
		.body = body,
		.body_len = len,
		.timeout_us = timeout_us,
		.max_response_bytes = ANSWER_MAX_BYTES,
	};

	memset(ans, 0, sizeof(*ans));
	return http_call(c->http, c->address.host, c->address.port, &req, ans,
			 err);
}

/* Translates a failure of the HTTP client during a call without effect. */
static int fail_read(struct error *err, const char *what)
{
	int code = PLATFORM_UNREACHABLE;

	if (err->code == HTTP_TRUNCATED || err->code == HTTP_TOO_LARGE)
		code = PLATFORM_MALFORMED;
	return error_wrap(err, ERROR_LAYER_PLATFORM, code, "%s", what);
}

/* As fail_read() for a write: once a byte has left, it may have happened. */
static int fail_write(struct error *err, const char *what)
{
	int code = PLATFORM_UNKNOWN;

	if (err->code == HTTP_NOT_SENT)
		code = PLATFORM_UNREACHABLE;
	return error_wrap(err, ERROR_LAYER_PLATFORM, code, "%s", what);
}

static int read_status(int status, const char *what, struct error *err)
{
	if (status == 200)
		return 0;
	return error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_REFUSED,
			 "%s: status %d", what, status);
}

/* A server error may come after the effect; a client error cannot. */
static int write_status(int status, const char *what, struct error *err)
{
	if (status == 200)
		return 0;
	return error_set(err, ERROR_LAYER_PLATFORM,
			 status >= 500 ? PLATFORM_UNKNOWN : PLATFORM_REFUSED,
			 "%s: status %d", what, status);
}

/* Writes a duration as the interface has it, whole seconds as "3s". */
static const char *format_duration(char text[24], uint64_t us)
{
	if (us % 1000000u)
		snprintf(text, 24, "%" PRIu64 "ms", us / 1000);
	else
		snprintf(text, 24, "%" PRIu64 "s", us / 1000000u);
	return text;
}

/* Fills one pair from its JSON object; -1 when a member is missing. */
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
			  "get: the answer is not a list of keys");
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
	char path[PATH_BYTES];
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
	ret = call_store(c, "GET", path, NULL, 0, timeout, &ans, err);
	if (ret < 0) {
		fail_read(err, "get");
		goto done;
	}
	header = http_response_header(&ans, "X-Consul-Index");
	out->index = header ? strtoull(header, NULL, 10) : 0;
	if (ans.status == 404)
		goto done;
	ret = read_status(ans.status, "get", err);
	if (!ret)
		ret = parse_pairs(&ans, out, err);
done:
	http_response_free(&ans);
	return ret;
}

/*
 * Calls a PUT that answers "true" or "false". Any other answer leaves it open
 * whether the write took effect.
 */
static int write_bool(struct consul *c, const char *path, const void *value,
		      size_t len, bool *applied, struct error *err)
{
	struct http_response ans;
	const char *text;
	int ret;

	*applied = false;
	ret = call_store(c, "PUT", path, value, len, CALL_TIMEOUT_US, &ans,
			 err);
	if (ret < 0) {
		fail_write(err, "put");
		goto done;
	}
	ret = write_status(ans.status, "put", err);
	if (ret < 0)
		goto done;
	text = ans.body.data ? ans.body.data : "";
	if (!strncmp(text, "true", 4))
		*applied = true;
	else if (strncmp(text, "false", 5) != 0)
		ret = error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_UNKNOWN,
				"put: answer is neither true nor false");
done:
	http_response_free(&ans);
	return ret;
}

static int consul_put_cas(struct platform *p, const char *key,
			  const void *value, size_t len, uint64_t modify_index,
			  bool *applied, struct error *err)
{
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?cas=%" PRIu64, key,
		 modify_index);
	return write_bool((struct consul *)p, path, value, len, applied, err);
}

static int consul_acquire(struct platform *p, const char *key,
			  const void *value, size_t len, const char *session,
			  bool *applied, struct error *err)
{
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/kv/%s?acquire=%s", key, session);
	return write_bool((struct consul *)p, path, value, len, applied, err);
}

static int consul_release(struct platform *p, const char *key,
			  const char *session, struct error *err)
{
	char path[PATH_BYTES];
	bool applied;

	snprintf(path, sizeof(path), "/v1/kv/%s?release=%s", key, session);
	return write_bool((struct consul *)p, path, "", 0, &applied, err);
}

static int consul_del(struct platform *p, const char *key, bool recurse,
		      struct error *err)
{
	struct http_response ans;
	char path[PATH_BYTES];
	int ret;

	snprintf(path, sizeof(path), "/v1/kv/%s%s", key,
		 recurse ? "?recurse=true" : "");
	ret = call_store((struct consul *)p, "DELETE", path, NULL, 0,
			 CALL_TIMEOUT_US, &ans, err);
	if (ret < 0)
		fail_write(err, "delete");
	else if (ans.status != 404)
		ret = write_status(ans.status, "delete", err);
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
	ret = call_store((struct consul *)p, "PUT", "/v1/session/create", body,
			 strlen(body), CALL_TIMEOUT_US, &ans, err);
	if (ret < 0) {
		fail_write(err, "session create");
		goto done;
	}
	ret = write_status(ans.status, "session create", err);
	if (ret < 0)
		goto done;
	root = json_loadb(ans.body.data ? ans.body.data : "", ans.body.len, 0,
			  NULL);
	id = json_string_value(json_object_get(root, "ID"));
	if (id && id[0] && strlen(id) < 64)
		snprintf(session, 64, "%s", id);
	else
		ret = error_set(err, ERROR_LAYER_PLATFORM, PLATFORM_UNKNOWN,
				"session create: no ID in the answer");
done:
	json_decref(root);
	http_response_free(&ans);
	return ret;
}

static int consul_session_renew(struct platform *p, const char *session,
				struct error *err)
{
	struct http_response ans;
	char path[PATH_BYTES];
	int ret;

	snprintf(path, sizeof(path), "/v1/session/renew/%s", session);
	ret = call_store((struct consul *)p, "PUT", path, "", 0,
			 RENEW_TIMEOUT_US, &ans, err);
	if (ret < 0)
		fail_write(err, "session renew");
	else
		ret = write_status(ans.status, "session renew", err);
	http_response_free(&ans);
	return ret;
}

static int consul_session_destroy(struct platform *p, const char *session,
				  struct error *err)
{
	struct http_response ans;
	char path[PATH_BYTES];
	int ret;

	snprintf(path, sizeof(path), "/v1/session/destroy/%s", session);
	ret = call_store((struct consul *)p, "PUT", path, "", 0,
			 RENEW_TIMEOUT_US, &ans, err);
	if (ret < 0)
		fail_write(err, "session destroy");
	else
		ret = write_status(ans.status, "session destroy", err);
	http_response_free(&ans);
	return ret;
}

static void copy_text(char *to, size_t size, json_t *o, const char *name)
{
	const char *text = json_string_value(json_object_get(o, name));

	snprintf(to, size, "%s", text ? text : "");
}

static uint32_t number(json_t *o, const char *name)
{
	json_int_t n = json_integer_value(json_object_get(o, name));

	return n < 0 || n > UINT32_MAX ? 0 : (uint32_t)n;
}

/* Splits "IP:PORT"; -1 when it has another form. */
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
	copy_text(v->id, sizeof(v->id), o, "id");
	copy_text(v->availability_zone, sizeof(v->availability_zone), o,
		  "availability_zone");
	copy_text(v->rack, sizeof(v->rack), o, "rack");
	v->leaving = !strcmp(state, "leaving");
	v->slots = number(o, "slots");
	v->connections = number(o, "connections");
	v->cpu_milli = number(o, "cpu_milli");
	v->memory_mb = number(o, "memory_mb");
	v->accelerators = number(o, "accelerators");
	return v->id[0] ? 0 : -1;
}

static int consul_list_vms(struct platform *p, struct vm_list *out,
			   struct error *err)
{
	struct http_response ans;
	json_t *root = NULL;
	int ret;

	memset(out, 0, sizeof(*out));
	ret = call_store((struct consul *)p, "GET", "/v1/vms", NULL, 0,
			 CALL_TIMEOUT_US, &ans, err);
	if (ret < 0) {
		fail_read(err, "vms");
		goto done;
	}
	ret = read_status(ans.status, "vms", err);
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
			  "vms: the answer is not a list of VMs");
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
			      int *status, struct buffer *answer,
			      struct error *err)
{
	struct consul *c = (struct consul *)p;
	struct http_response ans = { 0 };
	struct http_request req = {
		.method = method,
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.timeout_us = timeout_us,
		.max_response_bytes = ANSWER_MAX_BYTES,
	};
	char full[PATH_BYTES];
	int ret;

	snprintf(full, sizeof(full), "/v1%s", path);
	req.path = full;
	ret = http_call(c->http, address->host, address->port, &req, &ans, err);
	if (ret < 0) {
		if (!strcmp(method, "GET"))
			fail_read(err, path);
		else
			fail_write(err, path);
	} else {
		*status = ans.status;
		buffer_append(answer, ans.body.data, ans.body.len);
	}
	http_response_free(&ans);
	return ret;
}
