#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "log.h"
#include "sched-internal.h"
#include "sched-lost.h"

/* Allows for a worker's clock that runs 2% slow, and for network delay. */
#define CLOCK_DRIFT_PERCENT 2u
#define LEASE_DELAY_US 300000u
/* Consecutive failures of different jobs that quarantine a worker. */
#define QUARANTINE_FAILURES 3u
#define QUARANTINE_US 4000000u
/* The trial ends this long after quarantine, if no task was done before. */
#define TRIAL_US 4000000u
/* A stop takes 0.2 s; one without effect is ordered again after this time. */
#define STOP_RETRY_US 1000000u

uint64_t sched_lease_longest_us(uint64_t lease_us)
{
	return lease_us / 100u * (100u + CLOCK_DRIFT_PERCENT) + LEASE_DELAY_US;
}

uint64_t sched_lease_bound_us(const struct sched *s)
{
	return sched_lease_longest_us(s->settings.lease_max_ms * 1000ull);
}

static uint32_t bucket_of(const char *id)
{
	return (uint32_t)XXH64(id, strlen(id), 0) & (WORKER_BUCKETS - 1);
}

uint32_t sched_find_worker(const struct sched *s, const char *id)
{
	uint32_t i = s->worker_buckets[bucket_of(id)];

	while (i != SCHED_NONE && strcmp(s->workers[i].identity->id, id))
		i = s->workers[i].identity->next_in_bucket;
	return i;
}

void sched_check_lease_at(struct sched *s, uint64_t lease_end_us)
{
	if (lease_end_us < s->lease_check_us)
		s->lease_check_us = lease_end_us;
}

uint32_t sched_worker_add(struct sched *s, const char *id)
{
	uint32_t i = sched_find_worker(s, id), *bucket;
	struct sched_worker *w;

	if (i != SCHED_NONE)
		return i;
	s->workers = xrealloc(s->workers,
			      (s->worker_count + 1) * sizeof(*s->workers));
	room_index_add(&s->rooms);
	s->ending =
		xrealloc(s->ending, (s->worker_count + 1) * sizeof(*s->ending));
	w = &s->workers[s->worker_count];
	memset(w, 0, sizeof(*w));
	w->identity = xcalloc(1, sizeof(*w->identity));
	snprintf(w->identity->id, sizeof(w->identity->id), "%s", id);
	bucket = &s->worker_buckets[bucket_of(w->identity->id)];
	w->identity->next_in_bucket = *bucket;
	*bucket = s->worker_count;
	w->first_task = SCHED_NONE;
	w->inverse_cpu = room_inverse(0);
	w->last_failed_job = SCHED_NONE;
	w->silent_since_us = s->created_us;
	/*
	 * As if nothing was known of the predecessor; what it has recorded
	 * lowers this (sched_limit_lease(), sched_limit_other_leases()).
	 */
	w->lease_end_us = s->created_us + sched_lease_bound_us(s) +
			  s->settings.takeover_wait_ms * 1000ull;
	sched_check_lease_at(s, w->lease_end_us);
	return s->worker_count++;
}

/* Why a worker no longer runs its tasks. */
enum loss {
	LOSS_CRASHED,
	LOSS_LEASE_OVER, /* it is silent, and all leases have ended */
};

/* Requeues all tasks of a worker on which they can no longer run. */
static void requeue_lost_tasks(struct sched *s, struct sched_worker *w,
			       enum loss loss, const char *reason)
{
	uint32_t failed_job = SCHED_NONE;
	uint32_t n = 0;

