/*
 * A planned release: half of the workers are replaced one pair after the other.
 * Each reports that it drains, serves for longer than drain-ms, leaves, and
 * starts again under its id. Jobs of one long task must not be shown as failed.
 */
#include <stdlib.h>

#include "standin-3.h"

#define WORKERS 16
#define REPLACED 8 /* half of the service */
#define AT_ONCE 2
#define JOBS 16
#define TASK_MS 18000u
#define DRAIN_MS 3200u /* drain-ms is 3,000 */
#define DOWN_MS 2100u  /* reuse-after-s is 2 */
#define GAP_MS 1000u
#define UPTIME_MS 10000u /* the workers have been up for a while */

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/bundle/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
	"\"target-latency-ms\":1000,\"priority\":2,\"service\":\"svc\","
	"\"max-attempts\":3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\","
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}";
static const char job[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":1,\"cpu\":4000,"
	"\"memory-request-mb\":1000,\"estimated-ms\":18000}]}";

static void path_of(char path[64], int i)
{
	snprintf(path, 64, "/bundle/00000000000000%02x", 0xa0 + i);
}

static void release(struct case_run *r)
{
	for (int first = 0; first < REPLACED; first += AT_ONCE) {
		for (int i = first; i < first + AT_ONCE; i++) {
			case_log(r, "worker %d reports draining", i);
			jobs_platform_drain_worker(r->platform, i, DRAIN_MS);
		}
		case_run_loop(r, DRAIN_MS + DOWN_MS);
		for (int i = first; i < first + AT_ONCE; i++)
			case_restart_worker(r, (uint32_t)i);
		case_run_loop(r, GAP_MS);
	}
}

int case_release(struct case_run *r)
{
	int failed = 0, completed = 0;
	char path[64];

	if (case_open(r, getenv("CASE_RECORD"), config) < 0)
		return CASE_NOT_RUN;
	case_add_workers(r, WORKERS, TASK_MS);
	if (case_start(r, 3) < 0)
		return CASE_NOT_RUN;
	case_run_loop(r, UPTIME_MS);
	for (int i = 0; i < JOBS; i++) {
		path_of(path, i);
		if (case_request(r, (uint32_t)i % 3, "POST", path, job) != 200)
			return CASE_NOT_RUN;
	}
	case_run_loop(r, 2000);
	if (r->trouble)
		release(r);
	case_run_loop(r, 40000);
	for (int i = 0; i < JOBS; i++) {
		path_of(path, i);
		case_request(r, (uint32_t)i % 3, "GET", path, NULL);
		failed += case_body_has(r, "failed");
		completed += case_body_has(r, "completed");
	}
	case_log(r, "jobs shown as completed=%d failed=%d of %d", completed,
		 failed, JOBS);
	return failed		   ? CASE_BROKEN
	       : completed == JOBS ? CASE_HELD
				   : CASE_NOT_RUN;
}
