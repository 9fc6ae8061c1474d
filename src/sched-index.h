#ifndef SCHED_INDEX_H
#define SCHED_INDEX_H

#include "job-spec.h"

/*
 * NAME
 *	sched-index - workers by free capacity, for the searches of placement
 *
 * DESCRIPTION
 *	Holds what is free on each worker. Each node of a tree has the maxima
 *	of the workers below it, so that a search leaves out those among which
 *	none can fit the demand or exceed the score of the best worker so far.
 *	room_index_next() returns the other workers in ascending order: a
 *	search that reads them in turn decides as one that reads all workers.
 *
 *	A worker's rank is the part of its capacity that counts as free in the
 *	score. It bounds the score, which has the demand subtracted, from above.
 *
 * UNITS
 *	Scores in thousandths of a worker's CPU.
 */

/* What is free on a worker, or the maxima of several. */
struct worker_room {
	uint32_t service; /* ROOM_NO_SERVICE: accepts no task */
	int32_t cpu_milli;
	int32_t cpu_later_milli;   /* once the finite tasks have ended */
	int32_t best_effort_milli; /* for best-effort tasks */
	int32_t memory_mb;
	int32_t accelerators;
	int32_t rank;		  /* see room_rank() */
	int32_t best_effort_rank; /* of best-effort tasks */
	uint32_t inverse_cpu;	  /* see room_inverse(); a minimum in nodes */
};

#define ROOM_NO_SERVICE UINT32_MAX
#define ROOM_LEVELS_MAX 9

struct room_index {
	struct worker_room *rooms; /* by worker */
	uint32_t count;
	uint32_t capacity;
	uint32_t level_count;
	struct worker_room *levels[ROOM_LEVELS_MAX]; /* 0: above the rooms */
};

struct room_query {
	uint32_t service;
	bool best_effort;
	bool later;    /* the CPU has to suffice once finite tasks have ended */
	bool cpu_only; /* other resources do not matter */
	struct resources demand;
	int64_t rank_min; /* of a worker whose score is high enough */
};

/* Adds a worker that accepts no task. */
void room_index_add(struct room_index *x);
void room_index_free(struct room_index *x);
void room_index_set(struct room_index *x, uint32_t worker,
		    const struct worker_room *room);

/*
 * Rank of a worker of which free_milli counts as free, with bonus added to its
 * score. With a bonus the demand must fit into free_milli.
 */
int32_t room_rank(int64_t free_milli, uint32_t inverse_cpu, uint32_t bonus);
/* Rank of a worker whose score is lower by this. */
int32_t room_rank_less(int32_t rank, uint32_t penalty);
/* Stands for a division by a worker's capacity. */
uint32_t room_inverse(uint32_t capacity_milli);

/* A query for all workers that fit. */
struct room_query room_query(uint32_t service, const struct job_step *step);
/*
 * A query for all workers whose CPU suffices; later: once their finite tasks
 * have ended.
 */
struct room_query room_query_cpu(uint32_t service, const struct job_step *step,
				 bool later);
/*
 * From now on only workers whose score may exceed the given one. The score is
 * (free_milli - demand) * 1000 / (capacity_milli + 1) + bonus, or lower.
 */
void room_query_above(struct room_query *q, int64_t score);
/* The first worker from the given one on; UINT32_MAX: no more. */
uint32_t room_index_next(const struct room_index *x, const struct room_query *q,
			 uint32_t from);

#endif
