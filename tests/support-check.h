#ifndef SUPPORT_CHECK_H
#define SUPPORT_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	support-check - checks the invariants of docs/design.md 1.2 on journals
 *
 * DESCRIPTION
 *	check_read() takes the events of one journal of load-gen, fake-runner
 *	or fake-platform. check_evaluate() compares the responses to callers
 *	with the recorded executions and counts, for each rule, the cases and
 *	the violations. It prints the first violations of each rule.
 *
 *	An interval without an end event never ends, unless its journal is
 *	passed as dead (its process was killed): then it ends at the journal's
 *	last event.
 *
 * ERRORS
 *	check_read() returns -1 after a message on standard error when the
 *	file cannot be read or a line before the last does not parse.
 */

enum check_rule {
	CHECK_SLOTS,		  /* 1: more offers than a runner's slots */
	CHECK_CONNECTIONS,	  /* 1: more than its connections */
	CHECK_MEMORY,		  /* 1: a worker's memory above its capacity */
	CHECK_TASK_OVERLAP,	  /* 2: a task runs twice at a time */
	CHECK_KEY_OVERLAP,	  /* 2: same for a non-idempotent key */
	CHECK_ATTEMPT,		  /* 3: an attempt started twice */
	CHECK_AFTER_DONE,	  /* 3: a task started after it was done */
	CHECK_RESUME,		  /* note: an evicted task lost progress */
	CHECK_ANSWER,		  /* 4: response truncated or mixed up */
	CHECK_ANSWER_WITHOUT_RUN, /* 4: "done", but never ran */
	CHECK_NOT_RUN,		  /* 5: "not-run" request ran */
	CHECK_RUN_ONCE,	  /* 6: a non-idempotent key run more than once */
	CHECK_LEAVING,	  /* 7: new work on a VM leaving for 3 s */
	CHECK_DRAIN_LOST, /* 8: a drain left a request unanswered */
	CHECK_RULE_COUNT
};

struct check_result {
	const char *invariant; /* number; "note" if informational */
	const char *text;
	uint64_t cases, violations;
};

struct check;

struct check *check_create(uint64_t leave_us);
void check_free(struct check *c);
int check_read(struct check *c, const char *path, bool dead);

struct check_counts {
	uint64_t runs, attempts, evicted, resumed, finished, answers;
};

void check_count(const struct check *c, struct check_counts *counts);

/* Fills results; prints up to `examples` violations of each rule. */
void check_evaluate(struct check *c,
		    struct check_result results[CHECK_RULE_COUNT],
		    unsigned examples);

#endif
