#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "svc-placement-internal.h"

#define TICK_INTERVAL_US 20000u
#define WORKER_UPDATE_INTERVAL_US 1000000u
/* Tasks are moved off VMs this long before a planned stop. */
#define STOP_LEAD_US 60000000u
/* Workers absent from the list are forgotten after this time. */
#define WORKER_RETENTION_US 3600000000u

static int placement_start(struct service *svc, struct kernel *k,
			   struct error *err);
static void placement_stop(struct service *svc);
static void placement_destroy(struct service *svc);
static void start_on_loop(void *arg);
static struct oplog_client *create_client(void *arg, const char *shard,
					  struct oplog *log);
static void tick(void *arg);
static void tick_shard(struct place_shard *s, uint64_t now_us, bool update);
static void update_workers(struct place_shard *s, uint64_t now_us);
static void update_policy(void *arg);

static const struct service_ops placement_ops = {
	.name = "placement",
	.start = placement_start,
	.stop = placement_stop,
	.destroy = placement_destroy,
};

struct service *placement_create(const struct settings *s)
{
	struct placement_svc *p = xcalloc(1, sizeof(*p));

	p->service.ops = &placement_ops;
	p->settings = s;
	p->decisions = xcalloc(DECISIONS_MAX, sizeof(*p->decisions));
	return &p->service;
}

struct placement_svc *placement_find(struct kernel *k)
{
	return (struct placement_svc *)kernel_find(k, "placement");
}

static int placement_start(struct service *svc, struct kernel *k,
			   struct error *err)
{
	struct placement_svc *p = (struct placement_svc *)svc;

	p->loop = loop_find(k);
	p->owner = owner_find(k);
	p->peers = peers_find(k);
	p->members = members_find(k);
	p->config = config_find(k);
	p->targets = targets_find(k);
	p->workers = workers_find(k);
	if (!p->owner || !p->peers || !p->config || !p->targets || !p->workers)
		return error_set(err, ERROR_LAYER_SYSTEM, 1,
				 "a service required by placement is missing");
	/*
	 * Request ids must not repeat after a restart: peers detect repeated
	 * requests by sender and id.
	 */
	p->next_op = clock_wall_us();
	loop_call(p->loop, start_on_loop, p);
	return 0;
}

/* Registers with the other services, on the control thread. */
static void start_on_loop(void *arg)
{
	struct placement_svc *p = arg;

	owner_add_client(p->owner, create_client, p);
	placement_ops_start(p);
	config_on_change(p->config, update_policy, p);
	update_policy(p);
	loop_add_timer(p->loop, TICK_INTERVAL_US, tick, p);
}

static void stop_on_loop(void *arg)
{
	struct placement_svc *p = arg;

	p->stopping = true;
	placement_ops_stop(p);
}

static void placement_stop(struct service *svc)
{
	struct placement_svc *p = (struct placement_svc *)svc;

	loop_call(p->loop, stop_on_loop, p);
}

static void placement_destroy(struct service *svc)
{
	struct placement_svc *p = (struct placement_svc *)svc;

	for (uint32_t i = 0; i < p->shard_count; i++) {
		place_destroy(p->shards[i]->place);
		free(p->shards[i]->known);
		free(p->shards[i]);
	}
	free(p->decisions);
	free(p);
}

static int append_entry(void *arg, const void *data, size_t len, uint64_t token,
			bool later)
{
	struct place_shard *s = arg;

	if (later)
		return oplog_append_deferred(s->log, OPLOG_ENTRY_TASK, data,
					     len, token);
	return oplog_append(s->log, OPLOG_ENTRY_TASK, data, len, token);
}

static struct oplog_client *create_client(void *arg, const char *shard,
					  struct oplog *log)
{
	struct placement_svc *p = arg;
	struct place_shard *s = xcalloc(1, sizeof(*s));
	struct place_options o = {
		.policy = p->settings->policy.placement,
		.outage_horizon_us = p->settings->policy.outage_horizon_us,
		.seed = clock_now_us(),
		.append = append_entry,
		.append_arg = s,
	};

	if (p->shard_count == SHARDS_MAX)
		abort();
	s->svc = p;
	s->log = log;
	snprintf(s->name, sizeof(s->name), "%s", shard);
	s->place = place_create(&o);
	p->shards[p->shard_count++] = s;
	return place_oplog_client(s->place);
}

struct place_shard *placement_shard(struct placement_svc *p, const char *name)
{
	for (uint32_t i = 0; i < p->shard_count; i++)
		if (!strcmp(p->shards[i]->name, name))
			return p->shards[i];
	return NULL;
}

static void tick(void *arg)
{
	struct placement_svc *p = arg;
	uint64_t now_us = clock_now_us();
	bool update =
		now_us - p->workers_updated_us >= WORKER_UPDATE_INTERVAL_US;

	if (p->stopping)
		return;
	if (update)
		p->workers_updated_us = now_us;
	for (uint32_t i = 0; i < p->shard_count; i++)
		tick_shard(p->shards[i], now_us, update);
	placement_ops_tick(p);
}

