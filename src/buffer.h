#ifndef BUFFER_H
#define BUFFER_H

#include <stddef.h>

/*
 * NAME
 *	buffer - growable byte buffer
 *
 * DESCRIPTION
 *	Zero-initialise a struct buffer before use. Once allocated, the data is
 *	NUL-terminated; len excludes the NUL. When memory allocation fails, the
 *	process logs an error and aborts.
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

/* Returns the data, to be freed by the caller, and resets b to empty. */
char *buffer_detach(struct buffer *b, size_t *len);

/* Allocation functions that log an error and abort on failure. */
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *p, size_t size);
char *xstrdup(const char *s);

#endif
