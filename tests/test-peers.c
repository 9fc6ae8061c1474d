#include <arpa/inet.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "message.h"
#include "support-unit.h"
#include "svc-loop.h"
#include "svc-peers.h"

#define WAIT_US 5000000u

struct node {
	struct settings settings;
	struct kernel *kernel;
	struct loop *loop;
	struct peers *peers;
	atomic_int received;
	char sender[PEER_ID_BYTES];
	char body[64];
	size_t len;
};

struct send_call {
	struct node *from;
	const char *to;
	const void *body;
	size_t len;
	int ret;
};

static char public_key[41], secret_key[41];

static uint16_t free_port(void)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(a);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (bind(fd, (struct sockaddr *)&a, sizeof(a)) < 0 ||
	    getsockname(fd, (struct sockaddr *)&a, &len) < 0)
		abort();
	close(fd);
	return ntohs(a.sin_port);
}

static void on_config(void *arg, const char *sender, const void *body,
		      size_t len)
{
	struct node *n = arg;

	snprintf(n->sender, sizeof(n->sender), "%s", sender);
	n->len = len;
	memcpy(n->body, body, len < sizeof(n->body) ? len : sizeof(n->body));
	atomic_fetch_add(&n->received, 1);
}

static void start_node(struct node *n, const char *id, const char *public,
		       const char *secret, const struct node *seed)
{
	struct error err;

	memset(n, 0, sizeof(*n));
	settings_defaults(&n->settings);
	snprintf(n->settings.node.id, sizeof(n->settings.node.id), "%s", id);
	snprintf(n->settings.peers.curve_public, 41, "%s", public);
	snprintf(n->settings.peers.curve_secret, 41, "%s", secret);
	strcpy(n->settings.peers.listen.host, "127.0.0.1");
	n->settings.peers.listen.port = free_port();
	if (seed) {
		n->settings.peers.seeds[0] = seed->settings.peers.listen;
		n->settings.peers.seed_count = 1;
	}
	n->kernel = kernel_create();
	kernel_register(n->kernel, loop_create(), &err);
	kernel_register(n->kernel, peers_create(&n->settings), &err);
	n->loop = loop_find(n->kernel);
	n->peers = peers_find(n->kernel);
	CU_ASSERT_EQUAL_FATAL(kernel_start(n->kernel, &err), 0);
	peers_set_handler(n->peers, PEER_CONFIG, on_config, n);
}

static void stop_node(struct node *n)
{
	kernel_stop(n->kernel);
	kernel_destroy(n->kernel);
}

static void send_on_loop(void *arg)
{
	struct send_call *c = arg;

	if (c->to)
		c->ret = peers_send(c->from->peers, c->to, PEER_CONFIG, c->body,
				    c->len);
	else
		peers_broadcast(c->from->peers, PEER_CONFIG, c->body, c->len);
}

static int send_to(struct node *from, const char *to, const void *body,
		   size_t len)
{
	struct send_call c = { from, to, body, len, 0 };

	loop_call(from->loop, send_on_loop, &c);
	return c.ret;
}

struct set_address_call {
	struct node *n;
	const struct node *peer;
};

static void set_address_on_loop(void *arg)
{
	struct set_address_call *c = arg;

	peers_set_address(c->n->peers, c->peer->settings.node.id,
			  &c->peer->settings.peers.listen);
}

static bool wait_count(atomic_int *count, int wanted)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (atomic_load(count) < wanted && clock_now_us() < end)
		clock_sleep_us(1000);
	return atomic_load(count) >= wanted;
}

static bool wait_counter(struct counter *c, long long wanted)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (counter_value(c) < wanted && clock_now_us() < end)
		clock_sleep_us(1000);
	return counter_value(c) >= wanted;
}

/* Repeats a broadcast until the peer receives it, once it is connected. */
static bool broadcast_until_received(struct node *from, struct node *to)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (!atomic_load(&to->received) && clock_now_us() < end) {
		send_to(from, NULL, "\xa5hello", 6);
		clock_sleep_us(5000);
	}
	return atomic_load(&to->received) > 0;
}

