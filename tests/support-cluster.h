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
 *	starts the stand-ins and one waxwingd per entry VM. Programs are taken
 *	from the folder of the calling program, or from WAXWING_BUILD. Ports
 *	are base_port and up; 0 chooses a free range from the process id.
 *
 * RETURN VALUES
 *	Functions return 0, or -1 after a line on standard error.
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
	bool proxy_links;   /* peers and the platform through the fault proxy */
	uint32_t threads;   /* of each front; 0 = 160 */
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

/* Ends every process; keeps the folder when WAXWING_KEEP is set. */
void cluster_stop(struct cluster *c);

/* Starts entry VM i anew, under a new id, as a replaced VM would be. */
int cluster_entry_start(struct cluster *c, uint32_t i);

/* Sends a signal; waits for the end of the process when it is deadly. */
void cluster_entry_signal(struct cluster *c, uint32_t i, int sig);

/* Waits until entry VM i ended by itself; -1 after timeout_ms. */
int cluster_entry_wait_exit(struct cluster *c, uint32_t i, uint32_t timeout_ms);

uint16_t cluster_front_port(const struct cluster *c, uint32_t entry);
uint16_t cluster_operator_port(const struct cluster *c, uint32_t entry);
uint16_t cluster_store_port(const struct cluster *c);
uint16_t cluster_runner_control_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_worker_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_proxy_port(const struct cluster *c);

/* Rewrites the list of VMs: state is "live", "leaving" or "gone". */
int cluster_set_vm_state(struct cluster *c, const char *id, const char *state);

/* One HTTP call on loopback with the operator's token; status or -1. */
int cluster_http(uint16_t port, const char *method, const char *path,
		 const char *headers, const char *body, struct buffer *answer);

/* Posts {"...":...} to a stand-in's /v1/fault. */
int cluster_set_fault(uint16_t port, const char *json);

/* Sets a link of the fault proxy, for instance "store-0", "peer-0-3". */
int cluster_set_link(struct cluster *c, const char *link, const char *json);

/* Cuts or heals all links of a zone to the platform and other zones. */
int cluster_partition_zone(struct cluster *c, uint32_t zone, bool cut);

/* Waits until fn(c, arg) is true; -1 after timeout_ms. */
int cluster_wait_until(struct cluster *c,
		       bool (*fn)(struct cluster *c, void *arg), void *arg,
		       uint32_t timeout_ms);

/* Waits until all running entry VMs hold a seat, a sheet and targets. */
int cluster_wait_ready(struct cluster *c, uint32_t timeout_ms);

/* A number of entry VM's status, at the top or inside an object; or -1. */
int64_t cluster_status_number(struct cluster *c, uint32_t entry,
			      const char *object, const char *name);

/* Applies a sheet through entry VM i on the revision in force. */
int cluster_apply_sheet(struct cluster *c, uint32_t entry, const char *csv);

/* Runs a program of the build folder; argv[0] is its name. Exit status. */
int cluster_run(struct cluster *c, const char *const argv[],
		const char *output);

/* Starts a program without waiting; cluster_wait_process() ends it. */
pid_t cluster_spawn(struct cluster *c, const char *const argv[],
		    const char *output);
int cluster_wait_process(pid_t pid);

/* Reads a whole file of the folder; NULL when there is none. */
char *cluster_read_file(struct cluster *c, const char *file);

/* Counts the lines of a journal that hold all given texts. */
uint32_t cluster_count_lines(struct cluster *c, const char *file,
			     const char *one, const char *other);

#endif
