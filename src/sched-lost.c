#include <stdlib.h>

#include "log.h"
#include "sched-internal.h"
#include "sched-lost.h"

/*
 * Load pattern: workers are silent until their leases are over, again and
 * again, some of them because a task has crashed them. A silent worker that is
 * back as it was has ended its runs as lapsed; one that comes back as another
 * incarnation has crashed. Until either is known, a lost run counts as a loss
 * of its task, but fails no job by itself. That of a worker which is still
 * listed is not among the losses before.
 *
 * A worker that is back under another id has the address that it had. A new
 * owner reads the address from the records of the tasks, as such a worker is
 * not listed any more.
 */

#define CHECK_INTERVAL_US 200000u
/* A worker that a task has crashed starts again within this time. */
#define RESTART_MAX_MS 10000u
/* The same, from the crash, for runs that a predecessor has lost. */
#define INHERITED_MS 20000u
/* The largest tag is one less. */
#define INCARNATION_TAGS (1u << 27)

/*
 * A run that ended with the leases of a silent worker, or the last such run
 * that a predecessor has not resolved.
 */
struct lost_run {
	char task[SCHED_TASK_NAME_BYTES];
	uint32_t run;
	uint32_t worker;	 /* SCHED_NONE: only the predecessor knew it */
	uint32_t incarnation;	 /* tag; 0: unknown */
	uint16_t address_tag;	 /* of the worker; 0: unknown */
	bool unresolved;	 /* not among the task's restarts ... */
	bool counted;		 /* ... but among its losses */
	uint64_t lapsed_wall_ms; /* may have lapsed since then */
};

uint32_t sched_incarnation_tag(uint64_t started_wall_ms)
{
	return started_wall_ms ? 1 + (uint32_t)(started_wall_ms %
						(INCARNATION_TAGS - 1))
			       : 0;
}

/* Since when the leases that the worker has may have been over. */
static uint64_t lapsed_wall_ms(const struct sched *s,
			       const struct sched_worker *w)
{
	uint64_t lapsed_us = w->heard_us + s->settings.lease_max_ms * 1000ull;

	if (!w->heard_us || lapsed_us > s->now_us)
		return s->wall_ms;
	return s->wall_ms - (s->now_us - lapsed_us) / 1000;
}

static struct lost_run *add(struct sched *s, const struct sched_task *t)
{
	struct lost_run *l;

	if (s->lost_run_count == s->lost_run_capacity) {
		s->lost_run_capacity = 2 * s->lost_run_capacity + 16;
		s->lost_runs =
			xrealloc(s->lost_runs,
				 s->lost_run_capacity * sizeof(*s->lost_runs));
	}
	l = &s->lost_runs[s->lost_run_count++];
	sched_task_name(s, t, l->task);
	l->run = t->run;
	l->incarnation = t->incarnation;
	return l;
}

static void forget(struct sched *s, uint32_t i)
{
	if (s->lost_runs[i].worker != SCHED_NONE)
		s->workers[s->lost_runs[i].worker].lost_runs--;
	s->lost_runs[i] = s->lost_runs[--s->lost_run_count];
}

/* The task of a lost run that still counts, or NULL. */
static struct sched_task *find_task(struct sched *s, const struct lost_run *l)
{
	struct sched_task *t = sched_task_find(s, l->task);

	if (!t || t->state == TASK_DONE || t->run < l->run ||
	    t->survived_run >= l->run ||
	    s->jobs[t->job].state >= SCHED_JOB_COMPLETED)
		return NULL;
	return t;
}

/* Whether it was silent from the election on, and its entry is gone. */
static bool is_unknown(const struct sched_worker *w)
{
	return !w->listed && !w->heard_us;
}

/*
 * Whether a listed worker may be the next incarnation, under another id, of one
 * that lapsed then.
 */
static bool may_follow(const struct sched *s, uint32_t next, uint32_t former,
		       uint64_t lapsed_ms)
{
	const struct sched_worker *w = &s->workers[next];
	const struct sched_worker *f = &s->workers[former];

	if (next == former || !w->listed || !f->address_tag ||
	    f->address_tag != w->address_tag)
		return false;
	return w->announced_wall_ms < lapsed_ms + RESTART_MAX_MS &&
	       lapsed_ms < w->announced_wall_ms + RESTART_MAX_MS;
}

static bool has_follower(const struct sched *s, uint32_t former,
			 uint64_t lapsed_ms)
{
	for (uint32_t i = 0; i < s->worker_count; i++)
		if (may_follow(s, i, former, lapsed_ms))
			return true;
	return false;
}

/*
 * Whether the worker went silent as the start of a finite task reached it. Such
 * a job is late after a few losses, and is given up even if no worker is back.
 */
static bool silent_since_start(const struct sched *s,
			       const struct sched_task *t)
{
	return !t->confirmed && t->state != TASK_UNCONFIRMED &&
	       !sched_task_step(s, t)->long_running;
}

/* Whether the incarnation that the task's run was started on has ended. */
static bool has_restarted(const struct sched *s, const struct sched_worker *w,
			  const struct sched_task *t)
{
	uint32_t announced = sched_incarnation_tag(w->announced_wall_ms);

	if (announced && t->incarnation && announced != t->incarnation)
		return true;
	return is_unknown(w) &&
	       has_follower(s, t->worker, lapsed_wall_ms(s, w));
}

