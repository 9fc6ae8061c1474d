#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oplog-codec.h"
#include "support-oplog.h"

static void probe_reset(void *client);
static int probe_replay(void *client, const void *data, size_t len);
static void probe_snapshot(void *client, struct buffer *out);
static void probe_owned(void *client, uint64_t epoch, uint64_t now_us);
static void probe_committed(void *client, uint64_t token, uint64_t now_us);

static const struct oplog_client_ops probe_ops = {
	.name = "probe",
	.type = OPLOG_ENTRY_TASK,
	.reset = probe_reset,
	.restore = probe_replay,
	.replay = probe_replay,
	.snapshot = probe_snapshot,
	.owned = probe_owned,
	.committed = probe_committed,
};

void model_fail(struct model *m, const char *fmt, ...)
{
	va_list ap;

	if (m->failure[0])
		return;
	va_start(ap, fmt);
	vsnprintf(m->failure, sizeof(m->failure), fmt, ap);
	va_end(ap);
}

/* ---- probe ---- */

static void add_number(struct probe *p, uint32_t n)
{
	if (p->count == p->capacity) {
		p->capacity = p->capacity ? 2 * p->capacity : 64;
		p->numbers =
			xrealloc(p->numbers, p->capacity * sizeof(*p->numbers));
	}
	p->numbers[p->count++] = n;
}

static void probe_reset(void *client)
{
	((struct probe *)client)->count = 0;
}

static int probe_replay(void *client, const void *data, size_t len)
{
	for (size_t i = 0; i + sizeof(uint32_t) <= len; i += sizeof(uint32_t)) {
		uint32_t n;

		memcpy(&n, (const char *)data + i, sizeof(n));
		add_number(client, n);
	}
	return len % sizeof(uint32_t) ? -1 : 0;
}

static void probe_snapshot(void *client, struct buffer *out)
{
	struct probe *p = client;

	buffer_append(out, p->numbers, p->count * sizeof(*p->numbers));
}

/*
 * Checks that the state of a new owner equals the log up to its epoch. The log
 * may continue, if a later owner has already deposed this one.
 */
static void probe_owned(void *client, uint64_t epoch, uint64_t now_us)
{
	struct probe *p = client;
	struct model *m = p->node->model;
	uint32_t count;
	uint32_t *expected = model_log_numbers(m, epoch, &count);

	(void)now_us;
	m->became_owner++;
	if (count != p->count ||
	    (count &&
	     memcmp(expected, p->numbers, count * sizeof(*expected)) != 0))
		model_fail(
			m,
			"node %d owns epoch %llu with %u entries; the log has %u",
			p->node->index, (unsigned long long)epoch, p->count,
			count);
	free(expected);
}

/* Checks that an entry reported as durable is in the log. */
static void probe_committed(void *client, uint64_t token, uint64_t now_us)
{
	struct probe *p = client;
	struct model *m = p->node->model;
	uint32_t count, i;
	uint32_t *numbers = model_log_numbers(m, 0, &count);

	(void)now_us;
	m->committed++;
	for (i = 0; i < count && numbers[i] != token; i++)
		;
	if (i == count)
		model_fail(
			m,
			"node %d reports entry %llu as durable; the log lacks it",
			p->node->index, (unsigned long long)token);
	free(numbers);
}

/* ---- store ---- */

const struct model_value *model_find(struct model *m, uint64_t epoch,
				     uint64_t seq, bool part)
{
	for (uint32_t i = m->value_count; i-- > 0;) {
		const struct model_value *v = &m->values[i];

		if (v->exists && v->epoch == epoch && v->seq == seq &&
		    v->part == part)
			return v;
	}
	return NULL;
}

void model_corrupt(struct model *m, uint64_t epoch, uint64_t seq,
		   const void *data, size_t len)
{
	for (uint32_t i = 0; i < m->value_count; i++) {
		struct model_value *v = &m->values[i];

		if (v->epoch != epoch || v->seq != seq || v->part)
			continue;
		free(v->data);
		v->data = xcalloc(1, len);
		memcpy(v->data, data, len);
		v->len = len;
	}
}

