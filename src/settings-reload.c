#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "settings-reload.h"

struct reloadable_keys {
	const struct settings_key *keys;
	size_t count;
};

static void log_file_error(void *arg, const char *file, int line,
			   const char *message);
static bool is_reloadable(const struct reloadable_keys *reloadable,
			  const char *section, const char *key);
static void report_key(void *arg, const char *section, const char *key);

static void log_file_error(void *arg, const char *file, int line,
			   const char *message)
{
	char text[ERROR_MESSAGE_BYTES];

	(void)arg;
	snprintf(text, sizeof(text), "%s", message);
	for (char *c = text; *c; c++)
		if (*c == '"')
			*c = '\'';
	log_event(LOG_ERROR, "settings-fault", "at=%s:%d message=\"%s\"", file,
		  line, text);
}

static bool is_reloadable(const struct reloadable_keys *reloadable,
			  const char *section, const char *key)
{
	if (!strcmp(section, "log"))
		return true;
	for (size_t i = 0; i < reloadable->count; i++)
		if (!strcmp(reloadable->keys[i].section, section) &&
		    !strcmp(reloadable->keys[i].key, key))
			return true;
	return false;
}

static void report_key(void *arg, const char *section, const char *key)
{
	if (is_reloadable(arg, section, key))
		log_event(LOG_INFO, "settings-changed", "section=%s key=%s",
			  section, key);
	else
		log_event(LOG_WARNING, "settings-need-restart",
			  "section=%s key=%s", section, key);
}

int settings_reload(const char *path, const struct settings *running,
		    const struct settings_key *reloadable,
		    size_t reloadable_count, struct settings *reloaded)
{
	struct reloadable_keys keys = { reloadable, reloadable_count };

	if (settings_check(path, reloaded, log_file_error, NULL)) {
		log_event(LOG_ERROR, "settings-refused",
			  "reason=\"the running settings are unchanged\"");
		return -1;
	}
	settings_compare(running, reloaded, report_key, &keys);
	log_set_level(reloaded->log_level);
	log_set_rate_limit(reloaded->log_lines_per_s);
	log_event(LOG_INFO, "settings-reloaded", "file=%s", path);
	return 0;
}
