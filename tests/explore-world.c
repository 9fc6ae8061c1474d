#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "explore.h"
#include "job-evacuation.h"
#include "job-owner-internal.h"
#include "worker-path.h"

/* A VM that stops as planned exits after this time. */
#define STOP_US 2500000u
/* After the last trouble: the bound of a service, and the work of a job. */
#define END_US 10500000u
#define END_BATCH_US 18000000u
#define DELAY_MIN_US 500u
#define DELAY_SPAN_US 3500u
/* The last VM, or worker, comes back after this time. */
#define RETURN_MS 1000u

struct explore_world world;

static struct {
	struct job_config config;
	struct job_queue queue;
	const struct explore_plan *plan;
	uint64_t calm_us;
	enum explore_bound bound;
	uint32_t worker_steps;
	uint32_t workers_lost;
} run;

/* A VM or a worker that comes back. */
struct comeback {
	struct comeback *next;
	uint32_t index, generation;
	uint32_t ms; /* after the exit; 0: never */
	bool new_id;
};

/* Of the current run. */
static struct comeback *comebacks;

static void free_comebacks(void)
{
	struct comeback *next;

	for (; comebacks; comebacks = next) {
		next = comebacks->next;
		free(comebacks);
	}
}

bool vm_alive(uint32_t vm, uint32_t generation)
{
	return world.vms[vm].up && world.vms[vm].generation == generation;
}

uint64_t message_delay(void)
{
	return DELAY_MIN_US + rng_below(&world.rng, DELAY_SPAN_US);
}

void mark(void)
{
	struct explore_result *r = world.result;

	if (sim_now() >= EXPLORE_WARM_US && r->marks < EXPLORE_MARKS_MAX)
		r->mark_us[r->marks++] = sim_now();
}

void mark_election(void)
{
	struct explore_result *r = world.result;

	if (sim_now() >= EXPLORE_WARM_US &&
	    r->elections < EXPLORE_ELECTIONS_MAX)
		r->elected_us[r->elections++] = sim_now();
}

void disturbed_until(uint64_t us)
{
	if (us > run.calm_us)
		run.calm_us = us;
}

/* ---- platform ---- */

static int decode_config(const void *data, size_t len, struct job_config *out,
			 struct error *err)
{
	(void)data;
	(void)len;
	(void)out;
	error_set(err, ERROR_LAYER_STORE, 1, "not used");
	return -1;
}

static int decode_worker(const char *key, const void *data, size_t len,
			 struct job_worker_entry *out, struct error *err)
{
	unsigned long long born;
	unsigned index;

	(void)len;
	memset(out, 0, sizeof(*out));
	if (sscanf(data, "%u %llu", &index, &born) != 2) {
		error_set(err, ERROR_LAYER_STORE, 1, "malformed");
		return -1;
	}
	snprintf(out->id, sizeof(out->id), "%s", key + strlen("servers/"));
	snprintf(out->service, sizeof(out->service), "service");
	snprintf(out->zone, sizeof(out->zone), "zone");
	snprintf(out->address.host, sizeof(out->address.host), "10.1.0.1");
	out->address.port = (uint16_t)index;
	out->info.id = out->id;
	out->info.service = out->service;
	out->info.zone = out->zone;
	snprintf(out->info.labels[0], JOB_NAME_BYTES, "kind");
	snprintf(out->info.labels[1], JOB_NAME_BYTES, "rack%u", index);
	out->info.capacity =
		(struct resources){ .cpu_milli = 4000, .memory_mb = 4096 };
	out->info.started_wall_ms = born;
	return 0;
}

static uint64_t worker_fingerprint(const void *data, size_t len)
{
	const unsigned char *c = data;
	uint64_t h = 1469598103934665603u;

	for (size_t i = 0; i < len; i++)
		h = (h ^ c[i]) * 1099511628211u;
	return h;
}

static const struct job_platform platform = {
	.worker = &sim_worker_ops,
	.config_key = "config/current",
	.config_prefix = "config/",
	.evacuation_prefix = "config/evacuate/",
	.worker_prefix = "servers/",
	.decode_config = decode_config,
	.decode_worker = decode_worker,
	.worker_fingerprint = worker_fingerprint,
};

static void set_queue(struct queue_policy *q)
{
	snprintf(q->name, sizeof(q->name), "queue");
	snprintf(q->service, sizeof(q->service), "service");
	q->attempts_max = 3;
	q->stretch = 2;
	q->target_latency_ms = 1000;
}

static void submit(const char *id, bool service)
{
	struct job_step steps[2] = { { .count = service ? 1 : 2,
				       .demand = { 1000, 256, 0 },
				       .estimate_ms = service ? 60000 : 1500,
				       .long_running = service } };
	struct job_spec spec = { .text = (char *)"text",
				 .step_count = service ? 1 : 2,
				 .steps = steps };
	struct buffer b = BUFFER_INIT;
	char key[KV_KEY_BYTES];

	steps[1] = steps[0];
	steps[1].depends_on = 1;
	snprintf(steps[0].image, JOB_NAME_BYTES, "image");
	snprintf(steps[1].image, JOB_NAME_BYTES, "image");
	snprintf(spec.id, sizeof(spec.id), "%s", id);
	snprintf(spec.queue, sizeof(spec.queue), "queue");
	set_queue(&spec.policy);
	spec.accepted_wall_ms = clock_wall_us() / 1000u;
	job_spec_encode(&spec, &b);
	snprintf(key, sizeof(key), JOB_SPEC_PREFIX "%s", id);
	store_set(key, b.data, b.len);
	buffer_free(&b);
}

