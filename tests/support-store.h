#ifndef SUPPORT_STORE_H
#define SUPPORT_STORE_H

#include <pthread.h>

#include "support-fault.h"
#include "support-httpd.h"
#include "support-kv.h"
#include "support-vms.h"

/*
 * NAME
 *	support-store - HTTP API of the fake key-value store and VM list
 *
 * DESCRIPTION
 *	fake_store_handle() handles a request of the API in docs/design.md 3.3
 *	or to the control paths POST /v1/fault and GET /v1/calls, which are
 *	exempt from injected faults. A blocking query occupies its thread.
 *	fake_store_tick() expires sessions and publishes the VM list; it must
 *	be called at least every 100 ms.
 */

struct fake_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct kv_table kv;
	struct vms vms;
	struct fault fault;
	struct call_counts calls;
};

void fake_store_init(struct fake_store *s, const char *vms_path,
		     uint64_t list_lag_us, uint64_t seed);
void fake_store_free(struct fake_store *s);
void fake_store_handle(void *store, struct httpd_call *call);

/* Returns true if the actual VMs changed, even if not yet published. */
bool fake_store_tick(struct fake_store *s);

/*
 * Handles the control paths of a fake ("store" or "workers"). Returns false if
 * the request is for another path.
 */
bool handle_control_path(struct fault *f, struct call_counts *calls,
			 struct httpd_call *call);

#endif
