#include <stdlib.h>
#include <string.h>

#include "relay-wire.h"

#define RUN_ELEMENTS 5u
#define END_ELEMENTS 5u
#define TEXT_MAX_BYTES (64u * 1024u)

/* ---- encoding ---- */

/* Includes the NUL, so that the receiver can use the text in place. */
static void put_text(struct message_writer *w, const char *text)
{
	message_put_bin(w, text, strlen(text) + 1);
}

static void put_call(struct message_writer *w, const struct relay_call *c)
{
	message_put_uint(w, c->worker);
	message_put_uint(w, c->lane);
	message_put_uint(w, c->seq);
	message_put_uint(w, c->deadline_us);
}

static void put_hello(struct message_writer *w, const struct relay_hello *h)
{
	message_put_uint(w, h->version);
	put_text(w, h->vm);
	put_text(w, h->zone);
	message_put_uint(w, h->cpu_milli);
	message_put_uint(w, h->clock_us);
}

static void put_worker(struct message_writer *w, const struct relay_worker *r)
{
	message_put_uint(w, r->worker);
	put_text(w, r->id);
	put_text(w, r->host);
	message_put_uint(w, r->port);
	put_text(w, r->zone);
}

static void put_poll(struct message_writer *w, const struct worker_poll *q)
{
	message_put_uint(w, q->fencing_token);
	message_put_uint(w, q->lease_until_ms);
	message_put_uint(w, q->acknowledged_seq);
	message_put_uint(w, q->wait_ms);
}

static void put_order(struct message_writer *w, const struct relay_order *r)
{
	const struct sched_order *o = &r->order;
	bool start = o->type == SCHED_START;

	message_put_uint(w, r->fencing_token);
	message_put_uint(w, r->lease_until_ms);
	message_put_uint(w, o->type);
	put_text(w, o->task);
	message_put_uint(w, o->run);
	put_text(w, start ? o->text : "");
	put_text(w, start ? o->checkpoint : "");
	message_put_uint(w, o->cpu_percent);
}

static void put_report(struct message_writer *w, const struct sched_report *r)
{
	message_put_uint(w, r->started_wall_ms);
	message_put_uint(w, r->ended_truncated);
	message_put_array(w, (uint32_t)(r->running_count * RUN_ELEMENTS));
	for (size_t i = 0; i < r->running_count; i++) {
		put_text(w, r->running[i].task);
		message_put_uint(w, r->running[i].run);
		put_text(w, r->running[i].checkpoint);
		message_put_uint(w, r->running[i].progress_percent);
		message_put_uint(w, r->running[i].metric);
	}
	message_put_array(w, (uint32_t)(r->ended_count * END_ELEMENTS));
	for (size_t i = 0; i < r->ended_count; i++) {
		message_put_uint(w, r->ended[i].seq);
		put_text(w, r->ended[i].task);
		message_put_uint(w, r->ended[i].run);
		message_put_uint(w, r->ended[i].reason);
		put_text(w, r->ended[i].checkpoint);
	}
}

static void put_response(struct message_writer *w,
			 const struct worker_response *a)
{
	message_put_uint(w, a->outcome);
	message_put_uint(w, a->result);
	message_put_uint(w, a->clock_ms);
	put_report(w, &a->report);
}

void relay_encode(const struct relay_message *m, struct message_writer *w)
{
	static const uint32_t counts[] = {
		[RELAY_HELLO] = 6, [RELAY_PING] = 2,   [RELAY_WORKER] = 6,
		[RELAY_POLL] = 9,  [RELAY_ORDER] = 13, [RELAY_RESPONSE] = 12,
	};

	message_writer_init(w, counts[m->type]);
	message_put_uint(w, m->type);
	switch (m->type) {
	case RELAY_HELLO:
		put_hello(w, &m->u.hello);
		break;
	case RELAY_PING:
		message_put_uint(w, m->u.clock_us);
		break;
	case RELAY_WORKER:
		put_worker(w, &m->u.worker);
		break;
	case RELAY_POLL:
		put_call(w, &m->call);
		put_poll(w, &m->u.poll);
		break;
	case RELAY_ORDER:
		put_call(w, &m->call);
		put_order(w, &m->u.order);
		break;
	case RELAY_RESPONSE:
		put_call(w, &m->call);
		put_response(w, &m->u.response);
		break;
	}
}

/* ---- decoding ---- */

/* Reads an integer up to max. */
static uint32_t get_uint(struct message_reader *r, uint32_t max)
{
	uint64_t n = message_get_uint(r);

	if (n <= max)
		return (uint32_t)n;
	r->malformed = true;
	return 0;
}

/* Returns a text of up to size bytes, NUL included, in the message. */
static const char *get_text(struct message_reader *r, size_t size)
{
	size_t len;
	const char *text = message_get_bin(r, &len);

	if (len && len <= size && memchr(text, '\0', len) == text + len - 1)
		return text;
	r->malformed = true;
	return "";
}

static void get_call(struct message_reader *r, struct relay_call *c)
{
	c->worker = get_uint(r, SCHED_NONE - 1);
	c->lane = get_uint(r, RELAY_LANES - 1);
	c->seq = get_uint(r, UINT32_MAX);
	c->deadline_us = message_get_uint(r);
}

