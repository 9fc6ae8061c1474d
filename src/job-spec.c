#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "job-spec.h"
#include "pack.h"

/* Elements of the stored arrays. */
#define JOB_ELEMENTS 10
#define POLICY_ELEMENTS 5
#define STEP_ELEMENTS 13

enum step_flag {
	STEP_CHECKPOINTS = 1,
	STEP_GANG = 2,
	STEP_SAME_RACK = 4,
	STEP_SPECULATIVE = 8,
	STEP_LONG_RUNNING = 16,
	STEP_BEST_EFFORT = 32,
};

static int invalid(struct error *err, const char *why)
{
	return error_set(err, ERROR_LAYER_CORE, JOB_SPEC_INVALID, "%s", why);
}

bool job_id_valid(const char *id)
{
	size_t n = 0;

	for (; id[n]; n++)
		if (n == JOB_ID_CHARS || !isxdigit((unsigned char)id[n]))
			return false;
	return n == JOB_ID_CHARS;
}

static int check_step(const struct job_spec *s, uint32_t i, struct error *err)
{
	const struct job_step *step = &s->steps[i];

	if (!step->count || step->count > JOB_TASKS_MAX)
		return invalid(err, "the task count of a step is out of range");
	if (step->depends_on >> i)
		return invalid(err, "a step depends on itself or a later step");
	if (step->long_running && s->repetitions)
		return invalid(err, "a scheduled job has a long-running step");
	return 0;
}

int job_spec_check(const struct job_spec *s, struct error *err)
{
	uint64_t tasks = 0;

	if (!job_id_valid(s->id))
		return invalid(err, "the id is not 16 hexadecimal digits");
	if (strlen(s->text) > JOB_TEXT_MAX_BYTES)
		return invalid(err, "the specification is too long");
	if (!s->step_count || s->step_count > JOB_STEPS_MAX)
		return invalid(err, "the number of steps is out of range");
	if (s->repetitions > JOB_REPETITIONS_MAX)
		return invalid(err, "too many repetitions");
	if (s->repetitions > 1 && !s->interval_ms)
		return invalid(err, "repetitions without an interval");
	for (uint32_t i = 0; i < s->step_count; i++) {
		if (check_step(s, i, err) < 0)
			return -1;
		tasks += s->steps[i].count;
	}
	if (tasks > JOB_TASKS_MAX)
		return invalid(err, "too many tasks");
	return 0;
}

uint32_t job_spec_task_count(const struct job_spec *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->step_count; i++)
		n += s->steps[i].count;
	return n;
}

bool job_spec_long_running(const struct job_spec *s)
{
	for (uint32_t i = 0; i < s->step_count; i++)
		if (s->steps[i].long_running)
			return true;
	return false;
}

uint32_t job_spec_critical_path_ms(const struct job_spec *s)
{
	uint32_t ends[JOB_STEPS_MAX] = { 0 };
	uint32_t longest = 0;

	for (uint32_t i = 0; i < s->step_count; i++) {
		uint32_t begin = 0;

		for (uint32_t j = 0; j < i; j++)
			if (s->steps[i].depends_on >> j & 1 && ends[j] > begin)
				begin = ends[j];
		ends[i] = begin + s->steps[i].estimate_ms;
		if (ends[i] > longest)
			longest = ends[i];
	}
	return longest;
}

static uint64_t step_flags(const struct job_step *step)
{
	return (step->checkpoints ? STEP_CHECKPOINTS : 0) |
	       (step->gang ? STEP_GANG : 0) |
	       (step->same_rack ? STEP_SAME_RACK : 0) |
	       (step->speculative ? STEP_SPECULATIVE : 0) |
	       (step->long_running ? STEP_LONG_RUNNING : 0) |
	       (step->best_effort ? STEP_BEST_EFFORT : 0);
}

static void pack_step(msgpack_packer *pk, const struct job_step *step)
{
	msgpack_pack_array(pk, STEP_ELEMENTS);
	msgpack_pack_uint32(pk, step->count);
	msgpack_pack_uint32(pk, step->demand.cpu_milli);
	msgpack_pack_uint32(pk, step->demand.memory_mb);
	msgpack_pack_uint32(pk, step->demand.accelerators);
	msgpack_pack_uint32(pk, step->estimate_ms);
	msgpack_pack_uint32(pk, step->target_ms);
	msgpack_pack_uint32(pk, step->max_unavailable);
	msgpack_pack_uint32(pk, step->per_worker_max);
	msgpack_pack_uint64(pk, step->depends_on);
	msgpack_pack_uint64(pk, step_flags(step));
	pack_str(pk, step->label);
	pack_str(pk, step->rack);
	pack_str(pk, step->image);
}

static void pack_policy(msgpack_packer *pk, const struct queue_policy *p)
{
	msgpack_pack_array(pk, POLICY_ELEMENTS);
	pack_str(pk, p->service);
	msgpack_pack_uint32(pk, p->priority);
	msgpack_pack_uint32(pk, p->attempts_max);
	msgpack_pack_double(pk, p->stretch);
	msgpack_pack_uint32(pk, p->target_latency_ms);
}

void job_spec_encode(const struct job_spec *s, struct buffer *out)
{
	msgpack_packer pk;

	pack_init(&pk, out);
	msgpack_pack_array(&pk, JOB_ELEMENTS);
	msgpack_pack_uint32(&pk, JOB_SPEC_FORMAT);
	pack_str(&pk, s->id);
	pack_str(&pk, s->queue);
	msgpack_pack_uint64(&pk, s->accepted_wall_ms);
	pack_str(&pk, s->text);
	msgpack_pack_uint32(&pk, s->repetitions);
	msgpack_pack_uint64(&pk, s->first_wall_ms);
	msgpack_pack_uint64(&pk, s->interval_ms);
	msgpack_pack_array(&pk, s->step_count);
	for (uint32_t i = 0; i < s->step_count; i++)
		pack_step(&pk, &s->steps[i]);
	pack_policy(&pk, &s->policy);
}

