#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "client-limits.h"
#include "clock.h"
#include "event-http.h"
#include "job-node.h"
#include "log.h"

/* Connections to the owner; each carries one call at a time. */
#define CONNECTIONS_MAX 6
#define MESSAGE_MAX_BYTES (512 * 1024)
/* Less than the time that a peer waits for the reply. */
#define SERVE_TIMEOUT_US 450000u
/* Status of calls that had no effect. */
#define STATUS_MALFORMED 400
#define STATUS_NOT_OWNER 421

static const char *const call_paths[] = { "/submit", "/cancel", "/state",
					  "/waiting" };

struct owner_call {
	struct job_peer *peer;
	struct http_conn *conn;
	struct settings_address address; /* that conn leads to */
	bool busy;
	intake_fn *fn;
	void *arg;
};

struct job_peer {
	struct job_node *node;
	struct evhttp *server;
	struct owner_call calls[CONNECTIONS_MAX];
};

/* ---- calls to the owner ---- */

static bool read_number(const json_t *o, const char *name, json_int_t max,
			json_int_t *out)
{
	const json_t *value = json_object_get(o, name);

	*out = json_integer_value(value);
	return json_is_integer(value) && *out >= 0 && *out <= max;
}

static bool read_reply(const struct event_http_response *h,
		       struct intake_reply *a)
{
	json_t *o = json_loadb(h->body, h->len, 0, NULL);
	json_int_t outcome, state, waiting;
	bool valid = read_number(o, "outcome", INTAKE_REFUSED, &outcome) &&
		     read_number(o, "state", SCHED_JOB_CANCELLED, &state) &&
		     read_number(o, "waiting", UINT32_MAX, &waiting);

	json_decref(o);
	if (!valid)
		return false;
	a->outcome = (enum intake_outcome)outcome;
	a->state = (enum sched_job_state)state;
	a->waiting = (uint32_t)waiting;
	return true;
}

/* The call was not sent, or rejected by a peer before it did anything. */
static bool was_refused(const struct event_http_response *h)
{
	return h->outcome == EVENT_HTTP_NOT_SENT ||
	       (h->outcome == EVENT_HTTP_RESPONDED &&
		(h->status == STATUS_MALFORMED ||
		 h->status == STATUS_NOT_OWNER));
}

static void on_response(void *arg, const struct event_http_response *h)
{
	struct owner_call *q = arg;
	struct intake_reply a = { .outcome = INTAKE_UNKNOWN,
				  .reason = "owner" };

	q->busy = false;
	if (was_refused(h))
		a.outcome = INTAKE_REFUSED;
	else if (h->outcome == EVENT_HTTP_RESPONDED &&
		 (h->status != 200 || !read_reply(h, &a)))
		log_event(LOG_WARNING, "peer-malformed", "status=%d bytes=%zu",
			  h->status, h->len);
	q->fn(q->arg, &a);
}

static struct owner_call *find_idle_call(struct job_peer *p)
{
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		if (!p->calls[i].busy)
			return &p->calls[i];
	return NULL;
}

/* A connection to a former owner is replaced. */
static void connect_call(struct owner_call *q,
			 const struct settings_address *address)
{
	if (q->conn && !memcmp(&q->address, address, sizeof(*address)))
		return;
	http_conn_free(q->conn);
	q->address = *address;
	q->conn = http_conn_create(q->peer->node->base, address->host,
				   address->port);
}

bool job_peer_call_owner(struct job_peer *p, enum peer_call call,
			 const char *id, const char *queue, const void *data,
			 size_t len, uint32_t timeout_ms, intake_fn *fn,
			 void *arg)
{
	struct settings_address address;
	struct owner_call *q;
	char uri[256];

	if (!job_owner_address(p->node->owner, &address) ||
	    job_owner_sched(p->node->owner))
		return false;
	q = find_idle_call(p);
	if (!q)
		return false;
	connect_call(q, &address);
	q->busy = true;
	q->fn = fn;
	q->arg = arg;
	snprintf(uri, sizeof(uri), "%s?id=%s&queue=%s", call_paths[call], id,
		 queue);
	http_conn_call(q->conn, "POST", uri, NULL, data ? data : "", len,
		       timeout_ms, on_response, q);
	return true;
}

