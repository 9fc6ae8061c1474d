#ifndef SUPPORT_PLACE_MODEL_H
#define SUPPORT_PLACE_MODEL_H

#include "support-place.h"

/*
 * NAME
 *	support-place-model - simulated workers and calls of one shard
 *
 * DESCRIPTION
 *	One global model. A call is sent, executed by its worker, answered or
 *	abandoned when the test says so, or when its timeout has passed. Calls
 *	of one owner to one worker stay in order.
 *	place_model_check_invariants() checks that no task runs on two workers
 *	and that no worker exceeds its capacity; the order of attempts is
 *	checked when a start is executed. Only the first failure is kept.
 */

#define WORKER_COUNT 4
#define WORKER_RUNS_MAX 64
#define CALLS_MAX 256
#define OLD_OWNERS_MAX 3
#define LAST_ATTEMPTS_MAX 512
#define STEP_US 100000u
#define WORKER_CPU_MILLI 4000
#define WORKER_MEMORY_MB 8192

struct task_run {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
	enum task_state state; /* TASK_EVICTED: its lease expired */
	uint64_t lease_end_us;
	int32_t cpu_milli;
	int32_t memory_mb;
};

struct model_worker {
	char id[16];
	uint32_t generation;
	bool alive;
	bool listed;
	bool reachable;
	bool partitioned;     /* from the current owner only */
	bool was_unreachable; /* at some time; completed runs may be unseen */
	bool leaving;
	bool fail_starts;
	uint64_t fence;
	struct task_run runs[WORKER_RUNS_MAX];
	int run_count;
};

enum call_state {
	CALL_FREE,
	CALL_QUEUED,
	CALL_SENT,
	CALL_SERVED,   /* executed, not yet answered */
	CALL_ABANDONED /* without a result; may still reach the worker */
};

struct place_model_call {
	enum call_state state;
	struct place_action action;
	struct shard_owner *owner;
	uint64_t order;
	uint64_t created_us;
	uint64_t sent_us;
	uint64_t ended_us;
	enum place_result result;
	/* Result of a read, or the tasks of a lease renewal. */
	struct task_run runs[WORKER_RUNS_MAX];
	int run_count;
};

struct last_attempt {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
};

struct place_model {
	struct shard shard;
	/* Former owners, most recent first. */
	struct shard_owner *old_owners[OLD_OWNERS_MAX];
	struct model_worker workers[WORKER_COUNT];
	struct place_model_call calls[CALLS_MAX];
	int call_high_water; /* calls from this index on are free */
	uint64_t call_order;
	struct last_attempt last_attempts[LAST_ATTEMPTS_MAX];
	int last_attempt_count;
	char failure[200];
	const char *failure_format; /* format of the failed check */
	bool verbose;		    /* print each finished call */
	bool old_owner_active;	    /* old_owners[0] still runs */
	uint64_t steps;
};

extern struct place_model pm;

void place_model_fail(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));
void place_model_check_invariants(void);
struct model_worker *place_model_find_worker(const char *id);
struct task_run *place_model_find_run(struct model_worker *w, const char *id);
void place_model_report(struct shard_owner *o, const char *worker,
			const struct task_run *run, bool read);

/* Queues a call for each pending action of an owner's core. */
void place_model_queue_actions(struct shard_owner *o);

/* Sends the first queued call of each owner to each worker. */
void place_model_send_calls(void);

/*
 * Returns call n, modulo their number, of those in either of two states; NULL
 * if there is none.
 */
struct place_model_call *place_model_pick_call(uint32_t n, enum call_state a,
					       enum call_state b);

/* Executes a call on its worker, if the worker can be reached. */
void place_model_serve_call(struct place_model_call *c);

/* Passes the result of a call to its owner. */
void place_model_end_call(struct place_model_call *c, enum place_result result);

/*
 * Ends a call with an unknown result. If it was not executed yet, it can still
 * reach the worker later.
 */
void place_model_abandon_call(struct place_model_call *c);

/* Passes the list of VMs to an owner. */
void place_model_update_workers(struct shard_owner *o);

/* Passes the list of VMs and a tick to an owner. */
void place_model_tick_owner(struct shard_owner *o);

/* Advances the clock; the current owner gets ticks if owner_runs is set. */
void place_model_advance_time(uint64_t us, bool owner_runs);

/* Advances the clock; entries are committed and calls answered at once. */
void place_model_run_for(uint64_t us);

#endif
