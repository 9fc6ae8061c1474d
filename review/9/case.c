/* A caller cancels a submission whose outcome it doesn't know. */
#include <stdlib.h>
#include <string.h>

#include "standin-2.h"

#define CANCEL_MS 3000u
#define LATE_MS 5500u
#define ID "5c0e7a21d94b0001"

static unsigned task_ms(const char *task)
{
	(void)task;
	return 2000;
}

static const char body[] =
	"{\"specification\":\"statement\",\"steps\":[{\"count\":2,"
	"\"cpu\":3100,\"memory-request-mb\":6200,\"estimated-ms\":2000}]}";

/* The usual traffic of others. */
static unsigned others;
static void submit_other(void)
{
	char path[64];

	snprintf(path, sizeof(path), "/lohu930/aaaa7a21d94b%04x", others);
	si_call_async(others++ % 3, "POST", path, body);
}

int main(void)
{
	const char *trouble = getenv("TROUBLE");
	bool lossy = !trouble || strcmp(trouble, "0");
	struct si_options o = {
		.record_path = getenv("RECORD"),
		.nodes = 3,
		.workers = 6,
		.worker_cpu = 32000,
		.worker_mb = 125000,
		.racks = 1,
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
	unsigned writes, lost, starts_before;
	uint64_t begin, acked, started = 0;
	int posted, cancelled;
	char state[200];

	si_init(&o);
	si_start_nodes();
	si_run_ms(2000);
	for (unsigned i = 0; i < 10; i++) {
		submit_other();
		si_run_ms(100);
	}
	if (lossy)
		si_lose_writes("/in/" ID, LATE_MS);
	begin = si_now_ms();
	for (unsigned i = 0; i < 3; i++)
		submit_other();
	posted = si_call(0, "POST", "/lohu930/" ID, body, NULL, 0);
	for (unsigned i = 0; i < 3; i++)
		submit_other();
	si_count_writes(&writes, &lost);
	if (lossy)
		si_lose_writes(NULL, 0);
	si_log("for %llu ms %u of %u writes had no answer",
	       (unsigned long long)(si_now_ms() - begin), lost, writes);
	cancelled = si_call(1, "DELETE", "/lohu930/" ID, NULL, NULL, 0);
	acked = si_now_ms();
	starts_before = si_starts(ID);
	if (cancelled != 200 && cancelled != 410)
		si_finish(2, "the DELETE was answered %d", cancelled);
	while (si_now_ms() < acked + 14000) {
		if (!(si_now_ms() % 20))
			si_run_ms(1);
		si_run_ms(10);
		if (!started && si_starts(ID) > starts_before)
			started = si_now_ms();
	}
	si_call(2, "GET", "/lohu930/" ID, NULL, state, sizeof(state));
	si_log("state at the end: %s", state);
	if (started)
		si_finish(started > acked + CANCEL_MS ? 1 : 0,
			  "POST %d, DELETE %d; %u tasks were started from %llu "
			  "ms after the DELETE's answer on, %u ended as done; "
			  "%u of %u writes had no answer",
			  posted, cancelled, si_starts(ID) - starts_before,
			  (unsigned long long)(started - acked), si_done(ID),
			  lost, writes);
	si_finish(0, "POST %d, DELETE %d; no task was started after it", posted,
		  cancelled);
}
