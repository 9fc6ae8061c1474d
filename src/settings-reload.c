#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "settings-reload.h"

struct live_keys {
	const struct settings_key *keys;
	size_t count;
};

static void log_fault(void *arg, const char *file, int line,
		      const char *message);
static bool is_live(const struct live_keys *live, const char *section,
		    const char *key);
static void report_key(void *arg, const char *section, const char *key);

static void log_fault(void *arg, const char *file, int line,
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

static bool is_live(const struct live_keys *live, const char *section,
		    const char *key)
{
	if (!strcmp(section, "log"))
		return true;
	for (size_t i = 0; i < live->count; i++)
		if (!strcmp(live->keys[i].section, section) &&
		    !strcmp(live->keys[i].key, key))
			return true;
	return false;
}

static void report_key(void *arg, const char *section, const char *key)
{
	if (is_live(arg, section, key))
		log_event(LOG_INFO, "settings-changed", "section=%s key=%s",
			  section, key);
	else
		log_event(LOG_WARNING, "settings-need-restart",
			  "section=%s key=%s", section, key);
}

int settings_reload(const char *path, const struct settings *running,
		    const struct settings_key *live, size_t live_count,
		    struct settings *read)
{
	struct live_keys keys = { live, live_count };

	if (settings_check(path, read, log_fault, NULL)) {
		log_event(LOG_ERROR, "settings-refused",
			  "reason=\"the settings in force stay\"");
		return -1;
	}
	settings_compare(running, read, report_key, &keys);
	log_set_level(read->log_level);
	log_set_limit(read->log_lines_per_s);
	log_event(LOG_INFO, "settings-reloaded", "file=%s", path);
	return 0;
}
