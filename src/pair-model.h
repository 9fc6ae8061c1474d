#ifndef PAIR_MODEL_H
#define PAIR_MODEL_H

#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	pair-model - how much batch images slow service images, learnt online
 *
 * DESCRIPTION
 *	A service's tail latency beside batch work is taken as
 *		alone * (1 + sum over batch tasks of slope * part)
 *	where part is the share of the worker's processors that the batch task
 *	uses. "alone" is a running mean for each service image. The slopes of
 *	a pair of images are estimated by a Kalman filter with a diagonal
 *	covariance, one step for each observation; they are never negative.
 *
 *	Images are small handles. When the table is full, further images share
 *	the handle of the empty name.
 *
 * UNITS
 *	Latency in milliseconds; parts between 0 and 1.
 */

#define PAIR_IMAGES_MAX 48
#define PAIR_NAME_BYTES 64

struct pair_load {
	uint32_t image; /* of a batch task */
	float cpu_share;
};

struct pair_model {
	uint32_t count;
	char names[PAIR_IMAGES_MAX][PAIR_NAME_BYTES];
	float baseline_ms[PAIR_IMAGES_MAX];
	float baseline_weight[PAIR_IMAGES_MAX];
	float slope_mean[PAIR_IMAGES_MAX][PAIR_IMAGES_MAX];
	float slope_variance[PAIR_IMAGES_MAX][PAIR_IMAGES_MAX];
};

void pair_model_init(struct pair_model *m);

/* Handle of an image, added on first use. */
uint32_t pair_model_image(struct pair_model *m, const char *name);

/*
 * A service's tail while the loads ran beside it. The caller leaves out
 * observations during which the loads changed.
 */
void pair_model_observe(struct pair_model *m, uint32_t service, float tail_ms,
			float target_ms, const struct pair_load *loads,
			size_t count);

/* Expected slowdown that one load causes: 0 for none, 1 for twice the tail. */
float pair_model_slowdown(const struct pair_model *m, uint32_t service,
			  const struct pair_load *load);

/* Appends what was learnt, in a form that names images. */
void pair_model_encode(const struct pair_model *m, struct buffer *out);

/*
 * Adds what another model learnt; estimates lose certainty on the way. Returns
 * 0, or -1 when the form is malformed.
 */
int pair_model_decode(struct pair_model *m, const void *data, size_t len);

/* Expected tail alone; target_ms serves for an image not seen yet. */
float pair_model_baseline(const struct pair_model *m, uint32_t service,
			  float target_ms);

#endif
