/*
 * usage: bench-oplog [-s SEED] [-d SECONDS]
 * Runs the operation log and the claims table on a simulated store and prints
 * SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 * Calls, bytes and delays are measured in simulated time and reproducible with
 * the same seed; append rates, CPU and load times depend on the machine. Exit
 * status 1 if a bound is missed.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "claims.h"
#include "histogram.h"
#include "oplog.h"
#include "rng.h"

/* 9 processes of one shard each share 60% of the store's 300 writes/s. */
#define APPEND_INTERVAL_US 50000u
#define STORE_LATENCY_US 5000u /* latency of a store call */
#define EXECUTION_US 100000u   /* from grant to result */
#define TICK_US 20000u
#define WALL_S 1000000u

struct stored_record {
	uint64_t epoch;
	uint64_t seq;
	void *data;
	size_t len;
};

struct pending_call {
	uint64_t at_us;
	struct oplog_action action;
};

struct pending_report {
	uint64_t at_us;
	uint64_t nonce;
};

struct oplog_simulation {
	struct oplog *log;
	struct claims *claims;
	struct rng rng;
	uint64_t now_us;
	struct stored_record *records;
	size_t record_count;
	size_t record_capacity;
	void *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_index;
	struct pending_call pending_calls[16];
	uint32_t pending_call_count;
	uint64_t store_writes;
	uint64_t store_reads;
	uint64_t bytes_written;
	uint64_t granted;
	uint64_t acked;
	uint64_t *arrived_us;			/* indexed by nonce */
	struct pending_report *pending_reports; /* in order of grants */
	uint64_t reported;
	struct histogram *grant_delay;
	size_t response_len;
	uint64_t load_us; /* simulated duration of the last load */
};

static uint64_t seed = 1;
static bool bound_missed;

static void report_figure(const char *scenario, const char *metric,
			  double value, const char *unit, double baseline,
			  double bound, bool pass)
{
	char text[32] = "none";

	if (!isnan(baseline))
		snprintf(text, sizeof(text), "%.4g", baseline);
	printf("%s %s %.4g %s baseline=%s bound=%.4g %s seed=%llu\n", scenario,
	       metric, value, unit, text, bound, pass ? "pass" : "fail",
	       (unsigned long long)seed);
	fflush(stdout);
	bound_missed |= !pass;
}

static double process_cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* ---- simulated store ---- */

static void store_record(struct oplog_simulation *b,
			 const struct oplog_action *a)
{
	struct stored_record *v;

	if (b->record_count == b->record_capacity) {
		b->record_capacity =
			b->record_capacity ? 2 * b->record_capacity : 1024;
		b->records = xrealloc(b->records,
				      b->record_capacity * sizeof(*b->records));
	}
	v = &b->records[b->record_count++];
	*v = (struct stored_record){ a->epoch, a->seq, xcalloc(1, a->len),
				     a->len };
	memcpy(v->data, a->data, a->len);
}

static void call_store(struct oplog_simulation *b, const struct oplog_action *a)
{
	struct pending_call *r = &b->pending_calls[b->pending_call_count++];

	r->at_us = b->now_us + STORE_LATENCY_US;
	r->action = *a;
	switch (a->type) {
	case OPLOG_APPEND:
		store_record(b, a);
		break;
	case OPLOG_WRITE_SNAPSHOT:
		free(b->snapshot);
		b->snapshot = xcalloc(1, a->len);
		memcpy(b->snapshot, a->data, a->len);
		b->snapshot_len = a->len;
		b->snapshot_index++;
		break;
	case OPLOG_WRITE_PART:
	case OPLOG_DELETE_EPOCH:
		break;
	default:
		b->store_reads++;
		return;
	}
	b->store_writes++;
	b->bytes_written += a->len;
}

static struct oplog_value *epoch_values(struct oplog_simulation *b,
					uint64_t epoch, size_t *count)
{
	struct oplog_value *v = xcalloc(b->record_count, sizeof(*v));

	*count = 0;
	for (size_t i = 0; i < b->record_count; i++)
		if (b->records[i].epoch == epoch)
			v[(*count)++] =
				(struct oplog_value){ b->records[i].seq,
						      b->records[i].data,
						      b->records[i].len };
	return v;
}

static void run_actions(struct oplog_simulation *b);

