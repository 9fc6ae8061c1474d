#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

/* Bounds of the small deployment yildirim-form. */
#define HOLD_MAX_MS 6000u
#define GANG_TIMEOUT_MS 3000u
#define HEARTBEAT_MS 1100u
/* An entry is removed after three heartbeats of silence. */
#define ENTRY_MS (3 * HEARTBEAT_MS)
#define KEYS_MAX 4096
#define LEASES_MAX 256
#define WATCHES_MAX 64

struct key {
	char name[201];
	char *value; /* base64; NULL: deleted */
	uint64_t revision, created, lease;
};

struct lease {
	uint64_t id, ttl_ms, end_ms;
};

struct watch {
	struct evhttp_request *req;
	char prefix[201];
	uint64_t after, deadline_ms;
};

static struct key keys[KEYS_MAX];
static int key_count;
static struct lease leases[LEASES_MAX];
static uint64_t lease_ids = 100, revision = 10;
static struct watch watches[WATCHES_MAX];
static int watch_count;
static struct world *world;

/* ---- time and record ---- */

static uint64_t steady_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_BOOTTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static uint64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

uint64_t now_ms(const struct world *w)
{
	return steady_ms() - w->zero_ms;
}

static void write_line(struct world *w, const char *head, const char *fmt,
		       va_list ap)
{
	uint64_t t = now_ms(w);

	fprintf(w->record, "%3llu.%03llu %s", (unsigned long long)t / 1000,
		(unsigned long long)t % 1000, head);
	vfprintf(w->record, fmt, ap);
	fputc('\n', w->record);
	fflush(w->record);
}

void record(struct world *w, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_line(w, "", fmt, ap);
	va_end(ap);
}

void violation(struct world *w, const char *fmt, ...)
{
	va_list ap;

	w->broken++;
	va_start(ap, fmt);
	write_line(w, "BROKEN ", fmt, ap);
	va_end(ap);
}

/* ---- HTTP ---- */

static void reply(struct evhttp_request *req, int status, json_t *body)
{
	struct evbuffer *out = evbuffer_new();
	char *text = body ? json_dumps(body, JSON_COMPACT) : NULL;

	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	if (text)
		evbuffer_add(out, text, strlen(text));
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(body);
}

static json_t *body_of(struct evhttp_request *req)
{
	struct evbuffer *in = evhttp_request_get_input_buffer(req);
	size_t n = evbuffer_get_length(in);

	return json_loadb((char *)evbuffer_pullup(in, -1), n, 0, NULL);
}

static const char *text_of(const json_t *o, const char *name)
{
	const char *s = json_string_value(json_object_get(o, name));

	return s ? s : "";
}

static uint64_t number_of(const json_t *o, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(o, name));
}

/* ---- store ---- */

