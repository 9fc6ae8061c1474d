#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

#include "buffer.h"

/*
 * NAME
 *	base64 - values of the platform's stores, through libb64
 *
 * RETURN VALUES
 *	base64_decode() returns the bytes, which the caller frees, followed by
 *	a NUL that *len does not count.
 */
char *base64_decode(const char *text, size_t text_len, size_t *len);

/* Appends the text, padded and on one line. */
void base64_append(struct buffer *out, const void *data, size_t len);

#endif
