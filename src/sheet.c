#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "sheet.h"
#include "sheet-draft.h"

/*
 * JSON members are named after the CSV columns, with a unit suffix if the
 * value is stored in a different unit.
 */
static json_t *kind_to_json(const struct sheet_kind *k);
static json_t *team_to_json(const struct sheet_team *t);
static json_t *stop_to_json(const struct sheet_stop *s);
static void kind_from_json(struct draft *d, json_t *item, unsigned line);
static void team_from_json(struct draft *d, json_t *item, unsigned line);
static void stop_from_json(struct draft *d, json_t *item, unsigned line);
static bool copy_name(struct draft *d, unsigned line, char *to,
		      const char *from);
static bool in_range(struct draft *d, unsigned line, const char *what,
		     json_int_t value, json_int_t max);

static json_t *kind_to_json(const struct sheet_kind *k)
{
	return json_pack("{s:s, s:s, s:s, s:I, s:I, s:b}", "user", k->user,
			 "kind", k->name, "priority",
			 urgency_names[k->priority], "share",
			 (json_int_t)k->share_percent, "limit",
			 (json_int_t)k->limit, "yields", k->yields);
}

static json_t *team_to_json(const struct sheet_team *t)
{
	return json_pack("{s:s, s:s, s:I, s:I, s:I, s:I}", "user", t->user,
			 "team", t->name, "share", (json_int_t)t->share_percent,
			 "limit", (json_int_t)t->limit, "cpu_milli",
			 (json_int_t)t->cpu_milli, "memory_mb",
			 (json_int_t)t->memory_mb);
}

static json_t *stop_to_json(const struct sheet_stop *s)
{
	return json_pack("{s:s, s:s, s:I, s:I}", "scope",
			 stop_scope_names[s->scope], "target", s->target,
			 "start_ms", (json_int_t)(s->start_us / 1000u),
			 "minutes", (json_int_t)(s->duration_us / 60000000u));
}

char *sheet_to_json(const struct sheet *s)
{
	json_t *kinds = json_array(), *teams = json_array();
	json_t *stops = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < s->kind_count; i++)
		json_array_append_new(kinds, kind_to_json(&s->kinds[i]));
	for (size_t i = 0; i < s->team_count; i++)
		json_array_append_new(teams, team_to_json(&s->teams[i]));
	for (size_t i = 0; i < s->stop_count; i++)
		json_array_append_new(stops, stop_to_json(&s->stops[i]));
	root = json_pack("{s:o, s:o, s:o}", "kinds", kinds, "teams", teams,
			 "stops", stops);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

static bool copy_name(struct draft *d, unsigned line, char *to,
		      const char *from)
{
	if (!sheet_name_is_valid(from)) {
		draft_error(d, line, 1, "\"%.60s\" is not a valid name", from);
		return false;
	}
	memcpy(to, from, strlen(from) + 1);
	return true;
}

static bool in_range(struct draft *d, unsigned line, const char *what,
		     json_int_t value, json_int_t max)
{
	if (value >= 0 && value <= max)
		return true;
	draft_error(d, line, 1, "%s: out of range", what);
	return false;
}

static void kind_from_json(struct draft *d, json_t *item, unsigned line)
{
	struct sheet_kind k = { 0 };
	const char *user, *name, *priority;
	json_int_t share, limit;
	int yields, urgency;

	if (json_unpack(item, "{s:s, s:s, s:s, s:I, s:I, s:b !}", "user", &user,
			"kind", &name, "priority", &priority, "share", &share,
			"limit", &limit, "yields", &yields) < 0) {
		draft_error(d, line, 1, "malformed kind");
		return;
	}
	urgency = sheet_name_index(urgency_names, priority);
	if (urgency < 0) {
		draft_error(d, line, 1, "priority: \"%.60s\" is unknown",
			    priority);
		return;
	}
	if (!copy_name(d, line, k.user, user) ||
	    !copy_name(d, line, k.name, name) ||
	    !in_range(d, line, "share", share, 100) ||
	    !in_range(d, line, "limit", limit, SHEET_LIMIT_MAX))
		return;
	k.priority = (enum urgency)urgency;
	k.share_percent = (uint32_t)share;
	k.limit = (uint32_t)limit;
	k.yields = yields != 0;
	draft_add_kind(d, &k, line);
}

