#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu.h>

#include "clock.h"
#include "log.h"
#include "svc-flow-internal.h"

#define RESPONSE_MAX_BYTES (4u * 1024u * 1024u)
#define STATUS_RESPONSE_MAX_BYTES 4096u
#define PROBE_TIMEOUT_US 1000000u
#define SENDER_THREADS_MAX 2048u
#define SENDER_STACK_BYTES (256u * 1024u)

struct probe {
	struct flow_svc *svc;
	uint32_t target;
	uint32_t connections;
};

static void *sender_main(void *arg);
static void run_attempt(struct runner_attempt *attempt);
static void run_probe(void *arg);

void flow_io_start(struct flow_svc *f)
{
	pthread_mutex_init(&f->attempt_lock, NULL);
	pthread_cond_init(&f->attempt_cond, NULL);
	f->attempt_queue_tail = &f->attempt_queue_head;
}

void flow_io_stop(struct flow_svc *f)
{
	pthread_mutex_lock(&f->attempt_lock);
	f->senders_stopping = true;
	pthread_cond_broadcast(&f->attempt_cond);
	/* Clients no longer wait for the attempts that still run. */
	for (struct runner_attempt *attempt = f->running_attempts; attempt;
	     attempt = attempt->next)
		http_cancel(f->http, &attempt->cancel);
	/* Senders empty the queue, then signal the condition as they exit. */
	while (f->sender_threads)
		pthread_cond_wait(&f->attempt_cond, &f->attempt_lock);
	pthread_mutex_unlock(&f->attempt_lock);
	pthread_cond_destroy(&f->attempt_cond);
	pthread_mutex_destroy(&f->attempt_lock);
}

/* Starts a sender thread. Caller holds attempt_lock. */
static void start_sender_thread(struct flow_svc *f)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, SENDER_STACK_BYTES);
	if (pthread_create(&thread, &attr, sender_main, f) == 0)
		f->sender_threads++;
	else
		log_event(LOG_ERROR, "no-thread", "threads=%u",
			  f->sender_threads);
	pthread_attr_destroy(&attr);
}

void flow_io_queue_attempt(struct flow_svc *f, const struct flow_action *a)
{
	struct runner_attempt *attempt = xcalloc(1, sizeof(*attempt));

	attempt->svc = f;
	attempt->action = *a;
	attempt->request = f->pending[a->handle].request;
	atomic_fetch_add(&attempt->request->references, 1);
	pthread_mutex_lock(&f->attempt_lock);
	*f->attempt_queue_tail = attempt;
	f->attempt_queue_tail = &attempt->next;
	f->queued_attempts++;
	if (f->queued_attempts > f->idle_senders &&
	    f->sender_threads < SENDER_THREADS_MAX)
		start_sender_thread(f);
	else
		pthread_cond_signal(&f->attempt_cond);
	pthread_mutex_unlock(&f->attempt_lock);
}

/*
 * Waits for an attempt and moves it to the running ones; NULL if the service
 * is stopping and the queue is empty.
 */
static struct runner_attempt *next_attempt(struct flow_svc *f)
{
	struct runner_attempt *attempt;

	pthread_mutex_lock(&f->attempt_lock);
	f->idle_senders++;
	while (!f->attempt_queue_head && !f->senders_stopping)
		pthread_cond_wait(&f->attempt_cond, &f->attempt_lock);
	f->idle_senders--;
	attempt = f->attempt_queue_head;
	if (attempt) {
		f->attempt_queue_head = attempt->next;
		if (!attempt->next)
			f->attempt_queue_tail = &f->attempt_queue_head;
		f->queued_attempts--;
		attempt->next = f->running_attempts;
		f->running_attempts = attempt;
	} else {
		f->sender_threads--;
		pthread_cond_broadcast(&f->attempt_cond);
	}
	pthread_mutex_unlock(&f->attempt_lock);
	return attempt;
}

static void remove_running_attempt(struct flow_svc *f,
				   struct runner_attempt *attempt)
{
	struct runner_attempt **link = &f->running_attempts;

	pthread_mutex_lock(&f->attempt_lock);
	while (*link != attempt)
		link = &(*link)->next;
	*link = attempt->next;
	pthread_mutex_unlock(&f->attempt_lock);
}

static void *sender_main(void *arg)
{
	struct flow_svc *f = arg;
	struct runner_attempt *attempt;

	rcu_register_thread();
	while ((attempt = next_attempt(f))) {
		run_attempt(attempt);
		remove_running_attempt(f, attempt);
		free(attempt);
	}
	rcu_unregister_thread();
	return NULL;
}

