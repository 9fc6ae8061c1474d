#include "client-limits.h"
#include "clock.h"
#include "job-evacuation.h"
#include "job-node.h"
#include "kv-follow.h"
#include "worker-path.h"

/*
 * Not ready after this long without a reply to the configuration watch. An
 * outage that fails requests shows earlier, in the intake's circuit breaker.
 */
#define STORE_STALE_US 10000000u

int job_node_start(struct job_node *n, struct error *err)
{
	n->rng.state = clock_now_us() ^ clock_wall_us();
	for (const char *c = n->settings->node.id; *c; c++)
		n->rng.state = n->rng.state * 31 + (unsigned char)*c;
	n->kv = n->platform->open_store(n->base,
					&n->settings->platform.address);
	n->clients = client_limits_create(n->base, n->settings);
	n->evacuation = job_evacuation_create(n);
	n->relay_hub = relay_hub_create(n, err);
	if (!n->relay_hub)
		return -1;
	n->owner = job_owner_create(n);
	if (n->settings->jobs.relays.port)
		n->relay = job_relay_create(n);
	n->intake = job_intake_create(n);
	job_config_start(n);
	n->peer = job_peer_create(n, err);
	if (!n->peer)
		return -1;
	n->metrics = job_metrics_create(n, err);
	return n->metrics ? 0 : -1;
}

void job_node_stop(struct job_node *n)
{
	job_metrics_destroy(n->metrics);
	job_peer_destroy(n->peer);
	job_config_stop(n);
	job_relay_destroy(n->relay);
	job_owner_destroy(n->owner);
	relay_hub_destroy(n->relay_hub);
	job_intake_destroy(n->intake);
	client_limits_destroy(n->clients);
	n->clients = NULL;
	job_evacuation_destroy(n->evacuation);
	n->kv->ops->destroy(n->kv);
}

bool job_node_ready(const struct job_node *n)
{
	uint64_t fresh_us;

	if (n->draining || !n->config ||
	    job_intake_store_unavailable(n->intake))
		return false;
	fresh_us = kv_follow_confirmed_us(n->config_follow);
	return clock_now_us() < fresh_us + STORE_STALE_US;
}
