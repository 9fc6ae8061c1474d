#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "oplog-codec.h"
#include "svc-owner-internal.h"

#define RESEND_DELAY_US 250000u
#define RESEND_DELAY_MAX_US 2000000u
/* Refuses a request that reached no owner within this time. */
#define NO_OWNER_TIMEOUT_US 2000000u
/* Responses held by unacknowledged reports; above it they are left out. */
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

static struct shard *shard_for_key(struct owner *o, const struct claim_key *key)
{
	if (!o->claim_shard_count)
		return NULL;
	return &o->shards[key->hash[1] % o->claim_shard_count];
}

static struct claim_request **find_request(struct owner *o, uint64_t nonce)
{
	struct claim_request **r = &o->requests[nonce % OWNER_HASH_BUCKETS];

	while (*r && (*r)->key.nonce != nonce)
		r = &(*r)->next;
	return r;
}

static struct claim_report **find_report(struct owner *o, uint64_t nonce)
{
	struct claim_report **r = &o->reports[nonce % OWNER_HASH_BUCKETS];

	while (*r && (*r)->key.nonce != nonce)
		r = &(*r)->next;
	return r;
}

/* Tracks a granted claim until the owner acknowledges its outcome. */
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
		r->owner->unacked_reports--;
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
	o->unacked_reports++;
	if (body && body->len <= CLAIM_RESPONSE_MAX_BYTES &&
	    o->report_bytes + body->len <= REPORT_BYTES_MAX) {
		r->body = *body;
		memset(body, 0, sizeof(*body));
		o->report_bytes += r->body.len;
	} else if (body) {
		r->status = 0; /* no response to store */
	}
	send_report(r, clock_now_us());
}

/* Releases a claim whose request has ended without running. */
static void release_claim(struct owner *o, const struct claim_key *key)
{
	if (!*find_report(o, key->nonce))
		end_report(add_report(o, key), CLAIM_NOT_RUN, 0, NULL);
}

/* ---- requests ---- */

static void finish_request(struct claim_request **link, enum claim_code code,
			   int status, const void *body, size_t len)
{
	struct claim_request *r = *link;
	struct owner *o = r->owner;

	*link = r->next;
	counter_add(o->replies[code], 1);
	r->reply->code = code;
	r->reply->status = status;
	if (len)
		buffer_append(&r->reply->body, body, len);
	if (code == CLAIM_GRANTED)
		add_report(o, &r->key);
	else if (code == CLAIM_UNAVAILABLE && r->sent)
		release_claim(o, &r->key);
	pthread_mutex_lock(&r->lock);
	r->done = true;
	pthread_cond_signal(&r->cond);
	pthread_mutex_unlock(&r->lock);
}