static void complete_call(struct oplog_simulation *b,
			  const struct oplog_action *a)
{
	struct oplog_value one = { 0, b->snapshot, b->snapshot_len };
	struct oplog_value *all = NULL;
	struct oplog_event e = { .id = a->id };

	switch (a->type) {
	case OPLOG_READ_SNAPSHOT:
		e.type = OPLOG_SNAPSHOT_READ;
		e.values = &one;
		e.count = b->snapshot != NULL;
		e.modify_index = b->snapshot_index;
		break;
	case OPLOG_READ_EPOCH:
		e.type = OPLOG_EPOCH_READ;
		all = epoch_values(b, a->epoch, &e.count);
		e.values = all;
		break;
	case OPLOG_READ_RECORD:
		e.type = OPLOG_RECORD_READ;
		break;
	case OPLOG_APPEND:
		e.type = OPLOG_APPEND_DONE;
		break;
	case OPLOG_WRITE_PART:
		e.type = OPLOG_PART_DONE;
		break;
	case OPLOG_WRITE_SNAPSHOT:
		e.type = OPLOG_SNAPSHOT_DONE;
		break;
	default:
		e.type = OPLOG_DELETE_DONE;
		break;
	}
	oplog_step(b->log, b->now_us, &e);
	free(all);
	run_actions(b);
}

static void complete_due_calls(struct oplog_simulation *b)
{
	for (uint32_t i = 0; i < b->pending_call_count; i++) {
		struct oplog_action a = b->pending_calls[i].action;

		if (b->pending_calls[i].at_us > b->now_us)
			continue;
		b->pending_calls[i--] =
			b->pending_calls[--b->pending_call_count];
		complete_call(b, &a);
	}
}

/* ---- log and claims ---- */

static void handle_claim_action(struct oplog_simulation *b,
				const struct claims_action *a)
{
	if (a->type == CLAIMS_ACK) {
		b->acked++;
	} else if (a->code == CLAIM_GRANTED) {
		histogram_add(b->grant_delay,
			      b->now_us - b->arrived_us[a->key.nonce]);
		b->pending_reports[b->granted].at_us = b->now_us + EXECUTION_US;
		b->pending_reports[b->granted++].nonce = a->key.nonce;
	}
}

static void run_actions(struct oplog_simulation *b)
{
	struct claims_action ca;
	struct oplog_action a;

	while (oplog_next_action(b->log, &a)) {
		if (a.type < OPLOG_BECAME_OWNER)
			call_store(b, &a);
		else if (a.type == OPLOG_BECAME_OWNER)
			b->load_us = a.took_us;
	}
	while (claims_next_action(b->claims, &ca))
		if (b->pending_reports)
			handle_claim_action(b, &ca);
}

static void step_log(struct oplog_simulation *b, enum oplog_event_type type)
{
	struct oplog_event e = { .type = type };

	oplog_step(b->log, b->now_us, &e);
	run_actions(b);
}

static struct claim_key make_claim_key(uint64_t nonce)
{
	struct rng r = { nonce };

	return (struct claim_key){
		.hash = { rng_next(&r), rng_next(&r) },
		.body_hash = rng_next(&r),
		.nonce = nonce,
	};
}

static void submit_claim(struct oplog_simulation *b, uint64_t nonce)
{
	struct claims_event e = {
		.type = CLAIMS_CLAIM,
		.key = make_claim_key(nonce),
		.entry_vm = "entry-1",
		.deadline_us = b->now_us + 30000000u,
		.wall_s = WALL_S,
	};

	claims_step(b->claims, b->now_us, &e);
	step_log(b, OPLOG_TICK);
}

static void report_result(struct oplog_simulation *b, uint64_t nonce)
{
	static char body[CLAIM_RESPONSE_MAX_BYTES];
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = make_claim_key(nonce),
		.entry_vm = "entry-1",
		.outcome = CLAIM_DONE,
		.status = 200,
		.body = body,
		.len = b->response_len,
		.wall_s = WALL_S,
	};

	claims_step(b->claims, b->now_us, &e);
	step_log(b, OPLOG_TICK);
}

static void start_owner(struct oplog_simulation *b, uint64_t interval_us)
{
	b->log = oplog_create("bench.1", seed);
	b->claims = claims_create(b->log, SIZE_MAX);
	oplog_add_client(b->log, claims_client(b->claims));
	oplog_set_append_interval(b->log, interval_us);
	step_log(b, OPLOG_LEASE_GAINED);
	while (!oplog_is_owner(b->log) && b->pending_call_count) {
		b->now_us += STORE_LATENCY_US;
		complete_due_calls(b);
	}
	if (!oplog_is_owner(b->log)) {
		fprintf(stderr, "bench-oplog: operation log failed to load\n");
		exit(1);
	}
}

