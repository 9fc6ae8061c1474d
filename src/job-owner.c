#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-evacuation.h"
#include "job-node.h"
#include "job-owner-internal.h"
#include "kv-follow.h"
#include "log.h"

static void start_election(struct job_owner *o);
static void renew_lease(struct job_owner *o);

/* ---- watch of the owner key ---- */

static void on_owner_begin(void *arg)
{
	struct job_owner *o = arg;

	o->owner_unseen = true;
	o->silent_unseen = true;
	o->full_unseen = true;
}

static void on_owner_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	unsigned port, relay_port = 0;

	job_owner_saw_revision(o, item->revision);
	if (!strcmp(item->key, JOB_LOAD_KEY))
		job_owner_summary_item(o, item);
	if (!strcmp(item->key, JOB_SILENT_KEY)) {
		o->silent_unseen = false;
		job_owner_silent_item(o, item);
	}
	if (!strcmp(item->key, JOB_FULL_KEY))
		job_owner_full_item(o, item);
	if (strcmp(item->key, JOB_OWNER_KEY))
		return;
	o->owner_unseen = false;
	if (item->deleted) {
		o->owner_known = false;
		o->owner_absent_since_us = clock_now_us();
		if (o->ownership_revision &&
		    item->revision > o->ownership_revision)
			job_owner_ownership_lost(o);
		return;
	}
	o->owner_known = sscanf(item->value, "%47[^:]:%u %*s %u",
				o->owner_address.host, &port, &relay_port) >= 2;
	o->owner_address.port = (uint16_t)port;
	o->owner_relay_port = (uint16_t)relay_port;
	o->owner_key_revision = item->revision;
	job_relay_owner_changed(o->node->relay);
	if (o->state >= OWNER_LOADING &&
	    item->revision > o->ownership_revision && o->ownership_revision) {
		log_event(LOG_WARNING, "owner-replaced", "owner=%s:%u",
			  o->owner_address.host, port);
		job_owner_ownership_lost(o);
	}
}

static void on_owner_end(void *arg)
{
	struct job_owner *o = arg;

	if (o->silent_unseen)
		silent_notes_clear(&o->silent);
	if (o->full_unseen)
		o->full = false;
	/* The ownership of this VM's former process may be about to lapse. */
	job_owner_schedule_tick(o);
	if (!o->owner_unseen)
		return;
	if (o->owner_known)
		o->owner_absent_since_us = clock_now_us();
	o->owner_known = false;
}

static const struct kv_follow_ops owner_follow_ops = {
	.begin = on_owner_begin,
	.item = on_owner_item,
	.end = on_owner_end,
};

bool job_owner_address(const struct job_owner *o, struct settings_address *out)
{
	*out = o->owner_address;
	return o->owner_known;
}

bool job_owner_relay_address(const struct job_owner *o,
			     struct settings_address *out)
{
	*out = o->owner_address;
	out->port = o->owner_relay_port;
	return o->owner_known && o->owner_relay_port &&
	       o->state == OWNER_FOLLOWER;
}

/* ---- election ---- */

static void election_failed(struct job_owner *o, const char *reason)
{
	log_event(LOG_INFO, "election-lost", "reason=%s", reason);
	if (o->lease_id)
		o->node->kv->ops->lease_revoke(o->node->kv, o->lease_id,
					       ignore_reply, NULL);
	o->lease_id = 0;
	o->state = OWNER_FOLLOWER;
	o->next_election_us = clock_now_us() + ELECTION_RETRY_US;
}

static void on_elected(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;

	if (o->state != OWNER_CANDIDATE)
		return;
	if (r->outcome != KV_OK) {
		election_failed(o, r->outcome == KV_CONFLICT ? "conflict"
							     : "store");
		if (r->outcome == KV_CONFLICT)
			kv_follow_refresh(o->owner_follow);
		return;
	}
	o->ownership_revision = r->revision;
	o->seq_revision = r->revision;
	o->txn_count = 0;
	counter_add(o->elections, 1);
	log_event(LOG_INFO, "owner-elected", "epoch=%llu revision=%llu",
		  (unsigned long long)o->epoch,
		  (unsigned long long)o->ownership_revision);
	job_owner_load(o);
	o->renewals = 0;
	renew_lease(o);
}

