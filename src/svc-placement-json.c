#include <ctype.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "svc-placement-internal.h"

/* Maximum tasks listed per placement; the counts by state cover all tasks. */
#define TASKS_LISTED_MAX 1000

static const char *const urgencies[URGENCY_COUNT] = { "urgent", "normal",
						      "deferrable" };

void json_append_string(struct buffer *out, const char *text)
{
	json_t *s = json_string(text);
	char *dumped = s ? json_dumps(s, JSON_ENCODE_ANY) : NULL;

	buffer_append_str(out, dumped ? dumped : "\"\"");
	free(dumped);
	json_decref(s);
}

/* Ids are part of URL paths of worker calls, so the characters are limited. */
static bool is_valid_id(const char *id)
{
	const char *dot = strchr(id, '.');

	if (!dot || dot == id || !dot[1])
		return false;
	for (; *id; id++)
		if (!isalnum((unsigned char)*id) && !strchr("-_.", *id))
			return false;
	return true;
}

static int read_string(json_t *o, const char *name, char *out, size_t size,
		       char message[128])
{
	json_t *v = json_object_get(o, name);
	const char *s = json_string_value(v);

	if (!v)
		return 0;
	if (!s || strlen(s) >= size) {
		snprintf(message, 128,
			 "%s must be a string shorter than %zu bytes", name,
			 size);
		return -1;
	}
	snprintf(out, size, "%s", s);
	return 0;
}

static int read_uint(json_t *o, const char *name, uint32_t *out, uint32_t max,
		     char message[128])
{
	json_t *v = json_object_get(o, name);
	json_int_t n = json_integer_value(v);

	if (!v)
		return 0;
	if (!json_is_integer(v) || n < 0 || n > max) {
		snprintf(message, 128, "%s must be an integer from 0 to %u",
			 name, max);
		return -1;
	}
	*out = (uint32_t)n;
	return 0;
}

/* Returns the index of name in names, or -1. */
static int find_name(const char *name, const char *const *names, int count)
{
	for (int i = 0; i < count; i++)
		if (!strcmp(name, names[i]))
			return i;
	return -1;
}

/* Reads the members that have a fixed set of values. */
static int read_enums(json_t *o, struct placement_spec *s, char message[128])
{
	static const char *const classes[] = { "batch", "service" };
	static const char *const spreads[] = { "none", "rack" };
	char value[16] = "";
	int n;

	if (read_string(o, "class", value, sizeof(value), message) < 0)
		return -1;
	n = value[0] ? find_name(value, classes, 2) : (int)s->service;
	if (n < 0)
		goto bad;
	s->service = n;
	value[0] = '\0';
	if (read_string(o, "spread", value, sizeof(value), message) < 0)
		return -1;
	n = value[0] ? find_name(value, spreads, 2) : (int)s->spread_racks;
	if (n < 0)
		goto bad;
	s->spread_racks = n;
	value[0] = '\0';
	if (read_string(o, "urgency", value, sizeof(value), message) < 0)
		return -1;
	n = value[0] ? find_name(value, urgencies, 3) : (int)s->urgency;
	if (n < 0)
		goto bad;
	s->urgency = (enum urgency)n;
	return 0;
bad:
	snprintf(message, 128, "unknown value \"%s\"", value);
	return -1;
}

int placement_from_json(const char *text, size_t len, const struct sheet *sheet,
			struct placement_spec *s, char message[128])
{
	json_t *o = json_loadb(text, len, 0, NULL);
	json_t *yields;
	int kind;
	int ret = -1;

