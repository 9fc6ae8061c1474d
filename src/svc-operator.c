#include <civetweb.h>
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "log.h"
#include "operator-internal.h"
#include "svc-flow.h"
#include "svc-operator.h"
#include "svc-placement.h"
#include "version.h"

#define HTTP_THREADS "12"
#define SHEET_BODY_MAX_BYTES (8u * 1024u * 1024u)
#define PLACEMENT_BODY_MAX_BYTES (64u * 1024u)
#define PLACEMENT_TIMEOUT_US 10000000u
#define DENIED_LOG_INTERVAL_US 1000000u

typedef void route_fn(struct operator_svc *o, struct operator_call *call);

struct route {
	const char *method;
	const char *path;
	size_t body_max;
	bool public; /* requires no token */
	route_fn *fn;
};

static int operator_start(struct service *svc, struct kernel *k,
			  struct error *err);
static void operator_stop(struct service *svc);
static void operator_destroy(struct service *svc);
static int on_request(struct mg_connection *conn, void *arg);
static const struct route *find_route(const char *method, const char *path,
				      bool *path_known);
static bool token_matches(struct operator_svc *o, struct mg_connection *conn);
static void log_denied(struct operator_svc *o,
		       const struct mg_request_info *info);
static int read_body(struct mg_connection *conn, size_t max,
		     struct buffer *body);
static void send_response(struct mg_connection *conn,
			  const struct operator_call *call);
static void get_status(struct operator_svc *o, struct operator_call *call);
static void get_explain(struct operator_svc *o, struct operator_call *call);
static void handle_placements(struct operator_svc *o,
			      struct operator_call *call);
static void post_drain(struct operator_svc *o, struct operator_call *call);
static void get_metrics(struct operator_svc *o, struct operator_call *call);

static const struct route routes[] = {
	{ "GET", "/v1/status", 0, false, get_status },
	{ "GET", "/v1/explain", 0, false, get_explain },
	{ "GET", "/v1/sheet", 0, false, operator_get_sheet },
	{ "PUT", "/v1/sheet", SHEET_BODY_MAX_BYTES, false, operator_put_sheet },
	{ "GET", "/v1/placements", 0, false, handle_placements },
	{ "POST", "/v1/placements", PLACEMENT_BODY_MAX_BYTES, false,
	  handle_placements },
	{ "PUT", "/v1/placements", PLACEMENT_BODY_MAX_BYTES, false,
	  handle_placements },
	{ "DELETE", "/v1/placements", 0, false, handle_placements },
	{ "POST", "/v1/drain", 0, false, post_drain },
	{ "GET", "/metrics", 0, true, get_metrics },
};

static const struct service_ops operator_ops = {
	.name = "operator",
	.start = operator_start,
	.stop = operator_stop,
	.destroy = operator_destroy,
};

struct service *operator_create(const struct settings *s)
{
	struct operator_svc *o = xcalloc(1, sizeof(*o));

	o->service.ops = &operator_ops;
	o->settings = s;
	o->started_us = clock_now_us();
	pthread_mutex_init(&o->lock, NULL);
	snprintf(o->token, sizeof(o->token), "%s", s->operator.token);
	o->calls = counter_get(COUNTER, "waxwing_operator_calls_total", NULL);
	o->denied = counter_get(COUNTER, "waxwing_operator_denied_total", NULL);
	return &o->service;
}

struct operator_svc *operator_find(struct kernel *k)
{
	return (struct operator_svc *)kernel_find(k, "operator");
}

void operator_set_token(struct operator_svc *o, const char *token)
{
	pthread_mutex_lock(&o->lock);
	snprintf(o->token, sizeof(o->token), "%s", token);
	pthread_mutex_unlock(&o->lock);
}

static int operator_start(struct service *svc, struct kernel *k,
			  struct error *err)
{
	struct operator_svc *o = (struct operator_svc *)svc;
	char listen[64];
	const char *options[] = { "listening_ports",
				  listen,
				  "num_threads",
				  HTTP_THREADS,
				  "enable_keep_alive",
				  "yes",
				  "keep_alive_timeout_ms",
				  "5000",
				  "request_timeout_ms",
				  "10000",
				  NULL };
	struct mg_callbacks callbacks = { 0 };

