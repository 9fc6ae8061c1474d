#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-node.h"
#include "latency.h"
#include "log.h"

/* Between two looks at one worker, so that ends are taken in batches. */
#define LOOK_INTERVAL_US 20000u
/* A look is repeated without its ends being stored after that time. */
#define ACK_WAIT_US 700000u
#define SILENT_RETRY_US 300000u
/* Several times the way to a worker of another zone and back. */
#define ORDER_OVERDUE_US 60000u
/* A worker that is gone from the list and silent is asked for that long. */
#define FORGET_US 30000000u

/* One worker's connections and what is queued for it. */
struct link {
	struct job_workers *all;
	struct worker_client *client;
	uint32_t worker; /* handle in the core */
	char id[JOB_NAME_BYTES];
	struct settings_address address;
	struct link_order *first;
	struct link_order **last;
	struct link_order *sent[WORKER_ORDERS_MAX];
	uint64_t clock_ms; /* of the worker, at clock_us here; 0: unknown */
	uint64_t clock_us;
	uint64_t asked_us;
	uint64_t next_look_us;
	uint64_t ack_wait_us; /* ends wait to be stored until then */
	uint64_t seen;
	uint64_t born_wall_ms;
	uint64_t silent_us; /* since; 0: it answers */
	bool looking;
	bool verify; /* it may have been restarted: acknowledge nothing */
	bool listed;
	bool swept;
	bool closed;
};

struct link_order {
	struct link_order *next;
	struct sched_order order;
	struct link *link;
	int lane;
	uint64_t sent_us;
	char *text;
	char *checkpoint;
};

struct job_workers {
	struct job_node *node;
	struct sched *sched;
	struct link **links; /* by handle */
	uint32_t count;
	struct counter *looks;
	struct counter *orders;
	struct counter *lost;
};

static void send_orders(struct link *l);

struct job_workers *job_workers_create(struct job_node *n, struct sched *s)
{
	struct job_workers *w = xcalloc(1, sizeof(*w));

	w->node = n;
	w->sched = s;
	w->looks = counter_get(COUNTER, "waxwing_worker_looks_total", NULL);
	w->orders = counter_get(COUNTER, "waxwing_worker_orders_total", NULL);
	w->lost = counter_get(COUNTER, "waxwing_worker_lost_total", NULL);
	return w;
}

static void free_order(struct link_order *o)
{
	free(o->text);
	free(o->checkpoint);
	free(o);
}

static void free_link(struct link *l)
{
	struct link_order *o;

	l->all->node->platform->worker->close(l->client);
	for (int i = 0; i < WORKER_ORDERS_MAX; i++)
		if (l->sent[i])
			free_order(l->sent[i]);
	while ((o = l->first)) {
		l->first = o->next;
		free_order(o);
	}
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
	free(w);
}

static struct link *find_link(struct job_workers *w, uint32_t worker)
{
	return worker < w->count ? w->links[worker] : NULL;
}

static struct link *add_link(struct job_workers *w, uint32_t worker,
			     const struct job_worker_entry *e)
{
	struct link *l = xcalloc(1, sizeof(*l));

	if (worker >= w->count) {
		w->links = xrealloc(w->links, (worker + 1) * sizeof(*w->links));
		memset(&w->links[w->count], 0,
		       (worker + 1 - w->count) * sizeof(*w->links));
		w->count = worker + 1;
	}
	w->links[worker] = l;
	l->all = w;
	l->worker = worker;
	l->last = &l->first;
	l->verify = true;
	l->address = e->address;
	snprintf(l->id, sizeof(l->id), "%s", e->id);
	l->client = w->node->platform->worker->open(w->node->base, e->id,
						    &e->address);
	return l;
}

void job_workers_entry(struct job_workers *w, const struct job_worker_entry *e)
{
	uint32_t worker = sched_update_worker(w->sched, &e->info);
	struct link *l = find_link(w, worker);

	if (l && memcmp(&l->address, &e->address, sizeof(e->address))) {
		free_link(l);
		w->links[worker] = NULL;
		l = NULL;
	}
	if (!l)
		l = add_link(w, worker, e);
	l->listed = true;
	l->swept = false;
	if (e->info.started_wall_ms > l->born_wall_ms) {
		l->born_wall_ms = e->info.started_wall_ms;
		l->verify = true;
		l->clock_ms = 0;
	}
}