static void tick_shard(struct place_shard *s, uint64_t now_us, bool update)
{
	struct place_event e = { .type = PLACE_TICK };
	uint64_t epoch = oplog_is_owner(s->log) ? oplog_epoch(s->log) : 0;

	e.at_us = oplog_last_unsealed_us(s->log);
	atomic_store(&s->gate.last_append_us, e.at_us);
	atomic_store(&s->gate.horizon_us, place_outage_horizon_us(s->place));
	atomic_store(&s->gate.epoch, epoch);
	if (epoch != s->epoch) {
		log_event(LOG_INFO, "placement-owner", "shard=%s epoch=%llu",
			  s->name, (unsigned long long)epoch);
		s->epoch = epoch;
		update = true;
		update_policy(s->svc);
	}
	if (update)
		update_workers(s, now_us);
	place_set_policy(s->place, s->svc->settings->policy.placement);
	if (!epoch)
		return;
	place_step(s->place, now_us, &e);
	placement_poll_usage(s);
	placement_execute_actions(s);
}

void placement_execute_actions(struct place_shard *s)
{
	struct place_action a;

	while (place_next_action(s->place, &a)) {
		if (a.type == PLACE_REPLY)
			placement_ops_reply(s, &a);
		else
			placement_call_worker(s, &a);
	}
}

/* Tells whether a planned stop of the VM is in progress or about to start. */
static bool is_stopping(const struct sheet *sheet, const struct vm *vm,
			uint64_t wall_us)
{
	for (size_t i = 0; sheet && i < sheet->stop_count; i++) {
		const struct sheet_stop *st = &sheet->stops[i];
		const char *name = vm->id;

		if (st->scope == STOP_RACK)
			name = vm->rack;
		else if (st->scope == STOP_AVAILABILITY_ZONE)
			name = vm->availability_zone;
		if (!strcmp(name, st->target) &&
		    wall_us + STOP_LEAD_US >= st->start_us &&
		    wall_us < st->start_us + st->duration_us)
			return true;
	}
	return false;
}

static struct known_worker *get_known_worker(struct place_shard *s,
					     const char *id)
{
	struct known_worker *k;

	for (uint32_t i = 0; i < s->known_count; i++)
		if (!strcmp(s->known[i].id, id))
			return &s->known[i];
	if (s->known_count == s->known_capacity) {
		s->known_capacity =
			s->known_capacity ? 2 * s->known_capacity : 64;
		s->known = xrealloc(s->known,
				    s->known_capacity * sizeof(*s->known));
	}
	k = &s->known[s->known_count++];
	memset(k, 0, sizeof(*k));
	snprintf(k->id, sizeof(k->id), "%s", id);
	return k;
}

/* Passes the state of a listed worker to the core. */
static void update_worker(struct place_shard *s, const struct vm *vm,
			  const struct sheet *sheet, uint64_t now_us)
{
	struct known_worker *k = get_known_worker(s, vm->id);
	struct place_event e = {
		.type = PLACE_WORKER,
		.id = vm->id,
		.rack = vm->rack,
		.cpu_milli = vm->cpu_milli,
		.memory_mb = vm->memory_mb,
		.accelerators = vm->accelerators,
		.leaving =
			vm->leaving || is_stopping(sheet, vm, clock_wall_us()),
	};

	k->address = vm->address;
	k->present = true;
	place_step(s->place, now_us, &e);
}

/*
 * Passes the list to the core. A missing worker is reported as gone only if
 * this process has seen it in an earlier list. Otherwise the list may simply be
 * older than the worker.
 */
static void update_workers(struct place_shard *s, uint64_t now_us)
{
	const struct vm_list *list = targets_list(s->svc->targets);
	const struct config *c = config_current(s->svc->config);
	struct place_event gone = { .type = PLACE_WORKER_GONE };

	if (!list || !list->count)
		return;
	for (uint32_t i = 0; i < s->known_count; i++) {
		if (s->known[i].present)
			s->known[i].absent_us = now_us;
		s->known[i].present = false;
	}
	for (size_t i = 0; i < list->count; i++)
		if (list->vms[i].role == VM_WORKER &&
		    !strcmp(list->vms[i].availability_zone, s->name))
			update_worker(s, &list->vms[i], c ? c->sheet : NULL,
				      now_us);
	for (uint32_t i = 0; i < s->known_count; i++) {
		struct known_worker *k = &s->known[i];

		if (k->present)
			continue;
		gone.id = k->id;
		place_step(s->place, now_us, &gone);
		if (now_us - k->absent_us > WORKER_RETENTION_US)
			*k = s->known[--s->known_count];
	}
}

/* Passes the current sheet to every shard. */
static void update_policy(void *arg)
{
	struct placement_svc *p = arg;
	const struct config *c = config_current(p->config);
	struct place_event e = { .type = PLACE_SHEET };

	if (!c)
		return;
	e.sheet = c->sheet;
	for (uint32_t i = 0; i < p->shard_count; i++)
		place_step(p->shards[i]->place, clock_now_us(), &e);
}

