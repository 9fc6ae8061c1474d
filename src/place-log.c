#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

/*
 * An entry is a msgpack array. The first element is the type, which determines
 * the others. Entries with fewer elements than expected are rejected.
 */

#define DECODE_ITEMS_MAX 20
#define NAME_BUFFER_BYTES 320

struct reader {
	const msgpack_object *items;
	uint32_t count;
	uint32_t next;
	bool failed;
};

static void encode(const struct place *p, const struct change *c,
		   msgpack_packer *k);
static void encode_create(const struct change *c, msgpack_packer *k);
static void encode_histogram(const struct size_histogram *s, msgpack_packer *k);
static int decode(struct place *p, const msgpack_object *o);
static int decode_kind(struct place *p, struct reader *r);
static int decode_interference(struct place *p, struct reader *r);
static void decode_spec(struct reader *r, struct placement_spec *s);

/* msgpack write callback that appends to a struct buffer. */
static int write_buffer(void *data, const char *buf, size_t len)
{
	buffer_append(data, buf, len);
	return 0;
}

static void pack_string(msgpack_packer *k, const char *s)
{
	size_t len = s ? strlen(s) : 0;

	msgpack_pack_str(k, len);
	msgpack_pack_str_body(k, s ? s : "", len);
}

uint64_t place_commit(struct place *p, const struct change *c)
{
	struct buffer b = BUFFER_INIT;
	bool deferrable = c->type == CHANGE_TASK || c->type == CHANGE_DELETE;
	msgpack_packer k;
	uint64_t token = 0;

	if (!p->owner)
		goto out;
	msgpack_packer_init(&k, &b, write_buffer);
	encode(p, c, &k);
	/* A full log rejects the entry, and the change must not be applied. */
	if (p->options.append(p->options.append_arg, b.data, b.len,
			      p->last_token + 1, deferrable) < 0) {
		p->log_full = true;
		goto out;
	}
	token = ++p->last_token;
	if (change_apply(p, c) < 0)
		token = 0;
out:
	buffer_free(&b);
	return token;
}

/* Replays a sequence of entries. */
int place_replay(struct place *p, const void *data, size_t len)
{
	msgpack_unpacked u;
	size_t off = 0;
	int ret = 0;

	msgpack_unpacked_init(&u);
	while (off < len && ret == 0) {
		if (msgpack_unpack_next(&u, data, len, &off) !=
		    MSGPACK_UNPACK_SUCCESS)
			ret = -1;
		else
			ret = decode(p, &u.data);
	}
	msgpack_unpacked_destroy(&u);
	return ret;
}

