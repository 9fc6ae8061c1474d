/*
 * Test double of the platform: the key-value service, which holds the VM list,
 * and the simulated workers of one address. See docs/design.md 3.3.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "clock.h"
#include "support-journal.h"
#include "support-store.h"
#include "support-workers-http.h"

#define TICK_US 20000
/* Each watch and each call that a fault holds occupies a thread. */
#define STORE_THREADS 512
#define WORKER_THREADS 256

struct arguments {
	struct arg_str *store;
	struct arg_str *workers;
	struct arg_str *vms;
	struct arg_int *list_lag_ms;
	struct arg_int *report_lag_ms;
	struct arg_str *seed;
	struct arg_str *journal;
	struct arg_lit *help;
	struct arg_end *end;
};

static volatile sig_atomic_t stopping;

static void on_signal(int number);
static int run(const struct arguments *a);

static void on_signal(int number)
{
	(void)number;
	stopping = 1;
}

static int run(const struct arguments *a)
{
	uint64_t seed = strtoull(a->seed->sval[0], NULL, 10);
	const char *address = a->workers->count ? a->workers->sval[0] : "";
	struct httpd *store_http = NULL, *workers_http = NULL;
	struct worker_pool pool;
	struct fake_store store;
	int rc = 1;

	fake_store_init(&store, a->vms->count ? a->vms->sval[0] : NULL,
			(uint64_t)a->list_lag_ms->ival[0] * 1000, seed);
	pool_init(&pool, address, (uint64_t)a->report_lag_ms->ival[0] * 1000,
		  seed);
	pool_update_workers(&pool, store.vms.current);
	if (a->workers->count) {
		workers_http = httpd_start(address, WORKER_THREADS, pool_handle,
					   &pool);
		if (!workers_http)
			goto out;
	}
	if (a->store->count) {
		store_http = httpd_start(a->store->sval[0], STORE_THREADS,
					 fake_store_handle, &store);
		if (!store_http)
			goto out;
	}
	printf("ready seed=%llu\n", (unsigned long long)seed);
	fflush(stdout);
	while (!stopping) {
		if (fake_store_tick(&store))
			pool_update_workers(&pool, store.vms.current);
		pool_step(&pool);
		clock_sleep_us(TICK_US);
	}
	rc = 0;
out:
	fault_end_waits(&store.fault);
	fault_end_waits(&pool.fault);
	httpd_stop(store_http);
	httpd_stop(workers_http);
	fake_store_free(&store);
	pool_free(&pool);
	return rc;
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.store = arg_str0(NULL, "store", "IP:PORT",
				  "serve the key-value service and VM list"),
		.workers = arg_str0(NULL, "workers", "IP:PORT",
				    "serve the workers of this address"),
		.vms = arg_str0(NULL, "vms", "FILE", "VM list, JSON"),
		.list_lag_ms = arg_int0(NULL, "list-lag-ms", "MS",
					"delay of the published VM list"),
		.report_lag_ms = arg_int0(NULL, "report-lag-ms", "MS",
					  "delay of the usage reports"),
		.seed = arg_str0(NULL, "seed", "N", "random seed"),
		.journal = arg_str0(NULL, "journal", "FILE",
				    "append events to FILE"),
		.help = arg_lit0("h", "help", "print this text"),
		.end = arg_end(8),
	};
	void *table = &a;
	int rc = 2;

	a.list_lag_ms->ival[0] = 0;
	a.report_lag_ms->ival[0] = 1000;
	a.seed->sval[0] = "1";
	if (arg_parse(argc, argv, table) || a.help->count) {
		arg_print_errors(stderr, a.end, "fake-platform");
		arg_print_glossary(stderr, table, "%-28s %s\n");
		goto out;
	}
	if (!a.store->count && !a.workers->count) {
		fprintf(stderr,
			"fake-platform: --store or --workers is required\n");
		goto out;
	}
	if (a.journal->count && journal_open(a.journal->sval[0]) < 0)
		goto out;
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	rc = run(&a);
out:
	journal_close();
	arg_freetable(table, sizeof(a) / sizeof(void *));
	return rc;
}
