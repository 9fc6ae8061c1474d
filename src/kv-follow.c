#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backoff.h"
#include "buffer.h"
#include "clock.h"
#include "kv-follow.h"
#include "log.h"

#define RETRY_MIN_US 50000u
#define RETRY_MAX_US 400000u
/*
 * A response with so many events is not worth a delay to batch more, and a
 * response carries a limited number: more may be waiting already.
 */
#define BATCH_EVENTS_MAX 250u

struct kv_follow {
	struct kv *kv;
	struct kv_watch *watch;
	struct event *retry; /* sends the next request */
	const struct kv_follow_ops *ops;
	void *arg;
	char prefix[KV_KEY_BYTES];
	char page_after[KV_KEY_BYTES]; /* last key of the previous page */
	uint32_t wait_ms;
	uint32_t batch_delay_ms;
	uint64_t revision;	 /* state is known up to here */
	uint64_t range_revision; /* of the first page of a full read */
	uint64_t requested_us;
	uint64_t range_requested_us; /* the first page of a full read */
	uint64_t confirmed_us;
	uint64_t range_latency_us;
	uint64_t backoff_us;
	struct rng rng;
	bool synced;
	bool range_active;    /* a full read is in progress */
	bool range_in_flight; /* a page is requested */
	bool free_pending;
	bool in_callback;
	bool failing;
};

static void send_request(struct kv_follow *f);

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_request(arg);
}

static void schedule_poll(struct kv_follow *f)
{
	struct timeval tv = { .tv_sec = f->batch_delay_ms / 1000,
			      .tv_usec = f->batch_delay_ms % 1000 * 1000 };

	evtimer_add(f->retry, &tv);
}

static void schedule_retry(struct kv_follow *f)
{
	uint64_t us = backoff_next(&f->rng, &f->backoff_us, RETRY_MIN_US,
				   RETRY_MAX_US);
	struct timeval tv = { .tv_sec = 0, .tv_usec = (suseconds_t)us };

	if (!f->failing)
		log_event(
			LOG_INFO, "follow-trouble",
			"prefix=%s revision=%llu age_ms=%llu", f->prefix,
			(unsigned long long)f->revision,
			(unsigned long long)(clock_now_us() - f->confirmed_us) /
				1000);
	f->failing = true;
	evtimer_add(f->retry, &tv);
}

static void mark_confirmed(struct kv_follow *f, uint64_t requested_us)
{
	f->confirmed_us = requested_us;
	f->backoff_us = 0;
	if (f->failing)
		log_event(LOG_INFO, "follow-restored",
			  "prefix=%s revision=%llu", f->prefix,
			  (unsigned long long)f->revision);
	f->failing = false;
}

static void destroy(struct kv_follow *f)
{
	event_free(f->retry);
	free(f);
}

/* Readers take what follows the prefix from the keys. */
static void pass_items(struct kv_follow *f, const struct kv_reply *r)
{
	for (size_t i = 0; i < r->count; i++)
		if (!strncmp(r->items[i].key, f->prefix, strlen(f->prefix)))
			f->ops->item(f->arg, &r->items[i]);
}

static void handle_page(struct kv_follow *f, const struct kv_reply *r)
{
	f->range_latency_us = clock_now_us() - f->requested_us;
	if (r->outcome != KV_OK) {
		f->range_active = false; /* restart at page 1 */
		schedule_retry(f);
		return;
	}
	if (!f->range_active) {
		f->range_active = true;
		f->range_revision = r->revision;
		f->range_requested_us = f->requested_us;
		if (f->ops->begin)
			f->ops->begin(f->arg);
	}
	pass_items(f, r);
	if (r->more && (r->count || r->last_key)) {
		snprintf(f->page_after, sizeof(f->page_after), "%s",
			 r->last_key ? r->last_key
				     : r->items[r->count - 1].key);
		send_request(f);
		return;
	}
	f->range_active = false;
	f->synced = true;
	f->revision = f->range_revision;
	/* Changes behind the first page are learnt from the watch only. */
	mark_confirmed(f, f->range_requested_us);
	if (f->ops->end)
		f->ops->end(f->arg);
	if (!f->free_pending)
		send_request(f);
}

