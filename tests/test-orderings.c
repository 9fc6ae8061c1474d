#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "rng.h"
#include "support-oplog.h"
#include "support-unit.h"

/*
 * Random orderings of would-be owners, entry VMs and the store. A run is a
 * list of events made from its seed; each event picks among what is possible
 * at its turn, so that a failing list can be reduced by leaving events out.
 * TEST_SEED and TEST_RUNS choose the first seed and the number of runs.
 */

#define EVENTS 500
#define ENTRIES 4
#define KEYS 5
#define REQUESTS 512
#define DEFAULT_SEED 1u
#define DEFAULT_RUNS 6000u

enum event_type {
	EV_EFFECT,    /* a call takes effect in the store */
	EV_ANSWER,    /* a call that took effect is answered */
	EV_SERVE,     /* both at once */
	EV_LOSE,      /* the answer is lost; the effect may still come */
	EV_UNSENT,    /* the call never left */
	EV_TIME,      /* time passes for all; a node without events is paused */
	EV_TICK,      /* a node looks at the time */
	EV_LEASE,     /* the lease goes to a node, whoever had it */
	EV_NOTICE,    /* a node learns that it lost the lease */
	EV_KILL,      /* a node ends and starts again */
	EV_DRAIN,     /* a node drains, ends and starts again */
	EV_HAND_OVER, /* a node gives the shard away and goes on */
	EV_APPEND,    /* a node appends a probe entry */
	EV_CLAIM,     /* an entry VM claims a key, or asks again */
	EV_RUN,	      /* a granted request ends */
	EV_GIVE_UP,   /* a request's deadline passes before a grant */
	EV_REPORT,    /* an entry VM reports the end, perhaps again */
	EV_REGRANT,   /* a copy of an old grant arrives */
	EV_TYPES,
};

static const struct {
	const char *name;
	uint32_t weight;
} kinds[EV_TYPES] = {
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
	REQUEST_ENDED, /* its outcome is not yet acknowledged */
	REQUEST_ACKED,
};

struct request {
	enum request_state state;
	bool was_granted;
	uint32_t key;
	uint32_t entry;
	enum claim_outcome outcome;
};

struct world {
	struct model m;
	struct request requests[REQUESTS]; /* the nonce is the index + 1 */
	uint32_t request_count;
	uint32_t holder[KEYS];	   /* request granted last, + 1 */
	uint32_t current[ENTRIES]; /* request in progress, + 1 */
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

static const char *const entry_names[ENTRIES] = { "e0", "e1", "e2", "e3" };

static struct claim_key key_of(struct world *w, uint32_t request)
{
	uint32_t k = w->requests[request].key;

	return (struct claim_key){
		.hash = { k + 100, k + 200 },
		.body_hash = 1,
		.nonce = request + 1,
	};
}

static void report(struct world *w, uint32_t request, int node,
		   enum claim_outcome outcome)
{
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = key_of(w, request),
		.entry_vm = entry_names[w->requests[request].entry],
		.outcome = outcome,
		.status = outcome == CLAIM_DONE ? 200 : 0,
		.body = "answer",
		.len = outcome == CLAIM_DONE ? 6 : 0,
		.wall_s = 1000,
	};

	model_claims_event(&w->m, node, &e);
}

/* Checks that a grant is the only one and begins to run the request. */
static void granted(struct world *w, int node, uint32_t i)
{
	struct request *r = &w->requests[i];
	uint32_t before = w->holder[r->key];

	if (r->state != REQUEST_ASKING) {
		/* As the owner service: what has ended is given back. */
		if (r->state == REQUEST_ACKED)
			report(w, i, node, CLAIM_NOT_RUN);
		return;
	}
	if (before && before != i + 1 &&
	    (w->requests[before - 1].state < REQUEST_ENDED ||
	     w->requests[before - 1].outcome != CLAIM_NOT_RUN))
		model_fail(&w->m, "key %u granted to %u and to %u", r->key,
			   before - 1, i);
	w->holder[r->key] = i + 1;
	r->state = REQUEST_GRANTED;
	r->was_granted = true;
	w->grants++;
}

static void end_request(struct world *w, uint32_t i, enum claim_outcome outcome)
{
	w->requests[i].state = REQUEST_ENDED;
	w->requests[i].outcome = outcome;
}

static void replied(struct world *w, uint32_t i, enum claim_code code)
{
	struct request *r = &w->requests[i];
	uint32_t holder = w->holder[r->key];

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
	struct world *w = m->arg;
	uint32_t i = (uint32_t)a->key.nonce - 1;

	if (a->type == CLAIMS_ACK) {
		if (w->requests[i].state == REQUEST_ENDED)
			w->requests[i].state = REQUEST_ACKED;
		if (w->current[w->requests[i].entry] == i + 1)
			w->current[w->requests[i].entry] = 0;
	} else if (a->code == CLAIM_GRANTED) {
		granted(w, node, i);
	} else {
		replied(w, i, a->code);
	}
}

