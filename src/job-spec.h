#ifndef JOB_SPEC_H
#define JOB_SPEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "error.h"

/*
 * NAME
 *	job-spec - specification of a job: steps of tasks
 *
 * DESCRIPTION
 *	A specification is immutable once it is stored. job_spec_check()
 *	rejects one that can never run. It is stored as a msgpack array that
 *	begins with JOB_SPEC_FORMAT.
 *
 *	The policy of the queue is stored with it: the configuration may have
 *	dropped the queue when a new owner loads the job. Records of earlier
 *	versions end before the policy, and these versions ignore it.
 *
 * ERRORS
 *	Layer ERROR_LAYER_CORE, code JOB_SPEC_INVALID.
 *
 * UNITS
 *	Times in milliseconds, since 1970 if the name ends in _wall_ms;
 *	CPU in thousandths of a core; memory in MB.
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
	uint32_t estimate_ms;	 /* estimated duration of a task */
	uint32_t target_ms;	 /* tail latency target of a service; 0: none */
	uint32_t max_unavailable; /* tasks that may be down at once */
	uint32_t per_worker_max;  /* tasks of the step on one worker; 0: any */
	char label[JOB_NAME_BYTES]; /* required of the worker */
	char rack[JOB_NAME_BYTES];  /* preferred: location of the data */
	char image[JOB_NAME_BYTES]; /* tasks of one image interfere alike */
	uint32_t image_handle;	    /* set by the scheduler; not stored */
	uint64_t depends_on;	    /* bit N: depends on step N */
	bool checkpoints;
	bool gang;	/* no task makes progress unless all run */
	bool same_rack; /* a gang is slower across racks: prefer one */
	bool speculative;
	bool long_running; /* runs until the job is cancelled */
	bool best_effort;  /* uses CPU that other tasks leave idle */
};

struct queue_policy {
	char name[JOB_NAME_BYTES];
	char service[JOB_NAME_BYTES]; /* its workers run the tasks */
	uint32_t priority;	      /* 0: highest */
	uint32_t attempts_max;
	double stretch; /* allowed multiple of the critical path */
	uint32_t target_latency_ms;
};

struct job_spec {
	char id[JOB_ID_BYTES];
	char queue[JOB_NAME_BYTES];
	/* Of the queue, at acceptance. No service: unknown (old records). */
	struct queue_policy policy;
	uint64_t accepted_wall_ms;
	char *text;
	uint32_t repetitions; /* 0: runs once, immediately */
	uint64_t first_wall_ms;
	uint64_t interval_ms;
	uint32_t step_count;
	struct job_step *steps;
};

bool job_id_valid(const char *id);

/* Returns 0, or -1 with err set. */
int job_spec_check(const struct job_spec *s, struct error *err);

/* Number of tasks of one occurrence. */
uint32_t job_spec_task_count(const struct job_spec *s);

bool job_spec_long_running(const struct job_spec *s);

/* Length of the critical path by the estimates of the steps. */
uint32_t job_spec_critical_path_ms(const struct job_spec *s);

/* Appends the encoded specification. */
void job_spec_encode(const struct job_spec *s, struct buffer *out);

/* Fills s; free it with job_spec_free(). Returns 0, or -1 with err set. */
int job_spec_decode(struct job_spec *s, const void *data, size_t len,
		    struct error *err);
void job_spec_free(struct job_spec *s);

#endif
