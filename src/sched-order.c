#include <stdlib.h>

#include "buffer.h"
#include "sched-internal.h"

/*
 * Load patterns: a burst exceeds the capacity, so that the order decides which
 * jobs meet their objective. Or urgent jobs need all CPU that becomes free, for
 * minutes, so that a service behind them in order would never be placed: its
 * tasks come first once they are overdue.
 */

/* Multiple of its objective up to which a late job is still of use. */
#define LATE_RATIO_MAX 3u
/*
 * Absence after which a service comes first. The platform expects one back 6 s
 * after its last run, and allows 3 s more with room for it.
 */
#define SERVICE_OVERDUE_US 3000000u
/* Of one that was stopped for urgent tasks; it may be placed after 3 s. */
#define PREEMPTED_OVERDUE_US 6000000u

/*
 * In keys: overdue services reserve room once all of them have been tried, so
 * that none waits while there is room for it that another one only collects.
 */
#define OVERDUE_RESERVE_KEY (1ull << 59)
/* Services that never ran come after those that did, which are due back. */
#define OVERDUE_NEW_KEY (1ull << 58)
/* Order within a class of a priority. */
#define ORDER_KEY_MAX ((1ull << 56) - 1)
/* Lower priorities share the last place; the key has four bits for them. */
#define PRIORITY_KEY_MAX 14u

static int compare_candidates(const void *a, const void *b)
{
	const struct candidate *x = a, *y = b;

	if (x->key != y->key)
		return x->key < y->key ? -1 : 1;
	return x->job < y->job ? -1 : x->job > y->job;
}

/* One that has never run is overdue at once: its users wait for all of it. */
static uint64_t overdue_at_us(const struct sched_task *t)
{
	if (!t->run)
		return t->absent_since_us;
	return t->absent_since_us +
	       (t->preempted ? PREEMPTED_OVERDUE_US : SERVICE_OVERDUE_US);
}

static bool overdue(const struct sched *s, const struct sched_task *t)
{
	return t->state == TASK_WAITING && s->now_us >= t->retry_us &&
	       s->now_us >= overdue_at_us(t) &&
	       sched_task_step(s, t)->long_running;
}

/* Those that have run, then the longest absent first. */
static int compare_overdue(const void *a, const void *b)
{
	const struct sched_task *x = *(struct sched_task *const *)a;
	const struct sched_task *y = *(struct sched_task *const *)b;

	if (!x->run != !y->run)
		return x->run ? -1 : 1;
	if (x->absent_since_us != y->absent_since_us)
		return x->absent_since_us < y->absent_since_us ? -1 : 1;
	return x->index < y->index ? -1 : x->index > y->index;
}

uint32_t sched_overdue_tasks(struct sched *s, struct sched_task *first,
			     uint32_t count, struct sched_task ***list)
{
	uint32_t n = 0;

	if (count > s->overdue_capacity) {
		s->overdue_capacity = count;
		s->overdue_list = xrealloc(s->overdue_list,
					   count * sizeof(*s->overdue_list));
	}
	for (uint32_t i = 0; i < count; i++)
		if (overdue(s, &first[i]))
			s->overdue_list[n++] = &first[i];
	if (n > 1)
		qsort(s->overdue_list, n, sizeof(*s->overdue_list),
		      compare_overdue);
	*list = s->overdue_list;
	return n;
}

/*
 * Key of the first of the overdue tasks; UINT64_MAX: there is none. Adds to ran
 * the number of those that have run.
 */
static uint64_t overdue_key(const struct sched *s, const struct job *j,
			    uint32_t *ran)
{
	uint32_t count = job_spec_task_count(&j->spec);
	uint64_t first = UINT64_MAX;

	for (uint32_t i = 0; i < j->occurrence_count; i++)
		for (uint32_t k = 0; j->occurrences[i].used && k < count; k++) {
			const struct sched_task *t =
				&s->tasks[j->occurrences[i].first_task + k];
			uint64_t key = t->absent_since_us;

			if (!overdue(s, t))
				continue;
			*ran += t->run > 0;
			if (!t->run)
				key |= OVERDUE_NEW_KEY;
			if (key < first)
				first = key;
		}
	return first;
}

static enum deadline_class deadline_class(const struct sched *s,
					  const struct job *j)
{
	uint64_t end = s->wall_ms + sched_remaining_ms(s, j);
	uint64_t accepted = j->spec.accepted_wall_ms;
	uint64_t objective_ms = j->deadline_wall_ms - accepted;

	if (job_spec_long_running(&j->spec) || end <= j->deadline_wall_ms)
		return CLASS_ON_TIME;
	return end > accepted + LATE_RATIO_MAX * objective_ms ? CLASS_HOPELESS
							      : CLASS_LATE;
}