static const char digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static char *encode64(const char *s)
{
	size_t n = strlen(s);
	char *out = malloc(n / 3 * 4 + 8), *o = out;

	for (size_t i = 0; i < n; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)s[i] << 16;

		if (i + 1 < n)
			v |= (uint32_t)(unsigned char)s[i + 1] << 8;
		if (i + 2 < n)
			v |= (unsigned char)s[i + 2];
		*o++ = digits[v >> 18];
		*o++ = digits[v >> 12 & 63];
		*o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
		*o++ = i + 2 < n ? digits[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

static char *decode64(const char *s)
{
	char *out = malloc(strlen(s) + 4), *o = out;
	uint32_t v = 0;
	int bits = 0;

	for (; *s && *s != '='; s++) {
		v = v << 6 | (uint32_t)(strchr(digits, *s) - digits);
		bits += 6;
		if (bits >= 8) {
			bits -= 8;
			*o++ = (char)(v >> bits);
		}
	}
	*o = '\0';
	return out;
}

static struct key *find_key(const char *name)
{
	for (int i = 0; i < key_count; i++)
		if (!strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

/* The revision must have been advanced. */
static void set_key(const char *name, const char *value, uint64_t lease)
{
	struct key *k = find_key(name);

	if (!k) {
		if (key_count == KEYS_MAX)
			world_abort(world, "too many keys");
		k = &keys[key_count++];
		snprintf(k->name, sizeof(k->name), "%s", name);
	}
	if (!k->value)
		k->created = revision;
	free(k->value);
	k->value = strdup(value);
	k->lease = lease;
	k->revision = revision;
}

static void remove_key(struct key *k)
{
	if (!k || !k->value)
		return;
	free(k->value);
	k->value = NULL;
	k->revision = revision;
}

void store_put(struct world *w, const char *key, const char *value)
{
	char *v = encode64(value);

	(void)w;
	revision++;
	set_key(key, v, 0);
	free(v);
}

void store_delete(struct world *w, const char *key)
{
	(void)w;
	revision++;
	remove_key(find_key(key));
}

const char *store_get(struct world *w, const char *key)
{
	static char *last;
	struct key *k = find_key(key);

	(void)w;
	free(last);
	last = k && k->value ? decode64(k->value) : NULL;
	return last;
}

static json_t *item_of(const struct key *k)
{
	if (!k->value)
		return json_pack("{s:s,s:I,s:b}", "key", k->name, "revision",
				 (json_int_t)k->revision, "deleted", 1);
	return json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", k->name, "value",
			 k->value, "revision", (json_int_t)k->revision,
			 "created", (json_int_t)k->created, "lease",
			 (json_int_t)k->lease);
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(const struct key *const *)a)->name,
		      (*(const struct key *const *)b)->name);
}

static int by_revision(const void *a, const void *b)
{
	const struct key *x = *(const struct key *const *)a;
	const struct key *y = *(const struct key *const *)b;

	return x->revision < y->revision ? -1 : x->revision > y->revision;
}

static void serve_range(struct evhttp_request *req, struct evkeyvalq *q)
{
	const char *prefix = evhttp_find_header(q, "prefix");
	const char *after = evhttp_find_header(q, "after");
	struct key *sorted[KEYS_MAX];
	json_t *items = json_array();
	bool more = false;
	int n = 0;

	for (int i = 0; i < key_count; i++)
		if (keys[i].value &&
		    !strncmp(keys[i].name, prefix, strlen(prefix)) &&
		    (!after || strcmp(keys[i].name, after) > 0))
			sorted[n++] = &keys[i];
	qsort(sorted, (size_t)n, sizeof(*sorted), by_name);
	for (int i = 0; i < n && !more; i++)
		if (json_array_size(items) == 500)
			more = true;
		else
			json_array_append_new(items, item_of(sorted[i]));
	reply(req, 200, json_pack("{s:o,s:b,s:I}", "items", items, "has-more",
				  more, "current-rev", (json_int_t)revision));
}

static bool answer_watch(const struct watch *w, bool expired)
{
	struct key *changed[KEYS_MAX];
	json_t *events;
	int n = 0;

	for (int i = 0; i < key_count; i++)
		if (keys[i].revision > w->after &&
		    !strncmp(keys[i].name, w->prefix, strlen(w->prefix)))
			changed[n++] = &keys[i];
	if (!n && !expired)
		return false;
	qsort(changed, (size_t)n, sizeof(*changed), by_revision);
	events = json_array();
	for (int i = 0; i < n; i++)
		json_array_append_new(events, item_of(changed[i]));
	reply(w->req, 200, json_pack("{s:o,s:I}", "events", events,
				     "current-rev", (json_int_t)revision));
	return true;
}

static void on_watch_close(struct evhttp_connection *c, void *arg)
{
	(void)arg;
	for (int i = watch_count; i-- > 0;)
		if (evhttp_request_get_connection(watches[i].req) == c)
			watches[i] = watches[--watch_count];
}

static void serve_watch(struct evhttp_request *req, struct evkeyvalq *q)
{
	struct watch w = { .req = req };
	uint64_t wait = strtoull(evhttp_find_header(q, "wait-ms"), NULL, 10);

	snprintf(w.prefix, sizeof(w.prefix), "%s",
		 evhttp_find_header(q, "prefix"));
	w.after = strtoull(evhttp_find_header(q, "after"), NULL, 10);
	w.deadline_ms = steady_ms() + wait;
	if (answer_watch(&w, !wait))
		return;
	if (watch_count == WATCHES_MAX) {
		reply(req, 503, NULL);
		return;
	}
	watches[watch_count++] = w;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_watch_close, NULL);
}

static struct lease *find_lease(uint64_t id)
{
	for (int i = 0; i < LEASES_MAX; i++)
		if (id && leases[i].id == id)
			return &leases[i];
	return NULL;
}

static void end_lease(struct lease *l)
{
	revision++;
	for (int i = 0; i < key_count; i++)
		if (keys[i].lease == l->id)
			remove_key(&keys[i]);
	l->id = 0;
}

static void serve_txn(struct evhttp_request *req)
{
	json_t *body = body_of(req), *row, *items = json_array();
	json_t *expect = json_object_get(body, "expect");
	json_t *sets = json_object_get(body, "set-keys");
	json_t *removes = json_object_get(body, "remove");
	bool holds = true;
	size_t i;

	json_array_foreach(expect, i, row)
	{
		const struct key *k = find_key(text_of(row, "key"));
		uint64_t present = k && k->value ? k->revision : 0;

		holds = holds && present == number_of(row, "revision");
		json_array_append_new(
			items, present ? item_of(k)
				       : json_pack("{s:s,s:i}", "key",
						   text_of(row, "key"),
						   "revision", 0));
	}
	json_array_foreach(sets, i, row)
	{
		if (number_of(row, "lease") &&
		    !find_lease(number_of(row, "lease"))) {
			reply(req, 404, NULL);
			goto out;
		}
	}
	if (!holds) {
		reply(req, 412, json_pack("{s:O}", "items", items));
		goto out;
	}
	revision++;
	json_array_foreach(sets, i, row)
	{
		set_key(text_of(row, "key"), text_of(row, "value"),
			number_of(row, "lease"));
	}
	json_array_foreach(removes, i, row)
	{
		remove_key(find_key(json_string_value(row)));
	}
	reply(req, 200, json_pack("{s:I}", "revision", (json_int_t)revision));
out:
	json_decref(items);
	json_decref(body);
}

