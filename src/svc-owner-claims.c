#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "oplog-codec.h"
#include "svc-owner-internal.h"

#define REPEAT_US 250000u
#define REPEAT_MAX_US 2000000u
/* Without any owner a request is refused after this time, not at its end. */
#define NO_OWNER_WAIT_US 2000000u
/* Answers kept until their owner acknowledges them; more go without body. */
#define REPORT_BYTES_MAX (8u * 1024u * 1024u)

static struct claim_request **find_request(struct owner *o, uint64_t nonce);
static struct claim_report **find_report(struct owner *o, uint64_t nonce);
static struct claim_report *add_report(struct owner *o,
				       const struct claim_key *key);
static void send_request(struct claim_request *r, uint64_t now);
static void send_report(struct claim_report *r, uint64_t now);
static void finish_request(struct claim_request **link, enum claim_code code,
			   int status, const void *body, size_t len);
static void on_claim(void *arg, const char *sender, const void *body,
		     size_t len);
static void on_reply(void *arg, const char *sender, const void *body,
		     size_t len);
static void on_result(void *arg, const char *sender, const void *body,
		      size_t len);
static void on_ack(void *arg, const char *sender, const void *body, size_t len);

static struct shard *shard_of(struct owner *o, const struct claim_key *key)
{
	if (!o->claim_shards)
		return NULL;
	return &o->shards[key->hash[1] % o->claim_shards];
}

static struct claim_request **find_request(struct owner *o, uint64_t nonce)
{
	struct claim_request **r = &o->requests[nonce % OWNER_BUCKETS];

	while (*r && (*r)->key.nonce != nonce)
		r = &(*r)->next;
	return r;
}

static struct claim_report **find_report(struct owner *o, uint64_t nonce)
{
	struct claim_report **r = &o->reports[nonce % OWNER_BUCKETS];

	while (*r && (*r)->key.nonce != nonce)
		r = &(*r)->next;
	return r;
}

/* Remembers a granted claim until its end is acknowledged. */
static struct claim_report *add_report(struct owner *o,
				       const struct claim_key *key)
{
	struct claim_report *r = xcalloc(1, sizeof(*r));
	struct claim_report **link = find_report(o, key->nonce);

	r->owner = o;
	r->key = *key;
	r->next = *link;
	*link = r;
	return r;
}

static void remove_report(struct claim_report **link)
{
	struct claim_report *r = *link;

	*link = r->next;
	r->owner->report_bytes -= r->body.len;
	if (r->ended)
		r->owner->unacknowledged--;
	buffer_free(&r->body);
	free(r);
}

static void end_report(struct claim_report *r, enum claim_outcome outcome,
		       int status, struct buffer *body)
{
	struct owner *o = r->owner;

	r->ended = true;
	r->outcome = outcome;
	r->status = status;
	o->unacknowledged++;
	if (body && body->len <= CLAIM_ANSWER_MAX_BYTES &&
	    o->report_bytes + body->len <= REPORT_BYTES_MAX) {
		r->body = *body;
		memset(body, 0, sizeof(*body));
		o->report_bytes += r->body.len;
	} else if (body) {
		r->status = 0; /* no answer to keep */
	}
	send_report(r, clock_now_us());
}

/* Releases a claim that nobody here waits for any more. */
static void release_claim(struct owner *o, const struct claim_key *key)
{
	if (!*find_report(o, key->nonce))
		end_report(add_report(o, key), CLAIM_NOT_RUN, 0, NULL);
}

/* ---- the request threads' side ---- */

