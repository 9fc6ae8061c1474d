#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "support-flow-model.h"

enum timer_type {
	TIMER_ARRIVAL,
	TIMER_CALLER_RETRY,
	TIMER_RESULT,
	TIMER_DEADLINE,
	TIMER_PROBE,
	TIMER_TICK,
	TIMER_SWAP_SPEEDS,
};

struct sim_timer {
	uint64_t at_us;
	enum timer_type type;
	uint32_t kind;
	uint32_t caller_attempt;
	enum flow_outcome outcome;
	struct flow_action action;
	uint64_t service_us;
};

struct sim_runner {
	double slowness;     /* mean service time in units of SERVICE_US */
	double failure_rate; /* fraction of requests failed at once */
	bool hangs;	     /* never responds */
	uint32_t own_slots;
	uint32_t busy;
};

struct sim_request {
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint32_t kind;
	uint32_t caller_attempt;
	uint32_t running_attempts;
	bool ended;
};

struct flow_model {
	struct flow_fixture fx;
	const struct flow_model_plan *plan;
	struct rng rng;
	struct sim_timer *heap;
	size_t heap_count;
	size_t heap_capacity;
	struct sim_runner runners[ZONE_RUNNERS];
	struct sim_request *requests;
	uint32_t *free_handles;
	uint32_t free_count;
	struct flow_model_counts counts;
};

struct sheet_kind flow_model_kinds[KINDS] = {
	{ .user = "u",
	  .name = "urgent",
	  .priority = URGENCY_URGENT,
	  .share_percent = 40 },
	{ .user = "u",
	  .name = "normal",
	  .priority = URGENCY_NORMAL,
	  .share_percent = 30 },
	{ .user = "u",
	  .name = "low",
	  .priority = URGENCY_DEFERRABLE,
	  .share_percent = 20 },
};
const struct sheet flow_model_sheet = { .kinds = flow_model_kinds,
					.kind_count = KINDS };

/* ---- simulated time ---- */

static void push_timer(struct flow_model *m, struct sim_timer t)
{
	size_t i = m->heap_count++;

	if (m->heap_count > m->heap_capacity) {
		m->heap_capacity =
			m->heap_capacity ? 2 * m->heap_capacity : 1024;
		m->heap = xrealloc(m->heap, m->heap_capacity * sizeof(t));
	}
	while (i > 0 && m->heap[(i - 1) / 2].at_us > t.at_us) {
		m->heap[i] = m->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	m->heap[i] = t;
}

static struct sim_timer pop_timer(struct flow_model *m)
{
	struct sim_timer top = m->heap[0];
	struct sim_timer last = m->heap[--m->heap_count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= m->heap_count)
			break;
		if (child + 1 < m->heap_count &&
		    m->heap[child + 1].at_us < m->heap[child].at_us)
			child++;
		if (m->heap[child].at_us >= last.at_us)
			break;
		m->heap[i] = m->heap[child];
		i = child;
	}
	m->heap[i] = last;
	return top;
}

static double exponential(struct flow_model *m, double mean)
{
	return -log(1.0 - rng_unit(&m->rng)) * mean;
}

/* ---- runners ---- */

/*
 * Log-uniform from 0.5 to 4. The set of values is fixed, so that swapping them
 * between runners does not change the capacity.
 */
static double runner_slowness(uint32_t i)
{
	return 0.5 * pow(8.0, (i + 0.5) / ZONE_RUNNERS);
}

/* Exchanges the speeds of two runners. */
static void swap_speeds(struct flow_model *m)
{
	struct sim_runner *a = &m->runners[rng_below(&m->rng, ZONE_RUNNERS)];
	struct sim_runner *b = &m->runners[rng_below(&m->rng, ZONE_RUNNERS)];
	double slowness = a->slowness;

	a->slowness = b->slowness;
	b->slowness = slowness;
}

/* Starts an attempt at its runner and schedules its result. */
static void start_attempt(struct flow_model *m, const struct flow_action *a)
{
	struct sim_runner *r = &m->runners[a->target];
	struct sim_timer t = { .type = TIMER_RESULT, .action = *a };
	uint64_t now = m->fx.now_us;
	double service = r->slowness * SERVICE_US * (0.5 + exponential(m, 0.5));

	if (r->busy >= r->own_slots)
		m->counts.slot_overruns++;
	r->busy++;
	t.outcome = FLOW_OUTCOME_OK;
	if (r->failure_rate > 0 && rng_unit(&m->rng) < r->failure_rate) {
		service = 1000;
		t.outcome = FLOW_OUTCOME_FAILED;
	}
	t.at_us = now + (uint64_t)service;
	if (r->hangs || t.at_us >= a->timeout_us) {
		t.at_us = a->timeout_us > now ? a->timeout_us : now;
		t.outcome = FLOW_OUTCOME_TIMEOUT;
	}
	t.service_us = t.at_us - now;
	push_timer(m, t);
}

