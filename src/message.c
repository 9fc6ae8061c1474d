#include <string.h>

#include "message.h"

static const msgpack_object *take(struct message_reader *r,
				  msgpack_object_type type);

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
	ret = msgpack_unpack_next(&r->unpacked, data, len, &used);
	if (ret != MSGPACK_UNPACK_SUCCESS || used != len ||
	    r->unpacked.data.type != MSGPACK_OBJECT_ARRAY) {
		r->bad = true;
		return;
	}
	r->items = r->unpacked.data.via.array.ptr;
	r->count = r->unpacked.data.via.array.size;
}

/* Returns the next element, or NULL when it is not of that type. */
static const msgpack_object *take(struct message_reader *r,
				  msgpack_object_type type)
{
	if (r->bad || r->next == r->count || r->items[r->next].type != type) {
		r->bad = true;
		return NULL;
	}
	return &r->items[r->next++];
}

uint64_t message_get_uint(struct message_reader *r)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

void message_get_str(struct message_reader *r, char *out, size_t size)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_STR);

	out[0] = '\0';
	if (!o)
		return;
	if (o->via.str.size >= size ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size)) {
		r->bad = true;
		return;
	}
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
}

const void *message_get_bin(struct message_reader *r, size_t *len)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_BIN);

	*len = o ? o->via.bin.size : 0;
	return o ? o->via.bin.ptr : "";
}

struct message_reader message_get_array(struct message_reader *r)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_ARRAY);
	struct message_reader inner;

	memset(&inner, 0, sizeof(inner));
	inner.bad = !o;
	if (o) {
		inner.items = o->via.array.ptr;
		inner.count = o->via.array.size;
	}
	return inner;
}

bool message_at_end(const struct message_reader *r)
{
	return r->bad || r->next == r->count;
}

void message_reader_free(struct message_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}
