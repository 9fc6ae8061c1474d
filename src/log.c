#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };
static char node_name[64] = "-";
static atomic_int min_level = LOG_INFO;
static atomic_uint lines_per_s_max; /* 0: no limit */
static atomic_uint dropped_lines;   /* not yet reported; pipe was full */

/*
 * Writes a line. Returns false if it was dropped because the pipe is full.
 */
static bool write_line(enum log_level level, uint64_t us, const char *event,
		       const char *fmt, va_list ap);
static bool write_linef(enum log_level level, uint64_t us, const char *event,
			const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* Rate limit of the current second of the wall clock. */
static struct {
	pthread_mutex_t lock;
	uint64_t second;
	unsigned written, suppressed;
} rate_window = { .lock = PTHREAD_MUTEX_INITIALIZER };

static bool admit_line(enum log_level level, uint64_t second,
		       unsigned *suppressed);

void log_set_node(const char *node)
{
	snprintf(node_name, sizeof(node_name), "%s", node);
}

void log_set_level(enum log_level level)
{
	atomic_store(&min_level, (int)level);
}

enum log_level log_get_level(void)
{
	return (enum log_level)atomic_load(&min_level);
}

int log_level_parse(const char *text, enum log_level *level)
{
	for (int i = 0; i < 4; i++) {
		if (!strcmp(text, level_names[i])) {
			*level = (enum log_level)i;
			return 0;
		}
	}
	return -1;
}

void log_set_rate_limit(unsigned lines_per_s)
{
	atomic_store(&lines_per_s_max, lines_per_s);
}

/*
 * Returns whether the line is within the rate limit. *suppressed receives the
 * number of lines suppressed in an earlier second and not yet reported.
 */
static bool admit_line(enum log_level level, uint64_t second,
		       unsigned *suppressed)
{
	unsigned limit = atomic_load(&lines_per_s_max);
	bool admitted;

	*suppressed = 0;
	if (!limit)
		return true;
	if (level >= LOG_WARNING)
		limit *= 2;
	pthread_mutex_lock(&rate_window.lock);
	if (second != rate_window.second) {
		*suppressed = rate_window.suppressed;
		rate_window.second = second;
		rate_window.written = rate_window.suppressed = 0;
	}
	admitted = rate_window.written < limit;
	if (admitted)
		rate_window.written++;
	else
		rate_window.suppressed++;
	pthread_mutex_unlock(&rate_window.lock);
	return admitted;
}

static bool write_line(enum log_level level, uint64_t us, const char *event,
		       const char *fmt, va_list ap)
{
	char line[LOG_LINE_BYTES];
	int n = snprintf(line, sizeof(line),
			 "ts=%llu.%06llu level=%s node=%s event=%s ",
			 (unsigned long long)(us / 1000000u),
			 (unsigned long long)(us % 1000000u),
			 level_names[level], node_name, event);

	n += vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	/* Values may come from others: a line break would begin a line. */
	for (int i = 0; i < n; i++)
		if (iscntrl((unsigned char)line[i]))
			line[i] = '?';
	line[n++] = '\n';
	return write(STDOUT_FILENO, line, (size_t)n) >= 0 || errno != EAGAIN;
}

static bool write_linef(enum log_level level, uint64_t us, const char *event,
			const char *fmt, ...)
{
	bool written;
	va_list ap;

	va_start(ap, fmt);
	written = write_line(level, us, event, fmt, ap);
	va_end(ap);
	return written;
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	uint64_t us = clock_wall_us();
	unsigned suppressed, unreported_drops;
	bool admitted;
	va_list ap;

	if ((int)level < atomic_load(&min_level))
		return;
	admitted = admit_line(level, us / 1000000u, &suppressed);
	unreported_drops = atomic_exchange(&dropped_lines, 0);
	/* If a report is dropped, its count goes into the next log-dropped. */
	if (suppressed && !write_linef(LOG_WARNING, us, "log-limited",
				       "lines=%u", suppressed))
		atomic_fetch_add(&dropped_lines, suppressed);
	if (unreported_drops && !write_linef(LOG_WARNING, us, "log-dropped",
					     "lines=%u", unreported_drops))
		atomic_fetch_add(&dropped_lines, unreported_drops);
	if (!admitted)
		return;
	va_start(ap, fmt);
	if (!write_line(level, us, event, fmt, ap))
		atomic_fetch_add(&dropped_lines, 1);
	va_end(ap);
}

void log_set_nonblocking(void)
{
	struct stat st;
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	if (flags < 0 || fstat(STDOUT_FILENO, &st) < 0 ||
	    (!S_ISFIFO(st.st_mode) && !S_ISSOCK(st.st_mode)))
		return;
	if (fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK) < 0)
		log_event(LOG_WARNING, "log-may-block", "error=\"%s\"",
			  strerror(errno));
}
