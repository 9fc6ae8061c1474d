#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

#define STARTS_PER_PASS 128
#define UNCOMMITTED_MAX 512
/* The log is considered stalled if a start waits this long to be durable. */
#define LOG_STALL_US 5000000u
#define UNPLACED_MAX 32
/* A new owner may learn of further workers during this time. */
#define WORKER_DISCOVERY_US 5000000u
#define INTERFERENCE_RETRY_US 500000u
/*
 * A worker is nominated for the urgent task that preempts others there. Without
 * a nomination, less urgent tasks would take the freed resources and be evicted
 * again.
 */
#define NOMINATION_US 10000000u

/* A request that did not fit in this pass; larger ones are not tried. */
struct unplaced {
	int32_t need[RES_COUNT];
	uint16_t kind;
};

struct sched_pass {
	struct unplaced unplaced[UNPLACED_MAX];
	uint32_t unplaced_count;
	uint32_t started;
};

static struct team *next_team(struct place *p, int urgency);
static double team_dominant_share(const struct place *p, const struct team *t);
static bool quota_allows(const struct team *t, const struct placement *pl);
static bool start_next_task(struct place *p, struct sched_pass *pass,
			    struct team *t);
static bool mark_impossible(struct place *p, struct placement *pl);
static struct place_worker *nominated_worker(struct place *p,
					     struct place_task *t,
					     const int32_t need[RES_COUNT]);
static void preempt_for(struct place *p, struct place_task *t,
			const int32_t need[RES_COUNT]);

/* Queues a pending task; evicted tasks come before those that never ran. */
void queue_add(struct place *p, struct place_task *t)
{
	struct placement *pl = t->placement;
	struct placement_list *queue = &p->teams[pl->team].queue[pl->urgency];
	bool front = t->state == TASK_EVICTED;
	struct task_list *pending = &pl->pending;

	if (!pending->first) {
		pl->prev = front ? NULL : queue->last;
		pl->next = front ? queue->first : NULL;
		if (pl->prev)
			pl->prev->next = pl;
		else
			queue->first = pl;
		if (pl->next)
			pl->next->prev = pl;
		else
			queue->last = pl;
	}
	t->prev = front ? NULL : pending->last;
	t->next = front ? pending->first : NULL;
	if (t->prev)
		t->prev->next = t;
	else
		pending->first = t;
	if (t->next)
		t->next->prev = t;
	else
		pending->last = t;
}

void queue_remove(struct place *p, struct place_task *t)
{
	struct placement *pl = t->placement;
	struct placement_list *queue = &p->teams[pl->team].queue[pl->urgency];

	if (t->prev)
		t->prev->next = t->next;
	else
		pl->pending.first = t->next;
	if (t->next)
		t->next->prev = t->prev;
	else
		pl->pending.last = t->prev;
	t->prev = NULL;
	t->next = NULL;
	if (pl->pending.first)
		return;
	if (p->teams[pl->team].pass_cursor == pl)
		p->teams[pl->team].pass_cursor = pl->next;
	if (pl->prev)
		pl->prev->next = pl->next;
	else
		queue->first = pl->next;
	if (pl->next)
		pl->next->prev = pl->prev;
	else
		queue->last = pl->prev;
	pl->prev = NULL;
	pl->next = NULL;
}

/* Updates a team's share and quota from the sheet. */
void queue_update_team(struct place *p, struct team *t)
{
	const struct sheet *s = p->sheet;

	t->share_percent = 0;
	t->quota[RES_CPU] = 0;
	t->quota[RES_MEMORY] = 0;
	for (size_t i = 0; s && i < s->team_count; i++) {
		const struct sheet_team *st = &s->teams[i];

		if (strcmp(st->user, t->user) || strcmp(st->name, t->name))
			continue;
		t->share_percent = st->share_percent;
		t->quota[RES_CPU] = st->cpu_milli;
		t->quota[RES_MEMORY] = st->memory_mb;
	}
}

void queue_set_sheet(struct place *p, const struct sheet *s)
{
	p->sheet = s;
	for (uint32_t i = 0; i < p->team_count; i++)
		queue_update_team(p, &p->teams[i]);
	p->capacity_version++;
	if (p->owner && p->impossible_count)
		queue_recheck_impossible(p);
	p->dirty = true;
}