static void serve_lease(struct evhttp_request *req)
{
	json_t *body = body_of(req);
	uint64_t ttl = number_of(body, "ttl-ms");
	struct lease *l = &leases[++lease_ids % LEASES_MAX];

	json_decref(body);
	*l = (struct lease){ lease_ids, ttl, steady_ms() + ttl };
	reply(req, 200, json_pack("{s:I,s:I}", "lease", (json_int_t)l->id,
				  "ttl-ms", (json_int_t)ttl));
}

static void serve_keep(struct evhttp_request *req, const char *uri, bool end)
{
	struct lease *l = find_lease(strtoull(strrchr(uri, '/') + 1, NULL, 10));

	if (!l) {
		reply(req, 404, NULL);
		return;
	}
	l->end_ms = steady_ms() + l->ttl_ms;
	reply(req, 200, json_pack("{s:I}", "ttl-ms", (json_int_t)l->ttl_ms));
	if (end)
		end_lease(l);
}

static void on_store_request(struct evhttp_request *req, void *arg)
{
	const struct entry *e = arg;
	const char *uri = evhttp_request_get_uri(req);
	const char *query = strchr(uri, '?');
	struct evkeyvalq q = { 0 };
	const struct key *k;

	if (e->store_down) {
		reply(req, 503, NULL);
		return;
	}
	evhttp_parse_query_str(query ? query + 1 : "", &q);
	if (strstr(uri, "/kv-key?")) {
		k = find_key(evhttp_find_header(&q, "key"));
		if (k && k->value) {
			json_t *o = item_of(k);

			json_object_set_new(o, "current-rev",
					    json_integer((json_int_t)revision));
			reply(req, 200, o);
		} else {
			reply(req, 404, NULL);
		}
	} else if (strstr(uri, "/kv-range?")) {
		serve_range(req, &q);
	} else if (strstr(uri, "/kv-watch?")) {
		serve_watch(req, &q);
	} else if (strstr(uri, "/kv-txn")) {
		serve_txn(req);
	} else if (strstr(uri, "/kv-keep/")) {
		serve_keep(req, uri, false);
	} else if (strstr(uri, "/kv-lease-end/")) {
		serve_keep(req, uri, true);
	} else if (strstr(uri, "/kv-lease")) {
		serve_lease(req);
	} else {
		reply(req, 400, NULL);
	}
	evhttp_clear_headers(&q);
}

static void store_tick(uint64_t now)
{
	for (int i = 0; i < LEASES_MAX; i++)
		if (leases[i].id && now > leases[i].end_ms)
			end_lease(&leases[i]);
	for (int i = watch_count; i-- > 0;) {
		struct watch w = watches[i];

		if (answer_watch(&w, now >= w.deadline_ms))
			watches[i] = watches[--watch_count];
	}
}

/* ---- workers ---- */

static uint64_t clock_of(const struct worker *k)
{
	return steady_ms() - k->clock_zero;
}

static uint32_t option(const char *text, char letter, uint32_t step,
		       uint32_t other)
{
	char name[16];
	const char *p;

	snprintf(name, sizeof(name), "%c%u=", letter, step);
	p = strstr(text, name);
	return p ? (uint32_t)strtoul(p + strlen(name), NULL, 10) : other;
}

static void put_entry(struct worker *k)
{
	char key[64];
	json_t *o = json_pack(
		"{s:s,s:s,s:s,s:s,s:i,s:s,s:{s:i,s:i},s:[s,s],s:I,s:I}",
		"service", k->service, "address", "", "zone", "z1", "version",
		"v1", "slots", 8, "state", k->draining ? "draining" : "ready",
		"capacity", "cpu", (int)k->cpu, "memory-request-mb",
		(int)k->memory, "labels", k->kind, k->rack, "born",
		(json_int_t)k->born_ms, "sequence",
		(json_int_t)(steady_ms() % 100000));
	char address[32], *text;

	snprintf(address, sizeof(address), "127.0.0.1:%u", k->port);
	json_object_set_new(o, "address", json_string(address));
	text = json_dumps(o, JSON_COMPACT);
	snprintf(key, sizeof(key), "servers/%s", k->id);
	store_put(world, key, text);
	k->entry = true;
	free(text);
	json_decref(o);
}

/* A gang's step, its occurrence and its run: all but the index and the worker. */
static bool same_gang(const struct run *a, const struct run *b)
{
	size_t n = (size_t)(strrchr(a->task, '.') - a->task);

	return a->gang && a->run == b->run && !strncmp(a->task, b->task, n) &&
	       strchr(b->task + n, '.') == strrchr(b->task, '.');
}

static bool runs(const struct run *r)
{
	const struct worker *k = &world->workers[r->worker];

	return r->state == RUN_ON && k->up && r->life == k->life;
}

static struct run *find_run(const struct worker *k, const char *task,
			    uint32_t run)
{
	for (int i = world->run_count; i-- > 0;) {
		struct run *r = &world->runs[i];

		if (r->worker == k->index && r->life == k->life &&
		    r->run == run && !strcmp(r->task, task))
			return r;
	}
	return NULL;
}