static void finish_request(struct claim_request **link, enum claim_code code,
			   int status, const void *body, size_t len)
{
	struct claim_request *r = *link;
	struct owner *o = r->owner;

	*link = r->next;
	counter_add(o->replies[code], 1);
	r->out->code = code;
	r->out->status = status;
	if (len)
		buffer_append(&r->out->body, body, len);
	if (code == CLAIM_GRANTED)
		add_report(o, &r->key);
	else if (code == CLAIM_UNAVAILABLE && r->asked)
		release_claim(o, &r->key);
	pthread_mutex_lock(&r->lock);
	r->done = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

/* Asks the shard's owner, here or at a peer, as last heard. */
static void send_request(struct claim_request *r, uint64_t now)
{
	struct owner *o = r->owner;
	struct shard *sh = shard_of(o, &r->key);
	struct buffer b = BUFFER_INIT;
	char id[64] = "";

	r->next_send_us = now + REPEAT_US;
	if (!sh)
		return;
	if (oplog_is_owner(sh->log)) {
		struct claims_event e = {
			.type = CLAIMS_CLAIM,
			.key = r->key,
			.entry_vm = o->id,
			.deadline_us = r->deadline_us,
			.wall_s = clock_wall_us() / 1000000u,
		};

		r->asked = true;
		claims_step(sh->claims, now, &e);
		owner_log_event(sh, OPLOG_TICK);
		return;
	}
	owner_of_shard(o, sh->name, id);
	if (!id[0] || !strcmp(id, o->id))
		return;
	oplog_pack_array(&b, 6);
	oplog_pack_str(&b, sh->name);
	oplog_pack_uint(&b, r->key.hash[0]);
	oplog_pack_uint(&b, r->key.hash[1]);
	oplog_pack_uint(&b, r->key.body_hash);
	oplog_pack_uint(&b, r->key.nonce);
	oplog_pack_uint(&b, r->deadline_us - now);
	if (!peers_send(o->peers, id, PEER_CLAIM, b.data, b.len))
		r->asked = true;
	buffer_free(&b);
}

static void begin_request(void *arg)
{
	struct claim_request *r = arg;
	struct owner *o = r->owner;
	struct claim_request **link = find_request(o, r->key.nonce);

	r->next = *link;
	*link = r;
	r->began_us = clock_now_us();
	if (r->began_us < r->deadline_us && !atomic_load(&o->stopped))
		send_request(r, r->began_us);
	else
		finish_request(link, CLAIM_UNAVAILABLE, 0, NULL, 0);
}

void claim_begin(struct owner *o, const struct claim_key *key,
		 uint64_t deadline_us, struct claim_answer *out)
{
	struct claim_request r = {
		.owner = o,
		.key = *key,
		.deadline_us = deadline_us,
		.out = out,
	};

	memset(out, 0, sizeof(*out));
	out->code = CLAIM_UNAVAILABLE;
	if (atomic_load(&o->stopped))
		return;
	pthread_mutex_init(&r.lock, NULL);
	pthread_cond_init(&r.cond, NULL);
	loop_post(o->loop, begin_request, &r);
	/* The control thread ends it at its deadline at the latest. */
	pthread_mutex_lock(&r.lock);
	while (!r.done)
		pthread_cond_wait(&r.cond, &r.lock);
	pthread_mutex_unlock(&r.lock);
	pthread_cond_destroy(&r.cond);
	pthread_mutex_destroy(&r.lock);
}

/* A claim_finish() on its way to the control thread. */
struct finish {
	struct owner *owner;
	struct claim_key key;
	enum claim_outcome outcome;
	int status;
	struct buffer body;
};

static void finish_claim(void *arg)
{
	struct finish *f = arg;
	struct claim_report *r = *find_report(f->owner, f->key.nonce);

	if (!r)
		r = add_report(f->owner, &f->key);
	if (!r->ended)
		end_report(r, f->outcome, f->status,
			   f->outcome == CLAIM_DONE ? &f->body : NULL);
	buffer_free(&f->body);
	free(f);
}

void claim_finish(struct owner *o, const struct claim_key *key,
		  enum claim_outcome outcome, int status, const void *body,
		  size_t len)
{
	struct finish *f = xcalloc(1, sizeof(*f));

	f->owner = o;
	f->key = *key;
	f->outcome = outcome;
	f->status = len <= CLAIM_ANSWER_MAX_BYTES ? status : 0;
	if (outcome == CLAIM_DONE && len <= CLAIM_ANSWER_MAX_BYTES)
		buffer_append(&f->body, body, len);
	loop_post(o->loop, finish_claim, f);
}

/* ---- reports ---- */

static void report_here(struct shard *sh, const struct claim_report *r,
			uint64_t now)
{
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = r->key,
		.entry_vm = sh->owner->id,
		.outcome = r->outcome,
		.status = r->status,
		.body = r->body.data,
		.len = r->body.len,
		.wall_s = clock_wall_us() / 1000000u,
	};

	/* May remove r, when the acknowledgement comes at once. */
	claims_step(sh->claims, now, &e);
	owner_log_event(sh, OPLOG_TICK);
}

