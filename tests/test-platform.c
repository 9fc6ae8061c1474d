#include <string.h>

#include "platform.h"
#include "support-memory-store.h"
#include "support-unit.h"

static struct kv_server *server;
static struct platform *p;
static struct error err;

static bool put(const char *key, const char *value, uint64_t index, int *ret)
{
	bool applied = false;

	*ret = p->ops->put_cas(p, key, value, strlen(value), index, &applied,
			       &err);
	return applied;
}

static uint64_t index_of(const char *key)
{
	struct kv_result r;
	uint64_t index = 0;

	CU_ASSERT_EQUAL_FATAL(p->ops->get(p, key, false, 0, 0, &r, &err), 0);
	if (r.count)
		index = r.pairs[0].modify_index;
	kv_result_free(&r);
	return index;
}

/* Binary values must arrive intact, and a stale index must fail the swap. */
static void test_compare_and_swap(void)
{
	static const char bytes[] = "a\0b\xff\n+/=";
	struct kv_result r;
	bool applied;
	int ret;

	CU_ASSERT_EQUAL(p->ops->put_cas(p, "k/1", bytes, sizeof(bytes), 0,
					&applied, &err),
			0);
	CU_ASSERT(applied);
	CU_ASSERT_FALSE(put("k/1", "other", 0, &ret));
	CU_ASSERT_EQUAL(ret, 0);
	CU_ASSERT_EQUAL(p->ops->get(p, "k/1", false, 0, 0, &r, &err), 0);
	CU_ASSERT_EQUAL_FATAL(r.count, 1);
	CU_ASSERT_EQUAL_FATAL(r.pairs[0].value_len, sizeof(bytes));
	CU_ASSERT_EQUAL(memcmp(r.pairs[0].value, bytes, sizeof(bytes)), 0);
	CU_ASSERT(put("k/1", "new", r.pairs[0].modify_index, &ret));
	CU_ASSERT_FALSE(put("k/1", "newer", r.pairs[0].modify_index, &ret));
	kv_result_free(&r);
	CU_ASSERT(put("k/2", "", 0, &ret));
	CU_ASSERT_EQUAL(p->ops->get(p, "k/", true, 0, 0, &r, &err), 0);
	CU_ASSERT_EQUAL(r.count, 2);
	CU_ASSERT(r.index > 0);
	kv_result_free(&r);
	CU_ASSERT_EQUAL(p->ops->del(p, "k/", true, &err), 0);
	CU_ASSERT_EQUAL(p->ops->get(p, "k/", true, 0, 0, &r, &err), 0);
	CU_ASSERT_EQUAL(r.count, 0);
}

/* A write whose response is lost must not be reported as without effect. */
static void test_lost_response(void)
{
	struct kv_result r;
	int ret;

	kv_set_fault(server, KV_FAULT_DROP_REPLY, "PUT /v1/kv/lost", 1, 0);
	put("lost", "x", 0, &ret);
	CU_ASSERT_EQUAL(ret, -1);
	CU_ASSERT_EQUAL(err.layer, ERROR_LAYER_PLATFORM);
	CU_ASSERT_EQUAL(err.code, PLATFORM_OUTCOME_UNKNOWN);
	CU_ASSERT(index_of("lost") > 0);
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "GET /v1/kv/lost", 1, 0);
	CU_ASSERT_EQUAL(p->ops->get(p, "lost", false, 0, 0, &r, &err), -1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_UNREACHABLE);
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "DELETE /v1/kv/lost", 1, 0);
	CU_ASSERT_EQUAL(p->ops->del(p, "lost", false, &err), -1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_OUTCOME_UNKNOWN);
}

