#include "sched-internal.h"

/*
 * A finite task takes longer in another rack than that of its data, so it waits
 * for room there. A service has no run time: its users are without it
 * meanwhile.
 */

/* A silent worker may be back; if it is lost, its entry is removed soon. */
static bool may_take(const struct sched_worker *w, const struct job *j,
		     const struct job_step *step)
{
	return w->listed && !w->draining && !w->entry_outdated &&
	       !w->evacuated && w->service == j->service &&
	       w->capacity.cpu_milli >= step->demand.cpu_milli &&
	       w->capacity.memory_mb >= step->demand.memory_mb &&
	       w->capacity.accelerators >= step->demand.accelerators &&
	       sched_worker_has_label(w, step->rack) &&
	       sched_worker_has_label(w, step->label);
}

bool sched_step_waits_for_rack(const struct sched *s, const struct job *j,
			       const struct job_step *step)
{
	if (!*step->rack || step->long_running)
		return false;
	for (uint32_t i = 0; i < s->worker_count; i++)
		if (may_take(&s->workers[i], j, step))
			return true;
	return false;
}
