#include <inttypes.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "job-sched.h"
#include "job-waits.h"

#define NAME_BYTES 64
#define TEXT_BYTES 200
/* Time between the loss of a call in a relay and that of its order. */
#define RELAY_SLACK_S 1.0

/* Tasks of another job that were placed during a wait. */
struct rival {
	char job[NAME_BYTES];
	unsigned long placed;
};

struct wait {
	bool open;
	bool task; /* of a task; otherwise of a step */
	unsigned occurrence, step, index, run;
	double begin_s, end_s, last_order_s;
	char end[TEXT_BYTES]; /* what ended it */
	/* of a step */
	unsigned long waiting, backlog;
	char reasons[TEXT_BYTES];
	unsigned long workers;	 /* of the service */
	unsigned long crowded;	 /* of these, without CPU beside services */
	bool searches_exhausted; /* for reservations, in the last round */
	struct rival *rivals;
	size_t rival_count;
	unsigned long placed;
	/* of a task */
	char worker[NAME_BYTES];
	char via[NAME_BYTES]; /* relay of the last lost order, "-" or "" */
	unsigned lost, refused;
	char result[NAME_BYTES]; /* of the last refusal */
};

/* A call that a relay did not send, or lost. */
struct relay_line {
	double at_s;
	char worker[NAME_BYTES];
	char vm[NAME_BYTES];
	bool expired;
};

struct job_waits {
	char job[NAME_BYTES];
	double last_s;
	struct wait *items;
	size_t count;
	struct relay_line *relay_lines;
	size_t relay_line_count;
};

/* ---- fields of a line ---- */

static bool is_event(const char *text, const char *name)
{
	const char *event = strstr(text, " event=");

	if (!event)
		return false;
	event += strlen(" event=");
	return strcspn(event, " ") == strlen(name) &&
	       !strncmp(event, name, strlen(name));
}

/* Copies the value of a key; "" if the line has no such key. */
static void get_text(const char *text, const char *key, char *out, size_t size)
{
	char pattern[32];
	const char *at;

	snprintf(pattern, sizeof(pattern), " %s=", key);
	at = strstr(text, pattern);
	out[0] = '\0';
	if (!at)
		return;
	at += strlen(pattern);
	snprintf(out, size, "%.*s", (int)strcspn(at, " "), at);
}

static unsigned long get_number(const char *text, const char *key)
{
	char value[NAME_BYTES];

	get_text(text, key, value, sizeof(value));
	return strtoul(value, NULL, 10);
}

/* Parses "JOB.OCCURRENCE.STEP.INDEX" into t; false for another job's task. */
static bool get_task(const struct job_waits *w, const char *text,
		     struct wait *t)
{
	size_t len = strlen(w->job);
	char name[NAME_BYTES];

	get_text(text, "task", name, sizeof(name));
	return !strncmp(name, w->job, len) &&
	       sscanf(name + len, ".%u.%u.%u", &t->occurrence, &t->step,
		      &t->index) == 3;
}

static bool is_own_job(const struct job_waits *w, const char *text)
{
	char job[NAME_BYTES];

	get_text(text, "job", job, sizeof(job));
	return !strcmp(job, w->job);
}

/* ---- waits ---- */

static struct wait *add_wait(struct job_waits *w, double time_s)
{
	struct wait *item;

	w->items = xrealloc(w->items, (w->count + 1) * sizeof(*w->items));
	item = &w->items[w->count++];
	memset(item, 0, sizeof(*item));
	item->open = true;
	item->begin_s = time_s;
	return item;
}

static void end_wait(struct wait *item, double time_s, const char *why)
{
	item->open = false;
	item->end_s = time_s;
	snprintf(item->end, sizeof(item->end), "%s", why);
}

static struct wait *find_step(struct job_waits *w, unsigned step)
{
	for (size_t i = 0; i < w->count; i++)
		if (w->items[i].open && !w->items[i].task &&
		    w->items[i].step == step)
			return &w->items[i];
	return NULL;
}

static struct wait *find_task(struct job_waits *w, const struct wait *t)
{
	for (size_t i = 0; i < w->count; i++) {
		struct wait *item = &w->items[i];

		if (item->open && item->task &&
		    item->occurrence == t->occurrence &&
		    item->step == t->step && item->index == t->index)
			return item;
	}
	return NULL;
}

static void add_rival(struct wait *item, const char *job, unsigned long placed)
{
	size_t i = 0;

	item->placed += placed;
	while (i < item->rival_count && strcmp(item->rivals[i].job, job))
		i++;
	if (i == item->rival_count) {
		item->rivals =
			xrealloc(item->rivals, (i + 1) * sizeof(*item->rivals));
		memset(&item->rivals[i], 0, sizeof(*item->rivals));
		snprintf(item->rivals[i].job, NAME_BYTES, "%s", job);
		item->rival_count++;
	}
	item->rivals[i].placed += placed;
}

