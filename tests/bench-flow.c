/*
 * usage: bench-flow [-s SEED] [-n RUNS] [SCENARIO]
 * Drives the flow core with a model of runners in simulated time and prints
 * SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 * The bounds are those of docs/design.md 1.3; exit status 1 when one fails.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "buffer.h"
#include "histogram.h"
#include "support-flow.h"

#define MS 1000u
#define SECOND (1000u * MS)
#define RUNNERS 22 /* of one zone */
#define SEATS 3
#define SERVICE_US 20000.0
#define HANDLES 65536u
#define KINDS 3

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

/* What a scenario asks of the model. */
struct plan {
	struct flow_options options;
	double rate[KINDS]; /* requests per second */
	int flood_kind;	    /* -1: none */
	double flood_rate;
	uint64_t flood_from_us;
	uint64_t flood_to_us;
	uint64_t end_us;
	uint64_t deadline_us;
	uint32_t failing;    /* runners */
	double failure_rate; /* of the failing ones */
	uint32_t hanging;    /* runners */
	bool uneven;	     /* speeds differ and shift */
	uint32_t caller_tries;
	uint64_t measure_from_us;
	uint64_t measure_to_us;
};

struct counts {
	uint64_t demand[KINDS];
	uint64_t served[KINDS];
	uint64_t requests;
	uint64_t sends;
	uint64_t accepted;
	uint32_t over_slots;
	struct histogram latency;
	struct histogram refusal;
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

static struct sheet_kind kinds[KINDS] = {
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
static const struct sheet sheet = { .kinds = kinds, .kind_count = KINDS };
static bool failed;

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
	rig_policy(&m->rig, &sheet);
	rig_seat(&m->rig, 0, SEATS);
	m->pending = xcalloc(HANDLES, sizeof(*m->pending));
	m->free_handles = xcalloc(HANDLES, sizeof(*m->free_handles));
	for (uint32_t i = 0; i < HANDLES; i++)
		m->free_handles[m->free_count++] = HANDLES - 1 - i;
	make_runners(m);
}

static struct counts run(const struct plan *plan, uint64_t seed)
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

static void print_line(const char *scenario, const char *metric, double value,
		       const char *unit, double baseline, double bound,
		       bool pass, uint64_t seed)
{
	printf("%s %s %.3f %s baseline=%.3f bound=%.3f %s seed=%llu\n",
	       scenario, metric, value, unit, baseline, bound,
	       pass ? "pass" : "fail", (unsigned long long)seed);
	if (!pass)
		failed = true;
}

/* Slots of this seat, as the core counts them. */
static double own_slots(void)
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

static struct plan basic_plan(void)
{
	return (struct plan){
		.options = { .retry_budget_percent = 10, .queue_limit = 512 },
		.flood_kind = -1,
		.end_us = 62 * SECOND,
		.deadline_us = 2 * SECOND,
		.caller_tries = 1,
		.measure_from_us = 6 * SECOND,
		.measure_to_us = 60 * SECOND,
	};
}

/* Uneven, shifting speeds, one runner that fails fast, one that hangs. */
static void bench_route(uint64_t seed)
{
	struct plan plan = basic_plan();
	/* Mean speed when slowness is drawn evenly by logarithm, 0.5 to 4. */
	double mean_speed = 1.75 / log(8.0);
	double rate = 0.7 * own_slots() * (RUNNERS - 2) / RUNNERS * mean_speed *
		      SECOND / SERVICE_US;
	struct counts base, choice, c;
	double p99, p99_base, p99_choice;

	plan.uneven = true;
	plan.failing = 1;
	plan.failure_rate = 1;
	plan.hanging = 1;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = rate / KINDS;
	c = run(&plan, seed);
	plan.options.random_routing = true;
	base = run(&plan, seed);
	plan.options.random_routing = false;
	plan.options.random_choice = true;
	choice = run(&plan, seed);
	p99 = histogram_quantile(&c.latency, 0.99) / 1000.0;
	p99_base = histogram_quantile(&base.latency, 0.99) / 1000.0;
	p99_choice = histogram_quantile(&choice.latency, 0.99) / 1000.0;
	print_line("route", "p99", p99, "ms", p99_base, p99_base / 2,
		   p99 <= p99_base / 2, seed);
	/* What the choice alone adds to breaker and hedges. */
	print_line("route", "p99-choice", p99, "ms", p99_choice, p99_choice,
		   p99 <= p99_choice, seed);
	print_line("route", "over-slots", c.over_slots, "requests",
		   base.over_slots, 0, c.over_slots == 0, seed);
}

/* Smallest part of min(demand, guarantee) that another kind got. */
static double kept_share(const struct plan *plan, const struct counts *c,
			 double capacity)
{
	double seconds =
		(plan->measure_to_us - plan->measure_from_us) / (double)SECOND;
	double kept = 1.0;

	for (int k = 0; k < KINDS; k++) {
		double due = kinds[k].share_percent / 100.0 * capacity;
		double demand = c->demand[k] / seconds;

		if (k == plan->flood_kind)
			continue;
		if (demand < due)
			due = demand;
		if (c->served[k] / seconds / due < kept)
			kept = c->served[k] / seconds / due;
	}
	return kept;
}

static double goodput(const struct plan *plan, const struct counts *c,
		      double capacity)
{
	double seconds =
		(plan->measure_to_us - plan->measure_from_us) / (double)SECOND;
	uint64_t served = 0;

	for (int k = 0; k < KINDS; k++)
		served += c->served[k];
	return served / seconds / capacity;
}

/*
 * Ten times the capacity of one kind for 30 s; others ask for their share.
 * With a deep queue only the early refusal keeps the wait below the deadline.
 */
static void bench_flood(const char *name, int kind, bool deep, uint64_t seed)
{
	double capacity = own_slots() * SECOND / SERVICE_US;
	struct plan plan = basic_plan();
	struct counts base, c;
	double kept, good, refusal;

	plan.flood_kind = kind;
	plan.flood_rate = 10 * capacity;
	plan.flood_from_us = 5 * SECOND;
	plan.flood_to_us = 35 * SECOND;
	plan.measure_from_us = 5 * SECOND;
	plan.measure_to_us = 35 * SECOND;
	plan.end_us = 38 * SECOND;
	plan.deadline_us = SECOND;
	if (deep)
		plan.options.queue_limit = 8192;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.9 * kinds[k].share_percent / 100.0 * capacity;
	c = run(&plan, seed);
	plan.options.fifo_admission = true;
	base = run(&plan, seed);
	kept = kept_share(&plan, &c, capacity);
	good = goodput(&plan, &c, capacity);
	refusal = histogram_quantile(&c.refusal, 0.99) / 1000.0;
	print_line(name, deep ? "kept-share-deep" : "kept-share", 100 * kept,
		   "%", 100 * kept_share(&plan, &base, capacity), 95,
		   kept >= 0.95, seed);
	print_line(name, deep ? "goodput-deep" : "goodput", 100 * good, "%",
		   100 * goodput(&plan, &base, capacity), 90, good >= 0.9,
		   seed);
	print_line(name, deep ? "refusal-p99-deep" : "refusal-p99", refusal,
		   "ms", histogram_quantile(&base.refusal, 0.99) / 1000.0, 50,
		   refusal <= 50, seed);
}

/*
 * Some of the runners fail half of their requests, so that breakers close
 * again; callers try three times.
 */
static void bench_retry(const char *metric, uint32_t failing, uint64_t seed)
{
	double capacity = own_slots() * SECOND / SERVICE_US;
	struct plan plan = basic_plan();
	struct counts base, c;
	double ratio;

	plan.failing = failing;
	plan.failure_rate = 0.5;
	plan.caller_tries = 3;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.4 * capacity / KINDS;
	c = run(&plan, seed);
	plan.options.retry_budget_percent = 0;
	base = run(&plan, seed);
	ratio = (double)c.sends / c.accepted;
	print_line("retry", metric, ratio, "ratio",
		   (double)base.sends / base.accepted, 1.1, ratio <= 1.1, seed);
}

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e6 + ts.tv_nsec / 1e3;
}