	if (loss == LOSS_CRASHED)
		failed_job = sched_crash_observed(s, w);
	while (w->first_task != SCHED_NONE) {
		struct sched_task *t = &s->tasks[w->first_task];

		/* A worker that drains exits by itself. */
		if (loss == LOSS_LEASE_OVER && !t->leaving &&
		    sched_lost_silent(s, t))
			failed_job = t->job;
		sched_task_requeue(s, t, sched_crash_delay_ms(t));
		n++;
	}
	s->stats.tasks_lost += n;
	if (n) {
		w->tasks_lost_us = s->now_us;
		log_event(LOG_INFO, "worker-tasks-lost",
			  "worker=%s tasks=%u why=%s", w->identity->id, n,
			  reason);
	}
	if (failed_job != SCHED_NONE)
		sched_end_job(s, &s->jobs[failed_job], SCHED_JOB_FAILED);
}

/*
 * Whether the report was requested after the task's last order had been
 * answered, so that it lists the run if the worker has it.
 */
static bool is_known_to_run(const struct sched_task *t,
			    const struct sched_report *r)
{
	return t->confirmed && r->requested_us > t->state_since_us &&
	       (t->state == TASK_RUNNING || t->state == TASK_STOPPING);
}

static void mark_listed(struct sched *s, uint32_t worker, const char *task,
			uint32_t run)
{
	struct sched_task *t = sched_task_find(s, task);

	if (t && t->worker == worker && t->run == run)
		t->listed_in = s->workers[worker].report_number;
}

/*
 * Takes back the tasks that ran in a worker's former incarnation. Orders that
 * it received before this report may have been meant for that one: a run that
 * is listed goes on, a start under way is given up, and the next report tells
 * of a start that was answered since this one was requested.
 */
static void requeue_former_tasks(struct sched *s, struct sched_worker *w,
				 const struct sched_report *r)
{
	uint32_t i = w->first_task, n = 0;
	uint32_t failed_job = sched_crash_observed(s, w);

	while (i != SCHED_NONE) {
		struct sched_task *t = &s->tasks[i];

		i = t->next_on_worker;
		if (t->listed_in == w->report_number)
			continue;
		if (t->state == TASK_STARTING) {
			if (!t->unanswered)
				t->unanswered = 1;
			sched_start_refused(s, t, sched_crash_delay_ms(t));
		} else if (t->state == TASK_UNCONFIRMED ||
			   is_known_to_run(t, r)) {
			sched_task_requeue(s, t, sched_crash_delay_ms(t));
		} else {
			continue;
		}
		n++;
	}
	s->stats.tasks_lost += n;
	if (n)
		log_event(LOG_INFO, "worker-tasks-lost",
			  "worker=%s tasks=%u why=restarted", w->identity->id,
			  n);
	if (failed_job != SCHED_NONE)
		sched_end_job(s, &s->jobs[failed_job], SCHED_JOB_FAILED);
}

/* A restarted worker numbers its run ends from 1 again. */
static void handle_restart(struct sched *s, uint32_t worker,
			   const struct sched_report *r)
{
	struct sched_worker *w = &s->workers[worker];

	for (size_t i = 0; i < r->running_count; i++)
		mark_listed(s, worker, r->running[i].task, r->running[i].run);
	for (size_t i = 0; i < r->ended_count; i++)
		mark_listed(s, worker, r->ended[i].task, r->ended[i].run);
	if (w->started_wall_ms)
		requeue_former_tasks(s, w, r);
	w->started_wall_ms = r->started_wall_ms;
	sched_check_entry(s, worker);
	w->ends_seen = 0;
	w->ends_collected = 0;
	w->ends_stored = 0;
	w->failures = 0;
	w->last_failed_job = SCHED_NONE;
	w->quarantine_end_us = 0;
	w->full_until_us = 0;
	w->on_trial = false;
}

