#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "buffer.h"
#include "clock.h"
#include "rng.h"
#include "support-control.h"
#include "support-journal.h"
#include "support-runner.h"
#include "support-wire.h"

#define DEFAULT_WORK_US 20000

struct runner {
	char id[64];
	struct runner_set *set;
	struct evconnlistener *listener;
	struct sockaddr_storage addr;
	int addr_len;
	struct conn *conns;
	struct run *runs;
	unsigned busy_slots, connections;
	unsigned busy_slots_max, connections_max;
	uint64_t started, finished, over_slots, over_connections;
	/* Injected faults; rates are probabilities. */
	double service_time_factor;
	double error_rate, drop_rate, truncate_rate, wrong_id_rate;
	bool hang, draining, down;
};

struct conn {
	struct runner *runner;
	struct bufferevent *bev;
	struct run *run; /* run in progress */
	bool over_limit; /* exceeds the connection limit */
	bool closing;	 /* close once the output is written */
	struct conn *next, **prev_next;
};

struct run {
	struct runner *runner;
	struct conn *conn; /* NULL once the caller disconnected */
	struct event *timer;
	struct wire_request req;
	char key[128];
	int status;
	bool hung;
	struct run *next, **prev_next;
};

static const char *const fault_fields[] = {
	"runner", "slow",     "error_rate", "drop",  "truncate", "wrong_id",
	"hang",	  "draining", "down",	    "reset", NULL,
};

struct runner_set {
	struct event_base *base;
	struct rng rng;
	struct runner *runners;
	unsigned count;
};

static bool draw_fault(struct runner *r, double rate);
static int listen_runner(struct runner *r);
static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *peer, int len, void *arg);
static void on_read(struct bufferevent *bev, void *arg);
static void on_write(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);
static void close_conn(struct conn *c);
static void handle_request(struct conn *c, struct wire_request *req);
static void reject_request(struct conn *c, struct wire_request *req,
			   const char *limit);
static void start_run(struct conn *c, struct wire_request *req);
static uint64_t service_time_us(const struct runner *r, const struct run *run);
static void on_work_done(evutil_socket_t fd, short what, void *arg);
static void free_run(struct run *run);
static void answer_run(struct run *run);
static void send_answer(struct conn *c, int status, const char *headers,
			const char *body, size_t len, size_t withheld);
static void send_status(struct conn *c);
static void stop_runner(struct runner *r);
static void release_hung(struct runner *r);
static void apply_fault(struct runner *r, const json_t *change);
static json_t *runner_stats(const struct runner *r);
static json_t *set_stats(const struct runner_set *s);

static bool draw_fault(struct runner *r, double rate)
{
	return rate > 0 && rng_unit(&r->set->rng) < rate;
}

static int listen_runner(struct runner *r)
{
	r->listener = evconnlistener_new_bind(
		r->set->base, on_accept, r,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		1024, (struct sockaddr *)&r->addr, r->addr_len);
	if (r->listener)
		return 0;
	fprintf(stderr, "%s: cannot listen\n", r->id);
	return -1;
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *peer, int len, void *arg)
{
	struct runner *r = arg;
	struct conn *c = xcalloc(1, sizeof(*c));
	int on = 1;

	(void)l;
	(void)peer;
	(void)len;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	c->runner = r;
	c->bev =
		bufferevent_socket_new(r->set->base, fd, BEV_OPT_CLOSE_ON_FREE);
	c->next = r->conns;
	c->prev_next = &r->conns;
	if (c->next)
		c->next->prev_next = &c->next;
	r->conns = c;
	if (++r->connections > r->connections_max)
		r->connections_max = r->connections;
	if (r->connections > RUNNER_CONNECTIONS_MAX) {
		c->over_limit = true;
		r->over_connections++;
		journal_event("over", "{s:s,s:s,s:i}", "runner", r->id, "limit",
			      "connections", "held", (int)r->connections);
	}
	bufferevent_setcb(c->bev, on_read, on_write, on_event, c);
	bufferevent_enable(c->bev, EV_READ | EV_WRITE);
}

