#ifndef SVC_STORE_H
#define SVC_STORE_H

#include "kernel.h"
#include "platform.h"

/*
 * NAME
 *	store - service "store": calls on the platform within a budget
 *
 * DESCRIPTION
 *	Calls are queued, run in I/O threads and finish with a callback on
 *	the control thread. A token bucket holds this process's share of the
 *	deployment's call budget (write_budget and read_budget divided by the
 *	number of live entry VMs); queued calls wait for tokens, and a call
 *	that waited longer than its timeout ends with PLATFORM_UNREACHABLE.
 *	The service keeps one session of platform.lease and renews it every
 *	third of that time, with jittered backoff while the store is away.
 *	Functions are called on the control thread, callbacks run there.
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
	uint64_t sent_us;    /* when the call left (CLOCK_BOOTTIME) */
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

/* Sets the number of live entry VMs that share the call budget. */
void store_set_entry_vm_count(struct store *st, uint32_t entry_vms);

/* This process's share of the write budget, in calls per second. */
double store_write_rate_limit(struct store *st);

/* The session's id, or "" while there is none. */
const char *store_session(struct store *st);

/* Time until which the session is certainly valid; 0 when there is none. */
uint64_t store_lease_expires_us(struct store *st);

/* Time of the last call that the store answered; 0 for never. */
uint64_t store_last_contact_us(struct store *st);

/* The platform itself, for the workers service's own I/O threads. */
struct platform *store_platform(struct store *st);

#endif
