#include <stdio.h>
#include <string.h>

#include "pack.h"
#include "sched-internal.h"
#include "sched-lost.h"

/*
 * [format, state, ended_wall_ms, started, next occurrence,
 *  [[number, [task, ...]], ...]]
 * A task is nil if it was never placed, true if it is done, else
 * [run, counts, worker id or nil, checkpoint]. The lower 16 bits of the counts
 * are failures, all that the first versions read; then crashes, suspicions and
 * losses in 5 bits each, whether the worker drains, which 6d44d66 and before
 * leave out, restarts in 5 bits, and the tag of the worker's incarnation.
 * 5960e2e and before write no restarts and no tag.
 * The upper 32 bits of the run, which they ignore, too, are the address tags of
 * the worker and of the one that the last open loss is of.
 *
 * A divided record has the head
 * [format, state, ended_wall_ms, started, next occurrence, [number, ...],
 *  tasks of a block]
 * and blocks [task, ...].
 */
#define RECORD_FORMAT 1
#define RECORD_ELEMENTS 6
#define HEAD_FORMAT 2
#define HEAD_ELEMENTS 7
#define TASK_ELEMENTS 4
#define RECORD_INVALID 2
#define CRASHES_SHIFT 16
#define SUSPICIONS_SHIFT 21
#define LOSSES_SHIFT 26
#define LEAVING_SHIFT 31
#define RESTARTS_SHIFT 32
#define INCARNATION_SHIFT 37
#define ADDRESS_SHIFT 32
#define LOST_ADDRESS_SHIFT 48

static uint64_t pack_run(const struct sched *s, const struct sched_task *t)
{
	uint64_t run = (uint64_t)t->run | (uint64_t)t->lost_address
						  << LOST_ADDRESS_SHIFT;

	if (t->worker != SCHED_NONE)
		run |= (uint64_t)s->workers[t->worker].address_tag
		       << ADDRESS_SHIFT;
	return run;
}

static uint64_t pack_counts(const struct sched_task *t)
{
	uint64_t counts = (uint64_t)t->failures |
			  (uint64_t)t->crashes << CRASHES_SHIFT |
			  (uint64_t)t->suspicions << SUSPICIONS_SHIFT |
			  (uint64_t)t->losses << LOSSES_SHIFT |
			  (uint64_t)t->restarts << RESTARTS_SHIFT;

	if (t->worker != SCHED_NONE)
		counts |= (uint64_t)t->incarnation << INCARNATION_SHIFT |
			  (uint64_t)t->leaving << LEAVING_SHIFT;
	return counts;
}

static void pack_task(msgpack_packer *pk, const struct sched *s,
		      const struct sched_task *t)
{
	if (t->state == TASK_DONE) {
		msgpack_pack_true(pk);
		return;
	}
	if (!t->run) {
		msgpack_pack_nil(pk);
		return;
	}
	msgpack_pack_array(pk, TASK_ELEMENTS);
	msgpack_pack_uint64(pk, pack_run(s, t));
	msgpack_pack_uint64(pk, pack_counts(t));
	if (t->worker == SCHED_NONE)
		msgpack_pack_nil(pk);
	else
		pack_str(pk, s->workers[t->worker].identity->id);
	pack_str(pk, t->checkpoint);
}

void sched_record_encode(const struct sched *s, const struct job *j,
			 struct buffer *out)
{
	uint32_t tasks = job_spec_task_count(&j->spec);
	uint32_t open = 0;
	msgpack_packer pk;

