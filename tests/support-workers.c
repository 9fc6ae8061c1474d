#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-journal.h"
#include "support-wire.h"
#include "support-workers.h"

#define DEFAULT_RUN_MS 10000
#define DEFAULT_RAMP_MS 5000
#define DEFAULT_BASE_US 2000

/* Interference classes of known kinds; others are assigned by hash. */
static const struct {
	const char *kind;
	unsigned class_index;
} classes[] = {
	{ "quiet", 0 },	 { "cache", 1 },   { "memory", 2 },
	{ "stream", 3 }, { "draft", 1 },   { "archive", 3 },
	{ "index", 2 },	 { "booking", 1 }, { "billing", 2 },
};

const char *const sim_state_names[] = { "running", "done", "failed", "expired",
					"stopped" };

static unsigned interference_class(const char *kind);
static double spec_number(const char *spec, const char *name,
			  double default_value);
static void parse_spec(struct sim_workers *w, struct sim_task *t,
		       const char *spec);
static struct sim_task *find_task(struct sim_worker *v, const char *id);
static struct sim_task *add_task(struct sim_worker *v, const char *id);
static bool reject_stale_fence(struct sim_worker *v, uint64_t fence,
			       struct buffer *out);
static uint32_t json_uint32(const json_t *body, const char *name);
static bool has_capacity(const struct sim_worker *v, const json_t *body);
static double checkpoint_progress(const char *checkpoint);
static void make_checkpoint(struct sim_workers *w, struct sim_task *t);
static void free_tasks(struct sim_worker *v);
static void remove_unlisted(struct sim_worker *v);

void sim_init(struct sim_workers *w, uint64_t report_lag_us, uint64_t seed)
{
	memset(w, 0, sizeof(*w));
	w->report_lag_us = report_lag_us;
	w->rng.state = seed;
	w->tail = &w->oldest;
}

static void free_tasks(struct sim_worker *v)
{
	struct sim_task *t;

	while ((t = v->tasks)) {
		v->tasks = t->next;
		free(t);
	}
}

void sim_free(struct sim_workers *w)
{
	struct sim_worker *v;
	struct sim_usage *u;

	while ((v = w->list)) {
		w->list = v->next;
		free_tasks(v);
		free(v);
	}
	while ((u = w->oldest)) {
		w->oldest = u->next;
		free(u->text);
		free(u);
	}
}

struct sim_worker *sim_find_worker(struct sim_workers *w, const char *id)
{
	struct sim_worker *v = w->list;

	while (v && strcmp(v->id, id))
		v = v->next;
	return v;
}

static void remove_unlisted(struct sim_worker *v)
{
	if (v->listed || v->removed)
		return;
	sim_kill(v);
	v->removed = true;
}

void sim_update_workers(struct sim_workers *w, const json_t *vms,
			const char *address)
{
	struct sim_worker *v;
	size_t i;
	json_t *vm;

	for (v = w->list; v; v = v->next)
		v->listed = false;
	json_array_foreach(vms, i, vm)
	{
		const char *id = json_string_value(json_object_get(vm, "id"));
		const char *at =
			json_string_value(json_object_get(vm, "address"));
		const char *role =
			json_string_value(json_object_get(vm, "role"));

		if (!id || !at || !role || strcmp(at, address) ||
		    strcmp(role, "worker"))
			continue;
		v = sim_find_worker(w, id);
		if (!v) {
			v = xcalloc(1, sizeof(*v));
			snprintf(v->id, sizeof(v->id), "%s", id);
			v->next = w->list;
			w->list = v;
		}
		v->listed = true;
		v->removed = false;
		v->cpu_milli = json_uint32(vm, "cpu_milli");
		v->memory_mb = json_uint32(vm, "memory_mb");
		v->accelerators = json_uint32(vm, "accelerators");
	}
	for (v = w->list; v; v = v->next)
		remove_unlisted(v);
}

