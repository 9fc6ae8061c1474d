#include <math.h>
#include <stdlib.h>

#include "sched-internal.h"

/* What callers get, relative to the value of a job. */
#define LATE_VALUE 0.15f
#define VALUE_BASE 0.3f
#define VALUE_BY_WORK 0.7f
#define VALUE_MAX 4.0f

/* Counts are halved at this number, so that they follow the load. */
#define COUNT_MAX 60.0f
#define JOBS_MAX 500.0f
/* Done tasks until what is learnt of a queue outweighs the prior of 1. */
#define PRIOR_TASKS 8.0f
#define DONE_TASKS_MAX 400.0f
#define RATIO_MAX 8.0f
/* Bins of a quarter of an octave; the first one begins at 1/16 core-ms. */
#define BINS_PER_OCTAVE 4.0f
#define BIN_BASE 16.0f
/* Jobs of a queue until its size classes are known. */
#define CLASSIFIED_JOBS_MIN 10.0f
static const float size_shares[SIZE_OTHER] = { 0.1f, 0.3f };

void sched_value_init(struct sched *s)
{
	s->value.queues =
		xcalloc(SCHED_ESTIMATES_MAX, sizeof(*s->value.queues));
}

void sched_value_free(struct sched *s)
{
	free(s->value.queues);
	free(s->value.items);
	free(s->value.heap);
}

/* ---- queues ---- */

static float core_ms(const struct job_step *step, float ms)
{
	return (float)step->demand.cpu_milli * ms / 1000;
}

/* A missing estimate counts as 1 ms. */
static float estimated_ms(const struct job_step *step)
{
	return step->estimate_ms ? (float)step->estimate_ms : 1;
}

float sched_value_ratio(const struct value_queue *q)
{
	float prior = PRIOR_TASKS * q->done_estimated / (q->done_tasks + 1);
	float ratio = (q->done + prior + 1) / (q->done_estimated + prior + 1);

	return fminf(fmaxf(ratio, 1 / RATIO_MAX), RATIO_MAX);
}

/* The same of a job, of which some tasks may have shown more. */
static float job_ratio(const struct value_queue *q, const struct job *j,
		       const struct job_step *step)
{
	/* Tasks of a job are alike; two of them weigh as much as the queue. */
	float prior = 2 * core_ms(step, estimated_ms(step)) + 1;
	float ratio = (sched_value_ratio(q) * prior + j->value.ran) /
		      (prior + j->value.ran_estimated);

	return fminf(fmaxf(ratio, 1 / RATIO_MAX), RATIO_MAX);
}

static uint32_t size_bin(float work)
{
	float bin =
		log2f(fmaxf(work, 1 / BIN_BASE) * BIN_BASE) * BINS_PER_OCTAVE;

	return bin < VALUE_SIZE_BINS ? (uint32_t)bin : VALUE_SIZE_BINS - 1;
}

/* Least work of the largest jobs that make up the share of all. */
static float size_from(const struct value_queue *q, float share)
{
	uint32_t bin = VALUE_SIZE_BINS;
	float left = q->jobs * share;

	/* A bin is part of the class if more than half of it is. */
	while (bin && left > q->sizes[bin - 1] / 2)
		left -= q->sizes[--bin];
	return exp2f((float)bin / BINS_PER_OCTAVE) / BIN_BASE;
}

enum value_size sched_value_size(const struct value_queue *q,
				 const struct job *j)
{
	for (int i = 0; i < SIZE_OTHER; i++)
		if (q->jobs >= CLASSIFIED_JOBS_MIN &&
		    size_bin(j->value.work) >=
			    size_bin(q->size_from[i] * 1.01f))
			return (enum value_size)i;
	return SIZE_OTHER;
}

