#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "standin-2.h"

#define KEYS_MAX 8192
#define TASKS_MAX 65536
#define BUCKETS (1u << 17)
#define LEASES_MAX 256
#define TICK_US 5000
#define ENTRY_INTERVAL_MS 1500
#define VALUE_BYTES_MAX 1048576u
#define TXN_ENTRIES_MAX 32u
#define ENDED_MAX 500u
#define HOLD_MAX_MS 6000u
#define WAIT_MAX_MS 2000u

struct key {
	char *key;
	char *value; /* base64; NULL: deleted */
	uint64_t revision;
	uint64_t created;
	uint64_t lease;
};

struct lease {
	uint64_t id;
	uint64_t ttl_ms;
	uint64_t end_ms;
};

struct watch {
	struct watch *next;
	struct evhttp_request *req;
	char prefix[208];
	uint64_t after;
	uint64_t end_ms;
};

/* Of a task on a worker. */
struct run {
	uint32_t running; /* run that runs; 0: none */
	uint32_t over;	  /* highest run that was stopped or has ended */
	uint64_t end_ms;
	uint64_t started_ms;
};

struct task {
	char name[64];
	struct task *next_in_bucket;
	struct run runs[SI_WORKERS_MAX];
};

struct end {
	uint64_t seq;
	struct task *task;
	uint32_t run;
	const char *how;
	char saved[24];
};

struct worker {
	unsigned index;
	char id[24];
	char rack[16];
	unsigned zone;
	uint16_t port;
	struct evhttp *http;
	uint64_t token;
	uint64_t born_ms;  /* since 1970 */
	uint64_t clock_ms; /* steady clock at the start */
	uint64_t lease_end_ms;
	uint64_t entry_ms;
	uint64_t sequence;
	struct task **running;
	unsigned running_count;
	struct end *ended;
	unsigned ended_count;
	uint64_t last_seq;
	struct evhttp_request *poll;
	uint64_t poll_seen;
	uint64_t poll_end_ms;
	unsigned cpu_used;
	unsigned mb_used;
};

/* A call that waits for the delay of a link. */
struct pending {
	struct pending *next;
	struct evhttp_request *req; /* NULL: the caller has gone */
	struct event *timer;
	struct worker *worker;
	unsigned delay_us;
	bool executed;
	int status;
	char *body;
};

struct node {
	pid_t pid;
	char ip[24];
	char conf[256];
	unsigned zone;
	bool ready;
};

struct event_base *si_base;
static struct si_options opt;
static FILE *record;
static char dir[128];
static struct key keys[KEYS_MAX];
static unsigned key_count;
static uint64_t revision = 100;
static struct lease leases[LEASES_MAX];
static uint64_t next_lease = 7000;
static struct watch *watches;
static struct pending *pendings;
static struct worker workers[SI_WORKERS_MAX];
static struct node nodes[SI_NODES_MAX];
static struct task *buckets[BUCKETS];
static struct task **tasks;
static unsigned task_count;
static unsigned too_large, lapsed;
static size_t largest;
static uint16_t store_port;
static uint64_t began_ms;

static uint64_t now_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t si_now_ms(void)
{
	return now_us(CLOCK_MONOTONIC) / 1000;
}

void si_log(const char *fmt, ...)
{
	va_list ap;

	fprintf(record, "%9.3f ", (double)(si_now_ms() - began_ms) / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
}

/* ---- answers ---- */

static void send_text(struct evhttp_request *req, int status, const char *text)
{
	struct evbuffer *out = evbuffer_new();

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	if (text)
		evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
}

static void free_pending(struct pending *p)
{
	struct pending **link = &pendings;

	while (*link != p)
		link = &(*link)->next;
	*link = p->next;
	event_free(p->timer);
	free(p->body);
	free(p);
}

static void on_gone(struct evhttp_connection *c, void *arg)
{
	struct watch **w = &watches, *next;

	(void)arg;
	for (struct pending *p = pendings; p; p = p->next)
		if (p->req && evhttp_request_get_connection(p->req) == c)
			p->req = NULL;
	for (unsigned i = 0; i < opt.workers; i++)
		if (workers[i].poll &&
		    evhttp_request_get_connection(workers[i].poll) == c)
			workers[i].poll = NULL;
	while (*w) {
		if (evhttp_request_get_connection((*w)->req) != c) {
			w = &(*w)->next;
			continue;
		}
		next = (*w)->next;
		free(*w);
		*w = next;
	}
}

static struct timeval us_to_tv(uint64_t us)
{
	return (struct timeval){ (time_t)(us / 1000000),
				 (suseconds_t)(us % 1000000) };
}

static void execute(struct pending *p);

static void on_pending(evutil_socket_t fd, short what, void *arg)
{
	struct pending *p = arg;
	struct timeval tv = us_to_tv(p->delay_us);

	(void)fd;
	(void)what;
	if (!p->executed) {
		p->executed = true;
		if (!p->req) {
			free_pending(p);
			return;
		}
		execute(p);
		if (p->status) { /* else a poll that waits */
			evtimer_add(p->timer, &tv);
			return;
		}
	} else if (p->req) {
		send_text(p->req, p->status, p->body);
	}
	free_pending(p);
}

static struct pending *add_pending(struct evhttp_request *req)
{
	struct pending *p = calloc(1, sizeof(*p));

	p->req = req;
	p->timer = evtimer_new(si_base, on_pending, p);
	p->next = pendings;
	pendings = p;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_gone, NULL);
	return p;
}

