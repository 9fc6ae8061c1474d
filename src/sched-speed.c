#include "sched-speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A window ends with what it has, so that an estimate is not too old. */
#define WINDOW_MAX_US 3000000u
/* Reported progress is in whole percent and up to a tenth wrong. */
#define PROGRESS_ERROR_PERCENT 1.0f
#define PROGRESS_ERROR_RATIO 0.1f
/* A window ends if the progress expected in it is this multiple of the error.
 */
#define WINDOW_ERRORS 2.5f
/*
 * Progress that is missing in a slow window is at least this multiple: at both
 * ends the progress may be wrong.
 */
#define SLOW_ERRORS 2.0f
/* Slowness of a single window is limited to this. */
#define SLOWNESS_MAX 10.0f
/* Slowness from which on a run is slow: siblings differ by 15%, reports by 10%.
 */
#define SLOW_RUN 1.5f
/* Steps of a slow worker show it within two reports, which are 2 s apart. */
#define LONG_TASK_US 1500000u
/* Windows of one step that end within this time are of the same report. */
#define SAME_REPORT_US 500000u
/*
 * Reports come up to 2 s apart. Evidence has its full weight until the next
 * one, and none once a worker may have recovered unobserved.
 */
#define EVIDENCE_FULL_US 1500000u
#define EVIDENCE_END_US 4000000u
/* Steps that must show slowness. */
#define SLOW_STEPS_MIN 2u
/*
 * ... with a total weight; 1 for a run that was slow from its start. With three
 * of those, 7 of 86,400 tasks were moved that were merely long (30 replays).
 */
#define SLOW_WEIGHT_MIN 4u
#define WEIGHT_DROPPED 3u
/*
 * For this long after it became slow, the evidence of a single run suffices for
 * a worker to stay slow: most runs have left it.
 */
#define SLOW_KEPT_US 8000000u
/*
 * A worker becomes slow above the first, and is no longer slow below the
 * second: tasks of a step differ by 15%, reports by 10%.
 */
#define SLOW_BEGIN 1.8f
#define SLOW_END 1.3f
/* Exceeds all preferences among workers for a batch task (sched-place.c). */
#define PENALTY_SLOW 2000
#define PENALTY_SLOWNESS 1000
/*
 * A slow worker is expected to remain so for this long. In the deployments
 * slowness lasts 6 s and is detected 1 to 2 s after it begins.
 */
#define SLOW_EXPECTED_MS 4000.0f
/* A stop (200 to 400 ms), and the next placement with its record. */
#define MOVE_COST_MS 500.0f
/* Of a start from a checkpoint (250 to 600 ms). */
#define RESTART_COST_MS 600.0f
/* A move has to gain this and a quarter of the time: forecasts are imprecise.
 */
#define MOVE_GAIN_MIN_MS 300.0f
#define MOVE_GAIN_RATIO 0.25f
/* Moves per second: one for each so many workers, and at least this many. */
#define WORKERS_PER_MOVE 4u
#define MOVES_MIN 2u
#define MICRO 1000000u

void run_speed_begin(struct run_speed *r, uint32_t run, uint32_t worker,
		     bool far, uint64_t us, uint32_t percent)
{
	if (r->mean_rate > 0) {
		r->former_rate = r->mean_rate;
		r->former_run = r->run;
		r->former_worker = r->worker;
	}
	r->run = run;
	r->worker = worker;
	r->far = far;
	r->begin_us = us;
	r->begin_percent = (uint8_t)percent;
	r->checkpoint_percent = (uint8_t)percent;
	r->window_us = us;
	r->window_percent = (uint8_t)percent;
	/* A moved task whose rate is the same elsewhere is long. */
	r->own_rate = r->moves ? r->rate : 0;
	r->mean_rate = 0;
	r->rate = 0;
	r->slow_us = 0;
	r->was_normal = false;
}

void run_speed_skip(struct run_speed *r, uint64_t us, uint32_t percent)
{
	r->begin_us = us;
	r->begin_percent = (uint8_t)percent;
	r->window_us = us;
	r->window_percent = (uint8_t)percent;
}

/* Rate between two observations; at least what rounding may hide. */
static float rate_of(uint32_t from_percent, uint32_t percent, uint64_t us)
{
	float done = (float)percent - (float)from_percent;

	return fmaxf(done, PROGRESS_ERROR_PERCENT / 2) * 1e6f / (float)us;
}

