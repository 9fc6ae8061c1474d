/*
 * Randomized fault test of jobs over real processes: entry VMs behind a fault
 * proxy, a simulated platform and callers. Injects overlapping random faults
 * from a seed, ends them all and checks what callers and workers observed.
 * usage: soak-jobs [SEED [SECONDS [ENTRIES [WORKERS [CALLERS]]]]]
 */
#include <errno.h>
#include <event2/event.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "log-line.h"
#include "support-cluster-internal.h"
#include "support-proxy.h"
#include "support-soak-callers.h"

/*
 * From this seed on, the entry VMs have so little CPU that their owner calls
 * workers through relays. Earlier builds do not read these settings.
 */
#define RELAY_SEED_FIRST 10000u
#define STORE_PORT 0u
#define ENTRY_PORT 10u
#define ENTRY_PORTS 8u
#define WORKER_PORT 200u
#define WORKER_PORTS 2u
/* Every third worker is slow: its tasks outlast most faults. */
#define TASK_MS 300
#define SLOW_TASK_MS 4000
#define STARTUP_US 3000000u
#define PROCESS_START_US 20000u /* from spawn to main() */
#define REAP_INTERVAL_US 50000u
#define FAULT_INTERVAL_MIN_US 200000u
#define FAULT_INTERVAL_SPAN_US 900000u
#define FAULT_DURATION_MAX_US 5000000u
#define FAULTS_MAX 6
/* Users' requirements: a stop takes up to 6 s, jobs are polled for 14 s. */
#define STOP_TIMEOUT_US 6500000u
#define FINISH_TIMEOUT_US 14000000u

struct entry {
	pid_t pid; /* 0: not running */
	uint64_t started_us;
	uint64_t stopping_us;
	bool paused;
	bool restart; /* restart after exit */
};

struct soak;
struct fault;

enum platform_fault {
	STORE_REFUSES,
	STORE_UNRESPONSIVE,
	STORE_LOSES_ANSWERS,
	WORKERS_LOSE_ANSWERS,
	PLATFORM_FAULTS,
};

struct fault_kind {
	const char *name;
	/* Returns false when the fault cannot be injected now. */
	bool (*begin)(struct soak *s, const struct fault *f);
	void (*end)(struct soak *s, const struct fault *f); /* may be NULL */
	enum platform_fault platform;
	const char *link;
};

struct fault {
	const struct fault_kind *kind; /* NULL: free */
	uint32_t target;
	uint64_t end_us;
};

struct soak {
	struct cluster c; /* only folders and ports are used */
	struct rng rng;
	struct event_base *base;
	struct jobs_platform *platform;
	struct proxy *proxy;
	struct callers *callers;
	struct entry entries[SOAK_ENTRIES_MAX];
	uint32_t entry_count, worker_count, caller_count;
	struct fault faults[FAULTS_MAX];
	int platform_faults[PLATFORM_FAULTS]; /* active faults of each kind */
	uint32_t config_version, faults_started, violations;
	bool relays; /* see RELAY_SEED_FIRST */
};

static bool begin_kill(struct soak *s, const struct fault *f);
static void end_kill(struct soak *s, const struct fault *f);
static bool begin_stop(struct soak *s, const struct fault *f);
static bool begin_pause(struct soak *s, const struct fault *f);
static void end_pause(struct soak *s, const struct fault *f);
static bool begin_reload(struct soak *s, const struct fault *f);
static bool begin_platform(struct soak *s, const struct fault *f);
static void end_platform(struct soak *s, const struct fault *f);
static bool begin_compact_history(struct soak *s, const struct fault *f);
static bool begin_config(struct soak *s, const struct fault *f);
static bool begin_link(struct soak *s, const struct fault *f);
static void end_link(struct soak *s, const struct fault *f);

static const struct fault_kind fault_kinds[] = {
	{ .name = "kill", begin_kill, end_kill },
	{ .name = "stop", begin_stop },
	{ .name = "pause", begin_pause, end_pause },
	{ .name = "reload", begin_reload },
	{ "store-refuses", begin_platform, end_platform, STORE_REFUSES, NULL },
	{ "store-silent", begin_platform, end_platform, STORE_UNRESPONSIVE,
	  NULL },
	{ "store-loses-answers", begin_platform, end_platform,
	  STORE_LOSES_ANSWERS, NULL },
	{ "workers-lose-answers", begin_platform, end_platform,
	  WORKERS_LOSE_ANSWERS, NULL },
	{ .name = "store-forgets", begin_compact_history },
	{ .name = "config", begin_config },
	{ "store-link", begin_link, end_link, 0, "store" },
	{ "worker-link", begin_link, end_link, 0, "worker" },
	{ "caller-link", begin_link, end_link, 0, "caller" },
};
#define FAULT_KINDS (sizeof(fault_kinds) / sizeof(fault_kinds[0]))

