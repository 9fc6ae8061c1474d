#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "config-internal.h"
#include "config-value.h"
#include "log.h"

enum apply_state { APPLY_READ, APPLY_WRITE, APPLY_CHECK };

/* A config_apply() call, shared by its caller and the control thread. */
struct apply_op {
	struct apply_op *next;
	struct config_svc *c;
	enum apply_state state;
	uint64_t base;
	uint64_t nonce;
	uint64_t revision; /* assigned to the change */
	uint64_t deadline_us;
	uint64_t retry_at_us; /* 0 while a store call is in progress */
	char *json;
	char *value; /* as sent to the store */
	struct config_apply_result result;
	pthread_mutex_t lock;
	pthread_cond_t done_cond;
	bool done;
	atomic_int refs;
};

static void apply_read(struct apply_op *a);
static void apply_on_read(void *arg, struct store_reply *reply);
static void apply_decide(struct apply_op *a, struct store_reply *reply);
static void apply_write(struct apply_op *a, const struct config_value *stored,
			uint64_t index);
static void apply_on_write(void *arg, struct store_reply *reply);
static void apply_start(void *arg);
static void apply_complete(struct apply_op *a, enum config_apply_code code,
			   uint64_t revision, const char *json);
static void apply_unref(struct apply_op *a);
static int apply_wait(struct apply_op *a, uint64_t timeout_us);

static void apply_start(void *arg)
{
	struct apply_op *a = arg;

	a->next = a->c->apply_ops;
	a->c->apply_ops = a;
	if (a->c->stopping) {
		error_set(&a->result.err, ERROR_LAYER_CORE, CONFIG_STOPPING,
			  "the daemon is stopping");
		apply_complete(a, CONFIG_UNAVAILABLE, a->c->revision, NULL);
		return;
	}
	apply_read(a);
}

static void apply_read(struct apply_op *a)
{
	char key[256];

	snprintf(key, sizeof(key), "waxwing/%s/config",
		 a->c->settings->node.deployment);
	atomic_fetch_add(&a->refs, 1);
	a->retry_at_us = 0;
	store_get(a->c->store, key, false, 0, 0, apply_on_read, a);
}

static void apply_on_read(void *arg, struct store_reply *reply)
{
	struct apply_op *a = arg;

	if (!a->done)
		apply_decide(a, reply);
	apply_unref(a);
}

/*
 * Decides how to proceed from the stored value: the change is already part of
 * it (the reply to the write was lost), the change can be written on top of it,
 * or it conflicts with another operator's change.
 */
static void apply_decide(struct apply_op *a, struct store_reply *reply)
{
	struct config_svc *c = a->c;
	struct config_value v = { 0 };
	const struct kv_pair *pair = reply->kv.pairs;
	const struct config *current;
	uint64_t now = clock_now_us(), revision;

	if (reply->failed) {
		a->result.err = reply->err;
		if (now + CONFIG_RETRY_MIN_US < a->deadline_us)
			a->retry_at_us = now + CONFIG_RETRY_MIN_US;
		else
			apply_complete(a, CONFIG_UNAVAILABLE, c->revision,
				       NULL);
		return;
	}
	if (reply->kv.count && config_value_parse(pair->value, pair->value_len,
						  &v, &a->result.err) < 0) {
		counter_add(c->unusable, 1);
		apply_complete(a, CONFIG_UNAVAILABLE, c->revision, NULL);
		return;
	}
	if (reply->kv.count)
		config_install_if_newer(c, pair->value, pair->value_len,
					"store");
	current = config_current(c);
	revision = config_value_find_nonce(&v, a->nonce);
	if (revision) {
		if (a->state == APPLY_CHECK)
			counter_add(c->recovered, 1);
		apply_complete(a, CONFIG_APPLIED, revision, NULL);
	} else if (v.revision > a->base) {
		apply_complete(a, CONFIG_CONFLICT, v.revision, v.json);
	} else if (current && current->revision > a->base) {
		/* The store lost the current revision; never go back. */
		apply_complete(a, CONFIG_CONFLICT, current->revision,
			       current->json);
	} else if (a->base > v.revision && a->base > c->revision) {
		apply_complete(a, CONFIG_CONFLICT, v.revision, v.json);
	} else {
		apply_write(a, &v, reply->kv.count ? pair->modify_index : 0);
	}
	config_value_free(&v);
}

/* Writes the change on top of stored by compare-and-swap on its index. */
static void apply_write(struct apply_op *a, const struct config_value *stored,
			uint64_t index)
{
	struct config_value next = { .revision = a->base + 1, .json = a->json };
	char key[256];

	next.nonces[next.nonce_count++] = a->nonce;
	/* Nonces must belong to consecutive revisions. */
	for (uint32_t i = 0;
	     stored->revision == a->base && i < stored->nonce_count &&
	     next.nonce_count < CONFIG_NONCES_MAX;
	     i++)
		next.nonces[next.nonce_count++] = stored->nonces[i];
	free(a->value);
	a->value = config_value_format(&next);
	a->revision = next.revision;
	a->state = APPLY_WRITE;
	snprintf(key, sizeof(key), "waxwing/%s/config",
		 a->c->settings->node.deployment);
	atomic_fetch_add(&a->refs, 1);
	store_put(a->c->store, key, a->value, strlen(a->value), index,
		  apply_on_write, a);
}

