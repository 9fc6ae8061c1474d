#ifndef SUPPORT_JOBS_PLATFORM_H
#define SUPPORT_JOBS_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

/*
 * NAME
 *	support-jobs-platform - the users' platform on loopback, in one process
 *
 * DESCRIPTION
 *	A store and workers that speak the platform's published messages over
 *	HTTP, on the event loop of the test. It counts broken promises: two
 *	runs of one task at once, and starts of tasks that were done.
 */

#define PLATFORM_WORKERS_MAX 16

/* Faults of the store, in force until they are set back. */
struct platform_faults {
	bool refuse;		 /* every call is answered 503 */
	bool unresponsive;	 /* no call is carried out or answered */
	bool lose_write_answers; /* writes are carried out and not answered */
	bool lose_order_answers; /* workers' orders likewise */
	bool compact_history;	 /* the history of changes is gone */
	uint32_t unanswered_writes; /* lost writes that were carried out */
};

/* What workers do, told to a test that judges more than the stand-in. */
struct platform_hooks {
	void (*started)(void *arg, const char *task);
	void (*ended)(void *arg, const char *task, const char *how);
	void *arg;
};

struct jobs_platform;

struct jobs_platform *jobs_platform_create(struct event_base *base,
					   uint16_t port);
void jobs_platform_free(struct jobs_platform *p);
struct platform_faults *jobs_platform_faults(struct jobs_platform *p);
void jobs_platform_set_hooks(struct jobs_platform *p,
			     const struct platform_hooks *hooks);

/* Writes a key as the operator or a worker would. */
void jobs_platform_put(struct jobs_platform *p, const char *key,
		       const char *value);
/* Value of a key, or NULL. */
const char *jobs_platform_get(struct jobs_platform *p, const char *key);
void jobs_platform_delete(struct jobs_platform *p, const char *key);
/* Revision of the store. */
uint64_t jobs_platform_revision(const struct jobs_platform *p);
/* Polls for changes of the workers. */
uint32_t jobs_platform_worker_watch_polls(const struct jobs_platform *p);
uint32_t jobs_platform_count_keys(const struct jobs_platform *p,
				  const char *prefix);

/*
 * Starts a worker that runs each task for task_ms, or for ever when the job's
 * specification is "lasts"; returns its number. Its entry names the second
 * port, which differs where a proxy stands before it.
 */
int jobs_platform_add_worker(struct jobs_platform *p, uint16_t port,
			     uint16_t reached_port, uint32_t task_ms);
/* A worker that does not answer; its tasks go on until their leases end. */
void jobs_platform_set_unresponsive(struct jobs_platform *p, int worker,
				    bool silent);

uint32_t jobs_platform_running_tasks(const struct jobs_platform *p);
uint32_t jobs_platform_starts(const struct jobs_platform *p);
/* Tasks that ran twice at once, or again after they were done. */
uint32_t jobs_platform_duplicate_runs(const struct jobs_platform *p);
uint64_t jobs_platform_fencing_token(const struct jobs_platform *p);

#endif
