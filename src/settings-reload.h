#ifndef SETTINGS_RELOAD_H
#define SETTINGS_RELOAD_H

#include <stddef.h>

#include "settings.h"

/*
 * NAME
 *	settings-reload - reload of the settings file in a running process
 *
 * DESCRIPTION
 *	settings_reload() parses the file into reloaded, applies the section
 *	[log] and logs each key that differs from the running settings: as
 *	changed if it is in [log] or listed in reloadable, otherwise as
 *	needing a restart. The caller applies the keys in reloadable.
 *
 * RETURN VALUES
 *	0, or -1 after logging the errors in the file; the running settings
 *	are then unchanged.
 */

struct settings_key {
	const char *section;
	const char *key;
};

int settings_reload(const char *path, const struct settings *running,
		    const struct settings_key *reloadable,
		    size_t reloadable_count, struct settings *reloaded);

#endif
