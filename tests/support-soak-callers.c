#include <event2/event.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "event-http.h"
#include "support-soak-callers.h"

#define ID_BASE 0x100000u
#define STEPS 2
#define ANSWER_MS 3000
#define REPEAT_MIN_US 100000u
#define REPEAT_SPAN_US 400000u
#define TRIES_MAX 8
#define CANCEL_PERCENT 15
/* A caller that waits longer hands in its next job; all are asked for again. */
#define PATIENCE_US 8000000u
/* Bounds of the users' pages. */
#define VISIBLE_US 3000000u
#define CANCEL_US 3000000u
#define STOP_US 200000u
#define CALM_US 4000000u

enum job_phase { JOB_SUBMIT, JOB_POLL, JOB_CANCEL, JOB_OVER };

struct soak_job {
	enum job_phase phase;
	uint32_t count[STEPS]; /* tasks */
	uint32_t done[STEPS];  /* bits of tasks that ended so */
	uint64_t begin_us;
	uint64_t accepted_us;  /* 0: not */
	uint64_t cancelled_us; /* acknowledged; 0: not */
	bool cancel_sent;
	bool uncertain; /* a try to hand it in got no answer */
	bool started;
	bool completed;
};

struct caller {
	struct callers *all;
	struct http_conn *conns[SOAK_ENTRIES_MAX];
	struct event *timer;
	uint32_t job; /* index; SOAK_JOBS_MAX: none */
	uint32_t tries;
	bool cancels;
};

struct callers {
	struct callers_options o;
	struct rng rng;
	struct caller *callers;
	struct soak_job jobs[SOAK_JOBS_MAX];
	uint32_t job_count;
	uint64_t disturbed_us;
	uint32_t broken;
	uint32_t calls, unanswered, refused;
	bool finishing;
};

static void call(struct caller *c);
static void call_later(struct caller *c);

static void broken(struct callers *s, const char *promise, uint32_t job,
		   const char *what)
{
	s->broken++;
	printf("BROKEN %s job=%016x at=%.3f %s\n", promise, ID_BASE + job,
	       (double)clock_wall_us() / 1e6, what);
	fflush(stdout);
}

static bool is_calm(const struct callers *s)
{
	return clock_now_us() > s->disturbed_us + CALM_US;
}

/* ---- what workers do ---- */

static struct soak_job *job_of_task(struct callers *s, const char *task,
				    uint32_t *job, uint32_t *step, uint32_t *i)
{
	unsigned id, occurrence;

	if (sscanf(task, "%16x.%u.%u.%u", &id, &occurrence, step, i) != 4 ||
	    id < ID_BASE || id - ID_BASE >= s->job_count || *step >= STEPS ||
	    *i >= s->jobs[id - ID_BASE].count[*step])
		return NULL;
	*job = id - ID_BASE;
	return &s->jobs[*job];
}

static void on_started(void *arg, const char *task)
{
	struct callers *s = arg;
	uint32_t job = 0, step, i;
	struct soak_job *j = job_of_task(s, task, &job, &step, &i);

	if (!j) {
		broken(s, "only what callers sent is started", 0, task);
		return;
	}
	j->started = true;
	if (step && j->done[0] != (1u << j->count[0]) - 1)
		broken(s, "steps start in order", job, task);
	if (j->cancelled_us && is_calm(s) &&
	    clock_now_us() > j->cancelled_us + CANCEL_US)
		broken(s, "a cancelled job starts nothing", job, task);
}

static void on_ended(void *arg, const char *task, const char *how)
{
	struct callers *s = arg;
	uint32_t job, step, i;
	struct soak_job *j = job_of_task(s, task, &job, &step, &i);

	if (j && !strcmp(how, "done"))
		j->done[step] |= 1u << i;
}

/* ---- callers ---- */

/* Whether the job is owed to its caller and not yet shown as completed. */
static bool is_open(const struct soak_job *j)
{
	return j->accepted_us && !j->cancel_sent && !j->completed;
}

