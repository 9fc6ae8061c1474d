#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support-model-bench.h"

static bool bound_missed;

void model_bench_report(const char *scenario, const char *metric, double value,
			const char *unit, double baseline, double bound,
			bool pass, uint64_t seed)
{
	printf("%s %s %.3f %s baseline=%.3f bound=%.3f %s seed=%llu\n",
	       scenario, metric, value, unit, baseline, bound,
	       pass ? "pass" : "fail", (unsigned long long)seed);
	if (!pass)
		bound_missed = true;
}

int model_bench_main(int argc, char **argv,
		     const struct model_scenario *scenarios, size_t count)
{
	const char *selected = NULL;
	uint64_t seed = 1, runs = 3;
	int opt;

	setvbuf(stdout, NULL, _IOLBF, 0);
	while ((opt = getopt(argc, argv, "s:n:")) != -1) {
		if (opt == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (opt == 'n')
			runs = strtoull(optarg, NULL, 10);
		else
			return 2;
	}
	if (optind < argc)
		selected = argv[optind];
	for (uint64_t i = seed; i < seed + runs; i++) {
		for (size_t n = 0; n < count; n++) {
			if (selected &&
			    strcmp(selected, scenarios[n].name) != 0)
				continue;
			if (i == seed || !scenarios[n].first_seed_only)
				scenarios[n].run(i);
		}
	}
	return bound_missed;
}
