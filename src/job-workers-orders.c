#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-evacuation.h"
#include "job-workers-internal.h"
#include "latency.h"
#include "log.h"
#include "stop-pace.h"
#include "worker-path.h"

/* For orders other than stops; the second if the first is overdue. */
#define ORDER_CONNECTIONS 2
/* Weight of the last round trip in the average. */
#define ROUND_TRIP_WEIGHT 8
/* Several times the round trip to a worker in another zone. */
#define ORDER_OVERDUE_US 60000u
/*
 * Each start grants a lease, also one that a lost worker never receives. After
 * so many without an answer further ones wait until the worker has responded to
 * any call.
 */
#define STARTS_UNANSWERED_MAX 4u

struct order_text {
	uint32_t references;
	char text[];
};

void worker_orders_release_text(struct order_text *t)
{
	if (t && !--t->references)
		free(t);
}

/* Orders for the tasks of a job come one after the other. */
static struct order_text *share_text(struct job_workers *w, const char *text)
{
	size_t size = strlen(text) + 1;

	if (!w->last_text || strcmp(w->last_text->text, text)) {
		worker_orders_release_text(w->last_text);
		w->last_text = xcalloc(1, sizeof(*w->last_text) + size);
		memcpy(w->last_text->text, text, size);
		w->last_text->references = 1;
	}
	w->last_text->references++;
	return w->last_text;
}

static void free_order(struct queued_order *o)
{
	worker_orders_release_text(o->text);
	free(o->checkpoint);
	free(o);
}

void worker_orders_free(struct queued_order *o)
{
	struct queued_order *next;

	for (; o; o = next) {
		next = o->next;
		free_order(o);
	}
}

void worker_orders_init(struct worker_link *l)
{
	l->queue_head = NULL;
	l->queue_tail = &l->queue_head;
	l->stops_tail = &l->queue_head;
	l->stops_queued = 0;
}

struct queued_order *worker_orders_detach(struct worker_link *l)
{
	struct queued_order *first = l->queue_head;

	for (int i = WORKER_ORDER_CONNECTIONS; i-- > 0;) {
		if (!l->in_flight[i])
			continue;
		l->in_flight[i]->next = first;
		first = l->in_flight[i];
		l->in_flight[i] = NULL;
	}
	worker_orders_init(l);
	return first;
}

void worker_orders_end(struct job_workers *w, struct queued_order *orders)
{
	for (struct queued_order *o = orders; o; o = o->next)
		sched_order_result(w->sched, &o->order,
				   o->sent_us ? SCHED_OUTCOME_UNKNOWN
					      : SCHED_NOT_SENT,
				   clock_now_us());
	worker_orders_free(orders);
}

static void note_round_trip(struct worker_link *l, uint64_t took_us)
{
	l->round_trip_us =
		l->round_trip_us ? (l->round_trip_us * (ROUND_TRIP_WEIGHT - 1) +
				    took_us) /
					   ROUND_TRIP_WEIGHT
				 : took_us;
}

