#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "job-deferred.h"

/* 32 bytes a job: the store may have hundreds of thousands. */

#define BUCKETS_MIN 256u
#define NONE UINT32_MAX

struct deferred_job {
	char id[JOB_ID_BYTES];
	bool used;
	bool taken;
	bool due;
	uint32_t queue;
	uint32_t next_in_bucket;
};

void job_deferred_free(struct job_deferred *d)
{
	free(d->list);
	free(d->buckets);
	free(d->queues);
	memset(d, 0, sizeof(*d));
}

static uint32_t *bucket_of(const struct job_deferred *d, const char *id)
{
	return &d->buckets[XXH64(id, strlen(id), 0) & (d->bucket_count - 1)];
}

static struct deferred_job *find(const struct job_deferred *d, const char *id)
{
	uint32_t i = d->bucket_count ? *bucket_of(d, id) : NONE;

	while (i != NONE && strcmp(d->list[i].id, id))
		i = d->list[i].next_in_bucket;
	return i == NONE ? NULL : &d->list[i];
}

static void link_all(struct job_deferred *d)
{
	for (uint32_t i = 0; i < d->bucket_count; i++)
		d->buckets[i] = NONE;
	for (uint32_t i = d->first; i < d->end; i++) {
		uint32_t *bucket = bucket_of(d, d->list[i].id);

		if (!d->list[i].used)
			continue;
		d->list[i].next_in_bucket = *bucket;
		*bucket = i;
	}
}

/* Makes room for one more: drops removed entries, then grows. */
static void make_room(struct job_deferred *d)
{
	uint32_t n = 0;

	if (d->end < d->capacity)
		return;
	for (uint32_t i = d->first; i < d->end; i++)
		if (d->list[i].used)
			d->list[n++] = d->list[i];
	d->first = 0;
	d->end = n;
	if (n > d->capacity / 2 || !d->capacity) {
		d->capacity = d->capacity * 2 + BUCKETS_MIN;
		d->list = xrealloc(d->list, d->capacity * sizeof(*d->list));
	}
	while (d->bucket_count < d->capacity / 2)
		d->bucket_count =
			d->bucket_count ? d->bucket_count * 2 : BUCKETS_MIN;
	d->buckets =
		xrealloc(d->buckets, d->bucket_count * sizeof(*d->buckets));
	link_all(d);
}

static uint32_t queue_index(struct job_deferred *d, const char *queue)
{
	uint32_t i = 0;

	while (i < d->queue_count && strcmp(d->queues[i], queue))
		i++;
	if (i < d->queue_count)
		return i;
	d->queues = xrealloc(d->queues, (i + 1) * sizeof(*d->queues));
	strncpy(d->queues[i], queue, sizeof(*d->queues) - 1);
	d->queues[i][sizeof(*d->queues) - 1] = '\0';
	return d->queue_count++;
}

void job_deferred_add(struct job_deferred *d, const char *id, const char *queue)
{
	struct deferred_job *j;
	uint32_t *bucket;

	if (find(d, id))
		return;
	make_room(d);
	j = &d->list[d->end];
	memset(j, 0, sizeof(*j));
	memcpy(j->id, id, strnlen(id, JOB_ID_CHARS));
	j->used = true;
	j->queue = queue_index(d, queue);
	bucket = bucket_of(d, j->id);
	j->next_in_bucket = *bucket;
	*bucket = d->end++;
	d->count++;
}

bool job_deferred_contains(const struct job_deferred *d, const char *id)
{
	return find(d, id) != NULL;
}

void job_deferred_remove(struct job_deferred *d, const char *id)
{
	struct deferred_job *j = find(d, id);
	uint32_t *link;

	if (!j)
		return;
	link = bucket_of(d, id);
	while (&d->list[*link] != j)
		link = &d->list[*link].next_in_bucket;
	*link = j->next_in_bucket;
	j->used = false;
	d->count--;
	d->due -= j->due;
	while (d->first < d->end && !d->list[d->first].used)
		d->first++;
}

bool job_deferred_set_due(struct job_deferred *d, const char *id)
{
	struct deferred_job *j = find(d, id);

	if (!j)
		return false;
	d->due += !j->due;
	j->due = true;
	return true;
}

const char *job_deferred_queue(const struct job_deferred *d, const char *id)
{
	const struct deferred_job *j = find(d, id);

	return j ? d->queues[j->queue] : NULL;
}

void job_deferred_set_taken(struct job_deferred *d, const char *id, bool taken)
{
	struct deferred_job *j = find(d, id);

	if (j)
		j->taken = taken;
}

const char *job_deferred_next(const struct job_deferred *d, bool due)
{
	for (uint32_t i = d->first; i < d->end; i++) {
		const struct deferred_job *j = &d->list[i];

		if (j->used && !j->taken && (!due || j->due))
			return j->id;
	}
	return NULL;
}

uint32_t job_deferred_waiting(const struct job_deferred *d, const char *queue)
{
	uint32_t n = 0;

	for (uint32_t i = d->first; i < d->end; i++) {
		const struct deferred_job *j = &d->list[i];

		n += j->used && !j->due && !strcmp(d->queues[j->queue], queue);
	}
	return n;
}
