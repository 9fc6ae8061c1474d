#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <urcu.h>

#include "clock.h"
#include "log.h"
#include "svc-flow-internal.h"

#define TICK_INTERVAL_US 10000u
#define PLANNED_STOP_CHECK_INTERVAL_US 1000000u
#define TEAM_QUEUED_BYTES_MAX (4u * 1024u * 1024u)
#define PROBE_THREADS 8
#define PROBE_QUEUE_LIMIT 4096
#define IDLE_CONNECTIONS_PER_RUNNER 8
/* For requests that were answered while an attempt still runs. */
#define SPARE_PENDING_REQUESTS 1024u
#define PENDING_REQUESTS_MAX 65536u

static int flow_svc_start(struct service *svc, struct kernel *k,
			  struct error *err);
static void flow_svc_drain(struct service *svc);
static void flow_svc_stop(struct service *svc);
static void flow_svc_destroy(struct service *svc);
static void subscribe_to_services(void *svc);
static void sync_sheet(void *svc);
static void sync_seat(void *svc);
static void tick(void *svc);
static void update_core_options(struct flow_svc *f, uint32_t slots);
static void check_planned_stops(void *svc);
static void register_counters(struct flow_counters *c);

static const struct service_ops flow_ops = {
	.name = "flow",
	.start = flow_svc_start,
	.drain = flow_svc_drain,
	.stop = flow_svc_stop,
	.destroy = flow_svc_destroy,
};

struct service *flow_svc_create(const struct settings *s)
{
	struct flow_svc *f = xcalloc(1, sizeof(*f));

	f->service.ops = &flow_ops;
	f->settings = *s;
	f->live_settings = s;
	if (getrandom(&f->options.seed, sizeof(f->options.seed), 0) < 0)
		f->options.seed = clock_wall_us();
	f->options.team_bytes_limit = TEAM_QUEUED_BYTES_MAX;
	update_core_options(f, 0);
	f->core = flow_create(&f->options);
	f->pending_max = 2 * s->front.threads + SPARE_PENDING_REQUESTS;
	if (f->pending_max > PENDING_REQUESTS_MAX)
		f->pending_max = PENDING_REQUESTS_MAX;
	f->pending = xcalloc(f->pending_max, sizeof(*f->pending));
	for (uint32_t i = 0; i < f->pending_max; i++) {
		pthread_cond_init(&f->pending[i].cond, NULL);
		f->pending[i].next_free = i + 1;
	}
	f->decisions = xcalloc(FLOW_DECISIONS_MAX, sizeof(*f->decisions));
	f->target_table = xcalloc(1, sizeof(*f->target_table));
	pthread_mutex_init(&f->lock, NULL);
	register_counters(&f->counters);
	return &f->service;
}

/*
 * Sets the options from the current policy. Every queued or running request
 * occupies a thread of "front"; the queue limit keeps some of them free, or
 * else a refusal would have to wait for a thread.
 */
static void update_core_options(struct flow_svc *f, uint32_t slots)
{
	struct flow_options *o = &f->options;
	uint32_t threads = f->settings.front.threads;
	uint32_t usable_threads = threads - threads / 4;
	uint32_t queue_limit =
		usable_threads > slots ? usable_threads - slots : 0;

	if (queue_limit < threads / 4)
		queue_limit = threads / 4;
	if (queue_limit > f->settings.front.queue_limit)
		queue_limit = f->settings.front.queue_limit;
	o->random_routing = f->live_settings->policy.routing == ROUTING_RANDOM;
	o->fifo_admission =
		f->live_settings->policy.admission == ADMISSION_FIFO;
	o->retry_budget_percent = f->live_settings->policy.retry_budget_percent;
	o->queue_limit = queue_limit;
}

struct flow_svc *flow_svc_find(struct kernel *k)
{
	return (struct flow_svc *)kernel_find(k, "flow");
}

