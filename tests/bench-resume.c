/*
 * Scenarios answers and resume: responses to callers must agree with what ran,
 * and evicted tasks must resume exactly once, while entry VMs are killed or
 * paused and responses of the store, runners and workers are lost, truncated
 * or carry a wrong id.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-bench.h"
#include "support-check.h"

#define SECOND_US 1000000u
#define LEAVE_GRACE_US (3 * SECOND_US)
#define EXAMPLES_MAX 5
#define BATCH_TASKS_PER_ZONE 24
#define SERVICES_PER_ZONE 8 /* created by each eviction wave */
#define WAVES 3
#define FINISH_TIMEOUT_MS 60000
#define OPERATOR_CALL_TRIES 50
#define STATE_DONE "\"state\":\"done\""

#define ANSWERS_SHEET                                    \
	BENCH_SHEET_HEADER                               \
	"kind,yildirim,,draft,urgent,40,0,no,,,,,\n"     \
	"kind,yildirim,,statement,normal,20,0,no,,,,,\n" \
	"kind,bandargah,,closure,normal,20,0,no,,,,,\n"

#define RESUME_SHEET                                        \
	BENCH_SHEET_HEADER                                  \
	"kind,yildirim,,archive,deferrable,20,0,yes,,,,,\n" \
	"kind,bandargah,,booking,urgent,40,0,no,,,,,\n"     \
	"team,yildirim,court,,,100,0,,1000,4000,,,\n"       \
	"team,bandargah,port,,,100,0,,1000,4000,,,\n"

struct scheduled_signal {
	double at_s;
	uint32_t entry;
	int signal; /* 0: restart the entry VM */
};

static int run_answers(uint64_t seed);
static int run_resume(uint64_t seed);
static int read_journals(struct cluster *c, struct check *k);
static int check_journals(struct cluster *c,
			  struct check_result results[CHECK_RULE_COUNT],
			  struct check_counts *counts);
static void report_violations(const char *name, uint64_t seed,
			      const char *metric, const struct check_result *r);
static void run_signal_schedule(struct cluster *c,
				const struct scheduled_signal *signals,
				size_t count);
static int call_operator_api(struct cluster *c, const char *method,
			     const char *path, const char *body);
static int create_placement(struct cluster *c, uint32_t zone, const char *name,
			    uint32_t count, bool service);
static int cancel_placement(struct cluster *c, uint32_t zone, const char *name);
static uint32_t count_ended_tasks(struct cluster *c, const char *state);
static bool all_batch_tasks_done(struct cluster *c, void *arg);
static int run_eviction_wave(struct cluster *c, uint32_t number);

/* Kills entry VMs while they serve, own shards or replay, and pauses one. */
static const struct scheduled_signal answers_signals[] = {
	{ 5, 0, SIGKILL },  { 7.5, 3, SIGSTOP }, { 9, 0, 0 },
	{ 12, 3, SIGCONT }, { 14, 5, SIGKILL },	 { 16, 2, SIGKILL },
	{ 18, 5, 0 },
};

static int read_journals(struct cluster *c, struct check *k)
{
	static const char *const names[] = { "runners", "workers" };
	char path[400];

	for (size_t n = 0; n < 2; n++) {
		for (uint32_t z = 0; z < c->options.zones; z++) {
			if (n == 0 ? !c->options.runners : !c->options.workers)
				continue;
			snprintf(path, sizeof(path), "%s/%s-%u.jsonl",
				 c->folder, names[n], z);
			if (check_read(k, path, false) < 0)
				return -1;
		}
	}
	return 0;
}

static int check_journals(struct cluster *c,
			  struct check_result results[CHECK_RULE_COUNT],
			  struct check_counts *counts)
{
	struct check *k = check_create(LEAVE_GRACE_US);
	char path[400];
	int ret = read_journals(c, k);

	snprintf(path, sizeof(path), "%s/load.jsonl", c->folder);
	if (ret == 0 && c->options.runners && !c->options.workers)
		ret = check_read(k, path, false);
	if (ret == 0) {
		check_count(k, counts);
		check_evaluate(k, results, EXAMPLES_MAX);
	}
	check_free(k);
	return ret;
}

static void report_violations(const char *name, uint64_t seed,
			      const char *metric, const struct check_result *r)
{
	bench_report_max(name, seed, metric, (double)r->violations, "cases", 0);
}