/* Bodies for /v1/links of the fault proxy. */
static const char *const link_faults[] = {
	"{\"cut\":\"both\"}", "{\"cut\":\"up\"}",
	"{\"cut\":\"down\"}", "{\"delay_ms\":400,\"jitter_ms\":300}",
	"{\"drop\":0.3}",     "{\"lose_answer\":0.3}",
	"{\"close\":true}",
};
#define LINK_FAULT_COUNT (sizeof(link_faults) / sizeof(link_faults[0]))

/* ---- ports ---- */

static uint16_t store_port(const struct soak *s)
{
	return (uint16_t)(s->c.base_port + STORE_PORT);
}

/*
 * i: 0 store link, 1 caller link, 2 front, 3 readiness, 4 peers, 5 metrics,
 * 6 relays.
 */
static uint16_t entry_port(const struct soak *s, uint32_t entry, uint32_t i)
{
	return (uint16_t)(s->c.base_port + ENTRY_PORT + entry * ENTRY_PORTS +
			  i);
}

static uint16_t worker_port(const struct soak *s, uint32_t worker, uint32_t i)
{
	return (uint16_t)(s->c.base_port + WORKER_PORT + worker * WORKER_PORTS +
			  i);
}

/* ---- processes ---- */

static void report_violation(struct soak *s, const char *promise,
			     uint32_t entry, int value)
{
	s->violations++;
	printf("BROKEN %s entry=%u value=%d\n", promise, entry, value);
	fflush(stdout);
}

static void write_settings(struct soak *s, uint32_t entry, const char *level)
{
	char path[300], renamed[310];
	FILE *f;

	snprintf(path, sizeof(path), "%s/entry-%u.conf", s->c.folder, entry);
	snprintf(renamed, sizeof(renamed), "%s.new", path);
	f = fopen(renamed, "w");
	if (!f)
		abort();
	fprintf(f,
		"[node]\nid = entry-%u\navailability_zone = zone-%u\n"
		"deployment = soak\ncpu = %s\n[front]\n"
		"listen = 127.0.0.1:%u\n[platform]\ndialect = kv\n"
		"address = 127.0.0.1:%u\n[jobs]\nreadiness = 127.0.0.1:%u\n"
		"peers = 127.0.0.1:%u\nmetrics = 127.0.0.1:%u\n"
		"lease_max = 6 s\nstatus_keep = 120 s\nstop_grace = 6 s\n",
		entry, entry % 3, s->relays ? "0.01" : "0.25",
		entry_port(s, entry, 2), entry_port(s, entry, 0),
		entry_port(s, entry, 3), entry_port(s, entry, 4),
		entry_port(s, entry, 5));
	if (s->relays)
		fprintf(f, "relays = 127.0.0.1:%u\n", entry_port(s, entry, 6));
	fprintf(f, "[log]\nlevel = %s\n", level);
	fclose(f);
	rename(renamed, path);
}

static void start_entry(struct soak *s, uint32_t i)
{
	struct entry *e = &s->entries[i];
	char conf[300], output[32];
	const char *const argv[] = { "waxwingd", "-c", conf, NULL };

	snprintf(conf, sizeof(conf), "%s/entry-%u.conf", s->c.folder, i);
	snprintf(output, sizeof(output), "entry-%u.log", i);
	*e = (struct entry){ .pid = cluster_spawn(&s->c, argv, output),
			     .started_us = clock_now_us() };
	if (e->pid < 0)
		abort();
}

