#ifndef SVC_PLACEMENT_INTERNAL_H
#define SVC_PLACEMENT_INTERNAL_H

#include <pthread.h>

#include "place.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-placement.h"
#include "svc-targets.h"
#include "svc-workers.h"

/*
 * NAME
 *	svc-placement-internal - state shared by the files of the service
 *
 * DESCRIPTION
 *	Used on the control thread only, except for the result of an operator
 *	request, which is protected by the lock of the request.
 */

#define SHARDS_MAX 32
#define DECISIONS_MAX 2048

struct placement_svc;

/* A worker that this process has seen in the list of VMs. */
struct known_worker {
	char id[64];
	struct settings_address address;
	bool present; /* in the current list */
	bool polling; /* a usage request is pending */
	uint64_t polled_us;
	double usage_response_bytes; /* size of the last response */
	uint64_t absent_us;	     /* when it disappeared from the list */
};

struct place_shard {
	struct placement_svc *svc;
	char name[64];
	struct oplog *log;
	struct place *place;
	struct worker_gate gate;
	uint64_t epoch; /* 0 when not the owner */
	struct known_worker *known;
	uint32_t known_count;
	uint32_t known_capacity;
	uint64_t usage_checked_us;
	double usage_budget_bytes; /* bytes available for usage responses */
};

struct decision {
	char task[PLACE_NAME_BYTES + 12];
	char text[180];
	uint64_t wall_us;
	uint64_t revision;
};

/* An operator request, received by this process or forwarded by a peer. */
struct op {
	struct op *next;
	uint64_t id;
	char method[8];
	char placement[PLACE_NAME_BYTES];
	char *body;
	size_t body_len;
	char sender[PEER_ID_BYTES]; /* "" if received by this process */
	uint64_t sender_op_id;	    /* op id at the sender */
	uint64_t created_us;
	uint64_t expires_us;
	uint64_t forwarded_us;
	bool forwarded; /* a peer sends the reply */
	bool started;	/* passed to the core, or replies are collected */
	uint32_t replies_pending; /* list request: peers yet to reply */
	bool replied;
	int status;
	struct buffer json;
	/* A caller is blocked in another thread and frees the op. */
	bool waited;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done; /* protected by lock */
};

struct placement_svc {
	struct service service;
	const struct settings *settings; /* the policy changes on reload */
	struct loop *loop;
	struct owner *owner;
	struct peers *peers;
	struct members *members;
	struct config_svc *config;
	struct targets *targets;
	struct workers *workers;
	struct place_shard *shards[SHARDS_MAX];
	uint32_t shard_count;
	struct decision *decisions; /* ring of DECISIONS_MAX */
	uint64_t decision_count;
	struct op *ops;
	uint64_t next_op;
	uint64_t workers_updated_us;
	bool stopping;
};

/* ---- svc-placement.c ---- */

struct place_shard *placement_shard(struct placement_svc *p, const char *name);
void placement_execute_actions(struct place_shard *s);
void placement_log_decision(struct placement_svc *p, const char *task,
			    const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ---- svc-placement-calls.c ---- */

/* Submits the worker call for an action. */
void placement_call_worker(struct place_shard *s, const struct place_action *a);

/* Polls the shard's workers for usage, within a budget of bytes per second. */
void placement_poll_usage(struct place_shard *s);

/* ---- svc-placement-ops.c ---- */

void placement_ops_start(struct placement_svc *p);
void placement_ops_tick(struct placement_svc *p);
void placement_ops_stop(struct placement_svc *p);
void placement_ops_reply(struct place_shard *s, const struct place_action *a);

/* ---- svc-placement-json.c ---- */

/*
 * Reads a placement from JSON. Members missing in the JSON keep the value they
 * have in spec. Returns 0, or -1 with the reason in message.
 */
int placement_from_json(const char *text, size_t len, const struct sheet *sheet,
			struct placement_spec *spec, char message[128]);
/*
 * Appends the placement as one JSON object, with its number of tasks by state
 * and, if with_tasks is true, the tasks themselves.
 */
void placement_to_json(struct place *pl, const char *id, bool with_tasks,
		       struct buffer *out);
void json_append_string(struct buffer *out, const char *text);

#endif
