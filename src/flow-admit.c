#include <string.h>

#include "buffer.h"
#include "flow-internal.h"

/* Cost in virtual time of a request whose service time is unknown. */
#define DEFAULT_COST_US 10000.0
#define SERVICE_EWMA_WEIGHT 0.125
/*
 * Older estimates are ignored. Otherwise a kind whose requests are all refused
 * as too slow would never get a sample that corrects its estimate.
 */
#define SERVICE_MAX_AGE_US 2000000u
/*
 * Weight 1/64. The standard deviation of the intervals is about their mean, so
 * that an estimate with weight 1/8 varied too much and admitted requests that
 * missed their deadlines.
 */
#define INTERVAL_EWMA_SHIFT 6
/* Safety factor for the estimated wait; see docs/notes/admission.md. */
#define WAIT_MARGIN 1.25
/*
 * One half of the queue is reserved for kinds below their share. One quarter
 * was too little for requests of 1 s, whose slots become free in bursts.
 */
#define RESERVED_QUEUE_DIVISOR 2
#define PERCENTILE_MIN_SAMPLES 20

/* Slots and queue entries of a kind, minus its share of both. */
static double usage_above_share(const struct flow *f, const struct flow_kind *k)
{
	double room = f->capacity + f->options.queue_limit;

	return (k->running + k->queued) - k->share * room;
}

static double upper_service_us(const struct flow_kind *k, uint64_t now_us)
{
	if (!k->last_sample_us ||
	    now_us - k->last_sample_us > SERVICE_MAX_AGE_US)
		return 0;
	return k->mean_service_us + k->service_deviation_us;
}

/* Time between two sends of a queue, estimated from the share if unknown. */
static double send_interval_us(const struct flow *f, const struct flow_kind *k,
			       const struct flow_queue *q, uint64_t now_us)
{
	double slots;

	if (q->send_interval_us)
		return (double)q->send_interval_us;
	slots = k->share * f->capacity;
	if (slots < 1)
		slots = 1;
	return upper_service_us(k, now_us) / slots;
}

/*
 * Expected queueing time of one more request. The time since the last send is
 * included, so that the estimate grows while nothing is sent. It is added to
 * the interval instead of replacing it: with similar service times slots become
 * free in groups, and a long gap is followed by many sends.
 */
static double expected_wait_us(const struct flow *f, const struct flow_kind *k,
			       const struct flow_queue *q, uint64_t now_us)
{
	double wait_us;

	if (q->queued == 0)
		return 0;
	wait_us = WAIT_MARGIN * send_interval_us(f, k, q, now_us) *
		  (q->queued + 1);
	if (q->last_send_us)
		wait_us += (double)(now_us - q->last_send_us);
	return wait_us;
}

/*
 * Returns the reason to refuse a request, or NONE. counted tells whether the
 * request is already included in the in_flight counters.
 */
static enum flow_reason check_limits(const struct flow *f,
				     const struct flow_request *r, bool counted,
				     uint64_t now_us)
{
	const struct flow_kind *k = &f->kinds[r->kind];
	const struct flow_team *t = &f->teams[r->team];

	if (f->capacity == 0)
		return FLOW_REASON_NO_TARGET;
	if (k->limit && k->in_flight + !counted > k->limit)
		return FLOW_REASON_KIND_LIMIT;
	if (t->limit && t->in_flight + !counted > t->limit)
		return FLOW_REASON_TEAM_LIMIT;
	if (f->options.team_bytes_limit &&
	    t->queued_bytes + r->bytes > f->options.team_bytes_limit)
		return FLOW_REASON_MEMORY;
	if (r->deadline_us <= now_us)
		return FLOW_REASON_DEADLINE;
	if (f->options.fifo_admission)
		return FLOW_REASON_NONE;
	if ((double)now_us +
		    expected_wait_us(f, k, &f->queues[r->queue], now_us) +
		    upper_service_us(k, now_us) >
	    (double)r->deadline_us)
		return FLOW_REASON_DEADLINE;
	return FLOW_REASON_NONE;
}

/*
 * Returns the queued kind above its share that has the lowest priority, and
 * among equals the one that exceeds its share most.
 */
static uint32_t pick_displaced_kind(const struct flow *f)
{
	uint32_t found = FLOW_NONE;
	double excess = 0;

	for (uint32_t i = 0; i < f->active_kind_count; i++) {
		const struct flow_kind *k = &f->kinds[f->active_kinds[i]];
		double use = usage_above_share(f, k);

		if (use <= 0)
			continue;
		if (found != FLOW_NONE &&
		    (k->priority < f->kinds[found].priority ||
		     (k->priority == f->kinds[found].priority &&
		      use <= excess)))
			continue;
		found = f->active_kinds[i];
		excess = use;
	}
	return found;
}

/*
 * Returns the newest of the least urgent requests in the queue of the kind that
 * is longest relative to its weight.
 */
