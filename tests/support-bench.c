#include <dirent.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support-bench.h"

#define READY_TIMEOUT_MS 30000
#define DEFAULT_SEED 20261204u
#define MIXES_MAX 12
#define JOURNALS_MAX 48

static int missed_bound_count;

/* ---- figures ---- */

void bench_report(const char *scenario, uint64_t seed,
		  const struct bench_figure *f)
{
	bool pass = f->kind == BOUND_NONE ||
		    (f->kind == BOUND_MAX ? f->value <= f->bound
					  : f->value >= f->bound);

	printf("%s %s %.6g %s", scenario, f->metric, f->value, f->unit);
	if (isnan(f->baseline))
		printf(" baseline=-");
	else
		printf(" baseline=%.6g", f->baseline);
	if (f->kind == BOUND_NONE)
		printf(" bound=-");
	else
		printf(" bound=%s%.6g",
		       f->kind == BOUND_MAX ? "<=" : ">=", f->bound);
	printf(" %s seed=%llu\n", pass ? "pass" : "fail",
	       (unsigned long long)seed);
	fflush(stdout);
	missed_bound_count += !pass;
}

static void report_figure(const char *scenario, uint64_t seed,
			  const char *metric, double value, const char *unit,
			  enum bound_kind kind, double bound)
{
	struct bench_figure f = {
		.metric = metric,
		.value = value,
		.unit = unit,
		.baseline = NAN,
		.kind = kind,
		.bound = bound,
	};

	bench_report(scenario, seed, &f);
}

void bench_report_max(const char *scenario, uint64_t seed, const char *metric,
		      double value, const char *unit, double bound)
{
	report_figure(scenario, seed, metric, value, unit, BOUND_MAX, bound);
}

void bench_report_min(const char *scenario, uint64_t seed, const char *metric,
		      double value, const char *unit, double bound)
{
	report_figure(scenario, seed, metric, value, unit, BOUND_MIN, bound);
}

void bench_report_info(const char *scenario, uint64_t seed, const char *metric,
		       double value, const char *unit)
{
	report_figure(scenario, seed, metric, value, unit, BOUND_NONE, 0);
}

static bool is_selected(int argc, char **argv, const char *name)
{
	for (int i = 1; i < argc; i++)
		if (!strcmp(argv[i], name))
			return true;
	return argc < 2 || !argv[1][0];
}

int bench_main(int argc, char **argv, const struct bench_scenario *scenarios,
	       size_t count)
{
	const char *text = getenv("SEED");
	uint64_t seed = text ? strtoull(text, NULL, 10) : DEFAULT_SEED;
	int status = 0;

	for (size_t i = 0; i < count; i++) {
		if (!is_selected(argc, argv, scenarios[i].name))
			continue;
		if (scenarios[i].run(seed) < 0) {
			printf("%s could-not-run 1 - baseline=- bound=- fail "
			       "seed=%llu\n",
			       scenarios[i].name, (unsigned long long)seed);
			status = 1;
		}
	}
	return status || missed_bound_count;
}

/* ---- load ---- */

int bench_load_start(struct bench_load *l, struct cluster *c, uint32_t mask,
		     const char *const mixes[], double seconds, uint64_t seed,
		     const char *name)
{
	char entries[CLUSTER_ENTRIES_MAX][48], mix[MIXES_MAX][256];
	char journal[300], time_text[32], seed_text[32];
	const char *argv[64] = { "load-gen", "--json" };
	int n = 2;

	memset(l, 0, sizeof(*l));
	l->cluster = c;
	snprintf(l->output_file, sizeof(l->output_file), "%s.json", name);
	snprintf(journal, sizeof(journal), "--journal=%s/%s.jsonl", c->folder,
		 name);
	snprintf(time_text, sizeof(time_text), "--seconds=%g", seconds);
	snprintf(seed_text, sizeof(seed_text), "--seed=%u", (unsigned)seed);
	argv[n++] = journal;
	argv[n++] = time_text;
	argv[n++] = seed_text;
	for (uint32_t i = 0; i < c->entry_count; i++) {
		if (!(mask & 1u << i))
			continue;
		snprintf(entries[i], sizeof(entries[i]), "--entry=127.0.0.1:%u",
			 cluster_front_port(c, i));
		argv[n++] = entries[i];
	}
	for (int i = 0; i < MIXES_MAX && mixes[i]; i++) {
		snprintf(mix[i], sizeof(mix[i]), "--mix=%s", mixes[i]);
		argv[n++] = mix[i];
	}
	/* Concurrent loads of one cluster must not share keys. */
	snprintf(entries[CLUSTER_ENTRIES_MAX - 1], sizeof(entries[0]),
		 "--key-prefix=%s-", name);
	if (!(mask & 1u << (CLUSTER_ENTRIES_MAX - 1)))
		argv[n++] = entries[CLUSTER_ENTRIES_MAX - 1];
	argv[n] = NULL;
	l->pid = cluster_spawn(c, argv, l->output_file);
	return l->pid < 0 ? -1 : 0;
}

int bench_load_wait(struct bench_load *l)
{
	int status = cluster_wait_process(l->pid);

	if (status)
		fprintf(stderr, "load-gen failed with exit status %d\n",
			status);
	return status ? -1 : 0;
}

