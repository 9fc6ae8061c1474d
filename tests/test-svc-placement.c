#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-unit.h"
#include "svc-config.h"
#include "svc-loop.h"
#include "svc-members.h"
#include "svc-owner.h"
#include "svc-peers.h"
#include "svc-placement.h"
#include "svc-store.h"
#include "svc-targets.h"
#include "svc-workers.h"

/*
 * The functions below replace the services that placement uses: a log that
 * commits immediately, one worker, and a peer that records messages.
 */

#define WAIT_US 5000000u

static struct oplog_client *client;
static uint64_t epoch;
static peer_fn *peer_handlers[PEER_MESSAGE_TYPES];
static void *peer_args[PEER_MESSAGE_TYPES];
static char peer_sent[512];
static size_t peer_sent_len;
static struct vm worker_vm;
static struct vm_list vms = { &worker_vm, 1 };
static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;
static char worker_task[80]; /* running task, or "" */
static char worker_calls[4096];
static struct kernel *kernel;
static struct placement_svc *placement;

struct owner *owner_find(struct kernel *k)
{
	return (struct owner *)k;
}

void owner_add_client(struct owner *o, owner_client_fn *create, void *arg)
{
	client = create(arg, "z1", (struct oplog *)o);
	create(arg, "z2", NULL);
	client->ops->reset(client);
	epoch = 5;
	client->ops->owned(client, epoch, clock_now_us());
}

void owner_of_shard(struct owner *o, const char *shard, char id[64])
{
	(void)o;
	snprintf(id, 64, "%s", strcmp(shard, "z2") ? "" : "peer2");
}

static void commit(void *arg)
{
	client->ops->committed(client, (uint64_t)(uintptr_t)arg,
			       clock_now_us());
}

int oplog_append(struct oplog *log, enum oplog_entry_type type,
		 const void *data, size_t len, uint64_t token)
{
	(void)log;
	(void)type;
	(void)data;
	(void)len;
	loop_post(loop_find(kernel), commit, (void *)(uintptr_t)token);
	return 0;
}

int oplog_append_deferred(struct oplog *log, enum oplog_entry_type type,
			  const void *data, size_t len, uint64_t token)
{
	return oplog_append(log, type, data, len, token);
}

bool oplog_is_owner(const struct oplog *log)
{
	return log != NULL;
}

uint64_t oplog_epoch(const struct oplog *log)
{
	(void)log;
	return epoch;
}

uint64_t oplog_last_unsealed_us(const struct oplog *log)
{
	(void)log;
	return clock_now_us();
}

struct peers *peers_find(struct kernel *k)
{
	return (struct peers *)k;
}

void peers_set_handler(struct peers *p, enum peer_message_type type,
		       peer_fn *fn, void *arg)
{
	(void)p;
	peer_handlers[type] = fn;
	peer_args[type] = arg;
}

int peers_send(struct peers *p, const char *id, enum peer_message_type type,
	       const void *body, size_t len)
{
	(void)p;
	(void)type;
	if (strcmp(id, "peer2") != 0 || len > sizeof(peer_sent))
		return -1;
	memcpy(peer_sent, body, len);
	peer_sent_len = len;
	return 0;
}

struct members *members_find(struct kernel *k)
{
	return (struct members *)k;
}

uint32_t members_list(struct members *m, struct member *out, uint32_t max)
{
	(void)m;
	(void)out;
	(void)max;
	return 0;
}

struct config_svc *config_find(struct kernel *k)
{
	return (struct config_svc *)k;
}

const struct config *config_current(struct config_svc *c)
{
	(void)c;
	return NULL;
}

uint64_t config_revision(struct config_svc *c)
{
	(void)c;
	return 42;
}

void config_on_change(struct config_svc *c, void (*fn)(void *arg), void *arg)
{
	(void)c;
	(void)fn;
	(void)arg;
}

int sheet_find_kind(const struct sheet *s, const char *user, const char *kind)
{
	(void)s;
	(void)user;
	(void)kind;
	return -1;
}

struct targets *targets_find(struct kernel *k)
{
	return (struct targets *)k;
}

const struct vm_list *targets_list(struct targets *t)
{
	(void)t;
	return &vms;
}

/* Fake worker that runs one task at a time. */
static int worker_call(struct platform *p,
		       const struct settings_address *address,
		       const char *method, const char *path, const char *body,
		       uint64_t timeout_us, int *status, struct buffer *answer,
		       struct error *err)
{
	size_t n;

