#include <stdio.h>

#include "cmd-placement.h"

#define TABLE_MAX (CMD_PLACEMENT_FIELDS + 8)

int cmd_placement_create(int argc, char **argv)
{
	struct cmd_options o;
	struct cmd_placement p;
	void *table[TABLE_MAX];
	json_t *placement = NULL, *root = NULL;
	size_t n;
	int ret;

	cmd_options_init(&o);
	cmd_placement_init(&p);
	n = cmd_placement_table(&o, &p, table);
	ret = cmd_parse(&o, table, n, "placement create",
			"Creates a placement.", argc, argv);
	if (ret >= 0)
		goto out;
	placement = cmd_placement_build(&p);
	if (!placement) {
		ret = p.file->count ? CMD_INVALID_FILE : CMD_USAGE;
		goto out;
	}
	if (!*cmd_text(placement, "id")) {
		fprintf(stderr,
			"waxwingctl placement create: the id is missing\n");
		ret = CMD_USAGE;
		goto out;
	}
	ret = cmd_placement_call(&o, "POST", NULL, placement, &root);
	if (ret == CMD_DONE)
		cmd_placement_print(&o, root);
out:
	json_decref(root);
	json_decref(placement);
	arg_freetable(table, n);
	return ret;
}