void job_workers_unlisted(struct job_workers *w, const char *id)
{
	uint32_t worker = sched_find_worker(w->sched, id);
	struct link *l = find_link(w, worker);

	if (worker == SCHED_NONE)
		return;
	if (l)
		l->listed = false;
	sched_worker_unlisted(w->sched, worker, clock_now_us());
}

void job_workers_sweep(struct job_workers *w, bool begin)
{
	for (uint32_t i = 0; i < w->count; i++) {
		if (!w->links[i])
			continue;
		if (begin)
			w->links[i]->swept = true;
		else if (w->links[i]->swept)
			job_workers_unlisted(w, w->links[i]->id);
	}
}

/* The worker's clock now; it may be ahead of that by the answer's way. */
static uint64_t lease_until(const struct link *l, uint64_t now)
{
	return l->clock_ms + (now - l->clock_us) / 1000 +
	       l->all->node->settings->jobs.lease_max_us / 1000;
}

static void take_clock(struct link *l, const struct worker_answer *a)
{
	if (!a->clock_ms)
		return;
	l->clock_ms = a->clock_ms;
	l->clock_us = clock_now_us();
}

/* Handles what every answer may tell; returns whether it was an answer. */
static bool take_answer(struct link *l, const struct worker_answer *a)
{
	struct job_workers *w = l->all;
	uint64_t now = clock_now_us();

	switch (a->outcome) {
	case WORKER_ANSWERED:
		take_clock(l, a);
		return true;
	case WORKER_FENCED:
		log_event(LOG_WARNING, "owner-fenced", "worker=%s token=%llu",
			  l->id,
			  (unsigned long long)job_owner_token(w->node->owner));
		job_owner_deposed(w->node->owner);
		return false;
	case WORKER_OTHER_LIFE:
		sched_worker_dead(w->sched, l->worker, now);
		break;
	default:
		counter_add(w->lost, 1);
		break;
	}
	l->verify = true;
	return false;
}

/* ---- looks ---- */

static void on_look(void *arg, const struct worker_answer *a)
{
	struct link *l = arg;
	struct job_workers *w = l->all;
	uint64_t now = clock_now_us();
	struct sched_report r = a->report;

	l->looking = false;
	l->next_look_us = now + LOOK_INTERVAL_US;
	if (!take_answer(l, a)) {
		l->next_look_us = now + SILENT_RETRY_US;
		if (!l->silent_us)
			l->silent_us = now;
		sched_worker_unresponsive(w->sched, l->worker, now);
		return;
	}
	l->silent_us = 0;
	if (r.started_wall_ms && r.started_wall_ms != l->born_wall_ms)
		l->born_wall_ms = r.started_wall_ms;
	l->verify = false;
	l->seen = 0;
	if (r.ended_count) {
		l->seen = r.ended[r.ended_count - 1].seq;
		l->ack_wait_us = now + ACK_WAIT_US;
	}
	r.requested_us = l->asked_us;
	sched_report(w->sched, l->worker, &r, now, clock_wall_us() / 1000);
	job_owner_kick(w->node->owner);
	send_orders(l);
}

static void look(struct link *l, uint64_t now)
{
	struct job_workers *w = l->all;
	struct job_owner *owner = w->node->owner;
	struct worker_look q = { .token = job_owner_token(owner) };

	if (!l->verify && l->clock_ms && job_owner_may_renew(owner, now)) {
		q.lease_until_ms = lease_until(l, now);
		sched_lease_granted(w->sched, l->worker, now);
	}
	if (!l->verify) {
		q.seen_upto = sched_acknowledged_seq(w->sched, l->worker);
		q.wait_ms = sched_report_wait_ms(w->sched, l->worker);
	}
	l->asked_us = now;
	l->looking = true;
	counter_add(w->looks, 1);
	w->node->platform->worker->look(l->client, &q, on_look, l);
}

/* ---- orders ---- */

