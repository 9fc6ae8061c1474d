#ifndef LOG_H
#define LOG_H

/*
 * NAME
 *	log - structured log on standard output, one line per event
 *
 * DESCRIPTION
 *	log_event() writes "ts=... level=... node=... event=NAME ..." with a
 *	single write(2), so that lines of different threads do not interleave.
 *	The formatted text follows, by convention more key=value pairs. Lines
 *	are truncated to LOG_LINE_BYTES. log-events.c lists all event names.
 */

#define LOG_LINE_BYTES 1024

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARNING, LOG_ERROR };

/* Sets the node id for all lines; the text is copied. */
void log_set_node(const char *node);
void log_set_level(enum log_level level);
enum log_level log_get_level(void);

/* Parses "debug", "info", "warning" or "error". Returns 0, or -1. */
int log_level_parse(const char *text, enum log_level *level);

/*
 * Makes standard output non-blocking if it is a pipe or a socket: lines that a
 * slow reader leaves no room for are dropped and counted. For processes with a
 * single event loop, which a blocking write would stall.
 */
void log_set_nonblocking(void);

/*
 * Limits the number of lines per second; 0 for no limit. Warnings and errors
 * are written up to twice the limit. The next line of a later second is
 * preceded by an event log-limited with the number of suppressed lines.
 */
void log_set_rate_limit(unsigned lines_per_s);

/* Control characters, as in values of others, are written as "?". */
void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
