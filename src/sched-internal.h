#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include "job-sched.h"
#include "pair-model.h"
#include "sched-index.h"
#include "sched-value.h"
#include "sched-speed.h"

/*
 * NAME
 *	sched-internal - data structures of the scheduling core
 *
 * DESCRIPTION
 *	sched.c		jobs
 *	sched-table.c	the table of tasks
 *	sched-begin.c	which occurrences have tasks in the table
 *	sched-ended.c	jobs that have ended
 *	sched-collect.c	what is to be stored
 *	sched-view.c	what callers and metrics see
 *	sched-task.c	tasks
 *	sched-stop.c	stops, and starts that are given up
 *	sched-worker.c	reports and leases
 *	sched-incarnation.c	what is known of which start of a worker
 *	sched-evacuated.c	availability zones in which nothing is started
 *	sched-silent.c	silent workers, recorded for a successor
 *	sched-order.c	order of placement
 *	sched-place.c	placement
 *	sched-starved.c	batch jobs that have nothing running
 *	sched-gang.c	tasks that are placed together
 *	sched-index.c	workers by free capacity
 *	sched-reserve.c	reservations
 *	sched-preempt.c	urgent jobs that stop other tasks
 *	sched-value.c	values of jobs and their work
 *	sched-value-order.c	rates, and which jobs are moved back
 *	sched-crash.c	tasks that crash their workers
 *	sched-lost.c	runs lost on silent workers
 *	sched-estimate.c	run times and objectives
 *	sched-interference.c	batch tasks beside services
 *	sched-straggler.c	tasks on slow workers
 *	sched-wait-log.c	why tasks wait
 *	sched-record.c	the stored progress record
 *
 *	Jobs, workers and tasks are stored in growing tables and refer to each
 *	other by index. The tasks of one occurrence are contiguous.
 */

#define JOB_BUCKETS 4096u    /* power of two */
#define WORKER_BUCKETS 4096u /* power of two */

/* For a task that a predecessor started, or whose throttle order failed. */
#define CPU_PERCENT_UNKNOWN 101

enum task_state {
	TASK_BLOCKED,  /* the step depends on unfinished steps */
	TASK_WAITING,  /* for placement */
	TASK_PLACED,   /* on a worker; record not yet collected */
	TASK_STORING,  /* its progress record is being stored */
	TASK_STARTING, /* the start order is queued or sent */
	TASK_RUNNING,
	TASK_STOPPING,	  /* a stop is ordered */
	TASK_UNCONFIRMED, /* restored; its worker has not reported yet */
	TASK_DONE,
	TASK_DROPPED, /* the job has ended */
};

struct sched_task {
	uint32_t job;
	uint32_t occurrence; /* its number in the job */
	uint16_t step;
	uint16_t failures;
	/* Since a run that outlived the crashes before it: */
	uint8_t crashes;     /* of workers on which it is known to have run */
	uint8_t suspicions;  /* crashes that it may have caused */
	uint8_t losses;	     /* runs that are gone for an unknown reason */
	uint8_t restarts;    /* of these: of workers that have restarted */
	uint8_t silences;    /* runs at listed workers that may have crashed */
	bool on_probation;   /* its worker starts no other task */
	uint32_t index;	     /* in the step */
	uint32_t run;	     /* number of the last run; 0: none */
	uint32_t failed_run; /* of a gang: the last failed run */
	uint32_t survived_run; /* the last that outlived the crashes before */
	uint32_t incarnation;  /* tag of its worker's, at the last start */
	uint16_t lost_address; /* worker's, of the last open loss; 0: none */
	uint32_t worker;
	uint32_t last_failed_worker; /* worker of the last failure */
	uint32_t preempted_on;	     /* index of the worker, if preempted */
	uint32_t reserved_on;	     /* index + 1 of the worker; 0: none */
	uint64_t reserved_us;	     /* since when; of the first member of a
					gang: no turn begins before */
	uint32_t next_on_worker;
	uint32_t prev_on_worker;
	uint64_t state_since_us;  /* time of the last state change */
	uint64_t retry_us;	  /* earliest next placement */
	uint64_t absent_since_us; /* it was last known to run, or could first be
				     placed */
	uint64_t lost_age_us;	  /* longest run that a crash ended ... */
	uint64_t suspect_age_us;  /* ... that the task is suspected of */
	uint64_t crashed_us;	  /* last crash that was not one of many ... */
	uint64_t former_lost_age_us; /* ... lost_age_us before it */
	bool last_crash_suspected;   /* ... it raised suspicions */
	uint64_t stoppable_us;	     /* of a service: earliest preemption */
	uint64_t throttled_us;	     /* last throttle order */
	uint64_t wait_logged_us; /* first task of a step: its wait was logged;
				    0: it does not wait */
	uint64_t probation_logged_us; /* the same of waits for a probation */
	uint8_t state;
	uint8_t cpu_percent;	  /* limit ordered, or CPU_PERCENT_UNKNOWN */
	uint8_t progress_percent; /* progress */
	uint8_t unanswered;    /* copies of the run's start without an answer,
				  which may still be carried out */
	bool start_sent;       /* a copy of the run's start has no result */
	bool confirmed;	       /* the worker confirmed the start or stop */
	bool stopped_at_start; /* no answer had shown that the run began */
	bool leaving;	       /* its worker has said that it drains */
	bool preempted;	       /* a service stopped for an urgent task */
	bool counted_absent;   /* in absent_services */
	bool throttle_unanswered; /* an order that may be carried out late */
	uint32_t listed_in; /* number of the last report that lists the run */
	uint32_t metric;
	struct run_speed speed;
	char checkpoint[SCHED_CHECKPOINT_BYTES];
};

