#ifndef SUPPORT_PLACE_H
#define SUPPORT_PLACE_H

#include "place.h"

/*
 * NAME
 *	support-place - a place core with an in-memory log, for tests
 *
 * DESCRIPTION
 *	Entries become durable with shard_commit(). shard_replace_owner() makes
 *	a new core from the durable entries, directly or through a snapshot,
 *	as a takeover does.
 */

#define SHARD_OUTAGE_HORIZON_US 20000000u

struct shard_entry {
	char *data;
	size_t len;
	uint64_t token;
};

/* A core that owns the shard, or owned it before. */
struct shard_owner {
	struct shard *shard;
	uint64_t epoch;
	uint64_t last_append_us;
	struct place *place;
};

struct shard {
	struct place *place;
	struct shard_owner *owner;
	struct place_options options;
	struct shard_entry *entries;
	size_t count;
	size_t capacity;
	size_t durable;
	uint64_t now_us;
	uint64_t epoch;
	bool log_full; /* the log rejects appends */
};

void shard_init(struct shard *s, enum settings_placement policy);
void shard_free(struct shard *s);

/* Makes up to n more entries durable. */
void shard_commit(struct shard *s, size_t n);

/*
 * Makes a new owner; entries that are not durable are lost. shard_take_over()
 * returns the previous owner, whose appends fail from then on; the caller
 * frees it with shard_owner_free().
 */
void shard_replace_owner(struct shard *s, bool through_snapshot);
struct shard_owner *shard_take_over(struct shard *s, bool through_snapshot);
void shard_owner_free(struct shard_owner *o);
void shard_step(struct shard *s, const struct place_event *e);
void shard_tick(struct shard *s, uint64_t us);

/* Returns the next action of a type, discarding others; false if none. */
bool shard_next_action(struct shard *s, enum place_action_type type,
		       struct place_action *out);

/* Events with default fields. */
void shard_add_worker(struct shard *s, const char *id, uint32_t cpu,
		      uint32_t memory);
void shard_create_placement(struct shard *s, const char *id, uint32_t count,
			    uint32_t cpu, uint32_t memory);
void shard_respond(struct shard *s, enum place_event_type type,
		   const struct place_action *a, enum place_result result);

/* Responds to all pending reads: the workers run nothing. */
void shard_respond_to_reads(struct shard *s);
enum task_state shard_task_state(struct shard *s, const char *task);

#endif
