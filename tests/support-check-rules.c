#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "support-check-internal.h"

struct evaluation {
	struct check *check;
	struct check_result *results;
	unsigned examples;
};

static const struct check_result rules[CHECK_RULE_COUNT] = {
	[CHECK_SLOTS] = { "1", "runner offered more work than its slots", 0,
			  0 },
	[CHECK_CONNECTIONS] = { "1", "runner above its connection limit", 0,
				0 },
	[CHECK_MEMORY] = { "1", "worker above its memory capacity", 0, 0 },
	[CHECK_TASK_OVERLAP] = { "2", "task ran twice at a time", 0, 0 },
	[CHECK_KEY_OVERLAP] = { "2", "non-idempotent key ran twice at a time",
				0, 0 },
	[CHECK_ATTEMPT] = { "3", "attempt started twice", 0, 0 },
	[CHECK_AFTER_DONE] = { "3", "task started after it was done", 0, 0 },
	[CHECK_RESUME] = { "note", "evicted task lost some progress", 0, 0 },
	[CHECK_ANSWER] = { "4", "response truncated or of another request", 0,
			   0 },
	[CHECK_ANSWER_WITHOUT_RUN] = { "4", "response for a key that never ran",
				       0, 0 },
	[CHECK_NOT_RUN] = { "5", "reported as not-run, but it ran", 0, 0 },
	[CHECK_RUN_ONCE] = { "6", "non-idempotent key ran more than once", 0,
			     0 },
	[CHECK_LEAVING] = { "7", "new work on a leaving VM", 0, 0 },
	[CHECK_DRAIN_LOST] = { "8", "request lost in a planned stop", 0, 0 },
};

static void report_violation(struct evaluation *j, enum check_rule rule,
			     const char *what, const char *where);
static int compare_by_name(const void *a, const void *b);
static int compare_by_request(const void *a, const void *b);
static int compare_by_key(const void *a, const void *b);
static void sort_intervals(struct interval_list *l,
			   int (*order)(const void *, const void *));
static const struct interval *find_name(const struct interval_list *l,
					const char *name);
static void check_resume(struct evaluation *j, const struct interval *t);
static void check_tasks(struct evaluation *j);
static void check_answers(struct evaluation *j);
static void check_not_run(struct evaluation *j);
static void check_keys(struct evaluation *j);
static void check_key(struct evaluation *j, const char *key);
static void check_leaving(struct evaluation *j, const struct interval_list *l);
static void check_drains(struct evaluation *j);

static void report_violation(struct evaluation *j, enum check_rule rule,
			     const char *what, const char *where)
{
	struct check_result *r = &j->results[rule];

	if (r->violations++ < j->examples)
		printf("violation of %s: %s: %s %s\n", r->invariant, r->text,
		       what, where);
}

static int compare_by_name(const void *a, const void *b)
{
	const struct interval *x = a, *y = b;
	int order = strcmp(x->name, y->name);

	if (order)
		return order;
	return x->begin_us < y->begin_us ? -1 : x->begin_us > y->begin_us;
}

static int compare_by_request(const void *a, const void *b)
{
	const struct interval *x = a, *y = b;

	return strcmp(x->request, y->request);
}

static int compare_by_key(const void *a, const void *b)
{
	const struct answer *x = a, *y = b;

	return strcmp(x->key, y->key);
}

static void sort_intervals(struct interval_list *l,
			   int (*order)(const void *, const void *))
{
	if (l->count)
		qsort(l->items, l->count, sizeof(*l->items), order);
}

