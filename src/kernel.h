#ifndef KERNEL_H
#define KERNEL_H

#include "error.h"

/*
 * NAME
 *	kernel - service registry and lifecycle
 *
 * DESCRIPTION
 *	A service embeds struct service as its first member and is registered
 *	under a unique name. kernel_start() starts the services in order of
 *	registration; if one fails, those already started are stopped.
 *	kernel_stop() stops them in reverse order. A service looks up others
 *	with kernel_find() in its start() function or later, because at
 *	registration they may not be registered yet.
 *
 * RETURN VALUES
 *	0, or -1 with err set (layer ERROR_LAYER_KERNEL).
 */

#define KERNEL_SERVICES_MAX 32

struct kernel;
struct service;

struct service_ops {
	const char *name;
	/* Starts threads and opens sockets. May be NULL. */
	int (*start)(struct service *svc, struct kernel *k, struct error *err);
	/*
	 * Begins a graceful shutdown: the service accepts no new work and
	 * completes work in progress. Called for every started service, in
	 * reverse order of registration, before any stop(). May be NULL.
	 */
	void (*drain)(struct service *svc);
	/* Joins threads and closes sockets. May be NULL. */
	void (*stop)(struct service *svc);
	/* Frees the service. May be NULL. */
	void (*destroy)(struct service *svc);
};

struct service {
	const struct service_ops *ops;
};

struct kernel *kernel_create(void);

/* Takes ownership of svc on success. Errors: duplicate name, table full. */
int kernel_register(struct kernel *k, struct service *svc, struct error *err);

/* Returns NULL if no service has that name. */
struct service *kernel_find(struct kernel *k, const char *name);

int kernel_start(struct kernel *k, struct error *err);
void kernel_drain(struct kernel *k);
void kernel_stop(struct kernel *k);

/* Destroys all services, last registered first, and frees k. */
void kernel_destroy(struct kernel *k);

#endif
