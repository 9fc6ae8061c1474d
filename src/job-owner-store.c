#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-owner-internal.h"
#include "kv-follow.h"
#include "log.h"

/*
 * A call to the store of one ownership: an answer that comes after a step down
 * is ignored.
 */
struct load_call {
	struct load_call *next;
	struct job_owner *owner;
	uint32_t load;
};

static void load_progress(struct job_owner *o);

static struct load_call *begin_call(struct job_owner *o)
{
	struct load_call *c = xcalloc(1, sizeof(*c));

	c->owner = o;
	c->load = o->load;
	c->next = o->calls;
	o->calls = c;
	return c;
}

static void end_call(struct load_call *c)
{
	struct load_call **link = &c->owner->calls;

	while (*link != c)
		link = &(*link)->next;
	*link = c->next;
	free(c);
}

/* Those that the store will not answer because it is destroyed as well. */
void job_owner_drop_calls(struct job_owner *o)
{
	while (o->calls)
		end_call(o->calls);
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

/* ---- the core's requests ---- */

static void on_order(void *arg, const struct sched_order *order)
{
	struct job_owner *o = arg;

	if (o->workers)
		job_workers_order(o->workers, order);
}

static void on_forget(void *arg, const char *id)
{
	struct job_owner *o = arg;

	o->forgotten = xrealloc(o->forgotten, (o->forgotten_count + 1) *
						      sizeof(*o->forgotten));
	o->forgotten[o->forgotten_count++] = xstrdup(id);
}

static const struct sched_ops sched_ops = { .order = on_order,
					    .forget = on_forget };

void job_owner_apply_config(struct job_owner *o)
{
	const struct job_config *c = o->node->config;
	struct sched_queue *queues;
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
	job_owner_kick(o);
}

/* ---- what callers handed in ---- */

static void remember_cancel(struct job_owner *o, const char *id)
{
	o->cancels = xrealloc(o->cancels,
			      (o->cancel_count + 1) * sizeof(*o->cancels));
	o->cancels[o->cancel_count++] = xstrdup(id);
}

static void take_job(struct job_owner *o, const struct kv_item *item)
{
	struct job_spec spec;
	struct error err;

	if (job_spec_decode(&spec, item->value, item->len, &err) < 0) {
		log_event(LOG_ERROR, "job-malformed", "key=%s error=\"%s\"",
			  item->key, err.message);
		return;
	}
	if (o->state == OWNER_ACTING)
		log_event(LOG_INFO, "job-received",
			  "job=%s queue=%s age_ms=%lld", spec.id, spec.queue,
			  (long long)(wall_ms() - spec.accepted_wall_ms));
	sched_submit(o->sched, &spec, clock_now_us());
}

static void on_in_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	const char *name = item->key + strlen(JOB_IN_PREFIX);
	char id[JOB_ID_BYTES];

	if (!o->sched || item->deleted)
		return;
	snprintf(id, sizeof(id), "%s", name);
	if (!strcmp(name + strlen(id), JOB_CANCEL_SUFFIX)) {
		log_event(LOG_INFO, "job-cancelled", "job=%s", id);
		if (o->state == OWNER_ACTING && sched_has_job(o->sched, id))
			sched_cancel(o->sched, id, clock_now_us(), wall_ms());
		else
			remember_cancel(o, id);
	} else if (job_id_valid(name)) {
		take_job(o, item);
		for (size_t i = 0;
		     o->state == OWNER_ACTING && i < o->cancel_count; i++)
			if (!strcmp(o->cancels[i], id))
				sched_cancel(o->sched, id, clock_now_us(),
					     wall_ms());
	} else {
		log_event(LOG_WARNING, "store-key-unknown", "key=%s",
			  item->key);
	}
	if (o->state == OWNER_ACTING)
		job_owner_kick(o);
}

static void on_in_end(void *arg)
{
	struct job_owner *o = arg;

	if (o->in_synced || !o->sched)
		return;
	o->in_synced = true;
	load_progress(o);
}

static const struct kv_follow_ops in_follow_ops = { .item = on_in_item,
						    .end = on_in_end };

/* ---- workers ---- */

static void on_worker_begin(void *arg)
{
	struct job_owner *o = arg;

	if (o->workers)
		job_workers_sweep(o->workers, true);
}

static void on_worker_item(void *arg, const struct kv_item *item)
{
	struct job_owner *o = arg;
	struct job_worker_entry e;
	struct error err;

	if (!o->workers)
		return;
	if (item->deleted) {
		job_workers_unlisted(
			o->workers,
			item->key + strlen(o->node->platform->worker_prefix));
		return;
	}
	if (o->node->platform->decode_worker(item->key, item->value, item->len,
					     &e, &err) < 0) {
		log_event(LOG_INFO, "worker-entry-ignored",
			  "key=%s reason=\"%s\"", item->key, err.message);
		return;
	}
	job_workers_entry(o->workers, &e);
	job_owner_kick(o);
}

