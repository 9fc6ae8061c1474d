#ifndef SHEET_DRAFT_H
#define SHEET_DRAFT_H

#include "sheet.h"

/*
 * NAME
 *	sheet-draft - a sheet under construction from CSV or JSON
 *
 * DESCRIPTION
 *	The CSV and JSON parsers add rows with their line numbers, and errors.
 *	draft_finish() checks the constraints between rows and sorts them. It
 *	returns the sheet, or NULL if there were errors, which it reports in
 *	the order of their positions. It frees the draft in either case.
 */

/* Parsing stops after this many errors. */
#define SHEET_ERRORS_MAX 50000u

/* Leaves room for revision and nonces in the store's limit of 1 MB a value. */
#define SHEET_JSON_MAX_BYTES 1000000u

#define SHEET_LIMIT_MAX 1000000u
#define SHEET_CPU_MAX_MILLI 1000000000u
#define SHEET_MEMORY_MAX_MB 1000000000u
#define SHEET_STOP_MAX_MINUTES (7u * 24u * 60u)

enum sheet_error { SHEET_INVALID = 1, SHEET_MALFORMED };

struct draft_kind {
	struct sheet_kind v;
	unsigned line;
};

struct draft_team {
	struct sheet_team v;
	unsigned line;
};

struct draft_stop {
	struct sheet_stop v;
	unsigned line;
};

struct draft_error {
	unsigned line;
	unsigned column;
	char *message;
};

struct draft {
	struct draft_kind *kinds;
	struct draft_team *teams;
	struct draft_stop *stops;
	struct draft_error *errors;
	size_t kind_count, kind_capacity;
	size_t team_count, team_capacity;
	size_t stop_count, stop_capacity;
	size_t error_count, error_capacity;
};

extern const char *const urgency_names[];
extern const char *const stop_scope_names[];

void draft_add_kind(struct draft *d, const struct sheet_kind *v, unsigned line);
void draft_add_team(struct draft *d, const struct sheet_team *v, unsigned line);
void draft_add_stop(struct draft *d, const struct sheet_stop *v, unsigned line);
void draft_error(struct draft *d, unsigned line, unsigned column,
		 const char *fmt, ...) __attribute__((format(printf, 4, 5)));
struct sheet *draft_finish(struct draft *d, sheet_error_fn *fn, void *arg,
			   struct error *err);

/* Returns whether text consists of 1 to 47 letters, digits and "-_.". */
bool sheet_name_is_valid(const char *text);

/* Returns the index of text in a NULL-terminated table, or -1. */
int sheet_name_index(const char *const *names, const char *text);

#endif