/* Logs a decision and keeps it for placement_explain(). */
void placement_log_decision(struct placement_svc *p, const char *task,
			    const char *fmt, ...)
{
	struct decision *d = &p->decisions[p->decision_count++ % DECISIONS_MAX];
	va_list ap;

	snprintf(d->task, sizeof(d->task), "%s", task);
	d->wall_us = clock_wall_us();
	d->revision = config_revision(p->config);
	va_start(ap, fmt);
	vsnprintf(d->text, sizeof(d->text), fmt, ap);
	va_end(ap);
	log_event(LOG_INFO, "placement", "task=%s %s revision=%llu", task,
		  d->text, (unsigned long long)d->revision);
}

struct query {
	struct placement_svc *svc;
	const char *task;
	struct buffer *json;
	int found;
};

static void append_decisions(struct query *q)
{
	struct placement_svc *p = q->svc;
	uint64_t from = 0;
	bool first = true;

	if (p->decision_count > DECISIONS_MAX)
		from = p->decision_count - DECISIONS_MAX;
	for (uint64_t i = from; i < p->decision_count; i++) {
		const struct decision *d = &p->decisions[i % DECISIONS_MAX];

		if (strcmp(d->task, q->task) != 0)
			continue;
		buffer_printf(q->json,
			      "%s{\"wall_us\":%llu,\"revision\":%llu,"
			      "\"decision\":",
			      first ? "" : ",", (unsigned long long)d->wall_us,
			      (unsigned long long)d->revision);
		json_append_string(q->json, d->text);
		buffer_append_str(q->json, "}");
		first = false;
	}
}

static void explain_on_loop(void *arg)
{
	struct query *q = arg;
	struct place_task_view v;
	const char *dot = strchr(q->task, '.');
	struct place_shard *s;
	char zone[64];

	q->found = -1;
	if (!dot || (size_t)(dot - q->task) >= sizeof(zone))
		return;
	memcpy(zone, q->task, (size_t)(dot - q->task));
	zone[dot - q->task] = '\0';
	s = placement_shard(q->svc, zone);
	if (!s || !s->epoch || !place_view_task(s->place, q->task, &v))
		return;
	q->found = 0;
	buffer_append_str(q->json, "{\"task\":");
	json_append_string(q->json, v.id);
	buffer_printf(q->json, ",\"state\":\"%s\",\"attempt\":%u,",
		      task_state_name(v.state), v.attempt);
	buffer_append_str(q->json, "\"worker\":");
	json_append_string(q->json, v.worker);
	buffer_append_str(q->json, ",\"checkpoint\":");
	json_append_string(q->json, v.checkpoint);
	buffer_append_str(q->json, ",\"reason\":");
	json_append_string(q->json, v.reason);
	buffer_printf(q->json,
		      ",\"cpu_milli\":%u,\"memory_mb\":%u,\"percent\":%u,"
		      "\"decisions\":[",
		      v.cpu_milli, v.memory_mb, v.cpu_percent);
	append_decisions(q);
	buffer_append_str(q->json, "]}");
}

int placement_explain(struct placement_svc *p, const char *task,
		      struct buffer *json)
{
	struct query q = { .svc = p, .task = task, .json = json };

	loop_call(p->loop, explain_on_loop, &q);
	return q.found;
}

static void status_on_loop(void *arg)
{
	struct query *q = arg;
	struct placement_svc *p = q->svc;

	buffer_append_str(q->json, "{\"shards\":[");
	for (uint32_t i = 0; i < p->shard_count; i++) {
		struct place_shard *s = p->shards[i];
		struct place_counts c;

		place_get_counts(s->place, &c);
		buffer_printf(q->json, "%s{\"shard\":", i ? "," : "");
		json_append_string(q->json, s->name);
		buffer_printf(q->json,
			      ",\"owned\":%s,\"epoch\":%llu,\"workers\":%u,"
			      "\"quarantined\":%u,\"leaving\":%u,"
			      "\"placements\":%u,\"evictions\":%llu,"
			      "\"decisions\":%llu,\"tasks\":{",
			      s->epoch ? "true" : "false",
			      (unsigned long long)s->epoch, c.workers,
			      c.quarantined, c.leaving, c.placements,
			      (unsigned long long)c.evictions,
			      (unsigned long long)c.decisions);
		for (int t = 0; t <= TASK_IMPOSSIBLE; t++)
			buffer_printf(q->json, "%s\"%s\":%u", t ? "," : "",
				      task_state_name((enum task_state)t),
				      c.tasks[t]);
		buffer_append_str(q->json, "}}");
	}
	buffer_printf(q->json, "],\"worker_calls_in_flight\":%u}",
		      workers_in_flight(p->workers));
}

void placement_status(struct placement_svc *p, struct buffer *json)
{
	struct query q = { .svc = p, .json = json };

	loop_call(p->loop, status_on_loop, &q);
}
