#include <stdio.h>
#include <string.h>

#include "commit-limit.h"

void commit_limit_init(struct commit_limit *l, uint32_t full)
{
	memset(l, 0, sizeof(*l));
	l->full = full;
	l->records = full;
}

void commit_limit_rejected(struct commit_limit *l, uint32_t records,
			   const char *name)
{
	l->suspect[0] = '\0';
	l->records = records / 2;
	if (records == 1)
		snprintf(l->suspect, sizeof(l->suspect), "%s", name);
}

bool commit_limit_stored(struct commit_limit *l, uint32_t records,
			 char name[COMMIT_LIMIT_NAME_BYTES])
{
	bool at_fault = !records && l->suspect[0];

	memcpy(name, l->suspect, COMMIT_LIMIT_NAME_BYTES);
	l->suspect[0] = '\0';
	l->records = l->records ? l->records * 2 : 1;
	if (l->records > l->full)
		l->records = l->full;
	return at_fault;
}
