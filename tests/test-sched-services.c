#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched-internal.h"
#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/*
 * The platform expects a task of a service back 6 s after its last run, and
 * allows 3 s more with room for it.
 */
#define ABSENCE_MAX_MS 9000u
/* It allows the same 3 s once a task's turn has come. */
#define FIRST_START_MAX_MS 3000u

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

/*
 * Load pattern: urgent jobs stop services without a pause, and tasks of another
 * service, which wait for longer, fit on no worker. Guards against searches for
 * these that leave none for the tasks which fit.
 */
static void test_services_that_fit_nowhere_hold_up_no_others(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	job_model_submit(m, add_service(m, 5, CORES(31)));
	job_model_run(m, 4000);
	/* These stop services; the small ones then take the room. */
	run_under_urgent_load(m, 1500, 300, CORES(12), service, &absences);
	CU_ASSERT(m->stops > 0);
	run_under_urgent_load(m, 20000, 100, CORES(2), service, &absences);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	job_model_free(m);
}

/*
 * Load pattern: a fifth of the workers is gone while urgent tasks take all CPU
 * that becomes free. Guards against lost services that wait again, once their
 * leases are over, before they come first.
 */
static void test_services_of_lost_workers_come_first(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service(m, 60, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 60);
	run_under_urgent_load(m, 3000, 100, CORES(2), service, &absences);
	for (uint32_t i = 0; i < 3; i++)
		job_model_lose_worker(m, &m->workers[i]);
	run_under_urgent_load(m, 20000, 100, CORES(2), service, &absences);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	job_model_free(m);
}

/*
 * Load pattern: a part of the workers is gone and the services fill the others.
 * Guards against services that are stopped for urgent tasks although as many
 * are away as may be: each would wait behind the lost ones.
 */
static void test_no_service_is_stopped_while_many_are_away(void)
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
	job_model_run(m, 7000);
	stops = m->stops;
	run_under_urgent_load(m, 10000, 300, CORES(12), service, &absences);
	CU_ASSERT_EQUAL(m->stops, stops);
	job_model_free(m);
}

/*
 * Load pattern: small urgent tasks take each piece of CPU that becomes free on
 * the one worker where a task of a service may run, the others have their task
 * of the step and room. Guards against a reservation on one of those.
 */
