#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-place-model.h"

/*
 * usage: test-place-random [SEED [RUNS]]
 *
 * Drives the place core through random orders of calls, answers, lost answers,
 * takeovers and worker failures against a model of workers. After every step
 * no task may run on two workers, no attempt may start twice and no worker may
 * exceed its capacity. When all faults are repaired and the system is idle, no
 * cancelled task may run, impossible tasks must be marked as such, and every
 * task that fits must run or have ended.
 * A run is a list of operations; arguments are taken modulo the number of
 * objects, so that any operation can be removed to shrink a failing list.
 */

#define OPS_MAX 160
#define PLACEMENTS_MAX 24
#define SEED_DEFAULT 1
#define RUNS_DEFAULT 3000

enum op_type {
	OP_TICK,
	OP_PAUSE, /* 1 to 20 s without a running owner */
	OP_WAIT,  /* 1 to 20 s in which calls are executed and answered */
	OP_COMMIT,
	OP_ARRIVE,
	OP_ANSWER,
	OP_LOSE,
	OP_REFUSE, /* the call is not sent */
	OP_CREATE,
	OP_CANCEL,
	OP_FINISH,
	OP_FAIL,
	OP_USAGE,
	OP_DIE,
	OP_DELIST,
	OP_REACH,
	OP_CUT, /* partition from the owner; old owners still reach it */
	OP_LEAVING,
	OP_BROKEN, /* its starts fail from now on, or no longer */
	OP_TAKE_OVER,
	OP_FULL,      /* the log rejects appends, or accepts them again */
	OP_OLD_OWNER, /* the previous owner runs on, or stops */
	OP_TYPES,
};

static const char *const op_names[OP_TYPES] = {
	[OP_TICK] = "tick",	[OP_PAUSE] = "pause",
	[OP_WAIT] = "wait",	[OP_COMMIT] = "commit",
	[OP_ARRIVE] = "arrive", [OP_ANSWER] = "answer",
	[OP_LOSE] = "lose",	[OP_REFUSE] = "refuse",
	[OP_CREATE] = "create", [OP_CANCEL] = "cancel",
	[OP_FINISH] = "finish", [OP_FAIL] = "fail",
	[OP_USAGE] = "usage",	[OP_DIE] = "die",
	[OP_DELIST] = "delist", [OP_REACH] = "reach",
	[OP_CUT] = "cut",	[OP_LEAVING] = "leaving",
	[OP_BROKEN] = "broken", [OP_TAKE_OVER] = "take-over",
	[OP_FULL] = "full",	[OP_OLD_OWNER] = "old-owner",
};

struct op {
	enum op_type type;
	uint32_t arg;
};

static struct {
	char id[PLACE_NAME_BYTES];
	bool impossible;
	bool cancelled;
} placements[PLACEMENTS_MAX];
static int placement_count;

static void check_final_state(void);

/* ---- operations ---- */

static void create_placement(uint32_t arg)
{
	static const uint32_t cpus[] = { 500, 1000, 2000, 4000 };
	struct placement_spec spec = {
		.user = "u", .kind = "k", .memory_mb = 512, .yields = true
	};
	struct place_event e = { .type = PLACE_CREATE, .placement = &spec };
	int n = placement_count;

	if (n == PLACEMENTS_MAX)
		return;
	snprintf(spec.id, sizeof(spec.id), "z.p%d", n);
	snprintf(spec.team, sizeof(spec.team), "t%u", arg % 3);
	spec.urgency = (enum urgency)(arg / 3 % URGENCY_COUNT);
	spec.count = 1 + arg / 9 % 3;
	spec.cpu_milli = cpus[arg / 27 % 4];
	placements[n].impossible = arg / 108 % 8 == 0;
	if (placements[n].impossible)
		spec.cpu_milli = WORKER_CPU_MILLI + 1;
	placements[n].cancelled = false;
	snprintf(placements[n].id, sizeof(placements[n].id), "%s", spec.id);
	placement_count++;
	shard_step(&pm.shard, &e);
	place_model_queue_actions(pm.shard.owner);
}

static void cancel_placement(uint32_t arg)
{
	struct place_event e = { .type = PLACE_CANCEL };

	if (!placement_count)
		return;
	e.id = placements[arg % (uint32_t)placement_count].id;
	shard_step(&pm.shard, &e);
	place_model_queue_actions(pm.shard.owner);
}

/* Ends a running task of a worker. */
static void end_run(uint32_t arg, enum task_state state)
{
	struct model_worker *w = &pm.workers[arg % WORKER_COUNT];
	struct task_run *run;

	if (!w->run_count || !w->alive)
		return;
	run = &w->runs[arg / WORKER_COUNT % (uint32_t)w->run_count];
	if (run->state == TASK_RUNNING)
		run->state = state;
}