static void register_counters(struct flow_counters *c)
{
	char labels[64];

	c->received = counter_get(COUNTER, "waxwing_requests_total", NULL);
	c->sends = counter_get(COUNTER, "waxwing_runner_sends_total", NULL);
	c->hedges = counter_get(COUNTER, "waxwing_runner_hedges_total", NULL);
	c->done = counter_get(COUNTER, "waxwing_replies_total",
			      "outcome=\"done\"");
	c->unknown = counter_get(COUNTER, "waxwing_replies_total",
				 "outcome=\"unknown\"");
	for (int i = 0; i <= FLOW_REASON_TARGET_FAILED; i++) {
		snprintf(labels, sizeof(labels),
			 "outcome=\"not-run\",reason=\"%s\"",
			 flow_reason_name((enum flow_reason)i));
		c->not_run[i] =
			counter_get(COUNTER, "waxwing_replies_total", labels);
	}
	for (int i = 0; i <= FLOW_OUTCOME_LOST; i++) {
		snprintf(labels, sizeof(labels), "outcome=\"%s\"",
			 flow_outcome_name((enum flow_outcome)i));
		c->outcomes[i] = counter_get(
			COUNTER, "waxwing_runner_results_total", labels);
	}
	c->queued = counter_get(GAUGE, "waxwing_requests_queued", NULL);
	c->running = counter_get(GAUGE, "waxwing_requests_running", NULL);
	c->slots = counter_get(GAUGE, "waxwing_runner_slots", NULL);
	c->probes = counter_get(COUNTER, "waxwing_runner_probes_total", NULL);
}

static int flow_svc_start(struct service *svc, struct kernel *k,
			  struct error *err)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	f->config = config_find(k);
	f->members = members_find(k);
	f->targets = targets_find(k);
	f->http = http_client_create(IDLE_CONNECTIONS_PER_RUNNER);
	f->probe_pool =
		io_pool_create("probe", PROBE_THREADS, PROBE_QUEUE_LIMIT);
	if (!f->http || !f->probe_pool)
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "cannot start HTTP client or probe threads");
	flow_io_start(f);
	f->loop = loop_find(k);
	loop_call(f->loop, subscribe_to_services, f);
	return 0;
}

/* Registers callbacks and reads the current state. Control thread only. */
static void subscribe_to_services(void *svc)
{
	struct flow_svc *f = svc;

	config_on_change(f->config, sync_sheet, f);
	members_add_seat_listener(f->members, sync_seat, f);
	targets_on_change(f->targets, flow_update_targets, f);
	sync_sheet(f);
	sync_seat(f);
	flow_update_targets(f);
	loop_add_timer(f->loop, TICK_INTERVAL_US, tick, f);
	loop_add_timer(f->loop, PLANNED_STOP_CHECK_INTERVAL_US,
		       check_planned_stops, f);
}

static void flow_svc_drain(struct service *svc)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	atomic_store(&f->draining, true);
}

static void flow_svc_stop(struct service *svc)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	/* The control thread still calls tick() until the loop stops. */
	pthread_mutex_lock(&f->lock);
	f->core_stopped = true;
	pthread_mutex_unlock(&f->lock);
	flow_io_stop(f);
	if (f->probe_pool)
		io_pool_destroy(f->probe_pool);
	f->probe_pool = NULL;
	http_client_destroy(f->http);
	f->http = NULL;
}

static void flow_svc_destroy(struct service *svc)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	flow_destroy(f->core);
	free(f->actions.items);
	for (uint32_t i = 0; i < f->pending_max; i++)
		pthread_cond_destroy(&f->pending[i].cond);
	free(f->pending);
	free(f->decisions);
	free(f->target_table);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

void flow_request_begin(struct flow_svc *f)
{
	atomic_fetch_add(&f->in_flight, 1);
}

void flow_request_end(struct flow_svc *f)
{
	atomic_fetch_sub(&f->in_flight, 1);
}

uint32_t flow_in_flight(struct flow_svc *f)
{
	return atomic_load(&f->in_flight);
}

/* ---- the core ---- */

