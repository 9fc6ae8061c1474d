#ifndef JOB_WAITS_H
#define JOB_WAITS_H

#include <stdbool.h>
#include <stdio.h>

/*
 * NAME
 *	job-waits - what a job waited for, from log lines of all entry VMs
 *
 * DESCRIPTION
 *	job_waits_add() takes the lines in chronological order; those for which
 *	job_waits_uses_line() is false may be left out. job_waits_print() prints
 *	one line for each wait, with its begin relative to begin_s:
 *
 *	step	from step-waits until step-placed leaves none waiting: for how
 *		long, how many tasks of other jobs were placed meanwhile, and
 *		of a service, how many workers are ruled out by what,
 *		whether CPU is free beside their services, and whether the
 *		searches for reservations are used up
 *	task	a start without an answer (order-lost) or refused by its worker
 *		(order-refused), the calls to that worker that a relay lost or
 *		did not send, and the task's next event
 *
 *	A wait that no line ends lasts until the last line.
 */

struct job_waits;

struct job_waits *job_waits_create(const char *job_id);
void job_waits_free(struct job_waits *w);

/* Whether the line matters, although it may not mention the job. */
bool job_waits_uses_line(const char *text);

/* text is a line that log_line_parse() accepts; time_s its time. */
void job_waits_add(struct job_waits *w, double time_s, const char *text);

size_t job_waits_count(const struct job_waits *w);
void job_waits_print(const struct job_waits *w, double begin_s, FILE *out);

#endif
