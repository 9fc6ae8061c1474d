#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-workers-internal.h"
#include "log.h"
#include "worker-path.h"

/* Minimum time between polls of a worker; batches its run ends. */
#define POLL_INTERVAL_US 20000u
/* A poll that neither renews a lease nor acknowledges ends is sent until. */
#define PLAIN_POLL_VALID_US 1000000u
/* Interval at which due polls are sent, as a report follows each tick. */
#define SCAN_INTERVAL_US 5000u
/* Polls again after this time even if the last run ends aren't stored yet. */
#define ACK_TIMEOUT_US 700000u
#define UNRESPONSIVE_RETRY_US 300000u
/*
 * A poll ends this long before the time until which leases may be granted, so
 * that the next one renews the lease once more.
 */
#define LAST_POLL_MS 250u
/*
 * Longest delay of a report while the worker's leases may not be renewed, or
 * starts may wait for it.
 */
#define WITHHELD_WAIT_MS 100u
/* The same while no lease may be granted, as in an outage of the store. */
#define UNGRANTED_WAIT_MS 500u
/* A worker that refused a poll answers; it is polled again after this time. */
#define REFUSED_RETRY_US 100000u
/* Responses on different connections overtake each other by less than this. */
#define CLOCK_BACK_MS 5000u
/* An unlisted, unresponsive worker is polled for this long. */
#define UNLISTED_POLL_US 30000000u

struct job_workers *job_workers_create(struct job_node *n, struct sched *s)
{
	struct job_workers *w = xcalloc(1, sizeof(*w));

	w->node = n;
	w->sched = s;
	w->polls = counter_get(COUNTER, "waxwing_worker_looks_total", NULL);
	w->orders = counter_get(COUNTER, "waxwing_worker_orders_total", NULL);
	w->lost_responses =
		counter_get(COUNTER, "waxwing_worker_lost_total", NULL);
	return w;
}

static void free_link(struct worker_link *l)
{
	worker_path_free(l->path);
	worker_orders_free(worker_orders_detach(l));
	free(l);
}

void job_workers_destroy(struct job_workers *w)
{
	if (!w)
		return;
	for (uint32_t i = 0; i < w->count; i++)
		if (w->links[i])
			free_link(w->links[i]);
	worker_orders_release_text(w->last_text);
	free(w->links);
	free(w->idle_until_us);
	free(w);
}

struct worker_link *worker_link_find(struct job_workers *w, uint32_t worker)
{
	return worker < w->count ? w->links[worker] : NULL;
}

static struct worker_link *add_link(struct job_workers *w, uint32_t worker,
				    const struct job_worker_entry *e)
{
	struct worker_link *l = xcalloc(1, sizeof(*l));

	if (worker >= w->count) {
		w->links = xrealloc(w->links, (worker + 1) * sizeof(*w->links));
		memset(&w->links[w->count], 0,
		       (worker + 1 - w->count) * sizeof(*w->links));
		w->idle_until_us =
			xrealloc(w->idle_until_us,
				 (worker + 1) * sizeof(*w->idle_until_us));
		memset(&w->idle_until_us[w->count], 0,
		       (worker + 1 - w->count) * sizeof(*w->idle_until_us));
		w->count = worker + 1;
	}
	w->links[worker] = l;
	w->idle_until_us[worker] = 0;
	l->workers = w;
	l->worker = worker;
	worker_orders_init(l);
	l->verify_incarnation = true;
	l->address = e->address;
	snprintf(l->id, sizeof(l->id), "%s", e->id);
	l->path = worker_path_create(w->node->relay_hub, worker, e->id, e->zone,
				     &e->address);
	return l;
}

bool job_workers_confirm_entry(struct job_workers *w, const char *id,
			       uint64_t fingerprint)
{
	struct worker_link *l =
		worker_link_find(w, sched_find_worker(w->sched, id));

	/* A report of another incarnation may have come after the entry. */
	if (!fingerprint || !l || !l->listed ||
	    l->entry_fingerprint != fingerprint ||
	    l->entry_started_wall_ms != l->started_wall_ms)
		return false;
	l->resync_unseen = false;
	sched_worker_confirmed(w->sched);
	return true;
}

static uint16_t address_tag(const struct settings_address *a)
{
	uint64_t hash = XXH64(a->host, strlen(a->host), a->port);

	return (uint16_t)(1 + hash % UINT16_MAX);
}

