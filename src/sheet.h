#ifndef SHEET_H
#define SHEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"

/*
 * NAME
 *	sheet - the planners' sheet of priorities, limits and planned stops
 *
 * DESCRIPTION
 *	A sheet is parsed whole; on a fault nothing of it is taken. A struct
 *	sheet is immutable after parsing; readers hold it under RCU through
 *	the config service. Indices into users, teams and kinds are stable
 *	for the life of one struct sheet only.
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
	uint64_t start_us; /* wall clock, since 1970 UTC */
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
 * Parses CSV text. Returns a sheet, or NULL after every fault was passed to
 * fn (which may be NULL) and the first set in err. Free with sheet_free().
 */
struct sheet *sheet_parse_csv(const char *text, size_t len, sheet_error_fn *fn,
			      void *arg, struct error *err);

/* Canonical JSON, as stored; the caller frees the string. */
char *sheet_to_json(const struct sheet *s);
struct sheet *sheet_from_json(const char *text, size_t len, struct error *err);
void sheet_free(struct sheet *s);

/* Return an index, or -1 when there is none. An empty team name finds -1. */
int sheet_find_kind(const struct sheet *s, const char *user, const char *kind);
int sheet_find_team(const struct sheet *s, const char *user, const char *team);
bool sheet_has_user(const struct sheet *s, const char *user);

#endif
