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
 * Two entry VMs and a simulated platform on one event loop and loopback. The
 * ports are below the kernel's ephemeral range and depend on the process id, so
 * that several instances of the test can run at once.
 */
#define PORT_FIRST 20000
#define PORT_BLOCKS 250
#define PORT_BLOCK_SIZE 40
#define STORE_PORT (port_base())
#define WORKER_PORT (port_base() + 4)
#define ENTRY_PORT (port_base() + 10)
#define ENTRY_PORT_COUNT 10

#define CONFIG_BODY                                                              \
	"{\"version\":7,\"routes\":[{\"name\":\"forms\",\"host\":\"a.example\"," \
	"\"prefix\":\"/forms/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"        \
	"\"target-latency-ms\":300,\"priority\":0,\"service\":\"svc\","          \
	"\"max-attempts\":2,\"stretch\":1.5}],\"services\":[{\"name\":\"svc\","  \
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}"

#define JOB_BODY                                                            \
	"{\"specification\":\"text\",\"steps\":[{\"count\":3,\"cpu\":1000," \
	"\"memory-request-mb\":100,\"estimated-ms\":100},{\"count\":2,"     \
	"\"cpu\":1000,\"memory-request-mb\":100,\"estimated-ms\":100,"      \
	"\"after\":[0]}]}"

struct entry_vm {
	struct settings settings;
	struct job_node node;
	struct ingress *ingress;
};

struct fixture {
	struct event_base *base;
	struct jobs_platform *platform;
	struct entry_vm entries[2];
	struct http_conn *clients[2];
	uint32_t cpu_milli[2]; /* 0: the default */
	uint32_t start_interval_ms;
	int status;
	char body[256];
};

static uint16_t port_base(void)
{
	return (uint16_t)(PORT_FIRST +
			  getpid() % PORT_BLOCKS * PORT_BLOCK_SIZE);
}

static void on_reply(void *arg, const struct event_http_response *a)
{
	struct fixture *f = arg;

	f->status = a->outcome == EVENT_HTTP_RESPONDED ? a->status : -1;
	snprintf(f->body, sizeof(f->body), "%s",
		 a->outcome == EVENT_HTTP_RESPONDED ? a->body : "");
}

static void run_loop(struct fixture *f, uint32_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };

	event_base_loopexit(f->base, &tv);
	event_base_dispatch(f->base);
}

/* Sends a client's request to an entry VM and waits for the answer. */
static int request(struct fixture *f, int entry, const char *method,
		   const char *path, const char *body)
{
	static const struct http_header headers[] = {
		{ "X-Deadline-Remaining", "3000" }, { NULL, NULL }
	};

	f->status = 0;
	http_conn_call(f->clients[entry], method, path, headers, body,
		       body ? strlen(body) : 0, 4000, on_reply, f);
	for (int i = 0; i < 400 && !f->status; i++)
		run_loop(f, 10);
	return f->status;
}

static void start_entry(struct fixture *f, int i)
{
	struct entry_vm *e = &f->entries[i];
	uint16_t port = (uint16_t)(ENTRY_PORT + i * ENTRY_PORT_COUNT);
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

/* Like a killed process, doesn't release the lease: it expires. */
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
	jobs_platform_put(f->platform, "op/config", CONFIG_BODY);
	jobs_platform_add_worker(f->platform, WORKER_PORT, WORKER_PORT, 100);
	jobs_platform_add_worker(f->platform, WORKER_PORT + 1, WORKER_PORT + 1,
				 100);
	for (int i = 0; i < 2; i++) {
		start_entry(f, i);
		f->clients[i] = http_conn_create(
			f->base, "127.0.0.1",
			(uint16_t)(ENTRY_PORT + i * ENTRY_PORT_COUNT + 3));
		run_loop(f, f->start_interval_ms);
	}
}

static void set_up(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->start_interval_ms = 400;
	start_all(f);
}

static void tear_down(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		if (f->entries[i].ingress)
			stop_entry(f, i);
	for (int i = 0; i < 2; i++)
		http_conn_free(f->clients[i]);
	run_loop(f, 50);
	CU_ASSERT_EQUAL(jobs_platform_duplicate_runs(f->platform), 0);
	jobs_platform_free(f->platform);
	event_base_free(f->base);
}

#define JOB_A_PATH "/forms/00000000000000aa"
#define JOB_B_PATH "/forms/00000000000000bb"

