#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backoff.h"
#include "clock.h"
#include "log.h"
#include "members-internal.h"
#include "message.h"
#include "svc-flow.h"

#define READ_INTERVAL_US 10000000u
/*
 * Interval while the value may change or no peer would report a change: short
 * against the wait after which a split is confirmed without a seat's reply.
 */
#define READ_UNSETTLED_US 1000000u
/* Interval while a peer has a newer value or the seat is withheld. */
#define READ_STALE_US 100000u
#define RETRY_MIN_US 500000u
#define RETRY_MAX_US 4000000u
#define APPLIED_INTERVAL_US 250000u
/*
 * An empty position is reserved this long for a process that restarts, because
 * removing it moves most slots to other seats.
 */
#define EMPTY_POSITION_MAX_US 10000000u
/*
 * Time for which a new process waits for the seat of a departed one. Its
 * removal takes at most two lease times and two reads of the store.
 */
#define REPLACEMENT_WAIT_US 15000000u
#define REQUEST_DEADLINE_MAX_US 30000000u

static void read_seats(struct members *m);
static void schedule_retry(struct members *m, uint64_t now);
static void on_read(void *arg, struct store_reply *reply);
static bool accept_value(struct members *m, const struct store_reply *reply);
static void publish_seat(struct members *m);
static void write_seats(struct members *m, const struct seats *next,
			const char *reason);
static void on_written(void *arg, struct store_reply *reply);
static void on_applied(void *arg, const char *sender, const void *body,
		       size_t len);
static void send_applied(struct members *m, uint64_t now);
static void check_seat_released(struct members *m, uint64_t now);
static uint64_t read_interval(struct members *m);
static bool own_requests_drained(struct members *m);
static bool own_excess_ended(struct members *m);
static bool holder_live(struct members *m, const char *name);
static bool holder_departed(struct members *m, const char *name, uint64_t now);
static bool holder_store_reachable(struct members *m, const char *name);
static int find_store_reader(struct members *m);
static bool position_reserved(struct members *m);
static bool join_or_leave(struct members *m, struct seats *next,
			  const char **reason);
static bool remove_departed(struct members *m, struct seats *next,
			    uint64_t now);
static void write_next_change(struct members *m, uint64_t now);
static struct flow_svc *flow(struct members *m);
static void format_key(const struct members *m, char *out, size_t size);

static struct flow_svc *flow(struct members *m)
{
	return kernel_find(m->kernel, "flow") ? flow_svc_find(m->kernel) : NULL;
}

static void format_key(const struct members *m, char *out, size_t size)
{
	snprintf(out, size, "waxwing/%s/seats/%s", m->s->node.deployment,
		 m->s->node.availability_zone);
}

void seats_init(struct members *m)
{
	peers_set_handler(m->peers, PEER_SEATS_APPLIED, on_applied, m);
}

/* Updates the seat that members_seat() returns and calls the listeners. */
static void publish_seat(struct members *m)
{
	struct seat seat;
	bool changed;

	seats_get_seat(&m->seats, m->seat_name, &seat);
	if (m->revalidating)
		memset(&seat, 0, sizeof(seat));
	pthread_mutex_lock(&m->lock);
	changed = memcmp(&seat, &m->seat, sizeof(seat)) != 0;
	m->seat = seat;
	pthread_mutex_unlock(&m->lock);
	counter_set(m->seat_count, seats_count_held(&m->seats));
	counter_set(m->seat_revision, (long long)m->seats.revision);
	counter_set(m->seat_confirmed, m->seats.confirmed);
	if (!changed)
		return;
	log_event(LOG_INFO, "seat-changed",
		  "revision=%" PRIu64 " index=%u count=%u previous_index=%u "
		  "previous_count=%u",
		  seat.revision, seat.index, seat.count, seat.previous_index,
		  seat.previous_count);
	for (uint32_t i = 0; i < m->listener_count; i++)
		m->listeners[i].fn(m->listeners[i].arg);
}

static void read_seats(struct members *m)
{
	char key[256];

	m->seats_reading = true;
	format_key(m, key, sizeof(key));
	store_get(m->store, key, false, 0, 0, on_read, m);
}

