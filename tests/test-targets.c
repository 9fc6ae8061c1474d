#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "message.h"
#include "support-unit.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-peers.h"
#include "svc-store.h"
#include "svc-targets.h"

/* One process with fakes of the store, the members, the peers and the sheet. */
static struct kernel *kernel;
static struct loop *loop;
static struct targets *targets;
static struct settings settings;
static bool is_reader;
static store_reply_fn *list_fn; /* callback of the pending read, or NULL */
static void *list_arg;
static peer_fn *handlers[PEER_MESSAGE_TYPES];
static void *handler_args[PEER_MESSAGE_TYPES];
static int sent[PEER_MESSAGE_TYPES];
static int changes;
static struct sheet sheet;
static struct sheet_stop stop;
static struct config config = { .revision = 1, .sheet = &sheet };

struct store *store_find(struct kernel *k)
{
	return (struct store *)k;
}

struct peers *peers_find(struct kernel *k)
{
	return (struct peers *)k;
}

struct members *members_find(struct kernel *k)
{
	return (struct members *)k;
}

struct config_svc *config_find(struct kernel *k)
{
	return (struct config_svc *)k;
}

const struct config *config_current(struct config_svc *c)
{
	(void)c;
	return &config;
}

bool members_is_store_reader(struct members *m)
{
	(void)m;
	return is_reader;
}

/* Returns this process and one peer in the same zone. */
uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	(void)m;
	(void)max;
	memset(out, 0, 2 * sizeof(*out));
	strcpy(out[1].id, "peer");
	out[1].live = true;
	return 2;
}

void store_list_vms(struct store *st, store_reply_fn *fn, void *arg)
{
	(void)st;
	list_fn = fn;
	list_arg = arg;
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	(void)p;
	handlers[type] = fn;
	handler_args[type] = arg;
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	struct message_reader r;

	(void)p;
	(void)id;
	message_reader_init(&r, body, len);
	/* A full list has three elements, a version without a list has two. */
	if (type == PEER_TARGETS_GET || r.count == 3)
		sent[type]++;
	message_reader_free(&r);
	return 0;
}

void peers_broadcast(struct peers *p, enum peer_message_type type,
		     const void *body, size_t len)
{
	(void)p;
	(void)type;
	(void)body;
	(void)len;
}

static void count_change(void *arg)
{
	(void)arg;
	changes++;
}

struct read_result {
	size_t count;
	bool delivered;
};

/* Completes the read in progress, if any, with VMs r1, r2, ... */
static void complete_read(void *arg)
{
	struct read_result *a = arg;
	struct store_reply reply = { 0 };
	store_reply_fn *fn = list_fn;
	size_t count = a->count;

	if (!fn)
		return;
	list_fn = NULL;
	a->delivered = true;
	reply.vms.count = count;
	reply.vms.vms = xcalloc(count, sizeof(struct vm));
	for (size_t i = 0; i < count; i++) {
		snprintf(reply.vms.vms[i].id, 64, "r%zu", i + 1);
		strcpy(reply.vms.vms[i].availability_zone, "cagla");
		strcpy(reply.vms.vms[i].rack, i ? "rack-b" : "rack-a");
	}
	fn(list_arg, &reply);
	free(reply.vms.vms);
}

/* Waits for the next read and completes it. */
static void platform_returns_vms(size_t count)
{
	uint64_t end = clock_now_us() + 5000000u;
	struct read_result a = { .count = count };

	while (!a.delivered && clock_now_us() < end) {
		loop_call(loop, complete_read, &a);
		clock_sleep_us(1000);
	}
	CU_ASSERT_TRUE(a.delivered);
}

struct peer_list {
	uint64_t version;
	bool truncated; /* the list ends in the middle of a VM */
};

static void deliver_peer_list(void *arg)
{
	struct peer_list *l = arg;
	struct message_writer w;

	message_writer_init(&w, 3);
	message_put_uint(&w, l->version);
	message_put_uint(&w, l->version);
	message_put_array(&w, 1);
	message_put_array(&w, l->truncated ? 2 : 12);
	message_put_str(&w, "r9");
	message_put_uint(&w, VM_RUNNER);
	for (int i = 0; i < 3 && !l->truncated; i++)
		message_put_str(&w, "x");
	for (int i = 0; i < 7 && !l->truncated; i++)
		message_put_uint(&w, 1);
	handlers[PEER_TARGETS](handler_args[PEER_TARGETS], "peer",
			       w.buffer.data, w.buffer.size);
	message_writer_free(&w);
}

static void peer_list(uint64_t version, bool truncated)
{
	struct peer_list l = { version, truncated };

	loop_call(loop, deliver_peer_list, &l);
}

