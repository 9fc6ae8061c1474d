/*
 * Scenarios on a real cluster: replace (entry VMs are killed and restarted
 * under load), leave (runners and entry VMs shut down gracefully under load)
 * and intent (concurrent updates of the sheet).
 */
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "rng.h"
#include "support-bench.h"

#define WORK_US 100000
#define LEASE_MS 3000
#define SERVED_RATIO_MIN 0.99
#define RECOVERY_TIMEOUT_MS 30000
#define ALL_ENTRIES 0x7fu
#define CONFIG_CHANGES 16
#define CONFIG_CHANGE_INTERVAL_US 3000000u
#define CONFIG_APPLY_MAX_MS 6000

static int run_replace(uint64_t seed);
static int run_leave(uint64_t seed);
static int run_config_changes(uint64_t seed);

/* Starts load of idempotent drafts and non-idempotent closures. */
static int start_load(struct bench_load *l, struct cluster *c, double load,
		      double seconds, uint64_t seed)
{
	char draft[200], closure[200];
	const char *mixes[] = { draft, closure, NULL };
	double rate = load * 3 * c->options.runners * 8 * 1e6 / WORK_US;

	snprintf(draft, sizeof(draft),
		 "user=yildirim,team=court,kind=draft,urgency=urgent,rate=%g,"
		 "deadline_ms=5000,work_us=%d,idempotent=yes,retries=4,"
		 "retry_ms=200",
		 rate * 0.95, WORK_US);
	snprintf(closure, sizeof(closure),
		 "user=bandargah,team=port,kind=closure,rate=%g,"
		 "deadline_ms=5000,work_us=%d,idempotent=no,retries=4,"
		 "retry_ms=500",
		 rate * 0.05, WORK_US);
	return bench_load_start(l, c, ALL_ENTRIES, mixes, seconds, seed,
				"load");
}

/* ---- replace ---- */

struct shard_owners {
	/* Wall-clock time of the last takeover of a zone's shard. */
	double acquired_at_s[CLUSTER_ZONES_MAX];
	int owner[CLUSTER_ZONES_MAX]; /* entry VM, or -1 */
};

static void read_ownership_log(struct cluster *c, uint32_t entry,
			       struct shard_owners *o)
{
	char file[32];
	char *text, *line, *save = NULL;

	snprintf(file, sizeof(file), "entry-%u.log", entry);
	text = cluster_read_file(c, file);
	line = text ? strtok_r(text, "\n", &save) : NULL;
	for (; line; line = strtok_r(NULL, "\n", &save)) {
		char shard[64];
		const char *at = strstr(line, "event=shard-owned shard=");
		double ts;

		if (!at ||
		    sscanf(at, "event=shard-owned shard=%63s", shard) != 1 ||
		    sscanf(line, "ts=%lf", &ts) != 1)
			continue;
		for (uint32_t z = 0; z < c->options.zones; z++) {
			if (strcmp(shard, cluster_zone_names[z]) != 0 ||
			    ts < o->acquired_at_s[z])
				continue;
			o->acquired_at_s[z] = ts;
			o->owner[z] = (int)entry;
		}
	}
	free(text);
}

static void read_shard_owners(struct cluster *c, struct shard_owners *o)
{
	memset(o, 0, sizeof(*o));
	for (uint32_t z = 0; z < CLUSTER_ZONES_MAX; z++)
		o->owner[z] = -1;
	for (uint32_t i = 0; i < c->entry_count; i++)
		read_ownership_log(c, i, o);
}

struct takeover {
	double killed_at_s;
	uint32_t killed_mask; /* bit i: entry VM i */
	struct shard_owners owners_before;
	double longest_s;
};

/* Returns true once every shard whose owner was killed has a new owner. */
static bool all_shards_taken_over(struct cluster *c, void *arg)
{
	struct takeover *t = arg;
	struct shard_owners now;

	read_shard_owners(c, &now);
	t->longest_s = 0;
	for (uint32_t z = 0; z < c->options.zones; z++) {
		if (t->owners_before.owner[z] < 0 ||
		    !(t->killed_mask & 1u << t->owners_before.owner[z]))
			continue;
		if (now.acquired_at_s[z] <= t->killed_at_s)
			return false;
		t->longest_s = fmax(t->longest_s,
				    now.acquired_at_s[z] - t->killed_at_s);
	}
	return true;
}

