#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "frame-conn.h"
#include "job-evacuation.h"
#include "job-node.h"
#include "log.h"
#include "relay-wire.h"

#define TICK_US 100000u
/* Responses within this time are sent together. */
#define FLUSH_DELAY_US 3000u
#define PING_US 200000u
#define PING_IDLE_US 1000000u
/* A relay without a call for this long pings at the idle interval. */
#define IDLE_AFTER_US 3000000u
#define CONNECT_RETRY_US 300000u
/* Connections to a worker without a call for this long are closed. */
#define WORKER_IDLE_US 10000000u
/*
 * Time without a tick that shows that this process was suspended. What it
 * received before is then discarded unread.
 */
#define SUSPENDED_US 1000000u

struct relay_target;

/* A call in flight to a worker. */
struct target_call {
	struct relay_target *target;
	struct relay_call call;
	bool busy;
};

/* A worker that the owner has announced. */
struct relay_target {
	struct job_relay *relay;
	char id[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES]; /* "": unknown */
	struct settings_address address;
	struct worker_client *client; /* NULL: no connections */
	struct target_call calls[RELAY_LANES];
	uint64_t used_us;
};

struct job_relay {
	struct job_node *node;
	struct frame_conn *conn;       /* to the owner */
	struct settings_address owner; /* that conn leads to */
	struct event *tick;
	struct event *flush;
	bool flush_scheduled;
	struct relay_target **targets; /* by the owner's index of the worker */
	uint32_t target_count;
	uint64_t last_tick_us;
	uint64_t last_ping_us;
	uint64_t last_call_us;
	uint64_t next_connect_us;
	struct counter *served;
	struct counter *expired;
	struct counter *malformed;
	struct counter *evacuated;
};

/* ---- messages to the owner ---- */

