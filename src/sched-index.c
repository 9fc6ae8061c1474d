#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "sched-index.h"

/*
 * Load pattern: thousands of workers that are nearly full. A search that reads
 * them all makes the time for each task grow with their number.
 */

/* Children of a node: 1 << FANOUT_BITS. */
#define FANOUT_BITS 3u
#define FANOUT (1u << FANOUT_BITS)
#define CAPACITY_MIN 64u
#define RANK_BITS 20u
#define THOUSAND 1000

static const struct worker_room no_room = {
	.service = ROOM_NO_SERVICE,
	.cpu_milli = INT32_MIN,
	.cpu_later_milli = INT32_MIN,
	.best_effort_milli = INT32_MIN,
	.memory_mb = INT32_MIN,
	.accelerators = INT32_MIN,
	.rank = INT32_MIN,
	.best_effort_rank = INT32_MIN,
	.inverse_cpu = UINT32_MAX,
};

static int64_t floor_div(int64_t a, int64_t b)
{
	return a / b - (a % b < 0);
}

int32_t room_rank(int64_t free_milli, uint32_t inverse_cpu, uint32_t bonus)
{
	int64_t rank;

	if (free_milli < INT32_MIN)
		free_milli = INT32_MIN;
	rank = (free_milli * inverse_cpu >> (32 - RANK_BITS)) + 1;
	/* The inverse is rounded down, by less than one. */
	if (free_milli > 0)
		rank += (free_milli >> (32 - RANK_BITS)) + 1;
	rank += ((int64_t)bonus << RANK_BITS) / THOUSAND + 1;
	return rank < INT32_MIN	  ? INT32_MIN
	       : rank > INT32_MAX ? INT32_MAX
				  : (int32_t)rank;
}

int32_t room_rank_less(int32_t rank, uint32_t penalty)
{
	int64_t less = rank - ((int64_t)penalty << RANK_BITS) / THOUSAND;

	return less < INT32_MIN ? INT32_MIN : (int32_t)less;
}

uint32_t room_inverse(uint32_t capacity_milli)
{
	uint64_t inverse = (1ull << 32) / ((uint64_t)capacity_milli + 1);

	return inverse > UINT32_MAX ? UINT32_MAX : (uint32_t)inverse;
}

/* ---- tree ---- */

static uint32_t level_size(uint32_t capacity, uint32_t level)
{
	uint32_t nodes = capacity;

	for (uint32_t i = 0; i <= level; i++)
		nodes = (nodes + FANOUT - 1) / FANOUT;
	return (nodes + FANOUT - 1) / FANOUT * FANOUT;
}

static void raise_to(int32_t *max, int32_t value)
{
	if (value > *max)
		*max = value;
}

/* The maxima of the children that accept tasks. */
static struct worker_room merge(const struct worker_room *children)
{
	struct worker_room all = no_room;

	for (uint32_t i = 0; i < FANOUT; i++) {
		const struct worker_room *r = &children[i];

		if (r->service == ROOM_NO_SERVICE)
			continue;
		all.service = 0;
		raise_to(&all.cpu_milli, r->cpu_milli);
		raise_to(&all.cpu_later_milli, r->cpu_later_milli);
		raise_to(&all.best_effort_milli, r->best_effort_milli);
		raise_to(&all.memory_mb, r->memory_mb);
		raise_to(&all.accelerators, r->accelerators);
		raise_to(&all.rank, r->rank);
		raise_to(&all.best_effort_rank, r->best_effort_rank);
		if (r->inverse_cpu < all.inverse_cpu)
			all.inverse_cpu = r->inverse_cpu;
	}
	return all;
}

static void update_nodes(struct room_index *x, uint32_t worker)
{
	const struct worker_room *below = x->rooms;
	uint32_t node = worker;

	for (uint32_t i = 0; i < x->level_count; i++) {
		struct worker_room all;

		node >>= FANOUT_BITS;
		all = merge(&below[node << FANOUT_BITS]);
		if (!memcmp(&all, &x->levels[i][node], sizeof(all)))
			return;
		x->levels[i][node] = all;
		below = x->levels[i];
	}
}