static uint32_t pick_displaced_request(const struct flow *f, uint32_t kind)
{
	const struct flow_kind *k = &f->kinds[kind];
	const struct flow_queue *longest = NULL;

	for (uint32_t i = 0; i < k->queue_count; i++) {
		const struct flow_queue *q = &f->queues[k->queue_first + i];

		if (q->queued &&
		    (!longest ||
		     q->queued * longest->weight > longest->queued * q->weight))
			longest = q;
	}
	for (int u = URGENCY_COUNT - 1; longest && u >= 0; u--)
		if (longest->tail[u] != FLOW_NONE)
			return longest->tail[u];
	return FLOW_NONE;
}

/*
 * Whether the queue is full for a kind. Part of it is reserved for kinds below
 * their share, so that their requests seldom displace a queued one, which
 * would be refused only after it has waited.
 */
static bool queue_is_full(const struct flow *f, const struct flow_kind *k)
{
	uint32_t limit = f->options.queue_limit;

	if (!f->options.fifo_admission && usage_above_share(f, k) >= 0)
		limit -= limit / RESERVED_QUEUE_DIVISOR;
	return f->queued >= limit;
}

/*
 * Refuses a queued request to make room in a full queue. Returns -1 if the
 * arriving request must be refused instead.
 */
static int displace_request(struct flow *f, const struct flow_kind *arriving,
			    uint64_t now_us, struct flow_actions *out)
{
	uint32_t kind, victim;

	if (f->options.fifo_admission || usage_above_share(f, arriving) >= 0)
		return -1;
	kind = pick_displaced_kind(f);
	if (kind == FLOW_NONE)
		return -1;
	victim = pick_displaced_request(f, kind);
	flow_queue_remove(f, victim);
	flow_refuse(f, victim, FLOW_REASON_DISPLACED, now_us, out);
	return 0;
}

void admit_request(struct flow *f, uint32_t handle, uint64_t now_us,
		   struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_kind *k = &f->kinds[r->kind];
	enum flow_reason reason;

	k->in_flight++;
	f->teams[r->team].in_flight++;
	reason = check_limits(f, r, true, now_us);
	/* A request that can be sent at once takes no queue entry. */
	if (!reason && queue_is_full(f, k) &&
	    (f->free_count == 0 || f->queued > 0) &&
	    displace_request(f, k, now_us, out) < 0)
		reason = FLOW_REASON_QUEUE_FULL;
	if (reason) {
		flow_refuse(f, handle, reason, now_us, out);
		return;
	}
	flow_queue_push(f, handle, false);
	fifo_list_add(f, handle, false);
}

enum flow_reason admit_check(const struct flow *f, const struct flow_request *r,
			     uint64_t now_us)
{
	const struct flow_kind *k = &f->kinds[r->kind];
	enum flow_reason reason = check_limits(f, r, false, now_us);

	if (!reason && queue_is_full(f, k) &&
	    (f->options.fifo_admission || usage_above_share(f, k) >= 0))
		reason = FLOW_REASON_QUEUE_FULL;
	return reason;
}

void admit_release(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];

	f->teams[r->team].in_flight--;
	if (r->kind >= 0)
		f->kinds[r->kind].in_flight--;
}

/* ---- fair queueing ---- */

/* Returns the kind below its guarantee that uses the least part of it. */
static uint32_t pick_kind_below_guarantee(const struct flow *f)
{
	uint32_t found = FLOW_NONE;
	double lowest = 1;

	for (uint32_t i = 0; i < f->active_kind_count; i++) {
		const struct flow_kind *k = &f->kinds[f->active_kinds[i]];
		double slots = k->share * f->capacity;
		double part;

		if (k->running >= slots)
			continue;
		part = k->running / slots;
		if (found != FLOW_NONE &&
		    (part > lowest ||
		     (part == lowest &&
		      k->last_send_us >= f->kinds[found].last_send_us)))
			continue;
		found = f->active_kinds[i];
		lowest = part;
	}
	return found;
}

static double virtual_start(double finish, double virtual_now)
{
	return finish > virtual_now ? finish : virtual_now;
}

/* Returns the kind with the earliest virtual start for a spare slot. */
static uint32_t pick_kind_for_spare_slot(const struct flow *f)
{
	uint32_t found = FLOW_NONE;
	double earliest = 0;

	for (uint32_t i = 0; i < f->active_kind_count; i++) {
		const struct flow_kind *k = &f->kinds[f->active_kinds[i]];
		double start =
			virtual_start(k->virtual_finish, f->virtual_time);

		if (found != FLOW_NONE && start >= earliest)
			continue;
		found = f->active_kinds[i];
		earliest = start;
	}
	return found;
}

/* Returns the kind's queue with the earliest virtual start. */
static const struct flow_queue *pick_queue(const struct flow *f,
					   const struct flow_kind *k)
{
	const struct flow_queue *found = NULL;

	for (uint32_t i = 0; i < k->queue_count; i++) {
		const struct flow_queue *q = &f->queues[k->queue_first + i];

		if (q->queued &&
		    (!found ||
		     virtual_start(q->virtual_finish, k->virtual_time) <
			     virtual_start(found->virtual_finish,
					   k->virtual_time)))
			found = q;
	}
	return found;
}

