#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support-check.h"
#include "support-unit.h"

#define RUN_START(at, request, key, runner)                               \
	"{\"at_us\":" #at ",\"event\":\"run-start\",\"runner\":\"" runner \
	"\",\"request\":\"" request "\",\"key\":\"" key "\"}\n"
#define RUN_END(at, request, key, runner)                               \
	"{\"at_us\":" #at ",\"event\":\"run-end\",\"runner\":\"" runner \
	"\",\"request\":\"" request "\",\"key\":\"" key "\"}\n"
#define ANSWER(key, request, idempotent, outcome, good)         \
	"{\"at_us\":90,\"event\":\"answer\",\"key\":\"" key     \
	"\",\"id\":\"" request "\",\"idempotent\":" #idempotent \
	",\"outcome\":\"" outcome "\",\"status\":200,\"good\":" #good "}\n"
#define TASK_START(at, task, attempt, worker)                              \
	"{\"at_us\":" #at ",\"event\":\"task-start\",\"worker\":\"" worker \
	"\",\"task\":\"" task "\",\"attempt\":" #attempt "}\n"
#define TASK_END(at, task, attempt, worker, state)                             \
	"{\"at_us\":" #at ",\"event\":\"task-end\",\"worker\":\"" worker       \
	"\",\"task\":\"" task "\",\"attempt\":" #attempt ",\"state\":\"" state \
	"\"}\n"
#define EVENT(at, name, rest) \
	"{\"at_us\":" #at ",\"event\":\"" name "\"," rest "}\n"

#define NO_VIOLATION CHECK_RULE_COUNT

/* Each journal breaks exactly one rule, or none. */
static const struct {
	const char *journal;
	enum check_rule rule;
} cases[] = {
	{ RUN_START(10, "a", "k", "r") RUN_END(20, "a", "k", "r")
		  ANSWER("k", "a", false, "done", true),
	  NO_VIOLATION },
	{ EVENT(10, "over", "\"limit\":\"slots\""), CHECK_SLOTS },
	{ EVENT(10, "over", "\"limit\":\"connections\""), CHECK_CONNECTIONS },
	{ EVENT(10, "over-memory", "\"worker\":\"w\""), CHECK_MEMORY },
	{ TASK_START(10, "t", 1, "w") TASK_END(20, "t", 1, "w", "stopped")
		  TASK_START(21, "t", 2, "v"),
	  NO_VIOLATION },
	{ TASK_START(10, "t", 1, "w") TASK_END(20, "t", 1, "w", "stopped")
		  TASK_START(19, "t", 2, "v"),
	  CHECK_TASK_OVERLAP },
	{ TASK_START(10, "t", 1, "w") TASK_START(30, "t", 2, "v"),
	  CHECK_TASK_OVERLAP },
	{ TASK_START(10, "t", 1, "w") TASK_END(20, "t", 1, "w", "expired")
		  TASK_START(30, "t", 1, "v"),
	  CHECK_ATTEMPT },
	{ TASK_START(10, "t", 1, "w") TASK_END(20, "t", 1, "w", "done")
		  TASK_START(30, "t", 2, "v"),
	  CHECK_AFTER_DONE },
	{ TASK_START(10, "t", 1, "w")
		  EVENT(20, "task-end",
			"\"worker\":\"w\",\"task\":\"t\",\"attempt\":1,"
			"\"state\":\"stopped\",\"checkpoint\":\"cp-1\"")
			  TASK_START(30, "t", 2, "v"),
	  CHECK_RESUME },
	{ RUN_START(10, "a", "k", "r") ANSWER("k", "a", true, "done", false),
	  CHECK_ANSWER },
	{ RUN_START(10, "a", "k", "r") ANSWER("j", "a", true, "done", true),
	  CHECK_ANSWER_WITHOUT_RUN },
	{ RUN_START(10, "a", "k", "r") ANSWER("k", "a", true, "not-run", true),
	  CHECK_NOT_RUN },
	{ RUN_START(10, "a", "k", "r") ANSWER("k", "b", true, "not-run", true),
	  NO_VIOLATION },
	{ RUN_START(10, "a", "k", "r") RUN_END(20, "a", "k", "r") RUN_START(
		  30, "b", "k", "s") ANSWER("k", "a", false, "done", true),
	  CHECK_RUN_ONCE },
	{ RUN_START(10, "a", "k", "r") RUN_END(20, "a", "k", "r") RUN_START(
		  30, "b", "k", "s") ANSWER("k", "a", true, "done", true),
	  NO_VIOLATION },
	{ EVENT(10, "draining", "\"runner\":\"r\",\"draining\":true")
		  RUN_START(5000000, "a", "k", "r"),
	  CHECK_LEAVING },
	{ EVENT(10, "draining", "\"runner\":\"r\",\"draining\":true") RUN_START(
		  2000000, "a", "k", "r") RUN_START(5000000, "b", "l", "s"),
	  NO_VIOLATION },
	{ EVENT(10, "vm-state", "\"vm\":\"w\",\"state\":\"leaving\"")
		  TASK_START(5000000, "t", 1, "w"),
	  CHECK_LEAVING },
	{ EVENT(50, "entry-drain", "\"entry\":2")
		  EVENT(60, "answer",
			"\"entry\":2,\"status\":0,\"begun_us\":40,"
			"\"idempotent\":true"),
	  CHECK_DRAIN_LOST },
	{ EVENT(50, "entry-drain", "\"entry\":2")
		  EVENT(60, "answer",
			"\"entry\":1,\"status\":0,\"begun_us\":40,"
			"\"idempotent\":true"),
	  NO_VIOLATION },
};