/* Fails if a message is lost, changed or attributed to another sender. */
static void test_message_arrives(void)
{
	struct node a, b;
	struct set_address_call c = { &b, &a };
	int before;

	start_node(&a, "a", public_key, secret_key, NULL);
	start_node(&b, "b", public_key, secret_key, &a);
	CU_ASSERT_TRUE(broadcast_until_received(&b, &a));
	CU_ASSERT_STRING_EQUAL(a.sender, "b");
	CU_ASSERT_EQUAL(a.len, 6);
	CU_ASSERT_EQUAL(memcmp(a.body, "\xa5hello", 6), 0);
	CU_ASSERT_EQUAL(send_to(&b, "nobody", "\x01", 1), -1);
	loop_call(b.loop, set_address_on_loop, &c);
	before = atomic_load(&a.received);
	CU_ASSERT_EQUAL(send_to(&b, "a", "\x01", 1), 0);
	CU_ASSERT_TRUE(wait_count(&a.received, before + 1));
	stop_node(&b);
	stop_node(&a);
}

/*
 * Fails if a peer can't be reached by its id when the address of its connection
 * differs from the one that it announces, as behind the fault proxy.
 */
static void test_id_learnt_from_connection(void)
{
	struct node a, b;
	uint64_t end;
	int ret = -1;

	start_node(&a, "a", public_key, secret_key, NULL);
	start_node(&b, "b", public_key, secret_key, &a);
	end = clock_now_us() + WAIT_US;
	while (ret < 0 && clock_now_us() < end) {
		ret = send_to(&b, "a", "\x01", 1);
		clock_sleep_us(5000);
	}
	CU_ASSERT_EQUAL(ret, 0);
	CU_ASSERT_TRUE(wait_count(&a.received, 1));
	stop_node(&b);
	stop_node(&a);
}

/* Fails if messages of a process without the deployment's key are accepted. */
static void test_foreign_key_is_refused(void)
{
	struct counter *refused =
		counter_get(COUNTER, "waxwing_peer_refused_total", NULL);
	long long before = counter_value(refused);
	char other_public[41], other_secret[41];
	struct node a, b, foreign;
	void *context = zmq_ctx_new();
	void *socket = zmq_socket(context, ZMQ_DEALER);
	char endpoint[64];
	int zero = 0;

	zmq_curve_keypair(other_public, other_secret);
	start_node(&a, "a", public_key, secret_key, NULL);
	/* The server's public key is no secret; the client may know it. */
	zmq_setsockopt(socket, ZMQ_LINGER, &zero, sizeof(zero));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, public_key, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, other_public, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, other_secret, 41);
	snprintf(endpoint, sizeof(endpoint), "tcp://127.0.0.1:%u",
		 a.settings.peers.listen.port);
	zmq_connect(socket, endpoint);
	zmq_send(socket, "x", 1, ZMQ_DONTWAIT);
	CU_ASSERT_TRUE(wait_counter(refused, before + 1));
	/* A daemon of another deployment has another key pair. */
	start_node(&foreign, "s", other_public, other_secret, &a);
	send_to(&foreign, NULL, "\xa5hello", 6);
	/* The other peer has had time to connect once a valid one has. */
	start_node(&b, "b", public_key, secret_key, &a);
	CU_ASSERT_TRUE(broadcast_until_received(&b, &a));
	send_to(&foreign, NULL, "\xa5hello", 6);
	CU_ASSERT_TRUE(broadcast_until_received(&b, &a));
	CU_ASSERT_STRING_EQUAL(a.sender, "b");
	stop_node(&b);
	zmq_close(socket);
	stop_node(&foreign);
	stop_node(&a);
	zmq_ctx_term(context);
}

