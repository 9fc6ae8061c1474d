#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log.h"
#include "svc-owner-internal.h"

#define TICK_US 20000u
#define RETRY_US 500000u
#define WATCH_US 10000000u
/* A part of the write budget stays for sessions, seats and leases. */
#define APPEND_SHARE 0.6
#define LOOK_INTERVAL_US 1000000u
#define HOME_WAIT_LEASES 3u
#define HOME_WAIT_MAX_US 600000000u
/* A stop waits so long for reports of ended requests. */
#define STOP_WAIT_US 2000000u

static int owner_start(struct service *svc, struct kernel *k,
		       struct error *err);
static void owner_drain(struct service *svc);
static void owner_stop(struct service *svc);
static void owner_destroy(struct service *svc);
static void owner_tick(void *arg);
static void watch(struct owner *o, uint64_t now);

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
	o->gained = counter_get(COUNTER, "waxwing_shards_gained_total", NULL);
	o->lost = counter_get(COUNTER, "waxwing_shards_lost_total", NULL);
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
	/* A service that starts late finds shards that are already known. */
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		owner_shard_client(sh, o->client_count - 1);
		owner_log_event(sh, OPLOG_RELOAD);
	}
}

static void start_on_loop(void *arg)
{
	struct owner *o = arg;

	owner_claims_start(o);
	loop_every(o->loop, TICK_US, owner_tick, o);
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

/* Gives the shards to others; requests in progress still report. */
static void drain_shards(void *arg)
{
	struct owner *o = arg;

	if (atomic_exchange(&o->draining, true))
		return;
	for (uint32_t i = 0; i < o->shard_count; i++)
		owner_log_event(&o->shards[i], OPLOG_DRAIN);
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

static void look_busy(void *arg)
{
	struct stop_state *s = arg;
	struct owner *o = s->owner;

	s->busy = o->unacknowledged > 0;
	for (uint32_t i = 0; i < o->shard_count; i++)
		s->busy |= oplog_is_owner(o->shards[i].log);
}

static void owner_stop(struct service *svc)
{
	struct owner *o = (struct owner *)svc;
	struct stop_state s = { .owner = o };
	uint64_t end = clock_now_us() + STOP_WAIT_US;

	loop_call(o->loop, drain_shards, o);
	do {
		loop_call(o->loop, look_busy, &s);
		if (s.busy)
			clock_sleep_us(TICK_US);
	} while (s.busy && clock_now_us() < end);
	atomic_store(&o->stopped, true);
}

static void owner_destroy(struct service *svc)
{
	struct owner *o = (struct owner *)svc;

	for (uint32_t i = 0; i < o->shard_count; i++) {
		claims_destroy(o->shards[i].claims);
		oplog_destroy(o->shards[i].log);
	}
	for (uint32_t b = 0; b < OWNER_BUCKETS; b++) {
		while (o->reports[b]) {
			struct claim_report *r = o->reports[b];

			o->reports[b] = r->next;
			buffer_free(&r->body);
			free(r);
		}
	}
	free(o->new_shards);
	free(o->due);
	free(o);
}

/* ---- who holds them ---- */

/* A call that left before the key was acquired or released here is old. */
static void see_holder(struct shard *sh, const struct kv_pair *p, uint64_t now,
		       uint64_t sent_us)
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
	/* An acquisition whose answer was lost is recognised here. */
	if (held && session[0] && !strcmp(p->session, session)) {
		if (sent_us > sh->changed_us)
			snprintf(sh->session, sizeof(sh->session), "%s",
				 session);
	} else if (sent_us > sh->changed_us) {
		sh->session[0] = '\0';
	}
}

static void watched(void *arg, struct store_reply *r)
{
	struct owner *o = arg;
	uint64_t now = clock_now_us();

	o->watching = false;
	if (r->failed) {
		o->next_watch_us =
			now + RETRY_US / 2 + rng_below(&o->rng, RETRY_US);
		o->watch_index = 0;
		return;
	}
	/* Without an index the next call would not wait. */
	if (!r->kv.index)
		o->next_watch_us = now + RETRY_US;
	o->watch_index = r->kv.index;
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];
		const struct kv_pair *found = NULL;

		for (size_t j = 0; j < r->kv.count && !found; j++) {
			const char *slash = strrchr(r->kv.pairs[j].key, '/');

			if (slash && !strcmp(slash + 1, sh->name))
				found = &r->kv.pairs[j];
		}
		see_holder(sh, found, now, r->sent_us);
	}
}

static void watch(struct owner *o, uint64_t now)
{
	char key[OWNER_KEY_BYTES];

	if (o->watching || now < o->next_watch_us || !o->shard_count)
		return;
	o->watching = true;
	snprintf(key, sizeof(key), "%sowner/", o->prefix);
	store_get(o->store, key, true, o->watch_index, WATCH_US, watched, o);
}

/* ---- leases ---- */

static void owner_key(struct shard *sh, char key[OWNER_KEY_BYTES])
{
	snprintf(key, OWNER_KEY_BYTES, "%sowner/%s", sh->owner->prefix,
		 sh->name);
}

void owner_release(struct shard *sh, uint64_t wait_us)
{
	char key[OWNER_KEY_BYTES];

	sh->not_before_us = clock_now_us() + wait_us;
	if (!sh->session[0])
		return;
	sh->changed_us = clock_now_us();
	sh->session[0] = '\0';
	owner_key(sh, key);
	store_release(sh->owner->store, key, NULL, NULL);
}

