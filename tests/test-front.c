#include <civetweb.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "clock.h"
#include "http-client.h"
#include "log.h"
#include "support-unit.h"
#include "svc-config.h"
#include "svc-flow.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-targets.h"

/* ---- stubs of the services that the request path uses ---- */

static struct sheet_kind kinds[] = {
	{ .user = "court", .name = "draft", .share_percent = 50 },
	{ .user = "court", .name = "one", .share_percent = 10, .limit = 1 },
};
static struct sheet_stop stops[] = {
	{ .scope = STOP_RACK, .target = "rack-9", .duration_us = 60000000 },
};
static struct sheet sheet = {
	.kinds = kinds, .kind_count = 2, .stops = stops, .stop_count = 1
};
static struct config config = { .revision = 7, .sheet = &sheet };
static struct vm vms[1];
static struct vm_list vm_list = { .vms = vms, .count = 1 };
static enum claim_code claim_code;
static int claim_begin_calls;
static int claim_finish_calls;
static enum claim_outcome claim_outcome;

struct config_svc {
	struct service service;
};

struct config_svc *config_find(struct kernel *k)
{
	return (struct config_svc *)kernel_find(k, "config");
}

const struct config *config_current(struct config_svc *c)
{
	(void)c;
	return &config;
}

void config_on_change(struct config_svc *c, void (*fn)(void *arg), void *arg)
{
	(void)c;
	(void)fn;
	(void)arg;
}

struct members {
	struct service service;
};

struct members *members_find(struct kernel *k)
{
	return (struct members *)kernel_find(k, "members");
}

void members_seat(struct members *m, struct seat *out)
{
	(void)m;
	memset(out, 0, sizeof(*out));
	out->revision = 1;
	out->count = 1;
}

void members_add_seat_listener(struct members *m, void (*fn)(void *arg),
			       void *arg)
{
	(void)m;
	(void)fn;
	(void)arg;
}

struct targets {
	struct service service;
};

struct targets *targets_find(struct kernel *k)
{
	return (struct targets *)kernel_find(k, "targets");
}

const struct vm_list *targets_list(struct targets *t)
{
	(void)t;
	return &vm_list;
}

void targets_on_change(struct targets *t, void (*fn)(void *arg), void *arg)
{
	(void)t;
	(void)fn;
	(void)arg;
}

struct owner {
	struct service service;
};

struct owner *owner_find(struct kernel *k)
{
	return (struct owner *)kernel_find(k, "owner");
}

void claim_begin(struct owner *o, const struct claim_key *key,
		 uint64_t deadline_us, struct claim_reply *out)
{
	(void)o;
	(void)key;
	(void)deadline_us;
	claim_begin_calls++;
	out->code = claim_code;
	if (claim_code == CLAIM_REPLAY) {
		out->status = 200;
		buffer_append_str(&out->body, "stored");
	}
}

void claim_finish(struct owner *o, const struct claim_key *key,
		  enum claim_outcome outcome, int status, const void *body,
		  size_t len)
{
	(void)o;
	(void)key;
	(void)status;
	(void)body;
	(void)len;
	claim_finish_calls++;
	claim_outcome = outcome;
}

/* ---- fake runner, whose response is selected by the request body ---- */

static struct mg_context *runner;
static atomic_int run_count;
static atomic_int runs_in_progress;

static void send_response(struct mg_connection *conn, const char *status,
			  const char *id, const char *extra, size_t length)
{
	mg_printf(conn,
		  "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s"
		  "Content-Length: %zu\r\n\r\nanswer",
		  status, id, extra, length);
}

