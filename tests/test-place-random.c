#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-place.h"

/*
 * usage: test-place-random [SEED [RUNS]]
 *
 * Drives the place core through random orders of calls, answers, losses,
 * take-overs and deaths against a model of workers, and checks after every
 * step that no task runs in two places, no attempt starts twice and no worker
 * holds more than its capacity. After a quiet end nothing that was cancelled
 * runs, what is impossible is named, and all that fits runs or has ended.
 * A run is a list of operations whose arguments are taken modulo what there
 * is, so that any operation can be left out; a failing list is reduced.
 */

#define WORKERS 4
#define WORKER_TASKS 64
#define CALLS_MAX 256
#define OWNERS_MAX 3
#define OPS_MAX 160
#define PLACEMENTS_MAX 24
#define STARTED_MAX 512
#define STEP_US 100000u
#define CPU 4000
#define MEMORY 8192
#define SEED_DEFAULT 1
#define RUNS_DEFAULT 3000

enum op_type {
	OP_TICK,
	OP_PAUSE, /* seconds in which no owner runs */
	OP_WAIT,  /* seconds in which calls arrive and are answered */
	OP_COMMIT,
	OP_ARRIVE,
	OP_ANSWER,
	OP_LOSE,
	OP_REFUSE, /* the call does not leave */
	OP_CREATE,
	OP_CANCEL,
	OP_FINISH,
	OP_FAIL,
	OP_USAGE,
	OP_DIE,
	OP_DELIST,
	OP_REACH,
	OP_CUT, /* from the owner only; old owners still reach it */
	OP_LEAVING,
	OP_BROKEN, /* its starts fail */
	OP_TAKE_OVER,
	OP_FULL,      /* the log takes no entry, or does again */
	OP_OLD_OWNER, /* the owner before goes on, or stops to do so */
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

static const char *const action_names[] = {
	[PLACE_START] = "start",	   [PLACE_STOP] = "stop",
	[PLACE_CHECKPOINT] = "checkpoint", [PLACE_THROTTLE] = "throttle",
	[PLACE_RENEW] = "renew",	   [PLACE_READ] = "read",
};

struct op {
	enum op_type type;
	uint32_t arg;
};

struct run {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
	enum task_state state; /* running, done, failed, evicted (expired) */
	uint64_t lease_end_us;
	int32_t cpu;
	int32_t memory;
};

struct model_worker {
	char id[16];
	uint32_t generation;
	bool alive;
	bool listed;
	bool reachable;
	bool cut;
	bool was_unreachable;
	bool leaving;
	bool broken;
	uint64_t fence;
	struct run runs[WORKER_TASKS];
	int run_count;
};

enum call_state { CALL_FREE, CALL_QUEUED, CALL_LEFT, CALL_ARRIVED, CALL_LATE };

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
	struct run runs[WORKER_TASKS];
	int run_count;
};

struct started {
	char id[PLACE_NAME_BYTES + 12];
	uint32_t attempt;
};

static struct shard shard;
static struct shard_owner *owners[OWNERS_MAX]; /* the last ones, newest first */
static struct model_worker workers[WORKERS];
static struct model_call calls[CALLS_MAX];
static int call_high; /* all calls from here on are free */
static uint64_t call_order;
static struct started started[STARTED_MAX];
static int started_count;
static struct {
	char id[PLACE_NAME_BYTES];
	bool impossible;
	bool cancelled;
} placements[PLACEMENTS_MAX];
static int placement_count;
static char failure[200];
static const char *failure_kind;
static bool verbose;  /* print the calls of a reduced run */
static bool old_runs; /* owners[0] goes on */
static uint64_t steps;

static void advance(uint64_t us, bool owner_runs);
static void check_end(void);
static void take_actions(struct shard_owner *o);

