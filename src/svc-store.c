#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "io-pool.h"
#include "log.h"
#include "rng.h"
#include "svc-loop.h"
#include "svc-store.h"

#define CALL_THREADS 8u
#define WATCH_THREADS 8u
#define CALL_QUEUE_LIMIT 4096u
/* A call queued for longer fails without being sent. */
#define QUEUE_TIMEOUT_US 5000000u
/* Bounds how long store_stop() waits for blocking queries in progress. */
#define WATCH_WAIT_MAX_US 2000000u
#define DISPATCH_INTERVAL_US 10000u
#define SESSION_INTERVAL_US 50000u
#define BACKOFF_MIN_US 100000u
#define BACKOFF_MAX_US 2000000u
/* Assumed until the members are known; fewer could exceed the budget. */
#define ENTRY_VMS_DEFAULT 9u
/*
 * Bucket size as a fraction of the budget; the rest is the refill rate. As a
 * full bucket and one second of refill add up to the budget, no second exceeds
 * it.
 */
#define BURST_FRACTION 0.2

enum call_kind {
	CALL_GET,
	CALL_WATCH,
	CALL_PUT,
	CALL_ACQUIRE,
	CALL_RELEASE,
	CALL_DELETE,
	CALL_LIST_VMS,
	CALL_SESSION_CREATE,
	CALL_SESSION_RENEW,
	CALL_KIND_COUNT,
};

struct store_call {
	struct store *st;
	struct store_call *next;
	enum call_kind kind;
	char *key;
	void *value;
	size_t len;
	uint64_t index; /* modify index of a put, wait index of a get */
	uint64_t wait_us;
	bool recurse;
	char session[64];
	store_reply_fn *fn;
	void *arg;
	uint64_t queued_us;
	struct store_reply reply;
};

struct call_queue {
	struct store_call *head;
	struct store_call **tail;
	double tokens;
	double calls_per_second; /* this process's share of the budget */
};

struct store {
	struct service service;
	struct loop *loop;
	struct platform *platform;
	struct io_pool *call_pool;
	struct io_pool *watch_pool;
	struct io_pool *session_pool;
	uint32_t write_budget;
	uint32_t read_budget;
	uint64_t lease_us;
	struct call_queue reads;
	struct call_queue writes;
	uint64_t last_refill_us;
	struct rng rng;
	char session[64];
	uint64_t lease_expires_us;
	uint64_t next_session_us; /* time of the next session call */
	uint64_t backoff_us;
	bool session_call_pending;
	atomic_bool stopping;
	_Atomic uint64_t last_contact_us;
	struct counter *sent[CALL_KIND_COUNT];
	struct counter *failed[CALL_KIND_COUNT];
	struct counter *outcome_unknown;
	struct counter *expired;
};

static int store_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void store_stop(struct service *svc);
static void store_destroy(struct service *svc);
static void dispatch_calls(void *arg);
static void run_call(void *arg);
static void finish_call(void *arg);
static void maintain_session(void *arg);
static void finish_session_call(void *arg, struct store_reply *reply);

static const struct service_ops store_service = {
	.name = "store",
	.start = store_start,
	.stop = store_stop,
	.destroy = store_destroy,
};

static const char *const kind_names[CALL_KIND_COUNT] = {
	[CALL_GET] = "get",
	[CALL_WATCH] = "watch",
	[CALL_PUT] = "put",
	[CALL_ACQUIRE] = "acquire",
	[CALL_RELEASE] = "release",
	[CALL_DELETE] = "delete",
	[CALL_LIST_VMS] = "list-vms",
	[CALL_SESSION_CREATE] = "session-create",
	[CALL_SESSION_RENEW] = "session-renew",
};

struct service *store_create(const struct settings *s)
{
	struct store *st = xcalloc(1, sizeof(*st));

