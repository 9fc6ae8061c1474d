#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "latency.h"
#include "log.h"
#include "sched-internal.h"
#include "sched-lost.h"

/* Shortest time between placement rounds, to handle ends in batches. */
#define PLACEMENT_INTERVAL_US 5000u
/*
 * With more waiting tasks than this the workers are full and most rounds place
 * nothing, so fewer rounds lose little.
 */
#define LARGE_BACKLOG_TASKS 300u
#define PLACEMENT_INTERVAL_LARGE_BACKLOG_US 25000u
/* A round reads all waiting jobs: with long queues it must not take all CPU. */
#define BACKLOG_TASKS_PER_INTERVAL 5000u
#define PLACEMENT_INTERVAL_MAX_US 100000u
/*
 * Room that becomes free is lost to services that wait for it until the next
 * round; one for overdue services alone costs little.
 */
#define OVERDUE_INTERVAL_US 10000u
/* Interval without changes, for tasks that wait for a point in time. */
#define PLACEMENT_INTERVAL_IDLE_US 250000u

/* Overhead of the allocations of an open job. */
#define JOB_ALLOCATIONS_BYTES 64u

static uint32_t bucket_of(const char *id)
{
	return (uint32_t)strtoull(id, NULL, 16) * 2654435761u >> 20;
}

struct sched *sched_create(const struct sched_ops *ops, void *arg,
			   const struct sched_settings *settings,
			   uint64_t now_us)
{
	struct sched *s = xcalloc(1, sizeof(*s));

	s->ops = ops;
	s->arg = arg;
	s->settings = *settings;
	s->created_us = now_us;
	s->now_us = now_us;
	s->job_free = SCHED_NONE;
	pair_model_init(&s->pairs);
	sched_value_init(s);
	sched_ended_init(s);
	for (uint32_t i = 0; i < JOB_BUCKETS; i++)
		s->buckets[i] = SCHED_NONE;
	for (uint32_t i = 0; i < WORKER_BUCKETS; i++)
		s->worker_buckets[i] = SCHED_NONE;
	return s;
}

static void free_job(struct job *j)
{
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used)
			free(j->occurrences[i].block_hashes);
	job_spec_free(&j->spec);
	free(j->stale);
	free(j->parked);
	free(j->step_times);
	free(j->occurrences);
	memset(j, 0, sizeof(*j));
}

void sched_destroy(struct sched *s)
{
	if (!s)
		return;
	for (uint32_t i = 0; i < s->job_count; i++)
		free_job(&s->jobs[i]);
	free(s->jobs);
	free(s->job_due_wall_ms);
	free(s->collected);
	free(s->ending);
	free(s->lost_runs);
	free(s->tasks);
	free(s->free_blocks);
	free(s->pending);
	sched_ended_free(s);
	free(s->stop_retries);
	free(s->overdue_list);
	sched_value_free(s);
	free(s->slow);
	for (uint32_t i = 0; i < s->worker_count; i++)
		free(s->workers[i].identity);
	free(s->workers);
	room_index_free(&s->rooms);
	free(s->services);
	free(s->queues);
	free(s->evacuated_zones);
	free(s);
}

uint32_t sched_service(struct sched *s, const char *name)
{
	for (uint32_t i = 0; i < s->service_count; i++)
		if (!strcmp(s->services[i], name))
			return i;
	s->services = xrealloc(s->services,
			       (s->service_count + 1) * sizeof(*s->services));
	snprintf(s->services[s->service_count], sizeof(*s->services), "%s",
		 name);
	return s->service_count++;
}

static const struct queue_policy *find_queue(const struct sched *s,
					     const char *name)
{
	for (size_t i = 0; i < s->queue_count; i++)
		if (!strcmp(s->queues[i].name, name))
			return &s->queues[i];
	return NULL;
}

static void apply_queue(struct sched *s, struct job *j)
{
	const struct queue_policy *q = find_queue(s, j->spec.queue);

	if (!q && !*j->queue.name && *j->spec.policy.service)
		q = &j->spec.policy;
	j->service = sched_service(s, q ? q->service : j->queue.service);
	if (!q)
		return;
	j->queue = *q;
	j->estimate = sched_estimate_queue(s, q->name);
	sched_update_deadline(s, j);
}