	(void)p;
	(void)address;
	(void)timeout_us;
	(void)err;
	(void)body;
	pthread_mutex_lock(&worker_lock);
	n = strlen(worker_calls);
	if (strcmp(path, "/usage") != 0)
		snprintf(worker_calls + n, sizeof(worker_calls) - n, "%s %s\n",
			 method, path);
	*status = 200;
	if (!strcmp(method, "PUT")) {
		*status = 201;
		sscanf(path, "/workers/w1/tasks/%79[^?]", worker_task);
	} else if (!strcmp(method, "DELETE")) {
		worker_task[0] = '\0';
		buffer_append_str(answer, "{\"state\":\"stopped\","
					  "\"checkpoint\":\"c1\"}");
	} else if (!strncmp(path, "/usage", 6)) {
		buffer_append_str(answer, "{\"at_ms\":1,\"workers\":[]}");
	} else if (strstr(path, "/renew")) {
		buffer_append_str(answer, "{\"missing\":[]}");
	} else {
		buffer_append_str(answer, "{\"id\":\"w1\",\"tasks\":[]}");
	}
	pthread_mutex_unlock(&worker_lock);
	return 0;
}

static const struct platform_ops platform_ops = { .name = "fake",
						  .worker_call = worker_call };
static struct platform platform = { &platform_ops };

struct store *store_find(struct kernel *k)
{
	return (struct store *)k;
}

struct platform *store_platform(struct store *st)
{
	(void)st;
	return &platform;
}

/* Sends an operator request to the service; returns the HTTP status. */
static int request(const char *method, const char *id, const char *body,
		   struct buffer *json)
{
	int status = 0;

	buffer_reset(json);
	placement_request(placement, method, id, body, strlen(body), WAIT_US,
			  &status, json);
	return status;
}

/* Waits until the worker runs the task, or no task if task is "". */
static bool wait_for_task(const char *task)
{
	uint64_t end_us = clock_now_us() + WAIT_US;
	bool found = false;

	while (!found && clock_now_us() < end_us) {
		pthread_mutex_lock(&worker_lock);
		found = !strcmp(worker_task, task);
		pthread_mutex_unlock(&worker_lock);
		clock_sleep_us(1000);
	}
	return found;
}

static bool worker_was_called(const char *call)
{
	bool found;

	pthread_mutex_lock(&worker_lock);
	found = strstr(worker_calls, call) != NULL;
	pthread_mutex_unlock(&worker_lock);
	return found;
}

static const char create_body[] =
	"{\"id\":\"z1.job\",\"user\":\"u\",\"team\":\"t\",\"kind\":\"k\","
	"\"class\":\"batch\",\"count\":1,\"cpu_milli\":1000,"
	"\"memory_mb\":512,\"yields\":true,\"spec\":\"run_ms=5\"}";

/* Guards against a task that isn't started, or is started without a fence. */
static void test_create_reaches_the_worker(void)
{
	struct buffer json = BUFFER_INIT;

	CU_ASSERT_EQUAL(request("POST", "", create_body, &json), 201);
	/* The response names the placement; only GET lists its tasks. */
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "\"z1.job\""));
	CU_ASSERT_PTR_NULL(strstr(json.data, "\"z1.job.0\""));
	buffer_reset(&json);
	CU_ASSERT_EQUAL(request("GET", "z1.job", "", &json), 200);
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "\"z1.job.0\""));
	CU_ASSERT_TRUE(wait_for_task("z1.job.0"));
	CU_ASSERT_TRUE(worker_was_called("GET /workers/w1?fence=5\n"));
	CU_ASSERT_TRUE(
		worker_was_called("PUT /workers/w1/tasks/z1.job.0?fence=5\n"));
	CU_ASSERT_EQUAL(request("POST", "", create_body, &json), 409);
	buffer_free(&json);
}

/* Guards against explain output without the decision and its revision. */
static void test_explain_names_the_decision(void)
{
	struct buffer json = BUFFER_INIT;

	CU_ASSERT_EQUAL_FATAL(placement_explain(placement, "z1.job.0", &json),
			      0);
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "decision=start worker=w1"));
	CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "\"revision\":42"));
	CU_ASSERT_EQUAL(placement_explain(placement, "z1.no.0", &json), -1);
	buffer_free(&json);
}

/* Guards against a cancelled task that keeps running on its worker. */
static void test_cancel_reaches_the_worker(void)
{
	struct buffer json = BUFFER_INIT;

	CU_ASSERT_EQUAL(request("DELETE", "z1.job", "", &json), 200);
	CU_ASSERT_TRUE(wait_for_task(""));
	CU_ASSERT_EQUAL(request("DELETE", "z1.none", "", &json), 404);
	buffer_free(&json);
}

/* Guards against invalid input that is accepted or crashes the process. */
static void test_bad_placements_are_refused(void)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{\"id\":\"z1.a/b\",\"user\":\"u\",\"kind\":\"k\"}",
		"{\"id\":\"z1.a\",\"user\":\"u\",\"kind\":\"k\",\"count\":0}",
		"{\"id\":\"z1.a\",\"user\":\"u\",\"kind\":\"k\","
		"\"urgency\":\"soon\"}",
		"{\"id\":\"z1.a\",\"user\":\"u\",\"kind\":\"k\","
		"\"cpu_milli\":-1}",
	};
	struct buffer json = BUFFER_INIT;

	for (size_t i = 0; i < sizeof(bodies) / sizeof(bodies[0]); i++) {
		int status = request("POST", "z1.a", bodies[i], &json);

		CU_ASSERT(status == 422);
		CU_ASSERT_PTR_NOT_NULL(strstr(json.data, "\"error\""));
	}
	CU_ASSERT_EQUAL(request("GET", "nozone.a", "", &json), 404);
	buffer_free(&json);
}

