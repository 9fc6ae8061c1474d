/*
 * Membership, configuration and waxwingctl with real processes: 7 entry VMs in
 * three zones. All links between zones and to the platform pass through the
 * fault proxy.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-cluster.h"
#include "support-unit.h"

#define CONFIRM_TIMEOUT_MS 60000
#define RUNNER_SLOTS 8
#define READY_TIMEOUT_MS 20000
#define APPLY_TIMEOUT_MS 6000
/* Lease (3 s), silence timeout (6 s) and the reads that detect both. */
#define DEPARTURE_TIMEOUT_MS 20000
#define CLUSTER_TOKEN "0123456789abcdef" /* set by support-cluster */
#define HEADER                                                          \
	"record,user,team,kind,priority,share,limit,yields,cpu,memory," \
	"target,start,minutes\n"

#define FIRST_SHEET HEADER "kind,yildirim,,draft,urgent,5,0,no,,,,,\n"

struct status_expectation {
	uint32_t first; /* index of the first entry VM */
	uint32_t count;
	int64_t value;
	const char *object;
	const char *name;
};

static struct cluster cluster;

static bool all_report(struct cluster *c, void *arg)
{
	const struct status_expectation *w = arg;

	for (uint32_t i = w->first; i < w->first + w->count; i++)
		if (cluster_status_number(c, i, w->object, w->name) != w->value)
			return false;
	return true;
}

static bool wait_status(uint32_t first, uint32_t count, const char *object,
			const char *name, int64_t value, uint32_t timeout_ms)
{
	struct status_expectation w = { first, count, value, object, name };

	return cluster_wait_until(&cluster, all_report, &w, timeout_ms) == 0;
}

static int64_t get_revision(uint32_t entry)
{
	return cluster_status_number(&cluster, entry, NULL, "config_revision");
}

/* Uploads a sheet through an entry VM; returns the HTTP status. */
static int put_sheet(uint32_t entry, int64_t base, int share)
{
	char path[64], csv[512];

	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	snprintf(csv, sizeof(csv),
		 HEADER "kind,yildirim,,draft,urgent,%d,0,no,,,,,\n", share);
	return cluster_http(cluster_operator_port(&cluster, entry), "PUT", path,
			    "Content-Type: text/csv\r\n", csv, NULL);
}

/* Runs waxwingctl with up to three arguments; returns its exit status. */
static int run_ctl(uint16_t port, const char *token, const char *a,
		   const char *b, const char *c)
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

/* Guards against an exit status that hides a failure from scripts. */
static void test_exit_codes(void)
{
	uint16_t port = cluster_operator_port(&cluster, 0);
	char good[300], bad[300], base[32];

	write_text("good.csv",
		   HEADER "kind,yildirim,,draft,urgent,9,0,no,,,,,\n", good);
	write_text("bad.csv", HEADER "kind,yildirim,,draft,never,9,0,no,,,,,\n",
		   bad);
	snprintf(base, sizeof(base), "--base=%" PRId64, get_revision(0) - 1);
	CU_ASSERT_EQUAL(run_ctl(port, CLUSTER_TOKEN, "status", NULL, "--json"),
			0);
	CU_ASSERT_EQUAL(run_ctl(port, CLUSTER_TOKEN, "sheet", "apply", good),
			0);
	CU_ASSERT_EQUAL(
		run_ctl(port, "not-the-token-at-all", "status", NULL, NULL), 1);
	CU_ASSERT_EQUAL(run_ctl(port, CLUSTER_TOKEN, "statu", NULL, NULL), 2);
	CU_ASSERT_EQUAL(run_ctl(1, CLUSTER_TOKEN, "status", NULL, NULL), 3);
	CU_ASSERT_EQUAL(run_ctl(port, CLUSTER_TOKEN, "sheet", "check", bad), 5);
	CU_ASSERT_EQUAL(run_ctl(port, CLUSTER_TOKEN, "sheet", "apply", bad), 5);
}

/*
 * Guards against two updates of one revision that both succeed, and against a
 * rejected update that takes effect.
 */
