/*
 * Placement with real processes: operator API, shard owners and workers. Task
 * events are checked in the journal of the fake workers.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "support-cluster.h"
#include "support-unit.h"

#define READY_TIMEOUT_MS 20000
#define WAIT_TIMEOUT_MS 30000
#define SHEET                                                           \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"                                        \
	"kind,yildirim,,draft,urgent,50,0,no,,,,,\n"                    \
	"kind,yildirim,,archive,deferrable,10,0,yes,,,,,\n"             \
	"team,yildirim,court,,,100,0,,,,,,\n"

static struct cluster cluster;
static char zone[64];

struct journal_expectation {
	const char *pattern;
	const char *second_pattern;
	uint32_t count;
};

static bool journal_contains(struct cluster *c, void *arg)
{
	const struct journal_expectation *e = arg;

	return cluster_count_lines(c, "workers-0.jsonl", e->pattern,
				   e->second_pattern) >= e->count;
}

static bool wait_journal(const char *one, const char *other, uint32_t count)
{
	struct journal_expectation e = { one, other, count };

	return cluster_wait_until(&cluster, journal_contains, &e,
				  WAIT_TIMEOUT_MS) == 0;
}

/* Calls the operator API of an entry VM; returns the HTTP status. */
static int call_operator(uint32_t entry, const char *method, const char *name,
			 const char *body, struct buffer *answer)
{
	char path[160];

	if (name)
		snprintf(path, sizeof(path), "/v1/placements?id=%s.%s", zone,
			 name);
	else
		snprintf(path, sizeof(path), "/v1/placements");
	return cluster_http(cluster_operator_port(&cluster, entry), method,
			    path, "", body, answer);
}

static int create_placement(uint32_t entry, const char *name, uint32_t count,
			    uint32_t memory_mb, const char *spec)
{
	char body[512];

	snprintf(body, sizeof(body),
		 "{\"id\":\"%s.%s\",\"user\":\"yildirim\",\"team\":\"court\","
		 "\"kind\":\"archive\",\"class\":\"batch\",\"count\":%u,"
		 "\"cpu_milli\":500,\"memory_mb\":%u,\"yields\":true,"
		 "\"spec\":\"%s\"}",
		 zone, name, count, memory_mb, spec);
	return call_operator(entry, "POST", NULL, body, NULL);
}

static bool is_created(struct cluster *c, void *arg)
{
	(void)c;
	return create_placement(0, arg, 2, 256, "run_ms=1000") == 201;
}

/* Guards against a placement whose tasks never reach a worker. */
static void test_tasks_complete(void)
{
	struct buffer answer = BUFFER_INIT;
	static char name[] = "first";

	/* The shard may have no owner during the first seconds. */
	CU_ASSERT_EQUAL(
		cluster_wait_until(&cluster, is_created, name, WAIT_TIMEOUT_MS),
		0);
	CU_ASSERT_TRUE(wait_journal("\"task-end\"", "\"done\"", 2));
	CU_ASSERT_EQUAL(call_operator(0, "GET", name, "", &answer), 200);
	buffer_free(&answer);
}

/* Guards against operator requests that fail on a non-owner entry VM. */
static void test_every_entry_vm_serves_operators(void)
{
	for (uint32_t i = 0; i < cluster.entry_count; i++) {
		char name[16];

		snprintf(name, sizeof(name), "via%u", i);
		CU_ASSERT_EQUAL(create_placement(i, name, 1, 256, "run_ms=500"),
				201);
		CU_ASSERT_EQUAL(call_operator(i, "GET", name, "", NULL), 200);
	}
	CU_ASSERT_EQUAL(create_placement(0, "via0", 1, 256, ""), 409);
}

/* Guards against a cancelled task that keeps running. */
static void test_cancelled_task_stops(void)
{
	CU_ASSERT_EQUAL(create_placement(0, "long", 1, 256, "run_ms=600000"),
			201);
	CU_ASSERT_TRUE(wait_journal("\"task-start\"", ".long.0\"", 1));
	CU_ASSERT_EQUAL(call_operator(cluster.entry_count - 1, "DELETE", "long",
				      "", NULL),
			200);
	CU_ASSERT_TRUE(wait_journal("\"task-end\"", ".long.0\"", 1));
}

