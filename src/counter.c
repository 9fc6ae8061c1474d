#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "counter.h"

#define NAME_MAX_BYTES 64
#define LABELS_MAX_BYTES 96

struct entry {
	struct counter counter;
	enum counter_kind kind;
	char name[NAME_MAX_BYTES];
	char labels[LABELS_MAX_BYTES];
};

static struct entry entries[COUNTERS_MAX + 1] = {
	[COUNTERS_MAX] = { .name = "waxwing_counter_overflow_total" },
};
static int entry_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

struct counter *counter_get(enum counter_kind kind, const char *name,
			    const char *labels)
{
	struct entry *e;
	int i;

	if (!labels)
		labels = "";
	pthread_mutex_lock(&lock);
	for (i = 0; i < entry_count; i++)
		if (!strcmp(entries[i].name, name) &&
		    !strcmp(entries[i].labels, labels))
			break;
	e = &entries[i];
	if (i == entry_count && i < COUNTERS_MAX) {
		e->kind = kind;
		snprintf(e->name, sizeof(e->name), "%s", name);
		snprintf(e->labels, sizeof(e->labels), "%s", labels);
		entry_count++;
	}
	pthread_mutex_unlock(&lock);
	return &e->counter;
}

/* Appends entry i, preceded by a TYPE line if it is the first of its name. */
static void expose_entry(struct buffer *b, int i)
{
	struct entry *e = &entries[i];
	bool first_of_name = true;

	for (int j = 0; j < i && first_of_name; j++)
		first_of_name = strcmp(entries[j].name, e->name) != 0;
	if (first_of_name)
		buffer_printf(b, "# TYPE %s %s\n", e->name,
			      e->kind == COUNTER ? "counter" : "gauge");
	if (e->labels[0])
		buffer_printf(b, "%s{%s} %lld\n", e->name, e->labels,
			      counter_value(&e->counter));
	else
		buffer_printf(b, "%s %lld\n", e->name,
			      counter_value(&e->counter));
}

void counter_expose(struct buffer *b)
{
	int count;

	pthread_mutex_lock(&lock);
	count = entry_count;
	pthread_mutex_unlock(&lock);
	/* The exposition format requires entries of one name to be adjacent. */
	for (int i = 0; i < count; i++) {
		bool seen = false;

		for (int j = 0; j < i && !seen; j++)
			seen = !strcmp(entries[j].name, entries[i].name);
		if (seen)
			continue;
		for (int j = i; j < count; j++)
			if (!strcmp(entries[j].name, entries[i].name))
				expose_entry(b, j);
	}
	expose_entry(b, COUNTERS_MAX);
}
