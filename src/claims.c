#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claims-table.h"
#include "claims.h"
#include "oplog-codec.h"

#define WAITERS_GROWTH 64u

/* A request that gets a reply when its claim changes or at its deadline. */
struct waiter {
	bool used;
	bool is_result; /* gets an acknowledgement, not a reply */
	struct claim_key key;
	char entry_vm[CLAIMS_ENTRY_VM_BYTES];
	uint64_t deadline_us;
	uint32_t claim;		/* CLAIM_NONE: result without a claim */
	uint32_t unmatched_seq; /* position among such results */
	uint32_t next;		/* in the claim's list or the free list */
};

struct queued_action {
	struct claims_action action;
	char *body;
};

struct claims {
	struct oplog_client client;
	struct oplog *log;
	size_t memory_max;
	struct claims_table table;
	struct waiter *waiters;
	uint32_t waiter_count;
	uint32_t waiter_free_head;
	uint32_t unmatched;	/* list of waiting results without a claim */
	uint32_t unmatched_seq; /* of the newest one */
	struct queued_action *actions;
	uint32_t action_count;
	uint32_t action_next;
	uint32_t action_capacity;
};

static void claims_reset(void *client);
static int claims_replay(void *client, const void *data, size_t len);
static void claims_snapshot(void *client, struct buffer *out);
static void claims_owned(void *client, uint64_t epoch, uint64_t now_us);
static void claims_committed(void *client, uint64_t token, uint64_t now_us);
static void reply_to_waiters(struct claims *c, uint32_t i, uint64_t now);
static bool append_claim(struct claims *c, const struct claim_key *key,
			 uint64_t entry_vm_hash, uint32_t wall_s, uint64_t now);

static const struct oplog_client_ops claims_ops = {
	.name = "claims",
	.type = OPLOG_ENTRY_CLAIM,
	.reset = claims_reset,
	.restore = claims_replay,
	.replay = claims_replay,
	.snapshot = claims_snapshot,
	.owned = claims_owned,
	.committed = claims_committed,
};

struct claims *claims_create(struct oplog *log, size_t memory_max)
{
	struct claims *c = xcalloc(1, sizeof(*c));

	c->client.ops = &claims_ops;
	c->log = log;
	c->memory_max = memory_max;
	c->waiter_free_head = CLAIM_NONE;
	c->unmatched = CLAIM_NONE;
	claims_table_init(&c->table);
	return c;
}

struct oplog_client *claims_client(struct claims *c)
{
	return &c->client;
}

static void clear_actions(struct claims *c)
{
	for (uint32_t i = 0; i < c->action_count; i++)
		free(c->actions[i].body);
	c->action_count = 0;
	c->action_next = 0;
}

void claims_destroy(struct claims *c)
{
	if (!c)
		return;
	clear_actions(c);
	claims_table_free(&c->table);
	free(c->waiters);
	free(c->actions);
	free(c);
}

uint32_t claims_count(const struct claims *c)
{
	return c->table.count;
}

size_t claims_memory(const struct claims *c)
{
	return claims_table_memory(&c->table, 0);
}

/* ---- actions ---- */

static struct queued_action *push_action(struct claims *c,
					 enum claims_action_type t,
					 const struct claim_key *key,
					 const char *entry_vm)
{
	struct queued_action *a;

	if (c->action_count == c->action_capacity) {
		c->action_capacity =
			c->action_capacity ? 2 * c->action_capacity : 16;
		c->actions = xrealloc(c->actions,
				      c->action_capacity * sizeof(*c->actions));
	}
	a = &c->actions[c->action_count++];
	memset(a, 0, sizeof(*a));
	a->action.type = t;
	a->action.key = *key;
	snprintf(a->action.entry_vm, sizeof(a->action.entry_vm), "%s",
		 entry_vm);
	return a;
}

static void push_reply(struct claims *c, const struct claim_key *key,
		       const char *entry_vm, enum claim_code code)
{
	push_action(c, CLAIMS_REPLY, key, entry_vm)->action.code = code;
}