/* Sends raw frames with the deployment's key. */
static void send_raw(void *socket, const void *data, size_t len)
{
	zmq_send(socket, data, len, 0);
}

/* Fails if a malformed or oversized message crashes or blocks the receiver. */
static void test_bad_messages_are_dropped(void)
{
	struct counter *malformed =
		counter_get(COUNTER, "waxwing_peer_malformed_total", NULL);
	struct counter *oversized =
		counter_get(COUNTER, "waxwing_peer_oversized_total", NULL);
	long long bad = counter_value(malformed);
	long long big = counter_value(oversized);
	char *large = xcalloc(1, PEER_MESSAGE_MAX_BYTES * 2);
	void *context = zmq_ctx_new();
	void *socket = zmq_socket(context, ZMQ_DEALER);
	struct message_writer w;
	struct node a, b;
	char endpoint[64];
	int zero = 0;

	start_node(&a, "a", public_key, secret_key, NULL);
	zmq_setsockopt(socket, ZMQ_LINGER, &zero, sizeof(zero));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, public_key, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, public_key, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, secret_key, 41);
	snprintf(endpoint, sizeof(endpoint), "tcp://127.0.0.1:%u",
		 a.settings.peers.listen.port);
	zmq_connect(socket, endpoint);
	send_raw(socket, "", 0);
	send_raw(socket, "garbage", 7);
	send_raw(socket, "\xdd\xff\xff\xff\xff", 5); /* 4 G elements */
	send_raw(socket,
		 "\x94\x01\xa1"
		 "b\x01",
		 5); /* truncated */
	message_writer_init(&w, 4);
	message_put_uint(&w, PEER_CONFIG);
	message_put_str(&w, "b");
	message_put_uint(&w, 1);
	message_put_bin(&w, "\xdf\xff\xff\xff\xff", 5); /* in the body */
	send_raw(socket, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	message_writer_init(&w, 4);
	message_put_uint(&w, PEER_MESSAGE_TYPES);
	message_put_str(&w, "b");
	message_put_uint(&w, 1);
	message_put_bin(&w, "", 0);
	send_raw(socket, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	CU_ASSERT_TRUE(wait_counter(malformed, bad + 6));
	send_raw(socket, large, PEER_MESSAGE_MAX_BYTES * 2);
	CU_ASSERT_TRUE(wait_counter(oversized, big + 1));
	CU_ASSERT_EQUAL(atomic_load(&a.received), 0);
	/* The node still receives; peers don't send oversized messages. */
	start_node(&b, "b", public_key, secret_key, &a);
	CU_ASSERT_TRUE(broadcast_until_received(&b, &a));
	send_to(&b, NULL, large, PEER_MESSAGE_MAX_BYTES + 1);
	CU_ASSERT_TRUE(wait_counter(oversized, big + 2));
	stop_node(&b);
	zmq_close(socket);
	stop_node(&a);
	zmq_ctx_term(context);
	free(large);
}

/* Fails if sending blocks while a peer is down. */
static void test_dead_peer_does_not_block(void)
{
	struct node a, b;
	uint64_t start;
	char body[1000] = { 0 };

	start_node(&a, "a", public_key, secret_key, NULL);
	start_node(&b, "b", public_key, secret_key, &a);
	CU_ASSERT_TRUE(broadcast_until_received(&b, &a));
	stop_node(&a);
	start = clock_now_us();
	for (int i = 0; i < 2000; i++)
		send_to(&b, NULL, body, sizeof(body));
	CU_ASSERT(clock_now_us() - start < 3000000);
	stop_node(&b);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "message arrives", test_message_arrives },
		{ "id learnt from connection", test_id_learnt_from_connection },
		{ "foreign key is refused", test_foreign_key_is_refused },
		{ "bad messages are dropped", test_bad_messages_are_dropped },
		{ "dead peer does not block", test_dead_peer_does_not_block },
	};

	zmq_curve_keypair(public_key, secret_key);
	return RUN_SUITE("peers", tests);
}
