#include <search.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>

#include "place-internal.h"

static int apply_create(struct place *p, const struct change *c);
static int apply_update(struct place *p, const struct change *c);
static int apply_cancel(struct place *p, struct placement *pl);
static void cancel_task(struct place *p, struct place_task *t);
static void apply_delete(struct place *p, struct placement *pl);
static int apply_start(struct place *p, const struct change *c);
static int apply_task(struct place *p, const struct change *c);
static void apply_failure(struct place *p, struct place_task *t,
			  struct place_worker *w, enum place_reason reason);
static void account_reservation(struct place *p, struct place_task *t,
				int sign);
static void set_state(struct place *p, struct place_task *t,
		      enum task_state state);
static void free_placement(struct placement *pl);

static int compare_placements(const void *a, const void *b)
{
	const struct placement *x = a, *y = b;

	return strcmp(x->id, y->id);
}

struct placement *placement_lookup(struct place *p, const char *id)
{
	struct placement key = { .id = (char *)id };
	struct placement **found;

	found = tfind(&key, &p->placements_by_id, compare_placements);
	return found ? *found : NULL;
}

/* A task id is the placement id, a dot and the task number. */
struct place_task *task_lookup(struct place *p, const char *id)
{
	const char *dot = strrchr(id, '.');
	char name[PLACE_NAME_BYTES];
	struct placement *pl;
	char *end;
	unsigned long n;

	if (!dot || (size_t)(dot - id) >= sizeof(name))
		return NULL;
	memcpy(name, id, (size_t)(dot - id));
	name[dot - id] = '\0';
	pl = placement_lookup(p, name);
	n = strtoul(dot + 1, &end, 10);
	if (!pl || *end || end == dot + 1 || n >= pl->count)
		return NULL;
	return &pl->tasks[n];
}

uint32_t team_get_or_add(struct place *p, const char *user, const char *name)
{
	struct team *t;

	for (uint32_t i = 0; i < p->team_count; i++)
		if (!strcmp(p->teams[i].name, name) &&
		    !strcmp(p->teams[i].user, user))
			return i;
	if (p->team_count == PLACE_TEAMS_MAX)
		return PLACE_TEAMS_MAX - 1;
	if (p->team_count == p->team_capacity) {
		p->team_capacity = p->team_capacity ? 2 * p->team_capacity : 8;
		p->teams = xrealloc(p->teams,
				    p->team_capacity * sizeof(*p->teams));
	}
	t = &p->teams[p->team_count];
	memset(t, 0, sizeof(*t));
	snprintf(t->user, sizeof(t->user), "%s", user);
	snprintf(t->name, sizeof(t->name), "%s", name);
	queue_update_team(p, t);
	return p->team_count++;
}

uint32_t kind_get_or_add(struct place *p, const char *user, const char *name,
			 bool service)
{
	struct kind *k;

	for (uint32_t i = 0; i < p->kind_count; i++)
		if (!strcmp(p->kinds[i].name, name) &&
		    !strcmp(p->kinds[i].user, user))
			return i;
	if (p->kind_count == PLACE_KINDS_MAX)
		return PLACE_KINDS_MAX - 1;
	if (p->kind_count == p->kind_capacity) {
		p->kind_capacity = p->kind_capacity ? 2 * p->kind_capacity : 8;
		p->kinds = xrealloc(p->kinds,
				    p->kind_capacity * sizeof(*p->kinds));
	}
	k = &p->kinds[p->kind_count];
	memset(k, 0, sizeof(*k));
	snprintf(k->user, sizeof(k->user), "%s", user);
	snprintf(k->name, sizeof(k->name), "%s", name);
	k->service = service;
	return p->kind_count++;
}

struct interference *kind_interference(struct place *p, uint32_t service,
				       uint32_t other)
{
	struct kind *k = &p->kinds[service];

	if (!k->interference)
		k->interference =
			xcalloc(PLACE_KINDS_MAX, sizeof(*k->interference));
	return &k->interference[other];
}

int change_apply(struct place *p, const struct change *c)
{
	struct placement *pl = NULL;
	struct place_worker *w;

	if (c->slot < p->slot_count)
		pl = p->slots[c->slot];
	switch (c->type) {
	case CHANGE_HORIZON:
		if (c->horizon_ms * 1000ull > p->logged_horizon_us)
			p->logged_horizon_us = c->horizon_ms * 1000ull;
		return 0;
	case CHANGE_CREATE:
		return apply_create(p, c);
	case CHANGE_UPDATE:
		return pl ? apply_update(p, c) : -1;
	case CHANGE_CANCEL:
		return pl ? apply_cancel(p, pl) : -1;
	case CHANGE_DELETE:
		if (!pl)
			return -1;
		apply_delete(p, pl);
		return 0;
	case CHANGE_START:
		return pl && c->number < pl->count ? apply_start(p, c) : -1;
	case CHANGE_TASK:
		return pl && c->number < pl->count ? apply_task(p, c) : -1;
	case CHANGE_WORKER:
		w = worker_get_or_add(p, c->worker);
		w->failures = (uint8_t)c->failures;
		w->quarantines = (uint8_t)c->attempt;
		if (w->quarantines)
			w->quarantine_end_us = 1;
		return 0;
	default:
		return 0;
	}
}

