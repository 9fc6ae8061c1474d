/*
 * Runs random sequences of events and checks invariants after each event.
 * WAXWING_SEED sets the first seed, WAXWING_RUNS the number of sequences.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "share.h"
#include "support-flow.h"
#include "support-unit.h"

#define HANDLES 24
#define TARGETS 5
#define KINDS 3
#define TRACE_OPS 300
#define RUNS_DEFAULT 4000
#define REQUEST_ATTEMPTS_MAX 40

enum op_type {
	OP_REQUEST,
	OP_RESULT,
	OP_TICK,
	OP_TARGET,
	OP_GONE,
	OP_PROBE,
	OP_SEAT,
	OP_POLICY,
	OP_CANCEL,
	OP_UNKNOWN_RESULT,
	OP_TYPES
};

/*
 * A random event. Its operands are mapped to the state when it is executed, so
 * that a trace stays valid when events are removed from it.
 */
struct op {
	enum op_type type;
	uint32_t a, b, c;
	uint32_t step_us;
};

struct attempt {
	struct flow_action action;
	bool running;
	bool counted_in_kind; /* in the core's running count of the kind */
};

struct request {
	bool used;
	bool ended;
	bool idempotent;
	bool may_have_run;
	bool queued;
	int kind; /* index into kind_names */
	uint64_t deadline_us;
	int sends;
	struct attempt attempts[REQUEST_ATTEMPTS_MAX];
};

struct target {
	bool present, leaving, draining, probed;
	uint32_t slots;
	uint32_t running_attempts;
	uint32_t consecutive_failures;
	uint32_t abandoned; /* timed out or lost, may still run */
	uint64_t last_abandoned_us;
};

struct model {
	struct flow_fixture fx;
	struct request requests[HANDLES];
	struct target targets[TARGETS];
	struct share_split split;
	const struct sheet *sheet;
	uint32_t running[KINDS];
	uint64_t first_sends, sends;
	enum flow_outcome last_outcome; /* of the last result posted */
	char violation[160];
};

static const char *const kind_names[KINDS] = { "a", "b", "c" };
static struct sheet_kind kinds_full[] = {
	{ .user = "u", .name = "a", .share_percent = 40 },
	{ .user = "u",
	  .name = "b",
	  .share_percent = 20,
	  .priority = URGENCY_NORMAL },
	{ .user = "u", .name = "c", .priority = URGENCY_DEFERRABLE },
};
static struct sheet_kind kinds_reduced[] = {
	{ .user = "u",
	  .name = "b",
	  .share_percent = 60,
	  .priority = URGENCY_NORMAL },
	{ .user = "u", .name = "a", .share_percent = 10 },
};
static const struct sheet sheet_full = { .kinds = kinds_full, .kind_count = 3 };
static const struct sheet sheet_reduced = { .kinds = kinds_reduced,
					    .kind_count = 2 };

