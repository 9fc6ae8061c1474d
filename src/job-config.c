#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-evacuation.h"
#include "job-node.h"
#include "kv-follow.h"
#include "log.h"

/* Bounds the time to detect that the watch's connection is dead. */
#define CONFIG_WATCH_MS 1200u
#define UNKNOWN_LOG_INTERVAL_US 1000000u

void job_config_free(struct job_config *c)
{
	if (!c)
		return;
	free(c->queues);
	free(c);
}

/* One line a second names a key, with the number of keys since the last. */
static void report_unknown_key(struct job_node *n, const struct kv_item *item)
{
	uint64_t now = clock_now_us();

	counter_add(counter_get(COUNTER, "waxwing_operator_keys_unknown_total",
				NULL),
		    1);
	n->unknown_keys++;
	if (now < n->next_unknown_log_us)
		return;
	log_event(LOG_WARNING, "operator-key-unknown",
		  "key=\"%s\" deleted=%d revision=%llu keys=%u", item->key,
		  item->deleted, (unsigned long long)item->revision,
		  n->unknown_keys);
	n->next_unknown_log_us = now + UNKNOWN_LOG_INTERVAL_US;
	n->unknown_keys = 0;
}

static void on_config_begin(void *arg)
{
	struct job_node *n = arg;

	job_evacuation_begin(n->evacuation);
}

static void on_config_end(void *arg)
{
	struct job_node *n = arg;

	job_evacuation_end(n->evacuation);
}

static void on_config_item(void *arg, const struct kv_item *item)
{
	struct job_node *n = arg;
	struct job_config *c;
	struct error err;

	if (strcmp(item->key, n->platform->config_key)) {
		if (!job_evacuation_item(n->evacuation, item))
			report_unknown_key(n, item);
		return;
	}
	if (item->deleted)
		return;
	c = xcalloc(1, sizeof(*c));
	if (n->platform->decode_config(item->value, item->len, c, &err) < 0) {
		log_event(LOG_ERROR, "config-refused",
			  "revision=%llu error=\"%s\"",
			  (unsigned long long)item->revision, err.message);
		job_config_free(c);
		return;
	}
	if (n->config && c->version <= n->config->version) {
		job_config_free(c);
		return;
	}
	log_event(LOG_INFO, "config-in-force", "version=%llu queues=%zu",
		  (unsigned long long)c->version, c->queue_count);
	job_config_free(n->config);
	n->config = c;
	job_owner_config_changed(n->owner);
}

static const struct kv_follow_ops config_follow_ops = {
	.begin = on_config_begin,
	.item = on_config_item,
	.end = on_config_end,
};

void job_config_start(struct job_node *n)
{
	uint32_t wait_ms = job_evacuation_watch_ms(n->evacuation);

	n->config_follow = kv_follow_create(
		n->base, n->kv, n->platform->config_prefix,
		wait_ms && wait_ms < CONFIG_WATCH_MS ? wait_ms
						     : CONFIG_WATCH_MS,
		0, &config_follow_ops, n);
}

void job_config_stop(struct job_node *n)
{
	kv_follow_free(n->config_follow);
	n->config_follow = NULL;
	job_config_free(n->config);
	n->config = NULL;
}

const struct job_queue *job_config_find_queue(const struct job_node *n,
					      const char *host,
					      const char *path)
{
	const struct job_queue *best = NULL;
	size_t best_len = 0;

	for (size_t i = 0; n->config && i < n->config->queue_count; i++) {
		const struct job_queue *q = &n->config->queues[i];
		size_t len = strlen(q->prefix);

		if (strcmp(q->host, host) || strncmp(path, q->prefix, len) ||
		    (best && len <= best_len))
			continue;
		best = q;
		best_len = len;
	}
	return best;
}
