#ifndef SHEET_H
#define SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/*
 * NAME
 *	sheet - scheduling policy: priorities, limits and planned stops
 *
 * DESCRIPTION
 *	Planners edit the sheet as a CSV table with one row per request kind,
 *	team or planned stop. A sheet with an error is rejected as a whole. A
 *	struct sheet is immutable after parsing; readers access it under RCU
 *	through the config service. Indices of kinds, teams and stops are
 *	valid only within one struct sheet.
 */

#define SHEET_NAME_BYTES 48
#define SHEET_ERRORS_SHOWN 100

enum urgency { URGENCY_URGENT, URGENCY_NORMAL, URGENCY_DEFERRABLE };
#define URGENCY_COUNT 3

struct sheet_kind {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	enum urgency priority;
	uint32_t share_percent; /* guaranteed share of capacity */
	uint32_t limit;		/* requests in flight per entry VM, 0 = none */
	bool yields;
};

struct sheet_team {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	uint32_t share_percent; /* of the user's capacity */
	uint32_t limit;		/* requests in flight per entry VM, 0 = none */
	uint32_t cpu_milli;	/* placement quota, 0 = none */
	uint32_t memory_mb;	/* placement quota, 0 = none */
};

enum stop_scope { STOP_VM, STOP_RACK, STOP_AVAILABILITY_ZONE };

struct sheet_stop {
	enum stop_scope scope;
	char target[SHEET_NAME_BYTES];
	uint64_t start_us; /* wall clock, since the Unix epoch */
	uint64_t duration_us;
};

struct sheet {
	struct sheet_kind *kinds;
	size_t kind_count;
	struct sheet_team *teams;
	size_t team_count;
	struct sheet_stop *stops;
	size_t stop_count;
};

typedef void sheet_error_fn(void *arg, unsigned line, unsigned column,
			    const char *message);

/*
 * Parses CSV text. Returns the sheet, to be freed with sheet_free(), or NULL
 * after passing every error to fn, which may be NULL, and the first to err.
 */
struct sheet *sheet_parse_csv(const char *text, size_t len, sheet_error_fn *fn,
			      void *arg, struct error *err);

/* Returns the canonical JSON, as stored; the caller frees it. */
char *sheet_to_json(const struct sheet *s);
struct sheet *sheet_from_json(const char *text, size_t len, struct error *err);
void sheet_free(struct sheet *s);

/* Return an index, or -1 if not found or if the team name is empty. */
int sheet_find_kind(const struct sheet *s, const char *user, const char *kind);
int sheet_find_team(const struct sheet *s, const char *user, const char *team);
bool sheet_has_user(const struct sheet *s, const char *user);

#endif
