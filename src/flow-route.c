#include <stdlib.h>

#include "buffer.h"
#include "flow-internal.h"

/*
 * Weight of a new sample. A quarter follows a runner that slows down within
 * about eight answers; see docs/notes/routing.md.
 */
#define LATENCY_EWMA_WEIGHT 0.25
/* An older sample says nothing about the load of now. */
#define LATENCY_MAX_AGE_US 5000000u
/* A failure counts as a latency of this, so that fast errors attract no load.
 */
#define FAILURE_LATENCY_US 1000000.0
/* Weight of a new sample in the mean latency of all targets. */
#define MEAN_LATENCY_EWMA_WEIGHT (1.0 / 32)
/*
 * Pairs that are drawn before a request waits for a better target, and the
 * multiple of the mean latency above which a target counts as slow; see
 * docs/notes/routing.md.
 */
#define CANDIDATE_PAIRS_MAX 4
#define SLOW_LATENCY_FACTOR 2.0
#define BREAKER_FAILURES 3
#define BREAKER_PAUSE_US 500000u
#define BREAKER_PAUSE_MAX_US 8000000u
/* With a probe timeout of 1 s a draining target is known within 3 s. */
#define PROBE_INTERVAL_US 1500000u
#define PROBE_RESEND_US 3000000u
/* While a split is not confirmed, an idle target is to be seen soon. */
#define PROBE_INTERVAL_UNCONFIRMED_US 250000u
/*
 * A request that was given up may run on, or arrive only then; its slot is
 * used again when a report sampled after ABANDONED_MIN_US shows that nothing
 * runs, or after ABANDONED_MAX_US when there is room even if all other seats
 * use their part.
 */
#define ABANDONED_MIN_US 1000000u
#define ABANDONED_MAX_US 30000000u

static void update_capacity(struct flow *f, uint32_t target);

void route_free(struct flow *f)
{
	free(f->targets);
	free(f->free_targets);
}

/* Makes room for a handle. */
static void grow_targets(struct flow *f, uint32_t target)
{
	uint32_t count = f->target_count ? f->target_count : 64;

	if (target < f->target_count)
		return;
	while (count <= target)
		count *= 2;
	f->targets = xrealloc(f->targets, count * sizeof(*f->targets));
	f->free_targets =
		xrealloc(f->free_targets, count * sizeof(*f->free_targets));
	for (uint32_t i = f->target_count; i < count; i++)
		f->targets[i] = (struct flow_target){ .free_index = FLOW_NONE };
	f->target_count = count;
}

static void compute_own_slots(struct flow *f, uint32_t target)
{
	struct flow_target *t = &f->targets[target];

	t->own_slots = share_count_slots(&f->split, t->hash, t->slots);
	t->own_connections =
		share_count_slots(&f->split, t->hash, t->connections);
	update_capacity(f, target);
}

void route_update_target(struct flow *f, const struct flow_event *e,
			 uint64_t now_us)
{
	uint32_t target = e->target.target;
	struct flow_target *t;

	grow_targets(f, target);
	t = &f->targets[target];
	if (!t->present) {
		uint32_t outstanding = t->outstanding;
		uint32_t free_at = t->free_index;
		uint32_t counted = t->counted_slots;

		*t = (struct flow_target){ .present = true,
					   .outstanding = outstanding,
					   .free_index = free_at,
					   .counted_slots = counted,
					   .breaker_pause_us =
						   BREAKER_PAUSE_US };
		/* The first probe is due now; later ones are spread. */
		t->probe_sent_us = now_us - PROBE_INTERVAL_US;
	}
	t->hash = e->target.hash;
	t->slots = e->target.slots;
	t->connections = e->target.connections ? e->target.connections
					       : FLOW_CONNECTIONS_DEFAULT;
	t->leaving = e->target.leaving;
	compute_own_slots(f, target);
}

