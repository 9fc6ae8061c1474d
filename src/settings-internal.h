#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "settings.h"

/*
 * NAME
 *	settings-internal - declarations shared by the settings parser's files
 *
 * DESCRIPTION
 *	settings.c parses the file against a table of keys and checks the
 *	constraints between keys; settings-value.c parses and checks a single
 *	value.
 */

#define SETTINGS_LINE_MAX_BYTES 1024
#define CURVE_KEY_CHARS 40
#define TOKEN_MIN_CHARS 16

enum settings_error { SETTINGS_UNREADABLE = 1, SETTINGS_INVALID };

enum value_type {
	VALUE_NAME,	 /* letters, digits, "-" and "_" */
	VALUE_TOKEN,	 /* printable ASCII characters, no blanks */
	VALUE_ADDRESS,	 /* IP:PORT */
	VALUE_SEEDS,	 /* addresses separated by commas */
	VALUE_CURVE_KEY, /* CURVE key, Z85-encoded */
	VALUE_COUNT,	 /* uint32_t */
	VALUE_PERCENT,	 /* uint32_t */
	VALUE_CORES,	 /* uint32_t thousandths, such as 0.25 */
	VALUE_BYTES,	 /* size_t */
	VALUE_TIME,	 /* uint64_t microseconds */
	VALUE_CHOICE,	 /* index into settings_entry.choices */
};

#define REQUIRED_CONSUL (1u << DIALECT_CONSUL)
#define REQUIRED_KV (1u << DIALECT_KV)
#define REQUIRED_ALWAYS (REQUIRED_CONSUL | REQUIRED_KV)

/* Describes one key; min and max are in the unit of the struct field. */
struct settings_entry {
	const char *section;
	const char *name;
	enum value_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	unsigned required; /* REQUIRED_ bits of dialects that need the key */
	const char *const *choices;
};

struct settings_parser {
	struct settings *s;
	const char *path;
	settings_error_fn *fn;
	void *arg;
	int error_count;
	const char *text; /* of the whole file */
	size_t len;
	size_t pos;
	int line;
	bool expect_key;      /* the current line should contain a key */
	bool key_handled;     /* inih called the key handler for it */
	bool is_continuation; /* the current line is indented */
	bool skip_section;    /* ignore keys: the section is unknown */
	int *entry_lines;     /* line of each key, 0 if absent */
	int *section_lines;
};

void settings_report_error(struct settings_parser *p, int line, const char *fmt,
			   ...) __attribute__((format(printf, 3, 4)));

/* Parses a value into its field, or reports an error at the current line. */
void settings_set_value(struct settings_parser *p,
			const struct settings_entry *e, const char *value);

/* Returns the size of the struct field that an entry describes. */
size_t settings_field_size(const struct settings_entry *e);

#endif
