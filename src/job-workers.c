#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-node.h"
#include "latency.h"
#include "log.h"
#include "worker-path.h"

/* Minimum time between polls of a worker; batches its run ends. */
#define POLL_INTERVAL_US 20000u
/* A poll that neither renews a lease nor acknowledges ends is sent until. */
#define PLAIN_POLL_VALID_US 1000000u
/* Interval at which due polls are sent, as a report follows each tick. */
#define SCAN_INTERVAL_US 5000u
/* Polls again after this time even if the last run ends aren't stored yet. */
#define ACK_TIMEOUT_US 700000u
#define UNRESPONSIVE_RETRY_US 300000u
/*
 * A poll ends this long before the time until which leases may be granted, so
 * that the next one renews the lease once more.
 */
#define LAST_POLL_MS 250u
/* Longest delay of a report while the worker's leases may not be renewed. */
#define WITHHELD_WAIT_MS 100u
/* The same while no lease may be granted, as in an outage of the store. */
#define UNGRANTED_WAIT_MS 500u
/* A worker that refused a poll answers; it is polled again after this time. */
#define REFUSED_RETRY_US 100000u
/* Several times the round trip to a worker in another zone. */
#define ORDER_OVERDUE_US 60000u
/* Responses on different connections overtake each other by less than this. */
#define CLOCK_BACK_MS 5000u
/* An unlisted, unresponsive worker is polled for this long. */
#define UNLISTED_POLL_US 30000000u

/* State of one worker and the orders queued for it. */
struct worker_link {
	struct job_workers *workers;
	struct worker_path *path;
	uint32_t worker; /* index in the scheduler */
	char id[JOB_NAME_BYTES];
	struct settings_address address;
	struct queued_order *queue_head;
	struct queued_order **queue_tail;
	struct queued_order *in_flight[WORKER_ORDER_CONNECTIONS];
	uint64_t clock_ms; /* the worker's clock at clock_us; 0: unknown */
	uint64_t clock_us;
	uint64_t poll_sent_us;
	uint64_t next_poll_us;
	uint64_t ack_deadline_us; /* polls again then at the latest */
	uint64_t last_end_seq;
	uint64_t started_wall_ms;
	uint64_t entry_fingerprint;	/* of the last entry */
	uint64_t entry_started_wall_ms; /* as in the last entry */
	uint64_t unresponsive_since_us; /* 0: responsive */
	uint64_t reported_us;		/* when the last report was requested */
	bool polling;
	bool poll_refused; /* the last poll was, and did not renew the lease */
	/* It may have restarted: acknowledge nothing before a report. */
	bool verify_incarnation;
	bool listed;
	bool resync_unseen; /* no entry read yet in the current resync */
	bool closed;
};

struct queued_order {
	struct queued_order *next;
	struct sched_order order;
	struct worker_link *link;
	int connection;
	uint64_t sent_us;
	char *text;
	char *checkpoint;
};

struct job_workers {
	struct job_node *node;
	struct sched *sched;
	struct worker_link **links; /* by index in the scheduler */
	/* By link: nothing is due before; reset by each event of a link. */
	uint64_t *idle_until_us;
	uint32_t count;
	uint64_t next_scan_us;
	struct counter *polls;
	struct counter *orders;
	struct counter *lost_responses;
};

static void send_orders(struct worker_link *l);

struct job_workers *job_workers_create(struct job_node *n, struct sched *s)
{
	struct job_workers *w = xcalloc(1, sizeof(*w));

	w->node = n;
	w->sched = s;
	w->polls = counter_get(COUNTER, "waxwing_worker_looks_total", NULL);
	w->orders = counter_get(COUNTER, "waxwing_worker_orders_total", NULL);
	w->lost_responses =
		counter_get(COUNTER, "waxwing_worker_lost_total", NULL);
	return w;
}

static void free_order(struct queued_order *o)
{
	free(o->text);
	free(o->checkpoint);
	free(o);
}

static void free_orders(struct queued_order *o)
{
	struct queued_order *next;

	for (; o; o = next) {
		next = o->next;
		free_order(o);
	}
}

/* Takes all orders of a link: those in flight, then those queued. */
static struct queued_order *detach_orders(struct worker_link *l)
{
	struct queued_order *first = l->queue_head;

