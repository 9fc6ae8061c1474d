#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "buffer.h"
#include "support-check-internal.h"

typedef void event_fn(struct check *c, const json_t *e, uint64_t at_us);

static void free_intervals(struct interval_list *l);
static void *grow(void *items, size_t count, size_t size);
static char *copy_string_field(const json_t *e, const char *name);
static int64_t integer_field(const json_t *e, const char *name);
static struct interval *add_interval(struct interval_list *l);
static struct interval *end_interval(struct interval_list *l, const char *name,
				     const char *place, const char *request,
				     int64_t attempt, uint64_t at_us);
static void add_state_change(struct check *c, const char *vm, uint64_t at_us,
			     bool leaving);
static void close_open_intervals(struct interval_list *l, uint64_t at_us);
static int process_line(struct check *c, const char *line, uint64_t *last_us);
static event_fn on_run_start, on_run_end, on_task_start, on_task_end,
	on_over_limit, on_over_memory, on_answer, on_draining, on_vm_state,
	on_drain;

static const struct {
	const char *event;
	event_fn *fn;
} handlers[] = {
	{ "run-start", on_run_start },	   { "run-end", on_run_end },
	{ "run-killed", on_run_end },	   { "task-start", on_task_start },
	{ "task-end", on_task_end },	   { "over", on_over_limit },
	{ "over-memory", on_over_memory }, { "answer", on_answer },
	{ "entry-drain", on_drain },	   { "draining", on_draining },
	{ "vm-state", on_vm_state },
};

struct check *check_create(uint64_t leave_us)
{
	struct check *c = xcalloc(1, sizeof(*c));

	c->leave_us = leave_us;
	return c;
}

static void free_intervals(struct interval_list *l)
{
	for (size_t i = 0; i < l->count; i++) {
		free(l->items[i].name);
		free(l->items[i].vm);
		free(l->items[i].request);
		free(l->items[i].stop_checkpoint);
	}
	free(l->items);
}

void check_free(struct check *c)
{
	free_intervals(&c->runs);
	free_intervals(&c->tasks);
	for (size_t i = 0; i < c->answer_count; i++) {
		free(c->answers[i].key);
		free(c->answers[i].request);
	}
	for (size_t i = 0; i < c->state_change_count; i++)
		free(c->state_changes[i].vm);
	free(c->answers);
	free(c->state_changes);
	free(c->drains);
	free(c);
}

/* Makes room for one more item; capacity is a power of two from 16 up. */
static void *grow(void *items, size_t count, size_t size)
{
	if (count == 0)
		return xrealloc(items, 16 * size);
	if (count >= 16 && (count & (count - 1)) == 0)
		return xrealloc(items, 2 * count * size);
	return items;
}

static char *copy_string_field(const json_t *e, const char *name)
{
	const char *text = json_string_value(json_object_get(e, name));

	return xstrdup(text ? text : "");
}

static int64_t integer_field(const json_t *e, const char *name)
{
	return json_integer_value(json_object_get(e, name));
}

static struct interval *add_interval(struct interval_list *l)
{
	struct interval *i;

	l->items = grow(l->items, l->count, sizeof(*l->items));
	i = &l->items[l->count++];
	memset(i, 0, sizeof(*i));
	i->end_us = CHECK_OPEN_END;
	return i;
}

/* Ends the newest matching open interval; NULL when there is none. */
static struct interval *end_interval(struct interval_list *l, const char *name,
				     const char *place, const char *request,
				     int64_t attempt, uint64_t at_us)
{
	for (size_t i = l->count; i-- > 0;) {
		struct interval *v = &l->items[i];

		if (v->end_us != CHECK_OPEN_END || v->attempt != attempt ||
		    strcmp(v->name, name) || strcmp(v->vm, place) ||
		    (request && strcmp(v->request, request)))
			continue;
		v->end_us = at_us;
		return v;
	}
	return NULL;
}

static void on_run_start(struct check *c, const json_t *e, uint64_t at_us)
{
	struct interval *i = add_interval(&c->runs);

	i->name = copy_string_field(e, "key");
	i->vm = copy_string_field(e, "runner");
	i->request = copy_string_field(e, "request");
	i->begin_us = at_us;
}

static void on_run_end(struct check *c, const json_t *e, uint64_t at_us)
{
	char *key = copy_string_field(e, "key"),
	     *runner = copy_string_field(e, "runner");
	char *request = copy_string_field(e, "request");

	end_interval(&c->runs, key, runner, request, 0, at_us);
	free(key);
	free(runner);
	free(request);
}

static void on_task_start(struct check *c, const json_t *e, uint64_t at_us)
{
	struct interval *i = add_interval(&c->tasks);

	i->name = copy_string_field(e, "task");
	i->vm = copy_string_field(e, "worker");
	i->request = copy_string_field(e, "checkpoint");
	i->attempt = integer_field(e, "attempt");
	i->begin_us = at_us;
}

