#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

struct event_base;
struct evhttp;

/*
 * NAME
 *	standin - store, workers, callers and process control for the cases
 *
 * DESCRIPTION
 *	The store and the workers speak the messages of the platform's pages
 *	on loopback. Entry VMs are separate processes, started with the command
 *	and the settings template of the deploy file. Everything that is sent,
 *	answered and run is written to the record, one line each.
 *
 *	A job's specification tells the workers what its tasks do, as words:
 *	dN=MS	a task of step N works for MS milliseconds (default 500)
 *	fN=K	the first K runs of each task of step N end as failed
 *	cN=CPU	its tasks use CPU thousandths of a core (default 1000)
 *	gN=M	its tasks are a gang of M
 *	lasts	the tasks run until they are stopped, and serve users
 */

#define ENTRIES_MAX 4
#define WORKERS_MAX 8
#define TASK_NAME 64
#define RUNS_MAX 4096

enum run_state { RUN_ON, RUN_ENDED };

/* One run of a task on a worker. */
struct run {
	char task[TASK_NAME];
	uint32_t run;
	int worker;
	uint32_t life; /* of the worker */
	enum run_state state;
	char how[8];
	uint64_t began_ms, ends_ms;
	uint64_t seq; /* of the end */
	bool listed;  /* not acknowledged yet */
	bool noted;   /* acknowledged while the lease went on */
	bool lapsed;  /* the lease ended before it was acknowledged */
	uint32_t cpu;
	uint32_t gang; /* number of members; 0: none */
	bool together; /* all members were there at the same time */
	char checkpoint[24];
};

struct worker {
	struct evhttp *server;
	int index;
	uint16_t port;
	char id[32];
	char service[32];
	char kind[16];
	char rack[16];
	uint32_t cpu, memory;
	uint32_t life;
	uint64_t born_ms;     /* since 1970 */
	uint64_t clock_zero;  /* steady time at which its clock was 0 */
	uint64_t token;
	uint64_t lease_end;   /* by its clock */
	uint64_t last_seq;
	bool up, draining, entry;
	uint64_t down_ms; /* since when it is down */
	void *poll; /* request that waits for an end */
	uint64_t poll_deadline;
};

struct entry {
	pid_t pid;
	char ip[20];
	uint16_t front, readiness, ports, store;
	char conf[256], log[256];
	bool store_down; /* the store does not answer this VM */
};

struct world {
	struct event_base *base;
	FILE *record;
	char dir[200];
	uint64_t zero_ms;
	struct entry entries[ENTRIES_MAX];
	int entry_count;
	struct worker workers[WORKERS_MAX];
	int worker_count;
	struct run runs[RUNS_MAX];
	int run_count;
	uint16_t port; /* next free */
	int twice, broken;
	uint32_t tail_ms; /* of tasks that last, as reported */
};

/* Milliseconds since the start of the world. */
uint64_t now_ms(const struct world *w);
/* Writes a line to the record. */
void record(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* The rule was broken: writes a line and counts it. */
void violation(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* record_path: the record. Exits with 2 on failure. */
void world_begin(struct world *w, const char *record_path);
/* Kills all entry VMs and exits: 1 if the rule was broken, else 0. */
void world_end(struct world *w) __attribute__((noreturn));
void world_abort(struct world *w, const char *why) __attribute__((noreturn));
/* Runs the event loop. */
void world_run(struct world *w, uint32_t ms);

/* ---- store ---- */
void store_put(struct world *w, const char *key, const char *value);
void store_delete(struct world *w, const char *key);
/* Value of a key as text, or NULL; valid until the next call. */
const char *store_get(struct world *w, const char *key);

/* ---- workers ---- */
int worker_add(struct world *w, const char *service, const char *kind,
	       const char *rack, uint32_t cpu, uint32_t memory);
/* All that it runs and knows is lost; its entry stays until it is removed. */
void worker_crash(struct world *w, int worker);
/* Starts again under its id. */
void worker_restart(struct world *w, int worker);
/* Runs of a task so far; how: that ended so, or NULL for all. */
int count_runs(const struct world *w, const char *task, const char *how);
int count_running(const struct world *w, const char *task);
/* CPU of all workers of a service that runs use, in percent. */
int cpu_used_percent(const struct world *w, const char *service);

/* ---- entry VMs ---- */
void entries_start(struct world *w, int count);
void entry_start(struct world *w, int i);
void entry_signal(struct world *w, int i, int sig);
/* Waits for the process to end; returns whether it did in time. */
bool entry_wait(struct world *w, int i, uint32_t ms);
/* Index of the VM that the store's owner key names, or -1. */
int entry_owner(struct world *w);
/* Waits until one is owner and all are ready. */
void entries_wait_ready(struct world *w);

/* ---- callers ---- */
struct answer {
	int status; /* 0: none */
	char body[256];
};
struct answer call(struct world *w, int entry, const char *method,
		   const char *host, const char *path, const char *body);
/* Repeats on other VMs after no answer, 502, 503 and 504. */
struct answer call_retry(struct world *w, int entry, const char *method,
			 const char *host, const char *path, const char *body);

#endif
