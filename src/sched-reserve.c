#include <stdlib.h>

#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: a burst keeps all workers full with small tasks, which take all
 * freed resources at once, so that a large task would wait until the burst is
 * over. A task that fits nowhere therefore reserves its demand on the worker on
 * which it is expected to fit first, against all tasks later in order.
 *
 * The members of a gang fit only together, so what one of them reserves stays
 * idle until all of them fit. The room of a gang is therefore limited in time,
 * not in size.
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
/*
 * Longest time for which a gang reserves room. The platform allows a job to
 * have nothing running for 3 s while room is free.
 */
#define GANG_TURN_US 2500000u
/* After it no gang reserves room for as long, so that other tasks start. */
#define GANG_PAUSE_US 2500000u
/* Least time between two turns of a gang, in which others may begin theirs. */
#define GANG_RETRY_US 500000u
/* Searches for members of a gang in one placement round. */
#define GANG_SEARCHES_MAX 4u
/* Tasks considered on a worker; further ones are assumed not to end. */
#define TASK_ENDS_MAX 64

struct task_end {
	uint64_t at_us;
	struct resources freed;
};

static int compare_task_ends(const void *a, const void *b);
static bool fits_after_ends(const struct sched_worker *w,
			    const struct resources *withheld,
			    const struct resources *freed,
			    const struct job_step *step);
static uint64_t earliest_fit_us(const struct sched *s,
				const struct sched_worker *w,
				const struct sched_task *task);

static int compare_task_ends(const void *a, const void *b)
{
	const struct task_end *x = a, *y = b;

	return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

/* Whether a task of the step fits once the given resources are freed. */
static bool fits_after_ends(const struct sched_worker *w,
			    const struct resources *withheld,
			    const struct resources *freed,
			    const struct job_step *step)
{
	const struct resources *used = &w->used, *reserved = &w->reserved;
	const struct resources *has = &w->capacity, *need = &step->demand;

	/* In 64 bits, as a job may demand any number. */
	return (uint64_t)used->cpu_milli + reserved->cpu_milli +
			       withheld->cpu_milli + need->cpu_milli <=
		       (uint64_t)has->cpu_milli + freed->cpu_milli &&
	       (uint64_t)used->memory_mb + reserved->memory_mb +
			       withheld->memory_mb + need->memory_mb <=
		       (uint64_t)has->memory_mb + freed->memory_mb &&
	       (uint64_t)used->accelerators + reserved->accelerators +
			       withheld->accelerators + need->accelerators <=
		       (uint64_t)has->accelerators + freed->accelerators;
}

/* Expected time at which a task of the step fits; UINT64_MAX: unknown. */
static uint64_t earliest_fit_us(const struct sched *s,
				const struct sched_worker *w,
				const struct sched_task *task)
{
	const struct job_step *step = sched_task_step(s, task);
	struct resources withheld = { 0 };
	struct task_end ends[TASK_ENDS_MAX];
	struct resources freed = { 0 };
	size_t n = 0;

	if (sched_leaves_room(s, task))
		withheld = w->stopped;
	if (fits_after_ends(w, &withheld, &freed, step))
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
		/*
		 * It may end at any time, but the other members would wait for
		 * it: it is expected to exceed its estimate by twice as much.
		 */
		if (step->gang && ends[n].at_us < s->now_us)
			ends[n].at_us = 2 * s->now_us - ends[n].at_us;
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
		if (fits_after_ends(w, &withheld, &freed, step))
			return ends[i].at_us < s->now_us ? s->now_us
							 : ends[i].at_us;
	}
	return UINT64_MAX;
}

void sched_reserve_reset(struct sched *s)
{
	s->reserved_count = 0;
	s->gang_reserved = false;
	s->reserve_searches = 0;
	s->blank_searches = 0;
	s->listed_count = 0;
	s->silent_services = 0;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];

		w->reserved = (struct resources){ 0 };
		s->listed_count += w->listed && !w->evacuated;
		if (!w->responsive)
			s->silent_services += w->service_tasks;
	}
	s->reserved_max = (s->listed_count + RESERVED_WORKERS_DIVISOR - 1) /
			  RESERVED_WORKERS_DIVISOR;
}

static bool too_far(const struct sched *s, const struct job_step *step,
		    uint64_t at_us)
{
	if (step->gang)
		return at_us > s->gang_turn_end_us;
	return step->long_running && at_us > s->now_us + SERVICE_HORIZON_US;
}

