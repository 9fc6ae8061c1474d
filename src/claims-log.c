#include <string.h>

#include "claims-table.h"
#include "oplog-codec.h"

static bool are_uints(const msgpack_object *o, uint32_t count);
static int apply_entry(struct claims_table *t, const msgpack_object_array *a);

void claims_log_pack_header(struct buffer *b, enum claim_op op, size_t count,
			    const struct claim *cl)
{
	oplog_pack_array(b, count);
	oplog_pack_uint(b, (uint64_t)op);
	oplog_pack_uint(b, cl->hash[0]);
	oplog_pack_uint(b, cl->hash[1]);
	oplog_pack_uint(b, cl->nonce);
	oplog_pack_uint(b, cl->changed_s);
}

static bool are_uints(const msgpack_object *o, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		if (o[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	return true;
}

/* Applies [op, hash, hash, nonce, changed_s, ...]; -1 if it is malformed. */
static int apply_entry(struct claims_table *t, const msgpack_object_array *a)
{
	const msgpack_object *o = a->ptr;
	uint64_t hash[2];
	struct claim *cl;
	uint32_t i;

	if (a->size < 5 || !are_uints(o, 5))
		return -1;
	if (o[0].via.u64 == CLAIM_OP_NOOP)
		return 0;
	hash[0] = o[1].via.u64;
	hash[1] = o[2].via.u64;
	i = claims_table_find(t, hash);
	if (i == CLAIM_NONE && o[0].via.u64 != CLAIM_OP_CLAIM)
		return 0; /* expired after CLAIMS_RETENTION_S */
	if (i == CLAIM_NONE)
		i = claims_table_add(t, hash);
	cl = &t->claims[i];
	claims_table_touch(t, i, (uint32_t)o[4].via.u64);
	switch (o[0].via.u64) {
	case CLAIM_OP_CLAIM:
		if (a->size < 7 || !are_uints(o, 7))
			return -1;
		claims_table_set_response(t, i, 0, NULL, 0);
		cl->state = CLAIM_STATE_IN_PROGRESS;
		cl->nonce = o[3].via.u64;
		cl->body_hash = o[5].via.u64;
		cl->entry_vm_hash = o[6].via.u64;
		return 0;
	case CLAIM_OP_DONE:
		if (a->size < 7 || !are_uints(o + 5, 1) ||
		    o[6].type != MSGPACK_OBJECT_BIN)
			return -1;
		cl->state = CLAIM_STATE_DONE;
		claims_table_set_response(t, i, (int)o[5].via.u64,
					  o[5].via.u64 ? o[6].via.bin.ptr
						       : NULL,
					  o[6].via.bin.size);
		return 0;
	case CLAIM_OP_RELEASE:
		claims_table_remove(t, i);
		return 0;
	case CLAIM_OP_MAY_HAVE_RUN:
		cl->state = CLAIM_STATE_MAY_HAVE_RUN;
		return 0;
	default:
		return -1;
	}
}

int claims_log_apply(struct claims_table *t, const void *data, size_t len)
{
	msgpack_unpacked u;
	size_t used = 0;
	int ret = 0;

	msgpack_unpacked_init(&u);
	while (!ret && used < len) {
		msgpack_unpack_return r =
			msgpack_unpack_next(&u, data, len, &used);

		if ((r != MSGPACK_UNPACK_SUCCESS &&
		     r != MSGPACK_UNPACK_EXTRA_BYTES) ||
		    u.data.type != MSGPACK_OBJECT_ARRAY)
			ret = -1;
		else
			ret = apply_entry(t, &u.data.via.array);
	}
	msgpack_unpacked_destroy(&u);
	return ret;
}

void claims_log_snapshot(const struct claims_table *t, struct buffer *out)
{
	for (uint32_t i = t->oldest; i != CLAIM_NONE; i = t->claims[i].newer) {
		const struct claim *cl = &t->claims[i];

		if (cl->state == CLAIM_STATE_RELEASED)
			continue;
		claims_log_pack_header(out, CLAIM_OP_CLAIM, 7, cl);
		oplog_pack_uint(out, cl->body_hash);
		oplog_pack_uint(out, cl->entry_vm_hash);
		if (cl->state == CLAIM_STATE_DONE) {
			claims_log_pack_header(out, CLAIM_OP_DONE, 7, cl);
			oplog_pack_uint(out, cl->status);
			oplog_pack_bin(out, cl->response, cl->response_len);
		} else if (cl->state == CLAIM_STATE_MAY_HAVE_RUN) {
			claims_log_pack_header(out, CLAIM_OP_MAY_HAVE_RUN, 5,
					       cl);
		}
	}
}
