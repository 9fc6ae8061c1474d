#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-jobs-internal.h"

/* The platform's description of the fault: 2 to 12 s. */
#define LATE_MIN_MS 2000u
#define LATE_SPAN_MS 10000u

void jobs_platform_seed(struct jobs_platform *p, uint64_t seed)
{
	p->rng.state = seed;
}

void jobs_platform_set_worker_faults(struct jobs_platform *p, int worker,
				     const struct worker_faults *f)
{
	p->workers[worker]->faults = *f;
}

uint32_t jobs_platform_late_orders(const struct jobs_platform *p, int worker)
{
	return p->workers[worker]->late_order_count;
}

uint32_t jobs_platform_late_orders_total(const struct jobs_platform *p)
{
	return p->late_orders;
}

uint32_t jobs_platform_refused(const struct jobs_platform *p, int worker)
{
	return p->workers[worker]->refused;
}

uint32_t jobs_platform_start_orders(const struct jobs_platform *p, int worker)
{
	return p->workers[worker]->start_orders;
}

static void refuse(struct sim_worker *w, struct evhttp_request *req)
{
	w->refused++;
	jobs_reply(req, rng_below(&w->platform->rng, 2) ? 429 : 503, NULL);
}

bool sim_poll_refuse(struct sim_worker *w, struct evhttp_request *req)
{
	uint32_t percent = w->faults.refuse_polls_percent;
	uint32_t each = w->faults.refuse_each_poll;
	bool drawn = percent && rng_below(&w->platform->rng, 100) < percent;

	w->polls++;
	if (!drawn && (!each || w->polls % each))
		return false;
	refuse(w, req);
	return true;
}

bool sim_start_without_room(struct sim_worker *w, const struct sim_order *o)
{
	uint32_t percent = w->faults.no_room_percent;

	if (!percent || o->due_us ||
	    rng_below(&w->platform->rng, 100) >= percent)
		return false;
	w->refused++;
	return true;
}

static void postpone(struct sim_worker *w, struct sim_order *o)
{
	uint32_t ms = w->faults.late_ms;

	if (w->late_order_count == SIM_LATE_ORDERS_MAX) {
		fprintf(stderr, "simulated worker: too many late orders\n");
		abort();
	}
	if (!ms)
		ms = LATE_MIN_MS + rng_below(&w->platform->rng, LATE_SPAN_MS);
	o->due_us = o->received_us + ms * 1000ull;
	w->late_orders[w->late_order_count++] = *o;
	w->platform->late_orders++;
}

void sim_order_receive(struct sim_worker *w, struct evhttp_request *req,
		       enum sim_order_type type, json_t *body)
{
	struct sim_order o = { .type = type,
			       .body = body,
			       .received_us = clock_now_us() };
	const struct worker_faults *f = &w->faults;
	bool concerned = !f->stops_only || type == SIM_STOP;
	uint32_t draw = concerned ? rng_below(&w->platform->rng, 100) : 100;

	w->start_orders += type == SIM_START;
	if (draw < f->late_percent) {
		jobs_withhold_answer(req);
		postpone(w, &o);
		return;
	}
	draw -= f->late_percent;
	if (draw < f->lost_percent) {
		jobs_withhold_answer(req);
	} else if (concerned && draw - f->lost_percent < f->refuse_percent) {
		refuse(w, req);
	} else {
		sim_order_execute(w, &o, req);
	}
	json_decref(body);
}

void sim_late_orders_tick(struct sim_worker *w, uint64_t now)
{
	uint32_t i = 0;

	if (w->unresponsive)
		return;
	while (i < w->late_order_count) {
		struct sim_order o = w->late_orders[i];

		if (now < o.due_us) {
			i++;
			continue;
		}
		w->late_orders[i] = w->late_orders[--w->late_order_count];
		sim_order_execute(w, &o, NULL);
		json_decref(o.body);
	}
}

void sim_late_orders_drop(struct sim_worker *w)
{
	for (uint32_t i = 0; i < w->late_order_count; i++)
		json_decref(w->late_orders[i].body);
	w->late_order_count = 0;
}