	st->service.ops = &store_service;
	st->platform = platform_consul_create(&s->platform.address);
	st->write_budget = s->platform.write_budget;
	st->read_budget = s->platform.read_budget;
	st->lease_us = s->platform.lease_us;
	st->reads.tail = &st->reads.head;
	st->writes.tail = &st->writes.head;
	st->rng.state = clock_wall_us() ^ (uint64_t)getpid() << 40;
	st->backoff_us = BACKOFF_MIN_US;
	store_set_entry_vm_count(st, ENTRY_VMS_DEFAULT);
	for (int i = 0; i < CALL_KIND_COUNT; i++) {
		char label[48];

		snprintf(label, sizeof(label), "kind=\"%s\"", kind_names[i]);
		st->sent[i] = counter_get(COUNTER, "waxwing_store_calls_total",
					  label);
		st->failed[i] = counter_get(
			COUNTER, "waxwing_store_failures_total", label);
	}
	st->outcome_unknown =
		counter_get(COUNTER, "waxwing_store_unknown_total", NULL);
	st->expired = counter_get(COUNTER, "waxwing_store_expired_total", NULL);
	return &st->service;
}

struct store *store_find(struct kernel *k)
{
	return (struct store *)kernel_find(k, "store");
}

static void start_timers(void *arg)
{
	struct store *st = arg;

	loop_add_timer(st->loop, DISPATCH_INTERVAL_US, dispatch_calls, st);
	loop_add_timer(st->loop, SESSION_INTERVAL_US, maintain_session, st);
}

static int store_start(struct service *svc, struct kernel *k, struct error *err)
{
	struct store *st = (struct store *)svc;

	(void)err;
	st->loop = loop_find(k);
	st->call_pool = io_pool_create("store", CALL_THREADS, CALL_QUEUE_LIMIT);
	st->watch_pool =
		io_pool_create("watch", WATCH_THREADS, CALL_QUEUE_LIMIT);
	/* Separate, as session renewals must not queue behind other calls. */
	st->session_pool = io_pool_create("session", 1, 4);
	st->last_refill_us = clock_now_us();
	loop_call(st->loop, start_timers, st);
	return 0;
}

static void store_stop(struct service *svc)
{
	struct store *st = (struct store *)svc;
	struct error err;

	atomic_store(&st->stopping, true);
	io_pool_destroy(st->watch_pool);
	io_pool_destroy(st->call_pool);
	io_pool_destroy(st->session_pool);
	/* Releases the leases now, so that peers need not wait for the TTL. */
	if (st->session[0] && st->lease_expires_us > clock_now_us())
		st->platform->ops->session_destroy(st->platform, st->session,
						   &err);
}

static void free_call(struct store_call *c)
{
	kv_result_free(&c->reply.kv);
	vm_list_free(&c->reply.vms);
	free(c->key);
	free(c->value);
	free(c);
}

static void free_queue(struct call_queue *q)
{
	while (q->head) {
		struct store_call *c = q->head;

		q->head = c->next;
		free_call(c);
	}
}

static void store_destroy(struct service *svc)
{
	struct store *st = (struct store *)svc;

	free_queue(&st->reads);
	free_queue(&st->writes);
	st->platform->ops->destroy(st->platform);
	free(st);
}

static bool is_write(enum call_kind kind)
{
	return kind != CALL_GET && kind != CALL_WATCH && kind != CALL_LIST_VMS;
}

static struct store_call *create_call(struct store *st, enum call_kind kind,
				      const char *key, store_reply_fn *fn,
				      void *arg)
{
	struct store_call *c = xcalloc(1, sizeof(*c));

	c->st = st;
	c->kind = kind;
	c->key = xstrdup(key);
	c->fn = fn;
	c->arg = arg;
	c->queued_us = clock_now_us();
	return c;
}

static void copy_value(struct store_call *c, const void *value, size_t len)
{
	c->value = xcalloc(1, len);
	c->len = len;
	if (len)
		memcpy(c->value, value, len);
}

static void enqueue(struct store_call *c)
{
	struct call_queue *q =
		is_write(c->kind) ? &c->st->writes : &c->st->reads;

	*q->tail = c;
	q->tail = &c->next;
	dispatch_calls(c->st);
}

static void refill_tokens(struct call_queue *q, double seconds)
{
	double burst = q->calls_per_second * BURST_FRACTION;

	if (burst < 1)
		burst = 1;
	q->tokens += q->calls_per_second * (1 - BURST_FRACTION) * seconds;
	if (q->tokens > burst)
		q->tokens = burst;
}

/* Completes a call with an error without sending it. */
static void fail_unsent_call(struct store_call *c, const char *reason)
{
	counter_add(c->st->expired, 1);
	c->reply.failed = error_set(&c->reply.err, ERROR_LAYER_PLATFORM,
				    PLATFORM_UNREACHABLE, "%s of %s: %s",
				    kind_names[c->kind], c->key, reason);
	loop_post(c->st->loop, finish_call, c);
}

