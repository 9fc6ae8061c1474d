#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "config-value.h"
#include "counter.h"
#include "message.h"
#include "support-unit.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-peers.h"
#include "svc-store.h"

#define NODES 2
#define WAIT_US 5000000u
#define APPLY_US 4000000u

/* A simulated daemon: its loop, and its fake store, peers and members. */
struct node {
	struct kernel *kernel;
	struct loop *loop;
	struct config_svc *config;
	struct settings settings;
	peer_fn *handlers[PEER_MESSAGE_TYPES];
	void *args[PEER_MESSAGE_TYPES];
	atomic_int config_requests; /* PEER_CONFIG_GET sent */
};

struct pending_reply {
	struct node *node;
	store_reply_fn *fn;
	void *arg;
	struct store_reply reply;
};

/* The stored key, shared by all nodes and guarded by the lock. */
static struct {
	pthread_mutex_t lock;
	char *value;
	uint64_t index;
	uint64_t reads;
	uint64_t writes;
	bool down;
	int lose_answers; /* replies to lose after a write */
	void (*after_lost)(const char *value); /* called after a lost reply */
} store = { .lock = PTHREAD_MUTEX_INITIALIZER };

static struct node nodes[NODES];

static struct node *find_node(struct kernel *k)
{
	return nodes[0].kernel == k ? &nodes[0] : &nodes[1];
}

struct store *store_find(struct kernel *k)
{
	return (struct store *)find_node(k);
}

struct peers *peers_find(struct kernel *k)
{
	return (struct peers *)find_node(k);
}

struct members *members_find(struct kernel *k)
{
	return (struct members *)find_node(k);
}

uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	(void)m;
	(void)max;
	memset(out, 0, sizeof(*out));
	return 1;
}

bool members_is_store_reader(struct members *m)
{
	(void)m;
	return true;
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	struct node *n = (struct node *)p;

	n->handlers[type] = fn;
	n->args[type] = arg;
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	(void)p;
	(void)id;
	(void)type;
	(void)body;
	(void)len;
	return 0;
}

void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len)
{
	(void)body;
	(void)len;
	if (type == PEER_CONFIG_GET)
		atomic_fetch_add(&((struct node *)p)->config_requests, 1);
}

static void deliver(void *arg)
{
	struct pending_reply *p = arg;

	p->fn(p->arg, &p->reply);
	if (p->reply.kv.pairs)
		free(p->reply.kv.pairs[0].value);
	free(p->reply.kv.pairs);
	free(p);
}

static struct pending_reply *new_reply(struct store *st, store_reply_fn *fn,
				       void *arg)
{
	struct pending_reply *p = xcalloc(1, sizeof(*p));

	p->node = (struct node *)st;
	p->fn = fn;
	p->arg = arg;
	if (store.down) {
		p->reply.failed = -1;
		error_set(&p->reply.err, ERROR_LAYER_PLATFORM,
			  PLATFORM_UNREACHABLE, "down");
	}
	return p;
}

/* Replies immediately, also to a watch. */
void store_get(struct store *st, const char *key, bool recurse, uint64_t index,
	       uint64_t wait_us, store_reply_fn *fn, void *arg)
{
	struct pending_reply *p;

	(void)key;
	(void)recurse;
	(void)index;
	(void)wait_us;
	pthread_mutex_lock(&store.lock);
	store.reads++;
	p = new_reply(st, fn, arg);
	if (!p->reply.failed && store.value) {
		p->reply.kv.pairs = xcalloc(1, sizeof(struct kv_pair));
		p->reply.kv.count = 1;
		p->reply.kv.pairs[0].value = xstrdup(store.value);
		p->reply.kv.pairs[0].value_len = strlen(store.value);
		p->reply.kv.pairs[0].modify_index = store.index;
	}
	p->reply.kv.index = store.index;
	pthread_mutex_unlock(&store.lock);
	loop_post(p->node->loop, deliver, p);
}

void store_put(struct store *st, const char *key, const void *value, size_t len,
	       uint64_t modify_index, store_reply_fn *fn, void *arg)
{
	struct pending_reply *p;

	(void)key;
	(void)len;
	pthread_mutex_lock(&store.lock);
	p = new_reply(st, fn, arg);
	if (!p->reply.failed && modify_index == store.index) {
		free(store.value);
		store.value = xstrdup(value);
		store.index++;
		store.writes++;
		p->reply.applied = true;
		if (store.lose_answers && store.lose_answers--) {
			p->reply.failed = -1;
			error_set(&p->reply.err, ERROR_LAYER_PLATFORM,
				  PLATFORM_OUTCOME_UNKNOWN, "answer lost");
			if (store.after_lost)
				store.after_lost(store.value);
		}
	}
	pthread_mutex_unlock(&store.lock);
	loop_post(p->node->loop, deliver, p);
}

/* Replaces the stored value like a write by another process. */
static void set_stored(const char *text)
{
	pthread_mutex_lock(&store.lock);
	free(store.value);
	store.value = text ? xstrdup(text) : NULL;
	store.index++;
	pthread_mutex_unlock(&store.lock);
}

