#include <b64/cdecode.h>
#include <b64/cencode.h>
#include <stdlib.h>

#include "base64.h"

char *base64_decode(const char *text, size_t text_len, size_t *len)
{
	base64_decodestate state;
	char *out = xcalloc(text_len / 4 + 1, 3);

	base64_init_decodestate(&state);
	*len = (size_t)base64_decode_block(text, (int)text_len, out, &state);
	out[*len] = '\0';
	return out;
}

void base64_append(struct buffer *out, const void *data, size_t len)
{
	base64_encodestate state;
	char *encoded = xcalloc(1, len * 2 + 8);
	int encoded_len, line_start = 0;

	base64_init_encodestate(&state);
	encoded_len = base64_encode_block(data, (int)len, encoded, &state);
	encoded_len += base64_encode_blockend(encoded + encoded_len, &state);
	/* Drop the newlines that libb64 inserts: JSON strings forbid them. */
	for (int i = 0; i < encoded_len; i++) {
		if (encoded[i] != '\n')
			continue;
		buffer_append(out, encoded + line_start,
			      (size_t)(i - line_start));
		line_start = i + 1;
	}
	buffer_append(out, encoded + line_start,
		      (size_t)(encoded_len - line_start));
	free(encoded);
}
