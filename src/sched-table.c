#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "sched-internal.h"

/*
 * The tasks of one occurrence are contiguous. Free ranges are kept in order of
 * their position and joined, so that a large one is found again after small
 * ones were in use.
 */

/* Occurrences with more tasks have the share SHARE_LARGE. */
#define SMALL_TASKS_MAX 512u
/*
 * A quarter more than may be in use (sched-begin.c), for free ranges that are
 * too short.
 */
#define TABLE_TASKS_MAX 163840u

enum task_share sched_task_share(uint32_t count)
{
	return count > SMALL_TASKS_MAX ? SHARE_LARGE : SHARE_SMALL;
}

/* The first free range that is long enough, or the number of ranges. */
static uint32_t find_free(const struct sched *s, uint32_t count)
{
	uint32_t i = 0;

	while (i < s->free_block_count && s->free_blocks[i].count < count)
		i++;
	return i;
}

bool sched_table_has_room(const struct sched *s, uint32_t count)
{
	return s->task_count + count <= TABLE_TASKS_MAX ||
	       find_free(s, count) < s->free_block_count;
}

static void delete_block(struct sched *s, uint32_t i)
{
	s->free_block_count--;
	memmove(&s->free_blocks[i], &s->free_blocks[i + 1],
		(s->free_block_count - i) * sizeof(*s->free_blocks));
}

static bool reuse(struct sched *s, uint32_t count, uint32_t *first)
{
	uint32_t i = find_free(s, count);
	struct task_block *b = &s->free_blocks[i];

	if (i == s->free_block_count)
		return false;
	*first = b->first;
	b->first += count;
	b->count -= count;
	if (!b->count)
		delete_block(s, i);
	return true;
}

static uint32_t grown_capacity(uint32_t count)
{
	uint32_t capacity = count * 2;

	/* Records of earlier versions may need more. */
	if (capacity > TABLE_TASKS_MAX)
		capacity = count > TABLE_TASKS_MAX ? count + count / 8
						   : TABLE_TASKS_MAX;
	return capacity;
}

uint32_t sched_table_add(struct sched *s, uint32_t count)
{
	uint32_t first = s->task_count;

	if (!reuse(s, count, &first)) {
		if (first + count > s->task_capacity) {
			s->task_capacity = grown_capacity(first + count);
			s->tasks = xrealloc(
				s->tasks, s->task_capacity * sizeof(*s->tasks));
		}
		s->task_count += count;
	}
	memset(&s->tasks[first], 0, count * sizeof(*s->tasks));
	return first;
}

static void insert_block(struct sched *s, uint32_t i, uint32_t first,
			 uint32_t count)
{
	if (s->free_block_count == s->free_block_capacity) {
		s->free_block_capacity = s->free_block_capacity * 2 + 16;
		s->free_blocks = xrealloc(s->free_blocks,
					  s->free_block_capacity *
						  sizeof(*s->free_blocks));
	}
	memmove(&s->free_blocks[i + 1], &s->free_blocks[i],
		(s->free_block_count - i) * sizeof(*s->free_blocks));
	s->free_blocks[i] = (struct task_block){ first, count };
	s->free_block_count++;
}

/* The position of the first free range behind first. */
static uint32_t find_next(const struct sched *s, uint32_t first)
{
	uint32_t low = 0, high = s->free_block_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;

		if (s->free_blocks[middle].first < first)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void sched_table_remove(struct sched *s, uint32_t first, uint32_t count)
{
	uint32_t i = find_next(s, first);
	struct task_block *b;

	/* Indices that are kept elsewhere must not find a former task. */
	memset(&s->tasks[first], 0, count * sizeof(*s->tasks));
	insert_block(s, i, first, count);
	b = &s->free_blocks[i];
	if (i + 1 < s->free_block_count && b->first + b->count == b[1].first) {
		b->count += b[1].count;
		delete_block(s, i + 1);
	}
	if (i && b[-1].first + b[-1].count == b->first) {
		b[-1].count += b->count;
		delete_block(s, i--);
	}
	b = &s->free_blocks[i];
	if (b->first + b->count == s->task_count) {
		s->task_count = b->first;
		delete_block(s, i);
	}
}
