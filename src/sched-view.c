#include <string.h>

#include "sched-internal.h"

bool sched_has_job(const struct sched *s, const char *id)
{
	return sched_job_find(s, id) || sched_ended_contains(s, id);
}

uint64_t sched_jobs_bytes(const struct sched *s)
{
	return s->job_bytes;
}

bool sched_job_state(const struct sched *s, const char *id, const char *queue,
		     enum sched_job_state *state)
{
	const struct job *j = sched_job_find(s, id);

	if (!j)
		return sched_ended_state(s, id, queue, state);
	if (strcmp(j->spec.queue, queue))
		return false;
	*state = j->state;
	/* An end is reported only once stored, so that it never reverts. */
	if (j->state >= SCHED_JOB_COMPLETED && (j->dirty || j->collected))
		*state = SCHED_JOB_RUNNING;
	return true;
}

uint32_t sched_waiting_jobs(const struct sched *s, const char *queue)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct job *j = &s->jobs[i];

		if (j->used && !j->started && j->state < SCHED_JOB_COMPLETED &&
		    !strcmp(j->spec.queue, queue))
			n++;
	}
	return n;
}

void sched_stats(const struct sched *s, struct sched_stats *out)
{
	*out = s->stats;
	out->workers_slow = s->slow_count;
	out->workers = 0;
	out->tasks_waiting = 0;
	out->tasks_running = 0;
	out->tasks_held = 0;
	for (int i = 0; i < TASK_SHARES; i++)
		out->tasks_held += s->tasks_used[i];
	out->jobs_pending = s->pending_count;
	out->jobs_bytes = s->job_bytes;
	out->workers_reporting = 0;
	out->jobs_moved_back = 0;
	out->moves_back = s->value.moves;
	for (uint32_t i = 0; i < s->value.group_count; i++)
		out->jobs_moved_back += s->value.groups[i].moved;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		out->workers += s->workers[i].listed;
		out->workers_reporting += s->workers[i].responsive;
	}
	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct job *j = &s->jobs[i];
		uint32_t count = job_spec_task_count(&j->spec);

		for (uint32_t k = 0; k < j->occurrence_count; k++)
			for (uint32_t m = 0;
			     j->occurrences[k].used && m < count; m++) {
				uint8_t state =
					s->tasks[j->occurrences[k].first_task +
						 m]
						.state;

				out->tasks_waiting += state == TASK_WAITING;
				out->tasks_running += state == TASK_RUNNING;
			}
	}
}
