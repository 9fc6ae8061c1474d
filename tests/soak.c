/*
 * Randomized fault test over real processes: injects random, overlapping faults
 * and checks the invariants from the journals of the fakes and load-gen.
 * usage: soak [SEED [SECONDS]]
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "rng.h"
#include "support-bench.h"

#define SEED_DEFAULT 1
#define DURATION_DEFAULT_S 30
#define READY_MS 60000
#define FAULT_INTERVAL_MIN_US 300000u
#define FAULT_INTERVAL_SPAN_US 1200000u
#define FAULT_DURATION_MAX_US 6000000u
#define FAULTS_MAX 8

struct soak {
	struct cluster c;
	struct rng rng;
	uint32_t down_mask; /* entry VMs that are down or paused */
	uint32_t placements;
	uint32_t sheet_changes;
	int64_t revision[CLUSTER_ENTRIES_MAX]; /* of the current process */
	uint32_t reversions;
	struct active_fault {
		uint64_t end_us; /* 0: free */
		const struct fault_kind *kind;
		uint32_t entry, zone;
	} active_faults[FAULTS_MAX];
};

struct fault_kind {
	const char *name;
	int (*begin)(struct soak *s, struct active_fault *a);
	int (*end)(struct soak *s, struct active_fault *a); /* may be NULL */
};

static int begin_kill(struct soak *s, struct active_fault *a);
static int begin_stop(struct soak *s, struct active_fault *a);
static int begin_pause(struct soak *s, struct active_fault *a);
static int end_pause(struct soak *s, struct active_fault *a);
static int restart(struct soak *s, struct active_fault *a);
static int begin_store(struct soak *s, struct active_fault *a);
static int end_store(struct soak *s, struct active_fault *a);
static int begin_cut(struct soak *s, struct active_fault *a);
static int end_cut(struct soak *s, struct active_fault *a);
static int begin_runners(struct soak *s, struct active_fault *a);
static int end_runners(struct soak *s, struct active_fault *a);
static void submit_placement(struct soak *s);
static int begin_sheet(struct soak *s, struct active_fault *a);

static const struct fault_kind fault_kinds[] = {
	{ "kill", begin_kill, restart },
	{ "planned-stop", begin_stop, restart },
	{ "pause", begin_pause, end_pause },
	{ "store", begin_store, end_store },
	{ "cut-zone", begin_cut, end_cut },
	{ "runners", begin_runners, end_runners },
	{ "sheet", begin_sheet, NULL },
};

#define FAULT_KIND_COUNT (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

/* Picks a random entry VM; false if it is down or half of all are. */
static bool pick_running_entry(struct soak *s, struct active_fault *a)
{
	uint32_t down = 0;

	for (uint32_t i = 0; i < s->c.entry_count; i++)
		down += s->down_mask >> i & 1;
	a->entry = rng_below(&s->rng, s->c.entry_count);
	if (down >= s->c.entry_count / 2 || (s->down_mask & 1u << a->entry))
		return false;
	s->down_mask |= 1u << a->entry;
	s->revision[a->entry] = 0;
	return true;
}

static int begin_kill(struct soak *s, struct active_fault *a)
{
	if (!pick_running_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGKILL);
	return 0;
}

static int begin_stop(struct soak *s, struct active_fault *a)
{
	if (!pick_running_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGTERM);
	return 0;
}

static int restart(struct soak *s, struct active_fault *a)
{
	if (s->c.entries[a->entry].pid > 0 &&
	    cluster_entry_wait_exit(&s->c, a->entry, READY_MS) < 0)
		return -1;
	s->down_mask &= ~(1u << a->entry);
	return cluster_entry_start(&s->c, a->entry);
}

static int begin_pause(struct soak *s, struct active_fault *a)
{
	if (!pick_running_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGSTOP);
	return 0;
}

static int end_pause(struct soak *s, struct active_fault *a)
{
	cluster_entry_signal(&s->c, a->entry, SIGCONT);
	s->down_mask &= ~(1u << a->entry);
	return 0;
}