static int apply_create(struct place *p, const struct change *c)
{
	const struct placement_spec *s = c->spec;
	struct placement *pl;

	if (c->slot > p->slot_count || placement_lookup(p, s->id) ||
	    (c->slot < p->slot_count && p->slots[c->slot]))
		return -1;
	if (c->slot == p->slot_capacity) {
		p->slot_capacity = p->slot_capacity ? 2 * p->slot_capacity : 64;
		p->slots = xrealloc(p->slots,
				    p->slot_capacity * sizeof(*p->slots));
	}
	if (c->slot == p->slot_count)
		p->slot_count++;
	pl = xcalloc(1, sizeof(*pl));
	p->slots[c->slot] = pl;
	pl->id = xstrdup(s->id);
	pl->spec = xstrdup(s->spec);
	pl->team = (uint16_t)team_get_or_add(p, s->user, s->team);
	pl->kind = (uint16_t)kind_get_or_add(p, s->user, s->kind, s->service);
	pl->slot = c->slot;
	pl->declared[RES_CPU] = s->cpu_milli;
	pl->declared[RES_MEMORY] = s->memory_mb;
	pl->declared[RES_ACCELERATORS] = s->accelerators;
	pl->max_run_ms = s->max_run_ms;
	pl->urgency = (uint8_t)s->urgency;
	pl->service = s->service;
	pl->yields = s->yields;
	pl->spread_racks = s->spread_racks;
	if (pl->spread_racks)
		pl->tasks_per_rack =
			xcalloc(PLACE_RACKS_MAX, sizeof(*pl->tasks_per_rack));
	tsearch(pl, &p->placements_by_id, compare_placements);
	return apply_update(p, c);
}

/* Reallocates the tasks of a placement and relinks the workers' lists. */
static void grow_tasks(struct place *p, struct placement *pl, uint32_t count)
{
	struct place_task *old_tasks = pl->tasks;

	pl->tasks = xcalloc(count, sizeof(*pl->tasks));
	for (uint32_t i = 0; i < pl->count; i++) {
		struct place_task *t = &old_tasks[i], *to = &pl->tasks[i];

		*to = *t;
		if (!t->worker)
			continue;
		if (t->prev)
			t->prev->next = to;
		else
			t->worker->tasks.first = to;
		if (t->next)
			t->next->prev = to;
		else
			t->worker->tasks.last = to;
	}
	for (uint32_t i = pl->count; i < count; i++) {
		pl->tasks[i].placement = pl;
		pl->tasks[i].number = i;
		pl->tasks[i].cpu_percent = 100;
		pl->tasks[i].state_since_us = p->now_us;
	}
	free(old_tasks);
	pl->count = count;
}

/* Cancels tasks from the new count on, and requeues cancelled ones below. */
static int apply_update(struct place *p, const struct change *c)
{
	struct placement *pl = p->slots[c->slot];
	uint32_t count = c->spec->count;

	for (uint32_t i = 0; i < pl->count; i++)
		if (task_is_pending(&pl->tasks[i]))
			queue_remove(p, &pl->tasks[i]);
	pl->urgency = (uint8_t)c->spec->urgency;
	pl->yields = c->spec->yields;
	if (count > pl->count)
		grow_tasks(p, pl, count);
	pl->desired_count = count;
	for (uint32_t i = 0; i < pl->count; i++) {
		struct place_task *t = &pl->tasks[i];

		if (task_is_pending(t))
			queue_add(p, t);
		else if (t->worker)
			worker_recompute_free(p, t->worker);
		if (i >= count)
			cancel_task(p, t);
		else if (t->state == TASK_CANCELLED && !pl->cancelled)
			set_state(p, t, TASK_PENDING);
	}
	p->dirty = true;
	return 0;
}

static void cancel_task(struct place *p, struct place_task *t)
{
	if (!task_is_final(t))
		t->reason = REASON_CANCELLED;
	if (task_is_pending(t) || t->state == TASK_IMPOSSIBLE)
		set_state(p, t, TASK_CANCELLED);
	else if (t->state == TASK_STARTING || t->state == TASK_RUNNING)
		set_state(p, t, TASK_STOPPING);
}

