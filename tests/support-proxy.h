#ifndef SUPPORT_PROXY_H
#define SUPPORT_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <jansson.h>

#include "rng.h"
#include "support-wire.h"

/*
 * NAME
 *	support-proxy - links of the fault injection proxy
 *
 * DESCRIPTION
 *	POST /v1/links/NAME changes a link; a trailing '*' in NAME matches
 *	every link with that prefix. All fields are optional:
 *
 *	delay_ms, jitter_ms	added in each direction; jitter is uniform
 *	drop		probability that a chunk waits for a retransmission of
 *			PROXY_RETRANSMIT_US, doubled for each further loss
 *	cut		"none", "both", "up" (caller to target), "down"
 *	lose_answer	probability that both sides are closed when the
 *			first bytes of a response arrive
 *	bytes_per_s	bandwidth in each direction, 0 for no limit
 *	close		true: close all connections of the link
 *	reset		true: first restore the defaults of the above
 *
 *	GET /v1/links lists the links with their traffic counters. While both
 *	directions are cut, the proxy accepts callers but doesn't connect to
 *	the target, so callers get no response.
 */

#define PROXY_LINKS_MAX 256
#define PROXY_RETRANSMIT_US 200000u
#define PROXY_QUEUE_MAX_BYTES (1u << 20) /* stops reading above it */

struct proxy;

struct proxy *proxy_create(struct event_base *base, uint64_t seed);
void proxy_destroy(struct proxy *p);

/* text: NAME=LISTEN=TARGET. Returns 0, or -1 after a message on stderr. */
int proxy_add_link(struct proxy *p, const char *text);

/* A wire_control_fn for a struct proxy. */
json_t *proxy_control(void *proxy, const char *path, const json_t *body);

#endif
