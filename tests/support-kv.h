#ifndef SUPPORT_KV_H
#define SUPPORT_KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	support-kv - key-value table of the fake platform
 *
 * DESCRIPTION
 *	Keys in sorted order, with indices and sessions as in Consul. A
 *	deleted key stays as a tombstone for KV_TOMBSTONE_US, so that a watch
 *	of its prefix sees the deletion. Not thread-safe: the caller serializes
 *	calls with a mutex and passes the time in microseconds.
 */

#define KV_TOMBSTONE_US (900u * 1000000u)
#define KV_SESSION_BYTES 40

struct kv_entry {
	char *key;
	char *value;
	size_t value_len;
	uint64_t create_index;
	uint64_t modify_index;
	uint64_t lock_index;
	char session[KV_SESSION_BYTES]; /* lock holder; empty if none */
	bool deleted;
	uint64_t deleted_us;
};

struct kv_session {
	char id[KV_SESSION_BYTES];
	uint64_t ttl_us;
	uint64_t expires_us;
};

struct kv_table {
	struct kv_entry **entries; /* sorted by key */
	size_t count;
	size_t capacity;
	struct kv_session *sessions;
	size_t session_count;
	uint64_t index; /* of the last change */
	uint64_t last_session_number;
	uint64_t last_purge_us;
};

enum kv_write_result { KV_APPLIED, KV_NOT_APPLIED, KV_INVALID_SESSION };

void kv_init(struct kv_table *kv);
void kv_free(struct kv_table *kv);

/* Returns the entry of the key, or NULL if absent or deleted. */
const struct kv_entry *kv_find(const struct kv_table *kv, const char *key);

/* Position of the first entry, tombstones included, not less than prefix. */
size_t kv_lower_bound(const struct kv_table *kv, const char *prefix);

/*
 * Index of the last change of the key or, with recurse, of any key with that
 * prefix. Deletions count as changes. 0 if there was no change.
 */
uint64_t kv_index_of(const struct kv_table *kv, const char *key, bool recurse);

/*
 * cas: NULL to write unconditionally, else the expected modify index; 0 creates
 * the key only if it is absent.
 */
enum kv_write_result kv_put(struct kv_table *kv, const char *key,
			    const void *value, size_t len, const uint64_t *cas);
enum kv_write_result kv_acquire(struct kv_table *kv, const char *key,
				const void *value, size_t len,
				const char *session);
enum kv_write_result kv_release(struct kv_table *kv, const char *key,
				const void *value, size_t len,
				const char *session);
/* cas: NULL, or the expected modify index; 0 never deletes, as in Consul. */
enum kv_write_result kv_delete(struct kv_table *kv, const char *key,
			       const uint64_t *cas, bool recurse,
			       uint64_t now_us);

/* Creates a session and stores its id in id. */
void kv_session_create(struct kv_table *kv, uint64_t ttl_us, uint64_t now_us,
		       char id[KV_SESSION_BYTES]);
/* Returns -1 if the session has expired or does not exist. */
int kv_session_renew(struct kv_table *kv, const char *id, uint64_t now_us);
/* Ends a session and deletes the keys locked by it. */
void kv_session_destroy(struct kv_table *kv, const char *id, uint64_t now_us);

/*
 * Ends expired sessions, each after a call of fn (may be NULL) with its id, and
 * removes expired tombstones. Returns the number of sessions ended.
 */
size_t kv_expire(struct kv_table *kv, uint64_t now_us,
		 void (*fn)(void *arg, const char *id), void *arg);

#endif
