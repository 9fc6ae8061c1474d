#ifndef PLACE_INTERNAL_H
#define PLACE_INTERNAL_H

#include "place.h"

/*
 * NAME
 *	place-internal - private state of the placement core
 *
 * DESCRIPTION
 *	All persistent state changes through a struct change. place_commit()
 *	appends it to the log and applies it, and replay applies the decoded
 *	entries with the same function. A snapshot is a sequence of changes
 *	that rebuilds the state.
 */

enum { RES_CPU, RES_MEMORY, RES_ACCELERATORS, RES_COUNT };
#define PLACE_RACKS_MAX 256
#define PLACE_KINDS_MAX 256
#define PLACE_TEAMS_MAX 1024

enum place_reason {
	REASON_NONE,
	REASON_CANCELLED,
	REASON_NO_ROOM,
	REASON_START_FAILED,
	REASON_NOT_SENT,
	REASON_ANSWER_LOST,
	REASON_STALE,
	REASON_WORKER_GONE,
	REASON_WORKER_LEAVING,
	REASON_UNREACHABLE,
	REASON_LEASE_EXPIRED,
	REASON_MISSING,
	REASON_INTERFERENCE,
	REASON_MEMORY_PRESSURE,
	REASON_PREEMPTED,
	REASON_MAX_RUN,
	REASON_TASK_FAILED,
	REASON_TOO_MUCH_CPU,
	REASON_TOO_MUCH_MEMORY,
	REASON_TOO_MANY_ACCELERATORS,
	REASON_TOO_LARGE_COMBINED,
	REASON_OVER_QUOTA,
	REASON_COUNT,
};

struct place_worker;
struct placement;

struct place_task {
	struct placement *placement;
	struct place_worker *worker; /* from TASK_STARTING to TASK_STOPPING */
	struct place_task *prev;     /* in the worker's or the pending list */
	struct place_task *next;
	char *checkpoint;	    /* or NULL */
	uint64_t state_since_us;    /* time of the last state change */
	uint64_t lease_end_us;	    /* the lease has certainly expired then */
	uint64_t start_resolved_us; /* absence in a later read is conclusive */
	uint64_t last_call_us;	    /* last stop or checkpoint call */
	uint32_t nominated;	    /* handle + 1 of the nominated worker */
	uint64_t usage_sampled_us;
	uint32_t number;
	uint32_t attempt;
	uint32_t reads_at_expiry;    /* worker's failed_reads at lease expiry */
	uint32_t last_failed_worker; /* handle + 1 of the worker that failed it
					last */
	/* Handles + 1 of the workers whose failure count it raised. */
	uint32_t charged_workers[2];
	int32_t reserved[RES_COUNT];
	int32_t requested[RES_COUNT]; /* as sent to the worker at start */
	uint32_t used_cpu_milli;
	uint32_t used_memory_mb;
	uint32_t peak_memory_mb;
	uint32_t latency_us;
	uint32_t progress;
	uint8_t state;
	uint8_t reason;
	uint8_t failures;      /* failed starts and runs of this task */
	bool lease_expired;    /* expiry was detected */
	bool throttle_applied; /* limited to the headroom after its start */
	bool throttle_unknown; /* a previous owner may have throttled it */
	uint8_t cpu_percent;   /* CPU limit, of the reserved CPU */
	bool has_run;	       /* a start was confirmed at least once */
	bool start_sent;    /* in this epoch, or possibly in an earlier one */
	bool start_dropped; /* the start is logged but is not sent */
	bool checkpointing;
	bool checkpointed;
	bool stop_retried;     /* after a read that did not list the task */
	uint8_t usage_samples; /* saturates at 255 */
	bool usage_recorded;   /* counted in the kind's histograms */
	bool seen_in_read;     /* listed by the current read of its worker */
};

/* Value of start_resolved_us until the start is durable and answered. */
#define START_UNRESOLVED UINT64_MAX

struct task_list {
	struct place_task *first;
	struct place_task *last;
};

struct placement {
	char *id;
	char *spec;
	uint16_t team;
	uint16_t kind;
	uint32_t slot;
	uint32_t count;
	uint32_t desired_count; /* tasks from this number on are cancelled */
	uint32_t declared[RES_COUNT]; /* resources from the placement spec */
	uint32_t max_run_ms;
	uint8_t urgency;
	bool service;
	bool yields;
	bool spread_racks;
	bool cancelled;
	struct place_task *tasks;
	struct task_list pending;
	uint32_t checked_version; /* capacity_version of the last check */
	uint32_t final_tasks;	  /* tasks in a final state */
	uint64_t ended_us;
	uint16_t *tasks_per_rack; /* PLACE_RACKS_MAX; NULL if not spread */
	struct placement *prev;	  /* in the team's queue */
	struct placement *next;
};

