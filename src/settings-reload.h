#ifndef SETTINGS_RELOAD_H
#define SETTINGS_RELOAD_H

#include <stddef.h>

#include "settings.h"

/*
 * NAME
 *	settings-reload - the settings file read again by a running process
 *
 * DESCRIPTION
 *	settings_reload() reads the file into read, puts the section [log] in
 *	force and logs each key that differs from the running settings: as
 *	changed, if it is of [log] or in live, else as one that is only read
 *	at the start. The caller puts the keys of live in force.
 *
 * RETURN VALUES
 *	0, or -1 after logging the faults of the file; the settings in force
 *	stay.
 */

struct settings_key {
	const char *section;
	const char *key;
};

int settings_reload(const char *path, const struct settings *running,
		    const struct settings_key *reloadable,
		    size_t reloadable_count, struct settings *reloaded);

#endif
