#ifndef JOB_SCHED_H
#define JOB_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "job-spec.h"

/*
 * NAME
 *	sched - scheduling core: places the tasks of jobs on leased workers
 *
 * DESCRIPTION
 *	One instance schedules all jobs on all workers of its owner. It uses no
 *	sockets, threads or clocks: the caller reports events and executes the
 *	orders that the core passes to ops->order().
 *
 *	A task's placement (worker and run number) is part of the job's
 *	progress record, and its start is ordered only after that record is
 *	stored. So a successor knows every worker on which a task may run. The
 *	end of a run is acknowledged to its worker only after the record that
 *	contains it is stored.
 *
 *	A record has the name of its job. The record of a job with many tasks is
 *	divided into a head of this name and blocks named ID/OCCURRENCE/BLOCK.
 *
 *	A task that may run on an unresponsive worker is started elsewhere only
 *	after every lease granted to that worker has expired.
 *
 * UNITS
 *	now_us: CLOCK_BOOTTIME in microseconds. Names in _wall_ms: milliseconds
 *	since 1970. Workers are identified by their index in a table.
 */

#define SCHED_NONE UINT32_MAX
#define SCHED_LABELS_MAX 4
#define SCHED_CHECKPOINT_BYTES 64
#define SCHED_TASK_NAME_BYTES 64
#define SCHED_RECORD_NAME_BYTES 48

struct sched_policy {
	const struct queue_policy *queues;
	size_t queue_count;
};

/* Order of finite jobs while their work exceeds what can be done in time. */
enum sched_overload {
	SCHED_OVERLOAD_DEADLINE,   /* as otherwise, by deadline */
	SCHED_OVERLOAD_LEAST_COST, /* the least value per work is moved back */
};
/* What is done about workers that are slower than others for some seconds. */
enum sched_slow_workers { SCHED_SLOW_IGNORE, SCHED_SLOW_AVOID };

struct sched_settings {
	uint32_t lease_max_ms;	     /* upper bound of a worker's lease */
	uint32_t status_retention_s; /* how long ended jobs are kept */
	/* An unknown predecessor may grant leases for this long after creation.
	 */
	uint32_t takeover_wait_ms;
	enum sched_overload overload;
	enum sched_slow_workers slow_workers;
};

struct sched_worker_info {
	const char *id;
	const char *service;
	const char *zone;
	char labels[SCHED_LABELS_MAX][JOB_NAME_BYTES]; /* kind, rack */
	struct resources capacity;
	bool draining;
	bool cold;		  /* slow for a while after its start */
	uint64_t started_wall_ms; /* identifies the incarnation */
	uint16_t address_tag;	  /* hash of its address; 0: unknown */
};

struct sched_run {
	const char *task;
	uint32_t run;
	const char *checkpoint;
	uint32_t progress_percent;
	uint32_t metric; /* tail latency in ms, or CPU use in thousandths */
};

enum sched_end {
	SCHED_END_DONE,
	SCHED_END_FAILED,
	SCHED_END_STOPPED,
	SCHED_END_LEASE_EXPIRED,
	SCHED_END_GANG_BROKEN,	   /* another member of the gang ended */
	SCHED_END_GANG_INCOMPLETE, /* not all members of the gang started */
};

struct sched_run_end {
	uint64_t seq; /* ascending for each incarnation of a worker */
	const char *task;
	uint32_t run;
	enum sched_end reason;
	const char *checkpoint;
};

struct sched_report {
	uint64_t requested_us;	  /* when the request for it was sent */
	uint64_t started_wall_ms; /* 0: unknown */
	const struct sched_run *running;
	size_t running_count;
	const struct sched_run_end *ended;
	size_t ended_count;
	bool ended_truncated; /* more ends follow in the next report */
};

enum sched_order_type { SCHED_START, SCHED_STOP, SCHED_THROTTLE };

struct sched_order {
	enum sched_order_type type;
	uint32_t worker;
	char task[SCHED_TASK_NAME_BYTES];
	uint32_t run;
	const char *text;	/* SCHED_START: specification of the job */
	const char *checkpoint; /* SCHED_START; "" for none */
	uint32_t cpu_percent;	/* SCHED_THROTTLE */
};

enum sched_result {
	SCHED_OK,
	SCHED_NO_CAPACITY,
	SCHED_STALE_RUN,
	SCHED_LEASE_EXPIRED, /* the order's lease was over on arrival */
	SCHED_UNHEALTHY,     /* refused, not executed */
	SCHED_INVALID,
	SCHED_NOT_SENT,
	SCHED_OUTCOME_UNKNOWN, /* may have been executed, or be later */
};

struct sched;

struct sched_ops {
	/* Queues an order; strings are valid during the call. */
	void (*order)(void *arg, const struct sched_order *o);
	/*
	 * The job expired: its stored records can be deleted. It is known until
	 * sched_forgotten() is called, which this function may do.
	 */
	void (*forget)(void *arg, const char *id);
	/* A block is no longer part of a record and can be deleted. */
	void (*forget_record)(void *arg, const char *name);
};