static void push_stored_response(struct claims *c, const struct waiter *w,
				 const struct claim *cl)
{
	struct queued_action *a =
		push_action(c, CLAIMS_REPLY, &w->key, w->entry_vm);

	a->action.code = CLAIM_REPLAY;
	a->action.status = cl->status;
	/* Copied, because the claim may change before the driver reads it. */
	a->body = xcalloc(1, cl->response_len);
	memcpy(a->body, cl->response, cl->response_len);
	a->action.body = a->body;
	a->action.len = cl->response_len;
}

bool claims_next_action(struct claims *c, struct claims_action *out)
{
	if (c->action_next == c->action_count) {
		clear_actions(c);
		return false;
	}
	*out = c->actions[c->action_next++].action;
	return true;
}

/* ---- waiting requests ---- */

static bool has_waiter_slot(const struct claims *c)
{
	return c->waiter_free_head != CLAIM_NONE ||
	       c->waiter_count < CLAIMS_WAITERS_MAX;
}

static struct waiter *add_waiter(struct claims *c, uint32_t claim,
				 const struct claims_event *e)
{
	uint32_t *list = claim == CLAIM_NONE
				 ? &c->unmatched
				 : &c->table.claims[claim].first_waiter;
	struct waiter *w;
	uint32_t i = c->waiter_free_head;

	if (!has_waiter_slot(c))
		return NULL;
	if (i == CLAIM_NONE) {
		if (c->waiter_count % WAITERS_GROWTH == 0)
			c->waiters = xrealloc(
				c->waiters, (c->waiter_count + WAITERS_GROWTH) *
						    sizeof(*c->waiters));
		i = c->waiter_count++;
	} else {
		c->waiter_free_head = c->waiters[i].next;
	}
	w = &c->waiters[i];
	memset(w, 0, sizeof(*w));
	w->used = true;
	w->is_result = e->type == CLAIMS_RESULT;
	w->key = e->key;
	snprintf(w->entry_vm, sizeof(w->entry_vm), "%s", e->entry_vm);
	w->deadline_us = e->deadline_us;
	w->claim = claim;
	w->next = *list;
	*list = i;
	return w;
}

/* Removes the waiter at *link from its list. */
static void remove_waiter(struct claims *c, uint32_t *link)
{
	uint32_t i = *link;
	struct waiter *w = &c->waiters[i];

	*link = w->next;
	w->used = false;
	w->next = c->waiter_free_head;
	c->waiter_free_head = i;
}

static uint64_t hash_entry_vm(const char *entry_vm)
{
	return oplog_hash(entry_vm, strlen(entry_vm));
}

static bool is_holder(const struct claim *cl, const struct claim_key *key,
		      uint64_t entry_vm_hash)
{
	return cl->nonce == key->nonce && cl->entry_vm_hash == entry_vm_hash;
}

/*
 * Replies to a waiter from the durable state of its claim; false if it has to
 * keep waiting for the request in progress.
 */
static bool reply_to_waiter(struct claims *c, const struct waiter *w,
			    const struct claim *cl, uint64_t now)
{
	enum claim_code code = CLAIM_UNKNOWN;

	if (w->key.body_hash != cl->body_hash) {
		code = CLAIM_KEY_REUSED;
	} else if (cl->state == CLAIM_STATE_DONE && cl->status) {
		push_stored_response(c, w, cl);
		return true;
	} else if (cl->state == CLAIM_STATE_IN_PROGRESS) {
		if (is_holder(cl, &w->key, hash_entry_vm(w->entry_vm)))
			code = CLAIM_GRANTED;
		else if (now - cl->granted_us < CLAIMS_RESULT_TIMEOUT_US)
			return false;
	}
	push_reply(c, &w->key, w->entry_vm, code);
	return true;
}

/* Grants a released claim to the newest waiter, or removes it. */
static void grant_to_waiter(struct claims *c, uint32_t i, uint64_t now)
{
	struct claim *cl = &c->table.claims[i];
	struct waiter *w;
	uint32_t *link = &cl->first_waiter;

	if (cl->first_waiter == CLAIM_NONE) {
		claims_table_remove(&c->table, i);
		return;
	}
	w = &c->waiters[cl->first_waiter];
	if (append_claim(c, &w->key, hash_entry_vm(w->entry_vm), cl->changed_s,
			 now))
		return;
	while (*link != CLAIM_NONE) {
		w = &c->waiters[*link];
		push_reply(c, &w->key, w->entry_vm, CLAIM_UNAVAILABLE);
		remove_waiter(c, link);
	}
	claims_table_remove(&c->table, i);
}

