#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "job-waits.h"
#include "log-line.h"
#include "support-unit.h"

#define JOB "00000000000000aa"
#define LINES_MAX 16

/* The part of a line after "ts=... level=info node=vm-1 ", and its time. */
struct event {
	double at_s;
	const char *text;
};

/* Fails if the waits of the events are not printed as expected. */
static void check(const struct event *events, const char *expected)
{
	struct job_waits *w = job_waits_create(JOB);
	char line[LOG_LINE_BYTES], *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	CU_ASSERT_PTR_NOT_NULL_FATAL(out);
	for (; events->text; events++) {
		struct log_line l;

		snprintf(line, sizeof(line), "ts=%.6f level=info node=vm-1 %s",
			 events->at_s, events->text);
		CU_ASSERT_EQUAL(log_line_parse(line, &l), 0);
		CU_ASSERT_TRUE(log_event_is_known(l.event, l.event_len));
		job_waits_add(w, l.time_s, line);
	}
	job_waits_print(w, 100, out);
	fclose(out);
	CU_ASSERT_STRING_EQUAL(text, expected);
	if (strcmp(text, expected) != 0)
		printf("%s", text);
	free(text);
	job_waits_free(w);
}

/* Guards against a step's wait that ends at the first of several tasks. */
static void test_step(void)
{
	static const struct event events[] = {
		{ 100.5, "event=step-waits job=" JOB " step=1 waiting=3 "
			 "cpu=100 memory_mb=0 image=- age_ms=500 "
			 "deadline_in_ms=10 backlog=12" },
		{ 100.6, "event=step-placed job=00000000000000bb step=0 "
			 "placed=2 waiting=0 last_worker=w1" },
		{ 100.7, "event=step-placed job=00000000000000cc step=0 "
			 "placed=5 waiting=0 last_worker=w1" },
		{ 100.8, "event=step-placed job=" JOB " step=1 placed=1 "
			 "waiting=2 last_worker=w1" },
		{ 100.9, "event=step-placed job=" JOB " step=0 placed=1 "
			 "waiting=0 last_worker=w1" },
		{ 101.0, "event=step-placed job=00000000000000bb step=1 "
			 "placed=2 waiting=0 last_worker=w1" },
		{ 101.5, "event=step-placed job=" JOB " step=1 placed=2 "
			 "waiting=0 last_worker=w1" },
		{ 101.6, "event=step-placed job=00000000000000cc step=1 "
			 "placed=9 waiting=0 last_worker=w1" },
		{ 0, NULL },
	};

	check(events, "    +0.500 s  for 1.000 s: step 1, 3 tasks without a "
		      "worker, backlog 12; meanwhile placed: 9 tasks of 2 "
		      "other jobs, 5 of 00000000000000cc; placed\n");
}

/* Guards against a service that waits unnoticed until the end of the logs. */
static void test_service_waits(void)
{
	static const struct event events[] = {
		{ 101, "event=step-waits job=" JOB " step=0 waiting=2 "
		       "backlog=2" },
		{ 101, "event=step-waits-for job=" JOB " step=0 not_usable=1 "
		       "no_memory=0 no_cpu=4" },
		{ 103, "event=step-waits job=" JOB " step=0 waiting=1 "
		       "backlog=3" },
		{ 103, "event=step-waits-for job=" JOB " step=0 not_usable=0 "
		       "no_memory=0 no_cpu=5" },
		{ 104, "event=owner-stepped-down epoch=1 resigned=0" },
		{ 0, NULL },
	};

	check(events, "    +1.000 s  for 3.000 s or more: step 0, 1 tasks "
		      "without a worker, backlog 3; workers: not_usable=0 "
		      "no_memory=0 no_cpu=5\n");
}

/*
 * Guards against a service that fits beside the services of no worker, or finds
 * no search for a reservation left, without a word that says so; the last line
 * of a wait counts.
 */
static void test_service_reasons(void)
{
	static const struct event events[] = {
		{ 101, "event=step-waits job=" JOB " step=0 waiting=2 "
		       "backlog=2" },
		{ 101, "event=step-waits-for job=" JOB " step=0 not_usable=1 "
		       "no_memory=0 no_cpu=4 no_accelerator=0 at_max=0 "
		       "reserved=0 services=2 reservations=1/2 searches=4/4" },
		{ 101, "event=step-waits job=" JOB " step=1 waiting=1 "
		       "backlog=2" },
		{ 101, "event=step-waits-for job=" JOB " step=1 not_usable=1 "
		       "no_memory=1 no_cpu=1 no_accelerator=1 at_max=1 "
		       "reserved=1 services=5 reservations=2/2 searches=3/4" },
		{ 101, "event=step-waits job=" JOB " step=2 waiting=1 "
		       "backlog=2" },
		{ 101, "event=step-waits-for job=" JOB " step=2 not_usable=0 "
		       "no_memory=0 no_cpu=6 no_accelerator=0 at_max=0 "
		       "reserved=0 services=0 reservations=2/2 searches=0/4" },
		{ 103, "event=step-waits-for job=" JOB " step=0 not_usable=1 "
		       "no_memory=0 no_cpu=5 no_accelerator=0 at_max=0 "
		       "reserved=0 services=6 reservations=0/2 searches=4/4" },
		{ 0, NULL },
	};

	check(events,
	      "    +1.000 s  for 2.000 s or more: step 0, 2 tasks without a "
	      "worker, backlog 2; workers: not_usable=1 no_memory=0 no_cpu=5 "
	      "no_accelerator=0 at_max=0 reserved=0 services=6 "
	      "reservations=0/2 searches=4/4; no CPU beside the services of "
	      "any worker; searches for reservations used up\n"
	      "    +1.000 s  for 2.000 s or more: step 1, 1 tasks without a "
	      "worker, backlog 2; workers: not_usable=1 no_memory=1 no_cpu=1 "
	      "no_accelerator=1 at_max=1 reserved=1 services=5 "
	      "reservations=2/2 searches=3/4; no CPU beside the services of 5 "
	      "of 6 workers\n"
	      "    +1.000 s  for 2.000 s or more: step 2, 1 tasks without a "
	      "worker, backlog 2; workers: not_usable=0 no_memory=0 no_cpu=6 "
	      "no_accelerator=0 at_max=0 reserved=0 services=0 "
	      "reservations=2/2 searches=0/4\n");
}

