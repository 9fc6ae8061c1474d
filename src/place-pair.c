#include <math.h>
#include <string.h>

#include "place-internal.h"

/*
 * A service that shares a worker is slowed by the others. For each pair of a
 * service kind and another kind the slowdown per part of the worker's CPU that
 * the other uses, and per load of the worker, is estimated, with a variance: a
 * Kalman filter with a diagonal covariance, one step a usage sample. An untried
 * pair starts with mean 0 and a variance that makes its upper bound prohibitive
 * at high use.
 */

#define PRIOR_VARIANCE 4.0f
/* The pairs change with the load, so an estimate loses certainty again. */
#define DRIFT_VARIANCE 2e-4f
#define MEASURE_VARIANCE 9e-4f /* of a relative p99, (3%) squared */
#define MEAN_MAX 20.0f
#define BOUND_SIGMAS 1.0f
/* Slowdowns, as parts of the latency when alone. */
#define PLACE_LIMIT 0.15f
#define RELIEVE_ABOVE 0.17f
#define RELIEVE_TO 0.13f
#define RESTORE_BELOW 0.15f
#define THRESHOLD_ABOVE 0.15f
/* Below this part of its CPU a batch task is not worth keeping throttled. */
#define PERCENT_MIN 20u
#define PERCENT_STEP 25u
/* A start must get this part of its CPU; after a long wait less suffices. */
#define SHARE_MIN 1.0f
#define SHARE_STEP 0.1f
#define SHARE_WAIT_US 300000000.0f
/* What harms no service goes beside them, and leaves the other workers. */
#define BESIDE_SERVICES 0.3f
/*
 * Services slow each other as well, and their latency alone is learnt beside
 * other services, so no more than this part of a worker is filled with them
 * while there is room elsewhere.
 */
#define SERVICES_PART 0.35f
#define CROWDED 2.0f
#define STRIKES_MAX 3
#define CANDIDATES 24
#define CANDIDATE_STARTS 4
#define BASE_WEIGHT_MAX 200.0 /* samples */
#define BASE_SHARED_ALPHA 0.002

static float load_of(const struct worker *w);
static float upper(struct pair sum, float load);
static float cpu_part(const struct worker *w, const struct task *t);
static struct pair predict(struct place *p, const struct worker *w,
			   const struct task *service);
static float headroom(struct place *p, const struct worker *w,
		      const struct task *t, float part);
static float measured(const struct place *p, const struct task *service);
static struct task *worst_service(struct place *p, struct worker *w,
				  float *slowdown);
static void throttle(struct place *p, struct task *t, uint32_t percent,
		     const char *why);
static bool restore(struct place *p, struct worker *w);

/* The first worker that fits, but not where the task failed last. */
static struct worker *choose_first(struct place *p, const struct task *t,
				   const int32_t need[RES_COUNT],
				   struct worker **passed_over,
				   const char **why)
{
	int leaf = index_find(&p->free_index, need, 0);

	*why = "first-fit";
	if (leaf >= 0 && t->avoid == (uint32_t)leaf + 1) {
		int other =
			index_find(&p->free_index, need, (uint32_t)leaf + 1);

		*passed_over = p->workers[leaf];
		*why = "failed on the first";
		if (other >= 0)
			leaf = other;
	}
	return leaf < 0 ? NULL : p->workers[leaf];
}

/* Part of the worker's room that would be in use, of its scarcest kind. */
static float fullness(const struct worker *w, const int32_t need[RES_COUNT])
{
	float most = 0;

	for (int r = 0; r < 2; r++) {
		float used = (float)(w->capacity[r] - w->free[r] + need[r]) /
			     (float)(w->capacity[r] + 1);

		if (used > most)
			most = used;
	}
	return most;
}

static bool has_service(const struct worker *w)
{
	for (const struct task *t = w->tasks.first; t; t = t->next)
		if (t->placement->service)
			return true;
	return false;
}

/* Part of the worker's CPU that is reserved for services. */
static float services_part(const struct worker *w)
{
	int64_t cpu = 0;

	for (const struct task *t = w->tasks.first; t; t = t->next)
		if (t->placement->service)
			cpu += t->reserved[RES_CPU];
	return (float)cpu / (float)(w->capacity[RES_CPU] + 1);
}

/* Least part of its CPU with which a task may start. */
static float least_share(const struct place *p, const struct task *t)
{
	float waited = (float)(p->now_us - t->since_us) / SHARE_WAIT_US;
	float least = SHARE_MIN - waited;

	if (t->placement->urgency == URGENCY_URGENT)
		return 0;
	return least * 100 > PERCENT_MIN ? least : PERCENT_MIN / 100.0f;
}