static void team_from_json(struct draft *d, json_t *item, unsigned line)
{
	struct sheet_team t = { 0 };
	const char *user, *name;
	json_int_t share, limit, cpu, memory;

	if (json_unpack(item, "{s:s, s:s, s:I, s:I, s:I, s:I !}", "user", &user,
			"team", &name, "share", &share, "limit", &limit,
			"cpu_milli", &cpu, "memory_mb", &memory) < 0) {
		draft_error(d, line, 1, "malformed team");
		return;
	}
	if (!copy_name(d, line, t.user, user) ||
	    !copy_name(d, line, t.name, name) ||
	    !in_range(d, line, "share", share, 100) ||
	    !in_range(d, line, "limit", limit, SHEET_LIMIT_MAX) ||
	    !in_range(d, line, "cpu", cpu, SHEET_CPU_MAX_MILLI) ||
	    !in_range(d, line, "memory", memory, SHEET_MEMORY_MAX_MB))
		return;
	t.share_percent = (uint32_t)share;
	t.limit = (uint32_t)limit;
	t.cpu_milli = (uint32_t)cpu;
	t.memory_mb = (uint32_t)memory;
	draft_add_team(d, &t, line);
}

static void stop_from_json(struct draft *d, json_t *item, unsigned line)
{
	struct sheet_stop s = { 0 };
	const char *scope, *target;
	json_int_t start, minutes;
	int index;

	if (json_unpack(item, "{s:s, s:s, s:I, s:I !}", "scope", &scope,
			"target", &target, "start_ms", &start, "minutes",
			&minutes) < 0) {
		draft_error(d, line, 1, "malformed stop");
		return;
	}
	index = sheet_name_index(stop_scope_names, scope);
	if (index < 0) {
		draft_error(d, line, 1, "target: \"%.60s\" is unknown", scope);
		return;
	}
	if (!copy_name(d, line, s.target, target) ||
	    !in_range(d, line, "start", start, INT64_MAX / 1000) ||
	    !in_range(d, line, "minutes", minutes, SHEET_STOP_MAX_MINUTES))
		return;
	s.scope = (enum stop_scope)index;
	s.start_us = (uint64_t)start * 1000u;
	s.duration_us = (uint64_t)minutes * 60000000u;
	draft_add_stop(d, &s, line);
}

/* Errors give the position of the item among all items as the line number. */
struct sheet *sheet_from_json(const char *text, size_t len, struct error *err)
{
	struct draft d = { 0 };
	json_t *root, *kinds, *teams, *stops, *item;
	json_error_t je;
	unsigned number = 0;
	size_t i;

	root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &je);
	if (!root) {
		error_set(err, ERROR_LAYER_SHEET, SHEET_MALFORMED,
			  "not JSON: line %d, column %d: %s", je.line,
			  je.column, je.text);
		return NULL;
	}
	if (json_unpack(root, "{s:o, s:o, s:o !}", "kinds", &kinds, "teams",
			&teams, "stops", &stops) < 0 ||
	    !json_is_array(kinds) || !json_is_array(teams) ||
	    !json_is_array(stops)) {
		error_set(
			err, ERROR_LAYER_SHEET, SHEET_MALFORMED,
			"expected an object with arrays kinds, teams and stops");
		json_decref(root);
		return NULL;
	}
	json_array_foreach(kinds, i, item) kind_from_json(&d, item, ++number);
	json_array_foreach(teams, i, item) team_from_json(&d, item, ++number);
	json_array_foreach(stops, i, item) stop_from_json(&d, item, ++number);
	json_decref(root);
	return draft_finish(&d, NULL, NULL, err);
}

void sheet_free(struct sheet *s)
{
	if (!s)
		return;
	free(s->kinds);
	free(s->teams);
	free(s->stops);
	free(s);
}

/*
 * Compares a row with a user and a name, or with the user only if name is
 * NULL. Rows are sorted by user and name.
 */
static int compare_row(const char *row_user, const char *row_name,
		       const char *user, const char *name)
{
	int order = strcmp(row_user, user);

	return order || !name ? order : strcmp(row_name, name);
}

int sheet_find_kind(const struct sheet *s, const char *user, const char *kind)
{
	size_t low = 0, high = s->kind_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		const struct sheet_kind *k = &s->kinds[middle];
		int order = compare_row(k->user, k->name, user, kind);

		if (!order)
			return (int)middle;
		if (order > 0)
			high = middle;
		else
			low = middle + 1;
	}
	return -1;
}

int sheet_find_team(const struct sheet *s, const char *user, const char *team)
{
	size_t low = 0, high = s->team_count;

	while (low < high && *team) {
		size_t middle = (low + high) / 2;
		const struct sheet_team *t = &s->teams[middle];
		int order = compare_row(t->user, t->name, user, team);

		if (!order)
			return (int)middle;
		if (order > 0)
			high = middle;
		else
			low = middle + 1;
	}
	return -1;
}

bool sheet_has_user(const struct sheet *s, const char *user)
{
	return sheet_find_kind(s, user, NULL) >= 0;
}