static void stop_owner(struct oplog_simulation *b)
{
	oplog_destroy(b->log);
	claims_destroy(b->claims);
}

static void free_simulation(struct oplog_simulation *b)
{
	stop_owner(b);
	for (size_t i = 0; i < b->record_count; i++)
		free(b->records[i].data);
	free(b->records);
	free(b->snapshot);
	free(b->arrived_us);
	free(b->pending_reports);
}

/* ---- claims at a rate ---- */

/* Poisson arrivals of claims; each granted claim is reported as done. */
static void run_claim_rate(double rate, double seconds)
{
	static struct histogram delay;
	uint64_t total = (uint64_t)(rate * seconds), next = 0;
	struct oplog_simulation b = { .now_us = 1000000u, .rng = { seed } };
	uint64_t arrival, tick = 0;
	double calls_per_claim, cpu_time_s, calls_bound;
	char name[32];

	memset(&delay, 0, sizeof(delay));
	b.grant_delay = &delay;
	b.response_len = 64;
	b.arrived_us = xcalloc(total + 1, sizeof(*b.arrived_us));
	b.pending_reports = xcalloc(total, sizeof(*b.pending_reports));
	start_owner(&b, APPEND_INTERVAL_US);
	b.store_writes = b.store_reads = b.bytes_written = 0;
	arrival = b.now_us;
	cpu_time_s = process_cpu_s();
	while (b.acked < total && b.now_us < 20e6 * seconds) {
		b.now_us += 1000;
		complete_due_calls(&b);
		while (next < total && arrival <= b.now_us) {
			b.arrived_us[++next] = b.now_us;
			submit_claim(&b, next);
			arrival += (uint64_t)(-log(1 - rng_unit(&b.rng)) * 1e6 /
					      rate);
		}
		while (b.reported < b.granted &&
		       b.pending_reports[b.reported].at_us <= b.now_us)
			report_result(&b,
				      b.pending_reports[b.reported++].nonce);
		if (b.now_us >= tick) {
			tick = b.now_us + TICK_US;
			step_log(&b, OPLOG_TICK);
		}
	}
	cpu_time_s = process_cpu_s() - cpu_time_s;
	calls_per_claim =
		(double)(b.store_writes + b.store_reads) / (double)total;
	/* The shard's share of appends, plus 20% for snapshots. */
	calls_bound = 1.2e6 / APPEND_INTERVAL_US / rate;
	if (calls_bound > 2)
		calls_bound = 2;
	snprintf(name, sizeof(name), "claims-%g/s", rate);
	report_figure(name, "store-calls-per-claim", calls_per_claim, "calls",
		      2, calls_bound, calls_per_claim <= calls_bound);
	report_figure(name, "log-bytes-per-claim",
		      (double)b.bytes_written / (double)total, "B", NAN, 400,
		      (double)b.bytes_written / (double)total <= 400);
	report_figure(name, "grant-delay-p50",
		      (double)histogram_quantile(&delay, 0.5) / 1000, "ms",
		      STORE_LATENCY_US / 1000.0, 100,
		      histogram_quantile(&delay, 0.5) <= 100000);
	report_figure(name, "grant-delay-p99",
		      (double)histogram_quantile(&delay, 0.99) / 1000, "ms",
		      STORE_LATENCY_US / 1000.0, 200,
		      histogram_quantile(&delay, 0.99) <= 200000);
	report_figure(name, "cpu-per-claim", 1e6 * cpu_time_s / (double)total,
		      "us", NAN, 1000, cpu_time_s / (double)total < 1e-3);
	free_simulation(&b);
}

/* ---- append and load ---- */

