#ifndef OPLOG_CODEC_H
#define OPLOG_CODEC_H

#include <msgpack.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	oplog-codec - msgpack form of log records and snapshots
 *
 * DESCRIPTION
 *	A record is the array [version, writer, nonce, next, type, data, ...]
 *	with a type and a data element for each entry; next is the epoch that
 *	follows, or 0. A snapshot is [version, epoch, seq, writer, nonce,
 *	oldest, parts, length, hash, state]. Its state is the array [type,
 *	data, ...], kept in parts of the store when it is long.
 *
 * RETURN VALUES
 *	0, or -1 with a static text that says what is wrong with the value.
 *	Decoded texts and data point into the value's zone and stay valid until
 *	the decoded struct is freed. Freeing a zeroed struct is allowed.
 */

#define OPLOG_WRITER_BYTES 64

struct oplog_record {
	msgpack_unpacked value;
	char writer[OPLOG_WRITER_BYTES];
	uint64_t nonce;
	uint64_t next_epoch;
	const msgpack_object *entries; /* type and data, in turn */
	uint32_t entry_count;
};

struct oplog_snapshot {
	char writer[OPLOG_WRITER_BYTES];
	uint64_t nonce;
	uint64_t epoch; /* the state stands before record seq + 1 of epoch */
	uint64_t seq;
	uint64_t oldest_epoch; /* no epoch below it exists */
	uint64_t parts;
	uint64_t length;
	uint64_t hash;
	struct buffer state; /* when parts is 0 */
};

typedef int oplog_entry_fn(void *arg, int type, const void *data, size_t len);

void oplog_pack_uint(struct buffer *b, uint64_t n);
void oplog_pack_str(struct buffer *b, const char *s);
void oplog_pack_bin(struct buffer *b, const void *data, size_t len);
void oplog_pack_array(struct buffer *b, size_t count);

/* Appends one entry's type and data; oplog_pack_record() takes these. */
void oplog_pack_entry(struct buffer *b, int type, const void *data, size_t len);

void oplog_pack_record(struct buffer *out, const char *writer, uint64_t nonce,
		       uint64_t next_epoch, const struct buffer *entries,
		       uint32_t entry_count);
int oplog_unpack_record(const void *data, size_t len, struct oplog_record *out,
			const char **fault);
void oplog_record_free(struct oplog_record *r);

void oplog_pack_snapshot(struct buffer *out, const struct oplog_snapshot *s);
int oplog_unpack_snapshot(const void *data, size_t len,
			  struct oplog_snapshot *out, const char **fault);

/* Passes each type and data of a state to fn; stops at its first failure. */
int oplog_unpack_state(const void *data, size_t len, oplog_entry_fn *fn,
		       void *arg, const char **fault);

uint64_t oplog_hash(const void *data, size_t len);

#endif
