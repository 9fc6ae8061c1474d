#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "operator-internal.h"
#include "sheet-diff.h"
#include "sheet.h"

#define APPLY_TIMEOUT_US 8000000u

struct error_list {
	json_t *items;
	unsigned count;
};

struct sheet_snapshot {
	struct operator_svc *o;
	uint64_t revision;
	char *json;
};

static void record_sheet(void *arg);
static void copy_snapshot(void *arg);
static char *find_recorded_sheet(struct operator_svc *o, uint64_t revision);
static void append_error(void *arg, unsigned line, unsigned column,
			 const char *message);
static struct sheet *parse_body(struct operator_call *call);
static void reply_conflict(struct operator_svc *o, struct operator_call *call,
			   uint64_t base, const struct sheet *submitted,
			   const struct config_apply_result *r);

/* Copies the current sheet into the history. */
static void record_sheet(void *arg)
{
	struct operator_svc *o = arg;
	const struct config *c = config_current(o->config);
	struct operator_history *h;

	if (!c)
		return;
	pthread_mutex_lock(&o->lock);
	h = &o->history[o->history_next++ % OPERATOR_HISTORY_SIZE];
	free(h->json);
	h->json = xstrdup(c->json);
	h->revision = c->revision;
	pthread_mutex_unlock(&o->lock);
}

void operator_record_sheets(void *arg)
{
	struct operator_svc *o = arg;

	record_sheet(o);
	config_on_change(o->config, record_sheet, o);
}

void operator_free_history(struct operator_svc *o)
{
	for (int i = 0; i < OPERATOR_HISTORY_SIZE; i++)
		free(o->history[i].json);
}

/* Returns a copy of the sheet of a recent revision, or NULL. */
static char *find_recorded_sheet(struct operator_svc *o, uint64_t revision)
{
	char *json = NULL;

	pthread_mutex_lock(&o->lock);
	for (int i = 0; i < OPERATOR_HISTORY_SIZE; i++)
		if (o->history[i].json && o->history[i].revision == revision &&
		    !json)
			json = xstrdup(o->history[i].json);
	pthread_mutex_unlock(&o->lock);
	return json;
}

static void copy_snapshot(void *arg)
{
	struct sheet_snapshot *snapshot = arg;
	const struct config *c = config_current(snapshot->o->config);

	snapshot->revision = c ? c->revision : 0;
	snapshot->json = c ? xstrdup(c->json) : NULL;
}

void operator_get_sheet(struct operator_svc *o, struct operator_call *call)
{
	struct sheet_snapshot snapshot = { .o = o };
	json_t *sheet;

	loop_call(o->loop, copy_snapshot, &snapshot);
	sheet = snapshot.json ? json_loads(snapshot.json, 0, NULL)
			      : json_null();
	operator_reply_json(call, 200,
			    json_pack("{s:I, s:o}", "revision",
				      (json_int_t)snapshot.revision, "sheet",
				      sheet));
	free(snapshot.json);
}

static void append_error(void *arg, unsigned line, unsigned column,
			 const char *message)
{
	struct error_list *list = arg;

	if (list->count++ < SHEET_ERRORS_SHOWN)
		json_array_append_new(
			list->items,
			json_pack("{s:i, s:i, s:s}", "line", (int)line,
				  "column", (int)column, "message", message));
}

/* Parses CSV or JSON. On an error, sets the response and returns NULL. */
static struct sheet *parse_body(struct operator_call *call)
{
	struct error_list errors = { .items = json_array() };
	struct sheet *sheet;
	struct error err;

	if (call->body.len && call->body.data[0] == '{') {
		sheet = sheet_from_json(call->body.data, call->body.len, &err);
		if (!sheet)
			append_error(&errors, 0, 0, err.message);
	} else {
		sheet = sheet_parse_csv(call->body.len ? call->body.data : "",
					call->body.len, append_error, &errors,
					&err);
	}
	if (sheet) {
		json_decref(errors.items);
		return sheet;
	}
	operator_reply_json(call, 422,
			    json_pack("{s:s, s:i, s:o}", "error",
				      "the sheet is not valid and was rejected",
				      "count", (int)errors.count, "faults",
				      errors.items));
	return NULL;
}

/*
 * Responds with the changes from the base revision to the current sheet. If the
 * base is no longer in the history, lists the differences between the submitted
 * and the current sheet.
 */
static void reply_conflict(struct operator_svc *o, struct operator_call *call,
			   uint64_t base, const struct sheet *submitted,
			   const struct config_apply_result *r)
{
	char *base_json = find_recorded_sheet(o, base);
	struct error err;
	struct sheet *from =
		base_json ? sheet_from_json(base_json, strlen(base_json), &err)
			  : NULL;
	struct sheet *to =
		r->json ? sheet_from_json(r->json, strlen(r->json), &err)
			: NULL;
	json_t *changes =
		to ? sheet_diff(from ? from : submitted, to) : json_array();

	operator_reply_json(call, 409,
			    json_pack("{s:s, s:I, s:s, s:o}", "error",
				      "another operator changed the sheet",
				      "revision", (json_int_t)r->revision,
				      "since", from ? "base" : "submitted",
				      "changes", changes));
	sheet_free(from);
	sheet_free(to);
	free(base_json);
}

void operator_put_sheet(struct operator_svc *o, struct operator_call *call)
{
	struct config_apply_result r;
	struct sheet *sheet;
	char base_text[32], *end, *json;
	uint64_t base;

	if (!operator_query_param(call, "base", base_text, sizeof(base_text)) ||
	    !*base_text) {
		operator_reply_error(call, 400,
				     "missing parameter base=REVISION");
		return;
	}
	base = strtoull(base_text, &end, 10);
	if (*end || *base_text == '-') {
		operator_reply_error(call, 400, "base is not a revision");
		return;
	}
	sheet = parse_body(call);
	if (!sheet)
		return;
	json = sheet_to_json(sheet);
	config_apply(o->config, base, json, APPLY_TIMEOUT_US, &r);
	if (r.code == CONFIG_APPLIED)
		operator_reply_json(
			call, 200,
			json_pack("{s:I}", "revision", (json_int_t)r.revision));
	else if (r.code == CONFIG_CONFLICT)
		reply_conflict(o, call, base, sheet, &r);
	else
		operator_reply_error(call, 503, r.err.message);
	free(r.json);
	free(json);
	sheet_free(sheet);
}
