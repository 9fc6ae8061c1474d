/*
 * usage: bench-oplog [-s SEED] [-d SECONDS]
 * Drives the log and the claims with a model of the store and prints
 * SCENARIO METRIC VALUE UNIT baseline=VALUE bound=VALUE pass|fail seed=N
 * Calls, bytes and delays are of simulated time and the same for a seed; rates
 * and replay times are of this machine. Exit status 1 when a bound is missed.
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

/* One shard a process, 9 processes: 60 % of 300 writes/s divided by 9. */
#define INTERVAL_US 50000u
#define STORE_US 5000u	   /* one call on the store */
#define SERVICE_US 100000u /* from the grant to the report */
#define TICK_US 20000u
#define WALL_S 1000000u

struct value {
	uint64_t epoch;
	uint64_t seq;
	void *data;
	size_t len;
};

struct reply {
	uint64_t at_us;
	struct oplog_action action;
};

struct due {
	uint64_t at_us;
	uint64_t nonce;
};

struct bench {
	struct oplog *log;
	struct claims *claims;
	struct rng rng;
	uint64_t now_us;
	struct value *values;
	size_t count;
	size_t capacity;
	void *snapshot;
	size_t snapshot_len;
	uint64_t snapshot_index;
	struct reply replies[16];
	uint32_t reply_count;
	uint64_t writes;
	uint64_t reads;
	uint64_t bytes;
	uint64_t granted;
	uint64_t acked;
	uint64_t *arrived_us; /* by nonce */
	struct due *reports;  /* in order of their grants */
	uint64_t reported;
	struct histogram *delay;
	size_t response_len;
	uint64_t took_us; /* of the last load, simulated */
};

static uint64_t seed = 1;
static bool failed;

static void print(const char *scenario, const char *metric, double value,
		  const char *unit, double baseline, double bound, bool pass)
{
	char text[32] = "none";

	if (!isnan(baseline))
		snprintf(text, sizeof(text), "%.4g", baseline);
	printf("%s %s %.4g %s baseline=%s bound=%.4g %s seed=%llu\n", scenario,
	       metric, value, unit, text, bound, pass ? "pass" : "fail",
	       (unsigned long long)seed);
	fflush(stdout);
	failed |= !pass;
}

static double cpu_s(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* ---- the store ---- */

static void put_value(struct bench *b, const struct oplog_action *a)
{
	struct value *v;

	if (b->count == b->capacity) {
		b->capacity = b->capacity ? 2 * b->capacity : 1024;
		b->values =
			xrealloc(b->values, b->capacity * sizeof(*b->values));
	}
	v = &b->values[b->count++];
	*v = (struct value){ a->epoch, a->seq, xcalloc(1, a->len), a->len };
	memcpy(v->data, a->data, a->len);
}

static void call_store(struct bench *b, const struct oplog_action *a)
{
	struct reply *r = &b->replies[b->reply_count++];

	r->at_us = b->now_us + STORE_US;
	r->action = *a;
	switch (a->type) {
	case OPLOG_APPEND:
		put_value(b, a);
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
		b->reads++;
		return;
	}
	b->writes++;
	b->bytes += a->len;
}

static struct oplog_value *epoch_values(struct bench *b, uint64_t epoch,
					size_t *count)
{
	struct oplog_value *v = xcalloc(b->count, sizeof(*v));

	*count = 0;
	for (size_t i = 0; i < b->count; i++)
		if (b->values[i].epoch == epoch)
			v[(*count)++] =
				(struct oplog_value){ b->values[i].seq,
						      b->values[i].data,
						      b->values[i].len };
	return v;
}

static void run(struct bench *b);

static void answer(struct bench *b, const struct oplog_action *a)
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
	run(b);
}

static void answer_due(struct bench *b)
{
	for (uint32_t i = 0; i < b->reply_count; i++) {
		struct oplog_action a = b->replies[i].action;

		if (b->replies[i].at_us > b->now_us)
			continue;
		b->replies[i--] = b->replies[--b->reply_count];
		answer(b, &a);
	}
}

/* ---- the process ---- */

static void note_claim(struct bench *b, const struct claims_action *a)
{
	if (a->type == CLAIMS_ACK) {
		b->acked++;
	} else if (a->code == CLAIM_GRANTED) {
		histogram_add(b->delay,
			      b->now_us - b->arrived_us[a->key.nonce]);
		b->reports[b->granted].at_us = b->now_us + SERVICE_US;
		b->reports[b->granted++].nonce = a->key.nonce;
	}
}

