#ifndef SVC_FLOW_H
#define SVC_FLOW_H

#include "buffer.h"
#include "core.h"
#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	flow, front - services "flow" and "front": the request path
 *
 * DESCRIPTION
 *	"front" serves callers over HTTP; "flow" drives the flow core and the
 *	input and output to runners. After front's drain() new requests are
 *	answered "not run" and requests in progress run to their end.
 */

struct flow_svc;

struct service *flow_svc_create(const struct settings *s);
struct flow_svc *flow_svc_find(struct kernel *k);
struct service *front_create(const struct settings *s);

#define FLOW_REQUEST_ID_BYTES 64

/* One request of a caller; the pointers stay valid during flow_run_request().
 */
struct flow_request_params {
	char id[FLOW_REQUEST_ID_BYTES];
	const char *user;
	const char *team; /* "" for none */
	const char *kind;
	int urgency; /* enum urgency, or -1 for the priority of the kind */
	bool idempotent;
	uint64_t deadline_us; /* CLOCK_BOOTTIME */
	const void *body;
	size_t body_len;
};

enum flow_reply_code {
	FLOW_REPLY_DONE,    /* the runner's whole answer */
	FLOW_REPLY_NOT_RUN, /* it certainly did not run */
	FLOW_REPLY_UNKNOWN, /* it may have run */
};

struct flow_reply {
	enum flow_reply_code code;
	enum flow_reason reason; /* of FLOW_REPLY_NOT_RUN */
	enum flow_outcome outcome;
	int status;	    /* of the runner's answer */
	struct buffer body; /* of the runner's answer; the caller frees it */
	uint64_t revision;  /* of the configuration that was applied */
};

/*
 * Admits a request, runs it at a runner and waits for the end, at most until
 * shortly after its deadline. The thread is registered with
 * rcu_register_thread() and is not the control thread.
 */
void flow_run_request(struct flow_svc *f,
		      const struct flow_request_params *call,
		      struct flow_reply *reply);

/*
 * Whether the request would be refused now; then the reply says why. Spares a
 * request that needs a claim the claim.
 */
bool flow_would_refuse(struct flow_svc *f,
		       const struct flow_request_params *call,
		       struct flow_reply *reply);

/* Mark the time from a request's arrival to the end of its answer. */
void flow_request_begin(struct flow_svc *f);
void flow_request_end(struct flow_svc *f);

/* Requests accepted and not yet answered; 0 ends a drain. */
uint32_t flow_in_flight(struct flow_svc *f);

/*
 * Whether that revision of the seats is applied and no target runs more for
 * this process than its share of it. Control thread.
 */
bool flow_seat_applied(struct flow_svc *f, uint64_t revision);

/*
 * Every target that answers was seen to run nothing after this time; 0 when
 * one never was. Any thread.
 */
uint64_t flow_idle_since_us(struct flow_svc *f);

/* Whether there are a sheet and a slot of some target. Any thread. */
bool flow_ready(struct flow_svc *f);

/* Appends what is known of a request's decisions as JSON; -1 if unknown. */
int flow_explain(struct flow_svc *f, const char *request_id,
		 struct buffer *json);

/* Appends targets, queues and latencies as one JSON object. */
void flow_status(struct flow_svc *f, struct buffer *json);

/* Port on which the service "front" listens, for a setting of port 0. */
uint16_t front_port(struct kernel *k);

#endif
