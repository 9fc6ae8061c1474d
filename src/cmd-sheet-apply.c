#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "cmd-sheet.h"

#define WAIT_MAX_US 6000000u
#define WAIT_POLL_US 200000u

static int current_revision(const struct cmd_options *o, json_int_t *out);
static int wait_applied(const struct cmd_options *o, json_int_t revision);

static int current_revision(const struct cmd_options *o, json_int_t *out)
{
	json_t *root = NULL;
	int status;
	int ret = cmd_call(o, "GET", "/v1/status", NULL, 0, &status, &root);

	if (ret == CMD_OK)
		*out = cmd_get_int(root, "config_revision");
	json_decref(root);
	return ret;
}

/*
 * Polls until every live member reports the revision. Returns CMD_REFUSED on a
 * timeout.
 */
static int wait_applied(const struct cmd_options *o, json_int_t revision)
{
	uint64_t end = clock_now_us() + WAIT_MAX_US;
	size_t behind = 0, live = 0;
	int ret = CMD_OK;

	do {
		json_t *root = NULL, *m;
		int status;
		size_t i;

		cmd_progress_begin(o, "waiting for all entry VMs to apply it");
		ret = cmd_call(o, "GET", "/v1/status", NULL, 0, &status, &root);
		behind = live = 0;
		json_array_foreach(json_object_get(root, "members"), i, m)
		{
			if (!json_is_true(json_object_get(m, "live")))
				continue;
			live++;
			behind += cmd_get_int(m, "config_revision") < revision;
		}
		json_decref(root);
		if (behind)
			clock_sleep_us(WAIT_POLL_US);
	} while (ret == CMD_OK && behind && clock_now_us() < end);
	if (ret == CMD_OK && !o->json->count)
		printf("in force on %zu of %zu live entry VMs\n", live - behind,
		       live);
	return ret == CMD_OK && behind ? CMD_REFUSED : ret;
}

int cmd_sheet_apply(int argc, char **argv)
{
	struct cmd_options o;
	struct buffer text = BUFFER_INIT;
	struct sheet *s = NULL;
	json_t *root = NULL;
	json_int_t base = 0;
	char path[64];
	int status, ret;

	cmd_options_init(&o);
	struct arg_int *option = arg_int0(
		"b", "base", "REVISION",
		"revision that the sheet is based on (default: current)");
	struct arg_lit *wait = arg_lit0(
		"w", "wait", "wait until all live entry VMs have applied it");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "sheet as CSV, - for stdin");
	void *table[] = { CMD_OPTIONS_TABLE(&o), option, wait, file, o.end };

	ret = cmd_parse(
		&o, table, sizeof(table) / sizeof(table[0]), "sheet apply",
		"Checks a sheet and applies it to all entry VMs.", argc, argv);
	if (ret >= 0)
		goto out;
	ret = cmd_sheet_load(&o, file->filename[0], &text, &s);
	if (ret == CMD_OK && option->count)
		base = option->ival[0];
	else if (ret == CMD_OK)
		ret = current_revision(&o, &base);
	if (ret != CMD_OK)
		goto out;
	snprintf(path, sizeof(path), "/v1/sheet?base=%lld", (long long)base);
	cmd_progress_begin(&o, "storing the sheet");
	ret = cmd_call(&o, "PUT", path, text.data, text.len, &status, &root);
	if (ret != CMD_OK)
		goto out;
	if (o.json->count)
		cmd_print_json(root);
	else
		printf("revision %lld is stored\n",
		       (long long)cmd_get_int(root, "revision"));
	if (wait->count)
		ret = wait_applied(&o, cmd_get_int(root, "revision"));
out:
	json_decref(root);
	sheet_free(s);
	buffer_free(&text);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
