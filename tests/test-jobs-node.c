#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "adapter.h"
#include "clock.h"
#include "event-http.h"
#include "log.h"
#include "support-jobs-platform.h"
#include "support-unit.h"

/*
 * Two entry VMs against a stand-in of the users' platform, all on one event
 * loop and loopback. The ports lie below those that the kernel hands out and
 * differ between processes, so that several may run at once.
 */
#define PORTS_BEGIN 20000
#define PORT_BLOCKS 250
#define PORT_BLOCK 40
#define STORE_PORT (port_base())
#define WORKER_PORT (port_base() + 4)
#define NODE_PORT (port_base() + 10)
#define NODE_PORTS 10

#define CONFIG                                                                   \
	"{\"version\":7,\"routes\":[{\"name\":\"forms\",\"host\":\"a.example\"," \
	"\"prefix\":\"/forms/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"        \
	"\"target-latency-ms\":300,\"priority\":0,\"service\":\"svc\","          \
	"\"max-attempts\":2,\"stretch\":1.5}],\"services\":[{\"name\":\"svc\","  \
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}"

#define JOB                                                                 \
	"{\"specification\":\"text\",\"steps\":[{\"count\":3,\"cpu\":1000," \
	"\"memory-request-mb\":100,\"estimated-ms\":100},{\"count\":2,"     \
	"\"cpu\":1000,\"memory-request-mb\":100,\"estimated-ms\":100,"      \
	"\"after\":[0]}]}"

struct entry {
	struct settings settings;
	struct job_node node;
	struct ingress *ingress;
};

struct fixture {
	struct event_base *base;
	struct jobs_platform *platform;
	struct entry entries[2];
	struct http_conn *caller[2];
	uint32_t cpu_milli[2]; /* 0: the default */
	uint32_t start_gap_ms;
	int status;
	char body[256];
};

static uint16_t port_base(void)
{
	return (uint16_t)(PORTS_BEGIN + getpid() % PORT_BLOCKS * PORT_BLOCK);
}

static void on_reply(void *arg, const struct http_response *a)
{
	struct fixture *f = arg;

	f->status = a->outcome == HTTP_RESPONDED ? a->status : -1;
	snprintf(f->body, sizeof(f->body), "%s",
		 a->outcome == HTTP_RESPONDED ? a->body : "");
}

static void run_loop(struct fixture *f, uint32_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
}

/* Sends a caller's request to an entry VM and waits for its answer. */
static int request(struct fixture *f, int entry, const char *method,
		   const char *path, const char *body)
{
	static const struct http_header headers[] = {
		{ "X-Deadline-Remaining", "3000" }, { NULL, NULL }
	};

	f->status = 0;
	http_conn_call(f->caller[entry], method, path, headers, body,
		       body ? strlen(body) : 0, 4000, on_reply, f);
	for (int i = 0; i < 400 && !f->status; i++)
		run_loop(f, 10);
	return f->status;
}

static void start_entry(struct fixture *f, int i)
{
	struct entry *e = &f->entries[i];
	uint16_t port = (uint16_t)(NODE_PORT + i * NODE_PORTS);
	struct error err;

	settings_defaults(&e->settings);
	if (f->cpu_milli[i])
		e->settings.node.cpu_milli = f->cpu_milli[i];
	snprintf(e->settings.node.id, sizeof(e->settings.node.id), "entry-%d",
		 i);
	strcpy(e->settings.platform.address.host, "127.0.0.1");
	e->settings.platform.address.port = STORE_PORT;
	e->settings.jobs.peers = e->settings.platform.address;
	e->settings.jobs.peers.port = port;
	e->settings.jobs.readiness = e->settings.jobs.peers;
	e->settings.jobs.readiness.port = (uint16_t)(port + 1);
	e->settings.jobs.metrics = e->settings.jobs.peers;
	e->settings.jobs.metrics.port = (uint16_t)(port + 2);
	e->settings.front.listen = e->settings.jobs.peers;
	e->settings.front.listen.port = (uint16_t)(port + 3);
	memset(&e->node, 0, sizeof(e->node));
	e->node.settings = &e->settings;
	e->node.platform = &adapter_platform;
	e->node.base = f->base;
	CU_ASSERT_EQUAL_FATAL(job_node_start(&e->node, &err), 0);
	e->ingress = ingress_create(&e->node, &err);
	CU_ASSERT_PTR_NOT_NULL_FATAL(e->ingress);
}

/* What a killed process does not do is left out: its lease just ends. */
static void stop_entry(struct fixture *f, int i)
{
	(void)f;
	ingress_destroy(f->entries[i].ingress);
	f->entries[i].ingress = NULL;
	job_node_stop(&f->entries[i].node);
}

