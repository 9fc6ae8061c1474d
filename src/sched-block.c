#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "sched-internal.h"

/*
 * The record of a job with many tasks is divided: a head, and blocks of the
 * tasks of one occurrence. A block is stored again only if it has changed, so
 * what is written for a change does not grow with the job, and each value stays
 * far below the store's limit.
 */

/* Jobs with more tasks, of all occurrences, have a divided record. */
#define WHOLE_RECORD_TASKS_MAX 512u
#define BLOCK_TASKS 256u
/* A block that may be stored, with other contents. */
#define HASH_UNKNOWN 1u

static uint64_t hash_record(const struct buffer *b)
{
	uint64_t hash = XXH64(b->data, b->len, 0);

	return hash > HASH_UNKNOWN ? hash : HASH_UNKNOWN + 1;
}

uint32_t sched_block_tasks(const struct job_spec *spec)
{
	uint64_t tasks = (uint64_t)job_spec_task_count(spec) *
			 (spec->repetitions ? spec->repetitions : 1);

	return tasks > WHOLE_RECORD_TASKS_MAX ? BLOCK_TASKS : 0;
}

uint32_t sched_block_count(const struct job *j)
{
	uint32_t tasks = job_spec_task_count(&j->spec);

	return j->block_tasks ? (tasks + j->block_tasks - 1) / j->block_tasks
			      : 0;
}

void sched_blocks_begin(const struct job *j, struct occurrence *o)
{
	o->block_hashes = j->block_tasks ? xcalloc(sched_block_count(j),
						   sizeof(*o->block_hashes))
					 : NULL;
}

void sched_blocks_release(struct job *j, struct occurrence *o)
{
	for (uint32_t i = 0; o->block_hashes && i < sched_block_count(j); i++) {
		if (!o->block_hashes[i])
			continue;
		j->stale = xrealloc(j->stale,
				    (j->stale_count + 1) * sizeof(*j->stale));
		j->stale[j->stale_count++] =
			(struct stale_block){ o->number, i };
		o->block_hashes[i] = 0;
	}
}

static void block_name(const struct job *j, uint32_t occurrence, uint32_t block,
		       char name[SCHED_RECORD_NAME_BYTES])
{
	snprintf(name, SCHED_RECORD_NAME_BYTES, "%s/%u/%u", j->spec.id,
		 occurrence, block);
}

static void forget_stale(struct sched *s, struct job *j, uint32_t count)
{
	char name[SCHED_RECORD_NAME_BYTES];

	for (uint32_t i = 0; i < count; i++) {
		block_name(j, j->stale[i].occurrence, j->stale[i].block, name);
		s->ops->forget_record(s->arg, name);
	}
	j->stale_count -= count;
	j->stale_collected = 0;
	if (count)
		memmove(j->stale, j->stale + count,
			j->stale_count * sizeof(*j->stale));
}

/* ---- collection ---- */

static bool is_blank(const struct sched *s, const struct occurrence *o,
		     uint32_t first, uint32_t end)
{
	for (uint32_t i = first; i < end; i++) {
		const struct sched_task *t = &s->tasks[o->first_task + i];

		if (t->run || t->state == TASK_DONE)
			return false;
	}
	return true;
}

struct changed_block {
	struct buffer record;
	uint64_t hash;
	uint32_t block;
};

/* Encodes the blocks that are not stored as they are; returns their number. */
static uint32_t encode_changed(const struct sched *s, const struct job *j,
			       const struct occurrence *o,
			       struct changed_block *changed)
{
	uint32_t tasks = job_spec_task_count(&j->spec), n = 0;

