#ifndef SUPPORT_MEMORY_STORE_H
#define SUPPORT_MEMORY_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * NAME
 *	support-memory-store - in-process key-value service of the platform
 *
 * DESCRIPTION
 *	A CivetWeb server on a free loopback port that implements the subset of
 *	the interface described in docs/design.md 3.3: keys with
 *	compare-and-swap, sessions with a TTL, watches, and a list of VMs set
 *	by the test. One fault can be injected into the next calls whose method
 *	and path match.
 */

enum kv_fault {
	KV_FAULT_NONE,
	KV_FAULT_DROP_REPLY,	 /* applied, then the connection is closed */
	KV_FAULT_TRUNCATED_JSON, /* applied; complete reply, half the JSON */
	KV_FAULT_SHORT_BODY,	 /* applied; reply below Content-Length */
	KV_FAULT_STATUS,	 /* not applied; the given status */
};

struct kv_server;

struct kv_server *kv_start(void);
void kv_stop(struct kv_server *s);
uint16_t kv_port(const struct kv_server *s);

/* Affects the next count calls whose "METHOD path?query" contains match. */
void kv_set_fault(struct kv_server *s, enum kv_fault fault, const char *match,
		  uint32_t count, int status);

/* While down, no call is applied and every connection is closed. */
void kv_set_down(struct kv_server *s, bool down);
void kv_set_vms(struct kv_server *s, const char *json);

uint64_t kv_call_count(struct kv_server *s);

/* Copies a key's value as a string; false if the key does not exist. */
bool kv_get_value(struct kv_server *s, const char *key, char *value,
		  size_t size);

#endif
