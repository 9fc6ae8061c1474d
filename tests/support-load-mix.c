#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "buffer.h"
#include "support-load.h"

enum field_type { FIELD_TEXT, FIELD_NUMBER, FIELD_RATE, FIELD_FLAG };

struct field {
	const char *name;
	enum field_type type;
	size_t offset;
	size_t size; /* FIELD_TEXT */
};

#define TEXT(f)                                               \
	{                                                     \
#f, FIELD_TEXT, offsetof(struct load_mix, f), \
			sizeof(((struct load_mix *)NULL)->f)  \
	}
#define OTHER(f, type)                                    \
	{                                                 \
#f, type, offsetof(struct load_mix, f), 0 \
	}

static const struct field fields[] = {
	TEXT(user),
	TEXT(team),
	TEXT(kind),
	TEXT(urgency),
	OTHER(rate, FIELD_RATE),
	OTHER(deadline_ms, FIELD_NUMBER),
	OTHER(work_us, FIELD_NUMBER),
	OTHER(work_spread, FIELD_NUMBER),
	OTHER(body_bytes, FIELD_NUMBER),
	OTHER(answer_bytes, FIELD_NUMBER),
	OTHER(retries, FIELD_NUMBER),
	OTHER(retry_ms, FIELD_NUMBER),
	OTHER(duplicate_percent, FIELD_NUMBER),
	OTHER(start_s, FIELD_RATE),
	OTHER(stop_s, FIELD_RATE),
	OTHER(idempotent, FIELD_FLAG),
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

struct mix_reader {
	struct load *load;
	char section[64];
	struct load_mix *mix;
};

static struct load_mix *add_mix(struct load *l);
static int set_field(struct load_mix *m, const char *name, const char *value);
static int on_ini_entry(void *arg, const char *section, const char *name,
			const char *value);

static struct load_mix *add_mix(struct load *l)
{
	struct load_mix *m;

	if (l->mix_count == LOAD_MIX_MAX) {
		fprintf(stderr,
			"too many kinds of request: the maximum is %d\n",
			LOAD_MIX_MAX);
		return NULL;
	}
	m = &l->mix[l->mix_count];
	m->load = l;
	m->rng.state = l->seed * 1000 + l->mix_count;
	m->rate = 10;
	m->deadline_ms = 1000;
	m->work_us = 20000;
	m->retry_ms = 100;
	m->idempotent = true;
	l->mix_count++;
	return m;
}

static int set_field(struct load_mix *m, const char *name, const char *value)
{
	const struct field *f = fields;
	char *at;

	while (f < fields + FIELD_COUNT && strcmp(f->name, name))
		f++;
	if (f == fields + FIELD_COUNT) {
		fprintf(stderr, "unknown request setting: %s\n", name);
		return -1;
	}
	at = (char *)m + f->offset;
	switch (f->type) {
	case FIELD_TEXT:
		snprintf(at, f->size, "%s", value);
		break;
	case FIELD_NUMBER:
		*(uint32_t *)(void *)at = (uint32_t)strtoul(value, NULL, 10);
		break;
	case FIELD_RATE:
		*(double *)(void *)at = strtod(value, NULL);
		break;
	case FIELD_FLAG:
		*(bool *)(void *)at = !strcmp(value, "yes");
		break;
	}
	return 0;
}

int load_add_mix(struct load *l, const char *text)
{
	struct load_mix *m = add_mix(l);
	char *copy = xstrdup(text), *save = NULL, *part, *value;
	int rc = m ? 0 : -1;

	for (part = strtok_r(copy, ",", &save); part && rc == 0;
	     part = strtok_r(NULL, ",", &save)) {
		value = strchr(part, '=');
		if (!value) {
			fprintf(stderr, "%s: expected KEY=VALUE\n", part);
			rc = -1;
			break;
		}
		*value++ = '\0';
		rc = set_field(m, part, value);
	}
	free(copy);
	return rc;
}

/* Each section is a kind of request, named after it unless "kind" is set. */
static int on_ini_entry(void *arg, const char *section, const char *name,
			const char *value)
{
	struct mix_reader *r = arg;

	if (!r->mix || strcmp(r->section, section)) {
		snprintf(r->section, sizeof(r->section), "%s", section);
		r->mix = add_mix(r->load);
		if (!r->mix)
			return 0;
		snprintf(r->mix->kind, sizeof(r->mix->kind), "%s", section);
	}
	return set_field(r->mix, name, value) == 0;
}

int load_read_mix(struct load *l, const char *path)
{
	struct mix_reader r = { .load = l };
	int line = ini_parse(path, on_ini_entry, &r);

	if (line == 0)
		return 0;
	fprintf(stderr, "%s:%d: cannot read or parse the file\n", path, line);
	return -1;
}

const char *load_mix_keys(void)
{
	static char text[512];

	for (size_t i = 0; !text[0] || i < FIELD_COUNT; i++) {
		size_t n = strlen(text);

		snprintf(text + n, sizeof(text) - n, "%s%s", n ? " " : "",
			 fields[i].name);
	}
	return text;
}