/* Schedules a probe result: the load of now, reported 10 ms later. */
static void start_probe(struct flow_model *m, uint32_t target)
{
	struct sim_timer t = { .type = TIMER_PROBE,
			       .at_us = m->fx.now_us + 10 * US_PER_MS };

	t.action.target = target;
	t.service_us = m->fx.now_us;
	/* kind holds the busy count; other seats use all of their slots. */
	t.kind = m->runners[target].busy + 8 - m->runners[target].own_slots;
	push_timer(m, t);
}

/* ---- callers ---- */

static bool in_measurement(const struct flow_model *m, uint64_t at_us)
{
	return at_us >= m->plan->measure_from_us &&
	       at_us < m->plan->measure_to_us;
}

static void schedule_caller_retry(struct flow_model *m,
				  const struct sim_request *p)
{
	if (p->caller_attempt + 1 >= m->plan->caller_attempts_max)
		return;
	push_timer(m, (struct sim_timer){
			      .type = TIMER_CALLER_RETRY,
			      .at_us = m->fx.now_us + 100 * US_PER_MS,
			      .kind = p->kind,
			      .caller_attempt = p->caller_attempt + 1 });
}

static void end_request(struct flow_model *m, const struct flow_action *a)
{
	struct sim_request *p = &m->requests[a->handle];
	uint64_t latency = m->fx.now_us - p->arrived_us;
	bool ok = a->type == FLOW_FINISH && a->outcome == FLOW_OUTCOME_OK;

	p->ended = true;
	if (!ok)
		schedule_caller_retry(m, p);
	if (in_measurement(m, p->arrived_us)) {
		if (a->type == FLOW_REFUSE)
			histogram_add(&m->counts.refusal_latency, latency);
		else
			m->counts.accepted++;
		/* A failed request counts with the full deadline. */
		if (a->type == FLOW_FINISH)
			histogram_add(&m->counts.latency,
				      ok ? latency : m->plan->deadline_us);
	}
	if (ok && in_measurement(m, m->fx.now_us))
		m->counts.served[p->kind]++;
}

static void execute_actions(struct flow_model *m)
{
	for (size_t i = 0; i < m->fx.actions.count; i++) {
		const struct flow_action *a = &m->fx.actions.items[i];

		switch (a->type) {
		case FLOW_SEND:
			m->requests[a->handle].running_attempts++;
			if (in_measurement(m,
					   m->requests[a->handle].arrived_us))
				m->counts.sends++;
			start_attempt(m, a);
			break;
		case FLOW_SEND_PROBE:
			start_probe(m, a->target);
			break;
		case FLOW_FINISH:
		case FLOW_REFUSE:
			end_request(m, a);
			break;
		}
	}
	for (size_t i = 0; i < m->fx.actions.count; i++) {
		const struct flow_action *a = &m->fx.actions.items[i];

		if ((a->type == FLOW_FINISH || a->type == FLOW_REFUSE) &&
		    m->requests[a->handle].running_attempts == 0)
			m->free_handles[m->free_count++] = a->handle;
	}
}

static void start_request(struct flow_model *m, uint32_t kind,
			  uint32_t caller_attempt)
{
	uint32_t handle = m->free_handles[--m->free_count];
	struct sim_timer t = { .type = TIMER_DEADLINE };

	m->requests[handle] = (struct sim_request){
		.arrived_us = m->fx.now_us,
		.deadline_us = m->fx.now_us + m->plan->deadline_us,
		.kind = kind,
		.caller_attempt = caller_attempt,
	};
	m->counts.requests++;
	if (in_measurement(m, m->fx.now_us))
		m->counts.arrivals[kind]++;
	t.at_us = m->requests[handle].deadline_us;
	t.action.handle = handle;
	t.service_us = m->fx.now_us;
	push_timer(m, t);
	fixture_request(&m->fx, handle, (int32_t)kind, true,
			m->plan->deadline_us);
	execute_actions(m);
}

/* Cancels a request at its deadline, unless its handle was reused. */
static void on_deadline(struct flow_model *m, const struct sim_timer *t)
{
	struct flow_event e = { .type = FLOW_CANCEL };
	const struct sim_request *p = &m->requests[t->action.handle];

	if (p->ended || p->arrived_us != t->service_us)
		return;
	e.cancel.handle = t->action.handle;
	fixture_post(&m->fx, &e);
	execute_actions(m);
}

/* Returns the current arrival rate of a kind in requests per second. */
static double arrival_rate(const struct flow_model *m, uint32_t kind)
{
	const struct flow_model_plan *p = m->plan;
	uint64_t at = m->fx.now_us;

	if ((int)kind == p->flood_kind && at >= p->flood_from_us &&
	    at < p->flood_to_us)
		return p->flood_rate;
	return p->rate[kind];
}

