#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "support-place.h"

static int append(void *arg, const void *data, size_t len, uint64_t token,
		  bool later)
{
	struct shard_owner *o = arg;
	struct shard *s = o->shard;
	struct shard_entry *e;

	(void)later;
	if (o->epoch != s->epoch || s->log_full)
		return -1;
	if (s->count == s->capacity) {
		s->capacity = s->capacity ? 2 * s->capacity : 64;
		s->entries =
			xrealloc(s->entries, s->capacity * sizeof(*s->entries));
	}
	e = &s->entries[s->count++];
	e->data = xcalloc(1, len + 1);
	memcpy(e->data, data, len);
	e->len = len;
	e->token = token;
	return 0;
}

static void begin_epoch(struct shard *s);

static const struct oplog_client_ops *log_ops(struct shard *s)
{
	return place_oplog_client(s->place)->ops;
}

void shard_init(struct shard *s, enum settings_placement policy)
{
	memset(s, 0, sizeof(*s));
	s->options.policy = policy;
	s->options.outage_horizon_us = SHARD_OUTAGE_HORIZON_US;
	s->options.seed = 1;
	s->options.append = append;
	s->now_us = 1000000000u;
	begin_epoch(s);
	log_ops(s)->owned(s->place, s->epoch, s->now_us);
}

/* Creates the core of the next epoch and makes it the owner. */
static void begin_epoch(struct shard *s)
{
	struct shard_owner *o = xcalloc(1, sizeof(*o));

	o->shard = s;
	o->epoch = ++s->epoch;
	o->last_append_us = s->now_us;
	s->options.append_arg = o;
	o->place = place_create(&s->options);
	s->owner = o;
	s->place = o->place;
	log_ops(s)->reset(s->place);
}

void shard_owner_free(struct shard_owner *o)
{
	place_destroy(o->place);
	free(o);
}

static void discard_entries(struct shard *s, size_t from)
{
	for (size_t i = from; i < s->count; i++)
		free(s->entries[i].data);
	s->count = from;
	if (s->durable > from)
		s->durable = from;
}

void shard_free(struct shard *s)
{
	shard_owner_free(s->owner);
	discard_entries(s, 0);
	free(s->entries);
}

void shard_commit(struct shard *s, size_t n)
{
	while (n-- && s->durable < s->count) {
		uint64_t token = s->entries[s->durable++].token;

		s->owner->last_append_us = s->now_us;
		log_ops(s)->committed(s->place, token, s->now_us);
	}
}

void shard_replace_owner(struct shard *s, bool through_snapshot)
{
	shard_owner_free(shard_take_over(s, through_snapshot));
}

struct shard_owner *shard_take_over(struct shard *s, bool through_snapshot)
{
	struct buffer snapshot = BUFFER_INIT;
	struct shard_owner *old = s->owner;
	int failed = 0;

	discard_entries(s, s->durable);
	begin_epoch(s);
	for (size_t i = 0; i < s->durable; i++)
		failed |= log_ops(s)->replay(s->place, s->entries[i].data,
					     s->entries[i].len);
	if (through_snapshot) {
		log_ops(s)->snapshot(s->place, &snapshot);
		log_ops(s)->reset(s->place);
		failed |= log_ops(s)->restore(s->place, snapshot.data,
					      snapshot.len);
		buffer_free(&snapshot);
	}
	if (failed) {
		fprintf(stderr, "cannot replay the shard's log\n");
		abort();
	}
	log_ops(s)->owned(s->place, s->epoch, s->now_us);
	return old;
}

void shard_step(struct shard *s, const struct place_event *e)
{
	place_step(s->place, s->now_us, e);
}

void shard_tick(struct shard *s, uint64_t us)
{
	struct place_event e = { .type = PLACE_TICK };

	s->now_us += us;
	e.at_us = s->owner->last_append_us;
	shard_step(s, &e);
}

bool shard_next_action(struct shard *s, enum place_action_type type,
		       struct place_action *out)
{
	while (place_next_action(s->place, out))
		if (out->type == type)
			return true;
	return false;
}

void shard_add_worker(struct shard *s, const char *id, uint32_t cpu,
		      uint32_t memory)
{
	struct place_event e = { .type = PLACE_WORKER,
				 .id = id,
				 .rack = "rack1",
				 .cpu_milli = cpu,
				 .memory_mb = memory };

	shard_step(s, &e);
}

void shard_create_placement(struct shard *s, const char *id, uint32_t count,
			    uint32_t cpu, uint32_t memory)
{
	struct placement_spec spec = { .user = "u",
				       .team = "t",
				       .kind = "batch",
				       .urgency = URGENCY_NORMAL,
				       .count = count,
				       .cpu_milli = cpu,
				       .memory_mb = memory,
				       .yields = true };
	struct place_event e = { .type = PLACE_CREATE, .placement = &spec };

	snprintf(spec.id, sizeof(spec.id), "%s", id);
	shard_step(s, &e);
}

void shard_respond(struct shard *s, enum place_event_type type,
		   const struct place_action *a, enum place_result result)
{
	struct place_event e = { .type = type,
				 .id = a->task,
				 .worker = a->worker,
				 .attempt = a->attempt,
				 .result = result,
				 .at_us = s->now_us };

	if (type == PLACE_READ_TASKS_RESULT || type == PLACE_RENEW_RESULT)
		e.id = a->worker;
	shard_step(s, &e);
}

void shard_respond_to_reads(struct shard *s)
{
	struct place_action a;

	while (shard_next_action(s, PLACE_READ_TASKS, &a))
		shard_respond(s, PLACE_READ_TASKS_RESULT, &a, PLACE_RESULT_OK);
}

enum task_state shard_task_state(struct shard *s, const char *task)
{
	struct place_task_view v;

	if (!place_view_task(s->place, task, &v)) {
		fprintf(stderr, "unknown task %s\n", task);
		abort();
	}
	return v.state;
}
