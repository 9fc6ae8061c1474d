#ifndef JOB_OWNER_INTERNAL_H
#define JOB_OWNER_INTERNAL_H

#include "admission.h"
#include "commit-limit.h"
#include "counter.h"
#include "job-deferred.h"
#include "job-node.h"
#include "job-silent.h"
#include "revision-history.h"

/*
 * NAME
 *	job-owner-internal - election of the owner and its stored state
 *
 * DESCRIPTION
 *	job-owner.c elects the owner and renews its lease. job-owner-store.c
 *	loads the stored jobs; job-owner-commit.c commits changed records.
 *	job-owner-cancel.c keeps cancellations of jobs that are not read yet,
 *	job-owner-defer.c leaves jobs in the store for which there is no memory.
 *	job-owner-silent.c reads and writes the record of silent workers,
 *	job-owner-summary.c that of the queues' waits. Every transaction of an
 *	owner expects the revision of its owner key and of its previous
 *	transaction, so a delayed transaction, or one of a former owner, has no
 *	effect.
 */

/*
 * Expiry of ownership after the last renewal. Short enough that worker leases
 * (6 s) outlast a takeover.
 */
#define OWNER_LEASE_TTL_MS 1800u
/* Allows three renewals within the TTL. */
#define OWNER_LEASE_RENEW_US 500000u
#define OWNER_LEASE_RETRY_US 200000u
/* A renewal without an answer is repeated as a transaction is, see below. */
#define OWNER_LEASE_REPEAT_US COMMIT_REPEAT_US
#define OWNER_LEASE_RENEWALS_MAX 3u
/* Clock drift between the store and this process during one lease. */
#define OWNER_LEASE_CLOCK_MARGIN_US 200000u
/*
 * The record of silent workers is stored this often, as it is the one that
 * allows leases (job-silent.h). With leases of 6 s, tasks run on through an
 * outage of the store of 5.5 s and the election after it.
 */
#define SILENT_RECORD_US 500000u
/*
 * Delay of an owner's first record once it has read the list of workers, as
 * most of them report at once.
 */
#define FIRST_RECORD_US 50000u
/*
 * How long after the election of its successor an owner grants leases that did
 * not record their bound, which is one of an earlier version.
 */
#define UNRECORDED_GRANT_MS 4300u
/* Stops and changes of pace are sent for this long after the owner's lease. */
#define ORDERS_GRACE_MS 2500u
/* Staggers the candidates, so that usually only one of them writes. */
#define ELECTION_JITTER_US 30000u
/* A VM in a zone far from the store waits some 100 ms longer. */
#define ELECTION_RTT_FACTOR 8u
#define ELECTION_RTT_DELAY_MAX_US 300000u
#define ELECTION_RETRY_US 300000u
/* Maximum duration of one poll of a watch. */
#define OWNER_WATCH_MS 1000u
#define SPEC_WATCH_MS 2500u
#define WORKER_WATCH_MS 2000u
/*
 * Batches the changes of worker entries: each worker writes about once a
 * second, and a drain must be seen within 2 s.
 */
#define WORKER_WATCH_BATCH_MS 200u
/*
 * An owner of 900 workers at 1,400 starts/s uses up to a quarter of a core. VMs
 * with less wait for larger ones, as all VMs start within 0.3 s of each other.
 */
#define OWNER_CPU_MIN_MILLI 250u
/* For each thousandth of a core below the minimum. */
#define ELECTION_DELAY_PER_MILLI_US 4000u
/* Changes within this time are processed and stored together. */
#define TICK_DELAY_US 2000u
#define TICK_US 100000u
/* Interval at which the interference model is stored for a successor. */
#define PAIRS_INTERVAL_US 3000000u
/*
 * Interval at which the waits are stored. Entry VMs use a summary for 3 s
 * (admission.h).
 */
#define SUMMARY_INTERVAL_US 1000000u
/*
 * Allowance for the time from when a client sends a request until it is
 * received: what was known for so long is older than the request. The owner's
 * keys change every 0.5 s, so a client that waits for Retry-After, 1 s or more,
 * finds its refusal known.
 */
