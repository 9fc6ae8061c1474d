#ifndef SUPPORT_CHECK_H
#define SUPPORT_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	support-check - invariants of docs/design.md 1.2, from the journals
 *
 * DESCRIPTION
 *	check_read() takes the events of one journal of load-gen, fake-runner
 *	or fake-platform. check_evaluate() compares what callers were told with
 *	what happened and counts, for each rule of the table, the cases looked
 *	at and those that break it. The first broken cases are printed.
 *
 *	An interval without an end lasts for ever, unless its journal is
 *	passed as dead: then it ends with the last event of the journal.
 *
 * ERRORS
 *	check_read() returns -1 after a line on standard error when the file
 *	cannot be read or a line but the last does not parse.
 */

enum check_rule {
	CHECK_SLOTS,	    /* 1: offers above a runner's slots */
	CHECK_CONNECTIONS,  /* 1: offers above its connections */
	CHECK_MEMORY,	    /* 1: a worker's memory above its capacity */
	CHECK_TASK_OVERLAP, /* 2: a task in two places at once */
	CHECK_KEY_OVERLAP,  /* 2: a non-idempotent key in two places at once */
	CHECK_ATTEMPT,	    /* 3: an attempt started twice */
	CHECK_AFTER_DONE,   /* 3: a task started after it was done */
	CHECK_RESUME,	    /* note: an evicted task lost progress */
	CHECK_ANSWER,	    /* 4: a "done" answer cut, or of another request */
	CHECK_ANSWER_WITHOUT_RUN, /* 4: a "done" answer of a key that never ran
				   */
	CHECK_NOT_RUN,		  /* 5: "not-run" that ran */
	CHECK_RUN_ONCE,	  /* 6: a non-idempotent key run more than once */
	CHECK_LEAVING,	  /* 7: new work on a VM 3 s after it was leaving */
	CHECK_DRAIN_LOST, /* 8: a planned stop cut a request */
	CHECK_RULE_COUNT
};

struct check_result {
	const char *invariant; /* its number, or "note" for none */
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

/* Fills the table, prints up to `examples` broken cases of each rule. */
void check_evaluate(struct check *c,
		    struct check_result results[CHECK_RULE_COUNT],
		    unsigned examples);

#endif
