#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "sheet-draft.h"

static void *grow(void *items, size_t count, size_t *capacity, size_t size);
static void sort_items(void *items, size_t count, size_t size,
		       int (*compare)(const void *, const void *));
static int compare_names(const char *user_a, const char *name_a,
			 const char *user_b, const char *name_b);
static int compare_lines(unsigned a, unsigned b);
static int compare_kinds(const void *a, const void *b);
static int compare_teams(const void *a, const void *b);
static int compare_stops(const void *a, const void *b);
static int compare_stop_lines(const struct draft_stop *a,
			      const struct draft_stop *b);
static int compare_errors(const void *a, const void *b);
static int compare_kind_lines(const void *a, const void *b);
static void check_kind_shares(struct draft *d);
static void check_kinds(struct draft *d);
static void check_teams(struct draft *d);
static void check_stops(struct draft *d);
static bool has_user(const struct draft *d, const char *user);
static void report_errors(struct draft *d, sheet_error_fn *fn, void *arg,
			  struct error *err);
static struct sheet *build_sheet(const struct draft *d);
static void draft_free(struct draft *d);

const char *const urgency_names[] = { "urgent", "normal", "deferrable", NULL };
const char *const stop_scope_names[] = { "vm", "rack", "zone", NULL };

bool sheet_name_is_valid(const char *text)
{
	size_t len = strlen(text);

	if (!len || len >= SHEET_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!isalnum((unsigned char)text[i]) && !strchr("-_.", text[i]))
			return false;
	return true;
}

int sheet_name_index(const char *const *names, const char *text)
{
	for (int i = 0; names[i]; i++)
		if (!strcmp(names[i], text))
			return i;
	return -1;
}

/* Returns the array, reallocated if it has no room for another item. */
static void *grow(void *items, size_t count, size_t *capacity, size_t size)
{
	if (count < *capacity)
		return items;
	*capacity = *capacity ? *capacity * 2 : 16;
	return xrealloc(items, *capacity * size);
}

void draft_add_kind(struct draft *d, const struct sheet_kind *v, unsigned line)
{
	d->kinds = grow(d->kinds, d->kind_count, &d->kind_capacity,
			sizeof(*d->kinds));
	d->kinds[d->kind_count++] = (struct draft_kind){ *v, line };
}

void draft_add_team(struct draft *d, const struct sheet_team *v, unsigned line)
{
	d->teams = grow(d->teams, d->team_count, &d->team_capacity,
			sizeof(*d->teams));
	d->teams[d->team_count++] = (struct draft_team){ *v, line };
}

void draft_add_stop(struct draft *d, const struct sheet_stop *v, unsigned line)
{
	d->stops = grow(d->stops, d->stop_count, &d->stop_capacity,
			sizeof(*d->stops));
	d->stops[d->stop_count++] = (struct draft_stop){ *v, line };
}

void draft_error(struct draft *d, unsigned line, unsigned column,
		 const char *fmt, ...)
{
	char message[ERROR_MESSAGE_BYTES];
	va_list ap;

	if (d->error_count == SHEET_ERRORS_MAX)
		return;
	va_start(ap, fmt);
	vsnprintf(message, sizeof(message), fmt, ap);
	va_end(ap);
	d->errors = grow(d->errors, d->error_count, &d->error_capacity,
			 sizeof(*d->errors));
	d->errors[d->error_count++] =
		(struct draft_error){ line, column, xstrdup(message) };
}

/* Wraps qsort(), which must not be passed NULL even for an empty array. */
static void sort_items(void *items, size_t count, size_t size,
		       int (*compare)(const void *, const void *))
{
	if (count > 1)
		qsort(items, count, size, compare);
}

static int compare_names(const char *user_a, const char *name_a,
			 const char *user_b, const char *name_b)
{
	int order = strcmp(user_a, user_b);

	return order ? order : strcmp(name_a, name_b);
}

static int compare_lines(unsigned a, unsigned b)
{
	return a < b ? -1 : a > b;
}

static int compare_kinds(const void *a, const void *b)
{
	const struct draft_kind *x = a, *y = b;
	int order = compare_names(x->v.user, x->v.name, y->v.user, y->v.name);

	return order ? order : compare_lines(x->line, y->line);
}

static int compare_teams(const void *a, const void *b)
{
	const struct draft_team *x = a, *y = b;
	int order = compare_names(x->v.user, x->v.name, y->v.user, y->v.name);

	return order ? order : compare_lines(x->line, y->line);
}

static int compare_stops(const void *a, const void *b)
{
	const struct draft_stop *x = a, *y = b;

	if (x->v.start_us != y->v.start_us)
		return x->v.start_us < y->v.start_us ? -1 : 1;
	return compare_stop_lines(x, y);
}

static int compare_stop_lines(const struct draft_stop *a,
			      const struct draft_stop *b)
{
	int order;

	if (a->v.scope != b->v.scope)
		return a->v.scope < b->v.scope ? -1 : 1;
	order = strcmp(a->v.target, b->v.target);
	return order ? order : compare_lines(a->line, b->line);
}

static int compare_errors(const void *a, const void *b)
{
	const struct draft_error *x = a, *y = b;
	int order = compare_lines(x->line, y->line);

	return order ? order : compare_lines(x->column, y->column);
}

static int compare_kind_lines(const void *a, const void *b)
{
	const struct draft_kind *x = a, *y = b;

	return compare_lines(x->line, y->line);
}