static void on_worker_end(void *arg)
{
	struct job_owner *o = arg;

	if (o->workers)
		job_workers_sweep(o->workers, false);
}

static const struct kv_follow_ops worker_follow_ops = {
	.begin = on_worker_begin,
	.item = on_worker_item,
	.end = on_worker_end,
};

/* ---- load ---- */

static void start_acting(struct job_owner *o)
{
	struct job_node *n = o->node;
	struct sched_stats st;

	for (size_t i = 0; i < o->cancel_count; i++)
		sched_cancel(o->sched, o->cancels[i], clock_now_us(),
			     wall_ms());
	o->state = OWNER_ACTING;
	o->workers = job_workers_create(n, o->sched);
	o->worker_follow = kv_follow_create(
		n->base, n->kv, n->platform->worker_prefix, WORKER_WATCH_MS,
		WORKER_GATHER_MS, &worker_follow_ops, o);
	sched_stats(o->sched, &st);
	log_event(LOG_INFO, "owner-acting", "epoch=%llu jobs_open=%u",
		  (unsigned long long)o->epoch, st.jobs_open);
	job_owner_kick(o);
}

static void on_progress(void *arg, const struct kv_reply *r)
{
	struct load_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load == o->load && o->state == OWNER_LOADING;
	struct error err;

	end_call(c);
	if (!current)
		return;
	if (r->outcome != KV_OK) {
		load_progress(o);
		return;
	}
	for (size_t i = 0; i < r->count; i++) {
		const struct kv_item *item = &r->items[i];

		if (sched_restore(o->sched, item->key + strlen(JOB_RUN_PREFIX),
				  item->value, item->len, &err) < 0)
			log_event(LOG_ERROR, "progress-refused", "error=\"%s\"",
				  err.message);
		snprintf(o->after, sizeof(o->after), "%s", item->key);
	}
	if (r->more && r->count)
		load_progress(o);
	else
		start_acting(o);
}

static void load_progress(struct job_owner *o)
{
	struct load_call *c = begin_call(o);

	o->node->kv->ops->range(o->node->kv, JOB_RUN_PREFIX, o->after, false,
				on_progress, c);
}

static void on_pairs(void *arg, const struct kv_reply *r)
{
	struct load_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load == o->load && o->sched;

	end_call(c);
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
	struct load_call *c = begin_call(o);

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
		.takeover_wait_ms = LEASE_TTL_MS + RENEW_AFTER_MS,
	};

	o->state = OWNER_LOADING;
	o->load++;
	o->after[0] = '\0';
	o->in_synced = false;
	o->sched = sched_create(&sched_ops, o, &settings, clock_now_us());
	job_owner_apply_config(o);
	load_pairs(o);
	o->in_follow = kv_follow_create(n->base, n->kv, JOB_IN_PREFIX,
					IN_WATCH_MS, 0, &in_follow_ops, o);
}

static void free_commit(struct job_owner *o)
{
	struct commit *c = o->commit;

	if (!c)
		return;
	for (size_t i = 0; i < c->set_count; i++)
		if (c->sets[i].value != c->seq)
			free((void *)c->sets[i].value);
	for (size_t i = 0; i < c->remove_count; i++)
		free(c->removes[i]);
	free(c);
	o->commit = NULL;
}

static void free_names(char ***names, size_t *count)
{
	for (size_t i = 0; i < *count; i++)
		free((*names)[i]);
	free(*names);
	*names = NULL;
	*count = 0;
}

void job_owner_unload(struct job_owner *o)
{
	o->load++;
	kv_follow_free(o->in_follow);
	kv_follow_free(o->worker_follow);
	o->in_follow = NULL;
	o->worker_follow = NULL;
	job_workers_destroy(o->workers);
	o->workers = NULL;
	sched_destroy(o->sched);
	o->sched = NULL;
	o->committing = false;
	free_commit(o);
	free_names(&o->cancels, &o->cancel_count);
	free_names(&o->forgotten, &o->forgotten_count);
}

/* ---- transactions ---- */

static void add_record(void *arg, const char *id, const void *data, size_t len)
{
	struct commit *c = arg;
	struct kv_set *set = &c->sets[c->set_count];
	char *copy = xcalloc(1, len + 1);

	memcpy(copy, data, len);
	snprintf(c->keys[c->set_count], KV_KEY_BYTES, JOB_RUN_PREFIX "%s", id);
	set->key = c->keys[c->set_count];
	set->value = copy;
	set->len = len;
	c->set_count++;
	c->records = true;
}

static void add_remove(struct commit *c, const char *prefix, const char *id,
		       const char *suffix)
{
	char *key = xcalloc(1, KV_KEY_BYTES);

	snprintf(key, KV_KEY_BYTES, "%s%s%s", prefix, id, suffix);
	c->removes[c->remove_count++] = key;
}

static void add_removes(struct job_owner *o, struct commit *c)
{
	while (o->forgotten_count &&
	       c->set_count + c->remove_count + 3 <= COMMIT_RECORDS_MAX) {
		char *id = o->forgotten[--o->forgotten_count];

		add_remove(c, JOB_IN_PREFIX, id, "");
		add_remove(c, JOB_IN_PREFIX, id, JOB_CANCEL_SUFFIX);
		add_remove(c, JOB_RUN_PREFIX, id, "");
		free(id);
	}
}

