#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "job-node.h"
#include "kv-follow.h"
#include "log.h"

/* Bounds the time to detect that the watch's connection is dead. */
#define CONFIG_WATCH_MS 1200u

void job_config_free(struct job_config *c)
{
	if (!c)
		return;
	free(c->queues);
	free(c);
}

static void on_config_item(void *arg, const struct kv_item *item)
{
	struct job_node *n = arg;
	struct job_config *c;
	struct error err;

	if (item->deleted || strcmp(item->key, n->platform->config_key))
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
	.item = on_config_item
};

void job_config_start(struct job_node *n)
{
	n->config_follow =
		kv_follow_create(n->base, n->kv, n->platform->config_prefix,
				 CONFIG_WATCH_MS, 0, &config_follow_ops, n);
}

void job_config_stop(struct job_node *n)
{
	kv_follow_free(n->config_follow);
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
