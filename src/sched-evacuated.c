#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: an operator evacuates an availability zone with a quarter of
 * the workers while tasks are being placed and started there; the zone returns
 * after some time, and its workers may be cold then.
 *
 * What runs continues: to move it would cost its callers a time without
 * service, and is not asked for. Starts that may have been sent are given up by
 * a stop, as for a worker that drains: all copies of the run are void once the
 * worker has executed that, and the task is placed again when a report does not
 * list it. Starts that were not sent are placed again at once.
 */

static bool is_evacuated(const struct sched *s, const struct sched_worker *w)
{
	for (uint32_t i = 0; i < s->evacuated_count; i++)
		if (!strcmp(s->evacuated_zones[i], w->identity->zone))
			return true;
	return false;
}

/* A task whose record is being stored is placed again once that is known. */
static void withdraw_starts(struct sched *s, struct sched_worker *w)
{
	uint32_t i = w->first_task, placed = 0, sent = 0;

	while (i != SCHED_NONE) {
		struct sched_task *t = &s->tasks[i];

		i = t->next_on_worker;
		if (t->state == TASK_STARTING &&
		    (t->start_sent || t->unanswered)) {
			sent++;
			sched_task_stop(s, t);
		} else if (t->state == TASK_STARTING ||
			   t->state == TASK_PLACED) {
			placed++;
			sched_task_requeue(s, t, 0);
		}
	}
	if (placed || sent)
		log_event(LOG_INFO, "evacuation-withdrawn",
			  "worker=%s zone=%s placed=%u sent=%u",
			  w->identity->id, w->identity->zone, placed, sent);
}

void sched_check_evacuated(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = &s->workers[worker];
	bool evacuated = is_evacuated(s, w);

	if (evacuated == w->evacuated)
		return;
	w->evacuated = evacuated;
	s->placement_due = true;
	if (evacuated)
		withdraw_starts(s, w);
}

void sched_set_evacuated(struct sched *s, const char (*zones)[JOB_NAME_BYTES],
			 uint32_t count, uint64_t now_us)
{
	s->now_us = now_us;
	free(s->evacuated_zones);
	s->evacuated_zones = xcalloc(count + 1, sizeof(*s->evacuated_zones));
	if (count)
		memcpy(s->evacuated_zones, zones,
		       count * sizeof(*s->evacuated_zones));
	s->evacuated_count = count;
	for (uint32_t i = 0; i < s->worker_count; i++)
		sched_check_evacuated(s, i);
}