/* True once every entry VM has a share of its zone's slots and a sheet. */
static bool all_have_seat_and_sheet(struct cluster *c, void *arg)
{
	(void)arg;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (cluster_status_number(c, i, "seat", "revision") <= 0 ||
		    cluster_status_number(c, i, NULL, "config_revision") <= 0)
			return false;
	return true;
}

/* Kills entry VMs, waits for new shard owners and restarts the VMs. */
static int replace_entries(struct cluster *c, uint32_t mask, double *longest_s)
{
	struct takeover t = { .killed_mask = mask };

	read_shard_owners(c, &t.owners_before);
	t.killed_at_s = (double)clock_wall_us() / 1e6;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (mask & 1u << i)
			cluster_entry_signal(c, i, SIGKILL);
	if (cluster_wait_until(c, all_shards_taken_over, &t,
			       RECOVERY_TIMEOUT_MS) < 0)
		t.longest_s = RECOVERY_TIMEOUT_MS / 1000.0;
	*longest_s = fmax(*longest_s, t.longest_s);
	for (uint32_t i = 0; i < c->entry_count; i++)
		if ((mask & 1u << i) && cluster_entry_start(c, i) < 0)
			return -1;
	return cluster_wait_until(c, all_have_seat_and_sheet, NULL,
				  RECOVERY_TIMEOUT_MS);
}

/* Selects half of the entry VMs, shard owners first. */
static uint32_t select_half_owners_first(struct cluster *c)
{
	struct shard_owners now;
	uint32_t mask = 0, selected = 0;

	read_shard_owners(c, &now);
	for (uint32_t z = 0; z < c->options.zones; z++)
		if (now.owner[z] >= 0)
			mask |= 1u << now.owner[z];
	for (uint32_t i = 0; i < c->entry_count; i++)
		selected += mask >> i & 1;
	for (uint32_t i = 0;
	     i < c->entry_count && selected < c->entry_count / 2; i++) {
		selected += !(mask >> i & 1);
		mask |= 1u << i;
	}
	return mask;
}

static int run_replace(uint64_t seed)
{
	const char *name = "replace";
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats draft, closure;
	struct cluster c;
	double longest_s = 0, longest_half_s = 0;
	int ret = -1;

	bench_reference_options(&o, seed);
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    start_load(&load, &c, 0.3, 60, seed) < 0)
		goto out;
	for (uint32_t i = 0; i < c.entry_count; i++)
		if (replace_entries(&c, 1u << i, &longest_s) < 0)
			goto out;
	if (replace_entries(&c, select_half_owners_first(&c), &longest_half_s) <
		    0 ||
	    bench_load_wait(&load) < 0)
		goto out;
	bench_load_get_stats(&load, "draft", &draft);
	bench_load_get_stats(&load, "closure", &closure);
	bench_report_max(name, seed, "owner-after-one", longest_s, "s",
			 2 * LEASE_MS / 1000.0);
	bench_report_max(name, seed, "owner-after-half", longest_half_s, "s",
			 2 * LEASE_MS / 1000.0);
	bench_report_info(name, seed, "drafts", draft.sent, "count");
	bench_report_max(name, seed, "drafts-lost", draft.unknown, "count", 0);
	bench_report_min(name, seed, "drafts-served", draft.done / draft.sent,
			 "share", SERVED_RATIO_MIN);
	bench_report_info(name, seed, "closures", closure.sent, "count");
	bench_report_info(name, seed, "closures-unknown", closure.unknown,
			  "count");
	bench_report_info(name, seed, "closures-not-run", closure.not_run,
			  "count");
	bench_report_max(name, seed, "invariants-broken",
			 bench_check_journals(&c), "count", 0);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

/* ---- leave ---- */

static int run_leave(uint64_t seed)
{
	const char *name = "leave";
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats draft, closure;
	struct cluster c;
	char id[48];
	int ret = -1, late_stops = 0;

	bench_reference_options(&o, seed);
	o.list_lag_ms = 1500;
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    start_load(&load, &c, 0.4, 22, seed) < 0)
		goto out;
	clock_sleep_us(2000000);
	for (uint32_t i = 0; i < 3; i++) {
		snprintf(id, sizeof(id), "%s-r%u", cluster_zone_names[i],
			 3 + i);
		if (cluster_set_vm_state(&c, id, "leaving") < 0)
			goto out;
		clock_sleep_us(1000000);
	}
	for (uint32_t i = 0; i < c.entry_count; i += 3) {
		cluster_entry_signal(&c, i, SIGTERM);
		if (cluster_entry_wait_exit(&c, i, 15000) < 0)
			late_stops++;
		if (cluster_entry_start(&c, i) < 0)
			goto out;
		clock_sleep_us(2000000);
	}
	if (bench_load_wait(&load) < 0)
		goto out;
	bench_load_get_stats(&load, "draft", &draft);
	bench_load_get_stats(&load, "closure", &closure);
	bench_report_info(name, seed, "requests", draft.sent + closure.sent,
			  "count");
	bench_report_max(name, seed, "drafts-cut", draft.sent - draft.done,
			 "count", 0);
	bench_report_max(name, seed, "closures-cut", closure.unknown, "count",
			 0);
	bench_report_max(name, seed, "stops-above-15s", late_stops, "count", 0);
	bench_report_max(name, seed, "invariants-broken",
			 bench_check_journals(&c), "count", 0);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

