#ifndef SUPPORT_FLOW_H
#define SUPPORT_FLOW_H

#include "core.h"

/*
 * NAME
 *	support-flow - events for tests of the flow core
 */

struct flow_rig {
	struct flow *flow;
	struct flow_actions actions; /* of the last event */
	uint64_t now_us;
};

/* Creates a core with an empty queue of that limit. */
void rig_open(struct flow_rig *rig, const struct flow_options *o);
void rig_close(struct flow_rig *rig);
void rig_post(struct flow_rig *rig, const struct flow_event *e);
void rig_policy(struct flow_rig *rig, const struct sheet *sheet);
void rig_seat(struct flow_rig *rig, uint32_t index, uint32_t count);
void rig_target(struct flow_rig *rig, uint32_t target, uint32_t slots);
void rig_probe(struct flow_rig *rig, uint32_t target, uint32_t busy,
	       bool draining);
void rig_request(struct flow_rig *rig, uint32_t handle, int32_t kind,
		 bool idempotent, uint64_t timeout_us);
void rig_result(struct flow_rig *rig, const struct flow_action *sent,
		enum flow_outcome outcome, uint64_t service_us);
void rig_tick(struct flow_rig *rig, uint64_t step_us);

/* First action of the last event of that type, or NULL. */
const struct flow_action *rig_find(const struct flow_rig *rig,
				   enum flow_action_type type);

#endif
