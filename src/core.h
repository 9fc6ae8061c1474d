#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rng.h"
#include "sheet.h"

/*
 * NAME
 *	core - typed events and actions of the decision core
 *
 * DESCRIPTION
 *	The decision core has no sockets, threads or clocks. Its driver passes
 *	an event and the time, and executes the actions that the step appended.
 *	Two parts are driven separately: flow (admission and routing, one
 *	instance a process) and place (placement and task life cycle, one
 *	instance a shard). The shard's log is in oplog.h, claims in claims.h.
 *
 * UNITS
 *	Times are microseconds of CLOCK_BOOTTIME (clock.h). Requests, targets,
 *	workers and tasks are small handles: indices into tables of the core.
 */

/* ---- flow: admission and routing ---- */

enum flow_event_type {
	FLOW_REQUEST, /* a caller's request arrived */
	FLOW_CANCEL,  /* its deadline has passed, or its caller is gone */
	FLOW_RESULT,  /* an attempt at a target ended */
	FLOW_TARGET,  /* a target appeared or changed */
	FLOW_TARGET_GONE,
	FLOW_PROBE_RESULT, /* a target's own report */
	FLOW_SEAT,	   /* this process's part of the targets' slots */
	FLOW_POLICY, /* a new sheet; its pointer stays valid until the next */
	FLOW_TICK,   /* every 10 ms or so: deadlines, breakers, hedges */
};

enum flow_outcome {
	FLOW_OUTCOME_OK,
	FLOW_OUTCOME_FAILED,   /* the target answered with an error */
	FLOW_OUTCOME_REFUSED,  /* the target answered that it did not run it */
	FLOW_OUTCOME_NOT_SENT, /* no byte left */
	FLOW_OUTCOME_TIMEOUT,  /* bytes left and no whole answer came in time */
	FLOW_OUTCOME_LOST,     /* bytes left and the connection ended */
};

enum flow_reason {
	FLOW_REASON_NONE,
	FLOW_REASON_QUEUE_FULL,
	FLOW_REASON_DEADLINE,
	FLOW_REASON_KIND_LIMIT,
	FLOW_REASON_TEAM_LIMIT,
	FLOW_REASON_MEMORY,
	FLOW_REASON_NO_TARGET,
	FLOW_REASON_NO_POLICY,
	FLOW_REASON_UNKNOWN_KIND,
	FLOW_REASON_DRAINING,
	FLOW_REASON_DISPLACED, /* made room for a kind below its share */
	FLOW_REASON_RETRY_BUDGET,
	FLOW_REASON_TARGET_FAILED,
};

struct flow_event {
	enum flow_event_type type;
	union {
		struct {
			uint32_t handle; /* chosen by the driver, below 65536 */
			int32_t kind;	 /* index into the sheet */
			int32_t team;	 /* index into the sheet, or -1 */
			enum urgency urgency;
			bool idempotent;
			uint64_t deadline_us;
			uint32_t bytes;
		} request;
		struct {
			uint32_t handle;
		} cancel;
		struct {
			uint32_t handle;
			uint32_t target;
			uint32_t attempt;
			enum flow_outcome outcome;
			uint64_t service_us; /* from first byte to last */
		} result;
		struct {
			uint32_t target; /* chosen by the driver */
			uint64_t hash;	 /* of the target's id, for the split */
			uint32_t slots;
			uint32_t connections;
			bool leaving;
		} target;
		struct {
			uint32_t target;
			uint32_t busy;
			bool draining;
			bool answered;
			uint64_t sampled_us;
		} probe;
		struct {
			uint32_t index;
			uint32_t count;
			uint32_t previous_index;
			uint32_t previous_count; /* 0: growth is confirmed */
		} seat;
		const struct sheet *policy;
	};
};

/* Why a target was chosen over the one passed over. */
enum flow_choice_reason {
	FLOW_CHOICE_ONLY,	  /* the only target with a free own slot */
	FLOW_CHOICE_LATENCY,	  /* lower expected completion */
	FLOW_CHOICE_OUTSTANDING,  /* fewer requests; a latency was not known */
	FLOW_CHOICE_RANDOM,	  /* baseline */
	FLOW_CHOICE_TRIAL,	  /* trial request of an open breaker */
	FLOW_CHOICE_OTHER_FAILED, /* the other one failed this request before */
};

enum flow_action_type {
	FLOW_SEND,	 /* send the request to the target now */
	FLOW_FINISH,	 /* no further attempt; tell the caller the outcome */
	FLOW_REFUSE,	 /* tell the caller "not run", with the reason */
	FLOW_SEND_PROBE, /* GET /status of the target */
};

