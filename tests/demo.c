/*
 * Demonstration: three availability zones with seven entry VMs, requests of two
 * users, urgent and batch placements, one entry VM killed and one drained.
 * Prints the request outcomes, the task outcomes and the result for each
 * invariant.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "support-check.h"
#include "support-cluster.h"
#include "support-journal.h"

#define SECOND_US 1000000u
#define READY_MS 15000
#define LOAD_SECONDS "26"
#define KILLED_ENTRY 1
#define DRAINED_ENTRY 5
#define BATCH_TASKS 24
#define SHEET_APPLY_TIMEOUT_MS 6000
#define RUN_DEADLINE_S 48 /* keeps the whole program below one minute */

#define SHEET                                                           \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"                                        \
	"kind,yildirim,,draft,urgent,40,0,no,,,,,\n"                    \
	"kind,yildirim,,statement,normal,10,0,no,,,,,\n"                \
	"kind,yildirim,,archive,deferrable,10,0,yes,,,,,\n"             \
	"kind,bandargah,,booking,urgent,20,0,no,,,,,\n"                 \
	"kind,bandargah,,closure,normal,10,0,no,,,,,\n"                 \
	"team,yildirim,court,,,100,0,,1000,4000,,,\n"                   \
	"team,bandargah,port,,,100,0,,1000,4000,,,\n"

static struct cluster cluster;
static uint64_t begin_us;
static int64_t changed_revision; /* config revision of the changed sheet */
static uint32_t late_entries;	 /* entry VMs without it at the timeout */

struct step {
	unsigned at_s;
	const char *text;
	int (*run)(void);
};

static void print_step(const char *text);
static void wait_until(unsigned second);
static int run_waxwingctl(uint32_t entry, const char *const args[]);
static int create_placement(const char *id, const char *user, const char *team,
			    const char *kind, const char *class_name,
			    const char *urgency, const char *count,
			    const char *yields, const char *spec);
static int create_batch(void);
static int create_urgent(void);
static int cancel_urgent(void);
static int change_sheet(void);
static uint32_t count_outdated_entries(void);
static int check_sheet_revisions(void);
static int kill_entry(void);
static int mark_vms_leaving(void);
static int drain_entry(void);
static pid_t start_load(void);
static long long integer_member(const json_t *o, const char *name);
static uint32_t finished_tasks(void);
static bool batch_is_finished(struct cluster *c, void *arg);
static void print_requests(void);
static int check_journals(void);
static int run(void);

static const struct step steps[] = {
	{ 1, "submitting 24 batch tasks in zone kadikoy", create_batch },
	{ 6, "submitting 8 urgent services, which preempt batch tasks",
	  create_urgent },
	{ 8, "applying a changed sheet", change_sheet },
	{ 10, "killing entry VM 1 in zone kadikoy", kill_entry },
	{ 13, "marking runner kadikoy-r2 and worker kadikoy-w3 as leaving",
	  mark_vms_leaving },
	{ 16, "draining entry VM 5 in zone cagla", drain_entry },
	{ 20, "cancelling the urgent services", cancel_urgent },
};

static void print_step(const char *text)
{
	printf("[%5.1f s] %s\n",
	       (double)(clock_now_us() - begin_us) / SECOND_US, text);
	fflush(stdout);
}

static void wait_until(unsigned second)
{
	uint64_t due_us = begin_us + (uint64_t)second * SECOND_US;
	uint64_t now_us = clock_now_us();

	if (due_us > now_us)
		clock_sleep_us(due_us - now_us);
}

/* Runs waxwingctl; args starts with the command and ends with NULL. */
static int run_waxwingctl(uint32_t entry, const char *const args[])
{
	const char *argv[40] = { "waxwingctl" };
	char address[32];
	unsigned n = 1;
	int status;

	while (*args && n < 34)
		argv[n++] = *args++;
	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 cluster_operator_port(&cluster, entry));
	argv[n++] = "--operator";
	argv[n++] = address;
	argv[n++] = "--token";
	argv[n++] = CLUSTER_TOKEN;
	status = cluster_run(&cluster, argv, "waxwingctl.log");
	if (status)
		fprintf(stderr, "waxwingctl %s %s: exit status %d\n", argv[1],
			argv[2], status);
	return status;
}

static int create_placement(const char *id, const char *user, const char *team,
			    const char *kind, const char *class_name,
			    const char *urgency, const char *count,
			    const char *yields, const char *spec)
{
	const char *const args[] = {
		"placement", "create",	"--id",	    id,		"--name",
		id,	     "--user",	user,	    "--team",	team,
		"--kind",    kind,	"--class",  class_name, "--urgency",
		urgency,     "--count", count,	    "--cpu",	"4000",
		"--memory",  "2000",	"--yields", yields,	"--spec",
		spec,	     NULL
	};

	return run_waxwingctl(0, args);
}

