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
 *	Each command is one file and one entry of the table in waxwingctl.c.
 *	It parses its own arguments; cmd-common.c has the options that all
 *	share and the calls to the operators' interface.
 *
 * RETURN VALUES
 *	Commands return the exit status.
 */

enum cmd_exit {
	CMD_OK = 0,
	CMD_REFUSED = 1,
	CMD_USAGE = 2,
	CMD_UNREACHABLE = 3,
	CMD_CONFLICT = 4,
	CMD_INVALID_FILE = 5,
};

struct command {
	const char *group; /* NULL for a command of one word */
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/* The options that all commands have; put them first in the table. */
struct cmd_options {
	struct arg_str *operator_address;
	struct arg_str *token;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

#define CMD_OPTIONS_TABLE(o) \
	(o)->operator_address, (o)->token, (o)->json, (o)->help

/* Makes the common options. */
void cmd_options_init(struct cmd_options *o);

/*
 * Parses the arguments; name is what the user typed. Returns -1 to go on, or
 * the exit status after printing help or errors.
 */
int cmd_parse(struct cmd_options *o, void **table, size_t count,
	      const char *name, const char *summary, int argc, char **argv);

/*
 * Calls the operators' interface. body may be NULL. Returns CMD_OK and the
 * answer's JSON in root (the caller's reference), or an exit status after
 * printing what went wrong; status receives the HTTP status, root may be set.
 */
int cmd_call(const struct cmd_options *o, const char *method, const char *path,
	     const void *body, size_t len, int *status, json_t **root);

/* Shows a line such as "label 3 s" on a terminal until cmd_progress_end(). */
void cmd_progress_begin(const struct cmd_options *o, const char *label);
void cmd_progress_end(void);

/* Prints a JSON value on one line. */
void cmd_print_json(const json_t *root);

/* Appends text as a part of a query string. */
void cmd_append_query_escaped(struct buffer *b, const char *text);

/* Reads a file, "-" for standard input; an exit status on failure. */
int cmd_read_file(const char *path, struct buffer *out);

/* Member of an object as text or number; "" or 0 when absent. */
const char *cmd_text(const json_t *root, const char *key);
json_int_t cmd_int(const json_t *root, const char *key);

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
