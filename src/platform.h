#ifndef PLATFORM_H
#define PLATFORM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "buffer.h"
#include "error.h"
#include "settings.h"

/*
 * NAME
 *	platform - interface to the platform's store, VM list and workers
 *
 * DESCRIPTION
 *	All functions block and may be called from any thread. Each platform
 *	API is implemented in one file that defines a struct platform_ops.
 *
 * ERRORS
 *	Layer ERROR_LAYER_PLATFORM:
 *	PLATFORM_UNREACHABLE		the call did not take effect
 *	PLATFORM_OUTCOME_UNKNOWN	response lost; the call may have taken
 *					effect
 *	PLATFORM_REFUSED		the platform returned an HTTP error
 *	PLATFORM_MALFORMED		response truncated, too large or invalid
 *	PLATFORM_STALE_TOKEN		the worker has seen a higher fencing
 *					token
 *	PLATFORM_NO_CAPACITY		the worker lacks capacity for the task
 *
 * UNITS
 *	Times are in microseconds unless the name has another unit.
 */

enum platform_error {
	PLATFORM_UNREACHABLE = 1,
	PLATFORM_OUTCOME_UNKNOWN,
	PLATFORM_REFUSED,
	PLATFORM_MALFORMED,
	PLATFORM_STALE_TOKEN,
	PLATFORM_NO_CAPACITY,
};

struct kv_pair {
	char *key;
	char *value; /* value_len bytes, NUL-terminated */
	size_t value_len;
	uint64_t modify_index;
	char session[64]; /* holder of the key; empty if none */
};

struct kv_result {
	struct kv_pair *pairs; /* NULL if the key is absent */
	size_t count;
	uint64_t index; /* pass to get() to wait for a later change */
};

enum vm_role { VM_RUNNER, VM_WORKER, VM_ENTRY };

struct vm {
	char id[64];
	enum vm_role role;
	char availability_zone[64];
	char rack[64];
	struct settings_address address;
	bool leaving;
	uint32_t slots;
	uint32_t connections;
	uint32_t cpu_milli;
	uint32_t memory_mb;
	uint32_t accelerators;
};

struct vm_list {
	struct vm *vms;
	size_t count;
};

struct platform;

struct platform_ops {
	const char *name;
	/*
	 * Reads a key or, with recurse, all keys with that prefix. With
	 * index != 0 the call is a blocking query: it waits for a change
	 * after that index, for at most wait_us.
	 */
	int (*get)(struct platform *p, const char *key, bool recurse,
		   uint64_t index, uint64_t wait_us, struct kv_result *out,
		   struct error *err);
	/* Compare-and-swap; modify_index 0 writes only if the key is absent. */
	int (*put_cas)(struct platform *p, const char *key, const void *value,
		       size_t len, uint64_t modify_index, bool *applied,
		       struct error *err);
	/* Writes and locks the key unless another session holds it. */
	int (*acquire)(struct platform *p, const char *key, const void *value,
		       size_t len, const char *session, bool *applied,
		       struct error *err);
	int (*release)(struct platform *p, const char *key, const char *session,
		       struct error *err);
	int (*del)(struct platform *p, const char *key, bool recurse,
		   struct error *err);
	int (*session_create)(struct platform *p, uint64_t ttl_us,
			      char session[64], struct error *err);
	/* Fails with PLATFORM_REFUSED if the session no longer exists. */
	int (*session_renew)(struct platform *p, const char *session,
			     struct error *err);
	int (*session_destroy)(struct platform *p, const char *session,
			       struct error *err);
	int (*list_vms)(struct platform *p, struct vm_list *out,
			struct error *err);
	/*
	 * Sends one request to a worker: method, path below "/v1" and JSON
	 * body are those of docs/design.md 3.3. Sets status and appends the
	 * body of the response; returns 0 for any HTTP status.
	 */
	int (*worker_call)(struct platform *p,
			   const struct settings_address *address,
			   const char *method, const char *path,
			   const char *body, uint64_t timeout_us, int *status,
			   struct buffer *response, struct error *err);
	void (*destroy)(struct platform *p);
};

struct platform {
	const struct platform_ops *ops;
};

struct platform *platform_consul_create(const struct settings_address *addr);

void kv_result_free(struct kv_result *r);
void vm_list_free(struct vm_list *l);

#endif
