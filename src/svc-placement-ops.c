#include <jansson.h>
#include <msgpack.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "svc-placement-internal.h"

/*
 * An operator request is kept until its caller has the reply. Messages between
 * peers can be lost, so a forwarded request is resent until a reply arrives.
 * The owner keeps its reply for a while and sends it again for a repeated
 * request; otherwise a repeated create would fail because the placement exists.
 */

#define FORWARD_RETRY_US 300000u
#define REPLY_RETENTION_US 30000000u
#define OPS_MAX 1024

static void handle_op(struct placement_svc *p, struct op *op);
static void handle_list(struct placement_svc *p, struct op *op);
static void handle_local(struct place_shard *s, struct op *op);
static void finish_op(struct placement_svc *p, struct op *op, int status);
static void forward_op(struct placement_svc *p, struct op *op,
		       const char *owner);
static void on_op(void *arg, const char *sender, const void *body, size_t len);
static void on_reply(void *arg, const char *sender, const void *body,
		     size_t len);

static struct op *op_find(struct placement_svc *p, uint64_t id)
{
	struct op *op = p->ops;

	while (op && op->id != id)
		op = op->next;
	return op;
}

static void op_free(struct op *op)
{
	free(op->body);
	buffer_free(&op->json);
	pthread_mutex_destroy(&op->lock);
	pthread_cond_destroy(&op->done_cond);
	free(op);
}

static void op_unlink(struct placement_svc *p, struct op *op)
{
	struct op **at = &p->ops;

	while (*at != op)
		at = &(*at)->next;
	*at = op->next;
}

static struct op *op_create(const char *method, const char *id,
			    const char *body, size_t len, uint64_t timeout_us)
{
	struct op *op = xcalloc(1, sizeof(*op));

	pthread_mutex_init(&op->lock, NULL);
	pthread_cond_init(&op->done_cond, NULL);
	snprintf(op->method, sizeof(op->method), "%s", method);
	snprintf(op->placement, sizeof(op->placement), "%s", id ? id : "");
	op->body = xcalloc(1, len + 1);
	if (len)
		memcpy(op->body, body, len);
	op->body_len = len;
	op->created_us = clock_now_us();
	op->expires_us = op->created_us + timeout_us;
	return op;
}

/* Replies with an error message. */
static void finish_with_error(struct placement_svc *p, struct op *op,
			      int status, const char *message)
{
	buffer_reset(&op->json);
	buffer_append_str(&op->json, "{\"error\":");
	json_append_string(&op->json, message);
	buffer_append_str(&op->json, "}");
	finish_op(p, op, status);
}

struct submit {
	struct placement_svc *svc;
	struct op *op;
};

static void submit_on_loop(void *arg)
{
	struct submit *s = arg;
	struct op *op = s->op;

	op->id = ++s->svc->next_op;
	op->next = s->svc->ops;
	s->svc->ops = op;
	if (s->svc->stopping)
		finish_with_error(s->svc, op, 503,
				  "the process is shutting down");
	else
		handle_op(s->svc, op);
}

void placement_request(struct placement_svc *p, const char *method,
		       const char *id, const char *body, size_t len,
		       uint64_t timeout_us, int *status, struct buffer *json)
{
	struct op *op = op_create(method, id, body, len, timeout_us);
	struct submit s = { .svc = p, .op = op };

	op->waited = true;
	loop_call(p->loop, submit_on_loop, &s);
	/* A request without a reply ends when it expires. */
	pthread_mutex_lock(&op->lock);
	while (!op->done)
		pthread_cond_wait(&op->done_cond, &op->lock);
	pthread_mutex_unlock(&op->lock);
	*status = op->status;
	buffer_append(json, op->json.data, op->json.len);
	op_free(op);
}

/* Extracts the shard name from the id, the part before the first dot. */
static void get_shard_name(const struct op *op, char zone[64])
{
	size_t n = strcspn(op->placement, ".");

	if (n >= 64)
		n = 63;
	memcpy(zone, op->placement, n);
	zone[n] = '\0';
}

/* Takes the id of a create from its body if the URL had none. */
static void read_id_from_body(struct op *op)
{
	json_t *o = json_loadb(op->body, op->body_len, 0, NULL);
	const char *id = json_string_value(json_object_get(o, "id"));

	if (id && !op->placement[0])
		snprintf(op->placement, sizeof(op->placement), "%s", id);
	json_decref(o);
}