static void answer_after(struct evhttp_request *req, int status, char *body,
			 uint64_t us)
{
	struct pending *p = add_pending(req);
	struct timeval tv = us_to_tv(us);

	p->executed = true;
	p->status = status;
	p->body = body;
	evtimer_add(p->timer, &tv);
}

static json_t *read_body(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t len = evbuffer_get_length(in);

	return json_loadb((const char *)evbuffer_pullup(in, -1), len, 0, NULL);
}

/* ---- store ---- */

static struct key *find_key(const char *name)
{
	for (unsigned i = 0; i < key_count; i++)
		if (!strcmp(keys[i].key, name))
			return &keys[i];
	return NULL;
}

static void set_key(const char *name, const char *value, uint64_t lease)
{
	struct key *k = find_key(name);

	if (!k) {
		k = &keys[key_count++];
		k->key = strdup(name);
	}
	if (!k->value)
		k->created = revision;
	else
		free(k->value);
	k->value = strdup(value);
	k->revision = revision;
	k->lease = lease;
}

static void delete_key(struct key *k)
{
	if (!k || !k->value)
		return;
	free(k->value);
	k->value = NULL;
	k->revision = revision;
}

static char *to_base64(const char *text)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				  "qrstuvwxyz0123456789+/";
	size_t len = strlen(text), n = 0;
	char *out = calloc(1, len * 2 + 8);

	for (size_t i = 0; i < len; i += 3) {
		unsigned v = (unsigned char)text[i] << 16;

		if (i + 1 < len)
			v |= (unsigned char)text[i + 1] << 8;
		if (i + 2 < len)
			v |= (unsigned char)text[i + 2];
		out[n++] = set[v >> 18];
		out[n++] = set[v >> 12 & 63];
		out[n++] = i + 1 < len ? set[v >> 6 & 63] : '=';
		out[n++] = i + 2 < len ? set[v & 63] : '=';
	}
	return out;
}

static size_t base64_bytes(const char *text)
{
	size_t len = strlen(text), n = len / 4 * 3;

	if (len && text[len - 1] == '=')
		n--;
	if (len > 1 && text[len - 2] == '=')
		n--;
	return n;
}

static json_t *item_of(const struct key *k)
{
	if (!k->value)
		return json_pack("{s:s,s:I,s:b}", "key", k->key, "revision",
				 (json_int_t)k->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", k->key, "value",
			 k->value, "revision", (json_int_t)k->revision,
			 "created", (json_int_t)k->created, "lease",
			 (json_int_t)k->lease);
}

#define ODD_BYTE "@@FF@@"

/*
 * A byte of a key that is no UTF-8 is written as the escape of its surrogate,
 * which JSON allows and UTF-8 cannot hold.
 */
static char *dump(json_t *o)
{
	char *text = json_dumps(o, JSON_COMPACT), *p = text;

	json_decref(o);
	while ((p = strstr(p, ODD_BYTE)))
		memcpy(p, "\\udcff", strlen(ODD_BYTE));
	return text;
}

static bool try_watch(struct watch *w, bool expired)
{
	json_t *events = json_array();
	char *text;

	for (unsigned i = 0; i < key_count; i++)
		if (keys[i].revision > w->after &&
		    !strncmp(keys[i].key, w->prefix, strlen(w->prefix)))
			json_array_append_new(events, item_of(&keys[i]));
	if (!json_array_size(events) && !expired) {
		json_decref(events);
		return false;
	}
	text = dump(json_pack("{s:o,s:I}", "events", events, "current-rev",
			      (json_int_t)revision));
	answer_after(w->req, 200, text, opt.store_ms * 1000u);
	return true;
}

static void tick_watches(void)
{
	struct watch **link = &watches;

	while (*link) {
		struct watch *w = *link;

		if (!try_watch(w, si_now_ms() >= w->end_ms)) {
			link = &w->next;
			continue;
		}
		*link = w->next;
		free(w);
	}
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp((*(struct key *const *)a)->key,
		      (*(struct key *const *)b)->key);
}

static char *range(const char *prefix, const char *after)
{
	static struct key *sorted[KEYS_MAX];
	json_t *items = json_array();
	unsigned n = 0;
	size_t bytes = 0;
	bool more = false;

	for (unsigned i = 0; i < key_count; i++)
		if (keys[i].value &&
		    !strncmp(keys[i].key, prefix, strlen(prefix)) &&
		    (!after || strcmp(keys[i].key, after) > 0))
			sorted[n++] = &keys[i];
	qsort(sorted, n, sizeof(*sorted), compare_keys);
	for (unsigned i = 0; i < n; i++) {
		if (i == 500 || (i && bytes > 1000000)) {
			more = true;
			break;
		}
		bytes += strlen(sorted[i]->value);
		json_array_append_new(items, item_of(sorted[i]));
	}
	return dump(json_pack("{s:o,s:b,s:I}", "items", items, "has-more", more,
			      "current-rev", (json_int_t)revision));
}

/* Writes of a key that has this in its name are done late, and not answered. */
static const char *late_key;
static unsigned late_ms, writes, late_writes;

