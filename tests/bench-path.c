/*
 * Request-path scenarios on real processes: route (degraded runners),
 * flood-low and flood-high (one kind overloads the cluster) and retry.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "support-bench.h"

#define ALL_ENTRIES 0x7fu
#define WORK_US 100000
#define FLOOD_WORK_US 1000000
#define FLOOD_FACTOR 10
#define FLOOD_DURATION_S 30
#define FLOOD_BASELINE_DURATION_S 10
#define GUARANTEE_RATIO_MIN 0.95
#define GOODPUT_RATIO_MIN 0.9
#define REFUSAL_P99_MAX_MS 50
#define SENDS_PER_ACCEPTED_MAX 1.1

static int run_route(uint64_t seed);
static int run_flood_low(uint64_t seed);
static int run_flood_high(uint64_t seed);
static int run_retry(uint64_t seed);

/* Request rate that keeps the slots of all runners busy. */
static double request_capacity(const struct cluster *c, double work_us)
{
	return c->options.zones * c->options.runners * 8 * 1e6 / work_us;
}

static int set_runner_fault(struct cluster *c, uint32_t zone, uint32_t runner,
			    const char *change)
{
	char json[160];

	snprintf(json, sizeof(json), "{\"runner\":\"%s-r%u\",%s}",
		 cluster_zone_names[zone], runner, change);
	return cluster_set_fault(cluster_runner_control_port(c, zone), json);
}

/* ---- route ---- */

/* Per zone, slows three runners, makes one fail fast and one hang. */
static int degrade_runners(struct cluster *c, uint32_t first)
{
	for (uint32_t z = 0; z < c->options.zones; z++) {
		char all[] = "{\"runner\":\"*\",\"reset\":true}";

		if (cluster_set_fault(cluster_runner_control_port(c, z), all) <
		    0)
			return -1;
		for (uint32_t i = 0; i < 3; i++)
			if (set_runner_fault(c, z, first + i, "\"slow\":4") < 0)
				return -1;
		if (set_runner_fault(c, z, first + 3, "\"error_rate\":1") < 0 ||
		    set_runner_fault(c, z, first + 4, "\"hang\":true") < 0)
			return -1;
	}
	return 0;
}

/* p99 of drafts in ms at 70% of the degraded runners' capacity, or -1. */
static double measure_route_p99(uint64_t seed, const char *policy,
				double *served)
{
	char mix[200];
	const char *mixes[] = { mix, NULL };
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats k;
	struct cluster c;
	double p99 = -1, capacity_ratio;

	bench_reference_options(&o, seed);
	o.policy = policy;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    degrade_runners(&c, 0) < 0)
		goto out;
	capacity_ratio = (o.runners - 5 + 3 / 4.0) / o.runners;
	snprintf(mix, sizeof(mix),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=5000,work_us=%d,work_spread=50,idempotent=yes",
		 0.7 * capacity_ratio * request_capacity(&c, WORK_US), WORK_US);
	if (bench_load_start(&load, &c, ALL_ENTRIES, mixes, 16, seed, "load"))
		goto out;
	clock_sleep_us(8000000);
	if (degrade_runners(&c, 8) < 0 || bench_load_wait(&load) < 0)
		goto out;
	bench_load_get_stats(&load, "draft", &k);
	*served = k.done / k.sent;
	if (bench_check_journals(&c) == 0)
		p99 = k.p99_us / 1000;
out:
	cluster_stop(&c);
	return p99;
}

static int run_route(uint64_t seed)
{
	const char *name = "route";
	double served, served_random_routing;
	double p99_random = measure_route_p99(seed, "routing = random",
					      &served_random_routing);
	double p99 = measure_route_p99(seed, NULL, &served);
	struct bench_figure f = {
		.metric = "p99",
		.value = p99,
		.unit = "ms",
		.baseline = p99_random,
		.kind = BOUND_MAX,
		.bound = p99_random / 2,
	};

	if (p99_random < 0 || p99 < 0)
		return -1;
	bench_report(name, seed, &f);
	f = (struct bench_figure){
		.metric = "served",
		.value = served,
		.unit = "share",
		.baseline = served_random_routing,
	};
	f.kind = BOUND_NONE;
	bench_report(name, seed, &f);
	return 0;
}

/* ---- flood ---- */

struct flood_kind {
	const char *user, *team, *kind, *urgency;
	double share; /* guaranteed share of capacity */
};

static const struct flood_kind kinds[] = {
	{ "yildirim", "court", "draft", "urgent", 0.5 },
	{ "yildirim", "court", "archive", "deferrable", 0.1 },
	{ "bandargah", "port", "confirm", "normal", 0.2 },
	{ "bandargah", "port", "closure", "normal", 0.1 },
};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))

struct flood_result {
	double guarantee_ratio; /* lowest served ratio of the other kinds */
	double goodput_ratio;
	double refusal_p99_ms;
	int broken_invariants;
};

static int measure_flood(uint64_t seed, const char *policy,
			 const char *flooding_kind, double seconds,
			 struct flood_result *out)
{
	char mix[KIND_COUNT][200];
	const char *mixes[KIND_COUNT + 1] = { NULL };
	struct cluster_options o;
	struct bench_load load;
	struct cluster c;
	double total, done = 0;
	int ret = -1;

