#include <stdlib.h>

#include "sched-internal.h"

/*
 * Load pattern: a burst keeps all workers full with small tasks. Each piece
 * that becomes free is taken at once, so the hole that a large task needs never
 * opens, and it waits until the burst is over. So a task that is next in order
 * and fits nowhere holds the worker on which it fits first.
 */

/*
 * Part of the listed workers that may be held at once, since that leaves cores
 * idle. An eighth did best of those tried, see docs/notes/platform.md.
 */
#define HELD_PART 8u
/* Tasks looked at on a worker; of more, the others count as staying. */
#define ENDS_MAX 64

struct task_end {
	uint64_t at_us;
	struct room room;
};

static int by_time(const void *a, const void *b);
static bool has_room(const struct worker *w, const struct room *free_up,
		     const struct job_step *step);
static uint64_t fits_at_us(const struct sched *s, const struct worker *w,
			   const struct job_step *step);

static int by_time(const void *a, const void *b)
{
	const struct task_end *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Whether the step's task fits beside what is held, with some more room. */
static bool has_room(const struct worker *w, const struct room *free_up,
		     const struct job_step *step)
{
	return w->used.cpu_milli + w->held.cpu_milli + step->need.cpu_milli <=
		       w->capacity.cpu_milli + free_up->cpu_milli &&
	       w->used.memory_mb + w->held.memory_mb + step->need.memory_mb <=
		       w->capacity.memory_mb + free_up->memory_mb &&
	       w->used.accelerators + w->held.accelerators +
			       step->need.accelerators <=
		       w->capacity.accelerators + free_up->accelerators;
}

/* When enough tasks of the worker are expected to have ended, or UINT64_MAX. */
static uint64_t fits_at_us(const struct sched *s, const struct worker *w,
			   const struct job_step *step)
{
	struct task_end ends[ENDS_MAX];
	struct room free_up = { 0 };
	size_t n = 0;

	if (has_room(w, &free_up, step))
		return s->now_us;
	for (uint32_t i = w->first_task; i != SCHED_NONE && n < ENDS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *other = sched_step_of(s, t);

		if (other->lasts || other->fills)
			continue;
		ends[n].at_us = t->since_us + other->estimate_ms * 1000ull;
		ends[n++].room = other->need;
	}
	qsort(ends, n, sizeof(ends[0]), by_time);
	for (size_t i = 0; i < n; i++) {
		free_up.cpu_milli += ends[i].room.cpu_milli;
		free_up.memory_mb += ends[i].room.memory_mb;
		free_up.accelerators += ends[i].room.accelerators;
		if (has_room(w, &free_up, step))
			return ends[i].at_us < s->now_us ? s->now_us
							 : ends[i].at_us;
	}
	return UINT64_MAX;
}

void sched_reserve_reset(struct sched *s)
{
	s->held_count = 0;
	s->held_max = 0;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		s->workers[i].held = (struct room){ 0 };
		s->held_max += s->workers[i].listed;
	}
	s->held_max /= HELD_PART;
}

void sched_reserve(struct sched *s, const struct job *j, const struct task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t index = (uint32_t)(t - s->tasks);
	uint32_t best = SCHED_NONE;
	uint64_t earliest = UINT64_MAX;

	if (s->held_count >= s->held_max || step->fills)
		return;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct worker *w = &s->workers[i];
		uint64_t at_us;

		if (!sched_worker_usable(s, w, j, step) || i == t->avoid)
			continue;
		at_us = fits_at_us(s, w, step);
		if (at_us == UINT64_MAX)
			continue;
		/* A change of the worker would waste what was held so far. */
		if (w->held_for == index)
			at_us = 0;
		if (at_us >= earliest)
			continue;
		earliest = at_us;
		best = i;
	}
	if (best == SCHED_NONE)
		return;
	s->workers[best].held_for = index;
	s->workers[best].held.cpu_milli += step->need.cpu_milli;
	s->workers[best].held.memory_mb += step->need.memory_mb;
	s->workers[best].held.accelerators += step->need.accelerators;
	s->held_count++;
}
