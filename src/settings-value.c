#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "settings-internal.h"

/* The largest unit factor: one minute in microseconds. */
#define UNIT_FACTOR_MAX 60000000u

struct unit {
	const char *suffix;
	uint64_t factor;
};

static const struct unit time_units[] = {
	{ "ms", 1000u },
	{ "s", 1000000u },
	{ "m", 60000000u },
	{ NULL, 0 },
};
static const struct unit byte_units[] = {
	{ "B", 1u },
	{ "KB", 1024u },
	{ "MB", 1024u * 1024u },
	{ NULL, 0 },
};
static const struct unit percent_units[] = { { "%", 1u }, { NULL, 0 } };

static int parse_number(const char *text, uint64_t *value, const char **end);
static bool parse_address(const char *text, struct settings_address *a);
static void set_number(struct settings_parser *p,
		       const struct settings_entry *e, const char *value,
		       const struct unit *units);
static void set_cores(struct settings_parser *p, const struct settings_entry *e,
		      const char *value);
static void set_text(struct settings_parser *p, const struct settings_entry *e,
		     const char *value);
static void set_choice(struct settings_parser *p,
		       const struct settings_entry *e, const char *value);
static void set_seeds(struct settings_parser *p, const char *value);

/*
 * Parses decimal digits. Returns -1 if there are none or the number could
 * overflow when multiplied by a unit.
 */
static int parse_number(const char *text, uint64_t *value, const char **end)
{
	char *digits_end;

	if (!isdigit((unsigned char)*text))
		return -1;
	errno = 0;
	*value = strtoull(text, &digits_end, 10);
	*end = digits_end;
	return errno || *value > UINT64_MAX / UNIT_FACTOR_MAX ? -1 : 0;
}

/* Parses IP:PORT, such as 192.0.2.1:80 or [2001:db8::1]:80. */
static bool parse_address(const char *text, struct settings_address *a)
{
	unsigned char binary_address[sizeof(struct in6_addr)];
	const char *colon = strrchr(text, ':');
	const char *host = text, *end;
	size_t len;
	uint64_t port;
	int family = AF_INET;

	if (!colon || parse_number(colon + 1, &port, &end) < 0 || *end ||
	    port < 1 || port > 65535)
		return false;
	len = (size_t)(colon - text);
	if (len > 2 && text[0] == '[' && text[len - 1] == ']') {
		family = AF_INET6;
		host++;
		len -= 2;
	}
	if (len >= sizeof(a->host))
		return false;
	memset(a, 0, sizeof(*a));
	memcpy(a->host, host, len);
	a->port = (uint16_t)port;
	return inet_pton(family, a->host, binary_address) == 1;
}

/* Parses a number with a unit; 0 may be given without one. */
static void set_number(struct settings_parser *p,
		       const struct settings_entry *e, const char *value,
		       const struct unit *units)
{
	char *field = (char *)p->s + e->offset;
	const char *suffix;
	uint64_t n;
	uint64_t factor = 1;

	if (parse_number(value, &n, &suffix) < 0) {
		settings_report_error(p, p->line, "%s: \"%s\" is not a number",
				      e->name, value);
		return;
	}
	while (isspace((unsigned char)*suffix))
		suffix++;
	if (units && (n || *suffix)) {
		while (units->suffix && strcmp(units->suffix, suffix))
			units++;
		if (!units->suffix) {
			settings_report_error(
				p, p->line, "%s: %s unit in \"%s\"", e->name,
				*suffix ? "unknown" : "missing", value);
			return;
		}
		factor = units->factor;
	} else if (*suffix) {
		settings_report_error(p, p->line,
				      "%s: unexpected unit in \"%s\"", e->name,
				      value);
		return;
	}
	n *= factor;
	if (n < e->min || n > e->max) {
		settings_report_error(p, p->line, "%s: \"%s\" is out of range",
				      e->name, value);
		return;
	}
	if (e->type == VALUE_TIME)
		*(uint64_t *)(void *)field = n;
	else if (e->type == VALUE_BYTES)
		*(size_t *)(void *)field = (size_t)n;
	else
		*(uint32_t *)(void *)field = (uint32_t)n;
}

/* Parses a decimal number of cores into thousandths. */
static void set_cores(struct settings_parser *p, const struct settings_entry *e,
		      const char *value)
{
	uint32_t *field = (uint32_t *)((char *)p->s + e->offset);
	char *end;
	double cores = strtod(value, &end);

	if (end == value || *end || !(cores >= (double)e->min / 1000) ||
	    cores > (double)e->max / 1000) {
		settings_report_error(
			p, p->line, "%s: \"%s\" is not between %g and %g cores",
			e->name, value, (double)e->min / 1000,
			(double)e->max / 1000);
		return;
	}
	*field = (uint32_t)(cores * 1000 + 0.5);
}