static void report_runs(uint32_t arg)
{
	struct model_worker *w = &pm.workers[arg % WORKER_COUNT];

	for (int i = 0; w->alive && w->reachable && i < w->run_count; i++)
		place_model_report(pm.shard.owner, w->id, &w->runs[i], false);
	place_model_queue_actions(pm.shard.owner);
}

/* Removes a dead worker's VM from the list and adds a new one. */
static void replace_dead_worker(struct model_worker *w)
{
	uint32_t generation = w->generation + 1;
	int n = (int)(w - pm.workers);

	if (w->alive)
		return;
	w->listed = false;
	for (int i = 0; i < OLD_OWNERS_MAX; i++)
		if (pm.old_owners[i])
			place_model_update_workers(pm.old_owners[i]);
	place_model_update_workers(pm.shard.owner);
	for (int i = 0; i < pm.call_high_water; i++)
		if (pm.calls[i].state == CALL_ABANDONED &&
		    !strcmp(pm.calls[i].action.worker, w->id))
			pm.calls[i].state = CALL_FREE;
	for (int i = 0; i < pm.call_high_water; i++)
		if (pm.calls[i].state != CALL_FREE &&
		    !strcmp(pm.calls[i].action.worker, w->id))
			place_model_end_call(&pm.calls[i],
					     PLACE_RESULT_UNKNOWN);
	for (int i = 0; i < pm.call_high_water; i++)
		if (pm.calls[i].state != CALL_FREE &&
		    !strcmp(pm.calls[i].action.worker, w->id))
			pm.calls[i].state = CALL_FREE;
	memset(w, 0, sizeof(*w));
	w->generation = generation;
	snprintf(w->id, sizeof(w->id), "w%d-%u", n, generation);
	w->alive = true;
	w->listed = true;
	w->reachable = true;
}

static void free_owner(struct shard_owner *o)
{
	for (int i = 0; i < pm.call_high_water; i++)
		if (pm.calls[i].owner == o)
			pm.calls[i].state = CALL_FREE;
	shard_owner_free(o);
}

/* Some entries are durable though the old owner was not told so. */
static void take_over_shard(uint32_t arg)
{
	size_t more = pm.shard.count - pm.shard.durable;
	struct shard_owner *old;

	pm.shard.durable += arg / 2 % (more + 1);
	old = shard_take_over(&pm.shard, arg % 2);
	/* Old owners are kept since their calls can still reach a worker. */
	if (pm.old_owners[OLD_OWNERS_MAX - 1])
		free_owner(pm.old_owners[OLD_OWNERS_MAX - 1]);
	for (int i = OLD_OWNERS_MAX - 1; i > 0; i--)
		pm.old_owners[i] = pm.old_owners[i - 1];
	pm.old_owners[0] = old;
	place_model_update_workers(pm.shard.owner);
	place_model_queue_actions(pm.shard.owner);
}

static void execute_op(const struct op *op)
{
	struct model_worker *w = &pm.workers[op->arg % WORKER_COUNT];
	struct place_model_call *c;

	switch (op->type) {
	case OP_TICK:
		place_model_advance_time((1 + op->arg % 5) * STEP_US, true);
		break;
	case OP_PAUSE:
		place_model_advance_time((1 + op->arg % 20) * 1000000ull,
					 false);
		break;
	case OP_WAIT:
		place_model_run_for((1 + op->arg % 20) * 1000000ull);
		break;
	case OP_COMMIT:
		shard_commit(&pm.shard, 1 + op->arg % 8);
		place_model_queue_actions(pm.shard.owner);
		break;
	case OP_ARRIVE:
		place_model_serve_call(place_model_pick_call(op->arg, CALL_SENT,
							     CALL_ABANDONED));
		break;
	case OP_ANSWER:
		c = place_model_pick_call(op->arg, CALL_SERVED, CALL_SERVED);
		if (c)
			place_model_end_call(c, c->result);
		break;
	case OP_LOSE:
		c = place_model_pick_call(op->arg, CALL_SENT, CALL_SERVED);
		if (c)
			place_model_abandon_call(c);
		break;
	case OP_REFUSE:
		c = place_model_pick_call(op->arg, CALL_SENT, CALL_SENT);
		if (c)
			place_model_end_call(c, PLACE_RESULT_NOT_SENT);
		break;
	case OP_CREATE:
		create_placement(op->arg);
		break;
	case OP_CANCEL:
		cancel_placement(op->arg);
		break;
	case OP_FINISH:
		end_run(op->arg, TASK_DONE);
		break;
	case OP_FAIL:
		end_run(op->arg, TASK_FAILED);
		break;
	case OP_USAGE:
		report_runs(op->arg);
		break;
	case OP_DIE:
		w->alive = false;
		break;
	case OP_DELIST:
		replace_dead_worker(w);
		break;
	case OP_REACH:
		w->reachable = !w->reachable;
		w->was_unreachable |= !w->reachable;
		break;
	case OP_CUT:
		w->partitioned = !w->partitioned;
		w->was_unreachable |= w->partitioned;
		break;
	case OP_LEAVING:
		w->leaving = !w->leaving;
		break;
	case OP_BROKEN:
		w->fail_starts = !w->fail_starts;
		break;
	case OP_FULL:
		pm.shard.log_full = !pm.shard.log_full;
		break;
	case OP_TAKE_OVER:
		take_over_shard(op->arg);
		break;
	case OP_OLD_OWNER:
		pm.old_owner_active = !pm.old_owner_active;
		break;
	default:
		break;
	}
	place_model_send_calls();
}