/* Updates the mean rate unless the error of the progress outweighs it. */
static void update_mean(struct run_speed *r, uint64_t us, uint32_t percent,
			float siblings_rate, float error)
{
	uint64_t length_us = us - r->begin_us;
	float done = (float)percent - (float)r->begin_percent;

	if (length_us >= SPEED_WINDOW_MIN_US &&
	    (done >= error || siblings_rate * (float)length_us / 1e6f >= error))
		r->mean_rate = rate_of(r->begin_percent, percent, length_us);
}

/*
 * Whether the window says something about the worker. That of a long task does
 * only if its rate has become lower.
 */
static bool classify(struct run_speed *r, struct speed_window *w,
		     bool worker_slow)
{
	if (r->own_rate > 0) {
		/* Not a long task: its worker was slow. */
		if (w->slowness < 1 / SLOW_RUN)
			r->own_rate = 0;
		w->dropped = true;
		return w->slowness >= SLOW_RUN;
	}
	w->dropped = r->was_normal && w->slowness >= SLOW_RUN;
	r->was_normal = r->was_normal || w->slowness < SLOW_RUN;
	if (w->slowness < SLOW_RUN || w->dropped || worker_slow) {
		r->slow_us = 0;
		return true;
	}
	if (!r->slow_us)
		r->slow_us = w->end_us;
	if (w->end_us < r->slow_us + LONG_TASK_US)
		return true;
	r->own_rate = r->rate;
	return false;
}

bool run_speed_observe(struct run_speed *r, uint64_t us, uint32_t percent,
		       float siblings_rate, bool worker_slow,
		       struct speed_window *out)
{
	float error =
		PROGRESS_ERROR_PERCENT + PROGRESS_ERROR_RATIO * (float)percent;
	float expected_rate = r->own_rate > 0 ? r->own_rate : siblings_rate;
	uint64_t length_us = us > r->window_us ? us - r->window_us : 0;
	float expected = expected_rate * (float)length_us / 1e6f;
	float done = (float)percent - (float)r->window_percent;
	bool conclusive;

	if (length_us < SPEED_WINDOW_MIN_US)
		return false;
	update_mean(r, us, percent, siblings_rate, error);
	/* Without siblings the run's own progress has to suffice. */
	if (expected_rate <= 0)
		expected = done;
	conclusive = expected >= WINDOW_ERRORS * error &&
		     (done * SLOW_RUN > expected ||
		      expected - done >= SLOW_ERRORS * error);
	if (!conclusive && length_us < WINDOW_MAX_US)
		return false;
	out->begin_us = r->window_us;
	out->end_us = us;
	r->rate = rate_of(r->window_percent, percent, length_us);
	r->window_us = us;
	r->window_percent = (uint8_t)percent;
	if (expected_rate <= 0 || !conclusive)
		return false;
	out->slowness = expected_rate / r->rate;
	return classify(r, out, worker_slow);
}

