#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "pack.h"
#include "pair-model.h"

/*
 * Slope of a pair that was never observed. It allows one task with a twelfth of
 * the worker's CPU beside a service, but not several.
 */
#define PRIOR_SLOPE_MEAN 3.0f
#define PRIOR_SLOPE_VARIANCE 400.0f
/* Added before each update, since interference changes within seconds. */
#define DRIFT_VARIANCE 0.5f
/* Of a measured slowdown: the service's own load moves its tail by 40%. */
#define MEASURE_VARIANCE 0.16f
#define SLOPE_MAX 150.0f
/* Larger slowdowns carry no further information. */
#define SLOWDOWN_MAX 12.0f
/* Baseline of a new service image, relative to its target. */
#define BASELINE_DEFAULT_RATIO 0.45f
#define BASELINE_WEIGHT_MAX 200.0f
/* [format, [name, baseline_ms, weight, [[name, mean, variance], ...]], ...] */
#define PAIR_FORMAT 1
#define ROW_ELEMENTS 4
#define CELL_ELEMENTS 3
/* Pairs above it were not observed and are not stored. */
#define LEARNED_VARIANCE_MAX 200.0f
/* Estimates of another process are some seconds old and less certain. */
#define HANDOVER_VARIANCE 4.0f
#define HANDOVER_WEIGHT_MAX 20.0f

void pair_model_init(struct pair_model *m)
{
	memset(m, 0, sizeof(*m));
	for (int i = 0; i < PAIR_IMAGES_MAX; i++)
		for (int k = 0; k < PAIR_IMAGES_MAX; k++) {
			m->slope_mean[i][k] = PRIOR_SLOPE_MEAN;
			m->slope_variance[i][k] = PRIOR_SLOPE_VARIANCE;
		}
	m->count = 1; /* image 0 has the empty name */
}

uint32_t pair_model_image(struct pair_model *m, const char *name)
{
	for (uint32_t i = 0; i < m->count; i++)
		if (!strcmp(m->names[i], name))
			return i;
	if (m->count == PAIR_IMAGES_MAX)
		return 0;
	snprintf(m->names[m->count], PAIR_NAME_BYTES, "%s", name);
	return m->count++;
}

float pair_model_baseline(const struct pair_model *m, uint32_t service,
			  float target_ms)
{
	if (m->baseline_weight[service] < 1)
		return target_ms * BASELINE_DEFAULT_RATIO;
	return m->baseline_ms[service];
}

float pair_model_slowdown(const struct pair_model *m, uint32_t service,
			  const struct pair_load *load)
{
	return m->slope_mean[service][load->image] * load->cpu_share;
}

static void observe_baseline(struct pair_model *m, uint32_t service,
			     float tail_ms)
{
	float *weight = &m->baseline_weight[service];

	if (*weight < BASELINE_WEIGHT_MAX)
		*weight += 1;
	m->baseline_ms[service] +=
		(tail_ms - m->baseline_ms[service]) / *weight;
}

void pair_model_observe(struct pair_model *m, uint32_t service, float tail_ms,
			float target_ms, const struct pair_load *loads,
			size_t count)
{
	float baseline = pair_model_baseline(m, service, target_ms);
	float slowdown = tail_ms / (baseline > 1 ? baseline : 1) - 1;
	float total = MEASURE_VARIANCE;
	float expected = 0;

	if (!count) {
		if (tail_ms < target_ms)
			observe_baseline(m, service, tail_ms);
		return;
	}
	if (slowdown > SLOWDOWN_MAX)
		slowdown = SLOWDOWN_MAX;
	for (size_t i = 0; i < count; i++) {
		float *variance = &m->slope_variance[service][loads[i].image];

		if (*variance < PRIOR_SLOPE_VARIANCE)
			*variance += DRIFT_VARIANCE;
		total += loads[i].cpu_share * loads[i].cpu_share * *variance;
		expected += pair_model_slowdown(m, service, &loads[i]);
	}
	for (size_t i = 0; i < count; i++) {
		float *mean = &m->slope_mean[service][loads[i].image];
		float *variance = &m->slope_variance[service][loads[i].image];
		float gain = *variance * loads[i].cpu_share / total;

		*mean += gain * (slowdown - expected);
		if (*mean < 0)
			*mean = 0;
		if (*mean > SLOPE_MAX)
			*mean = SLOPE_MAX;
		*variance *= 1 - gain * loads[i].cpu_share;
	}
}

