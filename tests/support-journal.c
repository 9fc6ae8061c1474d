#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "buffer.h"
#include "clock.h"
#include "support-journal.h"

static int journal_fd = -1;

int journal_open(const char *path)
{
	journal_fd =
		open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (journal_fd < 0) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return -1;
	}
	return 0;
}

void journal_event(const char *event, const char *fmt, ...)
{
	struct buffer line = BUFFER_INIT;
	json_error_t fault;
	json_t *fields;
	char *text = NULL;
	va_list ap;

	if (journal_fd < 0)
		return;
	va_start(ap, fmt);
	fields = json_vpack_ex(&fault, 0, fmt, ap);
	va_end(ap);
	if (fields)
		text = json_dumps(fields, JSON_COMPACT);
	if (!text) {
		fprintf(stderr, "journal: %s: %s\n", event, fault.text);
		abort();
	}
	buffer_printf(&line, "{\"at_us\":%llu,\"event\":\"%s\"%s%s\n",
		      (unsigned long long)clock_wall_us(), event,
		      text[1] == '}' ? "" : ",", text + 1);
	if (write(journal_fd, line.data, line.len) != (ssize_t)line.len)
		perror("journal: write");
	buffer_free(&line);
	free(text);
	json_decref(fields);
}

void journal_close(void)
{
	if (journal_fd >= 0)
		close(journal_fd);
	journal_fd = -1;
}