/* Appends records of one claim each, then loads them into a new owner. */
static void run_replay(uint64_t records)
{
	struct oplog_simulation b = { .now_us = 1000000u, .rng = { seed } };
	double cpu_start_s, write_s, load_s;
	uint64_t bytes;
	char name[32];

	start_owner(&b, 0);
	oplog_set_snapshot_limits(b.log, UINT32_MAX, UINT64_MAX);
	b.bytes_written = 0;
	cpu_start_s = process_cpu_s();
	for (uint64_t i = 1; i <= records; i++) {
		submit_claim(&b, i);
		b.now_us += STORE_LATENCY_US;
		complete_due_calls(&b);
	}
	write_s = process_cpu_s() - cpu_start_s;
	bytes = b.bytes_written;
	stop_owner(&b);
	cpu_start_s = process_cpu_s();
	start_owner(&b, 0);
	load_s = process_cpu_s() - cpu_start_s;
	snprintf(name, sizeof(name), "replay-%llu",
		 (unsigned long long)records);
	report_figure(name, "load-time", 1000 * load_s, "ms", NAN, 1000,
		      load_s < 1);
	report_figure(name, "append-rate", (double)records / write_s,
		      "records/s", NAN, 10000,
		      (double)records / write_s >= 10000);
	report_figure(name, "bytes-per-record", (double)bytes / (double)records,
		      "B", NAN, 200, (double)bytes / (double)records <= 200);
	if (claims_count(b.claims) < records)
		report_figure(name, "claims-found", claims_count(b.claims),
			      "claims", (double)records, (double)records,
			      false);
	free_simulation(&b);
}

/* ---- memory and snapshot ---- */

static void run_claims_memory(uint64_t claims, size_t response_len)
{
	struct oplog_simulation b = { .now_us = 1000000u, .rng = { seed } };
	struct buffer state = BUFFER_INIT;
	struct oplog_client *client;
	double snapshot_cpu_s, per_claim;
	char name[48];

	b.response_len = response_len;
	start_owner(&b, 0);
	oplog_set_snapshot_limits(b.log, UINT32_MAX, UINT64_MAX);
	b.bytes_written = 0;
	for (uint64_t i = 1; i <= claims; i++) {
		submit_claim(&b, i);
		b.now_us += STORE_LATENCY_US;
		complete_due_calls(&b);
		report_result(&b, i);
		b.now_us += OPLOG_DEFER_MAX_US;
		step_log(&b, OPLOG_TICK);
		b.now_us += STORE_LATENCY_US;
		complete_due_calls(&b);
	}
	per_claim = (double)claims_memory(b.claims) / (double)claims;
	client = claims_client(b.claims);
	snapshot_cpu_s = process_cpu_s();
	client->ops->snapshot(client, &state);
	snapshot_cpu_s = process_cpu_s() - snapshot_cpu_s;
	snprintf(name, sizeof(name), "claims-%llu-answers-%zu",
		 (unsigned long long)claims, response_len);
	report_figure(name, "memory-per-claim", per_claim, "B", NAN,
		      256 + (double)response_len * 1.1,
		      per_claim <= 256 + (double)response_len * 1.1);
	/* One record per claim and one per result. */
	report_figure(name, "ungrouped-bytes-per-claim",
		      (double)b.bytes_written / (double)claims, "B", NAN,
		      512 + (double)response_len * 1.1,
		      (double)b.bytes_written / (double)claims <=
			      512 + (double)response_len * 1.1);
	/* What each change would write if it rewrote the whole table. */
	report_figure(name, "snapshot-bytes-per-claim",
		      (double)state.len / (double)claims, "B", NAN,
		      256 + (double)response_len * 1.1,
		      (double)state.len / (double)claims <=
			      256 + (double)response_len * 1.1);
	report_figure(name, "snapshot-time", 1000 * snapshot_cpu_s, "ms", NAN,
		      20, snapshot_cpu_s < 0.02);
	buffer_free(&state);
	free_simulation(&b);
}

int main(int argc, char **argv)
{
	static const double rates[] = { 10, 50, 200, 1000 };
	static const uint64_t records[] = { 500, 2000, 8000, 32000 };
	double seconds = 60;
	int opt;

	while ((opt = getopt(argc, argv, "s:d:")) != -1) {
		if (opt == 's')
			seed = strtoull(optarg, NULL, 10);
		else if (opt == 'd')
			seconds = strtod(optarg, NULL);
		else
			return 2;
	}
	for (size_t i = 0; i < sizeof(rates) / sizeof(rates[0]); i++)
		run_claim_rate(rates[i], seconds);
	for (size_t i = 0; i < sizeof(records) / sizeof(records[0]); i++)
		run_replay(records[i]);
	run_claims_memory(1000, 64);
	run_claims_memory(10000, 64);
	run_claims_memory(1000, 4096);
	return bound_missed;
}
