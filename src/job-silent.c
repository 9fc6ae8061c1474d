#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job-silent.h"
#include "pack.h"

#define RECORD_FORMAT 1
#define RECORD_ELEMENTS 5
#define RECORD_ELEMENTS_MIN 3
#define ROW_ELEMENTS 2
/* Bytes of a row besides the worker's id, at most. */
#define ROW_OVERHEAD 8u
/* Clock drift between the owner and this process. */
#define CLOCK_DRIFT_PERCENT 2u
/* More than any lease and any wait for a predecessor's. */
#define LEFT_MS_MAX 60000u

struct record_rows {
	struct buffer rows;
	msgpack_packer pk;
	uint32_t count;
};

static bool add_row(void *arg, const char *id, uint32_t left_ms)
{
	struct record_rows *r = arg;

	if (r->rows.len + strlen(id) + ROW_OVERHEAD > SILENT_RECORD_BYTES_MAX ||
	    left_ms > LEFT_MS_MAX)
		return false;
	msgpack_pack_array(&r->pk, ROW_ELEMENTS);
	pack_str(&r->pk, id);
	msgpack_pack_uint32(&r->pk, left_ms);
	r->count++;
	return true;
}

/* Frees the rows. */
static void pack_record(struct buffer *out, uint64_t epoch,
			struct record_rows *r, uint32_t others_ms, bool settled)
{
	msgpack_packer pk;

	pack_init(&pk, out);
	msgpack_pack_array(&pk, RECORD_ELEMENTS);
	msgpack_pack_uint32(&pk, RECORD_FORMAT);
	msgpack_pack_uint64(&pk, epoch);
	msgpack_pack_array(&pk, r->count);
	buffer_append(out, r->rows.data, r->rows.len);
	msgpack_pack_uint32(&pk, others_ms);
	if (settled)
		msgpack_pack_true(&pk);
	else
		msgpack_pack_false(&pk);
	buffer_free(&r->rows);
}

uint32_t silent_record_build(struct sched *s, uint64_t epoch, uint64_t now_us,
			     enum silent_record type, struct buffer *out)
{
	uint32_t lease_ms = (uint32_t)(sched_lease_bound_us(s) / 1000) + 1;
	struct record_rows r = { .rows = BUFFER_INIT };
	uint32_t others_ms;
	bool settled;

	pack_init(&r.pk, &r.rows);
	others_ms = type == SILENT_RECORD_LAST
			    ? sched_silent_collect_last(s, now_us, add_row, &r)
			    : sched_silent_collect(s, now_us,
						   type == SILENT_RECORD_ADD,
						   add_row, &r);
	settled = others_ms <= lease_ms;
	if (type != SILENT_RECORD_LAST &&
	    others_ms < SILENT_GRANT_MS + lease_ms)
		others_ms = SILENT_GRANT_MS + lease_ms;
	pack_record(out, epoch, &r, others_ms, settled);
	return r.count;
}

static uint32_t left_ms(uint64_t end_us, uint64_t now_us)
{
	return end_us > now_us ? (uint32_t)((end_us - now_us) / 1000) + 1 : 0;
}

void silent_record_carry(const struct silent_notes *n, uint64_t epoch,
			 uint64_t now_us, uint32_t unknown_ms,
			 uint32_t lease_ms, struct buffer *out)
{
	bool usable = n->epoch && n->epoch + 1 == epoch;
	struct record_rows r = { .rows = BUFFER_INIT };
	uint32_t others_ms = unknown_ms;
	uint32_t row_ms;

	pack_init(&r.pk, &r.rows);
	if (usable && n->others_end_us)
		others_ms = left_ms(n->others_end_us, now_us);
	for (uint32_t i = 0; usable && i < n->count; i++) {
		row_ms = left_ms(n->list[i].end_us, now_us);
		if (!add_row(&r, n->list[i].id, row_ms) && row_ms > others_ms)
			others_ms = row_ms;
	}
	pack_record(out, epoch, &r, others_ms, others_ms <= lease_ms);
}