static void on_page(void *arg, const struct kv_reply *r)
{
	struct kv_follow *f = arg;

	f->range_in_flight = false;
	f->in_callback = true;
	if (!f->free_pending)
		handle_page(f, r);
	f->in_callback = false;
	if (f->free_pending && !f->range_in_flight)
		destroy(f);
}

static void handle_events(struct kv_follow *f, const struct kv_reply *r)
{
	switch (r->outcome) {
	case KV_OK:
		pass_items(f, r);
		if (r->revision > f->revision)
			f->revision = r->revision;
		/* After a full answer there may be more. */
		if (r->count < BATCH_EVENTS_MAX)
			mark_confirmed(f, f->requested_us);
		break;
	case KV_COMPACTED:
		log_event(LOG_INFO, "follow-resync", "prefix=%s revision=%llu",
			  f->prefix, (unsigned long long)f->revision);
		f->synced = false;
		break;
	default:
		schedule_retry(f);
		return;
	}
	if (f->free_pending)
		return;
	if (f->synced && r->count && r->count < BATCH_EVENTS_MAX &&
	    f->batch_delay_ms)
		schedule_poll(f);
	else
		send_request(f);
}

static void on_events(void *arg, const struct kv_reply *r)
{
	struct kv_follow *f = arg;

	f->in_callback = true;
	handle_events(f, r);
	f->in_callback = false;
	if (f->free_pending && !f->range_in_flight)
		destroy(f);
}

/* Requests the next page, or polls for changes once all pages are read. */
static void send_request(struct kv_follow *f)
{
	f->requested_us = clock_now_us();
	if (f->synced) {
		/* An answer without delay shows that the store is back. */
		f->kv->ops->watch_poll(f->watch, f->revision,
				       f->failing ? 0 : f->wait_ms, on_events,
				       f);
		return;
	}
	f->range_in_flight = true;
	f->kv->ops->range(f->kv, f->prefix,
			  f->range_active ? f->page_after : "", false, on_page,
			  f);
}

struct kv_follow *kv_follow_create(struct event_base *base, struct kv *kv,
				   const char *prefix, uint32_t wait_ms,
				   uint32_t batch_delay_ms,
				   const struct kv_follow_ops *ops, void *arg)
{
	struct kv_follow *f = xcalloc(1, sizeof(*f));

	f->kv = kv;
	f->ops = ops;
	f->arg = arg;
	f->wait_ms = wait_ms;
	f->batch_delay_ms = batch_delay_ms;
	f->rng.state = clock_now_us() ^ (uint64_t)(uintptr_t)f;
	snprintf(f->prefix, sizeof(f->prefix), "%s", prefix);
	f->watch = kv->ops->watch(kv, prefix);
	f->retry = evtimer_new(base, on_retry, f);
	send_request(f);
	return f;
}

void kv_follow_free(struct kv_follow *f)
{
	if (!f)
		return;
	f->free_pending = true;
	f->kv->ops->watch_close(f->watch);
	evtimer_del(f->retry);
	/* Otherwise on_page() or on_events() frees it. */
	if (!f->range_in_flight && !f->in_callback)
		destroy(f);
}

void kv_follow_refresh(struct kv_follow *f)
{
	if (f->range_in_flight)
		return;
	f->kv->ops->watch_close(f->watch);
	f->watch = f->kv->ops->watch(f->kv, f->prefix);
	evtimer_del(f->retry);
	f->synced = false;
	send_request(f);
}

bool kv_follow_synced(const struct kv_follow *f)
{
	return f->confirmed_us != 0;
}

uint64_t kv_follow_range_latency_us(const struct kv_follow *f)
{
	return f->range_latency_us;
}

uint64_t kv_follow_confirmed_us(const struct kv_follow *f)
{
	return f->confirmed_us;
}