#define DECISIONS 200000u

/* Processor time for admitting, routing and ending one request. */
static double decision_us(uint32_t targets, uint64_t seed)
{
	struct flow_options o = { .retry_budget_percent = 10,
				  .queue_limit = 512,
				  .seed = seed };
	/* Half of the own slots are in use. */
	uint32_t running = targets * 4, at = 0;
	struct flow_action *sent = xcalloc(running, sizeof(*sent));
	/* Longer than an attempt lasts here, so that none is hedged. */
	uint64_t service_us = 200 * running;
	struct flow_rig rig;
	double start;

	rig_open(&rig, &o);
	rig_policy(&rig, &sheet);
	rig_seat(&rig, 0, 1);
	for (uint32_t i = 0; i < targets; i++)
		rig_target(&rig, i, 8);
	for (uint32_t i = 0; i < running; i++) {
		rig_request(&rig, i, (int32_t)(i % KINDS), true, 10 * SECOND);
		sent[i] = *rig_find(&rig, FLOW_SEND);
	}
	start = cpu_us();
	for (uint32_t i = 0; i < DECISIONS; i++) {
		uint32_t handle = sent[at].handle;

		rig.now_us += 100;
		rig_result(&rig, &sent[at], FLOW_OK, service_us);
		if (i % 100 == 0)
			rig_tick(&rig, 0);
		rig_request(&rig, handle, (int32_t)(i % KINDS), true,
			    10 * SECOND);
		sent[at] = *rig_find(&rig, FLOW_SEND);
		at = (at + 1) % running;
	}
	start = cpu_us() - start;
	rig_close(&rig);
	free(sent);
	return start / DECISIONS;
}

