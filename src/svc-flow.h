#ifndef SVC_FLOW_H
#define SVC_FLOW_H

#include "buffer.h"
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

/* Requests accepted and not yet answered; 0 ends a drain. */
uint32_t flow_in_flight(struct flow_svc *f);

/* Appends what is known of a request's decisions as JSON; -1 if unknown. */
int flow_explain(struct flow_svc *f, const char *request_id,
		 struct buffer *json);

/* Appends targets, queues and latencies as one JSON object. */
void flow_status(struct flow_svc *f, struct buffer *json);

#endif