void route_remove_target(struct flow *f, uint32_t target)
{
	if (target >= f->target_count)
		return;
	f->targets[target].present = false;
	update_capacity(f, target);
}

void route_apply_seat(struct flow *f, const struct flow_event *e)
{
	f->split = (struct share_split){
		.index = e->seat.index,
		.count = e->seat.count,
		.previous_index = e->seat.previous_index,
		.previous_count = e->seat.previous_count,
	};
	for (uint32_t i = 0; i < f->target_count; i++)
		if (f->targets[i].present)
			compute_own_slots(f, i);
}

/* Whether the target may get one more request now. */
static bool has_free_slot(const struct flow_target *t)
{
	uint32_t used = t->outstanding + t->abandoned;

	if (!t->present || t->leaving || t->draining)
		return false;
	if (t->breaker == FLOW_BREAKER_OPEN)
		return false;
	if (t->breaker == FLOW_BREAKER_HALF_OPEN && t->outstanding > 0)
		return false;
	return used < t->own_slots && t->outstanding < t->own_connections;
}

/* Slots that the target adds to the capacity. */
static uint32_t usable_slots(const struct flow_target *t)
{
	if (!t->present || t->leaving || t->draining)
		return 0;
	if (t->breaker == FLOW_BREAKER_CLOSED)
		return t->own_slots;
	return t->breaker == FLOW_BREAKER_HALF_OPEN && t->own_slots > 0;
}

/* Brings the list of free targets and the capacity up to date. */
static void update_capacity(struct flow *f, uint32_t target)
{
	struct flow_target *t = &f->targets[target];
	uint32_t counted = usable_slots(t);
	bool is_free = has_free_slot(t);

	f->capacity = f->capacity - t->counted_slots + counted;
	t->counted_slots = counted;
	if (is_free && t->free_index == FLOW_NONE) {
		t->free_index = f->free_count;
		f->free_targets[f->free_count++] = target;
	} else if (!is_free && t->free_index != FLOW_NONE) {
		uint32_t last = f->free_targets[--f->free_count];

		f->free_targets[t->free_index] = last;
		f->targets[last].free_index = t->free_index;
		t->free_index = FLOW_NONE;
	}
}

static bool latency_known(const struct flow_target *t, uint64_t now_us)
{
	return t->last_sample_us &&
	       now_us - t->last_sample_us <= LATENCY_MAX_AGE_US;
}

/* Whether target a is the better of two. */
static bool is_better(const struct flow *f, uint32_t a, uint32_t b,
		      uint64_t now_us, enum flow_choice_reason *choice_reason)
{
	const struct flow_target *x = &f->targets[a], *y = &f->targets[b];

	if (latency_known(x, now_us) && latency_known(y, now_us)) {
		*choice_reason = FLOW_CHOICE_LATENCY;
		return x->latency_us * (x->outstanding + 1) <=
		       y->latency_us * (y->outstanding + 1);
	}
	*choice_reason = FLOW_CHOICE_OUTSTANDING;
	return x->outstanding <= y->outstanding;
}

/* Whether a request should rather go elsewhere when there is a choice. */
static bool should_avoid(const struct flow *f, const struct flow_request *r,
			 uint32_t target)
{
	if (target == r->failed_target ||
	    target == r->running_attempts[0].target ||
	    target == r->running_attempts[1].target)
		return true;
	/* A trial may fail, and only an idempotent request can be repeated. */
	return f->targets[target].breaker == FLOW_BREAKER_HALF_OPEN &&
	       !r->idempotent;
}

/* Better of two targets with a free slot, drawn at random. */
static uint32_t choose_better_of_two(struct flow *f,
				     const struct flow_request *r,
				     uint64_t now_us, uint32_t *passed_over,
				     enum flow_choice_reason *choice_reason)
{
	uint32_t i = rng_below(&f->rng, f->free_count);
	uint32_t j = rng_below(&f->rng, f->free_count - 1);
	uint32_t a = f->free_targets[i];
	uint32_t b = f->free_targets[j + (j >= i)];
	bool first;

