/*
 * Weak stand-ins for services that are not part of the tree yet. A service
 * whose create function returns NULL is not registered.
 */
#include "svc-flow.h"

#define WEAK __attribute__((weak))

WEAK struct service *flow_svc_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK struct flow_svc *flow_svc_find(struct kernel *k)
{
	return (struct flow_svc *)kernel_find(k, "flow");
}

WEAK struct service *front_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK uint32_t flow_in_flight(struct flow_svc *f)
{
	(void)f;
	return 0;
}

WEAK int flow_explain(struct flow_svc *f, const char *request_id,
		      struct buffer *json)
{
	(void)f;
	(void)request_id;
	(void)json;
	return -1;
}

WEAK void flow_status(struct flow_svc *f, struct buffer *json)
{
	(void)f;
	(void)json;
}
