#include "cmd-placement.h"

int cmd_placement_list(int argc, char **argv)
{
	struct cmd_options o;
	json_t *root = NULL;
	int ret;

	cmd_options_init(&o);
	void *table[] = { CMD_OPTIONS_TABLE(&o), o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]),
			"placement list", "Lists all placements.", argc, argv);
	if (ret < 0) {
		ret = cmd_placement_call(&o, "GET", NULL, NULL, &root);
		if (ret == CMD_OK)
			cmd_placement_print(&o, root);
	}
	json_decref(root);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