/* Sends the claim to the shard's last known owner, here or at a peer. */
static void send_request(struct claim_request *r, uint64_t now)
{
	struct owner *o = r->owner;
	struct shard *sh = shard_for_key(o, &r->key);
	struct buffer b = BUFFER_INIT;
	char id[64] = "";

	r->next_send_us = now + RESEND_DELAY_US;
	if (!sh)
		return;
	if (oplog_is_owner(sh->oplog)) {
		struct claims_event e = {
			.type = CLAIMS_CLAIM,
			.key = r->key,
			.entry_vm = o->id,
			.deadline_us = r->deadline_us,
			.wall_s = clock_wall_us() / 1000000u,
		};

		r->sent = true;
		claims_step(sh->claims, now, &e);
		owner_oplog_event(sh, OPLOG_TICK);
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
		r->sent = true;
	buffer_free(&b);
}

static void begin_request(void *arg)
{
	struct claim_request *r = arg;
	struct owner *o = r->owner;
	struct claim_request **link = find_request(o, r->key.nonce);

	r->next = *link;
	*link = r;
	r->started_us = clock_now_us();
	if (r->started_us < r->deadline_us && !atomic_load(&o->stopped))
		send_request(r, r->started_us);
	else
		finish_request(link, CLAIM_UNAVAILABLE, 0, NULL, 0);
}

void claim_begin(struct owner *o, const struct claim_key *key,
		 uint64_t deadline_us, struct claim_reply *out)
{
	struct claim_request r = {
		.owner = o,
		.key = *key,
		.deadline_us = deadline_us,
		.reply = out,
	};

	memset(out, 0, sizeof(*out));
	out->code = CLAIM_UNAVAILABLE;
	if (atomic_load(&o->stopped))
		return;
	pthread_mutex_init(&r.lock, NULL);
	pthread_cond_init(&r.cond, NULL);
	loop_post(o->loop, begin_request, &r);
	/* The control thread ends the request no later than its deadline. */
	pthread_mutex_lock(&r.lock);
	while (!r.done)
		pthread_cond_wait(&r.cond, &r.lock);
	pthread_mutex_unlock(&r.lock);
	pthread_cond_destroy(&r.cond);
	pthread_mutex_destroy(&r.lock);
}

/* Arguments of claim_finish(), passed to the control thread. */
struct finish_message {
	struct owner *owner;
	struct claim_key key;
	enum claim_outcome outcome;
	int status;
	struct buffer body;
};

static void finish_claim(void *arg)
{
	struct finish_message *f = arg;
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
	struct finish_message *f = xcalloc(1, sizeof(*f));

	f->owner = o;
	f->key = *key;
	f->outcome = outcome;
	f->status = len <= CLAIM_RESPONSE_MAX_BYTES ? status : 0;
	if (outcome == CLAIM_DONE && len <= CLAIM_RESPONSE_MAX_BYTES)
		buffer_append(&f->body, body, len);
	loop_post(o->loop, finish_claim, f);
}

/* ---- reports ---- */

static void report_locally(struct shard *sh, const struct claim_report *r,
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

	/* Frees r if the report is acknowledged synchronously. */
	claims_step(sh->claims, now, &e);
	owner_oplog_event(sh, OPLOG_TICK);
}

static void send_report(struct claim_report *r, uint64_t now)
{
	struct owner *o = r->owner;
	struct shard *sh = shard_for_key(o, &r->key);
	uint64_t delay_us = (uint64_t)RESEND_DELAY_US
			    << (r->send_count < 3 ? r->send_count : 3);
	struct buffer b = BUFFER_INIT;
	char id[64] = "";

	r->send_count++;
	r->next_send_us =
		now + (delay_us < RESEND_DELAY_MAX_US ? delay_us
						      : RESEND_DELAY_MAX_US);
	if (!sh)
		return;
	if (oplog_is_owner(sh->oplog)) {
		report_locally(sh, r, now);
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

/* ---- replies and acknowledgements, to this process or to a peer ---- */

static void handle_reply(struct owner *o, const struct claim_key *key,
			 enum claim_code code, int status, const void *body,
			 size_t len)
{
	struct claim_request **link = find_request(o, key->nonce);

	if (*link) {
		finish_request(link, code, status, body, len);
	} else if (code == CLAIM_GRANTED && !*find_report(o, key->nonce)) {
		/* The request has ended without this grant and did not run. */
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

void owner_claims_run_actions(struct shard *sh)
{
	struct owner *o = sh->owner;
	struct claims_action a;

	while (claims_next_action(sh->claims, &a)) {
		bool local = !strcmp(a.entry_vm, o->id);

		if (a.type == CLAIMS_REPLY && local)
			handle_reply(o, &a.key, a.code, a.status, a.body,
				     a.len);
		else if (a.type == CLAIMS_REPLY)
			send_reply(o, &a);
		else if (local)
			handle_ack(o, a.key.nonce);
		else
			send_ack(o, &a);
	}
}

/* ---- messages ---- */

/*
 * Decodes an array with one element for each character of format: 's' string,
 * 'u' unsigned integer, 'b' binary. Returns -1 and counts a dropped message if
 * the body has another form; otherwise the caller destroys u.
 */
static int decode_message(struct owner *o, const void *body, size_t len,
			  const char *format, msgpack_unpacked *u)
{
	static const msgpack_object_type types[] = {
		['s'] = MSGPACK_OBJECT_STR,
		['u'] = MSGPACK_OBJECT_POSITIVE_INTEGER,
		['b'] = MSGPACK_OBJECT_BIN,
	};
	size_t used = 0;
	size_t field_count = strlen(format);
	bool valid;

	msgpack_unpacked_init(u);
	valid = msgpack_unpack_next(u, body, len, &used) ==
			MSGPACK_UNPACK_SUCCESS &&
		u->data.type == MSGPACK_OBJECT_ARRAY &&
		u->data.via.array.size == field_count;
	for (size_t i = 0; valid && i < field_count; i++)
		valid = u->data.via.array.ptr[i].type ==
			types[(unsigned char)format[i]];
	if (valid)
		return 0;
	counter_add(o->dropped_messages, 1);
	msgpack_unpacked_destroy(u);
	return -1;
}

static void decode_key(const msgpack_object *o, struct claim_key *key)
{
	key->hash[0] = o[0].via.u64;
	key->hash[1] = o[1].via.u64;
	key->body_hash = o[2].via.u64;
	key->nonce = o[3].via.u64;
}

/* Returns the shard that a message names, or NULL if not owned here. */
static struct shard *owned_shard(struct owner *o, const msgpack_object *name)
{
	struct shard *sh;
	char text[64];

	snprintf(text, sizeof(text), "%.*s", (int)name->via.str.size,
		 name->via.str.ptr);
	sh = owner_find_shard(o, text);
	return sh && oplog_is_owner(sh->oplog) ? sh : NULL;
}

/*
 * A process that does not own the shard sends no reply: the sender resends the
 * claim, to the next owner once it knows it.
 */
static void on_claim(void *arg, const char *sender, const void *body,
		     size_t len)
{
	struct owner *o = arg;
	struct claims_event e = { .type = CLAIMS_CLAIM, .entry_vm = sender };
	const msgpack_object *m;
	msgpack_unpacked u;
	struct shard *sh;
	uint64_t now = clock_now_us();

	if (decode_message(o, body, len, "suuuuu", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	sh = owned_shard(o, &m[0]);
	if (sh) {
		decode_key(m + 1, &e.key);
		/* Leaves time for the reply to arrive before the deadline. */
		e.deadline_us = now + m[5].via.u64 - m[5].via.u64 / 16;
		e.wall_s = clock_wall_us() / 1000000u;
		claims_step(sh->claims, now, &e);
		owner_oplog_event(sh, OPLOG_TICK);
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
	if (decode_message(o, body, len, "uuuuuub", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	decode_key(m, &key);
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

	if (decode_message(o, body, len, "suuuuuub", &u) < 0)
		return;
	m = u.data.via.array.ptr;
	sh = owned_shard(o, &m[0]);
	if (sh && m[5].via.u64 <= CLAIM_MAY_HAVE_RUN) {
		decode_key(m + 1, &e.key);
		e.outcome = (enum claim_outcome)m[5].via.u64;
		e.status = (int)m[6].via.u64;
		e.body = m[7].via.bin.ptr;
		e.len = m[7].via.bin.size;
		e.wall_s = clock_wall_us() / 1000000u;
		claims_step(sh->claims, clock_now_us(), &e);
		owner_oplog_event(sh, OPLOG_TICK);
	}
	msgpack_unpacked_destroy(&u);
}

static void on_ack(void *arg, const char *sender, const void *body, size_t len)
{
	struct owner *o = arg;
	msgpack_unpacked u;

	(void)sender;
	if (decode_message(o, body, len, "u", &u) < 0)
		return;
	handle_ack(o, u.data.via.array.ptr[0].via.u64);
	msgpack_unpacked_destroy(&u);
}

void owner_claims_start(struct owner *o)
{
	peers_set_handler(o->peers, PEER_CLAIM, on_claim, o);
	peers_set_handler(o->peers, PEER_CLAIM_REPLY, on_reply, o);
	peers_set_handler(o->peers, PEER_CLAIM_RESULT, on_result, o);
	peers_set_handler(o->peers, PEER_CLAIM_RESULT_ACK, on_ack, o);
}

/* ---- timers ---- */

static void add_due(struct owner *o, uint64_t nonce)
{
	if (o->due_count == o->due_capacity) {
		o->due_capacity = o->due_capacity ? 2 * o->due_capacity : 64;
		o->due_nonces =
			xrealloc(o->due_nonces,
				 o->due_capacity * sizeof(*o->due_nonces));
	}
	o->due_nonces[o->due_count++] = nonce;
}

/* Ends a request that is overdue or found no owner; resends any other. */
static void resend_or_expire(struct claim_request **link, uint64_t now)
{
	struct claim_request *r = *link;
	bool no_owner = !r->sent && now - r->started_us > NO_OWNER_TIMEOUT_US;

	if (now >= r->deadline_us || no_owner)
		finish_request(link, CLAIM_UNAVAILABLE, 0, NULL, 0);
	else
		send_request(r, now);
}

/*
 * Resends due requests and reports. A synchronous reply can remove any of them
 * from its list, so the nonces are collected before anything is sent.
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
		owner_claims_run_actions(&o->shards[i]);
	}
	o->due_count = 0;
	for (uint32_t b = 0; b < OWNER_HASH_BUCKETS; b++)
		for (struct claim_request *r = o->requests[b]; r; r = r->next)
			if (now >= r->next_send_us || now >= r->deadline_us)
				add_due(o, r->key.nonce);
	requests = o->due_count;
	for (uint32_t b = 0; b < OWNER_HASH_BUCKETS; b++)
		for (struct claim_report *r = o->reports[b]; r; r = r->next)
			if (r->ended && now >= r->next_send_us)
				add_due(o, r->key.nonce);
	for (uint32_t i = 0; i < requests; i++) {
		struct claim_request **q = find_request(o, o->due_nonces[i]);

		if (*q)
			resend_or_expire(q, now);
	}
	for (uint32_t i = requests; i < o->due_count; i++) {
		struct claim_report *r = *find_report(o, o->due_nonces[i]);

		if (r && r->ended)
			send_report(r, now);
	}
}
