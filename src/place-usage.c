#include <string.h>

#include "place-internal.h"

/* The histograms of a kind are used from this number of tasks on. */
#define KIND_TASKS_MIN 5
/*
 * Declared sizes are off by up to a factor of 5, so the first tasks of a
 * kind reserve that much memory. CPU can be overcommitted and has no factor.
 */
#define NEW_KIND_MEMORY_FACTOR 5
/* Ends the memory factor of a kind whose workers report no usage. */
#define NEW_KIND_WAIT_US 30000000u
#define MEMORY_HIGH_PERCENT 92
/* Memory cannot be overcommitted; CPU can, for a while. */
#define MEMORY_MARGIN 1.1
#define CPU_MARGIN 1.0
#define HISTOGRAM_TOTAL_MAX 1000

static void adjust_reserved(struct place *p, struct place_task *t);

static int bucket_index(uint32_t value)
{
	int log = 0;

	if (value < SIZE_SUB_BUCKETS)
		return (int)value;
	while (value >> log >= 2 * SIZE_SUB_BUCKETS)
		log++;
	return SIZE_SUB_BUCKETS * log + (int)(value >> log);
}

/* Returns the largest value in a bucket. */
static uint32_t bucket_max(int bucket)
{
	int log = bucket < 2 * SIZE_SUB_BUCKETS ? 0
						: bucket / SIZE_SUB_BUCKETS - 1;

	return ((uint32_t)(bucket - SIZE_SUB_BUCKETS * log + 1) << log) - 1;
}

/* Adds a value. All counts are halved when the total reaches its limit. */
static void histogram_add(struct size_histogram *s, uint32_t value)
{
	s->counts[bucket_index(value)]++;
	if (++s->total < HISTOGRAM_TOTAL_MAX)
		return;
	s->total = 0;
	for (int i = 0; i < SIZE_BUCKETS; i++) {
		s->counts[i] /= 2;
		s->total += s->counts[i];
	}
}

static uint32_t histogram_percentile(const struct size_histogram *s,
				     uint32_t percent)
{
	uint64_t rank = ((uint64_t)s->total * percent + 99) / 100;
	uint64_t seen = 0;

	for (int i = 0; i < SIZE_BUCKETS; i++) {
		seen += s->counts[i];
		if (seen >= rank && seen)
			return bucket_max(i);
	}
	return 0;
}

/* Estimates a size as the p95 of a known kind, or as the declared size. */
static int32_t estimate_size(const struct size_histogram *absolute,
			     const struct size_histogram *ratio,
			     uint32_t declared, uint32_t new_kind_factor,
			     double margin)
{
	double estimate, p95_ratio, spread, ratio_spread;

	if (absolute->total < KIND_TASKS_MIN)
		return (int32_t)(declared * new_kind_factor);
	estimate = histogram_percentile(absolute, 95);
	p95_ratio = histogram_percentile(ratio, 95);
	spread = estimate / (histogram_percentile(absolute, 50) + 1.0);
	ratio_spread = p95_ratio / (histogram_percentile(ratio, 50) + 1.0);
	/* The distribution with the smaller p95/p50 ratio predicts better. */
	if (ratio_spread < spread)
		estimate = p95_ratio * declared / 1000.0;
	return (int32_t)(estimate * margin) + 1;
}

void usage_estimate(const struct place *p, const struct placement *pl,
		    int32_t need[RES_COUNT])
{
	const struct kind *k = &p->kinds[pl->kind];
	const int32_t *largest = NULL;
	uint32_t memory_factor = 1;

	for (int r = 0; r < RES_COUNT; r++)
		need[r] = (int32_t)pl->declared[r];
	if (p->options.policy != PLACEMENT_LEARNED)
		return;
	if (k->memory_mb.total || !k->first_start_us ||
	    p->now_us - k->first_start_us < NEW_KIND_WAIT_US)
		memory_factor = NEW_KIND_MEMORY_FACTOR;
	need[RES_CPU] = estimate_size(&k->cpu_milli, &k->cpu_ratio,
				      pl->declared[RES_CPU], 1, CPU_MARGIN);
	need[RES_MEMORY] = estimate_size(&k->memory_mb, &k->memory_ratio,
					 pl->declared[RES_MEMORY],
					 memory_factor, MEMORY_MARGIN);
	/* Do not exceed the largest worker, unless the declared size does. */
	if (p->capacity_index.leaves)
		largest = p->capacity_index.max[1];
	for (int r = 0; largest && r < RES_COUNT; r++)
		if (need[r] > largest[r] && largest[r] > 0)
			need[r] = largest[r] > (int32_t)pl->declared[r]
					  ? largest[r]
					  : (int32_t)pl->declared[r];
}

void usage_requested(const struct place *p, const struct placement *pl,
		     const int32_t need[RES_COUNT],
		     uint32_t requested[RES_COUNT])
{
	const struct kind *k = &p->kinds[pl->kind];

	for (int r = 0; r < RES_COUNT; r++)
		requested[r] = (uint32_t)need[r];
	if (k->memory_mb.total < KIND_TASKS_MIN &&
	    requested[RES_MEMORY] > pl->declared[RES_MEMORY])
		requested[RES_MEMORY] = pl->declared[RES_MEMORY];
}

