#include <stdlib.h>

#include "log.h"
#include "sched-internal.h"

/*
 * Load patterns: batch tasks that use the CPU left over fill the memory of the
 * workers, and services, which run for minutes, take nearly all CPU. An urgent
 * job then fits nowhere: what becomes free is taken by others or comes in
 * pieces that are too small. An urgent task therefore stops batch tasks of a
 * lower priority, which lose little, and services, which are placed again after
 * a pause. Its room then serves the urgent tasks that follow, but no services
 * that never ran: these would come first and keep it.
 */

/* Tasks considered on one worker. */
#define VICTIMS_MAX 32
/* Workers compared for one task; the search goes on at the next one. */
#define WORKERS_COMPARED 64u
/* Work that a task with checkpoints loses by a stop, with its restart. */
#define CHECKPOINT_LOSS_MS 600u
/* Share of a service's absence that falls to one of the urgent tasks. */
#define SERVICE_LOSS_MS 500u
/*
 * At most one task of a service is away for this many listed workers before no
 * other is stopped. Those on silent workers count: if these are gone, the tasks
 * that were stopped wait behind them. Nor is one stopped while more are overdue
 * than reservations can bring back.
 */
#define WORKERS_PER_ABSENT_SERVICE 2u

struct victim {
	uint32_t task;
	struct resources freed;
	bool service;
	uint64_t work; /* lost, in millicore milliseconds ... */
	uint64_t loss; /* ... and with the value that its caller loses */
};

/* A worker and the first count of its victims, which are to be stopped. */
struct victims {
	struct victim list[VICTIMS_MAX];
	uint32_t count;
	uint32_t worker;
	uint64_t work;
	uint64_t loss;
};

/* Batch tasks first, then by loss, then the larger ones. */
static int compare_victims(const void *a, const void *b)
{
	const struct victim *x = a, *y = b;

	if (x->service != y->service)
		return x->service - y->service;
	if (x->loss != y->loss)
		return x->loss < y->loss ? -1 : 1;
	if (x->freed.memory_mb != y->freed.memory_mb)
		return x->freed.memory_mb > y->freed.memory_mb ? -1 : 1;
	return x->task < y->task ? -1 : x->task > y->task;
}

/* A service above its target is of no use to its callers where it is. */
static uint64_t service_loss(const struct sched_task *t,
			     const struct job_step *step)
{
	if (step->target_ms && t->metric > step->target_ms)
		return 0;
	return (uint64_t)step->demand.cpu_milli * SERVICE_LOSS_MS;
}

static uint64_t batch_work_lost(const struct sched *s,
				const struct sched_task *t,
				const struct job_step *step)
{
	uint64_t ran_ms = (s->now_us - t->state_since_us) / 1000;

	if (step->checkpoints && ran_ms > CHECKPOINT_LOSS_MS)
		ran_ms = CHECKPOINT_LOSS_MS;
	return ran_ms * step->demand.cpu_milli;
}

/*
 * Load pattern: too little capacity, so that the stop of one task ends its
 * job's chance to meet its objective, and that of another costs nothing, as its
 * job has none any more or has time left. The work lost does not show that.
 */
static uint64_t batch_loss(const struct sched *s, const struct sched_task *t,
			   const struct job_step *step, uint64_t work)
{
	uint64_t delay_ms;

	if (s->settings.overload == SCHED_OVERLOAD_DEADLINE)
		return work;
	delay_ms = work / (step->demand.cpu_milli + 1) + step->estimate_ms / 2;
	return work +
	       1000 * sched_value_delay_loss(s, &s->jobs[t->job], delay_ms);
}

/* Whether the job may stop the task. */
static bool may_stop(const struct sched *s, const struct job *j,
		     const struct sched_task *t, const struct job_step *step,
		     bool services)
{
	uint32_t priority = s->jobs[t->job].queue.priority;

	if (t->state != TASK_RUNNING || step->gang)
		return false;
	if (step->long_running)
		return services && !step->max_unavailable &&
		       s->now_us >= t->stoppable_us &&
		       priority >= j->queue.priority;
	return step->best_effort && priority > j->queue.priority;
}

static uint32_t list_victims(const struct sched *s, uint32_t worker,
			     const struct job *j, bool services,
			     struct victim list[VICTIMS_MAX])
{
	uint32_t n = 0;

	for (uint32_t i = s->workers[worker].first_task;
	     i != SCHED_NONE && n < VICTIMS_MAX;
	     i = s->tasks[i].next_on_worker) {
		const struct sched_task *t = &s->tasks[i];
		const struct job_step *step = sched_task_step(s, t);

		if (!may_stop(s, j, t, step, services))
			continue;
		list[n] = (struct victim){ .task = i,
					   .freed = step->demand,
					   .service = step->long_running };
		list[n].work = step->long_running ? service_loss(t, step)
						  : batch_work_lost(s, t, step);
		list[n].loss = step->long_running
				       ? list[n].work
				       : batch_loss(s, t, step, list[n].work);
		/* Their CPU is not counted against the capacity. */
		if (step->best_effort)
			list[n].freed.cpu_milli = 0;
		n++;
	}
	if (n)
		qsort(list, n, sizeof(*list), compare_victims);
	return n;
}

/*
 * Chooses which tasks of a worker to stop: services until the CPU suffices,
 * then the cheapest tasks until the memory does. Returns false if the step
 * would not fit.
 */
