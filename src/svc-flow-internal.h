#ifndef SVC_FLOW_INTERNAL_H
#define SVC_FLOW_INTERNAL_H

#include <pthread.h>
#include <stdatomic.h>

#include "counter.h"
#include "http-client.h"
#include "io-pool.h"
#include "svc-config.h"
#include "svc-flow.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-targets.h"

/*
 * NAME
 *	svc-flow-internal - state of the service "flow"
 *
 * DESCRIPTION
 *	svc-flow.c drives the core and waits for decisions; svc-flow-io.c
 *	calls runners in threads of its own, since a request that was hedged is
 *	answered while its first attempt still runs; svc-flow-targets.c keeps
 *	the targets; svc-flow-explain.c answers operators.
 *
 *	The lock guards the core, the entries and the ring. It is never held
 *	during input or output, which includes log lines.
 */

#define FLOW_DECISIONS_MAX 4096u
#define FLOW_TARGETS_MAX 4096u

/* What the attempts of one request read; freed with its last reference. */
struct shared_request {
	atomic_uint references;
	atomic_uint
		attempts_on_wire; /* attempts of which a byte may have left */
	char id[FLOW_REQUEST_ID_BYTES];
	char user[SHEET_NAME_BYTES];
	char team[SHEET_NAME_BYTES];
	char kind[SHEET_NAME_BYTES];
	uint64_t deadline_us;
	uint64_t revision;
	size_t body_len;
	char body[];
};

/* A request known to the core by its handle. */
struct pending_request {
	bool used;
	bool has_waiter; /* a request thread waits for the decision */
	bool decided;
	bool may_have_run; /* an attempt ended and may have taken effect */
	uint32_t running_attempts; /* running */
	pthread_cond_t cond;
	struct flow_action final_action;
	int response_status; /* answer of the attempt that final names */
	struct buffer response_body;
	struct shared_request *request;
	uint32_t next_free;
};

/* One attempt, queued for or run by a thread. */
struct runner_attempt {
	struct runner_attempt *next;
	struct flow_svc *svc;
	struct shared_request *request;
	struct flow_action action;
	struct http_cancel cancel;
	uint64_t first_byte_us; /* 0: no byte left */
};

/* Row of the table that threads read under RCU. */
struct flow_target_address {
	char id[64];
	struct settings_address address;
	bool used;
};

struct flow_target_table {
	uint32_t count;
	struct flow_target_address rows[];
};

/* One decision or end of a request. */
struct flow_decision {
	char request_id[FLOW_REQUEST_ID_BYTES];
	char user[SHEET_NAME_BYTES];
	char kind[SHEET_NAME_BYTES];
	char team[SHEET_NAME_BYTES];
	char target[64];
	char passed_over[64];
	struct flow_action action;
	uint64_t revision;
	uint64_t at_us; /* wall clock */
};

struct flow_counters {
	struct counter *received;
	struct counter *sends;
	struct counter *hedges;
	struct counter *done;
	struct counter *unknown;
	struct counter *not_run[FLOW_REASON_TARGET_FAILED + 1];
	struct counter *outcomes[FLOW_OUTCOME_LOST + 1];
	struct counter *queued;
	struct counter *running;
	struct counter *slots;
	struct counter *probes;
};

struct flow_svc {
	struct service service;
	struct settings settings;
	const struct settings
		*live_settings; /* its policy may change on the loop */
	struct flow_options options;
	struct loop *loop;
	struct config_svc *config;
	struct members *members;
	struct targets *targets;
	struct http_client *http;
	struct io_pool *probe_pool;
	struct flow_counters counters;
	atomic_bool draining;
	atomic_uint in_flight;
	atomic_ullong last_tick_us;
	struct flow_target_table *target_table; /* RCU */
	pthread_mutex_t lock;
	bool core_stopped; /* events are no longer passed to the core */
	struct flow *core;
	struct flow_actions actions;
	uint64_t sheet_revision; /* of the sheet that the core has */
	struct seat seat;	 /* as the core knows it */
	struct pending_request *pending;
	uint32_t pending_max;
	uint32_t first_free_handle;
	uint32_t target_refs[FLOW_TARGETS_MAX];
	bool target_leaving[FLOW_TARGETS_MAX]; /* as the core knows it; the
						  loop's */
	struct flow_decision *decisions;
	uint64_t decision_count;
	/* Threads for attempts; they are started when none is idle. */
	pthread_mutex_t attempt_lock;
	pthread_cond_t attempt_cond;
	struct runner_attempt *attempt_queue_head;
	struct runner_attempt **attempt_queue_tail;
	struct runner_attempt *running_attempts;
	uint32_t queued_attempts;
	uint32_t sender_threads;
	uint32_t idle_senders;
	bool senders_stopping;
};

/* svc-flow.c */
/* Passes an event to the core and executes its actions. Lock held. */
void flow_handle_event(struct flow_svc *f, const struct flow_event *e);
void shared_request_unref(struct shared_request *job);
/* Frees an entry when its request and its attempts have ended. Lock held. */
void pending_request_release(struct flow_svc *f, uint32_t handle);

/* svc-flow-io.c */
void flow_io_start(struct flow_svc *f);
void flow_io_stop(struct flow_svc *f);
/* Queues an attempt. Lock held. */
void flow_io_queue_attempt(struct flow_svc *f, const struct flow_action *a);
/* Queues a status probe. Lock held. */
void flow_io_queue_probe(struct flow_svc *f, const struct flow_action *a);

/* svc-flow-targets.c */
/* Passes a changed list of targets to the core. Control thread. */
void flow_update_targets(void *svc);
/* Tells the core which targets a planned stop is near for. Control thread. */
void flow_check_planned_stops(struct flow_svc *f);
/* Copies a row of the table; -1 when the handle is not in use. */
int flow_target_lookup(struct flow_svc *f, uint32_t target,
		       struct flow_target_address *out);

/* svc-flow-explain.c */
/* Records an action of the core in the ring. Lock held. */
void flow_record_decision(struct flow_svc *f, const struct flow_action *a);

#endif
