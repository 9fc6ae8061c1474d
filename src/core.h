#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "rng.h"
#include "sheet.h"

/*
 * NAME
 *	core - events and actions of the decision core
 *
 * DESCRIPTION
 *	The decision core uses no sockets, threads or clocks. The caller
 *	passes an event and the current time, then executes the actions that
 *	the step appended. It has two independent state machines: flow
 *	(admission control and routing, one instance per process) and place
 *	(placement and task life cycle, one instance per shard). The log of a
 *	shard is declared in oplog.h, claims in claims.h.
 *
 * UNITS
 *	Times are microseconds of CLOCK_BOOTTIME (clock.h). Requests and
 *	targets of flow are identified by small integer handles, placements,
 *	tasks and workers of place by their id.
 */

/* ---- flow: admission and routing ---- */

enum flow_event_type {
	FLOW_REQUEST, /* a request arrived */
	FLOW_CANCEL,  /* a request's deadline passed or its caller left */
	FLOW_RESULT,  /* an attempt ended */
	FLOW_TARGET,  /* a target was added or changed */
	FLOW_TARGET_GONE,
	FLOW_PROBE_RESULT, /* result of FLOW_SEND_PROBE */
	FLOW_SEAT,	   /* this process's share of the slots changed */
	FLOW_SHEET,	   /* new sheet, valid until the next FLOW_SHEET */
	FLOW_TICK,	   /* about every 10 ms: deadlines, breakers, hedges */
};

enum flow_outcome {
	FLOW_OUTCOME_OK,
	FLOW_OUTCOME_FAILED,   /* the target returned an error */
	FLOW_OUTCOME_REFUSED,  /* the target reported that it did not run */
	FLOW_OUTCOME_NOT_SENT, /* failed before the first byte was sent */
	FLOW_OUTCOME_TIMEOUT,  /* sent, no complete response in time */
	FLOW_OUTCOME_LOST,     /* sent, then the connection was lost */
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
	FLOW_REASON_DISPLACED, /* evicted from the queue for a kind below its
				  share */
	FLOW_REASON_RETRY_BUDGET,
	FLOW_REASON_TARGET_FAILED,
};

struct flow_event {
	enum flow_event_type type;
	union {
		struct {
			uint32_t handle; /* chosen by the caller, below 65536 */
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
			uint32_t target; /* chosen by the caller */
			uint64_t hash;	 /* of the target's id, see share.h */
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
			uint32_t previous_count; /* 0: split is confirmed */
		} seat;
		const struct sheet *sheet;
	};
};

/* Why a target was preferred to the other candidate. */
enum flow_choice_reason {
	FLOW_CHOICE_ONLY,	  /* the only target with a free own slot */
	FLOW_CHOICE_LATENCY,	  /* lower expected completion time */
	FLOW_CHOICE_OUTSTANDING,  /* fewer requests; a latency is unknown */
	FLOW_CHOICE_RANDOM,	  /* random routing is configured */
	FLOW_CHOICE_TRIAL,	  /* trial request of a half-open breaker */
	FLOW_CHOICE_OTHER_FAILED, /* the other should be avoided, for instance
				     after a failed attempt */
};

enum flow_action_type {
	FLOW_SEND,	 /* send the request to the target now */
	FLOW_FINISH,	 /* return the outcome; no more attempts follow */
	FLOW_REFUSE,	 /* return "not run" and the reason */
	FLOW_SEND_PROBE, /* GET /status of the target */
};

struct flow_action {
	enum flow_action_type type;
	uint32_t handle;
	uint32_t target;
	uint32_t passed_over; /* the other candidate, or UINT32_MAX */
	uint32_t attempt;
	enum flow_outcome outcome; /* FLOW_FINISH */
	enum flow_reason reason;
	enum flow_choice_reason choice_reason; /* FLOW_SEND */
	bool hedge;	    /* FLOW_SEND: an earlier attempt still runs */
	uint64_t queued_us; /* time spent in the queue */
	/*
	 * FLOW_SEND: time at which the attempt is abandoned. It is later than
	 * the deadline because the target continues to run the request, which
	 * keeps its slot in use.
	 */
	uint64_t timeout_us;
	/* FLOW_SEND, FLOW_SEND_PROBE: this process's connections to target */
	uint32_t connections;
};

struct flow_actions {
	struct flow_action *items;
	size_t count;
	size_t capacity;
};

