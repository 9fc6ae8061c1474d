#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu.h>

#include "clock.h"
#include "log.h"
#include "svc-flow-internal.h"

#define ANSWER_MAX_BYTES (4u * 1024u * 1024u)
#define STATUS_MAX_BYTES 4096u
#define PROBE_TIMEOUT_US 1000000u
#define SEND_THREADS_MAX 2048u
#define SEND_STACK_BYTES (256u * 1024u)

struct probe {
	struct flow_svc *svc;
	uint32_t target;
	uint32_t connections;
};

static void *run_sender(void *arg);
static void run_attempt(struct flow_send *s);
static void run_probe(void *arg);

void flow_io_start(struct flow_svc *f)
{
	pthread_mutex_init(&f->send_lock, NULL);
	pthread_cond_init(&f->send_cond, NULL);
	f->send_last = &f->send_first;
}

void flow_io_stop(struct flow_svc *f)
{
	pthread_mutex_lock(&f->send_lock);
	f->stopping = true;
	pthread_cond_broadcast(&f->send_cond);
	/* Attempts that run past their deadline are of no use to anybody. */
	for (struct flow_send *s = f->send_running; s; s = s->next)
		http_cancel(f->http, &s->cancel);
	/* The last thread to end signals; queued attempts are run first. */
	while (f->send_threads)
		pthread_cond_wait(&f->send_cond, &f->send_lock);
	pthread_mutex_unlock(&f->send_lock);
	pthread_cond_destroy(&f->send_cond);
	pthread_mutex_destroy(&f->send_lock);
}

/* Starts one more thread for attempts. Send lock held. */
static void start_sender(struct flow_svc *f)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, SEND_STACK_BYTES);
	if (pthread_create(&thread, &attr, run_sender, f) == 0)
		f->send_threads++;
	else
		log_event(LOG_ERROR, "no-thread", "threads=%u",
			  f->send_threads);
	pthread_attr_destroy(&attr);
}

void flow_io_send(struct flow_svc *f, const struct flow_action *a)
{
	struct flow_send *s = xcalloc(1, sizeof(*s));

	s->svc = f;
	s->action = *a;
	s->job = f->entries[a->handle].job;
	atomic_fetch_add(&s->job->references, 1);
	pthread_mutex_lock(&f->send_lock);
	*f->send_last = s;
	f->send_last = &s->next;
	f->send_queued++;
	if (f->send_queued > f->send_idle && f->send_threads < SEND_THREADS_MAX)
		start_sender(f);
	else
		pthread_cond_signal(&f->send_cond);
	pthread_mutex_unlock(&f->send_lock);
}

/* Waits for an attempt; NULL when the service stops. */
static struct flow_send *next_send(struct flow_svc *f)
{
	struct flow_send *s;

	pthread_mutex_lock(&f->send_lock);
	f->send_idle++;
	while (!f->send_first && !f->stopping)
		pthread_cond_wait(&f->send_cond, &f->send_lock);
	f->send_idle--;
	s = f->send_first;
	if (s) {
		f->send_first = s->next;
		if (!s->next)
			f->send_last = &f->send_first;
		f->send_queued--;
		s->next = f->send_running;
		f->send_running = s;
	} else {
		f->send_threads--;
		pthread_cond_broadcast(&f->send_cond);
	}
	pthread_mutex_unlock(&f->send_lock);
	return s;
}

static void remove_running(struct flow_svc *f, struct flow_send *s)
{
	struct flow_send **at = &f->send_running;

	pthread_mutex_lock(&f->send_lock);
	while (*at != s)
		at = &(*at)->next;
	*at = s->next;
	pthread_mutex_unlock(&f->send_lock);
}

static void *run_sender(void *arg)
{
	struct flow_svc *f = arg;
	struct flow_send *s;

	rcu_register_thread();
	while ((s = next_send(f))) {
		run_attempt(s);
		remove_running(f, s);
		free(s);
	}
	rcu_unregister_thread();
	return NULL;
}

