/*
 * Membership, configuration and the operators' tool with real processes: 7
 * entry VMs in three zones, all links between zones and to the platform
 * through the fault proxy.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-cluster.h"
#include "support-unit.h"

#define CONFIRMED_MS 60000
#define SLOTS 8 /* of a runner */
#define READY_MS 20000
#define SHEET_APPLY_TIMEOUT_MS 6000
/* A lease (3 s), a silence (6 s) and the reads that notice both. */
#define DEPARTED_MS 20000
#define CLUSTER_TOKEN "0123456789abcdef" /* of support-cluster */
#define HEADER                                                          \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"

#define FIRST_SHEET HEADER "kind,yildirim,,draft,urgent,5,0,no,,,,,\n"

struct wanted {
	uint32_t first; /* of the entry VMs */
	uint32_t count;
	int64_t value;
	const char *object;
	const char *name;
};

static struct cluster cluster;

static bool all_have(struct cluster *c, void *arg)
{
	const struct wanted *w = arg;

	for (uint32_t i = w->first; i < w->first + w->count; i++)
		if (cluster_status_number(c, i, w->object, w->name) != w->value)
			return false;
	return true;
}

static bool wait_for(uint32_t first, uint32_t count, const char *object,
		     const char *name, int64_t value, uint32_t timeout_ms)
{
	struct wanted w = { first, count, value, object, name };

	return cluster_wait_until(&cluster, all_have, &w, timeout_ms) == 0;
}

static int64_t revision(uint32_t entry)
{
	return cluster_status_number(&cluster, entry, NULL, "config_revision");
}

/* Stores a sheet through an entry VM; returns the HTTP status. */
static int put_sheet(uint32_t entry, int64_t base, int share)
{
	char path[64], csv[512];

	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	snprintf(csv, sizeof(csv),
		 HEADER "kind,yildirim,,draft,urgent,%d,0,no,,,,,\n", share);
	return cluster_http(cluster_operator_port(&cluster, entry), "PUT", path,
			    "Content-Type: text/csv\r\n", csv, NULL);
}

/* Runs waxwingctl with up to three words and the options. */
static int ctl(uint16_t port, const char *token, const char *a, const char *b,
	       const char *c)
{
	char operator_option[64], token_option[96];
	const char *argv[8] = { "waxwingctl" };
	int n = 1;

	snprintf(operator_option, sizeof(operator_option),
		 "--operator=127.0.0.1:%u", port);
	snprintf(token_option, sizeof(token_option), "--token=%s", token);
	argv[n++] = a;
	if (b)
		argv[n++] = b;
	argv[n++] = operator_option;
	argv[n++] = token_option;
	if (c)
		argv[n++] = c;
	argv[n] = NULL;
	return cluster_run(&cluster, argv, "ctl.out");
}

static void write_text(const char *name, const char *text, char path[300])
{
	FILE *f;

	snprintf(path, 300, "%s/%s", cluster.folder, name);
	f = fopen(path, "w");
	if (!f || fputs(text, f) < 0 || fclose(f) != 0)
		abort();
}

/* Guards against a script that takes a refusal for success. */
static void test_exit_codes(void)
{
	uint16_t port = cluster_operator_port(&cluster, 0);
	char good[300], bad[300], base[32];

	write_text("good.csv",
		   HEADER "kind,yildirim,,draft,urgent,9,0,no,,,,,\n", good);
	write_text("bad.csv", HEADER "kind,yildirim,,draft,never,9,0,no,,,,,\n",
		   bad);
	snprintf(base, sizeof(base), "--base=%" PRId64, revision(0) - 1);
	CU_ASSERT_EQUAL(ctl(port, CLUSTER_TOKEN, "status", NULL, "--json"), 0);
	CU_ASSERT_EQUAL(ctl(port, CLUSTER_TOKEN, "sheet", "apply", good), 0);
	CU_ASSERT_EQUAL(ctl(port, "not-the-token-at-all", "status", NULL, NULL),
			1);
	CU_ASSERT_EQUAL(ctl(port, CLUSTER_TOKEN, "statu", NULL, NULL), 2);
	CU_ASSERT_EQUAL(ctl(1, CLUSTER_TOKEN, "status", NULL, NULL), 3);
	CU_ASSERT_EQUAL(ctl(port, CLUSTER_TOKEN, "sheet", "check", bad), 5);
	CU_ASSERT_EQUAL(ctl(port, CLUSTER_TOKEN, "sheet", "apply", bad), 5);
}

