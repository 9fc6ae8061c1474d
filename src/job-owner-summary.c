#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-owner-internal.h"
#include "kv-follow.h"
#include "log.h"

static bool enabled(const struct job_owner *o)
{
	return o->node->settings->policy.refuse_hopeless == SETTING_ON;
}

/* ---- the owner ---- */

static void collect(const struct job_owner *o, struct admission_load *l)
{
	const struct job_config *c = o->node->config;

	l->epoch = o->epoch;
	for (size_t i = 0; c && i < c->queue_count; i++) {
		const char *name = c->queues[i].policy.name;
		struct admission_queue *q = &l->queues[l->count];
		uint32_t wait_ms = sched_expected_wait_ms(o->sched, name);

		if (!wait_ms || l->count == ADMISSION_QUEUES_MAX)
			continue;
		memcpy(q->name, name, sizeof(q->name));
		q->wait_ms = wait_ms;
		q->ratio_milli = sched_queue_ratio_milli(o->sched, name);
		l->count++;
	}
}

bool job_owner_summary_add(struct job_owner *o, struct commit *c, uint64_t now)
{
	struct kv_set *set = &c->sets[c->set_count];
	struct admission_load l = { .count = 0 };
	struct buffer b = BUFFER_INIT;
	bool waits;

	if (!enabled(o) || now < o->next_summary_us)
		return false;
	o->next_summary_us = now + SUMMARY_INTERVAL_US;
	collect(o, &l);
	waits = admission_load_has_wait(&l);
	if (!waits && !o->summary_has_wait)
		return false;
	o->summary_has_wait = waits;
	admission_load_encode(&l, &b);
	set->key = JOB_LOAD_KEY;
	set->value = buffer_detach(&b, &set->len);
	c->set_count++;
	return true;
}

/* ---- every entry VM ---- */

void job_owner_summary_item(struct job_owner *o, const struct kv_item *item)
{
	struct error err;

	/* A lower revision is that of a store that was set up anew. */
	if (!enabled(o) || item->revision == o->summary_revision)
		return;
	o->summary_revision = item->revision;
	if (item->deleted) {
		memset(&o->summary, 0, sizeof(o->summary));
		return;
	}
	if (admission_load_decode(&o->summary, item->value, item->len, &err) <
	    0)
		log_event(LOG_WARNING, "load-malformed",
			  "revision=%llu error=\"%s\"",
			  (unsigned long long)item->revision, err.message);
	/*
	 * What has changed was written after the request that confirmed the
	 * state before it. The first read confirms none: the age is not known.
	 */
	o->summary.as_of_us = kv_follow_confirmed_us(o->owner_follow);
}

bool job_owner_refuses(const struct job_owner *o, const struct job_spec *spec,
		       uint32_t *retry_after_s)
{
	return enabled(o) && o->owner_known &&
	       admission_refuses(&o->summary, o->silent.epoch, spec,
				 clock_now_us(), retry_after_s);
}

void job_owner_saw_revision(struct job_owner *o, uint64_t revision)
{
	revision_history_add(&o->revisions, revision, clock_now_us());
}

uint64_t job_owner_known_revision(const struct job_owner *o)
{
	return revision_history_known(&o->revisions,
				      clock_now_us() - RECEIPT_DELAY_US);
}
