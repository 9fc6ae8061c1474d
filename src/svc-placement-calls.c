#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "svc-placement-internal.h"

/*
 * The sum must be below PLACE_CALL_MAX_US, with a margin for delays of the
 * control thread.
 */
#define SEND_WITHIN_US 1000000u
#define CALL_TIMEOUT_US 1500000u

#define POLL_INTERVAL_US 1000000u
#define POLL_CHECK_INTERVAL_S 0.2
/* Two thirds of an entry VM's limit of 12 KB/s for control traffic. */
#define USAGE_BYTES_PER_S 8000.0
#define USAGE_BURST_BYTES 60000.0

struct task_call {
	struct place_shard *shard;
	struct place_action action;
};

static void prepare_start(struct task_call *t, struct worker_call *c);
static void prepare_stop(struct task_call *t, struct worker_call *c);
static void prepare_checkpoint(struct task_call *t, struct worker_call *c);
static void prepare_throttle(struct task_call *t, struct worker_call *c);
static void prepare_renew(struct task_call *t, struct worker_call *c);
static void prepare_read(struct task_call *t, struct worker_call *c);
static void on_task_response(struct worker_call *c);
static void on_renew_response(struct worker_call *c);
static void on_read_response(struct worker_call *c);
static void on_usage_response(struct worker_call *c);
static bool same_address(const struct settings_address *a,
			 const struct settings_address *b);

static const struct {
	const char *name;
	void (*fill)(struct task_call *t, struct worker_call *c);
	worker_call_fn *done;
	bool logged; /* placement decisions, as opposed to periodic calls */
} calls[] = {
	[PLACE_START] = { "start", prepare_start, on_task_response, true },
	[PLACE_STOP] = { "stop", prepare_stop, on_task_response, true },
	[PLACE_CHECKPOINT] = { "checkpoint", prepare_checkpoint,
			       on_task_response, true },
	[PLACE_THROTTLE] = { "throttle", prepare_throttle, on_task_response,
			     true },
	[PLACE_RENEW] = { "renew", prepare_renew, on_renew_response, false },
	[PLACE_READ_TASKS] = { "read", prepare_read, on_read_response, false },
};

static const struct known_worker *find_known_worker(const struct place_shard *s,
						    const char *id)
{
	for (uint32_t i = 0; i < s->known_count; i++)
		if (!strcmp(s->known[i].id, id))
			return &s->known[i];
	return NULL;
}

static void log_decision(struct place_shard *s, const struct place_action *a)
{
	const char *name = calls[a->type].name;

	if (a->type == PLACE_START)
		placement_log_decision(s->svc, a->task,
				       "decision=%s worker=%s passed_over=%s "
				       "why=\"%s\" attempt=%u cpu_milli=%u "
				       "memory_mb=%u",
				       name, a->worker,
				       a->passed_over[0] ? a->passed_over : "-",
				       a->reason, a->attempt, a->cpu_milli,
				       a->memory_mb);
	else if (a->type == PLACE_THROTTLE)
		placement_log_decision(
			s->svc, a->task,
			"decision=%s worker=%s why=\"%s\" percent=%u", name,
			a->worker, a->reason, a->percent);
	else
		placement_log_decision(
			s->svc, a->task,
			"decision=%s worker=%s why=\"%s\" attempt=%u", name,
			a->worker, a->reason, a->attempt);
}

void placement_call_worker(struct place_shard *s, const struct place_action *a)
{
	const struct known_worker *k = find_known_worker(s, a->worker);
	struct worker_call *c = xcalloc(1, sizeof(*c));
	struct task_call *t = xcalloc(1, sizeof(*t));

	if (calls[a->type].logged && !a->cleanup)
		log_decision(s, a);
	t->shard = s;
	t->action = *a;
	snprintf(c->queue, sizeof(c->queue), "%s", a->worker);
	if (k)
		c->address = k->address;
	c->send_by_us = k ? clock_now_us() + SEND_WITHIN_US : 0;
	c->timeout_us = CALL_TIMEOUT_US;
	c->gate = &s->gate;
	c->epoch = s->epoch;
	c->done = calls[a->type].done;
	c->arg = t;
	calls[a->type].fill(t, c);
	workers_submit(s->svc->workers, c);
}

/* Sets the path of the task, or of the worker if the action has no task. */
static void set_path(struct task_call *t, struct worker_call *c,
		     const char *suffix)
{
	const struct place_action *a = &t->action;

	if (a->task[0])
		snprintf(c->path, sizeof(c->path),
			 "/workers/%s/tasks/%s%s?fence=%llu", a->worker,
			 a->task, suffix, (unsigned long long)c->epoch);
	else
		snprintf(c->path, sizeof(c->path), "/workers/%s%s?fence=%llu",
			 a->worker, suffix, (unsigned long long)c->epoch);
}

