#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: a task crashes each worker that starts it, and the other tasks
 * there lose their runs. Without a bound one such task takes down worker after
 * worker; a bound on all tasks of a crashed worker gives up sound ones.
 *
 * A crash is therefore counted for the tasks that started there after the last
 * report. Their next run is a probation: on the worker with the least to lose,
 * where no other task starts until this one has run for longer than before the
 * crash. Then the suspicion is dropped; if the worker crashes instead, the job
 * fails. Where workers are short, only a task that is suspected twice waits for
 * a probation. A task that crashes its workers late is covered by a count of
 * all crashes.
 *
 * Or many workers crash at once, again and again, for a cause of their own. All
 * tasks would be suspected, and wait for few probations. Such crashes raise no
 * suspicion, but are counted, as a task may crash its workers meanwhile.
 */

/* A task that a report lists this long after its start did not crash there. */
#define SURVIVAL_US 1000000u
/* A task that crashes its workers later than this after its start is missed. */
#define AGE_MAX_US 4000000u
/* Suspicions that fail a job if the last run was a probation ... */
#define SUSPICIONS_PROBATION_MAX 2u
/* ... and if other tasks had just started there, too. */
#define SUSPICIONS_MAX 3u
/* The platform lets a job fail after this many crashes under its task. */
#define CRASHES_MIN 2u
/*
 * It allows five starts. So many lost runs fail the job if enough of their
 * workers restarted: others may have been silent only.
 */
#define LOST_RUNS_MAX 5u
/* Lost runs after which a task is on probation whatever else ran there. */
#define LOST_RUNS_PROBATION 3u
/* Probations at a time: a part of the workers, fewer if there are many. */
#define PROBATIONS_FEW 8u
#define WORKERS_PER_PROBATION 8u
#define WORKERS_PER_PROBATION_FEW 2u
/*
 * Delay of the next start for each suspicion. When many workers crash at once,
 * the first starts go to workers that have crashed, too, and do not show it.
 */
#define RETRY_DELAY_MS 300u
/*
 * As many workers crash within the time for a cause that they share: at least
 * these, and this part of those that are up or have just crashed.
 */
#define MASS_CRASH_US 2000000u
#define MASS_CRASH_MIN 4u
#define MASS_CRASH_PART 4u
/* A worker that has just restarted may crash again by itself. */
#define RESTARTED_MS 10000u
/* Penalties in the score for a probation, in thousandths of all CPU. */
#define PENALTY_NEW_TASK 2000
#define PENALTY_RESTARTED 100000

static bool may_have_run(const struct sched_task *t)
{
	return t->state == TASK_STARTING || t->state == TASK_RUNNING ||
	       t->state == TASK_STOPPING || t->state == TASK_UNCONFIRMED;
}

/* Its run was known before the stop, or the stop is executed. */
static bool ran_before_stop(const struct sched_task *t)
{
	return t->state == TASK_STOPPING &&
	       (!t->stopped_at_start || t->confirmed);
}

/* How long the task is known to have run. */
static uint64_t known_age_us(const struct sched_worker *w,
			     const struct sched_task *t)
{
	if (!t->confirmed || t->state == TASK_UNCONFIRMED ||
	    w->heard_us < t->state_since_us)
		return 0;
	return w->heard_us - t->state_since_us;
}

static uint32_t lost_runs(const struct sched_task *t)
{
	return t->crashes + t->losses;
}

static bool is_out_of_starts(const struct sched_task *t)
{
	return lost_runs(t) + t->silences >= LOST_RUNS_MAX &&
	       t->crashes + t->restarts >= CRASHES_MIN;
}

/* Run time after which a crash has another cause than the task. */
static uint64_t survival_us(const struct sched_task *t)
{
	bool by_count = t->on_probation && lost_runs(t) >= LOST_RUNS_PROBATION;

	return (by_count ? t->lost_age_us : t->suspect_age_us) + SURVIVAL_US;
}

/* How likely it is that the task caused a crash that happens now. */
enum suspicion {
	SUSPICION_NONE,
	SUSPICION_ANY,	     /* ran there */
	SUSPICION_PROBATION, /* was expected to crash the worker */
	SUSPICION_NEW,	     /* started after the last report */
};

