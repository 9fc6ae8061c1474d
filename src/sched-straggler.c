#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "counter.h"
#include "log.h"
#include "sched-internal.h"

/*
 * Load pattern: the last tasks of a step run on a worker that is several times
 * slower than others for some seconds, and all that depends on the step waits
 * for them. Feeds the reports into the estimates of sched-speed.h, and moves
 * tasks that would end sooner elsewhere. A task that is merely long stays.
 */

/* A successor knows the rates of runs and siblings only after some reports. */
#define LEARN_US 2000000u
/* Throttle orders show in reports that are requested after this time. */
#define THROTTLE_SHOWS_US 1000000u
/* Searches for tasks to move. */
#define MOVE_INTERVAL_US 100000u
/* Moves that are considered in one search. */
#define MOVES_CONSIDERED 32u
/* A task that was moved this often stays: its worker is not the cause. */
#define TASK_MOVES_MAX 2u
/* Reports come up to 2 s apart; a worker without one is silent, not slow. */
#define REPORT_AGE_MAX_US 2500000u
/* Siblings that are read for a median. */
#define SIBLINGS_READ_MAX 128u

static bool enabled(const struct sched *s)
{
	return s->settings.slow_workers == SCHED_SLOW_AVOID;
}

/* Members of a gang have one rate; services have no progress. */
static bool is_comparable(const struct job_step *step)
{
	return !step->long_running && !step->gang &&
	       step->count > SPEED_SIBLINGS_MIN;
}

/* Whether the task's run had its full share of CPU. */
static bool has_full_share(const struct sched *s, const struct sched_worker *w,
			   const struct sched_task *t)
{
	return !w->speed_disturbed && !w->over_target_since_us &&
	       s->now_us >= w->throttled_us + THROTTLE_SHOWS_US &&
	       (t->cpu_percent == 100 || !sched_task_step(s, t)->best_effort);
}

/* Whether batch tasks are throttled, or share less CPU than they request. */
static bool is_disturbed(const struct sched *s, const struct sched_worker *w)
{
	if (sched_best_effort_cpu_left(w) < 0)
		return true;
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker)
		if (sched_task_step(s, &s->tasks[i])->best_effort &&
		    s->tasks[i].cpu_percent < 100)
			return true;
	return false;
}

/* Median rate of siblings on other workers in the same relation to the rack. */
static float siblings_rate(const struct sched *s, const struct sched_task *t)
{
	const struct sched_task *first = t - t->index;
	uint32_t count = sched_task_step(s, t)->count;
	float rates[SPEED_SIBLINGS_MAX];
	uint32_t n = 0, i = t->index;

	for (uint32_t k = 1;
	     k < count && k <= SIBLINGS_READ_MAX && n < SPEED_SIBLINGS_MAX;
	     k++) {
		const struct run_speed *r;

		i = i + 1 < count ? i + 1 : 0;
		r = &first[i].speed;
		if (r->mean_rate > 0 && r->far == t->speed.far &&
		    r->worker != t->worker)
			rates[n++] = r->mean_rate;
	}
	return speed_median(rates, n);
}

/*
 * The first observation of a run. One that this owner started without a
 * checkpoint was at 0 when its start was confirmed; otherwise the progress at
 * its start is not known.
 */
static void begin_run(struct sched *s, struct sched_task *t, uint32_t percent)
{
	const struct job_step *step = sched_task_step(s, t);
	bool far = *step->rack &&
		   !sched_worker_has_label(&s->workers[t->worker], step->rack);
	bool from_start = t->state == TASK_RUNNING && t->confirmed &&
			  t->state_since_us < s->now_us &&
			  (t->run == 1 || !*t->checkpoint);

	run_speed_begin(&t->speed, t->run, t->worker, far,
			from_start ? t->state_since_us : s->now_us,
			from_start ? 0 : percent);
}

/* What ran while the worker was silent ended at an unknown time. */
static bool was_silent(const struct sched *s, const struct sched_worker *w)
{
	return s->now_us > w->reported_us + REPORT_AGE_MAX_US;
}

static void observe(struct sched *s, struct sched_task *t, uint32_t percent)
{
	struct sched_worker *w = &s->workers[t->worker];
	struct speed_window window;

	if (t->speed.run != t->run)
		begin_run(s, t, percent);
	if (was_silent(s, w) || !has_full_share(s, w, t)) {
		run_speed_skip(&t->speed, s->now_us, percent);
		return;
	}
	if (s->now_us < t->speed.window_us + SPEED_WINDOW_MIN_US)
		return;
	if (run_speed_observe(&t->speed, s->now_us, percent,
			      siblings_rate(s, t), w->speed.slow, &window))
		worker_speed_observe(&w->speed,
				     (uint32_t)(t - s->tasks) - t->index,
				     &window);
}