static void fail(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void fail(const char *fmt, ...)
{
	va_list ap;

	if (failure[0])
		return;
	failure_kind = fmt;
	va_start(ap, fmt);
	vsnprintf(failure, sizeof(failure), fmt, ap);
	va_end(ap);
}

static struct model_worker *worker_of(const char *id)
{
	for (int i = 0; i < WORKERS; i++)
		if (!strcmp(workers[i].id, id))
			return &workers[i];
	return NULL;
}

static struct run *run_of(struct model_worker *w, const char *id)
{
	for (int i = 0; i < w->run_count; i++)
		if (!strcmp(w->runs[i].id, id))
			return &w->runs[i];
	return NULL;
}

/* Checks what must hold at every moment. */
static void check(void)
{
	for (int i = 0; i < WORKERS; i++) {
		struct model_worker *w = &workers[i];
		int32_t cpu = 0, memory = 0;

		for (int r = 0; w->alive && r < w->run_count; r++) {
			struct run *run = &w->runs[r];

			if (run->state != TASK_RUNNING)
				continue;
			cpu += run->cpu;
			memory += run->memory;
			for (int j = i + 1; j < WORKERS; j++) {
				struct run *other =
					workers[j].alive
						? run_of(&workers[j], run->id)
						: NULL;

				if (other && other->state == TASK_RUNNING)
					fail("%s runs on %s and %s", run->id,
					     w->id, workers[j].id);
			}
		}
		if (cpu > CPU || memory > MEMORY)
			fail("%s holds %d of CPU and %d of memory", w->id, cpu,
			     memory);
	}
}

/* Records that an attempt began; attempts of a task only grow. */
static void note_start(const char *id, uint32_t attempt)
{
	struct started *s = NULL;

	for (int i = 0; i < started_count && !s; i++)
		if (!strcmp(started[i].id, id))
			s = &started[i];
	if (!s && started_count < STARTED_MAX) {
		s = &started[started_count++];
		snprintf(s->id, sizeof(s->id), "%s", id);
		s->attempt = 0;
	}
	if (!s)
		return;
	if (attempt <= s->attempt)
		fail("%s began attempt %u after %u", id, attempt, s->attempt);
	s->attempt = attempt;
	for (int i = 0; i < WORKERS; i++) {
		struct run *run = run_of(&workers[i], id);

		if (run && run->state == TASK_DONE && workers[i].alive &&
		    !workers[i].was_unreachable)
			fail("%s is done on %s and begins again", id,
			     workers[i].id);
	}
}

/* ---- the workers ---- */

static enum place_answer serve_start(struct model_worker *w,
				     const struct place_action *a)
{
	struct run *run = run_of(w, a->task);

	if (run && run->state == TASK_RUNNING)
		return run->attempt == a->attempt ? PLACE_ANSWER_OK
						  : PLACE_ANSWER_STALE;
	if (w->broken)
		return PLACE_ANSWER_FAILED;
	if (!run) {
		if (w->run_count == WORKER_TASKS)
			return PLACE_ANSWER_NO_ROOM;
		run = &w->runs[w->run_count++];
	}
	note_start(a->task, a->attempt);
	snprintf(run->id, sizeof(run->id), "%s", a->task);
	run->attempt = a->attempt;
	run->state = TASK_RUNNING;
	run->lease_end_us = shard.now_us + PLACE_TASK_LEASE_US;
	run->cpu = (int32_t)a->cpu_milli;
	run->memory = (int32_t)a->memory_mb;
	return PLACE_ANSWER_OK;
}

/* A call reaches its worker; c keeps the answer. */
static void serve(struct model_call *c)
{
	struct model_worker *w = worker_of(c->action.worker);
	struct run *run = run_of(w, c->action.task);

	if (c->owner->epoch < w->fence) {
		c->answer = PLACE_ANSWER_STALE;
		return;
	}
	w->fence = c->owner->epoch;
	c->answer = PLACE_ANSWER_OK;
	switch (c->action.type) {
	case PLACE_START:
		c->answer = serve_start(w, &c->action);
		break;
	case PLACE_STOP:
		if (run && run->state == TASK_RUNNING)
			*run = w->runs[--w->run_count];
		else
			c->answer = PLACE_ANSWER_ABSENT;
		break;
	case PLACE_READ:
		memcpy(c->runs, w->runs, sizeof(c->runs));
		c->run_count = w->run_count;
		break;
	case PLACE_RENEW:
		for (int i = 0; i < c->run_count; i++) {
			run = run_of(w, c->runs[i].id);
			if (run && run->state == TASK_RUNNING)
				run->lease_end_us =
					shard.now_us + PLACE_TASK_LEASE_US;
		}
		break;
	default:
		if (!run || run->state != TASK_RUNNING)
			c->answer = PLACE_ANSWER_ABSENT;
		break;
	}
}

/* ---- calls ---- */

static void report(struct shard_owner *o, const char *worker,
		   const struct run *run, bool read)
{
	struct place_event e = { .type = PLACE_REPORT,
				 .id = run->id,
				 .worker = worker,
				 .attempt = run->attempt,
				 .state = run->state,
				 .read = read };

	place_step(o->place, shard.now_us, &e);
}

static void renew_missing(struct model_call *c)
{
	struct model_worker *w = worker_of(c->action.worker);

	for (int i = 0; i < c->run_count; i++) {
		struct run *run = run_of(w, c->runs[i].id);
		struct place_event e = { .type = PLACE_MISSING,
					 .id = c->runs[i].id,
					 .worker = w->id };

		if (!run || run->state != TASK_RUNNING)
			place_step(c->owner->place, shard.now_us, &e);
	}
}

/* Ends a call towards its owner. */
static void end_call(struct model_call *c, enum place_answer answer)
{
	static const enum place_event_type types[] = {
		[PLACE_START] = PLACE_STARTED,
		[PLACE_STOP] = PLACE_STOPPED,
		[PLACE_CHECKPOINT] = PLACE_CHECKPOINTED,
		[PLACE_RENEW] = PLACE_RENEWED,
		[PLACE_READ] = PLACE_READ_END,
	};
	struct place_event e = { .type = types[c->action.type],
				 .id = c->action.task,
				 .worker = c->action.worker,
				 .attempt = c->action.attempt,
				 .answer = answer,
				 .at_us = c->sent_us };

	if (verbose)
		printf("%10.1f epoch=%u %s %s %s attempt=%u answer=%d\n",
		       (double)shard.now_us / 1e6, (unsigned)c->owner->epoch,
		       action_names[c->action.type], c->action.worker,
		       c->action.task, c->action.attempt, answer);
	if (c->state != CALL_LATE)
		c->state = CALL_FREE;
	if (c->action.type == PLACE_THROTTLE)
		return;
	if (c->action.type == PLACE_READ || c->action.type == PLACE_RENEW)
		e.id = c->action.worker;
	if (c->action.type == PLACE_READ && answer == PLACE_ANSWER_OK)
		for (int i = 0; i < c->run_count; i++)
			report(c->owner, c->action.worker, &c->runs[i], true);
	place_step(c->owner->place, shard.now_us, &e);
	if (c->action.type == PLACE_RENEW && answer == PLACE_ANSWER_OK)
		renew_missing(c);
	take_actions(c->owner);
}

/* The lane's first call leaves, when the gate lets it. */
static void leave_calls(void)
{
	for (int i = 0; i < call_high; i++) {
		struct model_call *c = &calls[i];
		bool first = c->state == CALL_QUEUED;

		for (int j = 0; first && j < call_high; j++) {
			const struct model_call *d = &calls[j];

			first = d->state == CALL_FREE ||
				d->state == CALL_LATE || d->owner != c->owner ||
				d->order >= c->order ||
				strcmp(d->action.worker, c->action.worker);
		}
		if (!first)
			continue;
		c->sent_us = shard.now_us;
		if (shard.now_us - c->created_us > 1000000u ||
		    shard.now_us - c->owner->last_append_us >
			    shard.options.outage_horizon_us)
			end_call(c, PLACE_ANSWER_NOT_SENT);
		else
			c->state = CALL_LEFT;
	}
}

static void add_run(void *arg, const char *task)
{
	struct model_call *c = arg;

	if (c->run_count < WORKER_TASKS)
		snprintf(c->runs[c->run_count++].id, sizeof(c->runs[0].id),
			 "%s", task);
}

/* Queues the calls that an owner's core asks for. */
static void take_actions(struct shard_owner *o)
{
	struct place_action a;

	while (place_next_action(o->place, &a)) {
		struct model_call *c = NULL;

		if (a.type == PLACE_REPLY)
			continue;
		while (call_high && calls[call_high - 1].state == CALL_FREE)
			call_high--;
		for (int i = 0; i < CALLS_MAX && !c; i++)
			if (calls[i].state == CALL_FREE)
				c = &calls[i];
		if (c >= calls + call_high)
			call_high = (int)(c - calls) + 1;
		if (!c) {
			fail("more than %d calls in flight", CALLS_MAX);
			return;
		}
		c->state = CALL_QUEUED;
		c->action = a;
		c->owner = o;
		c->order = ++call_order;
		c->created_us = shard.now_us;
		c->run_count = 0;
		if (a.type == PLACE_RENEW)
			place_each_renewed(o->place, a.worker, add_run, c);
	}
	leave_calls();
}

/* Returns the n-th call, modulo their number, in either of two states. */
static struct model_call *call_at(uint32_t n, enum call_state a,
				  enum call_state b)
{
	struct model_call *list[CALLS_MAX];
	uint32_t count = 0;

	for (int i = 0; i < call_high; i++)
		if (calls[i].state == a || calls[i].state == b)
			list[count++] = &calls[i];
	return count ? list[n % count] : NULL;
}

static void arrive(struct model_call *c)
{
	struct model_worker *w = c ? worker_of(c->action.worker) : NULL;

	if (!c || !w || !w->alive || !w->reachable ||
	    (w->cut && c->owner == shard.owner))
		return;
	serve(c);
	c->state = c->state == CALL_LATE ? CALL_FREE : CALL_ARRIVED;
}

/* The answer does not come; what did not arrive yet may still do so. */
static void lose(struct model_call *c)
{
	c->ended_us = shard.now_us;
	/* Without the answer to a read nobody can know what is done there. */
	if (c->action.type == PLACE_READ && worker_of(c->action.worker))
		worker_of(c->action.worker)->was_unreachable = true;
	c->state = c->state == CALL_LEFT ? CALL_LATE : CALL_ARRIVED;
	end_call(c, PLACE_ANSWER_UNKNOWN);
}

/* ---- time ---- */

static void pass_time(void)
{
	for (int i = 0; i < WORKERS; i++)
		for (int r = 0; r < workers[i].run_count; r++)
			if (workers[i].runs[r].state == TASK_RUNNING &&
			    workers[i].runs[r].lease_end_us <= shard.now_us)
				workers[i].runs[r].state = TASK_EVICTED;
	for (int i = 0; i < call_high; i++) {
		struct model_call *c = &calls[i];

		if ((c->state == CALL_LEFT || c->state == CALL_ARRIVED) &&
		    shard.now_us - c->sent_us > 1500000u)
			lose(c);
		else if (c->state == CALL_LATE &&
			 shard.now_us - c->ended_us >= PLACE_LATE_US)
			c->state = CALL_FREE;
	}
	leave_calls();
}

/* Passes the list of VMs, as the driver does. */
static void feed(struct shard_owner *o)
{
	for (int i = 0; i < WORKERS; i++) {
		struct model_worker *w = &workers[i];
		struct place_event e = { .type = PLACE_WORKER,
					 .id = w->id,
					 .rack = "r",
					 .leaving = w->leaving,
					 .cpu_milli = CPU,
					 .memory_mb = MEMORY };

		if (!w->listed)
			e.type = PLACE_WORKER_GONE;
		place_step(o->place, shard.now_us, &e);
	}
}

static void tick_owner(struct shard_owner *o)
{
	struct place_event e = { .type = PLACE_TICK,
				 .at_us = o->last_append_us };

	feed(o);
	place_step(o->place, shard.now_us, &e);
	take_actions(o);
}

/* Delivers an owner's calls and their answers. */
static void deliver(struct shard_owner *o)
{
	for (int i = 0; i < call_high; i++) {
		if (calls[i].owner != o)
			continue;
		if (calls[i].state == CALL_LEFT)
			arrive(&calls[i]);
		if (calls[i].state == CALL_ARRIVED)
			end_call(&calls[i], calls[i].answer);
	}
}

static void advance(uint64_t us, bool owner_runs)
{
	for (uint64_t t = 0; t < us; t += STEP_US) {
		shard.now_us += STEP_US;
		pass_time();
		if (owner_runs)
			tick_owner(shard.owner);
		if (old_runs && owners[0]) {
			tick_owner(owners[0]);
			deliver(owners[0]);
		}
		steps++;
	}
}

/* Lets everything go on by itself. */
static void wait_idle(uint64_t us)
{
	for (uint64_t t = 0; t < us; t += STEP_US) {
		advance(STEP_US, true);
		shard_commit(&shard, SIZE_MAX);
		take_actions(shard.owner);
		deliver(shard.owner);
		check();
	}
}

/* ---- operations ---- */

static void create(uint32_t arg)
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
		spec.cpu_milli = CPU + 1;
	placements[n].cancelled = false;
	snprintf(placements[n].id, sizeof(placements[n].id), "%s", spec.id);
	placement_count++;
	shard_step(&shard, &e);
	take_actions(shard.owner);
}

