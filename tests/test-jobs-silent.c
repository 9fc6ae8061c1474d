#include <event2/event.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "sched-internal.h"
#include "support-jobs-fixture.h"
#include "support-unit.h"

#define WORKERS 2
/* With so little CPU an owner calls no worker itself. */
#define RELAYED_CPU_MILLI 1
#define RELAYED_SETTLE_MS 2200

/*
 * The platform expects a task of a service back 6 s after its last run, and
 * allows 3 s more with room for it.
 */
#define BACK_MAX_MS 9000u
/* From the return of the store to the next lease of a worker that answers. */
#define LEASE_MAX_MS 500u
#define SERVICE                                                             \
	"{\"specification\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":100," \
	"\"long-running\":true,\"target-ms\":0}]}"

static void set_up(struct jobs_fixture *f, bool relayed)
{
	memset(f, 0, sizeof(*f));
	f->entry_count = relayed ? 3 : 2;
	f->start_interval_ms = relayed ? 0 : 400;
	for (int i = 0; relayed && i < f->entry_count; i++) {
		f->cpu_milli[i] = RELAYED_CPU_MILLI;
		f->relays[i] = true;
	}
	jobs_fixture_start(f);
	if (relayed)
		jobs_fixture_run(f, RELAYED_SETTLE_MS);
	jobs_fixture_set_queue_host(f);
}

/* Starts a service of one task and returns the worker that runs it. */
static int run_service(struct jobs_fixture *f)
{
	CU_ASSERT_EQUAL_FATAL(
		jobs_fixture_request(f, 0, "POST", JOB_A_PATH, SERVICE), 200);
	for (int t = 0; t < 300; t++) {
		for (int i = 0; i < WORKERS; i++)
			if (jobs_platform_worker_tasks(f->platform, i)) {
				/* Let a report list it. */
				jobs_fixture_run(f, 2500);
				return i;
			}
		jobs_fixture_run(f, 10);
	}
	CU_FAIL_FATAL("the service does not run");
	return 0;
}

/*
 * Waits until the silent worker is recorded: a poll without an answer is given
 * up within 2.8 s, the next one within 0.8 s.
 */
static void wait_for_record(struct jobs_fixture *f, int worker)
{
	const char *id = jobs_platform_worker_id(f->platform, worker);
	uint64_t end = clock_now_us() + 4000000;
	const char *record;

	while (clock_now_us() < end) {
		record = jobs_platform_get(f->platform, JOB_SILENT_KEY);
		if (record && strstr(record, id))
			return;
		jobs_fixture_run(f, 10);
	}
	CU_FAIL("the worker is not recorded");
}

static void wait_for_starts(struct jobs_fixture *f, uint32_t starts,
			    uint32_t max_ms)
{
	uint64_t end = clock_now_us() + max_ms * 1000ull;

	while (jobs_platform_starts(f->platform) < starts &&
	       clock_now_us() < end)
		jobs_fixture_run(f, 10);
}

enum owner_loss { KILLED, RESIGNS, REVOKED };

struct loss {
	enum owner_loss owner;
	bool crash;   /* of the worker; otherwise it runs on without answers */
	bool relayed; /* the owner calls workers through relays */
};

