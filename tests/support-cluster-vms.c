#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "support-cluster.h"

static bool update_vm(json_t *list, const char *id, const char *state);

/* Returns false when the VM is not in the list. */
static bool update_vm(json_t *list, const char *id, const char *state)
{
	size_t i;
	json_t *vm;

	json_array_foreach(list, i, vm)
	{
		const char *name = json_string_value(json_object_get(vm, "id"));

		if (!name || strcmp(name, id))
			continue;
		if (!strcmp(state, "gone"))
			json_array_remove(list, i);
		else
			json_object_set_new(vm, "state", json_string(state));
		return true;
	}
	return false;
}

int cluster_set_vm_state(struct cluster *c, const char *id, const char *state)
{
	char path[600], new_path[600];
	json_t *list;
	int rc = -1;

	snprintf(path, sizeof(path), "%s/vms.json", c->folder);
	snprintf(new_path, sizeof(new_path), "%s/vms.json.new", c->folder);
	list = json_load_file(path, 0, NULL);
	/* Renamed into place, as the fakes may read the file at any time. */
	if (list && update_vm(list, id, state) &&
	    json_dump_file(list, new_path, JSON_INDENT(1)) == 0 &&
	    rename(new_path, path) == 0)
		rc = 0;
	else
		fprintf(stderr, "%s: cannot set state of %s to %s\n", path, id,
			state);
	json_decref(list);
	return rc;
}
