#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "rng.h"
#include "support-oplog.h"
#include "support-unit.h"

/*
 * Random orderings of the events of competing owners, entry VMs and the store.
 * A run is a list of events generated from its seed; each event picks its
 * object among those that exist at that time, so that a failing list can be
 * shrunk by removing events. TEST_SEED and TEST_RUNS set the first seed and
 * the number of runs.
 */

#define EVENTS_PER_RUN 500
#define ENTRY_VM_COUNT 4
#define KEY_COUNT 5
#define REQUESTS_MAX 512
#define DEFAULT_SEED 1u
#define DEFAULT_RUNS 6000u

enum event_type {
	EV_EFFECT,    /* a call takes effect in the store */
	EV_ANSWER,    /* the node gets the answer to such a call */
	EV_SERVE,     /* both at once */
	EV_LOSE,      /* the answer is lost; the call may still take effect */
	EV_UNSENT,    /* the call was never sent */
	EV_TIME,      /* advances the clock; a node without a tick is paused */
	EV_TICK,      /* a node gets a tick */
	EV_LEASE,     /* a node gains the lease, also while another has it */
	EV_NOTICE,    /* a node learns that it lost the lease */
	EV_KILL,      /* a node is killed and restarts */
	EV_DRAIN,     /* a node drains and restarts */
	EV_HAND_OVER, /* a node hands the shard over and keeps running */
	EV_APPEND,    /* a node appends a probe entry */
	EV_CLAIM,     /* an entry VM claims a key, or retries */
	EV_RUN,	      /* a granted request completes or fails */
	EV_GIVE_UP,   /* a request's deadline passes before a grant */
	EV_REPORT,    /* an entry VM reports a result, or retries */
	EV_REGRANT,   /* a duplicate of an old grant arrives */
	EV_TYPES,
};

static const struct {
	const char *name;
	uint32_t weight;
} event_kinds[EV_TYPES] = {
	[EV_EFFECT] = { "effect", 60 },	     [EV_ANSWER] = { "answer", 60 },
	[EV_SERVE] = { "serve", 300 },	     [EV_LOSE] = { "lose", 25 },
	[EV_UNSENT] = { "unsent", 10 },	     [EV_TIME] = { "time", 60 },
	[EV_TICK] = { "tick", 80 },	     [EV_LEASE] = { "lease", 8 },
	[EV_NOTICE] = { "notice", 8 },	     [EV_KILL] = { "kill", 3 },
	[EV_DRAIN] = { "drain", 2 },	     [EV_APPEND] = { "append", 40 },
	[EV_CLAIM] = { "claim", 120 },	     [EV_RUN] = { "run", 60 },
	[EV_GIVE_UP] = { "give-up", 10 },    [EV_REPORT] = { "report", 80 },
	[EV_HAND_OVER] = { "hand-over", 6 }, [EV_REGRANT] = { "regrant", 20 },
};

struct event {
	uint8_t type;
	uint32_t a;
	uint32_t b;
};

enum request_state {
	REQUEST_ASKING,
	REQUEST_GRANTED,
	REQUEST_ENDED, /* its result is not yet acknowledged */
	REQUEST_ACKED,
};

struct request {
	enum request_state state;
	bool was_granted;
	uint32_t key;
	uint32_t entry;
	enum claim_outcome outcome;
};

struct simulation {
	struct model m;
	struct request requests[REQUESTS_MAX]; /* the nonce is the index + 1 */
	uint32_t request_count;
	uint32_t last_granted[KEY_COUNT]; /* request granted last, + 1 */
	uint32_t current_request[ENTRY_VM_COUNT]; /* request in progress, + 1 */
	uint32_t grants;
	uint32_t replays;
};

struct totals {
	uint64_t events;
	uint64_t owned;
	uint64_t committed;
	uint64_t grants;
	uint64_t replays;
	uint64_t dropped;
	uint64_t deletions;
};