struct flow_options {
	/*
	 * Both pick any target with a free own slot at random.
	 * random_routing also disables breakers and hedges.
	 */
	bool random_routing;
	bool random_target;
	bool fifo_admission;	       /* no early refusals and no shares */
	uint32_t retry_budget_percent; /* 0: unlimited */
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

/* State of a target for status pages and tests. */
struct flow_target_info {
	bool present;
	bool leaving;
	bool draining;
	enum flow_breaker breaker;
	uint32_t own_slots;
	uint32_t own_connections;
	uint32_t outstanding; /* attempts in progress */
	uint32_t abandoned;   /* timed out or lost, may still run there */
	uint64_t latency_us;  /* EWMA; 0: unknown */
};

struct flow_kind_info {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	uint32_t queued;
	uint32_t running;
	uint64_t p95_us; /* of the service time; 0: unknown */
	uint64_t service_us;
};

struct flow_totals {
	uint32_t capacity; /* own slots of the targets in use */
	uint32_t queued;
	uint32_t running;
	uint64_t first_sends;
	uint64_t retries;
	uint64_t hedges;
	/* Targets at which this process uses more slots than its own. */
	uint32_t targets_over_share;
	/*
	 * Each target whose breaker is not open has reported no running
	 * request at this time or later; 0: one has not.
	 */
	uint64_t idle_since_us;
};

/*
 * A request handle may be reused after FLOW_FINISH or FLOW_REFUSE, once a
 * FLOW_RESULT was posted for each FLOW_SEND. A target handle may be reused
 * after FLOW_TARGET_GONE, once no attempt at the target is in progress.
 * flow_step() appends to out and may reallocate its items.
 */
struct flow *flow_create(const struct flow_options *o);
void flow_destroy(struct flow *f);

/* Replaces the options. The random generator is not seeded again. */
void flow_set_options(struct flow *f, const struct flow_options *o);
void flow_step(struct flow *f, uint64_t now_us, const struct flow_event *e,
	       struct flow_actions *out);

/*
 * Returns the reason for which a FLOW_REQUEST event would be refused now, or
 * FLOW_REASON_NONE. Changes no state; the event may still be refused later.
 */
enum flow_reason flow_check_request(const struct flow *f, uint64_t now_us,
				    const struct flow_event *e);

/* Return -1 if the handle or index is not in use. */
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
	TASK_IMPOSSIBLE, /* no worker can hold it */
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
	bool yields; /* may be preempted */
	bool spread_racks;
	uint32_t max_run_ms;	     /* 0: unlimited */
	char spec[PLACE_SPEC_BYTES]; /* passed to the worker unchanged */
};

enum place_event_type {
	PLACE_CREATE, /* an operator created a placement */
	PLACE_CHANGE, /* new count, urgency and yields of a placement */
	PLACE_CANCEL,
	PLACE_WORKER,	   /* a worker was added or changed */
	PLACE_WORKER_GONE, /* the VM no longer exists */
	PLACE_START_RESULT,
	PLACE_STOP_RESULT,
	PLACE_CHECKPOINT_RESULT,
	PLACE_RENEW_RESULT,
	PLACE_TASK_MISSING, /* a lease renewal found the task not running */
	PLACE_TASK_REPORT,  /* state of a task, read or in a usage report */
	PLACE_READ_TASKS_RESULT, /* follows the reports of PLACE_READ_TASKS */
	PLACE_USAGE,		 /* delayed usage sample of a task */
	PLACE_WORKER_USAGE,	 /* usage of a whole worker, after its tasks */
	PLACE_SHEET, /* new sheet, valid until the next PLACE_SHEET */
	PLACE_TICK,  /* about every 20 ms */
};

enum place_result {
	PLACE_RESULT_OK,
	PLACE_RESULT_ABSENT, /* the worker confirmed that it does not run */
	PLACE_RESULT_NO_CAPACITY,
	PLACE_RESULT_STALE, /* the worker has a higher fencing token */
	PLACE_RESULT_FAILED,
	PLACE_RESULT_NOT_SENT, /* the call had no effect */
	PLACE_RESULT_UNKNOWN,  /* the call may have taken effect */
};

struct place_event {
	enum place_event_type type;
	const struct placement_spec *placement; /* PLACE_CREATE, _CHANGE */
	const char *id;		/* placement, worker or task id */
	const char *worker;	/* call results, PLACE_TASK_REPORT, _USAGE */
	const char *rack;	/* PLACE_WORKER */
	const char *checkpoint; /* or NULL */
	uint64_t request;	/* operator request, echoed by PLACE_REPLY */
	uint32_t attempt;
	enum place_result result;
	/* PLACE_TASK_REPORT; TASK_EVICTED if the task's lease expired */
	enum task_state state;
	bool from_read;	    /* PLACE_TASK_REPORT: part of PLACE_READ_TASKS */
	bool leaving;	    /* PLACE_WORKER: leaving or about to be stopped */
	uint32_t cpu_milli; /* capacity or usage */
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t latency_p99_us; /* PLACE_USAGE of a service; 0: none */
	uint32_t progress;	 /* PLACE_USAGE, permille */
	/*
	 * Time at which the call was sent (results and reports), the sample
	 * was taken (usage) or the log was last appended to (PLACE_TICK).
	 */
	uint64_t at_us;
	const struct sheet *sheet;
};

enum place_action_type {
	PLACE_START,
	PLACE_STOP,
	PLACE_CHECKPOINT,
	PLACE_THROTTLE,
	PLACE_RENEW, /* leases of a worker's tasks, see place_for_each_renewed()
		      */
	PLACE_READ_TASKS, /* raise the fencing token, then read the tasks */
	PLACE_REPLY,	  /* an operator request is durable or was refused */
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
	const char *reason; /* of the decision, a static string */
	uint64_t request;   /* PLACE_REPLY */
	enum place_refusal refusal;
	bool cleanup; /* PLACE_STOP: the task has already ended */
	uint32_t attempt;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
	uint32_t percent; /* PLACE_THROTTLE: share of its CPU the task keeps */
	char spec[PLACE_SPEC_BYTES];
};

#endif