static void add_step_wait(struct job_waits *w, double time_s, const char *text)
{
	unsigned step = (unsigned)get_number(text, "step");
	struct wait *item = find_step(w, step);

	if (!item) {
		item = add_wait(w, time_s);
		item->step = step;
	}
	item->waiting = get_number(text, "waiting");
	item->backlog = get_number(text, "backlog");
}

static void add_reasons(struct job_waits *w, const char *text)
{
	/* Each worker is counted by exactly one of these. */
	static const char *const exclusive[] = { "not_usable", "no_memory",
						 "no_cpu",     "no_accelerator",
						 "at_max",     "reserved" };
	struct wait *item = find_step(w, (unsigned)get_number(text, "step"));
	const char *reasons = strstr(text, "not_usable=");
	char searches[NAME_BYTES];
	unsigned long used, max;

	if (!item || !reasons)
		return;
	snprintf(item->reasons, sizeof(item->reasons), "%s", reasons);
	item->workers = 0;
	for (size_t i = 0; i < sizeof(exclusive) / sizeof(exclusive[0]); i++)
		item->workers += get_number(text, exclusive[i]);
	item->crowded = get_number(text, "services");
	get_text(text, "searches", searches, sizeof(searches));
	item->searches_exhausted =
		sscanf(searches, "%lu/%lu", &used, &max) == 2 && used >= max;
}

static void add_placement(struct job_waits *w, double time_s, const char *text)
{
	struct wait *item;
	char job[NAME_BYTES];

	if (is_own_job(w, text)) {
		item = find_step(w, (unsigned)get_number(text, "step"));
		if (item && !get_number(text, "waiting"))
			end_wait(item, time_s, "placed");
		return;
	}
	get_text(text, "job", job, sizeof(job));
	for (size_t i = 0; i < w->count; i++)
		if (w->items[i].open && !w->items[i].task)
			add_rival(&w->items[i], job,
				  get_number(text, "placed"));
}

/* Adds a start that was lost or refused; other orders make no task wait. */
static void add_order(struct job_waits *w, double time_s, const char *text)
{
	struct wait t = { 0 }, *item;
	unsigned run = (unsigned)get_number(text, "run");

	if (get_number(text, "type") != SCHED_START || !get_task(w, text, &t))
		return;
	item = find_task(w, &t);
	if (item && item->run != run) {
		end_wait(item, time_s, "followed by another run");
		item = NULL;
	}
	if (!item) {
		item = add_wait(w, time_s);
		item->task = true;
		item->occurrence = t.occurrence;
		item->step = t.step;
		item->index = t.index;
		item->run = run;
	}
	get_text(text, "worker", item->worker, sizeof(item->worker));
	item->last_order_s = time_s;
	if (is_event(text, "order-lost")) {
		item->lost++;
		get_text(text, "via", item->via, sizeof(item->via));
		return;
	}
	item->refused++;
	get_text(text, "result", item->result, sizeof(item->result));
}

static void end_task_wait(struct job_waits *w, double time_s, const char *text)
{
	struct wait t = { 0 }, *item;
	char how[NAME_BYTES], end[TEXT_BYTES] = "not listed by its worker";

	if (is_event(text, "task-absent")) {
		if (!get_task(w, text, &t))
			return;
		item = find_task(w, &t);
	} else {
		/* Has no occurrence: ends the first one of this run. */
		t.step = (unsigned)get_number(text, "step");
		t.index = (unsigned)get_number(text, "index");
		t.run = (unsigned)get_number(text, "run");
		item = NULL;
		for (size_t i = 0; i < w->count && !item; i++)
			if (w->items[i].open && w->items[i].task &&
			    w->items[i].step == t.step &&
			    w->items[i].index == t.index &&
			    w->items[i].run == t.run)
				item = &w->items[i];
		get_text(text, "how", how, sizeof(how));
		snprintf(end, sizeof(end), "run ended as %s", how);
	}
	if (item)
		end_wait(item, time_s, end);
}

static void end_step_tasks(struct job_waits *w, double time_s, const char *text)
{
	for (size_t i = 0; i < w->count; i++)
		if (w->items[i].open && w->items[i].task &&
		    w->items[i].step == get_number(text, "step") &&
		    w->items[i].occurrence == get_number(text, "occurrence"))
			end_wait(&w->items[i], time_s, "step done");
}

static void end_all(struct job_waits *w, double time_s, const char *text)
{
	char state[NAME_BYTES], end[TEXT_BYTES];

	get_text(text, "state", state, sizeof(state));
	snprintf(end, sizeof(end), "job ended as %s", state);
	for (size_t i = 0; i < w->count; i++)
		if (w->items[i].open)
			end_wait(&w->items[i], time_s, end);
}