static double json_number_field(const json_t *o, const char *name)
{
	return json_number_value(json_object_get(o, name));
}

static void add_stats(struct bench_load_stats *out, const json_t *o)
{
	out->sent += json_number_field(o, "sent");
	out->done += json_number_field(o, "done");
	out->not_run += json_number_field(o, "not_run");
	out->unknown += json_number_field(o, "unknown");
	out->retried += json_number_field(o, "retried");
	out->bad_answers += json_number_field(o, "bad_answers");
	out->p50_us = fmax(out->p50_us, json_number_field(o, "p50_us"));
	out->p99_us = fmax(out->p99_us, json_number_field(o, "p99_us"));
	out->refusal_p99_us = fmax(out->refusal_p99_us,
				   json_number_field(o, "refusal_p99_us"));
}

void bench_load_get_stats(struct bench_load *l, const char *kind,
			  struct bench_load_stats *out)
{
	char *text = cluster_read_file(l->cluster, l->output_file);
	json_t *root = text ? json_loads(text, 0, NULL) : NULL;
	json_t *list =
		json_is_array(root) ? root : json_object_get(root, "kinds");
	size_t i;
	json_t *o;

	memset(out, 0, sizeof(*out));
	if (!json_is_array(list))
		fprintf(stderr, "load-gen: unexpected output: %s\n",
			text ? text : "");
	json_array_foreach(
		list, i,
		o) if (!kind ||
		       !strcmp(kind,
			       json_string_value(json_object_get(o, "kind"))))
		add_stats(out, o);
	json_decref(root);
	free(text);
}

/* ---- cluster ---- */

void bench_reference_options(struct cluster_options *o, uint64_t seed)
{
	cluster_default_options(o);
	o->runners = 22;
	o->workers = 22;
	o->workers_per_rack = 11;
	o->threads = 256;
	o->seed = seed;
}

int bench_start_cluster(struct cluster *c, const struct cluster_options *o,
			const char *sheet)
{
	if (cluster_start(c, o) < 0 || cluster_apply_sheet(c, 0, sheet) < 0)
		return -1;
	return cluster_wait_ready(c, READY_TIMEOUT_MS);
}

/* Removes stale output, which would be read as that of the next run. */
static void unlink_output(struct cluster *c, const char *name)
{
	char path[600];

	snprintf(path, sizeof(path), "%s/%s", c->folder, name);
	unlink(path);
}

int bench_check_journals(struct cluster *c)
{
	const char *argv[JOURNALS_MAX + 2] = { "journal-check" };
	char paths[JOURNALS_MAX][600];
	struct dirent *d;
	DIR *dir = opendir(c->folder);
	char *text;
	int n = 0, status;

	while (dir && (d = readdir(dir)) && n < JOURNALS_MAX) {
		const char *dot = strrchr(d->d_name, '.');

		if (!dot || strcmp(dot, ".jsonl") != 0)
			continue;
		snprintf(paths[n], sizeof(paths[n]), "%s/%s", c->folder,
			 d->d_name);
		argv[n + 1] = paths[n];
		n++;
	}
	if (dir)
		closedir(dir);
	unlink_output(c, "check.txt");
	status = cluster_run(c, argv, "check.txt");
	if (status == 0)
		return 0;
	text = cluster_read_file(c, "check.txt");
	fprintf(stderr, "journal-check: %s\n", text ? text : "no output");
	free(text);
	return status == 1 ? 1 : -1;
}

void bench_report_recovery(const char *scenario, uint64_t seed,
			   struct cluster *c, uint32_t timeout_ms)
{
	bool timed_out = cluster_wait_ready(c, timeout_ms) < 0;

	bench_report_max(scenario, seed, "not-ready-after", timed_out, "count",
			 0);
	bench_report_max(scenario, seed, "invariants-broken",
			 bench_check_journals(c), "count", 0);
}

double bench_store_peak_rate(struct cluster *c, const char *kind)
{
	struct buffer b = BUFFER_INIT;
	json_t *root = NULL;
	char name[32];
	double value = -1;

	snprintf(name, sizeof(name), "peak_%s", kind);
	if (cluster_http(cluster_store_port(c), "GET", "/v1/calls", NULL, NULL,
			 &b) == 200)
		root = json_loadb(b.data, b.len, 0, NULL);
	if (root)
		value = json_number_field(root, name);
	json_decref(root);
	buffer_free(&b);
	return value;
}

double bench_cpu_s(pid_t pid)
{
	char path[64], text[1024] = "";
	unsigned long user, system_time;
	const char *p;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	f = fopen(path, "r");
	if (!f)
		return 0;
	p = fgets(text, sizeof(text), f) ? strrchr(text, ')') : NULL;
	fclose(f);
	if (!p ||
	    sscanf(p + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		   &user, &system_time) != 2)
		return 0;
	return (double)(user + system_time) / (double)sysconf(_SC_CLK_TCK);
}

double bench_memory_mb(pid_t pid)
{
	char path[64], line[256];
	double kb = 0;
	FILE *f;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	f = fopen(path, "r");
	while (f && fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmRSS:", 6))
			kb = strtod(line + 6, NULL);
	if (f)
		fclose(f);
	return kb / 1024;
}