static void end_run(struct worker *k, struct run *r, const char *how)
{
	r->state = RUN_ENDED;
	snprintf(r->how, sizeof(r->how), "%s", how);
	r->seq = ++k->last_seq;
	r->listed = true;
	record(world, "ended   worker=%s task=%s run=%u how=%s seq=%llu", k->id,
	       r->task, r->run, how, (unsigned long long)r->seq);
}

/* The end of one member breaks the others. */
static void break_gang(const struct run *ended)
{
	for (int i = 0; i < world->run_count; i++) {
		struct run *r = &world->runs[i];

		if (r != ended && runs(r) && same_gang(r, ended))
			end_run(&world->workers[r->worker], r, "broken");
	}
}

/* Members wait for the others, but not for longer than this. */
static void check_gang(struct worker *k, struct run *r, uint64_t now)
{
	uint32_t present = 0;

	for (int i = 0; i < world->run_count; i++)
		present += runs(&world->runs[i]) &&
			   same_gang(r, &world->runs[i]);
	if (present == r->gang)
		r->together = true;
	else if (!r->together && now > r->began_ms + GANG_TIMEOUT_MS)
		end_run(k, r, "alone");
}

static int by_end(const void *a, const void *b)
{
	const struct run *x = *(const struct run *const *)a;
	const struct run *y = *(const struct run *const *)b;

	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

/* Ends are listed in ascending order. */
static void answer_poll(struct worker *k)
{
	static const struct run *ends[RUNS_MAX];
	json_t *running = json_array(), *ended = json_array();
	struct evhttp_request *req = k->poll;
	size_t n = 0;

	k->poll = NULL;
	for (int i = 0; i < world->run_count; i++) {
		const struct run *r = &world->runs[i];

		if (r->worker != k->index || r->life != k->life)
			continue;
		if (r->state == RUN_ON)
			json_array_append_new(
				running,
				json_pack("[s,i,s,i,i]", r->task, (int)r->run,
					  r->checkpoint, 100,
					  (int)(r->ends_ms == UINT64_MAX
							? world->tail_ms
							: r->cpu)));
		else if (r->listed)
			ends[n++] = r;
	}
	qsort(ends, n, sizeof(*ends), by_end);
	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			ended, json_pack("[I,s,i,s,s]",
					 (json_int_t)ends[i]->seq,
					 ends[i]->task, (int)ends[i]->run,
					 ends[i]->how, ends[i]->checkpoint));
	reply(req, 200,
	      json_pack("{s:I,s:I,s:o,s:o}", "clock-ms",
			(json_int_t)clock_of(k), "born",
			(json_int_t)k->born_ms, "running", running, "ended",
			ended));
}

static void on_poll_close(struct evhttp_connection *c, void *arg)
{
	struct worker *k = arg;

	if (k->poll && evhttp_request_get_connection(k->poll) == c)
		k->poll = NULL;
}

static void extend_lease(struct worker *k, const json_t *body)
{
	uint64_t until = number_of(body, "until-ms");

	if (until > clock_of(k) + HOLD_MAX_MS)
		until = clock_of(k) + HOLD_MAX_MS;
	if (until > k->lease_end)
		k->lease_end = until;
}

static void acknowledge(struct worker *k, uint64_t upto)
{
	for (int i = 0; i < world->run_count; i++) {
		struct run *r = &world->runs[i];

		if (r->worker != k->index || r->life != k->life ||
		    r->state != RUN_ENDED || !r->listed || r->seq > upto)
			continue;
		r->listed = false;
		r->noted = !r->lapsed;
	}
}

static void refuse(struct worker *k, struct evhttp_request *req,
		   const char *reason)
{
	reply(req, 409, json_pack("{s:I,s:s}", "clock-ms",
				  (json_int_t)clock_of(k), "reason", reason));
}

static void accept_order(struct worker *k, struct evhttp_request *req)
{
	reply(req, 200,
	      json_pack("{s:I}", "clock-ms", (json_int_t)clock_of(k)));
}

static void serve_hold(struct worker *k, struct evhttp_request *req,
		       const json_t *body)
{
	uint64_t wait = number_of(body, "wait-ms");
	bool ends = false;

	extend_lease(k, body);
	acknowledge(k, number_of(body, "seen-upto"));
	if (k->poll)
		answer_poll(k);
	k->poll = req;
	k->poll_deadline = steady_ms() + wait;
	evhttp_connection_set_closecb(evhttp_request_get_connection(req),
				      on_poll_close, k);
	for (int i = 0; i < world->run_count; i++)
		ends = ends || (world->runs[i].worker == k->index &&
				world->runs[i].life == k->life &&
				world->runs[i].state == RUN_ENDED &&
				world->runs[i].listed);
	if (!wait || ends)
		answer_poll(k);
}