static bool is_impossible(struct cluster *c, void *arg)
{
	struct buffer answer = BUFFER_INIT;
	bool named;

	(void)c;
	(void)arg;
	call_operator(0, "GET", "huge", "", &answer);
	named = answer.data &&
		strstr(answer.data, "no worker has this much memory");
	buffer_free(&answer);
	return named;
}

/* Guards against an infeasible placement that reports no reason. */
static void test_infeasible_placement_has_reason(void)
{
	CU_ASSERT_EQUAL(create_placement(0, "huge", 1, 4000000, ""), 201);
	CU_ASSERT_EQUAL(cluster_wait_until(&cluster, is_impossible, NULL,
					   WAIT_TIMEOUT_MS),
			0);
}

/* Sets the state of a worker's VM; the VM list is replaced atomically. */
static void set_vm_state(const char *id, const char *state)
{
	char path[300], tmp[320];
	char *text = cluster_read_file(&cluster, "vms.json");
	json_t *vms = json_loads(text ? text : "", 0, NULL);
	json_t *vm;
	size_t i;

	json_array_foreach(vms, i, vm)
	{
		const char *name = json_string_value(json_object_get(vm, "id"));

		if (name && !strcmp(name, id))
			json_object_set_new(vm, "state", json_string(state));
	}
	snprintf(path, sizeof(path), "%s/vms.json", cluster.folder);
	snprintf(tmp, sizeof(tmp), "%s.new", path);
	json_dump_file(vms, tmp, 0);
	rename(tmp, path);
	json_decref(vms);
	free(text);
}

/* Copies the id of the worker that runs a placement's first task. */
static void get_task_worker(const char *name, char worker[64])
{
	struct buffer answer = BUFFER_INIT;
	json_t *root;

	call_operator(0, "GET", name, "", &answer);
	root = json_loadb(answer.data ? answer.data : "", answer.len, 0, NULL);
	snprintf(worker, 64, "%s",
		 json_string_value(json_object_get(
			 json_array_get(json_object_get(root, "tasks"), 0),
			 "worker")));
	json_decref(root);
	buffer_free(&answer);
}

/* Guards against a planned stop that loses the progress of a task. */
static void test_leaving_worker_migrates_task(void)
{
	char worker[64], left[200];

	CU_ASSERT_EQUAL(create_placement(0, "move", 1, 256, "run_ms=600000"),
			201);
	CU_ASSERT_TRUE_FATAL(wait_journal("\"task-start\"", ".move.0\"", 1));
	get_task_worker("move", worker);
	set_vm_state(worker, "leaving");
	CU_ASSERT_TRUE(wait_journal("\"task-start\"", ".move.0\"", 2));
	CU_ASSERT_EQUAL(cluster_count_lines(&cluster, "workers-0.jsonl",
					    "\"task-checkpoint\"", ".move.0\""),
			1);
	snprintf(left, sizeof(left), "\"worker\":\"%s\",\"task\":\"%s.move.0\"",
		 worker, zone);
	CU_ASSERT_EQUAL(cluster_count_lines(&cluster, "workers-0.jsonl",
					    "\"task-start\"", left),
			1);
	set_vm_state(worker, "live");
}

/* Guards against tasks that are lost or duplicated by a lost response. */
static void test_lost_responses(void)
{
	uint16_t port = cluster_worker_port(&cluster, 0);

	CU_ASSERT_EQUAL(cluster_set_fault(port, "{\"lose\":0.2}"), 0);
	CU_ASSERT_EQUAL(create_placement(0, "lossy", 20, 256, "run_ms=1000"),
			201);
	CU_ASSERT_TRUE(wait_journal(".lossy.", "\"state\":\"done\"", 20));
	CU_ASSERT_EQUAL(cluster_set_fault(port, "{\"reset\":true}"), 0);
	CU_ASSERT_EQUAL(cluster_count_lines(&cluster, "workers-0.jsonl",
					    ".lossy.", "\"state\":\"done\""),
			20);
}

