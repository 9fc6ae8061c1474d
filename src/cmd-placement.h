#ifndef CMD_PLACEMENT_H
#define CMD_PLACEMENT_H

#include "cmd.h"

/*
 * NAME
 *	cmd-placement - what the placement commands share
 *
 * DESCRIPTION
 *	The options of a placement's fields are made from one table, so that
 *	create and change accept the same ones. Fields come from a JSON file,
 *	options or both; an option wins.
 */

#define CMD_PLACEMENT_FIELDS 15

struct cmd_placement {
	struct arg_str *fields[CMD_PLACEMENT_FIELDS];
	struct arg_file *file;
};

void cmd_placement_init(struct cmd_placement *p);

/* Fills the table with the common options, these options and the end. */
size_t cmd_placement_table(struct cmd_options *o, struct cmd_placement *p,
			   void **table);

/* Returns the placement as an object, or NULL after printing an error. */
json_t *cmd_placement_build(const struct cmd_placement *p);

/* Calls METHOD /v1/placements[?id=ID]. */
int cmd_placement_call(const struct cmd_options *o, const char *method,
		       const char *id, const json_t *placement, json_t **root);

/* Runs a command that sends a placement's fields with POST or PUT. */
int cmd_placement_send(int argc, char **argv, const char *name,
		       const char *summary, const char *method);

/* Runs a command whose only own argument is an id. */
int cmd_placement_by_id(int argc, char **argv, const char *name,
			const char *summary, const char *method);

/* Prints an answer: a placement, a list or a message. */
void cmd_placement_print(const struct cmd_options *o, const json_t *root);

#endif