static void send_report(struct claim_report *r, uint64_t now)
{
	struct owner *o = r->owner;
	struct shard *sh = shard_of(o, &r->key);
	uint64_t wait = (uint64_t)REPEAT_US << (r->sends < 3 ? r->sends : 3);
	struct buffer b = BUFFER_INIT;
	char id[64] = "";

	r->sends++;
	r->next_send_us = now + (wait < REPEAT_MAX_US ? wait : REPEAT_MAX_US);
	if (!sh)
		return;
	if (oplog_is_owner(sh->log)) {
		report_here(sh, r, now);
		return;
	}
	owner_of_shard(o, sh->name, id);
	if (!id[0] || !strcmp(id, o->id))
		return;
	oplog_pack_array(&b, 8);
	oplog_pack_str(&b, sh->name);
	oplog_pack_uint(&b, r->key.hash[0]);
	oplog_pack_uint(&b, r->key.hash[1]);
	oplog_pack_uint(&b, r->key.body_hash);
	oplog_pack_uint(&b, r->key.nonce);
	oplog_pack_uint(&b, r->outcome);
	oplog_pack_uint(&b, (uint64_t)r->status);
	oplog_pack_bin(&b, r->body.data, r->body.len);
	peers_send(o->peers, id, PEER_CLAIM_RESULT, b.data, b.len);
	buffer_free(&b);
}

/* ---- answers of the claims core, to this process or to a peer ---- */

static void handle_reply(struct owner *o, const struct claim_key *key,
			 enum claim_code code, int status, const void *body,
			 size_t len)
{
	struct claim_request **link = find_request(o, key->nonce);

	if (*link) {
		finish_request(link, code, status, body, len);
	} else if (code == CLAIM_GRANTED && !*find_report(o, key->nonce)) {
		/* Its request has ended without it and did not run. */
		counter_add(o->late_grants, 1);
		release_claim(o, key);
	}
}

static void handle_ack(struct owner *o, uint64_t nonce)
{
	struct claim_report **link = find_report(o, nonce);

	if (*link && (*link)->ended)
		remove_report(link);
}

static void send_reply(struct owner *o, const struct claims_action *a)
{
	struct buffer b = BUFFER_INIT;

	oplog_pack_array(&b, 7);
	oplog_pack_uint(&b, a->key.hash[0]);
	oplog_pack_uint(&b, a->key.hash[1]);
	oplog_pack_uint(&b, a->key.body_hash);
	oplog_pack_uint(&b, a->key.nonce);
	oplog_pack_uint(&b, a->code);
	oplog_pack_uint(&b, (uint64_t)a->status);
	oplog_pack_bin(&b, a->body, a->len);
	peers_send(o->peers, a->entry_vm, PEER_CLAIM_REPLY, b.data, b.len);
	buffer_free(&b);
}

static void send_ack(struct owner *o, const struct claims_action *a)
{
	struct buffer b = BUFFER_INIT;

	oplog_pack_array(&b, 1);
	oplog_pack_uint(&b, a->key.nonce);
	peers_send(o->peers, a->entry_vm, PEER_CLAIM_RESULT_ACK, b.data, b.len);
	buffer_free(&b);
}