static const char *const entry_vm_names[ENTRY_VM_COUNT] = { "e0", "e1", "e2",
							    "e3" };

static struct claim_key claim_key_of(struct simulation *w, uint32_t request)
{
	uint32_t k = w->requests[request].key;

	return (struct claim_key){
		.hash = { k + 100, k + 200 },
		.body_hash = 1,
		.nonce = request + 1,
	};
}

static void report_result(struct simulation *w, uint32_t request, int node,
			  enum claim_outcome outcome)
{
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = claim_key_of(w, request),
		.entry_vm = entry_vm_names[w->requests[request].entry],
		.outcome = outcome,
		.status = outcome == CLAIM_DONE ? 200 : 0,
		.body = "answer",
		.len = outcome == CLAIM_DONE ? 6 : 0,
		.wall_s = 1000,
	};

	model_claims_event(&w->m, node, &e);
}

/* Checks that no other request holds the key, then runs the request. */
static void handle_grant(struct simulation *w, int node, uint32_t i)
{
	struct request *r = &w->requests[i];
	uint32_t previous = w->last_granted[r->key];

	if (r->state != REQUEST_ASKING) {
		/* Like the owner service, releases a grant that is too late. */
		if (r->state == REQUEST_ACKED)
			report_result(w, i, node, CLAIM_NOT_RUN);
		return;
	}
	if (previous && previous != i + 1 &&
	    (w->requests[previous - 1].state < REQUEST_ENDED ||
	     w->requests[previous - 1].outcome != CLAIM_NOT_RUN))
		model_fail(&w->m, "key %u granted to %u and to %u", r->key,
			   previous - 1, i);
	w->last_granted[r->key] = i + 1;
	r->state = REQUEST_GRANTED;
	r->was_granted = true;
	w->grants++;
}

static void end_request(struct simulation *w, uint32_t i,
			enum claim_outcome outcome)
{
	w->requests[i].state = REQUEST_ENDED;
	w->requests[i].outcome = outcome;
}

static void handle_reply(struct simulation *w, uint32_t i, enum claim_code code)
{
	struct request *r = &w->requests[i];
	uint32_t holder = w->last_granted[r->key];

	if (code == CLAIM_REPLAY) {
		w->replays++;
		if (!holder || w->requests[holder - 1].outcome != CLAIM_DONE)
			model_fail(&w->m, "key %u: replay before an answer",
				   r->key);
	}
	if (r->state == REQUEST_ASKING)
		end_request(w, i, CLAIM_NOT_RUN);
}

static void on_claims(struct model *m, int node, const struct claims_action *a)
{
	struct simulation *w = m->arg;
	uint32_t i = (uint32_t)a->key.nonce - 1;

	if (a->type == CLAIMS_ACK) {
		if (w->requests[i].state == REQUEST_ENDED)
			w->requests[i].state = REQUEST_ACKED;
		if (w->current_request[w->requests[i].entry] == i + 1)
			w->current_request[w->requests[i].entry] = 0;
	} else if (a->code == CLAIM_GRANTED) {
		handle_grant(w, node, i);
	} else {
		handle_reply(w, i, a->code);
	}
}

/* ---- events ---- */

/* Returns call n, modulo their number, of those applied or not; or NULL. */
static struct oplog_model_call *pick_call(struct simulation *w, uint32_t n,
					  bool applied)
{
	uint32_t count = 0;

	for (int pass = 0; pass < 2; pass++) {
		for (int i = 0; i < MODEL_CALLS; i++) {
			struct oplog_model_call *c = &w->m.calls[i];

			if (!c->used || c->applied != applied)
				continue;
			if (pass && !n--)
				return c;
			count += !pass;
		}
		if (!count)
			return NULL;
		n %= count;
	}
	return NULL;
}

static void answer_call(struct simulation *w, struct oplog_model_call *c,
			enum oplog_result result)
{
	struct oplog_model_call taken = *c;

