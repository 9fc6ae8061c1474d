#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: callers submit jobs with far more tasks than can run at a time,
 * many of them due at once. The state of all their tasks would exceed the
 * owner's memory, and that of each of its successors.
 *
 * So the number of tasks in memory is bounded. A job whose occurrence finds no
 * room is pending; it costs what its specification does, and its record shows
 * no occurrence that is not begun. Large occurrences leave room to small ones
 * and vice versa, and a job's second occurrence begins only in the first
 * quarter of the table, so that no job keeps the others out. Nor do jobs whose
 * tasks fit nowhere: an occurrence of which nothing has run is parked, and its
 * job is pending again, if others wait for its room.
 */

/*
 * Tasks in memory; at 336 bytes each 44 MB. Pending jobs leave workers idle, so
 * the bound is above the 76,000 tasks that 490 workers which crash in turn
 * leave open.
 */
#define TASKS_MAX 131072u
/* Of these, in occurrences of one share. */
#define TASKS_SHARE_MAX (TASKS_MAX / 8 * 7)
/* A job with an occurrence in use begins another one up to this number. */
#define TASKS_FURTHER_MAX (TASKS_MAX / 4)
/* Occurrences of a job in use; each event of a task searches them. */
#define OPEN_MAX 256u
/* Interval between attempts, and the same if many jobs are pending. */
#define PENDING_INTERVAL_US 20000u
#define PENDING_INTERVAL_MANY_US 100000u
#define PENDING_MANY 256u
/* An occurrence is not parked before, so that its tasks are tried. */
#define PARK_AFTER_US 500000u
#define PARK_INTERVAL_US 100000u
/* A job whose occurrence was parked has its next turn so much later. */
#define PARKED_DELAY_US 10000000u
/* Pending jobs have their turns by age; each lower priority counts as later. */
#define PRIORITY_DELAY_US 250000u
#define PRIORITY_DELAYED_MAX 4u

uint64_t sched_occurrence_due_ms(const struct job *j, uint32_t number)
{
	return j->spec.repetitions
		       ? j->spec.first_wall_ms + number * j->spec.interval_ms
		       : 0;
}

void sched_park_number(struct job *j, uint32_t number)
{
	j->parked =
		xrealloc(j->parked, (j->parked_count + 1) * sizeof(*j->parked));
	j->parked[j->parked_count++] = number;
	if (number >= j->next_occurrence)
		j->next_occurrence = number + 1;
}

bool sched_unpark_number(struct job *j, uint32_t number)
{
	for (uint32_t i = 0; i < j->parked_count; i++) {
		if (j->parked[i] != number)
			continue;
		j->parked_count--;
		memmove(&j->parked[i], &j->parked[i + 1],
			(j->parked_count - i) * sizeof(*j->parked));
		return true;
	}
	return false;
}

static bool has_due(const struct sched *s, const struct job *j)
{
	uint32_t total = j->spec.repetitions ? j->spec.repetitions : 1;

	return j->parked_count ||
	       (j->next_occurrence < total &&
		sched_occurrence_due_ms(j, j->next_occurrence) <= s->wall_ms);
}

uint32_t sched_pending_occurrences(const struct sched *s, const struct job *j)
{
	uint32_t total = j->spec.repetitions ? j->spec.repetitions : 1;
	uint64_t due = total;

	if (!j->pending)
		return 0;
	if (j->spec.repetitions && j->spec.interval_ms)
		due = s->wall_ms < j->spec.first_wall_ms
			      ? 0
			      : (s->wall_ms - j->spec.first_wall_ms) /
						j->spec.interval_ms +
					1;
	if (due > total)
		due = total;
	return j->parked_count + (due > j->next_occurrence
					  ? (uint32_t)due - j->next_occurrence
					  : 0);
}

static enum task_share share_of(const struct job *j)
{
	return sched_task_share(job_spec_task_count(&j->spec));
}

static bool has_room(const struct sched *s, const struct job *j)
{
	uint32_t count = job_spec_task_count(&j->spec), total = count;

	for (int i = 0; i < TASK_SHARES; i++)
		total += s->tasks_used[i];
	if (j->open_count >= OPEN_MAX ||
	    total > (j->open_count ? TASKS_FURTHER_MAX : TASKS_MAX))
		return false;
	return s->tasks_used[share_of(j)] + count <= TASKS_SHARE_MAX &&
	       sched_table_has_room(s, count);
}

static void begin_next(struct sched *s, struct job *j)
{
	uint32_t number = j->next_occurrence;

	if (j->parked_count) {
		number = j->parked[0];
		sched_unpark_number(j, number);
	}
	sched_unblock(s, j, sched_begin_occurrence(s, j, number));
}

/* ---- pending jobs ---- */

static void add_pending(struct sched *s, struct job *j)
{
	if (j->pending)
		return;
	if (s->pending_count == s->pending_capacity) {
		s->pending_capacity = s->pending_capacity * 2 + 64;
		s->pending = xrealloc(s->pending, s->pending_capacity *
							  sizeof(*s->pending));
	}
	s->pending[s->pending_count++] = sched_job_index(s, j);
	j->pending = true;
	j->was_parked = false;
	j->pending_since_us = s->now_us;
	j->pending_first = !j->open_count;
	s->pending_first[share_of(j)] += j->pending_first;
}

void sched_begin_cancel(struct sched *s, struct job *j)
{
	uint32_t index = sched_job_index(s, j), i = 0;

	if (!j->pending)
		return;
	while (s->pending[i] != index)
		i++;
	s->pending[i] = s->pending[--s->pending_count];
	s->pending_first[share_of(j)] -= j->pending_first;
	j->pending = false;
}

