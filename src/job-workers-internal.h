#ifndef JOB_WORKERS_INTERNAL_H
#define JOB_WORKERS_INTERNAL_H

#include "job-node.h"
#include "worker-path.h"

/*
 * NAME
 *	job-workers-internal - polls and orders of each worker
 *
 * DESCRIPTION
 *	job-workers.c follows the list of workers and polls each of them.
 *	job-workers-orders.c sends the scheduler's orders.
 */

/* State of one worker and the orders queued for it. */
struct worker_link {
	struct job_workers *workers;
	struct worker_path *path;
	uint32_t worker; /* index in the scheduler */
	char id[JOB_NAME_BYTES];
	struct settings_address address;
	struct queued_order *queue_head;
	struct queued_order **queue_tail;
	struct queued_order **stops_tail; /* stops are first in the queue */
	uint32_t stops_queued;
	uint64_t round_trip_us; /* of orders; 0: unknown */
	struct queued_order *in_flight[WORKER_ORDER_CONNECTIONS];
	uint64_t clock_ms; /* the worker's clock at clock_us; 0: unknown */
	uint64_t clock_us;
	uint64_t poll_sent_us;
	uint64_t next_poll_us;
	uint64_t ack_deadline_us; /* polls again then at the latest */
	uint64_t last_end_seq;
	uint64_t started_wall_ms;
	uint64_t entry_fingerprint;	/* of the last entry */
	uint64_t entry_started_wall_ms; /* as in the last entry */
	uint64_t unresponsive_since_us; /* 0: responsive */
	uint64_t reported_us;		/* when the last report was requested */
	uint32_t starts_unanswered;	/* since the last response */
	bool polling;
	bool poll_refused; /* the last poll was, and did not renew the lease */
	/* It may have restarted: acknowledge nothing before a report. */
	bool verify_incarnation;
	bool listed;
	bool resync_unseen; /* no entry read yet in the current resync */
	bool closed;
};

/* The specification of a job, shared by the orders for its tasks. */
struct order_text;

struct queued_order {
	struct queued_order *next;
	struct sched_order order;
	struct worker_link *link;
	int connection;
	uint64_t queued_us;
	uint64_t sent_us;
	struct order_text *text;
	char *checkpoint;
};

struct job_workers {
	struct job_node *node;
	struct sched *sched;
	struct worker_link **links;   /* by index in the scheduler */
	struct order_text *last_text; /* of the last start; NULL: none yet */
	/* By link: nothing is due before; reset by each event of a link. */
	uint64_t *idle_until_us;
	uint32_t count;
	uint64_t next_scan_us;
	struct counter *polls;
	struct counter *orders;
	struct counter *lost_responses;
};

/* ---- job-workers.c ---- */
/* NULL if the worker was never listed. */
struct worker_link *worker_link_find(struct job_workers *w, uint32_t worker);
/*
 * Estimates the worker's clock from its last response. The clock may be ahead
 * of the estimate by the time that the response took.
 */
uint64_t worker_lease_until(const struct worker_link *l, uint64_t now);
/* Handles what all responses share. Returns true if the worker responded. */
bool worker_handle_response(struct worker_link *l,
			    const struct worker_response *a);

/* ---- job-workers-orders.c ---- */
void worker_orders_init(struct worker_link *l);
/* Sends the queued orders that may be sent now. */
void worker_orders_send(struct worker_link *l);
/* Takes all orders of a link: those in flight, then those queued. */
struct queued_order *worker_orders_detach(struct worker_link *l);
/* text may be NULL. */
void worker_orders_release_text(struct order_text *text);
void worker_orders_free(struct queued_order *o);
/* Reports the outcome of the orders of a link that was replaced. */
void worker_orders_end(struct job_workers *w, struct queued_order *orders);

#endif