/* Reads the elements of an array in sequence; failed is sticky. */
struct reader {
	const msgpack_object *next;
	uint32_t left;
	bool failed;
};

static const msgpack_object *next_element(struct reader *r,
					  msgpack_object_type type)
{
	if (r->failed || !r->left || r->next->type != type) {
		r->failed = true;
		return NULL;
	}
	r->left--;
	return r->next++;
}

static uint64_t read_u64(struct reader *r)
{
	const msgpack_object *o =
		next_element(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	return o ? o->via.u64 : 0;
}

static uint32_t read_u32(struct reader *r)
{
	uint64_t n = read_u64(r);

	if (n > UINT32_MAX)
		r->failed = true;
	return (uint32_t)n;
}

static void read_name(struct reader *r, char *out, size_t size)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);

	if (!o || !pack_copy_str(o, out, size))
		r->failed = true;
}

static double read_double(struct reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_FLOAT64);

	return o ? o->via.f64 : 0;
}

static char *read_text(struct reader *r)
{
	const msgpack_object *o = next_element(r, MSGPACK_OBJECT_STR);
	char *text = xcalloc(1, o ? o->via.str.size + 1 : 1);

	if (o)
		memcpy(text, o->via.str.ptr, o->via.str.size);
	return text;
}

static struct reader read_array(const msgpack_object *o)
{
	struct reader r = { .failed = true };

	if (o && o->type == MSGPACK_OBJECT_ARRAY) {
		r.next = o->via.array.ptr;
		r.left = o->via.array.size;
		r.failed = false;
	}
	return r;
}

static bool read_step(const msgpack_object *o, struct job_step *step)
{
	struct reader r = read_array(o);
	uint64_t flags;

	step->count = read_u32(&r);
	step->demand.cpu_milli = read_u32(&r);
	step->demand.memory_mb = read_u32(&r);
	step->demand.accelerators = read_u32(&r);
	step->estimate_ms = read_u32(&r);
	step->target_ms = read_u32(&r);
	step->max_unavailable = read_u32(&r);
	step->per_worker_max = read_u32(&r);
	step->depends_on = read_u64(&r);
	flags = read_u64(&r);
	read_name(&r, step->label, sizeof(step->label));
	read_name(&r, step->rack, sizeof(step->rack));
	read_name(&r, step->image, sizeof(step->image));
	step->checkpoints = flags & STEP_CHECKPOINTS;
	step->gang = flags & STEP_GANG;
	step->same_rack = flags & STEP_SAME_RACK;
	step->speculative = flags & STEP_SPECULATIVE;
	step->long_running = flags & STEP_LONG_RUNNING;
	step->best_effort = flags & STEP_BEST_EFFORT;
	return !r.failed;
}

static bool read_policy(const msgpack_object *o, struct queue_policy *p)
{
	struct reader r = read_array(o);

	read_name(&r, p->service, sizeof(p->service));
	p->priority = read_u32(&r);
	p->attempts_max = read_u32(&r);
	p->stretch = read_double(&r);
	p->target_latency_ms = read_u32(&r);
	return !r.failed;
}

static int read_job(struct job_spec *s, const msgpack_object *o,
		    struct error *err)
{
	struct reader r = read_array(o);
	const msgpack_object *steps;

	if (read_u32(&r) != JOB_SPEC_FORMAT)
		return invalid(err, "a stored job has an unknown format");
	read_name(&r, s->id, sizeof(s->id));
	read_name(&r, s->queue, sizeof(s->queue));
	s->accepted_wall_ms = read_u64(&r);
	s->text = read_text(&r);
	s->repetitions = read_u32(&r);
	s->first_wall_ms = read_u64(&r);
	s->interval_ms = read_u64(&r);
	steps = next_element(&r, MSGPACK_OBJECT_ARRAY);
	if (r.failed || steps->via.array.size > JOB_STEPS_MAX)
		return invalid(err, "a stored job is malformed");
	s->step_count = steps->via.array.size;
	s->steps = xcalloc(s->step_count + 1, sizeof(*s->steps));
	for (uint32_t i = 0; i < s->step_count; i++)
		if (!read_step(&steps->via.array.ptr[i], &s->steps[i]))
			return invalid(err, "a stored step is malformed");
	memcpy(s->policy.name, s->queue, sizeof(s->policy.name));
	if (r.left &&
	    !read_policy(next_element(&r, MSGPACK_OBJECT_ARRAY), &s->policy))
		return invalid(err, "a stored policy is malformed");
	return job_spec_check(s, err);
}

int job_spec_decode(struct job_spec *s, const void *data, size_t len,
		    struct error *err)
{
	msgpack_unpacked u;
	int ret = -1;

	memset(s, 0, sizeof(*s));
	if (!pack_unpack(&u, data, len))
		invalid(err, "a stored job is truncated");
	else
		ret = read_job(s, &u.data, err);
	msgpack_unpacked_destroy(&u);
	if (ret < 0)
		job_spec_free(s);
	return ret;
}

void job_spec_free(struct job_spec *s)
{
	free(s->text);
	free(s->steps);
	memset(s, 0, sizeof(*s));
}
