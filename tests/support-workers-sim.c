#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-journal.h"
#include "support-workers.h"

#define STEP_US 50000
#define SAMPLE_US 200000
#define ENDED_TASK_RETENTION_US (600u * 1000000u)

/* Slowdown of a task of the row's class by one of the column's class. */
static const double class_interference[INTERFERENCE_CLASSES]
				      [INTERFERENCE_CLASSES] = {
					      { 0.02, 0.05, 0.05, 0.10 },
					      { 0.05, 0.30, 0.60, 1.20 },
					      { 0.05, 0.20, 0.80, 0.60 },
					      { 0.05, 0.10, 0.30, 0.40 },
				      };

static uint32_t memory_used(const struct sim_task *t, uint64_t now_us);
static double cpu_used(const struct sim_task *t);
static double task_slowdown(const struct sim_worker *v,
			    const struct sim_task *t);
static void step_task(struct sim_workers *w, struct sim_worker *v,
		      struct sim_task *t, uint64_t now_us, double elapsed_us);
static void step_worker(struct sim_workers *w, struct sim_worker *v,
			uint64_t now_us, double elapsed_us);
static void discard_ended_tasks(struct sim_worker *v, uint64_t now_us);
static void check_memory(struct sim_worker *v, uint64_t now_us);
static void print_task(struct sim_workers *w, const struct sim_worker *v,
		       const struct sim_task *t, uint64_t now_us,
		       struct buffer *out);
static void print_worker(struct sim_workers *w, const struct sim_worker *v,
			 uint64_t now_us, struct buffer *out);
static void sample_usage(struct sim_workers *w, uint64_t now_us);

static uint32_t memory_used(const struct sim_task *t, uint64_t now_us)
{
	uint64_t age = now_us - t->started_us;

	if (age >= t->actual.ramp_us)
		return t->actual.memory_mb;
	return (uint32_t)((double)t->actual.memory_mb *
			  (0.25 +
			   0.75 * (double)age / (double)t->actual.ramp_us));
}

static double cpu_used(const struct sim_task *t)
{
	return t->actual.cpu_milli * (t->percent / 100.0);
}

static double task_slowdown(const struct sim_worker *v,
			    const struct sim_task *t)
{
	double load = v->load < 1 ? v->load : 1, sum = 0;

	for (const struct sim_task *o = v->tasks; o; o = o->next) {
		double part;

		if (o == t || o->state != SIM_RUNNING)
			continue;
		part = 4 * cpu_used(o) / v->cpu_milli;
		sum += (part < 1 ? part : 1) *
		       class_interference[t->actual.class_index]
					 [o->actual.class_index];
	}
	return 1 + sum * load * load;
}

static void step_task(struct sim_workers *w, struct sim_worker *v,
		      struct sim_task *t, uint64_t now_us, double elapsed_us)
{
	double share = v->load > 1 ? 1 / v->load : 1;

	t->slowdown = task_slowdown(v, t) / share;
	if (t->lease_end_us <= now_us) {
		sim_end_task(w, v, t, SIM_EXPIRED, "lease ran out");
		return;
	}
	t->progress_us += elapsed_us * t->percent / 100 / t->slowdown;
	if (t->fail_at_us >= 0 && t->progress_us >= t->fail_at_us)
		sim_end_task(w, v, t, SIM_FAILED, "failed");
	else if (t->actual.run_us > 0 && t->progress_us >= t->actual.run_us)
		sim_end_task(w, v, t, SIM_DONE, "");
}

static void check_memory(struct sim_worker *v, uint64_t now_us)
{
	uint64_t used = 0;

	for (const struct sim_task *t = v->tasks; t; t = t->next)
		if (t->state == SIM_RUNNING)
			used += memory_used(t, now_us);
	if (used > v->memory_mb && !v->over_memory)
		journal_event("over-memory", "{s:s,s:I,s:i}", "worker", v->id,
			      "memory_mb", (json_int_t)used, "capacity_mb",
			      (int)v->memory_mb);
	v->over_memory = used > v->memory_mb;
}

static void step_worker(struct sim_workers *w, struct sim_worker *v,
			uint64_t now_us, double elapsed_us)
{
	double cpu = 0;

	for (struct sim_task *t = v->tasks; t; t = t->next)
		if (t->state == SIM_RUNNING)
			cpu += cpu_used(t);
	v->load = v->cpu_milli ? cpu / v->cpu_milli : 0;
	for (struct sim_task *t = v->tasks; t; t = t->next)
		if (t->state == SIM_RUNNING)
			step_task(w, v, t, now_us, elapsed_us);
	check_memory(v, now_us);
}