static bool wait_completed(struct fixture *f, int entry, const char *path,
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

/* Sets the queue's host to the address that the client sends as Host. */
static void set_queue_host(struct fixture *f, int entry)
{
	char config[1200], host[64], *at;

	(void)entry;
	snprintf(config, sizeof(config), "%s", CONFIG_BODY);
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

/* A job submitted to one entry VM can be queried at the other. */
static void test_submit_and_complete(void)
{
	struct fixture f;

	set_up(&f);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 404);
	set_queue_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "GET", JOB_A_PATH, NULL), 410);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT_EQUAL(request(&f, 1, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(wait_completed(&f, 1, JOB_A_PATH, 3000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	CU_ASSERT_EQUAL(request(&f, 1, "GET", "/forms/", NULL), 200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"waiting\":0}");
	tear_down(&f);
}

/* Invalid requests are rejected with the right status and not stored. */
static void test_bad_input(void)
{
	struct fixture f;
	char *body;

	set_up(&f);
	set_queue_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, "not json"), 400);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, "{}"), 400);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", "/forms/xyz", JOB_BODY), 400);
	CU_ASSERT_EQUAL(
		request(&f, 0, "POST", "/other/00000000000000aa", JOB_BODY),
		404);
	CU_ASSERT_EQUAL(
		request(&f, 0, "POST", JOB_A_PATH,
			"{\"specification\":\"x\",\"steps\":[{\"count\":1,"
			"\"after\":[0]}]}"),
		400);
	CU_ASSERT_EQUAL(
		request(&f, 0, "POST", JOB_A_PATH,
			"{\"specification\":\"x\",\"steps\":[{\"count\":"
			"1000000}]}"),
		400);
	body = xcalloc(1, 300001);
	memset(body, ' ', 300000);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, body), 413);
	free(body);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	tear_down(&f);
}

/* Cancelling a job stops its tasks and is visible in its state. */
static void test_cancel(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "DELETE", JOB_A_PATH, NULL), 410);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH,
				"{\"specification\":\"lasts\",\"steps\":[{"
				"\"count\":2,\"cpu\":100,\"long-running\":"
				"true}]}"),
			200);
	run_loop(&f, 60);
	CU_ASSERT_EQUAL(request(&f, 1, "DELETE", JOB_A_PATH, NULL), 200);
	run_loop(&f, 300);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 0);
	CU_ASSERT_EQUAL(request(&f, 0, "GET", JOB_A_PATH, NULL), 200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"state\":\"cancelled\"}");
	tear_down(&f);
}

/*
 * The store executes writes without an answer: a repeated submission finds the
 * job stored, and the owner recognises its own transaction.
 */
static void test_lost_store_answers(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_faults(f.platform)->lose_write_answers = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	run_loop(&f, 1500);
	CU_ASSERT(jobs_platform_faults(f.platform)->unanswered_writes >= 2);
	jobs_platform_faults(f.platform)->lose_write_answers = false;
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 4000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	tear_down(&f);
}

/*
 * While the store refuses, submissions are refused quickly, and none that was
 * refused is stored later.
 */
static void test_store_refuses(void)
{
	struct fixture f;
	uint64_t start_us;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_faults(f.platform)->refuse = true;
	run_loop(&f, 200);
	start_us = clock_now_us();
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 503);
	CU_ASSERT(clock_now_us() - start_us < 700000);
	jobs_platform_faults(f.platform)->refuse = false;
	run_loop(&f, 500);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 5000));
	tear_down(&f);
}

/* After a compaction, all prefixes are read again and no job is missed. */
static void test_compacted_history(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_faults(f.platform)->compact_history = true;
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT_EQUAL(request(&f, i % 2, "POST", path, JOB_BODY),
				200);
		jobs_platform_faults(f.platform)->compact_history = i % 2 == 0;
	}
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT(wait_completed(&f, 0, path, 4000));
	}
	tear_down(&f);
}

/* Orders that workers execute without an answer start each task once. */
static void test_lost_worker_answers(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_faults(f.platform)->lose_order_answers = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	run_loop(&f, 500);
	jobs_platform_faults(f.platform)->lose_order_answers = false;
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 5000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	tear_down(&f);
}

static int find_owner(struct fixture *f)
{
	for (int i = 0; i < 2; i++)
		if (f->entries[i].ingress &&
		    job_owner_sched(f->entries[i].node.owner))
			return i;
	return -1;
}

/*
 * When the owner resigns, the other VM adopts the running tasks with a higher
 * fencing token.
 */
static void test_takeover(void)
{
	struct fixture f;
	uint64_t token;
	int owner;

	set_up(&f);
	set_queue_host(&f, 0);
	owner = find_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", JOB_A_PATH,
				"{\"specification\":\"lasts\",\"steps\":[{"
				"\"count\":2,\"cpu\":100,\"long-running\":"
				"true,\"target-ms\":0}]}"),
			200);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", JOB_B_PATH, JOB_BODY), 200);
	token = jobs_platform_fencing_token(f.platform);
	job_owner_resign(f.entries[owner].node.owner);
	run_loop(&f, 100);
	stop_entry(&f, owner);
	CU_ASSERT(wait_completed(&f, !owner, JOB_B_PATH, 6000));
	CU_ASSERT_EQUAL(find_owner(&f), !owner);
	CU_ASSERT(jobs_platform_fencing_token(f.platform) > token);
	tear_down(&f);
}

