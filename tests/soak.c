/*
 * Randomized run over real processes: draws faults of all scenarios at once
 * and judges the invariants from the journals of the stand-ins.
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
#define GAP_MIN_US 300000u
#define GAP_SPAN_US 1200000u
#define HEAL_MAX_US 6000000u
#define FAULTS_MAX 8

struct soak {
	struct cluster c;
	struct rng rng;
	uint32_t down; /* bits of entry VMs that do not run or are stopped */
	uint32_t waves;
	uint32_t changes;
	int64_t revision[CLUSTER_ENTRIES_MAX]; /* of the process that runs */
	uint32_t reversions;
	struct active {
		uint64_t end_us; /* 0: free */
		const struct fault_kind *kind;
		uint32_t entry, zone;
	} active[FAULTS_MAX];
};

struct fault_kind {
	const char *name;
	int (*begin)(struct soak *s, struct active *a);
	int (*end)(struct soak *s, struct active *a); /* may be NULL */
};

static int begin_kill(struct soak *s, struct active *a);
static int begin_stop(struct soak *s, struct active *a);
static int begin_pause(struct soak *s, struct active *a);
static int end_pause(struct soak *s, struct active *a);
static int restart(struct soak *s, struct active *a);
static int begin_store(struct soak *s, struct active *a);
static int end_store(struct soak *s, struct active *a);
static int begin_cut(struct soak *s, struct active *a);
static int end_cut(struct soak *s, struct active *a);
static int begin_runners(struct soak *s, struct active *a);
static int end_runners(struct soak *s, struct active *a);
static void begin_batch(struct soak *s);
static int begin_sheet(struct soak *s, struct active *a);

static const struct fault_kind kinds[] = {
	{ "kill", begin_kill, restart },
	{ "planned-stop", begin_stop, restart },
	{ "pause", begin_pause, end_pause },
	{ "store", begin_store, end_store },
	{ "cut-zone", begin_cut, end_cut },
	{ "runners", begin_runners, end_runners },
	{ "sheet", begin_sheet, NULL },
};

#define KIND_COUNT (sizeof(kinds) / sizeof(kinds[0]))

/* Draws an entry VM that runs; false when too few would be left. */
static bool draw_entry(struct soak *s, struct active *a)
{
	uint32_t down = 0;

	for (uint32_t i = 0; i < s->c.entry_count; i++)
		down += s->down >> i & 1;
	a->entry = rng_below(&s->rng, s->c.entry_count);
	if (down >= s->c.entry_count / 2 || (s->down & 1u << a->entry))
		return false;
	s->down |= 1u << a->entry;
	s->revision[a->entry] = 0;
	return true;
}

static int begin_kill(struct soak *s, struct active *a)
{
	if (!draw_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGKILL);
	return 0;
}

static int begin_stop(struct soak *s, struct active *a)
{
	if (!draw_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGTERM);
	return 0;
}

static int restart(struct soak *s, struct active *a)
{
	if (s->c.entries[a->entry].pid > 0 &&
	    cluster_entry_wait_end(&s->c, a->entry, READY_MS) < 0)
		return -1;
	s->down &= ~(1u << a->entry);
	return cluster_entry_start(&s->c, a->entry);
}

static int begin_pause(struct soak *s, struct active *a)
{
	if (!draw_entry(s, a))
		return 1;
	cluster_entry_signal(&s->c, a->entry, SIGSTOP);
	return 0;
}

static int end_pause(struct soak *s, struct active *a)
{
	cluster_entry_signal(&s->c, a->entry, SIGCONT);
	s->down &= ~(1u << a->entry);
	return 0;
}

static int begin_store(struct soak *s, struct active *a)
{
	static const char *const faults[] = {
		"{\"down\":true}",
		"{\"delay_ms\":2000}",
		"{\"lose\":0.3}",
		"{\"error_rate\":0.3}",
	};

	(void)a;
	return cluster_fault(cluster_store_port(&s->c),
			     faults[rng_below(&s->rng, 4)]);
}

static int end_store(struct soak *s, struct active *a)
{
	(void)a;
	return cluster_fault(cluster_store_port(&s->c), "{\"reset\":true}");
}

static int begin_cut(struct soak *s, struct active *a)
{
	a->zone = rng_below(&s->rng, s->c.o.zones);
	return cluster_cut_zone(&s->c, a->zone, true);
}

static int end_cut(struct soak *s, struct active *a)
{
	/* Another cut of the same zone would end, too, and is drawn again. */
	return cluster_cut_zone(&s->c, a->zone, false);
}

