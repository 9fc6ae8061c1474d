#ifndef KV_FOLLOW_H
#define KV_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

struct event_base;

/*
 * NAME
 *	kv-follow - keeps up with all keys of a prefix
 *
 * DESCRIPTION
 *	Reads the prefix as a whole and then its changes. When the history is
 *	gone, the prefix is read again: begin() is called, item() for each
 *	key, and end(), after which a key that was not named does not exist.
 *	Between those, item() is called for single changes.
 *
 *	A poll ends by itself after wait_ms, so that a connection that went
 *	silent is noticed. After changes the next poll is sent gather_ms later
 *	(0: at once), so that frequent changes arrive several at a time.
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

/* Whether the prefix was read once. */
bool kv_follow_synced(const struct kv_follow *f);

/* How long the store took for the last page read; 0: none yet. */
uint64_t kv_follow_range_latency_us(const struct kv_follow *f);

/* When the answer was asked for that last confirmed what is known; 0: never. */
uint64_t kv_follow_confirmed_us(const struct kv_follow *f);

#endif
