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

/* A rack of 11 dead workers may hold a thread each until its timeout. */
#define THREADS 24
#define LANES_MAX 4096
#define LANE_BUCKETS 512

struct lane {
	struct lane *next; /* in its bucket */
	char name[64];
	struct worker_call *first;
	struct worker_call **last;
	bool active; /* a thread has it, or it is queued for one */
	struct workers *workers;
};

struct workers {
	struct service service;
	struct loop *loop;
	struct platform *platform;
	struct io_pool *pool;
	pthread_mutex_t lock; /* guards the lanes */
	struct lane *lanes[LANE_BUCKETS];
	atomic_uint in_flight;
	struct counter *calls;
	struct counter *held_back;
};

static int workers_start(struct service *svc, struct kernel *k,
			 struct error *err);
static void workers_stop(struct service *svc);
static void workers_destroy(struct service *svc);
static void serve_lane(void *job);

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
	w->pool = io_pool_create("workers", THREADS, LANES_MAX);
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
	buffer_free(&c->answer);
	free(c);
}

static void workers_destroy(struct service *svc)
{
	struct workers *w = (struct workers *)svc;

	for (int i = 0; i < LANE_BUCKETS; i++) {
		while (w->lanes[i]) {
			struct lane *l = w->lanes[i];

			w->lanes[i] = l->next;
			while (l->first) {
				struct worker_call *c = l->first;

				l->first = c->next;
				free_call(c);
			}
			free(l);
		}
	}
	pthread_mutex_destroy(&w->lock);
	free(w);
}

/* Returns the lane of that name. The caller holds the lock. */
static struct lane *lane_get(struct workers *w, const char *name)
{
	uint32_t hash = 5381;
	struct lane *l;

	for (const char *s = name; *s; s++)
		hash = hash * 33 + (unsigned char)*s;
	hash %= LANE_BUCKETS;
	for (l = w->lanes[hash]; l; l = l->next)
		if (!strcmp(l->name, name))
			return l;
	l = xcalloc(1, sizeof(*l));
	snprintf(l->name, sizeof(l->name), "%s", name);
	l->last = &l->first;
	l->workers = w;
	l->next = w->lanes[hash];
	w->lanes[hash] = l;
	return l;
}

void workers_submit(struct workers *w, struct worker_call *c)
{
	struct lane *l;
	bool idle;

	c->next = NULL;
	atomic_fetch_add(&w->in_flight, 1);
	pthread_mutex_lock(&w->lock);
	l = lane_get(w, c->lane);
	*l->last = c;
	l->last = &c->next;
	idle = !l->active;
	l->active = true;
	pthread_mutex_unlock(&w->lock);
	if (idle && io_pool_submit(w->pool, serve_lane, l) < 0) {
		/* Its calls end as late when the lane is served next. */
		pthread_mutex_lock(&w->lock);
		l->active = false;
		pthread_mutex_unlock(&w->lock);
	}
}

uint32_t workers_in_flight(struct workers *w)
{
	return atomic_load(&w->in_flight);
}

/* Whether the call may leave now; see docs/design.md 5.3. */
static bool may_leave(const struct worker_call *c, uint64_t now_us)
{
	const struct worker_gate *g = c->gate;
	uint64_t last_us;

	if (now_us > c->leave_by_us)
		return false;
	if (!g)
		return true;
	last_us = atomic_load(&g->last_append_us);
	return atomic_load(&g->epoch) == c->epoch &&
	       (now_us < last_us ||
		now_us - last_us <= atomic_load(&g->horizon_us));
}

/* Runs done() on the control thread. */
static void finish_call(void *arg)
{
	struct worker_call *c = arg;

	c->done(c);
	free_call(c);
}

static void run_call(struct workers *w, struct worker_call *c)
{
	c->sent_us = clock_now_us();
	c->left = may_leave(c, c->sent_us);
	if (!c->left) {
		c->failed = -1;
		counter_add(w->held_back, 1);
		return;
	}
	counter_add(w->calls, 1);
	c->failed = w->platform->ops->worker_call(
		w->platform, &c->address, c->method, c->path, c->body,
		c->timeout_us, &c->status, &c->answer, &c->err);
}

/* Runs the first call of a lane and queues the lane again for the rest. */
static void serve_lane(void *job)
{
	struct lane *l = job;
	struct workers *w = l->workers;
	struct worker_call *c;

	for (;;) {
		pthread_mutex_lock(&w->lock);
		c = l->first;
		if (c)
			l->first = c->next;
		if (!l->first)
			l->last = &l->first;
		if (!c)
			l->active = false;
		pthread_mutex_unlock(&w->lock);
		if (!c)
			return;
		run_call(w, c);
		atomic_fetch_sub(&w->in_flight, 1);
		loop_post(w->loop, finish_call, c);
		/* Other lanes come first when the pool can take this one. */
		if (io_pool_submit(w->pool, serve_lane, l) == 0)
			return;
	}
}
