#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-evacuation.h"
#include "job-owner-internal.h"
#include "kv-follow.h"
#include "log.h"
#include "worker-path.h"

static void load_progress(struct job_owner *o);

struct owner_store_call *owner_store_call_begin(struct job_owner *o)
{
	struct owner_store_call *c = xcalloc(1, sizeof(*c));

	c->owner = o;
	c->load_generation = o->load_generation;
	c->next = o->calls;
	o->calls = c;
	return c;
}

void owner_store_call_end(struct owner_store_call *c)
{
	struct owner_store_call **link = &c->owner->calls;

	while (*link != c)
		link = &(*link)->next;
	*link = c->next;
	free(c);
}

void job_owner_drop_calls(struct job_owner *o)
{
	while (o->calls)
		owner_store_call_end(o->calls);
}

void ignore_reply(void *arg, const struct kv_reply *r)
{
	(void)arg;
	if (r->outcome != KV_OK)
		log_event(LOG_DEBUG, "store-call-failed", "outcome=%d",
			  r->outcome);
}

static uint64_t wall_ms(void)
{
	return clock_wall_us() / 1000;
}

/* ---- scheduler callbacks ---- */

static void on_order(void *arg, const struct sched_order *order)
{
	struct job_owner *o = arg;

	if (o->workers)
		job_workers_queue_order(o->workers, order);
}

static void on_forget(void *arg, const char *id)
{
	struct job_owner *o = arg;

	o->expired_jobs =
		xrealloc(o->expired_jobs,
			 (o->expired_job_count + 1) * sizeof(*o->expired_jobs));
	o->expired_jobs[o->expired_job_count++] = xstrdup(id);
}

void job_owner_expired_removed(struct job_owner *o, size_t count,
			       uint64_t revision)
{
	struct removed_job *r;

	if (!count)
		return;
	o->removed_jobs = xrealloc(o->removed_jobs,
				   (o->removed_job_count + count) * sizeof(*r));
	for (size_t i = 0; i < count; i++) {
		r = &o->removed_jobs[o->removed_job_count++];
		snprintf(r->id, sizeof(r->id), "%s", o->expired_jobs[i]);
		r->revision = revision;
		r->removed_us = clock_now_us();
		free(o->expired_jobs[i]);
	}
	o->expired_job_count -= count;
	memmove(o->expired_jobs, o->expired_jobs + count,
		o->expired_job_count * sizeof(*o->expired_jobs));
}

static void drop_removed_jobs(struct job_owner *o, size_t first, size_t count)
{
	for (size_t i = first; i < first + count; i++)
		sched_forgotten(o->sched, o->removed_jobs[i].id);
	o->removed_job_count -= count;
	memmove(o->removed_jobs + first, o->removed_jobs + first + count,
		(o->removed_job_count - first) * sizeof(*o->removed_jobs));
}

static void forget_removed_jobs(struct job_owner *o, uint64_t now)
{
	size_t n = 0;

	while (n < o->removed_job_count &&
	       now >= o->removed_jobs[n].removed_us + REMOVED_JOB_US)
		n++;
	if (n)
		drop_removed_jobs(o, 0, n);
}

/* The id was submitted again: another job than the one that was removed. */
static void forget_former_job(struct job_owner *o, const char *id,
			      uint64_t revision)
{
	for (size_t i = 0; i < o->removed_job_count; i++) {
		if (strcmp(o->removed_jobs[i].id, id) ||
		    revision <= o->removed_jobs[i].revision)
			continue;
		drop_removed_jobs(o, i, 1);
		return;
	}
}

static void on_forget_record(void *arg, const char *name)
{
	struct job_owner *o = arg;

	o->stale_records =
		xrealloc(o->stale_records, (o->stale_record_count + 1) *
						   sizeof(*o->stale_records));
	o->stale_records[o->stale_record_count++] = xstrdup(name);
}

void job_owner_stale_removed(struct job_owner *o, size_t count)
{
	for (size_t i = 0; i < count; i++)
		free(o->stale_records[i]);
	o->stale_record_count -= count;
	if (count)
		memmove(o->stale_records, o->stale_records + count,
			o->stale_record_count * sizeof(*o->stale_records));
}

static const struct sched_ops sched_ops = {
	.order = on_order,
	.forget = on_forget,
	.forget_record = on_forget_record,
};

void job_owner_apply_config(struct job_owner *o)
{
	const struct job_config *c = o->node->config;
	struct queue_policy *queues;
	struct sched_policy p;

	if (!c)
		return;
	queues = xcalloc(c->queue_count + 1, sizeof(*queues));
	for (size_t i = 0; i < c->queue_count; i++)
		queues[i] = c->queues[i].policy;
	p.queues = queues;
	p.queue_count = c->queue_count;
	sched_set_policy(o->sched, &p);
	free(queues);
	job_owner_schedule_tick(o);
}

