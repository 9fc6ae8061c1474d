#include <stdio.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-owner-internal.h"
#include "log.h"

/*
 * Cancellations of jobs that the owner has not read: their keys may be read
 * before those of the jobs, or the jobs are left in the store.
 */

void job_owner_add_cancel(struct job_owner *o, const char *id,
			  uint64_t revision)
{
	struct pending_cancel *c;

	o->pending_cancels = xrealloc(
		o->pending_cancels, (o->pending_cancel_count + 1) * sizeof(*c));
	c = &o->pending_cancels[o->pending_cancel_count++];
	snprintf(c->id, sizeof(c->id), "%s", id);
	c->revision = revision;
}

void job_owner_drop_cancel(struct job_owner *o, const char *id)
{
	for (size_t i = 0; i < o->pending_cancel_count; i++)
		if (!strcmp(o->pending_cancels[i].id, id))
			o->pending_cancels[i--] =
				o->pending_cancels[--o->pending_cancel_count];
}

void job_owner_apply_cancels(struct job_owner *o)
{
	size_t kept = 0;

	for (size_t i = 0; i < o->pending_cancel_count; i++) {
		struct pending_cancel *c = &o->pending_cancels[i];

		if (sched_has_job(o->sched, c->id))
			sched_cancel(o->sched, c->id, clock_now_us(),
				     clock_wall_us() / 1000);
		else
			o->pending_cancels[kept++] = *c;
	}
	o->pending_cancel_count = kept;
}

void job_owner_remove_orphaned_cancels(struct job_owner *o)
{
	for (size_t i = 0;
	     i < o->pending_cancel_count && i < ORPHAN_REMOVALS_MAX; i++) {
		const struct pending_cancel *c = &o->pending_cancels[i];
		char spec_key[KV_KEY_BYTES], key[KV_KEY_BYTES];
		const char *removes[1] = { key };
		struct kv_condition expect[2] = { { spec_key, 0 },
						  { key, c->revision } };
		struct kv_txn t = { .conditions = expect,
				    .condition_count = 2,
				    .removes = removes,
				    .remove_count = 1 };

		snprintf(spec_key, sizeof(spec_key), JOB_SPEC_PREFIX "%s",
			 c->id);
		snprintf(key, sizeof(key),
			 JOB_SPEC_PREFIX "%s" JOB_CANCEL_SUFFIX, c->id);
		log_event(LOG_INFO, "cancellation-orphaned", "job=%s", c->id);
		o->node->kv->ops->txn(o->node->kv, &t, ignore_reply, NULL);
	}
}
