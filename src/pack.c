#include <string.h>

#include "message.h"
#include "pack.h"

static int write_buffer(void *arg, const char *data, size_t len)
{
	buffer_append(arg, data, len);
	return 0;
}

void pack_init(msgpack_packer *pk, struct buffer *out)
{
	msgpack_packer_init(pk, out, write_buffer);
}

void pack_str(msgpack_packer *pk, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, text, len);
}

bool pack_unpack(msgpack_unpacked *u, const void *data, size_t len)
{
	msgpack_unpacked_init(u);
	return message_is_well_formed(data, len) &&
	       msgpack_unpack_next(u, data, len, NULL) ==
		       MSGPACK_UNPACK_SUCCESS;
}

bool pack_copy_str(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	/* An empty string may have no pointer. */
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}
