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
 * Alone, or while a change is not confirmed, a seat reads often enough that
 * it learns of a new split well inside of SEATS_WAIT_US.
 */
#define READ_SOON_US 1000000u
#define READ_BEHIND_US 100000u
#define RETRY_MIN_US 500000u
#define RETRY_MAX_US 4000000u
#define APPLIED_INTERVAL_US 250000u
/*
 * A place stays empty this long for a process that is restarted. When it goes,
 * most slots change hands.
 */
#define EMPTY_MAX_US 10000000u
/* A seat is seen to be given up within two leases and two reads. */
#define PLACE_WAIT_US 15000000u
/* The longest deadline of a request. */
#define DEADLINE_MAX_US 30000000u

static void read_seats(struct members *m);
static void back_off(struct members *m, uint64_t now);
static void on_read(void *arg, struct store_reply *reply);
static bool take_value(struct members *m, const struct store_reply *reply);
static void publish(struct members *m);
static void write_seats(struct members *m, const struct seats *next,
			const char *reason);
static void on_written(void *arg, struct store_reply *reply);
static void on_applied(void *arg, const char *sender, const void *body,
		       size_t len);
static void send_applied(struct members *m, uint64_t now);
static void check_left(struct members *m, uint64_t now);
static uint64_t read_after(struct members *m);
static bool own_requests_done(struct members *m);
static bool own_requests_ended(struct members *m);
static bool holder_live(struct members *m, const char *name);
static bool holder_gone(struct members *m, const char *name, uint64_t now);
static bool holder_reaches_store(struct members *m, const char *name);
static int lowest_live(struct members *m);
static bool place_expected(struct members *m);
static bool change_own(struct members *m, struct seats *next,
		       const char **reason);
static bool remove_departed(struct members *m, struct seats *next,
			    uint64_t now);
static void change(struct members *m, uint64_t now);
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

void seats_begin(struct members *m)
{
	peers_handle(m->peers, PEER_SEATS_APPLIED, on_applied, m);
}

/* Publishes this process's part and calls those who listen to it. */
static void publish(struct members *m)
{
	struct seat seat;
	bool changed;

	seats_split(&m->seats, m->seat_name, &seat);
	if (m->revalidating)
		memset(&seat, 0, sizeof(seat));
	pthread_mutex_lock(&m->lock);
	changed = memcmp(&seat, &m->seat, sizeof(seat)) != 0;
	m->seat = seat;
	pthread_mutex_unlock(&m->lock);
	counter_set(m->seat_count, seats_held(&m->seats));
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

/* Takes a value that was read; an unusable one changes nothing. */
static bool take_value(struct members *m, const struct store_reply *reply)
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
	if (index < m->seats_index && index)
		return false; /* an answer that was overtaken */
	if (s.revision != m->seats.revision)
		m->seats_changed_us = clock_now_us();
	if (!m->seats_known)
		m->seats_known_us = clock_now_us();
	m->seats = s;
	m->seats_index = index;
	m->seats_known = true;
	return true;
}

static void back_off(struct members *m, uint64_t now)
{
	m->seats_next_us = now + backoff_next(&m->rng, &m->seats_retry_us,
					      RETRY_MIN_US, RETRY_MAX_US);
}

static void on_read(void *arg, struct store_reply *reply)
{
	struct members *m = arg;
	uint64_t now = clock_now_us();

	m->seats_reading = false;
	if (reply->failed || !take_value(m, reply)) {
		back_off(m, now);
		return;
	}
	m->seats_read_us = now;
	m->seats_retry_us = 0;
	m->seats_next_us = now + READ_INTERVAL_US;
	m->seats_behind = false;
	seats_progress_seen(&m->progress, &m->seats, now);
	if (reply->sent_us >= m->resumed_us)
		m->revalidating = false;
	if (m->seats_told != m->seats_index) /* tell the others at once */
		m->next_heartbeat_us = 0;
	m->seats_told = m->seats_index;
	publish(m);
	change(m, now);
}

void seats_heard(struct members *m, uint64_t index, bool fresh)
{
	if (index > m->seats_index)
		m->seats_behind = true;
	if (!m->revalidating || !fresh || !m->seats_known ||
	    index != m->seats_index)
		return;
	log_event(LOG_INFO, "seat-revalidated", "by=peer");
	m->revalidating = false;
	publish(m);
}

void seats_revalidate(struct members *m)
{
	m->revalidating = true;
	m->seats_next_us = 0;
	publish(m);
}

