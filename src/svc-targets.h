#ifndef SVC_TARGETS_H
#define SVC_TARGETS_H

#include "kernel.h"
#include "platform.h"
#include "settings.h"

/*
 * NAME
 *	targets - service "targets": the platform's list of VMs
 *
 * DESCRIPTION
 *	The member with the zone's lowest live seat reads the list from the
 *	platform once a second and passes it on to the zone's peers with a
 *	version (its sample time); a process without a recent list asks its
 *	peers. The list in use is kept while the platform is away. Control
 *	thread only.
 */

struct targets;

struct service *targets_create(const struct settings *s);
struct targets *targets_find(struct kernel *k);

/* The list in force; valid until the next change. count is 0 before any. */
const struct vm_list *targets_list(struct targets *t);

/* Calls fn on the control thread after each change of the list. */
void targets_on_change(struct targets *t, void (*fn)(void *arg), void *arg);

#endif