/* Guards against two winners, and a loser that changes something. */
static void test_operators_race(void)
{
	int64_t base = revision(0);
	uint32_t n = cluster.entry_count;

	CU_ASSERT_TRUE(wait_for(0, n, NULL, "config_revision", base,
				SHEET_APPLY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(put_sheet(0, base, 10), 200);
	CU_ASSERT_EQUAL(put_sheet(n - 1, base, 20), 409);
	CU_ASSERT_EQUAL(put_sheet(n - 1, base + 1, 20), 200);
	CU_ASSERT_TRUE(wait_for(0, n, NULL, "config_revision", base + 2,
				SHEET_APPLY_TIMEOUT_MS));
}

/* Guards against a change that a zone misses for good while it is cut off. */
static void test_cut_zone_catches_up(void)
{
	uint32_t last = cluster.entry_count - 1;
	uint32_t zone = cluster.entry_zone[last];
	int64_t base = revision(0);

	cluster_partition_zone(&cluster, zone, true);
	CU_ASSERT_EQUAL(put_sheet(0, base, 30), 200);
	CU_ASSERT_NOT_EQUAL(put_sheet(last, base, 40), 200);
	CU_ASSERT_EQUAL(revision(last), base);
	/* The split stays as it is, and so does the sheet. */
	CU_ASSERT_EQUAL(cluster_status_number(&cluster, last, "seat", "held"),
			cluster.options.entries[zone]);
	cluster_partition_zone(&cluster, zone, false);
	CU_ASSERT_TRUE(wait_for(0, cluster.entry_count, NULL, "config_revision",
				base + 1, SHEET_APPLY_TIMEOUT_MS));
}

/* Guards against a fresh process that serves without, or with an old sheet. */
static void test_fresh_process_in_an_outage(void)
{
	int64_t base = revision(0);

	cluster_set_fault(cluster_store_port(&cluster), "{\"down\":true}");
	cluster_entry_signal(&cluster, 0, SIGKILL);
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_for(0, 1, NULL, "config_revision", base, READY_MS));
	CU_ASSERT_EQUAL(cluster_status_number(&cluster, 0, "seat", "revision"),
			0);
	cluster_set_fault(cluster_store_port(&cluster), "{\"reset\":true}");
	CU_ASSERT_TRUE(wait_for(0, 1, "seat", "held",
				cluster.options.entries[0], READY_MS));
}

/* Slots that the entry VMs of a zone use together. */
static int64_t zone_capacity(uint32_t zone)
{
	int64_t sum = 0;

	for (uint32_t i = 0; i < cluster.entry_count; i++)
		if (cluster.entry_zone[i] == zone)
			sum += cluster_status_number(&cluster, i, "flow",
						     "capacity");
	return sum;
}

/*
 * Guards against the seat of a stopped or dead process that stays, and against
 * slots that are lost to the zone when it is replaced.
 */
static void test_seats_follow_the_members(void)
{
	uint32_t n = cluster.options.entries[0];
	int64_t slots = (int64_t)cluster.options.runners * SLOTS;

	CU_ASSERT_TRUE(wait_for(0, n, "seat", "held", n, DEPARTED_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, CONFIRMED_MS), 0);
	CU_ASSERT_EQUAL(zone_capacity(0), slots);
	cluster_entry_signal(&cluster, 0, SIGTERM);
	CU_ASSERT_TRUE(wait_for(1, n - 1, "seat", "held", n - 1, READY_MS));
	/* The ports are free only when the process has ended. */
	CU_ASSERT_EQUAL(cluster_entry_wait_exit(&cluster, 0, READY_MS), 0);
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_for(0, n, "seat", "held", n, READY_MS));
	cluster_entry_signal(&cluster, 0, SIGKILL);
	CU_ASSERT_TRUE(wait_for(1, n - 1, "seat", "held", n - 1, DEPARTED_MS));
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_for(0, n, "seat", "held", n, READY_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, CONFIRMED_MS), 0);
	CU_ASSERT_EQUAL(zone_capacity(0), slots);
}

