#include <stdatomic.h>

#include "clock.h"
#include "support-unit.h"
#include "svc-loop.h"

#define POSTS 1000

static struct kernel *kernel;
static struct loop *loop;
static atomic_int timer_runs;
static int run_order[POSTS];
static int posts;

static void record_post(void *arg)
{
	run_order[posts++] = (int)(intptr_t)arg;
}

static void count_timer_run(void *arg)
{
	(void)arg;
	atomic_fetch_add(&timer_runs, 1);
}

static void noop(void *arg)
{
	(void)arg;
}

/* Posted functions must not be lost or run out of order. */
static void test_posts_keep_their_order(void)
{
	int misplaced = 0;

	for (intptr_t i = 0; i < POSTS; i++)
		loop_post(loop, record_post, (void *)i);
	loop_call(loop, noop, NULL);
	CU_ASSERT_EQUAL_FATAL(posts, POSTS);
	for (int i = 0; i < POSTS; i++)
		misplaced += run_order[i] != i;
	CU_ASSERT_EQUAL(misplaced, 0);
}

/* A timer must run again after each interval, not only once. */
static void test_timer_repeats(void)
{
	uint64_t end = clock_now_us() + 5000000u;

	while (atomic_load(&timer_runs) < 3 && clock_now_us() < end)
		clock_sleep_us(1000);
	CU_ASSERT(atomic_load(&timer_runs) >= 3);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "posts keep their order", test_posts_keep_their_order },
		{ "timer repeats", test_timer_repeats },
	};
	struct error err;
	int status;

	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	loop = loop_find(kernel);
	loop_add_timer(loop, 2000, count_timer_run, NULL);
	if (kernel_start(kernel, &err) < 0)
		return 1;
	status = RUN_SUITE("loop", tests);
	kernel_stop(kernel);
	kernel_destroy(kernel);
	return status;
}
