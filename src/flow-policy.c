#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "flow-internal.h"

static const double urgency_weight[URGENCY_COUNT] = {
	[URGENCY_URGENT] = 4.0,
	[URGENCY_NORMAL] = 2.0,
	[URGENCY_DEFERRABLE] = 1.0,
};

void admit_free(struct flow *f)
{
	for (uint32_t i = 0; i < f->kind_count; i++)
		free(f->kinds[i].service_times);
	free(f->kinds);
	free(f->teams);
	free(f->queues);
	free(f->active_kinds);
}

/* Initializes a kind from the sheet. Keeps the measurements of the old one. */
static void init_kind(struct flow_kind *k, const struct sheet_kind *from,
		      struct flow_kind *old)
{
	memset(k, 0, sizeof(*k));
	if (old) {
		*k = *old;
		old->service_times = NULL;
	}
	memcpy(k->user, from->user, sizeof(k->user));
	memcpy(k->name, from->name, sizeof(k->name));
	k->priority = from->priority;
	k->share = from->share_percent / 100.0;
	k->weight = (from->share_percent ? from->share_percent : 1) *
		    urgency_weight[from->priority];
	k->limit = from->limit;
	k->in_flight = 0;
	k->queued = 0;
	k->running = 0;
	k->hedge_head = FLOW_NONE;
	k->hedge_tail = FLOW_NONE;
}

static void init_queue(struct flow_queue *q, uint32_t team, double weight)
{
	memset(q, 0, sizeof(*q));
	q->team = team;
	q->weight = weight;
	for (int u = 0; u < URGENCY_COUNT; u++) {
		q->head[u] = FLOW_NONE;
		q->tail[u] = FLOW_NONE;
	}
}

static int32_t find_kind(const struct flow_kind *kinds, uint32_t count,
			 const char *user, const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(kinds[i].name, name) &&
		    !strcmp(kinds[i].user, user))
			return (int32_t)i;
	return -1;
}

/*
 * Builds the teams and queues of a sheet. Requests of kind i without a team use
 * the unnamed team at index sheet->team_count + i.
 */
static void build_teams_and_queues(struct flow *f, const struct sheet *sheet)
{
	uint32_t named = (uint32_t)sheet->team_count;
	uint32_t queues_max = f->kind_count * (named + 1);

	f->team_count = named + f->kind_count;
	f->teams = xcalloc(f->team_count + 1, sizeof(*f->teams));
	f->queues = xcalloc(queues_max + 1, sizeof(*f->queues));
	f->queue_count = 0;
	for (uint32_t i = 0; i < named; i++) {
		const struct sheet_team *t = &sheet->teams[i];

		memcpy(f->teams[i].user, t->user, sizeof(t->user));
		memcpy(f->teams[i].name, t->name, sizeof(t->name));
		f->teams[i].limit = t->limit;
	}
	for (uint32_t i = 0; i < f->kind_count; i++) {
		struct flow_kind *k = &f->kinds[i];

		k->queue_first = f->queue_count;
		init_queue(&f->queues[f->queue_count++], named + i, 1);
		for (uint32_t t = 0; t < named; t++) {
			uint32_t share = sheet->teams[t].share_percent;

			if (strcmp(sheet->teams[t].user, k->user) != 0)
				continue;
			init_queue(&f->queues[f->queue_count++], t,
				   share ? share : 1);
		}
		k->queue_count = f->queue_count - k->queue_first;
	}
	f->queues =
		xrealloc(f->queues, (f->queue_count + 1) * sizeof(*f->queues));
}

/* Returns the queue of a team in a kind, or the kind's unnamed team's queue. */
static uint32_t find_queue(const struct flow *f, uint32_t kind, uint32_t team)
{
	const struct flow_kind *k = &f->kinds[kind];

	for (uint32_t i = 0; i < k->queue_count; i++)
		if (f->queues[k->queue_first + i].team == team)
			return k->queue_first + i;
	return k->queue_first;
}

void admit_assign_queue(const struct flow *f, struct flow_request *r,
			int32_t team)
{
	r->queue = f->kinds[r->kind].queue_first;
	if (team >= 0)
		r->queue = find_queue(f, (uint32_t)r->kind, (uint32_t)team);
	r->team = f->queues[r->queue].team;
}

