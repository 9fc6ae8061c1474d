#include <stdlib.h>
#include <string.h>

#include "support-flow.h"

void fixture_open(struct flow_fixture *fx, const struct flow_options *o)
{
	memset(fx, 0, sizeof(*fx));
	fx->flow = flow_create(o);
	fx->now_us = 1000000000;
}

void fixture_close(struct flow_fixture *fx)
{
	flow_destroy(fx->flow);
	free(fx->actions.items);
}

void fixture_post(struct flow_fixture *fx, const struct flow_event *e)
{
	fx->actions.count = 0;
	flow_step(fx->flow, fx->now_us, e, &fx->actions);
}

void fixture_sheet(struct flow_fixture *fx, const struct sheet *sheet)
{
	struct flow_event e = { .type = FLOW_SHEET, .sheet = sheet };

	fixture_post(fx, &e);
}

void fixture_seat(struct flow_fixture *fx, uint32_t index, uint32_t count)
{
	struct flow_event e = { .type = FLOW_SEAT };

	e.seat.index = index;
	e.seat.count = count;
	fixture_post(fx, &e);
}

void fixture_target(struct flow_fixture *fx, uint32_t target, uint32_t slots)
{
	struct flow_event e = { .type = FLOW_TARGET };

	e.target.target = target;
	e.target.hash = target * 7u;
	e.target.slots = slots;
	e.target.connections = 64;
	fixture_post(fx, &e);
}

void fixture_probe(struct flow_fixture *fx, uint32_t target, uint32_t busy,
		   bool draining)
{
	struct flow_event e = { .type = FLOW_PROBE_RESULT };

	e.probe.target = target;
	e.probe.busy = busy;
	e.probe.draining = draining;
	e.probe.answered = true;
	e.probe.sampled_us = fx->now_us;
	fixture_post(fx, &e);
}

void fixture_request(struct flow_fixture *fx, uint32_t handle, int32_t kind,
		     bool idempotent, uint64_t timeout_us)
{
	struct flow_event e = { .type = FLOW_REQUEST };

	e.request.handle = handle;
	e.request.kind = kind;
	e.request.team = -1;
	e.request.urgency = URGENCY_NORMAL;
	e.request.idempotent = idempotent;
	e.request.deadline_us = fx->now_us + timeout_us;
	e.request.bytes = 100;
	fixture_post(fx, &e);
}

void fixture_result(struct flow_fixture *fx, const struct flow_action *sent,
		    enum flow_outcome outcome, uint64_t service_us)
{
	struct flow_event e = { .type = FLOW_RESULT };

	e.result.handle = sent->handle;
	e.result.target = sent->target;
	e.result.attempt = sent->attempt;
	e.result.outcome = outcome;
	e.result.service_us = service_us;
	fixture_post(fx, &e);
}

void fixture_tick(struct flow_fixture *fx, uint64_t step_us)
{
	struct flow_event e = { .type = FLOW_TICK };

	fx->now_us += step_us;
	fixture_post(fx, &e);
}

const struct flow_action *fixture_find_action(const struct flow_fixture *fx,
					      enum flow_action_type type)
{
	for (size_t i = 0; i < fx->actions.count; i++)
		if (fx->actions.items[i].type == type)
			return &fx->actions.items[i];
	return NULL;
}