uint32_t sched_update_worker(struct sched *s,
			     const struct sched_worker_info *info)
{
	uint32_t i = sched_worker_add(s, info->id);
	struct sched_worker *w = &s->workers[i];

	w->service = sched_service(s, info->service);
	snprintf(w->identity->zone, sizeof(w->identity->zone), "%s",
		 info->zone);
	memcpy(w->identity->labels, info->labels, sizeof(w->identity->labels));
	w->address_tag = info->address_tag;
	w->cold = info->cold;
	sched_check_evacuated(s, i);
	w->capacity = info->capacity;
	w->inverse_cpu = room_inverse(w->capacity.cpu_milli);
	if (!w->listed)
		log_event(LOG_INFO, "worker-listed",
			  "worker=%s service=%s zone=%s cpu=%u memory_mb=%u",
			  w->identity->id, info->service, w->identity->zone,
			  w->capacity.cpu_milli, w->capacity.memory_mb);
	w->listed = true;
	sched_note_draining(s, i, info);
	if (info->started_wall_ms > w->announced_wall_ms) {
		w->announced_wall_ms = info->started_wall_ms;
		w->announced_us = s->now_us;
		w->start_noted = false;
		sched_lost_resolve(s, i, info->started_wall_ms);
	}
	/* Only a report tells what a new incarnation runs. */
	if (!w->started_wall_ms)
		w->started_wall_ms = info->started_wall_ms;
	w->entry_wall_ms = info->started_wall_ms;
	sched_check_entry(s, i);
	s->placement_due = true;
	return i;
}

void sched_worker_confirmed(struct sched *s)
{
	s->placement_due = true;
}

void sched_worker_unlisted(struct sched *s, uint32_t worker, uint64_t now_us)
{
	struct sched_worker *w = &s->workers[worker];

	s->now_us = now_us;
	if (!w->listed)
		return;
	log_event(LOG_INFO, "worker-unlisted", "worker=%s draining=%d",
		  w->identity->id, w->draining);
	w->listed = false;
}

void sched_worker_unresponsive(struct sched *s, uint32_t worker,
			       uint64_t now_us)
{
	s->now_us = now_us;
	if (s->workers[worker].responsive)
		log_event(LOG_INFO, "worker-silent", "worker=%s listed=%d",
			  s->workers[worker].identity->id,
			  s->workers[worker].listed);
	if (s->workers[worker].responsive)
		s->workers[worker].silent_since_us = now_us;
	s->workers[worker].responsive = false;
	sched_check_lease_at(s, s->workers[worker].lease_end_us);
}

void sched_worker_dead(struct sched *s, uint32_t worker, uint64_t now_us)
{
	sched_worker_unresponsive(s, worker, now_us);
	s->workers[worker].report_number++;
	requeue_lost_tasks(s, &s->workers[worker], LOSS_CRASHED, "dead");
	sched_lost_replaced(s, worker);
}

void sched_lease_granted(struct sched *s, uint32_t worker, uint64_t now_us)
{
	uint64_t end = now_us + sched_lease_bound_us(s);

	s->workers[worker].granted_us = now_us;
	if (end > s->workers[worker].lease_end_us)
		s->workers[worker].lease_end_us = end;
}

uint64_t sched_acknowledged_seq(const struct sched *s, uint32_t worker)
{
	return s->workers[worker].ends_stored;
}

/* Notes that a task of the job failed on the worker. */
static bool fails_everywhere(struct job *j, uint32_t worker)
{
	if (j->has_done)
		return false;
	for (uint32_t i = 0; i < j->failed_on_count; i++)
		if (j->failed_on[i] == worker)
			return false;
	if (j->failed_on_count == JOB_FAILED_WORKERS_MAX)
		return true;
	j->failed_on[j->failed_on_count++] = worker;
	return false;
}

bool sched_worker_on_trial(const struct sched *s, const struct sched_worker *w)
{
	return w->on_trial && s->now_us < w->quarantine_end_us + TRIAL_US;
}

