#include <stdlib.h>

#include "sched-internal.h"

/*
 * Load pattern: a burst keeps all workers full with small tasks, which take all
 * freed resources at once, so that a large task would wait until the burst is
 * over. A task that fits nowhere therefore reserves its demand on the worker on
 * which it is expected to fit first, against all tasks later in order.
 */

/*
 * At most one reservation for that many listed workers, or part of as many,
 * because reservations leave cores idle; see docs/notes/platform.md.
 */
#define RESERVED_WORKERS_DIVISOR 8u
/*
 * Searches in one placement round that read the tasks of workers. Demands that
 * fit on no worker repeat theirs in each round; if services leave too little
 * CPU on all, this shows without reading any.
 */
#define SEARCHES_MAX 8u
/*
 * Searches in one placement round that read no tasks of workers. They still
 * pass over all workers.
 */
#define BLANK_SEARCHES_MAX 64u
/* Services use this part of the reservations and searches at most. */
#define SERVICES_DIVISOR 2u
/* An urgent task that would wait longer stops other tasks. */
#define PREEMPT_WAIT_US 150000u
/* A service reserves no room that becomes free later: others need it first. */
#define SERVICE_HORIZON_US 6000000u
/* Run times are estimates: a reservation may stay unused for longer. */
#define RESERVATION_OVERDUE_US 350000u
/* Tasks considered on a worker; further ones are assumed not to end. */
#define TASK_ENDS_MAX 64

struct task_end {
	uint64_t at_us;
	struct resources freed;
};

static int compare_task_ends(const void *a, const void *b);
static bool fits_after_ends(const struct sched_worker *w,
			    const struct resources *freed,
			    const struct job_step *step);
static uint64_t earliest_fit_us(const struct sched *s,
				const struct sched_worker *w,
				const struct job_step *step);

static int compare_task_ends(const void *a, const void *b)
{
	const struct task_end *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Whether a task of the step fits once the given resources are freed. */
static bool fits_after_ends(const struct sched_worker *w,
			    const struct resources *freed,
			    const struct job_step *step)
{
	const struct resources *used = &w->used, *reserved = &w->reserved;
	const struct resources *has = &w->capacity, *need = &step->demand;

	/* In 64 bits, as a job may demand any number. */
	return (uint64_t)used->cpu_milli + reserved->cpu_milli +
			       need->cpu_milli <=
		       (uint64_t)has->cpu_milli + freed->cpu_milli &&
	       (uint64_t)used->memory_mb + reserved->memory_mb +
			       need->memory_mb <=
		       (uint64_t)has->memory_mb + freed->memory_mb &&
	       (uint64_t)used->accelerators + reserved->accelerators +
			       need->accelerators <=
		       (uint64_t)has->accelerators + freed->accelerators;
}

/* Expected time at which a task of the step fits; UINT64_MAX: unknown. */
static uint64_t earliest_fit_us(const struct sched *s,
				const struct sched_worker *w,
				const struct job_step *step)
{
	struct task_end ends[TASK_ENDS_MAX];
	struct resources freed = { 0 };
	size_t n = 0;

	if (fits_after_ends(w, &freed, step))
		return s->now_us;
	for (uint32_t i = w->first_task; i != SCHED_NONE && n < TASK_ENDS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];
		const struct job_step *other = sched_task_step(s, t);

		if (t->state != TASK_STOPPING && other->long_running)
			continue;
		ends[n].at_us = t->state == TASK_STOPPING
					? s->now_us
					: t->state_since_us +
						  other->estimate_ms * 1000ull;
		ends[n].freed = other->demand;
		/* Their CPU is not counted against the capacity. */
		if (other->best_effort)
			ends[n].freed.cpu_milli = 0;
		n++;
	}
	qsort(ends, n, sizeof(ends[0]), compare_task_ends);
	for (size_t i = 0; i < n; i++) {
		freed.cpu_milli += ends[i].freed.cpu_milli;
		freed.memory_mb += ends[i].freed.memory_mb;
		freed.accelerators += ends[i].freed.accelerators;
		if (fits_after_ends(w, &freed, step))
			return ends[i].at_us < s->now_us ? s->now_us
							 : ends[i].at_us;
	}
	return UINT64_MAX;
}

void sched_reserve_reset(struct sched *s)
{
	s->reserved_count = 0;
	s->reserve_searches = 0;
	s->blank_searches = 0;
	s->listed_count = 0;
	s->silent_services = 0;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];

		w->reserved = (struct resources){ 0 };
		s->listed_count += w->listed;
		if (!w->responsive)
			s->silent_services += w->service_tasks;
	}
	s->reserved_max = (s->listed_count + RESERVED_WORKERS_DIVISOR - 1) /
			  RESERVED_WORKERS_DIVISOR;
}

