#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: for some seconds the callers of a priority ask for two to three
 * times what the workers can do. In order of deadline each job is begun when it
 * is nearly too late, so most end late and their work earns little. Here the
 * jobs that earn least for their work are moved back until the others can meet
 * their objective, by the method of Moore and Hodgson with value per work in
 * place of length. See docs/design/overload.md.
 */

/*
 * Short beside objectives of some seconds. With 1,900 waiting jobs an update
 * takes 1.2 ms, so that the interval grows with their number.
 */
#define UPDATE_INTERVAL_US 100000u
#define UPDATE_INTERVAL_MAX_US 500000u
#define ITEMS_PER_INTERVAL 400u
/* No effect on the order before a priority was measured for this long. */
#define MEASURED_MIN_US 2000000u
/* Rates rise at once when waiting work fills idle workers, and fall slowly. */
#define RATE_FALL_MS 3000.0f
/* Overload begins and ends with waiting work for this time. */
#define OVERLOAD_BEGIN_MS 1000.0f
#define OVERLOAD_END_MS 500.0f
#define LOG_INTERVAL_US 1000000u

/*
 * The floor is half the rate at which a queue is served. A size class is
 * protected earlier, as what is decided now is counted seconds later.
 */
#define PROTECT_BELOW 0.6f
/* Fewer ended jobs say little about a class. */
#define PROTECT_ENDED_MIN 3.0f
/*
 * Protected jobs take at most this part of the work that can be done until
 * their objective, so that those of one class do not end that of the others.
 */
#define PROTECTED_WORK_MAX 0.5f
#define WAIT_MAX_MS 600000u

/* ---- choice of the jobs that are moved back ---- */

static int compare_items(const void *a, const void *b)
{
	const struct value_item *x = a, *y = b;

	if (x->group != y->group)
		return x->group < y->group ? -1 : 1;
	if (x->deadline_wall_ms != y->deadline_wall_ms)
		return x->deadline_wall_ms < y->deadline_wall_ms ? -1 : 1;
	return x->job < y->job ? -1 : x->job > y->job;
}

static float density_at(const struct sched *s, uint32_t heap_index)
{
	return s->jobs[s->value.heap[heap_index]].value.density;
}

static void swap(uint32_t *a, uint32_t *b)
{
	uint32_t c = *a;

	*a = *b;
	*b = c;
}

/* The heap has the job of the least density first. */
static void heap_push(struct sched *s, uint32_t *n, uint32_t job)
{
	uint32_t *heap = s->value.heap, i = (*n)++;

	heap[i] = job;
	for (; i && density_at(s, i) < density_at(s, (i - 1) / 2);
	     i = (i - 1) / 2)
		swap(&heap[i], &heap[(i - 1) / 2]);
}

static uint32_t heap_pop(struct sched *s, uint32_t *n)
{
	uint32_t *heap = s->value.heap, top = heap[0], i = 0;

	heap[0] = heap[--*n];
	for (;;) {
		uint32_t least = i;

		for (uint32_t k = 2 * i + 1; k <= 2 * i + 2 && k < *n; k++)
			if (density_at(s, k) < density_at(s, least))
				least = k;
		if (least == i)
			return top;
		swap(&heap[i], &heap[least]);
		i = least;
	}
}

/* By time alone, without the work ahead. */
static enum value_place place_alone(const struct sched *s, const struct job *j)
{
	uint64_t end = s->wall_ms + j->value.chain_ms;
	uint64_t accepted = j->spec.accepted_wall_ms;
	uint64_t objective_ms = j->deadline_wall_ms - accepted;

	if (end <= j->deadline_wall_ms)
		return PLACE_KEPT;
	return end > accepted + VALUE_LATE_RATIO * objective_ms ? PLACE_LAST
								: PLACE_MOVED;
}

static bool is_protected(const struct value_queue *q, const struct job *j)
{
	return q->size_protected[sched_value_size(q, j)];
}

static void move_back(struct sched *s, struct job *j)
{
	j->value.place = PLACE_MOVED;
	s->value.moves += !j->value.was_moved;
	j->value.was_moved = true;
}

/*
 * Keeps those of the group's jobs that can meet their objective, in order of
 * it, and moves the ones that earn least for their work behind them.
 */
static void choose_kept(struct sched *s, struct value_group *g, uint32_t first,
			uint32_t end)
{
	/*
	 * Running tasks do not count: when a job begins, as much is still
	 * running as now.
	 */
	float ahead = 0, protected_ahead = 0;
	uint32_t heap_count = 0;

	for (uint32_t i = first; i < end; i++) {
		uint32_t index = s->value.items[i].job;
		struct job *j = &s->jobs[index];
		const struct value_queue *q = &s->value.queues[j->estimate];
		float slack_ms = (float)((int64_t)j->deadline_wall_ms -
					 (int64_t)s->wall_ms);
		float own_ms = fmaxf((float)j->value.chain_ms,
				     j->value.left / g->rate);

		j->value.planned = true;
		j->value.density = sched_value_left(s, j, 0) / j->value.left;
		if (j->value.place != PLACE_KEPT)
			continue;
		if (is_protected(q, j) &&
		    protected_ahead + j->value.left <
			    PROTECTED_WORK_MAX * g->rate * slack_ms) {
			protected_ahead += j->value.left;
			g->protected_jobs++;
		} else {
			heap_push(s, &heap_count, index);
		}
		ahead += j->value.left;
		while (heap_count &&
		       (ahead - j->value.left) / g->rate + own_ms > slack_ms) {
			struct job *least = &s->jobs[heap_pop(s, &heap_count)];

			move_back(s, least);
			ahead -= least->value.left;
			if (least == j)
				break;
		}
	}
}

