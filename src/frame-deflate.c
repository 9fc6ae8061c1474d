#include <event2/buffer.h>
#include <stdlib.h>
#include <zlib.h>

#include "buffer.h"
#include "frame-deflate.h"

/* Small windows: an owner has a stream for each relay. */
#define WINDOW_BITS 14
#define MEMORY_LEVEL 7
#define CHUNK_BYTES (16u * 1024u)

struct frame_stream {
	z_stream z;
	bool inflates;
};

static struct frame_stream *create(bool inflates)
{
	struct frame_stream *s = xcalloc(1, sizeof(*s));
	int ret;

	s->inflates = inflates;
	ret = inflates ? inflateInit2(&s->z, -WINDOW_BITS)
		       : deflateInit2(&s->z, Z_BEST_SPEED, Z_DEFLATED,
				      -WINDOW_BITS, MEMORY_LEVEL,
				      Z_DEFAULT_STRATEGY);
	if (ret == Z_OK)
		return s;
	free(s);
	return NULL;
}

struct frame_stream *frame_deflate_create(void)
{
	return create(false);
}

struct frame_stream *frame_inflate_create(void)
{
	return create(true);
}

void frame_stream_free(struct frame_stream *s)
{
	if (!s)
		return;
	if (s->inflates)
		inflateEnd(&s->z);
	else
		deflateEnd(&s->z);
	free(s);
}

/* Runs the stream over its input; returns the last result of zlib. */
static int run(struct frame_stream *s, struct evbuffer *out)
{
	unsigned char chunk[CHUNK_BYTES];
	int ret = Z_OK;

	do {
		s->z.next_out = chunk;
		s->z.avail_out = sizeof(chunk);
		ret = s->inflates ? inflate(&s->z, Z_SYNC_FLUSH)
				  : deflate(&s->z, Z_SYNC_FLUSH);
		evbuffer_add(out, chunk, sizeof(chunk) - s->z.avail_out);
	} while (ret == Z_OK && !s->z.avail_out &&
		 evbuffer_get_length(out) <= FRAME_INFLATED_MAX_BYTES);
	return ret;
}

void frame_deflate(struct frame_stream *s, struct evbuffer *in,
		   struct evbuffer *out)
{
	size_t len = evbuffer_get_length(in);

	s->z.next_in = evbuffer_pullup(in, -1);
	s->z.avail_in = (unsigned int)len;
	run(s, out);
	evbuffer_drain(in, len);
}

int frame_inflate(struct frame_stream *s, struct evbuffer *in,
		  struct evbuffer *out)
{
	size_t len = evbuffer_get_length(in);
	int ret;

	s->z.next_in = evbuffer_pullup(in, -1);
	s->z.avail_in = (unsigned int)len;
	ret = run(s, out);
	evbuffer_drain(in, len);
	/* Z_BUF_ERROR: no more input, nothing is pending. */
	if ((ret != Z_OK && ret != Z_BUF_ERROR) || s->z.avail_in)
		return -1;
	return 0;
}
