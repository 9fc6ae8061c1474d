#ifndef SCHED_VALUE_H
#define SCHED_VALUE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	sched-value - what jobs are worth, the work they need, and its rate
 *
 * DESCRIPTION
 *	Callers get the full value of a job that ends by its objective, 0.15 of
 *	it up to three times the objective, and nothing after that. The value
 *	is 0.3 + 0.7 times its work relative to the mean of its queue, at most
 *	4. sched_value_update() measures the rate at which the finite work of
 *	each priority is done, and chooses which jobs are moved behind others
 *	because not all can meet their objective. See docs/design/overload.md.
 *
 *	The state is a cache: a new owner measures again. With the policy
 *	SCHED_OVERLOAD_DEADLINE it has no effect on the order.
 *
 * UNITS
 *	Work in core-milliseconds, by the time that tasks occupy their workers;
 *	rates in cores. Estimated work is by the estimates as submitted,
 *	expected work is corrected by what is learnt.
 */

struct sched;
struct sched_task;
struct job;

/* By estimated work within the queue: the largest tenth, the fifth below. */
enum value_size { SIZE_LARGEST, SIZE_LARGE, SIZE_OTHER, VALUE_SIZES };

/* Chosen at the last update. */
enum value_place {
	PLACE_KEPT,  /* in order of the objective */
	PLACE_MOVED, /* behind those, by value per work */
	PLACE_LAST,  /* of no use any more; by age */
};

/* Part of struct job; zero for a new job. */
struct job_value {
	float work;    /* estimated; 0: not determined yet */
	float left;    /* expected, of tasks that have not begun */
	float ready;   /* ... of these, without blocked steps */
	float running; /* expected work left of running tasks */
	float ran;     /* actual work of done tasks and of those that run for
			  longer than estimated ... */
	float ran_estimated;	    /* ... and their estimated work */
	float done, done_estimated; /* the same of done tasks alone */
	float density;	   /* value still to be earned for each unit of left */
	uint32_t chain_ms; /* expected time for the steps that are not done */
	uint8_t place;	   /* enum value_place */
	bool planned;	   /* place is that of an overloaded priority */
	bool counted;	   /* in the counts of its size class */
	bool was_moved;	   /* in sched_value.moves */
};

/* Jobs that ended or missed their objective, and those that met it. */
struct value_count {
	float ended;
	float served;
};

#define VALUE_SIZE_BINS 96u
struct value_queue {
	float jobs;		    /* observed, up to a maximum */
	float work;		    /* mean, estimated */
	float objective_ms;	    /* mean */
	float chain_ms;		    /* mean, expected */
	float done, done_estimated; /* work of done tasks */
	float done_tasks;
	float sizes[VALUE_SIZE_BINS]; /* jobs by estimated work */
	float size_from[SIZE_OTHER];  /* least work of the larger classes */
	struct value_count counts[VALUE_SIZES];
	struct value_count all;
	bool size_protected[VALUE_SIZES];
	uint32_t group; /* index + 1 of its last job's; 0: none */
	uint32_t wait_ms;
};

/* Jobs that compete: of one service of workers and one priority. */
struct value_group {
	uint32_t service;
	uint32_t priority;
	uint64_t since_us; /* of the first update */
	float rate;	   /* smoothed */
	float occupied;	   /* cores of running tasks, at the last update */
	float ready;	   /* expected work that waits and is still of use */
	float running;	   /* expected work left of running tasks */
	struct value_count all;
	bool overloaded;
	uint32_t kept, moved, last, protected_jobs; /* jobs with work left */
	uint64_t logged_us;
};

#define VALUE_GROUPS_MAX 32u
struct value_item {
	uint32_t job;
	uint32_t group;
	uint64_t deadline_wall_ms;
};

struct sched_value {
	struct value_queue *queues; /* SCHED_ESTIMATES_MAX, by job.estimate */
	struct value_group groups[VALUE_GROUPS_MAX];
	uint32_t group_count;
	struct value_item *items; /* of the last update; kept to be reused */
	uint32_t *heap;
	uint32_t item_count;
	uint32_t item_capacity;
	uint64_t updated_us;
	uint64_t moves; /* jobs that were moved back */
};

/* Multiple of its objective up to which a late job is still of use. */
#define VALUE_LATE_RATIO 3u

/* ---- sched-value.c ---- */
void sched_value_init(struct sched *s);
void sched_value_free(struct sched *s);

/* A finite task has ended as done, after it ran for this long. */
void sched_value_task_done(struct sched *s, const struct sched_task *t,
			   uint64_t ran_ms);
void sched_value_job_completed(struct sched *s, struct job *j);
/*
 * Value that the job's caller loses if it ends this much later, as expected
 * work of the same value.
 */
uint64_t sched_value_delay_loss(const struct sched *s, const struct job *j,
				uint64_t delay_ms);

/* Whether it is a job whose value depends on its end. */
bool sched_value_applies(const struct job *j);
/* Actual work of the queue's tasks, relative to their estimates. */
float sched_value_ratio(const struct value_queue *q);
enum value_size sched_value_size(const struct value_queue *q,
				 const struct job *j);
/* Adds a job to what is known of its queue; its work is determined once. */
void sched_value_learn_job(struct sched *s, struct job *j);
/* The job has ended, or its objective has passed. */
void sched_value_count_job(struct sched *s, struct job *j);
/* NULL: there are too many. */
struct value_group *sched_value_group(struct sched *s, const struct job *j);
/* Adds up the expected work left of running tasks, and what they occupy. */
void sched_value_read_running(struct sched *s);
/* Adds up the expected work of the job's tasks that have not begun. */
void sched_value_sum_left(const struct sched *s, struct job *j);
/* What the job can still be expected to earn if it is delayed by this much. */
float sched_value_left(const struct sched *s, const struct job *j,
		       float delay_ms);

/* ---- sched-value-order.c ---- */
/*
 * After a placement round: measures, and chooses the places of jobs. Does
 * nothing if the last update is recent.
 */
void sched_value_update(struct sched *s);

#endif