static void start_all(struct fixture *f)
{
	log_set_level(getenv("WAXWING_TEST_LOG") ? LOG_DEBUG : LOG_ERROR);
	f->base = event_base_new();
	f->platform = jobs_platform_create(f->base, STORE_PORT);
	jobs_platform_put(f->platform, "op/config", CONFIG);
	jobs_platform_worker(f->platform, WORKER_PORT, WORKER_PORT, 100);
	jobs_platform_worker(f->platform, WORKER_PORT + 1, WORKER_PORT + 1,
			     100);
	for (int i = 0; i < 2; i++) {
		start_entry(f, i);
		f->caller[i] = http_conn_create(
			f->base, "127.0.0.1",
			(uint16_t)(NODE_PORT + i * NODE_PORTS + 3));
		run_loop(f, f->start_gap_ms);
	}
}

static void set_up(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->start_gap_ms = 400;
	start_all(f);
}

static void tear_down(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		if (f->entries[i].ingress)
			stop_entry(f, i);
	for (int i = 0; i < 2; i++)
		http_conn_free(f->caller[i]);
	run_loop(f, 50);
	CU_ASSERT_EQUAL(jobs_platform_twice(f->platform), 0);
	jobs_platform_free(f->platform);
	event_base_free(f->base);
}

#define ID_A "/forms/00000000000000aa"
#define ID_B "/forms/00000000000000bb"

static bool completed(struct fixture *f, int entry, const char *path,
		      uint32_t ms)
{
	for (uint32_t t = 0; t < ms; t += 100) {
		if (request(f, entry, "GET", path, NULL) == 200 &&
		    strstr(f->body, "completed"))
			return true;
		run_loop(f, 100);
	}
	return false;
}

/* Host is set by the client to its address, so the queue's host is that. */
static void use_host(struct fixture *f, int entry)
{
	char config[1200], host[64], *at;

	(void)entry;
	snprintf(config, sizeof(config), "%s", CONFIG);
	at = strstr(config, "a.example");
	snprintf(host, sizeof(host), "127.0.0.1");
	memmove(at + strlen(host), at + strlen("a.example"),
		strlen(at + strlen("a.example")) + 1);
	memcpy(at, host, strlen(host));
	at = strstr(config, "\"version\":7");
	at[strlen("\"version\":")] = '8';
	jobs_platform_put(f->platform, "op/config", config);
	run_loop(f, 300);
}

/* The whole path: handed in at one entry VM, asked for at the other. */
static void test_whole_path(void)
{
	struct fixture f;

	set_up(&f);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 404);
	use_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "GET", ID_A, NULL), 410);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	CU_ASSERT_EQUAL(request(&f, 1, "POST", ID_A, JOB), 200);
	CU_ASSERT(completed(&f, 1, ID_A, 3000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	CU_ASSERT_EQUAL(request(&f, 1, "GET", "/forms/", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"waiting\":0}");
	tear_down(&f);
}

/* Refusals are clear, and nothing is stored. */
static void test_bad_input(void)
{
	struct fixture f;
	char *body;

	set_up(&f);
	use_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, "not json"), 400);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, "{}"), 400);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", "/forms/xyz", JOB), 400);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", "/other/00000000000000aa", JOB),
			404);
	CU_ASSERT_EQUAL(
		request(&f, 0, "POST", ID_A,
			"{\"specification\":\"x\",\"steps\":[{\"count\":1,"
			"\"after\":[0]}]}"),
		400);
	CU_ASSERT_EQUAL(
		request(&f, 0, "POST", ID_A,
			"{\"specification\":\"x\",\"steps\":[{\"count\":"
			"1000000}]}"),
		400);
	body = xcalloc(1, 300001);
	memset(body, ' ', 300000);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, body), 413);
	free(body);
	CU_ASSERT_EQUAL(jobs_platform_count(f.platform, "waxwing/in/"), 0);
	tear_down(&f);
}

/* A cancelled job's tasks are stopped, and its state is shown. */
static void test_cancel(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "DELETE", ID_A, NULL), 410);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A,
				"{\"specification\":\"lasts\",\"steps\":[{"
				"\"count\":2,\"cpu\":100,\"long-running\":"
				"true}]}"),
			200);
	run_loop(&f, 60);
	CU_ASSERT_EQUAL(request(&f, 1, "DELETE", ID_A, NULL), 200);
	run_loop(&f, 300);
	CU_ASSERT_EQUAL(jobs_platform_running(f.platform), 0);
	CU_ASSERT_EQUAL(request(&f, 0, "GET", ID_A, NULL), 200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"state\":\"cancelled\"}");
	tear_down(&f);
}

