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
#define ASK_INTERVAL_US 250000u
#define WATCH_US 10000000u
#define NO_WAIT_US 100000u
#define RETRY_MAX_US 4000000u
/* At the start, time that the answers of the others are waited for. */
#define START_WAIT_US 500000u

static int config_start(struct service *svc, struct kernel *k,
			struct error *err);
static void config_stop(struct service *svc);
static void config_destroy(struct service *svc);
static void begin(void *arg);
static void stop_on_loop(void *arg);
static void tick(void *arg);
static void read_store(struct config_svc *c);
static void on_read(void *arg, struct store_reply *reply);
static void back_off(struct config_svc *c, uint64_t now);
static void put_in_force(struct config_svc *c, struct config_version *b,
			 char *value, size_t len, const char *from);
static void free_box(struct config_version *b);
static void free_box_rcu(struct rcu_head *head);
static void ask_peers(struct config_svc *c);
static void on_get(void *arg, const char *sender, const void *body, size_t len);
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
	c->s = s;
	c->rng.state = clock_wall_us() ^ (uint64_t)getpid() << 40;
	c->in_force = counter_get(GAUGE, "waxwing_config_revision", NULL);
	c->accepted =
		counter_get(COUNTER, "waxwing_config_applied_total", NULL);
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
	loop_call(c->loop, begin, c);
	return 0;
}

static void begin(void *arg)
{
	struct config_svc *c = arg;

	c->begun_us = clock_now_us();
	peers_set_handler(c->peers, PEER_CONFIG_GET, on_get, c);
	peers_set_handler(c->peers, PEER_CONFIG, on_config, c);
	loop_every(c->loop, TICK_INTERVAL_US, tick, c);
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
	free_box(c->current);
	free_box(c->best);
	free(c->value);
	free(c->best_value);
	free(c);
}

static void free_box(struct config_version *b)
{
	if (!b)
		return;
	sheet_free(b->config.sheet);
	free(b->config.json);
	free(b);
}

static void free_box_rcu(struct rcu_head *head)
{
	free_box(caa_container_of(head, struct config_version, rcu));
}

/* Replaces the configuration; readers may still hold the old one. */
static void put_in_force(struct config_svc *c, struct config_version *b,
			 char *value, size_t len, const char *from)
{
	struct config_version *old = c->current;

	rcu_assign_pointer(c->current, b);
	atomic_store(&c->revision, b->config.revision);
	free(c->value);
	c->value = value;
	c->value_len = len;
	counter_set(c->in_force, (long long)b->config.revision);
	log_event(LOG_INFO, "config-in-force",
		  "revision=%" PRIu64 " from=%s kinds=%zu teams=%zu stops=%zu",
		  b->config.revision, from, b->config.sheet->kind_count,
		  b->config.sheet->team_count, b->config.sheet->stop_count);
	for (uint32_t i = 0; i < c->listener_count; i++)
		c->listeners[i].fn(c->listeners[i].arg);
	/* A listener may use the old sheet until it was told of the new one. */
	if (old)
		call_rcu(&old->rcu, free_box_rcu);
}

bool config_offer(struct config_svc *c, const char *text, size_t len,
		  const char *from)
{
	struct config_value v;
	struct error err;
	uint64_t known = c->best ? c->best->config.revision : c->revision;
	struct config_version *b;
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
	b = xcalloc(1, sizeof(*b));
	b->config.revision = v.revision;
	b->config.sheet = v.sheet;
	b->config.json = v.json;
	copy = xcalloc(1, len + 1);
	memcpy(copy, text, len);
	if (c->started) {
		put_in_force(c, b, copy, len, from);
		return true;
	}
	free_box(c->best);
	free(c->best_value);
	c->best = b;
	c->best_value = copy;
	c->best_len = len;
	return true;
}

/* Ends the wait at the start and puts the highest answer in force. */
static void finish_start(struct config_svc *c)
{
	struct config_version *best = c->best;

	c->started = true;
	c->best = NULL;
	if (!best) {
		log_event(LOG_WARNING, "config-none",
			  "reason=\"no sheet was stored yet\"");
		return;
	}
	put_in_force(c, best, c->best_value, c->best_len, "start");
	c->best_value = NULL;
}

