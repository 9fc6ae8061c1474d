#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <urcu.h>

#include "clock.h"
#include "log.h"
#include "svc-flow-internal.h"

#define TICK_US 10000u
#define STOPS_INTERVAL_US 1000000u
#define TEAM_QUEUED_BYTES (4u * 1024u * 1024u)
#define PROBE_THREADS 8
#define PROBE_QUEUE 4096
#define IDLE_CONNECTIONS 8
/* Entries for requests that are answered while an attempt still runs. */
#define SPARE_ENTRIES 1024u
#define ENTRIES_MAX 65536u

static int flow_svc_start(struct service *svc, struct kernel *k,
			  struct error *err);
static void flow_svc_drain(struct service *svc);
static void flow_svc_stop(struct service *svc);
static void flow_svc_destroy(struct service *svc);
static void follow_services(void *svc);
static void sync_policy(void *svc);
static void sync_seat(void *svc);
static void tick(void *svc);
static void set_options(struct flow_svc *f, uint32_t capacity);
static void check_stops(void *svc);
static void make_counters(struct flow_counters *c);

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
	f->running = s;
	if (getrandom(&f->options.seed, sizeof(f->options.seed), 0) < 0)
		f->options.seed = clock_wall_us();
	f->options.team_bytes_limit = TEAM_QUEUED_BYTES;
	set_options(f, 0);
	f->core = flow_create(&f->options);
	f->entry_count = 2 * s->front.threads + SPARE_ENTRIES;
	if (f->entry_count > ENTRIES_MAX)
		f->entry_count = ENTRIES_MAX;
	f->entries = xcalloc(f->entry_count, sizeof(*f->entries));
	for (uint32_t i = 0; i < f->entry_count; i++) {
		pthread_cond_init(&f->entries[i].cond, NULL);
		f->entries[i].next_free = i + 1;
	}
	f->ring = xcalloc(FLOW_RING_SIZE, sizeof(*f->ring));
	f->table = xcalloc(1, sizeof(*f->table));
	pthread_mutex_init(&f->lock, NULL);
	make_counters(&f->counters);
	return &f->service;
}

/*
 * Sets the options from the policy in force. Each request that waits or runs
 * holds a thread of the front; some threads must stay free, or a refusal
 * would wait for a thread itself.
 */
static void set_options(struct flow_svc *f, uint32_t capacity)
{
	struct flow_options *o = &f->options;
	uint32_t threads = f->settings.front.threads;
	uint32_t usable = threads - threads / 4;
	uint32_t room = usable > capacity ? usable - capacity : 0;

	if (room < threads / 4)
		room = threads / 4;
	if (room > f->settings.front.queue_limit)
		room = f->settings.front.queue_limit;
	o->random_routing = f->running->policy.routing == ROUTING_RANDOM;
	o->fifo_admission = f->running->policy.admission == ADMISSION_FIFO;
	o->retry_budget_percent = f->running->policy.retry_budget_percent;
	o->queue_limit = room;
}

struct flow_svc *flow_svc_find(struct kernel *k)
{
	return (struct flow_svc *)kernel_find(k, "flow");
}

static void make_counters(struct flow_counters *c)
{
	char labels[64];

	c->accepted = counter_get(COUNTER, "waxwing_requests_total", NULL);
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
		c->outcome[i] = counter_get(
			COUNTER, "waxwing_runner_results_total", labels);
	}
	c->queued = counter_get(GAUGE, "waxwing_requests_queued", NULL);
	c->running = counter_get(GAUGE, "waxwing_requests_running", NULL);
	c->capacity = counter_get(GAUGE, "waxwing_runner_slots", NULL);
	c->probes = counter_get(COUNTER, "waxwing_runner_probes_total", NULL);
}