static void cancel(uint32_t arg)
{
	struct place_event e = { .type = PLACE_CANCEL };

	if (!placement_count)
		return;
	e.id = placements[arg % (uint32_t)placement_count].id;
	shard_step(&shard, &e);
	take_actions(shard.owner);
}

/* Ends a running task of some worker. */
static void end_run(uint32_t arg, enum task_state state)
{
	struct model_worker *w = &workers[arg % WORKERS];
	struct run *run;

	if (!w->run_count || !w->alive)
		return;
	run = &w->runs[arg / WORKERS % (uint32_t)w->run_count];
	if (run->state == TASK_RUNNING)
		run->state = state;
}

static void usage(uint32_t arg)
{
	struct model_worker *w = &workers[arg % WORKERS];

	for (int i = 0; w->alive && w->reachable && i < w->run_count; i++)
		report(shard.owner, w->id, &w->runs[i], false);
	take_actions(shard.owner);
}

/* A dead worker's VM leaves the list, and a new one takes its place. */
static void delist(struct model_worker *w)
{
	uint32_t generation = w->generation + 1;
	int n = (int)(w - workers);

	if (w->alive)
		return;
	w->listed = false;
	for (int i = 0; i < OWNERS_MAX; i++)
		if (owners[i])
			feed(owners[i]);
	feed(shard.owner);
	for (int i = 0; i < call_high; i++)
		if (calls[i].state == CALL_LATE &&
		    !strcmp(calls[i].action.worker, w->id))
			calls[i].state = CALL_FREE;
	for (int i = 0; i < call_high; i++)
		if (calls[i].state != CALL_FREE &&
		    !strcmp(calls[i].action.worker, w->id))
			end_call(&calls[i], PLACE_ANSWER_UNKNOWN);
	for (int i = 0; i < call_high; i++)
		if (calls[i].state != CALL_FREE &&
		    !strcmp(calls[i].action.worker, w->id))
			calls[i].state = CALL_FREE;
	memset(w, 0, sizeof(*w));
	w->generation = generation;
	snprintf(w->id, sizeof(w->id), "w%d-%u", n, generation);
	w->alive = true;
	w->listed = true;
	w->reachable = true;
}

