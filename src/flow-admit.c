#include <string.h>

#include "buffer.h"
#include "flow-internal.h"

/* Cost of a turn of a kind whose service time is not known yet. */
#define DEFAULT_COST_US 10000.0
#define SERVICE_EWMA_WEIGHT 0.125
/*
 * Without new samples the service time counts as unknown, since a kind whose
 * requests are all refused as too slow gets no sample that could correct it.
 */
#define SERVICE_MAX_AGE_US 2000000u
/*
 * Gaps between two sends vary as much as their mean. With a weight of 1/8 the
 * estimate did, too, and let in requests that could not be in time.
 */
#define INTERVAL_EWMA_SHIFT 6
/* Covers what the estimate of the wait misses; see docs/notes/admission.md. */
#define WAIT_MARGIN 1.25
/*
 * One place in so many is kept for kinds below their share. A quarter was too
 * little for requests of 1 s: their slots come free in bursts.
 */
#define RESERVED_QUEUE_DIVISOR 2
#define PERCENTILE_MIN_SAMPLES 20

/* Part of the slots and of the queue that a kind uses, against its share. */
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

/* Time between two sends of a queue, from its sends or else its share. */
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
 * Expected time in the queue for one more request. The time since the last
 * send lets it grow while nothing is sent. It is added and does not take the
 * place of the interval, since slots become free in groups when service times
 * are alike, and a long gap then is followed by many sends.
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
 * Reason to refuse a request, or NONE. The request is one more than those
 * that are counted, or with counted = true one of them.
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

/* Kind above its share, the lowest priority first, then the largest excess. */
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

/* Newest, least urgent request of the kind's longest queue for its weight. */
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
 * Whether the queue is full for a kind. The last places are kept for kinds
 * below their share: most of their requests then displace nobody, and a
 * displaced request is one that is refused late.
 */
static bool queue_is_full(const struct flow *f, const struct flow_kind *k)
{
	uint32_t limit = f->options.queue_limit;

	if (!f->options.fifo_admission && usage_above_share(f, k) >= 0)
		limit -= limit / RESERVED_QUEUE_DIVISOR;
	return f->queued >= limit;
}

/* Makes room in a full queue; -1 when the arriving request must go. */
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
	/* A request that can be sent at once needs no place in the queue. */
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

/* ---- turns ---- */

/* Kind below its guarantee that uses the smallest part of it. */
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

/* Kind whose turn it is for a slot that no guarantee claims. */
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

/* Queue of the kind's team whose turn it is. */
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

/* Charges the turn: teams always, kinds only for slots beyond the guarantee. */
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
	/* A gap during which nothing waited says nothing about the rate. */
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