static void test_reservation_respects_limit_of_tasks_on_worker(void)
{
	struct model *m = job_model_create(9, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service, *urgent;

	job_model_run(m, 100);
	for (uint32_t i = 0; i < 600; i++) {
		/* Worker 8 alone is in the second rack. */
		urgent = job_model_add_job(m, "urgent", 1, 1, CORES(2), GB(1),
					   500 + i * 37 % 900);
		strcpy(urgent->spec.steps[0].label, "r1");
		job_model_submit(m, urgent);
	}
	job_model_run(m, 200);
	service = add_service(m, 8, CORES(15));
	service->spec.steps[0].per_worker_max = 1;
	job_model_submit(m, service);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(m->workers[0].run_count, 1);
	job_model_lose_worker(m, &m->workers[0]);
	for (uint32_t ms = 0; ms < 20000; ms += 100) {
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
	}
	printf("longest absence %u ms\n", absences.longest_ms);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	job_model_free(m);
}

/*
 * Load pattern: services fill the workers that are left after a loss; fewer are
 * away than may be, but none of them comes back. Guards against others that are
 * stopped for urgent tasks, and wait as long.
 */
static void test_no_service_is_stopped_while_others_find_no_room(void)
{
	struct model *m = job_model_create(40, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t stops;

	job_model_run(m, 100);
	for (uint32_t i = 0; i < 3; i++)
		job_model_submit(m, add_service(m, 40, CORES(6)));
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 200);
	for (uint32_t i = 0; i < 3; i++)
		job_model_lose_worker(m, &m->workers[i]);
	job_model_run(m, 10000);
	stops = m->stops;
	run_under_urgent_load(m, 10000, 300, CORES(12), service, &absences);
	CU_ASSERT_EQUAL(m->stops, stops);
	job_model_free(m);
}

/*
 * Load pattern: a burst of urgent jobs comes while a part of the workers is
 * silent. Guards against services that are stopped for it, and then wait behind
 * those of the silent workers, which are gone.
 */
static void test_no_service_is_stopped_while_workers_are_silent(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	for (uint32_t i = 0; i < 4; i++)
		job_model_lose_worker(m, &m->workers[i]);
	job_model_run(m, 1000);
	run_under_urgent_load(m, 4000, 300, CORES(12), service, &absences);
	CU_ASSERT_EQUAL(m->stops, 0);
	job_model_free(m);
}

/*
 * Load pattern: room for a large task of a service comes free in pieces,
 * seconds apart. Guards against a smaller service that waits meanwhile although
 * it fits into a piece.
 */
static void test_room_reserved_for_service_serves_smaller_one(void)
{
	struct model *m = job_model_create(8, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *small;

	job_model_run(m, 100);
	job_model_submit(m, add_service(m, 7, CORES(32)));
	job_model_run(m, 100);
	job_model_submit(m, add_service(m, 1, CORES(24)));
	job_model_submit(
		m, job_model_add_job(m, "urgent", 1, 1, CORES(4), GB(1), 2000));
	job_model_submit(m, job_model_add_job(m, "urgent", 1, 1, CORES(4),
					      GB(1), 15000));
	job_model_run(m, 100);
	CU_ASSERT_EQUAL(job_model_running(m), 10);
	job_model_submit(m, add_service(m, 1, CORES(8)));
	job_model_run(m, 100);
	small = add_service(m, 1, CORES(3));
	job_model_submit(m, small);
	for (uint32_t ms = 0; ms < 20000; ms += 100) {
		job_model_run(m, 100);
		job_model_observe_absences(m, small, &absences, 100);
	}
	printf("longest absence %u ms\n", absences.longest_ms);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	job_model_free(m);
}

/* Time from the end of a service to the start of one that waits for its room.
 */
static uint32_t room_to_start_ms(uint32_t phase_ms)
{
	struct model *m = job_model_create(8, CORES(32), GB(64));
	struct model_job *former, *waiting;
	uint32_t ms = 0;

	job_model_run(m, 100);
	former = add_service(m, 8, CORES(32));
	job_model_submit(m, former);
	job_model_run(m, 500);
	waiting = add_service(m, 1, CORES(32));
	job_model_submit(m, waiting);
	for (uint32_t i = 0; i < 200; i++)
		job_model_submit(m, job_model_add_job(m, "batch", 1, 100,
						      CORES(2), GB(1), 500));
	job_model_run(m, 1000 + phase_ms);
	CU_ASSERT_EQUAL(job_model_running(m), 8);
	sched_cancel(m->s, former->spec.id, m->now_us, m->wall_ms);
	while (ms < 1000 && job_model_state(m, waiting) != SCHED_JOB_RUNNING) {
		job_model_run(m, MODEL_STEP_MS);
		ms += MODEL_STEP_MS;
	}
	job_model_free(m);
	return ms;
}

/*
 * Load pattern: 20,000 tasks wait, so that rounds are 100 ms apart. Guards
 * against room that services wait for and that stays free meanwhile: the
 * platform counts it as capacity.
 */
static void test_long_backlog_does_not_delay_overdue_services(void)
{
	uint32_t longest_ms = 0;

	for (uint32_t phase_ms = 0; phase_ms < 100; phase_ms += 10) {
		uint32_t ms = room_to_start_ms(phase_ms);

		if (ms > longest_ms)
			longest_ms = ms;
	}
	printf("longest time %u ms\n", longest_ms);
	CU_ASSERT(longest_ms <= 50);
}

/*
 * Load pattern: services fill the workers, tasks of another one that never ran
 * wait, and room comes only with services that end. Guards against tasks of a
 * lost worker that wait behind all of the new ones.
 */
static void test_lost_services_come_back_before_new_ones_start(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service, *short_lived[35];

	job_model_run(m, 100);
	service = add_service(m, 45, CORES(6));
	job_model_submit(m, service);
	for (uint32_t i = 0; i < 35; i++) {
		short_lived[i] = add_service(m, 1, CORES(6));
		job_model_submit(m, short_lived[i]);
	}
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 80);
	job_model_submit(m, add_service(m, 40, CORES(6)));
	job_model_run(m, 1000);
	job_model_lose_worker(m, &m->workers[0]);
	for (uint32_t ms = 0; ms < 15000; ms += 100) {
		if (ms % 300 == 0 && ms < 35 * 300)
			sched_cancel(m->s, short_lived[ms / 300]->spec.id,
				     m->now_us, m->wall_ms);
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
	}
	printf("longest absence %u ms\n", absences.longest_ms);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	job_model_free(m);
}

/*
 * Load pattern: services fill the workers, tasks of another one that never ran
 * wait, and a burst of urgent jobs stops some. Guards against new ones that
 * take the room of the stopped ones, which then find none.
 */
static void test_stopped_services_come_back_before_new_ones_start(void)
{
	struct model *m = job_model_create(40, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service(m, 80, CORES(6));
	job_model_submit(m, service);
	for (uint32_t i = 0; i < 3; i++)
		job_model_submit(m, add_service(m, 40, CORES(6)));
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 200);
	job_model_submit(m, add_service(m, 40, CORES(6)));
	job_model_run(m, 4000);
	run_under_urgent_load(m, 4000, 300, CORES(12), service, &absences);
	for (uint32_t ms = 0; ms < 20000; ms += 100) {
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
	}
	printf("longest absence %u ms, %u stops\n", absences.longest_ms,
	       m->stops);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	job_model_free(m);
}

/* Whether the room that is withheld on a worker is that of its services. */
static bool withheld_is_exact(const struct sched *s, uint32_t worker)
{
	const struct resources *stopped = &s->workers[worker].stopped;
	struct resources sum = { 0 };

	for (uint32_t i = 0; i < s->task_count; i++) {
		const struct sched_task *t = &s->tasks[i];
		const struct job_step *step;

		if (!t->preempted || t->preempted_on != worker)
			continue;
		step = sched_task_step(s, t);
		sum.cpu_milli += step->demand.cpu_milli;
		sum.memory_mb += step->demand.memory_mb;
	}
	return sum.cpu_milli == stopped->cpu_milli &&
	       sum.memory_mb == stopped->memory_mb;
}

/*
 * Guards against room that is withheld for stopped services for good, or no
 * longer: they come back, are cancelled, and their workers are lost.
 */
static void test_room_withheld_for_stopped_services_is_exact(void)
{
	struct model *m = job_model_create(10, CORES(32), GB(64));
	struct rng rng = { .state = 1 };
	uint32_t wrong = 0, withheld = 0;

	job_model_run(m, 100);
	for (uint32_t ms = 0; ms < 60000; ms += 100) {
		if (ms % 700 == 0)
			job_model_submit(
				m, add_service(m, 1 + rng_next(&rng) % 8,
					       CORES(1 + rng_next(&rng) % 9)));
		if (ms % 400 == 0)
			job_model_submit(m, job_model_add_job(m, "urgent", 1, 6,
							      CORES(12), GB(1),
							      600));
		if (ms % 1500 == 0)
			sched_cancel(
				m->s,
				m->jobs[rng_next(&rng) % m->job_count].spec.id,
				m->now_us, m->wall_ms);
		if (ms % 9000 == 5000)
			job_model_crash_worker(m, &m->workers[ms / 9000]);
		if (ms == 40000)
			job_model_lose_worker(m, &m->workers[9]);
		job_model_run(m, 100);
		for (uint32_t i = 0; i < m->s->worker_count; i++) {
			wrong += !withheld_is_exact(m->s, i);
			withheld += m->s->workers[i].stopped.cpu_milli > 0;
		}
	}
	printf("%u wrong, %u times withheld\n", wrong, withheld);
	CU_ASSERT_EQUAL(wrong, 0);
	CU_ASSERT(withheld > 0);
	job_model_free(m);
}

/*
 * Load pattern: workers are lost, and services are submitted before their
 * leases are over. Guards against new services that take the room which the
 * lost ones then need.
 */
static void test_new_services_leave_room_to_those_on_silent_workers(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service(m, 48, CORES(8));
	job_model_submit(m, service);
	job_model_run(m, 2000);
	CU_ASSERT_EQUAL(job_model_running(m), 48);
	for (uint32_t i = 0; i < 4; i++)
		job_model_lose_worker(m, &m->workers[i]);
	job_model_run(m, 1000);
	for (uint32_t i = 0; i < 4; i++)
		job_model_submit(m, add_service(m, 4, CORES(8)));
	run_under_urgent_load(m, 20000, 300, CORES(2), service, &absences);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.overcommits, 0);
	job_model_free(m);
}