bool sched_lost_silent(struct sched *s, struct sched_task *t)
{
	struct sched_worker *w = &s->workers[t->worker];
	struct lost_run *l;
	bool restarted, counted;

	if (!sched_may_have_run(t))
		return false;
	restarted = has_restarted(s, w, t) || silent_since_start(s, t);
	counted = restarted || !w->listed;
	l = add(s, t);
	l->counted = counted;
	l->worker = t->worker;
	l->address_tag = w->address_tag;
	l->unresolved = !restarted;
	l->lapsed_wall_ms = lapsed_wall_ms(s, w);
	w->lost_runs++;
	if (!counted)
		return sched_crash_silence(s, t);
	if (!restarted)
		t->lost_address = w->address_tag;
	return sched_crash_possible(s, t, restarted, "lease-over");
}

void sched_lost_inherited(struct sched *s, const struct sched_task *t)
{
	struct lost_run *l;

	if (t->losses <= t->restarts || !t->lost_address)
		return;
	l = add(s, t);
	l->worker = SCHED_NONE;
	l->address_tag = t->lost_address;
	l->unresolved = true;
	l->counted = true;
	l->lapsed_wall_ms = 0;
}

bool sched_lost_absent(struct sched *s, struct sched_task *t)
{
	const struct sched_worker *w = &s->workers[t->worker];

	/* Then the predecessor was lost before it sent the start. */
	if (t->incarnation &&
	    t->incarnation == sched_incarnation_tag(w->started_wall_ms))
		return false;
	if (t->leaving)
		return false;
	return sched_may_have_run(t) &&
	       sched_crash_possible(s, t, true, "absent");
}

/* Whether the run had lapsed before its incarnation of the worker ended. */
static bool has_lapsed(const struct lost_run *l, uint64_t started_wall_ms)
{
	return sched_incarnation_tag(started_wall_ms) == l->incarnation ||
	       started_wall_ms > l->lapsed_wall_ms + RESTART_MAX_MS;
}

/* A successor has nothing to resolve. */
static void forget_address(struct sched_task *t, const struct lost_run *l)
{
	if (t->lost_address == l->address_tag)
		t->lost_address = 0;
}

/* Returns whether the job must fail. */
static bool resolve(struct sched *s, struct sched_task *t,
		    const struct lost_run *l, uint64_t started_wall_ms)
{
	bool lapsed = has_lapsed(l, started_wall_ms);

	forget_address(t, l);
	/* The record of an earlier version has no tag to compare. */
	if (!l->incarnation)
		return false;
	log_event(LOG_INFO, "task-loss-resolved",
		  "task=%s run=%u worker=%s how=%s", l->task, l->run,
		  s->workers[l->worker].identity->id,
		  lapsed ? "lapsed" : "restarted");
	if (!lapsed)
		return l->unresolved && sched_crash_confirmed(s, t, l->counted);
	sched_crash_disproved(s, t, !l->unresolved, l->counted);
	return false;
}

void sched_lost_resolve(struct sched *s, uint32_t worker,
			uint64_t started_wall_ms)
{
	s->workers[worker].replaced = false;
	for (uint32_t i = s->lost_run_count;
	     i-- > 0 && s->workers[worker].lost_runs;) {
		struct lost_run l = s->lost_runs[i];
		struct sched_task *t;

		if (l.worker != worker)
			continue;
		forget(s, i);
		t = find_task(s, &l);
		if (t && resolve(s, t, &l, started_wall_ms))
			sched_end_job(s, &s->jobs[t->job], SCHED_JOB_FAILED);
	}
}

/* Counts a restart among the unresolved losses. */
static void confirm(struct sched *s, struct lost_run *l)
{
	struct sched_task *t = find_task(s, l);

	if (!t)
		return;
	forget_address(t, l);
	if (sched_crash_confirmed(s, t, l->counted))
		sched_end_job(s, &s->jobs[t->job], SCHED_JOB_FAILED);
	l->unresolved = false;
	l->counted = true;
}

void sched_lost_replaced(struct sched *s, uint32_t worker)
{
	s->workers[worker].replaced = true;
	for (uint32_t i = 0; i < s->lost_run_count; i++) {
		struct lost_run *l = &s->lost_runs[i];

		if (l->worker == worker && l->unresolved &&
		    has_follower(s, worker, l->lapsed_wall_ms))
			confirm(s, l);
	}
}

/* Whether the worker, which has just started, shows a loss to be a crash. */
static bool shows_crash(const struct sched *s, uint32_t worker,
			const struct lost_run *l)
{
	const struct sched_worker *w = &s->workers[worker], *former;

	if (!l->unresolved || !w->listed)
		return false;
	if (l->worker == SCHED_NONE)
		return l->address_tag == w->address_tag &&
		       s->wall_ms < w->announced_wall_ms + INHERITED_MS;
	former = &s->workers[l->worker];
	return (is_unknown(former) || former->replaced) &&
	       may_follow(s, worker, l->worker, l->lapsed_wall_ms);
}

static void note_start(struct sched *s, uint32_t worker)
{
	for (uint32_t i = 0; i < s->lost_run_count; i++)
		if (shows_crash(s, worker, &s->lost_runs[i]))
			confirm(s, &s->lost_runs[i]);
}

void sched_lost_tick(struct sched *s)
{
	if (s->now_us < s->lost_check_us)
		return;
	s->lost_check_us = s->now_us + CHECK_INTERVAL_US;
	for (uint32_t i = s->lost_run_count; i-- > 0;)
		if (!find_task(s, &s->lost_runs[i]))
			forget(s, i);
	for (uint32_t i = 0; s->lost_run_count && i < s->worker_count; i++) {
		if (s->workers[i].start_noted)
			continue;
		s->workers[i].start_noted = true;
		note_start(s, i);
	}
}
