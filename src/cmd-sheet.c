#include <stdio.h>

#include "cmd-sheet.h"

struct fault_list {
	const char *path;
	json_t *items; /* NULL to print to standard error */
	unsigned count;
};

static void add_fault(void *arg, unsigned line, unsigned column,
		      const char *message);

static void add_fault(void *arg, unsigned line, unsigned column,
		      const char *message)
{
	struct fault_list *f = arg;

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
	struct fault_list f = { .path = path };
	struct error err;
	json_t *root;
	int ret = cmd_read_file(path, text);

	if (ret != CMD_OK)
		return ret;
	if (o->json->count)
		f.items = json_array();
	*s = sheet_parse_csv(text->len ? text->data : "", text->len, add_fault,
			     &f, &err);
	if (*s) {
		json_decref(f.items);
		return CMD_OK;
	}
	if (f.items) {
		root = json_pack("{s:b, s:i, s:o}", "valid", 0, "count",
				 (int)f.count, "faults", f.items);
		cmd_print_json(root);
		json_decref(root);
	} else {
		fprintf(stderr, "%s: %u errors; sheet rejected\n", path,
			f.count);
	}
	return CMD_INVALID_FILE;
}
