#ifndef JOB_NODE_H
#define JOB_NODE_H

#include "job-platform.h"
#include "rng.h"
#include "settings.h"

/*
 * NAME
 *	job-node - job service of an entry VM: accepts and schedules jobs
 *
 * DESCRIPTION
 *	Every entry VM accepts jobs; one of them, the elected owner, schedules
 *	them. All modules of the process run on one event loop and reach each
 *	other through struct job_node. Keys in the store, below JOB_PREFIX:
 *	in/ID		specification of an accepted job
 *	in/ID/x		its cancellation
 *	cancelled/ID/QUEUE
 *			marker of a cancellation that found no job: no
 *			submission to this queue starts it; bound to a lease
 *	refused/ID/QUEUE
 *			marker of a submission that was refused as it could
 *			not end in time: no earlier attempt starts the job;
 *			bound to a lease
 *	run/ID		its progress record, written by the owner
 *	run/ID/OCCURRENCE/BLOCK
 *			parts of a large one
 *	owner/lead	address of the owner; bound to the owner's lease
 *	owner/silent	silent workers and when their leases are over
 *	owner/load	how long new jobs of each queue wait
 *	owner/full	whether the owner has memory for further jobs
 *	pairs		interference model of the scheduler
 *	seq		epoch of the owner and number of its last transaction
 */

#define JOB_PREFIX "waxwing/"
#define JOB_SPEC_PREFIX JOB_PREFIX "in/"
#define JOB_MARKER_PREFIX JOB_PREFIX "cancelled/"
#define JOB_REFUSED_PREFIX JOB_PREFIX "refused/"
#define JOB_PROGRESS_PREFIX JOB_PREFIX "run/"
#define JOB_OWNER_PREFIX JOB_PREFIX "owner/"
#define JOB_OWNER_KEY JOB_OWNER_PREFIX "lead"
#define JOB_SILENT_KEY JOB_OWNER_PREFIX "silent"
#define JOB_LOAD_KEY JOB_OWNER_PREFIX "load"
#define JOB_FULL_KEY JOB_OWNER_PREFIX "full"
#define JOB_SEQ_KEY JOB_PREFIX "seq"
#define JOB_PAIRS_KEY JOB_PREFIX "pairs"
#define JOB_CANCEL_SUFFIX "/x"

struct client_limits;
struct event_base;
struct job_evacuation;
struct job_front;
struct job_intake;
struct job_metrics;
struct job_owner;
struct job_peer;
struct job_relay;
struct kv_follow;
struct relay_hub;

struct job_node {
	const struct settings *settings;
	const struct job_platform *platform;
	struct event_base *base;
	struct client_limits *clients; /* NULL: no listeners */
	struct kv *kv;
	struct rng rng;
	struct job_config *config; /* NULL until one has been read */
	uint64_t next_unknown_log_us;
	uint32_t unknown_keys; /* since the last line about them */
	struct kv_follow *config_follow;
	struct job_evacuation *evacuation;
	struct job_owner *owner;
	struct job_peer *peer;
	struct relay_hub *relay_hub; /* calls to workers, as owner */
	struct job_relay *relay;     /* calls for another owner */
	struct job_intake *intake;
	struct job_metrics *metrics;
	bool draining;
};

/* ---- job-config.c ---- */
void job_config_start(struct job_node *n);
void job_config_stop(struct job_node *n);
/* The host's queue with the longest prefix that matches path, or NULL. */
const struct job_queue *job_config_find_queue(const struct job_node *n,
					      const char *host,
					      const char *path);

/* ---- job-owner.c ---- */
struct job_owner *job_owner_create(struct job_node *n);
void job_owner_destroy(struct job_owner *o);
/* Applies node->config to the scheduler. */
void job_owner_config_changed(struct job_owner *o);
/* Applies the evacuated zones to the scheduler. */
void job_owner_evacuation_changed(struct job_owner *o);
/* Releases ownership; this process is not a candidate again. */
void job_owner_resign(struct job_owner *o);
/* The scheduler if this process is the active owner, else NULL. */
struct sched *job_owner_sched(struct job_owner *o);
/* Address of the owner's peer server; returns false if none is known. */
bool job_owner_address(const struct job_owner *o, struct settings_address *out);
/* Address of the owner's relay hub; false if it has none or is this process. */
bool job_owner_relay_address(const struct job_owner *o,
			     struct settings_address *out);
/* Schedules a tick: there may be records to store or tasks to place. */
void job_owner_schedule_tick(struct job_owner *o);
/* Another process is, or may be, the owner: steps down at the next tick. */
void job_owner_ownership_lost(struct job_owner *o);
uint64_t job_owner_fencing_token(const struct job_owner *o);
/*
 * Until when this owner may start tasks, also with regard to evacuations; 0 if
 * it is not the active owner.
 */
