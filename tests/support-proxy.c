#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "buffer.h"
#include "clock.h"
#include "support-control.h"
#include "support-journal.h"
#include "support-proxy.h"

enum direction { UP, DOWN };

/* Data or EOF received from one side and not yet forwarded. */
struct chunk {
	struct evbuffer *data; /* NULL: end of stream */
	uint64_t release_us;
	struct chunk *next;
};

struct stream {
	struct proxy_conn *conn;
	enum direction direction;
	struct bufferevent *from, *to;
	struct event *timer;
	struct chunk *first, **tail;
	size_t queued_bytes;
	uint64_t last_release_us;
	bool eof_forwarded; /* the EOF was taken from the queue */
};

struct proxy_conn {
	struct link *link;
	struct bufferevent *caller, *target;
	struct stream streams[2];
	bool connect_started;	/* connect to target was started */
	bool awaiting_response; /* request sent, no response yet */
	struct proxy_conn *next, **prev;
};

struct link {
	struct proxy *proxy;
	char name[64];
	struct evconnlistener *listener;
	struct sockaddr_storage target;
	int target_len;
	struct proxy_conn *conns;
	double delay_ms, jitter_ms, drop, lose_answer, bytes_per_s;
	bool cut[2];
	uint64_t accepted, bytes[2], lost_answers;
};

static const char *const known_fields[] = {
	"delay_ms",    "jitter_ms", "drop",  "cut", "lose_answer",
	"bytes_per_s", "close",	    "reset", NULL,
};

struct proxy {
	struct event_base *base;
	struct rng rng;
	struct link *links[PROXY_LINKS_MAX];
	unsigned link_count;
};

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *peer, int len, void *arg);
static void connect_target(struct proxy_conn *c);
static void init_stream(struct proxy_conn *c, enum direction d);
static void on_read(struct bufferevent *bev, void *arg);
static void on_event(struct bufferevent *bev, short what, void *arg);
static void enqueue(struct stream *h, struct evbuffer *data);
static uint64_t release_time(struct stream *h, size_t len);
static void schedule_release(struct stream *h);
static void on_release_timer(evutil_socket_t fd, short what, void *arg);
static bool forward_first(struct stream *h);
static bool forward_eof(struct stream *h);
static void close_conn(struct proxy_conn *c);
static void free_stream(struct stream *h);
static bool random_chance(struct proxy *p, double rate);
static void set_tcp_nodelay(struct bufferevent *bev);
static void change_link(struct link *l, const json_t *change);
static void set_cut(struct link *l, const char *cut);
static json_t *link_to_json(const struct link *l);
static bool name_matches(const char *pattern, const char *name);
static void free_link(struct link *l);

struct proxy *proxy_create(struct event_base *base, uint64_t seed)
{
	struct proxy *p = xcalloc(1, sizeof(*p));

	p->base = base;
	p->rng.state = seed;
	return p;
}

static void free_link(struct link *l)
{
	while (l->conns)
		close_conn(l->conns);
	if (l->listener)
		evconnlistener_free(l->listener);
	free(l);
}

void proxy_destroy(struct proxy *p)
{
	for (unsigned i = 0; i < p->link_count; i++)
		free_link(p->links[i]);
	free(p);
}

int proxy_add_link(struct proxy *p, const char *text)
{
	struct link *l = xcalloc(1, sizeof(*l));
	char listen[64], target[64];
	struct sockaddr_storage addr;
	int len;

	l->proxy = p;
	if (p->link_count == PROXY_LINKS_MAX ||
	    sscanf(text, "%63[^=]=%63[^=]=%63s", l->name, listen, target) !=
		    3) {
		fprintf(stderr, "%s: expected NAME=LISTEN=TARGET\n", text);
		goto fail;
	}
	if (wire_parse_address(listen, &addr, &len) < 0 ||
	    wire_parse_address(target, &l->target, &l->target_len) < 0)
		goto fail;
	l->listener = evconnlistener_new_bind(
		p->base, on_accept, l,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		1024, (struct sockaddr *)&addr, len);
	if (!l->listener) {
		fprintf(stderr, "%s: cannot listen on this address\n", listen);
		goto fail;
	}
	p->links[p->link_count++] = l;
	return 0;
fail:
	free(l);
	return -1;
}

static bool random_chance(struct proxy *p, double rate)
{
	return rate > 0 && rng_unit(&p->rng) < rate;
}

static void set_tcp_nodelay(struct bufferevent *bev)
{
	int on = 1;

	setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
}

/* ---- connections ---- */

static void init_stream(struct proxy_conn *c, enum direction d)
{
	struct stream *h = &c->streams[d];

	h->conn = c;
	h->direction = d;
	h->from = d == UP ? c->caller : c->target;
	h->to = d == UP ? c->target : c->caller;
	h->tail = &h->first;
	h->timer = evtimer_new(c->link->proxy->base, on_release_timer, h);
	bufferevent_setcb(h->from, on_read, NULL, on_event, h);
}

