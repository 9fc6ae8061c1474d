#ifndef LOG_LINE_H
#define LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>

#include "log.h"

/*
 * NAME
 *	log-line - reading of lines that log_event() wrote
 *
 * DESCRIPTION
 *	log_line_parse() reads the fields that all lines have. It checks that
 *	the rest is a row of key=value pairs, where a value may stand in
 *	double quotes, unless the line was cut at LOG_LINE_BYTES. text has no
 *	newline and must outlive the result.
 *
 *	log_event_is_known() tells whether a name is in the table of events.
 *
 * RETURN VALUES
 *	log_line_parse() returns 0, or -1 when the text is no such line.
 */

struct log_line {
	double time_s; /* since 1970, on the clock of the writer */
	enum log_level level;
	const char *node;
	size_t node_len;
	const char *event; /* the text goes on after the name */
	size_t event_len;
};

int log_line_parse(const char *text, struct log_line *out);
bool log_event_is_known(const char *name, size_t len);

/* Number of names in the table, and one of them. */
size_t log_event_count(void);
const char *log_event_name(size_t i);

#endif