static void get_hello(struct message_reader *r, struct relay_hello *h)
{
	h->version = get_uint(r, UINT32_MAX);
	h->vm = get_text(r, JOB_NAME_BYTES);
	h->zone = get_text(r, JOB_NAME_BYTES);
	h->cpu_milli = get_uint(r, UINT32_MAX);
	h->clock_us = message_get_uint(r);
}

static void get_worker(struct message_reader *r, struct relay_worker *w)
{
	w->worker = get_uint(r, SCHED_NONE - 1);
	w->id = get_text(r, JOB_NAME_BYTES);
	w->host = get_text(r, sizeof(((struct settings_address *)0)->host));
	w->port = get_uint(r, UINT16_MAX);
	/* Owners of earlier builds do not send it. */
	w->zone = message_at_end(r) ? "" : get_text(r, JOB_NAME_BYTES);
}

static void get_poll(struct message_reader *r, struct worker_poll *q)
{
	q->fencing_token = message_get_uint(r);
	q->lease_until_ms = message_get_uint(r);
	q->acknowledged_seq = message_get_uint(r);
	q->wait_ms = get_uint(r, UINT32_MAX);
}

static void get_order(struct message_reader *r, struct relay_order *out)
{
	struct sched_order *o = &out->order;

	out->fencing_token = message_get_uint(r);
	out->lease_until_ms = message_get_uint(r);
	o->type = (enum sched_order_type)get_uint(r, SCHED_THROTTLE);
	strcpy(o->task, get_text(r, sizeof(o->task)));
	o->run = get_uint(r, UINT32_MAX);
	o->text = get_text(r, TEXT_MAX_BYTES);
	o->checkpoint = get_text(r, TEXT_MAX_BYTES);
	o->cpu_percent = get_uint(r, UINT32_MAX);
}

static void get_runs(struct message_reader *r, struct relay_message *m,
		     struct sched_report *out)
{
	struct message_reader list = message_get_array(r);

	m->running =
		xcalloc(list.count / RUN_ELEMENTS + 1, sizeof(*m->running));
	out->running = m->running;
	for (uint32_t n = list.count / RUN_ELEMENTS; n--;) {
		struct sched_run *run = &m->running[out->running_count++];

		run->task = get_text(&list, SCHED_TASK_NAME_BYTES);
		run->run = get_uint(&list, UINT32_MAX);
		run->checkpoint = get_text(&list, TEXT_MAX_BYTES);
		run->progress_percent = get_uint(&list, UINT32_MAX);
		run->metric = get_uint(&list, UINT32_MAX);
	}
	r->malformed = r->malformed || list.malformed || !message_at_end(&list);
}

static void get_ends(struct message_reader *r, struct relay_message *m,
		     struct sched_report *out)
{
	struct message_reader list = message_get_array(r);

	m->ended = xcalloc(list.count / END_ELEMENTS + 1, sizeof(*m->ended));
	out->ended = m->ended;
	for (uint32_t n = list.count / END_ELEMENTS; n--;) {
		struct sched_run_end *e = &m->ended[out->ended_count++];

		e->seq = message_get_uint(&list);
		e->task = get_text(&list, SCHED_TASK_NAME_BYTES);
		e->run = get_uint(&list, UINT32_MAX);
		e->reason = (enum sched_end)get_uint(&list,
						     SCHED_END_GANG_INCOMPLETE);
		e->checkpoint = get_text(&list, TEXT_MAX_BYTES);
	}
	r->malformed = r->malformed || list.malformed || !message_at_end(&list);
}

static void get_response(struct message_reader *r, struct relay_message *m)
{
	struct worker_response *a = &m->u.response;

	a->outcome = (enum worker_outcome)get_uint(r, WORKER_PATH_LOST);
	a->result = (enum sched_result)get_uint(r, SCHED_OUTCOME_UNKNOWN);
	a->clock_ms = message_get_uint(r);
	a->report.started_wall_ms = message_get_uint(r);
	a->report.ended_truncated = get_uint(r, 1);
	get_runs(r, m, &a->report);
	get_ends(r, m, &a->report);
}

int relay_decode(struct relay_message *m, const void *data, size_t len,
		 struct error *err)
{
	struct message_reader *r = &m->reader;

	memset(m, 0, sizeof(*m));
	message_reader_init(r, data, len);
	m->type = (enum relay_message_type)get_uint(r, RELAY_RESPONSE);
	if (m->type >= RELAY_POLL)
		get_call(r, &m->call);
	switch (m->type) {
	case RELAY_HELLO:
		get_hello(r, &m->u.hello);
		break;
	case RELAY_PING:
		m->u.clock_us = message_get_uint(r);
		break;
	case RELAY_WORKER:
		get_worker(r, &m->u.worker);
		break;
	case RELAY_POLL:
		get_poll(r, &m->u.poll);
		break;
	case RELAY_ORDER:
		get_order(r, &m->u.order);
		break;
	case RELAY_RESPONSE:
		get_response(r, m);
		break;
	default:
		r->malformed = true;
		break;
	}
	if (!r->malformed)
		return 0;
	relay_message_free(m);
	return error_set(err, ERROR_LAYER_PEERS, RELAY_WIRE_INVALID,
			 "malformed relay message of %zu bytes", len);
}

void relay_message_free(struct relay_message *m)
{
	message_reader_free(&m->reader);
	free(m->running);
	free(m->ended);
	memset(m, 0, sizeof(*m));
}
