#ifndef CMD_H
#define CMD_H

#include <argtable2.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "buffer.h"

/*
 * NAME
 *	cmd - commands of waxwingctl
 *
 * DESCRIPTION
 *	Each command has its own file and an entry in the table of
 *	waxwingctl.c, and parses its own arguments. cmd-common.c implements
 *	the common options and the client of the operator API.
 *
 * RETURN VALUES
 *	Commands return the exit status.
 */

enum cmd_exit {
	CMD_OK = 0,
	CMD_REFUSED = 1, /* error response or negative result */
	CMD_USAGE = 2,
	CMD_UNREACHABLE = 3,
	CMD_CONFLICT = 4, /* HTTP 409, such as an outdated base revision */
	CMD_INVALID_FILE = 5,
};

struct command {
	const char *group; /* NULL for a top-level command */
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/* Options of all commands; they come first in the argument table. */
struct cmd_options {
	struct arg_str *operator_address;
	struct arg_str *token;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

#define CMD_OPTIONS_TABLE(o) \
	(o)->operator_address, (o)->token, (o)->json, (o)->help

void cmd_options_init(struct cmd_options *o);

/*
 * Parses the arguments of the command name, such as "sheet apply". Returns -1
 * to continue, or the exit status after printing help or errors.
 */
int cmd_parse(struct cmd_options *o, void **table, size_t count,
	      const char *name, const char *summary, int argc, char **argv);

/*
 * Sends a request to the operator API; body may be NULL. Returns CMD_OK, or
 * another exit status after printing the error. status is set to the HTTP
 * status, or 0 without a response. root is set to the JSON response, if any,
 * also on failure; the caller owns the reference.
 */
int cmd_call(const struct cmd_options *o, const char *method, const char *path,
	     const void *body, size_t len, int *status, json_t **root);

/*
 * Shows the label and the elapsed seconds on standard error until
 * cmd_progress_end(). Does nothing with --json or without a terminal.
 */
void cmd_progress_begin(const struct cmd_options *o, const char *label);
void cmd_progress_end(void);

/* Prints a JSON value on one line of standard output. */
void cmd_print_json(const json_t *root);

/* Appends text, percent-encoded for a query string. */
void cmd_append_query_escaped(struct buffer *b, const char *text);

/*
 * Reads a file, or standard input for "-". Returns CMD_OK, or
 * CMD_INVALID_FILE after printing the error.
 */
int cmd_read_file(const char *path, struct buffer *out);

/* Return a member of an object, or "" or 0 if absent or of another type. */
const char *cmd_get_string(const json_t *root, const char *key);
json_int_t cmd_get_int(const json_t *root, const char *key);

int cmd_status(int argc, char **argv);
int cmd_explain(int argc, char **argv);
int cmd_top(int argc, char **argv);
int cmd_sheet_check(int argc, char **argv);
int cmd_sheet_apply(int argc, char **argv);
int cmd_sheet_show(int argc, char **argv);
int cmd_placement_create(int argc, char **argv);
int cmd_placement_show(int argc, char **argv);
int cmd_placement_change(int argc, char **argv);
int cmd_placement_cancel(int argc, char **argv);
int cmd_placement_list(int argc, char **argv);
int cmd_job_explain(int argc, char **argv);
int cmd_logs_check(int argc, char **argv);
int cmd_drain(int argc, char **argv);

#endif
