#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cmd-placement.h"

#define TABLE_MAX (CMD_PLACEMENT_FIELDS + 8)

enum field_type { FIELD_TEXT, FIELD_NUMBER, FIELD_BOOL };

struct field {
	const char *option;
	const char *key;
	const char *placeholder;
	const char *help;
	enum field_type type;
};

static const struct field fields[CMD_PLACEMENT_FIELDS] = {
	{ "id", "id", "AZ.NAME", "id, prefixed with the availability zone",
	  FIELD_TEXT },
	{ "user", "user", "USER", "user", FIELD_TEXT },
	{ "team", "team", "TEAM", "team of the user", FIELD_TEXT },
	{ "name", "name", "NAME", "display name", FIELD_TEXT },
	{ "class", "class", "service|batch", "class", FIELD_TEXT },
	{ "kind", "kind", "KIND", "kind defined in the sheet", FIELD_TEXT },
	{ "urgency", "urgency", "URGENCY", "urgent, normal or deferrable",
	  FIELD_TEXT },
	{ "count", "count", "N", "number of tasks", FIELD_NUMBER },
	{ "cpu", "cpu_milli", "MILLI", "CPU per task in 1/1000 core",
	  FIELD_NUMBER },
	{ "memory", "memory_mb", "MB", "memory per task", FIELD_NUMBER },
	{ "accelerators", "accelerators", "N", "accelerators per task",
	  FIELD_NUMBER },
	{ "yields", "yields", "yes|no", "may be throttled and evicted",
	  FIELD_BOOL },
	{ "spread", "spread", "rack|none", "spread tasks over racks",
	  FIELD_TEXT },
	{ "max-run", "max_run_ms", "MS", "maximum run time, 0 for no limit",
	  FIELD_NUMBER },
	{ "spec", "spec", "TEXT", "task specification passed to the worker",
	  FIELD_TEXT },
};

static int set_field(json_t *root, const struct field *f, const char *text);
static void format_states(const json_t *placement, char *out, size_t size);
static void print_placements(const json_t *root);
static void print_placement(const json_t *root);

void cmd_placement_init(struct cmd_placement *p)
{
	for (int i = 0; i < CMD_PLACEMENT_FIELDS; i++)
		p->fields[i] = arg_str0(NULL, fields[i].option,
					fields[i].placeholder, fields[i].help);
	p->file = arg_file0("f", "file", "FILE",
			    "placement as JSON, - for stdin");
}

size_t cmd_placement_table(struct cmd_options *o, struct cmd_placement *p,
			   void **table)
{
	void *common[] = { CMD_OPTIONS_TABLE(o) };
	size_t n = 0;

	for (size_t i = 0; i < sizeof(common) / sizeof(common[0]); i++)
		table[n++] = common[i];
	for (int i = 0; i < CMD_PLACEMENT_FIELDS; i++)
		table[n++] = p->fields[i];
	table[n++] = p->file;
	table[n++] = o->end;
	return n;
}

/* Sets one field. Returns 0, or -1 after printing an error. */
static int set_field(json_t *root, const struct field *f, const char *text)
{
	json_t *value = NULL;
	char *end = NULL;
	long long n;

	if (f->type == FIELD_TEXT) {
		value = json_string(text);
	} else if (f->type == FIELD_NUMBER) {
		n = strtoll(text, &end, 10);
		if (*text && !*end && n >= 0)
			value = json_integer(n);
	} else if (!strcmp(text, "yes") || !strcmp(text, "no")) {
		value = json_boolean(!strcmp(text, "yes"));
	}
	if (!value) {
		fprintf(stderr, "waxwingctl: --%s: \"%s\" is not %s\n",
			f->option, text, f->placeholder);
		return -1;
	}
	json_object_set_new(root, f->key, value);
	return 0;
}

json_t *cmd_placement_build(const struct cmd_placement *p)
{
	struct buffer text = BUFFER_INIT;
	json_t *root = NULL;
	json_error_t err;

	if (!p->file->count) {
		root = json_object();
	} else if (cmd_read_file(p->file->filename[0], &text) == CMD_OK) {
		root = json_loadb(text.len ? text.data : "", text.len, 0, &err);
		if (!root)
			fprintf(stderr, "%s:%d:%d: %s\n", p->file->filename[0],
				err.line, err.column, err.text);
	}
	for (int i = 0; root && i < CMD_PLACEMENT_FIELDS; i++) {
		if (!p->fields[i]->count ||
		    !set_field(root, &fields[i], p->fields[i]->sval[0]))
			continue;
		json_decref(root);
		root = NULL;
	}
	buffer_free(&text);
	return root;
}

int cmd_placement_call(const struct cmd_options *o, const char *method,
		       const char *id, const json_t *placement, json_t **root)
{
	struct buffer path = BUFFER_INIT;
	char *body = placement ? json_dumps(placement, JSON_COMPACT) : NULL;
	int status, ret;

	buffer_append_str(&path, "/v1/placements");
	if (id && *id) {
		buffer_append_str(&path, "?id=");
		cmd_append_query_escaped(&path, id);
	}
	cmd_progress_begin(o, "waiting for the availability zone's owner");
	ret = cmd_call(o, method, path.data, body, body ? strlen(body) : 0,
		       &status, root);
	free(body);
	buffer_free(&path);
	return ret;
}

