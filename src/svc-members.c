#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "log.h"
#include "members-internal.h"
#include "message.h"
#include "svc-config.h"
#include "svc-flow.h"

#define HEARTBEAT_FORMAT 1
#define HEARTBEAT_INTERVAL_US 500000u
#define TICK_INTERVAL_US 50000u
/*
 * Addresses of others go into each twentieth heartbeat only, every 10 s: in
 * each fourth one they would take a peer of 22 entry VMs above 12 KB/s.
 */
#define ADDRESSES_EVERY 20
#define ADDRESSES_MAX 32
/* A silent member whose key is gone is forgotten after this time. */
#define FORGET_AFTER_US 60000000u
/* Older heartbeats may still be queued when a paused process continues. */
#define PAUSE_SETTLE_US 500000u

static int members_start(struct service *svc, struct kernel *k,
			 struct error *err);
static void members_drain(struct service *svc);
static void members_destroy(struct service *svc);
static void begin(void *arg);
static void begin_drain(void *arg);
static void tick(void *arg);
static void check_pause(struct members *m, uint64_t now);
static void send_heartbeat(struct members *m);
static void put_addresses(struct members *m, struct message_writer *w);
static void put_shards(struct members *m, struct message_writer *w);
static void on_heartbeat(void *arg, const char *sender, const void *body,
			 size_t len);
static void learn_addresses(struct members *m, struct message_reader *r);
static void learn_shards(struct peer *p, struct message_reader *r);
static struct peer *add_peer(struct members *m, const char *id);
static void share_budget(struct members *m, uint64_t now);
static void check_liveness(struct members *m, uint64_t now);
static void forget(struct members *m, struct peer *p);
static void fill_self(struct members *m, struct member *out);

static const struct service_ops members_ops = {
	.name = "members",
	.start = members_start,
	.drain = members_drain,
	.destroy = members_destroy,
};

struct service *members_create(const struct settings *s)
{
	struct members *m = xcalloc(1, sizeof(*m));

	m->service.ops = &members_ops;
	m->s = s;
	m->started_us = clock_wall_us();
	m->started_boot_us = clock_now_us();
	m->rng.state = m->started_us ^ (uint64_t)getpid() << 40;
	seats_name(m->seat_name, s->node.id, m->started_us);
	pthread_mutex_init(&m->lock, NULL);
	atomic_init(&m->last_tick_us, m->started_boot_us);
	m->live = counter_get(GAUGE, "waxwing_members_live", NULL);
	m->pauses = counter_get(COUNTER, "waxwing_pauses_total", NULL);
	m->malformed =
		counter_get(COUNTER, "waxwing_members_malformed_total", NULL);
	m->seat_count = counter_get(GAUGE, "waxwing_seats", NULL);
	m->seat_revision = counter_get(GAUGE, "waxwing_seats_revision", NULL);
	m->seat_confirmed = counter_get(GAUGE, "waxwing_seats_confirmed", NULL);
	m->seat_changes =
		counter_get(COUNTER, "waxwing_seat_changes_total", NULL);
	m->seat_conflicts =
		counter_get(COUNTER, "waxwing_seat_conflicts_total", NULL);
	return &m->service;
}

struct members *members_find(struct kernel *k)
{
	return (struct members *)kernel_find(k, "members");
}

static int members_start(struct service *svc, struct kernel *k,
			 struct error *err)
{
	struct members *m = (struct members *)svc;

	(void)err;
	m->kernel = k;
	m->loop = loop_find(k);
	m->store = store_find(k);
	m->peers = peers_find(k);
	loop_call(m->loop, begin, m);
	return 0;
}

static void begin(void *arg)
{
	struct members *m = arg;

	peers_handle(m->peers, PEER_HEARTBEAT, on_heartbeat, m);
	seats_begin(m);
	atomic_store(&m->last_tick_us, clock_now_us());
	loop_every(m->loop, TICK_INTERVAL_US, tick, m);
}

static void members_drain(struct service *svc)
{
	struct members *m = (struct members *)svc;

	loop_call(m->loop, begin_drain, m);
}

static void begin_drain(void *arg)
{
	struct members *m = arg;

	m->draining = true;
	send_heartbeat(m);
}