static enum suspicion suspicion_of(const struct sched_worker *w,
				   const struct sched_task *t)
{
	uint64_t age_us = known_age_us(w, t);

	if (!may_have_run(t))
		return SUSPICION_NONE;
	if (ran_before_stop(t))
		return SUSPICION_ANY;
	if (!age_us)
		return SUSPICION_NEW;
	return t->on_probation && age_us < survival_us(t) ? SUSPICION_PROBATION
							  : SUSPICION_ANY;
}

/*
 * Whether the end of its worker was no crash under the task: the first report
 * after it lists the run, or the worker had said that it would exit.
 */
static bool is_unaffected(const struct sched_worker *w,
			  const struct sched_task *t)
{
	return t->leaving || t->listed_in == w->report_number;
}

/* The highest suspicion of a task on the worker; count: of how many tasks. */
static enum suspicion highest_suspicion(const struct sched *s,
					const struct sched_worker *w,
					bool crashed, uint32_t *count)
{
	enum suspicion highest = SUSPICION_NONE;

	*count = 0;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		enum suspicion of = suspicion_of(w, &s->tasks[i]);

		if (crashed && is_unaffected(w, &s->tasks[i]))
			continue;
		if (of > highest) {
			highest = of;
			*count = 0;
		}
		*count += of == highest;
	}
	return highest;
}

static uint32_t count_new(const struct sched *s, const struct sched_worker *w)
{
	uint32_t count;

	return highest_suspicion(s, w, false, &count) == SUSPICION_NEW ? count
								       : 0;
}

/* Bounded, so that a probation does not last longer. */
static void extend(uint64_t *age_us, uint64_t to_us)
{
	if (to_us > AGE_MAX_US)
		to_us = AGE_MAX_US;
	if (to_us > *age_us)
		*age_us = to_us;
}

static void increment(uint8_t *n)
{
	if (*n < SCHED_CRASH_COUNT_MAX)
		++*n;
}

/*
 * Whether the task ran when its worker crashed: it was started, and its lease
 * cannot have ended since the last report.
 */
static bool ran_at_crash(const struct sched *s, const struct sched_worker *w,
			 const struct sched_task *t)
{
	return t->state == TASK_RUNNING && t->confirmed &&
	       s->now_us < w->heard_us + s->settings.lease_max_ms * 1000ull;
}

static const char *worker_id(const struct sched *s, const struct sched_task *t)
{
	return t->worker == SCHED_NONE ? "-"
				       : s->workers[t->worker].identity->id;
}

static void log_loss(const struct sched *s, const struct sched_task *t,
		     const char *why)
{
	log_event(LOG_INFO, "task-run-lost",
		  "job=%s step=%u index=%u run=%u worker=%s why=%s crashes=%u "
		  "suspicions=%u losses=%u restarts=%u",
		  s->jobs[t->job].spec.id, t->step, t->index, t->run,
		  worker_id(s, t), why, t->crashes, t->suspicions, t->losses,
		  t->restarts);
}

static void log_suspect(const struct sched *s, const struct sched_task *t,
			uint64_t age_us, bool sole, bool fails)
{
	log_event(fails ? LOG_WARNING : LOG_INFO,
		  fails ? "task-given-up" : "task-suspected",
		  "job=%s step=%u index=%u run=%u worker=%s age_ms=%llu "
		  "crashes=%u suspicions=%u losses=%u restarts=%u "
		  "probation=%d sole=%d",
		  s->jobs[t->job].spec.id, t->step, t->index, t->run,
		  worker_id(s, t), (unsigned long long)age_us / 1000,
		  t->crashes, t->suspicions, t->losses, t->restarts,
		  t->on_probation, sole);
}

/* sole: no other task is as likely. Returns whether the job fails. */
static bool suspect(struct sched *s, const struct sched_worker *w,
		    struct sched_task *t, bool sole)
{
	uint64_t age_us = known_age_us(w, t);
	bool decisive, fails;

