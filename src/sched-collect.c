#include "sched-internal.h"

void sched_mark_dirty(struct sched *s, struct job *j)
{
	s->job_due_wall_ms[sched_job_index(s, j)] = 0;
	if (j->unstorable)
		return;
	s->dirty_count += !j->dirty;
	j->dirty = true;
}

void sched_clear_dirty(struct sched *s, struct job *j)
{
	s->dirty_count -= j->dirty;
	j->dirty = false;
}

void sched_worker_has_ends(struct sched *s, uint32_t worker)
{
	if (s->workers[worker].ending)
		return;
	s->workers[worker].ending = true;
	s->ending[s->ending_count++] = worker;
}

/* The ends in the collected records can be acknowledged to their workers. */
static void end_stored(struct sched *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->ending_count; i++) {
		struct sched_worker *w = &s->workers[s->ending[i]];

		if (w->ends_collected > w->ends_stored)
			w->ends_stored = w->ends_collected;
		w->ending = w->ends_stored < w->ends_seen;
		if (w->ending)
			s->ending[n++] = s->ending[i];
	}
	s->ending_count = n;
}

/* A longer transaction takes too long on a slow link. */
#define COLLECTION_BYTES_MAX (256 * 1024u)

bool sched_collection_full(const struct sched_collection *c)
{
	return c->count >= c->max || c->bytes >= COLLECTION_BYTES_MAX;
}

void sched_collection_add(struct sched_collection *c, const char *name,
			  const struct buffer *record)
{
	c->fn(c->arg, name, record->data, record->len);
	c->count++;
	c->bytes += record->len;
}

static void collect_whole(struct sched *s, struct job *j,
			  struct sched_collection *c)
{
	uint32_t count = job_spec_task_count(&j->spec);
	struct buffer b = BUFFER_INIT;

	for (uint32_t k = 0; k < j->occurrence_count; k++) {
		struct occurrence *o = &j->occurrences[k];

		for (uint32_t m = 0; o->used && m < count; m++)
			if (s->tasks[o->first_task + m].state == TASK_PLACED)
				s->tasks[o->first_task + m].state =
					TASK_STORING;
	}
	sched_record_encode(s, j, &b);
	sched_collection_add(c, j->spec.id, &b);
	buffer_free(&b);
}

/* Returns false if some records are left for the next collection. */
static bool collect_job(struct sched *s, struct job *j,
			struct sched_collection *c)
{
	if (j->block_tasks && !j->set_aside)
		return sched_blocks_collect(s, j, c);
	collect_whole(s, j, c);
	j->stale_collected = j->stale_count;
	return true;
}

size_t sched_collect(struct sched *s, size_t max,
		     void (*fn)(void *arg, const char *id, const void *data,
				size_t len),
		     void *arg)
{
	struct sched_collection c = { .fn = fn, .arg = arg, .max = max };
	uint32_t from = s->collect_from < s->job_count ? s->collect_from : 0;
	bool complete = true;

	for (uint32_t k = 0; s->dirty_count && k < s->job_count; k++) {
		uint32_t i = (from + k) % s->job_count;
		struct job *j = &s->jobs[i];
		size_t count = c.count;

		if (!j->used || !j->dirty)
			continue;
		complete = !sched_collection_full(&c) && collect_job(s, j, &c);
		if (c.count > count) {
			j->collected = true;
			s->collected[s->collected_count++] = i;
		}
		if (!complete) {
			/* The others come first then. */
			s->collect_from = i;
			break;
		}
		sched_clear_dirty(s, j);
	}
	if (complete)
		s->collect_from = 0;
	for (uint32_t i = 0; complete && i < s->ending_count; i++) {
		struct sched_worker *w = &s->workers[s->ending[i]];

		w->ends_collected = w->ends_seen;
	}
	s->collecting = c.count > 0;
	if (!c.count)
		end_stored(s);
	return c.count;
}

static void start_stored_tasks(struct sched *s, struct job *j, bool stored)
{
	uint32_t count = job_spec_task_count(&j->spec);

	for (uint32_t k = 0; k < j->occurrence_count; k++) {
		const struct occurrence *o = &j->occurrences[k];

		for (uint32_t m = 0; o->used && m < count; m++) {
			struct sched_task *t = &s->tasks[o->first_task + m];
			const struct sched_worker *w;

			if (t->state != TASK_STORING)
				continue;
			w = &s->workers[t->worker];
			if (!stored)
				t->state = TASK_PLACED;
			else if (w->draining || w->entry_outdated ||
				 w->evacuated)
				sched_task_requeue(s, t, 0);
			else
				sched_task_start(s, t);
		}
	}
}

static void forget_collected_ends(struct sched *s)
{
	for (uint32_t i = 0; i < s->ending_count; i++) {
		struct sched_worker *w = &s->workers[s->ending[i]];

		w->ends_collected = w->ends_stored;
	}
}

void sched_stored(struct sched *s, bool stored, uint64_t now_us)
{
	s->now_us = now_us;
	for (uint32_t i = 0; i < s->collected_count; i++) {
		struct job *j = &s->jobs[s->collected[i]];

		j->collected = false;
		sched_blocks_stored(s, j, stored);
		start_stored_tasks(s, j, stored);
		if (!stored)
			sched_mark_dirty(s, j);
		/* It may be removed now. */
		s->job_due_wall_ms[s->collected[i]] = 0;
	}
	s->collected_count = 0;
	s->collecting = false;
	if (stored)
		end_stored(s);
	else
		forget_collected_ends(s);
}

void sched_set_aside(struct sched *s, const char *id, uint64_t now_us)
{
	struct job *j = sched_job_find(s, id);

	s->now_us = now_us;
	if (!j)
		return;
	if (j->set_aside) {
		sched_clear_dirty(s, j);
		j->unstorable = true;
		return;
	}
	j->set_aside = true;
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used)
			sched_blocks_release(j, &j->occurrences[i]);
	if (j->state < SCHED_JOB_COMPLETED)
		sched_end_job(s, j, SCHED_JOB_FAILED);
	else
		sched_mark_dirty(s, j);
}

bool sched_has_changes(const struct sched *s)
{
	return s->dirty_count > 0;
}
