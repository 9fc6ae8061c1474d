#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-memory-store.h"
#include "support-unit.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-store.h"
#include "svc-targets.h"

#define NODES 2
#define WAIT_US 20000000u

static const char vms[] =
	"[{\"id\":\"e1\",\"role\":\"entry\",\"availability_zone\":\"zone-a\","
	"\"address\":\"127.0.0.1:1\",\"state\":\"live\"}]";

/* Fake peers and members services: messages go to the other node's loop. */
struct peers {
	struct kernel *kernel;
	struct loop *loop;
	struct owner *owner;
	char id[64];
	char zone[64];
	atomic_bool up;
	peer_fn *handlers[PEER_MESSAGE_TYPES];
	void *args[PEER_MESSAGE_TYPES];
};

struct message {
	struct peers *to;
	char sender[64];
	enum peer_message_type type;
	struct buffer body;
};

static struct peers nodes[NODES];
static struct kv_server *server;
static uint32_t messages_to_drop; /* by the next calls of peers_send() */
static uint64_t next_nonce = 1;

struct peers *peers_find(struct kernel *k)
{
	return nodes[0].kernel == k ? &nodes[0] : &nodes[1];
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	p->handlers[type] = fn;
	p->args[type] = arg;
}

static void deliver(void *arg)
{
	struct message *m = arg;

	if (m->to->up && m->to->handlers[m->type])
		m->to->handlers[m->type](m->to->args[m->type], m->sender,
					 m->body.data, m->body.len);
	buffer_free(&m->body);
	free(m);
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	struct peers *to = &nodes[p == &nodes[0]];
	struct message *m;

	if (strcmp(to->id, id) != 0 || !to->up)
		return -1;
	if (messages_to_drop) {
		messages_to_drop--;
		return 0;
	}
	m = xcalloc(1, sizeof(*m));
	m->to = to;
	m->type = type;
	snprintf(m->sender, sizeof(m->sender), "%s", p->id);
	buffer_append(&m->body, body, len);
	loop_post(to->loop, deliver, m);
	return 0;
}

struct members *members_find(struct kernel *k)
{
	return (struct members *)peers_find(k);
}

uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	uint32_t n = 0;

	(void)m;
	for (int i = 0; i < NODES && n < max; i++) {
		if (!nodes[i].up)
			continue;
		memset(&out[n], 0, sizeof(*out));
		out[n].live = true;
		snprintf(out[n++].availability_zone, 64, "%s", nodes[i].zone);
	}
	return n;
}

void members_shard_owner(struct members *m, const char *shard, char id[64],
			 uint64_t *epoch)
{
	(void)m;
	(void)shard;
	id[0] = '\0';
	*epoch = 0;
}

struct targets *targets_find(struct kernel *k)
{
	(void)k;
	return NULL;
}

const struct vm_list *targets_list(struct targets *t)
{
	(void)t;
	return NULL;
}

static void start_node(int i, const char *zone)
{
	static struct settings s;
	struct error err;

	memset(&s, 0, sizeof(s));
	/* Until up is set, the other node's thread reads no other field. */
	memset(nodes[i].handlers, 0, sizeof(nodes[i].handlers));
	snprintf(s.node.id, sizeof(s.node.id), "e%d", i + 1);
	snprintf(s.node.deployment, sizeof(s.node.deployment), "test");
	snprintf(s.node.availability_zone, sizeof(s.node.availability_zone),
		 "%s", zone);
	snprintf(s.platform.address.host, sizeof(s.platform.address.host),
		 "127.0.0.1");
	s.platform.address.port = kv_port(server);
	s.platform.lease_us = 1000000;
	s.platform.write_budget = 3000;
	s.platform.read_budget = 15000;
	nodes[i].kernel = kernel_create();
	snprintf(nodes[i].id, sizeof(nodes[i].id), "e%d", i + 1);
	kernel_register(nodes[i].kernel, loop_create(), &err);
	kernel_register(nodes[i].kernel, store_create(&s), &err);
	kernel_register(nodes[i].kernel, owner_create(&s), &err);
	snprintf(nodes[i].zone, sizeof(nodes[i].zone), "%s", zone);
	nodes[i].loop = loop_find(nodes[i].kernel);
	nodes[i].owner = owner_find(nodes[i].kernel);
	nodes[i].up = true;
	if (kernel_start(nodes[i].kernel, &err) < 0)
		CU_FAIL_FATAL("kernel_start() failed");
}

