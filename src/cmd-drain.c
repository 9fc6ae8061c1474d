#include <stdio.h>

#include "cmd.h"

int cmd_drain(int argc, char **argv)
{
	struct cmd_options o;
	json_t *root = NULL;
	int status, ret;

	cmd_options_init(&o);
	void *table[] = { CMD_OPTIONS_TABLE(&o), o.end };

	ret = cmd_parse(
		&o, table, sizeof(table) / sizeof(table[0]), "drain",
		"Drains an entry VM: it finishes its requests and exits.", argc,
		argv);
	if (ret < 0)
		ret = cmd_call(&o, "POST", "/v1/drain", NULL, 0, &status,
			       &root);
	if (ret == CMD_OK && root) {
		if (o.json->count)
			cmd_print_json(root);
		else
			printf("The entry VM drains; it exits when its "
			       "requests have ended.\n");
	}
	json_decref(root);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