/* ---- events ---- */

/* The n-th call that is in flight, and effected or not. */
static struct model_call *pick(struct world *w, uint32_t n, bool effected)
{
	uint32_t count = 0;

	for (int pass = 0; pass < 2; pass++) {
		for (int i = 0; i < MODEL_CALLS; i++) {
			struct model_call *c = &w->m.calls[i];

			if (!c->used || c->applied != effected)
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

static void answer(struct world *w, struct model_call *c,
		   enum oplog_result result)
{
	struct model_call taken = *c;

	memset(c, 0, sizeof(*c));
	if (!taken.replied)
		model_reply(&w->m, &taken, result);
	model_free_call(&taken);
}

static bool is_read(const struct model_call *c)
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

/* Tells the node "unknown", with the effect before, later or never. */
static void lose(struct world *w, const struct event *e)
{
	struct model_call *c = pick(w, e->a, e->b & 1);

	if (!c || c->replied)
		return;
	if (is_read(c) || c->applied || e->b & 2)
		answer(w, c, is_read(c) ? OPLOG_UNREACHABLE : OPLOG_UNKNOWN);
	else
		model_reply(&w->m, c, OPLOG_UNKNOWN);
}

static void give_lease(struct world *w, int node)
{
	if (w->m.nodes[node].believes_lease)
		return;
	w->m.nodes[node].believes_lease = true;
	model_event(&w->m, node, OPLOG_LEASE_GAINED);
}

static void notice(struct world *w, int node)
{
	if (!w->m.nodes[node].believes_lease)
		return;
	w->m.nodes[node].believes_lease = false;
	model_event(&w->m, node, OPLOG_LEASE_LOST);
}

/* The n-th node that takes itself for the owner, or -1. */
static int owner(struct world *w, uint32_t n)
{
	int owners[MODEL_NODES] = { 0 };
	uint32_t count = 0;

	for (int i = 0; i < MODEL_NODES; i++)
		if (oplog_is_owner(w->m.nodes[i].log))
			owners[count++] = i;
	return count ? owners[n % count] : -1;
}

static void claim(struct world *w, const struct event *e)
{
	int node = owner(w, e->b);
	uint32_t entry = e->a % ENTRIES;
	uint32_t i = w->current[entry];
	struct claims_event c = {
		.type = CLAIMS_CLAIM,
		.entry_vm = entry_names[entry],
		.deadline_us = w->m.now_us + 1000000,
		.wall_s = 1000,
	};

	if (!i) {
		if (w->request_count == REQUESTS)
			return;
		i = ++w->request_count;
		w->current[entry] = i;
		w->requests[i - 1] = (struct request){
			.key = (e->b >> 8) % KEYS,
			.entry = entry,
		};
	} else if (w->requests[i - 1].state != REQUEST_ASKING && e->b & 16) {
		return; /* else a late copy of the message arrives */
	}
	c.key = key_of(w, i - 1);
	if (node >= 0)
		model_claims_event(&w->m, node, &c);
}

static void end_running(struct world *w, const struct event *e)
{
	static const enum claim_outcome outcomes[] = {
		CLAIM_DONE,
		CLAIM_NOT_RUN,
		CLAIM_NOT_RUN,
		CLAIM_MAY_HAVE_RUN,
	};
	uint32_t i = w->current[e->a % ENTRIES];

	if (!i)
		return;
	if (e->type == EV_RUN && w->requests[i - 1].state == REQUEST_GRANTED)
		end_request(w, i - 1, outcomes[e->b % 4]);
	if (e->type == EV_GIVE_UP && w->requests[i - 1].state == REQUEST_ASKING)
		end_request(w, i - 1, CLAIM_NOT_RUN);
}

static void send_report(struct world *w, const struct event *e)
{
	uint32_t i = w->current[e->a % ENTRIES];
	int node = owner(w, e->b);

	if (i && node >= 0 && w->requests[i - 1].state == REQUEST_ENDED)
		report(w, i - 1, node, w->requests[i - 1].outcome);
}

static void regrant(struct world *w, const struct event *e)
{
	uint32_t i = w->request_count ? e->a % w->request_count : 0;

	if (w->requests[i].was_granted && owner(w, e->b) >= 0)
		granted(w, owner(w, e->b), i);
}

static void tick(struct world *w, int node)
{
	struct claims_event e = { .type = CLAIMS_TICK, .wall_s = 1000 };

	model_claims_event(&w->m, node, &e);
}

static void apply(struct world *w, const struct event *e)
{
	static const uint64_t steps_ms[] = { 20,     20,     20,     20,
					     100,    100,    300,    600,
					     600,    600,    1000,   3000,
					     3000,   8000,   31000,  120000,
					     290000, 400000, 660000, 20 };
	struct model_call *c;
	int node = (int)(e->a % MODEL_NODES);

	switch ((enum event_type)e->type) {
	case EV_EFFECT:
		c = pick(w, e->a, false);
		if (c)
			model_apply_call(&w->m, c);
		if (c && c->replied)
			model_free_call(c);
		break;
	case EV_ANSWER:
		c = pick(w, e->a, true);
		if (c)
			answer(w, c, c->result);
		break;
	case EV_SERVE:
		c = pick(w, e->a, false);
		if (c)
			model_apply_call(&w->m, c);
		if (c)
			answer(w, c, c->result);
		break;
	case EV_LOSE:
		lose(w, e);
		break;
	case EV_UNSENT:
		c = pick(w, e->a, false);
		if (c && !c->replied)
			answer(w, c, OPLOG_UNREACHABLE);
		break;
	case EV_TIME:
		w->m.now_us += 1000 * steps_ms[e->a % 20];
		break;
	case EV_TICK:
		tick(w, node);
		break;
	case EV_LEASE:
		give_lease(w, node);
		break;
	case EV_NOTICE:
		notice(w, node);
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
		if (owner(w, e->a) >= 0)
			model_append(&w->m, owner(w, e->a));
		break;
	case EV_CLAIM:
		claim(w, e);
		break;
	case EV_RUN:
	case EV_GIVE_UP:
		end_running(w, e);
		break;
	case EV_REPORT:
		send_report(w, e);
		break;
	case EV_REGRANT:
		regrant(w, e);
		break;
	case EV_TYPES:
		break;
	}
}

static uint32_t make_events(uint64_t seed, struct event *out)
{
	struct rng rng = { seed };
	uint32_t sum = 0;

	for (int i = 0; i < EV_TYPES; i++)
		sum += kinds[i].weight;
	for (uint32_t n = 0; n < EVENTS; n++) {
		uint32_t x = rng_below(&rng, sum);
		uint8_t type = 0;

		while (x >= kinds[type].weight)
			x -= kinds[type++].weight;
		out[n].type = type;
		out[n].a = rng_below(&rng, 1u << 20);
		out[n].b = rng_below(&rng, 1u << 20);
	}
	return EVENTS;
}

/* Runs the events; false when an invariant broke, with its text copied. */
static bool run(uint64_t seed, const struct event *events, uint32_t count,
		char failure[256], struct totals *t)
{
	static struct world w;

	memset(&w, 0, sizeof(w));
	model_init(&w.m, seed);
	/* Low, so that snapshots and deletions happen in a short run. */
	w.m.snapshot_records = 3 + (uint32_t)(seed % 8);
	for (int i = 0; i < MODEL_NODES; i++)
		model_restart(&w.m, i);
	w.m.on_claims = on_claims;
	w.m.arg = &w;
	for (uint32_t i = 0; i < count && !w.m.failure[0]; i++) {
		apply(&w, &events[i]);
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

/* Leaves out ever smaller runs of events while the failure stays. */
static uint32_t reduce(uint64_t seed, struct event *events, uint32_t count)
{
	static struct event shorter[EVENTS];
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
			if (run(seed, shorter, left, failure, &t)) {
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

	count = reduce(seed, events, count);
	run(seed, events, count, failure, &t);
	printf("seed=%llu failure=\"%s\" events=%u\n", (unsigned long long)seed,
	       failure, count);
	for (uint32_t i = 0; i < count; i++)
		printf("  %s %u %u\n", kinds[events[i].type].name, events[i].a,
		       events[i].b);
}

static uint64_t from_environment(const char *name, uint64_t otherwise)
{
	const char *text = getenv(name);

	return text ? strtoull(text, NULL, 10) : otherwise;
}

/*
 * Guards against a claim granted twice without a release by its holder, an
 * entry lost after it was reported durable, and a commit reported by a deposed
 * owner, in any ordering of lost answers, delays, pauses, ends and take-overs.
 */
static void test_orderings(void)
{
	static struct event events[EVENTS];
	uint64_t first = from_environment("TEST_SEED", DEFAULT_SEED);
	uint64_t runs = from_environment("TEST_RUNS", DEFAULT_RUNS);
	uint64_t start = clock_now_us(), seed;
	struct totals t = { 0 };
	char failure[256] = "";

	for (seed = first; seed < first + runs; seed++) {
		uint32_t count = make_events(seed, events);

		if (run(seed, events, count, failure, &t))
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
	/* A run in which nothing happens would pass too. */
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
