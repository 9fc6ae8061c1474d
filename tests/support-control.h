#ifndef SUPPORT_CONTROL_H
#define SUPPORT_CONTROL_H

#include <stdbool.h>

#include <jansson.h>

/*
 * NAME
 *	support-control - fields of the calls that change faults
 *
 * DESCRIPTION
 *	control_read_number() and control_read_bool() leave the value alone when
 *the field is absent or of another type. control_fields_known() is asked first:
 *a misspelt field that is ignored would make a test pass without its fault.
 */

/* names ends with NULL. Prints an unknown field on standard error. */
bool control_fields_known(const json_t *change, const char *const names[]);

void control_read_number(const json_t *change, const char *name, double *value);
void control_read_bool(const json_t *change, const char *name, bool *value);

/* True when the object asks for a reset of all faults first. */
bool control_reset_requested(const json_t *change);

#endif
