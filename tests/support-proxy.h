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
 *	support-proxy - links of the fault proxy
 *
 * DESCRIPTION
 *	POST /v1/links/NAME changes a link; NAME may end in '*' for all that
 *	begin so. Fields, each optional:
 *
 *	delay_ms, jitter_ms	added in each direction; jitter is uniform
 *	drop		probability that a piece waits for a resend of
 *			PROXY_RETRANSMIT_US, doubled for each further loss
 *	cut		"none", "both", "up" (caller to target), "down"
 *	lose_answer	probability that both sides are closed when the
 *			first bytes of an answer arrive
 *	bytes_per_s	bandwidth in each direction, 0 for no limit
 *	close		true: close all connections of the link now
 *	reset		true: clear all of the above first
 *
 *	GET /v1/links lists the links with what passed. During a cut of
 *	"both" no connection to the target is made; a caller is accepted and
 *	hears nothing.
 */

#define PROXY_LINKS_MAX 256
#define PROXY_RETRANSMIT_US 200000u
#define PROXY_QUEUE_MAX_BYTES (1u << 20) /* bytes held before reading stops */

struct proxy;

struct proxy *proxy_create(struct event_base *base, uint64_t seed);
void proxy_destroy(struct proxy *p);

/* text: NAME=LISTEN=TARGET. Returns 0, or -1 after a line on stderr. */
int proxy_add_link(struct proxy *p, const char *text);

/* A wire_control_fn for a struct proxy. */
json_t *proxy_control(void *proxy, const char *path, const json_t *body);

#endif
