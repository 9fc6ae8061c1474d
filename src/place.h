#ifndef PLACE_H
#define PLACE_H

#include "core.h"
#include "oplog.h"
#include "settings.h"

/*
 * NAME
 *	place - placement decision core of one shard
 *
 * DESCRIPTION
 *	There is one instance per shard. place_oplog_client() is registered
 *	with the shard's log, which resets, restores and replays the state and
 *	reports when this process becomes the owner of the shard. The driver
 *	passes events and the current time, and executes the actions that
 *	place_next_action() returns. Calls to one worker are made in the order
 *	of their actions. A PLACE_START is returned only after its log entry
 *	is durable. See docs/design.md 5.3 and 5.4.
 *
 *	A call is sent at most PLACE_CALL_MAX_US after its action was
 *	returned, and a start only while the epoch is unchanged.
 *
 * UNITS
 *	Times are microseconds of CLOCK_BOOTTIME.
 */

#define PLACE_TASK_LEASE_US 10000000u
#define PLACE_RENEW_INTERVAL_US 3000000u
/* Maximum time from returning an action to the end of its call. */
#define PLACE_CALL_MAX_US 3000000u
/* Maximum time in which a call without a response can reach its worker. */
#define PLACE_LATE_DELIVERY_US 5000000u

/*
 * Appends an entry to the shard's log. A deferrable entry may be delayed, since
 * no request waits for it. Returns -1 if the log rejected the entry.
 */
typedef int place_append_fn(void *arg, const void *data, size_t len,
			    uint64_t token, bool deferrable);

struct place_options {
	enum settings_placement policy;
	uint64_t outage_horizon_us;
	uint64_t report_lag_us; /* delay of usage reports; 0: 2 s */
	uint64_t seed;
	place_append_fn *append;
	void *append_arg;
};

struct place;

struct place *place_create(const struct place_options *o);
void place_destroy(struct place *p);
struct oplog_client *place_oplog_client(struct place *p);

/* Maximum time after the last log append at which a call is still sent. */
uint64_t place_outage_horizon_us(const struct place *p);

/* The new policy applies from the next decision. */
void place_set_policy(struct place *p, enum settings_placement policy);

void place_step(struct place *p, uint64_t now_us, const struct place_event *e);

/* Returns false if no action is queued. */
bool place_next_action(struct place *p, struct place_action *out);

/*
 * Calls fn with the id of each task to name in a PLACE_RENEW call to a worker,
 * and extends the lease end of these tasks.
 */
void place_for_each_renewed(struct place *p, const char *worker,
			    void (*fn)(void *arg, const char *task), void *arg);

struct place_task_view {
	char id[PLACE_NAME_BYTES + 12];
	enum task_state state;
	uint32_t attempt;
	char worker[PLACE_NAME_BYTES]; /* "" if not assigned */
	char checkpoint[PLACE_NAME_BYTES];
	const char *reason; /* static; "" for none */
	uint32_t cpu_milli; /* reserved, or estimated for the next start */
	uint32_t memory_mb;
	uint32_t cpu_percent;	 /* CPU limit, 100 if not throttled */
	uint64_t state_since_us; /* 0: since before this owner */
};

struct place_counts {
	uint32_t placements;
	uint32_t tasks[TASK_IMPOSSIBLE + 1]; /* by state */
	uint32_t workers;
	uint32_t quarantined;
	uint32_t leaving;
	uint64_t evictions; /* since this process became the owner */
	uint64_t decisions; /* since this process became the owner */
};

/* These return false if the id is unknown. */
bool place_view_task(struct place *p, const char *id,
		     struct place_task_view *out);
bool place_view_placement(struct place *p, const char *id,
			  struct placement_spec *out, bool *cancelled);

void place_each_placement(struct place *p,
			  void (*fn)(void *arg, const char *id), void *arg);
void place_get_counts(struct place *p, struct place_counts *out);

const char *task_state_name(enum task_state s);

#endif
