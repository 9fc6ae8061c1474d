/*
 * Pauses of a process: the members service with a store in memory, simulated
 * peers, and a clock that the test advances on the control thread, as if the
 * process had not run meanwhile.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "clock.h"
#include "log.h"
#include "members-internal.h"
#include "message.h"
#include "support-memory-store.h"
#include "support-unit.h"

#define LEASE_US 3000000u
#define PAUSE_US (2 * LEASE_US)
/* Longer than the time for which heartbeats of a pause may be queued. */
#define STALL_US 600000u
#define WAIT_US 20000000u

static const char vms[] =
	"[{\"id\":\"e1\",\"role\":\"entry\",\"availability_zone\":\"zone-a\","
	"\"address\":\"127.0.0.1:1\",\"state\":\"live\"}]";

static atomic_ullong clock_offset_us;
static struct kv_server *server;
static struct kernel *kernel;
static struct members *members;
static struct loop *loop;
static struct settings settings;
static peer_fn *heartbeat_fn;
static void *heartbeat_arg;
/* Called on the control thread at the event "pause-detected". */
static void (*on_pause)(void);
static atomic_int pauses;
static atomic_int heartbeats;
static uint64_t seat_at_pause;
static uint64_t seat_after_heartbeat;

/* ---- clock, log and peers of the process under test ---- */

static uint64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (uint64_t)ts.tv_sec * 1000000u + (uint64_t)ts.tv_nsec / 1000u;
}

uint64_t clock_now_us(void)
{
	return read_clock(CLOCK_BOOTTIME) + atomic_load(&clock_offset_us);
}

uint64_t clock_wall_us(void)
{
	return read_clock(CLOCK_REALTIME);
}

void clock_sleep_us(uint64_t us)
{
	struct timespec ts = { (time_t)(us / 1000000u),
			       (long)(us % 1000000u) * 1000 };

	nanosleep(&ts, NULL);
}

void log_event(enum log_level level, const char *event, const char *fmt, ...)
{
	(void)level;
	(void)fmt;
	if (strcmp(event, "pause-detected") != 0)
		return;
	if (on_pause)
		on_pause();
	atomic_fetch_add(&pauses, 1);
}

struct peers *peers_find(struct kernel *k)
{
	return (struct peers *)k;
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	(void)p;
	if (type != PEER_HEARTBEAT)
		return;
	heartbeat_fn = fn;
	heartbeat_arg = arg;
}

void peers_connect(struct peers *p, const struct settings_address *address)
{
	(void)p;
	(void)address;
}

void peers_set_address(struct peers *p, const char *id,
		       const struct settings_address *address)
{
	(void)p;
	(void)id;
	(void)address;
}

void peers_disconnect(struct peers *p, const struct settings_address *address)
{
	(void)p;
	(void)address;
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	(void)p;
	(void)id;
	(void)type;
	(void)body;
	(void)len;
	return -1;
}

void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len)
{
	(void)p;
	(void)type;
	(void)body;
	(void)len;
}

/* ---- fixture ---- */

static uint64_t seat_revision(void)
{
	struct seat seat;

	members_seat(members, &seat);
	return seat.revision;
}

static bool wait_seat(void)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (!seat_revision() && clock_now_us() < end)
		clock_sleep_us(5000);
	return seat_revision() > 0;
}

static bool wait_count(atomic_int *count, int value)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (atomic_load(count) < value && clock_now_us() < end)
		clock_sleep_us(5000);
	return atomic_load(count) >= value;
}

