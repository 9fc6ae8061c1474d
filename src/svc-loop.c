#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include "buffer.h"
#include "clock.h"
#include "svc-loop.h"

#define TIMERS_MAX 32
#define SOCKET_HANDLERS_MAX 8
#define POLL_TIMEOUT_MAX_US 20000u

struct posted_fn {
	struct posted_fn *next;
	loop_fn *fn;
	void *arg;
};

struct timer {
	uint64_t interval_us;
	uint64_t next_us;
	loop_fn *fn;
	void *arg;
};

struct socket_handler {
	void *socket;
	loop_fn *fn;
	void *arg;
};

struct loop {
	struct service service;
	void *zmq_context;
	int wake_fd;
	pthread_t thread;
	bool running;
	atomic_bool stopping;
	pthread_mutex_t lock; /* guards the posted list */
	struct posted_fn *posted_head;
	struct posted_fn **posted_tail;
	struct timer timers[TIMERS_MAX];
	int timer_count;
	struct socket_handler socket_handlers[SOCKET_HANDLERS_MAX];
	int socket_handler_count;
};

struct sync_call {
	loop_fn *fn;
	void *arg;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
};

static int loop_start(struct service *svc, struct kernel *k, struct error *err);
static void loop_stop(struct service *svc);
static void loop_destroy(struct service *svc);

static const struct service_ops loop_ops = {
	.name = "loop",
	.start = loop_start,
	.stop = loop_stop,
	.destroy = loop_destroy,
};

struct service *loop_create(void)
{
	struct loop *l = xcalloc(1, sizeof(*l));

	l->service.ops = &loop_ops;
	l->zmq_context = zmq_ctx_new();
	l->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_mutex_init(&l->lock, NULL);
	l->posted_tail = &l->posted_head;
	return &l->service;
}

struct loop *loop_find(struct kernel *k)
{
	return (struct loop *)kernel_find(k, "loop");
}

void *loop_zmq_context(struct loop *l)
{
	return l->zmq_context;
}

void loop_post(struct loop *l, loop_fn *fn, void *arg)
{
	struct posted_fn *p = xcalloc(1, sizeof(*p));
	uint64_t one = 1;

	p->fn = fn;
	p->arg = arg;
	pthread_mutex_lock(&l->lock);
	*l->posted_tail = p;
	l->posted_tail = &p->next;
	pthread_mutex_unlock(&l->lock);
	if (write(l->wake_fd, &one, sizeof(one)) < 0)
		return; /* the eventfd counter is full, so the loop wakes up */
}

/* Runs the function passed to loop_call() and wakes up the caller. */
static void run_sync_call(void *arg)
{
	struct sync_call *c = arg;

	c->fn(c->arg);
	pthread_mutex_lock(&c->lock);
	c->done = true;
	pthread_cond_signal(&c->done_cond);
	pthread_mutex_unlock(&c->lock);
}

void loop_call(struct loop *l, loop_fn *fn, void *arg)
{
	struct sync_call c = { .fn = fn, .arg = arg };

	pthread_mutex_init(&c.lock, NULL);
	pthread_cond_init(&c.done_cond, NULL);
	loop_post(l, run_sync_call, &c);
	pthread_mutex_lock(&c.lock);
	while (!c.done)
		pthread_cond_wait(&c.done_cond, &c.lock);
	pthread_mutex_unlock(&c.lock);
	pthread_cond_destroy(&c.done_cond);
	pthread_mutex_destroy(&c.lock);
}

void loop_add_timer(struct loop *l, uint64_t interval_us, loop_fn *fn,
		    void *arg)
{
	if (l->timer_count == TIMERS_MAX)
		abort();
	l->timers[l->timer_count++] = (struct timer){
		.interval_us = interval_us,
		.next_us = clock_now_us() + interval_us,
		.fn = fn,
		.arg = arg,
	};
}

void loop_add_socket_handler(struct loop *l, void *socket, loop_fn *fn,
			     void *arg)
{
	if (l->socket_handler_count == SOCKET_HANDLERS_MAX)
		abort();
	l->socket_handlers[l->socket_handler_count++] = (struct socket_handler){
		.socket = socket, .fn = fn, .arg = arg
	};
}

/* Runs the functions posted so far; later ones wait for the next iteration. */
static void run_posted(struct loop *l)
{
	struct posted_fn *p;

	pthread_mutex_lock(&l->lock);
	p = l->posted_head;
	l->posted_head = NULL;
	l->posted_tail = &l->posted_head;
	pthread_mutex_unlock(&l->lock);
	while (p) {
		struct posted_fn *next = p->next;

		p->fn(p->arg);
		free(p);
		p = next;
	}
}

/*
 * Runs the expired timers. Returns the time in microseconds until the next one,
 * at most POLL_TIMEOUT_MAX_US.
 */
static uint64_t run_timers(struct loop *l)
{
	uint64_t wait = POLL_TIMEOUT_MAX_US;

	for (int i = 0; i < l->timer_count; i++) {
		struct timer *t = &l->timers[i];
		uint64_t now = clock_now_us();

		if (now >= t->next_us) {
			t->fn(t->arg);
			/* Missed intervals are skipped, not made up for. */
			t->next_us = now + t->interval_us;
		}
		now = clock_now_us();
		if (t->next_us <= now)
			wait = 0;
		else if (t->next_us - now < wait)
			wait = t->next_us - now;
	}
	return wait;
}

static void *run_loop(void *arg)
{
	struct loop *l = arg;

	while (!atomic_load(&l->stopping)) {
		zmq_pollitem_t items[SOCKET_HANDLERS_MAX + 1] = { 0 };
		uint64_t wait_us = run_timers(l);
		uint64_t count;
		int handlers = l->socket_handler_count;

		items[0].fd = l->wake_fd;
		items[0].events = ZMQ_POLLIN;
		for (int i = 0; i < handlers; i++) {
			items[i + 1].socket = l->socket_handlers[i].socket;
			items[i + 1].events = ZMQ_POLLIN;
		}
		zmq_poll(items, handlers + 1, (long)((wait_us + 999) / 1000));
		if (read(l->wake_fd, &count, sizeof(count)) > 0)
			run_posted(l);
		for (int i = 0; i < handlers; i++)
			if (items[i + 1].revents & ZMQ_POLLIN)
				l->socket_handlers[i].fn(
					l->socket_handlers[i].arg);
	}
	run_posted(l);
	return NULL;
}

static int loop_start(struct service *svc, struct kernel *k, struct error *err)
{
	struct loop *l = (struct loop *)svc;

	(void)k;
	if (pthread_create(&l->thread, NULL, run_loop, l))
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "cannot start the control thread");
	l->running = true;
	return 0;
}

static void loop_stop(struct service *svc)
{
	struct loop *l = (struct loop *)svc;
	uint64_t one = 1;

	if (!l->running)
		return;
	atomic_store(&l->stopping, true);
	if (write(l->wake_fd, &one, sizeof(one)) < 0)
		return;
	pthread_join(l->thread, NULL);
	l->running = false;
}

static void loop_destroy(struct service *svc)
{
	struct loop *l = (struct loop *)svc;

	zmq_ctx_term(l->zmq_context);
	close(l->wake_fd);
	pthread_mutex_destroy(&l->lock);
	free(l);
}
