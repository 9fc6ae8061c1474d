#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "svc-owner-internal.h"

#define TICK_INTERVAL_US 20000u
#define RETRY_DELAY_US 500000u
#define WATCH_TIMEOUT_US 10000000u
/* The rest of the write budget is left to sessions, seats and leases. */
#define APPEND_BUDGET_SHARE 0.6
#define SHARD_UPDATE_INTERVAL_US 1000000u
#define FAILBACK_DELAY_LEASES 3u
#define FAILBACK_DELAY_MAX_US 600000000u
/* Delays acquiring by this much for each shard already held. */
#define ACQUIRE_DELAY_PER_SHARD_US 100000u
/* Longest wait in owner_stop() for reports to be acknowledged. */
#define STOP_TIMEOUT_US 2000000u

static int owner_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void owner_drain(struct service *svc);
static void owner_stop(struct service *svc);
static void owner_destroy(struct service *svc);
static void owner_tick(void *arg);
static void watch_owner_keys(struct owner *o, uint64_t now);

static const struct service_ops owner_ops = {
	.name = "owner",
	.start = owner_start,
	.drain = owner_drain,
	.stop = owner_stop,
	.destroy = owner_destroy,
};

struct service *owner_create(const struct settings *s)
{
	static const char *const codes[] = {
		[CLAIM_GRANTED] = "granted",
		[CLAIM_REPLAY] = "replay",
		[CLAIM_UNKNOWN] = "unknown",
		[CLAIM_KEY_REUSED] = "key-reused",
		[CLAIM_UNAVAILABLE] = "unavailable",
	};
	struct owner *o = xcalloc(1, sizeof(*o));
	char label[48];

	o->service.ops = &owner_ops;
	snprintf(o->id, sizeof(o->id), "%s", s->node.id);
	snprintf(o->availability_zone, sizeof(o->availability_zone), "%s",
		 s->node.availability_zone);
	snprintf(o->prefix, sizeof(o->prefix), "waxwing/%s/",
		 s->node.deployment);
	o->lease_us = s->platform.lease_us;
	o->rng.state = clock_wall_us() ^ (uint64_t)getpid() << 32;
	o->shards_gained =
		counter_get(COUNTER, "waxwing_shards_gained_total", NULL);
	o->shards_lost =
		counter_get(COUNTER, "waxwing_shards_lost_total", NULL);
	o->load_failures =
		counter_get(COUNTER, "waxwing_shard_load_failures_total", NULL);
	o->late_grants =
		counter_get(COUNTER, "waxwing_claim_late_grants_total", NULL);
	o->dropped_messages = counter_get(
		COUNTER, "waxwing_claim_messages_dropped_total", NULL);
	for (int i = 0; i <= CLAIM_UNAVAILABLE; i++) {
		snprintf(label, sizeof(label), "code=\"%s\"", codes[i]);
		o->replies[i] =
			counter_get(COUNTER, "waxwing_claims_total", label);
	}
	return &o->service;
}

struct owner *owner_find(struct kernel *k)
{
	return (struct owner *)kernel_find(k, "owner");
}

void owner_add_client(struct owner *o, owner_client_fn *create, void *arg)
{
	if (o->client_count + 1 >= OPLOG_CLIENTS_MAX)
		abort();
	o->clients[o->client_count].create = create;
	o->clients[o->client_count++].arg = arg;
	/* Shards can be known before a service that starts later adds one. */
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		owner_shard_add_client(sh, o->client_count - 1);
		owner_oplog_event(sh, OPLOG_RELOAD);
	}
}

static void start_on_loop(void *arg)
{
	struct owner *o = arg;

	owner_claims_start(o);
	loop_add_timer(o->loop, TICK_INTERVAL_US, owner_tick, o);
}

static int owner_start(struct service *svc, struct kernel *k, struct error *err)
{
	struct owner *o = (struct owner *)svc;

	(void)err;
	o->loop = loop_find(k);
	o->store = store_find(k);
	o->peers = peers_find(k);
	o->members = members_find(k);
	o->targets = targets_find(k);
	o->last_tick_us = clock_now_us();
	loop_call(o->loop, start_on_loop, o);
	return 0;
}