static void apply_on_write(void *arg, struct store_reply *reply)
{
	struct apply_op *a = arg;

	if (!reply->failed && reply->applied) {
		config_install_if_newer(a->c, a->value, strlen(a->value),
					"operator");
		if (!a->done)
			apply_complete(a, CONFIG_APPLIED, a->revision, NULL);
	} else if (!a->done) {
		if (reply->failed)
			a->result.err = reply->err;
		a->state = APPLY_CHECK;
		apply_read(a);
	}
	apply_unref(a);
}

/* Signals the result to the caller. Store callbacks may still follow. */
static void apply_complete(struct apply_op *a, enum config_apply_code code,
			   uint64_t revision, const char *json)
{
	struct apply_op **p = &a->c->apply_ops;

	while (*p != a)
		p = &(*p)->next;
	*p = a->next;
	if (code == CONFIG_APPLIED)
		counter_add(a->c->applied, 1);
	else if (code == CONFIG_CONFLICT)
		counter_add(a->c->conflicts, 1);
	log_event(LOG_INFO, "config-apply",
		  "base=%" PRIu64 " revision=%" PRIu64 " outcome=%s", a->base,
		  revision,
		  code == CONFIG_APPLIED    ? "applied"
		  : code == CONFIG_CONFLICT ? "conflict"
					    : "unavailable");
	pthread_mutex_lock(&a->lock);
	a->result.code = code;
	a->result.revision = revision;
	a->result.json = json ? xstrdup(json) : NULL;
	a->done = true;
	pthread_cond_signal(&a->done_cond);
	pthread_mutex_unlock(&a->lock);
	apply_unref(a);
}

void config_apply_tick(struct config_svc *c, uint64_t now)
{
	for (struct apply_op *a = c->apply_ops; a; a = a->next)
		if (a->retry_at_us && now >= a->retry_at_us)
			apply_read(a);
}

void config_apply_stop(struct config_svc *c)
{
	while (c->apply_ops) {
		struct apply_op *a = c->apply_ops;

		error_set(&a->result.err, ERROR_LAYER_CORE, CONFIG_STOPPING,
			  "the daemon is stopping");
		apply_complete(a, CONFIG_UNAVAILABLE, c->revision, NULL);
	}
}

/* Drops a reference of the caller, the operation or a store callback. */
static void apply_unref(struct apply_op *a)
{
	if (atomic_fetch_sub(&a->refs, 1) > 1)
		return;
	pthread_mutex_destroy(&a->lock);
	pthread_cond_destroy(&a->done_cond);
	free(a->json);
	free(a->value);
	free(a);
}

/* Waits for completion. Returns -1 on timeout. */
static int apply_wait(struct apply_op *a, uint64_t timeout_us)
{
	struct timespec end;
	int failed = 0;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += (time_t)(timeout_us / 1000000u);
	end.tv_nsec += (long)(timeout_us % 1000000u) * 1000;
	if (end.tv_nsec >= 1000000000) {
		end.tv_nsec -= 1000000000;
		end.tv_sec++;
	}
	pthread_mutex_lock(&a->lock);
	while (!a->done && !failed)
		failed = pthread_cond_timedwait(&a->done_cond, &a->lock, &end);
	failed = !a->done;
	pthread_mutex_unlock(&a->lock);
	return failed ? -1 : 0;
}

void config_apply(struct config_svc *c, uint64_t base, const char *json,
		  uint64_t timeout_us, struct config_apply_result *out)
{
	struct sheet *sheet;
	struct apply_op *a;
	pthread_condattr_t attr;

	memset(out, 0, sizeof(*out));
	out->code = CONFIG_UNAVAILABLE;
	sheet = sheet_from_json(json, strlen(json), &out->err);
	if (!sheet) {
		error_wrap(&out->err, ERROR_LAYER_CORE, CONFIG_INVALID_SHEET,
			   "the sheet was rejected");
		return;
	}
	a = xcalloc(1, sizeof(*a));
	a->c = c;
	a->base = base;
	a->json = sheet_to_json(sheet);
	sheet_free(sheet);
	a->nonce = clock_wall_us() * 0x9e3779b97f4a7c15u ^
		   (uint64_t)(uintptr_t)a ^ (uint64_t)getpid() << 32;
	a->deadline_us = clock_now_us() + timeout_us;
	atomic_init(&a->refs, 2); /* the caller and the operation */
	pthread_mutex_init(&a->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&a->done_cond, &attr);
	pthread_condattr_destroy(&attr);
	loop_post(c->loop, apply_start, a);
	if (apply_wait(a, timeout_us) < 0) {
		error_set(&out->err, ERROR_LAYER_CORE, CONFIG_TIMED_OUT,
			  "the store did not confirm the change in time; it "
			  "may still take effect");
		out->revision = config_revision(c);
	} else {
		*out = a->result;
		a->result.json = NULL;
	}
	apply_unref(a);
}
