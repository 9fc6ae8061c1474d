#ifndef SVC_OPERATOR_H
#define SVC_OPERATOR_H

#include "kernel.h"
#include "settings.h"

/*
 * NAME
 *	operator - service "operator": HTTP API for operators
 *
 * DESCRIPTION
 *	See docs/design.md 3.4. POST /v1/drain makes the process drain and
 *	exit, like SIGTERM.
 *
 *	PUT /v1/sheet accepts the sheet as CSV or JSON, distinguished by the
 *	first byte. An invalid sheet results in status 422 with
 *	{"error","count","faults":[{"line","column","message"}]}, a conflict
 *	in 409 with {"error","revision","changes"}.
 */
struct service *operator_create(const struct settings *s);
struct operator_svc;
struct operator_svc *operator_find(struct kernel *k);

/* Replaces the token on SIGHUP. May be called on any thread. */
void operator_set_token(struct operator_svc *o, const char *token);

#endif
