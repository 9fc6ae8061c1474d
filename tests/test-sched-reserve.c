#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sched-internal.h>

#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/*
 * The platform expects a task of a service back 6 s after its last run, and
 * allows 3 s more with room for it.
 */
#define ABSENCE_MAX_MS 9000u

static struct model_job *add_service(struct model *m, uint32_t count,
				     uint32_t cpu_milli)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, count, cpu_milli, GB(1), 100);

	j->spec.steps[0].long_running = true;
	j->work_ms[0] = -1;
	return j;
}

/* Runs the model while urgent jobs need more CPU than the services leave. */
static void run_under_urgent_load(struct model *m, uint32_t ms,
				  uint32_t interval_ms, uint32_t cpu_milli,
				  const struct model_job *service,
				  struct model_absences *absences)
{
	for (uint32_t t = 0; t < ms; t += 100) {
		if (t % interval_ms == 0)
			job_model_submit(m,
					 job_model_add_job(m, "urgent", 1, 12,
							   cpu_milli, GB(1),
							   500 + t * 37 % 900));
		job_model_run(m, 100);
		job_model_observe_absences(m, service, absences, 100);
	}
	printf("longest absence %u ms, %u stops\n", absences->longest_ms,
	       m->stops);
}

static bool is_absent(const struct sched *s, const struct sched_task *t)
{
	return (t->state == TASK_WAITING ||
		(t->state == TASK_STOPPING && t->preempted)) &&
	       t->run && sched_task_step(s, t)->long_running;
}

static uint32_t recount_absent(const struct sched *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->job_count; i++) {
		const struct job *j = &s->jobs[i];
		uint32_t count = j->used ? job_spec_task_count(&j->spec) : 0;

		for (uint32_t k = 0; k < j->occurrence_count; k++)
			for (uint32_t m = 0;
			     j->occurrences[k].used && m < count; m++)
				n += is_absent(
					s,
					&s->tasks[j->occurrences[k].first_task +
						  m]);
	}
	return n;
}

/* The successor numbers the workers anew; lost ones are not listed again. */
static void fail_over(struct model *m)
{
	job_model_fail_over(m);
	for (uint32_t i = 0; i < m->worker_count; i++)
		m->workers[i].handle = sched_worker_add(m->s, m->workers[i].id);
}

static void disturb(struct model *m, struct rng *rng)
{
	struct model_worker *w = &m->workers[rng_next(rng) % m->worker_count];

	switch (rng_next(rng) % 10) {
	case 0:
		job_model_crash_worker(m, w);
		break;
	case 1:
		job_model_lose_worker(m, w);
		break;
	case 2:
		w->entry_expired = false;
		w->restarts_us = w->unresponsive ? m->now_us + 10 : 0;
		break;
	case 3:
		w->draining = !w->draining;
		break;
	case 4:
		w->failing = !w->failing;
		break;
	case 5:
		fail_over(m);
		break;
	case 6:
		sched_cancel(m->s,
			     m->jobs[rng_next(rng) % m->job_count].spec.id,
			     m->now_us, m->wall_ms);
		break;
	case 7:
		if (!w->unresponsive)
			break;
		sched_worker_dead(m->s, w->handle, m->now_us);
		break;
	case 8:
		job_model_policy(m);
		break;
	default:
		m->stop_ms = rng_next(rng) % 3 * 100;
	}
}

/*
 * Guards against a count of absent services that is off: below zero it would
 * stop all preemption.
 */
