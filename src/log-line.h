#ifndef LOG_LINE_H
#define LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>

#include "log.h"

/*
 * NAME
 *	log-line - parser for lines written by log_event()
 *
 * DESCRIPTION
 *	log_line_parse() parses the fields common to all lines. Unless the line
 *	was truncated to LOG_LINE_BYTES, the rest must consist of key=value
 *	pairs; values may be in double quotes. text has no newline and must
 *	outlive the result, which points into it.
 *
 *	log_event_is_known() returns whether log-events.c lists the name.
 *
 * RETURN VALUES
 *	log_line_parse() returns 0, or -1 if the text is not a valid line.
 */

struct log_line {
	double time_s; /* Unix time, by the clock of the writer */
	enum log_level level;
	const char *node;
	size_t node_len;
	const char *event; /* not NUL-terminated */
	size_t event_len;
};

int log_line_parse(const char *text, struct log_line *out);
bool log_event_is_known(const char *name, size_t len);

/* Number of known event names, and the name at index i. */
size_t log_event_count(void);
const char *log_event_name(size_t i);

#endif