static void stop_node(int i)
{
	if (!nodes[i].kernel)
		return;
	kernel_drain(nodes[i].kernel);
	kernel_stop(nodes[i].kernel);
	nodes[i].up = false;
	kernel_destroy(nodes[i].kernel);
	nodes[i].kernel = NULL;
}

struct shard_counts {
	struct owner *owner;
	uint32_t count;
	uint64_t epoch;
};

static void count_shards(void *arg)
{
	struct shard_counts *s = arg;
	char names[4][64];
	uint64_t epochs[4] = { 0 };

	s->count = owner_list_shards(s->owner, names, epochs, 4);
	s->epoch = epochs[0];
}

static struct shard_counts get_shard_counts(int i)
{
	struct shard_counts s = { .owner = nodes[i].owner };

	loop_call(nodes[i].loop, count_shards, &s);
	return s;
}

static bool wait_for_ownership(int i, bool owned)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while ((get_shard_counts(i).count > 0) != owned && clock_now_us() < end)
		clock_sleep_us(5000);
	return (get_shard_counts(i).count > 0) == owned;
}

static struct claim_key make_key(uint64_t k)
{
	return (struct claim_key){
		.hash = { k, k * 5 },
		.body_hash = 9,
		.nonce = next_nonce++,
	};
}

static enum claim_code begin_claim(int node, const struct claim_key *k,
				   uint64_t wait_us, struct claim_reply *a)
{
	buffer_free(&a->body);
	claim_begin(nodes[node].owner, k, clock_now_us() + wait_us, a);
	return a->code;
}

/* Claims a key with new nonces until want is returned or WAIT_US is over. */
static enum claim_code begin_claim_until(int node, uint64_t k,
					 enum claim_code want,
					 struct claim_reply *a)
{
	uint64_t end = clock_now_us() + WAIT_US;
	enum claim_code code;

	do {
		struct claim_key attempt = make_key(k);

		code = begin_claim(node, &attempt, 2000000, a);
	} while (code != want && clock_now_us() < end);
	return code;
}

static void start_server(void)
{
	server = kv_start();
	kv_set_vms(server, vms);
}

static void stop_nodes_and_server(void)
{
	for (int i = 0; i < NODES; i++)
		stop_node(i);
	kv_stop(server);
}

/*
 * Guards against a key granted twice or a stored response lost, when owner and
 * entry VM are the same process.
 */
static void test_local_claims(void)
{
	struct claim_reply a = { 0 };
	struct claim_key one, two;

	start_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_for_ownership(0, true));
	one = make_key(1);
	CU_ASSERT_EQUAL(begin_claim(0, &one, 5000000, &a), CLAIM_GRANTED);
	two = make_key(1);
	CU_ASSERT_EQUAL(begin_claim(0, &two, 100000, &a), CLAIM_UNKNOWN);
	claim_finish(nodes[0].owner, &one, CLAIM_DONE, 200, "the answer", 10);
	CU_ASSERT_EQUAL(begin_claim_until(0, 1, CLAIM_REPLAY, &a),
			CLAIM_REPLAY);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_STRING_EQUAL(a.body.data, "the answer");
	two = make_key(1);
	two.body_hash++;
	CU_ASSERT_EQUAL(begin_claim(0, &two, 5000000, &a), CLAIM_KEY_REUSED);
	buffer_free(&a.body);
	stop_nodes_and_server();
}

/*
 * Guards against claims and stored responses that are lost when messages
 * between peers are dropped or when another process takes the shard over.
 */
static void test_remote_claims(void)
{
	struct claim_reply a = { 0 };
	struct claim_key one, two;

	start_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_for_ownership(0, true));
	start_node(1, "zone-b");
	CU_ASSERT_EQUAL(begin_claim_until(1, 1, CLAIM_GRANTED, &a),
			CLAIM_GRANTED);
	messages_to_drop = 2;
	one = make_key(2);
	CU_ASSERT_EQUAL(begin_claim(1, &one, 5000000, &a), CLAIM_GRANTED);
	messages_to_drop = 2;
	claim_finish(nodes[1].owner, &one, CLAIM_DONE, 200, "remote", 6);
	CU_ASSERT_EQUAL(begin_claim_until(0, 2, CLAIM_REPLAY, &a),
			CLAIM_REPLAY);
	stop_node(0);
	CU_ASSERT_FATAL(wait_for_ownership(1, true));
	CU_ASSERT_EQUAL(get_shard_counts(1).epoch, 3);
	two = make_key(2);
	CU_ASSERT_EQUAL(begin_claim(1, &two, 5000000, &a), CLAIM_REPLAY);
	CU_ASSERT_STRING_EQUAL(a.body.data, "remote");
	buffer_free(&a.body);
	stop_nodes_and_server();
}