/* ---- specifications ---- */

static bool decode_job(struct job_spec *spec, const struct kv_item *item)
{
	struct error err;

	if (job_spec_decode(spec, item->value, item->len, &err) == 0)
		return true;
	log_event(LOG_ERROR, "job-malformed", "key=%s error=\"%s\"", item->key,
		  err.message);
	return false;
}

/* Takes ownership of the contents of spec. */
static void submit_job(struct job_owner *o, struct job_spec *spec)
{
	if (o->state == OWNER_ACTIVE)
		log_event(LOG_INFO, "job-received",
			  "job=%s queue=%s age_ms=%lld", spec->id, spec->queue,
			  (long long)(wall_ms() - spec->accepted_wall_ms));
	sched_submit(o->sched, spec, clock_now_us());
	if (o->state == OWNER_ACTIVE)
		job_owner_apply_cancels(o);
}

void job_owner_submit(struct job_owner *o, const struct kv_item *item)
{
	struct job_spec spec;

	if (decode_job(&spec, item))
		submit_job(o, &spec);
}

static void on_job_item(struct job_owner *o, const char *id,
			const struct kv_item *item)
{
	struct job_spec spec;

	forget_former_job(o, id, item->revision);
	if (!decode_job(&spec, item))
		return;
	if (job_owner_defer(o, &spec))
		job_spec_free(&spec);
	else
		submit_job(o, &spec);
}

static void on_cancel_item(struct job_owner *o, const char *id,
			   const struct kv_item *item)
{
	if (item->deleted) {
		job_owner_drop_cancel(o, id);
		return;
	}
	log_event(LOG_INFO, "job-cancelled", "job=%s", id);
	job_owner_add_cancel(o, id, item->revision);
	if (o->state == OWNER_ACTIVE)
		job_deferred_set_due(&o->deferred, id);
	if (o->state == OWNER_ACTIVE)
		job_owner_apply_cancels(o);
}

static void on_spec_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	const char *name = item->key + strlen(JOB_SPEC_PREFIX);
	char id[JOB_ID_BYTES];

	if (!o->sched)
		return;
	snprintf(id, sizeof(id), "%s", name);
	if (!strcmp(name + strlen(id), JOB_CANCEL_SUFFIX)) {
		on_cancel_item(o, id, item);
	} else if (!job_id_valid(name)) {
		log_event(LOG_WARNING, "store-key-unknown", "key=%s",
			  item->key);
	} else if (!item->deleted) {
		on_job_item(o, id, item);
	}
	if (o->state == OWNER_ACTIVE && !item->deleted)
		job_owner_schedule_tick(o);
}

/* All cancellations are read again. */
static void on_spec_begin(void *arg)
{
	struct job_owner *o = arg;

	if (o->state == OWNER_ACTIVE)
		o->pending_cancel_count = 0;
}

static void on_spec_end(void *arg)
{
	struct job_owner *o = arg;

	if (o->specs_loaded || !o->sched)
		return;
	o->specs_loaded = true;
	load_progress(o);
}

static const struct kv_follow_ops spec_follow_ops = {
	.begin = on_spec_begin,
	.item = on_spec_item,
	.end = on_spec_end,
};

/* ---- workers ---- */

static void on_worker_begin(void *arg)
{
	struct job_owner *o = arg;

	if (o->workers)
		job_workers_resync(o->workers, true);
}

/*
 * Entries are rewritten each second. One line a second names one of those that
 * name no worker, with their number since the last line.
 */
static void log_ignored_entry(struct job_owner *o, const char *key,
			      const char *reason)
{
	uint64_t now = clock_now_us();

	o->entries_ignored++;
	if (now < o->next_ignored_log_us)
		return;
	log_event(LOG_INFO, "worker-entry-ignored",
		  "key=%s reason=\"%s\" entries=%u", key, reason,
		  o->entries_ignored);
	o->next_ignored_log_us = now + IGNORED_LOG_INTERVAL_US;
	o->entries_ignored = 0;
}

static void on_worker_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	const struct job_platform *platform = o->node->platform;
	const char *id = item->key + strlen(platform->worker_prefix);
	struct job_worker_entry e;
	uint64_t fingerprint;
	struct error err;

	if (!o->workers)
		return;
	if (item->deleted) {
		job_workers_mark_unlisted(o->workers, id);
		return;
	}
	fingerprint = platform->worker_fingerprint(item->value, item->len);
	if (job_workers_confirm_entry(o->workers, id, fingerprint)) {
		job_owner_schedule_tick(o);
		return;
	}
	if (platform->decode_worker(item->key, item->value, item->len, &e,
				    &err) < 0) {
		log_ignored_entry(o, item->key, err.message);
		job_workers_mark_unlisted(o->workers, id);
		return;
	}
	job_workers_update_entry(o->workers, &e, fingerprint);
	job_owner_schedule_tick(o);
}