struct placement_list {
	struct placement *first;
	struct placement *last;
};

struct team {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	uint32_t share_percent;
	uint64_t quota[2]; /* CPU, memory; 0: unlimited */
	uint64_t used[2];  /* declared sizes of the assigned tasks */
	struct placement_list queue[URGENCY_COUNT];
	struct placement *pass_cursor; /* next to try in a scheduling pass */
};

/*
 * Log-linear histogram of 32-bit values, with 16 buckets per power of two
 * (6% wide).
 */
#define SIZE_SUB_BUCKETS 16
#define SIZE_BUCKETS 464
struct size_histogram {
	uint16_t counts[SIZE_BUCKETS];
	uint32_t total;
};

/* Workers on which tasks of a kind failed since the kind's last success. */
#define FAILURE_WORKERS_MAX 3
struct failure_set {
	uint32_t workers[FAILURE_WORKERS_MAX]; /* handles */
	uint8_t count;
};

/*
 * Estimated slowdown of a service kind, per fraction of a worker's CPU that
 * another kind uses and per CPU load of the worker. A variance of 0 marks a
 * pair of kinds that was not observed.
 */
struct interference {
	float mean;
	float variance;
};

struct kind {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	bool service;
	struct size_histogram cpu_milli;
	struct size_histogram memory_mb;
	struct size_histogram cpu_ratio;    /* permille of the declared size */
	struct size_histogram memory_ratio; /* permille of the declared size */
	struct failure_set start_failures;
	struct failure_set task_failures;
	/* Of a service, PLACE_KINDS_MAX estimates by kind, or NULL. */
	struct interference *interference;
	double alone_latency_us; /* p99 of a service without batch tasks */
	double alone_weight;	 /* samples taken without batch tasks */
	uint64_t first_start_us;
};

struct place_worker {
	char id[PLACE_NAME_BYTES];
	uint32_t handle;
	uint16_t rack;
	int32_t capacity[RES_COUNT];
	int32_t free[RES_COUNT];
	int32_t reclaimable[RES_COUNT]; /* by evicting yielding tasks */
	bool listed;			/* in the platform's list of VMs */
	bool leaving;
	bool synced;	   /* read in this epoch, and no call failed since */
	bool fence_raised; /* its fencing token is of this epoch */
	bool read_pending;
	bool on_trial;	  /* quarantine time is over; one start is allowed */
	bool trial_used;  /* that start is assigned */
	uint8_t failures; /* consecutive */
	uint8_t quarantines;
	uint64_t quarantine_end_us; /* 0: none */
	uint64_t gone_us;	    /* when its VM was removed; 0: present */
	uint64_t last_renewal_us;
	uint64_t last_answer_us;
	uint64_t last_read_us;
	uint64_t last_action_us; /* last throttle, checkpoint or eviction */
	uint64_t usage_sampled_us;
	uint32_t used_cpu_milli;
	uint32_t used_memory_mb;
	uint64_t nominated_until_us; /* 0: not nominated for a task */
	uint64_t reported_us;	     /* when the last usage report arrived */
	uint64_t evaluated_us;	     /* reported_us when last evaluated */
	uint32_t starting_tasks;
	uint32_t failed_reads;
	uint32_t over_limit_samples; /* consecutive */
	struct task_list tasks;
};

/* Segment tree of the maximum of each resource; the leaves are workers. */
struct index_tree {
	uint32_t leaves; /* power of two */
	int32_t (*max)[RES_COUNT];
};

enum commit_waiter_type { WAIT_START, WAIT_REPLY, WAIT_HORIZON };

/* Follow-up of a log entry, which runs when the entry is durable. */
struct commit_waiter {
	uint64_t token;
	enum commit_waiter_type type;
	uint32_t slot;
	uint32_t number;
	uint32_t attempt;
	uint64_t request;
	struct place_worker *passed_over; /* WAIT_START, or NULL */
	const char *reason;
	uint64_t appended_us;
};

