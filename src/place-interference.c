#include <math.h>
#include <string.h>

#include "place-internal.h"

/*
 * Services are slowed down by the other tasks on their worker. For each pair of
 * a service kind and another kind, a Kalman filter with a diagonal covariance
 * estimates the slowdown per fraction of the worker's CPU that the other kind
 * uses and per CPU load of the worker. It is updated with each usage sample. A
 * pair without samples has mean 0 and a variance that makes its upper bound
 * prohibitive at high CPU use.
 */

#define PRIOR_VARIANCE 4.0f
/* Interference changes with the load, so estimates lose certainty over time. */
#define PROCESS_NOISE_VARIANCE 2e-4f
#define MEASUREMENT_VARIANCE 9e-4f /* (3%) squared, of the p99 ratio */
#define SLOWDOWN_MEAN_MAX 20.0f
#define BOUND_SIGMAS 1.0f
/* Slowdown limits, relative to the latency without interference. */
#define SLOWDOWN_PLACE_MAX 0.15f
#define SLOWDOWN_THROTTLE_ABOVE 0.17f
#define SLOWDOWN_THROTTLE_TARGET 0.13f
#define SLOWDOWN_RESTORE_BELOW 0.15f
#define SLOWDOWN_EVICT_ABOVE 0.15f
/* A batch task with less than this part of its CPU is not worth running. */
#define THROTTLE_PERCENT_MIN 20u
#define RESTORE_PERCENT_MAX 25u /* per step */
/*
 * A task starts only where it gets this share of its CPU. The required share
 * falls linearly with the wait, down to THROTTLE_PERCENT_MIN.
 */
#define START_SHARE_MIN 1.0f
#define HEADROOM_STEP 0.1f
#define START_SHARE_DECAY_US 300000000.0f
/* Makes harmless tasks leave the workers without services to other tasks. */
#define SHARED_WORKER_BONUS 0.3f
/*
 * Services also slow down each other, and the latency without interference is
 * measured next to other services. Above this fraction of a worker's CPU,
 * services therefore prefer other workers.
 */
#define SERVICE_CPU_MAX 0.35f
#define SERVICE_CPU_PENALTY 2.0f
#define OVER_LIMIT_SAMPLES_MAX 3
#define CANDIDATES_MAX 24
#define CANDIDATE_SCANS 4
#define ALONE_WEIGHT_MAX 200.0 /* samples */
#define ALONE_SHARED_ALPHA 0.002

static float worker_cpu_load(const struct place_worker *w);
static float upper_bound(struct interference sum, float load);
static float task_cpu_fraction(const struct place_worker *w,
			       const struct place_task *t);
static struct interference predict_slowdown(struct place *p,
					    const struct place_worker *w,
					    const struct place_task *service);
static float cpu_headroom(struct place *p, const struct place_worker *w,
			  const struct place_task *t, float fraction);
static float measured_slowdown(const struct place *p,
			       const struct place_task *service);
static struct place_task *
find_slowest_service(struct place *p, struct place_worker *w, float *slowdown);
static void throttle_task(struct place *p, struct place_task *t,
			  uint32_t percent, const char *reason);
static bool relax_throttle(struct place *p, struct place_worker *w);

/* Picks the first worker that fits, avoiding the one that failed the task. */
static struct place_worker *choose_first_fit(struct place *p,
					     const struct place_task *t,
					     const int32_t need[RES_COUNT],
					     struct place_worker **passed_over,
					     const char **reason)
{
	int leaf = index_find(&p->free_index, need, 0);

	*reason = "first-fit";
	if (leaf >= 0 && t->last_failed_worker == (uint32_t)leaf + 1) {
		int other =
			index_find(&p->free_index, need, (uint32_t)leaf + 1);

		*passed_over = p->workers[leaf];
		*reason = "failed on the first";
		if (other >= 0)
			leaf = other;
	}
	return leaf < 0 ? NULL : p->workers[leaf];
}

/* Returns the utilization of the scarcer of CPU and memory after a start. */
static float worker_utilization(const struct place_worker *w,
				const int32_t need[RES_COUNT])
{
	float highest = 0;

	for (int r = 0; r < 2; r++) {
		float used = (float)(w->capacity[r] - w->free[r] + need[r]) /
			     (float)(w->capacity[r] + 1);

		if (used > highest)
			highest = used;
	}
	return highest;
}

