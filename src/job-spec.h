#ifndef JOB_SPEC_H
#define JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "error.h"

/*
 * NAME
 *	job-spec - what a caller handed in: steps of tasks
 *
 * DESCRIPTION
 *	A job is immutable once it is stored. job_spec_check() refuses what
 *	could never be run as described. The stored form is a msgpack array
 *	that begins with JOB_SPEC_FORMAT.
 *
 * ERRORS
 *	Layer ERROR_LAYER_CORE, code JOB_SPEC_INVALID.
 *
 * UNITS
 *	Times in milliseconds, wall clock since 1970 where the name ends in
 *	_wall_ms; processors in thousandths of a core; memory in MB.
 */

#define JOB_ID_CHARS 16
#define JOB_ID_BYTES (JOB_ID_CHARS + 1)
#define JOB_NAME_BYTES 64
#define JOB_TEXT_MAX_BYTES 4000
#define JOB_STEPS_MAX 64
#define JOB_TASKS_MAX 4096	 /* of one occurrence */
#define JOB_REPETITIONS_MAX 4096 /* of a scheduled job */
#define JOB_SPEC_FORMAT 1
#define JOB_SPEC_INVALID 1

struct resources {
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
};

struct job_step {
	uint32_t count;
	struct resources demand; /* of each task */
	uint32_t estimate_ms;	 /* rough duration of a task */
	uint32_t
		target_ms; /* bound of a service task's tail latency; 0: none */
	uint32_t max_unavailable; /* tasks that the scheduler may take down at
				     once */
	uint32_t per_worker_max;  /* tasks of the step on one worker; 0: any */
	char label[JOB_NAME_BYTES]; /* that the worker must have */
	char rack[JOB_NAME_BYTES];  /* where the data lies */
	char image[JOB_NAME_BYTES]; /* tasks of one image behave alike */
	uint32_t image_handle;	    /* set by the decision core; not stored */
	uint64_t depends_on;	    /* bit N: step N has to be done first */
	bool checkpoints;
	bool gang;	/* all tasks run at once, or none makes progress */
	bool same_rack; /* a gang is slow across racks */
	bool speculative;
	bool long_running; /* runs until the job is cancelled */
	bool best_effort;  /* uses processor time that others leave */
};

struct job_spec {
	char id[JOB_ID_BYTES];
	char queue[JOB_NAME_BYTES];
	uint64_t accepted_wall_ms;
	char *text;
	uint32_t repetitions; /* 0: the steps run once, at once */
	uint64_t first_wall_ms;
	uint64_t interval_ms;
	uint32_t step_count;
	struct job_step *steps;
};

bool job_id_valid(const char *id);

/* Returns 0, or -1 with err set. */
int job_spec_check(const struct job_spec *s, struct error *err);

/* Tasks of one occurrence. */
uint32_t job_spec_task_count(const struct job_spec *s);

bool job_spec_long_running(const struct job_spec *s);

/* Length of the longest chain of estimated work, in milliseconds. */
uint32_t job_spec_critical_path_ms(const struct job_spec *s);

/* Appends the stored form. */
void job_spec_encode(const struct job_spec *s, struct buffer *out);

/* Fills s, to be freed by job_spec_free(). Returns 0, or -1 with err set. */
int job_spec_decode(struct job_spec *s, const void *data, size_t len,
		    struct error *err);
void job_spec_free(struct job_spec *s);

#endif
