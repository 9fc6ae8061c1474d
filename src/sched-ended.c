#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "sched-internal.h"

/*
 * Load pattern: hundreds of jobs a second end, and callers may ask for their
 * states for minutes. Only what such an answer needs is kept, in 40 bytes.
 */

#define CHECK_INTERVAL_US 500000u

struct ended_job {
	char id[JOB_ID_BYTES];
	uint8_t state;
	bool used;
	bool expired; /* its records are to be deleted */
	uint32_t queue;
	uint32_t next; /* in its bucket, or in the free list */
	uint64_t ended_wall_ms;
};

static uint32_t bucket_of(const char *id)
{
	return (uint32_t)XXH64(id, strlen(id), 0) & (ENDED_BUCKETS - 1);
}

void sched_ended_init(struct sched *s)
{
	for (uint32_t i = 0; i < ENDED_BUCKETS; i++)
		s->ended.buckets[i] = SCHED_NONE;
	s->ended.first_free = SCHED_NONE;
}

void sched_ended_free(struct sched *s)
{
	free(s->ended.list);
	free(s->ended.queues);
}

static struct ended_job *find(const struct sched *s, const char *id)
{
	uint32_t i = s->ended.buckets[bucket_of(id)];

	while (i != SCHED_NONE && strcmp(s->ended.list[i].id, id))
		i = s->ended.list[i].next;
	return i == SCHED_NONE ? NULL : &s->ended.list[i];
}

bool sched_ended_contains(const struct sched *s, const char *id)
{
	return find(s, id) != NULL;
}

bool sched_ended_state(const struct sched *s, const char *id, const char *queue,
		       enum sched_job_state *state)
{
	const struct ended_job *j = find(s, id);

	if (!j || strcmp(s->ended.queues[j->queue], queue))
		return false;
	*state = (enum sched_job_state)j->state;
	return true;
}

static uint32_t queue_index(struct sched_ended *e, const char *name)
{
	uint32_t i = 0;

	while (i < e->queue_count && strcmp(e->queues[i], name))
		i++;
	if (i < e->queue_count)
		return i;
	e->queues = xrealloc(e->queues, (i + 1) * sizeof(*e->queues));
	memset(e->queues[i], 0, sizeof(*e->queues));
	memcpy(e->queues[i], name, strnlen(name, sizeof(*e->queues) - 1));
	return e->queue_count++;
}

static uint32_t new_entry(struct sched_ended *e)
{
	uint32_t i = e->first_free;

	if (i != SCHED_NONE) {
		e->first_free = e->list[i].next;
		return i;
	}
	if (e->count == e->capacity) {
		e->capacity = e->capacity * 2 + 64;
		e->list = xrealloc(e->list, e->capacity * sizeof(*e->list));
	}
	return e->count++;
}

void sched_ended_add(struct sched *s, const char *id, const char *queue,
		     enum sched_job_state state, uint64_t ended_wall_ms)
{
	uint32_t *bucket = &s->ended.buckets[bucket_of(id)];
	uint32_t i;

	if (find(s, id))
		return;
	i = new_entry(&s->ended);
	s->ended.list[i] = (struct ended_job){
		.state = (uint8_t)state,
		.used = true,
		.queue = queue_index(&s->ended, queue),
		.next = *bucket,
		.ended_wall_ms = ended_wall_ms,
	};
	memcpy(s->ended.list[i].id, id, strnlen(id, JOB_ID_CHARS));
	*bucket = i;
	s->job_bytes += sizeof(struct ended_job);
}

void sched_ended_forgotten(struct sched *s, const char *id)
{
	struct ended_job *j = find(s, id);
	uint32_t *link = &s->ended.buckets[bucket_of(id)], i;

	if (!j || !j->expired)
		return;
	i = (uint32_t)(j - s->ended.list);
	while (*link != i)
		link = &s->ended.list[*link].next;
	*link = j->next;
	j->used = false;
	j->next = s->ended.first_free;
	s->ended.first_free = i;
	s->job_bytes -= sizeof(*j);
}

void sched_ended_tick(struct sched *s)
{
	uint64_t kept_ms = s->settings.status_retention_s * 1000ull;

	if (s->now_us < s->ended.check_us)
		return;
	s->ended.check_us = s->now_us + CHECK_INTERVAL_US;
	for (uint32_t i = 0; i < s->ended.count; i++) {
		struct ended_job *j = &s->ended.list[i];

		if (!j->used || j->expired ||
		    s->wall_ms <= j->ended_wall_ms + kept_ms)
			continue;
		j->expired = true;
		s->ops->forget(s->arg, j->id);
	}
}
