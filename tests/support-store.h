#ifndef SUPPORT_STORE_H
#define SUPPORT_STORE_H

#include <pthread.h>

#include "support-fault.h"
#include "support-httpd.h"
#include "support-kv.h"
#include "support-vms.h"

/*
 * NAME
 *	support-store - HTTP paths of the key-value stand-in and the VM list
 *
 * DESCRIPTION
 *	fake_store_handle() answers one call of docs/design.md 3.3, and the
 *control paths POST /v1/fault and GET /v1/calls, which no fault touches. A
 *	watch holds its thread. fake_store_tick() ends sessions and publishes
 *the list; call it at least every 100 ms.
 */

struct fake_store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct kv kv;
	struct vms vms;
	struct fault fault;
	struct call_counts calls;
};

void fake_store_init(struct fake_store *s, const char *vms_path,
		     uint64_t list_lag_us, uint64_t seed);
void fake_store_free(struct fake_store *s);
void fake_store_handle(void *store, struct httpd_call *call);

/* Returns true when the truth about the VMs changed. */
bool fake_store_tick(struct fake_store *s);

/*
 * Handles the control paths of one part ("store" or "workers"). Returns
 * false when the path is none of them.
 */
bool handle_control_path(struct fault *f, struct call_counts *calls,
			 struct httpd_call *call);

#endif
