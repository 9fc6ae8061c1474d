#ifndef SUPPORT_VMS_H
#define SUPPORT_VMS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/*
 * NAME
 *	support-vms - list of VMs, read from a file and published with a lag
 *
 * DESCRIPTION
 *	The file holds the JSON array that GET /v1/vms returns. It is read
 *	again when its mtime or inode changes. A file that does not parse is
 *	ignored until it changes again, so replace it by rename. The current
 *	list is the file's content; the published list lags it by lag_us. The
 *	first list is published at once. Not thread-safe.
 */

#define VMS_PENDING_MAX 64

struct vms {
	const char *path;
	uint64_t lag_us;
	uint64_t mtime_ns;
	uint64_t inode;
	json_t *current;   /* array, NULL before the first read */
	json_t *published; /* array */
	struct {
		json_t *list;
		uint64_t publish_us;
	} pending[VMS_PENDING_MAX];
	unsigned pending_count;
};

void vms_init(struct vms *v, const char *path, uint64_t lag_us);
void vms_free(struct vms *v);

/* Reloads a changed file, publishes due lists. True: current was replaced. */
bool vms_poll(struct vms *v, uint64_t now_us);

#endif
