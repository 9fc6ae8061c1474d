#include <stdio.h>

#include "cmd-sheet.h"

struct faults {
	const char *path;
	json_t *items; /* NULL: print to standard error */
	unsigned count;
};

static void report_error(void *arg, unsigned line, unsigned column,
			 const char *message);

static void report_error(void *arg, unsigned line, unsigned column,
			 const char *message)
{
	struct faults *f = arg;

	if (f->count++ >= SHEET_ERRORS_SHOWN)
		return;
	if (f->items)
		json_array_append_new(f->items, json_pack("{s:i, s:i, s:s}",
							  "line", (int)line,
							  "column", (int)column,
							  "message", message));
	else
		fprintf(stderr, "%s:%u:%u: %s\n", f->path, line, column,
			message);
}

int cmd_sheet_load(const struct cmd_options *o, const char *path,
		   struct buffer *text, struct sheet **s)
{
	struct faults f = { .path = path };
	struct error err;
	json_t *root;
	int ret = cmd_read_file(path, text);

	if (ret != CMD_DONE)
		return ret;
	if (o->json->count)
		f.items = json_array();
	*s = sheet_parse_csv(text->len ? text->data : "", text->len,
			     report_error, &f, &err);
	if (*s) {
		json_decref(f.items);
		return CMD_DONE;
	}
	if (f.items) {
		root = json_pack("{s:b, s:i, s:o}", "valid", 0, "count",
				 (int)f.count, "faults", f.items);
		cmd_print_json(root);
		json_decref(root);
	} else {
		fprintf(stderr, "%s: %u errors; nothing of it is taken\n", path,
			f.count);
	}
	return CMD_INVALID_FILE;
}
