#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "support-jobs-fixture.h"
#include "support-unit.h"

/*
 * Memory of jobs at the entry VMs and at an owner that loads them.
 */

#define ENTRIES 3
#define TEXT_BYTES 1000
#define MEMORY_BYTES 40000u
#define JOBS_MAX 100
/* Jobs that are accepted until all entry VMs know of a refusal. */
#define LATE_JOBS_BYTES 10000u
/* Jobs are left in the store at four thirds of the limit. */
#define LOADED_MAX_BYTES (MEMORY_BYTES / 3 * 4 + LATE_JOBS_BYTES)

static char body[TEXT_BYTES + 200];

static const char *job_body(bool service)
{
	char text[TEXT_BYTES + 1];

	memset(text, 'x', TEXT_BYTES);
	text[TEXT_BYTES] = '\0';
	/* The simulated workers know a service by its text. */
	if (service)
		strcpy(text, "lasts");
	snprintf(body, sizeof(body),
		 "{\"specification\":\"%s\",\"steps\":[{\"count\":1,"
		 "\"cpu\":%d,\"memory-request-mb\":1,\"estimated-ms\":100%s}]}",
		 text, service ? 1 : 8000,
		 service ? ",\"long-running\":true" : "");
	return body;
}

static const char *path_of(int job)
{
	static char path[64];

	snprintf(path, sizeof(path), "/forms/%016x", 0x1000 + job);
	return path;
}

static void set_memory(struct jobs_fixture *f, size_t bytes)
{
	for (int i = 0; i < f->entry_count; i++)
		f->entries[i].settings.jobs.memory_bytes = bytes;
}

static void set_up(struct jobs_fixture *f, size_t bytes, uint32_t task_ms)
{
	memset(f, 0, sizeof(*f));
	f->entry_count = ENTRIES;
	f->task_ms = task_ms;
	f->status_keep_s = 2;
	jobs_fixture_start(f);
	set_memory(f, bytes);
	jobs_fixture_set_queue_host(f);
	for (int i = 0; i < 500 && jobs_fixture_owner(f) < 0; i++)
		jobs_fixture_run(f, 10);
}

static uint64_t jobs_bytes(struct jobs_fixture *f)
{
	int owner = jobs_fixture_owner(f);

	return owner < 0 ? 0
			 : sched_jobs_bytes(job_owner_sched(
				   f->entries[owner].node.owner));
}

static int submit(struct jobs_fixture *f, int job, bool service)
{
	return jobs_fixture_request(f, job % ENTRIES, "POST", path_of(job),
				    job_body(service));
}

/*
 * Guards against an owner that accepts jobs without a bound, and against a
 * refusal that does not end once jobs are over.
 */
static void test_submissions_are_refused(void)
{
	struct jobs_fixture f;
	int accepted = 0, status = 200;

	set_up(&f, MEMORY_BYTES, 100);
	while (accepted < JOBS_MAX && status == 200) {
		status = submit(&f, accepted, true);
		accepted += status == 200;
	}
	CU_ASSERT_EQUAL(status, 503);
	CU_ASSERT(accepted > 10);
	CU_ASSERT(jobs_bytes(&f) <= MEMORY_BYTES + LATE_JOBS_BYTES);
	jobs_fixture_run(&f, 500);
	for (int i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(submit(&f, JOBS_MAX + i, true), 503);
	/* A repetition of what was accepted is no new job. */
	CU_ASSERT_EQUAL(submit(&f, 0, true), 200);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 1, "GET", path_of(0), NULL),
			200);
	for (int i = 0; i < accepted; i++)
		CU_ASSERT_EQUAL(jobs_fixture_request(&f, i % ENTRIES, "DELETE",
						     path_of(i), NULL),
				200);
	jobs_fixture_run(&f, 1000);
	for (int i = 0; i < ENTRIES; i++)
		CU_ASSERT_EQUAL(submit(&f, JOBS_MAX + i, true), 200);
	jobs_fixture_tear_down(&f);
}

/*
 * Runs until the first jobs are completed, and kills the owner after a time
 * (-1: never). Returns the most memory of an owner's jobs meanwhile.
 */
static uint64_t run_all(struct jobs_fixture *f, int jobs, int64_t kill_at_ms)
{
	uint64_t start = clock_now_us(), most = 0;
	int completed = 0, owner = -1;

	while (clock_now_us() < start + 60000000 && completed < jobs) {
		uint64_t bytes;

		jobs_fixture_run(f, 50);
		bytes = jobs_bytes(f);
		if (bytes > most)
			most = bytes;
		owner = jobs_fixture_owner(f);
		if (owner >= 0 && kill_at_ms >= 0 &&
		    clock_now_us() > start + (uint64_t)kill_at_ms * 1000) {
			jobs_fixture_stop_entry(f, owner);
			jobs_fixture_start_entry(f, owner);
			set_memory(f, MEMORY_BYTES);
			kill_at_ms = -1;
		}
		while (owner >= 0 && completed < jobs &&
		       jobs_fixture_request(f, owner, "GET", path_of(completed),
					    NULL) == 200 &&
		       strstr(f->body, "completed"))
			completed++;
	}
	CU_ASSERT_EQUAL(completed, jobs);
	return most;
}

