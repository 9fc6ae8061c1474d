#ifndef JOB_PLATFORM_H
#define JOB_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "kv.h"
#include "job-sched.h"
#include "settings.h"

struct event_base;

/*
 * NAME
 *	job-platform - interface of a platform adapter for jobs
 *
 * DESCRIPTION
 *	An adapter decodes the platform's messages into these types; the names
 *	on the wire are known only to it.
 *
 * UNITS
 *	lease_until_ms and clock_ms: milliseconds of the worker's monotonic
 *	clock.
 */

struct job_queue {
	struct queue_policy policy;
	char host[128];
	char prefix[128]; /* of the path; the job id follows */
};

struct job_config {
	uint64_t version;
	struct job_queue *queues;
	size_t queue_count;
	size_t body_max_bytes;
};

void job_config_free(struct job_config *c);

/* Registration of a worker, which it writes to the store itself. */
struct job_worker_entry {
	char id[JOB_NAME_BYTES];
	char service[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	struct settings_address address;
	struct sched_worker_info info; /* its strings point into this struct */
};

enum worker_outcome {
	WORKER_RESPONDED,
	WORKER_FENCED, /* the worker has seen a higher fencing token */
	WORKER_OTHER_INCARNATION, /* restarted under another id */
	WORKER_NOT_SENT,	  /* no byte was sent */
	WORKER_OUTCOME_UNKNOWN,	  /* may have been executed, or be later */
	WORKER_PATH_LOST, /* the relay failed; as above, the worker may be well
			   */
};

struct worker_poll {
	uint64_t fencing_token;
	uint64_t lease_until_ms;   /* 0: does not extend the lease */
	uint64_t acknowledged_seq; /* run ends up to it are stored */
	uint32_t wait_ms;	   /* longest delay until a run ends */
};

struct worker_response {
	enum worker_outcome outcome;
	uint64_t clock_ms; /* 0: unknown */
	/* Of an order; SCHED_UNHEALTHY also of a poll that was refused. */
	enum sched_result result;
	struct sched_report report; /* of a poll */
};

/* Whether the response to a poll says that the worker has not executed it. */
static inline bool worker_poll_refused(const struct worker_response *a)
{
	return a->outcome == WORKER_OUTCOME_UNKNOWN &&
	       a->result == SCHED_UNHEALTHY;
}

typedef void worker_response_fn(void *arg, const struct worker_response *a);

/*
 * Orders in flight to one worker, each on its own connection: an order whose
 * response is lost blocks only this connection. More than two are used for many
 * stops only.
 */
#define WORKER_ORDER_CONNECTIONS 8

struct worker_client;

struct worker_ops {
	struct worker_client *(*open)(struct event_base *base, const char *id,
				      const struct settings_address *address);
	/*
	 * Requests the worker's report and renews its lease. One poll, and one
	 * order on each connection, may be in flight.
	 */
	void (*poll)(struct worker_client *c, const struct worker_poll *l,
		     worker_response_fn *fn, void *arg);
	void (*order)(struct worker_client *c, int connection,
		      const struct sched_order *o, uint64_t token,
		      uint64_t lease_until_ms, worker_response_fn *fn,
		      void *arg);
	void (*close)(struct worker_client *c);
};

struct job_platform {
	const struct worker_ops *worker;
	const char *config_key;	   /* key of the configuration in the store */
	const char *config_prefix; /* watched for changes of config_key */
	/* Of the keys that name evacuated zones, below config_prefix. */
	const char *evacuation_prefix;
	const char *worker_prefix; /* of the keys of worker entries */
	int (*decode_config)(const void *data, size_t len,
			     struct job_config *out, struct error *err);
	/* Returns 0, or -1 with err set if the entry names no usable worker. */
	int (*decode_worker)(const char *key, const void *data, size_t len,
			     struct job_worker_entry *out, struct error *err);
	/* Entries of the same one, other than 0, decode to the same worker. */
	uint64_t (*worker_fingerprint)(const void *data, size_t len);
	struct kv *(*open_store)(struct event_base *base,
				 const struct settings_address *address);
};

#endif
