#include <string.h>

#include "job-spec.h"
#include "support-unit.h"

static struct job_step steps[3];

static struct job_spec example(void)
{
	struct job_spec s = {
		.id = "5c0e7a21d94b36f8",
		.queue = "forms",
		.policy = { "forms", "helper", 2, 3, 1.5, 300 },
		.accepted_wall_ms = 1778284019000,
		.text = (char *)"text",
		.step_count = 3,
		.steps = steps,
	};

	memset(steps, 0, sizeof(steps));
	for (int i = 0; i < 3; i++) {
		steps[i].count = 2;
		steps[i].estimate_ms = 100u * (uint32_t)(i + 1);
	}
	steps[1].depends_on = 1;
	steps[2].depends_on = 1;
	steps[2].gang = true;
	strcpy(steps[2].image, "im");
	return s;
}

static void test_stored_form(void)
{
	struct job_spec s = example(), t;
	struct buffer b = BUFFER_INIT;
	struct error err;

	job_spec_encode(&s, &b);
	CU_ASSERT_EQUAL_FATAL(job_spec_decode(&t, b.data, b.len, &err), 0);
	CU_ASSERT_STRING_EQUAL(t.id, s.id);
	CU_ASSERT_STRING_EQUAL(t.queue, s.queue);
	CU_ASSERT_STRING_EQUAL(t.text, s.text);
	CU_ASSERT_EQUAL(t.accepted_wall_ms, s.accepted_wall_ms);
	CU_ASSERT_EQUAL(t.step_count, 3);
	CU_ASSERT_EQUAL(memcmp(t.steps, s.steps, sizeof(steps)), 0);
	CU_ASSERT_STRING_EQUAL(t.policy.name, s.queue);
	CU_ASSERT_STRING_EQUAL(t.policy.service, "helper");
	CU_ASSERT_EQUAL(t.policy.priority, 2);
	CU_ASSERT_EQUAL(t.policy.attempts_max, 3);
	CU_ASSERT_EQUAL(t.policy.stretch, 1.5);
	CU_ASSERT_EQUAL(t.policy.target_latency_ms, 300);
	job_spec_free(&t);
	buffer_free(&b);
}

/* Records of earlier versions have no policy. */
static void test_form_without_policy(void)
{
	/* format, id, queue, accepted, text, repetitions, 2 times, steps */
	static const char record[] = "\x99\x01\xb0"
				     "5c0e7a21d94b36f8"
				     "\xa5"
				     "forms"
				     "\x01\xa4"
				     "text"
				     "\x00\x00\x00\x91"
				     "\x9d\x01\x00\x00\x00\x00\x00\x00\x00"
				     "\x00\x00\xa0\xa0\xa0";
	struct job_spec s;
	struct error err;

	CU_ASSERT_EQUAL_FATAL(
		job_spec_decode(&s, record, sizeof(record) - 1, &err), 0);
	CU_ASSERT_EQUAL(s.step_count, 1);
	CU_ASSERT_STRING_EQUAL(s.policy.service, "");
	job_spec_free(&s);
}

/* Truncated records and records of a newer format are rejected. */
static void test_truncated_form(void)
{
	struct job_spec s = example(), t;
	struct buffer b = BUFFER_INIT;
	struct error err;

	job_spec_encode(&s, &b);
	for (size_t n = 0; n < b.len; n++)
		CU_ASSERT_EQUAL(job_spec_decode(&t, b.data, n, &err), -1);
	b.data[1] = JOB_SPEC_FORMAT + 1;
	CU_ASSERT_EQUAL(job_spec_decode(&t, b.data, b.len, &err), -1);
	buffer_free(&b);
}

static void test_check(void)
{
	struct job_spec s = example();
	char text[JOB_TEXT_MAX_BYTES + 2];
	struct error err;

	CU_ASSERT_EQUAL(job_spec_check(&s, &err), 0);
	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	s.text = text;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	text[JOB_TEXT_MAX_BYTES] = '\0';
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), 0);
	steps[1].depends_on = 2; /* itself */
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	steps[1].depends_on = 4; /* a later one */
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	steps[1].depends_on = 1;
	steps[1].count = 0;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	steps[1].count = 1000000;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	steps[1].count = 1;
	s.step_count = 0;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	s.step_count = 3;
	s.repetitions = 2;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), -1);
	s.interval_ms = 1000;
	CU_ASSERT_EQUAL(job_spec_check(&s, &err), 0);
}

static void test_ids(void)
{
	CU_ASSERT(job_id_valid("5c0e7a21d94b36f8"));
	CU_ASSERT_FALSE(job_id_valid(""));
	CU_ASSERT_FALSE(job_id_valid("5c0e7a21d94b36f"));
	CU_ASSERT_FALSE(job_id_valid("5c0e7a21d94b36f88"));
	CU_ASSERT_FALSE(job_id_valid("5c0e7a21d94b36fg"));
}

static void test_critical_path(void)
{
	struct job_spec s = example();

	CU_ASSERT_EQUAL(job_spec_critical_path_ms(&s), 400);
	CU_ASSERT_EQUAL(job_spec_task_count(&s), 6);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "stored form", test_stored_form },
		{ "truncated record", test_truncated_form },
		{ "record without policy", test_form_without_policy },
		{ "check", test_check },
		{ "ids", test_ids },
		{ "chain", test_critical_path },
	};

	return RUN_SUITE("job-spec", tests);
}
