#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "svc-flow-internal.h"

static const char *const action_names[] = {
	[FLOW_SEND] = "send",
	[FLOW_FINISH] = "finish",
	[FLOW_REFUSE] = "refuse",
	[FLOW_SEND_PROBE] = "ask",
};

static const char *const breaker_names[] = {
	[FLOW_BREAKER_CLOSED] = "closed",
	[FLOW_BREAKER_OPEN] = "open",
	[FLOW_BREAKER_HALF_OPEN] = "trial",
};

/* Copies a target's id. The table changes under the lock only. */
static void copy_id(const struct flow_svc *f, uint32_t target, char id[64])
{
	id[0] = '\0';
	if (target < f->table->count)
		memcpy(id, f->table->rows[target].id, 64);
}

void flow_record_action(struct flow_svc *f, const struct flow_action *a)
{
	struct flow_record *r = &f->ring[f->ring_next++ % FLOW_RING_SIZE];
	const struct flow_job *job = f->entries[a->handle].job;

	memcpy(r->request, job->id, sizeof(r->request));
	memcpy(r->user, job->user, sizeof(r->user));
	memcpy(r->kind, job->kind, sizeof(r->kind));
	memcpy(r->team, job->team, sizeof(r->team));
	copy_id(f, a->target, r->target);
	copy_id(f, a->passed_over, r->passed_over);
	r->action = *a;
	r->revision = job->revision;
	r->at_us = clock_wall_us();
}

static json_t *record_json(const struct flow_record *r)
{
	const struct flow_action *a = &r->action;
	json_t *o = json_pack(
		"{s:s, s:I, s:I}", "action", action_names[a->type], "at_us",
		(json_int_t)r->at_us, "revision", (json_int_t)r->revision);

	if (r->target[0])
		json_object_set_new(o, "target", json_string(r->target));
	if (a->type == FLOW_SEND) {
		json_object_set_new(o, "passed_over",
				    json_string(r->passed_over));
		json_object_set_new(
			o, "why",
			json_string(flow_choice_reason_name(a->choice_reason)));
		json_object_set_new(o, "attempt", json_integer(a->attempt));
		json_object_set_new(o, "hedge", json_boolean(a->hedge));
		json_object_set_new(o, "queued_us",
				    json_integer((json_int_t)a->queued_us));
		return o;
	}
	json_object_set_new(o, "reason",
			    json_string(flow_reason_name(a->reason)));
	if (a->type == FLOW_FINISH)
		json_object_set_new(o, "outcome",
				    json_string(flow_outcome_name(a->outcome)));
	return o;
}

/* Appends a JSON value and frees it. */
static void append_json(struct buffer *b, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	buffer_append_str(b, text ? text : "null");
	free(text);
	json_decref(value);
}

int flow_explain(struct flow_svc *f, const char *request_id,
		 struct buffer *json)
{
	json_t *decisions = json_array();
	json_t *root = NULL;
	uint64_t first;

	pthread_mutex_lock(&f->lock);
	first = f->ring_next > FLOW_RING_SIZE ? f->ring_next - FLOW_RING_SIZE
					      : 0;
	for (uint64_t i = first; i < f->ring_next; i++) {
		const struct flow_record *r = &f->ring[i % FLOW_RING_SIZE];

		if (strcmp(r->request, request_id) != 0)
			continue;
		if (!root)
			root = json_pack("{s:s, s:s, s:s, s:s}", "request",
					 r->request, "user", r->user, "kind",
					 r->kind, "team", r->team);
		json_array_append_new(decisions, record_json(r));
	}
	pthread_mutex_unlock(&f->lock);
	if (!root) {
		json_decref(decisions);
		return -1;
	}
	json_object_set_new(root, "decisions", decisions);
	append_json(json, root);
	return 0;
}

/* What flow_status() shows, copied so that no JSON is built under the lock. */
struct status {
	struct flow_totals totals;
	uint64_t revision;
	struct target_row {
		char id[64];
		struct flow_target_info info;
	} * targets;
	uint32_t target_count;
	struct flow_kind_info *kinds;
	uint32_t kind_count;
};

static void copy_status(struct flow_svc *f, struct status *s)
{
	struct flow_kind_info k;

	pthread_mutex_lock(&f->lock);
	flow_totals(f->core, &s->totals);
	s->revision = f->revision;
	s->targets = xcalloc(f->table->count, sizeof(*s->targets));
	for (uint32_t i = 0; i < f->table->count; i++) {
		struct target_row *row = &s->targets[s->target_count];

		if (flow_target_info(f->core, i, &row->info) < 0)
			continue;
		snprintf(row->id, sizeof(row->id), "%s", f->table->rows[i].id);
		s->target_count++;
	}
	while (flow_kind_info(f->core, s->kind_count, &k) == 0)
		s->kind_count++;
	s->kinds = xcalloc(s->kind_count, sizeof(*s->kinds));
	for (uint32_t i = 0; i < s->kind_count; i++)
		flow_kind_info(f->core, i, &s->kinds[i]);
	pthread_mutex_unlock(&f->lock);
}

static json_t *targets_json(const struct status *s)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < s->target_count; i++) {
		const struct flow_target_info *t = &s->targets[i].info;

		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i, s:i, s:i, s:I, s:s, s:b, "
				  "s:b}",
				  "id", s->targets[i].id, "own_slots",
				  (int)t->own_slots, "own_connections",
				  (int)t->own_connections, "outstanding",
				  (int)t->outstanding, "abandoned",
				  (int)t->abandoned, "latency_us",
				  (json_int_t)t->latency_us, "breaker",
				  breaker_names[t->breaker], "draining",
				  t->draining, "leaving", t->leaving));
	}
	return list;
}

static json_t *kinds_json(const struct status *s)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < s->kind_count; i++) {
		const struct flow_kind_info *k = &s->kinds[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:i, s:i, s:I, s:I}", "user",
				  k->user, "kind", k->name, "queued",
				  (int)k->queued, "running", (int)k->running,
				  "p95_us", (json_int_t)k->p95_us, "service_us",
				  (json_int_t)k->service_us));
	}
	return list;
}

void flow_status(struct flow_svc *f, struct buffer *json)
{
	struct status s = { 0 };
	const struct flow_totals *t = &s.totals;

	copy_status(f, &s);
	append_json(json,
		    json_pack("{s:I, s:i, s:i, s:i, s:I, s:I, s:I, s:o, s:o}",
			      "revision", (json_int_t)s.revision, "capacity",
			      (int)t->capacity, "queued", (int)t->queued,
			      "running", (int)t->running, "first_sends",
			      (json_int_t)t->first_sends, "retries",
			      (json_int_t)t->retries, "hedges",
			      (json_int_t)t->hedges, "kinds", kinds_json(&s),
			      "targets", targets_json(&s)));
	free(s.targets);
	free(s.kinds);
}
