#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-node.h"
#include "log.h"

/* Pause before a call whose answer was lost is repeated. */
#define RETRY_US 30000u
/*
 * A write whose outcome is not known is repeated that long; then the caller is
 * told so, and may come back through another entry VM.
 */
#define UNCERTAIN_US 800000u
/*
 * After that many failures in a row the store counts as away: hand-ins are
 * passed on or refused at once until a read of its own succeeds.
 */
#define BREAKER_FAILURES 2u
#define BREAKER_PROBE_US 250000u
/* Left for the answer to reach the caller. */
#define ANSWER_MARGIN_US 60000u
/* An owner answers from memory; a longer wait is a cut or its end. */
#define ASK_TIMEOUT_MS 500u
/* Clients of a process that cannot store come back after that time. */
#define RETRY_AFTER_S 1u

enum step {
	STEP_STORE,   /* write to the store */
	STEP_FORWARD, /* ask the owner to */
	STEP_READ_JOB,
	STEP_READ_PROGRESS,
};

/* One request on its way through the store or the owner. */
struct pending {
	struct job_intake *intake;
	struct pending *next;
	struct pending **link;
	struct event *retry;
	enum peer_call call;
	enum step step;
	char id[JOB_ID_BYTES];
	char queue[JOB_NAME_BYTES];
	struct buffer record; /* of a job to submit */
	uint64_t deadline_us;
	uint64_t begun_us;
	bool forwarded; /* by a peer */
	bool uncertain; /* a write may have taken effect */
	bool tried_owner;
	intake_fn *fn;
	void *arg;
};

struct job_intake {
	struct job_node *node;
	struct pending *first;
	uint32_t count;
	uint32_t failures; /* of the store, in a row */
	struct event *probe;
};

static void run(struct pending *p);
static void read_progress(struct pending *p);
static void on_probe_timer(evutil_socket_t fd, short what, void *arg);

struct job_intake *job_intake_create(struct job_node *n)
{
	struct job_intake *i = xcalloc(1, sizeof(*i));

	i->node = n;
	i->probe = evtimer_new(n->base, on_probe_timer, i);
	return i;
}

void job_intake_destroy(struct job_intake *i)
{
	event_free(i->probe);
	free(i);
}

uint32_t job_intake_pending(const struct job_intake *i)
{
	return i->count;
}

static void finish(struct pending *p, const struct intake_answer *a)
{
	*p->link = p->next;
	if (p->next)
		p->next->link = p->link;
	p->intake->count--;
	p->fn(p->arg, a);
	event_free(p->retry);
	buffer_free(&p->record);
	free(p);
}

static void finish_done(struct pending *p, enum sched_job_state state)
{
	struct intake_answer a = { .outcome = INTAKE_DONE, .state = state };

	finish(p, &a);
}

static void finish_absent(struct pending *p)
{
	struct intake_answer a = { .outcome = INTAKE_ABSENT };

	finish(p, &a);
}

/* Nothing was stored, unless an earlier attempt may still take effect. */
static void finish_failed(struct pending *p, const char *why)
{
	struct intake_answer a = { .outcome = p->uncertain ? INTAKE_UNKNOWN
							   : INTAKE_REFUSED,
				   .retry_after_s = RETRY_AFTER_S,
				   .why = why };

	finish(p, &a);
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	run(arg);
}

/* Repeats the step while there is time. */
static void retry(struct pending *p, const char *why)
{
	static const struct timeval pause = { 0, RETRY_US };

	uint64_t next = clock_now_us() + RETRY_US;

	if (next + ANSWER_MARGIN_US > p->deadline_us ||
	    next > p->begun_us + UNCERTAIN_US)
		finish_failed(p, why);
	else
		evtimer_add(p->retry, &pause);
}

static uint32_t timeout_left(const struct pending *p)
{
	uint64_t now = clock_now_us();
	uint64_t end = p->deadline_us - ANSWER_MARGIN_US;

	if (end <= now + 1000)
		return 1;
	return (end - now) / 1000 < ASK_TIMEOUT_MS
		       ? (uint32_t)((end - now) / 1000)
		       : ASK_TIMEOUT_MS;
}

static void on_forwarded(void *arg, const struct intake_answer *a)
{
	struct pending *p = arg;

	if (a->outcome == INTAKE_DONE || a->outcome == INTAKE_ABSENT) {
		finish(p, a);
		return;
	}
	if (a->outcome == INTAKE_UNKNOWN)
		p->uncertain = true;
	finish_failed(p, "owner");
}

/* This process cannot reach the store; the owner may. */
static void forward(struct pending *p)
{
	if (!p->forwarded && !p->tried_owner) {
		p->tried_owner = true;
		p->step = STEP_FORWARD;
		if (job_peer_ask(p->intake->node->peer, p->call, p->id,
				 p->queue, p->record.data, p->record.len,
				 timeout_left(p), on_forwarded, p))
			return;
	}
	finish_failed(p, "store");
}