/* Two runs at the same time, or a start after an end that was noted. */
static void check_twice(const struct worker *k, const char *task, uint32_t run)
{
	for (int i = 0; i < world->run_count; i++) {
		const struct run *r = &world->runs[i];
		const struct worker *o = &world->workers[r->worker];

		if (strcmp(r->task, task))
			continue;
		if (r->state == RUN_ON && o->up && r->life == o->life) {
			world->twice++;
			record(world, "two runs of task=%s: run=%u on %s, "
			       "run=%u on %s", task, r->run, o->id, run, k->id);
		} else if (!strcmp(r->how, "done") && r->noted) {
			world->twice++;
			record(world, "start of task=%s run=%u on %s after "
			       "run=%u was done and noted", task, run, k->id,
			       r->run);
		}
	}
}

static void serve_start(struct worker *k, struct evhttp_request *req,
			const json_t *body)
{
	const char *task = text_of(body, "task");
	const char *text = text_of(body, "specification");
	uint32_t run = (uint32_t)number_of(body, "run"), step = 0, failed, ms;
	struct run *r = find_run(k, task, run);

	sscanf(task, "%*[^.].%*u.%u", &step);
	if (number_of(body, "until-ms") <= clock_of(k)) {
		refuse(k, req, "late");
		return;
	}
	extend_lease(k, body);
	if (r && r->state == RUN_ON) {
		accept_order(k, req);
		return;
	}
	for (int i = 0; i < world->run_count; i++) {
		const struct run *x = &world->runs[i];

		if (x->worker == k->index && x->life == k->life &&
		    x->state == RUN_ENDED && x->run >= run &&
		    !strcmp(x->task, task)) {
			refuse(k, req, "old");
			return;
		}
	}
	if (world->run_count == RUNS_MAX)
		world_abort(world, "too many runs");
	check_twice(k, task, run);
	failed = (uint32_t)count_runs(world, task, "failed");
	r = &world->runs[world->run_count++];
	*r = (struct run){ .run = run, .worker = k->index, .life = k->life };
	snprintf(r->task, sizeof(r->task), "%s", task);
	snprintf(r->checkpoint, sizeof(r->checkpoint), "%.23s",
		 text_of(body, "checkpoint"));
	ms = option(text, 'd', step, 500);
	r->began_ms = steady_ms();
	r->ends_ms = strstr(text, "lasts") ? UINT64_MAX : r->began_ms + ms;
	r->cpu = option(text, 'c', step, 1000);
	r->gang = option(text, 'g', step, 0);
	/* Shows in the record; ends as failed when its time is over. */
	snprintf(r->how, sizeof(r->how), "%s",
		 failed < option(text, 'f', step, 0) ? "failed" : "done");
	record(world, "started worker=%s kind=%s task=%s run=%u token=%llu",
	       k->id, k->kind, task, run,
	       (unsigned long long)number_of(body, "fencing-token"));
	accept_order(k, req);
}

static void serve_stop(struct worker *k, struct evhttp_request *req,
		       const json_t *body)
{
	const char *task = text_of(body, "task");
	uint32_t run = (uint32_t)number_of(body, "run");
	struct run *r = find_run(k, task, run);

	record(world, "stop    worker=%s task=%s run=%u there=%d", k->id, task,
	       run, r && r->state == RUN_ON);
	if (r && r->state == RUN_ON) {
		end_run(k, r, "stopped");
		break_gang(r);
	} else if (!r && world->run_count < RUNS_MAX) {
		r = &world->runs[world->run_count++];
		*r = (struct run){ .run = run,
				   .worker = k->index,
				   .life = k->life,
				   .state = RUN_ENDED,
				   .how = "never" };
		snprintf(r->task, sizeof(r->task), "%s", task);
	}
	accept_order(k, req);
}

static void on_worker_request(struct evhttp_request *req, void *arg)
{
	struct worker *k = arg;
	const char *uri = evhttp_request_get_uri(req);
	const char *id = evhttp_find_header(
		evhttp_request_get_input_headers(req), "X-Expected-Instance");
	json_t *body;

	if (id && strcmp(id, k->id)) {
		reply(req, 421, NULL);
		return;
	}
	body = body_of(req);
	if (number_of(body, "fencing-token") < k->token) {
		record(world, "fenced  worker=%s %s token=%llu", k->id, uri,
		       (unsigned long long)number_of(body, "fencing-token"));
		refuse(k, req, "fence");
	} else {
		k->token = number_of(body, "fencing-token");
		if (strstr(uri, "/hold"))
			serve_hold(k, req, body);
		else if (strstr(uri, "/run-start"))
			serve_start(k, req, body);
		else if (strstr(uri, "/run-stop"))
			serve_stop(k, req, body);
		else
			accept_order(k, req);
	}
	json_decref(body);
}

static void worker_tick(struct worker *k, uint64_t now)
{
	bool ends = false;

	if (!k->up)
		return;
	for (int i = 0; i < world->run_count; i++) {
		struct run *r = &world->runs[i];

		if (r->worker != k->index || r->life != k->life)
			continue;
		if (clock_of(k) > k->lease_end) {
			if (r->state == RUN_ON) {
				end_run(k, r, "lapsed");
				break_gang(r);
			} else if (r->listed)
				r->lapsed = true;
		} else if (r->state == RUN_ON && r->gang && !r->together) {
			check_gang(k, r, now);
		} else if (r->state == RUN_ON && now >= r->ends_ms) {
			char how[8];

			memcpy(how, r->how, sizeof(how));
			end_run(k, r, how);
		}
		ends = ends || (r->state == RUN_ENDED && r->listed);
	}
	if (k->poll && (ends || now >= k->poll_deadline))
		answer_poll(k);
}

