#include <stdio.h>
#include <string.h>

#include "place-internal.h"

bool place_view_task(struct place *p, const char *id,
		     struct place_task_view *out)
{
	struct place_task *t = task_lookup(p, id);
	int32_t need[RES_COUNT];

	if (!t)
		return false;
	memset(out, 0, sizeof(*out));
	task_id(t, out->id);
	out->state = (enum task_state)t->state;
	out->attempt = t->attempt;
	out->reason = reason_text((enum place_reason)t->reason);
	out->cpu_percent = t->cpu_percent;
	out->state_since_us = t->state_since_us;
	if (t->checkpoint)
		snprintf(out->checkpoint, sizeof(out->checkpoint), "%s",
			 t->checkpoint);
	if (t->worker) {
		snprintf(out->worker, sizeof(out->worker), "%s", t->worker->id);
		memcpy(need, t->reserved, sizeof(need));
	} else {
		usage_estimate(p, t->placement, need);
	}
	out->cpu_milli = (uint32_t)need[RES_CPU];
	out->memory_mb = (uint32_t)need[RES_MEMORY];
	return true;
}

bool place_view_placement(struct place *p, const char *id,
			  struct placement_spec *out, bool *cancelled)
{
	struct placement *pl = placement_lookup(p, id);

	if (!pl)
		return false;
	placement_to_spec(p, pl, out);
	out->count = pl->desired_count;
	*cancelled = pl->cancelled;
	return true;
}

void place_each_placement(struct place *p,
			  void (*fn)(void *arg, const char *id), void *arg)
{
	for (uint32_t i = 0; i < p->slot_count; i++)
		if (p->slots[i])
			fn(arg, p->slots[i]->id);
}

void place_for_each_renewed(struct place *p, const char *worker,
			    void (*fn)(void *arg, const char *task), void *arg)
{
	struct place_worker *w = worker_lookup(p, worker);
	uint64_t end_us = p->now_us + PLACE_CALL_MAX_US +
			  PLACE_LATE_DELIVERY_US + PLACE_TASK_LEASE_US;
	char id[PLACE_NAME_BYTES + 12];

	for (struct place_task *t = w ? w->tasks.first : NULL; t; t = t->next) {
		if (t->state != TASK_RUNNING)
			continue;
		/*
		 * Until the fencing token is raised, the previous owner may
		 * renew the lease beyond this time.
		 */
		if (w->fence_raised || end_us > t->lease_end_us)
			t->lease_end_us = end_us;
		t->lease_expired = false;
		task_id(t, id);
		fn(arg, id);
	}
}

void place_get_counts(struct place *p, struct place_counts *out)
{
	memset(out, 0, sizeof(*out));
	for (uint32_t i = 0; i < p->slot_count; i++) {
		struct placement *pl = p->slots[i];

		out->placements += pl != NULL;
		for (uint32_t j = 0; pl && j < pl->count; j++)
			out->tasks[pl->tasks[j].state]++;
	}
	for (uint32_t i = 0; i < p->worker_count; i++) {
		const struct place_worker *w = p->workers[i];

		out->workers += w->listed;
		out->quarantined += w->quarantine_end_us != 0;
		out->leaving += w->listed && w->leaving;
	}
	out->evictions = p->evictions;
	out->decisions = p->decisions;
}