static void acquired(void *arg, struct store_reply *r)
{
	struct shard *sh = arg;
	struct owner *o = sh->owner;

	sh->acquiring = false;
	sh->not_before_us =
		clock_now_us() + RETRY_US / 2 + rng_below(&o->rng, RETRY_US);
	/* The session can have changed since the call left. */
	if (!r->failed && r->applied) {
		snprintf(sh->session, sizeof(sh->session), "%s",
			 sh->acquire_session);
		sh->changed_us = clock_now_us();
	}
	/* Reads the holders again, in case the answer was lost. */
	if (r->failed)
		o->watch_index = 0;
}

static uint32_t shards_held(const struct owner *o)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->shard_count; i++)
		n += o->shards[i].lease;
	return n;
}

/*
 * Time at which this process tries to acquire a free shard: at once in the
 * shard's own zone, a lease time later elsewhere, and a little later with each
 * shard that it already holds.
 */
static uint64_t candidate_at(struct shard *sh)
{
	struct owner *o = sh->owner;
	uint64_t at = sh->free_since_us + shards_held(o) * 100000u;

	if (strcmp(sh->name, o->availability_zone) != 0 &&
	    !oplog_is_owner(sh->log))
		at += o->lease_us;
	return at > sh->not_before_us ? at : sh->not_before_us;
}

static void try_acquire(struct shard *sh, uint64_t now)
{
	struct owner *o = sh->owner;
	char key[OWNER_KEY_BYTES];

	if (sh->session[0] || sh->acquiring || !sh->free_since_us ||
	    !store_session(o->store)[0] || now < candidate_at(sh) ||
	    atomic_load(&o->draining))
		return;
	sh->acquiring = true;
	snprintf(sh->acquire_session, sizeof(sh->acquire_session), "%s",
		 store_session(o->store));
	owner_key(sh, key);
	store_acquire(o->store, key, o->id, strlen(o->id), acquired, sh);
}

/* Tells the log when the lease becomes certain, or stops being so. */
static void check_lease(struct shard *sh, uint64_t now)
{
	struct store *st = sh->owner->store;
	bool ours = sh->session[0] && !strcmp(sh->session, store_session(st));
	bool certain = ours && now < store_lease_until_us(st);

	if (sh->session[0] && !ours)
		sh->session[0] = '\0';
	if (certain == sh->lease)
		return;
	sh->lease = certain;
	owner_log_event(sh, certain ? OPLOG_LEASE_GAINED : OPLOG_LEASE_LOST);
}

static bool zone_has_entry(const struct owner *o, const char *zone, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		if (o->list[i].live && !o->list[i].draining &&
		    !strcmp(o->list[i].availability_zone, zone))
			return true;
	return false;
}

/*
 * Hands a shard of another zone over once that zone has an entry VM again. When
 * nobody there takes it, the next attempt waits twice as long.
 */
static void tend_home(struct shard *sh, uint64_t now, uint32_t members)
{
	struct owner *o = sh->owner;

	if (!strcmp(sh->name, o->availability_zone))
		return;
	if (!zone_has_entry(o, sh->name, members)) {
		sh->home_since_us = 0;
		return;
	}
	if (!sh->home_since_us)
		sh->home_since_us = now;
	if (!sh->home_wait_us ||
	    (sh->holder[0] && strcmp(sh->holder, o->id) != 0))
		sh->home_wait_us = HOME_WAIT_LEASES * o->lease_us;
	if (!oplog_is_owner(sh->log) ||
	    now - sh->home_since_us < sh->home_wait_us)
		return;
	log_event(LOG_INFO, "shard-handed-over", "shard=%s", sh->name);
	sh->home_since_us = now;
	if (sh->home_wait_us < HOME_WAIT_MAX_US)
		sh->home_wait_us *= 2;
	owner_log_event(sh, OPLOG_HAND_OVER);
}

/*
 * Once a second: new zones, shards that belong elsewhere, and the appends
 * spread over the process's share of the write budget.
 */
static void look_around(struct owner *o, uint64_t now)
{
	uint32_t n, held = shards_held(o);
	double rate;

	if (now < o->next_look_us)
		return;
	o->next_look_us = now + LOOK_INTERVAL_US;
	n = members_list(o->members, o->list, MEMBERS_MAX);
	owner_shards_new_zones(o);
	rate = store_write_share(o->store) * APPEND_SHARE / (held ? held : 1);
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		tend_home(sh, now, n);
		oplog_set_append_interval(sh->log, (uint64_t)(1e6 / rate));
		owner_shard_show(sh);
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
	watch(o, now);
	look_around(o, now);
	for (uint32_t i = 0; i < o->shard_count; i++) {
		struct shard *sh = &o->shards[i];

		check_lease(sh, now);
		try_acquire(sh, now);
		owner_log_event(sh, OPLOG_TICK);
	}
	owner_claims_tick(o, now);
}

/* ---- for other services ---- */

void owner_of_shard(struct owner *o, const char *shard, char id[64])
{
	struct shard *sh = owner_find_shard(o, shard);
	uint64_t epoch;

	if (sh && oplog_is_owner(sh->log)) {
		snprintf(id, 64, "%s", o->id);
		return;
	}
	/* A heartbeat names an owner that has loaded; the key may not. */
	members_shard_owner(o->members, shard, id, &epoch);
	if (!id[0] && sh)
		snprintf(id, 64, "%s", sh->holder);
}

uint32_t owner_shards(struct owner *o, char names[][64], uint64_t *epochs,
		      uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < o->shard_count && n < max; i++) {
		if (!oplog_is_owner(o->shards[i].log))
			continue;
		snprintf(names[n], 64, "%s", o->shards[i].name);
		epochs[n++] = oplog_epoch(o->shards[i].log);
	}
	return n;
}