static int handle_run(struct mg_connection *conn, void *arg)
{
	const char *id = mg_get_header(conn, "X-Request-Id");
	char body[64] = "";

	(void)arg;
	atomic_fetch_add(&run_count, 1);
	atomic_fetch_add(&runs_in_progress, 1);
	mg_read(conn, body, sizeof(body) - 1);
	if (!strcmp(body, "ok"))
		send_response(conn, "200 OK", id, "", 6);
	if (!strcmp(body, "fail"))
		send_response(conn, "500 Failed", id, "", 6);
	if (!strcmp(body, "not-run"))
		send_response(conn, "503 Full", id, "X-Not-Run: true\r\n", 6);
	if (!strcmp(body, "other"))
		send_response(conn, "200 OK", "other", "", 6);
	if (!strcmp(body, "other-not-run"))
		send_response(conn, "503 Full", "other", "X-Not-Run: true\r\n",
			      6);
	if (!strcmp(body, "short"))
		send_response(conn, "200 OK", id, "", 600);
	if (!strcmp(body, "slow")) {
		clock_sleep_us(400000);
		send_response(conn, "200 OK", id, "", 6);
	}
	if (strcmp(body, "ok") != 0)
		mg_disable_connection_keep_alive(conn);
	atomic_fetch_sub(&runs_in_progress, 1);
	return 200;
}

static int handle_status(struct mg_connection *conn, void *arg)
{
	static const char text[] = "{\"slots\":8,\"busy\":0,"
				   "\"connections\":0,\"draining\":false}";

	(void)arg;
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		  sizeof(text) - 1, text);
	return 200;
}

static uint16_t start_runner(void)
{
	const char *options[] = {
		"listening_ports",   "127.0.0.1:0", "num_threads", "8",
		"enable_keep_alive", "yes",	    NULL
	};
	struct mg_server_port port;

	runner = mg_start(NULL, NULL, options);
	mg_set_request_handler(runner, "/run$", handle_run, NULL);
	mg_set_request_handler(runner, "/status$", handle_status, NULL);
	mg_get_server_ports(runner, 1, &port);
	return (uint16_t)port.port;
}

/* ---- client requests ---- */

static struct kernel *kernel;
static struct http_client *client;

struct result {
	int status;
	char outcome[32];
	char reason[32];
	char id[FLOW_REQUEST_ID_BYTES];
	char body[64];
	bool replayed;
};

static void copy_header(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static struct result post(const char *headers, const char *body)
{
	struct http_request req = { .method = "POST",
				    .path = "/v1/requests",
				    .headers = headers,
				    .body = body,
				    .body_len = strlen(body),
				    .timeout_us = 10000000,
				    .max_response_bytes = 100000 };
	struct result r = { 0 };
	struct http_response response;
	struct error err;

	if (http_call(client, "127.0.0.1", front_port(kernel), &req, &response,
		      &err) < 0) {
		fprintf(stderr, "%s\n", err.message);
		return r;
	}
	r.status = response.status;
	copy_header(r.outcome, sizeof(r.outcome),
		    http_response_header(&response, "Waxwing-Outcome"));
	copy_header(r.reason, sizeof(r.reason),
		    http_response_header(&response, "Waxwing-Reason"));
	copy_header(r.id, sizeof(r.id),
		    http_response_header(&response, "Waxwing-Request-Id"));
	copy_header(r.body, sizeof(r.body), response.body.data);
	r.replayed =
		http_response_header(&response, "Waxwing-Replayed") != NULL;
	http_response_free(&response);
	return r;
}

#define IDEMPOTENT                                       \
	"Waxwing-User: court\r\nWaxwing-Kind: draft\r\n" \
	"Waxwing-Deadline-Ms: 2000\r\nWaxwing-Idempotent: yes\r\n"
#define NON_IDEMPOTENT                                            \
	"Waxwing-User: court\r\nWaxwing-Kind: draft\r\n"          \
	"Waxwing-Deadline-Ms: 2000\r\nWaxwing-Idempotent: no\r\n" \
	"Idempotency-Key: k1\r\n"

/* A response must be complete, for its request, and have its headers. */
static void test_complete_response_is_returned(void)
{
	for (int i = 0; i < 20; i++) {
		struct result r = post(IDEMPOTENT, "ok");

		CU_ASSERT_EQUAL_FATAL(r.status, 200);
		CU_ASSERT_STRING_EQUAL(r.outcome, "done");
		CU_ASSERT_STRING_EQUAL(r.body, "answer");
		CU_ASSERT(r.id[0] != '\0');
	}
}

/*
 * A request that reached the runner but whose response is lost, truncated or
 * for another request id must not be reported as "not run".
 */
static void test_lost_responses_are_unknown(void)
{
	static const char *const bodies[] = { "lost", "other", "short",
					      "other-not-run" };

	claim_code = CLAIM_GRANTED;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		int before = atomic_load(&run_count);
		struct result r = post(NON_IDEMPOTENT, bodies[i]);

		CU_ASSERT_EQUAL(r.status, 504);
		CU_ASSERT_STRING_EQUAL(r.outcome, "unknown");
		CU_ASSERT_EQUAL(claim_outcome, CLAIM_MAY_HAVE_RUN);
		CU_ASSERT_EQUAL(atomic_load(&run_count) - before, 1);
		/* Three consecutive failures would open the breaker. */
		CU_ASSERT_EQUAL(post(IDEMPOTENT, "ok").status, 200);
	}
}