static int compare_floats(const void *a, const void *b)
{
	const float *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

float speed_median(float *rates, size_t count)
{
	if (count < SPEED_SIBLINGS_MIN)
		return 0;
	qsort(rates, count, sizeof(*rates), compare_floats);
	return (rates[(count - 1) / 2] + rates[count / 2]) / 2;
}

/* The step's entry, or the one with the oldest evidence. */
static struct speed_evidence *find_step(struct worker_speed *w, uint32_t step)
{
	struct speed_evidence *oldest = &w->steps[0];

	for (uint32_t i = 0; i < SPEED_STEPS_MAX; i++) {
		struct speed_evidence *e = &w->steps[i];

		if (e->us && e->step == step)
			return e;
		if (e->us < oldest->us)
			oldest = e;
	}
	oldest->us = 0;
	return oldest;
}

void worker_speed_observe(struct worker_speed *w, uint32_t step,
			  const struct speed_window *window)
{
	struct speed_evidence *e = find_step(w, step);
	float value = logf(fminf(fmaxf(window->slowness, 1), SLOWNESS_MAX));

	/* A long task beside one of usual speed is no sign of slowness. */
	if (e->us && window->end_us < e->us + SAME_REPORT_US &&
	    e->log_slowness < value)
		return;
	e->step = step;
	e->log_slowness = value;
	e->begin_us = window->begin_us;
	e->us = window->end_us;
	e->dropped = window->dropped;
}

static bool is_slow(const struct speed_evidence *e)
{
	return e->us && e->log_slowness >= logf(SLOW_RUN);
}

/* Part of the evidence that still counts. */
static float weight(uint64_t age_us)
{
	if (age_us >= EVIDENCE_END_US)
		return 0;
	if (age_us <= EVIDENCE_FULL_US)
		return 1;
	return (float)(EVIDENCE_END_US - age_us) /
	       (float)(EVIDENCE_END_US - EVIDENCE_FULL_US);
}

/*
 * Middle of the first of the last windows in which runs were slow: what ended
 * before may have been before the slowness. 0: no run was slow.
 */
static uint64_t slow_from_us(const struct worker_speed *w)
{
	uint64_t last_us = 0, from_us = UINT64_MAX;

	for (uint32_t i = 0; i < SPEED_STEPS_MAX; i++)
		if (is_slow(&w->steps[i]) && w->steps[i].us > last_us)
			last_us = w->steps[i].us;
	for (uint32_t i = 0; i < SPEED_STEPS_MAX; i++) {
		const struct speed_evidence *e = &w->steps[i];
		uint64_t middle_us = e->begin_us / 2 + e->us / 2;

		if (is_slow(e) && e->us + SAME_REPORT_US > last_us &&
		    middle_us < from_us)
			from_us = middle_us;
	}
	return last_us ? from_us : 0;
}

float worker_speed_slowness(const struct worker_speed *w, uint64_t now_us)
{
	uint64_t from_us = slow_from_us(w);
	bool keeps = w->slow && now_us < w->slow_since_us + SLOW_KEPT_US;
	float values[SPEED_STEPS_MAX];
	uint32_t n = 0, slow = 0;

	for (uint32_t i = 0; i < SPEED_STEPS_MAX; i++) {
		const struct speed_evidence *e = &w->steps[i];
		uint64_t age_us = now_us > e->us ? now_us - e->us : 0;

		if (!e->us || age_us >= EVIDENCE_END_US || e->us <= from_us)
			continue;
		values[n++] = e->log_slowness * weight(age_us);
		if (is_slow(e))
			slow += e->dropped ? WEIGHT_DROPPED : 1;
	}
	if (!n || (!keeps && (n < SLOW_STEPS_MIN || slow < SLOW_WEIGHT_MIN)))
		return 1;
	qsort(values, n, sizeof(*values), compare_floats);
	/* Some may be those of long tasks; of up to three steps none is. */
	return expf(values[(n - 1) / 3]);
}

bool worker_speed_update(struct worker_speed *w, uint64_t now_us)
{
	float slowness = worker_speed_slowness(w, now_us);
	bool slow = slowness >= (w->slow ? SLOW_END : SLOW_BEGIN);

	if (slow == w->slow)
		return false;
	w->slow = slow;
	if (slow)
		w->slow_since_us = now_us;
	return true;
}

int64_t worker_speed_penalty(const struct worker_speed *w, uint64_t now_us)
{
	if (!w->slow)
		return 0;
	return PENALTY_SLOW + (int64_t)(PENALTY_SLOWNESS *
					(worker_speed_slowness(w, now_us) - 1));
}

bool speed_move_pays(const struct speed_move *m, struct speed_forecast *f)
{
	float full_rate = m->rate * m->slowness / 1000; /* percent per ms */
	float slow_rate = m->rate / 1000;
	float left = 100 - (float)m->percent;
	float in_slowness = SLOW_EXPECTED_MS * slow_rate;
	float stay, move;

	if (m->rate <= 0 || m->slowness <= 1)
		return false;
	stay = left <= in_slowness
		       ? left / slow_rate
		       : SLOW_EXPECTED_MS + (left - in_slowness) / full_rate;
	move = MOVE_COST_MS + (m->restart_percent ? RESTART_COST_MS : 0) +
	       (100 - (float)m->restart_percent) / full_rate;
	f->stay_ms = (uint32_t)fminf(stay, 1e9f);
	f->move_ms = (uint32_t)fminf(move, 1e9f);
	return stay >= move + fmaxf(MOVE_GAIN_MIN_MS, stay * MOVE_GAIN_RATIO);
}

bool speed_budget_take(struct speed_budget *b, uint32_t workers,
		       uint64_t now_us)
{
	uint64_t per_s = workers / WORKERS_PER_MOVE;
	uint64_t since_us = now_us > b->us ? now_us - b->us : 0;

	if (per_s < MOVES_MIN)
		per_s = MOVES_MIN;
	if (since_us > MICRO)
		since_us = MICRO;
	b->moves_micro += since_us * per_s;
	if (b->moves_micro > per_s * MICRO)
		b->moves_micro = per_s * MICRO;
	b->us = now_us;
	if (b->moves_micro < MICRO)
		return false;
	b->moves_micro -= MICRO;
	return true;
}