void sched_value_learn_job(struct sched *s, struct job *j)
{
	struct value_queue *q = &s->value.queues[j->estimate];
	float weight, work = 0;

	for (uint32_t i = 0; i < j->spec.step_count; i++) {
		const struct job_step *step = &j->spec.steps[i];

		work += core_ms(step, estimated_ms(step)) * (float)step->count;
	}
	j->value.work = work + 1e-3f;
	if (q->jobs >= JOBS_MAX) {
		q->jobs /= 2;
		for (uint32_t i = 0; i < VALUE_SIZE_BINS; i++)
			q->sizes[i] /= 2;
	}
	q->jobs++;
	q->sizes[size_bin(work)]++;
	weight = 1 / q->jobs;
	q->work += (j->value.work - q->work) * weight;
	q->objective_ms +=
		((float)(j->deadline_wall_ms - j->spec.accepted_wall_ms) -
		 q->objective_ms) *
		weight;
	for (int i = 0; i < SIZE_OTHER; i++)
		q->size_from[i] = size_from(q, size_shares[i]);
}

struct value_group *sched_value_group(struct sched *s, const struct job *j)
{
	struct sched_value *v = &s->value;
	struct value_group *g = v->groups;

	for (uint32_t i = 0; i < v->group_count; i++, g++)
		if (g->service == j->service &&
		    g->priority == j->queue.priority)
			return g;
	if (v->group_count == VALUE_GROUPS_MAX)
		return NULL;
	v->group_count++;
	*g = (struct value_group){ .service = j->service,
				   .priority = j->queue.priority,
				   .since_us = s->now_us };
	return g;
}

static void count_ended(struct value_count *c, float served)
{
	if (c->ended >= COUNT_MAX) {
		c->ended /= 2;
		c->served /= 2;
	}
	c->ended++;
	c->served += served;
}

void sched_value_count_job(struct sched *s, struct job *j)
{
	struct value_queue *q = &s->value.queues[j->estimate];
	float served = s->wall_ms <= j->deadline_wall_ms;
	struct value_group *g = sched_value_group(s, j);

	if (j->value.counted)
		return;
	j->value.counted = true;
	count_ended(&q->counts[sched_value_size(q, j)], served);
	count_ended(&q->all, served);
	if (g)
		count_ended(&g->all, served);
}

bool sched_value_applies(const struct job *j)
{
	return j->used && !j->spec.repetitions &&
	       !job_spec_long_running(&j->spec);
}

void sched_value_job_completed(struct sched *s, struct job *j)
{
	if (!sched_value_applies(j))
		return;
	if (!j->value.work)
		sched_value_learn_job(s, j);
	sched_value_count_job(s, j);
}

void sched_value_task_done(struct sched *s, const struct sched_task *t,
			   uint64_t ran_ms)
{
	const struct job_step *step = sched_task_step(s, t);
	struct job *j = &s->jobs[t->job];
	struct value_queue *q = &s->value.queues[j->estimate];
	float estimated = core_ms(step, estimated_ms(step));
	float ran = core_ms(step, (float)ran_ms);

	if (step->long_running || !step->estimate_ms)
		return;
	j->value.done += ran;
	j->value.done_estimated += estimated;
	if (q->done_tasks >= DONE_TASKS_MAX) {
		q->done_tasks /= 2;
		q->done /= 2;
		q->done_estimated /= 2;
	}
	q->done_tasks++;
	q->done += ran;
	q->done_estimated += estimated;
}

/* ---- work ---- */

/*
 * Adds what a running task is still expected to need. One that runs for longer
 * than expected counts by its progress, or else with its time so far.
 */
static void add_running(struct sched *s, const struct sched_task *t,
			const struct job_step *step)
{
	struct job *j = &s->jobs[t->job];
	const struct value_queue *q = &s->value.queues[j->estimate];
	float ran_ms = (float)(s->now_us - t->state_since_us) / 1000;
	float estimate_ms = estimated_ms(step);
	float expected_ms = estimate_ms * sched_value_ratio(q);
	uint32_t percent = t->progress_percent < 100 ? t->progress_percent : 99;
	float left_ms = expected_ms - ran_ms;

	/* Less progress is too little to divide by. */
	if (percent >= 10)
		left_ms = ran_ms * (float)(100 - percent) / (float)percent;
	else if (left_ms < expected_ms / 8)
		left_ms = fmaxf(ran_ms * sched_estimate_deviation(s, j),
				expected_ms / 8);
	j->value.running += core_ms(step, left_ms);
	if (ran_ms > expected_ms) {
		j->value.ran += core_ms(step, ran_ms);
		j->value.ran_estimated += core_ms(step, estimate_ms);
	}
}

