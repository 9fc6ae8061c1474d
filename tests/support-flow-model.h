#ifndef SUPPORT_FLOW_MODEL_H
#define SUPPORT_FLOW_MODEL_H

#include "histogram.h"
#include "support-flow.h"

/*
 * NAME
 *	support-flow-model - simulation of runners and callers of the flow core
 *
 * DESCRIPTION
 *	flow_model_run() drives the core in simulated time according to a plan
 *	and returns the counts of the plan's measurement interval.
 */

#define US_PER_MS 1000u
#define US_PER_SECOND (1000u * US_PER_MS)
#define ZONE_RUNNERS 22
#define ZONE_SEATS 3
#define SERVICE_US 20000.0
#define HANDLES 65536u
#define KINDS 3

/* Parameters of a simulation run. */
struct flow_model_plan {
	struct flow_options options;
	double rate[KINDS]; /* requests per second */
	int flood_kind;	    /* overloaded kind, -1: none */
	double flood_rate;
	uint64_t flood_from_us;
	uint64_t flood_to_us;
	uint64_t end_us;
	uint64_t deadline_us;
	uint32_t failing_runners;
	double failure_rate; /* of the failing runners, 0 to 1 */
	uint32_t hanging_runners;
	bool uneven_speeds; /* speeds differ and change over time */
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

/* Returns the number of slots that the core assigns to the model's seat. */
double flow_model_slots(void);

#endif
