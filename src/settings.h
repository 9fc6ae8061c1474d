#ifndef SETTINGS_H
#define SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "error.h"
#include "log.h"

/*
 * NAME
 *	settings - parser for the daemon's INI file
 *
 * DESCRIPTION
 *	settings_load() parses a file and returns the first error in err as
 *	"FILE:LINE: message"; settings_check() reports every error through a
 *	callback. Unknown sections and keys, invalid units, values out of
 *	range, duplicate keys and inconsistent values are errors. A file with
 *	an error is rejected as a whole.
 *
 * UNITS
 *	Times in the struct are in microseconds, sizes in bytes, rates in
 *	calls per second, shares in percent.
 */

#define SETTINGS_TEXT_BYTES 64
#define SETTINGS_SEEDS_MAX 16

struct settings_address {
	char host[48]; /* numeric IP address */
	uint16_t port;
};

enum settings_routing { ROUTING_LEAST_LATENCY, ROUTING_RANDOM };
enum settings_admission { ADMISSION_FAIR, ADMISSION_FIFO };
enum settings_placement {
	PLACEMENT_LEARNED,
	PLACEMENT_FIRST_FIT,
	PLACEMENT_THRESHOLD,
};

/* Which jobs are placed first while not all can meet their objective. */
enum settings_overload { OVERLOAD_DEADLINE, OVERLOAD_LEAST_COST };
/* Workers that are slower than others for some seconds; dialect kv. */
enum settings_slow_workers { SLOW_WORKERS_IGNORE, SLOW_WORKERS_AVOID };
enum settings_switch { SETTING_OFF, SETTING_ON };

/* The platform's API; it also determines which services the daemon runs. */
enum settings_dialect { DIALECT_CONSUL, DIALECT_KV };

/* Whether peers are also discovered through heartbeats and the store. */
enum settings_discovery { DISCOVERY_ALL, DISCOVERY_SEEDS };

struct settings {
	struct {
		char id[SETTINGS_TEXT_BYTES];
		char availability_zone[SETTINGS_TEXT_BYTES];
		char deployment[SETTINGS_TEXT_BYTES];
		uint32_t cpu_milli; /* CPU available to the VM */
	} node;
	struct {
		struct settings_address listen;
		uint32_t threads;
		size_t body_limit_bytes;
		uint32_t queue_limit; /* requests */
	} front;
	struct {
		struct settings_address listen;
		char token[SETTINGS_TEXT_BYTES];
	} operator;
	struct {
		struct settings_address listen;
		struct settings_address seeds[SETTINGS_SEEDS_MAX];
		uint32_t seed_count;
		enum settings_discovery discovery;
		char curve_public[41]; /* Z85 */
		char curve_secret[41]; /* Z85 */
	} peers;
	struct {
		enum settings_dialect dialect;
		struct settings_address address;
		uint64_t lease_us;
		uint32_t write_budget; /* whole deployment */
		uint32_t read_budget;  /* whole deployment */
	} platform;
	struct {
		enum settings_routing routing;
		enum settings_admission admission;
		enum settings_placement placement;
		uint32_t retry_budget_percent;
		uint64_t outage_horizon_us;
		enum settings_overload overload; /* with the dialect kv */
		enum settings_slow_workers slow_workers;
		/* Submissions that cannot end in time; only dialect kv. */
		enum settings_switch refuse_hopeless;
	} policy;
	/* Used only with the dialect kv. */
	struct {
		struct settings_address readiness; /* load balancer checks */
		struct settings_address peers;	   /* other entry VMs */
		/* Entry VMs that relay calls; port 0: disabled. */
		struct settings_address relays;
		struct settings_address metrics; /* port 0: disabled */
		uint64_t lease_max_us; /* longest lease that a worker grants */
		uint64_t status_keep_us; /* retention of ended jobs */
		uint64_t stop_grace_us;	 /* time limit of a stop */
		/* Until nothing starts in an evacuated zone; 0: no evacuations
		 */
		uint64_t evacuation_bound_us;
		size_t memory_bytes; /* of jobs; above it they are refused */
	} jobs;
	/* Limits on what is held for clients. Used only with the dialect kv. */
	struct {
		size_t memory_bytes;		/* of all connections */
		size_t connection_memory_bytes; /* of each */
		uint32_t connections;		/* at [front] listen */
		uint32_t internal_connections;	/* at each other listener */
	} clients;
	enum log_level log_level;
	uint32_t log_lines_per_s;
};

typedef void settings_error_fn(void *arg, const char *file, int line,
			       const char *message);

/* Sets every field of s to its default. */
void settings_defaults(struct settings *s);

/* Returns 0, or -1 with err set (layer ERROR_LAYER_SETTINGS). */
int settings_load(const char *path, struct settings *s, struct error *err);

/*
 * Passes every error to fn, which may be NULL, and returns their number. Sets
 * s only if there are none.
 */
int settings_check(const char *path, struct settings *s, settings_error_fn *fn,
		   void *arg);

/* Calls fn for each key whose value differs between a and b. */
void settings_compare(const struct settings *a, const struct settings *b,
		      void (*fn)(void *arg, const char *section,
				 const char *key),
		      void *arg);

#endif
