#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-intake-internal.h"
#include "log.h"

/* Delay before a call whose reply was lost is repeated. */
#define RETRY_DELAY_US 30000u
/*
 * A call without a reply is repeated for this long. Then the client is told
 * that the outcome is unknown and may retry through another entry VM.
 */
#define UNCERTAIN_RETRY_US 800000u
/*
 * Circuit breaker: after this many consecutive failures, submissions are
 * forwarded to the owner or refused immediately until a probe read succeeds.
 */
#define BREAKER_FAILURES 2u
#define BREAKER_PROBE_INTERVAL_US 250000u
/*
 * A write without an answer may be executed for this long. A repetition that
 * cannot be stored is not answered as refused meanwhile.
 */
#define UNKNOWN_WRITE_US 30000000u
/* Reserved for sending the response to the client. */
#define ANSWER_MARGIN_US 60000u
/* An owner replies from memory; if it takes longer, it is down or cut off. */
#define OWNER_CALL_TIMEOUT_MS 500u
/* Retry-After for clients when the store is unavailable. */
#define RETRY_AFTER_S 1u
/* The same while the owner has no memory, which frees slowly. */
#define FULL_RETRY_AFTER_S 10u

static void run_step(struct intake_request *p);
static void read_progress(struct intake_request *p);
static void on_probe_timer(evutil_socket_t fd, short what, void *arg);

struct job_intake *job_intake_create(struct job_node *n)
{
	struct job_intake *i = xcalloc(1, sizeof(*i));

	i->node = n;
	i->probe_timer = evtimer_new(n->base, on_probe_timer, i);
	job_cancel_init(i);
	job_refuse_init(i);
	return i;
}

void job_intake_destroy(struct job_intake *i)
{
	event_free(i->probe_timer);
	free(i);
}

uint32_t job_intake_pending(const struct job_intake *i)
{
	return i->request_count;
}

void intake_finish(struct intake_request *p, const struct intake_reply *a)
{
	if (p->call == PEER_SUBMIT && a->outcome == INTAKE_UNKNOWN)
		recent_ids_add(&p->intake->unknown, p->id,
			       clock_now_us() + UNKNOWN_WRITE_US);
	*p->prev_next = p->next;
	if (p->next)
		p->next->prev_next = p->prev_next;
	p->intake->request_count--;
	p->fn(p->arg, a);
	event_free(p->retry_timer);
	buffer_free(&p->record);
	free(p);
}

void intake_finish_done(struct intake_request *p, enum sched_job_state state)
{
	struct intake_reply a = { .outcome = INTAKE_DONE, .state = state };

	intake_finish(p, &a);
}

void intake_finish_not_found(struct intake_request *p)
{
	struct intake_reply a = { .outcome = INTAKE_NOT_FOUND };

	intake_finish(p, &a);
}

/* Whether a submission other than p may be stored, or be later. */
static bool submission_unknown(const struct job_intake *i, const char *id,
			       const struct intake_request *p)
{
	for (const struct intake_request *q = i->requests; q; q = q->next)
		if (q != p && q->call == PEER_SUBMIT && !strcmp(q->id, id))
			return true;
	return recent_ids_contains(&i->unknown, id, clock_now_us());
}

bool job_intake_submission_unknown(const struct job_intake *i, const char *id)
{
	return submission_unknown(i, id, NULL);
}

void intake_finish_failed(struct intake_request *p, const char *reason,
			  uint32_t retry_after_s)
{
	bool unknown =
		p->may_be_stored || (p->call == PEER_SUBMIT &&
				     submission_unknown(p->intake, p->id, p));
	struct intake_reply a = { .outcome = unknown ? INTAKE_UNKNOWN
						     : INTAKE_REFUSED,
				  .retry_after_s = retry_after_s,
				  .reason = reason };

	intake_finish(p, &a);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	run_step(arg);
}

bool intake_may_retry(const struct intake_request *p)
{
	uint64_t next_try_us = clock_now_us() + RETRY_DELAY_US;

	return next_try_us + ANSWER_MARGIN_US <= p->deadline_us &&
	       next_try_us <= p->started_us + UNCERTAIN_RETRY_US;
}

void intake_retry_later(struct intake_request *p, const char *reason)
{
	static const struct timeval delay = { 0, RETRY_DELAY_US };

	if (!intake_may_retry(p))
		intake_finish_failed(p, reason, RETRY_AFTER_S);
	else
		evtimer_add(p->retry_timer, &delay);
}

static uint32_t owner_timeout_ms(const struct intake_request *p)
{
	uint64_t now = clock_now_us();
	uint64_t end_us = p->deadline_us - ANSWER_MARGIN_US;

	if (end_us <= now + 1000)
		return 1;
	return (end_us - now) / 1000 < OWNER_CALL_TIMEOUT_MS
		       ? (uint32_t)((end_us - now) / 1000)
		       : OWNER_CALL_TIMEOUT_MS;
}