static void prepare_start(struct task_call *t, struct worker_call *c)
{
	const struct place_action *a = &t->action;
	struct buffer b = BUFFER_INIT;

	c->method = "PUT";
	set_path(t, c, "");
	buffer_printf(&b,
		      "{\"attempt\":%u,\"cpu_milli\":%u,\"memory_mb\":%u,"
		      "\"accelerators\":%u,\"lease_ms\":%u,\"checkpoint\":",
		      a->attempt, a->cpu_milli, a->memory_mb, a->accelerators,
		      PLACE_TASK_LEASE_US / 1000u);
	json_append_string(&b, a->checkpoint);
	buffer_append_str(&b, ",\"spec\":");
	json_append_string(&b, a->spec);
	buffer_append_str(&b, "}");
	c->body = buffer_detach(&b, NULL);
}

static void prepare_stop(struct task_call *t, struct worker_call *c)
{
	c->method = "DELETE";
	set_path(t, c, "");
}

static void prepare_checkpoint(struct task_call *t, struct worker_call *c)
{
	c->method = "POST";
	set_path(t, c, "/checkpoint");
}

static void prepare_throttle(struct task_call *t, struct worker_call *c)
{
	struct buffer b = BUFFER_INIT;

	c->method = "POST";
	set_path(t, c, "/throttle");
	buffer_printf(&b, "{\"percent\":%u}", t->action.percent);
	c->body = buffer_detach(&b, NULL);
}

struct id_list {
	struct buffer json;
	bool first;
};

static void append_id(void *arg, const char *task)
{
	struct id_list *l = arg;

	if (!l->first)
		buffer_append_str(&l->json, ",");
	l->first = false;
	json_append_string(&l->json, task);
}

static void prepare_renew(struct task_call *t, struct worker_call *c)
{
	struct id_list l = { .first = true };

	c->method = "POST";
	set_path(t, c, "/renew");
	buffer_printf(&l.json, "{\"lease_ms\":%u,\"tasks\":[",
		      PLACE_TASK_LEASE_US / 1000u);
	place_for_each_renewed(t->shard->place, t->action.worker, append_id,
			       &l);
	buffer_append_str(&l.json, "]}");
	c->body = buffer_detach(&l.json, NULL);
}

static void prepare_read(struct task_call *t, struct worker_call *c)
{
	c->method = "GET";
	set_path(t, c, "");
}

/* Maps the outcome of a call to a result for the core. */
static enum place_result call_result(const struct worker_call *c)
{
	if (!c->sent)
		return PLACE_RESULT_NOT_SENT;
	if (c->failed) {
		switch (c->err.code) {
		case PLATFORM_UNREACHABLE:
			return PLACE_RESULT_NOT_SENT;
		case PLATFORM_STALE_TOKEN:
			return PLACE_RESULT_STALE;
		case PLATFORM_NO_CAPACITY:
			return PLACE_RESULT_NO_CAPACITY;
		case PLATFORM_REFUSED:
			break;
		default:
			return PLACE_RESULT_UNKNOWN;
		}
	}
	switch (c->status) {
	case 200:
	case 201:
		return PLACE_RESULT_OK;
	case 404:
		return PLACE_RESULT_ABSENT;
	case 409:
		return PLACE_RESULT_STALE;
	case 507:
		return PLACE_RESULT_NO_CAPACITY;
	case 500:
		return PLACE_RESULT_FAILED;
	default:
		return PLACE_RESULT_UNKNOWN;
	}
}

/* Tells whether the shard still has the epoch in which the call was made. */
static bool is_current(const struct task_call *t, const struct worker_call *c)
{
	return t->shard->epoch && t->shard->epoch == c->epoch;
}

