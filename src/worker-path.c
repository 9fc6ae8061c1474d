#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-node.h"
#include "relay-hub-internal.h"

/* Time for the relays to connect to a new owner. */
#define GATHER_US 500000u
/*
 * A relay reports the outcome of a call within the worker's own timeouts. A
 * call without one for this long beyond the requested wait is given up, as if
 * the relay were lost.
 */
#define OVERDUE_POLL_US 1800000u
#define OVERDUE_ORDER_US 1500000u
/* A worker returns to its preferred relay after this time on another one. */
#define PREFERRED_RETRY_US 5000000u
/* Relays tried before the worker is called directly. */
#define RELAY_RANKS 2u

/* Returns NULL for a direct call. */
static struct relay *choose_relay(struct worker_path *p, uint64_t now)
{
	struct relay_hub *h = p->hub;
	uint32_t i;

	relay_hub_update(h);
	if (p->rank && now > p->rank_changed_us + PREFERRED_RETRY_US) {
		p->rank = 0;
		p->assignment_version = 0;
	}
	if (p->assignment_version == h->assignment_version)
		return p->relay;
	p->assignment_version = h->assignment_version;
	p->relay = NULL;
	if (!relay_hub_needed(h) || p->rank >= RELAY_RANKS)
		return NULL;
	i = relay_assign(h->candidates, h->relay_count, p->id, p->zone,
			 p->rank);
	if (i != RELAY_NONE)
		p->relay = h->relays[i];
	return p->relay;
}

/* After a poll without a response: the next one takes another path. */
static void try_next_path(struct worker_path *p)
{
	p->rank = (p->rank + 1) % (RELAY_RANKS + 1);
	p->rank_changed_us = clock_now_us();
	p->assignment_version = 0;
}

/* ---- calls ---- */

static void announce_worker(struct worker_path *p, struct relay *r)
{
	struct relay_message m = { .type = RELAY_WORKER };

	if (p->announced_to == r->number)
		return;
	p->announced_to = r->number;
	m.u.worker.worker = p->worker;
	m.u.worker.id = p->id;
	m.u.worker.host = p->address.host;
	m.u.worker.port = p->address.port;
	m.u.worker.zone = p->zone;
	relay_hub_send(r, &m);
}

/* Converts a time of this process to the relay's clock. */
static uint64_t to_relay_clock(const struct relay *r, uint64_t us)
{
	return r->clock_us + us - r->clock_local_us;
}

static void relay_call(struct worker_path *p, struct relay *r, uint32_t lane,
		       struct relay_message *m, uint64_t deadline_us,
		       uint64_t timeout_us, worker_response_fn *fn, void *arg)
{
	struct path_call *c = &p->calls[lane];

	c->fn = fn;
	c->arg = arg;
	c->relay = r;
	c->seq = ++p->hub->last_seq;
	c->overdue_us = clock_now_us() + timeout_us;
	if (!r->calls_in_flight++)
		r->heard_us = clock_now_us();
	announce_worker(p, r);
	m->call.worker = p->worker;
	m->call.lane = lane;
	m->call.seq = c->seq;
	m->call.deadline_us = to_relay_clock(r, deadline_us);
	counter_add(p->hub->calls, 1);
	relay_hub_send(r, m);
}

static struct worker_client *direct_client(struct worker_path *p)
{
	const struct job_node *n = p->hub->node;

	if (!p->direct)
		p->direct =
			n->platform->worker->open(n->base, p->id, &p->address);
	return p->direct;
}

void worker_path_poll(struct worker_path *p, const struct worker_poll *q,
		      uint64_t deadline_us, worker_response_fn *fn, void *arg)
{
	struct relay *r = choose_relay(p, clock_now_us());
	struct relay_message m = { .type = RELAY_POLL };

	if (!r) {
		p->hub->node->platform->worker->poll(direct_client(p), q, fn,
						     arg);
		return;
	}
	m.u.poll = *q;
	relay_call(p, r, 0, &m, deadline_us,
		   q->wait_ms * 1000ull + OVERDUE_POLL_US, fn, arg);
}

int worker_path_order_connections(struct worker_path *p)
{
	return choose_relay(p, clock_now_us()) ? RELAY_ORDER_LANES
					       : WORKER_ORDER_CONNECTIONS;
}

void worker_path_order(struct worker_path *p, int connection,
		       const struct sched_order *o, uint64_t fencing_token,
		       uint64_t lease_until_ms, uint64_t deadline_us,
		       worker_response_fn *fn, void *arg)
{
	struct relay *r = choose_relay(p, clock_now_us());
	struct relay_message m = { .type = RELAY_ORDER };

	if (!r || connection >= RELAY_ORDER_LANES) {
		p->calls[connection + 1].relay = NULL;
		p->hub->node->platform->worker->order(
			direct_client(p), connection, o, fencing_token,
			lease_until_ms, fn, arg);
		return;
	}
	m.u.order.order = *o;
	m.u.order.fencing_token = fencing_token;
	m.u.order.lease_until_ms = lease_until_ms;
	relay_call(p, r, (uint32_t)connection + 1, &m, deadline_us,
		   OVERDUE_ORDER_US, fn, arg);
}

const char *worker_path_order_vm(const struct worker_path *p, int connection)
{
	const struct relay *r = p->calls[connection + 1].relay;

	return r ? relay_hub_vm(r) : "-";
}

void worker_path_complete(struct worker_path *p, uint32_t lane,
			  const struct worker_response *a)
{
	struct path_call *c = &p->calls[lane];
	worker_response_fn *fn = c->fn;

	c->fn = NULL;
	c->relay->calls_in_flight--;
	if (!lane && a->outcome != WORKER_RESPONDED &&
	    a->outcome != WORKER_FENCED && !worker_poll_refused(a))
		try_next_path(p);
	fn(c->arg, a);
}

/* ---- paths ---- */

struct worker_path *worker_path_create(struct relay_hub *h, uint32_t worker,
				       const char *id, const char *zone,
				       const struct settings_address *address)
{
	struct worker_path *p = xcalloc(1, sizeof(*p));

	p->hub = h;
	p->worker = worker;
	snprintf(p->id, sizeof(p->id), "%s", id);
	snprintf(p->zone, sizeof(p->zone), "%s", zone);
	p->address = *address;
	if (worker >= h->path_count) {
		h->paths = xrealloc(h->paths, (worker + 1) * sizeof(*h->paths));
		memset(&h->paths[h->path_count], 0,
		       (worker + 1 - h->path_count) * sizeof(*h->paths));
		h->path_count = worker + 1;
	}
	h->paths[worker] = p;
	h->worker_count++;
	h->assignment_due = true;
	return p;
}

void worker_path_free(struct worker_path *p)
{
	struct relay_hub *h;

	if (!p)
		return;
	h = p->hub;
	for (uint32_t lane = 0; lane < RELAY_LANES; lane++)
		if (p->calls[lane].fn)
			p->calls[lane].relay->calls_in_flight--;
	h->paths[p->worker] = NULL;
	h->worker_count--;
	h->assignment_due = true;
	if (p->direct)
		h->node->platform->worker->close(p->direct);
	free(p);
}

bool worker_path_usable(const struct worker_path *p, uint64_t now_us)
{
	const struct relay_hub *h = p->hub;

	return !h->listener || now_us > h->opened_us + GATHER_US ||
	       !relay_hub_needed(h);
}