	for (int i = WORKER_ORDER_CONNECTIONS; i-- > 0;) {
		if (!l->in_flight[i])
			continue;
		l->in_flight[i]->next = first;
		first = l->in_flight[i];
		l->in_flight[i] = NULL;
	}
	l->queue_head = NULL;
	l->queue_tail = &l->queue_head;
	return first;
}

static void free_link(struct worker_link *l)
{
	worker_path_free(l->path);
	free_orders(detach_orders(l));
	free(l);
}

void job_workers_destroy(struct job_workers *w)
{
	if (!w)
		return;
	for (uint32_t i = 0; i < w->count; i++)
		if (w->links[i])
			free_link(w->links[i]);
	free(w->links);
	free(w->idle_until_us);
	free(w);
}

static struct worker_link *find_link(struct job_workers *w, uint32_t worker)
{
	return worker < w->count ? w->links[worker] : NULL;
}

static struct worker_link *add_link(struct job_workers *w, uint32_t worker,
				    const struct job_worker_entry *e)
{
	struct worker_link *l = xcalloc(1, sizeof(*l));

	if (worker >= w->count) {
		w->links = xrealloc(w->links, (worker + 1) * sizeof(*w->links));
		memset(&w->links[w->count], 0,
		       (worker + 1 - w->count) * sizeof(*w->links));
		w->idle_until_us =
			xrealloc(w->idle_until_us,
				 (worker + 1) * sizeof(*w->idle_until_us));
		memset(&w->idle_until_us[w->count], 0,
		       (worker + 1 - w->count) * sizeof(*w->idle_until_us));
		w->count = worker + 1;
	}
	w->links[worker] = l;
	w->idle_until_us[worker] = 0;
	l->workers = w;
	l->worker = worker;
	l->queue_tail = &l->queue_head;
	l->verify_incarnation = true;
	l->address = e->address;
	snprintf(l->id, sizeof(l->id), "%s", e->id);
	l->path = worker_path_create(w->node->relay_hub, worker, e->id, e->zone,
				     &e->address);
	return l;
}

/* Reports the outcome of the orders of a link that was replaced. */
static void end_orders(struct job_workers *w, struct queued_order *orders)
{
	for (struct queued_order *o = orders; o; o = o->next)
		sched_order_result(w->sched, &o->order,
				   o->sent_us ? SCHED_OUTCOME_UNKNOWN
					      : SCHED_NOT_SENT,
				   clock_now_us());
	free_orders(orders);
}

bool job_workers_confirm_entry(struct job_workers *w, const char *id,
			       uint64_t fingerprint)
{
	struct worker_link *l = find_link(w, sched_find_worker(w->sched, id));

	/* A report of another incarnation may have come after the entry. */
	if (!fingerprint || !l || !l->listed ||
	    l->entry_fingerprint != fingerprint ||
	    l->entry_started_wall_ms != l->started_wall_ms)
		return false;
	l->resync_unseen = false;
	sched_worker_confirmed(w->sched);
	return true;
}

static uint16_t address_tag(const struct settings_address *a)
{
	uint64_t hash = XXH64(a->host, strlen(a->host), a->port);

	return (uint16_t)(1 + hash % UINT16_MAX);
}

void job_workers_update_entry(struct job_workers *w,
			      const struct job_worker_entry *e,
			      uint64_t fingerprint)
{
	struct sched_worker_info info = e->info;
	struct queued_order *orders = NULL;
	struct worker_link *l;
	uint32_t worker;

	info.address_tag = address_tag(&e->address);
	worker = sched_update_worker(w->sched, &info);
	l = find_link(w, worker);

	if (l && memcmp(&l->address, &e->address, sizeof(e->address))) {
		orders = detach_orders(l);
		free_link(l);
		w->links[worker] = NULL;
		l = NULL;
	}
	if (!l)
		l = add_link(w, worker, e);
	l->listed = true;
	l->resync_unseen = false;
	if (e->info.started_wall_ms > l->started_wall_ms) {
		l->started_wall_ms = e->info.started_wall_ms;
		l->verify_incarnation = true;
		l->next_poll_us = 0;
		w->idle_until_us[worker] = 0;
		l->clock_ms = 0;
	}
	l->entry_fingerprint = fingerprint;
	l->entry_started_wall_ms = e->info.started_wall_ms;
	end_orders(w, orders);
}

