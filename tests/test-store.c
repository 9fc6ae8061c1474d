#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "support-memory-store.h"
#include "support-unit.h"
#include "svc-loop.h"
#include "svc-store.h"

#define WAIT_US 20000000u
#define BUDGET 50u

static struct kv_server *server;
static struct kernel *kernel;
static struct loop *loop;
static struct store *store;
static atomic_int answers;
static atomic_int last_code; /* of the error, or 0 */
static atomic_bool last_applied;

static void note(void *arg, struct store_reply *r)
{
	(void)arg;
	atomic_store(&last_code, r->failed ? r->err.code : 0);
	atomic_store(&last_applied, r->applied);
	atomic_fetch_add(&answers, 1);
}

static void count_only(void *arg, struct store_reply *r)
{
	(void)r;
	atomic_fetch_add((atomic_int *)arg, 1);
}

static bool wait_for(atomic_int *n, int want)
{
	uint64_t end = clock_now_us() + WAIT_US;

	while (atomic_load(n) < want && clock_now_us() < end)
		clock_sleep_us(1000);
	return atomic_load(n) >= want;
}

static void start(uint32_t read_budget)
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
	store_set_sharers(store, 1);
	atomic_store(&answers, 0);
	if (kernel_start(kernel, &err) < 0)
		CU_FAIL_FATAL("the services did not start");
}

static void stop(void)
{
	kernel_stop(kernel);
	kernel_destroy(kernel);
	kv_stop(server);
}

static void put_one(void *arg)
{
	store_put(store, arg, "x", 1, 0, note, NULL);
}

/* Guards against a lost answer reported as if nothing had happened. */
static void test_lost_answer(void)
{
	char value[8];

	start(1000);
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "PUT /v1/kv/a", 1, 0);
	loop_post(loop, put_one, (void *)"a");
	CU_ASSERT_FATAL(wait_for(&answers, 1));
	CU_ASSERT_EQUAL(atomic_load(&last_code), PLATFORM_UNKNOWN);
	CU_ASSERT(kv_get_value(server, "a", value, sizeof(value)));
	loop_post(loop, put_one, (void *)"a");
	CU_ASSERT_FATAL(wait_for(&answers, 2));
	CU_ASSERT_EQUAL(atomic_load(&last_code), 0);
	CU_ASSERT_FALSE(atomic_load(&last_applied));
	stop();
}

static void watch_many(void *arg)
{
	for (int i = 0; i < 20; i++)
		store_get(store, "w/", true, 1000000, 10000000, count_only,
			  arg);
	store_get(store, "b", false, 0, 0, note, NULL);
	store_put(store, "b", "x", 1, 0, note, NULL);
}

/* Guards against watches that hold the threads of other calls. */
static void test_watches_do_not_block(void)
{
	static atomic_int watched;

	start(1000);
	loop_post(loop, watch_many, &watched);
	CU_ASSERT(wait_for(&answers, 2));
	CU_ASSERT_EQUAL(atomic_load(&watched), 0);
	CU_ASSERT_EQUAL(atomic_load(&last_code), 0);
	stop();
}

static void get_many(void *arg)
{
	for (int i = 0; i < 500; i++)
		store_get(store, "c", false, 0, 0, count_only, arg);
}

/* Guards against a rush of queued calls beyond the budget. */
static void test_budget(void)
{
	static atomic_int got;
	uint64_t began, calls, before;

	start(BUDGET);
	before = kv_call_count(server);
	began = clock_now_us();
	loop_post(loop, get_many, &got);
	CU_ASSERT(wait_for(&got, 60));
	calls = kv_call_count(server) - before;
	/* Sessions are on the budget of writes: a few calls a second. */
	CU_ASSERT((double)calls <=
		  (double)(clock_now_us() - began) / 1e6 * (BUDGET + 10) +
			  BUDGET * 0.2 + 2);
	stop();
}

struct session {
	char id[64];
	uint64_t until_us;
};

static void look(void *arg)
{
	struct session *s = arg;

	snprintf(s->id, sizeof(s->id), "%s", store_session(store));
	s->until_us = store_lease_until_us(store);
}

/* Waits for a session that is not the one of that id. */
static struct session session_after(const char *id)
{
	uint64_t end = clock_now_us() + WAIT_US;
	struct session s = { .id = "" };

	do {
		clock_sleep_us(2000);
		loop_call(loop, look, &s);
	} while ((!s.id[0] || !strcmp(s.id, id)) && clock_now_us() < end);
	return s;
}

/* Guards against a lease that is not renewed, or believed in after its end. */
static void test_session(void)
{
	struct session one, two;
	uint64_t until, end = clock_now_us() + WAIT_US;

	start(1000);
	one = session_after("");
	CU_ASSERT(one.id[0] && one.until_us <= clock_now_us() + 1000000);
	until = one.until_us;
	while (one.until_us <= until + 1000000 && clock_now_us() < end) {
		clock_sleep_us(10000);
		loop_call(loop, look, &one);
	}
	CU_ASSERT(one.until_us > until + 1000000);
	kv_set_fault(server, KV_FAULT_STATUS, "/v1/session/renew", 1, 404);
	two = session_after(one.id);
	CU_ASSERT(two.id[0] && strcmp(one.id, two.id) != 0);
	stop();
}

/* Guards against a store that is away for long and not found again. */
static void test_return(void)
{
	struct session one, two;

	start(1000);
	one = session_after("");
	kv_set_down(server, true);
	loop_post(loop, put_one, (void *)"d");
	CU_ASSERT_FATAL(wait_for(&answers, 1));
	CU_ASSERT_EQUAL(atomic_load(&last_code), PLATFORM_UNKNOWN);
	/* The lease has passed, whatever the store will say. */
	while (clock_now_us() <= one.until_us + 1000000)
		clock_sleep_us(10000);
	loop_call(loop, look, &two);
	CU_ASSERT(two.until_us <= clock_now_us());
	kv_set_down(server, false);
	two = session_after(one.id);
	CU_ASSERT(two.id[0] != '\0');
	stop();
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "lost answer", test_lost_answer },
		{ "watches do not block", test_watches_do_not_block },
		{ "budget", test_budget },
		{ "session", test_session },
		{ "return", test_return },
	};

	return RUN_SUITE("store", tests);
}
