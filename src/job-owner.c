#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-node.h"
#include "job-owner-internal.h"
#include "kv-follow.h"
#include "log.h"

static void begin_election(struct job_owner *o);
static void keep_lease(struct job_owner *o);

/* ---- who owns the jobs ---- */

static void on_owner_begin(void *arg)
{
	struct job_owner *o = arg;

	o->known_swept = true;
}

static void on_owner_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	unsigned port;

	if (strcmp(item->key, JOB_OWNER_KEY))
		return;
	o->known_swept = false;
	if (item->deleted) {
		o->known = false;
		o->gone_us = clock_now_us();
		if (o->revision && item->revision > o->revision)
			job_owner_deposed(o);
		return;
	}
	o->known =
		sscanf(item->value, "%47[^:]:%u", o->address.host, &port) == 2;
	o->address.port = (uint16_t)port;
	o->known_revision = item->revision;
	if (o->state >= OWNER_LOADING && item->revision > o->revision &&
	    o->revision) {
		log_event(LOG_WARNING, "owner-replaced", "owner=%s:%u",
			  o->address.host, port);
		job_owner_deposed(o);
	}
}

static void on_owner_end(void *arg)
{
	struct job_owner *o = arg;

	if (!o->known_swept)
		return;
	if (o->known)
		o->gone_us = clock_now_us();
	o->known = false;
}

static const struct kv_follow_ops owner_follow_ops = {
	.begin = on_owner_begin,
	.item = on_owner_item,
	.end = on_owner_end,
};

bool job_owner_address(const struct job_owner *o, struct settings_address *out)
{
	*out = o->address;
	return o->known;
}

/* ---- election ---- */

static void election_failed(struct job_owner *o, const char *why)
{
	log_event(LOG_INFO, "election-lost", "reason=%s", why);
	if (o->lease)
		o->node->kv->ops->lease_revoke(o->node->kv, o->lease,
					       ignore_reply, NULL);
	o->lease = 0;
	o->state = OWNER_FOLLOWER;
	o->next_try_us = clock_now_us() + ELECTION_PAUSE_US;
}

static void on_elected(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;

	if (o->state != OWNER_CLAIMING)
		return;
	if (r->outcome != KV_OK) {
		election_failed(o, r->outcome == KV_CONFLICT ? "conflict"
							     : "store");
		return;
	}
	o->revision = r->revision;
	o->seq_revision = r->revision;
	o->counter = 0;
	counter_add(o->elections, 1);
	log_event(LOG_INFO, "owner-elected", "epoch=%llu revision=%llu",
		  (unsigned long long)o->epoch,
		  (unsigned long long)o->revision);
	job_owner_load(o);
	keep_lease(o);
}

static void on_seq(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;
	char value[96], seq[48];
	struct kv_condition expect[2] = { { JOB_OWNER_KEY, o->replaced },
					  { JOB_SEQ_KEY, 0 } };
	struct kv_set sets[2] = { { JOB_OWNER_KEY, value, 0, o->lease },
				  { JOB_SEQ_KEY, seq, 0, 0 } };
	struct kv_txn t = { .conditions = expect,
			    .condition_count = 2,
			    .sets = sets,
			    .set_count = 2 };
	const struct settings_address *a = &o->node->settings->jobs.peers;
	unsigned long long epoch = 0;

	if (o->state != OWNER_CLAIMING)
		return;
	if (r->outcome == KV_OK && r->count) {
		expect[1].revision = r->items[0].revision;
		if (sscanf(r->items[0].value, "%llu", &epoch) != 1)
			log_event(LOG_ERROR, "seq-malformed", "revision=%llu",
				  (unsigned long long)r->items[0].revision);
	} else if (r->outcome != KV_NOT_FOUND) {
		election_failed(o, "store");
		return;
	}
	o->epoch = epoch + 1;
	sets[0].len =
		(size_t)snprintf(value, sizeof(value), "%s:%u %s", a->host,
				 a->port, o->node->settings->node.id);
	sets[1].len = (size_t)snprintf(seq, sizeof(seq), "%llu 0",
				       (unsigned long long)o->epoch);
	o->node->kv->ops->txn(o->node->kv, &t, on_elected, o);
}

static void on_lease(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;

	if (o->state != OWNER_CLAIMING)
		return;
	if (r->outcome != KV_OK || !r->lease) {
		election_failed(o, "store");
		return;
	}
	o->lease = r->lease;
	o->kept_us = o->keep_sent_us;
	o->node->kv->ops->get(o->node->kv, JOB_SEQ_KEY, on_seq, o);
}

static void begin_election(struct job_owner *o)
{
	o->state = OWNER_CLAIMING;
	o->lease = 0;
	o->keep_sent_us = clock_now_us();
	o->node->kv->ops->lease_grant(o->node->kv, LEASE_TTL_MS, on_lease, o);
}

/* ---- lease ---- */

static void on_kept(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;
	uint64_t pause = LEASE_KEEP_US;

	o->keeping = false;
	if (o->state < OWNER_LOADING)
		return;
	if (r->outcome == KV_OK) {
		o->kept_us = o->keep_sent_us;
	} else if (r->outcome == KV_NOT_FOUND) {
		log_event(LOG_WARNING, "owner-lease-ended", "age_ms=%llu",
			  (unsigned long long)(clock_now_us() - o->kept_us) /
				  1000);
		job_owner_deposed(o);
		return;
	} else {
		pause = LEASE_RETRY_US;
	}
	o->next_keep_us = clock_now_us() + pause;
}