	if (!json_is_object(o)) {
		snprintf(message, 128, "the body is not a JSON object");
		goto out;
	}
	if (read_string(o, "id", s->id, sizeof(s->id), message) < 0 ||
	    read_string(o, "user", s->user, sizeof(s->user), message) < 0 ||
	    read_string(o, "team", s->team, sizeof(s->team), message) < 0 ||
	    read_string(o, "kind", s->kind, sizeof(s->kind), message) < 0 ||
	    read_string(o, "spec", s->spec, sizeof(s->spec), message) < 0)
		goto out;
	kind = sheet ? sheet_find_kind(sheet, s->user, s->kind) : -1;
	if (kind >= 0 && s->urgency == URGENCY_COUNT) {
		s->urgency = sheet->kinds[kind].priority;
		s->yields = sheet->kinds[kind].yields;
	} else if (s->urgency == URGENCY_COUNT) {
		s->urgency = URGENCY_NORMAL;
	}
	if (read_enums(o, s, message) < 0 ||
	    read_uint(o, "count", &s->count, 100000, message) < 0 ||
	    read_uint(o, "cpu_milli", &s->cpu_milli, 10000000, message) < 0 ||
	    read_uint(o, "memory_mb", &s->memory_mb, 100000000, message) < 0 ||
	    read_uint(o, "accelerators", &s->accelerators, 10000, message) <
		    0 ||
	    read_uint(o, "max_run_ms", &s->max_run_ms, UINT32_MAX, message) < 0)
		goto out;
	yields = json_object_get(o, "yields");
	if (yields && !json_is_boolean(yields)) {
		snprintf(message, 128, "yields must be true or false");
		goto out;
	}
	if (yields)
		s->yields = json_is_true(yields);
	if (!is_valid_id(s->id) || strlen(s->id) > PLACE_NAME_BYTES - 2) {
		snprintf(message, 128,
			 "id must be ZONE.NAME of letters, digits, - _ .");
		goto out;
	}
	if (!s->user[0] || !s->kind[0] || !s->count) {
		snprintf(message, 128, "user, kind and count are required");
		goto out;
	}
	ret = 0;
out:
	json_decref(o);
	return ret;
}

/* Appends up to listed tasks and counts all tasks by state. */
static void append_tasks(struct place *p, const char *id, uint32_t count,
			 uint32_t listed, struct buffer *out,
			 uint32_t counts[TASK_IMPOSSIBLE + 1])
{
	char task[PLACE_NAME_BYTES + 12];
	struct place_task_view v;

	for (uint32_t i = 0; i < count; i++) {
		snprintf(task, sizeof(task), "%s.%u", id, i);
		if (!place_view_task(p, task, &v))
			break;
		counts[v.state]++;
		if (i >= listed)
			continue;
		buffer_printf(out,
			      "%s{\"id\":\"%s\",\"state\":\"%s\","
			      "\"attempt\":%u,\"worker\":",
			      i ? "," : "", v.id, task_state_name(v.state),
			      v.attempt);
		json_append_string(out, v.worker);
		buffer_append_str(out, ",\"checkpoint\":");
		json_append_string(out, v.checkpoint);
		buffer_append_str(out, ",\"reason\":");
		json_append_string(out, v.reason);
		buffer_append_str(out, "}");
	}
}

void placement_to_json(struct place *p, const char *id, bool with_tasks,
		       struct buffer *out)
{
	uint32_t counts[TASK_IMPOSSIBLE + 1] = { 0 };
	struct placement_spec s;
	bool cancelled;

	if (!place_view_placement(p, id, &s, &cancelled))
		return;
	buffer_printf(out, "{\"id\":\"%s\",\"user\":", s.id);
	json_append_string(out, s.user);
	buffer_append_str(out, ",\"team\":");
	json_append_string(out, s.team);
	buffer_append_str(out, ",\"kind\":");
	json_append_string(out, s.kind);
	buffer_append_str(out, ",\"spec\":");
	json_append_string(out, s.spec);
	buffer_printf(out,
		      ",\"class\":\"%s\",\"urgency\":\"%s\",\"count\":%u,"
		      "\"cpu_milli\":%u,\"memory_mb\":%u,\"accelerators\":%u,"
		      "\"yields\":%s,\"spread\":\"%s\",\"max_run_ms\":%u,"
		      "\"cancelled\":%s,\"tasks\":[",
		      s.service ? "service" : "batch", urgencies[s.urgency],
		      s.count, s.cpu_milli, s.memory_mb, s.accelerators,
		      s.yields ? "true" : "false",
		      s.spread_racks ? "rack" : "none", s.max_run_ms,
		      cancelled ? "true" : "false");
	append_tasks(p, id, s.count, with_tasks ? TASKS_LISTED_MAX : 0, out,
		     counts);
	buffer_append_str(out, "],\"states\":{");
	for (int i = 0, first = 1; i <= TASK_IMPOSSIBLE; i++) {
		if (!counts[i])
			continue;
		buffer_printf(out, "%s\"%s\":%u", first ? "" : ",",
			      task_state_name((enum task_state)i), counts[i]);
		first = 0;
	}
	buffer_append_str(out, "}}");
}