static void run(struct bench *b)
{
	struct claims_action ca;
	struct oplog_action a;

	while (oplog_next_action(b->log, &a)) {
		if (a.type < OPLOG_BECAME_OWNER)
			call_store(b, &a);
		else if (a.type == OPLOG_BECAME_OWNER)
			b->took_us = a.took_us;
	}
	while (claims_next_action(b->claims, &ca))
		if (b->reports)
			note_claim(b, &ca);
}

static void step(struct bench *b, enum oplog_event_type type)
{
	struct oplog_event e = { .type = type };

	oplog_step(b->log, b->now_us, &e);
	run(b);
}

static struct claim_key key_of(uint64_t nonce)
{
	struct rng r = { nonce };

	return (struct claim_key){
		.hash = { rng_next(&r), rng_next(&r) },
		.body_hash = rng_next(&r),
		.nonce = nonce,
	};
}

static void claim(struct bench *b, uint64_t nonce)
{
	struct claims_event e = {
		.type = CLAIMS_CLAIM,
		.key = key_of(nonce),
		.entry_vm = "entry-1",
		.deadline_us = b->now_us + 30000000u,
		.wall_s = WALL_S,
	};

	claims_step(b->claims, b->now_us, &e);
	step(b, OPLOG_TICK);
}

static void report(struct bench *b, uint64_t nonce)
{
	static char body[CLAIM_RESPONSE_MAX_BYTES];
	struct claims_event e = {
		.type = CLAIMS_RESULT,
		.key = key_of(nonce),
		.entry_vm = "entry-1",
		.outcome = CLAIM_DONE,
		.status = 200,
		.body = body,
		.len = b->response_len,
		.wall_s = WALL_S,
	};

	claims_step(b->claims, b->now_us, &e);
	step(b, OPLOG_TICK);
}

static void start(struct bench *b, uint64_t interval_us)
{
	b->log = oplog_create("bench.1", seed);
	b->claims = claims_create(b->log, SIZE_MAX);
	oplog_add_client(b->log, claims_client(b->claims));
	oplog_set_append_interval(b->log, interval_us);
	step(b, OPLOG_LEASE_GAINED);
	while (!oplog_is_owner(b->log) && b->reply_count) {
		b->now_us += STORE_US;
		answer_due(b);
	}
	if (!oplog_is_owner(b->log)) {
		fprintf(stderr, "bench-oplog: the log did not load\n");
		exit(1);
	}
}

static void stop(struct bench *b)
{
	oplog_destroy(b->log);
	claims_destroy(b->claims);
}

static void free_bench(struct bench *b)
{
	stop(b);
	for (size_t i = 0; i < b->count; i++)
		free(b->values[i].data);
	free(b->values);
	free(b->snapshot);
	free(b->arrived_us);
	free(b->reports);
}

/* ---- claims at a rate ---- */

/* Random arrivals for some time; every claim is reported as done. */
static void run_rate(double rate, double seconds)
{
	static struct histogram delay;
	uint64_t total = (uint64_t)(rate * seconds), next = 0;
	struct bench b = { .now_us = 1000000u, .rng = { seed } };
	uint64_t arrival, tick = 0;
	double calls, started, bound;
	char name[32];

	memset(&delay, 0, sizeof(delay));
	b.delay = &delay;
	b.response_len = 64;
	b.arrived_us = xcalloc(total + 1, sizeof(*b.arrived_us));
	b.reports = xcalloc(total, sizeof(*b.reports));
	start(&b, INTERVAL_US);
	b.writes = b.reads = b.bytes = 0;
	arrival = b.now_us;
	started = cpu_s();
	while (b.acked < total && b.now_us < 20e6 * seconds) {
		b.now_us += 1000;
		answer_due(&b);
		while (next < total && arrival <= b.now_us) {
			b.arrived_us[++next] = b.now_us;
			claim(&b, next);
			arrival += (uint64_t)(-log(1 - rng_unit(&b.rng)) * 1e6 /
					      rate);
		}
		while (b.reported < b.granted &&
		       b.reports[b.reported].at_us <= b.now_us)
			report(&b, b.reports[b.reported++].nonce);
		if (b.now_us >= tick) {
			tick = b.now_us + TICK_US;
			step(&b, OPLOG_TICK);
		}
	}
	started = cpu_s() - started;
	calls = (double)(b.writes + b.reads) / (double)total;
	/* The shard's share of appends, and a fifth more for snapshots. */
	bound = 1.2e6 / INTERVAL_US / rate;
	if (bound > 2)
		bound = 2;
	snprintf(name, sizeof(name), "claims-%g/s", rate);
	print(name, "store-calls-per-claim", calls, "calls", 2, bound,
	      calls <= bound);
	print(name, "log-bytes-per-claim", (double)b.bytes / (double)total, "B",
	      NAN, 400, (double)b.bytes / (double)total <= 400);
	print(name, "grant-delay-p50",
	      (double)histogram_quantile(&delay, 0.5) / 1000, "ms",
	      STORE_US / 1000.0, 100,
	      histogram_quantile(&delay, 0.5) <= 100000);
	print(name, "grant-delay-p99",
	      (double)histogram_quantile(&delay, 0.99) / 1000, "ms",
	      STORE_US / 1000.0, 200,
	      histogram_quantile(&delay, 0.99) <= 200000);
	print(name, "cpu-per-claim", 1e6 * started / (double)total, "us", NAN,
	      1000, started / (double)total < 1e-3);
	free_bench(&b);
}