/* Releases all shards; requests in progress can still report outcomes. */
static void drain_shards(void *arg)
{
	struct owner *o = arg;

	if (atomic_exchange(&o->draining, true))
		return;
	for (uint32_t i = 0; i < o->shard_count; i++)
		owner_oplog_event(&o->shards[i], OPLOG_DRAIN);
}

static void owner_drain(struct service *svc)
{
	struct owner *o = (struct owner *)svc;

	loop_post(o->loop, drain_shards, o);
}

struct stop_state {
	struct owner *owner;
	bool busy;
};

static void check_busy(void *arg)
{
	struct stop_state *s = arg;
	struct owner *o = s->owner;

	s->busy = o->unacked_reports > 0;
	for (uint32_t i = 0; i < o->shard_count; i++)
		s->busy |= oplog_is_owner(o->shards[i].oplog);
}

static void owner_stop(struct service *svc)
{
	struct owner *o = (struct owner *)svc;
	struct stop_state s = { .owner = o };
	uint64_t end = clock_now_us() + STOP_TIMEOUT_US;

	loop_call(o->loop, drain_shards, o);
	do {
		loop_call(o->loop, check_busy, &s);
		if (s.busy)
			clock_sleep_us(TICK_INTERVAL_US);
	} while (s.busy && clock_now_us() < end);
	atomic_store(&o->stopped, true);
}

static void owner_destroy(struct service *svc)
{
	struct owner *o = (struct owner *)svc;

	for (uint32_t i = 0; i < o->shard_count; i++) {
		claims_destroy(o->shards[i].claims);
		oplog_destroy(o->shards[i].oplog);
	}
	for (uint32_t b = 0; b < OWNER_HASH_BUCKETS; b++) {
		while (o->reports[b]) {
			struct claim_report *r = o->reports[b];

			o->reports[b] = r->next;
			buffer_free(&r->body);
			free(r);
		}
	}
	free(o->new_shard_list);
	free(o->due_nonces);
	free(o);
}

/* ---- owner keys ---- */

/*
 * Updates the shard from its owner key. A read that was sent before the key was
 * last acquired or released here is stale and does not change the session.
 */
static void update_holder(struct shard *sh, const struct kv_pair *p,
			  uint64_t now, uint64_t sent_us)
{
	struct owner *o = sh->owner;
	const char *session = store_session(o->store);
	bool held = p && p->session[0];

	snprintf(sh->holder, sizeof(sh->holder), "%.*s",
		 held ? (int)p->value_len : 0, held ? p->value : "");
	if (held)
		sh->free_since_us = 0;
	else if (!sh->free_since_us)
		sh->free_since_us = now;
	if (sh->acquiring)
		return;
	/* Covers an acquire that took effect although its reply was lost. */
	if (held && session[0] && !strcmp(p->session, session)) {
		if (sent_us > sh->lease_changed_us)
			snprintf(sh->session, sizeof(sh->session), "%s",
				 session);
	} else if (sent_us > sh->lease_changed_us) {
		sh->session[0] = '\0';
	}
}

static void owner_keys_read(void *arg, struct store_reply *r)
{
	struct owner *o = arg;
	uint64_t now = clock_now_us();

	o->watch_pending = false;
	if (r->failed) {
		o->next_watch_us = now + RETRY_DELAY_US / 2 +
				   rng_below(&o->rng, RETRY_DELAY_US);
		o->watch_index = 0;
		return;
	}
	/* Without an index the next read would return at once. */
	if (!r->kv.index)
		o->next_watch_us = now + RETRY_DELAY_US;
	o->watch_index = r->kv.index;
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];
		const struct kv_pair *found = NULL;

		for (size_t j = 0; j < r->kv.count && !found; j++) {
			const char *slash = strrchr(r->kv.pairs[j].key, '/');

			if (slash && !strcmp(slash + 1, sh->name))
				found = &r->kv.pairs[j];
		}
		update_holder(sh, found, now, r->sent_us);
	}
}

