#ifndef SCHED_LOST_H
#define SCHED_LOST_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	sched-lost - runs lost on silent workers
 *
 * DESCRIPTION
 *	Part of the scheduling core. A run that ends with the leases of a silent
 *	worker counts as a loss of its task (sched-crash.c), unless the worker
 *	is still listed, and is kept here until it is known whether the worker
 *	has crashed. The table refers to tasks by name and run.
 *
 *	The functions of type bool return true if the task's job must fail.
 */

struct sched;
struct sched_task;

/*
 * Identifies a worker's incarnation in progress records; 0: unknown. Two of one
 * worker have equal tags with a probability of 1 in 2^27.
 */
uint32_t sched_incarnation_tag(uint64_t started_wall_ms);
/* The run of a task on a silent worker is over with the worker's leases. */
bool sched_lost_silent(struct sched *s, struct sched_task *t);
/* A new owner does not find the run of a task on its worker, which reports. */
bool sched_lost_absent(struct sched *s, struct sched_task *t);
/* The task is restored: a predecessor may have counted losses. */
void sched_lost_inherited(struct sched *s, const struct sched_task *t);
/*
 * The worker's present incarnation is known: runs that were lost there ended
 * with an earlier one, or lapsed.
 */
void sched_lost_resolve(struct sched *s, uint32_t worker,
			uint64_t started_wall_ms);
/*
 * Another incarnation, whose start is not known yet, answers at the worker's
 * address.
 */
void sched_lost_replaced(struct sched *s, uint32_t worker);
/*
 * Drops runs whose tasks have ended or have outlived the loss, and looks for
 * workers that have started since.
 */
void sched_lost_tick(struct sched *s);

#endif