static void on_forwarded(void *arg, const struct intake_reply *a)
{
	struct intake_request *p = arg;

	if (a->outcome == INTAKE_DONE || a->outcome == INTAKE_NOT_FOUND) {
		intake_finish(p, a);
		return;
	}
	if (a->outcome == INTAKE_UNKNOWN)
		p->may_be_stored = true;
	intake_finish_failed(p, "owner", RETRY_AFTER_S);
}

void intake_forward(struct intake_request *p)
{
	if (!p->forwarded && !p->tried_owner) {
		p->tried_owner = true;
		p->step = STEP_FORWARD;
		if (job_peer_call_owner(p->intake->node->peer, p->call, p->id,
					p->queue, p->record.data, p->record.len,
					owner_timeout_ms(p), on_forwarded, p))
			return;
	}
	intake_finish_failed(p, "store", RETRY_AFTER_S);
}

bool job_intake_store_unavailable(const struct job_intake *i)
{
	return i->store_failures >= BREAKER_FAILURES;
}

static void on_probe(void *arg, const struct kv_reply *r);

static void on_probe_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job_intake *i = arg;

	(void)fd;
	(void)what;
	i->node->kv->ops->get(i->node->kv, JOB_SEQ_KEY, on_probe, i);
}

/* Probes in the background, so that no request has to wait for a timeout. */
static void schedule_probe(struct job_intake *i)
{
	static const struct timeval interval = { 0, BREAKER_PROBE_INTERVAL_US };

	evtimer_add(i->probe_timer, &interval);
}

static void record_store_outcome(struct job_intake *i, enum kv_outcome outcome)
{
	if (outcome != KV_FAILED && outcome != KV_REJECTED &&
	    outcome != KV_UNKNOWN) {
		if (job_intake_store_unavailable(i))
			log_event(LOG_INFO, "intake-store-back", "failures=%u",
				  i->store_failures);
		i->store_failures = 0;
	} else if (++i->store_failures == BREAKER_FAILURES) {
		log_event(LOG_WARNING, "intake-store-away", "outcome=%d",
			  outcome);
		event_active(i->probe_timer, EV_TIMEOUT, 0);
	}
}

static void on_probe(void *arg, const struct kv_reply *r)
{
	struct job_intake *i = arg;

	record_store_outcome(i, r->outcome);
	if (job_intake_store_unavailable(i))
		schedule_probe(i);
}

/* ---- submit ---- */

void intake_spec_key(const struct intake_request *p, char key[KV_KEY_BYTES])
{
	snprintf(key, KV_KEY_BYTES, JOB_SPEC_PREFIX "%s", p->id);
}

/* A write without effect was rejected by the store, or had no answer. */
static void submission_failed(struct intake_request *p, enum kv_outcome outcome)
{
	if (outcome == KV_UNKNOWN) {
		p->may_be_stored = true;
		intake_retry_later(p, "store-answer-lost");
	} else if (p->may_be_stored) {
		intake_retry_later(p, "store");
	} else {
		intake_forward(p);
	}
}

static void on_cancelled_stored(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	record_store_outcome(p->intake, r->outcome);
	if (r->outcome == KV_OK || r->outcome == KV_CONFLICT)
		intake_finish_done(p, SCHED_JOB_CANCELLED);
	else
		submission_failed(p, r->outcome);
}

/*
 * Stores the job along with its cancellation, which was answered before. So it
 * is known and never starts, also once the marker is gone.
 */
static void store_cancelled(struct intake_request *p)
{
	char key[KV_KEY_BYTES], cancel_key[KV_KEY_BYTES];
	struct kv_condition expect = { key, 0 };
	struct kv_set sets[2] = { { key, p->record.data, p->record.len, 0 },
				  { cancel_key, "", 0, 0 } };
	struct kv_txn t = { .conditions = &expect,
			    .condition_count = 1,
			    .sets = sets,
			    .set_count = 2 };

	p->step = STEP_STORE_CANCELLED;
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s", p->id);
	snprintf(cancel_key, sizeof(cancel_key),
		 JOB_SPEC_PREFIX "%s" JOB_CANCEL_SUFFIX, p->id);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t,
				      on_cancelled_stored, p);
}

/* What a conflict shows of the keys that concern a submission. */
struct found {
	bool stored;
	bool cancelled;
	bool refusal_read;
	uint64_t refused_revision; /* 0: no such marker */
};