static const char *sheet_with_share(int share, char out[256])
{
	snprintf(out, 256,
		 "{\"kinds\":[{\"kind\":\"k\",\"limit\":0,\"priority\":"
		 "\"normal\",\"share\":%d,\"user\":\"u\",\"yields\":false}],"
		 "\"stops\":[],\"teams\":[]}",
		 share);
	return out;
}

static void format_value(uint64_t revision, int share, char out[512])
{
	char sheet[256];

	snprintf(out, 512,
		 "{\"format\":1,\"revision\":%d,\"nonces\":[\"%x\"],"
		 "\"sheet\":%s}",
		 (int)revision, 0x1000 + (int)revision,
		 sheet_with_share(share, sheet));
}

static void start_node(struct node *n)
{
	struct error err;

	memset(n, 0, sizeof(*n));
	settings_defaults(&n->settings);
	n->kernel = kernel_create();
	kernel_register(n->kernel, loop_create(), &err);
	kernel_register(n->kernel, config_create(&n->settings), &err);
	n->loop = loop_find(n->kernel);
	n->config = config_find(n->kernel);
	CU_ASSERT_EQUAL_FATAL(kernel_start(n->kernel, &err), 0);
}

static void start_all(int count)
{
	free(store.value);
	store.value = NULL;
	store.index = 0;
	store.down = false;
	store.lose_answers = 0;
	store.after_lost = NULL;
	memset(nodes, 0, sizeof(nodes));
	for (int i = 0; i < count; i++)
		start_node(&nodes[i]);
}

static void stop_all(int count)
{
	for (int i = 0; i < count; i++) {
		kernel_stop(nodes[i].kernel);
		kernel_destroy(nodes[i].kernel);
	}
}

static bool wait_revision(struct node *n, uint64_t revision)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (config_revision(n->config) < revision && clock_now_us() < end)
		clock_sleep_us(2000);
	return config_revision(n->config) == revision;
}

struct peer_message {
	struct node *node;
	const char *value;
};