/* ---- VMs ---- */

static void start_vm(uint32_t i)
{
	struct explore_vm *v = &world.vms[i];
	struct settings *s = &v->settings;
	struct error err;

	v->generation++;
	v->up = true;
	memset(s, 0, sizeof(*s));
	snprintf(s->node.id, sizeof(s->node.id), "vm%u", i);
	s->node.cpu_milli = 1000;
	snprintf(s->jobs.peers.host, sizeof(s->jobs.peers.host), "10.0.0.%u",
		 i + 1);
	s->jobs.peers.port = 7000;
	s->jobs.lease_max_us = 6000000;
	s->jobs.status_keep_us = 120000000;
	s->jobs.memory_bytes = 16u << 20;
	memset(&v->node, 0, sizeof(v->node));
	v->node.settings = s;
	v->node.platform = &platform;
	v->node.base = sim_base(i);
	v->node.rng.state = world.rng.state + i;
	v->node.config = &run.config;
	sim_set_vm((int)i);
	v->node.kv = store_open(i);
	v->node.evacuation = job_evacuation_create(&v->node);
	v->node.relay_hub = relay_hub_create(&v->node, &err);
	v->node.owner = job_owner_create(&v->node);
	sim_set_vm(EXPLORE_WORLD);
}

static void end_vm(uint32_t i)
{
	struct explore_vm *v = &world.vms[i];

	if (!v->up)
		return;
	v->up = false;
	sim_set_vm((int)i);
	job_owner_destroy(v->node.owner);
	relay_hub_destroy(v->node.relay_hub);
	job_evacuation_destroy(v->node.evacuation);
	v->node.kv->ops->destroy(v->node.kv);
	sim_set_vm(EXPLORE_WORLD);
	sim_end_vm((int)i);
	v->node.owner = NULL;
	mark();
}

static uint32_t find_owner(void)
{
	uint32_t best = 0;
	int best_state = -1;

	for (uint32_t i = 0; i < world.vm_count; i++) {
		struct explore_vm *v = &world.vms[i];

		if (!v->up || (int)v->node.owner->state <= best_state)
			continue;
		best = i;
		best_state = (int)v->node.owner->state;
	}
	return best;
}

static void on_vm_return(void *arg)
{
	struct comeback *c = arg;
	struct explore_vm *v = &world.vms[c->index];

	if (!v->up && v->generation == c->generation) {
		start_vm(c->index);
		mark();
	}
}

static struct comeback *new_comeback(uint32_t index, uint32_t ms)
{
	struct comeback *c = xcalloc(1, sizeof(*c));

	c->next = comebacks;
	comebacks = c;
	c->index = index;
	c->ms = ms;
	c->generation = world.vms[index % EXPLORE_VMS_MAX].generation;
	return c;
}

static void on_vm_exit(void *arg)
{
	struct comeback *c = arg;

	if (!vm_alive(c->index, c->generation))
		return;
	end_vm(c->index);
	if (c->ms)
		sim_after(EXPLORE_WORLD, c->ms * 1000ull, on_vm_return, c);
}

static uint32_t vms_staying(uint32_t except)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < world.vm_count; i++)
		n += i != except && world.vms[i].up &&
		     !world.vms[i].node.owner->resigned;
	return n;
}

static void leave(uint32_t vm, uint32_t ms, bool planned)
{
	struct comeback *c;

	if (!world.vms[vm].up)
		return;
	if (!vms_staying(vm)) {
		ms = ms ? ms : RETURN_MS;
		disturbed_until(sim_now() + ms * 1000ull +
				(planned ? STOP_US : 0));
	}
	c = new_comeback(vm, ms);
	if (!planned) {
		on_vm_exit(c);
		return;
	}
	sim_set_vm((int)vm);
	job_owner_resign(world.vms[vm].node.owner);
	sim_set_vm(EXPLORE_WORLD);
	sim_after(EXPLORE_WORLD, STOP_US, on_vm_exit, c);
}

/* ---- workers ---- */

static void on_worker_return(void *arg)
{
	struct comeback *c = arg;

	worker_start(c->index, c->new_id);
}

static void lose_worker(uint32_t worker, uint32_t ms, enum explore_kind kind)
{
	struct comeback *c;

	if (!worker_up(worker))
		return;
	if (kind == STEP_LOST && ++run.workers_lost == world.worker_count) {
		run.workers_lost--;
		kind = STEP_CRASH;
		ms = RETURN_MS;
	}
	worker_crash(worker, kind == STEP_LOST);
	if (kind == STEP_LOST)
		return;
	c = new_comeback(worker, ms);
	c->new_id = kind == STEP_REBORN;
	disturbed_until(sim_now() + ms * 1000ull);
	sim_after(EXPLORE_WORLD, ms * 1000ull, on_worker_return, c);
}