static void on_accept(struct evconnlistener *l, evutil_socket_t fd,
		      struct sockaddr *peer, int len, void *arg)
{
	struct link *link = arg;
	struct event_base *base = link->proxy->base;
	struct proxy_conn *c = xcalloc(1, sizeof(*c));
	/* Deferred, so that no callback runs inside a call and frees c. */
	const int options = BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS;

	(void)l;
	(void)peer;
	(void)len;
	link->accepted++;
	c->link = link;
	c->next = link->conns;
	c->prev = &link->conns;
	if (c->next)
		c->next->prev = &c->next;
	link->conns = c;
	c->caller = bufferevent_socket_new(base, fd, options);
	c->target = bufferevent_socket_new(base, -1, options);
	set_tcp_nodelay(c->caller);
	init_stream(c, UP);
	init_stream(c, DOWN);
	bufferevent_enable(c->caller, EV_READ | EV_WRITE);
	connect_target(c);
}

/* Connects unless both directions are cut; a failure closes both sides. */
static void connect_target(struct proxy_conn *c)
{
	struct link *l = c->link;

	if (c->connect_started || (l->cut[UP] && l->cut[DOWN]))
		return;
	c->connect_started = true;
	bufferevent_enable(c->target, EV_READ | EV_WRITE);
	/* on_event() handles a failure. */
	bufferevent_socket_connect(c->target, (struct sockaddr *)&l->target,
				   l->target_len);
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct evbuffer *data = evbuffer_new();
	struct stream *h = arg;

	evbuffer_add_buffer(data, bufferevent_get_input(bev));
	enqueue(h, data);
	if (h->queued_bytes > PROXY_QUEUE_MAX_BYTES)
		bufferevent_disable(bev, EV_READ);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct stream *h = arg;
	struct proxy_conn *c = h->conn;

	if (what & BEV_EVENT_CONNECTED) {
		set_tcp_nodelay(bev);
		return;
	}
	if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
		return;
	/* Without a connection to the target there is no data to deliver. */
	if (!c->connect_started ||
	    (bev == c->target && what & BEV_EVENT_ERROR)) {
		close_conn(c);
		return;
	}
	bufferevent_disable(bev, EV_READ);
	enqueue(h, NULL);
}

static void free_stream(struct stream *h)
{
	struct chunk *p;

	while ((p = h->first)) {
		h->first = p->next;
		if (p->data)
			evbuffer_free(p->data);
		free(p);
	}
	event_free(h->timer);
}

static void close_conn(struct proxy_conn *c)
{
	*c->prev = c->next;
	if (c->next)
		c->next->prev = c->prev;
	free_stream(&c->streams[UP]);
	free_stream(&c->streams[DOWN]);
	bufferevent_free(c->caller);
	bufferevent_free(c->target);
	free(c);
}

/* ---- queued data ---- */

static uint64_t release_time(struct stream *h, size_t len)
{
	struct link *l = h->conn->link;
	struct proxy *p = l->proxy;
	uint64_t resend = PROXY_RETRANSMIT_US;
	double us = l->delay_ms * 1000;

	if (l->jitter_ms > 0)
		us += l->jitter_ms * 1000 * rng_unit(&p->rng);
	while (random_chance(p, l->drop) && resend < 8 * PROXY_RETRANSMIT_US) {
		us += (double)resend;
		resend *= 2;
	}
	us += (double)clock_now_us();
	if (us < (double)h->last_release_us)
		us = (double)h->last_release_us;
	if (l->bytes_per_s > 0)
		us += (double)len / l->bytes_per_s * 1e6;
	h->last_release_us = (uint64_t)us;
	return h->last_release_us;
}

/* Queues data, or an EOF when data is NULL. */
static void enqueue(struct stream *h, struct evbuffer *data)
{
	size_t len = data ? evbuffer_get_length(data) : 0;
	struct chunk *p = xcalloc(1, sizeof(*p));

	p->data = data;
	p->release_us = release_time(h, len);
	*h->tail = p;
	h->tail = &p->next;
	h->queued_bytes += len;
	schedule_release(h);
}

static void schedule_release(struct stream *h)
{
	uint64_t now = clock_now_us(), wait;
	struct timeval tv;

	if (!h->first || h->conn->link->cut[h->direction])
		return;
	wait = h->first->release_us > now ? h->first->release_us - now : 0;
	tv.tv_sec = (time_t)(wait / 1000000);
	tv.tv_usec = (suseconds_t)(wait % 1000000);
	evtimer_add(h->timer, &tv);
}

/* Forwards an EOF. Returns false when the connection was closed. */
static bool forward_eof(struct stream *h)
{
	const struct timeval again = { 0, 1000 };
	struct proxy_conn *c = h->conn;
	struct evbuffer *left = bufferevent_get_output(h->to);

	h->eof_forwarded = true;
	if (c->streams[!h->direction].eof_forwarded) {
		close_conn(c);
		return false;
	}
	if (!evbuffer_get_length(left))
		shutdown(bufferevent_getfd(h->to), SHUT_WR);
	else
		evtimer_add(h->timer, &again);
	return true;
}