/* Pending jobs of the same share without an occurrence in use come first. */
static bool must_queue(const struct sched *s, const struct job *j)
{
	return s->pending_first[share_of(j)] > 0;
}

void sched_begin_due(struct sched *s, struct job *j)
{
	while (!j->pending && has_due(s, j)) {
		if (must_queue(s, j) || !has_room(s, j))
			add_pending(s, j);
		else
			begin_next(s, j);
	}
}

/* ---- parked occurrences ---- */

struct victim {
	uint32_t job;
	uint32_t number;
	uint64_t begun_us;
};

struct victims {
	struct victim *list;
	uint32_t count;
	uint32_t next;
	bool listed;
};

static int compare_victims(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	if (x->begun_us != y->begun_us)
		return x->begun_us < y->begun_us ? -1 : 1;
	return x->job < y->job ? -1 : x->job > y->job;
}

static void park(struct sched *s, struct job *j, struct occurrence *o)
{
	uint32_t count = job_spec_task_count(&j->spec);
	uint32_t number = o->number;

	log_event(LOG_INFO, "occurrence-parked",
		  "job=%s occurrence=%u tasks=%u age_ms=%llu", j->spec.id,
		  number, count,
		  (unsigned long long)(s->now_us - o->begun_us) / 1000);
	if (j->pending)
		sched_begin_cancel(s, j);
	for (uint32_t i = 0; i < count; i++)
		sched_task_set_state(s, &s->tasks[o->first_task + i],
				     TASK_DROPPED);
	sched_close_occurrence(s, j, o);
	sched_park_number(j, number);
	add_pending(s, j);
	j->was_parked = true;
}

static bool may_park(const struct sched *s, const struct occurrence *o)
{
	return o->used && !o->touched &&
	       s->now_us >= o->begun_us + PARK_AFTER_US;
}

/* Lists what may be parked, the first begun first. */
static void list_victims(struct sched *s, struct victims *v)
{
	uint32_t capacity = 0;

	v->listed = true;
	if (s->now_us < s->parking_next_us)
		return;
	s->parking_next_us = s->now_us + PARK_INTERVAL_US;
	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct job *j = &s->jobs[i];

		if (!j->used || j->state >= SCHED_JOB_COMPLETED)
			continue;
		for (uint32_t k = 0; k < j->occurrence_count; k++) {
			const struct occurrence *o = &j->occurrences[k];

			if (!may_park(s, o))
				continue;
			if (v->count == capacity) {
				capacity = 2 * capacity + 64;
				v->list = xrealloc(v->list,
						   capacity * sizeof(*v->list));
			}
			v->list[v->count++] =
				(struct victim){ i, o->number, o->begun_us };
		}
	}
	if (v->count)
		qsort(v->list, v->count, sizeof(*v->list), compare_victims);
}

/* Parks occurrences of other jobs until the job has room. */
static void make_room(struct sched *s, const struct job *j, struct victims *v)
{
	if (!v->listed)
		list_victims(s, v);
	while (v->next < v->count && !has_room(s, j)) {
		const struct victim *next = &v->list[v->next++];
		struct job *other = &s->jobs[next->job];

		if (share_of(other) == share_of(j))
			park(s, other,
			     sched_find_occurrence(other, next->number));
	}
}

/* ---- turns ---- */

struct turn {
	uint32_t job;
	bool further; /* it has an occurrence in use */
	uint64_t at_us;
};

static int compare_turns(const void *a, const void *b)
{
	const struct turn *x = a, *y = b;

	if (x->further != y->further)
		return x->further ? 1 : -1;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->job < y->job ? -1 : x->job > y->job;
}

static uint64_t turn_us(const struct job *j)
{
	uint32_t priority = j->queue.priority < PRIORITY_DELAYED_MAX
				    ? j->queue.priority
				    : PRIORITY_DELAYED_MAX;

	return j->pending_since_us + priority * PRIORITY_DELAY_US +
	       (j->was_parked ? PARKED_DELAY_US : 0);
}

static struct turn *list_turns(const struct sched *s)
{
	struct turn *list = xcalloc(s->pending_count, sizeof(*list));

	for (uint32_t i = 0; i < s->pending_count; i++) {
		const struct job *j = &s->jobs[s->pending[i]];

		list[i] = (struct turn){ .job = s->pending[i],
					 .further = j->open_count > 0,
					 .at_us = turn_us(j) };
	}
	qsort(list, s->pending_count, sizeof(*list), compare_turns);
	return list;
}

/* Returns whether an occurrence was begun. */
static bool take_turn(struct sched *s, struct job *j)
{
	if (!has_room(s, j))
		return false;
	sched_begin_cancel(s, j);
	begin_next(s, j);
	if (has_due(s, j))
		add_pending(s, j);
	/* sched_tick() notes when the next one is due. */
	s->job_due_wall_ms[sched_job_index(s, j)] = 0;
	return true;
}

void sched_begin_pending(struct sched *s)
{
	bool full[TASK_SHARES] = { false };
	struct victims victims = { .list = NULL };
	struct turn *list;
	uint32_t n = s->pending_count;

	if (!n || s->now_us < s->pending_next_us)
		return;
	s->pending_next_us =
		s->now_us + (n > PENDING_MANY ? PENDING_INTERVAL_MANY_US
					      : PENDING_INTERVAL_US);
	list = list_turns(s);
	for (uint32_t i = 0; i < n; i++) {
		struct job *j = &s->jobs[list[i].job];

		if (full[share_of(j)])
			continue;
		if (!list[i].further && !has_room(s, j))
			make_room(s, j, &victims);
		/* A further occurrence has limits of its own. */
		full[share_of(j)] = !take_turn(s, j) && !list[i].further;
	}
	free(victims.list);
	free(list);
}
