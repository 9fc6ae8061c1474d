/*
 * Scenarios replace, leave and intent: entry VMs come and go, and the sheet
 * changes, under load.
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
#define SERVED_MIN 0.99
#define RECOVER_MS 30000
#define ALL_ENTRIES 0x7fu
#define INTENT_CHANGES 16
#define INTENT_GAP_US 3000000u
#define INTENT_MAX_MS 6000

static int run_replace(uint64_t seed);
static int run_leave(uint64_t seed);
static int run_intent(uint64_t seed);

/* Starts the callers: drafts, which may be repeated, and closures. */
static int start_load(struct bench_load *l, struct cluster *c, double share,
		      double seconds, uint64_t seed)
{
	char draft[200], closure[200];
	const char *mixes[] = { draft, closure, NULL };
	double rate = share * 3 * c->options.runners * 8 * 1e6 / WORK_US;

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

struct ownership {
	double at_s[CLUSTER_ZONES_MAX]; /* last take-over, wall clock */
	int entry[CLUSTER_ZONES_MAX];	/* owner then, or -1 */
};

static void read_log(struct cluster *c, uint32_t entry, struct ownership *o)
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
			    ts < o->at_s[z])
				continue;
			o->at_s[z] = ts;
			o->entry[z] = (int)entry;
		}
	}
	free(text);
}

static void read_ownership(struct cluster *c, struct ownership *o)
{
	memset(o, 0, sizeof(*o));
	for (uint32_t z = 0; z < CLUSTER_ZONES_MAX; z++)
		o->entry[z] = -1;
	for (uint32_t i = 0; i < c->entry_count; i++)
		read_log(c, i, o);
}

struct take_over {
	double after_s;
	uint32_t killed; /* bits of entry VMs */
	struct ownership before;
	double longest_s;
};

/* True when each shard whose owner was killed has a new one. */
static bool is_taken_over(struct cluster *c, void *arg)
{
	struct take_over *t = arg;
	struct ownership now;

	read_ownership(c, &now);
	t->longest_s = 0;
	for (uint32_t z = 0; z < c->options.zones; z++) {
		if (t->before.entry[z] < 0 ||
		    !(t->killed & 1u << t->before.entry[z]))
			continue;
		if (now.at_s[z] <= t->after_s)
			return false;
		t->longest_s = fmax(t->longest_s, now.at_s[z] - t->after_s);
	}
	return true;
}

/* True when each entry VM has a part of its zone's slots and a sheet. */
static bool all_seated(struct cluster *c, void *arg)
{
	(void)arg;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (cluster_status_number(c, i, "seat", "revision") <= 0 ||
		    cluster_status_number(c, i, NULL, "config_revision") <= 0)
			return false;
	return true;
}

/* Kills entry VMs, waits for new owners and starts the VMs anew. */
static int replace(struct cluster *c, uint32_t mask, double *longest_s)
{
	struct take_over t = { .killed = mask };

	read_ownership(c, &t.before);
	t.after_s = (double)clock_wall_us() / 1e6;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (mask & 1u << i)
			cluster_entry_signal(c, i, SIGKILL);
	if (cluster_wait_until(c, is_taken_over, &t, RECOVER_MS) < 0)
		t.longest_s = RECOVER_MS / 1000.0;
	*longest_s = fmax(*longest_s, t.longest_s);
	for (uint32_t i = 0; i < c->entry_count; i++)
		if ((mask & 1u << i) && cluster_entry_start(c, i) < 0)
			return -1;
	return cluster_wait_until(c, all_seated, NULL, RECOVER_MS);
}

/* Half of the entry VMs, those that own a shard first. */
static uint32_t half_with_owners(struct cluster *c)
{
	struct ownership now;
	uint32_t mask = 0, bits = 0;

	read_ownership(c, &now);
	for (uint32_t z = 0; z < c->options.zones; z++)
		if (now.entry[z] >= 0)
			mask |= 1u << now.entry[z];
	for (uint32_t i = 0; i < c->entry_count; i++)
		bits += mask >> i & 1;
	for (uint32_t i = 0; i < c->entry_count && bits < c->entry_count / 2;
	     i++) {
		bits += !(mask >> i & 1);
		mask |= 1u << i;
	}
	return mask;
}

