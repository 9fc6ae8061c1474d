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
 * One heartbeat in 20, every 10 s, lists the addresses of live peers. Listing
 * them in one of 4 takes more than 12 KB/s per peer with 22 entry VMs.
 */
#define HEARTBEATS_PER_ADDRESS_LIST 20
#define ADDRESSES_MAX 32
/* Age of the last heartbeat at which an unregistered peer is removed. */
#define PEER_EXPIRY_US 60000000u
/* Time after a process pause for which queued heartbeats may be old. */
#define PAUSE_SETTLE_US 500000u
/* After a longer gap between ticks, old heartbeats may be queued as well. */
#define TICK_GAP_MAX_US 250000u

static int members_start(struct service *svc, struct kernel *k,
			 struct error *err);
static void members_drain(struct service *svc);
static void members_destroy(struct service *svc);
static void start_tick(void *arg);
static void begin_drain(void *arg);
static void tick(void *arg);
static void resume(struct members *m, uint64_t now, uint64_t paused_us);
static void check_pause(struct members *m, uint64_t now);
static void send_heartbeat(struct members *m);
static void put_addresses(struct members *m, struct message_writer *w);
static void put_shards(struct members *m, struct message_writer *w);
static void on_heartbeat(void *arg, const char *sender, const void *body,
			 size_t len);
static void connect_addresses(struct members *m, struct message_reader *r);
static void read_shards(struct peer *p, struct message_reader *r);
static struct peer *add_peer(struct members *m, const char *id);
static void update_store_clients(struct members *m, uint64_t now);
static void check_liveness(struct members *m, uint64_t now);
static void remove_peer(struct members *m, struct peer *p);
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
	seats_format_name(m->seat_name, s->node.id, m->started_us);
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
	loop_call(m->loop, start_tick, m);
	return 0;
}

static void start_tick(void *arg)
{
	struct members *m = arg;

	peers_set_handler(m->peers, PEER_HEARTBEAT, on_heartbeat, m);
	seats_init(m);
	atomic_store(&m->last_tick_us, clock_now_us());
	loop_add_timer(m->loop, TICK_INTERVAL_US, tick, m);
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
		members_read_registered(m, now);
	}
	seats_tick(m, now);
}

static void resume(struct members *m, uint64_t now, uint64_t paused_us)
{
	counter_add(m->pauses, 1);
	log_event(LOG_WARNING, "pause-detected", "ms=%" PRIu64,
		  paused_us / 1000);
	m->resumed_us = now;
	/* Heartbeats couldn't be received, so peers don't count as silent. */
	for (uint32_t i = 0; i < m->peer_count; i++)
		m->peer_table[i].member.last_heartbeat_us += paused_us;
	seats_revalidate(m);
}

/*
 * A process that was paused longer than its lease may use an outdated split, so
 * its seat is withheld until the store or a peer confirms the revision.
 */
static void check_pause(struct members *m, uint64_t now)
{
	uint64_t last = atomic_load(&m->last_tick_us);

	if (now - last > TICK_GAP_MAX_US)
		m->running_since_us = now;
	if (now - last > m->s->platform.lease_us)
		resume(m, now, now - last);
	/* Until then members_seat() withholds the seat itself. */
	atomic_store(&m->last_tick_us, now);
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

/* Appends the addresses of live peers, or an empty list in most heartbeats. */
static void put_addresses(struct members *m, struct message_writer *w)
{
	uint32_t count = 0;
	char text[64];

	if (m->heartbeats % HEARTBEATS_PER_ADDRESS_LIST == 0)
		for (uint32_t i = 0; i < m->peer_count; i++)
			count += m->peer_table[i].member.live;
	if (count > ADDRESSES_MAX)
		count = ADDRESSES_MAX;
	message_put_array(w, count);
	for (uint32_t i = 0; i < m->peer_count && count; i++) {
		if (!m->peer_table[i].member.live)
			continue;
		members_format_address(&m->peer_table[i].member.peer_address,
				       text);
		message_put_str(w, text);
		count--;
	}
}

/* Appends one array in which shard names and epochs alternate. */
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
	message_put_uint(&w, m->seats_modify_index);
	message_put_uint(&w, m->draining);
	put_shards(m, &w);
	put_addresses(m, &w);
	message_put_uint(&w, members_store_reachable(m));
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
	p = &m->peer_table[m->peer_count++];
	memset(p, 0, sizeof(*p));
	snprintf(p->member.id, sizeof(p->member.id), "%s", id);
	return p;
}

static struct peer *find_peer(struct members *m, const char *id)
{
	for (uint32_t i = 0; i < m->peer_count; i++)
		if (!strcmp(m->peer_table[i].member.id, id))
			return &m->peer_table[i];
	return NULL;
}

void members_connect(struct members *m, const struct settings_address *a)
{
	/* Behind address translation only the seed addresses are usable. */
	if (m->s->peers.discovery == DISCOVERY_ALL)
		peers_connect(m->peers, a);
}

static void connect_addresses(struct members *m, struct message_reader *r)
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