/*
 * An entry VM may spend 4.2% of a core on control (1.4); at 4,000 requests a
 * second that is 10.5 us for each.
 */
static void bench_decision(uint64_t seed)
{
	static const uint32_t sizes[] = { 50, 150, 400, 1200 };
	double base = decision_us(sizes[0], seed);

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		double us = decision_us(sizes[i], seed);
		char metric[32];

		snprintf(metric, sizeof(metric), "cpu-%u-targets", sizes[i]);
		print_line("decision", metric, us, "us", base, 10.5, us <= 10.5,
			   seed);
	}
}

static bool wanted(const char *scenario, const char *name)
{
	return !scenario || !strcmp(scenario, name);
}

int main(int argc, char **argv)
{
	const char *scenario = NULL;
	uint64_t seed = 1, runs = 3;
	int opt;

	setvbuf(stdout, NULL, _IOLBF, 0);
	while ((opt = getopt(argc, argv, "s:n:")) != -1) {
		if (opt == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (opt == 'n')
			runs = strtoull(optarg, NULL, 10);
		else
			return 2;
	}
	if (optind < argc)
		scenario = argv[optind];
	for (uint64_t i = seed; i < seed + runs; i++) {
		if (wanted(scenario, "route"))
			bench_route(i);
		for (int deep = 0; deep < 2; deep++) {
			if (wanted(scenario, "flood-low"))
				bench_flood("flood-low", 2, deep, i);
			if (wanted(scenario, "flood-high"))
				bench_flood("flood-high", 0, deep, i);
		}
		if (wanted(scenario, "retry")) {
			bench_retry("sent-per-accepted", RUNNERS / 3, i);
			bench_retry("sent-per-accepted-all", RUNNERS, i);
		}
	}
	if (wanted(scenario, "decision"))
		bench_decision(seed);
	return failed;
}