/* Formats the task counts by state, such as "running 2, pending 1". */
static void format_states(const json_t *placement, char *out, size_t size)
{
	json_t *states = json_object_get(placement, "states"), *count;
	const char *state;
	size_t n = 0;

	out[0] = '\0';
	json_object_foreach(states, state, count)
	{
		if (!json_integer_value(count) || n >= size)
			continue;
		n += (size_t)snprintf(out + n, size - n, "%s%s %lld",
				      n ? ", " : "", state,
				      (long long)json_integer_value(count));
	}
}

static void print_placements(const json_t *root)
{
	json_t *p;
	size_t i;

	printf("%-32s %-12s %-12s %-8s %-10s %5s  %s\n", "ID", "USER", "KIND",
	       "CLASS", "URGENCY", "COUNT", "TASKS");
	json_array_foreach(json_object_get(root, "placements"), i, p)
	{
		char states[128];

		format_states(p, states, sizeof(states));
		printf("%-32s %-12s %-12s %-8s %-10s %5lld  %s\n",
		       cmd_get_string(p, "id"), cmd_get_string(p, "user"),
		       cmd_get_string(p, "kind"), cmd_get_string(p, "class"),
		       cmd_get_string(p, "urgency"),
		       (long long)cmd_get_int(p, "count"), states);
	}
	if (json_is_false(json_object_get(root, "complete")))
		printf("The owner of at least one zone did not answer.\n");
}

static void print_placement(const json_t *root)
{
	json_t *tasks = json_object_get(root, "tasks"), *t;
	char states[128];
	size_t i;

	format_states(root, states, sizeof(states));
	printf("%s: %s of %s %s, kind %s, %s%s\n", cmd_get_string(root, "id"),
	       cmd_get_string(root, "class"), cmd_get_string(root, "user"),
	       cmd_get_string(root, "team"), cmd_get_string(root, "kind"),
	       cmd_get_string(root, "urgency"),
	       json_is_true(json_object_get(root, "cancelled")) ? ", cancelled"
								: "");
	printf("%lld tasks of %lld/1000 cores, %lld MB, %lld accelerators: "
	       "%s\n",
	       (long long)cmd_get_int(root, "count"),
	       (long long)cmd_get_int(root, "cpu_milli"),
	       (long long)cmd_get_int(root, "memory_mb"),
	       (long long)cmd_get_int(root, "accelerators"), states);
	json_array_foreach(tasks, i, t)
		printf("  %-36s %-10s attempt %lld %s%s%s\n",
		       cmd_get_string(t, "id"), cmd_get_string(t, "state"),
		       (long long)cmd_get_int(t, "attempt"),
		       cmd_get_string(t, "worker"),
		       *cmd_get_string(t, "reason") ? "  " : "",
		       cmd_get_string(t, "reason"));
}

void cmd_placement_print(const struct cmd_options *o, const json_t *root)
{
	if (o->json->count)
		cmd_print_json(root);
	else if (json_object_get(root, "placements"))
		print_placements(root);
	else
		print_placement(root);
}

int cmd_placement_by_id(int argc, char **argv, const char *name,
			const char *summary, const char *method)
{
	struct cmd_options o;
	json_t *root = NULL;
	int ret;

	cmd_options_init(&o);
	struct arg_str *id =
		arg_str1(NULL, NULL, "AZ.NAME", "id of the placement");
	void *table[] = { CMD_OPTIONS_TABLE(&o), id, o.end };

	ret = cmd_parse(&o, table, sizeof(table) / sizeof(table[0]), name,
			summary, argc, argv);
	if (ret < 0) {
		ret = cmd_placement_call(&o, method, id->sval[0], NULL, &root);
		if (ret == CMD_OK)
			cmd_placement_print(&o, root);
	}
	json_decref(root);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return ret;
}

int cmd_placement_send(int argc, char **argv, const char *name,
		       const char *summary, const char *method)
{
	struct cmd_options o;
	struct cmd_placement p;
	void *table[TABLE_MAX];
	json_t *placement = NULL, *root = NULL;
	const char *id;
	size_t n;
	int ret;

	cmd_options_init(&o);
	cmd_placement_init(&p);
	n = cmd_placement_table(&o, &p, table);
	ret = cmd_parse(&o, table, n, name, summary, argc, argv);
	if (ret >= 0)
		goto out;
	placement = cmd_placement_build(&p);
	if (!placement) {
		ret = p.file->count ? CMD_INVALID_FILE : CMD_USAGE;
		goto out;
	}
	if (!*cmd_get_string(placement, "id")) {
		fprintf(stderr, "waxwingctl %s: placement id is missing\n",
			name);
		ret = CMD_USAGE;
		goto out;
	}
	/* POST carries the id in the body only, as the resource is new. */
	id = strcmp(method, "POST") ? cmd_get_string(placement, "id") : NULL;
	ret = cmd_placement_call(&o, method, id, placement, &root);
	if (ret == CMD_OK)
		cmd_placement_print(&o, root);
out:
	json_decref(root);
	json_decref(placement);
	arg_freetable(table, n);
	return ret;
}
