#ifndef SUPPORT_BENCH_H
#define SUPPORT_BENCH_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "support-cluster.h"

/*
 * NAME
 *	support-bench - benchmark scenarios on a cluster of real processes
 *
 * DESCRIPTION
 *	A benchmark defines a table of scenarios. bench_main() runs the
 *	scenarios named on the command line, or all of them, and returns 1 if
 *	a bound is missed or a scenario cannot run. Each figure is printed as
 *	one line:
 *	SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 */

enum bound_kind { BOUND_MAX, BOUND_MIN, BOUND_NONE };

struct bench_figure {
	const char *metric;
	double value;
	const char *unit;
	double baseline; /* NAN if none */
	enum bound_kind kind;
	double bound;
};

struct bench_scenario {
	const char *name;
	/* Reports figures with bench_report(); -1 if it could not run. */
	int (*run)(uint64_t seed);
};

int bench_main(int argc, char **argv, const struct bench_scenario *scenarios,
	       size_t count);
void bench_report(const char *scenario, uint64_t seed,
		  const struct bench_figure *f);

/* Report a figure without a baseline: upper bound, lower bound, no bound. */
void bench_report_max(const char *scenario, uint64_t seed, const char *metric,
		      double value, const char *unit, double bound);
void bench_report_min(const char *scenario, uint64_t seed, const char *metric,
		      double value, const char *unit, double bound);
void bench_report_info(const char *scenario, uint64_t seed, const char *metric,
		       double value, const char *unit);

/* ---- load ---- */

#define BENCH_SHEET_HEADER                                              \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"
#define BENCH_SHEET                                         \
	BENCH_SHEET_HEADER                                  \
	"kind,yildirim,,draft,urgent,50,0,no,,,,,\n"        \
	"kind,yildirim,,archive,deferrable,10,0,yes,,,,,\n" \
	"kind,bandargah,,confirm,normal,20,0,no,,,,,\n"     \
	"kind,bandargah,,closure,normal,10,0,no,,,,,\n"     \
	"team,yildirim,court,,,100,0,,,,,,\n"               \
	"team,bandargah,port,,,100,0,,,,,,\n"

struct bench_load {
	pid_t pid;
	char output_file[48];
	struct cluster *cluster;
};

struct bench_load_stats {
	double sent, done, not_run, unknown, retried, bad_answers;
	double p50_us, p99_us, refusal_p99_us;
};

/*
 * Starts load-gen against the entry VMs whose bit is set in mask. mixes is a
 * NULL-terminated list of "key=value,..." strings.
 */
int bench_load_start(struct bench_load *l, struct cluster *c, uint32_t mask,
		     const char *const mixes[], double seconds, uint64_t seed,
		     const char *name);

/* Waits for load-gen to exit; -1 if its exit status is not 0. */
int bench_load_wait(struct bench_load *l);

/*
 * Sums the counters of all entries of a kind, or of all kinds if kind is NULL.
 * A latency percentile is the highest one among these entries.
 */
void bench_load_get_stats(struct bench_load *l, const char *kind,
			  struct bench_load_stats *out);

/*
 * Starts a cluster, applies the sheet and waits until all entry VMs are ready.
 * On failure prints an error to stderr and returns -1.
 */
int bench_start_cluster(struct cluster *c, const struct cluster_options *o,
			const char *sheet);

/* The first user's present deployment: 65 runners and workers, 7 entry VMs. */
void bench_reference_options(struct cluster_options *o, uint64_t seed);

/*
 * Runs journal-check on the cluster's journals. Returns 0 if all invariants
 * hold, 1 if some are violated, -1 if the check failed.
 */
int bench_check_journals(struct cluster *c);

/*
 * Reports whether all entry VMs become ready within the timeout after faults,
 * and whether invariants are violated.
 */
void bench_report_recovery(const char *scenario, uint64_t seed,
			   struct cluster *c, uint32_t timeout_ms);

/* Peak rate of "read" or "write" calls to the store per second, or -1. */
double bench_store_peak_rate(struct cluster *c, const char *kind);

/* CPU time in seconds and resident memory in megabytes of a process. */
double bench_cpu_s(pid_t pid);
double bench_memory_mb(pid_t pid);

#endif
