#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "flow-internal.h"

/* Ends the retries of a request when the retry budget is unlimited. */
#define REQUEST_ATTEMPTS_MAX 100
/*
 * Each first send earns retry_budget_percent tokens, and a retry or hedge
 * costs 100. At most 20 retries are saved up, since a larger reserve could
 * exceed the budget over a short time.
 */
#define RETRY_TOKENS_MAX (20 * 100)
#define RETRY_TOKEN_COST 100
/* Longest deadline of a request; a slow target finishes within it. */
#define ATTEMPT_EXTRA_US 30000000u
#define PERCENTILE_INTERVAL_US 100000u
#define HISTOGRAM_DECAY_INTERVAL_US 10000000u

static void dispatch(struct flow *f, uint64_t now_us, struct flow_actions *out);
static void on_request(struct flow *f, uint64_t now_us,
		       const struct flow_event *e, struct flow_actions *out);
static void on_cancel(struct flow *f, uint64_t now_us,
		      const struct flow_event *e, struct flow_actions *out);
static void on_result(struct flow *f, uint64_t now_us,
		      const struct flow_event *e, struct flow_actions *out);
static void on_tick(struct flow *f, uint64_t now_us, struct flow_actions *out);

struct flow *flow_create(const struct flow_options *o)
{
	struct flow *f = xcalloc(1, sizeof(*f));

	f->options = *o;
	f->rng.state = o->seed;
	/* calloc leaves pages of unused handles unallocated. */
	f->requests = xcalloc(FLOW_REQUESTS_MAX, sizeof(*f->requests));
	f->fifo_head = FLOW_NONE;
	f->fifo_tail = FLOW_NONE;
	return f;
}

void flow_destroy(struct flow *f)
{
	if (!f)
		return;
	admit_free(f);
	route_free(f);
	free(f->requests);
	free(f);
}

void flow_set_options(struct flow *f, const struct flow_options *o)
{
	f->options = *o;
}

struct flow_action *flow_emit(struct flow_actions *out,
			      enum flow_action_type type, uint32_t handle)
{
	struct flow_action *a;

	if (out->count == out->capacity) {
		out->capacity = out->capacity ? out->capacity * 2 : 64;
		out->items = xrealloc(out->items,
				      out->capacity * sizeof(*out->items));
	}
	a = &out->items[out->count++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->handle = handle;
	a->target = FLOW_NONE;
	a->passed_over = FLOW_NONE;
	return a;
}

static bool has_running_attempts(const struct flow_request *r)
{
	for (int i = 0; i < FLOW_RUNNING_ATTEMPTS_MAX; i++)
		if (r->running_attempts[i].target != FLOW_NONE)
			return true;
	return false;
}

/* Ends a request. Its handle is freed after the last running attempt. */
static void close_request(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];

	hedge_list_remove(f, handle);
	admit_release(f, handle);
	r->state = has_running_attempts(r) ? REQUEST_FINISHED : REQUEST_FREE;
}

static void finish_request(struct flow *f, uint32_t handle,
			   enum flow_outcome outcome,
			   const struct flow_event *e, struct flow_actions *out)
{
	struct flow_action *a = flow_emit(out, FLOW_FINISH, handle);

	a->outcome = outcome;
	if (e) {
		a->target = e->result.target;
		a->attempt = e->result.attempt;
	}
	close_request(f, handle);
}

/*
 * Ends a request without a response. It is reported as not run unless an
 * attempt may have taken effect.
 */
void flow_refuse(struct flow *f, uint32_t handle, enum flow_reason reason,
		 uint64_t now_us, struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_action *a;

	a = flow_emit(out, r->may_have_run ? FLOW_FINISH : FLOW_REFUSE, handle);
	a->outcome = FLOW_OUTCOME_LOST;
	a->reason = reason;
	a->queued_us = now_us - r->queued_us;
	close_request(f, handle);
}