struct message {
	enum peer_message_type type;
	const char *sender;
	const void *body;
	size_t len;
};

static void deliver(void *arg)
{
	struct message *m = arg;

	peer_handlers[m->type](peer_args[m->type], m->sender, m->body, m->len);
}

static void *forwarded_get(void *arg)
{
	struct buffer *json = arg;

	return (void *)(intptr_t)request("GET", "z2.far", "", json);
}

/* Guards against a request for a peer's shard that isn't forwarded. */
static void test_forwarded_to_the_owner(void)
{
	struct loop *loop = loop_find(kernel);
	uint64_t end_us = clock_now_us() + WAIT_US;
	struct buffer json = BUFFER_INIT;
	/* [request id, 200, "{}"]; the id is copied into bytes 1 to 9. */
	char reply[] = "\x93\xcf\0\0\0\0\0\0\0\0\xcc\xc8\xa2{}";
	struct message m = { PEER_PLACEMENT_REPLY, "peer2", reply,
			     sizeof(reply) - 1 };
	pthread_t thread;
	void *status;

	pthread_create(&thread, NULL, forwarded_get, &json);
	while (!peer_sent_len && clock_now_us() < end_us)
		clock_sleep_us(1000);
	CU_ASSERT_FATAL(peer_sent_len > 10);
	memcpy(reply + 1, peer_sent + 1, 9);
	loop_call(loop, deliver, &m);
	pthread_join(thread, &status);
	CU_ASSERT_EQUAL((intptr_t)status, 200);
	CU_ASSERT_STRING_EQUAL(json.data, "{}");
	buffer_free(&json);
}

static atomic_int gate_finished;
static bool gate_sent[3];

static void record_gate_result(struct worker_call *c)
{
	gate_sent[(intptr_t)c->arg] = c->sent;
	atomic_fetch_add(&gate_finished, 1);
}

static void submit_gated(void *arg)
{
	static struct worker_gate gates[3];

	(void)arg;
	for (intptr_t i = 0; i < 3; i++) {
		struct worker_call *c = calloc(1, sizeof(*c));

		gates[i].epoch = i == 1 ? 8 : 7;
		gates[i].last_append_us = clock_now_us();
		gates[i].horizon_us = 1000000;
		if (i == 2)
			gates[i].last_append_us -= 2000000;
		snprintf(c->queue, sizeof(c->queue), "gate%d", (int)i);
		c->method = "GET";
		snprintf(c->path, sizeof(c->path), "/workers/w9");
		c->send_by_us = clock_now_us() + WAIT_US;
		c->gate = &gates[i];
		c->epoch = 7;
		c->done = record_gate_result;
		c->arg = (void *)i;
		workers_submit(workers_find(kernel), c);
	}
}

/* Guards against calls sent with an old epoch or past the outage horizon. */
static void test_gate_holds_calls_back(void)
{
	uint64_t end_us = clock_now_us() + WAIT_US;

	loop_call(loop_find(kernel), submit_gated, NULL);
	while (atomic_load(&gate_finished) < 3 && clock_now_us() < end_us)
		clock_sleep_us(1000);
	CU_ASSERT_TRUE(gate_sent[0]);
	CU_ASSERT_FALSE(gate_sent[1]);
	CU_ASSERT_FALSE(gate_sent[2]);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "create reaches the worker", test_create_reaches_the_worker },
		{ "explain names the decision",
		  test_explain_names_the_decision },
		{ "cancel reaches the worker", test_cancel_reaches_the_worker },
		{ "bad placements are refused",
		  test_bad_placements_are_refused },
		{ "forwarded to the owner", test_forwarded_to_the_owner },
		{ "gate holds calls back", test_gate_holds_calls_back },
	};
	struct settings s = { 0 };
	struct error err;
	int status;

	snprintf(s.node.id, sizeof(s.node.id), "e1");
	s.policy.placement = PLACEMENT_FIRST_FIT;
	s.policy.outage_horizon_us = 900000000u;
	snprintf(worker_vm.id, sizeof(worker_vm.id), "w1");
	snprintf(worker_vm.availability_zone,
		 sizeof(worker_vm.availability_zone), "z1");
	worker_vm.role = VM_WORKER;
	worker_vm.cpu_milli = 4000;
	worker_vm.memory_mb = 8192;
	kernel = kernel_create();
	kernel_register(kernel, loop_create(), &err);
	kernel_register(kernel, workers_create(&s), &err);
	kernel_register(kernel, placement_create(&s), &err);
	if (kernel_start(kernel, &err) < 0) {
		fprintf(stderr, "%s\n", err.message);
		return 1;
	}
	placement = placement_find(kernel);
	status = RUN_SUITE("svc-placement", tests);
	kernel_stop(kernel);
	kernel_destroy(kernel);
	return status;
}
