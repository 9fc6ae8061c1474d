#include <csv.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "buffer.h"
#include "sheet.h"
#include "sheet-draft.h"

#define FIELD_BYTES 128

enum column {
	COLUMN_RECORD,
	COLUMN_USER,
	COLUMN_TEAM,
	COLUMN_KIND,
	COLUMN_PRIORITY,
	COLUMN_SHARE,
	COLUMN_LIMIT,
	COLUMN_YIELDS,
	COLUMN_CPU,
	COLUMN_MEMORY,
	COLUMN_TARGET,
	COLUMN_START,
	COLUMN_MINUTES,
	COLUMNS,
};

struct field {
	unsigned line;
	unsigned column;
	char text[FIELD_BYTES];
};

struct csv_reader {
	struct draft draft;
	struct field fields[COLUMNS];
	unsigned field_count; /* may exceed COLUMNS */
	unsigned line;	      /* position of the next byte */
	unsigned column;
	unsigned field_line; /* start of the current field */
	unsigned field_column;
	bool header_seen;
	bool header_invalid;
	bool row_invalid; /* a field of the row is invalid */
};

struct record {
	const char *name;
	unsigned used; /* bit set of allowed columns */
	void (*read)(struct csv_reader *r);
};

static const char *const column_names[COLUMNS] = {
	"record", "user", "team",   "kind",   "priority", "share",   "limit",
	"yields", "cpu",  "memory", "target", "start",	  "minutes",
};

static void read_kind(struct csv_reader *r);
static void read_team(struct csv_reader *r);
static void read_stop(struct csv_reader *r);

#define BIT(column) (1u << (column))

static const struct record records[] = {
	{ "kind",
	  BIT(COLUMN_RECORD) | BIT(COLUMN_USER) | BIT(COLUMN_KIND) |
		  BIT(COLUMN_PRIORITY) | BIT(COLUMN_SHARE) | BIT(COLUMN_LIMIT) |
		  BIT(COLUMN_YIELDS),
	  read_kind },
	{ "team",
	  BIT(COLUMN_RECORD) | BIT(COLUMN_USER) | BIT(COLUMN_TEAM) |
		  BIT(COLUMN_SHARE) | BIT(COLUMN_LIMIT) | BIT(COLUMN_CPU) |
		  BIT(COLUMN_MEMORY),
	  read_team },
	{ "stop",
	  BIT(COLUMN_RECORD) | BIT(COLUMN_TARGET) | BIT(COLUMN_START) |
		  BIT(COLUMN_MINUTES),
	  read_stop },
};
#define RECORDS (sizeof(records) / sizeof(records[0]))

static void field_error(struct csv_reader *r, enum column c,
			const char *message);
static void get_name(struct csv_reader *r, enum column c, char *out);
static uint32_t get_number(struct csv_reader *r, enum column c, uint32_t min,
			   uint32_t max);
static uint32_t get_decimal(struct csv_reader *r, enum column c,
			    uint32_t factor, uint32_t max);
static int get_choice(struct csv_reader *r, enum column c,
		      const char *const *names);
static uint64_t get_time(struct csv_reader *r, enum column c);
static void on_field(void *text, size_t len, void *arg);
static void on_row(int end, void *arg);
static void check_header(struct csv_reader *r);
static void read_row(struct csv_reader *r);
static bool parse_chunk(struct csv_reader *r, struct csv_parser *p,
			const char *text, size_t len);
static void advance_position(struct csv_reader *r, const char *text,
			     size_t len);
static size_t skip_bad_line(struct csv_reader *r, const char *text, size_t len);
static size_t chunk_length(const char *text, size_t len);

static void field_error(struct csv_reader *r, enum column c,
			const char *message)
{
	const struct field *f = &r->fields[c];

	r->row_invalid = true;
	draft_error(&r->draft, f->line, f->column, "%s: \"%.60s\" %s",
		    column_names[c], f->text, message);
}

static void get_name(struct csv_reader *r, enum column c, char *out)
{
	const char *text = r->fields[c].text;

	if (sheet_name_is_valid(text))
		memcpy(out, text, strlen(text) + 1);
	else
		field_error(r, c,
			    "is not a valid name (1 to 47 letters, digits, "
			    "\"-\", \"_\" and \".\")");
}

/* Parses a whole number; an empty field is 0. */
static uint32_t get_number(struct csv_reader *r, enum column c, uint32_t min,
			   uint32_t max)
{
	const char *text = r->fields[c].text;
	uint64_t n = 0;
	size_t len = strspn(text, "0123456789");

	if (text[len]) {
		field_error(r, c, "is not a whole number");
		return 0;
	}
	for (size_t i = 0; i < len && n <= max; i++)
		n = n * 10 + (uint64_t)(text[i] - '0');
	if (n < min || n > max) {
		field_error(r, c, "is out of range");
		return 0;
	}
	return (uint32_t)n;
}

/*
 * Parses a number with at most three decimals and multiplies it by factor. An
 * empty field is 0.
 */