/*
 * The last check before the first byte leaves. The request thread takes
 * "sending" as proof that a byte may have left, so it is set before the clock
 * is read.
 */
static int before_send(void *arg)
{
	struct flow_send *s = arg;
	struct flow_svc *f = s->svc;
	uint64_t now;

	atomic_fetch_add(&s->job->sending, 1);
	now = clock_now_us();
	/*
	 * After a pause longer than the lease the seat may have been given to
	 * another entry VM; it is read again by the next tick.
	 */
	if (now >= s->job->deadline_us ||
	    now - atomic_load(&f->last_tick_us) >
		    f->settings.platform.lease_us) {
		atomic_fetch_sub(&s->job->sending, 1);
		return -1;
	}
	s->first_byte_us = now;
	return 0;
}

/* Whether the whole answer is that to this request. */
static bool is_own_answer(const struct flow_send *s,
			  const struct http_answer *ans)
{
	const char *id = http_answer_header(ans, "X-Request-Id");

	/* http_call() has compared the length with the body. */
	return id && !strcmp(id, s->job->id) &&
	       http_answer_header(ans, "Content-Length");
}

static enum flow_outcome outcome_of_answer(const struct flow_send *s,
					   const struct http_answer *ans)
{
	const char *not_run = http_answer_header(ans, "X-Not-Run");

	if (!is_own_answer(s, ans))
		return FLOW_OUTCOME_LOST;
	if (ans->status == 503 && not_run && !strcasecmp(not_run, "true"))
		return FLOW_OUTCOME_REFUSED;
	return ans->status == 200 ? FLOW_OUTCOME_OK : FLOW_OUTCOME_FAILED;
}

static enum flow_outcome outcome_of_error(const struct error *err)
{
	switch ((enum http_error)err->code) {
	case HTTP_NOT_SENT:
		return FLOW_OUTCOME_NOT_SENT;
	case HTTP_TIMEOUT:
		return FLOW_OUTCOME_TIMEOUT;
	case HTTP_SENT:
	case HTTP_TRUNCATED:
	case HTTP_TOO_LARGE:
		break;
	}
	return FLOW_OUTCOME_LOST;
}

/* Calls the runner. */
static enum flow_outcome call_runner(struct flow_send *s,
				     const struct flow_address *row,
				     struct http_answer *ans)
{
	struct flow_job *job = s->job;
	uint64_t now = clock_now_us();
	char headers[256];
	struct error err;
	struct http_request req = {
		.method = "POST",
		.path = "/run",
		.headers = headers,
		.body = job->body,
		.body_len = job->body_len,
		.max_answer_bytes = ANSWER_MAX_BYTES,
		.before_send = before_send,
		.before_send_arg = s,
		.max_connections = s->action.connections,
		.cancel = &s->cancel,
	};

	if (now >= job->deadline_us)
		return FLOW_OUTCOME_NOT_SENT;
	req.timeout_us = s->action.timeout_us - now;
	snprintf(headers, sizeof(headers),
		 "X-Request-Id: %s\r\nX-Kind: %s\r\n"
		 "Content-Type: application/octet-stream\r\n",
		 job->id, job->kind);
	if (http_call(s->svc->http, row->address.host, row->address.port, &req,
		      ans, &err) < 0) {
		log_event(LOG_INFO, "attempt-failed",
			  "request=%s target=%s error=\"%s\"", job->id, row->id,
			  err.message);
		return outcome_of_error(&err);
	}
	return outcome_of_answer(s, ans);
}

/* Posts the result and hands the answer over when it is the one to return. */
static void post_result(struct flow_send *s, enum flow_outcome outcome,
			struct http_answer *ans, uint64_t service_us)
{
	struct flow_svc *f = s->svc;
	uint32_t handle = s->action.handle;
	struct flow_entry *entry = &f->entries[handle];
	struct flow_event e = { .type = FLOW_RESULT };
	bool was_decided;

