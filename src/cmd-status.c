#include <stdio.h>
#include <stdlib.h>

#include "cmd.h"

static void print_members(const json_t *members);

static void print_members(const json_t *members)
{
	json_t *m;
	size_t i;

	printf("%-20s %-16s %-22s %-10s %9s %9s\n", "MEMBER", "ZONE",
	       "OPERATOR", "STATE", "REVISION", "HEARD");
	json_array_foreach(members, i, m)
	{
		const char *state =
			!json_is_true(json_object_get(m, "live")) ? "silent"
			: json_is_true(json_object_get(m, "draining"))
				? "draining"
				: "live";

		printf("%-20s %-16s %-22s %-10s %9lld %6lld ms\n",
		       cmd_get_string(m, "id"),
		       cmd_get_string(m, "availability_zone"),
		       cmd_get_string(m, "operator"), state,
		       (long long)cmd_get_int(m, "config_revision"),
		       (long long)cmd_get_int(m, "heard_ms_ago"));
	}
}

/* Prints a section whose members are defined by the service itself. */
static void print_section(const char *title, json_t *part)
{
	const char *key;
	json_t *value;

	json_object_foreach(part, key, value)
	{
		char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

		printf("%s %s: %.200s\n", title, key, text);
		free(text);
	}
}

int cmd_status(int argc, char **argv)
{
	struct cmd_options o;
	json_t *root = NULL;
	const json_t *seat, *store;
	int status, ret;

	cmd_options_init(&o);
	void *table[] = { CMD_OPTIONS_TABLE(&o), o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]), "status",
			"Shows an entry VM's view of the deployment.", argc,
			argv);
	if (ret < 0)
		ret = cmd_call(&o, "GET", "/v1/status", NULL, 0, &status,
			       &root);
	if (ret != CMD_OK || !root)
		goto out;
	if (o.json->count) {
		cmd_print_json(root);
		goto out;
	}
	seat = json_object_get(root, "seat");
	store = json_object_get(root, "store");
	printf("%s in %s, deployment %s, version %s, up %lld s\n",
	       cmd_get_string(root, "node"),
	       cmd_get_string(root, "availability_zone"),
	       cmd_get_string(root, "deployment"),
	       cmd_get_string(root, "version"),
	       (long long)cmd_get_int(root, "uptime_ms") / 1000);
	printf("sheet revision %lld, seat %lld of %lld (revision %lld, %s), "
	       "%lld VMs listed\n",
	       (long long)cmd_get_int(root, "config_revision"),
	       (long long)cmd_get_int(seat, "index") + 1,
	       (long long)cmd_get_int(seat, "count"),
	       (long long)cmd_get_int(seat, "revision"),
	       json_is_true(json_object_get(seat, "confirmed"))
		       ? "confirmed"
		       : "not confirmed",
	       (long long)cmd_get_int(root, "targets"));
	printf("store: lease %lld ms left, last contact %lld ms ago\n\n",
	       (long long)cmd_get_int(store, "lease_ms_left"),
	       (long long)cmd_get_int(store, "contact_ms_ago"));
	print_members(json_object_get(root, "members"));
	print_section("flow", json_object_get(root, "flow"));
	print_section("placement", json_object_get(root, "placement"));
out:
	json_decref(root);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}