/* Collects exited processes; reports unexpected exits and overdue stops. */
static void reap_entries(struct soak *s)
{
	for (uint32_t i = 0; i < s->entry_count; i++) {
		struct entry *e = &s->entries[i];
		int status;

		if (!e->pid)
			continue;
		if (waitpid(e->pid, &status, WNOHANG) != e->pid) {
			if (!e->stopping_us ||
			    clock_now_us() <= e->stopping_us + STOP_TIMEOUT_US)
				continue;
			report_violation(s, "a stop ends in time", i, 0);
			kill(e->pid, SIGKILL);
			e->stopping_us = 0;
			continue;
		}
		if (!WIFSIGNALED(status) || WTERMSIG(status) != SIGKILL)
			if (!e->stopping_us || status)
				report_violation(s, "no unexpected exit", i,
						 status);
		e->pid = 0;
		if (e->restart)
			start_entry(s, i);
	}
}

/* ---- faults ---- */

/* A process cannot handle signals before main(). */
static bool handles_signals(const struct entry *e)
{
	return e->pid && clock_now_us() > e->started_us + PROCESS_START_US;
}

static bool is_undisturbed(const struct entry *e)
{
	return handles_signals(e) && !e->stopping_us && !e->paused;
}

static bool begin_kill(struct soak *s, const struct fault *f)
{
	struct entry *e = &s->entries[f->target % s->entry_count];

	if (!e->pid)
		return false;
	kill(e->pid, SIGKILL);
	/* Also clears the state of a stopping or paused process. */
	*e = (struct entry){ .pid = e->pid };
	return true;
}

static void end_kill(struct soak *s, const struct fault *f)
{
	struct entry *e = &s->entries[f->target % s->entry_count];

	if (e->pid)
		e->restart = true;
	else
		start_entry(s, f->target % s->entry_count);
}

static bool stop_entry(struct soak *s, uint32_t i)
{
	struct entry *e = &s->entries[i];

	if (!is_undisturbed(e))
		return false;
	kill(e->pid, SIGTERM);
	e->stopping_us = clock_now_us();
	e->restart = true;
	return true;
}

static bool begin_stop(struct soak *s, const struct fault *f)
{
	return stop_entry(s, f->target % s->entry_count);
}

static bool begin_pause(struct soak *s, const struct fault *f)
{
	struct entry *e = &s->entries[f->target % s->entry_count];

	if (!is_undisturbed(e))
		return false;
	kill(e->pid, SIGSTOP);
	e->paused = true;
	return true;
}

static void end_pause(struct soak *s, const struct fault *f)
{
	struct entry *e = &s->entries[f->target % s->entry_count];

	if (e->pid && e->paused)
		kill(e->pid, SIGCONT);
	e->paused = false;
}

static bool begin_reload(struct soak *s, const struct fault *f)
{
	struct entry *e = &s->entries[f->target % s->entry_count];

	if (!handles_signals(e))
		return false;
	write_settings(s, f->target % s->entry_count,
		       f->target & 64 ? "debug" : "info");
	kill(e->pid, SIGHUP);
	return true;
}

/* Faults of one kind may overlap; the last one to end clears it. */
static void adjust_platform_fault(struct soak *s, enum platform_fault kind,
				  int change)
{
	struct platform_faults *f = jobs_platform_faults(s->platform);

	s->platform_faults[kind] += change;
	f->refuse = s->platform_faults[STORE_REFUSES] > 0;
	f->unresponsive = s->platform_faults[STORE_UNRESPONSIVE] > 0;
	f->lose_write_answers = s->platform_faults[STORE_LOSES_ANSWERS] > 0;
	f->lose_order_answers = s->platform_faults[WORKERS_LOSE_ANSWERS] > 0;
}

static bool begin_platform(struct soak *s, const struct fault *f)
{
	adjust_platform_fault(s, f->kind->platform, 1);
	return true;
}

static void end_platform(struct soak *s, const struct fault *f)
{
	adjust_platform_fault(s, f->kind->platform, -1);
}

static bool begin_compact_history(struct soak *s, const struct fault *f)
{
	(void)f;
	jobs_platform_faults(s->platform)->compact_history = true;
	return true;
}

static void put_config(struct soak *s)
{
	char text[700];

	s->config_version += 1 + rng_below(&s->rng, 3);
	snprintf(text, sizeof(text),
		 "{\"version\":%u,\"routes\":[{\"name\":\"forms\","
		 "\"host\":\"127.0.0.1\",\"prefix\":\"/forms/\","
		 "\"kind\":\"unsafe\",\"timeout-ms\":%u,"
		 "\"target-latency-ms\":300,\"priority\":0,"
		 "\"service\":\"svc\",\"max-attempts\":2,\"stretch\":1.5}],"
		 "\"services\":[{\"name\":\"svc\",\"enforces-capacity\":true}],"
		 "\"limits\":{\"max-body-bytes\":262144}}",
		 s->config_version, 3000 + 100 * rng_below(&s->rng, 10));
	jobs_platform_put(s->platform, "op/config", text);
}

