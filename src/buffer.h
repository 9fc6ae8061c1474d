#ifndef BUFFER_H
#define BUFFER_H

#include <stddef.h>

/*
 * NAME
 *	buffer - growable byte buffer
 *
 * DESCRIPTION
 *	Zero-initialise a struct buffer before use. The data is always
 *	followed by a NUL byte that does not count in len. Running out of
 *	memory ends the process with a log line.
 */
struct buffer {
	char *data;
	size_t len;
	size_t capacity;
};

#define BUFFER_INIT        \
	{                  \
		NULL, 0, 0 \
	}

void buffer_append(struct buffer *b, const void *data, size_t len);
void buffer_append_str(struct buffer *b, const char *str);
void buffer_printf(struct buffer *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void buffer_reset(struct buffer *b);
void buffer_free(struct buffer *b);

/* Returns the data, which the caller frees, and empties b. */
char *buffer_detach(struct buffer *b, size_t *len);

/* Memory functions that end the process with a log line on failure. */
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *p, size_t size);
char *xstrdup(const char *s);

#endif
