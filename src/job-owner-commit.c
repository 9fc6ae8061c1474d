#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "job-owner-internal.h"
#include "log.h"

void job_owner_free_commit(struct job_owner *o)
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

static void add_record(void *arg, const char *id, const void *data, size_t len)
{
	struct commit *c = arg;
	struct kv_set *set = &c->sets[c->set_count];
	char *copy = xcalloc(1, len + 1);

	memcpy(copy, data, len);
	snprintf(c->keys[c->set_count], KV_KEY_BYTES, JOB_PROGRESS_PREFIX "%s",
		 id);
	set->key = c->keys[c->set_count];
	set->value = copy;
	set->len = len;
	c->set_count++;
	c->record_count++;
}

static void add_remove(struct commit *c, const char *prefix, const char *id,
		       const char *suffix)
{
	char *key = xcalloc(1, KV_KEY_BYTES);

	snprintf(key, KV_KEY_BYTES, "%s%s%s", prefix, id, suffix);
	c->removes[c->remove_count++] = key;
}

/* The blocks of a job are removed before the job, which names them. */
static void add_removes(struct job_owner *o, struct commit *c)
{
	while (c->stale_count < o->stale_record_count &&
	       c->set_count + c->remove_count < COMMIT_RECORDS_MAX)
		add_remove(c, JOB_PROGRESS_PREFIX,
			   o->stale_records[c->stale_count++], "");
	if (c->stale_count < o->stale_record_count)
		return;
	while (c->expired_count < o->expired_job_count &&
	       c->set_count + c->remove_count + 3 <= COMMIT_RECORDS_MAX) {
		const char *id = o->expired_jobs[c->expired_count++];

		add_remove(c, JOB_SPEC_PREFIX, id, "");
		add_remove(c, JOB_SPEC_PREFIX, id, JOB_CANCEL_SUFFIX);
		add_remove(c, JOB_PROGRESS_PREFIX, id, "");
	}
}

/* The model is stored only along with other changes. */
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

static struct commit *build(struct job_owner *o, bool silent, uint64_t now)
{
	struct commit *c = xcalloc(1, sizeof(*c));
	size_t len;

	c->built_us = now;
	if (o->limit.records)
		sched_collect(o->sched, o->limit.records, add_record, c);
	if (o->limit.records == o->limit.full)
		add_removes(o, c);
	/* Without records it shows whether the store rejects everything. */
	if (!c->set_count && !c->remove_count && !silent && o->limit.records &&
	    !job_owner_full_changed(o)) {
		free(c);
		return NULL;
	}
	if (silent)
		job_owner_silent_add(o, c, now);
	/* They share an entry of the transaction. */
	if (o->limit.records == o->limit.full && !job_owner_full_add(o, c) &&
	    !job_owner_summary_add(o, c, now))
		add_pairs(o, c);
	o->txn_count++;
	len = (size_t)snprintf(c->seq, sizeof(c->seq), "%llu %llu",
			       (unsigned long long)o->epoch,
			       (unsigned long long)o->txn_count);
	c->sets[c->set_count].key = JOB_SEQ_KEY;
	c->sets[c->set_count].value = c->seq;
	c->sets[c->set_count].len = len;
	c->set_count++;
	return c;
}

void job_owner_build_commit(struct job_owner *o, bool silent, uint64_t now)
{
	o->commit = build(o, silent, now);
}

void job_owner_begin_handover(struct job_owner *o, uint64_t now)
{
	o->handover_us = now;
	job_owner_build_commit(o, true, now);
}

static void set_aside(struct job_owner *o, const char *record)
{
	char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%.*s", JOB_ID_CHARS, record);
	counter_add(o->jobs_set_aside, 1);
	log_event(LOG_ERROR, "job-set-aside",
		  "job=%s reason=\"the store rejects its progress record\"",
		  id);
	sched_set_aside(o->sched, id, clock_now_us());
}