void owner_claims_run(struct shard *sh)
{
	struct owner *o = sh->owner;
	struct claims_action a;

	while (claims_next_action(sh->claims, &a)) {
		bool here = !strcmp(a.entry_vm, o->id);

		if (a.type == CLAIMS_REPLY && here)
			handle_reply(o, &a.key, a.code, a.status, a.body,
				     a.len);
		else if (a.type == CLAIMS_REPLY)
			send_reply(o, &a);
		else if (here)
			handle_ack(o, a.key.nonce);
		else
			send_ack(o, &a);
	}
}

/* ---- messages ---- */

/*
 * Decodes an array of the given form: 's' text, 'u' unsigned number, 'b'
 * bytes. Counts and drops anything else.
 */
static int unpack(struct owner *o, const void *body, size_t len,
		  const char *form, msgpack_unpacked *u)
{
	static const msgpack_object_type types[] = {
		['s'] = MSGPACK_OBJECT_STR,
		['u'] = MSGPACK_OBJECT_POSITIVE_INTEGER,
		['b'] = MSGPACK_OBJECT_BIN,
	};
	size_t used = 0;
	size_t want = strlen(form);
	bool good;

	msgpack_unpacked_init(u);
	good = msgpack_unpack_next(u, body, len, &used) ==
		       MSGPACK_UNPACK_SUCCESS &&
	       u->data.type == MSGPACK_OBJECT_ARRAY &&
	       u->data.via.array.size == want;
	for (size_t i = 0; good && i < want; i++)
		good = u->data.via.array.ptr[i].type ==
		       types[(unsigned char)form[i]];
	if (good)
		return 0;
	counter_add(o->dropped_messages, 1);
	msgpack_unpacked_destroy(u);
	return -1;
}

static void read_key(const msgpack_object *o, struct claim_key *key)
{
	key->hash[0] = o[0].via.u64;
	key->hash[1] = o[1].via.u64;
	key->body_hash = o[2].via.u64;
	key->nonce = o[3].via.u64;
}

/* The shard that a message names, when it is owned here. */
static struct shard *owned_shard(struct owner *o, const msgpack_object *name)
{
	struct shard *sh;
	char text[64];

	snprintf(text, sizeof(text), "%.*s", (int)name->via.str.size,
		 name->via.str.ptr);
	sh = owner_find_shard(o, text);
	return sh && oplog_is_owner(sh->log) ? sh : NULL;
}