static bool has_service(const struct place_worker *w)
{
	for (const struct place_task *t = w->tasks.first; t; t = t->next)
		if (t->placement->service)
			return true;
	return false;
}

/* Returns the fraction of the worker's CPU that is reserved for services. */
static float service_cpu_fraction(const struct place_worker *w)
{
	int64_t cpu = 0;

	for (const struct place_task *t = w->tasks.first; t; t = t->next)
		if (t->placement->service)
			cpu += t->reserved[RES_CPU];
	return (float)cpu / (float)(w->capacity[RES_CPU] + 1);
}

/* Returns the minimum share of its CPU with which a task may start. */
static float min_start_share(const struct place *p, const struct place_task *t)
{
	float waited =
		(float)(p->now_us - t->state_since_us) / START_SHARE_DECAY_US;
	float share = START_SHARE_MIN - waited;

	if (t->placement->urgency == URGENCY_URGENT)
		return 0;
	return share * 100 > THROTTLE_PERCENT_MIN
		       ? share
		       : THROTTLE_PERCENT_MIN / 100.0f;
}

/*
 * Scores a worker for a task; higher is better. A batch task prefers the worker
 * whose services leave it the most headroom, and a service the worker whose
 * batch tasks slow it down least. Higher utilization breaks ties, which keeps
 * large workers free. Spread tasks prefer racks with fewer tasks of their
 * placement.
 */
static float score_worker(struct place *p, const struct place_worker *w,
			  const struct place_task *t,
			  const int32_t need[RES_COUNT], float *share)
{
	const struct placement *pl = t->placement;
	float fraction =
		(float)need[RES_CPU] / (float)(w->capacity[RES_CPU] + 1);
	float score = 0.2f * worker_utilization(w, need);
	float excess;

	*share = 1;
	if (pl->service) {
		score -= upper_bound(predict_slowdown(p, w, t),
				     worker_cpu_load(w));
		excess = service_cpu_fraction(w) + fraction - SERVICE_CPU_MAX;
		if (excess > 0)
			score -= SERVICE_CPU_PENALTY * excess;
	} else {
		*share = cpu_headroom(p, w, t, fraction);
		score += *share;
		if (*share >= 1 && has_service(w))
			score += SHARED_WORKER_BONUS;
	}
	if (pl->tasks_per_rack)
		score -= (float)pl->tasks_per_rack[w->rack];
	if (t->last_failed_worker == w->handle + 1)
		score -= 2;
	return score;
}

struct place_worker *
interference_choose_worker(struct place *p, const struct place_task *t,
			   const int32_t need[RES_COUNT],
			   struct place_worker **passed_over,
			   const char **reason)
{
	struct place_worker *best = NULL;
	float best_score = 0, best_share = 1, share;
	uint32_t seen = 0;

	*passed_over = NULL;
	if (p->options.policy != PLACEMENT_LEARNED)
		return choose_first_fit(p, t, need, passed_over, reason);
	*reason = "least interference";
	/* Scan from several positions to cover several racks. */
	for (int s = 0; s < CANDIDATE_SCANS; s++) {
		uint32_t from = s ? rng_below(&p->rng, p->worker_count) : 0;

		for (int i = 0; i < CANDIDATES_MAX / CANDIDATE_SCANS; i++) {
			int leaf = index_find(&p->free_index, need, from);
			struct place_worker *w;
			float score;

			if (leaf < 0)
				break;
			from = (uint32_t)leaf + 1;
			w = p->workers[leaf];
			seen++;
			score = score_worker(p, w, t, need, &share);
			if (w == best || (best && score <= best_score)) {
				if (w != best)
					*passed_over = w;
				continue;
			}
			if (best)
				*passed_over = best;
			best = w;
			best_score = score;
			best_share = share;
		}
	}
	if (best && best_share < min_start_share(p, t)) {
		p->interference_deferrals++;
		return NULL;
	}
	if (best && best_share < 1)
		*reason = "throttled for a service there";
	else if (best && t->placement->tasks_per_rack)
		*reason = "rack with fewest replicas";
	return best;
}

static struct interference get_estimate(const struct place *p,
					const struct place_task *service,
					uint16_t other)
{
	const struct kind *k = &p->kinds[service->placement->kind];
	struct interference prior = { 0, PRIOR_VARIANCE };

	if (k->interference && k->interference[other].variance > 0)
		return k->interference[other];
	return prior;
}