static void listen_worker(struct worker *k)
{
	k->server = evhttp_new(world->base);
	evhttp_set_gencb(k->server, on_worker_request, k);
	if (evhttp_bind_socket(k->server, "127.0.0.1", k->port) < 0)
		world_abort(world, "a worker cannot listen");
	k->up = true;
}

int worker_add(struct world *w, const char *service, const char *kind,
	       const char *rack, uint32_t cpu, uint32_t memory)
{
	struct worker *k = &w->workers[w->worker_count];

	*k = (struct worker){ .index = w->worker_count++,
			      .port = w->port++,
			      .cpu = cpu,
			      .memory = memory,
			      .born_ms = wall_ms(),
			      .clock_zero = steady_ms() - 1000 };
	snprintf(k->id, sizeof(k->id), "i-%08x", 0x51ab0000u + k->port);
	snprintf(k->service, sizeof(k->service), "%s", service);
	snprintf(k->kind, sizeof(k->kind), "%s", kind);
	snprintf(k->rack, sizeof(k->rack), "%s", rack);
	listen_worker(k);
	put_entry(k);
	return k->index;
}

void worker_crash(struct world *w, int worker)
{
	struct worker *k = &w->workers[worker];

	record(w, "crash   worker=%s", k->id);
	for (int i = 0; i < w->run_count; i++)
		if (w->runs[i].worker == worker && w->runs[i].life == k->life &&
		    w->runs[i].state == RUN_ON) {
			w->runs[i].state = RUN_ENDED;
			snprintf(w->runs[i].how, sizeof(w->runs[i].how),
				 "lost");
		}
	k->up = false;
	k->down_ms = steady_ms();
	for (int i = 0; i < w->run_count; i++)
		if (w->runs[i].worker == worker && w->runs[i].life == k->life &&
		    !strcmp(w->runs[i].how, "lost"))
			break_gang(&w->runs[i]);
	k->life++;
	k->poll = NULL;
	evhttp_free(k->server);
	k->server = NULL;
}

void worker_restart(struct world *w, int worker)
{
	struct worker *k = &w->workers[worker];

	k->token = 0;
	k->lease_end = 0;
	k->last_seq = 0;
	k->born_ms = wall_ms();
	k->clock_zero = steady_ms() - 1000;
	listen_worker(k);
	put_entry(k);
	record(w, "restart worker=%s kind=%s", k->id, k->kind);
}

int count_runs(const struct world *w, const char *task, const char *how)
{
	int n = 0;

	for (int i = 0; i < w->run_count; i++)
		n += !strcmp(w->runs[i].task, task) &&
		     (!how || (w->runs[i].state == RUN_ENDED &&
			       !strcmp(w->runs[i].how, how)));
	return n;
}

int count_running(const struct world *w, const char *task)
{
	int n = 0;

	for (int i = 0; i < w->run_count; i++)
		n += w->runs[i].state == RUN_ON &&
		     !strncmp(w->runs[i].task, task, strlen(task));
	return n;
}

int cpu_used_percent(const struct world *w, const char *service)
{
	uint64_t all = 0, used = 0;

	for (int i = 0; i < w->worker_count; i++)
		if (w->workers[i].up &&
		    !strcmp(w->workers[i].service, service))
			all += w->workers[i].cpu;
	for (int i = 0; i < w->run_count; i++)
		if (w->runs[i].state == RUN_ON &&
		    !strcmp(w->workers[w->runs[i].worker].service, service))
			used += w->runs[i].cpu;
	return all ? (int)(used * 100 / all) : 100;
}

/* ---- entry VMs ---- */

static void substitute(char *text, size_t size, const char *name,
		       const char *value)
{
	char *p = strstr(text, name), rest[4096];

	if (!p)
		return;
	snprintf(rest, sizeof(rest), "%s", p + strlen(name));
	snprintf(p, size - (size_t)(p - text), "%s%s", value, rest);
	substitute(text, size, name, value);
}

/* Renders the template of the deploy file. */
static void write_settings(struct world *w, int i)
{
	struct entry *e = &w->entries[i];
	char text[4096] = "", value[64];
	FILE *f = fopen("deploy/waxwingd.conf.in", "r");

	if (!f || !fread(text, 1, sizeof(text) - 1, f))
		world_abort(w, "cannot read deploy/waxwingd.conf.in");
	fclose(f);
#define SET(name, ...) \
	(snprintf(value, sizeof(value), __VA_ARGS__), \
	 substitute(text, sizeof(text), "{{" name "}}", value))
	SET("node", "front-%d", i);
	SET("zone", "z%d", i + 1);
	SET("limits.cpu-share", "0.25");
	SET("listen.front", "%s:%u", e->ip, e->front);
	SET("listen.readiness", "%s:%u", e->ip, e->readiness);
	SET("platform.address", "127.0.0.1:%u", e->store);
	SET("ip", "%s", e->ip);
	SET("internal-port-range.0", "%u", e->ports);
	SET("internal-port-range.1", "%u", e->ports + 1u);
	SET("bounds.hold-max-ms", "6000");
	SET("bounds.status_s", "120");
	SET("bounds.grace-s", "6");
#undef SET
	if (strstr(text, "{{"))
		world_abort(w, "a field of the template is not known");
	f = fopen(e->conf, "w");
	if (!f)
		world_abort(w, "cannot write settings");
	fputs(text, f);
	fclose(f);
}

