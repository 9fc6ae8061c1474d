#ifndef SUPPORT_WORKERS_H
#define SUPPORT_WORKERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "buffer.h"
#include "rng.h"

/*
 * NAME
 *	support-workers - simulated workers of one address
 *
 * DESCRIPTION
 *	Tasks run under leases and fencing tokens as in docs/design.md 3.3.
 *	The spec of a task sets its actual behaviour, as a key=value list:
 *
 *	run_ms		work of a batch task, default 10000; 0 never ends
 *	cpu, mem	millicores and MB used, default as declared
 *	ramp_ms		time for memory to grow to mem, default 5000
 *	fail		"start", "run", or the probability of failing halfway
 *	service		1: never ends, has a latency
 *	base_us		p99 latency of an isolated service, default 2000
 *	kind		selects the interference class, see classes[]
 *
 *	Each other task on the worker slows a task by
 *	class_interference[own][other], times the other's share of the
 *	worker's CPU (a quarter counts in full), times the square of the
 *	worker's load. A worker whose tasks demand more CPU than it has slows
 *	all of them.
 *
 *	An ended task is kept for 10 min, and a start of an attempt that
 *	ended is refused. A task that was not stopped while it ran is listed
 *	by sim_list_tasks() during that time, and in the usage until
 *	sim_stop() acknowledges its end.
 *
 *	Not thread-safe: the caller holds a mutex and passes the time. Every
 *	change of a task is journalled.
 *
 * UNITS
 *	Times in microseconds of CLOCK_BOOTTIME unless the name says
 *	otherwise; a throttle percent is the share of its CPU that a task
 *	may use: 100 is unthrottled, 0 is paused.
 */

#define WORKER_NAME_BYTES 96
#define INTERFERENCE_CLASSES 4

enum sim_state { SIM_RUNNING, SIM_DONE, SIM_FAILED, SIM_EXPIRED, SIM_STOPPED };

struct sim_task {
	char id[WORKER_NAME_BYTES];
	char checkpoint[WORKER_NAME_BYTES];
	const char *reason;
	enum sim_state state;
	int64_t attempt;
	uint32_t cpu_milli, memory_mb, accelerators; /* requested */
	uint64_t started_us, lease_end_us, ended_us;
	bool acknowledged;		/* sim_stop() reported its end */
	uint32_t percent;		/* CPU throttle */
	double progress_us, fail_at_us; /* fail_at_us < 0: does not fail */
	double slowdown;
	struct {
		double run_us; /* 0: never ends */
		uint32_t cpu_milli, memory_mb;
		uint64_t ramp_us;
		uint32_t base_us;
		bool service;
		unsigned class_index;
	} actual;
	struct sim_task *next;
};

struct sim_worker {
	char id[WORKER_NAME_BYTES];
	uint32_t cpu_milli, memory_mb, accelerators;
	uint64_t fence;
	bool fail_starts, down, removed, over_memory, listed;
	struct sim_task *tasks;
	double load; /* CPU demand of its tasks / CPU */
	struct sim_worker *next;
};

struct sim_usage {
	uint64_t at_us;
	char *text;
	struct sim_usage *next;
};

struct sim_workers {
	struct sim_worker *list;
	struct rng rng;
	uint64_t report_lag_us, last_step_us, last_sample_us;
	uint64_t checkpoint_serial;
	struct sim_usage *oldest, **tail;
};

void sim_init(struct sim_workers *w, uint64_t report_lag_us, uint64_t seed);
void sim_free(struct sim_workers *w);

/* Adds, updates and removes workers of this address per the VM list. */
void sim_update_workers(struct sim_workers *w, const json_t *vms,
			const char *address);
struct sim_worker *sim_find_worker(struct sim_workers *w, const char *id);

/* Advances tasks, leases, memory use and usage samples to now_us. */
void sim_step(struct sim_workers *w, uint64_t now_us);

/*
 * Each call raises the worker's fencing token, or answers 409 if its own is
 * lower. All append the JSON answer, and all but sim_usage() return the
 * HTTP status.
 */
int sim_start(struct sim_workers *w, struct sim_worker *v, const char *task,
	      uint64_t fence, const json_t *body, uint64_t now_us,
	      struct buffer *out);
int sim_renew(struct sim_workers *w, struct sim_worker *v, uint64_t fence,
	      const json_t *body, uint64_t now_us, struct buffer *out);
int sim_throttle(struct sim_workers *w, struct sim_worker *v, const char *task,
		 uint64_t fence, const json_t *body, struct buffer *out);
int sim_checkpoint(struct sim_workers *w, struct sim_worker *v,
		   const char *task, uint64_t fence, struct buffer *out);
/*
 * If the task is absent and an attempt is given (-1: none), later starts of
 * attempts up to it are refused.
 */
int sim_stop(struct sim_workers *w, struct sim_worker *v, const char *task,
	     uint64_t fence, int64_t attempt, struct buffer *out);
int sim_list_tasks(struct sim_workers *w, struct sim_worker *v, uint64_t fence,
		   struct buffer *out);
void sim_usage(struct sim_workers *w, uint64_t now_us, struct buffer *out);

extern const char *const sim_state_names[];

void sim_end_task(struct sim_workers *w, struct sim_worker *v,
		  struct sim_task *t, enum sim_state state, const char *reason);

/* Simulates a VM crash: loses tasks without a checkpoint, and the token. */
void sim_kill(struct sim_worker *v);

#endif