/*
 * Called by the HTTP client right before it writes the first byte. A request
 * thread whose deadline has passed treats the request as not run if
 * attempts_on_wire is 0, so the counter is raised before the clock is read.
 */
static int before_send(void *arg)
{
	struct runner_attempt *attempt = arg;
	struct flow_svc *f = attempt->svc;
	uint64_t now;

	atomic_fetch_add(&attempt->request->attempts_on_wire, 1);
	now = clock_now_us();
	/*
	 * After a pause longer than the lease, another entry VM may hold the
	 * seat; the next tick reads the seat again.
	 */
	if (now >= attempt->request->deadline_us ||
	    now - atomic_load(&f->last_tick_us) >
		    f->settings.platform.lease_us) {
		atomic_fetch_sub(&attempt->request->attempts_on_wire, 1);
		return -1;
	}
	attempt->first_byte_us = now;
	return 0;
}

/* Returns true if the response is complete and for this request. */
static bool response_matches(const struct runner_attempt *attempt,
			     const struct http_response *response)
{
	const char *id = http_response_header(response, "X-Request-Id");

	/* http_call() has checked the body against Content-Length. */
	return id && !strcmp(id, attempt->request->id) &&
	       http_response_header(response, "Content-Length");
}

static enum flow_outcome
outcome_of_response(const struct runner_attempt *attempt,
		    const struct http_response *response)
{
	const char *not_run = http_response_header(response, "X-Not-Run");

	if (!response_matches(attempt, response))
		return FLOW_OUTCOME_LOST;
	if (response->status == 503 && not_run && !strcasecmp(not_run, "true"))
		return FLOW_OUTCOME_REFUSED;
	return response->status == 200 ? FLOW_OUTCOME_OK : FLOW_OUTCOME_FAILED;
}

static enum flow_outcome outcome_of_error(const struct error *err)
{
	switch ((enum http_error)err->code) {
	case HTTP_NOT_SENT:
		return FLOW_OUTCOME_NOT_SENT;
	case HTTP_TIMEOUT:
		return FLOW_OUTCOME_TIMEOUT;
	case HTTP_MAYBE_SENT:
	case HTTP_TRUNCATED:
	case HTTP_TOO_LARGE:
		break;
	}
	return FLOW_OUTCOME_LOST;
}

static enum flow_outcome call_runner(struct runner_attempt *attempt,
				     const struct flow_target_address *target,
				     struct http_response *response)
{
	struct shared_request *request = attempt->request;
	uint64_t now = clock_now_us();
	char headers[256];
	struct error err;
	struct http_request req = {
		.method = "POST",
		.path = "/run",
		.headers = headers,
		.body = request->body,
		.body_len = request->body_len,
		.max_response_bytes = RESPONSE_MAX_BYTES,
		.before_send = before_send,
		.before_send_arg = attempt,
		.max_connections = attempt->action.connections,
		.cancel = &attempt->cancel,
	};

	if (now >= request->deadline_us)
		return FLOW_OUTCOME_NOT_SENT;
	req.timeout_us = attempt->action.timeout_us - now;
	snprintf(headers, sizeof(headers),
		 "X-Request-Id: %s\r\nX-Kind: %s\r\n"
		 "Content-Type: application/octet-stream\r\n",
		 request->id, request->kind);
	if (http_call(attempt->svc->http, target->address.host,
		      target->address.port, &req, response, &err) < 0) {
		log_event(LOG_INFO, "attempt-failed",
			  "request=%s target=%s error=\"%s\"", request->id,
			  target->id, err.message);
		return outcome_of_error(&err);
	}
	return outcome_of_response(attempt, response);
}

/*
 * Passes the result to the core and, if that ends the request with this
 * attempt's response, stores the response for the request thread.
 */
static void report_result(struct runner_attempt *attempt,
			  enum flow_outcome outcome,
			  struct http_response *response, uint64_t service_us)
{
	struct flow_svc *f = attempt->svc;
	uint32_t handle = attempt->action.handle;
	struct pending_request *pending = &f->pending[handle];
	struct flow_event e = { .type = FLOW_RESULT };
	bool was_decided;