	memset(c, 0, sizeof(*c));
	if (!taken.replied)
		model_reply(&w->m, &taken, result);
	model_free_call(&taken);
}

static bool is_read(const struct oplog_model_call *c)
{
	switch (c->action.type) {
	case OPLOG_READ_SNAPSHOT:
	case OPLOG_READ_PARTS:
	case OPLOG_READ_EPOCH:
	case OPLOG_READ_RECORD:
		return true;
	default:
		return false;
	}
}

/* Loses an answer; the call took effect, will do so later, or never does. */
static void lose_answer(struct simulation *w, const struct event *e)
{
	struct oplog_model_call *c = pick_call(w, e->a, e->b & 1);

	if (!c || c->replied)
		return;
	if (is_read(c) || c->applied || e->b & 2)
		answer_call(w, c,
			    is_read(c) ? OPLOG_UNREACHABLE : OPLOG_UNKNOWN);
	else
		model_reply(&w->m, c, OPLOG_UNKNOWN);
}

static void gain_lease(struct simulation *w, int node)
{
	if (w->m.nodes[node].believes_lease)
		return;
	w->m.nodes[node].believes_lease = true;
	model_event(&w->m, node, OPLOG_LEASE_GAINED);
}

static void lose_lease(struct simulation *w, int node)
{
	if (!w->m.nodes[node].believes_lease)
		return;
	w->m.nodes[node].believes_lease = false;
	model_event(&w->m, node, OPLOG_LEASE_LOST);
}

/* Returns a node that believes it is the owner, or -1. */
static int pick_owner(struct simulation *w, uint32_t n)
{
	int owners[MODEL_NODES] = { 0 };
	uint32_t count = 0;

	for (int i = 0; i < MODEL_NODES; i++)
		if (oplog_is_owner(w->m.nodes[i].log))
			owners[count++] = i;
	return count ? owners[n % count] : -1;
}

static void send_claim(struct simulation *w, const struct event *e)
{
	int node = pick_owner(w, e->b);
	uint32_t entry = e->a % ENTRY_VM_COUNT;
	uint32_t i = w->current_request[entry];
	struct claims_event c = {
		.type = CLAIMS_CLAIM,
		.entry_vm = entry_vm_names[entry],
		.deadline_us = w->m.now_us + 1000000,
		.wall_s = 1000,
	};

	if (!i) {
		if (w->request_count == REQUESTS_MAX)
			return;
		i = ++w->request_count;
		w->current_request[entry] = i;
		w->requests[i - 1] = (struct request){
			.key = (e->b >> 8) % KEY_COUNT,
			.entry = entry,
		};
	} else if (w->requests[i - 1].state != REQUEST_ASKING && e->b & 16) {
		return; /* otherwise a duplicate of the claim arrives */
	}
	c.key = claim_key_of(w, i - 1);
	if (node >= 0)
		model_claims_event(&w->m, node, &c);
}

static void end_current_request(struct simulation *w, const struct event *e)
{
	static const enum claim_outcome outcomes[] = {
		CLAIM_DONE,
		CLAIM_NOT_RUN,
		CLAIM_NOT_RUN,
		CLAIM_MAY_HAVE_RUN,
	};
	uint32_t i = w->current_request[e->a % ENTRY_VM_COUNT];

	if (!i)
		return;
	if (e->type == EV_RUN && w->requests[i - 1].state == REQUEST_GRANTED)
		end_request(w, i - 1, outcomes[e->b % 4]);
	if (e->type == EV_GIVE_UP && w->requests[i - 1].state == REQUEST_ASKING)
		end_request(w, i - 1, CLAIM_NOT_RUN);
}

static void send_result(struct simulation *w, const struct event *e)
{
	uint32_t i = w->current_request[e->a % ENTRY_VM_COUNT];
	int node = pick_owner(w, e->b);

	if (i && node >= 0 && w->requests[i - 1].state == REQUEST_ENDED)
		report_result(w, i - 1, node, w->requests[i - 1].outcome);
}

