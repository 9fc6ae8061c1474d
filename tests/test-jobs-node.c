#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "clock.h"
#include "counter.h"
#include "job-owner-internal.h"
#include "sched-internal.h"
#include "support-jobs-fixture.h"
#include "support-unit.h"

/* A job submitted to one entry VM can be queried at the other. */
static void test_submit_and_complete(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 404);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "GET", JOB_A_PATH, NULL),
			410);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 1, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 1, JOB_A_PATH, 3000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 1, "GET", "/forms/", NULL),
			200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"waiting\":0}");
	jobs_fixture_tear_down(&f);
}

/* Invalid requests are rejected with the right status and not stored. */
static void test_bad_input(void)
{
	struct jobs_fixture f;
	char *body;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, "not json"),
		400);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, "{}"),
			400);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", "/forms/xyz", JOB_BODY),
		400);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "POST",
					     "/other/00000000000000aa",
					     JOB_BODY),
			404);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(
			&f, 0, "POST", JOB_A_PATH,
			"{\"specification\":\"x\",\"steps\":[{\"count\":1,"
			"\"after\":[0]}]}"),
		400);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(
			&f, 0, "POST", JOB_A_PATH,
			"{\"specification\":\"x\",\"steps\":[{\"count\":"
			"1000000}]}"),
		400);
	body = xcalloc(1, 300001);
	memset(body, ' ', 300000);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, body),
			413);
	free(body);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	jobs_fixture_tear_down(&f);
}

/* Cancelling a job stops its tasks and is visible in its state. */
static void test_cancel(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "DELETE", JOB_A_PATH, NULL),
			410);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH,
				     "{\"specification\":\"lasts\",\"steps\":[{"
				     "\"count\":2,\"cpu\":100,\"long-running\":"
				     "true}]}"),
		200);
	jobs_fixture_run(&f, 60);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 1, "DELETE", JOB_A_PATH, NULL),
			200);
	jobs_fixture_run(&f, 300);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 0);
	CU_ASSERT_EQUAL(jobs_fixture_request(&f, 0, "GET", JOB_A_PATH, NULL),
			200);
	CU_ASSERT_STRING_EQUAL(f.body, "{\"state\":\"cancelled\"}");
	jobs_fixture_tear_down(&f);
}

/*
 * The store executes writes without an answer: a repeated submission finds the
 * job stored, and the owner recognises its own transaction.
 */
static void test_lost_store_answers(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_faults(f.platform)->lose_write_answers = true;
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_fixture_run(&f, 1500);
	CU_ASSERT(jobs_platform_faults(f.platform)->unanswered_writes >= 2);
	jobs_platform_faults(f.platform)->lose_write_answers = false;
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 4000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	jobs_fixture_tear_down(&f);
}

/*
 * While the store refuses, submissions are refused quickly, and none that was
 * refused is stored later.
 */
static void test_store_refuses(void)
{
	struct jobs_fixture f;
	uint64_t start_us;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_faults(f.platform)->refuse = true;
	jobs_fixture_run(&f, 200);
	start_us = clock_now_us();
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 503);
	CU_ASSERT(clock_now_us() - start_us < 700000);
	jobs_platform_faults(f.platform)->refuse = false;
	jobs_fixture_run(&f, 500);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 5000));
	jobs_fixture_tear_down(&f);
}

/* After a compaction, all prefixes are read again and no job is missed. */
static void test_compacted_history(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_faults(f.platform)->compact_history = true;
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT_EQUAL(
			jobs_fixture_request(&f, i % 2, "POST", path, JOB_BODY),
			200);
		jobs_platform_faults(f.platform)->compact_history = i % 2 == 0;
	}
	for (int i = 0; i < 8; i++) {
		char path[64];

		snprintf(path, sizeof(path), "/forms/%016d", i);
		CU_ASSERT(jobs_fixture_wait_completed(&f, 0, path, 4000));
	}
	jobs_fixture_tear_down(&f);
}

/* Orders that workers execute without an answer start each task once. */
static void test_lost_worker_answers(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_faults(f.platform)->lose_order_answers = true;
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_fixture_run(&f, 500);
	jobs_platform_faults(f.platform)->lose_order_answers = false;
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 5000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against a task whose start was in flight when its worker's address
 * changed: without an outcome it was neither started nor placed again.
 */
static void test_address_changes_during_start(void)
{
	uint16_t port = (uint16_t)(jobs_fixture_port() + 4);
	char key[32], address[32], value[1024], *at;
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	/* Only the first worker is left, and gets a second address. */
	snprintf(key, sizeof(key), "servers/i-%d", port + 1);
	jobs_platform_set_unresponsive(f.platform, 1, true);
	jobs_platform_delete(f.platform, key);
	CU_ASSERT_TRUE_FATAL(
		jobs_platform_add_address(f.platform, 0, port + 4));
	snprintf(key, sizeof(key), "servers/i-%d", port);
	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	snprintf(value, sizeof(value), "%s",
		 jobs_platform_get(f.platform, key));
	at = strstr(value, address);
	CU_ASSERT_PTR_NOT_NULL_FATAL(at);
	at[strlen(address) - 1] += 4;
	jobs_fixture_run(&f, 4000);
	jobs_platform_set_unresponsive(f.platform, 0, true);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_fixture_run(&f, 150);
	jobs_platform_set_unresponsive(f.platform, 0, false);
	jobs_platform_put(f.platform, key, value);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 8000));
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 5);
	jobs_fixture_tear_down(&f);
}

