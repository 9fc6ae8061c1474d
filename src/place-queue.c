#include <stdlib.h>
#include <string.h>

#include "place-internal.h"

#define STARTS_PER_PASS 128
#define STARTS_WAITING_MAX 512
/* The log is taken for stuck when a start waits for it this long. */
#define LOG_STUCK_US 5000000u
#define SHAPES_MAX 32
/* Workers that a new owner has not heard of yet may still appear. */
#define SETTLE_US 5000000u
#define RETRY_US 500000u
/*
 * A worker is kept for the urgent task that evictions make room for. Without
 * that, lower tasks fill the room as it comes, and are evicted again.
 */
#define HOLD_US 10000000u

/* What was not placed in this pass; nothing that needs more is tried. */
struct shape {
	int32_t need[RES_COUNT];
	uint16_t kind;
};

struct pass {
	struct shape shapes[SHAPES_MAX];
	uint32_t shape_count;
	uint32_t started;
};

static struct team *next_team(struct place *p, int urgency);
static double team_level(const struct place *p, const struct team *t);
static bool quota_allows(const struct team *t, const struct placement *pl);
static bool place_one(struct place *p, struct pass *pass, struct team *t);
static bool mark_impossible(struct place *p, struct placement *pl);
static struct worker *held_worker(struct place *p, struct task *t,
				  const int32_t need[RES_COUNT]);
static void make_room(struct place *p, struct task *t,
		      const int32_t need[RES_COUNT]);

/* Puts an evicted task before those that never ran. */
void queue_add(struct place *p, struct task *t)
{
	struct placement *pl = t->placement;
	struct placement_list *q = &p->teams[pl->team].queue[pl->urgency];
	bool front = t->state == TASK_EVICTED;
	struct task_list *l = &pl->pending;

	if (!l->first) {
		pl->prev = front ? NULL : q->last;
		pl->next = front ? q->first : NULL;
		if (pl->prev)
			pl->prev->next = pl;
		else
			q->first = pl;
		if (pl->next)
			pl->next->prev = pl;
		else
			q->last = pl;
	}
	t->prev = front ? NULL : l->last;
	t->next = front ? l->first : NULL;
	if (t->prev)
		t->prev->next = t;
	else
		l->first = t;
	if (t->next)
		t->next->prev = t;
	else
		l->last = t;
}

void queue_remove(struct place *p, struct task *t)
{
	struct placement *pl = t->placement;
	struct placement_list *q = &p->teams[pl->team].queue[pl->urgency];

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
	if (p->teams[pl->team].cursor == pl)
		p->teams[pl->team].cursor = pl->next;
	if (pl->prev)
		pl->prev->next = pl->next;
	else
		q->first = pl->next;
	if (pl->next)
		pl->next->prev = pl->prev;
	else
		q->last = pl->prev;
	pl->prev = NULL;
	pl->next = NULL;
}