static void run_signal_schedule(struct cluster *c,
				const struct scheduled_signal *signals,
				size_t count)
{
	uint64_t begin_us = clock_now_us();

	for (size_t i = 0; i < count; i++) {
		uint64_t due_us =
			begin_us + (uint64_t)(signals[i].at_s * SECOND_US);
		uint64_t now_us = clock_now_us();

		if (due_us > now_us)
			clock_sleep_us(due_us - now_us);
		if (signals[i].signal)
			cluster_entry_signal(c, signals[i].entry,
					     signals[i].signal);
		else
			cluster_entry_start(c, signals[i].entry);
	}
}

static int run_answers(uint64_t seed)
{
	static const char *const mixes[] = {
		"user=yildirim,kind=draft,rate=100,work_us=15000,"
		"work_spread=60,deadline_ms=1500,retries=2,answer_bytes=4000",
		"user=yildirim,kind=statement,idempotent=no,rate=40,"
		"work_us=20000,deadline_ms=3000,retries=3,"
		"duplicate_percent=30,answer_bytes=2000",
		"user=bandargah,kind=closure,idempotent=no,rate=30,"
		"work_us=50000,deadline_ms=3000,retries=3,duplicate_percent=30",
		NULL,
	};
	struct check_result results[CHECK_RULE_COUNT];
	struct check_counts counts;
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats kind;
	struct cluster c;
	int ret = -1;

	cluster_default_options(&o);
	o.workers = 0;
	o.seed = seed;
	if (bench_start_cluster(&c, &o, ANSWERS_SHEET) < 0)
		goto out;
	for (uint32_t z = 0; z < o.zones; z++)
		cluster_set_fault(cluster_runner_control_port(&c, z),
				  "{\"drop\":0.05,\"truncate\":0.05,"
				  "\"wrong_id\":0.05,\"error_rate\":0.03}");
	cluster_set_fault(cluster_store_port(&c),
			  "{\"lose\":0.1,\"delay_ms\":20}");
	if (bench_load_start(&load, &c, 0x7f, mixes, 24, seed, "load") < 0)
		goto out;
	run_signal_schedule(&c, answers_signals,
			    sizeof(answers_signals) /
				    sizeof(answers_signals[0]));
	if (bench_load_wait(&load) < 0 ||
	    check_journals(&c, results, &counts) < 0)
		goto out;
	bench_load_get_stats(&load, NULL, &kind);
	bench_report_info("answers", seed, "sent", kind.sent, "requests");
	bench_report_info("answers", seed, "done", kind.done, "requests");
	bench_report_info("answers", seed, "runs", (double)counts.runs, "runs");
	report_violations("answers", seed, "run-twice",
			  &results[CHECK_RUN_ONCE]);
	report_violations("answers", seed, "not-run-that-ran",
			  &results[CHECK_NOT_RUN]);
	report_violations("answers", seed, "done-never-ran",
			  &results[CHECK_ANSWER_WITHOUT_RUN]);
	report_violations("answers", seed, "answers-not-whole",
			  &results[CHECK_ANSWER]);
	report_violations("answers", seed, "above-slots",
			  &results[CHECK_SLOTS]);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

/* Tries the entry VMs in turn until one accepts, like an operator's retries. */
static int call_operator_api(struct cluster *c, const char *method,
			     const char *path, const char *body)
{
	for (uint32_t n = 0; n < OPERATOR_CALL_TRIES * c->entry_count; n++) {
		uint32_t entry = n % c->entry_count;
		int status = -1;

		if (c->entries[entry].pid > 0)
			status = cluster_http(cluster_operator_port(c, entry),
					      method, path, NULL, body, NULL);
		/* 404 and 409: an earlier call whose response was lost. */
		if (status == 200 || status == 201 || status == 404 ||
		    status == 409)
			return 0;
		if (entry == c->entry_count - 1)
			clock_sleep_us(SECOND_US / 5);
	}
	fprintf(stderr, "%s %s: no entry VM accepted the call\n", method, path);
	return -1;
}

static int create_placement(struct cluster *c, uint32_t zone, const char *name,
			    uint32_t count, bool service)
{
	char body[768];

	snprintf(body, sizeof(body),
		 "{\"id\":\"%s.%s\",\"user\":\"%s\",\"team\":\"%s\","
		 "\"name\":\"%s\",\"class\":\"%s\",\"kind\":\"%s\","
		 "\"urgency\":\"%s\",\"count\":%u,\"cpu_milli\":4000,"
		 "\"memory_mb\":2000,\"accelerators\":0,\"yields\":%s,"
		 "\"spread\":\"none\",\"max_run_ms\":0,\"spec\":\"%s\"}",
		 cluster_zone_names[zone], name,
		 service ? "bandargah" : "yildirim", service ? "port" : "court",
		 name, service ? "service" : "batch",
		 service ? "booking" : "archive",
		 service ? "urgent" : "deferrable", count,
		 service ? "false" : "true",
		 service ? "service=1 cpu=3000 mem=1500 kind=booking"
			 : "run_ms=4000 cpu=3500 mem=1500 kind=archive");
	return call_operator_api(c, "POST", "/v1/placements", body);
}

static int cancel_placement(struct cluster *c, uint32_t zone, const char *name)
{
	char path[128];

	snprintf(path, sizeof(path), "/v1/placements?id=%s.%s",
		 cluster_zone_names[zone], name);
	return call_operator_api(c, "DELETE", path, NULL);
}

/* Counts the batch tasks of all zones that ended in a state. */
static uint32_t count_ended_tasks(struct cluster *c, const char *state)
{
	uint32_t count = 0;

	for (uint32_t z = 0; z < c->options.zones; z++) {
		char file[32];

		snprintf(file, sizeof(file), "workers-%u.jsonl", z);
		count += cluster_count_lines(c, file, ".archive.", state);
	}
	return count;
}

static bool all_batch_tasks_done(struct cluster *c, void *arg)
{
	(void)arg;
	clock_sleep_us(SECOND_US / 5);
	return count_ended_tasks(c, STATE_DONE) >=
	       BATCH_TASKS_PER_ZONE * c->options.zones;
}

/* Urgent services evict batch tasks while two entry VMs are killed. */
static int run_eviction_wave(struct cluster *c, uint32_t number)
{
	uint32_t first = number * 2 % c->entry_count;
	uint32_t second = (number * 2 + 3) % c->entry_count;
	char name[16];
	int ret = 0;

	snprintf(name, sizeof(name), "wave%u", number);
	for (uint32_t z = 0; z < c->options.zones; z++)
		ret |= create_placement(c, z, name, SERVICES_PER_ZONE, true);
	clock_sleep_us(SECOND_US / 2);
	cluster_entry_signal(c, first, SIGKILL);
	ret |= cluster_entry_start(c, first);
	clock_sleep_us(3 * SECOND_US / 2);
	cluster_entry_signal(c, second, SIGKILL);
	ret |= cluster_entry_start(c, second);
	clock_sleep_us(3 * SECOND_US / 2);
	for (uint32_t z = 0; z < c->options.zones; z++)
		ret |= cancel_placement(c, z, name);
	clock_sleep_us(3 * SECOND_US);
	return ret;
}

static int run_resume(uint64_t seed)
{
	const char *fault = "{\"lose\":0.1,\"delay_ms\":10}";
	struct check_result results[CHECK_RULE_COUNT];
	struct check_counts counts;
	struct cluster_options o;
	struct cluster c;
	int ret = -1;

	cluster_default_options(&o);
	o.runners = 1;
	o.worker_cpu_milli = 8000;
	o.worker_memory_mb = 8000;
	o.seed = seed;
	if (bench_start_cluster(&c, &o, RESUME_SHEET) < 0 ||
	    cluster_set_fault(cluster_store_port(&c), fault) < 0)
		goto out;
	for (uint32_t z = 0; z < o.zones; z++)
		if (cluster_set_fault(cluster_worker_port(&c, z), fault) < 0 ||
		    create_placement(&c, z, "archive", BATCH_TASKS_PER_ZONE,
				     false) < 0)
			goto out;
	clock_sleep_us(3 * SECOND_US);
	for (uint32_t n = 0; n < WAVES; n++)
		if (run_eviction_wave(&c, n) < 0)
			goto out;
	cluster_wait_until(&c, all_batch_tasks_done, NULL, FINISH_TIMEOUT_MS);
	if (check_journals(&c, results, &counts) < 0)
		goto out;
	bench_report_info("resume", seed, "evictions",
			  count_ended_tasks(&c, "\"state\":\"stopped\""),
			  "tasks");
	bench_report_info("resume", seed, "resumes", (double)counts.resumed,
			  "tasks");
	bench_report_info("resume", seed, "lost-progress",
			  (double)results[CHECK_RESUME].violations, "tasks");
	bench_report_max("resume", seed, "not-finished",
			 (double)BATCH_TASKS_PER_ZONE * o.zones -
				 count_ended_tasks(&c, STATE_DONE),
			 "tasks", 0);
	report_violations("resume", seed, "two-places",
			  &results[CHECK_TASK_OVERLAP]);
	report_violations("resume", seed, "attempt-twice",
			  &results[CHECK_ATTEMPT]);
	report_violations("resume", seed, "after-done",
			  &results[CHECK_AFTER_DONE]);
	report_violations("resume", seed, "above-memory",
			  &results[CHECK_MEMORY]);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "answers", run_answers },
		{ "resume", run_resume },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
