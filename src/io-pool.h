#ifndef IO_POOL_H
#define IO_POOL_H

#include <stdint.h>

/*
 * NAME
 *	io-pool - thread pool for blocking calls
 *
 * DESCRIPTION
 *	io_pool_submit() queues a job. A pool thread runs work(job), which may
 *	block and must not access state of the control thread; it returns its
 *	result with loop_post(). The queue is bounded, and a job submitted to
 *	a full queue is rejected.
 */

struct io_pool;

typedef void io_work_fn(void *job);

struct io_pool *io_pool_create(const char *name, uint32_t threads,
			       uint32_t queue_limit);

/* Returns 0, or -1 when the queue is full or the pool is stopping. */
int io_pool_submit(struct io_pool *p, io_work_fn *work, void *job);

/* Completes the queued jobs, then joins the threads and frees p. */
void io_pool_destroy(struct io_pool *p);

#endif
