#ifndef SCHED_INTERNAL_H
#define SCHED_INTERNAL_H

#include "job-sched.h"
#include "pair-model.h"

/*
 * NAME
 *	sched-internal - tables shared by the files of the core
 *
 * DESCRIPTION
 *	sched.c: life of jobs; sched-task.c: life of tasks; sched-worker.c:
 *	reports and leases; sched-place.c: choice of workers; sched-pace.c:
 *	services beside batch work; sched-record.c: the stored form.
 *
 *	Jobs, workers and tasks live in growing tables and refer to each other
 *	by index. Tasks of one occurrence are contiguous.
 */

#define JOB_BUCKETS 4096u /* power of two */

/* Of a task that a predecessor started, or whose order was refused. */
#define CPU_PERCENT_UNKNOWN 101

enum task_state {
	TASK_BLOCKED,  /* its step waits for earlier ones */
	TASK_WAITING,  /* for a worker */
	TASK_PLACED,   /* its worker is chosen, not yet stored */
	TASK_STORING,  /* the record with its worker is being stored */
	TASK_STARTING, /* the order is queued or sent */
	TASK_RUNNING,
	TASK_STOPPING,	  /* has to end where it is */
	TASK_UNCONFIRMED, /* may run on a worker that has not reported yet */
	TASK_DONE,
	TASK_DROPPED, /* its job has ended */
};

struct task {
	uint32_t job;
	uint32_t occurrence; /* number within the job */
	uint16_t step;
	uint16_t failures;
	uint32_t index;	     /* within the step */
	uint32_t run;	     /* of the last start; 0: none */
	uint32_t failed_run; /* of a gang: its last run that failed */
	uint32_t worker;
	uint32_t avoid; /* worker on which it failed last */
	uint32_t next_on_worker;
	uint32_t prev_on_worker;
	uint64_t since_us; /* of the state */
	uint64_t retry_us; /* not placed before that */
	uint8_t state;
	uint8_t cpu_percent; /* percent in force or ordered, or
				CPU_PERCENT_UNKNOWN */
	uint8_t percent;
	bool wait_logged; /* of a step's first: that it waits was logged */
	bool confirmed;	  /* the start, or the stop, was confirmed */
	uint32_t metric;
	char checkpoint[SCHED_CHECKPOINT_BYTES];
};

/* Tasks of an occurrence that is over. */
struct task_block {
	uint32_t first;
	uint32_t count;
};

struct occurrence {
	uint32_t number;
	uint32_t first_task;
	uint32_t tasks_left[JOB_STEPS_MAX]; /* tasks of each step not done */
	uint64_t due_wall_ms;
	bool used;
};

struct job {
	struct job_spec spec;
	struct sched_queue queue; /* policy in force for it */
	struct occurrence *occurrences;
	uint32_t occurrence_count;
	uint32_t next_occurrence; /* number of the next one to begin */
	uint32_t next_in_bucket;
	enum sched_job_state state;
	uint64_t ended_wall_ms;
	uint64_t deadline_wall_ms; /* of its objective */
	bool used;
	bool started; /* a task has started once */
	bool dirty;
	bool collected;
};

/* Slowdown that services of an image can still bear on a worker. */
#define SERVICE_IMAGES_MAX 8
struct service_headroom {
	uint32_t image;
	float slowdown_left;
};

