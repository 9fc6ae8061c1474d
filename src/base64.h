#ifndef BASE64_H
#define BASE64_H

#include <stddef.h>

#include "buffer.h"

/*
 * NAME
 *	base64 - base64 encoding of store values, using libb64
 *
 * RETURN VALUES
 *	base64_decode() returns the decoded bytes, to be freed by the caller.
 *	A NUL follows them, which is not counted in *len.
 */
char *base64_decode(const char *text, size_t text_len, size_t *len);

/* Appends the encoded data to out, with padding and without newlines. */
void base64_append(struct buffer *out, const void *data, size_t len);

#endif