/* Checks and copies a name, a token or a CURVE key. */
static void set_text(struct settings_parser *p, const struct settings_entry *e,
		     const char *value)
{
	static const char z85[] = ".-:+=^!/*?&<>()[]{}@%$#";
	char *field = (char *)p->s + e->offset;
	size_t len = strlen(value);
	const char *extra = e->type == VALUE_NAME ? "-_" : z85;

	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)value[i];

		if (e->type == VALUE_TOKEN ? !isgraph(c)
					   : !isalnum(c) && !strchr(extra, c)) {
			settings_report_error(
				p, p->line,
				"%s: invalid character at position %zu",
				e->name, i + 1);
			return;
		}
	}
	if (e->type == VALUE_CURVE_KEY && len != CURVE_KEY_CHARS) {
		settings_report_error(
			p, p->line,
			"%s: a CURVE key has %d Z85 characters, not %zu",
			e->name, CURVE_KEY_CHARS, len);
		return;
	}
	if (e->type == VALUE_TOKEN && len < TOKEN_MIN_CHARS) {
		settings_report_error(p, p->line,
				      "%s: shorter than %d characters", e->name,
				      TOKEN_MIN_CHARS);
		return;
	}
	if (!len || len >= SETTINGS_TEXT_BYTES) {
		settings_report_error(p, p->line,
				      "%s: must have 1 to %d characters",
				      e->name, SETTINGS_TEXT_BYTES - 1);
		return;
	}
	memcpy(field, value, len + 1);
}

static void set_choice(struct settings_parser *p,
		       const struct settings_entry *e, const char *value)
{
	char list[128] = "";

	for (int i = 0; e->choices[i]; i++) {
		if (!strcmp(e->choices[i], value)) {
			*(int *)(void *)((char *)p->s + e->offset) = i;
			return;
		}
		strncat(list, i ? ", " : "", sizeof(list) - strlen(list) - 1);
		strncat(list, e->choices[i], sizeof(list) - strlen(list) - 1);
	}
	settings_report_error(p, p->line, "%s: \"%s\" is not one of %s",
			      e->name, value, list);
}

/* Appends a comma-separated list of addresses. */
static void set_seeds(struct settings_parser *p, const char *value)
{
	char copy[SETTINGS_LINE_MAX_BYTES];
	char *rest = copy, *word;

	snprintf(copy, sizeof(copy), "%s", value);
	while ((word = strsep(&rest, ","))) {
		struct settings_address a;
		char *end;

		word += strspn(word, " \t");
		end = word + strlen(word);
		while (end > word && isspace((unsigned char)end[-1]))
			*--end = '\0';
		if (!*word && !rest)
			continue; /* trailing comma before a new line */
		if (!parse_address(word, &a))
			settings_report_error(p, p->line,
					      "seeds: \"%s\" is not IP:PORT",
					      word);
		else if (p->s->peers.seed_count == SETTINGS_SEEDS_MAX)
			settings_report_error(p, p->line,
					      "seeds: more than %d addresses",
					      SETTINGS_SEEDS_MAX);
		else
			p->s->peers.seeds[p->s->peers.seed_count++] = a;
	}
}

void settings_set_value(struct settings_parser *p,
			const struct settings_entry *e, const char *value)
{
	char *field = (char *)p->s + e->offset;

	switch (e->type) {
	case VALUE_NAME:
	case VALUE_TOKEN:
	case VALUE_CURVE_KEY:
		set_text(p, e, value);
		break;
	case VALUE_ADDRESS:
		if (!parse_address(value,
				   (struct settings_address *)(void *)field))
			settings_report_error(p, p->line,
					      "%s: \"%s\" is not IP:PORT",
					      e->name, value);
		break;
	case VALUE_SEEDS:
		set_seeds(p, value);
		break;
	case VALUE_COUNT:
		set_number(p, e, value, NULL);
		break;
	case VALUE_PERCENT:
		set_number(p, e, value, percent_units);
		break;
	case VALUE_CORES:
		set_cores(p, e, value);
		break;
	case VALUE_BYTES:
		set_number(p, e, value, byte_units);
		break;
	case VALUE_TIME:
		set_number(p, e, value, time_units);
		break;
	case VALUE_CHOICE:
		set_choice(p, e, value);
		break;
	}
}

size_t settings_field_size(const struct settings_entry *e)
{
	switch (e->type) {
	case VALUE_NAME:
	case VALUE_TOKEN:
		return SETTINGS_TEXT_BYTES;
	case VALUE_CURVE_KEY:
		return CURVE_KEY_CHARS + 1;
	case VALUE_ADDRESS:
		return sizeof(struct settings_address);
	case VALUE_SEEDS:
		return SETTINGS_SEEDS_MAX * sizeof(struct settings_address) +
		       sizeof(uint32_t);
	case VALUE_BYTES:
		return sizeof(size_t);
	case VALUE_TIME:
		return sizeof(uint64_t);
	case VALUE_COUNT:
	case VALUE_PERCENT:
	case VALUE_CORES:
	case VALUE_CHOICE:
		break;
	}
	return sizeof(uint32_t);
}