/* Stores a value that was read; a malformed or outdated one is ignored. */
static bool accept_value(struct members *m, const struct store_reply *reply)
{
	const struct kv_pair *pair = reply->kv.pairs;
	struct seats s = { 0 };
	struct error err;
	uint64_t index = 0;

	if (reply->kv.count) {
		if (seats_parse(pair->value, pair->value_len, &s, &err) < 0) {
			counter_add(m->malformed, 1);
			log_event(LOG_ERROR, "seats-unusable", "error=\"%s\"",
				  err.message);
			return false;
		}
		index = pair->modify_index;
	}
	if (index < m->seats_modify_index && index)
		return false; /* older than the value known */
	if (s.revision != m->seats.revision)
		m->seats_changed_us = clock_now_us();
	if (!m->seats_loaded)
		m->seats_loaded_us = clock_now_us();
	m->seats = s;
	m->seats_modify_index = index;
	m->seats_loaded = true;
	return true;
}

static void schedule_retry(struct members *m, uint64_t now)
{
	m->seats_next_read_us =
		now + backoff_next(&m->rng, &m->seats_retry_delay_us,
				   RETRY_MIN_US, RETRY_MAX_US);
}

static void on_read(void *arg, struct store_reply *reply)
{
	struct members *m = arg;
	uint64_t now = clock_now_us();

	m->seats_reading = false;
	if (reply->failed || !accept_value(m, reply)) {
		schedule_retry(m, now);
		return;
	}
	m->seats_read_us = now;
	m->seats_retry_delay_us = 0;
	m->seats_next_read_us = now + READ_INTERVAL_US;
	m->seats_stale = false;
	seats_handover_update(&m->handover, &m->seats, now);
	if (reply->sent_us >= m->resumed_us)
		m->revalidating = false;
	if (m->seats_announced_index !=
	    m->seats_modify_index) /* announce it now */
		m->next_heartbeat_us = 0;
	m->seats_announced_index = m->seats_modify_index;
	publish_seat(m);
	write_next_change(m, now);
}

void seats_on_peer_index(struct members *m, uint64_t index, bool fresh)
{
	if (index > m->seats_modify_index)
		m->seats_stale = true;
	if (!m->revalidating || !fresh || !m->seats_loaded ||
	    index != m->seats_modify_index)
		return;
	log_event(LOG_INFO, "seat-revalidated", "by=peer");
	m->revalidating = false;
	publish_seat(m);
}

void seats_revalidate(struct members *m)
{
	m->revalidating = true;
	m->seats_next_read_us = 0;
	publish_seat(m);
}

/*
 * Returns whether the process that took the seat is live. An earlier process of
 * the same id is not.
 */
static bool holder_live(struct members *m, const char *name)
{
	const struct member *member;
	char id[64], current[SEAT_NAME_BYTES];

	if (!strcmp(name, m->seat_name))
		return true;
	seats_parse_id(name, id);
	if (!strcmp(id, m->s->node.id))
		return false; /* an earlier process of this id */
	member = members_get(m, id);
	if (!member || !member->live)
		return false;
	seats_format_name(current, id, member->started_us);
	return !strcmp(name, current);
}

/*
 * A holder has departed if it is not live and the list of registered members,
 * read after the last change of the seats, lacks it. It has also departed if a
 * newer process of the same id runs.
 */
static bool holder_departed(struct members *m, const char *name, uint64_t now)
{
	const struct member *member;
	char id[64];

	if (holder_live(m, name))
		return false;
	seats_parse_id(name, id);
	member = members_get(m, id);
	if (!strcmp(id, m->s->node.id) || (member && member->live))
		return true;
	/* This process may not have received all heartbeats since its start. */
	if (now - m->started_boot_us < 2 * m->s->platform.lease_us)
		return false;
	/* An older list may predate the holder's registration. */
	if (m->list_read_us <= m->seats_changed_us ||
	    now - m->list_read_us > 2 * m->s->platform.lease_us)
		return false;
	return !members_is_registered(m, id);
}

bool seats_need_registered(struct members *m)
{
	if (find_store_reader(m) < 0 || !members_is_store_reader(m))
		return false;
	for (uint32_t i = 0; i < m->seats.count; i++)
		if (m->seats.names[i][0] && !holder_live(m, m->seats.names[i]))
			return true;
	return false;
}

/* Returns whether the holder's heartbeat says that it reaches the store. */
static bool holder_store_reachable(struct members *m, const char *name)
{
	const struct member *member;
	char id[64];

	seats_parse_id(name, id);
	member = members_get(m, id);
	return member && member->store_reachable;
}

/*
 * Returns the lowest live seat that reaches the store, else the lowest live
 * seat, else -1.
 */
static int find_store_reader(struct members *m)
{
	int fallback = -1;

	for (uint32_t i = 0; i < m->seats.count; i++) {
		const char *name = m->seats.names[i];

		if (!*name || !holder_live(m, name))
			continue;
		if (holder_store_reachable(m, name))
			return (int)i;
		if (fallback < 0)
			fallback = (int)i;
	}
	return fallback;
}