/*
 * When the owner resigns, the other VM adopts the running tasks with a higher
 * fencing token.
 */
static void test_takeover(void)
{
	struct jobs_fixture f;
	uint64_t token;
	int owner;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, !owner, "POST", JOB_A_PATH,
				     "{\"specification\":\"lasts\",\"steps\":[{"
				     "\"count\":2,\"cpu\":100,\"long-running\":"
				     "true,\"target-ms\":0}]}"),
		200);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, !owner, "POST", JOB_B_PATH, JOB_BODY),
		200);
	token = jobs_platform_fencing_token(f.platform);
	job_owner_resign(f.entries[owner].node.owner);
	jobs_fixture_run(&f, 100);
	jobs_fixture_stop_entry(&f, owner);
	CU_ASSERT(jobs_fixture_wait_completed(&f, !owner, JOB_B_PATH, 6000));
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), !owner);
	CU_ASSERT(jobs_platform_fencing_token(f.platform) > token);
	jobs_fixture_tear_down(&f);
}

/* A small VM that starts first must not become owner before a larger one. */
static void test_larger_vm_becomes_owner(void)
{
	struct jobs_fixture f = { .entry_count = 2,
				  .cpu_milli = { 120, 500 },
				  .start_interval_ms = 200 };

	jobs_fixture_start(&f);
	jobs_fixture_run(&f, 1000);
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), 1);
	jobs_fixture_tear_down(&f);
}

/* A process restarted on the owner's VM becomes owner without waiting. */
static void test_restarted_owner_claims_immediately(void)
{
	struct jobs_fixture f;
	uint64_t start_us;
	int owner;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	jobs_fixture_stop_entry(&f, owner);
	jobs_fixture_run(&f, 50);
	start_us = clock_now_us();
	jobs_fixture_start_entry(&f, owner);
	for (int i = 0; i < 100 && jobs_fixture_owner(&f) != owner; i++)
		jobs_fixture_run(&f, 10);
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), owner);
	CU_ASSERT(clock_now_us() - start_us < 800000);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, !owner, "POST", JOB_A_PATH, JOB_BODY),
		200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, !owner, JOB_A_PATH, 4000));
	jobs_fixture_tear_down(&f);
}

/*
 * While the store is unresponsive, the first submission has an unknown outcome
 * (504) and the next, with the circuit breaker open, is refused quickly. The
 * owner is asked: another VM would forward the second one to the owner, which
 * may have stored it (504).
 */
static void test_unresponsive_store(void)
{
	struct jobs_fixture f;
	uint64_t start_us;
	int owner;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	for (int i = 0; i < 300 && jobs_fixture_owner(&f) < 0; i++)
		jobs_fixture_run(&f, 10);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	jobs_platform_faults(f.platform)->unresponsive = true;
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, owner, "POST", JOB_A_PATH, JOB_BODY),
		504);
	start_us = clock_now_us();
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, owner, "POST", JOB_B_PATH, JOB_BODY),
		503);
	CU_ASSERT(clock_now_us() - start_us < 600000);
	CU_ASSERT_EQUAL(jobs_platform_count_keys(f.platform, "waxwing/in/"), 0);
	jobs_platform_faults(f.platform)->unresponsive = false;
	jobs_fixture_run(&f, 2500);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 5000));
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against work that is given up because the store was away for some
 * seconds and its owner had to be elected again.
 */
static void test_tasks_outlive_store_outage(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH,
				     "{\"specification\":\"lasts\",\"steps\":[{"
				     "\"count\":6,\"cpu\":100,\"long-running\":"
				     "true}]}"),
		200);
	jobs_fixture_run(&f, 2500);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 6);
	jobs_platform_faults(f.platform)->unresponsive = true;
	jobs_fixture_run(&f, 6300);
	jobs_platform_delete(f.platform, JOB_OWNER_KEY);
	jobs_platform_faults(f.platform)->unresponsive = false;
	jobs_fixture_run(&f, 2500);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 6);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 6);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against tasks whose leases end because no owner is elected until the
 * watch polls that were sent during an outage of the store have timed out. The
 * outage begins 1.5 s after polls were sent, so that they are repeated for the
 * second time shortly before its end.
 */