/* Returns the index of an old team in the new table, or -1. */
static int32_t find_team(const struct flow *f, const struct flow_team *old)
{
	for (uint32_t i = 0; i < f->team_count && old->name[0]; i++)
		if (!strcmp(f->teams[i].name, old->name) &&
		    !strcmp(f->teams[i].user, old->user))
			return (int32_t)i;
	return -1;
}

/* Moves a running or finished request to the new tables. */
static void move_running(struct flow *f, uint32_t handle, int32_t kind,
			 const struct flow_team *old_team)
{
	struct flow_request *r = &f->requests[handle];

	r->kind = kind;
	r->in_hedge_list = false;
	if (kind < 0) {
		/* The team past the end has no limit. */
		r->team = f->team_count;
	} else {
		admit_assign_queue(f, r, find_team(f, old_team));
		for (int i = 0; i < FLOW_RUNNING_ATTEMPTS_MAX; i++)
			f->kinds[kind].running +=
				r->running_attempts[i].target != FLOW_NONE;
		f->kinds[kind].in_flight += r->state == REQUEST_RUNNING;
	}
	f->teams[r->team].in_flight += r->state == REQUEST_RUNNING;
	if (r->state == REQUEST_RUNNING && r->idempotent && !r->hedged)
		hedge_list_add(f, handle);
}

/* Moves a queued request, or refuses it if its kind was removed. */
static void move_queued(struct flow *f, uint32_t handle, int32_t kind,
			const struct flow_team *old_team, uint64_t now_us,
			struct flow_actions *out)
{
	struct flow_request *r = &f->requests[handle];

	r->kind = kind;
	if (kind < 0) {
		fifo_list_remove(f, handle);
		r->team = f->team_count;
		f->teams[r->team].in_flight++;
		flow_refuse(f, handle, FLOW_REASON_UNKNOWN_KIND, now_us, out);
		return;
	}
	admit_assign_queue(f, r, find_team(f, old_team));
	f->kinds[kind].in_flight++;
	f->teams[r->team].in_flight++;
	flow_queue_push(f, handle, false);
}

/* Moves all requests from the old tables to the new ones. */
static void move_requests(struct flow *f, const struct flow_kind *old_kinds,
			  const struct flow_team *old_teams, uint64_t now_us,
			  struct flow_actions *out)
{
	uint32_t next;

	for (uint32_t i = 0; i < f->request_handle_end; i++) {
		struct flow_request *r = &f->requests[i];
		int32_t kind = -1;

		if (r->state != REQUEST_RUNNING && r->state != REQUEST_FINISHED)
			continue;
		if (r->kind >= 0)
			kind = find_kind(f->kinds, f->kind_count,
					 old_kinds[r->kind].user,
					 old_kinds[r->kind].name);
		move_running(f, i, kind, &old_teams[r->team]);
	}
	for (uint32_t i = f->fifo_head; i != FLOW_NONE; i = next) {
		struct flow_request *r = &f->requests[i];
		const struct flow_kind *old = &old_kinds[r->kind];

		next = r->fifo_next;
		move_queued(f, i,
			    find_kind(f->kinds, f->kind_count, old->user,
				      old->name),
			    &old_teams[r->team], now_us, out);
	}
}

void admit_apply_sheet(struct flow *f, const struct sheet *sheet,
		       uint64_t now_us, struct flow_actions *out)
{
	struct flow_kind *old_kinds = f->kinds;
	struct flow_team *old_teams = f->teams;
	uint32_t old_count = f->kind_count;

	f->kind_count = (uint32_t)sheet->kind_count;
	f->kinds = xcalloc(f->kind_count + 1, sizeof(*f->kinds));
	for (uint32_t i = 0; i < f->kind_count; i++) {
		const struct sheet_kind *from = &sheet->kinds[i];
		int32_t old =
			find_kind(old_kinds, old_count, from->user, from->name);

		init_kind(&f->kinds[i], from, old < 0 ? NULL : &old_kinds[old]);
	}
	free(f->queues);
	build_teams_and_queues(f, sheet);
	free(f->active_kinds);
	f->active_kinds = xcalloc(f->kind_count + 1, sizeof(*f->active_kinds));
	f->active_kind_count = 0;
	f->has_policy = true;
	move_requests(f, old_kinds, old_teams, now_us, out);
	for (uint32_t i = 0; i < old_count; i++)
		free(old_kinds[i].service_times);
	free(old_kinds);
	free(old_teams);
}
