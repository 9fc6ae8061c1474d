#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "error.h"
#include "job-spec.h"

/*
 * NAME
 *	admission - refusal of submissions that cannot end in time
 *
 * DESCRIPTION
 *	The owner stores a summary of how long new jobs of each queue wait.
 *	Entry VMs decide by it; this module has the summary's encoding and the
 *	decision, and no input or output.
 *
 *	A job is of use until ADMISSION_USEFUL_FACTOR times its objective. It
 *	is refused if the wait and its own work take longer. Without a summary
 *	of the present owner that names the queue and is recent, it is
 *	accepted, as are services, jobs with repetitions, gangs and jobs
 *	without an estimate.
 *
 *	The summary is a msgpack array that begins with a format number and the
 *	owner's epoch. Later versions may append elements to it and its rows.
 *
 * ERRORS
 *	Layer ERROR_LAYER_STORE, code ADMISSION_LOAD_INVALID.
 *
 * UNITS
 *	now_us, as_of_us: CLOCK_BOOTTIME in microseconds.
 */

/* Callers get nothing for a job that ends later than this many objectives. */
#define ADMISSION_USEFUL_FACTOR 3u
/* Two summaries may be lost, as they are stored once a second. */
#define ADMISSION_LOAD_AGE_MAX_US 3000000u
#define ADMISSION_RETRY_AFTER_MAX_S 10u
/* Below it the delay of a summary is of the order of the wait. */
#define ADMISSION_WAIT_MIN_MS 1000u
/* Bounds the summary's size to 5 KB; further queues are not named. */
#define ADMISSION_QUEUES_MAX 64u
#define ADMISSION_LOAD_INVALID 2

struct admission_queue {
	char name[JOB_NAME_BYTES];
	uint32_t wait_ms;
	uint32_t ratio_milli; /* of run times to their estimates */
};

/* A zeroed struct is no summary. */
struct admission_load {
	uint64_t epoch;	   /* of the owner that stored it */
	uint64_t as_of_us; /* it was stored later; 0: not known when */
	uint32_t count;
	struct admission_queue queues[ADMISSION_QUEUES_MAX];
};

/* Appends the encoded summary. */
void admission_load_encode(const struct admission_load *l, struct buffer *out);
/* Returns 0, or -1 with err set and l zeroed. */
int admission_load_decode(struct admission_load *l, const void *data,
			  size_t len, struct error *err);
/* Whether a queue has a wait that a summary is stored for. */
bool admission_load_has_wait(const struct admission_load *l);

/*
 * Whether the job is to be refused; then sets after how many seconds it would
 * be accepted if nothing else is submitted. epoch: of the present owner, 0 if
 * there is none.
 */
bool admission_refuses(const struct admission_load *l, uint64_t epoch,
		       const struct job_spec *spec, uint64_t now_us,
		       uint32_t *retry_after_s);

#endif
