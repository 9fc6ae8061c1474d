#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "client-limits.h"
#include "clock.h"
#include "frame-conn.h"
#include "job-node.h"
#include "log.h"
#include "relay-hub-internal.h"

/* Workers that an owner calls itself, for each core. */
#define DIRECT_WORKERS_PER_CORE 300u
/*
 * A relay pings every 200 ms while it has calls. Without a word for this long
 * its workers are called through another relay.
 */
#define SILENCE_MAX_US 800000u
#define SILENCE_IDLE_MAX_US 3500000u
/* Time without a tick that shows that this process was suspended. */
#define SUSPENDED_US 400000u
/* A relay with an overdue call is not used for this long. */
#define SUSPECT_US 10000000u
/* Interval at which overdue calls are looked for. */
#define OVERDUE_SCAN_US 200000u
#define ZONES_MAX 32u

static void free_relay(struct relay *r);
static void lose_relay(struct relay *r, const char *reason);

/* ---- assignment ---- */

static uint32_t direct_max(const struct relay_hub *h)
{
	return h->node->settings->node.cpu_milli * DIRECT_WORKERS_PER_CORE /
	       1000u;
}

bool relay_hub_needed(const struct relay_hub *h)
{
	return h->worker_count > direct_max(h);
}

static void count_zones(const struct relay_hub *h,
			struct relay_zone_load zones[ZONES_MAX],
			uint32_t *count)
{
	*count = 0;
	for (uint32_t i = 0; i < h->path_count; i++) {
		const struct worker_path *p = h->paths[i];
		uint32_t k = 0;

		if (!p)
			continue;
		while (k < *count && strcmp(zones[k].zone, p->zone))
			k++;
		if (k == ZONES_MAX)
			continue;
		if (k == *count) {
			memcpy(zones[k].zone, p->zone, sizeof(p->zone));
			zones[k].workers = 0;
			++*count;
		}
		zones[k].workers++;
	}
}

void relay_hub_update(struct relay_hub *h)
{
	struct relay_zone_load zones[ZONES_MAX];
	uint32_t zone_count;

	if (!h->assignment_due)
		return;
	h->assignment_due = false;
	h->assignment_version++;
	count_zones(h, zones, &zone_count);
	relay_assign_activate(h->candidates, h->relay_count, zones, zone_count);
}

/* ---- messages ---- */

void relay_hub_send(struct relay *r, const struct relay_message *m)
{
	struct message_writer w;

	relay_encode(m, &w);
	frame_conn_send(r->conn, w.buffer.data, w.buffer.size);
	message_writer_free(&w);
	event_active(r->hub->flush, EV_TIMEOUT, 0);
}

static void handle_response(struct relay *r, const struct relay_message *m)
{
	struct relay_hub *h = r->hub;
	struct worker_path *p = m->call.worker < h->path_count
					? h->paths[m->call.worker]
					: NULL;
	struct path_call *c = p ? &p->calls[m->call.lane] : NULL;

	/* The response to a call that was dropped with its path. */
	if (!c || !c->fn || c->relay != r || c->seq != m->call.seq)
		return;
	worker_path_complete(p, m->call.lane, &m->u.response);
}

/* ---- relays ---- */

static uint32_t relay_index(const struct relay *r)
{
	uint32_t i = 0;

	while (r->hub->relays[i] != r)
		i++;
	return i;
}

const char *relay_hub_vm(const struct relay *r)
{
	return r->hub->candidates[relay_index(r)].vm;
}

static void update_clock(struct relay *r, uint64_t clock_us)
{
	r->clock_us = clock_us;
	r->clock_local_us = clock_now_us();
}

static void introduce(struct relay *r, const struct relay_hello *hello)
{
	struct relay_hub *h = r->hub;
	struct relay_candidate *c = &h->candidates[relay_index(r)];

	snprintf(c->vm, sizeof(c->vm), "%s", hello->vm);
	snprintf(c->zone, sizeof(c->zone), "%s", hello->zone);
	c->cpu_milli = hello->cpu_milli;
	c->connected = true;
	r->introduced = true;
	client_limits_close_late(r->client);
	h->assignment_due = true;
	if (hello->version >= RELAY_WIRE_VERSION_BLOCKS)
		frame_conn_compress(r->conn);
	update_clock(r, hello->clock_us);
	log_event(LOG_INFO, "relay-joined",
		  "vm=%s zone=%s cpu_milli=%u version=%u", c->vm, c->zone,
		  c->cpu_milli, hello->version);
}

