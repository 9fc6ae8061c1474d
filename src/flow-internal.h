#ifndef FLOW_INTERNAL_H
#define FLOW_INTERNAL_H

#include "core.h"
#include "histogram.h"
#include "share.h"

/*
 * NAME
 *	flow-internal - state shared by the files flow*.c
 *
 * DESCRIPTION
 *	flow.c handles events, attempts, retries and hedges. flow-policy.c
 *	builds the tables of kinds, teams and queues from a sheet, and
 *	flow-queue.c links requests into them. flow-admit.c implements
 *	admission control and fair queueing, flow-route.c target selection,
 *	probes and circuit breakers.
 */

#define FLOW_REQUESTS_MAX 65536u
#define FLOW_NONE UINT32_MAX
#define FLOW_RUNNING_ATTEMPTS_MAX 2
#define FLOW_CONNECTIONS_DEFAULT 64

enum request_state {
	REQUEST_FREE,
	REQUEST_QUEUED,
	REQUEST_RUNNING,  /* at least one attempt is in progress */
	REQUEST_FINISHED, /* answered, but an attempt is still in progress */
};

struct flow_attempt {
	uint32_t number;
	uint32_t target; /* FLOW_NONE: unused */
	uint64_t sent_us;
};

struct flow_request {
	enum request_state state;
	enum urgency urgency;
	bool idempotent;
	bool may_have_run; /* an ended attempt may have taken effect */
	bool hedged;
	bool first_send_counted;
	int32_t kind; /* -1: the kind was removed from the sheet */
	uint32_t team;
	uint32_t queue;
	uint32_t bytes;
	uint32_t attempts_sent;
	uint32_t failed_target; /* of the last failed attempt */
	struct flow_attempt running_attempts[FLOW_RUNNING_ATTEMPTS_MAX];
	uint64_t arrived_us;
	uint64_t queued_us;
	uint64_t deadline_us;
	/* Links in the queue while queued, in the hedge list while running. */
	uint32_t next;
	uint32_t previous;
	uint32_t fifo_next; /* list of all queued requests */
	uint32_t fifo_previous;
	bool in_hedge_list;
};

/* Queued requests of one kind and team, with one list per urgency. */
struct flow_queue {
	uint32_t head[URGENCY_COUNT];
	uint32_t tail[URGENCY_COUNT];
	uint32_t queued;
	uint32_t team;
	double weight;
	double virtual_finish;	   /* of the last request sent */
	uint64_t send_interval_us; /* EWMA while requests wait, 0: unknown */
	uint64_t last_send_us;	   /* 0: the last send emptied the queue */
};

struct flow_team {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	uint32_t limit;
	uint32_t in_flight; /* queued or running requests */
	uint64_t queued_bytes;
};

struct flow_kind {
	char user[SHEET_NAME_BYTES];
	char name[SHEET_NAME_BYTES];
	enum urgency priority;
	double share; /* guaranteed part of the capacity, 0 to 1 */
	double weight;
	double virtual_finish; /* of the last request sent beyond the share */
	double virtual_time;   /* for the queues of its teams */
	uint32_t limit;
	uint32_t in_flight; /* queued or running requests */
	uint32_t queued;
	uint32_t running; /* attempts in progress, one slot each */
	uint32_t queue_first;
	uint32_t queue_count;
	uint32_t active_index; /* in active_kinds */
	uint64_t last_send_us;
	double mean_service_us; /* EWMA of successful attempts */
	double service_deviation_us;
	uint64_t last_sample_us; /* 0: none */
	uint64_t service_p95_us;
	struct histogram *service_times;
	uint32_t hedge_head; /* running idempotent requests, not hedged */
	uint32_t hedge_tail;
};

struct flow_target {
	bool present;
	bool leaving;
	bool draining;
	bool probe_pending;
	enum flow_breaker breaker;
	uint64_t hash;
	uint32_t slots;
	uint32_t connections;
	uint32_t own_slots;
	uint32_t own_connections;
	uint32_t outstanding;
	uint32_t abandoned;
	uint32_t consecutive_failures;
	uint32_t free_index;	/* in free_targets */
	uint32_t counted_slots; /* included in the capacity */
	uint64_t breaker_open_until_us;
	uint64_t breaker_pause_us;
	uint64_t probe_sent_us;
	uint64_t last_idle_us; /* last report without requests, 0: never */
	uint64_t last_abandoned_us;
	double latency_us;	 /* EWMA */
	uint64_t last_sample_us; /* 0: none */
	uint64_t last_ok_us;
	uint64_t trial_us; /* time of the trial request, 0: not sent */
};