	o->kernel = k;
	o->loop = loop_find(k);
	o->members = members_find(k);
	o->config = config_find(k);
	o->targets = targets_find(k);
	o->store = store_find(k);
	loop_call(o->loop, operator_record_sheets, o);
	if (strchr(o->settings->operator.listen.host, ':'))
		snprintf(listen, sizeof(listen), "[%s]:%u",
			 o->settings->operator.listen.host,
			 o->settings->operator.listen.port);
	else
		snprintf(listen, sizeof(listen), "%s:%u",
			 o->settings->operator.listen.host,
			 o->settings->operator.listen.port);
	o->http = mg_start(&callbacks, NULL, options);
	if (!o->http)
		return error_set(err, ERROR_LAYER_HTTP, 1,
				 "cannot listen on %s for the operator API",
				 listen);
	mg_set_request_handler(o->http, "/", on_request, o);
	return 0;
}

static void operator_stop(struct service *svc)
{
	struct operator_svc *o = (struct operator_svc *)svc;

	if (o->http)
		mg_stop(o->http);
	o->http = NULL;
}

static void operator_destroy(struct service *svc)
{
	struct operator_svc *o = (struct operator_svc *)svc;

	operator_free_history(o);
	pthread_mutex_destroy(&o->lock);
	free(o);
}

static const struct route *find_route(const char *method, const char *path,
				      bool *path_known)
{
	*path_known = false;
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(routes[i].path, path))
			continue;
		*path_known = true;
		if (!strcmp(routes[i].method, method))
			return &routes[i];
	}
	return NULL;
}

/* Compares in a time that does not reveal where the tokens differ. */
static bool token_matches(struct operator_svc *o, struct mg_connection *conn)
{
	const char *credentials = mg_get_header(conn, "Authorization");
	char token[SETTINGS_TEXT_BYTES];
	unsigned char differ = 0;
	size_t len;

	if (!credentials || strncmp(credentials, "Bearer ", 7))
		return false;
	credentials += 7;
	pthread_mutex_lock(&o->lock);
	memcpy(token, o->token, sizeof(token));
	pthread_mutex_unlock(&o->lock);
	len = strlen(token);
	if (strlen(credentials) != len)
		return false;
	for (size_t i = 0; i < len; i++)
		differ |= (unsigned char)(credentials[i] ^ token[i]);
	return !differ;
}

/* Reads the body. Returns 0, or an HTTP status if too long or truncated. */
static int read_body(struct mg_connection *conn, size_t max,
		     struct buffer *body)
{
	long long content_length = mg_get_request_info(conn)->content_length;
	char chunk[8192];
	int n;

	if (content_length > (long long)max)
		return 413;
	while ((n = mg_read(conn, chunk, sizeof(chunk))) > 0) {
		buffer_append(body, chunk, (size_t)n);
		if (body->len > max)
			return 413;
	}
	if (content_length > 0 && body->len != (size_t)content_length)
		return 400;
	return 0;
}

void operator_reply_error(struct operator_call *call, int status,
			  const char *text)
{
	json_t *root = json_pack("{s:s}", "error", text);

	operator_reply_json(call, status, root);
}

void operator_reply_json(struct operator_call *call, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);

	call->status = status;
	buffer_reset(&call->response);
	if (text)
		buffer_append_str(&call->response, text);
	free(text);
	json_decref(root);
}

static void send_response(struct mg_connection *conn,
			  const struct operator_call *call)
{
	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\n"
		  "Content-Type: %s\r\n"
		  "Content-Length: %zu\r\n"
		  "Connection: keep-alive\r\n\r\n",
		  call->status, mg_get_response_code_text(conn, call->status),
		  call->content_type, call->response.len);
	if (call->response.len)
		mg_write(conn, call->response.data, call->response.len);
}

/* Rate-limited, so that token guessing cannot flood the log. */
static void log_denied(struct operator_svc *o,
		       const struct mg_request_info *info)
{
	uint64_t now = clock_now_us(), next;

	next = atomic_load(&o->next_denied_log_us);
	if (now < next ||
	    !atomic_compare_exchange_strong(&o->next_denied_log_us, &next,
					    now + DENIED_LOG_INTERVAL_US))
		return;
	log_event(LOG_WARNING, "operator-denied", "from=%s path=%s denied=%lld",
		  info->remote_addr, info->local_uri, counter_value(o->denied));
}

