#ifndef SVC_LOOP_H
#define SVC_LOOP_H

#include <stdint.h>

#include "kernel.h"

/*
 * NAME
 *	loop - service "loop": event loop of the control thread
 *
 * DESCRIPTION
 *	The loop runs functions posted from other threads, periodic timers and
 *	ZeroMQ socket handlers. Services keep state without locks by accessing
 *	it only on the control thread. A function on the loop must not block;
 *	blocking I/O is passed to a thread pool (io-pool.h).
 */

struct loop;

typedef void loop_fn(void *arg);

struct service *loop_create(void);

/* Returns the loop of kernel k; never NULL, as it is registered first. */
struct loop *loop_find(struct kernel *k);

/*
 * Queues fn(arg) for the control thread, which runs the functions in the order
 * of posting. May be called from any thread.
 */
void loop_post(struct loop *l, loop_fn *fn, void *arg);

/*
 * Runs fn(arg) on the control thread and waits until it returns. Deadlocks if
 * called on the control thread.
 */
void loop_call(struct loop *l, loop_fn *fn, void *arg);

/*
 * Runs fn(arg) every interval_us, first after one interval. Must be called
 * before the loop starts or on the control thread.
 */
void loop_add_timer(struct loop *l, uint64_t interval_us, loop_fn *fn,
		    void *arg);

/*
 * Runs fn(arg) whenever the ZeroMQ socket is readable. The restriction of
 * loop_add_timer() applies.
 */
void loop_add_socket_handler(struct loop *l, void *socket, loop_fn *fn,
			     void *arg);

/* Returns the ZeroMQ context shared by all sockets of the process. */
void *loop_zmq_context(struct loop *l);

#endif
