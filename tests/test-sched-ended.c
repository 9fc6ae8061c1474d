#include <stdio.h>
#include <string.h>

#include "log.h"
#include "sched-internal.h"
#include "support-unit.h"

#define JOBS 5000
#define KEPT_S 120u
#define START_WALL_MS 1000000u

static uint32_t forgotten;
static char last_forgotten[JOB_ID_BYTES];

static void on_forget(void *arg, const char *id)
{
	(void)arg;
	forgotten++;
	snprintf(last_forgotten, sizeof(last_forgotten), "%s", id);
}

static const struct sched_ops ops = { .forget = on_forget };
static const struct sched_settings settings = { .lease_max_ms = 6000,
						.status_retention_s = KEPT_S };

static const char *id_of(int job)
{
	static char id[JOB_ID_BYTES];

	snprintf(id, sizeof(id), "%016x", job);
	return id;
}

static void tick(struct sched *s, uint64_t wall_ms)
{
	sched_tick(s, wall_ms * 1000, wall_ms);
}

/* Guards against a state that is shown to callers of another queue. */
static void test_state(void)
{
	struct sched *s = sched_create(&ops, NULL, &settings, 0);
	enum sched_job_state state = SCHED_JOB_QUEUED;

	sched_ended_add(s, id_of(1), "a", SCHED_JOB_FAILED, START_WALL_MS);
	sched_ended_add(s, id_of(2), "b", SCHED_JOB_CANCELLED, START_WALL_MS);
	CU_ASSERT_TRUE(sched_job_state(s, id_of(1), "a", &state));
	CU_ASSERT_EQUAL(state, SCHED_JOB_FAILED);
	CU_ASSERT_FALSE(sched_job_state(s, id_of(1), "b", &state));
	CU_ASSERT_TRUE(sched_job_state(s, id_of(2), "b", &state));
	CU_ASSERT_EQUAL(state, SCHED_JOB_CANCELLED);
	CU_ASSERT_FALSE(sched_job_state(s, id_of(3), "a", &state));
	sched_destroy(s);
}

/* Guards against a job that runs again, as its key is read once more. */
static void test_not_submitted_again(void)
{
	struct sched *s = sched_create(&ops, NULL, &settings, 0);
	struct job_spec spec = { .step_count = 1 };

	sched_ended_add(s, id_of(1), "a", SCHED_JOB_COMPLETED, START_WALL_MS);
	strcpy(spec.id, id_of(1));
	spec.text = xstrdup("");
	spec.steps = xcalloc(1, sizeof(*spec.steps));
	CU_ASSERT_TRUE(sched_has_job(s, id_of(1)));
	CU_ASSERT_FALSE(sched_submit(s, &spec, 0));
	sched_destroy(s);
}

/*
 * Guards against states that are forgotten before they were kept for long
 * enough, twice or never, and against memory that grows with each job.
 */
static void test_retention(void)
{
	struct sched *s = sched_create(&ops, NULL, &settings, 0);
	uint32_t capacity;

	forgotten = 0;
	for (int i = 0; i < JOBS; i++)
		sched_ended_add(s, id_of(i), "a", SCHED_JOB_COMPLETED,
				START_WALL_MS + (i ? 0 : 1000));
	tick(s, START_WALL_MS + KEPT_S * 1000);
	CU_ASSERT_EQUAL(forgotten, 0);
	tick(s, START_WALL_MS + KEPT_S * 1000 + 600);
	CU_ASSERT_EQUAL(forgotten, JOBS - 1);
	tick(s, START_WALL_MS + KEPT_S * 1000 + 2000);
	CU_ASSERT_EQUAL(forgotten, JOBS);
	CU_ASSERT_STRING_EQUAL(last_forgotten, id_of(0));
	tick(s, START_WALL_MS + KEPT_S * 1000 + 4000);
	CU_ASSERT_EQUAL(forgotten, JOBS);
	/* They are known until their records are deleted. */
	CU_ASSERT_TRUE(sched_has_job(s, id_of(7)));
	for (int i = 0; i < JOBS; i++)
		sched_forgotten(s, id_of(i));
	CU_ASSERT_FALSE(sched_has_job(s, id_of(7)));
	CU_ASSERT_EQUAL(sched_jobs_bytes(s), 0);
	capacity = s->ended.capacity;
	for (int i = 0; i < JOBS; i++)
		sched_ended_add(s, id_of(JOBS + i), "a", SCHED_JOB_COMPLETED,
				START_WALL_MS);
	CU_ASSERT_EQUAL(s->ended.capacity, capacity);
	sched_destroy(s);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "state", test_state },
		{ "not submitted again", test_not_submitted_again },
		{ "retention", test_retention },
	};

	log_set_level(LOG_ERROR);
	return RUN_SUITE("sched-ended", tests);
}
