#ifndef KERNEL_H
#define KERNEL_H

#include "error.h"

/*
 * NAME
 *	kernel - table of services that find each other by name
 *
 * DESCRIPTION
 *	A service embeds struct service as its first member and registers by
 *	name. kernel_start() starts the services in the order of registration
 *	and, when one fails, stops those that run. kernel_stop() stops them in
 *	the reverse order. Services look each other up in their start()
 *	function or later, never at registration.
 *
 * RETURN VALUES
 *	0, or -1 with err set (layer ERROR_LAYER_KERNEL).
 */

#define KERNEL_SERVICES_MAX 32

struct kernel;
struct service;

struct service_ops {
	const char *name;
	/* Starts threads and sockets. May be NULL. */
	int (*start)(struct service *svc, struct kernel *k, struct error *err);
	/*
	 * Begins a graceful shutdown: accept nothing new, finish what runs.
	 * Called for every service, last registered first, before any stop().
	 * May be NULL.
	 */
	void (*drain)(struct service *svc);
	/* Ends threads and closes sockets. May be NULL. */
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

/* Returns the service, or NULL when no service has that name. */
struct service *kernel_find(struct kernel *k, const char *name);

int kernel_start(struct kernel *k, struct error *err);
void kernel_drain(struct kernel *k);
void kernel_stop(struct kernel *k);

/* Destroys all services and frees k. */
void kernel_destroy(struct kernel *k);

#endif