/* Closes a connection. Its run continues unless it is hung. */
static void close_conn(struct conn *c)
{
	struct run *run = c->run;

	if (run)
		run->conn = NULL;
	if (run && run->hung) {
		journal_event("run-end", "{s:s,s:s,s:s,s:i,s:b}", "runner",
			      c->runner->id, "request", run->req.id, "key",
			      run->key, "status", 0, "hung", 1);
		free_run(run);
	}
	*c->prev_next = c->next;
	if (c->next)
		c->next->prev_next = c->prev_next;
	c->runner->connections--;
	bufferevent_free(c->bev);
	free(c);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	(void)bev;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
		close_conn(arg);
}

static void on_write(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;

	if (c->closing && !evbuffer_get_length(bufferevent_get_output(bev)))
		close_conn(c);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct conn *c = arg;
	struct wire_request req;
	int n;

	if (c->run || c->closing)
		return;
	n = wire_parse_request(bufferevent_get_input(bev), &req);
	if (n < 0)
		close_conn(c);
	if (n > 0)
		handle_request(c, &req);
}

static void handle_request(struct conn *c, struct wire_request *req)
{
	struct runner *r = c->runner;

	if (req->close || c->over_limit)
		c->closing = true;
	if (!strcmp(req->path, "/status")) {
		send_status(c);
	} else if (strcmp(req->path, "/run")) {
		send_answer(c, 404, "", "", 0, 0);
	} else if (c->over_limit) {
		reject_request(c, req, "connections");
	} else if (r->busy_slots >= RUNNER_SLOTS) {
		r->over_slots++;
		journal_event("over", "{s:s,s:s,s:i,s:s,s:b}", "runner", r->id,
			      "limit", "slots", "held", (int)r->busy_slots + 1,
			      "request", req->id, "draining", r->draining);
		reject_request(c, req, "slots");
	} else {
		start_run(c, req);
		return;
	}
	free(req->body);
}

static void reject_request(struct conn *c, struct wire_request *req,
			   const char *limit)
{
	char headers[256];

	snprintf(headers, sizeof(headers),
		 "X-Not-Run: true\r\nX-Request-Id: %s\r\n", req->id);
	send_answer(c, 503, headers, limit, strlen(limit), 0);
}

static uint64_t service_time_us(const struct runner *r, const struct run *run)
{
	char text[32];
	double us = DEFAULT_WORK_US;

	if (wire_find_value(run->req.body, "work_us", text, sizeof(text)) ||
	    wire_find_value(run->req.body, "X-Work-Us", text, sizeof(text)))
		us = strtod(text, NULL);
	return (uint64_t)(us * r->service_time_factor);
}

static void start_run(struct conn *c, struct wire_request *req)
{
	struct runner *r = c->runner;
	struct run *run = xcalloc(1, sizeof(*run));
	struct timeval tv;
	uint64_t us;

	run->runner = r;
	run->conn = c;
	run->req = *req;
	run->status = draw_fault(r, r->error_rate) ? 500 : 200;
	run->hung = r->hang;
	wire_find_value(req->body, "key", run->key, sizeof(run->key));
	run->next = r->runs;
	run->prev_next = &r->runs;
	if (run->next)
		run->next->prev_next = &run->next;
	r->runs = run;
	c->run = run;
	r->started++;
	if (++r->busy_slots > r->busy_slots_max)
		r->busy_slots_max = r->busy_slots;
	journal_event("run-start", "{s:s,s:s,s:s,s:s,s:i,s:i}", "runner", r->id,
		      "request", req->id, "key", run->key, "kind", req->kind,
		      "busy", (int)r->busy_slots, "connections",
		      (int)r->connections);
	us = run->status == 200 ? service_time_us(r, run) : 0;
	tv.tv_sec = (time_t)(us / 1000000);
	tv.tv_usec = (suseconds_t)(us % 1000000);
	run->timer = evtimer_new(r->set->base, on_work_done, run);
	if (!run->hung)
		evtimer_add(run->timer, &tv);
}