/* ---- steps ---- */

static void apply_to_vm(const struct explore_step *s, uint32_t vm)
{
	struct explore_vm *v = &world.vms[vm];
	uint64_t end = sim_now() + s->ms * 1000ull;

	switch (s->kind) {
	case STEP_STOP:
	case STEP_KILL:
		leave(vm, s->ms, s->kind == STEP_STOP);
		break;
	case STEP_FREEZE:
		sim_freeze((int)vm, end);
		disturbed_until(end);
		break;
	case STEP_STORE_CUT:
		v->cut_until = end;
		disturbed_until(end);
		break;
	case STEP_STORE_REFUSE:
		v->refused_until = end;
		disturbed_until(end);
		break;
	case STEP_WATCH_LATE:
		v->watch_until = end;
		disturbed_until(end);
		break;
	case STEP_STORE_LOSE:
		v->lose_answers = 1;
		break;
	default:
		v->late_ms = s->ms ? s->ms : 1;
		break;
	}
}

static void set_bound(enum explore_kind kind)
{
	enum explore_bound bound = BOUND_OTHER;

	run.worker_steps += explore_uses_worker(kind);
	if (kind == STEP_STOP ||
	    (explore_uses_worker(kind) && run.worker_steps == 1))
		bound = BOUND_PLANNED;
	else if (kind == STEP_KILL || explore_uses_worker(kind))
		bound = BOUND_LOST;
	if (bound > run.bound)
		run.bound = bound;
}

static void apply(const struct explore_step *s)
{
	uint32_t vm = s->vm < world.vm_count ? s->vm : find_owner();
	uint32_t worker =
		s->worker < world.worker_count ? s->worker : worker_busy();
	uint64_t end = sim_now() + s->ms * 1000ull;

	disturbed_until(sim_now());
	set_bound(s->kind);
	switch (s->kind) {
	case STEP_REVOKE:
		store_remove(JOB_OWNER_KEY);
		break;
	case STEP_STORE_DOWN:
		world.store_down_until = end;
		disturbed_until(end);
		break;
	case STEP_COMPACT:
		store_compact();
		break;
	case STEP_LOST:
	case STEP_CRASH:
	case STEP_REBORN:
		lose_worker(worker, s->ms, s->kind);
		break;
	case STEP_SILENT:
	case STEP_WORKER_CUT:
		worker_cut(worker, s->kind == STEP_SILENT ? -1 : (int)vm, end);
		disturbed_until(end);
		break;
	case STEP_ORDER_LOSE:
	case STEP_ORDER_LATE:
	case STEP_ORDER_REPEAT:
		worker_trouble(worker, s->kind, s->ms ? s->ms : 1);
		break;
	default:
		apply_to_vm(s, vm);
		break;
	}
	mark();
}

static void on_step(void *arg)
{
	apply(arg);
}

/* ---- a run ---- */

static void reset(void)
{
	workers_reset();
	store_reset();
	sim_reset();
	free_comebacks();
}

static void begin(const struct explore_plan *p, struct explore_result *r)
{
	reset();
	check_reset();
	memset(&world, 0, sizeof(world));
	memset(&run, 0, sizeof(run));
	memset(r, 0, sizeof(*r));
	world.result = r;
	world.vm_count = p->world == 1 ? 2 : 3;
	world.worker_count = p->world == 1 ? 2 : 3;
	world.rng.state = p->seed;
	run.plan = p;
	run.config.queues = &run.queue;
	run.config.queue_count = 1;
	set_queue(&run.queue.policy);
	for (uint32_t i = 0; i < world.worker_count; i++)
		worker_start(i, false);
	submit(CHECK_JOB_SERVICE, true);
	for (uint32_t i = 0; i < world.vm_count; i++)
		start_vm(i);
}

static void on_batch(void *arg)
{
	(void)arg;
	submit(CHECK_JOB_BATCH, false);
}

void explore_run(const struct explore_plan *p, struct explore_result *r)
{
	uint64_t end_us;

	begin(p, r);
	if (p->world == 2)
		sim_after(EXPLORE_WORLD, EXPLORE_WARM_US, on_batch, NULL);
	for (uint32_t i = 0; i < p->count; i++) {
		sim_after(EXPLORE_WORLD, p->steps[i].at_us, on_step,
			  (void *)&p->steps[i]);
		disturbed_until(p->steps[i].at_us);
	}
	disturbed_until(EXPLORE_WARM_US);
	do {
		end_us = run.calm_us + (p->world == 2 ? END_BATCH_US : END_US);
		if (!sim_next(end_us))
			break;
		r->events++;
		check_state(run.calm_us, run.bound);
	} while (!r->failure[0]);
	if (!r->failure[0])
		check_finished();
	for (uint32_t i = 0; i < world.vm_count; i++)
		end_vm(i);
	reset();
}
