#include <pthread.h>
#include <stdatomic.h>

#include "io-pool.h"
#include "support-unit.h"

#define JOBS 64

static atomic_int finished;
static pthread_mutex_t gate = PTHREAD_MUTEX_INITIALIZER;

static void count_run(void *job)
{
	atomic_fetch_add((atomic_int *)job, 1);
}

static void wait_for_gate(void *job)
{
	(void)job;
	pthread_mutex_lock(&gate);
	pthread_mutex_unlock(&gate);
}

/* Destroying the pool must not drop queued jobs. */
static void test_destroy_finishes_the_queue(void)
{
	struct io_pool *p = io_pool_create("test", 2, JOBS);

	for (int i = 0; i < JOBS; i++)
		CU_ASSERT_EQUAL(io_pool_submit(p, count_run, &finished), 0);
	io_pool_destroy(p);
	CU_ASSERT_EQUAL(atomic_load(&finished), JOBS);
}

/* The queue must stay bounded while the pool's threads are blocked. */
static void test_full_queue_refuses(void)
{
	struct io_pool *p = io_pool_create("test", 1, 2);
	int accepted = 0;

	pthread_mutex_lock(&gate);
	for (int i = 0; i < 8; i++)
		accepted += io_pool_submit(p, wait_for_gate, NULL) == 0;
	/* Two queued jobs, plus one if the thread has dequeued the first. */
	CU_ASSERT(accepted == 2 || accepted == 3);
	pthread_mutex_unlock(&gate);
	io_pool_destroy(p);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "destroy finishes the queue",
		  test_destroy_finishes_the_queue },
		{ "full queue refuses", test_full_queue_refuses },
	};

	return RUN_SUITE("io-pool", tests);
}