/* Replies to the waiters of claim i, whose state is durable. */
static void reply_to_waiters(struct claims *c, uint32_t i, uint64_t now)
{
	struct claim *cl = &c->table.claims[i];
	uint32_t *link = &cl->first_waiter;

	while (*link != CLAIM_NONE) {
		struct waiter *w = &c->waiters[*link];
		bool done = w->is_result;

		if (w->is_result)
			push_action(c, CLAIMS_ACK, &w->key, w->entry_vm);
		else if (cl->state != CLAIM_STATE_RELEASED)
			done = reply_to_waiter(c, w, cl, now);
		if (done)
			remove_waiter(c, link);
		else
			link = &w->next;
	}
	if (cl->state == CLAIM_STATE_RELEASED)
		grant_to_waiter(c, i, now);
}

/* ---- log entries ---- */

static uint64_t make_token(uint32_t i, uint32_t version)
{
	return (uint64_t)i << 32 | version;
}

/*
 * Appends a claim on an unclaimed key or a released claim. False if the log
 * refuses the entry.
 */
static bool append_claim(struct claims *c, const struct claim_key *key,
			 uint64_t entry_vm_hash, uint32_t wall_s, uint64_t now)
{
	uint32_t i = claims_table_find(&c->table, key->hash);
	struct claim next = {
		.hash = { key->hash[0], key->hash[1] },
		.nonce = key->nonce,
		.changed_s = wall_s,
	};
	struct buffer b = BUFFER_INIT;
	struct claim *cl;
	bool fresh = i == CLAIM_NONE;
	int ret;

	if (fresh)
		i = claims_table_add(&c->table, key->hash);
	cl = &c->table.claims[i];
	claims_log_pack_header(&b, CLAIM_OP_CLAIM, 7, &next);
	oplog_pack_uint(&b, key->body_hash);
	oplog_pack_uint(&b, entry_vm_hash);
	ret = oplog_append(c->log, OPLOG_ENTRY_CLAIM, b.data, b.len,
			   make_token(i, cl->version + 1));
	buffer_free(&b);
	if (ret < 0) {
		if (fresh)
			claims_table_remove(&c->table, i);
		return false;
	}
	cl->version++;
	cl->durable = false;
	cl->state = CLAIM_STATE_IN_PROGRESS;
	cl->nonce = key->nonce;
	cl->body_hash = key->body_hash;
	cl->entry_vm_hash = entry_vm_hash;
	cl->granted_us = now;
	claims_table_touch(&c->table, i, wall_s);
	return true;
}

/* Evicts stored responses until another claim fits; false if it cannot. */
static bool ensure_memory(struct claims *c)
{
	while (claims_table_memory(&c->table, 1) > c->memory_max)
		if (!claims_table_evict_response(&c->table))
			return false;
	return true;
}

static void on_claim(struct claims *c, uint64_t now,
		     const struct claims_event *e)
{
	uint32_t i = claims_table_find(&c->table, e->key.hash);
	uint64_t entry_vm_hash = hash_entry_vm(e->entry_vm);
	struct claim *cl;

	if (!oplog_is_owner(c->log))
		goto refuse;
	if (i == CLAIM_NONE ||
	    c->table.claims[i].state == CLAIM_STATE_RELEASED) {
		if (!ensure_memory(c) ||
		    !append_claim(c, &e->key, entry_vm_hash,
				  (uint32_t)e->wall_s, now))
			goto refuse;
		i = claims_table_find(&c->table, e->key.hash);
	}
	cl = &c->table.claims[i];
	/* A repeated request gets only one reply. */
	for (uint32_t w = cl->first_waiter; w != CLAIM_NONE;
	     w = c->waiters[w].next)
		if (!c->waiters[w].is_result &&
		    c->waiters[w].key.nonce == e->key.nonce &&
		    !strcmp(c->waiters[w].entry_vm, e->entry_vm))
			return;
	if (!add_waiter(c, i, e))
		goto refuse;
	if (cl->durable)
		reply_to_waiters(c, i, now);
	return;
refuse:
	push_reply(c, &e->key, e->entry_vm, CLAIM_UNAVAILABLE);
}

