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
 *	"front" is the HTTP server for clients. "flow" drives the flow core
 *	(core.h) and sends requests to runners. Once draining, both refuse new
 *	requests as "not run" and let requests in progress finish.
 */

struct flow_svc;

struct service *flow_svc_create(const struct settings *s);
struct flow_svc *flow_svc_find(struct kernel *k);
struct service *front_create(const struct settings *s);

#define FLOW_REQUEST_ID_BYTES 64

/* A client's request; the pointers stay valid during flow_run_request(). */
struct flow_request_params {
	char id[FLOW_REQUEST_ID_BYTES];
	const char *user;
	const char *team; /* "" for none */
	const char *kind;
	int urgency; /* enum urgency, or -1 for the kind's priority */
	bool idempotent;
	uint64_t deadline_us; /* CLOCK_BOOTTIME */
	const void *body;
	size_t body_len;
};

enum flow_reply_code {
	FLOW_REPLY_DONE,    /* the runner's complete response */
	FLOW_REPLY_NOT_RUN, /* the request did not run */
	FLOW_REPLY_UNKNOWN, /* the request may have run */
};

struct flow_reply {
	enum flow_reply_code code;
	enum flow_reason reason; /* FLOW_REPLY_NOT_RUN */
	enum flow_outcome outcome;
	int status;	    /* HTTP status of the runner */
	struct buffer body; /* of the runner; freed by the caller */
	uint64_t revision;  /* of the sheet that was applied */
};

/*
 * Admits a request, runs it on a runner and blocks until it ends or shortly
 * after its deadline. The calling thread must be registered with
 * rcu_register_thread() and must not be the control thread.
 */
void flow_run_request(struct flow_svc *f,
		      const struct flow_request_params *params,
		      struct flow_reply *reply);

/*
 * Returns true, with the reason in reply, if the request would be refused
 * now. Lets a non-idempotent request fail before a claim is made for it.
 */
bool flow_would_refuse(struct flow_svc *f,
		       const struct flow_request_params *params,
		       struct flow_reply *reply);

/*
 * Count a request as in flight from its arrival until its response has been
 * sent.
 */
void flow_request_begin(struct flow_svc *f);
void flow_request_end(struct flow_svc *f);

/* Number of requests in flight; a drain is complete when it reaches 0. */
uint32_t flow_in_flight(struct flow_svc *f);

/*
 * Returns true if the core has applied this revision of the seats and no
 * target runs more requests of this process than its share of the target's
 * slots. Control thread only.
 */
bool flow_seat_applied(struct flow_svc *f, uint64_t revision);

/*
 * Each responding target has reported that it was idle at this time or later.
 * 0 if one of them never has, or if no target responds. Any thread.
 */
uint64_t flow_idle_since_us(struct flow_svc *f);

/* Returns true if a sheet is loaded and a target has slots. Any thread. */
bool flow_ready(struct flow_svc *f);

/*
 * Appends the recorded decisions on a request as JSON; -1 if there are none.
 */
int flow_explain(struct flow_svc *f, const char *request_id,
		 struct buffer *json);

/* Appends the state of targets and kinds as one JSON object. */
void flow_status(struct flow_svc *f, struct buffer *json);

/* Port that "front" listens on, also when the setting is port 0. */
uint16_t front_port(struct kernel *k);

#endif