static void test_election_after_store_outage(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_put(f.platform, "waxwing/owner/note", "x");
	jobs_fixture_run(&f, 1500);
	jobs_platform_faults(f.platform)->unresponsive = true;
	jobs_fixture_run(&f, 6300);
	jobs_platform_delete(f.platform, JOB_OWNER_KEY);
	jobs_platform_faults(f.platform)->unresponsive = false;
	/* The leases of workers may end 2 s later. */
	jobs_fixture_run(&f, 2000);
	CU_ASSERT(jobs_fixture_owner(&f) >= 0);
	CU_ASSERT(jobs_platform_fencing_token(f.platform) >= 2);
	jobs_fixture_tear_down(&f);
}

/* If the owner key is deleted, the owner steps down and one is elected. */
static void test_ownership_revoked(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_platform_delete(f.platform, "waxwing/owner/lead");
	jobs_fixture_run(&f, 1500);
	CU_ASSERT(jobs_fixture_owner(&f) >= 0);
	CU_ASSERT_FALSE(job_owner_sched(f.entries[0].node.owner) &&
			job_owner_sched(f.entries[1].node.owner));
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 4000));
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against an owner that steps down, or counts on a lease, because of the
 * answer to a renewal of the lease that it held when it was owner before.
 */
static void test_renewal_of_former_lease(void)
{
	struct jobs_fixture f = { .entry_count = 1 };
	struct counter *elections;
	bool released = false;

	jobs_fixture_start(&f);
	jobs_fixture_run(&f, 800);
	CU_ASSERT_EQUAL_FATAL(jobs_fixture_owner(&f), 0);
	elections = counter_get(COUNTER, "waxwing_elections_total", NULL);
	jobs_platform_faults(f.platform)->hold_renewal = true;
	while (jobs_platform_faults(f.platform)->hold_renewal)
		jobs_fixture_run(&f, 5);
	counter_set(elections, 0);
	jobs_platform_delete(f.platform, JOB_OWNER_KEY);
	for (int i = 0; i < 100 && !released; i++) {
		jobs_fixture_run(&f, 5);
		if (counter_value(elections) && jobs_fixture_owner(&f) == 0)
			released = jobs_platform_release_renewal(f.platform);
	}
	CU_ASSERT(released);
	jobs_fixture_run(&f, 1500);
	CU_ASSERT_EQUAL(counter_value(elections), 1);
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), 0);
	jobs_fixture_tear_down(&f);
}

/* A malformed or older configuration is ignored. */
static void test_older_config_ignored(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_put(f.platform, "op/config", "{\"version\":9");
	jobs_fixture_run(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	jobs_platform_put(f.platform, "op/config", jobs_fixture_config());
	jobs_fixture_run(&f, 200);
	CU_ASSERT_EQUAL(f.entries[0].node.config->version, 8);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	jobs_fixture_tear_down(&f);
}

/* Malformed worker entries are ignored; other workers stay in use. */
static void test_malformed_worker_entries(void)
{
	struct jobs_fixture f;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	jobs_platform_put(f.platform, "servers/i-x", "\x01\x02 no json");
	jobs_platform_put(f.platform, "servers/i-y", "{\"service\":5}");
	jobs_platform_put(f.platform, "servers/i-z",
			  "{\"service\":\"svc\",\"address\":\"127.0.0.1:1\","
			  "\"state\":\"asleep\"}");
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 3000));
	jobs_fixture_tear_down(&f);
}