	e.result.handle = handle;
	e.result.target = attempt->action.target;
	e.result.attempt = attempt->action.attempt;
	e.result.outcome = outcome;
	e.result.service_us = service_us;
	pthread_mutex_lock(&f->lock);
	pending->running_attempts--;
	f->target_refs[attempt->action.target]--;
	if (attempt->first_byte_us && outcome != FLOW_OUTCOME_NOT_SENT &&
	    outcome != FLOW_OUTCOME_REFUSED)
		pending->may_have_run = true;
	if (attempt->first_byte_us)
		atomic_fetch_sub(&attempt->request->attempts_on_wire, 1);
	was_decided = pending->decided;
	flow_handle_event(f, &e);
	if (!was_decided && pending->decided &&
	    pending->final_action.type == FLOW_FINISH &&
	    pending->final_action.attempt == attempt->action.attempt) {
		pending->response_status = response->status;
		pending->response_body = response->body;
		memset(&response->body, 0, sizeof(response->body));
	}
	pending_request_release(f, handle);
	pthread_mutex_unlock(&f->lock);
}

static void run_attempt(struct runner_attempt *attempt)
{
	struct flow_svc *f = attempt->svc;
	const struct flow_action *a = &attempt->action;
	struct flow_target_address target, passed_over = { .id = "-" };
	struct http_response response = { 0 };
	enum flow_outcome outcome = FLOW_OUTCOME_NOT_SENT;
	uint64_t service_us = 0;

	flow_target_lookup(f, a->passed_over, &passed_over);
	if (flow_target_lookup(f, a->target, &target) == 0) {
		log_event(LOG_INFO, "route",
			  "request=%s user=%s kind=%s team=%s attempt=%u "
			  "hedge=%d target=%s passed-over=%s why=%s "
			  "queued-us=%llu revision=%llu",
			  attempt->request->id, attempt->request->user,
			  attempt->request->kind, attempt->request->team,
			  a->attempt, a->hedge, target.id, passed_over.id,
			  flow_choice_reason_name(a->choice_reason),
			  (unsigned long long)a->queued_us,
			  (unsigned long long)attempt->request->revision);
		counter_add(f->counters.sends, 1);
		counter_add(f->counters.hedges, a->hedge);
		outcome = call_runner(attempt, &target, &response);
	}
	if (attempt->first_byte_us)
		service_us = clock_now_us() - attempt->first_byte_us;
	counter_add(f->counters.outcomes[outcome], 1);
	report_result(attempt, outcome, &response, service_us);
	http_response_free(&response);
	shared_request_unref(attempt->request);
}

/* ---- status probes ---- */

void flow_io_queue_probe(struct flow_svc *f, const struct flow_action *a)
{
	struct probe *p = xcalloc(1, sizeof(*p));

	p->svc = f;
	p->target = a->target;
	p->connections = a->connections;
	f->target_refs[a->target]++;
	/* A dropped probe is harmless: the core requests another one. */
	if (io_pool_submit(f->probe_pool, run_probe, p) < 0) {
		f->target_refs[a->target]--;
		free(p);
	}
}

/* Copies the runner's status report into the event. */
static void parse_status(const struct http_response *response,
			 struct flow_event *e)
{
	json_t *root =
		json_loadb(response->body.data ? response->body.data : "",
			   response->body.len, 0, NULL);
	json_t *busy = json_object_get(root, "busy");

	if (response->status == 200 && json_is_integer(busy)) {
		e->probe.answered = true;
		e->probe.busy = (uint32_t)json_integer_value(busy);
		e->probe.draining =
			json_is_true(json_object_get(root, "draining"));
	}
	json_decref(root);
}

static void run_probe(void *arg)
{
	struct probe *p = arg;
	struct flow_svc *f = p->svc;
	struct flow_event e = { .type = FLOW_PROBE_RESULT };
	struct http_request req = {
		.method = "GET",
		.path = "/status",
		.timeout_us = PROBE_TIMEOUT_US,
		.max_response_bytes = STATUS_RESPONSE_MAX_BYTES,
		.max_connections = p->connections,
	};
	struct http_response response;
	struct flow_target_address target;
	struct error err;

	e.probe.target = p->target;
	e.probe.sampled_us = clock_now_us();
	rcu_register_thread();
	if (flow_target_lookup(f, p->target, &target) == 0 &&
	    http_call(f->http, target.address.host, target.address.port, &req,
		      &response, &err) == 0) {
		parse_status(&response, &e);
		http_response_free(&response);
	}
	rcu_unregister_thread();
	counter_add(f->counters.probes, 1);
	pthread_mutex_lock(&f->lock);
	f->target_refs[p->target]--;
	flow_handle_event(f, &e);
	pthread_mutex_unlock(&f->lock);
	free(p);
}