static void note_checkpoint(struct sched_task *t)
{
	uint32_t tag;

	if (!*t->checkpoint)
		return;
	tag = (uint32_t)XXH64(t->checkpoint, strlen(t->checkpoint), 0) | 1;
	if (tag == t->speed.checkpoint_tag)
		return;
	t->speed.checkpoint_tag = tag;
	t->speed.checkpoint_percent = t->progress_percent;
}

static void log_slowness(const struct sched *s, const struct sched_worker *w)
{
	if (w->speed.slow)
		log_event(LOG_INFO, "worker-slow",
			  "worker=%s slowness_percent=%u", w->identity->id,
			  (uint32_t)(100 * worker_speed_slowness(&w->speed,
								 s->now_us)));
	else
		log_event(LOG_INFO, "worker-no-longer-slow",
			  "worker=%s after_ms=%llu", w->identity->id,
			  (unsigned long long)(s->now_us -
					       w->speed.slow_since_us) /
				  1000);
}

static void add_slow_worker(struct sched *s, uint32_t worker)
{
	if (s->slow_count == s->slow_capacity) {
		s->slow_capacity = s->slow_capacity * 2 + 16;
		s->slow =
			xrealloc(s->slow, s->slow_capacity * sizeof(*s->slow));
	}
	s->slow[s->slow_count++] = worker;
	counter_add(counter_get(COUNTER, "waxwing_worker_slow_total", NULL), 1);
}

void sched_speed_reported(struct sched *s, uint32_t worker)
{
	struct sched_worker *w = &s->workers[worker];

	if (!enabled(s))
		return;
	w->speed_disturbed = is_disturbed(s, w);
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];

		if (t->state != TASK_RUNNING ||
		    t->listed_in != w->report_number ||
		    !is_comparable(sched_task_step(s, t)))
			continue;
		observe(s, t, t->progress_percent);
		note_checkpoint(t);
	}
	/* sched_speed_tick() notes that it is no longer slow. */
	if (w->speed.slow || !worker_speed_update(&w->speed, s->now_us))
		return;
	add_slow_worker(s, worker);
	log_slowness(s, w);
}

/*
 * Whether the duration is a property of the run or of the task: copies of
 * speculative steps would help only in the first case.
 */
static void log_rates(const struct sched *s, const struct sched_task *t)
{
	const struct run_speed *r = &t->speed;

	if (r->mean_rate <= 0 || r->former_rate <= 0 || r->run != t->run)
		return;
	log_event(LOG_INFO, "task-rates",
		  "job=%s step=%u index=%u run=%u worker=%s rate_milli=%u "
		  "former_run=%u former_worker=%s former_rate_milli=%u "
		  "siblings_rate_milli=%u",
		  s->jobs[t->job].spec.id, t->step, t->index, r->run,
		  s->workers[r->worker].identity->id,
		  (uint32_t)(r->mean_rate * 1000), r->former_run,
		  s->workers[r->former_worker].identity->id,
		  (uint32_t)(r->former_rate * 1000),
		  (uint32_t)(siblings_rate(s, t) * 1000));
}

void sched_speed_ended(struct sched *s, struct sched_task *t,
		       enum sched_end reason)
{
	if (!enabled(s) || !is_comparable(sched_task_step(s, t)))
		return;
	if (reason == SCHED_END_DONE && t->state == TASK_RUNNING)
		observe(s, t, 100);
	log_rates(s, t);
}

/* ---- moves ---- */

struct move {
	struct sched_task *task;
	bool awaited; /* other steps depend on its step */
	struct speed_forecast forecast;
};

static bool is_awaited(const struct job *j, uint32_t step)
{
	for (uint32_t i = step + 1; i < j->spec.step_count; i++)
		if (j->spec.steps[i].depends_on >> step & 1)
			return true;
	return false;
}

static bool may_move(const struct sched *s, const struct sched_worker *w,
		     const struct sched_task *t)
{
	const struct job_step *step = sched_task_step(s, t);

	return is_comparable(step) && t->state == TASK_RUNNING &&
	       t->confirmed && t->speed.run == t->run && t->speed.rate > 0 &&
	       t->speed.moves < TASK_MOVES_MAX && !t->on_probation &&
	       t->listed_in == w->report_number && has_full_share(s, w, t) &&
	       s->jobs[t->job].state < SCHED_JOB_COMPLETED;
}

static bool comes_before(const struct move *a, const struct move *b)
{
	if (a->awaited != b->awaited)
		return a->awaited;
	return a->forecast.stay_ms - a->forecast.move_ms >
	       b->forecast.stay_ms - b->forecast.move_ms;
}

/* Keeps the first MOVES_CONSIDERED in order. */
static void add_move(struct move list[MOVES_CONSIDERED], uint32_t *count,
		     const struct move *m)
{
	uint32_t i =
		*count < MOVES_CONSIDERED ? (*count)++ : MOVES_CONSIDERED - 1;

	if (i == MOVES_CONSIDERED - 1 && list[i].task &&
	    !comes_before(m, &list[i]))
		return;
	for (; i && comes_before(m, &list[i - 1]); i--)
		list[i] = list[i - 1];
	list[i] = *m;
}

