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
 *	force and logs what changed but is only read at the start, that is
 *	all but [log] and the keys of live. The caller puts those in force.
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
		    const struct settings_key *live, size_t live_count,
		    struct settings *read);

#endif
