/*
 * Scenario once: non-idempotent requests must not run twice. Callers retry
 * through other entry VMs while runner responses are dropped, entry VMs are
 * killed or paused beyond their lease, and the store applies writes but loses
 * the responses.
 */
#include <math.h>
#include <signal.h>
#include <stdio.h>

#include "clock.h"
#include "rng.h"
#include "support-bench.h"

#define LOAD_DURATION_S 40
#define PAUSE_US 7000000u /* longer than two lease periods */
#define FAULT_DURATION_US 2500000u
#define RECOVERY_TIMEOUT_MS 40000

static int run_once(uint64_t seed);

/* Injects one fault, with a random target, and clears it again. */
static int inject_fault(struct cluster *c, struct rng *r, uint32_t step)
{
	uint32_t entry = rng_below(r, c->entry_count);
	uint32_t zone = rng_below(r, c->options.zones);

	switch (step % 4) {
	case 0:
		cluster_entry_signal(c, entry, SIGKILL);
		clock_sleep_us(FAULT_DURATION_US);
		return cluster_entry_start(c, entry);
	case 1:
		cluster_entry_signal(c, entry, SIGSTOP);
		clock_sleep_us(PAUSE_US);
		cluster_entry_signal(c, entry, SIGCONT);
		return 0;
	case 2:
		if (cluster_set_fault(cluster_runner_control_port(c, zone),
				      "{\"runner\":\"*\",\"drop\":0.3}") < 0)
			return -1;
		clock_sleep_us(FAULT_DURATION_US);
		return cluster_set_fault(cluster_runner_control_port(c, zone),
					 "{\"runner\":\"*\",\"reset\":true}");
	default:
		if (cluster_set_fault(cluster_store_port(c), "{\"lose\":0.3}") <
		    0)
			return -1;
		clock_sleep_us(FAULT_DURATION_US);
		return cluster_set_fault(cluster_store_port(c),
					 "{\"reset\":true}");
	}
}

static int run_once(uint64_t seed)
{
	static const char *const mixes[] = {
		"user=bandargah,team=port,kind=closure,rate=120,"
		"deadline_ms=4000,work_us=50000,idempotent=no,retries=5,"
		"retry_ms=700,duplicate_percent=10",
		"user=yildirim,team=court,kind=draft,urgency=urgent,rate=200,"
		"deadline_ms=4000,work_us=50000,idempotent=yes,retries=5,"
		"retry_ms=700",
		NULL
	};
	const char *name = "once";
	struct rng r = { seed };
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats k;
	struct cluster c;
	uint64_t end;
	int ret = -1;

	bench_reference_options(&o, seed);
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    bench_load_start(&load, &c, 0x7f, mixes, LOAD_DURATION_S, seed,
			     "load") < 0)
		goto out;
	end = clock_now_us() + LOAD_DURATION_S * 1000000ull;
	for (uint32_t step = 0; clock_now_us() < end; step++)
		if (inject_fault(&c, &r, step) < 0)
			goto out;
	if (bench_load_wait(&load) < 0)
		goto out;
	bench_load_get_stats(&load, "closure", &k);
	bench_report_info(name, seed, "closures", k.sent, "count");
	bench_report_info(name, seed, "closures-done", k.done, "count");
	bench_report_info(name, seed, "closures-not-run", k.not_run, "count");
	bench_report_info(name, seed, "closures-unknown", k.unknown, "count");
	bench_report_max(name, seed, "bad-answers", k.bad_answers, "count", 0);
	bench_report_max(name, seed, "store-writes-peak",
			 bench_store_peak_rate(&c, "write"), "1/s", 300);
	bench_report_recovery(name, seed, &c, RECOVERY_TIMEOUT_MS);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "once", run_once },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
