#ifndef SVC_TARGETS_H
#define SVC_TARGETS_H

#include "kernel.h"
#include "platform.h"
#include "settings.h"

/*
 * NAME
 *	targets - service "targets": list of VMs known to the platform
 *
 * DESCRIPTION
 *	The member with the lowest live seat of the zone reads the list from
 *	the platform once a second. It sends changed lists to its peers in the
 *	zone, with the time of the read as version. A process without a recent
 *	list requests one from its peers. The current list is kept while the
 *	platform is unavailable. Control thread only.
 */

struct targets;

struct service *targets_create(const struct settings *s);
struct targets *targets_find(struct kernel *k);

/* Current list, valid until the next change; empty before the first one. */
const struct vm_list *targets_list(struct targets *t);

/* Registers fn to be called on the control thread after each change. */
void targets_on_change(struct targets *t, void (*fn)(void *arg), void *arg);

#endif
