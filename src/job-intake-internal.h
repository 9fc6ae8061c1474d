#ifndef JOB_INTAKE_INTERNAL_H
#define JOB_INTAKE_INTERNAL_H

#include "buffer.h"
#include "job-node.h"
#include "marker-lease.h"
#include "recent-ids.h"

/*
 * NAME
 *	job-intake-internal - requests of callers in progress
 *
 * DESCRIPTION
 *	job-intake.c submits jobs and reads their state; job-cancel.c cancels
 *	them; job-refuse.c refuses those that cannot end in time; job-marker.c
 *	has what is common to the markers of these two. A request is repeated
 *until its outcome is known or its deadline is near, and is forwarded to the
 *owner if the store rejects this process.
 */

enum intake_step {
	STEP_STORE,	      /* write to the store */
	STEP_STORE_CANCELLED, /* store a job that is cancelled already */
	STEP_FORWARD,	      /* have the owner do it */
	STEP_READ_SPEC,
	STEP_READ_PROGRESS,
	STEP_MARK,   /* store the marker of a cancellation */
	STEP_REFUSE, /* store the marker of a refusal */
};

struct intake_request;

typedef void intake_lease_fn(struct intake_request *p, enum kv_outcome outcome);

/* A lease for markers, and the requests that wait for its grant. */
struct intake_lease {
	struct job_intake *intake;
	struct marker_lease lease;
	bool requested;
	uint64_t sent_us;
	intake_lease_fn *resume; /* called with the outcome of the grant */
};

/* A request in progress at the store or the owner. */
struct intake_request {
	struct job_intake *intake;
	struct intake_request *next;
	struct intake_request **prev_next;
	struct event *retry_timer;
	enum peer_call call;
	enum intake_step step;
	char id[JOB_ID_BYTES];
	char queue[JOB_NAME_BYTES];
	struct buffer record;	/* encoded specification of PEER_SUBMIT */
	uint64_t spec_revision; /* of PEER_CANCEL, as read; 0: no such key */
	uint64_t lease_id;	/* with which the marker was sent */
	uint64_t deadline_us;
	uint64_t started_us;
	bool forwarded;	    /* received from a peer */
	bool may_be_stored; /* an earlier write may have taken effect */
	bool tried_owner;
	struct intake_lease *awaited_lease; /* NULL: none */
	/*
	 * Of PEER_SUBMIT: the marker of a refusal up to this revision was
	 * stored before the request was sent.
	 */
	uint64_t known_revision;
	uint64_t refused_revision; /* of the marker to replace; 0: none */
	uint32_t retry_after_s;	   /* STEP_REFUSE */
	bool full;		   /* refused as the owner has no memory */
	intake_fn *fn;
	void *arg;
};

struct job_intake {
	struct job_node *node;
	struct intake_request *requests;
	uint32_t request_count;
	uint32_t store_failures; /* consecutive */
	struct event *probe_timer;
	struct recent_ids unknown; /* submissions without an outcome */
	struct intake_lease cancel_lease;
	struct intake_lease refusal_lease;
	struct counter *markers;
	struct counter *markers_refused;
	struct counter *refusals;
	struct counter *refusals_not_stored;
	struct counter *refusals_replaced;
	struct counter *submissions_late;
};

/* ---- job-intake.c ---- */
void intake_finish(struct intake_request *p, const struct intake_reply *a);
void intake_finish_done(struct intake_request *p, enum sched_job_state state);
void intake_finish_not_found(struct intake_request *p);
/* Refused, or unknown if an earlier attempt may have taken effect. */
void intake_finish_failed(struct intake_request *p, const char *reason,
			  uint32_t retry_after_s);
/* Whether there is time for another attempt before the answer is due. */
bool intake_may_retry(const struct intake_request *p);
/* Repeats the step later, or fails if that would be too late. */
void intake_retry_later(struct intake_request *p, const char *reason);
/* The owner may reach the store when this process cannot. */
void intake_forward(struct intake_request *p);
/* Writes the job, or goes on to do so. */
void intake_submit(struct intake_request *p);
/* A transaction found the job, or a marker of it. */
void intake_submission_conflict(struct intake_request *p,
				const struct kv_reply *r);
void intake_spec_key(const struct intake_request *p, char key[KV_KEY_BYTES]);
/* Whether the reply has a job of the request's queue. */
bool intake_belongs_to_queue(const struct intake_request *p,
			     const struct kv_reply *r);

/* ---- job-cancel.c ---- */
void job_cancel_init(struct job_intake *i);
/* Runs the request's step. */
void job_cancel_run(struct intake_request *p);

/* ---- job-refuse.c ---- */
void job_refuse_init(struct job_intake *i);
/* Stores the marker of a refusal and refuses the submission. */
void job_refuse_run(struct intake_request *p);
/*
 * A submission that is to be accepted has found the marker of a refusal.
 * Returns whether that was before it, so that the job may replace the marker.
 * Otherwise it may be the attempt after which the caller was refused: its
 * outcome is answered as unknown.
 */
bool job_refuse_marker_found(struct intake_request *p, uint64_t revision);

/* ---- job-marker.c ---- */
void job_marker_init(struct intake_lease *l, struct job_intake *i,
		     intake_lease_fn *resume);
/* Has a lease granted; the request is resumed then. */
void job_marker_await_lease(struct intake_lease *l, struct intake_request *p);
/*
 * Sets the key of a marker of the request's job and queue. The name of a queue
 * may have any bytes, so the key has its hash.
 */
void job_marker_key(const struct intake_request *p, const char *prefix,
		    char key[KV_KEY_BYTES]);

#endif
