#include <string.h>

#include "support-jobs-fixture.h"
#include "support-unit.h"

/* Sends a request, lets the store refuse calls 100 ms later, and waits. */
static int request_then_refuse(struct jobs_fixture *f, const char *method,
			       const char *path, const char *body)
{
	struct platform_faults *faults = jobs_platform_faults(f->platform);

	f->status = 0;
	http_conn_call(f->clients[0], method, path, NULL, body,
		       body ? strlen(body) : 0, 4000, jobs_fixture_on_reply, f);
	jobs_fixture_run(f, 100);
	faults->lose_write_answers = false;
	faults->refuse = true;
	for (int i = 0; i < 400 && !f->status; i++)
		jobs_fixture_run(f, 10);
	return f->status;
}

/*
 * Guards against a submission that is answered as refused although its first
 * write had no answer: the job runs.
 */
static void test_submission_refused_after_unanswered_write(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_faults(f.platform)->lose_write_answers = true;
	CU_ASSERT_EQUAL(request_then_refuse(&f, "POST", JOB_A_PATH, JOB_BODY),
			504);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 1);
	jobs_fixture_tear_down(&f);
}

/* Guards against a stored cancellation that is answered as refused. */
static void test_unanswered_cancellation(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_platform_faults(f.platform)->lose_write_answers = true;
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "DELETE", JOB_A_PATH, NULL),
			504);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 2);
	jobs_fixture_tear_down(&f);
}

/* As above, where the store then refuses the repetition. */
static void test_cancellation_refused_after_unanswered_write(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_platform_faults(f.platform)->lose_write_answers = true;
	CU_ASSERT_EQUAL(request_then_refuse(&f, "DELETE", JOB_A_PATH, NULL),
			504);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 2);
	jobs_fixture_tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "submission refused after unanswered write",
		  test_submission_refused_after_unanswered_write },
		{ "unanswered cancellation", test_unanswered_cancellation },
		{ "cancellation refused after unanswered write",
		  test_cancellation_refused_after_unanswered_write },
	};

	return RUN_SUITE("job-intake", tests);
}