static void fail(struct model *m, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void fail(struct model *m, const char *fmt, ...)
{
	va_list ap;

	if (m->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(m->violation, sizeof(m->violation), fmt, ap);
	va_end(ap);
}

static const struct sheet_kind *find_kind(const struct model *m, int kind)
{
	for (size_t i = 0; i < m->sheet->kind_count; i++)
		if (!strcmp(m->sheet->kinds[i].name, kind_names[kind]))
			return &m->sheet->kinds[i];
	return NULL;
}

static bool below_guarantee(const struct model *m, int kind, uint32_t capacity)
{
	const struct sheet_kind *k = find_kind(m, kind);

	return k && m->running[kind] < k->share_percent / 100.0 * capacity;
}

/* A kind at its guarantee must not be sent before one below its guarantee. */
static void check_guarantees(struct model *m, const struct request *r)
{
	struct flow_totals t;

	flow_totals(m->fx.flow, &t);
	if (below_guarantee(m, r->kind, t.capacity))
		return;
	for (int i = 0; i < HANDLES; i++) {
		const struct request *other = &m->requests[i];

		if (other->used && other->queued && other->kind != r->kind &&
		    below_guarantee(m, other->kind, t.capacity))
			fail(m, "kind %s sent before kind %s",
			     kind_names[r->kind], kind_names[other->kind]);
	}
}

static void check_target(struct model *m, uint32_t target)
{
	struct target *t = &m->targets[target];
	uint32_t own = share_count_slots(&m->split, target * 7u, t->slots);

	if (!t->present || t->leaving || t->draining)
		fail(m, "sent to unavailable target %u", target);
	if (t->running_attempts + t->abandoned >= own)
		fail(m, "target %u exceeds its %u own slots", target, own);
	if (t->consecutive_failures >= 3 && !t->probed)
		fail(m, "sent to target %u with an open breaker", target);
	if (t->consecutive_failures >= 3 && t->running_attempts > 0)
		fail(m, "more than one trial request at target %u", target);
}

static void on_send(struct model *m, const struct flow_action *a)
{
	struct request *r = &m->requests[a->handle];

	if (!r->used || r->ended)
		fail(m, "request %u sent after it ended", a->handle);
	if (m->fx.now_us >= r->deadline_us)
		fail(m, "request %u sent after its deadline", a->handle);
	if (!r->idempotent && r->may_have_run)
		fail(m, "non-idempotent request %u sent again", a->handle);
	for (int i = 0; i < r->sends; i++)
		if (r->attempts[i].running &&
		    (!r->idempotent ||
		     r->attempts[i].action.target == a->target))
			fail(m, "request %u sent while it runs", a->handle);
	check_target(m, a->target);
	if (!a->hedge)
		check_guarantees(m, r);
	m->first_sends += r->sends == 0;
	m->sends++;
	if (m->sends * 10 > m->first_sends * 11)
		fail(m, "over budget: %" PRIu64 " sends, %" PRIu64 " requests",
		     m->sends, m->first_sends);
	if (r->sends == REQUEST_ATTEMPTS_MAX) {
		fail(m, "too many attempts of request %u", a->handle);
		return;
	}
	r->attempts[r->sends].action = *a;
	r->attempts[r->sends].running = true;
	r->attempts[r->sends].counted_in_kind = true;
	r->sends++;
	r->queued = false;
	m->targets[a->target].running_attempts++;
	m->running[r->kind]++;
}

static bool is_running(const struct request *r)
{
	for (int i = 0; i < r->sends; i++)
		if (r->attempts[i].running)
			return true;
	return false;
}

static void on_end(struct model *m, const struct flow_action *a)
{
	struct request *r = &m->requests[a->handle];

	if (!r->used || r->ended)
		fail(m, "request %u ended twice", a->handle);
	if (a->type == FLOW_REFUSE && (r->may_have_run || is_running(r)))
		fail(m, "request %u refused but may have run", a->handle);
	if (a->type == FLOW_FINISH && !r->may_have_run && !is_running(r))
		fail(m, "request %u finished without being sent", a->handle);
	if (a->type == FLOW_FINISH &&
	    (a->outcome == FLOW_OUTCOME_OK ||
	     a->outcome == FLOW_OUTCOME_FAILED) &&
	    a->outcome != m->last_outcome)
		fail(m, "request %u finished with a wrong outcome", a->handle);
	r->ended = true;
	r->queued = false;
	if (!is_running(r))
		r->used = false;
}

static void check_actions(struct model *m)
{
	struct flow_totals t;
	uint32_t queued = 0;

	for (size_t i = 0; i < m->fx.actions.count; i++) {
		const struct flow_action *a = &m->fx.actions.items[i];

		if (a->type == FLOW_SEND)
			on_send(m, a);
		else if (a->type != FLOW_SEND_PROBE)
			on_end(m, a);
	}
	for (int i = 0; i < HANDLES; i++)
		queued += m->requests[i].used && m->requests[i].queued;
	flow_totals(m->fx.flow, &t);
	if (queued != t.queued)
		fail(m, "%u queued, the core counts %u", queued, t.queued);
}

/* ---- events ---- */

static void do_request(struct model *m, const struct op *op)
{
	uint32_t handle = op->a % HANDLES;
	struct request *r = &m->requests[handle];
	const struct sheet_kind *k = find_kind(m, (int)(op->b % KINDS));

	if (r->used || !k)
		return;
	memset(r, 0, sizeof(*r));
	r->used = true;
	r->queued = true;
	r->kind = (int)(op->b % KINDS);
	r->idempotent = op->c % 4 != 0;
	r->deadline_us = m->fx.now_us + 1000 + op->c % 3000000;
	fixture_request(&m->fx, handle, (int32_t)(k - m->sheet->kinds),
			r->idempotent, r->deadline_us - m->fx.now_us);
}

/* Returns the n-th running attempt, modulo their number, or NULL. */
static struct attempt *pick_attempt(struct model *m, uint32_t n,
				    struct request **r)
{
	uint32_t count = 0;

	for (int pass = 0; pass < 2; pass++) {
		uint32_t seen = 0;

		for (int i = 0; i < HANDLES; i++)
			for (int k = 0; k < m->requests[i].sends; k++) {
				struct attempt *a = &m->requests[i].attempts[k];

				if (!m->requests[i].used || !a->running)
					continue;
				*r = &m->requests[i];
				if (pass && seen++ == n % count)
					return a;
				count += !pass;
			}
		if (count == 0)
			return NULL;
	}
	return NULL;
}

static void do_result(struct model *m, const struct op *op)
{
	struct request *r;
	struct attempt *a = pick_attempt(m, op->a, &r);
	enum flow_outcome outcome =
		op->b % 3 ? FLOW_OUTCOME_OK : (enum flow_outcome)(op->c % 6);
	struct target *t;

	if (!a)
		return;
	t = &m->targets[a->action.target];
	a->running = false;
	t->running_attempts--;
	if (a->counted_in_kind)
		m->running[r->kind]--;
	t->consecutive_failures =
		outcome == FLOW_OUTCOME_OK ? 0 : t->consecutive_failures + 1;
	if (outcome != FLOW_OUTCOME_OK)
		t->probed = false;
	if (outcome == FLOW_OUTCOME_LOST || outcome == FLOW_OUTCOME_TIMEOUT) {
		t->abandoned++;
		t->last_abandoned_us = m->fx.now_us;
	}
	if (outcome != FLOW_OUTCOME_NOT_SENT && outcome != FLOW_OUTCOME_REFUSED)
		r->may_have_run = true;
	r->queued = !r->ended && !is_running(r);
	if (r->ended && !is_running(r))
		r->used = false;
	m->last_outcome = outcome;
	fixture_result(&m->fx, &a->action, outcome, 1 + op->c % 50000);
}

static void do_target(struct model *m, const struct op *op)
{
	uint32_t target = op->a % TARGETS;
	struct target *t = &m->targets[target];
	struct flow_event e = { .type = FLOW_TARGET };

	if (!t->present) {
		uint32_t running_attempts = t->running_attempts;

		memset(t, 0, sizeof(*t));
		t->running_attempts = running_attempts;
	}
	t->present = true;
	t->slots = op->b % 9;
	t->leaving = op->c % 8 == 0;
	e.target.target = target;
	e.target.hash = target * 7u;
	e.target.slots = t->slots;
	e.target.leaving = t->leaving;
	fixture_post(&m->fx, &e);
}

static void do_target_gone(struct model *m, const struct op *op)
{
	struct flow_event e = { .type = FLOW_TARGET_GONE };

	if (op->b % 4)
		return;
	e.target.target = op->a % TARGETS;
	m->targets[op->a % TARGETS].present = false;
	fixture_post(&m->fx, &e);
}

static void do_probe(struct model *m, const struct op *op)
{
	uint32_t target = op->a % TARGETS;
	struct target *t = &m->targets[target];
	struct flow_event e = { .type = FLOW_PROBE_RESULT };

	if (!t->present)
		return;
	e.probe.target = target;
	e.probe.busy = op->b % 9;
	e.probe.answered = op->c % 8 != 0;
	e.probe.draining = op->c % 16 == 1;
	e.probe.sampled_us = m->fx.now_us;
	if (e.probe.answered) {
		t->draining = e.probe.draining;
		if (t->abandoned > e.probe.busy &&
		    m->fx.now_us >= t->last_abandoned_us + 1000000)
			t->abandoned = e.probe.busy;
		t->probed = true;
	} else {
		t->consecutive_failures++;
	}
	fixture_post(&m->fx, &e);
}

static void do_seat(struct model *m, const struct op *op)
{
	struct flow_event e = { .type = FLOW_SEAT };

	m->split.count = 1 + op->a % 3;
	m->split.index = op->b % m->split.count;
	m->split.previous_count = op->c % 3;
	m->split.previous_index =
		m->split.previous_count ? op->b % m->split.previous_count : 0;
	e.seat.index = m->split.index;
	e.seat.count = m->split.count;
	e.seat.previous_index = m->split.previous_index;
	e.seat.previous_count = m->split.previous_count;
	fixture_post(&m->fx, &e);
}

static void do_policy(struct model *m, const struct op *op)
{
	m->sheet = op->a % 2 ? &sheet_full : &sheet_reduced;
	for (int i = 0; i < HANDLES; i++) {
		struct request *r = &m->requests[i];

		/* The core stops counting attempts of a removed kind. */
		for (int k = 0; r->used && k < r->sends; k++)
			if (r->attempts[k].running &&
			    r->attempts[k].counted_in_kind &&
			    !find_kind(m, r->kind)) {
				r->attempts[k].counted_in_kind = false;
				m->running[r->kind]--;
			}
	}
	fixture_sheet(&m->fx, m->sheet);
}

/* A request running past its deadline counts as a failure of its targets. */
static void count_late_attempts(struct model *m, const struct request *r)
{
	if (!r->used || r->ended || m->fx.now_us < r->deadline_us)
		return;
	for (int i = 0; i < r->sends; i++) {
		struct target *t = &m->targets[r->attempts[i].action.target];

		if (!r->attempts[i].running)
			continue;
		t->consecutive_failures++;
		t->probed = false;
	}
}

static void do_cancel(struct model *m, const struct op *op)
{
	struct flow_event e = { .type = FLOW_CANCEL };

	if (op->b % 4)
		return;
	e.cancel.handle = op->a % HANDLES;
	count_late_attempts(m, &m->requests[e.cancel.handle]);
	fixture_post(&m->fx, &e);
}

/* A result of no running attempt: a duplicate, or of an earlier request. */
static void do_unknown_result(struct model *m, const struct op *op)
{
	struct flow_action a = { .handle = op->a % HANDLES,
				 .target = op->b % TARGETS,
				 .attempt = 1000 + op->c };

	fixture_result(&m->fx, &a, FLOW_OUTCOME_OK, 1);
}

static void do_tick(struct model *m, const struct op *op)
{
	fixture_tick(&m->fx, op->c % 4 ? 10000 : op->c % 700000);
}

static void (*const op_handlers[OP_TYPES])(struct model *,
					   const struct op *) = {
	[OP_REQUEST] = do_request,  [OP_RESULT] = do_result,
	[OP_TICK] = do_tick,	    [OP_TARGET] = do_target,
	[OP_GONE] = do_target_gone, [OP_PROBE] = do_probe,
	[OP_SEAT] = do_seat,	    [OP_POLICY] = do_policy,
	[OP_CANCEL] = do_cancel,    [OP_UNKNOWN_RESULT] = do_unknown_result,
};

static const char *const op_names[OP_TYPES] = {
	"request", "result", "tick",   "target", "gone",
	"probe",   "seat",   "policy", "cancel", "stray",
};

/* Ends all attempts and checks that no request is left. */
static void end_all_requests(struct model *m)
{
	struct op op = { .b = 1 };
	struct flow_totals t;

	for (int i = 0; i < 1000 && !m->violation[0]; i++) {
		struct request *r;

		m->fx.actions.count = 0;
		if (pick_attempt(m, 0, &r))
			do_result(m, &op);
		else
			fixture_tick(&m->fx, 1000000);
		check_actions(m);
	}
	for (int i = 0; i < HANDLES; i++)
		if (m->requests[i].used)
			fail(m, "request %d has not ended", i);
	flow_totals(m->fx.flow, &t);
	if (t.queued || t.running)
		fail(m, "%u requests queued and %u running at the end",
		     t.queued, t.running);
}

/* Runs a trace. Returns whether an invariant was violated, and which. */
static bool run_trace(const struct op *ops, size_t count, uint64_t seed,
		      char violation[160])
{
	struct flow_options o = { .retry_budget_percent = 10,
				  .queue_limit = 8,
				  .team_bytes_limit = 1000,
				  .seed = seed };
	static struct model m;
	struct op start[] = { { .type = OP_POLICY, .a = 1 },
			      { .type = OP_SEAT, .a = 0 },
			      { .type = OP_TARGET, .b = 4, .c = 1 } };

	memset(&m, 0, sizeof(m));
	fixture_open(&m.fx, &o);
	for (size_t i = 0; i < 3 + count && !m.violation[0]; i++) {
		const struct op *op = i < 3 ? &start[i] : &ops[i - 3];

		m.fx.now_us += op->step_us;
		m.fx.actions.count = 0;
		op_handlers[op->type](&m, op);
		check_actions(&m);
	}
	end_all_requests(&m);
	fixture_close(&m.fx);
	memcpy(violation, m.violation, sizeof(m.violation));
	return m.violation[0] != '\0';
}

static void make_trace(struct op *ops, uint64_t seed)
{
	/* Requests and results are the most frequent. */
	static const enum op_type types[] = {
		OP_REQUEST, OP_REQUEST,	       OP_REQUEST, OP_REQUEST,
		OP_RESULT,  OP_RESULT,	       OP_RESULT,  OP_RESULT,
		OP_TICK,    OP_TICK,	       OP_TARGET,  OP_GONE,
		OP_PROBE,   OP_PROBE,	       OP_SEAT,	   OP_POLICY,
		OP_CANCEL,  OP_UNKNOWN_RESULT,
	};
	struct rng r = { .state = seed };

	for (int i = 0; i < TRACE_OPS; i++) {
		ops[i].type =
			types[rng_below(&r, sizeof(types) / sizeof(types[0]))];
		ops[i].a = rng_below(&r, 1u << 30);
		ops[i].b = rng_below(&r, 1u << 30);
		ops[i].c = rng_below(&r, 1u << 30);
		ops[i].step_us = rng_below(&r, 4) ? rng_below(&r, 3000) : 0;
	}
}

/* Removes successively smaller parts of a trace while it still fails. */
static size_t minimize_trace(struct op *ops, size_t count, uint64_t seed)
{
	static struct op shorter[TRACE_OPS];
	char violation[160];

	for (size_t part = count / 2; part > 0; part /= 2) {
		for (size_t at = 0; at + part <= count;) {
			memcpy(shorter, ops, at * sizeof(*ops));
			memcpy(shorter + at, ops + at + part,
			       (count - at - part) * sizeof(*ops));
			if (!run_trace(shorter, count - part, seed,
				       violation)) {
				at += part;
				continue;
			}
			count -= part;
			memcpy(ops, shorter, count * sizeof(*ops));
		}
	}
	return count;
}

static void print_failure(struct op *ops, uint64_t seed)
{
	size_t count = minimize_trace(ops, TRACE_OPS, seed);
	char violation[160];

	run_trace(ops, count, seed, violation);
	printf("\nseed %" PRIu64 ": %s, after %zu events:\n", seed, violation,
	       count);
	for (size_t i = 0; i < count; i++)
		printf("\t+%u us %s a=%u b=%u c=%u\n", ops[i].step_us,
		       op_names[ops[i].type], ops[i].a, ops[i].b, ops[i].c);
}

static uint64_t env_uint64(const char *name, uint64_t default_value)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : default_value;
}

/*
 * Guards against sends that exceed a target's own slots or go to a target that
 * is gone, requests that end twice or never, refusals of requests that may have
 * run, sends beyond the retry budget, and spare slots that are used while a
 * kind below its guarantee waits.
 */
static void test_random_orders(void)
{
	uint64_t seed = env_uint64("WAXWING_SEED", 1);
	uint64_t runs = env_uint64("WAXWING_RUNS", RUNS_DEFAULT);
	static struct op ops[TRACE_OPS];
	char violation[160];
	int failures = 0;

	printf("seeds %" PRIu64 " to %" PRIu64 " ", seed, seed + runs - 1);
	for (uint64_t i = 0; i < runs && failures == 0; i++) {
		make_trace(ops, seed + i);
		if (run_trace(ops, TRACE_OPS, seed + i, violation)) {
			failures++;
			print_failure(ops, seed + i);
		}
	}
	CU_ASSERT_EQUAL(failures, 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "random orders", test_random_orders },
	};

	return RUN_SUITE("flow-random", tests);
}