static void on_work_done(evutil_socket_t fd, short what, void *arg)
{
	struct run *run = arg;
	struct runner *r = run->runner;
	struct conn *c = run->conn;

	(void)fd;
	(void)what;
	r->finished++;
	journal_event("run-end", "{s:s,s:s,s:s,s:i,s:b}", "runner", r->id,
		      "request", run->req.id, "key", run->key, "status",
		      run->status, "caller_gone", c == NULL);
	if (c) {
		c->run = NULL;
		answer_run(run);
	}
	/* The output is sent in a later callback, when the slot is free. */
	free_run(run);
}

static void free_run(struct run *run)
{
	run->runner->busy_slots--;
	*run->prev_next = run->next;
	if (run->next)
		run->next->prev_next = run->prev_next;
	event_free(run->timer);
	free(run->req.body);
	free(run);
}

/* Answers a run, applying the faults that alter answers. */
static void answer_run(struct run *run)
{
	struct runner *r = run->runner;
	struct conn *c = run->conn;
	bool wrong = draw_fault(r, r->wrong_id_rate);
	struct buffer body = BUFFER_INIT;
	char headers[256], text[32];
	size_t min_bytes = 0, withheld = 0;

	if (draw_fault(r, r->drop_rate)) {
		journal_event("answer-dropped", "{s:s,s:s}", "runner", r->id,
			      "request", run->req.id);
		close_conn(c);
		return;
	}
	if (wire_find_value(run->req.body, "answer_bytes", text, sizeof(text)))
		min_bytes = strtoul(text, NULL, 10);
	buffer_printf(&body, "key=%s request=%s runner=%s ", run->key,
		      wrong ? "another" : run->req.id, r->id);
	while (body.len + 4 < min_bytes && body.len < WIRE_BODY_MAX)
		buffer_append(&body, ".", 1);
	buffer_append_str(&body, " end");
	if (draw_fault(r, r->truncate_rate))
		withheld = body.len / 2 + 1;
	snprintf(headers, sizeof(headers), "X-Request-Id: %s%s\r\n",
		 run->req.id, wrong ? "-another" : "");
	send_answer(c, run->status, headers, body.data, body.len, withheld);
	buffer_free(&body);
}

/* Sends an answer without its last withheld bytes; if any, closes after it. */
static void send_answer(struct conn *c, int status, const char *headers,
			const char *body, size_t len, size_t withheld)
{
	struct evbuffer *out = bufferevent_get_output(c->bev);
	struct evbuffer *in = bufferevent_get_input(c->bev);

	if (withheld)
		c->closing = true;
	evbuffer_add_printf(out,
			    "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n%s\r\n",
			    status, status == 200 ? "OK" : "Error", headers,
			    len, c->closing ? "Connection: close\r\n" : "");
	evbuffer_add(out, body, len - withheld);
	/* Handle a request already buffered in the next loop iteration. */
	if (!c->closing && evbuffer_get_length(in))
		bufferevent_trigger(c->bev, EV_READ, BEV_TRIG_DEFER_CALLBACKS);
}

static void send_status(struct conn *c)
{
	const struct runner *r = c->runner;
	char text[128];
	int len;

	len = snprintf(text, sizeof(text),
		       "{\"slots\":%d,\"busy\":%u,\"connections\":%u,"
		       "\"draining\":%s}",
		       RUNNER_SLOTS, r->busy_slots, r->connections,
		       r->draining ? "true" : "false");
	send_answer(c, 200, "Content-Type: application/json\r\n", text,
		    (size_t)len, 0);
}

/* Simulates a VM crash: refuses connections and drops all runs. */
static void stop_runner(struct runner *r)
{
	if (r->listener)
		evconnlistener_free(r->listener);
	r->listener = NULL;
	while (r->conns)
		close_conn(r->conns);
	while (r->runs) {
		journal_event("run-killed", "{s:s,s:s,s:s}", "runner", r->id,
			      "request", r->runs->req.id, "key", r->runs->key);
		free_run(r->runs);
	}
}