static int on_request(struct mg_connection *conn, void *arg)
{
	struct operator_svc *o = arg;
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct operator_call call = { .method = info->request_method,
				      .query = info->query_string,
				      .content_type = "application/json" };
	bool path_known;
	const struct route *route =
		find_route(info->request_method, info->local_uri, &path_known);
	int failed;

	counter_add(o->calls, 1);
	if (!route) {
		operator_reply_error(&call, path_known ? 405 : 404,
				     path_known ? "method not allowed"
						: "no such path");
	} else if (!route->public && !token_matches(o, conn)) {
		counter_add(o->denied, 1);
		log_denied(o, info);
		operator_reply_error(&call, 401, "missing or wrong token");
	} else {
		failed = read_body(conn, route->body_max, &call.body);
		if (failed)
			operator_reply_error(
				&call, failed,
				failed == 413 ? "request body too large"
					      : "request body truncated");
		else
			route->fn(o, &call);
	}
	send_response(conn, &call);
	buffer_free(&call.body);
	buffer_free(&call.response);
	return call.status;
}

bool operator_query_param(const struct operator_call *call, const char *name,
			  char *out, size_t size)
{
	out[0] = '\0';
	return call->query && mg_get_var(call->query, strlen(call->query), name,
					 out, size) >= 0;
}

/* Status collected on the control thread. */
struct status_query {
	struct operator_svc *o;
	json_t *root;
};

static json_t *member_to_json(const struct member *m, uint64_t now)
{
	char address[80];

	snprintf(address, sizeof(address), "%s:%u", m->operator_address.host,
		 m->operator_address.port);
	return json_pack("{s:s, s:s, s:s, s:b, s:b, s:I, s:I}", "id", m->id,
			 "availability_zone", m->availability_zone, "operator",
			 address, "live", m->live, "draining", m->draining,
			 "config_revision", (json_int_t)m->config_revision,
			 "heard_ms_ago",
			 (json_int_t)((now - m->last_heartbeat_us) / 1000u));
}

static json_t *members_to_json(struct operator_svc *o)
{
	struct member list[MEMBERS_MAX];
	uint32_t n = members_list(o->members, list, MEMBERS_MAX);
	uint64_t now = clock_now_us();
	json_t *array = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(array, member_to_json(&list[i], now));
	return array;
}

static json_t *seat_to_json(struct operator_svc *o)
{
	struct seat seat;

	members_seat(o->members, &seat);
	return json_pack("{s:I, s:i, s:i, s:i, s:b}", "revision",
			 (json_int_t)seat.revision, "index", (int)seat.index,
			 "count", (int)seat.count, "held",
			 (int)members_count_seats(o->members), "confirmed",
			 seat.revision && !seat.previous_count);
}

static json_t *store_to_json(struct operator_svc *o)
{
	uint64_t now = clock_now_us();
	uint64_t contact = store_last_contact_us(o->store);
	uint64_t lease = store_lease_expires_us(o->store);

	return json_pack("{s:s, s:I, s:I}", "session", store_session(o->store),
			 "lease_ms_left",
			 (json_int_t)(lease > now ? (lease - now) / 1000u : 0),
			 "contact_ms_ago",
			 contact ? (json_int_t)((now - contact) / 1000u) : -1);
}

static void collect_status(void *arg)
{
	struct status_query *c = arg;
	struct operator_svc *o = c->o;
	const struct settings *s = o->settings;

	c->root = json_pack(
		"{s:s, s:s, s:s, s:s, s:I, s:I, s:o, s:o, s:o, s:I}", "node",
		s->node.id, "availability_zone", s->node.availability_zone,
		"deployment", s->node.deployment, "version", WAXWING_VERSION,
		"uptime_ms",
		(json_int_t)((clock_now_us() - o->started_us) / 1000u),
		"config_revision", (json_int_t)config_revision(o->config),
		"seat", seat_to_json(o), "members", members_to_json(o), "store",
		store_to_json(o), "targets",
		(json_int_t)targets_list(o->targets)->count);
}