static bool create(struct model *m, const struct oplog_action *a, bool part)
{
	struct model_value *v;

	if (model_find(m, a->epoch, a->seq, part))
		return false;
	if (m->value_count == m->value_capacity) {
		m->value_capacity =
			m->value_capacity ? 2 * m->value_capacity : 256;
		m->values = xrealloc(m->values,
				     m->value_capacity * sizeof(*m->values));
	}
	v = &m->values[m->value_count++];
	*v = (struct model_value){
		.epoch = a->epoch,
		.seq = a->seq,
		.exists = true,
		.part = part,
		.data = xcalloc(1, a->len),
		.len = a->len,
	};
	memcpy(v->data, a->data, a->len);
	return true;
}

static bool swap_snapshot(struct model *m, const struct oplog_action *a)
{
	if (a->modify_index != m->snapshot_index)
		return false;
	free(m->snapshot);
	m->snapshot = xcalloc(1, a->len);
	memcpy(m->snapshot, a->data, a->len);
	m->snapshot_len = a->len;
	m->snapshot_index = ++m->index;
	return true;
}

static int compare_values(const void *a, const void *b)
{
	uint64_t x = ((const struct oplog_value *)a)->seq;
	uint64_t y = ((const struct oplog_value *)b)->seq;

	return x < y ? -1 : x > y;
}

static void add_read_value(struct oplog_model_call *c, uint64_t seq,
			   const void *data, size_t len)
{
	struct oplog_value *v;
	void *copy = xcalloc(1, len);

	memcpy(copy, data, len);
	c->values = xrealloc(c->values, (c->count + 1) * sizeof(*c->values));
	v = &c->values[c->count++];
	*v = (struct oplog_value){ seq, copy, len };
}

static void read_values(struct model *m, struct oplog_model_call *c, bool part,
			bool all)
{
	for (uint32_t i = 0; i < m->value_count; i++) {
		const struct model_value *v = &m->values[i];

		if (v->exists && v->part == part &&
		    v->epoch == c->action.epoch &&
		    (all || v->seq == c->action.seq))
			add_read_value(c, v->seq, v->data, v->len);
	}
	if (c->count)
		qsort(c->values, c->count, sizeof(*c->values), compare_values);
}

static void delete_epoch(struct model *m, uint64_t epoch)
{
	for (uint32_t i = 0; i < m->value_count; i++)
		if (m->values[i].epoch == epoch)
			m->values[i].exists = false;
}

void model_apply_call(struct model *m, struct oplog_model_call *c)
{
	struct oplog_action *a = &c->action;
	bool applied = true;

	a->data = c->data;
	c->applied = true;
	switch (a->type) {
	case OPLOG_READ_SNAPSHOT:
		if (m->snapshot)
			add_read_value(c, 0, m->snapshot, m->snapshot_len);
		c->modify_index = m->snapshot_index;
		break;
	case OPLOG_READ_PARTS:
		read_values(m, c, true, true);
		break;
	case OPLOG_READ_EPOCH:
		read_values(m, c, false, true);
		break;
	case OPLOG_READ_RECORD:
		read_values(m, c, false, false);
		break;
	case OPLOG_APPEND:
	case OPLOG_WRITE_PART:
		applied = create(m, a, a->type == OPLOG_WRITE_PART);
		break;
	case OPLOG_WRITE_SNAPSHOT:
		applied = swap_snapshot(m, a);
		break;
	case OPLOG_DELETE_EPOCH:
		delete_epoch(m, a->epoch);
		break;
	default:
		break;
	}
	c->result = applied ? OPLOG_APPLIED : OPLOG_CAS_FAILED;
}