/* ---- the log alone ---- */

/* Appends records of one claim each, then loads them in a new process. */
static void run_replay(uint64_t records)
{
	struct bench b = { .now_us = 1000000u, .rng = { seed } };
	double started, write_s, load_s;
	uint64_t bytes;
	char name[32];

	start(&b, 0);
	oplog_set_snapshot_limits(b.log, UINT32_MAX, UINT64_MAX);
	b.bytes = 0;
	started = cpu_s();
	for (uint64_t i = 1; i <= records; i++) {
		claim(&b, i);
		b.now_us += STORE_US;
		answer_due(&b);
	}
	write_s = cpu_s() - started;
	bytes = b.bytes;
	stop(&b);
	started = cpu_s();
	start(&b, 0);
	load_s = cpu_s() - started;
	snprintf(name, sizeof(name), "replay-%llu",
		 (unsigned long long)records);
	print(name, "load-time", 1000 * load_s, "ms", NAN, 1000, load_s < 1);
	print(name, "append-rate", (double)records / write_s, "records/s", NAN,
	      10000, (double)records / write_s >= 10000);
	print(name, "bytes-per-record", (double)bytes / (double)records, "B",
	      NAN, 200, (double)bytes / (double)records <= 200);
	if (claims_count(b.claims) < records)
		print(name, "claims-found", claims_count(b.claims), "claims",
		      (double)records, (double)records, false);
	free_bench(&b);
}

/* ---- memory and the snapshot ---- */

static void run_memory(uint64_t claims, size_t response_len)
{
	struct bench b = { .now_us = 1000000u, .rng = { seed } };
	struct buffer state = BUFFER_INIT;
	struct oplog_client *client;
	double started, per_claim;
	char name[48];

	b.response_len = response_len;
	start(&b, 0);
	oplog_set_snapshot_limits(b.log, UINT32_MAX, UINT64_MAX);
	b.bytes = 0;
	for (uint64_t i = 1; i <= claims; i++) {
		claim(&b, i);
		b.now_us += STORE_US;
		answer_due(&b);
		report(&b, i);
		b.now_us += OPLOG_DEFER_MAX_US;
		step(&b, OPLOG_TICK);
		b.now_us += STORE_US;
		answer_due(&b);
	}
	per_claim = (double)claims_memory(b.claims) / (double)claims;
	client = claims_client(b.claims);
	started = cpu_s();
	client->ops->snapshot(client, &state);
	started = cpu_s() - started;
	snprintf(name, sizeof(name), "claims-%llu-answers-%zu",
		 (unsigned long long)claims, response_len);
	print(name, "memory-per-claim", per_claim, "B", NAN,
	      256 + (double)response_len * 1.1,
	      per_claim <= 256 + (double)response_len * 1.1);
	/* A record for each claim and one for each result. */
	print(name, "ungrouped-bytes-per-claim",
	      (double)b.bytes / (double)claims, "B", NAN,
	      512 + (double)response_len * 1.1,
	      (double)b.bytes / (double)claims <=
		      512 + (double)response_len * 1.1);
	/* What each change would write if the whole table were one value. */
	print(name, "snapshot-bytes-per-claim",
	      (double)state.len / (double)claims, "B", NAN,
	      256 + (double)response_len * 1.1,
	      (double)state.len / (double)claims <=
		      256 + (double)response_len * 1.1);
	print(name, "snapshot-time", 1000 * started, "ms", NAN, 20,
	      started < 0.02);
	buffer_free(&state);
	free_bench(&b);
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
		run_rate(rates[i], seconds);
	for (size_t i = 0; i < sizeof(records) / sizeof(records[0]); i++)
		run_replay(records[i]);
	run_memory(1000, 64);
	run_memory(10000, 64);
	run_memory(1000, 4096);
	return failed;
}
