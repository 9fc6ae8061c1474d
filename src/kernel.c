#include <stdlib.h>
#include <string.h>

#include "kernel.h"
#include "log.h"

enum kernel_error {
	KERNEL_DUPLICATE_NAME = 1,
	KERNEL_TABLE_FULL,
	KERNEL_START_FAILED
};

struct kernel {
	struct service *services[KERNEL_SERVICES_MAX];
	int count;
	int started;
};

struct kernel *kernel_create(void)
{
	return calloc(1, sizeof(struct kernel));
}

int kernel_register(struct kernel *k, struct service *svc, struct error *err)
{
	const char *name = svc->ops->name;

	if (kernel_find(k, name))
		return error_set(err, ERROR_LAYER_KERNEL, KERNEL_DUPLICATE_NAME,
				 "service %s is already registered", name);
	if (k->count == KERNEL_SERVICES_MAX)
		return error_set(err, ERROR_LAYER_KERNEL, KERNEL_TABLE_FULL,
				 "cannot register service %s: table is full",
				 name);
	k->services[k->count++] = svc;
	return 0;
}

struct service *kernel_find(struct kernel *k, const char *name)
{
	for (int i = 0; i < k->count; i++)
		if (!strcmp(k->services[i]->ops->name, name))
			return k->services[i];
	return NULL;
}

int kernel_start(struct kernel *k, struct error *err)
{
	for (k->started = 0; k->started < k->count; k->started++) {
		struct service *svc = k->services[k->started];

		if (svc->ops->start && svc->ops->start(svc, k, err) < 0) {
			kernel_stop(k);
			return error_wrap(
				err, ERROR_LAYER_KERNEL, KERNEL_START_FAILED,
				"service %s failed to start", svc->ops->name);
		}
		log_event(LOG_DEBUG, "service-started", "service=%s",
			  svc->ops->name);
	}
	return 0;
}

void kernel_drain(struct kernel *k)
{
	for (int i = k->started - 1; i >= 0; i--)
		if (k->services[i]->ops->drain)
			k->services[i]->ops->drain(k->services[i]);
}

void kernel_stop(struct kernel *k)
{
	while (k->started > 0) {
		struct service *svc = k->services[--k->started];

		if (svc->ops->stop)
			svc->ops->stop(svc);
	}
}

void kernel_destroy(struct kernel *k)
{
	if (!k)
		return;
	for (int i = k->count - 1; i >= 0; i--)
		if (k->services[i]->ops->destroy)
			k->services[i]->ops->destroy(k->services[i]);
	free(k);
}
