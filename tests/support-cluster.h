#ifndef SUPPORT_CLUSTER_H
#define SUPPORT_CLUSTER_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#include "buffer.h"

/*
 * NAME
 *	support-cluster - a deployment of real processes on loopback
 *
 * DESCRIPTION
 *	cluster_start() writes settings and the list of VMs into a folder and
 *	starts the fakes (fake-platform, fake-runner) and one waxwingd per
 *	entry VM. Programs are taken from WAXWING_BUILD if set, else from the
 *	folder of the calling program. Ports are base_port and up; 0 chooses a
 *	free range, starting from the process id.
 *
 * RETURN VALUES
 *	Functions return 0, or -1 after a message on standard error.
 */

#define CLUSTER_TOKEN "0123456789abcdef"
#define CLUSTER_ZONES_MAX 3
#define CLUSTER_ENTRIES_MAX 9

struct cluster_options {
	uint32_t zones;
	uint32_t entries[CLUSTER_ZONES_MAX];
	uint32_t runners; /* per zone */
	uint32_t workers; /* per zone */
	uint32_t worker_cpu_milli;
	uint32_t worker_memory_mb;
	uint32_t workers_per_rack;
	uint32_t list_lag_ms;
	uint32_t report_lag_ms;
	bool proxy_links;   /* reach peers, store through fault-proxy */
	uint32_t threads;   /* of each entry VM's front */
	const char *policy; /* lines of the [policy] section, or NULL */
	uint16_t base_port;
	uint64_t seed;
};

struct cluster_process {
	pid_t pid; /* 0: not running */
	char name[48];
};

struct cluster {
	struct cluster_options options;
	char folder[256];
	char build_folder[256];
	uint16_t base_port;
	char curve_public[41];
	char curve_secret[41];
	struct cluster_process store;
	struct cluster_process proxy;
	struct cluster_process workers[CLUSTER_ZONES_MAX];
	struct cluster_process runners[CLUSTER_ZONES_MAX];
	struct cluster_process entries[CLUSTER_ENTRIES_MAX];
	uint32_t entry_zone[CLUSTER_ENTRIES_MAX];
	uint32_t entry_generation[CLUSTER_ENTRIES_MAX];
	uint32_t entry_count;
};

extern const char *const cluster_zone_names[CLUSTER_ZONES_MAX];

void cluster_default_options(struct cluster_options *o);
int cluster_start(struct cluster *c, const struct cluster_options *o);

/* Ends every process; removes the folder unless WAXWING_KEEP is set. */
void cluster_stop(struct cluster *c);

/* Starts entry VM i under a new id, like a replacement VM. */
int cluster_entry_start(struct cluster *c, uint32_t i);

/* Sends a signal; with SIGKILL it also waits for the process to exit. */
void cluster_entry_signal(struct cluster *c, uint32_t i, int sig);

/* Waits until entry VM i has exited; -1 after timeout_ms. */
int cluster_entry_wait_exit(struct cluster *c, uint32_t i, uint32_t timeout_ms);

uint16_t cluster_front_port(const struct cluster *c, uint32_t entry);
uint16_t cluster_operator_port(const struct cluster *c, uint32_t entry);
uint16_t cluster_store_port(const struct cluster *c);
uint16_t cluster_runner_control_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_worker_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_proxy_port(const struct cluster *c);

/* Updates the VM list; state is "live", "leaving" or "gone". */
int cluster_set_vm_state(struct cluster *c, const char *id, const char *state);

/* HTTP call on loopback with the operator token; returns the status or -1. */
int cluster_http(uint16_t port, const char *method, const char *path,
		 const char *headers, const char *body, struct buffer *answer);

/* Posts a JSON object to /v1/fault of a fake. */
int cluster_set_fault(uint16_t port, const char *json);

/* Changes a link of the fault proxy, such as "store-0", "peer-0-3". */
int cluster_set_link(struct cluster *c, const char *link, const char *json);

/* Partitions a zone from the platform and other zones, or heals it. */
int cluster_partition_zone(struct cluster *c, uint32_t zone, bool cut);

/* Waits until fn(c, arg) is true; -1 after timeout_ms. */
int cluster_wait_until(struct cluster *c,
		       bool (*fn)(struct cluster *c, void *arg), void *arg,
		       uint32_t timeout_ms);

/* Waits until all running entry VMs have a seat, a sheet and targets. */
int cluster_wait_ready(struct cluster *c, uint32_t timeout_ms);

/* Number in an entry VM's status, at top level if object is NULL; or -1. */
int64_t cluster_status_number(struct cluster *c, uint32_t entry,
			      const char *object, const char *name);

/* Applies a sheet through an entry VM, based on its current revision. */
int cluster_apply_sheet(struct cluster *c, uint32_t entry, const char *csv);

/* Runs program argv[0] of the build folder; returns its exit status. */
int cluster_run(struct cluster *c, const char *const argv[],
		const char *output);

/* Starts a program; cluster_wait_process() waits for its exit status. */
pid_t cluster_spawn(struct cluster *c, const char *const argv[],
		    const char *output);
int cluster_wait_process(pid_t pid);

/* Reads a file of the cluster's folder; NULL when it can't be opened. */
char *cluster_read_file(struct cluster *c, const char *file);

/* Counts the lines that contain both texts; NULL matches any line. */
uint32_t cluster_count_lines(struct cluster *c, const char *file,
			     const char *one, const char *other);

#endif
