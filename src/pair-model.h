#ifndef PAIR_MODEL_H
#define PAIR_MODEL_H

#include <stddef.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	pair-model - estimates the interference of batch images with services
 *
 * DESCRIPTION
 *	The tail latency of a service beside batch tasks is modelled as
 *		baseline * (1 + sum over batch tasks of slope * cpu_share)
 *	where cpu_share is the share of the worker's CPU that the batch task
 *	uses. The baseline is a running mean for each service image. The slope
 *	of each pair of images is estimated by a Kalman filter with a diagonal
 *	covariance, one step for each observation, and is never negative.
 *
 *	Images are identified by small integers. When the table is full, further
 *	images share the one of the empty name.
 *
 * UNITS
 *	Latency in milliseconds; CPU shares from 0 to 1.
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

/* Returns the number of an image, added on first use. */
uint32_t pair_model_image(struct pair_model *m, const char *name);

/*
 * Updates the model with the tail latency of a service beside the loads, which
 * must not have changed during the measurement.
 */
void pair_model_observe(struct pair_model *m, uint32_t service, float tail_ms,
			float target_ms, const struct pair_load *loads,
			size_t count);

/* Expected slowdown by one load; 1: twice the baseline latency. */
float pair_model_slowdown(const struct pair_model *m, uint32_t service,
			  const struct pair_load *load);

/* Appends the estimates, with images by name. */
void pair_model_encode(const struct pair_model *m, struct buffer *out);

/*
 * Loads the estimates of another model, with a higher variance. Returns 0, or
 * -1 if the data is malformed.
 */
int pair_model_decode(struct pair_model *m, const void *data, size_t len);

/* Expected latency without batch tasks; by target_ms for a new image. */
float pair_model_baseline(const struct pair_model *m, uint32_t service,
			  float target_ms);

#endif