/* Occurrences with few and with many tasks each have a part of the table. */
enum task_share { SHARE_SMALL, SHARE_LARGE, TASK_SHARES };

/* Free range of the task table. */
struct task_block {
	uint32_t first;
	uint32_t count;
};

struct occurrence {
	uint32_t number;
	uint32_t first_task;
	uint32_t tasks_left[JOB_STEPS_MAX]; /* per step: tasks not done */
	uint32_t waiting[JOB_STEPS_MAX];    /* per step: TASK_WAITING */
	uint64_t due_wall_ms;
	uint64_t begun_us;
	bool touched;		/* a task has been placed, or is restored */
	uint64_t *block_hashes; /* of stored blocks, see sched-block.c */
	bool used;
};

/* A block of an occurrence that is over; its record is to be deleted. */
struct stale_block {
	uint32_t occurrence;
	uint32_t block;
};

/*
 * If nothing of a job is done, its failures on more workers than these count
 * against the job.
 */
#define JOB_FAILED_WORKERS_MAX 2

struct step_times {
	uint32_t longest_run_ms; /* of the tasks done so far */
	uint32_t duration_ms;	 /* 0: the step is not done */
};

struct job {
	struct job_spec spec;
	struct queue_policy queue; /* copy of the queue's policy */
	uint32_t service;	   /* handle of the queue's service */
	uint32_t estimate;	   /* of the queue, in the table of estimates */
	struct step_times *step_times; /* by step */
	struct occurrence *occurrences;
	uint32_t occurrence_count;
	uint32_t open_count;	  /* occurrences in use */
	uint32_t next_occurrence; /* number of the next to begin */
	/* Numbers of those that were begun and have no tasks, none having run.
	 */
	uint32_t *parked;
	uint32_t parked_count;
	uint64_t pending_since_us; /* to begin an occurrence */
	bool pending;		   /* listed in s->pending ... */
	bool pending_first;	   /* ... with no occurrence in use then */
	bool was_parked;	   /* since then */
	uint32_t next_in_bucket;
	uint32_t waiting; /* tasks in TASK_WAITING */
	enum sched_job_state state;
	uint64_t ended_wall_ms;
	uint64_t deadline_wall_ms; /* latency objective */
	bool used;
	bool started;	  /* a task was started */
	bool has_suspect; /* a worker crashed under a task */
	bool has_done;	  /* a task was done since the owner was elected */
	/* Workers on which a task has failed, the first ones. */
	uint32_t failed_on[JOB_FAILED_WORKERS_MAX];
	uint32_t failed_on_count;
	uint32_t block_tasks; /* of a divided record; 0: it is whole */
	uint64_t head_hash;   /* of the stored head; 0: none */
	struct job_value value;
	struct stale_block *stale;
	uint32_t stale_count;
	uint32_t stale_collected; /* the first, absent from the head */
	bool dirty;		  /* changed since its record was collected */
	bool collected;		  /* its record is being stored */
	bool set_aside;		  /* its record has no tasks */
	bool unstorable;	  /* its record is not collected */
	bool restored;		  /* its record was loaded */
};

#define SERVICE_IMAGES_MAX 8
/* Further slowdown that services of an image on a worker tolerate. */
struct service_headroom {
	uint32_t image;
	float slowdown_left;
};