void flow_step(struct flow *f, uint64_t now_us, const struct flow_event *e,
	       struct flow_actions *out)
{
	switch (e->type) {
	case FLOW_REQUEST:
		on_request(f, now_us, e, out);
		break;
	case FLOW_CANCEL:
		on_cancel(f, now_us, e, out);
		break;
	case FLOW_RESULT:
		on_result(f, now_us, e, out);
		break;
	case FLOW_TARGET:
		route_update_target(f, e, now_us);
		break;
	case FLOW_TARGET_GONE:
		route_remove_target(f, e->target.target);
		break;
	case FLOW_PROBE_RESULT:
		route_probe_result(f, e, now_us);
		break;
	case FLOW_SEAT:
		route_apply_seat(f, e);
		break;
	case FLOW_SHEET:
		admit_apply_sheet(f, e->sheet, now_us, out);
		break;
	case FLOW_TICK:
		on_tick(f, now_us, out);
		break;
	}
	dispatch(f, now_us, out);
}

/* Returns the reason to refuse a request without a valid kind, or NONE. */
static enum flow_reason check_kind(const struct flow *f,
				   const struct flow_event *e)
{
	if (!f->has_policy)
		return FLOW_REASON_NO_POLICY;
	if (e->request.kind < 0 || (uint32_t)e->request.kind >= f->kind_count)
		return FLOW_REASON_UNKNOWN_KIND;
	return FLOW_REASON_NONE;
}

static struct flow_request
make_request(const struct flow *f, const struct flow_event *e, uint64_t now_us)
{
	struct flow_request r = {
		.urgency = e->request.urgency,
		.idempotent = e->request.idempotent,
		.kind = e->request.kind,
		.bytes = e->request.bytes,
		.failed_target = FLOW_NONE,
		.arrived_us = now_us,
		.queued_us = now_us,
		.deadline_us = e->request.deadline_us,
	};

	for (int i = 0; i < FLOW_RUNNING_ATTEMPTS_MAX; i++)
		r.running_attempts[i].target = FLOW_NONE;
	admit_assign_queue(f, &r, e->request.team);
	return r;
}

enum flow_reason flow_check_request(const struct flow *f, uint64_t now_us,
				    const struct flow_event *e)
{
	enum flow_reason reason = check_kind(f, e);
	struct flow_request r;

	if (reason)
		return reason;
	r = make_request(f, e, now_us);
	return admit_check(f, &r, now_us);
}

static void on_request(struct flow *f, uint64_t now_us,
		       const struct flow_event *e, struct flow_actions *out)
{
	uint32_t handle = e->request.handle;
	enum flow_reason reason = check_kind(f, e);

	if (handle >= FLOW_REQUESTS_MAX ||
	    f->requests[handle].state != REQUEST_FREE)
		return;
	if (reason) {
		flow_emit(out, FLOW_REFUSE, handle)->reason = reason;
		return;
	}
	if (handle >= f->request_handle_end)
		f->request_handle_end = handle + 1;
	f->requests[handle] = make_request(f, e, now_us);
	admit_request(f, handle, now_us, out);
}

/*
 * Ends a request whose attempts continue to run. If its deadline has passed,
 * each attempt counts as a failure of its target.
 */
static void finish_timed_out(struct flow *f, uint32_t handle, uint64_t now_us,
			     struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];

	for (int i = 0; i < FLOW_RUNNING_ATTEMPTS_MAX; i++) {
		const struct flow_attempt *a = &r->running_attempts[i];

		if (a->target != FLOW_NONE && now_us >= r->deadline_us)
			route_attempt_late(f, a->target, a->sent_us, now_us);
	}
	finish_request(f, handle, FLOW_OUTCOME_TIMEOUT, NULL, out);
}