void silent_notes_clear(struct silent_notes *n)
{
	free(n->list);
	memset(n, 0, sizeof(*n));
}

void silent_notes_limit_exited(struct silent_notes *n, uint64_t epoch,
			       uint64_t end_us)
{
	if (!n->epoch || n->epoch + 1 != epoch || !n->settled)
		return;
	if (!n->others_end_us || end_us < n->others_end_us)
		n->others_end_us = end_us;
}

void silent_notes_copy(struct silent_notes *n, const struct silent_notes *from)
{
	silent_notes_clear(n);
	*n = *from;
	n->list = xcalloc(from->count + 1, sizeof(*n->list));
	if (from->count)
		memcpy(n->list, from->list, from->count * sizeof(*n->list));
}

static bool is_uint(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool is_array(const msgpack_object *o, uint32_t elements)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= elements;
}

/* Upper bound by the clock of this process, for a record received at now_us. */
static bool decode_end(const msgpack_object *o, uint64_t now_us,
		       uint64_t *end_us)
{
	if (!is_uint(o) || o->via.u64 > LEFT_MS_MAX)
		return false;
	*end_us = now_us + o->via.u64 * 10 * (100 + CLOCK_DRIFT_PERCENT);
	return true;
}

static bool decode_row(struct silent_note *note, const msgpack_object *o,
		       uint64_t now_us)
{
	const msgpack_object *e;

	if (!is_array(o, ROW_ELEMENTS))
		return false;
	e = o->via.array.ptr;
	return pack_copy_str(&e[0], note->id, sizeof(note->id)) &&
	       decode_end(&e[1], now_us, &note->end_us);
}

static bool decode_record(struct silent_notes *n, const msgpack_object *o,
			  uint64_t now_us)
{
	const msgpack_object *e, *rows;

	if (!is_array(o, RECORD_ELEMENTS_MIN))
		return false;
	e = o->via.array.ptr;
	if (!is_uint(&e[0]) || e[0].via.u64 != RECORD_FORMAT ||
	    !is_uint(&e[1]) || !is_array(&e[2], 0))
		return false;
	rows = e[2].via.array.ptr;
	n->epoch = e[1].via.u64;
	n->count = e[2].via.array.size;
	n->list = xcalloc(n->count + 1, sizeof(*n->list));
	for (uint32_t i = 0; i < n->count; i++)
		if (!decode_row(&n->list[i], &rows[i], now_us))
			return false;
	if (!is_array(o, RECORD_ELEMENTS))
		return true;
	n->settled = e[4].type == MSGPACK_OBJECT_BOOLEAN && e[4].via.boolean;
	return e[3].type == MSGPACK_OBJECT_NIL ||
	       decode_end(&e[3], now_us, &n->others_end_us);
}

int silent_notes_update(struct silent_notes *n, uint64_t revision,
			const void *data, size_t len, uint64_t now_us,
			struct error *err)
{
	msgpack_unpacked u;
	int result = 0;

	if (revision <= n->revision)
		return 0;
	silent_notes_clear(n);
	if (!pack_unpack(&u, data, len) || !decode_record(n, &u.data, now_us)) {
		silent_notes_clear(n);
		error_set(err, ERROR_LAYER_STORE, SILENT_RECORD_INVALID,
			  "malformed record of silent workers");
		result = -1;
	}
	n->revision = revision;
	msgpack_unpacked_destroy(&u);
	return result;
}

uint32_t silent_notes_apply(const struct silent_notes *n, struct sched *s,
			    uint64_t epoch)
{
	uint32_t applied = 0;

	if (!n->epoch || n->epoch + 1 != epoch)
		return 0;
	for (uint32_t i = 0; i < n->count; i++)
		applied +=
			sched_limit_lease(s, n->list[i].id, n->list[i].end_us);
	if (n->others_end_us)
		applied += sched_limit_other_leases(s, n->others_end_us);
	return applied;
}
