/*
 * Signals that reach a process before it has read its settings. The settings
 * file is a pipe, so that the moment is known.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clock.h"
#include "support-cluster-internal.h"
#include "support-unit.h"

/* A stop waits 2.5 s for the balancer. */
#define END_US 8000000u
#define POLL_US 20000u

/* Starts a process that waits in the middle of reading its settings. */
static pid_t start_reading(struct cluster *c, char *path, size_t size, int *fd)
{
	const char *const argv[] = { "waxwingd", "-c", path, NULL };
	pid_t pid;

	memset(c, 0, sizeof(*c));
	CU_ASSERT_EQUAL_FATAL(cluster_prepare(c, 0), 0);
	snprintf(path, size, "%s/settings", c->folder);
	CU_ASSERT_EQUAL_FATAL(mkfifo(path, 0600), 0);
	pid = cluster_spawn(c, argv, "log");
	*fd = open(path, O_WRONLY); /* waits for the reader */
	return pid;
}

static void write_settings(struct cluster *c, int fd)
{
	dprintf(fd,
		"[node]\nid = entry\navailability_zone = zone\n"
		"deployment = test\n[front]\nlisten = 127.0.0.1:%u\n"
		"[platform]\ndialect = kv\naddress = 127.0.0.1:%u\n"
		"[jobs]\nreadiness = 127.0.0.1:%u\npeers = 127.0.0.1:%u\n",
		c->base_port, c->base_port + 1u, c->base_port + 2u,
		c->base_port + 3u);
	close(fd);
}

/* Returns the status of waitpid(), or -1 when the process still runs. */
static int wait_end(pid_t pid, uint64_t us)
{
	uint64_t end = clock_now_us() + us;
	int status;

	while (clock_now_us() < end) {
		if (waitpid(pid, &status, WNOHANG) == pid)
			return status;
		clock_sleep_us(POLL_US);
	}
	return -1;
}

/* Guards against a process that a reload ends while it starts. */
static void test_early_reload(void)
{
	struct cluster c;
	char path[300];
	int fd;
	pid_t pid = start_reading(&c, path, sizeof(path), &fd);

	kill(pid, SIGHUP);
	/* What the reload reads; the process still reads the pipe. */
	unlink(path);
	write_settings(&c, fd);
	CU_ASSERT_EQUAL(wait_end(pid, 500000), -1);
	kill(pid, SIGTERM);
	CU_ASSERT_EQUAL(wait_end(pid, END_US), 0);
	cluster_remove_folder(&c);
}

/* Guards against a stop that cuts connections because it came early. */
static void test_early_stop(void)
{
	struct cluster c;
	char path[300];
	int fd;
	pid_t pid = start_reading(&c, path, sizeof(path), &fd);

	kill(pid, SIGTERM);
	write_settings(&c, fd);
	CU_ASSERT_EQUAL(wait_end(pid, END_US), 0);
	cluster_remove_folder(&c);
}

int main(void)
{
	static const struct unit_test tests[] = {
		{ "early reload", test_early_reload },
		{ "early stop", test_early_stop },
	};

	return RUN_SUITE("signals", tests);
}