/* Handles the request in this process, or forwards it to the shard's owner. */
static void handle_op(struct placement_svc *p, struct op *op)
{
	struct place_shard *s;
	char zone[64];
	char owner[64] = "";

	if (!strcmp(op->method, "POST"))
		read_id_from_body(op);
	if (!op->placement[0] && !strcmp(op->method, "GET")) {
		handle_list(p, op);
		return;
	}
	if (!op->placement[0]) {
		finish_with_error(p, op, 400, "placement id is missing");
		return;
	}
	/*
	 * The core already has the request. After a change of owner, the reply
	 * of the new owner would not tell whether it took effect.
	 */
	if (op->started)
		return;
	get_shard_name(op, zone);
	s = placement_shard(p, zone);
	if (!s) {
		finish_with_error(p, op, 404, "unknown availability zone");
		return;
	}
	if (s->epoch) {
		handle_local(s, op);
		return;
	}
	owner_of_shard(p->owner, zone, owner);
	/*
	 * A forwarded request isn't forwarded again. Without a known owner, a
	 * request of this process is retried on each tick until it expires.
	 */
	if (op->sender[0])
		finish_with_error(p, op, 503,
				  "this process does not own the shard");
	else if (owner[0] && strcmp(owner, p->settings->node.id) != 0)
		forward_op(p, op, owner);
}

static void append_placement(void *arg, const char *id)
{
	struct {
		struct place *place;
		struct buffer *out;
	} *l = arg;

	if (l->out->len)
		buffer_append_str(l->out, ",");
	placement_to_json(l->place, id, true, l->out);
}

/* Collects the placements of all shards, from this process and all peers. */
static void handle_list(struct placement_svc *p, struct op *op)
{
	struct {
		struct place *place;
		struct buffer *out;
	} l = { .out = &op->json };

	if (!op->started) {
		for (uint32_t i = 0; i < p->shard_count; i++) {
			struct place_shard *s = p->shards[i];

			l.place = s->place;
			if (s->epoch)
				place_each_placement(s->place, append_placement,
						     &l);
		}
		op->started = true;
	}
	if (op->sender[0]) {
		finish_op(p, op, 200);
		return;
	}
	forward_op(p, op, "");
}

static void handle_local(struct place_shard *s, struct op *op)
{
	const struct config *c = config_current(s->svc->config);
	struct placement_spec spec = { .urgency = URGENCY_COUNT, .count = 1 };
	struct place_event e = { .placement = &spec, .request = op->id };
	char message[128] = "";
	bool cancelled;

	op->forwarded = false;
	op->started = true;
	e.id = op->placement;
	if (!strcmp(op->method, "GET")) {
		placement_to_json(s->place, op->placement, true, &op->json);
		if (op->json.len)
			finish_op(s->svc, op, 200);
		else
			finish_with_error(s->svc, op, 404, "unknown placement");
		return;
	}
	if (!strcmp(op->method, "DELETE")) {
		e.type = PLACE_CANCEL;
	} else if (!strcmp(op->method, "POST")) {
		e.type = PLACE_CREATE;
	} else if (!strcmp(op->method, "PUT")) {
		e.type = PLACE_CHANGE;
		if (!place_view_placement(s->place, op->placement, &spec,
					  &cancelled)) {
			finish_with_error(s->svc, op, 404, "unknown placement");
			return;
		}
	} else {
		finish_with_error(s->svc, op, 405, "unknown method");
		return;
	}
	if (e.type != PLACE_CANCEL &&
	    placement_from_json(op->body, op->body_len, c ? c->sheet : NULL,
				&spec, message) < 0) {
		finish_with_error(s->svc, op, 422, message);
		return;
	}
	/* This id selected the shard, so it overrides the id in the body. */
	snprintf(spec.id, sizeof(spec.id), "%s", op->placement);
	place_step(s->place, clock_now_us(), &e);
	placement_execute_actions(s);
}

