#ifndef SUPPORT_VMS_H
#define SUPPORT_VMS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

/*
 * NAME
 *	support-vms - list of VMs, read from a file and published late
 *
 * DESCRIPTION
 *	The file holds the JSON array that GET /v1/vms returns. It is read
 *	again when it changed; a file that does not parse is ignored until it
 *	does, so replace it by rename. The truth is what the file says now,
 *	the published list what it said lag_us ago. The first list is
 *	published at once. Not thread-safe.
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

/* Reads a changed file and publishes what is due. True: the truth changed. */
bool vms_poll(struct vms *v, uint64_t now_us);

#endif