/* Repairs all faults, then executes and answers all calls. */
static void quiesce(void)
{
	pm.shard.log_full = false;
	for (int i = 0; i < WORKER_COUNT; i++) {
		pm.workers[i].reachable = true;
		pm.workers[i].partitioned = false;
		pm.workers[i].leaving = false;
		pm.workers[i].fail_starts = false;
		replace_dead_worker(&pm.workers[i]);
	}
	/* The longest waits are the outage horizon, then a quarantine. */
	for (int i = 0; i < 2000 && !pm.failure[0]; i++) {
		bool busy = false;

		if (i % 16 == 15) {
			check_final_state();
			if (!pm.failure[0])
				return;
			pm.failure[0] = '\0';
		}

		place_model_run_for(STEP_US);
		for (int n = 0; n < pm.call_high_water; n++)
			busy |= pm.calls[n].state != CALL_FREE;
		/* Larger steps while no call is in flight. */
		if (!busy && i > 100 && i % 8)
			place_model_advance_time(STEP_US * 8, true);
	}
}

/* Checks that tasks and log agree and that nothing waits needlessly. */
static void check_final_state(void)
{
	char id[PLACE_NAME_BYTES + 12];
	struct place_task_view v;
	bool cancelled;
	struct placement_spec spec;
	uint32_t max_free_cpu = 0;

	for (int i = 0; i < WORKER_COUNT; i++) {
		uint32_t used = 0;

		for (int r = 0; r < pm.workers[i].run_count; r++) {
			struct task_run *run = &pm.workers[i].runs[r];

			if (run->state != TASK_RUNNING)
				continue;
			used += (uint32_t)run->cpu_milli;
			if (!place_view_task(pm.shard.place, run->id, &v) ||
			    v.state != TASK_RUNNING ||
			    v.attempt != run->attempt ||
			    strcmp(v.worker, pm.workers[i].id) != 0)
				place_model_fail(
					"%s runs on %s, contrary to the log",
					run->id, pm.workers[i].id);
		}
		if (WORKER_CPU_MILLI - used > max_free_cpu)
			max_free_cpu = WORKER_CPU_MILLI - used;
	}
	for (int i = 0; i < placement_count && !pm.failure[0]; i++) {
		if (!place_view_placement(pm.shard.place, placements[i].id,
					  &spec, &cancelled))
			continue; /* its entry was lost in a takeover */
		for (uint32_t n = 0; n < spec.count; n++) {
			snprintf(id, sizeof(id), "%s.%u", spec.id, n);
			place_view_task(pm.shard.place, id, &v);
			if (cancelled && v.state != TASK_CANCELLED &&
			    v.state != TASK_DONE && v.state != TASK_FAILED)
				place_model_fail("%s was cancelled but is %s",
						 id, task_state_name(v.state));
			else if (placements[i].impossible &&
				 v.state != TASK_IMPOSSIBLE && !cancelled)
				place_model_fail("%s is impossible but is %s",
						 id, task_state_name(v.state));
			else if (v.state == TASK_STARTING ||
				 v.state == TASK_STOPPING)
				place_model_fail("%s stays %s", id,
						 task_state_name(v.state));
			else if ((v.state == TASK_PENDING ||
				  v.state == TASK_EVICTED) &&
				 spec.cpu_milli <= max_free_cpu)
				place_model_fail("%s fits but is %s", id,
						 task_state_name(v.state));
		}
	}
}

