#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "log.h"
#include "message.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-peers.h"
#include "svc-store.h"
#include "svc-targets.h"

#define READ_INTERVAL_US 1000000u
#define TICK_INTERVAL_US 250000u
/* Without an update for this time, a list is requested from the peers. */
#define STALE_AFTER_US 3000000u
#define REQUEST_INTERVAL_US 1000000u
#define VMS_MAX 20000u
/*
 * VMs are marked as leaving this long before a planned stop. It covers the
 * longest request deadline (30 s), so that requests sent before the mark can
 * finish, and a few seconds until every process uses the new list.
 */
#define STOP_LEAD_US 36000000u
#define LISTENERS_MAX 8

struct listener {
	void (*fn)(void *arg);
	void *arg;
};

struct targets {
	struct service service;
	const struct settings *s;
	struct kernel *kernel;
	struct loop *loop;
	struct store *store;
	struct peers *peers;
	struct members *members;
	struct vm_list platform_list; /* as read from the platform */
	struct vm_list list;	      /* with planned stops marked */
	uint64_t version;	      /* wall clock time of the read */
	uint64_t hash;		      /* of platform_list */
	uint64_t updated_us;	      /* when the version last increased */
	uint64_t last_read_us;
	uint64_t requested_us;
	bool read_pending;
	struct listener listeners[LISTENERS_MAX];
	uint32_t listener_count;
	struct counter *vm_count;
	struct counter *changes;
	struct counter *failures;
	struct counter *malformed;
};

static int targets_start(struct service *svc, struct kernel *k,
			 struct error *err);
static void targets_destroy(struct service *svc);
static void start_on_loop(void *arg);
static void tick(void *arg);
static void on_list_read(void *arg, struct store_reply *reply);
static void apply_list(struct targets *t, struct vm_list *l, uint64_t version);
static void refresh_list(struct targets *t);
static bool is_stopping(const struct sheet *s, const struct vm *v,
			uint64_t now_us);
static uint64_t hash_list(const struct vm_list *l);
static int compare_vms(const void *a, const void *b);
static void send_list(struct targets *t, const char *to);
static void send_version(struct targets *t);
static void send_version_to(struct targets *t, const char *to);
static void put_vm(struct message_writer *w, const struct vm *v);
static void get_vm(struct message_reader *r, struct vm *v);
static void on_targets(void *arg, const char *sender, const void *body,
		       size_t len);
static void on_targets_get(void *arg, const char *sender, const void *body,
			   size_t len);
static void request_list(struct targets *t, const char *peer);
static void for_each_zone_peer(struct targets *t,
			       void (*fn)(struct targets *t, const char *id));

static const struct service_ops targets_ops = {
	.name = "targets",
	.start = targets_start,
	.destroy = targets_destroy,
};

struct service *targets_create(const struct settings *s)
{
	struct targets *t = xcalloc(1, sizeof(*t));

	t->service.ops = &targets_ops;
	t->s = s;
	t->vm_count = counter_get(GAUGE, "waxwing_targets", NULL);
	t->changes =
		counter_get(COUNTER, "waxwing_targets_changes_total", NULL);
	t->failures =
		counter_get(COUNTER, "waxwing_targets_failures_total", NULL);
	t->malformed =
		counter_get(COUNTER, "waxwing_targets_malformed_total", NULL);
	return &t->service;
}

struct targets *targets_find(struct kernel *k)
{
	return (struct targets *)kernel_find(k, "targets");
}

static int targets_start(struct service *svc, struct kernel *k,
			 struct error *err)
{
	struct targets *t = (struct targets *)svc;

	(void)err;
	t->kernel = k;
	t->loop = loop_find(k);
	t->store = store_find(k);
	t->peers = peers_find(k);
	t->members = members_find(k);
	loop_call(t->loop, start_on_loop, t);
	return 0;
}

static void start_on_loop(void *arg)
{
	struct targets *t = arg;

	peers_set_handler(t->peers, PEER_TARGETS, on_targets, t);
	peers_set_handler(t->peers, PEER_TARGETS_GET, on_targets_get, t);
	loop_add_timer(t->loop, TICK_INTERVAL_US, tick, t);
	tick(t);
}

static void targets_destroy(struct service *svc)
{
	struct targets *t = (struct targets *)svc;

	free(t->platform_list.vms);
	free(t->list.vms);
	free(t);
}

static void tick(void *arg)
{
	struct targets *t = arg;
	uint64_t now = clock_now_us();
	bool stale = now - t->updated_us > STALE_AFTER_US || !t->version;

	refresh_list(t);
	if (stale && now - t->requested_us > REQUEST_INTERVAL_US) {
		t->requested_us = now;
		request_list(t, NULL);
	}
	if (t->read_pending || now - t->last_read_us < READ_INTERVAL_US ||
	    !members_is_store_reader(t->members))
		return;
	t->read_pending = true;
	t->last_read_us = now;
	store_list_vms(t->store, on_list_read, t);
}