	e.result.handle = handle;
	e.result.target = s->action.target;
	e.result.attempt = s->action.attempt;
	e.result.outcome = outcome;
	e.result.service_us = service_us;
	pthread_mutex_lock(&f->lock);
	entry->attempts--;
	f->attempts_at[s->action.target]--;
	if (s->first_byte_us && outcome != FLOW_OUTCOME_NOT_SENT &&
	    outcome != FLOW_OUTCOME_REFUSED)
		entry->may_have_run = true;
	if (s->first_byte_us)
		atomic_fetch_sub(&s->job->sending, 1);
	was_decided = entry->decided;
	flow_post(f, &e);
	if (!was_decided && entry->decided &&
	    entry->final.type == FLOW_FINISH &&
	    entry->final.attempt == s->action.attempt) {
		entry->status = ans->status;
		entry->body = ans->body;
		memset(&ans->body, 0, sizeof(ans->body));
	}
	flow_entry_release(f, handle);
	pthread_mutex_unlock(&f->lock);
}

/* Logs the routing decision, calls the runner and posts the result. */
static void run_attempt(struct flow_send *s)
{
	struct flow_svc *f = s->svc;
	const struct flow_action *a = &s->action;
	struct flow_address row, other = { .id = "-" };
	struct http_answer ans = { 0 };
	enum flow_outcome outcome = FLOW_OUTCOME_NOT_SENT;
	uint64_t service_us = 0;

	flow_target_row(f, a->passed_over, &other);
	if (flow_target_row(f, a->target, &row) == 0) {
		log_event(LOG_INFO, "route",
			  "request=%s user=%s kind=%s team=%s attempt=%u "
			  "hedge=%d target=%s passed-over=%s why=%s "
			  "queued-us=%llu revision=%llu",
			  s->job->id, s->job->user, s->job->kind, s->job->team,
			  a->attempt, a->hedge, row.id, other.id,
			  flow_choice_reason_name(a->choice_reason),
			  (unsigned long long)a->queued_us,
			  (unsigned long long)s->job->revision);
		counter_add(f->counters.sends, 1);
		counter_add(f->counters.hedges, a->hedge);
		outcome = call_runner(s, &row, &ans);
	}
	if (s->first_byte_us)
		service_us = clock_now_us() - s->first_byte_us;
	counter_add(f->counters.outcome[outcome], 1);
	post_result(s, outcome, &ans, service_us);
	http_answer_free(&ans);
	flow_job_release(s->job);
}

/* ---- status probes ---- */

void flow_io_ask(struct flow_svc *f, const struct flow_action *a)
{
	struct probe *p = xcalloc(1, sizeof(*p));

	p->svc = f;
	p->target = a->target;
	p->connections = a->connections;
	f->attempts_at[a->target]++;
	/* The core asks again when an answer stays away. */
	if (io_pool_submit(f->probe_pool, run_probe, p) < 0) {
		f->attempts_at[a->target]--;
		free(p);
	}
}

/* Reads the runner's own report into the event. */
static void read_status(const struct http_answer *ans, struct flow_event *e)
{
	json_t *root = json_loadb(ans->body.data ? ans->body.data : "",
				  ans->body.len, 0, NULL);
	json_t *busy = json_object_get(root, "busy");

	if (ans->status == 200 && json_is_integer(busy)) {
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
		.max_answer_bytes = STATUS_MAX_BYTES,
		.max_connections = p->connections,
	};
	struct http_answer ans;
	struct flow_address row;
	struct error err;

	e.probe.target = p->target;
	e.probe.sampled_us = clock_now_us();
	rcu_register_thread();
	if (flow_target_row(f, p->target, &row) == 0 &&
	    http_call(f->http, row.address.host, row.address.port, &req, &ans,
		      &err) == 0) {
		read_status(&ans, &e);
		http_answer_free(&ans);
	}
	rcu_unregister_thread();
	counter_add(f->counters.probes, 1);
	pthread_mutex_lock(&f->lock);
	f->attempts_at[p->target]--;
	flow_post(f, &e);
	pthread_mutex_unlock(&f->lock);
	free(p);
}