static void add_relay_line(struct job_waits *w, double time_s, const char *text)
{
	struct relay_line *l;

	w->relay_lines = xrealloc(w->relay_lines,
				  (w->relay_line_count + 1) * sizeof(*l));
	l = &w->relay_lines[w->relay_line_count++];
	l->at_s = time_s;
	l->expired = is_event(text, "relay-call-expired");
	get_text(text, "worker", l->worker, sizeof(l->worker));
	get_text(text, l->expired ? "node" : "vm", l->vm, sizeof(l->vm));
}

/* ---- interface ---- */

struct job_waits *job_waits_create(const char *job_id)
{
	struct job_waits *w = xcalloc(1, sizeof(*w));

	snprintf(w->job, sizeof(w->job), "%s", job_id);
	return w;
}

void job_waits_free(struct job_waits *w)
{
	if (!w)
		return;
	for (size_t i = 0; i < w->count; i++)
		free(w->items[i].rivals);
	free(w->items);
	free(w->relay_lines);
	free(w);
}

bool job_waits_uses_line(const char *text)
{
	return is_event(text, "step-placed") ||
	       is_event(text, "relay-call-expired") ||
	       is_event(text, "relay-call-overdue");
}

void job_waits_add(struct job_waits *w, double time_s, const char *text)
{
	w->last_s = time_s;
	if (is_event(text, "step-placed"))
		add_placement(w, time_s, text);
	else if (is_event(text, "order-lost") ||
		 is_event(text, "order-refused"))
		add_order(w, time_s, text);
	else if (is_event(text, "task-absent"))
		end_task_wait(w, time_s, text);
	else if (is_event(text, "relay-call-expired") ||
		 is_event(text, "relay-call-overdue"))
		add_relay_line(w, time_s, text);
	else if (!is_own_job(w, text))
		return;
	else if (is_event(text, "step-waits"))
		add_step_wait(w, time_s, text);
	else if (is_event(text, "step-waits-for"))
		add_reasons(w, text);
	else if (is_event(text, "task-ended"))
		end_task_wait(w, time_s, text);
	else if (is_event(text, "step-done"))
		end_step_tasks(w, time_s, text);
	else if (is_event(text, "job-ended"))
		end_all(w, time_s, text);
}

static void print_relay_lines(const struct job_waits *w,
			      const struct wait *item, FILE *out)
{
	for (size_t i = 0; i < w->relay_line_count; i++) {
		const struct relay_line *l = &w->relay_lines[i];

		if (strcmp(l->worker, item->worker) ||
		    l->at_s < item->begin_s - RELAY_SLACK_S ||
		    l->at_s > item->last_order_s + RELAY_SLACK_S)
			continue;
		fprintf(out, "; relay %s %s", *l->vm ? l->vm : "-",
			l->expired ? "did not send a call in time"
				   : "reported no outcome of a call");
	}
}

static void print_task(const struct job_waits *w, const struct wait *item,
		       FILE *out)
{
	fprintf(out, "task %u.%u.%u run %u, starts at %s: ", item->occurrence,
		item->step, item->index, item->run, item->worker);
	if (item->lost)
		fprintf(out, "%u without an answer", item->lost);
	if (*item->via && strcmp(item->via, "-") != 0)
		fprintf(out, " (the last through relay %s)", item->via);
	if (item->refused)
		fprintf(out, "%s%u refused (%s)", item->lost ? ", " : "",
			item->refused, item->result);
	print_relay_lines(w, item, out);
}

static void print_step(const struct wait *item, FILE *out)
{
	const struct rival *top = NULL;

	fprintf(out, "step %u, %lu tasks without a worker, backlog %lu",
		item->step, item->waiting, item->backlog);
	for (size_t i = 0; i < item->rival_count; i++)
		if (!top || item->rivals[i].placed > top->placed)
			top = &item->rivals[i];
	if (top)
		fprintf(out,
			"; meanwhile placed: %lu tasks of %zu other jobs, %lu "
			"of %s",
			item->placed, item->rival_count, top->placed, top->job);
	if (item->reasons[0])
		fprintf(out, "; workers: %s", item->reasons);
	if (item->crowded && item->crowded == item->workers)
		fprintf(out, "; no CPU beside the services of any worker");
	else if (item->crowded)
		fprintf(out,
			"; no CPU beside the services of %lu of %lu workers",
			item->crowded, item->workers);
	if (item->searches_exhausted)
		fprintf(out, "; searches for reservations used up");
}

size_t job_waits_count(const struct job_waits *w)
{
	return w->count;
}

void job_waits_print(const struct job_waits *w, double begin_s, FILE *out)
{
	for (size_t i = 0; i < w->count; i++) {
		const struct wait *item = &w->items[i];
		double end_s = item->open ? w->last_s : item->end_s;

		fprintf(out,
			"%+10.3f s  for %.3f s%s: ", item->begin_s - begin_s,
			end_s - item->begin_s, item->open ? " or more" : "");
		if (item->task)
			print_task(w, item, out);
		else
			print_step(item, out);
		if (!item->open)
			fprintf(out, "; %s", item->end);
		fputc('\n', out);
	}
}
