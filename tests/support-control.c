#include <stdio.h>
#include <string.h>

#include "support-control.h"

bool control_fields_known(const json_t *change, const char *const names[])
{
	const char *field;
	json_t *value;

	/* json_object_foreach() needs a non-const pointer, but only reads. */
	json_object_foreach((json_t *)change, field, value)
	{
		size_t i = 0;

		while (names[i] && strcmp(names[i], field))
			i++;
		if (!names[i]) {
			fprintf(stderr, "unknown fault field: %s\n", field);
			return false;
		}
	}
	return true;
}

void control_read_number(const json_t *change, const char *name, double *value)
{
	json_t *v = json_object_get(change, name);

	if (json_is_number(v))
		*value = json_number_value(v);
}

void control_read_bool(const json_t *change, const char *name, bool *value)
{
	json_t *v = json_object_get(change, name);

	if (json_is_boolean(v))
		*value = json_is_true(v);
}

bool control_reset_requested(const json_t *change)
{
	return json_is_true(json_object_get(change, "reset"));
}
