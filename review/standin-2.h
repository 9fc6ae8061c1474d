#ifndef STANDIN_2_H
#define STANDIN_2_H

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * NAME
 *	standin-2 - platform, workers and callers for the cases of the review
 *
 * DESCRIPTION
 *	One process on loopback, with the real clock: the platform's store, the
 *	workers and the callers, as PROTOCOL.md describes them. The entry VMs
 *	are the project's own daemons, started with the command and the
 *	template of the deploy file. All that is sent, answered and run is
 *	written to the record.
 *
 *	si_init() reads no arguments: the case sets struct si_options.
 */

#define SI_WORKERS_MAX 64
#define SI_NODES_MAX 8

struct si_options {
	const char *record_path;
	unsigned nodes;
	unsigned workers;
	unsigned worker_cpu; /* thousandths of a core */
	unsigned worker_mb;
	unsigned racks;		/* workers are dealt to racks in turn */
	unsigned zones;		/* workers and nodes are dealt to zones */
	unsigned cross_zone_us; /* one way, between zones */
	unsigned store_ms;	/* an answer of the store */
	const char *config;	/* op/config */
	/* Milliseconds that a task runs; 0: until it is stopped. */
	unsigned (*task_ms)(const char *task);
};

struct si_answer {
	int status; /* 0: none */
	const char *body;
};

extern struct event_base *si_base;

void si_init(const struct si_options *o);
/* Starts the entry VMs and waits until all are ready; exits with 2 if not. */
void si_start_nodes(void);
/* Ends all processes that were started. */
void si_stop(void);
/* Runs the event loop for this time. */
void si_run_ms(unsigned ms);
uint64_t si_now_ms(void);
/* A call of a caller to an entry VM; waits for the answer for 3 s at most. */
int si_call(unsigned node, const char *method, const char *path,
	    const char *body, char *answer, size_t size);
/* The same without waiting; the answer is written to the record. */
void si_call_async(unsigned node, const char *method, const char *path,
		   const char *body);
/* Tasks whose names begin so that run now, on all workers or on one. */
unsigned si_running(const char *prefix);
unsigned si_running_on(unsigned worker, const char *prefix);
/* Starts and ends `done` of such tasks so far. */
unsigned si_starts(const char *prefix);
unsigned si_done(const char *prefix);
unsigned si_lapsed(void);
/*
 * From now on, writes of keys with this in their name get no answer and are done
 * this much later, if their conditions hold then; NULL: none.
 */
void si_lose_writes(const char *key, unsigned ms);
/* Writes since then, and those that got no answer. */
void si_count_writes(unsigned *all, unsigned *lost);
/* Another writer's entry among those of the workers; its id has a byte 0xff. */
void si_put_odd_entry(void);
const char *si_worker_rack(unsigned worker);
/* Transactions that the store has refused as too large; the largest value. */
unsigned si_store_too_large(void);
size_t si_store_largest(void);
/* Zone of the VM that owns the jobs, by the store; -1: there is no owner. */
int si_owner_zone(void);
void si_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Writes the last line, ends all processes and exits. */
void si_finish(int status, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), noreturn));

#endif