/* Submits calls to the I/O threads while tokens last; fails overdue calls. */
static void dispatch_queue(struct store *st, struct call_queue *q, uint64_t now)
{
	while (q->head) {
		struct store_call *c = q->head;
		bool timed_out = now - c->queued_us > QUEUE_TIMEOUT_US;

		if (!timed_out && q->tokens < 1)
			break;
		q->head = c->next;
		if (!q->head)
			q->tail = &q->head;
		c->next = NULL;
		if (timed_out) {
			fail_unsent_call(
				c, "timed out waiting for the call budget");
			continue;
		}
		q->tokens -= 1;
		if (io_pool_submit(c->kind == CALL_WATCH ? st->watch_pool
							 : st->call_pool,
				   run_call, c) < 0)
			fail_unsent_call(c, "I/O queue is full");
	}
}

static void dispatch_calls(void *arg)
{
	struct store *st = arg;
	uint64_t now = clock_now_us();
	double seconds = (double)(now - st->last_refill_us) / 1e6;

	if (!st->call_pool || atomic_load(&st->stopping))
		return;
	st->last_refill_us = now;
	refill_tokens(&st->reads, seconds);
	refill_tokens(&st->writes, seconds);
	dispatch_queue(st, &st->reads, now);
	dispatch_queue(st, &st->writes, now);
}

/* Blocks; runs in an I/O thread. */
static int call_platform(struct store_call *c)
{
	struct platform *p = c->st->platform;
	struct store_reply *r = &c->reply;

	switch (c->kind) {
	case CALL_GET:
	case CALL_WATCH:
		return p->ops->get(p, c->key, c->recurse, c->index, c->wait_us,
				   &r->kv, &r->err);
	case CALL_PUT:
		return p->ops->put_cas(p, c->key, c->value, c->len, c->index,
				       &r->applied, &r->err);
	case CALL_ACQUIRE:
		return p->ops->acquire(p, c->key, c->value, c->len, c->session,
				       &r->applied, &r->err);
	case CALL_RELEASE:
		return p->ops->release(p, c->key, c->session, &r->err);
	case CALL_DELETE:
		return p->ops->del(p, c->key, c->recurse, &r->err);
	case CALL_LIST_VMS:
		return p->ops->list_vms(p, &r->vms, &r->err);
	case CALL_SESSION_CREATE:
		return p->ops->session_create(p, c->st->lease_us, c->session,
					      &r->err);
	case CALL_SESSION_RENEW:
		return p->ops->session_renew(p, c->session, &r->err);
	default:
		return -1;
	}
}

static void run_call(void *arg)
{
	struct store_call *c = arg;
	struct store *st = c->st;
	uint64_t now = clock_now_us();

	if (atomic_load(&st->stopping) ||
	    now - c->queued_us > QUEUE_TIMEOUT_US) {
		fail_unsent_call(c, "queue timeout or shutdown");
		return;
	}
	c->reply.sent_us = now;
	counter_add(st->sent[c->kind], 1);
	c->reply.failed = call_platform(c);
	if (c->reply.failed)
		counter_add(st->failed[c->kind], 1);
	if (c->reply.failed && c->reply.err.code == PLATFORM_OUTCOME_UNKNOWN)
		counter_add(st->outcome_unknown, 1);
	if (!c->reply.failed || c->reply.err.code == PLATFORM_REFUSED)
		atomic_store(&st->last_contact_us, clock_now_us());
	loop_post(st->loop, finish_call, c);
}

static void finish_call(void *arg)
{
	struct store_call *c = arg;

	if (c->kind == CALL_SESSION_CREATE || c->kind == CALL_SESSION_RENEW)
		finish_session_call(c, &c->reply);
	else if (c->fn)
		c->fn(c->arg, &c->reply);
	free_call(c);
}

void store_get(struct store *st, const char *key, bool recurse, uint64_t index,
	       uint64_t wait_us, store_reply_fn *fn, void *arg)
{
	struct store_call *c =
		create_call(st, index ? CALL_WATCH : CALL_GET, key, fn, arg);

	c->recurse = recurse;
	c->index = index;
	c->wait_us = wait_us < WATCH_WAIT_MAX_US ? wait_us : WATCH_WAIT_MAX_US;
	enqueue(c);
}

