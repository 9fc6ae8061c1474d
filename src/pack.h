#ifndef PACK_H
#define PACK_H

#include <msgpack.h>
#include <stdbool.h>

#include "buffer.h"

/*
 * NAME
 *	pack - msgpack values in buffers
 *
 * DESCRIPTION
 *	pack_unpack() unpacks one value after checking that its headers announce
 *	no more than its bytes can hold, as message_is_well_formed() does; u is
 *to be destroyed with msgpack_unpacked_destroy() in either case.
 */

/* Lets a packer append to a buffer. */
void pack_init(msgpack_packer *pk, struct buffer *out);
void pack_str(msgpack_packer *pk, const char *text);

bool pack_unpack(msgpack_unpacked *u, const void *data, size_t len);

/* Copies a string that is shorter than size; false for anything else. */
bool pack_copy_str(const msgpack_object *o, char *out, size_t size);

#endif
