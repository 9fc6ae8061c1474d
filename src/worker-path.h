#ifndef WORKER_PATH_H
#define WORKER_PATH_H

#include "job-platform.h"

struct job_node;
struct relay_hub;

/*
 * NAME
 *	worker-path - the owner's calls to workers, directly or through relays
 *
 * DESCRIPTION
 *	The owner of the jobs calls each worker through a path. With few workers
 *	the path is a direct connection. With more than the owner's CPU allows,
 *	other entry VMs carry the calls: they connect to the hub of the owner as
 *	relays, and relay_assign() chooses the relay of each worker. A call
 *	that a relay did not complete is reported as WORKER_PATH_LOST and says
 *	nothing about the worker; the next call takes another relay, or a
 *	direct connection if no relay is left.
 *
 *	Each call has a deadline until which its sender may act for this owner.
 *	The hub converts it to the relay's clock by the latest time that the
 *	relay sent, so that the relay sees it expire no later than the owner
 *	does, even if either was suspended.
 *
 *	Per worker and lane one call is in flight, so the queues in both
 *	directions are bounded by the number of workers; a relay that does not
 *	read is disconnected (see frame-conn.h).
 */

struct relay_hub *relay_hub_create(struct job_node *n, struct error *err);
void relay_hub_destroy(struct relay_hub *h);
/*
 * Accepts relays while this process is the owner. Closing disconnects them and
 * drops all calls without a response.
 */
void relay_hub_open(struct relay_hub *h);
void relay_hub_close(struct relay_hub *h);
/* Disconnects silent relays. Called periodically. */
void relay_hub_tick(struct relay_hub *h, uint64_t now_us);
uint32_t relay_hub_relay_count(const struct relay_hub *h);

struct worker_path;

struct worker_path *worker_path_create(struct relay_hub *h, uint32_t worker,
				       const char *id, const char *zone,
				       const struct settings_address *address);
/* Drops the calls in flight without a response. */
void worker_path_free(struct worker_path *p);
/* False while the owner waits for its relays after an election. */
bool worker_path_usable(const struct worker_path *p, uint64_t now_us);
/* One poll, and one order for each connection, may be in flight. */
void worker_path_poll(struct worker_path *p, const struct worker_poll *q,
		      uint64_t deadline_us, worker_response_fn *fn, void *arg);
/*
 * Entry VM that relays the connection's order, "-" if it is sent directly. To
 * be called before or in the callback of the order.
 */
const char *worker_path_order_vm(const struct worker_path *p, int connection);
/* Connections that orders may use now. */
int worker_path_order_connections(struct worker_path *p);
void worker_path_order(struct worker_path *p, int connection,
		       const struct sched_order *o, uint64_t fencing_token,
		       uint64_t lease_until_ms, uint64_t deadline_us,
		       worker_response_fn *fn, void *arg);

#endif
