/*
 * Weak stand-ins for services that are not part of the tree yet. A service
 * whose create function returns NULL is not registered.
 */
#include "http-client.h"
#include "svc-flow.h"
#include "svc-owner.h"
#include "svc-placement.h"
#include "svc-store.h"

#define WEAK __attribute__((weak))

WEAK struct service *store_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK struct store *store_find(struct kernel *k)
{
	return (struct store *)kernel_find(k, "store");
}

WEAK void store_get(struct store *st, const char *key, bool recurse,
		    uint64_t index, uint64_t wait_us, store_fn *fn, void *arg)
{
	(void)st;
	(void)key;
	(void)recurse;
	(void)index;
	(void)wait_us;
	(void)fn;
	(void)arg;
}

WEAK void store_put(struct store *st, const char *key, const void *value,
		    size_t len, uint64_t modify_index, store_fn *fn, void *arg)
{
	(void)st;
	(void)key;
	(void)value;
	(void)len;
	(void)modify_index;
	(void)fn;
	(void)arg;
}

WEAK void store_acquire(struct store *st, const char *key, const void *value,
			size_t len, store_fn *fn, void *arg)
{
	(void)st;
	(void)key;
	(void)value;
	(void)len;
	(void)fn;
	(void)arg;
}

WEAK void store_list_vms(struct store *st, store_fn *fn, void *arg)
{
	(void)st;
	(void)fn;
	(void)arg;
}

WEAK void store_set_sharers(struct store *st, uint32_t entry_vms)
{
	(void)st;
	(void)entry_vms;
}

WEAK const char *store_session(struct store *st)
{
	(void)st;
	return "";
}

WEAK uint64_t store_lease_until_us(struct store *st)
{
	(void)st;
	return 0;
}

WEAK uint64_t store_last_contact_us(struct store *st)
{
	(void)st;
	return 0;
}

WEAK struct service *owner_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK struct owner *owner_find(struct kernel *k)
{
	return (struct owner *)kernel_find(k, "owner");
}

WEAK uint32_t owner_shards(struct owner *o, char names[][64], uint64_t *epochs,
			   uint32_t max)
{
	(void)o;
	(void)names;
	(void)epochs;
	(void)max;
	return 0;
}

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

WEAK struct service *placement_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK struct service *workers_create(const struct settings *s)
{
	(void)s;
	return NULL;
}

WEAK struct placement_svc *placement_find(struct kernel *k)
{
	return (struct placement_svc *)kernel_find(k, "placement");
}

WEAK void placement_request(struct placement_svc *p, const char *method,
			    const char *id, const char *body, size_t len,
			    uint64_t timeout_us, int *status,
			    struct buffer *json)
{
	(void)p;
	(void)method;
	(void)id;
	(void)body;
	(void)len;
	(void)timeout_us;
	(void)json;
	*status = 503;
}

WEAK int placement_explain(struct placement_svc *p, const char *task,
			   struct buffer *json)
{
	(void)p;
	(void)task;
	(void)json;
	return -1;
}

WEAK void placement_status(struct placement_svc *p, struct buffer *json)
{
	(void)p;
	(void)json;
}

WEAK struct http_client *http_client_create(uint32_t max_idle)
{
	(void)max_idle;
	return NULL;
}

WEAK void http_client_destroy(struct http_client *c)
{
	(void)c;
}

WEAK int http_call(struct http_client *c, const char *host, uint16_t port,
		   const struct http_request *req, struct http_answer *ans,
		   struct error *err)
{
	(void)c;
	(void)host;
	(void)port;
	(void)req;
	(void)ans;
	return error_set(err, ERROR_LAYER_HTTP, HTTP_NOT_SENT, "no client");
}

WEAK void http_answer_free(struct http_answer *ans)
{
	(void)ans;
}