void sched_set_policy(struct sched *s, const struct sched_policy *p)
{
	free(s->queues);
	s->queues = xcalloc(p->queue_count + 1, sizeof(*s->queues));
	memcpy(s->queues, p->queues, p->queue_count * sizeof(*s->queues));
	s->queue_count = p->queue_count;
	for (uint32_t i = 0; i < s->job_count; i++)
		if (s->jobs[i].used)
			apply_queue(s, &s->jobs[i]);
	s->attempts_unchecked = true;
	s->placement_due = true;
}

struct job *sched_job_find(const struct sched *s, const char *id)
{
	uint32_t i = s->buckets[bucket_of(id)];

	for (; i != SCHED_NONE; i = s->jobs[i].next_in_bucket)
		if (!strcmp(s->jobs[i].spec.id, id))
			return &s->jobs[i];
	return NULL;
}

uint32_t sched_job_index(const struct sched *s, const struct job *j)
{
	return (uint32_t)(j - s->jobs);
}

uint64_t sched_job_age_us(const struct sched *s, const struct job *j)
{
	/* The clock of the VM that accepted the job may be ahead. */
	return s->wall_ms > j->spec.accepted_wall_ms
		       ? (s->wall_ms - j->spec.accepted_wall_ms) * 1000
		       : 0;
}

static struct job *add_job(struct sched *s)
{
	struct job *j;

	if (s->job_free != SCHED_NONE) {
		j = &s->jobs[s->job_free];
		s->job_free = j->next_in_bucket;
	} else {
		if (s->job_count == s->job_capacity) {
			s->job_capacity = s->job_capacity * 2 + 64;
			s->jobs = xrealloc(s->jobs,
					   s->job_capacity * sizeof(*s->jobs));
			s->job_due_wall_ms = xrealloc(
				s->job_due_wall_ms,
				s->job_capacity * sizeof(*s->job_due_wall_ms));
			s->collected = xrealloc(s->collected,
						s->job_capacity *
							sizeof(*s->collected));
		}
		j = &s->jobs[s->job_count++];
	}
	memset(j, 0, sizeof(*j));
	j->used = true;
	s->job_due_wall_ms[sched_job_index(s, j)] = 0;
	return j;
}

/* Memory of a job, and of the blocks that the allocator takes for it. */
static uint64_t job_bytes(const struct job *j)
{
	return sizeof(*j) + JOB_ALLOCATIONS_BYTES + strlen(j->spec.text) +
	       j->spec.step_count *
		       (sizeof(*j->spec.steps) + sizeof(*j->step_times));
}

bool sched_submit(struct sched *s, struct job_spec *spec, uint64_t now_us)
{
	struct job *j;
	uint32_t bucket;

	s->now_us = now_us;
	if (sched_has_job(s, spec->id)) {
		job_spec_free(spec);
		return false;
	}
	bucket = bucket_of(spec->id);
	j = add_job(s);
	j->spec = *spec;
	memset(spec, 0, sizeof(*spec));
	j->next_in_bucket = s->buckets[bucket];
	s->buckets[bucket] = sched_job_index(s, j);
	j->block_tasks = sched_block_tasks(&j->spec);
	j->step_times = xcalloc(j->spec.step_count, sizeof(*j->step_times));
	s->job_bytes += job_bytes(j);
	/* Until a policy is known no task starts or is given up. */
	j->queue.stretch = 1;
	j->queue.attempts_max = UINT32_MAX;
	apply_queue(s, j);
	for (uint32_t i = 0; i < j->spec.step_count; i++)
		j->spec.steps[i].image_handle =
			pair_model_image(&s->pairs, j->spec.steps[i].image);
	s->stats.jobs_open++;
	s->placement_due = true;
	return true;
}

const struct job_step *sched_task_step(const struct sched *s,
				       const struct sched_task *t)
{
	return &s->jobs[t->job].spec.steps[t->step];
}