static void tick(void *arg)
{
	struct config_svc *c = arg;
	uint64_t now = clock_now_us();

	if (!c->started && c->answered && now - c->begun_us >= START_WAIT_US)
		finish_start(c);
	ask_peers(c);
	config_apply_tick(c, now);
	if (c->reading || now < c->next_read_us || c->stopping)
		return;
	/* Until the start is over everybody asks; then one watches a zone. */
	if (!c->answered || members_is_store_reader(c->members))
		read_store(c);
}

static void read_store(struct config_svc *c)
{
	char key[256];

	c->reading = true;
	c->read_us = clock_now_us();
	snprintf(key, sizeof(key), "waxwing/%s/config", c->s->node.deployment);
	store_get(c->store, key, false, c->index, c->index ? WATCH_US : 0,
		  on_read, c);
}

static void back_off(struct config_svc *c, uint64_t now)
{
	c->next_read_us = now + backoff_next(&c->rng, &c->retry_us,
					     CONFIG_RETRY_MIN_US, RETRY_MAX_US);
}

static void on_read(void *arg, struct store_reply *reply)
{
	struct config_svc *c = arg;
	uint64_t now = clock_now_us();
	uint64_t index = c->index;

	c->reading = false;
	if (reply->failed) {
		back_off(c, now);
		return;
	}
	c->answered = true;
	c->index = reply->kv.index;
	/*
	 * Without an index there is no watch, and a broken store may answer a
	 * watch at once; neither may be read again without a pause.
	 */
	if (!c->index || (c->index == index && now - c->read_us < NO_WAIT_US))
		back_off(c, now);
	else
		c->retry_us = 0;
	/* A watch that ends without a change answers with the same value. */
	if (!reply->kv.count ||
	    reply->kv.pairs[0].modify_index == c->seen_index)
		return;
	c->seen_index = reply->kv.pairs[0].modify_index;
	config_offer(c, reply->kv.pairs[0].value, reply->kv.pairs[0].value_len,
		     "store");
}

/* Asks peers that are ahead; before any answer, everybody. */
static void ask_peers(struct config_svc *c)
{
	struct member list[MEMBERS_MAX];
	uint64_t now = clock_now_us(), known = c->revision;
	uint32_t n;
	struct message_writer w;
	const char *ahead = NULL;

	if (now - c->asked_us < ASK_INTERVAL_US)
		return;
	n = members_list(c->members, list, MEMBERS_MAX);
	for (uint32_t i = 1; i < n; i++) {
		if (!list[i].live || list[i].config_revision <= known)
			continue;
		known = list[i].config_revision;
		ahead = list[i].id;
	}
	if (!ahead && c->started)
		return;
	c->asked_us = now;
	message_writer_init(&w, 1);
	message_put_uint(&w, c->revision);
	if (ahead)
		peers_send(c->peers, ahead, PEER_CONFIG_GET, w.buffer.data,
			   w.buffer.size);
	else
		peers_broadcast(c->peers, PEER_CONFIG_GET, w.buffer.data,
				w.buffer.size);
	message_writer_free(&w);
}

/* Answers with the value in force when it is newer, else with the revision. */
static void on_get(void *arg, const char *sender, const void *body, size_t len)
{
	struct config_svc *c = arg;
	struct message_reader r;
	struct message_writer w;
	uint64_t theirs;
	bool newer;

	message_reader_init(&r, body, len);
	theirs = message_get_uint(&r);
	newer = !r.bad && c->revision > theirs;
	/* Who has not started has no answer to give. */
	if (!r.bad && c->started) {
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
	if (r.bad) {
		counter_add(c->unusable, 1);
	} else if (!value_len || config_offer(c, value, value_len, sender)) {
		c->answered = true;
	}
	message_reader_free(&r);
}

const struct config *config_read(struct config_svc *c)
{
	struct config_version *b = rcu_dereference(c->current);

	return b ? &b->config : NULL;
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
