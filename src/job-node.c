#include "clock.h"
#include "job-node.h"
#include "kv-follow.h"

/* Two rounds of the configuration's watch and its timeout. */
#define STORE_FRESH_US 4500000u

bool job_node_ready(const struct job_node *n)
{
	uint64_t fresh;

	if (n->draining || !n->config)
		return false;
	fresh = kv_follow_fresh_us(n->config_follow);
	return clock_now_us() < fresh + STORE_FRESH_US;
}