/* Forwards the first chunk. Returns false when the connection was closed. */
static bool forward_first(struct stream *h)
{
	struct proxy_conn *c = h->conn;
	struct link *l = c->link;
	struct chunk *p = h->first;
	struct evbuffer *data = p->data;
	size_t len = data ? evbuffer_get_length(data) : 0;

	if (data && h->direction == DOWN && c->awaiting_response &&
	    random_chance(l->proxy, l->lose_answer)) {
		l->lost_answers++;
		journal_event("answer-lost", "{s:s}", "link", l->name);
		close_conn(c);
		return false;
	}
	h->first = p->next;
	if (!h->first)
		h->tail = &h->first;
	free(p);
	if (!data)
		return forward_eof(h);
	h->queued_bytes -= len;
	l->bytes[h->direction] += len;
	c->awaiting_response = h->direction == UP;
	bufferevent_write_buffer(h->to, data);
	evbuffer_free(data);
	if (h->queued_bytes <= PROXY_QUEUE_MAX_BYTES && !h->eof_forwarded)
		bufferevent_enable(h->from, EV_READ);
	return true;
}

static void on_release_timer(evutil_socket_t fd, short what, void *arg)
{
	struct stream *h = arg;

	(void)fd;
	(void)what;
	if (h->eof_forwarded) {
		forward_eof(h);
		return;
	}
	while (h->first && !h->conn->link->cut[h->direction] &&
	       h->first->release_us <= clock_now_us())
		if (!forward_first(h))
			return;
	if (!h->eof_forwarded)
		schedule_release(h);
}

/* ---- control ---- */

static void set_cut(struct link *l, const char *cut)
{
	l->cut[UP] = !strcmp(cut, "both") || !strcmp(cut, "up");
	l->cut[DOWN] = !strcmp(cut, "both") || !strcmp(cut, "down");
	for (struct proxy_conn *c = l->conns; c; c = c->next) {
		connect_target(c);
		schedule_release(&c->streams[UP]);
		schedule_release(&c->streams[DOWN]);
	}
}

static void change_link(struct link *l, const json_t *change)
{
	const char *cut = json_string_value(json_object_get(change, "cut"));

	if (control_reset_requested(change)) {
		l->delay_ms = l->jitter_ms = l->bytes_per_s = 0;
		l->drop = l->lose_answer = 0;
		set_cut(l, "none");
	}
	control_read_number(change, "delay_ms", &l->delay_ms);
	control_read_number(change, "jitter_ms", &l->jitter_ms);
	control_read_number(change, "drop", &l->drop);
	control_read_number(change, "lose_answer", &l->lose_answer);
	control_read_number(change, "bytes_per_s", &l->bytes_per_s);
	if (cut)
		set_cut(l, cut);
	while (json_is_true(json_object_get(change, "close")) && l->conns)
		close_conn(l->conns);
	journal_event("link", "{s:s,s:O}", "link", l->name, "change", change);
}

static json_t *link_to_json(const struct link *l)
{
	size_t open = 0;

	for (const struct proxy_conn *c = l->conns; c; c = c->next)
		open++;
	return json_pack("{s:s,s:I,s:I,s:I,s:I,s:I,s:b,s:b}", "name", l->name,
			 "accepted", (json_int_t)l->accepted, "open",
			 (json_int_t)open, "bytes_up", (json_int_t)l->bytes[UP],
			 "bytes_down", (json_int_t)l->bytes[DOWN],
			 "lost_answers", (json_int_t)l->lost_answers, "cut_up",
			 l->cut[UP], "cut_down", l->cut[DOWN]);
}

static bool name_matches(const char *pattern, const char *name)
{
	size_t len = strlen(pattern);

	if (len && pattern[len - 1] == '*')
		return !strncmp(pattern, name, len - 1);
	return !strcmp(pattern, name);
}

json_t *proxy_control(void *proxy, const char *path, const json_t *body)
{
	struct proxy *p = proxy;
	unsigned matched = 0;
	json_t *list;

	if (!strcmp(path, "/v1/links")) {
		list = json_array();
		for (unsigned i = 0; i < p->link_count; i++)
			json_array_append_new(list, link_to_json(p->links[i]));
		return list;
	}
	if (strncmp(path, "/v1/links/", 10) || !body ||
	    !control_fields_known(body, known_fields))
		return NULL;
	for (unsigned i = 0; i < p->link_count; i++) {
		if (!name_matches(path + 10, p->links[i]->name))
			continue;
		change_link(p->links[i], body);
		matched++;
	}
	return matched ? json_pack("{s:i}", "links", (int)matched) : NULL;
}
