#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "log-line.h"

/*
 * Parses "KEY=VALUE " at *text and advances *text. Returns the length of the
 * value, or -1 if the key differs or the value is empty.
 */
static int parse_field(const char **text, const char *key, const char **value)
{
	size_t len = strlen(key);
	size_t n;

	if (strncmp(*text, key, len) || (*text)[len] != '=')
		return -1;
	*value = *text + len + 1;
	n = strcspn(*value, " ");
	*text = *value + n;
	*text += **text == ' ';
	return n ? (int)n : -1;
}

/* Returns whether the text consists of zero or more key=value pairs. */
static bool is_key_value_list(const char *text)
{
	while (*text) {
		size_t key = 0;

		while (isalnum((unsigned char)text[key]) || text[key] == '_' ||
		       text[key] == '-')
			key++;
		if (!key || text[key] != '=')
			return false;
		text += key + 1;
		if (*text == '"') {
			text += 1 + strcspn(text + 1, "\"");
			if (!*text)
				return false;
			text++;
		} else {
			text += strcspn(text, " ");
		}
		if (*text && *text != ' ')
			return false;
		text += strspn(text, " ");
	}
	return true;
}

int log_line_parse(const char *text, struct log_line *out)
{
	size_t text_len = strlen(text);
	char level_name[16];
	const char *value;
	char *end;
	int n;

	n = parse_field(&text, "ts", &value);
	if (n < 0)
		return -1;
	out->time_s = strtod(value, &end);
	if (end != value + n)
		return -1;
	n = parse_field(&text, "level", &value);
	if (n < 0 || n >= (int)sizeof(level_name))
		return -1;
	memcpy(level_name, value, (size_t)n);
	level_name[n] = '\0';
	if (log_level_parse(level_name, &out->level) < 0)
		return -1;
	n = parse_field(&text, "node", &out->node);
	if (n < 0)
		return -1;
	out->node_len = (size_t)n;
	n = parse_field(&text, "event", &out->event);
	if (n < 0)
		return -1;
	out->event_len = (size_t)n;
	/* A truncated line can end in the middle of a pair. */
	return text_len >= LOG_LINE_BYTES - 2 || is_key_value_list(text) ? 0
									 : -1;
}