static void keep_lease(struct job_owner *o)
{
	o->keeping = true;
	o->keep_sent_us = clock_now_us();
	o->node->kv->ops->lease_renew(o->node->kv, o->lease, on_kept, o);
}

bool job_owner_valid(const struct job_owner *o, uint64_t now_us)
{
	return o->state == OWNER_ACTING &&
	       now_us < o->kept_us + LEASE_TTL_MS * 1000u - LEASE_MARGIN_US;
}

bool job_owner_may_renew(const struct job_owner *o, uint64_t now_us)
{
	return o->state == OWNER_ACTING &&
	       now_us < o->kept_us + (LEASE_TTL_MS + RENEW_AFTER_MS) * 1000u;
}

uint64_t job_owner_token(const struct job_owner *o)
{
	return o->epoch;
}

/* ---- life ---- */

struct sched *job_owner_sched(struct job_owner *o)
{
	return o->state == OWNER_ACTING ? o->sched : NULL;
}

/*
 * Takes effect at the next tick, because the caller may be a callback of what
 * has to be destroyed then.
 */
void job_owner_deposed(struct job_owner *o)
{
	if (o->state == OWNER_FOLLOWER)
		return;
	o->deposed = true;
	job_owner_kick(o);
}

static void step_down(struct job_owner *o)
{
	log_event(LOG_INFO, "owner-stepped-down", "epoch=%llu resigned=%d",
		  (unsigned long long)o->epoch, o->resigned);
	o->deposed = false;
	o->state = OWNER_FOLLOWER;
	o->revision = 0;
	o->next_try_us = clock_now_us() + ELECTION_PAUSE_US;
	/* A successor need not wait for the lease to lapse. */
	if (o->lease)
		o->node->kv->ops->lease_revoke(o->node->kv, o->lease,
					       ignore_reply, NULL);
	o->lease = 0;
	job_owner_unload(o);
}

void job_owner_resign(struct job_owner *o)
{
	o->resigned = true;
	job_owner_kick(o);
}

void job_owner_config(struct job_owner *o)
{
	if (o->sched)
		job_owner_apply_config(o);
}

/*
 * The owner works for all, so a VM with more processors should own; each of
 * its transactions crosses to the store, so of those the nearest.
 */
static uint64_t election_delay(const struct job_owner *o)
{
	uint64_t delay =
		kv_follow_range_latency_us(o->follow) * ELECTION_DELAY_FACTOR;

	uint32_t cpu = o->node->settings->node.cpu_milli;
	uint64_t small = cpu < OWNER_CPU_MILLI
				 ? (OWNER_CPU_MILLI - cpu) * ELECTION_CPU_US
				 : 0;

	return o->delay_us + small +
	       (delay > ELECTION_DELAY_MAX_US ? ELECTION_DELAY_MAX_US : delay);
}

/*
 * Whether the owner that the store names is an earlier process of this VM: as
 * this one listens on its address, that one has ended.
 */
static bool owned_by_former_self(const struct job_owner *o)
{
	const struct settings_address *a = &o->node->settings->jobs.peers;

	return o->known && o->address.port == a->port &&
	       !strcmp(o->address.host, a->host);
}

static bool may_claim(const struct job_owner *o, uint64_t now)
{
	if (o->state != OWNER_FOLLOWER || o->resigned || !o->node->config ||
	    !kv_follow_synced(o->follow) || now < o->next_try_us)
		return false;
	return o->known ? owned_by_former_self(o)
			: now >= o->gone_us + election_delay(o);
}

static void tick(struct job_owner *o)
{
	uint64_t now = clock_now_us();

	if (may_claim(o, now)) {
		o->replaced = o->known ? o->known_revision : 0;
		begin_election(o);
	}
	if (o->state >= OWNER_LOADING && !o->keeping && now >= o->next_keep_us)
		keep_lease(o);
	if (o->deposed ||
	    (o->resigned && o->state != OWNER_FOLLOWER && !o->commit))
		step_down(o);
	if (o->state == OWNER_ACTING)
		job_owner_act(o, now);
}

static void on_kick(evutil_socket_t fd, short what, void *arg)
{
	struct job_owner *o = arg;

	(void)fd;
	(void)what;
	o->kicked = false;
	tick(o);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job_owner *o = arg;

	(void)fd;
	(void)what;
	tick(o);
}

void job_owner_kick(struct job_owner *o)
{
	static const struct timeval soon = { 0, KICK_US };

	if (o->kicked)
		return;
	o->kicked = true;
	evtimer_add(o->kick, &soon);
}

struct job_owner *job_owner_create(struct job_node *n)
{
	static const struct timeval interval = { 0, TICK_US };
	struct job_owner *o = xcalloc(1, sizeof(*o));

	o->node = n;
	o->elections = counter_get(COUNTER, "waxwing_elections_total", NULL);
	o->commits = counter_get(COUNTER, "waxwing_job_commits_total", NULL);
	o->gone_us = clock_now_us();
	o->delay_us = rng_below(&n->rng, ELECTION_SPREAD_US);
	o->kick = evtimer_new(n->base, on_kick, o);
	o->timer = event_new(n->base, -1, EV_PERSIST, on_timer, o);
	event_add(o->timer, &interval);
	o->follow = kv_follow_create(n->base, n->kv, JOB_OWNER_PREFIX,
				     OWNER_WATCH_MS, 0, &owner_follow_ops, o);
	return o;
}

void job_owner_destroy(struct job_owner *o)
{
	if (!o)
		return;
	job_owner_unload(o);
	job_owner_drop_calls(o);
	kv_follow_free(o->follow);
	event_free(o->kick);
	event_free(o->timer);
	free(o);
}
