/*
 * A queue is removed from the configuration while it has accepted jobs, the
 * owner's process is killed, and the queue comes back with a later version.
 */
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "../standin.h"

#define FORMS "/forms/"
#define BUNDLES "/bundles/"
#define HOST "nony24.example"
/* Two steps; the second one is due when the first one is done. */
#define JOB_A "00000000000000a1"
#define SPEC_A "d0=6000 d1=500"
/* The first run of its task fails, as its runner says; the second does not. */
#define JOB_B "00000000000000b1"
#define SPEC_B "d0=6000 f0=1"
#define FINISH_S 14u /* finish_s */
#define IDLE_MS 3000u /* a job may have nothing running for so long */

static const char *body(const char *spec, int steps)
{
	static char text[600];
	const char *step = "{\"count\":1,\"cpu\":1000,\"memory-request-mb\":"
			   "256,\"estimated-ms\":1000";

	snprintf(text, sizeof(text),
		 "{\"specification\":\"%s\",\"steps\":[%s}%s%s%s]}", spec, step,
		 steps > 1 ? "," : "", steps > 1 ? step : "",
		 steps > 1 ? ",\"after\":[0]}" : "");
	return text;
}

static void put_config(struct world *w, int version, bool with_bundles)
{
	char text[1500];
	const char *fmt = "{\"name\":\"%s\",\"host\":\"" HOST "\",\"prefix\":"
			  "\"%s\",\"kind\":\"unsafe\",\"timeout-ms\":3000,"
			  "\"target-latency-ms\":1000,\"priority\":%d,"
			  "\"service\":\"huvo11a\",\"max-attempts\":3,"
			  "\"stretch\":2.0}";
	char forms[300], bundles[300];

	snprintf(forms, sizeof(forms), fmt, "r-forms", FORMS, 0);
	snprintf(bundles, sizeof(bundles), fmt, "r-bundles", BUNDLES, 2);
	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[%s%s%s],\"services\":[{\"name\":"
		 "\"huvo11a\",\"health-path\":\"/health\",\"max-connections\":"
		 "64,\"protocol\":\"h1\",\"tls\":false,\"enforces-capacity\":"
		 "true,\"spare\":false}],\"limits\":{\"max-header-bytes\":"
		 "16384,\"max-body-bytes\":262144}}",
		 version, forms, with_bundles ? "," : "",
		 with_bundles ? bundles : "");
	store_put(w, "op/config", text);
	record(w, "config  version=%d queues=forms%s", version,
	       with_bundles ? ",bundles" : "");
}

static const char *state_of(struct world *w, int entry, const char *id)
{
	static char state[16];
	struct answer a;
	char path[64];

	snprintf(path, sizeof(path), BUNDLES "%s", id);
	a = call_retry(w, entry, "GET", HOST, path, NULL);
	state[0] = '\0';
	sscanf(a.body, "{\"state\":\"%15[^\"]", state);
	return state;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool disrupt = !trouble || strcmp(trouble, "0");
	struct world w;
	struct answer a;
	uint64_t idle_since = 0, end;
	int owner;

	world_begin(&w, argc > 1 ? argv[1] : "record.txt");
	put_config(&w, 7, true);
	for (int i = 0; i < 6; i++)
		worker_add(&w, "huvo11a", "a", i < 3 ? "r1-1" : "r1-2", 32000,
			   125000);
	entries_start(&w, 3);
	entries_wait_ready(&w);
	owner = entry_owner(&w);

	a = call_retry(&w, (owner + 1) % 3, "POST", HOST, BUNDLES JOB_A,
		       body(SPEC_A, 2));
	if (a.status / 100 != 2)
		world_abort(&w, "job A was not accepted");
	a = call_retry(&w, (owner + 2) % 3, "POST", HOST, BUNDLES JOB_B,
		       body(SPEC_B, 1));
	if (a.status / 100 != 2)
		world_abort(&w, "job B was not accepted");
	world_run(&w, 2000);

	put_config(&w, 9, false);
	world_run(&w, 2500); /* in force everywhere: config-apply-ms is 2000 */
	if (disrupt) {
		entry_signal(&w, owner, SIGKILL);
		if (!entry_wait(&w, owner, 2000))
			world_abort(&w, "the process did not end");
		world_run(&w, 500);
		entry_start(&w, owner);
	}

	/* The traffic has ended. Jobs are judged finish_s later. */
	world_run(&w, FINISH_S * 1000);
	record(&w, "finish_s after the traffic: jobs are judged from here");
	for (end = now_ms(&w) + 6000; now_ms(&w) < end; world_run(&w, 100)) {
		bool due = count_runs(&w, JOB_A ".0.0.0", "done") &&
			   !count_runs(&w, JOB_A ".0.1.0", "done");
		bool idle = due && !count_running(&w, JOB_A) &&
			    cpu_used_percent(&w, "huvo11a") < 50;

		if (!idle)
			idle_since = 0;
		else if (!idle_since)
			idle_since = now_ms(&w);
		if (idle && now_ms(&w) > idle_since + IDLE_MS) {
			violation(&w, "LOST: job A, accepted and not cancelled,"
				  " has nothing running for %u ms; its second "
				  "step is due, %d%% of the CPU is in use",
				  IDLE_MS, cpu_used_percent(&w, "huvo11a"));
			break;
		}
	}

	put_config(&w, 12, true);
	world_run(&w, 8000); /* config-apply-ms, and time to end */
	record(&w, "job A is %s", state_of(&w, 0, JOB_A));
	if (!strcmp(state_of(&w, 0, JOB_B), "failed") &&
	    count_runs(&w, JOB_B ".0.0.0", "failed") < 3)
		violation(&w, "LOST: job B is shown as failed after %d of 3 "
			  "attempts", count_runs(&w, JOB_B ".0.0.0", "failed"));
	world_end(&w);
}