	if (should_avoid(f, r, a) != should_avoid(f, r, b)) {
		*choice_reason = FLOW_CHOICE_OTHER_FAILED;
		first = should_avoid(f, r, b);
	} else {
		first = is_better(f, a, b, now_us, choice_reason);
	}
	*passed_over = first ? b : a;
	return first ? a : b;
}

/*
 * Whether waiting for a slot elsewhere promises an earlier end than this
 * target. With the mean latency L and n running attempts a slot becomes free
 * every L / n. A request that has waited for L takes any target, so that a
 * mean that is out of date delays it by little.
 */
static bool is_too_slow(const struct flow *f, const struct flow_request *r,
			uint32_t target, uint64_t now_us)
{
	const struct flow_target *t = &f->targets[target];
	double wait_us;

	if (f->running == 0 || !latency_known(t, now_us))
		return false;
	if (t->breaker == FLOW_BREAKER_HALF_OPEN)
		return false;
	if (now_us - r->queued_us > f->mean_latency_us)
		return false;
	wait_us = f->mean_latency_us * f->queued / f->running;
	return t->latency_us >
	       SLOW_LATENCY_FACTOR * f->mean_latency_us + wait_us;
}

static uint32_t choose_at_random(struct flow *f,
				 enum flow_choice_reason *choice_reason)
{
	*choice_reason = FLOW_CHOICE_RANDOM;
	return f->free_targets[rng_below(&f->rng, f->free_count)];
}

uint32_t route_choose(struct flow *f, const struct flow_request *r,
		      uint64_t now_us, uint32_t *passed_over,
		      enum flow_choice_reason *choice_reason)
{
	uint32_t target = FLOW_NONE;

	*passed_over = FLOW_NONE;
	*choice_reason = FLOW_CHOICE_ONLY;
	if (f->free_count == 0)
		return FLOW_NONE;
	if (f->options.random_routing || f->options.random_target)
		return choose_at_random(f, choice_reason);
	for (int i = 0; i < CANDIDATE_PAIRS_MAX; i++) {
		target = f->free_targets[0];
		if (f->free_count > 1)
			target = choose_better_of_two(f, r, now_us, passed_over,
						      choice_reason);
		if (!is_too_slow(f, r, target, now_us))
			break;
		target = FLOW_NONE;
	}
	if (target != FLOW_NONE &&
	    f->targets[target].breaker == FLOW_BREAKER_HALF_OPEN)
		*choice_reason = FLOW_CHOICE_TRIAL;
	return target;
}

void route_attempt_sent(struct flow *f, uint32_t target, uint64_t now_us)
{
	struct flow_target *t = &f->targets[target];

	t->outstanding++;
	if (t->breaker == FLOW_BREAKER_HALF_OPEN)
		t->trial_us = now_us;
	update_capacity(f, target);
}

static void add_latency_sample(struct flow_target *t, double latency_us,
			       uint64_t now_us)
{
	if (!latency_known(t, now_us))
		t->latency_us = latency_us;
	else
		t->latency_us +=
			LATENCY_EWMA_WEIGHT * (latency_us - t->latency_us);
	t->last_sample_us = now_us;
}

static double failure_latency_us(uint64_t sent_us, uint64_t now_us)
{
	double latency_us = (double)(now_us - sent_us);

	return latency_us < FAILURE_LATENCY_US ? FAILURE_LATENCY_US
					       : latency_us;
}

static void update_mean_latency(struct flow *f, double latency_us)
{
	if (f->mean_latency_us == 0)
		f->mean_latency_us = latency_us;
	f->mean_latency_us +=
		MEAN_LATENCY_EWMA_WEIGHT * (latency_us - f->mean_latency_us);
}

