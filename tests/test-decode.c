#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "decode.h"
#include "support-unit.h"

#define JOB_JSON                                                             \
	"{\"specification\":\"(text)\",\"steps\":[{\"count\":4,\"cpu\":500," \
	"\"memory-request-mb\":256,\"estimated-ms\":900,\"affinity\":"       \
	"\"r1-3\"},{\"count\":20,\"cpu\":2000,\"memory-request-mb\":1024,"   \
	"\"estimated-ms\":7000,\"after\":[0],\"checkpointing\":true}]}"

#define WORKER_JSON                                                        \
	"{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\","        \
	"\"zone\":\"kadikoy\",\"version\":\"v1\",\"slots\":8,"             \
	"\"state\":\"ready\",\"cold-remaining-ms\":0,\"capacity\":"        \
	"{\"cpu\":16000,\"memory-request-mb\":32768,\"gpu\":0},\"labels\"" \
	":[\"a\",\"r1-3\"],\"clock-ms\":482113,\"sequence\":4}"

#define CONFIG_JSON                                                         \
	"{\"version\":7,\"routes\":[{\"name\":\"r-3hwrr6x\",\"host\":"      \
	"\"nony24.example\",\"prefix\":\"/lohu930/\",\"kind\":\"unsafe\","  \
	"\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":2,"     \
	"\"service\":\"huvo11a\",\"max-attempts\":3,\"stretch\":1.5}],"     \
	"\"services\":[{\"name\":\"huvo11a\",\"enforces-capacity\":true}]," \
	"\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144}}"

#define REPORT_JSON                                                       \
	"{\"clock-ms\":482113,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\"," \
	"2,\"00000bb87a21d94b\",41,3500]],\"ended\":[[58,"                \
	"\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]]}"

static void test_job(void)
{
	struct job_spec s = { .text = NULL };
	struct error err;

	CU_ASSERT_EQUAL_FATAL(decode_job(JOB_JSON, strlen(JOB_JSON), &s, &err),
			      0);
	CU_ASSERT_STRING_EQUAL(s.text, "(text)");
	CU_ASSERT_EQUAL(s.step_count, 2);
	CU_ASSERT_EQUAL(s.steps[0].count, 4);
	CU_ASSERT_EQUAL(s.steps[0].demand.cpu_milli, 500);
	CU_ASSERT_EQUAL(s.steps[0].demand.memory_mb, 256);
	CU_ASSERT_STRING_EQUAL(s.steps[0].rack, "r1-3");
	CU_ASSERT_FALSE(s.steps[0].checkpoints);
	CU_ASSERT_EQUAL(s.steps[1].depends_on, 1);
	CU_ASSERT(s.steps[1].checkpoints);
	job_spec_free(&s);
}

static void test_step_all_fields(void)
{
	static const char text[] =
		"{\"steps\":[{\"count\":2,\"gang\":true,\"same-rack\":true,"
		"\"requirements\":\"a\",\"anti-affinity\":3,\"speculative\":"
		"true,\"long-running\":true,\"image\":\"im\",\"target-ms\":50,"
		"\"fills\":true,\"may-miss\":2,\"gpu\":1}],\"repetitions\":4,"
		"\"first-run-ms\":1778284019000,\"interval-ms\":2000}";
	struct job_spec s = { .text = NULL };
	const struct job_step *step;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(decode_job(text, strlen(text), &s, &err), 0);
	step = &s.steps[0];
	CU_ASSERT(step->gang && step->same_rack && step->speculative &&
		  step->long_running && step->best_effort);
	CU_ASSERT_STRING_EQUAL(step->label, "a");
	CU_ASSERT_STRING_EQUAL(step->image, "im");
	CU_ASSERT_EQUAL(step->per_worker_max, 3);
	CU_ASSERT_EQUAL(step->target_ms, 50);
	CU_ASSERT_EQUAL(step->max_unavailable, 2);
	CU_ASSERT_EQUAL(step->demand.accelerators, 1);
	CU_ASSERT_EQUAL(s.repetitions, 4);
	CU_ASSERT_EQUAL(s.first_wall_ms, 1778284019000);
	CU_ASSERT_EQUAL(s.interval_ms, 2000);
	job_spec_free(&s);
}