struct flow_action {
	enum flow_action_type type;
	uint32_t handle;
	uint32_t target;
	uint32_t passed_over; /* the second candidate, or UINT32_MAX */
	uint32_t attempt;
	enum flow_outcome outcome; /* FLOW_FINISH */
	enum flow_reason reason;
	enum flow_choice_reason choice_reason; /* FLOW_SEND */
	bool hedge;	    /* FLOW_SEND: an earlier attempt still runs */
	uint64_t queued_us; /* time spent in the queue */
	/*
	 * FLOW_SEND: time after which the attempt is given up. It is later
	 * than the deadline, since the target runs on and its slot stays in
	 * use.
	 */
	uint64_t timeout_us;
	/* FLOW_SEND, FLOW_SEND_PROBE: own part of the target's connections */
	uint32_t connections;
};

struct flow_actions {
	struct flow_action *items;
	size_t count;
	size_t capacity;
};

struct flow_options {
	/*
	 * Baseline: a target with a free own slot at random, without breaker
	 * and hedges. random_choice keeps breaker and hedges.
	 */
	bool random_routing;
	bool random_target;
	bool fifo_admission;
	uint32_t retry_budget_percent; /* 0 = unlimited, the baseline */
	uint32_t queue_limit;
	size_t team_bytes_limit;
	uint64_t seed;
};

struct flow;

enum flow_breaker {
	FLOW_BREAKER_CLOSED,
	FLOW_BREAKER_OPEN,
	FLOW_BREAKER_HALF_OPEN
};

/* What the core knows of a target, for status pages and tests. */
struct flow_target_info {
	bool present;
	bool leaving;
	bool draining;
	enum flow_breaker breaker;
	uint32_t own_slots;
	uint32_t own_connections;
	uint32_t outstanding; /* attempts sent and not ended */
	uint32_t abandoned;   /* given up; the target may still run them */
	uint64_t latency_us;  /* EWMA; 0: not known */
};

struct flow_kind_info {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	uint32_t queued;
	uint32_t running;
	uint64_t p95_us; /* 0: not known */
	uint64_t service_us;
};

struct flow_totals {
	uint32_t capacity; /* own slots of the targets in use */
	uint32_t queued;
	uint32_t running;
	uint64_t first_sends;
	uint64_t retries;
	uint64_t hedges;
	/* Targets that run more for this process than its own slots. */
	uint32_t targets_over_share;
	/* Every target that answers was seen to run nothing after this time. */
	uint64_t idle_since_us;
};

/*
 * The driver may use a handle again once it has got FLOW_FINISH or
 * FLOW_REFUSE for it and has posted a FLOW_RESULT for each of its FLOW_SEND;
 * a target's handle once the target is gone and no attempt at it runs.
 * flow_step() appends to out, whose items it may reallocate.
 */
struct flow *flow_create(const struct flow_options *o);
void flow_destroy(struct flow *f);

/* Replaces the options, but for the seed. */
void flow_set_options(struct flow *f, const struct flow_options *o);
void flow_step(struct flow *f, uint64_t now_us, const struct flow_event *e,
	       struct flow_actions *out);

/*
 * Reason for which the event FLOW_REQUEST would be refused now, or NONE. The
 * state does not change, and the event may still be refused when posted.
 */
enum flow_reason flow_check_request(const struct flow *f, uint64_t now_us,
				    const struct flow_event *e);

/* Returns -1 when the handle or index is not in use. */
int flow_target_info(const struct flow *f, uint32_t target,
		     struct flow_target_info *out);
int flow_kind_info(const struct flow *f, uint32_t kind,
		   struct flow_kind_info *out);
void flow_totals(const struct flow *f, struct flow_totals *out);
const char *flow_reason_name(enum flow_reason reason);
const char *flow_outcome_name(enum flow_outcome outcome);
const char *flow_choice_reason_name(enum flow_choice_reason reason);

/* ---- place: placement and task life cycle ---- */

#define PLACE_NAME_BYTES 64
#define PLACE_SPEC_BYTES 256

enum task_state {
	TASK_PENDING,
	TASK_STARTING,
	TASK_RUNNING,
	TASK_STOPPING,
	TASK_EVICTED,
	TASK_DONE,
	TASK_FAILED,
	TASK_CANCELLED,
	TASK_IMPOSSIBLE,
};

