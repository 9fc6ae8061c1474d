#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "cmd.h"

#define INTERVAL_DEFAULT_S 1
#define INTERVAL_MAX_S 3600
#define CLEAR_SCREEN "\033[H\033[2J"

static void print_value(const char *name, json_t *value, int depth);
static void print_status(const json_t *root);

/*
 * Prints a value, with the members of objects flattened to dotted names and
 * arrays as their length.
 */
static void print_value(const char *name, json_t *value, int depth)
{
	const char *key;
	json_t *item;
	char *text;

	if (json_is_object(value) && depth < 2) {
		json_object_foreach(value, key, item)
		{
			char path[128];

			snprintf(path, sizeof(path), "%s.%s", name, key);
			print_value(path, item, depth + 1);
		}
		return;
	}
	if (json_is_array(value)) {
		printf("  %-40s %zu items\n", name, json_array_size(value));
		return;
	}
	text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);
	printf("  %-40s %.100s\n", name, text ? text : "");
	free(text);
}

static void print_status(const json_t *root)
{
	static const char *const parts[] = { "seat", "store", "flow",
					     "placement" };
	json_t *m;
	size_t i;

	if (isatty(STDOUT_FILENO))
		fputs(CLEAR_SCREEN, stdout);
	printf("%s  zone %s  up %lld s  sheet revision %lld  %lld VMs\n\n",
	       cmd_get_string(root, "node"),
	       cmd_get_string(root, "availability_zone"),
	       (long long)cmd_get_int(root, "uptime_ms") / 1000,
	       (long long)cmd_get_int(root, "config_revision"),
	       (long long)cmd_get_int(root, "targets"));
	json_array_foreach(json_object_get(root, "members"), i, m) printf(
		"  %-20s %-16s %-8s revision %lld\n", cmd_get_string(m, "id"),
		cmd_get_string(m, "availability_zone"),
		json_is_true(json_object_get(m, "live")) ? "live" : "silent",
		(long long)cmd_get_int(m, "config_revision"));
	putchar('\n');
	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (json_object_get(root, parts[i]))
			print_value(parts[i], json_object_get(root, parts[i]),
				    0);
	fflush(stdout);
}

int cmd_top(int argc, char **argv)
{
	struct cmd_options o;
	int status, ret, interval;
	long remaining;

	cmd_options_init(&o);
	struct arg_int *seconds = arg_int0("i", "interval", "SECONDS",
					   "refresh interval (default: 1)");
	struct arg_int *count = arg_int0(
		"n", "count", "N", "number of refreshes (default: no limit)");
	void *table[] = { CMD_OPTIONS_TABLE(&o), seconds, count, o.end };

	ret = cmd_parse(
		&o, table, sizeof(table) / sizeof(table[0]), "top",
		"Shows an entry VM's state and refreshes it periodically.",
		argc, argv);
	if (ret >= 0)
		goto out;
	interval = seconds->count ? seconds->ival[0] : INTERVAL_DEFAULT_S;
	remaining = count->count ? count->ival[0] : -1;
	if (interval < 1 || interval > INTERVAL_MAX_S || remaining == 0) {
		fprintf(stderr,
			"waxwingctl top: interval or count out of range\n");
		ret = CMD_USAGE;
		goto out;
	}
	do {
		json_t *root = NULL;

		ret = cmd_call(&o, "GET", "/v1/status", NULL, 0, &status,
			       &root);
		if (ret == CMD_OK && o.json->count)
			cmd_print_json(root);
		else if (ret == CMD_OK)
			print_status(root);
		fflush(stdout);
		json_decref(root);
		if (remaining > 0)
			remaining--;
		if (remaining)
			clock_sleep_us((uint64_t)interval * 1000000u);
	} while (remaining && ret == CMD_OK);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