	bench_reference_options(&o, seed);
	o.policy = policy;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	total = request_capacity(&c, FLOOD_WORK_US);
	for (size_t i = 0; i < KIND_COUNT; i++) {
		const struct flood_kind *k = &kinds[i];
		bool floods = !strcmp(k->kind, flooding_kind);

		snprintf(mix[i], sizeof(mix[i]),
			 "user=%s,team=%s,kind=%s,urgency=%s,rate=%g,"
			 "deadline_ms=4000,work_us=%d,idempotent=yes",
			 k->user, k->team, k->kind, k->urgency,
			 total * (floods ? FLOOD_FACTOR : 0.8 * k->share),
			 FLOOD_WORK_US);
		mixes[i] = mix[i];
	}
	if (bench_load_start(&load, &c, ALL_ENTRIES, mixes, seconds, seed,
			     "load") < 0 ||
	    bench_load_wait(&load) < 0)
		goto out;
	out->guarantee_ratio = 1;
	for (size_t i = 0; i < KIND_COUNT; i++) {
		struct bench_load_stats k;

		bench_load_get_stats(&load, kinds[i].kind, &k);
		done += k.done;
		if (strcmp(kinds[i].kind, flooding_kind) != 0)
			out->guarantee_ratio =
				fmin(out->guarantee_ratio, k.done / k.sent);
		else
			out->refusal_p99_ms = k.refusal_p99_us / 1000;
	}
	out->goodput_ratio = done / (total * seconds);
	out->broken_invariants = bench_check_journals(&c);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

static int run_flood(const char *name, const char *kind, uint64_t seed)
{
	struct flood_result fifo, fair;
	struct bench_figure f;

	if (measure_flood(seed, "admission = fifo", kind,
			  FLOOD_BASELINE_DURATION_S, &fifo) ||
	    measure_flood(seed, NULL, kind, FLOOD_DURATION_S, &fair))
		return -1;
	f = (struct bench_figure){ "kept",    fair.guarantee_ratio,
				   "share",   fifo.guarantee_ratio,
				   BOUND_MIN, GUARANTEE_RATIO_MIN };
	bench_report(name, seed, &f);
	f = (struct bench_figure){ "goodput", fair.goodput_ratio,
				   "share",   fifo.goodput_ratio,
				   BOUND_MIN, GOODPUT_RATIO_MIN };
	bench_report(name, seed, &f);
	f = (struct bench_figure){ "refusal-p99", fair.refusal_p99_ms,
				   "ms",	  fifo.refusal_p99_ms,
				   BOUND_MAX,	  REFUSAL_P99_MAX_MS };
	bench_report(name, seed, &f);
	bench_report_max(name, seed, "invariants-broken",
			 fair.broken_invariants, "count", 0);
	return 0;
}

static int run_flood_low(uint64_t seed)
{
	return run_flood("flood-low", "archive", seed);
}

static int run_flood_high(uint64_t seed)
{
	return run_flood("flood-high", "draft", seed);
}

/* ---- retry ---- */

/* Attempts on runners per accepted request, or -1. */
static double measure_sends_per_accepted(uint64_t seed, const char *policy,
					 double *served)
{
	char mix[200];
	const char *mixes[] = { mix, NULL };
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats k;
	struct cluster c;
	double accepted = 0, sent = 0, ratio = -1;

	bench_reference_options(&o, seed);
	o.policy = policy;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	for (uint32_t z = 0; z < c.options.zones; z++)
		for (uint32_t i = 0; i < c.options.runners; i += 3)
			if (set_runner_fault(&c, z, i, "\"error_rate\":1") < 0)
				goto out;
	snprintf(mix, sizeof(mix),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=5000,work_us=%d,idempotent=yes,retries=3,"
		 "retry_ms=200",
		 0.4 * request_capacity(&c, WORK_US), WORK_US);
	if (bench_load_start(&load, &c, ALL_ENTRIES, mixes, 12, seed, "load") ||
	    bench_load_wait(&load) < 0)
		goto out;
	bench_load_get_stats(&load, "draft", &k);
	*served = k.done / k.sent;
	for (uint32_t i = 0; i < c.entry_count; i++)
		accepted += (double)cluster_status_number(&c, i, "flow",
							  "first_sends");
	for (uint32_t z = 0; z < c.options.zones; z++) {
		char file[32];

		snprintf(file, sizeof(file), "runners-%u.jsonl", z);
		sent += cluster_count_lines(&c, file, "\"run-start\"", NULL);
	}
	if (bench_check_journals(&c) == 0 && accepted > 0)
		ratio = sent / accepted;
out:
	cluster_stop(&c);
	return ratio;
}

static int run_retry(uint64_t seed)
{
	double served, served_baseline;
	double baseline = measure_sends_per_accepted(seed, "retry_budget = 0%",
						     &served_baseline);
	double ratio = measure_sends_per_accepted(seed, NULL, &served);
	struct bench_figure f = {
		"sent-per-accepted",   ratio, "ratio", baseline, BOUND_MAX,
		SENDS_PER_ACCEPTED_MAX
	};

	if (baseline < 0 || ratio < 0)
		return -1;
	bench_report("retry", seed, &f);
	f = (struct bench_figure){ "served",	    served,	"share",
				   served_baseline, BOUND_NONE, 0 };
	bench_report("retry", seed, &f);
	return 0;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "route", run_route },
		{ "flood-low", run_flood_low },
		{ "flood-high", run_flood_high },
		{ "retry", run_retry },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
