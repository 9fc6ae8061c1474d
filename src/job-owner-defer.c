#include <stdio.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-owner-internal.h"
#include "log.h"

/*
 * Load pattern: callers submit jobs faster than they can end, for minutes, or
 * far more were stored than the owner has memory for, as by an earlier version
 * or while there was no owner.
 *
 * From [jobs] memory on submissions are refused at all entry VMs. Above a
 * higher limit the owner reads no further jobs from the store, but keeps their
 * ids until other jobs are over. Jobs with progress are always read: their
 * tasks may run, and a predecessor had memory for them.
 */

/* Submissions are accepted again below this part of the limit. */
#define ACCEPT_NUMERATOR 3u
#define ACCEPT_DENOMINATOR 4u
/* Jobs are deferred from here on: some are accepted until all VMs know. */
#define DEFER_NUMERATOR 4u
#define DEFER_DENOMINATOR 3u
/* Jobs that are read at a time. */
#define READS_MAX 8u
#define READ_RETRY_US 100000u

static uint64_t limit(const struct job_owner *o)
{
	return o->node->settings->jobs.memory_bytes;
}

/* ---- refusal of submissions ---- */

static bool computed_full(const struct job_owner *o)
{
	uint64_t bytes = sched_jobs_bytes(o->sched);

	if (o->deferred.count)
		return true;
	return o->full_stored ? bytes >= limit(o) / ACCEPT_DENOMINATOR *
						 ACCEPT_NUMERATOR
			      : bytes >= limit(o);
}

bool job_owner_full(const struct job_owner *o)
{
	return o->state == OWNER_ACTIVE ? computed_full(o) : o->full;
}

bool job_owner_full_changed(const struct job_owner *o)
{
	/* While the limit is lowered, a transaction has records alone. */
	return o->limit.records == o->limit.full &&
	       computed_full(o) != o->full_stored;
}

bool job_owner_full_add(struct job_owner *o, struct commit *c)
{
	struct kv_set *set = &c->sets[c->set_count];
	struct sched_stats st;

	if (!job_owner_full_changed(o))
		return false;
	o->full_stored = !o->full_stored;
	sched_stats(o->sched, &st);
	log_event(LOG_WARNING,
		  o->full_stored ? "submissions-stopped"
				 : "submissions-resumed",
		  "epoch=%llu jobs_open=%u jobs_kb=%llu deferred=%u",
		  (unsigned long long)o->epoch, st.jobs_open,
		  (unsigned long long)st.jobs_bytes / 1000, o->deferred.count);
	set->key = JOB_FULL_KEY;
	set->value = xstrdup(o->full_stored ? "1" : "0");
	set->len = 1;
	c->set_count++;
	return true;
}

void job_owner_full_item(struct job_owner *o, const struct kv_item *item)
{
	o->full = !item->deleted && item->len && item->value[0] == '1';
	o->full_unseen = false;
}

/* ---- jobs that are not read yet ---- */

bool job_owner_defer(struct job_owner *o, const struct job_spec *spec)
{
	bool over = sched_jobs_bytes(o->sched) >=
		    limit(o) / DEFER_DENOMINATOR * DEFER_NUMERATOR;

	if (sched_has_job(o->sched, spec->id) ||
	    (!over && !job_deferred_contains(&o->deferred, spec->id)))
		return false;
	job_deferred_add(&o->deferred, spec->id, spec->queue);
	return true;
}

bool job_owner_defer_record(struct job_owner *o, const struct kv_item *item)
{
	const char *name = item->key + strlen(JOB_PROGRESS_PREFIX), *queue;
	enum sched_job_state state;
	uint64_t ended_wall_ms;
	char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%.*s", JOB_ID_CHARS, name);
	queue = job_deferred_queue(&o->deferred, id);
	if (!queue)
		return false;
	if (!strcmp(name, id) && sched_record_ended(item->value, item->len,
						    &state, &ended_wall_ms)) {
		sched_ended_add(o->sched, id, queue, state, ended_wall_ms);
		job_deferred_remove(&o->deferred, id);
	} else {
		job_deferred_set_due(&o->deferred, id);
	}
	return true;
}

static void on_drop(void *arg, const char *id, const char *queue)
{
	struct job_owner *o = arg;

	job_deferred_add(&o->deferred, id, queue);
}