static void on_frame(void *arg, const void *data, size_t len)
{
	struct relay *r = arg;
	struct relay_message m;
	struct error err;

	if (relay_decode(&m, data, len, &err) < 0) {
		counter_add(r->hub->malformed, 1);
		log_event(LOG_WARNING, "relay-malformed", "error=\"%s\"",
			  err.message);
		lose_relay(r, "malformed");
		return;
	}
	r->heard_us = clock_now_us();
	if (m.type == RELAY_HELLO && !r->introduced)
		introduce(r, &m.u.hello);
	else if (m.type == RELAY_PING && r->introduced)
		update_clock(r, m.u.clock_us);
	else if (m.type == RELAY_RESPONSE && r->introduced)
		handle_response(r, &m);
	relay_message_free(&m);
}

static void on_closed(void *arg, const char *reason)
{
	lose_relay(arg, reason);
}

static const struct frame_conn_ops conn_ops = { .frame = on_frame,
						.closed = on_closed };

static void close_relay(void *arg)
{
	struct relay *r = arg;

	if (r->introduced)
		lose_relay(r, "limit");
	else
		free_relay(r);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int len, void *arg)
{
	struct relay_hub *h = arg;
	struct relay *r;
	uint32_t n;

	(void)listener;
	(void)address;
	(void)len;
	if (!h->open) {
		evutil_closesocket(fd);
		return;
	}
	r = xcalloc(1, sizeof(*r));
	/* May close others. */
	if (h->node->clients)
		r->client = client_limits_add(h->node->clients, CLIENTS_RELAYS,
					      close_relay, r);
	n = h->relay_count;
	h->relays = xrealloc(h->relays, (n + 1) * sizeof(*h->relays));
	h->candidates =
		xrealloc(h->candidates, (n + 1) * sizeof(*h->candidates));
	memset(&h->candidates[n], 0, sizeof(*h->candidates));
	r->hub = h;
	r->number = ++h->next_number;
	r->heard_us = clock_now_us();
	r->conn = frame_conn_accept(h->node->base, fd, &conn_ops, r);
	if (r->client)
		frame_conn_watch_input(r->conn, client_limits_on_buffer,
				       r->client);
	h->relays[n] = r;
	h->relay_count++;
}

/* Removes the relay from the tables; its calls must have ended. */
static void free_relay(struct relay *r)
{
	struct relay_hub *h = r->hub;
	uint32_t i = relay_index(r);

	h->relay_count--;
	h->relays[i] = h->relays[h->relay_count];
	h->candidates[i] = h->candidates[h->relay_count];
	h->assignment_due = true;
	client_limits_remove(r->client);
	frame_conn_free(r->conn);
	free(r);
}

/* Its calls end with WORKER_PATH_LOST, after which other relays take over. */
static void lose_relay(struct relay *r, const char *reason)
{
	struct worker_response lost = { .outcome = WORKER_PATH_LOST };
	struct relay_hub *h = r->hub;
	uint32_t i = relay_index(r);

	log_event(LOG_INFO, "relay-lost", "vm=%s calls=%u why=%s",
		  h->candidates[i].vm, r->calls_in_flight, reason);
	counter_add(h->lost, 1);
	h->candidates[i].connected = false;
	h->assignment_due = true;
	for (uint32_t k = 0; k < h->path_count; k++)
		for (uint32_t lane = 0; lane < RELAY_LANES; lane++)
			if (h->paths[k] && h->paths[k]->calls[lane].fn &&
			    h->paths[k]->calls[lane].relay == r)
				worker_path_complete(h->paths[k], lane, &lost);
	free_relay(r);
}

/* A relay that lost a call gets no calls for some time. */
static void set_usable(struct relay *r, bool usable)
{
	r->suspect_until_us = usable ? 0 : clock_now_us() + SUSPECT_US;
	r->hub->candidates[relay_index(r)].connected = usable;
	r->hub->assignment_due = true;
}

