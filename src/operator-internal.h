#ifndef OPERATOR_INTERNAL_H
#define OPERATOR_INTERNAL_H

#include <jansson.h>
#include <pthread.h>
#include <stdatomic.h>

#include "buffer.h"
#include "counter.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-operator.h"
#include "svc-store.h"
#include "svc-targets.h"

/*
 * NAME
 *	operator-internal - state shared by the operator service's files
 */

/* Number of recent sheets kept to report the changes on a conflict. */
#define OPERATOR_HISTORY_SIZE 4

struct operator_history {
	uint64_t revision;
	char *json;
};

struct operator_svc {
	struct service service;
	const struct settings *settings;
	struct kernel *kernel;
	struct loop *loop;
	struct members *members;
	struct config_svc *config;
	struct targets *targets;
	struct store *store;
	struct mg_context *http;
	uint64_t started_us;
	pthread_mutex_t lock; /* guards token and history */
	char token[SETTINGS_TEXT_BYTES];
	struct operator_history history[OPERATOR_HISTORY_SIZE];
	uint32_t history_next;
	_Atomic uint64_t next_denied_log_us; /* rate limit of operator-denied */
	struct counter *calls;
	struct counter *denied;
};

/* An HTTP request and its response. */
struct operator_call {
	const char *method;
	const char *query; /* or NULL */
	struct buffer body;
	int status;
	const char *content_type;
	struct buffer response;
};

void operator_reply_error(struct operator_call *call, int status,
			  const char *text);

/* Sets the response to a JSON value and takes ownership of root. */
void operator_reply_json(struct operator_call *call, int status, json_t *root);

/*
 * Copies a query parameter. Returns false and sets out to "" if it is absent or
 * too long.
 */
bool operator_query_param(const struct operator_call *call, const char *name,
			  char *out, size_t size);

void operator_get_sheet(struct operator_svc *o, struct operator_call *call);
void operator_put_sheet(struct operator_svc *o, struct operator_call *call);

/* Records the current and each later sheet. Runs on the control thread. */
void operator_record_sheets(void *arg);
void operator_free_history(struct operator_svc *o);

#endif