/* Reports the first row, by line, at which the sum of shares exceeds 100%. */
static void check_kind_shares(struct draft *d)
{
	uint64_t sum = 0;

	sort_items(d->kinds, d->kind_count, sizeof(*d->kinds),
		   compare_kind_lines);
	for (size_t i = 0; i < d->kind_count; i++) {
		sum += d->kinds[i].v.share_percent;
		if (sum > 100) {
			draft_error(d, d->kinds[i].line, 1,
				    "share: the shares of the kinds add up to "
				    "%" PRIu64 "%%, more than 100%%",
				    sum);
			return;
		}
	}
}

static void check_kinds(struct draft *d)
{
	check_kind_shares(d);
	sort_items(d->kinds, d->kind_count, sizeof(*d->kinds), compare_kinds);
	for (size_t i = 1; i < d->kind_count; i++) {
		const struct draft_kind *a = &d->kinds[i - 1];
		const struct draft_kind *b = &d->kinds[i];

		if (!compare_names(a->v.user, a->v.name, b->v.user, b->v.name))
			draft_error(d, b->line, 1,
				    "kind %s of user %s was already given in "
				    "line %u",
				    b->v.name, b->v.user, a->line);
	}
}

/* Returns whether the user has a kind; requires sorted kinds. */
static bool has_user(const struct draft *d, const char *user)
{
	size_t low = 0, high = d->kind_count;

	while (low < high) {
		size_t middle = (low + high) / 2;
		int order = strcmp(user, d->kinds[middle].v.user);

		if (!order)
			return true;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return false;
}

static void check_teams(struct draft *d)
{
	uint64_t sum = 0;

	sort_items(d->teams, d->team_count, sizeof(*d->teams), compare_teams);
	for (size_t i = 0; i < d->team_count; i++) {
		const struct draft_team *a = i ? &d->teams[i - 1] : NULL;
		const struct draft_team *b = &d->teams[i];
		uint64_t before;

		if (!has_user(d, b->v.user))
			draft_error(d, b->line, 1, "user %s has no kind",
				    b->v.user);
		if (a &&
		    !compare_names(a->v.user, a->v.name, b->v.user, b->v.name))
			draft_error(d, b->line, 1,
				    "team %s of user %s was already given in "
				    "line %u",
				    b->v.name, b->v.user, a->line);
		if (!a || strcmp(a->v.user, b->v.user))
			sum = 0;
		before = sum;
		sum += b->v.share_percent;
		if (before <= 100 && sum > 100)
			draft_error(d, b->line, 1,
				    "share: the shares of the teams of user %s "
				    "add up to more than 100%%",
				    b->v.user);
	}
}

static void check_stops(struct draft *d)
{
	sort_items(d->stops, d->stop_count, sizeof(*d->stops), compare_stops);
	for (size_t i = 1; i < d->stop_count; i++) {
		const struct draft_stop *a = &d->stops[i - 1];
		const struct draft_stop *b = &d->stops[i];

		if (a->v.start_us == b->v.start_us &&
		    a->v.scope == b->v.scope &&
		    !strcmp(a->v.target, b->v.target))
			draft_error(d, b->line, 1,
				    "stop of %s:%s was already given in line "
				    "%u",
				    stop_scope_names[b->v.scope], b->v.target,
				    a->line);
	}
}

/* Reports the errors in the order of their positions. */
static void report_errors(struct draft *d, sheet_error_fn *fn, void *arg,
			  struct error *err)
{
	sort_items(d->errors, d->error_count, sizeof(*d->errors),
		   compare_errors);
	for (size_t i = 0; fn && i < d->error_count; i++)
		fn(arg, d->errors[i].line, d->errors[i].column,
		   d->errors[i].message);
	error_set(err, ERROR_LAYER_SHEET, SHEET_INVALID,
		  "line %u, column %u: %s", d->errors[0].line,
		  d->errors[0].column, d->errors[0].message);
}

static struct sheet *build_sheet(const struct draft *d)
{
	struct sheet *s = xcalloc(1, sizeof(*s));

	s->kinds = xcalloc(d->kind_count, sizeof(*s->kinds));
	s->teams = xcalloc(d->team_count, sizeof(*s->teams));
	s->stops = xcalloc(d->stop_count, sizeof(*s->stops));
	s->kind_count = d->kind_count;
	s->team_count = d->team_count;
	s->stop_count = d->stop_count;
	for (size_t i = 0; i < d->kind_count; i++)
		s->kinds[i] = d->kinds[i].v;
	for (size_t i = 0; i < d->team_count; i++)
		s->teams[i] = d->teams[i].v;
	for (size_t i = 0; i < d->stop_count; i++)
		s->stops[i] = d->stops[i].v;
	return s;
}

static void draft_free(struct draft *d)
{
	for (size_t i = 0; i < d->error_count; i++)
		free(d->errors[i].message);
	free(d->errors);
	free(d->kinds);
	free(d->teams);
	free(d->stops);
	memset(d, 0, sizeof(*d));
}

struct sheet *draft_finish(struct draft *d, sheet_error_fn *fn, void *arg,
			   struct error *err)
{
	struct sheet *s = NULL;
	char *json;

	check_kinds(d);
	check_teams(d);
	check_stops(d);
	if (!d->error_count) {
		s = build_sheet(d);
		json = sheet_to_json(s);
		if (strlen(json) > SHEET_JSON_MAX_BYTES) {
			draft_error(d, 1, 1,
				    "the sheet takes %zu bytes when stored, "
				    "more than %u",
				    strlen(json), SHEET_JSON_MAX_BYTES);
			sheet_free(s);
			s = NULL;
		}
		free(json);
	}
	if (d->error_count)
		report_errors(d, fn, arg, err);
	draft_free(d);
	return s;
}
