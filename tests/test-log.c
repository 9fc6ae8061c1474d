#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "log-line.h"
#include "support-unit.h"

#define TEXT_BYTES 65536
#define LINES_MAX 256

/* Captures standard output while a test writes log lines. */
struct capture {
	int saved_stdout;
	int pipe[2];
	char text[TEXT_BYTES];
	char *lines[LINES_MAX];
	size_t count;
};

static void capture_begin(struct capture *c)
{
	fflush(stdout);
	c->saved_stdout = dup(STDOUT_FILENO);
	if (pipe(c->pipe) < 0)
		abort();
	dup2(c->pipe[1], STDOUT_FILENO);
	close(c->pipe[1]);
	fcntl(c->pipe[0], F_SETFL, O_NONBLOCK);
}

/* Reads the output written so far and splits it into lines. */
static void capture_read(struct capture *c)
{
	ssize_t n = read(c->pipe[0], c->text, sizeof(c->text) - 1);

	c->text[n > 0 ? n : 0] = '\0';
	c->count = 0;
	for (char *l = strtok(c->text, "\n"); l && c->count < LINES_MAX;
	     l = strtok(NULL, "\n"))
		c->lines[c->count++] = l;
}

static void capture_end(struct capture *c)
{
	dup2(c->saved_stdout, STDOUT_FILENO);
	close(c->saved_stdout);
	close(c->pipe[0]);
	log_set_rate_limit(0);
}

static size_t count_lines_with(const struct capture *c, const char *text)
{
	size_t n = 0;

	for (size_t i = 0; i < c->count; i++)
		n += strstr(c->lines[i], text) != NULL;
	return n;
}

/* Sleeps until 1 ms after the next full second of the wall clock. */
static void wait_for_second(void)
{
	clock_sleep_us(1000000 - clock_wall_us() % 1000000 + 1000);
}

/*
 * Guards against a burst of log lines that fills the disk of the log collector.
 * Lines above the limit are counted; warnings are allowed up to twice the
 * limit.
 */
static void test_lines_above_the_rate_limit_are_counted(void)
{
	static struct capture c;

	capture_begin(&c);
	log_set_rate_limit(10);
	wait_for_second();
	for (int i = 0; i < 50; i++)
		log_event(LOG_INFO, "step-placed", "n=%d", i);
	for (int i = 0; i < 50; i++)
		log_event(LOG_WARNING, "paused", "n=%d", i);
	capture_read(&c);
	CU_ASSERT_EQUAL(count_lines_with(&c, "event=step-placed"), 10);
	CU_ASSERT_EQUAL(count_lines_with(&c, "event=paused"), 10);
	wait_for_second();
	log_event(LOG_INFO, "step-placed", "n=50");
	capture_read(&c);
	CU_ASSERT_EQUAL(count_lines_with(&c, "event=log-limited lines=80"), 1);
	CU_ASSERT_EQUAL(count_lines_with(&c, "event=step-placed"), 1);
	capture_end(&c);
}

/* Guards against a scheduler that blocks on a slow reader of its log. */
static void test_a_full_pipe_drops_lines(void)
{
	static struct capture c;
	uint64_t start_us, elapsed_us;
	char filler[512], expected[64];
	size_t written;

	memset(filler, 'x', sizeof(filler) - 1);
	filler[sizeof(filler) - 1] = '\0';
	capture_begin(&c);
	log_set_nonblocking();
	start_us = clock_now_us();
	for (int i = 0; i < 1000; i++)
		log_event(LOG_INFO, "step-placed", "text=%s", filler);
	elapsed_us = clock_now_us() - start_us;
	capture_read(&c);
	CU_ASSERT(elapsed_us < 1000000);
	written = c.count;
	CU_ASSERT(written > 0 && written < 1000);
	log_event(LOG_INFO, "step-placed", "text=after");
	capture_read(&c);
	snprintf(expected, sizeof(expected), "event=log-dropped lines=%zu",
		 1000 - written);
	CU_ASSERT_EQUAL(count_lines_with(&c, expected), 1);
	CU_ASSERT_EQUAL(count_lines_with(&c, "text=after"), 1);
	capture_end(&c);
}

/* Guards against log lines that log_line_parse() rejects. */
static void test_written_lines_can_be_read(void)
{
	static struct capture c;
	struct log_line l;

	capture_begin(&c);
	log_set_node("entry-cagla-1");
	log_event(LOG_WARNING, "store-refused", "call=%d error=\"a b=c\"", 3);
	log_event(LOG_INFO, "stopped", "%s", "");
	capture_read(&c);
	capture_end(&c);
	CU_ASSERT_EQUAL_FATAL(c.count, 2);
	CU_ASSERT_EQUAL(log_line_parse(c.lines[0], &l), 0);
	CU_ASSERT_EQUAL(l.level, LOG_WARNING);
	CU_ASSERT(l.time_s > 1e9);
	CU_ASSERT_NSTRING_EQUAL(l.node, "entry-cagla-1", l.node_len);
	CU_ASSERT_NSTRING_EQUAL(l.event, "store-refused", l.event_len);
	CU_ASSERT_EQUAL(log_line_parse(c.lines[1], &l), 0);
}

/* Guards against a parser that accepts malformed lines. */
static void test_malformed_lines_are_rejected(void)
{
	static const char *const lines[] = {
		"",
		"Segmentation fault",
		"ts=x level=info node=a event=stopped",
		"ts=1.5 level=loud node=a event=stopped",
		"ts=1.5 level=info event=stopped",
		"ts=1.5 level=info node=a event=",
		"ts=1.5 level=info node=a event=stopped and more",
		"ts=1.5 level=info node=a event=stopped text=\"open",
		"ts=1.5 level=info node=a event=stopped text=\"a\"b",
	};
	struct log_line l;

	for (size_t i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		CU_ASSERT_EQUAL(log_line_parse(lines[i], &l), -1);
}

/* Guards against an unsorted table, in which bsearch() misses names. */
static void test_events_are_known_by_name(void)
{
	for (size_t i = 0; i < log_event_count(); i++) {
		const char *name = log_event_name(i);

		CU_ASSERT(log_event_is_known(name, strlen(name)));
		CU_ASSERT(!i || strcmp(log_event_name(i - 1), name) < 0);
	}
	CU_ASSERT(!log_event_is_known("job", 3));
	CU_ASSERT(!log_event_is_known("job-endedx", 10));
	CU_ASSERT(log_event_is_known("job-ended at=1", 9));
}

/* Guards against text of others, as a key of the store, that forges a line. */
static void test_control_characters_are_replaced(void)
{
	static struct capture c;

	capture_begin(&c);
	log_event(LOG_INFO, "sample", "key=%s",
		  "a\nts=1 event=forged\r\t\x1b[2J\x7f\xc3\xb6");
	capture_read(&c);
	capture_end(&c);
	CU_ASSERT_EQUAL_FATAL(c.count, 1);
	CU_ASSERT_PTR_NOT_NULL(
		strstr(c.lines[0], "key=a?ts=1 event=forged???[2J?\xc3\xb6"));
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "control characters are replaced",
		  test_control_characters_are_replaced },
		{ "lines above the rate limit are counted",
		  test_lines_above_the_rate_limit_are_counted },
		{ "a full pipe drops lines", test_a_full_pipe_drops_lines },
		{ "written lines can be read", test_written_lines_can_be_read },
		{ "malformed lines are rejected",
		  test_malformed_lines_are_rejected },
		{ "events are known by name", test_events_are_known_by_name },
	};

	return RUN_SUITE("log", tests);
}
