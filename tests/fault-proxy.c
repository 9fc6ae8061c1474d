/*
 * TCP proxy for many links in one process. A control port injects delay,
 * bandwidth limits, partitions and connection resets.
 *
 * A link queues data that it may not forward yet and forwards it later in
 * order, as TCP does after packet loss: a request queued during a partition
 * arrives late, even when its sender has closed the connection.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <event2/event.h>

#include "support-journal.h"
#include "support-proxy.h"

struct arguments {
	struct arg_str *link;
	struct arg_file *links;
	struct arg_str *control;
	struct arg_str *seed;
	struct arg_str *journal;
	struct arg_lit *help;
	struct arg_end *end;
};

static void on_signal(evutil_socket_t fd, short what, void *arg);
static int read_links(struct proxy *p, const char *path);
static int run(const struct arguments *a);

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(arg);
}

/* Reads one NAME=LISTEN=TARGET per line; empty lines are skipped. */
static int read_links(struct proxy *p, const char *path)
{
	FILE *f = fopen(path, "r");
	char line[256];
	int rc = 0;

	if (!f) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return -1;
	}
	while (rc == 0 && fgets(line, sizeof(line), f)) {
		line[strcspn(line, "\r\n")] = '\0';
		if (line[0])
			rc = proxy_add_link(p, line);
	}
	fclose(f);
	return rc;
}

static int run(const struct arguments *a)
{
	struct event_base *base = wire_event_base();
	struct proxy *p =
		proxy_create(base, strtoull(a->seed->sval[0], NULL, 10));
	struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
	struct wire_control *control = NULL;
	int rc = 1;

	evsignal_add(term, NULL);
	for (int i = 0; i < a->link->count; i++)
		if (proxy_add_link(p, a->link->sval[i]) < 0)
			goto out;
	if (a->links->count && read_links(p, a->links->filename[0]) < 0)
		goto out;
	if (a->control->count) {
		control = wire_control(base, a->control->sval[0], proxy_control,
				       p);
		if (!control)
			goto out;
	}
	printf("ready seed=%s\n", a->seed->sval[0]);
	fflush(stdout);
	event_base_dispatch(base);
	rc = 0;
out:
	wire_control_free(control);
	proxy_destroy(p);
	event_free(term);
	event_base_free(base);
	return rc;
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.link = arg_strn(NULL, "link", "NAME=LISTEN=TARGET", 0,
				 PROXY_LINKS_MAX, "add a link"),
		.links = arg_file0(NULL, "links", "FILE",
				   "file with one link per line"),
		.control = arg_str0(NULL, "control", "IP:PORT", "control port"),
		.seed = arg_str0(NULL, "seed", "N", "seed for random faults"),
		.journal = arg_str0(NULL, "journal", "FILE",
				    "append events to FILE"),
		.help = arg_lit0("h", "help", "print this text"),
		.end = arg_end(8),
	};
	void *table = &a;
	int rc = 2;

	a.seed->sval[0] = "1";
	if (arg_parse(argc, argv, table) || a.help->count) {
		arg_print_errors(stderr, a.end, "fault-proxy");
		arg_print_glossary(stderr, table, "%-28s %s\n");
		goto out;
	}
	if (a.journal->count && journal_open(a.journal->sval[0]) < 0)
		goto out;
	signal(SIGPIPE, SIG_IGN);
	rc = run(&a);
out:
	journal_close();
	arg_freetable(table, sizeof(a) / sizeof(void *));
	return rc;
}
