#ifndef IO_POOL_H
#define IO_POOL_H

#include <stdint.h>

/*
 * NAME
 *	io-pool - threads for calls that may block
 *
 * DESCRIPTION
 *	io_pool_submit() queues a job. A thread of the pool runs work(job),
 *	which may block and must not touch state of the control thread; a
 *	result goes back with loop_post(). The queue is bounded; a full queue
 *	refuses the job.
 */

struct io_pool;

typedef void io_work_fn(void *job);

struct io_pool *io_pool_create(const char *name, uint32_t threads,
			       uint32_t queue_limit);

/* Returns 0, or -1 when the queue is full or the pool is stopping. */
int io_pool_submit(struct io_pool *p, io_work_fn *work, void *job);

/* Runs the queued jobs to their end, then joins the threads and frees p. */
void io_pool_destroy(struct io_pool *p);

#endif