void store_put(struct store *st, const char *key, const void *value, size_t len,
	       uint64_t modify_index, store_reply_fn *fn, void *arg)
{
	struct store_call *c = create_call(st, CALL_PUT, key, fn, arg);

	copy_value(c, value, len);
	c->index = modify_index;
	enqueue(c);
}

void store_acquire(struct store *st, const char *key, const void *value,
		   size_t len, store_reply_fn *fn, void *arg)
{
	struct store_call *c = create_call(st, CALL_ACQUIRE, key, fn, arg);

	copy_value(c, value, len);
	snprintf(c->session, sizeof(c->session), "%s", st->session);
	if (!st->session[0])
		fail_unsent_call(c, "no session");
	else
		enqueue(c);
}

void store_release(struct store *st, const char *key, store_reply_fn *fn,
		   void *arg)
{
	struct store_call *c = create_call(st, CALL_RELEASE, key, fn, arg);

	snprintf(c->session, sizeof(c->session), "%s", st->session);
	if (!st->session[0])
		fail_unsent_call(c, "no session");
	else
		enqueue(c);
}

void store_delete(struct store *st, const char *key, bool recurse,
		  store_reply_fn *fn, void *arg)
{
	struct store_call *c = create_call(st, CALL_DELETE, key, fn, arg);

	c->recurse = recurse;
	enqueue(c);
}

void store_list_vms(struct store *st, store_reply_fn *fn, void *arg)
{
	enqueue(create_call(st, CALL_LIST_VMS, "vms", fn, arg));
}

void store_set_entry_vm_count(struct store *st, uint32_t entry_vms)
{
	if (!entry_vms)
		entry_vms = 1;
	st->writes.calls_per_second = (double)st->write_budget / entry_vms;
	st->reads.calls_per_second = (double)st->read_budget / entry_vms;
}

double store_write_rate_limit(struct store *st)
{
	return st->writes.calls_per_second;
}

/*
 * Creates or renews the session when due. These calls take a token without
 * waiting for one, because a late renewal loses every lease.
 */
static void maintain_session(void *arg)
{
	struct store *st = arg;
	uint64_t now = clock_now_us();
	struct store_call *c;

	if (st->session_call_pending || now < st->next_session_us ||
	    atomic_load(&st->stopping))
		return;
	c = create_call(
		st, st->session[0] ? CALL_SESSION_RENEW : CALL_SESSION_CREATE,
		"session", NULL, NULL);
	snprintf(c->session, sizeof(c->session), "%s", st->session);
	st->writes.tokens -= 1;
	st->session_call_pending = true;
	if (io_pool_submit(st->session_pool, run_call, c) < 0)
		fail_unsent_call(c, "I/O queue is full");
}

/* Schedules the next session call after a failure, with jittered backoff. */
static void schedule_session_retry(struct store *st)
{
	double jitter = 0.5 + rng_unit(&st->rng);

	st->next_session_us =
		clock_now_us() + (uint64_t)((double)st->backoff_us * jitter);
	st->backoff_us *= 2;
	if (st->backoff_us > BACKOFF_MAX_US)
		st->backoff_us = BACKOFF_MAX_US;
}

static void finish_session_call(void *arg, struct store_reply *reply)
{
	struct store_call *c = arg;
	struct store *st = c->st;

	st->session_call_pending = false;
	if (!reply->failed) {
		snprintf(st->session, sizeof(st->session), "%s", c->session);
		st->lease_expires_us = reply->sent_us + st->lease_us;
		st->next_session_us = reply->sent_us + st->lease_us / 3;
		st->backoff_us = BACKOFF_MIN_US;
		return;
	}
	/* A lost response doesn't prove that the session has ended. */
	if (c->kind == CALL_SESSION_RENEW &&
	    reply->err.code == PLATFORM_REFUSED) {
		log_event(LOG_WARNING, "session-ended", "session=%s",
			  st->session);
		st->session[0] = '\0';
		st->lease_expires_us = 0;
	}
	schedule_session_retry(st);
}

const char *store_session(struct store *st)
{
	return st->session;
}

uint64_t store_lease_expires_us(struct store *st)
{
	return st->lease_expires_us;
}

uint64_t store_last_contact_us(struct store *st)
{
	return atomic_load(&st->last_contact_us);
}

struct platform *store_platform(struct store *st)
{
	return st->platform;
}