enum sched_job_state {
	SCHED_JOB_QUEUED,
	SCHED_JOB_RUNNING,
	SCHED_JOB_COMPLETED,
	SCHED_JOB_FAILED,
	SCHED_JOB_CANCELLED,
};

struct sched *sched_create(const struct sched_ops *ops, void *arg,
			   const struct sched_settings *settings,
			   uint64_t now_us);
void sched_destroy(struct sched *s);

/*
 * Copies p. Jobs of queues that p doesn't contain keep their last policy; to
 * jobs that this owner has not seen with one applies that of their acceptance.
 */
void sched_set_policy(struct sched *s, const struct sched_policy *p);

/* Takes ownership of the contents of spec. Returns false if the id exists. */
bool sched_submit(struct sched *s, struct job_spec *spec, uint64_t now_us);

/*
 * Loads a progress record, after the job was submitted and before the first
 * sched_tick(); a head before its blocks. Returns 0, 1 for a block that is no
 * longer part of a record, or -1 with err set.
 */
int sched_restore(struct sched *s, const char *name, const void *data,
		  size_t len, struct error *err);
/* All records are loaded. */
void sched_restored(struct sched *s);
/*
 * Adds a job that has ended, as its record shows, and of which no task is left.
 */
void sched_ended_add(struct sched *s, const char *id, const char *queue,
		     enum sched_job_state state, uint64_t ended_wall_ms);
/*
 * Removes the jobs of which no record was loaded, before sched_restored(). They
 * may be submitted again.
 */
void sched_drop_unread(struct sched *s,
		       void (*fn)(void *arg, const char *id, const char *queue),
		       void *arg);
/* Memory of all jobs, without that of their tasks. */
uint64_t sched_jobs_bytes(const struct sched *s);

bool sched_has_job(const struct sched *s, const char *id);
/* The records of the job, which expired, are deleted. */
void sched_forgotten(struct sched *s, const char *id);
void sched_cancel(struct sched *s, const char *id, uint64_t now_us,
		  uint64_t wall_ms);

/* Adds or updates a worker and returns its index. */
uint32_t sched_update_worker(struct sched *s,
			     const struct sched_worker_info *info);
/* A worker's entry was read again and is the same. */
void sched_worker_confirmed(struct sched *s);
/* The platform no longer lists the worker. */
void sched_worker_unlisted(struct sched *s, uint32_t worker, uint64_t now_us);
/*
 * From now on nothing is placed or started on workers of these zones, also on
 * workers that are added later; those of other zones are available again. Runs
 * that have begun continue.
 */
void sched_set_evacuated(struct sched *s, const char (*zones)[JOB_NAME_BYTES],
			 uint32_t count, uint64_t now_us);
uint32_t sched_find_worker(const struct sched *s, const char *id);

/*
 * Returns false, with no effect, if the worker restarted after it was asked for
 * the report.
 */
bool sched_report(struct sched *s, uint32_t worker,
		  const struct sched_report *r, uint64_t now_us,
		  uint64_t wall_ms);
/* The worker didn't respond: no task is placed there until it reports. */
void sched_worker_unresponsive(struct sched *s, uint32_t worker,
			       uint64_t now_us);
/* The worker has exited: its tasks are requeued. */
void sched_worker_dead(struct sched *s, uint32_t worker, uint64_t now_us);
/* Called before a lease, or an order that carries one, is sent. */
void sched_lease_granted(struct sched *s, uint32_t worker, uint64_t now_us);

/*
 * Silent workers are recorded in the store with the time until all their leases
 * are over, so that a successor of this owner need not wait longer. A recorded
 * worker gets no lease from the collection of the record until one without the
 * worker is stored: the caller grants none while sched_lease_withheld() is
 * true. One record is in transit at a time.
 */

/*
 * Returns whether the record is to be collected and stored. add: workers may be
 * added to it; otherwise they may only leave it.
 */
bool sched_silent_changed(struct sched *s, uint64_t now_us, bool add);
/* Returns false if the record has no room for the worker. */
typedef bool sched_silent_fn(void *arg, const char *id, uint32_t left_ms);
/*
 * Returns the time in ms until all leases of the workers that are not in the
 * record are over, of those granted so far.
 */
uint32_t sched_silent_collect(struct sched *s, uint64_t now_us, bool add,
			      sched_silent_fn *fn, void *arg);
/*
 * Collects all workers that do not respond, however short their silence, for an
 * owner that grants no lease to any worker any more. Returns the same.
 */
uint32_t sched_silent_collect_last(struct sched *s, uint64_t now_us,
				   sched_silent_fn *fn, void *arg);