/* Whether the limit of tasks on one worker allows one more member there. */
static bool below_gang_max(const struct sched_task *t,
			   const struct job_step *step, uint32_t worker)
{
	const struct sched_task *first = t - t->index;
	uint32_t n = 0;

	for (uint32_t i = 0; step->per_worker_max && i < step->count; i++)
		n += i != t->index && first[i].reserved_on == worker + 1;
	return !n || n < step->per_worker_max;
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
	    !sched_below_worker_max(s, w, t, step) ||
	    (step->gang && !below_gang_max(t, step, t->reserved_on - 1)))
		return false;
	at_us = earliest_fit_us(s, w, t);
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
		    (step->gang && !below_gang_max(t, step, i)) ||
		    i == t->last_failed_worker)
			continue;
		*read = true;
		at_us = earliest_fit_us(s, w, t);
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

/* Adds a reservation of a task's demand to the worker's, or removes it. */
static void change_reserved(struct sched *s, uint32_t worker,
			    const struct job_step *step, bool add)
{
	struct resources *reserved = &s->workers[worker].reserved;
	const struct resources *need = &step->demand;

	if (add) {
		reserved->cpu_milli += need->cpu_milli;
		reserved->memory_mb += need->memory_mb;
		reserved->accelerators += need->accelerators;
	} else {
		reserved->cpu_milli -= need->cpu_milli;
		reserved->memory_mb -= need->memory_mb;
		reserved->accelerators -= need->accelerators;
	}
	sched_update_room(s, worker);
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
	change_reserved(s, best, step, true);
	s->reserved_count++;
	return true;
}

static void forget_members(const struct job_step *step,
			   struct sched_task *first)
{
	for (uint32_t i = 0; i < step->count; i++)
		first[i].reserved_on = 0;
}

/* Whether it is the gang's turn; begins one if no gang has one. */
static bool has_turn(struct sched *s, const struct job *j,
		     struct sched_task *first)
{
	const struct job_step *step = &j->spec.steps[first->step];
	uint32_t gang = (uint32_t)(first - s->tasks);

	if (s->gang == gang && s->now_us < s->gang_turn_end_us)
		return true;
	if (s->now_us < s->gang_next_us || s->now_us < first->reserved_us)
		return false;
	forget_members(step, first);
	s->gang = gang;
	s->gang_turn_end_us = s->now_us + GANG_TURN_US;
	s->gang_next_us = s->gang_turn_end_us + GANG_PAUSE_US;
	first->reserved_us = s->gang_next_us + GANG_RETRY_US;
	if (first->wait_logged_us)
		return true;
	first->wait_logged_us = s->now_us;
	log_event(LOG_INFO, "gang-reserves",
		  "job=%s step=%u tasks=%u cpu=%u memory_mb=%u age_ms=%llu",
		  j->spec.id, first->step, step->count, step->demand.cpu_milli,
		  step->demand.memory_mb,
		  (unsigned long long)sched_job_age_us(s, j) / 1000);
	return true;
}

/* The gang cannot fit in its turn: the pause is as long as the turn was. */
static void end_turn(struct sched *s, struct sched_task *first)
{
	uint64_t begin_us = s->gang_turn_end_us - GANG_TURN_US;

	s->gang_turn_end_us = s->now_us;
	s->gang_next_us = 2 * s->now_us - begin_us;
	first->reserved_us = s->gang_next_us + GANG_RETRY_US;
}

/* Of these members the first n have reservations in this round. */
static void give_back(struct sched *s, const struct job_step *step,
		      struct sched_task *first, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		if (first[i].reserved_on)
			change_reserved(s, first[i].reserved_on - 1, step,
					false);
	forget_members(step, first);
}

void sched_reserve_gang(struct sched *s, const struct job *j,
			struct sched_task *first)
{
	const struct job_step *step = &j->spec.steps[first->step];
	uint32_t searches = 0;

	/* An overdue service is visited several times in a round. */
	if (s->gang_reserved || step->best_effort || !has_turn(s, j, first))
		return;
	s->gang_reserved = true;
	for (uint32_t i = 0; i < step->count; i++) {
		struct sched_task *t = &first[i];
		uint32_t best;
		uint64_t at_us;
		bool read;

		if (!keeps_reservation(s, j, t)) {
			t->reserved_on = 0;
			/* The others follow in the next rounds. */
			if (searches++ >= GANG_SEARCHES_MAX)
				continue;
			best = find_earliest_fit(s, j, t, &at_us, &read);
			if (best == SCHED_NONE) {
				give_back(s, step, first, i);
				end_turn(s, first);
				return;
			}
			t->reserved_on = best + 1;
		}
		change_reserved(s, t->reserved_on - 1, step, true);
	}
}

void sched_gang_placed(struct sched *s, const struct job_step *step,
		       struct sched_task *first)
{
	if (s->gang == (uint32_t)(first - s->tasks) &&
	    s->now_us < s->gang_turn_end_us) {
		s->gang_turn_end_us = s->now_us;
		s->gang_next_us = s->now_us;
	}
	first->reserved_us = 0;
	first->wait_logged_us = 0;
	forget_members(step, first);
}