static void test_count_of_absent_services_is_exact(void)
{
	uint32_t wrong = 0, checked = 0, most = 0, preempted = 0;

	for (uint32_t seed = 1; seed <= 12; seed++) {
		struct model *m = job_model_create(10, CORES(32), GB(64));
		struct rng rng = { .state = seed };

		m->settings.status_retention_s = 2;
		m->store_delay_ms = seed % 3 * 20;
		job_model_run(m, 100);
		for (uint32_t t = 0; t < 40000; t += 10) {
			if (t % 700 == 0 && (seed % 2 || t < 7000)) {
				struct model_job *j = add_service(
					m, 1 + rng_next(&rng) % 8,
					CORES(1 + rng_next(&rng) % 12));

				j->spec.steps[0].gang = rng_next(&rng) % 4 == 0;
				j->spec.steps[0].per_worker_max =
					rng_next(&rng) % 3;
				job_model_submit(m, j);
			}
			if (t % 400 == 0)
				job_model_submit(
					m,
					job_model_add_job(
						m, "urgent", 2, 6,
						CORES(2 + rng_next(&rng) % 12),
						GB(1), 600));
			if (t % 900 == 0)
				disturb(m, &rng);
			job_model_run(m, 10);
			checked++;
			wrong += recount_absent(m->s) != m->s->absent_services;
			for (uint32_t i = 0; i < m->s->task_count; i++)
				preempted += m->s->tasks[i].preempted;
			if (m->s->absent_services > most)
				most = m->s->absent_services;
		}
		job_model_free(m);
	}
	printf("%u checks, %u wrong, at most %u absent, %u times preempted\n",
	       checked, wrong, most, preempted);
	CU_ASSERT_EQUAL(wrong, 0);
	CU_ASSERT(most > 0);
	CU_ASSERT(preempted > 0);
}

/*
 * Guards against a service whose run ended by itself and that counts as absent
 * since an earlier absence, before others that have been away for longer.
 */
static void test_absence_begins_with_end_of_run(void)
{
	struct model *m = job_model_create(2, CORES(32), GB(64));
	struct model_job *service;
	struct sched_task *t;
	char name[SCHED_TASK_NAME_BYTES];

	job_model_run(m, 100);
	service = add_service(m, 1, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 20000);
	snprintf(name, sizeof(name), "%s.0.0.0", service->spec.id);
	t = sched_task_find(m->s, name);
	CU_ASSERT_PTR_NOT_NULL_FATAL(t);
	CU_ASSERT_EQUAL_FATAL(t->state, TASK_RUNNING);
	sched_task_ended(m->s, t, SCHED_END_DONE, "");
	CU_ASSERT_EQUAL(t->state, TASK_WAITING);
	CU_ASSERT_EQUAL(t->absent_since_us, m->s->now_us);
	job_model_free(m);
}

/*
 * Load pattern: tasks of lost workers wait under urgent load, and the owner
 * changes. Guards against a wait that begins anew with it: the successor knows
 * from the record that the task has run and that it is on no worker.
 */
static void test_services_that_wait_come_first_after_change_of_owner(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t late = 0;

	job_model_run(m, 100);
	service = add_service(m, 60, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 60);
	run_under_urgent_load(m, 3000, 100, CORES(2), service, &absences);
	for (uint32_t i = 0; i < 3; i++)
		job_model_lose_worker(m, &m->workers[i]);
	/* The leases are over after this, and the tasks wait. */
	run_under_urgent_load(m, 6400, 100, CORES(2), service, &absences);
	fail_over(m);
	/* All workers report to the successor within this. */
	job_model_run(m, 500);
	for (uint32_t i = 0; i < m->s->task_count; i++) {
		const struct sched_task *t = &m->s->tasks[i];
		struct sched_task **list;

		late += t->state == TASK_WAITING && t->run &&
			sched_task_step(m->s, t)->long_running &&
			!sched_overdue_tasks(m->s, &m->s->tasks[i], 1, &list);
	}
	printf("%u tasks wait that do not come first\n", late);
	CU_ASSERT_EQUAL(late, 0);
	job_model_free(m);
}

/*
 * Guards against a gang whose wait for one rack begins anew with each try: it
 * fits on two racks together, but is never placed there.
 */