/* Guards against a continued process that uses an old split or sheet. */
static void test_paused_process(void)
{
	uint32_t last = cluster.entry_count - 1;
	int64_t base = revision(0);

	cluster_entry_signal(&cluster, last, SIGSTOP);
	CU_ASSERT_EQUAL(put_sheet(0, base, 50), 200);
	clock_sleep_us(5000000); /* above the lease */
	cluster_entry_signal(&cluster, last, SIGCONT);
	CU_ASSERT_TRUE(wait_for(last, 1, NULL, "config_revision", base + 1,
				SHEET_APPLY_TIMEOUT_MS));
	CU_ASSERT(cluster_count_lines(&cluster, "entry-6.log", "pause-detected",
				      "ms=") >= 1);
	CU_ASSERT_TRUE(wait_for(
		last, 1, "seat", "held",
		cluster.options.entries[cluster.entry_zone[last]], READY_MS));
}

/*
 * Guards against a continued process that trusts its split while the store
 * cannot tell it, or that never trusts it again although a peer can.
 */
static void test_paused_in_an_outage(void)
{
	uint32_t last = cluster.entry_count - 1;
	int64_t split =
		cluster_status_number(&cluster, last, "seat", "revision");

	CU_ASSERT(split > 0);
	cluster_set_fault(cluster_store_port(&cluster), "{\"down\":true}");
	cluster_entry_signal(&cluster, last, SIGSTOP);
	clock_sleep_us(5000000); /* above the lease */
	cluster_entry_signal(&cluster, last, SIGCONT);
	CU_ASSERT_TRUE(wait_for(last, 1, "seat", "revision", split, READY_MS));
	CU_ASSERT(cluster_count_lines(&cluster, "entry-6.log", "seat-changed",
				      "revision=0 ") >= 1);
	CU_ASSERT(cluster_count_lines(&cluster, "entry-6.log",
				      "seat-revalidated", "by=peer") == 1);
	cluster_set_fault(cluster_store_port(&cluster), "{\"reset\":true}");
	CU_ASSERT_TRUE(wait_for(
		last, 1, "seat", "held",
		cluster.options.entries[cluster.entry_zone[last]], READY_MS));
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "exit codes", test_exit_codes },
		{ "operators race", test_operators_race },
		{ "cut zone catches up", test_cut_zone_catches_up },
		{ "fresh process in an outage",
		  test_fresh_process_in_an_outage },
		{ "seats follow the members", test_seats_follow_the_members },
		{ "paused process", test_paused_process },
		{ "paused in an outage", test_paused_in_an_outage },
	};
	struct cluster_options o;
	int status = 1;

	cluster_default_options(&o);
	o.proxy_links = true;
	o.workers = 0;
	o.runners = 2;
	printf("seed=%" PRIu64 "\n", o.seed);
	if (cluster_start(&cluster, &o) < 0 ||
	    cluster_apply_sheet(&cluster, 0, FIRST_SHEET) < 0 ||
	    cluster_wait_ready(&cluster, READY_MS) < 0)
		goto out;
	status = RUN_SUITE("control", tests);
out:
	cluster_stop(&cluster);
	return status;
}
