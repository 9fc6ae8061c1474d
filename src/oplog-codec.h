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
 *	A record is the array [version, writer, nonce, next epoch, type, data,
 *	...] with a type and a data element for each entry; the next epoch is 0
 *	unless the record ends its epoch. A snapshot is the array [version,
 *	epoch, seq, writer, nonce, oldest epoch, parts, length, hash, state].
 *	Its state is the array [type, data, ...]; a long state is stored in
 *	parts under keys of their own.
 *
 * RETURN VALUES
 *	0, or -1 with a static error message in *error. The entries of a decoded
 *	record point into its msgpack zone and are valid until
 *	oplog_record_free(), which accepts a zeroed struct.
 */

#define OPLOG_WRITER_BYTES 64

struct oplog_record {
	msgpack_unpacked value;
	char writer[OPLOG_WRITER_BYTES];
	uint64_t nonce;
	uint64_t next_epoch;
	const msgpack_object *entries; /* alternating type and data */
	uint32_t entry_count;
};

struct oplog_snapshot {
	char writer[OPLOG_WRITER_BYTES];
	uint64_t nonce;
	uint64_t epoch;
	uint64_t seq; /* last record of epoch that the state includes */
	uint64_t oldest_epoch; /* all epochs below it are deleted */
	uint64_t parts;	       /* 0: the state is stored inline */
	uint64_t length;
	uint64_t hash;
	struct buffer state; /* decoded only if parts is 0 */
};

typedef int oplog_entry_fn(void *arg, int type, const void *data, size_t len);

void oplog_pack_uint(struct buffer *b, uint64_t n);
void oplog_pack_str(struct buffer *b, const char *s);
void oplog_pack_bin(struct buffer *b, const void *data, size_t len);
void oplog_pack_array(struct buffer *b, size_t count);

/* Appends one entry to the entries that oplog_pack_record() takes. */
void oplog_pack_entry(struct buffer *b, int type, const void *data, size_t len);

void oplog_pack_record(struct buffer *out, const char *writer, uint64_t nonce,
		       uint64_t next_epoch, const struct buffer *entries,
		       uint32_t entry_count);
int oplog_unpack_record(const void *data, size_t len, struct oplog_record *out,
			const char **error);
void oplog_record_free(struct oplog_record *r);

void oplog_pack_snapshot(struct buffer *out, const struct oplog_snapshot *s);
int oplog_unpack_snapshot(const void *data, size_t len,
			  struct oplog_snapshot *out, const char **error);

/* Calls fn for each type and data of a state; stops and fails if fn fails. */
int oplog_unpack_state(const void *data, size_t len, oplog_entry_fn *fn,
		       void *arg, const char **error);

uint64_t oplog_hash(const void *data, size_t len);

#endif