void entry_start(struct world *w, int i)
{
	struct entry *e = &w->entries[i];
	pid_t pid = fork();

	if (!pid) {
		int fd = open(e->log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		dup2(fd, 1);
		dup2(fd, 2);
		for (int n = 3; n < 1024; n++)
			close(n);
		execl("target/waxwingd", "target/waxwingd", "-c", e->conf,
		      (char *)NULL);
		_exit(127);
	}
	e->pid = pid;
	record(w, "process front-%d started", i);
}

void entries_start(struct world *w, int count)
{
	uint16_t first = w->port;

	w->port += 8;
	w->entry_count = count;
	for (int i = 0; i < count; i++) {
		struct entry *e = &w->entries[i];
		struct evhttp *http = evhttp_new(w->base);

		snprintf(e->ip, sizeof(e->ip), "127.%d.%d.%d",
			 1 + getpid() / 250 % 250, 1 + getpid() % 250, i + 1);
		e->front = first;
		e->readiness = first + 1;
		e->ports = first + 2;
		e->store = w->port++;
		snprintf(e->conf, sizeof(e->conf), "%s/front-%d.conf", w->dir,
			 i);
		snprintf(e->log, sizeof(e->log), "%s/front-%d.log", w->dir, i);
		evhttp_set_gencb(http, on_store_request, e);
		evhttp_set_allowed_methods(http, EVHTTP_REQ_GET |
							 EVHTTP_REQ_POST |
							 EVHTTP_REQ_DELETE);
		if (evhttp_bind_socket(http, "127.0.0.1", e->store) < 0)
			world_abort(w, "the store cannot listen");
		write_settings(w, i);
	}
	for (int i = 0; i < count; i++)
		entry_start(w, i);
}

void entry_signal(struct world *w, int i, int sig)
{
	record(w, "signal  front-%d %s", i, strsignal(sig));
	kill(w->entries[i].pid, sig);
}

bool entry_wait(struct world *w, int i, uint32_t ms)
{
	uint64_t end = now_ms(w) + ms;
	int status;

	do {
		if (waitpid(w->entries[i].pid, &status, WNOHANG) ==
		    w->entries[i].pid) {
			record(w, "process front-%d ended, status %d", i,
			       status);
			w->entries[i].pid = 0;
			return true;
		}
		world_run(w, 20);
	} while (now_ms(w) < end);
	return false;
}

int entry_owner(struct world *w)
{
	const char *value = store_get(w, "waxwing/owner/lead");

	for (int i = 0; value && i < w->entry_count; i++)
		if (!strncmp(value, w->entries[i].ip,
			     strlen(w->entries[i].ip)) &&
		    value[strlen(w->entries[i].ip)] == ':')
			return i;
	return -1;
}

/* ---- callers ---- */

struct pending {
	struct answer *answer;
	bool finished;
};

static void on_answer(struct evhttp_request *req, void *arg)
{
	struct pending *p = arg;
	struct evbuffer *in;
	ssize_t n;

	p->finished = true;
	if (!req)
		return;
	p->answer->status = evhttp_request_get_response_code(req);
	in = evhttp_request_get_input_buffer(req);
	n = evbuffer_copyout(in, p->answer->body, sizeof(p->answer->body) - 1);
	p->answer->body[n > 0 ? n : 0] = '\0';
}

static struct answer call_port(struct world *w, int entry, uint16_t port,
			       const char *method, const char *host,
			       const char *path, const char *body)
{
	struct answer a = { 0 };
	struct pending p = { .answer = &a };
	struct evhttp_connection *c = evhttp_connection_base_new(
		w->base, NULL, w->entries[entry].ip, port);
	struct evhttp_request *req = evhttp_request_new(on_answer, &p);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_connection_set_timeout(c, 4);
	evhttp_add_header(headers, "Host", host);
	evhttp_add_header(headers, "X-Deadline-Remaining", "3000");
	if (body) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(req), body,
			     strlen(body));
	}
	evhttp_make_request(c, req,
			    !strcmp(method, "POST")	? EVHTTP_REQ_POST
			    : !strcmp(method, "DELETE") ? EVHTTP_REQ_DELETE
							: EVHTTP_REQ_GET,
			    path);
	while (!p.finished)
		world_run(w, 5);
	evhttp_connection_free(c);
	return a;
}