/* ---- calls from peers ---- */

static void send_reply(struct evhttp_request *req, int status,
		       const struct intake_reply *a)
{
	struct evbuffer *out = evbuffer_new();

	if (a)
		evbuffer_add_printf(
			out, "{\"outcome\":%d,\"state\":%d,\"waiting\":%u}",
			a->outcome, a->state, a->waiting);
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

static void on_intake_reply(void *arg, const struct intake_reply *a)
{
	send_reply(arg, 200, a);
}

static void serve_submit(struct job_peer *p, struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);
	struct job_spec spec;
	struct error err;

	if (job_spec_decode(&spec, evbuffer_pullup(in, -1), len, &err) < 0) {
		log_event(LOG_WARNING, "peer-malformed", "error=\"%s\"",
			  err.message);
		send_reply(req, STATUS_MALFORMED, NULL);
		return;
	}
	job_intake_submit(p->node->intake, &spec,
			  clock_now_us() + SERVE_TIMEOUT_US, true,
			  on_intake_reply, req);
	job_spec_free(&spec);
}

static void serve_state(struct job_peer *p, struct evhttp_request *req,
			const char *id, const char *queue)
{
	struct sched *s = job_owner_sched(p->node->owner);
	struct intake_reply a = { .outcome = INTAKE_NOT_FOUND };

	if (!s) {
		send_reply(req, STATUS_NOT_OWNER, NULL);
		return;
	}
	if (sched_job_state(s, id, queue, &a.state))
		a.outcome = INTAKE_DONE;
	send_reply(req, 200, &a);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct job_peer *p = arg;
	const char *uri = evhttp_request_get_uri(req);
	const char *query = strchr(uri, '?');
	struct evkeyvalq keys = { 0 };
	const char *id, *queue;

	client_limits_begin_request(p->node->clients, req);
	if (!query || evhttp_parse_query_str(query + 1, &keys) < 0) {
		send_reply(req, STATUS_MALFORMED, NULL);
		return;
	}
	id = evhttp_find_header(&keys, "id");
	queue = evhttp_find_header(&keys, "queue");
	if (!id || !queue) {
		send_reply(req, STATUS_MALFORMED, NULL);
	} else if (!strncmp(uri, "/submit?", 8)) {
		serve_submit(p, req);
	} else if (!strncmp(uri, "/cancel?", 8)) {
		job_intake_cancel(p->node->intake, id, queue,
				  clock_now_us() + SERVE_TIMEOUT_US, true,
				  on_intake_reply, req);
	} else if (!strncmp(uri, "/state?", 7)) {
		serve_state(p, req, id, queue);
	} else if (!strncmp(uri, "/waiting?", 9) &&
		   job_owner_sched(p->node->owner)) {
		struct intake_reply a = { .outcome = INTAKE_DONE };

		a.waiting = job_owner_waiting_jobs(p->node->owner, queue);
		send_reply(req, 200, &a);
	} else {
		send_reply(req, STATUS_NOT_OWNER, NULL);
	}
	evhttp_clear_headers(&keys);
}

struct job_peer *job_peer_create(struct job_node *n, struct error *err)
{
	const struct settings_address *a = &n->settings->jobs.peers;
	struct job_peer *p = xcalloc(1, sizeof(*p));
	struct evhttp_bound_socket *bound;

	p->node = n;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		p->calls[i].peer = p;
	p->server = evhttp_new(n->base);
	client_limits_attach(n->clients, CLIENTS_PEERS, p->server,
			     MESSAGE_MAX_BYTES, NULL, NULL);
	evhttp_set_gencb(p->server, on_request, p);
	bound = evhttp_bind_socket_with_handle(p->server, a->host, a->port);
	if (!bound) {
		error_set(err, ERROR_LAYER_PEERS, 1, "cannot listen on %s:%u",
			  a->host, a->port);
		evhttp_free(p->server);
		free(p);
		return NULL;
	}
	client_limits_bind(evhttp_bound_socket_get_fd(bound));
	return p;
}

void job_peer_destroy(struct job_peer *p)
{
	if (!p)
		return;
	for (int i = 0; i < CONNECTIONS_MAX; i++)
		http_conn_free(p->calls[i].conn);
	evhttp_free(p->server);
	free(p);
}
