#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "buffer.h"
#include "backoff.h"
#include "clock.h"
#include "config-internal.h"
#include "config-value.h"
#include "log.h"
#include "message.h"

#define TICK_INTERVAL_US 100000u
#define PEER_QUERY_INTERVAL_US 250000u
#define WATCH_TIMEOUT_US 10000000u
#define WATCH_MIN_US 100000u /* a faster reply is followed by a backoff */
#define RETRY_MAX_US 4000000u
/* Time to wait for replies from all peers at startup. */
#define STARTUP_WAIT_US 500000u

static int config_start(struct service *svc, struct kernel *k,
			struct error *err);
static void config_stop(struct service *svc);
static void config_destroy(struct service *svc);
static void start_on_loop(void *arg);
static void stop_on_loop(void *arg);
static void tick(void *arg);
static void read_store(struct config_svc *c);
static void on_store_read(void *arg, struct store_reply *reply);
static void schedule_retry(struct config_svc *c, uint64_t now);
static void install_version(struct config_svc *c,
			    struct config_version *version, char *value,
			    size_t len, const char *from);
static void free_version(struct config_version *version);
static void free_version_rcu(struct rcu_head *head);
static void query_peers(struct config_svc *c);
static void on_config_get(void *arg, const char *sender, const void *body,
			  size_t len);
static void on_config(void *arg, const char *sender, const void *body,
		      size_t len);

static const struct service_ops config_ops = {
	.name = "config",
	.start = config_start,
	.stop = config_stop,
	.destroy = config_destroy,
};

struct service *config_create(const struct settings *s)
{
	struct config_svc *c = xcalloc(1, sizeof(*c));

	c->service.ops = &config_ops;
	c->settings = s;
	c->rng.state = clock_wall_us() ^ (uint64_t)getpid() << 40;
	c->revision_gauge = counter_get(GAUGE, "waxwing_config_revision", NULL);
	c->applied = counter_get(COUNTER, "waxwing_config_applied_total", NULL);
	c->conflicts =
		counter_get(COUNTER, "waxwing_config_conflicts_total", NULL);
	c->unusable =
		counter_get(COUNTER, "waxwing_config_unusable_total", NULL);
	c->older = counter_get(COUNTER, "waxwing_config_older_total", NULL);
	c->recovered =
		counter_get(COUNTER, "waxwing_config_recovered_total", NULL);
	return &c->service;
}

struct config_svc *config_find(struct kernel *k)
{
	return (struct config_svc *)kernel_find(k, "config");
}

static int config_start(struct service *svc, struct kernel *k,
			struct error *err)
{
	struct config_svc *c = (struct config_svc *)svc;

	(void)err;
	c->loop = loop_find(k);
	c->store = store_find(k);
	c->peers = peers_find(k);
	c->members = members_find(k);
	loop_call(c->loop, start_on_loop, c);
	return 0;
}

static void start_on_loop(void *arg)
{
	struct config_svc *c = arg;

	c->start_us = clock_now_us();
	peers_set_handler(c->peers, PEER_CONFIG_GET, on_config_get, c);
	peers_set_handler(c->peers, PEER_CONFIG, on_config, c);
	loop_add_timer(c->loop, TICK_INTERVAL_US, tick, c);
	tick(c);
}

static void stop_on_loop(void *arg)
{
	struct config_svc *c = arg;

	c->stopping = true;
	config_apply_stop(c);
}

static void config_stop(struct service *svc)
{
	struct config_svc *c = (struct config_svc *)svc;

	loop_call(c->loop, stop_on_loop, c);
}

static void config_destroy(struct service *svc)
{
	struct config_svc *c = (struct config_svc *)svc;

	rcu_barrier();
	free_version(c->current);
	free_version(c->candidate);
	free(c->value);
	free(c->candidate_value);
	free(c);
}

static void free_version(struct config_version *version)
{
	if (!version)
		return;
	sheet_free(version->config.sheet);
	free(version->config.json);
	free(version);
}

static void free_version_rcu(struct rcu_head *head)
{
	free_version(caa_container_of(head, struct config_version, rcu));
}