static int flow_svc_start(struct service *svc, struct kernel *k,
			  struct error *err)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	f->config = config_find(k);
	f->members = members_find(k);
	f->target_list = targets_find(k);
	f->http = http_client_create(IDLE_CONNECTIONS);
	f->probe_pool = io_pool_create("probe", PROBE_THREADS, PROBE_QUEUE);
	if (!f->http || !f->probe_pool)
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "cannot start the threads of flow");
	flow_io_start(f);
	f->loop = loop_find(k);
	loop_call(f->loop, follow_services, f);
	return 0;
}

/* Takes over what other services know and will know. Control thread. */
static void follow_services(void *svc)
{
	struct flow_svc *f = svc;

	config_on_change(f->config, sync_policy, f);
	members_on_seat(f->members, sync_seat, f);
	targets_on_change(f->target_list, flow_targets_changed, f);
	sync_policy(f);
	sync_seat(f);
	flow_targets_changed(f);
	loop_every(f->loop, TICK_US, tick, f);
	loop_every(f->loop, STOPS_INTERVAL_US, check_stops, f);
}

static void flow_svc_drain(struct service *svc)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	atomic_store(&f->draining, true);
}

static void flow_svc_stop(struct service *svc)
{
	struct flow_svc *f = (struct flow_svc *)svc;

	/* The control thread goes on to call tick() until the loop stops. */
	pthread_mutex_lock(&f->lock);
	f->stopped = true;
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
	for (uint32_t i = 0; i < f->entry_count; i++)
		pthread_cond_destroy(&f->entries[i].cond);
	free(f->entries);
	free(f->ring);
	free(f->table);
	pthread_mutex_destroy(&f->lock);
	free(f);
}

void flow_enter(struct flow_svc *f)
{
	atomic_fetch_add(&f->in_flight, 1);
}

void flow_leave(struct flow_svc *f)
{
	atomic_fetch_sub(&f->in_flight, 1);
}

uint32_t flow_in_flight(struct flow_svc *f)
{
	return atomic_load(&f->in_flight);
}

/* ---- the core ---- */

void flow_post(struct flow_svc *f, const struct flow_event *e)
{
	f->actions.count = 0;
	if (f->stopped)
		return;
	flow_step(f->core, clock_now_us(), e, &f->actions);
	for (size_t i = 0; i < f->actions.count; i++) {
		const struct flow_action *a = &f->actions.items[i];
		struct flow_entry *entry;

		if (a->type == FLOW_SEND_PROBE) {
			flow_io_ask(f, a);
			continue;
		}
		flow_record_action(f, a);
		entry = &f->entries[a->handle];
		if (a->type == FLOW_SEND) {
			entry->attempts++;
			f->attempts_at[a->target]++;
			flow_io_send(f, a);
			continue;
		}
		entry->final = *a;
		entry->decided = true;
		pthread_cond_signal(&entry->cond);
	}
}