/* A seat of which nothing has been heard for a lease counts as silent. */
static bool holder_live(struct members *m, const char *name)
{
	const struct member *member;
	char id[64], current[SEAT_NAME_BYTES];

	if (!strcmp(name, m->seat_name))
		return true;
	seats_id(name, id);
	if (!strcmp(id, m->s->node.id))
		return false; /* an earlier process of this id */
	member = members_get(m, id);
	if (!member || !member->live)
		return false;
	seats_name(current, id, member->started_us);
	return !strcmp(name, current);
}

/*
 * A holder is gone when its session's key is gone, too, as read from the store
 * after its last heartbeat. A newer process of the same id also proves it.
 */
static bool holder_gone(struct members *m, const char *name, uint64_t now)
{
	const struct member *member;
	char id[64];

	if (holder_live(m, name))
		return false;
	seats_id(name, id);
	member = members_get(m, id);
	if (!strcmp(id, m->s->node.id) || (member && member->live))
		return true;
	/* A fresh process has not had the time to hear anybody. */
	if (now - m->started_boot_us < 2 * m->s->platform.lease_us)
		return false;
	/* An older list may be from before the holder registered. */
	if (m->list_read_us <= m->seats_changed_us ||
	    now - m->list_read_us > 2 * m->s->platform.lease_us)
		return false;
	return !members_registered(m, id);
}

bool seats_need_list(struct members *m)
{
	if (lowest_live(m) < 0 || !members_is_reader(m))
		return false;
	for (uint32_t i = 0; i < m->seats.count; i++)
		if (m->seats.names[i][0] && !holder_live(m, m->seats.names[i]))
			return true;
	return false;
}

/* Tells whether the holder of a seat reaches the store. */
static bool holder_reaches_store(struct members *m, const char *name)
{
	const struct member *member;
	char id[64];

	seats_id(name, id);
	member = members_get(m, id);
	return member && member->store_reached;
}

static int lowest_live(struct members *m)
{
	int first = -1;

	for (uint32_t i = 0; i < m->seats.count; i++) {
		const char *name = m->seats.names[i];

		if (!*name || !holder_live(m, name))
			continue;
		if (holder_reaches_store(m, name))
			return (int)i;
		if (first < 0)
			first = (int)i;
	}
	return first;
}

bool members_is_reader(struct members *m)
{
	int i = lowest_live(m);

	return i < 0 || !strcmp(m->seats.names[i], m->seat_name);
}

/*
 * A new process waits for the place of one that vanished, rather than to take
 * one more: with another number of places most slots change hands, and none of
 * those can be used before the one that vanished is certain to have ended.
 */
static bool place_expected(struct members *m)
{
	bool expected = false;

	if (clock_now_us() - m->seats_known_us > PLACE_WAIT_US)
		return false;
	for (uint32_t i = 0; i < m->seats.count; i++) {
		char id[64];

		if (!m->seats.names[i][0])
			return false; /* it can be taken now */
		seats_id(m->seats.names[i], id);
		if (!strcmp(id, m->s->node.id))
			return false; /* an earlier process of this id */
		expected |= !holder_live(m, m->seats.names[i]);
	}
	return expected;
}

/* Joins, or leaves when a drain has finished the requests. */
static bool change_own(struct members *m, struct seats *next,
		       const char **reason)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (held && m->draining && own_requests_done(m)) {
		*reason = "leave";
		return seats_remove(next, m->seat_name) == 0;
	}
	if (held || m->draining || !members_self_registered(m) ||
	    place_expected(m))
		return false;
	*reason = "join";
	for (uint32_t i = 0; i < next->count; i++) {
		char id[64];

		seats_id(next->names[i], id);
		if (strcmp(id, m->s->node.id))
			continue;
		/* One change: the earlier process's seat becomes this one's. */
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
		    !holder_gone(m, m->seats.names[i], now))
			continue;
		log_event(LOG_WARNING, "seat-departed", "seat=%s",
			  m->seats.names[i]);
		changed |= seats_remove(next, m->seats.names[i]) == 0;
	}
	next->revision = m->seats.revision + (changed ? 1 : 0);
	return changed;
}

/*
 * Tells whether the targets show that seats which are gone have no request
 * left, and all others confirmed.
 */
static bool departed_requests_ended(struct members *m)
{
	struct flow_svc *f = flow(m);

	return f && seats_progress_idle(&m->progress, &m->seats,
					m->s->platform.lease_us,
					flow_idle_since_us(f));
}