static void free_owner(struct shard_owner *o)
{
	for (int i = 0; i < call_high; i++)
		if (calls[i].owner == o)
			calls[i].state = CALL_FREE;
	shard_owner_free(o);
}

/* The new owner sees more entries than the old one heard to be durable. */
static void take_over(uint32_t arg)
{
	size_t more = shard.count - shard.durable;
	struct shard_owner *old;

	shard.durable += arg / 2 % (more + 1);
	old = shard_take_over(&shard, arg % 2);
	/* An owner that is freed must not lose a call that can arrive late. */
	if (owners[OWNERS_MAX - 1])
		free_owner(owners[OWNERS_MAX - 1]);
	for (int i = OWNERS_MAX - 1; i > 0; i--)
		owners[i] = owners[i - 1];
	owners[0] = old;
	feed(shard.owner);
	take_actions(shard.owner);
}

static void execute(const struct op *op)
{
	struct model_worker *w = &workers[op->arg % WORKERS];
	struct model_call *c;

	switch (op->type) {
	case OP_TICK:
		advance((1 + op->arg % 5) * STEP_US, true);
		break;
	case OP_PAUSE:
		advance((1 + op->arg % 20) * 1000000ull, false);
		break;
	case OP_WAIT:
		wait_idle((1 + op->arg % 20) * 1000000ull);
		break;
	case OP_COMMIT:
		shard_commit(&shard, 1 + op->arg % 8);
		take_actions(shard.owner);
		break;
	case OP_ARRIVE:
		arrive(call_at(op->arg, CALL_LEFT, CALL_LATE));
		break;
	case OP_ANSWER:
		c = call_at(op->arg, CALL_ARRIVED, CALL_ARRIVED);
		if (c)
			end_call(c, c->answer);
		break;
	case OP_LOSE:
		c = call_at(op->arg, CALL_LEFT, CALL_ARRIVED);
		if (c)
			lose(c);
		break;
	case OP_REFUSE:
		c = call_at(op->arg, CALL_LEFT, CALL_LEFT);
		if (c)
			end_call(c, PLACE_ANSWER_NOT_SENT);
		break;
	case OP_CREATE:
		create(op->arg);
		break;
	case OP_CANCEL:
		cancel(op->arg);
		break;
	case OP_FINISH:
		end_run(op->arg, TASK_DONE);
		break;
	case OP_FAIL:
		end_run(op->arg, TASK_FAILED);
		break;
	case OP_USAGE:
		usage(op->arg);
		break;
	case OP_DIE:
		w->alive = false;
		break;
	case OP_DELIST:
		delist(w);
		break;
	case OP_REACH:
		w->reachable = !w->reachable;
		w->was_unreachable |= !w->reachable;
		break;
	case OP_CUT:
		w->cut = !w->cut;
		w->was_unreachable |= w->cut;
		break;
	case OP_LEAVING:
		w->leaving = !w->leaving;
		break;
	case OP_BROKEN:
		w->broken = !w->broken;
		break;
	case OP_FULL:
		shard.full = !shard.full;
		break;
	case OP_TAKE_OVER:
		take_over(op->arg);
		break;
	case OP_OLD_OWNER:
		old_runs = !old_runs;
		break;
	default:
		break;
	}
	leave_calls();
}

