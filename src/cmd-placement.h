#ifndef CMD_PLACEMENT_H
#define CMD_PLACEMENT_H

#include "cmd.h"

/*
 * NAME
 *	cmd-placement - common code of the placement commands
 *
 * DESCRIPTION
 *	The options for the fields of a placement come from one table, so that
 *	create and change accept the same options. Fields are read from a JSON
 *	file, from options or from both; options override the file.
 */

#define CMD_PLACEMENT_FIELDS 15

struct cmd_placement {
	struct arg_str *fields[CMD_PLACEMENT_FIELDS];
	struct arg_file *file;
};

void cmd_placement_init(struct cmd_placement *p);

/*
 * Fills the argument table with the common options, the placement options and
 * the terminator. Returns the number of entries.
 */
size_t cmd_placement_table(struct cmd_options *o, struct cmd_placement *p,
			   void **table);

/* Returns the placement as a JSON object, or NULL after printing an error. */
json_t *cmd_placement_build(const struct cmd_placement *p);

/* Sends METHOD /v1/placements[?id=ID]; returns an exit status. */
int cmd_placement_call(const struct cmd_options *o, const char *method,
		       const char *id, const json_t *placement, json_t **root);

/* Runs a command that sends the fields of a placement with POST or PUT. */
int cmd_placement_send(int argc, char **argv, const char *name,
		       const char *summary, const char *method);

/* Runs a command that takes only a placement id. */
int cmd_placement_by_id(int argc, char **argv, const char *name,
			const char *summary, const char *method);

/* Prints a response: a placement or a list of placements. */
void cmd_placement_print(const struct cmd_options *o, const json_t *root);

#endif