/* Each transaction of a predecessor changes the sequence, which is expected. */
static void claim_ownership(struct job_owner *o)
{
	char value[SETTINGS_TEXT_BYTES + 96], seq[48];
	struct buffer record = BUFFER_INIT;
	struct kv_condition expect[2] = {
		{ JOB_OWNER_KEY, o->claim_expected_revision },
		{ JOB_SEQ_KEY, o->seq_expected_revision },
	};
	struct kv_set sets[3] = { { JOB_OWNER_KEY, value, 0, o->lease_id },
				  { JOB_SEQ_KEY, seq, 0, 0 },
				  { JOB_SILENT_KEY, NULL, 0, 0 } };
	struct kv_txn t = { .conditions = expect,
			    .condition_count = 2,
			    .sets = sets,
			    .set_count = 3 };
	const struct settings_address *a = &o->node->settings->jobs.peers;

	sets[0].len =
		(size_t)snprintf(value, sizeof(value), "%s:%u %s %u", a->host,
				 a->port, o->node->settings->node.id,
				 o->node->settings->jobs.relays.port);
	sets[1].len = (size_t)snprintf(seq, sizeof(seq), "%llu 0",
				       (unsigned long long)o->epoch);
	job_owner_silent_inherit(o, &record);
	sets[2].value = record.data;
	sets[2].len = record.len;
	o->node->kv->ops->txn(o->node->kv, &t, on_elected, o);
	buffer_free(&record);
}

static void on_silent_read(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;

	if (o->state != OWNER_CANDIDATE)
		return;
	if (r->outcome != KV_OK && r->outcome != KV_NOT_FOUND) {
		election_failed(o, "store");
		return;
	}
	/* A lower revision is that of a store that was set up anew. */
	if (r->outcome != KV_OK || !r->count ||
	    r->items[0].revision < o->silent.revision)
		silent_notes_clear(&o->silent);
	if (r->outcome == KV_OK && r->count)
		job_owner_silent_item(o, &r->items[0]);
	claim_ownership(o);
}

static void on_seq_read(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;
	unsigned long long epoch = 0;

	if (o->state != OWNER_CANDIDATE)
		return;
	o->seq_expected_revision = 0;
	if (r->outcome == KV_OK && r->count) {
		o->seq_expected_revision = r->items[0].revision;
		if (sscanf(r->items[0].value, "%llu", &epoch) != 1)
			log_event(LOG_ERROR, "seq-malformed", "revision=%llu",
				  (unsigned long long)r->items[0].revision);
	} else if (r->outcome != KV_NOT_FOUND) {
		election_failed(o, "store");
		return;
	}
	o->epoch = epoch + 1;
	o->node->kv->ops->get(o->node->kv, JOB_SILENT_KEY, on_silent_read, o);
}

static void on_lease_granted(void *arg, const struct kv_reply *r)
{
	struct job_owner *o = arg;

	if (o->state != OWNER_CANDIDATE)
		return;
	if (r->outcome != KV_OK || !r->lease) {
		election_failed(o, "store");
		return;
	}
	o->lease_id = r->lease;
	o->renewed_us = o->claim_sent_us;
	o->node->kv->ops->get(o->node->kv, JOB_SEQ_KEY, on_seq_read, o);
}

static void start_election(struct job_owner *o)
{
	o->state = OWNER_CANDIDATE;
	o->lease_id = 0;
	o->claim_sent_us = clock_now_us();
	o->node->kv->ops->lease_grant(o->node->kv, OWNER_LEASE_TTL_MS,
				      on_lease_granted, o);
}

/* ---- lease ---- */

static void on_lease_renewed(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load_generation == o->load_generation &&
		       o->state >= OWNER_LOADING;
	uint64_t sent_us = c->sent_us;

	owner_store_call_end(c);
	if (!current)
		return;
	o->renewals--;
	if (r->outcome == KV_OK) {
		if (sent_us > o->renewed_us)
			o->renewed_us = sent_us;
		o->next_renew_us = clock_now_us() + OWNER_LEASE_RENEW_US;
	} else if (r->outcome == KV_NOT_FOUND) {
		log_event(LOG_WARNING, "owner-lease-ended", "age_ms=%llu",
			  (unsigned long long)(clock_now_us() - o->renewed_us) /
				  1000);
		job_owner_ownership_lost(o);
	} else if (r->outcome != KV_UNKNOWN) {
		o->next_renew_us = clock_now_us() + OWNER_LEASE_RETRY_US;
	}
}

