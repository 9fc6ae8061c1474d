#include <stdio.h>
#include <string.h>

#include <civetweb.h>

#include "cmd.h"
#include "log.h"
#include "version.h"

static const struct command commands[] = {
	{ NULL, "status", "show an entry VM's view of the deployment",
	  cmd_status },
	{ NULL, "explain",
	  "show the scheduling decisions for a request or task", cmd_explain },
	{ NULL, "top", "show an entry VM's state, refreshed periodically",
	  cmd_top },
	{ "sheet", "check", "check a sheet locally, without an entry VM",
	  cmd_sheet_check },
	{ "sheet", "apply", "apply a sheet to all entry VMs", cmd_sheet_apply },
	{ "sheet", "show", "print the current sheet", cmd_sheet_show },
	{ "placement", "create", "create a placement", cmd_placement_create },
	{ "placement", "show", "show a placement and its tasks",
	  cmd_placement_show },
	{ "placement", "change", "change fields of a placement",
	  cmd_placement_change },
	{ "placement", "cancel", "cancel a placement", cmd_placement_cancel },
	{ "placement", "list", "list all placements", cmd_placement_list },
	{ "job", "explain", "print the log lines of a job and its waits",
	  cmd_job_explain },
	{ "logs", "check", "report invalid log lines", cmd_logs_check },
	{ NULL, "drain", "drain an entry VM", cmd_drain },
};
#define COMMANDS (sizeof(commands) / sizeof(commands[0]))

static void print_usage(FILE *f);
static bool is_group(const char *word);
static const struct command *find_command(int argc, char **argv, int *words);

static void print_usage(FILE *f)
{
	fprintf(f, "usage: waxwingctl COMMAND [OPTION]...\n\n");
	for (size_t i = 0; i < COMMANDS; i++) {
		char name[40];

		snprintf(name, sizeof(name), "%s%s%s",
			 commands[i].group ? commands[i].group : "",
			 commands[i].group ? " " : "", commands[i].name);
		fprintf(f, "  %-20s %s\n", name, commands[i].summary);
	}
	fprintf(f, "\nEach command has --help and --json. The entry VM and "
		   "the token come from\n--operator and --token, or from "
		   "WAXWING_OPERATOR and WAXWING_TOKEN.\n");
}

static bool is_group(const char *word)
{
	for (size_t i = 0; i < COMMANDS; i++)
		if (commands[i].group && !strcmp(commands[i].group, word))
			return true;
	return false;
}

/* Returns the command and the number of words in its name, or NULL. */
static const struct command *find_command(int argc, char **argv, int *words)
{
	for (size_t i = 0; i < COMMANDS; i++) {
		const struct command *c = &commands[i];

		*words = c->group ? 2 : 1;
		if (argc <= *words)
			continue;
		if (c->group && strcmp(argv[1], c->group))
			continue;
		if (!strcmp(argv[*words], c->name))
			return c;
	}
	return NULL;
}

int main(int argc, char **argv)
{
	const struct command *c;
	int words, ret;

	log_set_level(LOG_ERROR);
	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_usage(stdout);
		return CMD_OK;
	}
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("waxwingctl %s\n", WAXWING_VERSION);
		return CMD_OK;
	}
	if (argc > 2 && is_group(argv[1]) &&
	    (!strcmp(argv[2], "--help") || !strcmp(argv[2], "-h"))) {
		print_usage(stdout);
		return CMD_OK;
	}
	c = find_command(argc, argv, &words);
	if (!c) {
		print_usage(stderr);
		return CMD_USAGE;
	}
	mg_init_library(0);
	ret = c->run(argc - words, argv + words);
	mg_exit_library();
	return ret;
}
