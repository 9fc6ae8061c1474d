#ifndef SVC_PLACEMENT_H
#define SVC_PLACEMENT_H

#include "buffer.h"
#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	placement - service "placement": runs the place core for owned shards
 *
 * DESCRIPTION
 *	placement_request() handles an operator request on /v1/placements, in
 *	this process or by forwarding it to the owner of the shard named in the
 *	id. It blocks for up to timeout_us and may be called on any thread
 *	except the control thread.
 */

struct placement_svc;

struct service *placement_create(const struct settings *s);
struct placement_svc *placement_find(struct kernel *k);

/*
 * method is POST, GET, PUT or DELETE. id may be empty for POST, which takes it
 * from the body, and for GET, which then lists all placements. Sets the HTTP
 * status and appends a JSON response.
 */
void placement_request(struct placement_svc *p, const char *method,
		       const char *id, const char *body, size_t len,
		       uint64_t timeout_us, int *status, struct buffer *json);

/*
 * Appends a task's state and last decisions as JSON. Returns -1 if the task is
 * unknown or this process does not own its shard.
 */
int placement_explain(struct placement_svc *p, const char *task,
		      struct buffer *json);

/* Appends the counts of workers and tasks per shard as one JSON object. */
void placement_status(struct placement_svc *p, struct buffer *json);

/* Service "workers"; see svc-workers.h. */
struct service *workers_create(const struct settings *s);

#endif