/*
 * Work ahead of a new job of the queue's mean. It is behind the jobs that are
 * kept up to its objective. If it can't meet this, it is behind all that are
 * kept, and the moved ones that earn more for their work.
 */
static float work_ahead(const struct sched *s, const struct value_queue *q,
			float rate, uint32_t first, uint32_t end)
{
	float ahead = 0, late_ahead = 0;
	float density = 1 / (q->work * sched_value_ratio(q) + 1);

	for (uint32_t i = first; i < end; i++) {
		const struct job *j = &s->jobs[s->value.items[i].job];

		if (j->value.place == PLACE_LAST)
			continue;
		if (j->value.place == PLACE_KEPT &&
		    (float)((int64_t)j->deadline_wall_ms -
			    (int64_t)s->wall_ms) <= q->objective_ms)
			ahead += j->value.ready;
		if (j->value.place == PLACE_KEPT || !j->value.planned ||
		    j->value.density >= density)
			late_ahead += j->value.ready;
	}
	return ahead / rate + q->chain_ms <= q->objective_ms ? ahead
							     : late_ahead;
}

static void update_waits(struct sched *s, uint32_t group, uint32_t first,
			 uint32_t end)
{
	const struct value_group *g = &s->value.groups[group];

	for (uint32_t i = 0; i < s->estimate_count; i++) {
		struct value_queue *q = &s->value.queues[i];
		float ms;

		if (q->group != group + 1)
			continue;
		q->wait_ms = 0;
		/* Not known if nothing of the priority runs. */
		if (g->ready <= 0 || g->occupied <= 0 ||
		    s->now_us < g->since_us + MEASURED_MIN_US ||
		    sched_mostly_idle(s, g->service))
			continue;
		ms = work_ahead(s, q, g->rate, first, end) / g->rate;
		q->wait_ms = ms < WAIT_MAX_MS ? (uint32_t)ms : WAIT_MAX_MS;
	}
}

static void log_group(struct sched *s, struct value_group *g, bool was)
{
	if ((!g->overloaded && !was) ||
	    s->settings.overload != SCHED_OVERLOAD_LEAST_COST)
		return;
	if (g->overloaded == was && s->now_us < g->logged_us + LOG_INTERVAL_US)
		return;
	g->logged_us = s->now_us;
	log_event(LOG_INFO, g->overloaded ? "overload" : "overload-over",
		  "service=%s priority=%u rate_milli=%u ready_core_ms=%.0f "
		  "wait_ms=%.0f kept=%u moved=%u last=%u protected=%u",
		  s->services[g->service], g->priority,
		  (uint32_t)(g->rate * 1000), (double)g->ready,
		  g->rate > 0 ? (double)(g->ready / g->rate) : 0.0, g->kept,
		  g->moved, g->last, g->protected_jobs);
}

/*
 * What runs now is done at once: a rate that rises slowly shows a long wait at
 * the start of a burst that follows a time without work.
 */
static void update_rate(struct value_group *g, float elapsed_ms)
{
	if (g->occupied > g->rate)
		g->rate = g->occupied;
	else
		g->rate += (g->occupied - g->rate) *
			   (1 - expf(-elapsed_ms / RATE_FALL_MS));
}

static void count_places(const struct sched *s, struct value_group *g,
			 uint32_t first, uint32_t end)
{
	for (uint32_t i = first; i < end; i++) {
		const struct job *j = &s->jobs[s->value.items[i].job];

		g->kept += j->value.place == PLACE_KEPT;
		g->moved += j->value.place == PLACE_MOVED;
		g->last += j->value.place == PLACE_LAST;
	}
}

static void update_group(struct sched *s, uint32_t group, uint32_t first,
			 uint32_t end, float elapsed_ms)
{
	struct value_group *g = &s->value.groups[group];
	bool was = g->overloaded;
	float begin_ms = was ? OVERLOAD_END_MS : OVERLOAD_BEGIN_MS;

	update_rate(g, elapsed_ms);
	g->overloaded = s->now_us >= g->since_us + MEASURED_MIN_US &&
			g->rate > 0 && g->ready > g->rate * begin_ms;
	if (g->overloaded && s->settings.overload == SCHED_OVERLOAD_LEAST_COST)
		choose_kept(s, g, first, end);
	count_places(s, g, first, end);
	update_waits(s, group, first, end);
	log_group(s, g, was);
}

/* ---- update ---- */

