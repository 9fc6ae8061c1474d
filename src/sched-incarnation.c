#include "log.h"
#include "sched-internal.h"
#include "sched-lost.h"

/*
 * Load pattern: workers are replaced, or crash, and start again under the id
 * that they had, some of them as another kind. Reports show the runs of one
 * incarnation; the entry in the store shows the service, zone, labels, room and
 * drain of one. Either may be late or missing, and an owner may learn of the
 * former incarnation by the records of the tasks alone.
 *
 * Nothing is placed on a worker whose entry and reports are of different
 * incarnations. A drain belongs to the incarnation whose entry shows it: the
 * tasks that it runs are noted as leaving, also in their records, and the end
 * of their worker is no crash under them.
 */

/* An incarnation that is not known is taken for the same. */
static bool is_outdated(const struct sched_worker *w)
{
	return w->entry_wall_ms && w->started_wall_ms &&
	       w->entry_wall_ms != w->started_wall_ms;
}

void sched_check_entry(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = &s->workers[worker];
	bool outdated = is_outdated(w);

	if (outdated == w->entry_outdated)
		return;
	w->entry_outdated = outdated;
	s->placement_due = true;
	log_event(LOG_INFO,
		  outdated ? "worker-entry-outdated" : "worker-entry-current",
		  "worker=%s entry_ms=%llu report_ms=%llu", w->identity->id,
		  (unsigned long long)w->entry_wall_ms,
		  (unsigned long long)w->started_wall_ms);
}

bool sched_worker_drains(const struct sched_worker *w)
{
	return w->draining && !w->entry_outdated;
}

bool sched_must_leave_drained(const struct sched *s, const struct sched_task *t)
{
	const struct job_step *step = sched_task_step(s, t);

	return t->state == TASK_RUNNING &&
	       (step->long_running || step->checkpoints);
}

/*
 * Stops long-running tasks and those with checkpoints. No order to start a task
 * may arrive there from now on.
 */
static void drain(struct sched *s, const struct sched_worker *w)
{
	uint32_t i = w->first_task;

	while (i != SCHED_NONE) {
		struct sched_task *t = &s->tasks[i];

		i = t->next_on_worker;
		if (!t->leaving)
			continue;
		if (t->state == TASK_STARTING || sched_must_leave_drained(s, t))
			sched_task_stop(s, t);
		else if (t->state == TASK_PLACED)
			sched_task_requeue(s, t, 0);
	}
}

/* Whether the run is one of the incarnation that started then. */
static bool runs_in(const struct sched_task *t, uint64_t started_wall_ms)
{
	return !t->incarnation ||
	       t->incarnation == sched_incarnation_tag(started_wall_ms);
}

void sched_note_draining(struct sched *s, uint32_t worker,
			 const struct sched_worker_info *info)
{
	struct sched_worker *w = &s->workers[worker];
	bool begins =
		info->draining &&
		(!w->draining || w->entry_wall_ms != info->started_wall_ms);

	w->draining = info->draining;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];

		if (t->leaving == info->draining ||
		    !runs_in(t, info->started_wall_ms))
			continue;
		t->leaving = info->draining;
		/* A successor may not see this entry. */
		sched_mark_dirty(s, &s->jobs[t->job]);
	}
	if (!begins)
		return;
	log_event(LOG_INFO, "worker-draining", "worker=%s", w->identity->id);
	drain(s, w);
}
