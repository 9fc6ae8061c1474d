#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#include "buffer.h"
#include "clock.h"
#include "support-journal.h"
#include "support-load.h"
#include "support-wire.h"

/* A caller waits this long for an answer after the deadline. */
#define ANSWER_GRACE_US 2000000u
#define DRAIN_MAX_US 35000000u

struct load_connection {
	struct evhttp_connection *http;
	struct event_base *base;
	struct load_entry *entry;
	struct load_connection *next;
};

struct load_call {
	struct load_mix *mix;
	struct load_connection *connection;
	struct event *retry_timer;
	uint64_t request_number, due_us, begin_us, begin_wall_us;
	unsigned entry, attempt;
	uint32_t work_us;
	bool duplicate; /* second request with the same key */
	char key[96];
	struct evhttp_request *req;
};

static void schedule_next_arrival(struct load_mix *m);
static void on_arrival(evutil_socket_t fd, short what, void *arg);
static unsigned pick_entry(struct load_mix *m);
static unsigned next_entry(const struct load *l, unsigned first);
static struct load_call *create_call(struct load_mix *m, const char *key);
static void send_call(struct load_call *c);
static struct load_connection *acquire_connection(struct load *l,
						  struct load_entry *e);
static void release_connection(struct load_connection *link, bool usable);
static void on_free_connection(evutil_socket_t fd, short what, void *arg);
static void add_headers(struct load_call *c, struct evkeyvalq *headers);
static void on_response(struct evhttp_request *req, void *arg);
static void complete_attempt(struct load_call *c, enum load_outcome outcome,
			     int status, const char *reason, const char *id,
			     bool answer_valid);
static bool may_retry(const struct load_call *c, enum load_outcome outcome,
		      int status);
static void on_retry(evutil_socket_t fd, short what, void *arg);
static bool check_body(const struct load_call *c, struct evbuffer *in);
static void add_sample(struct load_samples *s, uint64_t us);
static int compare_us(const void *a, const void *b);
static void sort_samples(struct load_samples *s);
static uint32_t percentile(const struct load_samples *s, double p);
static void print_line(const struct load_mix *m);
static json_t *mix_json(const struct load_mix *m);
static void set_timeval(struct timeval *tv, uint64_t us);
static void on_wait_end(evutil_socket_t fd, short what, void *arg);

static const char *const outcome_names[] = { "done", "not-run", "unknown" };

struct load *load_create(uint64_t seed, const char *key_prefix)
{
	struct load *l = xcalloc(1, sizeof(*l));

	l->base = wire_event_base();
	l->seed = seed;
	snprintf(l->key_prefix, sizeof(l->key_prefix), "%s", key_prefix);
	return l;
}

void load_free(struct load *l)
{
	for (unsigned i = 0; i < l->entry_count; i++) {
		struct load_connection *link;

		while ((link = l->entries[i].idle)) {
			l->entries[i].idle = link->next;
			evhttp_connection_free(link->http);
			free(link);
		}
	}
	for (unsigned i = 0; i < l->mix_count; i++) {
		if (l->mix[i].timer)
			event_free(l->mix[i].timer);
		free(l->mix[i].latency.us);
		free(l->mix[i].refusals.us);
	}
	event_base_free(l->base);
	free(l);
}

int load_add_entry(struct load *l, const char *address)
{
	struct load_entry *e = &l->entries[l->entry_count];
	struct sockaddr_storage addr;
	const char *colon = strrchr(address, ':');
	int len;

	if (wire_parse_address(address, &addr, &len) < 0)
		return -1;
	snprintf(e->host, sizeof(e->host), "%.*s", (int)(colon - address),
		 address);
	e->port = (uint16_t)strtoul(colon + 1, NULL, 10);
	l->entry_count++;
	return 0;
}

static void set_timeval(struct timeval *tv, uint64_t us)
{
	tv->tv_sec = (time_t)(us / 1000000);
	tv->tv_usec = (suseconds_t)(us % 1000000);
}

/*
 * Draws the next arrival from the time the last one was due, not from now: the
 * load is open-loop.
 */
static void schedule_next_arrival(struct load_mix *m)
{
	uint64_t now = clock_now_us();
	struct timeval tv;

	m->due_us += (uint64_t)(-log(1 - rng_unit(&m->rng)) / m->rate * 1e6);
	if (m->due_us >= m->load->end_us ||
	    (m->stop_s > 0 &&
	     m->due_us >= m->load->begin_us + (uint64_t)(m->stop_s * 1e6)))
		return;
	set_timeval(&tv, m->due_us > now ? m->due_us - now : 0);
	evtimer_add(m->timer, &tv);
}