bool job_intake_store_away(const struct job_intake *i)
{
	return i->failures >= BREAKER_FAILURES;
}

static void on_probe(void *arg, const struct kv_reply *r);

static void on_probe_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job_intake *i = arg;

	(void)fd;
	(void)what;
	i->node->kv->ops->get(i->node->kv, JOB_SEQ_KEY, on_probe, i);
}

/* No caller waits for the answer that tells whether the store is back. */
static void probe_later(struct job_intake *i)
{
	static const struct timeval pause = { 0, BREAKER_PROBE_US };

	evtimer_add(i->probe, &pause);
}

static void note_outcome(struct job_intake *i, enum kv_outcome outcome)
{
	if (outcome != KV_FAILED && outcome != KV_UNKNOWN) {
		if (job_intake_store_away(i))
			log_event(LOG_INFO, "intake-store-back", "failures=%u",
				  i->failures);
		i->failures = 0;
	} else if (++i->failures == BREAKER_FAILURES) {
		log_event(LOG_WARNING, "intake-store-away", "outcome=%d",
			  outcome);
		event_active(i->probe, EV_TIMEOUT, 0);
	}
}

static void on_probe(void *arg, const struct kv_reply *r)
{
	struct job_intake *i = arg;

	note_outcome(i, r->outcome);
	if (job_intake_store_away(i))
		probe_later(i);
}

/* ---- submit ---- */

static void on_submitted(void *arg, const struct kv_reply *r)
{
	struct pending *p = arg;

	note_outcome(p->intake, r->outcome);
	switch (r->outcome) {
	case KV_OK:
	case KV_CONFLICT: /* it is stored already: one job */
		finish_done(p, SCHED_JOB_QUEUED);
		break;
	case KV_UNKNOWN:
		p->uncertain = true;
		retry(p, "store-answer-lost");
		break;
	default:
		if (p->uncertain)
			retry(p, "store");
		else
			forward(p);
		break;
	}
}

static void submit(struct pending *p)
{
	char key[KV_KEY_BYTES];
	struct kv_condition expect = { key, 0 };
	struct kv_set set = { key, p->record.data, p->record.len, 0 };
	struct kv_txn t = { .conditions = &expect,
			    .condition_count = 1,
			    .sets = &set,
			    .set_count = 1 };

	if (!p->uncertain && job_intake_store_away(p->intake)) {
		forward(p);
		return;
	}
	snprintf(key, sizeof(key), JOB_IN_PREFIX "%s", p->id);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_submitted, p);
}

/* ---- cancel ---- */

static void on_cancelled(void *arg, const struct kv_reply *r)
{
	struct pending *p = arg;

	if (r->outcome == KV_OK)
		finish_done(p, SCHED_JOB_CANCELLED);
	else if (r->outcome == KV_UNKNOWN)
		retry(p, "store-answer-lost");
	else
		forward(p);
}

static void store_cancel(struct pending *p)
{
	char key[KV_KEY_BYTES];
	struct kv_set set = { key, "", 0, 0 };
	struct kv_txn t = { .sets = &set, .set_count = 1 };

	p->step = STEP_STORE;
	snprintf(key, sizeof(key), JOB_IN_PREFIX "%s" JOB_CANCEL_SUFFIX, p->id);
	p->intake->node->kv->ops->txn(p->intake->node->kv, &t, on_cancelled, p);
}

/* ---- state ---- */

static bool in_queue(const struct pending *p, const struct kv_reply *r)
{
	struct job_spec spec;
	struct error err;
	bool same;

	if (!r->count)
		return false;
	if (job_spec_decode(&spec, r->items[0].value, r->items[0].len, &err) <
	    0) {
		log_event(LOG_ERROR, "job-malformed", "job=%s error=\"%s\"",
			  p->id, err.message);
		return false;
	}
	same = !strcmp(spec.queue, p->queue);
	job_spec_free(&spec);
	return same;
}

static void on_job(void *arg, const struct kv_reply *r)
{
	struct pending *p = arg;

	if (r->outcome == KV_NOT_FOUND ||
	    (r->outcome == KV_OK && !in_queue(p, r)))
		finish_absent(p);
	else if (r->outcome == KV_UNKNOWN)
		retry(p, "store-answer-lost");
	else if (r->outcome != KV_OK)
		forward(p);
	else if (p->call == PEER_CANCEL)
		store_cancel(p);
	else
		read_progress(p);
}

