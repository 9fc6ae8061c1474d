#include <string.h>

#include "place-internal.h"

struct worker *pair_choose(struct place *p, const struct task *t,
			   const int32_t need[RES_COUNT],
			   struct worker **passed_over, const char **why)
{
	int leaf = index_find(&p->free_index, need, 0);

	*passed_over = NULL;
	*why = "first-fit";
	/* Not again where it failed last, while another worker has room. */
	if (leaf >= 0 && t->avoid == (uint32_t)leaf + 1) {
		int other =
			index_find(&p->free_index, need, (uint32_t)leaf + 1);

		*passed_over = p->workers[leaf];
		*why = "failed-there";
		if (other >= 0)
			leaf = other;
	}
	return leaf < 0 ? NULL : p->workers[leaf];
}

void pair_learn(struct place *p, struct worker *w)
{
	(void)p;
	(void)w;
}

void pair_relieve(struct place *p, struct worker *w)
{
	(void)p;
	(void)w;
}