bool members_is_store_reader(struct members *m)
{
	int i = find_store_reader(m);

	return i < 0 || !strcmp(m->seats.names[i], m->seat_name);
}

/*
 * Returns whether a new process should wait for the position of a departed one
 * rather than append another. Changing the number of positions moves most slots
 * to other seats, and those stay unused until the departed process is certain
 * to have ended.
 */
static bool position_reserved(struct members *m)
{
	bool reserved = false;

	if (clock_now_us() - m->seats_loaded_us > REPLACEMENT_WAIT_US)
		return false;
	for (uint32_t i = 0; i < m->seats.count; i++) {
		char id[64];

		if (!m->seats.names[i][0])
			return false; /* can be filled now */
		seats_parse_id(m->seats.names[i], id);
		if (!strcmp(id, m->s->node.id))
			return false; /* an earlier process of this id */
		reserved |= !holder_live(m, m->seats.names[i]);
	}
	return reserved;
}

/* Adds this process's seat, or removes it when a drain has ended all requests.
 */
static bool join_or_leave(struct members *m, struct seats *next,
			  const char **reason)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (held && m->draining && own_requests_drained(m)) {
		*reason = "leave";
		return seats_remove(next, m->seat_name) == 0;
	}
	if (held || m->draining || !members_is_self_registered(m) ||
	    position_reserved(m))
		return false;
	*reason = "join";
	for (uint32_t i = 0; i < next->count; i++) {
		char id[64];

		seats_parse_id(next->names[i], id);
		if (strcmp(id, m->s->node.id))
			continue;
		/* Takes over the earlier process's position in one change. */
		seats_remove(next, next->names[i]);
		break;
	}
	if (seats_add(next, m->seat_name) < 0) {
		log_event(LOG_ERROR, "seats-full", "limit=%d", SEATS_MAX);
		return false;
	}
	next->revision = m->seats.revision + 1;
	return true;
}

static bool remove_departed(struct members *m, struct seats *next, uint64_t now)
{
	bool changed = false;

	for (uint32_t i = 0; i < m->seats.count; i++) {
		if (!m->seats.names[i][0] ||
		    !holder_departed(m, m->seats.names[i], now))
			continue;
		log_event(LOG_WARNING, "seat-departed", "seat=%s",
			  m->seats.names[i]);
		changed |= seats_remove(next, m->seats.names[i]) == 0;
	}
	next->revision = m->seats.revision + (changed ? 1 : 0);
	return changed;
}

/*
 * Returns whether idle targets prove that departed seats have no requests left,
 * and all other seats have applied the split.
 */
static bool departed_requests_ended(struct members *m)
{
	struct flow_svc *f = flow(m);

	return f && seats_handover_idle(&m->handover, &m->seats,
					m->s->platform.lease_us,
					flow_idle_since_us(f));
}

/* Writes at most one change to the value that was just read. */
static void write_next_change(struct members *m, uint64_t now)
{
	struct seats next = m->seats;
	uint64_t wait = m->s->platform.lease_us + REQUEST_DEADLINE_MAX_US;
	const char *reason = "";

	if (!m->seats_loaded || m->seats_writing || m->revalidating)
		return;
	if (join_or_leave(m, &next, &reason)) {
		write_seats(m, &next, reason);
		return;
	}
	if (!m->seats.revision || !members_is_store_reader(m))
		return;
	if (remove_departed(m, &next, now)) {
		write_seats(m, &next, "departed");
		return;
	}
	if (!m->seats.confirmed &&
	    (seats_handover_done(&m->handover, &m->seats, wait, now) ||
	     departed_requests_ended(m))) {
		next.confirmed = true;
		next.previous_count = 0;
		write_seats(m, &next, "confirmed");
		return;
	}
	if (m->seats.confirmed &&
	    now - m->seats_changed_us >= EMPTY_POSITION_MAX_US &&
	    seats_compact(&next) == 0)
		write_seats(m, &next, "compact");
}

static void write_seats(struct members *m, const struct seats *next,
			const char *reason)
{
	char *text = seats_format(next);
	char key[256];

	m->seats_writing = true;
	log_event(LOG_INFO, "seats-write",
		  "reason=%s revision=%" PRIu64 " seats=%u", reason,
		  next->revision, next->count);
	format_key(m, key, sizeof(key));
	store_put(m->store, key, text, strlen(text), m->seats_modify_index,
		  on_written, m);
	free(text);
}

/*
 * Reads the value again whatever the result: a successful reply doesn't carry
 * the new index, and a write whose reply was lost may have been applied.
 */
