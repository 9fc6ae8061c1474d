#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>

#include "backoff.h"
#include "buffer.h"
#include "clock.h"
#include "kv-follow.h"
#include "log.h"

#define RETRY_MIN_US 50000u
#define RETRY_MAX_US 400000u

struct kv_follow {
	struct kv *kv;
	struct kv_watch *watch;
	struct event *retry; /* asks again later */
	const struct kv_follow_ops *ops;
	void *arg;
	char prefix[KV_KEY_BYTES];
	char after[KV_KEY_BYTES]; /* last key of the page before */
	uint32_t wait_ms;
	uint32_t gather_ms;
	uint64_t revision;	 /* changes after it are not known */
	uint64_t range_revision; /* of the first page */
	uint64_t asked_us;
	uint64_t fresh_us;
	uint64_t delay_us;
	uint64_t pause_us;
	struct rng rng;
	bool synced;
	bool reading; /* pages */
	bool busy;    /* a page is asked for */
	bool freed;
	bool in_callback;
	bool troubled;
};

static void ask(struct kv_follow *f);

static void on_retry(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	ask(arg);
}

static void ask_later(struct kv_follow *f)
{
	struct timeval tv = { .tv_sec = f->gather_ms / 1000,
			      .tv_usec = f->gather_ms % 1000 * 1000 };

	evtimer_add(f->retry, &tv);
}

static void retry_later(struct kv_follow *f)
{
	uint64_t us =
		backoff_next(&f->rng, &f->pause_us, RETRY_MIN_US, RETRY_MAX_US);
	struct timeval tv = { .tv_sec = 0, .tv_usec = (suseconds_t)us };

	if (!f->troubled)
		log_event(LOG_INFO, "follow-trouble",
			  "prefix=%s revision=%llu age_ms=%llu", f->prefix,
			  (unsigned long long)f->revision,
			  (unsigned long long)(clock_now_us() - f->fresh_us) /
				  1000);
	f->troubled = true;
	evtimer_add(f->retry, &tv);
}

static void fresh(struct kv_follow *f)
{
	f->fresh_us = f->asked_us;
	f->pause_us = 0;
	if (f->troubled)
		log_event(LOG_INFO, "follow-restored",
			  "prefix=%s revision=%llu", f->prefix,
			  (unsigned long long)f->revision);
	f->troubled = false;
}

static void free_now(struct kv_follow *f)
{
	event_free(f->retry);
	free(f);
}

static void take_page(struct kv_follow *f, const struct kv_reply *r)
{
	f->delay_us = clock_now_us() - f->asked_us;
	if (r->outcome != KV_DONE) {
		f->reading = false; /* pages are read from the first again */
		retry_later(f);
		return;
	}
	if (!f->reading) {
		f->reading = true;
		f->range_revision = r->revision;
		if (f->ops->begin)
			f->ops->begin(f->arg);
	}
	for (size_t i = 0; i < r->count; i++)
		f->ops->item(f->arg, &r->items[i]);
	if (r->more && r->count) {
		snprintf(f->after, sizeof(f->after), "%s",
			 r->items[r->count - 1].key);
		ask(f);
		return;
	}
	f->reading = false;
	f->synced = true;
	f->revision = f->range_revision;
	fresh(f);
	if (f->ops->end)
		f->ops->end(f->arg);
	if (!f->freed)
		ask(f);
}

static void on_page(void *arg, const struct kv_reply *r)
{
	struct kv_follow *f = arg;

	f->busy = false;
	f->in_callback = true;
	if (!f->freed)
		take_page(f, r);
	f->in_callback = false;
	if (f->freed && !f->busy)
		free_now(f);
}

static void take_events(struct kv_follow *f, const struct kv_reply *r)
{
	switch (r->outcome) {
	case KV_DONE:
		for (size_t i = 0; i < r->count; i++)
			f->ops->item(f->arg, &r->items[i]);
		if (r->revision > f->revision)
			f->revision = r->revision;
		fresh(f);
		break;
	case KV_COMPACTED:
		log_event(LOG_INFO, "follow-resync", "prefix=%s revision=%llu",
			  f->prefix, (unsigned long long)f->revision);
		f->synced = false;
		break;
	default:
		retry_later(f);
		return;
	}
	if (f->freed)
		return;
	if (f->synced && r->count && f->gather_ms)
		ask_later(f);
	else
		ask(f);
}

static void on_events(void *arg, const struct kv_reply *r)
{
	struct kv_follow *f = arg;

	f->in_callback = true;
	take_events(f, r);
	f->in_callback = false;
	if (f->freed && !f->busy)
		free_now(f);
}

/* Asks for the next page, or for changes once all pages are read. */
static void ask(struct kv_follow *f)
{
	f->asked_us = clock_now_us();
	if (f->synced) {
		f->kv->ops->poll(f->watch, f->revision, f->wait_ms, on_events,
				 f);
		return;
	}
	f->busy = true;
	f->kv->ops->range(f->kv, f->prefix, f->reading ? f->after : "", false,
			  on_page, f);
}

struct kv_follow *kv_follow_create(struct event_base *base, struct kv *kv,
				   const char *prefix, uint32_t wait_ms,
				   uint32_t gather_ms,
				   const struct kv_follow_ops *ops, void *arg)
{
	struct kv_follow *f = xcalloc(1, sizeof(*f));

	f->kv = kv;
	f->ops = ops;
	f->arg = arg;
	f->wait_ms = wait_ms;
	f->gather_ms = gather_ms;
	f->rng.state = clock_now_us() ^ (uint64_t)(uintptr_t)f;
	snprintf(f->prefix, sizeof(f->prefix), "%s", prefix);
	f->watch = kv->ops->watch(kv, prefix);
	f->retry = evtimer_new(base, on_retry, f);
	ask(f);
	return f;
}

void kv_follow_free(struct kv_follow *f)
{
	if (!f)
		return;
	f->freed = true;
	f->kv->ops->unwatch(f->watch);
	evtimer_del(f->retry);
	/* A page that is asked for, or a callback above, frees it later. */
	if (!f->busy && !f->in_callback)
		free_now(f);
}

bool kv_follow_synced(const struct kv_follow *f)
{
	return f->fresh_us != 0;
}

uint64_t kv_follow_delay_us(const struct kv_follow *f)
{
	return f->delay_us;
}

uint64_t kv_follow_fresh_us(const struct kv_follow *f)
{
	return f->fresh_us;
}