static int create_batch(void)
{
	return create_placement("kadikoy.archive", "yildirim", "court",
				"archive", "batch", "deferrable", "24", "yes",
				"run_ms=4000 cpu=3500 mem=1500 kind=archive");
}

static int create_urgent(void)
{
	return create_placement("kadikoy.berth", "bandargah", "port", "booking",
				"service", "urgent", "8", "no",
				"service=1 cpu=3000 mem=1500 kind=booking");
}

static int cancel_urgent(void)
{
	const char *const args[] = { "placement", "cancel", "kadikoy.berth",
				     NULL };

	return run_waxwingctl(0, args);
}

/* Counts running entry VMs with a sheet older than the changed one. */
static uint32_t count_outdated_entries(void)
{
	uint32_t behind = 0;

	for (uint32_t i = 0; i < cluster.entry_count; i++) {
		int64_t own = cluster_status_number(&cluster, i, NULL,
						    "config_revision");

		behind += own >= 0 && own < changed_revision;
	}
	return behind;
}

static bool sheet_is_applied(struct cluster *c, void *arg)
{
	(void)c;
	(void)arg;
	return count_outdated_entries() == 0;
}

static int change_sheet(void)
{
	changed_revision =
		cluster_status_number(&cluster, 0, NULL, "config_revision") + 1;
	if (cluster_apply_sheet(&cluster, 0,
				SHEET "kind,yildirim,,extra,normal,5,0,no,,,,,"
				      "\n") < 0)
		return -1;
	if (cluster_wait_until(&cluster, sheet_is_applied, NULL,
			       SHEET_APPLY_TIMEOUT_MS) < 0)
		late_entries = count_outdated_entries();
	return 0;
}

/* Prints invariant 9 in the format that journal-check uses for the others. */
static int check_sheet_revisions(void)
{
	uint32_t broken = late_entries + count_outdated_entries();

	printf("%-5s%-43s%7u%8u  %s\n", "9", "sheet applied late or reverted",
	       2 * cluster.entry_count - 2, broken, broken ? "BROKEN" : "held");
	return broken > 0;
}

static int kill_entry(void)
{
	cluster_entry_signal(&cluster, KILLED_ENTRY, SIGKILL);
	return 0;
}

static int mark_vms_leaving(void)
{
	return cluster_set_vm_state(&cluster, "kadikoy-r2", "leaving") |
	       cluster_set_vm_state(&cluster, "kadikoy-w3", "leaving");
}

static int drain_entry(void)
{
	const char *const args[] = { "drain", NULL };

	journal_event("entry-drain", "{s:i}", "entry", DRAINED_ENTRY);
	return run_waxwingctl(DRAINED_ENTRY, args);
}

static pid_t start_load(void)
{
	static const char *const mixes[] = {
		"user=yildirim,team=court,kind=draft,rate=120,work_us=15000,"
		"work_spread=60,deadline_ms=1000,retries=2",
		"user=yildirim,team=court,kind=statement,idempotent=no,rate=12,"
		"work_us=20000,deadline_ms=3000,retries=2,duplicate_percent=10",
		"user=bandargah,team=port,kind=booking,rate=60,work_us=20000,"
		"work_spread=60,deadline_ms=1000,retries=2",
		"user=bandargah,team=port,kind=closure,idempotent=no,rate=8,"
		"work_us=30000,deadline_ms=3000,retries=2,duplicate_percent=10",
	};
	char addresses[CLUSTER_ENTRIES_MAX][32], journal[300];
	const char *argv[64] = { "load-gen", "--seconds", LOAD_SECONDS,
				 "--json",   "--journal", journal };
	unsigned n = 6;

	snprintf(journal, sizeof(journal), "%s/load.jsonl", cluster.folder);
	for (uint32_t i = 0; i < cluster.entry_count; i++) {
		snprintf(addresses[i], sizeof(addresses[i]), "127.0.0.1:%u",
			 cluster_front_port(&cluster, i));
		argv[n++] = "--entry";
		argv[n++] = addresses[i];
	}
	for (size_t i = 0; i < sizeof(mixes) / sizeof(mixes[0]); i++) {
		argv[n++] = "--mix";
		argv[n++] = mixes[i];
	}
	return cluster_spawn(&cluster, argv, "load.json");
}

