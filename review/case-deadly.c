/*
 * A task crashes each worker that starts it, six seconds after its start; the
 * worker is back two seconds later under its id. The task must not be started
 * three times more after three workers have crashed under it.
 */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "standin-3.h"

#define WORKERS 6
#define TASK_MS 9000u
#define CRASH_AGE_MS 6000u
#define DOWN_MS 2100u /* reuse-after-s is 2 */
#define WATCH_MS 75000u
#define CRASHES_MAX 3
#define STARTS_MORE_MAX 3

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/bundle/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
	"\"target-latency-ms\":1000,\"priority\":2,\"service\":\"svc\","
	"\"max-attempts\":3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\","
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}";
static const char job[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":1,\"cpu\":4000,"
	"\"memory-request-mb\":1000,\"estimated-ms\":9000}]}";
static const char deadly[] = "00000000000000dd.0.0.0";

/* The worker that runs the deadly task, or -1. */
static int find_deadly(const struct case_run *r, uint32_t *run)
{
	for (int i = 0; i < WORKERS; i++) {
		const struct sim_worker *w = r->platform->workers[i];

		for (uint32_t k = 0; k < w->task_count; k++)
			if (!strcmp(w->tasks[k].name, deadly)) {
				*run = w->tasks[k].run;
				return i;
			}
	}
	return -1;
}

int case_deadly(struct case_run *r)
{
	int crashes = 0, more = 0, runs_on = -1, seen_on = -1;
	uint64_t since_ms = 0, end, back_ms[WORKERS] = { 0 };
	uint32_t run = 0, last_run = 0;
	bool ordinary_done;

	if (case_open(r, getenv("CASE_RECORD"), config) < 0)
		return CASE_NOT_RUN;
	case_add_workers(r, WORKERS, TASK_MS);
	if (case_start(r, 3) < 0)
		return CASE_NOT_RUN;
	case_run_loop(r, 3000);
	case_request(r, 0, "POST", "/bundle/00000000000000a1", job);
	case_request(r, 1, "POST", "/bundle/00000000000000a2", job);
	if (r->trouble)
		case_request(r, 2, "POST", "/bundle/00000000000000dd", job);
	end = case_ms(r) + (r->trouble ? WATCH_MS : 15000u);
	while (case_ms(r) < end && more < STARTS_MORE_MAX) {
		case_run_loop(r, 10);
		for (int i = 0; i < WORKERS; i++)
			if (back_ms[i] && case_ms(r) >= back_ms[i]) {
				back_ms[i] = 0;
				case_restart_worker(r, (uint32_t)i);
			}
		seen_on = find_deadly(r, &run);
		if (seen_on >= 0 && run != last_run) {
			runs_on = seen_on;
			last_run = run;
			since_ms = case_ms(r);
			more += crashes >= CRASHES_MAX;
			case_log(r,
				 "worker %d has started the deadly task, "
				 "run %u, after %d crashes",
				 runs_on, run, crashes);
		}
		if (runs_on < 0 || case_ms(r) < since_ms + CRASH_AGE_MS)
			continue;
		if (seen_on == runs_on) {
			crashes++;
			case_log(r, "worker %d crashes under it", runs_on);
			jobs_platform_crash_worker(r->platform, runs_on);
			back_ms[runs_on] = case_ms(r) + DOWN_MS;
		}
		runs_on = -1;
	}
	case_log(r, "crashes under the task: %d; starts after the third: %d",
		 crashes, more);
	if (r->trouble) {
		case_request(r, 0, "GET", "/bundle/00000000000000dd", NULL);
		return more >= STARTS_MORE_MAX ? CASE_BROKEN : CASE_HELD;
	}
	case_request(r, 0, "GET", "/bundle/00000000000000a1", NULL);
	ordinary_done = case_body_has(r, "completed");
	case_request(r, 1, "GET", "/bundle/00000000000000a2", NULL);
	return ordinary_done && case_body_has(r, "completed") ? CASE_HELD
							      : CASE_NOT_RUN;
}