/* Finds the first value created under a number; later ones are not valid. */
static const struct model_value *first_record(struct model *m, uint64_t epoch,
					      uint64_t seq)
{
	for (uint32_t i = 0; i < m->value_count; i++) {
		const struct model_value *v = &m->values[i];

		if (!v->part && v->epoch == epoch && v->seq == seq)
			return v;
	}
	return NULL;
}

uint32_t *model_log_numbers(struct model *m, uint64_t until, uint32_t *count)
{
	struct probe all = { 0 };
	uint64_t epoch = 1, seq = 1;
	const struct model_value *v;

	while (epoch != until && (v = first_record(m, epoch, seq))) {
		struct oplog_record r;
		const char *error;

		if (oplog_unpack_record(v->data, v->len, &r, &error) < 0)
			break;
		for (uint32_t i = 0; i < r.entry_count; i++)
			if (r.entries[2 * i].via.u64 == OPLOG_ENTRY_TASK)
				probe_replay(&all,
					     r.entries[2 * i + 1].via.bin.ptr,
					     r.entries[2 * i + 1].via.bin.size);
		seq++;
		if (r.next_epoch) {
			epoch = r.next_epoch;
			seq = 1;
		}
		oplog_record_free(&r);
	}
	*count = all.count;
	return all.numbers;
}

/* ---- nodes ---- */

static void stop_node(struct model_node *n)
{
	oplog_destroy(n->log);
	claims_destroy(n->claims);
	free(n->probe.numbers);
	memset(&n->probe, 0, sizeof(n->probe));
}

void model_restart(struct model *m, int node)
{
	struct model_node *n = &m->nodes[node];
	char writer[32];

	if (n->log)
		stop_node(n);
	n->model = m;
	n->index = node;
	n->incarnation++;
	n->believes_lease = false;
	snprintf(writer, sizeof(writer), "node-%d.%u", node, n->incarnation);
	n->log = oplog_create(writer, m->seed + n->incarnation * 131u +
					      (uint64_t)node * 7u);
	if (m->snapshot_records)
		oplog_set_snapshot_limits(n->log, m->snapshot_records,
					  OPLOG_SNAPSHOT_BYTES);
	n->claims = claims_create(n->log, CLAIMS_MEMORY_MAX_BYTES);
	n->probe.client.ops = &probe_ops;
	n->probe.node = n;
	oplog_add_client(n->log, claims_client(n->claims));
	oplog_add_client(n->log, &n->probe.client);
}

void model_init(struct model *m, uint64_t seed)
{
	memset(m, 0, sizeof(*m));
	m->seed = seed;
	m->now_us = 1000000000u;
	for (int i = 0; i < MODEL_NODES; i++)
		model_restart(m, i);
}

void model_free_call(struct oplog_model_call *c)
{
	for (size_t i = 0; i < c->count; i++)
		free((void *)c->values[i].data);
	free(c->values);
	free(c->data);
	memset(c, 0, sizeof(*c));
}

void model_free(struct model *m)
{
	for (int i = 0; i < MODEL_NODES; i++)
		stop_node(&m->nodes[i]);
	for (int i = 0; i < MODEL_CALLS; i++)
		model_free_call(&m->calls[i]);
	for (uint32_t i = 0; i < m->value_count; i++)
		free(m->values[i].data);
	free(m->values);
	free(m->snapshot);
}

/* Queues a call; a full queue fails the test. */
static void add_call(struct model *m, int node, const struct oplog_action *a)
{
	struct oplog_model_call *c = NULL;

	for (int i = 0; i < MODEL_CALLS && !c; i++)
		if (!m->calls[i].used)
			c = &m->calls[i];
	if (!c) {
		model_fail(m, "more than %d calls in flight", MODEL_CALLS);
		return;
	}
	c->used = true;
	c->node = node;
	c->incarnation = m->nodes[node].incarnation;
	c->action = *a;
	c->data = xcalloc(1, a->len);
	if (a->len)
		memcpy(c->data, a->data, a->len);
	switch (a->type) {
	case OPLOG_APPEND:
	case OPLOG_WRITE_PART:
	case OPLOG_WRITE_SNAPSHOT:
	case OPLOG_DELETE_EPOCH:
		m->writes++;
		break;
	default:
		m->reads++;
		break;
	}
}