/* Takes a team's share and quota from the sheet. */
void queue_share(struct place *p, struct team *t)
{
	const struct sheet *s = p->policy;

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

void queue_policy(struct place *p, const struct sheet *s)
{
	p->policy = s;
	for (uint32_t i = 0; i < p->team_count; i++)
		queue_share(p, &p->teams[i]);
	p->capacity_changes++;
	if (p->owner && p->impossible_count)
		queue_recheck(p);
	p->dirty = true;
}

/* Starts what fits, in the order of urgency, team level and age. */
void queue_pass(struct place *p)
{
	struct pass pass = { 0 };
	struct team *t;

	/* What interference keeps waiting depends on reports, not on room. */
	if (p->held_back && p->now_us >= p->retry_us) {
		p->held_back = 0;
		p->retry_us = p->now_us + RETRY_US;
		p->dirty = true;
	}
	if (!p->settled && p->now_us - p->owned_us >= SETTLE_US) {
		p->settled = true;
		p->dirty = true;
	}
	if (!p->dirty || !p->owner || p->waiter_count > STARTS_WAITING_MAX)
		return;
	if (p->waiter_count && p->waiters[p->waiter_head].since_us &&
	    p->now_us - p->waiters[p->waiter_head].since_us > LOG_STUCK_US)
		return;
	p->log_full = false;
	for (int u = 0; u < URGENCY_COUNT && !p->log_full; u++) {
		for (uint32_t i = 0; i < p->team_count; i++)
			p->teams[i].cursor = p->teams[i].queue[u].first;
		while (pass.started < STARTS_PER_PASS && !p->log_full &&
		       (t = next_team(p, u)) != NULL)
			if (place_one(p, &pass, t))
				pass.started++;
	}
	for (uint32_t i = 0; i < p->team_count; i++)
		p->teams[i].cursor = NULL;
	p->dirty = pass.started == STARTS_PER_PASS || p->log_full;
}

/* Returns the team furthest below its share that has a placement to try. */
static struct team *next_team(struct place *p, int urgency)
{
	struct team *best = NULL;
	double best_level = 0;

	(void)urgency;
	for (uint32_t i = 0; i < p->team_count; i++) {
		struct team *t = &p->teams[i];
		double level;

		if (!t->cursor)
			continue;
		level = team_level(p, t);
		if (!best || level < best_level) {
			best = t;
			best_level = level;
		}
	}
	return best;
}

/* The larger of the team's parts of CPU and memory, over its share. */
static double team_level(const struct place *p, const struct team *t)
{
	double share = t->share_percent ? t->share_percent : 1;
	double level = 0;

	for (int r = 0; r < 2; r++) {
		double part = (double)t->used[r] / (double)(p->total[r] + 1);

		if (part > level)
			level = part;
	}
	return level / share;
}

static bool quota_allows(const struct team *t, const struct placement *pl)
{
	for (int r = 0; r < 2; r++)
		if (t->quota[r] && t->used[r] + pl->need[r] > t->quota[r])
			return false;
	return true;
}

static bool is_hopeless(const struct pass *pass, uint16_t kind,
			const int32_t need[RES_COUNT])
{
	for (uint32_t i = 0; i < pass->shape_count; i++) {
		const struct shape *s = &pass->shapes[i];
		bool covered = s->kind == kind;

		for (int r = 0; r < RES_COUNT; r++)
			covered &= need[r] >= s->need[r];
		if (covered)
			return true;
	}
	return false;
}

/* Tries the team's next placement; returns whether a task was started. */
static bool place_one(struct place *p, struct pass *pass, struct team *t)
{
	struct placement *pl = t->cursor;
	struct task *task = pl->pending.first;
	struct worker *passed_over = NULL;
	struct worker *w = NULL;
	const char *why = "";
	int32_t need[RES_COUNT];

	usage_need(p, pl, need);
	if (mark_impossible(p, pl))
		return false;
	if (!quota_allows(t, pl))
		goto skip;
	if (task->held) {
		w = held_worker(p, task, need);
		if (!w)
			goto skip;
		why = "room made by eviction";
		queue_release(p, task);
		if (task_begin(p, task, w, need, NULL, why))
			return true;
		goto skip;
	}
	if (is_hopeless(pass, pl->kind, need))
		goto skip;
	w = pair_choose(p, task, need, &passed_over, &why);
	if (w && task_begin(p, task, w, need, passed_over, why))
		return true;
	if (w)
		goto skip; /* the log is full */
	if (pl->urgency == URGENCY_URGENT)
		make_room(p, task, need);
	if (pass->shape_count < SHAPES_MAX) {
		struct shape *s = &pass->shapes[pass->shape_count++];

		memcpy(s->need, need, sizeof(s->need));
		s->kind = pl->kind;
	}
skip:
	if (t->cursor == pl)
		t->cursor = pl->next;
	return false;
}

void queue_release(struct place *p, struct task *t)
{
	struct worker *w = t->held ? p->workers[t->held - 1] : NULL;

	t->held = 0;
	if (!w || !w->held_us)
		return;
	w->held_us = 0;
	worker_reindex(p, w);
	p->dirty = true;
}

/* Returns the worker kept for the task once it fits there. */
static struct worker *held_worker(struct place *p, struct task *t,
				  const int32_t need[RES_COUNT])
{
	struct worker *w = p->workers[t->held - 1];

	if (!w->held_us || !worker_usable(p, w)) {
		queue_release(p, t);
		return NULL;
	}
	for (int r = 0; r < RES_COUNT; r++)
		if (w->free[r] < need[r])
			return NULL;
	return w;
}

/* Returns why no worker or quota could ever hold a task, or REASON_NONE. */
static enum place_reason why_impossible(const struct place *p,
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
		if (t->quota[r] && pl->need[r] > t->quota[r])
			return REASON_OVER_QUOTA;
	for (int r = 0; r < RES_COUNT; r++)
		need[r] = (int32_t)pl->need[r];
	if (index_find(&p->capacity_index, need, 0) >= 0)
		return REASON_NONE;
	for (int r = 0; r < RES_COUNT; r++)
		if (p->capacity_index.max[1][r] < need[r])
			return reasons[r];
	return REASON_TOO_LARGE_TOGETHER;
}

/* Marks all pending tasks of a placement when they can never start. */
static bool mark_impossible(struct place *p, struct placement *pl)
{
	enum place_reason reason;

	if (pl->checked == p->capacity_changes || !p->total[RES_CPU] ||
	    !p->settled)
		return false;
	pl->checked = p->capacity_changes;
	reason = why_impossible(p, pl);
	if (reason == REASON_NONE)
		return false;
	while (pl->pending.first) {
		struct task *t = pl->pending.first;

		task_set(p, t, TASK_IMPOSSIBLE, reason, NULL);
		if (t == pl->pending.first) {
			pl->checked--; /* the log is full; later again */
			return false;
		}
	}
	return true;
}

void queue_recheck(struct place *p)
{
	for (uint32_t i = 0; i < p->slot_count; i++) {
		struct placement *pl = p->slots[i];

		if (!pl || why_impossible(p, pl) != REASON_NONE)
			continue;
		for (uint32_t j = 0; j < pl->count; j++)
			if (pl->tasks[j].state == TASK_IMPOSSIBLE)
				task_set(p, &pl->tasks[j],
					 pl->tasks[j].ran ? TASK_EVICTED
							  : TASK_PENDING,
					 REASON_NONE, NULL);
	}
}

/* Evicts what yields on one worker until an urgent task fits there. */
static void make_room(struct place *p, struct task *t,
		      const int32_t need[RES_COUNT])
{
	int32_t room[RES_COUNT];
	struct worker *w;
	int leaf;

	leaf = index_find(&p->yield_index, need, 0);
	if (leaf < 0)
		return;
	w = p->workers[leaf];
	t->held = w->handle + 1;
	w->held_us = p->now_us + HOLD_US;
	worker_reindex(p, w);
	memcpy(room, w->free, sizeof(room));
	/* What is being stopped already is room to come. */
	for (struct task *o = w->tasks.first; o; o = o->next)
		for (int r = 0; o->state == TASK_STOPPING && r < RES_COUNT; r++)
			room[r] += o->reserved[r];
	for (;;) {
		struct task *victim;
		bool enough = true;

		for (int r = 0; r < RES_COUNT; r++)
			enough &= room[r] >= need[r];
		victim = enough ? NULL : usage_cheapest(w, URGENCY_URGENT);
		if (!victim)
			return;
		for (int r = 0; r < RES_COUNT; r++)
			room[r] += victim->reserved[r];
		task_stop(p, victim, REASON_PREEMPTED, true);
	}
}