static void on_task_end(struct check *c, const json_t *e, uint64_t at_us)
{
	const char *state = json_string_value(json_object_get(e, "state"));
	char *task = copy_string_field(e, "task"),
	     *worker = copy_string_field(e, "worker");
	struct interval *i = end_interval(&c->tasks, task, worker, NULL,
					  integer_field(e, "attempt"), at_us);

	if (i && state && !strcmp(state, "done")) {
		i->done = true;
		c->finished++;
	} else if (i && state && !strcmp(state, "stopped")) {
		i->stop_checkpoint = copy_string_field(e, "checkpoint");
		c->evicted++;
	}
	free(task);
	free(worker);
}

static void on_over_limit(struct check *c, const json_t *e, uint64_t at_us)
{
	const char *limit = json_string_value(json_object_get(e, "limit"));

	(void)at_us;
	if (limit && !strcmp(limit, "slots"))
		c->over_slots++;
	else
		c->over_connections++;
}

static void on_over_memory(struct check *c, const json_t *e, uint64_t at_us)
{
	(void)e;
	(void)at_us;
	c->over_memory++;
}

static void on_answer(struct check *c, const json_t *e, uint64_t at_us)
{
	const char *outcome = json_string_value(json_object_get(e, "outcome"));
	struct answer *a;

	(void)at_us;
	c->answers = grow(c->answers, c->answer_count, sizeof(*c->answers));
	a = &c->answers[c->answer_count++];
	a->key = copy_string_field(e, "key");
	a->request = copy_string_field(e, "id");
	a->idempotent = json_is_true(json_object_get(e, "idempotent"));
	a->body_valid = json_is_true(json_object_get(e, "good"));
	a->status = (int)integer_field(e, "status");
	a->entry = (int)integer_field(e, "entry");
	a->begun_us = (uint64_t)integer_field(e, "begun_us");
	a->done = outcome && !strcmp(outcome, "done");
	a->not_run = outcome && !strcmp(outcome, "not-run");
}

static void add_state_change(struct check *c, const char *vm, uint64_t at_us,
			     bool leaving)
{
	struct vm_state_change *n;

	c->state_changes = grow(c->state_changes, c->state_change_count,
				sizeof(*c->state_changes));
	n = &c->state_changes[c->state_change_count++];
	n->vm = xstrdup(vm);
	n->at_us = at_us;
	n->leaving = leaving;
}

static void on_draining(struct check *c, const json_t *e, uint64_t at_us)
{
	const char *runner = json_string_value(json_object_get(e, "runner"));

	if (runner)
		add_state_change(c, runner, at_us,
				 json_is_true(json_object_get(e, "draining")));
}

static void on_vm_state(struct check *c, const json_t *e, uint64_t at_us)
{
	const char *vm = json_string_value(json_object_get(e, "vm"));
	const char *state = json_string_value(json_object_get(e, "state"));

	if (vm && state)
		add_state_change(c, vm, at_us, !strcmp(state, "leaving"));
}

static void on_drain(struct check *c, const json_t *e, uint64_t at_us)
{
	struct drain *d;

	c->drains = grow(c->drains, c->drain_count, sizeof(*c->drains));
	d = &c->drains[c->drain_count++];
	d->entry = (int)integer_field(e, "entry");
	d->at_us = at_us;
}

static int process_line(struct check *c, const char *line, uint64_t *last_us)
{
	json_t *e = json_loads(line, 0, NULL);
	const char *event = json_string_value(json_object_get(e, "event"));
	int rc = event ? 0 : -1;

	if (event)
		*last_us = (uint64_t)integer_field(e, "at_us");
	for (size_t i = 0; event && i < sizeof(handlers) / sizeof(*handlers);
	     i++)
		if (!strcmp(handlers[i].event, event))
			handlers[i].fn(c, e, *last_us);
	json_decref(e);
	return rc;
}

/* Ends the open intervals of the last journal, whose process was killed. */
static void close_open_intervals(struct interval_list *l, uint64_t at_us)
{
	for (size_t i = l->journal_start; i < l->count; i++)
		if (l->items[i].end_us == CHECK_OPEN_END)
			l->items[i].end_us = at_us;
}

int check_read(struct check *c, const char *path, bool dead)
{
	FILE *f = fopen(path, "r");
	uint64_t last_us = 0;
	unsigned number_read = 0;
	size_t size = 0;
	char *line = NULL;
	int rc = -1;

	if (!f) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return -1;
	}
	c->runs.journal_start = c->runs.count;
	c->tasks.journal_start = c->tasks.count;
	while (getline(&line, &size, f) > 0) {
		number_read++;
		if (process_line(c, line, &last_us) == 0)
			continue;
		/* A killed process may leave a partial last line. */
		if (getc(f) == EOF)
			break;
		fprintf(stderr, "%s:%u: line is not a JSON event\n", path,
			number_read);
		goto out;
	}
	if (dead) {
		close_open_intervals(&c->runs, last_us);
		close_open_intervals(&c->tasks, last_us);
	}
	rc = 0;
out:
	free(line);
	fclose(f);
	return rc;
}