/*
 * Within a priority, jobs that can still meet their objective come first, then
 * services, then late jobs that are still of use, then the rest; each class is
 * ordered by deadline.
 */
static uint64_t sort_key(const struct job *j, enum deadline_class class)
{
	uint64_t long_running = job_spec_long_running(&j->spec);
	uint64_t priority = j->queue.priority < PRIORITY_KEY_MAX
				    ? j->queue.priority
				    : PRIORITY_KEY_MAX;

	return (priority + 1) << 60 | (uint64_t) class << 57 |
	       long_running << 56 | (j->deadline_wall_ms & ORDER_KEY_MAX);
}

/*
 * The same while the priority is overloaded and the policy is that of least
 * cost. sched-value.c has chosen which jobs are moved behind those that can
 * meet their objective; these are ordered by value per work, the rest by age.
 */
static struct candidate place_by_value(uint32_t index, const struct job *j)
{
	/* Value for each core-second, in parts of a millionth. */
	float density = j->value.density * 1e9f;
	enum deadline_class class = CLASS_ON_TIME;
	uint64_t order = j->deadline_wall_ms, key;

	if (j->value.place == PLACE_MOVED) {
		class = CLASS_LATE;
		order = ORDER_KEY_MAX - (density < 1e15f
						 ? (uint64_t)density
						 : (uint64_t)1000000000000000);
	} else if (j->value.place == PLACE_LAST) {
		class = CLASS_HOPELESS;
		order = j->spec.accepted_wall_ms;
	}
	key = sort_key(j, class) & ~ORDER_KEY_MAX;
	return (struct candidate){ .job = index,
				   .class = class,
				   .key = key | (order & ORDER_KEY_MAX) };
}

static struct candidate candidate_of(const struct sched *s, uint32_t index)
{
	const struct job *j = &s->jobs[index];
	enum deadline_class class;

	if (j->value.planned)
		return place_by_value(index, j);
	class = deadline_class(s, j);
	return (struct candidate){ .job = index,
				   .class = class,
				   .key = sort_key(j, class) };
}

/* Adds a service twice if it has overdue tasks; returns the new length. */
static uint32_t add_overdue(const struct sched *s, uint32_t job,
			    struct candidate *list, uint32_t n, uint32_t *ran)
{
	uint64_t key = overdue_key(s, &s->jobs[job], ran);

	if (key == UINT64_MAX)
		return n;
	list[n++] = (struct candidate){
		.job = job,
		.class = CLASS_OVERDUE_SERVICE,
		.key = key,
	};
	list[n++] = (struct candidate){
		.job = job,
		.class = CLASS_OVERDUE_RESERVE,
		.key = OVERDUE_RESERVE_KEY | key,
	};
	return n;
}

static bool has_waiting_tasks(const struct job *j)
{
	return j->used && j->state < SCHED_JOB_COMPLETED && j->waiting;
}

uint32_t sched_list_overdue(const struct sched *s, struct candidate **out)
{
	struct candidate *list =
		xcalloc(2 * (size_t)s->job_count + 1, sizeof(*list));
	uint32_t n = 0, ran = 0;

	for (uint32_t i = 0; i < s->job_count; i++)
		if (has_waiting_tasks(&s->jobs[i]) &&
		    job_spec_long_running(&s->jobs[i].spec))
			n = add_overdue(s, i, list, n, &ran);
	qsort(list, n, sizeof(*list), compare_candidates);
	*out = list;
	return n;
}

uint32_t sched_list_candidates(struct sched *s, struct candidate **out)
{
	struct candidate *list =
		xcalloc(3 * (size_t)s->job_count + 1, sizeof(*list));
	uint32_t n = 0;

	s->backlog = 0;
	s->overdue_services = 0;
	s->overdue_ran = 0;
	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct job *j = &s->jobs[i];
		uint32_t before;

		if (!has_waiting_tasks(j))
			continue;
		s->backlog += j->waiting;
		list[n++] = candidate_of(s, i);
		if (!job_spec_long_running(&j->spec))
			continue;
		before = n;
		n = add_overdue(s, i, list, n, &s->overdue_ran);
		s->overdue_services += n > before;
	}
	qsort(list, n, sizeof(*list), compare_candidates);
	*out = list;
	return n;
}