static uint32_t get_decimal(struct csv_reader *r, enum column c,
			    uint32_t factor, uint32_t max)
{
	const char *text = r->fields[c].text;
	size_t len = strspn(text, "0123456789");
	uint64_t n = 0;
	uint64_t scale = 1000;

	for (size_t i = 0; i < len && n <= max; i++)
		n = n * 10 + (uint64_t)(text[i] - '0');
	n *= 1000;
	if (len && text[len] == '.')
		for (len++; scale > 1 && text[len] >= '0' && text[len] <= '9';
		     len++) {
			scale /= 10;
			n += (uint64_t)(text[len] - '0') * scale;
		}
	if (text[len]) {
		field_error(r, c, "is not a number with at most 3 decimals");
		return 0;
	}
	n = n * factor / 1000;
	if (n > max) {
		field_error(r, c, "is out of range");
		return 0;
	}
	return (uint32_t)n;
}

static int get_choice(struct csv_reader *r, enum column c,
		      const char *const *names)
{
	int i = sheet_name_index(names, r->fields[c].text);
	char message[64] = "is not one of";

	if (i >= 0)
		return i;
	for (int j = 0; names[j]; j++) {
		size_t n = strlen(message);

		snprintf(message + n, sizeof(message) - n, "%s%s",
			 j ? ", " : " ", names[j]);
	}
	field_error(r, c, message);
	return 0;
}

/* Parses a UTC time such as 2026-12-04T06:30:00Z. */
static uint64_t get_time(struct csv_reader *r, enum column c)
{
	struct tm tm = { 0 }, normalized;
	const char *text = r->fields[c].text;
	const char *end = strptime(text, "%Y-%m-%dT%H:%M:%SZ", &tm);
	char canonical[32];
	time_t t;

	t = timegm(&tm);
	gmtime_r(&t, &normalized);
	strftime(canonical, sizeof(canonical), "%Y-%m-%dT%H:%M:%SZ",
		 &normalized);
	if (!end || *end || t < 0 || strcmp(canonical, text)) {
		field_error(r, c,
			    "is not a UTC time such as "
			    "2026-12-04T06:30:00Z");
		return 0;
	}
	return (uint64_t)t * 1000000u;
}

static void read_kind(struct csv_reader *r)
{
	static const char *const yes_no[] = { "no", "yes", NULL };
	struct sheet_kind k = { 0 };

	get_name(r, COLUMN_USER, k.user);
	get_name(r, COLUMN_KIND, k.name);
	k.priority =
		(enum urgency)get_choice(r, COLUMN_PRIORITY, urgency_names);
	k.share_percent = get_number(r, COLUMN_SHARE, 0, 100);
	k.limit = get_number(r, COLUMN_LIMIT, 0, SHEET_LIMIT_MAX);
	k.yields = get_choice(r, COLUMN_YIELDS, yes_no) == 1;
	if (!r->row_invalid)
		draft_add_kind(&r->draft, &k, r->fields[0].line);
}

static void read_team(struct csv_reader *r)
{
	struct sheet_team t = { 0 };

	get_name(r, COLUMN_USER, t.user);
	get_name(r, COLUMN_TEAM, t.name);
	t.share_percent = get_number(r, COLUMN_SHARE, 0, 100);
	t.limit = get_number(r, COLUMN_LIMIT, 0, SHEET_LIMIT_MAX);
	t.cpu_milli = get_decimal(r, COLUMN_CPU, 1000, SHEET_CPU_MAX_MILLI);
	t.memory_mb = get_decimal(r, COLUMN_MEMORY, 1024, SHEET_MEMORY_MAX_MB);
	if (!r->row_invalid)
		draft_add_team(&r->draft, &t, r->fields[0].line);
}

static void read_stop(struct csv_reader *r)
{
	struct sheet_stop s = { 0 };
	const char *text = r->fields[COLUMN_TARGET].text;
	size_t n = strcspn(text, ":");
	char scope[FIELD_BYTES];
	int index;

	snprintf(scope, sizeof(scope), "%.*s", (int)n, text);
	index = sheet_name_index(stop_scope_names, scope);
	if (index < 0 || !text[n] || !sheet_name_is_valid(text + n + 1))
		field_error(r, COLUMN_TARGET,
			    "is not one of vm:ID, rack:ID, zone:NAME");
	else
		snprintf(s.target, sizeof(s.target), "%s", text + n + 1);
	s.scope = index < 0 ? STOP_VM : (enum stop_scope)index;
	s.start_us = get_time(r, COLUMN_START);
	s.duration_us = 60000000ull * get_number(r, COLUMN_MINUTES, 1,
						 SHEET_STOP_MAX_MINUTES);
	if (!r->row_invalid)
		draft_add_stop(&r->draft, &s, r->fields[0].line);
}

static void on_field(void *text, size_t len, void *arg)
{
	struct csv_reader *r = arg;
	struct field *f;

	if (r->field_count++ >= COLUMNS)
		return;
	f = &r->fields[r->field_count - 1];
	f->line = r->field_line;
	f->column = r->field_column;
	if (len >= FIELD_BYTES || memchr(text, '\0', len)) {
		draft_error(&r->draft, f->line, f->column,
			    "%s: longer than %d bytes or has a NUL byte",
			    column_names[r->field_count - 1], FIELD_BYTES - 1);
		r->row_invalid = true;
		len = 0;
	}
	memcpy(f->text, text, len);
	f->text[len] = '\0';
}

