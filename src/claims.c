#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claims-table.h"
#include "claims.h"
#include "oplog-codec.h"

#define WAITERS_STEP 64u

/* A request that is answered when its claim changes, or at its deadline. */
struct waiter {
	bool used;
	bool is_result; /* gets an acknowledgement */
	struct claim_key key;
	char entry[CLAIMS_ENTRY_BYTES];
	uint64_t deadline_us;
	uint32_t claim; /* CLAIM_NONE: its result concerns no claim here */
	uint32_t order; /* of such a result */
	uint32_t next;	/* of the same claim, or next free */
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
	uint32_t waiter_free;
	uint32_t strays; /* waiting results that concern no claim */
	uint32_t stray_order;
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
static void settle(struct claims *c, uint32_t i, uint64_t now);
static bool make_claim(struct claims *c, const struct claim_key *key,
		       uint64_t entry, uint32_t wall_s, uint64_t now);

static const struct oplog_client_ops claims_ops = {
	.name = "claims",
	.type = ENTRY_CLAIM,
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
	c->waiter_free = CLAIM_NONE;
	c->strays = CLAIM_NONE;
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

static struct queued_action *push(struct claims *c, enum claims_action_type t,
				  const struct claim_key *key,
				  const char *entry)
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
	snprintf(a->action.entry, sizeof(a->action.entry), "%s", entry);
	return a;
}

static void reply(struct claims *c, const struct claim_key *key,
		  const char *entry, enum claim_code code)
{
	push(c, CLAIMS_REPLY, key, entry)->action.code = code;
}

static void reply_stored(struct claims *c, const struct waiter *w,
			 const struct claim *cl)
{
	struct queued_action *a = push(c, CLAIMS_REPLY, &w->key, w->entry);

	a->action.code = CLAIM_REPLAY;
	a->action.status = cl->status;
	/* A copy, because the claim can change before the driver reads it. */
	a->body = xcalloc(1, cl->answer_len);
	memcpy(a->body, cl->answer, cl->answer_len);
	a->action.body = a->body;
	a->action.len = cl->answer_len;
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

static bool waiter_room(const struct claims *c)
{
	return c->waiter_free != CLAIM_NONE ||
	       c->waiter_count < CLAIMS_WAITERS_MAX;
}

static struct waiter *add_waiter(struct claims *c, uint32_t claim,
				 const struct claims_event *e)
{
	uint32_t *list = claim == CLAIM_NONE ? &c->strays
					     : &c->table.claims[claim].waiter;
	struct waiter *w;
	uint32_t i = c->waiter_free;

	if (!waiter_room(c))
		return NULL;
	if (i == CLAIM_NONE) {
		if (c->waiter_count % WAITERS_STEP == 0)
			c->waiters = xrealloc(c->waiters,
					      (c->waiter_count + WAITERS_STEP) *
						      sizeof(*c->waiters));
		i = c->waiter_count++;
	} else {
		c->waiter_free = c->waiters[i].next;
	}
	w = &c->waiters[i];
	memset(w, 0, sizeof(*w));
	w->used = true;
	w->is_result = e->type == CLAIMS_RESULT;
	w->key = e->key;
	snprintf(w->entry, sizeof(w->entry), "%s", e->entry);
	w->deadline_us = e->deadline_us;
	w->claim = claim;
	w->next = *list;
	*list = i;
	return w;
}

/* Takes the waiter at *link out of its claim's list. */
static void remove_waiter(struct claims *c, uint32_t *link)
{
	uint32_t i = *link;
	struct waiter *w = &c->waiters[i];

	*link = w->next;
	w->used = false;
	w->next = c->waiter_free;
	c->waiter_free = i;
}

static uint64_t hash_entry(const char *entry)
{
	return oplog_hash(entry, strlen(entry));
}

static bool holds(const struct claim *cl, const struct claim_key *key,
		  uint64_t entry)
{
	return cl->nonce == key->nonce && cl->entry == entry;
}

/*
 * Answers a waiting claim from the durable state; false when it has to go on
 * waiting for the request in progress.
 */
static bool answer_waiter(struct claims *c, const struct waiter *w,
			  const struct claim *cl, uint64_t now)
{
	enum claim_code code = CLAIM_UNKNOWN;

	if (w->key.body_hash != cl->body_hash) {
		code = CLAIM_KEY_REUSED;
	} else if (cl->state == CLAIM_STATE_DONE && cl->status) {
		reply_stored(c, w, cl);
		return true;
	} else if (cl->state == CLAIM_STATE_IN_PROGRESS) {
		if (holds(cl, &w->key, hash_entry(w->entry)))
			code = CLAIM_GRANTED;
		else if (now - cl->granted_us < CLAIMS_RESULT_MAX_US)
			return false;
	}
	reply(c, &w->key, w->entry, code);
	return true;
}

/* A released claim goes to the first request that waits for it. */
static void pass_on(struct claims *c, uint32_t i, uint64_t now)
{
	struct claim *cl = &c->table.claims[i];
	struct waiter *w;
	uint32_t *link = &cl->waiter;

	if (cl->waiter == CLAIM_NONE) {
		claims_table_remove(&c->table, i);
		return;
	}
	w = &c->waiters[cl->waiter];
	if (make_claim(c, &w->key, hash_entry(w->entry), cl->at_s, now))
		return;
	while (*link != CLAIM_NONE) {
		w = &c->waiters[*link];
		reply(c, &w->key, w->entry, CLAIM_UNAVAILABLE);
		remove_waiter(c, link);
	}
	claims_table_remove(&c->table, i);
}

/* Answers the requests that wait for claim i, whose state is durable. */
static void settle(struct claims *c, uint32_t i, uint64_t now)
{
	struct claim *cl = &c->table.claims[i];
	uint32_t *link = &cl->waiter;

	while (*link != CLAIM_NONE) {
		struct waiter *w = &c->waiters[*link];
		bool done = w->is_result;

		if (w->is_result)
			push(c, CLAIMS_ACK, &w->key, w->entry);
		else if (cl->state != CLAIM_STATE_RELEASED)
			done = answer_waiter(c, w, cl, now);
		if (done)
			remove_waiter(c, link);
		else
			link = &w->next;
	}
	if (cl->state == CLAIM_STATE_RELEASED)
		pass_on(c, i, now);
}

/* ---- log entries ---- */

static uint64_t token_of(uint32_t i, uint32_t version)
{
	return (uint64_t)i << 32 | version;
}

/*
 * Claims the key for its nonce, on a free key or a released claim. False when
 * the log does not take the entry.
 */
static bool make_claim(struct claims *c, const struct claim_key *key,
		       uint64_t entry, uint32_t wall_s, uint64_t now)
{
	uint32_t i = claims_table_find(&c->table, key->hash);
	struct claim next = {
		.hash = { key->hash[0], key->hash[1] },
		.nonce = key->nonce,
		.at_s = wall_s,
	};
	struct buffer b = BUFFER_INIT;
	struct claim *cl;
	bool fresh = i == CLAIM_NONE;
	int ret;

	if (fresh)
		i = claims_table_add(&c->table, key->hash);
	cl = &c->table.claims[i];
	claims_log_head(&b, CLAIM_OP_CLAIM, 7, &next);
	oplog_pack_uint(&b, key->body_hash);
	oplog_pack_uint(&b, entry);
	ret = oplog_append(c->log, ENTRY_CLAIM, b.data, b.len,
			   token_of(i, cl->version + 1));
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
	cl->entry = entry;
	cl->granted_us = now;
	claims_table_touch(&c->table, i, wall_s);
	return true;
}

/* True when another claim fits, perhaps after dropping stored answers. */
static bool make_room(struct claims *c)
{
	while (claims_table_memory(&c->table, 1) > c->memory_max)
		if (!claims_table_drop_answer(&c->table))
			return false;
	return true;
}

static void on_claim(struct claims *c, uint64_t now,
		     const struct claims_event *e)
{
	uint32_t i = claims_table_find(&c->table, e->key.hash);
	uint64_t entry = hash_entry(e->entry);
	struct claim *cl;

	if (!oplog_is_owner(c->log))
		goto refuse;
	if (i == CLAIM_NONE ||
	    c->table.claims[i].state == CLAIM_STATE_RELEASED) {
		if (!make_room(c) ||
		    !make_claim(c, &e->key, entry, (uint32_t)e->wall_s, now))
			goto refuse;
		i = claims_table_find(&c->table, e->key.hash);
	}
	cl = &c->table.claims[i];
	/* A request asked again; one answer suffices. */
	for (uint32_t w = cl->waiter; w != CLAIM_NONE; w = c->waiters[w].next)
		if (!c->waiters[w].is_result &&
		    c->waiters[w].key.nonce == e->key.nonce &&
		    !strcmp(c->waiters[w].entry, e->entry))
			return;
	if (!add_waiter(c, i, e))
		goto refuse;
	if (cl->durable)
		settle(c, i, now);
	return;
refuse:
	reply(c, &e->key, e->entry, CLAIM_UNAVAILABLE);
}

/* ---- results ---- */

/* True when the result changes the claim's state. */
static bool is_news(const struct claim *cl, enum claim_outcome outcome)
{
	if (cl->state == CLAIM_STATE_IN_PROGRESS)
		return true;
	return cl->state == CLAIM_STATE_MAY_HAVE_RUN && outcome == CLAIM_DONE;
}

static int append_result(struct claims *c, uint32_t i,
			 const struct claims_event *e, bool keep)
{
	static const enum claim_op ops[] = {
		[CLAIM_DONE] = CLAIM_OP_DONE,
		[CLAIM_NOT_RUN] = CLAIM_OP_RELEASE,
		[CLAIM_MAY_HAVE_RUN] = CLAIM_OP_MAY_HAVE_RUN,
	};
	struct claim head = c->table.claims[i];
	struct buffer b = BUFFER_INIT;
	uint64_t token = token_of(i, head.version + 1);
	int ret;

	head.at_s = (uint32_t)e->wall_s;
	claims_log_head(&b, ops[e->outcome], e->outcome == CLAIM_DONE ? 7 : 5,
			&head);
	if (e->outcome == CLAIM_DONE) {
		oplog_pack_uint(&b, keep ? (uint64_t)e->status : 0);
		oplog_pack_bin(&b, e->body, keep ? e->len : 0);
	}
	/* Only a duplicate that waits makes the result urgent. */
	if (head.waiter != CLAIM_NONE)
		ret = oplog_append(c->log, ENTRY_CLAIM, b.data, b.len, token);
	else
		ret = oplog_append_later(c->log, ENTRY_CLAIM, b.data, b.len,
					 token);
	buffer_free(&b);
	return ret;
}

/*
 * A result of a claim that is not held here is of no effect, unless a later
 * owner granted it. An entry that becomes durable proves that there is none.
 */
static void add_stray(struct claims *c, const struct claims_event *e)
{
	struct claim head = {
		.hash = { e->key.hash[0], e->key.hash[1] },
		.nonce = e->key.nonce,
		.at_s = (uint32_t)e->wall_s,
	};
	struct buffer b = BUFFER_INIT;
	struct waiter *w;

	for (uint32_t i = c->strays; i != CLAIM_NONE; i = c->waiters[i].next)
		if (c->waiters[i].key.nonce == e->key.nonce)
			return;
	if (!waiter_room(c))
		return;
	claims_log_head(&b, CLAIM_OP_NONE, 5, &head);
	if (!oplog_append_later(c->log, ENTRY_CLAIM, b.data, b.len,
				token_of(CLAIM_NONE, c->stray_order + 1))) {
		w = add_waiter(c, CLAIM_NONE, e);
		w->order = ++c->stray_order;
	}
	buffer_free(&b);
}

/* Acknowledges the strays up to the one whose entry is durable. */
static void settle_strays(struct claims *c, uint32_t order)
{
	uint32_t *link = &c->strays;

	while (*link != CLAIM_NONE) {
		struct waiter *w = &c->waiters[*link];

		if ((int32_t)(w->order - order) > 0) {
			link = &w->next;
			continue;
		}
		push(c, CLAIMS_ACK, &w->key, w->entry);
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
	bool keep = e->len <= CLAIM_RESPONSE_MAX_BYTES && e->status > 0;
	struct claim *cl;

	/* Without an acknowledgement the entry VM asks the next owner. */
	if (!oplog_is_owner(c->log))
		return;
	if (i == CLAIM_NONE ||
	    !holds(&c->table.claims[i], &e->key, hash_entry(e->entry))) {
		add_stray(c, e);
		return;
	}
	cl = &c->table.claims[i];
	if (is_news(cl, e->outcome)) {
		if (append_result(c, i, e, keep) < 0)
			return;
		cl->version++;
		cl->durable = false;
		cl->state = states[e->outcome];
		claims_table_touch(&c->table, i, (uint32_t)e->wall_s);
		if (e->outcome == CLAIM_DONE && keep)
			claims_table_answer(&c->table, i, e->status,
					    e->body ? e->body : "", e->len);
	}
	if (!add_waiter(c, i, e))
		return;
	if (cl->durable)
		settle(c, i, now);
}

/* ---- time ---- */

/*
 * Answers a claim whose deadline came first. When the key is another request's
 * that one may have run; otherwise nothing was granted.
 */
static void time_out(struct claims *c, struct waiter *w)
{
	struct claim *cl = &c->table.claims[w->claim];
	uint32_t *link = &cl->waiter;
	bool own = holds(cl, &w->key, hash_entry(w->entry));

	if (!w->is_result)
		reply(c, &w->key, w->entry,
		      own ? CLAIM_UNAVAILABLE : CLAIM_UNKNOWN);
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
			time_out(c, &c->waiters[i]);
	while (t->oldest != CLAIM_NONE) {
		struct claim *cl = &t->claims[t->oldest];

		if (cl->at_s + CLAIMS_KEEP_S > wall_s || !cl->durable ||
		    cl->waiter != CLAIM_NONE)
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

/* ---- the log's client ---- */

static void claims_reset(void *client)
{
	struct claims *c = client;

	/* Who waits asks again, and finds the next owner. */
	claims_table_free(&c->table);
	c->waiter_count = 0;
	c->waiter_free = CLAIM_NONE;
	c->strays = CLAIM_NONE;
}

static void claims_committed(void *client, uint64_t token, uint64_t now_us)
{
	struct claims *c = client;
	uint32_t i = (uint32_t)(token >> 32);
	struct claim *cl;

	if (i == CLAIM_NONE) {
		settle_strays(c, (uint32_t)token);
		return;
	}
	cl = &c->table.claims[i];
	/* With a later change appended, its commit settles this one too. */
	if (cl->version != (uint32_t)token)
		return;
	cl->durable = true;
	settle(c, i, now_us);
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

/* A snapshot is a sequence of log entries, so both are read alike. */
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