/* A job with one invalid value is rejected; it is not read as absent. */
static void test_malformed_jobs(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"null",
		"{\"steps\":5}",
		"{\"specification\":5,\"steps\":[]}",
		"{\"steps\":[5]}",
		"{\"steps\":[{\"count\":-1}]}",
		"{\"steps\":[{\"count\":\"2\"}]}",
		"{\"steps\":[{\"count\":1e30}]}",
		"{\"steps\":[{\"count\":1,\"gang\":1}]}",
		"{\"steps\":[{\"count\":1,\"after\":[64]}]}",
		"{\"steps\":[{\"count\":1,\"after\":[-1]}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0.5]}]}",
		"{\"steps\":[{\"count\":1,\"affinity\":7}]}",
		"{\"steps\":[{\"count\":1}],\"repetitions\":-3}",
	};
	struct error err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct job_spec s = { .text = NULL };

		CU_ASSERT_EQUAL(
			decode_job(texts[i], strlen(texts[i]), &s, &err), -1);
		job_spec_free(&s);
	}
}

/* Every proper prefix of a message is rejected without reading past its end. */
static void test_truncated(void)
{
	struct error err;

	for (size_t n = 0; n < strlen(JOB_JSON); n++) {
		struct job_spec s = { .text = NULL };

		CU_ASSERT_EQUAL(decode_job(JOB_JSON, n, &s, &err), -1);
		job_spec_free(&s);
	}
	for (size_t n = 0; n < strlen(CONFIG_JSON); n++) {
		struct job_config c;

		CU_ASSERT_EQUAL(decode_config(CONFIG_JSON, n, &c, &err), -1);
		free(c.queues);
	}
	for (size_t n = 0; n < strlen(WORKER_JSON); n++) {
		struct job_worker_entry e;

		CU_ASSERT_EQUAL(
			decode_worker("servers/i-1", WORKER_JSON, n, &e, &err),
			-1);
	}
}

static void test_worker(void)
{
	struct job_worker_entry e;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(decode_worker("servers/i-7f", WORKER_JSON,
					    strlen(WORKER_JSON), &e, &err),
			      0);
	CU_ASSERT_STRING_EQUAL(e.id, "i-7f");
	CU_ASSERT_STRING_EQUAL(e.info.service, "huvo11a");
	CU_ASSERT_STRING_EQUAL(e.address.host, "10.128.0.9");
	CU_ASSERT_EQUAL(e.address.port, 8080);
	CU_ASSERT_EQUAL(e.info.capacity.cpu_milli, 16000);
	CU_ASSERT_STRING_EQUAL(e.info.labels[1], "r1-3");
	CU_ASSERT_FALSE(e.info.draining);
}

/* Guards against an entry that is taken for the previous one and is another. */
static void test_worker_fingerprint(void)
{
	static const char *const same[] = {
		"{\"state\":\"ready\",\"clock-ms\":1,\"sequence\":4}",
		"{\"state\":\"ready\",\"clock-ms\":482113,\"sequence\":57}",
		"{\"state\":\"ready\",\"clock-ms\":0,\"sequence\":0}",
	};
	static const char *const others[] = {
		"{\"state\":\"draining\",\"clock-ms\":1,\"sequence\":4}",
		"{\"state\":\"ready\",\"sequence\":4,\"clock-ms\":1}",
		"{\"state\":\"ready\",\"clock-ms\":1,\"sequence\":4,"
		"\"born\":2}",
		"{\"state\":\"ready\",\"clock-ms\":1,\"sequence\":4.5}",
		"{\"state\":\"ready\",\"clock-ms\":1,\"sequence\":4",
	};
	/* They are decoded each time. */
	static const char *const unknown[] = {
		"",
		"{}",
		"{\"state\":\"ready\",\"sequence\":4}",
		"{\"state\":\"ready\",\"clock-ms\":4}",
		"{\"clock-ms\":1,\"sequence\":4,\"sequence\":5}",
		"{\"clock-ms\":1,\"sequence\":04}",
		"{\"clock-ms\":1,\"sequence\":-4}",
		"{\"clock-ms\":1,\"sequence\":\"4\"}",
		"{\"clock-ms\":1,\"sequence\":9223372036854775808}",
		"{\"clock-ms\":1,\"sequence\":",
	};
	uint64_t first = worker_fingerprint(same[0], strlen(same[0]));

	CU_ASSERT_NOT_EQUAL(first, 0);
	for (size_t i = 0; i < sizeof(same) / sizeof(*same); i++)
		CU_ASSERT_EQUAL(worker_fingerprint(same[i], strlen(same[i])),
				first);
	for (size_t i = 0; i < sizeof(others) / sizeof(*others); i++)
		CU_ASSERT_NOT_EQUAL(
			worker_fingerprint(others[i], strlen(others[i])),
			first);
	for (size_t i = 0; i < sizeof(unknown) / sizeof(*unknown); i++)
		CU_ASSERT_EQUAL(
			worker_fingerprint(unknown[i], strlen(unknown[i])), 0);
}

