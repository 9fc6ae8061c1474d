#ifndef SCHED_SPEED_H
#define SCHED_SPEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	sched-speed - which workers are slow, and which tasks are to leave them
 *
 * DESCRIPTION
 *	Load pattern: a few tasks of a step are several times as long as their
 *	siblings, and a few workers are several times slower than others for
 *	some seconds. Both show as a task with little progress.
 *
 *	A run's progress in a window of time is compared with the median rate of
 *	other tasks of its step that ran on other workers. One slow run may be
 *	that of a long task. A worker is slow if runs of two or more steps are
 *	slow there at the same time, and hardly any other step's are not. If all
 *	of them were slow from their start, it takes four: it happens too often
 *	that two or three long tasks start on one worker at once.
 *
 *	Long tasks run for longer than others, so that several of them often
 *	meet on one worker. A run that stays slow while its worker does not
 *	become slow is that of a long task, and is compared with its own rate
 *	from then on.
 *
 *	What is known of a worker decays within seconds, since slowness ends and
 *	a worker that is avoided shows nothing new.
 *
 * UNITS
 *	Progress in percent of the whole task, rates in percent per second.
 *	Slowness is the ratio of the expected rate to the measured one.
 */

/* Other tasks whose rates make a median. */
#define SPEED_SIBLINGS_MIN 4u
#define SPEED_SIBLINGS_MAX 31u

/* Shorter windows are dominated by the delay of starts and reports. */
#define SPEED_WINDOW_MIN_US 300000u

/* Progress of the current or last run of a task. */
struct run_speed {
	uint64_t begin_us;  /* first observation of the run */
	uint64_t window_us; /* the current window begins */
	uint32_t run;	    /* number of the run; 0: none was observed */
	uint32_t worker;    /* on which it runs or ran */
	float mean_rate;    /* since its first observation; 0: unknown */
	float rate;	    /* in the last window; 0: unknown */
	float own_rate;	    /* of a long task's run; 0: compare with siblings */
	uint64_t slow_us;   /* end of the first of its slow windows; 0: none */
	float former_rate;  /* mean rate of the run before; 0: unknown */
	uint32_t former_run;
	uint32_t former_worker;
	uint32_t checkpoint_tag; /* hash of the last checkpoint; 0: none */
	bool was_normal;	 /* a window was not slow */
	uint8_t begin_percent;
	uint8_t window_percent;
	uint8_t checkpoint_percent; /* progress at the last new checkpoint */
	uint8_t moves;		    /* of the task away from slow workers */
	bool far; /* its worker is not in the rack that its step prefers */
};

/* A run is observed for the first time. */
void run_speed_begin(struct run_speed *r, uint32_t run, uint32_t worker,
		     bool far, uint64_t us, uint32_t percent);
/* The run was throttled, or shared its CPU: what it did does not count. */
void run_speed_skip(struct run_speed *r, uint64_t us, uint32_t percent);
/* A window of a run that has ended. */
struct speed_window {
	uint64_t begin_us;
	uint64_t end_us;
	float slowness;
	bool dropped; /* the run was faster before: it is not a long task's */
};

/*
 * The run's progress at a time. siblings_rate: 0 if unknown. Returns whether a
 * window that says something about the worker ends now, and sets *out.
 */
bool run_speed_observe(struct run_speed *r, uint64_t us, uint32_t percent,
		       float siblings_rate, bool worker_slow,
		       struct speed_window *out);
/* Median of the rates, which are sorted; 0: there are too few. */
float speed_median(float *rates, size_t count);

#define SPEED_STEPS_MAX 8u
/* What runs of one step showed of a worker last. */
struct speed_evidence {
	uint32_t step; /* identifies step and occurrence */
	float log_slowness;
	uint64_t begin_us;
	uint64_t us; /* end of the window; 0: none */
	bool dropped;
};

struct worker_speed {
	struct speed_evidence steps[SPEED_STEPS_MAX];
	bool slow; /* see worker_speed_update() */
	uint64_t slow_since_us;
};

/* A run of the step was observed on the worker. */
void worker_speed_observe(struct worker_speed *w, uint32_t step,
			  const struct speed_window *window);
/* Slowness of a worker now; 1 if it is not slow or not known to be. */
float worker_speed_slowness(const struct worker_speed *w, uint64_t now_us);
/* Sets w->slow, and returns whether it has changed. */
bool worker_speed_update(struct worker_speed *w, uint64_t now_us);
/* Amount by which a slow worker's score is lowered; 0 for others. */
int64_t worker_speed_penalty(const struct worker_speed *w, uint64_t now_us);

/* A run on a slow worker. */
struct speed_move {
	float rate; /* there */
	float slowness;
	uint32_t percent;
	uint32_t restart_percent; /* progress with which it would go on */
};

struct speed_forecast {
	uint32_t stay_ms; /* until the run ends there */
	uint32_t move_ms; /* until it ends elsewhere */
};

/* Whether a run is expected to end sooner elsewhere. Sets *f. */
bool speed_move_pays(const struct speed_move *m, struct speed_forecast *f);

/* Limits the moves per second by the number of workers. */
struct speed_budget {
	uint64_t us;
	uint64_t moves_micro; /* in millionths */
};

/* Takes one move from the budget. Returns false if there is none. */
bool speed_budget_take(struct speed_budget *b, uint32_t workers,
		       uint64_t now_us);

#endif
