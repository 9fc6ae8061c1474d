#include <stdlib.h>
#include <string.h>

#include "support-flow.h"

void rig_open(struct flow_rig *rig, const struct flow_options *o)
{
	memset(rig, 0, sizeof(*rig));
	rig->flow = flow_create(o);
	rig->now_us = 1000000000;
}

void rig_close(struct flow_rig *rig)
{
	flow_destroy(rig->flow);
	free(rig->actions.items);
}

void rig_post(struct flow_rig *rig, const struct flow_event *e)
{
	rig->actions.count = 0;
	flow_step(rig->flow, rig->now_us, e, &rig->actions);
}

void rig_policy(struct flow_rig *rig, const struct sheet *sheet)
{
	struct flow_event e = { .type = FLOW_POLICY, .policy = sheet };

	rig_post(rig, &e);
}

void rig_seat(struct flow_rig *rig, uint32_t index, uint32_t count)
{
	struct flow_event e = { .type = FLOW_SEAT };

	e.seat.index = index;
	e.seat.count = count;
	rig_post(rig, &e);
}

void rig_target(struct flow_rig *rig, uint32_t target, uint32_t slots)
{
	struct flow_event e = { .type = FLOW_TARGET };

	e.target.target = target;
	e.target.hash = target * 7u;
	e.target.slots = slots;
	e.target.connections = 64;
	rig_post(rig, &e);
}

void rig_probe(struct flow_rig *rig, uint32_t target, uint32_t busy,
	       bool draining)
{
	struct flow_event e = { .type = FLOW_PROBE };

	e.probe.target = target;
	e.probe.busy = busy;
	e.probe.draining = draining;
	e.probe.answered = true;
	e.probe.sampled_us = rig->now_us;
	rig_post(rig, &e);
}

void rig_request(struct flow_rig *rig, uint32_t handle, int32_t kind,
		 bool idempotent, uint64_t timeout_us)
{
	struct flow_event e = { .type = FLOW_REQUEST };

	e.request.handle = handle;
	e.request.kind = kind;
	e.request.team = -1;
	e.request.urgency = URGENCY_NORMAL;
	e.request.idempotent = idempotent;
	e.request.deadline_us = rig->now_us + timeout_us;
	e.request.bytes = 100;
	rig_post(rig, &e);
}

void rig_result(struct flow_rig *rig, const struct flow_action *sent,
		enum flow_outcome outcome, uint64_t service_us)
{
	struct flow_event e = { .type = FLOW_RESULT };

	e.result.handle = sent->handle;
	e.result.target = sent->target;
	e.result.attempt = sent->attempt;
	e.result.outcome = outcome;
	e.result.service_us = service_us;
	rig_post(rig, &e);
}

void rig_tick(struct flow_rig *rig, uint64_t step_us)
{
	struct flow_event e = { .type = FLOW_TICK };

	rig->now_us += step_us;
	rig_post(rig, &e);
}

const struct flow_action *rig_find(const struct flow_rig *rig,
				   enum flow_action_type type)
{
	for (size_t i = 0; i < rig->actions.count; i++)
		if (rig->actions.items[i].type == type)
			return &rig->actions.items[i];
	return NULL;
}