/* Guards against concurrent or repeated attempts in the whole journal. */
static void test_no_task_runs_twice(void)
{
	char *text = cluster_read_file(&cluster, "workers-0.jsonl");
	json_t *running = json_object(), *attempts = json_object();
	char *save = NULL;
	uint32_t starts = 0, doubled = 0, repeated = 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(text);
	for (char *line = strtok_r(text, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		json_t *o = json_loads(line, 0, NULL);
		const char *event =
			json_string_value(json_object_get(o, "event"));
		const char *task =
			json_string_value(json_object_get(o, "task"));
		json_t *attempt = json_object_get(o, "attempt");

		if (event && task && !strcmp(event, "task-start")) {
			starts++;
			doubled += json_object_get(running, task) != NULL;
			repeated += json_integer_value(
					    json_object_get(attempts, task)) >=
				    json_integer_value(attempt);
			json_object_set(running, task, attempt);
			json_object_set(attempts, task, attempt);
		} else if (event && task && !strcmp(event, "task-end")) {
			json_object_del(running, task);
		}
		json_decref(o);
	}
	CU_ASSERT(starts > 30);
	CU_ASSERT_EQUAL(doubled, 0);
	CU_ASSERT_EQUAL(repeated, 0);
	json_decref(running);
	json_decref(attempts);
	free(text);
}

/* Kills and restarts each entry VM that currently owns the zone's shard. */
static void kill_owner(void)
{
	for (uint32_t i = 0; i < cluster.entry_count; i++) {
		struct buffer answer = BUFFER_INIT;
		json_t *root, *shard;
		size_t n;
		bool owns = false;

		cluster_http(cluster_operator_port(&cluster, i), "GET",
			     "/v1/status", "", "", &answer);
		root = json_loadb(answer.data ? answer.data : "", answer.len, 0,
				  NULL);
		json_array_foreach(
			json_object_get(json_object_get(root, "placement"),
					"shards"),
			n, shard)
		{
			const char *name = json_string_value(
				json_object_get(shard, "shard"));

			owns |= name && !strcmp(name, zone) &&
				json_is_true(json_object_get(shard, "owned"));
		}
		json_decref(root);
		buffer_free(&answer);
		if (!owns)
			continue;
		cluster_entry_signal(&cluster, i, SIGKILL);
		cluster_entry_start(&cluster, i);
	}
}

static bool is_running_again(struct cluster *c, void *arg)
{
	struct buffer answer = BUFFER_INIT;
	bool running;

	(void)c;
	(void)arg;
	call_operator(0, "GET", "kept", "", &answer);
	running = answer.data && strstr(answer.data, "\"running\":1");
	buffer_free(&answer);
	return running;
}

/* Guards against a task that restarts when its shard owner fails. */
static void test_task_survives_owner_failure(void)
{
	CU_ASSERT_EQUAL(create_placement(0, "kept", 1, 256, "run_ms=600000"),
			201);
	CU_ASSERT_TRUE(wait_journal("\"task-start\"", ".kept.0\"", 1));
	kill_owner();
	CU_ASSERT_EQUAL(cluster_wait_until(&cluster, is_running_again, NULL,
					   WAIT_TIMEOUT_MS),
			0);
	CU_ASSERT_EQUAL(cluster_count_lines(&cluster, "workers-0.jsonl",
					    "\"task-start\"", ".kept.0\""),
			1);
	CU_ASSERT_EQUAL(cluster_count_lines(&cluster, "workers-0.jsonl",
					    "\"task-end\"", ".kept.0\""),
			0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "tasks complete", test_tasks_complete },
		{ "every entry VM serves operators",
		  test_every_entry_vm_serves_operators },
		{ "cancelled task stops", test_cancelled_task_stops },
		{ "infeasible placement has reason",
		  test_infeasible_placement_has_reason },
		{ "task survives owner failure",
		  test_task_survives_owner_failure },
		{ "leaving worker migrates task",
		  test_leaving_worker_migrates_task },
		{ "lost responses", test_lost_responses },
		{ "no task runs twice", test_no_task_runs_twice },
	};
	struct cluster_options o;
	int status = 1;

	cluster_default_options(&o);
	o.runners = 1;
	snprintf(zone, sizeof(zone), "%s", cluster_zone_names[0]);
	printf("seed=%llu\n", (unsigned long long)o.seed);
	if (cluster_start(&cluster, &o) < 0 ||
	    cluster_apply_sheet(&cluster, 0, SHEET) < 0 ||
	    cluster_wait_ready(&cluster, READY_TIMEOUT_MS) < 0)
		goto out;
	status = RUN_SUITE("placement", tests);
out:
	cluster_stop(&cluster);
	return status;
}
