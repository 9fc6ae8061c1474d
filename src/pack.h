#ifndef PACK_H
#define PACK_H

#include <msgpack.h>
#include <stdbool.h>

#include "buffer.h"

/*
 * NAME
 *	pack - msgpack encoding into buffers and decoding
 *
 * DESCRIPTION
 *	pack_unpack() unpacks one value if message_is_well_formed() accepts it,
 *	which bounds the memory allocated. In either case, destroy u with
 *	msgpack_unpacked_destroy().
 */

/* Initialises a packer that appends to out. */
void pack_init(msgpack_packer *pk, struct buffer *out);
void pack_str(msgpack_packer *pk, const char *text);

bool pack_unpack(msgpack_unpacked *u, const void *data, size_t len);

/* Copies a string. Returns false if o is not one or does not fit. */
bool pack_copy_str(const msgpack_object *o, char *out, size_t size);

#endif
