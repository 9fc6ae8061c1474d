#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "place-internal.h"

static bool fits(const int32_t have[RES_COUNT], const int32_t need[RES_COUNT]);
static void update_node(struct index_tree *x, uint32_t node);
static int find_leaf(const struct index_tree *x, uint32_t node, uint32_t low,
		     uint32_t width, const int32_t need[RES_COUNT],
		     uint32_t from);

/* A tree of maxima: node n has the children 2n and 2n + 1, leaves last. */
void index_resize(struct index_tree *x, uint32_t leaves)
{
	uint32_t old = x->leaves;
	uint32_t size = old ? old : 8;
	int32_t(*max)[RES_COUNT];

	while (size < leaves)
		size *= 2;
	if (size == old)
		return;
	max = xcalloc((size_t)size * 2, sizeof(*max));
	memset(max, 0xff, (size_t)size * 2 * sizeof(*max));
	if (old)
		memcpy(max + size, x->max + old, old * sizeof(*max));
	free(x->max);
	x->max = max;
	x->leaves = size;
	for (uint32_t node = size - 1; node > 0; node--)
		update_node(x, node);
}

void index_set(struct index_tree *x, uint32_t leaf,
	       const int32_t value[RES_COUNT])
{
	uint32_t node = x->leaves + leaf;

	memcpy(x->max[node], value, sizeof(x->max[node]));
	for (node /= 2; node > 0; node /= 2)
		update_node(x, node);
}

int index_find(const struct index_tree *x, const int32_t need[RES_COUNT],
	       uint32_t from)
{
	if (!x->leaves || from >= x->leaves)
		return -1;
	return find_leaf(x, 1, 0, x->leaves, need, from);
}

void index_free(struct index_tree *x)
{
	free(x->max);
	memset(x, 0, sizeof(*x));
}

static bool fits(const int32_t have[RES_COUNT], const int32_t need[RES_COUNT])
{
	for (int r = 0; r < RES_COUNT; r++)
		if (have[r] < need[r])
			return false;
	return true;
}

/* Sets a node to the maxima of its children. */
static void update_node(struct index_tree *x, uint32_t node)
{
	const int32_t *a = x->max[2 * node], *b = x->max[2 * node + 1];

	for (int r = 0; r < RES_COUNT; r++)
		x->max[node][r] = a[r] > b[r] ? a[r] : b[r];
}

/* Finds the leftmost leaf that fits below a node that covers low to width. */
static int find_leaf(const struct index_tree *x, uint32_t node, uint32_t low,
		     uint32_t width, const int32_t need[RES_COUNT],
		     uint32_t from)
{
	int leaf;

	if (low + width <= from || !fits(x->max[node], need))
		return -1;
	if (width == 1)
		return (int)low;
	width /= 2;
	leaf = find_leaf(x, 2 * node, low, width, need, from);
	if (leaf >= 0)
		return leaf;
	return find_leaf(x, 2 * node + 1, low + width, width, need, from);
}
