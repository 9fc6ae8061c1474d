/*
 * Measures how the control-plane cost of an entry VM grows with the size of
 * the deployment and the load, on real processes, for docs/CAPACITY.md.
 * Prints CSV: series,x,metric,value.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-bench.h"

#define SETTLE_US 8000000u
#define MEASURE_US 8000000u
#define RATE_DURATION_S 8
#define START_WAVES 5
#define ZONE_INDEX 0

struct sample {
	double cpu_s;
	double peer_bytes;
	double store_calls;
	double worker_calls;
	uint64_t at_us;
};

static int measure_entries(uint64_t seed);
static int measure_workers(uint64_t seed);
static int measure_requests(uint64_t seed);
static int measure_starts(uint64_t seed);

static void print_point(const char *series, double x, const char *metric,
			double value)
{
	printf("%s,%g,%s,%.6g\n", series, x, metric, value);
	fflush(stdout);
}

/* Sums all series of a metric in the Prometheus text exposition format. */
static double metric_sum(const char *text, const char *name)
{
	size_t len = strlen(name);
	double sum = 0;

	for (const char *line = text; line && *line;) {
		const char *end = strchr(line, '\n');

		if (!strncmp(line, name, len) &&
		    (line[len] == ' ' || line[len] == '{')) {
			const char *value = end ? end : line + strlen(line);

			while (value > line && value[-1] != ' ')
				value--;
			sum += strtod(value, NULL);
		}
		line = end ? end + 1 : NULL;
	}
	return sum;
}

static int take_sample(struct cluster *c, uint32_t entry, struct sample *s)
{
	struct buffer b = BUFFER_INIT;
	int status = cluster_http(cluster_operator_port(c, entry), "GET",
				  "/metrics", NULL, NULL, &b);

	if (status != 200) {
		buffer_free(&b);
		return -1;
	}
	s->at_us = clock_now_us();
	s->cpu_s = bench_cpu_s(c->entries[entry].pid);
	s->peer_bytes = metric_sum(b.data, "waxwing_peer_sent_bytes_total") +
			metric_sum(b.data, "waxwing_peer_received_bytes_total");
	s->store_calls = metric_sum(b.data, "waxwing_store_calls_total");
	s->worker_calls = metric_sum(b.data, "waxwing_worker_calls_total");
	buffer_free(&b);
	return 0;
}

/*
 * Prints the resources used between two samples: the highest CPU, memory and
 * peer traffic of any entry VM, and the calls of all entry VMs together.
 */
static void print_usage(const char *series, double x, struct cluster *c,
			const struct sample *a, const struct sample *b)
{
	double cpu = 0, bytes = 0, calls = 0, worker = 0, memory = 0;

	for (uint32_t i = 0; i < c->entry_count; i++) {
		double s = (double)(b[i].at_us - a[i].at_us) / 1e6;
		double mb = bench_memory_mb(c->entries[i].pid);
		double per_s = (b[i].cpu_s - a[i].cpu_s) / s;

		cpu = per_s > cpu ? per_s : cpu;
		memory = mb > memory ? mb : memory;
		per_s = (b[i].peer_bytes - a[i].peer_bytes) / s;
		bytes = per_s > bytes ? per_s : bytes;
		calls += (b[i].store_calls - a[i].store_calls) / s;
		worker += (b[i].worker_calls - a[i].worker_calls) / s;
	}
	print_point(series, x, "cpu-cores-max", cpu);
	print_point(series, x, "memory-mb-max", memory);
	print_point(series, x, "peer-bytes-per-s-max", bytes);
	print_point(series, x, "store-calls-per-s-all", calls);
	print_point(series, x, "worker-calls-per-s-all", worker);
}