/* Returns the fraction of the worker's CPU that a task uses or has reserved. */
static float task_cpu_fraction(const struct place_worker *w,
			       const struct place_task *t)
{
	float cpu = (float)t->reserved[RES_CPU] * (float)t->cpu_percent / 100;

	if (t->usage_sampled_us)
		cpu = (float)t->used_cpu_milli;
	return cpu / (float)(w->capacity[RES_CPU] + 1);
}

/* Returns the fraction of the worker's CPU that all its tasks use. */
static float worker_cpu_load(const struct place_worker *w)
{
	float load = 0;

	for (const struct place_task *t = w->tasks.first; t; t = t->next)
		load += task_cpu_fraction(w, t);
	return load < 1 ? load : 1;
}

/* Returns the upper confidence bound of a slowdown at a CPU load. */
static float upper_bound(struct interference sum, float load)
{
	return load * (sum.mean + BOUND_SIGMAS * sqrtf(sum.variance));
}

static struct interference add_estimate(struct interference sum,
					struct interference estimate,
					float fraction)
{
	sum.mean += estimate.mean * fraction;
	sum.variance += estimate.variance * fraction * fraction;
	return sum;
}

/* Estimates the slowdown of a service by the batch tasks at a load of 1. */
static struct interference predict_slowdown(struct place *p,
					    const struct place_worker *w,
					    const struct place_task *service)
{
	struct interference sum = { 0, 0 };

	for (struct place_task *t = w->tasks.first; t; t = t->next)
		if (!t->placement->service && t != service)
			sum = add_estimate(
				sum,
				get_estimate(p, service, t->placement->kind),
				task_cpu_fraction(w, t));
	return sum;
}

/*
 * Returns the share, from 0 to 1, of a fraction of the worker's CPU that
 * another batch task can use before a service there exceeds SLOWDOWN_PLACE_MAX.
 */
static float cpu_headroom(struct place *p, const struct place_worker *w,
			  const struct place_task *t, float fraction)
{
	float load = worker_cpu_load(w);
	float share = 1;

	for (struct place_task *s = w->tasks.first; s; s = s->next) {
		struct interference current, estimate;

		if (!s->placement->service)
			continue;
		current = predict_slowdown(p, w, s);
		estimate = get_estimate(p, s, t->placement->kind);
		while (share > 0 && upper_bound(add_estimate(current, estimate,
							     share * fraction),
						fminf(load + share * fraction,
						      1)) > SLOWDOWN_PLACE_MAX)
			share -= HEADROOM_STEP;
	}
	return share > 0 ? share : 0;
}

/* Returns the measured slowdown of a service, or -1 if it is unknown. */
static float measured_slowdown(const struct place *p,
			       const struct place_task *service)
{
	const struct kind *k = &p->kinds[service->placement->kind];

	if (!service->latency_us || k->alone_latency_us <= 0)
		return -1;
	return (float)(service->latency_us / k->alone_latency_us) - 1;
}

/* Returns the mean slowdown of a service at the current use of its worker. */
static float expected_slowdown(struct place *p, const struct place_worker *w,
			       const struct place_task *service)
{
	const struct kind *k = &p->kinds[service->placement->kind];
	float sum = 0;

	for (struct place_task *t = w->tasks.first; k->interference && t;
	     t = t->next)
		if (!t->placement->service)
			sum += k->interference[t->placement->kind].mean *
			       task_cpu_fraction(w, t);
	return sum * worker_cpu_load(w);
}

/*
 * Updates a service kind's latency without interference with a sample, after
 * removing the expected slowdown. The minimum of the samples would be too low
 * because of noise in the reports, and would raise all interference estimates.
 * Samples without batch tasks have more weight: with batch tasks, this latency
 * and the interference cannot be told apart, and would drift together.
 */
static void learn_alone_latency(struct kind *k, double latency_us,
				float slowdown, bool alone)
{
	double alone_us = latency_us / (1 + (double)slowdown);
	double alpha = ALONE_SHARED_ALPHA / (1 + k->alone_weight);

	if (alone) {
		if (k->alone_weight < ALONE_WEIGHT_MAX)
			k->alone_weight++;
		alpha = 1 / k->alone_weight;
	}
	if (k->alone_latency_us <= 0)
		alpha = 1;
	k->alone_latency_us += alpha * (alone_us - k->alone_latency_us);
}

