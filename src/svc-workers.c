#include <pthread.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "io-pool.h"
#include "log.h"
#include "svc-loop.h"
#include "svc-placement.h"
#include "svc-store.h"
#include "svc-workers.h"

/*
 * Each worker that does not respond can block a thread until its call times
 * out, and a failed rack has up to 11 workers.
 */
#define CALL_THREADS 24
#define CALL_QUEUES_MAX 4096
#define CALL_QUEUE_BUCKETS 512

struct call_queue {
	struct call_queue *next; /* in the hash bucket */
	char name[64];
	struct worker_call *first;
	struct worker_call **last;
	bool active; /* submitted to the pool or being processed */
	struct workers *workers;
};

struct workers {
	struct service service;
	struct loop *loop;
	struct platform *platform;
	struct io_pool *pool;
	pthread_mutex_t lock; /* protects the queues */
	struct call_queue *queues[CALL_QUEUE_BUCKETS];
	atomic_uint in_flight;
	struct counter *calls;
	struct counter *held_back;
};

static int workers_start(struct service *svc, struct kernel *k,
			 struct error *err);
static void workers_stop(struct service *svc);
static void workers_destroy(struct service *svc);
static void process_queue(void *job);

static const struct service_ops workers_ops = {
	.name = "workers",
	.start = workers_start,
	.stop = workers_stop,
	.destroy = workers_destroy,
};

struct service *workers_create(const struct settings *s)
{
	struct workers *w = xcalloc(1, sizeof(*w));

	(void)s;
	w->service.ops = &workers_ops;
	pthread_mutex_init(&w->lock, NULL);
	w->calls = counter_get(COUNTER, "waxwing_worker_calls_total", NULL);
	w->held_back = counter_get(
		COUNTER, "waxwing_worker_calls_held_back_total", NULL);
	return &w->service;
}

struct workers *workers_find(struct kernel *k)
{
	return (struct workers *)kernel_find(k, "workers");
}

static int workers_start(struct service *svc, struct kernel *k,
			 struct error *err)
{
	struct workers *w = (struct workers *)svc;
	struct store *st = store_find(k);

	w->loop = loop_find(k);
	if (!st)
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "service store is missing");
	w->platform = store_platform(st);
	w->pool = io_pool_create("workers", CALL_THREADS, CALL_QUEUES_MAX);
	return 0;
}

static void workers_stop(struct service *svc)
{
	struct workers *w = (struct workers *)svc;

	io_pool_destroy(w->pool);
	w->pool = NULL;
}

static void free_call(struct worker_call *c)
{
	free(c->body);
	buffer_free(&c->response);
	free(c);
}

static void workers_destroy(struct service *svc)
{
	struct workers *w = (struct workers *)svc;

	for (int i = 0; i < CALL_QUEUE_BUCKETS; i++) {
		while (w->queues[i]) {
			struct call_queue *q = w->queues[i];

			w->queues[i] = q->next;
			while (q->first) {
				struct worker_call *c = q->first;

				q->first = c->next;
				free_call(c);
			}
			free(q);
		}
	}
	pthread_mutex_destroy(&w->lock);
	free(w);
}

/* Returns the queue of this name, creating it if needed. Lock held. */
static struct call_queue *get_queue(struct workers *w, const char *name)
{
	uint32_t hash = 5381;
	struct call_queue *q;

	for (const char *s = name; *s; s++)
		hash = hash * 33 + (unsigned char)*s;
	hash %= CALL_QUEUE_BUCKETS;
	for (q = w->queues[hash]; q; q = q->next)
		if (!strcmp(q->name, name))
			return q;
	q = xcalloc(1, sizeof(*q));
	snprintf(q->name, sizeof(q->name), "%s", name);
	q->last = &q->first;
	q->workers = w;
	q->next = w->queues[hash];
	w->queues[hash] = q;
	return q;
}

void workers_submit(struct workers *w, struct worker_call *c)
{
	struct call_queue *q;
	bool idle;

	c->next = NULL;
	atomic_fetch_add(&w->in_flight, 1);
	pthread_mutex_lock(&w->lock);
	q = get_queue(w, c->queue);
	*q->last = c;
	q->last = &c->next;
	idle = !q->active;
	q->active = true;
	pthread_mutex_unlock(&w->lock);
	if (idle && io_pool_submit(w->pool, process_queue, q) < 0) {
		/*
		 * The pool's queue is full. The calls stay in their queue
		 * until the next submission and then fail if they are late.
		 */
		pthread_mutex_lock(&w->lock);
		q->active = false;
		pthread_mutex_unlock(&w->lock);
	}
}

uint32_t workers_in_flight(struct workers *w)
{
	return atomic_load(&w->in_flight);
}

/* Tells whether the call may be sent now; see docs/design.md 5.3. */
static bool may_send(const struct worker_call *c, uint64_t now_us)
{
	const struct worker_gate *g = c->gate;
	uint64_t last_us;

	if (now_us > c->send_by_us)
		return false;
	if (!g)
		return true;
	last_us = atomic_load(&g->last_append_us);
	return atomic_load(&g->epoch) == c->epoch &&
	       (now_us < last_us ||
		now_us - last_us <= atomic_load(&g->horizon_us));
}

/* Runs on the control thread. */
static void finish_call(void *arg)
{
	struct worker_call *c = arg;

	c->done(c);
	free_call(c);
}

static void send_call(struct workers *w, struct worker_call *c)
{
	c->sent_us = clock_now_us();
	c->sent = may_send(c, c->sent_us);
	if (!c->sent) {
		c->failed = -1;
		counter_add(w->held_back, 1);
		return;
	}
	counter_add(w->calls, 1);
	c->failed = w->platform->ops->worker_call(
		w->platform, &c->address, c->method, c->path, c->body,
		c->timeout_us, &c->status, &c->response, &c->err);
}

/* Sends the first call of a queue, then resubmits the queue for the rest. */
static void process_queue(void *job)
{
	struct call_queue *q = job;
	struct workers *w = q->workers;
	struct worker_call *c;

	for (;;) {
		pthread_mutex_lock(&w->lock);
		c = q->first;
		if (c)
			q->first = c->next;
		if (!q->first)
			q->last = &q->first;
		if (!c)
			q->active = false;
		pthread_mutex_unlock(&w->lock);
		if (!c)
			return;
		send_call(w, c);
		atomic_fetch_sub(&w->in_flight, 1);
		loop_post(w->loop, finish_call, c);
		/*
		 * Resubmitting lets other queues run first. If the pool is
		 * full, this thread continues with the next call.
		 */
		if (io_pool_submit(w->pool, process_queue, q) == 0)
			return;
	}
}
