#include <string.h>

#include "job-silent.h"
#include "sched-internal.h"
#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/*
 * Guards against a report that a worker sent before it restarted and that is
 * read after its entry shows the restart, as after a pause of the owner: the
 * ends that it lists would be acknowledged to the new incarnation, which
 * numbers its own from 1 again.
 */
static void test_report_from_before_restart(void)
{
	struct sched_run_end ends[40];
	struct sched_report before = { .ended = ends };
	struct model *m = job_model_create(2, CORES(16), GB(64));
	struct model_worker *w = &m->workers[0];
	struct model_job *j;
	struct sched_stats st;

	job_model_run(m, 100);
	j = job_model_add_job(m, "urgent", 1, 16, CORES(2), GB(2), 3000);
	job_model_submit(m, j);
	job_model_run(m, 200);
	CU_ASSERT_EQUAL(w->run_count, 8);
	before.requested_us = m->now_us;
	before.started_wall_ms = w->started_wall_ms;
	for (uint32_t i = 0; i < 40; i++)
		ends[i] = (struct sched_run_end){ .seq = i + 1,
						  .task = "",
						  .checkpoint = "" };
	before.ended_count = 40;
	job_model_crash_worker(m, w);
	w->restarts_us = m->now_us + 50000;
	w->mute = true;
	job_model_run(m, 500);
	CU_ASSERT_FALSE(
		sched_report(m->s, w->handle, &before, m->now_us, m->wall_ms));
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(sched_acknowledged_seq(m->s, w->handle), 0);
	w->mute = false;
	job_model_run(m, 6000);
	sched_stats(m->s, &st);
	CU_ASSERT_EQUAL(st.tasks_lost, 8);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	CU_ASSERT_EQUAL(m->faults.restarts_after_done, 0);
	job_model_free(m);
}

/* Starts a service task and makes its worker silent for good. */
static struct model_worker *lose_service(struct model *m)
{
	struct model_job *j;

	job_model_run(m, 100);
	j = job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(2), -1);
	j->spec.steps[0].long_running = true;
	job_model_submit(m, j);
	job_model_run(m, 500);
	for (uint32_t i = 0; i < m->worker_count; i++) {
		if (!m->workers[i].run_count)
			continue;
		m->workers[i].unresponsive = true;
		m->workers[i].entry_expired = true;
		return &m->workers[i];
	}
	CU_FAIL_FATAL("the service does not run");
	return NULL;
}

/* Time until the task runs on another worker, at most max_ms. */
static uint32_t wait_until_back(struct model *m,
				const struct model_worker *lost,
				uint32_t max_ms)
{
	for (uint32_t ms = 0; ms < max_ms; ms += 10) {
		for (uint32_t i = 0; i < m->worker_count; i++)
			if (&m->workers[i] != lost && m->workers[i].run_count)
				return ms;
		job_model_run(m, 10);
	}
	return max_ms;
}

static bool note_left(void *arg, const char *id, uint32_t left_ms)
{
	(void)id;
	*(uint32_t *)arg = left_ms;
	return true;
}

static bool no_room(void *arg, const char *id, uint32_t left_ms)
{
	(void)id;
	(void)left_ms;
	++*(uint32_t *)arg;
	return false;
}

#define LEASE_MS 6420u /* with slack */
#define TAKEOVER_MS 3000u

/*
 * Guards against services of a lost worker that stay away because a successor
 * waits for leases that its predecessor knew to end sooner.
 */
static void test_successor_waits_as_long_as_predecessor(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m);
	uint64_t lost_us = m->now_us;
	uint32_t left_ms = 0, back_ms;

	job_model_run(m, 1000);
	CU_ASSERT_FATAL(sched_silent_changed(m->s, m->now_us, true));
	sched_silent_collect(m->s, m->now_us, true, note_left, &left_ms);
	CU_ASSERT(left_ms && left_ms <= LEASE_MS - 1000 + 2);
	sched_silent_stored(m->s);
	job_model_run(m, 1500);
	job_model_fail_over(m);
	CU_ASSERT(sched_limit_lease(m->s, lost->id,
				    m->now_us + left_ms * 1000 - 1500000));
	back_ms = wait_until_back(m, lost, 20000);
	printf("back after %llu ms\n",
	       (unsigned long long)(m->now_us - lost_us) / 1000);
	CU_ASSERT((m->now_us - lost_us) / 1000 <= LEASE_MS + 200);
	CU_ASSERT(back_ms + 1500 + 50 >= left_ms);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/* Without a record the bound is that of a predecessor of which nothing is
 * known. */