#define RECEIPT_DELAY_US 300000u
#define STATUS_INTERVAL_US 5000000u
/*
 * No worker is recorded as silent if the last successful renewal was sent
 * longer ago: its leases would not be renewed until the store is back.
 */
#define SILENT_STORE_AGE_MAX_US 1000000u
/* An owner that resigns waits for its last transaction for this long. */
#define HANDOVER_MAX_US 500000u
#define IGNORED_LOG_INTERVAL_US 1000000u
/* A transaction that waits longer is reported. */
#define COMMIT_STALLED_US 5000000u
/* Delay before a transaction that the store refused is repeated. */
#define COMMIT_RETRY_US 150000u
/*
 * A transaction is sent again, on another connection, once its last copy has
 * had no answer for this long, which is more than a slow store takes (240 ms).
 * The calls of a store that is back do not wait until earlier ones time out.
 */
#define COMMIT_REPEAT_US 250000u
#define COMMIT_COPIES_MAX 3u
/*
 * The two expected keys, the sequence, the silent workers and either the pairs
 * or the waits take five entries.
 */
#define COMMIT_RECORDS_MAX (KV_TXN_ENTRIES_MAX - 5)
/*
 * A job is known for so long after its records were deleted. A page that was
 * read before, and arrives later, does not show it as a new one.
 */
#define REMOVED_JOB_US 3000000u
/* Cancellations without a job that an owner removes when it has loaded. */
#define ORPHAN_REMOVALS_MAX 32u

enum owner_state {
	OWNER_FOLLOWER,
	OWNER_CANDIDATE,
	OWNER_LOADING,
	OWNER_ACTIVE,
};

/*
 * A transaction, repeated unchanged until its outcome is known. All copies
 * expect the same revision of the sequence, so one of them at most takes
 * effect, and none does once a later transaction is stored.
 */
struct commit {
	struct kv_set sets[KV_TXN_ENTRIES_MAX];
	char keys[KV_TXN_ENTRIES_MAX][KV_KEY_BYTES];
	char *removes[KV_TXN_ENTRIES_MAX];
	size_t set_count;
	size_t remove_count;
	size_t stale_count;   /* the first stale records, which it removes */
	size_t expired_count; /* the first expired jobs, which it removes */
	char seq[48];
	size_t record_count; /* progress records, the first of the sets */
	bool has_silent;     /* contains the record of silent workers */
	uint64_t built_us;
};

/* A call to the store. Its reply is ignored if the owner stepped down since. */
struct owner_store_call {
	struct owner_store_call *next;
	struct job_owner *owner;
	uint32_t load_generation;
	uint64_t txn;		  /* number of the transaction, if it is one */
	uint64_t sent_us;	  /* of a renewal */
	char id[JOB_ID_BYTES];	  /* of a deferred job that is read ... */
	char after[KV_KEY_BYTES]; /* ... its records from this key on */
};

struct pending_cancel {
	char id[JOB_ID_BYTES];
	uint64_t revision; /* of its key */
};

/* A job whose records have been deleted. */
struct removed_job {
	char id[JOB_ID_BYTES];
	uint64_t revision; /* of the deletion */
	uint64_t removed_us;
};