static void read_conflict(const struct kv_reply *r, struct found *f)
{
	for (size_t i = 0; i < r->count; i++) {
		const struct kv_item *item = &r->items[i];
		bool present = item->revision && !item->deleted;

		if (!strncmp(item->key, JOB_REFUSED_PREFIX,
			     strlen(JOB_REFUSED_PREFIX))) {
			f->refusal_read = true;
			f->refused_revision = present ? item->revision : 0;
		} else if (present && !strncmp(item->key, JOB_SPEC_PREFIX,
					       strlen(JOB_SPEC_PREFIX))) {
			f->stored = true;
		} else if (present) {
			f->cancelled = true;
		}
	}
}

void intake_submission_conflict(struct intake_request *p,
				const struct kv_reply *r)
{
	struct found f = { .stored = false };

	read_conflict(r, &f);
	if (f.stored) {
		intake_finish_done(p, SCHED_JOB_QUEUED);
	} else if (f.cancelled) {
		log_event(LOG_INFO, "submission-cancelled", "job=%s queue=%s",
			  p->id, p->queue);
		store_cancelled(p);
	} else if (!f.refusal_read ||
		   f.refused_revision == p->refused_revision) {
		submission_failed(p, KV_UNKNOWN);
	} else if (!f.refused_revision) { /* its lease has ended */
		p->refused_revision = 0;
		intake_submit(p);
	} else if (job_refuse_marker_found(p, f.refused_revision)) {
		intake_submit(p);
	}
}

static void on_submitted(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	record_store_outcome(p->intake, r->outcome);
	if (r->outcome == KV_OK) {
		if (p->refused_revision)
			counter_add(p->intake->refusals_replaced, 1);
		intake_finish_done(p, SCHED_JOB_QUEUED);
	} else if (r->outcome == KV_CONFLICT) {
		intake_submission_conflict(p, r);
	} else {
		submission_failed(p, r->outcome);
	}
}

void intake_submit(struct intake_request *p)
{
	char key[KV_KEY_BYTES], cancelled_key[KV_KEY_BYTES];
	char refused_key[KV_KEY_BYTES];
	const char *removes[1] = { refused_key };
	struct kv_condition expect[3] = { { key, 0 },
					  { cancelled_key, 0 },
					  { refused_key,
					    p->refused_revision } };
	struct kv_set set = { key, p->record.data, p->record.len, 0 };
	struct kv_txn t = { .conditions = expect,
			    .condition_count = 3,
			    .sets = &set,
			    .set_count = 1,
			    .removes = removes,
			    .remove_count = p->refused_revision ? 1 : 0 };

	p->step = STEP_STORE;
	if (!p->may_be_stored && job_intake_store_unavailable(p->intake)) {
		intake_forward(p);
		return;
	}
	intake_spec_key(p, key);
	job_marker_key(p, JOB_MARKER_PREFIX, cancelled_key);
	job_marker_key(p, JOB_REFUSED_PREFIX, refused_key);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_submitted, p);
}

/* ---- state ---- */

bool intake_belongs_to_queue(const struct intake_request *p,
			     const struct kv_reply *r)
{
	struct job_spec spec;
	struct error err;
	bool matches;

	if (!r->count)
		return false;
	if (job_spec_decode(&spec, r->items[0].value, r->items[0].len, &err) <
	    0) {
		log_event(LOG_ERROR, "job-malformed", "job=%s error=\"%s\"",
			  p->id, err.message);
		return false;
	}
	matches = !strcmp(spec.queue, p->queue);
	job_spec_free(&spec);
	return matches;
}

static void on_spec(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;

	if (r->outcome == KV_NOT_FOUND ||
	    (r->outcome == KV_OK && !intake_belongs_to_queue(p, r)))
		intake_finish_not_found(p);
	else if (r->outcome == KV_UNKNOWN)
		intake_retry_later(p, "store-answer-lost");
	else if (r->outcome != KV_OK)
		intake_forward(p);
	else
		read_progress(p);
}

static void read_spec(struct intake_request *p)
{
	char key[KV_KEY_BYTES];

	p->step = STEP_READ_SPEC;
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s", p->id);
	p->intake->node->kv->ops->get(p->intake->node->kv, key, on_spec, p);
}

static void on_progress(void *arg, const struct kv_reply *r)
{
	struct intake_request *p = arg;
	enum sched_job_state state = SCHED_JOB_QUEUED;

	if (r->outcome == KV_UNKNOWN) {
		intake_retry_later(p, "store-answer-lost");
		return;
	}
	if (r->outcome != KV_OK && r->outcome != KV_NOT_FOUND) {
		intake_finish_failed(p, "store", RETRY_AFTER_S);
		return;
	}
	if (r->outcome == KV_OK && r->count &&
	    sched_record_state(r->items[0].value, r->items[0].len, &state) <
		    0) {
		log_event(LOG_ERROR, "progress-malformed", "job=%s", p->id);
		intake_finish_failed(p, "progress-malformed", RETRY_AFTER_S);
		return;
	}
	intake_finish_done(p, state);
}

