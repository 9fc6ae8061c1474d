#include <stdlib.h>
#include <string.h>
#include <urcu.h>
#include <xxhash.h>

#include "clock.h"
#include "log.h"
#include "svc-flow-internal.h"

/*
 * A target gets no new requests for this long before its planned stop. This
 * exceeds the longest deadline (30 s), so that all requests end in time.
 */
#define PLANNED_STOP_LEAD_US 31000000u

static uint32_t find_row(const struct flow_target_table *t, const char *id);

int flow_target_lookup(struct flow_svc *f, uint32_t target,
		       struct flow_target_address *out)
{
	const struct flow_target_table *t;
	int result = -1;

	rcu_read_lock();
	t = rcu_dereference(f->target_table);
	if (target < t->count && t->rows[target].used) {
		*out = t->rows[target];
		result = 0;
	}
	rcu_read_unlock();
	return result;
}

/* Returns the target's row, or t->count if it has none. */
static uint32_t find_row(const struct flow_target_table *t, const char *id)
{
	for (uint32_t i = 0; i < t->count; i++)
		if (t->rows[i].used && !strcmp(t->rows[i].id, id))
			return i;
	return t->count;
}

/* Returns a row without target and references, or t->count. */
static uint32_t find_free_row(const struct flow_svc *f,
			      const struct flow_target_table *t)
{
	for (uint32_t i = 0; i < t->count; i++)
		if (!t->rows[i].used && f->target_refs[i] == 0)
			return i;
	return t->count;
}

static bool is_local_runner(const struct flow_svc *f, const struct vm *vm)
{
	return vm->role == VM_RUNNER &&
	       !strcmp(vm->availability_zone,
		       f->settings.node.availability_zone);
}

static bool is_listed(const struct flow_svc *f, const struct vm_list *list,
		      const char *id)
{
	for (size_t i = 0; i < list->count; i++)
		if (is_local_runner(f, &list->vms[i]) &&
		    !strcmp(list->vms[i].id, id))
			return true;
	return false;
}

static bool stop_covers(const struct sheet_stop *stop, const struct vm *vm)
{
	switch (stop->scope) {
	case STOP_VM:
		return !strcmp(stop->target, vm->id);
	case STOP_RACK:
		return !strcmp(stop->target, vm->rack);
	case STOP_AVAILABILITY_ZONE:
		return !strcmp(stop->target, vm->availability_zone);
	}
	return false;
}

/* Returns true if a planned stop is in progress or within the lead time. */
static bool has_planned_stop(const struct flow_svc *f, const struct vm *vm,
			     uint64_t wall_us)
{
	const struct config *c = config_current(f->config);

	for (size_t i = 0; c && i < c->sheet->stop_count; i++) {
		const struct sheet_stop *stop = &c->sheet->stops[i];

		if (wall_us + PLANNED_STOP_LEAD_US >= stop->start_us &&
		    wall_us < stop->start_us + stop->duration_us &&
		    stop_covers(stop, vm))
			return true;
	}
	return false;
}

/* Passes a new or changed target to the core. Caller holds the lock. */
static void update_core_target(struct flow_svc *f, uint32_t row,
			       const struct vm *vm)
{
	struct flow_event e = { .type = FLOW_TARGET };

	e.target.target = row;
	e.target.hash = XXH3_64bits(vm->id, strlen(vm->id));
	e.target.slots = vm->slots;
	e.target.connections = vm->connections;
	e.target.leaving =
		vm->leaving || has_planned_stop(f, vm, clock_wall_us());
	f->target_leaving[row] = e.target.leaving;
	flow_handle_event(f, &e);
}

/* Frees the rows of targets no longer listed. Caller holds the lock. */
static void remove_unlisted_targets(struct flow_svc *f,
				    struct flow_target_table *t,
				    const struct vm_list *list)
{
	for (uint32_t i = 0; i < t->count; i++) {
		struct flow_event e = { .type = FLOW_TARGET_GONE };

		if (!t->rows[i].used || is_listed(f, list, t->rows[i].id))
			continue;
		t->rows[i].used = false;
		e.target.target = i;
		flow_handle_event(f, &e);
	}
}

/*
 * Copies the target table with space for new targets and removes those that
 * are no longer listed. A target keeps its row, which is its handle in the
 * core, while it is listed. Caller holds the lock.
 */
static struct flow_target_table *copy_listed_targets(struct flow_svc *f,
						     const struct vm_list *list)
{
	size_t max_rows = f->target_table->count + list->count;
	struct flow_target_table *t;

	if (max_rows > FLOW_TARGETS_MAX)
		max_rows = FLOW_TARGETS_MAX;
	t = xcalloc(1, sizeof(*t) + max_rows * sizeof(t->rows[0]));
	t->count = f->target_table->count;
	memcpy(t->rows, f->target_table->rows, t->count * sizeof(t->rows[0]));
	remove_unlisted_targets(f, t, list);
	return t;
}

void flow_update_targets(void *svc)
{
	struct flow_svc *f = svc;
	const struct vm_list *list = targets_list(f->targets);
	struct flow_target_table *old, *t;

	pthread_mutex_lock(&f->lock);
	old = f->target_table;
	t = copy_listed_targets(f, list);
	for (size_t i = 0; i < list->count; i++) {
		const struct vm *vm = &list->vms[i];
		uint32_t row;

		if (!is_local_runner(f, vm))
			continue;
		row = find_row(t, vm->id);
		if (row == t->count)
			row = find_free_row(f, t);
		if (row == FLOW_TARGETS_MAX) {
			log_event(LOG_ERROR, "too-many-targets", "target=%s",
				  vm->id);
			continue;
		}
		if (row == t->count)
			t->count++;
		t->rows[row].used = true;
		t->rows[row].address = vm->address;
		memcpy(t->rows[row].id, vm->id, sizeof(vm->id));
	}
	/* Publish the rows before the core can choose the new targets. */
	rcu_assign_pointer(f->target_table, t);
	for (size_t i = 0; i < list->count; i++) {
		uint32_t row = find_row(t, list->vms[i].id);

		if (row < t->count && is_local_runner(f, &list->vms[i]))
			update_core_target(f, row, &list->vms[i]);
	}
	pthread_mutex_unlock(&f->lock);
	synchronize_rcu();
	free(old);
}

void flow_check_planned_stops(struct flow_svc *f)
{
	const struct vm_list *list = targets_list(f->targets);
	uint64_t wall = clock_wall_us();

	for (size_t i = 0; i < list->count; i++) {
		const struct vm *vm = &list->vms[i];
		uint32_t row;
		bool leaving;

		if (!is_local_runner(f, vm))
			continue;
		row = find_row(f->target_table, vm->id);
		if (row == f->target_table->count)
			continue;
		leaving = vm->leaving || has_planned_stop(f, vm, wall);
		if (leaving == f->target_leaving[row])
			continue;
		log_event(LOG_INFO, "planned-stop", "target=%s leaving=%d",
			  vm->id, leaving);
		pthread_mutex_lock(&f->lock);
		update_core_target(f, row, vm);
		pthread_mutex_unlock(&f->lock);
	}
}