static void encode(const struct place *p, const struct change *c,
		   msgpack_packer *k)
{
	static const uint32_t lengths[] = {
		[CHANGE_HORIZON] = 2, [CHANGE_CREATE] = 16,
		[CHANGE_UPDATE] = 5,  [CHANGE_CANCEL] = 2,
		[CHANGE_DELETE] = 2,  [CHANGE_START] = 9,
		[CHANGE_TASK] = 7,    [CHANGE_KIND] = 10,
		[CHANGE_WORKER] = 4,  [CHANGE_INTERFERENCE] = 7,
	};

	(void)p;
	msgpack_pack_array(k, lengths[c->type]);
	msgpack_pack_int(k, c->type);
	switch (c->type) {
	case CHANGE_HORIZON:
		msgpack_pack_uint32(k, c->horizon_ms);
		break;
	case CHANGE_CREATE:
		encode_create(c, k);
		break;
	case CHANGE_UPDATE:
		msgpack_pack_uint32(k, c->slot);
		msgpack_pack_uint32(k, c->spec->count);
		msgpack_pack_int(k, c->spec->urgency);
		msgpack_pack_int(k, c->spec->yields);
		break;
	case CHANGE_CANCEL:
	case CHANGE_DELETE:
		msgpack_pack_uint32(k, c->slot);
		break;
	case CHANGE_START:
		msgpack_pack_uint32(k, c->slot);
		msgpack_pack_uint32(k, c->number);
		msgpack_pack_uint32(k, c->attempt);
		pack_string(k, c->worker);
		for (int r = 0; r < RES_COUNT; r++)
			msgpack_pack_uint32(k, c->reserved[r]);
		msgpack_pack_uint32(k, c->requested[RES_MEMORY]);
		break;
	case CHANGE_TASK:
		msgpack_pack_uint32(k, c->slot);
		msgpack_pack_uint32(k, c->number);
		msgpack_pack_int(k, c->state);
		msgpack_pack_uint32(k, c->attempt);
		msgpack_pack_int(k, c->reason);
		pack_string(k, c->checkpoint);
		break;
	case CHANGE_KIND:
		pack_string(k, c->kind->user);
		pack_string(k, c->kind->name);
		msgpack_pack_int(k, c->kind->service);
		msgpack_pack_double(k, c->kind->alone_latency_us);
		msgpack_pack_double(k, c->kind->alone_weight);
		encode_histogram(&c->kind->cpu_milli, k);
		encode_histogram(&c->kind->memory_mb, k);
		encode_histogram(&c->kind->cpu_ratio, k);
		encode_histogram(&c->kind->memory_ratio, k);
		break;
	case CHANGE_WORKER:
		pack_string(k, c->worker);
		msgpack_pack_uint32(k, c->failures);
		msgpack_pack_uint32(k, c->attempt);
		break;
	case CHANGE_INTERFERENCE:
		pack_string(k, c->kind->user);
		pack_string(k, c->kind->name);
		pack_string(k, c->other_kind->user);
		pack_string(k, c->other_kind->name);
		msgpack_pack_float(k, c->interference.mean);
		msgpack_pack_float(k, c->interference.variance);
		break;
	}
}

static void encode_create(const struct change *c, msgpack_packer *k)
{
	const struct placement_spec *s = c->spec;

	msgpack_pack_uint32(k, c->slot);
	pack_string(k, s->id);
	pack_string(k, s->user);
	pack_string(k, s->team);
	pack_string(k, s->kind);
	msgpack_pack_int(k, s->service);
	msgpack_pack_int(k, s->urgency);
	msgpack_pack_uint32(k, s->count);
	msgpack_pack_uint32(k, s->cpu_milli);
	msgpack_pack_uint32(k, s->memory_mb);
	msgpack_pack_uint32(k, s->accelerators);
	msgpack_pack_int(k, s->yields);
	msgpack_pack_int(k, s->spread_racks);
	msgpack_pack_uint32(k, s->max_run_ms);
	pack_string(k, s->spec);
}

/* Packs the non-empty buckets as pairs of index and count. */
static void encode_histogram(const struct size_histogram *s, msgpack_packer *k)
{
	uint32_t used = 0;

	for (int i = 0; i < SIZE_BUCKETS; i++)
		used += s->counts[i] > 0;
	msgpack_pack_array(k, 2 * used);
	for (int i = 0; i < SIZE_BUCKETS; i++) {
		if (!s->counts[i])
			continue;
		msgpack_pack_int(k, i);
		msgpack_pack_int(k, s->counts[i]);
	}
}

static uint32_t read_uint(struct reader *r)
{
	const msgpack_object *o;

	if (r->next >= r->count)
		goto bad;
	o = &r->items[r->next++];
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= UINT32_MAX)
		return (uint32_t)o->via.u64;
bad:
	r->failed = true;
	return 0;
}

static double read_double(struct reader *r)
{
	const msgpack_object *o;

	if (r->next >= r->count)
		goto bad;
	o = &r->items[r->next++];
	if (o->type == MSGPACK_OBJECT_FLOAT64 ||
	    o->type == MSGPACK_OBJECT_FLOAT32)
		return o->via.f64;
bad:
	r->failed = true;
	return 0;
}

/* Copies a string of less than size bytes. */
static void read_string(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o;

	out[0] = '\0';
	if (r->next >= r->count)
		goto bad;
	o = &r->items[r->next++];
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		goto bad;
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return;
bad:
	r->failed = true;
}