struct flow {
	struct flow_options options;
	struct rng rng;
	bool has_policy;
	struct flow_request *requests;
	uint32_t request_handle_end; /* handles below it may be in use */
	/* Admission. */
	struct flow_kind *kinds;
	uint32_t kind_count;
	struct flow_team *teams; /* named teams, then one unnamed per kind */
	uint32_t team_count;
	struct flow_queue *queues;
	uint32_t queue_count;
	uint32_t *active_kinds; /* kinds with queued requests */
	uint32_t active_kind_count;
	double virtual_time; /* for slots beyond the guarantees */
	uint32_t fifo_head;
	uint32_t fifo_tail;
	uint32_t queued;
	uint32_t running;
	/* Routing. */
	struct flow_target *targets;
	uint32_t target_count;
	uint32_t *free_targets; /* targets with a free own slot */
	uint32_t free_count;
	uint32_t capacity;
	struct share_split split;
	double mean_latency_us; /* EWMA over all targets, 0: unknown */
	/* Retries and hedges. */
	int64_t retry_tokens; /* see RETRY_TOKEN_COST */
	uint64_t first_sends;
	uint64_t retries;
	uint64_t hedges;
	uint64_t next_percentile_us;
	uint64_t next_decay_us;
};

/* flow.c */
struct flow_action *flow_emit(struct flow_actions *out,
			      enum flow_action_type type, uint32_t handle);
void flow_refuse(struct flow *f, uint32_t handle, enum flow_reason reason,
		 uint64_t now_us, struct flow_actions *out);

/* flow-queue.c */
void flow_queue_push(struct flow *f, uint32_t handle, bool at_head);
void fifo_list_add(struct flow *f, uint32_t handle, bool at_head);
void fifo_list_remove(struct flow *f, uint32_t handle);
/* Inserts a request whose attempt failed at the head of its queue. */
void flow_queue_push_retry(struct flow *f, uint32_t handle, uint64_t now_us);
void flow_queue_remove(struct flow *f, uint32_t handle);
/* List of running requests that may be hedged, in order of sending. */
void hedge_list_add(struct flow *f, uint32_t handle);
void hedge_list_remove(struct flow *f, uint32_t handle);

/* flow-policy.c */
void admit_apply_sheet(struct flow *f, const struct sheet *sheet,
		       uint64_t now_us, struct flow_actions *out);
void admit_free(struct flow *f);
/* Sets queue and team of a request; team is an index of the sheet or -1. */
void admit_assign_queue(const struct flow *f, struct flow_request *r,
			int32_t team);

/* flow-admit.c */
/* Returns the reason for which a request would be refused now, or NONE. */
enum flow_reason admit_check(const struct flow *f, const struct flow_request *r,
			     uint64_t now_us);
/* Queues the request or refuses it. */
void admit_request(struct flow *f, uint32_t handle, uint64_t now_us,
		   struct flow_actions *out);
/* Returns the next request to send without dequeueing it, or FLOW_NONE. */
uint32_t admit_next(struct flow *f);
/* Dequeues a request that is sent and updates the virtual times. */
void admit_dequeue(struct flow *f, uint32_t handle, uint64_t now_us);
/* Removes a finished request from the counts of its kind and team. */
void admit_release(struct flow *f, uint32_t handle);
/* Refuses queued requests that can no longer meet their deadlines. */
void admit_refuse_late(struct flow *f, uint64_t now_us,
		       struct flow_actions *out);
/* Whether a request sent now is expected to miss its deadline. */
bool admit_misses_deadline(const struct flow *f, uint32_t handle,
			   uint64_t now_us);
void admit_add_service_sample(struct flow *f, int32_t kind, uint64_t service_us,
			      uint64_t now_us);
void admit_update_percentiles(struct flow *f, bool decay);

/* flow-route.c */
void route_free(struct flow *f);
void route_update_target(struct flow *f, const struct flow_event *e,
			 uint64_t now_us);
void route_remove_target(struct flow *f, uint32_t target);
void route_apply_seat(struct flow *f, const struct flow_event *e);
uint64_t route_idle_since(const struct flow *f);
void route_probe_result(struct flow *f, const struct flow_event *e,
			uint64_t now_us);
void route_send_probes(struct flow *f, uint64_t now_us,
		       struct flow_actions *out);
/*
 * Chooses a target with a free own slot. Returns FLOW_NONE if there is none or
 * if the request should wait for a faster target.
 */
uint32_t route_choose(struct flow *f, const struct flow_request *r,
		      uint64_t now_us, uint32_t *passed_over,
		      enum flow_choice_reason *choice_reason);
uint32_t route_targets_over_share(const struct flow *f);
void route_attempt_sent(struct flow *f, uint32_t target, uint64_t now_us);
void route_attempt_result(struct flow *f, uint32_t target,
			  enum flow_outcome outcome, uint64_t sent_us,
			  uint64_t service_us, uint64_t now_us);
/* Records that an attempt in progress has passed its deadline. */
void route_attempt_late(struct flow *f, uint32_t target, uint64_t sent_us,
			uint64_t now_us);
/* Records that an attempt has run for elapsed_us without a response. */
void route_attempt_slow(struct flow *f, uint32_t target, uint64_t elapsed_us,
			uint64_t now_us);

#endif