/* Opens the breaker; each pause after a failed trial is twice as long. */
static void open_breaker(struct flow_target *t, bool trial_failed,
			 uint64_t now_us)
{
	if (trial_failed) {
		t->breaker_pause_us *= 2;
		if (t->breaker_pause_us > BREAKER_PAUSE_MAX_US)
			t->breaker_pause_us = BREAKER_PAUSE_MAX_US;
	}
	t->breaker = FLOW_BREAKER_OPEN;
	t->breaker_open_until_us = now_us + t->breaker_pause_us;
}

/* Whether an attempt sent at that time is the trial of an open breaker. */
static bool is_trial(const struct flow_target *t, uint64_t sent_us)
{
	return t->breaker == FLOW_BREAKER_HALF_OPEN && t->trial_us &&
	       sent_us >= t->trial_us;
}

static void count_failure(const struct flow *f, struct flow_target *t,
			  uint64_t sent_us, uint64_t now_us)
{
	t->consecutive_failures++;
	if (f->options.random_routing)
		return;
	/* Before the trial, a request sent earlier may fail as well. */
	if (t->breaker == FLOW_BREAKER_HALF_OPEN ||
	    (t->breaker == FLOW_BREAKER_CLOSED &&
	     t->consecutive_failures >= BREAKER_FAILURES))
		open_breaker(t, is_trial(t, sent_us), now_us);
}

static void count_success(struct flow_target *t, uint64_t sent_us,
			  uint64_t now_us)
{
	t->consecutive_failures = 0;
	t->last_ok_us = now_us;
	if (is_trial(t, sent_us)) {
		t->breaker = FLOW_BREAKER_CLOSED;
		t->breaker_pause_us = BREAKER_PAUSE_US;
	}
}

void route_attempt_result(struct flow *f, uint32_t target,
			  enum flow_outcome outcome, uint64_t sent_us,
			  uint64_t service_us, uint64_t now_us)
{
	struct flow_target *t = &f->targets[target];

	t->outstanding--;
	if (outcome == FLOW_OUTCOME_OK) {
		add_latency_sample(t, (double)service_us, now_us);
		update_mean_latency(f, (double)service_us);
		count_success(t, sent_us, now_us);
		goto out;
	}
	add_latency_sample(t, failure_latency_us(sent_us, now_us), now_us);
	count_failure(f, t, sent_us, now_us);
	if (outcome == FLOW_OUTCOME_TIMEOUT || outcome == FLOW_OUTCOME_LOST) {
		t->abandoned++;
		t->last_abandoned_us = now_us;
		t->probe_sent_us = 0; /* ask at the next tick */
	}
	if (outcome == FLOW_OUTCOME_REFUSED)
		t->probe_sent_us = 0;
out:
	update_capacity(f, target);
}

void route_attempt_late(struct flow *f, uint32_t target, uint64_t sent_us,
			uint64_t now_us)
{
	struct flow_target *t = &f->targets[target];

	add_latency_sample(t, failure_latency_us(sent_us, now_us), now_us);
	count_failure(f, t, sent_us, now_us);
	update_capacity(f, target);
}

void route_attempt_slow(struct flow *f, uint32_t target, uint64_t elapsed_us,
			uint64_t now_us)
{
	struct flow_target *t = &f->targets[target];

	if (t->last_ok_us + elapsed_us > now_us)
		return; /* it answers other requests */
	add_latency_sample(t, 2.0 * (double)elapsed_us, now_us);
}

/* Takes back the slots of given-up requests that can no longer run. */
static void reclaim_slots(struct flow_target *t, uint32_t busy,
			  uint64_t sampled_us)
{
	uint32_t other_slots = t->slots - t->own_slots;

	if (sampled_us < t->last_abandoned_us + ABANDONED_MIN_US)
		return;
	if (t->abandoned > busy)
		t->abandoned = busy;
	if (sampled_us >= t->last_abandoned_us + ABANDONED_MAX_US &&
	    busy <= t->outstanding + other_slots)
		t->abandoned = 0;
}