static void check_header(struct csv_reader *r)
{
	unsigned n = r->field_count < COLUMNS ? r->field_count : COLUMNS;

	for (unsigned i = 0; i < n; i++) {
		if (strcmp(r->fields[i].text, column_names[i])) {
			draft_error(&r->draft, r->fields[i].line,
				    r->fields[i].column,
				    "the header has the column \"%.60s\" "
				    "instead of \"%s\"",
				    r->fields[i].text, column_names[i]);
			r->header_invalid = true;
		}
	}
	if (r->field_count != COLUMNS) {
		draft_error(&r->draft, r->fields[0].line, 1,
			    "the header has %u columns instead of %d",
			    r->field_count, COLUMNS);
		r->header_invalid = true;
	}
}

/* Parses one row; columns that its record type does not use must be empty. */
static void read_row(struct csv_reader *r)
{
	const struct record *rec = NULL;

	if (r->field_count != COLUMNS) {
		draft_error(&r->draft, r->fields[0].line, 1,
			    "%u columns instead of %d", r->field_count,
			    COLUMNS);
		return;
	}
	for (size_t i = 0; i < RECORDS; i++)
		if (!strcmp(r->fields[0].text, records[i].name))
			rec = &records[i];
	if (!rec) {
		field_error(r, COLUMN_RECORD, "is not one of kind, team, stop");
		return;
	}
	for (int i = 0; i < COLUMNS; i++)
		if (!(rec->used & BIT(i)) && r->fields[i].text[0])
			field_error(r, (enum column)i,
				    "must be empty in this type of record");
	rec->read(r);
}

static void on_row(int end, void *arg)
{
	struct csv_reader *r = arg;

	(void)end;
	if (!r->header_seen)
		check_header(r);
	else if (!r->header_invalid)
		read_row(r);
	r->header_seen = true;
	r->field_count = 0;
	r->row_invalid = false;
}

/* Advances the current line and column past text. */
static void advance_position(struct csv_reader *r, const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		r->column++;
		if (text[i] == '\n') {
			r->line++;
			r->column = 1;
		}
	}
}

/* Returns the length of text through the next byte that may end a field. */
static size_t chunk_length(const char *text, size_t len)
{
	size_t n = 0;

	while (n < len && text[n] != ',' && text[n] != '\n' && text[n] != '\r')
		n++;
	return n < len ? n + 1 : n;
}

/*
 * Passes one chunk to libcsv. libcsv does not report positions, so a chunk ends
 * with the first byte that may end a field: a callback then belongs to the last
 * byte of the chunk.
 */
static bool parse_chunk(struct csv_reader *r, struct csv_parser *p,
			const char *text, size_t len)
{
	size_t n = csv_parse(p, text, len, on_field, on_row, r);

	if (n < len) {
		advance_position(r, text, n);
		draft_error(&r->draft, r->line, r->column,
			    "misplaced quotation mark");
		return false;
	}
	advance_position(r, text, len);
	if (!p->quoted) { /* a quoted separator does not end the field */
		r->field_line = r->line;
		r->field_column = r->column;
	}
	return true;
}

/* Skips the rest of a line that could not be parsed. */
static size_t skip_bad_line(struct csv_reader *r, const char *text, size_t len)
{
	const char *end = memchr(text, '\n', len);
	size_t n = end ? (size_t)(end - text) + 1 : len;

	if (!r->header_seen)
		r->header_seen = r->header_invalid = true;
	r->line++;
	r->column = 1;
	r->field_line = r->line;
	r->field_column = 1;
	r->field_count = 0;
	r->row_invalid = false;
	return n;
}

struct sheet *sheet_parse_csv(const char *text, size_t len, sheet_error_fn *fn,
			      void *arg, struct error *err)
{
	const unsigned char options =
		CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL;
	struct csv_reader r = {
		.line = 1, .column = 1, .field_line = 1, .field_column = 1
	};
	struct csv_parser p;
	size_t pos = 0;

	csv_init(&p, options);
	if (len >= 3 && !memcmp(text, "\xef\xbb\xbf", 3))
		pos = 3; /* UTF-8 byte order mark, written by spreadsheets */
	while (pos < len && r.draft.error_count < SHEET_ERRORS_MAX) {
		size_t n = chunk_length(text + pos, len - pos);

		if (parse_chunk(&r, &p, text + pos, n)) {
			pos += n;
			continue;
		}
		pos += skip_bad_line(&r, text + pos, len - pos);
		csv_free(&p);
		csv_init(&p, options);
	}
	if (csv_fini(&p, on_field, on_row, &r) < 0)
		draft_error(&r.draft, r.field_line, r.field_column,
			    "unterminated quoted field");
	csv_free(&p);
	if (!r.header_seen)
		draft_error(&r.draft, 1, 1, "the sheet is empty");
	return draft_finish(&r.draft, fn, arg, err);
}