static uint32_t waiting(struct jobs_fixture *f, int entry)
{
	const char *count;

	jobs_fixture_request(f, entry, "GET", "/forms/", NULL);
	count = strchr(f->body, ':');
	return count ? (uint32_t)atoi(count + 1) : 0;
}

/*
 * Guards against a successor that is ended by the jobs that it loads, as by an
 * earlier version's, and against jobs that are lost or run twice as they are
 * read later.
 */
static void test_stored_jobs_exceed_memory(void)
{
	struct jobs_fixture f;
	uint64_t most;
	int owner;

	set_up(&f, 24u << 20, 500);
	f.status_keep_s = 120;
	for (int i = 0; i < ENTRIES; i++)
		f.entries[i].settings.jobs.status_keep_us = 120000000;
	for (int i = 0; i < JOBS_MAX; i++)
		CU_ASSERT_EQUAL_FATAL(submit(&f, i, false), 200);
	CU_ASSERT(jobs_bytes(&f) > 2 * MEMORY_BYTES);
	set_memory(&f, MEMORY_BYTES);
	owner = jobs_fixture_owner(&f);
	jobs_fixture_stop_entry(&f, owner);
	jobs_fixture_start_entry(&f, owner);
	set_memory(&f, MEMORY_BYTES);
	jobs_fixture_run(&f, 4000);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	for (int i = 0; i < ENTRIES; i++)
		CU_ASSERT(waiting(&f, i) > JOBS_MAX / 3);
	CU_ASSERT(jobs_bytes(&f) <= LOADED_MAX_BYTES);
	/* Reads of jobs fail for less time than the owner's lease lasts. */
	jobs_platform_faults(f.platform)->refuse = true;
	jobs_fixture_run(&f, 800);
	jobs_platform_faults(f.platform)->refuse = false;
	jobs_fixture_run(&f, 500);
	/* One that is not read yet is cancelled, and known as such. */
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, owner, "DELETE",
					     path_of(JOBS_MAX - 1), NULL),
			200);
	jobs_fixture_run(&f, 500);
	jobs_fixture_request(&f, owner, "GET", path_of(JOBS_MAX - 1), NULL);
	CU_ASSERT(strstr(f.body, "cancelled") || strstr(f.body, "completed"));
	most = run_all(&f, JOBS_MAX - 1, 3000);
	printf("most=%llu ", (unsigned long long)most);
	CU_ASSERT(most <= LOADED_MAX_BYTES);
	jobs_fixture_tear_down(&f);
}

static uint64_t allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (uint64_t)info.uordblks + info.hblkhd;
}

#define WIDE_TASKS 400
#define WIDE_TEXT_BYTES 3990
/* The state of the tasks at the owner and at the simulated workers. */
#define WIDE_MAX_BYTES 800000u

/*
 * Guards against a copy of the specification, 1.6 MB in all, for each start
 * that waits for its turn.
 */
static void test_starts_share_text(void)
{
	struct jobs_fixture f;
	char wide[WIDE_TEXT_BYTES + 200], text[WIDE_TEXT_BYTES + 1];
	uint64_t before, most = 0;

	memset(text, 'x', WIDE_TEXT_BYTES);
	text[WIDE_TEXT_BYTES] = '\0';
	snprintf(wide, sizeof(wide),
		 "{\"specification\":\"%s\",\"steps\":[{\"count\":%d,"
		 "\"cpu\":1,\"estimated-ms\":100}]}",
		 text, WIDE_TASKS);
	set_up(&f, 24u << 20, 60000);
	before = allocated();
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "POST", path_of(0), wide),
			200);
	for (int i = 0; i < 500; i++) {
		jobs_fixture_run(&f, 2);
		if (allocated() > before + most)
			most = allocated() - before;
	}
	printf("most=%llu KB ", (unsigned long long)most / 1000);
	CU_ASSERT(most <= WIDE_MAX_BYTES);
	CU_ASSERT_EQUAL(jobs_platform_worker_tasks(f.platform, 0) +
				jobs_platform_worker_tasks(f.platform, 1),
			WIDE_TASKS);
	jobs_fixture_tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "submissions are refused", test_submissions_are_refused },
		{ "stored jobs exceed memory", test_stored_jobs_exceed_memory },
		{ "starts share text", test_starts_share_text },
	};

	return RUN_SUITE("jobs-memory", tests);
}