static void set_up(void)
{
	struct error err;

	atomic_store(&pauses, 0);
	atomic_store(&heartbeats, 0);
	on_pause = NULL;
	server = kv_start();
	kv_set_vms(server, vms);
	memset(&settings, 0, sizeof(settings));
	strcpy(settings.node.id, "e1");
	strcpy(settings.node.deployment, "test");
	strcpy(settings.node.availability_zone, "zone-a");
	strcpy(settings.platform.address.host, "127.0.0.1");
	settings.platform.address.port = kv_port(server);
	settings.platform.lease_us = LEASE_US;
	settings.platform.write_budget = 3000;
	settings.platform.read_budget = 15000;
	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	kernel_register(kernel, store_create(&settings), &err);
	kernel_register(kernel, members_create(&settings), &err);
	loop = loop_find(kernel);
	members = members_find(kernel);
	CU_ASSERT_EQUAL_FATAL(kernel_start(kernel, &err), 0);
	CU_ASSERT_TRUE_FATAL(wait_seat());
}

static void tear_down(void)
{
	kv_set_down(server, false);
	kernel_drain(kernel);
	kernel_stop(kernel);
	kernel_destroy(kernel);
	kv_stop(server);
}

static void pause_process(void *arg)
{
	(void)arg;
	atomic_fetch_add(&clock_offset_us, PAUSE_US);
}

/* ---- tests ---- */

static void record_seat(void)
{
	seat_at_pause = seat_revision();
}

/*
 * Guards against requests on a seat that is no longer known to be valid, in the
 * time between the end of a pause and its detection by the control thread,
 * which other threads can run in.
 */
static void test_withheld_when_detected(void)
{
	set_up();
	on_pause = record_seat;
	seat_at_pause = UINT64_MAX;
	loop_post(loop, pause_process, NULL);
	CU_ASSERT_TRUE(wait_count(&pauses, 1));
	CU_ASSERT_EQUAL(seat_at_pause, 0);
	CU_ASSERT_TRUE(wait_seat());
	tear_down();
}

/* Delivers a heartbeat of a peer that has read the same split. */
static void deliver_heartbeat(void *arg)
{
	struct message_writer w;

	(void)arg;
	message_writer_init(&w, 11);
	message_put_uint(&w, 1);
	message_put_str(&w, "zone-a");
	message_put_str(&w, "127.0.0.1:2");
	message_put_str(&w, "127.0.0.1:3");
	message_put_uint(&w, 1);
	message_put_uint(&w, 0);
	message_put_uint(&w, members->seats_modify_index);
	message_put_uint(&w, 0);
	message_put_array(&w, 0);
	message_put_array(&w, 0);
	message_put_uint(&w, 1);
	heartbeat_fn(heartbeat_arg, "e2", w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	seat_after_heartbeat = seat_revision();
	atomic_fetch_add(&heartbeats, 1);
}

/* The heartbeat was queued during the pause and is read after the stall. */
static void stall_and_deliver(void *arg)
{
	atomic_fetch_add(&clock_offset_us, STALL_US);
	deliver_heartbeat(arg);
}

static void stall_after_pause(void)
{
	loop_post(loop, stall_and_deliver, NULL);
}

/*
 * Guards against a seat that is used again because of a heartbeat from before
 * the end of the pause: the control thread stalled between the detection of the
 * pause and the heartbeat, for less than a lease.
 */
static void test_heartbeat_after_stall(void)
{
	set_up();
	kv_set_down(server, true);
	on_pause = stall_after_pause;
	loop_post(loop, pause_process, NULL);
	CU_ASSERT_TRUE(wait_count(&heartbeats, 1));
	CU_ASSERT_EQUAL(seat_after_heartbeat, 0);
	/* Later heartbeats do confirm the seat, without the store. */
	for (uint64_t end = clock_now_us() + WAIT_US;
	     !seat_revision() && clock_now_us() < end;) {
		loop_call(loop, deliver_heartbeat, NULL);
		clock_sleep_us(50000);
	}
	CU_ASSERT(seat_revision() > 0);
	tear_down();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "seat is withheld when a pause is detected",
		  test_withheld_when_detected },
		{ "heartbeat that is read after a stall confirms no seat",
		  test_heartbeat_after_stall },
	};

	return RUN_SUITE("members-pause", tests);
}