/* The record that was collected last is durable. */
void sched_silent_stored(struct sched *s);
/* The workers are known and polled from now on. */
void sched_expect_reports(struct sched *s, uint64_t now_us);
/* Whether a worker with tasks has not reported to this owner yet. */
bool sched_awaits_reports(const struct sched *s);
/* Whether neither polls nor starts may carry a lease to the worker. */
bool sched_lease_withheld(const struct sched *s, uint32_t worker);
/*
 * All leases that predecessors granted to the worker are over at end_us. No
 * effect if the worker is unknown, has reported to this owner, or its leases
 * are known to be over earlier. Returns whether it had an effect.
 */
bool sched_limit_lease(struct sched *s, const char *id, uint64_t end_us);
/*
 * The same for all workers for which sched_limit_lease() has not been called.
 * Returns the number of workers on which it had an effect.
 */
uint32_t sched_limit_other_leases(struct sched *s, uint64_t end_us);
/* The longest time from the grant of a lease until it is over. */
uint64_t sched_lease_bound_us(const struct sched *s);
/* The same for leases of this length. */
uint64_t sched_lease_longest_us(uint64_t lease_us);

/*
 * Called before a start is sent: from now on the worker may execute it. One
 * that was not sent is withdrawn without a stop if its zone is evacuated.
 */
void sched_start_sent(struct sched *s, const struct sched_order *o);
void sched_order_result(struct sched *s, const struct sched_order *o,
			enum sched_result result, uint64_t now_us);
/* Whether an order is still valid; called right before it is sent. */
bool sched_order_wanted(struct sched *s, const struct sched_order *o);

/* Highest sequence number of a run end of the worker that is stored. */
uint64_t sched_acknowledged_seq(const struct sched *s, uint32_t worker);
/* How long the worker may delay a report; shorter if a service is at risk. */
uint32_t sched_report_wait_ms(const struct sched *s, uint32_t worker);

/* Expires leases and jobs, begins due occurrences and places tasks. */
void sched_tick(struct sched *s, uint64_t now_us, uint64_t wall_ms);

/*
 * Calls fn for up to max changed progress records and returns their number.
 * The caller stores them and reports the result with sched_stored() before it
 * calls this function again.
 */
size_t sched_collect(struct sched *s, size_t max,
		     void (*fn)(void *arg, const char *name, const void *data,
				size_t len),
		     void *arg);
/* stored: the records are durable; otherwise they are collected again. */
void sched_stored(struct sched *s, bool stored, uint64_t now_us);
bool sched_has_changes(const struct sched *s);
/*
 * The job's record can't be stored. The job fails, and its record is collected
 * without its tasks. If that can't be stored either, it is not collected again.
 */
void sched_set_aside(struct sched *s, const char *id, uint64_t now_us);

/* Returns false if the queue has no such job. */
bool sched_job_state(const struct sched *s, const char *id, const char *queue,
		     enum sched_job_state *state);
/* Number of the queue's jobs without a started task. */
uint32_t sched_waiting_jobs(const struct sched *s, const char *queue);
/*
 * How long a new job of the queue would wait before its work is begun, at the
 * rate at which work of its priority is done now. 0: no wait, or not known yet.
 */
uint32_t sched_expected_wait_ms(const struct sched *s, const char *queue);
/* Rate at which finite work of a priority is done, in thousandths of a core. */
uint32_t sched_rate_milli(const struct sched *s, uint32_t priority);

/* Learnt ratio of the queue's run times to their estimates, in thousandths. */
uint32_t sched_queue_ratio_milli(const struct sched *s, const char *queue);

/* Encodes the interference model for a successor. */
void sched_pairs_encode(const struct sched *s, struct buffer *out);
/* Returns 0, or -1 if the data is malformed. */
int sched_pairs_restore(struct sched *s, const void *data, size_t len);

struct sched_stats {
	uint32_t jobs_open;
	uint32_t tasks_waiting;
	uint32_t tasks_running;
	uint32_t workers;
	uint32_t workers_reporting;
	uint64_t starts;
	uint64_t ends_done;
	uint64_t ends_failed;
	uint64_t tasks_lost;
	uint64_t throttles;
	uint32_t jobs_moved_back; /* at present, because of overload ... */
	uint64_t moves_back;	  /* ... and how often a job was */
	uint64_t moves;		  /* of tasks away from slow workers */
	uint32_t workers_slow;
	uint32_t tasks_held;   /* in memory, of occurrences that have begun */
	uint32_t jobs_pending; /* with an occurrence that waits for room */
	uint64_t jobs_bytes;   /* memory of jobs, without their tasks */
};

void sched_stats(const struct sched *s, struct sched_stats *out);

/* Decodes the job state of a progress record. Returns 0, or -1 if malformed. */
int sched_record_state(const void *data, size_t len,
		       enum sched_job_state *state);
/*
 * Returns whether the record shows a job that has ended, with no occurrence
 * left; then sets the state and the time.
 */
bool sched_record_ended(const void *data, size_t len,
			enum sched_job_state *state, uint64_t *ended_wall_ms);

#endif