/* A refusal by the runner must be reported as "not run", not "unknown". */
static void test_runner_refusal_is_not_run(void)
{
	struct result r;

	claim_code = CLAIM_GRANTED;
	r = post(NON_IDEMPOTENT, "not-run");
	CU_ASSERT_EQUAL(r.status, 503);
	CU_ASSERT_STRING_EQUAL(r.outcome, "not-run");
	CU_ASSERT_EQUAL(claim_outcome, CLAIM_NOT_RUN);
	CU_ASSERT_EQUAL(post(IDEMPOTENT, "ok").status, 200);
}

/* An error response of the runner must reach the client. */
static void test_runner_error_is_done(void)
{
	struct result r;

	claim_code = CLAIM_GRANTED;
	r = post(NON_IDEMPOTENT, "fail");
	CU_ASSERT_EQUAL(r.status, 500);
	CU_ASSERT_STRING_EQUAL(r.outcome, "done");
	CU_ASSERT_EQUAL(claim_outcome, CLAIM_DONE);
	CU_ASSERT_EQUAL(post(IDEMPOTENT, "ok").status, 200);
}

/* A non-idempotent request must not be sent unless its claim is granted. */
static void test_claim_result_sets_response(void)
{
	static const struct {
		enum claim_code code;
		int status;
		const char *outcome;
	} cases[] = {
		{ CLAIM_REPLAY, 200, "done" },
		{ CLAIM_UNKNOWN, 504, "unknown" },
		{ CLAIM_KEY_REUSED, 422, "not-run" },
		{ CLAIM_UNAVAILABLE, 503, "not-run" },
	};
	int before = atomic_load(&run_count), finished = claim_finish_calls;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct result r;

		claim_code = cases[i].code;
		r = post(NON_IDEMPOTENT, "ok");
		CU_ASSERT_EQUAL(r.status, cases[i].status);
		CU_ASSERT_STRING_EQUAL(r.outcome, cases[i].outcome);
		CU_ASSERT_EQUAL(r.replayed, cases[i].code == CLAIM_REPLAY);
	}
	CU_ASSERT_EQUAL(atomic_load(&run_count), before);
	CU_ASSERT_EQUAL(claim_finish_calls, finished);
}

/* No claim must be stored for a request that will be refused anyway. */
static void test_refused_request_needs_no_claim(void)
{
	int before = claim_begin_calls;
	struct result r;

	claim_code = CLAIM_GRANTED;
	r = post("Waxwing-User: court\r\nWaxwing-Kind: none\r\n"
		 "Waxwing-Idempotent: no\r\nIdempotency-Key: k\r\n",
		 "ok");
	CU_ASSERT_EQUAL(r.status, 404);
	CU_ASSERT_EQUAL(claim_begin_calls, before);
}