/*
 * Rates a worker for a task; higher is better. A batch task goes where the
 * services keep the most headroom for its size, a service where the batch
 * work slows it least. Of equals, the fuller worker keeps large rooms free;
 * replicas of a service prefer a rack with fewer of them.
 */
static float rate(struct place *p, const struct worker *w, const struct task *t,
		  const int32_t need[RES_COUNT], float *share)
{
	const struct placement *pl = t->placement;
	float part = (float)need[RES_CPU] / (float)(w->capacity[RES_CPU] + 1);
	float score = 0.2f * fullness(w, need);
	float crowd;

	*share = 1;
	if (pl->service) {
		score -= upper(predict(p, w, t), load_of(w));
		crowd = services_part(w) + part - SERVICES_PART;
		if (crowd > 0)
			score -= CROWDED * crowd;
	} else {
		*share = headroom(p, w, t, part);
		score += *share;
		if (*share >= 1 && has_service(w))
			score += BESIDE_SERVICES;
	}
	if (pl->rack_tasks)
		score -= (float)pl->rack_tasks[w->rack];
	if (t->avoid == w->handle + 1)
		score -= 2;
	return score;
}

struct worker *pair_choose(struct place *p, const struct task *t,
			   const int32_t need[RES_COUNT],
			   struct worker **passed_over, const char **why)
{
	struct worker *best = NULL;
	float best_score = 0, best_share = 1, share;
	uint32_t seen = 0;

