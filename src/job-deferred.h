#ifndef JOB_DEFERRED_H
#define JOB_DEFERRED_H

#include <stdbool.h>
#include <stdint.h>

#include "job-spec.h"

/*
 * NAME
 *	job-deferred - stored jobs that the owner has no memory for
 *
 * DESCRIPTION
 *	The owner keeps the ids of jobs that it will read again, in the order in
 *	which it learnt of them. One that is due is read whether there is memory
 *	or not. A zeroed struct is empty. No input or output.
 */

struct deferred_job;

struct job_deferred {
	struct deferred_job *list;
	uint32_t first;
	uint32_t end;
	uint32_t capacity;
	uint32_t count;
	uint32_t due;
	uint32_t *buckets; /* indices by id */
	uint32_t bucket_count;
	char (*queues)[JOB_NAME_BYTES];
	uint32_t queue_count;
};

void job_deferred_free(struct job_deferred *d);
/* No effect if the job is known. */
void job_deferred_add(struct job_deferred *d, const char *id,
		      const char *queue);
bool job_deferred_contains(const struct job_deferred *d, const char *id);
void job_deferred_remove(struct job_deferred *d, const char *id);
/* Returns false if the job is unknown. */
bool job_deferred_set_due(struct job_deferred *d, const char *id);
/* Returns the job's queue, or NULL if the job is unknown. */
const char *job_deferred_queue(const struct job_deferred *d, const char *id);
/* The job is being read, or was not read and may be taken again. */
void job_deferred_set_taken(struct job_deferred *d, const char *id, bool taken);
/*
 * The first job that is not taken, only one that is due if due is true;
 * NULL: there is none. Valid until the next change.
 */
const char *job_deferred_next(const struct job_deferred *d, bool due);
/* Number of the queue's jobs that are not due. */
uint32_t job_deferred_waiting(const struct job_deferred *d, const char *queue);

#endif
