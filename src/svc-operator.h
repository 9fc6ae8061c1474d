#ifndef SVC_OPERATOR_H
#define SVC_OPERATOR_H

#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	operator - service "operator": the operators' HTTP interface
 *
 * DESCRIPTION
 *	See docs/design.md 3.4. POST /v1/drain makes the process drain and
 *	exit as SIGTERM does.
 */
struct service *operator_create(const struct settings *s);

#endif
