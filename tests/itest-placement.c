/*
 * Placement with real processes: operator, owners, workers and their journal.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "support-cluster.h"
#include "support-unit.h"

#define READY_MS 20000
#define WAIT_MS 30000
#define SHEET                                                           \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"                                        \
	"kind,yildirim,,draft,urgent,50,0,no,,,,,\n"                    \
	"kind,yildirim,,archive,deferrable,10,0,yes,,,,,\n"             \
	"team,yildirim,court,,,100,0,,,,,,\n"

static struct cluster cluster;
static char zone[64];

struct expected {
	const char *one;
	const char *other;
	uint32_t count;
};

static bool journal_holds(struct cluster *c, void *arg)
{
	const struct expected *e = arg;

	return cluster_count(c, "workers-0.jsonl", e->one, e->other) >=
	       e->count;
}

static bool wait_for(const char *one, const char *other, uint32_t count)
{
	struct expected e = { one, other, count };

	return cluster_wait(&cluster, journal_holds, &e, WAIT_MS) == 0;
}

/* Calls an entry VM's operator interface; returns the status. */
static int operate(uint32_t entry, const char *method, const char *name,
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

static int create(uint32_t entry, const char *name, uint32_t count,
		  uint32_t memory_mb, const char *spec)
{
	char body[512];

	snprintf(body, sizeof(body),
		 "{\"id\":\"%s.%s\",\"user\":\"yildirim\",\"team\":\"court\","
		 "\"kind\":\"archive\",\"class\":\"batch\",\"count\":%u,"
		 "\"cpu_milli\":500,\"memory_mb\":%u,\"yields\":true,"
		 "\"spec\":\"%s\"}",
		 zone, name, count, memory_mb, spec);
	return operate(entry, "POST", NULL, body, NULL);
}

static bool is_created(struct cluster *c, void *arg)
{
	(void)c;
	return create(0, arg, 2, 256, "run_ms=1000") == 201;
}

/* Guards against a path that is broken between operator and worker. */
static void test_tasks_run_to_their_end(void)
{
	struct buffer answer = BUFFER_INIT;
	static char name[] = "first";

	/* The shard can be without an owner for the first seconds. */
	CU_ASSERT_EQUAL(cluster_wait(&cluster, is_created, name, WAIT_MS), 0);
	CU_ASSERT_TRUE(wait_for("\"task-end\"", "\"done\"", 2));
	CU_ASSERT_EQUAL(operate(0, "GET", name, "", &answer), 200);
	buffer_free(&answer);
}

/* Guards against a request through another entry VM that fails. */
static void test_every_entry_vm_serves_operators(void)
{
	for (uint32_t i = 0; i < cluster.entry_count; i++) {
		char name[16];

		snprintf(name, sizeof(name), "via%u", i);
		CU_ASSERT_EQUAL(create(i, name, 1, 256, "run_ms=500"), 201);
		CU_ASSERT_EQUAL(operate(i, "GET", name, "", NULL), 200);
	}
	CU_ASSERT_EQUAL(create(0, "via0", 1, 256, ""), 409);
}

/* Guards against a cancelled task that goes on. */
static void test_cancelled_task_stops(void)
{
	CU_ASSERT_EQUAL(create(0, "long", 1, 256, "run_ms=600000"), 201);
	CU_ASSERT_TRUE(wait_for("\"task-start\"", ".long.0\"", 1));
	CU_ASSERT_EQUAL(
		operate(cluster.entry_count - 1, "DELETE", "long", "", NULL),
		200);
	CU_ASSERT_TRUE(wait_for("\"task-end\"", ".long.0\"", 1));
}

static bool is_impossible(struct cluster *c, void *arg)
{
	struct buffer answer = BUFFER_INIT;
	bool named;

	(void)c;
	(void)arg;
	operate(0, "GET", "huge", "", &answer);
	named = answer.data &&
		strstr(answer.data, "no worker has this much memory");
	buffer_free(&answer);
	return named;
}

/* Guards against an impossible job without a reason. */
static void test_impossible_job_is_named(void)
{
	CU_ASSERT_EQUAL(create(0, "huge", 1, 4000000, ""), 201);
	CU_ASSERT_EQUAL(cluster_wait(&cluster, is_impossible, NULL, WAIT_MS),
			0);
}

/* Kills every entry VM that owns the zone's shard now. */
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
	operate(0, "GET", "kept", "", &answer);
	running = answer.data && strstr(answer.data, "\"running\":1");
	buffer_free(&answer);
	return running;
}

/* Guards against a task that is started again when its owner dies. */
static void test_task_survives_its_owner(void)
{
	CU_ASSERT_EQUAL(create(0, "kept", 1, 256, "run_ms=600000"), 201);
	CU_ASSERT_TRUE(wait_for("\"task-start\"", ".kept.0\"", 1));
	kill_owner();
	CU_ASSERT_EQUAL(cluster_wait(&cluster, is_running_again, NULL, WAIT_MS),
			0);
	CU_ASSERT_EQUAL(cluster_count(&cluster, "workers-0.jsonl",
				      "\"task-start\"", ".kept.0\""),
			1);
	CU_ASSERT_EQUAL(cluster_count(&cluster, "workers-0.jsonl",
				      "\"task-end\"", ".kept.0\""),
			0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "tasks run to their end", test_tasks_run_to_their_end },
		{ "every entry VM serves operators",
		  test_every_entry_vm_serves_operators },
		{ "cancelled task stops", test_cancelled_task_stops },
		{ "impossible job is named", test_impossible_job_is_named },
		{ "task survives its owner", test_task_survives_its_owner },
	};
	struct cluster_options o;
	int status = 1;

	cluster_defaults(&o);
	o.runners = 1;
	snprintf(zone, sizeof(zone), "%s", cluster_zone_names[0]);
	printf("seed=%llu\n", (unsigned long long)o.seed);
	if (cluster_start(&cluster, &o) < 0 ||
	    cluster_apply_sheet(&cluster, 0, SHEET) < 0 ||
	    cluster_wait_ready(&cluster, READY_MS) < 0)
		goto out;
	status = RUN_SUITE("placement", tests);
out:
	cluster_stop(&cluster);
	return status;
}
