#include <stdlib.h>

#include "platform.h"

void kv_result_free(struct kv_result *r)
{
	for (size_t i = 0; i < r->count; i++) {
		free(r->pairs[i].key);
		free(r->pairs[i].value);
	}
	free(r->pairs);
	r->pairs = NULL;
	r->count = 0;
}

void vm_list_free(struct vm_list *l)
{
	free(l->vms);
	l->vms = NULL;
	l->count = 0;
}
