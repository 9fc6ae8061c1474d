#ifndef LOG_H
#define LOG_H

/*
 * NAME
 *	log - one line an event, key=value, on standard output
 *
 * DESCRIPTION
 *	log_event() writes "ts=... level=... node=... event=NAME ..." in one
 *	write(2), so that lines of several threads do not mix. The rest of
 *	the line is the formatted text, by convention more key=value pairs.
 *	A line is cut at LOG_LINE_BYTES. Names of events stand in the table
 *	of log-events.c.
 */

#define LOG_LINE_BYTES 1024

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARNING, LOG_ERROR };

/* Sets the node id that every line carries; copied. */
void log_set_node(const char *node);
void log_set_level(enum log_level level);
enum log_level log_get_level(void);

/* Parses "debug", "info", "warning" or "error". Returns 0, or -1. */
int log_level_parse(const char *text, enum log_level *level);

/*
 * Lets a line be dropped, and counted, rather than wait for a reader that is
 * behind. For processes with one event loop.
 */
void log_set_nonblocking(void);

/*
 * Writes at most so many lines a second, and twice as many when those above
 * the limit are warnings or errors; 0 for no limit. The number of lines left
 * out follows in the next second as event log-limited.
 */
void log_set_rate_limit(unsigned lines_per_s);

void log_event(enum log_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