static void test_successor_without_record_waits(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m);

	job_model_run(m, 1000);
	job_model_fail_over(m);
	/* A later end than the bound is no news. */
	CU_ASSERT_FALSE(
		sched_limit_lease(m->s, lost->id, m->now_us + 20000000));
	CU_ASSERT_FALSE(sched_limit_lease(m->s, "unknown", m->now_us));
	CU_ASSERT(wait_until_back(m, lost, 20000) >= LEASE_MS + TAKEOVER_MS);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/* Leases of this owner are not limited by what a predecessor recorded. */
static void test_record_is_void_after_report(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *w = lose_service(m);

	job_model_run(m, 1000);
	job_model_fail_over(m);
	w->unresponsive = false;
	w->entry_expired = false;
	job_model_run(m, 200);
	CU_ASSERT_FALSE(sched_limit_lease(m->s, w->id, m->now_us));
	w->unresponsive = true;
	job_model_run(m, 50);
	CU_ASSERT_FALSE(sched_limit_lease(m->s, w->id, m->now_us));
	CU_ASSERT(wait_until_back(m, w, 20000) >= 5800);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

/*
 * Guards against leases of a worker that a stored record, or one that may still
 * be stored, takes for silent.
 */
static void test_leases_withheld_until_record_without_worker(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *w = lose_service(m);
	uint32_t left_ms = 0;

	job_model_run(m, 100);
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	job_model_run(m, 700);
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, false));
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	CU_ASSERT_FALSE(sched_lease_withheld(m->s, w->handle));
	sched_silent_collect(m->s, m->now_us, true, note_left, &left_ms);
	CU_ASSERT(left_ms);
	CU_ASSERT(sched_lease_withheld(m->s, w->handle));
	job_model_run(m, 300);
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	/* It reports before the record is stored. */
	w->unresponsive = false;
	w->entry_expired = false;
	job_model_run(m, 200);
	CU_ASSERT(sched_lease_withheld(m->s, w->handle));
	sched_silent_stored(m->s);
	CU_ASSERT(sched_lease_withheld(m->s, w->handle));
	/* Due though no worker may be added. */
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, false));
	left_ms = 0;
	sched_silent_collect(m->s, m->now_us, false, note_left, &left_ms);
	CU_ASSERT_EQUAL(left_ms, 0);
	CU_ASSERT(sched_lease_withheld(m->s, w->handle));
	job_model_run(m, 200);
	CU_ASSERT(sched_lease_withheld(m->s, w->handle));
	sched_silent_stored(m->s);
	CU_ASSERT_FALSE(sched_lease_withheld(m->s, w->handle));
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	job_model_free(m);
}

/* A worker without room in the record gets leases, and causes no new records.
 */
static void test_full_record_leaves_workers_out(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *w = lose_service(m);
	uint32_t calls = 0;

	job_model_run(m, 1000);
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	sched_silent_collect(m->s, m->now_us, true, no_room, &calls);
	CU_ASSERT_EQUAL(calls, 1);
	sched_silent_stored(m->s);
	CU_ASSERT_FALSE(sched_lease_withheld(m->s, w->handle));
	job_model_run(m, 500);
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	job_model_free(m);
}

/*
 * A successor records what it took over, and what it waits for itself: at once
 * if the other workers have reported.
 */
static void test_successor_records_at_once(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *w = lose_service(m);
	uint32_t left_ms = 0;

	job_model_run(m, 1000);
	CU_ASSERT_FALSE(sched_awaits_reports(m->s));
	job_model_fail_over(m);
	job_model_run(m, 100);
	CU_ASSERT(sched_awaits_reports(m->s));
	/* The only worker with a task has not reported. */
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	CU_ASSERT(sched_limit_lease(m->s, w->id, m->now_us + 4000000));
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	sched_silent_collect(m->s, m->now_us, true, note_left, &left_ms);
	CU_ASSERT(left_ms >= 4000 && left_ms <= 4001);
	job_model_fail_over(m);
	job_model_run(m, 2000);
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	left_ms = 0;
	sched_silent_collect(m->s, m->now_us, true, note_left, &left_ms);
	CU_ASSERT(left_ms > LEASE_MS + TAKEOVER_MS - 2100);
	CU_ASSERT(left_ms <= LEASE_MS + TAKEOVER_MS - 1900);
	job_model_free(m);
}

