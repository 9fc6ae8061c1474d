#include "log.h"
#include "sched-internal.h"

/*
 * A service, or a task that needs a probation, that waits for this long is
 * logged again: workers may have had room for it meanwhile.
 */
#define WAIT_LOG_US 2000000u

/* Workers of the service, by the first reason that rules each of them out. */
struct wait_reasons {
	uint32_t not_usable; /* silent, draining, quarantined, on trial, full */
	uint32_t memory;
	uint32_t cpu;
	uint32_t accelerators;
	uint32_t reserved; /* has room, which is reserved for other tasks */
	uint32_t at_max;   /* has the maximum of tasks of the step */
	uint32_t
		services; /* lacks CPU, also once its finite tasks have ended */
};

static void count_reason(const struct sched *s, const struct sched_worker *w,
			 const struct job *j, const struct sched_task *t,
			 struct wait_reasons *r)
{
	const struct job_step *step = &j->spec.steps[t->step];
	const struct resources *d = &step->demand;

	if (!sched_worker_usable(s, w, j, step))
		r->not_usable++;
	else if ((uint64_t)w->used.memory_mb + d->memory_mb >
		 w->capacity.memory_mb)
		r->memory++;
	else if ((uint64_t)w->used.cpu_milli + d->cpu_milli >
		 w->capacity.cpu_milli)
		r->cpu++;
	else if ((uint64_t)w->used.accelerators + d->accelerators >
		 w->capacity.accelerators)
		r->accelerators++;
	else if (!sched_below_worker_max(s, w, t, step))
		r->at_max++;
	else
		r->reserved++;
	r->services += (uint64_t)w->service_milli + d->cpu_milli >
		       w->capacity.cpu_milli;
}

/* Many batch steps wait in a burst; reasons are logged for services only. */
static void log_reasons(struct sched *s, const struct job *j,
			const struct sched_task *first)
{
	const struct job_step *step = &j->spec.steps[first->step];
	struct wait_reasons r = { 0 };

	for (uint32_t i = 0; i < s->worker_count; i++)
		if (s->workers[i].listed && s->workers[i].service == j->service)
			count_reason(s, &s->workers[i], j, first, &r);
	log_event(LOG_INFO, "step-waits-for",
		  "job=%s step=%u not_usable=%u no_memory=%u no_cpu=%u "
		  "no_accelerator=%u at_max=%u reserved=%u services=%u "
		  "reservations=%u/%u searches=%u/%u",
		  j->spec.id, first->step, r.not_usable, r.memory, r.cpu,
		  r.accelerators, r.at_max, r.reserved, r.services,
		  s->reserved_count, s->reserved_max, s->reserve_searches,
		  sched_reserve_searches_max(step));
}

void sched_log_wait(struct sched *s, const struct job *j,
		    struct sched_task *first, uint32_t waiting)
{
	const struct job_step *step = &j->spec.steps[first->step];

	if (first->wait_logged_us &&
	    (!step->long_running ||
	     s->now_us < first->wait_logged_us + WAIT_LOG_US))
		return;
	first->wait_logged_us = s->now_us;
	log_event(LOG_INFO, "step-waits",
		  "job=%s step=%u waiting=%u cpu=%u memory_mb=%u image=%s "
		  "age_ms=%llu deadline_in_ms=%lld backlog=%u",
		  j->spec.id, first->step, waiting, step->demand.cpu_milli,
		  step->demand.memory_mb, *step->image ? step->image : "-",
		  (unsigned long long)sched_job_age_us(s, j) / 1000,
		  (long long)(j->deadline_wall_ms - s->wall_ms), s->backlog);
	if (step->long_running)
		log_reasons(s, j, first);
}

void sched_log_probation_wait(const struct sched *s, const struct job *j,
			      struct sched_task *first, uint32_t waiting)
{
	if (first->probation_logged_us &&
	    s->now_us < first->probation_logged_us + WAIT_LOG_US)
		return;
	first->probation_logged_us = s->now_us;
	log_event(LOG_INFO, "step-waits-for-probation",
		  "job=%s step=%u waiting=%u probations=%u/%u", j->spec.id,
		  first->step, waiting, s->probations, sched_probations_max(s));
}
