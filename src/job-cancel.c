#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "job-intake-internal.h"
#include "log.h"

/*
 * A cancellation is answered with "no such job" only once a marker is stored,
 * in a transaction that expects the job to be absent. A submission expects that
 * there is no marker. So one whose write is still under way, or that arrives
 * later, does not start the job.
 */

static void read_spec(struct intake_request *p);
static void store_marker(struct intake_request *p);

static void resume(struct intake_request *p, enum kv_outcome outcome)
{
	if (outcome == KV_OK)
		store_marker(p);
	else if (outcome == KV_UNKNOWN || p->may_be_stored)
		intake_retry_later(p, "store-answer-lost");
	else
		intake_forward(p);
}

void job_cancel_init(struct job_intake *i)
{
	job_marker_init(&i->cancel_lease, i, resume);
	i->markers = counter_get(COUNTER, "waxwing_cancel_markers_total", NULL);
	i->markers_refused = counter_get(
		COUNTER, "waxwing_cancel_markers_refused_total", NULL);
}

/* ---- stored jobs ---- */

static void on_cancelled(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	if (r->outcome == KV_OK) {
		intake_finish_done(p, SCHED_JOB_CANCELLED);
	} else if (r->outcome == KV_CONFLICT) {
		read_spec(p);
	} else if (r->outcome == KV_UNKNOWN) {
		p->may_be_stored = true;
		intake_retry_later(p, "store-answer-lost");
	} else if (p->may_be_stored) {
		intake_retry_later(p, "store");
	} else {
		intake_forward(p);
	}
}

/* Expects the job, since the owner removes a cancellation along with its job.
 */
static void store_cancel(struct intake_request *p)
{
	char spec_key[KV_KEY_BYTES], key[KV_KEY_BYTES];
	struct kv_condition expect = { spec_key, p->spec_revision };
	struct kv_set set = { key, "", 0, 0 };
	struct kv_txn t = { .conditions = &expect,
			    .condition_count = 1,
			    .sets = &set,
			    .set_count = 1 };

	p->step = STEP_STORE;
	snprintf(spec_key, sizeof(spec_key), JOB_SPEC_PREFIX "%s", p->id);
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s" JOB_CANCEL_SUFFIX,
		 p->id);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_cancelled, p);
}

/* ---- jobs that are not stored ---- */

static void refuse_marker(struct intake_request *p, uint64_t retry_after_us)
{
	counter_add(p->intake->markers_refused, 1);
	intake_finish_failed(p, "too-many-cancellations",
			     (uint32_t)(retry_after_us / 1000000 + 1));
}

static void on_marked(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	switch (r->outcome) {
	case KV_OK:
		counter_add(p->intake->markers, 1);
		log_event(LOG_INFO, "cancellation-marked", "job=%s queue=%s",
			  p->id, p->queue);
		intake_finish_not_found(p);
		break;
	case KV_CONFLICT: /* the job was stored or removed in the meantime */
		read_spec(p);
		break;
	case KV_NOT_FOUND:
		marker_lease_ended(&p->intake->cancel_lease.lease, p->lease_id);
		intake_retry_later(p, "marker-lease-ended");
		break;
	case KV_UNKNOWN:
		p->may_be_stored = true;
		intake_retry_later(p, "store-answer-lost");
		break;
	default:
		if (p->may_be_stored)
			intake_retry_later(p, "store");
		else
			intake_forward(p);
		break;
	}
}

static void send_marker(struct intake_request *p)
{
	char spec_key[KV_KEY_BYTES], key[KV_KEY_BYTES];
	struct kv_condition expect = { spec_key, p->spec_revision };
	struct kv_set set = { key, p->queue, strlen(p->queue),
			      p->intake->cancel_lease.lease.id };
	struct kv_txn t = { .conditions = &expect,
			    .condition_count = 1,
			    .sets = &set,
			    .set_count = 1 };

	p->lease_id = p->intake->cancel_lease.lease.id;
	snprintf(spec_key, sizeof(spec_key), JOB_SPEC_PREFIX "%s", p->id);
	job_marker_key(p, JOB_MARKER_PREFIX, key);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_marked, p);
}

static void store_marker(struct intake_request *p)
{
	uint64_t retry_after_us;

	p->step = STEP_MARK;
	switch (marker_lease_add(&p->intake->cancel_lease.lease, clock_now_us(),
				 &retry_after_us)) {
	case MARKER_OK:
		send_marker(p);
		break;
	case MARKER_NEEDS_LEASE:
		job_marker_await_lease(&p->intake->cancel_lease, p);
		break;
	case MARKER_LIMIT:
		refuse_marker(p, retry_after_us);
		break;
	}
}

/* ---- lookup ---- */

static void on_spec(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	if (r->outcome == KV_NOT_FOUND) {
		p->spec_revision = 0;
		store_marker(p);
	} else if (r->outcome == KV_OK && r->count) {
		p->spec_revision = r->items[0].revision;
		if (intake_belongs_to_queue(p, r))
			store_cancel(p);
		else
			store_marker(p);
	} else if (r->outcome == KV_OK || r->outcome == KV_UNKNOWN ||
		   p->may_be_stored) {
		intake_retry_later(p, "store-answer-lost");
	} else {
		intake_forward(p);
	}
}

static void read_spec(struct intake_request *p)
{
	char key[KV_KEY_BYTES];

	p->step = STEP_READ_SPEC;
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s", p->id);
	p->intake->node->kv->ops->get(p->intake->node->kv, key, on_spec, p);
}

void job_cancel_run(struct intake_request *p)
{
	if (p->step == STEP_READ_SPEC)
		read_spec(p);
	else if (p->step == STEP_MARK)
		store_marker(p);
	else
		store_cancel(p);
}