/*
 * Guards against services that stay away because a successor that dies early
 * has recorded none of the few workers that have not reported to it.
 */
static void test_few_unheard_workers_are_recorded(void)
{
	struct model *m = job_model_create(5, CORES(16), GB(64));
	struct model_job *j;
	uint32_t left_ms = 0;

	job_model_run(m, 100);
	j = job_model_add_job(m, "urgent", 1, 5, CORES(10), GB(2), -1);
	j->spec.steps[0].long_running = true;
	job_model_submit(m, j);
	job_model_run(m, 500);
	m->workers[0].unresponsive = true;
	job_model_run(m, 1000);
	job_model_fail_over(m);
	CU_ASSERT_FALSE(sched_silent_changed(m->s, m->now_us, true));
	job_model_run(m, 100);
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	sched_silent_collect(m->s, m->now_us, true, note_left, &left_ms);
	CU_ASSERT(left_ms > LEASE_MS + TAKEOVER_MS - 200);
	CU_ASSERT(left_ms <= LEASE_MS + TAKEOVER_MS);
	job_model_free(m);
}

static bool note_id(void *arg, const char *id, uint32_t left_ms)
{
	(void)left_ms;
	snprintf(arg, JOB_NAME_BYTES, "%s", id);
	return true;
}

/*
 * Guards against services that stay away for 17 s: an owner takes the leases of
 * a worker as over before its first record and is lost before it has stored
 * that the tasks are to run elsewhere, so its successor finds them there and
 * knows no time.
 */
static void test_worker_whose_tasks_are_lost_is_recorded(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *w = lose_service(m);
	char id[JOB_NAME_BYTES] = "";
	struct sched_stats st;

	job_model_run(m, 1000);
	job_model_fail_over(m);
	CU_ASSERT(sched_limit_lease(m->s, w->id, m->now_us + 200000));
	job_model_run(m, 400);
	sched_stats(m->s, &st);
	CU_ASSERT_EQUAL(st.tasks_lost, 1);
	CU_ASSERT(sched_silent_changed(m->s, m->now_us, true));
	sched_silent_collect(m->s, m->now_us, true, note_id, id);
	CU_ASSERT_STRING_EQUAL(id, w->id);
	sched_silent_stored(m->s);
	/* By then the change is stored. */
	job_model_run(m, 3000);
	id[0] = '\0';
	sched_silent_collect(m->s, m->now_us, true, note_id, id);
	CU_ASSERT_STRING_EQUAL(id, "");
	job_model_free(m);
}

#define RECORD_EPOCH 7u

static bool update(struct silent_notes *n, uint64_t revision, const void *data,
		   size_t len, uint64_t now_us)
{
	struct error err;

	return !silent_notes_update(n, revision, data, len, now_us, &err);
}

/* The stored record, from an owner to the scheduler of its successor. */
static void test_record_of_direct_predecessor(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m);
	struct silent_notes n = { .revision = 0 };
	struct buffer b = BUFFER_INIT;
	uint64_t received_us;

	job_model_run(m, 1000);
	CU_ASSERT_EQUAL(silent_record_build(m->s, RECORD_EPOCH, m->now_us,
					    SILENT_RECORD_ADD, &b),
			1);
	received_us = m->now_us + 100000;
	CU_ASSERT_FATAL(update(&n, 5, b.data, b.len, received_us));
	CU_ASSERT_EQUAL_FATAL(n.count, 1);
	CU_ASSERT_EQUAL(n.epoch, RECORD_EPOCH);
	CU_ASSERT_STRING_EQUAL(n.list[0].id, lost->id);
	CU_ASSERT(n.list[0].end_us > received_us + 5000000);
	CU_ASSERT(n.list[0].end_us < received_us + 5600000);
	/* Read again later, it is not newer. */
	received_us = n.list[0].end_us;
	CU_ASSERT(update(&n, 5, b.data, b.len, m->now_us + 9000000));
	CU_ASSERT_EQUAL(n.list[0].end_us, received_us);
	job_model_fail_over(m);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH), 0);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 2), 0);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 1), 1);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 1), 0);
	silent_notes_clear(&n);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, 1), 0);
	buffer_free(&b);
	job_model_free(m);
}

