#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "svc-owner-internal.h"

#define RETRY_DELAY_US 500000u

static void read_shard_list(struct owner *o);
static void shard_list_read(void *arg, struct store_reply *r);
static void vm_list_read(void *arg, struct store_reply *r);
static void shard_list_stored(void *arg, struct store_reply *r);

void owner_shard_add_client(struct shard *sh, uint32_t i)
{
	struct owner *o = sh->owner;
	struct oplog_client *c =
		o->clients[i].create(o->clients[i].arg, sh->name, sh->oplog);

	if (c)
		oplog_add_client(sh->oplog, c);
}

struct shard *owner_find_shard(struct owner *o, const char *name)
{
	for (uint32_t i = 0; i < o->shard_count; i++)
		if (!strcmp(o->shards[i].name, name))
			return &o->shards[i];
	return NULL;
}

static void add_metrics(struct shard *sh)
{
	char label[80];

	snprintf(label, sizeof(label), "shard=\"%s\"", sh->name);
	sh->owned = counter_get(GAUGE, "waxwing_shard_owned", label);
	sh->claim_count = counter_get(GAUGE, "waxwing_claims", label);
	sh->claim_bytes = counter_get(GAUGE, "waxwing_claims_bytes", label);
	sh->records = counter_get(COUNTER, "waxwing_log_records_total", label);
	sh->entries = counter_get(COUNTER, "waxwing_log_entries_total", label);
	sh->recovered_appends =
		counter_get(COUNTER, "waxwing_log_recognised_total", label);
}

static void add_shard(struct owner *o, const char *name)
{
	struct shard *sh;
	char writer[64];

	if (o->shard_count == OWNER_SHARDS_MAX || owner_find_shard(o, name))
		return;
	sh = &o->shards[o->shard_count++];
	sh->owner = o;
	snprintf(sh->name, sizeof(sh->name), "%s", name);
	/* Records name their writer, and a restarted process keeps its id. */
	snprintf(writer, sizeof(writer), "%.40s.%llx", o->id,
		 (unsigned long long)(rng_next(&o->rng) & 0xffffffffffffu));
	sh->oplog = oplog_create(writer, rng_next(&o->rng));
	sh->claims = claims_create(sh->oplog, CLAIMS_MEMORY_MAX_BYTES);
	oplog_add_client(sh->oplog, claims_client(sh->claims));
	add_metrics(sh);
	for (uint32_t i = 0; i < o->client_count; i++)
		owner_shard_add_client(sh, i);
}

/*
 * Adds shards for the tasks of zones that appeared after the list was stored.
 * Keys never hash to them: a duplicate must find the claim in the shard that
 * granted it.
 */
void owner_shards_add_zones(struct owner *o)
{
	const struct vm_list *l = o->targets ? targets_list(o->targets) : NULL;

	for (size_t i = 0; l && o->claim_shard_count && i < l->count; i++)
		if (l->vms[i].availability_zone[0])
			add_shard(o, l->vms[i].availability_zone);
}

/* Reads the list, a sorted JSON array that is stored once and never changed. */
static void read_shard_list(struct owner *o)
{
	char key[OWNER_STORE_KEY_BYTES];

	snprintf(key, sizeof(key), "%sshards", o->prefix);
	o->reading_shard_list = true;
	store_get(o->store, key, false, 0, 0, shard_list_read, o);
}

static void retry_shard_list(struct owner *o)
{
	o->reading_shard_list = false;
	o->next_shard_list_read_us = clock_now_us() + RETRY_DELAY_US / 2 +
				     rng_below(&o->rng, RETRY_DELAY_US);
}

static void shard_list_read(void *arg, struct store_reply *r)
{
	struct owner *o = arg;
	json_t *list;

	if (r->failed) {
		retry_shard_list(o);
		return;
	}
	if (!r->kv.count) {
		store_list_vms(o->store, vm_list_read, o);
		return;
	}
	list = json_loadb(r->kv.pairs[0].value, r->kv.pairs[0].value_len, 0,
			  NULL);
	for (size_t i = 0; i < json_array_size(list); i++) {
		const char *name = json_string_value(json_array_get(list, i));

		if (name && name[0])
			add_shard(o, name);
	}
	json_decref(list);
	o->claim_shard_count = o->shard_count;
	if (!o->shard_count) {
		log_event(LOG_ERROR, "shards-malformed", "key=%sshards",
			  o->prefix);
		retry_shard_list(o);
	}
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

/* Returns the sorted zones of all VMs as a JSON array, or NULL if none. */
static char *zones_to_json(const struct vm_list *l)
{
	char(*names)[64] = xcalloc(l->count, sizeof(*names));
	json_t *list = json_array();
	char *text = NULL;

	for (size_t i = 0; i < l->count; i++)
		memcpy(names[i], l->vms[i].availability_zone, sizeof(names[i]));
	if (l->count)
		qsort(names, l->count, sizeof(*names), compare_names);
	for (size_t i = 0; i < l->count; i++)
		if (names[i][0] && (!i || strcmp(names[i], names[i - 1]) != 0))
			json_array_append_new(list, json_string(names[i]));
	if (json_array_size(list))
		text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	free(names);
	return text;
}

static void vm_list_read(void *arg, struct store_reply *r)
{
	struct owner *o = arg;
	char key[OWNER_STORE_KEY_BYTES];

	free(o->new_shard_list);
	o->new_shard_list = r->failed ? NULL : zones_to_json(&r->vms);
	if (!o->new_shard_list) {
		retry_shard_list(o);
		return;
	}
	snprintf(key, sizeof(key), "%sshards", o->prefix);
	store_put(o->store, key, o->new_shard_list, strlen(o->new_shard_list),
		  0, shard_list_stored, o);
}

/* Reads the list back: another process may have stored it first. */
static void shard_list_stored(void *arg, struct store_reply *r)
{
	struct owner *o = arg;

	if (r->failed)
		retry_shard_list(o);
	else
		read_shard_list(o);
}

void owner_shards_tick(struct owner *o, uint64_t now)
{
	if (!o->shard_count && !o->reading_shard_list &&
	    now >= o->next_shard_list_read_us)
		read_shard_list(o);
}

void owner_shard_update_metrics(struct shard *sh)
{
	const struct oplog_counts *n = oplog_get_counts(sh->oplog);

	counter_set(sh->owned, oplog_is_owner(sh->oplog));
	counter_set(sh->claim_count, claims_count(sh->claims));
	counter_set(sh->claim_bytes, (long long)claims_memory(sh->claims));
	counter_set(sh->records, (long long)n->records);
	counter_set(sh->entries, (long long)n->entries);
	counter_set(sh->recovered_appends, (long long)n->recovered_appends);
}