static bool begin_config(struct soak *s, const struct fault *f)
{
	(void)f;
	put_config(s);
	return true;
}

static void change_link(struct soak *s, const char *kind, uint32_t i,
			const char *change)
{
	char path[64];
	json_t *body = json_loads(change, 0, NULL);

	snprintf(path, sizeof(path), "/v1/links/%s-%u", kind, i);
	json_decref(proxy_control(s->proxy, path, body));
	json_decref(body);
}

static uint32_t link_index(const struct soak *s, const struct fault *f)
{
	return f->target % (strcmp(f->kind->link, "worker") ? s->entry_count
							    : s->worker_count);
}

static bool begin_link(struct soak *s, const struct fault *f)
{
	change_link(s, f->kind->link, link_index(s, f),
		    link_faults[f->target / 64 % LINK_FAULT_COUNT]);
	return true;
}

static void end_link(struct soak *s, const struct fault *f)
{
	change_link(s, f->kind->link, link_index(s, f), "{\"reset\":true}");
}

static void begin_random_fault(struct soak *s)
{
	struct fault drawn = {
		.kind = &fault_kinds[rng_below(&s->rng, FAULT_KINDS)]
	};
	uint64_t duration_us;

	drawn.target = rng_below(&s->rng, 1u << 20);
	duration_us = rng_below(&s->rng, FAULT_DURATION_MAX_US);
	drawn.end_us = clock_now_us() + duration_us;
	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		if (s->faults[i].kind)
			continue;
		if (!drawn.kind->begin(s, &drawn))
			return;
		s->faults[i] = drawn;
		s->faults_started++;
		printf("at=%.3f fault=%s target=%u for_ms=%" PRIu64 "\n",
		       (double)clock_wall_us() / 1e6, drawn.kind->name,
		       drawn.target, duration_us / 1000);
		return;
	}
}

static void end_faults(struct soak *s, bool all)
{
	for (uint32_t i = 0; i < FAULTS_MAX; i++) {
		struct fault *f = &s->faults[i];

		if (!f->kind)
			continue;
		callers_note_fault(s->callers);
		if (!all && clock_now_us() < f->end_us)
			continue;
		if (f->kind->end)
			f->kind->end(s, f);
		f->kind = NULL;
	}
}

/* ---- the run ---- */

static void run_loop(struct soak *s, uint64_t us)
{
	uint64_t end = clock_now_us() + us;

	/* Short rounds, so that a process exit is seen in time. */
	do {
		struct timeval tv = { 0, REAP_INTERVAL_US };

		event_base_loopexit(s->base, &tv);
		event_base_dispatch(s->base);
		reap_entries(s);
	} while (clock_now_us() < end);
}

static int add_link(struct soak *s, const char *kind, uint32_t i,
		    uint16_t listen, uint16_t target)
{
	char text[96];

	snprintf(text, sizeof(text), "%s-%u=127.0.0.1:%u=127.0.0.1:%u", kind, i,
		 listen, target);
	return proxy_add_link(s->proxy, text);
}

static int start_deployment(struct soak *s, uint64_t seed)
{
	uint16_t ports[SOAK_ENTRIES_MAX];
	struct callers_options o = { .ports = ports,
				     .entries = s->entry_count,
				     .callers = s->caller_count,
				     .seed = seed + 1 };

	if (cluster_prepare(&s->c, 0) < 0)
		return -1;
	s->base = event_base_new();
	s->platform = jobs_platform_create(s->base, store_port(s));
	s->proxy = proxy_create(s->base, seed);
	put_config(s);
	for (uint32_t i = 0; i < s->worker_count; i++) {
		jobs_platform_add_worker(s->platform, worker_port(s, i, 0),
					 worker_port(s, i, 1),
					 i % 3 == 2 ? SLOW_TASK_MS : TASK_MS);
		if (add_link(s, "worker", i, worker_port(s, i, 1),
			     worker_port(s, i, 0)) < 0)
			return -1;
	}
	for (uint32_t i = 0; i < s->entry_count; i++) {
		ports[i] = entry_port(s, i, 1);
		if (add_link(s, "store", i, entry_port(s, i, 0),
			     store_port(s)) < 0 ||
		    add_link(s, "caller", i, ports[i], entry_port(s, i, 2)) < 0)
			return -1;
		write_settings(s, i, "info");
		start_entry(s, i);
	}
	o.base = s->base;
	o.platform = s->platform;
	run_loop(s, STARTUP_US);
	s->callers = callers_create(&o);
	return 0;
}

