#ifndef SUPPORT_CLUSTER_INTERNAL_H
#define SUPPORT_CLUSTER_INTERNAL_H

#include "support-cluster.h"

/*
 * NAME
 *	support-cluster-internal - port layout of a test deployment
 *
 * DESCRIPTION
 *	All ports of a deployment lie in one range. cluster_choose_ports()
 *	returns the first port of a free range, or 0.
 */

uint16_t cluster_peer_port(const struct cluster *c, uint32_t entry);
uint16_t cluster_runner_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_store_link_port(const struct cluster *c, uint32_t zone);
uint16_t cluster_peer_link_port(const struct cluster *c, uint32_t zone,
				uint32_t entry);
uint16_t cluster_choose_ports(void);

/*
 * Chooses ports (base_port 0: free ones) and makes the folder, for programs
 * that start their own processes. Returns 0, or -1 after a message.
 */
int cluster_prepare(struct cluster *c, uint16_t base_port);
/* Removes the folder unless WAXWING_KEEP is set. */
void cluster_remove_folder(const struct cluster *c);

#endif
