#ifndef RNG_H
#define RNG_H

#include <stdint.h>

/*
 * NAME
 *	rng - seedable pseudo-random number generator (splitmix64)
 *
 * DESCRIPTION
 *	The decision core uses a struct rng seeded by its driver, so that a run
 *	can be reproduced from the seed. Not cryptographically secure.
 */
struct rng {
	uint64_t state;
};

static inline uint64_t rng_next(struct rng *r)
{
	uint64_t z = (r->state += 0x9e3779b97f4a7c15u);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
	return z ^ (z >> 31);
}

/* Returns a value in [0, n); n must not be 0. */
static inline uint32_t rng_below(struct rng *r, uint32_t n)
{
	return (uint32_t)(((rng_next(r) >> 32) * n) >> 32);
}

/* Returns a value in [0, 1). */
static inline double rng_unit(struct rng *r)
{
	return (double)(rng_next(r) >> 11) * (1.0 / 9007199254740992.0);
}

#endif
