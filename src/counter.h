#ifndef COUNTER_H
#define COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

#include "buffer.h"

/*
 * NAME
 *	counter - counters and gauges in the Prometheus text format
 *
 * DESCRIPTION
 *	counter_get() returns the counter with the given name and labels, such
 *	as "outcome=\"done\"" (NULL for none), and creates it on first use.
 *	The pointer stays valid until the process exits; callers store it
 *	rather than look it up on the request path. Counters are named
 *	waxwing_NOUN_total, gauges waxwing_NOUN.
 *
 * ERRORS
 *	When the table of COUNTERS_MAX entries is full, counter_get() returns
 *	the shared counter "waxwing_counter_overflow_total".
 */

#define COUNTERS_MAX 512

enum counter_kind { COUNTER, GAUGE };

/* Bytes exchanged with the store and with relays, by direction. */
#define COUNTER_STORE_BYTES "waxwing_store_bytes_total"
#define COUNTER_RELAY_BYTES "waxwing_relay_bytes_total"
#define COUNTER_SENT "direction=\"sent\""
#define COUNTER_RECEIVED "direction=\"received\""

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

/* Appends all counters and gauges in the Prometheus text format. */
void counter_expose(struct buffer *b);

#endif