struct job_owner {
	struct job_node *node;
	enum owner_state state;
	struct kv_follow *owner_follow;
	struct event *tick_event;
	struct event *tick_timer;
	struct event *repeat_timer; /* since the last copy was sent */
	bool tick_scheduled;
	bool resigned; /* planned stop; never a candidate again */
	/* When the last transaction was built; no leases since. 0: not yet. */
	uint64_t handover_us;
	bool ownership_lost; /* steps down at the next tick */
	/* The owner named in the store. */
	bool owner_known;
	bool owner_unseen; /* not seen yet in the current read of the key */
	struct settings_address owner_address;
	uint16_t owner_relay_port; /* 0: it has no relay hub */
	uint64_t owner_key_revision;
	/* Owner key that a candidacy replaces; 0: the key must not exist. */
	uint64_t claim_expected_revision;
	uint64_t seq_expected_revision; /* the same of the sequence key */
	uint64_t claimed_us;		/* when the candidacy began */
	uint64_t owner_absent_since_us;
	uint64_t election_jitter_us;
	uint64_t next_election_us;
	/* Valid while this process is candidate or owner. */
	uint64_t epoch;
	uint64_t elected_us;
	uint64_t ownership_revision;
	uint64_t seq_revision;
	uint64_t txn_count; /* committed or in flight, in this epoch */
	uint64_t lease_id;
	uint64_t claim_sent_us; /* when the lease was requested */
	uint32_t renewals;	/* sent, no reply yet */
	uint64_t renewed_us;	/* when the last successful renewal was sent */
	uint64_t next_renew_us;
	uint64_t next_status_us;
	uint64_t next_ignored_log_us;
	uint32_t entries_ignored; /* since the last line about them */
	uint64_t next_pairs_us;
	/* The record of silent workers, as followed. */
	struct silent_notes silent;
	bool silent_unseen; /* not seen yet in the current read of the keys */
	struct admission_load summary; /* of the queues' waits, as followed */
	uint64_t summary_revision;
	struct revision_history revisions;
	uint64_t next_summary_us;
	bool summary_has_wait; /* the last one that this process stored */
	/* The predecessor's record, carried over at the election. */
	struct silent_notes inherited;
	uint64_t workers_read_us;
	uint64_t grant_end_us; /* no lease is granted from then on */
	uint64_t next_record_us;
	uint32_t recorded; /* workers named in the last record */
	struct sched *sched;
	struct job_workers *workers;
	struct kv_follow *spec_follow;
	struct kv_follow *worker_follow;
	struct job_deferred deferred;
	bool deferred_load; /* all pages are read, deferred jobs may be left */
	uint32_t deferred_reads; /* in flight */
	uint64_t next_deferred_us;
	bool full;	  /* no memory for further jobs, as followed ... */
	bool full_unseen; /* ... not seen yet in the current read of the keys */
	bool full_stored; /* the last that this owner stored, or took over */
	bool specs_loaded;
	bool workers_read; /* all entries, since the election */
	char progress_cursor[KV_KEY_BYTES]; /* key of the last record loaded */
	/* Of jobs that were not loaded when they were seen. */
	struct pending_cancel *pending_cancels;
	size_t pending_cancel_count;
	struct commit *commit;
	struct commit_limit limit;
	uint64_t committed_us;	/* when a transaction was stored last */
	uint32_t commit_copies; /* sent, no reply yet */
	bool commit_repeat;	/* the last copy has waited long enough */
	uint64_t next_commit_us;
	char **stale_records; /* names of blocks that must be deleted */
	size_t stale_record_count;
	char **expired_jobs; /* ids whose records must be deleted */
	size_t expired_job_count;
	struct removed_job *removed_jobs; /* oldest first */
	size_t removed_job_count;
	struct owner_store_call *calls; /* in flight to the store */
	uint32_t load_generation; /* replies to earlier loads are ignored */
	struct counter *elections;
	struct counter *commits;
	struct counter *commits_rejected;
	struct counter *jobs_set_aside;
};

/* ---- job-owner-store.c ---- */
void job_owner_load(struct job_owner *o);
void job_owner_unload(struct job_owner *o);
struct owner_store_call *owner_store_call_begin(struct job_owner *o);
void owner_store_call_end(struct owner_store_call *c);
/* Frees the calls in flight; the store must not reply to them any more. */
void job_owner_drop_calls(struct job_owner *o);
void job_owner_apply_config(struct job_owner *o);
/* Places tasks, commits changes and sends orders. */
void job_owner_process(struct job_owner *o, uint64_t now);
void ignore_reply(void *arg, const struct kv_reply *r);

