/*
 * One submission of under 200 bytes: a scheduled job of 4,000 repetitions of
 * 300 tasks that are all due. Each process has to stay within the memory of its
 * machine, 260 MB, and other clients' jobs must be run. The platform kills what
 * exceeds its memory, and starts it again.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "standin-3.h"

#define WORKERS 6
#define TASK_MS 1000u
#define MEMORY_KB (260u * 1000u)
#define WATCH_MS 40000u
#define STEP_MS 20u
#define RESTART_MS 1000u

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"host\":\"" CASE_QUEUE_HOST
	"\",\"prefix\":\"/bundle/\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
	"\"target-latency-ms\":1000,\"priority\":2,\"service\":\"svc\","
	"\"max-attempts\":3,\"stretch\":2.0}],\"services\":[{\"name\":\"svc\","
	"\"enforces-capacity\":true}],\"limits\":{\"max-body-bytes\":262144}}";
static const char ordinary[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":2,\"cpu\":1000,"
	"\"memory-request-mb\":100,\"estimated-ms\":1000}]}";
static const char many[] =
	"{\"specification\":\"yearly\",\"repetitions\":4000,"
	"\"first-run-ms\":1700000000000,\"interval-ms\":60000,"
	"\"steps\":[{\"count\":300,\"cpu\":1000,\"memory-request-mb\":100,"
	"\"estimated-ms\":1000}]}";
static const char wide[] =
	"{\"specification\":\"bundle\",\"steps\":[{\"count\":4096,\"cpu\":1000,"
	"\"memory-request-mb\":100,\"estimated-ms\":1000}]}";
#define WIDE_JOBS 300

/* Half of the workers' cores; each task takes one. */
#define TASKS_HALF (WORKERS * 16u / 2)
#define FINISH_MS 14000u
#define ABSENT_MAX_MS 3000u

struct seen {
	int killed[CASE_ENTRIES_MAX]; /* for their memory */
	uint64_t idle_since_ms;
	uint64_t idle_longest_ms; /* from FINISH_MS after the last request */
};

static void note_idle(struct case_run *r, struct seen *s, uint64_t from_ms)
{
	uint64_t now = case_ms(r);

	if (now < from_ms ||
	    jobs_platform_running_tasks(r->platform) >= TASKS_HALF)
		s->idle_since_ms = now;
	else if (now - s->idle_since_ms > s->idle_longest_ms)
		s->idle_longest_ms = now - s->idle_since_ms;
}

static void watch(struct case_run *r, uint32_t ms, struct seen *s)
{
	uint64_t restart_ms[CASE_ENTRIES_MAX] = { 0 };
	uint64_t from = case_ms(r) + FINISH_MS;
	uint64_t end = case_ms(r) + ms;
	int status;

	s->idle_since_ms = case_ms(r);
	while (case_ms(r) < end) {
		case_run_loop(r, STEP_MS);
		note_idle(r, s, from);
		for (uint32_t i = 0; i < r->entry_count; i++) {
			pid_t pid = r->entries[i];

			if (!pid && case_ms(r) > restart_ms[i])
				case_start_entry(r, i);
			if (!pid)
				continue;
			if (waitpid(pid, &status, WNOHANG) == pid) {
				case_log(r,
					 "front-%u ended by itself, status "
					 "%d",
					 i, status);
			} else if (case_peak_kb(pid) > MEMORY_KB) {
				case_log(r,
					 "front-%u exceeds its memory: "
					 "%llu KB; it is killed",
					 i,
					 (unsigned long long)case_peak_kb(pid));
				kill(pid, SIGKILL);
				waitpid(pid, NULL, 0);
			} else {
				continue;
			}
			s->killed[i]++;
			r->entries[i] = 0;
			restart_ms[i] = case_ms(r) + RESTART_MS;
		}
	}
}

/* MANY=1: as many tasks in 300 jobs that are not scheduled. */
static void submit_large(struct case_run *r)
{
	const char *several = getenv("MANY");
	char path[64];

	if (!several || strcmp(several, "1")) {
		case_request(r, 1, "POST", "/bundle/00000000000000b0", many);
		return;
	}
	for (int i = 0; i < WIDE_JOBS; i++) {
		snprintf(path, sizeof(path), "/bundle/000000000000%04x",
			 0x1000 + i);
		case_request(r, 1, "POST", path, wide);
	}
}

int case_memory(struct case_run *r)
{
	struct seen s = { .idle_longest_ms = 0 };
	bool done = false, lost;
	int vms = 0;

	if (case_open(r, getenv("CASE_RECORD"), config) < 0)
		return CASE_NOT_RUN;
	case_add_workers(r, WORKERS, TASK_MS);
	if (case_start(r, 3) < 0 ||
	    case_request(r, 0, "POST", "/bundle/00000000000000a1", ordinary) !=
		    200)
		return CASE_NOT_RUN;
	case_run_loop(r, 4000);
	case_request(r, 0, "GET", "/bundle/00000000000000a1", NULL);
	if (!case_body_has(r, "completed"))
		return CASE_NOT_RUN;
	if (r->trouble)
		submit_large(r);
	case_request(r, 2, "POST", "/bundle/00000000000000a2", ordinary);
	watch(r, WATCH_MS, &s);
	for (uint32_t i = 0; i < 3; i++) {
		vms += s.killed[i] >= 3;
		if (!r->entries[i])
			continue;
		case_request(r, i, "GET", "/bundle/00000000000000a2", NULL);
		done = done || case_body_has(r, "completed");
	}
	lost = !done && s.idle_longest_ms > ABSENT_MAX_MS;
	case_log(r,
		 "VMs whose process ended three times for its memory: %d of "
		 "3",
		 vms);
	case_log(r,
		 "the other job is completed: %d; from %u s after the last "
		 "request less than half of the capacity was in use for "
		 "%llu ms",
		 done, FINISH_MS / 1000, (unsigned long long)s.idle_longest_ms);
	if (vms >= 2)
		case_log(r, "FAULT: processes end by themselves");
	if (lost)
		case_log(r, "LOST: an accepted job has nothing running");
	return vms >= 2 || lost ? CASE_BROKEN : done ? CASE_HELD : CASE_NOT_RUN;
}