static void repeat_grant(struct simulation *w, const struct event *e)
{
	uint32_t i = w->request_count ? e->a % w->request_count : 0;

	if (w->requests[i].was_granted && pick_owner(w, e->b) >= 0)
		handle_grant(w, pick_owner(w, e->b), i);
}

static void tick(struct simulation *w, int node)
{
	struct claims_event e = { .type = CLAIMS_TICK, .wall_s = 1000 };

	model_claims_event(&w->m, node, &e);
}

static void apply_event(struct simulation *w, const struct event *e)
{
	static const uint64_t steps_ms[] = { 20,     20,     20,     20,
					     100,    100,    300,    600,
					     600,    600,    1000,   3000,
					     3000,   8000,   31000,  120000,
					     290000, 400000, 660000, 20 };
	struct oplog_model_call *c;
	int node = (int)(e->a % MODEL_NODES);

	switch ((enum event_type)e->type) {
	case EV_EFFECT:
		c = pick_call(w, e->a, false);
		if (c)
			model_apply_call(&w->m, c);
		if (c && c->replied)
			model_free_call(c);
		break;
	case EV_ANSWER:
		c = pick_call(w, e->a, true);
		if (c)
			answer_call(w, c, c->result);
		break;
	case EV_SERVE:
		c = pick_call(w, e->a, false);
		if (c)
			model_apply_call(&w->m, c);
		if (c)
			answer_call(w, c, c->result);
		break;
	case EV_LOSE:
		lose_answer(w, e);
		break;
	case EV_UNSENT:
		c = pick_call(w, e->a, false);
		if (c && !c->replied)
			answer_call(w, c, OPLOG_UNREACHABLE);
		break;
	case EV_TIME:
		w->m.now_us += 1000 * steps_ms[e->a % 20];
		break;
	case EV_TICK:
		tick(w, node);
		break;
	case EV_LEASE:
		gain_lease(w, node);
		break;
	case EV_NOTICE:
		lose_lease(w, node);
		break;
	case EV_DRAIN:
		model_event(&w->m, node, OPLOG_DRAIN);
		/* fall through */
	case EV_KILL:
		model_restart(&w->m, node);
		break;
	case EV_HAND_OVER:
		model_event(&w->m, node, OPLOG_HAND_OVER);
		break;
	case EV_APPEND:
		if (pick_owner(w, e->a) >= 0)
			model_append(&w->m, pick_owner(w, e->a));
		break;
	case EV_CLAIM:
		send_claim(w, e);
		break;
	case EV_RUN:
	case EV_GIVE_UP:
		end_current_request(w, e);
		break;
	case EV_REPORT:
		send_result(w, e);
		break;
	case EV_REGRANT:
		repeat_grant(w, e);
		break;
	case EV_TYPES:
		break;
	}
}

static uint32_t generate_events(uint64_t seed, struct event *out)
{
	struct rng rng = { seed };
	uint32_t sum = 0;

	for (int i = 0; i < EV_TYPES; i++)
		sum += event_kinds[i].weight;
	for (uint32_t n = 0; n < EVENTS_PER_RUN; n++) {
		uint32_t x = rng_below(&rng, sum);
		uint8_t type = 0;

		while (x >= event_kinds[type].weight)
			x -= event_kinds[type++].weight;
		out[n].type = type;
		out[n].a = rng_below(&rng, 1u << 20);
		out[n].b = rng_below(&rng, 1u << 20);
	}
	return EVENTS_PER_RUN;
}

