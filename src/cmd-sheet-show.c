#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cmd-sheet.h"

static void print_kinds(const json_t *list);
static void print_teams(const json_t *list);
static void print_stops(const json_t *list);

static void print_kinds(const json_t *list)
{
	json_t *k;
	size_t i;

	json_array_foreach(list, i, k) printf(
		"kind,%s,,%s,%s,%lld,%lld,%s,,,,,\n", cmd_get_string(k, "user"),
		cmd_get_string(k, "kind"), cmd_get_string(k, "priority"),
		(long long)cmd_get_int(k, "share"),
		(long long)cmd_get_int(k, "limit"),
		json_is_true(json_object_get(k, "yields")) ? "yes" : "no");
}

static void print_teams(const json_t *list)
{
	json_t *t;
	size_t i;

	json_array_foreach(list, i, t)
		printf("team,%s,%s,,,%lld,%lld,,%.3f,%.3f,,,\n",
		       cmd_get_string(t, "user"), cmd_get_string(t, "team"),
		       (long long)cmd_get_int(t, "share"),
		       (long long)cmd_get_int(t, "limit"),
		       (double)cmd_get_int(t, "cpu_milli") / 1000.0,
		       (double)cmd_get_int(t, "memory_mb") / 1024.0);
}

static void print_stops(const json_t *list)
{
	json_t *s;
	size_t i;

	json_array_foreach(list, i, s)
	{
		time_t start = (time_t)(cmd_get_int(s, "start_ms") / 1000);
		char text[32];
		struct tm tm;

		gmtime_r(&start, &tm);
		strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
		printf("stop,,,,,,,,,,%s:%s,%s,%lld\n",
		       cmd_get_string(s, "scope"), cmd_get_string(s, "target"),
		       text, (long long)cmd_get_int(s, "minutes"));
	}
}

int cmd_sheet_show(int argc, char **argv)
{
	struct cmd_options o;
	json_t *root = NULL;
	const json_t *sheet;
	int status, ret;

	cmd_options_init(&o);
	void *table[] = { CMD_OPTIONS_TABLE(&o), o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]),
			"sheet show",
			"Prints the current sheet as CSV and its revision on "
			"standard error.",
			argc, argv);
	if (ret < 0)
		ret = cmd_call(&o, "GET", "/v1/sheet", NULL, 0, &status, &root);
	if (ret != CMD_OK || !root)
		goto out;
	if (o.json->count) {
		cmd_print_json(root);
		goto out;
	}
	sheet = json_object_get(root, "sheet");
	fprintf(stderr, "revision %lld\n",
		(long long)cmd_get_int(root, "revision"));
	puts("record,user,team,kind,priority,share,limit,yields,cpu,memory,"
	     "target,start,minutes");
	print_kinds(json_object_get(sheet, "kinds"));
	print_teams(json_object_get(sheet, "teams"));
	print_stops(json_object_get(sheet, "stops"));
out:
	json_decref(root);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
