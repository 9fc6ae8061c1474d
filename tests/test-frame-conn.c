#include <arpa/inet.h>
#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "frame-conn.h"
#include "relay-wire.h"
#include "support-unit.h"

#define TEXT_BYTES 500

/* Two connected ends; the second one records what it receives. */
struct ends {
	struct event_base *base;
	struct frame_conn *sender;
	struct frame_conn *receiver;
	struct buffer received; /* payloads, one after the other */
	uint32_t frames;
	const char *closed; /* reason */
};

static void on_frame(void *arg, const void *data, size_t len)
{
	struct ends *e = arg;

	buffer_append(&e->received, data, len);
	e->frames++;
}

static void on_closed(void *arg, const char *reason)
{
	struct ends *e = arg;

	e->closed = reason;
}

static const struct frame_conn_ops ops = { .frame = on_frame,
					   .closed = on_closed };

/* Returns a raw socket in place of the sender if raw is not NULL. */
static void open_ends(struct ends *e, int *raw)
{
	int fds[2];

	memset(e, 0, sizeof(*e));
	e->base = event_base_new();
	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	e->receiver = frame_conn_accept(e->base, fds[1], &ops, e);
	if (raw)
		*raw = fds[0];
	else
		e->sender = frame_conn_accept(e->base, fds[0], &ops, e);
}

static void close_ends(struct ends *e)
{
	frame_conn_free(e->sender);
	frame_conn_free(e->receiver);
	buffer_free(&e->received);
	event_base_free(e->base);
}

static void run_until_frames(struct ends *e, uint32_t frames)
{
	for (int i = 0; i < 1000 && e->frames < frames && !e->closed; i++)
		event_base_loop(e->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

static void run_until_closed(struct ends *e)
{
	for (int i = 0; i < 1000 && !e->closed; i++)
		event_base_loop(e->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

/* Guards against frames that are lost or reordered when compression begins. */
static void test_compression_begins_between_frames(void)
{
	struct ends e;

	open_ends(&e, NULL);
	frame_conn_send(e.sender, "one ", 4);
	frame_conn_compress(e.sender);
	frame_conn_send(e.sender, "two ", 4);
	frame_conn_flush(e.sender);
	frame_conn_send(e.sender, "three ", 6);
	frame_conn_send(e.sender, "four", 4);
	CU_ASSERT(!frame_conn_peer_compresses(e.receiver));
	frame_conn_flush(e.sender);
	run_until_frames(&e, 4);
	CU_ASSERT_EQUAL_FATAL(e.received.len, 18);
	CU_ASSERT_EQUAL(memcmp(e.received.data, "one two three four", 18), 0);
	CU_ASSERT(frame_conn_peer_compresses(e.receiver));
	CU_ASSERT_PTR_NULL(e.closed);
	close_ends(&e);
}

/* Earlier builds read plain frames only. */
static void test_plain_without_compression(void)
{
	static const char expected[] = { 0, 0, 0, 5, 'p', 'l', 'a', 'i', 'n' };
	struct frame_conn *sender;
	char data[32];
	struct ends e;
	int fd;

	open_ends(&e, &fd);
	sender = e.receiver;
	frame_conn_send(sender, "plain", 5);
	frame_conn_flush(sender);
	CU_ASSERT_EQUAL_FATAL(read(fd, data, sizeof(data)), sizeof(expected));
	CU_ASSERT_EQUAL(memcmp(data, expected, sizeof(expected)), 0);
	close(fd);
	close_ends(&e);
}

static void send_order(struct frame_conn *c, const char *text, unsigned n)
{
	struct relay_message m = { .type = RELAY_ORDER };
	struct sched_order *o = &m.u.order.order;
	struct message_writer w;

	m.call = (struct relay_call){ n % 40, 1 + n % 3, n, 5000000 + n * 977 };
	o->type = SCHED_START;
	snprintf(o->task, sizeof(o->task), "%016x.0.1.%u", n / 8, n % 8);
	o->run = 1;
	o->text = text;
	o->checkpoint = "";
	m.u.order.fencing_token = 3;
	m.u.order.lease_until_ms = 480000 + n;
	relay_encode(&m, &w);
	frame_conn_send(c, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	frame_conn_flush(c);
}

/*
 * Load pattern: an owner with a link of 2 Mbit/s sends 600 starts a second; the
 * specification of a job is repeated in each. Guards against orders that fill
 * more than half of the link: 208 bytes each.
 */
static void test_orders_of_one_job_take_few_bytes(void)
{
	char text[TEXT_BYTES + 1] = "";
	size_t bytes = 0;
	char data[4096];
	struct ends e;
	ssize_t n;
	int fd;

	open_ends(&e, &fd);
	frame_conn_compress(e.receiver);
	for (unsigned i = 0; i < 400; i++) {
		/* Eight tasks a job; the texts cannot be compressed. */
		for (int k = 0; i % 8 == 0 && k < TEXT_BYTES; k++)
			text[k] = (char)(33 + random() % 90);
		send_order(e.receiver, text, i);
		n = read(fd, data, sizeof(data));
		CU_ASSERT_FATAL(n > 0);
		bytes += (size_t)n;
	}
	printf("%zu bytes an order\n", bytes / 400);
	CU_ASSERT(bytes <= 400 * 208);
	close(fd);
	close_ends(&e);
}

static void write_block(int fd, const void *data, size_t len)
{
	uint32_t header = htonl((uint32_t)len | 0x80000000u);

	CU_ASSERT_EQUAL(write(fd, &header, 4), 4);
	CU_ASSERT_EQUAL((size_t)write(fd, data, len), len);
}

/* Guards against a malformed block that takes the process down. */
static void test_malformed_block_closes_connection(void)
{
	/* A stored block that contains the header of another block. */
	static const unsigned char nested[] = {
		0, 4, 0, 0xfb, 0xff, 0x80, 0, 0, 0, 0, 0, 0, 0xff, 0xff
	};
	struct ends e;
	int fd;

	open_ends(&e, &fd);
	write_block(fd, "\xff\xff\xff\xff", 4);
	run_until_closed(&e);
	CU_ASSERT_STRING_EQUAL_FATAL(e.closed ? e.closed : "",
				     "malformed-block");
	close(fd);
	close_ends(&e);

	open_ends(&e, &fd);
	write_block(fd, nested, sizeof(nested));
	run_until_closed(&e);
	CU_ASSERT_STRING_EQUAL(e.closed ? e.closed : "", "nested-block");
	close(fd);
	close_ends(&e);
}

/* Guards against a small block that takes all memory when it is read. */
static void test_block_is_bounded(void)
{
	char *zeros = xcalloc(1, FRAME_MAX_BYTES);
	struct ends e;

	open_ends(&e, NULL);
	frame_conn_compress(e.sender);
	for (int i = 0; i < 20; i++)
		frame_conn_send(e.sender, zeros, FRAME_MAX_BYTES);
	frame_conn_flush(e.sender);
	run_until_closed(&e);
	CU_ASSERT_STRING_EQUAL(e.closed ? e.closed : "", "malformed-block");
	CU_ASSERT_EQUAL(e.frames, 0);
	free(zeros);
	close_ends(&e);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "compression begins between frames",
		  test_compression_begins_between_frames },
		{ "plain without compression", test_plain_without_compression },
		{ "orders of one job take few bytes",
		  test_orders_of_one_job_take_few_bytes },
		{ "malformed block closes connection",
		  test_malformed_block_closes_connection },
		{ "block is bounded", test_block_is_bounded },
	};

	return RUN_SUITE("frame-conn", tests);
}