static void on_written(void *arg, struct store_reply *reply)
{
	struct members *m = arg;

	m->seats_writing = false;
	if (!reply->failed && reply->applied)
		counter_add(m->seat_changes, 1);
	else if (!reply->failed)
		counter_add(m->seat_conflicts, 1);
	m->seats_next_read_us = 0;
}

static void on_applied(void *arg, const char *sender, const void *body,
		       size_t len)
{
	struct members *m = arg;
	struct message_reader r;
	char name[SEAT_NAME_BYTES];
	uint64_t revision;

	(void)sender;
	message_reader_init(&r, body, len);
	message_get_str(&r, name, sizeof(name));
	revision = message_get_uint(&r);
	if (r.malformed)
		counter_add(m->malformed, 1);
	else
		seats_handover_set_applied(&m->handover, name, revision);
	message_reader_free(&r);
	/* After the last reply, the store reader confirms the value at once. */
	if (!m->seats.confirmed && members_is_store_reader(m) &&
	    seats_handover_done(&m->handover, &m->seats, UINT64_MAX,
				clock_now_us()))
		m->seats_next_read_us = 0;
}

/* Returns whether no request is queued or running on the seat's slots. */
static bool own_requests_drained(struct members *m)
{
	struct flow_svc *f = flow(m);

	return !f || flow_in_flight(f) == 0;
}

/* Returns whether the requests on slots lost in this revision have ended. */
static bool own_excess_ended(struct members *m)
{
	struct flow_svc *f = flow(m);

	return !f || flow_seat_applied(f, m->seats.revision);
}

/* Repeats that this seat applied the split until the value is confirmed. */
static void send_applied(struct members *m, uint64_t now)
{
	struct message_writer w;

	if (m->seats.confirmed || !m->seats.revision ||
	    now < m->next_applied_us || !own_excess_ended(m))
		return;
	m->next_applied_us = now + APPLIED_INTERVAL_US;
	seats_handover_set_applied(&m->handover, m->seat_name,
				   m->seats.revision);
	message_writer_init(&w, 2);
	message_put_str(&w, m->seat_name);
	message_put_uint(&w, m->seats.revision);
	peers_broadcast(m->peers, PEER_SEATS_APPLIED, w.buffer.data,
			w.buffer.size);
	message_writer_free(&w);
	if (!m->applied_sent_us)
		m->applied_sent_us = now;
}

/* A drain is complete once the other seats can use the released slots. */
static void check_seat_released(struct members *m, uint64_t now)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (!m->draining || held || !m->seats_loaded) {
		m->applied_sent_us = 0;
		return;
	}
	if (m->seats.confirmed || !members_have_peers(m) ||
	    (m->applied_sent_us &&
	     now - m->applied_sent_us > 2 * APPLIED_INTERVAL_US))
		atomic_store(&m->seat_released, true);
}

/* Returns the age at which the value is read again. */
static uint64_t read_interval(struct members *m)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (m->seats_stale || m->revalidating)
		return READ_STALE_US;
	if (!m->seats.confirmed || held == m->draining ||
	    !members_have_peers(m) || seats_need_registered(m) ||
	    seats_count_held(&m->seats) < m->seats.count)
		return READ_UNSETTLED_US;
	return READ_INTERVAL_US;
}

void seats_tick(struct members *m, uint64_t now)
{
	send_applied(m, now);
	check_seat_released(m, now);
	if (m->seats_reading || m->seats_writing)
		return;
	if (now >= m->seats_next_read_us ||
	    (!m->seats_retry_delay_us &&
	     now - m->seats_read_us >= read_interval(m)))
		read_seats(m);
}

void members_seat(struct members *m, struct seat *out)
{
	uint64_t last = atomic_load(&m->last_tick_us);
	uint64_t now = clock_now_us();

	pthread_mutex_lock(&m->lock);
	*out = m->seat;
	pthread_mutex_unlock(&m->lock);
	/* Paused longer than the lease; check_pause() hasn't run yet. */
	if (now > last && now - last > m->s->platform.lease_us)
		memset(out, 0, sizeof(*out));
}

void members_add_seat_listener(struct members *m, void (*fn)(void *arg),
			       void *arg)
{
	if (m->listener_count < SEAT_LISTENERS_MAX)
		m->listeners[m->listener_count++] =
			(struct seat_listener){ fn, arg };
}

uint32_t members_count_seats(struct members *m)
{
	return seats_count_held(&m->seats);
}

bool members_seat_released(struct members *m)
{
	return atomic_load(&m->seat_released);
}
