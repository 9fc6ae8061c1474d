#ifndef JOB_NODE_H
#define JOB_NODE_H

#include "job-platform.h"
#include "rng.h"
#include "settings.h"

/*
 * NAME
 *	job-node - one entry VM that takes jobs and may own them
 *
 * DESCRIPTION
 *	All modules of the process run on one event loop and find each other
 *	here. Keys in the store, below JOB_PREFIX:
 *	in/ID		a job as it was accepted
 *	in/ID/x		its cancellation
 *	run/ID		its progress, written by the owner
 *	owner/lead	who owns the jobs; removed when its lease ends
 *	pairs		what the owner learnt about images that disturb others
 *	seq		epoch of the owner and number of its last transaction
 */

#define JOB_PREFIX "waxwing/"
#define JOB_SPEC_PREFIX JOB_PREFIX "in/"
#define JOB_PROGRESS_PREFIX JOB_PREFIX "run/"
#define JOB_OWNER_PREFIX JOB_PREFIX "owner/"
#define JOB_OWNER_KEY JOB_OWNER_PREFIX "lead"
#define JOB_SEQ_KEY JOB_PREFIX "seq"
#define JOB_PAIRS_KEY JOB_PREFIX "pairs"
#define JOB_CANCEL_SUFFIX "/x"

struct event_base;
struct job_front;
struct job_intake;
struct job_metrics;
struct job_owner;
struct job_peer;
struct kv_follow;

struct job_node {
	const struct settings *settings;
	const struct job_platform *platform;
	struct event_base *base;
	struct kv *kv;
	struct rng rng;
	struct job_config *config; /* NULL until the first is known */
	struct kv_follow *config_follow;
	struct job_owner *owner;
	struct job_peer *peer;
	struct job_intake *intake;
	struct job_metrics *metrics;
	bool draining;
};

/* ---- job-config.c ---- */
void job_config_start(struct job_node *n);
void job_config_stop(struct job_node *n);
/* Queue of the longest prefix of a path at a host, or NULL. */
const struct job_queue *job_config_find_queue(const struct job_node *n,
					      const char *host,
					      const char *path);

/* ---- job-owner.c ---- */
struct job_owner *job_owner_create(struct job_node *n);
void job_owner_destroy(struct job_owner *o);
/* Applies a new configuration. */
void job_owner_config_changed(struct job_owner *o);
/* Hands ownership over; this process does not take it again. */
void job_owner_resign(struct job_owner *o);
/* The core while this process owns the jobs, else NULL. */
struct sched *job_owner_sched(struct job_owner *o);
/* Address of the owner's peer interface; false when none is known. */
bool job_owner_address(const struct job_owner *o, struct settings_address *out);
/* Something changed that may need to be stored or placed. */
void job_owner_schedule_tick(struct job_owner *o);
/* A worker knows a higher fencing token. */
void job_owner_ownership_lost(struct job_owner *o);
uint64_t job_owner_fencing_token(const struct job_owner *o);
/* Whether the lease that the store grants is surely in force. */
bool job_owner_lease_valid(const struct job_owner *o, uint64_t now_us);
/* Whether anything may be renewed at workers. */
bool job_owner_may_renew_leases(const struct job_owner *o, uint64_t now_us);

/* ---- job-workers.c ---- */
struct job_workers;
struct job_workers *job_workers_create(struct job_node *n, struct sched *s);
void job_workers_destroy(struct job_workers *w);
void job_workers_update_entry(struct job_workers *w,
			      const struct job_worker_entry *e);
/* The platform no longer lists a worker. */
void job_workers_mark_unlisted(struct job_workers *w, const char *id);
/* Between two sweeps, workers without an entry are unlisted. */
void job_workers_resync(struct job_workers *w, bool begin);
void job_workers_queue_order(struct job_workers *w,
			     const struct sched_order *o);
void job_workers_tick(struct job_workers *w, uint64_t now_us);

/* ---- job-intake.c ---- */
enum intake_outcome {
	INTAKE_DONE,	/* stored, or the state is known */
	INTAKE_UNKNOWN, /* it may have been stored */
	INTAKE_ABSENT,	/* no such job */
	INTAKE_REFUSED, /* nothing was stored, and nothing will be */
};

struct intake_answer {
	enum intake_outcome outcome;
	enum sched_job_state state;
	uint32_t waiting;
	uint32_t retry_after_s;
	const char *reason;
};

typedef void intake_fn(void *arg, const struct intake_answer *a);

struct job_intake *job_intake_create(struct job_node *n);
void job_intake_destroy(struct job_intake *i);
/* forwarded: on behalf of a peer, so it is not passed on again. */
void job_intake_submit(struct job_intake *i, const struct job_spec *spec,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg);
void job_intake_cancel(struct job_intake *i, const char *id, const char *queue,
		       uint64_t deadline_us, bool forwarded, intake_fn *fn,
		       void *arg);
void job_intake_state(struct job_intake *i, const char *id, const char *queue,
		      uint64_t deadline_us, intake_fn *fn, void *arg);
void job_intake_waiting(struct job_intake *i, const char *queue,
			uint64_t deadline_us, intake_fn *fn, void *arg);
/* Whether the store failed for this process's last requests. */
bool job_intake_store_unavailable(const struct job_intake *i);
/* Requests that have no answer yet. */
uint32_t job_intake_pending(const struct job_intake *i);

/* ---- job-peer.c ---- */
struct job_peer *job_peer_create(struct job_node *n, struct error *err);
void job_peer_destroy(struct job_peer *p);
enum peer_call { PEER_SUBMIT, PEER_CANCEL, PEER_STATE, PEER_WAITING };
/* Asks the owner; false when none is known. data is a job for PEER_SUBMIT. */
bool job_peer_call_owner(struct job_peer *p, enum peer_call call,
			 const char *id, const char *queue, const void *data,
			 size_t len, uint32_t timeout_ms, intake_fn *fn,
			 void *arg);

/* ---- job-metrics.c ---- */
struct job_metrics *job_metrics_create(struct job_node *n, struct error *err);
void job_metrics_destroy(struct job_metrics *m);

/* ---- job-node.c ---- */
/*
 * Starts all modules; settings, platform and base are set by the caller.
 * Returns 0, or -1 with err set.
 */
int job_node_start(struct job_node *n, struct error *err);
/* Closes what listens and ends the connections to the store and workers. */
void job_node_stop(struct job_node *n);
/* Whether requests can be served here. */
bool job_node_ready(const struct job_node *n);

#endif