/* Rides on a transaction that is due anyway. */
static void add_pairs(struct job_owner *o, struct commit *c)
{
	struct kv_set *set = &c->sets[c->set_count];
	struct buffer b = BUFFER_INIT;
	uint64_t now = clock_now_us();

	if (now < o->next_pairs_us)
		return;
	o->next_pairs_us = now + PAIRS_INTERVAL_US;
	sched_pairs_encode(o->sched, &b);
	set->key = JOB_PAIRS_KEY;
	set->value = buffer_detach(&b, &set->len);
	c->set_count++;
}

static struct commit *build_commit(struct job_owner *o)
{
	struct commit *c = xcalloc(1, sizeof(*c));
	size_t len;

	sched_collect(o->sched, COMMIT_RECORDS_MAX, add_record, c);
	add_removes(o, c);
	if (!c->set_count && !c->remove_count) {
		free(c);
		return NULL;
	}
	add_pairs(o, c);
	o->counter++;
	len = (size_t)snprintf(c->seq, sizeof(c->seq), "%llu %llu",
			       (unsigned long long)o->epoch,
			       (unsigned long long)o->counter);
	c->sets[c->set_count].key = JOB_SEQ_KEY;
	c->sets[c->set_count].value = c->seq;
	c->sets[c->set_count].len = len;
	c->set_count++;
	return c;
}

static void commit_done(struct job_owner *o, uint64_t revision)
{
	bool records = o->commit->records;

	o->seq_revision = revision;
	counter_add(o->commits, 1);
	free_commit(o);
	if (records)
		sched_stored(o->sched, true, clock_now_us());
	job_owner_kick(o);
}

/* An answer was lost, or the ownership has passed to another process. */
static void commit_conflict(struct job_owner *o, const struct kv_reply *r)
{
	for (size_t i = 0; i < r->count; i++) {
		const struct kv_item *item = &r->items[i];

		if (strcmp(item->key, JOB_SEQ_KEY) ||
		    strcmp(item->value, o->commit->seq))
			continue;
		commit_done(o, item->revision);
		return;
	}
	log_event(LOG_WARNING, "commit-conflict",
		  "epoch=%llu seq_revision=%llu", (unsigned long long)o->epoch,
		  (unsigned long long)o->seq_revision);
	job_owner_deposed(o);
}

static void on_committed(void *arg, const struct kv_reply *r)
{
	struct load_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load == o->load && o->commit;

	end_call(c);
	if (!current)
		return;
	o->committing = false;
	switch (r->outcome) {
	case KV_OK:
		commit_done(o, r->revision);
		break;
	case KV_CONFLICT:
		commit_conflict(o, r);
		break;
	case KV_UNKNOWN:
		o->next_commit_us = 0;
		job_owner_kick(o);
		break;
	default:
		o->next_commit_us = clock_now_us() + COMMIT_RETRY_US;
		break;
	}
}

static void send_commit(struct job_owner *o)
{
	struct load_call *call = begin_call(o);
	struct commit *c = o->commit;
	struct kv_condition expect[2] = { { JOB_OWNER_KEY, o->revision },
					  { JOB_SEQ_KEY, o->seq_revision } };
	struct kv_txn t = {
		.conditions = expect,
		.condition_count = 2,
		.sets = c->sets,
		.set_count = c->set_count,
		.removes = (const char *const *)c->removes,
		.remove_count = c->remove_count,
	};

	o->committing = true;
	o->node->kv->ops->txn(o->node->kv, &t, on_committed, call);
}

static void log_status(struct job_owner *o, uint64_t now)
{
	struct sched_stats st;

	if (now < o->next_status_us)
		return;
	o->next_status_us = now + STATUS_INTERVAL_US;
	sched_stats(o->sched, &st);
	log_event(LOG_INFO, "owner-status",
		  "epoch=%llu jobs_open=%u tasks_waiting=%u tasks_running=%u "
		  "workers=%u reporting=%u starts=%llu done=%llu failed=%llu "
		  "lost=%llu",
		  (unsigned long long)o->epoch, st.jobs_open, st.tasks_waiting,
		  st.tasks_running, st.workers, st.workers_reporting,
		  (unsigned long long)st.starts,
		  (unsigned long long)st.ends_done,
		  (unsigned long long)st.ends_failed,
		  (unsigned long long)st.tasks_lost);
}

void job_owner_act(struct job_owner *o, uint64_t now)
{
	log_status(o, now);
	sched_tick(o->sched, now, wall_ms());
	if (!o->commit && !o->resigned &&
	    (sched_has_changes(o->sched) || o->forgotten_count))
		o->commit = build_commit(o);
	if (o->commit && !o->committing && now >= o->next_commit_us)
		send_commit(o);
	job_workers_tick(o->workers, now);
}
