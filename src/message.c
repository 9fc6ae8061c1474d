#include <string.h>

#include "message.h"

#define NESTING_MAX 8

/* Layout of a msgpack value after a first byte of 0xc0 to 0xdf. */
struct format {
	uint8_t length_bytes;	    /* size of the big-endian length field */
	uint8_t fixed_bytes;	    /* payload besides the counted part */
	uint8_t values_per_element; /* array 1, map 2, others 0 */
	bool invalid;
};

static const struct format formats[32] = {
	[0x01] = { 0, 0, 0, true },  /* reserved */
	[0x04] = { 1, 0, 0, false }, /* bin */
	[0x05] = { 2, 0, 0, false }, [0x06] = { 4, 0, 0, false },
	[0x07] = { 1, 1, 0, false }, /* ext */
	[0x08] = { 2, 1, 0, false }, [0x09] = { 4, 1, 0, false },
	[0x0a] = { 0, 4, 0, false },				  /* float */
	[0x0b] = { 0, 8, 0, false }, [0x0c] = { 0, 1, 0, false }, /* uint */
	[0x0d] = { 0, 2, 0, false }, [0x0e] = { 0, 4, 0, false },
	[0x0f] = { 0, 8, 0, false }, [0x10] = { 0, 1, 0, false }, /* int */
	[0x11] = { 0, 2, 0, false }, [0x12] = { 0, 4, 0, false },
	[0x13] = { 0, 8, 0, false }, [0x14] = { 0, 2, 0, false }, /* fixext */
	[0x15] = { 0, 3, 0, false }, [0x16] = { 0, 5, 0, false },
	[0x17] = { 0, 9, 0, false }, [0x18] = { 0, 17, 0, false },
	[0x19] = { 1, 0, 0, false }, /* str */
	[0x1a] = { 2, 0, 0, false }, [0x1b] = { 4, 0, 0, false },
	[0x1c] = { 2, 0, 1, false },				  /* array */
	[0x1d] = { 4, 0, 1, false }, [0x1e] = { 2, 0, 2, false }, /* map */
	[0x1f] = { 4, 0, 2, false },
};

static bool skip_value(const uint8_t **p, const uint8_t *end, int depth);
static bool skip_values(const uint8_t **p, const uint8_t *end, uint64_t count,
			int depth);
static bool skip_bytes(const uint8_t **p, const uint8_t *end, uint64_t count);
static const msgpack_object *next_element(struct message_reader *r,
					  msgpack_object_type type);

static bool skip_bytes(const uint8_t **p, const uint8_t *end, uint64_t count)
{
	if (count > (uint64_t)(end - *p))
		return false;
	*p += count;
	return true;
}

static bool skip_values(const uint8_t **p, const uint8_t *end, uint64_t count,
			int depth)
{
	if (depth == NESTING_MAX || count > (uint64_t)(end - *p))
		return false;
	for (uint64_t i = 0; i < count; i++)
		if (!skip_value(p, end, depth + 1))
			return false;
	return true;
}

static bool skip_value(const uint8_t **p, const uint8_t *end, int depth)
{
	const struct format *f;
	uint64_t count = 0;
	uint8_t first_byte;

	if (*p == end)
		return false;
	first_byte = *(*p)++;
	if (first_byte < 0x80 || first_byte >= 0xe0)
		return true; /* fixint */
	if (first_byte < 0x90)
		return skip_values(p, end, 2u * (first_byte & 0x0fu), depth);
	if (first_byte < 0xa0)
		return skip_values(p, end, first_byte & 0x0fu, depth);
	if (first_byte < 0xc0)
		return skip_bytes(p, end, first_byte & 0x1fu);
	f = &formats[first_byte - 0xc0];
	if (f->invalid || f->length_bytes > end - *p)
		return false;
	for (int i = 0; i < f->length_bytes; i++)
		count = count << 8 | *(*p)++;
	if (f->values_per_element)
		return skip_values(p, end, count * f->values_per_element,
				   depth);
	return skip_bytes(p, end, count + f->fixed_bytes);
}

bool message_is_well_formed(const void *data, size_t len)
{
	const uint8_t *p = data, *end = p + len;

	return skip_value(&p, end, 0) && p == end;
}

void message_writer_init(struct message_writer *w, uint32_t count)
{
	msgpack_sbuffer_init(&w->buffer);
	msgpack_packer_init(&w->packer, &w->buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&w->packer, count);
}

void message_put_array(struct message_writer *w, uint32_t count)
{
	msgpack_pack_array(&w->packer, count);
}

void message_put_uint(struct message_writer *w, uint64_t value)
{
	msgpack_pack_uint64(&w->packer, value);
}

void message_put_str(struct message_writer *w, const char *text)
{
	msgpack_pack_str_with_body(&w->packer, text, strlen(text));
}

void message_put_bin(struct message_writer *w, const void *data, size_t len)
{
	msgpack_pack_bin_with_body(&w->packer, data, len);
}

void message_writer_free(struct message_writer *w)
{
	msgpack_sbuffer_destroy(&w->buffer);
}

void message_reader_init(struct message_reader *r, const void *data, size_t len)
{
	size_t used = 0;
	msgpack_unpack_return ret;

	memset(r, 0, sizeof(*r));
	msgpack_unpacked_init(&r->unpacked);
	if (!message_is_well_formed(data, len)) {
		r->malformed = true;
		return;
	}
	ret = msgpack_unpack_next(&r->unpacked, data, len, &used);
	if (ret != MSGPACK_UNPACK_SUCCESS || used != len ||
	    r->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		r->malformed = true;
		return;
	}
	r->items = r->unpacked.data.via.array.ptr;
	r->count = r->unpacked.data.via.array.size;
}

/* Returns the next element, or NULL if missing or of another type. */
static const msgpack_object *next_element(struct message_reader *r,
					  msgpack_object_type type)
{
	if (r->malformed || r->next == r->count ||
	    r->items[r->next].type != type) {
		r->malformed = true;
		return NULL;
	}
	return &r->items[r->next++];
}

uint64_t message_get_uint(struct message_reader *r)
{
	const msgpack_object *o =
		next_element(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

void message_get_str(struct message_reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!o)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->malformed = true;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

const void *message_get_bin(struct message_reader *r, size_t *len)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? o->via.bin.ptr : "";
}

struct message_reader message_get_array(struct message_reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_ARRAY);
	struct message_reader inner;

	memset(&inner, 0, sizeof(inner));
	inner.malformed = !o;
	if (o) {
		inner.items = o->via.array.ptr;
		inner.count = o->via.array.size;
	}
	return inner;
}

bool message_at_end(const struct message_reader *r)
{
	return r->malformed || r->next == r->count;
}

void message_reader_free(struct message_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}
