#include "flow-internal.h"

static void add_active_kind(struct flow *f, uint32_t kind)
{
	f->kinds[kind].active_index = f->active_kind_count;
	f->active_kinds[f->active_kind_count++] = kind;
}

static void remove_active_kind(struct flow *f, uint32_t kind)
{
	uint32_t last = f->active_kinds[--f->active_kind_count];

	f->active_kinds[f->kinds[kind].active_index] = last;
	f->kinds[last].active_index = f->kinds[kind].active_index;
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
		add_active_kind(f, (uint32_t)r->kind);
	q->queued++;
	f->teams[r->team].queued_bytes += r->bytes;
}

/* Adds the request to the list of all that wait. */
void fifo_list_add(struct flow *f, uint32_t handle, bool at_head)
{
	struct flow_request *r = &f->requests[handle];

	r->fifo_next = at_head ? f->fifo_head : FLOW_NONE;
	r->fifo_previous = at_head ? FLOW_NONE : f->fifo_tail;
	if (r->fifo_next != FLOW_NONE)
		f->requests[r->fifo_next].fifo_previous = handle;
	else
		f->fifo_tail = handle;
	if (r->fifo_previous != FLOW_NONE)
		f->requests[r->fifo_previous].fifo_next = handle;
	else
		f->fifo_head = handle;
	f->queued++;
	r->state = REQUEST_QUEUED;
}

void flow_queue_push_retry(struct flow *f, uint32_t handle, uint64_t now_us)
{
	f->requests[handle].queued_us = now_us;
	flow_queue_push(f, handle, true);
	fifo_list_add(f, handle, true);
}

void fifo_list_remove(struct flow *f, uint32_t handle)
{
	struct flow_request *r = &f->requests[handle];

	if (r->fifo_next != FLOW_NONE)
		f->requests[r->fifo_next].fifo_previous = r->fifo_previous;
	else
		f->fifo_tail = r->fifo_previous;
	if (r->fifo_previous != FLOW_NONE)
		f->requests[r->fifo_previous].fifo_next = r->fifo_next;
	else
		f->fifo_head = r->fifo_next;
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
		remove_active_kind(f, (uint32_t)r->kind);
	fifo_list_remove(f, handle);
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
