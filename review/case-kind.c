/*
 * A worker starts again under its id as another kind while the platform's store
 * is down; its entry is back 1.2 s after the store. A job that requires the
 * former kind is handed in as soon as the store is back.
 */
#include <stdlib.h>
#include <string.h>

#include "standin-3.h"

#define WORKERS 8
#define TASK_MS 1000u
#define DOWN_MS 4000u	     /* the store */
#define WORKER_DOWN_MS 2100u /* reuse-after-s is 2 */
#define BACK_MS 1200u	     /* of the entry, after the store: at most 2 s */
#define JOBS 6

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/bundle/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
	"\"target-latency-ms\":1000,\"priority\":2,\"service\":\"svc\","
	"\"max-attempts\":3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\","
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}";
static const char job[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":4,\"cpu\":1000,"
	"\"memory-request-mb\":100,\"estimated-ms\":1000,"
	"\"requirements\":\"a\"}]}";

static const char *kind_of[WORKERS] = {
	"a", "a", "a", "a", "a", "a", "a", "a"
};
static int broken;

/* The project's platform writes entries of kind "a" only. */
static void write_entry(struct case_run *r, uint32_t worker)
{
	const struct sim_worker *w = r->platform->workers[worker];
	char key[128], value[600];

	snprintf(key, sizeof(key), "servers/%s", w->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"svc\",\"address\":\"127.0.0.1:%u\","
		 "\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,"
		 "\"state\":\"ready\",\"cold-remaining-ms\":0,\"born\":%llu,"
		 "\"capacity\":{\"cpu\":16000,\"memory-request-mb\":64000,"
		 "\"gpu\":0},\"labels\":[\"%s\",\"r1-1\"],\"clock-ms\":1,"
		 "\"sequence\":4}",
		 w->port, (unsigned long long)w->born_ms, kind_of[worker]);
	jobs_platform_put(r->platform, key, value);
}

static void put_entry(struct case_run *r, uint32_t worker)
{
	write_entry(r, worker);
	case_log(r, "worker %u writes its entry: kind %s, born %llu", worker,
		 kind_of[worker],
		 (unsigned long long)r->platform->workers[worker]->born_ms);
}

static void check_runs(struct case_run *r)
{
	for (uint32_t i = 0; i < WORKERS; i++) {
		const struct sim_worker *w = r->platform->workers[i];

		if (strcmp(kind_of[i], "a") && w->task_count && !broken) {
			case_log(r,
				 "ROUTE: task=%s runs on worker %u of kind "
				 "%s, and requires kind a",
				 w->tasks[0].name, i, kind_of[i]);
			broken = 1;
		}
	}
}

static void run_checked(struct case_run *r, uint32_t ms)
{
	uint64_t end = case_ms(r) + ms;

	while (case_ms(r) < end) {
		case_run_loop(r, 10);
		check_runs(r);
	}
}

int case_kind(struct case_run *r)
{
	struct platform_faults *faults;
	uint64_t born_ms, former_ms = 0;
	char path[64];

	if (case_open(r, getenv("CASE_RECORD"), config) < 0)
		return CASE_NOT_RUN;
	r->own_entries = true;
	faults = jobs_platform_faults(r->platform);
	case_add_workers(r, WORKERS, TASK_MS);
	for (uint32_t i = 0; i < WORKERS; i++)
		put_entry(r, i);
	if (case_start(r, 3) < 0 ||
	    case_request(r, 0, "POST", "/bundle/00000000000000a0", job) != 200)
		return CASE_NOT_RUN;
	run_checked(r, 4000);
	if (r->trouble) {
		case_log(r, "the store is down");
		faults->unresponsive = true;
	}
	run_checked(r, 500);
	if (r->trouble) {
		former_ms = r->platform->workers[0]->born_ms;
		case_log(r, "worker 0 crashes");
		jobs_platform_crash_worker(r->platform, 0);
		/* Its entry does not expire while the store is down. */
		r->platform->workers[0]->entry_expires_us = 0;
	}
	run_checked(r, WORKER_DOWN_MS);
	if (r->trouble) {
		case_restart_worker(r, 0);
		/*
		 * It can't write its entry while the store is down: what the
		 * simulated worker has written is replaced by the former one.
		 */
		born_ms = r->platform->workers[0]->born_ms;
		r->platform->workers[0]->born_ms = former_ms;
		write_entry(r, 0);
		r->platform->workers[0]->born_ms = born_ms;
		kind_of[0] = "b";
	}
	run_checked(r, DOWN_MS - 500 - WORKER_DOWN_MS);
	faults->unresponsive = false;
	case_log(r, "the store is back");
	for (int i = 1; i <= JOBS; i++) {
		snprintf(path, sizeof(path), "/bundle/00000000000000a%d", i);
		case_request(r, (uint32_t)i % 3, "POST", path, job);
		run_checked(r, BACK_MS / JOBS - 20);
	}
	put_entry(r, 0);
	run_checked(r, 6000);
	return broken ? CASE_BROKEN : CASE_HELD;
}