/* Makes at most one change of the value that was just read. */
static void change(struct members *m, uint64_t now)
{
	struct seats next = m->seats;
	uint64_t wait = m->s->platform.lease_us + DEADLINE_MAX_US;
	const char *reason = "";

	if (!m->seats_known || m->seats_writing || m->revalidating)
		return;
	if (change_own(m, &next, &reason)) {
		write_seats(m, &next, reason);
		return;
	}
	if (!m->seats.revision || !members_is_reader(m))
		return;
	if (remove_departed(m, &next, now)) {
		write_seats(m, &next, "departed");
		return;
	}
	if (!m->seats.confirmed &&
	    (seats_progress_done(&m->progress, &m->seats, wait, now) ||
	     departed_requests_ended(m))) {
		next.confirmed = true;
		next.previous_count = 0;
		write_seats(m, &next, "confirmed");
		return;
	}
	if (m->seats.confirmed && now - m->seats_changed_us >= EMPTY_MAX_US &&
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
	store_put(m->store, key, text, strlen(text), m->seats_index, on_written,
		  m);
	free(text);
}

/* Reads the value in any case: the answer carries no index, or was lost. */
static void on_written(void *arg, struct store_reply *reply)
{
	struct members *m = arg;

	m->seats_writing = false;
	if (!reply->failed && reply->applied)
		counter_add(m->seat_changes, 1);
	else if (!reply->failed)
		counter_add(m->seat_conflicts, 1);
	m->seats_next_us = 0;
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
		seats_progress_applied(&m->progress, name, revision);
	message_reader_free(&r);
	/* The reader marks the value at once when this was the last
	 * confirmation. */
	if (!m->seats.confirmed && members_is_reader(m) &&
	    seats_progress_done(&m->progress, &m->seats, UINT64_MAX,
				clock_now_us()))
		m->seats_next_us = 0;
}

/* Tells whether no request is queued or in progress, so that slots can go. */
static bool own_requests_done(struct members *m)
{
	struct flow_svc *f = flow(m);

	return !f || flow_in_flight(f) == 0;
}

/* Tells whether no request of this process is above its share any more. */
static bool own_requests_ended(struct members *m)
{
	struct flow_svc *f = flow(m);

	return !f || flow_seat_applied(f, m->seats.revision);
}

/* Repeats the confirmation until the store's value is marked. */
static void send_applied(struct members *m, uint64_t now)
{
	struct message_writer w;

	if (m->seats.confirmed || !m->seats.revision ||
	    now < m->next_applied_us || !own_requests_ended(m))
		return;
	m->next_applied_us = now + APPLIED_INTERVAL_US;
	seats_progress_applied(&m->progress, m->seat_name, m->seats.revision);
	message_writer_init(&w, 2);
	message_put_str(&w, m->seat_name);
	message_put_uint(&w, m->seats.revision);
	peers_broadcast(m->peers, PEER_SEATS_APPLIED, w.buffer.data,
			w.buffer.size);
	message_writer_free(&w);
	if (!m->applied_sent_us)
		m->applied_sent_us = now;
}

/* A drain is complete when the others know that the slots are free. */
static void check_left(struct members *m, uint64_t now)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (!m->draining || held || !m->seats_known) {
		m->applied_sent_us = 0;
		return;
	}
	if (m->seats.confirmed || !members_have_peers(m) ||
	    (m->applied_sent_us &&
	     now - m->applied_sent_us > 2 * APPLIED_INTERVAL_US))
		atomic_store(&m->left, true);
}

/* Returns the age at which the value read last is read again. */
static uint64_t read_after(struct members *m)
{
	bool held = seats_find(&m->seats, m->seat_name) >= 0;

	if (m->seats_behind || m->revalidating)
		return READ_BEHIND_US;
	if (!m->seats.confirmed || held == m->draining ||
	    !members_have_peers(m) || seats_need_list(m) ||
	    seats_held(&m->seats) < m->seats.count)
		return READ_SOON_US;
	return READ_INTERVAL_US;
}

void seats_tick(struct members *m, uint64_t now)
{
	send_applied(m, now);
	check_left(m, now);
	if (m->seats_reading || m->seats_writing)
		return;
	if (now >= m->seats_next_us ||
	    (!m->seats_retry_us && now - m->seats_read_us >= read_after(m)))
		read_seats(m);
}

void members_seat(struct members *m, struct seat *out)
{
	uint64_t last = atomic_load(&m->last_tick_us);
	uint64_t now = clock_now_us();

	pthread_mutex_lock(&m->lock);
	*out = m->seat;
	pthread_mutex_unlock(&m->lock);
	/* The control thread has not yet noticed that it was paused. */
	if (now > last && now - last > m->s->platform.lease_us)
		memset(out, 0, sizeof(*out));
}

void members_on_seat(struct members *m, void (*fn)(void *arg), void *arg)
{
	if (m->listener_count < SEAT_LISTENERS_MAX)
		m->listeners[m->listener_count++] =
			(struct seat_listener){ fn, arg };
}

uint32_t members_seats_held(struct members *m)
{
	return seats_held(&m->seats);
}

bool members_left(struct members *m)
{
	return atomic_load(&m->left);
}
