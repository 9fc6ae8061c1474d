#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "svc-owner-internal.h"

#define LOAD_RETRY_DELAY_US 30000000u

/* A store call for an oplog action; its reply becomes an oplog event. */
struct oplog_store_call {
	struct shard *shard;
	enum oplog_event_type type;
	uint64_t id;
	char key[OWNER_STORE_KEY_BYTES]; /* OPLOG_DELETE_EPOCH: records */
};

static void run_action(struct shard *sh, const struct oplog_action *a);
static void read_done(void *arg, struct store_reply *r);
static void write_done(void *arg, struct store_reply *r);
static void parts_deleted(void *arg, struct store_reply *r);
static void step_oplog(struct shard *sh, const struct oplog_event *e);

static void step_oplog(struct shard *sh, const struct oplog_event *e)
{
	oplog_step(sh->oplog, clock_now_us(), e);
	owner_run_actions(sh);
}

void owner_oplog_event(struct shard *sh, enum oplog_event_type type)
{
	struct oplog_event e = { .type = type };

	step_oplog(sh, &e);
}

/* Running an action can append entries and thereby add actions. */
void owner_run_actions(struct shard *sh)
{
	struct oplog_action a;

	while (oplog_next_action(sh->oplog, &a))
		run_action(sh, &a);
	owner_claims_run_actions(sh);
}

static struct oplog_store_call *new_call(struct shard *sh,
					 const struct oplog_action *a,
					 enum oplog_event_type reply_type)
{
	struct oplog_store_call *c = xcalloc(1, sizeof(*c));

	c->shard = sh;
	c->id = a->id;
	c->type = reply_type;
	return c;
}

static void format_record_key(struct shard *sh, const char *kind,
			      const struct oplog_action *a, bool with_seq,
			      char key[OWNER_STORE_KEY_BYTES])
{
	int n = snprintf(key, OWNER_STORE_KEY_BYTES, "%s%s/%s/%016" PRIx64 "/",
			 sh->owner->prefix, kind, sh->name, a->epoch);

	if (with_seq)
		snprintf(key + n, OWNER_STORE_KEY_BYTES - (size_t)n,
			 "%016" PRIx64, a->seq);
}

static void handle_owned(struct shard *sh, const struct oplog_action *a)
{
	counter_add(sh->owner->shards_gained, 1);
	log_event(LOG_INFO, "shard-owned",
		  "shard=%s epoch=%" PRIu64 " records=%" PRIu64
		  " took_us=%" PRIu64,
		  sh->name, a->epoch, a->records, a->took_us);
}

static void handle_dropped(struct shard *sh, const struct oplog_action *a)
{
	if (a->epoch)
		counter_add(sh->owner->shards_lost, 1);
	log_event(a->epoch ? LOG_INFO : LOG_DEBUG, "shard-lost",
		  "shard=%s epoch=%" PRIu64 " reason=\"%s\"", sh->name,
		  a->epoch, a->text);
}

/*
 * Releases the shard, which remains without owner unless another process, such
 * as one of another version, can load it.
 */
static void handle_load_failed(struct shard *sh, const struct oplog_action *a)
{
	counter_add(sh->owner->load_failures, 1);
	log_event(LOG_ERROR, "shard-load-failed", "shard=%s reason=\"%s\"",
		  sh->name, a->text);
	owner_release_lease(sh, LOAD_RETRY_DELAY_US);
}

static void handle_released(struct shard *sh, const struct oplog_action *a)
{
	if (a->epoch) {
		counter_add(sh->owner->shards_lost, 1);
		log_event(LOG_INFO, "shard-released", "shard=%s epoch=%" PRIu64,
			  sh->name, a->epoch);
	}
	/* Leaves the entry VMs of the shard's zone time to acquire it. */
	owner_release_lease(sh, 2 * sh->owner->lease_us);
}