/*
 * Guards against the end of a lease by an earlier record, in which the same
 * worker's leases were over sooner: a watch can deliver it after the latest one
 * has been read.
 */
static void test_older_record_comes_late(void)
{
	static const char old[] = "\x93\x01\x07\x91\x92\xa1w\x05";
	static const char latest[] = "\x93\x01\x07\x90";
	struct silent_notes n = { .revision = 0 };

	CU_ASSERT(update(&n, 9, latest, sizeof(latest) - 1, 1000));
	CU_ASSERT_EQUAL(n.count, 0);
	CU_ASSERT(update(&n, 8, old, sizeof(old) - 1, 2000));
	CU_ASSERT_EQUAL(n.count, 0);
	CU_ASSERT_EQUAL(n.revision, 9);
	CU_ASSERT_EQUAL(n.epoch, RECORD_EPOCH);
	/* The later one still counts. */
	CU_ASSERT(update(&n, 10, old, sizeof(old) - 1, 3000));
	CU_ASSERT_EQUAL(n.count, 1);
	silent_notes_clear(&n);
}

/*
 * Guards against a lease of a worker that is taken as over too early by the
 * last record of an owner: the one that it names for a later end, and one that
 * has reported to the successor.
 */
static void test_last_record(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m), *other;
	struct silent_notes n = { .revision = 0 };
	struct buffer b = BUFFER_INIT;
	uint64_t received_us;

	other = lost == &m->workers[0] ? &m->workers[1] : &m->workers[0];
	job_model_run(m, 50);
	CU_ASSERT_EQUAL(silent_record_build(m->s, RECORD_EPOCH, m->now_us,
					    SILENT_RECORD_ADD, &b),
			0);
	b.len = 0;
	CU_ASSERT_EQUAL(silent_record_build(m->s, RECORD_EPOCH, m->now_us,
					    SILENT_RECORD_LAST, &b),
			1);
	received_us = m->now_us + 20000;
	CU_ASSERT_FATAL(update(&n, 5, b.data, b.len, received_us));
	/* All leases: 6 s on a clock that runs 2% slow, and the delay. */
	CU_ASSERT(n.others_end_us >= m->now_us + 6120000 - 600000);
	CU_ASSERT(n.others_end_us <= received_us + LEASE_MS * 1020);
	CU_ASSERT(n.list[0].end_us <= n.others_end_us);
	n.list[0].end_us = n.others_end_us + 500000;
	job_model_fail_over(m);
	job_model_run(m, 1000);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 1), 1);
	CU_ASSERT_EQUAL(m->s->workers[lost->handle].lease_end_us,
			n.list[0].end_us);
	CU_ASSERT(m->s->workers[other->handle].lease_end_us != n.others_end_us);
	/* Not heard yet: of the record's other workers. */
	other->unresponsive = true;
	job_model_fail_over(m);
	job_model_run(m, 1000);
	CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 1), 2);
	CU_ASSERT_EQUAL(m->s->workers[other->handle].lease_end_us,
			n.others_end_us);
	silent_notes_clear(&n);
	buffer_free(&b);
	job_model_free(m);
}

/*
 * Guards against a lease that is taken as over too early after the owner before
 * was killed: one that an earlier owner granted, or an owner of which there is
 * no record.
 */