/* ---- results ---- */

/* True if the result changes the claim's state. */
static bool changes_state(const struct claim *cl, enum claim_outcome outcome)
{
	if (cl->state == CLAIM_STATE_IN_PROGRESS)
		return true;
	return cl->state == CLAIM_STATE_MAY_HAVE_RUN && outcome == CLAIM_DONE;
}

static int append_result(struct claims *c, uint32_t i,
			 const struct claims_event *e, bool keep_response)
{
	static const enum claim_op ops[] = {
		[CLAIM_DONE] = CLAIM_OP_DONE,
		[CLAIM_NOT_RUN] = CLAIM_OP_RELEASE,
		[CLAIM_MAY_HAVE_RUN] = CLAIM_OP_MAY_HAVE_RUN,
	};
	struct claim header = c->table.claims[i];
	struct buffer b = BUFFER_INIT;
	uint64_t token = make_token(i, header.version + 1);
	int ret;

	header.changed_s = (uint32_t)e->wall_s;
	claims_log_pack_header(&b, ops[e->outcome],
			       e->outcome == CLAIM_DONE ? 7 : 5, &header);
	if (e->outcome == CLAIM_DONE) {
		oplog_pack_uint(&b, keep_response ? (uint64_t)e->status : 0);
		oplog_pack_bin(&b, e->body, keep_response ? e->len : 0);
	}
	/* Only a waiting duplicate requires the result at once. */
	if (header.first_waiter != CLAIM_NONE)
		ret = oplog_append(c->log, OPLOG_ENTRY_CLAIM, b.data, b.len,
				   token);
	else
		ret = oplog_append_deferred(c->log, OPLOG_ENTRY_CLAIM, b.data,
					    b.len, token);
	buffer_free(&b);
	return ret;
}

/*
 * Handles a result without a matching claim. It has no effect, unless a later
 * owner granted the claim. A no-op entry that becomes durable proves that there
 * is no later owner, so the result can be acknowledged.
 */
static void add_unmatched_result(struct claims *c, const struct claims_event *e)
{
	struct claim header = {
		.hash = { e->key.hash[0], e->key.hash[1] },
		.nonce = e->key.nonce,
		.changed_s = (uint32_t)e->wall_s,
	};
	struct buffer b = BUFFER_INIT;
	struct waiter *w;

	for (uint32_t i = c->unmatched; i != CLAIM_NONE; i = c->waiters[i].next)
		if (c->waiters[i].key.nonce == e->key.nonce)
			return;
	if (!has_waiter_slot(c))
		return;
	claims_log_pack_header(&b, CLAIM_OP_NOOP, 5, &header);
	if (!oplog_append_deferred(
		    c->log, OPLOG_ENTRY_CLAIM, b.data, b.len,
		    make_token(CLAIM_NONE, c->unmatched_seq + 1))) {
		w = add_waiter(c, CLAIM_NONE, e);
		w->unmatched_seq = ++c->unmatched_seq;
	}
	buffer_free(&b);
}

/* Acknowledges the unmatched results up to the one whose entry is durable. */
static void ack_unmatched_results(struct claims *c, uint32_t unmatched_seq)
{
	uint32_t *link = &c->unmatched;

	while (*link != CLAIM_NONE) {
		struct waiter *w = &c->waiters[*link];

		if ((int32_t)(w->unmatched_seq - unmatched_seq) > 0) {
			link = &w->next;
			continue;
		}
		push_action(c, CLAIMS_ACK, &w->key, w->entry_vm);
		remove_waiter(c, link);
	}
}