struct occurrence *sched_find_occurrence(struct job *j, uint32_t number)
{
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used &&
		    j->occurrences[i].number == number)
			return &j->occurrences[i];
	return NULL;
}

static struct occurrence *add_occurrence(struct job *j)
{
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (!j->occurrences[i].used)
			return &j->occurrences[i];
	j->occurrences =
		xrealloc(j->occurrences,
			 (j->occurrence_count + 1) * sizeof(*j->occurrences));
	return &j->occurrences[j->occurrence_count++];
}

struct occurrence *sched_begin_occurrence(struct sched *s, struct job *j,
					  uint32_t number)
{
	struct occurrence *o = add_occurrence(j);
	uint32_t count = job_spec_task_count(&j->spec), n;

	memset(o, 0, sizeof(*o));
	o->used = true;
	o->number = number;
	o->begun_us = s->now_us;
	j->open_count++;
	sched_blocks_begin(j, o);
	o->due_wall_ms = j->spec.repetitions
				 ? sched_occurrence_due_ms(j, number)
				 : j->spec.accepted_wall_ms;
	o->first_task = sched_table_add(s, count);
	s->tasks_used[sched_task_share(count)] += count;
	n = o->first_task;
	for (uint32_t step = 0; step < j->spec.step_count; step++) {
		o->tasks_left[step] = j->spec.steps[step].count;
		for (uint32_t i = 0; i < j->spec.steps[step].count; i++) {
			struct sched_task *t = &s->tasks[n++];

			t->job = sched_job_index(s, j);
			t->occurrence = number;
			t->step = (uint16_t)step;
			t->index = i;
			t->worker = SCHED_NONE;
			t->last_failed_worker = SCHED_NONE;
			t->next_on_worker = SCHED_NONE;
			t->prev_on_worker = SCHED_NONE;
			t->cpu_percent = 100;
		}
	}
	if (number >= j->next_occurrence)
		j->next_occurrence = number + 1;
	return o;
}

void sched_unblock(struct sched *s, struct job *j, struct occurrence *o)
{
	uint64_t done = 0;
	uint32_t n = o->first_task;

	for (uint32_t i = 0; i < j->spec.step_count; i++)
		if (!o->tasks_left[i])
			done |= 1ull << i;
	for (uint32_t i = 0; i < j->spec.step_count; i++) {
		const struct job_step *step = &j->spec.steps[i];
		bool ready = !(step->depends_on & ~done);

		for (uint32_t k = 0; k < step->count; k++, n++)
			if (ready && s->tasks[n].state == TASK_BLOCKED) {
				sched_task_set_state(s, &s->tasks[n],
						     TASK_WAITING);
				/* Restored: its absence began at some time. */
				s->tasks[n].absent_since_us =
					s->tasks[n].run ? 0 : s->now_us;
				s->tasks[n].state_since_us = s->now_us;
			}
	}
	s->placement_due = true;
}

void sched_close_occurrence(struct sched *s, struct job *j,
			    struct occurrence *o)
{
	uint32_t count = job_spec_task_count(&j->spec);

	o->used = false;
	free(o->block_hashes);
	o->block_hashes = NULL;
	j->open_count--;
	s->tasks_used[sched_task_share(count)] -= count;
	sched_table_remove(s, o->first_task, count);
}

static bool job_complete(const struct job *j)
{
	uint32_t total = j->spec.repetitions ? j->spec.repetitions : 1;

	return j->next_occurrence >= total && !j->parked_count &&
	       !j->open_count;
}

void sched_finish_occurrence(struct sched *s, struct job *j,
			     struct occurrence *o)
{
	for (uint32_t i = 0; i < j->spec.step_count; i++)
		if (o->tasks_left[i])
			return;
	sched_blocks_release(j, o);
	sched_close_occurrence(s, j, o);
	if (job_complete(j))
		sched_end_job(s, j, SCHED_JOB_COMPLETED);
}

