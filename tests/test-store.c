#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "support-memory-store.h"
#include "support-unit.h"
#include "svc-loop.h"
#include "svc-store.h"

#define WAIT_US 20000000u
#define READ_BUDGET 50u

static struct kv_server *server;
static struct kernel *kernel;
static struct loop *loop;
static struct store *store;
static atomic_int replies;
static atomic_int last_code; /* platform_error of the last reply, or 0 */
static atomic_bool last_applied;

static void record_reply(void *arg, struct store_reply *r)
{
	(void)arg;
	atomic_store(&last_code, r->failed ? r->err.code : 0);
	atomic_store(&last_applied, r->applied);
	atomic_fetch_add(&replies, 1);
}

static void count_reply(void *arg, struct store_reply *r)
{
	(void)r;
	atomic_fetch_add((atomic_int *)arg, 1);
}

static bool wait_for_count(atomic_int *n, int want)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (atomic_load(n) < want && clock_now_us() < end)
		clock_sleep_us(1000);
	return atomic_load(n) >= want;
}

static void start_services(uint32_t read_budget)
{
	struct settings s = { .platform = { .lease_us = 1000000,
					    .write_budget = 3000,
					    .read_budget = read_budget } };
	struct error err;

	server = kv_start();
	snprintf(s.platform.address.host, sizeof(s.platform.address.host),
		 "127.0.0.1");
	s.platform.address.port = kv_port(server);
	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	kernel_register(kernel, store_create(&s), &err);
	loop = loop_find(kernel);
	store = store_find(kernel);
	store_set_entry_vm_count(store, 1);
	atomic_store(&replies, 0);
	if (kernel_start(kernel, &err) < 0)
		CU_FAIL_FATAL("services failed to start");
}

static void stop_services(void)
{
	kernel_stop(kernel);
	kernel_destroy(kernel);
	kv_stop(server);
}

static void put_key(void *arg)
{
	store_put(store, arg, "x", 1, 0, record_reply, NULL);
}

/* A write whose response is lost must not be reported as without effect. */
static void test_lost_response(void)
{
	char value[8];

	start_services(1000);
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "PUT /v1/kv/a", 1, 0);
	loop_post(loop, put_key, (void *)"a");
	CU_ASSERT_FATAL(wait_for_count(&replies, 1));
	CU_ASSERT_EQUAL(atomic_load(&last_code), PLATFORM_OUTCOME_UNKNOWN);
	CU_ASSERT(kv_get_value(server, "a", value, sizeof(value)));
	loop_post(loop, put_key, (void *)"a");
	CU_ASSERT_FATAL(wait_for_count(&replies, 2));
	CU_ASSERT_EQUAL(atomic_load(&last_code), 0);
	CU_ASSERT_FALSE(atomic_load(&last_applied));
	stop_services();
}

static void start_watches(void *arg)
{
	for (int i = 0; i < 20; i++)
		store_get(store, "w/", true, 1000000, 10000000, count_reply,
			  arg);
	store_get(store, "b", false, 0, 0, record_reply, NULL);
	store_put(store, "b", "x", 1, 0, record_reply, NULL);
}

/* Blocking queries must not occupy the threads of other calls. */
static void test_watches_do_not_block(void)
{
	static atomic_int watched;

	start_services(1000);
	loop_post(loop, start_watches, &watched);
	CU_ASSERT(wait_for_count(&replies, 2));
	CU_ASSERT_EQUAL(atomic_load(&watched), 0);
	CU_ASSERT_EQUAL(atomic_load(&last_code), 0);
	stop_services();
}

static void start_gets(void *arg)
{
	for (int i = 0; i < 500; i++)
		store_get(store, "c", false, 0, 0, count_reply, arg);
}

/* A burst of queued calls must not exceed the call budget. */
static void test_budget(void)
{
	static atomic_int got;
	uint64_t began, calls, before;

	start_services(READ_BUDGET);
	before = kv_call_count(server);
	began = clock_now_us();
	loop_post(loop, start_gets, &got);
	CU_ASSERT(wait_for_count(&got, 60));
	calls = kv_call_count(server) - before;
	/* Session calls count as writes: a few more calls per second. */
	CU_ASSERT((double)calls <=
		  (double)(clock_now_us() - began) / 1e6 * (READ_BUDGET + 10) +
			  READ_BUDGET * 0.2 + 2);
	stop_services();
}

struct session_state {
	char id[64];
	uint64_t until_us;
};

static void read_session(void *arg)
{
	struct session_state *s = arg;

	snprintf(s->id, sizeof(s->id), "%s", store_session(store));
	s->until_us = store_lease_expires_us(store);
}

/* Waits for a session with another ID than id. */
static struct session_state wait_for_new_session(const char *id)
{
	uint64_t end = clock_now_us() + WAIT_US;
	struct session_state s = { .id = "" };

	do {
		clock_sleep_us(2000);
		loop_call(loop, read_session, &s);
	} while ((!s.id[0] || !strcmp(s.id, id)) && clock_now_us() < end);
	return s;
}

/* A lease must be renewed, and a session lost on the server be replaced. */
static void test_session_renewal(void)
{
	struct session_state one, two;
	uint64_t until, end = clock_now_us() + WAIT_US;

	start_services(1000);
	one = wait_for_new_session("");
	CU_ASSERT(one.id[0] && one.until_us <= clock_now_us() + 1000000);
	until = one.until_us;
	while (one.until_us <= until + 1000000 && clock_now_us() < end) {
		clock_sleep_us(10000);
		loop_call(loop, read_session, &one);
	}
	CU_ASSERT(one.until_us > until + 1000000);
	kv_set_fault(server, KV_FAULT_STATUS, "/v1/session/renew", 1, 404);
	two = wait_for_new_session(one.id);
	CU_ASSERT(two.id[0] && strcmp(one.id, two.id) != 0);
	stop_services();
}

/* After an outage longer than the lease, a new session must be created. */
static void test_recovery_after_outage(void)
{
	struct session_state one, two;

	start_services(1000);
	one = wait_for_new_session("");
	kv_set_down(server, true);
	loop_post(loop, put_key, (void *)"d");
	CU_ASSERT_FATAL(wait_for_count(&replies, 1));
	CU_ASSERT_EQUAL(atomic_load(&last_code), PLATFORM_OUTCOME_UNKNOWN);
	/* The lease must expire locally while the store is unreachable. */
	while (clock_now_us() <= one.until_us + 1000000)
		clock_sleep_us(10000);
	loop_call(loop, read_session, &two);
	CU_ASSERT(two.until_us <= clock_now_us());
	kv_set_down(server, false);
	two = wait_for_new_session(one.id);
	CU_ASSERT(two.id[0] != '\0');
	stop_services();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "lost response", test_lost_response },
		{ "watches do not block", test_watches_do_not_block },
		{ "budget", test_budget },
		{ "session renewal", test_session_renewal },
		{ "recovery after outage", test_recovery_after_outage },
	};

	return RUN_SUITE("store", tests);
}