/* A truncated response must not be accepted as complete. */
static void test_truncated_response(void)
{
	static const enum kv_fault faults[] = { KV_FAULT_TRUNCATED_JSON,
						KV_FAULT_SHORT_BODY };
	struct kv_result r;
	struct vm_list vms;
	int ret;

	put("cut", "some longer value", 0, &ret);
	kv_set_vms(server, "[{\"id\":\"w1\",\"role\":\"worker\"}]");
	for (int i = 0; i < 2; i++) {
		kv_set_fault(server, faults[i], "GET /v1/kv/cut", 1, 0);
		CU_ASSERT_EQUAL(p->ops->get(p, "cut", false, 0, 0, &r, &err),
				-1);
		CU_ASSERT_EQUAL(err.code, PLATFORM_MALFORMED);
		CU_ASSERT_EQUAL(r.count, 0);
		kv_set_fault(server, faults[i], "PUT /v1/kv/cut2", 1, 0);
		put("cut2", "x", index_of("cut2"), &ret);
		CU_ASSERT_EQUAL(ret, -1);
		CU_ASSERT_EQUAL(err.code, PLATFORM_OUTCOME_UNKNOWN);
		kv_set_fault(server, faults[i], "GET /v1/vms", 1, 0);
		CU_ASSERT_EQUAL(p->ops->list_vms(p, &vms, &err), -1);
		CU_ASSERT_EQUAL(err.code, PLATFORM_MALFORMED);
	}
}

/*
 * An error status must not be taken for success, nor a 5xx for proof that a
 * write had no effect.
 */
static void test_status_codes(void)
{
	static const struct {
		int status;
		int write_code;
	} cases[] = {
		{ 400, PLATFORM_REFUSED },
		{ 403, PLATFORM_REFUSED },
		{ 429, PLATFORM_REFUSED },
		{ 500, PLATFORM_OUTCOME_UNKNOWN },
		{ 503, PLATFORM_OUTCOME_UNKNOWN },
	};
	struct kv_result r;
	int ret;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		kv_set_fault(server, KV_FAULT_STATUS, "PUT /v1/kv/s", 1,
			     cases[i].status);
		put("s", "x", 0, &ret);
		CU_ASSERT_EQUAL(ret, -1);
		CU_ASSERT_EQUAL(err.code, cases[i].write_code);
		kv_set_fault(server, KV_FAULT_STATUS, "GET /v1/kv/s", 1,
			     cases[i].status);
		CU_ASSERT_EQUAL(p->ops->get(p, "s", false, 0, 0, &r, &err), -1);
		CU_ASSERT_EQUAL(err.code, PLATFORM_REFUSED);
	}
}

/* A key must not stay locked after the session that holds it ends. */
static void test_sessions(void)
{
	char one[64], two[64];
	struct kv_result r;
	bool applied;

	CU_ASSERT_EQUAL(p->ops->session_create(p, 3000000, one, &err), 0);
	CU_ASSERT_EQUAL(p->ops->session_create(p, 3000000, two, &err), 0);
	CU_ASSERT_EQUAL(p->ops->acquire(p, "o/1", "me", 2, one, &applied, &err),
			0);
	CU_ASSERT(applied);
	CU_ASSERT_EQUAL(
		p->ops->acquire(p, "o/1", "you", 3, two, &applied, &err), 0);
	CU_ASSERT_FALSE(applied);
	CU_ASSERT_EQUAL(p->ops->get(p, "o/1", false, 0, 0, &r, &err), 0);
	CU_ASSERT_STRING_EQUAL(r.pairs[0].session, one);
	CU_ASSERT_STRING_EQUAL(r.pairs[0].value, "me");
	kv_result_free(&r);
	CU_ASSERT_EQUAL(p->ops->session_renew(p, one, &err), 0);
	CU_ASSERT_EQUAL(p->ops->session_destroy(p, one, &err), 0);
	CU_ASSERT_EQUAL(p->ops->session_renew(p, one, &err), -1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_REFUSED);
	CU_ASSERT_EQUAL(index_of("o/1"), 0);
	CU_ASSERT_EQUAL(
		p->ops->acquire(p, "o/1", "you", 3, two, &applied, &err), 0);
	CU_ASSERT(applied);
	CU_ASSERT_EQUAL(p->ops->release(p, "o/1", two, &err), 0);
}

/* A blocking query must return on a change and when its wait expires. */
static void test_watch(void)
{
	struct kv_result r;
	uint64_t index;
	int ret;

	put("watch", "x", 0, &ret);
	CU_ASSERT_EQUAL(p->ops->get(p, "watch", false, 0, 0, &r, &err), 0);
	index = r.index;
	kv_result_free(&r);
	CU_ASSERT_EQUAL(p->ops->get(p, "watch", false, index, 50000, &r, &err),
			0);
	CU_ASSERT_EQUAL(r.index, index);
	kv_result_free(&r);
	put("watch2", "x", 0, &ret);
	CU_ASSERT_EQUAL(
		p->ops->get(p, "watch", false, index, 60000000, &r, &err), 0);
	CU_ASSERT(r.index > index);
	kv_result_free(&r);
}