static void pack_row(msgpack_packer *pk, const struct pair_model *m, uint32_t i)
{
	size_t n = 0;

	for (uint32_t k = 0; k < m->count; k++)
		n += m->slope_variance[i][k] < LEARNED_VARIANCE_MAX;
	msgpack_pack_array(pk, ROW_ELEMENTS);
	pack_str(pk, m->names[i]);
	msgpack_pack_float(pk, m->baseline_ms[i]);
	msgpack_pack_float(pk, m->baseline_weight[i]);
	msgpack_pack_array(pk, n);
	for (uint32_t k = 0; k < m->count; k++) {
		if (m->slope_variance[i][k] >= LEARNED_VARIANCE_MAX)
			continue;
		msgpack_pack_array(pk, CELL_ELEMENTS);
		pack_str(pk, m->names[k]);
		msgpack_pack_float(pk, m->slope_mean[i][k]);
		msgpack_pack_float(pk, m->slope_variance[i][k]);
	}
}

void pair_model_encode(const struct pair_model *m, struct buffer *out)
{
	size_t rows = 0;
	msgpack_packer pk;

	for (uint32_t i = 0; i < m->count; i++)
		rows += m->baseline_weight[i] >= 1;
	pack_init(&pk, out);
	msgpack_pack_array(&pk, rows + 1);
	msgpack_pack_uint32(&pk, PAIR_FORMAT);
	for (uint32_t i = 0; i < m->count; i++)
		if (m->baseline_weight[i] >= 1)
			pack_row(&pk, m, i);
}

static bool is_array(const msgpack_object *o, uint32_t size)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= size;
}

static bool read_image(struct pair_model *m, const msgpack_object *o,
		       uint32_t *image)
{
	char name[PAIR_NAME_BYTES];

	if (!pack_copy_str(o, name, sizeof(name)))
		return false;
	*image = pair_model_image(m, name);
	return true;
}

static bool read_float(const msgpack_object *o, float *out)
{
	if (o->type != MSGPACK_OBJECT_FLOAT32 &&
	    o->type != MSGPACK_OBJECT_FLOAT64)
		return false;
	*out = (float)o->via.f64;
	return *out >= 0 && *out < 1e6f;
}

static bool read_cell(struct pair_model *m, uint32_t service,
		      const msgpack_object *o)
{
	const msgpack_object *e = o->via.array.ptr;
	float mean, variance;
	uint32_t image;

	if (!is_array(o, CELL_ELEMENTS) || !read_image(m, &e[0], &image) ||
	    !read_float(&e[1], &mean) || !read_float(&e[2], &variance))
		return false;
	m->slope_mean[service][image] = mean;
	m->slope_variance[service][image] = variance + HANDOVER_VARIANCE;
	return true;
}

static bool read_row(struct pair_model *m, const msgpack_object *o)
{
	const msgpack_object *e = o->via.array.ptr;
	float baseline, weight;
	uint32_t image;

	if (!is_array(o, ROW_ELEMENTS) || !read_image(m, &e[0], &image) ||
	    !read_float(&e[1], &baseline) || !read_float(&e[2], &weight) ||
	    !is_array(&e[3], 0))
		return false;
	m->baseline_ms[image] = baseline;
	m->baseline_weight[image] =
		weight < HANDOVER_WEIGHT_MAX ? weight : HANDOVER_WEIGHT_MAX;
	for (uint32_t i = 0; i < e[3].via.array.size; i++)
		if (!read_cell(m, image, &e[3].via.array.ptr[i]))
			return false;
	return true;
}

static bool read_model(struct pair_model *m, const msgpack_object *o)
{
	if (!is_array(o, 1) ||
	    o->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o->via.array.ptr[0].via.u64 != PAIR_FORMAT)
		return false;
	for (uint32_t i = 1; i < o->via.array.size; i++)
		if (!read_row(m, &o->via.array.ptr[i]))
			return false;
	return true;
}

int pair_model_decode(struct pair_model *m, const void *data, size_t len)
{
	msgpack_unpacked u;
	int ret = -1;

	if (pack_unpack(&u, data, len) && read_model(m, &u.data))
		ret = 0;
	msgpack_unpacked_destroy(&u);
	return ret;
}
