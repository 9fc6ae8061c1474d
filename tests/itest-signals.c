/*
 * Signals that reach a process before it has read its settings. The settings
 * file is a named pipe, which blocks the process at a known point.
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

/* A shutdown waits 2.5 s for the load balancer. */
#define EXIT_TIMEOUT_US 8000000u
#define POLL_US 20000u

/* Starts a process that blocks while it reads its settings. */
static pid_t start_blocked_on_settings(struct cluster *c, char *path,
				       size_t size, int *fd)
{
	const char *const argv[] = { "waxwingd", "-c", path, NULL };
	pid_t pid;

	memset(c, 0, sizeof(*c));
	CU_ASSERT_EQUAL_FATAL(cluster_prepare(c, 0), 0);
	snprintf(path, size, "%s/settings", c->folder);
	CU_ASSERT_EQUAL_FATAL(mkfifo(path, 0600), 0);
	pid = cluster_spawn(c, argv, "log");
	*fd = open(path, O_WRONLY); /* blocks until the process opens it */
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

/* Returns the status from waitpid(), or -1 if the process still runs. */
static int wait_exit(pid_t pid, uint64_t timeout_us)
{
	uint64_t end = clock_now_us() + timeout_us;
	int status;

	while (clock_now_us() < end) {
		if (waitpid(pid, &status, WNOHANG) == pid)
			return status;
		clock_sleep_us(POLL_US);
	}
	return -1;
}

/* Guards against a SIGHUP that kills the process during startup. */
static void test_early_reload(void)
{
	struct cluster c;
	char path[300];
	int fd;
	pid_t pid = start_blocked_on_settings(&c, path, sizeof(path), &fd);

	kill(pid, SIGHUP);
	/* The reload finds no file; the process still reads the open pipe. */
	unlink(path);
	write_settings(&c, fd);
	CU_ASSERT_EQUAL(wait_exit(pid, 500000), -1);
	kill(pid, SIGTERM);
	CU_ASSERT_EQUAL(wait_exit(pid, EXIT_TIMEOUT_US), 0);
	cluster_remove_folder(&c);
}

/* Guards against a SIGTERM during startup that drops connections. */
static void test_early_stop(void)
{
	struct cluster c;
	char path[300];
	int fd;
	pid_t pid = start_blocked_on_settings(&c, path, sizeof(path), &fd);

	kill(pid, SIGTERM);
	write_settings(&c, fd);
	CU_ASSERT_EQUAL(wait_exit(pid, EXIT_TIMEOUT_US), 0);
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