void job_workers_mark_unlisted(struct job_workers *w, const char *id)
{
	uint32_t worker = sched_find_worker(w->sched, id);
	struct worker_link *l = find_link(w, worker);

	if (worker == SCHED_NONE)
		return;
	if (l)
		l->listed = false;
	sched_worker_unlisted(w->sched, worker, clock_now_us());
}

void job_workers_resync(struct job_workers *w, bool begin)
{
	for (uint32_t i = 0; i < w->count; i++) {
		if (!w->links[i])
			continue;
		if (begin)
			w->links[i]->resync_unseen = true;
		else if (w->links[i]->resync_unseen)
			job_workers_mark_unlisted(w, w->links[i]->id);
	}
}

/*
 * Estimates the worker's clock from its last response. The clock may be ahead
 * of the estimate by the time that the response took.
 */
static uint64_t lease_until(const struct worker_link *l, uint64_t now)
{
	return l->clock_ms + (now - l->clock_us) / 1000 +
	       l->workers->node->settings->jobs.lease_max_us / 1000;
}

static void update_clock(struct worker_link *l, const struct worker_response *a)
{
	if (!a->clock_ms)
		return;
	l->clock_ms = a->clock_ms;
	l->clock_us = clock_now_us();
}

/*
 * A restart sets the worker's clock back; nothing else in the answer to an
 * order tells of it.
 */
static bool clock_went_back(const struct worker_link *l,
			    const struct worker_response *a)
{
	return a->clock_ms && a->clock_ms + CLOCK_BACK_MS < l->clock_ms;
}

/* Handles what all responses share. Returns true if the worker responded. */
static bool handle_response(struct worker_link *l,
			    const struct worker_response *a)
{
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();

	switch (a->outcome) {
	case WORKER_RESPONDED:
		if (clock_went_back(l, a))
			l->verify_incarnation = true;
		update_clock(l, a);
		return true;
	case WORKER_FENCED:
		log_event(LOG_WARNING, "owner-fenced", "worker=%s token=%llu",
			  l->id,
			  (unsigned long long)job_owner_fencing_token(
				  w->node->owner));
		job_owner_ownership_lost(w->node->owner);
		return false;
	case WORKER_OTHER_INCARNATION:
		sched_worker_dead(w->sched, l->worker, now);
		break;
	case WORKER_PATH_LOST:
		break;
	default:
		counter_add(w->lost_responses, 1);
		break;
	}
	l->verify_incarnation = true;
	return false;
}

/* ---- polls ---- */

/*
 * The first poll without a response is repeated without delay, as it takes
 * another path. The loss of a relay says nothing about the worker.
 */
static void handle_no_report(struct worker_link *l,
			     const struct worker_response *a, uint64_t now)
{
	l->poll_refused = worker_poll_refused(a);
	if (a->outcome == WORKER_PATH_LOST)
		return;
	if (l->poll_refused)
		l->next_poll_us = now + REFUSED_RETRY_US;
	else if (l->unresponsive_since_us)
		l->next_poll_us = now + UNRESPONSIVE_RETRY_US;
	if (!l->unresponsive_since_us)
		l->unresponsive_since_us = now;
	sched_worker_unresponsive(l->workers->sched, l->worker, now);
}

static void on_report(void *arg, const struct worker_response *a)
{
	struct worker_link *l = arg;
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();
	struct sched_report r = a->report;

	l->polling = false;
	l->next_poll_us = now + POLL_INTERVAL_US;
	w->idle_until_us[l->worker] = 0;
	if (!handle_response(l, a)) {
		handle_no_report(l, a, now);
		return;
	}
	l->unresponsive_since_us = 0;
	l->poll_refused = false;
	r.requested_us = l->poll_sent_us;
	if (!sched_report(w->sched, l->worker, &r, now,
			  clock_wall_us() / 1000)) {
		l->verify_incarnation = true;
		l->clock_ms = 0;
		return;
	}
	l->reported_us = l->poll_sent_us;
	if (r.started_wall_ms && r.started_wall_ms != l->started_wall_ms)
		l->started_wall_ms = r.started_wall_ms;
	l->verify_incarnation = false;
	l->last_end_seq = 0;
	if (r.ended_count) {
		l->last_end_seq = r.ended[r.ended_count - 1].seq;
		l->ack_deadline_us = now + ACK_TIMEOUT_US;
	}
	job_owner_schedule_tick(w->node->owner);
	send_orders(l);
}