/* Passes the sheet in force to the core when it has an older one. */
static void sync_policy(void *svc)
{
	struct flow_svc *f = svc;
	const struct config *c;

	pthread_mutex_lock(&f->lock);
	c = config_read(f->config);
	if (c && c->revision > f->revision) {
		struct flow_event e = { .type = FLOW_POLICY,
					.policy = c->sheet };

		f->revision = c->revision;
		flow_post(f, &e);
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
	flow_post(f, &e);
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
	has_sheet = f->revision > 0;
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
	/* A process that lost its seat has revision 0 and no slots. */
	return (f->seat.revision == 0 || f->seat.revision >= revision) &&
	       totals.targets_over_share == 0;
}

static void tick(void *svc)
{
	struct flow_svc *f = svc;
	struct flow_event e = { .type = FLOW_TICK };
	struct flow_totals totals;

	/*
	 * The seat is read at every tick: after a pause it may have been
	 * withdrawn, and attempts wait for this tick before they send.
	 */
	sync_seat(f);
	pthread_mutex_lock(&f->lock);
	flow_post(f, &e);
	flow_totals(f->core, &totals);
	set_options(f, totals.capacity);
	flow_set_options(f->core, &f->options);
	pthread_mutex_unlock(&f->lock);
	atomic_store(&f->last_tick_us, clock_now_us());
	counter_set(f->counters.queued, totals.queued);
	counter_set(f->counters.running, totals.running);
	counter_set(f->counters.capacity, totals.capacity);
}

static void check_stops(void *svc)
{
	flow_stops_check(svc);
}

/* ---- requests ---- */

void flow_job_release(struct flow_job *job)
{
	if (atomic_fetch_sub(&job->references, 1) == 1)
		free(job);
}

static struct flow_job *make_job(const struct flow_call *call)
{
	struct flow_job *job = xcalloc(1, sizeof(*job) + call->body_len + 1);

	atomic_store(&job->references, 1);
	snprintf(job->id, sizeof(job->id), "%s", call->id);
	snprintf(job->user, sizeof(job->user), "%s", call->user);
	snprintf(job->team, sizeof(job->team), "%s", call->team);
	snprintf(job->kind, sizeof(job->kind), "%s", call->kind);
	job->deadline_us = call->deadline_us;
	job->body_len = call->body_len;
	if (call->body_len)
		memcpy(job->body, call->body, call->body_len);
	return job;
}

/* Fills the event of a request; returns the revision of its indices. */
static uint64_t describe(struct flow_svc *f, const struct flow_call *call,
			 struct flow_event *e)
{
	const struct config *c;
	uint64_t revision = 0;

	e->type = FLOW_REQUEST;
	e->request.kind = -1;
	e->request.team = -1;
	e->request.urgency = URGENCY_NORMAL;
	e->request.idempotent = call->idempotent;
	e->request.deadline_us = call->deadline_us;
	e->request.bytes = (uint32_t)call->body_len;
	rcu_read_lock();
	c = config_read(f->config);
	if (c) {
		int kind = sheet_find_kind(c->sheet, call->user, call->kind);

		revision = c->revision;
		e->request.kind = kind;
		e->request.team =
			sheet_find_team(c->sheet, call->user, call->team);
		if (kind >= 0)
			e->request.urgency = c->sheet->kinds[kind].priority;
	}
	rcu_read_unlock();
	if (call->urgency >= 0)
		e->request.urgency = (enum urgency)call->urgency;
	return revision;
}

/* Takes the lock when the core has the sheet that the event refers to. */
static void lock_at_revision(struct flow_svc *f, const struct flow_call *call,
			     struct flow_event *e)
{
	for (;;) {
		uint64_t revision = describe(f, call, e);

		pthread_mutex_lock(&f->lock);
		if (revision == f->revision)
			return;
		pthread_mutex_unlock(&f->lock);
		rcu_read_lock();
		sync_policy(f);
		rcu_read_unlock();
	}
}

/* Waits for the decision, at most until the deadline. */
static void wait_for_end(struct flow_svc *f, struct flow_entry *entry,
			 uint64_t deadline_us)
{
	while (!entry->decided) {
		uint64_t now = clock_now_us();
		struct timespec ts;

		if (now >= deadline_us)
			return;
		clock_gettime(CLOCK_REALTIME, &ts);
		now = (uint64_t)ts.tv_nsec / 1000u + deadline_us - now;
		ts.tv_sec += (time_t)(now / 1000000u);
		ts.tv_nsec = (long)(now % 1000000u) * 1000;
		pthread_cond_timedwait(&entry->cond, &f->lock, &ts);
	}
}

/*
 * The deadline has passed. An attempt that is being sent runs on; no other
 * starts to send after the deadline, so "not run" is certain when none has.
 */
static void give_up(struct flow_svc *f, uint32_t handle,
		    struct flow_reply *reply)
{
	struct flow_entry *entry = &f->entries[handle];
	struct flow_event e = { .type = FLOW_CANCEL };

	e.cancel.handle = handle;
	flow_post(f, &e);
	reply->reason = FLOW_REASON_DEADLINE;
	reply->outcome = FLOW_OUTCOME_TIMEOUT;
	if (entry->may_have_run || atomic_load(&entry->job->sending) > 0)
		reply->code = FLOW_REPLY_UNKNOWN;
}

/* Turns the final action into the reply. */
static void make_reply(struct flow_entry *entry, struct flow_reply *reply)
{
	const struct flow_action *a = &entry->final;

	reply->reason = a->reason;
	reply->outcome = a->outcome;
	if (a->type == FLOW_REFUSE) {
		reply->code = FLOW_REPLY_NOT_RUN;
	} else if (a->outcome == FLOW_OUTCOME_OK ||
		   a->outcome == FLOW_OUTCOME_FAILED) {
		reply->code = FLOW_REPLY_DONE;
		reply->status = entry->status;
		reply->body = entry->body;
		memset(&entry->body, 0, sizeof(entry->body));
	} else {
		reply->code = FLOW_REPLY_UNKNOWN;
	}
}

void flow_entry_release(struct flow_svc *f, uint32_t handle)
{
	struct flow_entry *entry = &f->entries[handle];

	if (entry->waited_for || !entry->decided || entry->attempts)
		return;
	buffer_free(&entry->body);
	flow_job_release(entry->job);
	entry->used = false;
	entry->next_free = f->first_free;
	f->first_free = handle;
}

/* Takes a free entry; its handle, or entry_count when there is none. */
static uint32_t take_entry(struct flow_svc *f, struct flow_job *job)
{
	uint32_t handle = f->first_free;
	struct flow_entry *entry;

	if (handle >= f->entry_count)
		return handle;
	entry = &f->entries[handle];
	f->first_free = entry->next_free;
	entry->used = true;
	entry->waited_for = true;
	entry->decided = false;
	entry->may_have_run = false;
	entry->job = job;
	atomic_fetch_add(&job->references, 1);
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

bool flow_would_refuse(struct flow_svc *f, const struct flow_call *call,
		       struct flow_reply *reply)
{
	struct flow_event e;

	memset(reply, 0, sizeof(*reply));
	memset(&e, 0, sizeof(e));
	reply->code = FLOW_REPLY_NOT_RUN;
	lock_at_revision(f, call, &e);
	reply->revision = f->revision;
	reply->reason = flow_check_request(f->core, clock_now_us(), &e);
	pthread_mutex_unlock(&f->lock);
	if (reply->reason)
		count_reply(f, reply);
	return reply->reason != FLOW_REASON_NONE;
}

void flow_serve(struct flow_svc *f, const struct flow_call *call,
		struct flow_reply *reply)
{
	struct flow_job *job = make_job(call);
	struct flow_event e;
	uint32_t handle;

	memset(reply, 0, sizeof(*reply));
	memset(&e, 0, sizeof(e));
	reply->code = FLOW_REPLY_NOT_RUN;
	counter_add(f->counters.accepted, 1);
	if (atomic_load(&f->draining)) {
		reply->reason = FLOW_REASON_DRAINING;
		goto out;
	}
	lock_at_revision(f, call, &e);
	job->revision = f->revision;
	handle = take_entry(f, job);
	if (handle < f->entry_count) {
		struct flow_entry *entry = &f->entries[handle];

		e.request.handle = handle;
		flow_post(f, &e);
		wait_for_end(f, entry, call->deadline_us);
		if (entry->decided)
			make_reply(entry, reply);
		else
			give_up(f, handle, reply);
		entry->waited_for = false;
		flow_entry_release(f, handle);
	} else {
		reply->reason = FLOW_REASON_QUEUE_FULL;
	}
	pthread_mutex_unlock(&f->lock);
out:
	reply->revision = job->revision;
	if (reply->code == FLOW_REPLY_NOT_RUN)
		log_event(LOG_DEBUG, "refuse",
			  "request=%s user=%s kind=%s team=%s reason=%s "
			  "revision=%llu",
			  job->id, job->user, job->kind, job->team,
			  flow_reason_name(reply->reason),
			  (unsigned long long)job->revision);
	count_reply(f, reply);
	flow_job_release(job);
}