/* Starts pending tasks in the order of urgency, dominant share and age. */
void queue_schedule(struct place *p)
{
	struct sched_pass pass = { 0 };
	struct team *t;

	/* Deferrals end by usage reports, not by free resources. */
	if (p->interference_deferrals &&
	    p->now_us >= p->interference_retry_us) {
		p->interference_deferrals = 0;
		p->interference_retry_us = p->now_us + INTERFERENCE_RETRY_US;
		p->dirty = true;
	}
	if (!p->discovery_complete &&
	    p->now_us - p->owned_us >= WORKER_DISCOVERY_US) {
		p->discovery_complete = true;
		p->dirty = true;
	}
	if (!p->dirty || !p->owner || p->waiter_count > UNCOMMITTED_MAX)
		return;
	if (p->waiter_count && p->waiters[p->waiter_head].appended_us &&
	    p->now_us - p->waiters[p->waiter_head].appended_us > LOG_STALL_US)
		return;
	p->log_full = false;
	for (int u = 0; u < URGENCY_COUNT && !p->log_full; u++) {
		for (uint32_t i = 0; i < p->team_count; i++)
			p->teams[i].pass_cursor = p->teams[i].queue[u].first;
		while (pass.started < STARTS_PER_PASS && !p->log_full &&
		       (t = next_team(p, u)) != NULL)
			if (start_next_task(p, &pass, t))
				pass.started++;
	}
	for (uint32_t i = 0; i < p->team_count; i++)
		p->teams[i].pass_cursor = NULL;
	p->dirty = pass.started == STARTS_PER_PASS || p->log_full;
}

/* Returns the team with the lowest dominant share that has a placement left. */
static struct team *next_team(struct place *p, int urgency)
{
	struct team *best = NULL;
	double best_share = 0;

	(void)urgency;
	for (uint32_t i = 0; i < p->team_count; i++) {
		struct team *t = &p->teams[i];
		double dominant_share;

		if (!t->pass_cursor)
			continue;
		dominant_share = team_dominant_share(p, t);
		if (!best || dominant_share < best_share) {
			best = t;
			best_share = dominant_share;
		}
	}
	return best;
}

/* Returns the larger of the team's CPU and memory fractions over its share. */
static double team_dominant_share(const struct place *p, const struct team *t)
{
	double share = t->share_percent ? t->share_percent : 1;
	double dominant = 0;

	for (int r = 0; r < 2; r++) {
		double used =
			(double)t->used[r] / (double)(p->total_capacity[r] + 1);

		if (used > dominant)
			dominant = used;
	}
	return dominant / share;
}

static bool quota_allows(const struct team *t, const struct placement *pl)
{
	for (int r = 0; r < 2; r++)
		if (t->quota[r] && t->used[r] + pl->declared[r] > t->quota[r])
			return false;
	return true;
}

static bool exceeds_unplaced(const struct sched_pass *pass, uint16_t kind,
			     const int32_t need[RES_COUNT])
{
	for (uint32_t i = 0; i < pass->unplaced_count; i++) {
		const struct unplaced *s = &pass->unplaced[i];
		bool exceeds = s->kind == kind;

		for (int r = 0; r < RES_COUNT; r++)
			exceeds &= need[r] >= s->need[r];
		if (exceeds)
			return true;
	}
	return false;
}

/* Tries the team's next placement. Returns true if a task was started. */
static bool start_next_task(struct place *p, struct sched_pass *pass,
			    struct team *t)
{
	struct placement *pl = t->pass_cursor;
	struct place_task *task = pl->pending.first;
	struct place_worker *passed_over = NULL;
	struct place_worker *w = NULL;
	const char *reason = "";
	int32_t need[RES_COUNT];

	usage_estimate(p, pl, need);
	if (mark_impossible(p, pl))
		return false;
	if (!quota_allows(t, pl))
		goto skip;
	if (task->nominated) {
		w = nominated_worker(p, task, need);
		if (!w)
			goto skip;
		reason = "room made by eviction";
		queue_clear_nomination(p, task);
		if (task_assign(p, task, w, need, NULL, reason))
			return true;
		goto skip;
	}
	if (exceeds_unplaced(pass, pl->kind, need))
		goto skip;
	w = interference_choose_worker(p, task, need, &passed_over, &reason);
	if (w && task_assign(p, task, w, need, passed_over, reason))
		return true;
	if (w)
		goto skip; /* the log rejected the entry */
	if (pl->urgency == URGENCY_URGENT)
		preempt_for(p, task, need);
	if (pass->unplaced_count < UNPLACED_MAX) {
		struct unplaced *s = &pass->unplaced[pass->unplaced_count++];

		memcpy(s->need, need, sizeof(s->need));
		s->kind = pl->kind;
	}
skip:
	if (t->pass_cursor == pl)
		t->pass_cursor = pl->next;
	return false;
}

