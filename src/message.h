#ifndef MESSAGE_H
#define MESSAGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	message - reads and writes msgpack arrays of peer messages
 *
 * DESCRIPTION
 *	A writer packs the elements of one array. A reader unpacks a whole
 *	array and takes the elements in order; an element that is missing, of
 *	another type or too long makes the reader bad, and the values taken
 *	from then on are 0 or "". Elements after the ones that are taken are
 *	ignored, so that a newer version may append some.
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

/* Begins an array of count elements; free with message_writer_free(). */
void message_writer_init(struct message_writer *w, uint32_t count);
void message_put_array(struct message_writer *w, uint32_t count);
void message_put_uint(struct message_writer *w, uint64_t value);
void message_put_str(struct message_writer *w, const char *text);
void message_put_bin(struct message_writer *w, const void *data, size_t len);
void message_writer_free(struct message_writer *w);

/*
 * Tells whether data is one whole msgpack value whose arrays and maps announce
 * no more elements than there are bytes. The library allocates what a header
 * announces before it reads the elements, up to 128 GB.
 */
bool message_is_well_formed(const void *data, size_t len);

/* data must stay valid until message_reader_free(). */
void message_reader_init(struct message_reader *r, const void *data,
			 size_t len);
uint64_t message_get_uint(struct message_reader *r);

/* Copies a string without NUL bytes into size bytes. */
void message_get_str(struct message_reader *r, char *out, size_t size);
const void *message_get_bin(struct message_reader *r, size_t *len);

/* Enters the next element, an array, without leaving r; no free needed. */
struct message_reader message_get_array(struct message_reader *r);
bool message_at_end(const struct message_reader *r);
void message_reader_free(struct message_reader *r);

#endif
