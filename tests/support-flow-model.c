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
	TIMER_SHIFT,
};

struct timer {
	uint64_t at_us;
	enum timer_type type;
	uint32_t kind;
	uint32_t tries;
	enum flow_outcome outcome;
	struct flow_action action;
	uint64_t service_us;
};

struct runner {
	double slowness; /* 1: serves in SERVICE_US on average */
	double failing;	 /* part of the requests answered by an error at once */
	bool hangs;	 /* never answers */
	uint32_t own;
	uint32_t busy;
};

struct pending {
	uint64_t arrived_us;
	uint64_t deadline_us;
	uint32_t kind;
	uint32_t tries;
	uint32_t out;
	bool ended;
};

struct model {
	struct flow_rig rig;
	const struct plan *plan;
	struct rng rng;
	struct timer *heap;
	size_t heap_count;
	size_t heap_room;
	struct runner runners[RUNNERS];
	struct pending *pending;
	uint32_t *free_handles;
	uint32_t free_count;
	struct counts counts;
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

static void push_timer(struct model *m, struct timer t)
{
	size_t i = m->heap_count++;

	if (m->heap_count > m->heap_room) {
		m->heap_room = m->heap_room ? 2 * m->heap_room : 1024;
		m->heap = xrealloc(m->heap, m->heap_room * sizeof(t));
	}
	while (i > 0 && m->heap[(i - 1) / 2].at_us > t.at_us) {
		m->heap[i] = m->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	m->heap[i] = t;
}

static struct timer pop_timer(struct model *m)
{
	struct timer top = m->heap[0];
	struct timer last = m->heap[--m->heap_count];
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

static double exponential(struct model *m, double mean)
{
	return -log(1.0 - rng_unit(&m->rng)) * mean;
}

/* ---- runners ---- */

/*
 * Speeds from twice as fast to four times as slow, evenly by logarithm. The
 * set is fixed, so that shifts do not change the capacity.
 */
static double slowness_of(uint32_t i)
{
	return 0.5 * pow(8.0, (i + 0.5) / RUNNERS);
}

/* Exchanges the speeds of two runners. */
static void shift_speeds(struct model *m)
{
	struct runner *a = &m->runners[rng_below(&m->rng, RUNNERS)];
	struct runner *b = &m->runners[rng_below(&m->rng, RUNNERS)];
	double slowness = a->slowness;

	a->slowness = b->slowness;
	b->slowness = slowness;
}

/* Starts an attempt at its runner and sets when and how it ends. */
static void start_attempt(struct model *m, const struct flow_action *a)
{
	struct runner *r = &m->runners[a->target];
	struct timer t = { .type = TIMER_RESULT, .action = *a };
	uint64_t now = m->rig.now_us;
	double service = r->slowness * SERVICE_US * (0.5 + exponential(m, 0.5));

	if (r->busy >= r->own)
		m->counts.over_slots++;
	r->busy++;
	t.outcome = FLOW_OK;
	if (r->failing > 0 && rng_unit(&m->rng) < r->failing) {
		service = 1000;
		t.outcome = FLOW_FAILED;
	}
	t.at_us = now + (uint64_t)service;
	if (r->hangs || t.at_us >= a->timeout_us) {
		t.at_us = a->timeout_us > now ? a->timeout_us : now;
		t.outcome = FLOW_TIMEOUT;
	}
	t.service_us = t.at_us - now;
	push_timer(m, t);
}

/* Answers a status probe after a delay; the report is stale by that much. */
static void start_probe(struct model *m, uint32_t target)
{
	struct timer t = { .type = TIMER_PROBE,
			   .at_us = m->rig.now_us + 10 * MS };

	t.action.target = target;
	t.service_us = m->rig.now_us;
	/* The slots of the other seats are taken as fully used. */
	t.kind = m->runners[target].busy + 8 - m->runners[target].own;
	push_timer(m, t);
}

/* ---- callers ---- */

static bool in_window(const struct model *m, uint64_t at_us)
{
	return at_us >= m->plan->measure_from_us &&
	       at_us < m->plan->measure_to_us;
}

static void caller_retries(struct model *m, const struct pending *p)
{
	if (p->tries + 1 >= m->plan->caller_tries)
		return;
	push_timer(m, (struct timer){ .type = TIMER_CALLER_RETRY,
				      .at_us = m->rig.now_us + 100 * MS,
				      .kind = p->kind,
				      .tries = p->tries + 1 });
}

static void end_request(struct model *m, const struct flow_action *a)
{
	struct pending *p = &m->pending[a->handle];
	uint64_t latency = m->rig.now_us - p->arrived_us;
	bool ok = a->type == FLOW_FINISH && a->outcome == FLOW_OK;

	p->ended = true;
	if (!ok)
		caller_retries(m, p);
	if (in_window(m, p->arrived_us)) {
		if (a->type == FLOW_REFUSE)
			histogram_add(&m->counts.refusal, latency);
		else
			m->counts.accepted++;
		/* Without a good answer the caller waited in vain. */
		if (a->type == FLOW_FINISH)
			histogram_add(&m->counts.latency,
				      ok ? latency : m->plan->deadline_us);
	}
	if (ok && in_window(m, m->rig.now_us))
		m->counts.served[p->kind]++;
}

static void execute(struct model *m)
{
	for (size_t i = 0; i < m->rig.actions.count; i++) {
		const struct flow_action *a = &m->rig.actions.items[i];

		switch (a->type) {
		case FLOW_SEND:
			m->pending[a->handle].out++;
			if (in_window(m, m->pending[a->handle].arrived_us))
				m->counts.sends++;
			start_attempt(m, a);
			break;
		case FLOW_ASK:
			start_probe(m, a->target);
			break;
		case FLOW_FINISH:
		case FLOW_REFUSE:
			end_request(m, a);
			break;
		}
	}
	for (size_t i = 0; i < m->rig.actions.count; i++) {
		const struct flow_action *a = &m->rig.actions.items[i];

		if ((a->type == FLOW_FINISH || a->type == FLOW_REFUSE) &&
		    m->pending[a->handle].out == 0)
			m->free_handles[m->free_count++] = a->handle;
	}
}

static void arrive(struct model *m, uint32_t kind, uint32_t tries)
{
	uint32_t handle = m->free_handles[--m->free_count];
	struct timer t = { .type = TIMER_DEADLINE };

	m->pending[handle] = (struct pending){
		.arrived_us = m->rig.now_us,
		.deadline_us = m->rig.now_us + m->plan->deadline_us,
		.kind = kind,
		.tries = tries,
	};
	m->counts.requests++;
	if (in_window(m, m->rig.now_us))
		m->counts.demand[kind]++;
	t.at_us = m->pending[handle].deadline_us;
	t.action.handle = handle;
	t.service_us = m->rig.now_us;
	push_timer(m, t);
	rig_request(&m->rig, handle, (int32_t)kind, true, m->plan->deadline_us);
	execute(m);
}

/* Gives up a request at its deadline, unless its handle has a new one. */
static void on_deadline(struct model *m, const struct timer *t)
{
	struct flow_event e = { .type = FLOW_CANCEL };
	const struct pending *p = &m->pending[t->action.handle];

	if (p->ended || p->arrived_us != t->service_us)
		return;
	e.cancel.handle = t->action.handle;
	rig_post(&m->rig, &e);
	execute(m);
}

/* Rate of a kind's arrivals now. */
static double rate_of(const struct model *m, uint32_t kind)
{
	const struct plan *p = m->plan;
	uint64_t at = m->rig.now_us;

	if ((int)kind == p->flood_kind && at >= p->flood_from_us &&
	    at < p->flood_to_us)
		return p->flood_rate;
	return p->rate[kind];
}

static void schedule_arrival(struct model *m, uint32_t kind)
{
	double gap = exponential(m, SECOND / rate_of(m, kind));

	push_timer(m, (struct timer){ .type = TIMER_ARRIVAL,
				      .kind = kind,
				      .at_us = m->rig.now_us + 1 +
					       (uint64_t)gap });
}

static void on_result(struct model *m, const struct timer *t)
{
	struct pending *p = &m->pending[t->action.handle];
	bool ended = p->ended;

	m->runners[t->action.target].busy--;
	p->out--;
	rig_result(&m->rig, &t->action, t->outcome, t->service_us);
	if (ended && p->out == 0)
		m->free_handles[m->free_count++] = t->action.handle;
	execute(m);
}

static void on_timer(struct model *m, const struct timer *t)
{
	switch (t->type) {
	case TIMER_ARRIVAL:
		schedule_arrival(m, t->kind);
		arrive(m, t->kind, 0);
		break;
	case TIMER_CALLER_RETRY:
		arrive(m, t->kind, t->tries);
		break;
	case TIMER_RESULT:
		on_result(m, t);
		break;
	case TIMER_DEADLINE:
		on_deadline(m, t);
		break;
	case TIMER_PROBE:
		rig_probe(&m->rig, t->action.target, t->kind, false);
		execute(m);
		break;
	case TIMER_TICK:
		push_timer(m, (struct timer){ .type = TIMER_TICK,
					      .at_us = t->at_us + 10 * MS });
		rig_tick(&m->rig, 0);
		execute(m);
		break;
	case TIMER_SHIFT:
		push_timer(m, (struct timer){ .type = TIMER_SHIFT,
					      .at_us = t->at_us + 500 * MS });
		shift_speeds(m);
		break;
	}
}

/* ---- runs ---- */

static void make_runners(struct model *m)
{
	struct flow_target_info info;

	for (uint32_t i = 0; i < RUNNERS; i++) {
		struct runner *r = &m->runners[i];

		rig_target(&m->rig, i, 8);
		flow_target_info(m->rig.flow, i, &info);
		r->own = info.own_slots;
		r->slowness = m->plan->uneven ? slowness_of(i) : 1.0;
		if (i < m->plan->failing)
			r->failing = m->plan->failure_rate;
		else
			r->hangs = i < m->plan->failing + m->plan->hanging;
	}
}

static void open_model(struct model *m, const struct plan *plan, uint64_t seed)
{
	struct flow_options o = plan->options;

	memset(m, 0, sizeof(*m));
	m->plan = plan;
	m->rng.state = seed;
	o.seed = seed;
	rig_open(&m->rig, &o);
	m->rig.now_us = SECOND;
	rig_policy(&m->rig, &flow_model_sheet);
	rig_seat(&m->rig, 0, SEATS);
	m->pending = xcalloc(HANDLES, sizeof(*m->pending));
	m->free_handles = xcalloc(HANDLES, sizeof(*m->free_handles));
	for (uint32_t i = 0; i < HANDLES; i++)
		m->free_handles[m->free_count++] = HANDLES - 1 - i;
	make_runners(m);
}

struct counts flow_model_run(const struct plan *plan, uint64_t seed)
{
	static struct model m;

	open_model(&m, plan, seed);
	push_timer(&m, (struct timer){ .type = TIMER_TICK, .at_us = SECOND });
	if (plan->uneven)
		push_timer(&m, (struct timer){ .type = TIMER_SHIFT,
					       .at_us = SECOND });
	for (uint32_t k = 0; k < KINDS; k++)
		schedule_arrival(&m, k);
	while (m.heap[0].at_us < plan->end_us) {
		struct timer t = pop_timer(&m);

		m.rig.now_us = t.at_us;
		on_timer(&m, &t);
	}
	rig_close(&m.rig);
	free(m.heap);
	free(m.pending);
	free(m.free_handles);
	return m.counts;
}

double flow_model_slots(void)
{
	struct plan plan = { .options = { .queue_limit = 1 } };
	static struct model m;
	double slots = 0;

	open_model(&m, &plan, 1);
	for (uint32_t i = 0; i < RUNNERS; i++)
		slots += m.runners[i].own;
	rig_close(&m.rig);
	free(m.pending);
	free(m.free_handles);
	return slots;
}