/* Completes the hung runs once the fault is cleared. */
static void release_hung(struct runner *r)
{
	const struct timeval now = { 0, 0 };

	for (struct run *run = r->runs; run; run = run->next) {
		if (!run->hung)
			continue;
		run->hung = false;
		evtimer_add(run->timer, &now);
	}
}

static void apply_fault(struct runner *r, const json_t *change)
{
	bool was_down = r->down, was_draining = r->draining;

	if (control_reset_requested(change)) {
		r->service_time_factor = 1;
		r->error_rate = r->drop_rate = 0;
		r->truncate_rate = r->wrong_id_rate = 0;
		r->hang = r->draining = r->down = false;
	}
	control_read_number(change, "slow", &r->service_time_factor);
	control_read_number(change, "error_rate", &r->error_rate);
	control_read_number(change, "drop", &r->drop_rate);
	control_read_number(change, "truncate", &r->truncate_rate);
	control_read_number(change, "wrong_id", &r->wrong_id_rate);
	control_read_bool(change, "hang", &r->hang);
	control_read_bool(change, "draining", &r->draining);
	control_read_bool(change, "down", &r->down);
	if (r->draining != was_draining)
		journal_event("draining", "{s:s,s:b}", "runner", r->id,
			      "draining", r->draining);
	if (r->down && !was_down)
		stop_runner(r);
	if (!r->down && was_down)
		listen_runner(r);
	if (!r->hang)
		release_hung(r);
}

static json_t *runner_stats(const struct runner *r)
{
	return json_pack(
		"{s:s,s:i,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:b}", "id", r->id,
		"busy", (int)r->busy_slots, "busy_max", (int)r->busy_slots_max,
		"connections", (int)r->connections, "connections_max",
		(int)r->connections_max, "started", (json_int_t)r->started,
		"finished", (json_int_t)r->finished, "over_slots",
		(json_int_t)r->over_slots, "over_connections",
		(json_int_t)r->over_connections, "down", r->down);
}

static json_t *set_stats(const struct runner_set *s)
{
	json_t *list = json_array();

	for (unsigned i = 0; i < s->count; i++)
		json_array_append_new(list, runner_stats(&s->runners[i]));
	return list;
}

json_t *runner_set_control(void *set, const char *path, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "runner"));
	struct runner_set *s = set;
	unsigned matched = 0;

	if (!strcmp(path, "/v1/stats"))
		return set_stats(s);
	if (strcmp(path, "/v1/fault") || !body ||
	    !control_fields_known(body, fault_fields))
		return NULL;
	journal_event("fault", "{s:O}", "change", body);
	for (unsigned i = 0; i < s->count; i++) {
		struct runner *r = &s->runners[i];

		if (id && strcmp(id, "*") && strcmp(id, r->id))
			continue;
		apply_fault(r, body);
		matched++;
	}
	return matched ? json_pack("{s:i}", "runners", (int)matched) : NULL;
}

struct runner_set *runner_set_create(struct event_base *base, uint64_t seed)
{
	struct runner_set *s = xcalloc(1, sizeof(*s));

	s->base = base;
	s->rng.state = seed;
	return s;
}

void runner_set_free(struct runner_set *s)
{
	for (unsigned i = 0; i < s->count; i++)
		stop_runner(&s->runners[i]);
	free(s->runners);
	free(s);
}

int runner_set_listen(struct runner_set *s, const char *listen, unsigned count,
		      const char *prefix)
{
	struct sockaddr_storage addr;
	uint16_t port;
	int len;

	if (wire_parse_address(listen, &addr, &len) < 0)
		return -1;
	port = ntohs(((struct sockaddr_in *)&addr)->sin_port);
	s->runners = xcalloc(count, sizeof(*s->runners));
	for (; s->count < count; s->count++) {
		struct runner *r = &s->runners[s->count];

		snprintf(r->id, sizeof(r->id), "%s%u", prefix, s->count);
		r->set = s;
		r->service_time_factor = 1;
		r->addr = addr;
		r->addr_len = len;
		((struct sockaddr_in *)&r->addr)->sin_port =
			htons((uint16_t)(port + s->count));
		if (listen_runner(r) < 0)
			return -1;
	}
	return 0;
}