void model_collect_actions(struct model *m, int node)
{
	struct model_node *n = &m->nodes[node];
	struct claims_action ca;
	struct oplog_action a;

	while (oplog_next_action(n->log, &a)) {
		if (a.type == OPLOG_STEPPED_DOWN)
			m->stepped_down++;
		else if (a.type == OPLOG_LOAD_FAILED)
			m->load_failed++;
		else if (a.type != OPLOG_BECAME_OWNER &&
			 a.type != OPLOG_RELEASED)
			add_call(m, node, &a);
	}
	while (claims_next_action(n->claims, &ca))
		if (m->on_claims)
			m->on_claims(m, node, &ca);
}

void model_event(struct model *m, int node, enum oplog_event_type type)
{
	struct oplog_event e = { .type = type };

	oplog_step(m->nodes[node].log, m->now_us, &e);
	model_collect_actions(m, node);
}

void model_claims_event(struct model *m, int node, const struct claims_event *e)
{
	claims_step(m->nodes[node].claims, m->now_us, e);
	model_event(m, node, OPLOG_TICK);
}

static enum oplog_event_type reply_event_type(enum oplog_action_type type)
{
	static const enum oplog_event_type types[] = {
		[OPLOG_READ_SNAPSHOT] = OPLOG_SNAPSHOT_READ,
		[OPLOG_READ_PARTS] = OPLOG_PARTS_READ,
		[OPLOG_READ_EPOCH] = OPLOG_EPOCH_READ,
		[OPLOG_READ_RECORD] = OPLOG_RECORD_READ,
		[OPLOG_APPEND] = OPLOG_APPEND_DONE,
		[OPLOG_WRITE_PART] = OPLOG_PART_DONE,
		[OPLOG_WRITE_SNAPSHOT] = OPLOG_SNAPSHOT_DONE,
		[OPLOG_DELETE_EPOCH] = OPLOG_DELETE_DONE,
	};

	return types[type];
}

void model_reply(struct model *m, struct oplog_model_call *c,
		 enum oplog_result result)
{
	bool seen = result == OPLOG_APPLIED && c->applied;
	struct oplog_event e = {
		.type = reply_event_type(c->action.type),
		.id = c->action.id,
		.result = result,
		.values = seen ? c->values : NULL,
		.count = seen ? c->count : 0,
		.modify_index = c->modify_index,
	};
	int node = c->node;

	c->replied = true;
	if (c->incarnation != m->nodes[node].incarnation)
		return;
	oplog_step(m->nodes[node].log, m->now_us, &e);
	model_collect_actions(m, node);
}

void model_run_until_idle(struct model *m)
{
	bool more = true;

	while (more) {
		more = false;
		for (int i = 0; i < MODEL_CALLS; i++) {
			struct oplog_model_call *c = &m->calls[i];
			struct oplog_model_call call = *c;

			if (!c->used)
				continue;
			more = true;
			/* Frees the slot for calls that result from this. */
			memset(c, 0, sizeof(*c));
			if (!call.applied)
				model_apply_call(m, &call);
			if (!call.replied)
				model_reply(m, &call, call.result);
			model_free_call(&call);
		}
	}
}

bool model_append(struct model *m, int node)
{
	struct model_node *n = &m->nodes[node];
	uint32_t number = m->next_number;

	if (oplog_append(n->log, OPLOG_ENTRY_TASK, &number, sizeof(number),
			 number) < 0)
		return false;
	m->next_number++;
	add_number(&n->probe, number);
	model_event(m, node, OPLOG_TICK);
	return true;
}