/* Without an answer the lease is renewed again, on another connection. */
static void renew_lease(struct job_owner *o)
{
	struct owner_store_call *c = owner_store_call_begin(o);

	c->sent_us = clock_now_us();
	o->renewals++;
	o->next_renew_us = c->sent_us + OWNER_LEASE_REPEAT_US;
	o->node->kv->ops->lease_renew(o->node->kv, o->lease_id,
				      on_lease_renewed, c);
}

uint64_t job_owner_lease_end_us(const struct job_owner *o)
{
	uint64_t end_us = o->renewed_us + OWNER_LEASE_TTL_MS * 1000u -
			  OWNER_LEASE_CLOCK_MARGIN_US;
	uint64_t grant_end_us = job_owner_renewal_end_us(o);
	uint64_t starts_end_us =
		job_evacuation_starts_end_us(o->node->evacuation);

	/* A start grants a lease, too. */
	if (grant_end_us < end_us)
		end_us = grant_end_us;
	return starts_end_us < end_us ? starts_end_us : end_us;
}

uint64_t job_owner_renewal_end_us(const struct job_owner *o)
{
	return o->state == OWNER_ACTIVE && !o->handover_us ? o->grant_end_us
							   : 0;
}

uint64_t job_owner_orders_end_us(const struct job_owner *o)
{
	return o->state == OWNER_ACTIVE && !o->handover_us
		       ? o->renewed_us +
				 (OWNER_LEASE_TTL_MS + ORDERS_GRACE_MS) * 1000u
		       : 0;
}

uint64_t job_owner_fencing_token(const struct job_owner *o)
{
	return o->epoch;
}

/* ---- life cycle ---- */

struct sched *job_owner_sched(struct job_owner *o)
{
	return o->state == OWNER_ACTIVE ? o->sched : NULL;
}

/*
 * Steps down at the next tick, because the caller may be a callback of an
 * object that stepping down destroys.
 */
void job_owner_ownership_lost(struct job_owner *o)
{
	if (o->state == OWNER_FOLLOWER)
		return;
	o->ownership_lost = true;
	job_owner_schedule_tick(o);
}

static void step_down(struct job_owner *o)
{
	log_event(LOG_INFO, "owner-stepped-down", "epoch=%llu resigned=%d",
		  (unsigned long long)o->epoch, o->resigned);
	o->ownership_lost = false;
	o->state = OWNER_FOLLOWER;
	o->ownership_revision = 0;
	o->next_election_us = clock_now_us() + ELECTION_RETRY_US;
	/* A successor doesn't have to wait until the lease expires. */
	if (o->lease_id)
		o->node->kv->ops->lease_revoke(o->node->kv, o->lease_id,
					       ignore_reply, NULL);
	o->lease_id = 0;
	job_owner_unload(o);
	/* The poll under way may have been lost in an outage of the store. */
	if (!o->resigned)
		kv_follow_refresh(o->owner_follow);
}

void job_owner_resign(struct job_owner *o)
{
	o->resigned = true;
	job_owner_schedule_tick(o);
}

void job_owner_config_changed(struct job_owner *o)
{
	if (o->sched)
		job_owner_apply_config(o);
	/* The first one allows a candidacy. */
	job_owner_schedule_tick(o);
}

void job_owner_evacuation_changed(struct job_owner *o)
{
	if (!o->sched)
		return;
	job_evacuation_apply(o->node->evacuation, o->sched);
	job_owner_schedule_tick(o);
}

/*
 * Prefers VMs with enough CPU, as the owner schedules for all, and of those the
 * ones nearest to the store, as each transaction takes a round trip to it.
 */
static uint64_t election_delay(const struct job_owner *o)
{
	uint64_t rtt_delay = kv_follow_range_latency_us(o->owner_follow) *
			     ELECTION_RTT_FACTOR;

	uint32_t cpu_milli = o->node->settings->node.cpu_milli;
	uint64_t cpu_delay = cpu_milli < OWNER_CPU_MIN_MILLI
				     ? (OWNER_CPU_MIN_MILLI - cpu_milli) *
					       ELECTION_DELAY_PER_MILLI_US
				     : 0;

	return o->election_jitter_us + cpu_delay +
	       (rtt_delay > ELECTION_RTT_DELAY_MAX_US
			? ELECTION_RTT_DELAY_MAX_US
			: rtt_delay);
}

/*
 * Whether the owner named in the store is a previous process of this VM. It has
 * exited, as this process listens on its address.
 */
static bool owned_by_previous_process(const struct job_owner *o)
{
	const struct settings_address *a = &o->node->settings->jobs.peers;

	return o->owner_known && o->owner_address.port == a->port &&
	       !strcmp(o->owner_address.host, a->host);
}

