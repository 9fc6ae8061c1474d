#include <string.h>

#include "clock.h"
#include "counter.h"
#include "job-intake-internal.h"
#include "log.h"

/*
 * A refusal says that the job never runs, but an earlier attempt may have been
 * sent to the store elsewhere and be executed later. So a marker is stored
 * before a refusal is answered, in a transaction that expects the job to be
 * absent, and every submission expects that there is no marker. A repetition
 * that comes after the refusal, and is accepted, replaces the marker by the
 * job. docs/design/admission.md has the orders of events.
 */

static void store_marker(struct intake_request *p);

/* The submission goes on as if it had not been refused, if it can. */
static void not_stored(struct intake_request *p, const char *reason)
{
	struct intake_reply a = { .outcome = INTAKE_UNKNOWN, .reason = reason };

	counter_add(p->intake->refusals_not_stored, 1);
	log_event(LOG_INFO, "refusal-not-stored", "job=%s queue=%s reason=%s",
		  p->id, p->queue, reason);
	/* There is no memory for it, and no proof that it will not run. */
	if (p->full)
		intake_finish(p, &a);
	else
		intake_submit(p);
}

static void resume(struct intake_request *p, enum kv_outcome outcome)
{
	if (outcome == KV_OK)
		store_marker(p);
	else
		not_stored(p, "lease");
}

void job_refuse_init(struct job_intake *i)
{
	job_marker_init(&i->refusal_lease, i, resume);
	i->refusals =
		counter_get(COUNTER, "waxwing_submissions_refused_total", NULL);
	i->refusals_not_stored =
		counter_get(COUNTER, "waxwing_refusals_not_stored_total", NULL);
	i->refusals_replaced =
		counter_get(COUNTER, "waxwing_refusals_replaced_total", NULL);
	i->submissions_late =
		counter_get(COUNTER, "waxwing_submissions_late_total", NULL);
}

/*
 * The marker fails every write of an attempt that was received before it, also
 * one of this process, so the answer does not depend on these.
 */
static void refuse(struct intake_request *p, uint64_t revision)
{
	struct intake_reply a = { .outcome = INTAKE_REFUSED,
				  .retry_after_s = p->retry_after_s,
				  .reason = p->full ? "memory" : "hopeless" };

	counter_add(p->intake->refusals, 1);
	job_owner_saw_revision(p->intake->node->owner, revision);
	log_event(LOG_INFO, "submission-refused",
		  "job=%s queue=%s retry_after_s=%u", p->id, p->queue,
		  p->retry_after_s);
	intake_finish(p, &a);
}

static void on_marked(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	switch (r->outcome) {
	case KV_OK:
		refuse(p, r->revision);
		break;
	case KV_CONFLICT:
		intake_submission_conflict(p, r);
		break;
	case KV_NOT_FOUND:
		marker_lease_ended(&p->intake->refusal_lease.lease,
				   p->lease_id);
		/* Without a marker there is no refusal. */
		if (p->may_be_stored || intake_may_retry(p))
			intake_retry_later(p, "marker-lease-ended");
		else
			not_stored(p, "marker-lease-ended");
		break;
	case KV_UNKNOWN:
		p->may_be_stored = true;
		intake_retry_later(p, "store-answer-lost");
		break;
	default:
		if (p->may_be_stored)
			intake_retry_later(p, "store");
		else
			not_stored(p, "store");
		break;
	}
}

/*
 * Also replaces the marker of an earlier refusal: a repetition that was sent
 * after that one may be executed late, and expects its revision.
 */
static void send_marker(struct intake_request *p)
{
	struct marker_lease *lease = &p->intake->refusal_lease.lease;
	char spec_key[KV_KEY_BYTES], cancelled_key[KV_KEY_BYTES];
	char key[KV_KEY_BYTES];
	struct kv_condition expect[2] = { { spec_key, 0 },
					  { cancelled_key, 0 } };
	struct kv_set set = { key, p->queue, strlen(p->queue), lease->id };
	struct kv_txn t = { .conditions = expect,
			    .condition_count = 2,
			    .sets = &set,
			    .set_count = 1 };

	p->lease_id = lease->id;
	intake_spec_key(p, spec_key);
	job_marker_key(p, JOB_MARKER_PREFIX, cancelled_key);
	job_marker_key(p, JOB_REFUSED_PREFIX, key);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_marked, p);
}

static void store_marker(struct intake_request *p)
{
	struct intake_lease *l = &p->intake->refusal_lease;
	uint64_t retry_after_us;

	p->step = STEP_REFUSE;
	switch (marker_lease_add(&l->lease, clock_now_us(), &retry_after_us)) {
	case MARKER_OK:
		send_marker(p);
		break;
	case MARKER_NEEDS_LEASE:
		job_marker_await_lease(l, p);
		break;
	case MARKER_LIMIT:
		not_stored(p, "limit");
		break;
	}
}

void job_refuse_run(struct intake_request *p)
{
	store_marker(p);
}

bool job_refuse_marker_found(struct intake_request *p, uint64_t revision)
{
	struct intake_reply a = { .outcome = INTAKE_UNKNOWN,
				  .reason = "refused-elsewhere" };

	if (revision <= p->known_revision) {
		p->refused_revision = revision;
		return true;
	}
	/* A repetition that follows is known to be one. */
	job_owner_saw_revision(p->intake->node->owner, revision);
	counter_add(p->intake->submissions_late, 1);
	log_event(LOG_INFO, "submission-late", "job=%s queue=%s", p->id,
		  p->queue);
	intake_finish(p, &a);
	return false;
}