/*
 * Writes that are carried out and not answered: the hand-in is found to be
 * stored, and the owner recognises its own transaction.
 */
static void test_lost_answers_of_the_store(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_faults(f.platform)->lose_writes = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	run_loop(&f, 1500);
	CU_ASSERT(jobs_platform_faults(f.platform)->carry_out >= 2);
	jobs_platform_faults(f.platform)->lose_writes = false;
	CU_ASSERT(completed(&f, 0, ID_A, 4000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	tear_down(&f);
}

/* While the store refuses, hand-ins are refused truly and at once. */
static void test_store_refuses(void)
{
	struct fixture f;
	uint64_t begun;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_faults(f.platform)->refuse = true;
	run_loop(&f, 200);
	begun = clock_now_us();
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 503);
	CU_ASSERT(clock_now_us() - begun < 700000);
	jobs_platform_faults(f.platform)->refuse = false;
	run_loop(&f, 500);
	CU_ASSERT_EQUAL(jobs_platform_count(f.platform, "waxwing/in/"), 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	CU_ASSERT(completed(&f, 0, ID_A, 5000));
	tear_down(&f);
}

/* The history is gone: the prefixes are read again, nothing is missed. */
static void test_history_is_forgotten(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_faults(f.platform)->forget = true;
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT_EQUAL(request(&f, i % 2, "POST", path, JOB), 200);
		jobs_platform_faults(f.platform)->forget = i % 2 == 0;
	}
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT(completed(&f, 0, path, 4000));
	}
	tear_down(&f);
}

/* Orders that are carried out without an answer run once. */
static void test_lost_answers_of_workers(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_faults(f.platform)->lose_orders = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	run_loop(&f, 500);
	jobs_platform_faults(f.platform)->lose_orders = false;
	CU_ASSERT(completed(&f, 0, ID_A, 5000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	tear_down(&f);
}

static int owner_of(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		if (f->entries[i].ingress &&
		    job_owner_sched(f->entries[i].node.owner))
			return i;
	return -1;
}

/* The owner goes; the other adopts what runs with a higher token. */
static void test_takeover(void)
{
	struct fixture f;
	uint64_t token;
	int owner;

	set_up(&f);
	use_host(&f, 0);
	owner = owner_of(&f);
	CU_ASSERT_FATAL(owner >= 0);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", ID_A,
				"{\"specification\":\"lasts\",\"steps\":[{"
				"\"count\":2,\"cpu\":100,\"long-running\":"
				"true,\"target-ms\":0}]}"),
			200);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", ID_B, JOB), 200);
	token = jobs_platform_token(f.platform);
	job_owner_resign(f.entries[owner].node.owner);
	run_loop(&f, 100);
	stop_entry(&f, owner);
	CU_ASSERT(completed(&f, !owner, ID_B, 6000));
	CU_ASSERT_EQUAL(owner_of(&f), !owner);
	CU_ASSERT(jobs_platform_token(f.platform) > token);
	tear_down(&f);
}

/* The first to start must not own when others have more processors. */
static void test_larger_vm_owns(void)
{
	struct fixture f = { .cpu_milli = { 120, 500 }, .start_gap_ms = 200 };

	start_all(&f);
	run_loop(&f, 1000);
	CU_ASSERT_EQUAL(owner_of(&f), 1);
	tear_down(&f);
}

/* A process that is started again on the owner's VM owns at once. */
static void test_restarted_owner_claims_at_once(void)
{
	struct fixture f;
	uint64_t begun;
	int owner;

	set_up(&f);
	use_host(&f, 0);
	owner = owner_of(&f);
	CU_ASSERT_FATAL(owner >= 0);
	stop_entry(&f, owner);
	run_loop(&f, 50);
	begun = clock_now_us();
	start_entry(&f, owner);
	for (int i = 0; i < 100 && owner_of(&f) != owner; i++)
		run_loop(&f, 10);
	CU_ASSERT_EQUAL(owner_of(&f), owner);
	CU_ASSERT(clock_now_us() - begun < 800000);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", ID_A, JOB), 200);
	CU_ASSERT(completed(&f, !owner, ID_A, 4000));
	tear_down(&f);
}

/*
 * While the store does not answer, a hand-in waits for nothing once that is
 * known; one that may have been stored is not called refused.
 */