/* Handles the reply of the core: the change is durable, or was refused. */
void placement_ops_reply(struct place_shard *s, const struct place_action *a)
{
	static const struct {
		int status;
		const char *message;
	} refusals[] = {
		[PLACE_REFUSED_EXISTS] = { 409,
					   "the placement already exists" },
		[PLACE_REFUSED_UNKNOWN] = { 404, "unknown placement" },
		[PLACE_REFUSED_INVALID] = { 422,
					    "a placement value is out of range" },
		[PLACE_REFUSED_NOT_OWNER] = { 503,
					      "this process does not own the "
					      "shard" },
	};
	struct op *op = op_find(s->svc, a->request);

	if (!op || op->replied)
		return;
	if (a->refusal != PLACE_ACCEPTED) {
		finish_with_error(s->svc, op, refusals[a->refusal].status,
				  refusals[a->refusal].message);
		return;
	}
	buffer_reset(&op->json);
	/*
	 * Tasks are left out: at 240 new tasks per second, listing them would
	 * take 32 KB/s between peers.
	 */
	placement_to_json(s->place, op->placement, false, &op->json);
	placement_log_decision(s->svc, op->placement, "decision=%s",
			       op->method[0] == 'D'   ? "cancel"
			       : op->method[1] == 'U' ? "change"
						      : "create");
	finish_op(s->svc, op, op->method[1] == 'O' ? 201 : 200);
}

static void send_reply(struct placement_svc *p, const struct op *op)
{
	msgpack_sbuffer b;
	msgpack_packer k;

	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&k, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&k, 3);
	msgpack_pack_uint64(&k, op->sender_op_id);
	msgpack_pack_int(&k, op->status);
	msgpack_pack_str(&k, op->json.len);
	msgpack_pack_str_body(&k, op->json.data ? op->json.data : "",
			      op->json.len);
	if (b.size < PEER_MESSAGE_MAX_BYTES)
		peers_send(p->peers, op->sender, PEER_PLACEMENT_REPLY, b.data,
			   b.size);
	else
		log_event(LOG_WARNING, "placement-reply-too-large",
			  "bytes=%zu peer=%s", b.size, op->sender);
	msgpack_sbuffer_destroy(&b);
}

/* Sends the reply to the caller of the request. */
static void finish_op(struct placement_svc *p, struct op *op, int status)
{
	op->status = status;
	op->replied = true;
	op->expires_us = clock_now_us() + REPLY_RETENTION_US;
	if (op->sender[0]) {
		send_reply(p, op);
		return;
	}
	if (!op->placement[0] && status == 200) {
		struct buffer all = BUFFER_INIT;

		buffer_append_str(&all, "{\"placements\":[");
		buffer_append(&all, op->json.data, op->json.len);
		buffer_printf(&all, "],\"complete\":%s}",
			      op->replies_pending ? "false" : "true");
		buffer_free(&op->json);
		op->json = all;
	}
	op_unlink(p, op);
	pthread_mutex_lock(&op->lock);
	op->done = true;
	pthread_cond_signal(&op->done_cond);
	pthread_mutex_unlock(&op->lock);
}

/* Sends the request to its shard's owner, or to all peers if owner is empty. */
static void forward_op(struct placement_svc *p, struct op *op,
		       const char *owner)
{
	msgpack_sbuffer b;
	msgpack_packer k;
	uint64_t now_us = clock_now_us();

	if (op->forwarded && now_us - op->forwarded_us < FORWARD_RETRY_US)
		return;
	msgpack_sbuffer_init(&b);
	msgpack_packer_init(&k, &b, msgpack_sbuffer_write);
	msgpack_pack_array(&k, 5);
	msgpack_pack_uint64(&k, op->id);
	msgpack_pack_str(&k, strlen(op->method));
	msgpack_pack_str_body(&k, op->method, strlen(op->method));
	msgpack_pack_str(&k, strlen(op->placement));
	msgpack_pack_str_body(&k, op->placement, strlen(op->placement));
	msgpack_pack_str(&k, op->body_len);
	msgpack_pack_str_body(&k, op->body, op->body_len);
	msgpack_pack_uint64(&k, op->expires_us - now_us);
	if (owner[0]) {
		peers_send(p->peers, owner, PEER_PLACEMENT_OP, b.data, b.size);
	} else if (!op->forwarded) {
		struct member *m = xcalloc(MEMBERS_MAX, sizeof(*m));
		uint32_t n = members_list(p->members, m, MEMBERS_MAX);

		for (uint32_t i = 1; i < n; i++)
			if (m[i].live &&
			    peers_send(p->peers, m[i].id, PEER_PLACEMENT_OP,
				       b.data, b.size) == 0)
				op->replies_pending++;
		free(m);
	}
	op->forwarded = true;
	op->forwarded_us = now_us;
	msgpack_sbuffer_destroy(&b);
	if (!owner[0] && !op->replies_pending)
		finish_op(p, op, 200);
}

static bool read_string(const msgpack_object *o, char *out, size_t size)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= size)
		return false;
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

