#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "rng.h"
#include "support-place.h"

/*
 * NAME
 *	support-fleet - simulated workers driven by a placement core
 *
 * DESCRIPTION
 *	Simulated time advances in steps of FLEET_STEP_US. A worker executes a
 *	call one step after the core issues it, and the core receives the
 *	answer one step later. Usage is sampled once a second and reported
 *	after FLEET_REPORT_LAG_STEPS.
 *
 *	Each batch task slows the services on its worker in proportion to an
 *	interference coefficient of the pair of kinds, which the core cannot
 *	see, to the CPU that the batch task gets and to the service's load.
 *	A worker that is short of CPU slows its services further; its batch
 *	tasks share the CPU that the services leave.
 */

#define FLEET_STEP_US 100000u
#define FLEET_SERVICE_KINDS 4
#define FLEET_BATCH_KINDS 8
#define FLEET_RUNS_PER_WORKER 64
#define FLEET_REPORT_LAG_STEPS 20
#define FLEET_JOBS_MAX 40000

struct fleet_run {
	int32_t job; /* index of a batch job, -1 for a service */
	int32_t service;
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
	double throttle_percent;
	double cpu;	 /* millicores currently received */
	double slowdown; /* current, of a service */
	uint64_t begin_us;
	uint64_t lease_end_us;
	bool ended; /* done or failed; kept until it is reported */
	bool failed;
};

struct fleet_worker {
	char id[16];
	char rack[16];
	int32_t cpu;
	int32_t memory;
	bool broken; /* every start fails */
	bool leaving;
	uint32_t starts; /* start calls received */
	struct fleet_run runs[FLEET_RUNS_PER_WORKER];
	uint32_t run_count;
};

struct fleet_job {
	uint8_t kind;
	uint32_t cpu; /* actual use, millicores */
	uint32_t memory;
	double work;	 /* CPU seconds */
	double progress; /* CPU seconds, saved in checkpoints */
	bool created;
	bool done;
	bool cancelled;
	bool impossible;
	uint64_t created_us;
	uint64_t first_start_us;   /* of the first attempt */
	uint32_t attempts_started; /* attempts that began */
	uint32_t attempts_stopped; /* before the work was done */
};

struct fleet {
	struct shard shard;
	struct rng rng;
	struct fleet_worker *workers;
	uint32_t worker_count;
	struct fleet_job *jobs;
	uint32_t job_count;
	uint64_t begin_us;
	/* Actual workload, which the core cannot see. */
	double interference[FLEET_SERVICE_KINDS][FLEET_BATCH_KINDS];
	uint32_t service_cpu[FLEET_SERVICE_KINDS];
	uint32_t batch_cpu[FLEET_BATCH_KINDS];
	uint32_t batch_memory[FLEET_BATCH_KINDS];
	double lost_response_rate; /* fraction of calls */
	/* Measurements. */
	float *latency;		 /* of service requests; median alone 1 */
	float *latency_isolated; /* the same requests without slowdown */
	size_t latency_count;
	size_t latency_capacity;
	double batch_work; /* CPU seconds */
	uint64_t over_memory_worker_s;
	uint64_t duplicate_run_steps; /* task running on two workers */
	uint64_t evictions;	      /* running batch tasks stopped */
	uint64_t actions[PLACE_REPLY + 1];
	uint64_t log_bytes;
	uint64_t core_cpu_ns;	  /* used by the core */
	uint64_t decision_cpu_ns; /* of which ticks that placed tasks */
	struct fleet_call *calls;
	uint32_t call_count;
	uint32_t call_capacity;
	struct fleet_sample *samples; /* ring of FLEET_REPORT_LAG_STEPS */
	uint64_t step;
};

void fleet_init(struct fleet *c, enum settings_placement policy,
		uint32_t workers, int32_t cpu, int32_t memory, uint64_t seed);
void fleet_free(struct fleet *c);

/* Creates a service of the given number of replicas. */
void fleet_create_service(struct fleet *c, uint32_t kind, uint32_t replicas);

/* Creates a batch job; returns its index. */
uint32_t fleet_job(struct fleet *c, uint32_t kind, uint32_t cpu,
		   uint32_t memory, uint32_t declared_cpu,
		   uint32_t declared_memory, double work, enum urgency urgency);
void fleet_cancel_job(struct fleet *c, uint32_t job);
void fleet_step(struct fleet *c);

/* Heap bytes of a core restored from a snapshot of this one. */
size_t fleet_core_heap_bytes(struct fleet *c);

/* Replaces the owner of the shard by a new one. */
void fleet_replace_owner(struct fleet *c);

/* Returns the quantile q of the values; sorts them in place. */
float fleet_quantile(float *values, size_t count, double q);

/* Number of batch jobs not done, cancelled or rejected as impossible. */
uint32_t fleet_backlog(const struct fleet *c);

#endif