struct late_txn {
	json_t *body;
	struct event *timer;
};

static bool txn_holds(const json_t *body, json_t *items)
{
	const json_t *expect = json_object_get(body, "expect"), *row;
	bool holds = true;
	size_t i;

	json_array_foreach(expect, i, row)
	{
		const char *name =
			json_string_value(json_object_get(row, "key"));
		struct key *k = find_key(name);
		json_int_t present = k && k->value ? (json_int_t)k->revision : 0;

		holds = holds && present == json_integer_value(json_object_get(
						    row, "revision"));
		json_array_append_new(items,
				      present ? item_of(k)
					      : json_pack("{s:s,s:i}", "key",
							  name, "revision", 0));
	}
	return holds;
}

static void apply_txn(const json_t *body)
{
	const json_t *row;
	size_t i;

	revision++;
	json_array_foreach(json_object_get(body, "set-keys"), i, row)
	{
		set_key(json_string_value(json_object_get(row, "key")),
			json_string_value(json_object_get(row, "value")),
			(uint64_t)json_integer_value(
				json_object_get(row, "lease")));
	}
	json_array_foreach(json_object_get(body, "remove"), i, row)
	{
		delete_key(find_key(json_string_value(row)));
	}
}

static void on_late_txn(evutil_socket_t fd, short what, void *arg)
{
	struct late_txn *l = arg;
	json_t *items = json_array();
	bool holds = txn_holds(l->body, items);

	(void)fd;
	(void)what;
	si_log("store does a write late: %s",
	       holds ? "done" : "its condition no longer holds");
	if (holds) {
		apply_txn(l->body);
		tick_watches();
	}
	json_decref(items);
	json_decref(l->body);
	event_free(l->timer);
	free(l);
}

static bool is_late(const json_t *body)
{
	const json_t *row;
	size_t i;

	json_array_foreach(json_object_get(body, "set-keys"), i, row)
	{
		if (late_key && strstr(json_string_value(
					       json_object_get(row, "key")),
				       late_key))
			return true;
	}
	return false;
}

static void do_late(struct evhttp_request *req, json_t *body)
{
	struct late_txn *l = calloc(1, sizeof(*l));
	struct timeval tv = us_to_tv(late_ms * 1000u);

	late_writes++;
	si_log("store leaves a write without an answer, it is done in %u ms",
	       late_ms);
	l->body = json_incref(body);
	l->timer = evtimer_new(si_base, on_late_txn, l);
	evtimer_add(l->timer, &tv);
	evhttp_connection_set_timeout(evhttp_request_get_connection(req), 5);
}

static void serve_txn(struct evhttp_request *req, uint64_t delay_us)
{
	json_t *body = read_body(req), *row, *items = json_array();
	json_t *sets = json_object_get(body, "set-keys");
	bool large = false, lease_gone = false;
	size_t i;

	writes++;
	if (is_late(body)) {
		do_late(req, body);
		goto out;
	}
	json_array_foreach(sets, i, row)
	{
		uint64_t lease = (uint64_t)json_integer_value(
			json_object_get(row, "lease"));
		size_t n = base64_bytes(
			json_string_value(json_object_get(row, "value")));
		bool found = !lease;

		for (unsigned k = 0; k < LEASES_MAX; k++)
			found = found || (leases[k].id && leases[k].id == lease);
		lease_gone = lease_gone || !found;
		if (n > largest)
			largest = n;
		if (n > VALUE_BYTES_MAX) {
			large = true;
			si_log("store refuses a value of %zu bytes, key %s", n,
			       json_string_value(json_object_get(row, "key")));
		}
	}
	if (large || json_array_size(json_object_get(body, "expect")) +
				     json_array_size(sets) +
				     json_array_size(json_object_get(
					     body, "remove")) >
			     TXN_ENTRIES_MAX) {
		too_large++;
		answer_after(req, 400, NULL, delay_us);
	} else if (lease_gone) {
		answer_after(req, 404, NULL, delay_us);
	} else if (!txn_holds(body, items)) {
		answer_after(req, 412,
			     dump(json_pack("{s:O}", "items", items)),
			     delay_us);
	} else {
		apply_txn(body);
		answer_after(req, 200,
			     dump(json_pack("{s:I}", "revision",
					    (json_int_t)revision)),
			     delay_us);
		tick_watches();
	}
out:
	json_decref(items);
	json_decref(body);
}

static void end_lease(struct lease *l)
{
	revision++;
	for (unsigned i = 0; i < key_count; i++)
		if (keys[i].value && keys[i].lease == l->id) {
			si_log("store removes %s with its lease", keys[i].key);
			delete_key(&keys[i]);
		}
	l->id = 0;
	tick_watches();
}