void job_workers_update_entry(struct job_workers *w,
			      const struct job_worker_entry *e,
			      uint64_t fingerprint)
{
	struct sched_worker_info info = e->info;
	struct queued_order *orders = NULL;
	struct worker_link *l;
	uint32_t worker;

	info.address_tag = address_tag(&e->address);
	/* Zones return from evacuations with all their workers cold. */
	info.cold = info.cold && w->node->settings->jobs.evacuation_bound_us;
	worker = sched_update_worker(w->sched, &info);
	l = worker_link_find(w, worker);

	if (l && memcmp(&l->address, &e->address, sizeof(e->address))) {
		orders = worker_orders_detach(l);
		free_link(l);
		w->links[worker] = NULL;
		l = NULL;
	}
	if (!l)
		l = add_link(w, worker, e);
	l->listed = true;
	l->resync_unseen = false;
	if (e->info.started_wall_ms > l->started_wall_ms) {
		l->started_wall_ms = e->info.started_wall_ms;
		l->verify_incarnation = true;
		l->next_poll_us = 0;
		w->idle_until_us[worker] = 0;
		l->clock_ms = 0;
	}
	l->entry_fingerprint = fingerprint;
	l->entry_started_wall_ms = e->info.started_wall_ms;
	worker_orders_end(w, orders);
}

void job_workers_mark_unlisted(struct job_workers *w, const char *id)
{
	uint32_t worker = sched_find_worker(w->sched, id);
	struct worker_link *l = worker_link_find(w, worker);

	if (worker == SCHED_NONE)
		return;
	if (l)
		l->listed = false;
	sched_worker_unlisted(w->sched, worker, clock_now_us());
}

void job_workers_resync(struct job_workers *w, bool begin)
{
	for (uint32_t i = 0; i < w->count; i++) {
		if (!w->links[i])
			continue;
		if (begin)
			w->links[i]->resync_unseen = true;
		else if (w->links[i]->resync_unseen)
			job_workers_mark_unlisted(w, w->links[i]->id);
	}
}

uint64_t worker_lease_until(const struct worker_link *l, uint64_t now)
{
	return l->clock_ms + (now - l->clock_us) / 1000 +
	       l->workers->node->settings->jobs.lease_max_us / 1000;
}

static void update_clock(struct worker_link *l, const struct worker_response *a)
{
	if (!a->clock_ms)
		return;
	l->clock_ms = a->clock_ms;
	l->clock_us = clock_now_us();
}

/*
 * A restart sets the worker's clock back; nothing else in the answer to an
 * order tells of it.
 */
static bool clock_went_back(const struct worker_link *l,
			    const struct worker_response *a)
{
	return a->clock_ms && a->clock_ms + CLOCK_BACK_MS < l->clock_ms;
}

bool worker_handle_response(struct worker_link *l,
			    const struct worker_response *a)
{
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();

	switch (a->outcome) {
	case WORKER_RESPONDED:
		if (clock_went_back(l, a))
			l->verify_incarnation = true;
		update_clock(l, a);
		l->starts_unanswered = 0;
		return true;
	case WORKER_FENCED:
		log_event(LOG_WARNING, "owner-fenced", "worker=%s token=%llu",
			  l->id,
			  (unsigned long long)job_owner_fencing_token(
				  w->node->owner));
		job_owner_ownership_lost(w->node->owner);
		return false;
	case WORKER_OTHER_INCARNATION:
		sched_worker_dead(w->sched, l->worker, now);
		break;
	case WORKER_PATH_LOST:
		break;
	default:
		counter_add(w->lost_responses, 1);
		break;
	}
	l->verify_incarnation = true;
	return false;
}

/* ---- polls ---- */

/*
 * The first poll without a response is repeated without delay, as it takes
 * another path. The loss of a relay says nothing about the worker.
 */
static void handle_no_report(struct worker_link *l,
			     const struct worker_response *a, uint64_t now)
{
	l->poll_refused = worker_poll_refused(a);
	if (a->outcome == WORKER_PATH_LOST)
		return;
	if (l->poll_refused) {
		l->next_poll_us = now + REFUSED_RETRY_US;
		l->starts_unanswered = 0;
	} else if (l->unresponsive_since_us) {
		l->next_poll_us = now + UNRESPONSIVE_RETRY_US;
	}
	if (!l->unresponsive_since_us)
		l->unresponsive_since_us = now;
	sched_worker_unresponsive(l->workers->sched, l->worker, now);
}

static void on_report(void *arg, const struct worker_response *a)
{
	struct worker_link *l = arg;
	struct job_workers *w = l->workers;
	uint64_t now = clock_now_us();
	struct sched_report r = a->report;

	l->polling = false;
	l->next_poll_us = now + POLL_INTERVAL_US;
	w->idle_until_us[l->worker] = 0;
	if (!worker_handle_response(l, a)) {
		handle_no_report(l, a, now);
		return;
	}
	l->unresponsive_since_us = 0;
	l->poll_refused = false;
	r.requested_us = l->poll_sent_us;
	if (!sched_report(w->sched, l->worker, &r, now,
			  clock_wall_us() / 1000)) {
		l->verify_incarnation = true;
		l->clock_ms = 0;
		return;
	}
	l->reported_us = l->poll_sent_us;
	if (r.started_wall_ms && r.started_wall_ms != l->started_wall_ms)
		l->started_wall_ms = r.started_wall_ms;
	l->verify_incarnation = false;
	l->last_end_seq = 0;
	if (r.ended_count) {
		l->last_end_seq = r.ended[r.ended_count - 1].seq;
		l->ack_deadline_us = now + ACK_TIMEOUT_US;
	}
	job_owner_schedule_tick(w->node->owner);
	worker_orders_send(l);
}