struct placement_spec {
	char id[PLACE_NAME_BYTES];
	char user[SHEET_NAME_BYTES];
	char team[SHEET_NAME_BYTES];
	char kind[SHEET_NAME_BYTES];
	bool service; /* false: batch */
	enum urgency urgency;
	uint32_t count;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	bool yields;
	bool spread_racks;
	uint32_t max_run_ms;	     /* 0: none */
	char spec[PLACE_SPEC_BYTES]; /* opaque */
};

enum place_event_type {
	PLACE_CREATE, /* an operator's placement */
	PLACE_CHANGE, /* new count, urgency and yields of a placement */
	PLACE_CANCEL,
	PLACE_WORKER,		 /* a worker appeared or changed */
	PLACE_WORKER_GONE,	 /* the VM no longer exists */
	PLACE_START_RESULT,	 /* answer to PLACE_START */
	PLACE_STOP_RESULT,	 /* answer to PLACE_STOP */
	PLACE_CHECKPOINT_RESULT, /* answer to PLACE_CHECKPOINT */
	PLACE_RENEW_RESULT,	 /* answer to PLACE_RENEW */
	PLACE_TASK_MISSING,	 /* a renewal named this task as not running */
	PLACE_TASK_REPORT, /* a task's state on a worker, read or in usage */
	PLACE_READ_TASKS_RESULT, /* all reports of one PLACE_READ_TASKS were
				    passed */
	PLACE_USAGE,		 /* a lagging usage sample of one task */
	PLACE_WORKER_USAGE, /* the same of a whole worker, after its tasks */
	PLACE_POLICY,	    /* a new sheet; its pointer stays valid */
	PLACE_TICK,	    /* every 20 ms or so */
};

enum place_result {
	PLACE_RESULT_OK,
	PLACE_RESULT_ABSENT, /* confirmed: does not run there */
	PLACE_RESULT_NO_CAPACITY,
	PLACE_RESULT_STALE,
	PLACE_RESULT_FAILED,
	PLACE_RESULT_NOT_SENT, /* it did not take effect */
	PLACE_RESULT_UNKNOWN,  /* it may have taken effect */
};

struct place_event {
	enum place_event_type type;
	const struct placement_spec *placement; /* PLACE_CREATE, _CHANGE */
	const char *id;		/* placement, worker or task id */
	const char *worker;	/* calls on tasks, PLACE_TASK_REPORT, _USAGE */
	const char *rack;	/* PLACE_WORKER */
	const char *checkpoint; /* or NULL */
	uint64_t request;	/* of an operator; returned by PLACE_REPLY */
	uint32_t attempt;
	enum place_result result;
	enum task_state
		state;	    /* PLACE_TASK_REPORT; TASK_EVICTED: lease ended */
	bool from_read;	    /* PLACE_TASK_REPORT: part of a PLACE_READ_TASKS */
	bool leaving;	    /* PLACE_WORKER: leaves, or a planned stop */
	uint32_t cpu_milli; /* capacity or usage */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t latency_p99_us; /* PLACE_USAGE of a service; 0: none */
	uint32_t progress;	 /* PLACE_USAGE, permille */
	/*
	 * When the call left (answers and reports), the time of the sample
	 * (usage), or the time of the log's last append (PLACE_TICK).
	 */
	uint64_t at_us;
	const struct sheet *policy;
};

enum place_action_type {
	PLACE_START,
	PLACE_STOP,
	PLACE_CHECKPOINT,
	PLACE_THROTTLE,
	PLACE_RENEW, /* all tasks of one worker, see place_each_renewed() */
	PLACE_READ_TASKS, /* raise the worker's fencing token and read its tasks
			   */
	PLACE_REPLY,	  /* an operator's request is durable, or was refused */
};

enum place_refusal {
	PLACE_ACCEPTED,
	PLACE_REFUSED_EXISTS,
	PLACE_REFUSED_UNKNOWN,
	PLACE_REFUSED_INVALID,
	PLACE_REFUSED_NOT_OWNER,
};

struct place_action {
	enum place_action_type type;
	char task[PLACE_NAME_BYTES + 12];
	char worker[PLACE_NAME_BYTES];
	char passed_over[PLACE_NAME_BYTES]; /* PLACE_START; "" for none */
	char checkpoint[PLACE_NAME_BYTES];
	const char *reason; /* static text of the decision */
	uint64_t request;   /* PLACE_REPLY */
	enum place_refusal refusal;
	bool cleanup; /* PLACE_STOP: no decision, the task has ended */
	uint32_t attempt;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t percent; /* PLACE_THROTTLE: of its CPU that a task keeps */
	char spec[PLACE_SPEC_BYTES];
};

#endif
