#include <stdlib.h>

#include "buffer.h"
#include "sched-internal.h"

/*
 * Load pattern: overloaded workers refuse some orders, leave others without an
 * answer and execute these seconds later.
 *
 * A refusal concerns one copy of an order only. So a start that is refused
 * after a copy without an answer is given up by a stop: once the worker has
 * executed that, it rejects all copies of the run. The task is placed again
 * when a report that was requested afterwards does not list it. The stop itself
 * is repeated until it is executed.
 */

/* Delay before a stop that was refused is ordered again. */
#define STOP_RETRY_DELAY_US 100000u

void sched_task_stop(struct sched *s, struct sched_task *t)
{
	if (t->state != TASK_STOPPING)
		t->stopped_at_start = t->state == TASK_STARTING;
	sched_task_set_state(s, t, TASK_STOPPING);
	t->state_since_us = s->now_us;
	t->confirmed = false;
	sched_task_order(s, t, SCHED_STOP);
}

void sched_start_refused(struct sched *s, struct sched_task *t,
			 uint32_t delay_ms)
{
	if (!t->unanswered) {
		sched_task_requeue(s, t, delay_ms);
		return;
	}
	t->retry_us = s->now_us + delay_ms * 1000u;
	sched_task_stop(s, t);
}

static void add_retry(struct sched *s, struct stop_retry r)
{
	s->stop_retries =
		xrealloc(s->stop_retries,
			 (s->stop_retry_count + 1) * sizeof(*s->stop_retries));
	s->stop_retries[s->stop_retry_count++] = r;
}

void sched_stop_result(struct sched *s, struct sched_task *t,
		       enum sched_result result)
{
	t->state_since_us = s->now_us;
	switch (result) {
	case SCHED_OK:
	case SCHED_STALE_RUN:
		/* The next report no longer lists the run. */
		t->confirmed = true;
		break;
	case SCHED_NOT_SENT:
	case SCHED_OUTCOME_UNKNOWN:
		t->confirmed = false;
		sched_task_order(s, t, SCHED_STOP);
		break;
	default:
		t->confirmed = false;
		add_retry(s, (struct stop_retry){
				     .task = (uint32_t)(t - s->tasks),
				     .run = t->run,
				     .worker = t->worker,
				     .due_us = s->now_us + STOP_RETRY_DELAY_US,
			     });
		break;
	}
}

void sched_stops_tick(struct sched *s)
{
	struct stop_retry *list = s->stop_retries;
	uint32_t count = s->stop_retry_count;

	s->stop_retries = NULL;
	s->stop_retry_count = 0;
	for (uint32_t i = 0; i < count; i++) {
		struct sched_task *t = &s->tasks[list[i].task];

		if (t->run != list[i].run || t->worker != list[i].worker ||
		    t->state != TASK_STOPPING || t->confirmed)
			continue;
		if (s->now_us < list[i].due_us)
			add_retry(s, list[i]);
		else
			sched_task_order(s, t, SCHED_STOP);
	}
	free(list);
}

bool sched_worker_has_given_up_start(const struct sched *s, uint32_t worker)
{
	for (uint32_t i = s->workers[worker].first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (s->tasks[i].state == TASK_STOPPING &&
		    s->tasks[i].unanswered)
			return true;
	return false;
}