static int apply_cancel(struct place *p, struct placement *pl)
{
	pl->cancelled = true;
	for (uint32_t i = 0; i < pl->count; i++)
		cancel_task(p, &pl->tasks[i]);
	return 0;
}

static void apply_delete(struct place *p, struct placement *pl)
{
	tdelete(pl, &p->placements_by_id, compare_placements);
	p->slots[pl->slot] = NULL;
	for (uint32_t i = 0; i < pl->count; i++) {
		struct place_task *t = &pl->tasks[i];

		if (t->worker) {
			account_reservation(p, t, -1);
			worker_remove_task(p, t);
		} else if (task_is_pending(t)) {
			queue_remove(p, t);
		} else if (t->state == TASK_IMPOSSIBLE) {
			p->impossible_count--;
		}
	}
	free_placement(pl);
}

static int apply_start(struct place *p, const struct change *c)
{
	struct place_task *t = &p->slots[c->slot]->tasks[c->number];
	struct place_worker *w = worker_get_or_add(p, c->worker);

	if (t->worker)
		return -1;
	set_state(p, t, TASK_STARTING);
	t->attempt = c->attempt;
	for (int r = 0; r < RES_COUNT; r++)
		t->reserved[r] = (int32_t)c->reserved[r];
	for (int r = 0; r < RES_COUNT; r++)
		t->requested[r] = (int32_t)c->requested[r];
	t->cpu_percent = 100;
	t->start_resolved_us = START_UNRESOLVED;
	t->last_call_us = 0;
	t->nominated = 0;
	t->usage_sampled_us = 0;
	t->used_cpu_milli = 0;
	t->used_memory_mb = 0;
	t->peak_memory_mb = 0;
	t->latency_us = 0;
	t->progress = 0;
	t->lease_end_us = 0;
	t->lease_expired = false;
	t->start_sent = false;
	t->start_dropped = false;
	t->throttle_applied = false;
	t->throttle_unknown = false;
	t->usage_samples = 0;
	t->usage_recorded = false;
	t->checkpointing = false;
	t->stop_retried = false;
	t->checkpointed = false;
	worker_add_task(p, w, t);
	account_reservation(p, t, 1);
	return 0;
}

static int apply_task(struct place *p, const struct change *c)
{
	struct place_task *t = &p->slots[c->slot]->tasks[c->number];
	struct place_worker *w = t->worker;
	bool active = c->state >= TASK_STARTING && c->state <= TASK_STOPPING;

	if (active && !w)
		return -1;
	t->attempt = c->attempt;
	t->reason = (uint8_t)c->reason;
	if (c->checkpoint && c->checkpoint[0] &&
	    (!t->checkpoint || strcmp(t->checkpoint, c->checkpoint))) {
		free(t->checkpoint);
		t->checkpoint = xstrdup(c->checkpoint);
	}
	if (w && !active) {
		account_reservation(p, t, -1);
		worker_remove_task(p, t);
	}
	if (c->state == TASK_RUNNING)
		p->kinds[t->placement->kind].start_failures.count = 0;
	if (c->state == TASK_RUNNING || c->state == TASK_EVICTED)
		t->has_run = true;
	set_state(p, t, c->state);
	if (!w || active)
		return 0;
	if (c->state == TASK_DONE) {
		worker_record_success(p, w);
		p->kinds[t->placement->kind].task_failures.count = 0;
	} else if (c->reason == REASON_START_FAILED ||
		   c->reason == REASON_TASK_FAILED) {
		apply_failure(p, t, w, c->reason);
	}
	return 0;
}

/* Adds a worker. Returns true if the set is already full of other workers. */
static bool failure_is_widespread(struct failure_set *f,
				  const struct place_worker *w)
{
	for (int i = 0; i < f->count; i++)
		if (f->workers[i] == w->handle)
			return false;
	if (f->count == FAILURE_WORKERS_MAX)
		return true;
	f->workers[f->count++] = w->handle;
	return false;
}

/*
 * Decides whether a failure counts against the worker. The first two failures
 * of a task count, and later ones only if the worker failed other tasks as
 * well. If a kind fails on many workers without a success, its failures do not
 * count and those counted before are revoked. Otherwise, a series of faulty
 * tasks would quarantine every worker. A failed trial start always counts.
 */
static void apply_failure(struct place *p, struct place_task *t,
			  struct place_worker *w, enum place_reason reason)
{
	struct kind *k = &p->kinds[t->placement->kind];
	bool is_start = reason == REASON_START_FAILED;
	bool widespread = failure_is_widespread(
		is_start ? &k->start_failures : &k->task_failures, w);