void sched_value_read_running(struct sched *s)
{
	for (uint32_t i = 0; i < s->worker_count; i++)
		for (uint32_t k = s->workers[i].first_task; k != SCHED_NONE;
		     k = s->tasks[k].next_on_worker) {
			const struct sched_task *t = &s->tasks[k];
			const struct job_step *step = sched_task_step(s, t);
			struct value_group *g;

			if (t->state != TASK_RUNNING || step->long_running)
				continue;
			if (s->jobs[t->job].state >= SCHED_JOB_COMPLETED)
				continue;
			add_running(s, t, step);
			g = sched_value_group(s, &s->jobs[t->job]);
			if (g)
				g->occupied +=
					(float)step->demand.cpu_milli / 1000;
		}
}

/* Occurrences that are due, and whose tasks are not in memory. */
static void sum_pending(const struct sched *s, struct job *j)
{
	const struct value_queue *q = &s->value.queues[j->estimate];
	uint32_t due = sched_pending_occurrences(s, j);

	for (uint32_t k = 0; due && k < j->spec.step_count; k++) {
		const struct job_step *step = &j->spec.steps[k];
		float work;

		if (step->long_running)
			continue;
		work = core_ms(step, estimated_ms(step)) *
		       job_ratio(q, j, step) * (float)step->count * (float)due;
		j->value.left += work;
		j->value.ready += step->depends_on ? 0 : work;
	}
}

void sched_value_sum_left(const struct sched *s, struct job *j)
{
	const struct value_queue *q = &s->value.queues[j->estimate];

	sum_pending(s, j);
	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		const struct occurrence *o = &j->occurrences[i];
		uint64_t done = 0;

		if (!o->used)
			continue;
		for (uint32_t k = 0; k < j->spec.step_count; k++) {
			const struct job_step *step = &j->spec.steps[k];
			/* Steps depend on earlier ones only. */
			bool blocked = step->depends_on & ~done;
			uint32_t n = blocked ? o->tasks_left[k] : o->waiting[k];
			float work;

			if (!o->tasks_left[k])
				done |= 1ull << k;
			if (!n || step->long_running)
				continue;
			work = core_ms(step, estimated_ms(step)) *
			       job_ratio(q, j, step) * (float)n;
			j->value.left += work;
			j->value.ready += blocked ? 0 : work;
		}
	}
}

/* ---- value ---- */

static float full_value(const struct value_queue *q, const struct job *j)
{
	float relative = q->work > 0 ? j->value.work / q->work : 1;

	return fminf(VALUE_BASE + VALUE_BY_WORK * relative, VALUE_MAX);
}

/* Probability that what is expected to take ms takes no longer than limit. */
static float probability(float ms, float limit_ms, float deviation)
{
	if (limit_ms <= 0)
		return 0;
	/* The logistic function is close to that of the normal distribution. */
	return 1 / (1 + expf(-1.7f * logf(limit_ms / fmaxf(ms, 1)) /
			     fmaxf(deviation, 0.1f)));
}

float sched_value_left(const struct sched *s, const struct job *j,
		       float delay_ms)
{
	float objective_ms =
		(float)(j->deadline_wall_ms - j->spec.accepted_wall_ms);
	float left_ms =
		(float)((int64_t)j->deadline_wall_ms - (int64_t)s->wall_ms);
	float late_ms = left_ms + (VALUE_LATE_RATIO - 1) * objective_ms;
	float ms = (float)j->value.chain_ms, deviation;

	deviation = sched_estimate_deviation(s, j);
	left_ms -= delay_ms;
	late_ms -= delay_ms;
	return full_value(&s->value.queues[j->estimate], j) *
	       ((1 - LATE_VALUE) * probability(ms, left_ms, deviation) +
		LATE_VALUE * probability(ms, late_ms, deviation));
}

uint64_t sched_value_delay_loss(const struct sched *s, const struct job *j,
				uint64_t delay_ms)
{
	const struct value_queue *q = &s->value.queues[j->estimate];
	float lost;

	if (!sched_value_applies(j) || !j->value.work)
		return 0;
	lost = sched_value_left(s, j, 0) -
	       sched_value_left(s, j, (float)delay_ms);
	return (uint64_t)(fmaxf(lost, 0) * q->work * sched_value_ratio(q));
}