static void test_record_of_dead_predecessor(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m);
	struct buffer b[2] = { BUFFER_INIT, BUFFER_INIT };
	struct silent_notes n = { .revision = 0 };
	uint64_t exited_end_us, ends_us, inherited_us[2];
	struct sched_worker *w;

	job_model_run(m, 50);
	w = &m->s->workers[lost->handle];
	for (int settled = 0; settled < 2; settled++) {
		inherited_us[settled] =
			m->now_us + (settled ? 6000000 : 9000000);
		w->lease_end_us = inherited_us[settled];
		silent_record_build(m->s, RECORD_EPOCH, m->now_us,
				    SILENT_RECORD_ADD, &b[settled]);
	}
	for (int settled = 0; settled < 2; settled++) {
		CU_ASSERT_FATAL(update(&n, 5 + (uint64_t)settled,
				       b[settled].data, b[settled].len,
				       m->now_us));
		CU_ASSERT_EQUAL(n.count, 0);
		CU_ASSERT_EQUAL(n.settled, settled);
		CU_ASSERT(n.others_end_us >= inherited_us[settled]);
		CU_ASSERT(n.others_end_us >=
			  m->now_us + (LEASE_MS + SILENT_GRANT_MS) * 1000u);
		exited_end_us = m->now_us - 500000 + LEASE_MS * 1000u;
		job_model_fail_over(m);
		w = &m->s->workers[lost->handle];
		ends_us = n.others_end_us;
		silent_notes_limit_exited(&n, RECORD_EPOCH + 2, exited_end_us);
		CU_ASSERT_EQUAL(n.others_end_us, ends_us);
		silent_notes_limit_exited(&n, RECORD_EPOCH + 1, exited_end_us);
		CU_ASSERT_EQUAL(n.others_end_us,
				settled ? exited_end_us : ends_us);
		CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 2),
				0);
		CU_ASSERT_EQUAL(silent_notes_apply(&n, m->s, RECORD_EPOCH + 1),
				1);
		CU_ASSERT_EQUAL(w->lease_end_us,
				settled ? exited_end_us : ends_us);
		/* A bound that is over later changes nothing. */
		silent_notes_limit_exited(&n, RECORD_EPOCH + 1, UINT64_MAX);
		CU_ASSERT_EQUAL(n.others_end_us,
				settled ? exited_end_us : ends_us);
		buffer_free(&b[settled]);
	}
	silent_notes_clear(&n);
	job_model_free(m);
}

/*
 * Guards against a successor that takes leases as over too early by the record
 * that an owner has carried over, and against one that has to wait as if that
 * owner, which has granted nothing yet, might grant leases.
 */
static void test_record_carried_over(void)
{
	struct model *m = job_model_create(3, CORES(16), GB(64));
	struct model_worker *lost = lose_service(m);
	struct silent_notes n = { .revision = 0 }, next = { .revision = 0 };
	struct buffer b = BUFFER_INIT, carried = BUFFER_INIT;
	uint64_t now_us;

	job_model_run(m, 1000);
	silent_record_build(m->s, RECORD_EPOCH, m->now_us, SILENT_RECORD_ADD,
			    &b);
	CU_ASSERT_FATAL(update(&n, 5, b.data, b.len, m->now_us));
	now_us = m->now_us + 2000000;
	silent_record_carry(&n, RECORD_EPOCH + 1, now_us, 10720, LEASE_MS,
			    &carried);
	CU_ASSERT_FATAL(update(&next, 6, carried.data, carried.len, now_us));
	CU_ASSERT_EQUAL(next.epoch, RECORD_EPOCH + 1);
	CU_ASSERT_EQUAL_FATAL(next.count, 1);
	CU_ASSERT_STRING_EQUAL(next.list[0].id, lost->id);
	CU_ASSERT(next.list[0].end_us >= n.list[0].end_us);
	CU_ASSERT(next.list[0].end_us < n.list[0].end_us + 200000);
	CU_ASSERT(next.others_end_us >= n.others_end_us);
	CU_ASSERT(next.others_end_us < n.others_end_us + 200000);
	CU_ASSERT_FALSE(next.settled);
	/* The record of another owner, and none, say nothing. */
	for (uint64_t revision = 7; revision < 9; revision++) {
		carried.len = 0;
		silent_record_carry(&n, RECORD_EPOCH + 2, now_us, 10720,
				    LEASE_MS, &carried);
		CU_ASSERT_FATAL(update(&next, revision, carried.data,
				       carried.len, now_us));
		CU_ASSERT_EQUAL(next.count, 0);
		CU_ASSERT(next.others_end_us >= now_us + 10720000);
		CU_ASSERT_FALSE(next.settled);
		silent_notes_clear(&n);
	}
	silent_notes_clear(&next);
	buffer_free(&b);
	buffer_free(&carried);
	job_model_free(m);
}

/*
 * Guards against a successor that has to wait for leases that an owner's killed
 * process might grant, and against one that takes a carried record as settled
 * while a lease may be over later than one that is granted now.
 */