static unsigned interference_class(const char *kind)
{
	unsigned hash = 5381;

	for (size_t i = 0; i < sizeof(classes) / sizeof(classes[0]); i++)
		if (!strcmp(classes[i].kind, kind))
			return classes[i].class_index;
	for (; *kind; kind++)
		hash = hash * 33 + (unsigned char)*kind;
	return hash % INTERFERENCE_CLASSES;
}

static double spec_number(const char *spec, const char *name,
			  double default_value)
{
	char text[32];

	if (!wire_find_value(spec, name, text, sizeof(text)))
		return default_value;
	return strtod(text, NULL);
}

static void parse_spec(struct sim_workers *w, struct sim_task *t,
		       const char *spec)
{
	char text[64];

	t->actual.service = spec_number(spec, "service", 0) != 0;
	t->actual.run_us = spec_number(spec, "run_ms", DEFAULT_RUN_MS) * 1000;
	if (t->actual.service)
		t->actual.run_us = 0;
	t->actual.cpu_milli = (uint32_t)spec_number(spec, "cpu", t->cpu_milli);
	t->actual.memory_mb = (uint32_t)spec_number(spec, "mem", t->memory_mb);
	t->actual.ramp_us =
		(uint64_t)spec_number(spec, "ramp_ms", DEFAULT_RAMP_MS) * 1000;
	t->actual.base_us =
		(uint32_t)spec_number(spec, "base_us", DEFAULT_BASE_US);
	wire_find_value(spec, "kind", text, sizeof(text));
	t->actual.class_index = interference_class(text);
	t->fail_at_us = -1;
	if (wire_find_value(spec, "fail", text, sizeof(text)) &&
	    (!strcmp(text, "run") || rng_unit(&w->rng) < strtod(text, NULL)))
		t->fail_at_us = t->actual.run_us / 2;
}

static struct sim_task *find_task(struct sim_worker *v, const char *id)
{
	struct sim_task *t = v->tasks;

	while (t && strcmp(t->id, id))
		t = t->next;
	return t;
}

static struct sim_task *add_task(struct sim_worker *v, const char *id)
{
	struct sim_task *t = xcalloc(1, sizeof(*t));

	snprintf(t->id, sizeof(t->id), "%s", id);
	t->next = v->tasks;
	v->tasks = t;
	return t;
}

/* Rejects a call with an outdated fencing token, or stores the new token. */
static bool reject_stale_fence(struct sim_worker *v, uint64_t fence,
			       struct buffer *out)
{
	if (fence >= v->fence) {
		v->fence = fence;
		return false;
	}
	journal_event("stale", "{s:s,s:I,s:I}", "worker", v->id, "fence",
		      (json_int_t)fence, "highest", (json_int_t)v->fence);
	buffer_append_str(out, "{\"error\":\"stale\"}");
	return true;
}

static uint32_t json_uint32(const json_t *body, const char *name)
{
	return (uint32_t)json_integer_value(json_object_get(body, name));
}

/* Checks that the requests of all running tasks and this one fit. */
static bool has_capacity(const struct sim_worker *v, const json_t *body)
{
	uint64_t cpu = json_uint32(body, "cpu_milli");
	uint64_t memory = json_uint32(body, "memory_mb");
	uint64_t accelerators = json_uint32(body, "accelerators");

	for (const struct sim_task *t = v->tasks; t; t = t->next) {
		if (t->state != SIM_RUNNING)
			continue;
		cpu += t->cpu_milli;
		memory += t->memory_mb;
		accelerators += t->accelerators;
	}
	return cpu <= v->cpu_milli && memory <= v->memory_mb &&
	       accelerators <= v->accelerators;
}

/* A checkpoint id has the form "cp-SERIAL-PROGRESS_US". */
static double checkpoint_progress(const char *checkpoint)
{
	const char *dash = strrchr(checkpoint, '-');

	return dash ? strtod(dash + 1, NULL) : 0;
}

static void make_checkpoint(struct sim_workers *w, struct sim_task *t)
{
	snprintf(t->checkpoint, sizeof(t->checkpoint), "cp-%llu-%.0f",
		 (unsigned long long)++w->checkpoint_serial, t->progress_us);
}