static void on_arrival(evutil_socket_t fd, short what, void *arg)
{
	struct load_mix *m = arg;
	struct load_call *c = create_call(m, NULL), *other;

	(void)fd;
	(void)what;
	if (m->load->entry_count > 1 && m->duplicate_percent &&
	    rng_below(&m->rng, 100) < m->duplicate_percent) {
		other = create_call(m, c->key);
		other->duplicate = true;
		other->work_us = c->work_us;
		other->entry = next_entry(
			m->load, (c->entry + 1) % m->load->entry_count);
		send_call(other);
	}
	send_call(c);
	schedule_next_arrival(m);
}

/* Picks a random entry VM, or the next one that is not avoided. */
static unsigned pick_entry(struct load_mix *m)
{
	struct load *l = m->load;
	unsigned first = rng_below(&m->rng, l->entry_count);

	return next_entry(l, first);
}

static unsigned next_entry(const struct load *l, unsigned first)
{
	uint64_t now = clock_now_us();

	for (unsigned i = 0; i < l->entry_count; i++) {
		unsigned entry = (first + i) % l->entry_count;

		if (l->entries[entry].avoid_until_us <= now)
			return entry;
	}
	return first;
}

static struct load_call *create_call(struct load_mix *m, const char *key)
{
	struct load_call *c = xcalloc(1, sizeof(*c));
	struct load *l = m->load;
	uint32_t spread = m->work_us * m->work_spread / 100;

	c->mix = m;
	c->request_number = ++l->last_request_number;
	c->due_us = m->due_us;
	c->entry = pick_entry(m);
	c->work_us = m->work_us;
	if (spread)
		c->work_us += rng_below(&m->rng, 2 * spread) - spread;
	if (key)
		snprintf(c->key, sizeof(c->key), "%s", key);
	else
		snprintf(c->key, sizeof(c->key), "%s-%llu", l->key_prefix,
			 (unsigned long long)c->request_number);
	m->sent++;
	l->in_flight++;
	return c;
}

static struct load_connection *acquire_connection(struct load *l,
						  struct load_entry *e)
{
	struct load_connection *link = e->idle;

	if (link) {
		e->idle = link->next;
		e->idle_count--;
		return link;
	}
	link = xcalloc(1, sizeof(*link));
	link->entry = e;
	link->base = l->base;
	link->http =
		evhttp_connection_base_new(l->base, NULL, e->host, e->port);
	return link;
}

static void release_connection(struct load_connection *link, bool usable)
{
	const struct timeval now = { 0, 0 };
	struct load_entry *e = link->entry;

	if (usable && e->idle_count < LOAD_IDLE_CONNECTIONS_MAX) {
		link->next = e->idle;
		e->idle = link;
		e->idle_count++;
		return;
	}
	/* libevent still uses the connection after this callback returns. */
	event_base_once(link->base, -1, EV_TIMEOUT, on_free_connection, link,
			&now);
}

static void on_free_connection(evutil_socket_t fd, short what, void *arg)
{
	struct load_connection *link = arg;

	(void)fd;
	(void)what;
	evhttp_connection_free(link->http);
	free(link);
}

static void add_headers(struct load_call *c, struct evkeyvalq *headers)
{
	const struct load_mix *m = c->mix;
	char text[32];

	snprintf(text, sizeof(text), "%u", m->deadline_ms);
	evhttp_add_header(headers, "Host", c->connection->entry->host);
	evhttp_add_header(headers, "Waxwing-User", m->user);
	evhttp_add_header(headers, "Waxwing-Kind", m->kind);
	evhttp_add_header(headers, "Waxwing-Deadline-Ms", text);
	if (m->team[0])
		evhttp_add_header(headers, "Waxwing-Team", m->team);
	if (m->urgency[0])
		evhttp_add_header(headers, "Waxwing-Urgency", m->urgency);
	evhttp_add_header(headers, "Waxwing-Idempotent",
			  m->idempotent ? "yes" : "no");
	if (!m->idempotent)
		evhttp_add_header(headers, "Idempotency-Key", c->key);
}