void sched_worker_record_end(struct sched *s, struct sched_worker *w,
			     const struct sched_task *t, enum sched_end reason)
{
	if (reason == SCHED_END_DONE) {
		w->failures = 0;
		w->last_failed_job = SCHED_NONE;
		w->on_trial = false;
		s->jobs[t->job].has_done = true;
		return;
	}
	if (reason != SCHED_END_FAILED ||
	    fails_everywhere(&s->jobs[t->job], t->worker) ||
	    w->last_failed_job == t->job)
		return;
	w->last_failed_job = t->job;
	if (++w->failures < QUARANTINE_FAILURES)
		return;
	w->quarantine_end_us = s->now_us + QUARANTINE_US;
	w->on_trial = true;
	log_event(LOG_INFO, "worker-quarantined", "worker=%s failures=%u",
		  w->identity->id, w->failures);
}

/* Stops a run that is unknown or has been replaced. */
static void stop_unknown_run(struct sched *s, uint32_t worker,
			     const struct sched_run *run)
{
	struct sched_order o = { .type = SCHED_STOP,
				 .worker = worker,
				 .run = run->run,
				 .text = "",
				 .checkpoint = "" };

	snprintf(o.task, sizeof(o.task), "%s", run->task);
	log_event(LOG_WARNING, "task-stray", "task=%s run=%u worker=%s",
		  run->task, run->run, s->workers[worker].identity->id);
	s->ops->order(s->arg, &o);
}

static void handle_running(struct sched *s, uint32_t worker,
			   const struct sched_run *run, uint64_t requested_us)
{
	struct sched_task *t = sched_task_find(s, run->task);

	if (!t || t->worker != worker || t->run != run->run) {
		s->workers[worker].has_unknown_run = true;
		stop_unknown_run(s, worker, run);
		return;
	}
	t->listed_in = s->workers[worker].report_number;
	t->incarnation =
		sched_incarnation_tag(s->workers[worker].started_wall_ms);
	sched_task_checkpoint(s, t, run->checkpoint);
	t->progress_percent = (uint8_t)run->progress_percent;
	t->metric = run->metric;
	s->jobs[t->job].started = true;
	if (s->jobs[t->job].state == SCHED_JOB_QUEUED)
		s->jobs[t->job].state = SCHED_JOB_RUNNING;
	if (t->state == TASK_UNCONFIRMED)
		t->cpu_percent = CPU_PERCENT_UNKNOWN;
	if (t->state == TASK_UNCONFIRMED || t->state == TASK_STARTING) {
		t->state = TASK_RUNNING;
		t->state_since_us = s->now_us;
		t->confirmed = true;
	}
	sched_crash_survived(s, t, requested_us);
	/* A new owner reads that the worker drains before it knows the run. */
	if ((s->jobs[t->job].state >= SCHED_JOB_COMPLETED &&
	     t->state == TASK_RUNNING) ||
	    (sched_worker_drains(&s->workers[worker]) &&
	     sched_must_leave_drained(s, t)) ||
	    (t->state == TASK_STOPPING &&
	     s->now_us > t->state_since_us + STOP_RETRY_US))
		sched_task_stop(s, t);
}

/* Requeues confirmed or restored tasks that the report does not list. */
static void requeue_missing(struct sched *s, struct sched_worker *w,
			    const struct sched_report *r)
{
	uint32_t i = w->first_task, failed_job = SCHED_NONE;
	char name[SCHED_TASK_NAME_BYTES];

	while (i != SCHED_NONE) {
		struct sched_task *t = &s->tasks[i];

		i = t->next_on_worker;
		if (t->listed_in == w->report_number ||
		    (!is_known_to_run(t, r) && t->state != TASK_UNCONFIRMED))
			continue;
		sched_task_name(s, t, name);
		log_event(LOG_INFO, "task-absent",
			  "task=%s run=%u worker=%s state=%u unanswered=%u",
			  name, t->run, w->identity->id, t->state,
			  t->unanswered);
		if (t->state == TASK_UNCONFIRMED && sched_lost_absent(s, t))
			failed_job = t->job;
		sched_task_requeue(s, t, sched_crash_delay_ms(t));
	}
	if (failed_job != SCHED_NONE)
		sched_end_job(s, &s->jobs[failed_job], SCHED_JOB_FAILED);
}