/* A class that is served less often than others is not moved back. */
static void update_protected(struct sched *s)
{
	for (uint32_t i = 0; i < s->estimate_count; i++) {
		struct value_queue *q = &s->value.queues[i];
		const struct value_group *g;
		float rate = q->all.served / fmaxf(q->all.ended, 1);
		bool queue_below;

		if (!q->group)
			continue;
		g = &s->value.groups[q->group - 1];
		queue_below = q->all.ended >= PROTECT_ENDED_MIN &&
			      rate < PROTECT_BELOW * g->all.served /
					      fmaxf(g->all.ended, 1);
		for (int k = 0; k < VALUE_SIZES; k++) {
			const struct value_count *c = &q->counts[k];

			q->size_protected[k] =
				queue_below ||
				(c->ended >= PROTECT_ENDED_MIN &&
				 c->served < PROTECT_BELOW * rate * c->ended);
		}
	}
}

static void reset_job(struct sched *s, struct job *j)
{
	struct job_value *v = &j->value;

	if (!v->work)
		sched_value_learn_job(s, j);
	v->left = 0;
	v->ready = 0;
	v->running = 0;
	v->ran = v->done;
	v->ran_estimated = v->done_estimated;
	v->planned = false;
}

/* Adds a job to the list, with the work that is left of it. */
static void add_item(struct sched *s, uint32_t index)
{
	struct job *j = &s->jobs[index];
	struct value_group *g = sched_value_group(s, j);
	struct value_queue *q = &s->value.queues[j->estimate];

	if (!g)
		return;
	sched_value_sum_left(s, j);
	q->group = (uint32_t)(g - s->value.groups) + 1;
	g->running += j->value.running;
	/* Also of a job whose tasks all run: it is what a stop delays. */
	j->value.chain_ms = sched_remaining_ms(s, j);
	if (!j->value.left)
		return;
	/* Else it is counted at its end, as running tasks may extend it. */
	if (j->value.ready > 0 && s->wall_ms > j->deadline_wall_ms)
		sched_value_count_job(s, j);
	q->chain_ms += ((float)j->value.chain_ms - q->chain_ms) / 32;
	j->value.place = (uint8_t)place_alone(s, j);
	/* What is of no use any more may wait for something else than CPU. */
	if (j->value.place != PLACE_LAST)
		g->ready += j->value.ready;
	s->value.items[s->value.item_count++] =
		(struct value_item){ .job = index,
				     .group = q->group - 1,
				     .deadline_wall_ms = j->deadline_wall_ms };
}

static bool is_open(const struct job *j)
{
	return j->state < SCHED_JOB_COMPLETED && sched_value_applies(j);
}

static void read_jobs(struct sched *s)
{
	struct sched_value *v = &s->value;

	if (s->job_count > v->item_capacity) {
		v->item_capacity = s->job_capacity;
		v->items = xrealloc(v->items,
				    v->item_capacity * sizeof(*v->items));
		v->heap =
			xrealloc(v->heap, v->item_capacity * sizeof(*v->heap));
	}
	v->item_count = 0;
	for (uint32_t i = 0; i < v->group_count; i++) {
		struct value_group *g = &v->groups[i];

		g->occupied = g->ready = g->running = 0;
		g->kept = g->moved = g->last = g->protected_jobs = 0;
	}
	for (uint32_t i = 0; i < s->job_count; i++)
		if (is_open(&s->jobs[i]))
			reset_job(s, &s->jobs[i]);
	sched_value_read_running(s);
	for (uint32_t i = 0; i < s->job_count; i++)
		if (is_open(&s->jobs[i]))
			add_item(s, i);
	if (v->item_count)
		qsort(v->items, v->item_count, sizeof(*v->items),
		      compare_items);
}

static uint64_t update_interval_us(const struct sched_value *v)
{
	uint64_t us = UPDATE_INTERVAL_US + (uint64_t)UPDATE_INTERVAL_US *
						   v->item_count /
						   ITEMS_PER_INTERVAL;

	return us < UPDATE_INTERVAL_MAX_US ? us : UPDATE_INTERVAL_MAX_US;
}

void sched_value_update(struct sched *s)
{
	struct sched_value *v = &s->value;
	float elapsed_ms = (float)(s->now_us - v->updated_us) / 1000;
	uint32_t first = 0;

	if (s->now_us < v->updated_us + update_interval_us(v))
		return;
	v->updated_us = s->now_us;
	read_jobs(s);
	update_protected(s);
	for (uint32_t i = 0; i < v->group_count; i++) {
		uint32_t end = first;

		while (end < v->item_count && v->items[end].group == i)
			end++;
		update_group(s, i, first, end, elapsed_ms);
		first = end;
	}
}

uint32_t sched_expected_wait_ms(const struct sched *s, const char *queue)
{
	for (uint32_t i = 0; i < s->estimate_count; i++)
		if (!strcmp(s->estimates[i].name, queue))
			return s->value.queues[i].wait_ms;
	return 0;
}

uint32_t sched_rate_milli(const struct sched *s, uint32_t priority)
{
	float rate = 0;

	for (uint32_t i = 0; i < s->value.group_count; i++)
		if (s->value.groups[i].priority == priority)
			rate += s->value.groups[i].rate;
	return (uint32_t)(rate * 1000);
}