/* Updates the filter with one sample of a service. */
static void update_filter(struct place *p, struct place_worker *w,
			  struct place_task *service)
{
	uint16_t kind = service->placement->kind;
	float innovation = measured_slowdown(p, service);
	float innovation_variance = MEASUREMENT_VARIANCE;
	float load = worker_cpu_load(w);

	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		struct interference *estimate;
		float fraction = task_cpu_fraction(w, t) * load;

		if (t->placement->service || !t->usage_sampled_us)
			continue;
		estimate = kind_interference(p, kind, t->placement->kind);
		if (estimate->variance == 0)
			estimate->variance = PRIOR_VARIANCE;
		innovation -= estimate->mean * fraction;
		innovation_variance += estimate->variance * fraction * fraction;
	}
	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		struct interference *estimate;
		float gain, fraction = task_cpu_fraction(w, t) * load;

		if (t->placement->service || !t->usage_sampled_us)
			continue;
		estimate = kind_interference(p, kind, t->placement->kind);
		gain = estimate->variance * fraction / innovation_variance;
		estimate->mean += gain * innovation;
		estimate->variance *= 1 - gain * fraction;
		estimate->variance += PROCESS_NOISE_VARIANCE;
		if (estimate->mean < 0)
			estimate->mean = 0;
		if (estimate->mean > SLOWDOWN_MEAN_MAX)
			estimate->mean = SLOWDOWN_MEAN_MAX;
		if (estimate->variance > PRIOR_VARIANCE)
			estimate->variance = PRIOR_VARIANCE;
	}
}

void interference_learn(struct place *p, struct place_worker *w)
{
	bool alone = true;

	if (p->options.policy == PLACEMENT_FIRST_FIT)
		return;
	for (struct place_task *t = w->tasks.first; t; t = t->next)
		alone &= t->placement->service ||
			 (t->usage_sampled_us && t->used_cpu_milli == 0);
	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		struct kind *k = &p->kinds[t->placement->kind];

		if (!t->placement->service || !t->latency_us)
			continue;
		learn_alone_latency(k, t->latency_us,
				    expected_slowdown(p, w, t), alone);
		if (!alone && p->options.policy == PLACEMENT_LEARNED)
			update_filter(p, w, t);
	}
	w->reported_us = p->now_us;
}

static struct place_task *
find_slowest_service(struct place *p, struct place_worker *w, float *slowdown)
{
	struct place_task *worst = NULL;

	*slowdown = -1;
	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		float s;

		if (!t->placement->service || t->state != TASK_RUNNING)
			continue;
		s = measured_slowdown(p, t);
		if (s <= *slowdown)
			continue;
		worst = t;
		*slowdown = s;
	}
	return worst;
}

static void throttle_task(struct place *p, struct place_task *t,
			  uint32_t percent, const char *reason)
{
	struct place_action *a = place_add_action(p, PLACE_THROTTLE);

	t->cpu_percent = (uint8_t)percent;
	task_id(t, a->task);
	memcpy(a->worker, t->worker->id, sizeof(a->worker));
	a->attempt = t->attempt;
	a->percent = percent;
	a->reason = reason;
	t->worker->last_action_us = p->now_us;
}

/*
 * Throttles the batch task that contributes most to the slowdown of a service.
 * Returns false if no task can be throttled further.
 */
static bool throttle_worst_task(struct place *p, struct place_worker *w,
				const struct place_task *service,
				float slowdown)
{
	struct place_task *worst = NULL;
	float worst_slowdown = 0, keep, load = worker_cpu_load(w);
	uint32_t percent;

	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		const struct placement *pl = t->placement;
		float caused;

		if (pl->service || !pl->yields || t->state != TASK_RUNNING ||
		    t->cpu_percent <= THROTTLE_PERCENT_MIN)
			continue;
		caused = get_estimate(p, service, pl->kind).mean *
			 task_cpu_fraction(w, t) * load;
		if (caused > worst_slowdown) {
			worst = t;
			worst_slowdown = caused;
		}
	}
	if (!worst)
		return false;
	keep = 1 - (slowdown - SLOWDOWN_THROTTLE_TARGET) / worst_slowdown;
	percent = keep > 0 ? (uint32_t)(keep * worst->cpu_percent) : 0;
	if (percent < THROTTLE_PERCENT_MIN)
		percent = THROTTLE_PERCENT_MIN;
	if (percent >= worst->cpu_percent)
		percent = worst->cpu_percent - 1u;
	throttle_task(p, worst, percent, "it slows a service");
	return true;
}