void flow_handle_event(struct flow_svc *f, const struct flow_event *e)
{
	f->actions.count = 0;
	if (f->core_stopped)
		return;
	flow_step(f->core, clock_now_us(), e, &f->actions);
	for (size_t i = 0; i < f->actions.count; i++) {
		const struct flow_action *a = &f->actions.items[i];
		struct pending_request *pending;

		if (a->type == FLOW_SEND_PROBE) {
			flow_io_queue_probe(f, a);
			continue;
		}
		flow_record_decision(f, a);
		pending = &f->pending[a->handle];
		if (a->type == FLOW_SEND) {
			pending->running_attempts++;
			f->target_refs[a->target]++;
			flow_io_queue_attempt(f, a);
			continue;
		}
		pending->final_action = *a;
		pending->decided = true;
		pthread_cond_signal(&pending->cond);
	}
}

/* Passes the current sheet to the core if the core has an older one. */
static void sync_sheet(void *svc)
{
	struct flow_svc *f = svc;
	const struct config *c;

	pthread_mutex_lock(&f->lock);
	c = config_current(f->config);
	if (c && c->revision > f->sheet_revision) {
		struct flow_event e = { .type = FLOW_SHEET, .sheet = c->sheet };

		f->sheet_revision = c->revision;
		flow_handle_event(f, &e);
	}
	pthread_mutex_unlock(&f->lock);
}

static void sync_seat(void *svc)
{
	struct flow_svc *f = svc;
	struct flow_event e = { .type = FLOW_SEAT };
	struct seat seat;

	members_seat(f->members, &seat);
	if (!memcmp(&seat, &f->seat, sizeof(seat)))
		return;
	f->seat = seat;
	e.seat.index = seat.index;
	e.seat.count = seat.revision ? seat.count : 0;
	e.seat.previous_index = seat.previous_index;
	e.seat.previous_count = seat.previous_count;
	log_event(LOG_INFO, "seat",
		  "revision=%llu index=%u count=%u "
		  "previous-index=%u previous-count=%u",
		  (unsigned long long)seat.revision, seat.index, seat.count,
		  seat.previous_index, seat.previous_count);
	pthread_mutex_lock(&f->lock);
	flow_handle_event(f, &e);
	pthread_mutex_unlock(&f->lock);
}

uint64_t flow_idle_since_us(struct flow_svc *f)
{
	struct flow_totals totals;

	pthread_mutex_lock(&f->lock);
	flow_totals(f->core, &totals);
	pthread_mutex_unlock(&f->lock);
	return totals.idle_since_us;
}

bool flow_ready(struct flow_svc *f)
{
	struct flow_totals totals;
	bool has_sheet;

	pthread_mutex_lock(&f->lock);
	flow_totals(f->core, &totals);
	has_sheet = f->sheet_revision > 0;
	pthread_mutex_unlock(&f->lock);
	return has_sheet && totals.capacity > 0;
}

bool flow_seat_applied(struct flow_svc *f, uint64_t revision)
{
	struct flow_totals totals;

	sync_seat(f);
	pthread_mutex_lock(&f->lock);
	flow_totals(f->core, &totals);
	pthread_mutex_unlock(&f->lock);
	/* A process without a seat has revision 0 and no slots. */
	return (f->seat.revision == 0 || f->seat.revision >= revision) &&
	       totals.targets_over_share == 0;
}

static void tick(void *svc)
{
	struct flow_svc *f = svc;
	struct flow_event e = { .type = FLOW_TICK };
	struct flow_totals totals;

	/*
	 * After a pause of the process its seat may be withdrawn. Attempts
	 * are not sent until a tick has read the seat again.
	 */
	sync_seat(f);
	pthread_mutex_lock(&f->lock);
	flow_handle_event(f, &e);
	flow_totals(f->core, &totals);
	update_core_options(f, totals.capacity);
	flow_set_options(f->core, &f->options);
	pthread_mutex_unlock(&f->lock);
	atomic_store(&f->last_tick_us, clock_now_us());
	counter_set(f->counters.queued, totals.queued);
	counter_set(f->counters.running, totals.running);
	counter_set(f->counters.slots, totals.capacity);
}

static void check_planned_stops(void *svc)
{
	flow_check_planned_stops(svc);
}

/* ---- requests ---- */

void shared_request_unref(struct shared_request *request)
{
	if (atomic_fetch_sub(&request->references, 1) == 1)
		free(request);
}