static bool too_far(const struct sched *s, const struct job_step *step,
		    uint64_t at_us)
{
	return step->long_running && at_us > s->now_us + SERVICE_HORIZON_US;
}

/* Whether the task can keep the worker of its previous reservation. */
static bool keeps_reservation(const struct sched *s, const struct job *j,
			      const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	const struct sched_worker *w;
	uint64_t at_us;

	if (!t->reserved_on)
		return false;
	w = &s->workers[t->reserved_on - 1];
	if (!sched_worker_usable(s, w, j, step) ||
	    !sched_below_worker_max(s, w, t, step))
		return false;
	at_us = earliest_fit_us(s, w, step);
	return at_us != UINT64_MAX && !too_far(s, step, at_us);
}

/*
 * The worker on which the task is expected to fit first, or SCHED_NONE. Sets
 * read if the tasks of a worker were read.
 */
static uint32_t find_earliest_fit(const struct sched *s, const struct job *j,
				  const struct sched_task *t, uint64_t *at,
				  bool *read)
{
	const struct job_step *step = &j->spec.steps[t->step];
	struct room_query q = room_query_cpu(j->service, step, true);
	uint32_t best = SCHED_NONE;
	uint64_t earliest = UINT64_MAX;

	for (uint32_t i = room_index_next(&s->rooms, &q, 0); i != SCHED_NONE;
	     i = room_index_next(&s->rooms, &q, i + 1)) {
		const struct sched_worker *w = &s->workers[i];
		uint64_t at_us;

		if (w->capacity.memory_mb < step->demand.memory_mb ||
		    w->capacity.accelerators < step->demand.accelerators ||
		    !sched_worker_usable(s, w, j, step) ||
		    !sched_below_worker_max(s, w, t, step) ||
		    i == t->last_failed_worker)
			continue;
		*read = true;
		at_us = earliest_fit_us(s, w, step);
		if (at_us >= earliest || too_far(s, step, at_us))
			continue;
		earliest = at_us;
		best = i;
	}
	*at = earliest;
	return best;
}

uint32_t sched_reserve_searches_max(const struct job_step *step)
{
	return step->long_running ? SEARCHES_MAX / SERVICES_DIVISOR
				  : SEARCHES_MAX;
}

/* Sets blank if no worker can have room; the whole step need not search. */
static uint32_t choose_reservation(struct sched *s, const struct job *j,
				   struct sched_task *t, bool *blank)
{
	const struct job_step *step = &j->spec.steps[t->step];
	bool keeps = keeps_reservation(s, j, t);
	uint32_t best = keeps ? t->reserved_on - 1 : SCHED_NONE;
	uint32_t preempted;
	bool read = false;
	uint64_t at_us;

	/* Another worker would waste the reservation so far. */
	if (keeps && s->now_us < t->reserved_us + RESERVATION_OVERDUE_US)
		return best;
	if (s->blank_searches >= BLANK_SEARCHES_MAX ||
	    s->reserve_searches >= sched_reserve_searches_max(step))
		return best;
	if (!keeps)
		best = find_earliest_fit(s, j, t, &at_us, &read);
	if (!keeps && best != SCHED_NONE &&
	    at_us <= s->now_us + PREEMPT_WAIT_US) {
		s->reserve_searches++;
		return best;
	}
	preempted = sched_preempt(s, j, t, &read);
	s->reserve_searches += read;
	s->blank_searches += !read;
	*blank = (!read || (step->long_running && best == SCHED_NONE)) &&
		 !keeps && t->last_failed_worker == SCHED_NONE;
	if (preempted == SCHED_NONE)
		return best;
	/* Counts from the stops on. */
	t->reserved_on = 0;
	return preempted;
}

bool sched_reserve(struct sched *s, const struct job *j, struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t max = s->reserved_max;
	bool blank = false;
	uint32_t best;

	/* Overdue services come first in order. */
	if (step->long_running)
		max = (max + SERVICES_DIVISOR - 1) / SERVICES_DIVISOR;
	if (s->reserved_count >= max || step->best_effort)
		return true;
	best = choose_reservation(s, j, t, &blank);
	if (best == SCHED_NONE)
		return !blank;
	if (t->reserved_on != best + 1)
		t->reserved_us = s->now_us;
	t->reserved_on = best + 1;
	s->workers[best].reserved.cpu_milli += step->demand.cpu_milli;
	s->workers[best].reserved.memory_mb += step->demand.memory_mb;
	s->workers[best].reserved.accelerators += step->demand.accelerators;
	s->reserved_count++;
	sched_update_room(s, best);
	return true;
}