static void schedule_arrival(struct flow_model *m, uint32_t kind)
{
	double gap = exponential(m, US_PER_SECOND / arrival_rate(m, kind));

	push_timer(m, (struct sim_timer){ .type = TIMER_ARRIVAL,
					  .kind = kind,
					  .at_us = m->fx.now_us + 1 +
						   (uint64_t)gap });
}

static void on_result(struct flow_model *m, const struct sim_timer *t)
{
	struct sim_request *p = &m->requests[t->action.handle];
	bool ended = p->ended;

	m->runners[t->action.target].busy--;
	p->running_attempts--;
	fixture_result(&m->fx, &t->action, t->outcome, t->service_us);
	if (ended && p->running_attempts == 0)
		m->free_handles[m->free_count++] = t->action.handle;
	execute_actions(m);
}

static void on_timer(struct flow_model *m, const struct sim_timer *t)
{
	switch (t->type) {
	case TIMER_ARRIVAL:
		schedule_arrival(m, t->kind);
		start_request(m, t->kind, 0);
		break;
	case TIMER_CALLER_RETRY:
		start_request(m, t->kind, t->caller_attempt);
		break;
	case TIMER_RESULT:
		on_result(m, t);
		break;
	case TIMER_DEADLINE:
		on_deadline(m, t);
		break;
	case TIMER_PROBE:
		fixture_probe(&m->fx, t->action.target, t->kind, false);
		execute_actions(m);
		break;
	case TIMER_TICK:
		push_timer(m, (struct sim_timer){ .type = TIMER_TICK,
						  .at_us = t->at_us +
							   10 * US_PER_MS });
		fixture_tick(&m->fx, 0);
		execute_actions(m);
		break;
	case TIMER_SWAP_SPEEDS:
		push_timer(m, (struct sim_timer){ .type = TIMER_SWAP_SPEEDS,
						  .at_us = t->at_us +
							   500 * US_PER_MS });
		swap_speeds(m);
		break;
	}
}

/* ---- runs ---- */

static void init_runners(struct flow_model *m)
{
	struct flow_target_info info;

	for (uint32_t i = 0; i < ZONE_RUNNERS; i++) {
		struct sim_runner *r = &m->runners[i];

		fixture_target(&m->fx, i, 8);
		flow_target_info(m->fx.flow, i, &info);
		r->own_slots = info.own_slots;
		r->slowness = m->plan->uneven_speeds ? runner_slowness(i) : 1.0;
		if (i < m->plan->failing_runners)
			r->failure_rate = m->plan->failure_rate;
		else
			r->hangs = i < m->plan->failing_runners +
					       m->plan->hanging_runners;
	}
}

static void open_model(struct flow_model *m, const struct flow_model_plan *plan,
		       uint64_t seed)
{
	struct flow_options o = plan->options;

	memset(m, 0, sizeof(*m));
	m->plan = plan;
	m->rng.state = seed;
	o.seed = seed;
	fixture_open(&m->fx, &o);
	m->fx.now_us = US_PER_SECOND;
	fixture_sheet(&m->fx, &flow_model_sheet);
	fixture_seat(&m->fx, 0, ZONE_SEATS);
	m->requests = xcalloc(HANDLES, sizeof(*m->requests));
	m->free_handles = xcalloc(HANDLES, sizeof(*m->free_handles));
	for (uint32_t i = 0; i < HANDLES; i++)
		m->free_handles[m->free_count++] = HANDLES - 1 - i;
	init_runners(m);
}

struct flow_model_counts flow_model_run(const struct flow_model_plan *plan,
					uint64_t seed)
{
	static struct flow_model m;

	open_model(&m, plan, seed);
	push_timer(&m, (struct sim_timer){ .type = TIMER_TICK,
					   .at_us = US_PER_SECOND });
	if (plan->uneven_speeds)
		push_timer(&m, (struct sim_timer){ .type = TIMER_SWAP_SPEEDS,
						   .at_us = US_PER_SECOND });
	for (uint32_t k = 0; k < KINDS; k++)
		schedule_arrival(&m, k);
	while (m.heap[0].at_us < plan->end_us) {
		struct sim_timer t = pop_timer(&m);

		m.fx.now_us = t.at_us;
		on_timer(&m, &t);
	}
	fixture_close(&m.fx);
	free(m.heap);
	free(m.requests);
	free(m.free_handles);
	return m.counts;
}

double flow_model_slots(void)
{
	struct flow_model_plan plan = { .options = { .queue_limit = 1 } };
	static struct flow_model m;
	double slots = 0;

	open_model(&m, &plan, 1);
	for (uint32_t i = 0; i < ZONE_RUNNERS; i++)
		slots += m.runners[i].own_slots;
	fixture_close(&m.fx);
	free(m.requests);
	free(m.free_handles);
	return slots;
}