static void read_journal(struct check *c, const char *journal, bool dead)
{
	char path[] = "/tmp/journal-check-XXXXXX";
	int fd = mkstemp(path);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL(write(fd, journal, strlen(journal)),
			(ssize_t)strlen(journal));
	close(fd);
	CU_ASSERT_EQUAL(check_read(c, path, dead), 0);
	unlink(path);
}

/* Returns the number of rules broken by the two journals together. */
static uint64_t
count_broken_rules(const char *journal, const char *other, bool other_dead,
		   struct check_result results[CHECK_RULE_COUNT])
{
	struct check *c = check_create(3000000);
	uint64_t broken = 0;

	read_journal(c, journal, false);
	read_journal(c, other, other_dead);
	check_evaluate(c, results, 0);
	for (size_t i = 0; i < CHECK_RULE_COUNT; i++)
		broken += results[i].violations != 0;
	check_free(c);
	return broken;
}

/* Guards against a violation that the checker doesn't report. */
static void test_rules(void)
{
	struct check_result results[CHECK_RULE_COUNT];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t broken = count_broken_rules(cases[i].journal, "",
						     false, results);

		if (cases[i].rule == NO_VIOLATION) {
			CU_ASSERT_EQUAL(broken, 0);
			continue;
		}
		CU_ASSERT(results[cases[i].rule].violations > 0);
		CU_ASSERT_EQUAL(broken, 1);
	}
}

/*
 * Guards against overlapping runs of a non-idempotent key that are reported
 * only as a repeated run and not as concurrent ones.
 */
static void test_overlap(void)
{
	struct check_result results[CHECK_RULE_COUNT];

	count_broken_rules(
		RUN_START(10, "a", "k", "r") RUN_START(15, "b", "k", "s")
			ANSWER("k", "a", false, "done", true),
		"", false, results);
	CU_ASSERT_EQUAL(results[CHECK_KEY_OVERLAP].violations, 1);
	CU_ASSERT_EQUAL(results[CHECK_RUN_ONCE].violations, 1);
}

/* Guards against tasks of a killed worker that count as running forever. */
static void test_killed_process_journal(void)
{
	struct check_result results[CHECK_RULE_COUNT];
	const char *killed =
		TASK_START(10, "t", 1, "w") EVENT(20, "fault", "\"x\":1");
	const char *other = TASK_START(30, "t", 2, "v");

	CU_ASSERT_EQUAL(count_broken_rules(other, killed, false, results), 1);
	CU_ASSERT_EQUAL(count_broken_rules(other, killed, true, results), 0);
}

static const struct unit_test tests[] = {
	{ "each rule can be broken", test_rules },
	{ "overlapping runs of one key", test_overlap },
	{ "journal of a killed process", test_killed_process_journal },
};

int main(void)
{
	return RUN_SUITE("journal-check", tests);
}