/* Gives up the calls of relays that are alive but do not report an outcome. */
static void drop_overdue_calls(struct relay_hub *h, uint64_t now)
{
	struct worker_response lost = { .outcome = WORKER_PATH_LOST };

	h->next_overdue_scan_us = now + OVERDUE_SCAN_US;
	for (uint32_t i = 0; i < h->path_count; i++)
		for (uint32_t lane = 0; lane < RELAY_LANES; lane++) {
			struct worker_path *p = h->paths[i];

			if (!p || !p->calls[lane].fn ||
			    now < p->calls[lane].overdue_us)
				continue;
			counter_add(h->overdue, 1);
			log_event(LOG_WARNING, "relay-call-overdue",
				  "worker=%s lane=%u vm=%s", p->id, lane,
				  relay_hub_vm(p->calls[lane].relay));
			set_usable(p->calls[lane].relay, false);
			worker_path_complete(p, lane, &lost);
		}
}

void relay_hub_tick(struct relay_hub *h, uint64_t now)
{
	bool suspended = now > h->last_tick_us + SUSPENDED_US;

	h->last_tick_us = now;
	counter_set(h->connected, h->relay_count);
	for (uint32_t i = h->relay_count; i-- > 0;) {
		struct relay *r = h->relays[i];

		/* What the relays sent meanwhile has not been read yet. */
		if (r->suspect_until_us && now >= r->suspect_until_us)
			set_usable(r, true);
		if (suspended)
			r->heard_us = now;
		else if (now > r->heard_us + (r->calls_in_flight
						      ? SILENCE_MAX_US
						      : SILENCE_IDLE_MAX_US))
			lose_relay(r, "silent");
	}
	if (!suspended && now >= h->next_overdue_scan_us)
		drop_overdue_calls(h, now);
}

/* ---- hub ---- */

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct relay_hub *h = arg;

	(void)fd;
	(void)what;
	for (uint32_t i = 0; i < h->relay_count; i++)
		if (frame_conn_has_unflushed(h->relays[i]->conn))
			frame_conn_flush(h->relays[i]->conn);
}

struct relay_hub *relay_hub_create(struct job_node *n, struct error *err)
{
	const struct settings_address *a = &n->settings->jobs.relays;
	struct relay_hub *h = xcalloc(1, sizeof(*h));
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(a->port) };

	h->node = n;
	h->flush = event_new(n->base, -1, 0, on_flush, h);
	h->calls = counter_get(COUNTER, "waxwing_relay_calls_total", NULL);
	h->lost = counter_get(COUNTER, "waxwing_relay_lost_total", NULL);
	h->overdue = counter_get(COUNTER, "waxwing_relay_overdue_total", NULL);
	h->malformed =
		counter_get(COUNTER, "waxwing_relay_malformed_total", NULL);
	h->connected = counter_get(GAUGE, "waxwing_relays_connected", NULL);
	if (!a->port)
		return h;
	evutil_inet_pton(AF_INET, a->host, &to.sin_addr);
	h->listener = evconnlistener_new_bind(
		n->base, on_accept, h,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&to, sizeof(to));
	if (h->listener) {
		client_limits_bind(evconnlistener_get_fd(h->listener));
		return h;
	}
	error_set(err, ERROR_LAYER_PEERS, 1, "cannot listen on %s:%u", a->host,
		  a->port);
	relay_hub_destroy(h);
	return NULL;
}

void relay_hub_destroy(struct relay_hub *h)
{
	if (!h)
		return;
	relay_hub_close(h);
	if (h->listener)
		evconnlistener_free(h->listener);
	event_free(h->flush);
	free(h->relays);
	free(h->candidates);
	free(h->paths);
	free(h);
}

void relay_hub_open(struct relay_hub *h)
{
	h->open = true;
	h->opened_us = clock_now_us();
	h->last_tick_us = h->opened_us;
}

void relay_hub_close(struct relay_hub *h)
{
	h->open = false;
	for (uint32_t i = 0; i < h->path_count; i++)
		for (uint32_t lane = 0; h->paths[i] && lane < RELAY_LANES;
		     lane++)
			h->paths[i]->calls[lane].fn = NULL;
	while (h->relay_count)
		free_relay(h->relays[h->relay_count - 1]);
}

uint32_t relay_hub_relay_count(const struct relay_hub *h)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < h->relay_count; i++)
		n += h->relays[i]->introduced;
	return n;
}
