#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#include "support-journal.h"
#include "support-vms.h"

static bool file_changed(struct vms *v);
static const char *vm_state(const json_t *list, const char *id);
static void journal_state_changes(const json_t *before, const json_t *after);
static void publish_due_lists(struct vms *v, uint64_t now_us);
static void set_current(struct vms *v, json_t *list, uint64_t now_us);

void vms_init(struct vms *v, const char *path, uint64_t lag_us)
{
	memset(v, 0, sizeof(*v));
	v->path = path;
	v->lag_us = lag_us;
}

void vms_free(struct vms *v)
{
	json_decref(v->current);
	json_decref(v->published);
	for (unsigned i = 0; i < v->pending_count; i++)
		json_decref(v->pending[i].list);
}

static bool file_changed(struct vms *v)
{
	struct stat st;
	uint64_t mtime_ns;

	if (stat(v->path, &st) < 0)
		return false;
	mtime_ns = (uint64_t)st.st_mtim.tv_sec * 1000000000u +
		   (uint64_t)st.st_mtim.tv_nsec;
	if (mtime_ns == v->mtime_ns && st.st_ino == v->inode)
		return false;
	v->mtime_ns = mtime_ns;
	v->inode = st.st_ino;
	return true;
}

/* Returns the VM's state, or "gone" when the list lacks it. */
static const char *vm_state(const json_t *list, const char *id)
{
	size_t i;
	json_t *vm;

	json_array_foreach(list, i, vm)
	{
		const char *other =
			json_string_value(json_object_get(vm, "id"));
		const char *state;

		if (!other || strcmp(other, id))
			continue;
		state = json_string_value(json_object_get(vm, "state"));
		return state ? state : "live";
	}
	return "gone";
}

static void journal_state_changes(const json_t *before, const json_t *after)
{
	size_t i;
	json_t *vm;

	json_array_foreach(before, i, vm)
	{
		const char *id = json_string_value(json_object_get(vm, "id"));
		const char *old, *now;

		if (!id)
			continue;
		old = vm_state(before, id);
		now = vm_state(after, id);
		if (strcmp(old, now))
			journal_event(
				"vm-state", "{s:s,s:s,s:s?}", "vm", id, "state",
				now, "role",
				json_string_value(json_object_get(vm, "role")));
	}
}

static void set_current(struct vms *v, json_t *list, uint64_t now_us)
{
	journal_state_changes(v->current, list);
	if (!v->published) {
		v->published = json_incref(list);
	} else {
		if (v->pending_count == VMS_PENDING_MAX)
			json_decref(v->pending[--v->pending_count].list);
		v->pending[v->pending_count].list = json_incref(list);
		v->pending[v->pending_count++].publish_us = now_us + v->lag_us;
	}
	json_decref(v->current);
	v->current = list;
}

static void publish_due_lists(struct vms *v, uint64_t now_us)
{
	while (v->pending_count && v->pending[0].publish_us <= now_us) {
		json_decref(v->published);
		v->published = v->pending[0].list;
		v->pending_count--;
		memmove(v->pending, v->pending + 1,
			v->pending_count * sizeof(v->pending[0]));
	}
}

bool vms_poll(struct vms *v, uint64_t now_us)
{
	json_t *list = NULL;

	if (v->path && file_changed(v))
		list = json_load_file(v->path, 0, NULL);
	if (list && !json_is_array(list)) {
		json_decref(list);
		list = NULL;
	}
	if (list)
		set_current(v, list, now_us);
	publish_due_lists(v, now_us);
	return list != NULL;
}
