#include <civetweb.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/random.h>
#include <urcu.h>
#include <xxhash.h>

#include "clock.h"
#include "log.h"
#include "svc-flow.h"
#include "svc-owner.h"

#define DEADLINE_MAX_MS 30000u
#define IDEMPOTENCY_KEY_MAX_BYTES 128
#define RETRY_AFTER_S 1
#define REQUEST_READ_TIMEOUT_MS "10000"
/* Short, because an idle connection occupies a server thread. */
#define KEEP_ALIVE_TIMEOUT_MS "1000"

struct front {
	struct service service;
	struct settings settings;
	struct mg_context *server;
	struct flow_svc *flow;
	struct owner *owner;
	atomic_bool draining;
	atomic_ullong next_request_id;
	atomic_uint connections; /* each occupies a thread */
	uint16_t port;
};

/* A client's request and the response to it. */
struct exchange {
	struct front *front;
	struct mg_connection *conn;
	struct flow_request_params params;
	const char *idempotency_key;
	struct buffer request_body;
	int status;
	const char *outcome;
	const char *reason; /* NULL if the outcome is "done" */
	bool replayed;
	bool close_connection;
	uint64_t revision;
	struct buffer response_body;
};

static int front_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void front_drain(struct service *svc);
static void front_stop(struct service *svc);
static void front_destroy(struct service *svc);
static int handle_request(struct mg_connection *conn, void *arg);
static int handle_ready(struct mg_connection *conn, void *arg);

static const struct service_ops front_ops = {
	.name = "front",
	.start = front_start,
	.drain = front_drain,
	.stop = front_stop,
	.destroy = front_destroy,
};

struct service *front_create(const struct settings *s)
{
	struct front *front = xcalloc(1, sizeof(*front));
	uint64_t seed;

	front->service.ops = &front_ops;
	front->settings = *s;
	/* A restarted process must not reuse request ids. */
	if (getrandom(&seed, sizeof(seed), 0) < 0)
		seed = clock_wall_us();
	atomic_store(&front->next_request_id, seed);
	return &front->service;
}

uint16_t front_port(struct kernel *k)
{
	return ((struct front *)kernel_find(k, "front"))->port;
}

static void *init_thread(const struct mg_context *ctx, int type)
{
	(void)ctx;
	(void)type;
	rcu_register_thread();
	return NULL;
}

static void exit_thread(const struct mg_context *ctx, int type, void *data)
{
	(void)ctx;
	(void)type;
	(void)data;
	rcu_unregister_thread();
}

static int connection_opened(const struct mg_connection *conn, void **data)
{
	struct front *front = mg_get_user_data(mg_get_context(conn));

	(void)data;
	atomic_fetch_add(&front->connections, 1);
	return 0;
}

static void connection_closed(const struct mg_connection *conn)
{
	struct front *front = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_sub(&front->connections, 1);
}

static int log_server_message(const struct mg_connection *conn,
			      const char *message)
{
	(void)conn;
	log_event(LOG_WARNING, "http", "message=\"%s\"", message);
	return 1;
}

static int front_start(struct service *svc, struct kernel *k, struct error *err)
{
	struct front *front = (struct front *)svc;
	const struct settings_address *listen = &front->settings.front.listen;
	char ports[64], threads[16];
	const char *options[] = {
		"listening_ports",
		ports,
		"num_threads",
		threads,
		"enable_keep_alive",
		"yes",
		"keep_alive_timeout_ms",
		KEEP_ALIVE_TIMEOUT_MS,
		"request_timeout_ms",
		REQUEST_READ_TIMEOUT_MS,
		"tcp_nodelay",
		"1",
		"connection_queue",
		"1024",
		"listen_backlog",
		"1024",
		NULL,
	};
	struct mg_callbacks callbacks = {
		.init_thread = init_thread,
		.exit_thread = exit_thread,
		.init_connection = connection_opened,
		.connection_closed = connection_closed,
		.log_message = log_server_message,
	};
	struct mg_server_port bound[1];

	front->flow = flow_svc_find(k);
	front->owner = owner_find(k);
	snprintf(ports, sizeof(ports), "%s:%u", listen->host, listen->port);
	snprintf(threads, sizeof(threads), "%u", front->settings.front.threads);
	mg_init_library(0);
	front->server = mg_start(&callbacks, front, options);
	if (!front->server)
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "cannot listen on %s", ports);
	front->port = listen->port;
	if (mg_get_server_ports(front->server, 1, bound) == 1)
		front->port = (uint16_t)bound[0].port;
	mg_set_request_handler(front->server, "/v1/requests$", handle_request,
			       front);
	mg_set_request_handler(front->server, "/v1/ready$", handle_ready,
			       front);
	return 0;
}