/* Returns the first interval of that name; the list is sorted by name. */
static const struct interval *find_name(const struct interval_list *l,
					const char *name)
{
	size_t low = 0, high = l->count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(l->items[mid].name, name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	if (low == l->count || strcmp(l->items[low].name, name))
		return NULL;
	return &l->items[low];
}

/* An evicted task must resume from the checkpoint taken at its eviction. */
static void check_resume(struct evaluation *j, const struct interval *t)
{
	const char *stopped = t[-1].stop_checkpoint;

	if (!stopped || !stopped[0])
		return;
	j->results[CHECK_RESUME].cases++;
	if (strcmp(stopped, t->request))
		report_violation(j, CHECK_RESUME, t->name, t->vm);
}

/* Compares each start of a task with its earlier ones; sorted by name. */
static void check_tasks(struct evaluation *j)
{
	const struct interval_list *l = &j->check->tasks;
	uint64_t end_us = 0;
	bool done = false;

	j->results[CHECK_TASK_OVERLAP].cases = l->count;
	j->results[CHECK_ATTEMPT].cases = l->count;
	j->results[CHECK_AFTER_DONE].cases = l->count;
	for (size_t i = 0; i < l->count; i++) {
		const struct interval *t = &l->items[i];

		if (!i || strcmp(t->name, t[-1].name)) {
			end_us = 0;
			done = false;
		} else {
			if (t->begin_us < end_us)
				report_violation(j, CHECK_TASK_OVERLAP, t->name,
						 t->vm);
			if (t->attempt <= t[-1].attempt)
				report_violation(j, CHECK_ATTEMPT, t->name,
						 t->vm);
			if (done)
				report_violation(j, CHECK_AFTER_DONE, t->name,
						 t->vm);
			check_resume(j, t);
		}
		done |= t->done;
		if (t->end_us > end_us)
			end_us = t->end_us;
	}
}

static void check_answers(struct evaluation *j)
{
	struct check *c = j->check;

	for (size_t i = 0; i < c->answer_count; i++) {
		const struct answer *a = &c->answers[i];

		if (!a->done || a->status != 200)
			continue;
		j->results[CHECK_ANSWER].cases++;
		j->results[CHECK_ANSWER_WITHOUT_RUN].cases++;
		if (!a->body_valid)
			report_violation(j, CHECK_ANSWER, a->key, a->request);
		if (c->runs.count && !find_name(&c->runs, a->key))
			report_violation(j, CHECK_ANSWER_WITHOUT_RUN, a->key,
					 a->request);
	}
}

/* Requires the runs to be sorted by request id. */
static void check_not_run(struct evaluation *j)
{
	struct check *c = j->check;
	struct interval wanted = { 0 };

	for (size_t i = 0; i < c->answer_count; i++) {
		const struct answer *a = &c->answers[i];

		if (!a->not_run || !a->request[0])
			continue;
		j->results[CHECK_NOT_RUN].cases++;
		wanted.request = a->request;
		if (c->runs.count &&
		    bsearch(&wanted, c->runs.items, c->runs.count,
			    sizeof(wanted), compare_by_request))
			report_violation(j, CHECK_NOT_RUN, a->key, a->request);
	}
}

/* Counts the runs of a non-idempotent key; the runs are sorted by key. */
static void check_key(struct evaluation *j, const char *key)
{
	const struct interval_list *l = &j->check->runs;
	const struct interval *first = find_name(l, key), *r;
	uint64_t end_us = 0;
	unsigned count = 0;
	bool overlap = false;

	j->results[CHECK_RUN_ONCE].cases++;
	j->results[CHECK_KEY_OVERLAP].cases++;
	for (r = first; r && r < l->items + l->count && !strcmp(r->name, key);
	     r++) {
		overlap |= r->begin_us < end_us;
		if (r->end_us > end_us)
			end_us = r->end_us;
		count++;
	}
	if (count > 1)
		report_violation(j, CHECK_RUN_ONCE, key, first->vm);
	if (overlap)
		report_violation(j, CHECK_KEY_OVERLAP, key, first->vm);
}

static void check_keys(struct evaluation *j)
{
	struct check *c = j->check;
	const char *last = "";

	for (size_t i = 0; i < c->answer_count; i++) {
		const struct answer *a = &c->answers[i];

		if (a->idempotent || !strcmp(a->key, last))
			continue;
		last = a->key;
		check_key(j, a->key);
	}
}

/* No new work may start on a VM later than leave_us after it began to leave. */
static void check_leaving(struct evaluation *j, const struct interval_list *l)
{
	struct check *c = j->check;

	for (size_t n = 0; n < c->state_change_count; n++) {
		const struct vm_state_change *from = &c->state_changes[n];
		uint64_t until = CHECK_OPEN_END;

		if (!from->leaving)
			continue;
		for (size_t m = 0; m < c->state_change_count; m++) {
			const struct vm_state_change *other =
				&c->state_changes[m];

			if (!other->leaving && other->at_us > from->at_us &&
			    other->at_us < until &&
			    !strcmp(other->vm, from->vm))
				until = other->at_us;
		}
		j->results[CHECK_LEAVING].cases++;
		for (size_t i = 0; i < l->count; i++) {
			const struct interval *r = &l->items[i];

			if (!strcmp(r->vm, from->vm) &&
			    r->begin_us > from->at_us + c->leave_us &&
			    r->begin_us < until)
				report_violation(j, CHECK_LEAVING, r->name,
						 r->vm);
		}
	}
}

/* Requests sent to an entry VM before its drain must get a response. */
static void check_drains(struct evaluation *j)
{
	struct check *c = j->check;

	for (size_t d = 0; d < c->drain_count; d++) {
		for (size_t i = 0; i < c->answer_count; i++) {
			const struct answer *a = &c->answers[i];

			if (a->entry != c->drains[d].entry ||
			    a->begun_us >= c->drains[d].at_us)
				continue;
			j->results[CHECK_DRAIN_LOST].cases++;
			if (!a->status)
				report_violation(j, CHECK_DRAIN_LOST, a->key,
						 a->request);
		}
	}
}

void check_count(const struct check *c, struct check_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	counts->runs = c->runs.count;
	counts->attempts = c->tasks.count;
	counts->evicted = c->evicted;
	counts->finished = c->finished;
	counts->answers = c->answer_count;
	for (size_t i = 0; i < c->tasks.count; i++)
		counts->resumed += c->tasks.items[i].request[0] != '\0';
}

void check_evaluate(struct check *c,
		    struct check_result results[CHECK_RULE_COUNT],
		    unsigned examples)
{
	struct evaluation j = { c, results, examples };

	memcpy(results, rules, sizeof(rules));
	results[CHECK_SLOTS].cases = c->runs.count + c->over_slots;
	results[CHECK_SLOTS].violations = c->over_slots;
	results[CHECK_CONNECTIONS].cases = c->runs.count;
	results[CHECK_CONNECTIONS].violations = c->over_connections;
	results[CHECK_MEMORY].cases = c->tasks.count;
	results[CHECK_MEMORY].violations = c->over_memory;
	if (c->answer_count)
		qsort(c->answers, c->answer_count, sizeof(*c->answers),
		      compare_by_key);
	sort_intervals(&c->tasks, compare_by_name);
	check_tasks(&j);
	check_leaving(&j, &c->tasks);
	sort_intervals(&c->runs, compare_by_request);
	check_not_run(&j);
	sort_intervals(&c->runs, compare_by_name);
	check_answers(&j);
	check_keys(&j);
	check_leaving(&j, &c->runs);
	check_drains(&j);
}
