/*
 * Scenarios store-down and cut-off: each zone keeps serving up to the capacity
 * of its own targets while the platform's store is down or links are cut.
 */
#include <signal.h>
#include <stdio.h>

#include "clock.h"
#include "support-bench.h"

#define WORK_US 100000
#define LOAD_RATIO 0.7
#define SERVED_RATIO_MIN 0.99
#define STORE_WRITES_MAX_PER_S 300
#define STORE_READS_MAX_PER_S 1500
#define RECOVERY_TIMEOUT_MS 30000

static int run_store_down(uint64_t seed);
static int run_cut_off(uint64_t seed);

/* Request rate that keeps the given share of the zones' slots busy. */
static double request_rate(const struct cluster *c, uint32_t zones,
			   double share)
{
	return share * zones * c->options.runners * 8 * 1e6 / WORK_US;
}

/*
 * Sends idempotent requests to the entry VMs in mask for some seconds and
 * returns the share of them that was answered "done".
 */
static double measure_served_ratio(struct cluster *c, uint32_t mask,
				   uint32_t zones, double seconds,
				   uint64_t seed, const char *name,
				   double *p99_us)
{
	char mix[200];
	const char *mixes[] = { mix, NULL };
	struct bench_load load;
	struct bench_load_stats k;

	snprintf(mix, sizeof(mix),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=4000,work_us=%d,idempotent=yes",
		 request_rate(c, zones, LOAD_RATIO), WORK_US);
	if (bench_load_start(&load, c, mask, mixes, seconds, seed, name) < 0 ||
	    bench_load_wait(&load) < 0)
		return 0;
	bench_load_get_stats(&load, NULL, &k);
	if (p99_us)
		*p99_us = k.p99_us;
	return k.sent ? k.done / k.sent : 0;
}

static uint32_t zone_mask(const struct cluster *c, uint32_t zone)
{
	uint32_t mask = 0;

	for (uint32_t i = 0; i < c->entry_count; i++)
		if (c->entry_zone[i] == zone)
			mask |= 1u << i;
	return mask;
}

static int run_store_down(uint64_t seed)
{
	const char *name = "store-down";
	struct cluster_options o;
	struct cluster c;
	double p99, served;
	int ret = -1;

	bench_reference_options(&o, seed);
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	served = measure_served_ratio(&c, 0x7f, 3, 4, seed, "before", &p99);
	bench_report_info(name, seed, "served-before", served, "share");
	bench_report_info(name, seed, "p99-before", p99 / 1000, "ms");
	if (cluster_set_fault(cluster_store_port(&c), "{\"down\":true}") < 0)
		goto out;
	served = measure_served_ratio(&c, 0x7f, 3, 15, seed + 1, "down", &p99);
	bench_report_min(name, seed, "served-down", served, "share",
			 SERVED_RATIO_MIN);
	bench_report_info(name, seed, "p99-down", p99 / 1000, "ms");
	if (cluster_set_fault(cluster_store_port(&c),
			      "{\"down\":false,\"delay_ms\":2000}") < 0)
		goto out;
	served = measure_served_ratio(&c, 0x7f, 3, 8, seed + 2, "slow", &p99);
	bench_report_min(name, seed, "served-slow", served, "share",
			 SERVED_RATIO_MIN);
	if (cluster_set_fault(cluster_store_port(&c), "{\"reset\":true}") < 0)
		goto out;
	served = measure_served_ratio(&c, 0x7f, 3, 8, seed + 3, "back", &p99);
	bench_report_min(name, seed, "served-back", served, "share",
			 SERVED_RATIO_MIN);
	bench_report_max(name, seed, "store-writes-peak",
			 bench_store_peak_rate(&c, "write"), "1/s",
			 STORE_WRITES_MAX_PER_S);
	bench_report_max(name, seed, "store-reads-peak",
			 bench_store_peak_rate(&c, "read"), "1/s",
			 STORE_READS_MAX_PER_S);
	bench_report_recovery(name, seed, &c, RECOVERY_TIMEOUT_MS);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

/* Loads each zone separately and returns the lowest served ratio. */
static double min_served_ratio_of_zones(struct cluster *c, double seconds,
					uint64_t seed, const char *name)
{
	char mix[200], file[48];
	const char *mixes[] = { mix, NULL };
	struct bench_load loads[CLUSTER_ZONES_MAX];
	double lowest = 1;

	snprintf(mix, sizeof(mix),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=4000,work_us=%d,idempotent=yes",
		 request_rate(c, 1, LOAD_RATIO), WORK_US);
	for (uint32_t z = 0; z < c->options.zones; z++) {
		snprintf(file, sizeof(file), "%s-%u", name, z);
		if (bench_load_start(&loads[z], c, zone_mask(c, z), mixes,
				     seconds, seed + z, file) < 0)
			return 0;
	}
	for (uint32_t z = 0; z < c->options.zones; z++) {
		struct bench_load_stats k;

		if (bench_load_wait(&loads[z]) < 0)
			return 0;
		bench_load_get_stats(&loads[z], NULL, &k);
		if (k.sent && k.done / k.sent < lowest)
			lowest = k.done / k.sent;
	}
	return lowest;
}

static int run_cut_off(uint64_t seed)
{
	static const struct {
		const char *name;
		const char *link;
		const char *json;
	} link_cuts[] = {
		{ "store-up", "store-0", "{\"cut\":\"up\"}" },
		{ "store-down", "store-0", "{\"cut\":\"down\"}" },
		{ "store-both", "store-0", "{\"cut\":\"both\"}" },
		{ "peer-up", "peer-0-3", "{\"cut\":\"up\"}" },
		{ "peer-down", "peer-1-0", "{\"cut\":\"down\"}" },
	};
	const char *name = "cut-off";
	struct cluster_options o;
	char metric[48];
	struct cluster c;
	int ret = -1;

	bench_reference_options(&o, seed);
	o.proxy_links = true;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	for (size_t i = 0; i < sizeof(link_cuts) / sizeof(link_cuts[0]); i++) {
		if (cluster_set_link(&c, link_cuts[i].link, link_cuts[i].json) <
		    0)
			goto out;
		snprintf(metric, sizeof(metric), "served-%s",
			 link_cuts[i].name);
		bench_report_min(name, seed, metric,
				 min_served_ratio_of_zones(&c, 5, seed + 10 * i,
							   link_cuts[i].name),
				 "share", SERVED_RATIO_MIN);
		if (cluster_set_link(&c, link_cuts[i].link,
				     "{\"cut\":\"none\"}") < 0)
			goto out;
	}
	if (cluster_partition_zone(&c, 0, true) < 0)
		goto out;
	bench_report_min(
		name, seed, "served-zone-cut",
		min_served_ratio_of_zones(&c, 15, seed + 100, "zone-cut"),
		"share", SERVED_RATIO_MIN);
	if (cluster_partition_zone(&c, 0, false) < 0)
		goto out;
	bench_report_min(name, seed, "served-healed",
			 min_served_ratio_of_zones(&c, 6, seed + 200, "healed"),
			 "share", SERVED_RATIO_MIN);
	bench_report_recovery(name, seed, &c, RECOVERY_TIMEOUT_MS);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "store-down", run_store_down },
		{ "cut-off", run_cut_off },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