/* Returns false and copies the message when an invariant is violated. */
static bool run_events(uint64_t seed, const struct event *events,
		       uint32_t count, char failure[256], struct totals *t)
{
	static struct simulation w;

	memset(&w, 0, sizeof(w));
	model_init(&w.m, seed);
	/* Low enough for snapshots and deletions in a short run. */
	w.m.snapshot_records = 3 + (uint32_t)(seed % 8);
	for (int i = 0; i < MODEL_NODES; i++)
		model_restart(&w.m, i);
	w.m.on_claims = on_claims;
	w.m.arg = &w;
	for (uint32_t i = 0; i < count && !w.m.failure[0]; i++) {
		apply_event(&w, &events[i]);
		t->events++;
	}
	t->owned += w.m.became_owner;
	t->committed += w.m.committed;
	t->grants += w.grants;
	t->replays += w.replays;
	t->dropped += w.m.stepped_down;
	for (uint32_t i = 0; i < w.m.value_count; i++)
		t->deletions += !w.m.values[i].exists;
	memcpy(failure, w.m.failure, sizeof(w.m.failure));
	model_free(&w.m);
	return !failure[0];
}

/* Removes ever smaller ranges of events as long as the run still fails. */
static uint32_t shrink_events(uint64_t seed, struct event *events,
			      uint32_t count)
{
	static struct event shorter[EVENTS_PER_RUN];
	struct totals t = { 0 };
	char failure[256];

	for (uint32_t size = count / 2; size; size /= 2) {
		uint32_t start = 0;

		while (start < count) {
			uint32_t cut =
				count - start < size ? count - start : size;
			uint32_t left = count - cut;

			memcpy(shorter, events, start * sizeof(*events));
			memcpy(shorter + start, events + start + cut,
			       (left - start) * sizeof(*events));
			if (run_events(seed, shorter, left, failure, &t)) {
				start += cut;
				continue;
			}
			memcpy(events, shorter, left * sizeof(*events));
			count = left;
		}
	}
	return count;
}

static void print_failure(uint64_t seed, struct event *events, uint32_t count)
{
	struct totals t = { 0 };
	char failure[256];

	count = shrink_events(seed, events, count);
	run_events(seed, events, count, failure, &t);
	printf("seed=%llu failure=\"%s\" events=%u\n", (unsigned long long)seed,
	       failure, count);
	for (uint32_t i = 0; i < count; i++)
		printf("  %s %u %u\n", event_kinds[events[i].type].name,
		       events[i].a, events[i].b);
}

static uint64_t env_number(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : fallback;
}

/*
 * Guards against a claim granted twice without a release by its holder, an
 * entry lost after it was reported durable, and a commit reported by a deposed
 * owner, under lost answers, delays, pauses, restarts and takeovers in any
 * order.
 */
static void test_orderings(void)
{
	static struct event events[EVENTS_PER_RUN];
	uint64_t first = env_number("TEST_SEED", DEFAULT_SEED);
	uint64_t runs = env_number("TEST_RUNS", DEFAULT_RUNS);
	uint64_t start = clock_now_us(), seed;
	struct totals t = { 0 };
	char failure[256] = "";

	for (seed = first; seed < first + runs; seed++) {
		uint32_t count = generate_events(seed, events);

		if (run_events(seed, events, count, failure, &t))
			continue;
		print_failure(seed, events, count);
		break;
	}
	printf("seed=%llu runs=%llu events=%llu owned=%llu dropped=%llu "
	       "durable=%llu grants=%llu replays=%llu deleted=%llu "
	       "runs_per_s=%llu\n",
	       (unsigned long long)first, (unsigned long long)(seed - first),
	       (unsigned long long)t.events, (unsigned long long)t.owned,
	       (unsigned long long)t.dropped, (unsigned long long)t.committed,
	       (unsigned long long)t.grants, (unsigned long long)t.replays,
	       (unsigned long long)t.deletions,
	       (unsigned long long)((seed - first) * 1000000u /
				    (clock_now_us() - start + 1)));
	CU_ASSERT_STRING_EQUAL(failure, "");
	/* The invariants also hold when nothing happens. */
	CU_ASSERT(t.owned > runs && t.grants > runs && t.replays > 0 &&
		  t.deletions > 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "orderings", test_orderings },
	};

	return RUN_SUITE("orderings", tests);
}
