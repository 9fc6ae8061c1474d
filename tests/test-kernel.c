#include <string.h>

#include "kernel.h"
#include "support-unit.h"

static char call_trace[64];

static void record_call(char c)
{
	size_t n = strlen(call_trace);

	call_trace[n] = c;
	call_trace[n + 1] = '\0';
}

static int start_a(struct service *svc, struct kernel *k, struct error *err)
{
	(void)svc;
	(void)k;
	(void)err;
	record_call('A');
	return 0;
}

static int start_failing(struct service *svc, struct kernel *k,
			 struct error *err)
{
	(void)svc;
	(void)k;
	return error_set(err, ERROR_LAYER_SYSTEM, 7, "port already in use");
}

static void stop_a(struct service *svc)
{
	(void)svc;
	record_call('a');
}

static void stop_b(struct service *svc)
{
	(void)svc;
	record_call('b');
}

static const struct service_ops ops_a = { .name = "a",
					  .start = start_a,
					  .stop = stop_a };
static const struct service_ops ops_b = { .name = "b", .stop = stop_b };
static const struct service_ops ops_failing = { .name = "bad",
						.start = start_failing };

/* A second service of the same name must be rejected. */
static void test_duplicate_name(void)
{
	struct service one = { &ops_a }, two = { &ops_a };
	struct kernel *k = kernel_create();
	struct error err;

	CU_ASSERT_EQUAL(kernel_register(k, &one, &err), 0);
	CU_ASSERT_EQUAL(kernel_register(k, &two, &err), -1);
	CU_ASSERT_EQUAL(err.layer, ERROR_LAYER_KERNEL);
	CU_ASSERT_PTR_EQUAL(kernel_find(k, "a"), &one);
	CU_ASSERT_PTR_NULL(kernel_find(k, "b"));
	kernel_destroy(k);
}

/* When a service fails to start, those started before must be stopped. */
static void test_failed_start_stops_the_rest(void)
{
	struct service a = { &ops_a }, b = { &ops_b }, bad = { &ops_failing };
	struct kernel *k = kernel_create();
	struct error err;

	call_trace[0] = '\0';
	kernel_register(k, &a, &err);
	kernel_register(k, &b, &err);
	kernel_register(k, &bad, &err);
	CU_ASSERT_EQUAL(kernel_start(k, &err), -1);
	CU_ASSERT_STRING_EQUAL(call_trace, "Aba");
	CU_ASSERT_EQUAL(err.layer, ERROR_LAYER_KERNEL);
	CU_ASSERT_PTR_NOT_NULL(strstr(err.message, "port already in use"));
	kernel_destroy(k);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "duplicate name", test_duplicate_name },
		{ "failed start stops the rest",
		  test_failed_start_stops_the_rest },
	};

	return RUN_SUITE("kernel", tests);
}