/*
 * A silent worker's leases must end. They are renewed at one that refuses polls
 * while its tasks can still run, as the refused poll had no effect.
 */
static bool may_renew_lease(const struct worker_link *l, uint64_t now)
{
	const struct job_node *n = l->workers->node;

	if (!l->clock_ms || now >= job_owner_renewal_end_us(n->owner) ||
	    sched_lease_withheld(l->workers->sched, l->worker))
		return false;
	return !l->verify_incarnation ||
	       (l->poll_refused &&
		now < l->reported_us + n->settings->jobs.lease_max_us);
}

static uint32_t poll_wait_ms(const struct worker_link *l, uint64_t now)
{
	const struct job_workers *w = l->workers;
	uint64_t end_us = job_owner_renewal_end_us(w->node->owner);
	uint64_t left_ms = end_us > now ? (end_us - now) / 1000 : 0;
	uint32_t wait_ms = sched_report_wait_ms(w->sched, l->worker);

	if ((!end_us || sched_lease_withheld(w->sched, l->worker)) &&
	    wait_ms > WITHHELD_WAIT_MS)
		return WITHHELD_WAIT_MS;
	if (!left_ms && wait_ms > UNGRANTED_WAIT_MS)
		return UNGRANTED_WAIT_MS;
	if (left_ms > 2 * LAST_POLL_MS && wait_ms > left_ms - LAST_POLL_MS)
		return (uint32_t)left_ms - LAST_POLL_MS;
	return wait_ms;
}

static void send_poll(struct worker_link *l, uint64_t now)
{
	struct job_workers *w = l->workers;
	struct job_owner *owner = w->node->owner;
	struct worker_poll q = { .fencing_token =
					 job_owner_fencing_token(owner) };
	uint64_t deadline_us = now + PLAIN_POLL_VALID_US;

	if (may_renew_lease(l, now)) {
		q.lease_until_ms = lease_until(l, now);
		deadline_us = job_owner_renewal_end_us(owner);
		sched_lease_granted(w->sched, l->worker, now);
	}
	if (!l->verify_incarnation) {
		q.acknowledged_seq =
			sched_acknowledged_seq(w->sched, l->worker);
		q.wait_ms = poll_wait_ms(l, now);
	}
	l->poll_sent_us = now;
	l->polling = true;
	counter_add(w->polls, 1);
	worker_path_poll(l->path, &q, deadline_us, on_report, l);
}

/* ---- orders ---- */

static void on_order(void *arg, const struct worker_response *a)
{
	struct queued_order *o = arg;
	struct worker_link *l = o->link;
	struct job_workers *w = l->workers;
	enum sched_result result = a->result;

	l->in_flight[o->connection] = NULL;
	latency_add(LATENCY_ORDER, clock_now_us() - o->sent_us);
	if (a->outcome == WORKER_OUTCOME_UNKNOWN ||
	    a->outcome == WORKER_PATH_LOST) {
		/* Repeated on a new connection; polls tell if it is alive. */
		counter_add(w->lost_responses, 1);
		result = SCHED_OUTCOME_UNKNOWN;
	} else if (!handle_response(l, a)) {
		result = SCHED_NOT_SENT;
	}
	if (a->outcome != WORKER_RESPONDED)
		log_event(LOG_INFO, "order-lost",
			  "task=%s run=%u type=%d worker=%s outcome=%d via=%s",
			  o->order.task, o->order.run, o->order.type, l->id,
			  a->outcome,
			  worker_path_order_vm(l->path, o->connection));
	if (a->outcome != WORKER_FENCED)
		sched_order_result(w->sched, &o->order, result, clock_now_us());
	free_order(o);
	job_owner_schedule_tick(w->node->owner);
	send_orders(l);
}

/* A start is sent only while this process's ownership is certain. */
static uint64_t order_deadline_us(const struct worker_link *l,
				  const struct sched_order *o)
{
	const struct job_owner *owner = l->workers->node->owner;

	return o->type == SCHED_START ? job_owner_lease_end_us(owner)
				      : job_owner_orders_end_us(owner);
}

static bool may_send(const struct worker_link *l, const struct sched_order *o,
		     uint64_t now)
{
	if (l->verify_incarnation || !l->clock_ms || l->unresponsive_since_us)
		return false;
	if (o->type == SCHED_START &&
	    sched_lease_withheld(l->workers->sched, l->worker))
		return false;
	return now < order_deadline_us(l, o);
}

