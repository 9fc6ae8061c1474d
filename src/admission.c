#include <math.h>
#include <string.h>

#include "admission.h"
#include "pack.h"

/*
 * Load pattern: callers submit more than the workers can do, for longer than
 * the jobs are of use. Jobs that are accepted then take capacity from others
 * and end too late themselves, and their callers learn it last.
 */

#define LOAD_FORMAT 1
#define LOAD_ELEMENTS 3
#define ROW_ELEMENTS 3

void admission_load_encode(const struct admission_load *l, struct buffer *out)
{
	msgpack_packer pk;

	pack_init(&pk, out);
	msgpack_pack_array(&pk, LOAD_ELEMENTS);
	msgpack_pack_uint32(&pk, LOAD_FORMAT);
	msgpack_pack_uint64(&pk, l->epoch);
	msgpack_pack_array(&pk, l->count);
	for (uint32_t i = 0; i < l->count; i++) {
		msgpack_pack_array(&pk, ROW_ELEMENTS);
		pack_str(&pk, l->queues[i].name);
		msgpack_pack_uint32(&pk, l->queues[i].wait_ms);
		msgpack_pack_uint32(&pk, l->queues[i].ratio_milli);
	}
}

static bool decode_number(const msgpack_object *o, uint32_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.u64 > UINT32_MAX)
		return false;
	*out = (uint32_t)o->via.u64;
	return true;
}

static bool decode_row(const msgpack_object *o, struct admission_queue *q)
{
	const msgpack_object *e;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < ROW_ELEMENTS)
		return false;
	e = o->via.array.ptr;
	return pack_copy_str(&e[0], q->name, sizeof(q->name)) &&
	       decode_number(&e[1], &q->wait_ms) &&
	       decode_number(&e[2], &q->ratio_milli);
}

static bool decode_load(const msgpack_object *o, struct admission_load *l)
{
	const msgpack_object *e;
	uint32_t format;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < LOAD_ELEMENTS)
		return false;
	e = o->via.array.ptr;
	if (!decode_number(&e[0], &format) || format != LOAD_FORMAT ||
	    e[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    e[2].type != MSGPACK_OBJECT_ARRAY)
		return false;
	l->epoch = e[1].via.u64;
	for (uint32_t i = 0; i < e[2].via.array.size; i++) {
		if (l->count == ADMISSION_QUEUES_MAX)
			break;
		if (!decode_row(&e[2].via.array.ptr[i], &l->queues[l->count++]))
			return false;
	}
	return true;
}

int admission_load_decode(struct admission_load *l, const void *data,
			  size_t len, struct error *err)
{
	msgpack_unpacked u;
	int result = 0;

	memset(l, 0, sizeof(*l));
	if (!pack_unpack(&u, data, len) || !decode_load(&u.data, l)) {
		memset(l, 0, sizeof(*l));
		error_set(err, ERROR_LAYER_STORE, ADMISSION_LOAD_INVALID,
			  "malformed summary of waits");
		result = -1;
	}
	msgpack_unpacked_destroy(&u);
	return result;
}

bool admission_load_has_wait(const struct admission_load *l)
{
	for (uint32_t i = 0; i < l->count; i++)
		if (l->queues[i].wait_ms > ADMISSION_WAIT_MIN_MS)
			return true;
	return false;
}

static const struct admission_queue *find_queue(const struct admission_load *l,
						const char *name)
{
	for (uint32_t i = 0; i < l->count; i++)
		if (!strcmp(l->queues[i].name, name))
			return &l->queues[i];
	return NULL;
}

/* Whether the job waits for one time and ends a known time after that. */
static bool has_known_end(const struct job_spec *spec)
{
	if (spec->repetitions || job_spec_long_running(spec))
		return false;
	for (uint32_t i = 0; i < spec->step_count; i++)
		if (spec->steps[i].gang || !spec->steps[i].estimate_ms)
			return false;
	return spec->step_count && *spec->policy.service;
}

bool admission_refuses(const struct admission_load *l, uint64_t epoch,
		       const struct job_spec *spec, uint64_t now_us,
		       uint32_t *retry_after_s)
{
	const struct queue_policy *policy = &spec->policy;
	const struct admission_queue *q;
	double work_ms, useful_ms, excess_ms;

	if (!epoch || l->epoch != epoch || !l->as_of_us ||
	    now_us > l->as_of_us + ADMISSION_LOAD_AGE_MAX_US ||
	    !has_known_end(spec))
		return false;
	q = find_queue(l, spec->queue);
	if (!q || !q->wait_ms)
		return false;
	work_ms =
		(double)job_spec_critical_path_ms(spec) * q->ratio_milli / 1000;
	useful_ms = ADMISSION_USEFUL_FACTOR *
		    (policy->stretch * work_ms + policy->target_latency_ms);
	excess_ms = q->wait_ms + work_ms - useful_ms;
	if (excess_ms <= 0)
		return false;
	/* The wait becomes shorter by at most the time that passes. */
	excess_ms = fmin(ceil(excess_ms / 1000),
			 (double)ADMISSION_RETRY_AFTER_MAX_S);
	*retry_after_s = (uint32_t)excess_ms;
	return true;
}