/*
 * Replaces the current configuration and takes ownership of version and value.
 * Readers may still use the old version, which is freed by RCU.
 */
static void install_version(struct config_svc *c,
			    struct config_version *version, char *value,
			    size_t len, const char *from)
{
	struct config_version *old = c->current;

	rcu_assign_pointer(c->current, version);
	atomic_store(&c->revision, version->config.revision);
	free(c->value);
	c->value = value;
	c->value_len = len;
	counter_set(c->revision_gauge, (long long)version->config.revision);
	log_event(LOG_INFO, "config-in-force",
		  "revision=%" PRIu64 " from=%s kinds=%zu teams=%zu stops=%zu",
		  version->config.revision, from,
		  version->config.sheet->kind_count,
		  version->config.sheet->team_count,
		  version->config.sheet->stop_count);
	for (uint32_t i = 0; i < c->listener_count; i++)
		c->listeners[i].fn(c->listeners[i].arg);
	/* Listeners may use the old sheet until they have returned. */
	if (old)
		call_rcu(&old->rcu, free_version_rcu);
}

bool config_install_if_newer(struct config_svc *c, const char *text, size_t len,
			     const char *from)
{
	struct config_value v;
	struct error err;
	uint64_t known =
		c->candidate ? c->candidate->config.revision : c->revision;
	struct config_version *version;
	char *copy;

	if (config_value_parse(text, len, &v, &err) < 0) {
		counter_add(c->unusable, 1);
		log_event(LOG_ERROR, "config-unusable", "from=%s error=\"%s\"",
			  from, err.message);
		return false;
	}
	if (v.revision <= known) {
		if (v.revision < known) {
			counter_add(c->older, 1);
			log_event(LOG_WARNING, "config-older",
				  "from=%s revision=%" PRIu64
				  " in_force=%" PRIu64,
				  from, v.revision, known);
		}
		config_value_free(&v);
		return true;
	}
	version = xcalloc(1, sizeof(*version));
	version->config.revision = v.revision;
	version->config.sheet = v.sheet;
	version->config.json = v.json;
	copy = xcalloc(1, len + 1);
	memcpy(copy, text, len);
	if (c->started) {
		install_version(c, version, copy, len, from);
		return true;
	}
	free_version(c->candidate);
	free(c->candidate_value);
	c->candidate = version;
	c->candidate_value = copy;
	c->candidate_len = len;
	return true;
}

/* Ends the startup wait and installs the highest revision received. */
static void finish_startup(struct config_svc *c)
{
	struct config_version *candidate = c->candidate;

	c->started = true;
	c->candidate = NULL;
	if (!candidate) {
		log_event(LOG_WARNING, "config-none",
			  "reason=\"no sheet has been stored yet\"");
		return;
	}
	install_version(c, candidate, c->candidate_value, c->candidate_len,
			"start");
	c->candidate_value = NULL;
}

static void tick(void *arg)
{
	struct config_svc *c = arg;
	uint64_t now = clock_now_us();

	if (!c->started && c->got_reply && now - c->start_us >= STARTUP_WAIT_US)
		finish_startup(c);
	query_peers(c);
	config_apply_tick(c, now);
	if (c->reading || now < c->next_read_us || c->stopping)
		return;
	/*
	 * Before the first reply every entry VM reads the store; afterwards
	 * only one per availability zone watches it.
	 */
	if (!c->got_reply || members_is_store_reader(c->members))
		read_store(c);
}

static void read_store(struct config_svc *c)
{
	char key[256];

	c->reading = true;
	c->read_start_us = clock_now_us();
	snprintf(key, sizeof(key), "waxwing/%s/config",
		 c->settings->node.deployment);
	store_get(c->store, key, false, c->index,
		  c->index ? WATCH_TIMEOUT_US : 0, on_store_read, c);
}

static void schedule_retry(struct config_svc *c, uint64_t now)
{
	c->next_read_us = now + backoff_next(&c->rng, &c->retry_us,
					     CONFIG_RETRY_MIN_US, RETRY_MAX_US);
}

