#ifndef SUPPORT_FLOW_H
#define SUPPORT_FLOW_H

#include "core.h"

/*
 * NAME
 *	support-flow - fixture that posts events to the flow core in tests
 */

struct flow_fixture {
	struct flow *flow;
	struct flow_actions actions; /* of the last event */
	uint64_t now_us;
};

/* Creates a core without targets and sets the time to 1000 s. */
void fixture_open(struct flow_fixture *fx, const struct flow_options *o);
void fixture_close(struct flow_fixture *fx);
void fixture_post(struct flow_fixture *fx, const struct flow_event *e);
void fixture_sheet(struct flow_fixture *fx, const struct sheet *sheet);
void fixture_seat(struct flow_fixture *fx, uint32_t index, uint32_t count);
void fixture_target(struct flow_fixture *fx, uint32_t target, uint32_t slots);
void fixture_probe(struct flow_fixture *fx, uint32_t target, uint32_t busy,
		   bool draining);
void fixture_request(struct flow_fixture *fx, uint32_t handle, int32_t kind,
		     bool idempotent, uint64_t timeout_us);
void fixture_result(struct flow_fixture *fx, const struct flow_action *sent,
		    enum flow_outcome outcome, uint64_t service_us);
void fixture_tick(struct flow_fixture *fx, uint64_t step_us);

/* Returns the first action of that type from the last event, or NULL. */
const struct flow_action *fixture_find_action(const struct flow_fixture *fx,
					      enum flow_action_type type);

#endif
