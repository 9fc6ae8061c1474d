#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "support-control.h"
#include "support-journal.h"
#include "support-store.h"
#include "support-workers-http.h"

static const char *const worker_fields[] = { "worker", "fail_starts", "kill",
					     "down", NULL };

static bool handle_worker_fault(struct worker_pool *p, struct httpd_call *call);
static bool split_path(char *path, char *parts[], size_t count);
static int handle_task(struct worker_pool *p, struct sim_worker *v,
		       const char *task, const char *verb, const json_t *body,
		       struct httpd_call *call);
static int dispatch(struct worker_pool *p, char *path, const json_t *body,
		    struct httpd_call *call);

void pool_init(struct worker_pool *p, const char *address,
	       uint64_t report_lag_us, uint64_t seed)
{
	pthread_mutex_init(&p->lock, NULL);
	sim_init(&p->workers, report_lag_us, seed);
	fault_init(&p->fault, seed + 1);
	calls_init(&p->calls);
	p->address = address;
}

void pool_free(struct worker_pool *p)
{
	sim_free(&p->workers);
}

void pool_take_list(struct worker_pool *p, const json_t *vms)
{
	pthread_mutex_lock(&p->lock);
	sim_take_list(&p->workers, vms, p->address);
	pthread_mutex_unlock(&p->lock);
}

void pool_step(struct worker_pool *p)
{
	pthread_mutex_lock(&p->lock);
	sim_step(&p->workers, clock_now_us());
	pthread_mutex_unlock(&p->lock);
}

/* Returns false when the call is no fault of a single worker. */
static bool handle_worker_fault(struct worker_pool *p, struct httpd_call *call)
{
	struct sim_worker *v;
	const char *id;
	json_t *o;

	if (strcmp(call->path, "/v1/fault"))
		return false;
	o = json_loadb(call->body.data ? call->body.data : "", call->body.len,
		       0, NULL);
	id = json_string_value(json_object_get(o, "worker"));
	if (!id) {
		json_decref(o);
		return false;
	}
	if (!control_fields_known(o, worker_fields)) {
		httpd_respond(call, 400, "{\"error\":\"unknown field\"}");
		json_decref(o);
		return true;
	}
	pthread_mutex_lock(&p->lock);
	v = sim_find(&p->workers, id);
	if (v) {
		control_flag(o, "fail_starts", &v->fail_starts);
		if (json_is_true(json_object_get(o, "kill"))) {
			sim_kill(v);
			v->down = true;
		}
		control_flag(o, "down", &v->down);
	}
	pthread_mutex_unlock(&p->lock);
	journal_event("fault", "{s:O}", "change", o);
	httpd_respond(call, v ? 200 : 404, "{}");
	json_decref(o);
	return true;
}

/* Cuts the path at its slashes; unused parts become NULL. */
static bool split_path(char *path, char *parts[], size_t count)
{
	char *save = NULL, *part = strtok_r(path, "/", &save);

	memset(parts, 0, count * sizeof(*parts));
	for (size_t i = 0; part; i++, part = strtok_r(NULL, "/", &save)) {
		if (i == count)
			return false;
		parts[i] = part;
	}
	return true;
}

static int handle_task(struct worker_pool *p, struct sim_worker *v,
		       const char *task, const char *verb, const json_t *body,
		       struct httpd_call *call)
{
	uint64_t fence = httpd_query_u64(call, "fence", 0);
	struct sim_workers *w = &p->workers;
	struct buffer *out = &call->response_body;

	if (verb && !strcmp(verb, "throttle"))
		return sim_throttle(w, v, task, fence, body, out);
	if (verb && !strcmp(verb, "checkpoint"))
		return sim_checkpoint(w, v, task, fence, out);
	if (!verb && !strcmp(call->method, "PUT"))
		return sim_start(w, v, task, fence, body, clock_now_us(), out);
	if (!verb && !strcmp(call->method, "DELETE"))
		return sim_stop(
			w, v, task, fence,
			(int64_t)httpd_query_u64(call, "attempt", UINT64_MAX),
			out);
	return 404;
}

/* Path: /v1/workers/W[/renew | /tasks/T[/VERB]]. Returns the status. */
static int dispatch(struct worker_pool *p, char *path, const json_t *body,
		    struct httpd_call *call)
{
	uint64_t fence = httpd_query_u64(call, "fence", 0);
	struct sim_workers *w = &p->workers;
	struct sim_worker *v;
	char *parts[6];

	if (!split_path(path, parts, 6) || !parts[1])
		return 404;
	if (!strcmp(parts[1], "usage")) {
		sim_usage(w, clock_now_us(), &call->response_body);
		return 200;
	}
	if (strcmp(parts[1], "workers") || !parts[2])
		return 404;
	v = sim_find(w, parts[2]);
	if (!v || v->gone)
		return 404;
	if (v->down)
		return 0;
	if (!parts[3])
		return sim_read(w, v, fence, &call->response_body);
	if (!strcmp(parts[3], "renew"))
		return sim_renew(w, v, fence, body, clock_now_us(),
				 &call->response_body);
	if (!strcmp(parts[3], "tasks") && parts[4])
		return handle_task(p, v, parts[4], parts[5], body, call);
	return 404;
}

void pool_handle(void *pool, struct httpd_call *call)
{
	struct worker_pool *p = pool;
	bool read = !strcmp(call->method, "GET");
	char path[512];
	json_t *body;

	if (handle_worker_fault(p, call) ||
	    handle_control_path(&p->fault, &p->calls, call))
		return;
	calls_count(&p->calls, read ? CALL_READ : CALL_WRITE);
	if (!fault_enter(&p->fault, call))
		return;
	body = json_loadb(call->body.data ? call->body.data : "",
			  call->body.len, 0, NULL);
	snprintf(path, sizeof(path), "%s", call->path);
	pthread_mutex_lock(&p->lock);
	call->status = dispatch(p, path, body, call);
	pthread_mutex_unlock(&p->lock);
	json_decref(body);
	/* A silent worker: the caller waits, then the connection ends. */
	if (!call->status)
		clock_sleep_us(FAULT_HOLD_US);
	fault_leave(&p->fault, call);
}
