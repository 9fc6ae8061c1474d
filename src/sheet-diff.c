#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "sheet-diff.h"
#include "sheet-draft.h"

/* Accessors for the rows of one record type, which are sorted by name. */
struct record_rows {
	const char *record;
	size_t from_count;
	size_t to_count;
	void (*name)(const struct sheet *s, size_t i, char *out, size_t size);
	bool (*equal)(const struct sheet *a, size_t i, const struct sheet *b,
		      size_t j);
};

#define NAME_BYTES 160

static void kind_name(const struct sheet *s, size_t i, char *out, size_t size);
static void team_name(const struct sheet *s, size_t i, char *out, size_t size);
static void stop_name(const struct sheet *s, size_t i, char *out, size_t size);
static bool kind_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j);
static bool team_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j);
static bool stop_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j);
static void add_change(json_t *list, const char *record, const char *name,
		       const char *change);
static void diff_rows(json_t *list, const struct record_rows *r,
		      const struct sheet *from, const struct sheet *to);

static void kind_name(const struct sheet *s, size_t i, char *out, size_t size)
{
	snprintf(out, size, "%s %s", s->kinds[i].user, s->kinds[i].name);
}

static void team_name(const struct sheet *s, size_t i, char *out, size_t size)
{
	snprintf(out, size, "%s %s", s->teams[i].user, s->teams[i].name);
}

/* Starts with the zero-padded start time, so that names sort like the rows. */
static void stop_name(const struct sheet *s, size_t i, char *out, size_t size)
{
	const struct sheet_stop *stop = &s->stops[i];

	snprintf(out, size, "%020" PRIu64 " %d %s:%s", stop->start_us,
		 (int)stop->scope, stop_scope_names[stop->scope], stop->target);
}

static bool kind_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j)
{
	const struct sheet_kind *x = &a->kinds[i], *y = &b->kinds[j];

	return x->priority == y->priority &&
	       x->share_percent == y->share_percent && x->limit == y->limit &&
	       x->yields == y->yields;
}

static bool team_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j)
{
	const struct sheet_team *x = &a->teams[i], *y = &b->teams[j];

	return x->share_percent == y->share_percent && x->limit == y->limit &&
	       x->cpu_milli == y->cpu_milli && x->memory_mb == y->memory_mb;
}

static bool stop_equal(const struct sheet *a, size_t i, const struct sheet *b,
		       size_t j)
{
	return a->stops[i].duration_us == b->stops[j].duration_us;
}

static void add_change(json_t *list, const char *record, const char *name,
		       const char *change)
{
	if (json_array_size(list) < SHEET_DIFF_MAX)
		json_array_append_new(list, json_pack("{s:s, s:s, s:s}",
						      "record", record, "name",
						      name, "change", change));
}

/* Merges the sorted rows of both sheets and appends each difference. */
static void diff_rows(json_t *list, const struct record_rows *r,
		      const struct sheet *from, const struct sheet *to)
{
	size_t i = 0, j = 0;

	while (i < r->from_count || j < r->to_count) {
		char a[NAME_BYTES] = "", b[NAME_BYTES] = "";
		int order;

		if (i < r->from_count)
			r->name(from, i, a, sizeof(a));
		if (j < r->to_count)
			r->name(to, j, b, sizeof(b));
		order = i == r->from_count ? 1
			: j == r->to_count ? -1
					   : strcmp(a, b);
		if (order < 0)
			add_change(list, r->record, a, "removed");
		else if (order > 0)
			add_change(list, r->record, b, "added");
		else if (!r->equal(from, i, to, j))
			add_change(list, r->record, a, "changed");
		i += order <= 0;
		j += order >= 0;
	}
}

json_t *sheet_diff(const struct sheet *from, const struct sheet *to)
{
	const struct record_rows rows[] = {
		{ "kind", from->kind_count, to->kind_count, kind_name,
		  kind_equal },
		{ "team", from->team_count, to->team_count, team_name,
		  team_equal },
		{ "stop", from->stop_count, to->stop_count, stop_name,
		  stop_equal },
	};
	json_t *list = json_array();

	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		diff_rows(list, &rows[i], from, to);
	return list;
}