	if (!j->set_aside)
		open = j->open_count + j->parked_count;
	pack_init(&pk, out);
	msgpack_pack_array(&pk, RECORD_ELEMENTS);
	msgpack_pack_uint32(&pk, RECORD_FORMAT);
	msgpack_pack_uint32(&pk, j->state);
	msgpack_pack_uint64(&pk, j->ended_wall_ms);
	msgpack_pack_uint32(&pk, j->started);
	msgpack_pack_uint32(&pk, j->next_occurrence);
	msgpack_pack_array(&pk, open);
	for (uint32_t i = 0; !j->set_aside && i < j->occurrence_count; i++) {
		const struct occurrence *o = &j->occurrences[i];

		if (!o->used)
			continue;
		msgpack_pack_array(&pk, 2);
		msgpack_pack_uint32(&pk, o->number);
		msgpack_pack_array(&pk, tasks);
		for (uint32_t k = 0; k < tasks; k++)
			pack_task(&pk, s, &s->tasks[o->first_task + k]);
	}
	for (uint32_t i = 0; !j->set_aside && i < j->parked_count; i++) {
		msgpack_pack_array(&pk, 2);
		msgpack_pack_uint32(&pk, j->parked[i]);
		msgpack_pack_array(&pk, tasks);
		for (uint32_t k = 0; k < tasks; k++)
			msgpack_pack_nil(&pk);
	}
}

void sched_record_encode_head(const struct job *j, struct buffer *out)
{
	msgpack_packer pk;

	pack_init(&pk, out);
	msgpack_pack_array(&pk, HEAD_ELEMENTS);
	msgpack_pack_uint32(&pk, HEAD_FORMAT);
	msgpack_pack_uint32(&pk, j->state);
	msgpack_pack_uint64(&pk, j->ended_wall_ms);
	msgpack_pack_uint32(&pk, j->started);
	msgpack_pack_uint32(&pk, j->next_occurrence);
	msgpack_pack_array(&pk, j->open_count + j->parked_count);
	for (uint32_t i = 0; i < j->occurrence_count; i++)
		if (j->occurrences[i].used)
			msgpack_pack_uint32(&pk, j->occurrences[i].number);
	for (uint32_t i = 0; i < j->parked_count; i++)
		msgpack_pack_uint32(&pk, j->parked[i]);
	msgpack_pack_uint32(&pk, j->block_tasks);
}

void sched_record_encode_block(const struct sched *s,
			       const struct occurrence *o, uint32_t first,
			       uint32_t end, struct buffer *out)
{
	msgpack_packer pk;

	pack_init(&pk, out);
	msgpack_pack_array(&pk, end - first);
	for (uint32_t i = first; i < end; i++)
		pack_task(&pk, s, &s->tasks[o->first_task + i]);
}

static bool is_uint(const msgpack_object *o)
{
	return o->type == MSGPACK_OBJECT_POSITIVE_INTEGER;
}

static bool restore_worker(struct sched *s, struct sched_task *t,
			   const msgpack_object *o, uint16_t address)
{
	char id[JOB_NAME_BYTES];
	uint32_t worker, run = t->run;

	if (o->type == MSGPACK_OBJECT_NIL)
		return true;
	if (!pack_copy_str(o, id, sizeof(id)))
		return false;
	worker = sched_worker_add(s, id);
	if (!s->workers[worker].address_tag)
		s->workers[worker].address_tag = address;
	sched_task_place(s, t, worker);
	t->run = run;
	t->state = TASK_UNCONFIRMED;
	return true;
}

static uint8_t crash_count(const msgpack_object *counts, unsigned shift)
{
	return (uint8_t)(counts->via.u64 >> shift & SCHED_CRASH_COUNT_MAX);
}

static bool restore_task(struct sched *s, struct job *j, struct occurrence *o,
			 struct sched_task *t, const msgpack_object *obj)
{
	const msgpack_object *e;

	if (obj->type == MSGPACK_OBJECT_NIL)
		return true;
	if (obj->type == MSGPACK_OBJECT_BOOLEAN) {
		t->state = TASK_DONE;
		o->tasks_left[t->step]--;
		return true;
	}
	if (obj->type != MSGPACK_OBJECT_ARRAY ||
	    obj->via.array.size != TASK_ELEMENTS)
		return false;
	e = obj->via.array.ptr;
	if (!is_uint(&e[0]) || !is_uint(&e[1]) ||
	    !pack_copy_str(&e[3], t->checkpoint, sizeof(t->checkpoint)))
		return false;
	t->run = (uint32_t)e[0].via.u64;
	t->failures = (uint16_t)e[1].via.u64;
	t->crashes = crash_count(&e[1], CRASHES_SHIFT);
	t->suspicions = crash_count(&e[1], SUSPICIONS_SHIFT);
	t->losses = crash_count(&e[1], LOSSES_SHIFT);
	t->restarts = crash_count(&e[1], RESTARTS_SHIFT);
	j->has_suspect = j->has_suspect || t->crashes || t->losses;
	if (j->state >= SCHED_JOB_COMPLETED)
		t->state = TASK_DROPPED;
	t->lost_address = (uint16_t)(e[0].via.u64 >> LOST_ADDRESS_SHIFT);
	if (!restore_worker(s, t, &e[2],
			    (uint16_t)(e[0].via.u64 >> ADDRESS_SHIFT)))
		return false;
	t->incarnation = (uint32_t)(e[1].via.u64 >> INCARNATION_SHIFT);
	t->leaving = e[1].via.u64 >> LEAVING_SHIFT & 1;
	sched_lost_inherited(s, t);
	return true;
}

