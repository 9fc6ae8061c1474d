#ifndef SUPPORT_PLACE_MODEL_H
#define SUPPORT_PLACE_MODEL_H

#include "support-place.h"

/*
 * NAME
 *	support-place-model - workers and calls around a shard, step by step
 *
 * DESCRIPTION
 *	One global model. A call leaves, arrives, is answered or is lost only
 *	when it is told to, or when its time is over; the calls of an owner on
 *	one worker keep their order. place_model_check_invariants() tests what
 *must hold at every moment: no task in two places, no worker above its
 *capacity; starts are checked as they arrive. The first failure is kept.
 */

#define WORKERS 4
#define WORKER_RUNS_MAX 64
#define CALLS_MAX 256
#define OLD_OWNERS_MAX 3
#define LAST_ATTEMPTS_MAX 512
#define STEP_US 100000u
#define CPU 4000
#define MEMORY 8192

struct task_run {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
	enum task_state state; /* running, done, failed, evicted (expired) */
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
	bool partitioned;
	bool was_unreachable;
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
	CALL_SERVED,
	CALL_ABANDONED
};

struct model_call {
	enum call_state state;
	struct place_action action;
	struct shard_owner *owner;
	uint64_t order;
	uint64_t created_us;
	uint64_t sent_us;
	uint64_t ended_us;
	enum place_answer answer;
	/* What a read saw, or the tasks that a renewal names. */
	struct task_run runs[WORKER_RUNS_MAX];
	int run_count;
};

struct last_attempt {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
};

struct place_model {
	struct shard shard;
	struct shard_owner
		*old_owners[OLD_OWNERS_MAX]; /* replaced, newest first */
	struct model_worker workers[WORKERS];
	struct model_call calls[CALLS_MAX];
	int call_high_water; /* all calls from here on are free */
	uint64_t call_order;
	struct last_attempt last_attempts[LAST_ATTEMPTS_MAX];
	int last_attempt_count;
	char failure[200];
	const char *failure_format;
	bool verbose;	       /* print the calls */
	bool old_owner_active; /* owners[0] goes on */
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

/* Queues the calls that an owner's core asks for. */
void place_model_queue_actions(struct shard_owner *o);

/* Lets the first call of each worker leave. */
void place_model_send_calls(void);

/* Returns the n-th call, modulo their number, in either of two states. */
struct model_call *place_model_pick_call(uint32_t n, enum call_state a,
					 enum call_state b);
void place_model_serve_call(struct model_call *c);
void place_model_end_call(struct model_call *c, enum place_answer answer);

/* The answer does not come; what did not arrive yet may still do so. */
void place_model_abandon_call(struct model_call *c);

/* Passes the list of VMs to an owner, and a tick. */
void place_model_update_workers(struct shard_owner *o);
void place_model_tick_owner(struct shard_owner *o);
void place_model_advance_time(uint64_t us, bool owner_runs);

/* Lets everything go on by itself. */
void place_model_run_for(uint64_t us);

#endif