/* Returns whether all checks passed. */
static bool run_ops(const struct op *ops, int count)
{
	shard_init(&pm.shard, PLACEMENT_FIRST_FIT);
	memset(pm.workers, 0, sizeof(pm.workers));
	memset(pm.calls, 0, sizeof(pm.calls));
	pm.call_high_water = 0;
	pm.old_owner_active = false;
	pm.last_attempt_count = 0;
	placement_count = 0;
	pm.failure[0] = '\0';
	for (int i = 0; i < WORKER_COUNT; i++) {
		snprintf(pm.workers[i].id, sizeof(pm.workers[i].id), "w%d-0",
			 i);
		pm.workers[i].alive = true;
		pm.workers[i].listed = true;
		pm.workers[i].reachable = true;
	}
	place_model_update_workers(pm.shard.owner);
	place_model_queue_actions(pm.shard.owner);
	for (int i = 0; i < count && !pm.failure[0]; i++) {
		execute_op(&ops[i]);
		place_model_check_invariants();
	}
	if (!pm.failure[0])
		quiesce();
	if (!pm.failure[0])
		check_final_state();
	for (int i = 0; i < OLD_OWNERS_MAX; i++) {
		if (pm.old_owners[i])
			shard_owner_free(pm.old_owners[i]);
		pm.old_owners[i] = NULL;
	}
	shard_free(&pm.shard);
	return !pm.failure[0];
}

static int generate_ops(struct rng *r, struct op *ops)
{
	/* Relative frequencies. */
	static const uint8_t weights[OP_TYPES] = {
		[OP_TICK] = 22,	  [OP_PAUSE] = 1,     [OP_WAIT] = 2,
		[OP_COMMIT] = 14, [OP_ARRIVE] = 18,   [OP_ANSWER] = 16,
		[OP_LOSE] = 4,	  [OP_REFUSE] = 1,    [OP_CREATE] = 6,
		[OP_CANCEL] = 2,  [OP_FINISH] = 3,    [OP_FAIL] = 1,
		[OP_USAGE] = 3,	  [OP_DIE] = 1,	      [OP_DELIST] = 1,
		[OP_REACH] = 2,	  [OP_CUT] = 2,	      [OP_LEAVING] = 2,
		[OP_BROKEN] = 1,  [OP_TAKE_OVER] = 3, [OP_OLD_OWNER] = 2,
		[OP_FULL] = 1,
	};
	uint32_t total = 0;

	for (int i = 0; i < OP_TYPES; i++)
		total += weights[i];
	for (int n = 0; n < OPS_MAX; n++) {
		uint32_t at = rng_below(r, total);
		int type = 0;

		while (at >= weights[type])
			at -= weights[type++];
		ops[n].type = (enum op_type)type;
		ops[n].arg = rng_below(r, 1u << 16);
	}
	return OPS_MAX;
}

/*
 * Removes operations as long as the run still fails the same check; returns
 * the number left.
 */
static int shrink_ops(struct op *ops, int count)
{
	const char *kind = pm.failure_format;
	struct op shorter[OPS_MAX];

	for (int size = count / 2; size > 0;) {
		bool removed = false;

		for (int at = 0; at + size <= count;) {
			memcpy(shorter, ops, (size_t)at * sizeof(*ops));
			memcpy(shorter + at, ops + at + size,
			       (size_t)(count - at - size) * sizeof(*ops));
			if (run_ops(shorter, count - size) ||
			    pm.failure_format != kind) {
				at += size;
				continue;
			}
			count -= size;
			memcpy(ops, shorter, (size_t)count * sizeof(*ops));
			removed = true;
		}
		if (!removed || size > 1)
			size /= 2;
	}
	return count;
}

int main(int argc, char **argv)
{
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 0) : SEED_DEFAULT;
	int runs = argc > 2 ? atoi(argv[2]) : RUNS_DEFAULT;
	uint64_t begin_us = clock_now_us();
	struct op ops[OPS_MAX];
	double seconds;
	int count;

	printf("seed=%llu runs=%d\n", (unsigned long long)seed, runs);
	for (int i = 0; i < runs; i++) {
		struct rng r = { .state = seed + (uint64_t)i };

		count = generate_ops(&r, ops);
		if (run_ops(ops, count))
			continue;
		printf("run %d (seed %llu) failed: %s\n", i,
		       (unsigned long long)(seed + (uint64_t)i), pm.failure);
		count = shrink_ops(ops, count);
		pm.verbose = true;
		run_ops(ops, count);
		printf("%d operations: %s\n", count, pm.failure);
		for (int n = 0; n < count; n++)
			printf("  %s %u\n", op_names[ops[n].type], ops[n].arg);
		return 1;
	}
	seconds = (double)(clock_now_us() - begin_us) / 1e6;
	printf("%d runs of %d operations passed in %.2f s, "
	       "%.0f operations/s, %.0f model steps/s\n",
	       runs, OPS_MAX, seconds, runs * OPS_MAX / seconds,
	       (double)pm.steps / seconds);
	return 0;
}