static void front_drain(struct service *svc)
{
	atomic_store(&((struct front *)svc)->draining, true);
}

static void front_stop(struct service *svc)
{
	struct front *front = (struct front *)svc;

	if (front->server)
		mg_stop(front->server);
	front->server = NULL;
	mg_exit_library();
}

static void front_destroy(struct service *svc)
{
	free(svc);
}

/* ---- responses ---- */

static void set_not_run(struct exchange *x, int status, const char *reason)
{
	x->status = status;
	x->outcome = "not-run";
	x->reason = reason;
}

static void set_unknown(struct exchange *x, const char *reason)
{
	x->status = 504;
	x->outcome = "unknown";
	x->reason = reason;
}

static void send_response(struct exchange *x)
{
	struct buffer b = BUFFER_INIT;

	if (x->reason) {
		buffer_reset(&x->response_body);
		buffer_printf(&x->response_body,
			      "{\"outcome\":\"%s\",\"reason\":\"%s\"}\n",
			      x->outcome, x->reason);
	}
	buffer_printf(&b,
		      "HTTP/1.1 %d %s\r\nWaxwing-Outcome: %s\r\n"
		      "Waxwing-Request-Id: %s\r\nWaxwing-Revision: %llu\r\n",
		      x->status, mg_get_response_code_text(x->conn, x->status),
		      x->outcome, x->params.id,
		      (unsigned long long)x->revision);
	if (x->reason)
		buffer_printf(&b, "Waxwing-Reason: %s\r\n", x->reason);
	if (x->replayed)
		buffer_append_str(&b, "Waxwing-Replayed: yes\r\n");
	if (x->status == 503)
		buffer_printf(&b, "Retry-After: %d\r\n", RETRY_AFTER_S);
	if (x->close_connection)
		mg_disable_connection_keep_alive(x->conn);
	buffer_printf(&b, "Content-Type: %s\r\nContent-Length: %zu\r\n",
		      x->reason ? "application/json"
				: "application/octet-stream",
		      x->response_body.len);
	buffer_printf(&b, "Connection: %s\r\n\r\n",
		      x->close_connection ? "close" : "keep-alive");
	buffer_append(&b, x->response_body.data, x->response_body.len);
	mg_write(x->conn, b.data, b.len);
	buffer_free(&b);
}

/* ---- parsing ---- */

static const char *get_header(const struct exchange *x, const char *name)
{
	const char *value = mg_get_header(x->conn, name);

	return value ? value : "";
}

static int parse_deadline(struct exchange *x, uint64_t now_us)
{
	const char *text = get_header(x, "Waxwing-Deadline-Ms");
	char *end;
	unsigned long ms;

	if (!*text)
		text = "30000";
	ms = strtoul(text, &end, 10);
	if (*text < '0' || *text > '9' || *end || ms < 1 ||
	    ms > DEADLINE_MAX_MS)
		return -1;
	x->params.deadline_us = now_us + ms * 1000u;
	return 0;
}

static int parse_urgency(struct exchange *x)
{
	static const char *const names[] = { "urgent", "normal", "deferrable" };
	const char *text = get_header(x, "Waxwing-Urgency");

	x->params.urgency = -1;
	if (!*text)
		return 0;
	for (int i = 0; i < URGENCY_COUNT; i++)
		if (!strcmp(text, names[i]))
			x->params.urgency = i;
	return x->params.urgency < 0 ? -1 : 0;
}