	for (uint32_t i = 0; i < sched_block_count(j); i++) {
		uint32_t first = i * j->block_tasks;
		uint32_t end = first + j->block_tasks;
		struct changed_block *c = &changed[n];

		if (end > tasks)
			end = tasks;
		if (!o->block_hashes[i] && is_blank(s, o, first, end))
			continue;
		c->record = (struct buffer)BUFFER_INIT;
		sched_record_encode_block(s, o, first, end, &c->record);
		c->hash = hash_record(&c->record);
		c->block = i;
		if (c->hash == o->block_hashes[i])
			buffer_free(&c->record);
		else
			n++;
	}
	return n;
}

static void emit_block(struct sched *s, struct job *j, struct occurrence *o,
		       const struct changed_block *b,
		       struct sched_collection *c)
{
	uint32_t first = b->block * j->block_tasks;
	uint32_t tasks = job_spec_task_count(&j->spec);
	char name[SCHED_RECORD_NAME_BYTES];

	for (uint32_t i = first; i < first + j->block_tasks && i < tasks; i++)
		if (s->tasks[o->first_task + i].state == TASK_PLACED)
			s->tasks[o->first_task + i].state = TASK_STORING;
	block_name(j, o->number, b->block, name);
	sched_collection_add(c, name, &b->record);
	o->block_hashes[b->block] = b->hash;
}

/*
 * All changes of an occurrence are collected together, as members of a gang may
 * be in several blocks, unless they exceed what may be collected at once.
 */
static bool collect_occurrence(struct sched *s, struct job *j,
			       struct occurrence *o, struct sched_collection *c)
{
	struct changed_block *changed =
		xcalloc(sched_block_count(j), sizeof(*changed));
	uint32_t n = encode_changed(s, j, o, changed), emitted = 0;

	if (n <= c->max - c->count || !c->count)
		while (emitted < n && c->count < c->max)
			emit_block(s, j, o, &changed[emitted++], c);
	for (uint32_t i = 0; i < n; i++)
		buffer_free(&changed[i].record);
	free(changed);
	return emitted == n;
}

static void collect_head(struct job *j, struct sched_collection *c)
{
	struct buffer b = BUFFER_INIT;
	uint64_t hash;

	sched_record_encode_head(j, &b);
	hash = hash_record(&b);
	if (hash != j->head_hash)
		sched_collection_add(c, j->spec.id, &b);
	j->head_hash = hash;
	/* The head names none of their occurrences. */
	j->stale_collected = j->stale_count;
	buffer_free(&b);
}

bool sched_blocks_collect(struct sched *s, struct job *j,
			  struct sched_collection *c)
{
	collect_head(j, c);
	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		if (!j->occurrences[i].used)
			continue;
		if (sched_collection_full(c) ||
		    !collect_occurrence(s, j, &j->occurrences[i], c))
			return false;
	}
	return true;
}

void sched_blocks_stored(struct sched *s, struct job *j, bool stored)
{
	if (stored) {
		forget_stale(s, j, j->stale_collected);
		return;
	}
	j->stale_collected = 0;
	j->head_hash = 0;
	for (uint32_t i = 0; i < j->occurrence_count; i++) {
		struct occurrence *o = &j->occurrences[i];

		for (uint32_t k = 0;
		     o->used && o->block_hashes && k < sched_block_count(j);
		     k++)
			if (o->block_hashes[k])
				o->block_hashes[k] = HASH_UNKNOWN;
	}
}

/* ---- restoration ---- */

void sched_block_restored(struct occurrence *o, uint32_t block,
			  const void *data, size_t len)
{
	struct buffer b = { .data = (char *)data, .len = len };

	o->block_hashes[block] = hash_record(&b);
}

void sched_restored(struct sched *s)
{
	for (uint32_t i = 0; i < s->job_count; i++) {
		struct job *j = &s->jobs[i];

		if (!j->used || !j->block_tasks ||
		    j->state >= SCHED_JOB_COMPLETED)
			continue;
		for (uint32_t k = 0; k < j->occurrence_count; k++)
			if (j->occurrences[k].used)
				sched_unblock(s, j, &j->occurrences[k]);
	}
}