/* Unpacks an array with at least count items, or NULL. Caller destroys u. */
static const msgpack_object *unpack(msgpack_unpacked *u, const void *body,
				    size_t len, uint32_t count)
{
	size_t off = 0;

	msgpack_unpacked_init(u);
	if (msgpack_unpack_next(u, body, len, &off) != MSGPACK_UNPACK_SUCCESS ||
	    u->data.type != MSGPACK_OBJECT_ARRAY ||
	    u->data.via.array.size < count)
		return NULL;
	return u->data.via.array.ptr;
}

/* Handles an operator request that a peer has forwarded. */
static void on_op(void *arg, const char *sender, const void *body, size_t len)
{
	struct placement_svc *p = arg;
	msgpack_unpacked u;
	const msgpack_object *o = unpack(&u, body, len, 5);
	char method[8], id[PLACE_NAME_BYTES];
	struct op *op = NULL;
	uint32_t count = 0;

	if (!o || o[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    !read_string(&o[1], method, sizeof(method)) ||
	    !read_string(&o[2], id, sizeof(id)) ||
	    o[3].type != MSGPACK_OBJECT_STR ||
	    o[4].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		goto out;
	for (op = p->ops; op; op = op->next, count++)
		if (op->sender_op_id == o[0].via.u64 &&
		    !strcmp(op->sender, sender))
			break;
	if (op && op->replied) {
		send_reply(p, op);
	} else if (!op && count < OPS_MAX && !p->stopping) {
		op = op_create(method, id, o[3].via.str.ptr, o[3].via.str.size,
			       o[4].via.u64 < REPLY_RETENTION_US
				       ? o[4].via.u64
				       : REPLY_RETENTION_US);
		op->sender_op_id = o[0].via.u64;
		snprintf(op->sender, sizeof(op->sender), "%s", sender);
		op->id = ++p->next_op;
		op->next = p->ops;
		p->ops = op;
		handle_op(p, op);
	}
out:
	msgpack_unpacked_destroy(&u);
}

static void on_reply(void *arg, const char *sender, const void *body,
		     size_t len)
{
	struct placement_svc *p = arg;
	msgpack_unpacked u;
	const msgpack_object *o = unpack(&u, body, len, 3);
	struct op *op = NULL;
	int status;

	(void)sender;
	if (!o || o[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    o[2].type != MSGPACK_OBJECT_STR)
		goto out;
	op = op_find(p, o[0].via.u64);
	if (!op || op->replied || op->sender[0] || !op->forwarded)
		goto out;
	status = (int)o[1].via.u64;
	/* The peer lost ownership and did nothing; the next owner is tried. */
	if (status == 503)
		goto out;
	if (op->json.len && o[2].via.str.size)
		buffer_append_str(&op->json, ",");
	if (o[2].via.str.size)
		buffer_append(&op->json, o[2].via.str.ptr, o[2].via.str.size);
	if (op->replies_pending && --op->replies_pending)
		goto out;
	finish_op(p, op, status);
out:
	msgpack_unpacked_destroy(&u);
}

void placement_ops_start(struct placement_svc *p)
{
	peers_set_handler(p->peers, PEER_PLACEMENT_OP, on_op, p);
	peers_set_handler(p->peers, PEER_PLACEMENT_REPLY, on_reply, p);
}

/* Ends a request that has no reply. */
static void expire_op(struct placement_svc *p, struct op *op)
{
	if (!op->placement[0] && op->started)
		finish_op(p, op, 200);
	else if (op->started || op->forwarded)
		finish_with_error(
			p, op, 504,
			"timed out; the request may still take effect");
	else
		finish_with_error(p, op, 503,
				  "the shard currently has no owner");
}

/* Resends and expires requests. */
void placement_ops_tick(struct placement_svc *p)
{
	uint64_t now_us = clock_now_us();
	struct op *next;

	for (struct op *op = p->ops; op; op = next) {
		next = op->next;
		if (op->replied && now_us >= op->expires_us) {
			op_unlink(p, op);
			op_free(op);
		} else if (op->replied) {
			continue;
		} else if (now_us >= op->expires_us) {
			expire_op(p, op);
		} else if (!op->sender[0] && op->placement[0]) {
			handle_op(p, op);
		}
	}
}

/* Ends all requests, so that no caller stays blocked. Control thread. */
void placement_ops_stop(struct placement_svc *p)
{
	while (p->ops) {
		struct op *op = p->ops;

		if (op->sender[0]) {
			op_unlink(p, op);
			op_free(op);
		} else {
			expire_op(p, op);
		}
	}
}