/* Adds the status of another service, given as JSON text. */
static void add_section(json_t *root, const char *name, struct buffer *b)
{
	json_t *part = b->len ? json_loadb(b->data, b->len, 0, NULL) : NULL;

	if (part)
		json_object_set_new(root, name, part);
	buffer_free(b);
}

static void get_status(struct operator_svc *o, struct operator_call *call)
{
	struct status_query c = { .o = o };
	struct buffer flow = BUFFER_INIT, placement = BUFFER_INIT;

	loop_call(o->loop, collect_status, &c);
	if (kernel_find(o->kernel, "flow")) {
		flow_status(flow_svc_find(o->kernel), &flow);
		add_section(c.root, "flow", &flow);
	}
	if (kernel_find(o->kernel, "placement")) {
		placement_status(placement_find(o->kernel), &placement);
		add_section(c.root, "placement", &placement);
	}
	operator_reply_json(call, 200, c.root);
}

struct owner_query {
	struct operator_svc *o;
	char shard[64];
	char owner[64];
	struct settings_address address;
};

static void find_owner(void *arg)
{
	struct owner_query *c = arg;
	const struct member *member;
	uint64_t epoch;

	members_shard_owner(c->o->members, c->shard, c->owner, &epoch);
	member = c->owner[0] ? members_get(c->o->members, c->owner) : NULL;
	if (member)
		c->address = member->operator_address;
}

/* Refers to the owner if the task belongs to another entry VM's shard. */
static void reply_not_found(struct operator_svc *o, struct operator_call *call,
			    const char *task)
{
	struct owner_query c = { .o = o };
	char text[256];

	snprintf(c.shard, sizeof(c.shard), "%.*s", (int)strcspn(task, "."),
		 task);
	if (*task)
		loop_call(o->loop, find_owner, &c);
	if (!c.address.port || !strcmp(c.owner, o->settings->node.id)) {
		operator_reply_error(call, 404, "not found on this entry VM");
		return;
	}
	snprintf(text, sizeof(text),
		 "not found on this entry VM; the owner of zone %s is %s at "
		 "%s:%u",
		 c.shard, c.owner, c.address.host, c.address.port);
	operator_reply_error(call, 404, text);
}

static void get_explain(struct operator_svc *o, struct operator_call *call)
{
	char request[128], task[128];
	int found = -1;

	operator_query_param(call, "request", request, sizeof(request));
	operator_query_param(call, "task", task, sizeof(task));
	if (!*request == !*task) {
		operator_reply_error(call, 400,
				     "specify either request=ID or task=ID");
		return;
	}
	if (*request && kernel_find(o->kernel, "flow"))
		found = flow_explain(flow_svc_find(o->kernel), request,
				     &call->response);
	if (*task && kernel_find(o->kernel, "placement"))
		found = placement_explain(placement_find(o->kernel), task,
					  &call->response);
	call->status = 200;
	if (found < 0)
		reply_not_found(o, call, task);
}

static void handle_placements(struct operator_svc *o,
			      struct operator_call *call)
{
	char id[128];

	operator_query_param(call, "id", id, sizeof(id));
	if (!kernel_find(o->kernel, "placement")) {
		operator_reply_error(call, 503,
				     "placement service is not running");
		return;
	}
	if (!*id && strcmp(call->method, "POST") &&
	    strcmp(call->method, "GET")) {
		operator_reply_error(call, 400, "missing parameter id");
		return;
	}
	placement_request(placement_find(o->kernel), call->method, id,
			  call->body.len ? call->body.data : "", call->body.len,
			  PLACEMENT_TIMEOUT_US, &call->status, &call->response);
}

/* SIGTERM makes the main thread drain the process. */
static void post_drain(struct operator_svc *o, struct operator_call *call)
{
	(void)o;
	log_event(LOG_INFO, "drain-requested", "by=operator");
	operator_reply_json(call, 202, json_pack("{s:b}", "draining", 1));
	kill(getpid(), SIGTERM);
}

static void get_metrics(struct operator_svc *o, struct operator_call *call)
{
	(void)o;
	call->status = 200;
	call->content_type = "text/plain; version=0.0.4";
	counter_expose(&call->response);
}
