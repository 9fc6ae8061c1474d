#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "support-check.h"
#include "support-unit.h"

#define RUN(at, request, key, runner)                                     \
	"{\"at_us\":" #at ",\"event\":\"run-start\",\"runner\":\"" runner \
	"\",\"request\":\"" request "\",\"key\":\"" key "\"}\n"
#define END(at, request, key, runner)                                   \
	"{\"at_us\":" #at ",\"event\":\"run-end\",\"runner\":\"" runner \
	"\",\"request\":\"" request "\",\"key\":\"" key "\"}\n"
#define TOLD(key, request, idempotent, outcome, good)           \
	"{\"at_us\":90,\"event\":\"answer\",\"key\":\"" key     \
	"\",\"id\":\"" request "\",\"idempotent\":" #idempotent \
	",\"outcome\":\"" outcome "\",\"status\":200,\"good\":" #good "}\n"
#define START(at, task, attempt, worker)                                   \
	"{\"at_us\":" #at ",\"event\":\"task-start\",\"worker\":\"" worker \
	"\",\"task\":\"" task "\",\"attempt\":" #attempt "}\n"
#define STOP(at, task, attempt, worker, state)                                 \
	"{\"at_us\":" #at ",\"event\":\"task-end\",\"worker\":\"" worker       \
	"\",\"task\":\"" task "\",\"attempt\":" #attempt ",\"state\":\"" state \
	"\"}\n"
#define EVENT(at, name, rest) \
	"{\"at_us\":" #at ",\"event\":\"" name "\"," rest "}\n"

#define NONE CHECK_RULE_COUNT

/* Each journal breaks one rule only, or none. */
static const struct {
	const char *journal;
	enum check_rule rule;
} cases[] = {
	{ RUN(10, "a", "k", "r") END(20, "a", "k", "r")
		  TOLD("k", "a", false, "done", true),
	  NONE },
	{ EVENT(10, "over", "\"limit\":\"slots\""), CHECK_SLOTS },
	{ EVENT(10, "over", "\"limit\":\"connections\""), CHECK_CONNECTIONS },
	{ EVENT(10, "over-memory", "\"worker\":\"w\""), CHECK_MEMORY },
	{ START(10, "t", 1, "w") STOP(20, "t", 1, "w", "stopped")
		  START(21, "t", 2, "v"),
	  NONE },
	{ START(10, "t", 1, "w") STOP(20, "t", 1, "w", "stopped")
		  START(19, "t", 2, "v"),
	  CHECK_TASK_OVERLAP },
	{ START(10, "t", 1, "w") START(30, "t", 2, "v"), CHECK_TASK_OVERLAP },
	{ START(10, "t", 1, "w") STOP(20, "t", 1, "w", "expired")
		  START(30, "t", 1, "v"),
	  CHECK_ATTEMPT },
	{ START(10, "t", 1, "w") STOP(20, "t", 1, "w", "done")
		  START(30, "t", 2, "v"),
	  CHECK_AFTER_DONE },
	{ START(10, "t", 1, "w")
		  EVENT(20, "task-end",
			"\"worker\":\"w\",\"task\":\"t\",\"attempt\":1,"
			"\"state\":\"stopped\",\"checkpoint\":\"cp-1\"")
			  START(30, "t", 2, "v"),
	  CHECK_RESUME },
	{ RUN(10, "a", "k", "r") TOLD("k", "a", true, "done", false),
	  CHECK_ANSWER },
	{ RUN(10, "a", "k", "r") TOLD("j", "a", true, "done", true),
	  CHECK_ANSWER_WITHOUT_RUN },
	{ RUN(10, "a", "k", "r") TOLD("k", "a", true, "not-run", true),
	  CHECK_NOT_RUN },
	{ RUN(10, "a", "k", "r") TOLD("k", "b", true, "not-run", true), NONE },
	{ RUN(10, "a", "k", "r") END(20, "a", "k", "r") RUN(30, "b", "k", "s")
		  TOLD("k", "a", false, "done", true),
	  CHECK_RUN_ONCE },
	{ RUN(10, "a", "k", "r") END(20, "a", "k", "r") RUN(30, "b", "k", "s")
		  TOLD("k", "a", true, "done", true),
	  NONE },
	{ EVENT(10, "draining", "\"runner\":\"r\",\"draining\":true")
		  RUN(5000000, "a", "k", "r"),
	  CHECK_LEAVING },
	{ EVENT(10, "draining", "\"runner\":\"r\",\"draining\":true")
		  RUN(2000000, "a", "k", "r") RUN(5000000, "b", "l", "s"),
	  NONE },
	{ EVENT(10, "vm-state", "\"vm\":\"w\",\"state\":\"leaving\"")
		  START(5000000, "t", 1, "w"),
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
	  NONE },
};

static void read_text(struct check *c, const char *journal, bool dead)
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

/* Returns the number of rules that the two journals break. */
static uint64_t judge(const char *journal, const char *other, bool other_dead,
		      struct check_result results[CHECK_RULE_COUNT])
{
	struct check *c = check_create(3000000);
	uint64_t broken = 0;

	read_text(c, journal, false);
	read_text(c, other, other_dead);
	check_evaluate(c, results, 0);
	for (size_t i = 0; i < CHECK_RULE_COUNT; i++)
		broken += results[i].violations != 0;
	check_free(c);
	return broken;
}

/* Guards against a broken invariant that the report calls held. */
static void test_rules(void)
{
	struct check_result results[CHECK_RULE_COUNT];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t broken = judge(cases[i].journal, "", false, results);

		if (cases[i].rule == NONE) {
			CU_ASSERT_EQUAL(broken, 0);
			continue;
		}
		CU_ASSERT(results[cases[i].rule].violations > 0);
		CU_ASSERT_EQUAL(broken, 1);
	}
}

/* Guards against a once-only key in two places that counts only as twice. */
static void test_overlap(void)
{
	struct check_result results[CHECK_RULE_COUNT];

	judge(RUN(10, "a", "k", "r") RUN(15, "b", "k", "s")
		      TOLD("k", "a", false, "done", true),
	      "", false, results);
	CU_ASSERT_EQUAL(results[CHECK_KEY_OVERLAP].violations, 1);
	CU_ASSERT_EQUAL(results[CHECK_RUN_ONCE].violations, 1);
}

/* Guards against a killed worker whose tasks seem to run for ever. */
static void test_dead_journal(void)
{
	struct check_result results[CHECK_RULE_COUNT];
	const char *killed =
		START(10, "t", 1, "w") EVENT(20, "fault", "\"x\":1");
	const char *other = START(30, "t", 2, "v");

	CU_ASSERT_EQUAL(judge(other, killed, false, results), 1);
	CU_ASSERT_EQUAL(judge(other, killed, true, results), 0);
}

static const struct unit_test tests[] = {
	{ "each rule can be broken", test_rules },
	{ "overlapping runs of one key", test_overlap },
	{ "journal of a killed process", test_dead_journal },
};

int main(void)
{
	return RUN_SUITE("journal-check", tests);
}