uint32_t admit_next(struct flow *f)
{
	const struct flow_queue *q;
	uint32_t kind;

	if (f->options.fifo_admission || f->active_kind_count == 0)
		return f->fifo_head;
	kind = pick_kind_below_guarantee(f);
	if (kind == FLOW_NONE)
		kind = pick_kind_for_spare_slot(f);
	q = pick_queue(f, &f->kinds[kind]);
	for (int u = 0; u < URGENCY_COUNT; u++)
		if (q->head[u] != FLOW_NONE)
			return q->head[u];
	return FLOW_NONE;
}

/*
 * Advances the virtual times by the cost of one request. Kinds are charged only
 * for slots beyond their guarantee, queues of teams always.
 */
static void charge_virtual_time(struct flow *f, struct flow_kind *k,
				struct flow_queue *q)
{
	double cost = k->last_sample_us ? k->mean_service_us : DEFAULT_COST_US;

	k->virtual_time = virtual_start(q->virtual_finish, k->virtual_time);
	q->virtual_finish = k->virtual_time + cost / q->weight;
	if (k->running < k->share * f->capacity)
		return;
	f->virtual_time = virtual_start(k->virtual_finish, f->virtual_time);
	k->virtual_finish = f->virtual_time + cost / k->weight;
}

void admit_dequeue(struct flow *f, uint32_t handle, uint64_t now_us)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_kind *k = &f->kinds[r->kind];
	struct flow_queue *q = &f->queues[r->queue];

	flow_queue_remove(f, handle);
	charge_virtual_time(f, k, q);
	k->last_send_us = now_us;
	if (q->last_send_us) {
		int64_t gap = (int64_t)(now_us - q->last_send_us);
		int64_t old =
			(int64_t)send_interval_us(f, k, q, q->last_send_us);

		q->send_interval_us =
			(uint64_t)(old + ((gap - old) >> INTERVAL_EWMA_SHIFT));
	}
	/* An interval with an empty queue does not measure the send rate. */
	q->last_send_us = q->queued ? now_us : 0;
}

bool admit_misses_deadline(const struct flow *f, uint32_t handle,
			   uint64_t now_us)
{
	const struct flow_request *r = &f->requests[handle];
	const struct flow_kind *k = &f->kinds[r->kind];
	double service = 0;

	if (!f->options.fifo_admission && k->last_sample_us &&
	    now_us - k->last_sample_us <= SERVICE_MAX_AGE_US)
		service = k->mean_service_us;
	return (double)now_us + service >= (double)r->deadline_us;
}

void admit_refuse_late(struct flow *f, uint64_t now_us,
		       struct flow_actions *out)
{
	uint32_t handle = f->fifo_head;

	while (handle != FLOW_NONE) {
		uint32_t next = f->requests[handle].fifo_next;

		if (admit_misses_deadline(f, handle, now_us)) {
			flow_queue_remove(f, handle);
			flow_refuse(f, handle, FLOW_REASON_DEADLINE, now_us,
				    out);
		}
		handle = next;
	}
}

/* ---- measurements ---- */

void admit_add_service_sample(struct flow *f, int32_t kind, uint64_t service_us,
			      uint64_t now_us)
{
	struct flow_kind *k;
	double error;

	if (kind < 0)
		return;
	k = &f->kinds[kind];
	if (!k->service_times)
		k->service_times = xcalloc(1, sizeof(*k->service_times));
	histogram_add(k->service_times, service_us);
	if (!k->last_sample_us)
		k->mean_service_us = (double)service_us;
	error = (double)service_us - k->mean_service_us;
	k->mean_service_us += SERVICE_EWMA_WEIGHT * error;
	k->service_deviation_us +=
		SERVICE_EWMA_WEIGHT *
		((error < 0 ? -error : error) - k->service_deviation_us);
	k->last_sample_us = now_us;
}

void admit_update_percentiles(struct flow *f, bool decay)
{
	for (uint32_t i = 0; i < f->kind_count; i++) {
		struct flow_kind *k = &f->kinds[i];

		if (!k->service_times)
			continue;
		if (decay)
			histogram_decay(k->service_times);
		k->service_p95_us =
			k->service_times->total < PERCENTILE_MIN_SAMPLES
				? 0
				: histogram_quantile(k->service_times, 0.95);
	}
}

int flow_kind_info(const struct flow *f, uint32_t kind,
		   struct flow_kind_info *out)
{
	const struct flow_kind *k;

	if (kind >= f->kind_count)
		return -1;
	k = &f->kinds[kind];
	memcpy(out->user, k->user, sizeof(out->user));
	memcpy(out->name, k->name, sizeof(out->name));
	out->queued = k->queued;
	out->running = k->running;
	out->p95_us = k->service_p95_us;
	out->service_us = (uint64_t)k->mean_service_us;
	return 0;
}
