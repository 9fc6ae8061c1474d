/*
 * A worker crashes once, just after a batch task has started there, and is back
 * 2.1 s later. All workers run a service whose tail latency is below its
 * target, and most of their room is free. The batch task has to run again.
 */
#include <stdlib.h>
#include <string.h>

#include "standin-3.h"

#define WORKERS 8
#define TASK_MS 3000u
#define CRASH_AGE_MS 300u
#define DOWN_MS 2100u /* reuse-after-s is 2 */
#define START_MAX_MS 15000u
#define WATCH_MS 30000u
/* The rule's 3 s, and the 4 s before them that are calm. */
#define ABSENT_MAX_MS 7000u

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/bundle/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
	"\"target-latency-ms\":1000,\"priority\":2,\"service\":\"svc\","
	"\"max-attempts\":3,\"stretch\":2.0},{\"name\":\"r-2\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/sync/\",\"kind\":\"unsafe\","
	"\"timeout-ms\":3000,\"target-latency-ms\":2500,\"priority\":0,"
	"\"service\":\"svc\",\"max-attempts\":4,\"stretch\":2.2}],"
	"\"services\":[{\"name\":\"svc\",\"enforces-capacity\":true}],"
	"\"limits\":{\"max-body-bytes\":262144}}";
/* The simulated workers report a tail of 1,000 ms. */
static const char services[] =
	"{\"specification\":\"lasts\",\"steps\":[{\"count\":8,\"cpu\":3000,"
	"\"memory-request-mb\":4000,\"estimated-ms\":1000,\"anti-affinity\":1,"
	"\"long-running\":true,\"image\":\"sync\",\"target-ms\":1150}]}";
static const char batch[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":1,\"cpu\":2000,"
	"\"memory-request-mb\":2000,\"estimated-ms\":3000,\"image\":\"bundle\","
	"\"fills\":true}]}";
static const char task[] = "00000000000000b1.0.0.0";

/* The worker that runs the batch task, or -1. */
static int find_batch(const struct case_run *r)
{
	for (int i = 0; i < WORKERS; i++) {
		const struct sim_worker *w = r->platform->workers[i];

		for (uint32_t k = 0; k < w->task_count; k++)
			if (!strcmp(w->tasks[k].name, task))
				return i;
	}
	return -1;
}

int case_batch(struct case_run *r)
{
	uint64_t end, absent_ms = 0, absent_since;
	int worker = -1;

	if (case_open(r, getenv("CASE_RECORD"), config) < 0)
		return CASE_NOT_RUN;
	case_add_workers(r, WORKERS, TASK_MS);
	if (case_start(r, 3) < 0 ||
	    case_request(r, 0, "POST", "/sync/00000000000000a1", services) !=
		    200)
		return CASE_NOT_RUN;
	case_run_loop(r, 10000);
	if (case_request(r, 1, "POST", "/bundle/00000000000000b1", batch) !=
	    200)
		return CASE_NOT_RUN;
	end = case_ms(r) + START_MAX_MS;
	while (worker < 0 && case_ms(r) < end) {
		case_run_loop(r, 10);
		worker = find_batch(r);
	}
	if (worker < 0)
		return CASE_NOT_RUN;
	if (r->trouble) {
		case_run_loop(r, CRASH_AGE_MS);
		case_log(r, "worker %d crashes", worker);
		jobs_platform_crash_worker(r->platform, worker);
		case_run_loop(r, DOWN_MS);
		case_restart_worker(r, (uint32_t)worker);
	}
	end = case_ms(r) + WATCH_MS;
	absent_since = case_ms(r);
	while (case_ms(r) < end) {
		case_run_loop(r, 50);
		case_request(r, 2, "GET", "/bundle/00000000000000b1", NULL);
		if (case_body_has(r, "completed"))
			break;
		case_run_loop(r, 500);
		if (find_batch(r) >= 0)
			absent_since = case_ms(r);
		if (case_ms(r) - absent_since > absent_ms)
			absent_ms = case_ms(r) - absent_since;
	}
	case_log(r,
		 "the batch task does not run for %llu ms, with most of the "
		 "workers' room free",
		 (unsigned long long)absent_ms);
	return absent_ms > ABSENT_MAX_MS ? CASE_BROKEN : CASE_HELD;
}
