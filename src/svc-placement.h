#ifndef SVC_PLACEMENT_H
#define SVC_PLACEMENT_H

#include "buffer.h"
#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	placement - service "placement": the place core of owned shards
 *
 * DESCRIPTION
 *	placement_request() handles an operator's call on /v1/placements here
 *	or forwards it to the owner of the shard that the id names, and blocks
 *	for at most timeout_us. Any thread but the control thread.
 */

struct placement_svc;

struct service *placement_create(const struct settings *s);
struct placement_svc *placement_find(struct kernel *k);

/*
 * method is POST, GET, PUT or DELETE; id may be empty for POST and for a
 * GET of all placements. Fills the HTTP status and appends a JSON answer.
 */
void placement_request(struct placement_svc *p, const char *method,
		       const char *id, const char *body, size_t len,
		       uint64_t timeout_us, int *status, struct buffer *json);

/* Appends a task's state and last decisions as JSON; -1 if unknown here. */
int placement_explain(struct placement_svc *p, const char *task,
		      struct buffer *json);

/* Appends shards, workers and task counts as one JSON object. */
void placement_status(struct placement_svc *p, struct buffer *json);

/* Service "workers": threads for calls on workers. */
struct service *workers_create(const struct settings *s);

#endif