	increment(&t->suspicions);
	decisive = t->suspicions >= SUSPICIONS_MAX ||
		   (sole && t->on_probation &&
		    (t->suspicions >= SUSPICIONS_PROBATION_MAX ||
		     lost_runs(t) > LOST_RUNS_PROBATION));
	fails = (decisive && t->crashes >= CRASHES_MIN) || is_out_of_starts(t);
	extend(&t->suspect_age_us, age_us);
	log_suspect(s, t, age_us, sole, fails);
	return fails;
}

/* Takes back the suspicions of the last crashes, which were many. */
static void drop_suspicions(struct sched *s)
{
	for (uint32_t i = 0; i < s->task_count; i++) {
		struct sched_task *t = &s->tasks[i];

		if (!t->crashed_us || !s->jobs[t->job].used ||
		    s->now_us > t->crashed_us + MASS_CRASH_US)
			continue;
		t->crashed_us = 0;
		t->lost_age_us = t->former_lost_age_us;
		if (t->last_crash_suspected)
			t->suspicions -= t->suspicions > 0;
		sched_mark_dirty(s, &s->jobs[t->job]);
		if (!sched_needs_probation(t))
			sched_end_probation(s, t);
	}
}

static bool in_mass_crash(const struct sched *s)
{
	return s->mass_crash_us &&
	       s->now_us <= s->mass_crash_us + MASS_CRASH_US;
}

/* Whether as many workers have just crashed, of those that were up. */
static bool many_crashed(const struct sched *s)
{
	uint32_t crashed = 0, up = 0;

	for (uint32_t i = 0; i < s->worker_count; i++) {
		const struct sched_worker *w = &s->workers[i];

		if (w->crashed_us && s->now_us <= w->crashed_us + MASS_CRASH_US)
			crashed++;
		else
			up += w->listed && (w->responsive || !w->heard_us);
	}
	return crashed >= MASS_CRASH_MIN &&
	       crashed * MASS_CRASH_PART >= crashed + up;
}

static bool has_affected_task(const struct sched *s,
			      const struct sched_worker *w)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (!s->tasks[i].leaving)
			return true;
	return false;
}

/* Whether the crash that is observed now is one of many. */
static bool is_mass_crash(struct sched *s, struct sched_worker *w)
{
	bool was_known = in_mass_crash(s);

	/* It is learnt again and again while its entry is listed. */
	if (!has_affected_task(s, w))
		return false;
	w->crashed_us = s->now_us;
	if (!many_crashed(s))
		return was_known;
	s->mass_crash_us = s->now_us;
	if (!was_known) {
		log_event(LOG_INFO, "workers-crash-together", "worker=%s",
			  w->identity->id);
		drop_suspicions(s);
	}
	return true;
}

uint32_t sched_crash_observed(struct sched *s, struct sched_worker *w)
{
	uint32_t failed_job = SCHED_NONE, count;
	enum suspicion highest = highest_suspicion(s, w, true, &count);
	bool mass = is_mass_crash(s, w);

	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		bool ran;

		if (!may_have_run(t) || is_unaffected(w, t))
			continue;
		ran = ran_at_crash(s, w, t);
		if (ran) {
			increment(&t->crashes);
		} else {
			increment(&t->losses);
			increment(&t->restarts);
		}
		log_loss(s, t, ran ? "crashed" : "restarted");
		s->jobs[t->job].has_suspect = true;
		sched_mark_dirty(s, &s->jobs[t->job]);
		if (mass) {
			if (is_out_of_starts(t)) {
				log_suspect(s, t, 0, false, true);
				failed_job = t->job;
			}
			continue;
		}
		t->crashed_us = s->now_us;
		t->former_lost_age_us = t->lost_age_us;
		t->last_crash_suspected = suspicion_of(w, t) == highest;
		extend(&t->lost_age_us, known_age_us(w, t));
		if (suspicion_of(w, t) == highest &&
		    suspect(s, w, t, count == 1))
			failed_job = t->job;
	}
	return failed_job;
}

static bool gives_up(const struct sched *s, const struct sched_task *t)
{
	if (!is_out_of_starts(t))
		return false;
	log_suspect(s, t, 0, false, true);
	return true;
}