static void on_cancel(struct flow *f, uint64_t now_us,
		      const struct flow_event *e, struct flow_actions *out)
{
	uint32_t handle = e->cancel.handle;

	if (handle >= f->request_handle_end)
		return;
	if (f->requests[handle].state == REQUEST_QUEUED) {
		flow_queue_remove(f, handle);
		flow_refuse(f, handle, FLOW_REASON_DEADLINE, now_us, out);
	} else if (f->requests[handle].state == REQUEST_RUNNING) {
		finish_timed_out(f, handle, now_us, out);
	}
}

/* Records an attempt and emits the action that sends it. */
static void send_attempt(struct flow *f, uint32_t handle, uint32_t target,
			 uint32_t passed_over,
			 enum flow_choice_reason choice_reason, uint64_t now_us,
			 struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_action *a = flow_emit(out, FLOW_SEND, handle);
	int i = r->running_attempts[0].target == FLOW_NONE ? 0 : 1;

	r->running_attempts[i].target = target;
	r->running_attempts[i].number = r->attempts_sent++;
	r->running_attempts[i].sent_us = now_us;
	a->target = target;
	a->passed_over = passed_over;
	a->attempt = r->running_attempts[i].number;
	a->choice_reason = choice_reason;
	a->hedge = r->state == REQUEST_RUNNING;
	a->queued_us = a->hedge ? 0 : now_us - r->queued_us;
	a->timeout_us = r->deadline_us + ATTEMPT_EXTRA_US;
	a->connections = f->targets[target].own_connections;
	if (r->kind >= 0)
		f->kinds[r->kind].running++;
	f->running++;
	route_attempt_sent(f, target, now_us);
}

/* Adds the retry tokens for the first send of a request. */
static void earn_retry_tokens(struct flow *f, struct flow_request *r)
{
	if (r->first_send_counted)
		return;
	r->first_send_counted = true;
	f->first_sends++;
	f->retry_tokens += f->options.retry_budget_percent;
	if (f->retry_tokens > RETRY_TOKENS_MAX)
		f->retry_tokens = RETRY_TOKENS_MAX;
}

static bool take_retry_token(struct flow *f)
{
	if (f->options.retry_budget_percent == 0)
		return true;
	if (f->retry_tokens < RETRY_TOKEN_COST)
		return false;
	f->retry_tokens -= RETRY_TOKEN_COST;
	return true;
}

/* Sends queued requests while targets have free slots. */
static void dispatch(struct flow *f, uint64_t now_us, struct flow_actions *out)
{
	while (f->free_count > 0 && f->queued > 0) {
		uint32_t handle = admit_next(f);
		struct flow_request *r = &f->requests[handle];
		uint32_t target, passed_over;
		enum flow_choice_reason choice_reason;

		if (admit_misses_deadline(f, handle, now_us)) {
			flow_queue_remove(f, handle);
			flow_refuse(f, handle, FLOW_REASON_DEADLINE, now_us,
				    out);
			continue;
		}
		target = route_choose(f, r, now_us, &passed_over,
				      &choice_reason);
		if (target == FLOW_NONE)
			return;
		admit_dequeue(f, handle, now_us);
		earn_retry_tokens(f, r);
		send_attempt(f, handle, target, passed_over, choice_reason,
			     now_us, out);
		r->state = REQUEST_RUNNING;
		if (r->idempotent && !r->hedged)
			hedge_list_add(f, handle);
	}
}

/* Whether a failed request may be retried. Takes the retry token if so. */
static bool may_retry(struct flow *f, uint32_t handle,
		      enum flow_outcome outcome, uint64_t now_us,
		      enum flow_reason *reason)
{
	const struct flow_request *r = &f->requests[handle];

	*reason = FLOW_REASON_TARGET_FAILED;
	if (!r->idempotent && outcome != FLOW_OUTCOME_NOT_SENT)
		return false;
	if (r->attempts_sent >= REQUEST_ATTEMPTS_MAX)
		return false;
	if (r->kind < 0 || f->capacity == 0)
		return false;
	if (admit_misses_deadline(f, handle, now_us)) {
		*reason = FLOW_REASON_DEADLINE;
		return false;
	}
	if (!take_retry_token(f)) {
		*reason = FLOW_REASON_RETRY_BUDGET;
		return false;
	}
	f->retries++;
	return true;
}