static void send_call(struct load_call *c)
{
	struct load_mix *m = c->mix;
	struct load *l = m->load;
	struct evhttp_request *req = evhttp_request_new(on_response, c);
	struct evbuffer *out = evhttp_request_get_output_buffer(req);
	struct timeval tv;
	size_t len;

	c->connection = acquire_connection(l, &l->entries[c->entry]);
	c->begin_us = clock_now_us();
	c->begin_wall_us = clock_wall_us();
	c->req = req;
	add_headers(c, evhttp_request_get_output_headers(req));
	evbuffer_add_printf(out, "key=%s idem=%s work_us=%u answer_bytes=%u",
			    c->key, m->idempotent ? "yes" : "no", c->work_us,
			    m->answer_bytes);
	len = evbuffer_get_length(out);
	if (len + 5 < m->body_bytes)
		evbuffer_add_printf(out, " pad=%0*d",
				    (int)(m->body_bytes - len - 5), 0);
	journal_event("sent", "{s:I,s:s,s:s,s:b,s:i,s:i}", "request",
		      (json_int_t)c->request_number, "key", c->key, "kind",
		      m->kind, "idempotent", m->idempotent, "entry",
		      (int)c->entry, "attempt", (int)c->attempt);
	set_timeval(&tv, (uint64_t)m->deadline_ms * 1000 + ANSWER_GRACE_US);
	evhttp_connection_set_timeout_tv(c->connection->http, &tv);
	evhttp_make_request(c->connection->http, req, EVHTTP_REQ_POST,
			    "/v1/requests");
}

/* Checks that the body names the request's key and is not truncated. */
static bool check_body(const struct load_call *c, struct evbuffer *in)
{
	size_t len = evbuffer_get_length(in);
	char *text = xcalloc(1, len + 1), key[96];
	bool valid;

	evbuffer_copyout(in, text, len);
	valid = len >= 4 && !strcmp(text + len - 4, " end") &&
		len >= c->mix->answer_bytes &&
		wire_find_value(text, "key", key, sizeof(key)) &&
		!strcmp(key, c->key);
	free(text);
	return valid;
}

static void on_response(struct evhttp_request *req, void *arg)
{
	struct load_call *c = arg;
	enum load_outcome outcome = LOAD_UNKNOWN;
	const char *text = NULL, *reason = NULL, *id = NULL, *close = NULL;
	struct evkeyvalq *headers;
	int status = 0;
	bool answer_valid = false;

	if (req && evhttp_request_get_response_code(req)) {
		headers = evhttp_request_get_input_headers(req);
		status = evhttp_request_get_response_code(req);
		text = evhttp_find_header(headers, "Waxwing-Outcome");
		reason = evhttp_find_header(headers, "Waxwing-Reason");
		id = evhttp_find_header(headers, "Waxwing-Request-Id");
		close = evhttp_find_header(headers, "Connection");
	}
	if (text && !strcmp(text, "done"))
		outcome = LOAD_DONE;
	else if (text && !strcmp(text, "not-run"))
		outcome = LOAD_NOT_RUN;
	if (outcome == LOAD_DONE)
		answer_valid =
			check_body(c, evhttp_request_get_input_buffer(req));
	if (!status || (reason && !strcmp(reason, "draining")))
		c->connection->entry->avoid_until_us =
			clock_now_us() + LOAD_AVOID_US;
	release_connection(c->connection,
			   status && (!close || strcasecmp(close, "close")));
	c->connection = NULL;
	complete_attempt(c, outcome, status, reason, id, answer_valid);
}

static bool may_retry(const struct load_call *c, enum load_outcome outcome,
		      int status)
{
	if (c->attempt >= c->mix->retries || outcome == LOAD_DONE)
		return false;
	return status == 0 || status >= 500;
}

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	struct load_call *c = arg;

	(void)fd;
	(void)what;
	event_free(c->retry_timer);
	c->retry_timer = NULL;
	send_call(c);
}

/* Records the result of an attempt; schedules a retry or ends the call. */
static void complete_attempt(struct load_call *c, enum load_outcome outcome,
			     int status, const char *reason, const char *id,
			     bool answer_valid)
{
	struct load_mix *m = c->mix;
	uint64_t now = clock_now_us();
	struct timeval tv;

	journal_event("answer",
		      "{s:I,s:s,s:s,s:b,s:i,s:i,s:s,s:i,s:s?,s:s?,"
		      "s:b,s:I,s:I}",
		      "request", (json_int_t)c->request_number, "key", c->key,
		      "kind", m->kind, "idempotent", m->idempotent, "entry",
		      (int)c->entry, "attempt", (int)c->attempt, "outcome",
		      outcome_names[outcome], "status", status, "reason",
		      reason, "id", id, "good", answer_valid, "begun_us",
		      (json_int_t)c->begin_wall_us, "latency_us",
		      (json_int_t)(now - c->due_us));
	m->answered += status != 0;
	if (may_retry(c, outcome, status)) {
		m->retried++;
		c->attempt++;
		c->entry = next_entry(m->load,
				      (c->entry + 1) % m->load->entry_count);
		c->retry_timer = evtimer_new(m->load->base, on_retry, c);
		set_timeval(&tv, (uint64_t)m->retry_ms * 1000);
		evtimer_add(c->retry_timer, &tv);
		return;
	}
	m->outcomes[outcome]++;
	if (outcome == LOAD_DONE) {
		m->bad_answers += !answer_valid && status == 200;
		m->late_answers +=
			now - c->due_us > (uint64_t)m->deadline_ms * 1000;
		add_sample(&m->latency, now - c->due_us);
	} else if (outcome == LOAD_NOT_RUN) {
		add_sample(&m->refusals, now - c->begin_us);
	}
	free(c);
	if (--m->load->in_flight == 0 && !m->load->sending)
		event_base_loopbreak(m->load->base);
}