	if (w->on_trial || (!widespread && (t->failures < 2 || w->failures))) {
		worker_record_failure(p, w);
		if (t->failures < 2)
			t->charged_workers[t->failures] = w->handle + 1;
	}
	for (int i = 0; widespread && t->failures == 2 && i < 2; i++)
		if (t->charged_workers[i])
			worker_revoke_failure(
				p, p->workers[t->charged_workers[i] - 1]);
	t->last_failed_worker = w->handle + 1;
	if (t->failures < UINT8_MAX)
		t->failures++;
}

/* Adds (sign 1) or subtracts (sign -1) a task in its team's and rack's use. */
static void account_reservation(struct place *p, struct place_task *t, int sign)
{
	struct placement *pl = t->placement;
	struct team *team = &p->teams[pl->team];

	for (int r = 0; r < 2; r++)
		team->used[r] += (uint64_t)(sign * (int64_t)pl->declared[r]);
	if (pl->tasks_per_rack)
		pl->tasks_per_rack[t->worker->rack] =
			(uint16_t)(pl->tasks_per_rack[t->worker->rack] + sign);
}

/* Changes a task's state and the queues and counters that depend on it. */
static void set_state(struct place *p, struct place_task *t,
		      enum task_state state)
{
	struct placement *pl = t->placement;
	bool was_final = task_is_final(t);

	if (task_is_pending(t)) {
		queue_remove(p, t);
		queue_clear_nomination(p, t);
	}
	if (t->state == TASK_IMPOSSIBLE)
		p->impossible_count--;
	if (t->worker && t->state == TASK_STARTING && state != TASK_STARTING) {
		t->worker->starting_tasks--;
		worker_reindex(p, t->worker);
	}
	t->state = (uint8_t)state;
	t->state_since_us = p->now_us;
	if (task_is_pending(t))
		queue_add(p, t);
	if (state == TASK_IMPOSSIBLE)
		p->impossible_count++;
	if (task_is_final(t) && !was_final)
		pl->final_tasks++;
	else if (was_final && !task_is_final(t))
		pl->final_tasks--;
	if (pl->final_tasks == pl->count)
		pl->ended_us = p->now_us;
	p->dirty = true;
}

void placement_to_spec(const struct place *p, const struct placement *pl,
		       struct placement_spec *out)
{
	const struct team *team = &p->teams[pl->team];

	memset(out, 0, sizeof(*out));
	snprintf(out->id, sizeof(out->id), "%s", pl->id);
	snprintf(out->user, sizeof(out->user), "%s", team->user);
	snprintf(out->team, sizeof(out->team), "%s", team->name);
	snprintf(out->kind, sizeof(out->kind), "%s", p->kinds[pl->kind].name);
	snprintf(out->spec, sizeof(out->spec), "%s", pl->spec);
	out->service = pl->service;
	out->urgency = (enum urgency)pl->urgency;
	out->count = pl->count;
	out->cpu_milli = pl->declared[RES_CPU];
	out->memory_mb = pl->declared[RES_MEMORY];
	out->accelerators = pl->declared[RES_ACCELERATORS];
	out->yields = pl->yields;
	out->spread_racks = pl->spread_racks;
	out->max_run_ms = pl->max_run_ms;
}

static void free_placement(struct placement *pl)
{
	for (uint32_t i = 0; i < pl->count; i++)
		free(pl->tasks[i].checkpoint);
	free(pl->tasks);
	free(pl->tasks_per_rack);
	free(pl->id);
	free(pl->spec);
	free(pl);
}

static void ignore_node(void *node)
{
	(void)node;
}

/* Frees all state that is restored from the log, and the workers. */
void place_clear(struct place *p)
{
	tdestroy(p->placements_by_id, ignore_node);
	p->placements_by_id = NULL;
	for (uint32_t i = 0; i < p->slot_count; i++)
		if (p->slots[i])
			free_placement(p->slots[i]);
	p->slot_count = 0;
	tdestroy(p->workers_by_id, ignore_node);
	p->workers_by_id = NULL;
	for (uint32_t i = 0; i < p->worker_count; i++)
		free(p->workers[i]);
	p->worker_count = 0;
	p->rack_count = 0;
	p->impossible_count = 0;
	p->logged_horizon_us = 0;
	memset(p->total_capacity, 0, sizeof(p->total_capacity));
	index_free(&p->free_index);
	index_free(&p->reclaimable_index);
	index_free(&p->capacity_index);
	for (uint32_t i = 0; i < p->kind_count; i++)
		free(p->kinds[i].interference);
	p->team_count = 0;
	p->kind_count = 0;
	p->action_count = 0;
	p->waiter_count = 0;
}
