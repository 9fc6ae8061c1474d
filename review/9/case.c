/* Many jobs want the same rack: the others are not to wait for it. */
#include <stdlib.h>
#include <string.h>

#include "standin-2.h"

#define JOBS 20
#define HOT_JOBS 12 /* a share of 0.6 */
#define FINISH_MS 14000u
#define NOTHING_MS 3000u

static unsigned task_ms(const char *task)
{
	(void)task;
	return 60000;
}

static void job_path(unsigned i, char out[64])
{
	snprintf(out, 64, "/lohu930/5c0e7a21d94b%04x", i);
}

int main(void)
{
	const char *trouble = getenv("TROUBLE");
	bool hot = !trouble || strcmp(trouble, "0");
	struct si_options o = {
		.record_path = getenv("RECORD"),
		.nodes = 3,
		.workers = 12,
		.worker_cpu = 32000,
		.worker_mb = 125000,
		.racks = 1, /* in each zone */
		.zones = 3,
		.cross_zone_us = 5400,
		.store_ms = 4,
		.task_ms = task_ms,
		.config = "{\"version\":3,\"routes\":[{\"name\":\"lohu930\","
			  "\"host\":\"nony24.example\",\"prefix\":\"/lohu930/\","
			  "\"timeout-ms\":3000,\"target-latency-ms\":1000,"
			  "\"priority\":2,\"service\":\"svc\",\"max-attempts\":3,"
			  "\"stretch\":2}],\"services\":[{\"name\":\"svc\","
			  "\"enforces-capacity\":true}],"
			  "\"limits\":{\"max-body-bytes\":262144}}",
	};
	char body[400], path[64], state[200];
	uint64_t ended, idle_since[JOBS] = { 0 };
	unsigned broken = 0, longest = 0;

	si_init(&o);
	si_start_nodes();
	si_run_ms(1000);
	for (unsigned i = 0; i < JOBS; i++) {
		char affinity[40] = "";
		bool wants = i % 5 < 3; /* 12 of 20 */

		if (wants)
			snprintf(affinity, sizeof(affinity),
				 ",\"affinity\":\"r%u-1\"",
				 hot ? 1 : i % 3 + 1);
		snprintf(body, sizeof(body),
			 "{\"specification\":\"draft\",\"steps\":[{\"count\":%u,"
			 "\"cpu\":%u,\"memory-request-mb\":2000,"
			 "\"estimated-ms\":60000%s}]}",
			 wants ? 4 : 1, wants ? 7000 : 1000, affinity);
		job_path(i, path);
		if (si_call(i % 3, "POST", path, body, NULL, 0) != 200)
			si_finish(2, "job %u was not accepted", i);
	}
	ended = si_now_ms();
	si_log("end of the traffic");
	while (si_now_ms() < ended + FINISH_MS + 10000) {
		si_run_ms(20);
		if (si_now_ms() < ended + FINISH_MS)
			continue;
		for (unsigned i = 0; i < JOBS; i++) {
			job_path(i, path);
			if (si_running(strrchr(path, '/') + 1)) {
				idle_since[i] = 0;
				continue;
			}
			if (!idle_since[i])
				idle_since[i] = si_now_ms();
			if (si_now_ms() - idle_since[i] > longest)
				longest = (unsigned)(si_now_ms() -
						     idle_since[i]);
		}
	}
	for (unsigned i = 0; i < JOBS; i++) {
		job_path(i, path);
		si_call(i % 3, "GET", path, NULL, state, sizeof(state));
		si_log("%s: %s, starts %u, running %u", path, state,
		       si_starts(strrchr(path, '/') + 1),
		       si_running(strrchr(path, '/') + 1));
		if (idle_since[i] && si_now_ms() - idle_since[i] >= NOTHING_MS)
			broken++;
	}
	for (unsigned i = 0; i < o.workers; i++)
		si_log("worker %u, rack %s: %u tasks", i, si_worker_rack(i),
		       si_running_on(i, ""));
	si_finish(broken ? 1 : 0,
		  "%u of %u jobs had nothing running for %u ms, from %u ms "
		  "after the end of the traffic on; %u tasks run",
		  broken, JOBS, longest, FINISH_MS, si_running(""));
}
