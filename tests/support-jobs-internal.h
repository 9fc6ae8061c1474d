#ifndef SUPPORT_JOBS_INTERNAL_H
#define SUPPORT_JOBS_INTERNAL_H

#include <jansson.h>

#include "support-jobs-platform.h"

/*
 * NAME
 *	support-jobs-internal - store and workers of the simulated platform
 */

#define STORE_KEYS_MAX 8192
#define STORE_LEASES_MAX 64
#define STORE_WATCHES_MAX 256
#define SIM_TASKS_MAX 256
#define SIM_DONE_TASKS_MAX 16384 /* completed tasks, in the whole test */
#define SIM_STALE_RUNS_MAX 4096	 /* kept by a worker */
#define SIM_NAME_BYTES 64

struct evhttp;
struct evhttp_request;

struct store_key {
	char *key;
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
	bool deleted;
};

struct store_lease {
	uint64_t id; /* 0: none */
	uint64_t ttl_us;
	uint64_t expires_us;
};

struct store_watch {
	struct evhttp_request *req;
	char prefix[SIM_NAME_BYTES];
	uint64_t after;
	uint64_t deadline_us;
};

struct sim_task {
	char name[SIM_NAME_BYTES];
	uint32_t run;
	uint64_t end_us;
};

struct sim_end {
	uint64_t seq;
	char name[SIM_NAME_BYTES];
	uint32_t run;
	const char *reason;
};

/* A run that ended or was stopped: no run up to it may be started any more. */
struct sim_stale_run {
	char name[SIM_NAME_BYTES];
	uint32_t run;
};

struct sim_worker {
	struct jobs_platform *platform;
	struct evhttp *server;
	char id[SIM_NAME_BYTES];
	uint32_t task_ms;
	uint64_t fencing_token;
	uint64_t lease_end_ms; /* of the worker's clock */
	uint64_t last_end_seq;
	struct sim_task tasks[SIM_TASKS_MAX];
	uint32_t task_count;
	struct sim_end ended[SIM_TASKS_MAX];
	uint32_t ended_count;
	struct sim_stale_run stale_runs[SIM_STALE_RUNS_MAX];
	uint32_t stale_run_count;    /* total; the table is a ring */
	struct evhttp_request *poll; /* delayed until a run ends */
	uint64_t poll_deadline_us;
	uint64_t poll_acknowledged_seq;
	bool unresponsive;
	bool lease_active; /* at the last tick */
};

struct jobs_platform {
	struct event_base *base;
	struct event *tick;
	struct evhttp *server;
	struct platform_faults faults;
	struct platform_hooks hooks;
	struct store_key keys[STORE_KEYS_MAX];
	uint32_t key_count;
	struct store_lease leases[STORE_LEASES_MAX];
	uint64_t lease_count;
	struct store_watch watches[STORE_WATCHES_MAX];
	uint32_t watch_count;
	uint32_t worker_watch_polls;
	uint64_t revision;
	char value_buffer[65536];
	struct sim_worker *workers[PLATFORM_WORKERS_MAX];
	int worker_count;
	uint32_t starts;
	uint32_t duplicate_runs;
	char done[SIM_DONE_TASKS_MAX][SIM_NAME_BYTES];
	uint32_t done_count;
};

void jobs_reply(struct evhttp_request *req, int status, json_t *body);
void jobs_withhold_answer(struct evhttp_request *req);
json_t *jobs_parse_body(struct evhttp_request *req);
void sim_workers_tick(struct jobs_platform *p, uint64_t now);
void sim_workers_free(struct jobs_platform *p);

#endif