/* Raises the CPU limit of the most throttled task as far as services allow. */
static bool relax_throttle(struct place *p, struct place_worker *w)
{
	struct place_task *task = NULL;
	float fraction, share;
	uint32_t percent;

	for (struct place_task *t = w->tasks.first; t; t = t->next)
		if (t->state == TASK_RUNNING && t->cpu_percent < 100 &&
		    (!task || t->cpu_percent < task->cpu_percent))
			task = t;
	if (!task)
		return false;
	fraction = (float)(task->reserved[RES_CPU]) /
		   (float)(w->capacity[RES_CPU] + 1) *
		   (float)(100 - task->cpu_percent) / 100;
	share = cpu_headroom(p, w, task, fraction);
	percent = task->cpu_percent +
		  (uint32_t)(share * (float)(100 - task->cpu_percent));
	if (percent > task->cpu_percent + RESTORE_PERCENT_MAX)
		percent = task->cpu_percent + RESTORE_PERCENT_MAX;
	if (percent > 100)
		percent = 100;
	if (percent < task->cpu_percent + 5u && percent < 100)
		return false;
	throttle_task(p, task, percent, "the services have headroom");
	return true;
}

/* Returns whether a report can show the effect of the last action. */
static bool action_is_reported(const struct place *p,
			       const struct place_worker *w)
{
	return !w->last_action_us ||
	       w->reported_us > w->last_action_us + p->options.report_lag_us;
}

/* Throttles new batch tasks to the headroom of the services. */
static void throttle_new_tasks(struct place *p, struct place_worker *w)
{
	for (struct place_task *t = w->tasks.first; t; t = t->next) {
		float fraction, share;

		if (t->state != TASK_RUNNING || t->placement->service ||
		    t->throttle_applied || !t->placement->yields)
			continue;
		t->throttle_applied = true;
		/* A throttle set by the previous owner may still be active. */
		if (t->throttle_unknown && t->cpu_percent == 100)
			throttle_task(p, t, 100, "throttle unknown");
		fraction = (float)t->reserved[RES_CPU] /
			   (float)(w->capacity[RES_CPU] + 1);
		t->cpu_percent = 0; /* excludes its own use from the load */
		share = cpu_headroom(p, w, t, fraction);
		t->cpu_percent = 100;
		if (share < 1)
			throttle_task(p, t,
				      share * 100 < THROTTLE_PERCENT_MIN
					      ? THROTTLE_PERCENT_MIN
					      : (uint32_t)(share * 100),
				      "untried or harmful beside a service");
	}
}

void interference_relieve(struct place *p, struct place_worker *w)
{
	float slowdown;
	struct place_task *service, *victim;

	if (p->options.policy == PLACEMENT_FIRST_FIT)
		return;
	if (p->options.policy == PLACEMENT_LEARNED)
		throttle_new_tasks(p, w);
	if (!action_is_reported(p, w) || w->reported_us == w->evaluated_us)
		return;
	w->evaluated_us = w->reported_us;
	service = find_slowest_service(p, w, &slowdown);
	if (!service)
		return;
	if (p->options.policy == PLACEMENT_THRESHOLD) {
		victim = slowdown > SLOWDOWN_EVICT_ABOVE
				 ? usage_choose_victim(w, URGENCY_URGENT)
				 : NULL;
		if (!victim)
			return;
		w->last_action_us = p->now_us;
		task_stop(p, victim, REASON_INTERFERENCE, true);
		return;
	}
	if (slowdown <= SLOWDOWN_THROTTLE_ABOVE) {
		w->over_limit_samples = 0;
		if (slowdown < SLOWDOWN_RESTORE_BELOW)
			relax_throttle(p, w);
		return;
	}
	if (throttle_worst_task(p, w, service, slowdown))
		return;
	if (++w->over_limit_samples < OVER_LIMIT_SAMPLES_MAX)
		return;
	victim = usage_choose_victim(w, URGENCY_URGENT);
	if (!victim)
		return;
	w->over_limit_samples = 0;
	w->last_action_us = p->now_us;
	task_stop(p, victim, REASON_INTERFERENCE, true);
}