/* Records a task's usage in its kind's histograms, once per attempt. */
static void record_usage(struct place *p, struct place_task *t)
{
	struct placement *pl = t->placement;
	struct kind *k = &p->kinds[pl->kind];

	if (t->usage_samples < UINT8_MAX)
		t->usage_samples++;
	/* The first sample may show a task that is still starting up. */
	if (t->usage_recorded || t->usage_samples < 2 || t->cpu_percent < 100)
		return;
	t->usage_recorded = true;
	histogram_add(&k->cpu_milli, t->used_cpu_milli);
	histogram_add(&k->memory_mb, t->peak_memory_mb);
	histogram_add(&k->cpu_ratio, (uint32_t)(t->used_cpu_milli * 1000ull /
						(pl->declared[RES_CPU] + 1)));
	histogram_add(&k->memory_ratio,
		      (uint32_t)(t->peak_memory_mb * 1000ull /
				 (pl->declared[RES_MEMORY] + 1)));
}

void usage_event(struct place *p, const struct place_event *e)
{
	struct place_worker *w;
	struct place_task *t;

	if (e->type == PLACE_WORKER_USAGE) {
		w = worker_lookup(p, e->id);
		if (!w || e->at_us <= w->usage_sampled_us)
			return;
		w->usage_sampled_us = e->at_us;
		w->used_cpu_milli = e->cpu_milli;
		w->used_memory_mb = e->memory_mb;
		interference_learn(p, w);
		return;
	}
	t = task_lookup(p, e->id);
	if (!t || !t->worker || t->attempt != e->attempt ||
	    t->state != TASK_RUNNING || strcmp(t->worker->id, e->worker) != 0)
		return;
	t->usage_sampled_us = e->at_us;
	t->used_cpu_milli = e->cpu_milli;
	t->used_memory_mb = e->memory_mb;
	t->latency_us = e->latency_p99_us;
	t->progress = e->progress;
	if (t->used_memory_mb > t->peak_memory_mb)
		t->peak_memory_mb = t->used_memory_mb;
	record_usage(p, t);
	if (p->options.policy == PLACEMENT_LEARNED)
		adjust_reserved(p, t);
}

/*
 * Adjusts the reservation of a running task to the estimate for its kind or to
 * its own usage, whichever is larger, when its kind has enough samples.
 */
static void adjust_reserved(struct place *p, struct place_task *t)
{
	const struct kind *k = &p->kinds[t->placement->kind];
	int32_t need[RES_COUNT];
	int32_t peak = (int32_t)(t->peak_memory_mb * MEMORY_MARGIN);

	if (k->memory_mb.total < KIND_TASKS_MIN || !t->usage_recorded)
		return;
	usage_estimate(p, t->placement, need);
	if (need[RES_MEMORY] < peak)
		need[RES_MEMORY] = peak;
	for (int r = 0; r < RES_COUNT; r++)
		if (need[r] < t->requested[r])
			need[r] = t->requested[r];
	if (need[RES_CPU] < (int32_t)t->used_cpu_milli)
		need[RES_CPU] = (int32_t)t->used_cpu_milli;
	if (memcmp(need, t->reserved, sizeof(need)) != 0)
		worker_set_reserved(p, t, need);
}

/*
 * Evicts a task from a worker that runs low on memory, since memory use cannot
 * be throttled. Otherwise reduces interference with the worker's services.
 */
void usage_relieve(struct place *p, struct place_worker *w)
{
	uint64_t high =
		(uint64_t)w->capacity[RES_MEMORY] * MEMORY_HIGH_PERCENT / 100;
	struct place_task *victim;

	if (p->options.policy != PLACEMENT_LEARNED ||
	    w->used_memory_mb <= high || w->capacity[RES_MEMORY] <= 0) {
		interference_relieve(p, w);
		return;
	}
	if (w->last_action_us &&
	    w->reported_us <= w->last_action_us + p->options.report_lag_us)
		return;
	victim = usage_choose_victim(w, URGENCY_URGENT);
	if (!victim)
		return;
	w->last_action_us = p->now_us;
	task_stop(p, victim, REASON_MEMORY_PRESSURE, true);
}

/*
 * Returns the yielding batch task whose eviction costs least: the latest in its
 * state among the least urgent. Only tasks less urgent than urgency qualify.
 */
struct place_task *usage_choose_victim(struct place_worker *w,
				       enum urgency urgency)
{
	struct place_task *best = NULL;

	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		const struct placement *pl = t->placement;

		if ((t->state != TASK_RUNNING && t->state != TASK_STARTING) ||
		    pl->service || !pl->yields || pl->urgency <= (int)urgency)
			continue;
		if (!best || pl->urgency > best->placement->urgency ||
		    (pl->urgency == best->placement->urgency &&
		     t->state_since_us > best->state_since_us))
			best = t;
	}
	return best;
}