void sim_end_task(struct sim_workers *w, struct sim_worker *v,
		  struct sim_task *t, enum sim_state state, const char *reason)
{
	t->state = state;
	t->reason = reason;
	t->ended_us = clock_now_us();
	if (state == SIM_STOPPED)
		make_checkpoint(w, t);
	journal_event("task-end", "{s:s,s:s,s:I,s:s,s:s,s:I}", "worker", v->id,
		      "task", t->id, "attempt", (json_int_t)t->attempt, "state",
		      sim_state_names[state], "checkpoint", t->checkpoint,
		      "progress_ms", (json_int_t)(t->progress_us / 1000));
}

int sim_start(struct sim_workers *w, struct sim_worker *v, const char *task,
	      uint64_t fence, const json_t *body, uint64_t now_us,
	      struct buffer *out)
{
	const char *checkpoint =
		json_string_value(json_object_get(body, "checkpoint"));
	const char *spec = json_string_value(json_object_get(body, "spec"));
	int64_t attempt = json_integer_value(json_object_get(body, "attempt"));
	struct sim_task *t = find_task(v, task);
	const char *refused = NULL;
	char text[32];
	int status = 0;

	if (reject_stale_fence(v, fence, out))
		return 409;
	spec = spec ? spec : "";
	wire_find_value(spec, "fail", text, sizeof(text));
	if (t && t->state == SIM_RUNNING && t->attempt == attempt) {
		buffer_append_str(out, "{}");
		return 200;
	}
	if (t && t->state == SIM_RUNNING) {
		refused = "other attempt running";
		status = 409;
	} else if (t && attempt <= t->attempt) {
		refused = "attempt ended";
		status = 409;
	} else if (v->fail_starts || !strcmp(text, "start")) {
		refused = "start failed";
		status = 500;
	} else if (!has_capacity(v, body)) {
		refused = "no room";
		status = 507;
	}
	if (refused) {
		journal_event("task-refused", "{s:s,s:s,s:I,s:s}", "worker",
			      v->id, "task", task, "attempt",
			      (json_int_t)attempt, "reason", refused);
		buffer_printf(out, "{\"error\":\"%s\"}", refused);
		return status;
	}
	if (!t)
		t = add_task(v, task);
	t->state = SIM_RUNNING;
	t->reason = NULL;
	t->acknowledged = false;
	t->attempt = attempt;
	t->cpu_milli = json_uint32(body, "cpu_milli");
	t->memory_mb = json_uint32(body, "memory_mb");
	t->accelerators = json_uint32(body, "accelerators");
	t->started_us = now_us;
	t->lease_end_us = now_us + json_uint32(body, "lease_ms") * 1000ull;
	t->percent = 100;
	t->slowdown = 1;
	snprintf(t->checkpoint, sizeof(t->checkpoint), "%s",
		 checkpoint ? checkpoint : "");
	t->progress_us = checkpoint_progress(t->checkpoint);
	parse_spec(w, t, spec);
	journal_event("task-start", "{s:s,s:s,s:I,s:I,s:s,s:i,s:i}", "worker",
		      v->id, "task", t->id, "attempt", (json_int_t)attempt,
		      "fence", (json_int_t)fence, "checkpoint", t->checkpoint,
		      "cpu_milli", (int)t->cpu_milli, "memory_mb",
		      (int)t->memory_mb);
	buffer_append_str(out, "{}");
	return 201;
}

int sim_renew(struct sim_workers *w, struct sim_worker *v, uint64_t fence,
	      const json_t *body, uint64_t now_us, struct buffer *out)
{
	uint64_t lease_us = json_uint32(body, "lease_ms") * 1000ull;
	const char *comma = "";
	size_t i;
	json_t *id;

	(void)w;
	if (reject_stale_fence(v, fence, out))
		return 409;
	buffer_append_str(out, "{\"missing\":[");
	json_array_foreach(json_object_get(body, "tasks"), i, id)
	{
		const char *name = json_string_value(id);
		struct sim_task *t = name ? find_task(v, name) : NULL;

		if (t && t->state == SIM_RUNNING) {
			t->lease_end_us = now_us + lease_us;
			continue;
		}
		buffer_printf(out, "%s\"%s\"", comma, name ? name : "");
		comma = ",";
	}
	buffer_append_str(out, "]}");
	return 200;
}

