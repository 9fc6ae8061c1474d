#ifndef KV_FOLLOW_H
#define KV_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

struct event_base;

/*
 * NAME
 *	kv-follow - follow all keys under a prefix
 *
 * DESCRIPTION
 *	Reads all keys under the prefix and then watches for changes. A full
 *	read calls begin(), then item() for each key, then end(); a key that
 *	it did not list does not exist. Later changes call item() only. If the
 *	store has compacted the history that the watch needs, the prefix is
 *	read in full again.
 *
 *	Each watch poll returns after wait_ms even without changes, so that a
 *	dead connection is detected. After a poll that returned changes, the
 *	next one is sent batch_delay_ms later (0: at once), so that frequent
 *	changes are delivered in batches.
 */

struct kv_follow_ops {
	void (*begin)(void *arg); /* may be NULL */
	void (*item)(void *arg, const struct kv_item *item);
	void (*end)(void *arg); /* may be NULL */
};

struct kv_follow;

struct kv_follow *kv_follow_create(struct event_base *base, struct kv *kv,
				   const char *prefix, uint32_t wait_ms,
				   uint32_t batch_delay_ms,
				   const struct kv_follow_ops *ops, void *arg);
void kv_follow_free(struct kv_follow *f);

/*
 * Reads the prefix in full again, for a caller that has learnt that the known
 * state is outdated: the poll under way may have been lost. Not to be called
 * from the ops.
 */
void kv_follow_refresh(struct kv_follow *f);

/* Whether the prefix has been read in full at least once. */
bool kv_follow_synced(const struct kv_follow *f);

/* Response time of the last range request; 0: none has completed. */
uint64_t kv_follow_range_latency_us(const struct kv_follow *f);

/*
 * When the request was sent whose reply last confirmed the state, of a full
 * read its first one; 0: never.
 */
uint64_t kv_follow_confirmed_us(const struct kv_follow *f);

#endif