static void send_message(struct job_relay *r, const struct relay_message *m)
{
	struct message_writer w;

	relay_encode(m, &w);
	frame_conn_send(r->conn, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct job_relay *r = arg;

	(void)fd;
	(void)what;
	r->flush_scheduled = false;
	if (r->conn)
		frame_conn_flush(r->conn);
}

static void send_response(struct job_relay *r, const struct relay_call *call,
			  const struct worker_response *a)
{
	static const struct timeval delay = { 0, FLUSH_DELAY_US };
	struct relay_message m = { .type = RELAY_RESPONSE,
				   .call = *call,
				   .u.response = *a };

	send_message(r, &m);
	if (r->flush_scheduled)
		return;
	r->flush_scheduled = true;
	evtimer_add(r->flush, &delay);
}

/* The call was not started. */
static void refuse_call(struct job_relay *r, const struct relay_call *call)
{
	struct worker_response a = { .outcome = WORKER_PATH_LOST };

	send_response(r, call, &a);
}

static void send_ping(struct job_relay *r, uint64_t now)
{
	struct relay_message m = { .type = RELAY_PING, .u.clock_us = now };

	r->last_ping_us = now;
	send_message(r, &m);
	frame_conn_flush(r->conn);
}

static void send_hello(struct job_relay *r, uint64_t now)
{
	const struct settings *s = r->node->settings;
	struct relay_message m = {
		.type = RELAY_HELLO,
		.u.hello = { .version = RELAY_WIRE_VERSION,
			     .vm = s->node.id,
			     .zone = s->node.availability_zone,
			     .cpu_milli = s->node.cpu_milli,
			     .clock_us = now },
	};

	r->last_ping_us = now;
	send_message(r, &m);
	frame_conn_flush(r->conn);
}

/* ---- workers ---- */

static void close_client(struct relay_target *t)
{
	if (t->client)
		t->relay->node->platform->worker->close(t->client);
	t->client = NULL;
	for (uint32_t i = 0; i < RELAY_LANES; i++)
		t->calls[i].busy = false;
}

static void free_targets(struct job_relay *r)
{
	for (uint32_t i = 0; i < r->target_count; i++) {
		if (!r->targets[i])
			continue;
		close_client(r->targets[i]);
		free(r->targets[i]);
	}
	free(r->targets);
	r->targets = NULL;
	r->target_count = 0;
}

static struct relay_target *find_target(const struct job_relay *r, uint32_t i)
{
	return i < r->target_count ? r->targets[i] : NULL;
}

static struct relay_target *add_target(struct job_relay *r, uint32_t index)
{
	struct relay_target *t = xcalloc(1, sizeof(*t));

	if (index >= r->target_count) {
		r->targets =
			xrealloc(r->targets, (index + 1) * sizeof(*r->targets));
		memset(&r->targets[r->target_count], 0,
		       (index + 1 - r->target_count) * sizeof(*r->targets));
		r->target_count = index + 1;
	}
	r->targets[index] = t;
	t->relay = r;
	for (uint32_t i = 0; i < RELAY_LANES; i++)
		t->calls[i].target = t;
	return t;
}

static void handle_worker(struct job_relay *r, const struct relay_worker *w)
{
	struct relay_target *t = find_target(r, w->worker);

	if (!t)
		t = add_target(r, w->worker);
	snprintf(t->zone, sizeof(t->zone), "%s", w->zone);
	if (!strcmp(t->id, w->id) && !strcmp(t->address.host, w->host) &&
	    t->address.port == w->port)
		return;
	/* Another worker, or another address of the same. */
	for (uint32_t i = 0; i < RELAY_LANES; i++)
		if (t->calls[i].busy)
			refuse_call(r, &t->calls[i].call);
	close_client(t);
	snprintf(t->id, sizeof(t->id), "%s", w->id);
	snprintf(t->address.host, sizeof(t->address.host), "%s", w->host);
	t->address.port = (uint16_t)w->port;
}

static void on_worker_response(void *arg, const struct worker_response *a)
{
	struct target_call *c = arg;

	c->busy = false;
	if (c->target->relay->conn)
		send_response(c->target->relay, &c->call, a);
}

/*
 * Returns the call to start, or NULL if it was refused. A call may be read long
 * after it was sent, so its deadline is checked right before the request is
 * sent to the worker.
 */
static struct target_call *begin_call(struct job_relay *r,
				      const struct relay_call *call)
{
	const struct job_node *n = r->node;
	struct relay_target *t = find_target(r, call->worker);
	struct target_call *c = t ? &t->calls[call->lane] : NULL;
	uint64_t now = clock_now_us();

	r->last_call_us = now;
	if (now >= call->deadline_us) {
		counter_add(r->expired, 1);
		log_event(LOG_INFO, "relay-call-expired",
			  "worker=%s lane=%u late_ms=%llu", t ? t->id : "-",
			  call->lane,
			  (unsigned long long)(now - call->deadline_us) / 1000);
	}
	if (!c || c->busy || now >= call->deadline_us) {
		refuse_call(r, call);
		return NULL;
	}
	if (!t->client)
		t->client =
			n->platform->worker->open(n->base, t->id, &t->address);
	t->used_us = now;
	c->call = *call;
	c->busy = true;
	counter_add(r->served, 1);
	return c;
}

static void handle_poll(struct job_relay *r, const struct relay_message *m)
{
	struct target_call *c = begin_call(r, &m->call);

	if (c)
		r->node->platform->worker->poll(c->target->client, &m->u.poll,
						on_worker_response, c);
}

/*
 * Whether an evacuation forbids the start: of the worker's zone, or an unknown
 * one, as the view of the evacuated zones is too old. The owner may have sent
 * the order before it knew, or its build may not follow evacuations.
 */
static bool start_forbidden(const struct job_relay *r,
			    const struct relay_message *m)
{
	const struct job_evacuation *e = r->node->evacuation;
	const struct relay_target *t = find_target(r, m->call.worker);

	return m->u.order.order.type == SCHED_START && t &&
	       (job_evacuation_includes(e, t->zone) ||
		clock_now_us() >= job_evacuation_starts_end_us(e));
}

/*
 * Answers as a worker that refuses the order: owners of any build then place
 * the task elsewhere.
 */
static void refuse_start(struct job_relay *r, const struct relay_message *m)
{
	struct worker_response a = { .outcome = WORKER_RESPONDED,
				     .result = SCHED_UNHEALTHY };
	const struct relay_target *t = find_target(r, m->call.worker);

	counter_add(r->evacuated, 1);
	log_event(LOG_INFO, "relay-start-refused",
		  "task=%s run=%u worker=%s zone=%s", m->u.order.order.task,
		  m->u.order.order.run, t->id, *t->zone ? t->zone : "-");
	send_response(r, &m->call, &a);
}

static void handle_order(struct job_relay *r, const struct relay_message *m)
{
	const struct relay_order *o = &m->u.order;
	struct target_call *c;

	if (!m->call.lane) {
		refuse_call(r, &m->call);
		return;
	}
	if (start_forbidden(r, m)) {
		refuse_start(r, m);
		return;
	}
	c = begin_call(r, &m->call);
	if (c)
		r->node->platform->worker->order(
			c->target->client, (int)m->call.lane - 1, &o->order,
			o->fencing_token, o->lease_until_ms, on_worker_response,
			c);
}

/* ---- connection to the owner ---- */

static void disconnect(struct job_relay *r, const char *reason)
{
	if (!r->conn)
		return;
	log_event(LOG_INFO, "relay-disconnected", "owner=%s:%u why=%s",
		  r->owner.host, r->owner.port, reason);
	frame_conn_free(r->conn);
	r->conn = NULL;
	free_targets(r);
}

static void on_frame(void *arg, const void *data, size_t len)
{
	struct job_relay *r = arg;
	struct relay_message m;
	struct error err;

	if (frame_conn_peer_compresses(r->conn))
		frame_conn_compress(r->conn);
	if (relay_decode(&m, data, len, &err) < 0) {
		counter_add(r->malformed, 1);
		log_event(LOG_WARNING, "relay-malformed", "error=\"%s\"",
			  err.message);
		disconnect(r, "malformed");
		return;
	}
	if (m.type == RELAY_WORKER)
		handle_worker(r, &m.u.worker);
	else if (m.type == RELAY_POLL)
		handle_poll(r, &m);
	else if (m.type == RELAY_ORDER)
		handle_order(r, &m);
	relay_message_free(&m);
}

static void on_closed(void *arg, const char *reason)
{
	disconnect(arg, reason);
}

static const struct frame_conn_ops conn_ops = { .frame = on_frame,
						.closed = on_closed };

static void connect_owner(struct job_relay *r, uint64_t now)
{
	struct settings_address owner;

	if (r->node->draining ||
	    !job_owner_relay_address(r->node->owner, &owner)) {
		disconnect(r, "no-owner");
		return;
	}
	if (r->conn && !memcmp(&owner, &r->owner, sizeof(owner)))
		return;
	disconnect(r, "owner-changed");
	if (now < r->next_connect_us)
		return;
	r->next_connect_us = now + CONNECT_RETRY_US;
	r->owner = owner;
	r->conn = frame_conn_connect(r->node->base, owner.host, owner.port,
				     &conn_ops, r);
	if (r->conn)
		send_hello(r, now);
}

static void close_idle_clients(struct job_relay *r, uint64_t now)
{
	for (uint32_t i = 0; i < r->target_count; i++) {
		struct relay_target *t = r->targets[i];
		bool busy = false;

		for (uint32_t k = 0; t && k < RELAY_LANES; k++)
			busy = busy || t->calls[k].busy;
		if (t && t->client && !busy &&
		    now > t->used_us + WORKER_IDLE_US)
			close_client(t);
	}
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct job_relay *r = arg;
	uint64_t now = clock_now_us();
	uint64_t ping_us =
		now < r->last_call_us + IDLE_AFTER_US ? PING_US : PING_IDLE_US;

	(void)fd;
	(void)what;
	if (r->last_tick_us && now > r->last_tick_us + SUSPENDED_US) {
		log_event(LOG_WARNING, "relay-suspended", "ms=%llu",
			  (unsigned long long)(now - r->last_tick_us) / 1000);
		disconnect(r, "suspended");
	}
	r->last_tick_us = now;
	connect_owner(r, now);
	if (r->conn && now >= r->last_ping_us + ping_us)
		send_ping(r, now);
	close_idle_clients(r, now);
}

void job_relay_owner_changed(struct job_relay *r)
{
	if (r)
		connect_owner(r, clock_now_us());
}

struct job_relay *job_relay_create(struct job_node *n)
{
	static const struct timeval interval = { 0, TICK_US };
	struct job_relay *r = xcalloc(1, sizeof(*r));

	r->node = n;
	r->served = counter_get(COUNTER, "waxwing_relay_served_total", NULL);
	r->expired = counter_get(COUNTER, "waxwing_relay_expired_total", NULL);
	r->malformed =
		counter_get(COUNTER, "waxwing_relay_malformed_total", NULL);
	r->evacuated =
		counter_get(COUNTER, "waxwing_relay_evacuated_total", NULL);
	r->flush = evtimer_new(n->base, on_flush, r);
	r->tick = event_new(n->base, -1, EV_PERSIST, on_tick, r);
	/* Runs before messages are read that arrived during a suspension. */
	event_priority_set(r->tick, 0);
	event_add(r->tick, &interval);
	return r;
}

void job_relay_destroy(struct job_relay *r)
{
	if (!r)
		return;
	disconnect(r, "stopped");
	event_free(r->tick);
	event_free(r->flush);
	free(r);
}
