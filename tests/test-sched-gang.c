#include <stdio.h>

#include "support-sched.h"
#include "support-unit.h"

#define CORES(n) ((n)*1000u)
#define GB(n) ((n)*1000u)

/*
 * The platform expects a task of a service back 6 s after its last run, and
 * allows 3 s more with room for it.
 */
#define ABSENCE_MAX_MS 9000u
#define WORKERS 10u

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
 * Load pattern: small urgent tasks take each piece of CPU that becomes free.
 * Guards against a gang of services that never comes back.
 */
static void test_gang_of_services_comes_back(void)
{
	struct model *m = job_model_create(WORKERS, CORES(32), GB(64));
	struct model_absences absences = { .longest_ms = 0 };
	struct model_job *service;
	uint32_t lost = 0;

	job_model_run(m, 100);
	service = job_model_add_job(m, "urgent", 1, 4, CORES(12), GB(1), 100);
	service->spec.steps[0].long_running = true;
	service->work_ms[0] = -1;
	service->spec.steps[0].gang = true;
	job_model_submit(m, service);
	job_model_run(m, 500);
	CU_ASSERT_EQUAL(job_model_running(m), 4);
	for (uint32_t t = 0; t < 25000; t += 100) {
		job_model_submit(m,
				 job_model_add_job(m, "urgent", 1, 20, CORES(2),
						   GB(1), 500 + t * 37 % 900));
		job_model_run(m, 100);
		job_model_observe_absences(m, service, &absences, 100);
		for (uint32_t i = 0; t > 2000 && !lost && i < WORKERS; i++)
			lost += lose_if_service(m, &m->workers[i]);
	}
	printf("lost %u workers, longest absence %u ms\n", lost,
	       absences.longest_ms);
	CU_ASSERT(absences.longest_ms <= ABSENCE_MAX_MS);
	job_model_free(m);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "gang of services comes back",
		  test_gang_of_services_comes_back },
	};

	return RUN_SUITE("sched-gang", tests);
}