void queue_clear_nomination(struct place *p, struct place_task *t)
{
	struct place_worker *w =
		t->nominated ? p->workers[t->nominated - 1] : NULL;

	t->nominated = 0;
	if (!w || !w->nominated_until_us)
		return;
	w->nominated_until_us = 0;
	worker_reindex(p, w);
	p->dirty = true;
}

/* Returns the task's nominated worker if the task fits there now. */
static struct place_worker *nominated_worker(struct place *p,
					     struct place_task *t,
					     const int32_t need[RES_COUNT])
{
	struct place_worker *w = p->workers[t->nominated - 1];

	if (!w->nominated_until_us || !worker_is_usable(p, w)) {
		queue_clear_nomination(p, t);
		return NULL;
	}
	for (int r = 0; r < RES_COUNT; r++)
		if (w->free[r] < need[r])
			return NULL;
	return w;
}

/* Returns why no worker or the quota can ever fit a task, or REASON_NONE. */
static enum place_reason impossible_reason(const struct place *p,
					   const struct placement *pl)
{
	static const enum place_reason reasons[] = {
		[RES_CPU] = REASON_TOO_MUCH_CPU,
		[RES_MEMORY] = REASON_TOO_MUCH_MEMORY,
		[RES_ACCELERATORS] = REASON_TOO_MANY_ACCELERATORS,
	};
	const struct team *t = &p->teams[pl->team];
	int32_t need[RES_COUNT];

	for (int r = 0; r < 2; r++)
		if (t->quota[r] && pl->declared[r] > t->quota[r])
			return REASON_OVER_QUOTA;
	for (int r = 0; r < RES_COUNT; r++)
		need[r] = (int32_t)pl->declared[r];
	if (index_find(&p->capacity_index, need, 0) >= 0)
		return REASON_NONE;
	for (int r = 0; r < RES_COUNT; r++)
		if (p->capacity_index.max[1][r] < need[r])
			return reasons[r];
	return REASON_TOO_LARGE_COMBINED;
}

/* Marks a placement's pending tasks that can never start as impossible. */
static bool mark_impossible(struct place *p, struct placement *pl)
{
	enum place_reason reason;

	if (pl->checked_version == p->capacity_version ||
	    !p->total_capacity[RES_CPU] || !p->discovery_complete)
		return false;
	pl->checked_version = p->capacity_version;
	reason = impossible_reason(p, pl);
	if (reason == REASON_NONE)
		return false;
	while (pl->pending.first) {
		struct place_task *t = pl->pending.first;

		task_set_state(p, t, TASK_IMPOSSIBLE, reason, NULL);
		if (t == pl->pending.first) {
			pl->checked_version--; /* log is full; retry later */
			return false;
		}
	}
	return true;
}

void queue_recheck_impossible(struct place *p)
{
	for (uint32_t i = 0; i < p->slot_count; i++) {
		struct placement *pl = p->slots[i];

		if (!pl || impossible_reason(p, pl) != REASON_NONE)
			continue;
		for (uint32_t j = 0; j < pl->count; j++)
			if (pl->tasks[j].state == TASK_IMPOSSIBLE)
				task_set_state(p, &pl->tasks[j],
					       pl->tasks[j].has_run
						       ? TASK_EVICTED
						       : TASK_PENDING,
					       REASON_NONE, NULL);
	}
}

/* Evicts yielding tasks from one worker until an urgent task fits there. */
static void preempt_for(struct place *p, struct place_task *t,
			const int32_t need[RES_COUNT])
{
	int32_t available[RES_COUNT];
	struct place_worker *w;
	int leaf;

	leaf = index_find(&p->reclaimable_index, need, 0);
	if (leaf < 0)
		return;
	w = p->workers[leaf];
	t->nominated = w->handle + 1;
	w->nominated_until_us = p->now_us + NOMINATION_US;
	worker_reindex(p, w);
	memcpy(available, w->free, sizeof(available));
	/* Resources of tasks that are being stopped become free. */
	for (struct place_task *o = w->tasks.first; o; o = o->next)
		for (int r = 0; o->state == TASK_STOPPING && r < RES_COUNT; r++)
			available[r] += o->reserved[r];
	for (;;) {
		struct place_task *victim;
		bool enough = true;

		for (int r = 0; r < RES_COUNT; r++)
			enough &= available[r] >= need[r];
		victim = enough ? NULL : usage_choose_victim(w, URGENCY_URGENT);
		if (!victim)
			return;
		for (int r = 0; r < RES_COUNT; r++)
			available[r] += victim->reserved[r];
		task_stop(p, victim, REASON_PREEMPTED, true);
	}
}