/* Retries or ends a request whose last running attempt failed. */
static void retry_or_fail(struct flow *f, uint32_t handle, uint64_t now_us,
			  const struct flow_event *e, struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];
	enum flow_outcome outcome = e->result.outcome;
	enum flow_reason reason;

	hedge_list_remove(f, handle);
	if (may_retry(f, handle, outcome, now_us, &reason)) {
		r->failed_target = e->result.target;
		flow_queue_push_retry(f, handle, now_us);
	} else if (outcome == FLOW_OUTCOME_NOT_SENT ||
		   outcome == FLOW_OUTCOME_REFUSED) {
		flow_refuse(f, handle, reason, now_us, out);
	} else {
		finish_request(f, handle, outcome, e, out);
	}
}

/* Returns the running attempt that a result belongs to, or NULL. */
static struct flow_attempt *find_attempt(struct flow *f,
					 const struct flow_event *e)
{
	struct flow_request *r;

	if (e->result.handle >= f->request_handle_end)
		return NULL;
	r = &f->requests[e->result.handle];
	if (r->state != REQUEST_RUNNING && r->state != REQUEST_FINISHED)
		return NULL;
	for (int i = 0; i < FLOW_RUNNING_ATTEMPTS_MAX; i++)
		if (r->running_attempts[i].target == e->result.target &&
		    r->running_attempts[i].number == e->result.attempt)
			return &r->running_attempts[i];
	return NULL;
}

static bool outcome_may_have_run(enum flow_outcome outcome)
{
	return outcome != FLOW_OUTCOME_NOT_SENT &&
	       outcome != FLOW_OUTCOME_REFUSED;
}

static void on_result(struct flow *f, uint64_t now_us,
		      const struct flow_event *e, struct flow_actions *out)
{
	uint32_t handle = e->result.handle;
	struct flow_attempt *a = find_attempt(f, e);
	struct flow_request *r;

	if (!a)
		return;
	r = &f->requests[handle];
	route_attempt_result(f, a->target, e->result.outcome, a->sent_us,
			     e->result.service_us, now_us);
	a->target = FLOW_NONE;
	f->running--;
	if (r->kind >= 0)
		f->kinds[r->kind].running--;
	if (e->result.outcome == FLOW_OUTCOME_OK)
		admit_add_service_sample(f, r->kind, e->result.service_us,
					 now_us);
	if (r->state == REQUEST_FINISHED) {
		if (!has_running_attempts(r))
			r->state = REQUEST_FREE;
		return;
	}
	if (e->result.outcome == FLOW_OUTCOME_OK) {
		finish_request(f, handle, FLOW_OUTCOME_OK, e, out);
		return;
	}
	if (outcome_may_have_run(e->result.outcome))
		r->may_have_run = true;
	if (!has_running_attempts(r))
		retry_or_fail(f, handle, now_us, e, out);
}

/* Sends a second attempt of a slow request. Returns whether it was sent. */
static bool send_hedge(struct flow *f, uint32_t handle, uint64_t now_us,
		       struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];
	uint32_t target, passed_over;
	enum flow_choice_reason choice_reason;

	target = route_choose(f, r, now_us, &passed_over, &choice_reason);
	if (target == FLOW_NONE || target == r->running_attempts[0].target ||
	    target == r->running_attempts[1].target)
		return false;
	if (!take_retry_token(f))
		return false;
	r->hedged = true;
	f->hedges++;
	send_attempt(f, handle, target, passed_over, choice_reason, now_us,
		     out);
	return true;
}