static struct shared_request *
copy_request(const struct flow_request_params *params)
{
	struct shared_request *request =
		xcalloc(1, sizeof(*request) + params->body_len + 1);

	atomic_store(&request->references, 1);
	snprintf(request->id, sizeof(request->id), "%s", params->id);
	snprintf(request->user, sizeof(request->user), "%s", params->user);
	snprintf(request->team, sizeof(request->team), "%s", params->team);
	snprintf(request->kind, sizeof(request->kind), "%s", params->kind);
	request->deadline_us = params->deadline_us;
	request->body_len = params->body_len;
	if (params->body_len)
		memcpy(request->body, params->body, params->body_len);
	return request;
}

/* Returns the revision of the sheet that the event's indices refer to. */
static uint64_t fill_request_event(struct flow_svc *f,
				   const struct flow_request_params *params,
				   struct flow_event *e)
{
	const struct config *c;
	uint64_t revision = 0;

	e->type = FLOW_REQUEST;
	e->request.kind = -1;
	e->request.team = -1;
	e->request.urgency = URGENCY_NORMAL;
	e->request.idempotent = params->idempotent;
	e->request.deadline_us = params->deadline_us;
	e->request.bytes = (uint32_t)params->body_len;
	rcu_read_lock();
	c = config_current(f->config);
	if (c) {
		int kind =
			sheet_find_kind(c->sheet, params->user, params->kind);

		revision = c->revision;
		e->request.kind = kind;
		e->request.team =
			sheet_find_team(c->sheet, params->user, params->team);
		if (kind >= 0)
			e->request.urgency = c->sheet->kinds[kind].priority;
	}
	rcu_read_unlock();
	if (params->urgency >= 0)
		e->request.urgency = (enum urgency)params->urgency;
	return revision;
}

/* Returns with the lock held and indices that match the core's sheet. */
static void
fill_request_event_and_lock(struct flow_svc *f,
			    const struct flow_request_params *params,
			    struct flow_event *e)
{
	for (;;) {
		uint64_t revision = fill_request_event(f, params, e);

		pthread_mutex_lock(&f->lock);
		if (revision == f->sheet_revision)
			return;
		pthread_mutex_unlock(&f->lock);
		rcu_read_lock();
		sync_sheet(f);
		rcu_read_unlock();
	}
}

/* Returns when the request is decided or its deadline has passed. */
static void wait_for_decision(struct flow_svc *f,
			      struct pending_request *pending,
			      uint64_t deadline_us)
{
	while (!pending->decided) {
		uint64_t now = clock_now_us();
		struct timespec ts;

		if (now >= deadline_us)
			return;
		clock_gettime(CLOCK_REALTIME, &ts);
		now = (uint64_t)ts.tv_nsec / 1000u + deadline_us - now;
		ts.tv_sec += (time_t)(now / 1000000u);
		ts.tv_nsec = (long)(now % 1000000u) * 1000;
		pthread_cond_timedwait(&pending->cond, &f->lock, &ts);
	}
}

/*
 * Cancels a request whose deadline has passed. An attempt that is being sent
 * continues. None starts sending after the deadline, so a request of which
 * nothing has been sent by now did not run.
 */
static void expire_request(struct flow_svc *f, uint32_t handle,
			   struct flow_reply *reply)
{
	struct pending_request *pending = &f->pending[handle];
	struct flow_event e = { .type = FLOW_CANCEL };

	e.cancel.handle = handle;
	flow_handle_event(f, &e);
	reply->reason = FLOW_REASON_DEADLINE;
	reply->outcome = FLOW_OUTCOME_TIMEOUT;
	if (pending->may_have_run ||
	    atomic_load(&pending->request->attempts_on_wire) > 0)
		reply->code = FLOW_REPLY_UNKNOWN;
}

/* Converts the core's final action; takes the response body. */
static void fill_reply(struct pending_request *pending,
		       struct flow_reply *reply)
{
	const struct flow_action *a = &pending->final_action;

