#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd.h"

int cmd_explain(int argc, char **argv)
{
	struct cmd_options o;
	struct buffer path = BUFFER_INIT;
	json_t *root = NULL;
	int status, ret;

	cmd_options_init(&o);
	struct arg_str *request =
		arg_str0("r", "request", "ID", "request to explain");
	struct arg_str *task = arg_str0("t", "task", "ID", "task to explain");
	void *table[] = { CMD_OPTIONS_TABLE(&o), request, task, o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]), "explain",
			"Shows the scheduling decisions for a request or task.",
			argc, argv);
	if (ret >= 0)
		goto out;
	if (request->count == task->count) {
		fprintf(stderr,
			"waxwingctl explain: exactly one of --request and "
			"--task is required\n");
		ret = CMD_USAGE;
		goto out;
	}
	buffer_append_str(&path, request->count ? "/v1/explain?request="
						: "/v1/explain?task=");
	cmd_append_query_escaped(&path, request->count ? request->sval[0]
						       : task->sval[0]);
	ret = cmd_call(&o, "GET", path.data, NULL, 0, &status, &root);
	if (ret != CMD_OK)
		goto out;
	if (o.json->count) {
		cmd_print_json(root);
	} else {
		json_dumpf(root, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
		putchar('\n');
	}
out:
	json_decref(root);
	buffer_free(&path);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