/* The first rack is that of workers 0 to 7. */
static struct model_job *add_service_in_first_rack(struct model *m)
{
	struct model_job *j = add_service(m, 4, CORES(6));

	strcpy(j->spec.steps[0].rack, "r0");
	j->spec.steps[0].estimate_ms = 210000;
	return j;
}

/*
 * Guards against a service that waits for the rack that it prefers, though it
 * is lost, while the workers of the other are idle.
 */
static void check_lost_rack(bool gang)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;

	job_model_run(m, 100);
	service = add_service_in_first_rack(m);
	service->spec.steps[0].gang = gang;
	job_model_submit(m, service);
	job_model_run(m, 1000);
	CU_ASSERT_EQUAL(job_model_running(m), 4);
	for (uint32_t i = 8; i < 16; i++)
		CU_ASSERT_EQUAL(m->workers[i].run_count, 0);
	for (uint32_t i = 0; i < 8; i++)
		job_model_lose_worker(m, &m->workers[i]);
	for (uint32_t ms = 0; ms < 20000; ms += 100) {
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
	}
	printf("gang=%d: longest absence %u ms\n", gang, absences.longest_ms);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	CU_ASSERT_EQUAL(m->faults.duplicate_runs, 0);
	job_model_free(m);
}

static void test_service_of_lost_rack_starts_in_another(void)
{
	check_lost_rack(false);
	check_lost_rack(true);
}

