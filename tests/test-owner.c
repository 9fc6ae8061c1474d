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

/* An entry VM without its network: messages go to the other's loop. */
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
static uint32_t lose_messages; /* of the next ones */
static uint64_t next_nonce = 1;

struct peers *peers_find(struct kernel *k)
{
	return nodes[0].kernel == k ? &nodes[0] : &nodes[1];
}

void peers_handle(struct peers *p, enum peer_message_type type, peer_fn *fn,
		  void *arg)
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
	if (lose_messages) {
		lose_messages--;
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
	/* The other node's thread reads up, and the rest only while it is. */
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
		CU_FAIL_FATAL("the services did not start");
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

struct shards {
	struct owner *owner;
	uint32_t count;
	uint64_t epoch;
};

static void count_shards(void *arg)
{
	struct shards *s = arg;
	char names[4][64];
	uint64_t epochs[4] = { 0 };

	s->count = owner_shards(s->owner, names, epochs, 4);
	s->epoch = epochs[0];
}

static struct shards shards_of(int i)
{
	struct shards s = { .owner = nodes[i].owner };

	loop_call(nodes[i].loop, count_shards, &s);
	return s;
}

static bool wait_owned(int i, bool owned)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while ((shards_of(i).count > 0) != owned && clock_now_us() < end)
		clock_sleep_us(5000);
	return (shards_of(i).count > 0) == owned;
}

static struct claim_key key(uint64_t k)
{
	return (struct claim_key){
		.hash = { k, k * 5 },
		.body_hash = 9,
		.nonce = next_nonce++,
	};
}

static enum claim_code begin(int node, const struct claim_key *k,
			     uint64_t wait_us, struct claim_answer *a)
{
	buffer_free(&a->body);
	claim_begin(nodes[node].owner, k, clock_now_us() + wait_us, a);
	return a->code;
}

/* Claims a key once it is settled, within some time. */
static enum claim_code begin_until(int node, uint64_t k, enum claim_code want,
				   struct claim_answer *a)
{
	uint64_t end = clock_now_us() + WAIT_US;
	enum claim_code code;

	do {
		struct claim_key once = key(k);

		code = begin(node, &once, 2000000, a);
	} while (code != want && clock_now_us() < end);
	return code;
}

static void begin_server(void)
{
	server = kv_start();
	kv_set_vms(server, vms);
}

static void end_server(void)
{
	for (int i = 0; i < NODES; i++)
		stop_node(i);
	kv_stop(server);
}

/* Guards against a claim in one process that is granted twice or lost. */
static void test_local_claims(void)
{
	struct claim_answer a = { 0 };
	struct claim_key one, two;

	begin_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_owned(0, true));
	one = key(1);
	CU_ASSERT_EQUAL(begin(0, &one, 5000000, &a), CLAIM_GRANTED);
	two = key(1);
	CU_ASSERT_EQUAL(begin(0, &two, 100000, &a), CLAIM_UNKNOWN);
	claim_finish(nodes[0].owner, &one, CLAIM_DONE, 200, "the answer", 10);
	CU_ASSERT_EQUAL(begin_until(0, 1, CLAIM_REPLAY, &a), CLAIM_REPLAY);
	CU_ASSERT_EQUAL(a.status, 200);
	CU_ASSERT_STRING_EQUAL(a.body.data, "the answer");
	two = key(1);
	two.body_hash++;
	CU_ASSERT_EQUAL(begin(0, &two, 5000000, &a), CLAIM_KEY_REUSED);
	buffer_free(&a.body);
	end_server();
}

