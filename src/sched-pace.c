#include "log.h"
#include "sched-internal.h"

/* A tail above this part of its target slows what fills beside it. */
#define OVER_PERCENT 95u
/* Below this part of every target, what fills may speed up again. */
#define CALM_PERCENT 65u
/* The figures are of the last half second, so a step waits for its effect. */
#define PACE_INTERVAL_US 600000u
#define PACE_UP 15u
/* The second step down stops what fills: within half of the allowed time. */
#define PACE_FIRST_DOWN 35u

/* Highest tail of the worker's services, in percent of the target. */
static uint32_t worst_tail(const struct sched *s, const struct worker *w)
{
	uint32_t worst = 0;

	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		const struct task *t = &s->tasks[i];
		const struct job_step *step = sched_step_of(s, t);
		uint32_t percent;

		if (!step->lasts || !step->target_ms ||
		    t->state != TASK_RUNNING)
			continue;
		percent = (uint32_t)(t->figure * 100ull / step->target_ms);
		if (percent > worst)
			worst = percent;
	}
	return worst;
}

static void apply_pace(struct sched *s, uint32_t worker)
{
	struct worker *w = &s->workers[worker];

	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct task *t = &s->tasks[i];
		struct sched_order o = { .type = SCHED_PACE,
					 .worker = worker,
					 .run = t->run,
					 .percent = w->pace,
					 .text = "",
					 .checkpoint = "" };

		if (!sched_step_of(s, t)->fills || t->state != TASK_RUNNING ||
		    t->pace == w->pace)
			continue;
		t->pace = w->pace;
		s->stats.paced++;
		sched_task_name(s, t, o.task);
		s->ops->order(s->arg, &o);
	}
}

void sched_pace(struct sched *s, uint32_t worker)
{
	struct worker *w = &s->workers[worker];
	uint32_t tail = worst_tail(s, w);

	if (tail <= CALM_PERCENT)
		w->over_us = 0;
	if (s->now_us >= w->paced_us + PACE_INTERVAL_US) {
		uint8_t before = w->pace;

		if (tail > OVER_PERCENT && w->filling_milli) {
			w->over_us = s->now_us;
			w->pace =
				w->pace > PACE_FIRST_DOWN ? PACE_FIRST_DOWN : 0;
		} else if (tail <= CALM_PERCENT && w->pace < 100) {
			w->pace = w->pace + PACE_UP > 100 ? 100
							  : w->pace + PACE_UP;
		}
		if (w->pace != before) {
			w->paced_us = s->now_us;
			log_event(LOG_DEBUG, "worker-paced",
				  "worker=%s percent=%u tail_percent=%u", w->id,
				  w->pace, tail);
		}
	}
	apply_pace(s, worker);
}
