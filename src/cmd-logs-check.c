#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"
#include "log-line.h"

/* Maximum number of input files; each process writes its own log file. */
#define FILES_MAX 128
/* Maximum number of faults printed; all are counted. */
#define FAULTS_PRINTED 100

struct log_check {
	size_t lines, faults;
	double last_s; /* time of the previous line in the same file */
};

static void report_fault(struct log_check *c, const char *path, size_t number,
			 const char *fault);
static void check_line(struct log_check *c, const char *path, size_t number,
		       const char *text);
static int check_file(struct log_check *c, const char *path);

static void report_fault(struct log_check *c, const char *path, size_t number,
			 const char *fault)
{
	if (c->faults++ < FAULTS_PRINTED)
		printf("%s:%zu: %s\n", path, number, fault);
}

static void check_line(struct log_check *c, const char *path, size_t number,
		       const char *text)
{
	struct log_line l;

	c->lines++;
	if (log_line_parse(text, &l) < 0) {
		report_fault(c, path, number, "not a line of the log");
		return;
	}
	if (!log_event_is_known(l.event, l.event_len))
		report_fault(c, path, number, "unknown event");
	if (l.time_s < c->last_s)
		report_fault(c, path, number, "earlier than the line before");
	c->last_s = l.time_s;
}

static int check_file(struct log_check *c, const char *path)
{
	FILE *f = strcmp(path, "-") ? fopen(path, "r") : stdin;
	char *text = NULL;
	size_t size = 0, number = 0;

	if (!f) {
		perror(path);
		return CMD_INVALID_FILE;
	}
	c->last_s = 0;
	while (getline(&text, &size, f) > 0) {
		text[strcspn(text, "\n")] = '\0';
		check_line(c, path, ++number, text);
	}
	free(text);
	if (f != stdin)
		fclose(f);
	return CMD_OK;
}

int cmd_logs_check(int argc, char **argv)
{
	struct cmd_options o;
	struct log_check c = { 0 };
	int ret;

	cmd_options_init(&o);
	struct arg_file *files =
		arg_filen(NULL, NULL, "FILE", 0, FILES_MAX,
			  "logs of entry VMs; standard input by default");
	void *table[] = { CMD_OPTIONS_TABLE(&o), files, o.end };

	ret = cmd_parse(
		&o, table, sizeof(table) / sizeof(table[0]), "logs check",
		"Reports malformed lines, unknown events and timestamps "
		"out of order.",
		argc, argv);
	if (ret >= 0)
		goto out;
	ret = CMD_OK;
	for (int i = 0; i < files->count && ret == CMD_OK; i++)
		ret = check_file(&c, files->filename[i]);
	if (!files->count)
		ret = check_file(&c, "-");
	if (ret != CMD_OK)
		goto out;
	printf("%zu lines, %zu faults\n", c.lines, c.faults);
	if (c.faults)
		ret = CMD_REFUSED;
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