static void members_destroy(struct service *svc)
{
	struct members *m = (struct members *)svc;

	pthread_mutex_destroy(&m->lock);
	free(m);
}

static void tick(void *arg)
{
	struct members *m = arg;
	uint64_t now = clock_now_us();

	check_pause(m, now);
	if (now >= m->next_heartbeat_us) {
		m->next_heartbeat_us = now + HEARTBEAT_INTERVAL_US;
		send_heartbeat(m);
		check_liveness(m, now);
		members_register(m, now);
		members_read_list(m, now);
	}
	seats_tick(m, now);
}

/*
 * A process that was stopped longer than its lease may hold an old split, so
 * its seat is void until someone confirms the revision.
 */
static void check_pause(struct members *m, uint64_t now)
{
	uint64_t last = atomic_exchange(&m->last_tick_us, now);

	if (now - last <= m->s->platform.lease_us)
		return;
	counter_add(m->pauses, 1);
	log_event(LOG_WARNING, "pause-detected", "ms=%" PRIu64,
		  (now - last) / 1000);
	m->resumed_us = now;
	/* The peers were not silent; nobody listened. */
	for (uint32_t i = 0; i < m->peer_count; i++)
		m->table[i].member.last_heard_us += now - last;
	seats_revalidate(m);
}

void members_format_address(const struct settings_address *a, char out[64])
{
	if (strchr(a->host, ':'))
		snprintf(out, 64, "[%s]:%u", a->host, a->port);
	else
		snprintf(out, 64, "%s:%u", a->host, a->port);
}

bool members_parse_address(const char *text, struct settings_address *a)
{
	const char *colon = strrchr(text, ':');
	size_t len;
	char *end;
	unsigned long port;

	if (!colon)
		return false;
	len = (size_t)(colon - text);
	if (*text == '[' && len > 2 && text[len - 1] == ']') {
		text++;
		len -= 2;
	}
	port = strtoul(colon + 1, &end, 10);
	if (!len || len >= sizeof(a->host) || *end || !port || port > 65535)
		return false;
	memcpy(a->host, text, len);
	a->host[len] = '\0';
	a->port = (uint16_t)port;
	return true;
}

/* Appends the addresses of live peers, in some heartbeats only. */
static void put_addresses(struct members *m, struct message_writer *w)
{
	uint32_t count = 0;
	char text[64];

	if (m->heartbeats % ADDRESSES_EVERY == 0)
		for (uint32_t i = 0; i < m->peer_count; i++)
			count += m->table[i].member.live;
	if (count > ADDRESSES_MAX)
		count = ADDRESSES_MAX;
	message_put_array(w, count);
	for (uint32_t i = 0; i < m->peer_count && count; i++) {
		if (!m->table[i].member.live)
			continue;
		members_format_address(&m->table[i].member.peer_address, text);
		message_put_str(w, text);
		count--;
	}
}

/* Appends the owned shards and their epochs, alternating. */
static void put_shards(struct members *m, struct message_writer *w)
{
	char names[MEMBER_SHARDS_MAX][64];
	uint64_t epochs[MEMBER_SHARDS_MAX];
	uint32_t count = 0;

	if (kernel_find(m->kernel, "owner"))
		count = owner_list_shards(owner_find(m->kernel), names, epochs,
					  MEMBER_SHARDS_MAX);
	message_put_array(w, count * 2);
	for (uint32_t i = 0; i < count; i++) {
		message_put_str(w, names[i]);
		message_put_uint(w, epochs[i]);
	}
}