/* Malformed requests must be refused as "not run" and not sent. */
static void test_bad_requests(void)
{
	static const struct {
		const char *headers;
		int status;
	} cases[] = {
		{ "", 400 },
		{ "Waxwing-User: court\r\nWaxwing-Kind: draft\r\n", 400 },
		{ IDEMPOTENT "Waxwing-Urgency: now\r\n", 400 },
		{ "Waxwing-User: court\r\nWaxwing-Kind: none\r\n"
		  "Waxwing-Idempotent: yes\r\n",
		  404 },
		{ "Waxwing-User: court\r\nWaxwing-Kind: draft\r\n"
		  "Waxwing-Deadline-Ms: 30001\r\nWaxwing-Idempotent: yes\r\n",
		  400 },
	};
	int before = atomic_load(&run_count);
	char large[2001];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct result r = post(cases[i].headers, "ok");

		CU_ASSERT_EQUAL(r.status, cases[i].status);
		CU_ASSERT_STRING_EQUAL(r.outcome, "not-run");
	}
	memset(large, 'x', 2000);
	large[2000] = '\0';
	CU_ASSERT_EQUAL(post(IDEMPOTENT, large).status, 413);
	CU_ASSERT_EQUAL(atomic_load(&run_count), before);
}

/* The client must get a response at its deadline if the runner is slower. */
static void test_deadline_ends_request(void)
{
	uint64_t start = clock_now_us();
	struct result r = post("Waxwing-User: court\r\nWaxwing-Kind: draft\r\n"
			       "Waxwing-Deadline-Ms: 100\r\n"
			       "Waxwing-Idempotent: yes\r\n",
			       "slow");

	CU_ASSERT_EQUAL(r.status, 504);
	CU_ASSERT_STRING_EQUAL(r.outcome, "unknown");
	CU_ASSERT(clock_now_us() - start < 350000);
	while (atomic_load(&runs_in_progress) > 0)
		clock_sleep_us(1000);
}

/* The decision on a request must be found by its id and name the target. */
static void test_explain_names_the_target(void)
{
	struct flow_svc *f = flow_svc_find(kernel);
	struct buffer b = BUFFER_INIT;
	struct result r = post(IDEMPOTENT, "ok");

	CU_ASSERT_EQUAL(flow_explain(f, r.id, &b), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(b.data, "\"target\":\"runner-1\""));
	CU_ASSERT_EQUAL(flow_explain(f, "no-such-request", &b), -1);
	buffer_reset(&b);
	flow_status(f, &b);
	CU_ASSERT_PTR_NOT_NULL(strstr(b.data, "\"own_slots\":8"));
	buffer_free(&b);
}

/* Waits until requests are answered with the status; false after 10 s. */
static bool wait_for_status(int status)
{
	uint64_t end = clock_now_us() + 10000000;

	while (post(IDEMPOTENT, "ok").status != status) {
		if (clock_now_us() > end)
			return false;
		clock_sleep_us(5000);
	}
	return true;
}

static void set_stop_start(void *arg)
{
	stops[0].start_us = *(uint64_t *)arg;
}

/* Returns the HTTP status of the readiness check, or -1. */
static int ready_status(void)
{
	struct http_request req = { .method = "GET",
				    .path = "/v1/ready",
				    .timeout_us = 10000000,
				    .max_response_bytes = 1000 };
	struct http_response response;
	struct error err;
	int status;

	if (http_call(client, "127.0.0.1", front_port(kernel), &req, &response,
		      &err) < 0)
		return -1;
	status = response.status;
	http_response_free(&response);
	return status;
}

/* The readiness check must succeed while the process has slots. */
static void test_ready_with_slots(void)
{
	CU_ASSERT_EQUAL(ready_status(), 200);
}

/* A runner must get no requests that its planned stop would interrupt. */
static void test_no_requests_before_planned_stop(void)
{
	uint64_t soon = clock_wall_us() + 20000000, past = 1;

	loop_call(loop_find(kernel), set_stop_start, &soon);
	CU_ASSERT(wait_for_status(503));
	loop_call(loop_find(kernel), set_stop_start, &past);
	CU_ASSERT(wait_for_status(200));
}