struct view {
	size_t count;
	char first[64];
	uint32_t leaving; /* bit n: VM n is leaving */
};

static void read_view(void *arg)
{
	struct view *v = arg;
	const struct vm_list *l = targets_list(targets);

	memset(v, 0, sizeof(*v));
	v->count = l->count;
	if (l->count)
		snprintf(v->first, sizeof(v->first), "%s", l->vms[0].id);
	for (size_t i = 0; i < l->count; i++)
		v->leaving |= (uint32_t)l->vms[i].leaving << i;
}

static struct view view(void)
{
	struct view v;

	loop_call(loop, read_view, &v);
	return v;
}

/* Guards against sending the full list every second without a change. */
static void test_unchanged_list_is_not_sent_again(void)
{
	platform_returns_vms(2);
	CU_ASSERT_EQUAL(view().count, 2);
	CU_ASSERT_EQUAL(sent[PEER_TARGETS], 1);
	CU_ASSERT_EQUAL(changes, 1);
	platform_returns_vms(2);
	CU_ASSERT_EQUAL(sent[PEER_TARGETS], 1);
	CU_ASSERT_EQUAL(changes, 1);
	platform_returns_vms(3);
	CU_ASSERT_EQUAL(sent[PEER_TARGETS], 2);
	CU_ASSERT_EQUAL(changes, 2);
}

/* Guards against an outdated or malformed list replacing a newer one. */
static void test_older_list_is_ignored(void)
{
	uint64_t now = clock_wall_us();

	is_reader = false;
	peer_list(now - 60000000u, false);
	CU_ASSERT_EQUAL(view().count, 3);
	peer_list(now + 60000000u, true);
	CU_ASSERT_EQUAL(view().count, 3);
	peer_list(now + 60000000u, false);
	CU_ASSERT_EQUAL(view().count, 1);
	CU_ASSERT_STRING_EQUAL(view().first, "r9");
	/* The reader's own list is accepted even if its clock is behind. */
	is_reader = true;
	platform_returns_vms(2);
	CU_ASSERT_EQUAL(view().count, 2);
}

static bool wait_leaving(uint32_t leaving)
{
	uint64_t end = clock_now_us() + 5000000u;

	while (view().leaving != leaving && clock_now_us() < end)
		clock_sleep_us(2000);
	return view().leaving == leaving;
}

static void set_stop(void *arg)
{
	stop = *(struct sheet_stop *)arg;
	sheet.stops = &stop;
	sheet.stop_count = 1;
}

static void plan_stop(enum stop_scope scope, const char *target,
		      int64_t start_s)
{
	struct sheet_stop s = { .scope = scope, .duration_us = 60000000u };

	snprintf(s.target, sizeof(s.target), "%s", target);
	s.start_us = clock_wall_us() + (uint64_t)(start_s * 1000000);
	loop_call(loop, set_stop, &s);
}

/* Guards against sending work to a VM just before or during a planned stop. */
static void test_planned_stops(void)
{
	plan_stop(STOP_VM, "r2", 30); /* less than the lead time of a stop */
	CU_ASSERT_TRUE(wait_leaving(2));
	plan_stop(STOP_VM, "r2", 600);
	CU_ASSERT_TRUE(wait_leaving(0));
	plan_stop(STOP_RACK, "rack-a", -5);
	CU_ASSERT_TRUE(wait_leaving(1));
	plan_stop(STOP_AVAILABILITY_ZONE, "cagla", 0);
	CU_ASSERT_TRUE(wait_leaving(3));
	plan_stop(STOP_AVAILABILITY_ZONE, "cagla", -70); /* already over */
	CU_ASSERT_TRUE(wait_leaving(0));
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "unchanged list is not sent again",
		  test_unchanged_list_is_not_sent_again },
		{ "older list is ignored", test_older_list_is_ignored },
		{ "planned stops", test_planned_stops },
	};
	/* The sheet is only read if a service "config" is registered. */
	static const struct service_ops config_ops = { .name = "config" };
	static struct service config_service = { &config_ops };
	struct error err;
	int status;

	is_reader = true;
	settings_defaults(&settings);
	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	kernel_register(kernel, &config_service, &err);
	kernel_register(kernel, targets_create(&settings), &err);
	loop = loop_find(kernel);
	targets = targets_find(kernel);
	targets_on_change(targets, count_change, NULL);
	if (kernel_start(kernel, &err) < 0)
		return 1;
	status = RUN_SUITE("targets", tests);
	kernel_stop(kernel);
	kernel_destroy(kernel);
	return status;
}