struct place {
	struct oplog_client client;
	struct place_options options;
	struct rng rng;
	bool owner;
	bool log_full;		 /* the log rejected an entry in this pass */
	bool discovery_complete; /* owned for WORKER_DISCOVERY_US */
	bool dirty;		 /* free resources or pending tasks changed */
	uint64_t epoch;
	uint64_t now_us;
	uint64_t owned_us;
	uint64_t last_append_us;
	/*
	 * Renewals are sent up to this time after the last append. It does not
	 * exceed the logged horizon, because the next owner waits for the
	 * longest horizon in the log.
	 */
	uint64_t horizon_us;
	uint64_t logged_horizon_us;
	bool horizon_appended;
	uint64_t last_heartbeat_us;
	uint64_t last_sweep_us;
	uint64_t last_token;
	uint64_t evictions;
	uint64_t decisions;
	uint64_t interference_deferrals; /* tasks without headroom */
	uint64_t interference_retry_us;

	struct placement **slots;
	uint32_t slot_count;
	uint32_t slot_capacity;
	uint32_t free_slot_hint; /* may be in use */
	uint32_t delete_cursor;
	void *placements_by_id; /* tsearch() tree */
	uint32_t impossible_count;

	struct place_worker **workers;
	uint32_t worker_count;
	uint32_t worker_capacity;
	void *workers_by_id; /* tsearch() tree */
	char racks[PLACE_RACKS_MAX][PLACE_NAME_BYTES];
	uint32_t rack_count;
	int64_t total_capacity[RES_COUNT]; /* of the listed workers */
	uint32_t capacity_version;	   /* changes with workers and quotas */

	struct team *teams;
	uint32_t team_count;
	struct kind *kinds;
	uint32_t kind_count;
	uint32_t team_capacity;
	uint32_t kind_capacity;
	const struct sheet *sheet;

	struct index_tree free_index; /* free resources, usable workers */
	struct index_tree reclaimable_index; /* free and reclaimable */
	struct index_tree capacity_index;    /* all listed workers */

	struct place_action *actions; /* ring */
	uint32_t action_head;
	uint32_t action_count;
	uint32_t action_capacity;
	struct commit_waiter *waiters; /* ring */
	uint32_t waiter_head;
	uint32_t waiter_count;
	uint32_t waiter_capacity;
};

/* ---- place-log.c ---- */

enum change_type {
	CHANGE_HORIZON, /* an owner's outage horizon; also the heartbeat */
	CHANGE_CREATE,
	CHANGE_UPDATE,
	CHANGE_CANCEL,
	CHANGE_DELETE,
	CHANGE_START,
	CHANGE_TASK,
	CHANGE_KIND,	     /* snapshot only */
	CHANGE_WORKER,	     /* snapshot only */
	CHANGE_INTERFERENCE, /* snapshot only */
};

struct change {
	enum change_type type;
	uint32_t slot;
	uint32_t number;
	enum task_state state;
	uint32_t attempt;
	const char *worker;
	const char *checkpoint;
	uint32_t failures;
	uint32_t horizon_ms;
	enum place_reason reason;
	uint32_t reserved[RES_COUNT];
	uint32_t requested[RES_COUNT];
	const struct placement_spec *spec;
	struct kind *kind;
	struct kind *other_kind;
	struct interference interference;
};

/*
 * Appends a change to the log, applies it and returns its token. Returns 0 and
 * leaves the state unchanged if the log rejects it; periodic work retries.
 */
uint64_t place_commit(struct place *p, const struct change *c);
int place_replay(struct place *p, const void *data, size_t len);
void place_write_snapshot(struct place *p, struct buffer *out);

/* ---- place-apply.c ---- */

int change_apply(struct place *p, const struct change *c);
void placement_to_spec(const struct place *p, const struct placement *pl,
		       struct placement_spec *out);
void place_clear(struct place *p);
struct placement *placement_lookup(struct place *p, const char *id);
struct place_task *task_lookup(struct place *p, const char *id);
uint32_t team_get_or_add(struct place *p, const char *user, const char *name);
uint32_t kind_get_or_add(struct place *p, const char *user, const char *name,
			 bool service);

/* ---- place.c ---- */

struct place_action *place_add_action(struct place *p,
				      enum place_action_type type);