/* Stops running tasks and drops the others. */
static void drop_tasks(struct sched *s, struct job *j,
		       const struct occurrence *o)
{
	uint32_t n = job_spec_task_count(&j->spec);

	for (uint32_t i = 0; i < n; i++) {
		struct sched_task *t = &s->tasks[o->first_task + i];

		/* An unconfirmed task is stopped when its worker reports it. */
		if (t->state == TASK_RUNNING || t->state == TASK_STARTING) {
			sched_task_stop(s, t);
		} else if (t->state == TASK_PLACED ||
			   t->state == TASK_STORING) {
			sched_task_release(s, t);
			sched_task_set_state(s, t, TASK_DROPPED);
		} else if (t->state < TASK_RUNNING) {
			sched_task_set_state(s, t, TASK_DROPPED);
		}
	}
}

void sched_end_job(struct sched *s, struct job *j, enum sched_job_state state)
{
	static const char *const names[] = { "queued", "running", "completed",
					     "failed", "cancelled" };

	if (j->state >= SCHED_JOB_COMPLETED)
		return;
	j->state = state;
	j->ended_wall_ms = s->wall_ms;
	s->stats.jobs_open--;
	log_event(LOG_INFO, "job-ended",
		  "job=%s queue=%s state=%s after_ms=%lld deadline_in_ms=%lld",
		  j->spec.id, j->spec.queue, names[state],
		  (long long)(s->wall_ms - j->spec.accepted_wall_ms),
		  (long long)(j->deadline_wall_ms - s->wall_ms));
	if (state == SCHED_JOB_COMPLETED && !j->spec.repetitions) {
		latency_add(LATENCY_JOB, sched_job_age_us(s, j));
		sched_value_job_completed(s, j);
	}
	sched_begin_cancel(s, j);
	if (state != SCHED_JOB_COMPLETED)
		for (uint32_t i = 0; i < j->occurrence_count; i++)
			if (j->occurrences[i].used)
				drop_tasks(s, j, &j->occurrences[i]);
	sched_mark_dirty(s, j);
}

static bool is_out_of_attempts(const struct sched *s, const struct job *j,
			       const struct occurrence *o)
{
	uint32_t n = job_spec_task_count(&j->spec);

	for (uint32_t i = 0; i < n; i++) {
		const struct sched_task *t = &s->tasks[o->first_task + i];

		if (t->state != TASK_DONE &&
		    t->failures >= j->queue.attempts_max &&
		    !sched_task_step(s, t)->long_running)
			return true;
	}
	return false;
}

/* Failures may have been counted while the limit was not known. */
static void check_attempts(struct sched *s)
{
	if (!s->attempts_unchecked)
		return;
	s->attempts_unchecked = false;
	for (uint32_t i = 0; i < s->job_count; i++) {
		struct job *j = &s->jobs[i];

		for (uint32_t k = 0; j->used && k < j->occurrence_count; k++)
			if (j->occurrences[k].used &&
			    is_out_of_attempts(s, j, &j->occurrences[k]))
				sched_end_job(s, j, SCHED_JOB_FAILED);
	}
}

void sched_cancel(struct sched *s, const char *id, uint64_t now_us,
		  uint64_t wall_ms)
{
	struct job *j = sched_job_find(s, id);

	s->now_us = now_us;
	s->wall_ms = wall_ms;
	if (j)
		sched_end_job(s, j, SCHED_JOB_CANCELLED);
}

static bool has_placed_task(const struct sched *s, const struct job *j)
{
	uint32_t n = job_spec_task_count(&j->spec);

	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		const struct occurrence *o = &j->occurrences[i];

		for (uint32_t k = 0; o->used && k < n; k++)
			if (sched_task_on_worker(&s->tasks[o->first_task + k]))
				return true;
	}
	return false;
}

static void remove_job(struct sched *s, struct job *j)
{
	uint32_t index = sched_job_index(s, j);
	uint32_t *link = &s->buckets[bucket_of(j->spec.id)];

	while (*link != index)
		link = &s->jobs[*link].next_in_bucket;
	*link = j->next_in_bucket;
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used)
			sched_close_occurrence(s, j, &j->occurrences[i]);
	sched_begin_cancel(s, j);
	s->job_bytes -= job_bytes(j);
	free_job(j);
	j->next_in_bucket = s->job_free;
	s->job_free = index;
}

