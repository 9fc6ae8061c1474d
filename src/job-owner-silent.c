#include "buffer.h"
#include "clock.h"
#include "job-owner-internal.h"
#include "log.h"

void job_owner_silent_item(struct job_owner *o, const struct kv_item *item)
{
	struct error err;

	if (item->deleted)
		silent_notes_clear(&o->silent);
	else if (silent_notes_update(&o->silent, item->revision, item->value,
				     item->len, clock_now_us(), &err) < 0)
		log_event(LOG_ERROR, "silent-malformed",
			  "revision=%llu error=\"%s\"",
			  (unsigned long long)item->revision, err.message);
}

void job_owner_silent_inherit(struct job_owner *o, struct buffer *record)
{
	uint64_t now = clock_now_us();
	uint64_t lease_us =
		sched_lease_longest_us(o->node->settings->jobs.lease_max_us);
	uint32_t lease_ms = (uint32_t)(lease_us / 1000);
	uint32_t unknown_ms = UNRECORDED_GRANT_MS + lease_ms;

	silent_notes_copy(&o->inherited, &o->silent);
	/* The predecessor was a process of this VM, which has exited. */
	if (o->claim_expected_revision)
		silent_notes_limit_exited(&o->inherited, o->epoch,
					  o->claimed_us + lease_us);
	/* The first owner of all has no predecessor. */
	if (o->epoch == 1 && !o->inherited.epoch)
		unknown_ms = 0;
	silent_record_carry(&o->inherited, o->epoch, now, unknown_ms, lease_ms,
			    record);
}

void job_owner_silent_apply(struct job_owner *o)
{
	uint32_t n;

	if (!o->workers_read)
		return;
	n = silent_notes_apply(&o->inherited, o->sched, o->epoch);
	log_event(LOG_INFO, "silent-taken-over",
		  "epoch=%llu workers=%u record_epoch=%llu named=%u "
		  "others_ms=%lld settled=%d exited=%d",
		  (unsigned long long)o->epoch, n,
		  (unsigned long long)o->inherited.epoch, o->inherited.count,
		  o->inherited.others_end_us
			  ? ((long long)o->inherited.others_end_us -
			     (long long)clock_now_us()) /
				    1000
			  : -1,
		  o->inherited.settled, o->claim_expected_revision != 0);
	if (n)
		job_owner_schedule_tick(o);
}

bool job_owner_silent_due(const struct job_owner *o, uint64_t now)
{
	bool add = now < o->renewed_us + SILENT_STORE_AGE_MAX_US;

	if (!o->grant_end_us)
		return o->workers_read &&
		       (now >= o->workers_read_us + FIRST_RECORD_US ||
			!sched_awaits_reports(o->sched));
	return now >= o->next_record_us ||
	       sched_silent_changed(o->sched, now, add);
}

void job_owner_silent_add(struct job_owner *o, struct commit *c, uint64_t now)
{
	enum silent_record type =
		o->handover_us ? SILENT_RECORD_LAST
		: now < o->renewed_us + SILENT_STORE_AGE_MAX_US
			? SILENT_RECORD_ADD
			: SILENT_RECORD_REMOVE;
	struct kv_set *set = &c->sets[c->set_count];
	struct buffer b = BUFFER_INIT;
	uint32_t n = silent_record_build(o->sched, o->epoch, now, type, &b);

	if (n != o->recorded || !o->grant_end_us || type == SILENT_RECORD_LAST)
		log_event(LOG_INFO, "silent-recorded",
			  "epoch=%llu workers=%u last=%d",
			  (unsigned long long)o->epoch, n,
			  type == SILENT_RECORD_LAST);
	o->recorded = n;
	o->next_record_us = now + SILENT_RECORD_US;
	set->key = JOB_SILENT_KEY;
	set->value = buffer_detach(&b, &set->len);
	c->set_count++;
	c->has_silent = true;
}

void job_owner_silent_stored(struct job_owner *o, const struct commit *c)
{
	/* Nothing is granted after the last record. */
	if (o->handover_us)
		return;
	sched_silent_stored(o->sched);
	o->grant_end_us = c->built_us + SILENT_GRANT_MS * 1000u;
}
