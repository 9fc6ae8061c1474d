#ifndef MESSAGE_H
#define MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	message - encodes and decodes peer messages as msgpack arrays
 *
 * DESCRIPTION
 *	A writer packs the elements of one array. A reader unpacks a whole
 *	array and returns the elements in order. An element that is missing, of
 *	another type or too long sets the malformed flag; from then on all
 *	values read are 0 or "". Trailing elements that are not read are
 *	ignored, so that newer versions can append elements.
 */

struct message_writer {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

struct message_reader {
	msgpack_unpacked unpacked;
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	bool malformed;
};

/* Starts an array of count elements. Free with message_writer_free(). */
void message_writer_init(struct message_writer *w, uint32_t count);
void message_put_array(struct message_writer *w, uint32_t count);
void message_put_uint(struct message_writer *w, uint64_t value);
void message_put_str(struct message_writer *w, const char *text);
void message_put_bin(struct message_writer *w, const void *data, size_t len);
void message_writer_free(struct message_writer *w);

/*
 * Returns whether data is exactly one msgpack value of limited nesting whose
 * arrays and maps declare no more elements than bytes are left. To be checked
 * before unpacking: the library allocates memory for the declared number of
 * elements, up to 128 GB, before it reads them.
 */
bool message_is_well_formed(const void *data, size_t len);

/* data must stay valid until message_reader_free(). */
void message_reader_init(struct message_reader *r, const void *data,
			 size_t len);
uint64_t message_get_uint(struct message_reader *r);

/* Copies a string that has no NUL bytes into out, of size bytes. */
void message_get_str(struct message_reader *r, char *out, size_t size);
const void *message_get_bin(struct message_reader *r, size_t *len);

/* Returns a reader of the next element, an array. Not to be freed. */
struct message_reader message_get_array(struct message_reader *r);
bool message_at_end(const struct message_reader *r);
void message_reader_free(struct message_reader *r);

#endif
