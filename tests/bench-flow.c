/*
 * usage: bench-flow [-s SEED] [-n RUNS] [SCENARIO]
 * Drives the flow core with a model of runners in simulated time and prints
 * SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 * The bounds are those of docs/design.md 1.3; exit status 1 when one fails.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "buffer.h"
#include "support-flow-model.h"
#include "support-model-bench.h"

static struct flow_model_plan basic_plan(void)
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

/* Uneven, shifting speeds, one runner that fails fast, one that hangs. */
static void bench_route(uint64_t seed)
{
	struct flow_model_plan plan = basic_plan();
	/* Mean speed when slowness is drawn evenly by logarithm, 0.5 to 4. */
	double mean_speed = 1.75 / log(8.0);
	double rate = 0.7 * flow_model_slots() * (ZONE_RUNNERS - 2) /
		      ZONE_RUNNERS * mean_speed * US_PER_SECOND / SERVICE_US;
	struct flow_model_counts base, choice, c;
	double p99, p99_base, p99_choice;

	plan.uneven_speeds = true;
	plan.failing_runners = 1;
	plan.failure_rate = 1;
	plan.hanging_runners = 1;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = rate / KINDS;
	c = flow_model_run(&plan, seed);
	plan.options.random_routing = true;
	base = flow_model_run(&plan, seed);
	plan.options.random_routing = false;
	plan.options.random_target = true;
	choice = flow_model_run(&plan, seed);
	p99 = histogram_quantile(&c.latency, 0.99) / 1000.0;
	p99_base = histogram_quantile(&base.latency, 0.99) / 1000.0;
	p99_choice = histogram_quantile(&choice.latency, 0.99) / 1000.0;
	print_line("route", "p99", p99, "ms", p99_base, p99_base / 2,
		   p99 <= p99_base / 2, seed);
	/* What the choice alone adds to breaker and hedges. */
	print_line("route", "p99-choice", p99, "ms", p99_choice, p99_choice,
		   p99 <= p99_choice, seed);
	print_line("route", "over-slots", c.slot_overruns, "requests",
		   base.slot_overruns, 0, c.slot_overruns == 0, seed);
}

/* Smallest part of min(demand, guarantee) that another kind got. */
static double kept_share(const struct flow_model_plan *plan,
			 const struct flow_model_counts *c, double capacity)
{
	double seconds = (plan->measure_to_us - plan->measure_from_us) /
			 (double)US_PER_SECOND;
	double kept = 1.0;

	for (int k = 0; k < KINDS; k++) {
		double due =
			flow_model_kinds[k].share_percent / 100.0 * capacity;
		double demand = c->arrivals[k] / seconds;

		if (k == plan->flood_kind)
			continue;
		if (demand < due)
			due = demand;
		if (c->served[k] / seconds / due < kept)
			kept = c->served[k] / seconds / due;
	}
	return kept;
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
 * Ten times the capacity of one kind for 30 s; others ask for their share.
 * With a deep queue only the early refusal keeps the wait below the deadline.
 */
static void bench_flood(const char *name, int kind, bool deep, uint64_t seed)
{
	double capacity = flow_model_slots() * US_PER_SECOND / SERVICE_US;
	struct flow_model_plan plan = basic_plan();
	struct flow_model_counts base, c;
	double kept, good, refusal;

	plan.flood_kind = kind;
	plan.flood_rate = 10 * capacity;
	plan.flood_from_us = 5 * US_PER_SECOND;
	plan.flood_to_us = 35 * US_PER_SECOND;
	plan.measure_from_us = 5 * US_PER_SECOND;
	plan.measure_to_us = 35 * US_PER_SECOND;
	plan.end_us = 38 * US_PER_SECOND;
	plan.deadline_us = US_PER_SECOND;
	if (deep)
		plan.options.queue_limit = 8192;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.9 * flow_model_kinds[k].share_percent / 100.0 *
			       capacity;
	c = flow_model_run(&plan, seed);
	plan.options.fifo_admission = true;
	base = flow_model_run(&plan, seed);
	kept = kept_share(&plan, &c, capacity);
	good = goodput(&plan, &c, capacity);
	refusal = histogram_quantile(&c.refusal_latency, 0.99) / 1000.0;
	print_line(name, deep ? "kept-share-deep" : "kept-share", 100 * kept,
		   "%", 100 * kept_share(&plan, &base, capacity), 95,
		   kept >= 0.95, seed);
	print_line(name, deep ? "goodput-deep" : "goodput", 100 * good, "%",
		   100 * goodput(&plan, &base, capacity), 90, good >= 0.9,
		   seed);
	print_line(name, deep ? "refusal-p99-deep" : "refusal-p99", refusal,
		   "ms",
		   histogram_quantile(&base.refusal_latency, 0.99) / 1000.0, 50,
		   refusal <= 50, seed);
}

/*
 * Some of the runners fail half of their requests, so that breakers close
 * again; callers try three times.
 */
static void bench_retry(const char *metric, uint32_t failing, uint64_t seed)
{
	double capacity = flow_model_slots() * US_PER_SECOND / SERVICE_US;
	struct flow_model_plan plan = basic_plan();
	struct flow_model_counts base, c;
	double ratio;

	plan.failing_runners = failing;
	plan.failure_rate = 0.5;
	plan.caller_attempts_max = 3;
	for (int k = 0; k < KINDS; k++)
		plan.rate[k] = 0.4 * capacity / KINDS;
	c = flow_model_run(&plan, seed);
	plan.options.retry_budget_percent = 0;
	base = flow_model_run(&plan, seed);
	ratio = (double)c.sends / c.accepted;
	print_line("retry", metric, ratio, "ratio",
		   (double)base.sends / base.accepted, 1.1, ratio <= 1.1, seed);
}

static double cpu_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return ts.tv_sec * 1e6 + ts.tv_nsec / 1e3;
}