void sched_drop_unread(struct sched *s,
		       void (*fn)(void *arg, const char *id, const char *queue),
		       void *arg)
{
	for (uint32_t i = 0; i < s->job_count; i++) {
		struct job *j = &s->jobs[i];

		if (!j->used || j->restored)
			continue;
		fn(arg, j->spec.id, j->spec.queue);
		s->stats.jobs_open--;
		remove_job(s, j);
	}
}

static uint64_t placement_interval_us(const struct sched *s)
{
	uint64_t interval = PLACEMENT_INTERVAL_LARGE_BACKLOG_US;

	if (s->backlog <= LARGE_BACKLOG_TASKS)
		return PLACEMENT_INTERVAL_US;
	interval += interval * s->backlog / BACKLOG_TASKS_PER_INTERVAL;
	return interval < PLACEMENT_INTERVAL_MAX_US ? interval
						    : PLACEMENT_INTERVAL_MAX_US;
}

/* When the job needs sched_tick() again unless it changes before. */
static uint64_t job_due_wall_ms(const struct job *j)
{
	uint32_t total = j->spec.repetitions ? j->spec.repetitions : 1;

	/* One that has ended is due as soon as it changes. */
	if (!j->used || j->state >= SCHED_JOB_COMPLETED)
		return UINT64_MAX;
	if (j->pending) /* sched_begin_pending() */
		return UINT64_MAX;
	return j->next_occurrence < total
		       ? sched_occurrence_due_ms(j, j->next_occurrence)
		       : UINT64_MAX;
}

/*
 * Frees the tasks of a job that has ended, once none is on a worker: a record
 * without them is complete.
 */
static void close_ended(struct sched *s, struct job *j)
{
	uint32_t stale = j->stale_count;

	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		if (!j->occurrences[i].used)
			continue;
		sched_blocks_release(j, &j->occurrences[i]);
		sched_close_occurrence(s, j, &j->occurrences[i]);
	}
	free(j->parked);
	j->parked = NULL;
	j->parked_count = 0;
	/* Blocks are deleted once the head is stored without them. */
	if (j->stale_count > stale)
		sched_mark_dirty(s, j);
}

static void tick_job(struct sched *s, struct job *j)
{
	if (j->state < SCHED_JOB_COMPLETED) {
		sched_begin_due(s, j);
		return;
	}
	if (j->dirty || j->collected || has_placed_task(s, j))
		return;
	if (j->open_count || j->parked_count)
		close_ended(s, j);
	if (j->dirty || (j->stale_count && !j->unstorable))
		return;
	sched_ended_add(s, j->spec.id, j->spec.queue, j->state,
			j->ended_wall_ms);
	remove_job(s, j);
}

void sched_forgotten(struct sched *s, const char *id)
{
	sched_ended_forgotten(s, id);
}

void sched_tick(struct sched *s, uint64_t now_us, uint64_t wall_ms)
{
	uint64_t interval;

	s->now_us = now_us;
	s->wall_ms = wall_ms;
	check_attempts(s);
	sched_workers_tick(s);
	sched_lost_tick(s);
	sched_stops_tick(s);
	for (uint32_t i = 0; i < s->job_count; i++) {
		if (wall_ms < s->job_due_wall_ms[i])
			continue;
		if (s->jobs[i].used)
			tick_job(s, &s->jobs[i]);
		s->job_due_wall_ms[i] = job_due_wall_ms(&s->jobs[i]);
	}
	sched_ended_tick(s);
	sched_begin_pending(s);
	interval = placement_interval_us(s);
	if ((s->placement_due && now_us >= s->last_placement_us + interval) ||
	    now_us >= s->last_placement_us + PLACEMENT_INTERVAL_IDLE_US) {
		s->placement_due = false;
		s->last_placement_us = now_us;
		s->last_overdue_us = now_us;
		sched_place(s);
		sched_value_update(s);
	} else if (s->placement_due && s->overdue_services &&
		   now_us >= s->last_overdue_us + OVERDUE_INTERVAL_US) {
		s->last_overdue_us = now_us;
		sched_place_overdue(s);
	}
}