void route_probe_result(struct flow *f, const struct flow_event *e,
			uint64_t now_us)
{
	uint32_t target = e->probe.target;
	struct flow_target *t;

	if (target >= f->target_count || !f->targets[target].present)
		return;
	t = &f->targets[target];
	t->probe_pending = false;
	if (!e->probe.answered) {
		if (t->breaker == FLOW_BREAKER_OPEN)
			open_breaker(t, true, now_us);
		else
			count_failure(f, t, 0, now_us);
		goto out;
	}
	t->draining = e->probe.draining;
	if (e->probe.busy == 0)
		t->last_idle_us = e->probe.sampled_us;
	reclaim_slots(t, e->probe.busy, e->probe.sampled_us);
	if (t->breaker == FLOW_BREAKER_OPEN &&
	    now_us >= t->breaker_open_until_us) {
		t->breaker = FLOW_BREAKER_HALF_OPEN;
		t->trial_us = 0;
	}
out:
	update_capacity(f, target);
}

/* Whether the target's status is due to be asked. */
static bool probe_is_due(const struct flow *f, const struct flow_target *t,
			 uint64_t now_us)
{
	bool unconfirmed = f->split.count && f->split.previous_count;
	uint64_t interval =
		unconfirmed ? PROBE_INTERVAL_UNCONFIRMED_US : PROBE_INTERVAL_US;

	if (t->own_slots == 0 && !unconfirmed)
		return false;
	if (t->probe_pending)
		return now_us - t->probe_sent_us >= PROBE_RESEND_US;
	/* Probes of many targets that hang would hold up all others. */
	if (t->breaker == FLOW_BREAKER_OPEN)
		return now_us >= t->breaker_open_until_us;
	return now_us - t->probe_sent_us >= interval;
}

/*
 * Returns the earliest of the last times at which a report of each target
 * showed that it ran nothing; 0 when one never did. Targets that do not answer
 * get no request and do not count.
 */
uint64_t route_idle_since(const struct flow *f)
{
	uint64_t earliest = UINT64_MAX;

	for (uint32_t i = 0; i < f->target_count; i++) {
		const struct flow_target *t = &f->targets[i];

		if (!t->present || t->breaker == FLOW_BREAKER_OPEN)
			continue;
		if (t->last_idle_us < earliest)
			earliest = t->last_idle_us;
	}
	return earliest == UINT64_MAX ? 0 : earliest;
}

void route_send_probes(struct flow *f, uint64_t now_us,
		       struct flow_actions *out)
{
	for (uint32_t i = 0; i < f->target_count; i++) {
		struct flow_target *t = &f->targets[i];
		struct flow_action *a;

		if (!t->present)
			continue;
		if (!probe_is_due(f, t, now_us))
			continue;
		t->probe_pending = true;
		t->probe_sent_us = now_us;
		a = flow_emit(out, FLOW_SEND_PROBE, FLOW_NONE);
		a->target = i;
		a->connections = t->own_connections;
	}
}

uint32_t route_targets_over_share(const struct flow *f)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->target_count; i++) {
		const struct flow_target *t = &f->targets[i];

		n += t->present && t->outstanding + t->abandoned > t->own_slots;
	}
	return n;
}

int flow_target_info(const struct flow *f, uint32_t target,
		     struct flow_target_info *out)
{
	const struct flow_target *t;

	if (target >= f->target_count || !f->targets[target].present)
		return -1;
	t = &f->targets[target];
	*out = (struct flow_target_info){
		.present = true,
		.leaving = t->leaving,
		.draining = t->draining,
		.breaker = t->breaker,
		.own_slots = t->own_slots,
		.own_connections = t->own_connections,
		.outstanding = t->outstanding,
		.abandoned = t->abandoned,
		.latency_us = (uint64_t)t->latency_us,
	};
	return 0;
}