/* Takes up a job that some caller had no patience for. */
static void resume_job(struct caller *c)
{
	for (uint32_t i = 0; i < c->all->job_count; i++) {
		struct soak_job *j = &c->all->jobs[i];

		if (!is_open(j) || j->phase != JOB_OVER)
			continue;
		j->phase = JOB_POLL;
		c->job = i;
		c->cancels = false;
		return;
	}
}

static void begin_job(struct caller *c)
{
	struct callers *s = c->all;
	struct soak_job *j;

	c->job = SOAK_JOBS_MAX;
	if (s->finishing) {
		resume_job(c);
		return;
	}
	if (s->job_count == SOAK_JOBS_MAX)
		return;
	c->job = s->job_count++;
	c->tries = 0;
	c->cancels = rng_below(&s->rng, 100) < CANCEL_PERCENT;
	j = &s->jobs[c->job];
	j->begin_us = clock_now_us();
	for (uint32_t i = 0; i < STEPS; i++)
		j->count[i] = 1 + rng_below(&s->rng, 4);
}

static void end_job(struct caller *c)
{
	c->all->jobs[c->job].phase = JOB_OVER;
	begin_job(c);
}

static void on_submitted(struct caller *c, struct soak_job *j, int status)
{
	if (status >= 200 && status < 300) {
		j->accepted_us = clock_now_us();
		j->phase = JOB_POLL;
		return;
	}
	if (status < 0 || status == 502 || status == 504)
		j->uncertain = true;
	else
		c->all->refused++;
	if (++c->tries == TRIES_MAX)
		end_job(c);
}

static void on_state(struct caller *c, struct soak_job *j, int status,
		     const char *body)
{
	struct callers *s = c->all;
	uint64_t now = clock_now_us();

	if (status == 410 && j->accepted_us && !j->cancel_sent && is_calm(s) &&
	    now > j->accepted_us + VISIBLE_US)
		broken(s, "an accepted job is known", c->job, "");
	if (status == 200 && strstr(body, "\"failed\""))
		broken(s, "no task fails, so no job does", c->job, body);
	if (status == 200 && strstr(body, "\"cancelled\"") && !j->cancel_sent)
		broken(s, "only callers cancel", c->job, body);
	if (status == 200 && strstr(body, "\"completed\"")) {
		for (uint32_t i = 0; i < STEPS; i++)
			if (j->done[i] != (1u << j->count[i]) - 1)
				broken(s, "completed means all tasks are done",
				       c->job, body);
		j->completed = true;
		end_job(c);
	} else if (now > j->begin_us + PATIENCE_US && !s->finishing) {
		end_job(c);
	} else if (c->cancels) {
		j->phase = JOB_CANCEL;
	}
}

static void on_cancelled(struct caller *c, struct soak_job *j, int status)
{
	if ((status >= 200 && status < 300) || status == 410) {
		j->cancelled_us = clock_now_us();
		end_job(c);
	}
}

static void on_answer(void *arg, const struct event_http_response *a)
{
	struct caller *c = arg;
	struct soak_job *j = &c->all->jobs[c->job];
	int status = a->outcome == EVENT_HTTP_RESPONDED ? a->status : -1;

	c->all->calls++;
	c->all->unanswered += status < 0;
	if (a->outcome == EVENT_HTTP_NOT_SENT)
		status = 503;
	if (j->phase == JOB_SUBMIT)
		on_submitted(c, j, status);
	else if (j->phase == JOB_POLL)
		on_state(c, j, status, status > 0 && a->body ? a->body : "");
	else
		on_cancelled(c, j, status);
	call_later(c);
}

static void call_later(struct caller *c)
{
	uint32_t us = REPEAT_MIN_US + rng_below(&c->all->rng, REPEAT_SPAN_US);
	struct timeval tv = { 0, us };

	event_add(c->timer, &tv);
}

