#ifndef JOB_OWNER_INTERNAL_H
#define JOB_OWNER_INTERNAL_H

#include "counter.h"
#include "job-node.h"

/*
 * NAME
 *	job-owner-internal - ownership and the stored state of the owner
 *
 * DESCRIPTION
 *	job-owner.c decides who owns the jobs; job-owner-store.c loads what is
 *	stored and writes what changes. Every transaction of an owner expects
 *	the revision of its ownership and of its last transaction, so that one
 *	that is carried out late, or by a former owner, has no effect.
 */

/*
 * Ownership passes on this long after the owner's last renewal: short enough
 * that the leases at workers (6 s) outlast a takeover.
 */
#define OWNER_LEASE_TTL_MS 1800u
/* Three renewals fit into the lease. */
#define OWNER_LEASE_RENEW_US 500000u
#define OWNER_LEASE_RETRY_US 200000u
/* The store's clock and this one may drift apart while a lease runs. */
#define OWNER_LEASE_CLOCK_MARGIN_US 200000u
/*
 * Leases at workers are renewed this long beyond the owner's own: a short
 * outage of the store ends no task. A successor waits for it.
 */
#define WORKER_LEASE_GRACE_MS 500u
/* Spreads the candidates, so that mostly one of them writes. */
#define ELECTION_JITTER_US 30000u
/* A zone further from the store waits some 100 ms longer. */
#define ELECTION_RTT_FACTOR 8u
#define ELECTION_RTT_DELAY_MAX_US 300000u
#define ELECTION_RETRY_US 300000u
/* A watch of who owns the jobs is renewed this often. */
#define OWNER_WATCH_MS 2500u
/* Those of jobs and workers end by themselves when nothing changes. */
#define SPEC_WATCH_MS 2500u
#define WORKER_WATCH_MS 2000u
/* Each worker writes about once a second; a drain is to be known within 2 s. */
#define WORKER_WATCH_BATCH_MS 200u
/*
 * An owner of 500 workers and 1,200 starts/s uses up to 0.3 of a core; VMs with
 * less than that wait for the others, which start within 0.3 s of each other.
 */
#define OWNER_CPU_MIN_MILLI 250u
#define ELECTION_DELAY_PER_MILLI_US \
	4000u /* for each thousandth of a core that is missing */
/* Changes within this time are handled and stored together. */
#define TICK_DELAY_US 2000u
#define TICK_US 100000u
/* What a successor would have to learn anew is stored this often. */
#define PAIRS_INTERVAL_US 3000000u
/* The owner logs what it holds this often. */
#define STATUS_INTERVAL_US 5000000u
/* Pause between a refused transaction and its repetition. */
#define COMMIT_RETRY_US 150000u
/* Expected keys, the sequence and the pairs take four of its entries. */
#define COMMIT_RECORDS_MAX (KV_TXN_ENTRIES_MAX - 5)

enum owner_state {
	OWNER_FOLLOWER,
	OWNER_CANDIDATE,
	OWNER_LOADING,
	OWNER_ACTIVE,
};

/* A transaction that is repeated unchanged until its outcome is known. */
struct commit {
	struct kv_set sets[KV_TXN_ENTRIES_MAX];
	char keys[KV_TXN_ENTRIES_MAX][KV_KEY_BYTES];
	char *removes[KV_TXN_ENTRIES_MAX];
	size_t set_count;
	size_t remove_count;
	char seq[48];
	bool has_records; /* contains a collection of the core */
};

struct job_owner {
	struct job_node *node;
	enum owner_state state;
	struct kv_follow *owner_follow;
	struct event *tick_event;
	struct event *tick_timer;
	bool tick_scheduled;
	bool resigned;	     /* a planned stop; never owner again */
	bool ownership_lost; /* to be carried out at the next tick */
	/* the owner that the store names */
	bool owner_known;
	bool owner_unseen;
	struct settings_address owner_address;
	uint64_t owner_key_revision;
	uint64_t claim_expected_revision; /* ownership that a claim takes from
					   * its former self
					   */
	uint64_t owner_absent_since_us;
	uint64_t election_jitter_us;
	uint64_t next_election_us;
	/* while it is this process */
	uint64_t epoch;
	uint64_t ownership_revision;
	uint64_t seq_revision;
	uint64_t txn_count; /* transactions of this epoch */
	uint64_t lease_id;
	bool renewing;
	uint64_t renew_sent_us;
	uint64_t renewed_us; /* when the last renewal that succeeded was sent */
	uint64_t next_renew_us;
	uint64_t next_status_us;
	uint64_t next_pairs_us;
	struct sched *sched;
	struct job_workers *workers;
	struct kv_follow *spec_follow;
	struct kv_follow *worker_follow;
	bool specs_loaded;
	char progress_cursor[KV_KEY_BYTES]; /* last progress record loaded */
	char **pending_cancels; /* seen before the jobs were loaded */
	size_t pending_cancel_count;
	struct commit *commit;
	bool commit_in_flight; /* the transaction is on its way */
	uint64_t next_commit_us;
	char **expired_jobs; /* ids whose records are to be removed */
	size_t expired_job_count;
	struct owner_store_call *calls; /* on their way to the store */
	uint32_t load_generation; /* counts loads; answers to an earlier one are
				     ignored */
	struct counter *elections;
	struct counter *commits;
};

/* ---- job-owner-store.c ---- */
void job_owner_load(struct job_owner *o);
void job_owner_unload(struct job_owner *o);
void job_owner_drop_calls(struct job_owner *o);
void job_owner_apply_config(struct job_owner *o);
/* Places, stores and orders what is due. */
void job_owner_process(struct job_owner *o, uint64_t now);
void ignore_reply(void *arg, const struct kv_reply *r);

#endif