/* Not being the owner is no answer: the sender asks the next one. */
static void on_claim(void *arg, const char *sender, const void *body,
		     size_t len)
{
	struct owner *o = arg;
	struct claims_event e = { .type = CLAIMS_CLAIM, .entry_vm = sender };
	const msgpack_object *m;
	msgpack_unpacked u;
	struct shard *sh;
	uint64_t now = clock_now_us();

	if (unpack(o, body, len, "suuuuu", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	sh = owned_shard(o, &m[0]);
	if (sh) {
		read_key(m + 1, &e.key);
		/* The answer needs time to arrive before the deadline. */
		e.deadline_us = now + m[5].via.u64 - m[5].via.u64 / 16;
		e.wall_s = clock_wall_us() / 1000000u;
		claims_step(sh->claims, now, &e);
		owner_log_event(sh, OPLOG_TICK);
	}
	msgpack_unpacked_destroy(&u);
}

static void on_reply(void *arg, const char *sender, const void *body,
		     size_t len)
{
	struct owner *o = arg;
	const msgpack_object *m;
	struct claim_key key;
	msgpack_unpacked u;

	(void)sender;
	if (unpack(o, body, len, "uuuuuub", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	read_key(m, &key);
	if (m[4].via.u64 <= CLAIM_UNAVAILABLE)
		handle_reply(o, &key, (enum claim_code)m[4].via.u64,
			     (int)m[5].via.u64, m[6].via.bin.ptr,
			     m[6].via.bin.size);
	msgpack_unpacked_destroy(&u);
}

static void on_result(void *arg, const char *sender, const void *body,
		      size_t len)
{
	struct owner *o = arg;
	struct claims_event e = { .type = CLAIMS_RESULT, .entry_vm = sender };
	const msgpack_object *m;
	msgpack_unpacked u;
	struct shard *sh;

	if (unpack(o, body, len, "suuuuuub", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	sh = owned_shard(o, &m[0]);
	if (sh && m[5].via.u64 <= CLAIM_MAY_HAVE_RUN) {
		read_key(m + 1, &e.key);
		e.outcome = (enum claim_outcome)m[5].via.u64;
		e.status = (int)m[6].via.u64;
		e.body = m[7].via.bin.ptr;
		e.len = m[7].via.bin.size;
		e.wall_s = clock_wall_us() / 1000000u;
		claims_step(sh->claims, clock_now_us(), &e);
		owner_log_event(sh, OPLOG_TICK);
	}
	msgpack_unpacked_destroy(&u);
}

static void on_ack(void *arg, const char *sender, const void *body, size_t len)
{
	struct owner *o = arg;
	msgpack_unpacked u;

	(void)sender;
	if (unpack(o, body, len, "u", &u) < 0)
		return;
	handle_ack(o, u.data.via.array.ptr[0].via.u64);
	msgpack_unpacked_destroy(&u);
}

void owner_claims_start(struct owner *o)
{
	peers_handle(o->peers, PEER_CLAIM, on_claim, o);
	peers_handle(o->peers, PEER_CLAIM_REPLY, on_reply, o);
	peers_handle(o->peers, PEER_CLAIM_RESULT, on_result, o);
	peers_handle(o->peers, PEER_CLAIM_RESULT_ACK, on_ack, o);
}

/* ---- time ---- */

static void add_due(struct owner *o, uint64_t nonce)
{
	if (o->due_count == o->due_capacity) {
		o->due_capacity = o->due_capacity ? 2 * o->due_capacity : 64;
		o->due = xrealloc(o->due, o->due_capacity * sizeof(*o->due));
	}
	o->due[o->due_count++] = nonce;
}

/* Ends a request that is late, or sends it again. */
static void tend_request(struct claim_request **link, uint64_t now)
{
	struct claim_request *r = *link;
	bool hopeless = !r->asked && now - r->began_us > NO_OWNER_WAIT_US;

	if (now >= r->deadline_us || hopeless)
		finish_request(link, CLAIM_UNAVAILABLE, 0, NULL, 0);
	else
		send_request(r, now);
}

/*
 * Tends what is due. An answer at once can end any request or report, so the
 * lists are not walked meanwhile.
 */
void owner_claims_tick(struct owner *o, uint64_t now)
{
	struct claims_event tick = {
		.type = CLAIMS_TICK,
		.wall_s = clock_wall_us() / 1000000u,
	};
	uint32_t requests;

	for (uint32_t i = 0; i < o->shard_count; i++) {
		claims_step(o->shards[i].claims, now, &tick);
		owner_claims_run(&o->shards[i]);
	}
	o->due_count = 0;
	for (uint32_t b = 0; b < OWNER_BUCKETS; b++)
		for (struct claim_request *r = o->requests[b]; r; r = r->next)
			if (now >= r->next_send_us || now >= r->deadline_us)
				add_due(o, r->key.nonce);
	requests = o->due_count;
	for (uint32_t b = 0; b < OWNER_BUCKETS; b++)
		for (struct claim_report *r = o->reports[b]; r; r = r->next)
			if (r->ended && now >= r->next_send_us)
				add_due(o, r->key.nonce);
	for (uint32_t i = 0; i < requests; i++) {
		struct claim_request **q = find_request(o, o->due[i]);

		if (*q)
			tend_request(q, now);
	}
	for (uint32_t i = requests; i < o->due_count; i++) {
		struct claim_report *r = *find_report(o, o->due[i]);

		if (r && r->ended)
			send_report(r, now);
	}
}