/* Everything heals; all calls arrive and are answered. */
static void quiesce(void)
{
	shard.full = false;
	for (int i = 0; i < WORKERS; i++) {
		workers[i].reachable = true;
		workers[i].cut = false;
		workers[i].leaving = false;
		workers[i].broken = false;
		delist(&workers[i]);
	}
	/* Longest waits: the outage horizon, then a quarantine. */
	for (int i = 0; i < 2000 && !failure[0]; i++) {
		bool busy = false;

		if (i % 16 == 15) {
			check_end();
			if (!failure[0])
				return;
			failure[0] = '\0';
		}

		wait_idle(STEP_US);
		for (int n = 0; n < call_high; n++)
			busy |= calls[n].state != CALL_FREE;
		/* Time passes faster while nothing happens. */
		if (!busy && i > 100 && i % 8)
			advance(STEP_US * 8, true);
	}
}

/* Checks what must hold after the quiet end. */
static void check_end(void)
{
	char id[PLACE_NAME_BYTES + 12];
	struct place_task_view v;
	bool cancelled;
	struct placement_spec spec;
	uint32_t free_most = 0;

	for (int i = 0; i < WORKERS; i++) {
		uint32_t used = 0;

		for (int r = 0; r < workers[i].run_count; r++) {
			struct run *run = &workers[i].runs[r];

			if (run->state != TASK_RUNNING)
				continue;
			used += (uint32_t)run->cpu;
			if (!place_view_task(shard.place, run->id, &v) ||
			    v.state != TASK_RUNNING ||
			    v.attempt != run->attempt ||
			    strcmp(v.worker, workers[i].id) != 0)
				fail("%s runs on %s against the log", run->id,
				     workers[i].id);
		}
		if (CPU - used > free_most)
			free_most = CPU - used;
	}
	for (int i = 0; i < placement_count && !failure[0]; i++) {
		if (!place_view_placement(shard.place, placements[i].id, &spec,
					  &cancelled))
			continue; /* its entry was lost with an owner */
		for (uint32_t n = 0; n < spec.count; n++) {
			snprintf(id, sizeof(id), "%s.%u", spec.id, n);
			place_view_task(shard.place, id, &v);
			if (cancelled && v.state != TASK_CANCELLED &&
			    v.state != TASK_DONE && v.state != TASK_FAILED)
				fail("%s was cancelled and is %s", id,
				     task_state_name(v.state));
			else if (placements[i].impossible &&
				 v.state != TASK_IMPOSSIBLE && !cancelled)
				fail("%s is impossible and is %s", id,
				     task_state_name(v.state));
			else if (v.state == TASK_STARTING ||
				 v.state == TASK_STOPPING)
				fail("%s stays %s", id,
				     task_state_name(v.state));
			else if ((v.state == TASK_PENDING ||
				  v.state == TASK_EVICTED) &&
				 spec.cpu_milli <= free_most)
				fail("%s fits and is %s", id,
				     task_state_name(v.state));
		}
	}
}

