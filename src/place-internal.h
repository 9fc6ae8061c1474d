#ifndef PLACE_INTERNAL_H
#define PLACE_INTERNAL_H

#include "place.h"

/*
 * NAME
 *	place-internal - state of the place core, shared by its files only
 *
 * DESCRIPTION
 *	Every lasting change is a struct change: place_commit() applies it
 *	and appends it to the log; replay applies the decoded entries with
 *	the same function. A snapshot is the sequence of changes that leads
 *	to the state.
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

struct worker;
struct placement;

struct task {
	struct placement *placement;
	struct worker *worker; /* in the states starting to stopping */
	struct task *prev;     /* on the worker, or pending */
	struct task *next;
	char *checkpoint;	    /* or NULL */
	uint64_t since_us;	    /* of the state */
	uint64_t lease_end_us;	    /* provable end of the lease */
	uint64_t start_resolved_us; /* absence in a later read is conclusive */
	uint64_t last_call_us;	    /* last stop or checkpoint call */
	uint32_t nominated;	    /* handle + 1 of the worker kept for it */
	uint64_t usage_sampled_us;  /* last usage sample */
	uint32_t number;
	uint32_t attempt;
	uint32_t reads_at_expiry; /* reads of the worker when the lease ended */
	uint32_t avoid; /* handle + 1 of the worker of the last failure */
	uint32_t charged_workers[2]; /* handles + 1 of the workers that it
				      * counts against
				      */
	int32_t reserved[RES_COUNT];
	int32_t requested[RES_COUNT]; /* of the worker, at the start */
	uint32_t used_cpu_milli;
	uint32_t used_memory_mb;
	uint32_t peak_memory_mb;
	uint32_t latency_us;
	uint32_t progress;
	uint8_t state;
	uint8_t reason;
	uint8_t failures;      /* on workers, of its own */
	bool lease_expired;    /* the end of the lease was noticed */
	bool throttle_applied; /* throttled to the headroom after its start */
	bool throttle_unknown; /* its throttle is not known */
	uint8_t percent;       /* of its CPU that it keeps */
	bool has_run;	       /* a start was confirmed once */
	bool start_sent; /* the start left in this epoch, or may have before */
	bool start_dropped; /* its start is durable and will not leave */
	bool checkpointing;
	bool checkpointed;
	bool stop_retried;     /* after a read that did not show the task */
	uint8_t usage_samples; /* of usage, up to 255 */
	bool usage_recorded;   /* its size is in the kind's statistics */
	bool seen_in_read;     /* in the current read of its worker */
};

/* Value of settled_us while the start is not durable or not answered. */
#define START_UNRESOLVED UINT64_MAX

struct task_list {
	struct task *first;
	struct task *last;
};

struct placement {
	char *id;
	char *spec;
	uint16_t team;
	uint16_t kind;
	uint32_t slot;
	uint32_t count;
	uint32_t desired_count; /* tasks from this number on are cancelled */
	uint32_t declared[RES_COUNT]; /* declared */
	uint32_t max_run_ms;
	uint8_t urgency;
	bool service;
	bool yields;
	bool spread_racks;
	bool cancelled;
	struct task *tasks;
	struct task_list pending;
	uint32_t checked_version; /* value of place.capacity_changes */
	uint32_t final_tasks;	  /* tasks in a final state */
	uint64_t ended_us;
	uint16_t *tasks_per_rack; /* PLACE_RACKS_MAX, when spread */
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
	uint64_t quota[2]; /* CPU, memory; 0: none */
	uint64_t used[2];
	struct placement_list queue[URGENCY_COUNT];
	struct placement *pass_cursor; /* of a pass of the scheduler */
};

/* Log-linear counts, 16 to a doubling (6% wide), of 32-bit values. */
#define SIZE_SUB_BUCKETS 16
#define SIZE_BUCKETS 464
struct size_histogram {
	uint16_t counts[SIZE_BUCKETS];
	uint32_t total;
};

/* Workers that failed tasks of a kind since one succeeded. */
#define FAILURE_WORKERS_MAX 3
struct failure_set {
	uint32_t workers[FAILURE_WORKERS_MAX]; /* handles */
	uint8_t count;
};

/* Slowdown of a service kind per share of a worker's CPU that another uses. */
struct interference {
	float mean;
	float variance;
};

struct kind {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	bool service;
	struct size_histogram cpu_milli;    /* milli */
	struct size_histogram memory_mb;    /* MB */
	struct size_histogram cpu_ratio;    /* permille of the declared size */
	struct size_histogram memory_ratio; /* permille of the declared size */
	struct failure_set start_failures;
	struct failure_set task_failures;
	struct interference
		*interference;	 /* PLACE_KINDS_MAX, of a service, or NULL */
	double alone_latency_us; /* latency of a service when alone */
	double alone_weight;
	uint64_t first_start_us;
};