/* Returns NULL, or the reason for which the headers are invalid. */
static const char *parse_headers(struct exchange *x, uint64_t now_us)
{
	const char *idempotent = get_header(x, "Waxwing-Idempotent");

	x->params.user = get_header(x, "Waxwing-User");
	x->params.team = get_header(x, "Waxwing-Team");
	x->params.kind = get_header(x, "Waxwing-Kind");
	x->idempotency_key = get_header(x, "Idempotency-Key");
	x->params.idempotent = !strcmp(idempotent, "yes");
	if (!*x->params.user || !*x->params.kind)
		return "user-or-kind-missing";
	if (strlen(x->params.user) >= SHEET_NAME_BYTES ||
	    strlen(x->params.kind) >= SHEET_NAME_BYTES ||
	    strlen(x->params.team) >= SHEET_NAME_BYTES)
		return "name-too-long";
	if (parse_urgency(x) < 0)
		return "bad-urgency";
	if (parse_deadline(x, now_us) < 0)
		return "bad-deadline";
	if (*idempotent && !x->params.idempotent &&
	    strcmp(idempotent, "no") != 0)
		return "bad-idempotent";
	if (strlen(x->idempotency_key) > IDEMPOTENCY_KEY_MAX_BYTES)
		return "key-too-long";
	if (!x->params.idempotent && !*x->idempotency_key)
		return "key-missing";
	return NULL;
}

/* Returns 0, or the HTTP status of the error. */
static int read_body(struct exchange *x)
{
	long long length = mg_get_request_info(x->conn)->content_length;
	size_t limit = x->front->settings.front.body_limit_bytes;
	char chunk[8192];

	/* With chunked encoding, the length is not known in advance. */
	if (length > (long long)limit)
		return 413;
	if (length < 0 && !*get_header(x, "Transfer-Encoding"))
		return 0;
	while (length < 0 || x->request_body.len < (size_t)length) {
		int n = mg_read(x->conn, chunk, sizeof(chunk));

		if (n < 0 || (n == 0 && length >= 0))
			return 400;
		if (n == 0)
			break;
		buffer_append(&x->request_body, chunk, (size_t)n);
		if (x->request_body.len > limit)
			return 413;
	}
	x->params.body = x->request_body.data;
	x->params.body_len = x->request_body.len;
	return 0;
}

/* ---- requests ---- */

static int http_status_of_reason(enum flow_reason reason)
{
	switch (reason) {
	case FLOW_REASON_UNKNOWN_KIND:
		return 404;
	case FLOW_REASON_KIND_LIMIT:
	case FLOW_REASON_TEAM_LIMIT:
		return 429;
	default:
		return 503;
	}
}

/* Sets the response from the reply and takes over the reply's body. */
static void set_reply(struct exchange *x, const struct flow_reply *reply)
{
	x->revision = reply->revision;
	switch (reply->code) {
	case FLOW_REPLY_DONE:
		x->status = reply->status;
		x->outcome = "done";
		x->response_body = reply->body;
		break;
	case FLOW_REPLY_NOT_RUN:
		set_not_run(x, http_status_of_reason(reply->reason),
			    flow_reason_name(reply->reason));
		break;
	case FLOW_REPLY_UNKNOWN:
		set_unknown(x, flow_outcome_name(reply->outcome));
		break;
	}
}

static enum flow_reply_code run_request(struct exchange *x)
{
	struct flow_reply reply;

	flow_run_request(x->front->flow, &x->params, &reply);
	set_reply(x, &reply);
	return reply.code;
}

static void make_claim_key(const struct exchange *x, struct claim_key *key)
{
	XXH128_hash_t h;
	struct buffer b = BUFFER_INIT;

	/* The NUL bytes make "a" + "bc" and "ab" + "c" hash differently. */
	buffer_append(&b, x->params.user, strlen(x->params.user) + 1);
	buffer_append(&b, x->params.kind, strlen(x->params.kind) + 1);
	buffer_append_str(&b, x->idempotency_key);
	h = XXH3_128bits(b.data, b.len);
	buffer_free(&b);
	memset(key, 0, sizeof(*key));
	key->hash[0] = h.high64;
	key->hash[1] = h.low64;
	key->body_hash = XXH3_64bits(x->params.body ? x->params.body : "",
				     x->params.body_len);
	if (getrandom(&key->nonce, sizeof(key->nonce), 0) < 0)
		key->nonce = atomic_fetch_add(&x->front->next_request_id, 1);
}

