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
 *	job-platform - what a platform offers for jobs, behind vtables
 *
 * DESCRIPTION
 *	An adapter decodes the platform's messages into these types. Nothing
 *	else knows their names on the wire.
 *
 * UNITS
 *	lease_until_ms and clock_ms are of the worker's own steady clock.
 */

struct job_queue {
	struct sched_queue policy;
	char host[128];
	char prefix[128]; /* of the path; the job's id follows it */
};

struct job_config {
	uint64_t version;
	struct job_queue *queues;
	size_t queue_count;
	size_t body_max_bytes;
};

void job_config_free(struct job_config *c);

/* What a worker wrote about itself in the store. */
struct job_worker_entry {
	char id[JOB_NAME_BYTES];
	char service[JOB_NAME_BYTES];
	char zone[JOB_NAME_BYTES];
	struct settings_address address;
	struct sched_worker_info info; /* its strings are those above */
};

enum worker_outcome {
	WORKER_ANSWERED,
	WORKER_FENCED,		  /* it knows a higher fencing token */
	WORKER_OTHER_INCARNATION, /* it has been restarted under another
				     identity */
	WORKER_NOT_SENT,	  /* nothing was sent */
	WORKER_OUTCOME_UNKNOWN,	  /* may have been done, or may be done later */
};

struct worker_poll {
	uint64_t fencing_token;
	uint64_t lease_until_ms;   /* 0: grants nothing */
	uint64_t acknowledged_seq; /* ends up to it are forgotten */
	uint32_t wait_ms;	   /* for an end */
};

struct worker_answer {
	enum worker_outcome outcome;
	uint64_t clock_ms;	    /* 0: not told */
	enum sched_result result;   /* of an order */
	struct sched_report report; /* of a look */
};

typedef void worker_answer_fn(void *arg, const struct worker_answer *a);

/*
 * Orders on their way to one worker: an order whose answer is lost holds up
 * only its own lane.
 */
#define WORKER_ORDER_LANES 2

struct worker_client;

struct worker_ops {
	struct worker_client *(*open)(struct event_base *base, const char *id,
				      const struct settings_address *address);
	/* One look at a time, and one order on each lane. */
	void (*poll)(struct worker_client *c, const struct worker_poll *l,
		     worker_answer_fn *fn, void *arg);
	void (*order)(struct worker_client *c, int lane,
		      const struct sched_order *o, uint64_t token,
		      uint64_t lease_until_ms, worker_answer_fn *fn, void *arg);
	void (*close)(struct worker_client *c);
};

struct job_platform {
	const struct worker_ops *worker;
	const char *config_key;	   /* the operator's newest configuration */
	const char *config_prefix; /* what to follow for it */
	const char *worker_prefix; /* entries of workers */
	int (*decode_config)(const void *data, size_t len,
			     struct job_config *out, struct error *err);
	/* Returns -1 for an entry that names no worker to use. */
	int (*decode_worker)(const char *key, const void *data, size_t len,
			     struct job_worker_entry *out, struct error *err);
	struct kv *(*open_store)(struct event_base *base,
				 const struct settings_address *address);
};

#endif