static bool all_nil(const msgpack_object *tasks)
{
	for (uint32_t i = 0; i < tasks->via.array.size; i++)
		if (tasks->via.array.ptr[i].type != MSGPACK_OBJECT_NIL)
			return false;
	return true;
}

static bool restore_occurrence(struct sched *s, struct job *j,
			       const msgpack_object *obj)
{
	uint32_t tasks = job_spec_task_count(&j->spec);
	const msgpack_object *e = obj->via.array.ptr;
	struct occurrence *o;
	uint32_t number;

	if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size != 2 ||
	    !is_uint(&e[0]) || e[1].type != MSGPACK_OBJECT_ARRAY ||
	    e[1].via.array.size != tasks)
		return false;
	number = (uint32_t)e[0].via.u64;
	if (all_nil(&e[1])) {
		sched_park_number(j, number);
		return true;
	}
	sched_begin_occurrence(s, j, number)->touched = true;
	for (uint32_t i = 0; i < tasks; i++) {
		o = sched_find_occurrence(j, number);
		if (!restore_task(s, j, o, &s->tasks[o->first_task + i],
				  &e[1].via.array.ptr[i]))
			return false;
	}
	o = sched_find_occurrence(j, number);
	if (j->state < SCHED_JOB_COMPLETED)
		sched_unblock(s, j, o);
	return true;
}

static bool is_divided(const msgpack_object *o)
{
	return o->via.array.ptr[0].via.u64 == HEAD_FORMAT;
}

static bool valid_head(const msgpack_object *o)
{
	const msgpack_object *e = o->via.array.ptr;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < RECORD_ELEMENTS)
		return false;
	for (int i = 0; i < 5; i++)
		if (!is_uint(&e[i]))
			return false;
	if (is_divided(o) ? o->via.array.size != HEAD_ELEMENTS ||
				    !is_uint(&e[6]) || !e[6].via.u64
			  : e[0].via.u64 != RECORD_FORMAT ||
				    o->via.array.size != RECORD_ELEMENTS)
		return false;
	return e[1].via.u64 <= SCHED_JOB_CANCELLED &&
	       e[5].type == MSGPACK_OBJECT_ARRAY;
}

/* The tasks of occurrences of which some have run follow in the blocks. */
static bool restore_head(struct job *j, const msgpack_object *o)
{
	const msgpack_object *e = o->via.array.ptr;

	j->block_tasks = (uint32_t)e[6].via.u64;
	for (uint32_t i = 0; i < e[5].via.array.size; i++) {
		if (!is_uint(&e[5].via.array.ptr[i]))
			return false;
		sched_park_number(j, (uint32_t)e[5].via.array.ptr[i].via.u64);
	}
	return true;
}

static bool restore(struct sched *s, struct job *j, const msgpack_object *o)
{
	const msgpack_object *e = o->via.array.ptr;

	if (!valid_head(o))
		return false;
	j->restored = true;
	j->state = (enum sched_job_state)e[1].via.u64;
	j->ended_wall_ms = e[2].via.u64;
	j->started = e[3].via.u64 != 0;
	j->next_occurrence = (uint32_t)e[4].via.u64;
	if (j->state >= SCHED_JOB_COMPLETED)
		s->stats.jobs_open--;
	if (is_divided(o))
		return restore_head(j, o);
	j->block_tasks = 0;
	for (uint32_t i = 0; i < e[5].via.array.size; i++)
		if (!restore_occurrence(s, j, &e[5].via.array.ptr[i]))
			return false;
	return true;
}

