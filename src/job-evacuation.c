#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-evacuation.h"
#include "job-node.h"
#include "kv-follow.h"
#include "log.h"

/*
 * Part of the bound that is left to a start once it was allowed: the owner
 * sends it by a deadline, the relay passes it on by the same one, and the call
 * of the worker takes 0.8 s at most.
 */
#define START_MAX_US 2000000u
/*
 * With a bound of 5 s starts are allowed while the view is less than 3 s old.
 * Polls of 0.6 s keep it below 1.3 s, and below 2.4 s if one answer is lost,
 * which takes 0.7 s more to detect and 0.4 s to repeat. With polls of 1.2 s one
 * lost answer would make it 3.5 s old and stop all starts.
 */
#define WATCHES_PER_BOUND 8u

struct evacuated_zone {
	char name[JOB_NAME_BYTES];
	bool unseen; /* not seen yet in the current read of the keys */
};

struct job_evacuation {
	struct job_node *node;
	uint64_t bound_us; /* 0: there are no evacuations */
	struct evacuated_zone *zones;
	uint32_t count;
	bool stale; /* the view was too old at the last check */
	struct counter *stale_total;
	struct counter *zones_now;
};

struct job_evacuation *job_evacuation_create(struct job_node *n)
{
	struct job_evacuation *e = xcalloc(1, sizeof(*e));

	e->node = n;
	e->bound_us = n->settings->jobs.evacuation_bound_us;
	e->stale_total =
		counter_get(COUNTER, "waxwing_evacuation_stale_total", NULL);
	e->zones_now = counter_get(GAUGE, "waxwing_evacuated_zones", NULL);
	return e;
}

void job_evacuation_destroy(struct job_evacuation *e)
{
	if (!e)
		return;
	free(e->zones);
	free(e);
}

static struct evacuated_zone *find_zone(const struct job_evacuation *e,
					const char *name)
{
	for (uint32_t i = 0; i < e->count; i++)
		if (!strcmp(e->zones[i].name, name))
			return &e->zones[i];
	return NULL;
}

/* Returns NULL if the key is not that of an evacuation. */
static const char *zone_of_key(const struct job_evacuation *e, const char *key)
{
	const char *prefix = e->node->platform->evacuation_prefix;
	const char *zone = key + strlen(prefix);

	if (!e->bound_us || strncmp(key, prefix, strlen(prefix)) || !*zone ||
	    strlen(zone) >= JOB_NAME_BYTES)
		return NULL;
	return zone;
}

static void zones_changed(struct job_evacuation *e)
{
	counter_set(e->zones_now, e->count);
	job_owner_evacuation_changed(e->node->owner);
}

static void remove_zone(struct job_evacuation *e, struct evacuated_zone *z)
{
	log_event(LOG_WARNING, "evacuation-ended", "zone=%s", z->name);
	*z = e->zones[--e->count];
}

bool job_evacuation_item(struct job_evacuation *e, const struct kv_item *item)
{
	const char *name = zone_of_key(e, item->key);
	struct evacuated_zone *z;

	if (!name)
		return false;
	z = find_zone(e, name);
	if (z && !item->deleted) {
		z->unseen = false;
	} else if (z) {
		remove_zone(e, z);
		zones_changed(e);
	} else if (!item->deleted) {
		e->zones =
			xrealloc(e->zones, (e->count + 1) * sizeof(*e->zones));
		z = &e->zones[e->count++];
		memset(z, 0, sizeof(*z));
		snprintf(z->name, sizeof(z->name), "%s", name);
		log_event(LOG_WARNING, "evacuation-began",
			  "zone=%s revision=%llu", name,
			  (unsigned long long)item->revision);
		zones_changed(e);
	}
	return true;
}

void job_evacuation_begin(struct job_evacuation *e)
{
	for (uint32_t i = 0; i < e->count; i++)
		e->zones[i].unseen = true;
}

void job_evacuation_end(struct job_evacuation *e)
{
	uint32_t before = e->count;

	for (uint32_t i = e->count; i-- > 0;)
		if (e->zones[i].unseen)
			remove_zone(e, &e->zones[i]);
	if (e->count != before)
		zones_changed(e);
}

bool job_evacuation_includes(const struct job_evacuation *e, const char *zone)
{
	return find_zone(e, zone) != NULL;
}

/* When the request was sent whose answer confirmed the keys; 0: never. */
static uint64_t confirmed_us(const struct job_evacuation *e)
{
	const struct kv_follow *f = e->node->config_follow;

	return f ? kv_follow_confirmed_us(f) : 0;
}

uint64_t job_evacuation_starts_end_us(const struct job_evacuation *e)
{
	uint64_t seen_us;

	if (!e->bound_us)
		return UINT64_MAX;
	seen_us = confirmed_us(e);
	return seen_us ? seen_us + e->bound_us - START_MAX_US : 0;
}

uint32_t job_evacuation_watch_ms(const struct job_evacuation *e)
{
	return (uint32_t)(e->bound_us / 1000 / WATCHES_PER_BOUND);
}

void job_evacuation_check_age(struct job_evacuation *e, uint64_t now_us)
{
	bool stale = now_us >= job_evacuation_starts_end_us(e);

	if (stale == e->stale)
		return;
	e->stale = stale;
	if (stale)
		counter_add(e->stale_total, 1);
	log_event(stale ? LOG_WARNING : LOG_INFO,
		  stale ? "starts-withheld" : "starts-resumed", "age_ms=%llu",
		  (unsigned long long)(now_us - confirmed_us(e)) / 1000);
}

void job_evacuation_apply(const struct job_evacuation *e, struct sched *s)
{
	char(*zones)[JOB_NAME_BYTES] = xcalloc(e->count + 1, sizeof(*zones));

	for (uint32_t i = 0; i < e->count; i++)
		memcpy(zones[i], e->zones[i].name, sizeof(zones[i]));
	sched_set_evacuated(s, (const char(*)[JOB_NAME_BYTES])zones, e->count,
			    clock_now_us());
	free(zones);
}
