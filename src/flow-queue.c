#include "flow-internal.h"

static void activate(struct flow *f, uint32_t kind)
{
	f->kinds[kind].active_at = f->active_count;
	f->active[f->active_count++] = kind;
}

static void deactivate(struct flow *f, uint32_t kind)
{
	uint32_t last = f->active[--f->active_count];

	f->active[f->kinds[kind].active_at] = last;
	f->kinds[last].active_at = f->kinds[kind].active_at;
}

/* Adds the request to its queue, at the head or the tail. */
void flow_queue_push(struct flow *f, uint32_t handle, bool at_head)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_queue *q = &f->queues[r->queue];
	struct flow_kind *k = &f->kinds[r->kind];
	uint32_t *head = &q->head[r->urgency], *tail = &q->tail[r->urgency];

	r->next = at_head ? *head : FLOW_NONE;
	r->previous = at_head ? FLOW_NONE : *tail;
	if (r->next != FLOW_NONE)
		f->requests[r->next].previous = handle;
	else
		*tail = handle;
	if (r->previous != FLOW_NONE)
		f->requests[r->previous].next = handle;
	else
		*head = handle;
	if (k->queued++ == 0)
		activate(f, (uint32_t)r->kind);
	q->queued++;
	f->teams[r->team].queued_bytes += r->bytes;
}

/* Adds the request to the list of all that wait. */
void queue_push_all(struct flow *f, uint32_t handle, bool at_head)
{
	struct flow_request *r = &f->requests[handle];

	r->all_next = at_head ? f->all_head : FLOW_NONE;
	r->all_previous = at_head ? FLOW_NONE : f->all_tail;
	if (r->all_next != FLOW_NONE)
		f->requests[r->all_next].all_previous = handle;
	else
		f->all_tail = handle;
	if (r->all_previous != FLOW_NONE)
		f->requests[r->all_previous].all_next = handle;
	else
		f->all_head = handle;
	f->queued++;
	r->state = REQUEST_QUEUED;
}

void flow_queue_again(struct flow *f, uint32_t handle, uint64_t now_us)
{
	f->requests[handle].queued_us = now_us;
	flow_queue_push(f, handle, true);
	queue_push_all(f, handle, true);
}

void queue_remove_all(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];

	if (r->all_next != FLOW_NONE)
		f->requests[r->all_next].all_previous = r->all_previous;
	else
		f->all_tail = r->all_previous;
	if (r->all_previous != FLOW_NONE)
		f->requests[r->all_previous].all_next = r->all_next;
	else
		f->all_head = r->all_next;
	f->queued--;
}

void flow_queue_remove(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_queue *q = &f->queues[r->queue];
	struct flow_kind *k = &f->kinds[r->kind];

	if (r->next != FLOW_NONE)
		f->requests[r->next].previous = r->previous;
	else
		q->tail[r->urgency] = r->previous;
	if (r->previous != FLOW_NONE)
		f->requests[r->previous].next = r->next;
	else
		q->head[r->urgency] = r->next;
	q->queued--;
	f->teams[r->team].queued_bytes -= r->bytes;
	if (--k->queued == 0)
		deactivate(f, (uint32_t)r->kind);
	queue_remove_all(f, handle);
}

void hedge_list_add(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_kind *k;

	if (r->kind < 0)
		return;
	k = &f->kinds[r->kind];
	r->next = FLOW_NONE;
	r->previous = k->hedge_tail;
	if (r->previous != FLOW_NONE)
		f->requests[r->previous].next = handle;
	else
		k->hedge_head = handle;
	k->hedge_tail = handle;
	r->in_hedge_list = true;
}

void hedge_list_remove(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];
	struct flow_kind *k;

	if (!r->in_hedge_list)
		return;
	k = &f->kinds[r->kind];
	if (r->next != FLOW_NONE)
		f->requests[r->next].previous = r->previous;
	else
		k->hedge_tail = r->previous;
	if (r->previous != FLOW_NONE)
		f->requests[r->previous].next = r->next;
	else
		k->hedge_head = r->next;
	r->in_hedge_list = false;
}
