#ifndef SUPPORT_FLEET_H
#define SUPPORT_FLEET_H

#include "rng.h"
#include "support-place.h"

/*
 * NAME
 *	support-fleet - workers with hidden truths, driven by a place core
 *
 * DESCRIPTION
 *	Simulated time goes in steps of FLEET_STEP_US. A call takes effect at
 *	its worker in the step after the core asked for it, its answer comes
 *	one step later. Usage is sampled once a second and reported late. A
 *	service is slowed by each batch task beside it, by a hidden coefficient
 *	of the pair of kinds, the CPU that the batch task gets and the
 *	service's own load, and by a worker that is asked for more CPU than it
 *	has, where batch tasks share what the services leave.
 */

#define FLEET_STEP_US 100000u
#define FLEET_SERVICE_KINDS 4 /* kinds */
#define FLEET_BATCH_KINDS 8   /* kinds */
#define FLEET_RUNS_PER_WORKER 64
#define FLEET_REPORT_LAG_STEPS 20
#define FLEET_JOBS_MAX 40000

struct fleet_run {
	int32_t job; /* index of a batch job, -1 for a service */
	int32_t service;
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
	double throttle_percent;
	double cpu;	 /* milli that it gets now */
	double slowdown; /* slowdown of a service now */
	uint64_t begin_us;
	uint64_t lease_end_us;
	bool ended; /* done or failed, not reported yet or kept */
	bool failed;
};

struct fleet_worker {
	char id[16];
	char rack[16];
	int32_t cpu;
	int32_t memory;
	bool broken; /* fails every start */
	bool leaving;
	uint32_t starts; /* asked of it */
	struct fleet_run runs[FLEET_RUNS_PER_WORKER];
	uint32_t run_count;
};

struct fleet_job {
	uint8_t kind;
	uint32_t cpu; /* truth, milli */
	uint32_t memory;
	double work;	 /* CPU seconds */
	double progress; /* CPU seconds, kept by checkpoints */
	bool created;
	bool done;
	bool cancelled;
	bool impossible;
	uint64_t created_us;
	uint64_t first_start_us;   /* first start */
	uint32_t attempts_started; /* attempts that began */
	uint32_t
		attempts_stopped; /* of them that ended before they were done */
};

struct fleet {
	struct shard shard;
	struct rng rng;
	struct fleet_worker *workers;
	uint32_t worker_count;
	struct fleet_job *jobs;
	uint32_t job_count;
	uint64_t begin_us;
	/* The hidden truth. */
	double interference[FLEET_SERVICE_KINDS][FLEET_BATCH_KINDS];
	uint32_t service_cpu[FLEET_SERVICE_KINDS];
	uint32_t batch_cpu[FLEET_BATCH_KINDS];
	uint32_t batch_memory[FLEET_BATCH_KINDS];
	double lost_answer_rate; /* part of all calls */
	/* Measures. */
	float *latency;		 /* of service requests, alone = about 1 */
	float *latency_isolated; /* of the same, without slowdown */
	size_t latency_count;
	size_t latency_capacity;
	double batch_work;	       /* CPU seconds */
	uint64_t over_memory_worker_s; /* worker seconds */
	uint64_t duplicate_run_steps;  /* runs in two places, in steps */
	uint64_t evictions;	       /* stops of running batch tasks */
	uint64_t actions[PLACE_REPLY + 1];
	uint64_t log_bytes;
	uint64_t core_cpu_ns;	  /* in the core */
	uint64_t decision_cpu_ns; /* of it, ticks that placed tasks */
	struct fleet_call *calls;
	uint32_t call_count;
	uint32_t call_capacity;
	struct fleet_sample *samples; /* ring of FLEET_REPORT_LAG_STEPS */
	uint64_t step;
};

void fleet_init(struct fleet *c, enum settings_placement policy,
		uint32_t workers, int32_t cpu, int32_t memory, uint64_t seed);
void fleet_free(struct fleet *c);

/* Creates a service with that many replicas. */
void fleet_create_service(struct fleet *c, uint32_t kind, uint32_t replicas);

/* Creates a batch job; returns its index. */
uint32_t fleet_job(struct fleet *c, uint32_t kind, uint32_t cpu,
		   uint32_t memory, uint32_t declared_cpu,
		   uint32_t declared_memory, double work, enum urgency urgency);
void fleet_cancel_job(struct fleet *c, uint32_t job);
void fleet_step(struct fleet *c);

/* Heap bytes of a core that is restored from a snapshot of this one. */
size_t fleet_core_heap_bytes(struct fleet *c);

/* A new owner takes the shard over. */
void fleet_replace_owner(struct fleet *c);

/* Quantile of a table of floats, which it sorts. */
float fleet_quantile(float *values, size_t count, double q);

/* Batch jobs that are neither done nor cancelled. */
uint32_t fleet_backlog(const struct fleet *c);

#endif