/* ---- intent ---- */

struct revision_state {
	int64_t latest[CLUSTER_ENTRIES_MAX];
	uint32_t reversions;
	int64_t expected;
	int paused_entry; /* entry VM stopped by SIGSTOP, or -1 */
};

static bool is_revision_in_force(struct cluster *c, void *arg)
{
	struct revision_state *r = arg;
	bool all = true;

	for (int i = 0; i < (int)c->entry_count; i++) {
		int64_t revision;

		if (i == r->paused_entry)
			continue;
		revision = cluster_status_number(c, (uint32_t)i, NULL,
						 "config_revision");
		r->reversions += revision >= 0 && revision < r->latest[i];
		if (revision > r->latest[i])
			r->latest[i] = revision;
		all = all && revision >= r->expected;
	}
	return all;
}

/* Sends two updates with the same base; true if exactly one is accepted. */
static bool race_sheet_updates(struct cluster *c, uint32_t first,
			       uint32_t second, int change)
{
	char csv[1024], path[64];
	int64_t base = cluster_status_number(c, first, NULL, "config_revision");
	int wins = 0;

	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	for (uint32_t n = 0; n < 2; n++) {
		snprintf(csv, sizeof(csv),
			 "%skind,yildirim,,extra,normal,%u,0,no,,,,,\n",
			 BENCH_SHEET, 1 + n + 2 * ((uint32_t)change % 4));
		wins += cluster_http(
				cluster_operator_port(c, n ? second : first),
				"PUT", path, NULL, csv, NULL) == 200;
	}
	return wins == 1;
}

static int run_config_changes(uint64_t seed)
{
	const char *name = "intent";
	struct revision_state state = { .paused_entry = -1 };
	struct rng rng = { seed };
	struct cluster_options o;
	struct cluster c;
	uint32_t races_failed = 0;
	double longest_ms = 0;
	int ret = -1;

	bench_reference_options(&o, seed);
	if (bench_start_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	for (int i = 0; i < CONFIG_CHANGES; i++) {
		uint64_t start = clock_now_us(), took;
		uint32_t first = rng_below(&rng, 3),
			 second = 3 + rng_below(&rng, 4);

		if (i == 4) {
			state.paused_entry = 6;
			cluster_entry_signal(&c, 6, SIGSTOP);
			second = 3;
		}
		if (state.paused_entry == 6 && second == 6)
			second = 5;
		state.expected = cluster_status_number(&c, first, NULL,
						       "config_revision") +
				 1;
		races_failed += !race_sheet_updates(&c, first, second, i);
		if (cluster_wait_until(&c, is_revision_in_force, &state,
				       RECOVERY_TIMEOUT_MS) < 0)
			fprintf(stderr,
				"timed out waiting for revision %" PRId64 "\n",
				state.expected);
		took = clock_now_us() - start;
		longest_ms = fmax(longest_ms, (double)took / 1000);
		if (i == 9) {
			cluster_entry_signal(&c, 6, SIGCONT);
			state.paused_entry = -1;
		}
		if (took < CONFIG_CHANGE_INTERVAL_US)
			clock_sleep_us(CONFIG_CHANGE_INTERVAL_US - took);
	}
	bench_report_info(name, seed, "changes", CONFIG_CHANGES, "count");
	bench_report_max(name, seed, "in-force-after", longest_ms, "ms",
			 CONFIG_APPLY_MAX_MS);
	bench_report_max(name, seed, "races-without-one-winner", races_failed,
			 "count", 0);
	bench_report_max(name, seed, "reversions", state.reversions, "count",
			 0);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

int main(int argc, char **argv)
{
	static const struct bench_scenario scenarios[] = {
		{ "replace", run_replace },
		{ "leave", run_leave },
		{ "intent", run_config_changes },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
