#include <stdio.h>
#include <string.h>

#include "pair-model.h"

/*
 * Slowdown per part of a worker's processors that an untried pair is expected
 * to cause: one task on a twelfth of a worker may be tried beside a service,
 * several may not.
 */
#define PRIOR_MEAN 3.0f
#define PRIOR_VARIANCE 400.0f
/* Interference changes within seconds, so certainty is lost again. */
#define DRIFT_VARIANCE 0.5f
/* Of a relative tail: the service's own load alone moves it by 40%. */
#define MEASURE_VARIANCE 0.16f
#define SLOPE_MAX 150.0f
/* A tail far above all others carries no more information than this one. */
#define SLOWDOWN_MAX 12.0f
/* Part of the target that an image not seen yet is expected to need alone. */
#define ALONE_DEFAULT 0.45f
#define ALONE_WEIGHT_MAX 200.0f

void pair_model_init(struct pair_model *m)
{
	memset(m, 0, sizeof(*m));
	for (int i = 0; i < PAIR_IMAGES_MAX; i++)
		for (int k = 0; k < PAIR_IMAGES_MAX; k++) {
			m->mean[i][k] = PRIOR_MEAN;
			m->variance[i][k] = PRIOR_VARIANCE;
		}
	m->count = 1; /* handle 0 is the empty name */
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

float pair_model_alone(const struct pair_model *m, uint32_t service,
		       float target_ms)
{
	if (m->alone_weight[service] < 1)
		return target_ms * ALONE_DEFAULT;
	return m->alone_ms[service];
}

float pair_model_slowdown(const struct pair_model *m, uint32_t service,
			  const struct pair_load *load)
{
	return m->mean[service][load->image] * load->part;
}

static void observe_alone(struct pair_model *m, uint32_t service, float tail_ms)
{
	float *weight = &m->alone_weight[service];

	if (*weight < ALONE_WEIGHT_MAX)
		*weight += 1;
	m->alone_ms[service] += (tail_ms - m->alone_ms[service]) / *weight;
}

void pair_model_observe(struct pair_model *m, uint32_t service, float tail_ms,
			float target_ms, const struct pair_load *loads,
			size_t count)
{
	float alone = pair_model_alone(m, service, target_ms);
	float slowdown = tail_ms / (alone > 1 ? alone : 1) - 1;
	float total = MEASURE_VARIANCE;
	float expected = 0;

	if (!count) {
		if (tail_ms < target_ms)
			observe_alone(m, service, tail_ms);
		return;
	}
	if (slowdown > SLOWDOWN_MAX)
		slowdown = SLOWDOWN_MAX;
	for (size_t i = 0; i < count; i++) {
		float *variance = &m->variance[service][loads[i].image];

		if (*variance < PRIOR_VARIANCE)
			*variance += DRIFT_VARIANCE;
		total += loads[i].part * loads[i].part * *variance;
		expected += pair_model_slowdown(m, service, &loads[i]);
	}
	for (size_t i = 0; i < count; i++) {
		float *mean = &m->mean[service][loads[i].image];
		float *variance = &m->variance[service][loads[i].image];
		float gain = *variance * loads[i].part / total;

		*mean += gain * (slowdown - expected);
		if (*mean < 0)
			*mean = 0;
		if (*mean > SLOPE_MAX)
			*mean = SLOPE_MAX;
		*variance *= 1 - gain * loads[i].part;
	}
}
