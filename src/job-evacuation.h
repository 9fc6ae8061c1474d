#ifndef JOB_EVACUATION_H
#define JOB_EVACUATION_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

struct job_node;
struct sched;

/*
 * NAME
 *	job-evacuation - availability zones in which nothing may be started
 *
 * DESCRIPTION
 *	An operator writes the key evacuation_prefix/ZONE of the platform; until
 *	it is removed nothing is started on the workers of the zone. Each entry
 *	VM follows these keys with the configuration (job-config.c): the owner,
 *	which sends the starts, and the relays, which may hold one.
 *
 *	A start is allowed only while the view of the keys is recent enough for
 *	the bound of the setting evacuation_bound. Without that setting there
 *	are no evacuations, and all starts are allowed.
 *
 *	See docs/design/evacuation.md.
 */

struct job_evacuation *job_evacuation_create(struct job_node *n);
void job_evacuation_destroy(struct job_evacuation *e);

/*
 * A key below the prefix of the configuration was set or deleted. Returns false
 * if it is not the key of an evacuation.
 */
bool job_evacuation_item(struct job_evacuation *e, const struct kv_item *item);
/* All keys are read again; what is absent then has ended. */
void job_evacuation_begin(struct job_evacuation *e);
void job_evacuation_end(struct job_evacuation *e);

/* Whether the zone is evacuated. */
bool job_evacuation_includes(const struct job_evacuation *e, const char *zone);
/* Until when starts are allowed; UINT64_MAX: at any time. */
uint64_t job_evacuation_starts_end_us(const struct job_evacuation *e);
/* Duration of one poll of the keys; 0: any. */
uint32_t job_evacuation_watch_ms(const struct job_evacuation *e);
/* Logs, as the owner, when the view of the keys becomes too old or recent. */
void job_evacuation_check_age(struct job_evacuation *e, uint64_t now_us);
void job_evacuation_apply(const struct job_evacuation *e, struct sched *s);

#endif
