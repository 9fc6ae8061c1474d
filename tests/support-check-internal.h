#ifndef SUPPORT_CHECK_INTERNAL_H
#define SUPPORT_CHECK_INTERNAL_H

#include "support-check.h"

#define CHECK_OPEN_END UINT64_MAX

/* One execution: of a request on a runner or of a task attempt on a worker. */
struct interval {
	char *name;    /* idempotency key or task id */
	char *vm;      /* runner or worker */
	char *request; /* request id, or checkpoint that a task resumed */
	char *stop_checkpoint; /* taken at eviction, or NULL */
	int64_t attempt;
	uint64_t begin_us, end_us;
	bool done;
};

struct interval_list {
	struct interval *items;
	size_t count;
	size_t journal_start; /* first item of the last journal */
};

struct answer {
	char *key, *request;
	bool idempotent, body_valid, done, not_run;
	int status; /* 0: no response */
	int entry;
	uint64_t begun_us;
};

/* Start of the planned stop of an entry VM. */
struct drain {
	int entry;
	uint64_t at_us;
};

/* A VM changed to or from the state "leaving". */
struct vm_state_change {
	char *vm;
	uint64_t at_us;
	bool leaving;
};

struct check {
	uint64_t leave_us;
	struct interval_list runs, tasks;
	struct answer *answers;
	size_t answer_count;
	struct vm_state_change *state_changes;
	size_t state_change_count;
	struct drain *drains;
	size_t drain_count;
	uint64_t over_slots, over_connections, over_memory;
	uint64_t evicted, finished;
};

#endif