static int begin_runners(struct soak *s, struct active *a)
{
	static const char *const faults[] = {
		"{\"runner\":\"*\",\"drop\":0.2}",
		"{\"runner\":\"*\",\"truncate\":0.2}",
		"{\"runner\":\"*\",\"wrong_id\":0.2}",
		"{\"runner\":\"*\",\"error_rate\":0.3}",
		"{\"runner\":\"*\",\"slow\":3}",
	};

	a->zone = rng_below(&s->rng, s->c.o.zones);
	return cluster_fault(cluster_runner_control_port(&s->c, a->zone),
			     faults[rng_below(&s->rng, 5)]);
}

static int end_runners(struct soak *s, struct active *a)
{
	return cluster_fault(cluster_runner_control_port(&s->c, a->zone),
			     "{\"runner\":\"*\",\"reset\":true}");
}

/* Batch tasks, or services that take their place for some seconds. */
static void begin_batch(struct soak *s)
{
	uint32_t zone = rng_below(&s->rng, s->c.o.zones);
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
		 cluster_zone_names[zone], s->waves++,
		 service ? "bandargah" : "yildirim", service ? "port" : "court",
		 service ? "confirm" : "archive",
		 service ? "urgent" : "deferrable", count, cpu_milli,
		 service ? "false" : "true", run_ms);
	/* Refused while the owner or the store is away; that is an answer. */
	entry = rng_below(&s->rng, s->c.entry_count);
	if (!(s->down & 1u << entry))
		cluster_http(cluster_operator_port(&s->c, entry), "POST",
			     "/v1/placements", NULL, body, NULL);
}

static int begin_sheet(struct soak *s, struct active *a)
{
	char csv[1024], path[64];
	int64_t base;

	a->entry = rng_below(&s->rng, s->c.entry_count);
	if (s->down & 1u << a->entry)
		return 1;
	base = cluster_status(&s->c, a->entry, NULL, "config_revision");
	if (base < 0)
		return 1;
	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64, base);
	snprintf(csv, sizeof(csv),
		 "%skind,yildirim,,extra,normal,%u,0,no,,,,,\n", BENCH_SHEET,
		 1 + s->changes % 9);
	s->changes += cluster_http(cluster_operator_port(&s->c, a->entry),
				   "PUT", path, NULL, csv, NULL) == 200;
	return 1;
}

/* Counts processes whose revision went back. */
static void watch_revisions(struct soak *s)
{
	for (uint32_t i = 0; i < s->c.entry_count; i++) {
		int64_t revision;

		if (s->down & 1u << i)
			continue;
		revision = cluster_status(&s->c, i, NULL, "config_revision");
		if (revision < 0)
			continue;
		s->reversions += revision < s->revision[i];
		s->revision[i] = revision;
	}
}

/* Begins a fault in a free place; one of a kind at a time. */
static int draw_fault(struct soak *s)
{
	const struct fault_kind *k = &kinds[rng_below(&s->rng, KIND_COUNT)];
	struct active *place = NULL;
	int ret;

	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		if (!s->active[i].end_us)
			place = &s->active[i];
		else if (s->active[i].kind == k && k->begin != begin_kill)
			return 0;
	}
	if (!place)
		return 0;
	ret = k->begin(s, place);
	if (ret)
		return ret < 0 ? -1 : 0;
	place->kind = k;
	place->end_us = clock_now_us() + 1 + rng_below(&s->rng, HEAL_MAX_US);
	return 0;
}

static int end_faults(struct soak *s, bool all)
{
	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		struct active *a = &s->active[i];

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

	cluster_defaults(&o);
	o.cut_links = true;
	o.seed = seed;
	if (bench_start_cluster(&s->c, &o, BENCH_SHEET) < 0 ||
	    bench_load_start(&load, &s->c, 0x7f, mixes, seconds, seed, "load"))
		return -1;
	end = clock_now_us() + (uint64_t)(seconds * 1e6);
	while (clock_now_us() < end) {
		if (draw_fault(s) < 0 || end_faults(s, false) < 0)
			return -1;
		/* Faults of tasks need tasks at any moment. */
		begin_batch(s);
		watch_revisions(s);
		clock_sleep_us(GAP_MIN_US + rng_below(&s->rng, GAP_SPAN_US));
	}
	if (end_faults(s, true) < 0 || bench_load_wait(&load) < 0)
		return -1;
	broken = cluster_wait_ready(&s->c, READY_MS) < 0;
	if (broken)
		printf("entry VMs are not ready after the faults ended\n");
	broken += bench_check_journals(&s->c) != 0;
	broken += s->reversions > 0;
	bench_load_get_stats(&load, NULL, &k);
	printf("seed=%" PRIu64 " seconds=%g requests=%g done=%g not-run=%g "
	       "unknown=%g placements=%u sheets=%u reversions=%u %s\n",
	       seed, seconds, k.sent, k.done, k.not_run, k.unknown, s->waves,
	       s->changes, s->reversions, broken ? "BROKEN" : "held");
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
