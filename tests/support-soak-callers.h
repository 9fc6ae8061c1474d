#ifndef SUPPORT_SOAK_CALLERS_H
#define SUPPORT_SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "rng.h"
#include "support-jobs-platform.h"

/*
 * NAME
 *	support-soak-callers - callers with jobs, and a judge of what they see
 *
 * DESCRIPTION
 *	Each caller keeps a connection to every entry VM and hands in one job
 *	after the other: it repeats what got no answer at another entry VM,
 *	asks for the state and cancels some. The judge compares what callers
 *	were told with what the stand-in's workers did, and prints a line for
 *	each broken promise.
 */

#define SOAK_ENTRIES_MAX 16
#define SOAK_JOBS_MAX 2000

struct callers;

struct callers_options {
	struct event_base *base;
	struct jobs_platform *platform;
	const uint16_t *ports; /* of the entry VMs' front addresses */
	uint32_t entries;
	uint32_t callers;
	uint64_t seed;
};

struct callers *callers_create(const struct callers_options *o);
void callers_free(struct callers *c);

/* Faults began or ended; what needs calm is judged some seconds later. */
void callers_note_fault(struct callers *c);

/* No new jobs from now on. */
void callers_stop_submitting(struct callers *c);

/* Accepted jobs that are neither cancelled nor shown as completed. */
uint32_t callers_open_jobs(const struct callers *c);

/* Judges what must hold at the end; returns the promises broken so far. */
uint32_t callers_check(struct callers *c);
void callers_print_summary(const struct callers *c);

#endif