static struct lease *find_lease(uint64_t id)
{
	for (unsigned i = 0; id && i < LEASES_MAX; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static void serve_lease(struct evhttp_request *req, const char *uri)
{
	uint64_t delay_us = opt.store_ms * 1000u;
	struct lease *l;

	if (strstr(uri, "/kv-lease-end/") || strstr(uri, "/kv-keep/")) {
		l = find_lease(strtoull(strrchr(uri, '/') + 1, NULL, 10));
		if (!l) {
			answer_after(req, 404, NULL, delay_us);
			return;
		}
		if (strstr(uri, "/kv-lease-end/"))
			end_lease(l);
		else
			l->end_ms = si_now_ms() + l->ttl_ms;
		answer_after(req, 200,
			     dump(json_pack("{s:I}", "ttl-ms",
					    (json_int_t)l->ttl_ms)),
			     delay_us);
	} else {
		json_t *body = read_body(req);

		for (l = leases; l->id;)
			l++;
		l->id = next_lease++;
		l->ttl_ms = (uint64_t)json_integer_value(
			json_object_get(body, "ttl-ms"));
		l->end_ms = si_now_ms() + l->ttl_ms;
		json_decref(body);
		answer_after(req, 200,
			     dump(json_pack("{s:I,s:I}", "lease",
					    (json_int_t)l->id, "ttl-ms",
					    (json_int_t)l->ttl_ms)),
			     delay_us);
	}
}

static void on_store(struct evhttp_request *req, void *arg)
{
	const char *uri = evhttp_request_get_uri(req);
	const char *query = strchr(uri, '?');
	uint64_t delay_us = opt.store_ms * 1000u;
	struct evkeyvalq q = { 0 };
	const char *prefix;

	(void)arg;
	evhttp_parse_query_str(query ? query + 1 : "", &q);
	prefix = evhttp_find_header(&q, "prefix");
	if (strstr(uri, "/kv-txn")) {
		serve_txn(req, delay_us);
	} else if (strstr(uri, "/kv-keep/") || strstr(uri, "/kv-lease")) {
		serve_lease(req, uri);
	} else if (strstr(uri, "/kv-key?")) {
		struct key *k = find_key(evhttp_find_header(&q, "key"));
		json_t *o;

		if (!k || !k->value) {
			answer_after(req, 404, NULL, delay_us);
		} else {
			o = item_of(k);
			json_object_set_new(o, "current-rev",
					    json_integer((json_int_t)revision));
			answer_after(req, 200, dump(o), delay_us);
		}
	} else if (strstr(uri, "/kv-range?")) {
		answer_after(req, 200,
			     range(prefix, evhttp_find_header(&q, "after")),
			     delay_us);
	} else if (strstr(uri, "/kv-watch?")) {
		struct watch *w = calloc(1, sizeof(*w));

		w->req = req;
		snprintf(w->prefix, sizeof(w->prefix), "%s", prefix);
		w->after = strtoull(evhttp_find_header(&q, "after"), NULL, 10);
		w->end_ms = si_now_ms() +
			    strtoull(evhttp_find_header(&q, "wait-ms"), NULL,
				     10);
		evhttp_connection_set_closecb(
			evhttp_request_get_connection(req), on_gone, NULL);
		if (try_watch(w, false)) {
			free(w);
		} else {
			w->next = watches;
			watches = w;
		}
	} else {
		answer_after(req, 400, NULL, delay_us);
	}
	evhttp_clear_headers(&q);
}

/* ---- workers ---- */

static struct task *task_by_name(const char *name)
{
	uint32_t hash = 2166136261u;
	struct task *t;

	for (const char *c = name; *c; c++)
		hash = (hash ^ (unsigned char)*c) * 16777619u;
	for (t = buckets[hash % BUCKETS]; t; t = t->next_in_bucket)
		if (!strcmp(t->name, name))
			return t;
	t = calloc(1, sizeof(*t));
	snprintf(t->name, sizeof(t->name), "%s", name);
	t->next_in_bucket = buckets[hash % BUCKETS];
	buckets[hash % BUCKETS] = t;
	tasks[task_count++] = t;
	return t;
}

static uint64_t worker_clock(const struct worker *w)
{
	return si_now_ms() - w->clock_ms;
}

/* Tasks that have ended `done` at least once. */
static struct task **done;
static unsigned done_count;

static unsigned done_count_of(const char *prefix)
{
	unsigned n = 0;

	for (unsigned i = 0; i < done_count; i++)
		n += !strncmp(done[i]->name, prefix, strlen(prefix));
	return n;
}

static void make_saved(const struct run *r, char out[24])
{
	uint64_t ms = si_now_ms() - r->started_ms;

	out[0] = '\0';
	if (ms >= 2000)
		snprintf(out, 24, "%08x7a21d94b",
			 (unsigned)(ms / 2000 * 2000));
}

static void end_run(struct worker *w, struct task *t, const char *how)
{
	struct run *r = &t->runs[w->index];
	struct end *e;

	w->ended = realloc(w->ended, (w->ended_count + 1) * sizeof(*w->ended));
	e = &w->ended[w->ended_count++];
	e->seq = ++w->last_seq;
	e->task = t;
	e->run = r->running;
	e->how = how;
	make_saved(r, e->saved);
	if (r->running > r->over)
		r->over = r->running;
	r->running = 0;
	for (unsigned i = 0; i < w->running_count; i++)
		if (w->running[i] == t) {
			w->running[i] = w->running[--w->running_count];
			break;
		}
	lapsed += !strcmp(how, "lapsed");
	if (!strcmp(how, "done")) {
		done = realloc(done, (done_count + 1) * sizeof(*done));
		done[done_count++] = t;
	}
	si_log("%s ends %s run %u %s", w->id, t->name, e->run, how);
}

static char *plain_answer(const struct worker *w, const char *reason)
{
	json_t *o = json_pack("{s:I,s:I}", "clock-ms",
			      (json_int_t)worker_clock(w), "born",
			      (json_int_t)w->born_ms);

	if (reason)
		json_object_set_new(o, "reason", json_string(reason));
	return dump(o);
}

static char *report(const struct worker *w, uint64_t seen)
{
	json_t *running = json_array(), *ended = json_array();
	char saved[24];

	for (unsigned i = 0; i < w->running_count; i++) {
		const struct run *r = &w->running[i]->runs[w->index];

		make_saved(r, saved);
		json_array_append_new(running,
				      json_pack("[s,i,s,i,i]",
						w->running[i]->name, r->running,
						saved, 50, 10));
	}
	for (unsigned i = 0; i < w->ended_count &&
			     json_array_size(ended) < ENDED_MAX;
	     i++)
		if (w->ended[i].seq > seen)
			json_array_append_new(
				ended,
				json_pack("[I,s,i,s,s]",
					  (json_int_t)w->ended[i].seq,
					  w->ended[i].task->name,
					  w->ended[i].run, w->ended[i].how,
					  w->ended[i].saved));
	return dump(json_pack("{s:I,s:I,s:o,s:o}", "clock-ms",
			      (json_int_t)worker_clock(w), "born",
			      (json_int_t)w->born_ms, "running", running,
			      "ended", ended));
}

static unsigned link_us(const struct worker *w)
{
	return si_owner_zone() == (int)w->zone ? 200 : opt.cross_zone_us;
}

static void answer_poll(struct worker *w)
{
	struct evhttp_request *req = w->poll;

	w->poll = NULL;
	answer_after(req, 200, report(w, w->poll_seen), link_us(w));
}

static uint64_t member(const json_t *o, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(o, name));
}

static void extend(struct worker *w, uint64_t until)
{
	uint64_t max = worker_clock(w) + HOLD_MAX_MS;

	if (until > max)
		until = max;
	if (until > w->lease_end_ms)
		w->lease_end_ms = until;
}

static void execute_start(struct pending *p, const json_t *body)
{
	struct worker *w = p->worker;
	const char *name = json_string_value(json_object_get(body, "task"));
	uint32_t run = (uint32_t)member(body, "run");
	struct task *t = task_by_name(name);
	struct run *r = &t->runs[w->index];
	unsigned ms;

	if (member(body, "until-ms") <= worker_clock(w)) {
		p->status = 409;
		p->body = plain_answer(w, "late");
		return;
	}
	extend(w, member(body, "until-ms"));
	if (run <= r->over) {
		p->status = 409;
		p->body = plain_answer(w, "old");
		return;
	}
	p->status = 200;
	p->body = plain_answer(w, NULL);
	if (r->running)
		return;
	r->running = run;
	r->started_ms = si_now_ms();
	ms = opt.task_ms(name);
	r->end_ms = ms ? r->started_ms + ms : UINT64_MAX;
	w->running = realloc(w->running,
			     (w->running_count + 1) * sizeof(*w->running));
	w->running[w->running_count++] = t;
	si_log("%s (%s) starts %s run %u", w->id, w->rack, name, run);
}

static void execute(struct pending *p)
{
	const char *uri = evhttp_request_get_uri(p->req);
	json_t *body = read_body(p->req);
	struct worker *w = p->worker;
	struct task *t;
	unsigned kept = 0;

	if (member(body, "fencing-token") < w->token) {
		p->status = 409;
		p->body = plain_answer(w, "fence");
		goto out;
	}
	w->token = member(body, "fencing-token");
	if (strstr(uri, "/run-start")) {
		execute_start(p, body);
	} else if (strstr(uri, "/run-stop")) {
		uint32_t run = (uint32_t)member(body, "run");
		struct run *r;

		t = task_by_name(
			json_string_value(json_object_get(body, "task")));
		r = &t->runs[w->index];
		if (r->running == run)
			end_run(w, t, "stopped");
		else if (run > r->over)
			r->over = run;
		p->status = 200;
		p->body = plain_answer(w, NULL);
	} else if (strstr(uri, "/pace")) {
		p->status = 200;
		p->body = plain_answer(w, NULL);
	} else {
		uint64_t wait = member(body, "wait-ms");

		extend(w, member(body, "until-ms"));
		w->poll_seen = member(body, "seen-upto");
		for (unsigned i = 0; i < w->ended_count; i++)
			if (w->ended[i].seq > w->poll_seen)
				w->ended[kept++] = w->ended[i];
		w->ended_count = kept;
		w->poll = p->req;
		w->poll_end_ms = si_now_ms() +
				 (wait > WAIT_MAX_MS ? WAIT_MAX_MS : wait);
		if (!wait || kept)
			answer_poll(w);
	}
out:
	json_decref(body);
}

static void on_worker(struct evhttp_request *req, void *arg)
{
	struct worker *w = arg;
	const char *expected = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expected-Instance");
	struct pending *p;
	struct timeval tv;

	if (expected && strcmp(expected, w->id)) {
		send_text(req, 421, NULL);
		return;
	}
	p = add_pending(req);
	p->worker = w;
	p->delay_us = link_us(w);
	tv = us_to_tv(p->delay_us);
	evtimer_add(p->timer, &tv);
}

static void write_entry(struct worker *w)
{
	char name[64], *base64;
	char *text = dump(json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I,s:{s:i,s:i},s:[s,s]}",
		"service", "svc", "address", "", "zone", "", "version", "1",
		"slots", 8, "state", "ready", "sequence",
		(json_int_t)++w->sequence, "clock-ms",
		(json_int_t)worker_clock(w), "born", (json_int_t)w->born_ms,
		"capacity", "cpu", (int)opt.worker_cpu, "memory-request-mb",
		(int)opt.worker_mb, "labels", "a", w->rack));
	json_t *o = json_loads(text, 0, NULL);

	free(text);
	snprintf(name, sizeof(name), "127.0.0.1:%u", w->port);
	json_object_set_new(o, "address", json_string(name));
	snprintf(name, sizeof(name), "zone-%u", w->zone);
	json_object_set_new(o, "zone", json_string(name));
	text = dump(o);
	base64 = to_base64(text);
	snprintf(name, sizeof(name), "servers/%s", w->id);
	revision++;
	set_key(name, base64, 0);
	free(base64);
	free(text);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	uint64_t now = si_now_ms();

	(void)fd;
	(void)what;
	(void)arg;
	for (unsigned i = 0; i < LEASES_MAX; i++)
		if (leases[i].id && now >= leases[i].end_ms)
			end_lease(&leases[i]);
	for (unsigned i = 0; i < opt.workers; i++) {
		struct worker *w = &workers[i];
		bool over = w->running_count &&
			    worker_clock(w) > w->lease_end_ms;

		for (unsigned k = w->running_count; k-- > 0;) {
			if (over)
				end_run(w, w->running[k], "lapsed");
			else if (now >= w->running[k]->runs[i].end_ms)
				end_run(w, w->running[k], "done");
		}
		if (w->poll && (w->ended_count || now >= w->poll_end_ms))
			answer_poll(w);
		if (now >= w->entry_ms) {
			w->entry_ms = now + ENTRY_INTERVAL_MS;
			write_entry(w);
		}
	}
	tick_watches();
}