static void watch_owner_keys(struct owner *o, uint64_t now)
{
	char key[OWNER_STORE_KEY_BYTES];

	if (o->watch_pending || now < o->next_watch_us || !o->shard_count)
		return;
	o->watch_pending = true;
	snprintf(key, sizeof(key), "%sowner/", o->prefix);
	store_get(o->store, key, true, o->watch_index, WATCH_TIMEOUT_US,
		  owner_keys_read, o);
}

/* ---- leases ---- */

static void format_owner_key(struct shard *sh, char key[OWNER_STORE_KEY_BYTES])
{
	snprintf(key, OWNER_STORE_KEY_BYTES, "%sowner/%s", sh->owner->prefix,
		 sh->name);
}

void owner_release_lease(struct shard *sh, uint64_t retry_delay_us)
{
	char key[OWNER_STORE_KEY_BYTES];

	sh->acquire_not_before_us = clock_now_us() + retry_delay_us;
	if (!sh->session[0])
		return;
	sh->lease_changed_us = clock_now_us();
	sh->session[0] = '\0';
	format_owner_key(sh, key);
	store_release(sh->owner->store, key, NULL, NULL);
}

static void acquire_done(void *arg, struct store_reply *r)
{
	struct shard *sh = arg;
	struct owner *o = sh->owner;

	sh->acquiring = false;
	sh->acquire_not_before_us = clock_now_us() + RETRY_DELAY_US / 2 +
				    rng_below(&o->rng, RETRY_DELAY_US);
	/* The current session can differ from the one that was sent. */
	if (!r->failed && r->applied) {
		snprintf(sh->session, sizeof(sh->session), "%s",
			 sh->acquire_session);
		sh->lease_changed_us = clock_now_us();
	}
	/* The acquire may have succeeded: reads the owner keys again. */
	if (r->failed)
		o->watch_index = 0;
}

static uint32_t count_held_leases(const struct owner *o)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->shard_count; i++)
		n += o->shards[i].lease_valid;
	return n;
}

/*
 * Time at which this process tries to acquire a free shard: immediately in the
 * shard's own zone or as its owner, one lease time later otherwise, plus
 * ACQUIRE_DELAY_PER_SHARD_US for each shard that it already holds.
 */
static uint64_t acquire_time_us(struct shard *sh)
{
	struct owner *o = sh->owner;
	uint64_t at = sh->free_since_us +
		      count_held_leases(o) * ACQUIRE_DELAY_PER_SHARD_US;

	if (strcmp(sh->name, o->availability_zone) != 0 &&
	    !oplog_is_owner(sh->oplog))
		at += o->lease_us;
	return at > sh->acquire_not_before_us ? at : sh->acquire_not_before_us;
}

static void try_acquire(struct shard *sh, uint64_t now)
{
	struct owner *o = sh->owner;
	char key[OWNER_STORE_KEY_BYTES];

	if (sh->session[0] || sh->acquiring || !sh->free_since_us ||
	    !store_session(o->store)[0] || now < acquire_time_us(sh) ||
	    atomic_load(&o->draining))
		return;
	sh->acquiring = true;
	snprintf(sh->acquire_session, sizeof(sh->acquire_session), "%s",
		 store_session(o->store));
	format_owner_key(sh, key);
	store_acquire(o->store, key, o->id, strlen(o->id), acquire_done, sh);
}

/* Reports a change of the lease's validity to the oplog. */
static void check_lease(struct shard *sh, uint64_t now)
{
	struct store *st = sh->owner->store;
	bool session_current =
		sh->session[0] && !strcmp(sh->session, store_session(st));
	bool valid = session_current && now < store_lease_expires_us(st);

	if (sh->session[0] && !session_current)
		sh->session[0] = '\0';
	if (valid == sh->lease_valid)
		return;
	sh->lease_valid = valid;
	owner_oplog_event(sh, valid ? OPLOG_LEASE_GAINED : OPLOG_LEASE_LOST);
}

