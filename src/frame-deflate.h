#ifndef FRAME_DEFLATE_H
#define FRAME_DEFLATE_H

#include <stdbool.h>

struct evbuffer;

/*
 * NAME
 *	frame-deflate - one direction of a compressed connection
 *
 * DESCRIPTION
 *	frame_deflate() and frame_inflate() append to out what they make of all
 *	of in, and empty it. Each call of frame_deflate() ends on a byte
 *	boundary, so that its output can be inflated at once.
 *
 * ERRORS
 *	frame_inflate() returns -1 if the data is malformed or would exceed
 *	FRAME_INFLATED_MAX_BYTES in out. The stream is then of no further use.
 */

#define FRAME_INFLATED_MAX_BYTES (16u * 1024u * 1024u)

struct frame_stream;

/* Returns NULL if there is no memory. */
struct frame_stream *frame_deflate_create(void);
struct frame_stream *frame_inflate_create(void);
void frame_stream_free(struct frame_stream *s);

void frame_deflate(struct frame_stream *s, struct evbuffer *in,
		   struct evbuffer *out);
int frame_inflate(struct frame_stream *s, struct evbuffer *in,
		  struct evbuffer *out);

#endif