/* Takes ownership of the list if it changed; otherwise the reply frees it. */
static void on_list_read(void *arg, struct store_reply *reply)
{
	struct targets *t = arg;
	uint64_t version = clock_wall_us();

	t->read_pending = false;
	if (reply->failed) {
		counter_add(t->failures, 1);
		return;
	}
	if (version <= t->version)
		version = t->version + 1;
	apply_list(t, &reply->vms, version);
}

static int compare_vms(const void *a, const void *b)
{
	return strcmp(((const struct vm *)a)->id, ((const struct vm *)b)->id);
}

/* Hashes the encoded VMs, because the structs contain uninitialized bytes. */
static uint64_t hash_list(const struct vm_list *l)
{
	struct message_writer w;
	uint64_t hash;

	message_writer_init(&w, (uint32_t)l->count);
	for (size_t i = 0; i < l->count; i++)
		put_vm(&w, &l->vms[i]);
	hash = XXH3_64bits(w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	return hash;
}

/*
 * Makes the list current. The reader sends the full list to its peers after a
 * change, and only the new version otherwise.
 */
static void apply_list(struct targets *t, struct vm_list *l, uint64_t version)
{
	uint64_t hash;
	bool first = !t->version;

	if (l->count > 1)
		qsort(l->vms, l->count, sizeof(*l->vms), compare_vms);
	hash = hash_list(l);
	t->version = version;
	t->updated_us = clock_now_us();
	if (hash != t->hash || first) {
		t->hash = hash;
		free(t->platform_list.vms);
		t->platform_list = *l;
		memset(l, 0, sizeof(*l));
		refresh_list(t);
		if (members_is_store_reader(t->members))
			for_each_zone_peer(t, send_list);
	} else if (members_is_store_reader(t->members)) {
		send_version(t);
	}
}

static bool is_stopping(const struct sheet *s, const struct vm *v,
			uint64_t now_us)
{
	for (size_t i = 0; i < s->stop_count; i++) {
		const struct sheet_stop *stop = &s->stops[i];
		const char *name = stop->scope == STOP_VM ? v->id
				   : stop->scope == STOP_RACK
					   ? v->rack
					   : v->availability_zone;

		if (now_us + STOP_LEAD_US >= stop->start_us &&
		    now_us < stop->start_us + stop->duration_us &&
		    !strcmp(name, stop->target))
			return true;
	}
	return false;
}

/* Rebuilds the list with planned stops marked; notifies listeners on change. */
static void refresh_list(struct targets *t)
{
	struct config_svc *config = kernel_find(t->kernel, "config")
					    ? config_find(t->kernel)
					    : NULL;
	const struct config *c;
	struct vm_list next = { NULL, t->platform_list.count };
	uint64_t now = clock_wall_us();
	bool changed;

	next.vms = xcalloc(next.count, sizeof(*next.vms));
	if (next.count)
		memcpy(next.vms, t->platform_list.vms,
		       next.count * sizeof(*next.vms));
	c = config ? config_current(config) : NULL;
	for (size_t i = 0; c && c->sheet->stop_count && i < next.count; i++)
		next.vms[i].leaving |= is_stopping(c->sheet, &next.vms[i], now);
	changed = next.count != t->list.count ||
		  (next.count && memcmp(next.vms, t->list.vms,
					next.count * sizeof(*next.vms)));
	if (!changed) {
		free(next.vms);
		return;
	}
	free(t->list.vms);
	t->list = next;
	counter_set(t->vm_count, (long long)next.count);
	counter_add(t->changes, 1);
	log_event(LOG_INFO, "targets-changed", "version=%" PRIu64 " vms=%zu",
		  t->version, next.count);
	for (uint32_t i = 0; i < t->listener_count; i++)
		t->listeners[i].fn(t->listeners[i].arg);
}

static void put_vm(struct message_writer *w, const struct vm *v)
{
	message_put_array(w, 12);
	message_put_str(w, v->id);
	message_put_uint(w, v->role);
	message_put_str(w, v->availability_zone);
	message_put_str(w, v->rack);
	message_put_str(w, v->address.host);
	message_put_uint(w, v->address.port);
	message_put_uint(w, v->leaving);
	message_put_uint(w, v->slots);
	message_put_uint(w, v->connections);
	message_put_uint(w, v->cpu_milli);
	message_put_uint(w, v->memory_mb);
	message_put_uint(w, v->accelerators);
}

/* Reads a VM; sets r->bad if it is malformed. */
static void get_vm(struct message_reader *r, struct vm *v)
{
	struct message_reader item = message_get_array(r);
	uint64_t role;

	memset(v, 0, sizeof(*v));
	message_get_str(&item, v->id, sizeof(v->id));
	role = message_get_uint(&item);
	message_get_str(&item, v->availability_zone,
			sizeof(v->availability_zone));
	message_get_str(&item, v->rack, sizeof(v->rack));
	message_get_str(&item, v->address.host, sizeof(v->address.host));
	v->address.port = (uint16_t)message_get_uint(&item);
	v->leaving = message_get_uint(&item) != 0;
	v->slots = (uint32_t)message_get_uint(&item);
	v->connections = (uint32_t)message_get_uint(&item);
	v->cpu_milli = (uint32_t)message_get_uint(&item);
	v->memory_mb = (uint32_t)message_get_uint(&item);
	v->accelerators = (uint32_t)message_get_uint(&item);
	v->role = (enum vm_role)role;
	if (item.malformed || role > VM_ENTRY)
		r->malformed = true;
}

/* Sends the version, the hash and the full list. */
static void send_list(struct targets *t, const char *to)
{
	struct message_writer w;

	message_writer_init(&w, 3);
	message_put_uint(&w, t->version);
	message_put_uint(&w, t->hash);
	message_put_array(&w, (uint32_t)t->platform_list.count);
	for (size_t i = 0; i < t->platform_list.count; i++)
		put_vm(&w, &t->platform_list.vms[i]);
	peers_send(t->peers, to, PEER_TARGETS, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

static void send_version_to(struct targets *t, const char *to)
{
	struct message_writer w;

	message_writer_init(&w, 2);
	message_put_uint(&w, t->version);
	message_put_uint(&w, t->hash);
	peers_send(t->peers, to, PEER_TARGETS, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

/* Tells peers in the zone that the list is unchanged as of this version. */
static void send_version(struct targets *t)
{
	for_each_zone_peer(t, send_version_to);
}

static void for_each_zone_peer(struct targets *t,
			       void (*fn)(struct targets *t, const char *id))
{
	struct member list[MEMBERS_MAX];
	uint32_t n = members_list(t->members, list, MEMBERS_MAX);

	for (uint32_t i = 1; i < n; i++)
		if (list[i].live && !strcmp(list[i].availability_zone,
					    t->s->node.availability_zone))
			fn(t, list[i].id);
}

/* Requests a newer list from one peer, or from all peers if peer is NULL. */
static void request_list(struct targets *t, const char *peer)
{
	struct message_writer w;

	message_writer_init(&w, 1);
	message_put_uint(&w, t->version);
	if (peer)
		peers_send(t->peers, peer, PEER_TARGETS_GET, w.buffer.data,
			   w.buffer.size);
	else
		peers_broadcast(t->peers, PEER_TARGETS_GET, w.buffer.data,
				w.buffer.size);
	message_writer_free(&w);
}

static void on_targets_get(void *arg, const char *sender, const void *body,
			   size_t len)
{
	struct targets *t = arg;
	struct message_reader r;
	uint64_t version;

	message_reader_init(&r, body, len);
	version = message_get_uint(&r);
	if (r.malformed)
		counter_add(t->malformed, 1);
	else if (version < t->version)
		send_list(t, sender);
	message_reader_free(&r);
}

/*
 * Accepts a newer list. A message without a list confirms that the list with
 * this hash is still current; if the own list differs, the sender is asked for
 * the full one.
 */
static void on_targets(void *arg, const char *sender, const void *body,
		       size_t len)
{
	struct targets *t = arg;
	struct vm_list l = { 0 };
	struct message_reader r, list;
	uint64_t version, hash;

	message_reader_init(&r, body, len);
	version = message_get_uint(&r);
	hash = message_get_uint(&r);
	if (r.malformed) {
		counter_add(t->malformed, 1);
		goto out;
	}
	if (version <= t->version)
		goto out;
	if (message_at_end(&r)) {
		if (hash != t->hash || !t->version) {
			request_list(t, sender);
			goto out;
		}
		t->version = version;
		t->updated_us = clock_now_us();
		goto out;
	}
	list = message_get_array(&r);
	if (list.malformed || list.count > VMS_MAX) {
		counter_add(t->malformed, 1);
		goto out;
	}
	l.vms = xcalloc(list.count, sizeof(*l.vms));
	while (!message_at_end(&list))
		get_vm(&list, &l.vms[l.count++]);
	if (list.malformed)
		counter_add(t->malformed, 1);
	else
		apply_list(t, &l, version);
out:
	free(l.vms);
	message_reader_free(&r);
}

const struct vm_list *targets_list(struct targets *t)
{
	return &t->list;
}

void targets_on_change(struct targets *t, void (*fn)(void *arg), void *arg)
{
	if (t->listener_count < LISTENERS_MAX)
		t->listeners[t->listener_count++] =
			(struct listener){ fn, arg };
}