struct worker {
	char id[JOB_NAME_BYTES];
	char service[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	char labels[SCHED_LABELS_MAX][JOB_NAME_BYTES];
	struct resources capacity;
	struct resources used;	    /* by tasks that count against capacity */
	struct resources reserved;  /* for tasks that are next in order */
	uint32_t reserved_for;	    /* the task that it was last held for */
	uint32_t service_milli;	    /* part of used that serves */
	uint32_t best_effort_milli; /* of tasks that fill */
	struct service_headroom headrooms[SERVICE_IMAGES_MAX];
	uint32_t headroom_count;
	bool headrooms_valid; /* else they are found when asked for */
	uint32_t first_task;
	uint64_t started_wall_ms;
	uint64_t ends_seen;	 /* highest end processed */
	uint64_t ends_collected; /* in the collection that is open */
	uint64_t ends_stored;
	uint64_t lease_end_us; /* nothing runs there later without renewal */
	uint64_t quarantine_us;
	uint64_t full_until_us;	       /* refused for want of room until then */
	uint64_t over_target_since_us; /* a service over its target since; 0:
					  none */
	uint64_t acted_us;	       /* a batch task was halted or moved */
	uint64_t observed_us;  /* the pairs of images were learnt from it */
	uint64_t throttled_us; /* the pace of a batch task */
	uint32_t tail_percent; /* of the worst service, in its last report */
	uint32_t failures;     /* in a row, of different jobs */
	uint32_t last_failed_job;
	bool listed;
	bool draining;
	bool responsive; /* and has answered since */
	bool trial;	 /* out of quarantine: one task at a time */
};

#define UNMET_MAX 32
struct unmet_demand {
	const char *service;
	uint32_t image; /* of batch work; SCHED_NONE for the rest */
	struct resources demand;
};

struct sched {
	const struct sched_ops *ops;
	void *arg;
	struct sched_settings settings;
	struct sched_queue *queues;
	size_t queue_count;
	struct job *jobs;
	uint32_t job_count;
	uint32_t job_capacity;
	uint32_t job_free; /* chained by next_in_bucket */
	uint32_t buckets[JOB_BUCKETS];
	struct task *tasks;
	uint32_t task_count;
	uint32_t task_capacity;
	struct task_block *free_blocks;
	uint32_t free_block_count;
	struct worker *workers;
	uint32_t worker_count;
	uint64_t created_us;
	uint64_t now_us;
	uint64_t wall_ms;
	bool collecting;
	bool placement_due; /* something changed that may allow a placement */
	uint64_t last_placement_us;
	uint32_t backlog; /* tasks that the last round left waiting */
	struct sched_stats stats;
	struct pair_model pairs;
	/* Needs that no worker could meet in this round of placement. */
	struct unmet_demand unmet[UNMET_MAX];
	uint32_t unmet_count;
	/* Tasks that hold a worker in this round, and the most that may. */
	uint32_t reserved_count;
	uint32_t reserved_max;
};

/* ---- sched.c ---- */
struct job *sched_job_find(const struct sched *s, const char *id);
uint32_t sched_job_index(const struct sched *s, const struct job *j);
/* Time since the job was accepted. */
uint64_t sched_job_age_us(const struct sched *s, const struct job *j);
void sched_mark_dirty(struct sched *s, struct job *j);
void sched_end_job(struct sched *s, struct job *j, enum sched_job_state state);
const struct job_step *sched_task_step(const struct sched *s,
				       const struct task *t);
struct occurrence *sched_find_occurrence(struct job *j, uint32_t number);
struct occurrence *sched_begin_occurrence(struct sched *s, struct job *j,
					  uint32_t number);
/* Makes the tasks of steps ready whose earlier steps are done. */
void sched_unblock(struct sched *s, struct job *j, struct occurrence *o);
void sched_finish_occurrence(struct sched *s, struct job *j,
			     struct occurrence *o);

/* ---- sched-task.c ---- */
void sched_task_place(struct sched *s, struct task *t, uint32_t worker);
/* The task no longer occupies its worker. */
void sched_task_release(struct sched *s, struct task *t);
/* Back to the queue, not to be placed for some time. */
void sched_task_requeue(struct sched *s, struct task *t, uint32_t pause_ms);
void sched_task_start(struct sched *s, struct task *t);
void sched_task_stop(struct sched *s, struct task *t);
void sched_task_ended(struct sched *s, struct task *t, enum sched_end how,
		      const char *checkpoint);
/* Keeps the newest checkpoint; one that is too long is left out. */
void sched_task_checkpoint(struct sched *s, struct task *t, const char *value);
void sched_task_name(const struct sched *s, const struct task *t,
		     char out[SCHED_TASK_NAME_BYTES]);
/* Returns the task, or NULL when its job or occurrence is unknown. */
struct task *sched_task_find(struct sched *s, const char *name);
bool sched_task_on_worker(const struct task *t);

/* ---- sched-worker.c ---- */
/* Adds a worker that only a stored record names. */
uint32_t sched_worker_add(struct sched *s, const char *id);
void sched_workers_tick(struct sched *s);
void sched_worker_record_end(struct sched *s, struct worker *w,
			     const struct task *t, enum sched_end how);

/* ---- sched-place.c ---- */
void sched_place(struct sched *s);
/* Whether a worker may get tasks of the job's step at all. */
bool sched_worker_usable(const struct sched *s, const struct worker *w,
			 const struct job *j, const struct job_step *step);

/* ---- sched-reserve.c ---- */
/* Nothing is held; called at the begin of a round of placement. */
void sched_reserve_reset(struct sched *s);
/* Holds room for a task that fits nowhere against those later in order. */
void sched_reserve(struct sched *s, const struct job *j, const struct task *t);

/* ---- sched-pace.c ---- */
/* Acts on a report so that batch work does not keep a service over target. */
void sched_control_interference(struct sched *s, uint32_t worker);
/*
 * Slowdown that the most sensitive service of a worker can still bear when a
 * batch task of the step is added; negative: too much.
 */
float sched_interference_headroom(struct sched *s, struct worker *w,
				  const struct job_step *step);

/* ---- sched-record.c ---- */
void sched_record_encode(const struct sched *s, const struct job *j,
			 struct buffer *out);

#endif