static void read_histogram(struct reader *r, struct size_histogram *s)
{
	const msgpack_object *o;
	struct reader pairs = { 0 };

	memset(s, 0, sizeof(*s));
	if (r->next >= r->count ||
	    r->items[r->next].type != MSGPACK_OBJECT_ARRAY) {
		r->failed = true;
		return;
	}
	o = &r->items[r->next++];
	pairs.items = o->via.array.ptr;
	pairs.count = o->via.array.size;
	while (pairs.next < pairs.count && !pairs.failed) {
		uint32_t bucket = read_uint(&pairs);
		uint32_t count = read_uint(&pairs);

		if (pairs.failed || bucket >= SIZE_BUCKETS ||
		    count > UINT16_MAX)
			break;
		s->counts[bucket] = (uint16_t)count;
		s->total += count;
	}
	r->failed |= pairs.failed;
}

static int decode(struct place *p, const msgpack_object *o)
{
	struct change c = { 0 };
	struct placement_spec spec = { 0 };
	char name[NAME_BUFFER_BYTES];
	struct reader r = { 0 };

	if (o->type != MSGPACK_OBJECT_ARRAY || !o->via.array.size)
		return -1;
	r.items = o->via.array.ptr;
	r.count = o->via.array.size;
	c.type = (enum change_type)read_uint(&r);
	c.spec = &spec;
	switch (c.type) {
	case CHANGE_HORIZON:
		c.horizon_ms = read_uint(&r);
		break;
	case CHANGE_CREATE:
		c.slot = read_uint(&r);
		decode_spec(&r, &spec);
		break;
	case CHANGE_UPDATE:
		c.slot = read_uint(&r);
		spec.count = read_uint(&r);
		spec.urgency = (enum urgency)read_uint(&r);
		spec.yields = read_uint(&r);
		break;
	case CHANGE_CANCEL:
	case CHANGE_DELETE:
		c.slot = read_uint(&r);
		break;
	case CHANGE_START:
		c.slot = read_uint(&r);
		c.number = read_uint(&r);
		c.attempt = read_uint(&r);
		read_string(&r, name, PLACE_NAME_BYTES);
		c.worker = name;
		for (int i = 0; i < RES_COUNT; i++)
			c.reserved[i] = read_uint(&r);
		memcpy(c.requested, c.reserved, sizeof(c.requested));
		c.requested[RES_MEMORY] = read_uint(&r);
		break;
	case CHANGE_TASK:
		c.slot = read_uint(&r);
		c.number = read_uint(&r);
		c.state = (enum task_state)read_uint(&r);
		c.attempt = read_uint(&r);
		c.reason = (enum place_reason)read_uint(&r);
		read_string(&r, name, PLACE_NAME_BYTES);
		c.checkpoint = name;
		break;
	case CHANGE_KIND:
		return decode_kind(p, &r);
	case CHANGE_WORKER:
		read_string(&r, name, PLACE_NAME_BYTES);
		c.worker = name;
		c.failures = read_uint(&r);
		c.attempt = read_uint(&r);
		break;
	case CHANGE_INTERFERENCE:
		return decode_interference(p, &r);
	default:
		return -1;
	}
	if (r.failed || spec.urgency >= URGENCY_COUNT ||
	    c.state > TASK_IMPOSSIBLE || c.reason >= REASON_COUNT)
		return -1;
	return change_apply(p, &c);
}

static void decode_spec(struct reader *r, struct placement_spec *s)
{
	read_string(r, s->id, sizeof(s->id));
	read_string(r, s->user, sizeof(s->user));
	read_string(r, s->team, sizeof(s->team));
	read_string(r, s->kind, sizeof(s->kind));
	s->service = read_uint(r);
	s->urgency = (enum urgency)read_uint(r);
	s->count = read_uint(r);
	s->cpu_milli = read_uint(r);
	s->memory_mb = read_uint(r);
	s->accelerators = read_uint(r);
	s->yields = read_uint(r);
	s->spread_racks = read_uint(r);
	s->max_run_ms = read_uint(r);
	read_string(r, s->spec, sizeof(s->spec));
}

