#ifndef COUNTER_H
#define COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	counter - counters and gauges with the text exposition format
 *
 * DESCRIPTION
 *	counter_get() returns the counter of a name and label text such as
 *	"outcome=\"done\"" (NULL for none), and makes it on first use. The
 *	pointer stays valid until the process ends; callers keep it and do
 *	not look it up on the request path. Names follow waxwing_NOUN_total
 *	for counters and waxwing_NOUN for gauges.
 *
 * ERRORS
 *	When the table of COUNTERS_MAX is full, a shared overflow counter
 *	"waxwing_counter_overflow_total" is returned.
 */

#define COUNTERS_MAX 512

enum counter_kind { COUNTER, GAUGE };

struct counter {
	atomic_llong value;
};

struct counter *counter_get(enum counter_kind kind, const char *name,
			    const char *labels);

static inline void counter_add(struct counter *c, long long n)
{
	atomic_fetch_add_explicit(&c->value, n, memory_order_relaxed);
}

static inline void counter_set(struct counter *c, long long n)
{
	atomic_store_explicit(&c->value, n, memory_order_relaxed);
}

static inline long long counter_value(struct counter *c)
{
	return atomic_load_explicit(&c->value, memory_order_relaxed);
}

/* Appends all counters in the text exposition format. */
void counter_expose(struct buffer *b);

#endif