/* Runs a request whose claim was granted and reports the outcome. */
static void run_with_claim(struct exchange *x, const struct claim_key *key)
{
	enum claim_outcome outcome = CLAIM_MAY_HAVE_RUN;
	int status = 0;
	const void *body = NULL;
	size_t len = 0;

	switch (run_request(x)) {
	case FLOW_REPLY_DONE:
		outcome = CLAIM_DONE;
		status = x->status;
		body = x->response_body.data;
		len = x->response_body.len;
		break;
	case FLOW_REPLY_NOT_RUN:
		outcome = CLAIM_NOT_RUN;
		break;
	case FLOW_REPLY_UNKNOWN:
		break;
	}
	claim_finish(x->front->owner, key, outcome, status, body, len);
}

/* A non-idempotent request needs a durable claim before it may run. */
static void run_non_idempotent(struct exchange *x)
{
	struct claim_reply claim = { 0 };
	struct claim_key key;
	struct flow_reply reply;

	if (flow_would_refuse(x->front->flow, &x->params, &reply)) {
		set_reply(x, &reply);
		return;
	}
	make_claim_key(x, &key);
	claim_begin(x->front->owner, &key, x->params.deadline_us, &claim);
	switch (claim.code) {
	case CLAIM_GRANTED:
		run_with_claim(x, &key);
		break;
	case CLAIM_REPLAY:
		x->status = claim.status;
		x->outcome = "done";
		x->replayed = true;
		x->response_body = claim.body;
		memset(&claim.body, 0, sizeof(claim.body));
		break;
	case CLAIM_UNKNOWN:
		set_unknown(x, "key-in-use");
		break;
	case CLAIM_KEY_REUSED:
		set_not_run(x, 422, "key-reused");
		break;
	case CLAIM_UNAVAILABLE:
		set_not_run(x, 503, "no-claim");
		break;
	}
	buffer_free(&claim.body);
}

/* Returns true if the threads reserved for refusals are in use. */
static bool reserved_threads_in_use(const struct front *front)
{
	uint32_t threads = front->settings.front.threads;

	return flow_in_flight(front->flow) > threads - threads / 16;
}

/* Returns true if connections must be closed to free their threads. */
static bool too_many_connections(struct front *front)
{
	uint32_t threads = front->settings.front.threads;

	return atomic_load(&front->connections) > threads - threads / 4;
}

/* Reads and runs the request, or sets the reason for its refusal. */
static void process_request(struct exchange *x, uint64_t now_us)
{
	const char *header_error = parse_headers(x, now_us);
	int status;

	if (strcmp(mg_get_request_info(x->conn)->request_method, "POST") != 0) {
		x->close_connection = true;
		set_not_run(x, 405, "method");
		return;
	}
	status = read_body(x);
	if (status) {
		/* The unread body would be parsed as the next request. */
		x->close_connection = true;
		set_not_run(x, status,
			    status == 413 ? "too-large" : "body-incomplete");
	} else if (header_error) {
		set_not_run(x, 400, header_error);
	} else if (atomic_load(&x->front->draining)) {
		set_not_run(x, 503, "draining");
	} else if (reserved_threads_in_use(x->front)) {
		set_not_run(x, 503, flow_reason_name(FLOW_REASON_QUEUE_FULL));
	} else if (x->params.idempotent) {
		run_request(x);
	} else {
		run_non_idempotent(x);
	}
}

static int handle_request(struct mg_connection *conn, void *arg)
{
	struct front *front = arg;
	struct exchange x = { .front = front, .conn = conn };
	uint64_t now = clock_now_us();

	flow_request_begin(front->flow);
	snprintf(x.params.id, sizeof(x.params.id), "%.40s-%016llx",
		 front->settings.node.id,
		 (unsigned long long)atomic_fetch_add(&front->next_request_id,
						      1));
	process_request(&x, now);
	if (atomic_load(&front->draining) || too_many_connections(front))
		x.close_connection = true;
	send_response(&x);
	buffer_free(&x.request_body);
	buffer_free(&x.response_body);
	flow_request_end(front->flow);
	return x.status;
}

/* Readiness check of load balancers. */
static int handle_ready(struct mg_connection *conn, void *arg)
{
	struct front *front = arg;
	bool draining = atomic_load(&front->draining);
	bool ready = !draining && flow_ready(front->flow);
	const char *text = ready      ? "ready\n"
			   : draining ? "draining\n"
				      : "no slots or sheet\n";
	int status = ready ? 200 : 503;

	mg_printf(conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n"
		  "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
		  status, mg_get_response_code_text(conn, status), strlen(text),
		  text);
	return status;
}