/* A request is counted as in flight until after its response was sent. */
static bool wait_until_idle(void)
{
	for (int i = 0; i < 200; i++) {
		if (!flow_in_flight(flow_svc_find(kernel)))
			return true;
		clock_sleep_us(5000);
	}
	return false;
}

/* A draining process must refuse requests. Runs last: drains the kernel. */
static void test_drain_refuses_requests(void)
{
	struct result r;

	kernel_drain(kernel);
	CU_ASSERT_EQUAL(ready_status(), 503);
	r = post(IDEMPOTENT, "ok");
	CU_ASSERT_EQUAL(r.status, 503);
	CU_ASSERT_STRING_EQUAL(r.outcome, "not-run");
	CU_ASSERT_STRING_EQUAL(r.reason, "draining");
	CU_ASSERT(wait_until_idle());
}

/* ---- setup ---- */

static const struct service_ops fake_ops[] = { { .name = "config" },
					       { .name = "members" },
					       { .name = "targets" },
					       { .name = "owner" } };
static struct service fake_services[] = {
	{ &fake_ops[0] }, { &fake_ops[1] }, { &fake_ops[2] }, { &fake_ops[3] }
};

static void init_settings(struct settings *s)
{
	memset(s, 0, sizeof(*s));
	snprintf(s->node.id, sizeof(s->node.id), "entry-1");
	snprintf(s->node.availability_zone, sizeof(s->node.availability_zone),
		 "keamari");
	snprintf(s->front.listen.host, sizeof(s->front.listen.host),
		 "127.0.0.1");
	s->front.threads = 16;
	s->front.body_limit_bytes = 1000;
	s->front.queue_limit = 100;
	s->platform.lease_us = 3000000;
	s->policy.retry_budget_percent = 10;
}

static void init_target(uint16_t port)
{
	struct vm *vm = &vms[0];

	snprintf(vm->id, sizeof(vm->id), "runner-1");
	snprintf(vm->availability_zone, sizeof(vm->availability_zone),
		 "keamari");
	snprintf(vm->address.host, sizeof(vm->address.host), "127.0.0.1");
	snprintf(vm->rack, sizeof(vm->rack), "rack-9");
	vm->role = VM_RUNNER;
	vm->address.port = port;
	vm->slots = 8;
	vm->connections = 64;
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "ready with slots", test_ready_with_slots },
		{ "complete response is returned",
		  test_complete_response_is_returned },
		{ "lost responses are unknown",
		  test_lost_responses_are_unknown },
		{ "runner's refusal is not run",
		  test_runner_refusal_is_not_run },
		{ "runner's error is done", test_runner_error_is_done },
		{ "claim result sets the response",
		  test_claim_result_sets_response },
		{ "refused request needs no claim",
		  test_refused_request_needs_no_claim },
		{ "bad requests", test_bad_requests },
		{ "deadline ends the request", test_deadline_ends_request },
		{ "explain names the target", test_explain_names_the_target },
		{ "no requests before a planned stop",
		  test_no_requests_before_planned_stop },
		{ "drain refuses requests", test_drain_refuses_requests },
	};
	struct settings s;
	struct error err;
	int status;

	rcu_register_thread();
	log_set_level(LOG_WARNING);
	init_settings(&s);
	init_target(start_runner());
	client = http_client_create(2);
	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	for (int i = 0; i < 4; i++)
		kernel_register(kernel, &fake_services[i], &err);
	kernel_register(kernel, flow_svc_create(&s), &err);
	kernel_register(kernel, front_create(&s), &err);
	if (kernel_start(kernel, &err) < 0) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	if (!wait_for_status(200))
		return 1;
	status = RUN_SUITE("front", tests);
	http_client_destroy(client);
	kernel_stop(kernel);
	kernel_destroy(kernel);
	mg_stop(runner);
	rcu_unregister_thread();
	return status;
}
