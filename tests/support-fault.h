#ifndef SUPPORT_FAULT_H
#define SUPPORT_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "buffer.h"
#include "rng.h"
#include "support-httpd.h"

/*
 * NAME
 *	support-fault - faults that a stand-in is told to show, call counts
 *
 * DESCRIPTION
 *	A handler calls fault_enter() before the effect of a call and
 *	fault_leave() after it. While "down" is set a call waits up to
 *	FAULT_HOLD_US and is then closed without an answer and without effect.
 *	Half of the delay passes before the effect and half after it.
 *	Thread-safe.
 */

#define FAULT_HOLD_US (2u * 1000000u)

struct fault {
	pthread_mutex_t lock;
	struct rng rng;
	uint64_t delay_us;
	double error_rate;
	double lose_rate; /* answers lost after the effect */
	bool down;
	unsigned generation; /* grows when down is set; ends watches */
};

void fault_init(struct fault *f, uint64_t seed);

/*
 * Changes the fields present in the object: delay_ms, error_rate, lose,
 * down; {"reset":true} clears all first. Returns false, without a change, when
 * a field is unknown.
 */
bool fault_set(struct fault *f, const json_t *change);

/* Returns true when the call may take effect; else the call is answered. */
bool fault_enter(struct fault *f, struct httpd_call *call);
/* Waits the rest of the delay and may drop the answer. */
void fault_leave(struct fault *f, struct httpd_call *call);
bool fault_is_down(struct fault *f);
unsigned fault_generation(struct fault *f);
/* Ends every wait, so that the server can stop. */
void fault_release(struct fault *f);

/* ---- call counts ---- */

#define CALL_HISTORY_S 900

enum call_kind { CALL_READ, CALL_WRITE, CALL_WATCH, CALL_KIND_COUNT };

struct call_counts {
	pthread_mutex_t lock;
	uint64_t total[CALL_KIND_COUNT];
	struct {
		uint64_t second; /* wall clock */
		uint32_t calls[CALL_KIND_COUNT];
	} history[CALL_HISTORY_S];
};

void calls_init(struct call_counts *c);
void calls_count(struct call_counts *c, enum call_kind kind);
/*
 * Appends {"read","write","watch","peak_read","peak_write","peak_watch",
 * "peak"}; with history also "seconds":[[second,read,write,watch]].
 */
void calls_print(struct call_counts *c, bool history, struct buffer *out);

#endif
