#ifndef KV_H
#define KV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	kv - the platform's key-value store, called from an event loop
 *
 * DESCRIPTION
 *	Every call runs its callback once, unless its watch is closed or the
 *	store is destroyed first. A transaction is atomic: it is applied only
 *	if all its conditions hold. When a lease ends, the store deletes the
 *	keys attached to it.
 *
 * ERRORS
 *	KV_CONFLICT	a condition of the transaction does not hold; the reply
 *			has the current items
 *	KV_NOT_FOUND	no such key or lease
 *	KV_COMPACTED	the history after the given revision was discarded
 *	KV_FAILED	the store rejected the call or could not be reached; it
 *			did not take effect
 *	KV_REJECTED	the same, and the store would reject its repetition, too
 *	KV_UNKNOWN	the call may have taken effect, or may do so later
 *
 * UNITS
 *	Times are in milliseconds.
 */

#define KV_TXN_ENTRIES_MAX 32
#define KV_KEY_BYTES 201 /* with the NUL */

enum kv_outcome {
	KV_OK,
	KV_CONFLICT,
	KV_NOT_FOUND,
	KV_COMPACTED,
	KV_FAILED,
	KV_REJECTED,
	KV_UNKNOWN,
};

struct kv_item {
	const char *key;
	const char *value; /* NUL-terminated; len leaves the NUL out */
	size_t len;
	uint64_t revision; /* of the last change; 0: no such key */
	uint64_t lease;
	bool deleted;
};

struct kv_reply {
	enum kv_outcome outcome;
	const struct kv_item *items;
	size_t count;
	/*
	 * Key of the last item if that is not among the items or has no value,
	 * since it can't be decoded; else NULL.
	 */
	const char *last_key;
	bool more;	   /* range: another page follows */
	uint64_t revision; /* of the store, or of the transaction */
	uint64_t lease;
	uint32_t ttl_ms;
};

typedef void kv_reply_fn(void *arg, const struct kv_reply *r);

struct kv_condition {
	const char *key;
	uint64_t revision; /* expected; 0: the key must not exist */
};

struct kv_set {
	const char *key;
	const void *value;
	size_t len;
	uint64_t lease; /* 0: none */
};

struct kv_txn {
	const struct kv_condition *conditions;
	size_t condition_count;
	const struct kv_set *sets;
	size_t set_count;
	const char *const *removes;
	size_t remove_count;
};

struct kv;
struct kv_watch;

struct kv_ops {
	void (*get)(struct kv *kv, const char *key, kv_reply_fn *fn, void *arg);
	/*
	 * Reads one page of the keys with the prefix, starting after a key
	 * ("" for the first page). With stale set, the values may be seconds
	 * old.
	 */
	void (*range)(struct kv *kv, const char *prefix, const char *after,
		      bool stale, kv_reply_fn *fn, void *arg);
	void (*txn)(struct kv *kv, const struct kv_txn *t, kv_reply_fn *fn,
		    void *arg);
	void (*lease_grant)(struct kv *kv, uint32_t ttl_ms, kv_reply_fn *fn,
			    void *arg);
	void (*lease_renew)(struct kv *kv, uint64_t lease, kv_reply_fn *fn,
			    void *arg);
	void (*lease_revoke)(struct kv *kv, uint64_t lease, kv_reply_fn *fn,
			     void *arg);
	/* Opens a separate connection that carries one poll at a time. */
	struct kv_watch *(*watch)(struct kv *kv, const char *prefix);
	/* Waits up to wait_ms for changes after a revision. */
	void (*watch_poll)(struct kv_watch *w, uint64_t after, uint32_t wait_ms,
			   kv_reply_fn *fn, void *arg);
	void (*watch_close)(struct kv_watch *w);
	void (*destroy)(struct kv *kv);
};

struct kv {
	const struct kv_ops *ops;
};

#endif
