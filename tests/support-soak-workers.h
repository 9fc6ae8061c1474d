#ifndef SUPPORT_SOAK_WORKERS_H
#define SUPPORT_SOAK_WORKERS_H

#include <stdbool.h>
#include <stdint.h>

#include "support-jobs-platform.h"

/*
 * NAME
 *	support-soak-workers - random faults of the simulated workers
 *
 * DESCRIPTION
 *	A drawn number selects the workers, the share of orders and the other
 *	properties of a fault. Faults of orders may overlap: at each worker,
 *	the largest share counts. At least half of the workers are neither down
 *	nor draining.
 */

#define SOAK_WORKER_FAULTS_MAX 8

enum soak_worker_fault {
	SOAK_NO_WORKER_FAULT,
	SOAK_APPLIES_LATE, /* orders get no answer, and are executed late */
	SOAK_REFUSES,	   /* orders, and some polls, get 429 or 503 */
	SOAK_NO_ROOM,	   /* starts are refused */
	SOAK_DRAINS,
	SOAK_CRASHES,
};

struct soak_workers {
	struct jobs_platform *platform;
	uint32_t count;
	struct {
		enum soak_worker_fault fault; /* 0: free */
		uint32_t draw;
	} active[SOAK_WORKER_FAULTS_MAX];
};

/* Returns false if the fault cannot be injected now. */
bool soak_worker_fault_begin(struct soak_workers *w, enum soak_worker_fault f,
			     uint32_t draw);
void soak_worker_fault_end(struct soak_workers *w, enum soak_worker_fault f,
			   uint32_t draw);

#endif
