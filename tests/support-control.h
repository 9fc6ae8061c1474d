#ifndef SUPPORT_CONTROL_H
#define SUPPORT_CONTROL_H

#include <stdbool.h>

#include <jansson.h>

/*
 * NAME
 *	support-control - parsing of fault injection requests
 *
 * DESCRIPTION
 *	control_read_number() and control_read_bool() leave the value unchanged
 *	if the field is absent or has another type. Call control_fields_known()
 *	first: if a misspelt field were ignored, a test would pass without its
 *	fault.
 */

/*
 * Returns false, with a message on standard error, if the object has a field
 * that isn't in the NULL-terminated names.
 */
bool control_fields_known(const json_t *change, const char *const names[]);

void control_read_number(const json_t *change, const char *name, double *value);
void control_read_bool(const json_t *change, const char *name, bool *value);

/* Returns true if all faults are to be reset before the change. */
bool control_reset_requested(const json_t *change);

#endif