/* Hedges requests that have run longer than the kind's 95th percentile. */
static void hedge_slow_requests(struct flow *f, struct flow_kind *k,
				uint64_t now_us, struct flow_actions *out)
{
	uint32_t next;

	for (uint32_t h = k->hedge_head; h != FLOW_NONE; h = next) {
		struct flow_request *r = &f->requests[h];
		const struct flow_attempt *a =
			&r->running_attempts[r->running_attempts[0].target ==
					     FLOW_NONE];
		uint64_t elapsed = now_us - a->sent_us;

		next = r->next;
		if (elapsed <= k->service_p95_us)
			return; /* the list is in order of sending */
		if (admit_misses_deadline(f, h, now_us)) {
			hedge_list_remove(f, h);
			continue;
		}
		route_attempt_slow(f, a->target, elapsed, now_us);
		if (!send_hedge(f, h, now_us, out))
			return;
		hedge_list_remove(f, h);
	}
}

static void on_tick(struct flow *f, uint64_t now_us, struct flow_actions *out)
{
	route_send_probes(f, now_us, out);
	admit_refuse_late(f, now_us, out);
	if (now_us >= f->next_percentile_us) {
		bool decay = now_us >= f->next_decay_us;

		f->next_percentile_us = now_us + PERCENTILE_INTERVAL_US;
		if (decay)
			f->next_decay_us = now_us + HISTOGRAM_DECAY_INTERVAL_US;
		admit_update_percentiles(f, decay);
	}
	if (f->options.random_routing)
		return;
	/* Hedges use only slots that no queued request can use. */
	for (uint32_t i = 0; i < f->kind_count; i++)
		if (f->kinds[i].service_p95_us && f->free_count)
			hedge_slow_requests(f, &f->kinds[i], now_us, out);
}

void flow_totals(const struct flow *f, struct flow_totals *out)
{
	out->capacity = f->capacity;
	out->queued = f->queued;
	out->running = f->running;
	out->first_sends = f->first_sends;
	out->retries = f->retries;
	out->hedges = f->hedges;
	out->targets_over_share = route_targets_over_share(f);
	out->idle_since_us = route_idle_since(f);
}

const char *flow_reason_name(enum flow_reason reason)
{
	static const char *const names[] = {
		[FLOW_REASON_NONE] = "none",
		[FLOW_REASON_QUEUE_FULL] = "queue-full",
		[FLOW_REASON_DEADLINE] = "deadline",
		[FLOW_REASON_KIND_LIMIT] = "kind-limit",
		[FLOW_REASON_TEAM_LIMIT] = "team-limit",
		[FLOW_REASON_MEMORY] = "memory",
		[FLOW_REASON_NO_TARGET] = "no-target",
		[FLOW_REASON_NO_POLICY] = "no-policy",
		[FLOW_REASON_UNKNOWN_KIND] = "unknown-kind",
		[FLOW_REASON_DRAINING] = "draining",
		[FLOW_REASON_DISPLACED] = "displaced",
		[FLOW_REASON_RETRY_BUDGET] = "retry-budget",
		[FLOW_REASON_TARGET_FAILED] = "target-failed",
	};

	return names[reason];
}

const char *flow_outcome_name(enum flow_outcome outcome)
{
	static const char *const names[] = {
		[FLOW_OUTCOME_OK] = "ok",
		[FLOW_OUTCOME_FAILED] = "failed",
		[FLOW_OUTCOME_REFUSED] = "refused",
		[FLOW_OUTCOME_NOT_SENT] = "not-sent",
		[FLOW_OUTCOME_TIMEOUT] = "timeout",
		[FLOW_OUTCOME_LOST] = "lost",
	};

	return names[outcome];
}

const char *flow_choice_reason_name(enum flow_choice_reason reason)
{
	static const char *const names[] = {
		[FLOW_CHOICE_ONLY] = "only",
		[FLOW_CHOICE_LATENCY] = "latency",
		[FLOW_CHOICE_OUTSTANDING] = "outstanding",
		[FLOW_CHOICE_RANDOM] = "random",
		[FLOW_CHOICE_TRIAL] = "trial",
		[FLOW_CHOICE_OTHER_FAILED] = "other-failed",
	};

	return names[reason];
}