bool sched_crash_possible(struct sched *s, struct sched_task *t, bool restarted,
			  const char *why)
{
	increment(&t->losses);
	if (restarted)
		increment(&t->restarts);
	log_loss(s, t, why);
	s->jobs[t->job].has_suspect = true;
	sched_mark_dirty(s, &s->jobs[t->job]);
	return gives_up(s, t);
}

bool sched_crash_silence(struct sched *s, struct sched_task *t)
{
	increment(&t->silences);
	log_loss(s, t, "lease-over");
	return gives_up(s, t);
}

bool sched_crash_confirmed(struct sched *s, struct sched_task *t, bool counted)
{
	if (!counted) {
		t->silences -= t->silences > 0;
		increment(&t->losses);
		s->jobs[t->job].has_suspect = true;
	}
	increment(&t->restarts);
	sched_mark_dirty(s, &s->jobs[t->job]);
	return gives_up(s, t);
}

void sched_crash_disproved(struct sched *s, struct sched_task *t,
			   bool restarted, bool counted)
{
	if (!counted) {
		t->silences -= t->silences > 0;
		return;
	}
	t->losses -= t->losses > 0;
	t->restarts -= restarted && t->restarts > 0;
	sched_mark_dirty(s, &s->jobs[t->job]);
	if (!sched_needs_probation(t))
		sched_end_probation(s, t);
}

bool sched_may_have_run(const struct sched_task *t)
{
	return may_have_run(t) && !ran_before_stop(t);
}

uint32_t sched_crash_delay_ms(const struct sched_task *t)
{
	return t->suspicions * RETRY_DELAY_MS;
}

bool sched_needs_probation(const struct sched_task *t)
{
	return t->suspicions || lost_runs(t) >= LOST_RUNS_PROBATION;
}

bool sched_probation_required(const struct sched_task *t)
{
	return t->suspicions >= SUSPICIONS_PROBATION_MAX ||
	       lost_runs(t) >= LOST_RUNS_PROBATION;
}

uint32_t sched_probations_max(const struct sched *s)
{
	uint32_t max = s->listed_count / WORKERS_PER_PROBATION_FEW;

	if (max > PROBATIONS_FEW)
		max = PROBATIONS_FEW;
	if (max < s->listed_count / WORKERS_PER_PROBATION)
		max = s->listed_count / WORKERS_PER_PROBATION;
	return max ? max : 1;
}

bool sched_probation_available(const struct sched *s)
{
	return s->probations < sched_probations_max(s);
}

int64_t sched_probation_score(const struct sched *s,
			      const struct sched_worker *w)
{
	int64_t score = -((int64_t)w->used.cpu_milli + w->best_effort_milli) *
			1000 / ((int64_t)w->capacity.cpu_milli + 1);

	score -= (int64_t)count_new(s, w) * PENALTY_NEW_TASK;
	if (s->wall_ms < w->started_wall_ms + RESTARTED_MS)
		score -= PENALTY_RESTARTED;
	return score;
}

void sched_begin_probation(struct sched *s, struct sched_task *t)
{
	t->on_probation = true;
	s->workers[t->worker].probations++;
	s->probations++;
}

void sched_end_probation(struct sched *s, struct sched_task *t)
{
	if (!t->on_probation)
		return;
	t->on_probation = false;
	s->workers[t->worker].probations--;
	s->probations--;
	s->placement_due = true;
}

void sched_crash_survived(struct sched *s, struct sched_task *t,
			  uint64_t requested_us)
{
	uint64_t age_us;

	if (!(lost_runs(t) + t->silences) || t->state != TASK_RUNNING ||
	    requested_us < t->state_since_us)
		return;
	age_us = requested_us - t->state_since_us;
	if (age_us < survival_us(t))
		return;
	sched_end_probation(s, t);
	/* A successor is not to count them either. */
	if (t->suspicions || age_us >= t->lost_age_us + SURVIVAL_US)
		sched_mark_dirty(s, &s->jobs[t->job]);
	t->suspicions = 0;
	t->suspect_age_us = 0;
	if (age_us < t->lost_age_us + SURVIVAL_US)
		return;
	t->crashes = 0;
	t->losses = 0;
	t->restarts = 0;
	t->silences = 0;
	t->lost_age_us = 0;
	t->survived_run = t->run;
}