static long long integer_member(const json_t *o, const char *name)
{
	return json_integer_value(json_object_get(o, name));
}

static void print_requests(void)
{
	char *text = cluster_read_file(&cluster, "load.json");
	json_t *list = text ? json_loads(text, 0, NULL) : NULL, *m;
	size_t i;

	printf("\n%-10s%-11s%7s%7s%8s%8s%9s%9s%9s\n", "user", "kind", "sent",
	       "done", "not-run", "unknown", "p50 ms", "p99 ms", "refused");
	json_array_foreach(list, i, m)
	{
		printf("%-10s%-11s%7lld%7lld%8lld%8lld%9.1f%9.1f%9.1f\n",
		       json_string_value(json_object_get(m, "user")),
		       json_string_value(json_object_get(m, "kind")),
		       integer_member(m, "sent"), integer_member(m, "done"),
		       integer_member(m, "not_run"),
		       integer_member(m, "unknown"),
		       (double)integer_member(m, "p50_us") / 1000,
		       (double)integer_member(m, "p99_us") / 1000,
		       (double)integer_member(m, "refusal_p99_us") / 1000);
	}
	printf("refused: p99 latency of refusals, ms\n\n");
	json_decref(list);
	free(text);
}

/* Returns 0 when journal-check finds no violation. */
static int check_journals(void)
{
	char files[8][300];
	const char *argv[10] = { "journal-check" };
	char *text;
	int status;

	snprintf(files[0], sizeof(files[0]), "%s/load.jsonl", cluster.folder);
	snprintf(files[7], sizeof(files[7]), "%s/demo.jsonl", cluster.folder);
	for (uint32_t z = 0; z < 3; z++) {
		snprintf(files[1 + z], sizeof(files[0]), "%s/runners-%u.jsonl",
			 cluster.folder, z);
		snprintf(files[4 + z], sizeof(files[0]), "%s/workers-%u.jsonl",
			 cluster.folder, z);
	}
	for (unsigned i = 0; i < 8; i++)
		argv[i + 1] = files[i];
	status = cluster_run(&cluster, argv, "check.txt");
	text = cluster_read_file(&cluster, "check.txt");
	printf("%s", text ? text : "");
	free(text);
	return status;
}

static uint32_t finished_tasks(void)
{
	return cluster_count_lines(&cluster, "workers-0.jsonl", "\"task-end\"",
				   "\"state\":\"done\"");
}

static bool batch_is_finished(struct cluster *c, void *arg)
{
	(void)c;
	(void)arg;
	return finished_tasks() >= BATCH_TASKS;
}

static int run(void)
{
	unsigned failed = 0;
	uint32_t finished;
	char journal[300];
	pid_t load;

	snprintf(journal, sizeof(journal), "%s/demo.jsonl", cluster.folder);
	if (journal_open(journal) < 0)
		return 1;
	load = start_load();
	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
		wait_until(steps[i].at_s);
		print_step(steps[i].text);
		failed += steps[i].run() != 0;
	}
	failed += cluster_wait_process(load) != 0;
	print_step("the load generator has finished");
	cluster_wait_until(&cluster, batch_is_finished, NULL,
			   (uint32_t)((begin_us + RUN_DEADLINE_S * SECOND_US -
				       clock_now_us()) /
				      1000));
	finished = finished_tasks();
	print_step(finished >= BATCH_TASKS ? "all batch tasks are done"
					   : "some batch tasks are not done");
	print_requests();
	failed += check_journals() != 0;
	failed += check_sheet_revisions();
	printf("batch finished %u of %d, evictions %u\n", finished, BATCH_TASKS,
	       cluster_count_lines(&cluster, "workers-0.jsonl",
				   "\"task\":\"kadikoy.archive.",
				   "\"state\":\"stopped\""));
	return failed || finished < BATCH_TASKS;
}

int main(void)
{
	struct cluster_options o;
	int rc = 1;

	cluster_default_options(&o);
	o.worker_cpu_milli = 8000;
	o.worker_memory_mb = 8000;
	setvbuf(stdout, NULL, _IOLBF, 0);
	begin_us = clock_now_us();
	if (cluster_start(&cluster, &o) < 0 ||
	    cluster_apply_sheet(&cluster, 0, SHEET) < 0 ||
	    cluster_wait_ready(&cluster, READY_MS) < 0)
		goto out;
	print_step("seven entry VMs in three zones are ready");
	begin_us = clock_now_us();
	rc = run();
	printf("seed=%" PRIu64 " %s\n", o.seed,
	       rc ? "FAILED" : "every invariant held");
out:
	cluster_stop(&cluster);
	return rc;
}