static void test_carried_record_settled(void)
{
	const uint64_t start_us = 1000000000, lease_us = LEASE_MS * 1000u;
	struct silent_notes n = { .revision = 0 };
	struct buffer carried = BUFFER_INIT;

	for (uint32_t late_ms = 0; late_ms < 2; late_ms++) {
		silent_notes_clear(&n);
		n.epoch = RECORD_EPOCH;
		n.settled = true;
		n.others_end_us = start_us + 2 * lease_us;
		silent_notes_limit_exited(&n, RECORD_EPOCH + 1,
					  start_us + lease_us +
						  late_ms * 1000u);
		carried.len = 0;
		silent_record_carry(&n, RECORD_EPOCH + 1, start_us + 1, 10720,
				    LEASE_MS, &carried);
		silent_notes_clear(&n);
		CU_ASSERT_FATAL(update(&n, 5, carried.data, carried.len,
				       start_us + 5000));
		CU_ASSERT_EQUAL(n.settled, !late_ms);
		CU_ASSERT(n.others_end_us >= start_us + lease_us);
		CU_ASSERT(n.others_end_us < start_us + lease_us + 200000);
	}
	silent_notes_clear(&n);
	buffer_free(&carried);
}

/* A record that cannot be read limits nothing. */
static void test_malformed_records(void)
{
	static const struct {
		const char *data;
		size_t len;
	} bad[] = {
		{ "", 0 },
		{ "x", 1 },
		{ "\x93\x01\x07", 3 },		    /* cut off */
		{ "\x92\x01\x07", 3 },		    /* no rows */
		{ "\x93\x02\x07\x90", 4 },	    /* another format */
		{ "\x93\x01\xa1w\x90", 5 },	    /* the epoch is a text */
		{ "\x93\x01\x07\x07", 4 },	    /* no array of rows */
		{ "\x93\x01\x07\x91\x07", 5 },	    /* no row */
		{ "\x93\x01\x07\x91\x91\xa1w", 7 }, /* no time */
		{ "\x93\x01\x07\x91\x92\x05\x05", 7 },
		{ "\x93\x01\x07\x91\x92\xa1w\xff", 8 }, /* negative */
		/* More than a minute. */
		{ "\x93\x01\x07\x91\x92\xa1w\xce\xff\xff\xff\xff", 12 },
	};
	static const char good[] = "\x93\x01\x07\x91\x92\xa1w\x05";
	struct silent_notes n = { .revision = 0 };

	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		CU_ASSERT(
			update(&n, 100 + 2 * i, good, sizeof(good) - 1, 1000));
		CU_ASSERT_EQUAL(n.count, 1);
		CU_ASSERT_FALSE(
			update(&n, 101 + 2 * i, bad[i].data, bad[i].len, 1000));
		CU_ASSERT_EQUAL(n.count, 0);
		CU_ASSERT_EQUAL(n.epoch, 0);
	}
	silent_notes_clear(&n);
}

/*
 * Guards against a score that is divided by a capacity that has wrapped to 0,
 * which ends the process on x86-64, and against room that has turned negative.
 */
static void test_largest_capacity(void)
{
	static const struct sched s = { .wall_ms = 1000000000 };
	struct sched_worker w = { .capacity = { UINT32_MAX, UINT32_MAX,
						UINT32_MAX },
				  .used = { .cpu_milli = UINT32_MAX / 2 },
				  .first_task = SCHED_NONE };
	struct job_step plain = { .count = 1 };
	struct job_step best_effort = { .count = 1, .best_effort = true };
	struct job_step service = { .count = 1, .long_running = true };
	int64_t other;

	CU_ASSERT_EQUAL(sched_worker_score(&s, &w, &plain, NULL), 500);
	CU_ASSERT_EQUAL(sched_worker_score(&s, &w, &best_effort, NULL), 500);
	other = sched_worker_score(&s, &w, &service, NULL);
	w.used.cpu_milli = 0;
	CU_ASSERT_EQUAL(other - sched_worker_score(&s, &w, &service, NULL),
			499);
	w.used.cpu_milli = UINT32_MAX / 2;
	CU_ASSERT_EQUAL(sched_probation_score(&s, &w), -499);
}