int sim_throttle(struct sim_workers *w, struct sim_worker *v, const char *task,
		 uint64_t fence, const json_t *body, struct buffer *out)
{
	struct sim_task *t = find_task(v, task);
	uint32_t percent = json_uint32(body, "percent");

	(void)w;
	if (reject_stale_fence(v, fence, out))
		return 409;
	if (!t || t->state != SIM_RUNNING) {
		buffer_append_str(out, "{\"state\":\"absent\"}");
		return 404;
	}
	t->percent = percent > 100 ? 100 : percent;
	journal_event("task-throttle", "{s:s,s:s,s:i}", "worker", v->id, "task",
		      t->id, "percent", (int)t->percent);
	buffer_append_str(out, "{}");
	return 200;
}

int sim_checkpoint(struct sim_workers *w, struct sim_worker *v,
		   const char *task, uint64_t fence, struct buffer *out)
{
	struct sim_task *t = find_task(v, task);

	if (reject_stale_fence(v, fence, out))
		return 409;
	if (!t || t->state != SIM_RUNNING) {
		buffer_append_str(out, "{\"state\":\"absent\"}");
		return 404;
	}
	make_checkpoint(w, t);
	journal_event("task-checkpoint", "{s:s,s:s,s:I,s:s}", "worker", v->id,
		      "task", t->id, "attempt", (json_int_t)t->attempt,
		      "checkpoint", t->checkpoint);
	buffer_printf(out, "{\"checkpoint\":\"%s\"}", t->checkpoint);
	return 200;
}

int sim_stop(struct sim_workers *w, struct sim_worker *v, const char *task,
	     uint64_t fence, int64_t attempt, struct buffer *out)
{
	struct sim_task *t = find_task(v, task);

	if (reject_stale_fence(v, fence, out))
		return 409;
	if (!t) {
		if (attempt >= 0) {
			t = add_task(v, task);
			t->state = SIM_STOPPED;
			t->attempt = attempt;
		}
		buffer_append_str(out, "{\"state\":\"absent\"}");
		return 404;
	}
	t->acknowledged = true;
	if (t->state == SIM_RUNNING)
		sim_end_task(w, v, t, SIM_STOPPED, "stopped");
	/* A task that had already ended keeps its state, such as done. */
	buffer_printf(out, "{\"state\":\"%s\",\"checkpoint\":\"%s\"}",
		      sim_state_names[t->state], t->checkpoint);
	return 200;
}

int sim_list_tasks(struct sim_workers *w, struct sim_worker *v, uint64_t fence,
		   struct buffer *out)
{
	const char *comma = "";

	(void)w;
	if (reject_stale_fence(v, fence, out))
		return 409;
	buffer_printf(out, "{\"id\":\"%s\",\"tasks\":[", v->id);
	for (const struct sim_task *t = v->tasks; t; t = t->next) {
		/* Others stay listed: a stop's answer may be lost. */
		if (t->state == SIM_STOPPED)
			continue;
		buffer_printf(out,
			      "%s{\"id\":\"%s\",\"attempt\":%lld,"
			      "\"state\":\"%s\",\"checkpoint\":\"%s\","
			      "\"reason\":\"%s\"}",
			      comma, t->id, (long long)t->attempt,
			      sim_state_names[t->state], t->checkpoint,
			      t->reason ? t->reason : "");
		comma = ",";
	}
	buffer_append_str(out, "]}");
	return 200;
}

void sim_kill(struct sim_worker *v)
{
	for (struct sim_task *t = v->tasks; t; t = t->next)
		if (t->state == SIM_RUNNING)
			journal_event("task-end", "{s:s,s:s,s:I,s:s,s:s}",
				      "worker", v->id, "task", t->id, "attempt",
				      (json_int_t)t->attempt, "state", "killed",
				      "checkpoint", "");
	free_tasks(v);
	v->fence = 0;
	v->over_memory = false;
}