static void test_silent_store_is_not_waited_for(void)
{
	struct fixture f;
	uint64_t begun;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_faults(f.platform)->silent = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 504);
	begun = clock_now_us();
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_B, JOB), 503);
	CU_ASSERT(clock_now_us() - begun < 600000);
	CU_ASSERT_EQUAL(jobs_platform_count(f.platform, "waxwing/in/"), 0);
	jobs_platform_faults(f.platform)->silent = false;
	run_loop(&f, 2500);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	CU_ASSERT(completed(&f, 0, ID_A, 5000));
	tear_down(&f);
}

/* The store removes the owner's key: it steps down, one owner remains. */
static void test_ownership_is_revoked(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	jobs_platform_delete(f.platform, "waxwing/owner/lead");
	run_loop(&f, 1500);
	CU_ASSERT(owner_of(&f) >= 0);
	CU_ASSERT_FALSE(job_owner_sched(f.entries[0].node.owner) &&
			job_owner_sched(f.entries[1].node.owner));
	CU_ASSERT(completed(&f, 0, ID_A, 4000));
	tear_down(&f);
}

/* A configuration that cannot be read, or an older one, changes nothing. */
static void test_configuration_never_goes_back(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_put(f.platform, "op/config", "{\"version\":9");
	run_loop(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	jobs_platform_put(f.platform, "op/config", CONFIG);
	run_loop(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	tear_down(&f);
}

/* An entry by another writer names no worker; the others stay in use. */
static void test_foreign_worker_entries(void)
{
	struct fixture f;

	set_up(&f);
	use_host(&f, 0);
	jobs_platform_put(f.platform, "servers/i-x", "\x01\x02 no json");
	jobs_platform_put(f.platform, "servers/i-y", "{\"service\":5}");
	jobs_platform_put(f.platform, "servers/i-z",
			  "{\"service\":\"svc\",\"address\":\"127.0.0.1:1\","
			  "\"state\":\"asleep\"}");
	CU_ASSERT_EQUAL(request(&f, 0, "POST", ID_A, JOB), 200);
	CU_ASSERT(completed(&f, 0, ID_A, 3000));
	tear_down(&f);
}

/* Readiness follows the configuration and the shutdown. */
static void test_readiness(void)
{
	struct fixture f;
	struct http_conn *c;

	set_up(&f);
	c = http_conn_create(f.base, "127.0.0.1", NODE_PORT + 1);
	f.status = 0;
	http_conn_call(c, "GET", "/waxwingflow/readiness", NULL, NULL, 0, 500,
		       on_reply, &f);
	run_loop(&f, 100);
	CU_ASSERT_EQUAL(f.status, 200);
	f.entries[0].node.draining = true;
	http_conn_call(c, "GET", "/waxwingflow/readiness", NULL, NULL, 0, 500,
		       on_reply, &f);
	run_loop(&f, 100);
	CU_ASSERT_EQUAL(f.status, 503);
	http_conn_free(c);
	tear_down(&f);
}

/*
 * Guards against a call on the store for each line that one of many workers
 * writes about itself.
 */
static void test_changes_of_workers_are_gathered(void)
{
	struct fixture f;
	uint32_t polls;
	char key[32];

	set_up(&f);
	polls = jobs_platform_worker_polls(f.platform);
	for (int i = 0; i < 40; i++) {
		snprintf(key, sizeof(key), "servers/other-%d", i % 8);
		jobs_platform_put(f.platform, key, "{}");
		run_loop(&f, 25);
	}
	polls = jobs_platform_worker_polls(f.platform) - polls;
	/* One second of changes, one poll in 200 ms. */
	CU_ASSERT(polls >= 3 && polls <= 7);
	tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "whole path", test_whole_path },
		{ "bad input", test_bad_input },
		{ "cancel", test_cancel },
		{ "lost answers of the store", test_lost_answers_of_the_store },
		{ "store refuses", test_store_refuses },
		{ "history is forgotten", test_history_is_forgotten },
		{ "lost answers of workers", test_lost_answers_of_workers },
		{ "takeover", test_takeover },
		{ "larger VM owns", test_larger_vm_owns },
		{ "restarted owner claims at once",
		  test_restarted_owner_claims_at_once },
		{ "silent store is not waited for",
		  test_silent_store_is_not_waited_for },
		{ "ownership is revoked", test_ownership_is_revoked },
		{ "configuration never goes back",
		  test_configuration_never_goes_back },
		{ "foreign worker entries", test_foreign_worker_entries },
		{ "changes of workers are gathered",
		  test_changes_of_workers_are_gathered },
		{ "readiness", test_readiness },
	};

	return RUN_SUITE("jobs-node", tests);
}