/* Guards against claims lost with messages, or with their owner. */
static void test_claims_of_a_peer(void)
{
	struct claim_answer a = { 0 };
	struct claim_key one, two;

	begin_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_owned(0, true));
	start_node(1, "zone-b");
	CU_ASSERT_EQUAL(begin_until(1, 1, CLAIM_GRANTED, &a), CLAIM_GRANTED);
	lose_messages = 2;
	one = key(2);
	CU_ASSERT_EQUAL(begin(1, &one, 5000000, &a), CLAIM_GRANTED);
	lose_messages = 2;
	claim_finish(nodes[1].owner, &one, CLAIM_DONE, 200, "remote", 6);
	CU_ASSERT_EQUAL(begin_until(0, 2, CLAIM_REPLAY, &a), CLAIM_REPLAY);
	stop_node(0);
	CU_ASSERT_FATAL(wait_owned(1, true));
	CU_ASSERT_EQUAL(shards_of(1).epoch, 3);
	two = key(2);
	CU_ASSERT_EQUAL(begin(1, &two, 5000000, &a), CLAIM_REPLAY);
	CU_ASSERT_STRING_EQUAL(a.body.data, "remote");
	buffer_free(&a.body);
	end_server();
}

/* Guards against a grant without the store, and a shard that stays lost. */
static void test_store_down(void)
{
	struct claim_answer a = { 0 };
	struct claim_key one;

	begin_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_owned(0, true));
	kv_set_down(server, true);
	one = key(1);
	CU_ASSERT_EQUAL(begin(0, &one, 300000, &a), CLAIM_UNAVAILABLE);
	kv_set_down(server, false);
	CU_ASSERT_EQUAL(begin_until(0, 1, CLAIM_GRANTED, &a), CLAIM_GRANTED);
	CU_ASSERT_EQUAL(shards_of(0).epoch, 2);
	end_server();
}

/* Guards against a lost answer to an append that ends the ownership. */
static void test_lost_append(void)
{
	struct claim_answer a = { 0 };
	struct claim_key one = key(1);

	begin_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_owned(0, true));
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "PUT /v1/kv/waxwing/test/log",
		     1, 0);
	CU_ASSERT_EQUAL(begin(0, &one, 5000000, &a), CLAIM_GRANTED);
	CU_ASSERT_EQUAL(shards_of(0).epoch, 2);
	end_server();
}

/* Stops the node's control thread until the test lets it go on. */
static void hold(void *arg)
{
	atomic_bool *held = arg;

	while (atomic_load(held))
		clock_sleep_us(1000);
}

/* Guards against a paused holder that still owns beside the next one. */
static void test_paused_holder(void)
{
	struct claim_answer a = { 0 };
	atomic_bool held = true;

	begin_server();
	start_node(0, "zone-a");
	CU_ASSERT_FATAL(wait_owned(0, true));
	start_node(1, "zone-a");
	CU_ASSERT_EQUAL(begin_until(1, 1, CLAIM_GRANTED, &a), CLAIM_GRANTED);
	loop_post(nodes[0].loop, hold, &held);
	CU_ASSERT(wait_owned(1, true));
	atomic_store(&held, false);
	CU_ASSERT(wait_owned(0, false));
	CU_ASSERT_EQUAL(begin_until(0, 2, CLAIM_GRANTED, &a), CLAIM_GRANTED);
	end_server();
}

/* Guards against a shard that stays outside its zone, or flaps. */
static void test_shard_returns_home(void)
{
	struct claim_answer a = { 0 };
	struct claim_key one = key(1);

	begin_server();
	start_node(1, "zone-b");
	CU_ASSERT_FATAL(wait_owned(1, true));
	CU_ASSERT_EQUAL(begin(1, &one, 5000000, &a), CLAIM_GRANTED);
	start_node(0, "zone-a");
	CU_ASSERT(wait_owned(0, true));
	CU_ASSERT(wait_owned(1, false));
	claim_finish(nodes[1].owner, &one, CLAIM_DONE, 200, "b", 1);
	CU_ASSERT_EQUAL(begin_until(0, 1, CLAIM_REPLAY, &a), CLAIM_REPLAY);
	CU_ASSERT_EQUAL(shards_of(0).epoch, 3);
	buffer_free(&a.body);
	end_server();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "local claims", test_local_claims },
		{ "claims of a peer", test_claims_of_a_peer },
		{ "store down", test_store_down },
		{ "lost append", test_lost_append },
		{ "paused holder", test_paused_holder },
		{ "shard returns home", test_shard_returns_home },
	};

	return RUN_SUITE("owner", tests);
}