static void print_task(struct sim_workers *w, const struct sim_worker *v,
		       const struct sim_task *t, uint64_t now_us,
		       struct buffer *out)
{
	bool running = t->state == SIM_RUNNING;
	double noise = 0.97 + 0.06 * rng_unit(&w->rng);
	double queueing = v->load > 0.8 ? 1 + 5 * (v->load - 0.8) : 1;
	double latency = t->actual.base_us * t->slowdown * queueing * noise;
	double progress =
		t->actual.run_us > 0 ? t->progress_us / t->actual.run_us : 0;

	buffer_printf(out,
		      "{\"id\":\"%s\",\"attempt\":%lld,\"state\":\"%s\","
		      "\"cpu_milli\":%.0f,\"memory_mb\":%u,"
		      "\"latency_p99_us\":%.0f,\"progress\":%.4f}",
		      t->id, (long long)t->attempt, sim_state_names[t->state],
		      running ? cpu_used(t) : 0,
		      running ? memory_used(t, now_us) : 0,
		      running && t->actual.service ? latency : 0,
		      progress < 1 ? progress : 1);
}

static void print_worker(struct sim_workers *w, const struct sim_worker *v,
			 uint64_t now_us, struct buffer *out)
{
	const char *comma = "";
	uint64_t memory = 0;
	double cpu = 0;

	for (const struct sim_task *t = v->tasks; t; t = t->next) {
		if (t->state != SIM_RUNNING)
			continue;
		memory += memory_used(t, now_us);
		cpu += cpu_used(t);
	}
	buffer_printf(out,
		      "{\"id\":\"%s\",\"cpu_milli\":%.0f,\"memory_mb\":%llu,"
		      "\"tasks\":[",
		      v->id, cpu, (unsigned long long)memory);
	for (const struct sim_task *t = v->tasks; t; t = t->next) {
		if (t->acknowledged)
			continue;
		buffer_append_str(out, comma);
		print_task(w, v, t, now_us, out);
		comma = ",";
	}
	buffer_append_str(out, "]}");
}

static void discard_ended_tasks(struct sim_worker *v, uint64_t now_us)
{
	struct sim_task **link = &v->tasks, *t;

	while ((t = *link)) {
		if (t->state == SIM_RUNNING ||
		    now_us < t->ended_us + ENDED_TASK_RETENTION_US) {
			link = &t->next;
			continue;
		}
		*link = t->next;
		free(t);
	}
}

static void sample_usage(struct sim_workers *w, uint64_t now_us)
{
	struct sim_usage *u = xcalloc(1, sizeof(*u));
	struct buffer out = BUFFER_INIT;
	const char *comma = "";

	buffer_printf(&out, "{\"at_ms\":%llu,\"workers\":[",
		      (unsigned long long)(clock_wall_us() / 1000));
	for (const struct sim_worker *v = w->list; v; v = v->next) {
		if (v->removed || v->down)
			continue;
		buffer_append_str(&out, comma);
		print_worker(w, v, now_us, &out);
		comma = ",";
	}
	buffer_append_str(&out, "]}");
	u->at_us = now_us;
	u->text = buffer_detach(&out, NULL);
	*w->tail = u;
	w->tail = &u->next;
}

void sim_step(struct sim_workers *w, uint64_t now_us)
{
	uint64_t elapsed_us = w->last_step_us ? now_us - w->last_step_us : 0;

	if (w->last_step_us && elapsed_us < STEP_US)
		return;
	w->last_step_us = now_us;
	for (struct sim_worker *v = w->list; v; v = v->next) {
		step_worker(w, v, now_us, (double)elapsed_us);
		discard_ended_tasks(v, now_us);
	}
	if (now_us - w->last_sample_us >= SAMPLE_US) {
		w->last_sample_us = now_us;
		sample_usage(w, now_us);
	}
}

/* Returns the newest sample that is at least report_lag_us old. */
void sim_usage(struct sim_workers *w, uint64_t now_us, struct buffer *out)
{
	struct sim_usage *u = w->oldest;

	while (u && u->next && u->next->at_us + w->report_lag_us <= now_us) {
		w->oldest = u->next;
		free(u->text);
		free(u);
		u = w->oldest;
	}
	if (u && u->at_us + w->report_lag_us <= now_us)
		buffer_append_str(out, u->text);
	else
		buffer_append_str(out, "{\"at_ms\":0,\"workers\":[]}");
}
