#include <math.h>
#include <stdio.h>
#include <string.h>

#include "sched-internal.h"

/*
 * Load pattern: estimated run times are wrong by a factor that differs by
 * queue, and the longest of many tasks takes longer than their mean. Taken at
 * their word, jobs count as late that are not and fall behind a backlog, or the
 * other way round. The ratio of a step's longest run to its estimate is learnt
 * for each queue; steps that are done count by their actual run times.
 */

/* Steps until a new queue's own ratio outweighs the prior of 1. */
#define PRIOR_STEPS 8.0f
/* Later steps keep at least this weight, so that changes are followed. */
#define STEPS_MAX 200.0f
/* Errors of estimates are factors of e^0.5 to e^0.9; until they are known. */
#define PRIOR_VARIANCE 0.5f
/* A single step counts as at most this factor. */
#define RATIO_MAX 8.0f

uint32_t sched_estimate_queue(struct sched *s, const char *name)
{
	struct queue_estimate *q = s->estimates;

	for (uint32_t i = 0; i < s->estimate_count; i++)
		if (!strcmp(q[i].name, name))
			return i;
	if (s->estimate_count == SCHED_ESTIMATES_MAX)
		return 0;
	q = &q[s->estimate_count];
	snprintf(q->name, sizeof(q->name), "%s", name);
	q->log_variance = PRIOR_VARIANCE;
	return s->estimate_count++;
}

static float ratio(const struct sched *s, const struct job *j)
{
	return expf(s->estimates[j->estimate].log_ratio);
}

float sched_estimate_deviation(const struct sched *s, const struct job *j)
{
	return sqrtf(s->estimates[j->estimate].log_variance);
}

uint32_t sched_queue_ratio_milli(const struct sched *s, const char *queue)
{
	for (uint32_t i = 0; i < s->estimate_count; i++)
		if (!strcmp(s->estimates[i].name, queue))
			return (uint32_t)(1000 *
					  expf(s->estimates[i].log_ratio));
	return 1000;
}

/* Duration of a step: measured if all its tasks are done, else expected. */
static uint32_t step_ms(const struct sched *s, const struct job *j, uint32_t i)
{
	if (j->step_times[i].duration_ms)
		return j->step_times[i].duration_ms;
	return (uint32_t)((float)j->spec.steps[i].estimate_ms * ratio(s, j));
}

/* Length of the longest chain of steps; without those that are done if open. */
static uint32_t chain_ms(const struct sched *s, const struct job *j,
			 const struct occurrence *open)
{
	uint32_t ends[JOB_STEPS_MAX] = { 0 };
	uint32_t longest = 0;

	for (uint32_t i = 0; i < j->spec.step_count; i++) {
		uint32_t begin = 0;

		if (open && !open->tasks_left[i])
			continue;
		for (uint32_t k = 0; k < i; k++)
			if (j->spec.steps[i].depends_on >> k & 1 &&
			    ends[k] > begin)
				begin = ends[k];
		ends[i] = begin + step_ms(s, j, i);
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

uint32_t sched_remaining_ms(const struct sched *s, const struct job *j)
{
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used)
			return chain_ms(s, j, &j->occurrences[i]);
	return j->pending ? chain_ms(s, j, NULL) : 0;
}

void sched_update_deadline(const struct sched *s, struct job *j)
{
	j->deadline_wall_ms =
		j->spec.accepted_wall_ms + j->queue.target_latency_ms +
		(uint64_t)(j->queue.stretch * chain_ms(s, j, NULL));
}

void sched_estimate_run(struct sched *s, const struct sched_task *t)
{
	struct job *j = &s->jobs[t->job];
	uint64_t ran_ms = (s->now_us - t->state_since_us) / 1000;

	if (ran_ms > j->step_times[t->step].longest_run_ms)
		j->step_times[t->step].longest_run_ms = (uint32_t)ran_ms;
	sched_value_task_done(s, t, ran_ms);
}

void sched_estimate_step(struct sched *s, struct job *j, uint32_t step)
{
	struct queue_estimate *q = &s->estimates[j->estimate];
	uint32_t estimate_ms = j->spec.steps[step].estimate_ms;
	struct step_times *times = &j->step_times[step];
	float sample, error;

	if (!times->longest_run_ms || !estimate_ms)
		return;
	times->duration_ms = times->longest_run_ms;
	sample = (float)times->duration_ms / (float)estimate_ms;
	sample = fminf(fmaxf(sample, 1 / RATIO_MAX), RATIO_MAX);
	if (q->steps < STEPS_MAX)
		q->steps++;
	error = logf(sample) - q->log_ratio;
	q->log_ratio += error / (q->steps + PRIOR_STEPS);
	q->log_variance +=
		(error * error - q->log_variance) / (q->steps + PRIOR_STEPS);
	sched_update_deadline(s, j);
}
