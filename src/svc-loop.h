#ifndef SVC_LOOP_H
#define SVC_LOOP_H

#include <stdint.h>

#include "kernel.h"

/*
 * NAME
 *	loop - service "loop": the control thread
 *
 * DESCRIPTION
 *	Services whose state belongs to the control thread run there:
 *	functions posted from other threads, periodic functions, and handlers
 *	of ZeroMQ sockets. A function on the loop must not block; input and
 *	output that can block goes to a pool of I/O threads (io-pool.h).
 */

struct loop;

typedef void loop_fn(void *arg);

struct service *loop_create(void);

/* Returns the service of kernel k; it is registered first and never NULL. */
struct loop *loop_find(struct kernel *k);

/* Runs fn(arg) on the control thread, in the order of posting. Any thread. */
void loop_post(struct loop *l, loop_fn *fn, void *arg);

/* Runs fn(arg) on the control thread and waits for it. Not on the loop. */
void loop_call(struct loop *l, loop_fn *fn, void *arg);

/* Runs fn(arg) every interval_us from then on. Before start or on the loop. */
void loop_add_timer(struct loop *l, uint64_t interval_us, loop_fn *fn,
		    void *arg);

/* Runs fn(arg) when the ZeroMQ socket is readable. As loop_add_timer(). */
void loop_add_socket_handler(struct loop *l, void *socket, loop_fn *fn,
			     void *arg);

/* The ZeroMQ context that all sockets of the process share. */
void *loop_zmq_context(struct loop *l);

#endif