static void on_worker_end(void *arg)
{
	struct job_owner *o = arg;

	if (!o->workers)
		return;
	job_workers_resync(o->workers, false);
	if (o->workers_read)
		return;
	o->workers_read = true;
	o->workers_read_us = clock_now_us();
	sched_expect_reports(o->sched, o->workers_read_us);
	job_owner_silent_apply(o);
}

static const struct kv_follow_ops worker_follow_ops = {
	.begin = on_worker_begin,
	.item = on_worker_item,
	.end = on_worker_end,
};

/* ---- load ---- */

void job_owner_loaded(struct job_owner *o)
{
	struct job_node *n = o->node;
	struct sched_stats st;

	sched_restored(o->sched);
	job_owner_apply_cancels(o);
	job_owner_remove_orphaned_cancels(o);
	for (size_t i = 0; i < o->pending_cancel_count; i++)
		job_deferred_set_due(&o->deferred, o->pending_cancels[i].id);
	o->state = OWNER_ACTIVE;
	o->workers = job_workers_create(n, o->sched);
	o->worker_follow = kv_follow_create(
		n->base, n->kv, n->platform->worker_prefix, WORKER_WATCH_MS,
		WORKER_WATCH_BATCH_MS, &worker_follow_ops, o);
	sched_stats(o->sched, &st);
	log_event(LOG_INFO, "owner-acting", "epoch=%llu jobs_open=%u",
		  (unsigned long long)o->epoch, st.jobs_open);
	job_owner_schedule_tick(o);
}

void job_owner_restore(struct job_owner *o, const struct kv_item *item)
{
	const char *name = item->key + strlen(JOB_PROGRESS_PREFIX);
	struct error err;
	int ret = sched_restore(o->sched, name, item->value, item->len, &err);

	if (ret < 0)
		log_event(LOG_ERROR, "progress-refused", "error=\"%s\"",
			  err.message);
	else if (ret)
		on_forget_record(o, name);
}

static void on_progress(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load_generation == o->load_generation &&
		       o->state == OWNER_LOADING;

	owner_store_call_end(c);
	if (!current)
		return;
	if (r->outcome != KV_OK) {
		load_progress(o);
		return;
	}
	for (size_t i = 0; i < r->count; i++) {
		const struct kv_item *item = &r->items[i];

		if (!job_owner_defer_record(o, item))
			job_owner_restore(o, item);
		snprintf(o->progress_cursor, sizeof(o->progress_cursor), "%s",
			 item->key);
	}
	if (r->last_key)
		snprintf(o->progress_cursor, sizeof(o->progress_cursor), "%s",
			 r->last_key);
	if (r->more && (r->count || r->last_key))
		load_progress(o);
	else
		job_owner_end_load(o);
}

static void load_progress(struct job_owner *o)
{
	struct owner_store_call *c = owner_store_call_begin(o);

	o->node->kv->ops->range(o->node->kv, JOB_PROGRESS_PREFIX,
				o->progress_cursor, false, on_progress, c);
}

static void on_pairs(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load_generation == o->load_generation && o->sched;

	owner_store_call_end(c);
	if (!current || r->outcome == KV_NOT_FOUND)
		return;
	if (r->outcome != KV_OK || !r->count ||
	    sched_pairs_restore(o->sched, r->items[0].value, r->items[0].len) <
		    0)
		log_event(LOG_WARNING, "pairs-not-restored", "outcome=%d",
			  r->outcome);
}

static void load_pairs(struct job_owner *o)
{
	struct owner_store_call *c = owner_store_call_begin(o);

	o->next_pairs_us = clock_now_us() + PAIRS_INTERVAL_US;
	o->node->kv->ops->get(o->node->kv, JOB_PAIRS_KEY, on_pairs, c);
}

