#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "seats.h"

static int find_name(const char (*names)[SEAT_NAME_BYTES], uint32_t count,
		     const char *name);
static void begin_change(struct seats *s);
static void finish_change(struct seats *s);
static json_t *names_to_json(const char (*names)[SEAT_NAME_BYTES],
			     uint32_t count);
static int names_from_json(json_t *list, char names[][SEAT_NAME_BYTES],
			   uint32_t *count);

void seats_format_name(char out[SEAT_NAME_BYTES], const char *id,
		       uint64_t started_us)
{
	snprintf(out, SEAT_NAME_BYTES, "%.63s/%" PRIu64, id, started_us);
}

void seats_parse_id(const char *name, char out[64])
{
	snprintf(out, 64, "%.*s", (int)strcspn(name, "/"), name);
}

static int find_name(const char (*names)[SEAT_NAME_BYTES], uint32_t count,
		     const char *name)
{
	for (uint32_t i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return (int)i;
	return -1;
}

int seats_find(const struct seats *s, const char *name)
{
	return !*name ? -1 : find_name(s->names, s->count, name);
}

static json_t *names_to_json(const char (*names)[SEAT_NAME_BYTES],
			     uint32_t count)
{
	json_t *list = json_array();

	for (uint32_t i = 0; i < count; i++)
		json_array_append_new(list, json_string(names[i]));
	return list;
}

char *seats_format(const struct seats *s)
{
	json_t *root = json_pack(
		"{s:i, s:I, s:b, s:o, s:o}", "format", SEATS_FORMAT, "revision",
		(json_int_t)s->revision, "confirmed", s->confirmed, "seats",
		names_to_json(s->names, s->count), "previous",
		names_to_json(s->previous, s->previous_count));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static int names_from_json(json_t *list, char names[][SEAT_NAME_BYTES],
			   uint32_t *count)
{
	*count = (uint32_t)json_array_size(list);
	if (!json_is_array(list) || *count > SEATS_MAX)
		return -1;
	for (uint32_t i = 0; i < *count; i++) {
		json_t *item = json_array_get(list, i);
		const char *name = json_string_value(item);

		if (!name || strlen(name) >= SEAT_NAME_BYTES ||
		    (*name && find_name(names, i, name) >= 0))
			return -1;
		memcpy(names[i], name, strlen(name) + 1);
	}
	return 0;
}

int seats_parse(const char *text, size_t len, struct seats *s,
		struct error *err)
{
	json_t *root, *names, *previous;
	json_int_t revision;
	int format = 0, confirmed, ret = -1;

	memset(s, 0, sizeof(*s));
	root = json_loadb(text, len, 0, NULL);
	if (json_unpack(root, "{s:i}", "format", &format) == 0 &&
	    format > SEATS_FORMAT) {
		error_set(err, ERROR_LAYER_CORE, SEATS_NEWER_FORMAT,
			  "unsupported seats format %d", format);
		goto out;
	}
	if (json_unpack(root, "{s:I, s:b, s:o, s:o}", "revision", &revision,
			"confirmed", &confirmed, "seats", &names, "previous",
			&previous) < 0 ||
	    revision < 1 || names_from_json(names, s->names, &s->count) < 0 ||
	    names_from_json(previous, s->previous, &s->previous_count) < 0) {
		error_set(err, ERROR_LAYER_CORE, SEATS_MALFORMED,
			  "malformed seats value");
		goto out;
	}
	s->revision = (uint64_t)revision;
	s->confirmed = confirmed != 0;
	ret = 0;
out:
	json_decref(root);
	return ret;
}

/*
 * Saves the split as previous if it is confirmed. Otherwise previous already
 * holds the last confirmed split, which limits all seats until the next
 * confirmation.
 */
static void begin_change(struct seats *s)
{
	if (!s->confirmed && s->revision)
		return;
	memcpy(s->previous, s->names, sizeof(s->previous));
	s->previous_count = s->count;
}

/* No confirmation is needed if the last confirmed split had no seats. */
static void finish_change(struct seats *s)
{
	s->revision++;
	s->confirmed = true;
	for (uint32_t i = 0; i < s->previous_count; i++)
		s->confirmed &= !s->previous[i][0];
}

int seats_add(struct seats *s, const char *name)
{
	int index = find_name(s->names, s->count, "");

	if (seats_find(s, name) >= 0 || (index < 0 && s->count == SEATS_MAX))
		return -1;
	begin_change(s);
	if (index < 0)
		index = (int)s->count++;
	snprintf(s->names[index], SEAT_NAME_BYTES, "%s", name);
	finish_change(s);
	return 0;
}

int seats_remove(struct seats *s, const char *name)
{
	int i = seats_find(s, name);

	if (i < 0)
		return -1;
	begin_change(s);
	memset(s->names[i], 0, sizeof(s->names[i]));
	finish_change(s);
	return 0;
}

uint32_t seats_count_held(const struct seats *s)
{
	uint32_t held = 0;

	for (uint32_t i = 0; i < s->count; i++)
		held += s->names[i][0] != '\0';
	return held;
}

int seats_compact(struct seats *s)
{
	uint32_t n = 0;

	if (seats_count_held(s) == s->count)
		return -1;
	begin_change(s);
	for (uint32_t i = 0; i < s->count; i++)
		if (s->names[i][0])
			memmove(s->names[n++], s->names[i],
				sizeof(s->names[0]));
	memset(s->names[n], 0, (s->count - n) * sizeof(s->names[0]));
	s->count = n;
	finish_change(s);
	return 0;
}

void seats_get_seat(const struct seats *s, const char *name, struct seat *out)
{
	int i = seats_find(s, name), previous;

	memset(out, 0, sizeof(*out));
	if (i < 0)
		return;
	out->revision = s->revision;
	out->index = (uint32_t)i;
	out->count = s->count;
	if (s->confirmed)
		return;
	previous = find_name(s->previous, s->previous_count, name);
	out->previous_count = s->previous_count;
	out->previous_index =
		previous < 0 ? s->previous_count : (uint32_t)previous;
}

/*
 * The wait for a seat restarts with each revision that contains it and with the
 * one that removes it, since it could start requests until then. Later
 * revisions don't restart it.
 */
void seats_handover_update(struct seats_handover *h, const struct seats *s,
			   uint64_t now_us)
{
	struct seats_handover next = { .revision = s->revision };

	if (h->revision == s->revision)
		return;
	next.count = s->previous_count;
	memcpy(next.names, s->previous, sizeof(next.names));
	for (uint32_t i = 0; i < next.count; i++) {
		int old = find_name(h->names, h->count, next.names[i]);

		next.present[i] = seats_find(s, next.names[i]) >= 0;
		next.since_us[i] = now_us;
		if (old >= 0 && !next.present[i] && !h->present[old])
			next.since_us[i] = h->since_us[old];
	}
	*h = next;
}

bool seats_handover_idle(const struct seats_handover *h, const struct seats *s,
			 uint64_t lease_us, uint64_t idle_us)
{
	if (h->revision != s->revision)
		return false;
	for (uint32_t i = 0; i < h->count; i++)
		if (h->names[i][0] && !h->applied[i] &&
		    (h->present[i] || idle_us < h->since_us[i] + lease_us))
			return false;
	return true;
}

void seats_handover_set_applied(struct seats_handover *h, const char *name,
				uint64_t revision)
{
	int i = find_name(h->names, h->count, name);

	if (i >= 0 && revision >= h->revision)
		h->applied[i] = true;
}

bool seats_handover_done(const struct seats_handover *h, const struct seats *s,
			 uint64_t wait_us, uint64_t now_us)
{
	if (h->revision != s->revision)
		return false;
	for (uint32_t i = 0; i < h->count; i++)
		if (h->names[i][0] && !h->applied[i] &&
		    now_us - h->since_us[i] < wait_us)
			return false;
	return true;
}