static void on_order(void *arg, const struct worker_answer *a)
{
	struct link_order *o = arg;
	struct link *l = o->link;
	struct job_workers *w = l->all;
	enum sched_result result = a->result;

	l->sent[o->lane] = NULL;
	latency_add(LATENCY_ORDER, clock_now_us() - o->sent_us);
	if (a->outcome == WORKER_LOST) {
		/* Repeated on a new connection; looks tell if it is alive. */
		counter_add(w->lost, 1);
		result = SCHED_OUTCOME_UNKNOWN;
	} else if (!take_answer(l, a)) {
		result = SCHED_NOT_SENT;
	}
	if (a->outcome != WORKER_ANSWERED)
		log_event(LOG_INFO, "order-lost",
			  "task=%s run=%u type=%d worker=%s outcome=%d",
			  o->order.task, o->order.run, o->order.type, l->id,
			  a->outcome);
	if (a->outcome != WORKER_FENCED)
		sched_order_result(w->sched, &o->order, result, clock_now_us());
	free_order(o);
	job_owner_kick(w->node->owner);
	send_orders(l);
}

/* A start waits until it is sure that this process owns the jobs. */
static bool may_send(const struct link *l, const struct sched_order *o,
		     uint64_t now)
{
	const struct job_owner *owner = l->all->node->owner;

	if (l->verify || !l->clock_ms || l->silent_us)
		return false;
	return o->type == SCHED_START ? job_owner_valid(owner, now)
				      : job_owner_may_renew(owner, now);
}

/*
 * Workers close connections that are idle for seconds, so a further lane is
 * used only when an order is overdue: each use may cost a new connection.
 */
static int free_lane(const struct link *l, uint64_t now)
{
	for (int i = 0; i < WORKER_ORDERS_MAX; i++) {
		if (!l->sent[i])
			return i;
		if (now < l->sent[i]->sent_us + ORDER_OVERDUE_US)
			return -1;
	}
	return -1;
}

/* Orders of one task keep their sequence. */
static bool task_is_busy(const struct link *l, const struct sched_order *o)
{
	for (int i = 0; i < WORKER_ORDERS_MAX; i++)
		if (l->sent[i] && !strcmp(l->sent[i]->order.task, o->task))
			return true;
	return false;
}

static void send_orders(struct link *l)
{
	struct job_workers *w = l->all;
	uint64_t now = clock_now_us();
	struct link_order *o;
	int lane;

	while ((o = l->first) && (lane = free_lane(l, now)) >= 0) {
		bool wanted = sched_order_wanted(w->sched, &o->order);

		if (wanted && (!may_send(l, &o->order, now) ||
			       task_is_busy(l, &o->order)))
			return;
		l->first = o->next;
		if (!l->first)
			l->last = &l->first;
		if (!wanted) {
			free_order(o);
			continue;
		}
		l->sent[lane] = o;
		o->lane = lane;
		o->sent_us = now;
		if (o->order.type == SCHED_START)
			sched_lease_granted(w->sched, l->worker, now);
		counter_add(w->orders, 1);
		w->node->platform->worker->order(
			l->client, lane, &o->order,
			job_owner_token(w->node->owner), lease_until(l, now),
			on_order, o);
	}
}

void job_workers_order(struct job_workers *w, const struct sched_order *order)
{
	struct link *l = find_link(w, order->worker);
	struct link_order *o;

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
	*l->last = o;
	l->last = &o->next;
	send_orders(l);
}

static bool look_due(const struct link *l, uint64_t now)
{
	if (l->looking || now < l->next_look_us)
		return false;
	/* A look returns at once while ends are not acknowledged. */
	return l->verify || !l->seen || now >= l->ack_wait_us ||
	       sched_acknowledged_seq(l->all->sched, l->worker) >= l->seen;
}

void job_workers_tick(struct job_workers *w, uint64_t now)
{
	for (uint32_t i = 0; i < w->count; i++) {
		struct link *l = w->links[i];

		if (!l)
			continue;
		if (!l->listed && l->silent_us &&
		    now > l->silent_us + FORGET_US)
			continue;
		if (look_due(l, now))
			look(l, now);
		send_orders(l);
	}
}
