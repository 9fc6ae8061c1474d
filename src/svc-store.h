#ifndef SVC_STORE_H
#define SVC_STORE_H

#include "kernel.h"
#include "platform.h"

/*
 * NAME
 *	store - service "store": rate-limited asynchronous platform calls
 *
 * DESCRIPTION
 *	Calls are queued, run in I/O threads and complete with a callback.
 *	Token buckets for reads and writes limit the process to its share of
 *	the deployment's call budget: read_budget and write_budget divided by
 *	the number of live entry VMs. Queued calls wait for tokens; one not
 *	sent before the queue timeout fails with PLATFORM_UNREACHABLE.
 *
 *	The service maintains one session with a TTL of platform.lease. It is
 *	renewed every third of the TTL, and retried with jittered exponential
 *	backoff while the store is unavailable.
 *
 *	All functions must be called on the control thread, where callbacks
 *	run as well.
 */

struct store;

struct service *store_create(const struct settings *s);
struct store *store_find(struct kernel *k);

struct store_reply {
	int failed; /* 0, or -1 with err set */
	struct error err;
	bool applied;	     /* put, acquire */
	struct kv_result kv; /* get; freed after the callback */
	struct vm_list vms;  /* list_vms; freed after the callback */
	uint64_t sent_us;    /* when the call was sent (CLOCK_BOOTTIME) */
};

typedef void store_reply_fn(void *arg, struct store_reply *reply);

void store_get(struct store *st, const char *key, bool recurse, uint64_t index,
	       uint64_t wait_us, store_reply_fn *fn, void *arg);
void store_put(struct store *st, const char *key, const void *value, size_t len,
	       uint64_t modify_index, store_reply_fn *fn, void *arg);
void store_acquire(struct store *st, const char *key, const void *value,
		   size_t len, store_reply_fn *fn, void *arg);
void store_release(struct store *st, const char *key, store_reply_fn *fn,
		   void *arg);
void store_delete(struct store *st, const char *key, bool recurse,
		  store_reply_fn *fn, void *arg);
void store_list_vms(struct store *st, store_reply_fn *fn, void *arg);

/* Divides the call budget by the number of live entry VMs. */
void store_set_entry_vm_count(struct store *st, uint32_t entry_vms);

/* Returns the process's share of the write budget, in calls per second. */
double store_write_rate_limit(struct store *st);

/* Returns the session ID, or "" while there is no session. */
const char *store_session(struct store *st);

/*
 * Returns the time until which the session is guaranteed to be valid, counted
 * from the sending of the last successful renewal; 0 if there is no session.
 */
uint64_t store_lease_expires_us(struct store *st);

/* Returns the time of the last definite response; 0 if none yet. */
uint64_t store_last_contact_us(struct store *st);

/* Returns the platform, for direct calls from other services' I/O threads. */
struct platform *store_platform(struct store *st);

#endif
