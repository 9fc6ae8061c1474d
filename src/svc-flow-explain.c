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
static void copy_target_id(const struct flow_svc *f, uint32_t target,
			   char id[64])
{
	id[0] = '\0';
	if (target < f->target_table->count)
		memcpy(id, f->target_table->rows[target].id, 64);
}

void flow_record_decision(struct flow_svc *f, const struct flow_action *a)
{
	struct flow_decision *decision =
		&f->decisions[f->decision_count++ % FLOW_DECISIONS_MAX];
	const struct shared_request *request = f->pending[a->handle].request;

	memcpy(decision->request_id, request->id, sizeof(decision->request_id));
	memcpy(decision->user, request->user, sizeof(decision->user));
	memcpy(decision->kind, request->kind, sizeof(decision->kind));
	memcpy(decision->team, request->team, sizeof(decision->team));
	copy_target_id(f, a->target, decision->target);
	copy_target_id(f, a->passed_over, decision->passed_over);
	decision->action = *a;
	decision->revision = request->revision;
	decision->at_us = clock_wall_us();
}

static json_t *decision_json(const struct flow_decision *decision)
{
	const struct flow_action *a = &decision->action;
	json_t *o =
		json_pack("{s:s, s:I, s:I}", "action", action_names[a->type],
			  "at_us", (json_int_t)decision->at_us, "revision",
			  (json_int_t)decision->revision);

	if (decision->target[0])
		json_object_set_new(o, "target", json_string(decision->target));
	if (a->type == FLOW_SEND) {
		json_object_set_new(o, "passed_over",
				    json_string(decision->passed_over));
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
	first = f->decision_count > FLOW_DECISIONS_MAX
			? f->decision_count - FLOW_DECISIONS_MAX
			: 0;
	for (uint64_t i = first; i < f->decision_count; i++) {
		const struct flow_decision *decision =
			&f->decisions[i % FLOW_DECISIONS_MAX];

		if (strcmp(decision->request_id, request_id) != 0)
			continue;
		if (!root)
			root = json_pack("{s:s, s:s, s:s, s:s}", "request",
					 decision->request_id, "user",
					 decision->user, "kind", decision->kind,
					 "team", decision->team);
		json_array_append_new(decisions, decision_json(decision));
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
struct status_snapshot {
	struct flow_totals totals;
	uint64_t revision;
	struct target_status {
		char id[64];
		struct flow_target_info info;
	} * targets;
	uint32_t target_count;
	struct flow_kind_info *kinds;
	uint32_t kind_count;
};

static void take_status_snapshot(struct flow_svc *f,
				 struct status_snapshot *snapshot)
{
	struct flow_kind_info k;

	pthread_mutex_lock(&f->lock);
	flow_totals(f->core, &snapshot->totals);
	snapshot->revision = f->sheet_revision;
	snapshot->targets =
		xcalloc(f->target_table->count, sizeof(*snapshot->targets));
	for (uint32_t i = 0; i < f->target_table->count; i++) {
		struct target_status *row =
			&snapshot->targets[snapshot->target_count];

		if (flow_target_info(f->core, i, &row->info) < 0)
			continue;
		snprintf(row->id, sizeof(row->id), "%s",
			 f->target_table->rows[i].id);
		snapshot->target_count++;
	}
	while (flow_kind_info(f->core, snapshot->kind_count, &k) == 0)
		snapshot->kind_count++;
	snapshot->kinds =
		xcalloc(snapshot->kind_count, sizeof(*snapshot->kinds));
	for (uint32_t i = 0; i < snapshot->kind_count; i++)
		flow_kind_info(f->core, i, &snapshot->kinds[i]);
	pthread_mutex_unlock(&f->lock);
}

static json_t *targets_json(const struct status_snapshot *snapshot)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < snapshot->target_count; i++) {
		const struct flow_target_info *t = &snapshot->targets[i].info;

		json_array_append_new(
			list,
			json_pack("{s:s, s:i, s:i, s:i, s:i, s:I, s:s, s:b, "
				  "s:b}",
				  "id", snapshot->targets[i].id, "own_slots",
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

static json_t *kinds_json(const struct status_snapshot *snapshot)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < snapshot->kind_count; i++) {
		const struct flow_kind_info *k = &snapshot->kinds[i];

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
	struct status_snapshot snapshot = { 0 };
	const struct flow_totals *t = &snapshot.totals;

	take_status_snapshot(f, &snapshot);
	append_json(json,
		    json_pack("{s:I, s:i, s:i, s:i, s:I, s:I, s:I, s:o, s:o}",
			      "revision", (json_int_t)snapshot.revision,
			      "capacity", (int)t->capacity, "queued",
			      (int)t->queued, "running", (int)t->running,
			      "first_sends", (json_int_t)t->first_sends,
			      "retries", (json_int_t)t->retries, "hedges",
			      (json_int_t)t->hedges, "kinds",
			      kinds_json(&snapshot), "targets",
			      targets_json(&snapshot)));
	free(snapshot.targets);
	free(snapshot.kinds);
}