/*
 * Guards against a claim granted while the store is unreachable, and against
 * an owner that loses the shard for good over an outage.
 */
static void test_store_unreachable(void)
{
	struct claim_reply a = { 0 };
	struct claim_key one;

	start_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_for_ownership(0, true));
	kv_set_down(server, true);
	one = make_key(1);
	CU_ASSERT_EQUAL(begin_claim(0, &one, 300000, &a), CLAIM_UNAVAILABLE);
	kv_set_down(server, false);
	CU_ASSERT_EQUAL(begin_claim_until(0, 1, CLAIM_GRANTED, &a),
			CLAIM_GRANTED);
	CU_ASSERT_EQUAL(get_shard_counts(0).epoch, 2);
	stop_nodes_and_server();
}

/*
 * Guards against an owner that gives up the shard because the store applied an
 * append but its reply was lost.
 */
static void test_append_reply_lost(void)
{
	struct claim_reply a = { 0 };
	struct claim_key one = make_key(1);

	start_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_for_ownership(0, true));
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "PUT /v1/kv/waxwing/test/log",
		     1, 0);
	CU_ASSERT_EQUAL(begin_claim(0, &one, 5000000, &a), CLAIM_GRANTED);
	CU_ASSERT_EQUAL(get_shard_counts(0).epoch, 2);
	stop_nodes_and_server();
}

/* Blocks a node's control thread until the flag is cleared. */
static void block_loop(void *arg)
{
	atomic_bool *blocked = arg;

	while (atomic_load(blocked))
		clock_sleep_us(1000);
}

/*
 * Guards against two owners of a shard: an owner that is paused past its lease
 * must give the shard up when it resumes.
 */
static void test_paused_owner(void)
{
	struct claim_reply a = { 0 };
	atomic_bool blocked = true;

	start_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_for_ownership(0, true));
	start_node(1, "zone-a");
	CU_ASSERT_EQUAL(begin_claim_until(1, 1, CLAIM_GRANTED, &a),
			CLAIM_GRANTED);
	loop_post(nodes[0].loop, block_loop, &blocked);
	CU_ASSERT(wait_for_ownership(1, true));
	atomic_store(&blocked, false);
	CU_ASSERT(wait_for_ownership(0, false));
	CU_ASSERT_EQUAL(begin_claim_until(0, 2, CLAIM_GRANTED, &a),
			CLAIM_GRANTED);
	stop_nodes_and_server();
}

/*
 * Guards against a shard that stays in another zone after an entry VM of its
 * own zone has started, or that changes owners more than once.
 */
static void test_failback(void)
{
	struct claim_reply a = { 0 };
	struct claim_key one = make_key(1);

	start_server();
	start_node(1, "zone-b");
	CU_ASSERT_FATAL(wait_for_ownership(1, true));
	CU_ASSERT_EQUAL(begin_claim(1, &one, 5000000, &a), CLAIM_GRANTED);
	start_node(0, "zone-a");
	CU_ASSERT(wait_for_ownership(0, true));
	CU_ASSERT(wait_for_ownership(1, false));
	claim_finish(nodes[1].owner, &one, CLAIM_DONE, 200, "b", 1);
	CU_ASSERT_EQUAL(begin_claim_until(0, 1, CLAIM_REPLAY, &a),
			CLAIM_REPLAY);
	CU_ASSERT_EQUAL(get_shard_counts(0).epoch, 3);
	buffer_free(&a.body);
	stop_nodes_and_server();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "local claims", test_local_claims },
		{ "remote claims", test_remote_claims },
		{ "store unreachable", test_store_unreachable },
		{ "append reply lost", test_append_reply_lost },
		{ "paused owner", test_paused_owner },
		{ "failback to the zone of the shard", test_failback },
	};

	return RUN_SUITE("owner", tests);
}
