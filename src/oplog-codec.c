#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "oplog-codec.h"
#include "oplog.h"

#define RECORD_HEADER_ITEMS 4u
#define SNAPSHOT_ITEMS 10u

static int write_buffer(void *arg, const char *data, size_t len);
static msgpack_packer make_packer(struct buffer *b);
static bool is_uint(const msgpack_object *o);
static bool is_entry_pair(const msgpack_object *pair);
static int unpack_array(const void *data, size_t len, msgpack_unpacked *u,
			const char **error);
static int check_version(const msgpack_object_array *a, const char **error);
static int copy_writer(const msgpack_object *o, char to[OPLOG_WRITER_BYTES]);

static int write_buffer(void *arg, const char *data, size_t len)
{
	buffer_append(arg, data, len);
	return 0;
}

static msgpack_packer make_packer(struct buffer *b)
{
	msgpack_packer p;

	msgpack_packer_init(&p, b, write_buffer);
	return p;
}

void oplog_pack_uint(struct buffer *b, uint64_t n)
{
	msgpack_packer p = make_packer(b);

	msgpack_pack_uint64(&p, n);
}

void oplog_pack_str(struct buffer *b, const char *s)
{
	msgpack_packer p = make_packer(b);

	msgpack_pack_str(&p, strlen(s));
	msgpack_pack_str_body(&p, s, strlen(s));
}

void oplog_pack_bin(struct buffer *b, const void *data, size_t len)
{
	msgpack_packer p = make_packer(b);

	msgpack_pack_bin(&p, len);
	if (len)
		msgpack_pack_bin_body(&p, data, len);
}

void oplog_pack_array(struct buffer *b, size_t count)
{
	msgpack_packer p = make_packer(b);

	msgpack_pack_array(&p, count);
}

void oplog_pack_entry(struct buffer *b, int type, const void *data, size_t len)
{
	oplog_pack_uint(b, (uint64_t)type);
	oplog_pack_bin(b, data, len);
}

void oplog_pack_record(struct buffer *out, const char *writer, uint64_t nonce,
		       uint64_t next_epoch, const struct buffer *entries,
		       uint32_t entry_count)
{
	oplog_pack_array(out, RECORD_HEADER_ITEMS + 2u * entry_count);
	oplog_pack_uint(out, OPLOG_FORMAT_VERSION);
	oplog_pack_str(out, writer);
	oplog_pack_uint(out, nonce);
	oplog_pack_uint(out, next_epoch);
	buffer_append(out, entries->data, entries->len);
}