/* What a worker is called; rarely read. */
struct worker_identity {
	char id[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	char labels[SCHED_LABELS_MAX][JOB_NAME_BYTES];
	uint32_t next_in_bucket;
};

struct sched_worker {
	/* Read for all workers in each search; kept on few cache lines. */
	struct resources capacity;
	struct resources used;	    /* CPU without best-effort tasks */
	struct resources reserved;  /* for tasks that did not fit */
	struct resources stopped;   /* of services stopped for urgent tasks
				       that are still away */
	uint32_t service;	    /* handle of its service */
	uint32_t inverse_cpu;	    /* room_inverse() of the capacity */
	uint32_t service_milli;	    /* CPU of long-running tasks ... */
	uint32_t service_tasks;	    /* ... and their number */
	uint32_t best_effort_milli; /* CPU of best-effort tasks */
	uint32_t first_task;
	uint64_t quarantine_end_us;
	uint64_t full_until_us; /* a start was refused: no placement until */
	uint64_t over_target_since_us; /* service above target; 0: none */
	/* Tail latency is close to the target, not above; 0: it is not. */
	uint64_t near_target_since_us;
	uint32_t
		near_target_wait_ms; /* until batch work is allowed; 0: least */
	uint64_t near_target_allowed_us; /* when it was allowed last */
	bool listed;
	bool draining;	     /* as its entry says, see sched_worker_drains() */
	bool entry_outdated; /* it reports as another incarnation */
	bool evacuated;	     /* its zone is; nothing is started there */
	bool cold;	     /* its entry says that it is slow for a while */
	bool responsive;     /* has answered the last request for a report */
	/* For a time after quarantine: one finite task at once. */
	bool on_trial;
	bool has_unknown_run; /* takes room that is not counted as used */
	uint8_t probations;   /* tasks on probation: no other is placed */
	bool headrooms_valid; /* else recomputed on use */
	uint32_t headroom_count;
	struct service_headroom headrooms[SERVICE_IMAGES_MAX];