void place_await_commit(struct place *p, const struct commit_waiter *w);
void task_id(const struct place_task *t, char out[PLACE_NAME_BYTES + 12]);
const char *reason_text(enum place_reason r);
bool task_is_active(const struct place_task *t);
bool task_is_final(const struct place_task *t);
bool task_is_pending(const struct place_task *t);
bool task_cancel_requested(const struct place_task *t);
struct interference *kind_interference(struct place *p, uint32_t service,
				       uint32_t other);

/* ---- place-index.c ---- */

void index_resize(struct index_tree *x, uint32_t leaves);
void index_set(struct index_tree *x, uint32_t leaf,
	       const int32_t value[RES_COUNT]);
/* Returns the first leaf >= from with at least the needed resources, or -1. */
int index_find(const struct index_tree *x, const int32_t need[RES_COUNT],
	       uint32_t from);
void index_free(struct index_tree *x);

/* ---- place-worker.c ---- */

struct place_worker *worker_lookup(struct place *p, const char *id);
struct place_worker *worker_get_or_add(struct place *p, const char *id);
void worker_reindex(struct place *p, struct place_worker *w);
void worker_add_task(struct place *p, struct place_worker *w,
		     struct place_task *t);
void worker_remove_task(struct place *p, struct place_task *t);
void worker_set_reserved(struct place *p, struct place_task *t,
			 const int32_t reserved[RES_COUNT]);
void worker_recompute_free(struct place *p, struct place_worker *w);
/* Undoes a recorded failure, and the quarantine that it caused. */
void worker_revoke_failure(struct place *p, struct place_worker *w);
void worker_record_failure(struct place *p, struct place_worker *w);
void worker_record_success(struct place *p, struct place_worker *w);
/* Restarts a quarantine found in the log, whose end is not logged. */
void worker_restart_quarantine(struct place *p, struct place_worker *w);
void worker_event(struct place *p, const struct place_event *e);
void worker_tick(struct place *p, struct place_worker *w);
void worker_read(struct place *p, struct place_worker *w);
bool worker_is_usable(const struct place *p, const struct place_worker *w);

/* ---- place-task.c ---- */

bool task_assign(struct place *p, struct place_task *t, struct place_worker *w,
		 const int32_t need[RES_COUNT],
		 struct place_worker *passed_over, const char *reason);
void task_set_state(struct place *p, struct place_task *t,
		    enum task_state state, enum place_reason reason,
		    const char *checkpoint);
/* Stops a task on its worker. It is rescheduled unless it is cancelled. */
void task_stop(struct place *p, struct place_task *t, enum place_reason reason,
	       bool checkpoint_first);
/* Unassigns a task that no longer runs on its worker, and requeues it. */
void task_end_attempt(struct place *p, struct place_task *t,
		      const char *checkpoint);
void task_start_committed(struct place *p, const struct commit_waiter *w);
void task_event(struct place *p, const struct place_event *e);
void task_tick(struct place *p, struct place_task *t);
void task_handle_absence(struct place *p, struct place_task *t,
			 uint64_t sent_us);

/* ---- place-queue.c ---- */

void queue_add(struct place *p, struct place_task *t);
void queue_remove(struct place *p, struct place_task *t);
void queue_update_team(struct place *p, struct team *t);
void queue_set_sheet(struct place *p, const struct sheet *s);
void queue_schedule(struct place *p);
/* Requeues impossible tasks that a changed worker or quota now allows. */
void queue_recheck_impossible(struct place *p);

void queue_clear_nomination(struct place *p, struct place_task *t);

/* ---- place-usage.c ---- */

/*
 * Computes the part of a reservation that is requested from the worker. The
 * worker sums up the requests, and later changes are not sent to it.
 */
void usage_requested(const struct place *p, const struct placement *pl,
		     const int32_t need[RES_COUNT],
		     uint32_t requested[RES_COUNT]);
/* Computes the resources to reserve for the next start of a task. */
void usage_estimate(const struct place *p, const struct placement *pl,
		    int32_t need[RES_COUNT]);
void usage_event(struct place *p, const struct place_event *e);
void usage_relieve(struct place *p, struct place_worker *w);
struct place_task *usage_choose_victim(struct place_worker *w,
				       enum urgency urgency);

/* ---- place-interference.c ---- */

struct place_worker *
interference_choose_worker(struct place *p, const struct place_task *t,
			   const int32_t need[RES_COUNT],
			   struct place_worker **passed_over,
			   const char **reason);
void interference_learn(struct place *p, struct place_worker *w);
void interference_relieve(struct place *p, struct place_worker *w);

#endif
