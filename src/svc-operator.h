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
 *
 *	PUT /v1/sheet takes the sheet as CSV or as JSON, told apart by the
 *	first byte. A refused sheet is answered with 422 and
 *	{"error","count","faults":[{"line","column","message"}]}, a conflict
 *	with 409 and {"error","revision","changes"}.
 */
struct service *operator_create(const struct settings *s);
struct operator_svc;
struct operator_svc *operator_find(struct kernel *k);

/* Replaces the token, at SIGHUP. Any thread. */
void operator_set_token(struct operator_svc *o, const char *token);

#endif