/* Returns whether the call concerns the present load. */
static bool end_call(struct owner_store_call *c, char id[JOB_ID_BYTES])
{
	bool current = c->load_generation == c->owner->load_generation &&
		       c->owner->sched;

	memcpy(id, c->id, JOB_ID_BYTES);
	owner_store_call_end(c);
	return current;
}

static void end_read(struct job_owner *o, const char *id, bool done)
{
	o->deferred_reads--;
	if (done)
		job_deferred_remove(&o->deferred, id);
	else
		job_deferred_set_taken(&o->deferred, id, false);
	if (!done)
		o->next_deferred_us = clock_now_us() + READ_RETRY_US;
	if (o->state == OWNER_LOADING)
		job_owner_read_deferred(o);
	else
		job_owner_schedule_tick(o);
}

static void read_progress(struct job_owner *o, const char *id,
			  const char *after);

static void on_progress(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	char id[JOB_ID_BYTES], cursor[KV_KEY_BYTES];

	snprintf(cursor, sizeof(cursor), "%s", c->after);
	if (!end_call(c, id))
		return;
	if (r->outcome != KV_OK) {
		read_progress(o, id, cursor);
		return;
	}
	for (size_t i = 0; i < r->count; i++) {
		job_owner_restore(o, &r->items[i]);
		snprintf(cursor, sizeof(cursor), "%s", r->items[i].key);
	}
	if (r->last_key)
		snprintf(cursor, sizeof(cursor), "%s", r->last_key);
	if (r->more && (r->count || r->last_key))
		read_progress(o, id, cursor);
	else
		end_read(o, id, true);
}

static void read_progress(struct job_owner *o, const char *id,
			  const char *after)
{
	struct owner_store_call *c = owner_store_call_begin(o);
	char prefix[KV_KEY_BYTES];

	memcpy(c->id, id, JOB_ID_BYTES);
	snprintf(c->after, sizeof(c->after), "%s", after);
	snprintf(prefix, sizeof(prefix), JOB_PROGRESS_PREFIX "%s", id);
	o->node->kv->ops->range(o->node->kv, prefix, after, false, on_progress,
				c);
}

static void on_spec(void *arg, const struct kv_reply *r)
{
	struct owner_store_call *c = arg;
	struct job_owner *o = c->owner;
	char id[JOB_ID_BYTES];

	if (!end_call(c, id))
		return;
	if (r->outcome != KV_OK || !r->count) {
		end_read(o, id, r->outcome == KV_NOT_FOUND);
		return;
	}
	job_owner_submit(o, &r->items[0]);
	if (o->state == OWNER_LOADING)
		read_progress(o, id, "");
	else
		end_read(o, id, true);
}

static void read_job(struct job_owner *o, const char *id)
{
	struct owner_store_call *c = owner_store_call_begin(o);
	char key[KV_KEY_BYTES];

	memcpy(c->id, id, JOB_ID_BYTES);
	o->deferred_reads++;
	job_deferred_set_taken(&o->deferred, c->id, true);
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s", c->id);
	o->node->kv->ops->get(o->node->kv, key, on_spec, c);
}

static bool has_room(const struct job_owner *o)
{
	return sched_jobs_bytes(o->sched) < limit(o);
}

void job_owner_read_deferred(struct job_owner *o)
{
	const char *id = NULL;

	if (clock_now_us() < o->next_deferred_us)
		return;
	while (o->deferred_reads < READS_MAX) {
		if (o->deferred.due)
			id = job_deferred_next(&o->deferred, true);
		if (!id && o->state == OWNER_ACTIVE && has_room(o))
			id = job_deferred_next(&o->deferred, false);
		if (!id)
			break;
		read_job(o, id);
		id = NULL;
	}
	if (o->state == OWNER_LOADING && !o->deferred.due)
		job_owner_loaded(o);
}

void job_owner_end_load(struct job_owner *o)
{
	if (o->deferred.due)
		sched_drop_unread(o->sched, on_drop, o);
	if (o->deferred.count)
		log_event(LOG_WARNING, "jobs-deferred",
			  "epoch=%llu jobs=%u to_read=%u",
			  (unsigned long long)o->epoch, o->deferred.count,
			  o->deferred.due);
	o->deferred_load = true;
	job_owner_read_deferred(o);
}

uint32_t job_owner_waiting_jobs(struct job_owner *o, const char *queue)
{
	return sched_waiting_jobs(o->sched, queue) +
	       job_deferred_waiting(&o->deferred, queue);
}
