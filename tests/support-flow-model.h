#ifndef SUPPORT_FLOW_MODEL_H
#define SUPPORT_FLOW_MODEL_H

#include "histogram.h"
#include "support-flow.h"

/*
 * NAME
 *	support-flow-model - runners and callers around the flow core
 *
 * DESCRIPTION
 *	flow_model_run() drives the core in simulated time as a plan says and
 *	returns what was counted in the plan's window.
 */

#define US_PER_MS 1000u
#define US_PER_SECOND (1000u * US_PER_MS)
#define ZONE_RUNNERS 22 /* of one zone */
#define ZONE_SEATS 3
#define SERVICE_US 20000.0
#define HANDLES 65536u
#define KINDS 3

/* What a scenario asks of the model. */
struct flow_model_plan {
	struct flow_options options;
	double rate[KINDS]; /* requests per second */
	int flood_kind;	    /* -1: none */
	double flood_rate;
	uint64_t flood_from_us;
	uint64_t flood_to_us;
	uint64_t end_us;
	uint64_t deadline_us;
	uint32_t failing_runners; /* runners */
	double failure_rate;	  /* of the failing ones */
	uint32_t hanging_runners; /* runners */
	bool uneven_speeds;	  /* speeds differ and shift */
	uint32_t caller_attempts_max;
	uint64_t measure_from_us;
	uint64_t measure_to_us;
};

struct flow_model_counts {
	uint64_t arrivals[KINDS];
	uint64_t served[KINDS];
	uint64_t requests;
	uint64_t sends;
	uint64_t accepted;
	uint32_t slot_overruns;
	struct histogram latency;
	struct histogram refusal_latency;
};

extern struct sheet_kind flow_model_kinds[KINDS];
extern const struct sheet flow_model_sheet;

struct flow_model_counts flow_model_run(const struct flow_model_plan *plan,
					uint64_t seed);

/* Slots of this seat, as the core counts them. */
double flow_model_slots(void);

#endif