struct answer call(struct world *w, int entry, const char *method,
		   const char *host, const char *path, const char *body)
{
	struct answer a = call_port(w, entry, w->entries[entry].front, method,
				    host, path, body);

	record(w, "call    front-%d %s %s%s%s -> %d %s", entry, method, path,
	       body ? " " : "", body ? body : "", a.status, a.body);
	return a;
}

struct answer call_retry(struct world *w, int entry, const char *method,
			 const char *host, const char *path, const char *body)
{
	struct answer a = { 0 };

	for (int n = 0; n < 12; n++) {
		a = call(w, (entry + n) % w->entry_count, method, host, path,
			 body);
		if (a.status && a.status < 502)
			break;
		world_run(w, 500);
	}
	return a;
}

void entries_wait_ready(struct world *w)
{
	uint64_t end = now_ms(w) + 15000;
	int ready;

	do {
		world_run(w, 100);
		ready = 0;
		for (int i = 0; i < w->entry_count; i++)
			ready += w->entries[i].pid &&
				 call_port(w, i, w->entries[i].readiness, "GET",
					   "x", "/waxwingflow/readiness",
					   NULL).status == 200;
		if (now_ms(w) > end)
			world_abort(w, "the entry VMs are not ready in time");
	} while (ready < w->entry_count || entry_owner(w) < 0);
	record(w, "ready, owner is front-%d", entry_owner(w));
}

/* ---- the world ---- */

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	static uint64_t heartbeat;
	struct world *w = arg;
	uint64_t now = steady_ms();

	(void)fd;
	(void)what;
	store_tick(now);
	for (int i = 0; i < w->worker_count; i++) {
		struct worker *k = &w->workers[i];
		char key[64];

		worker_tick(k, now);
		if (k->up || !k->entry || now < k->down_ms + ENTRY_MS)
			continue;
		snprintf(key, sizeof(key), "servers/%s", k->id);
		store_delete(w, key);
		k->entry = false;
	}
	if (now < heartbeat + HEARTBEAT_MS)
		return;
	heartbeat = now;
	for (int i = 0; i < w->worker_count; i++)
		if (w->workers[i].up)
			put_entry(&w->workers[i]);
}

static bool port_range_free(uint16_t first, int count)
{
	for (int i = 0; i < count; i++) {
		struct sockaddr_in a = { .sin_family = AF_INET,
					 .sin_port = htons(
						 (uint16_t)(first + i)) };
		int fd = socket(AF_INET, SOCK_STREAM, 0), bad;

		inet_pton(AF_INET, "127.0.0.1", &a.sin_addr);
		bad = bind(fd, (struct sockaddr *)&a, sizeof(a));
		close(fd);
		if (bad)
			return false;
	}
	return true;
}

void world_begin(struct world *w, const char *record_path)
{
	static const struct timeval tick = { 0, 5000 };
	const char *tmp = getenv("TMPDIR");

	memset(w, 0, sizeof(*w));
	world = w;
	signal(SIGPIPE, SIG_IGN);
	w->zero_ms = steady_ms();
	w->record = fopen(record_path, "w");
	if (!w->record)
		exit(2);
	fcntl(fileno(w->record), F_SETFD, FD_CLOEXEC);
	snprintf(w->dir, sizeof(w->dir), "%s/review.XXXXXX", tmp ? tmp : "/tmp");
	if (!mkdtemp(w->dir))
		world_abort(w, "no temporary folder");
	w->port = (uint16_t)(12000 + getpid() % 300 * 64);
	for (int n = 0; !port_range_free(w->port, 64); n++) {
		w->port = (uint16_t)(12000 + (w->port - 12000 + 64) % 19200);
		if (n > 200)
			world_abort(w, "no free ports");
	}
	w->base = event_base_new();
	event_add(event_new(w->base, -1, EV_PERSIST, on_tick, w), &tick);
}

void world_run(struct world *w, uint32_t ms)
{
	struct timeval tv = { .tv_sec = ms / 1000,
			      .tv_usec = ms % 1000 * 1000 };

	event_base_loopexit(w->base, &tv);
	event_base_dispatch(w->base);
}

static void kill_entries(struct world *w)
{
	for (int i = 0; i < w->entry_count; i++)
		if (w->entries[i].pid > 0) {
			kill(w->entries[i].pid, SIGCONT);
			kill(w->entries[i].pid, SIGKILL);
			waitpid(w->entries[i].pid, NULL, 0);
		}
}

static void remove_folder(struct world *w)
{
	if (getenv("KEEP")) {
		fprintf(stderr, "logs: %s\n", w->dir);
		return;
	}
	for (int i = 0; i < w->entry_count; i++) {
		unlink(w->entries[i].conf);
		unlink(w->entries[i].log);
	}
	rmdir(w->dir);
}

void world_end(struct world *w)
{
	kill_entries(w);
	record(w, w->broken ? "the rule was broken" : "the rule held");
	remove_folder(w);
	exit(w->broken ? 1 : 0);
}

void world_abort(struct world *w, const char *why)
{
	kill_entries(w);
	record(w, "the case could not run: %s", why);
	fprintf(stderr, "%s\n", why);
	remove_folder(w);
	exit(2);
}