/* An entry VM with a configuration is ready until it drains. */
static void test_readiness(void)
{
	struct jobs_fixture f;
	struct http_conn *c;

	jobs_fixture_set_up(&f);
	c = http_conn_create(f.base, "127.0.0.1",
			     (uint16_t)(jobs_fixture_entry_port(0) + 1));
	f.status = 0;
	http_conn_call(c, "GET", "/waxwingflow/readiness", NULL, NULL, 0, 500,
		       jobs_fixture_on_reply, &f);
	jobs_fixture_run(&f, 100);
	CU_ASSERT_EQUAL(f.status, 200);
	f.entries[0].node.draining = true;
	http_conn_call(c, "GET", "/waxwingflow/readiness", NULL, NULL, 0, 500,
		       jobs_fixture_on_reply, &f);
	jobs_fixture_run(&f, 100);
	CU_ASSERT_EQUAL(f.status, 503);
	http_conn_free(c);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against one store call per changed worker entry: with many workers,
 * changes must be batched.
 */
static void test_worker_changes_batched(void)
{
	struct jobs_fixture f;
	uint32_t polls;
	char key[32];

	jobs_fixture_set_up(&f);
	polls = jobs_platform_worker_watch_polls(f.platform);
	for (int i = 0; i < 40; i++) {
		snprintf(key, sizeof(key), "servers/other-%d", i % 8);
		jobs_platform_put(f.platform, key, "{}");
		jobs_fixture_run(&f, 25);
	}
	polls = jobs_platform_worker_watch_polls(f.platform) - polls;
	/* One second of changes, one poll in 200 ms. */
	CU_ASSERT(polls >= 3 && polls <= 7);
	jobs_fixture_tear_down(&f);
}

/* Writes the first worker's entry again, as a heartbeat does. */
static void renew_entry(struct jobs_fixture *f, const struct sched *s,
			const char *entry, const char *state, int sequence)
{
	static const char ready[] = "\"state\":\"ready\"";
	const char *state_at = strstr(entry, ready);
	const char *rest = state_at + strlen(ready);
	int rest_len = (int)(strstr(rest, "\"sequence\":") - rest);
	char key[80], value[600];

	snprintf(key, sizeof(key), "servers/%s", s->workers[0].identity->id);
	snprintf(value, sizeof(value),
		 "%.*s\"state\":\"%s\"%.*s\"sequence\":%d}",
		 (int)(state_at - entry), entry, state, rest_len, rest,
		 sequence);
	jobs_platform_put(f->platform, key, value);
}

/* Waits until the first worker is in the given state. */
static bool wait_for_worker(struct jobs_fixture *f, const struct sched *s,
			    bool listed, bool draining)
{
	uint32_t polls = jobs_platform_worker_watch_polls(f->platform);

	for (int i = 0; i < 100; i++) {
		jobs_fixture_run(f, 20);
		/* A change is read before the next poll is sent. */
		if (jobs_platform_worker_watch_polls(f->platform) > polls &&
		    s->workers[0].listed == listed &&
		    s->workers[0].draining == draining)
			return true;
	}
	return false;
}

/*
 * Guards against an entry that is taken for the one before: a drain, its end
 * and a removed entry must be seen among renewals.
 */
static void test_renewed_worker_entries(void)
{
	struct jobs_fixture f;
	const struct sched *s;
	char entry[600], key[80];
	int owner;

	jobs_fixture_set_up(&f);
	jobs_fixture_set_queue_host(&f);
	CU_ASSERT_EQUAL(
		jobs_fixture_request(&f, 0, "POST", JOB_A_PATH, JOB_BODY), 200);
	CU_ASSERT(jobs_fixture_wait_completed(&f, 0, JOB_A_PATH, 3000));
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	s = job_owner_sched(f.entries[owner].node.owner);
	snprintf(key, sizeof(key), "servers/%s", s->workers[0].identity->id);
	snprintf(entry, sizeof(entry), "%s",
		 jobs_platform_get(f.platform, key));
	for (int i = 0; i < 2; i++) {
		int sequence = 10 * i + 5;

		renew_entry(&f, s, entry, "ready", sequence);
		CU_ASSERT(wait_for_worker(&f, s, true, false));
		renew_entry(&f, s, entry, "draining", sequence + 1);
		CU_ASSERT(wait_for_worker(&f, s, true, true));
		renew_entry(&f, s, entry, "draining", sequence + 2);
		CU_ASSERT(wait_for_worker(&f, s, true, true));
		renew_entry(&f, s, entry, "ready", sequence + 3);
		CU_ASSERT(wait_for_worker(&f, s, true, false));
		jobs_platform_delete(f.platform, key);
		CU_ASSERT(wait_for_worker(&f, s, false, false));
		renew_entry(&f, s, entry, "ready", sequence + 4);
		CU_ASSERT(wait_for_worker(&f, s, true, false));
	}
	jobs_fixture_tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "submit and complete", test_submit_and_complete },
		{ "bad input", test_bad_input },
		{ "cancel", test_cancel },
		{ "lost store answers", test_lost_store_answers },
		{ "store refuses", test_store_refuses },
		{ "compacted history", test_compacted_history },
		{ "lost worker answers", test_lost_worker_answers },
		{ "address changes during start",
		  test_address_changes_during_start },
		{ "takeover", test_takeover },
		{ "larger VM becomes owner", test_larger_vm_becomes_owner },
		{ "restarted owner claims immediately",
		  test_restarted_owner_claims_immediately },
		{ "unresponsive store", test_unresponsive_store },
		{ "tasks outlive store outage",
		  test_tasks_outlive_store_outage },
		{ "election after store outage",
		  test_election_after_store_outage },
		{ "ownership revoked", test_ownership_revoked },
		{ "renewal of former lease", test_renewal_of_former_lease },
		{ "older configuration ignored", test_older_config_ignored },
		{ "malformed worker entries", test_malformed_worker_entries },
		{ "worker changes batched", test_worker_changes_batched },
		{ "readiness", test_readiness },
		{ "renewed worker entries", test_renewed_worker_entries },
	};

	return RUN_SUITE("jobs-node", tests);
}