static int decode_kind(struct place *p, struct reader *r)
{
	struct kind in = { 0 };
	struct kind *k;

	read_string(r, in.user, sizeof(in.user));
	read_string(r, in.name, sizeof(in.name));
	in.service = read_uint(r);
	in.alone_latency_us = read_double(r);
	in.alone_weight = read_double(r);
	read_histogram(r, &in.cpu_milli);
	read_histogram(r, &in.memory_mb);
	read_histogram(r, &in.cpu_ratio);
	read_histogram(r, &in.memory_ratio);
	if (r->failed)
		return -1;
	k = &p->kinds[kind_get_or_add(p, in.user, in.name, in.service)];
	in.interference = k->interference;
	*k = in;
	return 0;
}

static int decode_interference(struct place *p, struct reader *r)
{
	char names[4][SHEET_NAME_BYTES];
	struct interference in;
	uint32_t service, other;

	for (int i = 0; i < 4; i++)
		read_string(r, names[i], sizeof(names[i]));
	in.mean = (float)read_double(r);
	in.variance = (float)read_double(r);
	if (r->failed)
		return -1;
	service = kind_get_or_add(p, names[0], names[1], true);
	other = kind_get_or_add(p, names[2], names[3], false);
	*kind_interference(p, service, other) = in;
	return 0;
}

/* Writes the changes that rebuild a placement. */
static void snapshot_placement(struct place *p, const struct placement *pl,
			       msgpack_packer *k)
{
	struct placement_spec spec;
	struct change c = { .slot = pl->slot, .spec = &spec };

	placement_to_spec(p, pl, &spec);
	c.type = CHANGE_CREATE;
	encode(p, &c, k);
	for (uint32_t i = 0; i < pl->count; i++) {
		const struct place_task *t = &pl->tasks[i];

		c.number = i;
		c.attempt = t->attempt;
		if (t->worker) {
			c.type = CHANGE_START;
			c.worker = t->worker->id;
			for (int r = 0; r < RES_COUNT; r++)
				c.reserved[r] = (uint32_t)t->reserved[r];
			c.requested[RES_MEMORY] =
				(uint32_t)t->requested[RES_MEMORY];
			encode(p, &c, k);
		}
		if (t->state == TASK_PENDING && !t->attempt && !t->reason)
			continue;
		c.type = CHANGE_TASK;
		c.state = (enum task_state)t->state;
		c.reason = (enum place_reason)t->reason;
		c.checkpoint = t->checkpoint;
		encode(p, &c, k);
	}
	if (pl->desired_count != pl->count) {
		c.type = CHANGE_UPDATE;
		spec.count = pl->desired_count;
		encode(p, &c, k);
	}
	if (pl->cancelled) {
		c.type = CHANGE_CANCEL;
		encode(p, &c, k);
	}
}

static void snapshot_interference(struct place *p, msgpack_packer *k)
{
	struct change c = { .type = CHANGE_INTERFERENCE };

	for (uint32_t i = 0; i < p->kind_count; i++) {
		for (uint32_t j = 0;
		     p->kinds[i].interference && j < p->kind_count; j++) {
			c.interference = p->kinds[i].interference[j];
			if (c.interference.variance == 0)
				continue;
			c.kind = &p->kinds[i];
			c.other_kind = &p->kinds[j];
			encode(p, &c, k);
		}
	}
}

void place_write_snapshot(struct place *p, struct buffer *out)
{
	struct change c = { 0 };
	msgpack_packer k;

	msgpack_packer_init(&k, out, write_buffer);
	if (p->logged_horizon_us) {
		c.type = CHANGE_HORIZON;
		c.horizon_ms = (uint32_t)(p->logged_horizon_us / 1000);
		encode(p, &c, &k);
	}
	for (uint32_t i = 0; i < p->slot_count; i++)
		if (p->slots[i])
			snapshot_placement(p, p->slots[i], &k);
	for (uint32_t i = 0; i < p->kind_count; i++) {
		c.type = CHANGE_KIND;
		c.kind = &p->kinds[i];
		encode(p, &c, &k);
	}
	snapshot_interference(p, &k);
	for (uint32_t i = 0; i < p->worker_count; i++) {
		const struct place_worker *w = p->workers[i];

		if (!w->failures && !w->quarantines)
			continue;
		c.type = CHANGE_WORKER;
		c.worker = w->id;
		c.failures = w->failures;
		c.attempt = w->quarantines;
		encode(p, &c, &k);
	}
}
