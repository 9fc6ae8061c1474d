#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support-cluster-internal.h"

#define PORT_RANGE_SIZE 600u
#define OFFSET_LOCK 4u
#define OFFSET_PROXY 5u
#define OFFSET_WORKERS 10u
#define OFFSET_RUNNER_CONTROL 15u
#define OFFSET_ENTRIES 20u
#define PORTS_PER_ENTRY 3u
#define OFFSET_LINKS 60u
#define OFFSET_RUNNERS 200u
#define RUNNERS_PER_ZONE 100u

uint16_t cluster_store_port(const struct cluster *c)
{
	return c->base_port;
}

uint16_t cluster_proxy_port(const struct cluster *c)
{
	return (uint16_t)(c->base_port + OFFSET_PROXY);
}

uint16_t cluster_worker_port(const struct cluster *c, uint32_t zone)
{
	return (uint16_t)(c->base_port + OFFSET_WORKERS + zone);
}

uint16_t cluster_runner_control_port(const struct cluster *c, uint32_t zone)
{
	return (uint16_t)(c->base_port + OFFSET_RUNNER_CONTROL + zone);
}

uint16_t cluster_front_port(const struct cluster *c, uint32_t entry)
{
	return (uint16_t)(c->base_port + OFFSET_ENTRIES +
			  PORTS_PER_ENTRY * entry);
}

uint16_t cluster_operator_port(const struct cluster *c, uint32_t entry)
{
	return (uint16_t)(cluster_front_port(c, entry) + 1);
}

uint16_t cluster_peer_port(const struct cluster *c, uint32_t entry)
{
	return (uint16_t)(cluster_front_port(c, entry) + 2);
}

uint16_t cluster_runner_port(const struct cluster *c, uint32_t zone)
{
	return (uint16_t)(c->base_port + OFFSET_RUNNERS +
			  RUNNERS_PER_ZONE * zone);
}

uint16_t cluster_store_link_port(const struct cluster *c, uint32_t zone)
{
	return (uint16_t)(c->base_port + OFFSET_LINKS + zone);
}

uint16_t cluster_peer_link_port(const struct cluster *c, uint32_t zone,
				uint32_t entry)
{
	return (uint16_t)(c->base_port + OFFSET_LINKS + CLUSTER_ZONES_MAX +
			  zone * CLUSTER_ENTRIES_MAX + entry);
}

/* Tests by bind() whether a port is free. */
static bool port_is_free(uint16_t port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons(port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int one = 1, ret, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ret = bind(fd, (struct sockaddr *)&a, sizeof(a));
	close(fd);
	return ret == 0;
}

/*
 * Several processes may find the same range free, so one of its ports stays
 * bound until the process exits. Without SO_REUSEADDR, no other can bind it.
 */
static bool claim_range(uint16_t base)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port =
					 htons((uint16_t)(base + OFFSET_LOCK)),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (!bind(fd, (struct sockaddr *)&a, sizeof(a)))
		return true;
	close(fd);
	return false;
}

/* Chooses a range below the kernel's default ephemeral ports. */
uint16_t cluster_choose_ports(void)
{
	uint32_t ranges = (32000u - 11000u) / PORT_RANGE_SIZE;

	for (uint32_t n = 0; n < ranges; n++) {
		uint32_t range = ((uint32_t)getpid() + n) % ranges;
		uint16_t base = (uint16_t)(11000u + range * PORT_RANGE_SIZE);
		bool all_free = true;

		for (uint16_t p = 0; p < PORT_RANGE_SIZE && all_free; p++)
			all_free = port_is_free((uint16_t)(base + p));
		if (all_free && claim_range(base))
			return base;
	}
	return 0;
}