static void call(struct caller *c)
{
	static const struct http_header headers[] = {
		{ "X-Deadline-Remaining", "3000" }, { NULL, NULL }
	};
	struct callers *s = c->all;
	struct soak_job *j = &s->jobs[c->job];
	uint32_t entry = rng_below(&s->rng, s->o.entries);
	const char *method = "GET";
	char path[64], body[512] = "";

	snprintf(path, sizeof(path), "/forms/%016x", ID_BASE + c->job);
	if (j->phase == JOB_SUBMIT) {
		method = "POST";
		snprintf(body, sizeof(body),
			 "{\"specification\":\"job %u\",\"steps\":["
			 "{\"count\":%u,\"cpu\":1000,\"memory-request-mb\":100,"
			 "\"estimated-ms\":200},{\"count\":%u,\"cpu\":1000,"
			 "\"memory-request-mb\":100,\"estimated-ms\":200,"
			 "\"after\":[0]}]}",
			 c->job, j->count[0], j->count[1]);
	} else if (j->phase == JOB_CANCEL) {
		method = "DELETE";
		j->cancel_sent = true;
	}
	http_conn_call(c->conns[entry], method, path, headers,
		       *body ? body : NULL, strlen(body), ANSWER_MS, on_answer,
		       c);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller *c = arg;

	(void)fd;
	(void)what;
	if (c->job == SOAK_JOBS_MAX)
		begin_job(c);
	if (c->job != SOAK_JOBS_MAX)
		call(c);
}

struct callers *callers_create(const struct callers_options *o)
{
	struct callers *s = xcalloc(1, sizeof(*s));
	struct platform_hooks hooks = { on_started, on_ended, s };

	s->o = *o;
	s->rng.state = o->seed;
	s->callers = xcalloc(o->callers, sizeof(*s->callers));
	for (uint32_t i = 0; i < o->callers; i++) {
		struct caller *c = &s->callers[i];

		c->all = s;
		c->job = SOAK_JOBS_MAX;
		c->timer = event_new(o->base, -1, 0, on_timer, c);
		for (uint32_t e = 0; e < o->entries; e++)
			c->conns[e] = http_conn_create(o->base, "127.0.0.1",
						       o->ports[e]);
		call_later(c);
	}
	jobs_platform_set_hooks(o->platform, &hooks);
	return s;
}

void callers_free(struct callers *s)
{
	static const struct platform_hooks none;

	if (!s)
		return;
	jobs_platform_set_hooks(s->o.platform, &none);
	for (uint32_t i = 0; i < s->o.callers; i++) {
		event_free(s->callers[i].timer);
		for (uint32_t e = 0; e < s->o.entries; e++)
			http_conn_free(s->callers[i].conns[e]);
	}
	free(s->callers);
	free(s);
}

void callers_disturbed(struct callers *s)
{
	s->disturbed_us = clock_now_us();
}

void callers_finish(struct callers *s)
{
	s->finishing = true;
}

uint32_t callers_open(const struct callers *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->job_count; i++)
		n += is_open(&s->jobs[i]);
	return n;
}

uint32_t callers_judge(struct callers *s)
{
	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct soak_job *j = &s->jobs[i];

		if (is_open(j))
			broken(s, "an accepted job is completed in the end", i,
			       "");
		if (!j->accepted_us && !j->uncertain && j->started)
			broken(s, "a refused job is not started", i, "");
	}
	return s->broken;
}

void callers_print(const struct callers *s)
{
	uint32_t accepted = 0, completed = 0, cancelled = 0;

	for (uint32_t i = 0; i < s->job_count; i++) {
		accepted += s->jobs[i].accepted_us != 0;
		completed += s->jobs[i].completed;
		cancelled += s->jobs[i].cancelled_us != 0;
	}
	printf("jobs=%u accepted=%u completed=%u cancelled=%u calls=%u "
	       "unanswered=%u refused=%u broken=%u\n",
	       s->job_count, accepted, completed, cancelled, s->calls,
	       s->unanswered, s->refused, s->broken);
}