struct worker {
	char id[PLACE_NAME_BYTES];
	uint32_t handle;
	uint16_t rack;
	int32_t capacity[RES_COUNT];
	int32_t free[RES_COUNT];
	int32_t reclaimable[RES_COUNT]; /* by evicting what yields */
	bool listed;			/* in the list of VMs */
	bool leaving;
	bool synced;	   /* read in this epoch */
	bool fence_raised; /* its fencing token is of this epoch */
	bool read_pending;
	bool trial; /* its one start after a quarantine may go, or went */
	bool trial_used;
	uint8_t failures; /* in a row */
	uint8_t quarantines;
	uint64_t quarantine_us; /* end of the quarantine; 0: none */
	uint64_t gone_us;
	uint64_t last_renewal_us; /* last renewal that was asked for */
	uint64_t last_answer_us;
	uint64_t last_read_us;
	uint64_t acted_us; /* last throttle, checkpoint or eviction */
	uint64_t usage_sampled_us;
	uint32_t used_cpu_milli;
	uint32_t used_memory_mb;
	uint64_t nominated_until_us; /* end of its keeping for one task; 0: none
				      */
	uint64_t reported_us;	     /* when the last usage came */
	uint64_t evaluated_us;	     /* reported_us of the last judgement */
	uint32_t starting_tasks;     /* tasks in that state */
	uint32_t failed_reads;
	uint32_t over_limit_samples; /* samples in a row above the bound */
	struct task_list tasks;
};

struct index_tree {
	uint32_t leaves; /* power of two */
	int32_t (*max)[RES_COUNT];
};

enum commit_waiter_type { WAIT_START, WAIT_REPLY, WAIT_HORIZON };

struct commit_waiter {
	uint64_t token;
	enum commit_waiter_type type;
	uint32_t slot;
	uint32_t number;
	uint32_t attempt;
	uint64_t request;
	struct worker *passed_over; /* WAIT_START, or NULL */
	const char *reason;
	uint64_t appended_us;
};

struct place {
	struct oplog_client client;
	struct place_options options;
	struct rng rng;
	bool owner;
	bool log_full;		 /* an entry was not taken in this pass */
	bool discovery_complete; /* owned long enough to call a job impossible
				  */
	bool dirty; /* room or pending tasks changed since the last pass */
	uint64_t epoch;
	uint64_t now_us;
	uint64_t owned_us;
	uint64_t last_append_us;
	/*
	 * Renewals leave up to this time after the last append. It is no
	 * longer than what the log says, because the next owner waits for the
	 * longest horizon that the log names.
	 */
	uint64_t horizon_us;
	uint64_t logged_horizon_us;
	bool horizon_appended;
	uint64_t last_heartbeat_us;
	uint64_t last_sweep_us;
	uint64_t last_token;
	uint64_t evictions;
	uint64_t decisions;
	uint64_t interference_deferrals; /* tasks that interference kept waiting
					  */
	uint64_t interference_retry_us;

	struct placement **slots;
	uint32_t slot_count;
	uint32_t slot_capacity;
	uint32_t free_slot_hint; /* maybe a free one */
	uint32_t delete_cursor;
	void *placements_by_id; /* tsearch() tree */
	uint32_t impossible_count;

	struct worker **workers;
	uint32_t worker_count;
	uint32_t worker_capacity;
	void *workers_by_id; /* tsearch() tree */
	char racks[PLACE_RACKS_MAX][PLACE_NAME_BYTES];
	uint32_t rack_count;
	int64_t total_capacity[RES_COUNT]; /* capacity of the known workers */
	uint32_t capacity_version;	   /* of workers or quotas */

	struct team *teams;
	uint32_t team_count;
	struct kind *kinds;
	uint32_t kind_count;
	uint32_t team_capacity;
	uint32_t kind_capacity;
	const struct sheet *sheet;