	struct worker_identity *identity;
	uint32_t report_number;
	uint64_t started_wall_ms;
	uint64_t entry_wall_ms;	    /* the same of its entry; 0: unknown */
	uint64_t announced_wall_ms; /* start of the incarnation in its entry */
	uint64_t announced_us;	    /* when that was learnt */
	uint64_t ends_seen;	    /* highest sequence number processed */
	uint64_t ends_collected;    /* ... in the records being stored */
	uint64_t ends_stored;	    /* ... in stored records */
	bool ending;		    /* listed in s->ending */
	uint64_t heard_us;	    /* when the last report was requested */
	uint64_t lease_end_us;	    /* all leases have expired by then */
	uint64_t granted_us;	    /* last lease of this owner; 0: none */
	uint64_t silent_since_us;   /* unless it is responsive */
	uint8_t recorded;	    /* SILENT_COLLECTED, SILENT_STORED */
	bool lease_recorded;	/* a predecessor's record contains the worker */
	uint32_t lost_runs;	/* in the table of lost runs */
	uint64_t crashed_us;	/* its last crash was observed; 0: none */
	bool start_noted;	/* by sched_lost_tick() */
	bool replaced;		/* sched_lost_replaced() */
	uint16_t address_tag;	/* sched_worker_info */
	uint64_t tasks_lost_us; /* its tasks were taken back; 0: not yet */
	uint64_t last_action_us; /* last halt, resume or migration of a batch
				    task */
	uint64_t observed_us;	 /* last update of the interference model */
	uint64_t throttled_us;	 /* last change of a batch task's CPU limit */
	uint32_t tail_percent;	 /* tail latency of target, worst service */
	uint32_t failures;	 /* consecutive, of different jobs */
	uint32_t last_failed_job;
	struct worker_speed speed;
	bool speed_disturbed; /* by throttled tasks, at the last report */
	uint64_t reported_us; /* last report */
};

#define SCHED_ESTIMATES_MAX 64
/* How the run times of a queue's tasks relate to their estimates. */
struct queue_estimate {
	char name[JOB_NAME_BYTES];
	float log_ratio;    /* of the longest run of a step to its estimate */
	float log_variance; /* of samples around log_ratio */
	float steps;	    /* observed, up to a maximum */
};

/* By image, so that a look-up reads few. */
#define UNMET_BUCKETS 32u
#define UNMET_MAX 16u /* in a bucket */
/* Demand that no worker could meet in the current placement round. */
struct unmet_demand {
	uint32_t service;
	uint32_t image; /* of best-effort tasks, else SCHED_NONE */
	struct resources demand;
};

struct unmet_bucket {
	struct unmet_demand list[UNMET_MAX];
	uint32_t count;
};

/* A refused stop that is ordered again. */
struct stop_retry {
	uint32_t task; /* index */
	uint32_t run;
	uint32_t worker;
	uint64_t due_us;
};

#define ENDED_BUCKETS 16384u /* power of two */

struct ended_job;
/* Jobs that have ended, and whose records are complete. */
struct sched_ended {
	struct ended_job *list;
	uint32_t count; /* with free entries */
	uint32_t capacity;
	uint32_t first_free;
	uint32_t buckets[ENDED_BUCKETS];
	char (*queues)[JOB_NAME_BYTES];
	uint32_t queue_count;
	uint64_t check_us;
};

#define SCHED_MOVES_MAX 64u
/* A task that is stopped on a slow worker. */
struct sched_move {
	uint32_t task; /* index */
	uint32_t run;
	uint32_t worker; /* with room for it */
};

struct sched {
	const struct sched_ops *ops;
	void *arg;
	struct sched_settings settings;
	struct queue_policy *queues;
	size_t queue_count;
	bool attempts_unchecked; /* since the policy changed or jobs loaded */
	char (*services)[JOB_NAME_BYTES]; /* names by handle */
	uint32_t service_count;
	struct queue_estimate estimates[SCHED_ESTIMATES_MAX];
	uint32_t estimate_count;
	struct job *jobs;
	/* By job: sched_tick() skips it before, unless it changes. */
	uint64_t *job_due_wall_ms;
	uint32_t *collected; /* indices of jobs, ascending */
	uint32_t collected_count;
	uint32_t collect_from; /* job with which the next collection begins */
	uint32_t dirty_count;
	uint32_t *ending; /* indices of workers with ends that are not stored */
	uint32_t ending_count;
	struct sched_ended ended;
	uint64_t job_bytes; /* memory of all jobs, without their tasks */
	uint32_t job_count;
	uint32_t job_capacity;
	uint32_t job_free; /* free list, linked by next_in_bucket */
	uint32_t buckets[JOB_BUCKETS];
	struct sched_task *tasks;
	uint32_t task_count;
	uint32_t task_capacity;
	struct task_block *free_blocks; /* by position, not adjacent */
	uint32_t free_block_count;
	uint32_t free_block_capacity;
	uint32_t tasks_used[TASK_SHARES]; /* of occurrences in use */
	uint32_t *pending; /* jobs with a due occurrence that is not begun */
	uint32_t pending_count;
	uint32_t pending_capacity;
	uint32_t pending_first[TASK_SHARES]; /* of these, with none in use */
	uint64_t pending_next_us;	     /* next time to begin some */
	uint64_t parking_next_us;
	struct stop_retry *stop_retries;
	uint32_t stop_retry_count;
	struct sched_worker *workers;
	uint32_t worker_buckets[WORKER_BUCKETS]; /* by hash of the id */
	struct room_index rooms; /* of the current placement round */
	uint32_t worker_count;
	uint64_t lease_check_us; /* no lease of a silent worker ends before */
	/* Last first report of a worker, or when reports began; 0: not yet. */
	uint64_t newly_heard_us;
	uint64_t silent_check_us; /* silent workers are looked for then */
	uint32_t silent_left_out; /* the record had no room for them */
	bool silent_returned;	  /* a recorded worker has reported */
	bool silent_changed;	  /* the record no longer has the latest ends */
	uint64_t created_us;
	uint64_t now_us;
	uint64_t wall_ms;
	bool collecting;
	bool placement_due; /* a change may allow a placement */
	uint64_t last_placement_us;
	uint64_t last_overdue_us; /* last round for overdue services */
	uint32_t overdue_ran;	  /* overdue tasks that ran, at that round */
	struct sched_task **overdue_list; /* of the last step listed */
	uint32_t overdue_capacity;
	uint32_t overdue_services; /* jobs with overdue tasks at the last round
				      for all */
	uint32_t backlog;	   /* waiting tasks at the last round */
	struct sched_stats stats;
	struct pair_model pairs;
	struct unmet_bucket unmet[UNMET_BUCKETS];
	bool idle_known; /* idle is valid in this placement round ... */
	bool idle;	 /* much of the CPU of the service's workers is */
	uint32_t idle_service;
	uint32_t starved_unmet_mb; /* no worker has this memory for a job with
				      nothing running */
	uint32_t starved_starts;   /* of such jobs in this placement round */
	uint32_t reserved_count;   /* reservations of this placement round */
	uint32_t reserved_max;	   /* limit of reserved_count */
	uint32_t gang;		   /* that has or had the last turn to reserve:
				      index of its first member */
	uint64_t gang_turn_end_us;
	uint64_t gang_next_us;	   /* no other gang's turn begins before */
	bool gang_reserved;	   /* in this placement round */
	uint32_t reserve_searches; /* of this placement round */
	uint32_t blank_searches;   /* ... that read no tasks of workers */
	uint32_t listed_count;	   /* listed workers in this round */
	uint32_t preempt_cursor;   /* worker at which the next search begins */
	uint32_t preempted_services; /* tasks that are still away */
	/* Tasks of services that have run and wait, or are preempted ... */
	uint32_t absent_services;
	uint32_t silent_services; /* ... or on silent workers, in this round */
	bool spare_known; /* spare_milli is valid in this placement round */
	uint32_t spare_service;
	int64_t spare_milli;	/* CPU of the service's workers for services,
				   beyond what those on silent workers need */
	uint32_t probations;	/* tasks on probation */
	uint64_t mass_crash_us; /* many workers have crashed, last; 0: never */
	struct lost_run *lost_runs; /* sched-lost.h */
	uint32_t lost_run_count;
	uint32_t lost_run_capacity;
	uint64_t lost_check_us; /* next sched_lost_tick() */
	struct sched_value value;
	uint32_t *slow; /* indices of slow workers */
	uint32_t slow_count;
	uint32_t slow_capacity;
	uint64_t move_check_us; /* next search for tasks to move */
	struct speed_budget move_budget;
	struct sched_move moves[SCHED_MOVES_MAX];
	uint32_t move_count;
	char (*evacuated_zones)[JOB_NAME_BYTES];
	uint32_t evacuated_count;
};

/* ---- sched.c ---- */
/* Handle of a service, which is added if it is new. */
uint32_t sched_service(struct sched *s, const char *name);
struct job *sched_job_find(const struct sched *s, const char *id);
uint32_t sched_job_index(const struct sched *s, const struct job *j);
/* Time since the job was accepted. */
uint64_t sched_job_age_us(const struct sched *s, const struct job *j);
void sched_end_job(struct sched *s, struct job *j, enum sched_job_state state);
const struct job_step *sched_task_step(const struct sched *s,
				       const struct sched_task *t);
struct occurrence *sched_find_occurrence(struct job *j, uint32_t number);
/* Allocates the tasks; any parked occurrence of this number has been removed.
 */
struct occurrence *sched_begin_occurrence(struct sched *s, struct job *j,
					  uint32_t number);
/* Frees the tasks. */
void sched_close_occurrence(struct sched *s, struct job *j,
			    struct occurrence *o);
/* Unblocks the tasks of steps whose dependencies are done. */
void sched_unblock(struct sched *s, struct job *j, struct occurrence *o);
void sched_finish_occurrence(struct sched *s, struct job *j,
			     struct occurrence *o);

/* ---- sched-table.c ---- */
enum task_share sched_task_share(uint32_t count);
/* Whether so many tasks can be added without exceeding the table's size. */
bool sched_table_has_room(const struct sched *s, uint32_t count);
/* Adds tasks that are zeroed; the table grows if it has to. */
uint32_t sched_table_add(struct sched *s, uint32_t count);
void sched_table_remove(struct sched *s, uint32_t first, uint32_t count);

/* ---- sched-begin.c ---- */
/* Begins the occurrences of an open job that are due, or lists it as pending.
 */
void sched_begin_due(struct sched *s, struct job *j);
/* Begins occurrences of pending jobs for which there is room now. */
void sched_begin_pending(struct sched *s);
/* The job has ended or is removed: it is not pending any more. */
void sched_begin_cancel(struct sched *s, struct job *j);
/* Notes an occurrence of a stored record of which no task has run. */
void sched_park_number(struct job *j, uint32_t number);
/* Returns whether it was parked; then it is not any more. */
bool sched_unpark_number(struct job *j, uint32_t number);
/* Number of occurrences of a pending job that are due and not begun. */
uint32_t sched_pending_occurrences(const struct sched *s, const struct job *j);
/* When the occurrence is due, in milliseconds since 1970; 0: at once. */
uint64_t sched_occurrence_due_ms(const struct job *j, uint32_t number);

/* ---- sched-ended.c, see also job-sched.h ---- */
void sched_ended_init(struct sched *s);
void sched_ended_free(struct sched *s);
bool sched_ended_contains(const struct sched *s, const char *id);
/* Returns false if no such job of the queue has ended. */
bool sched_ended_state(const struct sched *s, const char *id, const char *queue,
		       enum sched_job_state *state);
/* The job's records are deleted. */
void sched_ended_forgotten(struct sched *s, const char *id);
/* Passes jobs that have been kept for long enough to ops->forget(). */
void sched_ended_tick(struct sched *s);

/* ---- sched-collect.c ---- */
/* The job has changed: sched_tick() reads it, its record is to be stored. */
void sched_mark_dirty(struct sched *s, struct job *j);
void sched_clear_dirty(struct sched *s, struct job *j);
/* The worker has reported ends that are not stored yet. */
void sched_worker_has_ends(struct sched *s, uint32_t worker);

/* Records that are stored together. */
struct sched_collection {
	void (*fn)(void *arg, const char *name, const void *data, size_t len);
	void *arg;
	size_t max;
	size_t count;
	size_t bytes;
};
bool sched_collection_full(const struct sched_collection *c);
void sched_collection_add(struct sched_collection *c, const char *name,
			  const struct buffer *record);

/* ---- sched-block.c ---- */
/* Tasks of a block of the job's record; 0: it is not divided. */
uint32_t sched_block_tasks(const struct job_spec *spec);
/* Blocks of an occurrence. */
uint32_t sched_block_count(const struct job *j);
void sched_blocks_begin(const struct job *j, struct occurrence *o);
/* The occurrence is over: its blocks are deleted once the head is stored. */
void sched_blocks_release(struct job *j, struct occurrence *o);
/* Returns false if some records are left for the next collection. */
bool sched_blocks_collect(struct sched *s, struct job *j,
			  struct sched_collection *c);
void sched_blocks_stored(struct sched *s, struct job *j, bool stored);
void sched_block_restored(struct occurrence *o, uint32_t block,
			  const void *data, size_t len);

/* ---- sched-task.c ---- */
/* Changes the state and the counts of waiting tasks. */
void sched_task_set_state(struct sched *s, struct sched_task *t,
			  enum task_state state);
void sched_task_place(struct sched *s, struct sched_task *t, uint32_t worker);
/* Detaches the task from its worker and frees the resources. */
void sched_task_release(struct sched *s, struct sched_task *t);
/* Returns the task to the queue; it isn't placed before the delay is over. */
void sched_task_requeue(struct sched *s, struct sched_task *t,
			uint32_t pause_ms);
void sched_task_start(struct sched *s, struct sched_task *t);
/* Passes an order for the task's run to its worker. */
void sched_task_order(struct sched *s, struct sched_task *t,
		      enum sched_order_type type);
void sched_task_ended(struct sched *s, struct sched_task *t, enum sched_end how,
		      const char *checkpoint);
/* Replaces the checkpoint unless the new value is empty or too long. */
void sched_task_checkpoint(struct sched *s, struct sched_task *t,
			   const char *value);
void sched_task_name(const struct sched *s, const struct sched_task *t,
		     char out[SCHED_TASK_NAME_BYTES]);
/* Returns NULL if the job, occurrence, step or index is unknown. */
struct sched_task *sched_task_find(struct sched *s, const char *name);
bool sched_task_on_worker(const struct sched_task *t);
/* Whether it belongs to a service and has never run. */
bool sched_task_is_new_service(const struct sched *s,
			       const struct sched_task *t);

/* ---- sched-stop.c ---- */
void sched_task_stop(struct sched *s, struct sched_task *t);
/*
 * A copy of the task's start was refused. The task is placed again, after the
 * delay, as soon as no other copy can be executed.
 */
void sched_start_refused(struct sched *s, struct sched_task *t,
			 uint32_t delay_ms);
void sched_stop_result(struct sched *s, struct sched_task *t,
		       enum sched_result result);
/* Orders refused stops again that are due. */
void sched_stops_tick(struct sched *s);
/* Whether a task waits for a report that shows that its start is void. */
bool sched_worker_has_given_up_start(const struct sched *s, uint32_t worker);

/* ---- sched-worker.c ---- */
/* Returns the worker's index; adds it if only a stored record names it. */
uint32_t sched_worker_add(struct sched *s, const char *id);
void sched_workers_tick(struct sched *s);
bool sched_worker_on_trial(const struct sched *s, const struct sched_worker *w);
void sched_worker_record_end(struct sched *s, struct sched_worker *w,
			     const struct sched_task *t, enum sched_end how);

/* No lease of a silent worker ends before the next check; updates its time. */
void sched_check_lease_at(struct sched *s, uint64_t lease_end_us);

/* ---- sched-incarnation.c ---- */
/* The incarnation of the worker's entry, or of its last report, has changed. */
void sched_check_entry(struct sched *s, uint32_t worker);
/* Whether the incarnation that reports has said that it drains. */
bool sched_worker_drains(const struct sched_worker *w);
/* Whether the run is stopped on a worker that drains; others may finish. */
bool sched_must_leave_drained(const struct sched *s,
			      const struct sched_task *t);
/*
 * Notes whether an entry says that the worker drains, before its incarnation is
 * noted as that of the last entry.
 */
void sched_note_draining(struct sched *s, uint32_t worker,
			 const struct sched_worker_info *info);

/* ---- sched-evacuated.c ---- */
/* The worker's entry was read: its zone may be an evacuated one. */
void sched_check_evacuated(struct sched *s, uint32_t worker);

/* ---- sched-silent.c ---- */
/* The worker is in the record that was collected last, or in the stored one. */
#define SILENT_COLLECTED 1u
#define SILENT_STORED 2u

/* ---- sched-order.c ---- */
/* Expected result of a job, in order of placement. */
enum deadline_class {
	CLASS_OVERDUE_SERVICE, /* waits for longer than its users accept */
	CLASS_OVERDUE_RESERVE, /* the same, may reserve room */
	CLASS_ON_TIME,	       /* meets its objective, or is long-running */
	CLASS_LATE,
	CLASS_HOPELESS,
};

struct candidate {
	uint32_t job;
	enum deadline_class class;
	uint64_t key;
};

/*
 * Lists the jobs with waiting tasks in the order of placement, a service with
 * overdue tasks three times: to place these, to reserve room for them, and for
 * all its tasks. The caller frees the list; returns its length.
 */
uint32_t sched_list_candidates(struct sched *s, struct candidate **list);
/* As above, but only services with overdue tasks, and only for these. */
uint32_t sched_list_overdue(const struct sched *s, struct candidate **list);
/*
 * Lists the overdue tasks of a step until the next call: those that have run,
 * then the longest absent first. Returns their number.
 */
uint32_t sched_overdue_tasks(struct sched *s, struct sched_task *first,
			     uint32_t count, struct sched_task ***list);

/* ---- sched-place.c ---- */
void sched_place(struct sched *s);
/* A round for the overdue tasks of services alone. */
void sched_place_overdue(struct sched *s);
/* Score of a worker, in thousandths of its CPU; higher is better. */
int64_t sched_worker_score(const struct sched *s, const struct sched_worker *w,
			   const struct job_step *step,
			   const struct sched_task *t);
/*
 * The worker with the highest score, the first of equals, or SCHED_NONE. rack:
 * NULL for any. The worker of the last failure is chosen only if no other fits.
 */
uint32_t sched_best_worker(struct sched *s, const struct job *j,
			   const struct sched_task *t, const char *rack,
			   bool beside_probations);
/* Whether the step's limit of tasks on one worker allows one more. */
bool sched_below_worker_max(const struct sched *s, const struct sched_worker *w,
			    const struct sched_task *t,
			    const struct job_step *step);
/* CPU left for best-effort tasks, in thousandths of a core; may be negative. */
int64_t sched_best_effort_cpu_left(const struct sched_worker *w);
/* The resources of a worker that are used or reserved have changed. */
void sched_update_room(struct sched *s, uint32_t worker);
/* Whether the worker is eligible for tasks of the job's step. */
bool sched_worker_usable(const struct sched *s, const struct sched_worker *w,
			 const struct job *j, const struct job_step *step);
bool sched_worker_has_label(const struct sched_worker *w, const char *label);

/* ---- sched-rack.c ---- */
/* Whether tasks that find no room in the rack that they prefer wait for it. */
bool sched_step_waits_for_rack(const struct sched *s, const struct job *j,
			       const struct job_step *step);

/* ---- sched-starved.c ---- */
/*
 * Expected CPU use of a service in percent of its declared CPU, as in the site
 * files of the deployments. Use beyond it slows down batch tasks.
 */
#define SERVICE_CPU_USE_PERCENT 45u
/*
 * Whether a large part of the capacity of a service's workers is idle, at its
 * first use in this placement round.
 */
bool sched_mostly_idle(struct sched *s, uint32_t service);
/*
 * A worker for a batch task that fits nowhere, if its job has had nothing
 * placed for a while, or SCHED_NONE.
 */
uint32_t sched_starved_worker(struct sched *s, const struct job *j,
			      const struct sched_task *t);

/* ---- sched-gang.c ---- */
/* Longest wait of a step for the rack that it prefers. */
uint64_t sched_rack_wait_us(const struct job_step *step);
/* Places all members of a gang, or none; these may then reserve room. */
void sched_place_gang(struct sched *s, struct job *j, struct sched_task *first,
		      bool reserve);

/* ---- sched-straggler.c ---- */
/* After a report has been applied: progress of the worker's runs. */
void sched_speed_reported(struct sched *s, uint32_t worker);
/* Before the end of a run is applied. */
void sched_speed_ended(struct sched *s, struct sched_task *t,
		       enum sched_end reason);
/* At the end of a placement round: moves tasks away from slow workers. */
void sched_move_stragglers(struct sched *s);
/*
 * Keeps the room that was found for tasks that are still being stopped, at the
 * start of a placement round.
 */
void sched_reserve_for_moves(struct sched *s);
/* Amount by which the worker's score for a finite task is lowered. */
int64_t sched_slow_penalty(const struct sched *s, const struct sched_worker *w);

/* ---- sched-wait-log.c ---- */
/*
 * Logs that tasks of a step fit nowhere; of a service, also the number of
 * workers that each reason rules out. first: the first task of the step.
 */
void sched_log_wait(struct sched *s, const struct job *j,
		    struct sched_task *first, uint32_t waiting);
/* Logs that tasks of a step wait until they may run on probation. */
void sched_log_probation_wait(const struct sched *s, const struct job *j,
			      struct sched_task *first, uint32_t waiting);

/* ---- sched-reserve.c ---- */
/* Drops all reservations at the start of a placement round. */
void sched_reserve_reset(struct sched *s);
/* Searches that tasks of the step may use in one placement round. */
uint32_t sched_reserve_searches_max(const struct job_step *step);
/*
 * Reserves resources for a task that fits nowhere against later tasks. Returns
 * false if no other task of its step can find a worker in this round either.
 */
bool sched_reserve(struct sched *s, const struct job *j, struct sched_task *t);

/*
 * Reserves resources for all members of a gang that does not fit, or none. One
 * gang at a time has a turn to do so: if it is not placed by its end, all gangs
 * pause, and another one follows.
 */
void sched_reserve_gang(struct sched *s, const struct job *j,
			struct sched_task *first);
/* The gang was placed: its reservations are over. */
void sched_gang_placed(struct sched *s, const struct job_step *step,
		       struct sched_task *first);

/* ---- sched-preempt.c ---- */
/*
 * Stops batch tasks or services where a task of the job then fits. Returns the
 * worker, or SCHED_NONE if no task was stopped. Sets read if the tasks of a
 * worker were read.
 */
uint32_t sched_preempt(struct sched *s, const struct job *j,
		       const struct sched_task *t, bool *read);
/* A preempted service is placed again or ended. */
void sched_preemption_over(struct sched *s, struct sched_task *t);
/*
 * Whether the task leaves the room of preempted services to urgent tasks and to
 * services that have run: it belongs to one that never ran.
 */
bool sched_leaves_room(const struct sched *s, const struct sched_task *t);

/* ---- sched-crash.c ---- */
/* Counts of crashes, suspicions and losses stop here: five bits each. */
#define SCHED_CRASH_COUNT_MAX 31u
/*
 * A worker has crashed: counts the crash for the tasks that ran there, before
 * they are requeued, except those that its report in progress lists, or that
 * ran on an incarnation that drained, as it exits by itself. Returns the index
 * of the job whose task caused it, or SCHED_NONE if that is not certain.
 */
uint32_t sched_crash_observed(struct sched *s, struct sched_worker *w);
/* Whether the task's run may have been under way on its worker. */
bool sched_may_have_run(const struct sched_task *t);
/*
 * The task's run is gone for an unknown reason. restarted: its worker is gone,
 * too, so that the task may have crashed it; otherwise it is silent. why: for
 * the log. Returns whether the job must fail.
 */
bool sched_crash_possible(struct sched *s, struct sched_task *t, bool restarted,
			  const char *why);
/* The same for a run on a silent worker that is listed: it is no loss yet. */
bool sched_crash_silence(struct sched *s, struct sched_task *t);
/*
 * A silent worker has restarted after all. counted: its run is among the
 * losses. Returns whether the job must fail.
 */
bool sched_crash_confirmed(struct sched *s, struct sched_task *t, bool counted);
/* A run that was lost, counted and restarted or not, was under no crash. */
void sched_crash_disproved(struct sched *s, struct sched_task *t,
			   bool restarted, bool counted);
/* Delay of the next start of a task whose run was lost. */
uint32_t sched_crash_delay_ms(const struct sched_task *t);
/* Whether no other task should start beside the task. */
bool sched_needs_probation(const struct sched_task *t);
/* Whether no other task may start beside the task; it waits for that. */
bool sched_probation_required(const struct sched_task *t);
/* Probations at a time. */
uint32_t sched_probations_max(const struct sched *s);
/* Whether a further task may be placed on probation. */
bool sched_probation_available(const struct sched *s);
/* Score of a worker for a probation; higher is better. */
int64_t sched_probation_score(const struct sched *s,
			      const struct sched_worker *w);
void sched_begin_probation(struct sched *s, struct sched_task *t);
void sched_end_probation(struct sched *s, struct sched_task *t);
/* A report lists the task: it has not crashed its worker so far. */
void sched_crash_survived(struct sched *s, struct sched_task *t,
			  uint64_t requested_us);

/* ---- sched-interference.c ---- */
/* After a report: limits batch tasks that keep a service above its target. */
void sched_control_interference(struct sched *s, uint32_t worker);
/*
 * Further slowdown that the most sensitive service on the worker tolerates if a
 * best-effort task of the step is added; negative: the task does not fit.
 */
float sched_interference_headroom(struct sched *s, struct sched_worker *w,
				  const struct job_step *step);

/* ---- sched-estimate.c ---- */
/* Index of the queue's estimate. */
uint32_t sched_estimate_queue(struct sched *s, const char *name);
/* A task has ended as done. */
void sched_estimate_run(struct sched *s, const struct sched_task *t);
/* All tasks of a step are done. */
void sched_estimate_step(struct sched *s, struct job *j, uint32_t step);
/* Standard deviation of the logarithm of a step's run time, as estimated. */
float sched_estimate_deviation(const struct sched *s, const struct job *j);
/* Expected duration of the steps that are not done. */
uint32_t sched_remaining_ms(const struct sched *s, const struct job *j);
/* Sets the job's latency objective by what is known of its run times. */
void sched_update_deadline(const struct sched *s, struct job *j);

/* ---- sched-record.c ---- */
void sched_record_encode(const struct sched *s, const struct job *j,
			 struct buffer *out);
/* Of a divided record; the tasks from first up to end. */
void sched_record_encode_head(const struct job *j, struct buffer *out);
void sched_record_encode_block(const struct sched *s,
			       const struct occurrence *o, uint32_t first,
			       uint32_t end, struct buffer *out);

#endif