static bool may_start_election(const struct job_owner *o, uint64_t now)
{
	if (o->state != OWNER_FOLLOWER || o->resigned || !o->node->config ||
	    !kv_follow_synced(o->owner_follow) || now < o->next_election_us)
		return false;
	return o->owner_known
		       ? owned_by_previous_process(o)
		       : now >= o->owner_absent_since_us + election_delay(o);
}

/*
 * While the store may be away the owner goes on renewing leases: without them
 * the tasks would end before it is back. An owner that has granted none yet
 * leaves the record that it has carried over.
 */
static bool may_hand_over(const struct job_owner *o, uint64_t now)
{
	return o->resigned && o->state == OWNER_ACTIVE && !o->commit &&
	       !o->handover_us && o->grant_end_us && !o->ownership_lost &&
	       now < o->renewed_us + SILENT_STORE_AGE_MAX_US;
}

static bool has_handed_over(const struct job_owner *o, uint64_t now)
{
	return o->resigned && o->state != OWNER_FOLLOWER &&
	       (!o->commit ||
		(o->handover_us && now >= o->handover_us + HANDOVER_MAX_US));
}

static void tick(struct job_owner *o)
{
	uint64_t now = clock_now_us();

	if (may_start_election(o, now)) {
		o->claim_expected_revision =
			o->owner_known ? o->owner_key_revision : 0;
		o->claimed_us = now;
		start_election(o);
	}
	if (o->state >= OWNER_LOADING && now >= o->next_renew_us &&
	    o->renewals < OWNER_LEASE_RENEWALS_MAX)
		renew_lease(o);
	if (may_hand_over(o, now))
		job_owner_begin_handover(o, now);
	if (o->ownership_lost || has_handed_over(o, now))
		step_down(o);
	if (o->state == OWNER_LOADING && o->deferred_load)
		job_owner_read_deferred(o);
	if (o->state == OWNER_ACTIVE)
		job_owner_process(o, now);
}

static void on_tick_event(evutil_socket_t fd, short what, void *arg)
{
	struct job_owner *o = arg;

	(void)fd;
	(void)what;
	o->tick_scheduled = false;
	tick(o);
}

static void on_tick_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job_owner *o = arg;

	(void)fd;
	(void)what;
	tick(o);
}

static void on_repeat_timer(evutil_socket_t fd, short what, void *arg)
{
	struct job_owner *o = arg;

	(void)fd;
	(void)what;
	o->commit_repeat = true;
	tick(o);
}

void job_owner_schedule_tick(struct job_owner *o)
{
	static const struct timeval delay = { 0, TICK_DELAY_US };

	if (o->tick_scheduled)
		return;
	o->tick_scheduled = true;
	evtimer_add(o->tick_event, &delay);
}

struct job_owner *job_owner_create(struct job_node *n)
{
	static const struct timeval interval = { 0, TICK_US };
	struct job_owner *o = xcalloc(1, sizeof(*o));

	o->node = n;
	o->elections = counter_get(COUNTER, "waxwing_elections_total", NULL);
	o->commits_rejected = counter_get(
		COUNTER, "waxwing_job_commits_rejected_total", NULL);
	o->jobs_set_aside =
		counter_get(COUNTER, "waxwing_jobs_set_aside_total", NULL);
	o->commits = counter_get(COUNTER, "waxwing_job_commits_total", NULL);
	o->owner_absent_since_us = clock_now_us();
	o->election_jitter_us = rng_below(&n->rng, ELECTION_JITTER_US);
	o->tick_event = evtimer_new(n->base, on_tick_event, o);
	o->tick_timer = event_new(n->base, -1, EV_PERSIST, on_tick_timer, o);
	event_add(o->tick_timer, &interval);
	o->repeat_timer = evtimer_new(n->base, on_repeat_timer, o);
	o->owner_follow =
		kv_follow_create(n->base, n->kv, JOB_OWNER_PREFIX,
				 OWNER_WATCH_MS, 0, &owner_follow_ops, o);
	return o;
}

void job_owner_destroy(struct job_owner *o)
{
	if (!o)
		return;
	job_owner_unload(o);
	job_owner_drop_calls(o);
	kv_follow_free(o->owner_follow);
	silent_notes_clear(&o->silent);
	silent_notes_clear(&o->inherited);
	event_free(o->tick_event);
	event_free(o->tick_timer);
	event_free(o->repeat_timer);
	free(o);
}
