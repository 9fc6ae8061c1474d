#ifndef SUPPORT_MEMORY_STORE_H
#define SUPPORT_MEMORY_STORE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	support-memory-store - the platform's key-value service in the test's
 *process
 *
 * DESCRIPTION
 *	A CivetWeb server on a free loopback port with the subset of the
 *	interface that docs/design.md 3.3 names: keys with compare-and-swap,
 *	sessions with a TTL, watches, and a list of VMs that the test sets.
 *	One fault can be set for the next calls whose method and path match.
 */

enum kv_fault {
	KV_FAULT_NONE,
	KV_FAULT_DROP_REPLY,	 /* takes effect, and the connection ends */
	KV_FAULT_TRUNCATED_JSON, /* a whole answer whose body is cut in half */
	KV_FAULT_SHORT_BODY,	 /* an answer shorter than its Content-Length */
	KV_FAULT_STATUS, /* the status set by kv_fault_status, no effect */
};

struct kv_server;

struct kv_server *kv_start(void);
void kv_stop(struct kv_server *s);
uint16_t kv_port(const struct kv_server *s);

/* Applies to the next count calls whose "METHOD path" contains the text. */
void kv_set_fault(struct kv_server *s, enum kv_fault fault, const char *match,
		  uint32_t count, int status);

/* While down, every connection ends without an answer or effect. */
void kv_set_down(struct kv_server *s, bool down);
void kv_set_vms(struct kv_server *s, const char *json);

uint64_t kv_call_count(struct kv_server *s);

/* Copies a key's value as text; false when it is absent. */
bool kv_get_value(struct kv_server *s, const char *key, char *value,
		  size_t size);

#endif