/* ---- set-up ---- */

static struct evhttp *listen_any(const char *ip, uint16_t *port,
				 void (*fn)(struct evhttp_request *, void *),
				 void *arg)
{
	struct evhttp *http = evhttp_new(si_base);
	struct evhttp_bound_socket *bound;
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	evhttp_set_gencb(http, fn, arg);
	evhttp_set_max_body_size(http, 64 * 1024 * 1024);
	evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
						 EVHTTP_REQ_DELETE);
	bound = evhttp_bind_socket_with_handle(http, ip, 0);
	if (!bound)
		si_finish(2, "cannot listen on %s", ip);
	getsockname(evhttp_bound_socket_get_fd(bound), (struct sockaddr *)&sin,
		    &len);
	*port = ntohs(sin.sin_port);
	return http;
}

/* The time is over: the entry VMs are killed, and nothing was shown. */
static void on_term(int sig)
{
	(void)sig;
	for (unsigned n = 0; n < SI_NODES_MAX; n++)
		if (nodes[n].pid > 0)
			kill(nodes[n].pid, SIGKILL);
	_exit(2);
}

void si_init(const struct si_options *o)
{
	static const struct timeval tick = { 0, TICK_US };
	char *base64;

	opt = *o;
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_term);
	signal(SIGINT, on_term);
	began_ms = si_now_ms();
	record = fopen(opt.record_path, "w");
	if (!record)
		exit(2);
	snprintf(dir, sizeof(dir), "/tmp/review-2.XXXXXX");
	if (!mkdtemp(dir))
		exit(2);
	tasks = calloc(TASKS_MAX, sizeof(*tasks));
	si_base = event_base_new();
	listen_any("127.0.0.1", &store_port, on_store, NULL);
	for (unsigned i = 0; i < opt.workers; i++) {
		struct worker *w = &workers[i];

		w->index = i;
		snprintf(w->id, sizeof(w->id), "i-%08x", 0x7f3a9100u + i * 37);
		w->zone = i % opt.zones;
		snprintf(w->rack, sizeof(w->rack), "r%u-%u", w->zone + 1,
			 i % opt.racks + 1);
		w->born_ms = now_us(CLOCK_REALTIME) / 1000;
		w->clock_ms = si_now_ms() - 50000 - i;
		w->http = listen_any("127.0.0.1", &w->port, on_worker, w);
	}
	revision++;
	base64 = to_base64(opt.config);
	set_key("op/config", base64, 0);
	free(base64);
	event_add(event_new(si_base, -1, EV_PERSIST, on_tick, NULL), &tick);
}