	reply->reason = a->reason;
	reply->outcome = a->outcome;
	if (a->type == FLOW_REFUSE) {
		reply->code = FLOW_REPLY_NOT_RUN;
	} else if (a->outcome == FLOW_OUTCOME_OK ||
		   a->outcome == FLOW_OUTCOME_FAILED) {
		reply->code = FLOW_REPLY_DONE;
		reply->status = pending->response_status;
		reply->body = pending->response_body;
		memset(&pending->response_body, 0,
		       sizeof(pending->response_body));
	} else {
		reply->code = FLOW_REPLY_UNKNOWN;
	}
}

void pending_request_release(struct flow_svc *f, uint32_t handle)
{
	struct pending_request *pending = &f->pending[handle];

	if (pending->has_waiter || !pending->decided ||
	    pending->running_attempts)
		return;
	buffer_free(&pending->response_body);
	shared_request_unref(pending->request);
	pending->used = false;
	pending->next_free = f->first_free_handle;
	f->first_free_handle = handle;
}

/* Returns a free handle, or pending_max if there is none. */
static uint32_t alloc_pending_request(struct flow_svc *f,
				      struct shared_request *request)
{
	uint32_t handle = f->first_free_handle;
	struct pending_request *pending;

	if (handle >= f->pending_max)
		return handle;
	pending = &f->pending[handle];
	f->first_free_handle = pending->next_free;
	pending->used = true;
	pending->has_waiter = true;
	pending->decided = false;
	pending->may_have_run = false;
	pending->request = request;
	atomic_fetch_add(&request->references, 1);
	return handle;
}

static void count_reply(struct flow_svc *f, const struct flow_reply *reply)
{
	if (reply->code == FLOW_REPLY_DONE)
		counter_add(f->counters.done, 1);
	else if (reply->code == FLOW_REPLY_UNKNOWN)
		counter_add(f->counters.unknown, 1);
	else
		counter_add(f->counters.not_run[reply->reason], 1);
}

bool flow_would_refuse(struct flow_svc *f,
		       const struct flow_request_params *params,
		       struct flow_reply *reply)
{
	struct flow_event e;

	memset(reply, 0, sizeof(*reply));
	memset(&e, 0, sizeof(e));
	reply->code = FLOW_REPLY_NOT_RUN;
	fill_request_event_and_lock(f, params, &e);
	reply->revision = f->sheet_revision;
	reply->reason = flow_check_request(f->core, clock_now_us(), &e);
	pthread_mutex_unlock(&f->lock);
	if (reply->reason)
		count_reply(f, reply);
	return reply->reason != FLOW_REASON_NONE;
}

void flow_run_request(struct flow_svc *f,
		      const struct flow_request_params *params,
		      struct flow_reply *reply)
{
	struct shared_request *request = copy_request(params);
	struct flow_event e;
	uint32_t handle;

	memset(reply, 0, sizeof(*reply));
	memset(&e, 0, sizeof(e));
	reply->code = FLOW_REPLY_NOT_RUN;
	counter_add(f->counters.received, 1);
	if (atomic_load(&f->draining)) {
		reply->reason = FLOW_REASON_DRAINING;
		goto out;
	}
	fill_request_event_and_lock(f, params, &e);
	request->revision = f->sheet_revision;
	handle = alloc_pending_request(f, request);
	if (handle < f->pending_max) {
		struct pending_request *pending = &f->pending[handle];

		e.request.handle = handle;
		flow_handle_event(f, &e);
		wait_for_decision(f, pending, params->deadline_us);
		if (pending->decided)
			fill_reply(pending, reply);
		else
			expire_request(f, handle, reply);
		pending->has_waiter = false;
		pending_request_release(f, handle);
	} else {
		reply->reason = FLOW_REASON_QUEUE_FULL;
	}
	pthread_mutex_unlock(&f->lock);
out:
	reply->revision = request->revision;
	if (reply->code == FLOW_REPLY_NOT_RUN)
		log_event(LOG_DEBUG, "refuse",
			  "request=%s user=%s kind=%s team=%s reason=%s "
			  "revision=%llu",
			  request->id, request->user, request->kind,
			  request->team, flow_reason_name(reply->reason),
			  (unsigned long long)request->revision);
	count_reply(f, reply);
	shared_request_unref(request);
}