static void send_heartbeat(struct members *m)
{
	struct config_svc *config = kernel_find(m->kernel, "config")
					    ? config_find(m->kernel)
					    : NULL;
	struct message_writer w;
	char text[64];

	message_writer_init(&w, 11);
	message_put_uint(&w, HEARTBEAT_FORMAT);
	message_put_str(&w, m->s->node.availability_zone);
	members_format_address(&m->s->peers.listen, text);
	message_put_str(&w, text);
	members_format_address(&m->s->operator.listen, text);
	message_put_str(&w, text);
	message_put_uint(&w, m->started_us);
	message_put_uint(&w, config ? config_revision(config) : 0);
	message_put_uint(&w, m->seats_index);
	message_put_uint(&w, m->draining);
	put_shards(m, &w);
	put_addresses(m, &w);
	message_put_uint(&w, members_reach_store(m));
	m->heartbeats++;
	peers_broadcast(m->peers, PEER_HEARTBEAT, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

static struct peer *add_peer(struct members *m, const char *id)
{
	struct peer *p;

	if (m->peer_count == MEMBERS_MAX - 1) {
		log_event(LOG_WARNING, "member-table-full", "limit=%d",
			  MEMBERS_MAX);
		return NULL;
	}
	p = &m->table[m->peer_count++];
	memset(p, 0, sizeof(*p));
	snprintf(p->member.id, sizeof(p->member.id), "%s", id);
	return p;
}

static struct peer *find_peer(struct members *m, const char *id)
{
	for (uint32_t i = 0; i < m->peer_count; i++)
		if (!strcmp(m->table[i].member.id, id))
			return &m->table[i];
	return NULL;
}

void members_connect(struct members *m, const struct settings_address *a)
{
	/* Links that translate addresses make the named ones useless. */
	if (m->s->peers.discovery == DISCOVERY_ALL)
		peers_connect(m->peers, a);
}

static void learn_addresses(struct members *m, struct message_reader *r)
{
	struct message_reader list = message_get_array(r);

	while (!message_at_end(&list)) {
		struct settings_address a;
		char text[64];

		message_get_str(&list, text, sizeof(text));
		if (members_parse_address(text, &a))
			members_connect(m, &a);
	}
}

static void learn_shards(struct peer *p, struct message_reader *r)
{
	struct message_reader list = message_get_array(r);

	p->shard_count = 0;
	while (!message_at_end(&list) && p->shard_count < MEMBER_SHARDS_MAX) {
		struct owned_shard *o = &p->shards[p->shard_count];

		message_get_str(&list, o->name, sizeof(o->name));
		o->epoch = message_get_uint(&list);
		if (!list.malformed)
			p->shard_count++;
	}
}

/* Takes over what a heartbeat tells of its sender. */
static void on_heartbeat(void *arg, const char *sender, const void *body,
			 size_t len)
{
	struct members *m = arg;
	struct member heard = { 0 };
	struct message_reader r;
	struct settings_address address;
	char text[64], operator_text[64];
	uint64_t format, seats_index, now = clock_now_us();
	struct peer *p;
	bool was_live;

	message_reader_init(&r, body, len);
	format = message_get_uint(&r);
	message_get_str(&r, heard.availability_zone,
			sizeof(heard.availability_zone));
	message_get_str(&r, text, sizeof(text));
	message_get_str(&r, operator_text, sizeof(operator_text));
	heard.started_us = message_get_uint(&r);
	heard.config_revision = message_get_uint(&r);
	seats_index = message_get_uint(&r);
	heard.draining = message_get_uint(&r) != 0;
	if (r.malformed || format < HEARTBEAT_FORMAT ||
	    !members_parse_address(text, &address) ||
	    !members_parse_address(operator_text, &heard.operator_address)) {
		counter_add(m->malformed, 1);
		goto out;
	}
	p = find_peer(m, sender);
	if (!p)
		p = add_peer(m, sender);
	if (!p)
		goto out;
	was_live = p->member.live;
	memcpy(heard.id, p->member.id, sizeof(heard.id));
	heard.peer_address = address;
	heard.last_heard_us = now;
	heard.live = true;
	p->member = heard;
	learn_shards(p, &r);
	learn_addresses(m, &r);
	p->member.store_reached = message_get_uint(&r) != 0;
	if (m->s->peers.discovery == DISCOVERY_ALL)
		peers_name(m->peers, sender, &address);
	if (!was_live) {
		log_event(LOG_INFO, "member-up", "member=%s zone=%s address=%s",
			  sender, heard.availability_zone, text);
		check_liveness(m, now);
	}
	if (!strcmp(heard.availability_zone, m->s->node.availability_zone))
		seats_heard(m, seats_index,
			    now - m->resumed_us > PAUSE_SETTLE_US);
out:
	message_reader_free(&r);
}

/* Forgets a member that has been gone for long. */
static void forget(struct members *m, struct peer *p)
{
	log_event(LOG_INFO, "member-forgotten", "member=%s", p->member.id);
	peers_disconnect(m->peers, &p->member.peer_address);
	*p = m->table[--m->peer_count];
}

bool members_reach_store(struct members *m)
{
	uint64_t contact = store_last_contact_us(m->store);

	return contact &&
	       clock_now_us() - contact < 2 * m->s->platform.lease_us;
}

/*
 * Tells the store how many share its budget. Silent members count until they
 * are forgotten: when links heal at the end of an outage, everybody calls the
 * store before the first heartbeats. A fresh process keeps the store's own
 * assumption until it has heard its peers.
 */
static void share_budget(struct members *m, uint64_t now)
{
	uint32_t sharers = m->peer_count + 1;

	if (m->listed_count > sharers)
		sharers = m->listed_count;
	if (sharers == m->sharers ||
	    now - m->started_boot_us < 2 * m->s->platform.lease_us)
		return;
	store_set_sharers(m->store, sharers);
	m->sharers = sharers;
}

/* Notes who fell silent, and forgets who has been gone for long. */
static void check_liveness(struct members *m, uint64_t now)
{
	uint64_t limit = 2 * m->s->platform.lease_us;
	uint32_t live = 1;

	for (uint32_t i = 0; i < m->peer_count; i++) {
		struct peer *p = &m->table[i];
		uint64_t silent = now - p->member.last_heard_us;

		if (p->member.live && silent > limit) {
			p->member.live = false;
			log_event(LOG_WARNING, "member-down", "member=%s",
				  p->member.id);
		}
		if (silent > FORGET_AFTER_US && m->list_read_us &&
		    !members_registered(m, p->member.id)) {
			forget(m, p);
			i--;
			continue;
		}
		live += p->member.live;
	}
	counter_set(m->live, live);
	share_budget(m, now);
}

static void fill_self(struct members *m, struct member *out)
{
	memset(out, 0, sizeof(*out));
	snprintf(out->id, sizeof(out->id), "%s", m->s->node.id);
	snprintf(out->availability_zone, sizeof(out->availability_zone), "%s",
		 m->s->node.availability_zone);
	out->peer_address = m->s->peers.listen;
	out->operator_address = m->s->operator.listen;
	out->started_us = m->started_us;
	out->last_heard_us = clock_now_us();
	if (kernel_find(m->kernel, "config"))
		out->config_revision = config_revision(config_find(m->kernel));
	out->draining = m->draining;
	out->store_reached = members_reach_store(m);
	out->live = true;
}

uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	uint32_t n = 0;

	if (max)
		fill_self(m, &out[n++]);
	for (uint32_t i = 0; i < m->peer_count && n < max; i++)
		out[n++] = m->table[i].member;
	return n;
}

const struct member *members_get(struct members *m, const char *id)
{
	struct peer *p = find_peer(m, id);

	if (!strcmp(id, m->s->node.id)) {
		fill_self(m, &m->self);
		return &m->self;
	}
	return p ? &p->member : NULL;
}

bool members_have_peers(struct members *m)
{
	for (uint32_t i = 0; i < m->peer_count; i++)
		if (m->table[i].member.live)
			return true;
	return false;
}

void members_shard_owner(struct members *m, const char *shard, char id[64],
			 uint64_t *epoch)
{
	char names[MEMBER_SHARDS_MAX][64];
	uint64_t epochs[MEMBER_SHARDS_MAX];
	uint32_t own = 0;

	id[0] = '\0';
	*epoch = 0;
	if (kernel_find(m->kernel, "owner"))
		own = owner_list_shards(owner_find(m->kernel), names, epochs,
					MEMBER_SHARDS_MAX);
	for (uint32_t i = 0; i < own; i++) {
		if (strcmp(names[i], shard))
			continue;
		*epoch = epochs[i];
		snprintf(id, 64, "%s", m->s->node.id);
	}
	for (uint32_t i = 0; i < m->peer_count; i++) {
		const struct peer *p = &m->table[i];

		for (uint32_t j = 0; p->member.live && j < p->shard_count;
		     j++) {
			if (strcmp(p->shards[j].name, shard) ||
			    p->shards[j].epoch <= *epoch)
				continue;
			*epoch = p->shards[j].epoch;
			snprintf(id, 64, "%s", p->member.id);
		}
	}
}