/* Fills in the fields of the template that a settings file has. */
static void render(unsigned n)
{
	static const char *const names[] = { "{{node}}",
					     "{{zone}}",
					     "{{limits.cpu-share}}",
					     "{{listen.front}}",
					     "{{platform.address}}",
					     "{{listen.readiness}}",
					     "{{ip}}",
					     "{{internal-port-range.0}}",
					     "{{internal-port-range.1}}",
					     "{{bounds.hold-max-ms}}",
					     "{{bounds.status_s}}",
					     "{{bounds.grace-s}}" };
	char values[12][64];
	struct node *d = &nodes[n];
	FILE *in = fopen("deploy/waxwingd.conf.in", "r");
	FILE *out = fopen(d->conf, "w");
	char line[512];

	if (!in || !out)
		si_finish(2, "cannot read the template");
	snprintf(values[0], 64, "front-zone-%u-%u", d->zone, n);
	snprintf(values[1], 64, "zone-%u", d->zone);
	snprintf(values[2], 64, "0.25");
	snprintf(values[3], 64, "%s:8161", d->ip);
	snprintf(values[4], 64, "127.0.0.1:%u", store_port);
	snprintf(values[5], 64, "%s:8167", d->ip);
	snprintf(values[6], 64, "%s", d->ip);
	snprintf(values[7], 64, "7720");
	snprintf(values[8], 64, "7735");
	snprintf(values[9], 64, "6000");
	snprintf(values[10], 64, "120");
	snprintf(values[11], 64, "6");
	while (fgets(line, sizeof(line), in)) {
		char *p = line, *hit;

		while ((hit = strstr(p, "{{"))) {
			unsigned i = 0;

			fwrite(p, 1, (size_t)(hit - p), out);
			while (i < 12 &&
			       strncmp(hit, names[i], strlen(names[i])))
				i++;
			if (i == 12)
				si_finish(2, "unknown placeholder: %s", hit);
			fputs(values[i], out);
			p = hit + strlen(names[i]);
		}
		fputs(p, out);
	}
	fclose(in);
	fclose(out);
}