/* Sends SIGTERM to all entry VMs at once; each must exit with status 0. */
static void stop_all(struct soak *s)
{
	uint64_t end = clock_now_us() + STOP_TIMEOUT_US + 1000000u;
	uint32_t left = 1;

	for (uint32_t i = 0; i < s->entry_count; i++)
		if (s->entries[i].pid)
			stop_entry(s, i);
	for (uint32_t i = 0; i < s->entry_count; i++)
		s->entries[i].restart = false;
	while (left && clock_now_us() < end) {
		run_loop(s, 50000);
		left = 0;
		for (uint32_t i = 0; i < s->entry_count; i++)
			left += s->entries[i].pid != 0;
	}
}

/* Every log line must parse and have a known event. */
static void check_logs(struct soak *s)
{
	for (uint32_t i = 0; i < s->entry_count; i++) {
		char path[300], text[2 * LOG_LINE_BYTES];
		struct log_line l;
		FILE *f;

		snprintf(path, sizeof(path), "%s/entry-%u.log", s->c.folder, i);
		f = fopen(path, "r");
		while (f && fgets(text, sizeof(text), f)) {
			text[strcspn(text, "\n")] = '\0';
			if (log_line_parse(text, &l) == 0 &&
			    log_event_is_known(l.event, l.event_len))
				continue;
			report_violation(s, "every log line is valid", i, 0);
			printf("%s\n", text);
		}
		if (f)
			fclose(f);
	}
}

static void run(struct soak *s, double seconds)
{
	uint64_t end = clock_now_us() + (uint64_t)(seconds * 1e6);

	while (clock_now_us() < end) {
		begin_random_fault(s);
		end_faults(s, false);
		run_loop(s, FAULT_INTERVAL_MIN_US +
				    rng_below(&s->rng, FAULT_INTERVAL_SPAN_US));
	}
	end_faults(s, true);
	callers_stop_submitting(s->callers);
	end = clock_now_us() + FINISH_TIMEOUT_US;
	while (callers_open_jobs(s->callers) && clock_now_us() < end)
		run_loop(s, 100000);
	s->violations += callers_check(s->callers);
	if (jobs_platform_duplicate_runs(s->platform))
		report_violation(
			s, "no task runs more than once", 0,
			(int)jobs_platform_duplicate_runs(s->platform));
	stop_all(s);
	check_logs(s);
}

static uint32_t argument(int argc, char **argv, int i, uint32_t fallback,
			 uint32_t max)
{
	unsigned long value = argc > i ? strtoul(argv[i], NULL, 10) : fallback;

	return value && value <= max ? (uint32_t)value : fallback;
}

int main(int argc, char **argv)
{
	static struct soak s;
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	double seconds = argc > 2 ? strtod(argv[2], NULL) : 15;

	signal(SIGPIPE, SIG_IGN);
	s.rng.state = seed;
	s.relays = seed >= RELAY_SEED_FIRST;
	s.entry_count = argument(argc, argv, 3, 5, SOAK_ENTRIES_MAX);
	s.worker_count = argument(argc, argv, 4, 6, PLATFORM_WORKERS_MAX);
	s.caller_count = argument(argc, argv, 5, 12, 200);
	printf("seed=%" PRIu64 " seconds=%g\n", seed, seconds);
	if (start_deployment(&s, seed) < 0)
		return 2;
	run(&s, seconds);
	callers_print_summary(s.callers);
	printf("seed=%" PRIu64 " faults=%u starts=%u broken=%u folder=%s\n",
	       seed, s.faults_started, jobs_platform_starts(s.platform),
	       s.violations, s.c.folder);
	callers_free(s.callers);
	for (uint32_t i = 0; i < s.entry_count; i++)
		if (s.entries[i].pid)
			kill(s.entries[i].pid, SIGKILL);
	if (!s.violations)
		cluster_remove_folder(&s.c);
	return s.violations != 0;
}