void job_owner_load(struct job_owner *o)
{
	struct job_node *n = o->node;
	struct sched_settings settings = {
		.lease_max_ms =
			(uint32_t)(n->settings->jobs.lease_max_us / 1000),
		.status_retention_s =
			(uint32_t)(n->settings->jobs.status_keep_us / 1000000),
		.takeover_wait_ms = UNRECORDED_GRANT_MS,
		.overload = n->settings->policy.overload == OVERLOAD_LEAST_COST
				    ? SCHED_OVERLOAD_LEAST_COST
				    : SCHED_OVERLOAD_DEADLINE,
		.slow_workers =
			n->settings->policy.slow_workers == SLOW_WORKERS_AVOID
				? SCHED_SLOW_AVOID
				: SCHED_SLOW_IGNORE,
	};

	o->state = OWNER_LOADING;
	o->load_generation++;
	commit_limit_init(&o->limit, COMMIT_RECORDS_MAX);
	o->committed_us = clock_now_us();
	relay_hub_open(n->relay_hub);
	o->progress_cursor[0] = '\0';
	o->deferred_load = false;
	o->deferred_reads = 0;
	o->next_deferred_us = 0;
	o->full_stored = o->full;
	o->specs_loaded = false;
	o->workers_read = false;
	o->grant_end_us = 0;
	o->elected_us = clock_now_us();
	o->sched = sched_create(&sched_ops, o, &settings, o->elected_us);
	job_owner_apply_config(o);
	job_owner_evacuation_changed(o);
	load_pairs(o);
	o->spec_follow =
		kv_follow_create(n->base, n->kv, JOB_SPEC_PREFIX, SPEC_WATCH_MS,
				 0, &spec_follow_ops, o);
}

void job_owner_unload(struct job_owner *o)
{
	o->load_generation++;
	kv_follow_free(o->spec_follow);
	kv_follow_free(o->worker_follow);
	o->spec_follow = NULL;
	o->worker_follow = NULL;
	relay_hub_close(o->node->relay_hub);
	job_workers_destroy(o->workers);
	o->workers = NULL;
	sched_destroy(o->sched);
	o->sched = NULL;
	o->commit_copies = 0;
	job_owner_free_commit(o);
	free(o->pending_cancels);
	o->pending_cancels = NULL;
	o->pending_cancel_count = 0;
	job_deferred_free(&o->deferred);
	job_owner_stale_removed(o, o->stale_record_count);
	free(o->stale_records);
	o->stale_records = NULL;
	while (o->expired_job_count)
		free(o->expired_jobs[--o->expired_job_count]);
	free(o->expired_jobs);
	o->expired_jobs = NULL;
	free(o->removed_jobs);
	o->removed_jobs = NULL;
	o->removed_job_count = 0;
}

/* ---- process ---- */

static long long kilobytes(const char *name, const char *direction)
{
	return counter_value(counter_get(COUNTER, name, direction)) / 1000;
}

static void log_status(struct job_owner *o, uint64_t now)
{
	struct sched_stats st;

	if (now < o->next_status_us)
		return;
	o->next_status_us = now + STATUS_INTERVAL_US;
	if (o->commit && now > o->committed_us + COMMIT_STALLED_US)
		log_event(LOG_WARNING, "commit-stalled",
			  "epoch=%llu age_ms=%llu records=%zu",
			  (unsigned long long)o->epoch,
			  (unsigned long long)(now - o->committed_us) / 1000,
			  o->commit->record_count);
	sched_stats(o->sched, &st);
	log_event(LOG_INFO, "owner-status",
		  "epoch=%llu jobs_open=%u jobs_pending=%u jobs_kb=%llu "
		  "jobs_deferred=%u "
		  "tasks_held=%u tasks_waiting=%u tasks_running=%u "
		  "workers=%u reporting=%u starts=%llu done=%llu failed=%llu "
		  "lost=%llu store_sent_kb=%lld store_received_kb=%lld "
		  "relays_sent_kb=%lld relays_received_kb=%lld",
		  (unsigned long long)o->epoch, st.jobs_open, st.jobs_pending,
		  (unsigned long long)st.jobs_bytes / 1000, o->deferred.count,
		  st.tasks_held, st.tasks_waiting, st.tasks_running, st.workers,
		  st.workers_reporting, (unsigned long long)st.starts,
		  (unsigned long long)st.ends_done,
		  (unsigned long long)st.ends_failed,
		  (unsigned long long)st.tasks_lost,
		  kilobytes(COUNTER_STORE_BYTES, COUNTER_SENT),
		  kilobytes(COUNTER_STORE_BYTES, COUNTER_RECEIVED),
		  kilobytes(COUNTER_RELAY_BYTES, COUNTER_SENT),
		  kilobytes(COUNTER_RELAY_BYTES, COUNTER_RECEIVED));
}

void job_owner_process(struct job_owner *o, uint64_t now)
{
	bool silent;

	log_status(o, now);
	job_evacuation_check_age(o->node->evacuation, now);
	forget_removed_jobs(o, now);
	job_owner_read_deferred(o);
	sched_tick(o->sched, now, wall_ms());
	if (!o->commit && !o->resigned) {
		silent = job_owner_silent_due(o, now);
		if (silent || sched_has_changes(o->sched) ||
		    o->expired_job_count || o->stale_record_count ||
		    job_owner_full_changed(o))
			job_owner_build_commit(o, silent, now);
	}
	if (job_owner_commit_due(o, now))
		job_owner_send_commit(o);
	relay_hub_tick(o->node->relay_hub, now);
	job_workers_tick(o->workers, now);
}