static void test_gang_that_fits_in_no_rack_is_placed(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_job *gang;

	job_model_run(m, 100);
	/* A rack has eight workers, each with room for one member. */
	gang = job_model_add_job(m, "urgent", 1, 12, CORES(20), GB(1), 500);
	gang->spec.steps[0].gang = true;
	gang->spec.steps[0].same_rack = true;
	job_model_submit(m, gang);
	job_model_run(m, 5000);
	CU_ASSERT_EQUAL(job_model_state(m, gang), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/*
 * Load pattern: a large service that fits nowhere waits, and the others fill
 * the workers. Guards against urgent jobs that wait for it: no stop makes it
 * wait longer. The bound is that of 'urgent job preempts services'.
 */
static void test_service_that_fits_nowhere_stops_no_preemption(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_job *urgent[6];

	job_model_run(m, 100);
	job_model_submit(m, add_service(m, 80, CORES(6)));
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	/* Larger than any worker. */
	job_model_submit(m, add_service(m, 8, CORES(33)));
	for (int i = 0; i < 6; i++) {
		urgent[i] = job_model_add_job(m, "urgent", 1, 4, CORES(12),
					      GB(8), 500);
		job_model_submit(m, urgent[i]);
		job_model_run(m, 400);
	}
	job_model_run(m, 1000);
	printf("%u stops\n", m->stops);
	for (int i = 0; i < 6; i++)
		CU_ASSERT(urgent[i]->completed_ms &&
			  urgent[i]->completed_ms <=
				  urgent[i]->submitted_ms + 1200);
	job_model_free(m);
}

/*
 * Load pattern: urgent jobs stop services, then small ones take each piece of
 * CPU that becomes free, while another service has waited for longer. Returns
 * the longest absence.
 */
static uint32_t absence_beside(struct model_job *(*add_other)(struct model *))
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	job_model_run(m, 500);
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	if (add_other)
		job_model_submit(m, add_other(m));
	job_model_run(m, 4000);
	run_under_urgent_load(m, 1500, 300, CORES(12), service, &absences);
	CU_ASSERT(m->stops > 0);
	run_under_urgent_load(m, 20000, 100, CORES(2), service, &absences);
	job_model_free(m);
	return absences.longest_ms;
}

static struct model_job *add_too_much_memory(struct model *m)
{
	struct model_job *j = add_service(m, 5, CORES(1));

	j->spec.steps[0].demand.memory_mb = GB(65);
	return j;
}

/*
 * Guards against searches for services with more memory than any worker has
 * that leave none for others.
 */
static void test_services_with_too_much_memory_hold_up_no_others(void)
{
	CU_ASSERT(absence_beside(NULL) <= ABSENCE_MAX_MS);
	CU_ASSERT(absence_beside(add_too_much_memory) <= ABSENCE_MAX_MS);
}

static bool lose_if_service(struct model *m, struct model_worker *w)
{
	for (uint32_t k = 0; k < w->run_count; k++)
		if (w->runs[k].long_running) {
			job_model_lose_worker(m, w);
			return true;
		}
	return false;
}

/*
 * Long tasks on all workers, beside which a task of a service fits; half of
 * the workers have room for these. Larger ones fit beside no long task.
 */
static uint32_t absence_beside_larger(uint32_t larger)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t lost = 0;

	job_model_run(m, 100);
	job_model_submit(m, job_model_add_job(m, "urgent", 1, 16, CORES(16),
					      GB(1), 600000));
	job_model_run(m, 500);
	service = add_service(m, 8, CORES(14));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 24);
	if (larger)
		job_model_submit(m, add_service(m, larger, CORES(18)));
	run_under_urgent_load(m, 3000, 100, CORES(2), service, &absences);
	for (uint32_t i = 0; i < 16; i++)
		lost += !lost && lose_if_service(m, &m->workers[i]);
	run_under_urgent_load(m, 25000, 100, CORES(2), service, &absences);
	job_model_free(m);
	return absences.longest_ms;
}

/*
 * Guards against a reservation for a service that fits once long tasks have
 * ended, and that keeps others from reserving until then.
 */
static void test_reservation_for_far_future_holds_up_no_others(void)
{
	CU_ASSERT(absence_beside_larger(0) <= ABSENCE_MAX_MS);
	CU_ASSERT(absence_beside_larger(1) <= ABSENCE_MAX_MS);
	CU_ASSERT(absence_beside_larger(5) <= ABSENCE_MAX_MS);
}

static struct model_job *add_unknown_label(struct model *m)
{
	struct model_job *j = add_service(m, 5, CORES(2));

	strcpy(j->spec.steps[0].label, "none");
	return j;
}

static void test_services_with_unknown_label_hold_up_no_others(void)
{
	CU_ASSERT(absence_beside(add_unknown_label) <= ABSENCE_MAX_MS);
}