/* A VM list with an invalid entry must be rejected as a whole. */
static void test_vm_list(void)
{
	struct vm_list l;

	kv_set_vms(server, "[{\"id\":\"w1\",\"role\":\"worker\","
			   "\"availability_zone\":\"cagla\",\"rack\":\"r2\","
			   "\"address\":\"127.0.0.1:81\",\"state\":\"leaving\","
			   "\"cpu_milli\":32000,\"memory_mb\":128000,"
			   "\"accelerators\":0}]");
	CU_ASSERT_EQUAL_FATAL(p->ops->list_vms(p, &l, &err), 0);
	CU_ASSERT_EQUAL_FATAL(l.count, 1);
	CU_ASSERT_EQUAL(l.vms[0].role, VM_WORKER);
	CU_ASSERT_STRING_EQUAL(l.vms[0].availability_zone, "cagla");
	CU_ASSERT_STRING_EQUAL(l.vms[0].address.host, "127.0.0.1");
	CU_ASSERT_EQUAL(l.vms[0].address.port, 81);
	CU_ASSERT(l.vms[0].leaving);
	CU_ASSERT_EQUAL(l.vms[0].memory_mb, 128000);
	vm_list_free(&l);
	kv_set_vms(server, "[{\"id\":\"w1\",\"role\":\"wrong\","
			   "\"address\":\"127.0.0.1:81\","
			   "\"state\":\"live\"}]");
	CU_ASSERT_EQUAL(p->ops->list_vms(p, &l, &err), -1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_MALFORMED);
}

/* An HTTP error of a worker must be returned as status, not as failure. */
static void test_worker_call(void)
{
	struct settings_address a = { .host = "127.0.0.1",
				      .port = kv_port(server) };
	struct buffer body = BUFFER_INIT;
	int status = 0;

	CU_ASSERT_EQUAL(p->ops->worker_call(p, &a, "PUT",
					    "/workers/w/tasks/t?fence=3", "{}",
					    1000000, &status, &body, &err),
			0);
	CU_ASSERT_EQUAL(status, 200);
	CU_ASSERT_STRING_EQUAL(body.data, "{}");
	kv_set_fault(server, KV_FAULT_STATUS, "/workers/w", 1, 409);
	CU_ASSERT_EQUAL(p->ops->worker_call(p, &a, "DELETE",
					    "/workers/w/tasks/t?fence=3", NULL,
					    1000000, &status, &body, &err),
			0);
	CU_ASSERT_EQUAL(status, 409);
	kv_set_fault(server, KV_FAULT_DROP_REPLY, "/workers/w", 1, 0);
	CU_ASSERT_EQUAL(p->ops->worker_call(p, &a, "PUT",
					    "/workers/w/tasks/t?fence=3", "{}",
					    1000000, &status, &body, &err),
			-1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_OUTCOME_UNKNOWN);
	buffer_free(&body);
}

/* A refused connection must not be reported as an unknown outcome. */
static void test_unreachable(void)
{
	struct settings_address a = { .host = "127.0.0.1", .port = 1 };
	struct platform *none = platform_consul_create(&a);
	bool applied;

	CU_ASSERT_EQUAL(
		none->ops->put_cas(none, "k", "x", 1, 0, &applied, &err), -1);
	CU_ASSERT_EQUAL(err.code, PLATFORM_UNREACHABLE);
	none->ops->destroy(none);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "compare and swap", test_compare_and_swap },
		{ "lost response", test_lost_response },
		{ "truncated responses", test_truncated_response },
		{ "status codes", test_status_codes },
		{ "sessions", test_sessions },
		{ "watch", test_watch },
		{ "VM list", test_vm_list },
		{ "worker call", test_worker_call },
		{ "unreachable", test_unreachable },
	};
	struct settings_address a = { .host = "127.0.0.1" };
	int status;

	server = kv_start();
	a.port = kv_port(server);
	p = platform_consul_create(&a);
	status = RUN_SUITE("platform", tests);
	p->ops->destroy(p);
	kv_stop(server);
	return status;
}
