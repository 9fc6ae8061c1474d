#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "members-internal.h"

#define LIST_INTERVAL_US 10000000u
#define LIST_RETRY_US 2000000u
#define REGISTER_RETRY_US 1000000u

static char *format_registration(struct members *m);
static void on_registered(void *arg, struct store_reply *reply);
static void on_list(void *arg, struct store_reply *reply);
static void connect_registered(struct members *m, const struct kv_pair *pair);

bool members_is_self_registered(struct members *m)
{
	const char *session = store_session(m->store);

	return *session && !strcmp(session, m->registered_session);
}

static char *format_registration(struct members *m)
{
	char peer[64], operator_text[64];
	json_t *root;
	char *text;

	members_format_address(&m->s->peers.listen, peer);
	members_format_address(&m->s->operator.listen, operator_text);
	root = json_pack("{s:s, s:s, s:s, s:s, s:I}", "id", m->s->node.id,
			 "availability_zone", m->s->node.availability_zone,
			 "peers", peer, "operator", operator_text, "started_us",
			 (json_int_t)m->started_us);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

void members_register(struct members *m, uint64_t now)
{
	const char *session = store_session(m->store);
	char key[256];
	char *text;

	if (members_is_self_registered(m) || !*session || m->registering ||
	    now < m->next_register_us)
		return;
	m->registering = true;
	m->next_register_us = now + REGISTER_RETRY_US;
	snprintf(m->pending_session, sizeof(m->pending_session), "%s", session);
	snprintf(key, sizeof(key), "waxwing/%s/members/%s",
		 m->s->node.deployment, m->s->node.id);
	text = format_registration(m);
	store_acquire(m->store, key, text, strlen(text), on_registered, m);
	free(text);
}

static void on_registered(void *arg, struct store_reply *reply)
{
	struct members *m = arg;

	m->registering = false;
	if (reply->failed || !reply->applied) {
		log_event(LOG_INFO, "member-not-registered", "reason=\"%s\"",
			  reply->failed ? reply->err.message
					: "the key is held by an earlier "
					  "process");
		return;
	}
	snprintf(m->registered_session, sizeof(m->registered_session), "%s",
		 m->pending_session);
	log_event(LOG_INFO, "member-registered", "session=%s",
		  m->registered_session);
}

/* Reads the list at a shorter interval while members may be missing. */
void members_read_registered(struct members *m, uint64_t now)
{
	uint64_t interval = LIST_INTERVAL_US;
	char prefix[256];

	if (!m->list_read_us || !members_have_peers(m) ||
	    seats_need_registered(m))
		interval = LIST_RETRY_US;
	if (m->list_reading ||
	    (m->list_tried_us && now - m->list_tried_us < interval))
		return;
	m->list_reading = true;
	m->list_tried_us = now;
	snprintf(prefix, sizeof(prefix), "waxwing/%s/members/",
		 m->s->node.deployment);
	store_get(m->store, prefix, true, 0, 0, on_list, m);
}

/* Connects to a registered member; its heartbeat will tell its id. */
static void connect_registered(struct members *m, const struct kv_pair *pair)
{
	const char *slash = strrchr(pair->key, '/');
	json_t *root = json_loadb(pair->value, pair->value_len, 0, NULL);
	struct settings_address a;
	const char *address;

	if (!slash || json_unpack(root, "{s:s}", "peers", &address) < 0 ||
	    !members_parse_address(address, &a)) {
		counter_add(m->malformed, 1);
		goto out;
	}
	members_connect(m, &a);
	if (m->registered_count < MEMBERS_MAX)
		snprintf(m->registered_ids[m->registered_count++], 64, "%.63s",
			 slash + 1);
out:
	json_decref(root);
}

static void on_list(void *arg, struct store_reply *reply)
{
	struct members *m = arg;

	m->list_reading = false;
	if (reply->failed)
		return;
	m->list_read_us = reply->sent_us ? reply->sent_us : clock_now_us();
	m->registered_count = 0;
	for (size_t i = 0; i < reply->kv.count; i++)
		connect_registered(m, &reply->kv.pairs[i]);
}

bool members_is_registered(struct members *m, const char *id)
{
	for (uint32_t i = 0; i < m->registered_count; i++)
		if (!strcmp(m->registered_ids[i], id))
			return true;
	return false;
}