static void handle_ended(struct sched *s, uint32_t worker,
			 const struct sched_run_end *e)
{
	struct sched_task *t = sched_task_find(s, e->task);

	if (!t || t->run != e->run || t->worker != worker) {
		log_event(LOG_DEBUG, "task-end-unknown", "task=%s run=%u",
			  e->task, e->run);
		return;
	}
	sched_speed_ended(s, t, e->reason);
	sched_task_ended(s, t, e->reason, e->checkpoint);
}

/*
 * The entry of a restarted worker can be read before the last report of its
 * previous incarnation. The times of the starts do not tell which is later: the
 * worker's clock can have been set back.
 */
static bool is_from_earlier_incarnation(const struct sched_worker *w,
					const struct sched_report *r)
{
	return r->started_wall_ms &&
	       r->started_wall_ms != w->announced_wall_ms &&
	       r->requested_us <= w->announced_us;
}

bool sched_report(struct sched *s, uint32_t worker,
		  const struct sched_report *r, uint64_t now_us,
		  uint64_t wall_ms)
{
	struct sched_worker *w = &s->workers[worker];

	s->now_us = now_us;
	s->wall_ms = wall_ms;
	if (is_from_earlier_incarnation(w, r)) {
		log_event(LOG_INFO, "worker-report-outdated",
			  "worker=%s running=%zu ended=%zu", w->identity->id,
			  r->running_count, r->ended_count);
		return false;
	}
	w->report_number++;
	if (r->started_wall_ms)
		sched_lost_resolve(s, worker, r->started_wall_ms);
	if (r->started_wall_ms && r->started_wall_ms != w->started_wall_ms)
		handle_restart(s, worker, r);
	if (!w->heard_us)
		s->newly_heard_us = now_us;
	w->heard_us = r->requested_us;
	for (size_t i = 0; i < r->ended_count; i++) {
		if (r->ended[i].seq <= w->ends_seen)
			continue;
		w->ends_seen = r->ended[i].seq;
		sched_worker_has_ends(s, worker);
		handle_ended(s, worker, &r->ended[i]);
	}
	s->placement_due = s->placement_due || w->has_unknown_run;
	w->has_unknown_run = false;
	for (size_t i = 0; i < r->running_count; i++)
		handle_running(s, worker, &r->running[i], r->requested_us);
	if (!r->ended_truncated)
		requeue_missing(s, w, r);
	if (!w->responsive) {
		w->responsive = true;
		/* From now on the worker rejects a predecessor's token. */
		if (w->lease_end_us > now_us + sched_lease_bound_us(s))
			w->lease_end_us = now_us + sched_lease_bound_us(s);
		log_event(LOG_INFO, "worker-reports",
			  "worker=%s running=%zu ended=%zu", w->identity->id,
			  r->running_count, r->ended_count);
		s->placement_due = true;
	}
	/* Its leases are renewed once a record without it is stored. */
	if (w->recorded & SILENT_COLLECTED)
		s->silent_returned = true;
	if (!s->collecting && !sched_has_changes(s))
		w->ends_stored = w->ends_seen;
	sched_speed_reported(s, worker);
	w->reported_us = now_us;
	sched_control_interference(s, worker);
	return true;
}

void sched_workers_tick(struct sched *s)
{
	if (s->now_us <= s->lease_check_us)
		return;
	s->lease_check_us = UINT64_MAX;
	for (uint32_t i = 0; i < s->worker_count; i++) {
		struct sched_worker *w = &s->workers[i];

		if (w->responsive || w->first_task == SCHED_NONE)
			continue;
		/*
		 * Also if a draining worker is no longer listed: its entry
		 * expires while a partition keeps it from the store.
		 */
		if (s->now_us > w->lease_end_us)
			requeue_lost_tasks(s, w, LOSS_LEASE_OVER, "lease-over");
		else
			sched_check_lease_at(s, w->lease_end_us);
	}
}