static void on_store_read(void *arg, struct store_reply *reply)
{
	struct config_svc *c = arg;
	uint64_t now = clock_now_us();
	uint64_t index = c->index;

	c->reading = false;
	if (reply->failed) {
		schedule_retry(c, now);
		return;
	}
	c->got_reply = true;
	c->index = reply->kv.index;
	/*
	 * Without an index, reads do not block, and a faulty store may return
	 * from a watch immediately. Delay the next read to avoid a busy loop.
	 */
	if (!c->index ||
	    (c->index == index && now - c->read_start_us < WATCH_MIN_US))
		schedule_retry(c, now);
	else
		c->retry_us = 0;
	/* A watch that times out returns the unchanged value. */
	if (!reply->kv.count ||
	    reply->kv.pairs[0].modify_index == c->last_value_index)
		return;
	c->last_value_index = reply->kv.pairs[0].modify_index;
	config_install_if_newer(c, reply->kv.pairs[0].value,
				reply->kv.pairs[0].value_len, "store");
}

/*
 * Requests the configuration from the member with the highest revision, if
 * higher than ours; otherwise, during startup, from all peers.
 */
static void query_peers(struct config_svc *c)
{
	struct member list[MEMBERS_MAX];
	uint64_t now = clock_now_us(), known = c->revision;
	uint32_t n;
	struct message_writer w;
	const char *newest = NULL;

	if (now - c->last_query_us < PEER_QUERY_INTERVAL_US)
		return;
	n = members_list(c->members, list, MEMBERS_MAX);
	for (uint32_t i = 1; i < n; i++) {
		if (!list[i].live || list[i].config_revision <= known)
			continue;
		known = list[i].config_revision;
		newest = list[i].id;
	}
	if (!newest && c->started)
		return;
	c->last_query_us = now;
	message_writer_init(&w, 1);
	message_put_uint(&w, c->revision);
	if (newest)
		peers_send(c->peers, newest, PEER_CONFIG_GET, w.buffer.data,
			   w.buffer.size);
	else
		peers_broadcast(c->peers, PEER_CONFIG_GET, w.buffer.data,
				w.buffer.size);
	message_writer_free(&w);
}

/*
 * Replies with the current revision and, if it is newer than the peer's, the
 * value.
 */
static void on_config_get(void *arg, const char *sender, const void *body,
			  size_t len)
{
	struct config_svc *c = arg;
	struct message_reader r;
	struct message_writer w;
	uint64_t peer_revision;
	bool newer;

	message_reader_init(&r, body, len);
	peer_revision = message_get_uint(&r);
	newer = !r.malformed && c->revision > peer_revision;
	/* During startup there is no current configuration to reply with. */
	if (!r.malformed && c->started) {
		message_writer_init(&w, 2);
		message_put_uint(&w, c->revision);
		message_put_bin(&w, newer ? c->value : "",
				newer ? c->value_len : 0);
		peers_send(c->peers, sender, PEER_CONFIG, w.buffer.data,
			   w.buffer.size);
		message_writer_free(&w);
	}
	message_reader_free(&r);
}

static void on_config(void *arg, const char *sender, const void *body,
		      size_t len)
{
	struct config_svc *c = arg;
	struct message_reader r;
	const char *value;
	size_t value_len;

	message_reader_init(&r, body, len);
	message_get_uint(&r);
	value = message_get_bin(&r, &value_len);
	if (r.malformed) {
		counter_add(c->unusable, 1);
	} else if (!value_len ||
		   config_install_if_newer(c, value, value_len, sender)) {
		c->got_reply = true;
	}
	message_reader_free(&r);
}

const struct config *config_current(struct config_svc *c)
{
	struct config_version *version = rcu_dereference(c->current);

	return version ? &version->config : NULL;
}

uint64_t config_revision(struct config_svc *c)
{
	return atomic_load(&c->revision);
}

void config_on_change(struct config_svc *c, void (*fn)(void *arg), void *arg)
{
	if (c->listener_count < CONFIG_LISTENERS_MAX)
		c->listeners[c->listener_count++] =
			(struct config_listener){ fn, arg };
}