static int run_replace(uint64_t seed)
{
	const char *name = "replace";
	struct cluster_options o;
	struct bench_load load;
	struct bench_kind draft, closure;
	struct cluster c;
	double longest = 0, half = 0;
	int ret = -1;

	bench_today(&o, seed);
	if (bench_cluster(&c, &o, BENCH_SHEET) < 0 ||
	    start_load(&load, &c, 0.3, 60, seed) < 0)
		goto out;
	for (uint32_t i = 0; i < c.entry_count; i++)
		if (replace(&c, 1u << i, &longest) < 0)
			goto out;
	if (replace(&c, half_with_owners(&c), &half) < 0 ||
	    bench_load_wait(&load) < 0)
		goto out;
	bench_load_kind(&load, "draft", &draft);
	bench_load_kind(&load, "closure", &closure);
	bench_max(name, seed, "owner-after-one", longest, "s",
		  2 * LEASE_MS / 1000.0);
	bench_max(name, seed, "owner-after-half", half, "s",
		  2 * LEASE_MS / 1000.0);
	bench_info(name, seed, "drafts", draft.sent, "count");
	bench_max(name, seed, "drafts-lost", draft.unknown, "count", 0);
	bench_min(name, seed, "drafts-served", draft.done / draft.sent, "share",
		  SERVED_MIN);
	bench_info(name, seed, "closures", closure.sent, "count");
	bench_info(name, seed, "closures-unknown", closure.unknown, "count");
	bench_info(name, seed, "closures-not-run", closure.not_run, "count");
	bench_max(name, seed, "invariants-broken", bench_check(&c), "count", 0);
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
	struct bench_kind draft, closure;
	struct cluster c;
	char id[48];
	int ret = -1, late = 0;

	bench_today(&o, seed);
	o.list_lag_ms = 1500;
	if (bench_cluster(&c, &o, BENCH_SHEET) < 0 ||
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
			late++;
		if (cluster_entry_start(&c, i) < 0)
			goto out;
		clock_sleep_us(2000000);
	}
	if (bench_load_wait(&load) < 0)
		goto out;
	bench_load_kind(&load, "draft", &draft);
	bench_load_kind(&load, "closure", &closure);
	bench_info(name, seed, "requests", draft.sent + closure.sent, "count");
	bench_max(name, seed, "drafts-cut", draft.sent - draft.done, "count",
		  0);
	bench_max(name, seed, "closures-cut", closure.unknown, "count", 0);
	bench_max(name, seed, "stops-above-15s", late, "count", 0);
	bench_max(name, seed, "invariants-broken", bench_check(&c), "count", 0);
	ret = 0;
out:
	cluster_stop(&c);
	return ret;
}

/* ---- intent ---- */

struct revisions {
	int64_t seen[CLUSTER_ENTRIES_MAX];
	uint32_t reversions;
	int64_t want;
	int paused; /* entry VM that is stopped, or -1 */
};

static bool is_in_force(struct cluster *c, void *arg)
{
	struct revisions *r = arg;
	bool all = true;

	for (int i = 0; i < (int)c->entry_count; i++) {
		int64_t revision;

		if (i == r->paused)
			continue;
		revision = cluster_status_number(c, (uint32_t)i, NULL,
						 "config_revision");
		r->reversions += revision >= 0 && revision < r->seen[i];
		if (revision > r->seen[i])
			r->seen[i] = revision;
		all = all && revision >= r->want;
	}
	return all;
}

/* Two operators write on the same base; true when exactly one won. */
static bool race(struct cluster *c, uint32_t one, uint32_t two, int change)
{
	char csv[1024], path[64];
	int64_t base = cluster_status_number(c, one, NULL, "config_revision");
	int wins = 0;

	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	for (uint32_t n = 0; n < 2; n++) {
		snprintf(csv, sizeof(csv),
			 "%skind,yildirim,,extra,normal,%u,0,no,,,,,\n",
			 BENCH_SHEET, 1 + n + 2 * ((uint32_t)change % 4));
		wins += cluster_http(cluster_operator_port(c, n ? two : one),
				     "PUT", path, NULL, csv, NULL) == 200;
	}
	return wins == 1;
}

static int run_intent(uint64_t seed)
{
	const char *name = "intent";
	struct revisions r = { .paused = -1 };
	struct rng rng = { seed };
	struct cluster_options o;
	struct cluster c;
	uint32_t both = 0;
	double longest = 0;
	int ret = -1;

	bench_today(&o, seed);
	if (bench_cluster(&c, &o, BENCH_SHEET) < 0)
		goto out;
	for (int i = 0; i < INTENT_CHANGES; i++) {
		uint64_t start = clock_now_us(), took;
		uint32_t one = rng_below(&rng, 3), two = 3 + rng_below(&rng, 4);

		if (i == 4) {
			r.paused = 6;
			cluster_entry_signal(&c, 6, SIGSTOP);
			two = 3;
		}
		if (r.paused == 6 && two == 6)
			two = 5;
		r.want = cluster_status_number(&c, one, NULL,
					       "config_revision") +
			 1;
		both += !race(&c, one, two, i);
		if (cluster_wait_until(&c, is_in_force, &r, RECOVER_MS) < 0)
			fprintf(stderr,
				"revision %" PRId64 " is not in force\n",
				r.want);
		took = clock_now_us() - start;
		longest = fmax(longest, (double)took / 1000);
		if (i == 9) {
			cluster_entry_signal(&c, 6, SIGCONT);
			r.paused = -1;
		}
		if (took < INTENT_GAP_US)
			clock_sleep_us(INTENT_GAP_US - took);
	}
	bench_info(name, seed, "changes", INTENT_CHANGES, "count");
	bench_max(name, seed, "in-force-after", longest, "ms", INTENT_MAX_MS);
	bench_max(name, seed, "races-without-one-winner", both, "count", 0);
	bench_max(name, seed, "reversions", r.reversions, "count", 0);
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
		{ "intent", run_intent },
	};

	return bench_main(argc, argv, scenarios,
			  sizeof(scenarios) / sizeof(scenarios[0]));
}