#define DECISIONS 200000u

/* Processor time for admitting, routing and ending one request. */
static double decision_us(uint32_t targets, uint64_t seed)
{
	struct flow_options o = { .retry_budget_percent = 10,
				  .queue_limit = 512,
				  .seed = seed };
	/* Half of the own slots are in use. */
	uint32_t running = targets * 4, at = 0;
	struct flow_action *sent = xcalloc(running, sizeof(*sent));
	/* Longer than an attempt lasts here, so that none is hedged. */
	uint64_t service_us = 200 * running;
	struct flow_fixture fx;
	double start;

	fixture_open(&fx, &o);
	fixture_policy(&fx, &flow_model_sheet);
	fixture_seat(&fx, 0, 1);
	for (uint32_t i = 0; i < targets; i++)
		fixture_target(&fx, i, 8);
	for (uint32_t i = 0; i < running; i++) {
		fixture_request(&fx, i, (int32_t)(i % KINDS), true,
				10 * US_PER_SECOND);
		sent[i] = *fixture_find_action(&fx, FLOW_SEND);
	}
	start = cpu_us();
	for (uint32_t i = 0; i < DECISIONS; i++) {
		uint32_t handle = sent[at].handle;

		fx.now_us += 100;
		fixture_result(&fx, &sent[at], FLOW_OUTCOME_OK, service_us);
		if (i % 100 == 0)
			fixture_tick(&fx, 0);
		fixture_request(&fx, handle, (int32_t)(i % KINDS), true,
				10 * US_PER_SECOND);
		sent[at] = *fixture_find_action(&fx, FLOW_SEND);
		at = (at + 1) % running;
	}
	start = cpu_us() - start;
	fixture_close(&fx);
	free(sent);
	return start / DECISIONS;
}

/*
 * An entry VM may spend 4.2% of a core on control (1.4); at 4,000 requests a
 * second that is 10.5 us for each.
 */
static void bench_decision(uint64_t seed)
{
	static const uint32_t sizes[] = { 50, 150, 400, 1200 };
	double base = decision_us(sizes[0], seed);

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		double us = decision_us(sizes[i], seed);
		char metric[32];

		snprintf(metric, sizeof(metric), "cpu-%u-targets", sizes[i]);
		print_line("decision", metric, us, "us", base, 10.5, us <= 10.5,
			   seed);
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