static bool is_uint(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool is_entry_pair(const msgpack_object *pair)
{
	return is_uint(&pair[0]) && pair[1].type == MSGPACK_OBJECT_BIN;
}

/* Decodes a value that consists of exactly one array. */
static int unpack_array(const void *data, size_t len, msgpack_unpacked *u,
			const char **error)
{
	size_t used = 0;
	msgpack_unpack_return ret;

	msgpack_unpacked_init(u);
	ret = msgpack_unpack_next(u, data, len, &used);
	if (ret == MSGPACK_UNPACK_CONTINUE) {
		*error = "truncated";
		return -1;
	}
	if ((ret != MSGPACK_UNPACK_SUCCESS &&
	     ret != MSGPACK_UNPACK_EXTRA_BYTES) ||
	    used != len || u->data.type != MSGPACK_OBJECT_ARRAY) {
		*error = "malformed";
		return -1;
	}
	return 0;
}

static int check_version(const msgpack_object_array *a, const char **error)
{
	*error = "malformed";
	if (!a->size || !is_uint(&a->ptr[0]) || !a->ptr[0].via.u64)
		return -1;
	if (a->ptr[0].via.u64 > OPLOG_FORMAT_VERSION) {
		*error = "written by a newer version";
		return -1;
	}
	return 0;
}

static int copy_writer(const msgpack_object *o, char to[OPLOG_WRITER_BYTES])
{
	if (o->type != MSGPACK_OBJECT_STR ||
	    o->via.str.size >= OPLOG_WRITER_BYTES)
		return -1;
	memcpy(to, o->via.str.ptr, o->via.str.size);
	to[o->via.str.size] = '\0';
	return 0;
}

int oplog_unpack_record(const void *data, size_t len, struct oplog_record *out,
			const char **error)
{
	const msgpack_object_array *a;

	memset(out, 0, sizeof(*out));
	if (unpack_array(data, len, &out->value, error) < 0)
		goto fail;
	a = &out->value.data.via.array;
	if (check_version(a, error) < 0)
		goto fail;
	if (a->size < RECORD_HEADER_ITEMS ||
	    (a->size - RECORD_HEADER_ITEMS) % 2 ||
	    copy_writer(&a->ptr[1], out->writer) < 0 || !is_uint(&a->ptr[2]) ||
	    !is_uint(&a->ptr[3]))
		goto fail;
	out->nonce = a->ptr[2].via.u64;
	out->next_epoch = a->ptr[3].via.u64;
	out->entries = a->ptr + RECORD_HEADER_ITEMS;
	out->entry_count = (a->size - RECORD_HEADER_ITEMS) / 2;
	for (uint32_t i = 0; i < out->entry_count; i++)
		if (!is_entry_pair(&out->entries[2 * i]))
			goto fail;
	return 0;
fail:
	oplog_record_free(out);
	return -1;
}

void oplog_record_free(struct oplog_record *r)
{
	msgpack_unpacked_destroy(&r->value);
	memset(r, 0, sizeof(*r));
}

void oplog_pack_snapshot(struct buffer *out, const struct oplog_snapshot *s)
{
	oplog_pack_array(out, SNAPSHOT_ITEMS);
	oplog_pack_uint(out, OPLOG_FORMAT_VERSION);
	oplog_pack_uint(out, s->epoch);
	oplog_pack_uint(out, s->seq);
	oplog_pack_str(out, s->writer);
	oplog_pack_uint(out, s->nonce);
	oplog_pack_uint(out, s->oldest_epoch);
	oplog_pack_uint(out, s->parts);
	oplog_pack_uint(out, s->length);
	oplog_pack_uint(out, s->hash);
	oplog_pack_bin(out, s->state.data, s->parts ? 0 : s->state.len);
}

int oplog_unpack_snapshot(const void *data, size_t len,
			  struct oplog_snapshot *out, const char **error)
{
	static const uint8_t uints[] = { 1, 2, 4, 5, 6, 7, 8 };
	const msgpack_object_array *a;
	const msgpack_object *o;
	msgpack_unpacked u;
	int ret = -1;

	memset(out, 0, sizeof(*out));
	if (unpack_array(data, len, &u, error) < 0)
		goto done;
	a = &u.data.via.array;
	if (check_version(a, error) < 0)
		goto done;
	if (a->size != SNAPSHOT_ITEMS ||
	    copy_writer(&a->ptr[3], out->writer) < 0 ||
	    a->ptr[9].type != MSGPACK_OBJECT_BIN)
		goto done;
	o = a->ptr;
	for (size_t i = 0; i < sizeof(uints); i++)
		if (!is_uint(&o[uints[i]]))
			goto done;
	out->epoch = o[1].via.u64;
	out->seq = o[2].via.u64;
	out->nonce = o[4].via.u64;
	out->oldest_epoch = o[5].via.u64;
	out->parts = o[6].via.u64;
	out->length = o[7].via.u64;
	out->hash = o[8].via.u64;
	buffer_append(&out->state, o[9].via.bin.ptr, o[9].via.bin.size);
	ret = 0;
done:
	msgpack_unpacked_destroy(&u);
	return ret;
}

int oplog_unpack_state(const void *data, size_t len, oplog_entry_fn *fn,
		       void *arg, const char **error)
{
	const msgpack_object_array *a;
	msgpack_unpacked u;
	int ret = -1;

	if (unpack_array(data, len, &u, error) < 0)
		goto done;
	a = &u.data.via.array;
	*error = "malformed";
	if (a->size % 2)
		goto done;
	for (uint32_t i = 0; i < a->size; i += 2) {
		const msgpack_object *o = &a->ptr[i];

		if (!is_entry_pair(o) ||
		    fn(arg, (int)o[0].via.u64, o[1].via.bin.ptr,
		       o[1].via.bin.size) < 0)
			goto done;
	}
	ret = 0;
done:
	msgpack_unpacked_destroy(&u);
	return ret;
}

uint64_t oplog_hash(const void *data, size_t len)
{
	return XXH64(data, len, 0);
}