/*
 * A silent worker's leases must end. They are renewed at one that refuses polls
 * while its tasks can still run, as the refused poll had no effect.
 */
static bool may_renew_lease(const struct worker_link *l, uint64_t now)
{
	const struct job_node *n = l->workers->node;

	if (!l->clock_ms || now >= job_owner_renewal_end_us(n->owner) ||
	    sched_lease_withheld(l->workers->sched, l->worker))
		return false;
	return !l->verify_incarnation ||
	       (l->poll_refused &&
		now < l->reported_us + n->settings->jobs.lease_max_us);
}

static uint32_t poll_wait_ms(const struct worker_link *l, uint64_t now)
{
	const struct job_workers *w = l->workers;
	uint64_t end_us = job_owner_renewal_end_us(w->node->owner);
	uint64_t left_ms = end_us > now ? (end_us - now) / 1000 : 0;
	uint32_t wait_ms = sched_report_wait_ms(w->sched, l->worker);

	if ((!end_us || l->starts_unanswered ||
	     sched_lease_withheld(w->sched, l->worker)) &&
	    wait_ms > WITHHELD_WAIT_MS)
		return WITHHELD_WAIT_MS;
	if (!left_ms && wait_ms > UNGRANTED_WAIT_MS)
		return UNGRANTED_WAIT_MS;
	if (left_ms > 2 * LAST_POLL_MS && wait_ms > left_ms - LAST_POLL_MS)
		return (uint32_t)left_ms - LAST_POLL_MS;
	return wait_ms;
}

static void send_poll(struct worker_link *l, uint64_t now)
{
	struct job_workers *w = l->workers;
	struct job_owner *owner = w->node->owner;
	struct worker_poll q = { .fencing_token =
					 job_owner_fencing_token(owner) };
	uint64_t deadline_us = now + PLAIN_POLL_VALID_US;

	if (may_renew_lease(l, now)) {
		q.lease_until_ms = worker_lease_until(l, now);
		deadline_us = job_owner_renewal_end_us(owner);
		sched_lease_granted(w->sched, l->worker, now);
	}
	if (!l->verify_incarnation) {
		q.acknowledged_seq =
			sched_acknowledged_seq(w->sched, l->worker);
		q.wait_ms = poll_wait_ms(l, now);
	}
	l->poll_sent_us = now;
	l->polling = true;
	counter_add(w->polls, 1);
	worker_path_poll(l->path, &q, deadline_us, on_report, l);
}

/* The time until which leases may be granted is about to end. */
static bool last_poll_due(const struct worker_link *l, uint64_t now)
{
	uint64_t end_us = job_owner_renewal_end_us(l->workers->node->owner);

	return now < end_us && now + LAST_POLL_MS * 1000u >= end_us &&
	       l->poll_sent_us + LAST_POLL_MS * 1000u < end_us;
}

static bool poll_due(const struct worker_link *l, uint64_t now)
{
	if (l->polling || now < l->next_poll_us)
		return false;
	if (last_poll_due(l, now))
		return true;
	/* The worker responds immediately while it has unacknowledged ends. */
	return l->verify_incarnation || !l->last_end_seq ||
	       now >= l->ack_deadline_us ||
	       sched_acknowledged_seq(l->workers->sched, l->worker) >=
		       l->last_end_seq;
}

static uint64_t idle_until_us(const struct worker_link *l)
{
	if (l->queue_head)
		return 0;
	return l->polling ? UINT64_MAX : l->next_poll_us;
}

void job_workers_tick(struct job_workers *w, uint64_t now)
{
	if (now < w->next_scan_us)
		return;
	w->next_scan_us = now + SCAN_INTERVAL_US;
	for (uint32_t i = 0; i < w->count; i++) {
		struct worker_link *l = w->links[i];

		if (now < w->idle_until_us[i] || !l)
			continue;
		if (!l->listed && l->unresponsive_since_us &&
		    now > l->unresponsive_since_us + UNLISTED_POLL_US)
			continue;
		if (poll_due(l, now) && worker_path_usable(l->path, now))
			send_poll(l, now);
		worker_orders_send(l);
		w->idle_until_us[i] = idle_until_us(l);
	}
}