	struct index_tree free_index;	     /* free room of usable workers */
	struct index_tree reclaimable_index; /* the same with what yields */
	struct index_tree capacity_index;    /* all known workers */

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
	CHANGE_HORIZON, /* longest outage horizon of any owner; a heartbeat */
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
 * Appends a change and applies it; returns its token. 0 when the log did not
 * take it: the state is as before, and periodic work tries again.
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
struct task *task_lookup(struct place *p, const char *id);
uint32_t team_get_or_add(struct place *p, const char *user, const char *name);
uint32_t kind_get_or_add(struct place *p, const char *user, const char *name,
			 bool service);

/* ---- place.c ---- */

struct place_action *place_add_action(struct place *p,
				      enum place_action_type type);
void place_await_commit(struct place *p, const struct commit_waiter *w);
void task_id(const struct task *t, char out[PLACE_NAME_BYTES + 12]);
const char *reason_text(enum place_reason r);
bool task_is_active(const struct task *t);
bool task_is_final(const struct task *t);
bool task_is_pending(const struct task *t);
bool task_cancel_requested(const struct task *t);
struct interference *kind_interference(struct place *p, uint32_t service,
				       uint32_t other);

/* ---- place-index.c ---- */

void index_resize(struct index_tree *x, uint32_t leaves);
void index_set(struct index_tree *x, uint32_t leaf,
	       const int32_t value[RES_COUNT]);
/* Returns the first leaf from `from` on with room for need, or -1. */
int index_find(const struct index_tree *x, const int32_t need[RES_COUNT],
	       uint32_t from);
void index_free(struct index_tree *x);

/* ---- place-worker.c ---- */

struct worker *worker_lookup(struct place *p, const char *id);
struct worker *worker_get_or_add(struct place *p, const char *id);
void worker_reindex(struct place *p, struct worker *w);
void worker_add_task(struct place *p, struct worker *w, struct task *t);
void worker_remove_task(struct place *p, struct task *t);
void worker_set_reserved(struct place *p, struct task *t,
			 const int32_t reserved[RES_COUNT]);
void worker_recompute_free(struct place *p, struct worker *w);
/* Takes back a failure, and the quarantine that it led to. */
void worker_revoke_failure(struct place *p, struct worker *w);
void worker_record_failure(struct place *p, struct worker *w);
void worker_record_success(struct place *p, struct worker *w);
/* Begins the quarantine again that the log shows. */
void worker_restart_quarantine(struct place *p, struct worker *w);
void worker_event(struct place *p, const struct place_event *e);
void worker_tick(struct place *p, struct worker *w);
void worker_read(struct place *p, struct worker *w);
bool worker_is_usable(const struct place *p, const struct worker *w);

/* ---- place-task.c ---- */

bool task_assign(struct place *p, struct task *t, struct worker *w,
		 const int32_t need[RES_COUNT], struct worker *passed_over,
		 const char *reason);
void task_set_state(struct place *p, struct task *t, enum task_state state,
		    enum place_reason reason, const char *checkpoint);
/* Stops a task on its worker; it resumes elsewhere unless cancelled. */
void task_stop(struct place *p, struct task *t, enum place_reason reason,
	       bool checkpoint_first);
/* The task does not run on its worker any more. */
void task_end_attempt(struct place *p, struct task *t, const char *checkpoint);
void task_start_committed(struct place *p, const struct commit_waiter *w);
void task_event(struct place *p, const struct place_event *e);
void task_tick(struct place *p, struct task *t);
void task_handle_absence(struct place *p, struct task *t, uint64_t sent_us);

/* ---- place-queue.c ---- */

void queue_add(struct place *p, struct task *t);
void queue_remove(struct place *p, struct task *t);
void queue_update_team(struct place *p, struct team *t);
void queue_set_sheet(struct place *p, const struct sheet *s);
void queue_schedule(struct place *p);
/* Lets impossible tasks wait again that a worker or quota now allows. */
void queue_recheck_impossible(struct place *p);

/* Ends the keeping of a worker for a task. */
void queue_clear_nomination(struct place *p, struct task *t);

/* ---- place-usage.c ---- */

/*
 * Fills the part of a reservation that the worker is asked for: the worker
 * adds up what it was asked for, and does not hear of later changes.
 */
void usage_requested(const struct place *p, const struct placement *pl,
		     const int32_t need[RES_COUNT],
		     uint32_t requested[RES_COUNT]);
/* Fills the room to reserve for the next start of a task. */
void usage_estimate(const struct place *p, const struct placement *pl,
		    int32_t need[RES_COUNT]);
void usage_event(struct place *p, const struct place_event *e);
void usage_relieve(struct place *p, struct worker *w);
struct task *usage_choose_victim(struct worker *w, enum urgency urgency);

/* ---- place-pair.c ---- */

struct worker *interference_choose_worker(struct place *p, const struct task *t,
					  const int32_t need[RES_COUNT],
					  struct worker **passed_over,
					  const char **reason);
void interference_learn(struct place *p, struct worker *w);
void interference_relieve(struct place *p, struct worker *w);

#endif