static bool zone_has_live_entry_vm(const struct owner *o, const char *zone,
				   uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		if (o->member_list[i].live && !o->member_list[i].draining &&
		    !strcmp(o->member_list[i].availability_zone, zone))
			return true;
	return false;
}

/*
 * Hands a shard of another zone over once that zone has had a live entry VM for
 * failback_delay_us. The delay doubles with each attempt, as no VM of the zone
 * may acquire the shard, until it reaches FAILBACK_DELAY_MAX_US. It is reset
 * when another process holds the owner key.
 */
static void check_failback(struct shard *sh, uint64_t now, uint32_t members)
{
	struct owner *o = sh->owner;

	if (!strcmp(sh->name, o->availability_zone))
		return;
	if (!zone_has_live_entry_vm(o, sh->name, members)) {
		sh->home_zone_live_since_us = 0;
		return;
	}
	if (!sh->home_zone_live_since_us)
		sh->home_zone_live_since_us = now;
	if (!sh->failback_delay_us ||
	    (sh->holder[0] && strcmp(sh->holder, o->id) != 0))
		sh->failback_delay_us = FAILBACK_DELAY_LEASES * o->lease_us;
	if (!oplog_is_owner(sh->oplog) ||
	    now - sh->home_zone_live_since_us < sh->failback_delay_us)
		return;
	log_event(LOG_INFO, "shard-handed-over", "shard=%s", sh->name);
	sh->home_zone_live_since_us = now;
	if (sh->failback_delay_us < FAILBACK_DELAY_MAX_US)
		sh->failback_delay_us *= 2;
	owner_oplog_event(sh, OPLOG_HAND_OVER);
}

/*
 * Once a second: adds shards for new zones, hands shards back to their own
 * zones, divides this process's append budget among the shards that it holds
 * and updates the metrics.
 */
static void update_shards(struct owner *o, uint64_t now)
{
	uint32_t n, held = count_held_leases(o);
	double rate;

	if (now < o->next_shard_update_us)
		return;
	o->next_shard_update_us = now + SHARD_UPDATE_INTERVAL_US;
	n = members_list(o->members, o->member_list, MEMBERS_MAX);
	owner_shards_add_zones(o);
	rate = store_write_rate_limit(o->store) * APPEND_BUDGET_SHARE /
	       (held ? held : 1);
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		check_failback(sh, now, n);
		oplog_set_append_interval(sh->oplog, (uint64_t)(1e6 / rate));
		owner_shard_update_metrics(sh);
	}
}

static void owner_tick(void *arg)
{
	struct owner *o = arg;
	uint64_t now = clock_now_us();

	if (now - o->last_tick_us > o->lease_us)
		log_event(LOG_WARNING, "paused", "for_us=%llu",
			  (unsigned long long)(now - o->last_tick_us));
	o->last_tick_us = now;
	owner_shards_tick(o, now);
	watch_owner_keys(o, now);
	update_shards(o, now);
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		check_lease(sh, now);
		try_acquire(sh, now);
		owner_oplog_event(sh, OPLOG_TICK);
	}
	owner_claims_tick(o, now);
}

/* ---- functions for other services ---- */

void owner_of_shard(struct owner *o, const char *shard, char id[64])
{
	struct shard *sh = owner_find_shard(o, shard);
	uint64_t epoch;

	if (sh && oplog_is_owner(sh->oplog)) {
		snprintf(id, 64, "%s", o->id);
		return;
	}
	/*
	 * Heartbeats name owners that have loaded the shard; the holder of the
	 * owner key may still be loading it.
	 */
	members_shard_owner(o->members, shard, id, &epoch);
	if (!id[0] && sh)
		snprintf(id, 64, "%s", sh->holder);
}

uint32_t owner_list_shards(struct owner *o, char names[][64], uint64_t *epochs,
			   uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->shard_count && n < max; i++) {
		if (!oplog_is_owner(o->shards[i].oplog))
			continue;
		snprintf(names[n], 64, "%s", o->shards[i].name);
		epochs[n++] = oplog_epoch(o->shards[i].oplog);
	}
	return n;
}
