#ifndef SUPPORT_WORKERS_HTTP_H
#define SUPPORT_WORKERS_HTTP_H

#include <pthread.h>

#include "support-fault.h"
#include "support-httpd.h"
#include "support-workers.h"

/*
 * NAME
 *	support-workers-http - HTTP API of the simulated workers
 *
 * DESCRIPTION
 *	pool_handle() answers a call of docs/design.md 3.3 to the workers of
 *	one address, or a control request. POST /v1/fault with "worker" sets
 *	faults of one worker: "fail_starts" (starts answer 500), "down" (the
 *	worker does not answer; its tasks continue) and "kill" (its tasks are
 *	lost, and it does not answer until "down" is cleared).
 */

struct worker_pool {
	pthread_mutex_t lock;
	struct sim_workers workers;
	struct fault fault;
	struct call_counts calls;
	const char *address;
};

void pool_init(struct worker_pool *p, const char *address,
	       uint64_t report_lag_us, uint64_t seed);
void pool_free(struct worker_pool *p);
void pool_handle(void *pool, struct httpd_call *call);
void pool_update_workers(struct worker_pool *p, const json_t *vms);
void pool_step(struct worker_pool *p);

#endif
