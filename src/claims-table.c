#include <stdlib.h>
#include <string.h>

#include "claims-table.h"

#define INITIAL_CAPACITY 64u
/* Approximate overhead of the allocator for each response. */
#define RESPONSE_OVERHEAD_BYTES 16u

static uint32_t next_capacity(const struct claims_table *t);
static void grow(struct claims_table *t);
static void link_bucket(struct claims_table *t, uint32_t i);
static void age_list_remove(struct claims_table *t, uint32_t i);
static void age_list_append(struct claims_table *t, uint32_t i);

void claims_table_init(struct claims_table *t)
{
	memset(t, 0, sizeof(*t));
	t->free_head = CLAIM_NONE;
	t->oldest = CLAIM_NONE;
	t->newest = CLAIM_NONE;
	t->response_cursor = CLAIM_NONE;
}

void claims_table_free(struct claims_table *t)
{
	for (uint32_t i = 0; i < t->capacity; i++)
		free(t->claims[i].response);
	free(t->claims);
	free(t->buckets);
	claims_table_init(t);
}

static uint32_t bucket_of(const struct claims_table *t, const uint64_t hash[2])
{
	return (uint32_t)((hash[0] ^ hash[1] >> 32) % t->bucket_count);
}

static void link_bucket(struct claims_table *t, uint32_t i)
{
	uint32_t b = bucket_of(t, t->claims[i].hash);

	t->claims[i].hash_next = t->buckets[b];
	t->buckets[b] = i;
}

/* Returns the capacity after the next growth, by half. */
static uint32_t next_capacity(const struct claims_table *t)
{
	return t->capacity ? t->capacity + t->capacity / 2 : INITIAL_CAPACITY;
}

/* Called only when the array is full. Keeps one bucket for each claim. */
static void grow(struct claims_table *t)
{
	uint32_t old = t->capacity;
	uint32_t new = next_capacity(t);

	t->claims = xrealloc(t->claims, new * sizeof(*t->claims));
	memset(t->claims + old, 0, (new - old) * sizeof(*t->claims));
	free(t->buckets);
	t->buckets = xcalloc(new, sizeof(*t->buckets));
	t->capacity = new;
	t->bucket_count = new;
	for (uint32_t b = 0; b < new; b++)
		t->buckets[b] = CLAIM_NONE;
	for (uint32_t i = 0; i < old; i++)
		link_bucket(t, i);
	for (uint32_t i = new; i-- > old;) {
		t->claims[i].hash_next = t->free_head;
		t->free_head = i;
	}
}

uint32_t claims_table_find(const struct claims_table *t, const uint64_t hash[2])
{
	uint32_t i = t->count ? t->buckets[bucket_of(t, hash)] : CLAIM_NONE;

	while (i != CLAIM_NONE && (t->claims[i].hash[0] != hash[0] ||
				   t->claims[i].hash[1] != hash[1]))
		i = t->claims[i].hash_next;
	return i;
}

static void age_list_append(struct claims_table *t, uint32_t i)
{
	struct claim *c = &t->claims[i];

	c->older = t->newest;
	c->newer = CLAIM_NONE;
	if (t->newest != CLAIM_NONE)
		t->claims[t->newest].newer = i;
	else
		t->oldest = i;
	t->newest = i;
	if (t->response_cursor == CLAIM_NONE)
		t->response_cursor = i;
}

static void age_list_remove(struct claims_table *t, uint32_t i)
{
	struct claim *c = &t->claims[i];

	if (t->response_cursor == i)
		t->response_cursor = c->newer;
	if (c->older != CLAIM_NONE)
		t->claims[c->older].newer = c->newer;
	else
		t->oldest = c->newer;
	if (c->newer != CLAIM_NONE)
		t->claims[c->newer].older = c->older;
	else
		t->newest = c->older;
}

uint32_t claims_table_add(struct claims_table *t, const uint64_t hash[2])
{
	struct claim *c;
	uint32_t i;

	if (t->free_head == CLAIM_NONE)
		grow(t);
	i = t->free_head;
	c = &t->claims[i];
	t->free_head = c->hash_next;
	memset(c, 0, sizeof(*c));
	memcpy(c->hash, hash, sizeof(c->hash));
	c->first_waiter = CLAIM_NONE;
	link_bucket(t, i);
	age_list_append(t, i);
	t->count++;
	return i;
}

void claims_table_remove(struct claims_table *t, uint32_t i)
{
	struct claim *c = &t->claims[i];
	uint32_t *link = &t->buckets[bucket_of(t, c->hash)];

	while (*link != i)
		link = &t->claims[*link].hash_next;
	*link = c->hash_next;
	age_list_remove(t, i);
	claims_table_set_response(t, i, 0, NULL, 0);
	c->state = CLAIM_STATE_FREE;
	c->hash_next = t->free_head;
	t->free_head = i;
	t->count--;
}

void claims_table_touch(struct claims_table *t, uint32_t i, uint32_t changed_s)
{
	age_list_remove(t, i);
	age_list_append(t, i);
	t->claims[i].changed_s = changed_s;
}

void claims_table_set_response(struct claims_table *t, uint32_t i, int status,
			       const void *data, size_t len)
{
	struct claim *c = &t->claims[i];

	if (c->response)
		t->response_bytes -= c->response_len + RESPONSE_OVERHEAD_BYTES;
	free(c->response);
	c->response = NULL;
	c->response_len = 0;
	c->status = 0;
	if (!data)
		return;
	c->response = xcalloc(1, len);
	memcpy(c->response, data, len);
	c->response_len = (uint32_t)len;
	c->status = (uint16_t)status;
	t->response_bytes += len + RESPONSE_OVERHEAD_BYTES;
}

bool claims_table_evict_response(struct claims_table *t)
{
	while (t->response_cursor != CLAIM_NONE) {
		uint32_t i = t->response_cursor;

		t->response_cursor = t->claims[i].newer;
		if (!t->claims[i].response)
			continue;
		claims_table_set_response(t, i, 0, NULL, 0);
		return true;
	}
	return false;
}

size_t claims_table_memory(const struct claims_table *t, uint32_t extra_claims)
{
	uint32_t capacity = t->capacity;

	if (t->count + extra_claims > capacity)
		capacity = next_capacity(t);
	return capacity * (sizeof(*t->claims) + sizeof(*t->buckets)) +
	       t->response_bytes;
}