/* As above, of the room of a worker, which the index keeps in 32 bits. */
static void test_room_of_largest_capacity(void)
{
	struct model *m = job_model_create(1, UINT32_MAX, UINT32_MAX);
	struct model_job *j;

	job_model_run(m, 100);
	CU_ASSERT_EQUAL(m->s->rooms.rooms[0].cpu_milli, INT32_MAX);
	CU_ASSERT_EQUAL(m->s->rooms.rooms[0].best_effort_milli, INT32_MAX);
	CU_ASSERT_EQUAL(m->s->rooms.rooms[0].memory_mb, INT32_MAX);
	j = job_model_add_job(m, "urgent", 1, 4, CORES(2), GB(2), 300);
	j->spec.steps[0].best_effort = true;
	job_model_submit(m, j);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_state(m, j), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/*
 * Guards against a demand that wraps around and seems to fit: a worker would be
 * reserved for a task that never fits there.
 */
static void test_largest_demand(void)
{
	struct model *m = job_model_create(40, CORES(16), GB(64));
	struct model_job *huge, *running, *small;

	job_model_run(m, 100);
	running = job_model_add_job(m, "urgent", 1, 40, CORES(1), GB(1), 60000);
	job_model_submit(m, running);
	job_model_run(m, 200);
	huge = job_model_add_job(m, "urgent", 1, 8, CORES(1), UINT32_MAX, 300);
	job_model_submit(m, huge);
	job_model_run(m, 8000);
	for (uint32_t i = 0; i < m->worker_count; i++)
		CU_ASSERT_EQUAL(m->s->workers[i].reserved.cpu_milli, 0);
	small = job_model_add_job(m, "urgent", 1, 64, CORES(1), GB(1), 300);
	job_model_submit(m, small);
	job_model_run(m, 1000);
	CU_ASSERT_EQUAL(job_model_state(m, small), SCHED_JOB_COMPLETED);
	CU_ASSERT_EQUAL(job_model_state(m, huge), SCHED_JOB_QUEUED);
	job_model_free(m);
}

/*
 * Guards against tasks that stay on a worker that drains, until it leaves: a
 * new owner reads its entry before the report that lists its runs.
 */
static void test_draining_worker_is_emptied_after_change_of_owner(void)
{
	struct model *m = job_model_create(2, CORES(16), GB(64));
	struct model_job *service, *saved, *finite;

	job_model_run(m, 100);
	m->workers[1].draining = true;
	job_model_run(m, 20);
	service = job_model_add_job(m, "urgent", 1, 2, CORES(2), GB(2), -1);
	service->spec.steps[0].long_running = true;
	saved = job_model_add_job(m, "urgent", 1, 2, CORES(2), GB(2), 20000);
	saved->spec.steps[0].checkpoints = true;
	finite = job_model_add_job(m, "urgent", 1, 2, CORES(2), GB(2), 20000);
	job_model_submit(m, service);
	job_model_submit(m, saved);
	job_model_submit(m, finite);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(m->workers[0].run_count, 6);
	m->workers[0].draining = true;
	m->workers[1].draining = false;
	job_model_fail_over(m);
	job_model_run(m, 1000);
	/* The others may finish. */
	CU_ASSERT_EQUAL(m->workers[0].run_count, 2);
	CU_ASSERT_EQUAL(m->workers[1].run_count, 4);
	CU_ASSERT_EQUAL(m->stops, 4);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "report from before restart",
		  test_report_from_before_restart },
		{ "successor waits as long as predecessor",
		  test_successor_waits_as_long_as_predecessor },
		{ "successor without record waits",
		  test_successor_without_record_waits },
		{ "record is void after report",
		  test_record_is_void_after_report },
		{ "leases withheld until record without worker",
		  test_leases_withheld_until_record_without_worker },
		{ "full record leaves workers out",
		  test_full_record_leaves_workers_out },
		{ "successor records at once", test_successor_records_at_once },
		{ "few unheard workers are recorded",
		  test_few_unheard_workers_are_recorded },
		{ "worker whose tasks are lost is recorded",
		  test_worker_whose_tasks_are_lost_is_recorded },
		{ "record of direct predecessor",
		  test_record_of_direct_predecessor },
		{ "last record", test_last_record },
		{ "record of dead predecessor",
		  test_record_of_dead_predecessor },
		{ "record carried over", test_record_carried_over },
		{ "carried record settled", test_carried_record_settled },
		{ "older record comes late", test_older_record_comes_late },
		{ "malformed records", test_malformed_records },
		{ "draining worker is emptied after change of owner",
		  test_draining_worker_is_emptied_after_change_of_owner },
		{ "largest capacity", test_largest_capacity },
		{ "largest demand", test_largest_demand },
		{ "room of largest capacity", test_room_of_largest_capacity },
	};

	return RUN_SUITE("sched-worker", tests);
}