/* Runs a list of operations; returns whether all checks held. */
static bool run(const struct op *ops, int count)
{
	shard_init(&shard, PLACEMENT_FIRST_FIT);
	memset(workers, 0, sizeof(workers));
	memset(calls, 0, sizeof(calls));
	call_high = 0;
	old_runs = false;
	started_count = 0;
	placement_count = 0;
	failure[0] = '\0';
	for (int i = 0; i < WORKERS; i++) {
		snprintf(workers[i].id, sizeof(workers[i].id), "w%d-0", i);
		workers[i].alive = true;
		workers[i].listed = true;
		workers[i].reachable = true;
	}
	feed(shard.owner);
	take_actions(shard.owner);
	for (int i = 0; i < count && !failure[0]; i++) {
		execute(&ops[i]);
		check();
	}
	if (!failure[0])
		quiesce();
	if (!failure[0])
		check_end();
	for (int i = 0; i < OWNERS_MAX; i++) {
		if (owners[i])
			shard_owner_free(owners[i]);
		owners[i] = NULL;
	}
	shard_free(&shard);
	return !failure[0];
}

static int draw(struct rng *r, struct op *ops)
{
	/* How often each operation comes, of 100 or so. */
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
 * Removes operations while the run still fails in the same check; returns how
 * many are left.
 */
static int reduce(struct op *ops, int count)
{
	const char *kind = failure_kind;
	struct op shorter[OPS_MAX];

	for (int size = count / 2; size > 0;) {
		bool removed = false;

		for (int at = 0; at + size <= count;) {
			memcpy(shorter, ops, (size_t)at * sizeof(*ops));
			memcpy(shorter + at, ops + at + size,
			       (size_t)(count - at - size) * sizeof(*ops));
			if (run(shorter, count - size) ||
			    failure_kind != kind) {
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

		count = draw(&r, ops);
		if (run(ops, count))
			continue;
		printf("run %d (seed %llu) failed: %s\n", i,
		       (unsigned long long)(seed + (uint64_t)i), failure);
		count = reduce(ops, count);
		verbose = true;
		run(ops, count);
		printf("%d operations: %s\n", count, failure);
		for (int n = 0; n < count; n++)
			printf("  %s %u\n", op_names[ops[n].type], ops[n].arg);
		return 1;
	}
	seconds = (double)(clock_now_us() - begin_us) / 1e6;
	printf("%d runs of %d operations passed in %.2f s, "
	       "%.0f operations/s, %.0f model steps/s\n",
	       runs, OPS_MAX, seconds, runs * OPS_MAX / seconds,
	       (double)steps / seconds);
	return 0;
}
