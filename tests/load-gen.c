/*
 * Open-loop load generator for the front ends of the entry VMs, on one libevent
 * loop. Arrival times don't depend on answers, and latency is measured from the
 * time a request was due, which avoids coordinated omission.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include "support-load.h"
#include "support-journal.h"

struct arguments {
	struct arg_str *entry;
	struct arg_str *mix;
	struct arg_file *mix_file;
	struct arg_dbl *seconds;
	struct arg_str *seed;
	struct arg_str *key_prefix;
	struct arg_str *journal;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_end *end;
};

static int run(const struct arguments *a);
static int configure_load(struct load *l, const struct arguments *a);

static int configure_load(struct load *l, const struct arguments *a)
{
	for (int i = 0; i < a->entry->count; i++)
		if (load_add_entry(l, a->entry->sval[i]) < 0)
			return -1;
	for (int i = 0; i < a->mix->count; i++)
		if (load_add_mix(l, a->mix->sval[i]) < 0)
			return -1;
	if (a->mix_file->count &&
	    load_read_mix(l, a->mix_file->filename[0]) < 0)
		return -1;
	if (l->mix_count == 0) {
		fprintf(stderr, "load-gen: --mix or --mix-file is required\n");
		return -1;
	}
	return 0;
}

static int run(const struct arguments *a)
{
	struct load *l = load_create(strtoull(a->seed->sval[0], NULL, 10),
				     a->key_prefix->sval[0]);
	int rc = 2;

	if (configure_load(l, a) < 0)
		goto out;
	load_run(l, a->seconds->dval[0]);
	load_print(l, a->json->count > 0);
	rc = 0;
out:
	load_free(l);
	return rc;
}

int main(int argc, char **argv)
{
	struct arguments a = {
		.entry = arg_strn(NULL, "entry", "IP:PORT", 1, LOAD_ENTRIES_MAX,
				  "front-end address of an entry VM"),
		.mix = arg_strn(NULL, "mix", "KEY=VALUE,...", 0, LOAD_MIX_MAX,
				"settings of one kind of request"),
		.mix_file = arg_file0(NULL, "mix-file", "FILE",
				      "INI file, one section per kind"),
		.seconds =
			arg_dbl0(NULL, "seconds", "S", "duration of the load"),
		.seed = arg_str0(NULL, "seed", "N", "random seed"),
		.key_prefix = arg_str0(NULL, "key-prefix", "P",
				       "prefix of the idempotency keys"),
		.journal = arg_str0(NULL, "journal", "FILE",
				    "append events to FILE"),
		.json = arg_lit0(NULL, "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this text"),
		.end = arg_end(8),
	};
	void *table = &a;
	int rc = 2;

	a.seconds->dval[0] = 10;
	a.seed->sval[0] = "1";
	a.key_prefix->sval[0] = "k";
	if (arg_parse(argc, argv, table) || a.help->count) {
		arg_print_errors(stderr, a.end, "load-gen");
		arg_print_glossary(stderr, table, "%-26s %s\n");
		fprintf(stderr, "Request settings: %s\n", load_mix_keys());
		goto out;
	}
	if (a.journal->count && journal_open(a.journal->sval[0]) < 0)
		goto out;
	signal(SIGPIPE, SIG_IGN);
	rc = run(&a);
out:
	journal_close();
	arg_freetable(table, sizeof(a) / sizeof(void *));
	return rc;
}
