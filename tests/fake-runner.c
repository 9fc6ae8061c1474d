/*
 * Test double of runners: one process serves many, each on its own port, on
 * one libevent loop. CivetWeb would need 64 threads for each runner.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <argtable2.h>

#include "support-journal.h"
#include "support-runner.h"
#include "support-wire.h"

#define RUNNERS_MAX 512

struct arguments {
	struct arg_str *listen;
	struct arg_int *count;
	struct arg_str *prefix;
	struct arg_str *control;
	struct arg_str *seed;
	struct arg_str *journal;
	struct arg_lit *help;
	struct arg_end *end;
};

static void on_signal(evutil_socket_t fd, short what, void *arg);
static void raise_file_limit(void);
static int run_all(const struct arguments *a);

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

/* 65 runners of 64 connections exceed the usual limit of 1024 open files. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) < 0)
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run_all(const struct arguments *a)
{
	struct event_base *base = wire_event_base();
	struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
	struct runner_set *set =
		runner_set_create(base, strtoull(a->seed->sval[0], NULL, 10));
	struct wire_control *control = NULL;
	int rc = 1;

	evsignal_add(term, NULL);
	if (a->control->count) {
		control = wire_control(base, a->control->sval[0],
				       runner_set_control, set);
		if (!control)
			goto out;
	}
	if (runner_set_listen(set, a->listen->sval[0],
			      (unsigned)a->count->ival[0],
			      a->prefix->sval[0]) < 0)
		goto out;
	printf("ready seed=%s\n", a->seed->sval[0]);
	fflush(stdout);
	event_base_dispatch(base);
	rc = 0;
out:
	wire_control_free(control);
	runner_set_free(set);
	event_free(term);
	event_base_free(base);
	return rc;
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.listen = arg_str1(NULL, "listen", "IP:PORT",
				   "address of the first runner"),
		.count = arg_int0(NULL, "count", "N", "number of runners"),
		.prefix = arg_str0(NULL, "id-prefix", "P",
				   "runner ids are P0, P1, ..."),
		.control = arg_str0(NULL, "control", "IP:PORT",
				    "address of the control port"),
		.seed = arg_str0(NULL, "seed", "N", "random seed"),
		.journal = arg_str0(NULL, "journal", "FILE",
				    "append events to FILE"),
		.help = arg_lit0("h", "help", "print this text"),
		.end = arg_end(8),
	};
	void *table = &a;
	int rc = 2;

	a.count->ival[0] = 1;
	a.prefix->sval[0] = "runner-";
	a.seed->sval[0] = "1";
	if (arg_parse(argc, argv, table) || a.help->count ||
	    a.count->ival[0] < 1 || a.count->ival[0] > RUNNERS_MAX) {
		arg_print_errors(stderr, a.end, "fake-runner");
		arg_print_glossary(stderr, table, "%-24s %s\n");
		goto out;
	}
	if (a.journal->count && journal_open(a.journal->sval[0]) < 0)
		goto out;
	raise_file_limit();
	rc = run_all(&a);
out:
	journal_close();
	arg_freetable(table, sizeof(a) / sizeof(void *));
	return rc;
}