uint64_t job_owner_lease_end_us(const struct job_owner *o);
/* Until when this owner may renew the leases of workers; 0 as above. */
uint64_t job_owner_renewal_end_us(const struct job_owner *o);
/* The same for orders that grant no lease. */
uint64_t job_owner_orders_end_us(const struct job_owner *o);

/* ---- job-owner-defer.c ---- */
/* Whether the owner, as far as it is known, has no memory for further jobs. */
bool job_owner_full(const struct job_owner *o);
/* Number of the queue's jobs without a started task; of the active owner. */
uint32_t job_owner_waiting_jobs(struct job_owner *o, const char *queue);

/* ---- job-owner-summary.c ---- */
/*
 * Whether the owner's summary of waits says that the job cannot end in time;
 * then sets Retry-After.
 */
bool job_owner_refuses(const struct job_owner *o, const struct job_spec *spec,
		       uint32_t *retry_after_s);
/* A key of this revision was read or written. */
void job_owner_saw_revision(struct job_owner *o, uint64_t revision);
/*
 * A revision of the store that was known before a request was sent which is
 * received now; 0: none. What it covers was written before the request.
 */
uint64_t job_owner_known_revision(const struct job_owner *o);

/* ---- job-workers.c ---- */
struct job_workers;
struct job_workers *job_workers_create(struct job_node *n, struct sched *s);
void job_workers_destroy(struct job_workers *w);
void job_workers_update_entry(struct job_workers *w,
			      const struct job_worker_entry *e,
			      uint64_t fingerprint);
/*
 * Returns true if an entry with this fingerprint is the worker's present one.
 * Otherwise the entry is to be decoded.
 */
bool job_workers_confirm_entry(struct job_workers *w, const char *id,
			       uint64_t fingerprint);
/* The platform no longer lists a worker. */
void job_workers_mark_unlisted(struct job_workers *w, const char *id);
/*
 * Called with begin before all entries are read again, and without it after
 * that: workers whose entry was not read are marked unlisted.
 */
void job_workers_resync(struct job_workers *w, bool begin);
void job_workers_queue_order(struct job_workers *w,
			     const struct sched_order *o);
void job_workers_tick(struct job_workers *w, uint64_t now_us);

/* ---- job-intake.c, job-cancel.c, job-refuse.c ---- */
enum intake_outcome {
	INTAKE_DONE,	  /* stored, or the state was read */
	INTAKE_UNKNOWN,	  /* may have been stored, or be later */
	INTAKE_NOT_FOUND, /* no such job */
	INTAKE_REFUSED,	  /* not stored, and will not be */
};

struct intake_reply {
	enum intake_outcome outcome;
	enum sched_job_state state;
	uint32_t waiting;
	uint32_t retry_after_s;
	const char *reason;
};

typedef void intake_fn(void *arg, const struct intake_reply *a);

struct job_intake *job_intake_create(struct job_node *n);
void job_intake_destroy(struct job_intake *i);
/* forwarded: the request came from a peer and is not forwarded again. */
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
/* Whether the circuit breaker of the store is open. */
bool job_intake_store_unavailable(const struct job_intake *i);
/*
 * Whether a submission of this job has come through this process, now or in the
 * last 30 s, whose outcome is not known.
 */
bool job_intake_submission_unknown(const struct job_intake *i, const char *id);
/* Number of requests without a reply. */
uint32_t job_intake_pending(const struct job_intake *i);

/* ---- job-peer.c ---- */
struct job_peer *job_peer_create(struct job_node *n, struct error *err);
void job_peer_destroy(struct job_peer *p);
enum peer_call { PEER_SUBMIT, PEER_CANCEL, PEER_STATE, PEER_WAITING };
/*
 * Calls the owner. data is an encoded specification for PEER_SUBMIT, else NULL.
 * Returns false, without calling fn, if no other process is known to be the
 * owner or all connections to it are busy.
 */
bool job_peer_call_owner(struct job_peer *p, enum peer_call call,
			 const char *id, const char *queue, const void *data,
			 size_t len, uint32_t timeout_ms, intake_fn *fn,
			 void *arg);

/* ---- job-relay.c ---- */

/*
 * Calls workers on behalf of the owner on another entry VM, which sends it
 * polls and orders (relay-wire.h).
 */
struct job_relay *job_relay_create(struct job_node *n);
void job_relay_destroy(struct job_relay *r);
/* The address of the owner may have changed. */
void job_relay_owner_changed(struct job_relay *r);

/* ---- job-metrics.c ---- */
struct job_metrics *job_metrics_create(struct job_node *n, struct error *err);
void job_metrics_destroy(struct job_metrics *m);

/* ---- job-node.c ---- */
/*
 * Starts all modules. The caller sets settings, platform and base before.
 * Returns 0, or -1 with err set.
 */
int job_node_start(struct job_node *n, struct error *err);
/* Stops all modules and closes their sockets. */
void job_node_stop(struct job_node *n);
/* Whether this process can serve requests: the response to readiness probes. */
bool job_node_ready(const struct job_node *n);

#endif