/* As above, for a first start; the workers of the rack are full. */
static void test_first_start_of_service_does_not_wait_for_rack(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	struct model_job *full;

	job_model_run(m, 100);
	full = job_model_add_job(m, "urgent", 1, 8, CORES(32), GB(1), 60000);
	strcpy(full->spec.steps[0].label, "r0");
	job_model_submit(m, full);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(job_model_running(m), 8);
	job_model_submit(m, add_service_in_first_rack(m));
	job_model_run(m, FIRST_START_MAX_MS);
	CU_ASSERT_EQUAL(job_model_running(m), 12);
	job_model_free(m);
}

/* Time until a finite task that prefers the first rack runs in the other. */
static uint32_t start_elsewhere_ms(struct model *m)
{
	struct model_job *j =
		job_model_add_job(m, "urgent", 1, 1, CORES(4), GB(1), 20000);
	uint32_t ms = 0;

	strcpy(j->spec.steps[0].rack, "r0");
	job_model_submit(m, j);
	while (ms < 20000 && job_model_state(m, j) != SCHED_JOB_RUNNING) {
		job_model_run(m, MODEL_STEP_MS);
		ms += MODEL_STEP_MS;
	}
	return ms;
}

/*
 * A finite task waits for its rack, as it takes longer in others. Guards
 * against a wait for a rack of which no worker will take it.
 */
static void test_finite_task_does_not_wait_for_lost_rack(void)
{
	struct model *m = job_model_create(16, CORES(32), GB(64));
	uint32_t ms;

	job_model_run(m, 100);
	for (uint32_t i = 0; i < 8; i++)
		if (i % 2)
			job_model_lose_worker(m, &m->workers[i]);
		else
			m->workers[i].draining = true;
	job_model_run(m, 1000);
	ms = start_elsewhere_ms(m);
	printf("started after %u ms\n", ms);
	CU_ASSERT(ms < FIRST_START_MAX_MS);
	job_model_free(m);

	/* One worker is left, and silent: it may be back. */
	m = job_model_create(16, CORES(32), GB(64));
	job_model_run(m, 100);
	for (uint32_t i = 1; i < 8; i++)
		job_model_lose_worker(m, &m->workers[i]);
	m->workers[0].unresponsive = true;
	job_model_run(m, 1000);
	ms = start_elsewhere_ms(m);
	printf("started after %u ms\n", ms);
	CU_ASSERT(ms >= 10000);
	CU_ASSERT(ms < 10000 + FIRST_START_MAX_MS);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "services that fit nowhere hold up no others",
		  test_services_that_fit_nowhere_hold_up_no_others },
		{ "services of lost workers come first",
		  test_services_of_lost_workers_come_first },
		{ "no service is stopped while many are away",
		  test_no_service_is_stopped_while_many_are_away },
		{ "no service is stopped while others find no room",
		  test_no_service_is_stopped_while_others_find_no_room },
		{ "no service is stopped while workers are silent",
		  test_no_service_is_stopped_while_workers_are_silent },
		{ "reservation respects limit of tasks on worker",
		  test_reservation_respects_limit_of_tasks_on_worker },
		{ "long backlog does not delay overdue services",
		  test_long_backlog_does_not_delay_overdue_services },
		{ "lost services come back before new ones start",
		  test_lost_services_come_back_before_new_ones_start },
		{ "stopped services come back before new ones start",
		  test_stopped_services_come_back_before_new_ones_start },
		{ "room withheld for stopped services is exact",
		  test_room_withheld_for_stopped_services_is_exact },
		{ "new services leave room to those on silent workers",
		  test_new_services_leave_room_to_those_on_silent_workers },
		{ "room reserved for service serves smaller one",
		  test_room_reserved_for_service_serves_smaller_one },
		{ "service of a lost rack starts in another",
		  test_service_of_lost_rack_starts_in_another },
		{ "first start of a service does not wait for its rack",
		  test_first_start_of_service_does_not_wait_for_rack },
		{ "finite task does not wait for a lost rack",
		  test_finite_task_does_not_wait_for_lost_rack },
	};

	return RUN_SUITE("sched-services", tests);
}
