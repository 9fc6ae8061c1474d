#ifndef SVC_CONFIG_H
#define SVC_CONFIG_H

#include "kernel.h"
#include "settings.h"
#include "sheet.h"

/*
 * NAME
 *	config - service "config": the current revision of the sheet
 *
 * DESCRIPTION
 *	Readers on the request path call config_current() inside an RCU
 *read-side critical section (rcu_read_lock(); the thread is registered with
 *	rcu_register_thread()) and must not use the pointer outside it. The
 *	control thread is the only writer and needs no critical section. The
 *	revision never decreases during the lifetime of a process.
 */

struct config {
	uint64_t revision;
	struct sheet *sheet;
	char *json; /* canonical sheet */
};

struct config_svc;

struct service *config_create(const struct settings *s);
struct config_svc *config_find(struct kernel *k);

/* Returns the current configuration, or NULL if there is none yet. */
const struct config *config_current(struct config_svc *c);
uint64_t config_revision(struct config_svc *c);

enum config_apply_code {
	CONFIG_APPLIED,
	CONFIG_CONFLICT,    /* base is not the current revision, returned */
	CONFIG_UNAVAILABLE, /* the store did not confirm the change */
};

/* Error codes of layer ERROR_LAYER_CORE in a result. */
enum config_error {
	CONFIG_MALFORMED = 1, /* the stored value cannot be parsed */
	CONFIG_NEWER_FORMAT,  /* it was written by a newer version */
	CONFIG_INVALID_SHEET,
	CONFIG_TIMED_OUT,
	CONFIG_STOPPING,
};

struct config_apply_result {
	enum config_apply_code code;
	uint64_t revision;
	char *json; /* on conflict, the current sheet; caller frees */
	struct error err;
};

/*
 * Stores a sheet as the successor of revision base and waits at most timeout_us
 * for the result. Must not be called on the control thread.
 */
void config_apply(struct config_svc *c, uint64_t base, const char *json,
		  uint64_t timeout_us, struct config_apply_result *out);

/*
 * Calls fn on the control thread after each change of the revision. The
 * previous sheet remains valid until fn returns.
 */
void config_on_change(struct config_svc *c, void (*fn)(void *arg), void *arg);

#endif