static void on_result(struct claims *c, uint64_t now,
		      const struct claims_event *e)
{
	static const uint8_t states[] = {
		[CLAIM_DONE] = CLAIM_STATE_DONE,
		[CLAIM_NOT_RUN] = CLAIM_STATE_RELEASED,
		[CLAIM_MAY_HAVE_RUN] = CLAIM_STATE_MAY_HAVE_RUN,
	};
	uint32_t i = claims_table_find(&c->table, e->key.hash);
	bool keep_response =
		e->len <= CLAIM_RESPONSE_MAX_BYTES && e->status > 0;
	struct claim *cl;

	/* Without an acknowledgement the entry VM tries the next owner. */
	if (!oplog_is_owner(c->log))
		return;
	if (i == CLAIM_NONE || !is_holder(&c->table.claims[i], &e->key,
					  hash_entry_vm(e->entry_vm))) {
		add_unmatched_result(c, e);
		return;
	}
	cl = &c->table.claims[i];
	if (changes_state(cl, e->outcome)) {
		if (append_result(c, i, e, keep_response) < 0)
			return;
		cl->version++;
		cl->durable = false;
		cl->state = states[e->outcome];
		claims_table_touch(&c->table, i, (uint32_t)e->wall_s);
		if (e->outcome == CLAIM_DONE && keep_response)
			claims_table_set_response(&c->table, i, e->status,
						  e->body ? e->body : "",
						  e->len);
	}
	if (!add_waiter(c, i, e))
		return;
	if (cl->durable)
		reply_to_waiters(c, i, now);
}

/* ---- timeouts and expiry ---- */

/*
 * Replies to a request whose deadline has passed. If another request holds the
 * claim, that one may have run; otherwise no claim was granted.
 */
static void expire_waiter(struct claims *c, struct waiter *w)
{
	struct claim *cl = &c->table.claims[w->claim];
	uint32_t *link = &cl->first_waiter;
	bool is_own = is_holder(cl, &w->key, hash_entry_vm(w->entry_vm));

	if (!w->is_result)
		push_reply(c, &w->key, w->entry_vm,
			   is_own ? CLAIM_UNAVAILABLE : CLAIM_UNKNOWN);
	while (&c->waiters[*link] != w)
		link = &c->waiters[*link].next;
	remove_waiter(c, link);
}

static void on_tick(struct claims *c, uint64_t now, uint64_t wall_s)
{
	struct claims_table *t = &c->table;

	for (uint32_t i = 0; i < c->waiter_count; i++)
		if (c->waiters[i].used && c->waiters[i].deadline_us &&
		    now >= c->waiters[i].deadline_us)
			expire_waiter(c, &c->waiters[i]);
	while (t->oldest != CLAIM_NONE) {
		struct claim *cl = &t->claims[t->oldest];

		if (cl->changed_s + CLAIMS_RETENTION_S > wall_s ||
		    !cl->durable || cl->first_waiter != CLAIM_NONE)
			break;
		claims_table_remove(t, t->oldest);
	}
}

void claims_step(struct claims *c, uint64_t now_us,
		 const struct claims_event *e)
{
	switch (e->type) {
	case CLAIMS_CLAIM:
		on_claim(c, now_us, e);
		break;
	case CLAIMS_RESULT:
		on_result(c, now_us, e);
		break;
	case CLAIMS_TICK:
		on_tick(c, now_us, e->wall_s);
		break;
	}
}

/* ---- log client ---- */

static void claims_reset(void *client)
{
	struct claims *c = client;

	/* The waiters' entry VMs repeat their requests to the next owner. */
	claims_table_free(&c->table);
	c->waiter_count = 0;
	c->waiter_free_head = CLAIM_NONE;
	c->unmatched = CLAIM_NONE;
}

static void claims_committed(void *client, uint64_t token, uint64_t now_us)
{
	struct claims *c = client;
	uint32_t i = (uint32_t)(token >> 32);
	struct claim *cl;

	if (i == CLAIM_NONE) {
		ack_unmatched_results(c, (uint32_t)token);
		return;
	}
	cl = &c->table.claims[i];
	/* If a later change was appended, its commit covers this one. */
	if (cl->version != (uint32_t)token)
		return;
	cl->durable = true;
	reply_to_waiters(c, i, now_us);
}

static void claims_owned(void *client, uint64_t epoch, uint64_t now_us)
{
	struct claims *c = client;

	(void)epoch;
	for (uint32_t i = 0; i < c->table.capacity; i++) {
		c->table.claims[i].granted_us = now_us;
		c->table.claims[i].durable = true;
	}
}

/* A snapshot is a sequence of log entries, so this also restores it. */
static int claims_replay(void *client, const void *data, size_t len)
{
	struct claims *c = client;

	return claims_log_apply(&c->table, data, len);
}

static void claims_snapshot(void *client, struct buffer *out)
{
	struct claims *c = client;

	claims_log_snapshot(&c->table, out);
}
