#ifndef SUPPORT_BENCH_H
#define SUPPORT_BENCH_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "support-cluster.h"

/*
 * NAME
 *	support-bench - scenarios on real processes
 *
 * DESCRIPTION
 *	A program has a table of scenarios. bench_main() runs those named on
 *	the command line, or all, and returns 1 when a bound is not met. Each
 *	figure is one line:
 *	SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 */

enum bound_kind { BOUND_MAX, BOUND_MIN, BOUND_NONE };

struct bench_figure {
	const char *metric;
	double value;
	const char *unit;
	double baseline; /* NAN: none */
	enum bound_kind kind;
	double bound;
};

struct bench_scenario {
	const char *name;
	/* Prints figures with bench_report(); -1 when it could not run. */
	int (*run)(uint64_t seed);
};

int bench_main(int argc, char **argv, const struct bench_scenario *scenarios,
	       size_t count);
void bench_report(const char *scenario, uint64_t seed,
		  const struct bench_figure *f);

/* Shorthands of bench_report(). */
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
 * NULL-terminated list of "key=value,..." texts.
 */
int bench_load_start(struct bench_load *l, struct cluster *c, uint32_t mask,
		     const char *const mixes[], double seconds, uint64_t seed,
		     const char *name);

/* Waits for its end. Adds up the kinds with that name; NULL: all kinds. */
int bench_load_wait(struct bench_load *l);
void bench_load_get_stats(struct bench_load *l, const char *kind,
			  struct bench_load_stats *out);

/* Starts a cluster with the sheet in force; -1 after a line on stderr. */
int bench_start_cluster(struct cluster *c, const struct cluster_options *o,
			const char *sheet);

/* Today's deployment of the first user: 65 runners and workers, 7 entries. */
void bench_reference_options(struct cluster_options *o, uint64_t seed);

/* Runs journal-check on the cluster's journals; broken invariants or -1. */
int bench_check_journals(struct cluster *c);

/*
 * Reports whether all entry VMs get ready again after the faults, and the
 * broken invariants.
 */
void bench_report_recovery(const char *scenario, uint64_t seed,
			   struct cluster *c, uint32_t timeout_ms);

/* Peak calls per second on the store, of kind "read" or "write". */
double bench_store_peak_rate(struct cluster *c, const char *kind);

/* Processor seconds and resident megabytes of a process. */
double bench_cpu_s(pid_t pid);
double bench_memory_mb(pid_t pid);

#endif
