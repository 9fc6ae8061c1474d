#include "histogram.h"
#include "latency.h"

static const char *const metric_names[LATENCY_COUNT] = {
	[LATENCY_SUBMIT] = "waxwing_submit_seconds",
	[LATENCY_STATE] = "waxwing_state_seconds",
	[LATENCY_STORE] = "waxwing_store_call_seconds",
	[LATENCY_ORDER] = "waxwing_order_seconds",
	[LATENCY_FIRST_RUN] = "waxwing_first_run_seconds",
	[LATENCY_JOB] = "waxwing_job_seconds",
};

static const double quantiles[] = { 0.5, 0.9, 0.99, 1 };

static struct histogram histograms[LATENCY_COUNT];

void latency_add(enum latency_kind kind, uint64_t latency_us)
{
	histogram_add(&histograms[kind], latency_us);
}

void latency_expose(struct buffer *b)
{
	for (int i = 0; i < LATENCY_COUNT; i++) {
		const struct histogram *h = &histograms[i];

		buffer_printf(b, "# TYPE %s summary\n", metric_names[i]);
		for (int q = 0; q < 4; q++)
			buffer_printf(
				b, "%s{quantile=\"%g\"} %.6f\n",
				metric_names[i], quantiles[q],
				(double)histogram_quantile(h, quantiles[q]) /
					1e6);
		buffer_printf(b, "%s_count %llu\n", metric_names[i],
			      (unsigned long long)h->total);
	}
}
