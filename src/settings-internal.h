#ifndef SETTINGS_INTERNAL_H
#define SETTINGS_INTERNAL_H

#include "settings.h"

/*
 * NAME
 *	settings-internal - what the files of settings share
 *
 * DESCRIPTION
 *	settings.c reads the file by a table of keys and checks what holds
 *	between them; settings-value.c reads and checks one value.
 */

#define SETTINGS_LINE_MAX_BYTES 1024
#define CURVE_KEY_CHARS 40
#define TOKEN_MIN_CHARS 16

enum settings_error { SETTINGS_UNREADABLE = 1, SETTINGS_INVALID };

enum value_type {
	VALUE_NAME,	 /* letters, digits, "-" and "_" */
	VALUE_TOKEN,	 /* printable characters without blanks */
	VALUE_ADDRESS,	 /* IP:PORT */
	VALUE_SEEDS,	 /* addresses separated by commas */
	VALUE_CURVE_KEY, /* CURVE key in Z85 */
	VALUE_COUNT,	 /* uint32_t */
	VALUE_PERCENT,	 /* uint32_t */
	VALUE_CORES,	 /* uint32_t thousandths, such as 0.25 */
	VALUE_BYTES,	 /* size_t */
	VALUE_TIME,	 /* uint64_t microseconds */
	VALUE_CHOICE,	 /* enum of names */
};

#define REQUIRED_CONSUL (1u << DIALECT_CONSUL)
#define REQUIRED_KV (1u << DIALECT_KV)
#define REQUIRED_ALWAYS (REQUIRED_CONSUL | REQUIRED_KV)

/* One key; min and max are in the unit of the struct. */
struct settings_entry {
	const char *section;
	const char *name;
	enum value_type type;
	size_t offset;
	uint64_t min;
	uint64_t max;
	unsigned required; /* bits of the dialects that need it */
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
	bool expect_key;      /* the current line must reach the handler */
	bool key_handled;     /* it did */
	bool is_continuation; /* it begins with a blank */
	bool skip_section;    /* keys of an unknown section */
	int *entry_lines;     /* line of each key, 0 = absent */
	int *section_lines;
};

void settings_report_error(struct settings_parser *p, int line, const char *fmt,
			   ...) __attribute__((format(printf, 3, 4)));

/* Stores a value in its field, or reports a fault at the current line. */
void settings_set_value(struct settings_parser *p,
			const struct settings_entry *e, const char *value);

/* Returns the size of the field of an entry. */
size_t settings_field_size(const struct settings_entry *e);

#endif
