#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "support-cluster.h"

/* Returns the parsed /v1/status of an entry VM, or NULL. */
static json_t *read_status(struct cluster *c, uint32_t entry)
{
	struct buffer b = BUFFER_INIT;
	json_t *root = NULL;

	if (cluster_http(cluster_operator_port(c, entry), "GET", "/v1/status",
			 NULL, NULL, &b) == 200)
		root = json_loadb(b.data, b.len, 0, NULL);
	buffer_free(&b);
	return root;
}

static json_int_t integer_member(const json_t *root, const char *name)
{
	return json_integer_value(json_object_get(root, name));
}

int64_t cluster_status_number(struct cluster *c, uint32_t entry,
			      const char *object, const char *name)
{
	json_t *root = read_status(c, entry);
	json_t *from = object ? json_object_get(root, object) : root;
	int64_t value = root ? (int64_t)integer_member(from, name) : -1;

	json_decref(root);
	return value;
}

/* Needs a sheet, targets and confirmed seats for all running in the zone. */
static bool entry_is_ready(struct cluster *c, uint32_t entry)
{
	json_t *root = read_status(c, entry);
	json_t *seat = json_object_get(root, "seat");
	uint32_t running = 0;
	bool ready;

	for (uint32_t i = 0; i < c->entry_count; i++)
		running += c->entries[i].pid > 0 &&
			   c->entry_zone[i] == c->entry_zone[entry];
	ready = root && integer_member(root, "config_revision") > 0 &&
		integer_member(seat, "count") == (json_int_t)running &&
		json_is_true(json_object_get(seat, "confirmed")) &&
		integer_member(root, "targets") > 0;
	json_decref(root);
	return ready;
}

static bool all_entries_ready(struct cluster *c, void *arg)
{
	(void)arg;
	for (uint32_t i = 0; i < c->entry_count; i++)
		if (c->entries[i].pid > 0 && !entry_is_ready(c, i))
			return false;
	return true;
}

int cluster_wait_ready(struct cluster *c, uint32_t timeout_ms)
{
	if (!cluster_wait_until(c, all_entries_ready, NULL, timeout_ms))
		return 0;
	for (uint32_t i = 0; i < c->entry_count; i++) {
		json_t *root = read_status(c, i);
		char *text = root ? json_dumps(root, JSON_COMPACT) : NULL;

		fprintf(stderr, "entry %u is not ready: %s\n", i,
			text ? text : "no response");
		free(text);
		json_decref(root);
	}
	return -1;
}

int cluster_apply_sheet(struct cluster *c, uint32_t entry, const char *csv)
{
	struct buffer b = BUFFER_INIT;
	char path[64];
	int64_t base = cluster_status_number(c, entry, NULL, "config_revision");
	int status;

	snprintf(path, sizeof(path), "/v1/sheet?base=%" PRId64,
		 base > 0 ? base : 0);
	status = cluster_http(cluster_operator_port(c, entry), "PUT", path,
			      NULL, csv, &b);
	if (status != 200)
		fprintf(stderr, "cannot apply sheet: status %d: %s\n", status,
			b.len ? b.data : "");
	buffer_free(&b);
	return status == 200 ? 0 : -1;
}