static void deliver_config(void *arg)
{
	struct peer_message *a = arg;
	struct message_writer w;

	message_writer_init(&w, 2);
	message_put_uint(&w, 1);
	message_put_bin(&w, a->value, strlen(a->value));
	a->node->handlers[PEER_CONFIG](a->node->args[PEER_CONFIG], "peer",
				       w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

static void send_from_peer(struct node *n, const char *value)
{
	struct peer_message a = { n, value };

	loop_call(n->loop, deliver_config, &a);
}

static enum config_apply_code apply(struct node *n, uint64_t base, int share,
				    struct config_apply_result *r)
{
	char sheet[256];

	config_apply(n->config, base, sheet_with_share(share, sheet), APPLY_US,
		     r);
	return r->code;
}

/* Guards against reporting success to two conflicting operators. */
static void test_conflict(void)
{
	struct config_apply_result r;

	start_all(2);
	CU_ASSERT_EQUAL(apply(&nodes[0], 0, 10, &r), CONFIG_APPLIED);
	CU_ASSERT_EQUAL(r.revision, 1);
	CU_ASSERT_EQUAL(apply(&nodes[1], 0, 20, &r), CONFIG_CONFLICT);
	CU_ASSERT_EQUAL(r.revision, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(r.json);
	CU_ASSERT_PTR_NOT_NULL(strstr(r.json, "\"share\":10"));
	free(r.json);
	CU_ASSERT_EQUAL(apply(&nodes[1], 1, 20, &r), CONFIG_APPLIED);
	CU_ASSERT_TRUE(wait_revision(&nodes[0], 2));
	CU_ASSERT_EQUAL(apply(&nodes[0], 9, 30, &r), CONFIG_CONFLICT);
	free(r.json);
	stop_all(2);
}

/*
 * Guards against a change that is rejected or applied twice because the store's
 * reply was lost.
 */
static void test_lost_reply(void)
{
	struct config_apply_result r;

	start_all(1);
	store.lose_answers = 1;
	store.writes = 0;
	CU_ASSERT_EQUAL(apply(&nodes[0], 0, 10, &r), CONFIG_APPLIED);
	CU_ASSERT_EQUAL(r.revision, 1);
	CU_ASSERT_EQUAL(store.writes, 1);
	stop_all(1);
}

/* Stores the next revision like another operator, keeping earlier nonces. */
static void store_next_change(const char *value)
{
	struct config_value v, next = { 0 };
	struct error err;
	char *text;

	CU_ASSERT_EQUAL_FATAL(
		config_value_parse(value, strlen(value), &v, &err), 0);
	next.revision = v.revision + 1;
	next.nonces[0] = 77;
	memcpy(next.nonces + 1, v.nonces, sizeof(v.nonces[0]) * v.nonce_count);
	next.nonce_count = v.nonce_count + 1;
	next.json = v.json;
	text = config_value_format(&next);
	free(store.value);
	store.value = text;
	store.index++;
	config_value_free(&v);
}

/*
 * Guards against reporting a conflict for a change that was stored and followed
 * by another change before it could be verified.
 */
static void test_lost_reply_then_another_change(void)
{
	struct config_apply_result r;

	start_all(1);
	store.lose_answers = 1;
	store.after_lost = store_next_change;
	CU_ASSERT_EQUAL(apply(&nodes[0], 0, 10, &r), CONFIG_APPLIED);
	CU_ASSERT_EQUAL(r.revision, 1);
	CU_ASSERT_TRUE(wait_revision(&nodes[0], 2));
	stop_all(1);
}

/* Guards against an older revision replacing a newer one. */
static void test_revision_never_decreases(void)
{
	struct config_apply_result r;
	char value[512];

	start_all(1);
	format_value(5, 50, value);
	send_from_peer(&nodes[0], value);
	CU_ASSERT_TRUE(wait_revision(&nodes[0], 5));
	format_value(3, 30, value);
	send_from_peer(&nodes[0], value);
	set_stored(value);
	/* A change based on the older stored revision must fail, too. */
	CU_ASSERT_EQUAL(apply(&nodes[0], 3, 10, &r), CONFIG_CONFLICT);
	CU_ASSERT_EQUAL(r.revision, 5);
	free(r.json);
	CU_ASSERT_EQUAL(config_revision(nodes[0].config), 5);
	CU_ASSERT_EQUAL(apply(&nodes[0], 5, 10, &r), CONFIG_APPLIED);
	CU_ASSERT_EQUAL(r.revision, 6);
	stop_all(1);
}

/* Guards against a malformed stored value replacing the current one. */
static void test_malformed_value(void)
{
	struct counter *unusable =
		counter_get(COUNTER, "waxwing_config_unusable_total", NULL);
	struct config_apply_result r;
	long long before;
	char value[512];

	start_all(1);
	format_value(1, 10, value);
	set_stored(value);
	CU_ASSERT_TRUE(wait_revision(&nodes[0], 1));
	before = counter_value(unusable);
	format_value(2, 20, value);
	value[strlen(value) - 9] = '\0';
	set_stored(value);
	CU_ASSERT_EQUAL(apply(&nodes[0], 1, 30, &r), CONFIG_UNAVAILABLE);
	CU_ASSERT_EQUAL(r.err.code, CONFIG_MALFORMED);
	set_stored("{\"format\":2,\"revision\":9}");
	CU_ASSERT_EQUAL(apply(&nodes[0], 1, 30, &r), CONFIG_UNAVAILABLE);
	CU_ASSERT_EQUAL(r.err.code, CONFIG_NEWER_FORMAT);
	CU_ASSERT(counter_value(unusable) >= before + 2);
	CU_ASSERT_EQUAL(config_revision(nodes[0].config), 1);
	stop_all(1);
}

/*
 * Guards against a process that starts while the store is down and installs the
 * first reply from a peer instead of the highest revision.
 */
static void test_start_during_store_outage(void)
{
	char value[512];
	uint64_t end, begun = clock_now_us();

	store.down = true;
	memset(nodes, 0, sizeof(nodes));
	start_node(&nodes[0]);
	end = clock_now_us() + WAIT_US;
	while (!atomic_load(&nodes[0].config_requests) && clock_now_us() < end)
		clock_sleep_us(1000);
	CU_ASSERT(atomic_load(&nodes[0].config_requests) > 0);
	format_value(4, 40, value);
	send_from_peer(&nodes[0], value);
	CU_ASSERT_EQUAL(config_revision(nodes[0].config), 0);
	format_value(7, 70, value);
	send_from_peer(&nodes[0], value);
	format_value(6, 60, value);
	send_from_peer(&nodes[0], value);
	CU_ASSERT_TRUE(wait_revision(&nodes[0], 7));
	/* The startup wait for peers is 500 ms. */
	CU_ASSERT(clock_now_us() - begun >= 500000);
	stop_all(1);
	store.down = false;
}

/*
 * Guards against reporting success while the store is down, and against
 * retrying the store in a busy loop.
 */
static void test_store_down(void)
{
	struct config_apply_result r;
	char sheet[256];

	start_all(1);
	store.down = true;
	store.reads = 0;
	config_apply(nodes[0].config, 0, sheet_with_share(10, sheet), 1000000,
		     &r);
	CU_ASSERT_EQUAL(r.code, CONFIG_UNAVAILABLE);
	CU_ASSERT_EQUAL(config_revision(nodes[0].config), 0);
	CU_ASSERT(store.reads < 20);
	stop_all(1);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "conflict", test_conflict },
		{ "lost reply", test_lost_reply },
		{ "lost reply, then another change",
		  test_lost_reply_then_another_change },
		{ "revision never decreases", test_revision_never_decreases },
		{ "malformed value", test_malformed_value },
		{ "start during store outage", test_start_during_store_outage },
		{ "store down", test_store_down },
	};

	return RUN_SUITE("config", tests);
}
