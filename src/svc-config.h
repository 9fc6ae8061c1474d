#ifndef SVC_CONFIG_H
#define SVC_CONFIG_H

#include "kernel.h"
#include "settings.h"
#include "sheet.h"

/*
 * NAME
 *	config - service "config": the sheet's revision in force
 *
 * DESCRIPTION
 *	Readers on the request path call config_current() inside an RCU
 *read-side critical section (rcu_read_lock(); the thread is registered with
 *	rcu_register_thread()) and must not keep the pointer outside it. The
 *	control thread, which alone replaces it, needs no critical section.
 *	The revision never decreases in the life of a process.
 */

struct config {
	uint64_t revision;
	struct sheet *sheet;
	char *json; /* canonical sheet */
};

struct config_svc;

struct service *config_create(const struct settings *s);
struct config_svc *config_find(struct kernel *k);

/* Returns the configuration in force, or NULL when there is none yet. */
const struct config *config_current(struct config_svc *c);
uint64_t config_revision(struct config_svc *c);

enum config_apply_code {
	CONFIG_APPLIED,
	CONFIG_CONFLICT,    /* another operator won; revision is the current */
	CONFIG_UNAVAILABLE, /* the store did not confirm */
};

/* Errors of layer ERROR_LAYER_CORE in a result. */
enum config_error {
	CONFIG_MALFORMED = 1, /* the stored value cannot be understood */
	CONFIG_NEWER_FORMAT,  /* it was stored by a newer version */
	CONFIG_INVALID_SHEET,
	CONFIG_TIMED_OUT,
	CONFIG_STOPPING,
};

struct config_apply_result {
	enum config_apply_code code;
	uint64_t revision;
	char *json; /* on conflict, the sheet in force; caller frees */
	struct error err;
};

/*
 * Stores a sheet on top of revision base and waits for the store's answer,
 * at most timeout_us. Not on the control thread.
 */
void config_apply(struct config_svc *c, uint64_t base, const char *json,
		  uint64_t timeout_us, struct config_apply_result *out);

/*
 * Calls fn on the control thread after each new revision. The sheet before
 * stays valid until fn returns.
 */
void config_on_change(struct config_svc *c, void (*fn)(void *arg), void *arg);

#endif
