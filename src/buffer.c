#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "log.h"

static void reserve(struct buffer *b, size_t extra);
static void fatal_out_of_memory(size_t bytes);

static void fatal_out_of_memory(size_t bytes)
{
	log_event(LOG_ERROR, "out-of-memory", "bytes=%zu", bytes);
	abort();
}

/* Ensures capacity for extra more bytes and the terminating NUL. */
static void reserve(struct buffer *b, size_t extra)
{
	size_t needed = b->len + extra + 1;
	size_t cap = b->capacity ? b->capacity : 64;

	if (needed <= b->capacity)
		return;
	while (cap < needed)
		cap *= 2;
	b->data = xrealloc(b->data, cap);
	b->capacity = cap;
}

void buffer_append(struct buffer *b, const void *data, size_t len)
{
	reserve(b, len);
	if (len)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void buffer_append_str(struct buffer *b, const char *str)
{
	buffer_append(b, str, strlen(str));
}

void buffer_printf(struct buffer *b, const char *fmt, ...)
{
	int n;
	va_list ap, ap_copy;

	va_start(ap, fmt);
	va_copy(ap_copy, ap);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n >= 0) {
		reserve(b, (size_t)n);
		vsnprintf(b->data + b->len, (size_t)n + 1, fmt, ap_copy);
		b->len += (size_t)n;
	}
	va_end(ap_copy);
}

void buffer_reset(struct buffer *b)
{
	b->len = 0;
	if (b->data)
		b->data[0] = '\0';
}

void buffer_free(struct buffer *b)
{
	free(b->data);
	memset(b, 0, sizeof(*b));
}

char *buffer_detach(struct buffer *b, size_t *len)
{
	char *data;

	reserve(b, 0);
	data = b->data;
	data[b->len] = '\0';
	if (len)
		*len = b->len;
	memset(b, 0, sizeof(*b));
	return data;
}

void *xcalloc(size_t count, size_t size)
{
	void *p = calloc(count ? count : 1, size ? size : 1);

	if (!p)
		fatal_out_of_memory(count * size);
	return p;
}

void *xrealloc(void *p, size_t size)
{
	void *q = realloc(p, size ? size : 1);

	if (!q)
		fatal_out_of_memory(size);
	return q;
}

char *xstrdup(const char *s)
{
	size_t n = strlen(s) + 1;

	return memcpy(xcalloc(1, n), s, n);
}
