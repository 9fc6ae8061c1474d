#include "sched-internal.h"

/*
 * A job without a placed task for this time is placed beside any service. The
 * platform allows a wait of 3 s while resources are free.
 */
#define STARVATION_US 2000000u

/* By expected use; what services use is known only roughly. */
#define MOSTLY_IDLE_MAX_PERCENT 65u
/*
 * As the platform counts, which compares with half: by demand, without the CPU
 * of batch tasks. Their memory includes that of starts and stops under way,
 * which the platform does not count.
 */
#define MOSTLY_FREE_CPU_MAX_PERCENT 50u
#define MOSTLY_FREE_MEMORY_MAX_PERCENT 53u
/*
 * Such starts in one placement round: one for this many listed workers, so that
 * the room is counted again before the next.
 */
#define WORKERS_PER_START 3u

/* Whether the task can be started on the worker beside batch tasks. */
static bool has_room(const struct sched *s, const struct sched_worker *w,
		     const struct job *j, const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];

	return sched_worker_usable(s, w, j, step) && !w->probations &&
	       !w->over_target_since_us &&
	       (uint64_t)w->used.memory_mb + step->demand.memory_mb <=
		       w->capacity.memory_mb &&
	       (uint64_t)w->used.accelerators + step->demand.accelerators <=
		       w->capacity.accelerators &&
	       sched_below_worker_max(s, w, t, step);
}

/*
 * Returns the worker on which batch tasks claim the least of the CPU, of those
 * without expected interference, else the worker with the most headroom.
 */
static uint32_t least_disturbed_worker(struct sched *s, const struct job *j,
				       const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t best = SCHED_NONE;
	float best_headroom = 0;
	int64_t best_score = 0;

	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];
		float headroom;
		int64_t value;

		if (!has_room(s, w, j, t))
			continue;
		headroom = sched_interference_headroom(s, w, step);
		if (headroom > 0)
			headroom = 0;
		value = sched_worker_score(s, w, step, t);
		if (best != SCHED_NONE &&
		    (headroom < best_headroom ||
		     (headroom == best_headroom && value <= best_score)))
			continue;
		best = i;
		best_headroom = headroom;
		best_score = value;
	}
	return best;
}

bool sched_mostly_idle(struct sched *s, uint32_t service)
{
	uint64_t used_milli = 0, demand_milli = 0, capacity_milli = 0;
	uint64_t used_mb = 0, capacity_mb = 0;

	if (s->idle_known && s->idle_service == service)
		return s->idle;

	for (uint32_t i = 0; i < s->worker_count; i++) {
		const struct sched_worker *w = &s->workers[i];

		if (!w->listed || w->evacuated || w->service != service)
			continue;
		capacity_milli += w->capacity.cpu_milli;
		capacity_mb += w->capacity.memory_mb;
		demand_milli += w->used.cpu_milli;
		used_milli += w->used.cpu_milli + w->best_effort_milli -
			      w->service_milli *
				      (100 - SERVICE_CPU_USE_PERCENT) / 100;
		used_mb += w->used.memory_mb;
	}
	s->idle_known = true;
	s->idle_service = service;
	s->starved_unmet_mb = UINT32_MAX;
	s->idle =
		used_milli * 100 < capacity_milli * MOSTLY_IDLE_MAX_PERCENT ||
		(demand_milli * 100 <
			 capacity_milli * MOSTLY_FREE_CPU_MAX_PERCENT &&
		 used_mb * 100 < capacity_mb * MOSTLY_FREE_MEMORY_MAX_PERCENT);
	return s->idle;
}

static bool has_no_placed_task(const struct sched *s, const struct job *j)
{
	uint32_t count = job_spec_task_count(&j->spec);

	for (uint32_t i = 0; i < j->occurrence_count; i++)
		for (uint32_t k = 0; j->occurrences[i].used && k < count; k++)
			if (s->tasks[j->occurrences[i].first_task + k].worker !=
			    SCHED_NONE)
				return false;
	return true;
}

/* Constrained steps are left out: they say nothing about other steps. */
static void record_unmet(struct sched *s, const struct job_step *step)
{
	if (*step->label || step->per_worker_max || step->demand.accelerators)
		return;
	if (step->demand.memory_mb < s->starved_unmet_mb)
		s->starved_unmet_mb = step->demand.memory_mb;
}

uint32_t sched_starved_worker(struct sched *s, const struct job *j,
			      const struct sched_task *t)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t best;

	if (s->now_us <= t->state_since_us + STARVATION_US ||
	    s->starved_starts * WORKERS_PER_START >= s->listed_count ||
	    !sched_mostly_idle(s, j->service) ||
	    step->demand.memory_mb >= s->starved_unmet_mb ||
	    !has_no_placed_task(s, j))
		return SCHED_NONE;
	best = least_disturbed_worker(s, j, t);
	if (best == SCHED_NONE)
		record_unmet(s, step);
	else
		s->starved_starts++;
	return best;
}