static void list_moves(struct sched *s, const struct sched_worker *w,
		       struct move list[MOVES_CONSIDERED], uint32_t *count)
{
	for (uint32_t i = w->first_task; i != SCHED_NONE;
	     i = s->tasks[i].next_on_worker) {
		struct sched_task *t = &s->tasks[i];
		struct speed_move m;
		struct move found = { .task = t };

		if (!may_move(s, w, t))
			continue;
		m = (struct speed_move){
			.rate = t->speed.rate,
			.slowness = worker_speed_slowness(&w->speed, s->now_us),
			.percent = t->progress_percent,
			.restart_percent = *t->checkpoint
						   ? t->speed.checkpoint_percent
						   : 0,
		};
		if (!speed_move_pays(&m, &found.forecast))
			continue;
		found.awaited = is_awaited(&s->jobs[t->job], t->step);
		add_move(list, count, &found);
	}
}

static void reserve(struct sched *s, uint32_t worker,
		    const struct job_step *step)
{
	struct resources *reserved = &s->workers[worker].reserved;

	if (!step->best_effort)
		reserved->cpu_milli += step->demand.cpu_milli;
	reserved->memory_mb += step->demand.memory_mb;
	reserved->accelerators += step->demand.accelerators;
	sched_update_room(s, worker);
}

void sched_reserve_for_moves(struct sched *s)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < s->move_count; i++) {
		struct sched_move m = s->moves[i];
		const struct sched_task *t = &s->tasks[m.task];

		if (t->state != TASK_STOPPING || t->run != m.run)
			continue;
		reserve(s, m.worker, sched_task_step(s, t));
		s->moves[kept++] = m;
	}
	s->move_count = kept;
}

/* Moves the task if another worker has room for it. */
static void move_task(struct sched *s, const struct move *m)
{
	struct sched_task *t = m->task;
	const struct job *j = &s->jobs[t->job];
	const struct job_step *step = sched_task_step(s, t);
	const struct sched_worker *w = &s->workers[t->worker];
	uint32_t best = sched_best_worker(
		s, j, t, *step->rack && !t->speed.far ? step->rack : NULL,
		false);

	if (best == SCHED_NONE || best == t->worker ||
	    s->workers[best].speed.slow ||
	    !speed_budget_take(&s->move_budget, s->listed_count, s->now_us))
		return;
	reserve(s, best, step);
	s->moves[s->move_count++] = (struct sched_move){
		.task = (uint32_t)(t - s->tasks), .run = t->run, .worker = best
	};
	t->speed.moves++;
	s->stats.moves++;
	counter_add(counter_get(COUNTER, "waxwing_tasks_moved_total", NULL), 1);
	log_event(LOG_INFO, "task-moved",
		  "job=%s step=%u index=%u run=%u worker=%s "
		  "slowness_percent=%u progress=%u checkpoint_progress=%u "
		  "stay_ms=%u move_ms=%u awaited=%d to=%s",
		  j->spec.id, t->step, t->index, t->run, w->identity->id,
		  (uint32_t)(100 * worker_speed_slowness(&w->speed, s->now_us)),
		  t->progress_percent, t->speed.checkpoint_percent,
		  m->forecast.stay_ms, m->forecast.move_ms, m->awaited,
		  s->workers[best].identity->id);
	sched_task_stop(s, t);
}

static void update_slow_workers(struct sched *s)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < s->slow_count; i++) {
		struct sched_worker *w = &s->workers[s->slow[i]];

		if (worker_speed_update(&w->speed, s->now_us))
			log_slowness(s, w);
		if (w->speed.slow)
			s->slow[kept++] = s->slow[i];
	}
	s->slow_count = kept;
}

void sched_move_stragglers(struct sched *s)
{
	struct move list[MOVES_CONSIDERED] = { 0 };
	uint32_t count = 0;

	if (!s->slow_count || s->now_us < s->move_check_us)
		return;
	s->move_check_us = s->now_us + MOVE_INTERVAL_US;
	update_slow_workers(s);
	if (s->now_us < s->created_us + LEARN_US)
		return;
	for (uint32_t i = 0; i < s->slow_count; i++) {
		const struct sched_worker *w = &s->workers[s->slow[i]];

		if (w->responsive && w->listed && !w->draining &&
		    !w->entry_outdated && !was_silent(s, w))
			list_moves(s, w, list, &count);
	}
	for (uint32_t i = 0; i < count && s->move_count < SCHED_MOVES_MAX; i++)
		move_task(s, &list[i]);
}

int64_t sched_slow_penalty(const struct sched *s, const struct sched_worker *w)
{
	return w->speed.slow ? worker_speed_penalty(&w->speed, s->now_us) : 0;
}