/* Measures a deployment without requests or tasks. */
static int measure_idle(const char *series, double x,
			const struct cluster_options *o)
{
	struct sample a[CLUSTER_ENTRIES_MAX], b[CLUSTER_ENTRIES_MAX];
	struct cluster c;
	int ret = -1;

	if (bench_start_cluster(&c, o, BENCH_SHEET) < 0)
		goto out;
	clock_sleep_us(SETTLE_US);
	for (uint32_t i = 0; i < c.entry_count; i++)
		if (take_sample(&c, i, &a[i]) < 0)
			goto out;
	clock_sleep_us(MEASURE_US);
	for (uint32_t i = 0; i < c.entry_count; i++)
		if (take_sample(&c, i, &b[i]) < 0)
			goto out;
	print_usage(series, x, &c, a, b);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

static int measure_entries(uint64_t seed)
{
	static const uint32_t sizes[] = { 1, 2, 4, 8 };
	struct cluster_options o;

	for (size_t i = 0; i < 4; i++) {
		bench_reference_options(&o, seed);
		o.zones = 1;
		o.entries[ZONE_INDEX] = sizes[i];
		if (measure_idle("entries", sizes[i], &o) < 0)
			return -1;
	}
	return 0;
}

static int measure_workers(uint64_t seed)
{
	static const uint32_t sizes[] = { 50, 150, 400, 1200 };
	struct cluster_options o;

	for (size_t i = 0; i < 4; i++) {
		bench_reference_options(&o, seed);
		o.zones = 1;
		o.entries[ZONE_INDEX] = 2;
		o.workers = sizes[i];
		if (measure_idle("workers", sizes[i], &o) < 0)
			return -1;
	}
	return 0;
}

/* Measures one entry VM at a constant request rate. */
static int measure_request_rate(double rate, uint64_t seed)
{
	char mix[200];
	const char *mixes[] = { mix, NULL };
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats k;
	struct sample a, b;
	struct cluster c;
	int ret = -1;

	bench_reference_options(&o, seed);
	o.zones = 1;
	o.entries[ZONE_INDEX] = 1;
	snprintf(mix, sizeof(mix),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=4000,work_us=50000,idempotent=yes",
		 rate);
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    take_sample(&c, 0, &a) < 0 ||
	    bench_load_start(&load, &c, 1, mixes, RATE_DURATION_S, seed,
			     "load") < 0 ||
	    bench_load_wait(&load) < 0 || take_sample(&c, 0, &b) < 0)
		goto out;
	bench_load_get_stats(&load, NULL, &k);
	print_point("requests", rate, "cpu-us-per-request",
		    (b.cpu_s - a.cpu_s) * 1e6 / k.sent);
	print_point("requests", rate, "memory-mb",
		    bench_memory_mb(c.entries[0].pid));
	print_point("requests", rate, "p99-ms", k.p99_us / 1000);
	print_point("requests", rate, "served", k.done / k.sent);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

static int measure_requests(uint64_t seed)
{
	static const double rates[] = { 100, 200, 400, 800 };

	for (size_t i = 0; i < 4; i++)
		if (measure_request_rate(rates[i], seed) < 0)
			return -1;
	return 0;
}

/* Creates one job of rate urgent tasks; called once a second. */
static int create_tasks(struct cluster *c, uint32_t rate, uint32_t wave)
{
	char body[512];
	int status;

	snprintf(body, sizeof(body),
		 "{\"id\":\"%s.wave%u\",\"user\":\"yildirim\","
		 "\"team\":\"court\",\"name\":\"wave\",\"class\":\"batch\","
		 "\"kind\":\"draft\",\"urgency\":\"urgent\",\"count\":%u,"
		 "\"cpu_milli\":200,\"memory_mb\":500,\"accelerators\":0,"
		 "\"yields\":false,\"spread\":\"none\",\"max_run_ms\":60000,"
		 "\"spec\":\"run_ms=2000 cpu=200 mem=400\"}",
		 cluster_zone_names[ZONE_INDEX], wave, rate);
	status = cluster_http(cluster_operator_port(c, 0), "POST",
			      "/v1/placements", NULL, body, NULL);
	if (status == 200 || status == 201)
		return 0;
	fprintf(stderr, "placement request failed with status %d\n", status);
	return -1;
}

static bool all_tasks_started(struct cluster *c, void *arg)
{
	const uint32_t *expected = arg;

	return cluster_count_lines(c, "workers-0.jsonl", "\"task-start\"",
				   NULL) >= *expected;
}

static int measure_start_rate(uint32_t rate, uint64_t seed)
{
	struct sample a[2], b[2];
	struct cluster_options o;
	struct cluster c;
	uint32_t expected = rate * START_WAVES;
	uint64_t begin;
	int ret = -1;

	bench_reference_options(&o, seed);
	o.zones = 1;
	o.entries[ZONE_INDEX] = 2;
	o.workers = 110;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	for (uint32_t i = 0; i < 2; i++)
		if (take_sample(&c, i, &a[i]) < 0)
			goto out;
	begin = clock_now_us();
	for (uint32_t wave = 0; wave < START_WAVES; wave++) {
		uint64_t due = begin + wave * 1000000ull;

		while (clock_now_us() < due)
			clock_sleep_us(1000);
		if (create_tasks(&c, rate, wave) < 0)
			goto out;
	}
	if (cluster_wait_until(&c, all_tasks_started, &expected, 30000) < 0)
		fprintf(stderr, "timed out waiting for %u tasks to start\n",
			expected);
	print_point("starts", rate, "all-started-s",
		    (double)(clock_now_us() - begin) / 1e6 - (START_WAVES - 1));
	for (uint32_t i = 0; i < 2; i++)
		if (take_sample(&c, i, &b[i]) < 0)
			goto out;
	print_usage("starts", rate, &c, a, b);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

static int measure_starts(uint64_t seed)
{
	static const uint32_t rates[] = { 30, 60, 120, 240 };

	for (size_t i = 0; i < 4; i++)
		if (measure_start_rate(rates[i], seed) < 0)
			return -1;
	return 0;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "entries", measure_entries },
		{ "workers", measure_workers },
		{ "requests", measure_requests },
		{ "starts", measure_starts },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