static void check_worker_and_owner_lost(struct loss loss)
{
	struct jobs_fixture f;
	uint64_t lost_us;
	int owner, worker;
	uint32_t ms;

	set_up(&f, loss.relayed);
	worker = run_service(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	if (!loss.crash)
		jobs_platform_set_unresponsive(f.platform, worker, true);
	else if (!jobs_platform_crash_worker(f.platform, worker))
		CU_FAIL("the worker cannot crash");
	lost_us = clock_now_us();
	wait_for_record(&f, worker);
	if (loss.owner == KILLED)
		jobs_fixture_stop_entry(&f, owner);
	else if (loss.owner == RESIGNS)
		job_owner_resign(f.entries[owner].node.owner);
	else
		jobs_platform_delete(f.platform, JOB_OWNER_KEY);
	wait_for_starts(&f, 2, 16000);
	ms = (uint32_t)(clock_now_us() - lost_us) / 1000;
	printf("owner=%d crash=%d relayed=%d: back after %u ms\n", loss.owner,
	       loss.crash, loss.relayed, ms);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	CU_ASSERT(ms <= BACK_MAX_MS);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against services of a lost worker that stay away for 14 s because its
 * owner is lost, too. The worker runs on until its lease ends, so that the
 * fixture sees a start that comes too early.
 */
static void test_worker_and_owner_lost(void)
{
	check_worker_and_owner_lost((struct loss){ .owner = KILLED });
	check_worker_and_owner_lost((struct loss){ .owner = RESIGNS });
	check_worker_and_owner_lost((struct loss){ .owner = REVOKED });
	check_worker_and_owner_lost(
		(struct loss){ .owner = KILLED, .crash = true });
}

static void test_worker_and_owner_lost_with_relays(void)
{
	check_worker_and_owner_lost(
		(struct loss){ .owner = KILLED, .relayed = true });
}

static int wait_for_owner(struct jobs_fixture *f, int former)
{
	uint64_t end = clock_now_us() + 6000000;
	int owner = -1;

	while (clock_now_us() < end) {
		owner = jobs_fixture_owner(f);
		if (owner >= 0 && owner != former)
			return owner;
		jobs_fixture_run(f, 10);
	}
	CU_FAIL_FATAL("there is no other owner");
	return -1;
}

struct planned_stop {
	uint32_t before_ms;  /* from the loss of the worker to the stop */
	uint32_t after_ms;   /* from the stop to the loss */
	uint32_t owners;     /* that stop in turn */
	uint32_t between_ms; /* from an election to the next stop */
	bool crash;	     /* of the worker; otherwise it runs on */
};

static void check_worker_lost_at_planned_stop(struct planned_stop p)
{
	struct jobs_fixture f = { .entry_count = 3, .start_interval_ms = 400 };
	uint64_t lost_us = 0;
	int owner = -1, worker;
	uint32_t ms;

	jobs_fixture_start(&f);
	jobs_fixture_set_queue_host(&f);
	worker = run_service(&f);
	for (uint32_t i = 0; i < p.owners; i++) {
		owner = i ? wait_for_owner(&f, owner) : jobs_fixture_owner(&f);
		CU_ASSERT_FATAL(owner >= 0);
		jobs_fixture_run(&f, i ? p.between_ms : 0);
		if (!i && p.before_ms) {
			jobs_platform_set_unresponsive(f.platform, worker,
						       true);
			lost_us = clock_now_us();
			jobs_fixture_run(&f, p.before_ms);
		}
		job_owner_resign(f.entries[owner].node.owner);
		if (i || p.before_ms)
			continue;
		jobs_fixture_run(&f, p.after_ms);
		if (!p.crash)
			jobs_platform_set_unresponsive(f.platform, worker,
						       true);
		else if (!jobs_platform_crash_worker(f.platform, worker))
			CU_FAIL("the worker cannot crash");
		lost_us = clock_now_us();
	}
	wait_for_starts(&f, 2, 16000);
	ms = (uint32_t)(clock_now_us() - lost_us) / 1000;
	printf("before=%u after=%u owners=%u: back after %u ms\n", p.before_ms,
	       p.after_ms, p.owners, ms);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	CU_ASSERT(ms <= BACK_MAX_MS);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against services that stay away for 12 to 14 s because their worker
 * is lost within a moment of a planned stop of the owner, which has not noticed
 * it: the successor has never heard the worker, nor has the next one.
 */
static void test_worker_lost_at_planned_stop(void)
{
	check_worker_lost_at_planned_stop(
		(struct planned_stop){ .owners = 1, .after_ms = 100 });
	check_worker_lost_at_planned_stop((struct planned_stop){
		.owners = 1, .after_ms = 100, .crash = true });
	check_worker_lost_at_planned_stop(
		(struct planned_stop){ .owners = 1, .before_ms = 200 });
	check_worker_lost_at_planned_stop((struct planned_stop){
		.owners = 2, .after_ms = 100, .between_ms = 500 });
}

/*
 * Guards against services that stay away because the owner is killed a moment
 * after their worker is lost, and is back at once: the former process grants no
 * lease any more.
 */
static void test_worker_lost_before_owner_restarts(void)
{
	struct jobs_fixture f;
	uint64_t lost_us;
	int owner, worker;
	uint32_t ms;

	set_up(&f, false);
	worker = run_service(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	/* Until the owner's predecessors can grant nothing. */
	jobs_fixture_run(&f, 3000);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	lost_us = clock_now_us();
	jobs_fixture_run(&f, 200);
	jobs_fixture_stop_entry(&f, owner);
	jobs_fixture_run(&f, 500);
	jobs_fixture_start_entry(&f, owner);
	wait_for_starts(&f, 2, 16000);
	ms = (uint32_t)(clock_now_us() - lost_us) / 1000;
	printf("back after %u ms\n", ms);
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), owner);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	CU_ASSERT(ms <= BACK_MAX_MS);
	jobs_fixture_tear_down(&f);
}

/* A call to the store, or a poll, that had no answer is repeated in 1.2 s. */
static void wait_for_lease(struct jobs_fixture *f, int worker)
{
	uint64_t end = clock_now_us() + 1500000;

	while (clock_now_us() < end) {
		if (jobs_platform_lease_left_ms(f->platform, worker) > 5000)
			return;
		jobs_fixture_run(f, 10);
	}
	CU_FAIL("the lease is not renewed");
}

/*
 * Guards against a lease for a worker that a stored record takes for silent:
 * while the store is away nobody can learn that it is not. When the store is
 * back, the leases are renewed.
 */
static void test_no_lease_before_record_is_stored(void)
{
	struct jobs_fixture f;
	uint64_t left_ms;
	int worker;

	set_up(&f, false);
	worker = run_service(&f);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	wait_for_record(&f, worker);
	left_ms = jobs_platform_lease_left_ms(f.platform, worker);
	jobs_platform_faults(f.platform)->unresponsive = true;
	jobs_platform_set_unresponsive(f.platform, worker, false);
	/* An unanswered poll is repeated after 1.1 s. */
	jobs_fixture_run(&f, 1200);
	CU_ASSERT(jobs_platform_lease_left_ms(f.platform, worker) < left_ms);
	jobs_platform_faults(f.platform)->unresponsive = false;
	wait_for_lease(&f, worker);
	/* Also later, and without a second run. */
	jobs_fixture_run(&f, 7000);
	CU_ASSERT_EQUAL(jobs_platform_worker_tasks(f.platform, worker), 1);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	jobs_fixture_tear_down(&f);
}

static bool owner_hears_worker(const struct jobs_fixture *f, int worker)
{
	const char *id = jobs_platform_worker_id(f->platform, worker);
	int owner = jobs_fixture_owner(f);
	struct sched *s;

	if (owner < 0)
		return false;
	s = job_owner_sched(f->entries[owner].node.owner);
	return s->workers[sched_find_worker(s, id)].responsive;
}

/* Waits until another transaction has come in, which is not answered. */
static void wait_for_ignored_txn(struct jobs_fixture *f)
{
	const struct platform_faults *faults =
		jobs_platform_faults(f->platform);
	uint32_t before = faults->ignored_txns;
	uint64_t end = clock_now_us() + 1500000;

	while (faults->ignored_txns == before && clock_now_us() < end)
		jobs_fixture_run(f, 1);
	CU_ASSERT(faults->ignored_txns > before);
}

/*
 * Guards against a lease that waits until the store's answer to an earlier
 * transaction is given up, though the store serves all that it gets: a recorded
 * worker is heard, and the store is back just after it has ignored a
 * transaction.
 */
static void test_lease_once_store_is_back(void)
{
	struct jobs_fixture f;
	uint64_t end, back_us;
	uint32_t ms;
	int worker;

	set_up(&f, false);
	worker = run_service(&f);
	end = clock_now_us() + 3000000;
	while (jobs_platform_lease_left_ms(f.platform, worker) < 5950 &&
	       clock_now_us() < end)
		jobs_fixture_run(&f, 1);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	wait_for_record(&f, worker);
	jobs_platform_faults(f.platform)->ignore_txns = true;
	jobs_platform_set_unresponsive(f.platform, worker, false);
	end = clock_now_us() + 2000000;
	while (!owner_hears_worker(&f, worker) && clock_now_us() < end)
		jobs_fixture_run(&f, 1);
	CU_ASSERT(owner_hears_worker(&f, worker));
	wait_for_ignored_txn(&f);
	jobs_platform_faults(f.platform)->ignore_txns = false;
	back_us = clock_now_us();
	wait_for_lease(&f, worker);
	ms = (uint32_t)(clock_now_us() - back_us) / 1000;
	printf("lease %u ms after the store is back, longest pause %.3f s\n",
	       ms, (double)jobs_platform_longest_pause_us(f.platform) / 1e6);
	CU_ASSERT(ms <= LEASE_MAX_MS);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	jobs_fixture_tear_down(&f);
}

/* With the store, such a worker gets leases again. */
static void test_leases_resume(void)
{
	struct jobs_fixture f;
	int worker;

	set_up(&f, false);
	worker = run_service(&f);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	wait_for_record(&f, worker);
	jobs_platform_set_unresponsive(f.platform, worker, false);
	wait_for_lease(&f, worker);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against a second run: a recorded worker answers its owner for a while
 * that cannot store it, then both are lost, and the successor goes by the
 * record.
 */
static void test_worker_that_was_back_while_store_was_away(void)
{
	struct jobs_fixture f;
	int owner, worker;

	set_up(&f, false);
	worker = run_service(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	wait_for_record(&f, worker);
	jobs_platform_faults(f.platform)->unresponsive = true;
	jobs_platform_set_unresponsive(f.platform, worker, false);
	jobs_fixture_run(&f, 1500);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	jobs_fixture_stop_entry(&f, owner);
	jobs_platform_faults(f.platform)->unresponsive = false;
	wait_for_starts(&f, 2, 16000);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	jobs_fixture_tear_down(&f);
}

/*
 * Guards against a loss that counts against the task, as if it might have
 * crashed its worker: the leases are over before the successor has read which
 * workers are listed. This one is listed all the time.
 */
static void test_listed_worker_has_not_crashed(void)
{
	struct jobs_fixture f;
	const struct sched *s;
	int owner, worker;
	uint64_t end;

	set_up(&f, false);
	worker = run_service(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	jobs_platform_set_unresponsive(f.platform, worker, true);
	wait_for_record(&f, worker);
	/* The next owner is elected more than 1 s after this one is killed. */
	while (jobs_platform_lease_left_ms(f.platform, worker) > 200)
		jobs_fixture_run(&f, 10);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	jobs_fixture_stop_entry(&f, owner);
	end = clock_now_us() + 4000000;
	while (!job_owner_sched(f.entries[!owner].node.owner) &&
	       clock_now_us() < end)
		event_base_loop(f.base, EVLOOP_ONCE);
	/* The read of the workers, just requested, takes some time. */
	jobs_platform_faults(f.platform)->unresponsive = true;
	jobs_fixture_run(&f, 50);
	jobs_platform_faults(f.platform)->unresponsive = false;
	wait_for_starts(&f, 2, 16000);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 2);
	s = job_owner_sched(f.entries[!owner].node.owner);
	CU_ASSERT_PTR_NOT_NULL_FATAL(s);
	CU_ASSERT_EQUAL_FATAL(s->job_count, 1);
	CU_ASSERT_EQUAL(s->tasks[s->jobs[0].occurrences[0].first_task].losses,
			0);
	jobs_fixture_tear_down(&f);
}

/* A record that cannot be read, or is removed, changes no more than the wait.
 */
static void test_malformed_record(void)
{
	struct jobs_fixture f;
	int owner;

	set_up(&f, false);
	run_service(&f);
	owner = jobs_fixture_owner(&f);
	CU_ASSERT_FATAL(owner >= 0);
	jobs_platform_put(f.platform, JOB_SILENT_KEY, "no record");
	jobs_fixture_run(&f, 100);
	jobs_platform_delete(f.platform, JOB_SILENT_KEY);
	jobs_fixture_run(&f, 100);
	jobs_platform_put(f.platform, JOB_SILENT_KEY, "no record");
	jobs_platform_faults(f.platform)->compact_history = true;
	jobs_fixture_run(&f, 300);
	jobs_fixture_stop_entry(&f, owner);
	jobs_fixture_run(&f, 4000);
	CU_ASSERT_EQUAL(jobs_fixture_owner(&f), !owner);
	CU_ASSERT_EQUAL(jobs_platform_running_tasks(f.platform), 1);
	CU_ASSERT_EQUAL(jobs_platform_starts(f.platform), 1);
	jobs_fixture_tear_down(&f);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "worker and owner lost", test_worker_and_owner_lost },
		{ "worker and owner lost with relays",
		  test_worker_and_owner_lost_with_relays },
		{ "worker lost at planned stop",
		  test_worker_lost_at_planned_stop },
		{ "worker lost before owner restarts",
		  test_worker_lost_before_owner_restarts },
		{ "no lease before record is stored",
		  test_no_lease_before_record_is_stored },
		{ "lease once store is back", test_lease_once_store_is_back },
		{ "leases resume", test_leases_resume },
		{ "worker that was back while store was away",
		  test_worker_that_was_back_while_store_was_away },
		{ "listed worker has not crashed",
		  test_listed_worker_has_not_crashed },
		{ "malformed record", test_malformed_record },
	};

	return RUN_SUITE("jobs-silent", tests);
}