static void read_job(struct pending *p)
{
	char key[KV_KEY_BYTES];

	p->step = STEP_READ_JOB;
	snprintf(key, sizeof(key), JOB_IN_PREFIX "%s", p->id);
	p->intake->node->kv->ops->get(p->intake->node->kv, key, on_job, p);
}

static void on_progress(void *arg, const struct kv_reply *r)
{
	struct pending *p = arg;
	enum sched_job_state state = SCHED_JOB_QUEUED;

	if (r->outcome == KV_UNKNOWN) {
		retry(p, "store-answer-lost");
		return;
	}
	if (r->outcome != KV_OK && r->outcome != KV_NOT_FOUND) {
		finish_failed(p, "store");
		return;
	}
	if (r->outcome == KV_OK && r->count &&
	    sched_record_state(r->items[0].value, r->items[0].len, &state) <
		    0) {
		log_event(LOG_ERROR, "progress-malformed", "job=%s", p->id);
		finish_failed(p, "progress-malformed");
		return;
	}
	finish_done(p, state);
}

static void read_progress(struct pending *p)
{
	char key[KV_KEY_BYTES];

	p->step = STEP_READ_PROGRESS;
	snprintf(key, sizeof(key), JOB_RUN_PREFIX "%s", p->id);
	p->intake->node->kv->ops->get(p->intake->node->kv, key, on_progress, p);
}

static void on_asked(void *arg, const struct intake_answer *a)
{
	struct pending *p = arg;

	if (a->outcome == INTAKE_DONE)
		finish(p, a);
	else if (p->call == PEER_WAITING)
		finish_failed(p, "owner");
	else
		read_job(p); /* the owner may not have seen it yet */
}

static void ask_owner(struct pending *p)
{
	struct job_node *n = p->intake->node;
	struct sched *s = job_owner_sched(n->owner);
	struct intake_answer a = { .outcome = INTAKE_DONE };

	if (s && p->call == PEER_WAITING) {
		a.waiting = sched_waiting_jobs(s, p->queue);
		finish(p, &a);
	} else if (s && sched_job_state(s, p->id, p->queue, &a.state)) {
		finish(p, &a);
	} else if (!s && !p->tried_owner &&
		   job_peer_ask(n->peer, p->call, p->id, p->queue, NULL, 0,
				timeout_left(p), on_asked, p)) {
		p->tried_owner = true;
	} else if (p->call == PEER_WAITING) {
		retry(p, "no-owner");
	} else {
		read_job(p);
	}
}

static void run(struct pending *p)
{
	switch (p->step) {
	case STEP_READ_JOB:
		read_job(p);
		break;
	case STEP_READ_PROGRESS:
		read_progress(p);
		break;
	case STEP_STORE:
	case STEP_FORWARD:
		if (p->call == PEER_SUBMIT)
			submit(p);
		else if (p->call == PEER_CANCEL)
			store_cancel(p);
		else
			ask_owner(p);
		break;
	}
}

static struct pending *add_pending(struct job_intake *i, enum peer_call call,
				   const char *id, const char *queue,
				   uint64_t deadline_us, bool forwarded,
				   intake_fn *fn, void *arg)
{
	struct pending *p = xcalloc(1, sizeof(*p));

	p->intake = i;
	p->call = call;
	p->step = call == PEER_CANCEL ? STEP_READ_JOB : STEP_STORE;
	snprintf(p->id, sizeof(p->id), "%s", id);
	snprintf(p->queue, sizeof(p->queue), "%s", queue);
	p->deadline_us = deadline_us;
	p->begun_us = clock_now_us();
	p->forwarded = forwarded;
	p->fn = fn;
	p->arg = arg;
	p->retry = evtimer_new(i->node->base, on_retry, p);
	p->next = i->first;
	p->link = &i->first;
	if (i->first)
		i->first->link = &p->next;
	i->first = p;
	i->count++;
	return p;
}

void job_intake_submit(struct job_intake *i, const struct job_spec *spec,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg)
{
	struct pending *p = add_pending(i, PEER_SUBMIT, spec->id, spec->queue,
					deadline_us, forwarded, fn, arg);

	job_spec_encode(spec, &p->record);
	run(p);
}

void job_intake_cancel(struct job_intake *i, const char *id, const char *queue,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg)
{
	run(add_pending(i, PEER_CANCEL, id, queue, deadline_us, forwarded, fn,
			arg));
}

void job_intake_state(struct job_intake *i, const char *id, const char *queue,
		      uint64_t deadline_us, intake_fn *fn, void *arg)
{
	run(add_pending(i, PEER_STATE, id, queue, deadline_us, false, fn, arg));
}

void job_intake_waiting(struct job_intake *i, const char *queue,
			uint64_t deadline_us, intake_fn *fn, void *arg)
{
	run(add_pending(i, PEER_WAITING, "", queue, deadline_us, false, fn,
			arg));
}