	*passed_over = NULL;
	if (p->options.policy != PLACEMENT_LEARNED)
		return choose_first(p, t, need, passed_over, why);
	*why = "least interference";
	/* Candidates from several places of the index, in case of racks. */
	for (int s = 0; s < CANDIDATE_STARTS; s++) {
		uint32_t from = s ? rng_below(&p->rng, p->worker_count) : 0;

		for (int i = 0; i < CANDIDATES / CANDIDATE_STARTS; i++) {
			int leaf = index_find(&p->free_index, need, from);
			struct worker *w;
			float score;

			if (leaf < 0)
				break;
			from = (uint32_t)leaf + 1;
			w = p->workers[leaf];
			seen++;
			score = rate(p, w, t, need, &share);
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
	if (best && best_share < least_share(p, t)) {
		p->held_back++;
		return NULL;
	}
	if (best && best_share < 1)
		*why = "throttled for a service there";
	else if (best && t->placement->rack_tasks)
		*why = "rack with fewest replicas";
	return best;
}

static struct pair pair_of(const struct place *p, const struct task *service,
			   uint16_t other)
{
	const struct kind *k = &p->kinds[service->placement->kind];
	struct pair untried = { 0, PRIOR_VARIANCE };

	if (k->pairs && k->pairs[other].variance > 0)
		return k->pairs[other];
	return untried;
}

/* Part of the worker's CPU that a task uses, by report or reservation. */
static float cpu_part(const struct worker *w, const struct task *t)
{
	float cpu = (float)t->reserved[RES_CPU] * (float)t->percent / 100;

	if (t->sampled_us)
		cpu = (float)t->used_cpu_milli;
	return cpu / (float)(w->capacity[RES_CPU] + 1);
}

/* Part of the worker's CPU that all its tasks use. */
static float load_of(const struct worker *w)
{
	float load = 0;

	for (const struct task *t = w->tasks.first; t; t = t->next)
		load += cpu_part(w, t);
	return load < 1 ? load : 1;
}

/* Upper bound of a sum of mean and variance, at a load of the worker. */
static float upper(struct pair sum, float load)
{
	return load * (sum.mean + BOUND_SIGMAS * sqrtf(sum.variance));
}

static struct pair add(struct pair sum, struct pair pair, float part)
{
	sum.mean += pair.mean * part;
	sum.variance += pair.variance * part * part;
	return sum;
}

/* Slowdown of a service by what runs beside it, for a load of 1. */
static struct pair predict(struct place *p, const struct worker *w,
			   const struct task *service)
{
	struct pair sum = { 0, 0 };

	for (struct task *t = w->tasks.first; t; t = t->next)
		if (!t->placement->service && t != service)
			sum = add(sum, pair_of(p, service, t->placement->kind),
				  cpu_part(w, t));
	return sum;
}

/*
 * Share of `part` of the worker's CPU that another batch task could use before
 * a service there nears its limit, from 0 to 1.
 */
static float headroom(struct place *p, const struct worker *w,
		      const struct task *t, float part)
{
	float load = load_of(w);
	float least = 1;

	for (struct task *s = w->tasks.first; s; s = s->next) {
		struct pair now, pair;

		if (!s->placement->service)
			continue;
		now = predict(p, w, s);
		pair = pair_of(p, s, t->placement->kind);
		while (least > 0 &&
		       upper(add(now, pair, least * part),
			     fminf(load + least * part, 1)) > PLACE_LIMIT)
			least -= SHARE_STEP;
	}
	return least > 0 ? least : 0;
}

/* Measured slowdown of a service; negative when it is not known. */
static float measured(const struct place *p, const struct task *service)
{
	const struct kind *k = &p->kinds[service->placement->kind];

	if (!service->latency_us || k->base_us <= 0)
		return -1;
	return (float)(service->latency_us / k->base_us) - 1;
}

/* Slowdown that the estimates expect of a service as its worker is used. */
static float expected(struct place *p, const struct worker *w,
		      const struct task *service)
{
	const struct kind *k = &p->kinds[service->placement->kind];
	float sum = 0;

	for (struct task *t = w->tasks.first; k->pairs && t; t = t->next)
		if (!t->placement->service)
			sum += k->pairs[t->placement->kind].mean *
			       cpu_part(w, t);
	return sum * load_of(w);
}

/*
 * Moves the latency that a service kind has when alone, by samples without
 * the slowdown that is expected of them. A minimum of the samples would be
 * low by the noise of the reports, and raise every estimate of a pair. What
 * was seen alone counts more: beside others, base and pairs cannot be told
 * apart and would drift together.
 */
static void learn_base(struct kind *k, double latency_us, float slowdown,
		       bool alone)
{
	double base = latency_us / (1 + (double)slowdown);
	double alpha = BASE_SHARED_ALPHA / (1 + k->base_weight);

	if (alone) {
		if (k->base_weight < BASE_WEIGHT_MAX)
			k->base_weight++;
		alpha = 1 / k->base_weight;
	}
	if (k->base_us <= 0)
		alpha = 1;
	k->base_us += alpha * (base - k->base_us);
}

/* One step of the filter for a service on a worker. */
static void learn_pairs(struct place *p, struct worker *w, struct task *service)
{
	uint16_t kind = service->placement->kind;
	float innovation = measured(p, service);
	float spread = MEASURE_VARIANCE;
	float load = load_of(w);

	for (struct task *t = w->tasks.first; t; t = t->next) {
		struct pair *pair;
		float part = cpu_part(w, t) * load;

		if (t->placement->service || !t->sampled_us)
			continue;
		pair = kind_pair(p, kind, t->placement->kind);
		if (pair->variance == 0)
			pair->variance = PRIOR_VARIANCE;
		innovation -= pair->mean * part;
		spread += pair->variance * part * part;
	}
	for (struct task *t = w->tasks.first; t; t = t->next) {
		struct pair *pair;
		float gain, part = cpu_part(w, t) * load;

		if (t->placement->service || !t->sampled_us)
			continue;
		pair = kind_pair(p, kind, t->placement->kind);
		gain = pair->variance * part / spread;
		pair->mean += gain * innovation;
		pair->variance *= 1 - gain * part;
		pair->variance += DRIFT_VARIANCE;
		if (pair->mean < 0)
			pair->mean = 0;
		if (pair->mean > MEAN_MAX)
			pair->mean = MEAN_MAX;
		if (pair->variance > PRIOR_VARIANCE)
			pair->variance = PRIOR_VARIANCE;
	}
}

void pair_learn(struct place *p, struct worker *w)
{
	bool alone = true;

	if (p->options.policy == PLACEMENT_FIRST_FIT)
		return;
	for (struct task *t = w->tasks.first; t; t = t->next)
		alone &= t->placement->service ||
			 (t->sampled_us && t->used_cpu_milli == 0);
	for (struct task *t = w->tasks.first; t; t = t->next) {
		struct kind *k = &p->kinds[t->placement->kind];

		if (!t->placement->service || !t->latency_us)
			continue;
		learn_base(k, t->latency_us, expected(p, w, t), alone);
		if (!alone && p->options.policy == PLACEMENT_LEARNED)
			learn_pairs(p, w, t);
	}
	w->reported_us = p->now_us;
}

static struct task *worst_service(struct place *p, struct worker *w,
				  float *slowdown)
{
	struct task *worst = NULL;

	*slowdown = -1;
	for (struct task *t = w->tasks.first; t; t = t->next) {
		float s;

		if (!t->placement->service || t->state != TASK_RUNNING)
			continue;
		s = measured(p, t);
		if (s <= *slowdown)
			continue;
		worst = t;
		*slowdown = s;
	}
	return worst;
}

static void throttle(struct place *p, struct task *t, uint32_t percent,
		     const char *why)
{
	struct place_action *a = place_emit(p, PLACE_THROTTLE);

	t->percent = (uint8_t)percent;
	task_id(t, a->task);
	memcpy(a->worker, t->worker->id, sizeof(a->worker));
	a->attempt = t->attempt;
	a->percent = percent;
	a->reason = why;
	t->worker->acted_us = p->now_us;
}

/*
 * Throttles the batch task that slows the service most, per part of its own
 * work; returns false when none can be throttled further.
 */
static bool throttle_worst(struct place *p, struct worker *w,
			   const struct task *service, float slowdown)
{
	struct task *worst = NULL;
	float most = 0, keep, load = load_of(w);
	uint32_t percent;

	for (struct task *t = w->tasks.first; t; t = t->next) {
		const struct placement *pl = t->placement;
		float weight;

		if (pl->service || !pl->yields || t->state != TASK_RUNNING ||
		    t->percent <= PERCENT_MIN)
			continue;
		weight = pair_of(p, service, pl->kind).mean * cpu_part(w, t) *
			 load;
		if (weight > most) {
			worst = t;
			most = weight;
		}
	}
	if (!worst)
		return false;
	keep = 1 - (slowdown - RELIEVE_TO) / most;
	percent = keep > 0 ? (uint32_t)(keep * worst->percent) : 0;
	if (percent < PERCENT_MIN)
		percent = PERCENT_MIN;
	if (percent >= worst->percent)
		percent = worst->percent - 1u;
	throttle(p, worst, percent, "it slows a service");
	return true;
}

/* Gives a throttled task more of its CPU when the services allow. */
static bool restore(struct place *p, struct worker *w)
{
	struct task *least = NULL;
	float part, share;
	uint32_t percent;

	for (struct task *t = w->tasks.first; t; t = t->next)
		if (t->state == TASK_RUNNING && t->percent < 100 &&
		    (!least || t->percent < least->percent))
			least = t;
	if (!least)
		return false;
	part = (float)(least->reserved[RES_CPU]) /
	       (float)(w->capacity[RES_CPU] + 1) *
	       (float)(100 - least->percent) / 100;
	share = headroom(p, w, least, part);
	percent = least->percent +
		  (uint32_t)(share * (float)(100 - least->percent));
	if (percent > least->percent + PERCENT_STEP)
		percent = least->percent + PERCENT_STEP;
	if (percent > 100)
		percent = 100;
	if (percent < least->percent + 5u && percent < 100)
		return false;
	throttle(p, least, percent, "the services have headroom");
	return true;
}

/* Whether a report since the last action can show its effect. */
static bool is_settled(const struct place *p, const struct worker *w)
{
	return !w->acted_us ||
	       w->reported_us > w->acted_us + p->options.report_lag_us;
}

/* Starts a batch task throttled where its share of the CPU asks for it. */
static void throttle_started(struct place *p, struct worker *w)
{
	for (struct task *t = w->tasks.first; t; t = t->next) {
		float part, share;

		if (t->state != TASK_RUNNING || t->placement->service ||
		    t->fitted || !t->placement->yields)
			continue;
		t->fitted = true;
		/* A throttle of the owner before may still be in force. */
		if (t->adopted && t->percent == 100)
			throttle(p, t, 100, "throttle unknown");
		part = (float)t->reserved[RES_CPU] /
		       (float)(w->capacity[RES_CPU] + 1);
		t->percent = 0; /* its own use does not count */
		share = headroom(p, w, t, part);
		t->percent = 100;
		if (share < 1)
			throttle(p, t,
				 share * 100 < PERCENT_MIN
					 ? PERCENT_MIN
					 : (uint32_t)(share * 100),
				 "untried or harmful beside a service");
	}
}

void pair_relieve(struct place *p, struct worker *w)
{
	float slowdown;
	struct task *service, *victim;

	if (p->options.policy == PLACEMENT_FIRST_FIT)
		return;
	if (p->options.policy == PLACEMENT_LEARNED)
		throttle_started(p, w);
	if (!is_settled(p, w) || w->reported_us == w->judged_us)
		return;
	w->judged_us = w->reported_us;
	service = worst_service(p, w, &slowdown);
	if (!service)
		return;
	if (p->options.policy == PLACEMENT_THRESHOLD) {
		victim = slowdown > THRESHOLD_ABOVE
				 ? usage_cheapest(w, URGENCY_URGENT)
				 : NULL;
		if (!victim)
			return;
		w->acted_us = p->now_us;
		task_stop(p, victim, REASON_PRESSURE, true);
		return;
	}
	if (slowdown <= RELIEVE_ABOVE) {
		w->strikes = 0;
		if (slowdown < RESTORE_BELOW)
			restore(p, w);
		return;
	}
	if (throttle_worst(p, w, service, slowdown))
		return;
	if (++w->strikes < STRIKES_MAX)
		return;
	victim = usage_cheapest(w, URGENCY_URGENT);
	if (!victim)
		return;
	w->strikes = 0;
	w->acted_us = p->now_us;
	task_stop(p, victim, REASON_PRESSURE, true);
}
