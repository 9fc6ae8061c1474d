/*
 * usage: bench-flow [-s SEED] [-n RUNS] [SCENARIO]
 * Runs the flow core against simulated runners in simulated time and prints
 * SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 * The bounds are those of docs/design.md 1.3; exit status 1 if one is missed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "buffer.h"
#include "support-flow-model.h"
#include "support-model-bench.h"

static struct flow_model_plan default_plan(void)
{
	return (struct flow_model_plan){
		.options = { .retry_budget_percent = 10, .queue_limit = 512 },
		.flood_kind = -1,
		.end_us = 62 * US_PER_SECOND,
		.deadline_us = 2 * US_PER_SECOND,
		.caller_attempts_max = 1,
		.measure_from_us = 6 * US_PER_SECOND,
		.measure_to_us = 60 * US_PER_SECOND,
	};
}

/* Runners of unequal, changing speed; one fails fast and one hangs. */
static void bench_route(uint64_t seed)
{
	struct flow_model_plan plan = default_plan();
	/* Mean speed for slowdown factors log-uniform between 0.5 and 4. */
	double mean_speed = 1.75 / log(8.0);
	double rate = 0.7 * flow_model_slots() * (ZONE_RUNNERS - 2) /
		      ZONE_RUNNERS * mean_speed * US_PER_SECOND / SERVICE_US;
	struct flow_model_counts baseline, random_target, result;
	double p99, p99_baseline, p99_random_target;

	plan.uneven_speeds = true;
	plan.failing_runners = 1;
	plan.failure_rate = 1;
	plan.hanging_runners = 1;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = rate / KINDS;
	result = flow_model_run(&plan, seed);
	plan.options.random_routing = true;
	baseline = flow_model_run(&plan, seed);
	plan.options.random_routing = false;
	plan.options.random_target = true;
	random_target = flow_model_run(&plan, seed);
	p99 = histogram_quantile(&result.latency, 0.99) / 1000.0;
	p99_baseline = histogram_quantile(&baseline.latency, 0.99) / 1000.0;
	p99_random_target =
		histogram_quantile(&random_target.latency, 0.99) / 1000.0;
	model_bench_report("route", "p99", p99, "ms", p99_baseline,
			   p99_baseline / 2, p99 <= p99_baseline / 2, seed);
	/* Baseline: random targets, with circuit breakers and hedges. */
	model_bench_report("route", "p99-choice", p99, "ms", p99_random_target,
			   p99_random_target, p99 <= p99_random_target, seed);
	model_bench_report("route", "over-slots", result.slot_overruns,
			   "requests", baseline.slot_overruns, 0,
			   result.slot_overruns == 0, seed);
}

/*
 * Lowest ratio of served requests to min(demand, guaranteed share) among the
 * kinds that do not flood.
 */
static double min_guarantee_ratio(const struct flow_model_plan *plan,
				  const struct flow_model_counts *c,
				  double capacity)
{
	double seconds = (plan->measure_to_us - plan->measure_from_us) /
			 (double)US_PER_SECOND;
	double ratio = 1.0;

	for (int k = 0; k < KINDS; k++) {
		double guarantee =
			flow_model_kinds[k].share_percent / 100.0 * capacity;
		double demand = c->arrivals[k] / seconds;

		if (k == plan->flood_kind)
			continue;
		if (demand < guarantee)
			guarantee = demand;
		if (c->served[k] / seconds / guarantee < ratio)
			ratio = c->served[k] / seconds / guarantee;
	}
	return ratio;
}

static double goodput(const struct flow_model_plan *plan,
		      const struct flow_model_counts *c, double capacity)
{
	double seconds = (plan->measure_to_us - plan->measure_from_us) /
			 (double)US_PER_SECOND;
	uint64_t served = 0;

	for (int k = 0; k < KINDS; k++)
		served += c->served[k];
	return served / seconds / capacity;
}

/*
 * One kind offers ten times the total capacity for 30 s while the others stay
 * within their share. With a deep queue, only early rejection keeps the
 * queueing delay below the deadline.
 */
static void bench_flood(const char *name, int kind, bool deep_queue,
			uint64_t seed)
{
	double capacity = flow_model_slots() * US_PER_SECOND / SERVICE_US;
	struct flow_model_plan plan = default_plan();
	struct flow_model_counts baseline, result;
	double guarantee_ratio, goodput_ratio, refusal_ms;

	plan.flood_kind = kind;
	plan.flood_rate = 10 * capacity;
	plan.flood_from_us = 5 * US_PER_SECOND;
	plan.flood_to_us = 35 * US_PER_SECOND;
	plan.measure_from_us = 5 * US_PER_SECOND;
	plan.measure_to_us = 35 * US_PER_SECOND;
	plan.end_us = 38 * US_PER_SECOND;
	plan.deadline_us = US_PER_SECOND;
	if (deep_queue)
		plan.options.queue_limit = 8192;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.9 * flow_model_kinds[k].share_percent / 100.0 *
			       capacity;
	result = flow_model_run(&plan, seed);
	plan.options.fifo_admission = true;
	baseline = flow_model_run(&plan, seed);
	guarantee_ratio = min_guarantee_ratio(&plan, &result, capacity);
	goodput_ratio = goodput(&plan, &result, capacity);
	refusal_ms = histogram_quantile(&result.refusal_latency, 0.99) / 1000.0;
	model_bench_report(
		name, deep_queue ? "kept-share-deep" : "kept-share",
		100 * guarantee_ratio, "%",
		100 * min_guarantee_ratio(&plan, &baseline, capacity), 95,
		guarantee_ratio >= 0.95, seed);
	model_bench_report(name, deep_queue ? "goodput-deep" : "goodput",
			   100 * goodput_ratio, "%",
			   100 * goodput(&plan, &baseline, capacity), 90,
			   goodput_ratio >= 0.9, seed);
	model_bench_report(
		name, deep_queue ? "refusal-p99-deep" : "refusal-p99",
		refusal_ms, "ms",
		histogram_quantile(&baseline.refusal_latency, 0.99) / 1000.0,
		50, refusal_ms <= 50, seed);
}