static void test_concurrent_sheet_updates(void)
{
	int64_t base = get_revision(0);
	uint32_t n = cluster.entry_count;

	CU_ASSERT_TRUE(wait_status(0, n, NULL, "config_revision", base,
				   APPLY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(put_sheet(0, base, 10), 200);
	CU_ASSERT_EQUAL(put_sheet(n - 1, base, 20), 409);
	CU_ASSERT_EQUAL(put_sheet(n - 1, base + 1, 20), 200);
	CU_ASSERT_TRUE(wait_status(0, n, NULL, "config_revision", base + 2,
				   APPLY_TIMEOUT_MS));
}

/* Guards against a partitioned zone that never gets a missed change. */
static void test_partitioned_zone_catches_up(void)
{
	uint32_t last = cluster.entry_count - 1;
	uint32_t zone = cluster.entry_zone[last];
	int64_t base = get_revision(0);

	cluster_partition_zone(&cluster, zone, true);
	CU_ASSERT_EQUAL(put_sheet(0, base, 30), 200);
	CU_ASSERT_NOT_EQUAL(put_sheet(last, base, 40), 200);
	CU_ASSERT_EQUAL(get_revision(last), base);
	/* Neither the seat assignment nor the sheet changes. */
	CU_ASSERT_EQUAL(cluster_status_number(&cluster, last, "seat", "held"),
			cluster.options.entries[zone]);
	cluster_partition_zone(&cluster, zone, false);
	CU_ASSERT_TRUE(wait_status(0, cluster.entry_count, NULL,
				   "config_revision", base + 1,
				   APPLY_TIMEOUT_MS));
}

/* Guards against a restarted process with no sheet or an outdated one. */
static void test_restart_during_store_outage(void)
{
	int64_t base = get_revision(0);

	cluster_set_fault(cluster_store_port(&cluster), "{\"down\":true}");
	cluster_entry_signal(&cluster, 0, SIGKILL);
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_status(0, 1, NULL, "config_revision", base,
				   READY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_status_number(&cluster, 0, "seat", "revision"),
			0);
	cluster_set_fault(cluster_store_port(&cluster), "{\"reset\":true}");
	CU_ASSERT_TRUE(wait_status(0, 1, "seat", "held",
				   cluster.options.entries[0],
				   READY_TIMEOUT_MS));
}

/* Total runner slots of the entry VMs in a zone. */
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
 * Guards against a stopped or killed process that keeps its seat, and against
 * slots that the zone loses when the process is replaced.
 */
static void test_seats_follow_membership(void)
{
	uint32_t n = cluster.options.entries[0];
	int64_t slots = (int64_t)cluster.options.runners * RUNNER_SLOTS;

	CU_ASSERT_TRUE(
		wait_status(0, n, "seat", "held", n, DEPARTURE_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, CONFIRM_TIMEOUT_MS), 0);
	CU_ASSERT_EQUAL(zone_capacity(0), slots);
	cluster_entry_signal(&cluster, 0, SIGTERM);
	CU_ASSERT_TRUE(
		wait_status(1, n - 1, "seat", "held", n - 1, READY_TIMEOUT_MS));
	/* The ports are in use until the process has exited. */
	CU_ASSERT_EQUAL(cluster_entry_wait_exit(&cluster, 0, READY_TIMEOUT_MS),
			0);
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_status(0, n, "seat", "held", n, READY_TIMEOUT_MS));
	cluster_entry_signal(&cluster, 0, SIGKILL);
	CU_ASSERT_TRUE(wait_status(1, n - 1, "seat", "held", n - 1,
				   DEPARTURE_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_entry_start(&cluster, 0), 0);
	CU_ASSERT_TRUE(wait_status(0, n, "seat", "held", n, READY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, CONFIRM_TIMEOUT_MS), 0);
	CU_ASSERT_EQUAL(zone_capacity(0), slots);
}

static uint32_t count_last_log(const char *event, const char *field)
{
	return cluster_count_lines(&cluster, "entry-6.log", event, field);
}

/*
 * Pauses the last entry VM while the sheet changes. Its zone's store link has
 * the fault from its resumption on. The seat is withheld meanwhile, which
 * "held", the zone's number of seats, doesn't show.
 */
static void pause_during_sheet_change(const char *link_fault)
{
	uint32_t last = cluster.entry_count - 1;
	uint32_t zone = cluster.entry_zone[last];
	uint32_t pauses = count_last_log("pause-detected", "ms=");
	int64_t base = get_revision(0);
	char link[32];

	snprintf(link, sizeof(link), "store-%u", zone);
	cluster_entry_signal(&cluster, last, SIGSTOP);
	CU_ASSERT_EQUAL(put_sheet(0, base, 50), 200);
	clock_sleep_us(5000000); /* longer than the lease */
	CU_ASSERT_EQUAL(cluster_set_link(&cluster, link, link_fault), 0);
	cluster_entry_signal(&cluster, last, SIGCONT);
	CU_ASSERT_TRUE(wait_status(last, 1, NULL, "config_revision", base + 1,
				   APPLY_TIMEOUT_MS));
	CU_ASSERT_TRUE(wait_status(last, 1, "seat", "held",
				   cluster.options.entries[zone],
				   READY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, READY_TIMEOUT_MS), 0);
	CU_ASSERT(count_last_log("pause-detected", "ms=") > pauses);
	CU_ASSERT_EQUAL(cluster_set_link(&cluster, link, "{\"reset\":true}"),
			0);
}

/* Guards against a resumed process that uses outdated seats or sheet. */
static void test_paused_process(void)
{
	pause_during_sheet_change("{}");
}

/*
 * Guards against a resumed process that never uses its seat again after slow
 * answers of the store, which the sheet doesn't wait for.
 */
static void test_pause_slow_store(void)
{
	uint32_t withheld = count_last_log("seat-changed", "revision=0 ");

	pause_during_sheet_change("{\"delay_ms\":500}");
	CU_ASSERT(count_last_log("seat-changed", "revision=0 ") > withheld);
}

/*
 * Guards against a resumed process that uses its seat assignment while the
 * store can't confirm it, or never again although a peer confirms it.
 */
static void test_pause_during_store_outage(void)
{
	uint32_t last = cluster.entry_count - 1;
	uint32_t withheld = count_last_log("seat-changed", "revision=0 ");
	uint32_t by_peer = count_last_log("seat-revalidated", "by=peer");
	int64_t split =
		cluster_status_number(&cluster, last, "seat", "revision");

	CU_ASSERT(split > 0);
	cluster_set_fault(cluster_store_port(&cluster), "{\"down\":true}");
	cluster_entry_signal(&cluster, last, SIGSTOP);
	clock_sleep_us(5000000); /* longer than the lease */
	cluster_entry_signal(&cluster, last, SIGCONT);
	CU_ASSERT_TRUE(wait_status(last, 1, "seat", "revision", split,
				   READY_TIMEOUT_MS));
	CU_ASSERT(count_last_log("seat-changed", "revision=0 ") > withheld);
	CU_ASSERT_EQUAL(count_last_log("seat-revalidated", "by=peer"),
			by_peer + 1);
	cluster_set_fault(cluster_store_port(&cluster), "{\"reset\":true}");
	CU_ASSERT_TRUE(
		wait_status(last, 1, "seat", "held",
			    cluster.options.entries[cluster.entry_zone[last]],
			    READY_TIMEOUT_MS));
	CU_ASSERT_EQUAL(cluster_wait_ready(&cluster, READY_TIMEOUT_MS), 0);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "exit codes", test_exit_codes },
		{ "concurrent sheet updates", test_concurrent_sheet_updates },
		{ "partitioned zone catches up",
		  test_partitioned_zone_catches_up },
		{ "restart during store outage",
		  test_restart_during_store_outage },
		{ "seats follow membership", test_seats_follow_membership },
		{ "paused process", test_paused_process },
		{ "pause with slow store", test_pause_slow_store },
		{ "pause during store outage", test_pause_during_store_outage },
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
	    cluster_wait_ready(&cluster, READY_TIMEOUT_MS) < 0)
		goto out;
	status = RUN_SUITE("control", tests);
out:
	cluster_stop(&cluster);
	return status;
}
