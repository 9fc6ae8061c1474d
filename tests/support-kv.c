#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "support-kv.h"

#define PURGE_INTERVAL_US 10000000u

static struct kv_entry *find_entry(const struct kv_table *kv, const char *key);
static struct kv_entry *find_live(struct kv_table *kv, const char *key);
static struct kv_entry *insert_entry(struct kv_table *kv, const char *key);
static void set_value(struct kv_table *kv, struct kv_entry *e,
		      const void *value, size_t len);
static void mark_deleted(struct kv_table *kv, struct kv_entry *e,
			 uint64_t now_us);
static void purge_tombstones(struct kv_table *kv, uint64_t now_us);
static struct kv_session *find_session(const struct kv_table *kv,
				       const char *id);
static void free_entry(struct kv_entry *e);

void kv_init(struct kv_table *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->index = 1;
}

static void free_entry(struct kv_entry *e)
{
	free(e->key);
	free(e->value);
	free(e);
}

void kv_free(struct kv_table *kv)
{
	for (size_t i = 0; i < kv->count; i++)
		free_entry(kv->entries[i]);
	free(kv->entries);
	free(kv->sessions);
	memset(kv, 0, sizeof(*kv));
}

size_t kv_lower_bound(const struct kv_table *kv, const char *prefix)
{
	size_t low = 0, high = kv->count;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(kv->entries[mid]->key, prefix) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static struct kv_entry *find_entry(const struct kv_table *kv, const char *key)
{
	size_t at = kv_lower_bound(kv, key);

	if (at == kv->count || strcmp(kv->entries[at]->key, key))
		return NULL;
	return kv->entries[at];
}

static struct kv_entry *find_live(struct kv_table *kv, const char *key)
{
	struct kv_entry *e = find_entry(kv, key);

	return e && !e->deleted ? e : NULL;
}

const struct kv_entry *kv_find(const struct kv_table *kv, const char *key)
{
	const struct kv_entry *e = find_entry(kv, key);

	return e && !e->deleted ? e : NULL;
}

uint64_t kv_index_of(const struct kv_table *kv, const char *key, bool recurse)
{
	const struct kv_entry *e = find_entry(kv, key);
	size_t len = strlen(key);
	uint64_t last = 0;

	if (!recurse)
		return e ? e->modify_index : 0;
	for (size_t i = kv_lower_bound(kv, key); i < kv->count; i++) {
		e = kv->entries[i];
		if (strncmp(e->key, key, len))
			break;
		if (e->modify_index > last)
			last = e->modify_index;
	}
	return last;
}

/* Returns the live entry of a key; creates it or reuses its tombstone. */
static struct kv_entry *insert_entry(struct kv_table *kv, const char *key)
{
	struct kv_entry *e = find_entry(kv, key);
	size_t at;

	if (e && !e->deleted)
		return e;
	if (!e) {
		at = kv_lower_bound(kv, key);
		if (kv->count == kv->capacity) {
			kv->capacity = kv->capacity ? kv->capacity * 2 : 64;
			kv->entries =
				xrealloc(kv->entries,
					 kv->capacity * sizeof(*kv->entries));
		}
		memmove(kv->entries + at + 1, kv->entries + at,
			(kv->count - at) * sizeof(*kv->entries));
		e = xcalloc(1, sizeof(*e));
		e->key = xstrdup(key);
		kv->entries[at] = e;
		kv->count++;
	}
	e->deleted = false;
	e->create_index = kv->index + 1;
	e->lock_index = 0;
	e->session[0] = '\0';
	return e;
}

static void set_value(struct kv_table *kv, struct kv_entry *e,
		      const void *value, size_t len)
{
	free(e->value);
	e->value = xcalloc(1, len + 1);
	if (len)
		memcpy(e->value, value, len);
	e->value_len = len;
	e->modify_index = ++kv->index;
}

static void mark_deleted(struct kv_table *kv, struct kv_entry *e,
			 uint64_t now_us)
{
	free(e->value);
	e->value = NULL;
	e->value_len = 0;
	e->session[0] = '\0';
	e->deleted = true;
	e->deleted_us = now_us;
	e->modify_index = ++kv->index;
}

enum kv_write_result kv_put(struct kv_table *kv, const char *key,
			    const void *value, size_t len, const uint64_t *cas)
{
	struct kv_entry *e = find_live(kv, key);

	if (cas && *cas != (e ? e->modify_index : 0))
		return KV_NOT_APPLIED;
	set_value(kv, insert_entry(kv, key), value, len);
	return KV_APPLIED;
}

enum kv_write_result kv_acquire(struct kv_table *kv, const char *key,
				const void *value, size_t len,
				const char *session)
{
	struct kv_entry *e = find_live(kv, key);

	if (!find_session(kv, session))
		return KV_INVALID_SESSION;
	if (e && e->session[0] && strcmp(e->session, session))
		return KV_NOT_APPLIED;
	e = insert_entry(kv, key);
	if (!e->session[0])
		e->lock_index++;
	snprintf(e->session, sizeof(e->session), "%s", session);
	set_value(kv, e, value, len);
	return KV_APPLIED;
}

enum kv_write_result kv_release(struct kv_table *kv, const char *key,
				const void *value, size_t len,
				const char *session)
{
	struct kv_entry *e = find_live(kv, key);

	if (!e || strcmp(e->session, session) || !session[0])
		return KV_NOT_APPLIED;
	e->session[0] = '\0';
	set_value(kv, e, value, len);
	return KV_APPLIED;
}

enum kv_write_result kv_delete(struct kv_table *kv, const char *key,
			       const uint64_t *cas, bool recurse,
			       uint64_t now_us)
{
	struct kv_entry *e = find_live(kv, key);
	size_t len = strlen(key);

	if (!recurse) {
		if (cas && (!*cas || *cas != (e ? e->modify_index : 0)))
			return KV_NOT_APPLIED;
		if (e)
			mark_deleted(kv, e, now_us);
		return KV_APPLIED;
	}
	for (size_t i = kv_lower_bound(kv, key); i < kv->count; i++) {
		e = kv->entries[i];
		if (strncmp(e->key, key, len))
			break;
		if (!e->deleted)
			mark_deleted(kv, e, now_us);
	}
	return KV_APPLIED;
}

static struct kv_session *find_session(const struct kv_table *kv,
				       const char *id)
{
	for (size_t i = 0; i < kv->session_count; i++)
		if (!strcmp(kv->sessions[i].id, id))
			return &kv->sessions[i];
	return NULL;
}

void kv_session_create(struct kv_table *kv, uint64_t ttl_us, uint64_t now_us,
		       char id[KV_SESSION_BYTES])
{
	struct kv_session *s;

	kv->sessions = xrealloc(kv->sessions, (kv->session_count + 1) *
						      sizeof(*kv->sessions));
	s = &kv->sessions[kv->session_count++];
	memset(s, 0, sizeof(*s));
	snprintf(s->id, sizeof(s->id), "5e551000-0000-4000-8000-%012llx",
		 (unsigned long long)++kv->last_session_number);
	s->ttl_us = ttl_us;
	s->expires_us = now_us + ttl_us;
	memcpy(id, s->id, sizeof(s->id));
}

int kv_session_renew(struct kv_table *kv, const char *id, uint64_t now_us)
{
	struct kv_session *s = find_session(kv, id);

	if (!s || now_us >= s->expires_us)
		return -1;
	s->expires_us = now_us + s->ttl_us;
	return 0;
}

void kv_session_destroy(struct kv_table *kv, const char *id, uint64_t now_us)
{
	struct kv_session *s = find_session(kv, id);

	if (!s)
		return;
	for (size_t i = 0; i < kv->count; i++)
		if (!strcmp(kv->entries[i]->session, s->id))
			mark_deleted(kv, kv->entries[i], now_us);
	*s = kv->sessions[--kv->session_count];
}

static void purge_tombstones(struct kv_table *kv, uint64_t now_us)
{
	size_t kept_count = 0;

	if (now_us - kv->last_purge_us < PURGE_INTERVAL_US)
		return;
	kv->last_purge_us = now_us;
	for (size_t i = 0; i < kv->count; i++) {
		struct kv_entry *e = kv->entries[i];

		if (e->deleted && now_us - e->deleted_us > KV_TOMBSTONE_US)
			free_entry(e);
		else
			kv->entries[kept_count++] = e;
	}
	kv->count = kept_count;
}

size_t kv_expire(struct kv_table *kv, uint64_t now_us,
		 void (*fn)(void *arg, const char *id), void *arg)
{
	size_t ended = 0, i = 0;
	char id[KV_SESSION_BYTES];

	while (i < kv->session_count) {
		if (now_us < kv->sessions[i].expires_us) {
			i++;
			continue;
		}
		memcpy(id, kv->sessions[i].id, sizeof(id));
		if (fn)
			fn(arg, id);
		kv_session_destroy(kv, id, now_us);
		ended++;
	}
	purge_tombstones(kv, now_us);
	return ended;
}
