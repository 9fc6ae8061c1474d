#ifndef SUPPORT_MODEL_BENCH_H
#define SUPPORT_MODEL_BENCH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	support-model-bench - benchmarks of models in simulated time
 *
 * DESCRIPTION
 *	usage: PROGRAM [-s SEED] [-n RUNS] [SCENARIO]
 *	model_bench_main() runs all scenarios of a table, or only SCENARIO,
 *	with RUNS consecutive seeds starting at SEED. Scenarios with
 *	first_seed_only set run with the first seed only. Returns 1 if a
 *	figure missed its bound.
 */
struct model_scenario {
	const char *name;
	void (*run)(uint64_t seed);
	bool first_seed_only;
};

int model_bench_main(int argc, char **argv,
		     const struct model_scenario *scenarios, size_t count);

/* Prints: SCENARIO METRIC VALUE UNIT baseline= bound= pass|fail seed= */
void model_bench_report(const char *scenario, const char *metric, double value,
			const char *unit, double baseline, double bound,
			bool pass, uint64_t seed);

#endif
