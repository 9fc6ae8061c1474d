#ifndef SUPPORT_JOBS_PLATFORM_H
#define SUPPORT_JOBS_PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct event_base;

/*
 * NAME
 *	support-jobs-platform - simulated platform on loopback
 *
 * DESCRIPTION
 *	A store and workers that speak the platform's published messages over
 *	HTTP, on the event loop of the test. It counts violations: concurrent
 *	runs of a task, and starts of tasks that had completed.
 */

#define PLATFORM_WORKERS_MAX 16

/* Injected faults, active while they are set. */
struct platform_faults {
	bool refuse;		 /* the store answers every call with 503 */
	bool unresponsive;	 /* the store executes and answers no call */
	bool lose_write_answers; /* writes are executed without an answer */
	bool lose_order_answers; /* orders are executed without an answer */
	bool compact_history;	 /* the next watch poll is answered with 410 */
	uint32_t unanswered_writes; /* counted while lose_write_answers */
};

/* Called on task events, for tests that check more than duplicate runs. */
struct platform_hooks {
	void (*started)(void *arg, const char *task);
	void (*ended)(void *arg, const char *task, const char *reason);
	void *arg;
};

struct jobs_platform;

struct jobs_platform *jobs_platform_create(struct event_base *base,
					   uint16_t port);
void jobs_platform_free(struct jobs_platform *p);
struct platform_faults *jobs_platform_faults(struct jobs_platform *p);
void jobs_platform_set_hooks(struct jobs_platform *p,
			     const struct platform_hooks *hooks);

/* Sets a key, bypassing the HTTP interface. */
void jobs_platform_put(struct jobs_platform *p, const char *key,
		       const char *value);
/* Value of a key, valid until the next call, or NULL. */
const char *jobs_platform_get(struct jobs_platform *p, const char *key);
void jobs_platform_delete(struct jobs_platform *p, const char *key);
/* Revision of the store. */
uint64_t jobs_platform_revision(const struct jobs_platform *p);
/* Number of watch polls for worker entries. */
uint32_t jobs_platform_worker_watch_polls(const struct jobs_platform *p);
uint32_t jobs_platform_count_keys(const struct jobs_platform *p,
				  const char *prefix);

/*
 * Starts a worker on port and returns its index. It runs each task for task_ms,
 * or forever if the job's specification is "lasts". Its entry names
 * reached_port, which differs from port behind a proxy.
 */
int jobs_platform_add_worker(struct jobs_platform *p, uint16_t port,
			     uint16_t reached_port, uint32_t task_ms);
/* The worker stops answering; its tasks run until its lease expires. */
void jobs_platform_set_unresponsive(struct jobs_platform *p, int worker,
				    bool unresponsive);

uint32_t jobs_platform_running_tasks(const struct jobs_platform *p);
uint32_t jobs_platform_starts(const struct jobs_platform *p);
/* Concurrent runs of a task, and starts after its completion. */
uint32_t jobs_platform_duplicate_runs(const struct jobs_platform *p);
uint64_t jobs_platform_fencing_token(const struct jobs_platform *p);

#endif
