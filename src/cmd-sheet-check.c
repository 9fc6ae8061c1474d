#include <stdio.h>

#include "cmd.h"
#include "cmd-sheet.h"
#include "sheet.h"

int cmd_sheet_check(int argc, char **argv)
{
	struct cmd_options o;
	struct buffer text = BUFFER_INIT;
	struct sheet *s = NULL;
	int ret;

	cmd_options_init(&o);
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "sheet as CSV, - for stdin");
	void *table[] = { CMD_OPTIONS_TABLE(&o), file, o.end };

	ret = cmd_parse(
		&o, table, sizeof(table) / sizeof(table[0]), "sheet check",
		"Checks a sheet locally, without an entry VM.", argc, argv);
	if (ret < 0)
		ret = cmd_sheet_load(&o, file->filename[0], &text, &s);
	else
		goto out;
	if (s && !o.json->count)
		printf("%s: good: %zu kinds, %zu teams, %zu stops\n",
		       file->filename[0], s->kind_count, s->team_count,
		       s->stop_count);
	else if (s)
		printf("{\"valid\":true,\"kinds\":%zu,\"teams\":%zu,"
		       "\"stops\":%zu}\n",
		       s->kind_count, s->team_count, s->stop_count);
out:
	sheet_free(s);
	buffer_free(&text);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