static bool restore_block_tasks(struct sched *s, struct job *j, uint32_t number,
				uint32_t block, const msgpack_object *obj)
{
	uint32_t first = block * j->block_tasks;
	uint32_t count = job_spec_task_count(&j->spec) - first;
	struct occurrence *o;

	if (count > j->block_tasks)
		count = j->block_tasks;
	if (obj->type != MSGPACK_OBJECT_ARRAY || obj->via.array.size != count)
		return false;
	for (uint32_t i = 0; i < count; i++) {
		o = sched_find_occurrence(j, number);
		if (!restore_task(s, j, o, &s->tasks[o->first_task + first + i],
				  &obj->via.array.ptr[i]))
			return false;
	}
	return true;
}

static int restore_block(struct sched *s, struct job *j, const char *name,
			 const void *data, size_t len, struct error *err)
{
	unsigned number, block;
	msgpack_unpacked u;
	int ret = 0;

	if (sscanf(name, "%*[^/]/%u/%u", &number, &block) != 2)
		return error_set(err, ERROR_LAYER_CORE, RECORD_INVALID,
				 "progress record %s has a malformed name",
				 name);
	if (!j->block_tasks || block >= sched_block_count(j))
		return 1;
	if (sched_unpark_number(j, number))
		sched_begin_occurrence(s, j, number)->touched = true;
	if (!sched_find_occurrence(j, number))
		return 1;
	if (!pack_unpack(&u, data, len) ||
	    !restore_block_tasks(s, j, number, block, &u.data))
		ret = error_set(err, ERROR_LAYER_CORE, RECORD_INVALID,
				"progress record %s is malformed", name);
	msgpack_unpacked_destroy(&u);
	sched_block_restored(sched_find_occurrence(j, number), block, data,
			     len);
	return ret;
}

static int restore_record(struct sched *s, struct job *j, const void *data,
			  size_t len, struct error *err)
{
	msgpack_unpacked u;
	int ret = 0;

	if (!pack_unpack(&u, data, len) || !restore(s, j, &u.data))
		ret = error_set(err, ERROR_LAYER_CORE, RECORD_INVALID,
				"progress record of job %s is malformed",
				j->spec.id);
	msgpack_unpacked_destroy(&u);
	return ret;
}

int sched_restore(struct sched *s, const char *name, const void *data,
		  size_t len, struct error *err)
{
	const char *slash = strchr(name, '/');
	char id[JOB_ID_BYTES];
	struct job *j;
	int ret;

	snprintf(id, sizeof(id), "%.*s",
		 slash ? (int)(slash - name) : JOB_ID_CHARS, name);
	j = sched_job_find(s, id);
	if (!j)
		return error_set(err, ERROR_LAYER_CORE, RECORD_INVALID,
				 "progress record of unknown job %s", name);
	ret = slash ? restore_block(s, j, name, data, len, err)
		    : restore_record(s, j, data, len, err);
	sched_clear_dirty(s, j);
	s->attempts_unchecked = true;
	return ret;
}

int sched_record_state(const void *data, size_t len,
		       enum sched_job_state *state)
{
	msgpack_unpacked u;
	int ret = -1;

	if (pack_unpack(&u, data, len) && valid_head(&u.data)) {
		*state = (enum sched_job_state)u.data.via.array.ptr[1].via.u64;
		ret = 0;
	}
	msgpack_unpacked_destroy(&u);
	return ret;
}

bool sched_record_ended(const void *data, size_t len,
			enum sched_job_state *state, uint64_t *ended_wall_ms)
{
	msgpack_unpacked u;
	bool ended = false;

	if (pack_unpack(&u, data, len) && valid_head(&u.data)) {
		const msgpack_object *e = u.data.via.array.ptr;

		*state = (enum sched_job_state)e[1].via.u64;
		*ended_wall_ms = e[2].via.u64;
		ended = *state >= SCHED_JOB_COMPLETED && !e[5].via.array.size;
	}
	msgpack_unpacked_destroy(&u);
	return ended;
}