static void on_order(void *arg, const struct worker_response *a)
{
	struct queued_order *o = arg;
	struct worker_link *l = o->link;
	struct job_workers *w = l->workers;
	enum sched_result result = a->result;

	l->in_flight[o->connection] = NULL;
	latency_add(LATENCY_ORDER, clock_now_us() - o->sent_us);
	if (a->outcome == WORKER_RESPONDED)
		note_round_trip(l, clock_now_us() - o->sent_us);
	if (a->outcome == WORKER_OUTCOME_UNKNOWN ||
	    a->outcome == WORKER_PATH_LOST) {
		/* Repeated on a new connection; polls tell if it is alive. */
		counter_add(w->lost_responses, 1);
		result = SCHED_OUTCOME_UNKNOWN;
		/* The loss of a relay says nothing about the worker. */
		if (o->order.type == SCHED_START &&
		    a->outcome == WORKER_OUTCOME_UNKNOWN)
			l->starts_unanswered++;
	} else if (!worker_handle_response(l, a)) {
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
	worker_orders_send(l);
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
	return now < order_deadline_us(l, o);
}

static bool starts_wait(const struct worker_link *l)
{
	const struct job_node *n = l->workers->node;

	return l->starts_unanswered >= STARTS_UNANSWERED_MAX ||
	       clock_now_us() >= job_evacuation_starts_end_us(n->evacuation) ||
	       sched_lease_withheld(l->workers->sched, l->worker);
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

/*
 * Link to the next order. Stops come first, but for those of tasks with an
 * order in flight. Starts that wait don't delay changes of pace behind them. A
 * task's own later orders make its start unwanted.
 */
static struct queued_order **next_order(struct worker_link *l)
{
	struct queued_order **o = &l->queue_head;

	while (o != l->stops_tail) {
		if (!task_has_order_in_flight(l, &(*o)->order))
			return o;
		o = &(*o)->next;
	}
	if (!starts_wait(l))
		return o;
	while (*o && (*o)->order.type == SCHED_START &&
	       sched_order_wanted(l->workers->sched, &(*o)->order))
		o = &(*o)->next;
	return o;
}

/* Connections that are used for stops even if none is overdue. */
static int connections_for_stops(const struct worker_link *l, uint64_t now)
{
	if (!l->stops_queued)
		return 0;
	return (int)stop_pace(l->stops_queued, l->round_trip_us,
			      now - l->queue_head->queued_us,
			      (uint32_t)worker_path_order_connections(l->path));
}

/*
 * Uses another connection only for many stops, or if the order on the previous
 * one is overdue: workers close connections that are idle for seconds, so it
 * may need a new connection.
 */
static int find_idle_connection(const struct worker_link *l,
				const struct queued_order *o, uint64_t now)
{
	int for_stops =
		o->order.type == SCHED_STOP ? connections_for_stops(l, now) : 0;

	for (int i = 0; i < WORKER_ORDER_CONNECTIONS; i++) {
		if (!l->in_flight[i])
			return i < ORDER_CONNECTIONS || i < for_stops ? i : -1;
		if (i + 1 >= for_stops &&
		    now < l->in_flight[i]->sent_us + ORDER_OVERDUE_US)
			return -1;
	}
	return -1;
}

static void take_order(struct worker_link *l, struct queued_order **link)
{
	struct queued_order *o = *link;

	*link = o->next;
	if (!*link)
		l->queue_tail = link;
	if (l->stops_tail == &o->next)
		l->stops_tail = link;
	l->stops_queued -= o->order.type == SCHED_STOP;
}

void worker_orders_send(struct worker_link *l)
{
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();
	struct queued_order **next, *o;
	int connection;

	while ((o = *(next = next_order(l))) &&
	       (connection = find_idle_connection(l, o, now)) >= 0) {
		bool wanted = sched_order_wanted(w->sched, &o->order);

		if (wanted && (!may_send(l, &o->order, now) ||
			       task_has_order_in_flight(l, &o->order)))
			return;
		take_order(l, next);
		if (!wanted) {
			free_order(o);
			continue;
		}
		l->in_flight[connection] = o;
		o->connection = connection;
		o->sent_us = now;
		if (o->order.type == SCHED_START) {
			sched_lease_granted(w->sched, l->worker, now);
			sched_start_sent(w->sched, &o->order);
		}
		counter_add(w->orders, 1);
		worker_path_order(l->path, connection, &o->order,
				  job_owner_fencing_token(w->node->owner),
				  worker_lease_until(l, now),
				  order_deadline_us(l, &o->order), on_order, o);
	}
}

static void queue_order(struct worker_link *l, struct queued_order *o)
{
	bool stop = o->order.type == SCHED_STOP;
	struct queued_order **link = stop ? l->stops_tail : l->queue_tail;

	o->next = *link;
	*link = o;
	if (link == l->queue_tail)
		l->queue_tail = &o->next;
	if (stop)
		l->stops_tail = &o->next;
	l->stops_queued += stop;
}

void job_workers_queue_order(struct job_workers *w,
			     const struct sched_order *order)
{
	struct worker_link *l = worker_link_find(w, order->worker);
	struct queued_order *o;

	if (!l) {
		log_event(LOG_DEBUG, "order-without-worker", "task=%s run=%u",
			  order->task, order->run);
		return;
	}
	o = xcalloc(1, sizeof(*o));
	o->order = *order;
	o->link = l;
	o->order.text = "";
	o->order.checkpoint = "";
	if (order->type == SCHED_START) {
		o->text = share_text(w, order->text);
		o->checkpoint = xstrdup(order->checkpoint);
		o->order.text = o->text->text;
		o->order.checkpoint = o->checkpoint;
	}
	o->queued_us = clock_now_us();
	queue_order(l, o);
	w->idle_until_us[l->worker] = 0;
	worker_orders_send(l);
}