/*
 * Some runners fail half of their requests, so that their circuit breakers
 * close again. Callers make up to three attempts.
 */
static void bench_retry(const char *metric, uint32_t failing_runners,
			uint64_t seed)
{
	double capacity = flow_model_slots() * US_PER_SECOND / SERVICE_US;
	struct flow_model_plan plan = default_plan();
	struct flow_model_counts baseline, result;
	double ratio;

	plan.failing_runners = failing_runners;
	plan.failure_rate = 0.5;
	plan.caller_attempts_max = 3;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.4 * capacity / KINDS;
	result = flow_model_run(&plan, seed);
	plan.options.retry_budget_percent = 0;
	baseline = flow_model_run(&plan, seed);
	ratio = (double)result.sends / result.accepted;
	model_bench_report("retry", metric, ratio, "ratio",
			   (double)baseline.sends / baseline.accepted, 1.1,
			   ratio <= 1.1, seed);
}

static double process_cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e6 + ts.tv_nsec / 1e3;
}

#define DECISION_COUNT 200000u

/* CPU time to admit, route and complete one request. */
static double decision_cpu_us(uint32_t targets, uint64_t seed)
{
	struct flow_options options = { .retry_budget_percent = 10,
					.queue_limit = 512,
					.seed = seed };
	/* Half of this entry VM's slots are busy. */
	uint32_t running = targets * 4, next = 0;
	struct flow_action *sent = xcalloc(running, sizeof(*sent));
	/* Longer than a simulated attempt, so that none is hedged. */
	uint64_t service_us = 200 * running;
	struct flow_fixture fixture;
	double start;

	fixture_open(&fixture, &options);
	fixture_sheet(&fixture, &flow_model_sheet);
	fixture_seat(&fixture, 0, 1);
	for (uint32_t i = 0; i < targets; i++)
		fixture_target(&fixture, i, 8);
	for (uint32_t i = 0; i < running; i++) {
		fixture_request(&fixture, i, (int32_t)(i % KINDS), true,
				10 * US_PER_SECOND);
		sent[i] = *fixture_find_action(&fixture, FLOW_SEND);
	}
	start = process_cpu_us();
	for (uint32_t i = 0; i < DECISION_COUNT; i++) {
		uint32_t handle = sent[next].handle;

		fixture.now_us += 100;
		fixture_result(&fixture, &sent[next], FLOW_OUTCOME_OK,
			       service_us);
		if (i % 100 == 0)
			fixture_tick(&fixture, 0);
		fixture_request(&fixture, handle, (int32_t)(i % KINDS), true,
				10 * US_PER_SECOND);
		sent[next] = *fixture_find_action(&fixture, FLOW_SEND);
		next = (next + 1) % running;
	}
	start = process_cpu_us() - start;
	fixture_close(&fixture);
	free(sent);
	return start / DECISION_COUNT;
}

/*
 * The control-plane budget of an entry VM is 4.2% of a core (docs/design.md
 * 1.4), or 10.5 us per request at 4,000 requests per second.
 */
static void bench_decision(uint64_t seed)
{
	static const uint32_t sizes[] = { 50, 150, 400, 1200 };
	double baseline = decision_cpu_us(sizes[0], seed);

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		double us = decision_cpu_us(sizes[i], seed);
		char metric[32];

		snprintf(metric, sizeof(metric), "cpu-%u-targets", sizes[i]);
		model_bench_report("decision", metric, us, "us", baseline, 10.5,
				   us <= 10.5, seed);
	}
}

static void bench_flood_low(uint64_t seed)
{
	bench_flood("flood-low", 2, false, seed);
	bench_flood("flood-low", 2, true, seed);
}

static void bench_flood_high(uint64_t seed)
{
	bench_flood("flood-high", 0, false, seed);
	bench_flood("flood-high", 0, true, seed);
}

static void bench_retries(uint64_t seed)
{
	bench_retry("sent-per-accepted", ZONE_RUNNERS / 3, seed);
	bench_retry("sent-per-accepted-all", ZONE_RUNNERS, seed);
}

int main(int argc, char **argv)
{
	static const struct model_scenario scenarios[] = {
		{ "route", bench_route, false },
		{ "flood-low", bench_flood_low, false },
		{ "flood-high", bench_flood_high, false },
		{ "retry", bench_retries, false },
		{ "decision", bench_decision, true },
	};

	return model_bench_main(argc, argv, scenarios,
				sizeof(scenarios) / sizeof(scenarios[0]));
}