static void commit_done(struct job_owner *o, uint64_t revision)
{
	size_t records = o->commit->record_count;
	char name[COMMIT_LIMIT_NAME_BYTES];

	o->seq_revision = revision;
	o->committed_us = clock_now_us();
	counter_add(o->commits, 1);
	if (o->commit->has_silent)
		job_owner_silent_stored(o, o->commit);
	job_owner_stale_removed(o, o->commit->stale_count);
	job_owner_expired_removed(o, o->commit->expired_count, revision);
	job_owner_free_commit(o);
	o->commit_copies = 0;
	if (records)
		sched_stored(o->sched, true, clock_now_us());
	if (commit_limit_stored(&o->limit, (uint32_t)records, name))
		set_aside(o, name);
	job_owner_schedule_tick(o);
}

/* The next transaction has fewer records, see commit-limit.h. */
static void commit_rejected(struct job_owner *o)
{
	struct commit *c = o->commit;
	size_t records = c->record_count;

	counter_add(o->commits_rejected, 1);
	log_event(LOG_WARNING, "commit-rejected",
		  "epoch=%llu txn=%llu records=%zu first=%s",
		  (unsigned long long)o->epoch,
		  (unsigned long long)o->txn_count, records,
		  records ? c->keys[0] + strlen(JOB_PROGRESS_PREFIX) : "-");
	commit_limit_rejected(&o->limit, (uint32_t)records,
			      c->keys[0] + strlen(JOB_PROGRESS_PREFIX));
	if (records)
		sched_stored(o->sched, false, clock_now_us());
	if (c->has_silent)
		o->next_record_us = 0;
	job_owner_free_commit(o);
	o->next_commit_us = records ? 0 : clock_now_us() + COMMIT_RETRY_US;
	job_owner_schedule_tick(o);
}

/* The reply to an earlier attempt was lost, or another process is owner. */
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
	job_owner_ownership_lost(o);
}

static void log_unanswered(const struct job_owner *o)
{
	log_event(LOG_INFO, "commit-unanswered",
		  "epoch=%llu txn=%llu silent=%d age_ms=%llu",
		  (unsigned long long)o->epoch,
		  (unsigned long long)o->txn_count, o->commit->has_silent,
		  (unsigned long long)(clock_now_us() - o->commit->built_us) /
			  1000);
}

static void on_committed(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	bool current = c->load_generation == o->load_generation && o->commit &&
		       c->txn == o->txn_count;

	owner_store_call_end(c);
	if (!current)
		return;
	o->commit_copies--;
	switch (r->outcome) {
	case KV_OK:
		commit_done(o, r->revision);
		break;
	case KV_CONFLICT:
		commit_conflict(o, r);
		break;
	case KV_REJECTED:
		/* Another copy may have been stored. */
		if (!o->commit_copies)
			commit_rejected(o);
		break;
	case KV_UNKNOWN:
		log_unanswered(o);
		o->next_commit_us = 0;
		job_owner_schedule_tick(o);
		break;
	default:
		o->next_commit_us = clock_now_us() + COMMIT_RETRY_US;
		break;
	}
}

bool job_owner_commit_due(const struct job_owner *o, uint64_t now)
{
	if (!o->commit || now < o->next_commit_us)
		return false;
	return !o->commit_copies ||
	       (o->commit_repeat && o->commit_copies < COMMIT_COPIES_MAX);
}

void job_owner_send_commit(struct job_owner *o)
{
	static const struct timeval repeat = { 0, COMMIT_REPEAT_US };
	struct owner_store_call *call = owner_store_call_begin(o);
	struct commit *c = o->commit;
	struct kv_condition expect[2] = { { JOB_OWNER_KEY,
					    o->ownership_revision },
					  { JOB_SEQ_KEY, o->seq_revision } };
	struct kv_txn t = {
		.conditions = expect,
		.condition_count = 2,
		.sets = c->sets,
		.set_count = c->set_count,
		.removes = (const char *const *)c->removes,
		.remove_count = c->remove_count,
	};

	call->txn = o->txn_count;
	o->commit_copies++;
	o->commit_repeat = false;
	evtimer_add(o->repeat_timer, &repeat);
	o->node->kv->ops->txn(o->node->kv, &t, on_committed, call);
}
