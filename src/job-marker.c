#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "clock.h"
#include "job-intake-internal.h"

/*
 * Cancellations and refusals store markers, each with leases of their own: many
 * refusals under overload must not keep cancellations from being answered.
 */

void job_marker_init(struct intake_lease *l, struct job_intake *i,
		     intake_lease_fn *resume)
{
	l->intake = i;
	l->resume = resume;
	marker_lease_init(&l->lease, i->node->settings->jobs.status_keep_us);
}

static void on_granted(void *arg, const struct kv_reply *r)
{
	struct intake_lease *l = arg;
	struct intake_request *next;

	l->requested = false;
	if (r->outcome == KV_OK && r->lease)
		marker_lease_granted(&l->lease, r->lease, r->ttl_ms,
				     l->sent_us);
	for (struct intake_request *p = l->intake->requests; p; p = next) {
		next = p->next;
		if (p->awaited_lease != l)
			continue;
		p->awaited_lease = NULL;
		l->resume(p, r->outcome);
	}
}

void job_marker_await_lease(struct intake_lease *l, struct intake_request *p)
{
	struct kv *kv = l->intake->node->kv;

	p->awaited_lease = l;
	if (l->requested)
		return;
	l->requested = true;
	l->sent_us = clock_now_us();
	kv->ops->lease_grant(kv, l->lease.ttl_ms, on_granted, l);
}

void job_marker_key(const struct intake_request *p, const char *prefix,
		    char key[KV_KEY_BYTES])
{
	snprintf(key, KV_KEY_BYTES, "%s%s/%016llx", prefix, p->id,
		 (unsigned long long)XXH64(p->queue, strlen(p->queue), 0));
}