static void add_sample(struct load_samples *s, uint64_t us)
{
	if (s->count == s->capacity) {
		s->capacity = s->capacity ? s->capacity * 2 : 1024;
		s->us = xrealloc(s->us, s->capacity * sizeof(*s->us));
	}
	s->us[s->count++] = us > UINT32_MAX ? UINT32_MAX : (uint32_t)us;
}

static void on_wait_end(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;

	(void)fd;
	(void)what;
	l->sending = false;
	event_base_loopbreak(l->base);
}

void load_run(struct load *l, double seconds)
{
	struct event *end = evtimer_new(l->base, on_wait_end, l);
	struct timeval tv;

	l->begin_us = clock_now_us();
	l->end_us = l->begin_us + (uint64_t)(seconds * 1e6);
	l->sending = true;
	for (unsigned i = 0; i < l->mix_count; i++) {
		struct load_mix *m = &l->mix[i];

		m->timer = evtimer_new(l->base, on_arrival, m);
		m->due_us = l->begin_us + (uint64_t)(m->start_s * 1e6);
		if (m->rate > 0)
			schedule_next_arrival(m);
	}
	set_timeval(&tv, (uint64_t)(seconds * 1e6));
	evtimer_add(end, &tv);
	event_base_loop(l->base, EVLOOP_NO_EXIT_ON_EMPTY);
	if (l->in_flight) {
		set_timeval(&tv, DRAIN_MAX_US);
		evtimer_add(end, &tv);
		event_base_loop(l->base, EVLOOP_NO_EXIT_ON_EMPTY);
	}
	event_free(end);
	for (unsigned i = 0; i < l->mix_count; i++) {
		sort_samples(&l->mix[i].latency);
		sort_samples(&l->mix[i].refusals);
	}
}

static int compare_us(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void sort_samples(struct load_samples *s)
{
	if (s->count)
		qsort(s->us, s->count, sizeof(*s->us), compare_us);
}

/* Nearest-rank percentile of sorted samples, or 0 if there are none. */
static uint32_t percentile(const struct load_samples *s, double p)
{
	size_t rank;

	if (s->count == 0)
		return 0;
	rank = (size_t)ceil(p / 100 * (double)s->count);
	return s->us[rank ? rank - 1 : 0];
}

static json_t *mix_json(const struct load_mix *m)
{
	return json_pack(
		"{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "user",
		m->user, "team", m->team, "kind", m->kind, "sent",
		(json_int_t)m->sent, "done", (json_int_t)m->outcomes[LOAD_DONE],
		"not_run", (json_int_t)m->outcomes[LOAD_NOT_RUN], "unknown",
		(json_int_t)m->outcomes[LOAD_UNKNOWN], "retried",
		(json_int_t)m->retried, "bad_answers",
		(json_int_t)m->bad_answers, "late", (json_int_t)m->late_answers,
		"p50_us", (json_int_t)percentile(&m->latency, 50), "p99_us",
		(json_int_t)percentile(&m->latency, 99), "refusal_p99_us",
		(json_int_t)percentile(&m->refusals, 99));
}

static void print_line(const struct load_mix *m)
{
	json_t *o = mix_json(m), *value;
	const char *name, *space = "";

	json_object_foreach(o, name, value)
	{
		if (json_is_string(value))
			printf("%s%s=%s", space, name,
			       json_string_value(value));
		else
			printf("%s%s=%lld", space, name,
			       (long long)json_integer_value(value));
		space = " ";
	}
	printf("\n");
	json_decref(o);
}

void load_print(const struct load *l, bool json)
{
	json_t *list = json_array();

	for (unsigned i = 0; i < l->mix_count; i++) {
		if (json)
			json_array_append_new(list, mix_json(&l->mix[i]));
		else
			print_line(&l->mix[i]);
	}
	if (json) {
		json_dumpf(list, stdout, JSON_COMPACT);
		printf("\n");
	}
	json_decref(list);
}