/* The first stale records were deleted. */
void job_owner_stale_removed(struct job_owner *o, size_t count);
/* The records of the first expired jobs were deleted at the revision. */
void job_owner_expired_removed(struct job_owner *o, size_t count,
			       uint64_t revision);

/* Adds a stored job to the scheduler. */
void job_owner_submit(struct job_owner *o, const struct kv_item *item);
/* Restores a progress record. */
void job_owner_restore(struct job_owner *o, const struct kv_item *item);
/* All jobs are loaded that have to be: the owner acts from now on. */
void job_owner_loaded(struct job_owner *o);

/* ---- job-owner-cancel.c ---- */
void job_owner_add_cancel(struct job_owner *o, const char *id,
			  uint64_t revision);
void job_owner_drop_cancel(struct job_owner *o, const char *id);
/* Cancels the jobs that have been read meanwhile. */
void job_owner_apply_cancels(struct job_owner *o);
/*
 * Earlier versions stored a cancellation also if its job had been removed in
 * the meantime. It would cancel another one with the same id.
 */
void job_owner_remove_orphaned_cancels(struct job_owner *o);

/* ---- job-owner-defer.c, see also job-node.h ---- */
/* The key was received, or deleted. */
void job_owner_full_item(struct job_owner *o, const struct kv_item *item);
/* Whether other VMs are to learn that there is memory, or no longer is. */
bool job_owner_full_changed(const struct job_owner *o);
/* Returns whether it has added that to the transaction. */
bool job_owner_full_add(struct job_owner *o, struct commit *c);
/* Returns whether the job is left for later, as there is no memory for it. */
bool job_owner_defer(struct job_owner *o, const struct job_spec *spec);
/*
 * Returns whether the record is one of a deferred job, which is due then. One
 * that has ended needs not be read.
 */
bool job_owner_defer_record(struct job_owner *o, const struct kv_item *item);
/* All pages of jobs and records are read. */
void job_owner_end_load(struct job_owner *o);
/* Reads deferred jobs that are due, or for which there is memory. */
void job_owner_read_deferred(struct job_owner *o);

/* ---- job-owner-commit.c ---- */
/* Sets o->commit to the changes to store; NULL: there are none. */
void job_owner_build_commit(struct job_owner *o, bool silent, uint64_t now);
bool job_owner_commit_due(const struct job_owner *o, uint64_t now);
void job_owner_send_commit(struct job_owner *o);
void job_owner_free_commit(struct job_owner *o);
/*
 * Builds the last transaction of an owner that resigns, which shows its
 * successor when the leases of all workers are over. Grants no lease from now
 * on, and starts nothing.
 */
void job_owner_begin_handover(struct job_owner *o, uint64_t now);

/* ---- job-owner-silent.c ---- */
/* The record was received, or deleted; also called while following. */
void job_owner_silent_item(struct job_owner *o, const struct kv_item *item);
/*
 * Builds the first record of a candidate from the latest one, which has been
 * read; the election fails if a predecessor stores another.
 */
void job_owner_silent_inherit(struct job_owner *o, struct buffer *record);
/*
 * Limits the leases of workers, once the jobs and the workers are read: the
 * list of workers distinguishes a silent one from one that is gone.
 */
void job_owner_silent_apply(struct job_owner *o);
/* Whether the record has to be stored. */
bool job_owner_silent_due(const struct job_owner *o, uint64_t now);
void job_owner_silent_add(struct job_owner *o, struct commit *c, uint64_t now);
/* The record in the transaction is stored. */
void job_owner_silent_stored(struct job_owner *o, const struct commit *c);

/* ---- job-owner-summary.c, see also job-node.h ---- */
/* The summary was received, or deleted. */
void job_owner_summary_item(struct job_owner *o, const struct kv_item *item);
/* Returns whether it has added a summary: one is due, and jobs wait. */
bool job_owner_summary_add(struct job_owner *o, struct commit *c, uint64_t now);

#endif
