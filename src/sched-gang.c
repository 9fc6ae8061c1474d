#include <string.h>

#include "sched-internal.h"

/*
 * Longest wait for the rack of the data, in percent of the step's estimate. On
 * another rack the step takes remote-factor times as long.
 */
#define RACK_WAIT_PERCENT 50u

uint64_t sched_rack_wait_us(const struct job_step *step)
{
	return step->estimate_ms * 10ull * RACK_WAIT_PERCENT;
}

/* Places all members or none; returns whether it placed them. */
static bool try_gang(struct sched *s, struct job *j, struct sched_task *first,
		     const char *rack)
{
	const struct job_step *step = &j->spec.steps[first->step];
	uint64_t since_us = first->state_since_us;
	uint32_t placed = 0, run = 0;

	for (uint32_t i = 0; i < step->count; i++)
		if (first[i].run > run)
			run = first[i].run;
	for (; placed < step->count; placed++) {
		/* Members start together: none can run without the others. */
		uint32_t w =
			sched_best_worker(s, j, &first[placed], rack, true);

		if (w == SCHED_NONE)
			break;
		first[placed].run = run;
		sched_task_place(s, &first[placed], w);
	}
	if (placed == step->count)
		return true;
	while (placed--) {
		sched_task_release(s, &first[placed]);
		first[placed].run = run;
		sched_task_set_state(s, &first[placed], TASK_WAITING);
		/* The try does not end the wait for a rack. */
		first[placed].state_since_us = since_us;
	}
	return false;
}

static bool place_somewhere(struct sched *s, struct job *j,
			    struct sched_task *first, bool *any_rack)
{
	const struct job_step *step = &j->spec.steps[first->step];

	*any_rack =
		s->now_us >= first->state_since_us + sched_rack_wait_us(step) ||
		(!step->same_rack && !sched_step_waits_for_rack(s, j, step));
	if (*step->rack && try_gang(s, j, first, step->rack))
		return true;
	if (step->same_rack)
		for (uint32_t i = 0; i < s->worker_count; i++) {
			const char *rack = s->workers[i].identity->labels[1];

			if (*rack && try_gang(s, j, first, rack))
				return true;
		}
	return *any_rack && try_gang(s, j, first, NULL);
}

void sched_place_gang(struct sched *s, struct job *j, struct sched_task *first,
		      bool reserve)
{
	const struct job_step *step = &j->spec.steps[first->step];
	char checkpoint[SCHED_CHECKPOINT_BYTES] = "";
	bool any_rack;

	for (uint32_t i = 0; i < step->count; i++) {
		if (first[i].state != TASK_WAITING ||
		    s->now_us < first[i].retry_us)
			return;
		/* All members resume from the checkpoint of the longest run. */
		if (strcmp(first[i].checkpoint, checkpoint) > 0)
			memcpy(checkpoint, first[i].checkpoint,
			       sizeof(checkpoint));
	}
	for (uint32_t i = 0; i < step->count; i++)
		memcpy(first[i].checkpoint, checkpoint, sizeof(checkpoint));
	if (place_somewhere(s, j, first, &any_rack))
		sched_gang_placed(s, step, first);
	else if (reserve && any_rack)
		sched_reserve_gang(s, j, first);
}
