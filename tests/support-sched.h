#ifndef SUPPORT_SCHED_H
#define SUPPORT_SCHED_H

#include <stdbool.h>
#include <stdint.h>

#include "job-sched.h"
#include "rng.h"

/*
 * NAME
 *	support-sched - workers, callers and a store for the jobs' core
 *
 * DESCRIPTION
 *	A model in simulated time: job_model_run() advances it in steps of 10
 *ms, in which orders arrive, tasks end, workers report and changed records are
 *stored. It records what a caller of the platform's rules would see and counts
 *broken promises in struct model_faults.
 */

#define MODEL_WORKERS_MAX 1200
#define MODEL_RUNS_MAX 256 /* on one worker */
#define MODEL_JOBS_MAX 2048
#define MODEL_STEP_MS 10

struct model_run {
	char task[SCHED_TASK_NAME_BYTES];
	uint32_t run;
	double left_ms; /* of work; negative: it lasts */
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t cpu_percent;
	bool best_effort;
	bool long_running;
	char image[JOB_NAME_BYTES];
	uint32_t target_ms;
	double done_ms;
};

struct model_worker {
	char id[JOB_NAME_BYTES];
	uint32_t handle;
	struct resources capacity;
	struct model_run runs[MODEL_RUNS_MAX];
	uint32_t run_count;
	struct sched_run_end ended[MODEL_RUNS_MAX * 8];
	char ended_names[MODEL_RUNS_MAX * 8][SCHED_TASK_NAME_BYTES];
	uint32_t ended_count;
	uint64_t last_end_seq;
	uint64_t started_wall_ms;
	bool unresponsive; /* answers nothing, runs on until its leases end */
	bool failing;	   /* every run fails after 20 ms */
	bool hanging;	   /* runs make no progress */
	double speed;
	uint64_t lease_end_us;
	uint64_t reported_us;
	bool changed;
	uint64_t over_since_us; /* a service over its target by batch work */
};

struct model_job {
	struct job_spec spec;	       /* a copy with its own steps */
	double work_ms[JOB_STEPS_MAX]; /* hidden length of a task */
	uint64_t submitted_ms;
	uint64_t completed_ms; /* shown; 0: not yet */
	bool refused;
};

struct model_faults {
	uint32_t duplicate_runs;    /* two runs of one task at once */
	uint32_t early_starts;	    /* a start before its step was ready */
	uint32_t overcommits;	    /* a start beyond a worker's capacity */
	uint32_t unstored_starts;   /* a start whose record was not stored */
	uint32_t target_violations; /* services over target by batch work for 4
				       s */
	uint32_t restarts_after_done; /* a start of a task that was done */
};

struct model {
	struct sched *s;
	struct sched_settings settings;
	struct rng rng;
	uint64_t now_us;
	uint64_t wall_ms;
	struct model_worker workers[MODEL_WORKERS_MAX];
	uint32_t worker_count;
	struct model_job *jobs;
	uint32_t job_count;
	bool store_down;
	struct {
		char id[JOB_ID_BYTES];
		char *data;
		size_t len;
	} records[MODEL_JOBS_MAX];
	uint32_t record_count;
	uint32_t starts;
	uint32_t stops;
	uint32_t throttles;
	uint64_t core_ns; /* processor time of the core's decisions */
	struct model_faults faults;
	/* slowdown of a service image by a batch image, per part in use */
	double (*slope)(const char *service, const char *batch);
};

struct model *job_model_create(uint32_t workers, uint32_t cpu_milli,
			       uint32_t memory_mb);
void job_model_free(struct model *m);

/* Queue "urgent" has priority 0, "batch" 2; both run on service "svc". */
void job_model_policy(struct model *m);

/* A job with steps that follow each other; the caller may change it. */
struct model_job *job_model_add_job(struct model *m, const char *queue,
				    uint32_t steps, uint32_t count,
				    uint32_t cpu_milli, uint32_t memory_mb,
				    double work_ms);
/* Hands the job in. */
void job_model_submit(struct model *m, struct model_job *j);
void job_model_run(struct model *m, uint32_t ms);

/* The owner dies; another loads the records and the jobs. */
void job_model_fail_over(struct model *m);
enum sched_job_state job_model_state(struct model *m,
				     const struct model_job *j);
uint32_t job_model_running(const struct model *m);
/* Writes and loads one report; called by job_model_run(), too. */
void job_model_report(struct model *m, struct model_worker *w);

#endif