static void start_node(unsigned n)
{
	struct node *d = &nodes[n];
	char log[300];

	d->zone = n % opt.zones;
	snprintf(d->ip, sizeof(d->ip), "127.%u.%u.%u",
		 (unsigned)getpid() / 200 % 200 + 20,
		 (unsigned)getpid() % 200 + 20, 10 + n);
	snprintf(d->conf, sizeof(d->conf), "%s/node-%u.toml", dir, n);
	snprintf(log, sizeof(log), "%s/node-%u.log", dir, n);
	render(n);
	fflush(record);
	d->pid = fork();
	if (!d->pid) {
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (!freopen(log, "w", stdout) || dup2(1, 2) < 0)
			_exit(127);
		setenv("WAXWINGFLOW_NODE_FILE", d->conf, 1);
		execl("target/waxwingd", "target/waxwingd", "-c", d->conf,
		      (char *)NULL);
		_exit(127);
	}
	si_log("start of %s, zone-%u, as target/waxwingd -c", d->ip, d->zone);
}

static void on_readiness(struct evhttp_request *req, void *arg)
{
	if (req)
		*(bool *)arg = evhttp_request_get_response_code(req) == 200;
}

void si_start_nodes(void)
{
	for (unsigned n = 0; n < opt.nodes; n++)
		start_node(n);
	for (unsigned tries = 0; tries < 100; tries++) {
		unsigned ready = 0;

		for (unsigned n = 0; n < opt.nodes; n++) {
			struct evhttp_connection *c;

			ready += nodes[n].ready;
			if (nodes[n].ready)
				continue;
			c = evhttp_connection_base_new(si_base, NULL,
						       nodes[n].ip, 8167);
			evhttp_connection_free_on_completion(c);
			evhttp_make_request(c,
					    evhttp_request_new(on_readiness,
							       &nodes[n].ready),
					    EVHTTP_REQ_GET,
					    "/waxwingflow/readiness");
		}
		if (ready == opt.nodes && si_owner_zone() >= 0)
			return;
		si_run_ms(100);
	}
	si_finish(2, "the entry VMs were not ready within 10 s");
}

void si_run_ms(unsigned ms)
{
	struct timeval tv = us_to_tv(ms * 1000ull);

	event_base_loopexit(si_base, &tv);
	event_base_dispatch(si_base);
}

void si_stop(void)
{
	char cmd[200];

	for (unsigned n = 0; n < opt.nodes; n++)
		if (nodes[n].pid > 0)
			kill(nodes[n].pid, SIGTERM);
	for (unsigned tries = 0; tries < 80; tries++) {
		unsigned left = 0;

		for (unsigned n = 0; n < opt.nodes; n++) {
			if (nodes[n].pid > 0 &&
			    waitpid(nodes[n].pid, NULL, WNOHANG) ==
				    nodes[n].pid)
				nodes[n].pid = 0;
			left += nodes[n].pid > 0;
		}
		if (!left)
			break;
		if (si_base)
			si_run_ms(100);
	}
	for (unsigned n = 0; n < opt.nodes; n++)
		if (nodes[n].pid > 0) {
			kill(nodes[n].pid, SIGKILL);
			waitpid(nodes[n].pid, NULL, 0);
		}
	if (getenv("KEEP")) {
		fprintf(stderr, "logs in %s\n", dir);
		return;
	}
	for (unsigned n = 0; n < opt.nodes; n++) {
		snprintf(cmd, sizeof(cmd), "%s/node-%u.toml", dir, n);
		unlink(cmd);
		snprintf(cmd, sizeof(cmd), "%s/node-%u.log", dir, n);
		unlink(cmd);
	}
	rmdir(dir);
}

void si_finish(int status, const char *fmt, ...)
{
	static bool finishing;
	char text[600];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (finishing)
		exit(status);
	finishing = true;
	si_log("RESULT %d: %s", status, text);
	printf("RESULT %d: %s\n", status, text);
	si_stop();
	fclose(record);
	exit(status);
}

/* ---- callers ---- */