static void run_action(struct shard *sh, const struct oplog_action *a)
{
	struct store *st = sh->owner->store;
	struct oplog_store_call *c;
	char key[OWNER_STORE_KEY_BYTES];

	switch (a->type) {
	case OPLOG_READ_SNAPSHOT:
		snprintf(key, sizeof(key), "%ssnap/%s", sh->owner->prefix,
			 sh->name);
		store_get(st, key, false, 0, 0, read_done,
			  new_call(sh, a, OPLOG_SNAPSHOT_READ));
		break;
	case OPLOG_READ_PARTS:
		format_record_key(sh, "parts", a, false, key);
		store_get(st, key, true, 0, 0, read_done,
			  new_call(sh, a, OPLOG_PARTS_READ));
		break;
	case OPLOG_READ_EPOCH:
		format_record_key(sh, "log", a, false, key);
		store_get(st, key, true, 0, 0, read_done,
			  new_call(sh, a, OPLOG_EPOCH_READ));
		break;
	case OPLOG_READ_RECORD:
		format_record_key(sh, "log", a, true, key);
		store_get(st, key, false, 0, 0, read_done,
			  new_call(sh, a, OPLOG_RECORD_READ));
		break;
	case OPLOG_APPEND:
		format_record_key(sh, "log", a, true, key);
		store_put(st, key, a->data, a->len, 0, write_done,
			  new_call(sh, a, OPLOG_APPEND_DONE));
		break;
	case OPLOG_WRITE_PART:
		format_record_key(sh, "parts", a, true, key);
		store_put(st, key, a->data, a->len, 0, write_done,
			  new_call(sh, a, OPLOG_PART_DONE));
		break;
	case OPLOG_WRITE_SNAPSHOT:
		snprintf(key, sizeof(key), "%ssnap/%s", sh->owner->prefix,
			 sh->name);
		store_put(st, key, a->data, a->len, a->modify_index, write_done,
			  new_call(sh, a, OPLOG_SNAPSHOT_DONE));
		break;
	case OPLOG_DELETE_EPOCH:
		c = new_call(sh, a, OPLOG_DELETE_DONE);
		format_record_key(sh, "log", a, false, c->key);
		format_record_key(sh, "parts", a, false, key);
		store_delete(st, key, true, parts_deleted, c);
		break;
	case OPLOG_BECAME_OWNER:
		handle_owned(sh, a);
		break;
	case OPLOG_STEPPED_DOWN:
		handle_dropped(sh, a);
		break;
	case OPLOG_LOAD_FAILED:
		handle_load_failed(sh, a);
		break;
	case OPLOG_RELEASED:
		handle_released(sh, a);
		break;
	}
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(((const struct kv_pair *)a)->key,
		      ((const struct kv_pair *)b)->key);
}

/* Returns the values of a reply in the order of their sequence numbers. */
static struct oplog_value *copy_values(struct store_reply *r, size_t *count)
{
	struct oplog_value *v = xcalloc(r->kv.count, sizeof(*v));

	if (r->kv.count)
		qsort(r->kv.pairs, r->kv.count, sizeof(*r->kv.pairs),
		      compare_keys);
	for (size_t i = 0; i < r->kv.count; i++) {
		const struct kv_pair *p = &r->kv.pairs[i];
		const char *slash = strrchr(p->key, '/');

		v[i].seq = slash ? strtoull(slash + 1, NULL, 16) : 0;
		v[i].data = p->value;
		v[i].len = p->value_len;
	}
	*count = r->kv.count;
	return v;
}

static void read_done(void *arg, struct store_reply *r)
{
	struct oplog_store_call *c = arg;
	struct oplog_event e = { .type = c->type, .id = c->id };
	struct oplog_value *values = NULL;

	if (r->failed) {
		e.result = OPLOG_UNREACHABLE;
	} else {
		values = copy_values(r, &e.count);
		e.values = values;
		e.modify_index = r->kv.count ? r->kv.pairs[0].modify_index : 0;
	}
	step_oplog(c->shard, &e);
	free(values);
	free(c);
}

static enum oplog_result write_result(const struct store_reply *r)
{
	if (!r->failed)
		return r->applied ? OPLOG_APPLIED : OPLOG_CAS_FAILED;
	if (r->err.code == PLATFORM_UNREACHABLE ||
	    r->err.code == PLATFORM_REFUSED)
		return OPLOG_UNREACHABLE;
	return OPLOG_UNKNOWN;
}

static void write_done(void *arg, struct store_reply *r)
{
	struct oplog_store_call *c = arg;
	struct oplog_event e = {
		.type = c->type,
		.id = c->id,
		.result = write_result(r),
	};

	/* A delete has no compare-and-swap, so it cannot be refused. */
	if (c->type == OPLOG_DELETE_DONE && !r->failed)
		e.result = OPLOG_APPLIED;
	step_oplog(c->shard, &e);
	free(c);
}

/* Deletes the records of an epoch after its snapshot parts. */
static void parts_deleted(void *arg, struct store_reply *r)
{
	struct oplog_store_call *c = arg;

	if (r->failed)
		write_done(c, r);
	else
		store_delete(c->shard->owner->store, c->key, true, write_done,
			     c);
}