static void read_progress(struct intake_request *p)
{
	char key[KV_KEY_BYTES];

	p->step = STEP_READ_PROGRESS;
	snprintf(key, sizeof(key), JOB_PROGRESS_PREFIX "%s", p->id);
	p->intake->node->kv->ops->get(p->intake->node->kv, key, on_progress, p);
}

static void on_owner_reply(void *arg, const struct intake_reply *a)
{
	struct intake_request *p = arg;

	if (a->outcome == INTAKE_DONE)
		intake_finish(p, a);
	else if (p->call == PEER_WAITING)
		intake_finish_failed(p, "owner", RETRY_AFTER_S);
	else
		read_spec(p); /* the owner may not have loaded it yet */
}

static void query_owner(struct intake_request *p)
{
	struct job_node *n = p->intake->node;
	struct sched *s = job_owner_sched(n->owner);
	struct intake_reply a = { .outcome = INTAKE_DONE };

	if (s && p->call == PEER_WAITING) {
		a.waiting = job_owner_waiting_jobs(n->owner, p->queue);
		intake_finish(p, &a);
	} else if (s && sched_job_state(s, p->id, p->queue, &a.state)) {
		intake_finish(p, &a);
	} else if (!s && !p->tried_owner &&
		   job_peer_call_owner(n->peer, p->call, p->id, p->queue, NULL,
				       0, owner_timeout_ms(p), on_owner_reply,
				       p)) {
		p->tried_owner = true;
	} else if (p->call == PEER_WAITING) {
		intake_retry_later(p, "no-owner");
	} else {
		read_spec(p);
	}
}

static void run_step(struct intake_request *p)
{
	if (p->call == PEER_CANCEL)
		job_cancel_run(p);
	else if (p->step == STEP_STORE_CANCELLED)
		store_cancelled(p);
	else if (p->step == STEP_REFUSE)
		job_refuse_run(p);
	else if (p->call == PEER_SUBMIT)
		intake_submit(p);
	else if (p->step == STEP_READ_SPEC)
		read_spec(p);
	else if (p->step == STEP_READ_PROGRESS)
		read_progress(p);
	else
		query_owner(p);
}

static struct intake_request *add_request(struct job_intake *i,
					  enum peer_call call, const char *id,
					  const char *queue,
					  uint64_t deadline_us, bool forwarded,
					  intake_fn *fn, void *arg)
{
	struct intake_request *p = xcalloc(1, sizeof(*p));

	p->intake = i;
	p->call = call;
	p->step = call == PEER_CANCEL ? STEP_READ_SPEC : STEP_STORE;
	snprintf(p->id, sizeof(p->id), "%s", id);
	snprintf(p->queue, sizeof(p->queue), "%s", queue);
	p->deadline_us = deadline_us;
	p->started_us = clock_now_us();
	p->forwarded = forwarded;
	p->fn = fn;
	p->arg = arg;
	p->retry_timer = evtimer_new(i->node->base, on_retry, p);
	p->next = i->requests;
	p->prev_next = &i->requests;
	if (i->requests)
		i->requests->prev_next = &p->next;
	i->requests = p;
	i->request_count++;
	return p;
}

void job_intake_submit(struct job_intake *i, const struct job_spec *spec,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg)
{
	struct intake_request *p =
		add_request(i, PEER_SUBMIT, spec->id, spec->queue, deadline_us,
			    forwarded, fn, arg);
	struct job_owner *o = i->node->owner;

	job_spec_encode(spec, &p->record);
	/* A peer received it earlier, and what it knew then is not known. */
	p->known_revision = forwarded ? 0 : job_owner_known_revision(o);
	if (!job_intake_store_unavailable(i)) {
		p->full = job_owner_full(o);
		if (p->full)
			p->retry_after_s = FULL_RETRY_AFTER_S;
		if (p->full || job_owner_refuses(o, spec, &p->retry_after_s))
			p->step = STEP_REFUSE;
	}
	run_step(p);
}

void job_intake_cancel(struct job_intake *i, const char *id, const char *queue,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg)
{
	run_step(add_request(i, PEER_CANCEL, id, queue, deadline_us, forwarded,
			     fn, arg));
}

void job_intake_state(struct job_intake *i, const char *id, const char *queue,
		      uint64_t deadline_us, intake_fn *fn, void *arg)
{
	run_step(add_request(i, PEER_STATE, id, queue, deadline_us, false, fn,
			     arg));
}

void job_intake_waiting(struct job_intake *i, const char *queue,
			uint64_t deadline_us, intake_fn *fn, void *arg)
{
	run_step(add_request(i, PEER_WAITING, "", queue, deadline_us, false, fn,
			     arg));
}
