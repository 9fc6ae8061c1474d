#include <event2/buffer.h>
#include <event2/http.h>
#include <stdio.h>
#include <stdlib.h>

#include "buffer.h"
#include "client-limits.h"
#include "counter.h"
#include "job-node.h"
#include "latency.h"

/* Requests have no body. */
#define BODY_MAX_BYTES 1024

struct job_metrics {
	struct job_node *node;
	struct evhttp *server;
};

/* Of the queues in force; 0 unless this is the owner. */
static void update_queue_gauges(const struct job_node *n, const struct sched *s)
{
	char label[JOB_NAME_BYTES + 32];

	for (size_t i = 0; n->config && i < n->config->queue_count; i++) {
		const struct queue_policy *q = &n->config->queues[i].policy;

		snprintf(label, sizeof(label), "queue=\"%s\"", q->name);
		counter_set(counter_get(GAUGE, "waxwing_queue_wait_ms", label),
			    s ? sched_expected_wait_ms(s, q->name) : 0);
		snprintf(label, sizeof(label), "priority=\"%u\"", q->priority);
		counter_set(counter_get(GAUGE,
					"waxwing_priority_rate_millicores",
					label),
			    s ? sched_rate_milli(s, q->priority) : 0);
	}
}

static void update_gauges(struct job_node *n)
{
	struct sched *s = job_owner_sched(n->owner);
	struct sched_stats st = { 0 };

	if (s)
		sched_stats(s, &st);
	counter_set(counter_get(GAUGE, "waxwing_job_owner", NULL), s != NULL);
	counter_set(counter_get(GAUGE, "waxwing_jobs_open", NULL),
		    st.jobs_open);
	counter_set(counter_get(GAUGE, "waxwing_tasks_waiting", NULL),
		    st.tasks_waiting);
	counter_set(counter_get(GAUGE, "waxwing_tasks_running", NULL),
		    st.tasks_running);
	counter_set(counter_get(GAUGE, "waxwing_tasks_held", NULL),
		    st.tasks_held);
	counter_set(counter_get(GAUGE, "waxwing_jobs_pending", NULL),
		    st.jobs_pending);
	counter_set(counter_get(GAUGE, "waxwing_jobs_bytes", NULL),
		    (long long)st.jobs_bytes);
	counter_set(counter_get(GAUGE, "waxwing_workers_reporting", NULL),
		    st.workers_reporting);
	counter_set(counter_get(GAUGE, "waxwing_jobs_moved_back", NULL),
		    st.jobs_moved_back);
	counter_set(counter_get(COUNTER, "waxwing_jobs_moved_back_total", NULL),
		    (long long)st.moves_back);
	update_queue_gauges(n, s);
	counter_set(counter_get(GAUGE, "waxwing_workers_slow", NULL),
		    st.workers_slow);
	counter_set(counter_get(GAUGE, "waxwing_job_config_version", NULL),
		    n->config ? (long long)n->config->version : 0);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct job_metrics *m = arg;
	struct evbuffer *out = evbuffer_new();
	struct buffer b = BUFFER_INIT;

	client_limits_begin_request(m->node->clients, req);
	update_gauges(m->node);
	counter_expose(&b);
	latency_expose(&b);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "text/plain; version=0.0.4");
	evbuffer_add(out, b.data, b.len);
	evhttp_send_reply(req, 200, NULL, out);
	evbuffer_free(out);
	buffer_free(&b);
}

struct job_metrics *job_metrics_create(struct job_node *n, struct error *err)
{
	const struct settings_address *a = &n->settings->jobs.metrics;
	struct job_metrics *m = xcalloc(1, sizeof(*m));
	struct evhttp_bound_socket *bound;

	m->node = n;
	m->server = evhttp_new(n->base);
	evhttp_set_allowed_methods(m->server, EVHTTP_REQ_GET);
	evhttp_set_gencb(m->server, on_request, m);
	client_limits_attach(n->clients, CLIENTS_METRICS, m->server,
			     BODY_MAX_BYTES, NULL, NULL);
	if (!a->port)
		return m;
	bound = evhttp_bind_socket_with_handle(m->server, a->host, a->port);
	if (bound) {
		client_limits_bind(evhttp_bound_socket_get_fd(bound));
		return m;
	}
	error_set(err, ERROR_LAYER_CORE, 1, "cannot listen on %s:%u", a->host,
		  a->port);
	job_metrics_destroy(m);
	return NULL;
}

void job_metrics_destroy(struct job_metrics *m)
{
	if (!m)
		return;
	evhttp_free(m->server);
	free(m);
}