static uint32_t absence_of_lost_service(uint32_t workers)
{
	struct model *m = job_model_create(workers, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t lost = 0;

	job_model_run(m, 100);
	service = add_service(m, 4, CORES(12));
	job_model_submit(m, service);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(job_model_running(m), 4);
	for (uint32_t t = 0; t < 25000; t += 100) {
		job_model_submit(m,
				 job_model_add_job(m, "urgent", 1, 20, CORES(2),
						   GB(1), 500 + t * 37 % 900));
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
		for (uint32_t i = 0; t > 2000 && !lost && i < workers; i++)
			lost += lose_if_service(m, &m->workers[i]);
	}
	printf("lost %u workers, longest absence %u ms\n", lost,
	       absences.longest_ms);
	job_model_free(m);
	return absences.longest_ms;
}

/*
 * Load pattern: small urgent tasks take each piece of CPU that becomes free.
 * Guards against a lost service that never comes back.
 */
static void test_lost_service_comes_back(void)
{
	CU_ASSERT(absence_of_lost_service(10) <= ABSENCE_MAX_MS);
}

/* Guards against services that cannot reserve on a site with few workers. */
static void test_services_reserve_on_few_workers(void)
{
	CU_ASSERT(absence_of_lost_service(7) <= ABSENCE_MAX_MS);
}

/* Searches of the last round while many tasks wait. */
static uint32_t count_searches(const char *label, uint32_t cpu_milli)
{
	struct model *m = job_model_create(40, CORES(32), GB(64));
	uint32_t n;

	job_model_run(m, 100);
	job_model_submit(m, add_service(m, 200, CORES(6)));
	job_model_run(m, 500);
	for (uint32_t i = 0; i < 100; i++) {
		struct model_job *j = job_model_add_job(
			m, "urgent", 1, 100, cpu_milli, GB(1), 20000);

		strcpy(j->spec.steps[0].label, label);
		job_model_submit(m, j);
	}
	job_model_run(m, 200);
	n = m->s->blank_searches + m->s->reserve_searches;
	printf("%u searches, label '%s'\n", n, label);
	job_model_free(m);
	return n;
}

/*
 * Load pattern: thousands of tasks wait that fit on no worker. Guards against a
 * search for each of them in each round; a step needs one. What they cost is in
 * bench-jobs, jobs-nowhere.
 */
static void test_tasks_that_fit_nowhere_are_searched_for_once(void)
{
	CU_ASSERT(count_searches("none", CORES(2)) <= 100);
	CU_ASSERT(count_searches("", CORES(40)) <= 100);
}

/*
 * A step that prefers a rack waits there for half of its estimate. Guards
 * against a wait that counts from 0 for a task that was never placed.
 */
static void test_first_placement_waits_for_rack(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_job *full, *job;

	job_model_run(m, 100);
	full = job_model_add_job(m, "urgent", 1, 8, CORES(32), GB(1), 1000);
	strcpy(full->spec.steps[0].label, "r0");
	job_model_submit(m, full);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(job_model_running(m), 8);
	/* Room in its rack after 0.6 s; it may wait for 2 s. */
	job = job_model_add_job(m, "urgent", 1, 1, CORES(4), GB(1), 4000);
	strcpy(job->spec.steps[0].rack, "r0");
	job_model_submit(m, job);
	job_model_run(m, 1500);
	for (uint32_t i = 8; i < 16; i++)
		CU_ASSERT_EQUAL(m->workers[i].run_count, 0);
	CU_ASSERT_EQUAL(job_model_running(m), 1);
	job_model_free(m);
}

/*
 * Guards against a start that was given up and that ends the absence, although
 * it did not become a run.
 */
static struct model_fate lose_then_refuse(struct model *m,
					  const struct sched_order *o)
{
	uint32_t *starts = m->fate_arg;

	if (o->type != SCHED_START)
		return (struct model_fate){ .outcome = MODEL_EXECUTED };
	if (++*starts == 1)
		return (struct model_fate){ .outcome = MODEL_LOST };
	if (*starts == 2)
		return (struct model_fate){ .outcome = MODEL_REFUSED,
					    .result = SCHED_NO_CAPACITY };
	return (struct model_fate){ .outcome = MODEL_EXECUTED };
}

static void test_start_given_up_does_not_end_absence(void)
{
	struct model *m = job_model_create(2, CORES(32), GB(64));
	struct model_job *service;
	struct sched_task *t;
	char name[SCHED_TASK_NAME_BYTES];
	uint32_t starts = 0;
	uint64_t since_us;

	m->fate = lose_then_refuse;
	m->fate_arg = &starts;
	job_model_run(m, 100);
	service = add_service(m, 1, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 20);
	snprintf(name, sizeof(name), "%s.0.0.0", service->spec.id);
	t = sched_task_find(m->s, name);
	CU_ASSERT_PTR_NOT_NULL_FATAL(t);
	since_us = t->absent_since_us;
	CU_ASSERT(since_us > 0);
	job_model_run(m, 10000);
	CU_ASSERT(starts > 2);
	CU_ASSERT_EQUAL(t->state, TASK_RUNNING);
	CU_ASSERT_EQUAL(t->absent_since_us, since_us);
	job_model_free(m);
}

/*
 * Guards against finite tasks that come before more urgent ones because their
 * job has a service, too.
 */
static void test_finite_tasks_beside_service_do_not_come_first(void)
{
	struct model *m = job_model_create(10, CORES(32), GB(64));
	struct model_job *mixed, *urgent;

	job_model_run(m, 100);
	job_model_submit(m, job_model_add_job(m, "urgent", 1, 160, CORES(2),
					      GB(1), 1000));
	job_model_run(m, 500);
	mixed = job_model_add_job(m, "batch", 2, 150, CORES(2), GB(1), 2000);
	mixed->spec.steps[0].count = 1;
	mixed->spec.steps[0].long_running = true;
	mixed->spec.steps[1].depends_on = 0;
	mixed->work_ms[0] = -1;
	job_model_submit(m, mixed);
	urgent = job_model_add_job(m, "urgent", 1, 150, CORES(2), GB(1), 500);
	job_model_submit(m, urgent);
	job_model_run(m, 1500);
	CU_ASSERT_EQUAL(job_model_state(m, urgent), SCHED_JOB_COMPLETED);
	job_model_free(m);
}

/*
 * Load pattern: 'no service is stopped while many are away', but before the
 * leases of the lost workers are over. Guards against a limit that does not
 * count tasks on silent workers.
 */
static void test_no_service_is_stopped_while_workers_are_silent(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t stops;

	job_model_run(m, 100);
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	for (uint32_t i = 0; i < 4; i++)
		job_model_lose_worker(m, &m->workers[i]);
	/* They are known to be silent after 0.4 s. */
	job_model_run(m, 500);
	stops = m->stops;
	run_under_urgent_load(m, 5000, 300, CORES(12), service, &absences);
	CU_ASSERT_EQUAL(m->stops, stops);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "count of absent services is exact",
		  test_count_of_absent_services_is_exact },
		{ "absence begins with the end of a run",
		  test_absence_begins_with_end_of_run },
		{ "services that wait come first after a change of owner",
		  test_services_that_wait_come_first_after_change_of_owner },
		{ "gang that fits in no rack is placed",
		  test_gang_that_fits_in_no_rack_is_placed },
		{ "first placement waits for the rack",
		  test_first_placement_waits_for_rack },
		{ "start that was given up does not end absence",
		  test_start_given_up_does_not_end_absence },
		{ "service that fits nowhere stops no preemption",
		  test_service_that_fits_nowhere_stops_no_preemption },
		{ "services with too much memory hold up no others",
		  test_services_with_too_much_memory_hold_up_no_others },
		{ "services with unknown label hold up no others",
		  test_services_with_unknown_label_hold_up_no_others },
		{ "lost service comes back", test_lost_service_comes_back },
		{ "reservation for the far future holds up no others",
		  test_reservation_for_far_future_holds_up_no_others },
		{ "finite tasks beside a service do not come first",
		  test_finite_tasks_beside_service_do_not_come_first },
		{ "no service is stopped while workers are silent",
		  test_no_service_is_stopped_while_workers_are_silent },
		{ "services reserve on few workers",
		  test_services_reserve_on_few_workers },
		{ "tasks that fit nowhere are searched for once",
		  test_tasks_that_fit_nowhere_are_searched_for_once },
	};

	return RUN_SUITE("sched-reserve", tests);
}