static void read_shards(struct peer *p, struct message_reader *r)
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

/*
 * Returns whether the process has run without a gap for long enough that no
 * heartbeat is from before its last pause.
 */
static bool heartbeats_fresh(struct members *m, uint64_t now)
{
	return now - atomic_load(&m->last_tick_us) <= TICK_GAP_MAX_US &&
	       now - m->running_since_us > PAUSE_SETTLE_US;
}

/* Adds or updates the sender's entry in the peer table. */
static void on_heartbeat(void *arg, const char *sender, const void *body,
			 size_t len)
{
	struct members *m = arg;
	struct member received = { 0 };
	struct message_reader r;
	struct settings_address address;
	char text[64], operator_text[64];
	uint64_t format, seats_index, now = clock_now_us();
	struct peer *p;
	bool was_live;

	message_reader_init(&r, body, len);
	format = message_get_uint(&r);
	message_get_str(&r, received.availability_zone,
			sizeof(received.availability_zone));
	message_get_str(&r, text, sizeof(text));
	message_get_str(&r, operator_text, sizeof(operator_text));
	received.started_us = message_get_uint(&r);
	received.config_revision = message_get_uint(&r);
	seats_index = message_get_uint(&r);
	received.draining = message_get_uint(&r) != 0;
	if (r.malformed || format < HEARTBEAT_FORMAT ||
	    !members_parse_address(text, &address) ||
	    !members_parse_address(operator_text, &received.operator_address)) {
		counter_add(m->malformed, 1);
		goto out;
	}
	p = find_peer(m, sender);
	if (!p)
		p = add_peer(m, sender);
	if (!p)
		goto out;
	was_live = p->member.live;
	memcpy(received.id, p->member.id, sizeof(received.id));
	received.peer_address = address;
	received.last_heartbeat_us = now;
	received.live = true;
	p->member = received;
	read_shards(p, &r);
	connect_addresses(m, &r);
	p->member.store_reachable = message_get_uint(&r) != 0;
	if (m->s->peers.discovery == DISCOVERY_ALL)
		peers_set_address(m->peers, sender, &address);
	if (!was_live) {
		log_event(LOG_INFO, "member-up", "member=%s zone=%s address=%s",
			  sender, received.availability_zone, text);
		check_liveness(m, now);
	}
	if (!strcmp(received.availability_zone, m->s->node.availability_zone))
		seats_on_peer_index(m, seats_index, heartbeats_fresh(m, now));
out:
	message_reader_free(&r);
}

static void remove_peer(struct members *m, struct peer *p)
{
	log_event(LOG_INFO, "member-forgotten", "member=%s", p->member.id);
	peers_disconnect(m->peers, &p->member.peer_address);
	*p = m->peer_table[--m->peer_count];
}

bool members_store_reachable(struct members *m)
{
	uint64_t contact = store_last_contact_us(m->store);

	return contact &&
	       clock_now_us() - contact < 2 * m->s->platform.lease_us;
}

/*
 * Updates the number of processes that share the store's call budget. Silent
 * members count until they are removed, because at the end of a network outage
 * all members call the store before the first heartbeats arrive. For two lease
 * times after its start, a process keeps the store client's default, because it
 * may not have received all heartbeats yet.
 */
static void update_store_clients(struct members *m, uint64_t now)
{
	uint32_t clients = m->peer_count + 1;

	if (m->registered_count > clients)
		clients = m->registered_count;
	if (clients == m->store_clients ||
	    now - m->started_boot_us < 2 * m->s->platform.lease_us)
		return;
	store_set_entry_vm_count(m->store, clients);
	m->store_clients = clients;
}

/* Marks silent members as down and removes expired ones. */
static void check_liveness(struct members *m, uint64_t now)
{
	uint64_t limit_us = 2 * m->s->platform.lease_us;
	uint32_t live = 1;

	for (uint32_t i = 0; i < m->peer_count; i++) {
		struct peer *p = &m->peer_table[i];
		uint64_t silent_us = now - p->member.last_heartbeat_us;

		if (p->member.live && silent_us > limit_us) {
			p->member.live = false;
			log_event(LOG_WARNING, "member-down", "member=%s",
				  p->member.id);
		}
		if (silent_us > PEER_EXPIRY_US && m->list_read_us &&
		    !members_is_registered(m, p->member.id)) {
			remove_peer(m, p);
			i--;
			continue;
		}
		live += p->member.live;
	}
	counter_set(m->live, live);
	update_store_clients(m, now);
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
	out->last_heartbeat_us = clock_now_us();
	if (kernel_find(m->kernel, "config"))
		out->config_revision = config_revision(config_find(m->kernel));
	out->draining = m->draining;
	out->store_reachable = members_store_reachable(m);
	out->live = true;
}

uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	uint32_t n = 0;

	if (max)
		fill_self(m, &out[n++]);
	for (uint32_t i = 0; i < m->peer_count && n < max; i++)
		out[n++] = m->peer_table[i].member;
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
		if (m->peer_table[i].member.live)
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
		const struct peer *p = &m->peer_table[i];

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