static int begin_store(struct soak *s, struct active_fault *a)
{
	static const char *const faults[] = {
		"{\"down\":true}",
		"{\"delay_ms\":2000}",
		"{\"lose\":0.3}",
		"{\"error_rate\":0.3}",
	};

	(void)a;
	return cluster_set_fault(cluster_store_port(&s->c),
				 faults[rng_below(&s->rng, 4)]);
}

static int end_store(struct soak *s, struct active_fault *a)
{
	(void)a;
	return cluster_set_fault(cluster_store_port(&s->c), "{\"reset\":true}");
}

static int begin_cut(struct soak *s, struct active_fault *a)
{
	a->zone = rng_below(&s->rng, s->c.options.zones);
	return cluster_partition_zone(&s->c, a->zone, true);
}

static int end_cut(struct soak *s, struct active_fault *a)
{
	/* Only one partition is active at a time, so this heals no other. */
	return cluster_partition_zone(&s->c, a->zone, false);
}

static int begin_runners(struct soak *s, struct active_fault *a)
{
	static const char *const faults[] = {
		"{\"runner\":\"*\",\"drop\":0.2}",
		"{\"runner\":\"*\",\"truncate\":0.2}",
		"{\"runner\":\"*\",\"wrong_id\":0.2}",
		"{\"runner\":\"*\",\"error_rate\":0.3}",
		"{\"runner\":\"*\",\"slow\":3}",
	};

	a->zone = rng_below(&s->rng, s->c.options.zones);
	return cluster_set_fault(cluster_runner_control_port(&s->c, a->zone),
				 faults[rng_below(&s->rng, 5)]);
}

static int end_runners(struct soak *s, struct active_fault *a)
{
	return cluster_set_fault(cluster_runner_control_port(&s->c, a->zone),
				 "{\"runner\":\"*\",\"reset\":true}");
}

/* Submits batch tasks, or urgent tasks that preempt them for some seconds. */
static void submit_placement(struct soak *s)
{
	uint32_t zone = rng_below(&s->rng, s->c.options.zones);
	bool service = rng_below(&s->rng, 3) == 0;
	uint32_t count = service ? 6 : 12;
	uint32_t cpu_milli = service ? 16000 : 8000;
	uint32_t run_ms = service ? 3000 : 5000;
	uint32_t entry;
	char body[640];

	snprintf(body, sizeof(body),
		 "{\"id\":\"%s.wave%u\",\"user\":\"%s\",\"team\":\"%s\","
		 "\"name\":\"wave\",\"class\":\"batch\",\"kind\":\"%s\","
		 "\"urgency\":\"%s\",\"count\":%u,\"cpu_milli\":%u,"
		 "\"memory_mb\":4000,\"accelerators\":0,\"yields\":%s,"
		 "\"spread\":\"none\",\"max_run_ms\":60000,"
		 "\"spec\":\"run_ms=%u cpu=4000 mem=3000\"}",
		 cluster_zone_names[zone], s->placements++,
		 service ? "bandargah" : "yildirim", service ? "port" : "court",
		 service ? "confirm" : "archive",
		 service ? "urgent" : "deferrable", count, cpu_milli,
		 service ? "false" : "true", run_ms);
	/* May be refused while the owner or the store is unavailable. */
	entry = rng_below(&s->rng, s->c.entry_count);
	if (!(s->down_mask & 1u << entry))
		cluster_http(cluster_operator_port(&s->c, entry), "POST",
			     "/v1/placements", NULL, body, NULL);
}

static int begin_sheet(struct soak *s, struct active_fault *a)
{
	char csv[1024], path[64];
	int64_t base;

	a->entry = rng_below(&s->rng, s->c.entry_count);
	if (s->down_mask & 1u << a->entry)
		return 1;
	base = cluster_status_number(&s->c, a->entry, NULL, "config_revision");
	if (base < 0)
		return 1;
	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	snprintf(csv, sizeof(csv),
		 "%skind,yildirim,,extra,normal,%u,0,no,,,,,\n", BENCH_SHEET,
		 1 + s->sheet_changes % 9);
	s->sheet_changes += cluster_http(cluster_operator_port(&s->c, a->entry),
					 "PUT", path, NULL, csv, NULL) == 200;
	return 1;
}