static bool choose_victims(const struct sched *s, uint32_t worker,
			   const struct job *j, const struct job_step *step,
			   bool services, struct victims *v)
{
	const struct worker_room *room = &s->rooms.rooms[worker];
	int64_t cpu = (int64_t)step->demand.cpu_milli - room->cpu_milli;
	int64_t memory = (int64_t)step->demand.memory_mb - room->memory_mb;
	struct victim all[VICTIMS_MAX];
	uint32_t n = list_victims(s, worker, j, services, all);

	v->worker = worker;
	v->count = 0;
	v->work = 0;
	v->loss = 0;
	for (int pass = 0; pass < 2; pass++)
		for (uint32_t i = 0; i < n; i++) {
			bool wanted =
				pass ? memory > 0 : cpu > 0 && all[i].service;

			if (!wanted || all[i].task == SCHED_NONE)
				continue;
			v->list[v->count++] = all[i];
			v->work += all[i].work;
			v->loss += all[i].loss;
			cpu -= all[i].freed.cpu_milli;
			memory -= all[i].freed.memory_mb;
			all[i].task = SCHED_NONE;
		}
	return cpu <= 0 && memory <= 0 && v->count;
}

/* Whether stops can make room for a task of the step. */
static bool is_candidate(const struct sched *s, uint32_t worker,
			 const struct job *j, const struct sched_task *t,
			 bool services)
{
	const struct job_step *step = &j->spec.steps[t->step];
	const struct sched_worker *w = &s->workers[worker];
	const struct worker_room *room = &s->rooms.rooms[worker];
	int64_t stoppable = services ? w->service_milli : 0;

	return room->service == j->service &&
	       room->cpu_milli + stoppable >= (int64_t)step->demand.cpu_milli &&
	       room->accelerators >= (int64_t)step->demand.accelerators &&
	       w->capacity.memory_mb >= step->demand.memory_mb &&
	       sched_worker_usable(s, w, j, step) &&
	       sched_below_worker_max(s, w, t, step);
}

static void preempt_service(struct sched *s, struct sched_task *t)
{
	const struct resources *freed = &sched_task_step(s, t)->demand;
	struct resources *stopped = &s->workers[t->worker].stopped;

	t->preempted = true;
	t->preempted_on = t->worker;
	stopped->cpu_milli += freed->cpu_milli;
	stopped->memory_mb += freed->memory_mb;
	stopped->accelerators += freed->accelerators;
	s->preempted_services++;
}

void sched_preemption_over(struct sched *s, struct sched_task *t)
{
	const struct resources *freed = &sched_task_step(s, t)->demand;
	struct resources *stopped = &s->workers[t->preempted_on].stopped;

	t->preempted = false;
	stopped->cpu_milli -= freed->cpu_milli;
	stopped->memory_mb -= freed->memory_mb;
	stopped->accelerators -= freed->accelerators;
	s->preempted_services--;
}

bool sched_leaves_room(const struct sched *s, const struct sched_task *t)
{
	return s->preempted_services && sched_task_is_new_service(s, t) &&
	       !sched_task_step(s, t)->best_effort;
}

static void stop_victims(struct sched *s, const struct job *j,
			 const struct sched_task *t, const struct victims *v)
{
	uint32_t services = 0;

	for (uint32_t i = 0; i < v->count; i++) {
		struct sched_task *victim = &s->tasks[v->list[i].task];

		if (v->list[i].service) {
			preempt_service(s, victim);
			services++;
		}
		sched_task_stop(s, victim);
	}
	log_event(LOG_INFO, "tasks-preempted",
		  "job=%s step=%u worker=%s batch=%u services=%u "
		  "lost_core_ms=%llu value_core_ms=%llu",
		  j->spec.id, t->step, s->workers[v->worker].identity->id,
		  v->count - services, services,
		  (unsigned long long)v->work / 1000,
		  (unsigned long long)(v->loss - v->work) / 1000);
}

/* Whether stops of batch tasks, which free no CPU, can make room at all. */
static bool has_cpu_somewhere(const struct sched *s, const struct job *j,
			      const struct job_step *step)
{
	struct room_query q = room_query_cpu(j->service, step, false);

	return room_index_next(&s->rooms, &q, 0) != SCHED_NONE;
}

uint32_t sched_preempt(struct sched *s, const struct job *j,
		       const struct sched_task *t, bool *read)
{
	const struct job_step *step = &j->spec.steps[t->step];
	uint32_t absent = s->absent_services + s->silent_services;
	bool services = !step->long_running &&
			absent * WORKERS_PER_ABSENT_SERVICE < s->listed_count &&
			s->overdue_ran <= s->reserved_max;
	struct victims best = { .worker = SCHED_NONE };
	/*
	 * Not worth it if more work is lost than the task would use. The value
	 * only chooses among victims, since the task's priority is higher.
	 */
	uint64_t work_max =
		(uint64_t)step->demand.cpu_milli * (step->estimate_ms + 1);
	uint64_t least = UINT64_MAX;
	uint32_t compared = 0;

	if (step->long_running && !has_cpu_somewhere(s, j, step))
		return SCHED_NONE;
	for (uint32_t n = 0; n < s->worker_count && compared < WORKERS_COMPARED;
	     n++) {
		uint32_t i = s->preempt_cursor++ % s->worker_count;
		struct victims v;

		if (!is_candidate(s, i, j, t, services))
			continue;
		compared++;
		*read = true;
		if (!choose_victims(s, i, j, step, services, &v) ||
		    v.work >= work_max || v.loss >= least)
			continue;
		best = v;
		least = v.loss;
	}
	if (best.worker != SCHED_NONE)
		stop_victims(s, j, t, &best);
	return best.worker;
}