static void fill(struct worker_room *rooms, uint32_t from, uint32_t to)
{
	for (uint32_t i = from; i < to; i++)
		rooms[i] = no_room;
}

static void grow(struct room_index *x)
{
	uint32_t level = 0, size;

	x->capacity = x->capacity ? x->capacity * 2 : CAPACITY_MIN;
	x->rooms = xrealloc(x->rooms, x->capacity * sizeof(*x->rooms));
	fill(x->rooms, x->count, x->capacity);
	do {
		size = level_size(x->capacity, level);
		x->levels[level] = xrealloc(x->levels[level],
					    size * sizeof(*x->levels[level]));
		fill(x->levels[level], 0, size);
		level++;
	} while (size > FANOUT);
	x->level_count = level;
	for (uint32_t i = 0; i < x->count; i++)
		update_nodes(x, i);
}

void room_index_add(struct room_index *x)
{
	if (x->count == x->capacity)
		grow(x);
	x->count++;
}

void room_index_free(struct room_index *x)
{
	free(x->rooms);
	for (uint32_t i = 0; i < ROOM_LEVELS_MAX; i++)
		free(x->levels[i]);
	memset(x, 0, sizeof(*x));
}

void room_index_set(struct room_index *x, uint32_t worker,
		    const struct worker_room *room)
{
	if (!memcmp(&x->rooms[worker], room, sizeof(*room)))
		return;
	x->rooms[worker] = *room;
	update_nodes(x, worker);
}

/* ---- search ---- */

struct room_query room_query(uint32_t service, const struct job_step *step)
{
	return (struct room_query){
		.service = service,
		.best_effort = step->best_effort,
		.demand = step->demand,
		.rank_min = INT64_MIN,
	};
}

struct room_query room_query_cpu(uint32_t service, const struct job_step *step,
				 bool later)
{
	struct room_query q = room_query(service, step);

	q.later = later;
	q.cpu_only = true;
	return q;
}

void room_query_above(struct room_query *q, int64_t score)
{
	/* Scores are truncated towards zero. */
	int64_t least = score + 1 > 0 ? score + 1 : score;

	q->rank_min = floor_div(least * (1 << RANK_BITS), THOUSAND);
}

/* Part of the worker's capacity that the demand is at least. */
static int64_t demand_rank(const struct worker_room *r, uint32_t cpu_milli)
{
	return (int64_t)((uint64_t)cpu_milli * r->inverse_cpu >>
			 (32 - RANK_BITS));
}

/* Whether a worker below a node may fit; exact for one that accepts tasks. */
static bool may_fit(const struct worker_room *r, const struct room_query *q)
{
	const struct resources *d = &q->demand;
	int32_t cpu_milli = q->later	     ? r->cpu_later_milli
			    : q->best_effort ? r->best_effort_milli
					     : r->cpu_milli;
	int64_t rank = q->best_effort ? r->best_effort_rank : r->rank;

	if (q->cpu_only)
		return cpu_milli >= (int64_t)d->cpu_milli;
	return cpu_milli >= (int64_t)d->cpu_milli &&
	       r->memory_mb >= (int64_t)d->memory_mb &&
	       r->accelerators >= (int64_t)d->accelerators &&
	       (q->rank_min == INT64_MIN ||
		rank - demand_rank(r, d->cpu_milli) >= q->rank_min);
}

uint32_t room_index_next(const struct room_index *x, const struct room_query *q,
			 uint32_t from)
{
	uint32_t i = from;

	while (i < x->count) {
		uint32_t level = 0;

		/* The largest subtree that begins with this worker. */
		while (level < x->level_count &&
		       !(i & ((1u << FANOUT_BITS * (level + 1)) - 1)))
			level++;
		while (level &&
		       may_fit(&x->levels[level - 1][i >> FANOUT_BITS * level],
			       q))
			level--;
		if (level) {
			i += 1u << FANOUT_BITS * level;
			continue;
		}
		if (x->rooms[i].service == q->service &&
		    may_fit(&x->rooms[i], q))
			return i;
		i++;
	}
	return UINT32_MAX;
}