/* Counts decreases of a process's config revision. */
static void check_revisions(struct soak *s)
{
	for (uint32_t i = 0; i < s->c.entry_count; i++) {
		int64_t revision;

		if (s->down_mask & 1u << i)
			continue;
		revision = cluster_status_number(&s->c, i, NULL,
						 "config_revision");
		if (revision < 0)
			continue;
		s->reversions += revision < s->revision[i];
		s->revision[i] = revision;
	}
}

/* Begins a random fault in a free slot; one per kind, except kills. */
static int begin_random_fault(struct soak *s)
{
	const struct fault_kind *k =
		&fault_kinds[rng_below(&s->rng, FAULT_KIND_COUNT)];
	struct active_fault *free_slot = NULL;
	int ret;

	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		if (!s->active_faults[i].end_us)
			free_slot = &s->active_faults[i];
		else if (s->active_faults[i].kind == k &&
			 k->begin != begin_kill)
			return 0;
	}
	if (!free_slot)
		return 0;
	ret = k->begin(s, free_slot);
	if (ret)
		return ret < 0 ? -1 : 0;
	free_slot->kind = k;
	free_slot->end_us =
		clock_now_us() + 1 + rng_below(&s->rng, FAULT_DURATION_MAX_US);
	return 0;
}

static int end_faults(struct soak *s, bool all)
{
	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		struct active_fault *a = &s->active_faults[i];

		if (!a->end_us || (!all && clock_now_us() < a->end_us))
			continue;
		a->end_us = 0;
		if (a->kind->end && a->kind->end(s, a) < 0)
			return -1;
	}
	return 0;
}

static int run(struct soak *s, uint64_t seed, double seconds)
{
	static const char *const mixes[] = {
		"user=yildirim,team=court,kind=draft,urgency=urgent,rate=200,"
		"deadline_ms=3000,work_us=30000,work_spread=50,idempotent=yes,"
		"retries=3,retry_ms=400",
		"user=bandargah,team=port,kind=closure,rate=60,"
		"deadline_ms=3000,work_us=30000,work_spread=50,idempotent=no,"
		"retries=3,retry_ms=600,duplicate_percent=10",
		NULL
	};
	struct cluster_options o;
	struct bench_load load;
	struct bench_load_stats k;
	uint64_t end;
	int broken;

	cluster_default_options(&o);
	o.proxy_links = true;
	o.seed = seed;
	if (bench_start_cluster(&s->c, &o, BENCH_SHEET) < 0 ||
	    bench_load_start(&load, &s->c, 0x7f, mixes, seconds, seed, "load"))
		return -1;
	end = clock_now_us() + (uint64_t)(seconds * 1e6);
	while (clock_now_us() < end) {
		if (begin_random_fault(s) < 0 || end_faults(s, false) < 0)
			return -1;
		/* Keeps tasks running while faults occur. */
		submit_placement(s);
		check_revisions(s);
		clock_sleep_us(FAULT_INTERVAL_MIN_US +
			       rng_below(&s->rng, FAULT_INTERVAL_SPAN_US));
	}
	if (end_faults(s, true) < 0 || bench_load_wait(&load) < 0)
		return -1;
	broken = cluster_wait_ready(&s->c, READY_MS) < 0;
	if (broken)
		printf("entry VMs did not become ready after the faults ended\n");
	broken += bench_check_journals(&s->c) != 0;
	broken += s->reversions > 0;
	bench_load_get_stats(&load, NULL, &k);
	printf("seed=%" PRIu64 " seconds=%g requests=%g done=%g not-run=%g "
	       "unknown=%g placements=%u sheets=%u reversions=%u %s\n",
	       seed, seconds, k.sent, k.done, k.not_run, k.unknown,
	       s->placements, s->sheet_changes, s->reversions,
	       broken ? "BROKEN" : "held");
	return broken ? -1 : 0;
}

int main(int argc, char **argv)
{
	static struct soak s;
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : SEED_DEFAULT;
	double seconds = argc > 2 ? strtod(argv[2], NULL) : DURATION_DEFAULT_S;
	int ret;

	s.rng.state = seed;
	printf("seed=%" PRIu64 "\n", seed);
	fflush(stdout);
	ret = run(&s, seed, seconds);
	cluster_stop(&s.c);
	return ret < 0;
}
