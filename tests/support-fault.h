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
 *	support-fault - fault injection and call counts of the fakes
 *
 * DESCRIPTION
 *	A handler calls fault_begin_call() before it applies a call and
 *	fault_end_call() after it. While "down" is set, a call waits up to
 *	FAULT_DOWN_TIMEOUT_US; its connection is then closed without a
 *	response, and the call is not applied. Half of the delay comes before
 *	the effect of a call and half after it. Thread-safe.
 */

#define FAULT_DOWN_TIMEOUT_US (2u * 1000000u)

struct fault {
	pthread_mutex_t lock;
	struct rng rng;
	uint64_t delay_us;
	double error_rate;
	double response_loss_rate; /* responses dropped after the effect */
	bool down;
	unsigned generation; /* incremented by each outage; ends watches */
};

void fault_init(struct fault *f, uint64_t seed);

/*
 * Sets the fields present in the object: delay_ms, error_rate, lose, down.
 * {"reset":true} clears all fields first. Returns false and changes nothing
 * when a field is unknown.
 */
bool fault_set(struct fault *f, const json_t *change);

/* Returns false when the call must not be applied; its response is then set. */
bool fault_begin_call(struct fault *f, struct httpd_call *call);
/* Waits for the second half of the delay and may drop the response. */
void fault_end_call(struct fault *f, struct httpd_call *call);
bool fault_is_down(struct fault *f);
unsigned fault_generation(struct fault *f);
/* Clears outage and delay and ends watches, so that the server can stop. */
void fault_end_waits(struct fault *f);

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
void calls_record(struct call_counts *c, enum call_kind kind);
/*
 * Appends {"read","write","watch","peak_read","peak_write","peak_watch",
 * "peak"}; with history also "seconds":[[second,read,write,watch]].
 */
void calls_append_json(struct call_counts *c, bool history, struct buffer *out);

#endif