/* A small VM that starts first must not become owner before a larger one. */
static void test_larger_vm_becomes_owner(void)
{
	struct fixture f = { .cpu_milli = { 120, 500 },
			     .start_interval_ms = 200 };

	start_all(&f);
	run_loop(&f, 1000);
	CU_ASSERT_EQUAL(find_owner(&f), 1);
	tear_down(&f);
}

/* A process restarted on the owner's VM becomes owner without waiting. */
static void test_restarted_owner_claims_immediately(void)
{
	struct fixture f;
	uint64_t start_us;
	int owner;

	set_up(&f);
	set_queue_host(&f, 0);
	owner = find_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	stop_entry(&f, owner);
	run_loop(&f, 50);
	start_us = clock_now_us();
	start_entry(&f, owner);
	for (int i = 0; i < 100 && find_owner(&f) != owner; i++)
		run_loop(&f, 10);
	CU_ASSERT_EQUAL(find_owner(&f), owner);
	CU_ASSERT(clock_now_us() - start_us < 800000);
	CU_ASSERT_EQUAL(request(&f, !owner, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(wait_completed(&f, !owner, JOB_A_PATH, 4000));
	tear_down(&f);
}

/*
 * While the store is unresponsive, the first submission has an unknown outcome
 * (504) and the next, with the circuit breaker open, is refused quickly.
 */
static void test_unresponsive_store(void)
{
	struct fixture f;
	uint64_t start_us;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_faults(f.platform)->unresponsive = true;
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 504);
	start_us = clock_now_us();
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_B_PATH, JOB_BODY), 503);
	CU_ASSERT(clock_now_us() - start_us < 600000);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	jobs_platform_faults(f.platform)->unresponsive = false;
	run_loop(&f, 2500);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 5000));
	tear_down(&f);
}

/* If the owner key is deleted, the owner steps down and one is elected. */
static void test_ownership_revoked(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_platform_delete(f.platform, "waxwing/owner/lead");
	run_loop(&f, 1500);
	CU_ASSERT(find_owner(&f) >= 0);
	CU_ASSERT_FALSE(job_owner_sched(f.entries[0].node.owner) &&
			job_owner_sched(f.entries[1].node.owner));
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 4000));
	tear_down(&f);
}

/* A malformed or older configuration is ignored. */
static void test_older_config_ignored(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_put(f.platform, "op/config", "{\"version\":9");
	run_loop(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	jobs_platform_put(f.platform, "op/config", CONFIG_BODY);
	run_loop(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	tear_down(&f);
}

/* Malformed worker entries are ignored; other workers stay in use. */
static void test_malformed_worker_entries(void)
{
	struct fixture f;

	set_up(&f);
	set_queue_host(&f, 0);
	jobs_platform_put(f.platform, "servers/i-x", "\x01\x02 no json");
	jobs_platform_put(f.platform, "servers/i-y", "{\"service\":5}");
	jobs_platform_put(f.platform, "servers/i-z",
			  "{\"service\":\"svc\",\"address\":\"127.0.0.1:1\","
			  "\"state\":\"asleep\"}");
	CU_ASSERT_EQUAL(request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(wait_completed(&f, 0, JOB_A_PATH, 3000));
	tear_down(&f);
}

/* An entry VM with a configuration is ready until it drains. */
static void test_readiness(void)
{
	struct fixture f;
	struct http_conn *c;

	set_up(&f);
	c = http_conn_create(f.base, "127.0.0.1", ENTRY_PORT + 1);
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
 * Guards against one store call per changed worker entry: with many workers,
 * changes must be batched.
 */
static void test_worker_changes_batched(void)
{
	struct fixture f;
	uint32_t polls;
	char key[32];

	set_up(&f);
	polls = jobs_platform_worker_watch_polls(f.platform);
	for (int i = 0; i < 40; i++) {
		snprintf(key, sizeof(key), "servers/other-%d", i % 8);
		jobs_platform_put(f.platform, key, "{}");
		run_loop(&f, 25);
	}
	polls = jobs_platform_worker_watch_polls(f.platform) - polls;
	/* One second of changes, one poll in 200 ms. */
	CU_ASSERT(polls >= 3 && polls <= 7);
	tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "submit and complete", test_submit_and_complete },
		{ "bad input", test_bad_input },
		{ "cancel", test_cancel },
		{ "lost store answers", test_lost_store_answers },
		{ "store refuses", test_store_refuses },
		{ "compacted history", test_compacted_history },
		{ "lost worker answers", test_lost_worker_answers },
		{ "takeover", test_takeover },
		{ "larger VM becomes owner", test_larger_vm_becomes_owner },
		{ "restarted owner claims immediately",
		  test_restarted_owner_claims_immediately },
		{ "unresponsive store", test_unresponsive_store },
		{ "ownership revoked", test_ownership_revoked },
		{ "older configuration ignored", test_older_config_ignored },
		{ "malformed worker entries", test_malformed_worker_entries },
		{ "worker changes batched", test_worker_changes_batched },
		{ "readiness", test_readiness },
	};

	return RUN_SUITE("jobs-node", tests);
}