static const char *string_member(json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static uint32_t uint_member(json_t *o, const char *name)
{
	json_int_t v = json_integer_value(json_object_get(o, name));

	return v > 0 && v <= UINT32_MAX ? (uint32_t)v : 0;
}

/* Passes an event to the core and executes the resulting actions. */
static void step_and_execute(struct place_shard *s, const struct place_event *e)
{
	place_step(s->place, clock_now_us(), e);
	placement_execute_actions(s);
}

/* Parses a task state as reported by workers; returns false if unknown. */
static bool parse_state(const char *text, enum task_state *state)
{
	static const struct {
		const char *text;
		enum task_state state;
	} states[] = {
		{ "running", TASK_RUNNING },
		{ "done", TASK_DONE },
		{ "failed", TASK_FAILED },
		{ "expired", TASK_EVICTED },
	};

	for (size_t i = 0; i < sizeof(states) / sizeof(states[0]); i++) {
		if (strcmp(states[i].text, text) != 0)
			continue;
		*state = states[i].state;
		return true;
	}
	return false;
}

/* Handles responses to start, stop, checkpoint and throttle. */
static void on_task_response(struct worker_call *c)
{
	static const enum place_event_type events[] = {
		[PLACE_START] = PLACE_START_RESULT,
		[PLACE_STOP] = PLACE_STOP_RESULT,
		[PLACE_CHECKPOINT] = PLACE_CHECKPOINT_RESULT,
	};
	struct task_call *t = c->arg;
	const struct place_action *a = &t->action;
	struct place_event e = { .id = a->task,
				 .worker = a->worker,
				 .attempt = a->attempt,
				 .at_us = c->sent_us };
	json_t *body = NULL;

	if (a->type == PLACE_THROTTLE || !is_current(t, c))
		goto out;
	e.type = events[a->type];
	e.result = call_result(c);
	body = json_loadb(c->response.data ? c->response.data : "",
			  c->response.len, 0, NULL);
	e.checkpoint = string_member(body, "checkpoint");
	if (a->type == PLACE_CHECKPOINT && !e.checkpoint[0])
		e.checkpoint = NULL;
	if (a->type == PLACE_STOP && e.result == PLACE_RESULT_OK &&
	    parse_state(string_member(body, "state"), &e.state) &&
	    e.state != TASK_RUNNING)
		e.type = PLACE_TASK_REPORT;
	step_and_execute(t->shard, &e);
out:
	json_decref(body);
	free(t);
}

static void on_renew_response(struct worker_call *c)
{
	struct task_call *t = c->arg;
	struct place_event e = { .type = PLACE_RENEW_RESULT,
				 .id = t->action.worker,
				 .result = call_result(c),
				 .at_us = c->sent_us };
	json_t *body = NULL;
	json_t *id;
	size_t i;

	if (!is_current(t, c))
		goto out;
	step_and_execute(t->shard, &e);
	body = json_loadb(c->response.data ? c->response.data : "",
			  c->response.len, 0, NULL);
	e.type = PLACE_TASK_MISSING;
	e.worker = t->action.worker;
	json_array_foreach(json_object_get(body, "missing"), i, id)
	{
		e.id = json_string_value(id);
		if (e.id && e.result == PLACE_RESULT_OK)
			step_and_execute(t->shard, &e);
	}
out:
	json_decref(body);
	free(t);
}

/* Reports a worker's tasks to the core; returns false if there is no array. */
static bool report_tasks(struct place_shard *s, const char *worker, json_t *o,
			 uint64_t sent_us, bool read)
{
	json_t *tasks = json_object_get(o, "tasks");
	json_t *item;
	size_t i;

	if (!json_is_array(tasks))
		return false;
	json_array_foreach(tasks, i, item)
	{
		struct place_event e = {
			.type = PLACE_TASK_REPORT,
			.id = string_member(item, "id"),
			.worker = worker,
			.checkpoint = string_member(item, "checkpoint"),
			.attempt = uint_member(item, "attempt"),
			.at_us = sent_us,
			.from_read = read,
		};

		if (parse_state(string_member(item, "state"), &e.state))
			place_step(s->place, clock_now_us(), &e);
	}
	return true;
}

static void on_read_response(struct worker_call *c)
{
	struct task_call *t = c->arg;
	struct place_event e = { .type = PLACE_READ_TASKS_RESULT,
				 .id = t->action.worker,
				 .result = call_result(c),
				 .at_us = c->sent_us };
	json_t *body = NULL;

	if (!is_current(t, c))
		goto out;
	body = json_loadb(c->response.data ? c->response.data : "",
			  c->response.len, 0, NULL);
	if (e.result == PLACE_RESULT_OK &&
	    !report_tasks(t->shard, t->action.worker, body, c->sent_us, true))
		e.result = PLACE_RESULT_UNKNOWN;
	step_and_execute(t->shard, &e);
out:
	json_decref(body);
	free(t);
}

/* Reports the usage of a worker's tasks and of the worker to the core. */
static void report_usage(struct place_shard *s, json_t *worker, uint64_t at_us)
{
	const char *id = string_member(worker, "id");
	struct place_event e = { .at_us = at_us };
	json_t *item;
	size_t i;

	report_tasks(s, id, worker, at_us, false);
	json_array_foreach(json_object_get(worker, "tasks"), i, item)
	{
		json_t *progress = json_object_get(item, "progress");

		e.type = PLACE_USAGE;
		e.id = string_member(item, "id");
		e.worker = id;
		e.attempt = uint_member(item, "attempt");
		e.cpu_milli = uint_member(item, "cpu_milli");
		e.memory_mb = uint_member(item, "memory_mb");
		e.latency_p99_us = uint_member(item, "latency_p99_us");
		e.progress = (uint32_t)(1000 * json_number_value(progress));
		place_step(s->place, clock_now_us(), &e);
	}
	e.type = PLACE_WORKER_USAGE;
	e.id = id;
	e.cpu_milli = uint_member(worker, "cpu_milli");
	e.memory_mb = uint_member(worker, "memory_mb");
	place_step(s->place, clock_now_us(), &e);
}

static void on_usage_response(struct worker_call *c)
{
	struct place_shard *s = c->arg;
	json_t *body = NULL;
	json_t *worker;
	uint64_t at_us;
	size_t i;

	for (i = 0; i < s->known_count; i++) {
		if (!same_address(&s->known[i].address, &c->address))
			continue;
		s->known[i].polling = false;
		s->known[i].usage_response_bytes = (double)c->response.len;
	}
	if (!s->epoch || s->epoch != c->epoch ||
	    call_result(c) != PLACE_RESULT_OK)
		return;
	body = json_loadb(c->response.data, c->response.len, 0, NULL);
	/* The worker's clock is only used to order its own samples. */
	at_us = (uint64_t)json_integer_value(json_object_get(body, "at_ms")) *
		1000u;
	json_array_foreach(json_object_get(body, "workers"), i, worker)
		report_usage(s, worker, at_us);
	json_decref(body);
	placement_execute_actions(s);
}

static bool same_address(const struct settings_address *a,
			 const struct settings_address *b)
{
	return a->port == b->port && !strcmp(a->host, b->host);
}

/*
 * Returns worker n if it can be polled, or NULL. Workers with the same address
 * are polled together, by the first of them.
 */
static struct known_worker *get_pollable_worker(struct place_shard *s,
						uint32_t n)
{
	struct known_worker *k = &s->known[n];

	if (!k->present || k->polling)
		return NULL;
	for (uint32_t i = 0; i < n; i++)
		if (s->known[i].present &&
		    same_address(&s->known[i].address, &k->address))
			return NULL;
	return k;
}

static void poll_address(struct place_shard *s, struct known_worker *k)
{
	struct worker_call *c = xcalloc(1, sizeof(*c));

	snprintf(c->queue, sizeof(c->queue), "usage:%s:%u", k->address.host,
		 k->address.port);
	c->address = k->address;
	c->method = "GET";
	snprintf(c->path, sizeof(c->path), "/usage");
	c->send_by_us = clock_now_us() + SEND_WITHIN_US;
	c->timeout_us = CALL_TIMEOUT_US;
	c->gate = &s->gate;
	c->epoch = s->epoch;
	c->done = on_usage_response;
	c->arg = s;
	k->polling = true;
	k->polled_us = clock_now_us();
	workers_submit(s->svc->workers, c);
}

/*
 * Polls each address at most once per POLL_INTERVAL_US, the least recently
 * polled first, while the budget for responses lasts.
 */
void placement_poll_usage(struct place_shard *s)
{
	uint64_t now_us = clock_now_us();
	double passed = (double)(now_us - s->usage_checked_us) / 1e6;

	if (passed < POLL_CHECK_INTERVAL_S)
		return;
	s->usage_checked_us = now_us;
	s->usage_budget_bytes += passed * USAGE_BYTES_PER_S;
	if (s->usage_budget_bytes > USAGE_BURST_BYTES)
		s->usage_budget_bytes = USAGE_BURST_BYTES;
	while (s->usage_budget_bytes > 0) {
		struct known_worker *next = NULL;

		for (uint32_t i = 0; i < s->known_count; i++) {
			struct known_worker *k = get_pollable_worker(s, i);

			if (k && now_us - k->polled_us >= POLL_INTERVAL_US &&
			    (!next || k->polled_us < next->polled_us))
				next = k;
		}
		if (!next)
			return;
		/* Charges the size of the previous response as an estimate. */
		s->usage_budget_bytes -= next->usage_response_bytes;
		poll_address(s, next);
	}
}