/* Guards against orders of other tasks and jobs that count for a task. */
static void test_unanswered_start(void)
{
	static const struct event events[] = {
		{ 100.3, "event=order-lost task=" JOB ".0.2.3 run=1 type=0 "
			 "worker=w7 outcome=4" },
		{ 100.4, "event=order-lost task=" JOB ".0.2.30 run=1 type=1 "
			 "worker=w7 outcome=4" },
		{ 100.5, "event=order-lost task=00000000000000bb.0.2.3 run=1 "
			 "type=0 worker=w7 outcome=4" },
		{ 100.6, "event=relay-call-expired worker=w7 lane=1 "
			 "late_ms=5" },
		{ 100.6, "event=relay-call-expired worker=w8 lane=1 "
			 "late_ms=5" },
		{ 100.65, "event=relay-call-overdue worker=w7 lane=1 "
			  "vm=vm-3" },
		{ 100.7, "event=order-lost task=" JOB ".0.2.3 run=1 type=0 "
			 "worker=w7 outcome=4 via=vm-3" },
		{ 101.0, "event=order-refused task=" JOB ".0.2.3 run=1 "
			 "type=0 worker=w7 result=busy unanswered=2" },
		{ 105.0, "event=relay-call-overdue worker=w7 lane=1" },
		{ 105.3, "event=task-absent task=" JOB ".0.2.3 run=1 "
			 "worker=w7 state=5 unanswered=2" },
		{ 0, NULL },
	};

	check(events, "    +0.300 s  for 5.000 s: task 0.2.3 run 1, starts "
		      "at w7: 2 without an answer (the last through relay "
		      "vm-3), 1 refused (busy); relay vm-1 did not send a call "
		      "in time; relay vm-3 reported no outcome of a call; not "
		      "listed by its worker\n");
}

/* Guards against waits of earlier runs and steps that never end. */
static void test_ends(void)
{
	static const struct event events[] = {
		{ 101, "event=order-lost task=" JOB ".0.0.0 run=1 type=0 "
		       "worker=w1 outcome=4" },
		{ 102, "event=order-lost task=" JOB ".0.0.0 run=2 type=0 "
		       "worker=w2 outcome=4" },
		{ 103, "event=order-lost task=" JOB ".0.0.1 run=1 type=0 "
		       "worker=w3 outcome=4" },
		{ 104, "event=task-ended job=" JOB " step=0 index=1 run=1 "
		       "worker=w3 how=failed" },
		{ 105, "event=step-done job=" JOB " occurrence=1 step=0 "
		       "age_ms=1" },
		{ 106, "event=step-done job=" JOB " occurrence=0 step=0 "
		       "age_ms=1" },
		{ 107, "event=step-waits job=" JOB " step=1 waiting=2 "
		       "backlog=2" },
		{ 108, "event=job-ended job=" JOB " queue=q state=cancelled "
		       "after_ms=1" },
		{ 109, "event=relay-call-overdue worker=w9 lane=0" },
		{ 0, NULL },
	};

	check(events, "    +1.000 s  for 1.000 s: task 0.0.0 run 1, starts "
		      "at w1: 1 without an answer; followed by another run\n"
		      "    +2.000 s  for 4.000 s: task 0.0.0 run 2, starts "
		      "at w2: 1 without an answer; step done\n"
		      "    +3.000 s  for 1.000 s: task 0.0.1 run 1, starts "
		      "at w3: 1 without an answer; run ended as failed\n"
		      "    +7.000 s  for 1.000 s: step 1, 2 tasks without a "
		      "worker, backlog 2; job ended as cancelled\n");
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "step waits until all its tasks are placed", test_step },
		{ "service still waits", test_service_waits },
		{ "what a service waits for", test_service_reasons },
		{ "start without an answer", test_unanswered_start },
		{ "ends of waits", test_ends },
	};

	return RUN_SUITE("job-waits", tests);
}