/*
 * Uses another connection only if the order on the previous one is overdue:
 * workers close connections that are idle for seconds, so it may need a new
 * connection.
 */
static int find_idle_connection(const struct worker_link *l, uint64_t now)
{
	for (int i = 0; i < WORKER_ORDER_CONNECTIONS; i++) {
		if (!l->in_flight[i])
			return i;
		if (now < l->in_flight[i]->sent_us + ORDER_OVERDUE_US)
			return -1;
	}
	return -1;
}

/* Such a task's next order waits, which keeps its orders in sequence. */
static bool task_has_order_in_flight(const struct worker_link *l,
				     const struct sched_order *o)
{
	for (int i = 0; i < WORKER_ORDER_CONNECTIONS; i++)
		if (l->in_flight[i] &&
		    !strcmp(l->in_flight[i]->order.task, o->task))
			return true;
	return false;
}

static void send_orders(struct worker_link *l)
{
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();
	struct queued_order *o;
	int connection;

	while ((o = l->queue_head) &&
	       (connection = find_idle_connection(l, now)) >= 0) {
		bool wanted = sched_order_wanted(w->sched, &o->order);

		if (wanted && (!may_send(l, &o->order, now) ||
			       task_has_order_in_flight(l, &o->order)))
			return;
		l->queue_head = o->next;
		if (!l->queue_head)
			l->queue_tail = &l->queue_head;
		if (!wanted) {
			free_order(o);
			continue;
		}
		l->in_flight[connection] = o;
		o->connection = connection;
		o->sent_us = now;
		if (o->order.type == SCHED_START)
			sched_lease_granted(w->sched, l->worker, now);
		counter_add(w->orders, 1);
		worker_path_order(l->path, connection, &o->order,
				  job_owner_fencing_token(w->node->owner),
				  lease_until(l, now),
				  order_deadline_us(l, &o->order), on_order, o);
	}
}

void job_workers_queue_order(struct job_workers *w,
			     const struct sched_order *order)
{
	struct worker_link *l = find_link(w, order->worker);
	struct queued_order *o;

	if (!l) {
		log_event(LOG_DEBUG, "order-without-worker", "task=%s run=%u",
			  order->task, order->run);
		return;
	}
	o = xcalloc(1, sizeof(*o));
	o->order = *order;
	o->link = l;
	o->text = xstrdup(order->text);
	o->checkpoint = xstrdup(order->checkpoint);
	o->order.text = o->text;
	o->order.checkpoint = o->checkpoint;
	*l->queue_tail = o;
	l->queue_tail = &o->next;
	w->idle_until_us[l->worker] = 0;
	send_orders(l);
}

/* The time until which leases may be granted is about to end. */
static bool last_poll_due(const struct worker_link *l, uint64_t now)
{
	uint64_t end_us = job_owner_renewal_end_us(l->workers->node->owner);

	return now < end_us && now + LAST_POLL_MS * 1000u >= end_us &&
	       l->poll_sent_us + LAST_POLL_MS * 1000u < end_us;
}

static bool poll_due(const struct worker_link *l, uint64_t now)
{
	if (l->polling || now < l->next_poll_us)
		return false;
	if (last_poll_due(l, now))
		return true;
	/* The worker responds immediately while it has unacknowledged ends. */
	return l->verify_incarnation || !l->last_end_seq ||
	       now >= l->ack_deadline_us ||
	       sched_acknowledged_seq(l->workers->sched, l->worker) >=
		       l->last_end_seq;
}

static uint64_t idle_until_us(const struct worker_link *l)
{
	if (l->queue_head)
		return 0;
	return l->polling ? UINT64_MAX : l->next_poll_us;
}

void job_workers_tick(struct job_workers *w, uint64_t now)
{
	if (now < w->next_scan_us)
		return;
	w->next_scan_us = now + SCAN_INTERVAL_US;
	for (uint32_t i = 0; i < w->count; i++) {
		struct worker_link *l = w->links[i];

		if (now < w->idle_until_us[i] || !l)
			continue;
		if (!l->listed && l->unresponsive_since_us &&
		    now > l->unresponsive_since_us + UNLISTED_POLL_US)
			continue;
		if (poll_due(l, now) && worker_path_usable(l->path, now))
			send_poll(l, now);
		send_orders(l);
		w->idle_until_us[i] = idle_until_us(l);
	}
}
