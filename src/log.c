#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"

static const char *const level_names[] = { "debug", "info", "warning",
					   "error" };
static char node_name[64] = "-";
static atomic_int threshold = LOG_INFO;
static atomic_uint dropped; /* lines that found a full pipe */

void log_set_node(const char *node)
{
	snprintf(node_name, sizeof(node_name), "%s", node);
}

void log_set_level(enum log_level level)
{
	atomic_store(&threshold, (int)level);
}

enum log_level log_get_level(void)
{
	return (enum log_level)atomic_load(&threshold);
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

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	char line[LOG_LINE_BYTES];
	uint64_t us = clock_wall_us();
	unsigned lost;
	int n, m;
	va_list ap;

	if ((int)level < atomic_load(&threshold))
		return;
	n = snprintf(line, sizeof(line),
		     "ts=%llu.%06llu level=%s node=%s event=%s ",
		     (unsigned long long)(us / 1000000u),
		     (unsigned long long)(us % 1000000u), level_names[level],
		     node_name, event);
	va_start(ap, fmt);
	m = vsnprintf(line + n, sizeof(line) - (size_t)n - 1, fmt, ap);
	va_end(ap);
	n += m;
	if (n > (int)sizeof(line) - 2)
		n = (int)sizeof(line) - 2;
	line[n++] = '\n';
	if (write(STDOUT_FILENO, line, (size_t)n) < 0) {
		if (errno == EAGAIN)
			atomic_fetch_add(&dropped, 1);
		return;
	}
	lost = atomic_exchange(&dropped, 0);
	if (lost)
		log_event(LOG_WARNING, "log-dropped", "lines=%u", lost);
}

void log_never_block(void)
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