struct call {
	unsigned node;
	bool done, waited;
	int status;
	char what[160];
	char *answer;
	size_t size;
	uint64_t sent_ms;
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct call *c = arg;
	struct evbuffer *in;
	size_t n;

	c->done = true;
	if (req)
		c->status = evhttp_request_get_response_code(req);
	si_log("%s answers %s with %d after %llu ms", nodes[c->node].ip,
	       c->what, c->status,
	       (unsigned long long)(si_now_ms() - c->sent_ms));
	if (req && c->answer) {
		in = evhttp_request_get_input_buffer(req);
		n = evbuffer_get_length(in);
		if (n >= c->size)
			n = c->size - 1;
		evbuffer_copyout(in, c->answer, n);
		c->answer[n] = '\0';
	}
	if (!c->waited)
		free(c);
}

static void send_call(struct call *c, const char *method, const char *path,
		      const char *body)
{
	struct evhttp_connection *conn = evhttp_connection_base_new(
		si_base, NULL, nodes[c->node].ip, 8161);
	struct evhttp_request *req = evhttp_request_new(on_answer, c);
	struct evkeyvalq *h = evhttp_request_get_output_headers(req);

	snprintf(c->what, sizeof(c->what), "%s %s", method, path);
	c->sent_ms = si_now_ms();
	si_log("caller sends %s to %s, %zu bytes", c->what, nodes[c->node].ip,
	       body ? strlen(body) : 0);
	evhttp_connection_set_timeout(conn, 4);
	evhttp_connection_free_on_completion(conn);
	evhttp_add_header(h, "Host", "nony24.example");
	evhttp_add_header(h, "Content-Type", "application/json");
	evhttp_add_header(h, "X-Deadline-Remaining", "3000");
	if (body)
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
			     strlen(body));
	evhttp_make_request(conn, req,
			    !strcmp(method, "POST")	? EVHTTP_REQ_POST
			    : !strcmp(method, "DELETE") ? EVHTTP_REQ_DELETE
							: EVHTTP_REQ_GET,
			    path);
}

int si_call(unsigned node, const char *method, const char *path,
	    const char *body, char *answer, size_t size)
{
	struct call *c = calloc(1, sizeof(*c));
	int status;

	c->node = node;
	c->waited = true;
	c->answer = answer;
	c->size = size;
	if (answer)
		answer[0] = '\0';
	send_call(c, method, path, body);
	for (unsigned i = 0; !c->done && i < 5000; i++)
		si_run_ms(1);
	status = c->status;
	if (c->done)
		free(c);
	return status;
}

void si_call_async(unsigned node, const char *method, const char *path,
		   const char *body)
{
	struct call *c = calloc(1, sizeof(*c));

	c->node = node;
	send_call(c, method, path, body);
}

/* ---- what has run ---- */

unsigned si_running_on(unsigned worker, const char *prefix)
{
	unsigned n = 0;

	for (unsigned i = 0; i < workers[worker].running_count; i++)
		n += !strncmp(workers[worker].running[i]->name, prefix,
			      strlen(prefix));
	return n;
}

unsigned si_running(const char *prefix)
{
	unsigned n = 0;

	for (unsigned i = 0; i < opt.workers; i++)
		n += si_running_on(i, prefix);
	return n;
}

unsigned si_starts(const char *prefix)
{
	unsigned n = 0;

	for (unsigned i = 0; i < task_count; i++)
		n += !strncmp(tasks[i]->name, prefix, strlen(prefix));
	return n;
}

unsigned si_done(const char *prefix)
{
	return done_count_of(prefix);
}

void si_lose_writes(const char *key, unsigned ms)
{
	late_key = key;
	late_ms = ms;
	writes = 0;
	late_writes = 0;
	si_log(key ? "store begins to lose answers"
		   : "store answers all writes again");
}

void si_count_writes(unsigned *all, unsigned *lost)
{
	*all = writes;
	*lost = late_writes;
}

void si_put_odd_entry(void)
{
	char *base64 = to_base64("{\"owner\":\"another writer\"}");

	revision++;
	set_key("servers/i-" ODD_BYTE "00", base64, 0);
	free(base64);
	si_log("another writer puts an entry servers/i-\\xff00");
	tick_watches();
}

const char *si_worker_rack(unsigned worker)
{
	return workers[worker].rack;
}

unsigned si_lapsed(void)
{
	return lapsed;
}

unsigned si_store_too_large(void)
{
	return too_large;
}

size_t si_store_largest(void)
{
	return largest;
}

int si_owner_zone(void)
{
	static uint64_t known_revision;
	static int zone = -1;
	struct key *k = find_key("waxwing/owner/lead");

	if (!k || !k->value)
		return -1;
	if (k->revision == known_revision)
		return zone;
	known_revision = k->revision;
	zone = -1;
	for (unsigned n = 0; n < opt.nodes; n++) {
		char text[64], *base64;

		/* Compares whole groups of three bytes. */
		snprintf(text, sizeof(text), "%s:7720", nodes[n].ip);
		text[strlen(text) / 3 * 3] = '\0';
		base64 = to_base64(text);
		if (!strncmp(base64, k->value, strlen(base64)))
			zone = (int)nodes[n].zone;
		free(base64);
	}
	si_log("the owner is in zone-%d", zone);
	return zone;
}