static void test_malformed_workers(void)
{
	static const char *const texts[] = {
		"5",
		"{}",
		"{\"service\":\"s\",\"state\":\"ready\"}",
		"{\"service\":\"s\",\"state\":\"ready\",\"address\":\"x\"}",
		"{\"service\":\"s\",\"state\":\"ready\",\"address\":"
		"\"1.2.3.4:99999\"}",
		"{\"service\":\"s\",\"state\":\"gone\",\"address\":"
		"\"1.2.3.4:80\"}",
		"{\"service\":7,\"state\":\"ready\",\"address\":\"1.2.3.4:80\"}",
		"{\"service\":\"s\",\"state\":\"ready\",\"address\":"
		"\"1.2.3.4:80\",\"capacity\":{\"cpu\":\"many\"}}",
	};
	struct job_worker_entry e;
	struct error err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		CU_ASSERT_EQUAL(decode_worker("servers/i-1", texts[i],
					      strlen(texts[i]), &e, &err),
				-1);
}

static void test_config(void)
{
	struct job_config c;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(
		decode_config(CONFIG_JSON, strlen(CONFIG_JSON), &c, &err), 0);
	CU_ASSERT_EQUAL(c.version, 7);
	CU_ASSERT_EQUAL(c.queue_count, 1);
	CU_ASSERT_STRING_EQUAL(c.queues[0].policy.name, "r-3hwrr6x");
	CU_ASSERT_STRING_EQUAL(c.queues[0].prefix, "/lohu930/");
	CU_ASSERT_EQUAL(c.queues[0].policy.priority, 2);
	CU_ASSERT_EQUAL(c.queues[0].policy.attempts_max, 3);
	CU_ASSERT_DOUBLE_EQUAL(c.queues[0].policy.stretch, 1.5, 1e-9);
	CU_ASSERT_EQUAL(c.body_max_bytes, 262144);
	free(c.queues);
}

static void test_report(void)
{
	json_t *root = json_loads(REPORT_JSON, 0, NULL);
	struct sched_report r;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(decode_report(root, &r, &err), 0);
	CU_ASSERT_EQUAL(r.running_count, 1);
	CU_ASSERT_STRING_EQUAL(r.running[0].task, "5c0e7a21d94b36f8.0.1.17");
	CU_ASSERT_EQUAL(r.running[0].run, 2);
	CU_ASSERT_STRING_EQUAL(r.running[0].checkpoint, "00000bb87a21d94b");
	CU_ASSERT_EQUAL(r.running[0].progress_percent, 41);
	CU_ASSERT_EQUAL(r.running[0].metric, 3500);
	CU_ASSERT_EQUAL(r.ended_count, 1);
	CU_ASSERT_EQUAL(r.ended[0].seq, 58);
	CU_ASSERT_EQUAL(r.ended[0].reason, SCHED_END_DONE);
	CU_ASSERT_FALSE(r.ended_truncated);
	free((void *)r.running);
	free((void *)r.ended);
	json_decref(root);
}

/* A report with an invalid end is rejected, so the end is not acknowledged. */
static void test_malformed_reports(void)
{
	static const char *const texts[] = {
		"{}",
		"{\"running\":[]}",
		"{\"running\":5,\"ended\":[]}",
		"{\"running\":[],\"ended\":[[1,\"t\",1,\"vanished\",\"\"]]}",
		"{\"running\":[],\"ended\":[5]}",
	};
	struct error err;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		json_t *root = json_loads(texts[i], 0, NULL);
		struct sched_report r;

		CU_ASSERT_EQUAL(decode_report(root, &r, &err), -1);
		free((void *)r.running);
		free((void *)r.ended);
		json_decref(root);
	}
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "job", test_job },
		{ "all fields of a step", test_step_all_fields },
		{ "malformed jobs", test_malformed_jobs },
		{ "truncated", test_truncated },
		{ "worker", test_worker },
		{ "worker fingerprint", test_worker_fingerprint },
		{ "malformed workers", test_malformed_workers },
		{ "config", test_config },
		{ "report", test_report },
		{ "malformed reports", test_malformed_reports },
	};

	return RUN_SUITE("decode", tests);
}
